/*
 * Detection that the previous owner of an endpoint has stopped, which shortens
 * the hold on inherited adapters.
 *
 * A missing lease or missing heartbeats don't prove it: a process that is
 * paused or partitioned from the service and its peers continues to send
 * requests when it resumes.  The proof is a new lease of the same instance name
 * at the same place.  Only one process can run at a place (see
 * ownership_options_t), so either the new lease belongs to the same process,
 * which acts only under its current lease, or the old process has exited.
 *
 * The instance record is read only while the instance is a live member, because
 * the record can't exist otherwise.
 */

#include <json-glib/json-glib.h>
#include <string.h>

#include "base/counter.h"
#include "base/json_member.h"
#include "own/ownership_internal.h"

char *own_parse_place(const char *text, size_t size)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	char *place = NULL;

	if (json_load(parser, text, (gssize)size, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		place = g_strdup(json_object_get_string_member_with_default(
			json_node_get_object(root), "place", ""));
	g_object_unref(parser);
	return place;
}

static gboolean is_same_place(const own_endpoint_t *endpoint, const char *place)
{
	return place && *place && !strcmp(place, endpoint->predecessor_place);
}

static void on_instance_record_read(void *ctx, kv_status_t status,
				    const kv_item_t *items, size_t count,
				    int64_t revision, const GError *error)
{
	own_endpoint_t *endpoint = ctx;
	char *place;

	endpoint->open_calls--;
	endpoint->is_predecessor_read_open = FALSE;
	if (endpoint->phase != PHASE_OWNED || status != KV_DONE || !count ||
	    !items[0].lease || items[0].lease == endpoint->predecessor_lease)
		return;
	place = own_parse_place(items[0].value, items[0].size);
	endpoint->is_predecessor_check_done = TRUE;
	endpoint->is_predecessor_stopped = is_same_place(endpoint, place);
	g_free(place);
	own_wake(endpoint);
}

static gboolean is_member(const ownership_t *own, const char *name)
{
	guint i;

	for (i = 0; i < own->members->len; i++) {
		const own_member_t *member = own->members->pdata[i];

		if (!strcmp(member->name, name))
			return TRUE;
	}
	return FALSE;
}

static void check_predecessor(own_endpoint_t *endpoint, ms_t now)
{
	ownership_t *own = endpoint->own;
	char *key;

	/* This instance has that name; its place needs no read. */
	if (!strcmp(endpoint->predecessor_owner, lease_instance(own->lease))) {
		endpoint->is_predecessor_check_done = TRUE;
		endpoint->is_predecessor_stopped =
			is_same_place(endpoint, own->options.place);
		return;
	}
	if (!is_member(own, endpoint->predecessor_owner))
		return;
	endpoint->predecessor_check_at =
		now + own->options.predecessor_poll_interval;
	endpoint->is_predecessor_read_open = TRUE;
	endpoint->open_calls++;
	key = lease_record_key(endpoint->predecessor_owner);
	kv_read(own->kv, key, on_instance_record_read, endpoint);
	g_free(key);
}

static void shorten_hold(own_endpoint_t *endpoint, ms_t now)
{
	ms_t until = MAX(now + endpoint->own->options.transit_max,
			 endpoint->taken_at + endpoint->predecessor_hold);

	endpoint->is_predecessor_stopped = FALSE;
	endpoint->hold_until = MIN(endpoint->hold_until, until);
	counter_add(counter_get("hc_ownership_predecessor_stopped_total"), 1);
}

void own_predecessor_begin(own_endpoint_t *endpoint)
{
	const endpoint_record_t *seen = endpoint->seen;

	own_predecessor_end(endpoint);
	endpoint->predecessor_lease = seen ? seen->incarnation : 0;
	endpoint->predecessor_hold = seen ? seen->hold : 0;
	endpoint->predecessor_owner = g_strdup(seen ? seen->owner : "");
	endpoint->predecessor_place = g_strdup(seen ? seen->place : "");
	endpoint->predecessor_check_at = 0;
	endpoint->is_predecessor_check_done = !*endpoint->predecessor_place;
	endpoint->is_predecessor_stopped = FALSE;
}

void own_predecessor_end(own_endpoint_t *endpoint)
{
	g_clear_pointer(&endpoint->predecessor_owner, g_free);
	g_clear_pointer(&endpoint->predecessor_place, g_free);
}

void own_predecessor_tick(own_endpoint_t *endpoint, ms_t now)
{
	ms_t transit_max = endpoint->own->options.transit_max;

	if (endpoint->is_predecessor_stopped)
		shorten_hold(endpoint, now);
	/* With a checking engine, the fence stops the predecessor. */
	if (endpoint->checks_fencing || !endpoint->predecessor_lease ||
	    endpoint->is_predecessor_check_done ||
	    endpoint->is_predecessor_read_open ||
	    now < endpoint->predecessor_check_at ||
	    endpoint->hold_until <= now + transit_max)
		return;
	check_predecessor(endpoint, now);
}
