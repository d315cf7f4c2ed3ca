#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"

/* Retry-After when an adapter had no slot: longer than a load. */
#define ADAPTER_RETRY_MS 400

static ms_t now_of(const adapters_t *adapters)
{
	return ms_clock_now(process_clock(adapters->process));
}

/* held_engine_advance() handles the admissions that wait for an adapter. */
static void on_ready(void *ctx, const char *adapter, int64_t version)
{
}

static void on_unloaded(void *ctx, const char *adapter)
{
	held_engine_t *held = ctx;
	holder_reply_t reply = {.type = MESSAGE_UNLOADED,
				.engine = held->id,
				.adapter = adapter};
	GPtrArray *users = g_hash_table_lookup(held->users, adapter);
	guint i;

	for (i = 0; users && i < users->len; i++)
		adapters_reply(held->adapters, users->pdata[i], &reply);
	g_hash_table_remove(held->users, adapter);
}

static void on_refused(void *ctx, const char *adapter)
{
	held_engine_t *held = ctx;
	held_admission_t *admission;

	TAILQ_FOREACH (admission, &held->admissions, link) {
		if (!admission->ticket &&
		    !g_strcmp0(admission->adapter, adapter))
			admission->is_refused = TRUE;
	}
}

static const cache_actions_t cache_actions = {
	.send_order = held_engine_send_order,
	.ask_report = held_engine_ask_report,
	.ready = on_ready,
	.dropped = on_unloaded,
	.refused = on_refused,
};

static void add_adapter_user(held_engine_t *held,
			     const held_admission_t *admission)
{
	GPtrArray *users = g_hash_table_lookup(held->users, admission->adapter);

	if (!users) {
		users = g_ptr_array_new();
		g_hash_table_insert(held->users, g_strdup(admission->adapter),
				    users);
	}
	if (!g_ptr_array_find(users, admission->requester, NULL))
		g_ptr_array_add(users, admission->requester);
}

static void on_admitted(void *ctx, ticket_t *ticket)
{
	held_engine_t *held = ctx;
	held_admission_t *admission = ticket_data(ticket);
	ms_t now = now_of(held->adapters);
	holder_reply_t reply = {
		.type = MESSAGE_ADMITTED,
		.admission = admission->id,
		.running = admission_queue_running(held->admission_queue),
		.waiting = admission_queue_waiting(held->admission_queue),
		.work_percent = engine_pace_stated(&held->pace, now)};

	if (admission->adapter) {
		reply.version =
			adapter_cache_version(held->cache, admission->adapter);
		add_adapter_user(held, admission);
	}
	held_engine_count_admitted(held, admission, now);
	adapters_reply(held->adapters, admission->requester, &reply);
}

static const admission_queue_actions_t admission_queue_actions = {on_admitted};

/* Whether other admissions wait for the same adapter. */
static gboolean is_adapter_awaited(const held_engine_t *held,
				   const held_admission_t *admission)
{
	const held_admission_t *other;

	TAILQ_FOREACH (other, &held->admissions, link) {
		if (other != admission && !other->ticket &&
		    !g_strcmp0(other->adapter, admission->adapter))
			return TRUE;
	}
	return FALSE;
}

/*
 * Nobody can say whether the request has run: the requester or the engine is
 * gone.
 */
#define MAY_HAVE_RUN TRUE

static void admission_free(held_engine_t *held, held_admission_t *admission,
			   ms_t now, gboolean has_run)
{
	TAILQ_REMOVE(&held->admissions, admission, link);
	if (admission->ticket) {
		admission_queue_done(held->admission_queue, now,
				     admission->ticket, has_run);
		if (admission->adapter)
			adapter_cache_release(held->cache, now,
					      admission->adapter);
	} else if (held->cache && admission->adapter &&
		   !is_adapter_awaited(held, admission)) {
		adapter_cache_cancel(held->cache, admission->adapter);
	}
	g_free(admission->adapter);
	g_free(admission->flow);
	g_free(admission);
}

