#include "fake_net.h"

#include <string.h>

#include <msgpack.h>

#define WHEEL_SLOTS 64 /* longest delay, in steps */

typedef struct {
	int to;
	msgpack_sbuffer bytes;
} packet_t;

typedef struct {
	GPtrArray *slots[WHEEL_SLOTS];
} wheel_t;

static gboolean no_cut(const fake_net_t *net, const fake_node_t *from,
		       const fake_node_t *to)
{
	return FALSE;
}

static void packet_free(packet_t *packet)
{
	msgpack_sbuffer_destroy(&packet->bytes);
	g_free(packet);
}

static fake_node_t *find_node(fake_net_t *net, const char *name)
{
	int index = (int)g_ascii_strtoll(name + 1, NULL, 10);

	g_assert(index < net->count);
	return &net->nodes[index];
}

static void on_send(void *ctx, const char *to, const member_place_t *place,
		    const member_message_t *message)
{
	fake_node_t *node = ctx;
	fake_net_t *net = node->net;
	fake_node_t *target = find_node(net, to);
	gboolean is_far = !!strcmp(node->place.region, target->place.region);
	ms_t delay_max = is_far ? net->region_delay_max : net->delay_max;
	wheel_t *wheel = net->wheel;
	codec_writer_t writer;
	packet_t *packet;
	ms_t at;

	g_assert(place->owner_port == target->place.owner_port);
	member_message_write(message, &writer);
	node->messages_sent++;
	node->bytes_sent +=
		(int64_t)writer.buffer.size + MEMBER_MESSAGE_OVERHEAD;
	if (net->is_cut(net, node, target) ||
	    g_rand_double(net->rand) < net->loss) {
		codec_write_release(&writer);
		return;
	}
	packet = g_new0(packet_t, 1);
	packet->to = target->index;
	packet->bytes = writer.buffer;
	at = net->now / FAKE_STEP + 1 +
	     g_rand_int_range(net->rand, 0, (int)delay_max) / FAKE_STEP;
	g_ptr_array_add(wheel->slots[at % WHEEL_SLOTS], packet);
}

static void on_change(void *ctx, const member_info_t *info)
{
	fake_node_t *node = ctx;

	if (node->net->on_change)
		node->net->on_change(node, info);
}

static void on_endpoint(void *ctx, const char *endpoint, gboolean is_leaving)
{
}

static void on_generation(void *ctx, const char *peer, int64_t generation)
{
	fake_node_t *node = ctx;

	node->generation_offered = MAX(node->generation_offered, generation);
	if (node->net->on_generation)
		node->net->on_generation(node, generation);
}

static void on_told_to_leave(void *ctx)
{
	fake_node_t *node = ctx;

	node->told_to_leave++;
}

static const member_events_t events = {
	.send = on_send,
	.on_change = on_change,
	.on_endpoint = on_endpoint,
	.on_generation = on_generation,
	.on_told_to_leave = on_told_to_leave,
};

fake_net_t *fake_net_create(int count, int regions, int domains, uint32_t seed)
{
	fake_net_t *net = g_new0(fake_net_t, 1);
	wheel_t *wheel = g_new0(wheel_t, 1);
	int i;

	net->nodes = g_new0(fake_node_t, count);
	net->count = count;
	net->now = 1000;
	net->period = MEMBER_PERIOD;
	net->rand = g_rand_new_with_seed(seed);
	net->delay_max = 10;
	net->region_delay_max = 80;
	net->is_cut = no_cut;
	net->wheel = wheel;
	for (i = 0; i < WHEEL_SLOTS; i++)
		wheel->slots[i] = g_ptr_array_new_with_free_func(
			(GDestroyNotify)packet_free);
	for (i = 0; i < count; i++) {
		fake_node_t *node = &net->nodes[i];
		int domain = i % domains;

		node->net = net;
		node->index = i;
		node->name = g_strdup_printf("i%d-bc-lower-entry", i);
		node->place.address = g_strdup("10.20.30.140");
		node->place.entry_port = 8080;
		node->place.owner_port = 9000 + i;
		node->place.admin_port = 8090;
		node->place.region = g_strdup_printf("r%d", domain % regions);
		node->place.failure_domain =
			g_strdup_printf("bc-lower-%d", domain);
	}
	return net;
}

void fake_net_destroy(fake_net_t *net)
{
	wheel_t *wheel = net->wheel;
	int i;

	for (i = 0; i < net->count; i++) {
		fake_node_t *node = &net->nodes[i];

		member_destroy(node->member);
		g_free(node->name);
		g_free(node->place.address);
		g_free(node->place.region);
		g_free(node->place.failure_domain);
	}
	for (i = 0; i < WHEEL_SLOTS; i++)
		g_ptr_array_unref(wheel->slots[i]);
	g_free(wheel);
	g_free(net->nodes);
	g_rand_free(net->rand);
	g_free(net);
}

