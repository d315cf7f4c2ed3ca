#include "bench/store.h"

#define MS_PER_1000S 1000000.0

typedef struct {
	store_t *store;
	sim_call_t done;
	void *ctx;
	void *arg;
} load_t;

struct store {
	sim_t *sim;
	const profile_t *profile;
	double next_start; /* ms; earliest start of the next load */
	int in_transit;	   /* loads queued or in progress */
};

store_t *bench_store_create(sim_t *sim, const profile_t *profile)
{
	store_t *store = g_new0(store_t, 1);

	store->sim = sim;
	store->profile = profile;
	return store;
}

void bench_store_destroy(store_t *store)
{
	g_free(store);
}

static void end_load(void *ctx, void *arg)
{
	load_t *load = ctx;

	load->store->in_transit--;
	load->done(load->ctx, load->arg);
	g_free(load);
}

static void begin_load(void *ctx, void *arg)
{
	load_t *load = ctx;
	const store_t *store = load->store;
	double slowdown = (double)store->in_transit /
			  (double)store->profile->transit_limit;
	double time = (double)store->profile->load_ms * MAX(slowdown, 1);

	sim_at(store->sim, sim_now(store->sim) + (ms_t)time, end_load, load,
	       NULL);
}

void bench_store_load(store_t *store, sim_call_t done, void *ctx, void *arg)
{
	load_t *load = g_new0(load_t, 1);
	double now = (double)sim_now(store->sim);
	double start = MAX(store->next_start, now);

	load->store = store;
	load->done = done;
	load->ctx = ctx;
	load->arg = arg;
	store->in_transit++;
	store->next_start =
		start + MS_PER_1000S / (double)store->profile->loads_per_1000s;
	sim_at(store->sim, (ms_t)start, begin_load, load, NULL);
}
