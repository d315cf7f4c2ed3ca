#ifndef FRONT_FRONT_PRIVATE_H
#define FRONT_FRONT_PRIVATE_H

/* Declarations shared by the files that implement front.h. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/adapters.h"
#include "front/caller.h"
#include "front/front.h"
#include "front/link.h"
#include "front/mirror.h"
#include "front/organisation_counts.h"
#include "hold/relay.h"
#include "platform/headers.h"
#include "route/fleet.h"
#include "route/quarantine.h"
#include "route/removals.h"
#include "route/retry_budget.h"
#include "route/route_table.h"

typedef struct forward forward_t;

TAILQ_HEAD(forward_list, forward);

/* Settings of hc-front in addition to the common ones. */
typedef struct {
	char *callers_listen; /* "IP:PORT" */
	char *ready_listen;
	/*
	 * "IP:PORT" that the other instances connect to; "" for the listen
	 * address.
	 */
	char *peer_address;
	int64_t metrics_port;
	int64_t descriptors; /* open file limit that the process may use */
	double grace_s;	     /* from SIGTERM to the end of the process */
	/* Minimum time between the orders of two holders to one engine. */
	double order_gap_ms;
	int64_t lease_ttl_ms;
	/* Shortest TTL that the store grants. */
	double lease_ttl_min_ms;
	/* Time within which a new configuration has to be in force. */
	double config_ms;
	/* Time after which a leaving endpoint must not get new requests. */
	double drain_ms;
	/* Time between two heartbeats of an endpoint at the store. */
	double heartbeat_ms;
	/* How long the store keeps the history of changes. */
	double store_history_s;
	/* Repeats as a share of the requests for a service. */
	char *repeat_share;
	double repeat_window_s;
	double repeat_slack;
	/* Time to load an adapter from the weight store. */
	int64_t adapter_load_ms;
	/* Time to load an adapter that the engine held recently. */
	int64_t adapter_again_ms;
	/*
	 * Loads that the weight store serves at full speed at once, in percent
	 * of the number of engines.
	 */
	int64_t adapter_loads_percent;
	int64_t prefill_per_s; /* prompt tokens an engine processes */
	double link_mbps;      /* bandwidth of the instance's own link */
	double memory_mb;      /* that the process may use */
	int64_t log_lines_max; /* per second, for one event */
	/* What organisations may use beyond their limits in a window. */
	double quota_slack;
} front_settings_t;

struct front {
	process_t *process;
	front_settings_t settings;
	setting_t *table;
	ms_clock_t *clock;
	GRand *rand;
	kv_t *kv;
	mirror_t *mirror;
	fleet_t *fleet;
	route_table_t *routes; /* in force; NULL before the first one */
	GHashTable *versions;  /* adapter to its newest declared version */
	removals_t *removals;
	uv_timer_t removal_timer; /* of the next deferred removal */
	/* Endpoints removed lately: id to departed_t. */
	GHashTable *departed;
	adapters_t *adapters;
	relay_t *relay;
	GArray *updates; /* kv_item_t read since the last poll */
	callers_t *callers;
	links_t *links;
	retry_budget_t *budget;
	quarantine_t *quarantine;
	/* Engines that may have crashed: id to crash_check_t. */
	GHashTable *crash_checks;
	http_server_t *ready;
	http_server_t *metrics;
	uv_timer_t sweeper;
	uv_timer_t stopper;
	ms_t stopped_at; /* 0 before the planned stop */
	ms_t settings_changed_at;
	struct forward_list forwards;
	memory_budget_t *memory; /* that callers make the instance keep */
	/* Adapter to the time when a replica was last requested. */
	GHashTable *replica_requests;
	GHashTable *admissions; /* admission_id_t to the forward_t that waits */
	GHashTable *credits;	/* credit_id_t to the forward_t that waits */
	counter_t *requests;
	counter_t *answered;
	counter_t *refused;
	counter_t *failed;
	counter_t *gone;
	counter_t *unauthorized; /* requests without a valid key */
	organisation_counts_t *organisation_counts;
	counter_t *repeats;
	counter_t *parts_held;
	counter_t *leaving; /* endpoints that said so */
	counter_t *quiet;   /* times that endpoints asked for it */
	counter_t *limited; /* times that an endpoint began to name a limit */
	counter_t *work_shared;	    /* changes of work time passed on */
	counter_t *imbalance;	    /* gauge: of plain endpoints, in percent */
	counter_t *cut_answers;	    /* too large, or with memory short */
	counter_t *refused_answers; /* successes that are not valid */
	histogram_t *first_byte_time;
	histogram_t *load_wait_time;
};

