#include "ctl/ctl_file.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "ctl/ctl.h"

#define READ_BYTES 65536

int ctl_fail(GError *error)
{
	fprintf(stderr, "hcctl: %s: %s\n", error_kind_name(error_kind(error)),
		error->message);
	g_error_free(error);
	return CTL_EXIT_FAILED;
}

static char *read_stream(FILE *file, size_t *size)
{
	GString *text = g_string_new(NULL);
	char *part = g_malloc(READ_BYTES);
	size_t got;

	while ((got = fread(part, 1, READ_BYTES, file)) > 0)
		g_string_append_len(text, part, (gssize)got);
	g_free(part);
	*size = text->len;
	return g_string_free(text, FALSE);
}

char *ctl_read_file(const char *path, size_t *size)
{
	char *text = NULL;

	if (!strcmp(path, "-"))
		return read_stream(stdin, size);
	if (!g_file_get_contents(path, &text, size, NULL))
		fprintf(stderr,
			"hcctl: %s can't be read; name the file of a "
			"document\n",
			path);
	return text;
}
