/* Chunking, diffs, concurrent commits, lost answers, garbage collection. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/error.h"
#include "config/chunk.h"
#include "config/diff.h"
#include "config/keys.h"
#include "config/store.h"
#include "fake_kv.h"

#define LINES	  20000
#define KEPT	  4
#define TICK_MS	  50
#define STEPS_MAX 2000

typedef struct {
	fake_kv_t *fake;
	kv_t *kv;
	config_store_t *store;
} fixture_t;

typedef struct {
	gboolean is_done;
	int64_t generation;
	error_kind_t kind; /* ERROR_KIND_COUNT if no error */
	char *difference;
	size_t chunks_written;
	char *text;
	size_t count;
} commit_outcome_t;

/* Returns many lines, one of which may be changed. */
static GString *make_text(int changed, const char *value)
{
	GString *text = g_string_new("{\"list\": [\n");
	int i;

	for (i = 0; i < LINES; i++)
		g_string_append_printf(text, "\"adapter-%06d@%s\",\n", i,
				       i == changed ? value : "1");
	g_string_append(text, "\"last\"]}\n");
	return text;
}

static void fixture_open(fixture_t *fixture)
{
	fixture->fake = fake_kv_create(3);
	fixture->kv = fake_kv_connect(fixture->fake);
	fixture->store = config_store_create(fixture->kv, KEPT,
					     fake_kv_now(fixture->fake));
}

static void fixture_close(fixture_t *fixture)
{
	kv_destroy(fixture->kv);
	config_store_destroy(fixture->store);
	fake_kv_destroy(fixture->fake);
}

static void run_until(fixture_t *fixture, const gboolean *is_done)
{
	int steps = STEPS_MAX;

	while (!*is_done && steps--) {
		fake_kv_run(fixture->fake,
			    fake_kv_now(fixture->fake) + TICK_MS);
		config_store_tick(fixture->store, fake_kv_now(fixture->fake));
	}
	assert_true(*is_done);
}

static void on_commit(void *ctx, const store_result_t *result,
		      const GError *error)
{
	commit_outcome_t *record = ctx;

	record->is_done = TRUE;
	record->generation = result->generation;
	record->kind = error ? error_kind(error) : ERROR_KIND_COUNT;
	record->chunks_written = result->chunks_written;
	if (result->differences && result->differences->len) {
		const difference_t *first =
			g_ptr_array_index(result->differences, 0);

		record->difference = g_strconcat(diff_kind_name(first->kind),
						 " ", first->path, NULL);
	}
}

static void commit_with_floor(fixture_t *fixture, int64_t base, int64_t floor,
			      const char *name, const GString *text,
			      commit_outcome_t *record)
{
	store_change_t change = {0};

	change.base = base;
	change.floor = floor;
	change.text = text->str;
	change.size = text->len;
	change.commit = name;
	change.author = name;
	memset(record, 0, sizeof(*record));
	config_store_commit(fixture->store, &change, on_commit, record);
}

static void commit(fixture_t *fixture, int64_t base, const char *name,
		   const GString *text, commit_outcome_t *record)
{
	commit_with_floor(fixture, base, 0, name, text, record);
}

static void on_text(void *ctx, const manifest_t *manifest, const char *text,
		    size_t size, const GError *error)
{
	commit_outcome_t *record = ctx;

	record->is_done = TRUE;
	record->kind = error ? error_kind(error) : ERROR_KIND_COUNT;
	record->generation = manifest ? manifest->generation : 0;
	record->text = text ? g_strndup(text, size) : NULL;
}

static void expect_text(fixture_t *fixture, int64_t generation,
			const char *text)
{
	commit_outcome_t record = {0};

	config_store_read(fixture->store, generation, on_text, &record);
	run_until(fixture, &record.is_done);
	if (text)
		assert_string_equal(record.text, text);
	else
		assert_int_equal(record.kind, ERROR_NOT_FOUND);
	g_free(record.text);
}