static void admission_refuse(held_engine_t *held, held_admission_t *admission,
			     ms_t now, refusal_t refusal, ms_t retry_after)
{
	holder_reply_t reply = {.type = MESSAGE_REFUSED,
				.admission = admission->id,
				.retry_after = retry_after,
				.refusal = refusal};

	if (held->admission_queue) {
		reply.running = admission_queue_running(held->admission_queue);
		reply.waiting = admission_queue_waiting(held->admission_queue);
		reply.work_percent = engine_pace_stated(&held->pace, now);
	}

	counter_add(held->adapters->refused, 1);
	held_engine_count_refused(held, admission);
	adapters_reply(held->adapters, admission->requester, &reply);
	admission_free(held, admission, now, MAY_HAVE_RUN);
}

/* Returns FALSE if the admission queue refused it. */
static gboolean admission_submit(held_engine_t *held,
				 held_admission_t *admission, ms_t now)
{
	ms_t wait;

	admission->ticket =
		admission_queue_submit(held->admission_queue, now,
				       &admission->request, admission, &wait);
	histogram_add(held->adapters->predicted_wait, wait);
	admission->submitted_at = now;
	if (!admission->ticket) {
		admission_refuse(held, admission, now, REFUSAL_NO_PLACE, wait);
		return FALSE;
	}
	if (admission->adapter)
		adapter_cache_use(held->cache, now, admission->adapter);
	return TRUE;
}

static gboolean may_order(const held_engine_t *held, ms_t now)
{
	const adapters_t *adapters = held->adapters;

	return !adapters->is_stopping &&
	       fleet_endpoint_standing(held->endpoint, now) == STANDING_OPEN &&
	       engine_locks_may_order(adapters->engine_locks, now,
				      lease_valid_until(adapters->lease),
				      held->id);
}

void held_engine_advance(held_engine_t *held, ms_t now)
{
	held_admission_t *admission;
	held_admission_t *next;

	for (admission = TAILQ_FIRST(&held->admissions); admission;
	     admission = next) {
		next = TAILQ_NEXT(admission, link);
		if (admission->ticket)
			continue;
		if (held->is_down)
			admission_refuse(held, admission, now,
					 REFUSAL_UNREACHABLE, 0);
		else if (admission->is_refused)
			admission_refuse(held, admission, now,
					 may_order(held, now)
						 ? REFUSAL_NO_SLOT
						 : REFUSAL_ORDERS_FORBIDDEN,
					 ADAPTER_RETRY_MS);
		else if (now - admission->since > admission->load_max)
			admission_refuse(held, admission, now,
					 REFUSAL_LOAD_QUEUE_FULL,
					 ADAPTER_RETRY_MS);
		else if (adapter_cache_version(held->cache, admission->adapter))
			admission_submit(held, admission, now);
	}
	admission_queue_tick(held->admission_queue, now);
}

static void reset_engine(held_engine_t *held)
{
	ms_t now = now_of(held->adapters);
	held_admission_t *admission;

	held_engine_cancel_calls(held);
	held->is_down = FALSE;
	held->next_call_at = 0;
	while ((admission = TAILQ_FIRST(&held->admissions))) {
		if (!admission->ticket || ticket_is_waiting(admission->ticket))
			admission_refuse(held, admission, now, REFUSAL_NOT_HELD,
					 0);
		else
			admission_free(held, admission, now, MAY_HAVE_RUN);
	}
	if (held->endpoint)
		fleet_endpoint_set_holder(held->adapters->fleet, held->endpoint,
					  now, FALSE);
	g_clear_pointer(&held->cache, adapter_cache_destroy);
	g_clear_pointer(&held->admission_queue, admission_queue_destroy);
	g_clear_pointer(&held->endpoint, fleet_endpoint_unref);
	g_hash_table_remove_all(held->users);
}

