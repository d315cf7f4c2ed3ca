#include "request/admit.h"

#include <math.h>

#include "request/parse.h"

/* Time constant of the moving average of the release rate. */
#define RELEASE_AVERAGE_MS 5000.0

/* Part of the capacity that is reserved from the lowest priority. */
#define PRIORITY_RESERVE_PERCENT 20

/* The rate at which requests end, and the last Retry-After given out. */
typedef struct {
	double rate;	 /* requests per millisecond */
	ms_t updated_at; /* when rate was last updated */
	ms_t last_slot;	 /* the last Retry-After, as a point in time */
} release_rate_t;

/* A caller or a service. */
typedef struct {
	admit_limit_t limit;
	double tokens;
	ms_t refilled_at;
	int64_t active;
	int64_t queued; /* of these, not yet started by an endpoint */
	release_rate_t releases;
} limiter_t;

struct admit {
	int64_t capacity;
	int64_t active;
	release_rate_t releases;
	/* The number of names is bounded by the operators' document. */
	GHashTable *callers; /* name to limiter_t */
	GHashTable *services;
};

struct admit_ticket {
	limiter_t *caller;
	limiter_t *service;
	gboolean is_started;
};

static void release_rate_decay(release_rate_t *releases, ms_t now)
{
	if (now > releases->updated_at) {
		releases->rate *= exp(-(double)(now - releases->updated_at) /
				      RELEASE_AVERAGE_MS);
		releases->updated_at = now;
	}
}

static void release_rate_count(release_rate_t *releases, ms_t now)
{
	release_rate_decay(releases, now);
	releases->rate += 1.0 / RELEASE_AVERAGE_MS;
}

/*
 * Returns the Retry-After of the next time slot.  Slots are step milliseconds
 * apart, and each is given out once until the maximum is reached.
 */
static ms_t next_retry_after(release_rate_t *releases, ms_t now, double step)
{
	ms_t latest = now + ADMIT_RETRY_AFTER_MAX;
	ms_t from = MAX(now, releases->last_slot);

	if (step >= (double)ADMIT_RETRY_AFTER_MAX)
		releases->last_slot = latest;
	else
		releases->last_slot = MIN(latest, from + (ms_t)ceil(step));
	return MAX(releases->last_slot - now, 1);
}

static ms_t retry_after_release(release_rate_t *releases, ms_t now)
{
	release_rate_decay(releases, now);
	/* The average is not reliable below one release per maximum wait. */
	return next_retry_after(
		releases, now,
		1.0 / MAX(releases->rate, 1.0 / (double)ADMIT_RETRY_AFTER_MAX));
}

