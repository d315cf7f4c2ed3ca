/*
 * A document made of the one before it equals one that is parsed as a whole:
 * seeded random edits of adapters, of the rest, and of single bytes.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "config/document.h"
#include "config/adapter_lists.h"
#include "config/reader.h"
#include "config/parse_incremental.h"
#include "document_model.h"

#define ROUNDS	    1500
#define BYTE_ROUNDS 4000
#define BYTE_NAMES  20
#define SEED	    5
#define ID_VERSIONS 4

/* Equality. */

static void expect_texts(const char *a, const char *b)
{
	assert_int_equal(!a, !b);
	if (a)
		assert_string_equal(a, b);
}

static void expect_services(const document_t *a, const document_t *b)
{
	size_t count;
	size_t other;
	const document_service_t *left = document_services(a, &count);
	const document_service_t *right = document_services(b, &other);
	size_t i;
	size_t j;

	assert_int_equal(count, other);
	for (i = 0; i < count; i++) {
		assert_string_equal(left[i].name, right[i].name);
		expect_texts(left[i].base_model, right[i].base_model);
		assert_int_equal(left[i].endpoint_count,
				 right[i].endpoint_count);
		for (j = 0; j < left[i].endpoint_count; j++) {
			assert_string_equal(left[i].endpoints[j]->id,
					    right[i].endpoints[j]->id);
			assert_ptr_equal(left[i].endpoints[j]->service,
					 &left[i]);
		}
	}
}

static void expect_adapter(const document_t *a, const document_t *b,
			   const char *id)
{
	const document_adapter_t *left = document_find_adapter_id(a, id);
	const document_adapter_t *right = document_find_adapter_id(b, id);
	const document_service_t *service;
	const document_service_t *other;

	assert_int_equal(!left, !right);
	if (!left || !right)
		return;
	assert_string_equal(left->id, right->id);
	assert_string_equal(left->name, right->name);
	assert_string_equal(left->version, right->version);
	assert_string_equal(left->base_model, right->base_model);
	service = document_adapter_service(a, left);
	other = document_adapter_service(b, right);
	expect_texts(service ? service->name : NULL,
		     other ? other->name : NULL);
	assert_int_equal(
		document_allows(document_caller_by_name(a, "c"), left),
		document_allows(document_caller_by_name(b, "c"), right));
}

static void expect_equal(const document_t *a, const document_t *b, int names)
{
	int i;
	int version;
	int number;

	assert_int_equal(document_generation(a), document_generation(b));
	assert_true(document_batch_weight(a) == document_batch_weight(b));
	assert_int_equal(document_adapter_count(a), document_adapter_count(b));
	expect_services(a, b);
	for (i = 0; i < names; i++) {
		for (version = 1; version <= ID_VERSIONS; version++) {
			char *id = g_strdup_printf("a%d@%d", i, version);

			expect_adapter(a, b, id);
			*id = 'b';
			expect_adapter(a, b, id);
			g_free(id);
		}
		for (number = 1; number < 10; number++) {
			char *id = g_strdup_printf("a%d-%02d@1", i, number);

			expect_adapter(a, b, id);
			g_free(id);
		}
	}
}

typedef struct {
	document_t *document;
	GString *text;
	int revised;  /* without a parse of the whole */
	int accepted; /* texts without a fault */
} chain_t;

/* By the parser's tree of the whole, as nothing but a faulty text is. */
static document_t *parse_tree(const GString *text, int64_t generation)
{
	faults_t *faults = faults_create();
	document_t *document = reader_run(text->str, text->len, generation,
					  adapter_set_create(), faults);

	faults_destroy(faults);
	return document;
}

/* Compare all ways to read a text; keep what it gives, if anything. */
static void follow(chain_t *chain, GString *text, int64_t generation, int names)
{
	document_t *whole = parse_tree(text, generation);
	document_t *first =
		document_parse(text->str, text->len, generation, NULL);
	document_t *revised = document_parse_incremental(
		chain->document, chain->text->str, chain->text->len, text->str,
		text->len, generation);

	assert_int_equal(!first, !whole);
	if (first)
		expect_equal(first, whole, names);
	document_unref(first);
	if (revised) {
		assert_non_null(whole);
		expect_equal(revised, whole, names);
		chain->revised++;
	}
	if (!whole) {
		g_string_free(text, TRUE);
		return;
	}
	chain->accepted++;
	document_unref(chain->document);
	g_string_free(chain->text, TRUE);
	chain->document = revised ? document_ref(revised) : document_ref(whole);
	chain->text = text;
	document_unref(whole);
	document_unref(revised);
}

