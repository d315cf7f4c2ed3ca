/* What it costs to read and to pass on a head, by what it consists of. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "base/error.h"
#include "http/http1_reader.h"
#include "platform/headers.h"

#define HEAD_MAX 16384
#define FIELDS	 2000
#define WORDS	 3900
#define ROUNDS	 20

/* The worst head takes at most so many times as long as an ordinary one. */
#define COST_RATIO_MAX 3

typedef struct {
	GString *rendered;
	int heads;
} seen_t;

static void on_head(void *ctx, const http1_head_t *head)
{
	seen_t *seen = ctx;
	forward_fields_t forward = {.endpoint = "e", .address = "127.0.0.1:1"};

	seen->heads++;
	g_string_truncate(seen->rendered, 0);
	headers_render_request(seen->rendered, head, &forward, 0);
}

static void on_data(void *ctx, const char *data, size_t size)
{
}

static void on_end(void *ctx)
{
}

/* Reads and renders a head; returns whether it was accepted. */
static gboolean read_head(const GString *text, seen_t *seen, GError **error)
{
	static const http1_events_t events = {on_head, on_data, on_end};
	http1_reader_t *reader =
		http1_reader_create(HTTP1_REQUESTS, HEAD_MAX, &events, seen);

	seen->heads = 0;
	http1_reader_feed(reader, text->str, text->len, error);
	http1_reader_destroy(reader);
	return seen->heads == 1;
}

/* A head with short fields, and a list of short words in one of this name. */
static GString *make_head(int fields, const char *list, int words)
{
	GString *text = g_string_new("GET /x HTTP/1.1\r\nHost: h\r\n");
	int i;

	for (i = 0; i < fields; i++)
		g_string_append(text, "a:b\r\n");
	g_string_append_printf(text, "%s: keep-alive", list);
	for (i = 0; i < words; i++)
		g_string_append(text, ",c");
	g_string_append(text, "\r\n\r\n");
	return text;
}

static double cpu_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1000 + (double)time.tv_nsec / 1e6;
}

/* Least processor time of some rounds, in ms. */
static double cost_of(const GString *text)
{
	seen_t seen = {.rendered = g_string_new(NULL)};
	double least = G_MAXDOUBLE;
	int i;

	for (i = 0; i < ROUNDS; i++) {
		GError *error = NULL;
		double begun = cpu_ms();

		read_head(text, &seen, &error);
		g_clear_error(&error);
		least = MIN(least, cpu_ms() - begun);
	}
	g_string_free(seen.rendered, TRUE);
	return least;
}

/*
 * Guards against a head within the limits that hangs the process: a long list
 * in Connection beside many fields (review/10).
 */
static void test_list_in_connection(void **state)
{
	GString *ordinary = make_head(FIELDS, "X-List", WORDS / 2);
	double usual = cost_of(ordinary);
	int words;

	for (words = 50; words <= WORDS; words += 350) {
		GString *text = make_head(FIELDS, "Connection", words);
		double cost = cost_of(text);

		if (cost > usual * COST_RATIO_MAX)
			fail_msg("%d words: %.2f ms, in another header %.2f",
				 words, cost, usual);
		g_string_free(text, TRUE);
	}
	g_string_free(ordinary, TRUE);
}

/* The names in Connection are dropped, whatever their case and place. */
static void test_options_are_dropped(void **state)
{
	GString *text = g_string_new("GET /x HTTP/1.1\r\nHost: h\r\n"
				     "Connection: X-One , x-two,,\r\n"
				     "X-ONE: 1\r\nX-Two: 2\r\nX-Three: 3\r\n"
				     "X-Four: 4\r\nconnection:x-four\r\n"
				     "TE: trailers\r\nX-On: 5\r\n\r\n");
	seen_t seen = {.rendered = g_string_new(NULL)};

	assert_true(read_head(text, &seen, NULL));
	assert_null(strstr(seen.rendered->str, "X-ONE"));
	assert_null(strstr(seen.rendered->str, "X-Two"));
	assert_null(strstr(seen.rendered->str, "X-Four"));
	assert_null(strstr(seen.rendered->str, "TE:"));
	assert_non_null(strstr(seen.rendered->str, "X-Three: 3"));
	assert_non_null(strstr(seen.rendered->str, "X-On: 5"));
	g_string_free(text, TRUE);
	g_string_free(seen.rendered, TRUE);
}

/* Guards against a head whose line ends and colons count for nothing. */
static void test_head_counts_its_framing(void **state)
{
	GString *text = make_head(HEAD_MAX / 4, "X-List", 0);
	GString *fits = make_head(HEAD_MAX / 5 - 40, "X-List", 0);
	seen_t seen = {.rendered = g_string_new(NULL)};
	GError *error = NULL;

	assert_true(text->len > HEAD_MAX);
	assert_false(read_head(text, &seen, &error));
	assert_int_equal(error_kind(error), ERROR_TOO_LARGE);
	g_clear_error(&error);
	assert_true(fits->len <= HEAD_MAX);
	assert_true(read_head(fits, &seen, NULL));
	g_string_free(text, TRUE);
	g_string_free(fits, TRUE);
	g_string_free(seen.rendered, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_list_in_connection),
		cmocka_unit_test(test_options_are_dropped),
		cmocka_unit_test(test_head_counts_its_framing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
