#include "ctl/ctl_print.h"

#include <stdio.h>

#include "base/clock.h"

static const char *get_text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static int64_t get_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

typedef void (*item_print_t)(JsonObject *item);

/* Prints the objects of an array; returns the length of the array. */
static guint print_items(JsonObject *response, const char *name,
			 item_print_t print)
{
	JsonNode *node = json_object_get_member(response, name);
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
	ctl_print_fault(get_text(item, "path"), get_int(item, "line"),
			get_text(item, "cause"), get_text(item, "remedy"));
}

gboolean ctl_print_faults(JsonObject *response)
{
	int64_t count = get_int(response, "count");

	print_items(response, "faults", print_fault);
	ctl_print_fault_count(count);
	return count == 0;
}

static void print_difference(JsonObject *item)
{
	printf("%s %s", get_text(item, "kind"), get_text(item, "path"));
	if (json_object_has_member(item, "before"))
		printf(" - %s", get_text(item, "before"));
	if (json_object_has_member(item, "after"))
		printf(" + %s", get_text(item, "after"));
	puts("");
}

gboolean ctl_print_differences(JsonObject *response)
{
	guint count = print_items(response, "differences", print_difference);

	printf("%u differences from generation %" G_GINT64_FORMAT "\n", count,
	       get_int(response, "generation"));
	return TRUE;
}

gboolean ctl_print_accepted(JsonObject *response)
{
	printf("accepted as generation %" G_GINT64_FORMAT "\n",
	       get_int(response, "generation"));
	return TRUE;
}

static void print_generation(JsonObject *item)
{
	GDateTime *time =
		g_date_time_new_from_unix_utc(get_int(item, "time") / MS_PER_S);
	char *when = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
			  : g_strdup("-");

	printf("%" G_GINT64_FORMAT " %s %s %s\n", get_int(item, "generation"),
	       when, get_text(item, "author"), get_text(item, "note"));
	g_free(when);
	if (time)
		g_date_time_unref(time);
}

gboolean ctl_print_history(JsonObject *response)
{
	print_items(response, "generations", print_generation);
	return TRUE;
}

static void print_program(JsonObject *item)
{
	printf("%s %s %s ", get_text(item, "instance"),
	       get_text(item, "program"), get_text(item, "address"));
	if (json_object_has_member(item, "fault"))
		printf("- %s\n", get_text(item, "fault"));
	else
		printf("%" G_GINT64_FORMAT "\n", get_int(item, "generation"));
}

gboolean ctl_print_status(JsonObject *response)
{
	printf("newest known here: %" G_GINT64_FORMAT "\n",
	       get_int(response, "generation"));
	print_items(response, "programs", print_program);
	return TRUE;
}

static void print_span(JsonObject *item)
{
	printf("%s %s %s %" G_GINT64_FORMAT " us %s span=%s parent=%s\n",
	       get_text(item, "instance"), get_text(item, "program"),
	       get_text(item, "name"), get_int(item, "duration_us"),
	       get_text(item, "status"), get_text(item, "span"),
	       get_text(item, "parent"));
}

static void print_failed_program(JsonObject *item)
{
	printf("%s %s: %s\n", get_text(item, "instance"),
	       get_text(item, "program"), get_text(item, "fault"));
}

gboolean ctl_print_trace(JsonObject *response)
{
	guint count = print_items(response, "spans", print_span);

	print_items(response, "silent", print_failed_program);
	printf("%u spans\n", count);
	return count > 0;
}

void ctl_print_error(JsonObject *response)
{
	JsonNode *node = json_object_get_member(response, "error");

	print_items(response, "faults", print_fault);
	print_items(response, "differences", print_difference);
	if (json_object_has_member(response, "author"))
		printf("generation %" G_GINT64_FORMAT " is by %s\n",
		       get_int(response, "generation"),
		       get_text(response, "author"));
	/* Keeps the error last when both streams go to the same file. */
	fflush(stdout);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		fprintf(stderr, "hcctl: %s: %s\n",
			get_text(json_node_get_object(node), "type"),
			get_text(json_node_get_object(node), "message"));
}
