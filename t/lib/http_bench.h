#ifndef T_HTTP_BENCH_H
#define T_HTTP_BENCH_H

/*
 * Test fixture for cmocka: an HTTP server and raw connections to it, on one
 * loop.  "/" responds "served"; "/getters" checks the getters; "/kept" leaves
 * its request open for the test to end.  The authorizer accepts the token
 * "known".  All waits are limited.
 */

#include "http/http_server.h"

#define HTTP_BENCH_READ_TIMEOUT_MS 400
#define HTTP_BENCH_CHUNK_SIZE	   (64 * 1024)

/* Enough for four chunks with their request heads. */
#define HTTP_BENCH_BUFFERED_MAX	   (260 * 1024)
#define HTTP_BENCH_CONNECTIONS_MAX 64
#define HTTP_BENCH_BODY_MAX	   (1024 * 1024)

/* Upper limit of each wait. */
#define HTTP_BENCH_WAIT_MAX_MS 10000

typedef struct {
	uv_loop_t loop;
	http_server_t *server;
	http_request_t *kept; /* request to /kept, until it ends */
	int handled;
	int aborted;
} http_bench_t;

/* Group setup and test setup; the test state is the http_bench_t. */
int http_bench_set_up_server(void **state);
int http_bench_set_up(void **state);

/* Opens a connection; the caller closes it or reads it to its end. */
int http_bench_connect(http_bench_t *bench);
void http_bench_send(int fd, const char *text);

/* Run the loop once, or for a quarter of the read timeout. */
void http_bench_run_once(http_bench_t *bench);
void http_bench_run_briefly(http_bench_t *bench);

/* Runs until the server closes the connection; returns all received data. */
char *http_bench_read_to_end(http_bench_t *bench, int fd);

/* Reads to the end; each expected text (NULL-terminated list) must occur. */
void http_bench_expect_answer(http_bench_t *bench, int fd,
			      const char *const *expected);
void http_bench_expect_empty(http_bench_t *bench, int fd);

/* Checks that a request on a new connection succeeds. */
void http_bench_expect_served(http_bench_t *bench);

int64_t http_bench_counter(const char *name);

#endif
