#include "own_sim_private.h"

#include <string.h>

#define REPORT_INTERVAL 200
#define SLOW_MESSAGES	8 /* one in so many takes up to TRANSIT_FAST */
#define LOST_ANSWERS	20
#define LOAD_TIME	60
#define RUN_TIME_MAX	700

int own_sim_slot(int endpoint, int slot)
{
	return endpoint * ENGINE_SLOTS + slot;
}

int own_sim_flight(int endpoint, int adapter)
{
	return endpoint * ENGINE_ADAPTERS + adapter;
}

static int chance(own_sim_t *sim, ms_t interval)
{
	return interval &&
	       g_rand_int_range(sim->rand, 0, (gint32)interval) < SIM_TICK_MS;
}

static char *adapter_name(int adapter)
{
	return adapter < 0 ? NULL : g_strdup_printf("a%d@1", adapter);
}

static int adapter_number(const char *name)
{
	return name ? name[1] - '0' : -1;
}

int own_sim_number(const char *id)
{
	return (int)g_ascii_strtoll(id + 1, NULL, 10);
}

/* Under way to or from an endpoint, mostly for a short time. */
static ms_t random_transit(own_sim_t *sim)
{
	if (!sim->options.is_fast ||
	    g_rand_int_range(sim->rand, 0, SLOW_MESSAGES))
		return g_rand_int_range(sim->rand, 1, 6);
	return g_rand_int_range(sim->rand, 1, TRANSIT_FAST);
}

void own_sim_message_free(message_t *message)
{
	g_hash_table_remove(message->sim->messages, message);
}

static void deliver(void *ctx)
{
	message_t *message = ctx;
	instance_t *instance = &message->sim->instances[message->instance];

	if (message->generation != instance->generation) {
		own_sim_message_free(message);
	} else if (instance->is_frozen) {
		g_queue_push_tail(&instance->inbox, message);
	} else {
		message->handle(message);
		own_sim_message_free(message);
	}
}

static void answer(message_t *message, void (*handle)(message_t *message))
{
	own_sim_t *sim = message->sim;

	message->handle = handle;
	fake_kv_schedule(sim->kv, fake_kv_now(sim->kv) + random_transit(sim),
			 deliver, message);
}

static message_t *message_create(instance_t *instance, int endpoint)
{
	message_t *message = g_new0(message_t, 1);

	g_hash_table_add(instance->sim->messages, message);
	message->sim = instance->sim;
	message->instance = instance->index;
	message->generation = instance->generation;
	message->endpoint = endpoint;
	message->sent_at = fake_kv_now(instance->sim->kv);
	return message;
}

static void send_to_engine(message_t *message, void (*arrive)(void *ctx))
{
	own_sim_t *sim = message->sim;

	fake_kv_schedule(sim->kv, message->sent_at + random_transit(sim),
			 arrive, message);
}

static void handle_order_answer(message_t *message)
{
	own_sim_t *sim = message->sim;
	instance_t *instance = &sim->instances[message->instance];
	fake_engine_t *engine = sim->engines[message->endpoint];
	ms_t now = fake_kv_now(sim->kv);
	int64_t epoch;
	char *name;

	if (message->slot < 0 || !message->is_ok) {
		ownership_fence_answered(instance->own, now, engine->id,
					 message->epoch, message->is_ok,
					 message->sent_at);
		return;
	}
	if (!ownership_has(instance->own, engine->id, &epoch) ||
	    epoch != message->epoch ||
	    message->restarts != instance->restarts[message->endpoint])
		return;
	if (!g_rand_int_range(sim->rand, 0, LOST_ANSWERS)) {
		own_sim_note(sim, "i%d lost the answer of %s slot %d",
			     message->instance, engine->id, message->slot);
		ownership_order_unknown(instance->own, now, engine->id,
					(guint)message->slot);
		return;
	}
	if (!ownership_is_slot_usable(instance->own, engine->id,
				      (guint)message->slot))
		return;
	own_sim_note(sim, "i%d settles %s slot %d adapter %d",
		     message->instance, engine->id, message->slot,
		     message->adapter);
	name = adapter_name(message->adapter);
	ownership_order_ended(instance->own, now, engine->id,
			      (guint)message->slot, name);
	g_free(name);
	instance->adapter[own_sim_slot(message->endpoint, message->slot)] =
		message->adapter;
	instance->is_changing[own_sim_slot(message->endpoint, message->slot)] =
		FALSE;
}

