#include "front/forward_private.h"

#include <math.h>

#include "base/log.h"

/* Buffer for a number as text. */
typedef struct {
	char text[24];
} number_t;

static const char *number(number_t *buffer, double value)
{
	g_snprintf(buffer->text, sizeof(buffer->text), "%ld", lround(value));
	return buffer->text;
}

gboolean front_organisation_limit(void *ctx, const char *name,
				  credit_limit_t *limit)
{
	const front_t *front = ctx;
	const organisations_t *organisations =
		front->routes ? route_table_organisations(front->routes) : NULL;
	const organisation_t *organisation =
		organisations ? organisations_find(organisations, name) : NULL;

	if (!organisation || organisation->rate <= 0)
		return FALSE;
	limit->rate = organisation->rate;
	limit->burst = organisation->burst;
	return TRUE;
}

static double cost_of(const forward_t *forward)
{
	const service_t *service =
		route_table_service(forward->routes, forward->service);
	int64_t tokens = forward->fields.tokens_in + forward->fields.tokens_out;

	if (!forward->organisation->is_in_tokens)
		return 1;
	/* It can't use more than an engine can hold. */
	if (service && service->tokens_max)
		tokens = MIN(tokens, service->tokens_max);
	return (double)(tokens > 0 ? tokens
				   : forward->organisation->plain_tokens);
}

static void refuse_credit(forward_t *forward, const credit_result_t *result)
{
	number_t buffers[3];
	ms_t retry_after = result->answer.retry_after;

	log_info("credit refused", "id", forward->fields.id, "organisation",
		 forward->organisation->name, "cost",
		 number(&buffers[0], cost_of(forward)), "home",
		 result->home ? result->home : "", "credit_level",
		 number(&buffers[1], result->answer.level), "retry_after_ms",
		 number(&buffers[2], (double)retry_after), NULL);
	forward->failure_reason = "the organisation's limit is used up";
	forward_answer(forward, STATUS_TOO_MANY, retry_after,
		       "the organisation's limit is used up\n");
}

void forward_charge(forward_t *forward)
{
	front_t *front = forward->front;
	credit_result_t result;
	credit_request_t request;

	if (!forward->organisation || forward->organisation->rate <= 0) {
		forward_dispatch(forward);
		return;
	}
	request = (credit_request_t){
		.organisation = forward->organisation->name,
		.limit = {forward->organisation->rate,
			  forward->organisation->burst},
		.cost = cost_of(forward),
	};
	forward->credit =
		adapters_request_credit(front->adapters, &request, &result);
	if (result.answer.verdict == CREDIT_PENDING) {
		forward->state = FORWARD_CHARGING;
		g_hash_table_insert(
			front->credits,
			g_memdup2(&forward->credit, sizeof(forward->credit)),
			forward);
		forward_set_timer(forward);
	} else if (result.answer.verdict == CREDIT_REFUSED) {
		forward->credit = 0;
		refuse_credit(forward, &result);
	} else {
		forward_dispatch(forward);
	}
}

void forward_on_credit(void *ctx, credit_id_t id, const credit_result_t *result)
{
	front_t *front = ctx;
	forward_t *forward = g_hash_table_lookup(front->credits, &id);

	if (!forward)
		return;
	g_hash_table_remove(front->credits, &id);
	forward->state = FORWARD_WAITING;
	if (result->answer.verdict == CREDIT_REFUSED) {
		forward->credit = 0;
		refuse_credit(forward, result);
	} else {
		forward_dispatch(forward);
	}
}

void forward_end_credit(forward_t *forward)
{
	front_t *front = forward->front;
	gboolean has_run =
		forward->may_have_run || forward->state == FORWARD_SENT;

	if (!forward->credit)
		return;
	g_hash_table_remove(front->credits, &forward->credit);
	adapters_end_credit(front->adapters, forward->credit, has_run);
	forward->credit = 0;
}
