#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/owner_private.h"

/* Retry-after of MESSAGE_PLACED if no endpoint can serve an adapter. */
#define UNPLACED_RETRY_MS 1000

/* Messages of entries. */

static void refuse_not_owner(conn_t *conn, const message_run_t *run)
{
	message_not_run_t refusal = {
		MESSAGE_NOT_RUN, run->request, run->attempt,
		ERROR_CONFLICT,	 NULL,	       0};

	refusal.reason = g_strdup_printf(
		"endpoint '%s' has another owner; retry", run->endpoint);
	owner_send_conn(conn, &refusal);
	g_free(refusal.reason);
}

/*
 * Returns whether the endpoint can serve the request.  A request for an adapter
 * needs an engine with its base model, any other needs a plain service.
 */
static gboolean can_serve(owner_t *owner, const endpoint_t *endpoint,
			  const message_run_t *run)
{
	if (!*run->adapter)
		return !endpoint_is_engine(endpoint);
	return owner_is_compatible(owner, run->endpoint, run->adapter);
}

static void refuse_incompatible(conn_t *conn, const message_run_t *run)
{
	message_not_run_t refusal = {
		MESSAGE_NOT_RUN, run->request, run->attempt,
		ERROR_CONFLICT,	 NULL,	       0};

	refusal.reason = g_strdup_printf(
		"endpoint '%s' does not serve this service or base model; "
		"retry",
		run->endpoint);
	counter_add(counter_get("hc_owner_wrong_endpoint_total"), 1);
	owner_send_conn(conn, &refusal);
	g_free(refusal.reason);
}

static void handle_run(owner_t *owner, conn_t *conn, message_run_t *run)
{
	endpoint_t *endpoint =
		owned_endpoints_find(owner->endpoints, run->endpoint);

	if (endpoint && !can_serve(owner, endpoint, run)) {
		refuse_incompatible(conn, run);
		message_free(run);
		return;
	}
	if (!endpoint) {
		refuse_not_owner(conn, run);
		message_free(run);
		return;
	}
	endpoint_run(endpoint, conn, run);
}

static void handle_cancel(owner_t *owner, const message_cancel_t *cancel)
{
	endpoint_t *endpoint =
		owned_endpoints_find_run(owner->endpoints, cancel->request);

	if (endpoint)
		endpoint_cancel(endpoint, cancel);
}

static void handle_place(owner_t *owner, conn_t *conn,
			 const message_place_t *place)
{
	message_placed_t placed = {MESSAGE_PLACED, place->ticket, NULL, NULL,
				   0};
	home_choice_t choice;
	home_result_t result;

	if (place->avoid)
		home_load_failed(owner->home, owner_now(owner), place->adapter,
				 place->avoid);
	result = home_place(owner->home, owner_now(owner), place->adapter,
			    place->is_crowded, &choice);
	if (result == HOME_NO_ENDPOINT) {
		placed.retry_after = UNPLACED_RETRY_MS;
	} else {
		placed.endpoint = (char *)choice.endpoint;
		placed.owner = (char *)choice.owner;
	}
	owner_send_conn(conn, &placed);
}

static void handle_share_ask(owner_t *owner, conn_t *conn,
			     const message_share_request_t *ask)
{
	message_share_t share = {MESSAGE_SHARE, ask->limit, 0};

	if (!ask->limit)
		return;
	share.share = quota_home_request_share(
		owner->quota_home, owner_now(owner), ask->limit,
		conn_peer_instance(conn), ask->demand,
		live_owners_count(membership_view(owner->membership)));
	owner_send_conn(conn, &share);
}

/* Messages of other owners. */

static void handle_demote(owner_t *owner, const message_demote_t *demote)
{
	endpoint_t *endpoint =
		owned_endpoints_find(owner->endpoints, demote->endpoint);

	if (endpoint)
		endpoint_demote(endpoint, demote->adapter);
}

