#include "owner/grants.h"

#include <string.h>

#include "base/counter.h"
#include "sched/broker.h"

/* A broker that says nothing for this long is taken to be silent. */
#define BROKER_SILENCE_MS 3000

struct grants {
	grants_actions_t actions;
	void *ctx;
	const char *self;
	char *broker_instance; /* NULL: none known */
	broker_t *broker;      /* used while this instance is the broker */
	broker_client_t *client;
	GHashTable *askers; /* endpoint to the instance that asked */
	ms_t now;
};

static gboolean is_broker(const grants_t *grants)
{
	return g_strcmp0(grants->broker_instance, grants->self) == 0;
}

/* The broker's side: a grant goes to whoever asked for the endpoint. */
static void send_grant(void *ctx, const char *endpoint, const char *adapter)
{
	grants_t *grants = ctx;
	const char *asker = g_hash_table_lookup(grants->askers, endpoint);
	message_grant_t grant = {MESSAGE_GRANT, (char *)endpoint,
				 (char *)adapter};

	counter_add(counter_get("hc_broker_grants_total"), 1);
	if (!asker)
		return;
	if (!strcmp(asker, grants->self))
		broker_client_granted(grants->client, grants->now, endpoint,
				      adapter);
	else
		grants->actions.send(grants->ctx, asker, &grant);
}

/* An endpoint for which another instance asks has a new owner. */
static void note_asker(grants_t *grants, const char *endpoint,
		       const char *instance)
{
	const char *former = g_hash_table_lookup(grants->askers, endpoint);

	if (former && !strcmp(former, instance))
		return;
	if (former)
		broker_owner_changed(grants->broker, endpoint);
	g_hash_table_replace(grants->askers, g_strdup(endpoint),
			     g_strdup(instance));
}

static void to_broker(grants_t *grants, const void *message)
{
	if (grants->broker_instance)
		grants->actions.send(grants->ctx, grants->broker_instance,
				     message);
}

static void send_want(void *ctx, const char *endpoint,
		      const load_request_t *want)
{
	grants_t *grants = ctx;
	message_load_request_t message = {MESSAGE_LOAD_REQUEST,
					  endpoint ? (char *)endpoint : NULL,
					  (char *)want->adapter,
					  want->waiting,
					  want->priority,
					  grants->now - want->oldest,
					  want->ahead};

	if (!is_broker(grants)) {
		to_broker(grants, &message);
		return;
	}
	note_asker(grants, endpoint, grants->self);
	broker_request_load(grants->broker, grants->now, endpoint, want);
}

static void send_withdraw(void *ctx, const char *endpoint, const char *adapter)
{
	grants_t *grants = ctx;
	message_load_cancel_t message = {MESSAGE_LOAD_CANCEL, (char *)endpoint,
					 (char *)adapter};

	if (is_broker(grants))
		broker_cancel_request(grants->broker, endpoint, adapter);
	else
		to_broker(grants, &message);
}

static void broker_take_end(grants_t *grants, const char *endpoint,
			    const char *adapter, gboolean returned)
{
	if (returned)
		broker_return_grant(grants->broker, grants->now, endpoint,
				    adapter);
	else
		broker_load_ended(grants->broker, grants->now, endpoint,
				  adapter);
}

static void send_load_ended(void *ctx, const char *endpoint,
			    const char *adapter, gboolean returned)
{
	grants_t *grants = ctx;
	message_load_ended_t message = {MESSAGE_LOAD_ENDED, (char *)endpoint,
					(char *)adapter, returned};

	if (is_broker(grants))
		broker_take_end(grants, endpoint, adapter, returned);
	else
		to_broker(grants, &message);
}

static gboolean local_grant(void *ctx, const char *endpoint,
			    const char *adapter)
{
	grants_t *grants = ctx;

	return grants->actions.grant(grants->ctx, endpoint, adapter);
}