/* In some runs a cut also takes the refusals of fence orders. */
static gboolean is_fence_answer_lost(const message_t *message)
{
	const own_sim_t *sim = message->sim;

	return !message->is_ok && sim->options.seed % 2 &&
	       sim->instances[message->instance].is_cut;
}

static void on_order_arrived(void *ctx)
{
	message_t *message = ctx;
	own_sim_t *sim = message->sim;
	fake_engine_t *engine = sim->engines[message->endpoint];
	ms_t now = fake_kv_now(sim->kv);

	message->is_ok =
		fake_engine_order(engine, now, message->slot, message->adapter,
				  message->epoch, LOAD_TIME);
	message->restarts = engine->now.restarts;
	own_sim_note(sim, "%s order slot %d adapter %d epoch %d %s", engine->id,
		     message->slot, message->adapter, (int)message->epoch,
		     message->is_ok ? "done" : "refused");
	if (message->slot < 0 && is_fence_answer_lost(message)) {
		own_sim_message_free(message);
		return;
	}
	if (message->slot < 0 || message->adapter < 0 || !message->is_ok) {
		answer(message, handle_order_answer);
		return;
	}
	message->handle = handle_order_answer;
	fake_kv_schedule(sim->kv,
			 now + LOAD_TIME + SIM_TICK_MS + random_transit(sim),
			 deliver, message);
}

static void on_send_fence(void *ctx, const char *id, int64_t epoch)
{
	instance_t *instance = ctx;
	message_t *message = message_create(instance, own_sim_number(id));

	message->slot = -1;
	message->epoch = epoch;
	send_to_engine(message, on_order_arrived);
}

/* An order may only go out while the record in the service says so. */
static void check_ownership(instance_t *instance, const char *id, int64_t epoch)
{
	own_sim_t *sim = instance->sim;
	char *key = endpoint_record_key(id);
	const kv_record_t *stored = kv_store_get(fake_kv_store(sim->kv), key);
	endpoint_record_t *record =
		stored ? endpoint_record_parse(stored->value, stored->size,
					       NULL)
		       : NULL;

	if (!sim->violation &&
	    (!record || record->epoch != epoch ||
	     strcmp(record->owner, lease_instance(instance->lease)) != 0))
		sim->violation = g_strdup_printf(
			"i%d orders %s under epoch %d, the record has %d",
			instance->index, id, (int)epoch,
			record ? (int)record->epoch : -1);
	if (record)
		endpoint_record_destroy(record);
	g_free(key);
}

static void on_intent(void *ctx, const char *id, guint slot,
		      gboolean is_recorded)
{
	instance_t *instance = ctx;
	own_sim_t *sim = instance->sim;
	int endpoint = own_sim_number(id);
	message_t *message;

	if (!is_recorded) {
		instance->is_changing[own_sim_slot(endpoint, (int)slot)] =
			FALSE;
		return;
	}
	message = message_create(instance, endpoint);
	message->slot = (int)slot;
	message->adapter = instance->wanted[own_sim_slot(endpoint, (int)slot)];
	message->epoch = ownership_order_epoch(instance->own, message->sent_at,
					       id, slot);
	check_ownership(instance, id, message->epoch);
	instance->adapter[own_sim_slot(endpoint, (int)slot)] = -1;
	send_to_engine(message, on_order_arrived);
	own_sim_note(sim, "i%d orders %s slot %u adapter %d epoch %d",
		     instance->index, id, slot, message->adapter,
		     (int)message->epoch);
}

