#include "config/range.h"

#include <stdint.h>
#include <string.h>

#define RANGE_DIGITS_MAX 9

/* Read digits up to a delimiter; NULL if anything else precedes it. */
static const char *read_number(const char *at, const char *delimiter,
			       int64_t *value, int *width)
{
	*value = 0;
	*width = 0;
	for (; g_ascii_isdigit(*at); at++) {
		*value = *value * 10 + (*at - '0');
		if (++*width > RANGE_DIGITS_MAX)
			return NULL;
	}
	if (!*width || !g_str_has_prefix(at, delimiter))
		return NULL;
	return at + strlen(delimiter);
}

const char *range_expand(const char *text, range_name_t each, void *ctx)
{
	const char *open = strchr(text, '{');
	const char *at;
	int64_t first;
	int64_t last;
	int width;
	int last_width;

	if (!open) {
		if (strchr(text, '}'))
			return "a closing brace without an opening one";
		each(ctx, text);
		return NULL;
	}
	at = read_number(open + 1, "..", &first, &width);
	if (at)
		at = read_number(at, "}", &last, &last_width);
	if (!at || strpbrk(at, "{}"))
		return "not a single range of whole numbers";
	if (last < first)
		return "a range that ends before it starts";
	if (last - first >= RANGE_COUNT_MAX)
		return "a range of too many names";
	for (; first <= last; first++) {
		char *name = g_strdup_printf("%.*s%0*" G_GINT64_FORMAT "%s",
					     (int)(open - text), text, width,
					     first, at);

		each(ctx, name);
		g_free(name);
	}
	return NULL;
}
