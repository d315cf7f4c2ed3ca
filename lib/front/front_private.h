#ifndef FRONT_FRONT_PRIVATE_H
#define FRONT_FRONT_PRIVATE_H

/* The parts of front.h that its files share. */

#include <sys/queue.h>

#include "base/counter.h"
#include "front/adapters.h"
#include "front/caller.h"
#include "front/front.h"
#include "front/link.h"
#include "front/mirror.h"
#include "hold/relay.h"
#include "platform/headers.h"
#include "route/fleet.h"
#include "route/retry_budget.h"
#include "route/route_table.h"

typedef struct forward forward_t;

TAILQ_HEAD(forward_list, forward);

/* Settings of hc-front beside the common ones. */
typedef struct {
	char *callers_listen; /* "IP:PORT" */
	char *ready_listen;
	char *peer_address; /* "IP:PORT" by which others reach this one, or ""
			     */
	int64_t metrics_port;
	int64_t descriptors;  /* that this process may open */
	int64_t grace_s;      /* from SIGTERM to the end */
	int64_t order_gap_ms; /* between orders of two holders */
	int64_t lease_ttl_ms;
	int64_t lease_ttl_min_ms; /* that the store grants */
	int64_t config_ms;	  /* until a configuration has to be in force */
	int64_t drain_ms;   /* until a leaving endpoint gets no new work */
	char *repeat_share; /* of the requests for a service */
	int64_t repeat_window_s;
	int64_t repeat_slack;
	int64_t adapter_load_ms;       /* from the store of weights */
	int64_t adapter_again_ms;      /* when the engine held it recently */
	int64_t adapter_loads_percent; /* at full speed, of the engines */
	int64_t prefill_per_s;	       /* prompt tokens that an engine reads */
	int64_t log_lines_max;	       /* of one event in a second */
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
	route_table_t *routes; /* in force; NULL before the first */
	GHashTable *versions;  /* adapter to the version declared last */
	GHashTable *removals;  /* endpoints to be dropped: id to time */
	ms_t store_back_at;    /* when the store was regained last */
	adapters_t *adapters;
	relay_t *relay;
	GArray *news; /* kv_item_t taken since the last poll */
	callers_t *callers;
	links_t *links;
	retry_budget_t *budget;
	http_server_t *ready;
	http_server_t *metrics;
	uv_timer_t sweeper;
	uv_timer_t stopper;
	ms_t stopped_at; /* 0 until the planned stop */
	ms_t settings_changed_at;
	struct forward_list forwards;
	GHashTable *wants; /* "engine adapter" to the time of the last want */
	GHashTable *asks;  /* ask_id_t to the forward_t that waits */
	counter_t *requests;
	counter_t *answered;
	counter_t *refused;
	counter_t *failed;
	counter_t *gone;
	counter_t *repeats;
	histogram_t *first_byte_time;
	histogram_t *load_wait_time;
};

/* front_items.c: what the key-value service says, and who is told of it. */

void front_on_item(void *ctx, const kv_item_t *item);
void front_on_synced(void *ctx);
/* After each poll, also one without news: the others then need none. */
void front_on_polled(void *ctx, int64_t revision);
/* Whether a poll may be left out, since others tell the news. */
gboolean front_may_skip(void *ctx, ms_t last);
void front_on_news(void *ctx, const news_t *news);
void front_on_instance(void *ctx, const char *instance, gboolean is_alive);
void front_on_contact(void *ctx, gboolean is_lost);
/* Endpoints that lapsed while the store was away and did not come back. */
void front_drop_lapsed(front_t *front, ms_t now);
/* Divide the repeats among the instances that are known. */
void front_share_budget(front_t *front);

/* forward.c: one request from its caller to an endpoint and back. */
void forward_begin(front_t *front, call_t *call);
void forward_caller_gone(forward_t *forward);

/* What became of a question to the holder of an engine. */
void forward_go(front_t *front, ask_id_t ask, int64_t version);
void forward_wait(front_t *front, ask_id_t ask);
void forward_refused(front_t *front, ask_id_t ask, refusal_t refusal,
		     ms_t retry_after);

/* An endpoint takes no more requests: what waits for it goes elsewhere. */
void forward_endpoint_gone(front_t *front, const char *id);

#endif
