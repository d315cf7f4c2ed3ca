#include "member/member_private.h"

#include <math.h>
#include <string.h>

/* A failed instance is probed for this long, then removed. */
#define FAILED_RETENTION ((ms_t)2 * 60 * 60 * 1000)
/* A failed instance is also kept for this long after its last listing. */
#define LISTED_RETENTION ((ms_t)10 * 60 * 1000)
#define LEFT_RETENTION	 ((ms_t)10 * 60 * 1000)
/* The record of an endpoint that returned to service is kept this long. */
#define ENDPOINT_RETENTION ((ms_t)10 * 60 * 1000)

/* Decayed numbers of recoveries at which flap damping begins and ends. */
#define FLAPS_DAMP_ABOVE 2.5
#define FLAPS_DAMP_BELOW 1.0
#define FLAPS_HALF_LIFE	 ((ms_t)2 * 60 * 1000)

/* Multiplicative (Fibonacci) hashing: 2^64 divided by the golden ratio. */
#define DIGEST_FACTOR 0x9e3779b97f4a7c15u

/* Receiving a rumor that we gossip too counts as this many transmissions. */
#define RECEIVED_COUNTS_AS 1

record_t *member_record(const member_t *member, const char *name)
{
	return g_hash_table_lookup(member->records, name);
}

static void record_free(record_t *record)
{
	g_free(record->name);
	member_place_free(record->place);
	g_free(record);
}

static void endpoint_free(endpoint_t *endpoint)
{
	g_free(endpoint->name);
	g_free(endpoint);
}

void member_table_release(member_t *member)
{
	g_ptr_array_foreach(member->order, (GFunc)(void *)record_free, NULL);
	g_ptr_array_foreach(member->endpoint_order,
			    (GFunc)(void *)endpoint_free, NULL);
	g_ptr_array_unref(member->order);
	g_ptr_array_unref(member->endpoint_order);
	g_hash_table_destroy(member->records);
	g_hash_table_destroy(member->endpoints);
}

