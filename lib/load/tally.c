#include "load/tally.h"

#include <math.h>
#include <stdio.h>

#define US_PER_MS 1000.0

struct tally {
	int64_t events[TALLY_EVENT_COUNT];
	int64_t verdicts[VERDICT_COUNT];
	int64_t outcomes[OUTCOME_COUNT];
	GHashTable *refusals; /* kind to GINT_TO_POINTER(count) */
	GArray *series[SERIES_COUNT];
	gboolean is_sorted[SERIES_COUNT];
};

static const char *const event_names[TALLY_EVENT_COUNT] = {
	[TALLY_SENT] = "sent",
	[TALLY_RETRIED] = "retried",
	[TALLY_UNREACHABLE] = "unreachable",
	[TALLY_TIMEOUT] = "timeout",
};

static const char *const series_names[SERIES_COUNT] = {
	[SERIES_FIRST_TOKEN] = "first_token",
	[SERIES_INTER_TOKEN] = "inter_token",
	[SERIES_WHOLE] = "whole",
};

static const double percents[] = {50, 95, 99};

tally_t *tally_create(void)
{
	tally_t *tally = g_new0(tally_t, 1);

	tally->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < SERIES_COUNT; i++)
		tally->series[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	return tally;
}

void tally_destroy(tally_t *tally)
{
	if (!tally)
		return;
	g_hash_table_destroy(tally->refusals);
	for (int i = 0; i < SERIES_COUNT; i++)
		g_array_free(tally->series[i], TRUE);
	g_free(tally);
}

void tally_count(tally_t *tally, tally_event_t event)
{
	tally->events[event]++;
}

void tally_add_result(tally_t *tally, const check_result_t *result)
{
	gpointer count;

	tally->verdicts[result->verdict]++;
	if (result->verdict == VERDICT_RIGHT)
		tally->outcomes[OUTCOME_ANSWERED]++;
	else if (result->verdict == VERDICT_REFUSED)
		tally->outcomes[result->outcome]++;
	else
		tally->outcomes[OUTCOME_UNKNOWN]++;
	if (result->verdict != VERDICT_REFUSED)
		return;
	count = g_hash_table_lookup(tally->refusals, result->kind);
	g_hash_table_insert(tally->refusals, g_strdup(result->kind),
			    GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

void tally_time(tally_t *tally, series_t series, int64_t duration_us)
{
	g_array_append_val(tally->series[series], duration_us);
	tally->is_sorted[series] = FALSE;
}

int64_t tally_verdicts(const tally_t *tally, verdict_t verdict)
{
	return tally->verdicts[verdict];
}

static gint compare_durations(gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

double tally_percentile(tally_t *tally, series_t series, double percent)
{
	GArray *samples = tally->series[series];
	guint rank;

	if (!samples->len)
		return -1;
	if (!tally->is_sorted[series])
		g_array_sort(samples, compare_durations);
	tally->is_sorted[series] = TRUE;
	rank = (guint)ceil(percent / 100 * samples->len);
	rank = CLAMP(rank, 1, samples->len);
	return (double)g_array_index(samples, int64_t, rank - 1) / US_PER_MS;
}

static void print_refusals(tally_t *tally)
{
	GHashTableIter iter;
	gpointer kind;
	gpointer count;

	g_hash_table_iter_init(&iter, tally->refusals);
	while (g_hash_table_iter_next(&iter, &kind, &count))
		printf("  refused as %-18s %d\n", (char *)kind,
		       GPOINTER_TO_INT(count));
}

void tally_print(tally_t *tally, const char *target)
{
	printf("%s\n", target);
	for (int i = 0; i < TALLY_EVENT_COUNT; i++)
		printf("  %-29s %" G_GINT64_FORMAT "\n", event_names[i],
		       tally->events[i]);
	for (int i = 0; i < VERDICT_COUNT; i++)
		printf("  %-29s %" G_GINT64_FORMAT "\n",
		       verdict_name((verdict_t)i), tally->verdicts[i]);
	for (int i = 0; i < OUTCOME_COUNT; i++)
		printf("  outcome %-21s %" G_GINT64_FORMAT "\n",
		       outcome_name((outcome_t)i), tally->outcomes[i]);
	print_refusals(tally);
	printf("  %-12s %9s %9s %9s %9s\n", "ms", "samples", "p50", "p95",
	       "p99");
	for (int i = 0; i < SERIES_COUNT; i++) {
		printf("  %-12s %9u", series_names[i], tally->series[i]->len);
		for (size_t p = 0; p < G_N_ELEMENTS(percents); p++)
			printf(" %9.3f", tally_percentile(tally, (series_t)i,
							  percents[p]));
		printf("\n");
	}
}

static JsonObject *series_json(tally_t *tally, series_t series)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "samples",
				   tally->series[series]->len);
	for (size_t p = 0; p < G_N_ELEMENTS(percents); p++) {
		char name[16];

		g_snprintf(name, sizeof(name), "p%d_ms", (int)percents[p]);
		json_object_set_double_member(
			object, name,
			tally_percentile(tally, series, percents[p]));
	}
	return object;
}

static JsonObject *refusals_json(tally_t *tally)
{
	JsonObject *object = json_object_new();
	GHashTableIter iter;
	gpointer kind;
	gpointer count;

	g_hash_table_iter_init(&iter, tally->refusals);
	while (g_hash_table_iter_next(&iter, &kind, &count))
		json_object_set_int_member(object, kind,
					   GPOINTER_TO_INT(count));
	return object;
}

JsonObject *tally_json(tally_t *tally)
{
	JsonObject *object = json_object_new();
	JsonObject *outcomes = json_object_new();

	for (int i = 0; i < TALLY_EVENT_COUNT; i++)
		json_object_set_int_member(object, event_names[i],
					   tally->events[i]);
	for (int i = 0; i < VERDICT_COUNT; i++)
		json_object_set_int_member(object, verdict_name((verdict_t)i),
					   tally->verdicts[i]);
	for (int i = 0; i < OUTCOME_COUNT; i++)
		json_object_set_int_member(outcomes, outcome_name((outcome_t)i),
					   tally->outcomes[i]);
	json_object_set_object_member(object, "outcomes", outcomes);
	json_object_set_object_member(object, "refusals", refusals_json(tally));
	for (int i = 0; i < SERIES_COUNT; i++)
		json_object_set_object_member(object, series_names[i],
					      series_json(tally, (series_t)i));
	return object;
}
