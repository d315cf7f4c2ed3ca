#ifndef HOLD_ADAPTER_CACHE_PRIVATE_H
#define HOLD_ADAPTER_CACHE_PRIVATE_H

/* The parts of adapter_cache.h that its files share. */

#include <sys/queue.h>

#include "hold/adapter_cache.h"

typedef enum {
	STATE_ABSENT,
	STATE_LOADING, /* ordered, and not yet seen to be usable */
	STATE_RESIDENT,
	STATE_UNLOADING
} state_t;

typedef struct entry {
	TAILQ_ENTRY(entry) link;
	char *adapter;
	state_t state;
	int64_t version; /* that is resident */
	int64_t wanted;	 /* the oldest version that will do */
	gboolean is_wanted;
	ms_t wanted_since;
	int uses; /* requests that use it */
	ms_t used_at;
	int64_t loading;      /* the version that a load fetches */
	ms_t ready_at;	      /* of a load: when it is presumed to be done */
	gboolean is_crowded;  /* the load is taken to share the store */
	gboolean is_presumed; /* resident, and not yet seen in a report */
	ms_t presumed_at;
} entry_t;

TAILQ_HEAD(entry_list, entry);

struct adapter_cache {
	cache_actions_t actions;
	void *ctx;
	cache_options_t options;
	GHashTable *table; /* adapter to entry_t */
	GQueue *at_hand;   /* names that the engine held, the newest first */
	struct entry_list entries;
	/* Of the other engines: 0 if they load nothing, 1 as much as this. */
	double crowding;
	gboolean is_known; /* a report was read */
	gboolean has_model;
	gboolean is_busy;
	int64_t sequence; /* orders that the engine has accepted */
	ms_t accepted_at; /* when the last of them was */
	gboolean is_order_open;
	gboolean is_in_doubt;	/* the last order may yet be carried out */
	gboolean is_unanswered; /* it, or the same one before it, got no answer
				 */
	cache_order_kind_t order_kind;
	entry_t *ordered; /* NULL for a base model */
	/* A load that may be carried out once its number is reached; 0: none.
	 */
	int64_t late_sequence;
	gboolean is_report_open;
	gboolean is_look_due; /* what is known is in doubt */
	ms_t report_at;
	ms_t order_at; /* no order before */
};

/* The entry of an adapter, made at its first use. */
entry_t *cache_entry_get(adapter_cache_t *cache, const char *adapter);
/* Forget an absent adapter that nobody wants or uses and no order names. */
void cache_entry_release(adapter_cache_t *cache, entry_t *entry);
/* Resident, in a version that will do. */
gboolean cache_is_usable(const entry_t *entry);
void cache_remember_at_hand(adapter_cache_t *cache, const char *adapter);
void cache_entry_is_ready(adapter_cache_t *cache, ms_t now, entry_t *entry,
			  int64_t version);
void cache_entry_is_gone(adapter_cache_t *cache, entry_t *entry);
/* What was to be unloaded stays. */
void cache_unload_is_void(adapter_cache_t *cache);
/* A load that was taken to share the store was done early, or was late. */
void cache_load_was_early(adapter_cache_t *cache, const entry_t *entry);
void cache_load_was_late(adapter_cache_t *cache, const entry_t *entry);
/* The last order can have no further effect. */
void cache_order_is_settled(adapter_cache_t *cache);

#endif
