#include <string.h>

#include "own/ownership_internal.h"

void own_clear_members(ownership_t *own)
{
	guint i;

	for (i = 0; i < own->members->len; i++) {
		own_member_t *member = own->members->pdata[i];

		g_free(member->name);
		g_free(member->failure_domain);
		g_free(member);
	}
	g_ptr_array_set_size(own->members, 0);
}

static void set_preferred(own_endpoint_t *endpoint, ms_t now,
			  gboolean is_preferred)
{
	if (endpoint->is_preferred == is_preferred)
		return;
	endpoint->is_preferred = is_preferred;
	endpoint->preference_changed_at = now;
	endpoint->next_at = now;
	endpoint->poll_interval = endpoint->own->options.poll_min;
}

static void assign(ownership_t *own, ms_t now)
{
	guint count = g_hash_table_size(own->by_id);
	assign_endpoint_t *endpoints = g_new0(assign_endpoint_t, count);
	assign_member_t *members =
		g_new0(assign_member_t, own->members->len + 1);
	int *owners = g_new0(int, count);
	own_endpoint_t *endpoint;
	size_t used = 0;
	guint i;

	for (i = 0; i < own->members->len; i++) {
		const own_member_t *member = own->members->pdata[i];

		members[i].name = member->name;
		members[i].failure_domain = member->failure_domain;
	}
	TAILQ_FOREACH (endpoint, &own->endpoints, link) {
		if (!endpoint->is_listed)
			continue;
		endpoints[used].id = endpoint->id;
		endpoints[used++].failure_domain = endpoint->failure_domain;
	}
	assign_endpoints(endpoints, used, members, own->members->len, owners);
	used = 0;
	TAILQ_FOREACH (endpoint, &own->endpoints, link) {
		int owner = endpoint->is_listed ? owners[used++] : -1;

		set_preferred(endpoint, now,
			      owner >= 0 &&
				      !g_strcmp0(members[owner].name,
						 lease_instance(own->lease)));
	}
	g_free(endpoints);
	g_free(members);
	g_free(owners);
}

void ownership_set_members(ownership_t *own, ms_t now,
			   const assign_member_t *members, size_t count)
{
	size_t i;

	own_clear_members(own);
	for (i = 0; i < count; i++) {
		own_member_t *member = g_new0(own_member_t, 1);

		member->name = g_strdup(members[i].name);
		member->failure_domain = g_strdup(members[i].failure_domain);
		g_ptr_array_add(own->members, member);
	}
	assign(own, now);
}

static own_endpoint_t *endpoint_add(ownership_t *own, const char *id)
{
	own_endpoint_t *endpoint = g_new0(own_endpoint_t, 1);

	endpoint->own = own;
	endpoint->id = g_strdup(id);
	endpoint->key = endpoint_record_key(id);
	endpoint->poll_interval = own->options.poll_min;
	TAILQ_INSERT_TAIL(&own->endpoints, endpoint, link);
	g_hash_table_insert(own->by_id, endpoint->id, endpoint);
	return endpoint;
}

void ownership_set_endpoints(ownership_t *own, ms_t now,
			     const ownership_endpoint_t *endpoints,
			     size_t count)
{
	own_endpoint_t *endpoint;
	size_t i;

	TAILQ_FOREACH (endpoint, &own->endpoints, link)
		endpoint->is_listed = FALSE;
	for (i = 0; i < count; i++) {
		endpoint = g_hash_table_lookup(own->by_id, endpoints[i].id);
		if (!endpoint)
			endpoint = endpoint_add(own, endpoints[i].id);
		endpoint->is_listed = TRUE;
		g_free(endpoint->failure_domain);
		endpoint->failure_domain =
			g_strdup(endpoints[i].failure_domain);
		endpoint->slot_count = endpoints[i].slot_count;
		endpoint->checks_fencing = endpoints[i].checks_fencing;
	}
	assign(own, now);
}