admit_t *admit_create(int64_t capacity)
{
	admit_t *admit = g_new0(admit_t, 1);

	g_assert(capacity >= 1);
	admit->capacity = capacity;
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

static limiter_t *limiter_get(GHashTable *limiters, const char *name)
{
	limiter_t *limiter = g_hash_table_lookup(limiters, name);

	if (!limiter) {
		limiter = g_new0(limiter_t, 1);
		g_hash_table_insert(limiters, g_strdup(name), limiter);
	}
	return limiter;
}

static double bucket_size(const limiter_t *limiter)
{
	return (double)MAX(limiter->limit.burst, 1);
}

static void limiter_set_limit(limiter_t *limiter, const admit_limit_t *limit)
{
	gboolean had_rate = limiter->limit.rate > 0;

	limiter->limit = *limit;
	/* A new bucket starts full; an existing one keeps its level. */
	if (!had_rate)
		limiter->tokens = bucket_size(limiter);
	limiter->tokens = MIN(limiter->tokens, bucket_size(limiter));
}

void admit_limit_caller(admit_t *admit, const char *caller,
			const admit_limit_t *limit)
{
	limiter_set_limit(limiter_get(admit->callers, caller), limit);
}

void admit_limit_service(admit_t *admit, const char *service,
			 const admit_limit_t *limit)
{
	limiter_set_limit(limiter_get(admit->services, service), limit);
}

static void refill_bucket(limiter_t *limiter, ms_t now)
{
	double added = (double)(now - limiter->refilled_at) *
		       limiter->limit.rate / MS_PER_S;

	if (now > limiter->refilled_at) {
		limiter->tokens =
			MIN(limiter->tokens + added, bucket_size(limiter));
		limiter->refilled_at = now;
	}
}

static gboolean rate_is_exhausted(limiter_t *limiter, ms_t now)
{
	if (limiter->limit.rate <= 0)
		return FALSE;
	refill_bucket(limiter, now);
	return limiter->tokens < 1.0;
}

static gboolean concurrency_is_exhausted(const limiter_t *limiter)
{
	return limiter->limit.concurrent > 0 &&
	       limiter->active >= limiter->limit.concurrent;
}

static gboolean queue_is_full(const limiter_t *limiter)
{
	return limiter->limit.queued > 0 &&
	       limiter->queued >= limiter->limit.queued;
}

/* The part of the capacity that requests of this priority may use. */
static int64_t capacity_for_priority(const admit_t *admit, int priority)
{
	int below =
		REQUEST_PRIORITY_MAX - CLAMP(priority, 0, REQUEST_PRIORITY_MAX);
	int64_t reserve = admit->capacity * PRIORITY_RESERVE_PERCENT * below /
			  (100 * REQUEST_PRIORITY_MAX);

	return MAX(admit->capacity - reserve, 1);
}

static admit_result_t check_limits(admit_t *admit, limiter_t *caller,
				   limiter_t *service, int priority, ms_t now)
{
	int64_t free_capacity =
		capacity_for_priority(admit, priority) - admit->active;

	if (rate_is_exhausted(caller, now))
		return ADMIT_CALLER_RATE;
	if (concurrency_is_exhausted(caller))
		return ADMIT_CALLER_CONCURRENT;
	if (queue_is_full(caller))
		return ADMIT_CALLER_QUEUED;
	if (rate_is_exhausted(service, now))
		return ADMIT_SERVICE_RATE;
	if (concurrency_is_exhausted(service))
		return ADMIT_SERVICE_CONCURRENT;
	if (queue_is_full(service))
		return ADMIT_SERVICE_QUEUED;
	if (free_capacity <= 0)
		return ADMIT_ENTRY_FULL;
	if (caller->active >= ADMIT_THRESHOLD_FACTOR * free_capacity)
		return ADMIT_UNFAIR;
	return ADMIT_ADMITTED;
}

static ms_t retry_after_token(limiter_t *limiter, ms_t now)
{
	double step = MS_PER_S / limiter->limit.rate;

	/* The first refused request waits for the rest of the current token. */
	if (limiter->releases.last_slot <= now)
		step *= 1.0 - limiter->tokens;
	return next_retry_after(&limiter->releases, now, step);
}

static ms_t estimate_retry_after(admit_t *admit, limiter_t *caller,
				 limiter_t *service, admit_result_t result,
				 ms_t now)
{
	switch (result) {
	case ADMIT_CALLER_RATE:
		return retry_after_token(caller, now);
	case ADMIT_SERVICE_RATE:
		return retry_after_token(service, now);
	case ADMIT_CALLER_CONCURRENT:
	case ADMIT_CALLER_QUEUED:
	case ADMIT_UNFAIR:
		return retry_after_release(&caller->releases, now);
	case ADMIT_SERVICE_CONCURRENT:
	case ADMIT_SERVICE_QUEUED:
		return retry_after_release(&service->releases, now);
	default:
		return retry_after_release(&admit->releases, now);
	}
}

static const char *refusal_message(admit_result_t result)
{
	switch (result) {
	case ADMIT_CALLER_RATE:
		return "the caller's rate is used up; send more slowly";
	case ADMIT_CALLER_CONCURRENT:
		return "the caller has too many concurrent requests; wait for "
		       "one to end";
	case ADMIT_CALLER_QUEUED:
		return "the caller has too many queued requests; wait for one "
		       "to start";
	case ADMIT_SERVICE_QUEUED:
		return "the service has too many queued requests; try again "
		       "after the time in Retry-After";
	case ADMIT_SERVICE_RATE:
		return "the service's rate is used up; try again after the "
		       "time in Retry-After";
	case ADMIT_SERVICE_CONCURRENT:
		return "the service has too many concurrent requests; try "
		       "again after the time in Retry-After";
	case ADMIT_UNFAIR:
		return "the caller has reached its fair share of a busy entry; "
		       "wait for one of its requests to end";
	default:
		return "the entry is full for this priority; try again after "
		       "the time in Retry-After, or at another entry";
	}
}

static admit_ticket_t *issue_ticket(admit_t *admit, limiter_t *caller,
				    limiter_t *service)
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
	caller->queued++;
	service->queued++;
	admit->active++;
	g_assert(admit->active <= admit->capacity);
	g_assert(caller->active <= admit->active);
	return ticket;
}

admit_ticket_t *admit_acquire(admit_t *admit, const admit_request_t *request,
			      ms_t now, admit_result_t *result,
			      ms_t *retry_after, GError **error)
{
	limiter_t *caller = limiter_get(admit->callers, request->caller);
	limiter_t *service = limiter_get(admit->services, request->service);
	admit_result_t found =
		check_limits(admit, caller, service, request->priority, now);

	if (result)
		*result = found;
	if (found == ADMIT_ADMITTED)
		return issue_ticket(admit, caller, service);
	if (retry_after)
		*retry_after = estimate_retry_after(admit, caller, service,
						    found, now);
	error_set(error, ERROR_OVERLOADED, "%s", refusal_message(found));
	return NULL;
}

void admit_started(admit_t *admit, admit_ticket_t *ticket)
{
	if (ticket->is_started)
		return;
	g_assert(ticket->caller->queued > 0);
	g_assert(ticket->service->queued > 0);
	ticket->is_started = TRUE;
	ticket->caller->queued--;
	ticket->service->queued--;
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
	release_rate_count(&ticket->caller->releases, now);
	release_rate_count(&ticket->service->releases, now);
	release_rate_count(&admit->releases, now);
	g_free(ticket);
}

int64_t admit_active(const admit_t *admit)
{
	return admit->active;
}

const char *admit_result_name(admit_result_t result)
{
	static const char *const names[ADMIT_RESULT_COUNT] = {
		[ADMIT_ADMITTED] = "taken",
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
