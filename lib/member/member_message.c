#include "member/member_message.h"

#include <string.h>

#include "base/error.h"

/* Numbers of array elements in a message, an update, and a place. */
#define MESSAGE_FIELDS		 8
#define UPDATE_FIELDS		 3
#define UPDATE_FIELDS_WITH_PLACE 4
#define PLACE_FIELDS		 6

#define PORT_MAX 65535

/* Bytes allowed for a msgpack string header and an integer. */
#define STRING_HEADER_SIZE 2
#define INT_SIZE	   5

member_place_t *member_place_copy(const member_place_t *place)
{
	member_place_t *copy;

	if (!place)
		return NULL;
	copy = g_new(member_place_t, 1);
	*copy = *place;
	copy->address = g_strdup(place->address);
	copy->region = g_strdup(place->region);
	copy->failure_domain = g_strdup(place->failure_domain);
	return copy;
}

gboolean member_place_equal(const member_place_t *a, const member_place_t *b)
{
	return a->entry_port == b->entry_port &&
	       a->owner_port == b->owner_port &&
	       a->admin_port == b->admin_port &&
	       !g_strcmp0(a->address, b->address) &&
	       !g_strcmp0(a->region, b->region) &&
	       !g_strcmp0(a->failure_domain, b->failure_domain);
}

void member_place_free(member_place_t *place)
{
	if (!place)
		return;
	g_free(place->address);
	g_free(place->region);
	g_free(place->failure_domain);
	g_free(place);
}

member_update_t *member_update_new(member_kind_t kind, const char *name,
				   int64_t incarnation, member_state_t state)
{
	member_update_t *update = g_new0(member_update_t, 1);

	update->kind = kind;
	update->name = g_strdup(name);
	update->incarnation = incarnation;
	update->state = state;
	return update;
}

void member_update_free(member_update_t *update)
{
	if (!update)
		return;
	g_free(update->name);
	member_place_free(update->place);
	g_free(update);
}

member_message_t *member_message_new(member_type_t type, const char *from)
{
	member_message_t *message = g_new0(member_message_t, 1);

	message->type = type;
	message->from = g_strdup(from);
	message->updates = g_ptr_array_new_with_free_func(
		(GDestroyNotify)member_update_free);
	return message;
}

void member_message_free(member_message_t *message)
{
	if (!message)
		return;
	g_free(message->from);
	g_free(message->target);
	g_ptr_array_unref(message->updates);
	g_free(message);
}

static void write_place(codec_writer_t *writer, const member_place_t *place)
{
	if (!place) {
		codec_write_array(writer, 0);
		return;
	}
	codec_write_array(writer, PLACE_FIELDS);
	codec_write_text(writer, place->address);
	codec_write_int(writer, place->entry_port);
	codec_write_int(writer, place->owner_port);
	codec_write_int(writer, place->admin_port);
	codec_write_text(writer, place->region);
	codec_write_text(writer, place->failure_domain);
}

static void write_update(codec_writer_t *writer, const member_update_t *update)
{
	/* Bit 0: kind; bits 1 to 3: state; bit 4: is_leaving. */
	int flags = update->kind | update->state << 1 | update->is_leaving << 4;

	codec_write_array(writer, update->place ? UPDATE_FIELDS_WITH_PLACE
						: UPDATE_FIELDS);
	codec_write_int(writer, flags);
	codec_write_text(writer, update->name);
	codec_write_int(writer, update->incarnation);
	if (update->place)
		write_place(writer, update->place);
}

void member_message_write(const member_message_t *message,
			  codec_writer_t *writer)
{
	guint i;

	g_assert(message->updates->len <= MEMBER_UPDATES_MAX);
	codec_write_init(writer, message->type, MESSAGE_FIELDS);
	codec_write_text(writer, message->from);
	codec_write_int(writer, message->incarnation);
	codec_write_int(writer, message->state);
	codec_write_int(writer, message->generation);
	codec_write_int(writer, message->digest);
	codec_write_int(writer, message->sequence);
	codec_write_text(writer, message->target);
	codec_write_array(writer, message->updates->len);
	for (i = 0; i < message->updates->len; i++)
		write_update(writer, message->updates->pdata[i]);
}

