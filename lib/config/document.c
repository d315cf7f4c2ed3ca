#include "config/document.h"

#include <string.h>

#include "base/error.h"
#include "config/document_private.h"
#include "config/validate.h"

/* Longer than any "name@version" that the parser accepts. */
#define ADAPTER_ID_SIZE 256

guint document_key_hash(gconstpointer item)
{
	return g_str_hash(*(const char *const *)item);
}

gboolean document_key_equal(gconstpointer a, gconstpointer b)
{
	return !strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GHashTable *create_set(void)
{
	return g_hash_table_new(document_key_hash, document_key_equal);
}

static void free_array(gpointer array)
{
	g_array_free(array, TRUE);
}

document_parts_t *document_parts_create(void)
{
	document_parts_t *parts = g_new0(document_parts_t, 1);

	parts->ref_count = 1;
	parts->strings = g_string_chunk_new(4096);
	parts->regions = g_array_new(FALSE, TRUE, sizeof(document_region_t));
	parts->services = g_array_new(FALSE, TRUE, sizeof(document_service_t));
	parts->endpoints =
		g_array_new(FALSE, TRUE, sizeof(document_endpoint_t));
	parts->callers = g_array_new(FALSE, TRUE, sizeof(document_caller_t));
	parts->operators =
		g_array_new(FALSE, TRUE, sizeof(document_operator_t));
	parts->lists = g_ptr_array_new_with_free_func(g_free);
	parts->service_names = create_set();
	parts->endpoint_ids = create_set();
	parts->caller_names = create_set();
	parts->round_names = g_hash_table_new(g_str_hash, g_str_equal);
	parts->round_adapters = g_hash_table_new(g_str_hash, g_str_equal);
	parts->followers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_array);
	parts->caller_tokens = g_hash_table_new(g_str_hash, g_str_equal);
	parts->operator_tokens = g_hash_table_new(g_str_hash, g_str_equal);
	return parts;
}

document_t *document_create(document_parts_t *parts, adapter_set_t *adapters,
			    int64_t generation)
{
	document_t *document = g_new0(document_t, 1);

	document->ref_count = 1;
	document->generation = generation;
	document->parts = parts;
	document->adapters = adapters;
	return document;
}

static void free_pattern(gpointer pattern)
{
	g_pattern_spec_free(pattern);
}

document_access_t *document_access_create(void)
{
	document_access_t *access = g_new0(document_access_t, 1);

	access->exact = g_hash_table_new(g_str_hash, g_str_equal);
	access->name_patterns = g_ptr_array_new_with_free_func(free_pattern);
	access->id_patterns = g_ptr_array_new_with_free_func(free_pattern);
	access->services = g_hash_table_new(g_str_hash, g_str_equal);
	return access;
}

static void access_free(const document_access_t *access)
{
	g_hash_table_destroy(access->exact);
	g_ptr_array_free(access->name_patterns, TRUE);
	g_ptr_array_free(access->id_patterns, TRUE);
	g_hash_table_destroy(access->services);
	g_free((gpointer)access);
}

static void parts_free(document_parts_t *parts)
{
	guint i;

	for (i = 0; i < parts->callers->len; i++)
		access_free(g_array_index(parts->callers, document_caller_t, i)
				    .access);
	g_hash_table_destroy(parts->service_names);
	g_hash_table_destroy(parts->endpoint_ids);
	g_hash_table_destroy(parts->caller_names);
	g_hash_table_destroy(parts->round_names);
	g_hash_table_destroy(parts->round_adapters);
	g_hash_table_destroy(parts->followers);
	g_hash_table_destroy(parts->caller_tokens);
	g_hash_table_destroy(parts->operator_tokens);
	g_array_free(parts->regions, TRUE);
	g_array_free(parts->services, TRUE);
	g_array_free(parts->endpoints, TRUE);
	g_array_free(parts->callers, TRUE);
	g_array_free(parts->operators, TRUE);
	g_ptr_array_free(parts->lists, TRUE);
	g_string_chunk_free(parts->strings);
	g_free(parts);
}

document_parts_t *document_parts_ref(document_parts_t *parts)
{
	g_atomic_int_inc(&parts->ref_count);
	return parts;
}

void document_parts_unref(document_parts_t *parts)
{
	if (g_atomic_int_dec_and_test(&parts->ref_count))
		parts_free(parts);
}

static void document_free(document_t *document)
{
	document_parts_unref(document->parts);
	adapter_set_unref(document->adapters);
	g_free(document);
}

document_t *document_ref(document_t *document)
{
	g_atomic_int_inc(&document->ref_count);
	return document;
}

void document_unref(document_t *document)
{
	if (document && g_atomic_int_dec_and_test(&document->ref_count))
		document_free(document);
}

