#include "front/adapters_private.h"

#include <string.h>

#include "base/log.h"
#include "wire/codec.h"

/*
 * Accepted connections without a hello.  All of 300 instances may connect at
 * the same moment.
 */
#define PEERS_PENDING_MAX 320

/*
 * A silent connection is closed after twice this time, which is longer than a
 * busy instance takes to answer.
 */
#define PEER_KEEPALIVE_MS 1000

/* Role stated in the handshake of these connections. */
#define ROLE "front"

/* An admission that this instance requested. */
typedef struct {
	char *engine;
	char *holder; /* NULL if this instance holds the engine */
	gboolean is_admitted;
} sent_admission_t;

void sent_admission_free(gpointer data)
{
	sent_admission_t *sent = data;

	g_free(sent->engine);
	g_free(sent->holder);
	g_free(sent);
}

const char *refusal_text(refusal_t refusal)
{
	static const char *const names[] = {
		[REFUSAL_NOT_HELD] = "engine's holder unknown or not connected",
		[REFUSAL_UNREACHABLE] = "holder can't connect to the engine",
		[REFUSAL_ORDERS_FORBIDDEN] = "holder may not send orders now",
		[REFUSAL_NO_PLACE] =
			"no place at the engine within the time limit",
		[REFUSAL_NO_SLOT] =
			"all adapter slots of the engine are in use",
		[REFUSAL_LOAD_QUEUE_FULL] = "too many adapter loads queued",
		[REFUSAL_HOLDER_TIMEOUT] = "the engine's holder is silent",
	};

	return names[refusal];
}

static void forget_admission(adapters_t *adapters, admission_id_t id)
{
	g_hash_table_remove(adapters->sent_admissions, &id);
}

static void handle_reply(adapters_t *adapters, const holder_reply_t *reply)
{
	endpoint_load_t load = {.running = reply->running,
				.waiting = reply->waiting,
				.work_percent = reply->work_percent};
	sent_admission_t *sent;

	if (reply->type == MESSAGE_UNLOADED) {
		adapters->events.on_adapter_unloaded(
			adapters->ctx, reply->engine, reply->adapter);
		return;
	}
	/* The request may have ended before the reply. */
	sent = g_hash_table_lookup(adapters->sent_admissions,
				   &reply->admission);
	if (!sent)
		return;
	if (reply->type == MESSAGE_QUEUED) {
		adapters->events.on_queued(adapters->ctx, reply->admission);
	} else if (reply->type == MESSAGE_ADMITTED) {
		sent->is_admitted = TRUE;
		adapters->events.on_engine_load(adapters->ctx, sent->engine,
						&load);
		adapters->events.on_admitted(adapters->ctx, reply->admission,
					     reply->version);
	} else {
		if (reply->running || reply->waiting)
			adapters->events.on_engine_load(adapters->ctx,
							sent->engine, &load);
		forget_admission(adapters, reply->admission);
		adapters->events.on_refused(adapters->ctx, reply->admission,
					    reply->refusal, reply->retry_after);
	}
}

static void deliver_self_replies(uv_timer_t *timer)
{
	adapters_t *adapters = timer->data;
	GQueue *queue = adapters->self_replies;
	holder_reply_t *reply;

	adapters->self_replies = g_queue_new();
	while ((reply = g_queue_pop_head(queue))) {
		handle_reply(adapters, reply);
		g_free((char *)reply->engine);
		g_free((char *)reply->adapter);
		g_free(reply);
	}
	g_queue_free(queue);
}

/* Replies to this instance itself are delivered after the current callback. */
static void reply_to_self(adapters_t *adapters, const holder_reply_t *reply)
{
	holder_reply_t *copy = g_memdup2(reply, sizeof(*reply));

	copy->engine = g_strdup(reply->engine);
	copy->adapter = g_strdup(reply->adapter);
	g_queue_push_tail(adapters->self_replies, copy);
	adapters->self_timer.data = adapters;
	uv_timer_start(&adapters->self_timer, deliver_self_replies, 0, 0);
}

void adapters_reply(adapters_t *adapters, conn_t *requester,
		    const holder_reply_t *reply)
{
	holder_reply_t known = *reply;
	codec_writer_t writer;

	if (!requester) {
		reply_to_self(adapters, reply);
		return;
	}
	if (!g_hash_table_contains(adapters->extended_requesters, requester))
		known.work_percent = 0;
	message_write_reply(&writer, &known);
	conn_send(requester, &writer);
}

void adapters_log_malformed(const char *peer)
{
	log_warn("peer message unreadable", "peer", peer, NULL);
}

