#include "hold/adapter_cache.h"

#include <string.h>
#include <sys/queue.h>

typedef enum {
	STATE_ABSENT,
	STATE_LOADING, /* ordered, and not yet seen to be usable */
	STATE_RESIDENT,
	STATE_UNLOADING
} state_t;

typedef struct entry {
	TAILQ_ENTRY(entry) link;
	char *adapter;
	state_t state;
	int64_t version; /* that is resident */
	int64_t wanted;	 /* the oldest version that will do */
	gboolean is_wanted;
	ms_t wanted_since;
	int uses; /* requests that use it */
	ms_t used_at;
	int64_t loading;      /* the version that a load fetches */
	ms_t ready_at;	      /* of a load: when it is presumed to be done */
	gboolean is_presumed; /* resident, and not yet seen in a report */
	ms_t presumed_at;
} entry_t;

TAILQ_HEAD(entry_list, entry);

struct adapter_cache {
	cache_actions_t actions;
	void *ctx;
	cache_options_t options;
	GHashTable *table; /* adapter to entry_t */
	GQueue *at_hand;   /* names that the engine held, the newest first */
	struct entry_list entries;
	gboolean is_known; /* a report was read */
	gboolean has_model;
	gboolean is_busy;
	int64_t sequence; /* orders that the engine has accepted */
	ms_t accepted_at; /* when the last of them was */
	gboolean is_order_open;
	gboolean is_in_doubt;	/* the last order may yet be carried out */
	gboolean is_unanswered; /* it, or the same one before it, got no answer
				 */
	cache_order_kind_t order_kind;
	entry_t *ordered; /* NULL for a base model */
	/* A load that may be carried out once its number is reached; 0: none.
	 */
	int64_t late_sequence;
	gboolean is_report_open;
	gboolean is_look_due; /* what is known is in doubt */
	ms_t report_at;
	ms_t order_at; /* no order before */
};

adapter_cache_t *adapter_cache_create(const cache_options_t *options,
				      const cache_actions_t *actions, void *ctx)
{
	adapter_cache_t *cache = g_new0(adapter_cache_t, 1);

	cache->actions = *actions;
	cache->ctx = ctx;
	cache->options = *options;
	cache->at_hand = g_queue_new();
	cache->table = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&cache->entries);
	return cache;
}

static void entry_free(adapter_cache_t *cache, entry_t *entry)
{
	g_hash_table_remove(cache->table, entry->adapter);
	TAILQ_REMOVE(&cache->entries, entry, link);
	g_free(entry->adapter);
	g_free(entry);
}

void adapter_cache_destroy(adapter_cache_t *cache)
{
	entry_t *entry;

	while ((entry = TAILQ_FIRST(&cache->entries)))
		entry_free(cache, entry);
	g_hash_table_destroy(cache->table);
	g_queue_free_full(cache->at_hand, g_free);
	g_free(cache);
}

void adapter_cache_set_options(adapter_cache_t *cache,
			       const cache_options_t *options)
{
	cache->options.slot_count = options->slot_count;
}

static GList *find_at_hand(const adapter_cache_t *cache, const char *adapter)
{
	return g_queue_find_custom(cache->at_hand, adapter,
				   (GCompareFunc)strcmp);
}

static void remember_at_hand(adapter_cache_t *cache, const char *adapter)
{
	GList *at = find_at_hand(cache, adapter);

	if (at) {
		g_queue_unlink(cache->at_hand, at);
		g_queue_push_head_link(cache->at_hand, at);
		return;
	}
	g_queue_push_head(cache->at_hand, g_strdup(adapter));
	if (g_queue_get_length(cache->at_hand) > CACHE_AT_HAND_MAX)
		g_free(g_queue_pop_tail(cache->at_hand));
}

static ms_t *load_time(adapter_cache_t *cache, const char *adapter)
{
	return find_at_hand(cache, adapter) ? &cache->options.again_time
					    : &cache->options.load_time;
}

