#include "owner/ownership_driver.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_build.h"
#include "base/log.h"
#include "own/ownership.h"
#include "owner/listener_identity.h"

struct ownership_driver {
	process_t *process;
	ownership_driver_actions_t actions;
	void *ctx;
	lease_t *lease;
	ownership_t *ownership;
	document_t *document;
	ms_t lease_due;
	ms_t ownership_due;
	gboolean is_stopping;
	gboolean is_lease_releasing; /* lease_release() was called */
};

/* A fence order that was sent and not yet answered. */
typedef struct {
	ownership_driver_t *driver;
	char *endpoint;
	int64_t epoch;
	ms_t sent_at;
} fence_t;

static ms_t now_of(const ownership_driver_t *driver)
{
	return ms_clock_now(process_clock(driver->process));
}

/* Actions of the ownership. */

static void inherit_slots(ownership_driver_t *driver, endpoint_t *endpoint,
			  const endpoint_record_t *record)
{
	int count = endpoint_slot_count(endpoint);
	guint i;

	for (i = 0; i < record->slot_count && (int)i < count; i++) {
		const slot_intent_t *slot = &record->slots[i];

		if (!ownership_is_slot_usable(driver->ownership,
					      endpoint_id(endpoint), i))
			endpoint_quarantine(endpoint, (int)i);
		else if (slot->adapter)
			endpoint_inherit_slot(endpoint, (int)i, slot->adapter);
	}
}

static void on_owned(void *ctx, const char *id, const endpoint_record_t *record)
{
	ownership_driver_t *driver = ctx;
	endpoint_t *endpoint =
		driver->actions.acquired(driver->ctx, id, record->epoch);

	if (!endpoint)
		return;
	if (endpoint_is_engine(endpoint))
		inherit_slots(driver, endpoint, record);
}

static void on_lost(void *ctx, const char *id)
{
	ownership_driver_t *driver = ctx;

	driver->actions.lost(driver->ctx, id);
}

static void on_fenced(void *ctx, const GError *error)
{
	fence_t *fence = ctx;
	ownership_driver_t *driver = fence->driver;

	/* A failed call proves nothing about the fence; a refusal does. */
	if (!error || error_kind(error) == ERROR_FENCED)
		ownership_fence_answered(driver->ownership, now_of(driver),
					 fence->endpoint, fence->epoch, !error,
					 fence->sent_at);
	g_free(fence->endpoint);
	g_free(fence);
}

static void on_send_fence(void *ctx, const char *id, int64_t epoch)
{
	ownership_driver_t *driver = ctx;
	endpoint_t *endpoint = driver->actions.find(driver->ctx, id);
	fence_t *fence;

	if (!endpoint)
		return;
	fence = g_new0(fence_t, 1);
	fence->driver = driver;
	fence->endpoint = g_strdup(id);
	fence->epoch = epoch;
	fence->sent_at = now_of(driver);
	endpoint_fence(endpoint, epoch, on_fenced, fence);
}

static void on_slot_ready(void *ctx, const char *id, guint slot,
			  const char *adapter)
{
	ownership_driver_t *driver = ctx;
	endpoint_t *endpoint = driver->actions.find(driver->ctx, id);

	if (!endpoint)
		return;
	endpoint_end_quarantine(endpoint, (int)slot, adapter);
	/* The adapter may have become idle during the quarantine. */
	if (adapter &&
	    ownership_may_change(driver->ownership, now_of(driver), id, slot))
		endpoint_adapter_idle(endpoint, adapter);
}

static void on_adapter_idle(void *ctx, const char *id, const char *adapter)
{
	ownership_driver_t *driver = ctx;
	endpoint_t *endpoint = driver->actions.find(driver->ctx, id);

	if (endpoint)
		endpoint_adapter_idle(endpoint, adapter);
}

static void on_wake(void *ctx)
{
	ownership_driver_t *driver = ctx;

	driver->lease_due = 0;
	driver->ownership_due = 0;
}

static const ownership_actions_t ownership_actions = {
	.owned = on_owned,
	.lost = on_lost,
	.send_fence = on_send_fence,
	.slot_ready = on_slot_ready,
	.adapter_idle = on_adapter_idle,
	.wake = on_wake,
};

