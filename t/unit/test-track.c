/* The course of one request: each way to end, and what the caller gets. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/track.h"

#define SEED	 1
#define DEADLINE ((ms_t)10000)

/* A track and what it did. */
typedef struct {
	track_t *track;
	retry_t *retry;
	GRand *rand;
	GString *log; /* one word for each action */
	GString *text;
	outcome_t outcome;
	error_kind_t kind;
	ms_t retry_after;
	ms_t wake;
	gboolean is_cut_off; /* no order leaves this process */
} bed_t;

static void note(void *ctx, const char *word)
{
	bed_t *bed = ctx;

	g_string_append(bed->log, word);
	g_string_append_c(bed->log, ' ');
}

static void on_claim(void *ctx, gboolean is_known)
{
	note(ctx, is_known ? "claim-again" : "claim");
}

static void on_place(void *ctx, const char *avoid)
{
	note(ctx, avoid ? "place-elsewhere" : "place");
}

static gboolean on_run(void *ctx, const track_place_t *place, int64_t attempt,
		       int64_t first)
{
	char word[64];

	g_snprintf(word, sizeof(word), "run%d/%d", (int)attempt, (int)first);
	note(ctx, word);
	return !((bed_t *)ctx)->is_cut_off;
}

static void on_cancel(void *ctx, const track_place_t *place, int64_t attempt)
{
	note(ctx, "cancel");
}

static void on_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	bed_t *bed = ctx;

	g_string_append_len(bed->text, data, (gssize)size);
}

static void on_restart(void *ctx)
{
	bed_t *bed = ctx;

	g_string_truncate(bed->text, 0);
	note(ctx, "restart");
}

static void on_wake(void *ctx, ms_t at)
{
	bed_t *bed = ctx;

	bed->wake = at;
}

static void on_settle(void *ctx, outcome_t outcome)
{
	note(ctx, "settle");
	note(ctx, outcome_name(outcome));
}

static void on_detach(void *ctx, const track_end_t *told)
{
	assert_int_equal(told->outcome, OUTCOME_UNKNOWN);
	note(ctx, "detach");
}

static void on_end(void *ctx, const track_end_t *end)
{
	bed_t *bed = ctx;

	bed->outcome = end->outcome;
	bed->kind = end->error ? error_kind(end->error) : ERROR_KIND_COUNT;
	bed->retry_after = end->retry_after;
	note(ctx, "end");
}

static const track_actions_t actions = {
	.claim = on_claim,
	.place = on_place,
	.run = on_run,
	.cancel = on_cancel,
	.deliver = on_deliver,
	.restart = on_restart,
	.wake = on_wake,
	.settle = on_settle,
	.detach = on_detach,
	.end = on_end,
};

static const track_place_t here = {"e1", "o1"};

static bed_t *bed_create(gboolean is_idempotent, gboolean is_streamed)
{
	track_options_t options = {is_idempotent, is_streamed, DEADLINE};
	bed_t *bed = g_new0(bed_t, 1);

	bed->rand = g_rand_new_with_seed(SEED);
	bed->retry = retry_create(&RETRY_OPTIONS_DEFAULT, bed->rand);
	bed->log = g_string_new(NULL);
	bed->text = g_string_new(NULL);
	bed->track = track_create(&options, &actions, bed, bed->retry);
	track_start(bed->track, 0);
	return bed;
}

/* Check the actions, the text and that the request has ended; clean up. */
static void bed_close(bed_t *bed, outcome_t outcome, const char *log,
		      const char *text)
{
	assert_true(track_is_ended(bed->track));
	assert_int_equal(bed->outcome, outcome);
	assert_string_equal(bed->log->str, log);
	assert_string_equal(bed->text->str, text);
	track_destroy(bed->track);
	retry_destroy(bed->retry);
	g_rand_free(bed->rand);
	g_string_free(bed->log, TRUE);
	g_string_free(bed->text, TRUE);
	g_free(bed);
}

