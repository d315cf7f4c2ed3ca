#include "own_sim_private.h"

#include <string.h>

#define TRACE_LINES 120

/* Simulates an operator error: two processes run under the same name. */
static int name_number(const own_sim_t *sim, int index)
{
	return index && index == sim->options.duplicate ? 0 : index;
}

void own_sim_trace_event(own_sim_t *sim, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_queue_push_tail(&sim->trace,
			  g_strdup_printf("%7" G_GINT64_FORMAT " %s",
					  fake_kv_now(sim->kv), text));
	g_free(text);
	if (sim->trace.length > TRACE_LINES)
		g_free(g_queue_pop_head(&sim->trace));
}

static const ownership_options_t fast_options = {
	.transit_max = SIM_TRANSIT_MAX,
	.serve_grace = 20000,
	.probe_validity = 2500,
	.probe_interval = 300,
	.handover_delay = 1500,
	.reclaim_delay = 2000,
	.poll_min = 200,
	.poll_max = 1000,
	.retry_interval = 200,
	.write_batch_delay = 300,
	.predecessor_poll_interval = 500,
};

void own_sim_on_wake(void *ctx)
{
}

/* Peers consider a frozen or partitioned instance dead most of the time. */
static gboolean appears_alive(own_sim_t *sim, const instance_t *instance)
{
	if (!instance->is_up || instance->is_stopping)
		return FALSE;
	if (!instance->is_frozen && !instance->is_cut)
		return TRUE;
	return !g_rand_int_range(sim->rand, 0, 4);
}

static gboolean has_member(const assign_member_t *members, size_t count,
			   int number)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (own_sim_parse_number(members[i].name) == number)
			return TRUE;
	}
	return FALSE;
}

static void update_members(instance_t *instance)
{
	own_sim_t *sim = instance->sim;
	assign_member_t members[16];
	char names[16][8];
	size_t count = 0;
	int i;

	for (i = 0; i < sim->options.instances; i++) {
		int number = name_number(sim, i);

		if (!appears_alive(sim, &sim->instances[i]) ||
		    has_member(members, count, number))
			continue;
		g_snprintf(names[count], sizeof(names[count]), "i%d", number);
		members[count].name = names[count];
		members[count].failure_domain = i % 3 ? "near" : "far";
		count++;
	}
	ownership_set_members(instance->own, fake_kv_now(sim->kv), members,
			      count);
}

static void update_endpoints(instance_t *instance)
{
	own_sim_t *sim = instance->sim;
	int count = sim->options.endpoints;
	ownership_endpoint_t *endpoints = g_new0(ownership_endpoint_t, count);
	int i;

	for (i = 0; i < count; i++) {
		endpoints[i].id = sim->engines[i]->id;
		endpoints[i].failure_domain = i % 2 ? "near" : "far";
		endpoints[i].slot_count = ENGINE_SLOTS;
		endpoints[i].checks_fencing = sim->engines[i]->checks_fencing;
	}
	ownership_set_endpoints(instance->own, fake_kv_now(sim->kv), endpoints,
				(size_t)count);
	g_free(endpoints);
}

void own_sim_start(own_sim_t *sim, int index)
{
	instance_t *instance = &sim->instances[index];
	ownership_options_t options = sim->own_options;
	char name[8];
	char place[8];
	char record[32];
	lease_options_t lease = {name,
				 record,
				 LEASE_TTL_MS,
				 LEASE_MARGIN_MS,
				 LEASE_RENEW_MS,
				 LEASE_RETRY_MS,
				 0,
				 own_sim_on_wake,
				 instance};

	g_snprintf(name, sizeof(name), "i%d", name_number(sim, index));
	g_snprintf(place, sizeof(place), "p%d", index);
	g_snprintf(record, sizeof(record), "{\"place\":\"%s\"}", place);
	options.place = place;
	if (sim->options.is_fast) {
		/* Messages can be in flight longer than a lease is valid. */
		lease.ttl = 4000;
		lease.margin = 300;
		lease.renew_interval = 800;
		lease.retry_interval = 200;
	}
	instance->is_up = TRUE;
	instance->is_frozen = FALSE;
	instance->is_cut = FALSE;
	instance->is_stopping = FALSE;
	instance->generation++;
	instance->kv = fake_kv_connect(sim->kv);
	instance->lease = lease_create(instance->kv, &lease);
	instance->own = ownership_create(instance->kv, instance->lease,
					 &options, &own_sim_actions, instance);
	memset(instance->in_flight, 0,
	       sizeof(int) * ENGINE_ADAPTERS * (size_t)sim->options.endpoints);
	update_endpoints(instance);
	update_members(instance);
	own_sim_trace_event(sim, "i%d starts", index);
}

