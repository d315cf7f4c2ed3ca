#include "capacity/capacity.h"
#include "member/member.h"
#include "member/placement_updates.h"
#include "own/assign.h"
#include "sched/placement.h"

/* Adapters that an engine holds at once. */
#define SLOTS 24

#define LOOKUPS	 200000
#define APPLIES	 20000
#define US_A_MS	 1000.0
#define NS_A_US	 1000.0
#define HOUR	 (60 * 60 * 1000)
#define HOUR_S	 3600.0
#define STREAM	 1234567
#define GRAIN	 50 /* milliseconds of virtual time */
#define OWNED	 10 /* endpoints of one owner at the target size */
#define ADAPTERS 1000

static void apply_endpoint(placement_t *placement, int number, uint64_t first)
{
	char *endpoint = g_strdup_printf("fibre-assist-e%d", number);
	char *owner = g_strdup_printf("i%d-bc-lower-entry", number / OWNED);
	char *added[SLOTS + 1] = {NULL};
	placement_update_t news = {.endpoint = endpoint,
				   .owner = owner,
				   .epoch = 1,
				   .sequence = first,
				   .snapshot = TRUE,
				   .added = (const char *const *)added,
				   .load = {.concurrency = 16}};
	int i;

	for (i = 0; i < SLOTS; i++)
		added[i] = g_strdup_printf("kapok-notes-%06d@v12",
					   number * SLOTS + i);
	g_assert(placement_apply(placement, 1, &news) == PLACEMENT_APPLIED);
	for (i = 0; i < SLOTS; i++)
		g_free(added[i]);
	g_free(endpoint);
	g_free(owner);
}

/* One adapter leaves an endpoint and another comes. */
static void apply_changes(placement_t *placement, report_t *report,
			  int adapters)
{
	double start = processor_us();
	int endpoints = MAX(adapters / SLOTS, 1);
	int i;

	for (i = 0; i < APPLIES; i++) {
		const char *added[] = {"kapok-other@v1", NULL};
		const char *none[] = {NULL};
		char endpoint[32];
		placement_update_t news = {.endpoint = endpoint,
					   .owner = "i0-bc-lower-entry",
					   .epoch = 2 + (uint64_t)i,
					   .sequence = 1,
					   .snapshot = TRUE,
					   .added = i & 1 ? none : added,
					   .load = {.concurrency = 16}};

		g_snprintf(endpoint, sizeof(endpoint), "fibre-assist-e%d",
			   i / 2 % endpoints);
		placement_apply(placement, 2, &news);
	}
	report_add(report, "placement.apply", "us", adapters,
		   (processor_us() - start) / APPLIES);
}

void capacity_placement(report_t *report, int adapters)
{
	double before = allocated_bytes();
	GRand *rand = g_rand_new_with_seed(1);
	int endpoints = MAX(adapters / SLOTS, 1);
	placement_config_t config;
	placement_choice_t choice;
	placement_t *placement;
	double start;
	int hits = 0;
	int i;

	placement_config_init(&config);
	placement = placement_create(&config, rand);
	for (i = 0; i < endpoints; i++)
		apply_endpoint(placement, i, 1);
	report_add(report, "placement.memory_per_adapter", "bytes", adapters,
		   (allocated_bytes() - before) / (endpoints * SLOTS));
	start = processor_us();
	for (i = 0; i < LOOKUPS; i++) {
		char name[64];

		g_snprintf(name, sizeof(name), "kapok-notes-%06d@v12",
			   g_rand_int_range(rand, 0, endpoints * SLOTS));
		hits += placement_choose(placement, 2, name, 0, &choice);
	}
	report_add(report, "placement.choose", "us", adapters,
		   (processor_us() - start) / LOOKUPS);
	g_assert(hits == LOOKUPS);
	apply_changes(placement, report, adapters);
	placement_destroy(placement);
	g_rand_free(rand);
}