static void piece(bed_t *bed, int64_t attempt, int64_t number, const char *text)
{
	track_on_piece(bed->track, 0, attempt, number, text, strlen(text));
}

static void not_run(bed_t *bed, int64_t attempt, error_kind_t kind)
{
	GError *error = NULL;

	error_set(&error, kind, "refused by the owner; try later");
	track_on_not_run(bed->track, 0, attempt, error, 700);
	g_clear_error(&error);
}

static void test_streamed_answer(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, TRUE);
	piece(bed, 1, 1, "b");
	piece(bed, 1, 0, "a");
	piece(bed, 1, 0, "a");
	track_on_done(bed->track, 0, 1, 3);
	assert_false(track_is_ended(bed->track));
	piece(bed, 1, 2, "c");
	bed_close(bed, OUTCOME_ANSWERED, "place run1/0 end ", "abc");
}

static void test_resumed_at_the_next_owner(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, TRUE);
	piece(bed, 1, 0, "a");
	piece(bed, 1, 2, "old");
	track_on_owner_lost(bed->track, 0, "o1");
	piece(bed, 1, 1, "late");
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	track_on_started(bed->track, 0, 2, TRUE);
	piece(bed, 2, 1, "b");
	track_on_done(bed->track, 0, 2, 2);
	bed_close(bed, OUTCOME_ANSWERED,
		  "place run1/0 place-elsewhere run2/1 end ", "ab");
}

static void test_resumption_waits_for_its_endpoint(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, TRUE);
	piece(bed, 1, 0, "a");
	track_on_owner_lost(bed->track, 0, "o1");
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	not_run(bed, 2, ERROR_OVERLOADED);
	assert_int_equal(bed->wake, 700);
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	track_on_started(bed->track, 0, 3, TRUE);
	track_on_done(bed->track, 0, 3, 1);
	bed_close(bed, OUTCOME_ANSWERED,
		  "place run1/0 place-elsewhere run2/1 place-elsewhere run3/1 "
		  "end ",
		  "a");
}

static void test_cut_stream_that_cannot_resume(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, FALSE);
	piece(bed, 1, 0, "a");
	track_on_owner_lost(bed->track, 0, "o1");
	assert_int_equal(bed->kind, ERROR_INTERRUPTED);
	bed_close(bed, OUTCOME_UNKNOWN, "place run1/0 end ", "a");
}

static void test_whole_answer_begins_anew(void **state)
{
	bed_t *bed = bed_create(TRUE, FALSE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, FALSE);
	piece(bed, 1, 0, "x");
	track_on_owner_lost(bed->track, 0, "o1");
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	piece(bed, 2, 0, "a");
	track_on_done(bed->track, 0, 2, 1);
	bed_close(bed, OUTCOME_ANSWERED,
		  "place run1/0 restart place-elsewhere run2/0 end ", "a");
}

static void test_not_run_only_when_proved(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	not_run(bed, 1, ERROR_INVALID);
	assert_int_equal(bed->retry_after, 700);
	bed_close(bed, OUTCOME_NOT_RUN, "place run1/0 end ", "");

	/* An attempt whose end is unknown speaks against it for good. */
	bed = bed_create(TRUE, TRUE);
	track_on_placed(bed->track, 0, &here);
	track_on_owner_lost(bed->track, 0, "o1");
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	not_run(bed, 2, ERROR_INVALID);
	bed_close(bed, OUTCOME_UNKNOWN,
		  "place run1/0 place-elsewhere run2/0 end ", "");
}

static void test_unsent_order_has_not_run(void **state)
{
	bed_t *bed = bed_create(FALSE, TRUE);

	bed->is_cut_off = TRUE;
	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(bed->track, 0, &here);
	bed->is_cut_off = FALSE;
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	track_on_done(bed->track, 0, 2, 0);
	bed_close(bed, OUTCOME_ANSWERED,
		  "claim place run1/0 place-elsewhere run2/0 settle answered "
		  "end ",
		  "");
}