/*
 * front_items.c: applies the items of the key-value service, and shares them
 * with the other instances.
 */

void front_on_item(void *ctx, const kv_item_t *item);
void front_on_synced(void *ctx);
/*
 * Called after each poll, also one without changes: the range of revisions
 * tells the others that they need no poll.
 */
void front_on_polled(void *ctx, int64_t revision, ms_t as_of);
/* Returns the time until the next poll. */
ms_t front_poll_interval(void *ctx);
/*
 * Returns for how long a poll may still be left out because another instance
 * sends the changes.
 */
ms_t front_poll_skip_time(void *ctx, ms_t last);
void front_on_updates(void *ctx, const char *sender,
		      const store_updates_t *updates);
void front_on_instance(void *ctx, const char *instance, gboolean is_alive);
/* The store answers again, this long after its last answer. */
void front_on_store_regained(void *ctx, ms_t absence);
/* The store's history is known, or has changed; see platform/metadata_store.h.
 */
void front_on_history(void *ctx, int64_t history, gboolean is_other);
void front_create_removals(front_t *front);
/* Forgets endpoints that were removed long ago. */
void front_forget_departed(front_t *front, ms_t now);
/* Divides the retry budget among the known instances. */
void front_share_budget(front_t *front);

/*
 * front_parts.c: learns which parts of prompts crash engines, together with the
 * other instances.  The lists of parts are NULL-terminated.
 */

/*
 * The connection of a request with these parts, sent at began_at, has ended
 * early.  If the engine takes no connection either, it has crashed.
 */
void front_note_cut_run(front_t *front, const fleet_endpoint_t *engine,
			char *const *parts, ms_t began_at);
/* A request with these parts was answered in full. */
void front_note_answered_parts(front_t *front, char *const *parts);
/* Returns how long requests with these parts are not sent; 0 if they may be. */
ms_t front_parts_held(const front_t *front, char *const *parts);
void front_on_parts(void *ctx, const parts_message_t *message);
void front_on_peer(void *ctx, const char *instance);

/*
 * front_endpoints.c: what endpoints say about themselves in their answers, and
 * what the other instances have heard.
 */

/* In an answer to a request, order or report sent at sent_at. */
void front_on_notice(void *ctx, fleet_endpoint_t *endpoint,
		     const endpoint_notice_t *notice, ms_t sent_at);
void front_on_endpoint_news(void *ctx, const endpoint_message_t *message);
/* Tells an instance what endpoints have said here. */
void front_tell_endpoint_news(front_t *front, const char *instance);

/*
 * Whether the instance may end within this time, in a planned stop that callers
 * have had time to notice.
 */
gboolean front_may_end_during(const front_t *front, ms_t time);

/* front_memory.c: shares of the memory and of the descriptors. */

/* Connections of callers, and as many to endpoints. */
guint front_connections_max(const front_t *front);
void front_create_memory(front_t *front);

/* forward.c: forwards a request from its caller to an endpoint. */
void forward_begin(front_t *front, call_t *call);
void forward_on_caller_gone(forward_t *forward);
/*
 * Ends all requests, at the end of a planned stop.  Returns whether there were
 * any.
 */
gboolean forward_end_all(front_t *front);
/* The caller has read what was queued for it. */
void forward_on_caller_drained(forward_t *forward);

/* The limit of an organisation in the newest configuration, as a home of it. */
gboolean front_organisation_limit(void *ctx, const char *name,
				  credit_limit_t *limit);
/* The answer to a credit request. */
void forward_on_credit(void *ctx, credit_id_t id,
		       const credit_result_t *result);

/* Replies to an admission request. */
void forward_on_admitted(front_t *front, admission_id_t admission,
			 int64_t version);
void forward_on_queued(front_t *front, admission_id_t admission);
void forward_on_refused(front_t *front, admission_id_t admission,
			refusal_t refusal, ms_t retry_after);

/*
 * An endpoint takes no more requests: sends those that wait for it elsewhere.
 */
void forward_on_endpoint_gone(front_t *front, const char *id);

#endif