static void handle_admit(adapters_t *adapters, conn_t *conn,
			 codec_reader_t *reader)
{
	holder_reply_t refusal = {.type = MESSAGE_REFUSED};
	admission_t admission = {0};
	held_engine_t *held;

	if (!message_read_admit(reader, &refusal.admission, &admission)) {
		adapters_log_malformed(conn_peer_instance(conn));
	} else {
		held = g_hash_table_lookup(adapters->held, admission.engine);
		if (held)
			held_engine_admit(held, conn, refusal.admission,
					  &admission);
		else
			adapters_reply(adapters, conn, &refusal);
	}
	g_free((char *)admission.engine);
	g_free((char *)admission.adapter);
	g_free((char *)admission.request.flow);
}

static void handle_release(adapters_t *adapters, conn_t *conn,
			   codec_reader_t *reader)
{
	admission_end_t end = {0};
	admission_id_t id;
	char *engine;
	held_engine_t *held;

	if (!message_read_release(reader, &engine, &id, &end)) {
		adapters_log_malformed(conn_peer_instance(conn));
	} else {
		held = engine ? g_hash_table_lookup(adapters->held, engine)
			      : NULL;
		if (held)
			held_engine_release(held, conn, id, &end);
	}
	g_free(engine);
}

static void handle_prefetch(adapters_t *adapters, conn_t *conn,
			    codec_reader_t *reader)
{
	char *engine = codec_read_text(reader, NAME_MAX_BYTES);
	char *adapter = codec_read_text(reader, NAME_MAX_BYTES);
	int64_t version = codec_read_int(reader, 0, INT64_MAX);
	held_engine_t *held =
		engine ? g_hash_table_lookup(adapters->held, engine) : NULL;

	if (!codec_read_end(reader) || !adapter)
		adapters_log_malformed(conn_peer_instance(conn));
	else if (held)
		held_engine_prefetch(held, adapter, version);
	g_free(engine);
	g_free(adapter);
}

static void handle_extended(adapters_t *adapters, conn_t *conn)
{
	codec_writer_t writer;

	g_hash_table_add(adapters->extended_requesters, conn);
	codec_write_init(&writer, MESSAGE_EXTENDED, 0);
	conn_send(conn, &writer);
}

/* Handles a message of an instance that connected to this one. */
static void on_request(void *ctx, conn_t *conn, const msgpack_object *message)
{
	codec_reader_t reader;
	int type;

	codec_read_init(&reader, message, &type);
	if (type == MESSAGE_ADMIT)
		handle_admit(ctx, conn, &reader);
	else if (type == MESSAGE_RELEASE)
		handle_release(ctx, conn, &reader);
	else if (type == MESSAGE_PREFETCH)
		handle_prefetch(ctx, conn, &reader);
	else if (type == MESSAGE_UPDATES)
		adapters_receive_updates(ctx, conn, &reader);
	else if (type == MESSAGE_PARTS)
		adapters_receive_parts(ctx, conn, &reader);
	else if (type == MESSAGE_ENDPOINT)
		adapters_receive_endpoint(ctx, conn, &reader);
	else if (type == MESSAGE_EXTENDED)
		handle_extended(ctx, conn);
	else if (type >= MESSAGE_CREDIT_ASK && type <= MESSAGE_CREDIT_ALIVE)
		adapters_receive_credit(ctx, conn, type, &reader);
	else
		adapters_log_malformed(conn_peer_instance(conn));
}

static void drop_requester(adapters_t *adapters, conn_t *conn)
{
	GHashTableIter iter;
	gpointer held;

	g_hash_table_remove(adapters->extended_requesters, conn);
	g_hash_table_iter_init(&iter, adapters->held);
	while (g_hash_table_iter_next(&iter, NULL, &held))
		held_engine_drop_requester(held, conn);
}

/*
 * An instance keeps one connection to each other.  It opens another one only
 * after it has given up the first, which may still look open here.
 */
static void on_request_ready(void *ctx, conn_t *conn)
{
	adapters_t *adapters = ctx;
	const char *instance = conn_peer_instance(conn);
	conn_t *former = g_hash_table_lookup(adapters->requesters, instance);

	if (former) {
		log_info("former connection of a peer closed", "peer", instance,
			 NULL);
		drop_requester(adapters, former);
		conn_close(former);
	}
	g_hash_table_insert(adapters->requesters, g_strdup(instance), conn);
}

static void on_request_close(void *ctx, conn_t *conn, const GError *reason)
{
	adapters_t *adapters = ctx;
	const char *instance = conn_peer_instance(conn);

	drop_requester(adapters, conn);
	if (instance &&
	    g_hash_table_lookup(adapters->requesters, instance) == conn)
		g_hash_table_remove(adapters->requesters, instance);
}