static void test_full_home_refuses_at_once(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);
	GError *error = NULL;

	error_set(&error, ERROR_OVERLOADED, "no slot in time; come back");
	track_on_not_placed(bed->track, 0, error, 900);
	g_clear_error(&error);
	assert_int_equal(bed->retry_after, 900);
	bed_close(bed, OUTCOME_NOT_RUN, "place end ", "");
}

static void test_non_idempotent_runs_once(void **state)
{
	bed_t *bed = bed_create(FALSE, TRUE);

	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(bed->track, 0, &here);
	not_run(bed, 1, ERROR_LOAD_FAILED);
	track_on_timer(bed->track, bed->wake);
	track_on_placed(bed->track, bed->wake, &here);
	track_on_owner_lost(bed->track, 0, "o1");
	bed_close(bed, OUTCOME_UNKNOWN,
		  "claim place run1/0 place-elsewhere run2/0 settle unknown "
		  "end ",
		  "");
}

static void test_claims_of_others(void **state)
{
	static const struct {
		track_claim_t claim;
		outcome_t outcome;
		error_kind_t kind;
		const char *log;
	} cases[] = {
		{TRACK_CLAIM_ANSWERED, OUTCOME_ANSWERED, ERROR_KIND_COUNT,
		 "claim end "},
		{TRACK_CLAIM_NO_ANSWER, OUTCOME_UNKNOWN, ERROR_INTERRUPTED,
		 "claim end "},
		{TRACK_CLAIM_KEY_MISMATCH, OUTCOME_NOT_RUN, ERROR_INVALID,
		 "claim end "},
		{TRACK_CLAIM_FAILED, OUTCOME_NOT_RUN, ERROR_UNAVAILABLE,
		 "claim settle not_run end "},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t *bed = bed_create(FALSE, FALSE);

		track_on_claim(bed->track, 0, cases[i].claim, "kept", 4, 0);
		assert_int_equal(bed->kind, cases[i].kind);
		bed_close(bed, cases[i].outcome, cases[i].log,
			  cases[i].claim == TRACK_CLAIM_ANSWERED ? "kept" : "");
	}
}

/* The answer of the run that holds the claim, however often it is asked for. */
static void test_attached(void **state)
{
	bed_t *bed = bed_create(FALSE, FALSE);
	ms_t now = 0;

	for (int i = 0; i < 3; i++) {
		track_on_claim(bed->track, now, TRACK_CLAIM_RUNNING, NULL, 0,
			       0);
		assert_false(track_is_ended(bed->track));
		assert_in_range(bed->wake - now, TRACK_ATTACH_MIN,
				TRACK_ATTACH_MAX);
		now = bed->wake;
		track_on_timer(bed->track, now);
	}
	track_on_claim(bed->track, now, TRACK_CLAIM_ANSWERED, "kept", 4, 0);
	bed_close(bed, OUTCOME_ANSWERED,
		  "claim claim-again claim-again claim-again end ", "kept");
}

