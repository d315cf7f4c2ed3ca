#include "entry/routing.h"

#include <sys/queue.h>

#include "base/counter.h"

/* A home that does not answer in this time is passed over. */
#define HOME_TIMEOUT_MS 500

/* How long to wait for a new owner of an endpoint. */
#define OWNER_WAIT_MS 30000

/* Requests per place from which on the home may add a replica. */
#define CROWDED_LOAD 1.0

/* When to come back if nothing better is known. */
#define RETRY_AFTER_MS 1000

typedef enum {
	SEARCH_HOME,  /* waits for the answer of a home */
	SEARCH_OWNER, /* waits until the endpoint has an owner in reach */
	SEARCH_FOUND, /* to be reported by the next tick */
	SEARCH_FAILED /* likewise */
} search_state_t;

struct search {
	TAILQ_ENTRY(search) link;
	search_state_t state;
	int64_t ticket;
	char *endpoint; /* found, or looked for */
	char *owner;
	GError *error;
	ms_t retry_after;
	ms_t due;
	uint64_t prefix;
	search_done_t done;
	void *ctx;
};

TAILQ_HEAD(search_list, search);

struct routing {
	const live_owners_t *view;
	placement_t *placement;
	routing_actions_t actions;
	void *ctx;
	struct search_list searches;
	int ready; /* searches in SEARCH_FOUND or SEARCH_FAILED */
	int64_t next_ticket;
};

routing_t *routing_create(const live_owners_t *view, placement_t *placement,
			  const routing_actions_t *actions, void *ctx)
{
	routing_t *routing = g_new0(routing_t, 1);

	routing->view = view;
	routing->placement = placement;
	routing->actions = *actions;
	routing->ctx = ctx;
	TAILQ_INIT(&routing->searches);
	return routing;
}

static void search_free(routing_t *routing, search_t *search)
{
	TAILQ_REMOVE(&routing->searches, search, link);
	g_assert(TAILQ_FIRST(&routing->searches) != search);
	if (search->state == SEARCH_FOUND || search->state == SEARCH_FAILED)
		routing->ready--;
	g_free(search->endpoint);
	g_free(search->owner);
	g_clear_error(&search->error);
	g_free(search);
}

void routing_destroy(routing_t *routing)
{
	while (!TAILQ_EMPTY(&routing->searches))
		search_free(routing, TAILQ_FIRST(&routing->searches));
	g_free(routing);
}

static search_t *search_create(routing_t *routing, search_done_t done,
			       void *ctx)
{
	search_t *search = g_new0(search_t, 1);

	search->state = SEARCH_HOME;
	search->done = done;
	search->ctx = ctx;
	TAILQ_INSERT_TAIL(&routing->searches, search, link);
	return search;
}

static void set_found(routing_t *routing, search_t *search,
		      const char *endpoint, const char *owner)
{
	char *old = search->endpoint;

	search->endpoint = g_strdup(endpoint);
	search->owner = g_strdup(owner);
	g_free(old);
	search->state = SEARCH_FOUND;
	routing->ready++;
}

static void set_failed(routing_t *routing, search_t *search, error_kind_t kind,
		       ms_t retry_after, const char *why)
{
	error_set(&search->error, kind, "%s", why);
	search->retry_after = retry_after;
	search->state = SEARCH_FAILED;
	routing->ready++;
}

/* Ask the home of the adapter; FALSE if it can't be asked. */
static gboolean ask_home(routing_t *routing, search_t *search,
			 const char *adapter, gboolean is_crowded,
			 const char *avoid, ms_t now)
{
	const char *home = live_owners_choose(routing->view, adapter);
	message_place_t place = {MESSAGE_PLACE, 0, (char *)adapter, is_crowded,
				 (char *)avoid};

	if (!home)
		return FALSE;
	search->ticket = ++routing->next_ticket;
	place.ticket = search->ticket;
	search->due = now + HOME_TIMEOUT_MS;
	counter_add(counter_get("hc_entry_home_asked_total"), 1);
	return routing->actions.send(routing->ctx, home, &place);
}

search_t *routing_find_adapter(routing_t *routing, const char *adapter,
			       uint64_t prefix, const char *avoid, ms_t now,
			       search_done_t done, void *ctx)
{
	search_t *search = search_create(routing, done, ctx);
	placement_choice_t choice;
	gboolean is_hit;

	search->prefix = prefix;
	if (avoid)
		placement_remove_adapter(routing->placement, avoid, adapter);
	is_hit = placement_choose(routing->placement, now, adapter, prefix,
				  &choice) &&
		 routing->actions.is_up(routing->ctx, choice.owner);
	if (is_hit && choice.load < CROWDED_LOAD) {
		counter_add(counter_get("hc_entry_hits_total"), 1);
		set_found(routing, search, choice.endpoint, choice.owner);
		return search;
	}
	counter_add(counter_get("hc_entry_misses_total"), 1);
	if (ask_home(routing, search, adapter, is_hit, avoid, now)) {
		/* A home that is silent leaves the crowded hit. */
		if (is_hit) {
			search->endpoint = g_strdup(choice.endpoint);
			search->owner = g_strdup(choice.owner);
		}
		return search;
	}
	if (is_hit)
		set_found(routing, search, choice.endpoint, choice.owner);
	else
		set_failed(routing, search, ERROR_UNAVAILABLE, RETRY_AFTER_MS,
			   "no owner is in reach to place the adapter; come "
			   "back later");
	return search;
}

