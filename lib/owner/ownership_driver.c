#include "owner/ownership_driver.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_build.h"
#include "base/log.h"
#include "own/ownership.h"
#include "owner/listener_identity.h"

struct tenure {
	process_t *process;
	tenure_actions_t actions;
	void *ctx;
	lease_t *lease;
	ownership_t *own;
	document_t *document;
	ms_t lease_due;
	ms_t own_due;
	gboolean is_stopping;
	gboolean is_releasing; /* the lease, once all endpoints are released */
};

/* A fence order that is under way. */
typedef struct {
	tenure_t *tenure;
	char *endpoint;
	int64_t epoch;
	ms_t sent_at;
} fence_t;

static ms_t now_of(const tenure_t *tenure)
{
	return ms_clock_now(process_clock(tenure->process));
}

/* Actions of the ownership. */

static void adopt_slots(tenure_t *tenure, endpoint_t *endpoint,
			const endpoint_record_t *record)
{
	int count = endpoint_slot_count(endpoint);
	guint i;

	for (i = 0; i < record->slot_count && (int)i < count; i++) {
		const slot_intent_t *slot = &record->slots[i];

		if (!ownership_is_slot_usable(tenure->own,
					      endpoint_id(endpoint), i))
			endpoint_quarantine(endpoint, (int)i);
		else if (slot->adapter)
			endpoint_adopt(endpoint, (int)i, slot->adapter);
	}
}

static void on_owned(void *ctx, const char *id, const endpoint_record_t *record)
{
	tenure_t *tenure = ctx;
	endpoint_t *endpoint =
		tenure->actions.take(tenure->ctx, id, record->epoch);

	if (!endpoint)
		return;
	if (endpoint_is_engine(endpoint))
		adopt_slots(tenure, endpoint, record);
}

static void on_lost(void *ctx, const char *id)
{
	tenure_t *tenure = ctx;

	tenure->actions.drop(tenure->ctx, id);
}

static void on_fenced(void *ctx, const GError *error)
{
	fence_t *fence = ctx;
	tenure_t *tenure = fence->tenure;

	/* Silence says nothing; only a refusal does. */
	if (!error || error_kind(error) == ERROR_FENCED)
		ownership_fence_answered(tenure->own, now_of(tenure),
					 fence->endpoint, fence->epoch, !error,
					 fence->sent_at);
	g_free(fence->endpoint);
	g_free(fence);
}

static void on_send_fence(void *ctx, const char *id, int64_t epoch)
{
	tenure_t *tenure = ctx;
	endpoint_t *endpoint = tenure->actions.find(tenure->ctx, id);
	fence_t *fence;

	if (!endpoint)
		return;
	fence = g_new0(fence_t, 1);
	fence->tenure = tenure;
	fence->endpoint = g_strdup(id);
	fence->epoch = epoch;
	fence->sent_at = now_of(tenure);
	endpoint_fence(endpoint, epoch, on_fenced, fence);
}

static void on_slot_ready(void *ctx, const char *id, guint slot,
			  const char *adapter)
{
	tenure_t *tenure = ctx;
	endpoint_t *endpoint = tenure->actions.find(tenure->ctx, id);

	if (!endpoint)
		return;
	endpoint_slot_ready(endpoint, (int)slot, adapter);
	/* It may have become idle while it was in quarantine. */
	if (adapter &&
	    ownership_may_change(tenure->own, now_of(tenure), id, slot))
		endpoint_idle(endpoint, adapter);
}

static void on_adapter_idle(void *ctx, const char *id, const char *adapter)
{
	tenure_t *tenure = ctx;
	endpoint_t *endpoint = tenure->actions.find(tenure->ctx, id);

	if (endpoint)
		endpoint_idle(endpoint, adapter);
}

static void on_wake(void *ctx)
{
	tenure_t *tenure = ctx;

	tenure->lease_due = 0;
	tenure->own_due = 0;
}

static const ownership_actions_t ownership_actions = {
	.owned = on_owned,
	.lost = on_lost,
	.send_fence = on_send_fence,
	.slot_ready = on_slot_ready,
	.adapter_idle = on_adapter_idle,
	.wake = on_wake,
};

