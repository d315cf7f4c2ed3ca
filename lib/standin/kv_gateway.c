#include "standin/kv_gateway.h"

#include <string.h>

#include "base/json_member.h"
#include "kv/etcd_json.h"

#define OPERATIONS_MAX 128

/* gRPC status codes. */
#define CODE_INVALID_ARGUMENT 3
#define CODE_NOT_FOUND	      5
#define CODE_UNIMPLEMENTED    12

void gateway_error(gateway_response_t *response, int status, int code,
		   const char *message)
{
	response->status = status;
	g_string_printf(response->body,
			"{\"error\":\"%s\",\"message\":\"%s\",\"code\":%d}",
			message, message, code);
}

/*
 * Decodes a base64 member and terminates it with a NUL; returns NULL if the
 * member is absent.
 */
static char *decode_member(JsonObject *object, const char *name, size_t *size)
{
	const char *text = json_member_text(object, name);
	guchar *raw;
	char *bytes;

	*size = 0;
	if (!text)
		return NULL;
	raw = g_base64_decode(text, size);
	bytes = g_malloc0(*size + 1);
	memcpy(bytes, raw, *size);
	g_free(raw);
	return bytes;
}

static void append_base64(GString *text, const char *name, const char *data,
			  size_t size)
{
	char *encoded = g_base64_encode((const guchar *)data, size);

	g_string_append_printf(text, "\"%s\":\"", name);
	g_string_append(text, encoded);
	g_string_append_c(text, '"');
	g_free(encoded);
}

static void append_record(GString *text, const kv_record_t *record)
{
	g_string_append_c(text, '{');
	append_base64(text, "key", record->key, strlen(record->key));
	g_string_append_printf(text,
			       ",\"mod_revision\":\"%" G_GINT64_FORMAT "\"",
			       record->revision);
	if (record->value) {
		g_string_append_printf(
			text,
			",\"create_revision\":\"%" G_GINT64_FORMAT
			"\",\"version\":\"%" G_GINT64_FORMAT "\",",
			record->create_revision, record->version);
		append_base64(text, "value", record->value, record->size);
		if (record->lease)
			g_string_append_printf(
				text, ",\"lease\":\"%" G_GINT64_FORMAT "\"",
				record->lease);
	}
	g_string_append_c(text, '}');
}

static void append_header(GString *text, const kv_store_t *store)
{
	g_string_append_printf(
		text, "\"header\":{\"revision\":\"%" G_GINT64_FORMAT "\"}",
		kv_store_revision(store));
}

static gboolean append_range(kv_store_t *store, JsonObject *object,
			     GString *text)
{
	size_t size;
	char *key = decode_member(object, "key", &size);
	char *end = decode_member(object, "range_end", &size);
	const kv_record_t *record;
	GPtrArray *found;
	guint i;

	if (!key) {
		g_free(end);
		return FALSE;
	}
	if (end) {
		/* A range end of one NUL byte means no upper bound. */
		found = kv_store_range(store, key, *end ? end : NULL);
	} else {
		found = g_ptr_array_new();
		record = kv_store_get(store, key);
		if (record)
			g_ptr_array_add(found, (gpointer)record);
	}
	g_string_append(text, "\"kvs\":[");
	for (i = 0; i < found->len; i++) {
		if (i)
			g_string_append_c(text, ',');
		append_record(text, found->pdata[i]);
	}
	g_string_append_printf(text, "],\"count\":\"%u\"", found->len);
	g_ptr_array_unref(found);
	g_free(key);
	g_free(end);
	return TRUE;
}

static void apply_range(kv_store_t *store, JsonObject *object,
			gateway_response_t *response)
{
	g_string_append_c(response->body, '{');
	append_header(response->body, store);
	g_string_append_c(response->body, ',');
	if (!append_range(store, object, response->body)) {
		gateway_error(response, 400, CODE_INVALID_ARGUMENT,
			      "etcdserver: key is not provided");
		return;
	}
	g_string_append_c(response->body, '}');
}