void own_sim_kill(own_sim_t *sim, int index)
{
	instance_t *instance = &sim->instances[index];
	message_t *message;

	if (!instance->is_up)
		return;
	own_sim_trace_event(sim, "i%d is killed", index);
	instance->is_up = FALSE;
	instance->generation++;
	kv_destroy(instance->kv);
	ownership_destroy(instance->own);
	lease_destroy(instance->lease);
	while ((message = g_queue_pop_head(&instance->inbox)))
		own_sim_message_free(message);
}

gboolean own_sim_is_up(const own_sim_t *sim, int index)
{
	return sim->instances[index].is_up;
}

void own_sim_freeze(own_sim_t *sim, int index, gboolean is_frozen)
{
	instance_t *instance = &sim->instances[index];
	message_t *message;

	if (!instance->is_up || instance->is_frozen == is_frozen)
		return;
	own_sim_trace_event(sim, "i%d %s", index,
			    is_frozen ? "freezes" : "resumes");
	instance->is_frozen = is_frozen;
	fake_kv_set_paused(sim->kv, instance->kv, is_frozen);
	while (!is_frozen && (message = g_queue_pop_head(&instance->inbox))) {
		message->handle(message);
		own_sim_message_free(message);
	}
}

void own_sim_partition(own_sim_t *sim, int index, gboolean is_requests_cut,
		       gboolean is_answers_cut)
{
	instance_t *instance = &sim->instances[index];

	if (!instance->is_up)
		return;
	instance->is_cut = is_requests_cut || is_answers_cut;
	fake_kv_cut(sim->kv, instance->kv, is_requests_cut, is_answers_cut);
}

void own_sim_restart_engine(own_sim_t *sim, int endpoint)
{
	own_sim_trace_event(sim, "%s restarts", sim->engines[endpoint]->id);
	fake_engine_restart(sim->engines[endpoint]);
}

void own_sim_stop(own_sim_t *sim, int index)
{
	if (!sim->instances[index].is_up || sim->instances[index].is_frozen)
		return;
	own_sim_trace_event(sim, "i%d begins a planned stop", index);
	sim->instances[index].is_stopping = TRUE;
	ownership_stop(sim->instances[index].own, fake_kv_now(sim->kv));
}

static void on_members_update(void *ctx)
{
	instance_t *instance = ctx;

	if (instance->is_up && !instance->is_frozen)
		update_members(instance);
}

void own_sim_update_members(own_sim_t *sim)
{
	int i;

	for (i = 0; i < sim->options.instances; i++)
		fake_kv_schedule(sim->kv,
				 fake_kv_now(sim->kv) +
					 g_rand_int_range(sim->rand, 50, 1500),
				 on_members_update, &sim->instances[i]);
}

int own_sim_order_count(own_sim_t *sim)
{
	int orders = 0;
	int i;

	for (i = 0; i < sim->options.endpoints; i++)
		orders += sim->engines[i]->orders;
	return orders;
}

static int held_slots_at(const instance_t *instance, int endpoint)
{
	own_sim_t *sim = instance->sim;
	const fake_engine_t *engine = sim->engines[endpoint];
	int held = 0;
	int i;

	for (i = 0; i < ENGINE_SLOTS; i++)
		held += instance->adapter[own_sim_slot_index(endpoint, i)] >=
				0 &&
			!instance->is_changing[own_sim_slot_index(endpoint,
								  i)] &&
			!ownership_may_change(instance->own,
					      fake_kv_now(sim->kv), engine->id,
					      (guint)i);
	return held;
}

int own_sim_held_slots(own_sim_t *sim)
{
	int held = 0;
	int e;
	int i;

	for (i = 0; i < sim->options.instances; i++) {
		for (e = 0; e < sim->options.endpoints; e++) {
			const instance_t *instance = &sim->instances[i];
			int64_t epoch;

			if (instance->is_up &&
			    !sim->engines[e]->checks_fencing &&
			    ownership_is_owner(instance->own,
					       sim->engines[e]->id, &epoch))
				held += held_slots_at(instance, e);
		}
	}
	return held;
}

int own_sim_requests_sent(const own_sim_t *sim)
{
	return sim->sent;
}

int own_sim_requests_unserved(const own_sim_t *sim)
{
	return sim->unserved;
}

int own_sim_owned_count(own_sim_t *sim, int index)
{
	int64_t epoch;
	int count = 0;
	int i;

	for (i = 0; i < sim->options.endpoints; i++)
		count += sim->instances[index].is_up &&
			 ownership_is_owner(sim->instances[index].own,
					    sim->engines[i]->id, &epoch);
	return count;
}

