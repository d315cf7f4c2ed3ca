#include "base/json_build.h"
#include "trace/span.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* One entry of the ring buffer; unused if its trace ID is empty. */
typedef struct {
	traceparent_t self;
	char parent[SPAN_ID_SIZE];
	char name[SPAN_TEXT_SIZE];
	char status[SPAN_TEXT_SIZE];
	ms_t start;
	int64_t duration_us;
} slot_t;

struct spans {
	char *program;
	char *instance;
	size_t count;
	size_t next; /* index of the slot to write next, which is the oldest */
	slot_t *slots;
};

spans_t *spans_create(size_t count, const char *program, const char *instance)
{
	spans_t *spans = g_new0(spans_t, 1);

	g_assert(count >= 1);
	spans->program = g_strdup(program);
	spans->instance = g_strdup(instance);
	spans->count = count;
	spans->slots = g_new0(slot_t, count);
	return spans;
}

void spans_destroy(spans_t *spans)
{
	if (!spans)
		return;
	g_free(spans->program);
	g_free(spans->instance);
	g_free(spans->slots);
	g_free(spans);
}

static void copy_text(char *to, const char *from, size_t size)
{
	g_strlcpy(to, from ? from : "", size);
}

void spans_add(spans_t *spans, const span_t *span)
{
	slot_t *slot = &spans->slots[spans->next];

	spans->next = (spans->next + 1) % spans->count;
	slot->self = span->self;
	copy_text(slot->parent, span->parent, SPAN_ID_SIZE);
	copy_text(slot->name, span->name, SPAN_TEXT_SIZE);
	copy_text(slot->status, span->status, SPAN_TEXT_SIZE);
	slot->start = span->start;
	slot->duration_us = span->duration_us;
}

static void add_text(JsonBuilder *builder, const char *name, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	json_build_text(builder, name, valid);
	g_free(valid);
}

static void add_number(JsonBuilder *builder, const char *name, int64_t number)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, number);
}

static void add_slot(const spans_t *spans, const slot_t *slot,
		     JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	add_text(builder, "trace", slot->self.trace);
	add_text(builder, "span", slot->self.span);
	add_text(builder, "parent", slot->parent);
	add_text(builder, "name", slot->name);
	add_text(builder, "program", spans->program);
	add_text(builder, "instance", spans->instance);
	add_text(builder, "status", slot->status);
	add_number(builder, "start_ms", slot->start);
	add_number(builder, "duration_us", slot->duration_us);
	json_builder_end_object(builder);
}

char *spans_render(const spans_t *spans, const char *trace)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "spans");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < spans->count && *trace; i++) {
		const slot_t *slot =
			&spans->slots[(spans->next + i) % spans->count];

		if (!strcmp(slot->self.trace, trace))
			add_slot(spans, slot, builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return json_build_end(builder, FALSE);
}

int64_t span_clock_us(void)
{
	return g_get_monotonic_time();
}
