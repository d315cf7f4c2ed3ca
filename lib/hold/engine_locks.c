#include "hold/engine_locks.h"

#include <string.h>

#include "base/hash.h"
#include "own/assign.h"

/*
 * Far above any revision: with it, a number that JSON keeps exactly (2^53) has
 * room for 8,000 histories.
 */
#define FENCE_HISTORY_STEP ((int64_t)1 << 40)

typedef struct {
	int64_t lease; /* 0 once the instance is gone */
	ms_t gone_since;
} instance_t;

typedef struct {
	char *id;
	gboolean is_listed;
	char *holder; /* empty if none */
	int64_t incarnation;
	int64_t revision;   /* of the record; 0 if there is none */
	int64_t history;    /* in which the record was written */
	gboolean is_former; /* what is known is of a former history */
	ms_t unheld_since;
	ms_t order_not_before; /* while the lock is held */
	/* The record may not name the last holder, who may send orders. */
	ms_t unproven_until;
	/* Nobody else can have sent an order before the history changed. */
	gboolean is_last_holder;
	ms_t retry_at;
	gboolean is_acquiring;
	guint rank;		   /* of this instance in the succession */
	guint rank_generation;	   /* in which it was computed; 0 for never */
	gboolean is_reported_held; /* held() was called, and not lost() since */
	int64_t fence;		   /* of the last order */
} engine_t;

struct engine_locks {
	engine_locks_options_t options;
	char *instance;
	engine_locks_actions_t actions;
	void *ctx;
	int64_t lease;
	int64_t history;
	gboolean is_history_known;
	/* The last holders of a former history send no order from then on. */
	ms_t settled_at;
	ms_t no_order_before;
	ms_t startup_ends_at;
	GHashTable *instances; /* name to instance_t */
	GHashTable *engines;   /* id to engine_t */
	/* Counts the changes of live instances and listed engines. */
	guint generation;
	GHashTable *assigned; /* engines assigned to this instance */
	guint assigned_generation;
	ms_t next_scan_at;
};

static void engine_free(gpointer data)
{
	engine_t *engine = data;

	g_free(engine->id);
	g_free(engine->holder);
	g_free(engine);
}

engine_locks_t *engine_locks_create(const engine_locks_options_t *options,
				    ms_t now,
				    const engine_locks_actions_t *actions,
				    void *ctx)
{
	engine_locks_t *engine_locks = g_new0(engine_locks_t, 1);

	engine_locks->options = *options;
	engine_locks->instance = g_strdup(options->instance);
	engine_locks->actions = *actions;
	engine_locks->ctx = ctx;
	engine_locks->startup_ends_at = MS_NEVER;
	engine_locks->generation = 1;
	engine_locks->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	engine_locks->engines = g_hash_table_new_full(g_str_hash, g_str_equal,
						      NULL, engine_free);
	return engine_locks;
}

void engine_locks_destroy(engine_locks_t *engine_locks)
{
	g_hash_table_destroy(engine_locks->instances);
	g_hash_table_destroy(engine_locks->engines);
	if (engine_locks->assigned)
		g_hash_table_destroy(engine_locks->assigned);
	g_free(engine_locks->instance);
	g_free(engine_locks);
}

/* What was computed from the live instances and listed engines is void. */
static void note_change(engine_locks_t *engine_locks)
{
	engine_locks->generation++;
	engine_locks->next_scan_at = 0;
}

void engine_locks_set_instance(engine_locks_t *engine_locks, ms_t now,
			       const char *instance, int64_t lease)
{
	instance_t *state =
		g_hash_table_lookup(engine_locks->instances, instance);

	if (!state) {
		state = g_new0(instance_t, 1);
		g_hash_table_insert(engine_locks->instances, g_strdup(instance),
				    state);
	}
	if (!lease && state->lease)
		state->gone_since = now;
	if (!lease != !state->lease)
		note_change(engine_locks);
	state->lease = lease;
	engine_locks->next_scan_at = 0;
}

guint engine_locks_instance_count(const engine_locks_t *engine_locks)
{
	GHashTableIter iter;
	gpointer state;
	guint count = 0;

	g_hash_table_iter_init(&iter, engine_locks->instances);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		count += ((const instance_t *)state)->lease != 0;
	return count;
}

