#include "admin/admin.h"

#include <string.h>

#include "admin/admin_private.h"
#include "base/counter.h"
#include "base/log.h"

#define TICK_MS	      100
#define BEARER_PREFIX "bearer "

/* Retry-After of errors of kind ERROR_UNAVAILABLE. */
#define RETRY_AFTER_MS 1000

static void count_response(int status)
{
	char *name = g_strdup_printf("hc_admin_answers_total{status=\"%d\"}",
				     status);

	counter_add(counter_get(name), 1);
	g_free(name);
}

ms_t admin_now(const admin_t *admin)
{
	return (ms_t)uv_now(admin->options.loop);
}

static void job_free(admin_job_t *job)
{
	g_free(job->operator_name);
	g_free(job->text);
	g_free(job);
}

static void on_abort(void *ctx, http_request_t *request)
{
	admin_job_t *job = ctx;

	job->request = NULL;
}

void admin_job_end_text(admin_job_t *job, int status, const char *type,
			const http_header_t *headers, const char *body,
			size_t size)
{
	count_response(status);
	if (job->request)
		http_respond(job->request, status, type, headers, body, size);
	job_free(job);
}

void admin_job_end(admin_job_t *job, int status, JsonNode *body)
{
	char *text = json_to_string(body, FALSE);

	admin_job_end_text(job, status, "application/json", NULL, text,
			   strlen(text));
	g_free(text);
	json_node_unref(body);
}

void admin_job_fail(admin_job_t *job, const GError *error)
{
	outcome_t outcome = OUTCOME_NOT_RUN;

	/* The result of a commit is unknown if the call was interrupted. */
	if (error_kind(error) == ERROR_INTERRUPTED)
		outcome = OUTCOME_UNKNOWN;
	count_response(error_http_status(error_kind(error)));
	if (job->request)
		http_respond_error(job->request, error, outcome,
				   error_kind(error) == ERROR_UNAVAILABLE
					   ? RETRY_AFTER_MS
					   : 0);
	job_free(job);
}

void admin_job_refuse(admin_job_t *job, error_kind_t kind, const char *message)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", message);
	admin_job_fail(job, error);
	g_error_free(error);
}

static const char *bearer_token(const char *value)
{
	if (!value || g_ascii_strncasecmp(value, BEARER_PREFIX,
					  strlen(BEARER_PREFIX)) != 0)
		return NULL;
	return value + strlen(BEARER_PREFIX);
}

/* Compares in constant time, to leak nothing about the token. */
static gboolean is_bootstrap_token(const admin_t *admin, const char *token)
{
	const char *expected = admin->options.bootstrap_sha256;
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	gboolean ok = strlen(expected) == strlen(hash) &&
		      CRYPTO_memcmp(expected, hash, strlen(hash)) == 0;

	g_free(hash);
	return ok;
}

/*
 * Sets the operator and right of a job; returns FALSE if the token is not
 * valid.
 */
static gboolean authenticate(admin_job_t *job, const char *authorization)
{
	const char *token = bearer_token(authorization);
	document_t *document = follower_document(job->admin->follower);
	const document_operator_t *found = NULL;

	if (!token)
		return FALSE;
	if (!document && is_bootstrap_token(job->admin, token)) {
		job->operator_name = g_strdup("bootstrap");
		job->right = RIGHT_BOOTSTRAP;
		return TRUE;
	}
	if (document)
		found = document_find_operator(document, token);
	if (!found)
		return FALSE;
	job->operator_name = g_strdup(found->name);
	job->right = found->role == ROLE_EDITOR ? RIGHT_EDIT : RIGHT_VIEW;
	return TRUE;
}

static GError *unauthenticated_error(const admin_t *admin)
{
	GError *error = NULL;

	if (follower_document(admin->follower))
		error_set(&error, ERROR_UNAUTHENTICATED,
			  "no operator has this token; send "
			  "'Authorization: Bearer TOKEN'");
	else
		error_set(&error, ERROR_UNAVAILABLE,
			  "no document is in force here: try again later, or "
			  "commit the first one with the bootstrap token");
	return error;
}

