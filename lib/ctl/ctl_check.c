#include "ctl/ctl_check.h"

#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/json_build.h"
#include "config/check.h"
#include "config/validate.h"
#include "ctl/ctl_call.h"
#include "ctl/ctl_file.h"
#include "ctl/ctl_print.h"

#define STATUS_OK 200

/* What stands for a secret in the output. */
#define HIDDEN "(hidden)"

typedef struct {
	faults_t *faults;
	GPtrArray *findings;	/* of finding_t; NULL if there are faults */
	GPtrArray *differences; /* of difference_t; NULL if not asked for */
} result_t;

/* Returns the text to compare with; NULL after printing an error. */
static char *read_running(const ctl_options_t *options, size_t *size)
{
	char *path = options->generation == CTL_NO_GENERATION
			     ? g_strdup("/admin/document")
			     : g_strdup_printf("/admin/document?generation="
					       "%" G_GINT64_FORMAT,
					       options->generation);
	ctl_call_t call = {"GET", path, NULL, 0, NULL, NULL};
	ctl_response_t response;
	GError *error = NULL;
	char *text = NULL;

	if (!ctl_call(options, &call, &response, &error)) {
		ctl_fail(error);
	} else if (response.status != STATUS_OK) {
		fprintf(stderr, "hcctl: status %d: %s\n", response.status,
			response.body);
	} else {
		text = g_strndup(response.body, response.size);
		*size = response.size;
	}
	ctl_response_release(&response);
	g_free(path);
	return text;
}

static gboolean is_secret(const difference_t *difference)
{
	return strstr(difference->path, "order_token") != NULL;
}

/* A whole endpoint that was added or removed may hold a token. */
static char *shown(const difference_t *difference, const char *value)
{
	return is_secret(difference) || strstr(value, "order_token") != NULL
		       ? g_strdup(HIDDEN)
		       : g_strdup(value);
}

static void print_difference(const difference_t *difference)
{
	char *before = difference->before
			       ? shown(difference, difference->before)
			       : NULL;
	char *after =
		difference->after ? shown(difference, difference->after) : NULL;

	printf("%s: %s %s", impact_name(difference_impact(difference)),
	       diff_kind_name(difference->kind), difference->path);
	if (before)
		printf(" - %s", before);
	if (after)
		printf(" + %s", after);
	puts("");
	g_free(before);
	g_free(after);
}

static void print_text(const result_t *result)
{
	guint findings = result->findings ? result->findings->len : 0;
	guint i;

	for (i = 0; i < result->faults->list->len; i++) {
		const fault_t *fault = result->faults->list->pdata[i];

		printf("error: ");
		ctl_print_fault(fault->path, fault->line, fault->cause,
				fault->remedy);
	}
	for (i = 0; i < findings; i++) {
		const finding_t *finding = result->findings->pdata[i];

		printf("%s: ", finding_kind_name(finding->kind));
		ctl_print_fault(finding->path, 0, finding->cause,
				finding->remedy);
	}
	for (i = 0; result->differences && i < result->differences->len; i++)
		print_difference(result->differences->pdata[i]);
	printf("%zu errors, %u findings", result->faults->count, findings);
	if (result->differences)
		printf(", %u differences", result->differences->len);
	puts("");
}

static void build_fault(JsonBuilder *builder, const char *path, int line,
			const char *cause, const char *remedy)
{
	json_build_text(builder, "path", path);
	if (line)
		json_build_int(builder, "line", line);
	json_build_text(builder, "cause", cause);
	json_build_text(builder, "remedy", remedy);
}

static void build_faults(JsonBuilder *builder, const result_t *result)
{
	guint i;

	json_builder_set_member_name(builder, "errors");
	json_builder_begin_array(builder);
	for (i = 0; i < result->faults->list->len; i++) {
		const fault_t *fault = result->faults->list->pdata[i];

		json_builder_begin_object(builder);
		build_fault(builder, fault->path, fault->line, fault->cause,
			    fault->remedy);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "findings");
	json_builder_begin_array(builder);
	for (i = 0; result->findings && i < result->findings->len; i++) {
		const finding_t *finding = result->findings->pdata[i];

		json_builder_begin_object(builder);
		json_build_text(builder, "kind",
				finding_kind_name(finding->kind));
		build_fault(builder, finding->path, 0, finding->cause,
			    finding->remedy);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void build_value(JsonBuilder *builder, const char *name,
			const difference_t *difference, const char *value)
{
	char *text = value ? shown(difference, value) : NULL;

	if (text)
		json_build_text(builder, name, text);
	g_free(text);
}

static void build_differences(JsonBuilder *builder, GPtrArray *differences)
{
	guint i;

	json_builder_set_member_name(builder, "differences");
	json_builder_begin_array(builder);
	for (i = 0; i < differences->len; i++) {
		const difference_t *difference = differences->pdata[i];

		json_builder_begin_object(builder);
		json_build_text(builder, "impact",
				impact_name(difference_impact(difference)));
		json_build_text(builder, "kind",
				diff_kind_name(difference->kind));
		json_build_text(builder, "path", difference->path);
		build_value(builder, "before", difference, difference->before);
		build_value(builder, "after", difference, difference->after);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void print_json(const result_t *result)
{
	JsonBuilder *builder = json_builder_new();
	char *text;

	json_builder_begin_object(builder);
	build_faults(builder, result);
	if (result->differences)
		build_differences(builder, result->differences);
	json_builder_end_object(builder);
	text = json_build_end(builder, FALSE);
	printf("%s\n", text);
	g_free(text);
}

/* Returns FALSE after printing an error. */
static gboolean compare(const ctl_options_t *options, const char *text,
			size_t size, result_t *result)
{
	GError *error = NULL;
	size_t other_size = 0;
	char *other;

	if (!options->against && !options->is_against_running)
		return TRUE;
	other = options->against ? ctl_read_file(options->against, &other_size)
				 : read_running(options, &other_size);
	if (!other)
		return FALSE;
	result->differences = diff_texts(other, other_size, text, size, &error);
	g_free(other);
	if (!result->differences) {
		ctl_fail(error);
		return FALSE;
	}
	check_sort_differences(result->differences);
	return TRUE;
}

static int check_text(const ctl_options_t *options, const char *text,
		      size_t size)
{
	result_t result = {.faults = faults_create()};
	document_t *document = document_validate(text, size, 0, result.faults);
	gboolean ok = document != NULL;

	if (document) {
		result.findings = check_document(document, text, size);
		ok = compare(options, text, size, &result) &&
		     !result.findings->len;
		document_unref(document);
	}
	if (options->is_json)
		print_json(&result);
	else
		print_text(&result);
	if (result.findings)
		g_ptr_array_unref(result.findings);
	if (result.differences)
		g_ptr_array_unref(result.differences);
	faults_destroy(result.faults);
	return ok ? CTL_EXIT_DONE : CTL_EXIT_FAILED;
}

int ctl_run_check(const ctl_options_t *options)
{
	size_t size = 0;
	char *text = ctl_read_file(options->argument, &size);
	int status = text ? check_text(options, text, size) : CTL_EXIT_FAILED;

	g_free(text);
	return status;
}