static void test_chunks(void **state)
{
	GString *before = make_text(-1, NULL);
	GString *after = make_text(LINES / 2, "2");
	manifest_t *old = manifest_create(before->str, before->len);
	manifest_t *new = manifest_create(after->str, after->len);
	GHashTable *chunks = chunk_split(after->str, after->len);
	size_t size;
	char *joined;
	char *rendered = manifest_render(new);
	manifest_t *parsed = manifest_parse(rendered, strlen(rendered), NULL);
	guint same = 0;
	guint i;

	for (i = 0; i < old->chunks->len; i++)
		same += g_hash_table_contains(
			chunks, g_ptr_array_index(old->chunks, i));
	assert_true(old->chunks->len > 20);
	assert_true(same + 2 >= old->chunks->len);
	joined = chunk_join(parsed, chunks, &size, NULL);
	assert_int_equal(size, after->len);
	assert_memory_equal(joined, after->str, size);
	g_hash_table_remove(chunks, g_ptr_array_index(new->chunks, 3));
	assert_null(chunk_join(parsed, chunks, &size, NULL));
	assert_null(manifest_parse(rendered, strlen(rendered) - 1, NULL));
	g_free(joined);
	g_free(rendered);
	g_hash_table_destroy(chunks);
	manifest_destroy(old);
	manifest_destroy(new);
	manifest_destroy(parsed);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}

static void test_differences(void **state)
{
	const char *before = "{\"a\": [{\"name\": \"x\", \"v\": 1}, "
			     "{\"name\": \"y\"}], \"l\": [1, 2], \"gone\": 0}";
	const char *after = "{\"a\": [{\"name\": \"z\"}, // new\n"
			    "{\"name\": \"x\", \"v\": 2}], \"l\": [2, 3]}";
	const char *expected = "changed a[x].v 1 2\nremoved a[y] "
			       "{\"name\":\"y\"} -\nadded a[z] - "
			       "{\"name\":\"z\"}\nremoved l 1 -\nadded l - 3\n"
			       "removed gone 0 -\n";
	GPtrArray *found =
		diff_texts(before, strlen(before), after, strlen(after), NULL);
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < found->len; i++) {
		const difference_t *item = g_ptr_array_index(found, i);

		g_string_append_printf(text, "%s %s %s %s\n",
				       diff_kind_name(item->kind), item->path,
				       item->before ? item->before : "-",
				       item->after ? item->after : "-");
	}
	assert_string_equal(text->str, expected);
	g_string_free(text, TRUE);
	g_ptr_array_free(found, TRUE);
}

static void test_concurrent_commits(void **state)
{
	GString *first = make_text(-1, NULL);
	GString *mine = make_text(5, "2");
	GString *other = make_text(9, "3");
	commit_outcome_t a;
	commit_outcome_t b;
	commit_outcome_t *loser;
	fixture_t fixture;

	fixture_open(&fixture);
	commit(&fixture, 0, "first", first, &a);
	run_until(&fixture, &a.is_done);
	assert_int_equal(a.generation, 1);
	commit(&fixture, 1, "mine", mine, &a);
	commit(&fixture, 1, "other", other, &b);
	run_until(&fixture, &a.is_done);
	run_until(&fixture, &b.is_done);
	loser = a.kind == ERROR_CONFLICT ? &a : &b;
	assert_int_equal(loser->kind, ERROR_CONFLICT);
	assert_int_equal((loser == &a ? &b : &a)->kind, ERROR_KIND_COUNT);
	assert_int_equal(a.generation, 2);
	assert_int_equal(b.generation, 2);
	assert_string_equal(loser->difference, "removed list");
	expect_text(&fixture, 2, loser == &a ? other->str : mine->str);
	expect_text(&fixture, 1, first->str);
	expect_text(&fixture, 7, NULL);
	g_free(loser->difference);
	fixture_close(&fixture);
	g_string_free(first, TRUE);
	g_string_free(mine, TRUE);
	g_string_free(other, TRUE);
}

/* The answer to the final write is lost: the commit still succeeds. */
static void test_lost_answers(void **state)
{
	GString *text = make_text(-1, NULL);
	commit_outcome_t record;
	fixture_t fixture;

	fixture_open(&fixture);
	fake_kv_lose_answers(fixture.fake, 3);
	commit(&fixture, 0, "first", text, &record);
	run_until(&fixture, &record.is_done);
	assert_int_equal(record.kind, ERROR_KIND_COUNT);
	fake_kv_lose_answers(fixture.fake, 1);
	commit(&fixture, 1, "second", text, &record);
	run_until(&fixture, &record.is_done);
	assert_int_equal(record.kind, ERROR_KIND_COUNT);
	assert_int_equal(record.generation, 2);
	assert_int_equal(record.chunks_written, 0);
	fake_kv_set_mode(fixture.fake, FAKE_KV_SILENT);
	commit(&fixture, 2, "third", text, &record);
	run_until(&fixture, &record.is_done);
	assert_int_equal(record.kind, ERROR_UNAVAILABLE);
	fixture_close(&fixture);
	g_string_free(text, TRUE);
}