grants_t *grants_create(const grants_options_t *options,
			const grants_actions_t *actions, void *ctx, ms_t now)
{
	static const broker_actions_t broker_actions = {send_grant};
	static const broker_client_actions_t client_actions = {
		send_want, send_withdraw, send_load_ended, local_grant};
	broker_client_config_t client_config = {
		options->rate, options->transit_limit, 1, BROKER_SILENCE_MS};
	grants_t *grants = g_new0(grants_t, 1);
	broker_config_t config;

	grants->actions = *actions;
	grants->ctx = ctx;
	grants->self = options->self;
	grants->now = now;
	grants->askers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	broker_config_init(&config, options->rate, options->transit_limit);
	grants->broker = broker_create(&config, &broker_actions, grants);
	grants->client =
		broker_client_create(&client_config, &client_actions, grants);
	return grants;
}

void grants_destroy(grants_t *grants)
{
	broker_client_destroy(grants->client);
	broker_destroy(grants->broker);
	g_hash_table_destroy(grants->askers);
	g_free(grants->broker_instance);
	g_free(grants);
}

void grants_set_broker(grants_t *grants, const char *instance, int members,
		       ms_t now)
{
	grants->now = now;
	broker_client_set_members(grants->client, MAX(1, members));
	if (g_strcmp0(grants->broker_instance, instance) == 0)
		return;
	g_free(grants->broker_instance);
	grants->broker_instance = g_strdup(instance);
	broker_client_set_broker_changed(grants->client, now);
}

void grants_set_limits(grants_t *grants, double rate, int transit_limit)
{
	broker_set_limits(grants->broker, rate, transit_limit);
}

void grants_want(grants_t *grants, const char *endpoint,
		 const load_request_t *want, ms_t now)
{
	grants->now = now;
	broker_client_request_load(grants->client, now, endpoint, want);
}

void grants_withdraw(grants_t *grants, const char *endpoint,
		     const char *adapter)
{
	broker_client_cancel_request(grants->client, endpoint, adapter);
}

void grants_load_ended(grants_t *grants, const char *endpoint,
		       const char *adapter, gboolean is_returned, ms_t now)
{
	grants->now = now;
	broker_client_load_ended(grants->client, now, endpoint, adapter,
				 is_returned);
}

static void receive_want(grants_t *grants, const char *from,
			 const message_load_request_t *message)
{
	load_request_t want = {message->adapter, (int)message->waiting,
			       (int)message->priority,
			       grants->now - message->age, message->is_ahead};

	note_asker(grants, message->endpoint, from);
	broker_request_load(grants->broker, grants->now, message->endpoint,
			    &want);
}

void grants_receive(grants_t *grants, const char *from, const void *message,
		    ms_t now)
{
	const message_load_cancel_t *withdraw = message;
	const message_load_ended_t *ended = message;
	const message_grant_t *grant = message;

	grants->now = now;
	switch (message_type(message)) {
	case MESSAGE_LOAD_REQUEST:
		receive_want(grants, from, message);
		break;
	case MESSAGE_LOAD_CANCEL:
		broker_cancel_request(grants->broker, withdraw->endpoint,
				      withdraw->adapter);
		break;
	case MESSAGE_LOAD_ENDED:
		broker_take_end(grants, ended->endpoint, ended->adapter,
				ended->is_returned);
		break;
	case MESSAGE_GRANT:
		broker_client_granted(grants->client, now, grant->endpoint,
				      grant->adapter);
		break;
	default:
		break;
	}
}

gboolean grants_is_busy(const grants_t *grants)
{
	return is_broker(grants) && broker_request_count(grants->broker);
}

void grants_tick(grants_t *grants, ms_t now)
{
	grants->now = now;
	/*
	 * A broker in reach may have nothing to grant for long: the store is
	 * slow.  Only one that is out of reach counts as silent.
	 */
	if (grants->broker_instance &&
	    grants->actions.is_up(grants->ctx, grants->broker_instance))
		broker_client_note_broker_active(grants->client, now);
	if (is_broker(grants))
		broker_tick(grants->broker, now);
	broker_client_tick(grants->client, now);
}
