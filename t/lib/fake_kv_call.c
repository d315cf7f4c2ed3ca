/* Simulates the requests and answers of the calls of a connection. */

#include "fake_kv_internal.h"

#include <string.h>

typedef enum {
	CALL_READ,
	CALL_WRITE,
	CALL_GRANT,
	CALL_RENEW,
	CALL_REVOKE
} kind_t;

typedef struct {
	int refs;
	connection_t *connection;
	kind_t kind;
	gboolean is_ended;
	gboolean is_answer_lost;
	char *key;
	gboolean is_prefix;
	GArray *writes; /* kv_write_t with owned strings */
	ms_t ttl;
	int64_t lease;
	kv_status_t status;
	int64_t revision;
	GArray *items; /* kv_item_t with owned strings */
	kv_read_done_t read_done;
	kv_write_done_t write_done;
	kv_lease_done_t lease_done;
	void *done_ctx;
} call_t;

static void write_clear(gpointer data)
{
	kv_write_t *write = data;

	g_free((char *)write->key);
	g_free((char *)write->value);
}

static void call_unref(void *data)
{
	call_t *call = data;

	if (--call->refs)
		return;
	g_free(call->key);
	if (call->writes)
		g_array_free(call->writes, TRUE);
	if (call->items)
		g_array_free(call->items, TRUE);
	g_free(call);
}

static void call_end(call_t *call, kv_status_t status)
{
	GError *error = NULL;
	size_t count = call->items ? call->items->len : 0;

	if (call->is_ended)
		return;
	call->is_ended = TRUE;
	if (status == KV_FAILED || status == KV_UNKNOWN)
		error_set(&error, ERROR_UNAVAILABLE,
			  "the key-value service does not answer; try later");
	if (call->kind == CALL_READ)
		call->read_done(call->done_ctx, status,
				count ? (kv_item_t *)call->items->data : NULL,
				count, call->revision, error);
	else if (call->kind == CALL_WRITE)
		call->write_done(call->done_ctx, status, call->revision, error);
	else
		call->lease_done(call->done_ctx, status, call->lease, error);
	g_clear_error(&error);
}

static void on_answer(void *data)
{
	call_t *call = data;

	call_end(call, call->status);
	call_unref(call);
}

static void on_timeout(void *data)
{
	call_t *call = data;

	call_end(call, call->kind == CALL_READ ? KV_FAILED : KV_UNKNOWN);
	call_unref(call);
}

static void on_refused(void *data)
{
	call_t *call = data;

	call_end(call, KV_FAILED);
	call_unref(call);
}

static void add_item(GArray *items, const kv_record_t *record)
{
	kv_item_t item = {g_strdup(record->key),
			  g_memdup2(record->value, record->size + 1),
			  record->size, record->revision, record->lease};

	g_array_append_val(items, item);
}

static void apply_read(fake_kv_t *fake, call_t *call)
{
	char *end = kv_store_prefix_end(call->key);
	const kv_record_t *record;
	GPtrArray *found;
	guint i;

	call->items = kv_items_create();
	call->revision = kv_store_revision(fake->store);
	if (call->is_prefix) {
		found = kv_store_range(fake->store, call->key, end);
		for (i = 0; i < found->len; i++)
			add_item(call->items, found->pdata[i]);
		g_ptr_array_unref(found);
	} else {
		record = kv_store_get(fake->store, call->key);
		if (record)
			add_item(call->items, record);
	}
	g_free(end);
}

static kv_status_t apply_write(fake_kv_t *fake, call_t *call)
{
	kv_change_t changes[KV_WRITES_MAX];
	guint i;

	for (i = 0; i < call->writes->len; i++) {
		kv_write_t *write = &g_array_index(call->writes, kv_write_t, i);
		const kv_record_t *record;
		int64_t revision;

		record = kv_store_get(fake->store, write->key);
		revision = record ? record->revision : KV_REVISION_ABSENT;
		if (write->expected != KV_REVISION_ANY &&
		    write->expected != revision)
			return KV_CONFLICT;
		changes[i].key = write->key;
		changes[i].value = write->value;
		changes[i].size = write->size;
		changes[i].lease = write->lease;
	}
	if (!kv_store_apply(fake->store, changes, call->writes->len))
		return KV_FAILED;
	call->revision = kv_store_revision(fake->store);
	return KV_DONE;
}

static kv_status_t apply_call(fake_kv_t *fake, call_t *call)
{
	switch (call->kind) {
	case CALL_READ:
		apply_read(fake, call);
		return KV_DONE;
	case CALL_WRITE:
		return apply_write(fake, call);
	case CALL_GRANT:
		call->lease =
			kv_store_lease_grant(fake->store, call->ttl, fake->now);
		return KV_DONE;
	case CALL_RENEW:
		return kv_store_lease_renew(fake->store, call->lease, fake->now)
			       ? KV_DONE
			       : KV_CONFLICT;
	case CALL_REVOKE:
		return kv_store_lease_revoke(fake->store, call->lease)
			       ? KV_DONE
			       : KV_CONFLICT;
	}
	return KV_FAILED;
}