/* Handles an expected request at the owner of the endpoint. */
static void expect_at_owner(owner_t *owner, const message_expect_t *expect)
{
	endpoint_t *endpoint =
		owned_endpoints_find(owner->endpoints, expect->endpoint);
	double likelihood = (double)expect->likelihood / MESSAGE_LIKELIHOOD_MAX;

	if (endpoint && !endpoint_is_retired(endpoint) &&
	    owner_is_compatible(owner, expect->endpoint, expect->adapter))
		endpoint_expect(endpoint, expect->adapter,
				CLAMP(likelihood, 0, 1));
}

/*
 * Handles an expected request at the home of the adapter: chooses the endpoint
 * as for a request.
 */
static void expect_at_home(owner_t *owner, const message_expect_t *expect)
{
	message_expect_t chosen = *expect;
	home_choice_t choice;

	if (home_place(owner->home, owner_now(owner), expect->adapter, FALSE,
		       &choice) == HOME_NO_ENDPOINT)
		return;
	chosen.endpoint = (char *)choice.endpoint;
	if (!strcmp(choice.owner, owner_instance(owner)))
		expect_at_owner(owner, &chosen);
	else
		owner_send_peer(owner, choice.owner, &chosen);
}

static void handle_expect(owner_t *owner, const message_expect_t *expect)
{
	if (!expect->adapter)
		return;
	if (expect->endpoint)
		expect_at_owner(owner, expect);
	else
		expect_at_home(owner, expect);
}

static void handle_part_ask(owner_t *owner, conn_t *conn,
			    const message_part_request_t *ask)
{
	follower_t *follower = follow_get_follower(owner->follow);
	GBytes *bytes = ask->name ? follower_serve(follower, ask->name) : NULL;
	message_part_t part = {MESSAGE_PART, ask->ticket, bytes != NULL, bytes};

	owner_send_conn(conn, &part);
	if (bytes)
		g_bytes_unref(bytes);
}

/* Handles a message about load grants; the endpoint implies the store. */
static void handle_grants(owner_t *owner, const char *from, const void *message)
{
	/* The first members are the same in each of these messages. */
	const message_grant_t *head = message;

	if (head->endpoint)
		owned_endpoints_receive(owner->endpoints, from, head->endpoint,
					message);
}

static void dispatch(owner_t *owner, conn_t *conn, void *message)
{
	switch (message_type(message)) {
	case MESSAGE_RUN:
		handle_run(owner, conn, message);
		return;
	case MESSAGE_CANCEL:
		handle_cancel(owner, message);
		break;
	case MESSAGE_PLACE:
		handle_place(owner, conn, message);
		break;
	case MESSAGE_SHARE_REQUEST:
		handle_share_ask(owner, conn, message);
		break;
	case MESSAGE_EXPECT:
		handle_expect(owner, message);
		break;
	case MESSAGE_DEMOTE:
		handle_demote(owner, message);
		break;
	case MESSAGE_LOAD_REQUEST:
	case MESSAGE_LOAD_CANCEL:
	case MESSAGE_LOAD_ENDED:
	case MESSAGE_GRANT:
		handle_grants(owner, conn_peer_instance(conn), message);
		break;
	case MESSAGE_PART_REQUEST:
		handle_part_ask(owner, conn, message);
		break;
	default:
		break;
	}
	message_free(message);
}

static void log_malformed(const GError *error)
{
	log_warn("message dropped", "reason", error->message, NULL);
	counter_add(counter_get("hc_bad_messages_total"), 1);
}

/* News. */

static char *subscriber_name(const conn_t *conn)
{
	return g_strconcat(conn_peer_role(conn), "/", conn_peer_instance(conn),
			   NULL);
}

/* Handles a news message; returns FALSE if it is of another type. */
static gboolean handle_news(owner_t *owner, conn_t *conn, const char *instance,
			    const msgpack_object *object)
{
	updates_message_t *message;
	codec_reader_t reader;
	GError *error = NULL;
	int type;

	codec_read_init(&reader, object, &type);
	if (type < UPDATES_TYPE_FIRST || type >= UPDATES_TYPE_END)
		return FALSE;
	message = updates_message_read(object, &error);
	if (!message) {
		log_malformed(error);
		g_error_free(error);
		return TRUE;
	}
	if (message->type == UPDATES_SUBSCRIBE && conn) {
		char *name = subscriber_name(conn);

		g_hash_table_replace(owner->subscribers, g_strdup(name), conn);
		updates_sender_subscribe(owner->news, name, owner_now(owner));
		g_free(name);
	} else if (message->type != UPDATES_SUBSCRIBE) {
		placement_feed_handle_message(owner->table, instance, message,
					      owner_now(owner));
	}
	updates_message_free(message);
	return TRUE;
}

