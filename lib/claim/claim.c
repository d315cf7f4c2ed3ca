#include "claim/claim.h"

#include <string.h>

#include "claim/claim_internal.h"

#define COMMIT_INTERVAL_MS 50
#define WAIT_MAX_MS	   3000
#define RETRY_INTERVAL_MS  200
#define RETRY_AFTER_MS	   2000
#define OPEN_MAX	   4096
#define ANSWER_MAX_BYTES   (64 * 1024)
#define BUCKET_LENGTH_MS   (10 * 60 * 1000)
#define KEEP_MS		   (24 * 60 * 60 * 1000)

/* How often claim_tick() wants to be called. */
#define TICK_MS 10

void claim_options_init(claim_options_t *options)
{
	options->commit_interval = COMMIT_INTERVAL_MS;
	options->wait_max = WAIT_MAX_MS;
	options->retry_interval = RETRY_INTERVAL_MS;
	options->retry_after = RETRY_AFTER_MS;
	options->open_max = OPEN_MAX;
	options->answer_max = ANSWER_MAX_BYTES;
	options->bucket_length = BUCKET_LENGTH_MS;
	options->keep = KEEP_MS;
}

claims_t *claims_create(kv_t *kv, lease_t *lease, GRand *rand,
			const claim_options_t *options)
{
	claims_t *claims = g_new0(claims_t, 1);

	claims->kv = kv;
	claims->lease = lease;
	claims->rand = rand;
	claims->options = *options;
	claims->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&claims->all);
	TAILQ_INIT(&claims->queue);
	TAILQ_INIT(&claims->flying);
	g_queue_init(&claims->deferred);
	return claims;
}

static void claim_free(claim_t *claim)
{
	claim_drop_waiters(claim);
	g_hash_table_remove(claim->claims->by_key, claim->key);
	TAILQ_REMOVE(&claim->claims->all, claim, link);
	claim_record_clear(&claim->record);
	claim_record_clear(&claim->seen);
	g_free(claim->key);
	g_free(claim);
}

void claims_destroy(claims_t *claims)
{
	claim_t *claim = TAILQ_FIRST(&claims->all);

	claim_commit_drop(claims);
	while (claim) {
		claim_t *next = TAILQ_NEXT(claim, link);

		claim_free(claim);
		claim = next;
	}
	g_hash_table_destroy(claims->by_key);
	g_free(claims);
}

void claims_set_commit_interval(claims_t *claims, ms_t interval)
{
	claims->options.commit_interval = interval;
}

size_t claims_pending_count(const claims_t *claims)
{
	return g_hash_table_size(claims->by_key);
}

static claim_t *claim_create(claims_t *claims, ms_t now, char *key,
			     const char *request, const char *body_hash)
{
	claim_t *claim = g_new0(claim_t, 1);

	claim->claims = claims;
	claim->key = key;
	claim->expected = KV_REVISION_ABSENT;
	claim->deadline = now + claims->options.wait_max;
	claim->record.nonce = g_strdup_printf(
		"%08x%08x%08x", g_rand_int(claims->rand),
		g_rand_int(claims->rand), g_rand_int(claims->rand));
	claim->record.request = g_strdup(request);
	claim->record.body_hash = g_strdup(body_hash);
	claim->record.instance = g_strdup(lease_instance(claims->lease));
	claim->record.incarnation = lease_id(claims->lease);
	TAILQ_INIT(&claim->waiters);
	TAILQ_INSERT_TAIL(&claims->all, claim, link);
	g_hash_table_insert(claims->by_key, claim->key, claim);
	return claim;
}

static void deferred_free(deferred_begin_t *begin)
{
	g_free(begin->key);
	g_free(begin->request);
	g_free(begin->body_hash);
	g_free(begin);
}

static void read_soon(claim_t *claim, ms_t now)
{
	claim->step = STEP_READ_DUE;
	claim->not_before = now;
}

