#include "base/counter.h"
#include "base/log.h"
#include "entry/entry_private.h"

static void collect_name(void *ctx, const live_owner_t *owner)
{
	g_hash_table_add(ctx, (gpointer)owner->instance);
}

static void on_up(void *ctx, const char *name)
{
	entry_t *entry = ctx;

	log_info("owner in reach", "owner", name, NULL);
	placement_feed_follow_connected(entry->table, entry->view, name,
					entry_now(entry));
}

static void on_down(void *ctx, const char *name)
{
	entry_t *entry = ctx;
	GList *all = g_hash_table_get_values(entry->exchanges);
	GList *at;

	log_warn("owner lost", "owner", name, NULL);
	for (at = all; at; at = at->next)
		exchange_owner_lost(at->data, name);
	g_list_free(all);
}

static void deliver(entry_t *entry, const void *message)
{
	/* All messages about a request begin with its identifier. */
	const message_cancel_t *head = message;
	exchange_t *exchange;

	exchange = g_hash_table_lookup(entry->exchanges,
				       head->request ? head->request : "");
	if (exchange)
		exchange_receive(exchange, message);
}

/* The owners that this instance's owner holds alive. */

static void end_view(entry_t *entry)
{
	GHashTable *gone = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer name;

	live_owners_foreach(entry->view, collect_name, gone);
	g_hash_table_iter_init(&iter, gone);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (g_hash_table_contains(entry->seen, name))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, gone);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		char *copy = g_strdup(name);

		/*
		 * The connection stays: whether an owner can be reached from
		 * here decides about the requests that it runs.
		 */
		live_owners_remove(entry->view, copy);
		placement_feed_unfollow(entry->table, copy);
		g_free(copy);
	}
	g_hash_table_destroy(gone);
	g_hash_table_remove_all(entry->seen);
	claiming_set_members(entry->claiming, live_owners_count(entry->view));
	quota_set_entries(entry->quota, entry_now(entry),
			  live_owners_count(entry->view));
	entry->quota_due = 0;
}

static void take_member(entry_t *entry, const message_live_owner_t *message)
{
	live_owner_t owner = {message->instance,	message->address,
			      (int)message->owner_port, message->region,
			      message->failure_domain,	message->is_leaving,
			      message->generation};

	if (!message->instance) {
		end_view(entry);
		return;
	}
	if (!message->address)
		return;
	g_hash_table_add(entry->seen, g_strdup(message->instance));
	live_owners_set(entry->view, &owner);
	peers_add(entry->peers, owner.instance, owner.address,
		  owner.owner_port);
	if (peers_is_connected(entry->peers, owner.instance))
		placement_feed_follow(entry->table, entry->view, owner.instance,
				      entry_now(entry));
	if (owner.generation)
		follower_offer(follow_get_follower(entry->follow),
			       owner.generation, owner.instance);
}

static void take_part(entry_t *entry, const message_part_t *part)
{
	gsize size = 0;
	const char *data = g_bytes_get_data(part->data, &size);

	follower_peer_answer(follow_get_follower(entry->follow),
			     (uint64_t)part->ticket,
			     part->is_here ? (data ? data : "") : NULL, size);
}

static void take_share(entry_t *entry, const message_share_t *message)
{
	if (!message->limit)
		return;
	quota_set_share(entry->quota, entry_now(entry), message->limit,
			message->share);
	entry->quota_due = 0;
}

static void dispatch(entry_t *entry, const void *message)
{
	switch (message_type(message)) {
	case MESSAGE_PLACED:
		routing_placed(entry->routing, message);
		break;
	case MESSAGE_LIVE_OWNER:
		take_member(entry, message);
		break;
	case MESSAGE_PART:
		take_part(entry, message);
		break;
	case MESSAGE_SHARE:
		take_share(entry, message);
		break;
	case MESSAGE_STARTED:
	case MESSAGE_PIECE:
	case MESSAGE_DONE:
	case MESSAGE_NOT_RUN:
	case MESSAGE_FAILED:
		deliver(entry, message);
		break;
	default:
		break;
	}
}

static void drop_message(const char *name, GError *error)
{
	log_warn("message dropped", "owner", name, "reason", error->message,
		 NULL);
	counter_add(counter_get("hc_bad_messages_total"), 1);
	g_error_free(error);
}

static void take_news(entry_t *entry, const char *name,
		      const msgpack_object *object)
{
	GError *error = NULL;
	updates_message_t *news = updates_message_read(object, &error);

	if (!news) {
		drop_message(name, error);
		return;
	}
	placement_feed_handle_message(entry->table, name, news,
				      entry_now(entry));
	updates_message_free(news);
}

static void on_message(void *ctx, const char *name,
		       const msgpack_object *object)
{
	codec_reader_t reader;
	entry_t *entry = ctx;
	GError *error = NULL;
	void *message;
	int type;

	codec_read_init(&reader, object, &type);
	if (type >= UPDATES_TYPE_FIRST && type < UPDATES_TYPE_END) {
		take_news(entry, name, object);
		return;
	}
	message = message_read(object, &error);
	if (!message) {
		drop_message(name, error);
		return;
	}
	dispatch(entry, message);
	message_free(message);
}

const peers_events_t entry_peers_events = {on_up, on_down, on_message};
