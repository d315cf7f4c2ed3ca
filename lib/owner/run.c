#include "owner/run.h"

#include "claim/stored_answer.h"

run_t *run_create(uint64_t id, message_run_t *message, void *requester,
		  ms_t now)
{
	run_t *run = g_new0(run_t, 1);

	run->id = id;
	run->message = message;
	run->requester = requester;
	run->arrived_at = now;
	if (!message->is_idempotent)
		run->pieces = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
	return run;
}

void run_destroy(run_t *run)
{
	if (run->pieces)
		g_ptr_array_free(run->pieces, TRUE);
	message_free(run->message);
	message_free(run->done);
	message_free(run->failed);
	g_free(run);
}

GString *run_answer(const run_t *run, gboolean is_engine)
{
	GString *kept;
	guint i;

	if (run->is_overflowed)
		return NULL;
	kept = stored_answer_create((int)run->done->status,
				    run->done->content_type);
	for (i = 0; i < run->pieces->len; i++) {
		gsize size;
		const char *data =
			g_bytes_get_data(run->pieces->pdata[i], &size);

		stored_answer_append(kept, data ? data : "", size, is_engine);
	}
	return kept;
}

void run_keep(run_t *run, const char *data, size_t size)
{
	if (!run->pieces || run->is_overflowed)
		return;
	if (run->kept + size > RUN_KEPT_MAX) {
		run->is_overflowed = TRUE;
		return;
	}
	run->kept += size;
	g_ptr_array_add(run->pieces, g_bytes_new(data, size));
}
