#ifndef OWN_OWNERSHIP_INTERNAL_H
#define OWN_OWNERSHIP_INTERNAL_H

/*
 * State shared by the parts of ownership: which endpoints this instance should
 * have (ownership_members.c), taking and releasing (ownership.c), writing the
 * record (ownership_write.c), what a successor has to wait for
 * (ownership_hold.c), and whether its predecessor has stopped
 * (ownership_predecessor_lease.c).
 */

#include <sys/queue.h>

#include "own/ownership.h"

/*
 * Answers of the key-value service are only noted by callbacks; what follows
 * from them is done by the next tick, which has the time.
 */
typedef enum {
	PHASE_IDLE,
	PHASE_READING, /* the record */
	PHASE_READ,
	PHASE_CHECKING, /* the lease of its owner */
	PHASE_CHECKED,
	PHASE_TAKING,
	PHASE_TAKE_ANSWERED,
	PHASE_OWNED,
	PHASE_RELEASING
} own_phase_t;

typedef enum {
	WRITE_NONE,
	WRITE_OPEN,
	WRITE_ANSWERED,
	WRITE_READING, /* back, to resolve an unknown end */
	WRITE_READ
} own_write_t;

typedef struct {
	gboolean is_quarantined;
	ms_t quarantine_until; /* and a report from after that time */
	int64_t sequence;      /* write that has the intent; 0 for none yet */
	char *settled;	       /* adapter before the intent, or NULL */
	ownership_intent_done_t done;
	void *done_ctx;
} own_slot_t;

typedef struct own_endpoint {
	TAILQ_ENTRY(own_endpoint) link;
	ownership_t *own;
	char *id;
	char *key;
	char *failure_domain;
	guint slot_count;
	gboolean checks_fencing;
	gboolean is_listed; /* in the document */
	gboolean is_wanted; /* this instance is preferred */
	ms_t unwanted_since;
	gboolean is_orphan_watched;

	own_phase_t phase;
	int open_calls;		 /* to write or read back the record */
	kv_status_t status;	 /* of the call that ended last */
	endpoint_record_t *seen; /* as read; NULL if absent */
	gboolean is_malformed;	 /* there is a record that can't be read */
	int64_t seen_revision;
	gboolean is_owner_alive;
	ms_t next_at;
	ms_t poll;

	/* From here on for an owned endpoint. */
	endpoint_record_t *record; /* as it should be */
	int64_t revision;	   /* of the record in the service */
	int64_t epoch_max;	   /* highest epoch ever seen */
	own_slot_t *slots;	   /* as many as the record has */

	own_write_t write;
	int64_t landed; /* highest sequence known to be written */
	gboolean is_dirty;
	ms_t flush_at;
	ms_t write_retry_at;

	ms_t taken_at;
	gboolean is_fenced;
	ms_t fence_sent_at;
	ms_t probed_at;	 /* when the last accepted fence was sent */
	ms_t hold_until; /* MS_NEVER before the fence */
	ms_t hold;	 /* its length, from the take or the fence */
	GHashTable *inherited;
	int64_t predecessor;
	ms_t predecessor_hold;
	char *predecessor_owner;
	char *predecessor_place;
	gboolean is_looking;
	gboolean is_look_done; /* another look would show nothing new */
	gboolean is_predecessor_stopped;
	ms_t look_at;
} own_endpoint_t;

TAILQ_HEAD(own_endpoint_list, own_endpoint);

struct ownership {
	kv_t *kv;
	lease_t *lease;
	ownership_options_t options;
	char *place;
	ownership_actions_t actions;
	void *ctx;
	struct own_endpoint_list endpoints;
	GHashTable *by_id;
	GPtrArray *members; /* own_member_t */
	gboolean is_stopping;
};

typedef struct {
	char *name;
	char *failure_domain;
} own_member_t;

/* NULL if the endpoint is not owned. */
own_endpoint_t *own_owned(const ownership_t *own, const char *id);

/* The lease that the endpoint hangs on is this instance's and is valid. */
gboolean own_is_certain(const own_endpoint_t *endpoint, ms_t now);

/* And the engine, if it checks, was fenced. */
gboolean own_may_act(const own_endpoint_t *endpoint, ms_t now);

void own_wake(own_endpoint_t *endpoint);

/* Give the endpoint up without a call. */
void own_lose(own_endpoint_t *endpoint, ms_t now);

/* Note the record as read from the service. */
void own_note_seen(own_endpoint_t *endpoint, kv_status_t status,
		   const kv_item_t *items, size_t count);

/* ownership_members.c */
void own_clear_members(ownership_t *own);

/* ownership_write.c */
void own_write_begin(own_endpoint_t *endpoint);
void own_write_tick(own_endpoint_t *endpoint, ms_t now);
void own_mark_dirty(own_endpoint_t *endpoint, ms_t flush_at);
void own_end_intent(own_endpoint_t *endpoint, guint slot, gboolean is_recorded);
void own_fail_intents(own_endpoint_t *endpoint);
void own_write_value(own_endpoint_t *endpoint, int64_t expected,
		     const endpoint_record_t *record, kv_write_done_t done);

/* ownership_hold.c */
void own_hold_begin(own_endpoint_t *endpoint, ms_t now);
void own_hold_end(own_endpoint_t *endpoint);
void own_fence_tick(own_endpoint_t *endpoint, ms_t now);
char **own_held(const own_endpoint_t *endpoint);
ms_t own_hold_left(const own_endpoint_t *endpoint, ms_t now);
ms_t own_hold_length(const own_endpoint_t *endpoint,
		     const endpoint_record_t *seen);

/* ownership_predecessor_lease.c */
void own_predecessor_begin(own_endpoint_t *endpoint);
void own_predecessor_end(own_endpoint_t *endpoint);
void own_predecessor_tick(own_endpoint_t *endpoint, ms_t now);

/* The place in an instance's record, or NULL; free with g_free(). */
char *own_place_of(const char *text, size_t size);

#endif
