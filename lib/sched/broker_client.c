#include "sched/broker_client.h"

#include "sched/broker.h"

typedef struct {
	char *endpoint;
	char *adapter;
	load_request_t params;
	ms_t sent_at;
} open_request_t;

struct broker_client {
	broker_client_config_t config;
	broker_client_actions_t actions;
	void *ctx;
	GHashTable *requests;	/* key to open_request_t */
	broker_t *local_broker; /* grants loads during the fallback */
	gboolean is_local;
	ms_t last_heard;
	ms_t now; /* time of the current broker_client_tick() */
};

static void open_request_free(void *data)
{
	open_request_t *request = data;

	g_free(request->endpoint);
	g_free(request->adapter);
	g_free(request);
}

static char *make_key(const char *endpoint, const char *adapter)
{
	return g_strconcat(endpoint, "\n", adapter, NULL);
}

static void remove_request(broker_client_t *client, const char *endpoint,
			   const char *adapter)
{
	char *key = make_key(endpoint, adapter);

	g_hash_table_remove(client->requests, key);
	g_free(key);
}

static void on_local_grant(void *ctx, const char *endpoint, const char *adapter)
{
	broker_client_t *client = ctx;

	remove_request(client, endpoint, adapter);
	if (!client->actions.grant(client->ctx, endpoint, adapter))
		broker_return_grant(client->local_broker, client->now, endpoint,
				    adapter);
}

static void update_local_limits(broker_client_t *client)
{
	int members = MAX(client->config.members, 1);

	broker_set_limits(client->local_broker, client->config.rate / members,
			  MAX(client->config.transit_limit / members, 1));
}

broker_client_t *broker_client_create(const broker_client_config_t *config,
				      const broker_client_actions_t *actions,
				      void *ctx)
{
	static const broker_actions_t local_actions = {.grant = on_local_grant};
	broker_client_t *client = g_new0(broker_client_t, 1);
	broker_config_t local_config;

	client->config = *config;
	client->actions = *actions;
	client->ctx = ctx;
	client->requests = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, open_request_free);
	broker_config_init(&local_config, config->rate, config->transit_limit);
	client->local_broker =
		broker_create(&local_config, &local_actions, client);
	update_local_limits(client);
	return client;
}

void broker_client_destroy(broker_client_t *client)
{
	if (!client)
		return;
	broker_destroy(client->local_broker);
	g_hash_table_destroy(client->requests);
	g_free(client);
}

static void send_load_request(broker_client_t *client, ms_t now,
			      open_request_t *request)
{
	if (client->is_local) {
		broker_request_load(client->local_broker, now,
				    request->endpoint, &request->params);
		return;
	}
	request->sent_at = now;
	client->actions.send_want(client->ctx, request->endpoint,
				  &request->params);
}

static void send_all_requests(broker_client_t *client, ms_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_load_request(client, now, value);
}

void broker_client_request_load(broker_client_t *client, ms_t now,
				const char *endpoint,
				const load_request_t *params)
{
	char *key = make_key(endpoint, params->adapter);
	open_request_t *request = g_hash_table_lookup(client->requests, key);

	if (request) {
		g_free(key);
	} else {
		request = g_new0(open_request_t, 1);
		request->endpoint = g_strdup(endpoint);
		request->adapter = g_strdup(params->adapter);
		g_hash_table_insert(client->requests, key, request);
	}
	request->params = *params;
	request->params.adapter = request->adapter;
	send_load_request(client, now, request);
}

void broker_client_cancel_request(broker_client_t *client, const char *endpoint,
				  const char *adapter)
{
	remove_request(client, endpoint, adapter);
	if (client->is_local)
		broker_cancel_request(client->local_broker, endpoint, adapter);
	else
		client->actions.send_withdraw(client->ctx, endpoint, adapter);
}

void broker_client_load_ended(broker_client_t *client, ms_t now,
			      const char *endpoint, const char *adapter,
			      gboolean is_returned)
{
	if (is_returned)
		broker_return_grant(client->local_broker, now, endpoint,
				    adapter);
	else
		broker_load_ended(client->local_broker, now, endpoint, adapter);
	client->actions.send_load_ended(client->ctx, endpoint, adapter,
					is_returned);
}

void broker_client_granted(broker_client_t *client, ms_t now,
			   const char *endpoint, const char *adapter)
{
	broker_client_note_broker_active(client, now);
	remove_request(client, endpoint, adapter);
	if (!client->actions.grant(client->ctx, endpoint, adapter))
		client->actions.send_load_ended(client->ctx, endpoint, adapter,
						TRUE);
}

static void stop_local_grants(broker_client_t *client, ms_t now)
{
	GHashTableIter iter;
	void *value;

	client->is_local = FALSE;
	g_hash_table_iter_init(&iter, client->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		open_request_t *request = value;

		broker_cancel_request(client->local_broker, request->endpoint,
				      request->adapter);
	}
	send_all_requests(client, now);
}

void broker_client_note_broker_active(broker_client_t *client, ms_t now)
{
	client->last_heard = now;
	if (client->is_local)
		stop_local_grants(client, now);
}

void broker_client_set_broker_changed(broker_client_t *client, ms_t now)
{
	client->last_heard = now;
	if (client->is_local)
		stop_local_grants(client, now);
	else
		send_all_requests(client, now);
}

void broker_client_set_members(broker_client_t *client, int members)
{
	client->config.members = members;
	update_local_limits(client);
}

/* The time at which the fallback starts; MS_NEVER without open requests. */
static ms_t fallback_due(const broker_client_t *client)
{
	ms_t first = MS_NEVER;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const open_request_t *request = value;

		first = MIN(first, request->sent_at);
	}
	if (first == MS_NEVER)
		return MS_NEVER;
	return MAX(first, client->last_heard) + client->config.silence_limit;
}

ms_t broker_client_tick(broker_client_t *client, ms_t now)
{
	ms_t due;

	client->now = now;
	if (client->is_local)
		return broker_tick(client->local_broker, now);
	due = fallback_due(client);
	if (due > now)
		return due;
	client->is_local = TRUE;
	send_all_requests(client, now);
	return broker_tick(client->local_broker, now);
}

gboolean broker_client_is_local(const broker_client_t *client)
{
	return client->is_local;
}