static entry_t *entry_get(adapter_cache_t *cache, const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (entry)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->adapter = g_strdup(adapter);
	g_hash_table_insert(cache->table, entry->adapter, entry);
	TAILQ_INSERT_TAIL(&cache->entries, entry, link);
	return entry;
}

/* An absent adapter that nobody wants and that no order names. */
static void entry_release(adapter_cache_t *cache, entry_t *entry)
{
	if (entry->state == STATE_ABSENT && !entry->is_wanted && !entry->uses &&
	    entry != cache->ordered)
		entry_free(cache, entry);
}

static gboolean is_usable(const entry_t *entry)
{
	return entry->state == STATE_RESIDENT &&
	       entry->version >= entry->wanted;
}

static void want(entry_t *entry, ms_t now)
{
	if (entry->is_wanted)
		return;
	entry->is_wanted = TRUE;
	entry->wanted_since = now;
}

gboolean adapter_cache_want(adapter_cache_t *cache, ms_t now,
			    const char *adapter, int64_t version,
			    int64_t *resident)
{
	entry_t *entry = entry_get(cache, adapter);

	entry->wanted = MAX(entry->wanted, version);
	entry->used_at = now;
	if (is_usable(entry)) {
		*resident = entry->version;
		return TRUE;
	}
	want(entry, now);
	return FALSE;
}

int64_t adapter_cache_version(const adapter_cache_t *cache, const char *adapter)
{
	const entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	return entry && is_usable(entry) ? entry->version : 0;
}

static void look_soon(adapter_cache_t *cache, ms_t now, ms_t delay)
{
	cache->report_at = now + delay;
}

void adapter_cache_unwant(adapter_cache_t *cache, const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry)
		return;
	entry->is_wanted = FALSE;
	entry_release(cache, entry);
}

/*
 * Engines share the store of weights: while it is the bound, each load takes
 * its part of the store's time.
 */
ms_t adapter_cache_load_wait(const adapter_cache_t *cache, const char *adapter)
{
	const cache_options_t *options = &cache->options;
	const entry_t *entry;
	ms_t each =
		(ms_t)((double)options->load_time / options->loads_per_engine);
	ms_t wait = 0;

	if (find_at_hand(cache, adapter))
		return options->again_time;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean is_ahead =
			entry->state == STATE_LOADING ||
			(entry->is_wanted && entry->state == STATE_ABSENT);

		if (is_ahead && !find_at_hand(cache, entry->adapter) &&
		    strcmp(entry->adapter, adapter))
			wait += each;
	}
	return wait + options->load_time;
}

void adapter_cache_use(adapter_cache_t *cache, ms_t now, const char *adapter)
{
	entry_t *entry = entry_get(cache, adapter);

	entry->uses++;
	entry->used_at = now;
}

void adapter_cache_release(adapter_cache_t *cache, ms_t now,
			   const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	g_assert(entry && entry->uses > 0);
	entry->uses--;
	entry->used_at = now;
	entry_release(cache, entry);
}

void adapter_cache_missing(adapter_cache_t *cache, ms_t now,
			   const char *adapter)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);

	if (!entry || entry->state != STATE_RESIDENT)
		return;
	if (entry->is_presumed) {
		*load_time(cache, adapter) += CACHE_LATE_MS / 4;
		entry->state = STATE_LOADING;
		entry->ready_at = now + CACHE_LATE_MS;
	}
	cache->is_look_due = TRUE;
	look_soon(cache, now, 0);
}

void adapter_cache_declare(adapter_cache_t *cache, ms_t now,
			   const char *adapter, int64_t version)
{
	entry_t *entry = g_hash_table_lookup(cache->table, adapter);
	gboolean was_usable;

	/* What the engine keeps at hand is of the older version. */
	if (find_at_hand(cache, adapter)) {
		GList *at = find_at_hand(cache, adapter);

		g_free(at->data);
		g_queue_delete_link(cache->at_hand, at);
	}
	if (!entry || version <= entry->wanted)
		return;
	was_usable = is_usable(entry);
	entry->wanted = version;
	if (!was_usable || is_usable(entry))
		return;
	cache->actions.dropped(cache->ctx, entry->adapter);
	want(entry, now);
}