/* Refuses unauthenticated requests before the server reads their body. */
static GError *check_authorization(void *ctx, const char *authorization)
{
	admin_job_t job = {.admin = ctx};
	gboolean is_authenticated = authenticate(&job, authorization);
	GError *error;

	g_free(job.operator_name);
	if (is_authenticated)
		return NULL;
	error = unauthenticated_error(job.admin);
	count_response(error_http_status(error_kind(error)));
	return error;
}

/* The paths of the API with their methods. */
static const struct {
	const char *path;
	const char *methods[4];
	http_handler_t handler;
} routes[] = {
	{"/admin/validate", {"POST"}, admin_on_validate},
	{"/admin/diff", {"POST"}, admin_on_diff},
	{"/admin/document", {"GET", "PUT"}, admin_on_document},
	{"/admin/history", {"GET"}, admin_on_history},
	{"/admin/status", {"GET"}, admin_on_status},
	{"/admin/trace", {"GET"}, admin_on_trace},
};

/* Returns FALSE after ending the job if the path or method is not served. */
static gboolean check_route(admin_job_t *job)
{
	const char *path = http_request_path(job->request);
	const char *method = http_request_method(job->request);
	char *message;
	char *methods;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!strcmp(routes[i].path, path))
			break;
	}
	if (i == G_N_ELEMENTS(routes)) {
		admin_job_refuse(job, ERROR_NOT_FOUND,
				 "no such path here; check the path");
		return FALSE;
	}
	if (g_strv_contains(routes[i].methods, method))
		return TRUE;
	methods = g_strjoinv(" or ", (char **)routes[i].methods);
	message = g_strdup_printf("%s does not support this method; use %s",
				  path, methods);
	admin_job_refuse(job, ERROR_INVALID, message);
	g_free(message);
	g_free(methods);
	return FALSE;
}

admin_job_t *admin_job_begin(admin_t *admin, http_request_t *request,
			     admin_right_t right)
{
	admin_job_t *job = g_new0(admin_job_t, 1);
	const char *body;
	GError *error;

	job->admin = admin;
	job->request = request;
	if (!authenticate(job, http_request_header(request, "authorization"))) {
		error = unauthenticated_error(admin);
		admin_job_fail(job, error);
		g_error_free(error);
		return NULL;
	}
	if (!check_route(job))
		return NULL;
	if (job->right < right) {
		admin_job_refuse(
			job, ERROR_FORBIDDEN,
			"this operation needs the role \"editor\"; ask "
			"an operator who has it");
		return NULL;
	}
	body = http_request_body(request, &job->size);
	job->text = g_strndup(body ? body : "", job->size);
	http_request_on_abort(request, on_abort, job);
	return job;
}

gboolean admin_query_generation(http_request_t *request, int64_t *generation)
{
	const char *text = http_request_query(request, "generation");

	*generation = 0;
	return !text || g_ascii_string_to_signed(text, 10, 1, G_MAXINT64,
						 generation, NULL);
}

static void on_tick(uv_timer_t *timer)
{
	admin_t *admin = timer->data;

	config_store_tick(admin->store, admin_now(admin));
}

static void add_routes(admin_t *admin)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		http_server_route(admin->options.server, routes[i].path,
				  routes[i].handler, admin);
	http_server_route(admin->options.server, "/console", admin_on_console,
			  admin);
	http_server_set_authorizer(admin->options.server, check_authorization,
				   admin);
}

admin_t *admin_create(const admin_options_t *options)
{
	const follower_actions_t actions = {0};
	admin_t *admin = g_new0(admin_t, 1);
	ms_t now = (ms_t)uv_now(options->loop);

	admin->options = *options;
	admin->store = config_store_create(options->kv,
					   options->kept_generations, now);
	admin->follow =
		follow_create(options->loop, options->kv, &actions, admin);
	admin->follower = follow_get_follower(admin->follow);
	uv_timer_init(options->loop, &admin->timer);
	admin->timer.data = admin;
	uv_timer_start(&admin->timer, on_tick, 0, TICK_MS);
	add_routes(admin);
	return admin;
}

document_t *admin_document(const admin_t *admin)
{
	return follower_document(admin->follower);
}

void admin_stop(admin_t *admin)
{
	uv_close((uv_handle_t *)&admin->timer, NULL);
	follow_stop(admin->follow);
}

void admin_destroy(admin_t *admin)
{
	config_store_destroy(admin->store);
	follow_destroy(admin->follow);
	g_free(admin);
}
