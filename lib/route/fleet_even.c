/* The choice among plain endpoints that state how long work takes there. */

#include "route/fleet_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "route/even_load.h"

/*
 * A failure loses two thirds of its cost in this time, so that an endpoint that
 * works again is tried again.  It is the longest ejection.
 */
#define FAILURE_MEMORY_MS 4000.0

/* Smallest change of how long work takes that is passed on, in percent. */
#define WORK_STEP_PERCENT 25

/*
 * Statements of one endpoint that are passed on in a second, by all instances
 * together, and at once.  Spells of 600 ms give two a second at most.
 */
#define SHARED_PER_S 3.0
#define SHARED_BURST 4.0

void fleet_endpoint_note_usual(fleet_endpoint_t *endpoint, ms_t now,
			       const endpoint_load_t *load)
{
	double weight = even_load_report_weight(now - endpoint->usual_at);
	int others =
		MAX(load->running + load->waiting - endpoint->in_flight, 0);

	if (!endpoint->usual_at)
		endpoint->usual_others = others;
	endpoint->usual_at = now;
	endpoint->usual_others += weight * (others - endpoint->usual_others);
	if (!load->work_percent)
		return;
	if (!endpoint->usual_percent)
		endpoint->usual_percent = load->work_percent;
	endpoint->usual_percent +=
		weight * (load->work_percent - endpoint->usual_percent);
	endpoint->stated_work = load->work_percent;
	endpoint->stated_work_at = now;
}

/* Counts one passed on here or elsewhere; FALSE if there were too many. */
static gboolean take_shared_budget(fleet_endpoint_t *endpoint, ms_t now)
{
	double passed_s = (double)(now - endpoint->shared_at) / MS_PER_S;

	if (!endpoint->shared_work)
		endpoint->shared_budget = SHARED_BURST;
	endpoint->shared_budget =
		MIN(endpoint->shared_budget + passed_s * SHARED_PER_S,
		    SHARED_BURST);
	endpoint->shared_at = now;
	if (endpoint->shared_budget < 1)
		return FALSE;
	endpoint->shared_budget -= 1;
	return TRUE;
}

int fleet_endpoint_take_work_news(fleet_endpoint_t *endpoint, ms_t now)
{
	int known = endpoint->shared_work ? endpoint->shared_work : 100;

	if (endpoint->is_engine || !endpoint->stated_work ||
	    abs(endpoint->stated_work - known) < WORK_STEP_PERCENT)
		return 0;
	if (!take_shared_budget(endpoint, now))
		return 0;
	endpoint->shared_work = endpoint->stated_work;
	return endpoint->shared_work;
}

void fleet_endpoint_note_shared_work(fleet_endpoint_t *endpoint, ms_t now,
				     int work_percent)
{
	if (endpoint->is_engine || work_percent <= 0)
		return;
	take_shared_budget(endpoint, now);
	endpoint->shared_work = work_percent;
	endpoint->stated_work = work_percent;
	endpoint->stated_work_at = now;
}

static void fill_input(const fleet_t *fleet, ms_t now,
		       const fleet_endpoint_t *endpoint,
		       even_load_input_t *input)
{
	const endpoint_load_t *reported = &endpoint->reported;
	double failed_share =
		exp(-(double)(now - endpoint->failed_at) / FAILURE_MEMORY_MS);

	memset(input, 0, sizeof(*input));
	input->places = endpoint->places;
	input->in_flight = endpoint->in_flight;
	input->age =
		endpoint->usual_at ? now - endpoint->reported_at : MS_NEVER;
	input->others = MAX(reported->running + reported->waiting -
				    endpoint->in_flight_at_report,
			    0);
	input->work_percent = endpoint->stated_work;
	input->work_age = now - endpoint->stated_work_at;
	input->is_work_shared = endpoint->shared_work != 0;
	input->usual_others = endpoint->usual_others;
	input->usual_percent = endpoint->usual_percent;
	input->penalty = fleet_domain_cost(fleet, endpoint) +
			 fleet_failure_cost(endpoint) * failed_share;
}

fleet_endpoint_t *fleet_choose_even(const fleet_t *fleet, ms_t now,
				    const GPtrArray *list)
{
	fleet_endpoint_t *chosen = NULL;
	gboolean is_stated = FALSE;
	even_load_input_t *inputs;
	guint i;

	for (i = 0; i < list->len; i++) {
		const fleet_endpoint_t *endpoint = list->pdata[i];

		is_stated = is_stated ||
			    (endpoint->stated_work && !endpoint->is_engine);
	}
	if (!is_stated || !fleet->rand)
		return NULL;
	inputs = g_new(even_load_input_t, list->len);
	for (i = 0; i < list->len; i++)
		fill_input(fleet, now, list->pdata[i], &inputs[i]);
	chosen = list->pdata[even_load_choose(inputs, list->len, fleet->rand)];
	g_free(inputs);
	return chosen;
}

/* Collects the inputs of each service whose endpoints state the time of work.
 */
static GHashTable *collect_inputs(const fleet_t *fleet, ms_t now)
{
	GHashTable *services = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;
		even_load_input_t input;
		GArray *inputs;

		if (!endpoint->stated_work || endpoint->is_engine)
			continue;
		inputs = g_hash_table_lookup(services, endpoint->service);
		if (!inputs) {
			inputs = g_array_new(FALSE, FALSE, sizeof(input));
			g_hash_table_insert(services, endpoint->service,
					    inputs);
		}
		fill_input(fleet, now, endpoint, &input);
		g_array_append_val(inputs, input);
	}
	return services;
}

int fleet_imbalance(const fleet_t *fleet, ms_t now)
{
	GHashTable *services = collect_inputs(fleet, now);
	GHashTableIter iter;
	gpointer value;
	int highest = 0;

	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *inputs = value;

		highest = MAX(highest,
			      even_load_imbalance((const void *)inputs->data,
						  inputs->len));
	}
	g_hash_table_destroy(services);
	return highest;
}
