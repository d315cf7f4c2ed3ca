#include "ctl/ctl.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "base/json_member.h"
#include "config/validate.h"
#include "ctl/ctl_call.h"
#include "ctl/ctl_check.h"
#include "ctl/ctl_file.h"
#include "ctl/ctl_print.h"

#define STATUS_OK	 200
#define STATUS_ERROR_MIN 400

typedef int (*command_run_t)(const ctl_options_t *options);

typedef struct {
	const char *name;
	gboolean has_argument;
	command_run_t run;
} command_t;

/* Prints a response; returns the exit status. */
static int print_response(const ctl_options_t *options,
			  const ctl_response_t *response, ctl_print_t print)
{
	JsonNode *node = json_load_node(response->body);
	gboolean ok = response->status < STATUS_ERROR_MIN;

	if (options->is_json || !node || !JSON_NODE_HOLDS_OBJECT(node))
		printf("%s\n", response->body);
	else if (ok)
		ok = print(json_node_get_object(node));
	else
		ctl_print_error(json_node_get_object(node));
	if (node)
		json_node_unref(node);
	return ok ? CTL_EXIT_DONE : CTL_EXIT_FAILED;
}

static int call_and_print(const ctl_options_t *options, const ctl_call_t *call,
			  ctl_print_t print)
{
	ctl_response_t response;
	GError *error = NULL;
	int status;

	if (!ctl_call(options, call, &response, &error)) {
		ctl_response_release(&response);
		return ctl_fail(error);
	}
	status = print_response(options, &response, print);
	ctl_response_release(&response);
	return status;
}

static int validate_offline(const char *text, size_t size)
{
	faults_t *faults = faults_create();
	gboolean ok;
	guint i;

	document_unref(document_validate(text, size, 0, faults));
	ok = !faults->count;
	for (i = 0; i < faults->list->len; i++) {
		const fault_t *fault = g_ptr_array_index(faults->list, i);

		ctl_print_fault(fault->path, fault->line, fault->cause,
				fault->remedy);
	}
	ctl_print_fault_count((int64_t)faults->count);
	faults_destroy(faults);
	return ok ? CTL_EXIT_DONE : CTL_EXIT_FAILED;
}

static int run_validate(const ctl_options_t *options)
{
	ctl_call_t call = {"POST", "/admin/validate", NULL, 0, NULL, NULL};
	char *text = ctl_read_file(options->argument, &call.size);
	int status;

	if (!text)
		return CTL_EXIT_FAILED;
	call.body = text;
	if (options->is_offline)
		status = validate_offline(text, call.size);
	else
		status = call_and_print(options, &call, ctl_print_faults);
	g_free(text);
	return status;
}

static char *path_with_generation(const char *path, int64_t generation)
{
	if (generation == CTL_NO_GENERATION)
		return g_strdup(path);
	return g_strdup_printf("%s?generation=%" G_GINT64_FORMAT, path,
			       generation);
}

static int run_diff(const ctl_options_t *options)
{
	char *path = path_with_generation("/admin/diff", options->generation);
	ctl_call_t call = {"POST", path, NULL, 0, NULL, NULL};
	char *text = ctl_read_file(options->argument, &call.size);
	int status = CTL_EXIT_FAILED;

	if (text) {
		call.body = text;
		status = call_and_print(options, &call, ctl_print_differences);
	}
	g_free(text);
	g_free(path);
	return status;
}

static int run_commit(const ctl_options_t *options)
{
	char *base = g_strdup_printf("%" G_GINT64_FORMAT, options->generation);
	ctl_call_t call = {"PUT", "/admin/document", NULL, 0,
			   base,  options->note};
	char *text = ctl_read_file(options->argument, &call.size);
	int status = CTL_EXIT_FAILED;

	if (text) {
		call.body = text;
		status = call_and_print(options, &call, ctl_print_accepted);
	}
	g_free(text);
	g_free(base);
	return status;
}

static int run_show(const ctl_options_t *options)
{
	char *path =
		path_with_generation("/admin/document", options->generation);
	ctl_call_t call = {"GET", path, NULL, 0, NULL, NULL};
	ctl_response_t response;
	GError *error = NULL;
	int status = CTL_EXIT_DONE;

	if (!ctl_call(options, &call, &response, &error)) {
		status = ctl_fail(error);
	} else if (response.status == STATUS_OK) {
		fwrite(response.body, 1, response.size, stdout);
		/* A commit of a changed copy has to name this generation. */
		fprintf(stderr, "generation %s\n", response.etag);
	} else {
		status = print_response(options, &response, ctl_print_accepted);
	}
	ctl_response_release(&response);
	g_free(path);
	return status;
}

static int run_history(const ctl_options_t *options)
{
	ctl_call_t call = {"GET", "/admin/history", NULL, 0, NULL, NULL};

	return call_and_print(options, &call, ctl_print_history);
}

static int run_status(const ctl_options_t *options)
{
	ctl_call_t call = {"GET", "/admin/status", NULL, 0, NULL, NULL};

	return call_and_print(options, &call, ctl_print_status);
}

static int run_trace(const ctl_options_t *options)
{
	char *id = g_uri_escape_string(options->argument, NULL, FALSE);
	char *path = g_strconcat("/admin/trace?trace=", id, NULL);
	ctl_call_t call = {"GET", path, NULL, 0, NULL, NULL};
	int status = call_and_print(options, &call, ctl_print_trace);

	g_free(path);
	g_free(id);
	return status;
}

static const command_t commands[] = {
	{"validate", TRUE, run_validate}, {"check", TRUE, ctl_run_check},
	{"diff", TRUE, run_diff},	  {"commit", TRUE, run_commit},
	{"show", FALSE, run_show},	  {"history", FALSE, run_history},
	{"status", FALSE, run_status},	  {"trace", TRUE, run_trace},
};

static const command_t *find_command(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	}
	return NULL;
}

gboolean ctl_is_valid_usage(const ctl_options_t *options)
{
	const command_t *command = find_command(options->command);

	if (!command || command->has_argument != (options->argument != NULL))
		return FALSE;
	if (command->run != ctl_run_check &&
	    (options->against || options->is_against_running))
		return FALSE;
	if (options->against && options->is_against_running)
		return FALSE;
	return command->run != run_commit ||
	       options->generation != CTL_NO_GENERATION;
}

int ctl_run(const ctl_options_t *options)
{
	return find_command(options->command)->run(options);
}
