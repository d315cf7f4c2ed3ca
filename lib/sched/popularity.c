#include "sched/popularity.h"

#include <math.h>

typedef struct {
	char *name;
	double weight; /* decayed count at the time of update */
	ms_t updated;
} record_t;

struct popularity {
	GHashTable *records; /* name to record_t */
	unsigned int limit;
	ms_t half_life;
};

static void record_free(void *data)
{
	record_t *record = data;

	g_free(record->name);
	g_free(record);
}

popularity_t *popularity_create(unsigned int limit, ms_t half_life)
{
	popularity_t *popularity = g_new0(popularity_t, 1);

	g_assert(limit >= 4 && half_life > 0);
	popularity->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, record_free);
	popularity->limit = limit;
	popularity->half_life = half_life;
	return popularity;
}

void popularity_destroy(popularity_t *popularity)
{
	g_hash_table_destroy(popularity->records);
	g_free(popularity);
}

static double decayed_weight(const popularity_t *popularity,
			     const record_t *record, ms_t now)
{
	ms_t age = MAX(now - record->updated, 0);

	return record->weight * exp2(-(double)age / popularity->half_life);
}

static int compare_weight(const void *a, const void *b)
{
	const record_t *left = *(record_t *const *)a;
	const record_t *right = *(record_t *const *)b;

	if (left->weight != right->weight)
		return left->weight < right->weight ? -1 : 1;
	return g_strcmp0(left->name, right->name);
}

/* Evict a quarter of the records at once, to make eviction infrequent. */
static void evict_coldest(popularity_t *popularity, ms_t now)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	void *value;
	unsigned int i;

	g_hash_table_iter_init(&iter, popularity->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		record->weight = decayed_weight(popularity, record, now);
		record->updated = MAX(now, record->updated);
		g_ptr_array_add(sorted, record);
	}
	g_ptr_array_sort(sorted, compare_weight);
	for (i = 0; i <= sorted->len / 4; i++) {
		record_t *record = g_ptr_array_index(sorted, i);

		g_hash_table_remove(popularity->records, record->name);
	}
	g_ptr_array_free(sorted, TRUE);
}

void popularity_add(popularity_t *popularity, ms_t now, const char *name,
		    double weight)
{
	record_t *record = g_hash_table_lookup(popularity->records, name);

	if (!record) {
		if (g_hash_table_size(popularity->records) >= popularity->limit)
			evict_coldest(popularity, now);
		record = g_new0(record_t, 1);
		record->name = g_strdup(name);
		record->updated = now;
		g_hash_table_insert(popularity->records, record->name, record);
	}
	record->weight = decayed_weight(popularity, record, now) + weight;
	record->updated = MAX(now, record->updated);
}

double popularity_rate(const popularity_t *popularity, ms_t now,
		       const char *name)
{
	const record_t *record = g_hash_table_lookup(popularity->records, name);

	if (!record)
		return 0;
	/* At a constant rate r the weight converges to r * half_life / ln 2. */
	return decayed_weight(popularity, record, now) * M_LN2 * MS_PER_S /
	       popularity->half_life;
}

unsigned int popularity_count(const popularity_t *popularity)
{
	return g_hash_table_size(popularity->records);
}