/* Handles a message of a holder that this instance connected to. */
static void on_updates(void *ctx, const char *name,
		       const msgpack_object *message)
{
	adapters_t *adapters = ctx;
	holder_reply_t reply = {0};
	codec_reader_t reader;
	int type;

	g_hash_table_remove(adapters->unresponsive_holders, name);
	codec_read_init(&reader, message, &type);
	if (type == MESSAGE_EXTENDED) {
		g_hash_table_add(adapters->extended_holders, g_strdup(name));
		return;
	}
	if (type >= MESSAGE_CREDIT_ASK && type <= MESSAGE_CREDIT_ALIVE) {
		adapters_receive_credit_reply(adapters, name, type, &reader);
		return;
	}
	if (message_read_reply(&reader, type, &reply))
		handle_reply(adapters, &reply);
	else
		adapters_log_malformed(name);
	g_free((char *)reply.engine);
	g_free((char *)reply.adapter);
}

static void on_peer_up(void *ctx, const char *name)
{
	adapters_t *adapters = ctx;
	codec_writer_t writer;

	log_info("peer connected", "peer", name, NULL);
	codec_write_init(&writer, MESSAGE_EXTENDED, 0);
	peers_send(adapters->peers, name, &writer);
	adapters_credit_set_connected(adapters, name, TRUE);
	adapters->events.on_peer(adapters->ctx, name);
}

/* Fails all admissions that the holder has not granted, except one. */
static void fail_admissions(adapters_t *adapters, const char *name,
			    admission_id_t except, refusal_t refusal)
{
	static const admission_end_t not_run = {.has_run = FALSE};
	GArray *lost = g_array_new(FALSE, FALSE, sizeof(admission_id_t));
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, adapters->sent_admissions);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const sent_admission_t *sent = value;

		if (*(admission_id_t *)id != except && !sent->is_admitted &&
		    !g_strcmp0(sent->holder, name))
			g_array_append_val(lost, *(admission_id_t *)id);
	}
	for (i = 0; i < lost->len; i++) {
		admission_id_t admission =
			g_array_index(lost, admission_id_t, i);

		/*
		 * Releases it at the holder, too, in case that is still
		 * running.
		 */
		adapters_release(adapters, admission, &not_run);
		adapters->events.on_refused(adapters->ctx, admission, refusal,
					    0);
	}
	g_array_free(lost, TRUE);
}

static void on_peer_down(void *ctx, const char *name)
{
	adapters_t *adapters = ctx;

	log_info("peer lost", "peer", name, NULL);
	g_hash_table_remove(adapters->extended_holders, name);
	fail_admissions(adapters, name, 0, REFUSAL_NOT_HELD);
	adapters_credit_set_connected(adapters, name, FALSE);
}

static void connect_peer(adapters_t *adapters, const char *instance,
			 const char *record)
{
	const char *own = process_settings(adapters->process)->instance;
	char *address = NULL;
	int port;
	GError *error = NULL;

	if (!strcmp(instance, own))
		return;
	if (process_split_address(record, &address, &port, &error)) {
		peers_add(adapters->peers, instance, address, port);
		/* A changed address closes the connection. */
		if (!peers_is_connected(adapters->peers, instance))
			adapters_credit_set_connected(adapters, instance,
						      FALSE);
		g_free(address);
		return;
	}
	log_warn("instance record unreadable", "instance", instance, "error",
		 error->message, NULL);
	g_clear_error(&error);
}

void adapters_peers_start(adapters_t *adapters, GBytes *key)
{
	static const peers_events_t peers_events = {on_peer_up, on_peer_down,
						    on_updates};
	static const conn_events_t server_events = {
		on_request_ready, on_request, on_request_close};
	GHashTableIter iter;
	gpointer instance;
	gpointer record;
	GError *error = NULL;

	process_set_keys(adapters->process, channel_keys_create(key, NULL));
	process_set_keepalive(adapters->process, PEER_KEEPALIVE_MS);
	process_set_pending_max(adapters->process, PEERS_PENDING_MAX);
	adapters->identity = process_identity(adapters->process, ROLE);
	adapters->peers =
		peers_create(adapters->identity, &peers_events, adapters);
	adapters->server = conn_listen(adapters->identity,
				       adapters->options.listen_address,
				       adapters->options.listen_port,
				       &server_events, adapters, &error);
	if (!adapters->server)
		log_error("can't listen for other instances", "error",
			  error->message, NULL);
	g_clear_error(&error);
	g_hash_table_iter_init(&iter, adapters->records);
	while (g_hash_table_iter_next(&iter, &instance, &record))
		connect_peer(adapters, instance, record);
}

