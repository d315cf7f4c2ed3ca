#include "owner/grants.h"

#include <string.h>

#include "base/counter.h"
#include "sched/broker.h"

/* A broker that is not connected for this long counts as silent. */
#define BROKER_SILENCE_MS 3000

struct grants {
	grants_actions_t actions;
	void *ctx;
	const char *self;
	char *broker_instance; /* NULL if there is none */
	broker_t *broker;      /* used while this instance is the broker */
	broker_client_t *client;
	GHashTable *owners; /* endpoint to the instance that owns it */
	ms_t now;
};

static gboolean is_broker(const grants_t *grants)
{
	return g_strcmp0(grants->broker_instance, grants->self) == 0;
}

/* Sends a grant to the owner of the endpoint. */
static void send_grant(void *ctx, const char *endpoint, const char *adapter)
{
	grants_t *grants = ctx;
	const char *owner = g_hash_table_lookup(grants->owners, endpoint);
	message_grant_t grant = {MESSAGE_GRANT, (char *)endpoint,
				 (char *)adapter};

	counter_add(counter_get("hc_broker_grants_total"), 1);
	if (!owner)
		return;
	if (!strcmp(owner, grants->self))
		broker_client_granted(grants->client, grants->now, endpoint,
				      adapter);
	else
		grants->actions.send(grants->ctx, owner, &grant);
}

/*
 * Records the owner of an endpoint, which is the instance that requests loads
 * for it, and notifies the broker of a new owner.
 */
static void set_endpoint_owner(grants_t *grants, const char *endpoint,
			       const char *instance)
{
	const char *former = g_hash_table_lookup(grants->owners, endpoint);

	if (former && !strcmp(former, instance))
		return;
	if (former)
		broker_owner_changed(grants->broker, endpoint);
	g_hash_table_replace(grants->owners, g_strdup(endpoint),
			     g_strdup(instance));
}

static void send_to_broker(grants_t *grants, const void *message)
{
	if (grants->broker_instance)
		grants->actions.send(grants->ctx, grants->broker_instance,
				     message);
}

static void send_load_request(void *ctx, const char *endpoint,
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
		send_to_broker(grants, &message);
		return;
	}
	set_endpoint_owner(grants, endpoint, grants->self);
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
		send_to_broker(grants, &message);
}

static void broker_record_end(grants_t *grants, const char *endpoint,
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
		broker_record_end(grants, endpoint, adapter, returned);
	else
		send_to_broker(grants, &message);
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
		send_load_request, send_withdraw, send_load_ended, local_grant};
	broker_client_config_t client_config = {
		options->rate, options->transit_limit, 1, BROKER_SILENCE_MS};
	grants_t *grants = g_new0(grants_t, 1);
	broker_config_t config;

	grants->actions = *actions;
	grants->ctx = ctx;
	grants->self = options->self;
	grants->now = now;
	grants->owners =
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
	g_hash_table_destroy(grants->owners);
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

void grants_request_load(grants_t *grants, const char *endpoint,
			 const load_request_t *want, ms_t now)
{
	grants->now = now;
	broker_client_request_load(grants->client, now, endpoint, want);
}

void grants_withdraw_request(grants_t *grants, const char *endpoint,
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

static void receive_load_request(grants_t *grants, const char *from,
				 const message_load_request_t *message)
{
	load_request_t want = {message->adapter, (int)message->waiting,
			       (int)message->priority,
			       grants->now - message->age, message->is_ahead};

	set_endpoint_owner(grants, message->endpoint, from);
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
		receive_load_request(grants, from, message);
		break;
	case MESSAGE_LOAD_CANCEL:
		broker_cancel_request(grants->broker, withdraw->endpoint,
				      withdraw->adapter);
		break;
	case MESSAGE_LOAD_ENDED:
		broker_record_end(grants, ended->endpoint, ended->adapter,
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
	 * A connected broker may grant nothing for long if the store is slow,
	 * so only a broker that is not connected counts as silent.
	 */
	if (grants->broker_instance &&
	    grants->actions.is_up(grants->ctx, grants->broker_instance))
		broker_client_note_broker_active(grants->client, now);
	if (is_broker(grants))
		broker_tick(grants->broker, now);
	broker_client_tick(grants->client, now);
}
