#include "front/event_order.h"

#include <string.h>

#define NOT_A_NUMBER (-1)

static int64_t parse_number(const char *id)
{
	guint64 number;

	if (!id ||
	    !g_ascii_string_to_unsigned(id, 10, 0, G_MAXINT64, &number, NULL))
		return NOT_A_NUMBER;
	return (int64_t)number;
}

static void set_last(event_order_t *order, char *id)
{
	g_free(order->last_id);
	order->last_id = id;
	order->number = parse_number(id);
}

void event_order_init(event_order_t *order, const char *last_id)
{
	memset(order, 0, sizeof(*order));
	set_last(order, g_strdup(last_id));
}

void event_order_release(event_order_t *order)
{
	g_clear_pointer(&order->last_id, g_free);
}

/*
 * Returns the value of the last line of this field, which ends with a colon, or
 * NULL; *size is set to its size without white space around it.
 */
static const char *find_field(const char *text, size_t text_size,
			      const char *field, size_t *size)
{
	const char *end = text + text_size;
	const char *found = NULL;
	size_t field_size = strlen(field);

	while (text < end) {
		const char *line_end = memchr(text, '\n', (size_t)(end - text));
		const char *stop = line_end ? line_end : end;

		if ((size_t)(stop - text) >= field_size &&
		    !memcmp(text, field, field_size)) {
			found = text + field_size;
			*size = (size_t)(stop - found);
		}
		text = stop + 1;
	}
	while (found && *size && g_ascii_isspace(*found)) {
		found++;
		(*size)--;
	}
	while (found && *size && g_ascii_isspace(found[*size - 1]))
		(*size)--;
	return found;
}

gboolean event_has_data(const char *text, size_t size)
{
	size_t unused;

	return find_field(text, size, "data:", &unused) != NULL;
}

/* Returns what is wrong with an event after the newest one, or NULL. */
static const char *find_fault(const event_order_t *order, const char *id,
			      event_place_t place)
{
	int64_t number = parse_number(id);

	if (place == EVENT_OF_RUN || !order->last_id)
		return NULL;
	if (!id)
		return "an event of a resumed stream has no id";
	if (!strcmp(id, order->last_id))
		return "a resumed stream repeats an event";
	if (order->number == NOT_A_NUMBER)
		return NULL;
	if (number == NOT_A_NUMBER)
		return "an event of a resumed stream has an id of another kind";
	if (number <= order->number)
		return "a resumed stream repeats an event";
	if (place == EVENT_RESUMES && order->step &&
	    number - order->number > order->step)
		return "a resumed stream leaves out an event";
	return NULL;
}

const char *event_order_accept(event_order_t *order, const char *text,
			       size_t size, event_place_t place)
{
	size_t id_size = 0;
	const char *found = find_field(text, size, "id:", &id_size);
	char *id = found && id_size ? g_strndup(found, id_size) : NULL;
	const char *fault = find_fault(order, id, place);
	int64_t before = order->number;

	if (fault) {
		g_free(id);
		return fault;
	}
	set_last(order, id);
	if (before != NOT_A_NUMBER && order->number > before)
		order->step = MAX(order->step, order->number - before);
	return NULL;
}