static void on_list(void *ctx, kv_status_t status, const kv_item_t *items,
		    size_t count, int64_t revision, const GError *error)
{
	commit_outcome_t *record = ctx;

	record->is_done = TRUE;
	record->count = count;
}

static size_t count_keys(fixture_t *fixture, const char *prefix)
{
	commit_outcome_t record = {0};

	kv_list(fixture->kv, prefix, on_list, &record);
	run_until(fixture, &record.is_done);
	return record.count;
}

static void test_old_generations_dropped(void **state)
{
	commit_outcome_t record;
	fixture_t fixture;
	size_t chunks = 0;
	int i;

	fixture_open(&fixture);
	for (i = 0; i < 40; i++) {
		char *name = g_strdup_printf("%d", i);
		GString *text = make_text(i * 400, "2");
		manifest_t *manifest = manifest_create(text->str, text->len);

		chunks = manifest->chunks->len;
		commit(&fixture, i, name, text, &record);
		run_until(&fixture, &record.is_done);
		assert_int_equal(record.generation, i + 1);
		manifest_destroy(manifest);
		g_string_free(text, TRUE);
		g_free(name);
	}
	assert_int_equal(count_keys(&fixture, KEY_HISTORY), KEPT);
	assert_int_equal(count_keys(&fixture, KEY_GENERATION), KEPT);
	assert_int_equal(count_keys(&fixture, KEY_PENDING), 0);
	/* Each of the older generations differs in at most four chunks. */
	assert_true(count_keys(&fixture, KEY_CHUNK) <= chunks + 4 * (KEPT - 1));
	for (i = 40; i > 40 - KEPT; i--) {
		GString *text = make_text((i - 1) * 400, "2");

		expect_text(&fixture, i, text->str);
		g_string_free(text, TRUE);
	}
	expect_text(&fixture, 40 - KEPT, NULL);
	fixture_close(&fixture);
}

/* Chunks written by the loser of two large commits are collected later. */
static void test_concurrent_large_commits(void **state)
{
	GString *mine = make_text(-1, NULL);
	GString *other = make_text(-1, NULL);
	commit_outcome_t a;
	commit_outcome_t b;
	GString *kept;
	manifest_t *manifest;
	fixture_t fixture;
	int i;

	g_string_replace(other, "adapter", "adaptor", 0);
	fixture_open(&fixture);
	commit(&fixture, 0, "mine", mine, &a);
	commit(&fixture, 0, "other", other, &b);
	run_until(&fixture, &a.is_done);
	run_until(&fixture, &b.is_done);
	assert_int_not_equal(a.kind == ERROR_CONFLICT,
			     b.kind == ERROR_CONFLICT);
	kept = a.kind == ERROR_CONFLICT ? other : mine;
	g_free(a.difference);
	g_free(b.difference);
	manifest = manifest_create(kept->str, kept->len);
	assert_int_equal(count_keys(&fixture, KEY_PENDING), 1);
	assert_true(count_keys(&fixture, KEY_CHUNK) > manifest->chunks->len);
	for (i = 1; i < 4; i++) {
		commit(&fixture, i, "again", kept, &a);
		run_until(&fixture, &a.is_done);
		assert_int_equal(a.generation, i + 1);
	}
	assert_int_equal(count_keys(&fixture, KEY_PENDING), 0);
	assert_int_equal(count_keys(&fixture, KEY_CHUNK),
			 manifest->chunks->len);
	expect_text(&fixture, 1, kept->str);
	manifest_destroy(manifest);
	fixture_close(&fixture);
	g_string_free(mine, TRUE);
	g_string_free(other, TRUE);
}

/* The service is restored from a backup older than the document in force. */
static void test_restored_backup(void **state)
{
	GString *text = make_text(-1, NULL);
	commit_outcome_t record;
	fixture_t fixture;

	fixture_open(&fixture);
	commit(&fixture, 0, "first", text, &record);
	run_until(&fixture, &record.is_done);
	commit_with_floor(&fixture, 1, 9, "second", text, &record);
	run_until(&fixture, &record.is_done);
	assert_int_equal(record.generation, 10);
	commit_with_floor(&fixture, 10, 9, "third", text, &record);
	run_until(&fixture, &record.is_done);
	assert_int_equal(record.generation, 11);
	expect_text(&fixture, 10, text->str);
	fixture_close(&fixture);
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_chunks),
		cmocka_unit_test(test_differences),
		cmocka_unit_test(test_concurrent_commits),
		cmocka_unit_test(test_lost_answers),
		cmocka_unit_test(test_old_generations_dropped),
		cmocka_unit_test(test_concurrent_large_commits),
		cmocka_unit_test(test_restored_backup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
