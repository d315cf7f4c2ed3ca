#include "owner/endpoint.h"

#include "owner/endpoint_private.h"

ms_t endpoint_now(const endpoint_t *endpoint)
{
	return ms_clock_now(endpoint->env->clock);
}

/* Actions of the slots. */

/* The run is stopped after this callback has returned: see endpoint_cancel. */
static void stop_run(void *ctx, uint64_t id)
{
}

static void want_load(void *ctx, const load_request_t *want)
{
	endpoint_t *endpoint = ctx;

	endpoint->actions->want(endpoint->ctx, endpoint, want);
}

static void withdraw_load(void *ctx, const char *adapter)
{
	endpoint_t *endpoint = ctx;

	endpoint->actions->withdraw(endpoint->ctx, endpoint, adapter);
}

static void order_load(void *ctx, int slot, const char *adapter)
{
	endpoint_begin_order(ctx, slot, adapter, TRUE);
}

static void order_unload(void *ctx, int slot, const char *adapter)
{
	endpoint_begin_order(ctx, slot, adapter, FALSE);
}

static void grant_unused(void *ctx, const char *adapter)
{
	endpoint_t *endpoint = ctx;

	endpoint->actions->load_ended(endpoint->ctx, endpoint, adapter, TRUE);
}

static void placed(void *ctx, const char *adapter, gboolean resident)
{
	endpoint_t *endpoint = ctx;

	if (endpoint->is_engine)
		endpoint->actions->placed(endpoint->ctx, endpoint, adapter,
					  resident);
}

void endpoint_tick(endpoint_t *endpoint)
{
	ms_t now = endpoint_now(endpoint);

	endpoint_early_tick(endpoint);
	endpoint_order_tick(endpoint);
	slots_tick(endpoint->slots, now);
	endpoint_drop_old_runs(endpoint, now);
	endpoint_report_tick(endpoint, now);
}

/* Construction. */

static slots_t *create_slots(endpoint_t *endpoint,
			     const endpoint_options_t *options)
{
	static const slots_actions_t actions = {
		.start = endpoint_start_run,
		.refuse = endpoint_refuse_run,
		.stop = stop_run,
		.want_load = want_load,
		.withdraw_load = withdraw_load,
		.order_load = order_load,
		.order_unload = order_unload,
		.grant_unused = grant_unused,
		.placed = placed,
	};
	slots_config_t config;

	slots_config_init(&config, endpoint->slot_count, options->concurrency);
	return slots_create(&config, &actions, endpoint, endpoint->env->rand);
}

endpoint_t *endpoint_create(const endpoint_env_t *env,
			    const endpoint_options_t *options,
			    const endpoint_actions_t *actions, void *ctx)
{
	endpoint_t *endpoint = g_new0(endpoint_t, 1);
	link_options_t link = {options->address, options->port,
			       options->is_engine, options->order_token};
	int i;

	endpoint->env = env;
	endpoint->actions = actions;
	endpoint->ctx = ctx;
	endpoint->id = g_strdup(options->id);
	endpoint->service = g_strdup(options->service);
	endpoint->is_engine = options->is_engine;
	endpoint->epoch = options->epoch;
	endpoint->slot_count = options->is_engine ? options->slots : 1;
	endpoint->orders = g_new0(slot_order_t, endpoint->slot_count);
	for (i = 0; i < endpoint->slot_count; i++) {
		endpoint->orders[i].endpoint = endpoint;
		endpoint->orders[i].slot = i;
	}
	g_queue_init(&endpoint->early);
	endpoint->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	endpoint->by_request = g_hash_table_new(g_str_hash, g_str_equal);
	endpoint->uncertain = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, endpoint_uncertain_free);
	endpoint->link = link_create(env->client, &link);
	endpoint->slots = create_slots(endpoint, options);
	if (!options->is_engine) {
		slots_add_resident(endpoint->slots, endpoint_now(endpoint), 0,
				   SERVICE_ADAPTER);
		slots_clear_predecessor_busy(endpoint->slots,
					     endpoint_now(endpoint), 0);
	}
	return endpoint;
}

void endpoint_destroy(endpoint_t *endpoint)
{
	int i;

	link_destroy(endpoint->link);
	endpoint_refuse_early(endpoint, "the endpoint has another owner now; "
					"ask again");
	endpoint_fail_runs(endpoint);
	slots_destroy(endpoint->slots);
	for (i = 0; i < endpoint->slot_count; i++)
		g_free(endpoint->orders[i].adapter);
	g_free(endpoint->orders);
	g_hash_table_destroy(endpoint->by_id);
	g_hash_table_destroy(endpoint->by_request);
	g_hash_table_destroy(endpoint->uncertain);
	g_free(endpoint->id);
	g_free(endpoint->service);
	g_free(endpoint);
}

gboolean endpoint_grant(endpoint_t *endpoint, const char *adapter)
{
	return slots_grant(endpoint->slots, endpoint_now(endpoint), adapter);
}

void endpoint_expect(endpoint_t *endpoint, const char *adapter,
		     double probability)
{
	slots_expect_request(endpoint->slots, endpoint_now(endpoint), adapter,
			     probability);
}

void endpoint_demote(endpoint_t *endpoint, const char *adapter)
{
	slots_demote(endpoint->slots, endpoint_now(endpoint), adapter);
}

void endpoint_retire(endpoint_t *endpoint)
{
	endpoint->is_retired = TRUE;
	endpoint_refuse_early(endpoint, "the endpoint has another owner now; "
					"ask again");
	slots_start_leaving(endpoint->slots, endpoint_now(endpoint));
}

gboolean endpoint_is_retired(const endpoint_t *endpoint)
{
	return endpoint->is_retired;
}

void endpoint_leave(endpoint_t *endpoint)
{
	slots_start_leaving(endpoint->slots, endpoint_now(endpoint));
}

gboolean endpoint_is_busy(const endpoint_t *endpoint)
{
	return endpoint->early.length || !slots_is_idle(endpoint->slots);
}

gboolean endpoint_is_idle(const endpoint_t *endpoint)
{
	return slots_is_idle(endpoint->slots);
}

const char *endpoint_id(const endpoint_t *endpoint)
{
	return endpoint->id;
}

gboolean endpoint_is_engine(const endpoint_t *endpoint)
{
	return endpoint->is_engine;
}

int endpoint_slot_count(const endpoint_t *endpoint)
{
	return endpoint->slot_count;
}

const char *endpoint_service(const endpoint_t *endpoint)
{
	return endpoint->service;
}

int64_t endpoint_epoch(const endpoint_t *endpoint)
{
	return endpoint->epoch;
}

slots_t *endpoint_slots(endpoint_t *endpoint)
{
	return endpoint->slots;
}

gboolean endpoint_knows(const endpoint_t *endpoint, const char *request)
{
	return g_hash_table_contains(endpoint->by_request, request);
}