static void begin_now(claims_t *claims, ms_t now, const deferred_begin_t *begin)
{
	claim_t *claim = g_hash_table_lookup(claims->by_key, begin->key);

	if (!claim) {
		claim = claim_create(claims, now, g_strdup(begin->key),
				     begin->request, begin->body_hash);
		if (begin->is_known)
			read_soon(claim, now);
		else
			claim_enqueue(claim, now);
		/* Refused by the next tick, not from within this call. */
		if (claims_pending_count(claims) > claims->options.open_max ||
		    !lease_is_valid(claims->lease, now))
			claim->deadline = now;
	}
	claim_add_waiter(claim, begin->request, begin->body_hash, begin->done,
			 begin->ctx);
}

static void begin_deferred(claims_t *claims, ms_t now)
{
	deferred_begin_t *begin;

	while ((begin = g_queue_pop_head(&claims->deferred))) {
		begin_now(claims, now, begin);
		deferred_free(begin);
	}
}

void claim_begin(claims_t *claims, ms_t now, const claim_request_t *request,
		 claim_done_t done, void *ctx)
{
	deferred_begin_t *begin = g_new0(deferred_begin_t, 1);

	begin->key = claim_record_key(request->caller, request->key);
	begin->request = g_strdup(request->request);
	begin->body_hash = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
					   request->body_hash);
	begin->is_known = request->is_known;
	begin->done = done;
	begin->ctx = ctx;
	g_queue_push_tail(&claims->deferred, begin);
	/* A claim that is just being answered takes no one in any more. */
	if (!claims->is_in_tick)
		begin_deferred(claims, now);
	claims->options.wake(claims->options.ctx);
}

/* The claim is in the service: the request may run, now and only here. */
static void grant(claim_t *claim)
{
	g_assert(claim->want == WANT_CLAIM);
	g_assert(claim->record.state == CLAIM_RUNNING);
	claim->is_in_doubt = FALSE;
	claim->expected = claim->revision;
	claim->step = STEP_RUNNING;
	claim_answer_record(claim, CLAIM_GRANTED, &claim->record);
}

/* Write the end of this process's own claim. */
static void want_end(claim_t *claim, ms_t now, claim_state_t state)
{
	claim->want = WANT_END;
	claim->record.state = state;
	claim_enqueue(claim, now);
}

void claim_finish(claims_t *claims, ms_t now, const char *caller,
		  const char *name, outcome_t outcome, const char *answer,
		  size_t answer_size)
{
	char *key = claim_record_key(caller, name);
	claim_t *claim = g_hash_table_lookup(claims->by_key, key);

	g_free(key);
	g_assert(claim && claim->step == STEP_RUNNING);
	if (outcome == OUTCOME_ANSWERED && answer &&
	    answer_size <= claims->options.answer_max) {
		claim->record.answer = g_memdup2(answer, answer_size);
		claim->record.answer_size = answer_size;
	}
	want_end(claim, now,
		 outcome == OUTCOME_ANSWERED  ? CLAIM_ANSWERED
		 : outcome == OUTCOME_NOT_RUN ? CLAIM_NOT_RUN
					      : CLAIM_UNKNOWN);
	claims->options.wake(claims->options.ctx);
}

/*
 * Nothing was decided in time.  The request has not run here; it is refused,
 * and a claim that may still land is written as not run.
 */
static void refuse(claim_t *claim, ms_t now)
{
	claim_answer_refused(claim);
	if (claim->is_in_doubt)
		want_end(claim, now, CLAIM_NOT_RUN);
	else
		claim_free(claim);
}

static void on_read(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	claim_t *claim = ctx;

	claim->status = status;
	claim->step = STEP_READ;
	claim->is_seen = status == KV_DONE && count;
	claim->is_malformed = FALSE;
	claim_record_clear(&claim->seen);
	if (claim->is_seen) {
		claim->revision = items[0].revision;
		claim->is_malformed = !claim_record_parse(
			items[0].value, items[0].size, &claim->seen, NULL);
	}
	claim->claims->options.wake(claim->claims->options.ctx);
}

