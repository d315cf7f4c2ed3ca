#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/endpoint_private.h"

/*
 * Interval of reading the engine's report; the urgent one applies while a slot
 * or the end of a run is uncertain.
 */
#define REPORT_QUIET_MS	 2000
#define REPORT_URGENT_MS 250

/*
 * The data of a report may be this old when the report is requested, so a
 * report proves nothing about changes in that time.
 */
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
	endpoint->actions->record_intent(endpoint->ctx, endpoint, slot, adapter,
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

/*
 * Ends an order that was not sent.  It does not count as a failed load.  A slot
 * that a former owner may still use is not tried again until
 * endpoint_adapter_idle().
 */
static void end_unsent_order(slot_order_t *order)
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

/* Returns whether the engine may still carry out an order with this error. */
static gboolean may_take_effect(const GError *error)
{
	error_kind_t kind = error_kind(error);

	return kind == ERROR_TIMEOUT || kind == ERROR_INTERRUPTED;
}

/* Returns the adapter in the slot after an order was carried out or refused. */
static const char *adapter_after(const slot_order_t *order, gboolean ok)
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
	if (error && may_take_effect(error)) {
		endpoint->actions->order_lost(endpoint->ctx, endpoint,
					      order->slot);
		endpoint_quarantine(endpoint, order->slot);
	} else {
		endpoint->actions->order_ended(endpoint->ctx, endpoint,
					       order->slot,
					       adapter_after(order, !error));
	}
	end_order(order, error == NULL);
}

static void log_unsent_order(const slot_order_t *order, const char *reason)
{
	log_warn("order not given", "endpoint", order->endpoint->id, "order",
		 order->is_load ? "load" : "unload", "adapter", order->adapter,
		 "reason", reason, NULL);
}

void endpoint_intent_recorded(endpoint_t *endpoint, int slot, gboolean ok)
{
	slot_order_t *order = &endpoint->orders[slot];
	int64_t fence;

	if (order->state != ORDER_INTENDED)
		return;
	if (!ok) {
		log_unsent_order(order, "the intent could not be recorded");
		end_unsent_order(order);
		return;
	}
	if (!endpoint->actions->may_order(endpoint->ctx, endpoint, slot,
					  &fence)) {
		log_unsent_order(order,
				 "the lease ended before the order was sent");
		endpoint->actions->order_ended(endpoint->ctx, endpoint, slot,
					       adapter_after(order, FALSE));
		end_unsent_order(order);
		return;
	}
	order->state = ORDER_SENT;
	order->task = endpoint_client_order(
		endpoint->client,
		order->is_load ? CLIENT_ORDER_LOAD : CLIENT_ORDER_UNLOAD, slot,
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
			end_unsent_order(&endpoint->orders[i]);
	}
}

void endpoint_fence(endpoint_t *endpoint, int64_t epoch,
		    client_order_done_t done, void *ctx)
{
	endpoint_client_order(endpoint->client, CLIENT_ORDER_FENCE, -1, "",
			      epoch, done, ctx);
}