static void on_owned(void *ctx, const char *id, const endpoint_record_t *record)
{
	instance_t *instance = ctx;
	int endpoint = own_sim_number(id);
	guint i;

	own_sim_note(instance->sim, "i%d owns %s epoch %d", instance->index, id,
		     (int)record->epoch);
	for (i = 0; i < ENGINE_SLOTS; i++) {
		const slot_intent_t *slot = &record->slots[i];

		instance->adapter[own_sim_slot(endpoint, (int)i)] =
			slot->state == INTENT_RESIDENT
				? adapter_number(slot->adapter)
				: -1;
		instance->is_changing[own_sim_slot(endpoint, (int)i)] = FALSE;
	}
	instance->report_at[endpoint] = 0;
	instance->restarts[endpoint] =
		instance->sim->engines[endpoint]->now.restarts;
}

static void on_lost(void *ctx, const char *id)
{
	instance_t *instance = ctx;
	int endpoint = own_sim_number(id);
	int i;

	own_sim_note(instance->sim, "i%d loses %s", instance->index, id);
	for (i = 0; i < ENGINE_SLOTS; i++)
		instance->adapter[own_sim_slot(endpoint, i)] = -1;
}

static void on_slot_ready(void *ctx, const char *id, guint slot,
			  const char *adapter)
{
	instance_t *instance = ctx;
	int index = own_sim_slot(own_sim_number(id), (int)slot);

	own_sim_note(instance->sim, "i%d %s slot %u ready (%s)",
		     instance->index, id, slot, adapter ? adapter : "empty");
	instance->adapter[index] = adapter_number(adapter);
	instance->is_changing[index] = FALSE;
}

static void on_adapter_idle(void *ctx, const char *id, const char *adapter)
{
}

static void handle_run_answer(message_t *message)
{
	instance_t *instance = &message->sim->instances[message->instance];

	instance->in_flight[own_sim_flight(message->endpoint,
					   message->adapter)]--;
}

static void on_run_end(void *ctx)
{
	message_t *message = ctx;

	fake_engine_end(message->sim->engines[message->endpoint],
			message->adapter, message->restarts);
	answer(message, handle_run_answer);
}

static void on_run_arrived(void *ctx)
{
	message_t *message = ctx;
	own_sim_t *sim = message->sim;
	fake_engine_t *engine = sim->engines[message->endpoint];

	if (!fake_engine_run(engine, message->adapter)) {
		answer(message, handle_run_answer);
		return;
	}
	message->restarts = engine->now.restarts;
	fake_kv_schedule(sim->kv,
			 fake_kv_now(sim->kv) +
				 g_rand_int_range(sim->rand, 5, RUN_TIME_MAX),
			 on_run_end, message);
}

static void send_request(instance_t *instance, int endpoint, int adapter)
{
	message_t *message = message_create(instance, endpoint);

	message->adapter = adapter;
	instance->in_flight[own_sim_flight(endpoint, adapter)]++;
	send_to_engine(message, on_run_arrived);
}

static void handle_report(message_t *message)
{
	own_sim_t *sim = message->sim;
	instance_t *instance = &sim->instances[message->instance];
	fake_engine_t *engine = sim->engines[message->endpoint];
	ownership_slot_report_t slots[ENGINE_SLOTS];
	int i;

	if (message->state.restarts > instance->restarts[message->endpoint]) {
		instance->restarts[message->endpoint] = message->state.restarts;
		for (i = 0; i < ENGINE_SLOTS; i++)
			instance->adapter[own_sim_slot(message->endpoint, i)] =
				-1;
		for (i = 0; i < ENGINE_SLOTS; i++)
			instance->is_changing[own_sim_slot(message->endpoint,
							   i)] = FALSE;
		ownership_engine_restarted(instance->own, fake_kv_now(sim->kv),
					   engine->id);
	}
	if (message->state.restarts < instance->restarts[message->endpoint])
		return;
	for (i = 0; i < ENGINE_SLOTS; i++) {
		const engine_slot_t *slot = &message->state.slots[i];

		slots[i].state = slot->state;
		slots[i].adapter = adapter_name(slot->adapter);
		slots[i].running =
			slot->adapter < 0
				? 0
				: message->state.running[slot->adapter];
	}
	ownership_report(instance->own, fake_kv_now(sim->kv), engine->id, slots,
			 ENGINE_SLOTS, message->sent_at - SIM_REPORT_LAG);
	for (i = 0; i < ENGINE_SLOTS; i++)
		g_free((char *)slots[i].adapter);
}

