/* The state machine of a request: each outcome, and what is delivered. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "request/track.h"

#define SEED	 1
#define DEADLINE ((ms_t)10000)

/* A track, and a record of its actions. */
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
	gboolean is_send_failing; /* sending to an owner fails */
} fixture_t;

static void log_action(void *ctx, const char *word)
{
	fixture_t *fixture = ctx;

	g_string_append(fixture->log, word);
	g_string_append_c(fixture->log, ' ');
}

static void on_claim(void *ctx, gboolean is_known)
{
	log_action(ctx, is_known ? "claim-again" : "claim");
}

static void on_place(void *ctx, const char *avoid)
{
	log_action(ctx, avoid ? "place-elsewhere" : "place");
}

static gboolean on_run(void *ctx, const track_place_t *place, int64_t attempt,
		       int64_t first)
{
	char word[64];

	g_snprintf(word, sizeof(word), "run%d/%d", (int)attempt, (int)first);
	log_action(ctx, word);
	return !((fixture_t *)ctx)->is_send_failing;
}

static void on_cancel(void *ctx, const track_place_t *place, int64_t attempt)
{
	log_action(ctx, "cancel");
}

static void on_deliver(void *ctx, int64_t number, const char *data, size_t size)
{
	fixture_t *fixture = ctx;

	g_string_append_len(fixture->text, data, (gssize)size);
}

static void on_restart(void *ctx)
{
	fixture_t *fixture = ctx;

	g_string_truncate(fixture->text, 0);
	log_action(ctx, "restart");
}

static void on_wake(void *ctx, ms_t at)
{
	fixture_t *fixture = ctx;

	fixture->wake = at;
}

static void on_settle(void *ctx, outcome_t outcome)
{
	log_action(ctx, "settle");
	log_action(ctx, outcome_name(outcome));
}

static void on_detach(void *ctx, const track_end_t *response)
{
	assert_int_equal(response->outcome, OUTCOME_UNKNOWN);
	log_action(ctx, "detach");
}

static void on_end(void *ctx, const track_end_t *end)
{
	fixture_t *fixture = ctx;

	fixture->outcome = end->outcome;
	fixture->kind = end->error ? error_kind(end->error) : ERROR_KIND_COUNT;
	fixture->retry_after = end->retry_after;
	log_action(ctx, "end");
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

static const track_place_t endpoint_1 = {"e1", "o1"};

static fixture_t *fixture_create(gboolean is_idempotent, gboolean is_streamed)
{
	track_options_t options = {is_idempotent, is_streamed, DEADLINE};
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->rand = g_rand_new_with_seed(SEED);
	fixture->retry = retry_create(&RETRY_OPTIONS_DEFAULT, fixture->rand);
	fixture->log = g_string_new(NULL);
	fixture->text = g_string_new(NULL);
	fixture->track =
		track_create(&options, &actions, fixture, fixture->retry);
	track_start(fixture->track, 0);
	return fixture;
}

/* Check that the request has ended, its actions and its text; clean up. */
static void fixture_check_and_destroy(fixture_t *fixture, outcome_t outcome,
				      const char *log, const char *text)
{
	assert_true(track_is_ended(fixture->track));
	assert_int_equal(fixture->outcome, outcome);
	assert_string_equal(fixture->log->str, log);
	assert_string_equal(fixture->text->str, text);
	track_destroy(fixture->track);
	retry_destroy(fixture->retry);
	g_rand_free(fixture->rand);
	g_string_free(fixture->log, TRUE);
	g_string_free(fixture->text, TRUE);
	g_free(fixture);
}

static void feed_piece(fixture_t *fixture, int64_t attempt, int64_t number,
		       const char *text)
{
	track_on_piece(fixture->track, 0, attempt, number, text, strlen(text));
}

static void feed_not_run(fixture_t *fixture, int64_t attempt, error_kind_t kind)
{
	GError *error = NULL;

	error_set(&error, kind, "refused by the owner; try later");
	track_on_not_run(fixture->track, 0, attempt, error, 700);
	g_clear_error(&error);
}

static void test_streamed_answer(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, TRUE);
	feed_piece(fixture, 1, 1, "b");
	feed_piece(fixture, 1, 0, "a");
	feed_piece(fixture, 1, 0, "a");
	track_on_done(fixture->track, 0, 1, 3);
	assert_false(track_is_ended(fixture->track));
	feed_piece(fixture, 1, 2, "c");
	fixture_check_and_destroy(fixture, OUTCOME_ANSWERED,
				  "place run1/0 end ", "abc");
}

static void test_resumed_at_the_next_owner(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, TRUE);
	feed_piece(fixture, 1, 0, "a");
	feed_piece(fixture, 1, 2, "old");
	track_on_owner_lost(fixture->track, 0, "o1");
	feed_piece(fixture, 1, 1, "late");
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	track_on_started(fixture->track, 0, 2, TRUE);
	feed_piece(fixture, 2, 1, "b");
	track_on_done(fixture->track, 0, 2, 2);
	fixture_check_and_destroy(fixture, OUTCOME_ANSWERED,
				  "place run1/0 place-elsewhere run2/1 end ",
				  "ab");
}