static void on_runner_read(void *ctx, kv_status_t status,
			   const kv_item_t *items, size_t count,
			   int64_t revision, const GError *error)
{
	claim_t *claim = ctx;

	claim->status = status;
	claim->step = STEP_CHECKED;
	claim->is_runner_alive =
		count && items[0].lease == claim->seen.incarnation;
	claim->claims->options.wake(claim->claims->options.ctx);
}

static void read_claim(claim_t *claim)
{
	claim->step = STEP_READING;
	kv_read(claim->claims->kv, claim->key, on_read, claim);
}

static void read_later(claim_t *claim, ms_t now)
{
	claim->step = STEP_READ_DUE;
	claim->not_before = now + claim->claims->options.retry_interval;
}

static void check_runner(claim_t *claim)
{
	char *key = lease_record_key(claim->seen.instance);

	claim->step = STEP_CHECKING;
	kv_read(claim->claims->kv, key, on_runner_read, claim);
	g_free(key);
}

static void after_write(claim_t *claim)
{
	if (claim->want == WANT_CLAIM) {
		grant(claim);
	} else if (claim->want == WANT_UNKNOWN) {
		claim_answer_record(claim, CLAIM_DONE, &claim->seen);
		claim_free(claim);
	} else {
		if (claim->record.state == CLAIM_NOT_RUN)
			claim_answer_refused(claim);
		else
			claim_answer_record(claim, CLAIM_DONE, &claim->record);
		claim_free(claim);
	}
}

/* The owner saw the end that this process did not, and wrote it. */
static void take_owners_word(claim_t *claim)
{
	if (claim->seen.state == CLAIM_ANSWERED)
		claim_answer_record(claim, CLAIM_DONE, &claim->seen);
	else
		claim_answer_refused(claim);
	claim_free(claim);
}

/* The end of the own claim: it is written until it is there. */
static void after_read_for_end(claim_t *claim, ms_t now)
{
	if (!claim->is_seen) {
		/* The claim may not have landed yet, or it has expired. */
		claim->expected = KV_REVISION_ABSENT;
		claim_enqueue(claim,
			      now + claim->claims->options.retry_interval);
	} else if (strcmp(claim->seen.nonce, claim->record.nonce) != 0) {
		/* Someone else's: the own claim can't land any more. */
		claim_answer_refused(claim);
		claim_free(claim);
	} else if (claim->seen.state == claim->record.state) {
		after_write(claim);
	} else if (claim->record.state == CLAIM_UNKNOWN &&
		   claim->seen.state != CLAIM_RUNNING) {
		take_owners_word(claim);
	} else {
		claim->expected = claim->revision;
		claim_enqueue(claim, now);
	}
}

/* Someone else holds the key. */
static void after_read_of_other(claim_t *claim, ms_t now)
{
	claim->is_in_doubt = FALSE;
	switch (claim->seen.state) {
	case CLAIM_RUNNING:
		check_runner(claim);
		return;
	case CLAIM_NOT_RUN:
		claim->want = WANT_CLAIM;
		claim->expected = claim->revision;
		claim_enqueue(claim, now);
		return;
	case CLAIM_ANSWERED:
	case CLAIM_UNKNOWN:
	case CLAIM_STATE_COUNT:
		claim_answer_record(claim, CLAIM_DONE, &claim->seen);
		claim_free(claim);
	}
}

/* The claim had landed; meanwhile its runner may have been taken for dead. */
static void after_read_of_own(claim_t *claim, ms_t now)
{
	if (claim->seen.state == CLAIM_RUNNING) {
		grant(claim);
		return;
	}
	claim_answer_refused(claim);
	claim->expected = claim->revision;
	want_end(claim, now, CLAIM_NOT_RUN);
}

