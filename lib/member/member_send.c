#include "member/member_private.h"

#include <string.h>

/* Number of peers that a change is pushed to. */
#define PUSH_COUNT 3

/* Delay that batches changes into one push, in milliseconds. */
#define PUSH_DELAY 50

/* Limits per message: bytes of updates, and repeated records. */
#define UPDATES_SIZE_MAX     1000
#define REPEATED_COUNT	     3
#define REPEATED_OUT_OF_SYNC 24
#define REPEATED_SIZE_MAX    200

/*
 * With more rumors queued than this, places are omitted, and receivers request
 * the missing ones by MEMBER_TABLE_REQUEST.
 */
#define RUMORS_WITH_PLACE_MAX 16

/* Minimum interval between two table pages sent, in milliseconds. */
#define TABLE_SERVE_PERIOD 1000

/* Capacity of the token bucket, in seconds of the byte rate. */
#define BURST_SECONDS 20

/* Upper bound on the bytes of a message without updates, with overhead. */
#define MESSAGE_SIZE (MEMBER_MESSAGE_OVERHEAD + 65)

void member_send_init(member_t *member, ms_t now)
{
	member->push_at = MS_NEVER;
	member->table_served_at = now - TABLE_SERVE_PERIOD;
	member->tokens = member->bytes_per_second;
	member->tokens_at = now;
}

void member_push(member_t *member, ms_t now)
{
	if (member->push_at == MS_NEVER)
		member->push_at = now + PUSH_DELAY;
}

static void refill(member_t *member, ms_t now)
{
	double elapsed = (double)(now - member->tokens_at) / 1000;
	double burst = (double)member->bytes_per_second * BURST_SECONDS;

	member->tokens += elapsed * member->bytes_per_second;
	member->tokens = MIN(member->tokens, burst);
	member->tokens_at = now;
}

/* Add an update if it fits; takes ownership of the update. */
static gboolean add_update(member_message_t *message, member_update_t *update,
			   int *room)
{
	int size = (int)member_update_size(update);

	if (size > *room || message->updates->len == MEMBER_UPDATES_MAX) {
		member_update_free(update);
		return FALSE;
	}
	*room -= size;
	g_ptr_array_add(message->updates, update);
	return TRUE;
}

static void add_rumors(member_t *member, member_message_t *message, int *room)
{
	gboolean has_places = member->rumor_count <= RUMORS_WITH_PLACE_MAX;
	rumor_t *added[MEMBER_UPDATES_MAX];
	rumor_t *rumor;
	int count = 0;
	int i;

	TAILQ_FOREACH (rumor, &member->rumors, link) {
		if (!add_update(message,
				member_update_from_rumor(
					rumor, rumor->has_place && has_places),
				room))
			break;
		added[count++] = rumor;
	}
	/* Requeue, so that rumors sent less often go first next time. */
	for (i = 0; i < count; i++)
		member_rumor_sent(member, added[i], 1);
}

/* Repeat records in turn, so that views converge after lost messages. */
static void add_repeated(member_t *member, member_message_t *message, int count,
			 int *room)
{
	int i;

	for (i = 0; i < count; i++) {
		record_t *record;

		member->next_record %= member->order->len;
		record = member->order->pdata[member->next_record++];
		if (record->incarnation > 0)
			add_update(message,
				   member_update_from_rumor(&record->rumor, !i),
				   room);
	}
	if (member->endpoint_order->len) {
		member->next_endpoint %= member->endpoint_order->len;
		add_update(message,
			   member_update_from_rumor(
				   member->endpoint_order
					   ->pdata[member->next_endpoint++],
				   FALSE),
			   room);
	}
}

static member_message_t *message_to(member_t *member, member_type_t type,
				    int64_t sequence, const char *target)
{
	member_message_t *message =
		member_message_new(type, member->self->name);

	message->incarnation = member->self->incarnation;
	message->state = member->self->state == MEMBER_LEFT ? MEMBER_LEFT
			 : member->self->is_leaving	    ? MEMBER_LEAVING
							    : MEMBER_ALIVE;
	message->generation = member->self->generation;
	message->digest = member_digest(member);
	message->sequence = sequence;
	message->target = g_strdup(target);
	return message;
}

