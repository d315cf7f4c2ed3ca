/* What becomes of an endpoint's answer, and of the events of a resumed one. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "front/answer_check.h"
#include "front/event_order.h"

typedef struct {
	const char *label;
	int status;
	gboolean is_signed;
	gboolean is_encoded;
	gboolean is_event_stream;
	answer_use_t first;   /* of any route, before an answer has begun */
	answer_use_t resumed; /* once a stream has begun */
	answer_use_t second;  /* once an answer that is no stream has begun */
} answer_case_t;

static const answer_case_t answers[] = {
	{"sound", 200, TRUE, FALSE, TRUE, ANSWER_RELAY, ANSWER_RELAY,
	 ANSWER_REFUSE},
	{"another success", 201, TRUE, FALSE, TRUE, ANSWER_RELAY, ANSWER_RELAY,
	 ANSWER_REFUSE},
	{"another type", 200, TRUE, FALSE, FALSE, ANSWER_RELAY, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"no body", 204, TRUE, FALSE, TRUE, ANSWER_RELAY, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"no body", 205, TRUE, FALSE, TRUE, ANSWER_RELAY, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"part of a body", 206, TRUE, FALSE, TRUE, ANSWER_RELAY, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"unsigned", 200, FALSE, FALSE, TRUE, ANSWER_REFUSE, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"encoded", 200, TRUE, TRUE, TRUE, ANSWER_REFUSE, ANSWER_REFUSE,
	 ANSWER_REFUSE},
	{"unsigned and encoded", 200, FALSE, TRUE, TRUE, ANSWER_REFUSE,
	 ANSWER_REFUSE, ANSWER_REFUSE},
	{"redirect", 302, TRUE, FALSE, TRUE, ANSWER_HOLD, ANSWER_HOLD,
	 ANSWER_HOLD},
	{"error", 404, FALSE, FALSE, FALSE, ANSWER_HOLD, ANSWER_HOLD,
	 ANSWER_HOLD},
	{"signed error", 500, TRUE, FALSE, TRUE, ANSWER_HOLD, ANSWER_HOLD,
	 ANSWER_HOLD},
	{"refusal", 503, FALSE, FALSE, FALSE, ANSWER_HOLD, ANSWER_HOLD,
	 ANSWER_HOLD},
};

static void check(const answer_case_t *answer, gboolean is_begun,
		  gboolean is_stream, answer_use_t expected)
{
	answer_facts_t facts = {
		.is_begun = is_begun,
		.is_stream = is_stream,
		.status = answer->status,
		.is_signed = answer->is_signed,
		.is_encoded = answer->is_encoded,
		.is_event_stream = answer->is_event_stream,
	};
	const char *why = NULL;

	if (answer_check(&facts, &why) != expected)
		fail_msg("%s, begun %d, stream %d", answer->label, is_begun,
			 is_stream);
	assert_int_equal(why != NULL, expected == ANSWER_REFUSE);
}

/*
 * Guards against an answer that is judged only while none has begun, so that a
 * half of a stream ends as complete (review/8).
 */
static void test_each_answer(void **state)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		check(&answers[i], FALSE, FALSE, answers[i].first);
		check(&answers[i], FALSE, TRUE, answers[i].first);
		check(&answers[i], TRUE, TRUE, answers[i].resumed);
		check(&answers[i], TRUE, FALSE, answers[i].second);
	}
}

typedef struct {
	const char *first[4]; /* ids of the first run; NULL ends them */
	const char *resumed[4];
	gboolean is_refused; /* the last of the resumed ones */
} order_case_t;

static const order_case_t orders[] = {
	{{"0", "1", "2"}, {"3", "4"}, FALSE},
	{{"0", "1", "2"}, {"2"}, TRUE},
	{{"0", "1", "2"}, {"0"}, TRUE},
	{{"0", "1", "2"}, {"4"}, TRUE},
	{{"0", "1", "2"}, {"3", "3"}, TRUE},
	{{"0", "1", "2"}, {"3", "1"}, TRUE},
	{{"7", "14"}, {"21", "23"}, FALSE},
	/* The last event may hold less than the others. */
	{{"7", "14"}, {"16"}, FALSE},
	{{"7", "14"}, {"28"}, TRUE},
	/* After one event it is not known how far apart they are. */
	{{"7"}, {"14", "21"}, FALSE},
	{{"7"}, {"7"}, TRUE},
	{{"0", "1"}, {"x"}, TRUE},
	{{"a", "b"}, {"c", "d"}, FALSE},
	{{"a", "b"}, {"b"}, TRUE},
	{{"0", "1"}, {""}, TRUE},
	{{"9223372036854775807"}, {"9223372036854775808"}, TRUE},
};

static const char *accept(event_order_t *order, const char *id,
			  event_place_t place)
{
	char *text = *id ? g_strdup_printf("id: %s\ndata: x\n\n", id)
			 : g_strdup("data: x\n\n");
	const char *fault =
		event_order_accept(order, text, strlen(text), place);

	g_free(text);
	return fault;
}

/* Guards against a piece that comes twice or is missing after a resumption. */
static void test_resumed_events(void **state)
{
	guint i;
	int j;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		const order_case_t *order = &orders[i];
		const char *fault = NULL;
		event_order_t events;

		event_order_init(&events, NULL);
		for (j = 0; j < 4 && order->first[j]; j++)
			assert_null(
				accept(&events, order->first[j], EVENT_OF_RUN));
		for (j = 0; j < 4 && order->resumed[j]; j++) {
			assert_null(fault);
			fault = accept(&events, order->resumed[j],
				       j ? EVENT_OF_RESUMED : EVENT_RESUMES);
		}
		if ((fault != NULL) != order->is_refused)
			fail_msg("row %u: %s", i, fault ? fault : "accepted");
		event_order_release(&events);
	}
}

/* Guards against a stream that is resumed after an event that it can't name. */
static void test_event_without_id(void **state)
{
	event_order_t events;

	event_order_init(&events, "5");
	assert_string_equal(events.last_id, "5");
	assert_non_null(accept(&events, "5", EVENT_RESUMES));
	assert_null(accept(&events, "6", EVENT_RESUMES));
	assert_string_equal(events.last_id, "6");
	event_order_release(&events);
	event_order_init(&events, NULL);
	assert_null(accept(&events, "1", EVENT_OF_RUN));
	assert_null(accept(&events, "", EVENT_OF_RUN));
	assert_null(events.last_id);
	event_order_release(&events);
	assert_true(event_has_data("id: 1\r\ndata:\r\n\r\n", 15));
	assert_false(event_has_data(": data:\n\n", 9));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_answer),
		cmocka_unit_test(test_resumed_events),
		cmocka_unit_test(test_event_without_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
