#include "route/request_limit.h"

/*
 * Senders in addition to one per call and second of the limit.  With K senders,
 * a limit of N a second is kept in 4 s to 4 N + K calls.
 */
#define SENDERS_EXTRA 2

/*
 * A lower limit is kept as this one: a call now and then is the only way to
 * learn that the limit is over.
 */
#define PER_S_MIN 0.25

/* A share holds back up to what it allows in this time, and at least a call. */
#define BURST_MS 250

/* The other instances are told this often. */
#define ANNOUNCE_MS 1000

/* Without news for this long, others than the senders send a call in turn. */
#define UNCONFIRMED_MS 3500

/* What an answer to this instance said is newer than what others say. */
#define WITNESSED_MS 1000

struct request_limit {
	request_share_t share;
	guint senders;
	double tokens; /* negative after a call that exceeded the share */
	ms_t counted_at;
	ms_t confirmed_at;
	ms_t witnessed_at;
	ms_t announced_at;
	ms_t called_at;
	ms_t promised_until;
};

static gboolean is_sender(const request_limit_t *limit)
{
	const request_share_t *share = &limit->share;
	guint others = limit->senders - (share->is_engine ? 1 : 0);

	return share->is_holder || share->rank < MAX(others, 1);
}

/* The calls per ms of all instances together. */
static double rate_of_all(const request_limit_t *limit)
{
	return MAX(limit->share.per_s, PER_S_MIN) / MS_PER_S;
}

/* The calls per ms of one sender. */
static double rate(const request_limit_t *limit)
{
	return rate_of_all(limit) / limit->senders;
}

static double tokens(const request_limit_t *limit, ms_t now)
{
	double most = MAX(1, rate(limit) * BURST_MS);
	double passed = (double)(now - limit->counted_at);

	return MIN(limit->tokens + passed * rate(limit), most);
}

static void count_until(request_limit_t *limit, ms_t now)
{
	limit->tokens = tokens(limit, now);
	limit->counted_at = now;
}

/* The time in which the endpoint takes one call. */
static ms_t time_of_call(const request_limit_t *limit)
{
	return MAX((ms_t)(1 / rate_of_all(limit)), 1);
}

/*
 * Returns the time until it is the turn of an instance that is no sender; 0 if
 * it is now.  The instances take turns from when the news is overdue, each for
 * the time of one call and for one call.
 */
static ms_t turn_wait(const request_limit_t *limit, ms_t now)
{
	ms_t turn = time_of_call(limit);
	ms_t first =
		limit->confirmed_at + UNCONFIRMED_MS + limit->share.rank * turn;
	ms_t round = limit->share.instances * turn;
	ms_t passed;

	if (now < first)
		return first - now;
	passed = (now - first) % round;
	if (passed < turn && limit->called_at < now - passed)
		return 0;
	return round - passed;
}

static void set_share(request_limit_t *limit, const request_share_t *share)
{
	limit->share = *share;
	limit->senders =
		MIN(share->instances,
		    (guint)MIN(share->per_s, G_MAXUINT16) + SENDERS_EXTRA);
}

request_limit_t *request_limit_create(ms_t now, const request_share_t *share)
{
	request_limit_t *limit = g_new0(request_limit_t, 1);

	limit->counted_at = now;
	limit->confirmed_at = now;
	limit->witnessed_at = -WITNESSED_MS;
	limit->announced_at = -ANNOUNCE_MS;
	limit->called_at = now;
	set_share(limit, share);
	return limit;
}

void request_limit_destroy(request_limit_t *limit)
{
	g_free(limit);
}

void request_limit_set_share(request_limit_t *limit, ms_t now,
			     const request_share_t *share)
{
	if (share->per_s != limit->share.per_s)
		limit->announced_at = -ANNOUNCE_MS;
	count_until(limit, now);
	set_share(limit, share);
}

double request_limit_per_s(const request_limit_t *limit)
{
	return limit->share.per_s;
}

void request_limit_confirm(request_limit_t *limit, ms_t now, gboolean is_own)
{
	limit->confirmed_at = now;
	if (is_own)
		limit->witnessed_at = now;
}

ms_t request_limit_confirmed_at(const request_limit_t *limit)
{
	return limit->confirmed_at;
}

gboolean request_limit_is_witnessed(const request_limit_t *limit, ms_t now)
{
	return now - limit->witnessed_at < WITNESSED_MS;
}

gboolean request_limit_announce(request_limit_t *limit, ms_t now)
{
	if (now - limit->announced_at < ANNOUNCE_MS)
		return FALSE;
	limit->announced_at = now;
	return TRUE;
}

ms_t request_limit_wait(const request_limit_t *limit, ms_t now, guint reserved)
{
	double missing;

	if (!is_sender(limit))
		return MAX(turn_wait(limit, now), reserved ? 1 : 0);
	missing = reserved + 1 - tokens(limit, now);
	return missing <= 0 ? 0 : (ms_t)(missing / rate(limit)) + 1;
}

void request_limit_count(request_limit_t *limit, ms_t now)
{
	count_until(limit, now);
	limit->tokens -= 1;
	limit->called_at = now;
}

ms_t request_limit_promised_time(const request_limit_t *limit, ms_t now)
{
	return MAX(limit->promised_until, now) - now +
	       time_of_call(limit) * limit->share.instances;
}

void request_limit_promise(request_limit_t *limit, ms_t now, ms_t time_left)
{
	ms_t time = request_limit_promised_time(limit, now);

	if (time <= time_left)
		limit->promised_until = now + time;
}