static void on_report_asked(void *ctx)
{
	message_t *message = ctx;
	own_sim_t *sim = message->sim;
	ms_t lag = g_rand_int_range(sim->rand, 0, SIM_REPORT_LAG - SIM_TICK_MS);

	message->state = *fake_engine_report(sim->engines[message->endpoint],
					     fake_kv_now(sim->kv) - lag);
	answer(message, handle_report);
}

static void ask_report(instance_t *instance, int endpoint, ms_t now)
{
	if (now < instance->report_at[endpoint])
		return;
	instance->report_at[endpoint] = now + REPORT_INTERVAL;
	send_to_engine(message_create(instance, endpoint), on_report_asked);
}

static gboolean is_placed(instance_t *instance, int endpoint, int adapter)
{
	int i;

	for (i = 0; i < ENGINE_SLOTS; i++) {
		if (instance->adapter[own_sim_slot(endpoint, i)] == adapter ||
		    (instance->is_changing[own_sim_slot(endpoint, i)] &&
		     instance->wanted[own_sim_slot(endpoint, i)] == adapter))
			return TRUE;
	}
	return FALSE;
}

static void change_slot(instance_t *instance, int endpoint, int slot, ms_t now)
{
	own_sim_t *sim = instance->sim;
	const char *id = sim->engines[endpoint]->id;
	int held = instance->adapter[own_sim_slot(endpoint, slot)];
	int wanted = g_rand_int_range(sim->rand, -1, ENGINE_ADAPTERS);
	char *name;

	if (instance->is_changing[own_sim_slot(endpoint, slot)] ||
	    !ownership_may_change(instance->own, now, id, (guint)slot) ||
	    (held >= 0 &&
	     instance->in_flight[own_sim_flight(endpoint, held)]) ||
	    (wanted < 0 ? held < 0 : is_placed(instance, endpoint, wanted)))
		return;
	instance->is_changing[own_sim_slot(endpoint, slot)] = TRUE;
	instance->wanted[own_sim_slot(endpoint, slot)] = wanted;
	name = adapter_name(wanted < 0 ? held : wanted);
	ownership_record_intent(instance->own, now, id, (guint)slot,
				wanted < 0 ? INTENT_UNLOADING : INTENT_LOADING,
				name, on_intent, instance);
	g_free(name);
}

static void act(instance_t *instance, int endpoint, ms_t now)
{
	own_sim_t *sim = instance->sim;
	const char *id = sim->engines[endpoint]->id;
	int slot = g_rand_int_range(sim->rand, 0, ENGINE_SLOTS);
	int adapter = instance->adapter[own_sim_slot(endpoint, slot)];
	int64_t epoch;

	if (!ownership_has(instance->own, id, &epoch))
		return;
	ask_report(instance, endpoint, now);
	if (chance(sim, sim->options.request_interval) && adapter >= 0 &&
	    !instance->is_changing[own_sim_slot(endpoint, slot)] &&
	    ownership_is_slot_usable(instance->own, id, (guint)slot)) {
		if (ownership_may_serve(instance->own, now, id)) {
			sim->sent++;
			send_request(instance, endpoint, adapter);
		} else {
			sim->unserved++;
		}
	}
	if (chance(sim, sim->options.load_interval))
		change_slot(instance, endpoint, slot, now);
}

/* After a pause, work goes first: the lease has to be asked by every action. */
void own_sim_tick_instance(instance_t *instance, ms_t now)
{
	int i;

	if (!instance->is_up || instance->is_frozen)
		return;
	for (i = 0; i < instance->sim->options.endpoints; i++)
		act(instance, i, now);
	lease_tick(instance->lease, now);
	ownership_tick(instance->own, now);
}

const ownership_actions_t own_sim_actions = {
	.owned = on_owned,
	.lost = on_lost,
	.send_fence = on_send_fence,
	.slot_ready = on_slot_ready,
	.adapter_idle = on_adapter_idle,
	.wake = own_sim_on_wake,
};
