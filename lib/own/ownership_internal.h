#ifndef OWN_OWNERSHIP_INTERNAL_H
#define OWN_OWNERSHIP_INTERNAL_H

/*
 * State shared by the source files of ownership: assignment of endpoints
 * (ownership_members.c), taking and releasing (ownership.c), writing the record
 * (ownership_write.c), fencing, quarantine and holds after a take
 * (ownership_hold.c), and detecting that the predecessor has stopped
 * (ownership_predecessor.c).
 */

#include <sys/queue.h>

#include "own/ownership.h"

/*
 * Callbacks of the key-value service only store the answer and set the phase;
 * the next tick, which is passed the time, acts on it.
 */
typedef enum {
	PHASE_IDLE,
	PHASE_READING, /* reading the endpoint record */
	PHASE_READ,
	PHASE_CHECKING, /* checking whether its owner's lease exists */
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
	WRITE_READING, /* reading back after a write with unknown result */
	WRITE_READ
} own_write_t;

typedef struct {
	gboolean is_quarantined;
	ms_t quarantine_until; /* ends with the first report after this time */
	int64_t sequence; /* of the write with the intent; 0: not written */
	char *settled_adapter; /* adapter before the intent, or NULL */
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
	gboolean is_listed;    /* in the configuration document */
	gboolean is_preferred; /* assigned to this instance */
	ms_t preference_changed_at;
	/* Take the record if it has no live owner, even if not preferred. */
	gboolean is_reclaim_pending;

	own_phase_t phase;
	int open_calls;		 /* outstanding calls made while owned */
	kv_status_t status;	 /* of the last completed call */
	endpoint_record_t *seen; /* as last read; NULL if absent or malformed */
	gboolean is_malformed;	 /* the record exists but can't be parsed */
	int64_t seen_revision;
	gboolean is_owner_alive;
	ms_t next_at;
	ms_t poll_interval;

	/* The members below are set from the take on. */
	endpoint_record_t *record; /* desired contents */
	int64_t revision;	   /* of the record in the service */
	int64_t epoch_max; /* highest epoch owned so far; kept on loss */
	own_slot_t *slots; /* record->slot_count elements */

	own_write_t write_state;
	int64_t confirmed_sequence; /* highest known to be written */
	gboolean is_dirty;
	ms_t flush_at;
	ms_t write_retry_at;

	ms_t taken_at;
	gboolean is_fenced;
	ms_t fence_sent_at;
	ms_t probed_at;	       /* send time of the last accepted fence order */
	ms_t hold_until;       /* MS_NEVER until the fence is accepted */
	ms_t hold;	       /* duration, from the take or the fence */
	GHashTable *inherited; /* names of held adapters */
	int64_t predecessor_lease; /* 0 if released or all idle */
	ms_t predecessor_hold;
	char *predecessor_owner;
	char *predecessor_place;
	gboolean is_predecessor_read_open;
	gboolean is_predecessor_check_done; /* no further check needed */
	gboolean is_predecessor_stopped;
	ms_t predecessor_check_at;
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

/* The endpoint with this identifier, or NULL if it is not owned. */
own_endpoint_t *own_find_owned(const ownership_t *own, const char *id);

/* TRUE if the lease under which the endpoint was taken is still valid. */
gboolean own_is_lease_valid(const own_endpoint_t *endpoint, ms_t now);

/*
 * TRUE if, in addition, the engine has accepted the fence or does not check
 * fencing.
 */
gboolean own_may_send_orders(const own_endpoint_t *endpoint, ms_t now);

/* Requests a call of ownership_tick(). */
void own_wake(own_endpoint_t *endpoint);

/* Ends ownership locally, without writing the record. */
void own_lose(own_endpoint_t *endpoint, ms_t now);

/* Stores the result of a read of the endpoint record. */
void own_store_read_record(own_endpoint_t *endpoint, kv_status_t status,
			   const kv_item_t *items, size_t count);

/* ownership_members.c */
void own_clear_members(ownership_t *own);

/* ownership_write.c */

/* Initializes the write state of an endpoint that was just taken. */
void own_write_begin(own_endpoint_t *endpoint);

/* Handles the answer to a write, and writes the record if a write is due. */
void own_write_tick(own_endpoint_t *endpoint, ms_t now);

/* Schedules a write of the record at flush_at or earlier. */
void own_mark_dirty(own_endpoint_t *endpoint, ms_t flush_at);

/* Calls the intent's callback; resets the slot if it is not recorded. */
void own_end_intent(own_endpoint_t *endpoint, guint slot, gboolean is_recorded);
/* Ends all intents that wait for a write, as not recorded. */
void own_fail_intents(own_endpoint_t *endpoint);
/* Writes the record if its revision in the service is the expected one. */
void own_write_value(own_endpoint_t *endpoint, int64_t expected,
		     const endpoint_record_t *record, kv_write_done_t done);

/* ownership_hold.c */

/* Starts the quarantine of slots and the hold on adapters after a take. */
void own_hold_begin(own_endpoint_t *endpoint, ms_t now);
void own_hold_end(own_endpoint_t *endpoint);

/*
 * Sends a fence order after a take until one is accepted, and probes while the
 * lease is about to expire or has expired.
 */
void own_fence_tick(own_endpoint_t *endpoint, ms_t now);

/* The names of the held adapters; free with g_strfreev(). */
char **own_held_adapters(const own_endpoint_t *endpoint);

/* The remaining time of the hold; 0 if no adapter is held. */
ms_t own_hold_remaining(const own_endpoint_t *endpoint, ms_t now);

/* The duration of the hold for an instance that takes the record now. */
ms_t own_hold_length(const own_endpoint_t *endpoint,
		     const endpoint_record_t *seen);

/* ownership_predecessor.c */

/* Stores the previous owner, from the record as last read. */
void own_predecessor_begin(own_endpoint_t *endpoint);
void own_predecessor_end(own_endpoint_t *endpoint);
/* Shortens the hold if the previous owner is proved to have stopped. */
void own_predecessor_tick(own_endpoint_t *endpoint, ms_t now);

/*
 * Returns the "place" of an instance record, or NULL if the text is not a JSON
 * object; free with g_free().
 */
char *own_parse_place(const char *text, size_t size);

#endif
