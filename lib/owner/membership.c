#include "owner/membership.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_member.h"
#include "base/log.h"
#include "member/list_client.h"
#include "member/member.h"

#define RECORD_PREFIX "hc/instance/"

/* Interval of reading the instance records until another one was found. */
#define RECORDS_RETRY_MS 2000

/* Interval of reading them after that, to rejoin a partitioned fleet. */
#define RECORDS_PERIOD_MS 60000

struct membership {
	process_t *process;
	kv_t *kv;
	membership_events_t events;
	void *ctx;
	member_place_t place;
	member_t *member;
	peers_t *peers;
	list_client_t *list;
	live_owners_t *view;
	gboolean is_reading;
	ms_t next_read;
};

static ms_t now_of(const membership_t *membership)
{
	return ms_clock_now(process_clock(membership->process));
}

static const char *self_name(const membership_t *membership)
{
	return process_settings(membership->process)->instance;
}

/* Events of the member. */

static void on_send(void *ctx, const char *to, const member_place_t *place,
		    const member_message_t *message)
{
	membership_t *membership = ctx;
	codec_writer_t writer;

	if (place && place->owner_port)
		peers_add(membership->peers, to, place->address,
			  place->owner_port);
	member_message_write(message, &writer);
	peers_send(membership->peers, to, &writer);
}

/* Suspects count as alive, as most of them are. */
static gboolean is_alive(const member_info_t *info)
{
	return info->state == MEMBER_ALIVE || info->state == MEMBER_SUSPECT ||
	       info->state == MEMBER_LEAVING;
}

static void set_owner(membership_t *membership, const member_info_t *info)
{
	live_owner_t owner = {info->name,
			      info->place->address,
			      info->place->owner_port,
			      info->place->region,
			      info->place->failure_domain,
			      info->is_leaving || info->state == MEMBER_LEAVING,
			      info->generation};

	live_owners_set(membership->view, &owner);
	if (!info->is_self)
		peers_add(membership->peers, info->name, info->place->address,
			  info->place->owner_port);
}

static void on_change(void *ctx, const member_info_t *info)
{
	membership_t *membership = ctx;

	log_info("member", "name", info->name, "state",
		 member_state_name(info->state), NULL);
	if (is_alive(info) && info->place && info->place->owner_port) {
		set_owner(membership, info);
	} else {
		live_owners_remove(membership->view, info->name);
		if (info->state == MEMBER_LEFT)
			peers_remove(membership->peers, info->name);
	}
	membership->events.on_view(membership->ctx);
}

static void on_endpoint(void *ctx, const char *endpoint, gboolean is_leaving)
{
	membership_t *membership = ctx;

	log_info("endpoint leaving state changed", "endpoint", endpoint,
		 "leaving", is_leaving ? "true" : "false", NULL);
	membership->events.on_endpoint(membership->ctx, endpoint, is_leaving);
}

static void on_generation(void *ctx, const char *peer, int64_t generation)
{
	membership_t *membership = ctx;

	membership->events.on_generation(membership->ctx, peer, generation);
}

static void on_leave_requested(void *ctx)
{
	membership_t *membership = ctx;

	membership->events.on_leave_requested(membership->ctx);
}

/* Events of the connections. */

static void on_up(void *ctx, const char *name)
{
	membership_t *membership = ctx;

	membership->events.on_up(membership->ctx, name);
}

static void on_down(void *ctx, const char *name)
{
	membership_t *membership = ctx;

	membership->events.on_down(membership->ctx, name);
}

static void on_message(void *ctx, const char *name,
		       const msgpack_object *message)
{
	membership_t *membership = ctx;

	if (membership_is_message(message))
		membership_receive(membership, message);
	else
		membership->events.on_message(membership->ctx, name, message);
}

/* The platform's list. */

static void on_listed(void *ctx, const list_item_t *item)
{
	membership_t *membership = ctx;
	member_place_t place = {(char *)item->address,
				0,
				item->port,
				0,
				(char *)item->region,
				(char *)item->failure_domain};

	member_apply_listing(membership->member, item->name,
			     item->port ? &place : NULL, item->is_leaving,
			     now_of(membership));
}

static void on_listed_endpoint(void *ctx, const list_item_t *item)
{
	membership_t *membership = ctx;

	member_apply_endpoint_listing(membership->member, item->name,
				      item->is_leaving, now_of(membership));
}

static void on_list_read(void *ctx, const GError *error)
{
	if (error)
		log_warn("failed to read the instance list", "reason",
			 error->message, NULL);
}

/* The records in the key-value service. */

static void handle_record(membership_t *membership, const kv_item_t *item)
{
	const char *name = item->key + strlen(RECORD_PREFIX);
	member_place_t place = {0};
	JsonNode *root;
	JsonObject *object;

	if (!strcmp(name, self_name(membership)))
		return;
	root = json_load_node(item->value);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		object = json_node_get_object(root);
		place.address =
			(char *)json_object_get_string_member_with_default(
				object, "address", "");
		place.owner_port = (int)json_object_get_int_member_with_default(
			object, "owner_port", 0);
		place.region =
			(char *)json_object_get_string_member_with_default(
				object, "region", "");
		place.failure_domain =
			(char *)json_object_get_string_member_with_default(
				object, "failure_domain", "");
		/* Peers reject messages in which one of these is empty. */
		if (*place.address && place.owner_port && *place.region &&
		    *place.failure_domain)
			member_apply_listing(membership->member, name, &place,
					     FALSE, now_of(membership));
	}
	if (root)
		json_node_free(root);
}