static void send_and_free(member_t *member, const record_t *to,
			  member_message_t *message)
{
	size_t size = MESSAGE_SIZE;
	guint i;

	for (i = 0; i < message->updates->len; i++)
		size += member_update_size(message->updates->pdata[i]);
	member->tokens -= (double)size;
	member->messages_sent++;
	member->bytes_sent += (int64_t)size;
	member->events->send(member->ctx, to->name, to->place, message);
	member_message_free(message);
}

void member_send(member_t *member, const record_t *to, member_type_t type,
		 int64_t sequence, const char *target, ms_t now)
{
	member_message_t *message;
	int reserved = UPDATES_SIZE_MAX;
	int room;
	gboolean is_out_of_sync;

	if (!to->place)
		return;
	refill(member, now);
	message = message_to(member, type, sequence, target);
	/* The receiver must learn of its suspicion to refute it. */
	if (to->state != MEMBER_ALIVE)
		add_update(message, member_update_from_rumor(&to->rumor, FALSE),
			   &reserved);
	if (!to->has_our_place && type == MEMBER_PING)
		add_update(message,
			   member_update_from_rumor(&member->self->rumor, TRUE),
			   &reserved);
	room = CLAMP((int)member->tokens - MESSAGE_SIZE, 0, UPDATES_SIZE_MAX);
	add_rumors(member, message, &room);
	/* Without queued rumors, a different digest means missing records. */
	is_out_of_sync = to->digest_differs &&
			 now - to->heard_at <= member->period &&
			 TAILQ_EMPTY(&member->rumors);
	if (!is_out_of_sync)
		room = MIN(room, REPEATED_SIZE_MAX);
	add_repeated(member, message,
		     is_out_of_sync ? REPEATED_OUT_OF_SYNC : REPEATED_COUNT,
		     &room);
	send_and_free(member, to, message);
}

gboolean member_is_peer(const member_t *member, const record_t *record)
{
	return record != member->self && record->place &&
	       (record->state == MEMBER_ALIVE ||
		record->state == MEMBER_SUSPECT);
}

int member_choose_peers(member_t *member, const record_t *other, int count,
			record_t **chosen)
{
	int found = 0;
	int tries;

	for (tries = 0; tries < 8 * count && found < count; tries++) {
		int at = g_rand_int_range(member->rand, 0,
					  (int)member->order->len);
		record_t *record = member->order->pdata[at];
		gboolean is_excluded = record == other;
		int i;

		for (i = 0; i < found; i++)
			is_excluded |= chosen[i] == record;
		if (!is_excluded && member_is_peer(member, record))
			chosen[found++] = record;
	}
	return found;
}

void member_send_gossip(member_t *member, ms_t now)
{
	record_t *chosen[PUSH_COUNT];
	int count = member_choose_peers(member, NULL, PUSH_COUNT, chosen);
	int i;

	for (i = 0; i < count; i++)
		member_send(member, chosen[i], MEMBER_GOSSIP, 0, NULL, now);
}

void member_push_now(member_t *member, ms_t now)
{
	refill(member, now);
	member->push_at = MS_NEVER;
	/*
	 * Above the byte rate, the rumors wait for the next probes.  A new
	 * document is rare enough to be pushed regardless.
	 */
	if (member->is_push_urgent ||
	    member->tokens >= PUSH_COUNT * (double)MESSAGE_SIZE)
		member_send_gossip(member, now);
	member->is_push_urgent = FALSE;
}

void member_serve_table(member_t *member, const member_message_t *message,
			const record_t *sender, ms_t now)
{
	member_message_t *page;
	int count = (int)MIN(message->sequence, MEMBER_TABLE_PAGE);
	guint i;

	if (!sender->place || !message->target ||
	    now - member->table_served_at < TABLE_SERVE_PERIOD)
		return;
	member->table_served_at = now;
	page = message_to(member, MEMBER_TABLE, 0, NULL);
	for (i = 0; i < member->order->len; i++) {
		record_t *record = member->order->pdata[i];

		if (strcmp(record->name, message->target) < 0)
			continue;
		if (count-- <= 0) {
			page->target = g_strdup(record->name);
			break;
		}
		g_ptr_array_add(page->updates,
				member_update_from_rumor(&record->rumor, TRUE));
	}
	refill(member, now);
	send_and_free(member, sender, page);
}