static void chain_init(chain_t *chain, const model_t *model)
{
	memset(chain, 0, sizeof(*chain));
	chain->text = model_render(model);
	chain->document =
		document_parse(chain->text->str, chain->text->len, 1, NULL);
	assert_non_null(chain->document);
}

static void chain_release(chain_t *chain)
{
	document_unref(chain->document);
	g_string_free(chain->text, TRUE);
}

static GPtrArray *copy_items(const GPtrArray *items)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; i < items->len; i++)
		g_ptr_array_add(copy, g_strdup(g_ptr_array_index(items, i)));
	return copy;
}

/* What made a fault is undone, so that edits go on from an accepted text. */
static void edit_and_follow(model_t *model, chain_t *chain, int64_t generation)
{
	model_t before = *model;
	int edits = g_rand_int_range(model->rand, 1, 4);
	int accepted = chain->accepted;
	int i;

	for (i = 0; i < MODELS; i++)
		before.items[i] = copy_items(model->items[i]);
	while (edits--) {
		if (g_rand_int_range(model->rand, 0, 4))
			model_edit_items(model);
		else
			model_edit_rest(model);
	}
	follow(chain, model_render(model), generation, model->next_name);
	if (chain->accepted == accepted) {
		int next_name = model->next_name;

		for (i = 0; i < MODELS; i++)
			g_ptr_array_unref(model->items[i]);
		*model = before;
		model->next_name = next_name;
		return;
	}
	for (i = 0; i < MODELS; i++)
		g_ptr_array_unref(before.items[i]);
}

static void test_random_edits(void **state)
{
	model_t model;
	chain_t chain;
	int round;

	model_init(&model, SEED);
	chain_init(&chain, &model);
	for (round = 0; round < ROUNDS; round++)
		edit_and_follow(&model, &chain, round + 2);
	print_message("%d of %d accepted, %d of them revised\n", chain.accepted,
		      ROUNDS, chain.revised);
	assert_true(chain.accepted > ROUNDS / 3);
	assert_true(chain.revised > chain.accepted * 9 / 10);
	chain_release(&chain);
	model_release(&model);
}

static void mutate(GRand *rand, GString *text)
{
	static const char bytes[] = "{}[]\",:@*/\\'#0- \n-a1";
	gsize at = (gsize)g_rand_int_range(rand, 0, (gint32)text->len);
	gsize size = (gsize)g_rand_int_range(rand, 1, 30);
	char byte = bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		text->str[at] = byte;
		break;
	case 1:
		g_string_erase(text, (gssize)at,
			       (gssize)MIN(size, text->len - at));
		break;
	case 2:
		g_string_insert_c(text, (gssize)at, byte);
		break;
	default:
		text->str[at] = (char)g_rand_int_range(rand, 1, 256);
	}
}

/* Whatever the bytes are: nothing that the parser refuses is accepted. */
static void test_random_bytes(void **state)
{
	model_t model;
	chain_t first;
	int accepted = 0;
	int revised = 0;
	int round;

	model_init(&model, SEED + 1);
	chain_init(&first, &model);
	for (round = 0; round < BYTE_ROUNDS; round++) {
		const GString *before = first.text;
		chain_t chain = {document_ref(first.document),
				 g_string_new(before->str), 0, 0};
		GString *text = g_string_new(before->str);
		int edits = g_rand_int_range(model.rand, 1, 3);

		while (edits--)
			mutate(model.rand, text);
		follow(&chain, text, 2, BYTE_NAMES);
		accepted += chain.accepted;
		revised += chain.revised;
		chain_release(&chain);
	}
	print_message("%d of %d accepted, %d of them revised\n", accepted,
		      BYTE_ROUNDS, revised);
	assert_true(revised > accepted / 2);
	chain_release(&first);
	model_release(&model);
}

/* One item changes: every other adapter is the same in memory. */
static void test_sharing(void **state)
{
	model_t model;
	chain_t chain;
	GString *text;
	document_t *after;

	model_init(&model, SEED);
	g_ptr_array_insert(model.items[0], 50, g_strdup("old@1"));
	g_ptr_array_insert(model.items[2], 50, g_strdup("kept@1"));
	chain_init(&chain, &model);
	g_free(g_ptr_array_steal_index(model.items[0], 50));
	g_ptr_array_insert(model.items[0], 50, g_strdup("new@1"));
	text = model_render(&model);
	after = document_parse_incremental(chain.document, chain.text->str,
					   chain.text->len, text->str,
					   text->len, 2);
	assert_non_null(after);
	assert_ptr_equal(document_find_adapter_id(after, "kept@1"),
			 document_find_adapter_id(chain.document, "kept@1"));
	assert_ptr_equal(document_find_service(after, "s0"),
			 document_find_service(chain.document, "s0"));
	assert_null(document_find_adapter_id(after, "old@1"));
	assert_non_null(document_find_adapter_id(after, "new@1"));
	/* The one before has not changed. */
	assert_non_null(document_find_adapter_id(chain.document, "old@1"));
	assert_null(document_find_adapter_id(chain.document, "new@1"));
	chain_release(&chain);
	/* And what was shared outlives it. */
	assert_string_equal(document_find_adapter_id(after, "kept@1")->name,
			    "kept");
	document_unref(after);
	g_string_free(text, TRUE);
	model_release(&model);
}