static void test_resumption_waits_for_its_endpoint(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, TRUE);
	feed_piece(fixture, 1, 0, "a");
	track_on_owner_lost(fixture->track, 0, "o1");
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	feed_not_run(fixture, 2, ERROR_OVERLOADED);
	assert_int_equal(fixture->wake, 700);
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	track_on_started(fixture->track, 0, 3, TRUE);
	track_on_done(fixture->track, 0, 3, 1);
	fixture_check_and_destroy(
		fixture, OUTCOME_ANSWERED,
		"place run1/0 place-elsewhere run2/1 place-elsewhere run3/1 "
		"end ",
		"a");
}

static void test_interrupted_stream_not_resumable(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, FALSE);
	feed_piece(fixture, 1, 0, "a");
	track_on_owner_lost(fixture->track, 0, "o1");
	assert_int_equal(fixture->kind, ERROR_INTERRUPTED);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN, "place run1/0 end ",
				  "a");
}

static void test_unstreamed_answer_restarts(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, FALSE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, FALSE);
	feed_piece(fixture, 1, 0, "x");
	track_on_owner_lost(fixture->track, 0, "o1");
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	feed_piece(fixture, 2, 0, "a");
	track_on_done(fixture->track, 0, 2, 1);
	fixture_check_and_destroy(
		fixture, OUTCOME_ANSWERED,
		"place run1/0 restart place-elsewhere run2/0 end ", "a");
}

static void test_not_run_only_when_proved(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	feed_not_run(fixture, 1, ERROR_INVALID);
	assert_int_equal(fixture->retry_after, 700);
	fixture_check_and_destroy(fixture, OUTCOME_NOT_RUN, "place run1/0 end ",
				  "");

	/* An attempt of unknown outcome rules out OUTCOME_NOT_RUN. */
	fixture = fixture_create(TRUE, TRUE);
	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_owner_lost(fixture->track, 0, "o1");
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	feed_not_run(fixture, 2, ERROR_INVALID);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN,
				  "place run1/0 place-elsewhere run2/0 end ",
				  "");
}

static void test_unsent_attempt_has_not_run(void **state)
{
	fixture_t *fixture = fixture_create(FALSE, TRUE);

	fixture->is_send_failing = TRUE;
	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(fixture->track, 0, &endpoint_1);
	fixture->is_send_failing = FALSE;
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	track_on_done(fixture->track, 0, 2, 0);
	fixture_check_and_destroy(
		fixture, OUTCOME_ANSWERED,
		"claim place run1/0 place-elsewhere run2/0 settle answered "
		"end ",
		"");
}

static void test_overloaded_home_is_not_retried(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);
	GError *error = NULL;

	error_set(&error, ERROR_OVERLOADED, "no slot in time; come back");
	track_on_not_placed(fixture->track, 0, error, 900);
	g_clear_error(&error);
	assert_int_equal(fixture->retry_after, 900);
	fixture_check_and_destroy(fixture, OUTCOME_NOT_RUN, "place end ", "");
}

static void test_non_idempotent_runs_once(void **state)
{
	fixture_t *fixture = fixture_create(FALSE, TRUE);

	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(fixture->track, 0, &endpoint_1);
	feed_not_run(fixture, 1, ERROR_LOAD_FAILED);
	track_on_timer(fixture->track, fixture->wake);
	track_on_placed(fixture->track, fixture->wake, &endpoint_1);
	track_on_owner_lost(fixture->track, 0, "o1");
	fixture_check_and_destroy(
		fixture, OUTCOME_UNKNOWN,
		"claim place run1/0 place-elsewhere run2/0 settle unknown "
		"end ",
		"");
}

static void test_claim_results(void **state)
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
		fixture_t *fixture = fixture_create(FALSE, FALSE);

		track_on_claim(fixture->track, 0, cases[i].claim, "kept", 4, 0);
		assert_int_equal(fixture->kind, cases[i].kind);
		fixture_check_and_destroy(
			fixture, cases[i].outcome, cases[i].log,
			cases[i].claim == TRACK_CLAIM_ANSWERED ? "kept" : "");
	}
}

/* Polls the claim of another attempt until its answer is recorded. */
static void test_attached(void **state)
{
	fixture_t *fixture = fixture_create(FALSE, FALSE);
	ms_t now = 0;

	for (int i = 0; i < 3; i++) {
		track_on_claim(fixture->track, now, TRACK_CLAIM_RUNNING, NULL,
			       0, 0);
		assert_false(track_is_ended(fixture->track));
		assert_in_range(fixture->wake - now, TRACK_ATTACH_MIN,
				TRACK_ATTACH_MAX);
		now = fixture->wake;
		track_on_timer(fixture->track, now);
	}
	track_on_claim(fixture->track, now, TRACK_CLAIM_ANSWERED, "kept", 4, 0);
	fixture_check_and_destroy(
		fixture, OUTCOME_ANSWERED,
		"claim claim-again claim-again claim-again end ", "kept");
}

