/* The runs of an endpoint: from a request to what its requester is told. */

#include "owner/endpoint_private.h"

#include "base/counter.h"

/* How long the answer of an ended non-idempotent run can be asked for; chosen:
 * an entry that died is replaced and has asked again by then. */
#define KEEP_ENDED_MS 60000

static const char *adapter_of(const endpoint_t *endpoint,
			      const message_run_t *message)
{
	return endpoint->is_engine ? message->adapter : SERVICE_ADAPTER;
}

/* Messages to the requester of a run. */

static void send_to(endpoint_t *endpoint, run_t *run, const void *message)
{
	if (run->requester)
		endpoint->actions->send(endpoint->ctx, run->requester, message);
}

/* Nobody is there who could write the end into the claim. */
static void report_orphan(endpoint_t *endpoint, const run_t *run,
			  outcome_t outcome)
{
	const message_run_t *message = run->message;
	orphan_run_t end = {.outcome = outcome,
			    .caller = message->caller,
			    .key = message->key,
			    .request = message->request};
	GString *kept = NULL;

	if (run->requester || message->is_idempotent)
		return;
	if (outcome == OUTCOME_ANSWERED)
		kept = run_answer(run, endpoint->is_engine);
	if (kept) {
		end.answer = kept->str;
		end.answer_size = kept->len;
	}
	endpoint->actions->orphaned(endpoint->ctx, endpoint, &end);
	if (kept)
		g_string_free(kept, TRUE);
}

static void tell_not_run(endpoint_t *endpoint, run_t *run, error_kind_t kind,
			 const char *reason, ms_t retry_after)
{
	message_not_run_t message = {
		MESSAGE_NOT_RUN,       run->message->request,
		run->message->attempt, kind,
		(char *)reason,	       retry_after};

	counter_add(counter_get("hc_owner_not_run_total"), 1);
	send_to(endpoint, run, &message);
	report_orphan(endpoint, run, OUTCOME_NOT_RUN);
}

static void tell_started(endpoint_t *endpoint, run_t *run)
{
	message_started_t message = {MESSAGE_STARTED, run->message->request,
				     run->message->attempt,
				     endpoint->is_engine};

	run->is_announced = TRUE;
	send_to(endpoint, run, &message);
}

static void tell_piece(endpoint_t *endpoint, run_t *run, int64_t number,
		       GBytes *data)
{
	message_piece_t message = {MESSAGE_PIECE, run->message->request,
				   run->message->attempt, number, data};

	send_to(endpoint, run, &message);
}

/* Forgetting runs. */

static void forget_run(endpoint_t *endpoint, run_t *run)
{
	g_hash_table_remove(endpoint->by_id, &run->id);
	if (g_hash_table_lookup(endpoint->by_request, run->message->request) ==
	    run)
		g_hash_table_remove(endpoint->by_request,
				    run->message->request);
	run_destroy(run);
}

static void add_span(endpoint_t *endpoint, run_t *run, const char *status)
{
	span_t span = {run->span, NULL, "endpoint", status, 0, 0};
	traceparent_t parent;

	if (!traceparent_parse(run->message->traceparent, &parent))
		return;
	span.parent = parent.span;
	span.duration_us = span_clock_us() - run->started_us;
	span.start = ms_clock_wall() - span.duration_us / 1000;
	spans_add(endpoint->env->spans, &span);
}

/* Keep an ended run that may be asked for again, and forget any other. */
static void retire_run(endpoint_t *endpoint, run_t *run)
{
	run->state = RUN_ENDED;
	run->call = NULL;
	run->ended_at = endpoint_now(endpoint);
	if (run->message->is_idempotent)
		forget_run(endpoint, run);
}

/* Events of the link. */

static void on_started(void *ctx)
{
	run_t *run = ctx;

	tell_started(run->endpoint, run);
}

static void on_piece(void *ctx, int64_t number, const char *data, size_t size)
{
	run_t *run = ctx;
	GBytes *bytes = g_bytes_new(data, size);

	run_keep(run, data, size);
	tell_piece(run->endpoint, run, number, bytes);
	g_bytes_unref(bytes);
}

static void end_done(endpoint_t *endpoint, run_t *run, const link_end_t *end)
{
	message_done_t *done = g_new0(message_done_t, 1);

	done->type = MESSAGE_DONE;
	done->request = g_strdup(run->message->request);
	done->attempt = run->message->attempt;
	done->count = end->count;
	done->status = end->status;
	done->content_type = g_strdup(end->content_type);
	run->done = done;
	send_to(endpoint, run, done);
	report_orphan(endpoint, run, OUTCOME_ANSWERED);
}