static int count_coming(const adapter_cache_t *cache)
{
	const entry_t *entry;
	int coming = 0;

	TAILQ_FOREACH (entry, &cache->entries, link)
		coming += entry->state == STATE_LOADING;
	return coming;
}

static ms_t expected_time(adapter_cache_t *cache, const char *adapter)
{
	ms_t usual = *load_time(cache, adapter);
	double crowd = count_coming(cache) / cache->options.loads_per_engine;

	if (find_at_hand(cache, adapter) || crowd <= 1)
		return usual;
	return (ms_t)((double)usual * crowd);
}

static void order_took_effect(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry = cache->ordered;

	if (!entry) {
		cache->is_busy = TRUE;
		return;
	}
	if (cache->order_kind == CACHE_ORDER_LOAD) {
		entry->state = STATE_LOADING;
		entry->loading = MAX(entry->wanted, 1);
		entry->ready_at = now + expected_time(cache, entry->adapter);
	} else {
		entry->state = STATE_UNLOADING;
	}
}

static void order_is_settled(adapter_cache_t *cache)
{
	entry_t *entry = cache->ordered;

	cache->is_in_doubt = FALSE;
	cache->is_unanswered = FALSE;
	cache->ordered = NULL;
	if (entry)
		entry_release(cache, entry);
}

/* What was to be unloaded stays. */
static void unload_is_void(adapter_cache_t *cache)
{
	if (cache->ordered && cache->ordered->state == STATE_UNLOADING)
		cache->ordered->state = STATE_RESIDENT;
}

static void entry_is_gone(adapter_cache_t *cache, entry_t *entry)
{
	if (is_usable(entry))
		cache->actions.dropped(cache->ctx, entry->adapter);
	entry->state = STATE_ABSENT;
	entry->is_presumed = FALSE;
	entry->version = 0;
}

void adapter_cache_answered(adapter_cache_t *cache, ms_t now,
			    cache_answer_t answer)
{
	g_assert(cache->is_order_open);
	cache->is_order_open = FALSE;
	switch (answer) {
	case CACHE_ANSWER_ACCEPTED:
		cache->sequence++;
		cache->accepted_at = now;
		order_took_effect(cache, now);
		look_soon(cache, now, CACHE_POLL_MS);
		order_is_settled(cache);
		break;
	case CACHE_ANSWER_DONE:
		if (cache->ordered && cache->order_kind == CACHE_ORDER_UNLOAD) {
			cache->sequence++;
			cache->accepted_at = now;
			entry_is_gone(cache, cache->ordered);
		} else {
			order_took_effect(cache, now);
			look_soon(cache, now, 0);
		}
		order_is_settled(cache);
		break;
	case CACHE_ANSWER_REFUSED:
		cache->order_at = now + CACHE_RETRY_MS;
		unload_is_void(cache);
		order_is_settled(cache);
		look_soon(cache, now, 0);
		break;
	case CACHE_ANSWER_STALE:
	case CACHE_ANSWER_UNKNOWN:
		cache->is_in_doubt = TRUE;
		if (answer == CACHE_ANSWER_UNKNOWN)
			cache->is_unanswered = TRUE;
		cache->order_at = now + CACHE_AGAIN_MS;
		look_soon(cache, now, 0);
		break;
	}
}

static void entry_is_ready(adapter_cache_t *cache, ms_t now, entry_t *entry,
			   int64_t version)
{
	gboolean was_usable = is_usable(entry);

	entry->state = STATE_RESIDENT;
	entry->version = version;
	remember_at_hand(cache, entry->adapter);
	if (!is_usable(entry))
		return;
	if (entry->is_wanted || !was_usable)
		cache->actions.ready(cache->ctx, entry->adapter, version);
	entry->is_wanted = FALSE;
}

/* A version that is coming counts before the older one that it replaces. */
static const cache_resident_t *find(const cache_report_t *report,
				    const char *adapter)
{
	const cache_resident_t *found = NULL;
	guint i;

	for (i = 0; i < report->count; i++) {
		const cache_resident_t *resident = &report->residents[i];

		if (strcmp(resident->adapter, adapter))
			continue;
		if (!found || resident->is_coming)
			found = resident;
	}
	return found;
}

