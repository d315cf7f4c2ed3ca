#ifndef SCHED_SLOTS_STATE_H
#define SCHED_SLOTS_STATE_H

/*
 * Private declarations of slots.c, slots_load.c and slots_estimate.c.
 */

#include <sys/queue.h>

#include "sched/popularity.h"
#include "sched/slots.h"

#define SLOT_NONE (-1)

typedef enum {
	SLOT_EMPTY,
	SLOT_LOADING,
	SLOT_READY,
	SLOT_UNLOADING
} slot_state_t;

typedef struct {
	char *name;
	int slot;      /* current or assigned slot, or SLOT_NONE */
	int in_flight; /* running and uncertain requests */
	int waiting;
	int pins;
	gboolean predecessor_busy; /* may serve requests of a previous owner */
	ms_t demoted_until;	   /* retention value is 0 until then */
	ms_t last_used;		   /* last arrival or end of a request */
	int failures;		   /* consecutive failed loads */
	ms_t retry_at;		   /* no load is requested before */
	ms_t expected_until; /* end of the demand of slots_expect_request() */
	gboolean requested;  /* the broker has a load request */
	gboolean request_outdated; /* the queue changed since last_request */
	load_request_t last_request;
	ms_t requested_at;
} slots_adapter_t;

typedef struct {
	slot_state_t state;
	gboolean quarantined;
	slots_adapter_t *adapter;      /* resident, loading or unloading */
	slots_adapter_t *next_adapter; /* to be loaded after the unload */
	ms_t state_since;
} slot_t;

typedef enum { REQUEST_QUEUED, REQUEST_RUNNING, REQUEST_UNCERTAIN } run_state_t;

typedef struct slots_entry {
	TAILQ_ENTRY(slots_entry) link; /* in the queue */
	uint64_t id;
	slots_adapter_t *adapter;
	int priority;
	ms_t arrival;
	ms_t start_by; /* refused if not started by then */
	ms_t started;
	run_state_t state;
} slots_entry_t;

TAILQ_HEAD(slots_queue, slots_entry);

/* A moving average of durations that decays to its initial estimate. */
typedef struct {
	double initial; /* milliseconds */
	double average;
	ms_t sampled_at;
} slots_average_t;

struct slots {
	slots_config_t config;
	slots_actions_t actions;
	void *ctx;
	GRand *rand;
	slot_t *slots;
	GHashTable *adapters;	  /* name to slots_adapter_t */
	GHashTable *requests;	  /* id to slots_entry_t */
	struct slots_queue queue; /* by priority, then arrival */
	int waiting;
	int in_flight;
	popularity_t *recent;
	popularity_t *popularity;
	slots_average_t load_time;
	slots_average_t grant_interval;
	slots_average_t service_time;
	ms_t last_grant;
	double next_retry; /* retry time of the last refusal, see
			      stagger_retry() */
	gboolean leaving;
	gboolean in_event; /* guards against reentrant calls from callbacks */
};

/* slots.c */
slots_adapter_t *slots_adapter_get(slots_t *slots, const char *name);
void slots_adapter_release(slots_t *slots, ms_t now, slots_adapter_t *adapter);
void slots_refuse(slots_t *slots, slots_entry_t *entry, error_kind_t kind,
		  ms_t retry_after);
void slots_refuse_adapter(slots_t *slots, slots_adapter_t *adapter,
			  error_kind_t kind, ms_t retry_after);
void slots_schedule(slots_t *slots, ms_t now);

/* slots_load.c */
gboolean slots_is_usable(const slots_t *slots, const slots_adapter_t *adapter);
gboolean slots_is_evictable(const slots_t *slots, ms_t now, const slot_t *slot);
double slots_retention_value(const slots_t *slots, ms_t now,
			     const slots_adapter_t *adapter);
int slots_count_available(const slots_t *slots, ms_t now);
ms_t slots_next_hold_end(const slots_t *slots, ms_t now);
void slots_update_load_requests(slots_t *slots, ms_t now);
void slots_cancel_load_request(slots_t *slots, slots_adapter_t *adapter);

/* slots_estimate.c */
void slots_average_init(slots_average_t *average, ms_t first);
void slots_average_add(slots_average_t *average, ms_t now, ms_t sample);
double slots_average_get(const slots_average_t *average, ms_t now);
ms_t slots_start_estimate(const slots_t *slots, ms_t now,
			  const slots_adapter_t *adapter, int priority);
ms_t slots_retry_after(slots_t *slots, ms_t now, const slots_adapter_t *adapter,
		       ms_t estimate);

#endif