void fake_net_start(fake_net_t *net, int index)
{
	fake_node_t *node = &net->nodes[index];
	member_options_t options = {
		.name = node->name,
		.place = &node->place,
		.incarnation = 1000000 + net->now / 1000 + net->starts++,
		.seed = g_rand_int(net->rand),
		.period = net->period,
	};
	int i;

	g_assert(!node->member);
	node->generation_offered = 0;
	node->member = member_create(&options, &events, node, net->now);
	for (i = 0; i < net->count; i++) {
		fake_node_t *other = &net->nodes[i];

		if (other != node && other->member)
			member_apply_listing(node->member, other->name,
					     &other->place, FALSE, net->now);
	}
}

void fake_net_start_all(fake_net_t *net)
{
	int i;

	for (i = 0; i < net->count; i++)
		fake_net_start(net, i);
	fake_net_list(net);
}

void fake_net_list(fake_net_t *net)
{
	int i;
	int j;

	for (i = 0; i < net->count; i++) {
		for (j = 0; j < net->count; j++) {
			const fake_node_t *other = &net->nodes[j];

			if (i != j && net->nodes[i].member && other->member)
				member_apply_listing(net->nodes[i].member,
						     other->name, &other->place,
						     FALSE, net->now);
		}
	}
}

void fake_net_kill(fake_net_t *net, int index)
{
	member_destroy(net->nodes[index].member);
	net->nodes[index].member = NULL;
}

static void deliver(fake_net_t *net, const packet_t *packet)
{
	fake_node_t *node = &net->nodes[packet->to];
	msgpack_unpacked unpacked;
	member_message_t *message;
	GError *error = NULL;

	if (!node->member)
		return;
	node->bytes_received +=
		(int64_t)packet->bytes.size + MEMBER_MESSAGE_OVERHEAD;
	msgpack_unpacked_init(&unpacked);
	g_assert(msgpack_unpack_next(&unpacked, packet->bytes.data,
				     packet->bytes.size,
				     NULL) == MSGPACK_UNPACK_SUCCESS);
	message = member_message_read(&unpacked.data, &error);
	g_assert_no_error(error);
	member_receive(node->member, message, net->now);
	member_message_free(message);
	msgpack_unpacked_destroy(&unpacked);
}

void fake_net_run(fake_net_t *net, ms_t duration)
{
	wheel_t *wheel = net->wheel;
	ms_t end = net->now + duration;

	while (net->now < end) {
		GPtrArray *slot;
		guint at;
		int i;

		net->now += FAKE_STEP;
		slot = wheel->slots[net->now / FAKE_STEP % WHEEL_SLOTS];
		for (at = 0; at < slot->len; at++)
			deliver(net, slot->pdata[at]);
		g_ptr_array_set_size(slot, 0);
		for (i = 0; i < net->count; i++) {
			member_t *member = net->nodes[i].member;

			if (member && member_due(member) <= net->now)
				member_tick(member, net->now);
		}
	}
}

gboolean fake_net_all_see(const fake_net_t *net, const char *name,
			  member_state_t state)
{
	int i;

	for (i = 0; i < net->count; i++) {
		const fake_node_t *node = &net->nodes[i];
		member_info_t info;

		if (!node->member || !strcmp(node->name, name))
			continue;
		if (!member_find(node->member, name, &info) ||
		    info.state != state)
			return FALSE;
	}
	return TRUE;
}

static gboolean is_held_live(const member_info_t *info)
{
	return info->state != MEMBER_FAILED && info->state != MEMBER_LEFT;
}

gboolean fake_net_is_converged(const fake_net_t *net)
{
	int i;
	int j;

	for (i = 0; i < net->count; i++) {
		if (!net->nodes[i].member)
			continue;
		for (j = 0; j < net->count; j++) {
			const fake_node_t *other = &net->nodes[j];
			member_info_t info;
			gboolean is_live = member_find(net->nodes[i].member,
						       other->name, &info) &&
					   info.place && is_held_live(&info);

			if (is_live != !!other->member)
				return FALSE;
		}
	}
	return TRUE;
}

ms_t fake_net_settle(fake_net_t *net, ms_t limit)
{
	ms_t start = net->now;

	while (net->now - start <= limit) {
		if (fake_net_is_converged(net))
			return net->now - start;
		fake_net_run(net, 500);
	}
	return MS_NEVER;
}
