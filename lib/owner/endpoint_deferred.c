#include <string.h>

#include "owner/endpoint_private.h"

/*
 * How long a run is deferred until the ownership of the endpoint is certain.
 * Entries learn of a new owner before the engine has accepted its fence.  A
 * refusal would cost them an attempt, and no other owner could run the request.
 */
#define DEFERRED_WAIT_MAX_MS 2000

static void deferred_run_free(deferred_run_t *deferred)
{
	message_free(deferred->message);
	g_free(deferred);
}

static void refuse(endpoint_t *endpoint, deferred_run_t *deferred,
		   const char *reason)
{
	message_not_run_t refusal = {MESSAGE_NOT_RUN,
				     deferred->message->request,
				     deferred->message->attempt,
				     ERROR_CONFLICT,
				     (char *)reason,
				     0};

	endpoint->actions->send(endpoint->ctx, deferred->requester, &refusal);
	deferred_run_free(deferred);
}

void endpoint_defer_run(endpoint_t *endpoint, void *requester,
			message_run_t *message)
{
	deferred_run_t *deferred = g_new0(deferred_run_t, 1);

	deferred->requester = requester;
	deferred->message = message;
	deferred->since = endpoint_now(endpoint);
	g_queue_push_tail(&endpoint->deferred, deferred);
}

void endpoint_deferred_tick(endpoint_t *endpoint)
{
	ms_t oldest = endpoint_now(endpoint) - DEFERRED_WAIT_MAX_MS;
	deferred_run_t *deferred;

	if (endpoint->actions->may_serve(endpoint->ctx, endpoint)) {
		while ((deferred = g_queue_pop_head(&endpoint->deferred))) {
			endpoint_run(endpoint, deferred->requester,
				     deferred->message);
			g_free(deferred);
		}
		return;
	}
	while ((deferred = g_queue_peek_head(&endpoint->deferred)) &&
	       deferred->since <= oldest)
		refuse(endpoint, g_queue_pop_head(&endpoint->deferred),
		       "the ownership of the endpoint is not certain now; "
		       "retry");
}

void endpoint_drop_deferred(endpoint_t *endpoint, const void *requester,
			    const char *request)
{
	GList *at = endpoint->deferred.head;

	while (at) {
		deferred_run_t *deferred = at->data;
		GList *next = at->next;

		if ((!requester || deferred->requester == requester) &&
		    (!request ||
		     !strcmp(deferred->message->request, request))) {
			deferred_run_free(deferred);
			g_queue_delete_link(&endpoint->deferred, at);
		}
		at = next;
	}
}

void endpoint_refuse_deferred(endpoint_t *endpoint, const char *reason)
{
	deferred_run_t *deferred;

	while ((deferred = g_queue_pop_head(&endpoint->deferred)))
		refuse(endpoint, deferred, reason);
}
