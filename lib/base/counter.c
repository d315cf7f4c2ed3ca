#include "base/counter.h"

#include <string.h>

/* Upper bounds are 1, 2, 4 ... ms; the last bucket is unbounded. */
#define BUCKET_COUNT 18

struct counter {
	int64_t value;
};

struct histogram {
	uint64_t buckets[BUCKET_COUNT];
	uint64_t count;
	int64_t sum;
};

static GHashTable *counters;
static GHashTable *histograms;

static void *metric_get(GHashTable **table, const char *name, size_t size)
{
	void *metric;

	if (!*table)
		*table = g_hash_table_new(g_str_hash, g_str_equal);
	metric = g_hash_table_lookup(*table, name);
	if (!metric) {
		metric = g_malloc0(size);
		g_hash_table_insert(*table, g_strdup(name), metric);
	}
	return metric;
}

counter_t *counter_get(const char *name)
{
	return metric_get(&counters, name, sizeof(counter_t));
}

void counter_add(counter_t *counter, int64_t amount)
{
	counter->value += amount;
}

void counter_set(counter_t *counter, int64_t value)
{
	counter->value = value;
}

int64_t counter_value(const counter_t *counter)
{
	return counter->value;
}

histogram_t *histogram_get(const char *name)
{
	return metric_get(&histograms, name, sizeof(histogram_t));
}

void histogram_add(histogram_t *histogram, ms_t duration)
{
	int bucket = 0;

	while (bucket < BUCKET_COUNT - 1 && duration > ((ms_t)1 << bucket))
		bucket++;
	histogram->buckets[bucket]++;
	histogram->count++;
	histogram->sum += duration;
}

static void render_histogram(GString *text, const char *name,
			     const histogram_t *histogram)
{
	uint64_t total = 0;
	int i;

	for (i = 0; i < BUCKET_COUNT - 1; i++) {
		total += histogram->buckets[i];
		g_string_append_printf(text,
				       "%s_bucket{le=\"%" G_GINT64_FORMAT
				       "\"} %" G_GUINT64_FORMAT "\n",
				       name, (gint64)1 << i, total);
	}
	g_string_append_printf(text,
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
			       name, histogram->count);
	g_string_append_printf(text, "%s_sum %" G_GINT64_FORMAT "\n", name,
			       histogram->sum);
	g_string_append_printf(text, "%s_count %" G_GUINT64_FORMAT "\n", name,
			       histogram->count);
}

static GList *sorted_names(GHashTable *table)
{
	if (!table)
		return NULL;
	return g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)strcmp);
}

char *counter_render(void)
{
	GString *text = g_string_new(NULL);
	GList *names = sorted_names(counters);
	GList *at;

	for (at = names; at; at = at->next) {
		const counter_t *counter;

		counter = g_hash_table_lookup(counters, at->data);
		g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n",
				       (char *)at->data, counter->value);
	}
	g_list_free(names);
	names = sorted_names(histograms);
	for (at = names; at; at = at->next)
		render_histogram(text, at->data,
				 g_hash_table_lookup(histograms, at->data));
	g_list_free(names);
	return g_string_free(text, FALSE);
}
