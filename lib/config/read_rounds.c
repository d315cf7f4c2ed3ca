/* Parses the rounds of a document, which declare adapter sequences. */

#include <string.h>

#include "config/reader.h"

#define LIKELIHOOD_DEFAULT 0.5

/* Returns the list of followers of an adapter, created if necessary. */
static GArray *followers_of(reader_t *reader, const char *adapter)
{
	GHashTable *followers = reader->parts->followers;
	GArray *list = g_hash_table_lookup(followers, adapter);

	if (!list) {
		list = g_array_new(FALSE, TRUE, sizeof(document_follower_t));
		g_hash_table_insert(followers,
				    (gpointer)reader_intern(reader, adapter),
				    list);
	}
	return list;
}

static document_follower_t *find_follower(GArray *list, const char *adapter)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		document_follower_t *follower =
			&g_array_index(list, document_follower_t, i);

		if (!strcmp(follower->adapter, adapter))
			return follower;
	}
	return NULL;
}

/* If a pair occurs in several rounds, the highest likelihood applies. */
static void add_follower(reader_t *reader, const char *before,
			 const char *adapter, double likelihood)
{
	GArray *list = followers_of(reader, before);
	document_follower_t *known = find_follower(list, adapter);
	document_follower_t follower = {reader_intern(reader, adapter),
					likelihood};

	if (known)
		known->likelihood = MAX(known->likelihood, likelihood);
	else if (list->len < DOCUMENT_FOLLOWERS_MAX)
		g_array_append_val(list, follower);
	else
		fields_add_fault(
			&reader->fields,
			g_strdup_printf("more than %d adapters follow '%s'",
					DOCUMENT_FOLLOWERS_MAX, before),
			g_strdup("keep the likeliest of them"));
}

/* Returns the adapter at a step; NULL, with a fault, if invalid. */
static const char *read_step(reader_t *reader, JsonNode *node)
{
	const char *adapter = fields_text(&reader->fields, node);

	if (!adapter || !reader_has_adapter_id(reader, adapter))
		return NULL;
	g_hash_table_add(reader->parts->round_adapters,
			 (gpointer)reader_intern(reader, adapter));
	return adapter;
}

static void read_steps(reader_t *reader, JsonArray *list, double likelihood)
{
	size_t top = fields_enter(&reader->fields, "adapters");
	const char *before = NULL;
	guint i;

	if (json_array_get_length(list) < 2)
		fields_add_fault(
			&reader->fields, g_strdup("fewer than two adapters"),
			g_strdup("list them in the order of the round"));
	for (i = 0; i < json_array_get_length(list); i++) {
		size_t mark = fields_enter_item(&reader->fields, i);
		const char *adapter =
			read_step(reader, json_array_get_element(list, i));

		if (before && adapter && strcmp(before, adapter) != 0)
			add_follower(reader, before, adapter, likelihood);
		before = adapter;
		fields_leave(&reader->fields, mark);
	}
	fields_leave(&reader->fields, top);
}

static void read_round(reader_t *reader, JsonObject *object)
{
	const char *name = NULL;
	JsonArray *adapters = NULL;
	double likelihood = LIKELIHOOD_DEFAULT;
	const field_t table[] = {
		{"name", FIELD_TEXT, TRUE, &name, 0, 0},
		{"adapters", FIELD_LIST, TRUE, &adapters, 0, 0},
		{"likelihood", FIELD_NUMBER, FALSE, &likelihood, 0, 1},
		{NULL, FIELD_INT, FALSE, NULL, 0, 0},
	};

	fields_read(&reader->fields, object, table);
	name = reader_name(reader, "name", name);
	if (name &&
	    !g_hash_table_add(reader->parts->round_names, (gpointer)name))
		reader_fault_duplicate(reader, "name", name);
	if (adapters)
		read_steps(reader, adapters, likelihood);
}

void reader_rounds(reader_t *reader, JsonArray *rounds)
{
	reader_foreach_object(reader, "rounds", rounds, read_round);
}
