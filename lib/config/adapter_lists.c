#include "config/adapter_lists.h"

#include <string.h>

typedef struct scanner scanner_t;

/* Reads the value of a member; FALSE to give up. */
typedef gboolean (*member_t)(scanner_t *scanner, const list_item_t *key);

struct scanner {
	const char *at;
	const char *end;
	GPtrArray *lists;
	list_item_t base_model; /* the one whose members are read */
};

static void list_free(gpointer data)
{
	adapter_list_t *list = data;

	g_free(list->base_model);
	g_array_free(list->items, TRUE);
	g_free(list);
}

static char peek(const scanner_t *scanner)
{
	return scanner->at < scanner->end ? *scanner->at : '\0';
}

static gboolean skip_comment(scanner_t *scanner)
{
	const char *at = scanner->at;
	size_t left = (size_t)(scanner->end - at);
	const char *stop = NULL;

	if (left < 2)
		return FALSE;
	if (at[1] == '/')
		stop = memchr(at, '\n', left);
	else if (at[1] == '*')
		stop = g_strstr_len(at + 2, (gssize)left - 2, "*/");
	if (!stop)
		return FALSE;
	scanner->at = stop + (*stop == '\n' ? 1 : 2);
	return TRUE;
}

static gboolean skip_blanks(scanner_t *scanner)
{
	for (;;) {
		char next = peek(scanner);

		if (next == '/') {
			if (!skip_comment(scanner))
				return FALSE;
		} else if (next && strchr(" \t\r\n", next)) {
			scanner->at++;
		} else {
			return TRUE;
		}
	}
}

/* Go over blanks and one character. */
static gboolean expect(scanner_t *scanner, char wanted)
{
	if (!skip_blanks(scanner) || peek(scanner) != wanted)
		return FALSE;
	scanner->at++;
	return TRUE;
}

static gboolean skip_string(scanner_t *scanner)
{
	for (scanner->at++; scanner->at < scanner->end; scanner->at++) {
		if (*scanner->at == '\\')
			scanner->at++;
		else if (*scanner->at == '"') {
			scanner->at++;
			return TRUE;
		}
	}
	return FALSE;
}

/* A string without a backslash. */
static gboolean read_plain(scanner_t *scanner, list_item_t *item)
{
	const char *stop;

	if (!expect(scanner, '"'))
		return FALSE;
	stop = memchr(scanner->at, '"', (size_t)(scanner->end - scanner->at));
	if (!stop)
		return FALSE;
	item->text = scanner->at;
	item->size = (size_t)(stop - scanner->at);
	scanner->at = stop + 1;
	return !memchr(item->text, '\\', item->size);
}

/* One step of a value; FALSE for what no document needs to hold. */
static gboolean skip_token(scanner_t *scanner, int *depth)
{
	char next = peek(scanner);

	if (next == '"')
		return skip_string(scanner);
	if (next == '[' || next == '{')
		++*depth;
	else if (next == ']' || next == '}')
		--*depth;
	else if (!g_ascii_isalnum(next) && (!next || !strchr(",:+-.", next)))
		return FALSE;
	scanner->at++;
	return TRUE;
}

/* Up to the comma or bracket that ends the value. */
static gboolean skip_value(scanner_t *scanner)
{
	int depth = 0;

	for (;;) {
		if (!skip_blanks(scanner))
			return FALSE;
		if (!depth && peek(scanner) && strchr(",]}", peek(scanner)))
			return TRUE;
		if (!skip_token(scanner, &depth))
			return FALSE;
	}
}

static gboolean read_object(scanner_t *scanner, member_t member)
{
	list_item_t key;

	if (!expect(scanner, '{') || !skip_blanks(scanner))
		return FALSE;
	if (peek(scanner) == '}')
		return expect(scanner, '}');
	do {
		if (!read_plain(scanner, &key) || !expect(scanner, ':') ||
		    !member(scanner, &key))
			return FALSE;
	} while (expect(scanner, ','));
	return expect(scanner, '}');
}

static gboolean read_items(scanner_t *scanner, GArray *items)
{
	list_item_t item;

	if (!skip_blanks(scanner))
		return FALSE;
	if (peek(scanner) == ']')
		return TRUE;
	do {
		if (!read_plain(scanner, &item))
			return FALSE;
		g_array_append_val(items, item);
	} while (expect(scanner, ','));
	return skip_blanks(scanner) && peek(scanner) == ']';
}

static gboolean is_key(const list_item_t *key, const char *name)
{
	return key->size == strlen(name) && !memcmp(key->text, name, key->size);
}

static gboolean read_model_member(scanner_t *scanner, const list_item_t *key)
{
	adapter_list_t *list;

	if (!is_key(key, "adapters"))
		return skip_value(scanner);
	if (!expect(scanner, '['))
		return FALSE;
	list = g_new0(adapter_list_t, 1);
	list->base_model =
		g_strndup(scanner->base_model.text, scanner->base_model.size);
	list->items = g_array_new(FALSE, FALSE, sizeof(list_item_t));
	g_ptr_array_add(scanner->lists, list);
	list->open = scanner->at;
	if (!read_items(scanner, list->items))
		return FALSE;
	list->close = scanner->at;
	return expect(scanner, ']');
}

static gboolean read_model(scanner_t *scanner, const list_item_t *key)
{
	scanner->base_model = *key;
	return read_object(scanner, read_model_member);
}

static gboolean read_root_member(scanner_t *scanner, const list_item_t *key)
{
	if (is_key(key, "base_models"))
		return read_object(scanner, read_model);
	return skip_value(scanner);
}

GPtrArray *lists_scan(const char *text, size_t size)
{
	scanner_t scanner = {.at = text, .end = text + size};

	scanner.lists = g_ptr_array_new_with_free_func(list_free);
	if (read_object(&scanner, read_root_member) && skip_blanks(&scanner) &&
	    scanner.at == scanner.end)
		return scanner.lists;
	g_ptr_array_unref(scanner.lists);
	return NULL;
}

GString *lists_skeleton(const GPtrArray *lists, const char *text, size_t size)
{
	GString *skeleton = g_string_new(NULL);
	const char *at = text;
	guint i;

	for (i = 0; i < lists->len; i++) {
		const adapter_list_t *list = g_ptr_array_index(lists, i);

		g_string_append_len(skeleton, at, list->open - at);
		at = list->close;
	}
	g_string_append_len(skeleton, at, text + size - at);
	return skeleton;
}
