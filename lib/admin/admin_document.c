/* Request handlers that read, compare and commit documents. */

#include <string.h>

#include "admin/admin_private.h"
#include "admin/report.h"
#include "base/log.h"

#define ETAG_SIZE 32

void admin_on_validate(void *ctx, http_request_t *request)
{
	admin_job_t *job = admin_job_begin(ctx, request, RIGHT_BOOTSTRAP);
	faults_t *faults;

	if (!job)
		return;
	faults = faults_create();
	document_unref(document_validate(job->text, job->size, 0, faults));
	admin_job_end(job, 200, report_faults(faults));
	faults_destroy(faults);
}

static void on_diff_base(void *ctx, const manifest_t *manifest,
			 const char *text, size_t size, const GError *error)
{
	admin_job_t *job = ctx;
	GPtrArray *differences;
	GError *cause = NULL;

	if (error) {
		admin_job_fail(job, error);
		return;
	}
	differences = diff_texts(text, size, job->text, job->size, &cause);
	if (differences) {
		admin_job_end(
			job, 200,
			report_differences(manifest->generation, differences));
		g_ptr_array_free(differences, TRUE);
	} else {
		admin_job_fail(job, cause);
	}
	g_clear_error(&cause);
}

void admin_on_diff(void *ctx, http_request_t *request)
{
	admin_job_t *job = admin_job_begin(ctx, request, RIGHT_EDIT);
	int64_t generation;

	if (!job)
		return;
	if (admin_query_generation(request, &generation))
		config_store_read(job->admin->store, generation, on_diff_base,
				  job);
	else
		admin_job_refuse(job, ERROR_INVALID,
				 "the query's generation must be a number from "
				 "1 up");
}

static void on_read(void *ctx, const manifest_t *manifest, const char *text,
		    size_t size, const GError *error)
{
	admin_job_t *job = ctx;
	char etag[ETAG_SIZE];
	http_header_t headers[] = {{"etag", etag}, {NULL, NULL}};

	if (error) {
		admin_job_fail(job, error);
		return;
	}
	g_snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"",
		   manifest->generation);
	admin_job_end_text(job, 200, "application/json", headers, text, size);
}

static void read_document(admin_job_t *job)
{
	int64_t generation;

	if (admin_query_generation(job->request, &generation))
		config_store_read(job->admin->store, generation, on_read, job);
	else
		admin_job_refuse(job, ERROR_INVALID,
				 "the query's generation must be a number from "
				 "1 up");
}

static void log_commit(const admin_job_t *job, const store_result_t *result,
		       const GError *error)
{
	char generation[ETAG_SIZE];

	g_snprintf(generation, sizeof(generation), "%" G_GINT64_FORMAT,
		   result->generation);
	log_info(error ? "commit refused" : "commit accepted", "operator",
		 job->operator_name, "generation", generation, "cause",
		 error ? error->message : "", NULL);
}

static void on_commit(void *ctx, const store_result_t *result,
		      const GError *error)
{
	admin_job_t *job = ctx;
	store_result_t shown = *result;

	log_commit(job, result, error);
	/* The bootstrap token gives no access to an existing document. */
	if (job->right == RIGHT_BOOTSTRAP)
		shown.differences = NULL;
	if (!error)
		admin_job_end(job, 200, report_accepted(result));
	else if (error_kind(error) == ERROR_CONFLICT)
		admin_job_end(job, error_http_status(ERROR_CONFLICT),
			      report_conflict(&shown, error));
	else
		admin_job_fail(job, error);
}

/* Parses the If-Match header, a number with or without quotes. */
static gboolean read_if_match(http_request_t *request, int64_t *base)
{
	const char *value = http_request_header(request, "if-match");
	size_t size = value ? strlen(value) : 0;
	char *digits;
	gboolean ok;

	if (!value)
		return FALSE;
	if (size >= 2 && value[0] == '"' && value[size - 1] == '"')
		digits = g_strndup(value + 1, size - 2);
	else
		digits = g_strdup(value);
	ok = g_ascii_string_to_signed(digits, 10, 0, G_MAXINT64, base, NULL);
	g_free(digits);
	return ok;
}

static gboolean is_valid(admin_job_t *job)
{
	faults_t *faults = faults_create();
	document_t *document =
		document_validate(job->text, job->size, 0, faults);
	gboolean ok = document != NULL;

	document_unref(document);
	if (!ok)
		admin_job_end(job, error_http_status(ERROR_INVALID),
			      report_invalid(faults));
	faults_destroy(faults);
	return ok;
}

static void commit_document(admin_job_t *job)
{
	store_change_t change = {0};
	char *commit;

	if (!read_if_match(job->request, &change.base)) {
		admin_job_refuse(job, ERROR_INVALID,
				 "send 'If-Match: GENERATION' with the "
				 "generation that the change was made from; 0 "
				 "for the first document");
		return;
	}
	if (job->right == RIGHT_BOOTSTRAP && change.base) {
		admin_job_refuse(job, ERROR_FORBIDDEN,
				 "the bootstrap token may commit the first "
				 "document only; send 'If-Match: 0'");
		return;
	}
	if (!is_valid(job))
		return;
	commit = g_uuid_string_random();
	change.floor = follower_generation(job->admin->follower);
	change.text = job->text;
	change.size = job->size;
	change.commit = commit;
	change.author = job->operator_name;
	change.note = http_request_header(job->request, "x-commit-note");
	if (change.note && !g_utf8_validate(change.note, -1, NULL))
		change.note = NULL;
	change.wall_time = ms_clock_wall();
	config_store_commit(job->admin->store, &change, on_commit, job);
	g_free(commit);
}

void admin_on_document(void *ctx, http_request_t *request)
{
	gboolean is_write = !strcmp(http_request_method(request), "PUT");
	admin_job_t *job = admin_job_begin(
		ctx, request, is_write ? RIGHT_BOOTSTRAP : RIGHT_EDIT);

	if (!job)
		return;
	if (is_write && job->right == RIGHT_VIEW)
		admin_job_refuse(job, ERROR_FORBIDDEN,
				 "this operator may not commit; ask one with "
				 "the role \"editor\"");
	else if (is_write)
		commit_document(job);
	else
		read_document(job);
}

static void on_history(void *ctx, const manifest_t *const *records,
		       size_t count, const GError *error)
{
	admin_job_t *job = ctx;

	if (error)
		admin_job_fail(job, error);
	else
		admin_job_end(job, 200, report_history(records, count));
}

void admin_on_history(void *ctx, http_request_t *request)
{
	admin_job_t *job = admin_job_begin(ctx, request, RIGHT_VIEW);

	if (job)
		config_store_history(job->admin->store, on_history, job);
}