static void end_broken(endpoint_t *endpoint, run_t *run, error_kind_t kind,
		       const char *reason)
{
	message_failed_t *failed = g_new0(message_failed_t, 1);

	counter_add(counter_get("hc_owner_broken_total"), 1);
	failed->type = MESSAGE_FAILED;
	failed->request = g_strdup(run->message->request);
	failed->attempt = run->message->attempt;
	failed->kind = kind;
	failed->reason = g_strdup(reason);
	run->failed = failed;
	send_to(endpoint, run, failed);
}

/*
 * An engine without an adapter that it was known to hold has restarted, unless
 * other runs are alive there.
 */
static void check_restart(endpoint_t *endpoint, run_t *run)
{
	GHashTableIter iter;
	gpointer value;

	if (!slots_has_resident(endpoint->slots, run->message->adapter))
		return;
	g_hash_table_iter_init(&iter, endpoint->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const run_t *other = value;

		if (other != run && other->state == RUN_STARTED)
			return;
	}
	endpoint_engine_restarted(endpoint);
}

static void on_end(void *ctx, const link_end_t *end)
{
	run_t *run = ctx;
	endpoint_t *endpoint = run->endpoint;
	gboolean is_certain = end->result != LINK_BROKEN;
	ms_t now = endpoint_now(endpoint);

	/* A plain service has no slots that an open end could endanger. */
	if (!endpoint->is_engine)
		is_certain = TRUE;
	run->call = NULL;
	switch (end->result) {
	case LINK_DONE:
		end_done(endpoint, run, end);
		add_span(endpoint, run, "ok");
		break;
	case LINK_NOT_RUN:
		tell_not_run(endpoint, run, end->kind, end->reason,
			     end->retry_after);
		add_span(endpoint, run, error_kind_name(end->kind));
		break;
	case LINK_BROKEN:
		end_broken(endpoint, run, end->kind, end->reason);
		add_span(endpoint, run, error_kind_name(end->kind));
		break;
	}
	if (!is_certain)
		endpoint_mark_uncertain(endpoint, run);
	/* First, lest the next request is handed to an engine that lost all. */
	if (end->result == LINK_NOT_RUN && end->kind == ERROR_CONFLICT &&
	    endpoint->is_engine)
		check_restart(endpoint, run);
	slots_request_ended(endpoint->slots, now, run->id, is_certain);
	if (end->result == LINK_NOT_RUN) {
		forget_run(endpoint, run);
		return;
	}
	retire_run(endpoint, run);
}

void endpoint_start_run(void *ctx, uint64_t id, int slot)
{
	static const link_events_t events = {on_started, on_piece, on_end};
	endpoint_t *endpoint = ctx;
	run_t *run = g_hash_table_lookup(endpoint->by_id, &id);
	message_run_t *message = run->message;
	ms_t waited = endpoint_now(endpoint) - run->arrived_at;
	traceparent_t parent;
	char header[TRACEPARENT_SIZE];
	char *original = message->traceparent;

	/* The slots start a request in time; the rest of it is the call's. */
	message->deadline = MAX(1, message->deadline - waited);
	run->state = RUN_STARTED;
	run->started_us = span_clock_us();
	run->started_at = endpoint_now(endpoint);
	if (traceparent_parse(original, &parent)) {
		traceparent_child(&parent, &run->span);
		traceparent_format(&run->span, header);
		message->traceparent = header;
	}
	histogram_add(histogram_get("hc_owner_queue_ms"), waited);
	run->call = link_run_start(endpoint->link, message, &events, run);
	message->traceparent = original;
}

void endpoint_refuse_run(void *ctx, uint64_t id, error_kind_t kind,
			 ms_t retry_after)
{
	endpoint_t *endpoint = ctx;
	run_t *run = g_hash_table_lookup(endpoint->by_id, &id);
	char *reason = g_strdup_printf(
		"endpoint '%s' can't start the request in time; come back "
		"later",
		endpoint->id);

	tell_not_run(endpoint, run, kind, reason, retry_after);
	g_free(reason);
	forget_run(endpoint, run);
}