void capacity_assign(report_t *report, int members, int endpoints)
{
	assign_member_t *member = g_new0(assign_member_t, members);
	assign_endpoint_t *endpoint = g_new0(assign_endpoint_t, endpoints);
	int *owners = g_new0(int, endpoints);
	static const char *const domains[] = {"a", "b", "c", "d"};
	double start;
	int i;

	for (i = 0; i < members; i++) {
		member[i].name = g_strdup_printf("i%d-bc-lower-entry", i);
		member[i].failure_domain = domains[i % 4];
	}
	for (i = 0; i < endpoints; i++) {
		endpoint[i].id = g_strdup_printf("fibre-assist-e%d", i);
		endpoint[i].failure_domain = domains[i % 4];
	}
	start = processor_us();
	assign_endpoints(endpoint, (size_t)endpoints, member, (size_t)members,
			 owners);
	report_add(report, "assign.endpoints", "ms", members,
		   (processor_us() - start) / US_A_MS);
	for (i = 0; i < members; i++)
		g_free((char *)member[i].name);
	for (i = 0; i < endpoints; i++)
		g_free((char *)endpoint[i].id);
	g_free(member);
	g_free(endpoint);
	g_free(owners);
}

static void on_send(void *ctx, const char *entry,
		    const updates_message_t *message)
{
	codec_writer_t writer;

	/* A connection encodes for each peer. */
	updates_message_write(message, &writer);
	codec_write_release(&writer);
}

static const updates_sender_events_t sender_events = {on_send};

static void change_one(updates_sender_t *sender, GRand *rand, int turn,
		       ms_t now)
{
	char endpoint[32];
	char adapter[32];

	g_snprintf(endpoint, sizeof(endpoint), "fibre-assist-e%d",
		   g_rand_int_range(rand, 0, OWNED));
	g_snprintf(adapter, sizeof(adapter), "kapok-notes-%06d@v12",
		   turn / 2 % ADAPTERS);
	updates_sender_set_resident(sender, endpoint, 1, adapter, !(turn & 1),
				    now);
}

void capacity_news(report_t *report, int followers, double changes_per_hour,
		   uint32_t seed)
{
	updates_options_t options = {.stream = STREAM};
	updates_sender_t *sender =
		updates_sender_create(&options, &sender_events, NULL);
	GRand *rand = g_rand_new_with_seed(seed);
	double chance = changes_per_hour * GRAIN / HOUR;
	double start = processor_us();
	updates_stats_t stats;
	ms_t now;
	int turn = 0;
	int i;

	for (i = 0; i < followers; i++) {
		char *name = g_strdup_printf("i%d-bc-lower-entry", i);

		updates_sender_subscribe(sender, name, 0);
		g_free(name);
	}
	for (now = GRAIN; now <= HOUR; now += GRAIN) {
		if (g_rand_double(rand) < chance)
			change_one(sender, rand, turn++, now);
		if (updates_sender_due(sender) <= now)
			updates_sender_tick(sender, now);
	}
	updates_sender_stats(sender, &stats);
	report_add(report, "news.bytes_sent", "bytes/s", followers,
		   (double)stats.bytes_sent / HOUR_S);
	report_add(report, "news.messages_sent", "a second", followers,
		   (double)stats.messages_sent / HOUR_S);
	report_add(report, "news.delay_mean", "ms", followers,
		   (double)stats.delay_sum /
			   (double)MAX(stats.changes_sent, 1));
	report_add(report, "news.delay_most", "ms", followers,
		   (double)stats.delay_max);
	report_add(report, "news.cpu", "us a second", followers,
		   (processor_us() - start) / HOUR_S);
	updates_sender_destroy(sender);
	g_rand_free(rand);
}

void capacity_news_size(report_t *report, int changes)
{
	updates_message_t *message = updates_message_new(UPDATES_CHANGES);
	codec_writer_t writer;
	int i;

	message->stream = STREAM;
	message->sequence = ADAPTERS;
	for (i = 0; i < changes; i++) {
		char *name = g_strdup_printf("fibre-assist-e%d", 1000 + i);
		updates_endpoint_t *endpoint =
			updates_endpoint_new(name, ADAPTERS);

		updates_endpoint_add(endpoint, "kapok-notes-012345@v12", TRUE);
		g_ptr_array_add(message->endpoints, endpoint);
		g_free(name);
	}
	updates_message_write(message, &writer);
	report_add(report, "news.message_size", "bytes", changes,
		   (double)writer.buffer.size + MEMBER_MESSAGE_OVERHEAD);
	codec_write_release(&writer);
	updates_message_free(message);
}
