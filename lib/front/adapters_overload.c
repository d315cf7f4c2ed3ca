#include "front/adapters_private.h"

#include <stdlib.h>

#include "base/log.h"

/* A pace that departs by this much from the last one logged is logged. */
#define LOGGED_PACE_CHANGE_PERCENT 50

/*
 * The overload policy is on where it is asked for: the configuration has
 * organisations, or this incarnation has stated its pace.
 */
static gboolean is_policy_on(const held_engine_t *held)
{
	const adapters_t *adapters = held->adapters;

	return held->has_stated_pace ||
	       adapters->events.has_organisations(adapters->ctx);
}

void held_engine_apply_pace(held_engine_t *held, ms_t now)
{
	int percent = engine_pace_percent(&held->pace, now);
	char *text;

	admission_queue_set_pace(held->admission_queue, percent);
	admission_queue_set_policy(held->admission_queue, is_policy_on(held));
	held->adapters->slowest_pace =
		MAX(held->adapters->slowest_pace, percent);
	held->adapters->widest_spread =
		MAX(held->adapters->widest_spread,
		    admission_queue_flow_spread(held->admission_queue));
	if (abs(percent - held->logged_pace) < LOGGED_PACE_CHANGE_PERCENT)
		return;
	held->logged_pace = percent;
	text = g_strdup_printf("%d", percent);
	log_info("engine pace", "endpoint", held->id, "percent", text, NULL);
	g_free(text);
}

void held_engine_note_work(held_engine_t *held, int work_percent)
{
	ms_t now = ms_clock_now(process_clock(held->adapters->process));

	if (!work_percent || !held->admission_queue)
		return;
	engine_pace_note(&held->pace, now, work_percent);
	held->has_stated_pace = TRUE;
	held_engine_apply_pace(held, now);
}

void held_engine_note_pause(held_engine_t *held, int pause_percent)
{
	if (pause_percent > 100)
		counter_add(held->adapters->pauses, 1);
}

static counter_t *counter_of_priority(const char *name, int priority)
{
	char *text = g_strdup_printf("%s{priority=\"%d\"}", name, priority);
	counter_t *counter = counter_get(text);

	g_free(text);
	return counter;
}

void adapters_create_overload_metrics(adapters_t *adapters)
{
	int i;

	for (i = 0; i < ADMISSION_PRIORITIES; i++) {
		adapters->admitted_by_priority[i] =
			counter_of_priority("hc_places_given_total", i);
		adapters->refused_by_priority[i] =
			counter_of_priority("hc_places_refused_total", i);
	}
	adapters->pace = counter_get("hc_held_pace_max_percent");
	adapters->pauses = counter_get("hc_stream_pauses_total");
	adapters->flow_spread = counter_get("hc_fair_spread_tokens");
	adapters->predicted_wait = histogram_get("hc_place_wait_predicted_ms");
	adapters->place_wait = histogram_get("hc_place_wait_ms");
}

void adapters_set_overload_gauges(adapters_t *adapters)
{
	counter_set(adapters->pace, adapters->slowest_pace);
	counter_set(adapters->flow_spread, adapters->widest_spread);
	adapters->slowest_pace = 0;
	adapters->widest_spread = 0;
}

static int priority_label(const held_admission_t *admission)
{
	return CLAMP(admission->request.priority, 0, ADMISSION_PRIORITIES - 1);
}

void held_engine_count_admitted(held_engine_t *held,
				const held_admission_t *admission, ms_t now)
{
	adapters_t *adapters = held->adapters;

	counter_add(adapters->admitted_by_priority[priority_label(admission)],
		    1);
	histogram_add(adapters->place_wait, now - admission->submitted_at);
}

void held_engine_count_refused(held_engine_t *held,
			       const held_admission_t *admission)
{
	adapters_t *adapters = held->adapters;

	counter_add(adapters->refused_by_priority[priority_label(admission)],
		    1);
}