/* A request arrives at the service. */
static void on_arrival(void *data)
{
	call_t *call = data;
	connection_t *connection = call->connection;
	fake_kv_t *fake = connection->fake;

	if (fake->mode == FAKE_KV_UP) {
		event_t answer = {fake->now + fake_kv_delay(fake),
				  0,
				  connection,
				  on_answer,
				  call_unref,
				  call};

		call->status = apply_call(fake, call);
		if (fake->answers_to_lose && call->kind != CALL_READ &&
		    call->status == KV_DONE) {
			fake->answers_to_lose--;
			call->is_answer_lost = TRUE;
		}
		if (!call->is_answer_lost && !connection->is_answers_cut) {
			call->refs++;
			fake_kv_push(fake, &answer);
		}
	}
	call_unref(call);
}

static void call_send(call_t *call)
{
	connection_t *connection = call->connection;
	fake_kv_t *fake = connection->fake;
	event_t arrival = {fake->now + fake_kv_delay(fake),
			   0,
			   NULL,
			   on_arrival,
			   call_unref,
			   call};
	event_t timeout = {fake->now + fake->faults.timeout,
			   0,
			   connection,
			   on_timeout,
			   call_unref,
			   call};

	if (call->kind == CALL_READ)
		fake->stats.reads++;
	else if (call->kind == CALL_WRITE)
		fake->stats.writes++;
	else
		fake->stats.lease_calls++;
	call->refs = 1;
	if (fake->mode == FAKE_KV_REFUSING) {
		timeout.at = fake->now + FAKE_KV_DELAY_MS;
		timeout.run = on_refused;
		fake_kv_push(fake, &timeout);
		return;
	}
	fake_kv_push(fake, &timeout);
	if (fake_kv_chance(fake, fake->faults.late_share))
		arrival.at += fake_kv_random(fake, 0, fake->faults.late_max);
	call->is_answer_lost =
		fake_kv_chance(fake, fake->faults.lost_answer_share);
	if (connection->is_requests_cut ||
	    fake_kv_chance(fake, fake->faults.lost_request_share))
		return;
	call->refs++;
	fake_kv_push(fake, &arrival);
}

static call_t *call_create(void *ctx, kind_t kind, void *done_ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->connection = ctx;
	call->kind = kind;
	call->done_ctx = done_ctx;
	return call;
}

static void fake_read(void *ctx, const char *key, gboolean is_prefix,
		      kv_read_done_t done, void *done_ctx)
{
	call_t *call = call_create(ctx, CALL_READ, done_ctx);

	call->key = g_strdup(key);
	call->is_prefix = is_prefix;
	call->read_done = done;
	call_send(call);
}

static void fake_write(void *ctx, const kv_write_t *writes, size_t count,
		       kv_write_done_t done, void *done_ctx)
{
	call_t *call = call_create(ctx, CALL_WRITE, done_ctx);
	size_t i;

	call->writes = g_array_new(FALSE, TRUE, sizeof(kv_write_t));
	g_array_set_clear_func(call->writes, write_clear);
	for (i = 0; i < count; i++) {
		kv_write_t copy = writes[i];

		copy.key = g_strdup(writes[i].key);
		if (writes[i].value) {
			char *value = g_malloc0(writes[i].size + 1);

			memcpy(value, writes[i].value, writes[i].size);
			copy.value = value;
		}
		g_array_append_val(call->writes, copy);
	}
	call->write_done = done;
	call_send(call);
}

static void fake_lease_grant(void *ctx, ms_t ttl, kv_lease_done_t done,
			     void *done_ctx)
{
	call_t *call = call_create(ctx, CALL_GRANT, done_ctx);

	call->ttl = ttl;
	call->lease_done = done;
	call_send(call);
}

static void fake_lease_renew(void *ctx, int64_t lease, kv_lease_done_t done,
			     void *done_ctx)
{
	call_t *call = call_create(ctx, CALL_RENEW, done_ctx);

	call->lease = lease;
	call->lease_done = done;
	call_send(call);
}

static void fake_lease_revoke(void *ctx, int64_t lease, kv_lease_done_t done,
			      void *done_ctx)
{
	call_t *call = call_create(ctx, CALL_REVOKE, done_ctx);

	call->lease = lease;
	call->lease_done = done;
	call_send(call);
}

static void fake_disconnect(void *ctx)
{
	connection_t *connection = ctx;

	connection->is_dead = TRUE;
	fake_kv_watch_drop_all(connection);
}

const kv_calls_t fake_kv_calls = {
	.read = fake_read,
	.write = fake_write,
	.lease_grant = fake_lease_grant,
	.lease_renew = fake_lease_renew,
	.lease_revoke = fake_lease_revoke,
	.watch = fake_kv_watch,
	.watch_cancel = fake_kv_watch_cancel,
	.destroy = fake_disconnect,
};