/* The record of this instance, by which operators and peers find it. */
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

tenure_t *tenure_create(process_t *process, kv_t *kv,
			const tenure_actions_t *actions, void *ctx)
{
	const process_settings_t *settings = process_settings(process);
	tenure_t *tenure = g_new0(tenure_t, 1);
	char *place =
		place_identity(settings->address, (int)settings->owner_port);
	char *record = render_record(settings, place);
	lease_options_t lease = {settings->instance,
				 record,
				 LEASE_TTL_MS,
				 LEASE_MARGIN_MS,
				 LEASE_RENEW_MS,
				 LEASE_RETRY_MS,
				 on_wake,
				 tenure};
	ownership_options_t options;

	tenure->process = process;
	tenure->actions = *actions;
	tenure->ctx = ctx;
	tenure->lease = lease_create(kv, &lease);
	ownership_options_init(&options);
	options.place = place;
	tenure->own = ownership_create(kv, tenure->lease, &options,
				       &ownership_actions, tenure);
	g_free(record);
	g_free(place);
	return tenure;
}

void tenure_destroy(tenure_t *tenure)
{
	ownership_destroy(tenure->own);
	lease_destroy(tenure->lease);
	document_unref(tenure->document);
	g_free(tenure);
}

void tenure_set_document(tenure_t *tenure, document_t *document)
{
	const document_endpoint_t *endpoints;
	ownership_endpoint_t *list;
	size_t count;
	size_t i;

	document_ref(document);
	document_unref(tenure->document);
	tenure->document = document;
	endpoints = document_endpoints(document, &count);
	list = g_new0(ownership_endpoint_t, count);
	for (i = 0; i < count; i++) {
		list[i].id = endpoints[i].id;
		list[i].failure_domain = endpoints[i].failure_domain;
		list[i].slot_count = (guint)endpoints[i].adapter_slots;
		list[i].checks_fencing = endpoints[i].checks_fencing;
	}
	ownership_set_endpoints(tenure->own, now_of(tenure), list, count);
	g_free(list);
	on_wake(tenure);
}

static void add_member(void *ctx, const live_owner_t *owner)
{
	GArray *members = ctx;
	assign_member_t member = {owner->instance, owner->failure_domain};

	if (!owner->is_leaving)
		g_array_append_val(members, member);
}

void tenure_set_view(tenure_t *tenure, const live_owners_t *view)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(assign_member_t));

	live_owners_foreach(view, add_member, members);
	ownership_set_members(tenure->own, now_of(tenure),
			      (const assign_member_t *)(void *)members->data,
			      members->len);
	g_array_free(members, TRUE);
	on_wake(tenure);
}

ms_t tenure_due(const tenure_t *tenure)
{
	return MIN(tenure->lease_due, tenure->own_due);
}

void tenure_tick(tenure_t *tenure)
{
	ms_t now = now_of(tenure);

	if (now >= tenure->lease_due) {
		ms_t due;

		/* What happens in the tick may ask for an earlier one. */
		tenure->lease_due = MS_NEVER;
		due = lease_tick(tenure->lease, now);
		tenure->lease_due = MIN(tenure->lease_due, due);
	}
	if (now >= tenure->own_due) {
		ms_t due;

		tenure->own_due = MS_NEVER;
		due = ownership_tick(tenure->own, now);
		tenure->own_due = MIN(tenure->own_due, due);
	}
	if (tenure->is_stopping && !tenure->is_releasing &&
	    ownership_is_stopped(tenure->own)) {
		tenure->is_releasing = TRUE;
		lease_release(tenure->lease);
	}
}

gboolean tenure_may_serve(tenure_t *tenure, const char *endpoint)
{
	return ownership_may_serve(tenure->own, now_of(tenure), endpoint);
}

static void on_intent(void *ctx, const char *id, guint slot,
		      gboolean is_recorded)
{
	tenure_t *tenure = ctx;
	endpoint_t *endpoint = tenure->actions.find(tenure->ctx, id);

	if (endpoint)
		endpoint_intended(endpoint, (int)slot, is_recorded);
}

