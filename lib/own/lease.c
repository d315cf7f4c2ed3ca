#include "own/lease.h"

#include <string.h>

typedef enum {
	STATE_NONE,    /* no lease */
	STATE_GRANTED, /* lease granted, record not yet written */
	STATE_HELD,    /* lease granted and record written */
	STATE_RELEASED /* lease_release() was called */
} state_t;

struct lease {
	kv_t *kv;
	char *instance;
	char *key;
	char *record;
	lease_options_t options;
	state_t state;
	gboolean is_busy; /* a kv call is outstanding */
	gboolean is_revoking;
	int64_t id;
	ms_t sent_at;	  /* of the last grant or renewal */
	ms_t valid_until; /* local expiry time, also in STATE_GRANTED */
	ms_t renew_at;
	ms_t retry_at;	  /* no call is made before */
	ms_t retry_delay; /* until the next retry */
	gboolean is_retry_due;
	gboolean is_record_unconfirmed; /* read it before writing again */
	gboolean is_single_process;
	gboolean is_doubtful;	/* the service may have forgotten it */
	int64_t stale_revision; /* of the record to overwrite; 0: none */
};

char *lease_record_key(const char *instance)
{
	return g_strconcat("hc/instance/", instance, NULL);
}

lease_t *lease_create(kv_t *kv, const lease_options_t *options)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->kv = kv;
	lease->options = *options;
	lease->instance = g_strdup(options->instance);
	lease->key = lease_record_key(options->instance);
	lease->record = g_strdup(options->record);
	lease->retry_delay = options->retry_interval;
	return lease;
}

void lease_set_single_process(lease_t *lease)
{
	lease->is_single_process = TRUE;
}

void lease_destroy(lease_t *lease)
{
	g_free(lease->instance);
	g_free(lease->key);
	g_free(lease->record);
	g_free(lease);
}

static void finish_call(lease_t *lease, gboolean is_retry_due)
{
	lease->is_busy = FALSE;
	lease->is_retry_due = is_retry_due;
	if (!is_retry_due)
		lease->retry_delay = lease->options.retry_interval;
	lease->options.wake(lease->options.ctx);
}

static void drop_lease(lease_t *lease)
{
	if (lease->state != STATE_RELEASED)
		lease->state = STATE_NONE;
	lease->id = 0;
	lease->valid_until = 0;
	lease->is_record_unconfirmed = FALSE;
	lease->is_doubtful = FALSE;
}

static void extend(lease_t *lease)
{
	ms_t end = lease->sent_at + lease->options.ttl - lease->options.margin;

	lease->valid_until = MAX(lease->valid_until, end);
	lease->renew_at = lease->sent_at + lease->options.renew_interval;
}

static void on_granted(void *ctx, kv_status_t status, int64_t id,
		       const GError *error)
{
	lease_t *lease = ctx;

	if (status == KV_DONE && lease->state == STATE_NONE) {
		lease->id = id;
		lease->state = STATE_GRANTED;
		extend(lease);
	}
	finish_call(lease, status != KV_DONE);
}

static void on_renewed(void *ctx, kv_status_t status, int64_t id,
		       const GError *error)
{
	lease_t *lease = ctx;

	if (status == KV_DONE && !lease->is_doubtful)
		extend(lease);
	else if (status == KV_CONFLICT)
		drop_lease(lease);
	finish_call(lease, status == KV_FAILED || status == KV_UNKNOWN);
}

static void on_registered(void *ctx, kv_status_t status, int64_t revision,
			  const GError *error)
{
	lease_t *lease = ctx;

	if (status == KV_DONE && lease->state == STATE_GRANTED)
		lease->state = STATE_HELD;
	lease->is_record_unconfirmed = status != KV_DONE;
	finish_call(lease, status != KV_DONE && status != KV_CONFLICT);
}

static void on_record_read(void *ctx, kv_status_t status,
			   const kv_item_t *items, size_t count,
			   int64_t revision, const GError *error)
{
	lease_t *lease = ctx;
	gboolean is_mine =
		status == KV_DONE && count && items[0].lease == lease->id;

	if (is_mine && lease->state == STATE_GRANTED)
		lease->state = STATE_HELD;
	if (status == KV_DONE)
		lease->is_record_unconfirmed = FALSE;
	lease->stale_revision = 0;
	if (status == KV_DONE && count && !is_mine && lease->is_single_process)
		lease->stale_revision = items[0].revision;
	finish_call(lease, !is_mine && !lease->stale_revision);
}

