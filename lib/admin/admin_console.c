/* Serves the web console, whose files are compiled into the program. */

#include <string.h>

#include "admin/admin_private.h"
#include "admin/console_data.h"

/* The console loads nothing from other origins and can't be framed. */
static const http_header_t headers[] = {
	{"content-security-policy",
	 "default-src 'none'; script-src 'self'; style-src 'self'; "
	 "connect-src 'self'; form-action 'none'; frame-ancestors 'none'"},
	{"cache-control", "no-cache"},
	{"x-content-type-options", "nosniff"},
	{NULL, NULL},
};

static const struct {
	const char *path;
	const char *type;
	const char *text;
} pages[] = {
	{"/console", "text/html; charset=utf-8", console_html},
	{"/console/console.js", "text/javascript; charset=utf-8", console_js},
	{"/console/console.css", "text/css; charset=utf-8", console_css},
};

void admin_on_console(void *ctx, http_request_t *request)
{
	const char *path = http_request_path(request);
	GError *error = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(pages[i].path, path) != 0)
			continue;
		http_respond(request, 200, pages[i].type, headers,
			     pages[i].text, strlen(pages[i].text));
		return;
	}
	error_set(&error, ERROR_NOT_FOUND,
		  "no such page; the console is at /console");
	http_respond_error(request, error, OUTCOME_NOT_RUN, 0);
	g_error_free(error);
}
