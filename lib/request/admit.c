#include "request/admit.h"

#include <math.h>

#include "request/parse.h"

/* Time constant of the average of the rate at which requests end. */
#define DRAIN_AVERAGE_MS 5000.0

/* Share of the places that the lowest priority leaves to higher ones. */
#define RESERVE_PERCENT 20

/* The rate at which places come free, and who was told to expect one. */
typedef struct {
	double rate; /* places a millisecond */
	ms_t at;     /* time for which rate holds */
	ms_t promised;
} drain_t;

/* A caller or a service. */
typedef struct {
	admit_limit_t limit;
	double tokens;
	ms_t refilled;
	int64_t active;
	int64_t waiting; /* of these, not begun by an endpoint */
	drain_t drain;
} party_t;

struct admit {
	int64_t places;
	int64_t active;
	drain_t drain;
	/* Names come from the operators' document, which bounds them. */
	GHashTable *callers; /* name to party_t */
	GHashTable *services;
};

struct admit_ticket {
	party_t *caller;
	party_t *service;
	gboolean is_started;
};

static void drain_decay(drain_t *drain, ms_t now)
{
	if (now > drain->at) {
		drain->rate *=
			exp(-(double)(now - drain->at) / DRAIN_AVERAGE_MS);
		drain->at = now;
	}
}

static void drain_count(drain_t *drain, ms_t now)
{
	drain_decay(drain, now);
	drain->rate += 1.0 / DRAIN_AVERAGE_MS;
}

/* The next time, at intervals of step, that was not promised to anybody. */
static ms_t promise(drain_t *drain, ms_t now, double step)
{
	ms_t latest = now + ADMIT_RETRY_AFTER_MAX;
	ms_t from = MAX(now, drain->promised);

	if (step >= (double)ADMIT_RETRY_AFTER_MAX)
		drain->promised = latest;
	else
		drain->promised = MIN(latest, from + (ms_t)ceil(step));
	return MAX(drain->promised - now, 1);
}

static ms_t promise_place(drain_t *drain, ms_t now)
{
	drain_decay(drain, now);
	/* Below one place in the longest wait the rate says nothing. */
	return promise(
		drain, now,
		1.0 / MAX(drain->rate, 1.0 / (double)ADMIT_RETRY_AFTER_MAX));
}

admit_t *admit_create(int64_t places)
{
	admit_t *admit = g_new0(admit_t, 1);

	g_assert(places >= 1);
	admit->places = places;
	admit->callers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	admit->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return admit;
}

void admit_destroy(admit_t *admit)
{
	if (!admit)
		return;
	g_assert(admit->active == 0);
	g_hash_table_destroy(admit->callers);
	g_hash_table_destroy(admit->services);
	g_free(admit);
}

static party_t *party_get(GHashTable *parties, const char *name)
{
	party_t *party = g_hash_table_lookup(parties, name);

	if (!party) {
		party = g_new0(party_t, 1);
		g_hash_table_insert(parties, g_strdup(name), party);
	}
	return party;
}

static double burst(const party_t *party)
{
	return (double)MAX(party->limit.burst, 1);
}

static void party_limit(party_t *party, const admit_limit_t *limit)
{
	gboolean had_rate = party->limit.rate > 0;

	party->limit = *limit;
	/* A new bucket is full; one that was in use keeps its level. */
	if (!had_rate)
		party->tokens = burst(party);
	party->tokens = MIN(party->tokens, burst(party));
}

void admit_limit_caller(admit_t *admit, const char *caller,
			const admit_limit_t *limit)
{
	party_limit(party_get(admit->callers, caller), limit);
}

void admit_limit_service(admit_t *admit, const char *service,
			 const admit_limit_t *limit)
{
	party_limit(party_get(admit->services, service), limit);
}

static void refill(party_t *party, ms_t now)
{
	double earned =
		(double)(now - party->refilled) * party->limit.rate / MS_PER_S;

	if (now > party->refilled) {
		party->tokens = MIN(party->tokens + earned, burst(party));
		party->refilled = now;
	}
}

static gboolean rate_is_spent(party_t *party, ms_t now)
{
	if (party->limit.rate <= 0)
		return FALSE;
	refill(party, now);
	return party->tokens < 1.0;
}

static gboolean concurrent_is_full(const party_t *party)
{
	return party->limit.concurrent > 0 &&
	       party->active >= party->limit.concurrent;
}

static gboolean queue_is_full(const party_t *party)
{
	return party->limit.queued > 0 && party->waiting >= party->limit.queued;
}

/* Places that requests of this priority may fill. */
static int64_t places_for(const admit_t *admit, int priority)
{
	int below =
		REQUEST_PRIORITY_MAX - CLAMP(priority, 0, REQUEST_PRIORITY_MAX);
	int64_t reserve = admit->places * RESERVE_PERCENT * below /
			  (100 * REQUEST_PRIORITY_MAX);

	return MAX(admit->places - reserve, 1);
}

static admit_result_t check(admit_t *admit, party_t *caller, party_t *service,
			    int priority, ms_t now)
{
	int64_t free_places = places_for(admit, priority) - admit->active;

	if (rate_is_spent(caller, now))
		return ADMIT_CALLER_RATE;
	if (concurrent_is_full(caller))
		return ADMIT_CALLER_CONCURRENT;
	if (queue_is_full(caller))
		return ADMIT_CALLER_QUEUED;
	if (rate_is_spent(service, now))
		return ADMIT_SERVICE_RATE;
	if (concurrent_is_full(service))
		return ADMIT_SERVICE_CONCURRENT;
	if (queue_is_full(service))
		return ADMIT_SERVICE_QUEUED;
	if (free_places <= 0)
		return ADMIT_ENTRY_FULL;
	if (caller->active >= ADMIT_SHARE * free_places)
		return ADMIT_UNFAIR;
	return ADMIT_TAKEN;
}

