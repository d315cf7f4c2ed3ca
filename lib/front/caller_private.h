#ifndef FRONT_CALLER_PRIVATE_H
#define FRONT_CALLER_PRIVATE_H

/* Declarations shared by the files that implement caller.h. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/caller.h"

/* Size of one read. */
#define READ_SIZE (16 * 1024)

/*
 * Bytes queued for a caller above which it is congested, and below which it is
 * no more.  If too much is queued for all together, it is none.
 */
#define CONGESTED_BYTES (64 * 1024)
#define DRAINED_BYTES	(16 * 1024)

/* Bytes that are read from a refused caller. */
#define DISCARDED_MAX_BYTES (1024 * 1024)

/* How often the timeouts are checked. */
#define SWEEP_MS 500

#define STATUS_BAD_REQUEST     400
#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_TOO_LARGE       413
#define STATUS_HEAD_TOO_LARGE  431
#define STATUS_NO_ROOM	       503

typedef enum {
	CALLER_READING,	  /* no request, or an incomplete one */
	CALLER_DELIVERED, /* the request was delivered */
	CALLER_ANSWERING  /* the head of its answer was sent */
} caller_state_t;

struct call {
	TAILQ_ENTRY(call) link;
	callers_t *callers;
	uv_tcp_t tcp;
	http1_reader_t *reader;
	const http1_head_t *head;
	GByteArray *body;
	GByteArray *pipelined; /* received after the current request */
	size_t pipelined_read; /* bytes of it that were read */
	size_t charged[MEMORY_PARTS];
	caller_state_t state;
	void *data;
	ms_t active_at; /* time of the last byte read or written, or of the end
			   of the last answer */
	ms_t began_at;	/* of the request's first byte */
	ms_t arrived_at;
	ms_t refused_at;
	ms_t waiting_since; /* for memory; 0 if it is not */
	size_t discarded;   /* bytes read since the refusal */
	body_progress_t progress;
	/* Of the end of an answer: what the caller has taken of it. */
	body_progress_t taken;
	size_t untaken; /* bytes of it at the last sweep */
	int refusal;	/* status; 0 while the request is read */
	gboolean has_served;
	gboolean is_chunked;
	gboolean keeps_alive;
	gboolean is_closing;
	gboolean closes_after_write;
	gboolean is_rejected; /* further bytes are discarded */
	gboolean is_congested;
	gboolean is_consuming;
	gboolean has_following;	    /* bytes after the request being consumed */
	gboolean is_mostly_framing; /* the last read of its body */
	gboolean is_paused;	    /* not read until the next tick */
	gboolean is_stopped;	    /* not read until pipelined requests are */
};

TAILQ_HEAD(call_list, call);

struct callers {
	callers_options_t options;
	callers_events_t events;
	void *ctx;
	uv_tcp_t listener;
	uv_timer_t sweeper;
	uv_timer_t pacer; /* runs while a connection is paused */
	struct call_list calls;
	guint count;
	guint paused;
	ms_t swept_at;
	size_t framing_left; /* bytes of framing that may be read in this tick
			      */
	gboolean is_draining;
	gboolean is_closed;
	gboolean is_accept_pending;
	counter_t *accepted;
	counter_t *malformed;
	counter_t *refused_memory;
	counter_t *refused_slow;
	counter_t *waits;
	counter_t *accept_waits;
	counter_t *closed_unused;
	counter_t *closed_unread;
	counter_t *closed_kept;
};

/* caller.c: connections and requests. */

const route_limits_t *callers_limits(const callers_t *callers);
ms_t call_now(const call_t *call);
/* Sets the size that the connection keeps in a part of the budget. */
void call_charge(call_t *call, memory_part_t part, size_t size);
void call_close(call_t *call);
/*
 * Whether the connection has a request that was read, or an answer of which the
 * kernel has not taken the last byte.
 */
gboolean call_is_busy(const call_t *call);
/* The caller disconnected, or the connection failed. */
void call_lost(call_t *call);
void call_close_by(call_t *call, gboolean is_reset);
/*
 * Answers a request that is not delivered.  The connection is closed some time
 * later: closing it with bytes unread would reset it, and the caller might not
 * receive the answer.
 */
void call_reject(call_t *call, int status, ms_t retry_after, const char *why);
/* Drops the current request, whose answer is complete. */
void call_drop_request(call_t *call);
/* Whether bytes after the current request were read. */
gboolean call_has_pipelined(const call_t *call);
/* Reads requests from the pipelined bytes. */
void call_read_pipelined(call_t *call);
void call_read_start(call_t *call);
/* Accepts the connection that waits, if any and if there is a place. */
void callers_accept(callers_t *callers);

/* caller_answer.c: sends answers. */

size_t call_queue_size(const call_t *call);
/* Bytes of answers that the caller has not acknowledged. */
size_t call_untaken(const call_t *call);
void call_write_answer(call_t *call, int status, ms_t retry_after,
		       const char *body);

/* caller_limits.c: memory, progress and places of connections. */

/* Whether the next bytes of the connection may be read. */
gboolean call_may_read(call_t *call);
/*
 * Makes room after bytes were read, by refusing those that hold most and
 * progress least.
 */
void call_make_room(call_t *call);
void call_refuse_for_memory(call_t *call);
/*
 * Makes room for a body of this size by refusing requests that have been silent
 * for long; returns whether there is room.
 */
gboolean call_reclaim_silent(call_t *call, size_t size);
/* There is no room to read: waits for it, or makes it. */
void call_wait_for_room(call_t *call);
/* Reads no more until the next tick. */
void call_pause(call_t *call);
/* Counts the bytes of framing in a read; waits if there were too many. */
void call_note_framing(call_t *call, size_t size, size_t body);
/*
 * Closes the connection that has been idle for longest, if there is one: never
 * one with a request, a part of one, or an answer that is not written.
 */
gboolean callers_close_idlest(callers_t *callers);
/* Begins to check timeouts. */
void callers_start_timers(callers_t *callers);

#endif