static gboolean evaluate_compare(const kv_store_t *store, JsonObject *compare)
{
	const char *target = json_member_text(compare, "target");
	const char *result = json_member_text(compare, "result");
	size_t size;
	char *key = decode_member(compare, "key", &size);
	const kv_record_t *record = key ? kv_store_get(store, key) : NULL;
	int64_t actual = 0;
	int64_t expected;

	g_free(key);
	if (target && !strcmp(target, "MOD")) {
		expected = etcd_member_int(compare, "mod_revision");
		actual = record ? record->revision : 0;
	} else if (target && !strcmp(target, "CREATE")) {
		expected = etcd_member_int(compare, "create_revision");
		actual = record ? record->create_revision : 0;
	} else {
		expected = etcd_member_int(compare, "version");
		actual = record ? record->version : 0;
	}
	if (result && !strcmp(result, "GREATER"))
		return actual > expected;
	if (result && !strcmp(result, "LESS"))
		return actual < expected;
	if (result && !strcmp(result, "NOT_EQUAL"))
		return actual != expected;
	return actual == expected;
}

/* Returns FALSE if the operation is not supported. */
static gboolean read_change(JsonObject *operation, kv_change_t *change)
{
	JsonObject *put = json_member_object(operation, "request_put");
	JsonObject *deletion =
		json_member_object(operation, "request_delete_range");
	size_t size;

	memset(change, 0, sizeof(*change));
	if (put) {
		change->key = decode_member(put, "key", &size);
		change->value = decode_member(put, "value", &change->size);
		if (!change->value)
			change->value = g_strdup("");
		change->lease = etcd_member_int(put, "lease");
	} else if (deletion) {
		change->key = decode_member(deletion, "key", &size);
	}
	return change->key != NULL;
}

static void apply_changes(kv_store_t *store, JsonArray *operations,
			  gateway_response_t *response)
{
	guint count = operations ? json_array_get_length(operations) : 0;
	kv_change_t *changes;
	gboolean is_valid = count <= OPERATIONS_MAX;
	guint i;

	if (!is_valid)
		count = 0;
	changes = g_new0(kv_change_t, count + 1);
	for (i = 0; i < count; i++)
		is_valid &= read_change(json_element_object(operations, i),
					&changes[i]);
	if (!is_valid)
		gateway_error(response, 400, CODE_INVALID_ARGUMENT,
			      "etcdserver: invalid operation in txn request");
	else if (!kv_store_apply(store, changes, count))
		gateway_error(response, 404, CODE_NOT_FOUND,
			      "etcdserver: requested lease not found");
	for (i = 0; i < count; i++) {
		g_free((char *)changes[i].key);
		g_free((char *)changes[i].value);
	}
	g_free(changes);
}

static void apply_txn(kv_store_t *store, JsonObject *object,
		      gateway_response_t *response)
{
	JsonArray *compares = json_member_array(object, "compare");
	gboolean is_met = TRUE;
	guint i;

	for (i = 0; compares && i < json_array_get_length(compares); i++)
		is_met &= evaluate_compare(store,
					   json_element_object(compares, i));
	apply_changes(store,
		      json_member_array(object, is_met ? "success" : "failure"),
		      response);
	if (response->status != 200)
		return;
	g_string_append_c(response->body, '{');
	append_header(response->body, store);
	g_string_append(response->body, is_met ? ",\"succeeded\":true}" : "}");
}

static void apply_put(kv_store_t *store, JsonObject *object,
		      gateway_response_t *response)
{
	JsonArray *operations = json_array_new();
	JsonObject *operation = json_object_new();

	json_object_set_object_member(operation, "request_put",
				      json_object_ref(object));
	json_array_add_object_element(operations, operation);
	apply_changes(store, operations, response);
	json_array_unref(operations);
	if (response->status != 200)
		return;
	g_string_append_c(response->body, '{');
	append_header(response->body, store);
	g_string_append_c(response->body, '}');
}