void adapters_peers_set_instance(adapters_t *adapters, const char *instance,
				 const char *record)
{
	if (record)
		g_hash_table_insert(adapters->records, g_strdup(instance),
				    g_strdup(record));
	else
		g_hash_table_remove(adapters->records, instance);
	if (!adapters->peers)
		return;
	if (record) {
		connect_peer(adapters, instance, record);
		return;
	}
	peers_remove(adapters->peers, instance);
	/* The instance drops what waits there along with the connection. */
	fail_admissions(adapters, instance, 0, REFUSAL_NOT_HELD);
	adapters_credit_forget(adapters, instance);
}

static void send_admission(adapters_t *adapters, const char *holder,
			   admission_id_t id, const admission_t *admission)
{
	admission_t known = *admission;
	codec_writer_t writer;

	if (!g_hash_table_contains(adapters->extended_holders, holder))
		known.request.cost = 0;
	message_write_admit(&writer, id, &known);
	peers_send(adapters->peers, holder, &writer);
}

admission_id_t adapters_request_admission(adapters_t *adapters,
					  const admission_t *admission)
{
	held_engine_t *held =
		g_hash_table_lookup(adapters->held, admission->engine);
	const char *holder =
		engine_locks_holder(adapters->engine_locks, admission->engine);
	holder_reply_t refusal = {.type = MESSAGE_REFUSED};
	admission_id_t id = ++adapters->last_admission;
	sent_admission_t *sent = g_new0(sent_admission_t, 1);

	sent->engine = g_strdup(admission->engine);
	sent->holder = held ? NULL : g_strdup(holder);
	g_hash_table_insert(adapters->sent_admissions,
			    g_memdup2(&id, sizeof(id)), sent);
	if (held) {
		held_engine_admit(held, NULL, id, admission);
	} else if (holder && adapters->peers &&
		   peers_is_connected(adapters->peers, holder)) {
		send_admission(adapters, holder, id, admission);
	} else {
		refusal.admission = id;
		adapters_reply(adapters, NULL, &refusal);
	}
	return id;
}

void adapters_note_holder_timeout(adapters_t *adapters, admission_id_t id)
{
	const sent_admission_t *sent =
		g_hash_table_lookup(adapters->sent_admissions, &id);
	ms_t now = ms_clock_now(process_clock(adapters->process));
	char *holder;

	if (!sent || !sent->holder)
		return;
	log_info("holder silent", "peer", sent->holder, "endpoint",
		 sent->engine, NULL);
	holder = g_strdup(sent->holder);
	g_hash_table_insert(adapters->unresponsive_holders, g_strdup(holder),
			    g_memdup2(&now, sizeof(now)));
	fail_admissions(adapters, holder, id, REFUSAL_HOLDER_TIMEOUT);
	g_free(holder);
}

void adapters_release(adapters_t *adapters, admission_id_t id,
		      const admission_end_t *end)
{
	sent_admission_t *sent =
		g_hash_table_lookup(adapters->sent_admissions, &id);
	admission_end_t known = {.has_run = end->has_run};
	held_engine_t *held;
	codec_writer_t writer;

	if (!sent)
		return;
	held = g_hash_table_lookup(adapters->held, sent->engine);
	if (!sent->holder) {
		if (held)
			held_engine_release(held, NULL, id, end);
	} else if (peers_is_connected(adapters->peers, sent->holder)) {
		if (g_hash_table_contains(adapters->extended_holders,
					  sent->holder))
			known = *end;
		message_write_release(&writer, sent->engine, id, &known);
		peers_send(adapters->peers, sent->holder, &writer);
	}
	forget_admission(adapters, id);
}

void adapters_note_work(adapters_t *adapters, const char *engine,
			int work_percent)
{
	held_engine_t *held = g_hash_table_lookup(adapters->held, engine);

	if (held)
		held_engine_note_work(held, work_percent);
}

void adapters_prefetch(adapters_t *adapters, const char *engine,
		       const char *adapter, int64_t version)
{
	held_engine_t *held = g_hash_table_lookup(adapters->held, engine);
	const char *holder =
		engine_locks_holder(adapters->engine_locks, engine);
	codec_writer_t writer;

	if (held) {
		held_engine_prefetch(held, adapter, version);
		return;
	}
	if (!holder || !adapters->peers ||
	    !peers_is_connected(adapters->peers, holder))
		return;
	codec_write_init(&writer, MESSAGE_PREFETCH, 3);
	codec_write_text(&writer, engine);
	codec_write_text(&writer, adapter);
	codec_write_int(&writer, version);
	peers_send(adapters->peers, holder, &writer);
}
