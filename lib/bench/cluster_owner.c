/*
 * The owners of the cluster model: orders, grants, news.
 */

#include <stdlib.h>

#include "bench/cluster_state.h"

#define UNLOAD_MS	5
#define TICK_MS		50
#define BLIND_MS	60000
#define FAILED_ONE_IN	10
#define QUEUE_PER_PLACE 4

typedef struct {
	endpoint_t *endpoint;
	int generation;
	int slot;
	int adapter;
} work_t;

static int adapter_index(const char *name)
{
	return atoi(name + 1);
}

static work_t *work_create(endpoint_t *endpoint, int slot, const char *adapter)
{
	work_t *work = g_new0(work_t, 1);

	work->endpoint = endpoint;
	work->generation = endpoint->generation;
	work->slot = slot;
	work->adapter = adapter_index(adapter);
	return work;
}

static void run_broker_event(void *ctx, void *arg)
{
	cluster_run_broker(ctx);
}

static void schedule_broker(cluster_t *cluster, ms_t when)
{
	if (when >= cluster->broker_due)
		return;
	cluster->broker_due = when;
	sim_at(cluster->sim, when, run_broker_event, cluster, NULL);
}

void cluster_run_broker(cluster_t *cluster)
{
	ms_t due;

	cluster->broker_due = MS_NEVER;
	due = broker_tick(cluster->broker, sim_now(cluster->sim));
	if (due != MS_NEVER)
		schedule_broker(cluster, MAX(due, sim_now(cluster->sim) + 1));
}

static gboolean is_brokered(const cluster_t *cluster)
{
	return cluster->policy->granting != GRANT_DIRECT;
}

static void load_done(void *ctx, void *arg)
{
	work_t *work = ctx;
	endpoint_t *endpoint = work->endpoint;
	cluster_t *cluster = endpoint->cluster;
	gboolean ok = TRUE;

	if (cluster->scenario == SCENARIO_FAILURES)
		ok = g_rand_int_range(cluster->luck, 0, FAILED_ONE_IN) > 0;
	broker_load_ended(cluster->broker, sim_now(cluster->sim),
			  endpoint->name, cluster->adapters[work->adapter]);
	if (work->generation == endpoint->generation) {
		if (ok) {
			endpoint->held[work->slot] = work->adapter;
			endpoint->loaded[work->slot] = sim_now(cluster->sim);
			cluster->is_known[work->adapter] = TRUE;
		}
		slots_load_ended(endpoint->slots, sim_now(cluster->sim),
				 work->slot, ok);
	}
	if (is_brokered(cluster))
		schedule_broker(cluster, sim_now(cluster->sim));
	g_free(work);
}

static void unload_done(void *ctx, void *arg)
{
	work_t *work = ctx;
	endpoint_t *endpoint = work->endpoint;

	if (work->generation == endpoint->generation) {
		endpoint->held[work->slot] = -1;
		slots_unload_ended(endpoint->slots,
				   sim_now(endpoint->cluster->sim), work->slot,
				   TRUE);
	}
	g_free(work);
}

static void on_start(void *ctx, uint64_t id, int slot)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	request_t *request = cluster_request(cluster, id);
	const step_t *step = &request->round->steps[request->step];

	g_assert(cluster->profile->adapters == 0 ||
		 endpoint->held[slot] == step->adapter);
	cluster_note_stall(endpoint, request, slot);
	cluster_fleet_started(endpoint, request);
	request->started = TRUE;
	engine_start(endpoint->engine, id, request->round->prefix, step->prompt,
		     step->answer);
}

typedef struct {
	cluster_t *cluster;
	uint64_t id;
	error_kind_t kind;
	ms_t retry_after;
	char endpoint[NAME_SIZE];
} refusal_t;

static void handle_refusal(void *ctx, void *arg)
{
	refusal_t *refusal = ctx;
	cluster_t *cluster = refusal->cluster;
	request_t *request = cluster_request(cluster, refusal->id);
	const step_t *step = &request->round->steps[request->step];
	const char *adapter = cluster->adapters[step->adapter];
	int home = cluster_home_of(cluster, adapter);

	if (refusal->kind != ERROR_OVERLOADED && home >= 0)
		home_load_failed(cluster->instances[home].home,
				 sim_now(cluster->sim), adapter,
				 refusal->endpoint);
	cluster_retry(cluster, request, refusal->retry_after);
	g_free(refusal);
}