static void reconcile(adapter_cache_t *cache, ms_t now,
		      const cache_report_t *report)
{
	entry_t *entry;
	entry_t *next;
	guint i;

	for (i = 0; i < report->count; i++)
		entry_get(cache, report->residents[i].adapter);
	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		const cache_resident_t *seen = find(report, entry->adapter);

		next = TAILQ_NEXT(entry, link);
		if (!seen) {
			entry_is_gone(cache, entry);
			entry_release(cache, entry);
		} else if (seen->is_coming) {
			gboolean is_newer =
				entry->is_presumed &&
				now - entry->presumed_at < CACHE_REPORT_LAG_MS;

			if (entry->state == STATE_ABSENT ||
			    (entry->state == STATE_RESIDENT && !is_newer)) {
				entry->state = STATE_LOADING;
				entry->ready_at = now + CACHE_LATE_MS;
			}
		} else if (entry->state != STATE_UNLOADING) {
			entry->is_presumed = FALSE;
			entry_is_ready(cache, now, entry,
				       MAX(seen->version, 1));
		}
	}
}

/*
 * The number of accepted orders tells what became of an order in doubt: it was
 * carried out, or an older one was and made it void.  The report shows which.
 * A lower number than was counted here makes the order void as well.
 */
static void resolve_doubt(adapter_cache_t *cache, const cache_report_t *report)
{
	if (!cache->is_in_doubt || report->sequence == cache->sequence)
		return;
	unload_is_void(cache);
	if (report->sequence < cache->sequence && cache->is_unanswered &&
	    cache->order_kind == CACHE_ORDER_LOAD)
		cache->late_sequence = cache->sequence;
	order_is_settled(cache);
}

void adapter_cache_report(adapter_cache_t *cache, ms_t now,
			  const cache_report_t *report)
{
	cache->is_report_open = FALSE;
	cache->is_look_due = FALSE;
	cache->report_at = now + CACHE_POLL_MS;
	/* While an order is open, its answer says more. */
	if (!report || cache->is_order_open)
		return;
	/* Older than an order that was accepted. */
	if (cache->is_known && report->sequence < cache->sequence &&
	    now - cache->accepted_at < CACHE_REPORT_LAG_MS)
		return;
	resolve_doubt(cache, report);
	cache->sequence = report->sequence;
	cache->has_model = report->has_model;
	cache->is_busy = report->is_busy;
	cache->is_known = TRUE;
	reconcile(cache, now, report);
}

/* Adapters that take a slot, or may take one. */
static int slots_taken(const adapter_cache_t *cache, int *coming)
{
	const entry_t *entry;
	int taken = 0;

	*coming = 0;
	if (cache->late_sequence && cache->sequence <= cache->late_sequence)
		taken++;
	TAILQ_FOREACH (entry, &cache->entries, link) {
		gboolean may_come = entry == cache->ordered &&
				    cache->order_kind == CACHE_ORDER_LOAD;

		if (entry->state == STATE_LOADING || may_come)
			(*coming)++;
		taken += entry->state != STATE_ABSENT || may_come;
	}
	return taken;
}

static void refuse(adapter_cache_t *cache, entry_t *entry)
{
	entry->is_wanted = FALSE;
	cache->actions.refused(cache->ctx, entry->adapter);
	entry_release(cache, entry);
}

static void refuse_old_wants(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;
	entry_t *next;

	for (entry = TAILQ_FIRST(&cache->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		if (entry->is_wanted &&
		    now - entry->wanted_since >= CACHE_WANT_MS)
			refuse(cache, entry);
	}
}

/* The want that waits longest and that a load would meet. */
static entry_t *next_want(const adapter_cache_t *cache)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (!entry->is_wanted || is_usable(entry) ||
		    entry->state == STATE_LOADING ||
		    entry->state == STATE_UNLOADING)
			continue;
		if (!best || entry->wanted_since < best->wanted_since)
			best = entry;
	}
	return best;
}