int own_sim_served_endpoints(own_sim_t *sim)
{
	int served = 0;
	int e;
	int i;

	for (e = 0; e < sim->options.endpoints; e++) {
		gboolean is_served = FALSE;

		for (i = 0; i < sim->options.instances; i++)
			is_served |= sim->instances[i].is_up &&
				     !sim->instances[i].is_frozen &&
				     ownership_may_serve(sim->instances[i].own,
							 fake_kv_now(sim->kv),
							 sim->engines[e]->id);
		served += is_served;
	}
	return served;
}

own_sim_t *own_sim_create(const own_sim_options_t *options)
{
	own_sim_t *sim = g_new0(own_sim_t, 1);
	size_t endpoints = (size_t)options->endpoints;
	int i;

	sim->options = *options;
	if (options->is_fast)
		sim->own_options = fast_options;
	else
		ownership_options_init(&sim->own_options);
	sim->kv = fake_kv_create(options->seed);
	sim->rand = g_rand_new_with_seed(options->seed + 1);
	sim->trace_text = g_string_new(NULL);
	sim->messages = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	sim->engines = g_new0(fake_engine_t *, endpoints);
	for (i = 0; i < options->endpoints; i++) {
		char *id = g_strdup_printf("e%d", i);

		sim->engines[i] = fake_engine_create(id, i % 2);
		g_free(id);
	}
	sim->instances = g_new0(instance_t, options->instances);
	for (i = 0; i < options->instances; i++) {
		instance_t *instance = &sim->instances[i];

		instance->sim = sim;
		instance->index = i;
		g_queue_init(&instance->inbox);
		instance->adapter = g_new0(int, endpoints *ENGINE_SLOTS);
		instance->is_changing =
			g_new0(gboolean, endpoints * ENGINE_SLOTS);
		instance->intended = g_new0(int, endpoints *ENGINE_SLOTS);
		instance->in_flight = g_new0(int, endpoints *ENGINE_ADAPTERS);
		instance->report_at = g_new0(ms_t, endpoints);
		instance->restarts = g_new0(int, endpoints);
		own_sim_start(sim, i);
	}
	for (i = 0; i < options->instances; i++)
		update_members(&sim->instances[i]);
	return sim;
}

void own_sim_destroy(own_sim_t *sim)
{
	int i;

	for (i = 0; i < sim->options.instances; i++) {
		instance_t *instance = &sim->instances[i];

		own_sim_kill(sim, i);
		g_free(instance->adapter);
		g_free(instance->is_changing);
		g_free(instance->intended);
		g_free(instance->in_flight);
		g_free(instance->report_at);
		g_free(instance->restarts);
	}
	for (i = 0; i < sim->options.endpoints; i++)
		fake_engine_destroy(sim->engines[i]);
	fake_kv_destroy(sim->kv);
	g_hash_table_destroy(sim->messages);
	g_rand_free(sim->rand);
	g_queue_clear_full(&sim->trace, g_free);
	g_string_free(sim->trace_text, TRUE);
	g_free(sim->engines);
	g_free(sim->instances);
	g_free(sim->violation);
	g_free(sim);
}

fake_kv_t *own_sim_kv(own_sim_t *sim)
{
	return sim->kv;
}

GRand *own_sim_rand(own_sim_t *sim)
{
	return sim->rand;
}

void own_sim_run(own_sim_t *sim, ms_t until)
{
	int i;

	while (fake_kv_now(sim->kv) < until && !own_sim_violation(sim)) {
		ms_t now = fake_kv_now(sim->kv) + SIM_TICK_MS;

		fake_kv_run(sim->kv, now);
		for (i = 0; i < sim->options.endpoints; i++)
			fake_engine_tick(sim->engines[i], now);
		for (i = 0; i < sim->options.instances; i++)
			own_sim_tick_instance(&sim->instances[i], now);
	}
}

const char *own_sim_violation(const own_sim_t *sim)
{
	int i;

	if (sim->violation)
		return sim->violation;
	for (i = 0; i < sim->options.endpoints; i++) {
		if (sim->engines[i]->violation)
			return sim->engines[i]->violation;
	}
	return NULL;
}

const char *own_sim_trace(own_sim_t *sim)
{
	GList *line;

	g_string_truncate(sim->trace_text, 0);
	for (line = sim->trace.head; line; line = line->next)
		g_string_append_printf(sim->trace_text, "%s\n",
				       (char *)line->data);
	return sim->trace_text->str;
}