static void on_refuse(void *ctx, uint64_t id, error_kind_t kind,
		      ms_t retry_after)
{
	endpoint_t *endpoint = ctx;
	refusal_t *refusal = g_new0(refusal_t, 1);

	refusal->cluster = endpoint->cluster;
	refusal->id = id;
	refusal->kind = kind;
	refusal->retry_after = retry_after;
	g_strlcpy(refusal->endpoint, endpoint->name, NAME_SIZE);
	sim_at(endpoint->cluster->sim, 0, handle_refusal, refusal, NULL);
}

static void on_stop(void *ctx, uint64_t id)
{
	g_assert_not_reached();
}

static void grant_direct(void *ctx, void *arg)
{
	work_t *work = ctx;

	if (work->generation == work->endpoint->generation)
		slots_grant(work->endpoint->slots,
			    sim_now(work->endpoint->cluster->sim),
			    work->endpoint->cluster->adapters[work->adapter]);
	g_free(work);
}

static void on_want(void *ctx, const load_request_t *want)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;

	if (!is_brokered(cluster)) {
		sim_at(cluster->sim, 0, grant_direct,
		       work_create(endpoint, 0, want->adapter), NULL);
		return;
	}
	broker_request_load(cluster->broker, sim_now(cluster->sim),
			    endpoint->name, want);
	schedule_broker(cluster, sim_now(cluster->sim));
}

static void on_withdraw(void *ctx, const char *adapter)
{
	endpoint_t *endpoint = ctx;

	broker_cancel_request(endpoint->cluster->broker, endpoint->name,
			      adapter);
}

static void on_load(void *ctx, int slot, const char *adapter)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;

	if (cluster_is_measured(cluster, sim_now(cluster->sim)))
		cluster->result->loads++;
	endpoint->ordered[slot] = sim_now(cluster->sim);
	store_order(cluster->store, load_done,
		    work_create(endpoint, slot, adapter), NULL);
}

static void on_unload(void *ctx, int slot, const char *adapter)
{
	endpoint_t *endpoint = ctx;
	sim_t *sim = endpoint->cluster->sim;

	cluster_fleet_dropped(endpoint, adapter);
	sim_at(sim, sim_now(sim) + UNLOAD_MS, unload_done,
	       work_create(endpoint, slot, adapter), NULL);
}

static void on_unused(void *ctx, const char *adapter)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;

	broker_return_grant(cluster->broker, sim_now(cluster->sim),
			    endpoint->name, adapter);
}

static void on_placed(void *ctx, const char *adapter, gboolean resident)
{
	endpoint_t *endpoint = ctx;

	endpoint->changed = TRUE;
}

static const slots_actions_t slots_actions = {
	.start = on_start,
	.refuse = on_refuse,
	.stop = on_stop,
	.want_load = on_want,
	.withdraw_load = on_withdraw,
	.order_load = on_load,
	.order_unload = on_unload,
	.grant_unused = on_unused,
	.placed = on_placed,
};

static void on_grant(void *ctx, const char *endpoint, const char *adapter)
{
	cluster_t *cluster = ctx;
	ms_t now = sim_now(cluster->sim);

	if (!slots_grant(cluster->endpoints[atoi(endpoint + 1)].slots, now,
			 adapter))
		broker_return_grant(cluster->broker, now, endpoint, adapter);
}

const broker_actions_t *cluster_broker_actions(void)
{
	static const broker_actions_t actions = {.grant = on_grant};

	return &actions;
}

static gboolean is_waiting(void *ctx)
{
	endpoint_t *endpoint = ctx;
	slots_utilization_t load;

	slots_get_utilization(endpoint->slots, sim_now(endpoint->cluster->sim),
			      &load);
	return load.waiting > 0;
}

static void on_step(void *ctx, int filled, double duration, gboolean waiting)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;
	result_t *result = cluster->result;

	if (!cluster_is_measured(cluster, sim_now(cluster->sim)))
		return;
	result->steps++;
	result->filled += filled;
	result->token_ms[CLAMP((int)duration, 0, RESULT_STEP_MS - 1)] += filled;
	if (!waiting)
		return;
	result->waiting_steps++;
	result->waiting_filled += filled;
}

const engine_actions_t *cluster_engine_actions(void)
{
	static const engine_actions_t actions = {
		.first_token = cluster_first_token,
		.ended = cluster_ended,
		.is_waiting = is_waiting,
		.step = on_step,
	};

	return &actions;
}

