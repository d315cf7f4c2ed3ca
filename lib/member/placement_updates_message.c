#include "member/placement_updates.h"

#include "base/error.h"
#include "member/member_message.h"

/* Fields of a message, of an endpoint and of a load. */
#define MESSAGE_FIELDS	3
#define ENDPOINT_FIELDS 6
#define LOAD_FIELDS	8

/* Endpoints and adapters that one message may hold. */
#define ENDPOINTS_MAX 4096
#define CHANGES_MAX   4096

static void updates_change_free(updates_change_t *change)
{
	g_free(change->adapter);
	g_free(change);
}

void updates_endpoint_free(updates_endpoint_t *endpoint)
{
	if (!endpoint)
		return;
	g_free(endpoint->endpoint);
	g_ptr_array_unref(endpoint->changes);
	g_free(endpoint);
}

updates_endpoint_t *updates_endpoint_new(const char *name, int64_t epoch)
{
	updates_endpoint_t *endpoint = g_new0(updates_endpoint_t, 1);

	endpoint->endpoint = g_strdup(name);
	endpoint->epoch = epoch;
	endpoint->changes = g_ptr_array_new_with_free_func(
		(GDestroyNotify)updates_change_free);
	return endpoint;
}

void updates_endpoint_add(updates_endpoint_t *endpoint, const char *adapter,
			  gboolean is_resident)
{
	updates_change_t *change = g_new0(updates_change_t, 1);

	change->adapter = g_strdup(adapter);
	change->is_resident = is_resident;
	g_ptr_array_add(endpoint->changes, change);
}

updates_message_t *updates_message_new(updates_type_t type)
{
	updates_message_t *message = g_new0(updates_message_t, 1);

	message->type = type;
	message->endpoints = g_ptr_array_new_with_free_func(
		(GDestroyNotify)updates_endpoint_free);
	return message;
}

void updates_message_free(updates_message_t *message)
{
	if (!message)
		return;
	g_ptr_array_unref(message->endpoints);
	g_free(message);
}

static void write_load(codec_writer_t *writer, const updates_load_t *load)
{
	codec_write_array(writer, LOAD_FIELDS);
	codec_write_int(writer, load->running);
	codec_write_int(writer, load->waiting);
	codec_write_int(writer, load->waiting_load);
	codec_write_int(writer, load->concurrency);
	codec_write_int(writer, load->free_slots);
	codec_write_int(writer, load->victim_slots);
	codec_write_int(writer, load->victim_rate);
	codec_write_bool(writer, load->is_leaving);
}

static guint count_changes(const updates_endpoint_t *endpoint,
			   gboolean is_resident)
{
	guint count = 0;
	guint i;

	for (i = 0; i < endpoint->changes->len; i++) {
		const updates_change_t *change = endpoint->changes->pdata[i];

		count += change->is_resident == is_resident;
	}
	return count;
}

static void write_changes(codec_writer_t *writer,
			  const updates_endpoint_t *endpoint,
			  gboolean is_resident)
{
	guint i;

	codec_write_array(writer, count_changes(endpoint, is_resident));
	for (i = 0; i < endpoint->changes->len; i++) {
		const updates_change_t *change = endpoint->changes->pdata[i];

		if (change->is_resident == is_resident)
			codec_write_text(writer, change->adapter);
	}
}

static void write_endpoint(codec_writer_t *writer,
			   const updates_endpoint_t *endpoint)
{
	codec_write_array(writer, ENDPOINT_FIELDS);
	codec_write_text(writer, endpoint->endpoint);
	codec_write_int(writer, endpoint->epoch);
	codec_write_bool(writer, endpoint->is_dropped);
	write_load(writer, &endpoint->load);
	write_changes(writer, endpoint, TRUE);
	write_changes(writer, endpoint, FALSE);
}

void updates_message_write(const updates_message_t *message,
			   codec_writer_t *writer)
{
	guint i;

	codec_write_init(writer, message->type, MESSAGE_FIELDS);
	codec_write_int(writer, message->stream);
	codec_write_int(writer, message->sequence);
	codec_write_array(writer, message->endpoints->len);
	for (i = 0; i < message->endpoints->len; i++)
		write_endpoint(writer, message->endpoints->pdata[i]);
}

static int read_count(codec_reader_t *reader)
{
	return (int)codec_read_int(reader, 0, INT32_MAX);
}

static void read_load(codec_reader_t *reader, updates_load_t *load)
{
	codec_reader_t nested;

	codec_read_array(reader, &nested);
	load->running = read_count(&nested);
	load->waiting = read_count(&nested);
	load->waiting_load = read_count(&nested);
	load->concurrency = read_count(&nested);
	load->free_slots = read_count(&nested);
	load->victim_slots = read_count(&nested);
	load->victim_rate = read_count(&nested);
	load->is_leaving = codec_read_bool(&nested);
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
}

static char *read_name(codec_reader_t *reader)
{
	char *name = codec_read_text(reader, MEMBER_NAME_MAX);

	if (!name || !*name)
		reader->is_failed = TRUE;
	return name;
}

static void read_changes(codec_reader_t *reader, updates_endpoint_t *endpoint,
			 gboolean is_resident)
{
	codec_reader_t nested;

	codec_read_array(reader, &nested);
	if (nested.left > CHANGES_MAX)
		nested.is_failed = TRUE;
	while (!nested.is_failed && nested.left) {
		char *adapter = read_name(&nested);

		if (!nested.is_failed)
			updates_endpoint_add(endpoint, adapter, is_resident);
		g_free(adapter);
	}
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
}

static updates_endpoint_t *read_endpoint(codec_reader_t *reader)
{
	updates_endpoint_t *endpoint = updates_endpoint_new(NULL, 0);
	codec_reader_t nested;

	codec_read_array(reader, &nested);
	endpoint->endpoint = read_name(&nested);
	endpoint->epoch = codec_read_int(&nested, 0, INT64_MAX);
	endpoint->is_dropped = codec_read_bool(&nested);
	read_load(&nested, &endpoint->load);
	read_changes(&nested, endpoint, TRUE);
	read_changes(&nested, endpoint, FALSE);
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
	return endpoint;
}

static void read_endpoints(codec_reader_t *reader, updates_message_t *message)
{
	codec_reader_t nested;

	codec_read_array(reader, &nested);
	if (nested.left > ENDPOINTS_MAX)
		nested.is_failed = TRUE;
	while (!nested.is_failed && nested.left)
		g_ptr_array_add(message->endpoints, read_endpoint(&nested));
	if (!codec_read_end(&nested))
		reader->is_failed = TRUE;
}

updates_message_t *updates_message_read(const msgpack_object *object,
					GError **error)
{
	codec_reader_t reader;
	updates_message_t *message;
	int type;

	codec_read_init(&reader, object, &type);
	message = updates_message_new(type);
	message->stream = codec_read_int(&reader, 0, INT64_MAX);
	message->sequence = codec_read_int(&reader, 0, INT64_MAX);
	read_endpoints(&reader, message);
	if (type >= UPDATES_TYPE_FIRST && type < UPDATES_TYPE_END &&
	    codec_read_end(&reader))
		return message;
	error_set(error, ERROR_PROTOCOL,
		  "malformed placement news of type %d; run the same version "
		  "on all instances",
		  type);
	updates_message_free(message);
	return NULL;
}
