#include "document_model.h"

#include <string.h>

#define ITEMS 120

static char *make_item(model_t *model)
{
	int name = model->next_name++;

	switch (g_rand_int_range(model->rand, 0, 8)) {
	case 0:
		return g_strdup_printf("a%d-{01..09}@1", name);
	case 1:
		return g_strdup_printf("a%d@1,2,3", name);
	default:
		return g_strdup_printf("a%d@1", name);
	}
}

void model_init(model_t *model, guint32 seed)
{
	int i;
	int j;

	memset(model, 0, sizeof(*model));
	model->rand = g_rand_new_with_seed(seed);
	model->endpoints = 5;
	for (i = 0; i < MODELS; i++) {
		model->items[i] = g_ptr_array_new_with_free_func(g_free);
		for (j = 0; j < ITEMS; j++)
			g_ptr_array_add(model->items[i], make_item(model));
	}
}

void model_release(model_t *model)
{
	int i;

	g_rand_free(model->rand);
	for (i = 0; i < MODELS; i++)
		g_ptr_array_unref(model->items[i]);
}

static void render_list(const model_t *model, int index, GString *text)
{
	const GPtrArray *items = model->items[index];
	guint i;

	g_string_append_printf(text, "%s\"base-%d\": {\"adapters\": [\n",
			       index ? ", " : "", index);
	for (i = 0; i < items->len; i++) {
		g_string_append_printf(text, "\"%s\"%s",
				       (char *)g_ptr_array_index(items, i),
				       i + 1 < items->len ? "," : "");
		/* Comments that must not be parsed as items. */
		if (i % 10 == 3)
			g_string_append(text, " // \"x@1\", ] and \"");
		if (i % 10 == 6)
			g_string_append(text, " /* \"y@1\"\n ] } */");
		g_string_append(text, i % 4 ? "\n" : " ");
	}
	g_string_append(text, "\n]}");
}

GString *model_render(const model_t *model)
{
	GString *text = g_string_new("{\"format\": 1, \"batch_weight\": 0.5,\n"
				     "\"regions\": {\"n\": [\"d\"]},\n"
				     "\"services\": [");
	int i;

	for (i = 0; i + 1 < MODELS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\": \"s%d\", \"kind\": \"engine\",\n"
			" \"base_model\": \"base-%d\", \"weight_store\":\n"
			" {\"loads_per_second\": 4, \"loads_in_transit\": 2}}",
			i ? "," : "", i, i);
	g_string_append(text, "],\n\"base_models\": {");
	for (i = 0; i < MODELS; i++)
		render_list(model, i, text);
	g_string_append(text, "},\n\"endpoints\": [");
	for (i = 0; i < model->endpoints; i++)
		g_string_append_printf(
			text,
			"%s{\"id\": \"e%d\", \"service\": \"s%d\",\n"
			" \"address\": \"10.0.0.1\", \"port\": %d,\n"
			" \"region\": \"n\", \"failure_domain\": \"d\",\n"
			" \"adapter_slots\": 3, \"concurrent_requests\": 2}",
			i ? "," : "", i, i % 2, i + 1);
	g_string_append_printf(
		text,
		"],\n\"callers\": [{\"name\": \"c\", \"token_sha256\":"
		" [\"%064x\"],\n \"adapters\": [\"a1*\"%s%s]}],\n"
		"\"operators\": [{\"name\": \"o\", \"role\": \"editor\",\n"
		" \"token_sha256\": [\"%064x\"]}]%s}\n",
		1, model->is_id_named ? ", \"" NAMED_ADAPTER "@1\"" : "",
		model->is_name_named ? ", \"" NAMED_ADAPTER "\"" : "", 2,
		model->is_in_round ? ",\n\"rounds\": [{\"name\": \"r\", "
				     "\"adapters\": [\"" NAMED_ADAPTER
				     "@1\", \"" NAMED_ADAPTER "@1\"]}]"
				   : "");
	return text;
}

void model_edit_items(model_t *model)
{
	GPtrArray *items =
		model->items[g_rand_int_range(model->rand, 0, MODELS)];
	gint at = g_rand_int_range(model->rand, 0, (gint)items->len + 1);
	char *item;

	switch (g_rand_int_range(model->rand, 0, 5)) {
	case 0:
		g_ptr_array_insert(items, at, make_item(model));
		break;
	case 1:
		if (at < (gint)items->len)
			g_ptr_array_remove_index(items, (guint)at);
		break;
	case 2:
		/* Move an item to the end of this or another list. */
		if (at == (gint)items->len)
			break;
		item = g_ptr_array_steal_index(items, (guint)at);
		g_ptr_array_add(
			model->items[g_rand_int_range(model->rand, 0, MODELS)],
			item);
		break;
	case 3:
		g_ptr_array_insert(items, at,
				   g_strdup_printf("b%d@2", model->next_name));
		model->next_name++;
		break;
	default:
		/* An item that may be a duplicate. */
		item = g_strdup_printf("a%d@%d",
				       g_rand_int_range(model->rand, 0, 20),
				       g_rand_int_range(model->rand, 1, 4));
		g_ptr_array_insert(items, at, item);
	}
}

void model_edit_rest(model_t *model)
{
	switch (g_rand_int_range(model->rand, 0, 3)) {
	case 0:
		model->endpoints = g_rand_int_range(model->rand, 1, 9);
		break;
	case 1:
		model->is_id_named = !model->is_id_named;
		break;
	default:
		model->is_name_named = !model->is_name_named;
	}
}
