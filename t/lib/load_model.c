#include "load_model.h"

#include <math.h>
#include <stdlib.h>

#include "load_model_private.h"

/* Requests that an endpoint queues beyond its places. */
#define QUEUE_MAX 24

/* Spells of even speed; in one of SPELLS work takes SLOW_PERCENT. */
#define SPELL_MIN_MS 450
#define SPELL_MAX_MS 750
#define SPELLS	     7
#define SLOW_PERCENT 250

/* Work differs by this share up and down. */
#define WORK_JITTER 0.2

/* Requests of the first part of a run do not count. */
#define WARM_UP 0.05

void load_model_push(load_model_t *model, event_t event)
{
	GArray *heap = model->heap;
	guint i;

	g_array_append_val(heap, event);
	for (i = heap->len - 1; i; i = (i - 1) / 2) {
		event_t *child = &g_array_index(heap, event_t, i);
		event_t *parent = &g_array_index(heap, event_t, (i - 1) / 2);
		event_t swapped = *child;

		if (parent->at <= child->at)
			break;
		*child = *parent;
		*parent = swapped;
	}
}

static event_t pop(load_model_t *model)
{
	event_t *heap = (event_t *)(void *)model->heap->data;
	event_t first = heap[0];
	event_t last = heap[model->heap->len - 1];
	guint length = model->heap->len - 1;
	guint i = 0;

	while (2 * i + 1 < length) {
		guint child = 2 * i + 1;

		if (child + 1 < length && heap[child + 1].at < heap[child].at)
			child++;
		if (last.at <= heap[child].at)
			break;
		heap[i] = heap[child];
		i = child;
	}
	heap[i] = last;
	g_array_set_size(model->heap, length);
	return first;
}

int load_model_percent(const load_model_t *model, int index)
{
	const model_endpoint_t *endpoint = &model->endpoints[index];

	return endpoint->base_percent *
	       (endpoint->is_slow ? SLOW_PERCENT : 100) / 100;
}

int load_model_running(const load_model_t *model, int index)
{
	return model->endpoints[index].running +
	       (int)model->endpoints[index].waiting.length;
}

static void start_work(load_model_t *model, int index, request_t *request)
{
	event_t event = {
		.kind = EVENT_END, .endpoint = index, .request = request};

	request->wait = model->now - request->arrived_at;
	model->endpoints[index].running++;
	event.at = model->now +
		   request->work_ms * load_model_percent(model, index) / 100;
	load_model_push(model, event);
}

static void count_wait(load_model_t *model, double wait, double time)
{
	if (model->now < WARM_UP * model->options->duration_ms)
		return;
	g_array_append_val(model->waits, wait);
	g_array_append_val(model->times, time);
}

/* A request that all endpoints refuse counts with an endless wait. */
static void refuse(load_model_t *model, request_t *request)
{
	count_wait(model, G_MAXFLOAT, G_MAXFLOAT);
	model->refused++;
	g_free(request);
}

static void send_request(load_model_t *model, request_t *request)
{
	int index = knowledge_choose(model, request);
	model_endpoint_t *endpoint;

	if (index < 0) {
		refuse(model, request);
		return;
	}
	endpoint = &model->endpoints[index];
	if (endpoint->running < model->options->places) {
		knowledge_begin(model, request, index);
		start_work(model, index, request);
	} else if (endpoint->waiting.length < QUEUE_MAX) {
		knowledge_begin(model, request, index);
		g_queue_push_tail(&endpoint->waiting, request);
	} else {
		request->tried |= 1U << index;
		knowledge_refused(model, request, index);
		send_request(model, request);
	}
}

/* The fastest endpoint with a free place, or -1. */
static int fastest_free(const load_model_t *model)
{
	int best = -1;
	int i;

	for (i = 0; i < model->options->endpoints; i++) {
		if (model->endpoints[i].running >= model->options->places)
			continue;
		if (best < 0 || load_model_percent(model, i) <
					load_model_percent(model, best))
			best = i;
	}
	return best;
}

static void run_single_queue(load_model_t *model)
{
	int index = fastest_free(model);

	while (index >= 0 && !g_queue_is_empty(&model->common)) {
		start_work(model, index, g_queue_pop_head(&model->common));
		index = fastest_free(model);
	}
}

static void on_arrival(load_model_t *model)
{
	request_t *request = g_new0(request_t, 1);
	event_t next = {.kind = EVENT_ARRIVAL};
	GRand *rand = model->arrivals_rand;

	request->instance =
		g_rand_int_range(rand, 0, model->options->instances);
	request->arrived_at = model->now;
	request->work_ms =
		model->options->work_ms *
		g_rand_double_range(rand, 1 - WORK_JITTER, 1 + WORK_JITTER);
	next.at =
		model->now - log(1 - g_rand_double(rand)) / model->rate_per_ms;
	if (next.at < model->options->duration_ms)
		load_model_push(model, next);
	if (model->options->policy != POLICY_SINGLE_QUEUE) {
		send_request(model, request);
		return;
	}
	g_queue_push_tail(&model->common, request);
	run_single_queue(model);
}