document_t *document_parse(const char *text, size_t size, int64_t generation,
			   GError **error)
{
	faults_t *faults = faults_create();
	document_t *document =
		document_validate(text, size, generation, faults);

	if (!document) {
		const fault_t *fault = g_ptr_array_index(faults->list, 0);

		error_set(error,
			  size > DOCUMENT_SIZE_MAX ? ERROR_TOO_LARGE
						   : ERROR_INVALID,
			  "document: %zu faults; the first at %s line %d: %s; "
			  "%s",
			  faults->count,
			  *fault->path ? fault->path : "the text", fault->line,
			  fault->cause, fault->remedy);
	}
	faults_destroy(faults);
	return document;
}

int64_t document_generation(const document_t *document)
{
	return document->generation;
}

double document_batch_weight(const document_t *document)
{
	return document->parts->batch_weight;
}

static gpointer find_token(GHashTable *tokens, const char *token)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	gpointer found = g_hash_table_lookup(tokens, hash);

	g_free(hash);
	return found;
}

const document_caller_t *document_find_caller(const document_t *document,
					      const char *token)
{
	return find_token(document->parts->caller_tokens, token);
}

const document_operator_t *document_find_operator(const document_t *document,
						  const char *token)
{
	return find_token(document->parts->operator_tokens, token);
}

const document_caller_t *document_caller_by_name(const document_t *document,
						 const char *name)
{
	return g_hash_table_lookup(document->parts->caller_names, &name);
}

const document_service_t *document_find_service(const document_t *document,
						const char *name)
{
	return g_hash_table_lookup(document->parts->service_names, &name);
}

const document_endpoint_t *document_find_endpoint(const document_t *document,
						  const char *id)
{
	return g_hash_table_lookup(document->parts->endpoint_ids, &id);
}

const document_adapter_t *document_find_adapter_id(const document_t *document,
						   const char *id)
{
	return adapter_set_find(document->adapters, id);
}

const document_adapter_t *document_find_adapter(const document_t *document,
						const char *name,
						const char *version)
{
	char id[ADAPTER_ID_SIZE];
	int size = g_snprintf(id, sizeof(id), "%s@%s", name, version);

	if (size >= (int)sizeof(id))
		return NULL;
	return document_find_adapter_id(document, id);
}

static gboolean matches_any(const GPtrArray *patterns, const char *text)
{
	guint i;

	for (i = 0; i < patterns->len; i++) {
		if (g_pattern_spec_match_string(g_ptr_array_index(patterns, i),
						text))
			return TRUE;
	}
	return FALSE;
}

size_t document_adapter_count(const document_t *document)
{
	return adapter_set_size(document->adapters);
}

const document_service_t *
document_adapter_service(const document_t *document,
			 const document_adapter_t *adapter)
{
	const GArray *services = document->parts->services;
	guint i;

	for (i = 0; i < services->len; i++) {
		const document_service_t *service =
			&g_array_index(services, document_service_t, i);

		if (!g_strcmp0(service->base_model, adapter->base_model))
			return service;
	}
	return NULL;
}

const document_follower_t *document_followers(const document_t *document,
					      const char *adapter,
					      size_t *count)
{
	const GArray *list =
		g_hash_table_lookup(document->parts->followers, adapter);

	*count = list ? list->len : 0;
	return list ? (const document_follower_t *)(gconstpointer)list->data
		    : NULL;
}

gboolean document_allows(const document_caller_t *caller,
			 const document_adapter_t *adapter)
{
	const document_access_t *access = caller->access;

	return g_hash_table_contains(access->exact, adapter->id) ||
	       g_hash_table_contains(access->exact, adapter->name) ||
	       matches_any(access->name_patterns, adapter->name) ||
	       matches_any(access->id_patterns, adapter->id);
}

gboolean document_allows_service(const document_caller_t *caller,
				 const document_service_t *service)
{
	return caller->access->is_all_services ||
	       g_hash_table_contains(caller->access->services, service->name);
}

const document_service_t *document_service_by_path(const document_t *document,
						   const char *path)
{
	const document_service_t *best = NULL;
	guint i;

	for (i = 0; i < document->parts->services->len; i++) {
		const document_service_t *service = &g_array_index(
			document->parts->services, document_service_t, i);

		if (!service->path || !g_str_has_prefix(path, service->path))
			continue;
		if (!best || strlen(service->path) > strlen(best->path))
			best = service;
	}
	return best;
}

#define DEFINE_LIST(name, type)                                                \
	const type *document_##name(const document_t *document, size_t *count) \
	{                                                                      \
		*count = document->parts->name->len;                           \
		return (const type *)(gconstpointer)                           \
			document->parts->name->data;                           \
	}

DEFINE_LIST(services, document_service_t)
DEFINE_LIST(endpoints, document_endpoint_t)
DEFINE_LIST(callers, document_caller_t)
DEFINE_LIST(operators, document_operator_t)
DEFINE_LIST(regions, document_region_t)
