#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/endpoint_private.h"

/* How often the engine is asked for its report, quiet and when it matters. */
#define REPORT_QUIET_MS	 2000
#define REPORT_URGENT_MS 250

/* Reports may be this old; what is younger proves nothing. */
#define REPORT_LAG_MAX_MS 3000

void endpoint_begin_order(endpoint_t *endpoint, int slot, const char *adapter,
			  gboolean is_load)
{
	slot_order_t *order = &endpoint->orders[slot];

	g_assert(order->state == ORDER_NONE);
	order->state = ORDER_INTENDED;
	order->is_load = is_load;
	g_free(order->adapter);
	order->adapter = g_strdup(adapter);
	endpoint->actions->intend(endpoint->ctx, endpoint, slot, adapter,
				  is_load);
}

static void end_order(slot_order_t *order, gboolean ok)
{
	endpoint_t *endpoint = order->endpoint;
	char *adapter = g_steal_pointer(&order->adapter);
	ms_t now = endpoint_now(endpoint);

	order->state = ORDER_NONE;
	if (order->is_load) {
		endpoint->actions->load_ended(endpoint->ctx, endpoint, adapter,
					      FALSE);
		slots_load_ended(endpoint->slots, now, order->slot, ok);
	} else {
		slots_unload_ended(endpoint->slots, now, order->slot, ok);
	}
	g_free(adapter);
}

/* No load has failed; the slot is not tried again while it is inherited. */
static void order_not_given(slot_order_t *order)
{
	endpoint_t *endpoint = order->endpoint;
	char *adapter = g_steal_pointer(&order->adapter);
	ms_t now = endpoint_now(endpoint);

	order->state = ORDER_NONE;
	if (order->is_load) {
		if (order->is_inherited)
			slots_quarantine(endpoint->slots, now, order->slot);
		endpoint->actions->load_ended(endpoint->ctx, endpoint, adapter,
					      TRUE);
		slots_load_not_sent(endpoint->slots, now, order->slot);
	} else {
		if (order->is_inherited)
			slots_set_predecessor_busy(endpoint->slots,
						   order->slot);
		slots_unload_ended(endpoint->slots, now, order->slot, FALSE);
	}
	g_free(adapter);
}

/* Whether the engine may still carry out an order that failed so. */
static gboolean is_order_open(const GError *error)
{
	error_kind_t kind = error_kind(error);

	return kind == ERROR_TIMEOUT || kind == ERROR_INTERRUPTED;
}

/* What the slot holds after an order that was carried out or refused. */
static const char *held_after(const slot_order_t *order, gboolean ok)
{
	return ok == order->is_load ? order->adapter : NULL;
}

static void count_order(const slot_order_t *order, const GError *error)
{
	counter_add(counter_get(order->is_load ? "hc_owner_loads_total"
					       : "hc_owner_unloads_total"),
		    1);
	if (!error)
		return;
	counter_add(counter_get("hc_owner_failed_orders_total"), 1);
	log_warn("order failed", "endpoint", order->endpoint->id, "adapter",
		 order->adapter, "reason", error->message, NULL);
}

static void on_order_done(void *ctx, const GError *error)
{
	slot_order_t *order = ctx;
	endpoint_t *endpoint = order->endpoint;

	order->task = NULL;
	count_order(order, error);
	if (error && is_order_open(error)) {
		endpoint->actions->order_lost(endpoint->ctx, endpoint,
					      order->slot);
		endpoint_quarantine(endpoint, order->slot);
	} else {
		endpoint->actions->settled(endpoint->ctx, endpoint, order->slot,
					   held_after(order, !error));
	}
	end_order(order, error == NULL);
}

static void log_not_given(const slot_order_t *order, const char *reason)
{
	log_warn("order not given", "endpoint", order->endpoint->id, "order",
		 order->is_load ? "load" : "unload", "adapter", order->adapter,
		 "reason", reason, NULL);
}

