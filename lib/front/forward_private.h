#ifndef FRONT_FORWARD_PRIVATE_H
#define FRONT_FORWARD_PRIVATE_H

/*
 * Declarations shared by the files that forward a request from its caller to an
 * endpoint and the answer back.
 */

#include "front/answer_check.h"
#include "front/event_order.h"
#include "front/front_private.h"
#include "request/retry.h"

#define STATUS_BAD_REQUEST     400
#define STATUS_UNAUTHORIZED    401
#define STATUS_NOT_FOUND       404
#define STATUS_TIMEOUT	       408
#define STATUS_MISDIRECTED     421
#define STATUS_TOO_MANY	       429
#define STATUS_BAD_GATEWAY     502
#define STATUS_UNAVAILABLE     503
#define STATUS_GATEWAY_TIMEOUT 504

/*
 * Retry-After when no endpoint is available.  A lease of 2 s has expired after
 * five retries.
 */
#define RETRY_NO_ENDPOINT_MS 400
/* Retry-After of an instance that stops: another one can serve at once. */
#define RETRY_STOPPING_MS 50
/*
 * Retry-After when an endpoint was full or an adapter had no slot: about the
 * duration of one load.
 */
#define RETRY_FULL_MS 250

/*
 * Size of the buffer for the reason of a failure; the longest one has 90 bytes.
 */
#define REASON_MAX_BYTES 128

/*
 * Engines at which admission is requested before the request is refused.  More
 * than one, as another engine may still have a place when demand is high.
 */
#define ADMISSION_TRIES_MAX 5

/*
 * A holder replies at once, even if it has to queue the request.  Far above the
 * time of a reply between regions, far below a goal.
 */
#define HOLDER_REPLY_TIMEOUT_MS 250

typedef enum {
	FORWARD_CHARGING, /* waits for the credit of its organisation */
	FORWARD_WAITING,  /* for admission */
	FORWARD_SENT,	  /* to an endpoint */
	FORWARD_ENDED
} forward_state_t;

/*
 * What belongs to one attempt at an endpoint; forward_release_endpoint() clears
 * it however the attempt ends, so that nothing of it is left for the next one.
 */
typedef struct {
	exchange_t *exchange; /* NULL before it is sent and once it has ended */
	const http1_head_t *head;
	response_fields_t answer;
	answer_use_t use;    /* of the answer, once its head has come */
	const char *refusal; /* why it is refused, a constant; or NULL */
	/* The caller had received a part of the stream, or names one. */
	gboolean is_resumed;
	gboolean has_event;	/* one was relayed */
	GByteArray *buffered;	/* body of an answer that is no stream */
	GString *partial_event; /* incomplete event of a resumable stream */
	size_t received;	/* bytes of the body */
	size_t kept;		/* those of them that are not relayed yet */
	/* Of a stream: its last bytes end no event. */
	gboolean is_inside_event;
	char tail[2]; /* its last bytes but for carriage returns */
	/* When its newest data arrived; 0 if the caller held up the reading. */
	ms_t data_at;
	ms_t longest_pause; /* between two reads that the caller did not delay
			     */
} attempt_t;

struct forward {
	TAILQ_ENTRY(forward) link;
	front_t *front;
	call_t *call;
	route_table_t *routes;
	const route_t *route;
	/* The organisation that its key belongs to, or NULL; of its routes. */
	const organisation_t *organisation;
	const char *service;
	request_fields_t fields;
	char *model;	     /* NULL unless the service runs engines */
	const char *adapter; /* NULL for the base model */
	char **parts; /* of its prompt; empty unless the service runs engines */
	gboolean is_idempotent;
	gboolean is_stream;
	ms_t deadline_at; /* time when the request times out */
	forward_state_t state;
	credit_id_t credit; /* 0 for none */
	/*
	 * Endpoint that has the request, or whose holder was asked to admit it.
	 */
	fleet_endpoint_t *endpoint;
	attempt_t attempt;
	char *last_endpoint;	  /* for the log */
	GPtrArray *tried;	  /* fleet_endpoint_t not to be chosen again */
	ms_t admission_due;	  /* when the holder's reply is overdue */
	admission_id_t admission; /* 0 for none */
	gboolean is_queued;	  /* by the holder */
	/* The endpoint answered that the adapter is not resident. */
	gboolean is_missing;
	guint admission_tries; /* engines tried */
	/* Endpoints that lacked an adapter presumed resident. */
	guint adapter_misses;
	/* Shortest time named by a refusing holder; 0 for none. */
	ms_t retry_after;
	/*
	 * Attempts that count towards the limit of the route; not those that
	 * ended with no connection or a missing adapter.
	 */
	guint endpoint_attempts;
	/* Times that the request was sent; not those without a connection. */
	guint transmissions;
	/* Whether it is counted as a request in the retry budget. */
	gboolean is_budgeted;
	gboolean may_have_run;
	/* The newest attempt has certainly not run. */
	gboolean is_known_not_run;
	gboolean is_answer_begun; /* the caller was sent a head */
	event_order_t events;	  /* those of the stream sent to the caller */
	ms_t admission_sent_at;
	ms_t admission_wait; /* total time of waiting for admission */
	ms_t sent_at;
	/*
	 * Time from the arrival of the request to the first byte of the answer;
	 * 0 before.
	 */
	ms_t first_byte;
	ms_t last_data_at; /* when the newest data of the answer arrived */
	ms_t longest_gap;  /* between two reads of the answer */
	uv_timer_t timer;
	/* Reason of the newest failure: a constant, or exchange_error. */
	const char *failure_reason;
	/* Why the last exchange with an endpoint failed. */
	char exchange_error[REASON_MAX_BYTES];
};