static engine_t *engine_get(engine_locks_t *engine_locks, ms_t now,
			    const char *id)
{
	engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);

	if (engine)
		return engine;
	engine = g_new0(engine_t, 1);
	engine->id = g_strdup(id);
	engine->holder = g_strdup("");
	engine->unheld_since = now;
	g_hash_table_insert(engine_locks->engines, engine->id, engine);
	return engine;
}

void engine_locks_begin_history(engine_locks_t *engine_locks, ms_t now,
				ms_t valid_until, int64_t history)
{
	gboolean is_fresh = now < valid_until + engine_locks->options.order_gap;
	GHashTableIter iter;
	gpointer value;

	engine_locks->settled_at = now + engine_locks->options.lease_ttl +
				   engine_locks->options.order_gap;
	engine_locks->history = history;
	if (!engine_locks->is_history_known) {
		engine_locks->is_history_known = TRUE;
		return;
	}
	engine_locks->no_order_before = engine_locks->settled_at;
	/* Instances whose records are lost register anew. */
	engine_locks->startup_ends_at = now + ENGINE_LOCKS_STARTUP_MS;
	g_hash_table_iter_init(&iter, engine_locks->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_t *engine = value;

		engine->is_former = TRUE;
		engine->is_last_holder = engine->is_reported_held && is_fresh;
	}
}

int64_t engine_locks_history(const engine_locks_t *engine_locks)
{
	return engine_locks->history;
}

static gboolean is_held_here(const engine_locks_t *engine_locks,
			     const engine_t *engine)
{
	return engine_locks->lease && engine->revision &&
	       engine->incarnation == engine_locks->lease &&
	       !strcmp(engine->holder, engine_locks->instance);
}

static void report_change(engine_locks_t *engine_locks, engine_t *engine)
{
	gboolean is_held =
		is_held_here(engine_locks, engine) && engine->is_listed;

	if (is_held == engine->is_reported_held)
		return;
	engine->is_reported_held = is_held;
	if (is_held)
		engine_locks->actions.held(engine_locks->ctx, engine->id);
	else
		engine_locks->actions.lost(engine_locks->ctx, engine->id);
}

void engine_locks_set_engine(engine_locks_t *engine_locks, ms_t now,
			     const char *id, gboolean is_listed)
{
	engine_t *engine;

	if (!is_listed && !g_hash_table_contains(engine_locks->engines, id))
		return;
	engine = engine_get(engine_locks, now, id);
	if (is_listed != engine->is_listed)
		note_change(engine_locks);
	engine->is_listed = is_listed;
	report_change(engine_locks, engine);
}

/* The earliest time of the first order if the lock is acquired now. */
static ms_t first_order_time(const engine_locks_t *engine_locks, ms_t now,
			     const engine_t *engine)
{
	const instance_t *holder;
	ms_t gone_since = now;

	if (!engine->revision ||
	    !strcmp(engine->holder, engine_locks->instance))
		return now;
	if (!*engine->holder)
		return now + engine_locks->options.order_gap;
	holder = g_hash_table_lookup(engine_locks->instances, engine->holder);
	if (holder && !holder->lease && holder->gone_since)
		gone_since = holder->gone_since;
	return gone_since + engine_locks->options.lease_ttl +
	       engine_locks->options.order_gap;
}

static void note_acquired(const engine_locks_t *engine_locks, ms_t now,
			  engine_t *engine)
{
	gboolean is_proven =
		engine->revision && engine->history == engine_locks->history;

	engine->order_not_before = first_order_time(engine_locks, now, engine);
	engine->unproven_until = is_proven ? 0 : engine_locks->settled_at;
}

void engine_locks_set_record(engine_locks_t *engine_locks, ms_t now,
			     const char *id, const engine_lock_t *record)
{
	engine_t *engine = engine_get(engine_locks, now, id);

	if (record->revision && record->revision <= engine->revision &&
	    !engine->is_former)
		return;
	if (record->revision &&
	    !strcmp(record->holder, engine_locks->instance) &&
	    record->incarnation == engine_locks->lease)
		note_acquired(engine_locks, now, engine);
	if (record->revision && strcmp(record->holder, engine_locks->instance))
		engine->is_last_holder = FALSE;
	g_free(engine->holder);
	engine->holder = g_strdup(record->holder);
	engine->incarnation = record->incarnation;
	engine->revision = record->revision;
	engine->history = record->history;
	engine->is_former = FALSE;
	engine->unheld_since = now;
	engine_locks->next_scan_at = 0;
	report_change(engine_locks, engine);
}