static void on_end(load_model_t *model, const event_t *event)
{
	model_endpoint_t *endpoint = &model->endpoints[event->endpoint];
	request_t *request = event->request;

	count_wait(model, request->wait, model->now - request->arrived_at);
	if (model->options->policy == POLICY_SINGLE_QUEUE) {
		endpoint->running--;
		run_single_queue(model);
	} else {
		/* The load that it states includes the request itself. */
		knowledge_answered(model, request, event->endpoint,
				   load_model_percent(model, event->endpoint));
		endpoint->running--;
		if (!g_queue_is_empty(&endpoint->waiting))
			start_work(model, event->endpoint,
				   g_queue_pop_head(&endpoint->waiting));
	}
	g_free(request);
}

static void on_spell(load_model_t *model, const event_t *event)
{
	event_t next = *event;

	model->endpoints[event->endpoint].is_slow =
		g_rand_int_range(model->spells_rand, 0, SPELLS) == 0;
	next.at = model->now + g_rand_double_range(model->spells_rand,
						   SPELL_MIN_MS, SPELL_MAX_MS);
	if (next.at < model->options->duration_ms)
		load_model_push(model, next);
}

static void create_endpoints(load_model_t *model)
{
	const load_model_options_t *options = model->options;
	double mean_speed = (SPELLS - 1 + 100.0 / SLOW_PERCENT) / SPELLS;
	double capacity = 0;
	int i;

	for (i = 0; i < options->endpoints; i++) {
		event_t spell = {.kind = EVENT_SPELL, .endpoint = i};

		model->endpoints[i].base_percent =
			100 + (i % 2 ? options->unequal_percent : 0);
		g_queue_init(&model->endpoints[i].waiting);
		capacity += options->places / options->work_ms * mean_speed *
			    100 / model->endpoints[i].base_percent;
		load_model_push(model, spell);
	}
	model->rate_per_ms = capacity * options->load;
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return first < second ? -1 : first > second;
}

static double percentile(GArray *values, double share)
{
	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	return g_array_index(values, double,
			     (guint)(share * (values->len - 1)));
}

static void sum_up(load_model_t *model, load_model_result_t *result)
{
	double sum = 0;
	guint counted = 0;
	guint i;

	for (i = 0; i < model->waits->len; i++) {
		double wait = g_array_index(model->waits, double, i);

		if (wait >= G_MAXFLOAT)
			continue;
		sum += wait;
		counted++;
	}
	result->wait_mean_ms = sum / MAX(counted, 1);
	result->wait_p95_ms = percentile(model->waits, 0.95);
	result->wait_p99_ms = percentile(model->waits, 0.99);
	result->time_p95_ms = percentile(model->times, 0.95);
	result->refused_percent =
		100.0 * model->refused / MAX(model->waits->len, 1);
	result->passed_per_s =
		model->passed / model->options->duration_ms * MS_PER_S;
}

void load_model_run(const load_model_options_t *options,
		    load_model_result_t *result)
{
	load_model_t *model = g_new0(load_model_t, 1);
	event_t first = {.kind = EVENT_ARRIVAL};

	model->options = options;
	model->arrivals_rand = g_rand_new_with_seed(options->seed);
	model->spells_rand = g_rand_new_with_seed(options->seed + 1);
	model->rand = g_rand_new_with_seed(options->seed + 2);
	model->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	model->waits = g_array_new(FALSE, FALSE, sizeof(double));
	model->times = g_array_new(FALSE, FALSE, sizeof(double));
	g_queue_init(&model->common);
	create_endpoints(model);
	knowledge_create(model);
	load_model_push(model, first);
	while (model->heap->len) {
		event_t event = pop(model);

		model->now = event.at;
		if (event.kind == EVENT_ARRIVAL)
			on_arrival(model);
		else if (event.kind == EVENT_END)
			on_end(model, &event);
		else if (event.kind == EVENT_SPELL)
			on_spell(model, &event);
		else
			knowledge_heard(model, &event);
	}
	sum_up(model, result);
	knowledge_destroy(model);
	g_array_free(model->heap, TRUE);
	g_array_free(model->waits, TRUE);
	g_array_free(model->times, TRUE);
	g_rand_free(model->arrivals_rand);
	g_rand_free(model->spells_rand);
	g_rand_free(model->rand);
	g_free(model);
}
