#include "front/organisation_counts.h"

#include "base/counter.h"

typedef struct {
	counter_t *requests;
	counter_t *refused;
} labelled_t;

struct organisation_counts {
	GHashTable *by_name; /* to labelled_t */
	labelled_t other;
};

static counter_t *labelled_counter(const char *metric, const char *name)
{
	GString *text = g_string_new(metric);
	counter_t *counter;
	const char *at;

	g_string_append(text, "{organisation=\"");
	for (at = name; *at; at++) {
		/* The text format escapes these; names have no line ends. */
		if (*at == '"' || *at == '\\')
			g_string_append_c(text, '\\');
		g_string_append_c(text, *at);
	}
	g_string_append(text, "\"}");
	counter = counter_get(text->str);
	g_string_free(text, TRUE);
	return counter;
}

static labelled_t create_labelled(const char *name)
{
	return (labelled_t){
		labelled_counter("hc_organisation_requests_total", name),
		labelled_counter("hc_organisation_refused_total", name)};
}

organisation_counts_t *organisation_counts_create(void)
{
	organisation_counts_t *counts = g_new0(organisation_counts_t, 1);

	counts->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return counts;
}

void organisation_counts_destroy(organisation_counts_t *counts)
{
	g_hash_table_destroy(counts->by_name);
	g_free(counts);
}

static const labelled_t *find_labelled(organisation_counts_t *counts,
				       const char *name)
{
	const labelled_t *found = g_hash_table_lookup(counts->by_name, name);
	labelled_t created;

	if (found)
		return found;
	if (g_hash_table_size(counts->by_name) >= ORGANISATION_LABELS_MAX) {
		if (!counts->other.requests)
			counts->other = create_labelled("other");
		return &counts->other;
	}
	created = create_labelled(name);
	g_hash_table_insert(counts->by_name, g_strdup(name),
			    g_memdup2(&created, sizeof(created)));
	return g_hash_table_lookup(counts->by_name, name);
}

void organisation_counts_add_request(organisation_counts_t *counts,
				     const char *name)
{
	counter_add(find_labelled(counts, name)->requests, 1);
}

void organisation_counts_add_refusal(organisation_counts_t *counts,
				     const char *name)
{
	counter_add(find_labelled(counts, name)->refused, 1);
}
