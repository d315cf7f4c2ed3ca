#include "base/log.h"
#include "front/front_private.h"

/* In logs: who has heard what an endpoint says. */
static const char own_answer[] = "answer";
static const char other_instance[] = "another instance";

/* The number of an endpoint's limit in messages is in thousandths. */
#define LIMIT_SCALE 1000

/* Only for a limit that is kept, which is far below this. */
static int64_t scale_limit(double per_s)
{
	return (int64_t)(MIN(per_s, (double)G_MAXINT32) * LIMIT_SCALE);
}

static void log_limit(const fleet_endpoint_t *endpoint, double per_s,
		      const char *why)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	log_info("endpoint names a request limit", "endpoint",
		 fleet_endpoint_id(endpoint), "per_s",
		 g_ascii_dtostr(text, sizeof(text), per_s), "why", why, NULL);
}

static void announce(front_t *front, const char *instance,
		     const fleet_endpoint_t *endpoint, endpoint_news_t news)
{
	const request_limit_t *limit = fleet_endpoint_limit(endpoint);
	endpoint_message_t message = {
		.news = news,
		.endpoint = fleet_endpoint_id(endpoint),
		.started_at = fleet_endpoint_started_at(endpoint),
		.value = limit ? scale_limit(request_limit_per_s(limit)) : 0,
	};

	adapters_send_endpoint(front->adapters, instance, &message);
}

/* The others would hear of it only with answers to their own requests. */
static void share_work(front_t *front, fleet_endpoint_t *endpoint)
{
	endpoint_message_t message = {
		.news = ENDPOINT_WORK,
		.endpoint = fleet_endpoint_id(endpoint),
		.started_at = fleet_endpoint_started_at(endpoint),
	};
	char percent[16];

	message.value = fleet_endpoint_take_work_news(
		endpoint, ms_clock_now(front->clock));
	if (!message.value)
		return;
	g_snprintf(percent, sizeof(percent), "%d", (int)message.value);
	log_info("endpoint's work takes another time", "endpoint",
		 message.endpoint, "percent", percent, NULL);
	counter_add(front->work_shared, 1);
	adapters_send_endpoint(front->adapters, NULL, &message);
}

static void note_limit(front_t *front, fleet_endpoint_t *endpoint, double per_s,
		       gboolean is_own, const char *why)
{
	const request_limit_t *before = fleet_endpoint_limit(endpoint);
	gboolean is_new = !before;

	if (is_new || request_limit_per_s(before) != per_s)
		log_limit(endpoint, per_s, why);
	fleet_endpoint_note_limit(front->fleet, endpoint,
				  ms_clock_now(front->clock), per_s, is_own);
	if (!is_new)
		return;
	counter_add(front->limited, 1);
	/* What waits for it moves on at once. */
	forward_on_endpoint_gone(front, fleet_endpoint_id(endpoint));
}

static void end_limit(fleet_endpoint_t *endpoint, const char *why)
{
	log_info("endpoint names no request limit any more", "endpoint",
		 fleet_endpoint_id(endpoint), "why", why, NULL);
	fleet_endpoint_end_limit(endpoint);
}

/* An endpoint in need names a limit in all answers, for as long as it holds. */
static void note_own_limit(front_t *front, fleet_endpoint_t *endpoint,
			   const endpoint_notice_t *notice, ms_t sent_at)
{
	request_limit_t *limit = fleet_endpoint_limit(endpoint);

	if (notice->names_limit && notice->limit == LIMIT_UNREADABLE) {
		log_warn("request limit unreadable", "endpoint",
			 fleet_endpoint_id(endpoint), NULL);
	} else if (notice->names_limit) {
		note_limit(front, endpoint, notice->limit, TRUE, own_answer);
		limit = fleet_endpoint_limit(endpoint);
		if (request_limit_announce(limit, ms_clock_now(front->clock)))
			announce(front, NULL, endpoint, ENDPOINT_LIMITED);
	} else if (limit && sent_at > request_limit_confirmed_at(limit)) {
		/* An older request's answer may have been written before. */
		end_limit(endpoint, own_answer);
		announce(front, NULL, endpoint, ENDPOINT_UNLIMITED);
	}
}

