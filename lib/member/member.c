#include "member/member.h"

#include <string.h>

#include "member/member_private.h"

member_t *member_create(const member_options_t *options,
			const member_events_t *events, void *ctx, ms_t now)
{
	member_t *member = g_new0(member_t, 1);

	g_assert(options->name && options->place);
	g_assert(options->incarnation > 0);
	member->events = events;
	member->ctx = ctx;
	member->rand = g_rand_new_with_seed(options->seed);
	member->period = options->period ? options->period : MEMBER_PERIOD;
	member->bytes_per_second = options->bytes_per_second
					   ? options->bytes_per_second
					   : MEMBER_BYTES_PER_SECOND;
	member->created_at = now;
	member->created_incarnation = options->incarnation;
	member->records = g_hash_table_new(g_str_hash, g_str_equal);
	member->order = g_ptr_array_new();
	member->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	member->endpoint_order = g_ptr_array_new();
	TAILQ_INIT(&member->rumors);
	member_send_init(member, now);
	member_probe_init(member, now);
	member->self = member_record_add(member, options->name, now);
	member->self->place = member_place_copy(options->place);
	member->self->incarnation = options->incarnation;
	member_spread(member, &member->self->rumor, TRUE, now);
	return member;
}

void member_destroy(member_t *member)
{
	if (!member)
		return;
	member_probe_release(member);
	member_table_release(member);
	g_rand_free(member->rand);
	g_free(member);
}

/* A list may still name as leaving what has just come anew. */
static void apply_listed_leaving(member_t *member, record_t *record, ms_t now)
{
	member_update_t *update;

	if (now - record->incarnation_at <= MEMBER_LIST_LAG_MAX)
		return;
	update = member_update_new(MEMBER_UPDATE_INSTANCE, record->name,
				   record->incarnation, MEMBER_ALIVE);
	update->is_leaving = TRUE;
	member_apply(member, NULL, update, now);
	member_update_free(update);
}

void member_apply_listing(member_t *member, const char *name,
			  const member_place_t *place, gboolean is_leaving,
			  ms_t now)
{
	record_t *record = member_record(member, name);

	if (!record) {
		if (is_leaving || !place)
			return;
		/* Incarnation 0: nobody has heard from it yet. */
		record = member_record_add(member, name, now);
		member_set_place(member, record, place, now);
		member_report(member, record);
	}
	record->listed_at = MAX(now, 1);
	/* What the instance said of itself stands above the list. */
	if (place && (!record->place || !record->incarnation)) {
		member_set_place(member, record, place, now);
		member_report(member, record);
	}
	if (is_leaving && !record->is_leaving)
		apply_listed_leaving(member, record, now);
}

/* Seconds by the clock that numbers incarnations. */
static int64_t revision_now(const member_t *member, ms_t now)
{
	return member->created_incarnation + (now - member->created_at) / 1000;
}

void member_apply_endpoint_listing(member_t *member, const char *endpoint,
				   gboolean is_leaving, ms_t now)
{
	endpoint_t *known = g_hash_table_lookup(member->endpoints, endpoint);
	gboolean was_leaving = known && known->is_leaving;
	int64_t revision = revision_now(member, now);

	if (was_leaving == is_leaving)
		return;
	/* Another list may have been newer than this one. */
	if (known && now - known->changed_at <= MEMBER_LIST_LAG_MAX)
		return;
	if (known)
		revision = MAX(revision, known->revision + 1);
	member_endpoint_set(member, endpoint, revision, is_leaving, now);
}

void member_set_generation(member_t *member, int64_t generation, ms_t now)
{
	g_assert(generation >= member->self->generation);
	if (generation == member->self->generation)
		return;
	member->self->generation = generation;
	member->is_push_urgent = TRUE;
	member_push(member, now);
}

void member_leave(member_t *member, ms_t now)
{
	if (member->self->is_leaving)
		return;
	member->self->is_leaving = TRUE;
	member_refute(member, 0, now);
	member_report(member, member->self);
}

void member_end_leave(member_t *member, ms_t now)
{
	if (member->self->state == MEMBER_LEFT)
		return;
	member->self->is_leaving = TRUE;
	member_set_state(member, member->self, MEMBER_LEFT, now);
	member_refute(member, 0, now);
	member_report(member, member->self);
	member_send_gossip(member, now);
}

static void fill_info(const member_t *member, const record_t *record,
		      member_info_t *info)
{
	info->name = record->name;
	info->place = record->place;
	info->incarnation = record->incarnation;
	info->state = member_visible_state(record);
	info->is_leaving = record->is_leaving;
	info->is_self = record == member->self;
	info->generation = record->generation;
	info->heard_at = record->heard_at;
}

gboolean member_find(const member_t *member, const char *name,
		     member_info_t *info)
{
	const record_t *record = member_record(member, name);

	if (!record)
		return FALSE;
	fill_info(member, record, info);
	return TRUE;
}

void member_foreach(const member_t *member,
		    void (*visit)(void *ctx, const member_info_t *info),
		    void *ctx)
{
	member_info_t info;
	guint i;

	for (i = 0; i < member->order->len; i++) {
		fill_info(member, member->order->pdata[i], &info);
		visit(ctx, &info);
	}
}

gboolean member_endpoint_is_leaving(const member_t *member,
				    const char *endpoint)
{
	const endpoint_t *known =
		g_hash_table_lookup(member->endpoints, endpoint);

	return known && known->is_leaving;
}

void member_stats(const member_t *member, member_stats_t *stats)
{
	guint i;

	memset(stats, 0, sizeof(*stats));
	stats->alive = member_count_live(member);
	stats->messages_sent = member->messages_sent;
	stats->bytes_sent = member->bytes_sent;
	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];

		stats->failed += record->state == MEMBER_FAILED;
	}
}

/* Periods until someone has probed it, or retried it after a partition. */
#define BOUND_PROBES 20

/* Periods for each member, for when all have changed at once. */
#define BOUND_SPREAD 0.3

ms_t member_convergence_bound(int members, ms_t period)
{
	ms_t spread = (ms_t)(BOUND_SPREAD * members * (double)period);

	return 4 * member_suspect_time(members, period) +
	       BOUND_PROBES * period + spread;
}