void endpoint_drop_old_runs(endpoint_t *endpoint, ms_t now)
{
	GHashTableIter iter;
	GSList *old = NULL;
	gpointer value;

	g_hash_table_iter_init(&iter, endpoint->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (run->state == RUN_ENDED &&
		    now - run->ended_at > KEEP_ENDED_MS)
			old = g_slist_prepend(old, run);
	}
	while (old) {
		forget_run(endpoint, old->data);
		old = g_slist_delete_link(old, old);
	}
}

void endpoint_fail_runs(endpoint_t *endpoint)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, endpoint->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (run->state == RUN_QUEUED)
			tell_not_run(endpoint, run, ERROR_CONFLICT,
				     "the endpoint has another owner now; ask "
				     "again",
				     0);
		else if (run->state == RUN_STARTED)
			end_broken(endpoint, run, ERROR_INTERRUPTED,
				   "the endpoint has another owner now; ask "
				   "again with the same key");
		run_destroy(run);
	}
}

/* What entries ask for. */

/* Give the answer of a known run to whoever asks for it now. */
static void attach(endpoint_t *endpoint, run_t *run, void *requester,
		   message_run_t *message)
{
	guint i;

	run->requester = requester;
	run->message->attempt = message->attempt;
	if (run->is_announced)
		tell_started(endpoint, run);
	for (i = (guint)message->first; run->pieces && i < run->pieces->len;
	     i++)
		tell_piece(endpoint, run, i, run->pieces->pdata[i]);
	if (run->done) {
		run->done->attempt = message->attempt;
		send_to(endpoint, run, run->done);
	}
	if (run->failed) {
		run->failed->attempt = message->attempt;
		send_to(endpoint, run, run->failed);
	}
	message_free(message);
}

void endpoint_run(endpoint_t *endpoint, void *requester, message_run_t *message)
{
	run_t *run =
		g_hash_table_lookup(endpoint->by_request, message->request);
	slots_request_t request = {0};

	if (run && run->pieces) {
		attach(endpoint, run, requester, message);
		return;
	}
	if (!endpoint->actions->may_serve(endpoint->ctx, endpoint)) {
		endpoint_keep_early(endpoint, requester, message);
		return;
	}
	counter_add(counter_get("hc_owner_runs_total"), 1);
	run = run_create(endpoint->next_id++, message, requester,
			 endpoint_now(endpoint));
	run->endpoint = endpoint;
	g_hash_table_insert(endpoint->by_id, &run->id, run);
	g_hash_table_replace(endpoint->by_request, message->request, run);
	request.id = run->id;
	request.adapter = adapter_of(endpoint, message);
	request.priority = (int)message->priority;
	request.arrival = run->arrived_at;
	request.deadline = run->arrived_at + message->deadline;
	slots_submit(endpoint->slots, run->arrived_at, &request);
}

static void cancel_run(endpoint_t *endpoint, run_t *run)
{
	ms_t now = endpoint_now(endpoint);

	run->requester = NULL;
	if (run->state == RUN_QUEUED) {
		slots_cancel(endpoint->slots, now, run->id);
		return;
	}
	if (run->state != RUN_STARTED)
		return;
	/*
	 * Whether the engine has stopped is seen in a report; until then the
	 * adapter counts as serving.
	 */
	counter_add(counter_get("hc_owner_cancelled_total"), 1);
	link_run_cancel(run->call);
	run->call = NULL;
	add_span(endpoint, run, "cancelled");
	if (endpoint->is_engine)
		endpoint_mark_uncertain(endpoint, run);
	slots_request_ended(endpoint->slots, now, run->id,
			    !endpoint->is_engine);
	forget_run(endpoint, run);
}

void endpoint_cancel(endpoint_t *endpoint, const message_cancel_t *message)
{
	run_t *run =
		g_hash_table_lookup(endpoint->by_request, message->request);

	if (run && run->message->attempt == message->attempt)
		cancel_run(endpoint, run);
}

void endpoint_requester_gone(endpoint_t *endpoint, void *requester)
{
	GList *runs = g_hash_table_get_values(endpoint->by_id);
	GList *at;

	endpoint_drop_early(endpoint, requester, NULL);
	for (at = runs; at; at = at->next) {
		run_t *run = at->data;

		if (run->requester != requester)
			continue;
		run->requester = NULL;
		if (run->message->is_idempotent)
			cancel_run(endpoint, run);
		/* It may have died before the end was in its claim. */
		else if (run->done)
			report_orphan(endpoint, run, OUTCOME_ANSWERED);
	}
	g_list_free(runs);
}
