#include "standin/store_model.h"

#include <glib.h>

struct store_model {
	double spacing; /* ms between the starts of two loads */
	double next_begin;
	int transit_limit;
	ms_t load_ms;
	int in_transit;
};

store_model_t *store_model_create(double loads_per_second, int transit_limit,
				  ms_t load_ms)
{
	store_model_t *store = g_new0(store_model_t, 1);

	store->spacing = MS_PER_S / loads_per_second;
	store->transit_limit = transit_limit;
	store->load_ms = load_ms;
	return store;
}

void store_model_destroy(store_model_t *store)
{
	g_free(store);
}

ms_t store_model_begin(store_model_t *store, ms_t now)
{
	double begin = MAX((double)now, store->next_begin);
	double duration = (double)store->load_ms;

	store->next_begin = begin + store->spacing;
	store->in_transit++;
	if (store->in_transit > store->transit_limit)
		duration = duration * store->in_transit / store->transit_limit;
	return (ms_t)(begin + duration);
}

void store_model_end(store_model_t *store)
{
	g_assert(store->in_transit > 0);
	store->in_transit--;
}

int store_model_in_transit(const store_model_t *store)
{
	return store->in_transit;
}
