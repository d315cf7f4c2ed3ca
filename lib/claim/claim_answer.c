#include <string.h>

#include "base/counter.h"
#include "claim/claim_internal.h"

static void waiter_free(waiter_t *waiter)
{
	g_free(waiter->request);
	g_free(waiter->body_hash);
	g_free(waiter);
}

void claim_drop_waiters(claim_t *claim)
{
	waiter_t *waiter = TAILQ_FIRST(&claim->waiters);

	while (waiter) {
		waiter_t *next = TAILQ_NEXT(waiter, link);

		waiter_free(waiter);
		waiter = next;
	}
}

void claim_add_waiter(claim_t *claim, const char *request,
		      const char *body_hash, claim_done_t done, void *ctx)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->request = g_strdup(request);
	waiter->body_hash = g_strdup(body_hash);
	waiter->done = done;
	waiter->ctx = ctx;
	TAILQ_INSERT_TAIL(&claim->waiters, waiter, link);
}

static void count_result(claim_result_t result)
{
	static const char *const names[] = {
		"hc_claims_total{result=\"granted\"}",
		"hc_claims_total{result=\"running_elsewhere\"}",
		"hc_claims_total{result=\"done\"}",
		"hc_claims_total{result=\"refused\"}",
		"hc_claims_total{result=\"mismatch\"}",
	};

	counter_add(counter_get(names[result]), 1);
}

static void answer_one(claim_t *claim, waiter_t *waiter,
		       const claim_answer_t *answer)
{
	TAILQ_REMOVE(&claim->waiters, waiter, link);
	count_result(answer->result);
	waiter->done(waiter->ctx, answer);
	waiter_free(waiter);
}

/* Answers all waiters of the claim. */
static void answer_waiters(claim_t *claim, const claim_record_t *record,
			   claim_answer_t answer)
{
	waiter_t *waiter = TAILQ_FIRST(&claim->waiters);

	while (waiter) {
		waiter_t *next = TAILQ_NEXT(waiter, link);
		claim_answer_t own_answer = answer;

		if (record && strcmp(waiter->body_hash, record->body_hash) != 0)
			own_answer.result = CLAIM_MISMATCH;
		answer_one(claim, waiter, &own_answer);
		/* Only the first may run the request. */
		if (answer.result == CLAIM_GRANTED)
			answer.result = CLAIM_RUNNING_ELSEWHERE;
		waiter = next;
	}
}

void claim_answer_record(claim_t *claim, claim_result_t result,
			 const claim_record_t *record)
{
	claim_answer_t answer = {
		.result = result,
		.request = record->request,
		.instance = record->instance,
		.outcome = record->state == CLAIM_ANSWERED ? OUTCOME_ANSWERED
							   : OUTCOME_UNKNOWN,
		.answer = record->answer,
		.answer_size = record->answer_size,
	};

	answer_waiters(claim, record, answer);
}

void claim_answer_refused(claim_t *claim)
{
	claim_answer_t answer = {
		.result = CLAIM_REFUSED,
		.outcome = OUTCOME_NOT_RUN,
		.retry_after = claim->claims->options.retry_after,
	};

	answer_waiters(claim, NULL, answer);
}

void claim_answer_late_waiters(claim_t *claim)
{
	if (TAILQ_EMPTY(&claim->waiters))
		return;
	if (claim->step == STEP_RUNNING)
		claim_answer_record(claim, CLAIM_RUNNING_ELSEWHERE,
				    &claim->record);
	else if (claim->write_kind == WRITE_KIND_OUTCOME &&
		 claim->record.state == CLAIM_NOT_RUN)
		claim_answer_refused(claim);
	else if (claim->write_kind == WRITE_KIND_OUTCOME)
		claim_answer_record(claim, CLAIM_DONE, &claim->record);
}
