#include "kv/kv.h"

struct kv {
	kv_calls_t calls;
	void *ctx;
};

void kv_item_release(void *data)
{
	kv_item_t *item = data;

	g_free(item->key);
	g_free(item->value);
}

GArray *kv_items_create(void)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(kv_item_t));

	g_array_set_clear_func(items, kv_item_release);
	return items;
}

kv_t *kv_create(const kv_calls_t *calls, void *ctx)
{
	kv_t *kv = g_new0(kv_t, 1);

	kv->calls = *calls;
	kv->ctx = ctx;
	return kv;
}

void kv_destroy(kv_t *kv)
{
	kv->calls.destroy(kv->ctx);
	g_free(kv);
}

void kv_read(kv_t *kv, const char *key, kv_read_done_t done, void *ctx)
{
	kv->calls.read(kv->ctx, key, FALSE, done, ctx);
}

void kv_list(kv_t *kv, const char *prefix, kv_read_done_t done, void *ctx)
{
	kv->calls.read(kv->ctx, prefix, TRUE, done, ctx);
}

void kv_write(kv_t *kv, const kv_write_t *writes, size_t count,
	      kv_write_done_t done, void *ctx)
{
	g_assert(count <= KV_WRITES_MAX);
	kv->calls.write(kv->ctx, writes, count, done, ctx);
}

void kv_lease_grant(kv_t *kv, ms_t ttl, kv_lease_done_t done, void *ctx)
{
	kv->calls.lease_grant(kv->ctx, ttl, done, ctx);
}

void kv_lease_renew(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx)
{
	kv->calls.lease_renew(kv->ctx, lease, done, ctx);
}

void kv_lease_revoke(kv_t *kv, int64_t lease, kv_lease_done_t done, void *ctx)
{
	kv->calls.lease_revoke(kv->ctx, lease, done, ctx);
}

kv_watch_t *kv_watch(kv_t *kv, const char *prefix, int64_t after,
		     kv_watch_event_t on_event, kv_watch_end_t on_end,
		     void *ctx)
{
	return kv->calls.watch(kv->ctx, prefix, after, on_event, on_end, ctx);
}

void kv_watch_cancel(kv_t *kv, kv_watch_t *watch)
{
	kv->calls.watch_cancel(kv->ctx, watch);
}

void kv_watch_hasten(kv_t *kv, kv_watch_t *watch)
{
	if (kv->calls.watch_hasten)
		kv->calls.watch_hasten(kv->ctx, watch);
}