void engine_locks_set_lease(engine_locks_t *engine_locks, ms_t now,
			    int64_t lease)
{
	GHashTableIter iter;
	gpointer engine;

	if (lease == engine_locks->lease)
		return;
	if (lease && engine_locks->startup_ends_at == MS_NEVER)
		engine_locks->startup_ends_at = now + ENGINE_LOCKS_STARTUP_MS;
	engine_locks->lease = lease;
	engine_locks->next_scan_at = 0;
	g_hash_table_iter_init(&iter, engine_locks->engines);
	while (g_hash_table_iter_next(&iter, NULL, &engine))
		report_change(engine_locks, engine);
}

void engine_locks_write_done(engine_locks_t *engine_locks, ms_t now,
			     const char *id, int64_t revision)
{
	engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);
	engine_lock_t record = {engine_locks->instance, engine_locks->lease,
				revision, engine_locks->history};

	if (!engine)
		return;
	engine->is_acquiring = FALSE;
	engine->retry_at = now + ENGINE_LOCKS_RETRY_MS;
	if (revision)
		engine_locks_set_record(engine_locks, now, id, &record);
}

static gboolean is_alive(const engine_locks_t *engine_locks,
			 const char *instance, int64_t incarnation)
{
	const instance_t *state =
		g_hash_table_lookup(engine_locks->instances, instance);

	return state && state->lease && state->lease == incarnation;
}

static GArray *live_members(const engine_locks_t *engine_locks)
{
	GArray *members = g_array_new(FALSE, TRUE, sizeof(assign_member_t));
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, engine_locks->instances);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		assign_member_t member = {name, ""};

		if (((const instance_t *)value)->lease)
			g_array_append_val(members, member);
	}
	return members;
}

/* The listed engines that are assigned to this instance. */
static GHashTable *compute_assigned(const engine_locks_t *engine_locks)
{
	GArray *members = live_members(engine_locks);
	GArray *engines = g_array_new(FALSE, TRUE, sizeof(assign_endpoint_t));
	GHashTable *assigned = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	int *owners;
	guint i;

	g_hash_table_iter_init(&iter, engine_locks->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		assign_endpoint_t engine = {((engine_t *)value)->id, ""};

		if (((engine_t *)value)->is_listed)
			g_array_append_val(engines, engine);
	}
	owners = g_new(int, engines->len + 1);
	assign_endpoints((const void *)engines->data, engines->len,
			 (const void *)members->data, members->len, owners);
	for (i = 0; i < engines->len; i++) {
		const char *id =
			g_array_index(engines, assign_endpoint_t, i).id;

		if (owners[i] >= 0 &&
		    !strcmp(g_array_index(members, assign_member_t,
					  (guint)owners[i])
				    .name,
			    engine_locks->instance))
			g_hash_table_add(assigned, (gpointer)id);
	}
	g_free(owners);
	g_array_free(engines, TRUE);
	g_array_free(members, TRUE);
	return assigned;
}

static gboolean is_assigned(engine_locks_t *engine_locks,
			    const engine_t *engine)
{
	if (engine_locks->assigned_generation != engine_locks->generation) {
		if (engine_locks->assigned)
			g_hash_table_destroy(engine_locks->assigned);
		engine_locks->assigned = compute_assigned(engine_locks);
		engine_locks->assigned_generation = engine_locks->generation;
	}
	return g_hash_table_contains(engine_locks->assigned, engine->id);
}

/* Whether no live instance holds the lock; *age is then for how long. */
static gboolean is_orphan(const engine_locks_t *engine_locks, ms_t now,
			  const engine_t *engine, ms_t *age)
{
	const instance_t *holder;
	ms_t since = engine->unheld_since;

	if (is_alive(engine_locks, engine->holder, engine->incarnation))
		return FALSE;
	holder = g_hash_table_lookup(engine_locks->instances, engine->holder);
	if (holder)
		since = MAX(since, holder->gone_since);
	*age = now - since;
	return TRUE;
}

