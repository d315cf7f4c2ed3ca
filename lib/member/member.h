#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

/*
 * Membership between instances: who is there, who is leaving, who failed.
 *
 * Each period an instance probes one other in shuffled order.  One that stays
 * silent is probed through a few others; if that is silent too, it is suspected
 * for a while and then held failed.  An instance that hears of its suspicion
 * refutes it with a higher incarnation.  Changes are pushed to a few peers at
 * once and carried on later probes; old facts are repeated in turn, and more of
 * them to a peer whose digest of the living instances differs, so that views
 * converge whatever was lost.  Failed instances are probed at a low rate,
 * so that a healed partition is found from inside.
 *
 * The bytes sent are bounded whatever the size of the fleet: a probe and its
 * answer are always sent, and updates only as far as the rate allows.
 *
 * The platform's list of instances lags.  It introduces instances and marks
 * them as leaving; whether one is alive is decided by what peers see.
 *
 * Does no I/O.  The owner calls member_tick() at the time member_due() names,
 * and member_receive() for each message.  Callbacks may call the getters, but
 * nothing that changes the membership.
 */

#include <glib.h>

#include "base/clock.h"
#include "member/member_message.h"

typedef struct member member_t;

/* What is known of an instance; valid until the next change. */
typedef struct {
	const char *name;
	const member_place_t *place; /* NULL while only the name is known */
	int64_t incarnation;
	member_state_t state; /* a flapping one that is back: SUSPECT */
	gboolean is_leaving;  /* also while suspect or failed */
	gboolean is_self;
	int64_t generation; /* in force there when last heard from; 0: unknown
			     */
	ms_t heard_at;	    /* of the last message from it; 0 for never */
} member_info_t;

typedef struct {
	/* Send, or drop if that can't be done soon; place is the target's. */
	void (*send)(void *ctx, const char *to, const member_place_t *place,
		     const member_message_t *message);
	/* The state, place or is_leaving of an instance changed. */
	void (*on_change)(void *ctx, const member_info_t *info);
	/* An endpoint began to leave, or is back. */
	void (*on_endpoint)(void *ctx, const char *endpoint,
			    gboolean is_leaving);
	/* A peer has a newer document in force than this instance. */
	void (*on_generation)(void *ctx, const char *peer, int64_t generation);
	/* The platform or a peer says that this instance is to leave. */
	void (*on_told_to_leave)(void *ctx);
} member_events_t;

typedef struct {
	const char *name;
	const member_place_t *place;
	int64_t incarnation; /* larger than that of any earlier process of
				this name: the wall clock in seconds */
	uint32_t seed;
	ms_t period;	      /* between probes; 0 for the default */
	int bytes_per_second; /* sent; 0 for the default */
} member_options_t;

/* Defaults of the options. */
#define MEMBER_PERIOD		1000 /* milliseconds */
#define MEMBER_BYTES_PER_SECOND 1000 /* a second */

/* Bytes around each encoded message: frame head, TLS record, TCP and IP. */
#define MEMBER_MESSAGE_OVERHEAD 66

/* Options and place are copied; events and ctx are kept. */
member_t *member_create(const member_options_t *options,
			const member_events_t *events, void *ctx, ms_t now);
void member_destroy(member_t *member);

/* The time by which member_tick() is wanted next. */
ms_t member_due(const member_t *member);
void member_tick(member_t *member, ms_t now);
void member_receive(member_t *member, const member_message_t *message,
		    ms_t now);

/*
 * What the platform's list, the settings or a record in the key-value service
 * says of an instance.  place may lack ports other than owner_port, and may be
 * NULL.  The list may be as old as MEMBER_LIST_LAG_MAX.
 */
void member_apply_listing(member_t *member, const char *name,
			  const member_place_t *place, gboolean is_leaving,
			  ms_t now);

/* What the platform's list says of an endpoint that is in it. */
void member_apply_endpoint_listing(member_t *member, const char *endpoint,
				   gboolean is_leaving, ms_t now);

/* How old the platform's list may be, in milliseconds. */
#define MEMBER_LIST_LAG_MAX 60000

/* The document in force here; offered to peers if it is newer than before. */
void member_set_generation(member_t *member, int64_t generation, ms_t now);

/* Begin the planned stop: this instance takes no new work. */
void member_leave(member_t *member, ms_t now);
/* The planned stop is done; nothing is probed any more. */
void member_end_leave(member_t *member, ms_t now);

/* FALSE if the name is unknown. */
gboolean member_find(const member_t *member, const char *name,
		     member_info_t *info);
/* All known instances with this one among them, ordered by name. */
void member_foreach(const member_t *member,
		    void (*visit)(void *ctx, const member_info_t *info),
		    void *ctx);
gboolean member_endpoint_is_leaving(const member_t *member,
				    const char *endpoint);

typedef struct {
	int alive; /* this instance, leaving and suspect ones counted */
	int failed;
	int64_t messages_sent;
	int64_t bytes_sent; /* with MEMBER_MESSAGE_OVERHEAD for each message */
} member_stats_t;

void member_stats(const member_t *member, member_stats_t *stats);

/*
 * The longest time, in milliseconds, from a change until all instances that can
 * reach each other know it, in a fleet of a size.  Tests hold it.
 */
ms_t member_convergence_bound(int members, ms_t period);

#endif
