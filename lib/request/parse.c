#include "request/parse.h"

#include <string.h>

#include "request/parse_body.h"

#define PATH_COMPLETIONS "/v1/completions"
#define PATH_CHAT	 "/v1/chat/completions"

/* Limit of path and query, in bytes. */
#define TARGET_SIZE_MAX 2048

static const char *header_get(const request_input_t *input, const char *name)
{
	return input->header(input->ctx, name);
}

/* Copy an optional header whose value is an identifier. */
static gboolean parse_identifier(const request_input_t *input, const char *name,
				 char **value, GError **error)
{
	const char *text = header_get(input, name);

	if (!text)
		return TRUE;
	if (!*text || strlen(text) > REQUEST_TEXT_MAX ||
	    !request_text_is_printable(text)) {
		error_set(error, ERROR_INVALID,
			  "header %s must have 1 to %d printable characters "
			  "without spaces; send a shorter, plain value",
			  name, REQUEST_TEXT_MAX);
		return FALSE;
	}
	*value = g_strdup(text);
	return TRUE;
}

static gboolean parse_number(const request_input_t *input, const char *name,
			     int64_t min, int64_t max, int64_t *value,
			     GError **error)
{
	const char *text = header_get(input, name);

	if (!text)
		return TRUE;
	if (!g_ascii_string_to_signed(text, 10, min, max, value, NULL)) {
		error_set(error, ERROR_INVALID,
			  "header %s must be a whole number from "
			  "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
			  "; correct or leave out the header",
			  name, min, max);
		return FALSE;
	}
	return TRUE;
}

static gboolean parse_flag(const request_input_t *input, const char *name,
			   gboolean *value, GError **error)
{
	const char *text = header_get(input, name);

	if (!text)
		return TRUE;
	if (!g_ascii_strcasecmp(text, "true") || !strcmp(text, "1")) {
		*value = TRUE;
		return TRUE;
	}
	if (!g_ascii_strcasecmp(text, "false") || !strcmp(text, "0")) {
		*value = FALSE;
		return TRUE;
	}
	error_set(error, ERROR_INVALID,
		  "header %s must be true or false; correct the header", name);
	return FALSE;
}

const char *request_token(const char *authorization, GError **error)
{
	static const char scheme[] = "Bearer ";
	const char *token;

	if (authorization &&
	    !g_ascii_strncasecmp(authorization, scheme, strlen(scheme))) {
		token = authorization + strlen(scheme);
		if (*token && strlen(token) <= REQUEST_TEXT_MAX &&
		    request_text_is_printable(token))
			return token;
	}
	error_set(error, ERROR_UNAUTHENTICATED,
		  "no bearer token; send the header "
		  "'Authorization: Bearer TOKEN' with your caller's token");
	return NULL;
}

static gboolean parse_token(const request_input_t *input, request_spec_t *spec,
			    GError **error)
{
	spec->token = g_strdup(
		request_token(header_get(input, "authorization"), error));
	return spec->token != NULL;
}

/* The value is passed on unchanged: a plain service may accept any type. */
static gboolean parse_content_type(const request_input_t *input,
				   request_spec_t *spec, GError **error)
{
	const char *text = header_get(input, "content-type");
	const char *end;

	for (end = text; end && g_ascii_isprint(*end); end++)
		;
	if (text && (*end || end - text > REQUEST_TEXT_MAX)) {
		error_set(error, ERROR_INVALID,
			  "header content-type must have at most %d printable "
			  "characters; correct the header",
			  REQUEST_TEXT_MAX);
		return FALSE;
	}
	spec->content_type = g_strdup(text);
	return TRUE;
}

static gboolean parse_headers(const request_input_t *input,
			      request_spec_t *spec, GError **error)
{
	int64_t priority = REQUEST_PRIORITY_DEFAULT;
	int64_t deadline = REQUEST_DEADLINE_DEFAULT;
	gboolean is_non_idempotent = !spec->is_idempotent;

	if (!parse_identifier(input, "x-request-id", &spec->id, error) ||
	    !parse_identifier(input, "idempotency-key", &spec->key, error) ||
	    !parse_number(input, "x-priority", 0, REQUEST_PRIORITY_MAX,
			  &priority, error) ||
	    !parse_number(input, "x-deadline-ms", 1, REQUEST_DEADLINE_MAX,
			  &deadline, error) ||
	    !parse_flag(input, "x-non-idempotent", &is_non_idempotent, error) ||
	    !parse_content_type(input, spec, error))
		return FALSE;
	spec->priority = (int)priority;
	spec->deadline = deadline;
	spec->is_idempotent = !is_non_idempotent;
	spec->traceparent = g_strdup(header_get(input, "traceparent"));
	if (is_non_idempotent && !spec->key) {
		error_set(error, ERROR_INVALID,
			  "a non-idempotent request needs the header "
			  "Idempotency-Key; send a key that is the same "
			  "each time this request is sent");
		return FALSE;
	}
	return TRUE;
}

