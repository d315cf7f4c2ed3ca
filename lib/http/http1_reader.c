#include "http/http1_reader.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define STATUS_INTERIM_MIN 100
#define STATUS_FINAL_MIN   200

/* Interim responses before one answer; usual servers send one or two. */
#define INTERIMS_MAX 16

/* Results of on_headers_complete() that http-parser defines. */
#define HEADERS_WITHOUT_BODY 1
#define HEADERS_INVALID	     (-1)

/* Memory of a short header in addition to its bytes, as allocators round it. */
#define HEADER_STRINGS_BYTES 64

/* Colon and line end of a field. */
#define FIELD_FRAMING_BYTES 3

/* A buffer that has grown beyond this is not kept for the next message. */
#define KEPT_HEADERS_MAX 64
#define KEPT_TEXT_MAX	 2048

struct http1_reader {
	http_parser parser;
	http1_kind_t kind;
	size_t head_max;
	http1_events_t events;
	void *ctx;
	http1_head_t head;
	GPtrArray *options; /* see http1_head_t */
	GString *target;
	GString *name; /* of the header being parsed */
	GString *value;
	size_t head_size;
	gboolean is_value; /* the last callback was on_value() */
	gboolean is_head_done;
	gboolean is_too_large;
	gboolean is_begun;
	gboolean is_done;
	gboolean is_failed;
	gboolean is_head_request;
	int interims;	     /* responses before the final one */
	const char *refusal; /* why a head that was parsed is invalid */
};

static void header_clear(gpointer data)
{
	http_header_t *header = data;

	/* The value follows in the same block. */
	g_free((char *)header->name);
}

static void add_header(http1_reader_t *reader)
{
	http_header_t header;
	char *block;

	if (!reader->is_value)
		return;
	/* One block for both: heads may have thousands of short fields. */
	block = g_malloc(reader->name->len + reader->value->len + 2);
	memcpy(block, reader->name->str, reader->name->len + 1);
	memcpy(block + reader->name->len + 1, reader->value->str,
	       reader->value->len + 1);
	header.name = block;
	header.value = block + reader->name->len + 1;
	g_array_append_val(reader->head.headers, header);
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->is_value = FALSE;
}

/* A nonzero result makes http-parser stop with an error. */
static int add_head_size(http1_reader_t *reader, size_t size)
{
	reader->head_size += size;
	if (reader->head_max && reader->head_size > reader->head_max) {
		reader->is_too_large = TRUE;
		return 1;
	}
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t size)
{
	http1_reader_t *reader = parser->data;

	g_string_append_len(reader->target, at, (gssize)size);
	return add_head_size(reader, size);
}

static int on_field(http_parser *parser, const char *at, size_t length)
{
	http1_reader_t *reader = parser->data;
	size_t size = length;

	/* Trailer fields are not forwarded. */
	if (reader->is_head_done)
		return 0;
	add_header(reader);
	if (!reader->name->len)
		size += FIELD_FRAMING_BYTES;
	g_string_append_len(reader->name, at, (gssize)length);
	return add_head_size(reader, size);
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	http1_reader_t *reader = parser->data;

	if (reader->is_head_done)
		return 0;
	/* http-parser accepts a space in a name; other parsers don't. */
	if (!reader->is_value && strchr(reader->name->str, ' ')) {
		reader->refusal = "a header's name contains a space";
		return 1;
	}
	reader->is_value = TRUE;
	g_string_append_len(reader->value, at, (gssize)size);
	return add_head_size(reader, size);
}

static gboolean is_interim(const http_parser *parser)
{
	return parser->type == HTTP_RESPONSE &&
	       parser->status_code >= STATUS_INTERIM_MIN &&
	       parser->status_code < STATUS_FINAL_MIN;
}

/*
 * A response with a transfer coding other than "chunked", which no request
 * asks for, can't be passed on: the coding's name ends with the connection.
 */
