#include "load/runner.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "http/http_client.h"
#include "load/check.h"
#include "trace/span.h"

#define PATH	       "/v1/completions"
#define SERVICE_PATH   "%sorders"
#define US_PER_MS      1000
#define TICK_MS	       1
#define RETRY_DELAY_MS 50

/* Upper limit of the delay taken from Retry-After. */
#define RETRY_AFTER_MAX_S 5

typedef struct {
	uv_loop_t *loop;
	const runner_options_t *options;
	tally_t *entries;
	tally_t *direct;
	plan_t *plan;
	http_client_t *client;
	uv_timer_t ticker;
	int64_t end_us;	    /* no round begins after this */
	double arrival_us;  /* the next arrival of an open loop */
	int64_t rounds;	    /* begun */
	int64_t open_count; /* rounds that have not ended */
	gboolean is_closed; /* no more rounds will begin */
} runner_t;

/* A round in progress, with its current request. */
typedef struct {
	runner_t *runner;
	plan_round_t plan;
	plan_request_t request;
	check_t *check;
	uv_timer_t retry_timer;
	tally_t *tally;
	gboolean is_direct;
	int64_t step;
	int64_t retries;
	size_t entry;
	int64_t sent_us;
	int64_t token_us; /* of the last token; 0 before the first */
	ms_t retry_after;
} round_t;

static void round_begin(runner_t *runner, int64_t caller);
static void send_request(round_t *round);

/* Release the client after the last round has ended. */
static void finish_if_idle(runner_t *runner)
{
	if (!runner->is_closed || runner->open_count)
		return;
	uv_close((uv_handle_t *)&runner->ticker, NULL);
	http_client_destroy(runner->client);
}

static void on_retry_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_deferred_finish(uv_timer_t *timer)
{
	finish_if_idle(timer->data);
}

static void round_end(round_t *round)
{
	runner_t *runner = round->runner;
	int64_t caller = round->plan.caller;

	uv_close((uv_handle_t *)&round->retry_timer, on_retry_timer_closed);
	runner->open_count--;
	if (runner->options->rate <= 0 && span_clock_us() < runner->end_us) {
		round_begin(runner, caller);
		return;
	}
	if (runner->options->rate <= 0 && !runner->open_count)
		runner->is_closed = TRUE;
	/* Deferred, as a client must not be destroyed in its own callback. */
	if (runner->is_closed && !runner->open_count)
		uv_timer_start(&runner->ticker, on_deferred_finish, 0, 0);
}

static void on_token(void *ctx)
{
	round_t *round = ctx;
	int64_t now = span_clock_us();

	if (!round->token_us)
		tally_time(round->tally, SERIES_FIRST_TOKEN,
			   now - round->sent_us);
	else
		tally_time(round->tally, SERIES_INTER_TOKEN,
			   now - round->token_us);
	round->token_us = now;
}

static void on_head(void *ctx, int status, const http_header_t *headers)
{
	round_t *round = ctx;

	check_head(round->check, status);
	for (; headers->name; headers++) {
		gint64 seconds;

		if (!g_ascii_strcasecmp(headers->name, "retry-after") &&
		    g_ascii_string_to_signed(headers->value, 10, 0, G_MAXINT,
					     &seconds, NULL))
			round->retry_after =
				MIN(seconds, RETRY_AFTER_MAX_S) * MS_PER_S;
	}
}

static void on_data(void *ctx, const char *data, size_t size)
{
	round_t *round = ctx;

	check_data(round->check, data, size);
}

static check_result_t check_response(round_t *round, const GError *error)
{
	check_result_t result = {.verdict = VERDICT_REFUSED,
				 .kind = "unreachable",
				 .outcome = OUTCOME_NOT_RUN};

	if (error && error_kind(error) == ERROR_UNAVAILABLE) {
		tally_count(round->tally, TALLY_UNREACHABLE);
		return result;
	}
	if (error && error_kind(error) == ERROR_TIMEOUT)
		tally_count(round->tally, TALLY_TIMEOUT);
	return check_end(round->check, error != NULL);
}

static void on_retry_timer(uv_timer_t *timer)
{
	round_t *round = timer->data;

	if (round->step < round->plan.steps)
		send_request(round);
	else
		round_end(round);
}

/*
 * Send the next request of the round, or the same one if it was not released.
 * After a failure wait for the retry delay first.
 */
static void continue_round(round_t *round, gboolean is_answered)
{
	ms_t delay = round->retry_after ? round->retry_after : RETRY_DELAY_MS;

	if (!is_answered)
		uv_timer_start(&round->retry_timer, on_retry_timer,
			       (uint64_t)delay, 0);
	else if (round->step < round->plan.steps)
		send_request(round);
	else
		round_end(round);
}

static void on_end(void *ctx, int status, const GError *error)
{
	round_t *round = ctx;
	check_result_t result = check_response(round, error);
	gboolean is_answered = result.verdict == VERDICT_RIGHT ||
			       result.verdict == VERDICT_WRONG;

	g_clear_pointer(&round->check, check_destroy);
	if (!is_answered && round->retries < round->runner->options->retries) {
		tally_count(round->tally, TALLY_RETRIED);
		round->retries++;
		round->entry++;
		continue_round(round, FALSE);
		return;
	}
	tally_add_result(round->tally, &result);
	if (result.verdict == VERDICT_RIGHT)
		tally_time(round->tally, SERIES_WHOLE,
			   span_clock_us() - round->sent_us);
	plan_request_clear(&round->request);
	round->step++;
	continue_round(round, is_answered);
}