void tenure_intend(tenure_t *tenure, endpoint_t *endpoint, int slot,
		   const char *adapter, gboolean is_load)
{
	const char *id = endpoint_id(endpoint);
	ms_t now = now_of(tenure);
	change_blocker_t obstacle =
		ownership_change_blocker(tenure->own, now, id, (guint)slot);

	if (obstacle != BLOCKER_NONE) {
		log_warn("order not given", "endpoint", id, "order",
			 is_load ? "load" : "unload", "adapter", adapter,
			 "reason", change_blocker_text(obstacle), NULL);
		endpoint_refuse_order(endpoint, slot,
				      obstacle == BLOCKER_INHERITED);
		return;
	}
	ownership_record_intent(tenure->own, now, id, (guint)slot,
				is_load ? INTENT_LOADING : INTENT_UNLOADING,
				adapter, on_intent, tenure);
	tenure->own_due = 0;
}

gboolean tenure_may_order(tenure_t *tenure, endpoint_t *endpoint, int slot,
			  int64_t *fence)
{
	const char *id = endpoint_id(endpoint);
	ms_t now = now_of(tenure);

	if (!ownership_may_order(tenure->own, now, id, (guint)slot))
		return FALSE;
	*fence = ownership_order_epoch(tenure->own, now, id, (guint)slot);
	return TRUE;
}

void tenure_settled(tenure_t *tenure, endpoint_t *endpoint, int slot,
		    const char *adapter)
{
	ownership_order_ended(tenure->own, now_of(tenure),
			      endpoint_id(endpoint), (guint)slot, adapter);
	tenure->own_due = 0;
}

void tenure_order_lost(tenure_t *tenure, endpoint_t *endpoint, int slot)
{
	ownership_order_unknown(tenure->own, now_of(tenure),
				endpoint_id(endpoint), (guint)slot);
}

/* Reports matter while slots are in quarantine or a predecessor may serve. */
static gboolean is_watched(const tenure_t *tenure, endpoint_t *endpoint)
{
	const char *id = endpoint_id(endpoint);
	int i;

	for (i = 0; i < endpoint_slot_count(endpoint); i++) {
		if (!ownership_is_slot_usable(tenure->own, id, (guint)i))
			return TRUE;
	}
	return ownership_predecessor_lease(tenure->own, id) != 0;
}

void tenure_reported(tenure_t *tenure, endpoint_t *endpoint,
		     const link_report_t *report, ms_t as_of)
{
	ownership_slot_report_t *slots =
		g_new0(ownership_slot_report_t, report->slot_count);
	int i;

	for (i = 0; i < report->slot_count; i++) {
		const link_slot_t *seen = &report->slots[i];

		slots[i].state = seen->is_resident  ? INTENT_RESIDENT
				 : seen->is_loading ? INTENT_LOADING
						    : INTENT_EMPTY;
		slots[i].adapter = *seen->adapter ? seen->adapter : NULL;
		slots[i].running = seen->running;
	}
	ownership_report(tenure->own, now_of(tenure), endpoint_id(endpoint),
			 slots, (guint)report->slot_count, as_of);
	endpoint_set_watched(endpoint, is_watched(tenure, endpoint));
	tenure->own_due = 0;
	g_free(slots);
}

void tenure_restarted(tenure_t *tenure, endpoint_t *endpoint)
{
	ownership_engine_restarted(tenure->own, now_of(tenure),
				   endpoint_id(endpoint));
	tenure->own_due = 0;
}

void tenure_stop(tenure_t *tenure)
{
	tenure->is_stopping = TRUE;
	ownership_stop(tenure->own, now_of(tenure));
	tenure->own_due = 0;
}

gboolean tenure_is_stopped(const tenure_t *tenure)
{
	return tenure->is_releasing && lease_is_released(tenure->lease);
}

gboolean tenure_is_valid(const tenure_t *tenure)
{
	return lease_is_valid(tenure->lease, now_of(tenure));
}