static char *read_name(codec_reader_t *reader)
{
	char *name = codec_read_text(reader, MEMBER_NAME_MAX);

	if (!name || !*name)
		reader->is_failed = TRUE;
	return name;
}

static member_place_t *read_place(codec_reader_t *reader)
{
	codec_reader_t nested;
	member_place_t *place = g_new0(member_place_t, 1);

	codec_read_array(reader, &nested);
	place->address = read_name(&nested);
	place->entry_port = (int)codec_read_int(&nested, 0, PORT_MAX);
	place->owner_port = (int)codec_read_int(&nested, 0, PORT_MAX);
	place->admin_port = (int)codec_read_int(&nested, 0, PORT_MAX);
	place->region = read_name(&nested);
	place->failure_domain = read_name(&nested);
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
	return place;
}

static member_update_t *read_update(codec_reader_t *reader)
{
	codec_reader_t nested;
	member_update_t *update = g_new0(member_update_t, 1);
	int flags;

	codec_read_array(reader, &nested);
	flags = (int)codec_read_int(&nested, 0, 31);
	update->kind = flags & 1;
	update->state = flags >> 1 & 7;
	update->is_leaving = flags >> 4 & 1;
	update->name = read_name(&nested);
	update->incarnation = codec_read_int(&nested, 0, INT64_MAX - 1);
	if (nested.left)
		update->place = read_place(&nested);
	if (update->state >= MEMBER_STATE_COUNT ||
	    update->state == MEMBER_LEAVING || !codec_read_end(&nested))
		reader->is_failed = TRUE;
	return update;
}

static void read_updates(codec_reader_t *reader, member_message_t *message)
{
	codec_reader_t nested;

	codec_read_array(reader, &nested);
	if (nested.left > MEMBER_UPDATES_MAX)
		nested.is_failed = TRUE;
	while (!nested.is_failed && nested.left)
		g_ptr_array_add(message->updates, read_update(&nested));
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
}

member_message_t *member_message_read(const msgpack_object *object,
				      GError **error)
{
	codec_reader_t reader;
	member_message_t *message;
	int type;

	codec_read_init(&reader, object, &type);
	message = member_message_new(type, NULL);
	message->from = read_name(&reader);
	message->incarnation = codec_read_int(&reader, 0, INT64_MAX - 1);
	message->state = codec_read_int(&reader, 0, MEMBER_STATE_COUNT - 1);
	message->generation = codec_read_int(&reader, 0, INT64_MAX);
	message->digest = codec_read_int(&reader, 0, UINT32_MAX);
	message->sequence = codec_read_int(&reader, 0, INT64_MAX);
	message->target = codec_read_text(&reader, MEMBER_NAME_MAX);
	read_updates(&reader, message);
	if (type >= MEMBER_TYPE_FIRST && type < MEMBER_TYPE_END &&
	    codec_read_end(&reader))
		return message;
	error_set(error, ERROR_PROTOCOL,
		  "malformed membership message of type %d; run the same "
		  "version on all instances",
		  type);
	member_message_free(message);
	return NULL;
}

static size_t place_size(const member_place_t *place)
{
	return 1 + 3 * (size_t)INT_SIZE + 3 * (size_t)STRING_HEADER_SIZE +
	       strlen(place->address) + strlen(place->region) +
	       strlen(place->failure_domain);
}

size_t member_update_size(const member_update_t *update)
{
	size_t size =
		2 + STRING_HEADER_SIZE + strlen(update->name) + 2 * INT_SIZE;

	return update->place ? size + place_size(update->place) : size;
}

const char *member_state_name(member_state_t state)
{
	static const char *const names[] = {"alive", "suspect", "failed",
					    "leaving", "left"};

	g_assert(state >= 0 && state < MEMBER_STATE_COUNT);
	return names[state];
}
