/* The load generator: requests of a plan, verdicts on answers, percentiles. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "load/check.h"
#include "load/plan.h"
#include "load/tally.h"
#include "standin/engine_model.h"

#define ROUNDS 20000
#define TOKENS 3

static const plan_options_t options = {.adapter_prefix = "a",
				       .version = "1",
				       .adapters = 10,
				       .skew = 1.0,
				       .callers = 2,
				       .round = 2,
				       .tokens = TOKENS,
				       .non_idempotent_percent = 25,
				       .seed = 4};

static void test_plan_is_deterministic_and_follows_zipf(void **state)
{
	plan_t *plan = plan_create(&options);
	plan_t *same_seed = plan_create(&options);
	int first[10] = {0};
	int non_idempotent = 0;

	for (int i = 0; i < ROUNDS; i++) {
		plan_round_t round = plan_draw_round(plan, i % 2);
		plan_round_t other = plan_draw_round(same_seed, i % 2);
		plan_request_t request;
		plan_request_t same;

		assert_int_equal(round.first, other.first);
		plan_draw_request(plan, &round, 1, &request);
		plan_draw_request(same_seed, &other, 1, &same);
		assert_string_equal(request.id, same.id);
		first[round.first]++;
		non_idempotent += !request.is_idempotent;
		plan_request_clear(&request);
		plan_request_clear(&same);
	}
	/* 1/H(10) = 0.341 for the first rank, half of it for the second. */
	assert_in_range(first[0], ROUNDS * 32 / 100, ROUNDS * 36 / 100);
	assert_in_range(first[1], ROUNDS * 16 / 100, ROUNDS * 18 / 100);
	assert_in_range(non_idempotent, ROUNDS * 24 / 100, ROUNDS * 26 / 100);
	plan_destroy(plan);
	plan_destroy(same_seed);
}

static void on_token(void *ctx)
{
	(*(int *)ctx)++;
}

/* Check a stream of tokens of a model, with or without the end mark. */
static check_result_t check_stream(const char *model, int tokens,
				   gboolean has_end, gboolean is_cut)
{
	int seen = 0;
	check_t *check =
		check_create("a1@1", "p", TOKENS, TRUE, on_token, &seen);
	check_result_t result;

	check_head(check, 200);
	for (int i = 0; i < tokens; i++) {
		char *text = engine_model_token(model, "p", i);
		char *event = g_strdup_printf(
			"data: {\"choices\":[{\"text\":\"%s\"}]}\n\n", text);

		check_data(check, event, strlen(event));
		g_free(event);
		g_free(text);
	}
	if (has_end)
		check_data(check, "data: [DONE]\n\n", 14);
	result = check_end(check, is_cut);
	assert_int_equal(seen, tokens);
	check_destroy(check);
	return result;
}

static void test_verdicts_of_streamed_answers(void **state)
{
	assert_int_equal(check_stream("a1@1", TOKENS, TRUE, FALSE).verdict,
			 VERDICT_RIGHT);
	assert_int_equal(check_stream("a2@1", TOKENS, TRUE, FALSE).verdict,
			 VERDICT_WRONG);
	assert_int_equal(check_stream("a1@1", TOKENS - 1, TRUE, FALSE).verdict,
			 VERDICT_WRONG);
	assert_int_equal(check_stream("a1@1", TOKENS, FALSE, FALSE).verdict,
			 VERDICT_CUT);
	assert_int_equal(check_stream("a1@1", TOKENS, TRUE, TRUE).verdict,
			 VERDICT_CUT);
}

static check_result_t check_whole(int status, const char *body)
{
	check_t *check = check_create("a1@1", "p", 1, FALSE, on_token, NULL);
	check_result_t result;

	check_head(check, status);
	check_data(check, body, strlen(body));
	result = check_end(check, FALSE);
	check_destroy(check);
	return result;
}

static void test_verdicts_of_whole_answers(void **state)
{
	char *text = engine_model_token("a1@1", "p", 0);
	char *body = g_strdup_printf("{\"choices\":[{\"text\":\"%s\"}]}", text);
	check_result_t result;

	assert_int_equal(check_whole(200, body).verdict, VERDICT_RIGHT);
	assert_int_equal(check_whole(200, "{\"choices\":[]}").verdict,
			 VERDICT_CUT);
	result = check_whole(503, "{\"error\":{\"type\":\"overloaded\","
				  "\"outcome\":\"not_run\"}}");
	assert_int_equal(result.verdict, VERDICT_REFUSED);
	assert_int_equal(result.outcome, OUTCOME_NOT_RUN);
	assert_string_equal(result.kind, "overloaded");
	assert_int_equal(check_whole(503, "oops").verdict, VERDICT_CUT);
	g_free(body);
	g_free(text);
}

static verdict_t check_order(const char *body)
{
	check_t *check = check_create_order("k");
	verdict_t verdict;

	check_head(check, 200);
	check_data(check, body, strlen(body));
	verdict = check_end(check, FALSE).verdict;
	check_destroy(check);
	return verdict;
}

static void test_orders_must_run_once(void **state)
{
	assert_int_equal(check_order("{\"order\":\"k\",\"run\":1}"),
			 VERDICT_RIGHT);
	assert_int_equal(check_order("{\"order\":\"k\",\"run\":2}"),
			 VERDICT_WRONG);
	assert_int_equal(check_order("{\"order\":\"j\",\"run\":1}"),
			 VERDICT_WRONG);
	assert_int_equal(check_order("{}"), VERDICT_CUT);
}

static void test_percentiles(void **state)
{
	tally_t *tally = tally_create();

	assert_true(tally_percentile(tally, SERIES_WHOLE, 50) < 0);
	for (int64_t us = 100000; us > 0; us -= 1000)
		tally_time(tally, SERIES_WHOLE, us);
	assert_int_equal((int)tally_percentile(tally, SERIES_WHOLE, 50), 50);
	assert_int_equal((int)tally_percentile(tally, SERIES_WHOLE, 99), 99);
	tally_destroy(tally);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plan_is_deterministic_and_follows_zipf),
		cmocka_unit_test(test_verdicts_of_streamed_answers),
		cmocka_unit_test(test_verdicts_of_whole_answers),
		cmocka_unit_test(test_orders_must_run_once),
		cmocka_unit_test(test_percentiles),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
