#include <math.h>
#include <string.h>

#include "load_model_private.h"
#include "route/even_load.h"

#define SERVICE "plain"

/* As in route/fleet.c: a report counts so long, and a refusal holds so long. */
#define REPORT_STALE_MS 2000
#define FULL_BACKOFF_MS 150

/* Time after which the others know a report that was passed on. */
#define PASSING_MS 2

/* Changes that are passed on: of speed, in percent, and of load, in requests.
 */
#define SPEED_STEP_PERCENT 25
#define LOAD_STEP	   3

static gboolean uses_fleet(const load_model_t *model)
{
	return model->options->policy == POLICY_TODAY ||
	       model->options->policy == POLICY_EVEN ||
	       model->options->policy == POLICY_EVEN_ALONE;
}

static gboolean passes_on(const load_model_t *model)
{
	return model->options->policy == POLICY_EVEN_STEPS ||
	       model->options->policy == POLICY_EVEN_KNOWN ||
	       model->options->policy == POLICY_EVEN_ALL;
}

static known_t *known_of(const load_model_t *model, int instance, int index)
{
	return &model->known[instance * model->options->endpoints + index];
}

static fleet_t *create_fleet(const load_model_t *model)
{
	fleet_t *fleet = fleet_create("", "");
	int i;

	fleet_set_rand(fleet, model->rand);
	for (i = 0; i < model->options->endpoints; i++) {
		char name[16];
		const endpoint_info_t info = {
			.id = name,
			.service = SERVICE,
			.address = "",
			.failure_domain = "",
			.places = model->options->places,
		};

		g_snprintf(name, sizeof(name), "%d", i);
		fleet_update_endpoint(fleet, &info);
	}
	return fleet;
}

void knowledge_create(load_model_t *model)
{
	int count = model->options->instances * model->options->endpoints;
	int i;

	model->known = g_new0(known_t, count);
	for (i = 0; i < count; i++)
		model->known[i].reported_at = -1;
	for (i = 0; i < model->options->endpoints; i++) {
		model->heard[i].reported_at = -1;
		model->heard_before[i].reported_at = -1;
	}
	if (!uses_fleet(model))
		return;
	model->fleets = g_new0(fleet_t *, model->options->instances);
	for (i = 0; i < model->options->instances; i++)
		model->fleets[i] = create_fleet(model);
}

void knowledge_destroy(load_model_t *model)
{
	int i;

	for (i = 0; model->fleets && i < model->options->instances; i++)
		fleet_destroy(model->fleets[i]);
	g_free(model->fleets);
	g_free(model->known);
}

static fleet_endpoint_t *fleet_endpoint(const load_model_t *model,
					const request_t *request, int index)
{
	char name[16];

	g_snprintf(name, sizeof(name), "%d", index);
	return fleet_find(model->fleets[request->instance], name);
}

static int choose_by_fleet(load_model_t *model, const request_t *request)
{
	fleet_query_t query = {.service = SERVICE};
	fleet_choice_t choice;
	int i;

	query.tried = g_ptr_array_new();
	for (i = 0; i < model->options->endpoints; i++) {
		if (request->tried & 1U << i)
			g_ptr_array_add(query.tried,
					fleet_endpoint(model, request, i));
	}
	fleet_choose(model->fleets[request->instance], (ms_t)model->now, &query,
		     &choice);
	g_ptr_array_free(query.tried, TRUE);
	if (!choice.endpoint)
		return -1;
	return (int)g_ascii_strtoll(fleet_endpoint_id(choice.endpoint), NULL,
				    10);
}

/* The load as of the last report and the own requests since. */
static double reported_load(const load_model_t *model, const known_t *known)
{
	int load = known->in_flight;

	if (known->reported_at >= 0 &&
	    model->now - known->reported_at < REPORT_STALE_MS)
		load = MAX(load, known->reported + known->in_flight -
					 known->in_flight_at_report);
	return load;
}

static double aged_weight(const load_model_t *model, const known_t *known)
{
	double kept = known->reported_at < 0
			      ? 0
			      : exp((known->reported_at - model->now) /
				    model->options->work_ms);
	double usual = model->options->load * model->options->places;
	double load = usual + (reported_load(model, known) - usual) * kept;

	return 1 / (1 + MAX(load, 0));
}

