#include "hold/holdings.h"

#include <string.h>

#include "own/assign.h"

typedef struct {
	int64_t lease; /* 0 once the instance is gone */
	ms_t gone_since;
} instance_t;

typedef struct {
	char *id;
	gboolean is_listed;
	char *holder; /* empty if none */
	int64_t incarnation;
	int64_t revision;     /* of the record; 0 if there is none */
	int64_t last_written; /* revision that this process wrote */
	ms_t unheld_since;
	ms_t order_not_before; /* in this tenure */
	ms_t retry_at;
	gboolean is_acquiring;
	gboolean is_reported_held; /* held() was called, and not lost() since */
	int64_t fence; /* of the last order, to assert that it only grows */
} engine_t;

struct holdings {
	holdings_options_t options;
	char *instance;
	holdings_actions_t actions;
	void *ctx;
	int64_t lease;
	ms_t startup_ends_at;
	GHashTable *instances; /* name to instance_t */
	GHashTable *engines;   /* id to engine_t */
};

static void engine_free(gpointer data)
{
	engine_t *engine = data;

	g_free(engine->id);
	g_free(engine->holder);
	g_free(engine);
}

holdings_t *holdings_create(const holdings_options_t *options, ms_t now,
			    const holdings_actions_t *actions, void *ctx)
{
	holdings_t *holdings = g_new0(holdings_t, 1);

	holdings->options = *options;
	holdings->instance = g_strdup(options->instance);
	holdings->actions = *actions;
	holdings->ctx = ctx;
	holdings->startup_ends_at = MS_NEVER;
	holdings->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	holdings->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  engine_free);
	return holdings;
}

void holdings_destroy(holdings_t *holdings)
{
	g_hash_table_destroy(holdings->instances);
	g_hash_table_destroy(holdings->engines);
	g_free(holdings->instance);
	g_free(holdings);
}

void holdings_set_instance(holdings_t *holdings, ms_t now, const char *instance,
			   int64_t lease)
{
	instance_t *state = g_hash_table_lookup(holdings->instances, instance);

	if (!state) {
		state = g_new0(instance_t, 1);
		g_hash_table_insert(holdings->instances, g_strdup(instance),
				    state);
	}
	if (!lease && state->lease)
		state->gone_since = now;
	state->lease = lease;
}

guint holdings_instance_count(const holdings_t *holdings)
{
	GHashTableIter iter;
	gpointer state;
	guint count = 0;

	g_hash_table_iter_init(&iter, holdings->instances);
	while (g_hash_table_iter_next(&iter, NULL, &state))
		count += ((const instance_t *)state)->lease != 0;
	return count;
}

static engine_t *engine_get(holdings_t *holdings, ms_t now, const char *id)
{
	engine_t *engine = g_hash_table_lookup(holdings->engines, id);

	if (engine)
		return engine;
	engine = g_new0(engine_t, 1);
	engine->id = g_strdup(id);
	engine->holder = g_strdup("");
	engine->unheld_since = now;
	g_hash_table_insert(holdings->engines, engine->id, engine);
	return engine;
}

static gboolean is_held_here(const holdings_t *holdings, const engine_t *engine)
{
	return holdings->lease && engine->revision &&
	       engine->incarnation == holdings->lease &&
	       !strcmp(engine->holder, holdings->instance);
}

static void report_change(holdings_t *holdings, engine_t *engine)
{
	gboolean is_held = is_held_here(holdings, engine) && engine->is_listed;

	if (is_held == engine->is_reported_held)
		return;
	engine->is_reported_held = is_held;
	if (is_held)
		holdings->actions.held(holdings->ctx, engine->id);
	else
		holdings->actions.lost(holdings->ctx, engine->id);
}

void holdings_set_engine(holdings_t *holdings, ms_t now, const char *id,
			 gboolean is_listed)
{
	engine_t *engine;

	if (!is_listed && !g_hash_table_contains(holdings->engines, id))
		return;
	engine = engine_get(holdings, now, id);
	engine->is_listed = is_listed;
	report_change(holdings, engine);
}

/* The earliest time of the first order of a tenure that begins now. */
static ms_t first_order_time(const holdings_t *holdings, ms_t now,
			     const engine_t *engine)
{
	const instance_t *holder;
	ms_t gone_since = now;

	if (!engine->revision || !strcmp(engine->holder, holdings->instance))
		return now;
	if (!*engine->holder)
		return now + holdings->options.order_gap;
	holder = g_hash_table_lookup(holdings->instances, engine->holder);
	if (holder && !holder->lease && holder->gone_since)
		gone_since = holder->gone_since;
	return gone_since + holdings->options.lease_ttl +
	       holdings->options.order_gap;
}

void holdings_set_record(holdings_t *holdings, ms_t now, const char *id,
			 const char *holder, int64_t incarnation,
			 int64_t revision)
{
	engine_t *engine = engine_get(holdings, now, id);

	if (revision && revision <= engine->revision)
		return;
	if (revision && !strcmp(holder, holdings->instance) &&
	    incarnation == holdings->lease)
		engine->order_not_before =
			first_order_time(holdings, now, engine);
	g_free(engine->holder);
	engine->holder = g_strdup(holder);
	engine->incarnation = incarnation;
	engine->revision = revision;
	engine->unheld_since = now;
	report_change(holdings, engine);
}

