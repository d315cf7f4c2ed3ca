#include "member/member_private.h"

#include <string.h>

/* Delays from the start of a probe, in thousandths of a period. */
#define INDIRECT_PROBE_DELAY 300
#define PROBE_TIMEOUT	     900

/* Peers that are requested to probe on our behalf. */
#define INDIRECT_COUNT 3

/* Periods between two probes of failed instances. */
#define FAILED_PROBE_PERIODS 5

/*
 * Upper bound of the health score.  A missed ack of an alive instance adds 1,
 * a received ack subtracts 2.
 */
#define HEALTH_MAX 4

/* Maximum number of concurrent probes on behalf of other instances. */
#define RELAYS_MAX 64

static ms_t scaled_delay(const member_t *member, int thousandths)
{
	return member->period * (1 + member->health_score) * thousandths / 1000;
}

static void relay_free(relay_t *relay)
{
	g_free(relay->origin);
	g_free(relay);
}

void member_probe_init(member_t *member, ms_t now)
{
	member->probe_order = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&member->relays);
	member->period_at =
		now + g_rand_int_range(member->rand, 0, (int)member->period);
	member->retry_at = now + member->period * FAILED_PROBE_PERIODS;
	member->table_cursor = g_strdup("");
}

void member_probe_release(member_t *member)
{
	g_ptr_array_unref(member->probe_order);
	g_queue_clear_full(&member->relays, (GDestroyNotify)relay_free);
	g_free(member->probe_target);
	g_free(member->table_cursor);
}

static void refill_probe_order(member_t *member)
{
	GPtrArray *order = member->probe_order;
	guint i;

	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];

		if (member_is_peer(member, record))
			g_ptr_array_add(order, g_strdup(record->name));
	}
	for (i = order->len; i > 1; i--) {
		int other = g_rand_int_range(member->rand, 0, (int)i);
		gpointer name = order->pdata[other];

		order->pdata[other] = order->pdata[i - 1];
		order->pdata[i - 1] = name;
	}
}

static record_t *next_probe_target(member_t *member)
{
	if (!member->probe_order->len)
		refill_probe_order(member);
	while (member->probe_order->len) {
		guint last = member->probe_order->len - 1;
		record_t *record =
			member_record(member, member->probe_order->pdata[last]);

		g_ptr_array_remove_index(member->probe_order, last);
		if (record && member_is_peer(member, record))
			return record;
	}
	return NULL;
}

static void start_probe(member_t *member, ms_t now)
{
	record_t *target = next_probe_target(member);

	if (!target)
		return;
	member->probe_target = g_strdup(target->name);
	member->probe_sequence = ++member->sequence;
	member->indirect_probe_at =
		now + scaled_delay(member, INDIRECT_PROBE_DELAY);
	member->probe_timeout_at = now + scaled_delay(member, PROBE_TIMEOUT);
	member_send(member, target, MEMBER_PING, member->probe_sequence, NULL,
		    now);
}

static void end_probe(member_t *member)
{
	g_clear_pointer(&member->probe_target, g_free);
}

static void probe_indirectly(member_t *member, ms_t now)
{
	record_t *target = member_record(member, member->probe_target);
	record_t *chosen[INDIRECT_COUNT];
	int count = member_choose_peers(member, target, INDIRECT_COUNT, chosen);
	int i;

	member->indirect_probe_at = MS_NEVER;
	for (i = 0; i < count; i++)
		member_send(member, chosen[i], MEMBER_PING_REQUEST,
			    member->probe_sequence, member->probe_target, now);
}

static void fail_probe(member_t *member, ms_t now)
{
	record_t *target = member_record(member, member->probe_target);

	end_probe(member);
	/*
	 * A missed ack of a suspect says nothing about our own health.  In a
	 * fleet of two, every probe goes to the one suspect and would raise
	 * the health score.
	 */
	if (!target || target->state != MEMBER_ALIVE)
		return;
	member->health_score = MIN(member->health_score + 1, HEALTH_MAX);
	member_set_state(member, target, MEMBER_SUSPECT, now);
	member_gossip(member, &target->rumor, FALSE, now);
	member_notify(member, target);
}

static void probe_failed_instance(member_t *member, ms_t now)
{
	const record_t *chosen = NULL;
	int seen = 0;
	guint i;

	member->retry_at = now + member->period * FAILED_PROBE_PERIODS;
	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];

		if (record->state != MEMBER_FAILED || !record->place)
			continue;
		if (!g_rand_int_range(member->rand, 0, ++seen))
			chosen = record;
	}
	if (chosen)
		member_send(member, chosen, MEMBER_PING, ++member->sequence,
			    NULL, now);
}

/* An instance known by name only, or NULL. */
static const record_t *find_without_place(const member_t *member)
{
	guint i;

	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];

		if (!record->place && record->state != MEMBER_FAILED &&
		    record->state != MEMBER_LEFT)
			return record;
	}
	return NULL;
}

