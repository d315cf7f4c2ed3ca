#include "base/json_text.h"

#include <glib.h>

/* Settings and configuration documents nest far less deeply. */
#define DEPTH_MAX 32

static char *skip_string(char *at, const char *end)
{
	for (at++; at < end && *at != '"'; at++) {
		if (*at == '\\')
			at++;
	}
	return at;
}

/* json-glib does not support line comments. */
static char *blank_line_comment(char *at, const char *end)
{
	while (at < end && *at != '\n')
		*at++ = ' ';
	return at;
}

/* json-glib ends a block comment at any slash; an unterminated one is kept. */
static char *blank_block_comment(char *at, const char *end)
{
	const char *close = g_strstr_len(at + 2, end - at - 2, "*/");

	if (!close)
		return at + (end - at);
	for (; at < close + 2; at++) {
		if (*at != '\n')
			*at = ' ';
	}
	return at - 1;
}

static int count_lines(const char *text, const char *end)
{
	int line = 1;

	for (; text < end; text++)
		line += *text == '\n';
	return line;
}

int json_text_prepare(char *text, size_t size)
{
	const char *end = text + size;
	int depth = 0;
	char *at;

	for (at = text; at < end; at++) {
		if (*at == '"')
			at = skip_string(at, end);
		else if (end - at > 1 && at[0] == '/' && at[1] == '/')
			at = blank_line_comment(at, end);
		else if (end - at > 1 && at[0] == '/' && at[1] == '*')
			at = blank_block_comment(at, end);
		else if (*at == '[' || *at == '{')
			depth++;
		else if (*at == ']' || *at == '}')
			depth--;
		if (depth > DEPTH_MAX)
			return count_lines(text, at);
	}
	return 0;
}
