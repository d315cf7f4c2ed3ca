/* A follower without a key-value service fetches documents from a peer only. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/log.h"
#include "config/follower.h"
#include "config/store.h"
#include "document_model.h"
#include "fake_kv.h"

#define KEPT	  4
#define TICK_MS	  50
#define STEPS_MAX 200
#define SEED	  3

typedef struct {
	char *name;
	uint64_t ticket;
} request_t;

typedef struct {
	fake_kv_t *fake;
	kv_t *kv;
	config_store_t *store;
	follower_t *source;
	follower_t *peer; /* fetches from source only */
	GQueue requests;
	size_t bytes; /* served to the peer */
} fixture_t;

static void on_document(void *ctx, document_t *document)
{
}

static void on_ask_peer(void *ctx, const char *peer, const char *name,
			uint64_t ticket)
{
	fixture_t *fixture = ctx;
	request_t *request = g_new0(request_t, 1);

	request->name = g_strdup(name);
	request->ticket = ticket;
	g_queue_push_tail(&fixture->requests, request);
}

static void fixture_open(fixture_t *fixture)
{
	static const follower_actions_t source = {on_document, NULL, NULL};
	static const follower_actions_t peer = {on_document, on_ask_peer, NULL};
	ms_t now;

	memset(fixture, 0, sizeof(*fixture));
	fixture->fake = fake_kv_create(SEED);
	now = fake_kv_now(fixture->fake);
	fixture->kv = fake_kv_connect(fixture->fake);
	fixture->store = config_store_create(fixture->kv, KEPT, now);
	fixture->source = follower_create(fixture->kv, &source, fixture, now);
	fixture->peer = follower_create(NULL, &peer, fixture, now);
	g_queue_init(&fixture->requests);
}

static void fixture_close(fixture_t *fixture)
{
	kv_destroy(fixture->kv);
	config_store_destroy(fixture->store);
	follower_destroy(fixture->source);
	follower_destroy(fixture->peer);
	fake_kv_destroy(fixture->fake);
}

static void answer(fixture_t *fixture)
{
	request_t *request;

	while ((request = g_queue_pop_head(&fixture->requests))) {
		GBytes *part = follower_serve(fixture->source, request->name);
		gsize size;
		const char *data;

		assert_non_null(part);
		data = g_bytes_get_data(part, &size);
		fixture->bytes += size;
		follower_peer_answer(fixture->peer, request->ticket, data,
				     size);
		g_bytes_unref(part);
		g_free(request->name);
		g_free(request);
	}
}

static void on_commit(void *ctx, const store_result_t *result,
		      const GError *error)
{
	assert_null(error);
}

static void commit(fixture_t *fixture, int64_t base, const GString *text)
{
	char *name = g_strdup_printf("commit-%d", (int)base);
	store_change_t change = {0};

	change.base = base;
	change.text = text->str;
	change.size = text->len;
	change.commit = name;
	change.author = "o";
	config_store_commit(fixture->store, &change, on_commit, NULL);
	g_free(name);
}

/* Run until the peer has the generation in force. */
static void run_until_in_force(fixture_t *fixture, int64_t generation)
{
	int steps = STEPS_MAX;

	while (follower_generation(fixture->peer) < generation && steps--) {
		ms_t now = fake_kv_now(fixture->fake) + TICK_MS;

		fake_kv_run(fixture->fake, now);
		config_store_tick(fixture->store, now);
		follower_tick(fixture->source, now);
		follower_tick(fixture->peer, now);
		follower_offer(fixture->peer,
			       follower_generation(fixture->source), "source");
		answer(fixture);
	}
	assert_int_equal(follower_generation(fixture->peer), generation);
}

static void expect_text(const fixture_t *fixture, const GString *text)
{
	size_t size;
	char *text_in_force = follower_text(fixture->peer, &size);

	assert_int_equal(size, text->len);
	assert_memory_equal(text_in_force, text->str, size);
	g_free(text_in_force);
}

/* A whole document, then a change; compression saves more than half. */
static void test_peer_only(void **state)
{
	model_t model;
	fixture_t fixture;
	GString *text;

	model_init(&model, SEED);
	fixture_open(&fixture);
	text = model_render(&model);
	commit(&fixture, 0, text);
	run_until_in_force(&fixture, 1);
	expect_text(&fixture, text);
	assert_true(fixture.bytes < text->len / 2);
	g_string_free(text, TRUE);
	g_ptr_array_add(model.items[1], g_strdup("more@1"));
	text = model_render(&model);
	commit(&fixture, 1, text);
	run_until_in_force(&fixture, 2);
	expect_text(&fixture, text);
	assert_non_null(document_find_adapter_id(
		follower_document(fixture.peer), "more@1"));
	g_string_free(text, TRUE);
	fixture_close(&fixture);
	model_release(&model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peer_only),
	};

	log_init("test-follower", "test", LOG_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