static gboolean has_unknown_coding(const http1_reader_t *reader)
{
	const GArray *headers = reader->head.headers;
	guint codings = 0;
	guint i;

	for (i = 0; i < headers->len; i++) {
		const http_header_t *header =
			&g_array_index(headers, http_header_t, i);

		if (g_ascii_strcasecmp(header->name, "transfer-encoding"))
			continue;
		if (codings++ || g_ascii_strcasecmp(header->value, "chunked"))
			return TRUE;
	}
	return FALSE;
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Adds the names of a comma-separated list; FALSE if there are too many. */
static gboolean add_options(GPtrArray *options, const char *list)
{
	while (*list) {
		size_t size = strcspn(list, ",");
		char *name = g_strstrip(g_ascii_strdown(list, (gssize)size));

		list += size;
		list += *list == ',';
		if (!*name) {
			g_free(name);
			continue;
		}
		g_ptr_array_add(options, name);
		if (options->len > HTTP1_OPTIONS_MAX)
			return FALSE;
	}
	return TRUE;
}

/* Collects the names in Connection in one pass; FALSE if there are too many. */
static gboolean collect_options(http1_reader_t *reader)
{
	const GArray *headers = reader->head.headers;
	guint i;

	g_ptr_array_set_size(reader->options, 0);
	for (i = 0; i < headers->len; i++) {
		const http_header_t *header =
			&g_array_index(headers, http_header_t, i);

		if (!g_ascii_strcasecmp(header->name, "connection") &&
		    !add_options(reader->options, header->value))
			return FALSE;
	}
	g_ptr_array_sort(reader->options, compare_names);
	reader->head.options = reader->options;
	return TRUE;
}

/* Returns what makes a head invalid that was parsed, or NULL. */
static const char *head_refusal(http1_reader_t *reader)
{
	const http_parser *parser = &reader->parser;

	if (!collect_options(reader))
		return "too many names in Connection";
	if (reader->kind != HTTP1_RESPONSES)
		return NULL;
	if (parser->http_major != 1)
		return "the version is not HTTP/1";
	if (parser->status_code < STATUS_INTERIM_MIN)
		return "the status is below 100";
	if (has_unknown_coding(reader))
		return "the transfer coding is not \"chunked\"";
	if (!is_interim(parser))
		return NULL;
	/* No request asks for another protocol. */
	if (parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return "another protocol";
	return ++reader->interims > INTERIMS_MAX ? "too many interim responses"
						 : NULL;
}

static int on_headers_complete(http_parser *parser)
{
	http1_reader_t *reader = parser->data;

	add_header(reader);
	reader->refusal = head_refusal(reader);
	if (reader->refusal)
		return HEADERS_INVALID;
	/*
	 * An interim response has no body, whatever its headers say: the bytes
	 * after them are those of the next response.
	 */
	if (is_interim(parser))
		return HEADERS_WITHOUT_BODY;
	reader->is_head_done = TRUE;
	reader->head.status = (int)parser->status_code;
	reader->head.method = http_method_str(parser->method);
	reader->head.target = reader->target->str;
	reader->head.minor = parser->http_minor;
	reader->head.keeps_alive = http_should_keep_alive(parser) != 0;
	reader->head.length =
		parser->flags & F_CHUNKED || !(parser->flags & F_CONTENTLENGTH)
			? G_MAXUINT64
			: parser->content_length;
	reader->head.has_length = (parser->flags & F_CHUNKED) ||
				  (parser->flags & F_CONTENTLENGTH) ||
				  reader->is_head_request;
	reader->events.on_head(reader->ctx, &reader->head);
	return reader->is_head_request ? HEADERS_WITHOUT_BODY : 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	http1_reader_t *reader = parser->data;

	reader->events.on_data(reader->ctx, at, size);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	http1_reader_t *reader = parser->data;

	if (is_interim(parser)) {
		g_array_set_size(reader->head.headers, 0);
		return 0;
	}
	reader->is_done = TRUE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static GArray *create_headers(void)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(http_header_t));

	g_array_set_clear_func(headers, header_clear);
	return headers;
}

static void clear_headers(http1_reader_t *reader)
{
	gboolean is_large = reader->head.headers->len > KEPT_HEADERS_MAX;

	g_array_set_size(reader->head.headers, 0);
	if (!is_large)
		return;
	g_array_free(reader->head.headers, TRUE);
	reader->head.headers = create_headers();
}

static void clear_text(GString **text)
{
	if ((*text)->allocated_len > KEPT_TEXT_MAX) {
		g_string_free(*text, TRUE);
		*text = g_string_new(NULL);
	}
	g_string_truncate(*text, 0);
}

http1_reader_t *http1_reader_create(http1_kind_t kind, size_t head_max,
				    const http1_events_t *events, void *ctx)
{
	http1_reader_t *reader = g_new0(http1_reader_t, 1);

	reader->kind = kind;
	reader->head_max = head_max;
	reader->events = *events;
	reader->ctx = ctx;
	reader->target = g_string_new(NULL);
	reader->name = g_string_new(NULL);
	reader->value = g_string_new(NULL);
	reader->head.headers = create_headers();
	reader->options = g_ptr_array_new_with_free_func(g_free);
	http1_reader_reset(reader, FALSE);
	return reader;
}

void http1_reader_destroy(http1_reader_t *reader)
{
	g_array_free(reader->head.headers, TRUE);
	g_ptr_array_free(reader->options, TRUE);
	g_string_free(reader->target, TRUE);
	g_string_free(reader->name, TRUE);
	g_string_free(reader->value, TRUE);
	g_free(reader);
}

void http1_reader_reset(http1_reader_t *reader, gboolean is_head)
{
	http_parser_init(&reader->parser, reader->kind == HTTP1_REQUESTS
						  ? HTTP_REQUEST
						  : HTTP_RESPONSE);
	reader->parser.data = reader;
	clear_headers(reader);
	clear_text(&reader->target);
	clear_text(&reader->name);
	clear_text(&reader->value);
	reader->head_size = 0;
	reader->is_value = FALSE;
	reader->is_head_done = FALSE;
	reader->is_too_large = FALSE;
	reader->is_begun = FALSE;
	reader->is_done = FALSE;
	reader->is_failed = FALSE;
	reader->is_head_request = is_head;
	reader->interims = 0;
	reader->refusal = NULL;
}

static void fail(http1_reader_t *reader, GError **error)
{
	reader->is_failed = TRUE;
	if (reader->is_too_large)
		error_set(error, ERROR_TOO_LARGE,
			  "the message head is larger than %zu bytes; send "
			  "fewer or shorter headers",
			  reader->head_max);
	else
		error_set(error, ERROR_PROTOCOL,
			  "the bytes are no HTTP/1 message: %s",
			  reader->refusal
				  ? reader->refusal
				  : http_errno_description(HTTP_PARSER_ERRNO(
					    &reader->parser)));
}

size_t http1_reader_feed(http1_reader_t *reader, const char *data, size_t size,
			 GError **error)
{
	size_t read;

	if (!size || reader->is_done)
		return 0;
	if (reader->is_failed) {
		fail(reader, error);
		return 0;
	}
	/* http-parser skips empty lines before a message. */
	if (!reader->is_begun && reader->kind == HTTP1_RESPONSES &&
	    (*data == '\r' || *data == '\n')) {
		reader->refusal = "an empty line in place of a status";
		fail(reader, error);
		return 0;
	}
	reader->is_begun = TRUE;
	read = http_parser_execute(&reader->parser, &settings, data, size);
	if (reader->is_done) {
		reader->events.on_end(reader->ctx);
		return read;
	}
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		fail(reader, error);
	return read;
}

gboolean http1_reader_finish(http1_reader_t *reader)
{
	if (reader->is_failed || reader->is_done || !reader->is_head_done)
		return FALSE;
	http_parser_execute(&reader->parser, &settings, NULL, 0);
	if (!reader->is_done)
		return FALSE;
	reader->events.on_end(reader->ctx);
	return TRUE;
}

gboolean http1_reader_is_idle(const http1_reader_t *reader)
{
	return !reader->is_begun;
}

gboolean http1_reader_is_done(const http1_reader_t *reader)
{
	return reader->is_done;
}

gboolean http1_reader_is_head_done(const http1_reader_t *reader)
{
	return reader->is_head_done;
}

size_t http1_reader_memory(const http1_reader_t *reader)
{
	return reader->head_size +
	       reader->head.headers->len *
		       (sizeof(http_header_t) + HEADER_STRINGS_BYTES);
}

const char *http1_header(const http1_head_t *head, const char *name)
{
	guint i;

	for (i = 0; i < head->headers->len; i++) {
		const http_header_t *header =
			&g_array_index(head->headers, http_header_t, i);

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

static int compare_to_option(const void *name, const void *option)
{
	return g_ascii_strcasecmp(name, *(const char *const *)option);
}

gboolean http1_is_hop_by_hop_header(const http1_head_t *head, const char *name)
{
	static const char *const hop[] = {
		"connection",	       "keep-alive", "proxy-connection",
		"proxy-authenticate",  "te",	     "trailer",
		"proxy-authorization", "upgrade",    "transfer-encoding"};
	const void *found;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(hop); i++) {
		if (g_ascii_tolower(*name) == *hop[i] &&
		    !g_ascii_strcasecmp(name, hop[i]))
			return TRUE;
	}
	if (!head->options || !head->options->len)
		return FALSE;
	found = bsearch(name, head->options->pdata, head->options->len,
			sizeof(gpointer), compare_to_option);
	return found != NULL;
}
