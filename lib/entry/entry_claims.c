#include "entry/entry_claims.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "claim/claim.h"

/* Bound on the claim transactions of all instances together, per second. */
#define ALL_COMMITS_PER_SECOND 200

/* Minimum interval between two transactions of one instance. */
#define COMMIT_INTERVAL_MIN_MS 50

typedef struct {
	entry_claims_t *claims;
	exchange_t *exchange; /* NULL once it has ended */
	char *caller;
	char *key;
	gboolean has_result;
	gboolean is_granted;
} pending_claim_t;

struct entry_claims {
	process_t *process;
	lease_t *lease;
	char *name;
	claims_t *protocol;
	GHashTable *pending; /* exchange to pending_claim_t */
	ms_t claims_due;
	ms_t lease_due;
};

static ms_t claims_now(const entry_claims_t *claims)
{
	return ms_clock_now(process_clock(claims->process));
}

static void on_wake(void *ctx)
{
	entry_claims_t *claims = ctx;

	claims->claims_due = 0;
	claims->lease_due = 0;
}

entry_claims_t *entry_claims_create(process_t *process, kv_t *kv)
{
	entry_claims_t *claims = g_new0(entry_claims_t, 1);
	lease_options_t lease = {NULL,
				 "{\"program\":\"hc-entry\"}",
				 LEASE_TTL_MS,
				 LEASE_MARGIN_MS,
				 LEASE_RENEW_MS,
				 LEASE_RETRY_MS,
				 0,
				 on_wake,
				 claims};
	claim_options_t options;

	claims->process = process;
	claims->name = g_strconcat(process_settings(process)->instance,
				   ".entry", NULL);
	lease.instance = claims->name;
	claims->lease = lease_create(kv, &lease);
	claim_options_init(&options);
	options.wake = on_wake;
	options.ctx = claims;
	claims->protocol = claims_create(kv, claims->lease,
					 process_rand(process), &options);
	claims->pending = g_hash_table_new(NULL, NULL);
	return claims;
}

void entry_claims_destroy(entry_claims_t *claims)
{
	claims_destroy(claims->protocol);
	lease_destroy(claims->lease);
	g_hash_table_destroy(claims->pending);
	g_free(claims->name);
	g_free(claims);
}

static void pending_claim_free(pending_claim_t *pending)
{
	g_free(pending->caller);
	g_free(pending->key);
	g_free(pending);
}

/* Detects that a caller uses one key for two different requests. */
static uint64_t hash_request(const request_spec_t *spec)
{
	XXH3_state_t *state = XXH3_createState();
	const char *body;
	uint64_t hash;
	gsize size;

	body = g_bytes_get_data(spec->body, &size);
	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, spec->method, strlen(spec->method));
	XXH3_64bits_update(state, spec->path, strlen(spec->path));
	if (size)
		XXH3_64bits_update(state, body, size);
	hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return hash;
}

static track_claim_t to_track_claim(const claim_answer_t *answer)
{
	switch (answer->result) {
	case CLAIM_GRANTED:
		return TRACK_CLAIM_HELD;
	case CLAIM_RUNNING_ELSEWHERE:
		return TRACK_CLAIM_RUNNING;
	case CLAIM_DONE:
		if (answer->outcome == OUTCOME_ANSWERED && answer->answer)
			return TRACK_CLAIM_ANSWERED;
		return TRACK_CLAIM_NO_ANSWER;
	case CLAIM_MISMATCH:
		return TRACK_CLAIM_KEY_MISMATCH;
	case CLAIM_REFUSED:
		break;
	}
	return TRACK_CLAIM_FAILED;
}

static void report_result(exchange_t *exchange, const claim_answer_t *answer)
{
	exchange_handle_claim_result(exchange, to_track_claim(answer),
				     answer->answer, answer->answer_size,
				     answer->retry_after);
}

