#include "serve/message.h"

#include <stddef.h>
#include <string.h>

typedef enum { FIELD_INT, FIELD_BOOL, FIELD_TEXT, FIELD_BYTES } field_kind_t;

typedef struct {
	field_kind_t kind;
	size_t offset;
} field_t;

typedef struct {
	size_t size;
	const field_t *fields;
	uint32_t count;
} layout_t;

#define INT(type, member)                                                      \
	{                                                                      \
		FIELD_INT, offsetof(type, member)                              \
	}
#define BOOL(type, member)                                                     \
	{                                                                      \
		FIELD_BOOL, offsetof(type, member)                             \
	}
#define TEXT(type, member)                                                     \
	{                                                                      \
		FIELD_TEXT, offsetof(type, member)                             \
	}
#define BYTES(type, member)                                                    \
	{                                                                      \
		FIELD_BYTES, offsetof(type, member)                            \
	}

static const field_t run_fields[] = {
	TEXT(message_run_t, request),	   INT(message_run_t, attempt),
	INT(message_run_t, first),	   TEXT(message_run_t, traceparent),
	TEXT(message_run_t, caller),	   TEXT(message_run_t, endpoint),
	TEXT(message_run_t, adapter),	   INT(message_run_t, priority),
	INT(message_run_t, deadline),	   BOOL(message_run_t, is_idempotent),
	INT(message_run_t, tokens),	   TEXT(message_run_t, method),
	TEXT(message_run_t, path),	   TEXT(message_run_t, key),
	TEXT(message_run_t, content_type), BYTES(message_run_t, body),
};
static const field_t cancel_fields[] = {
	TEXT(message_cancel_t, request),
	INT(message_cancel_t, attempt),
};
static const field_t started_fields[] = {
	TEXT(message_started_t, request),
	INT(message_started_t, attempt),
	BOOL(message_started_t, is_resumable),
};
static const field_t piece_fields[] = {
	TEXT(message_piece_t, request),
	INT(message_piece_t, attempt),
	INT(message_piece_t, number),
	BYTES(message_piece_t, data),
};
static const field_t done_fields[] = {
	TEXT(message_done_t, request),	    INT(message_done_t, attempt),
	INT(message_done_t, count),	    INT(message_done_t, status),
	TEXT(message_done_t, content_type),
};
static const field_t not_run_fields[] = {
	TEXT(message_not_run_t, request),    INT(message_not_run_t, attempt),
	INT(message_not_run_t, kind),	     TEXT(message_not_run_t, reason),
	INT(message_not_run_t, retry_after),
};
static const field_t failed_fields[] = {
	TEXT(message_failed_t, request),
	INT(message_failed_t, attempt),
	INT(message_failed_t, kind),
	TEXT(message_failed_t, reason),
};
static const field_t place_fields[] = {
	INT(message_place_t, ticket),
	TEXT(message_place_t, adapter),
	BOOL(message_place_t, is_crowded),
	TEXT(message_place_t, avoid),
};
static const field_t placed_fields[] = {
	INT(message_placed_t, ticket),
	TEXT(message_placed_t, endpoint),
	TEXT(message_placed_t, owner),
	INT(message_placed_t, retry_after),
};
static const field_t place_failed_fields[] = {
	TEXT(message_place_failed_t, adapter),
	TEXT(message_place_failed_t, endpoint),
};
static const field_t demote_fields[] = {
	TEXT(message_demote_t, endpoint),
	TEXT(message_demote_t, adapter),
};
static const field_t load_request_fields[] = {
	TEXT(message_load_request_t, endpoint),
	TEXT(message_load_request_t, adapter),
	INT(message_load_request_t, waiting),
	INT(message_load_request_t, priority),
	INT(message_load_request_t, age),
	BOOL(message_load_request_t, is_ahead),
};
static const field_t load_cancel_fields[] = {
	TEXT(message_load_cancel_t, endpoint),
	TEXT(message_load_cancel_t, adapter),
};
static const field_t load_ended_fields[] = {
	TEXT(message_load_ended_t, endpoint),
	TEXT(message_load_ended_t, adapter),
	BOOL(message_load_ended_t, is_returned),
};
static const field_t grant_fields[] = {
	TEXT(message_grant_t, endpoint),
	TEXT(message_grant_t, adapter),
};
static const field_t part_request_fields[] = {
	INT(message_part_request_t, ticket),
	TEXT(message_part_request_t, name),
};
static const field_t part_fields[] = {
	INT(message_part_t, ticket),
	BOOL(message_part_t, is_here),
	BYTES(message_part_t, data),
};
static const field_t live_owner_fields[] = {
	TEXT(message_live_owner_t, instance),
	TEXT(message_live_owner_t, address),
	INT(message_live_owner_t, owner_port),
	TEXT(message_live_owner_t, region),
	TEXT(message_live_owner_t, failure_domain),
	BOOL(message_live_owner_t, is_leaving),
	INT(message_live_owner_t, generation),
};
static const field_t share_request_fields[] = {
	TEXT(message_share_request_t, limit),
	INT(message_share_request_t, demand),
};
static const field_t expect_fields[] = {
	TEXT(message_expect_t, endpoint),
	TEXT(message_expect_t, adapter),
	INT(message_expect_t, likelihood),
};
static const field_t share_fields[] = {
	TEXT(message_share_t, limit),
	INT(message_share_t, share),
};