/* The run that held the claim is proved not to have been: this one runs. */
static void test_attached_then_held(void **state)
{
	bed_t *bed = bed_create(FALSE, FALSE);

	track_on_claim(bed->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(bed->track, bed->wake);
	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(bed->track, 0, &here);
	piece(bed, 1, 0, "a");
	track_on_done(bed->track, 0, 1, 1);
	bed_close(bed, OUTCOME_ANSWERED,
		  "claim claim-again place run1/0 settle answered end ", "a");
}

/* Given up on, it is no "not run": the run that holds the claim goes on. */
static void test_attached_without_answer(void **state)
{
	bed_t *bed = bed_create(FALSE, FALSE);

	track_on_claim(bed->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(bed->track, DEADLINE);
	assert_int_equal(bed->kind, ERROR_CONFLICT);
	assert_int_equal(bed->retry_after, TRACK_ATTACH_RETRY_AFTER);
	bed_close(bed, OUTCOME_UNKNOWN, "claim end ", "");

	bed = bed_create(FALSE, FALSE);
	track_on_claim(bed->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(bed->track, bed->wake);
	track_on_claim(bed->track, 0, TRACK_CLAIM_FAILED, NULL, 0, 700);
	assert_int_equal(bed->kind, ERROR_UNAVAILABLE);
	assert_int_equal(bed->retry_after, 700);
	bed_close(bed, OUTCOME_UNKNOWN, "claim claim-again settle unknown end ",
		  "");

	bed = bed_create(FALSE, FALSE);
	track_on_claim(bed->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_caller_gone(bed->track, 0);
	bed_close(bed, OUTCOME_UNKNOWN, "claim end ", "");
}

static void test_caller_gone(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_caller_gone(bed->track, 0);
	bed_close(bed, OUTCOME_UNKNOWN, "place run1/0 cancel end ", "");

	bed = bed_create(FALSE, TRUE);
	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_caller_gone(bed->track, 0);
	bed_close(bed, OUTCOME_NOT_RUN, "claim place settle not_run end ", "");

	/* What has begun and may not be repeated runs on, for its claim. */
	bed = bed_create(FALSE, TRUE);
	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(bed->track, 0, &here);
	track_on_caller_gone(bed->track, 0);
	piece(bed, 1, 0, "a");
	track_on_done(bed->track, 0, 1, 1);
	bed_close(bed, OUTCOME_ANSWERED,
		  "claim place run1/0 settle answered end ", "a");
}

static void test_deadline(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_timer(bed->track, DEADLINE);
	assert_int_equal(bed->kind, ERROR_TIMEOUT);
	bed_close(bed, OUTCOME_UNKNOWN, "place run1/0 cancel end ", "");

	bed = bed_create(FALSE, TRUE);
	track_on_claim(bed->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(bed->track, 0, &here);
	track_on_timer(bed->track, DEADLINE);
	assert_false(track_is_ended(bed->track));
	track_on_timer(bed->track, DEADLINE + TRACK_DETACHED_MAX);
	bed_close(bed, OUTCOME_UNKNOWN,
		  "claim place run1/0 detach cancel settle unknown end ", "");
}

static void test_missing_pieces_are_not_awaited_for_ever(void **state)
{
	bed_t *bed = bed_create(TRUE, TRUE);

	track_on_placed(bed->track, 0, &here);
	track_on_started(bed->track, 0, 1, FALSE);
	piece(bed, 1, 0, "a");
	track_on_done(bed->track, 0, 1, 2);
	assert_int_equal(bed->wake, TRACK_MISSING_MAX);
	track_on_timer(bed->track, bed->wake);
	assert_int_equal(bed->kind, ERROR_PROTOCOL);
	bed_close(bed, OUTCOME_UNKNOWN, "place run1/0 cancel end ", "a");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streamed_answer),
		cmocka_unit_test(test_resumed_at_the_next_owner),
		cmocka_unit_test(test_resumption_waits_for_its_endpoint),
		cmocka_unit_test(test_cut_stream_that_cannot_resume),
		cmocka_unit_test(test_whole_answer_begins_anew),
		cmocka_unit_test(test_not_run_only_when_proved),
		cmocka_unit_test(test_unsent_order_has_not_run),
		cmocka_unit_test(test_full_home_refuses_at_once),
		cmocka_unit_test(test_non_idempotent_runs_once),
		cmocka_unit_test(test_claims_of_others),
		cmocka_unit_test(test_attached),
		cmocka_unit_test(test_attached_then_held),
		cmocka_unit_test(test_attached_without_answer),
		cmocka_unit_test(test_caller_gone),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_missing_pieces_are_not_awaited_for_ever),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
