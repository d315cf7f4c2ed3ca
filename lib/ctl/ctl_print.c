#include "ctl/ctl_print.h"

#include <stdio.h>

#include "base/clock.h"

static const char *text_of(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static int64_t int_of(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

typedef void (*item_print_t)(JsonObject *item);

/* Print the objects of a list; their number. */
static guint each(JsonObject *answer, const char *name, item_print_t print)
{
	JsonNode *node = json_object_get_member(answer, name);
	JsonArray *list;
	guint i;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return 0;
	list = json_node_get_array(node);
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonNode *item = json_array_get_element(list, i);

		if (JSON_NODE_HOLDS_OBJECT(item))
			print(json_node_get_object(item));
	}
	return json_array_get_length(list);
}

void ctl_print_fault(const char *path, int64_t line, const char *cause,
		     const char *remedy)
{
	if (line)
		printf("line %" G_GINT64_FORMAT, line);
	if (line && *path)
		printf(", ");
	printf("%s: %s; %s\n", path, cause, remedy);
}

void ctl_print_fault_count(int64_t count)
{
	if (count)
		printf("%" G_GINT64_FORMAT " faults\n", count);
	else
		puts("valid");
}

static void print_fault(JsonObject *item)
{
	ctl_print_fault(text_of(item, "path"), int_of(item, "line"),
			text_of(item, "cause"), text_of(item, "remedy"));
}

gboolean ctl_print_faults(JsonObject *answer)
{
	int64_t count = int_of(answer, "count");

	each(answer, "faults", print_fault);
	ctl_print_fault_count(count);
	return count == 0;
}

static void print_difference(JsonObject *item)
{
	printf("%s %s", text_of(item, "kind"), text_of(item, "path"));
	if (json_object_has_member(item, "before"))
		printf(" - %s", text_of(item, "before"));
	if (json_object_has_member(item, "after"))
		printf(" + %s", text_of(item, "after"));
	puts("");
}

gboolean ctl_print_differences(JsonObject *answer)
{
	guint count = each(answer, "differences", print_difference);

	printf("%u differences from generation %" G_GINT64_FORMAT "\n", count,
	       int_of(answer, "generation"));
	return TRUE;
}

gboolean ctl_print_accepted(JsonObject *answer)
{
	printf("accepted as generation %" G_GINT64_FORMAT "\n",
	       int_of(answer, "generation"));
	return TRUE;
}

static void print_generation(JsonObject *item)
{
	GDateTime *time =
		g_date_time_new_from_unix_utc(int_of(item, "time") / MS_PER_S);
	char *when = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
			  : g_strdup("-");

	printf("%" G_GINT64_FORMAT " %s %s %s\n", int_of(item, "generation"),
	       when, text_of(item, "author"), text_of(item, "note"));
	g_free(when);
	if (time)
		g_date_time_unref(time);
}

gboolean ctl_print_history(JsonObject *answer)
{
	each(answer, "generations", print_generation);
	return TRUE;
}

static void print_program(JsonObject *item)
{
	printf("%s %s %s ", text_of(item, "instance"), text_of(item, "program"),
	       text_of(item, "address"));
	if (json_object_has_member(item, "fault"))
		printf("- %s\n", text_of(item, "fault"));
	else
		printf("%" G_GINT64_FORMAT "\n", int_of(item, "generation"));
}

gboolean ctl_print_status(JsonObject *answer)
{
	printf("newest known here: %" G_GINT64_FORMAT "\n",
	       int_of(answer, "generation"));
	each(answer, "programs", print_program);
	return TRUE;
}

static void print_span(JsonObject *item)
{
	printf("%s %s %s %" G_GINT64_FORMAT " us %s span=%s parent=%s\n",
	       text_of(item, "instance"), text_of(item, "program"),
	       text_of(item, "name"), int_of(item, "duration_us"),
	       text_of(item, "status"), text_of(item, "span"),
	       text_of(item, "parent"));
}

static void print_silent(JsonObject *item)
{
	printf("%s %s: %s\n", text_of(item, "instance"),
	       text_of(item, "program"), text_of(item, "fault"));
}

gboolean ctl_print_trace(JsonObject *answer)
{
	guint count = each(answer, "spans", print_span);

	each(answer, "silent", print_silent);
	printf("%u spans\n", count);
	return count > 0;
}

void ctl_print_error(JsonObject *answer)
{
	JsonNode *node = json_object_get_member(answer, "error");

	each(answer, "faults", print_fault);
	each(answer, "differences", print_difference);
	if (json_object_has_member(answer, "author"))
		printf("generation %" G_GINT64_FORMAT " is by %s\n",
		       int_of(answer, "generation"), text_of(answer, "author"));
	/* The error stands last also where both streams are one. */
	fflush(stdout);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		fprintf(stderr, "hcctl: %s: %s\n",
			text_of(json_node_get_object(node), "type"),
			text_of(json_node_get_object(node), "message"));
}