/* A record that names the lease was written while it was this instance's. */
static void on_doubt_resolved(void *ctx, kv_status_t status,
			      const kv_item_t *items, size_t count,
			      int64_t revision, const GError *error)
{
	lease_t *lease = ctx;

	if (status == KV_DONE && lease->is_doubtful) {
		lease->is_doubtful = FALSE;
		if (!count || items[0].lease != lease->id)
			drop_lease(lease);
	}
	finish_call(lease, status != KV_DONE);
}

static void renew(lease_t *lease, ms_t now)
{
	lease->is_busy = TRUE;
	lease->sent_at = now;
	kv_lease_renew(lease->kv, lease->id, on_renewed, lease);
}

static void write_record(lease_t *lease)
{
	kv_write_t write = {lease->key, KV_REVISION_ABSENT, lease->record,
			    strlen(lease->record), lease->id};

	if (lease->stale_revision)
		write.expected = lease->stale_revision;
	lease->is_busy = TRUE;
	kv_write(lease->kv, &write, 1, on_registered, lease);
}

static void start_next_call(lease_t *lease, ms_t now)
{
	if (lease->state == STATE_NONE) {
		lease->is_busy = TRUE;
		lease->sent_at = now;
		kv_lease_grant(lease->kv, lease->options.ttl, on_granted,
			       lease);
	} else if (lease->is_doubtful) {
		lease->is_busy = TRUE;
		kv_read(lease->kv, lease->key, on_doubt_resolved, lease);
	} else if (now >= lease->renew_at) {
		renew(lease, now);
	} else if (lease->state == STATE_GRANTED &&
		   lease->is_record_unconfirmed) {
		lease->is_busy = TRUE;
		kv_read(lease->kv, lease->key, on_record_read, lease);
	} else if (lease->state == STATE_GRANTED) {
		write_record(lease);
	}
}

void lease_retry_now(lease_t *lease)
{
	lease->retry_at = 0;
	lease->is_retry_due = FALSE;
	lease->retry_delay = lease->options.retry_interval;
}

void lease_begin_history(lease_t *lease)
{
	/* Without a record nothing can show whose lease it is. */
	if (lease->state == STATE_GRANTED)
		drop_lease(lease);
	if (lease->state != STATE_HELD)
		return;
	lease->is_doubtful = TRUE;
	lease->valid_until = 0;
	lease->renew_at = 0;
	lease_retry_now(lease);
}

ms_t lease_tick(lease_t *lease, ms_t now)
{
	if (lease->state == STATE_RELEASED || lease->is_busy)
		return now + lease->options.retry_interval;
	if (lease->is_retry_due) {
		lease->is_retry_due = FALSE;
		lease->retry_at = now + lease->retry_delay;
		lease->retry_delay =
			MIN(2 * lease->retry_delay,
			    MAX(lease->options.retry_interval,
				lease->options.retry_interval_max));
	}
	if (now >= lease->retry_at)
		start_next_call(lease, now);
	if (lease->state == STATE_HELD && !lease->is_busy)
		return MAX(lease->retry_at, lease->renew_at);
	return now + lease->options.retry_interval;
}

gboolean lease_is_valid(const lease_t *lease, ms_t now)
{
	return lease->state == STATE_HELD && now < lease->valid_until;
}

ms_t lease_valid_until(const lease_t *lease)
{
	return lease->state == STATE_HELD ? lease->valid_until : 0;
}

int64_t lease_id(const lease_t *lease)
{
	return lease->state == STATE_HELD ? lease->id : 0;
}

const char *lease_instance(const lease_t *lease)
{
	return lease->instance;
}

static void on_revoked(void *ctx, kv_status_t status, int64_t id,
		       const GError *error)
{
	lease_t *lease = ctx;

	lease->is_revoking = FALSE;
	lease->options.wake(lease->options.ctx);
}

void lease_release(lease_t *lease)
{
	int64_t id = lease->id;

	if (lease->state == STATE_RELEASED)
		return;
	lease->state = STATE_RELEASED;
	drop_lease(lease);
	if (!id)
		return;
	lease->is_revoking = TRUE;
	kv_lease_revoke(lease->kv, id, on_revoked, lease);
}

gboolean lease_is_released(const lease_t *lease)
{
	return lease->state == STATE_RELEASED && !lease->is_revoking;
}
