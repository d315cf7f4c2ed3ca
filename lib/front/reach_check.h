#ifndef FRONT_REACH_CHECK_H
#define FRONT_REACH_CHECK_H

/*
 * Finds out whether anything listens at an address: opens a TCP connection and
 * closes it.  Tells a process that has ended from one that closed a connection.
 */

#include <glib.h>
#include <uv.h>

typedef enum {
	REACH_LISTENS, /* the connection was accepted */
	REACH_REFUSED, /* nothing listens there */
	REACH_UNKNOWN  /* no answer in time, or another error */
} reach_t;

/* Time for the answer: as for connections of requests, a SYN is not sent again.
 */
#define REACH_TIMEOUT_MS 400

/* Calls done once, later.  The loop must run until then. */
void reach_check(uv_loop_t *loop, const char *address, int port,
		 void (*done)(void *ctx, reach_t reach), void *ctx);

#endif
