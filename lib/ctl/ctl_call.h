#ifndef CTL_CTL_CALL_H
#define CTL_CTL_CALL_H

/* A synchronous call of the administration API. */

#include "ctl/ctl.h"

typedef struct {
	const char *method;
	const char *path;
	const char *body; /* or NULL */
	size_t size;
	const char *if_match; /* or NULL */
	const char *note;     /* or NULL */
} ctl_call_t;

typedef struct {
	int status;
	char *body;
	size_t size;
	char *etag; /* or NULL */
} ctl_response_t;

/*
 * Sends the request and waits for the response.  Fails with ERROR_INVALID for
 * invalid options, else with the errors of http_client.h.  Release the response
 * in either case.
 */
gboolean ctl_call(const ctl_options_t *options, const ctl_call_t *call,
		  ctl_response_t *response, GError **error);

void ctl_response_release(ctl_response_t *response);

#endif