void routing_expect(routing_t *routing, const char *adapter, double likelihood,
		    ms_t now)
{
	message_expect_t expect = {
		MESSAGE_EXPECT, NULL, (char *)adapter,
		(int64_t)(likelihood * MESSAGE_LIKELIHOOD_MAX)};
	const char *owner = live_owners_choose(routing->view, adapter);
	placement_choice_t choice;

	if (placement_choose(routing->placement, now, adapter, 0, &choice)) {
		expect.endpoint = (char *)choice.endpoint;
		owner = choice.owner;
	}
	if (!owner)
		return;
	counter_add(counter_get("hc_entry_expected_total"), 1);
	routing->actions.send(routing->ctx, owner, &expect);
}

typedef struct {
	const routing_t *routing;
	const document_service_t *service;
	const char *avoid;
	const char *endpoint;
	const char *owner;
	double load;
} service_choice_t;

static void weigh_endpoint(void *ctx, const char *endpoint, const char *owner,
			   const slots_utilization_t *load, gboolean holds)
{
	service_choice_t *choice = ctx;
	double value = load->running + load->waiting;
	size_t i;

	for (i = 0; i < choice->service->endpoint_count; i++) {
		if (!g_strcmp0(choice->service->endpoints[i]->id, endpoint))
			break;
	}
	if (i == choice->service->endpoint_count ||
	    !choice->routing->actions.is_up(choice->routing->ctx, owner))
		return;
	if (load->concurrency > 0)
		value /= load->concurrency;
	/* The one to avoid is taken only if there is no other. */
	if (!g_strcmp0(choice->avoid, endpoint))
		value += G_MAXINT;
	if (choice->endpoint && value >= choice->load)
		return;
	choice->endpoint = endpoint;
	choice->owner = owner;
	choice->load = value;
}

search_t *routing_find_service(routing_t *routing,
			       const document_service_t *service,
			       const char *avoid, ms_t now, search_done_t done,
			       void *ctx)
{
	search_t *search = search_create(routing, done, ctx);
	service_choice_t choice = {routing, service, avoid, NULL, NULL, 0};

	placement_foreach(routing->placement, now, NULL, weigh_endpoint,
			  &choice);
	if (choice.endpoint)
		set_found(routing, search, choice.endpoint, choice.owner);
	else
		set_failed(routing, search, ERROR_UNAVAILABLE, RETRY_AFTER_MS,
			   "no endpoint of the service is in reach; come back "
			   "later");
	return search;
}

search_t *routing_find_owner(routing_t *routing, const char *endpoint, ms_t now,
			     search_done_t done, void *ctx)
{
	search_t *search = search_create(routing, done, ctx);

	search->state = SEARCH_OWNER;
	search->endpoint = g_strdup(endpoint);
	search->due = now + OWNER_WAIT_MS;
	return search;
}

void routing_cancel(routing_t *routing, search_t *search)
{
	search_free(routing, search);
}

void routing_placed(routing_t *routing, const message_placed_t *placed)
{
	search_t *search;

	TAILQ_FOREACH (search, &routing->searches, link) {
		if (search->state == SEARCH_HOME &&
		    search->ticket == placed->ticket)
			break;
	}
	if (!search)
		return;
	if (placed->endpoint && placed->owner)
		set_found(routing, search, placed->endpoint, placed->owner);
	else
		set_failed(routing, search, ERROR_OVERLOADED,
			   MAX(placed->retry_after, RETRY_AFTER_MS),
			   "no endpoint can take the adapter now; come back "
			   "later");
}

/* An endpoint whose owner was lost is looked up until it has one in reach. */
static void look_for_owner(routing_t *routing, search_t *search)
{
	const char *owner =
		placement_owner(routing->placement, search->endpoint);

	/* The one that was lost is still named until another has taken over. */
	if (owner && routing->actions.is_up(routing->ctx, owner))
		set_found(routing, search, search->endpoint, owner);
}

static void expire(routing_t *routing, search_t *search)
{
	if (search->state == SEARCH_HOME && search->endpoint) {
		char *endpoint = g_steal_pointer(&search->endpoint);
		char *owner = g_steal_pointer(&search->owner);

		set_found(routing, search, endpoint, owner);
		g_free(endpoint);
		g_free(owner);
		return;
	}
	set_failed(routing, search, ERROR_UNAVAILABLE, RETRY_AFTER_MS,
		   "the owner that places the adapter does not answer; come "
		   "back later");
}

static void report(routing_t *routing, search_t *search)
{
	track_place_t place = {search->endpoint, search->owner};
	search_done_t done = search->done;
	void *ctx = search->ctx;
	GError *error = g_steal_pointer(&search->error);
	ms_t retry_after = search->retry_after;
	gboolean is_found = search->state == SEARCH_FOUND;

	search->endpoint = NULL;
	search->owner = NULL;
	if (is_found)
		placement_record_sent(routing->placement, place.endpoint,
				      search->prefix);
	search_free(routing, search);
	done(ctx, is_found ? &place : NULL, error, retry_after);
	g_free((char *)place.endpoint);
	g_free((char *)place.owner);
	g_clear_error(&error);
}

void routing_tick(routing_t *routing, ms_t now)
{
	search_t *search;
	search_t *next;

	TAILQ_FOREACH (search, &routing->searches, link) {
		if (search->state == SEARCH_OWNER)
			look_for_owner(routing, search);
		if (search->state <= SEARCH_OWNER && now >= search->due)
			expire(routing, search);
	}
	/* A callback may begin or cancel searches: start over after each. */
	for (search = TAILQ_FIRST(&routing->searches); search && routing->ready;
	     search = next) {
		next = TAILQ_NEXT(search, link);
		if (search->state < SEARCH_FOUND)
			continue;
		report(routing, search);
		next = TAILQ_FIRST(&routing->searches);
	}
}

gboolean routing_is_searching(const routing_t *routing)
{
	return !TAILQ_EMPTY(&routing->searches);
}

gboolean routing_is_due(const routing_t *routing)
{
	return routing->ready > 0;
}