static entry_t *next_victim(const adapter_cache_t *cache)
{
	entry_t *best = NULL;
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_RESIDENT || entry->is_wanted ||
		    entry->uses)
			continue;
		if (!best || entry->used_at < best->used_at)
			best = entry;
	}
	return best;
}

static gboolean is_unloading(const adapter_cache_t *cache)
{
	const entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state == STATE_UNLOADING)
			return TRUE;
	}
	return FALSE;
}

static void send_order(adapter_cache_t *cache)
{
	cache_order_t order = {
		.kind = cache->order_kind,
		.adapter = cache->ordered ? cache->ordered->adapter : NULL,
		.sequence = cache->sequence,
	};

	g_assert(!cache->is_order_open);
	cache->is_order_open = TRUE;
	cache->actions.send_order(cache->ctx, &order);
}

static void begin_order(adapter_cache_t *cache, cache_order_kind_t kind,
			entry_t *entry)
{
	cache->order_kind = kind;
	cache->ordered = entry;
	send_order(cache);
}

static void make_room(adapter_cache_t *cache, ms_t now, entry_t *for_entry)
{
	entry_t *victim = next_victim(cache);

	if (!victim) {
		if (!is_unloading(cache))
			refuse(cache, for_entry);
		return;
	}
	if (is_usable(victim))
		cache->actions.dropped(cache->ctx, victim->adapter);
	victim->state = STATE_UNLOADING;
	begin_order(cache, CACHE_ORDER_UNLOAD, victim);
}

static void order_next(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;
	int coming;
	int taken;

	if (cache->is_busy)
		return;
	if (!cache->has_model) {
		begin_order(cache, CACHE_ORDER_LOAD_MODEL, NULL);
		return;
	}
	entry = next_want(cache);
	if (!entry)
		return;
	taken = slots_taken(cache, &coming);
	if (coming >= CACHE_COMING_MAX)
		return;
	/* A newer version takes the slot of the older one. */
	if (entry->state == STATE_RESIDENT ||
	    taken < cache->options.slot_count) {
		g_assert(taken <= cache->options.slot_count ||
			 entry->state == STATE_RESIDENT);
		begin_order(cache, CACHE_ORDER_LOAD, entry);
	} else {
		make_room(cache, now, entry);
	}
}

static gboolean wants_report(const adapter_cache_t *cache, ms_t now)
{
	int coming;

	if (cache->is_report_open || now < cache->report_at)
		return FALSE;
	if (!cache->is_known || cache->is_in_doubt || cache->is_busy ||
	    cache->is_look_due)
		return TRUE;
	slots_taken(cache, &coming);
	return coming || is_unloading(cache) ||
	       now - cache->report_at >= CACHE_IDLE_REPORT_MS;
}

/* Loads whose usual time has passed. */
static void presume_ready(adapter_cache_t *cache, ms_t now)
{
	entry_t *entry;

	TAILQ_FOREACH (entry, &cache->entries, link) {
		if (entry->state != STATE_LOADING || now < entry->ready_at)
			continue;
		entry->is_presumed = TRUE;
		entry->presumed_at = now;
		entry_is_ready(cache, now, entry, MAX(entry->loading, 1));
	}
}

void adapter_cache_tick(adapter_cache_t *cache, ms_t now, gboolean may_order)
{
	presume_ready(cache, now);
	refuse_old_wants(cache, now);
	if (wants_report(cache, now)) {
		cache->is_report_open = TRUE;
		cache->actions.ask_report(cache->ctx);
	}
	if (!may_order || !cache->is_known || cache->is_order_open ||
	    now < cache->order_at)
		return;
	if (cache->is_in_doubt) {
		/* Not before a report has shown what became of it. */
		if (!cache->is_report_open)
			send_order(cache);
		return;
	}
	order_next(cache, now);
}

guint adapter_cache_count(const adapter_cache_t *cache)
{
	const entry_t *entry;
	guint count = 0;

	TAILQ_FOREACH (entry, &cache->entries, link)
		count += is_usable(entry);
	return count;
}
