#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "owner/owner_private.h"

/* When to come back if no endpoint can take an adapter. */
#define RETRY_NOWHERE_MS 1000

/* Runs, cancels and places, from entries. */

static void refuse_run(conn_t *conn, const message_run_t *run)
{
	message_not_run_t refusal = {
		MESSAGE_NOT_RUN, run->request, run->attempt,
		ERROR_CONFLICT,	 NULL,	       0};

	refusal.reason = g_strdup_printf(
		"endpoint '%s' has another owner; ask again", run->endpoint);
	owner_send_conn(conn, &refusal);
	g_free(refusal.reason);
}

/* A request for an adapter runs at an engine of its base model or nowhere. */
static gboolean is_for(owner_t *owner, const endpoint_t *endpoint,
		       const message_run_t *run)
{
	if (!*run->adapter)
		return !endpoint_is_engine(endpoint);
	return owner_may_hold(owner, run->endpoint, run->adapter);
}

static void refuse_wrong_endpoint(conn_t *conn, const message_run_t *run)
{
	message_not_run_t refusal = {
		MESSAGE_NOT_RUN, run->request, run->attempt,
		ERROR_CONFLICT,	 NULL,	       0};

	refusal.reason = g_strdup_printf(
		"endpoint '%s' is of another service; ask again",
		run->endpoint);
	counter_add(counter_get("hc_owner_wrong_endpoint_total"), 1);
	owner_send_conn(conn, &refusal);
	g_free(refusal.reason);
}

static void take_run(owner_t *owner, conn_t *conn, message_run_t *run)
{
	endpoint_t *endpoint = hosting_find(owner->hosting, run->endpoint);

	if (endpoint && !is_for(owner, endpoint, run)) {
		refuse_wrong_endpoint(conn, run);
		message_free(run);
		return;
	}
	if (!endpoint) {
		refuse_run(conn, run);
		message_free(run);
		return;
	}
	endpoint_run(endpoint, conn, run);
}

static void take_cancel(owner_t *owner, const message_cancel_t *cancel)
{
	endpoint_t *endpoint =
		hosting_find_run(owner->hosting, cancel->request);

	if (endpoint)
		endpoint_cancel(endpoint, cancel);
}

static void take_place(owner_t *owner, conn_t *conn,
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
		placed.retry_after = RETRY_NOWHERE_MS;
	} else {
		placed.endpoint = (char *)choice.endpoint;
		placed.owner = (char *)choice.owner;
	}
	owner_send_conn(conn, &placed);
}

static void take_share_ask(owner_t *owner, conn_t *conn,
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

/* Between owners. */

static void take_demote(owner_t *owner, const message_demote_t *demote)
{
	endpoint_t *endpoint = hosting_find(owner->hosting, demote->endpoint);

	if (endpoint)
		endpoint_demote(endpoint, demote->adapter);
}

/* To the owner of an endpoint. */
static void expect_here(owner_t *owner, const message_expect_t *expect)
{
	endpoint_t *endpoint = hosting_find(owner->hosting, expect->endpoint);
	double likelihood = (double)expect->likelihood / MESSAGE_LIKELIHOOD_MAX;

	if (endpoint && !endpoint_is_retired(endpoint) &&
	    owner_may_hold(owner, expect->endpoint, expect->adapter))
		endpoint_expect(endpoint, expect->adapter,
				CLAMP(likelihood, 0, 1));
}

/* To the home of an adapter: choose the endpoint, as for a request. */
static void expect_anywhere(owner_t *owner, const message_expect_t *expect)
{
	message_expect_t chosen = *expect;
	home_choice_t choice;

	if (home_place(owner->home, owner_now(owner), expect->adapter, FALSE,
		       &choice) == HOME_NO_ENDPOINT)
		return;
	chosen.endpoint = (char *)choice.endpoint;
	if (!strcmp(choice.owner, owner_self(owner)))
		expect_here(owner, &chosen);
	else
		owner_send_peer(owner, choice.owner, &chosen);
}

static void take_expect(owner_t *owner, const message_expect_t *expect)
{
	if (!expect->adapter)
		return;
	if (expect->endpoint)
		expect_here(owner, expect);
	else
		expect_anywhere(owner, expect);
}

static void take_part_ask(owner_t *owner, conn_t *conn,
			  const message_part_request_t *ask)
{
	follower_t *follower = follow_get_follower(owner->follow);
	GBytes *bytes = ask->name ? follower_serve(follower, ask->name) : NULL;
	message_part_t part = {MESSAGE_PART, ask->ticket, bytes != NULL, bytes};

	owner_send_conn(conn, &part);
	if (bytes)
		g_bytes_unref(bytes);
}

/* Grants concern an endpoint, which tells the weight store. */
static void take_grants(owner_t *owner, const char *from, const void *message)
{
	/* Each of these messages begins with the endpoint. */
	const message_grant_t *head = message;

	if (head->endpoint)
		hosting_receive(owner->hosting, from, head->endpoint, message);
}

static void dispatch(owner_t *owner, conn_t *conn, void *message)
{
	switch (message_type(message)) {
	case MESSAGE_RUN:
		take_run(owner, conn, message);
		return;
	case MESSAGE_CANCEL:
		take_cancel(owner, message);
		break;
	case MESSAGE_PLACE:
		take_place(owner, conn, message);
		break;
	case MESSAGE_SHARE_REQUEST:
		take_share_ask(owner, conn, message);
		break;
	case MESSAGE_EXPECT:
		take_expect(owner, message);
		break;
	case MESSAGE_DEMOTE:
		take_demote(owner, message);
		break;
	case MESSAGE_LOAD_REQUEST:
	case MESSAGE_LOAD_CANCEL:
	case MESSAGE_LOAD_ENDED:
	case MESSAGE_GRANT:
		take_grants(owner, conn_peer_instance(conn), message);
		break;
	case MESSAGE_PART_REQUEST:
		take_part_ask(owner, conn, message);
		break;
	default:
		break;
	}
	message_free(message);
}

static void drop(const GError *error)
{
	log_warn("message dropped", "reason", error->message, NULL);
	counter_add(counter_get("hc_bad_messages_total"), 1);
}

/* News. */

static char *follower_name(const conn_t *conn)
{
	return g_strconcat(conn_peer_role(conn), "/", conn_peer_instance(conn),
			   NULL);
}

/* TRUE if the message was about news. */
static gboolean take_news(owner_t *owner, conn_t *conn, const char *instance,
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
		drop(error);
		g_error_free(error);
		return TRUE;
	}
	if (message->type == UPDATES_SUBSCRIBE && conn) {
		char *name = follower_name(conn);

		g_hash_table_replace(owner->followers, g_strdup(name), conn);
		updates_sender_subscribe(owner->news, name, owner_now(owner));
		g_free(name);
	} else if (message->type != UPDATES_SUBSCRIBE) {
		placement_feed_handle_message(owner->table, instance, message,
					      owner_now(owner));
	}
	updates_message_free(message);
	return TRUE;
}

