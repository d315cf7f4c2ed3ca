#ifndef SCHED_SLOTS_STATE_H
#define SCHED_SLOTS_STATE_H

/*
 * The state behind slots.h, shared by its three source files and nobody else.
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
	int slot;      /* that holds it or will, or SLOT_NONE */
	int in_flight; /* started and not known to have ended */
	int waiting;
	int pins;
	gboolean foreign; /* may serve requests of an earlier owner */
	ms_t demoted;	  /* worth nothing until then */
	ms_t used;	  /* when a request last came or ended */
	int failures;	  /* of loads, in a row */
	ms_t retry_at;	  /* no load is asked for before */
	ms_t expected;	  /* a request is expected until then */
	gboolean wanted;
	gboolean changed;    /* the waiting requests, since the want was sent */
	load_request_t sent; /* the want that the broker has */
	ms_t wanted_at;
} slots_adapter_t;

typedef struct {
	slot_state_t state;
	gboolean quarantined;
	slots_adapter_t *adapter; /* resident, loading or unloading */
	slots_adapter_t *next;	  /* granted; loads after the unload */
	ms_t since;		  /* of the state */
} slot_t;

typedef enum { REQUEST_QUEUED, REQUEST_RUNNING, REQUEST_UNCERTAIN } run_state_t;

typedef struct slots_entry {
	TAILQ_ENTRY(slots_entry) link; /* in the queue */
	uint64_t id;
	slots_adapter_t *adapter;
	int priority;
	ms_t arrival;
	ms_t latest; /* refused when not started by then */
	ms_t started;
	run_state_t state;
} slots_entry_t;

TAILQ_HEAD(slots_queue, slots_entry);

/* A moving average of durations that goes back to its first estimate. */
typedef struct {
	double first; /* milliseconds */
	double average;
	ms_t sampled;
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
	double next_return; /* when the next refused caller is to come back */
	gboolean leaving;
	gboolean busy; /* an event is being handled */
};

/* slots.c */
slots_adapter_t *slots_adapter_get(slots_t *slots, const char *name);
void slots_adapter_release(slots_t *slots, ms_t now, slots_adapter_t *adapter);
void slots_refuse(slots_t *slots, slots_entry_t *entry, error_kind_t kind,
		  ms_t retry_after);
void slots_refuse_adapter(slots_t *slots, slots_adapter_t *adapter,
			  error_kind_t kind, ms_t retry_after);
void slots_pump(slots_t *slots, ms_t now);

/* slots_get_utilization.c */
gboolean slots_is_usable(const slots_t *slots, const slots_adapter_t *adapter);
gboolean slots_is_evictable(const slots_t *slots, ms_t now, const slot_t *slot);
double slots_value(const slots_t *slots, ms_t now,
		   const slots_adapter_t *adapter);
int slots_obtainable(const slots_t *slots, ms_t now);
ms_t slots_hold_due(const slots_t *slots, ms_t now);
void slots_update_wants(slots_t *slots, ms_t now);
void slots_drop_want(slots_t *slots, slots_adapter_t *adapter);

/* slots_estimate.c */
void slots_average_init(slots_average_t *average, ms_t first);
void slots_average_add(slots_average_t *average, ms_t now, ms_t sample);
double slots_average_get(const slots_average_t *average, ms_t now);
ms_t slots_start_estimate(const slots_t *slots, ms_t now,
			  const slots_adapter_t *adapter, int priority);
ms_t slots_retry_after(slots_t *slots, ms_t now, const slots_adapter_t *adapter,
		       ms_t estimate);

#endif