/* An endpoint that leaves or wants quiet says so in any answer. */
static void note_standing(front_t *front, fleet_endpoint_t *endpoint,
			  const endpoint_notice_t *notice)
{
	ms_t now = ms_clock_now(front->clock);
	standing_t before = fleet_endpoint_standing(endpoint, now);
	standing_t after;
	char *quiet;

	if (notice->is_leaving && !fleet_endpoint_has_said_leaving(endpoint)) {
		log_info("endpoint says it is leaving", "endpoint",
			 fleet_endpoint_id(endpoint), NULL);
		counter_add(front->leaving, 1);
		fleet_endpoint_note_leaving(front->fleet, endpoint);
		announce(front, NULL, endpoint, ENDPOINT_LEAVING);
	}
	if (notice->quiet) {
		quiet = g_strdup_printf("%" G_GINT64_FORMAT,
					(gint64)notice->quiet);
		log_info("endpoint asks for quiet", "endpoint",
			 fleet_endpoint_id(endpoint), "ms", quiet, NULL);
		g_free(quiet);
		counter_add(front->quiet, 1);
		fleet_endpoint_note_quiet(endpoint, now, notice->quiet);
	} else {
		fleet_endpoint_note_answer(endpoint, now);
	}
	after = fleet_endpoint_standing(endpoint, now);
	/* What waits for it moves on at once. */
	if (before != after &&
	    (after == STANDING_LEAVING || after == STANDING_QUIET))
		forward_on_endpoint_gone(front, fleet_endpoint_id(endpoint));
}

void front_on_notice(void *ctx, fleet_endpoint_t *endpoint,
		     const endpoint_notice_t *notice, ms_t sent_at)
{
	note_standing(ctx, endpoint, notice);
	note_own_limit(ctx, endpoint, notice, sent_at);
	share_work(ctx, endpoint);
}

static void note_leaving_hint(front_t *front, fleet_endpoint_t *endpoint)
{
	const char *id = fleet_endpoint_id(endpoint);

	log_info("peer reports a leaving endpoint", "endpoint", id, NULL);
	fleet_endpoint_hint_leaving(endpoint, ms_clock_now(front->clock));
	forward_on_endpoint_gone(front, id);
}

void front_on_endpoint_news(void *ctx, const endpoint_message_t *message)
{
	front_t *front = ctx;
	fleet_endpoint_t *endpoint =
		fleet_find(front->fleet, message->endpoint);
	const request_limit_t *limit;

	if (!endpoint ||
	    fleet_endpoint_started_at(endpoint) != message->started_at)
		return;
	limit = fleet_endpoint_limit(endpoint);
	switch (message->news) {
	case ENDPOINT_LIMITED:
		note_limit(front, endpoint,
			   (double)message->value / LIMIT_SCALE, FALSE,
			   other_instance);
		break;
	case ENDPOINT_UNLIMITED:
		/* What this instance has seen lately may be newer. */
		if (limit && !request_limit_is_witnessed(
				     limit, ms_clock_now(front->clock)))
			end_limit(endpoint, other_instance);
		break;
	case ENDPOINT_WORK:
		fleet_endpoint_note_shared_work(
			endpoint, ms_clock_now(front->clock),
			(int)MIN(message->value, G_MAXINT32));
		break;
	default:
		note_leaving_hint(front, endpoint);
		break;
	}
}

typedef struct {
	front_t *front;
	const char *instance;
} receiver_t;

static void tell(void *ctx, fleet_endpoint_t *endpoint)
{
	const receiver_t *receiver = ctx;

	if (fleet_endpoint_has_said_leaving(endpoint))
		announce(receiver->front, receiver->instance, endpoint,
			 ENDPOINT_LEAVING);
	if (fleet_endpoint_limit(endpoint))
		announce(receiver->front, receiver->instance, endpoint,
			 ENDPOINT_LIMITED);
}

void front_tell_endpoint_news(front_t *front, const char *instance)
{
	receiver_t receiver = {front, instance};

	fleet_foreach(front->fleet, tell, &receiver);
}
