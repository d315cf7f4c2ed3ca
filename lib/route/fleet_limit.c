#include "route/fleet_private.h"

#include <string.h>

#include "base/hash.h"

/* In this time the first request after a time of quiet has been answered. */
#define PROBE_ANSWER_MS 200

/* The share of this instance in the limit of an endpoint. */
static request_share_t compute_share(const fleet_t *fleet,
				     const fleet_endpoint_t *endpoint,
				     double per_s)
{
	request_share_t share = {
		.per_s = per_s,
		.instances = g_hash_table_size(fleet->instances) + 1,
		.is_engine = endpoint->is_engine,
		.is_holder = endpoint->is_holder,
	};
	uint64_t own = hash_rendezvous(endpoint->id, fleet->instance);
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, fleet->instances);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		share.rank += hash_rendezvous(endpoint->id, name) > own;
	return share;
}

static void set_share(const fleet_t *fleet, fleet_endpoint_t *endpoint,
		      ms_t now, double per_s)
{
	request_share_t share = compute_share(fleet, endpoint, per_s);

	request_limit_set_share(endpoint->limit, now, &share);
}

void fleet_set_instance(fleet_t *fleet, ms_t now, const char *instance,
			gboolean is_alive)
{
	GHashTableIter iter;
	gpointer value;
	gboolean has_changed;

	if (!strcmp(instance, fleet->instance))
		return;
	has_changed =
		is_alive
			? g_hash_table_add(fleet->instances, g_strdup(instance))
			: g_hash_table_remove(fleet->instances, instance);
	if (!has_changed)
		return;
	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;

		if (endpoint->limit)
			set_share(fleet, endpoint, now,
				  request_limit_per_s(endpoint->limit));
	}
}

void fleet_endpoint_note_limit(fleet_t *fleet, fleet_endpoint_t *endpoint,
			       ms_t now, double per_s, gboolean is_own)
{
	request_share_t share;

	if (!endpoint->limit) {
		share = compute_share(fleet, endpoint, per_s);
		endpoint->limit = request_limit_create(now, &share);
	} else if (request_limit_per_s(endpoint->limit) != per_s) {
		set_share(fleet, endpoint, now, per_s);
	}
	request_limit_confirm(endpoint->limit, now, is_own);
}

void fleet_endpoint_end_limit(fleet_endpoint_t *endpoint)
{
	g_clear_pointer(&endpoint->limit, request_limit_destroy);
}

request_limit_t *fleet_endpoint_limit(const fleet_endpoint_t *endpoint)
{
	return endpoint->limit;
}

void fleet_endpoint_set_holder(fleet_t *fleet, fleet_endpoint_t *endpoint,
			       ms_t now, gboolean is_holder)
{
	endpoint->is_holder = is_holder;
	if (endpoint->limit)
		set_share(fleet, endpoint, now,
			  request_limit_per_s(endpoint->limit));
}

ms_t fleet_endpoint_limit_wait(const fleet_endpoint_t *endpoint, ms_t now)
{
	if (!endpoint->limit)
		return 0;
	return request_limit_wait(endpoint->limit, now, endpoint->reserved);
}

void fleet_endpoint_count_call(fleet_endpoint_t *endpoint, ms_t now)
{
	if (endpoint->limit)
		request_limit_count(endpoint->limit, now);
}

void fleet_endpoint_reserve(fleet_endpoint_t *endpoint)
{
	endpoint->reserved++;
}

void fleet_endpoint_unreserve(fleet_endpoint_t *endpoint)
{
	g_assert(endpoint->reserved > 0);
	endpoint->reserved--;
}

ms_t fleet_refusal_time(fleet_t *fleet, ms_t now, const char *service,
			ms_t time_left, standing_t *why)
{
	fleet_endpoint_t *soonest = NULL;
	GHashTableIter iter;
	gpointer value;
	ms_t shortest = 0;

	*why = STANDING_OPEN;
	g_hash_table_iter_init(&iter, fleet->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fleet_endpoint_t *endpoint = value;
		standing_t standing = fleet_endpoint_standing(endpoint, now);
		ms_t wait = 0;

		if (strcmp(endpoint->service, service))
			continue;
		if (standing == STANDING_OPEN)
			return 0;
		if (standing == STANDING_QUIET)
			wait = MAX(endpoint->quiet_until - now,
				   PROBE_ANSWER_MS);
		else if (standing == STANDING_LIMITED)
			wait = request_limit_promised_time(endpoint->limit,
							   now);
		if (wait && (!shortest || wait < shortest)) {
			shortest = wait;
			*why = standing;
			soonest = endpoint;
		}
	}
	if (*why == STANDING_LIMITED)
		request_limit_promise(soonest->limit, now, time_left);
	return shortest;
}
