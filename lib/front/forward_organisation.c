#include "front/forward_private.h"

#include "base/log.h"

static void refuse_unauthorized(front_t *front, call_t *call,
				const route_t *route, const char *reason)
{
	request_fields_t fields;

	headers_read_request(call_head(call), &fields);
	counter_add(front->unauthorized, 1);
	/* The key is not logged, nor the header that may contain it. */
	log_info("unauthorized", "id", fields.id, "route", route->name,
		 "reason", reason, NULL);
	call_answer(call, STATUS_UNAUTHORIZED, 0,
		    "this route takes requests with "
		    "\"Authorization: Token KEY\" and a key in force\n");
}

gboolean forward_authenticate(front_t *front, call_t *call,
			      const route_t *route,
			      const organisation_t **organisation)
{
	static const char *const reasons[] = {
		[API_KEY_ABSENT] = "no key",
		[API_KEY_MALFORMED] = "malformed",
		[API_KEY_STATED] = "unknown key",
	};
	const organisations_t *organisations =
		route_table_organisations(front->routes);
	api_key_state_t state;
	char *key = NULL;

	*organisation = NULL;
	if (!organisations)
		return TRUE;
	state = headers_read_key(call_head(call), &key);
	if (state == API_KEY_STATED)
		*organisation = organisations_find_key(organisations, key);
	g_free(key);
	if (*organisation || route->is_public)
		return TRUE;
	refuse_unauthorized(front, call, route, reasons[state]);
	return FALSE;
}

int forward_priority(const forward_t *forward)
{
	const organisation_t *organisation = forward->organisation;

	return organisation && organisation->priority >= 0
		       ? organisation->priority
		       : forward->route->priority;
}

void forward_count_request(const forward_t *forward)
{
	if (forward->organisation)
		organisation_counts_add_request(
			forward->front->organisation_counts,
			forward->organisation->name);
}

void forward_count_refusal(const forward_t *forward)
{
	if (forward->organisation)
		organisation_counts_add_refusal(
			forward->front->organisation_counts,
			forward->organisation->name);
}