static void engine_options(const held_engine_t *held,
			   const fleet_endpoint_t *endpoint,
			   cache_options_t *cache,
			   admission_queue_options_t *admission_queue)
{
	const adapters_t *adapters = held->adapters;
	const service_t *service =
		adapters->events.service(adapters->ctx, endpoint);

	cache->slot_count = service ? service->adapter_slots : 0;
	cache->loads_per_engine = adapters->options.loads_per_engine;
	cache->load_time = adapters->options.load_time;
	cache->again_time = adapters->options.again_time;
	admission_queue->places = fleet_endpoint_places(endpoint);
	admission_queue->prefill_per_ms = adapters->options.prefill_per_ms;
	admission_queue->prompt_max = service ? service->tokens_max : 0;
}

/* A cache describes one incarnation: a new one starts without adapters. */
static void sync_incarnation(held_engine_t *held)
{
	fleet_endpoint_t *listed = fleet_find(held->adapters->fleet, held->id);
	cache_options_t cache;
	admission_queue_options_t admission_queue;

	if (held->endpoint && held->endpoint != listed)
		reset_engine(held);
	if (!listed)
		return;
	engine_options(held, listed, &cache, &admission_queue);
	if (held->cache) {
		adapter_cache_set_options(held->cache, &cache);
		admission_queue_set_options(held->admission_queue,
					    &admission_queue);
		return;
	}
	held->endpoint = fleet_endpoint_ref(listed);
	fleet_endpoint_set_holder(held->adapters->fleet, listed,
				  now_of(held->adapters), TRUE);
	patience_init(&held->patience, now_of(held->adapters));
	engine_pace_init(&held->pace);
	held->logged_pace = ENGINE_PACE_USUAL_PERCENT;
	held->has_stated_pace = FALSE;
	held->cache = adapter_cache_create(&cache, &cache_actions, held);
	held->admission_queue = admission_queue_create(
		&admission_queue, &admission_queue_actions, held);
}

void held_engine_tick(held_engine_t *held, ms_t now)
{
	sync_incarnation(held);
	if (!held->cache)
		return;
	held_engine_apply_pace(held, now);
	adapter_cache_delay_report(held->cache,
				   held_engine_next_report(held, now));
	if (now >= held->next_call_at)
		adapter_cache_tick(held->cache, now, may_order(held, now));
	held_engine_advance(held, now);
}

void held_engine_begin(adapters_t *adapters, const char *engine)
{
	held_engine_t *held = g_new0(held_engine_t, 1);

	held->adapters = adapters;
	held->id = g_strdup(engine);
	held->users = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	TAILQ_INIT(&held->admissions);
	g_hash_table_insert(adapters->held, held->id, held);
	log_info("engine held", "endpoint", engine, NULL);
}

void held_engine_destroy(gpointer data)
{
	held_engine_t *held = data;

	reset_engine(held);
	g_hash_table_destroy(held->users);
	g_free(held->id);
	g_free(held);
}

void held_engine_end(adapters_t *adapters, const char *engine)
{
	log_info("engine no longer held", "endpoint", engine, NULL);
	g_hash_table_remove(adapters->held, engine);
}

void held_engine_prefetch(held_engine_t *held, const char *adapter,
			  int64_t version)
{
	adapters_t *adapters = held->adapters;
	int64_t declared = adapters->events.declared(adapters->ctx, adapter);
	int64_t resident;

	sync_incarnation(held);
	if (held->cache)
		adapter_cache_request(held->cache, now_of(adapters), adapter,
				      MAX(version, declared), &resident);
}

/*
 * Sets how long the admission may wait for its adapter.  Refuses it and returns
 * FALSE if it would have to wait for longer.
 */
