#include "claim/orphan.h"

#include <string.h>
#include <sys/queue.h>

#include "base/counter.h"
#include "claim/claim_record.h"

#define RETRY_INTERVAL_MS 500
#define OPEN_MAX	  1024
#define CALLS_MAX	  8
#define ANSWER_MAX_BYTES  (64 * 1024)

typedef enum {
	STEP_DUE, /* for a read, at not_before */
	STEP_READING,
	STEP_READ,
	STEP_WRITING,
	STEP_WRITTEN
} orphan_step_t;

typedef struct orphan {
	TAILQ_ENTRY(orphan) link;
	orphans_t *orphans;
	char *key;
	char *request;
	claim_state_t state; /* to be written */
	char *answer;
	size_t answer_size;
	orphan_step_t step;
	ms_t not_before;
	kv_status_t status; /* of the last call */
	gboolean is_seen;   /* the last read found a claim: */
	claim_record_t seen;
	int64_t revision;
	int64_t lease;
} orphan_t;

TAILQ_HEAD(orphan_list, orphan);

struct orphans {
	kv_t *kv;
	orphan_options_t options;
	struct orphan_list all;
	size_t open;
	size_t calls;
};

void orphan_options_init(orphan_options_t *options)
{
	options->retry_interval = RETRY_INTERVAL_MS;
	options->open_max = OPEN_MAX;
	options->calls_max = CALLS_MAX;
	options->answer_max = ANSWER_MAX_BYTES;
}

orphans_t *orphans_create(kv_t *kv, const orphan_options_t *options)
{
	orphans_t *orphans = g_new0(orphans_t, 1);

	orphans->kv = kv;
	orphans->options = *options;
	TAILQ_INIT(&orphans->all);
	return orphans;
}

static void orphan_free(orphan_t *orphan)
{
	TAILQ_REMOVE(&orphan->orphans->all, orphan, link);
	orphan->orphans->open--;
	claim_record_clear(&orphan->seen);
	g_free(orphan->key);
	g_free(orphan->request);
	g_free(orphan->answer);
	g_free(orphan);
}

void orphans_destroy(orphans_t *orphans)
{
	orphan_t *orphan = TAILQ_FIRST(&orphans->all);

	while (orphan) {
		orphan_t *next = TAILQ_NEXT(orphan, link);

		orphan_free(orphan);
		orphan = next;
	}
	g_free(orphans);
}

size_t orphans_pending_count(const orphans_t *orphans)
{
	return orphans->open;
}

void orphans_add(orphans_t *orphans, const orphan_run_t *end)
{
	orphan_t *orphan;

	g_assert(end->outcome != OUTCOME_UNKNOWN);
	if (orphans->open >= orphans->options.open_max) {
		counter_add(counter_get("hc_orphans_total{result=\"left\"}"),
			    1);
		return;
	}
	orphan = g_new0(orphan_t, 1);
	orphan->orphans = orphans;
	orphan->key = claim_record_key(end->caller, end->key);
	orphan->request = g_strdup(end->request);
	orphan->state = end->outcome == OUTCOME_ANSWERED ? CLAIM_ANSWERED
							 : CLAIM_NOT_RUN;
	if (end->answer && end->answer_size <= orphans->options.answer_max) {
		orphan->answer = g_memdup2(end->answer, end->answer_size);
		orphan->answer_size = end->answer_size;
	}
	TAILQ_INSERT_TAIL(&orphans->all, orphan, link);
	orphans->open++;
	orphans->options.wake(orphans->options.ctx);
}

static void end_call(orphan_t *orphan, orphan_step_t step, kv_status_t status)
{
	orphans_t *orphans = orphan->orphans;

	orphans->calls--;
	orphan->step = step;
	orphan->status = status;
	orphans->options.wake(orphans->options.ctx);
}

static void on_read(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	orphan_t *orphan = ctx;

	claim_record_clear(&orphan->seen);
	orphan->is_seen = status == KV_DONE && count &&
			  claim_record_parse(items[0].value, items[0].size,
					     &orphan->seen, NULL);
	if (orphan->is_seen) {
		orphan->revision = items[0].revision;
		orphan->lease = items[0].lease;
	}
	end_call(orphan, STEP_READ, status);
}

static void on_written(void *ctx, kv_status_t status, int64_t revision,
		       const GError *error)
{
	end_call(ctx, STEP_WRITTEN, status);
}

static void read_claim(orphan_t *orphan)
{
	orphan->orphans->calls++;
	orphan->step = STEP_READING;
	kv_read(orphan->orphans->kv, orphan->key, on_read, orphan);
}

static void write_end(orphan_t *orphan)
{
	kv_write_t write = {.key = orphan->key,
			    .expected = orphan->revision,
			    .lease = orphan->lease};
	char *text;

	orphan->seen.state = orphan->state;
	g_free(orphan->seen.answer);
	orphan->seen.answer = g_memdup2(orphan->answer, orphan->answer_size);
	orphan->seen.answer_size = orphan->answer_size;
	text = claim_record_render(&orphan->seen);
	write.value = text;
	write.size = strlen(text);
	orphan->orphans->calls++;
	orphan->step = STEP_WRITING;
	kv_write(orphan->orphans->kv, &write, 1, on_written, orphan);
	g_free(text);
}

static void try_later(orphan_t *orphan, ms_t now)
{
	orphan->step = STEP_DUE;
	orphan->not_before = now + orphan->orphans->options.retry_interval;
}

/* Whether the claim is that of this run, and its end is not written. */
static gboolean needs_end(const orphan_t *orphan)
{
	return orphan->is_seen &&
	       !strcmp(orphan->seen.request, orphan->request) &&
	       (orphan->seen.state == CLAIM_RUNNING ||
		orphan->seen.state == CLAIM_UNKNOWN);
}

static void after_read(orphan_t *orphan, ms_t now)
{
	if (orphan->status != KV_DONE)
		try_later(orphan, now);
	else if (needs_end(orphan))
		write_end(orphan);
	else
		orphan_free(orphan);
}

/* A write that may have taken effect is read back like one that did not. */
static void after_write(orphan_t *orphan, ms_t now)
{
	if (orphan->status != KV_DONE) {
		try_later(orphan, now);
		return;
	}
	counter_add(counter_get("hc_orphans_total{result=\"written\"}"), 1);
	orphan_free(orphan);
}

static ms_t advance(orphan_t *orphan, ms_t now)
{
	const orphans_t *orphans = orphan->orphans;

	switch (orphan->step) {
	case STEP_DUE:
		if (now < orphan->not_before)
			return orphan->not_before;
		if (orphans->calls < orphans->options.calls_max)
			read_claim(orphan);
		return MS_NEVER;
	case STEP_READ:
		after_read(orphan, now);
		return now + orphans->options.retry_interval;
	case STEP_WRITTEN:
		after_write(orphan, now);
		return now + orphans->options.retry_interval;
	case STEP_READING:
	case STEP_WRITING:
		break;
	}
	return MS_NEVER;
}

ms_t orphans_tick(orphans_t *orphans, ms_t now)
{
	orphan_t *orphan = TAILQ_FIRST(&orphans->all);
	ms_t next_at = MS_NEVER;

	while (orphan) {
		orphan_t *next = TAILQ_NEXT(orphan, link);
		ms_t due = advance(orphan, now);

		next_at = MIN(next_at, due);
		orphan = next;
	}
	return next_at;
}
