#ifndef MEMBER_LIST_CLIENT_H
#define MEMBER_LIST_CLIENT_H

/*
 * Polls the platform's list of instances and endpoints over HTTP.
 *
 * Every instance polls the list, which grows with the fleet.  The interval
 * therefore grows with the size of the list, so that an instance reads at most
 * LIST_BYTES_PER_SECOND on average.  The membership gossips what one instance
 * reads, so the fleet as a whole sees the list almost as often at any size.
 *
 * A failed read or a malformed list changes nothing; it is counted, and the
 * list is read again after the usual interval.
 */

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "http/http_client.h"

/* Average rate of reading the list, in bytes per second. */
#define LIST_BYTES_PER_SECOND 500

/* Minimum interval between two reads, in milliseconds. */
#define LIST_PERIOD_MIN 2000

/* Maximum size of a list, in bytes. */
#define LIST_BYTES_MAX (4 * 1024 * 1024)

typedef struct {
	const char *name;
	const char *address; /* an IP address */
	int port;	     /* 0 if the list has none */
	const char *region;
	const char *failure_domain;
	gboolean is_leaving;
} list_item_t;

typedef struct {
	void (*on_instance)(void *ctx, const list_item_t *item);
	void (*on_endpoint)(void *ctx, const list_item_t *item);
	/* A read ended; error is NULL if it succeeded. */
	void (*on_read)(void *ctx, const GError *error);
} list_events_t;

typedef struct list_client list_client_t;

/* Read at once and then periodically; host is an IP address. */
list_client_t *list_client_create(uv_loop_t *loop, http_client_t *http,
				  const char *host, int port, uint32_t seed,
				  const list_events_t *events, void *ctx);

/* Stop and free; the loop must run once more to close the timer. */
void list_client_destroy(list_client_t *client);

/*
 * Parse a list, without I/O.  Calls on_instance and on_endpoint only if the
 * whole text is well-formed; fails with ERROR_INVALID otherwise.
 */
gboolean list_parse(const char *text, gssize size, const list_events_t *events,
		    void *ctx, GError **error);

/* The interval after reading a list of the given size, in milliseconds. */
ms_t list_period(size_t size);

#endif