void endpoint_intended(endpoint_t *endpoint, int slot, gboolean ok)
{
	slot_order_t *order = &endpoint->orders[slot];
	int64_t fence;

	if (order->state != ORDER_INTENDED)
		return;
	if (!ok) {
		log_not_given(order, "the intent is not recorded");
		order_not_given(order);
		return;
	}
	if (!endpoint->actions->may_order(endpoint->ctx, endpoint, slot,
					  &fence)) {
		log_not_given(order, "the lease ended meanwhile");
		endpoint->actions->settled(endpoint->ctx, endpoint, slot,
					   held_after(order, FALSE));
		order_not_given(order);
		return;
	}
	order->state = ORDER_SENT;
	order->task = link_order(endpoint->link,
				 order->is_load ? LINK_LOAD : LINK_UNLOAD, slot,
				 order->adapter, fence, on_order_done, order);
}

void endpoint_refuse_order(endpoint_t *endpoint, int slot,
			   gboolean is_inherited)
{
	endpoint->orders[slot].state = ORDER_REFUSED;
	endpoint->orders[slot].is_inherited = is_inherited;
}

void endpoint_order_tick(endpoint_t *endpoint)
{
	int i;

	for (i = 0; i < endpoint->slot_count; i++) {
		if (endpoint->orders[i].state == ORDER_REFUSED)
			order_not_given(&endpoint->orders[i]);
	}
}

void endpoint_fence(endpoint_t *endpoint, int64_t epoch, link_order_done_t done,
		    void *ctx)
{
	link_order(endpoint->link, LINK_FENCE, -1, "", epoch, done, ctx);
}

/* Orders that were under way at an engine that restarted are void. */
static void drop_orders(endpoint_t *endpoint)
{
	int i;

	for (i = 0; i < endpoint->slot_count; i++) {
		slot_order_t *order = &endpoint->orders[i];

		if (order->state == ORDER_NONE)
			continue;
		if (order->task)
			link_order_cancel(order->task);
		order->task = NULL;
		if (order->state == ORDER_SENT)
			endpoint_quarantine(endpoint, i);
		order->state = ORDER_NONE;
		g_clear_pointer(&order->adapter, g_free);
	}
}

void endpoint_engine_restarted(endpoint_t *endpoint)
{
	log_warn("engine restarted", "endpoint", endpoint->id, NULL);
	counter_add(counter_get("hc_owner_engine_restarts_total"), 1);
	drop_orders(endpoint);
	endpoint->actions->restarted(endpoint->ctx, endpoint);
	slots_engine_restarted(endpoint->slots, endpoint_now(endpoint));
}

void endpoint_uncertain_free(gpointer data)
{
	uncertain_t *open = data;

	g_free(open->adapter);
	g_free(open);
}

void endpoint_mark_uncertain(endpoint_t *endpoint, const run_t *run)
{
	uncertain_t *open = g_new0(uncertain_t, 1);

	open->id = run->id;
	open->adapter = g_strdup(run->message->adapter);
	open->since = endpoint_now(endpoint);
	g_hash_table_insert(endpoint->uncertain, &open->id, open);
	endpoint->next_report = open->since + REPORT_URGENT_MS;
}

/* Runs of an adapter that were open and known to the engine at a time. */
static int count_open(const endpoint_t *endpoint, const char *adapter,
		      ms_t as_of)
{
	GHashTableIter iter;
	gpointer value;
	int count = 0;

	g_hash_table_iter_init(&iter, endpoint->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const run_t *run = value;

		if (run->state == RUN_STARTED && run->started_at < as_of &&
		    !strcmp(run->message->adapter, adapter))
			count++;
	}
	return count;
}

/*
 * Whether the engine runs nothing of an adapter beside the runs whose end is
 * awaited here.
 */