static gboolean method_is_supported(const char *method)
{
	static const char *const methods[] = {"GET",   "HEAD",	 "POST", "PUT",
					      "PATCH", "DELETE", NULL};

	return g_strv_contains(methods, method);
}

static gboolean parse_service_target(const request_input_t *input,
				     request_spec_t *spec, GError **error)
{
	if (!method_is_supported(input->method)) {
		error_set(error, ERROR_INVALID,
			  "this method is not served; use GET, HEAD, POST, "
			  "PUT, PATCH or DELETE");
		return FALSE;
	}
	spec->path = g_strdup(input->target);
	spec->is_idempotent = strcmp(input->method, "POST") != 0 &&
			      strcmp(input->method, "PATCH") != 0;
	return TRUE;
}

static gboolean has_dot_segment(const char *path)
{
	char **segments = g_strsplit(path, "/", -1);
	gboolean has = g_strv_contains((const char *const *)segments, ".") ||
		       g_strv_contains((const char *const *)segments, "..");

	g_strfreev(segments);
	return has;
}

/*
 * Decodes the path that selects the service.  The target is forwarded as
 * received, so both must denote the same resource: a dot segment, which an
 * endpoint might resolve to a path outside its service, is refused.
 */
static gboolean parse_route(const request_input_t *input, request_spec_t *spec,
			    GError **error)
{
	char *path;

	if (strlen(input->target) > TARGET_SIZE_MAX ||
	    !request_text_is_printable(input->target)) {
		error_set(error, ERROR_INVALID,
			  "path and query must have at most %d printable "
			  "characters without spaces; shorten or encode them",
			  TARGET_SIZE_MAX);
		return FALSE;
	}
	path = g_strndup(input->target, strcspn(input->target, "?"));
	spec->route = g_uri_unescape_string(path, NULL);
	g_free(path);
	if (spec->route && !has_dot_segment(spec->route))
		return TRUE;
	error_set(error, ERROR_INVALID,
		  "the path has a wrong %%-encoding or a segment '.' or '..'; "
		  "encode it anew, or leave out the segment");
	return FALSE;
}

/* Set the kind of the request and its path from method and target. */
static gboolean parse_target(const request_input_t *input, request_spec_t *spec,
			     GError **error)
{
	spec->is_idempotent = TRUE;
	if (!parse_route(input, spec, error))
		return FALSE;
	if (!g_str_has_prefix(spec->route, REQUEST_ENGINE_PREFIX)) {
		spec->kind = REQUEST_SERVICE;
		return parse_service_target(input, spec, error);
	}
	if (!strcmp(spec->route, PATH_COMPLETIONS)) {
		spec->kind = REQUEST_COMPLETION;
	} else if (!strcmp(spec->route, PATH_CHAT)) {
		spec->kind = REQUEST_CHAT;
	} else {
		error_set(error, ERROR_NOT_FOUND,
			  "no such path; use %s, %s or the path of a service",
			  PATH_COMPLETIONS, PATH_CHAT);
		return FALSE;
	}
	if (strcmp(input->method, "POST") != 0) {
		error_set(error, ERROR_INVALID,
			  "%s takes the method POST only; use POST",
			  spec->route);
		return FALSE;
	}
	spec->path = g_strdup(spec->route);
	return TRUE;
}

static gboolean check_body_size(const request_input_t *input, GError **error)
{
	if (input->body_size <= REQUEST_BODY_MAX)
		return TRUE;
	error_set(error, ERROR_TOO_LARGE,
		  "the body has more than %d bytes; send a shorter one",
		  REQUEST_BODY_MAX);
	return FALSE;
}

request_spec_t *request_parse(const request_input_t *input, GError **error)
{
	request_spec_t *spec = g_new0(request_spec_t, 1);

	/* Check the token first: reveal nothing to unauthenticated clients. */
	if (!parse_token(input, spec, error) ||
	    !parse_target(input, spec, error) ||
	    !parse_headers(input, spec, error) ||
	    !check_body_size(input, error) ||
	    (spec->kind != REQUEST_SERVICE &&
	     !request_parse_body(spec, input->body, input->body_size, error))) {
		request_spec_destroy(spec);
		return NULL;
	}
	spec->method = g_strdup(input->method);
	spec->body = g_bytes_new(input->body, input->body_size);
	g_assert(spec->is_idempotent || spec->key);
	return spec;
}

void request_spec_destroy(request_spec_t *spec)
{
	if (!spec)
		return;
	g_free(spec->token);
	g_free(spec->id);
	g_free(spec->key);
	g_free(spec->traceparent);
	g_free(spec->method);
	g_free(spec->path);
	g_free(spec->route);
	g_free(spec->content_type);
	g_free(spec->model);
	g_free(spec->adapter);
	g_free(spec->version);
	g_clear_pointer(&spec->body, g_bytes_unref);
	g_free(spec);
}
