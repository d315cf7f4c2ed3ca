#include "front/adapters_private.h"

void message_write_admit(codec_writer_t *writer, admission_id_t id,
			 const admission_t *admission)
{
	char flow[NAME_MAX_BYTES];
	gboolean has_flow = admission->request.cost > 0;

	codec_write_init(writer, MESSAGE_ADMIT, has_flow ? 12 : 10);
	codec_write_text(writer, admission->engine);
	codec_write_text(writer, admission->adapter);
	codec_write_int(writer, id);
	codec_write_int(writer, admission->version);
	codec_write_bool(writer, admission->is_missing);
	codec_write_int(writer, admission->request.prompt);
	codec_write_int(writer, admission->request.priority);
	codec_write_int(writer, admission->request.wait_max);
	codec_write_int(writer, admission->load_max);
	codec_write_int(writer, admission->load_goal);
	if (!has_flow)
		return;
	/* Names of organisations may be longer than names in messages. */
	if (admission->request.flow)
		g_strlcpy(flow, admission->request.flow, sizeof(flow));
	codec_write_text(writer, admission->request.flow ? flow : NULL);
	codec_write_int(writer, admission->request.cost);
}

gboolean message_read_admit(codec_reader_t *reader, admission_id_t *id,
			    admission_t *admission)
{
	admission->engine = codec_read_text(reader, NAME_MAX_BYTES);
	admission->adapter = codec_read_text(reader, NAME_MAX_BYTES);
	*id = codec_read_int(reader, 1, INT64_MAX);
	admission->version = codec_read_int(reader, 0, INT64_MAX);
	admission->is_missing = codec_read_bool(reader);
	admission->request.prompt = codec_read_int(reader, 0, INT64_MAX);
	admission->request.priority = (int)codec_read_int(reader, 0, G_MAXINT);
	admission->request.wait_max = codec_read_int(reader, 0, INT64_MAX);
	admission->load_max = codec_read_int(reader, 0, INT64_MAX);
	admission->load_goal = codec_read_int(reader, 0, INT64_MAX);
	if (reader->left) {
		admission->request.flow =
			codec_read_text(reader, NAME_MAX_BYTES);
		admission->request.cost =
			codec_read_int(reader, 0, ADMISSION_COST_MAX);
	}
	return codec_read_end(reader) && admission->engine;
}

void message_write_release(codec_writer_t *writer, const char *engine,
			   admission_id_t id, const admission_end_t *end)
{
	uint32_t fields = end->pause_percent ? 5 : end->work_percent ? 4 : 3;

	codec_write_init(writer, MESSAGE_RELEASE, fields);
	codec_write_text(writer, engine);
	codec_write_int(writer, id);
	codec_write_bool(writer, end->has_run);
	if (fields > 3)
		codec_write_int(writer, end->work_percent);
	if (fields > 4)
		codec_write_int(writer, end->pause_percent);
}

gboolean message_read_release(codec_reader_t *reader, char **engine,
			      admission_id_t *id, admission_end_t *end)
{
	*engine = codec_read_text(reader, NAME_MAX_BYTES);
	*id = codec_read_int(reader, 1, INT64_MAX);
	end->has_run = codec_read_bool(reader);
	if (reader->left)
		end->work_percent = (int)codec_read_int(reader, 0, G_MAXINT);
	if (reader->left)
		end->pause_percent = (int)codec_read_int(reader, 0, G_MAXINT);
	return codec_read_end(reader);
}

void message_write_reply(codec_writer_t *writer, const holder_reply_t *reply)
{
	if (reply->type == MESSAGE_UNLOADED) {
		codec_write_init(writer, reply->type, 2);
		codec_write_text(writer, reply->engine);
		codec_write_text(writer, reply->adapter);
		return;
	}
	codec_write_init(writer, reply->type, reply->work_percent ? 7 : 6);
	codec_write_int(writer, reply->admission);
	codec_write_int(writer, reply->version);
	codec_write_int(writer, reply->running);
	codec_write_int(writer, reply->waiting);
	codec_write_int(writer, reply->retry_after);
	codec_write_int(writer, reply->refusal);
	if (reply->work_percent)
		codec_write_int(writer, reply->work_percent);
}

gboolean message_read_reply(codec_reader_t *reader, int type,
			    holder_reply_t *reply)
{
	reply->type = (message_type_t)type;
	if (type == MESSAGE_UNLOADED) {
		reply->engine = codec_read_text(reader, NAME_MAX_BYTES);
		reply->adapter = codec_read_text(reader, NAME_MAX_BYTES);
	} else {
		reply->admission = codec_read_int(reader, 1, INT64_MAX);
		reply->version = codec_read_int(reader, 0, INT64_MAX);
		reply->running = (int)codec_read_int(reader, 0, G_MAXINT);
		reply->waiting = (int)codec_read_int(reader, 0, G_MAXINT);
		reply->retry_after = codec_read_int(reader, 0, INT64_MAX);
		reply->refusal =
			(refusal_t)codec_read_int(reader, 0, REFUSAL_COUNT - 1);
		if (reader->left)
			reply->work_percent =
				(int)codec_read_int(reader, 0, G_MAXINT);
	}
	return type >= MESSAGE_ADMITTED && type <= MESSAGE_UNLOADED &&
	       codec_read_end(reader);
}