static void after_read(claim_t *claim, ms_t now)
{
	if (claim->status != KV_DONE || claim->is_malformed) {
		read_later(claim, now);
	} else if (claim->want == WANT_END) {
		after_read_for_end(claim, now);
	} else if (!claim->is_seen) {
		claim->want = WANT_CLAIM;
		claim->expected = KV_REVISION_ABSENT;
		claim_enqueue(claim, now);
	} else if (!strcmp(claim->seen.nonce, claim->record.nonce)) {
		after_read_of_own(claim, now);
	} else {
		after_read_of_other(claim, now);
	}
}

static void after_check(claim_t *claim, ms_t now)
{
	if (claim->status != KV_DONE) {
		read_later(claim, now);
	} else if (claim->is_runner_alive) {
		claim_answer_record(claim, CLAIM_RUNNING_ELSEWHERE,
				    &claim->seen);
		claim_free(claim);
	} else {
		claim->want = WANT_UNKNOWN;
		claim->seen.state = CLAIM_UNKNOWN;
		claim->expected = claim->revision;
		claim_enqueue(claim, now);
	}
}

static gboolean is_overdue(const claim_t *claim, ms_t now)
{
	return now >= claim->deadline && claim->want != WANT_END &&
	       (claim->step == STEP_QUEUED || claim->step == STEP_READ_DUE);
}

static void claim_advance(claim_t *claim, ms_t now)
{
	if (is_overdue(claim, now)) {
		if (claim->step == STEP_QUEUED)
			TAILQ_REMOVE(&claim->claims->queue, claim, queue_link);
		refuse(claim, now);
		return;
	}
	claim_answer_late(claim);
	switch (claim->step) {
	case STEP_WRITTEN:
		after_write(claim);
		break;
	case STEP_CONFLICT:
		read_claim(claim);
		break;
	case STEP_READ_DUE:
		if (now >= claim->not_before)
			read_claim(claim);
		break;
	case STEP_READ:
		after_read(claim, now);
		break;
	case STEP_CHECKED:
		after_check(claim, now);
		break;
	case STEP_RUNNING:
	case STEP_QUEUED:
	case STEP_WRITING:
	case STEP_READING:
	case STEP_CHECKING:
		break;
	}
}

static void on_bucket(void *ctx, kv_status_t status, int64_t lease,
		      const GError *error)
{
	claims_t *claims = ctx;

	claims->is_bucket_open = FALSE;
	claims->is_bucket_granted = status == KV_DONE;
	claims->granted_bucket = lease;
	claims->options.wake(claims->options.ctx);
}

/* While no new bucket can be had, the old one serves on. */
static void bucket_tick(claims_t *claims, ms_t now)
{
	const claim_options_t *options = &claims->options;

	if (claims->is_bucket_granted) {
		claims->is_bucket_granted = FALSE;
		claims->bucket = claims->granted_bucket;
		claims->bucket_end = now + options->bucket_length;
	}
	if (claims->is_bucket_open || now < claims->bucket_retry_at ||
	    (claims->bucket && now < claims->bucket_end))
		return;
	claims->is_bucket_open = TRUE;
	claims->bucket_retry_at = now + options->retry_interval;
	kv_lease_grant(claims->kv, options->keep + options->bucket_length,
		       on_bucket, claims);
}

ms_t claim_tick(claims_t *claims, ms_t now)
{
	claim_t *claim;

	claims->is_in_tick = TRUE;
	bucket_tick(claims, now);
	claim_commit_take(claims, now);
	claim = TAILQ_FIRST(&claims->all);
	while (claim) {
		claim_t *next = TAILQ_NEXT(claim, link);

		claim_advance(claim, now);
		claim = next;
	}
	claim_commit_send(claims, now);
	claims->is_in_tick = FALSE;
	begin_deferred(claims, now);
	return now + TICK_MS;
}