static void append_lease(GString *text, const kv_store_t *store, int64_t lease,
			 ms_t ttl)
{
	g_string_append_c(text, '{');
	append_header(text, store);
	g_string_append_printf(text,
			       ",\"ID\":\"%" G_GINT64_FORMAT
			       "\",\"TTL\":\"%" G_GINT64_FORMAT "\"}",
			       lease, ttl / MS_PER_S);
}

static void apply_lease(kv_store_t *store, const char *path, JsonObject *object,
			ms_t now, gateway_response_t *response)
{
	int64_t lease = etcd_member_int(object, "ID");
	ms_t ttl = etcd_member_int(object, "TTL") * MS_PER_S;

	if (g_str_has_suffix(path, "/grant")) {
		lease = kv_store_lease_grant(store, MAX(ttl, MS_PER_S), now);
		append_lease(response->body, store, lease, ttl);
	} else if (g_str_has_suffix(path, "/keepalive")) {
		ttl = kv_store_lease_renew(store, lease, now);
		g_string_append(response->body, "{\"result\":");
		append_lease(response->body, store, lease, ttl);
		g_string_append_c(response->body, '}');
	} else if (kv_store_lease_revoke(store, lease)) {
		g_string_append_c(response->body, '{');
		append_header(response->body, store);
		g_string_append_c(response->body, '}');
	} else {
		gateway_error(response, 404, CODE_NOT_FOUND,
			      "etcdserver: requested lease not found");
	}
}

static JsonParser *parse_object(const char *body, size_t size,
				JsonObject **object)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, body, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		*object = json_node_get_object(root);
		return parser;
	}
	g_object_unref(parser);
	return NULL;
}

void gateway_apply(kv_store_t *store, const char *path, const char *body,
		   size_t size, ms_t now, gateway_response_t *response)
{
	JsonObject *object;
	JsonParser *parser = parse_object(body, size, &object);

	response->status = 200;
	if (!parser) {
		gateway_error(response, 400, CODE_INVALID_ARGUMENT,
			      "the body is not a JSON object");
		return;
	}
	if (!strcmp(path, "/v3/kv/range"))
		apply_range(store, object, response);
	else if (!strcmp(path, "/v3/kv/txn"))
		apply_txn(store, object, response);
	else if (!strcmp(path, "/v3/kv/put"))
		apply_put(store, object, response);
	else if (strstr(path, "/lease/"))
		apply_lease(store, path, object, now, response);
	else
		gateway_error(response, 404, CODE_UNIMPLEMENTED,
			      "no such call");
	g_object_unref(parser);
}

gboolean gateway_parse_watch(const char *body, size_t size, char **key,
			     char **end, int64_t *start_revision)
{
	JsonObject *object;
	JsonParser *parser = parse_object(body, size, &object);
	size_t unused;

	*key = NULL;
	*end = NULL;
	if (!parser)
		return FALSE;
	object = json_member_object(object, "create_request");
	*key = decode_member(object, "key", &unused);
	*end = decode_member(object, "range_end", &unused);
	*start_revision = etcd_member_int(object, "start_revision");
	g_object_unref(parser);
	return *key != NULL;
}

void gateway_append_event(GString *text, const kv_record_t *record)
{
	g_string_append_printf(text,
			       "{\"result\":{\"header\":{\"revision\":"
			       "\"%" G_GINT64_FORMAT "\"},\"events\":[{",
			       record->revision);
	if (!record->value)
		g_string_append(text, "\"type\":\"DELETE\",");
	g_string_append(text, "\"kv\":");
	append_record(text, record);
	g_string_append(text, "}]}}\n");
}

void gateway_append_watch_state(GString *text, int64_t revision,
				const char *state)
{
	g_string_append_printf(text,
			       "{\"result\":{\"header\":{\"revision\":"
			       "\"%" G_GINT64_FORMAT "\"},\"%s\":true}}\n",
			       revision, state);
}
