#ifndef ADMIN_ADMIN_PRIVATE_H
#define ADMIN_ADMIN_PRIVATE_H

/* Shared by the handlers of the administration API. */

#include <json-glib/json-glib.h>

#include "admin/admin.h"
#include "config/store.h"
#include "follow/follow.h"

/* Rights in ascending order; a handler names the lowest that it accepts. */
typedef enum {
	RIGHT_BOOTSTRAP, /* validate, and commit the first document */
	RIGHT_VIEW,
	RIGHT_EDIT
} admin_right_t;

struct admin {
	admin_options_t options;
	config_store_t *store;
	follow_t *follow;
	follower_t *follower; /* owned by follow */
	uv_timer_t timer;
};

/* One authenticated request that has no response yet. */
typedef struct {
	admin_t *admin;
	http_request_t *request; /* NULL once the client has disconnected */
	char *operator_name;
	admin_right_t right;
	char *text; /* copy of the request body */
	size_t size;
} admin_job_t;

/* Returns the loop's time, which the store takes as the current time. */
ms_t admin_now(const admin_t *admin);

/*
 * Authenticates a request and begins a job.  Returns NULL after responding with
 * an error if the token is invalid, the path or method is not served, or the
 * operator lacks the right.
 */
admin_job_t *admin_job_begin(admin_t *admin, http_request_t *request,
			     admin_right_t right);

/* Respond, unless the client has disconnected, and free the job. */
void admin_job_end(admin_job_t *job, int status, JsonNode *body);
void admin_job_end_text(admin_job_t *job, int status, const char *type,
			const http_header_t *headers, const char *body,
			size_t size);
void admin_job_fail(admin_job_t *job, const GError *error);

/* Responds with an error of this kind and frees the job. */
void admin_job_refuse(admin_job_t *job, error_kind_t kind, const char *message);

/*
 * Reads the query parameter "generation"; 0 if it is absent.  Returns FALSE if
 * it is not a positive number.
 */
gboolean admin_query_generation(http_request_t *request, int64_t *generation);

/* Request handlers; ctx is the admin_t. */
void admin_on_validate(void *ctx, http_request_t *request);
void admin_on_diff(void *ctx, http_request_t *request);
void admin_on_document(void *ctx, http_request_t *request);
void admin_on_history(void *ctx, http_request_t *request);
void admin_on_status(void *ctx, http_request_t *request);
void admin_on_trace(void *ctx, http_request_t *request);
void admin_on_console(void *ctx, http_request_t *request);

#endif