static double cost(load_model_t *model, const request_t *request, int index)
{
	const known_t *known = known_of(model, request->instance, index);
	double tie = g_rand_double(model->rand) / 2;

	switch (model->options->policy) {
	case POLICY_TRUE_LOAD:
		return load_model_running(model, index) + tie;
	case POLICY_IDLE_QUEUE:
		return (known->reported_at >= 0 &&
					reported_load(model, known) <
						model->options->places
				? 0
				: 1) +
		       tie;
	case POLICY_OWN_SHARE:
		return known->in_flight * model->options->instances + tie;
	case POLICY_TWO_CHOICES:
	case POLICY_SUBSET:
		return reported_load(model, known) + tie;
	case POLICY_AGED_WEIGHTS:
		/* The least of exponential times is drawn by the weights. */
		return -log(1 - g_rand_double(model->rand)) /
		       aged_weight(model, known);
	default:
		return tie;
	}
}

/* The endpoints that the policy compares, without those tried; a bit each. */
static guint candidates(load_model_t *model, const request_t *request)
{
	int count = model->options->endpoints;
	guint all = ((1U << count) - 1) & ~request->tried;
	guint chosen = 0;
	guint available = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (model->now >=
		    known_of(model, request->instance, i)->full_until)
			available |= 1U << i;
	}
	if (all & available)
		all &= available;
	if (model->options->policy == POLICY_SUBSET)
		chosen = 1U << request->instance % count |
			 1U << (request->instance + 1 +
				request->instance / count % MAX(count - 1, 1)) %
					 count;
	if (model->options->policy == POLICY_TWO_CHOICES) {
		i = g_rand_int_range(model->rand, 0, count);
		chosen = 1U << i;
		i += g_rand_int_range(model->rand, 1, count);
		chosen |= 1U << i % count;
	}
	return all & chosen ? all & chosen : all;
}

/* The newest report that another instance passed on and that has arrived. */
static const known_t *heard_of(const load_model_t *model, int index)
{
	const known_t *heard = &model->heard[index];

	return model->now - heard->reported_at < PASSING_MS
		       ? &model->heard_before[index]
		       : heard;
}

static void fill_input(const load_model_t *model, const request_t *request,
		       int index, even_load_input_t *input)
{
	const known_t *known = known_of(model, request->instance, index);
	const known_t *heard = heard_of(model, index);
	gboolean is_heard_newer = heard->reported_at > known->reported_at;

	input->places = model->options->places;
	input->in_flight = known->in_flight;
	input->age = known->reported_at < 0
			     ? MS_NEVER
			     : (ms_t)(model->now - known->reported_at);
	input->others = MAX(known->reported - known->in_flight_at_report, 0);
	input->work_percent = known->percent;
	input->usual_others = known->usual_others;
	input->usual_percent = known->usual_percent;
	if (model->options->policy == POLICY_EVEN_KNOWN) {
		input->age = 0;
		input->work_age = 0;
		input->others =
			load_model_running(model, index) - known->in_flight;
		input->work_percent = load_model_percent(model, index);
		return;
	}
	input->work_age = input->age;
	if (!is_heard_newer)
		return;
	input->is_work_shared = TRUE;
	input->work_age = (ms_t)(model->now - heard->reported_at);
	input->work_percent = heard->percent;
	input->age = (ms_t)(model->now - heard->reported_at);
	/* A request sent since then is not in the report. */
	input->others = heard->reported - known->in_flight +
			(known->sent_at > heard->reported_at);
}

static int choose_even(load_model_t *model, const request_t *request,
		       guint list)
{
	even_load_input_t inputs[ENDPOINTS_MAX] = {0};
	int indices[ENDPOINTS_MAX];
	guint count = 0;
	int i;

	for (i = 0; i < model->options->endpoints; i++) {
		if (!(list & 1U << i))
			continue;
		fill_input(model, request, i, &inputs[count]);
		indices[count++] = i;
	}
	return indices[even_load_choose(inputs, count, model->rand)];
}

int knowledge_choose(load_model_t *model, const request_t *request)
{
	double best_cost = 0;
	int best = -1;
	guint list;
	int i;

	if (uses_fleet(model))
		return choose_by_fleet(model, request);
	list = candidates(model, request);
	if (list && passes_on(model))
		return choose_even(model, request, list);
	for (i = 0; i < model->options->endpoints; i++) {
		double index_cost;

		if (!(list & 1U << i))
			continue;
		index_cost = cost(model, request, i);
		if (best >= 0 && index_cost >= best_cost)
			continue;
		best = i;
		best_cost = index_cost;
	}
	return best;
}

