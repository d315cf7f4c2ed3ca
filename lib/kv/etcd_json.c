#include "base/json_member.h"
#include "kv/etcd_json.h"

#include <json-glib/json-glib.h>
#include <string.h>

static void append_base64(GString *text, const char *name, const char *data,
			  size_t size)
{
	char *encoded = g_base64_encode((const guchar *)data, size);

	g_string_append_printf(text, "\"%s\":\"", name);
	g_string_append(text, encoded);
	g_string_append_c(text, '"');
	g_free(encoded);
}

static void append_prefix(GString *text, const char *prefix)
{
	size_t size = strlen(prefix);
	char *end = g_strdup(prefix);

	g_assert(size);
	end[size - 1]++;
	append_base64(text, "key", prefix, size);
	g_string_append_c(text, ',');
	append_base64(text, "range_end", end, size);
	g_free(end);
}

char *etcd_render_range(const char *key, gboolean is_prefix)
{
	GString *text = g_string_new("{");

	if (is_prefix)
		append_prefix(text, key);
	else
		append_base64(text, "key", key, strlen(key));
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static void append_compare(GString *text, const kv_write_t *write)
{
	if (write->expected == KV_REVISION_ANY)
		return;
	if (text->str[text->len - 1] == '}')
		g_string_append_c(text, ',');
	g_string_append_c(text, '{');
	append_base64(text, "key", write->key, strlen(write->key));
	if (write->expected == KV_REVISION_ABSENT)
		g_string_append(text, ",\"target\":\"CREATE\","
				      "\"create_revision\":\"0\"");
	else
		g_string_append_printf(text,
				       ",\"target\":\"MOD\","
				       "\"mod_revision\":\"%" G_GINT64_FORMAT
				       "\"",
				       write->expected);
	g_string_append(text, ",\"result\":\"EQUAL\"}");
}

static void append_operation(GString *text, const kv_write_t *write)
{
	if (text->str[text->len - 1] == '}')
		g_string_append_c(text, ',');
	if (write->value) {
		g_string_append(text, "{\"request_put\":{");
		append_base64(text, "key", write->key, strlen(write->key));
		g_string_append_c(text, ',');
		append_base64(text, "value", write->value, write->size);
		if (write->lease)
			g_string_append_printf(
				text, ",\"lease\":\"%" G_GINT64_FORMAT "\"",
				write->lease);
	} else {
		g_string_append(text, "{\"request_delete_range\":{");
		append_base64(text, "key", write->key, strlen(write->key));
	}
	g_string_append(text, "}}");
}

char *etcd_render_txn(const kv_write_t *writes, size_t count)
{
	GString *text = g_string_new("{\"compare\":[");
	size_t i;

	for (i = 0; i < count; i++)
		append_compare(text, &writes[i]);
	g_string_append(text, "],\"success\":[");
	for (i = 0; i < count; i++)
		append_operation(text, &writes[i]);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

char *etcd_render_lease_grant(ms_t ttl)
{
	return g_strdup_printf("{\"TTL\":\"%" G_GINT64_FORMAT "\"}",
			       (ttl + MS_PER_S - 1) / MS_PER_S);
}

char *etcd_render_lease(int64_t lease)
{
	return g_strdup_printf("{\"ID\":\"%" G_GINT64_FORMAT "\"}", lease);
}

char *etcd_render_watch(const char *prefix, int64_t after)
{
	GString *text = g_string_new("{\"create_request\":{");

	append_prefix(text, prefix);
	g_string_append_printf(text,
			       ",\"start_revision\":\"%" G_GINT64_FORMAT "\"}}",
			       after + 1);
	return g_string_free(text, FALSE);
}

int64_t etcd_member_int(JsonObject *object, const char *name)
{
	const char *text = json_member_text(object, name);
	int64_t number = 0;

	if (text)
		return g_ascii_strtoll(text, NULL, 10);
	json_member_int(object, name, &number);
	return number;
}

static char *decode(const char *text, size_t *size)
{
	guchar *raw = g_base64_decode(text, size);
	char *value = g_malloc(*size + 1);

	memcpy(value, raw, *size);
	value[*size] = '\0';
	g_free(raw);
	return value;
}

static gboolean malformed(GError **error, const char *what)
{
	error_set(error, ERROR_PROTOCOL,
		  "malformed answer of the key-value service (%s); check that "
		  "the address is that of an etcd v3 JSON gateway",
		  what);
	return FALSE;
}

static JsonParser *parse_object(const char *text, size_t size,
				JsonObject **object, GError **error)
{
	JsonParser *parser = json_parse_object(text, size, object);

	if (!parser)
		malformed(error, "not a JSON object");
	return parser;
}

static gboolean add_item(GArray *items, JsonObject *kv, gboolean is_deleted,
			 GError **error)
{
	const char *key = json_member_text(kv, "key");
	const char *value = json_member_text(kv, "value");
	kv_item_t item = {0};
	size_t size;

	if (!key)
		return malformed(error, "an item without key");
	item.key = decode(key, &size);
	item.revision = etcd_member_int(kv, "mod_revision");
	item.lease = etcd_member_int(kv, "lease");
	if (!is_deleted)
		item.value = decode(value ? value : "", &item.size);
	g_array_append_val(items, item);
	return TRUE;
}

static gboolean read_revision(JsonObject *object, int64_t *revision,
			      GError **error)
{
	*revision = etcd_member_int(json_member_object(object, "header"),
				    "revision");
	return *revision > 0 || malformed(error, "no revision");
}

gboolean etcd_parse_range(const char *text, size_t size, GArray *items,
			  int64_t *revision, GError **error)
{
	JsonObject *object;
	JsonParser *parser = parse_object(text, size, &object, error);
	JsonArray *kvs;
	gboolean is_valid;
	guint i;

	if (!parser)
		return FALSE;
	is_valid = read_revision(object, revision, error);
	kvs = json_member_array(object, "kvs");
	for (i = 0; is_valid && kvs && i < json_array_get_length(kvs); i++)
		is_valid = add_item(items, json_element_object(kvs, i), FALSE,
				    error);
	g_object_unref(parser);
	return is_valid;
}

gboolean etcd_parse_txn(const char *text, size_t size, gboolean *is_done,
			int64_t *revision, GError **error)
{
	JsonObject *object;
	JsonParser *parser = parse_object(text, size, &object, error);
	gboolean is_valid;

	if (!parser)
		return FALSE;
	is_valid = read_revision(object, revision, error);
	*is_done = json_member_bool(object, "succeeded");
	g_object_unref(parser);
	return is_valid;
}

gboolean etcd_parse_lease(const char *text, size_t size, int64_t *lease,
			  GError **error)
{
	JsonObject *object;
	JsonParser *parser = parse_object(text, size, &object, error);
	gboolean is_valid;

	if (!parser)
		return FALSE;
	if (json_member_object(object, "result"))
		object = json_member_object(object, "result");
	is_valid = json_member_object(object, "header") != NULL;
	if (!is_valid)
		malformed(error, "no header");
	*lease = etcd_member_int(object, "TTL") > 0
			 ? etcd_member_int(object, "ID")
			 : 0;
	g_object_unref(parser);
	return is_valid;
}

static gboolean add_event(GArray *items, JsonObject *event, GError **error)
{
	const char *type = json_member_text(event, "type");
	JsonObject *kv = json_member_object(event, "kv");

	if (!kv)
		return malformed(error, "an event without kv");
	return add_item(items, kv, type && !strcmp(type, "DELETE"), error);
}

gboolean etcd_parse_watch(const char *text, size_t size, GArray *items,
			  GError **error)
{
	JsonObject *object;
	JsonParser *parser = parse_object(text, size, &object, error);
	JsonObject *result;
	JsonArray *events;
	gboolean is_valid = TRUE;
	guint i;

	if (!parser)
		return FALSE;
	result = json_member_object(object, "result");
	if (!result) {
		is_valid = malformed(error, "a watch line without result");
	} else if (json_member_bool(result, "canceled")) {
		error_set(error, ERROR_UNAVAILABLE,
			  "the service ended the watch; read anew and watch "
			  "again");
		is_valid = FALSE;
	}
	events = json_member_array(result, "events");
	for (i = 0; is_valid && events && i < json_array_get_length(events);
	     i++)
		is_valid =
			add_event(items, json_element_object(events, i), error);
	g_object_unref(parser);
	return is_valid;
}

char *etcd_parse_error(const char *text, size_t size)
{
	JsonObject *object;
	JsonParser *parser = parse_object(text, size, &object, NULL);
	const char *message;
	char *copy;

	if (!parser)
		return g_strdup("");
	message = json_member_text(object, "message");
	if (!message)
		message = json_member_text(object, "error");
	copy = g_strdup(message ? message : "");
	g_object_unref(parser);
	return copy;
}