static char *render_body(const round_t *round)
{
	const runner_options_t *options = round->runner->options;
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *object = json_object_new();
	char *text;

	json_object_set_string_member(object, "model", round->request.model);
	json_object_set_string_member(object, "prompt", round->request.prompt);
	json_object_set_int_member(object, "max_tokens", options->plan.tokens);
	json_object_set_boolean_member(object, "stream", options->is_streamed);
	json_node_take_object(root, object);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}

static const target_t *target_of(const round_t *round)
{
	const runner_options_t *options = round->runner->options;

	if (round->is_direct)
		return options->direct;
	return &options->entries[round->entry % options->entry_count];
}

static void call_start(round_t *round, const char *bearer)
{
	static const http_call_events_t events = {on_head, on_data, on_end};
	const target_t *target = target_of(round);
	gboolean is_idempotent = round->request.is_idempotent;
	http_header_t headers[] = {
		{"content-type", "application/json"},
		{"authorization", bearer},
		{"x-request-id", round->request.id},
		{is_idempotent ? NULL : "x-non-idempotent", "true"},
		{"idempotency-key", round->request.id},
		{NULL, NULL}};
	const char *service = round->runner->options->service;
	char *path = service ? g_strdup_printf(SERVICE_PATH, service)
			     : g_strdup(PATH);
	char *body = render_body(round);
	http_call_request_t request = {.host = target->host,
				       .port = target->port,
				       .method = "POST",
				       .path = path,
				       .headers = headers,
				       .body = body,
				       .body_size = strlen(body),
				       .timeout =
					       round->runner->options->timeout};

	http_call_start(round->runner->client, &request, &events, round);
	g_free(path);
	g_free(body);
}

static check_t *create_check(round_t *round)
{
	const runner_options_t *options = round->runner->options;

	if (options->service)
		return check_create_order(round->request.id);
	return check_create(round->request.model, round->request.prompt,
			    options->plan.tokens, options->is_streamed,
			    on_token, round);
}

static void send_request(round_t *round)
{
	runner_t *runner = round->runner;
	const runner_options_t *options = runner->options;
	guint tokens = g_strv_length(options->tokens);
	char *bearer = g_strdup_printf(
		"Bearer %s", options->tokens[round->plan.caller % tokens]);

	/* A request that is retried has been drawn before. */
	if (!round->request.id) {
		plan_draw_request(runner->plan, &round->plan, round->step,
				  &round->request);
		round->retries = 0;
		round->sent_us = span_clock_us();
		tally_count(round->tally, TALLY_SENT);
	}
	round->token_us = 0;
	round->retry_after = 0;
	round->check = create_check(round);
	call_start(round, bearer);
	g_free(bearer);
}

static void round_begin(runner_t *runner, int64_t caller)
{
	round_t *round = g_new0(round_t, 1);

	round->runner = runner;
	round->plan = plan_draw_round(runner->plan, caller);
	round->is_direct = runner->options->direct && runner->rounds % 2;
	round->tally = round->is_direct ? runner->direct : runner->entries;
	round->entry = (size_t)runner->rounds;
	runner->rounds++;
	runner->open_count++;
	uv_timer_init(runner->loop, &round->retry_timer);
	round->retry_timer.data = round;
	send_request(round);
}

/* Begin the rounds of an open loop that are due. */
static void on_tick(uv_timer_t *timer)
{
	runner_t *runner = timer->data;
	const runner_options_t *options = runner->options;
	double rate = options->rate / (double)options->plan.round;
	int64_t now = span_clock_us();

	while (runner->arrival_us <= (double)MIN(now, runner->end_us)) {
		round_begin(runner, runner->rounds % options->plan.callers);
		runner->arrival_us +=
			plan_draw_interval(runner->plan, rate) * US_PER_MS;
	}
	if (now < runner->end_us)
		return;
	uv_timer_stop(timer);
	runner->is_closed = TRUE;
	finish_if_idle(runner);
}

void runner_run(uv_loop_t *loop, const runner_options_t *options,
		tally_t *entries, tally_t *direct)
{
	runner_t runner = {.loop = loop,
			   .options = options,
			   .entries = entries,
			   .direct = direct};
	int64_t now = span_clock_us();

	g_assert(options->entry_count >= 1);
	runner.plan = plan_create(&options->plan);
	runner.client = http_client_create(loop);
	runner.end_us = now + options->duration * US_PER_MS;
	runner.arrival_us = (double)now;
	uv_timer_init(loop, &runner.ticker);
	runner.ticker.data = &runner;
	if (options->rate > 0) {
		uv_timer_start(&runner.ticker, on_tick, 0, TICK_MS);
	} else {
		for (int64_t i = 0; i < options->plan.callers; i++)
			round_begin(&runner, i);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	plan_destroy(runner.plan);
}