void holdings_set_lease(holdings_t *holdings, ms_t now, int64_t lease)
{
	GHashTableIter iter;
	gpointer engine;

	if (lease == holdings->lease)
		return;
	if (lease && holdings->startup_ends_at == MS_NEVER)
		holdings->startup_ends_at = now + ENGINE_LOCKS_STARTUP_MS;
	holdings->lease = lease;
	g_hash_table_iter_init(&iter, holdings->engines);
	while (g_hash_table_iter_next(&iter, NULL, &engine))
		report_change(holdings, engine);
}

void holdings_taken(holdings_t *holdings, ms_t now, const char *id,
		    int64_t revision)
{
	engine_t *engine = g_hash_table_lookup(holdings->engines, id);

	if (!engine)
		return;
	engine->is_acquiring = FALSE;
	engine->retry_at = now + ENGINE_LOCKS_RETRY_MS;
	if (revision)
		holdings_set_record(holdings, now, id, holdings->instance,
				    holdings->lease, revision);
}

static gboolean is_alive(const holdings_t *holdings, const char *instance,
			 int64_t incarnation)
{
	const instance_t *state =
		g_hash_table_lookup(holdings->instances, instance);

	return state && state->lease && state->lease == incarnation;
}

static GArray *live_members(const holdings_t *holdings)
{
	GArray *members = g_array_new(FALSE, TRUE, sizeof(assign_member_t));
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, holdings->instances);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		assign_member_t member = {name, ""};

		if (((const instance_t *)value)->lease)
			g_array_append_val(members, member);
	}
	return members;
}

/* The listed engines that are assigned to this instance. */
static GHashTable *assigned_engines(const holdings_t *holdings)
{
	GArray *members = live_members(holdings);
	GArray *engines = g_array_new(FALSE, TRUE, sizeof(assign_endpoint_t));
	GHashTable *assigned = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;
	int *owners;
	guint i;

	g_hash_table_iter_init(&iter, holdings->engines);
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
			    holdings->instance))
			g_hash_table_add(assigned, (gpointer)id);
	}
	g_free(owners);
	g_array_free(engines, TRUE);
	g_array_free(members, TRUE);
	return assigned;
}

/* Whether no live instance holds the lock; *age is then for how long. */
static gboolean is_orphan(const holdings_t *holdings, ms_t now,
			  const engine_t *engine, ms_t *age)
{
	const instance_t *holder;
	ms_t since = engine->unheld_since;

	if (is_alive(holdings, engine->holder, engine->incarnation))
		return FALSE;
	holder = g_hash_table_lookup(holdings->instances, engine->holder);
	if (holder)
		since = MAX(since, holder->gone_since);
	*age = now - since;
	return TRUE;
}

static gboolean should_acquire(const holdings_t *holdings, ms_t now,
			       const engine_t *engine, GHashTable **assigned)
{
	const instance_t *holder;
	ms_t age;

	if (!engine->is_listed || engine->is_acquiring ||
	    now < engine->retry_at || is_held_here(holdings, engine))
		return FALSE;
	if (!strcmp(engine->holder, holdings->instance))
		return TRUE;
	if (now < holdings->startup_ends_at ||
	    !is_orphan(holdings, now, engine, &age))
		return FALSE;
	if (age >= ENGINE_LOCKS_ORPHAN_MS)
		return TRUE;
	/* A restarted process of the holder acquires its locks itself. */
	holder = g_hash_table_lookup(holdings->instances, engine->holder);
	if (holder && holder->lease)
		return FALSE;
	if (!*assigned)
		*assigned = assigned_engines(holdings);
	return g_hash_table_contains(*assigned, engine->id);
}

void holdings_tick(holdings_t *holdings, ms_t now, ms_t valid_until)
{
	GHashTable *assigned = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!holdings->lease || now >= valid_until)
		return;
	g_hash_table_iter_init(&iter, holdings->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_t *engine = value;

		if (!should_acquire(holdings, now, engine, &assigned))
			continue;
		engine->is_acquiring = TRUE;
		holdings->actions.take(holdings->ctx, engine->id,
				       engine->revision);
	}
	if (assigned)
		g_hash_table_destroy(assigned);
}

const char *holdings_holder(const holdings_t *holdings, const char *id)
{
	const engine_t *engine = g_hash_table_lookup(holdings->engines, id);

	if (!engine || !*engine->holder ||
	    !is_alive(holdings, engine->holder, engine->incarnation))
		return NULL;
	return engine->holder;
}

gboolean holdings_may_order(const holdings_t *holdings, ms_t now,
			    ms_t valid_until, const char *id)
{
	const engine_t *engine = g_hash_table_lookup(holdings->engines, id);

	return engine && engine->is_listed && is_held_here(holdings, engine) &&
	       now < valid_until && now >= engine->order_not_before;
}

int64_t holdings_order(holdings_t *holdings, ms_t now, ms_t valid_until,
		       const char *id)
{
	engine_t *engine = g_hash_table_lookup(holdings->engines, id);

	g_assert(holdings_may_order(holdings, now, valid_until, id));
	g_assert(engine->revision >= engine->fence);
	engine->fence = engine->revision;
	return engine->fence;
}

void holdings_each(const holdings_t *holdings,
		   void (*visit)(void *ctx, const char *engine,
				 int64_t revision),
		   void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holdings->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_t *engine = value;

		if (engine->is_reported_held)
			visit(ctx, engine->id, engine->revision);
	}
}
