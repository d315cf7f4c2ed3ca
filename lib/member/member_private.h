#ifndef MEMBER_MEMBER_PRIVATE_H
#define MEMBER_MEMBER_PRIVATE_H

/*
 * State shared by the source files of the membership:
 *
 *  - member.c: creation, destruction, and the owner's calls and getters;
 *  - member_table.c: records of instances and endpoints, merging of updates;
 *  - member_send.c: composing and sending messages within the byte rate;
 *  - member_probe.c: probes, suspicion and received messages.
 */

#include <sys/queue.h>

#include "member/member.h"

/*
 * Queue entry for a record that is to be gossiped.  It is the first member of
 * record_t and endpoint_t, and is cast to these by its kind.
 */
typedef struct rumor {
	TAILQ_ENTRY(rumor) link;
	int sends_left; /* remaining transmissions; 0: not queued */
	member_kind_t kind;
	gboolean has_place; /* include the place */
} rumor_t;

typedef TAILQ_HEAD(rumor_list, rumor) rumor_list_t;

/* An instance.  state is never LEAVING; is_leaving is set instead. */
typedef struct {
	rumor_t rumor;
	char *name;
	member_place_t *place;
	int64_t incarnation;
	member_state_t state;
	gboolean is_leaving;
	int64_t generation;
	ms_t heard_at;	     /* 0 for never */
	ms_t state_at;	     /* time of the last change of state */
	ms_t incarnation_at; /* time of the last change of incarnation */
	ms_t listed_at;	     /* last seen in the platform's list; 0 for never */
	gboolean digest_differs; /* from ours, in its last message */
	gboolean has_our_place;	 /* has acked a ping, which carried our place */
	double flaps; /* recoveries from failure, decayed to flaps_at */
	ms_t flaps_at;
	gboolean is_damped;
	gboolean is_notified;
	member_state_t notified_state;
	gboolean notified_leaving;
} record_t;

/* An endpoint that is leaving, or recently returned to service. */
typedef struct {
	rumor_t rumor;
	char *name;
	int64_t revision;
	gboolean is_leaving;
	ms_t changed_at;
} endpoint_t;

/* A probe made on behalf of another instance. */
typedef struct {
	char *origin;
	int64_t origin_sequence;
	int64_t sequence;
	ms_t expires;
} relay_t;

struct member {
	const member_events_t *events;
	void *ctx;
	GRand *rand;
	ms_t period;
	int bytes_per_second;
	ms_t created_at;
	int64_t created_incarnation;

	record_t *self;
	GHashTable *records;   /* of record_t by name */
	GPtrArray *order;      /* of record_t, ordered by name */
	GHashTable *endpoints; /* of endpoint_t by name */
	GPtrArray *endpoint_order;
	rumor_list_t rumors;
	guint rumor_count;
	uint32_t digest; /* of alive instances; valid unless is_digest_stale */
	gboolean is_digest_stale;
	guint next_record; /* index in order of the next record to repeat */
	guint next_endpoint;
	gboolean is_leave_reported;

	GPtrArray *probe_order; /* names left to probe in this round */
	int64_t sequence;
	char *probe_target; /* NULL if no probe is in flight */
	int64_t probe_sequence;
	ms_t indirect_probe_at;
	ms_t probe_timeout_at;
	int health_score; /* 0 is healthy; grows with missed acks and
				scales the timeouts */
	GQueue relays;	  /* of relay_t, oldest first */

	ms_t period_at;		 /* start of the next period */
	ms_t push_at;		 /* MS_NEVER if no push is pending */
	gboolean is_push_urgent; /* push even above the byte rate */
	ms_t retry_at;		 /* next probe of a failed instance */
	ms_t table_served_at;
	char *table_cursor; /* first name of the next page to request; NULL when
			       done */

	double tokens; /* token bucket, in bytes */
	ms_t tokens_at;
	int64_t messages_sent;
	int64_t bytes_sent;
};

/* member_table.c */

record_t *member_record(const member_t *member, const char *name);
record_t *member_record_add(member_t *member, const char *name, ms_t now);
void member_table_release(member_t *member);
/* Queue a rumor for transmission and schedule a push. */
void member_gossip(member_t *member, rumor_t *rumor, gboolean has_place,
		   ms_t now);
/* Subtract from the remaining transmissions of a rumor. */
void member_rumor_sent(member_t *member, rumor_t *rumor, int times);
void member_set_state(member_t *member, record_t *record, member_state_t state,
		      ms_t now);
void member_set_place(member_t *member, record_t *record,
		      const member_place_t *place, ms_t now);
void member_notify(member_t *member, record_t *record);
void member_apply(member_t *member, const record_t *sender,
		  const member_update_t *update, ms_t now);
/* Raise our incarnation above a received one, and gossip it. */
void member_refute(member_t *member, int64_t incarnation, ms_t now);
void member_endpoint_set(member_t *member, const char *name, int64_t revision,
			 gboolean is_leaving, ms_t now);
/* A hash of the alive instances; equal views have equal digests. */
uint32_t member_digest(member_t *member);
/* Expire suspicions, flap damping and old records; run once per period. */
void member_sweep(member_t *member, ms_t now);
member_update_t *member_update_from_rumor(const rumor_t *rumor,
					  gboolean has_place);
/* The number of instances that are alive or suspect. */
int member_count_live(const member_t *member);
member_state_t member_visible_state(const record_t *record);
/* The time that a suspect has to refute before it counts as failed. */
ms_t member_suspicion_timeout(int members, ms_t period);

/* member_send.c */

/* Instances per MEMBER_TABLE message. */
#define MEMBER_TABLE_PAGE 12

void member_send_init(member_t *member, ms_t now);
/*
 * Send a message with as many updates as fit.  Sends nothing if the place of
 * the receiver is unknown.
 */
void member_send(member_t *member, const record_t *to, member_type_t type,
		 int64_t sequence, const char *target, ms_t now);
/* Schedule a push of queued rumors to a few peers, or run it now. */
void member_push(member_t *member, ms_t now);
void member_push_now(member_t *member, ms_t now);
void member_send_gossip(member_t *member, ms_t now);
void member_serve_table(member_t *member, const member_message_t *message,
			const record_t *sender, ms_t now);
/* Whether it can be probed: not this instance, alive or suspect, with a place.
 */
gboolean member_is_peer(const member_t *member, const record_t *record);
/* Choose up to count random peers except other; returns the number chosen. */
int member_choose_peers(member_t *member, const record_t *other, int count,
			record_t **chosen);

/* member_probe.c */

void member_probe_init(member_t *member, ms_t now);
void member_probe_release(member_t *member);

#endif
