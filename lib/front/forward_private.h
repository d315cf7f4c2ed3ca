#ifndef FRONT_FORWARD_PRIVATE_H
#define FRONT_FORWARD_PRIVATE_H

/*
 * One request from its caller to an endpoint and back: the parts that its files
 * share.
 */

#include "front/front_private.h"
#include "request/retry.h"

#define STATUS_NOT_FOUND   404
#define STATUS_TIMEOUT	   408
#define STATUS_ELSEWHERE   421
#define STATUS_TOO_MANY	   429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_LATE	   504

/*
 * Time to come back when no endpoint can take a request; chosen: a lease of
 * 2 s ends after five returns.
 */
#define RETRY_NOWHERE_MS 400
/*
 * Time to come back when an endpoint was full, or an adapter had no room;
 * chosen: a load.
 */
#define RETRY_FULL_MS 250

/* Bytes of a reason that are kept; the longest of today has 90. */
#define WHY_MAX 128

typedef enum {
	FORWARD_WAITING, /* for the engine's holder */
	FORWARD_SENT,	 /* at an endpoint */
	FORWARD_OVER
} forward_state_t;

struct forward {
	TAILQ_ENTRY(forward) link;
	front_t *front;
	call_t *call;
	route_table_t *routes;
	const route_t *route;
	const char *service;
	request_fields_t fields;
	char *model;	     /* NULL for a plain service */
	const char *adapter; /* NULL for the base model alone */
	gboolean is_idempotent;
	gboolean is_stream;
	ms_t ends_at; /* the latest useful answer */
	forward_state_t state;
	fleet_endpoint_t *endpoint; /* where it is, or waits for its adapter */
	exchange_t *exchange;
	char *last_endpoint; /* asked for or sent to, for the log */
	GPtrArray *tried;    /* fleet_endpoint_t that it does not go to again */
	ms_t ask_due;	     /* when the wait for its holder is given up */
	ask_id_t ask;	     /* at the holder of the engine; 0 for none */
	gboolean is_queued;  /* the holder said that it has to wait */
	gboolean is_missing; /* the engine lacked the adapter */
	guint asks;	     /* holders that were asked */
	guint misses;	     /* engines that lacked the adapter */
	ms_t retry_after;    /* the soonest that a holder said; 0 for none */
	guint sends;	     /* endpoints that it was sent to */
	guint arrivals;	     /* times that it was sent */
	gboolean is_counted; /* among the requests for its service */
	gboolean may_have_run;
	gboolean is_not_run; /* the newest attempt, for certain */
	gboolean is_begun;   /* the caller has the head of an answer */
	const http1_head_t *head;
	response_fields_t answer;
	GByteArray *held;
	GString *event;	  /* a part of an event, of a resumable stream */
	char *last_event; /* that the caller has */
	ms_t asked_at;
	ms_t wait; /* for holders, in all */
	ms_t sent_at;
	ms_t first_byte; /* after its arrival; 0 before */
	ms_t data_at;	 /* when the last part of the answer came */
	ms_t gap;	 /* the longest pause between two parts */
	uv_timer_t timer;
	const char *why;     /* what went wrong last: a constant, or ended */
	char ended[WHY_MAX]; /* why the last exchange ended */
};

/* forward.c: where it goes. */

ms_t forward_now(const forward_t *forward);
/* Choose an endpoint, and ask its holder or send the request. */
void forward_try(forward_t *forward);
/* The timer of what is due next. */
void forward_set_timer(forward_t *forward);
/* Whether an endpoint's failure is worth another attempt. */
gboolean forward_may_be_mended(const forward_t *forward);
/*
 * An attempt has ended without an answer to pass on: go to another endpoint, or
 * to the same one again if that only lacked the adapter.
 */
void forward_again(forward_t *forward, outcome_t outcome, error_kind_t kind);

/* forward_answer.c: what an endpoint answers. */
extern const link_events_t forward_link_events;

/* forward_end.c: how it ends.  Each of these is the last call. */

/* With an answer of this instance. */
void forward_answer(forward_t *forward, int status, ms_t retry_after,
		    const char *text);
/* It has not run and never will. */
void forward_refuse(forward_t *forward, ms_t retry_after);
/* The answer that the caller has in part is cut. */
void forward_break(forward_t *forward);
/* What can't be mended. */
void forward_fail(forward_t *forward);
/* The endpoint's answer went to the caller whole. */
void forward_answered(forward_t *forward);
/* The endpoint, and the question to its holder, are done with. */
void forward_leave_endpoint(forward_t *forward);
/* The caller has left. */
void forward_caller_gone(forward_t *forward);

#endif