static gboolean admission_may_wait(held_engine_t *held,
				   held_admission_t *admission,
				   const admission_t *request, ms_t now)
{
	const char *adapter = admission->adapter;
	ms_t slot_wait = adapter_cache_estimate_slot_wait(held->cache, adapter);
	ms_t load_time = adapter_cache_load_time(held->cache, adapter);
	ms_t wait = slot_wait +
		    adapter_cache_estimate_load_wait(held->cache, adapter);
	ms_t limit = patience_limit(&held->patience, now, wait - load_time,
				    request->load_goal, request->load_max);

	if (slot_wait > request->request.wait_max) {
		admission_refuse(held, admission, now, REFUSAL_NO_SLOT,
				 slot_wait);
		return FALSE;
	}
	/* A load that takes longer than the goal is awaited all the same. */
	admission->load_max = MIN(MAX(limit, load_time), request->load_max);
	if (wait <= admission->load_max)
		return TRUE;
	admission_refuse(held, admission, now, REFUSAL_LOAD_QUEUE_FULL, wait);
	return FALSE;
}

void held_engine_admit(held_engine_t *held, conn_t *requester,
		       admission_id_t id, const admission_t *request)
{
	adapters_t *adapters = held->adapters;
	ms_t now = now_of(adapters);
	held_admission_t *admission = g_new0(held_admission_t, 1);
	holder_reply_t reply = {.type = MESSAGE_QUEUED, .admission = id};

	sync_incarnation(held);
	admission->requester = requester;
	admission->id = id;
	admission->since = now;
	admission->adapter = g_strdup(request->adapter);
	admission->request = request->request;
	admission->flow = g_strdup(request->request.flow);
	admission->request.flow =
		admission->flow ? admission->flow : admission->adapter;
	admission->load_max = request->load_max;
	TAILQ_INSERT_TAIL(&held->admissions, admission, link);
	if (!held->cache || held->is_down) {
		admission_refuse(held, admission, now, REFUSAL_UNREACHABLE, 0);
		return;
	}
	if (admission->adapter) {
		if (request->is_missing)
			adapter_cache_note_missing(held->cache, now,
						   admission->adapter);
		held_engine_prefetch(held, admission->adapter,
				     request->version);
	}
	if (admission->adapter && !may_order(held, now) &&
	    !adapter_cache_version(held->cache, admission->adapter)) {
		admission_refuse(held, admission, now, REFUSAL_ORDERS_FORBIDDEN,
				 0);
		return;
	}
	if (admission->adapter &&
	    !adapter_cache_version(held->cache, admission->adapter) &&
	    !admission_may_wait(held, admission, request, now))
		return;
	if (!admission->adapter ||
	    adapter_cache_version(held->cache, admission->adapter)) {
		if (!admission_submit(held, admission, now))
			return;
		admission_queue_tick(held->admission_queue, now);
	}
	if (!admission->ticket || ticket_is_waiting(admission->ticket))
		adapters_reply(adapters, requester, &reply);
}

void held_engine_release(held_engine_t *held, conn_t *requester,
			 admission_id_t id, const admission_end_t *end)
{
	ms_t now = now_of(held->adapters);
	held_admission_t *admission;

	TAILQ_FOREACH (admission, &held->admissions, link) {
		if (admission->requester != requester || admission->id != id)
			continue;
		admission_free(held, admission, now, end->has_run);
		if (held->endpoint)
			held_engine_note_pause(held, end->pause_percent);
		/* This instance's own answers were noted as they began. */
		if (requester)
			held_engine_note_work(held, end->work_percent);
		return;
	}
}

void held_engine_drop_requester(held_engine_t *held, conn_t *requester)
{
	ms_t now = now_of(held->adapters);
	GHashTableIter iter;
	gpointer users;
	held_admission_t *admission;
	held_admission_t *next;

	for (admission = TAILQ_FIRST(&held->admissions); admission;
	     admission = next) {
		next = TAILQ_NEXT(admission, link);
		if (admission->requester == requester)
			admission_free(held, admission, now, MAY_HAVE_RUN);
	}
	g_hash_table_iter_init(&iter, held->users);
	while (g_hash_table_iter_next(&iter, NULL, &users))
		g_ptr_array_remove_fast(users, requester);
}