static void request_table(member_t *member, ms_t now)
{
	const record_t *missing = find_without_place(member);
	record_t *chosen;

	if ((!member->table_cursor && !missing) ||
	    !member_choose_peers(member, missing, 1, &chosen))
		return;
	member_send(member, chosen, MEMBER_TABLE_REQUEST, MEMBER_TABLE_PAGE,
		    member->table_cursor ? member->table_cursor : missing->name,
		    now);
}

static void start_period(member_t *member, ms_t now)
{
	member_sweep(member, now);
	while (!g_queue_is_empty(&member->relays)) {
		relay_t *relay = g_queue_peek_head(&member->relays);

		if (relay->expires > now)
			break;
		relay_free(g_queue_pop_head(&member->relays));
	}
	if (member->self->state == MEMBER_LEFT)
		return;
	if (!member->probe_target)
		start_probe(member, now);
	if (now >= member->retry_at)
		probe_failed_instance(member, now);
	request_table(member, now);
}

ms_t member_due(const member_t *member)
{
	ms_t due = MIN(member->period_at, member->push_at);

	if (member->probe_target) {
		due = MIN(due, member->indirect_probe_at);
		due = MIN(due, member->probe_timeout_at);
	}
	return due;
}

void member_tick(member_t *member, ms_t now)
{
	if (member->probe_target && now >= member->probe_timeout_at)
		fail_probe(member, now);
	if (member->probe_target && now >= member->indirect_probe_at)
		probe_indirectly(member, now);
	if (now >= member->period_at) {
		member->period_at += member->period;
		if (member->period_at <= now)
			member->period_at = now + member->period;
		start_period(member, now);
	}
	if (now >= member->push_at)
		member_push_now(member, now);
}

static void receive_ack(member_t *member, const member_message_t *message,
			record_t *sender, ms_t now)
{
	GList *link;

	sender->has_our_place = TRUE;
	if (member->probe_target &&
	    message->sequence == member->probe_sequence) {
		end_probe(member);
		member->health_score = MAX(member->health_score - 2, 0);
	}
	for (link = member->relays.head; link; link = link->next) {
		relay_t *relay = link->data;
		record_t *origin;

		if (relay->sequence != message->sequence)
			continue;
		origin = member_record(member, relay->origin);
		if (origin)
			member_send(member, origin, MEMBER_ACK,
				    relay->origin_sequence, sender->name, now);
		g_queue_delete_link(&member->relays, link);
		relay_free(relay);
		return;
	}
}

static void receive_request(member_t *member, const member_message_t *message,
			    ms_t now)
{
	record_t *target =
		message->target ? member_record(member, message->target) : NULL;
	relay_t *relay;

	if (!target || target == member->self ||
	    member->relays.length >= RELAYS_MAX)
		return;
	relay = g_new0(relay_t, 1);
	relay->origin = g_strdup(message->from);
	relay->origin_sequence = message->sequence;
	relay->sequence = ++member->sequence;
	relay->expires = now + member->period * 2;
	g_queue_push_tail(&member->relays, relay);
	member_send(member, target, MEMBER_PING, relay->sequence, NULL, now);
}

static void receive_table(member_t *member, const member_message_t *message)
{
	if (!member->table_cursor)
		return;
	g_free(member->table_cursor);
	member->table_cursor = g_strdup(message->target);
}

/* Update the record of the sender from the header of its message. */
static record_t *update_sender(member_t *member,
			       const member_message_t *message, ms_t now)
{
	record_t *sender;
	member_update_t *update;

	update = member_update_new(MEMBER_UPDATE_INSTANCE, message->from,
				   message->incarnation, MEMBER_ALIVE);
	update->is_leaving = message->state == MEMBER_LEAVING;
	if (message->state == MEMBER_LEFT)
		update->state = MEMBER_LEFT;
	member_apply(member, NULL, update, now);
	member_update_free(update);
	sender = member_record(member, message->from);
	if (!sender)
		return NULL;
	sender->heard_at = MAX(now, 1);
	sender->generation = MAX(sender->generation, message->generation);
	return sender;
}

void member_receive(member_t *member, const member_message_t *message, ms_t now)
{
	record_t *sender;
	guint i;

	if (!strcmp(message->from, member->self->name))
		return;
	sender = update_sender(member, message, now);
	if (!sender)
		return;
	for (i = 0; i < message->updates->len; i++)
		member_apply(member, sender, message->updates->pdata[i], now);
	sender->digest_differs = message->digest != member_digest(member);
	if (message->type == MEMBER_PING && member->self->state != MEMBER_LEFT)
		member_send(member, sender, MEMBER_ACK, message->sequence, NULL,
			    now);
	else if (message->type == MEMBER_ACK)
		receive_ack(member, message, sender, now);
	else if (message->type == MEMBER_PING_REQUEST)
		receive_request(member, message, now);
	else if (message->type == MEMBER_TABLE_REQUEST)
		member_serve_table(member, message, sender, now);
	else if (message->type == MEMBER_TABLE)
		receive_table(member, message);
	if (message->generation > member->self->generation)
		member->events->on_generation(member->ctx, message->from,
					      message->generation);
}