/* The list of live owners, sent to the processes of this instance. */

typedef struct {
	owner_t *owner;
	conn_t *conn;
} members_target_t;

static void send_member(void *ctx, const live_owner_t *member)
{
	const members_target_t *target = ctx;
	message_live_owner_t message = {
		MESSAGE_LIVE_OWNER,	 (char *)member->instance,
		(char *)member->address, member->owner_port,
		(char *)member->region,	 (char *)member->failure_domain,
		member->is_leaving,	 0};

	if (!strcmp(member->instance, owner_instance(target->owner)))
		message.generation = follower_generation(
			follow_get_follower(target->owner->follow));
	owner_send_conn(target->conn, &message);
}

static void send_members(owner_t *owner, conn_t *conn)
{
	message_live_owner_t last = {
		MESSAGE_LIVE_OWNER, NULL, NULL, 0, NULL, NULL, FALSE, 0};
	members_target_t target = {owner, conn};

	live_owners_foreach(membership_view(owner->membership), send_member,
			    &target);
	owner_send_conn(conn, &last);
}

void owner_view_changed(owner_t *owner)
{
	GHashTableIter iter;
	gpointer conn;

	if (!owner->follow)
		return;
	g_hash_table_iter_init(&iter, owner->local_conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		send_members(owner, conn);
}

/* Events of connections that other processes opened to this owner. */

static void on_ready(void *ctx, conn_t *conn)
{
	owner_t *owner = ctx;

	if (strcmp(conn_peer_instance(conn), owner_instance(owner)) != 0 ||
	    !strcmp(conn_peer_role(conn), "owner"))
		return;
	g_hash_table_add(owner->local_conns, conn);
	send_members(owner, conn);
}

static void on_message(void *ctx, conn_t *conn, const msgpack_object *object)
{
	owner_t *owner = ctx;
	GError *error = NULL;
	void *message;

	if (membership_is_message(object)) {
		membership_receive(owner->membership, object);
		return;
	}
	if (handle_news(owner, conn, conn_peer_instance(conn), object))
		return;
	message = message_read(object, &error);
	if (message) {
		dispatch(owner, conn, message);
		return;
	}
	log_malformed(error);
	g_error_free(error);
}

static void on_close(void *ctx, conn_t *conn, const GError *reason)
{
	owner_t *owner = ctx;
	char *name;

	owned_endpoints_requester_closed(owner->endpoints, conn);
	g_hash_table_remove(owner->local_conns, conn);
	if (!conn_peer_role(conn))
		return;
	name = subscriber_name(conn);
	if (g_hash_table_lookup(owner->subscribers, name) == conn) {
		g_hash_table_remove(owner->subscribers, name);
		updates_sender_unsubscribe(owner->news, name);
	}
	g_free(name);
}

const conn_events_t owner_conn_events = {on_ready, on_message, on_close};

/* Messages on connections that this owner opened. */

static void handle_part(owner_t *owner, const message_part_t *part)
{
	gsize size = 0;
	const char *data = g_bytes_get_data(part->data, &size);

	follower_peer_answer(follow_get_follower(owner->follow),
			     (uint64_t)part->ticket,
			     part->is_here ? (data ? data : "") : NULL, size);
}

void owner_receive_peer(void *ctx, const char *instance,
			const msgpack_object *object)
{
	owner_t *owner = ctx;
	GError *error = NULL;
	void *message;

	if (handle_news(owner, NULL, instance, object))
		return;
	message = message_read(object, &error);
	if (!message) {
		log_malformed(error);
		g_error_free(error);
		return;
	}
	if (message_type(message) == MESSAGE_PART)
		handle_part(owner, message);
	message_free(message);
}
