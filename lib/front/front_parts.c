#include "base/log.h"
#include "front/front_private.h"
#include "front/reach_check.h"

/* An engine that is checked for a crash, and the parts of what ran there. */
typedef struct {
	front_t *front;
	char *engine;
	ms_t began_at; /* when the newest of them was sent */
	GHashTable *parts;
} crash_check_t;

static void note_crash(front_t *front, const char *engine,
		       const char *const *parts, ms_t began_at)
{
	ms_t now = ms_clock_now(front->clock);

	for (; *parts; parts++) {
		if (!quarantine_note_crash(front->quarantine, now, *parts,
					   engine, began_at))
			continue;
		counter_add(front->parts_held, 1);
		log_warn("prompt part held", "part", *parts, "endpoint", engine,
			 "why",
			 "engines crashed with it and no request with it was "
			 "answered",
			 NULL);
	}
}

static void on_reach(void *ctx, reach_t reach)
{
	crash_check_t *check = ctx;
	front_t *front = check->front;
	const char **parts = (const char **)g_hash_table_get_keys_as_array(
		check->parts, NULL);
	parts_message_t message = {
		.news = PARTS_CRASHED,
		.engine = check->engine,
		.time = MAX(ms_clock_now(front->clock) - check->began_at, 1),
		.parts = parts,
	};

	if (reach == REACH_REFUSED) {
		log_info("engine crashed under requests", "endpoint",
			 check->engine, NULL);
		note_crash(front, check->engine, parts, check->began_at);
		adapters_send_parts(front->adapters, NULL, &message);
	}
	g_hash_table_remove(front->crash_checks, check->engine);
	g_free(parts);
	g_hash_table_destroy(check->parts);
	g_free(check->engine);
	g_free(check);
}

void front_note_cut_run(front_t *front, const fleet_endpoint_t *engine,
			char *const *parts, ms_t began_at)
{
	const char *id = fleet_endpoint_id(engine);
	crash_check_t *check = g_hash_table_lookup(front->crash_checks, id);

	if (!*parts)
		return;
	if (!check) {
		check = g_new0(crash_check_t, 1);
		check->front = front;
		check->engine = g_strdup(id);
		check->parts = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
		g_hash_table_insert(front->crash_checks, g_strdup(id), check);
		reach_check(process_loop(front->process),
			    fleet_endpoint_address(engine),
			    fleet_endpoint_port(engine), on_reach, check);
	}
	check->began_at = MAX(check->began_at, began_at);
	for (; *parts; parts++)
		g_hash_table_add(check->parts, g_strdup(*parts));
}

/* Returns whether any of the parts was suspected or held. */
static gboolean note_answers(front_t *front, const char *const *parts)
{
	gboolean has_cleared = FALSE;

	for (; *parts; parts++) {
		ms_t left = quarantine_time_left(
			front->quarantine, ms_clock_now(front->clock), *parts);

		if (quarantine_note_answer(front->quarantine, *parts))
			has_cleared = TRUE;
		if (left)
			log_info("prompt part released", "part", *parts, "why",
				 "a request with it was answered", NULL);
	}
	return has_cleared;
}

void front_note_answered_parts(front_t *front, char *const *parts)
{
	parts_message_t message = {
		.news = PARTS_ANSWERED,
		.parts = (const char *const *)parts,
	};

	if (*parts && note_answers(front, message.parts))
		adapters_send_parts(front->adapters, NULL, &message);
}

ms_t front_parts_held(const front_t *front, char *const *parts)
{
	ms_t now = ms_clock_now(front->clock);
	ms_t longest = 0;

	for (; *parts; parts++)
		longest = MAX(longest, quarantine_time_left(front->quarantine,
							    now, *parts));
	return longest;
}

static void hold_parts(front_t *front, const parts_message_t *message)
{
	ms_t now = ms_clock_now(front->clock);
	const char *const *part;

	for (part = message->parts; *part; part++) {
		if (!quarantine_time_left(front->quarantine, now, *part))
			log_info("prompt part held", "part", *part, "why",
				 "another instance holds it", NULL);
		quarantine_hold(front->quarantine, now, *part, message->time);
	}
}

void front_on_parts(void *ctx, const parts_message_t *message)
{
	front_t *front = ctx;
	ms_t now = ms_clock_now(front->clock);

	switch (message->news) {
	case PARTS_CRASHED:
		note_crash(front, message->engine, message->parts,
			   message->time ? now - message->time : 0);
		break;
	case PARTS_ANSWERED:
		note_answers(front, message->parts);
		break;
	default:
		hold_parts(front, message);
		break;
	}
}

typedef struct {
	front_t *front;
	const char *instance;
} held_receiver_t;

static void send_held(void *ctx, const char *part, ms_t time_left)
{
	const held_receiver_t *receiver = ctx;
	const char *parts[] = {part, NULL};
	parts_message_t message = {
		.news = PARTS_HELD,
		.time = time_left,
		.parts = parts,
	};

	adapters_send_parts(receiver->front->adapters, receiver->instance,
			    &message);
}

void front_on_peer(void *ctx, const char *instance)
{
	front_t *front = ctx;
	held_receiver_t receiver = {front, instance};

	/* An instance that has just started knows of none. */
	quarantine_foreach_held(front->quarantine, ms_clock_now(front->clock),
				send_held, &receiver);
	front_tell_endpoint_news(front, instance);
}