/* From one adapter to many and back: the buckets grow with them. */
static void test_growth(void **state)
{
	model_t model;
	chain_t chain;
	int i;

	model_init(&model, SEED);
	chain_init(&chain, &model);
	g_ptr_array_add(model.items[1], g_strdup("many-{00001..20000}@1"));
	follow(&chain, model_render(&model), 2, model.next_name);
	assert_int_equal(chain.revised, 1);
	for (i = 1; i <= 20000; i++) {
		char *id = g_strdup_printf("many-%05d@1", i);

		assert_non_null(document_find_adapter_id(chain.document, id));
		g_free(id);
	}
	g_ptr_array_remove_index(model.items[1], model.items[1]->len - 1);
	follow(&chain, model_render(&model), 3, model.next_name);
	assert_int_equal(chain.revised, 2);
	chain_release(&chain);
	model_release(&model);
}

static void remove_last(GPtrArray *items)
{
	g_ptr_array_remove_index(items, items->len - 1);
}

/* An adapter that a caller names can't go. */
static void test_named(void **state)
{
	model_t model;
	chain_t chain;

	model_init(&model, SEED);
	g_ptr_array_add(model.items[0], g_strdup(NAMED_ADAPTER "@1"));
	g_ptr_array_add(model.items[1], g_strdup(NAMED_ADAPTER "@2"));
	model.is_id_named = TRUE;
	chain_init(&chain, &model);
	remove_last(model.items[0]);
	follow(&chain, model_render(&model), 2, 0);
	assert_int_equal(chain.accepted, 0);
	model.is_id_named = FALSE;
	model.is_name_named = TRUE;
	follow(&chain, model_render(&model), 2, 0);
	assert_int_equal(chain.accepted, 1);
	remove_last(model.items[1]);
	follow(&chain, model_render(&model), 3, 0);
	assert_int_equal(chain.accepted, 1);
	/* To another list is not away. */
	g_ptr_array_add(model.items[2], g_strdup(NAMED_ADAPTER "@2"));
	follow(&chain, model_render(&model), 3, 0);
	assert_int_equal(chain.accepted, 2);
	assert_int_equal(chain.revised, 2);
	chain_release(&chain);
	model_release(&model);
}

/* An adapter of a round may not go, though nothing else changes. */
static void test_named_by_a_round(void **state)
{
	model_t model;
	chain_t chain;

	model_init(&model, SEED);
	g_ptr_array_add(model.items[0], g_strdup(NAMED_ADAPTER "@1"));
	model.is_in_round = TRUE;
	chain_init(&chain, &model);
	remove_last(model.items[0]);
	follow(&chain, model_render(&model), 2, 0);
	assert_int_equal(chain.accepted, 0);
	model.is_in_round = FALSE;
	follow(&chain, model_render(&model), 2, 0);
	assert_int_equal(chain.accepted, 1);
	chain_release(&chain);
	model_release(&model);
}

static void test_gives_up(void **state)
{
	static const char *const texts[] = {
		"{\"base_models\": {\"b\": {\"adapters\": [\"a\\u0040@1\"]}}}",
		"{\"base\\u005fmodels\": {}}",
		"{\"base_models\": {\"b\": {\"adapters\": [\"a@1\",]}}}",
		"{\"base_models\": {\"b\": {\"adapters\": [\"a@1\" \"b@1\"]}}}",
		"{\"base_models\": {\"b\": {\"adapters\": ['a@1']}}}",
		"{\"base_models\": {\"b\": {\"adapters\": [[\"a@1\"]]}}}",
		"{\"base_models\": {\"b\": {\"adapters\": [\"a@1\"]}}",
		"{\"x\": 'it \"', \"base_models\": {}}",
		"[]",
		"",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		print_message("%s\n", texts[i]);
		assert_null(lists_scan(texts[i], strlen(texts[i])));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_edits),
		cmocka_unit_test(test_random_bytes),
		cmocka_unit_test(test_sharing),
		cmocka_unit_test(test_growth),
		cmocka_unit_test(test_named),
		cmocka_unit_test(test_named_by_a_round),
		cmocka_unit_test(test_gives_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
