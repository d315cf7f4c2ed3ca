#include <string.h>

#include "http/http_server_private.h"

/* Getters of request properties. */

/*
 * Returns a NUL-terminated copy of the bytes that is valid until the request
 * ends.  A copy that exists for the key is returned again and never replaced,
 * as a handler may be using it.  Frees key or takes ownership of it.
 */
static const char *keep_text(http_request_t *request, char *key,
			     const char *base, size_t size)
{
	char *copy = g_hash_table_lookup(request->texts, key);

	if (copy) {
		g_free(key);
		return copy;
	}
	copy = g_strndup(base, size);
	g_hash_table_insert(request->texts, key, copy);
	return copy;
}

const char *http_request_method(http_request_t *request)
{
	h2o_iovec_t method = request->req->method;

	return keep_text(request, g_strdup("m"), method.base, method.len);
}

const char *http_request_path(http_request_t *request)
{
	h2o_iovec_t path = request->req->path_normalized;

	return keep_text(request, g_strdup("p"), path.base, path.len);
}

const char *http_request_target(http_request_t *request)
{
	h2o_iovec_t target = request->req->input.path;

	return keep_text(request, g_strdup("t"), target.base, target.len);
}

const char *http_request_query(http_request_t *request, const char *name)
{
	h2o_req_t *req = request->req;
	GHashTable *table;
	const char *value;
	char *query;

	if (req->query_at == SIZE_MAX)
		return NULL;
	query = g_strndup(req->path.base + req->query_at + 1,
			  req->path.len - req->query_at - 1);
	table = g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	g_free(query);
	if (!table)
		return NULL;
	value = g_hash_table_lookup(table, name);
	if (value)
		value = keep_text(request, g_strconcat("q:", name, NULL), value,
				  strlen(value));
	g_hash_table_destroy(table);
	return value;
}

const char *http_request_header(http_request_t *request, const char *name)
{
	const h2o_headers_t *headers = &request->req->headers;
	size_t length = strlen(name);
	size_t i;

	for (i = 0; i < headers->size; i++) {
		const h2o_header_t *header = &headers->entries[i];

		if (header->name->len == length &&
		    !memcmp(header->name->base, name, length))
			return keep_text(request, g_strconcat("h:", name, NULL),
					 header->value.base, header->value.len);
	}
	return NULL;
}

const char *http_request_body(http_request_t *request, size_t *size)
{
	*size = request->req->entity.len;
	return request->req->entity.base ? request->req->entity.base : "";
}