/* Renders the instance record, in which operators and peers find addresses. */
static char *render_record(const process_settings_t *settings,
			   const char *place)
{
	JsonBuilder *builder = json_builder_new();
	const struct {
		const char *program;
		int64_t port;
	} programs[] = {{"hc-entry", settings->entry_status_port},
			{"hc-owner", settings->owner_status_port},
			{"hc-admin", settings->admin_status_port}};
	size_t i;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "address");
	json_builder_add_string_value(builder, settings->address);
	json_builder_set_member_name(builder, "owner_port");
	json_builder_add_int_value(builder, settings->owner_port);
	json_builder_set_member_name(builder, "region");
	json_builder_add_string_value(builder, settings->region);
	json_builder_set_member_name(builder, "failure_domain");
	json_builder_add_string_value(builder, settings->failure_domain);
	json_builder_set_member_name(builder, "place");
	json_builder_add_string_value(builder, place);
	json_builder_set_member_name(builder, "http");
	json_builder_begin_object(builder);
	for (i = 0; i < G_N_ELEMENTS(programs); i++) {
		char *address = g_strdup_printf("%s:%d", settings->address,
						(int)programs[i].port);

		json_builder_set_member_name(builder, programs[i].program);
		json_builder_add_string_value(builder, address);
		g_free(address);
	}
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	return json_build_end(builder, FALSE);
}

ownership_driver_t *
ownership_driver_create(process_t *process, kv_t *kv,
			const ownership_driver_actions_t *actions, void *ctx)
{
	const process_settings_t *settings = process_settings(process);
	ownership_driver_t *driver = g_new0(ownership_driver_t, 1);
	char *place =
		listener_identity(settings->address, (int)settings->owner_port);
	char *record = render_record(settings, place);
	lease_options_t lease = {settings->instance,
				 record,
				 LEASE_TTL_MS,
				 LEASE_MARGIN_MS,
				 LEASE_RENEW_MS,
				 LEASE_RETRY_MS,
				 0,
				 on_wake,
				 driver};
	ownership_options_t options;

	driver->process = process;
	driver->actions = *actions;
	driver->ctx = ctx;
	driver->lease = lease_create(kv, &lease);
	ownership_options_init(&options);
	options.place = place;
	driver->ownership = ownership_create(kv, driver->lease, &options,
					     &ownership_actions, driver);
	g_free(record);
	g_free(place);
	return driver;
}

void ownership_driver_destroy(ownership_driver_t *driver)
{
	ownership_destroy(driver->ownership);
	lease_destroy(driver->lease);
	document_unref(driver->document);
	g_free(driver);
}

void ownership_driver_set_document(ownership_driver_t *driver,
				   document_t *document)
{
	const document_endpoint_t *endpoints;
	ownership_endpoint_t *list;
	size_t count;
	size_t i;

	document_ref(document);
	document_unref(driver->document);
	driver->document = document;
	endpoints = document_endpoints(document, &count);
	list = g_new0(ownership_endpoint_t, count);
	for (i = 0; i < count; i++) {
		list[i].id = endpoints[i].id;
		list[i].failure_domain = endpoints[i].failure_domain;
		list[i].slot_count = (guint)endpoints[i].adapter_slots;
		list[i].checks_fencing = endpoints[i].checks_fencing;
	}
	ownership_set_endpoints(driver->ownership, now_of(driver), list, count);
	g_free(list);
	on_wake(driver);
}

static void add_member(void *ctx, const live_owner_t *owner)
{
	GArray *members = ctx;
	assign_member_t member = {owner->instance, owner->failure_domain};

	if (!owner->is_leaving)
		g_array_append_val(members, member);
}

void ownership_driver_set_view(ownership_driver_t *driver,
			       const live_owners_t *view)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(assign_member_t));

	live_owners_foreach(view, add_member, members);
	ownership_set_members(driver->ownership, now_of(driver),
			      (const assign_member_t *)(void *)members->data,
			      members->len);
	g_array_free(members, TRUE);
	on_wake(driver);
}

ms_t ownership_driver_due(const ownership_driver_t *driver)
{
	return MIN(driver->lease_due, driver->ownership_due);
}

void ownership_driver_tick(ownership_driver_t *driver)
{
	ms_t now = now_of(driver);

	if (now >= driver->lease_due) {
		ms_t due;

		/* A callback during the tick may request an earlier one. */
		driver->lease_due = MS_NEVER;
		due = lease_tick(driver->lease, now);
		driver->lease_due = MIN(driver->lease_due, due);
	}
	if (now >= driver->ownership_due) {
		ms_t due;

		driver->ownership_due = MS_NEVER;
		due = ownership_tick(driver->ownership, now);
		driver->ownership_due = MIN(driver->ownership_due, due);
	}
	if (driver->is_stopping && !driver->is_lease_releasing &&
	    ownership_is_stopped(driver->ownership)) {
		driver->is_lease_releasing = TRUE;
		lease_release(driver->lease);
	}
}

