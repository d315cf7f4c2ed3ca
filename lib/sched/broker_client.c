#include "sched/broker_client.h"

#include "sched/broker.h"

typedef struct {
	char *endpoint;
	char *adapter;
	load_request_t want;
	ms_t sent;
} open_want_t;

struct broker_client {
	broker_client_config_t config;
	broker_client_actions_t actions;
	void *ctx;
	GHashTable *wants; /* key to open_want_t */
	broker_t *local;   /* grants while the broker is silent */
	gboolean is_local;
	ms_t heard;
	ms_t now; /* of the event being handled */
};

static void open_want_free(void *data)
{
	open_want_t *open = data;

	g_free(open->endpoint);
	g_free(open->adapter);
	g_free(open);
}

static char *make_key(const char *endpoint, const char *adapter)
{
	return g_strconcat(endpoint, "\n", adapter, NULL);
}

static void forget(broker_client_t *client, const char *endpoint,
		   const char *adapter)
{
	char *key = make_key(endpoint, adapter);

	g_hash_table_remove(client->wants, key);
	g_free(key);
}

static void local_grant(void *ctx, const char *endpoint, const char *adapter)
{
	broker_client_t *client = ctx;

	forget(client, endpoint, adapter);
	if (!client->actions.grant(client->ctx, endpoint, adapter))
		broker_return_grant(client->local, client->now, endpoint,
				    adapter);
}

static void share_limits(broker_client_t *client)
{
	int members = MAX(client->config.members, 1);

	broker_set_limits(client->local, client->config.rate / members,
			  MAX(client->config.transit_limit / members, 1));
}

broker_client_t *broker_client_create(const broker_client_config_t *config,
				      const broker_client_actions_t *actions,
				      void *ctx)
{
	static const broker_actions_t local_actions = {.grant = local_grant};
	broker_client_t *client = g_new0(broker_client_t, 1);
	broker_config_t local_config;

	client->config = *config;
	client->actions = *actions;
	client->ctx = ctx;
	client->wants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      open_want_free);
	broker_config_init(&local_config, config->rate, config->transit_limit);
	client->local = broker_create(&local_config, &local_actions, client);
	share_limits(client);
	return client;
}

void broker_client_destroy(broker_client_t *client)
{
	if (!client)
		return;
	broker_destroy(client->local);
	g_hash_table_destroy(client->wants);
	g_free(client);
}

static void send_open(broker_client_t *client, ms_t now, open_want_t *open)
{
	if (client->is_local) {
		broker_request_load(client->local, now, open->endpoint,
				    &open->want);
		return;
	}
	open->sent = now;
	client->actions.send_want(client->ctx, open->endpoint, &open->want);
}

static void send_all(broker_client_t *client, ms_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->wants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_open(client, now, value);
}

void broker_client_request_load(broker_client_t *client, ms_t now,
				const char *endpoint,
				const load_request_t *want)
{
	char *key = make_key(endpoint, want->adapter);
	open_want_t *open = g_hash_table_lookup(client->wants, key);

	if (open) {
		g_free(key);
	} else {
		open = g_new0(open_want_t, 1);
		open->endpoint = g_strdup(endpoint);
		open->adapter = g_strdup(want->adapter);
		g_hash_table_insert(client->wants, key, open);
	}
	open->want = *want;
	open->want.adapter = open->adapter;
	send_open(client, now, open);
}

void broker_client_cancel_request(broker_client_t *client, const char *endpoint,
				  const char *adapter)
{
	forget(client, endpoint, adapter);
	if (client->is_local)
		broker_cancel_request(client->local, endpoint, adapter);
	else
		client->actions.send_withdraw(client->ctx, endpoint, adapter);
}

void broker_client_load_ended(broker_client_t *client, ms_t now,
			      const char *endpoint, const char *adapter,
			      gboolean is_returned)
{
	if (is_returned)
		broker_return_grant(client->local, now, endpoint, adapter);
	else
		broker_load_ended(client->local, now, endpoint, adapter);
	client->actions.send_load_ended(client->ctx, endpoint, adapter,
					is_returned);
}

void broker_client_granted(broker_client_t *client, ms_t now,
			   const char *endpoint, const char *adapter)
{
	broker_client_note_broker_active(client, now);
	forget(client, endpoint, adapter);
	if (!client->actions.grant(client->ctx, endpoint, adapter))
		client->actions.send_load_ended(client->ctx, endpoint, adapter,
						TRUE);
}

static void leave_local(broker_client_t *client, ms_t now)
{
	GHashTableIter iter;
	void *value;

	client->is_local = FALSE;
	g_hash_table_iter_init(&iter, client->wants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		open_want_t *open = value;

		broker_cancel_request(client->local, open->endpoint,
				      open->adapter);
	}
	send_all(client, now);
}

void broker_client_note_broker_active(broker_client_t *client, ms_t now)
{
	client->heard = now;
	if (client->is_local)
		leave_local(client, now);
}

void broker_client_set_broker_changed(broker_client_t *client, ms_t now)
{
	client->heard = now;
	if (client->is_local)
		leave_local(client, now);
	else
		send_all(client, now);
}

void broker_client_set_members(broker_client_t *client, int members)
{
	client->config.members = members;
	share_limits(client);
}

/* The time at which the silence becomes too long; MS_NEVER if none waits. */
static ms_t silence_due(const broker_client_t *client)
{
	ms_t first = MS_NEVER;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, client->wants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const open_want_t *open = value;

		first = MIN(first, open->sent);
	}
	if (first == MS_NEVER)
		return MS_NEVER;
	return MAX(first, client->heard) + client->config.silence;
}

ms_t broker_client_tick(broker_client_t *client, ms_t now)
{
	ms_t due;

	client->now = now;
	if (client->is_local)
		return broker_tick(client->local, now);
	due = silence_due(client);
	if (due > now)
		return due;
	client->is_local = TRUE;
	send_all(client, now);
	return broker_tick(client->local, now);
}

gboolean broker_client_is_local(const broker_client_t *client)
{
	return client->is_local;
}