/* The attempt that held the claim has not run, so this request runs. */
static void test_attached_then_held(void **state)
{
	fixture_t *fixture = fixture_create(FALSE, FALSE);

	track_on_claim(fixture->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(fixture->track, fixture->wake);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(fixture->track, 0, &endpoint_1);
	feed_piece(fixture, 1, 0, "a");
	track_on_done(fixture->track, 0, 1, 1);
	fixture_check_and_destroy(
		fixture, OUTCOME_ANSWERED,
		"claim claim-again place run1/0 settle answered end ", "a");
}

/*
 * An attached request that gives up must not end as OUTCOME_NOT_RUN, because
 * the attempt that holds the claim continues.
 */
static void test_attached_without_answer(void **state)
{
	fixture_t *fixture = fixture_create(FALSE, FALSE);

	track_on_claim(fixture->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(fixture->track, DEADLINE);
	assert_int_equal(fixture->kind, ERROR_CONFLICT);
	assert_int_equal(fixture->retry_after, TRACK_ATTACH_RETRY_AFTER);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN, "claim end ", "");

	fixture = fixture_create(FALSE, FALSE);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_timer(fixture->track, fixture->wake);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_FAILED, NULL, 0, 700);
	assert_int_equal(fixture->kind, ERROR_UNAVAILABLE);
	assert_int_equal(fixture->retry_after, 700);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN,
				  "claim claim-again settle unknown end ", "");

	fixture = fixture_create(FALSE, FALSE);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_RUNNING, NULL, 0, 0);
	track_on_caller_gone(fixture->track, 0);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN, "claim end ", "");
}

static void test_caller_gone(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_caller_gone(fixture->track, 0);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN,
				  "place run1/0 cancel end ", "");

	fixture = fixture_create(FALSE, TRUE);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_caller_gone(fixture->track, 0);
	fixture_check_and_destroy(fixture, OUTCOME_NOT_RUN,
				  "claim place settle not_run end ", "");

	/* A non-idempotent request continues, to record its answer. */
	fixture = fixture_create(FALSE, TRUE);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_caller_gone(fixture->track, 0);
	feed_piece(fixture, 1, 0, "a");
	track_on_done(fixture->track, 0, 1, 1);
	fixture_check_and_destroy(fixture, OUTCOME_ANSWERED,
				  "claim place run1/0 settle answered end ",
				  "a");
}

static void test_deadline(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_timer(fixture->track, DEADLINE);
	assert_int_equal(fixture->kind, ERROR_TIMEOUT);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN,
				  "place run1/0 cancel end ", "");

	fixture = fixture_create(FALSE, TRUE);
	track_on_claim(fixture->track, 0, TRACK_CLAIM_HELD, NULL, 0, 0);
	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_timer(fixture->track, DEADLINE);
	assert_false(track_is_ended(fixture->track));
	track_on_timer(fixture->track, DEADLINE + TRACK_DETACHED_MAX);
	fixture_check_and_destroy(
		fixture, OUTCOME_UNKNOWN,
		"claim place run1/0 detach cancel settle unknown end ", "");
}

static void test_missing_pieces_time_out(void **state)
{
	fixture_t *fixture = fixture_create(TRUE, TRUE);

	track_on_placed(fixture->track, 0, &endpoint_1);
	track_on_started(fixture->track, 0, 1, FALSE);
	feed_piece(fixture, 1, 0, "a");
	track_on_done(fixture->track, 0, 1, 2);
	assert_int_equal(fixture->wake, TRACK_MISSING_MAX);
	track_on_timer(fixture->track, fixture->wake);
	assert_int_equal(fixture->kind, ERROR_PROTOCOL);
	fixture_check_and_destroy(fixture, OUTCOME_UNKNOWN,
				  "place run1/0 cancel end ", "a");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streamed_answer),
		cmocka_unit_test(test_resumed_at_the_next_owner),
		cmocka_unit_test(test_resumption_waits_for_its_endpoint),
		cmocka_unit_test(test_interrupted_stream_not_resumable),
		cmocka_unit_test(test_unstreamed_answer_restarts),
		cmocka_unit_test(test_not_run_only_when_proved),
		cmocka_unit_test(test_unsent_attempt_has_not_run),
		cmocka_unit_test(test_overloaded_home_is_not_retried),
		cmocka_unit_test(test_non_idempotent_runs_once),
		cmocka_unit_test(test_claim_results),
		cmocka_unit_test(test_attached),
		cmocka_unit_test(test_attached_then_held),
		cmocka_unit_test(test_attached_without_answer),
		cmocka_unit_test(test_caller_gone),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_missing_pieces_time_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