/* forward.c: choice of the endpoint, admission and retries. */

ms_t forward_now(const forward_t *forward);
/* Chooses an endpoint, and requests admission or sends the request. */
void forward_dispatch(forward_t *forward);
/* Sets the timer to the next deadline of the request. */
void forward_set_timer(forward_t *forward);
/*
 * Returns whether the request may be retried after a failure of its endpoint.
 */
gboolean forward_may_retry(const forward_t *forward);
/*
 * An attempt has ended without an answer to relay: retries at another endpoint,
 * or at the same one if it only lacked the adapter.
 */
void forward_retry(forward_t *forward, outcome_t outcome, error_kind_t kind);

/* Gives the endpoint up and dispatches the request anew. */
void forward_try_other_endpoint(forward_t *forward);
/* Sends the request to its endpoint, unless it ends instead. */
void forward_send(forward_t *forward);
/* Returns the newest declared version of an adapter; 0 for none. */
int64_t forward_declared_version(front_t *front, const char *adapter);

/* forward_admission.c: admission by the holder of the engine. */

/* Whether the prompt would delay the other streams of an engine for long. */
prompt_length_t forward_prompt_length(const forward_t *forward);
/*
 * Returns the time that reading the prompt takes at the usual pace, as a share
 * of the longest of a short prompt; 0 if the route has no limit on pauses.
 */
double forward_prefill_share(const forward_t *forward);
void forward_request_admission(forward_t *forward);

/* forward_organisation.c: the organisation that a request belongs to. */

/*
 * Finds the organisation of a request by its key, *organisation is NULL for
 * none.  Returns FALSE if the route needs a key and the request has no valid
 * one; it has been answered then.
 */
gboolean forward_authenticate(front_t *front, call_t *call,
			      const route_t *route,
			      const organisation_t **organisation);
/* The priority of the organisation, or else of the route. */
int forward_priority(const forward_t *forward);
/* Count a request of an organisation, and its end as one that has not run. */
void forward_count_request(const forward_t *forward);
void forward_count_refusal(const forward_t *forward);

/* forward_credit.c: limits of organisations. */

/*
 * Dispatches the request, after its organisation was charged for it if that has
 * a limit.
 */
void forward_charge(forward_t *forward);
/*
 * The request ends: returns its credit if it has not run.  Must be called
 * before the endpoint is released.
 */
void forward_end_credit(forward_t *forward);

/* forward_answer.c: relays an endpoint's answer. */
extern const link_events_t forward_link_events;

/*
 * forward_end.c: end of a request.  Except for forward_release_endpoint(), each
 * of these functions ends the request; it must not be used afterwards.
 */

/* Sends an answer of this instance. */
void forward_answer(forward_t *forward, int status, ms_t retry_after,
		    const char *text);
/* Refuses a request that has not run and will not run. */
void forward_refuse(forward_t *forward, ms_t retry_after);
/* Cuts off an answer that was sent in part. */
void forward_abort(forward_t *forward);
/* Ends a request that can't be retried, with the status that fits its state. */
void forward_fail(forward_t *forward);
/* The endpoint's answer was relayed completely. */
void forward_complete(forward_t *forward);
/* Ends the attempt, and releases the endpoint and the admission. */
void forward_release_endpoint(forward_t *forward);
/* The caller has disconnected. */
void forward_on_caller_gone(forward_t *forward);

#endif
