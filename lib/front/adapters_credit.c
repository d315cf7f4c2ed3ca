#include "front/adapters_private.h"

#include <math.h>

#include "wire/codec.h"

static ms_t now_of(const adapters_t *adapters)
{
	return ms_clock_now(process_clock(adapters->process));
}

static gboolean on_limit(void *ctx, const char *organisation,
			 credit_limit_t *limit)
{
	adapters_t *adapters = ctx;

	return adapters->events.limit(adapters->ctx, organisation, limit);
}

static void send_probe(void *ctx, const char *instance)
{
	adapters_t *adapters = ctx;
	codec_writer_t writer;

	codec_write_init(&writer, MESSAGE_CREDIT_PROBE, 0);
	peers_send(adapters->peers, instance, &writer);
}

static void on_probe(void *ctx)
{
	adapters_t *adapters = ctx;

	credit_client_foreach_connected(adapters->credit_client, send_probe,
					adapters);
}

static gboolean send_ask(void *ctx, const char *home, int64_t id,
			 const credit_ask_t *ask)
{
	adapters_t *adapters = ctx;
	codec_writer_t writer;
	guint i;

	codec_write_init(&writer, MESSAGE_CREDIT_ASK, 5);
	codec_write_text(&writer, ask->organisation);
	codec_write_int(&writer, id);
	codec_write_int(&writer, llround(ask->cost));
	codec_write_bool(&writer, ask->is_takeover);
	codec_write_array(&writer, 2 * ask->elsewhere_count);
	for (i = 0; i < ask->elsewhere_count; i++) {
		codec_write_int(&writer, ask->elsewhere[i].age);
		codec_write_int(&writer, llround(ask->elsewhere[i].amount));
	}
	return peers_send(adapters->peers, home, &writer);
}

static void send_return(void *ctx, const char *home, const char *organisation,
			double cost, int64_t epoch)
{
	adapters_t *adapters = ctx;
	codec_writer_t writer;

	codec_write_init(&writer, MESSAGE_CREDIT_RETURN, 3);
	codec_write_text(&writer, organisation);
	codec_write_int(&writer, llround(cost));
	codec_write_int(&writer, epoch);
	peers_send(adapters->peers, home, &writer);
}

static void count_result(adapters_t *adapters, const credit_result_t *result)
{
	if (result->answer.verdict == CREDIT_PENDING)
		return;
	counter_add(result->answer.verdict == CREDIT_GRANTED
			    ? adapters->credit_granted
			    : adapters->credit_refused,
		    1);
	if (!result->home)
		counter_add(adapters->credit_fallback, 1);
	histogram_add(adapters->credit_wait, result->waited);
}

static void count_returned(adapters_t *adapters)
{
	counter_set(adapters->credit_returned,
		    credit_client_returned(adapters->credit_client));
}

static void on_result(void *ctx, credit_id_t id, const credit_result_t *result)
{
	adapters_t *adapters = ctx;

	count_result(adapters, result);
	adapters->events.on_credit(adapters->ctx, id, result);
}

static void on_timer(uv_timer_t *timer);

static void set_timer(adapters_t *adapters, ms_t now, ms_t due)
{
	if (due != MS_NEVER)
		uv_timer_start(&adapters->credit_timer, on_timer,
			       (uint64_t)MAX(due - now, 1), 0);
}

static void on_timer(uv_timer_t *timer)
{
	adapters_t *adapters = timer->data;
	ms_t now = now_of(adapters);

	set_timer(adapters, now,
		  credit_client_tick(adapters->credit_client, now));
}

void adapters_credit_create(adapters_t *adapters)
{
	static const credit_home_actions_t home_actions = {on_limit, on_probe};
	static const credit_client_actions_t client_actions = {
		send_ask, send_return, on_result};
	credit_client_options_t options = {
		.instance = process_settings(adapters->process)->instance,
		.slack = adapters->options.quota_slack,
		.rand = process_rand(adapters->process),
		.now = now_of(adapters),
	};

	adapters->credit_home = credit_home_create(options.slack, options.rand,
						   &home_actions, adapters);
	options.home = adapters->credit_home;
	adapters->credit_client =
		credit_client_create(&options, &client_actions, adapters);
	uv_timer_init(process_loop(adapters->process), &adapters->credit_timer);
	adapters->credit_timer.data = adapters;
	adapters->credit_granted = counter_get("hc_credit_granted_total");
	adapters->credit_refused = counter_get("hc_credit_refused_total");
	adapters->credit_returned = counter_get("hc_credit_returned_total");
	adapters->credit_fallback = counter_get("hc_credit_fallback_total");
	adapters->credit_wait = histogram_get("hc_credit_wait_ms");
}

void adapters_credit_tick(adapters_t *adapters, ms_t now)
{
	credit_client_set_live(adapters->credit_client,
			       adapters_instance_count(adapters),
			       lease_is_valid(adapters->lease, now));
	credit_home_tick(adapters->credit_home, now);
}

void adapters_credit_set_connected(adapters_t *adapters, const char *instance,
				   gboolean is_connected)
{
	credit_client_set_connected(adapters->credit_client, now_of(adapters),
				    instance, is_connected);
}