#define LAYOUT(name)                                                           \
	{                                                                      \
		sizeof(message_##name##_t), name##_fields,                     \
			G_N_ELEMENTS(name##_fields)                            \
	}

static const layout_t layouts[MESSAGE_TYPE_END - MESSAGE_TYPE_FIRST] = {
	LAYOUT(run),	      LAYOUT(cancel),	  LAYOUT(started),
	LAYOUT(piece),	      LAYOUT(done),	  LAYOUT(not_run),
	LAYOUT(failed),	      LAYOUT(place),	  LAYOUT(placed),
	LAYOUT(place_failed), LAYOUT(demote),	  LAYOUT(want),
	LAYOUT(withdraw),     LAYOUT(load_ended), LAYOUT(grant),
	LAYOUT(part_ask),     LAYOUT(part),	  LAYOUT(members),
	LAYOUT(share_ask),    LAYOUT(share),	  LAYOUT(expect),
};

static const layout_t *find_layout(int type)
{
	if (type < MESSAGE_TYPE_FIRST || type >= MESSAGE_TYPE_END)
		return NULL;
	return &layouts[type - MESSAGE_TYPE_FIRST];
}

static void write_field(codec_writer_t *writer, const field_t *field,
			const void *message)
{
	const char *at = (const char *)message + field->offset;
	GBytes *bytes;
	gsize size = 0;
	const char *data;

	switch (field->kind) {
	case FIELD_INT:
		codec_write_int(writer, *(const int64_t *)at);
		break;
	case FIELD_BOOL:
		codec_write_bool(writer, *(const gboolean *)at);
		break;
	case FIELD_TEXT:
		codec_write_text(writer, *(char *const *)at);
		break;
	case FIELD_BYTES:
		bytes = *(GBytes *const *)at;
		data = bytes ? g_bytes_get_data(bytes, &size) : NULL;
		codec_write_bytes(writer, data ? data : "", size);
		break;
	}
}

void message_write(codec_writer_t *writer, const void *message)
{
	const layout_t *layout = find_layout(message_type(message));
	uint32_t i;

	g_assert(layout);
	codec_write_init(writer, message_type(message), layout->count);
	for (i = 0; i < layout->count; i++)
		write_field(writer, &layout->fields[i], message);
}

static void read_field(codec_reader_t *reader, const field_t *field,
		       void *message)
{
	char *at = (char *)message + field->offset;
	const char *data;
	size_t size;

	switch (field->kind) {
	case FIELD_INT:
		*(int64_t *)at = codec_read_int(reader, INT64_MIN, INT64_MAX);
		break;
	case FIELD_BOOL:
		*(gboolean *)at = codec_read_bool(reader);
		break;
	case FIELD_TEXT:
		*(char **)at = codec_read_text(reader, MESSAGE_TEXT_MAX);
		break;
	case FIELD_BYTES:
		data = codec_read_bytes(reader, &size);
		if (size > MESSAGE_BYTES_MAX)
			reader->is_failed = TRUE;
		else
			*(GBytes **)at = g_bytes_new(data, size);
		break;
	}
}

void *message_read(const msgpack_object *object, GError **error)
{
	const layout_t *layout;
	codec_reader_t reader;
	void *message;
	uint32_t i;
	int type;

	codec_read_init(&reader, object, &type);
	layout = find_layout(type);
	if (!layout) {
		error_set(error, ERROR_PROTOCOL,
			  "message type %d is not known; run the same version "
			  "on all instances",
			  type);
		return NULL;
	}
	message = g_malloc0(layout->size);
	*(int *)message = type;
	for (i = 0; i < layout->count; i++)
		read_field(&reader, &layout->fields[i], message);
	if (codec_read_end(&reader))
		return message;
	message_free(message);
	error_set(error, ERROR_PROTOCOL,
		  "a message of type %d is malformed; run the same version on "
		  "all instances",
		  type);
	return NULL;
}

void message_free(void *message)
{
	const layout_t *layout;
	uint32_t i;

	if (!message)
		return;
	layout = find_layout(message_type(message));
	for (i = 0; i < layout->count; i++) {
		const field_t *field = &layout->fields[i];
		char *at = (char *)message + field->offset;

		if (field->kind == FIELD_TEXT)
			g_free(*(char **)at);
		else if (field->kind == FIELD_BYTES)
			g_clear_pointer((GBytes **)at, g_bytes_unref);
	}
	g_free(message);
}