void cluster_make_slots(endpoint_t *endpoint)
{
	const cluster_t *cluster = endpoint->cluster;
	const profile_t *profile = cluster->profile;
	slots_config_t config;

	slots_config_init(&config, (int)profile->slots, (int)profile->places);
	config.recency = cluster->policy->recency;
	if (cluster->policy->no_hold || cluster->policy->routing != ROUTE_HOME)
		config.hold_time = 0;
	config.queue_limit = (int)profile->places * QUEUE_PER_PLACE;
	config.adapter_limit = config.queue_limit;
	endpoint->slots =
		slots_create(&config, &slots_actions, endpoint, cluster->rand);
}

void cluster_owner_init(endpoint_t *endpoint)
{
	cluster_make_slots(endpoint);
	endpoint->epoch = 1;
	if (endpoint->cluster->profile->adapters > 0)
		return;
	endpoint->held[0] = 0;
	slots_add_resident(endpoint->slots, 0, 0,
			   endpoint->cluster->adapters[0]);
}

/* The news of an endpoint; the names are freed by the caller. */
static void make_news(endpoint_t *endpoint, placement_update_t *news,
		      const char **names)
{
	const cluster_t *cluster = endpoint->cluster;
	int count = 0;
	int i;

	for (i = 0; i < cluster->profile->slots; i++) {
		const char *name = slots_adapter(endpoint->slots, i);

		if (name && slots_has_resident(endpoint->slots, name))
			names[count++] = name;
	}
	names[count] = NULL;
	*news = (placement_update_t){
		.endpoint = endpoint->name,
		.owner = cluster->instances[endpoint->owner].name,
		.epoch = endpoint->epoch,
		.sequence = endpoint->sequence,
		.snapshot = TRUE,
		.added = names,
		.load = endpoint->seen_load,
	};
}

static gboolean is_blind(const cluster_t *cluster, int instance)
{
	ms_t from = cluster->trace->end / 2;
	ms_t now = sim_now(cluster->sim);

	return cluster->policy->blind && instance == 0 && now >= from &&
	       now < from + BLIND_MS;
}

void cluster_publish(endpoint_t *endpoint)
{
	cluster_t *cluster = endpoint->cluster;
	const char **names = g_new0(const char *, cluster->profile->slots + 1);
	placement_update_t news;
	ms_t now = sim_now(cluster->sim);
	int i;

	if (now - endpoint->seen_at >= cluster->policy->load_lag) {
		slots_get_utilization(endpoint->slots, now,
				      &endpoint->seen_load);
		endpoint->seen_at = now;
	}
	endpoint->sequence++;
	make_news(endpoint, &news, names);
	for (i = 0; i < cluster->profile->instances; i++) {
		placement_t *table = cluster->instances[i].table;
		placement_update_t delta = news;

		if (is_blind(cluster, i))
			continue;
		delta.snapshot = endpoint->changed;
		delta.added = endpoint->changed ? names : NULL;
		if (placement_apply(table, now, &delta) == PLACEMENT_GAP)
			placement_apply(table, now, &news);
	}
	endpoint->changed = FALSE;
	g_free(names);
}

static void publish_event(void *ctx, void *arg)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;

	if (cluster->instances[endpoint->owner].is_alive)
		cluster_publish(ctx);
	sim_at(cluster->sim, sim_now(cluster->sim) + cluster->policy->news,
	       publish_event, ctx, arg);
}

static void tick_event(void *ctx, void *arg)
{
	endpoint_t *endpoint = ctx;
	cluster_t *cluster = endpoint->cluster;

	if (cluster->instances[endpoint->owner].is_alive)
		slots_tick(endpoint->slots, sim_now(cluster->sim));
	sim_at(cluster->sim, sim_now(cluster->sim) + TICK_MS, tick_event, ctx,
	       arg);
}

void cluster_publish_start(cluster_t *cluster)
{
	int64_t count = cluster->profile->endpoints;
	int i;

	for (i = 0; i < count; i++) {
		endpoint_t *endpoint = &cluster->endpoints[i];
		ms_t offset = cluster->policy->news * i / count;

		cluster_publish(endpoint);
		sim_at(cluster->sim, offset + 1, publish_event, endpoint, NULL);
		sim_at(cluster->sim, TICK_MS, tick_event, endpoint, NULL);
	}
}