static gboolean is_settled(const endpoint_t *endpoint,
			   const link_report_t *report, const char *adapter,
			   ms_t as_of)
{
	int running = 0;
	int i;

	for (i = 0; i < report->slot_count; i++) {
		if (!strcmp(report->slots[i].adapter, adapter))
			running = MAX(running, report->slots[i].running);
	}
	return running <= count_open(endpoint, adapter, as_of);
}

static void resolve_uncertain(endpoint_t *endpoint, ms_t as_of,
			      const link_report_t *report)
{
	GSList *resolved = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, endpoint->uncertain);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const uncertain_t *open = value;

		if (as_of < open->since ||
		    !is_settled(endpoint, report, open->adapter, as_of))
			continue;
		resolved = g_slist_prepend(resolved, value);
		g_hash_table_iter_steal(&iter);
	}
	while (resolved) {
		uncertain_t *open = resolved->data;

		slots_uncertain_resolved(endpoint->slots,
					 endpoint_now(endpoint), open->id);
		endpoint_uncertain_free(open);
		resolved = g_slist_delete_link(resolved, resolved);
	}
}

static void on_report(void *ctx, const link_report_t *report)
{
	endpoint_t *endpoint = ctx;
	ms_t as_of = endpoint->report_asked_at - REPORT_LAG_MAX_MS;

	endpoint->is_report_open = FALSE;
	if (!report)
		return;
	resolve_uncertain(endpoint, as_of, report);
	endpoint->actions->reported(endpoint->ctx, endpoint, report, as_of);
}

void endpoint_report_tick(endpoint_t *endpoint, ms_t now)
{
	gboolean is_urgent =
		endpoint->is_watched || g_hash_table_size(endpoint->uncertain);

	if (!endpoint->is_engine || endpoint->is_report_open ||
	    now < endpoint->next_report)
		return;
	endpoint->is_report_open = TRUE;
	endpoint->report_asked_at = now;
	endpoint->next_report =
		now + (is_urgent ? REPORT_URGENT_MS : REPORT_QUIET_MS);
	link_ask_report(endpoint->link, on_report, endpoint);
}

/* What a former owner left. */

void endpoint_adopt(endpoint_t *endpoint, int slot, const char *adapter)
{
	int i;

	/* A second copy may be serving, but is of no use here. */
	for (i = 0; i < endpoint->slot_count; i++) {
		if (!g_strcmp0(slots_adapter(endpoint->slots, i), adapter))
			return;
	}
	slots_add_resident(endpoint->slots, endpoint_now(endpoint), slot,
			   adapter);
	endpoint->is_watched = TRUE;
}

/* An empty slot that was left alone may be used, or is refused once more. */
static void release_inherited(endpoint_t *endpoint, slot_order_t *order)
{
	if (!order->is_inherited)
		return;
	order->is_inherited = FALSE;
	if (order->is_load && order->state == ORDER_NONE)
		slots_release(endpoint->slots, endpoint_now(endpoint),
			      order->slot);
}

void endpoint_idle(endpoint_t *endpoint, const char *adapter)
{
	int i;

	for (i = 0; i < endpoint->slot_count; i++) {
		release_inherited(endpoint, &endpoint->orders[i]);
		if (!g_strcmp0(slots_adapter(endpoint->slots, i), adapter))
			slots_clear_predecessor_busy(endpoint->slots,
						     endpoint_now(endpoint), i);
	}
}

void endpoint_quarantine(endpoint_t *endpoint, int slot)
{
	ms_t now = endpoint_now(endpoint);

	endpoint->is_watched = TRUE;
	endpoint->next_report = now + REPORT_URGENT_MS;
	slots_quarantine(endpoint->slots, now, slot);
}

void endpoint_slot_ready(endpoint_t *endpoint, int slot, const char *adapter)
{
	slots_release_as(endpoint->slots, endpoint_now(endpoint), slot,
			 adapter);
}

void endpoint_set_watched(endpoint_t *endpoint, gboolean is_watched)
{
	endpoint->is_watched = is_watched;
}
