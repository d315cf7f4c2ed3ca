/* Log lines on a full pipe: lost or cut, and never joined. */

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/log.h"

#define LINES_MAX    1000
#define BUFFER_BYTES 4096

typedef struct {
	int reader;
	int saved;    /* the former standard output */
	int capacity; /* of the pipe, in bytes */
} output_t;

/* Standard output becomes a pipe of the least size that is not waited for. */
static output_t redirect_output(void)
{
	output_t output;
	int ends[2];

	assert_int_equal(pipe2(ends, O_NONBLOCK), 0);
	output.capacity = fcntl(ends[1], F_SETPIPE_SZ, BUFFER_BYTES);
	assert_true(output.capacity > 0);
	output.reader = ends[0];
	output.saved = dup(STDOUT_FILENO);
	assert_int_equal(dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
	close(ends[1]);
	log_set_rate_limit(LINES_MAX);
	return output;
}

static void restore_output(const output_t *output)
{
	dup2(output->saved, STDOUT_FILENO);
	close(output->saved);
	close(output->reader);
}

static char *read_all(const output_t *output)
{
	GString *text = g_string_new(NULL);
	char buffer[BUFFER_BYTES];
	ssize_t size;

	while ((size = read(output->reader, buffer, sizeof(buffer))) > 0)
		g_string_append_len(text, buffer, size);
	return g_string_free(text, FALSE);
}

/*
 * Guards against a line that follows on one that was cut, so that neither can
 * be read: a line begins at the beginning of a line.
 */
static void test_lines_are_not_joined(void **state)
{
	output_t output = redirect_output();
	char *filler = g_strnfill((gsize)output.capacity, 'x');
	char *cut;
	char *rest;

	log_info("long", "filler", filler, NULL);
	cut = read_all(&output);
	log_info("next", NULL);
	log_info("last", NULL);
	rest = read_all(&output);
	restore_output(&output);

	/* The pipe took a part of the line. */
	assert_int_equal(strlen(cut), output.capacity);
	assert_null(strchr(cut, '\n'));
	assert_true(g_str_has_prefix(rest, "\n{\"ts\":"));
	assert_non_null(strstr(rest, "\"event\":\"next\"}\n{\"ts\":"));
	assert_true(g_str_has_suffix(rest, "\"event\":\"last\"}\n"));
	g_free(rest);
	g_free(cut);
	g_free(filler);
}

/* A line that is lost as a whole leaves nothing behind. */
static void test_full_pipe(void **state)
{
	output_t output = redirect_output();
	char *text;

	while (write(STDOUT_FILENO, ".", 1) > 0)
		;
	log_info("lost", NULL);
	text = read_all(&output);
	assert_null(strchr(text, '{'));
	g_free(text);
	log_info("kept", NULL);
	text = read_all(&output);
	restore_output(&output);
	assert_true(g_str_has_prefix(text, "{\"ts\":"));
	assert_true(g_str_has_suffix(text, "\"event\":\"kept\"}\n"));
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lines_are_not_joined),
		cmocka_unit_test(test_full_pipe),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