static ms_t promise_token(party_t *party, ms_t now)
{
	double step = MS_PER_S / party->limit.rate;

	/* The first to be refused waits for the rest of the present token. */
	if (party->drain.promised <= now)
		step *= 1.0 - party->tokens;
	return promise(&party->drain, now, step);
}

static ms_t expect(admit_t *admit, party_t *caller, party_t *service,
		   admit_result_t result, ms_t now)
{
	switch (result) {
	case ADMIT_CALLER_RATE:
		return promise_token(caller, now);
	case ADMIT_SERVICE_RATE:
		return promise_token(service, now);
	case ADMIT_CALLER_CONCURRENT:
	case ADMIT_CALLER_QUEUED:
	case ADMIT_UNFAIR:
		return promise_place(&caller->drain, now);
	case ADMIT_SERVICE_CONCURRENT:
	case ADMIT_SERVICE_QUEUED:
		return promise_place(&service->drain, now);
	default:
		return promise_place(&admit->drain, now);
	}
}

static const char *reason(admit_result_t result)
{
	switch (result) {
	case ADMIT_CALLER_RATE:
		return "the caller's rate is used up; send more slowly";
	case ADMIT_CALLER_CONCURRENT:
		return "the caller has too many requests open; wait for one "
		       "to end";
	case ADMIT_CALLER_QUEUED:
		return "too many requests of the caller wait for their start; "
		       "wait for one to begin";
	case ADMIT_SERVICE_QUEUED:
		return "too many requests for the service wait for their "
		       "start; come back after the time in Retry-After";
	case ADMIT_SERVICE_RATE:
		return "the service's rate is used up; come back after the "
		       "time in Retry-After";
	case ADMIT_SERVICE_CONCURRENT:
		return "the service has too many requests open; come back "
		       "after the time in Retry-After";
	case ADMIT_UNFAIR:
		return "the caller holds its share of a busy entry; wait for "
		       "one of its requests to end";
	default:
		return "the entry is full for this priority; come back after "
		       "the time in Retry-After, or try another entry";
	}
}

static admit_ticket_t *take_place(admit_t *admit, party_t *caller,
				  party_t *service)
{
	admit_ticket_t *ticket = g_new0(admit_ticket_t, 1);

	ticket->caller = caller;
	ticket->service = service;
	if (caller->limit.rate > 0)
		caller->tokens -= 1.0;
	if (service->limit.rate > 0)
		service->tokens -= 1.0;
	caller->active++;
	service->active++;
	caller->waiting++;
	service->waiting++;
	admit->active++;
	g_assert(admit->active <= admit->places);
	g_assert(caller->active <= admit->active);
	return ticket;
}

admit_ticket_t *admit_acquire(admit_t *admit, const admit_request_t *request,
			      ms_t now, admit_result_t *result,
			      ms_t *retry_after, GError **error)
{
	party_t *caller = party_get(admit->callers, request->caller);
	party_t *service = party_get(admit->services, request->service);
	admit_result_t found =
		check(admit, caller, service, request->priority, now);

	if (result)
		*result = found;
	if (found == ADMIT_TAKEN)
		return take_place(admit, caller, service);
	if (retry_after)
		*retry_after = expect(admit, caller, service, found, now);
	error_set(error, ERROR_OVERLOADED, "%s", reason(found));
	return NULL;
}

void admit_started(admit_t *admit, admit_ticket_t *ticket)
{
	if (ticket->is_started)
		return;
	g_assert(ticket->caller->waiting > 0);
	g_assert(ticket->service->waiting > 0);
	ticket->is_started = TRUE;
	ticket->caller->waiting--;
	ticket->service->waiting--;
}

void admit_release(admit_t *admit, admit_ticket_t *ticket, ms_t now)
{
	admit_started(admit, ticket);
	g_assert(ticket->caller->active > 0);
	g_assert(ticket->service->active > 0);
	g_assert(admit->active > 0);
	ticket->caller->active--;
	ticket->service->active--;
	admit->active--;
	drain_count(&ticket->caller->drain, now);
	drain_count(&ticket->service->drain, now);
	drain_count(&admit->drain, now);
	g_free(ticket);
}

int64_t admit_active(const admit_t *admit)
{
	return admit->active;
}

const char *admit_result_name(admit_result_t result)
{
	static const char *const names[ADMIT_RESULT_COUNT] = {
		[ADMIT_TAKEN] = "taken",
		[ADMIT_CALLER_RATE] = "caller_rate",
		[ADMIT_CALLER_CONCURRENT] = "caller_concurrent",
		[ADMIT_CALLER_QUEUED] = "caller_queued",
		[ADMIT_SERVICE_RATE] = "service_rate",
		[ADMIT_SERVICE_CONCURRENT] = "service_concurrent",
		[ADMIT_SERVICE_QUEUED] = "service_queued",
		[ADMIT_ENTRY_FULL] = "entry_full",
		[ADMIT_UNFAIR] = "unfair",
	};

	return names[result];
}
