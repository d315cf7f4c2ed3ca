#include "trace/traceparent.h"

#include <openssl/rand.h>
#include <string.h>

#define TRACE_ID_BYTES ((TRACE_ID_SIZE - 1) / 2)
#define SPAN_ID_BYTES  ((SPAN_ID_SIZE - 1) / 2)

/* Offsets of the fields in the header value. */
#define TRACE_OFFSET 3
#define SPAN_OFFSET  36
#define FLAGS_OFFSET 53

#define FLAG_SAMPLED 1

/* Parses lower-case hex digits; returns FALSE if malformed or all zero. */
static gboolean parse_id(const char *text, char *id, size_t size)
{
	gboolean is_zero = TRUE;

	for (size_t i = 0; i < size - 1; i++) {
		if (!strchr("0123456789abcdef", text[i]))
			return FALSE;
		is_zero = is_zero && text[i] == '0';
		id[i] = text[i];
	}
	id[size - 1] = '\0';
	return !is_zero;
}

/* Returns the value of two lower-case hex digits, or -1. */
static int parse_hex_byte(const char *text)
{
	if (g_ascii_isupper(text[0]) || g_ascii_isupper(text[1]) ||
	    !g_ascii_isxdigit(text[0]) || !g_ascii_isxdigit(text[1]))
		return -1;
	return g_ascii_xdigit_value(text[0]) * 16 +
	       g_ascii_xdigit_value(text[1]);
}

/* Later versions may append fields after another dash. */
static gboolean size_is_valid(const char *text, int version)
{
	size_t size = strlen(text);

	if (version == 0)
		return size == TRACEPARENT_SIZE - 1;
	return size == TRACEPARENT_SIZE - 1 ||
	       (size > TRACEPARENT_SIZE - 1 &&
		text[TRACEPARENT_SIZE - 1] == '-');
}

gboolean traceparent_parse(const char *text, traceparent_t *parsed)
{
	traceparent_t result;
	int version;
	int flags;

	if (!text || strlen(text) < TRACEPARENT_SIZE - 1)
		return FALSE;
	version = parse_hex_byte(text);
	flags = parse_hex_byte(text + FLAGS_OFFSET);
	if (version < 0 || version == 0xff || flags < 0 ||
	    !size_is_valid(text, version))
		return FALSE;
	if (text[TRACE_OFFSET - 1] != '-' || text[SPAN_OFFSET - 1] != '-' ||
	    text[FLAGS_OFFSET - 1] != '-')
		return FALSE;
	if (!parse_id(text + TRACE_OFFSET, result.trace, TRACE_ID_SIZE) ||
	    !parse_id(text + SPAN_OFFSET, result.span, SPAN_ID_SIZE))
		return FALSE;
	result.flags = (uint8_t)flags;
	*parsed = result;
	return TRUE;
}

void traceparent_format(const traceparent_t *parent,
			char text[TRACEPARENT_SIZE])
{
	g_snprintf(text, TRACEPARENT_SIZE, "00-%s-%s-%02x", parent->trace,
		   parent->span, parent->flags);
}

/* Generates a random ID; setting a bit avoids the invalid all-zero ID. */
static void generate_id(char *id, size_t bytes)
{
	unsigned char raw[TRACE_ID_BYTES];

	if (RAND_bytes(raw, (int)bytes) != 1)
		g_error("RAND_bytes failed; check the OpenSSL installation");
	raw[0] |= 1;
	for (size_t i = 0; i < bytes; i++)
		g_snprintf(id + 2 * i, 3, "%02x", raw[i]);
}

void traceparent_create(traceparent_t *created)
{
	generate_id(created->trace, TRACE_ID_BYTES);
	generate_id(created->span, SPAN_ID_BYTES);
	created->flags = FLAG_SAMPLED;
}

void traceparent_child(const traceparent_t *parent, traceparent_t *child)
{
	memmove(child->trace, parent->trace, TRACE_ID_SIZE);
	child->flags = parent->flags;
	generate_id(child->span, SPAN_ID_BYTES);
}
