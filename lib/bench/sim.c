#include "bench/sim.h"

typedef struct {
	ms_t when;
	uint64_t number;
	sim_call_t call;
	void *ctx;
	void *arg;
} event_t;

struct sim {
	GArray *heap; /* of event_t, binary heap with the earliest first */
	ms_t now;
	uint64_t number;
};

sim_t *sim_create(void)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	return sim;
}

void sim_destroy(sim_t *sim)
{
	g_array_free(sim->heap, TRUE);
	g_free(sim);
}

ms_t sim_now(const sim_t *sim)
{
	return sim->now;
}

static event_t *at(const sim_t *sim, unsigned int index)
{
	return &g_array_index(sim->heap, event_t, index);
}

static gboolean is_before(const event_t *a, const event_t *b)
{
	if (a->when != b->when)
		return a->when < b->when;
	return a->number < b->number;
}

static void swap(event_t *a, event_t *b)
{
	event_t copy = *a;

	*a = *b;
	*b = copy;
}

void sim_at(sim_t *sim, ms_t when, sim_call_t call, void *ctx, void *arg)
{
	event_t event = {.when = MAX(when, sim->now),
			 .number = sim->number++,
			 .call = call,
			 .ctx = ctx,
			 .arg = arg};
	unsigned int index = sim->heap->len;

	g_array_append_val(sim->heap, event);
	while (index > 0) {
		unsigned int parent = (index - 1) / 2;

		if (!is_before(at(sim, index), at(sim, parent)))
			break;
		swap(at(sim, index), at(sim, parent));
		index = parent;
	}
}

static void sift_down(sim_t *sim)
{
	unsigned int index = 0;

	for (;;) {
		unsigned int child = 2 * index + 1;

		if (child >= sim->heap->len)
			return;
		if (child + 1 < sim->heap->len &&
		    is_before(at(sim, child + 1), at(sim, child)))
			child++;
		if (!is_before(at(sim, child), at(sim, index)))
			return;
		swap(at(sim, child), at(sim, index));
		index = child;
	}
}

static event_t pop(sim_t *sim)
{
	event_t event = *at(sim, 0);

	*at(sim, 0) = *at(sim, sim->heap->len - 1);
	g_array_set_size(sim->heap, sim->heap->len - 1);
	sift_down(sim);
	return event;
}

void sim_run(sim_t *sim, ms_t until)
{
	while (sim->heap->len > 0 && at(sim, 0)->when <= until) {
		event_t event = pop(sim);

		sim->now = event.when;
		event.call(event.ctx, event.arg);
	}
	sim->now = MAX(sim->now, until);
}
