#include "entry/entry_claims.h"

#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "claim/claim.h"

/* Transactions of claims that all instances together make, a second. */
#define FLEET_COMMITS_PER_SECOND 200

/* The least time between two transactions of one instance. */
#define COMMIT_INTERVAL_MIN_MS 50

/* One claim that was begun. */
typedef struct {
	claiming_t *claiming;
	exchange_t *exchange; /* NULL once it is gone */
	char *caller;
	char *key;
	gboolean is_answered;
	gboolean is_granted;
} pending_t;

struct claiming {
	process_t *process;
	lease_t *lease;
	char *name;
	claims_t *claims;
	GHashTable *pending; /* exchange to pending_t */
	ms_t claims_due;
	ms_t lease_due;
};

static ms_t now_of(const claiming_t *claiming)
{
	return ms_clock_now(process_clock(claiming->process));
}

static void on_wake(void *ctx)
{
	claiming_t *claiming = ctx;

	claiming->claims_due = 0;
	claiming->lease_due = 0;
}

claiming_t *claiming_create(process_t *process, kv_t *kv)
{
	claiming_t *claiming = g_new0(claiming_t, 1);
	lease_options_t lease = {NULL,		 "{\"program\":\"hc-entry\"}",
				 LEASE_TTL_MS,	 LEASE_MARGIN_MS,
				 LEASE_RENEW_MS, LEASE_RETRY_MS,
				 on_wake,	 claiming};
	claim_options_t options;

	claiming->process = process;
	claiming->name = g_strconcat(process_settings(process)->instance,
				     ".entry", NULL);
	lease.instance = claiming->name;
	claiming->lease = lease_create(kv, &lease);
	claim_options_init(&options);
	options.wake = on_wake;
	options.ctx = claiming;
	claiming->claims = claims_create(kv, claiming->lease,
					 process_rand(process), &options);
	claiming->pending = g_hash_table_new(NULL, NULL);
	return claiming;
}

void claiming_destroy(claiming_t *claiming)
{
	claims_destroy(claiming->claims);
	lease_destroy(claiming->lease);
	g_hash_table_destroy(claiming->pending);
	g_free(claiming->name);
	g_free(claiming);
}

static void pending_free(pending_t *pending)
{
	g_free(pending->caller);
	g_free(pending->key);
	g_free(pending);
}

/* The same key with another request is a mistake of the caller. */
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

static track_claim_t translate(const claim_answer_t *answer)
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

static void tell(exchange_t *exchange, const claim_answer_t *answer)
{
	exchange_claimed(exchange, translate(answer), answer->answer,
			 answer->answer_size, answer->retry_after);
}

static void on_granted(pending_t *pending, const claim_answer_t *answer)
{
	claiming_t *claiming = pending->claiming;

	pending->is_answered = TRUE;
	pending->is_granted = TRUE;
	if (pending->exchange) {
		tell(pending->exchange, answer);
		return;
	}
	/* Nobody is left to run it. */
	claim_finish(claiming->claims, now_of(claiming), pending->caller,
		     pending->key, OUTCOME_NOT_RUN, NULL, 0);
	pending_free(pending);
}

static void on_claimed(void *ctx, const claim_answer_t *answer)
{
	pending_t *pending = ctx;
	exchange_t *exchange = pending->exchange;

	if (answer->result == CLAIM_GRANTED) {
		on_granted(pending, answer);
		return;
	}
	if (exchange)
		g_hash_table_remove(pending->claiming->pending, exchange);
	pending_free(pending);
	if (exchange)
		tell(exchange, answer);
}

void claiming_begin(claiming_t *claiming, exchange_t *exchange,
		    gboolean is_known)
{
	const request_spec_t *spec = exchange_spec(exchange);
	pending_t *pending = g_new0(pending_t, 1);

	counter_add(counter_get("hc_entry_claims_total"), 1);
	pending->claiming = claiming;
	pending->exchange = exchange;
	pending->caller = g_strdup(exchange_caller(exchange));
	pending->key = g_strdup(spec->key);
	g_hash_table_insert(claiming->pending, exchange, pending);
	claim_begin(claiming->claims, now_of(claiming),
		    &(claim_request_t){pending->caller, pending->key,
				       exchange_id(exchange),
				       hash_request(spec), is_known},
		    on_claimed, pending);
}

void claiming_settle(claiming_t *claiming, exchange_t *exchange,
		     outcome_t outcome, const char *answer, size_t size)
{
	pending_t *pending = g_hash_table_lookup(claiming->pending, exchange);

	if (!pending || !pending->is_granted)
		return;
	pending->is_granted = FALSE;
	claim_finish(claiming->claims, now_of(claiming), pending->caller,
		     pending->key, outcome, answer, size);
}

void claiming_forget(claiming_t *claiming, exchange_t *exchange)
{
	pending_t *pending = g_hash_table_lookup(claiming->pending, exchange);

	if (!pending)
		return;
	g_assert(!pending->is_granted);
	g_hash_table_remove(claiming->pending, exchange);
	pending->exchange = NULL;
	if (pending->is_answered)
		pending_free(pending);
}

void claiming_set_members(claiming_t *claiming, unsigned int members)
{
	ms_t share = (ms_t)members * MS_PER_S / FLEET_COMMITS_PER_SECOND;

	claims_set_commit_interval(claiming->claims,
				   MAX(COMMIT_INTERVAL_MIN_MS, share));
}

ms_t claiming_due(const claiming_t *claiming)
{
	/* Without a claim it has no hurry, unless it was woken. */
	if (claiming_is_idle(claiming) && claiming->claims_due)
		return claiming->lease_due;
	return MIN(claiming->lease_due, claiming->claims_due);
}

void claiming_tick(claiming_t *claiming)
{
	ms_t now = now_of(claiming);
	ms_t due;

	if (now >= claiming->lease_due) {
		claiming->lease_due = MS_NEVER;
		due = lease_tick(claiming->lease, now);
		claiming->lease_due = MIN(claiming->lease_due, due);
	}
	if (now >= claiming->claims_due) {
		claiming->claims_due = MS_NEVER;
		due = claim_tick(claiming->claims, now);
		claiming->claims_due = MIN(claiming->claims_due, due);
	}
}

gboolean claiming_is_idle(const claiming_t *claiming)
{
	return claims_pending_count(claiming->claims) == 0;
}

void claiming_release(claiming_t *claiming)
{
	lease_release(claiming->lease);
}

gboolean claiming_is_released(const claiming_t *claiming)
{
	return lease_is_released(claiming->lease);
}
