#include <string.h>

#include "owner/endpoint_private.h"

/*
 * A successor hears of its ownership before the engine has accepted its fence.
 * Entries are as quick: what they send in that while is kept rather than
 * refused, since a refusal costs them an attempt and finds no other owner.
 */
#define EARLY_WAIT_MAX_MS 2000

static void early_free(early_run_t *early)
{
	message_free(early->message);
	g_free(early);
}

static void refuse(endpoint_t *endpoint, early_run_t *early, const char *reason)
{
	message_not_run_t refusal = {
		MESSAGE_NOT_RUN,	 early->message->request,
		early->message->attempt, ERROR_CONFLICT,
		(char *)reason,		 0};

	endpoint->actions->send(endpoint->ctx, early->requester, &refusal);
	early_free(early);
}

void endpoint_keep_early(endpoint_t *endpoint, void *requester,
			 message_run_t *message)
{
	early_run_t *early = g_new0(early_run_t, 1);

	early->requester = requester;
	early->message = message;
	early->since = endpoint_now(endpoint);
	g_queue_push_tail(&endpoint->early, early);
}

void endpoint_early_tick(endpoint_t *endpoint)
{
	ms_t oldest = endpoint_now(endpoint) - EARLY_WAIT_MAX_MS;
	early_run_t *early;

	if (endpoint->actions->may_serve(endpoint->ctx, endpoint)) {
		while ((early = g_queue_pop_head(&endpoint->early))) {
			endpoint_run(endpoint, early->requester,
				     early->message);
			g_free(early);
		}
		return;
	}
	while ((early = g_queue_peek_head(&endpoint->early)) &&
	       early->since <= oldest)
		refuse(endpoint, g_queue_pop_head(&endpoint->early),
		       "the ownership of the endpoint is not certain now; ask "
		       "again");
}

void endpoint_drop_early(endpoint_t *endpoint, const void *requester,
			 const char *request)
{
	GList *at = endpoint->early.head;

	while (at) {
		early_run_t *early = at->data;
		GList *next = at->next;

		if ((!requester || early->requester == requester) &&
		    (!request || !strcmp(early->message->request, request))) {
			early_free(early);
			g_queue_delete_link(&endpoint->early, at);
		}
		at = next;
	}
}

void endpoint_refuse_early(endpoint_t *endpoint, const char *reason)
{
	early_run_t *early;

	while ((early = g_queue_pop_head(&endpoint->early)))
		refuse(endpoint, early, reason);
}
