#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

/*
 * Gossip membership: which instances are alive, leaving or failed.
 *
 * In each period an instance pings one peer, in shuffled order.  A peer that
 * does not answer is probed through a few other peers.  If none of these probes
 * succeeds either, the peer becomes suspect and, after a timeout, failed.  An
 * instance that receives a suspicion of itself refutes it with a higher
 * incarnation.
 *
 * Changes are pushed to a few peers at once and piggybacked on later probes.
 * Each message also repeats some unchanged records in turn, and more of them to
 * a peer whose digest of the alive instances differs, so that views converge
 * despite lost messages.  Failed instances are probed at a low rate, so that a
 * healed partition is detected without outside help.
 *
 * The rate of bytes sent does not grow with the fleet: probes and acks are
 * always sent, updates only as far as the byte rate allows.
 *
 * The platform's list of instances lags.  It introduces instances and marks
 * them as leaving; whether an instance is alive is decided by probes alone.
 *
 * Does no I/O.  The owner calls member_tick() at the time returned by
 * member_due(), and member_receive() for each message.  Callbacks may call the
 * getters, but nothing that changes the membership.
 */

#include <glib.h>

#include "base/clock.h"
#include "member/member_message.h"

typedef struct member member_t;

/* The local view of an instance; valid until the next change. */
typedef struct {
	const char *name;
	const member_place_t *place; /* NULL while only the name is known */
	int64_t incarnation;
	member_state_t state; /* SUSPECT also while flapping is damped */
	gboolean is_leaving;  /* kept while the instance is suspect or failed */
	gboolean is_self;
	int64_t generation; /* of its document, as last received; 0: unknown */
	ms_t heard_at;	    /* time of its last message; 0 for never */
} member_info_t;

typedef struct {
	/* Send a message to the receiver's place, or drop it if it can't be
	 * sent soon. */
	void (*send)(void *ctx, const char *to, const member_place_t *place,
		     const member_message_t *message);
	/* The state, place or is_leaving of an instance changed. */
	void (*on_change)(void *ctx, const member_info_t *info);
	/* An endpoint began to leave, or returned to service. */
	void (*on_endpoint)(void *ctx, const char *endpoint,
			    gboolean is_leaving);
	/* A peer runs a newer document than this instance. */
	void (*on_generation)(void *ctx, const char *peer, int64_t generation);
	/* The platform's list or a peer marks this instance as leaving. */
	void (*on_told_to_leave)(void *ctx);
} member_events_t;

typedef struct {
	const char *name;
	const member_place_t *place;
	int64_t incarnation; /* wall clock in seconds, so that it exceeds that
				of any earlier process of this name */
	uint32_t seed;
	ms_t period;	      /* between probes; 0 for the default */
	int bytes_per_second; /* sent; 0 for the default */
} member_options_t;

/* Defaults of member_options_t. */
#define MEMBER_PERIOD		1000 /* milliseconds */
#define MEMBER_BYTES_PER_SECOND 1000 /* a second */

/* Bytes of frame header, TLS record, TCP and IP around an encoded message. */
#define MEMBER_MESSAGE_OVERHEAD 66

/* Options and place are copied; events and ctx are kept. */
member_t *member_create(const member_options_t *options,
			const member_events_t *events, void *ctx, ms_t now);
void member_destroy(member_t *member);

/* The time at which member_tick() must be called next. */
ms_t member_due(const member_t *member);
void member_tick(member_t *member, ms_t now);
void member_receive(member_t *member, const member_message_t *message,
		    ms_t now);

/*
 * Add or update an instance from the platform's list, the settings or a record
 * in the key-value service.  place may be NULL, and ports other than owner_port
 * may be missing.  The source may be up to MEMBER_LIST_LAG_MAX old.
 */
void member_apply_listing(member_t *member, const char *name,
			  const member_place_t *place, gboolean is_leaving,
			  ms_t now);

/* Update an endpoint from the platform's list. */
void member_apply_endpoint_listing(member_t *member, const char *endpoint,
				   gboolean is_leaving, ms_t now);

/* Maximum age of the platform's list, in milliseconds. */
#define MEMBER_LIST_LAG_MAX 60000

/* Set the generation of the local document, and push it if it is new. */
void member_set_generation(member_t *member, int64_t generation, ms_t now);

/* Begin a planned stop: peers route no new work to this instance. */
void member_leave(member_t *member, ms_t now);
/* End a planned stop: announce LEFT and stop probing. */
void member_end_leave(member_t *member, ms_t now);

/* FALSE if the name is unknown. */
gboolean member_find(const member_t *member, const char *name,
		     member_info_t *info);
/* Visit all known instances, including this one, ordered by name. */
void member_foreach(const member_t *member,
		    void (*visit)(void *ctx, const member_info_t *info),
		    void *ctx);
gboolean member_endpoint_is_leaving(const member_t *member,
				    const char *endpoint);

typedef struct {
	int alive; /* includes this instance, leaving and suspect ones */
	int failed;
	int64_t messages_sent;
	int64_t bytes_sent; /* includes MEMBER_MESSAGE_OVERHEAD per message */
} member_stats_t;

void member_stats(const member_t *member, member_stats_t *stats);

/*
 * Upper bound, in milliseconds, on the time from a change until every reachable
 * instance of a fleet of the given size knows it.  Tests assert this bound.
 */
ms_t member_convergence_bound(int members, ms_t period);

#endif