static void on_records(void *ctx, kv_status_t status, const kv_item_t *items,
		       size_t count, int64_t revision, const GError *error)
{
	membership_t *membership = ctx;
	size_t i;

	membership->is_reading = FALSE;
	if (status != KV_DONE)
		return;
	for (i = 0; i < count; i++)
		handle_record(membership, &items[i]);
	if (live_owners_count(membership->view) > 1 || count > 1)
		membership->next_read = now_of(membership) + RECORDS_PERIOD_MS;
}

static void read_records(membership_t *membership, ms_t now)
{
	if (!membership->kv || membership->is_reading ||
	    now < membership->next_read)
		return;
	membership->is_reading = TRUE;
	membership->next_read = now + RECORDS_RETRY_MS;
	kv_list(membership->kv, RECORD_PREFIX, on_records, membership);
}

static gboolean create_list_client(membership_t *membership, GError **error)
{
	static const list_events_t events = {on_listed, on_listed_endpoint,
					     on_list_read};
	const process_settings_t *settings =
		process_settings(membership->process);
	char *host;
	int port;

	if (!*settings->instance_list)
		return TRUE;
	if (!process_split_address(settings->instance_list, &host, &port,
				   error))
		return FALSE;
	membership->list = list_client_create(
		process_loop(membership->process),
		process_client(membership->process), host, port,
		g_rand_int(process_rand(membership->process)), &events,
		membership);
	g_free(host);
	return TRUE;
}

static void create_member(membership_t *membership)
{
	static const member_events_t events = {on_send, on_change, on_endpoint,
					       on_generation,
					       on_leave_requested};
	const process_settings_t *settings =
		process_settings(membership->process);
	member_options_t options = {0};
	live_owner_t self = {settings->instance,
			     settings->address,
			     (int)settings->owner_port,
			     settings->region,
			     settings->failure_domain,
			     FALSE,
			     0};

	membership->place.address = settings->address;
	membership->place.entry_port = (int)settings->entry_port;
	membership->place.owner_port = (int)settings->owner_port;
	membership->place.admin_port = (int)settings->admin_port;
	membership->place.region = settings->region;
	membership->place.failure_domain = settings->failure_domain;
	options.name = settings->instance;
	options.place = &membership->place;
	options.incarnation = ms_clock_wall() / MS_PER_S;
	options.seed = g_rand_int(process_rand(membership->process));
	live_owners_set(membership->view, &self);
	membership->member = member_create(&options, &events, membership,
					   now_of(membership));
}

membership_t *membership_create(process_t *process, kv_t *kv,
				const membership_events_t *events, void *ctx,
				GError **error)
{
	static const peers_events_t peers = {on_up, on_down, on_message};
	membership_t *membership = g_new0(membership_t, 1);

	membership->process = process;
	membership->kv = kv;
	membership->events = *events;
	membership->ctx = ctx;
	membership->view = live_owners_create();
	membership->peers = peers_create(process_identity(process, "owner"),
					 &peers, membership);
	create_member(membership);
	return create_list_client(membership, error) ? membership : NULL;
}

gboolean membership_is_message(const msgpack_object *message)
{
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	return type >= MEMBER_TYPE_FIRST && type < MEMBER_TYPE_END;
}

void membership_receive(membership_t *membership, const msgpack_object *object)
{
	GError *error = NULL;
	member_message_t *message = member_message_read(object, &error);

	if (!message) {
		log_warn("message dropped", "reason", error->message, NULL);
		g_error_free(error);
		return;
	}
	member_receive(membership->member, message, now_of(membership));
	member_message_free(message);
}

ms_t membership_due(const membership_t *membership)
{
	return member_due(membership->member);
}

void membership_tick(membership_t *membership)
{
	ms_t now = now_of(membership);

	if (now >= member_due(membership->member))
		member_tick(membership->member, now);
	read_records(membership, now);
}

void membership_set_generation(membership_t *membership, int64_t generation)
{
	member_set_generation(membership->member, generation,
			      now_of(membership));
}

void membership_leave(membership_t *membership)
{
	member_leave(membership->member, now_of(membership));
}

void membership_left(membership_t *membership)
{
	member_end_leave(membership->member, now_of(membership));
}

const live_owners_t *membership_view(const membership_t *membership)
{
	return membership->view;
}

gboolean membership_send(membership_t *membership, const char *instance,
			 codec_writer_t *message)
{
	return peers_send(membership->peers, instance, message);
}

gboolean membership_is_up(const membership_t *membership, const char *instance)
{
	return peers_is_connected(membership->peers, instance);
}

gboolean membership_endpoint_is_leaving(const membership_t *membership,
					const char *endpoint)
{
	return member_endpoint_is_leaving(membership->member, endpoint);
}