void knowledge_begin(load_model_t *model, const request_t *request, int index)
{
	known_t *known = known_of(model, request->instance, index);

	known->in_flight++;
	known->sent_at = model->now;
	if (uses_fleet(model))
		fleet_endpoint_begin(fleet_endpoint(model, request, index),
				     (ms_t)model->now);
}

void knowledge_refused(load_model_t *model, const request_t *request, int index)
{
	known_of(model, request->instance, index)->full_until =
		model->now + FULL_BACKOFF_MS;
	if (uses_fleet(model))
		fleet_endpoint_note_full(fleet_endpoint(model, request, index),
					 (ms_t)model->now);
}

/* Whether a report is news enough to be passed on. */
static gboolean is_news(const load_model_t *model, int index, int percent)
{
	const known_t *heard = &model->heard[index];
	int load = load_model_running(model, index);

	if (!passes_on(model))
		return FALSE;
	if (model->options->policy == POLICY_EVEN_ALL ||
	    heard->reported_at < 0 ||
	    abs(percent - heard->percent) >= SPEED_STEP_PERCENT)
		return TRUE;
	return model->options->policy == POLICY_EVEN_STEPS &&
	       abs(load - heard->reported) >= LOAD_STEP;
}

static void note_report(load_model_t *model, known_t *known, int index,
			int percent)
{
	int load = load_model_running(model, index);
	int others = MAX(load - known->in_flight, 0);
	double weight =
		even_load_report_weight((ms_t)(model->now - known->usual_at));

	if (known->reported_at < 0) {
		known->usual_others = others;
		known->usual_percent = percent;
	}
	known->usual_at = model->now;
	known->usual_others += weight * (others - known->usual_others);
	known->usual_percent += weight * (percent - known->usual_percent);
	known->reported = load;
	known->reported_at = model->now;
	known->in_flight_at_report = known->in_flight;
	known->percent = percent;
}

static void pass_on(load_model_t *model, const request_t *request, int index,
		    fleet_endpoint_t *endpoint)
{
	event_t news = {.at = model->now + PASSING_MS,
			.kind = EVENT_NEWS,
			.endpoint = index,
			.sender = request->instance};

	news.percent =
		fleet_endpoint_take_work_news(endpoint, (ms_t)model->now);
	if (!news.percent)
		return;
	model->passed++;
	load_model_push(model, news);
}

void knowledge_heard(load_model_t *model, const event_t *news)
{
	int i;

	for (i = 0; i < model->options->instances; i++) {
		const request_t receiver = {.instance = i};

		if (i == news->sender)
			continue;
		fleet_endpoint_note_shared_work(
			fleet_endpoint(model, &receiver, news->endpoint),
			(ms_t)model->now, news->percent);
	}
}

void knowledge_answered(load_model_t *model, const request_t *request,
			int index, int percent)
{
	known_t *known = known_of(model, request->instance, index);

	if (uses_fleet(model)) {
		fleet_endpoint_t *endpoint =
			fleet_endpoint(model, request, index);
		const endpoint_load_t load = {
			.running = load_model_running(model, index),
			.places = model->options->places,
			.work_percent = model->options->policy == POLICY_TODAY
						? 0
						: percent,
		};

		fleet_endpoint_note_load(endpoint, (ms_t)model->now, &load);
		fleet_endpoint_note_success(endpoint);
		if (model->options->policy == POLICY_EVEN)
			pass_on(model, request, index, endpoint);
		fleet_endpoint_end(endpoint);
	}
	note_report(model, known, index, percent);
	if (is_news(model, index, percent)) {
		model->heard_before[index] = model->heard[index];
		model->heard[index] = *known;
		model->passed++;
	}
	known->in_flight--;
}

const char *load_policy_name(load_policy_t policy)
{
	static const char *const names[POLICY_COUNT] = {
		"one queue that knows all",
		"least load, known at once",
		"least load by reports (today)",
		"even load (route/even_load)",
		"even load, nothing passed on",
		"random",
		"two random choices",
		"weights that fall with age",
		"idle first",
		"own requests times instances",
		"two fixed endpoints each",
		"even load, steps passed on",
		"even load, known at once",
		"even load, all reports passed on",
	};

	return names[policy];
}