gboolean ownership_driver_may_serve(ownership_driver_t *driver,
				    const char *endpoint)
{
	return ownership_may_serve(driver->ownership, now_of(driver), endpoint);
}

static void on_intent_recorded(void *ctx, const char *id, guint slot,
			       gboolean is_recorded)
{
	ownership_driver_t *driver = ctx;
	endpoint_t *endpoint = driver->actions.find(driver->ctx, id);

	if (endpoint)
		endpoint_intent_recorded(endpoint, (int)slot, is_recorded);
}

void ownership_driver_record_intent(ownership_driver_t *driver,
				    endpoint_t *endpoint, int slot,
				    const char *adapter, gboolean is_load)
{
	const char *id = endpoint_id(endpoint);
	ms_t now = now_of(driver);
	change_blocker_t obstacle = ownership_change_blocker(
		driver->ownership, now, id, (guint)slot);

	if (obstacle != BLOCKER_NONE) {
		log_warn("order not given", "endpoint", id, "order",
			 is_load ? "load" : "unload", "adapter", adapter,
			 "reason", change_blocker_text(obstacle), NULL);
		endpoint_refuse_order(endpoint, slot,
				      obstacle == BLOCKER_INHERITED);
		return;
	}
	ownership_record_intent(driver->ownership, now, id, (guint)slot,
				is_load ? INTENT_LOADING : INTENT_UNLOADING,
				adapter, on_intent_recorded, driver);
	driver->ownership_due = 0;
}

gboolean ownership_driver_may_order(ownership_driver_t *driver,
				    endpoint_t *endpoint, int slot,
				    int64_t *fence)
{
	const char *id = endpoint_id(endpoint);
	ms_t now = now_of(driver);

	if (!ownership_may_order(driver->ownership, now, id, (guint)slot))
		return FALSE;
	*fence = ownership_order_epoch(driver->ownership, now, id, (guint)slot);
	return TRUE;
}

void ownership_driver_order_ended(ownership_driver_t *driver,
				  endpoint_t *endpoint, int slot,
				  const char *adapter)
{
	ownership_order_ended(driver->ownership, now_of(driver),
			      endpoint_id(endpoint), (guint)slot, adapter);
	driver->ownership_due = 0;
}

void ownership_driver_order_lost(ownership_driver_t *driver,
				 endpoint_t *endpoint, int slot)
{
	ownership_order_unknown(driver->ownership, now_of(driver),
				endpoint_id(endpoint), (guint)slot);
}

/*
 * Returns whether a slot is in quarantine or a former owner may still serve, so
 * that reports are needed soon.
 */
static gboolean needs_reports(const ownership_driver_t *driver,
			      endpoint_t *endpoint)
{
	const char *id = endpoint_id(endpoint);
	int i;

	for (i = 0; i < endpoint_slot_count(endpoint); i++) {
		if (!ownership_is_slot_usable(driver->ownership, id, (guint)i))
			return TRUE;
	}
	return ownership_predecessor_lease(driver->ownership, id) != 0;
}

void ownership_driver_reported(ownership_driver_t *driver, endpoint_t *endpoint,
			       const load_report_t *report, ms_t as_of)
{
	ownership_slot_report_t *slots =
		g_new0(ownership_slot_report_t, report->slot_count);
	int i;

	for (i = 0; i < report->slot_count; i++) {
		const load_report_slot_t *seen = &report->slots[i];

		slots[i].state = seen->is_resident  ? INTENT_RESIDENT
				 : seen->is_loading ? INTENT_LOADING
						    : INTENT_EMPTY;
		slots[i].adapter = *seen->adapter ? seen->adapter : NULL;
		slots[i].running = seen->running;
	}
	ownership_report(driver->ownership, now_of(driver),
			 endpoint_id(endpoint), slots,
			 (guint)report->slot_count, as_of);
	endpoint_set_report_urgent(endpoint, needs_reports(driver, endpoint));
	driver->ownership_due = 0;
	g_free(slots);
}

void ownership_driver_restarted(ownership_driver_t *driver,
				endpoint_t *endpoint)
{
	ownership_engine_restarted(driver->ownership, now_of(driver),
				   endpoint_id(endpoint));
	driver->ownership_due = 0;
}

void ownership_driver_stop(ownership_driver_t *driver)
{
	driver->is_stopping = TRUE;
	ownership_stop(driver->ownership, now_of(driver));
	driver->ownership_due = 0;
}

gboolean ownership_driver_is_stopped(const ownership_driver_t *driver)
{
	return driver->is_lease_releasing && lease_is_released(driver->lease);
}

gboolean ownership_driver_lease_is_valid(const ownership_driver_t *driver)
{
	return lease_is_valid(driver->lease, now_of(driver));
}
