#include <string.h>

#include "base/counter.h"
#include "claim/claim_internal.h"

/* Maximum number of transactions in flight. */
#define GROUPS_MAX 4

/* No more claims are added to a group once its answers reach this size. */
#define GROUP_BYTES_MAX (512 * 1024)

void claim_enqueue(claim_t *claim, ms_t not_before)
{
	claim->step = STEP_QUEUED;
	claim->not_before = not_before;
	TAILQ_INSERT_TAIL(&claim->claims->queue, claim, queue_link);
}

static void group_free(group_t *group)
{
	g_ptr_array_free(group->members, TRUE);
	g_free(group);
}

static void on_committed(void *ctx, kv_status_t status, int64_t revision,
			 const GError *error)
{
	group_t *group = ctx;

	group->is_answered = TRUE;
	group->status = status;
	group->revision = revision;
	group->claims->options.wake(group->claims->options.ctx);
}

static char *render(const claim_t *claim)
{
	return claim_record_render(claim->write_kind == WRITE_KIND_UNKNOWN
					   ? &claim->seen
					   : &claim->record);
}

/* Sends a group in one transaction.  Values are rendered at this time. */
static void send_group(claims_t *claims, GPtrArray *members)
{
	group_t *group = g_new0(group_t, 1);
	kv_write_t writes[KV_WRITES_MAX];
	guint i;

	group->claims = claims;
	group->members = members;
	TAILQ_INSERT_TAIL(&claims->in_flight, group, link);
	claims->in_flight_count++;
	for (i = 0; i < members->len; i++) {
		claim_t *claim = members->pdata[i];
		char *text = render(claim);

		claim->step = STEP_WRITING;
		writes[i].key = claim->key;
		writes[i].expected = claim->expected;
		writes[i].value = text;
		writes[i].size = strlen(text);
		writes[i].lease = claims->bucket;
	}
	counter_add(counter_get("hc_claim_commits_total"), 1);
	counter_add(counter_get("hc_claim_commit_writes_total"), members->len);
	kv_write(claims->kv, writes, members->len, on_committed, group);
	for (i = 0; i < members->len; i++)
		g_free((char *)writes[i].value);
}

static void set_step(const group_t *group, claim_step_t step)
{
	guint i;

	for (i = 0; i < group->members->len; i++) {
		claim_t *claim = group->members->pdata[i];

		claim->step = step;
		claim->revision = group->revision;
	}
}

/*
 * Sends both halves of a group separately.  A transaction with a conflict
 * writes nothing, so splitting finds the claim that has the conflict.
 */
static void split_group(claims_t *claims, const group_t *group)
{
	guint count = group->members->len;
	GPtrArray *halves[2] = {g_ptr_array_new(), g_ptr_array_new()};
	guint i;

	for (i = 0; i < count; i++)
		g_ptr_array_add(halves[i < count / 2 ? 0 : 1],
				group->members->pdata[i]);
	send_group(claims, halves[0]);
	send_group(claims, halves[1]);
}

static void requeue_group(claims_t *claims, const group_t *group, ms_t now)
{
	guint i;

	for (i = 0; i < group->members->len; i++) {
		claim_t *claim = group->members->pdata[i];

		claim_enqueue(claim, now + claims->options.retry_interval);
	}
}

/* Reads back each claim of a group whose write has an unknown result. */
static void read_back_group(const group_t *group)
{
	guint i;

	for (i = 0; i < group->members->len; i++) {
		claim_t *claim = group->members->pdata[i];

		claim->step = STEP_READ_DUE;
		claim->may_be_written |= claim->write_kind == WRITE_KIND_CLAIM;
	}
}

static void handle_group_answer(claims_t *claims, group_t *group, ms_t now)
{
	TAILQ_REMOVE(&claims->in_flight, group, link);
	claims->in_flight_count--;
	if (group->status == KV_DONE)
		set_step(group, STEP_WRITTEN);
	else if (group->status == KV_CONFLICT && group->members->len > 1)
		split_group(claims, group);
	else if (group->status == KV_CONFLICT)
		set_step(group, STEP_CONFLICT);
	else if (group->status == KV_UNKNOWN)
		read_back_group(group);
	else
		requeue_group(claims, group, now);
	group_free(group);
}

void claim_commit_collect(claims_t *claims, ms_t now)
{
	group_t *group = TAILQ_FIRST(&claims->in_flight);

	while (group) {
		group_t *next = TAILQ_NEXT(group, link);

		if (group->is_answered)
			handle_group_answer(claims, group, now);
		group = next;
	}
}

static GPtrArray *select_members(claims_t *claims, ms_t now)
{
	GPtrArray *members = g_ptr_array_new();
	claim_t *claim = TAILQ_FIRST(&claims->queue);
	size_t bytes = 0;

	while (claim && members->len < KV_WRITES_MAX &&
	       bytes < GROUP_BYTES_MAX) {
		claim_t *next = TAILQ_NEXT(claim, queue_link);

		if (claim->not_before <= now) {
			TAILQ_REMOVE(&claims->queue, claim, queue_link);
			g_ptr_array_add(members, claim);
			bytes += claim->record.answer_size;
		}
		claim = next;
	}
	return members;
}

void claim_commit_send(claims_t *claims, ms_t now)
{
	GPtrArray *members;

	if (now < claims->commit_due_at || !claims->bucket ||
	    claims->in_flight_count >= GROUPS_MAX)
		return;
	members = select_members(claims, now);
	if (!members->len) {
		g_ptr_array_free(members, TRUE);
		return;
	}
	claims->commit_due_at = now + claims->options.commit_interval;
	send_group(claims, members);
}

void claim_commit_drop(claims_t *claims)
{
	group_t *group = TAILQ_FIRST(&claims->in_flight);

	while (group) {
		group_t *next = TAILQ_NEXT(group, link);

		group_free(group);
		group = next;
	}
}