/* Aborts all orders; a restarted engine does not carry them out. */
static void abort_orders(endpoint_t *endpoint)
{
	int i;

	for (i = 0; i < endpoint->slot_count; i++) {
		slot_order_t *order = &endpoint->orders[i];

		if (order->state == ORDER_NONE)
			continue;
		if (order->task)
			client_order_cancel(order->task);
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
	abort_orders(endpoint);
	endpoint->actions->engine_restarted(endpoint->ctx, endpoint);
	slots_engine_restarted(endpoint->slots, endpoint_now(endpoint));
}

void endpoint_uncertain_free(gpointer data)
{
	uncertain_run_t *uncertain = data;

	g_free(uncertain->adapter);
	g_free(uncertain);
}

void endpoint_mark_uncertain(endpoint_t *endpoint, const run_t *run)
{
	uncertain_run_t *uncertain = g_new0(uncertain_run_t, 1);

	uncertain->id = run->id;
	uncertain->adapter = g_strdup(run->message->adapter);
	uncertain->since = endpoint_now(endpoint);
	g_hash_table_insert(endpoint->uncertain, &uncertain->id, uncertain);
	endpoint->report_due = uncertain->since + REPORT_URGENT_MS;
}

/* Counts the active runs of an adapter that were started before as_of. */
static int count_active(const endpoint_t *endpoint, const char *adapter,
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
 * Returns whether the engine reports no more runs of an adapter than are active
 * here, so that no run with an unknown end is left.
 */
static gboolean has_no_unknown_runs(const endpoint_t *endpoint,
				    const load_report_t *report,
				    const char *adapter, ms_t as_of)
{
	int running = 0;
	int i;

	for (i = 0; i < report->slot_count; i++) {
		if (!strcmp(report->slots[i].adapter, adapter))
			running = MAX(running, report->slots[i].running);
	}
	return running <= count_active(endpoint, adapter, as_of);
}

static void resolve_uncertain(endpoint_t *endpoint, ms_t as_of,
			      const load_report_t *report)
{
	GSList *resolved = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, endpoint->uncertain);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const uncertain_run_t *uncertain = value;

		if (as_of < uncertain->since ||
		    !has_no_unknown_runs(endpoint, report, uncertain->adapter,
					 as_of))
			continue;
		resolved = g_slist_prepend(resolved, value);
		g_hash_table_iter_steal(&iter);
	}
	while (resolved) {
		uncertain_run_t *uncertain = resolved->data;

		slots_uncertain_resolved(endpoint->slots,
					 endpoint_now(endpoint), uncertain->id);
		endpoint_uncertain_free(uncertain);
		resolved = g_slist_delete_link(resolved, resolved);
	}
}

static void on_report(void *ctx, const load_report_t *report)
{
	endpoint_t *endpoint = ctx;
	ms_t as_of = endpoint->report_requested_at - REPORT_LAG_MAX_MS;

	endpoint->is_report_pending = FALSE;
	if (!report)
		return;
	resolve_uncertain(endpoint, as_of, report);
	endpoint->actions->slots_reported(endpoint->ctx, endpoint, report,
					  as_of);
}

void endpoint_report_tick(endpoint_t *endpoint, ms_t now)
{
	gboolean is_urgent = endpoint->is_report_urgent ||
			     g_hash_table_size(endpoint->uncertain);

	if (!endpoint->is_engine || endpoint->is_report_pending ||
	    now < endpoint->report_due)
		return;
	endpoint->is_report_pending = TRUE;
	endpoint->report_requested_at = now;
	endpoint->report_due =
		now + (is_urgent ? REPORT_URGENT_MS : REPORT_QUIET_MS);
	endpoint_client_read_report(endpoint->client, on_report, endpoint);
}

/* Slots inherited from a former owner. */

void endpoint_inherit_slot(endpoint_t *endpoint, int slot, const char *adapter)
{
	int i;

	/* The slots track one copy of an adapter; ignore a second one. */
	for (i = 0; i < endpoint->slot_count; i++) {
		if (!g_strcmp0(slots_adapter(endpoint->slots, i), adapter))
			return;
	}
	slots_add_resident(endpoint->slots, endpoint_now(endpoint), slot,
			   adapter);
	endpoint->is_report_urgent = TRUE;
}

/*
 * Makes an empty inherited slot usable.  If the former owner may still use it,
 * the next order for it is refused again.
 */
static void release_inherited(endpoint_t *endpoint, slot_order_t *order)
{
	if (!order->is_inherited)
		return;
	order->is_inherited = FALSE;
	if (order->is_load && order->state == ORDER_NONE)
		slots_release(endpoint->slots, endpoint_now(endpoint),
			      order->slot);
}

void endpoint_adapter_idle(endpoint_t *endpoint, const char *adapter)
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

	endpoint->is_report_urgent = TRUE;
	endpoint->report_due = now + REPORT_URGENT_MS;
	slots_quarantine(endpoint->slots, now, slot);
}

void endpoint_end_quarantine(endpoint_t *endpoint, int slot,
			     const char *adapter)
{
	slots_release_as(endpoint->slots, endpoint_now(endpoint), slot,
			 adapter);
}

void endpoint_set_report_urgent(endpoint_t *endpoint, gboolean is_urgent)
{
	endpoint->is_report_urgent = is_urgent;
}