static guint compute_rank(const engine_locks_t *engine_locks,
			  const char *engine)
{
	uint64_t own = hash_rendezvous(engine, engine_locks->instance);
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	guint rank = 0;

	g_hash_table_iter_init(&iter, engine_locks->instances);
	while (g_hash_table_iter_next(&iter, &name, &value))
		rank += ((const instance_t *)value)->lease &&
			hash_rendezvous(engine, name) > own;
	return rank;
}

/*
 * Returns how many live instances precede this one in the succession to the
 * engine's lock.
 */
static guint succession_rank(const engine_locks_t *engine_locks,
			     engine_t *engine)
{
	if (engine->rank_generation != engine_locks->generation) {
		engine->rank = compute_rank(engine_locks, engine->id);
		engine->rank_generation = engine_locks->generation;
	}
	return engine->rank;
}

static gboolean should_acquire(engine_locks_t *engine_locks, ms_t now,
			       engine_t *engine)
{
	const instance_t *holder;
	ms_t age;

	if (!engine->is_listed || engine->is_acquiring ||
	    now < engine->retry_at || is_held_here(engine_locks, engine))
		return FALSE;
	if (!strcmp(engine->holder, engine_locks->instance))
		return TRUE;
	if (now < engine_locks->startup_ends_at ||
	    !is_orphan(engine_locks, now, engine, &age))
		return FALSE;
	if (age >= ENGINE_LOCKS_ORPHAN_MS &&
	    age - ENGINE_LOCKS_ORPHAN_MS >=
		    ENGINE_LOCKS_SUCCESSION_MS *
			    (ms_t)succession_rank(engine_locks, engine))
		return TRUE;
	/* A restarted process of the holder acquires its locks itself. */
	holder = g_hash_table_lookup(engine_locks->instances, engine->holder);
	if (holder && holder->lease)
		return FALSE;
	return is_assigned(engine_locks, engine);
}

void engine_locks_tick(engine_locks_t *engine_locks, ms_t now, ms_t valid_until)
{
	GHashTableIter iter;
	gpointer value;

	if (!engine_locks->lease || now >= valid_until ||
	    now < engine_locks->next_scan_at)
		return;
	engine_locks->next_scan_at = now + ENGINE_LOCKS_SCAN_MS;
	g_hash_table_iter_init(&iter, engine_locks->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_t *engine = value;

		if (!should_acquire(engine_locks, now, engine))
			continue;
		engine->is_acquiring = TRUE;
		engine_locks->actions.take(engine_locks->ctx, engine->id,
					   engine->revision);
	}
}

const char *engine_locks_holder(const engine_locks_t *engine_locks,
				const char *id)
{
	const engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);

	if (!engine || !*engine->holder ||
	    !is_alive(engine_locks, engine->holder, engine->incarnation))
		return NULL;
	return engine->holder;
}

void engine_locks_note_untouched(engine_locks_t *engine_locks, const char *id)
{
	engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);

	if (engine)
		engine->unproven_until = 0;
}

/* The revision of the record, after the number of the history. */
static int64_t fencing_number(const engine_locks_t *engine_locks,
			      const engine_t *engine)
{
	return engine_locks->history * FENCE_HISTORY_STEP + engine->revision;
}

gboolean engine_locks_may_order(const engine_locks_t *engine_locks, ms_t now,
				ms_t valid_until, const char *id)
{
	const engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);

	return engine && engine->is_listed &&
	       is_held_here(engine_locks, engine) && now < valid_until &&
	       now >= engine->order_not_before && !engine->is_former &&
	       (engine->is_last_holder ||
		(now >= engine->unproven_until &&
		 now >= engine_locks->no_order_before)) &&
	       fencing_number(engine_locks, engine) >= engine->fence;
}

int64_t engine_locks_fencing_number(engine_locks_t *engine_locks, ms_t now,
				    ms_t valid_until, const char *id)
{
	engine_t *engine = g_hash_table_lookup(engine_locks->engines, id);

	g_assert(engine_locks_may_order(engine_locks, now, valid_until, id));
	engine->fence = fencing_number(engine_locks, engine);
	return engine->fence;
}

void engine_locks_foreach_held(const engine_locks_t *engine_locks,
			       void (*visit)(void *ctx, const char *engine,
					     int64_t revision),
			       void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine_locks->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_t *engine = value;

		if (engine->is_reported_held)
			visit(ctx, engine->id, engine->revision);
	}
}