/* Which owners are live, for the processes of this instance. */

typedef struct {
	owner_t *owner;
	conn_t *conn;
} teller_t;

static void tell_owner(void *ctx, const live_owner_t *seen)
{
	const teller_t *teller = ctx;
	message_live_owner_t message = {
		MESSAGE_LIVE_OWNER,    (char *)seen->instance,
		(char *)seen->address, seen->owner_port,
		(char *)seen->region,  (char *)seen->failure_domain,
		seen->is_leaving,      0};

	if (!strcmp(seen->instance, owner_self(teller->owner)))
		message.generation = follower_generation(
			follow_get_follower(teller->owner->follow));
	owner_send_conn(teller->conn, &message);
}

static void tell_view(owner_t *owner, conn_t *conn)
{
	message_live_owner_t last = {
		MESSAGE_LIVE_OWNER, NULL, NULL, 0, NULL, NULL, FALSE, 0};
	teller_t teller = {owner, conn};

	live_owners_foreach(membership_view(owner->membership), tell_owner,
			    &teller);
	owner_send_conn(conn, &last);
}

void owner_view_changed(owner_t *owner)
{
	GHashTableIter iter;
	gpointer conn;

	if (!owner->follow)
		return;
	g_hash_table_iter_init(&iter, owner->locals);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		tell_view(owner, conn);
}

/* Connections that others made to this owner. */

static void on_ready(void *ctx, conn_t *conn)
{
	owner_t *owner = ctx;

	if (strcmp(conn_peer_instance(conn), owner_self(owner)) != 0 ||
	    !strcmp(conn_peer_role(conn), "owner"))
		return;
	g_hash_table_add(owner->locals, conn);
	tell_view(owner, conn);
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
	if (take_news(owner, conn, conn_peer_instance(conn), object))
		return;
	message = message_read(object, &error);
	if (message) {
		dispatch(owner, conn, message);
		return;
	}
	drop(error);
	g_error_free(error);
}

static void on_close(void *ctx, conn_t *conn, const GError *reason)
{
	owner_t *owner = ctx;
	char *name;

	hosting_requester_gone(owner->hosting, conn);
	g_hash_table_remove(owner->locals, conn);
	if (!conn_peer_role(conn))
		return;
	name = follower_name(conn);
	if (g_hash_table_lookup(owner->followers, name) == conn) {
		g_hash_table_remove(owner->followers, name);
		updates_sender_unsubscribe(owner->news, name);
	}
	g_free(name);
}

const conn_events_t owner_conn_events = {on_ready, on_message, on_close};

/* Answers on the connections that this owner made. */

static void take_part(owner_t *owner, const message_part_t *part)
{
	gsize size = 0;
	const char *data = g_bytes_get_data(part->data, &size);

	follower_peer_answer(follow_get_follower(owner->follow),
			     (uint64_t)part->ticket,
			     part->is_here ? (data ? data : "") : NULL, size);
}

void owner_take_peer(void *ctx, const char *instance,
		     const msgpack_object *object)
{
	owner_t *owner = ctx;
	GError *error = NULL;
	void *message;

	if (take_news(owner, NULL, instance, object))
		return;
	message = message_read(object, &error);
	if (!message) {
		drop(error);
		g_error_free(error);
		return;
	}
	if (message_type(message) == MESSAGE_PART)
		take_part(owner, message);
	message_free(message);
}