static void on_granted(pending_claim_t *pending, const claim_answer_t *answer)
{
	entry_claims_t *claims = pending->claims;

	pending->has_result = TRUE;
	pending->is_granted = TRUE;
	if (pending->exchange) {
		report_result(pending->exchange, answer);
		return;
	}
	/* The exchange ended before its claim was granted. */
	claim_finish(claims->protocol, claims_now(claims), pending->caller,
		     pending->key, OUTCOME_NOT_RUN, NULL, 0);
	pending_claim_free(pending);
}

static void on_claimed(void *ctx, const claim_answer_t *answer)
{
	pending_claim_t *pending = ctx;
	exchange_t *exchange = pending->exchange;

	if (answer->result == CLAIM_GRANTED) {
		on_granted(pending, answer);
		return;
	}
	if (exchange)
		g_hash_table_remove(pending->claims->pending, exchange);
	pending_claim_free(pending);
	if (exchange)
		report_result(exchange, answer);
}

void entry_claims_begin(entry_claims_t *claims, exchange_t *exchange,
			gboolean is_known)
{
	const request_spec_t *spec = exchange_spec(exchange);
	pending_claim_t *pending = g_new0(pending_claim_t, 1);

	counter_add(counter_get("hc_entry_claims_total"), 1);
	pending->claims = claims;
	pending->exchange = exchange;
	pending->caller = g_strdup(exchange_caller(exchange));
	pending->key = g_strdup(spec->key);
	g_hash_table_insert(claims->pending, exchange, pending);
	claim_begin(claims->protocol, claims_now(claims),
		    &(claim_request_t){pending->caller, pending->key,
				       exchange_id(exchange),
				       hash_request(spec), is_known},
		    on_claimed, pending);
}

void entry_claims_settle(entry_claims_t *claims, exchange_t *exchange,
			 outcome_t outcome, const char *answer, size_t size)
{
	pending_claim_t *pending =
		g_hash_table_lookup(claims->pending, exchange);

	if (!pending || !pending->is_granted)
		return;
	pending->is_granted = FALSE;
	claim_finish(claims->protocol, claims_now(claims), pending->caller,
		     pending->key, outcome, answer, size);
}

void entry_claims_detach(entry_claims_t *claims, exchange_t *exchange)
{
	pending_claim_t *pending =
		g_hash_table_lookup(claims->pending, exchange);

	if (!pending)
		return;
	g_assert(!pending->is_granted);
	g_hash_table_remove(claims->pending, exchange);
	pending->exchange = NULL;
	if (pending->has_result)
		pending_claim_free(pending);
}

void entry_claims_set_instance_count(entry_claims_t *claims, unsigned int count)
{
	ms_t interval = (ms_t)count * MS_PER_S / ALL_COMMITS_PER_SECOND;

	claims_set_commit_interval(claims->protocol,
				   MAX(COMMIT_INTERVAL_MIN_MS, interval));
}

ms_t entry_claims_due(const entry_claims_t *claims)
{
	/*
	 * Without open claims only the lease is due, unless on_wake() was
	 * called.
	 */
	if (entry_claims_is_idle(claims) && claims->claims_due)
		return claims->lease_due;
	return MIN(claims->lease_due, claims->claims_due);
}

void entry_claims_tick(entry_claims_t *claims)
{
	ms_t now = claims_now(claims);
	ms_t due;

	if (now >= claims->lease_due) {
		claims->lease_due = MS_NEVER;
		due = lease_tick(claims->lease, now);
		claims->lease_due = MIN(claims->lease_due, due);
	}
	if (now >= claims->claims_due) {
		claims->claims_due = MS_NEVER;
		due = claim_tick(claims->protocol, now);
		claims->claims_due = MIN(claims->claims_due, due);
	}
}

gboolean entry_claims_is_idle(const entry_claims_t *claims)
{
	return claims_pending_count(claims->protocol) == 0;
}

void entry_claims_release(entry_claims_t *claims)
{
	lease_release(claims->lease);
}

gboolean entry_claims_is_released(const entry_claims_t *claims)
{
	return lease_is_released(claims->lease);
}