/* Binary search for the index of a name, or for its insertion point. */
static guint order_index(const member_t *member, const char *name)
{
	guint low = 0;
	guint high = member->order->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const record_t *record = member->order->pdata[middle];

		if (strcmp(record->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

record_t *member_record_add(member_t *member, const char *name, ms_t now)
{
	record_t *record = g_new0(record_t, 1);

	g_assert(!member_record(member, name));
	record->name = g_strdup(name);
	record->rumor.kind = MEMBER_UPDATE_INSTANCE;
	record->state = MEMBER_ALIVE;
	record->state_at = now;
	record->incarnation_at = now;
	record->flaps_at = now;
	g_hash_table_insert(member->records, record->name, record);
	g_ptr_array_insert(member->order, (gint)order_index(member, name),
			   record);
	return record;
}

static void rumor_remove(member_t *member, rumor_t *rumor)
{
	if (rumor->sends_left) {
		TAILQ_REMOVE(&member->rumors, rumor, link);
		member->rumor_count--;
	}
	rumor->sends_left = 0;
}

static void record_forget(member_t *member, record_t *record)
{
	rumor_remove(member, &record->rumor);
	g_hash_table_remove(member->records, record->name);
	g_ptr_array_remove(member->order, record);
	record_free(record);
}

int member_count_live(const member_t *member)
{
	int count = 0;
	guint i;

	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];

		count += record->state == MEMBER_ALIVE ||
			 record->state == MEMBER_SUSPECT;
	}
	return count;
}

ms_t member_suspicion_timeout(int members, ms_t period)
{
	return (ms_t)((double)period * (3 + log2(members + 1)));
}

/* Insert by remaining transmissions, the largest number first. */
static void rumor_insert(member_t *member, rumor_t *rumor)
{
	rumor_t *other;

	member->rumor_count++;
	TAILQ_FOREACH_REVERSE(other, &member->rumors, rumor_list, link)
	{
		if (other->sends_left < rumor->sends_left)
			continue;
		TAILQ_INSERT_AFTER(&member->rumors, other, rumor, link);
		return;
	}
	TAILQ_INSERT_HEAD(&member->rumors, rumor, link);
}

void member_gossip(member_t *member, rumor_t *rumor, gboolean has_place,
		   ms_t now)
{
	double members = member->order->len;

	member->is_digest_stale = TRUE;
	rumor_remove(member, rumor);
	rumor->sends_left = 2 + (int)ceil(2 * log2(members + 1));
	rumor->has_place = has_place;
	rumor_insert(member, rumor);
	member_push(member, now);
}

void member_rumor_sent(member_t *member, rumor_t *rumor, int times)
{
	int left = MAX(rumor->sends_left - times, 0);

	if (!rumor->sends_left)
		return;
	rumor_remove(member, rumor);
	rumor->sends_left = left;
	if (left)
		rumor_insert(member, rumor);
}

member_update_t *member_update_from_rumor(const rumor_t *rumor,
					  gboolean has_place)
{
	const record_t *record = (const record_t *)rumor;
	const endpoint_t *endpoint = (const endpoint_t *)rumor;
	member_update_t *update;

	if (rumor->kind == MEMBER_UPDATE_ENDPOINT) {
		update = member_update_new(rumor->kind, endpoint->name,
					   endpoint->revision, MEMBER_ALIVE);
		update->is_leaving = endpoint->is_leaving;
		return update;
	}
	update = member_update_new(rumor->kind, record->name,
				   record->incarnation, record->state);
	update->is_leaving = record->is_leaving;
	if (has_place)
		update->place = member_place_copy(record->place);
	return update;
}

member_state_t member_visible_state(const record_t *record)
{
	if (record->state != MEMBER_ALIVE)
		return record->state;
	if (record->is_damped)
		return MEMBER_SUSPECT;
	return record->is_leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
}

void member_notify(member_t *member, record_t *record)
{
	member_state_t state = member_visible_state(record);
	member_info_t info;

	if (record->is_notified && record->notified_state == state &&
	    record->notified_leaving == record->is_leaving)
		return;
	record->is_notified = TRUE;
	record->notified_state = state;
	record->notified_leaving = record->is_leaving;
	member_find(member, record->name, &info);
	member->events->on_change(member->ctx, &info);
}

static double flaps_now(const record_t *record, ms_t now)
{
	double age = (double)(now - record->flaps_at);

	return record->flaps * exp2(-age / (double)FLAPS_HALF_LIFE);
}

static void add_flap(record_t *record, ms_t now)
{
	record->flaps = flaps_now(record, now) + 1;
	record->flaps_at = now;
	if (record->flaps >= FLAPS_DAMP_ABOVE)
		record->is_damped = TRUE;
}

/* The caller runs member_notify() once all fields are set. */
void member_set_state(member_t *member, record_t *record, member_state_t state,
		      ms_t now)
{
	if (record->state == state)
		return;
	if (record->state == MEMBER_FAILED && state == MEMBER_ALIVE)
		add_flap(record, now);
	record->state = state;
	record->state_at = now;
}

void member_set_place(member_t *member, record_t *record,
		      const member_place_t *place, ms_t now)
{
	if (record->place && member_place_equal(record->place, place))
		return;
	member_place_free(record->place);
	record->place = member_place_copy(place);
	record->is_notified = FALSE;
}

void member_refute(member_t *member, int64_t incarnation, ms_t now)
{
	record_t *self = member->self;

	self->incarnation = MAX(self->incarnation, incarnation) + 1;
	self->incarnation_at = now;
	member_gossip(member, &self->rumor, FALSE, now);
}

/* Apply a received update of this instance. */
static void apply_self(member_t *member, const member_update_t *update,
		       ms_t now)
{
	record_t *self = member->self;

	if (update->incarnation < self->incarnation ||
	    self->state == MEMBER_LEFT)
		return;
	if (update->incarnation > self->incarnation ||
	    update->state != MEMBER_ALIVE) {
		member_refute(member, update->incarnation, now);
		return;
	}
	if (!update->is_leaving || self->is_leaving)
		return;
	if (now - member->created_at < MEMBER_LIST_LAG_MAX) {
		/* The update concerns an earlier process of this name. */
		member_refute(member, update->incarnation, now);
	} else if (!member->is_leave_reported) {
		member->is_leave_reported = TRUE;
		member->events->on_told_to_leave(member->ctx);
	}
}

static gboolean is_failure_claim(member_state_t state)
{
	return state == MEMBER_SUSPECT || state == MEMBER_FAILED;
}

/* Precedence of states within one incarnation; the higher rank wins. */
static int state_rank(member_state_t state)
{
	switch (state) {
	case MEMBER_SUSPECT:
		return 1;
	case MEMBER_FAILED:
		return 2;
	case MEMBER_LEFT:
		return 3;
	default:
		return 0;
	}
}

/* Merge an update into the record; FALSE if it holds nothing newer. */
static gboolean merge_update(member_t *member, record_t *record,
			     const member_update_t *update, ms_t now)
{
	gboolean is_newer = update->incarnation > record->incarnation;
	gboolean is_same = update->incarnation == record->incarnation;

	if (is_newer) {
		record->incarnation = update->incarnation;
		record->incarnation_at = now;
		record->has_our_place = FALSE;
		record->is_leaving = update->is_leaving;
		member_set_state(member, record, update->state, now);
		return TRUE;
	}
	if (!is_same)
		return FALSE;
	if (update->is_leaving && !record->is_leaving) {
		record->is_leaving = TRUE;
		is_newer = TRUE;
	}
	if (state_rank(update->state) > state_rank(record->state)) {
		member_set_state(member, record, update->state, now);
		is_newer = TRUE;
	}
	return is_newer;
}

/* Whether an update matches our own record. */
static gboolean is_identical(const record_t *record,
			     const member_update_t *update)
{
	return update->incarnation == record->incarnation &&
	       update->state == record->state &&
	       update->is_leaving == record->is_leaving;
}

static void apply_instance(member_t *member, const member_update_t *update,
			   ms_t now)
{
	record_t *record = member_record(member, update->name);
	gboolean is_changed = FALSE;

	if (!record) {
		/* Otherwise peers would bring back removed instances. */
		if (update->state == MEMBER_FAILED ||
		    update->state == MEMBER_LEFT)
			return;
		record = member_record_add(member, update->name, now);
		record->incarnation = -1;
	}
	if (update->place && update->incarnation >= record->incarnation) {
		is_changed = !record->place;
		member_set_place(member, record, update->place, now);
	}
	if (merge_update(member, record, update, now))
		is_changed = TRUE;
	else if (is_identical(record, update))
		member_rumor_sent(member, &record->rumor, RECEIVED_COUNTS_AS);
	if (is_changed)
		member_gossip(member, &record->rumor, !!update->place, now);
	member_notify(member, record);
}

void member_apply(member_t *member, const record_t *sender,
		  const member_update_t *update, ms_t now)
{
	if (update->kind == MEMBER_UPDATE_ENDPOINT) {
		member_endpoint_set(member, update->name, update->incarnation,
				    update->is_leaving, now);
		return;
	}
	if (!strcmp(update->name, member->self->name)) {
		apply_self(member, update, now);
		return;
	}
	/*
	 * A sender that we consider failed may be unable to receive, and then
	 * considers every other instance failed.  Ignore its failure claims
	 * until it has refuted.
	 */
	if (sender && sender->state == MEMBER_FAILED &&
	    is_failure_claim(update->state))
		return;
	apply_instance(member, update, now);
}

void member_endpoint_set(member_t *member, const char *name, int64_t revision,
			 gboolean is_leaving, ms_t now)
{
	endpoint_t *endpoint = g_hash_table_lookup(member->endpoints, name);
	gboolean was_leaving = endpoint && endpoint->is_leaving;

	if (endpoint && (revision < endpoint->revision ||
			 (revision == endpoint->revision &&
			  is_leaving <= endpoint->is_leaving)))
		return;
	if (!endpoint) {
		endpoint = g_new0(endpoint_t, 1);
		endpoint->name = g_strdup(name);
		endpoint->rumor.kind = MEMBER_UPDATE_ENDPOINT;
		g_hash_table_insert(member->endpoints, endpoint->name,
				    endpoint);
		g_ptr_array_add(member->endpoint_order, endpoint);
	}
	endpoint->revision = revision;
	endpoint->is_leaving = is_leaving;
	endpoint->changed_at = now;
	member_gossip(member, &endpoint->rumor, FALSE, now);
	if (was_leaving != is_leaving)
		member->events->on_endpoint(member->ctx, endpoint->name,
					    is_leaving);
}

uint32_t member_digest(member_t *member)
{
	guint i;

	if (!member->is_digest_stale)
		return member->digest;
	member->digest = 0;
	member->is_digest_stale = FALSE;
	for (i = 0; i < member->order->len; i++) {
		const record_t *record = member->order->pdata[i];
		uint64_t hash = (uint64_t)record->incarnation * 2 +
				(uint64_t)record->is_leaving;

		if (record->state != MEMBER_ALIVE || record->incarnation <= 0)
			continue;
		/* Mix each term over all bits before combining them by XOR. */
		hash = (hash ^ g_str_hash(record->name)) * DIGEST_FACTOR;
		member->digest ^= (uint32_t)(hash >> 32);
	}
	return member->digest;
}

static gboolean is_forgettable(const record_t *record, ms_t now)
{
	ms_t age = now - record->state_at;

	/* An instance without a place can't be probed. */
	if (record->state == MEMBER_LEFT || !record->place)
		return age > LEFT_RETENTION;
	if (record->state != MEMBER_FAILED || age <= FAILED_RETENTION)
		return FALSE;
	return !record->listed_at || now - record->listed_at > LISTED_RETENTION;
}

static void sweep_record(member_t *member, record_t *record, ms_t now)
{
	ms_t timeout = member_suspicion_timeout(member_count_live(member),
						member->period) *
		       (1 + member->health_score);

	if (record->state == MEMBER_SUSPECT &&
	    now - record->state_at >= timeout) {
		member_set_state(member, record, MEMBER_FAILED, now);
		member_gossip(member, &record->rumor, FALSE, now);
	}
	if (record->is_damped && flaps_now(record, now) < FLAPS_DAMP_BELOW)
		record->is_damped = FALSE;
	member_notify(member, record);
}

void member_sweep(member_t *member, ms_t now)
{
	guint i;

	for (i = member->order->len; i-- > 0;) {
		record_t *record = member->order->pdata[i];

		if (record == member->self)
			continue;
		if (is_forgettable(record, now))
			record_forget(member, record);
		else if (record->state == MEMBER_SUSPECT || record->is_damped)
			sweep_record(member, record, now);
	}
	for (i = member->endpoint_order->len; i-- > 0;) {
		endpoint_t *endpoint = member->endpoint_order->pdata[i];

		if (endpoint->is_leaving ||
		    now - endpoint->changed_at <= ENDPOINT_RETENTION)
			continue;
		rumor_remove(member, &endpoint->rumor);
		g_hash_table_remove(member->endpoints, endpoint->name);
		g_ptr_array_remove_index(member->endpoint_order, i);
		endpoint_free(endpoint);
	}
}