void adapters_credit_forget(adapters_t *adapters, const char *instance)
{
	credit_client_forget(adapters->credit_client, now_of(adapters),
			     instance);
}

credit_id_t adapters_request_credit(adapters_t *adapters,
				    const credit_request_t *request,
				    credit_result_t *result)
{
	ms_t now = now_of(adapters);
	credit_id_t id = credit_client_ask(adapters->credit_client, now,
					   request, result);

	count_result(adapters, result);
	if (result->answer.verdict == CREDIT_PENDING &&
	    !uv_is_active((uv_handle_t *)&adapters->credit_timer))
		set_timer(adapters, now, now + CREDIT_ANSWER_TIMEOUT_MS);
	return id;
}

void adapters_end_credit(adapters_t *adapters, credit_id_t id, gboolean has_run)
{
	credit_client_end(adapters->credit_client, now_of(adapters), id,
			  has_run);
	count_returned(adapters);
}

static void read_elsewhere(codec_reader_t *reader, credit_ask_t *ask)
{
	codec_reader_t rows;

	codec_read_array(reader, &rows);
	while (rows.left && !rows.is_failed &&
	       ask->elsewhere_count < CREDIT_SLOTS) {
		credit_use_t *use = &ask->elsewhere[ask->elsewhere_count++];

		use->age = codec_read_int(&rows, 0, INT64_MAX);
		use->amount = (double)codec_read_int(&rows, 0, INT64_MAX);
	}
	reader->is_failed |= rows.is_failed || rows.left;
}

static void receive_ask(adapters_t *adapters, conn_t *conn,
			codec_reader_t *reader)
{
	credit_ask_t ask = {0};
	credit_answer_t answer;
	codec_writer_t writer;
	char *organisation = codec_read_text(reader, NAME_MAX_BYTES);
	int64_t id = codec_read_int(reader, 1, INT64_MAX);

	ask.organisation = organisation;
	ask.cost = (double)codec_read_int(reader, 0, INT64_MAX);
	ask.is_takeover = codec_read_bool(reader);
	read_elsewhere(reader, &ask);
	if (!codec_read_end(reader) || !organisation) {
		adapters_log_malformed(conn_peer_instance(conn));
		g_free(organisation);
		return;
	}
	credit_home_ask(adapters->credit_home, now_of(adapters),
			conn_peer_instance(conn), &ask, &answer);
	g_free(organisation);
	codec_write_init(&writer, MESSAGE_CREDIT_ANSWER, 5);
	codec_write_int(&writer, id);
	codec_write_int(&writer, answer.verdict);
	codec_write_int(&writer, answer.epoch);
	codec_write_int(&writer, answer.retry_after);
	codec_write_int(&writer, llround(answer.level));
	conn_send(conn, &writer);
}

static void receive_return(adapters_t *adapters, conn_t *conn,
			   codec_reader_t *reader)
{
	char *organisation = codec_read_text(reader, NAME_MAX_BYTES);
	double cost = (double)codec_read_int(reader, 0, INT64_MAX);
	int64_t epoch = codec_read_int(reader, 1, INT64_MAX);

	if (!codec_read_end(reader) || !organisation)
		adapters_log_malformed(conn_peer_instance(conn));
	else
		credit_home_return(adapters->credit_home, now_of(adapters),
				   organisation, cost, epoch);
	g_free(organisation);
}

void adapters_receive_credit(adapters_t *adapters, conn_t *conn, int type,
			     codec_reader_t *reader)
{
	codec_writer_t writer;

	if (type == MESSAGE_CREDIT_ASK) {
		receive_ask(adapters, conn, reader);
	} else if (type == MESSAGE_CREDIT_RETURN) {
		receive_return(adapters, conn, reader);
	} else if (type == MESSAGE_CREDIT_PROBE) {
		codec_write_init(&writer, MESSAGE_CREDIT_ALIVE, 0);
		conn_send(conn, &writer);
	} else {
		adapters_log_malformed(conn_peer_instance(conn));
	}
}

void adapters_receive_credit_reply(adapters_t *adapters, const char *name,
				   int type, codec_reader_t *reader)
{
	credit_answer_t answer = {0};
	int64_t id;

	if (type == MESSAGE_CREDIT_ALIVE) {
		credit_home_note_alive(adapters->credit_home, now_of(adapters),
				       name);
		return;
	}
	id = codec_read_int(reader, 1, INT64_MAX);
	answer.verdict =
		(credit_verdict_t)codec_read_int(reader, 0, CREDIT_UNKNOWN);
	answer.epoch = codec_read_int(reader, 1, INT64_MAX);
	answer.retry_after = codec_read_int(reader, 0, CREDIT_RETRY_MAX_MS);
	answer.level = (double)codec_read_int(reader, INT64_MIN, INT64_MAX);
	if (type != MESSAGE_CREDIT_ANSWER || !codec_read_end(reader))
		adapters_log_malformed(name);
	else
		credit_client_on_answer(adapters->credit_client,
					now_of(adapters), name, id, &answer);
	count_returned(adapters);
}
