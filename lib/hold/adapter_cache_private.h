#ifndef HOLD_ADAPTER_CACHE_PRIVATE_H
#define HOLD_ADAPTER_CACHE_PRIVATE_H

/* Declarations shared by the files that implement adapter_cache.h. */

#include <sys/queue.h>

#include "hold/adapter_cache.h"

typedef enum {
	STATE_ABSENT,
	STATE_LOADING, /* load accepted, not yet usable */
	STATE_RESIDENT,
	STATE_UNLOADING
} state_t;

typedef struct entry {
	TAILQ_ENTRY(entry) link;
	char *adapter;
	state_t state;
	int64_t version;	   /* resident version */
	int64_t requested_version; /* the oldest acceptable version */
	gboolean is_requested;
	ms_t requested_since;
	int uses;	   /* requests in progress that use the adapter */
	ms_t in_use_since; /* since when there is one */
	ms_t used_at;
	int64_t loading_version;
	ms_t ready_at;	       /* expected completion of a load */
	gboolean is_contended; /* the load is assumed to share the store */
	gboolean is_presumed;  /* resident, not yet confirmed by a report */
	ms_t presumed_at;
} entry_t;

TAILQ_HEAD(entry_list, entry);

struct adapter_cache {
	cache_actions_t actions;
	void *ctx;
	cache_options_t options;
	GHashTable *table; /* adapter to entry_t */
	GQueue *recent;	   /* names of adapters loaded before, newest first */
	struct entry_list entries;
	/*
	 * Estimated contention by loads of the other engines: 0 if they load
	 * nothing, 1 if each loads as much as this one.
	 */
	double contention;
	double mean_use_time; /* of an adapter without a break, in ms */
	gboolean has_report;  /* a report was handled */
	gboolean has_model;
	gboolean is_busy;
	int64_t sequence; /* orders that the engine has accepted */
	ms_t accepted_at; /* time of the last accepted order */
	gboolean is_order_open;
	gboolean is_outcome_unknown; /* of the last order */
	gboolean is_unanswered; /* an attempt at the last order got no answer */
	cache_order_kind_t order_kind;
	entry_t *order_entry; /* NULL for a base model */
	/*
	 * Sequence number of an unanswered load that the engine may execute
	 * when its own number reaches this one; 0 for none.
	 */
	int64_t delayed_load_sequence;
	gboolean is_report_open;
	gboolean is_report_due; /* the known state may be wrong */
	ms_t next_report_at;
	ms_t next_order_at;
};

/* Returns the entry of an adapter, and creates it if necessary. */
entry_t *cache_entry_get(adapter_cache_t *cache, const char *adapter);
/*
 * Frees the entry of an absent adapter that is neither requested nor in use nor
 * the subject of the last order.
 */
void cache_entry_free_if_unused(adapter_cache_t *cache, entry_t *entry);
/* Whether the adapter is resident in an acceptable version. */
gboolean cache_is_usable(const entry_t *entry);
/* Returns the node of an adapter that can be reloaded fast, or NULL. */
GList *cache_find_recent(const adapter_cache_t *cache, const char *adapter);
/* The factor by which concurrent loads of this engine slow each other down. */
double cache_slowdown(const adapter_cache_t *cache, int loading);
void cache_remember_recent(adapter_cache_t *cache, const char *adapter);
void cache_entry_set_resident(adapter_cache_t *cache, ms_t now, entry_t *entry,
			      int64_t version);
void cache_entry_set_absent(adapter_cache_t *cache, entry_t *entry);
/* Returns the adapter of an unload order to the resident state. */
void cache_cancel_unload(adapter_cache_t *cache);
/* Adjust the contention or the load time after an early or a late load. */
void cache_note_early_load(adapter_cache_t *cache, const entry_t *entry);
void cache_note_late_load(adapter_cache_t *cache, const entry_t *entry);
/* Ends the last order, which can have no further effect. */
void cache_settle_order(adapter_cache_t *cache);

#endif
