/*
 * standin-engine: small engines that share one weight store.
 *
 * See docs/commands/standin-engine.md for the paths that it serves.
 */

#include <getopt.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_member.h"
#include "base/log.h"
#include "base/version.h"
#include "http/http_server.h"
#include "standin/engine_model.h"

#define BODY_MAX	   (8 * 1024 * 1024)
#define TICK_MS		   2
#define LARGE_TOKEN_BYTES  (2 * 1024 * 1024)
#define DEFAULT_MAX_TOKENS 16

/* The HTTP server of one engine model. */
typedef struct {
	engine_model_t *model;
	http_server_t *server;
	ms_clock_t *clock;
	uv_timer_t timer;
	int64_t garbled_tokens;	 /* left to send as invalid JSON */
	int64_t large_tokens;	 /* left to send with LARGE_TOKEN_BYTES */
	int64_t garbled_reports; /* left to send as invalid JSON */
} engine_t;

/* A completion request whose response is open. */
typedef struct {
	engine_t *engine;
	http_request_t *http;
	char *request;
	char *adapter;
	gboolean is_stream;
	GString *output;
	int tokens;
} reader_t;

typedef struct {
	http_request_t *http; /* NULL once the client has disconnected */
} order_t;

static void reader_free(reader_t *reader)
{
	g_free(reader->request);
	g_free(reader->adapter);
	g_string_free(reader->output, TRUE);
	g_free(reader);
}

static char *token_json(const reader_t *reader, int index, const char *text)
{
	return g_strdup_printf("{\"id\":\"%s\",\"object\":\"text_completion\","
			       "\"model\":\"%s\",\"index\":%d,\"choices\":[{"
			       "\"index\":0,\"text\":\"%s\","
			       "\"finish_reason\":null}]}",
			       reader->request, reader->adapter, index, text);
}

/* Decrements a count of faults; returns FALSE if it was 0. */
static gboolean consume_one(int64_t *left)
{
	if (*left <= 0)
		return FALSE;
	--*left;
	return TRUE;
}

/* Returns the faulty event to send in place of a token, or NULL. */
static char *make_faulty_event(engine_t *engine)
{
	if (consume_one(&engine->garbled_tokens))
		return g_strdup("{\"choices\":[}");
	if (consume_one(&engine->large_tokens))
		return g_strnfill(LARGE_TOKEN_BYTES, 'x');
	return NULL;
}

static void on_token(void *ctx, int index, const char *text)
{
	reader_t *reader = ctx;
	char *json;
	char *event;

	reader->tokens++;
	if (!reader->is_stream) {
		g_string_append(reader->output, text);
		return;
	}
	json = make_faulty_event(reader->engine);
	if (!json)
		json = token_json(reader, index, text);
	event = g_strdup_printf("data: %s\n\n", json);
	http_stream_write(reader->http, event, strlen(event));
	g_free(event);
	g_free(json);
}

static void end_stream(reader_t *reader, gboolean is_interrupted)
{
	static const char done[] = "data: [DONE]\n\n";

	if (is_interrupted) {
		http_stream_break(reader->http);
		return;
	}
	http_stream_write(reader->http, done, strlen(done));
	http_stream_end(reader->http);
}

static void end_response(reader_t *reader, gboolean is_interrupted)
{
	GError *error = NULL;
	char *body;

	if (is_interrupted) {
		error_set(&error, ERROR_INTERRUPTED, "the run was cut");
		http_respond_error(reader->http, error, OUTCOME_UNKNOWN, 0);
		g_error_free(error);
		return;
	}
	body = g_strdup_printf("{\"id\":\"%s\",\"object\":\"text_completion\","
			       "\"model\":\"%s\",\"choices\":[{\"index\":0,"
			       "\"text\":\"%s\",\"finish_reason\":\"length\"}],"
			       "\"usage\":{\"completion_tokens\":%d}}",
			       reader->request, reader->adapter,
			       reader->output->str, reader->tokens);
	http_respond(reader->http, 200, "application/json", NULL, body,
		     strlen(body));
	g_free(body);
}

static void on_end(void *ctx, gboolean is_interrupted)
{
	reader_t *reader = ctx;

	if (reader->is_stream)
		end_stream(reader, is_interrupted);
	else
		end_response(reader, is_interrupted);
	reader_free(reader);
}

static void on_order_done(void *ctx, const GError *error)
{
	order_t *order = ctx;

	if (order->http && error)
		http_respond_error(order->http, error, OUTCOME_NOT_RUN, 0);
	else if (order->http)
		http_respond(order->http, 200, "application/json", NULL, "{}",
			     2);
	g_free(order);
}

static void on_reader_abort(void *ctx, http_request_t *http)
{
	reader_t *reader = ctx;

	engine_model_detach(reader->engine->model, reader);
	reader_free(reader);
}

static void on_order_abort(void *ctx, http_request_t *http)
{
	order_t *order = ctx;

	order->http = NULL;
}

static void respond_error(http_request_t *http, error_kind_t kind,
			  const char *why)
{
	GError *error = NULL;

	error_set(&error, kind, "%s", why);
	http_respond_error(http, error, OUTCOME_NOT_RUN, 0);
	g_error_free(error);
}

static JsonObject *parse_body(http_request_t *http, JsonParser *parser)
{
	JsonNode *root;
	const char *body;
	size_t size;

	body = http_request_body(http, &size);
	if (!json_parser_load_from_data(parser, body, (gssize)size, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	return json_node_get_object(root);
}

static const char *get_text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

/* Returns the prompt, or the chat messages as JSON. */
static char *get_prompt(JsonObject *object)
{
	if (json_object_has_member(object, "messages"))
		return json_to_string(
			json_object_get_member(object, "messages"), FALSE);
	return g_strdup(get_text(object, "prompt"));
}

static gboolean begin_run(reader_t *reader, JsonObject *object, GError **error)
{
	engine_model_t *model = reader->engine->model;
	const char *resume = http_request_header(reader->http, "x-resume-from");
	const char *priority = http_request_header(reader->http, "x-priority");
	engine_request_t request = {0};
	engine_run_t *run;
	char *prompt;

	/* The reader is freed on return if the run has already ended. */
	if (resume)
		return engine_model_resume(model, reader->request, atoi(resume),
					   reader, error) != NULL;
	prompt = get_prompt(object);
	request.request = reader->request;
	request.adapter = reader->adapter;
	request.prompt = prompt;
	request.priority = priority ? atoi(priority) : 0;
	request.max_tokens = (int)json_object_get_int_member_with_default(
		object, "max_tokens", DEFAULT_MAX_TOKENS);
	run = engine_model_start_run(model, &request, reader, error);
	g_free(prompt);
	return run != NULL;
}

static void on_completion(void *ctx, http_request_t *http)
{
	engine_t *engine = ctx;
	JsonParser *parser = json_parser_new();
	JsonObject *object = parse_body(http, parser);
	const char *request = http_request_header(http, "x-request-id");
	GError *error = NULL;
	gboolean is_stream;
	gboolean is_resumed;
	reader_t *reader;

	if (!object || !request) {
		respond_error(http, ERROR_INVALID,
			      "give a JSON body and a X-Request-Id header");
		g_object_unref(parser);
		return;
	}
	reader = g_new0(reader_t, 1);
	reader->engine = engine;
	reader->http = http;
	reader->request = g_strdup(request);
	reader->adapter = g_strdup(get_text(object, "model"));
	reader->is_stream = json_object_get_boolean_member_with_default(
		object, "stream", FALSE);
	reader->output = g_string_new(NULL);
	http_request_on_abort(http, on_reader_abort, reader);
	is_stream = reader->is_stream;
	is_resumed = http_request_header(http, "x-resume-from") != NULL;
	if (is_stream && is_resumed)
		http_stream_begin(http, 200, "text/event-stream", NULL);
	if (!begin_run(reader, object, &error)) {
		if (is_stream && is_resumed)
			http_stream_break(http);
		else
			http_respond_error(http, error, OUTCOME_NOT_RUN, 0);
		g_error_free(error);
		reader_free(reader);
	} else if (is_stream && !is_resumed) {
		http_stream_begin(http, 200, "text/event-stream", NULL);
	}
	g_object_unref(parser);
}

typedef void (*submit_order_t)(engine_model_t *engine, int slot,
			       const char *adapter, int64_t fence,
			       const char *token, void *order);

static void handle_order(engine_t *engine, http_request_t *http,
			 submit_order_t submit)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object = parse_body(http, parser);
	const char *fence = http_request_header(http, "x-fencing-number");
	const char *token = http_request_header(http, "x-order-token");
	order_t *order;

	if (!object) {
		respond_error(http, ERROR_INVALID, "give a JSON body");
		g_object_unref(parser);
		return;
	}
	order = g_new0(order_t, 1);
	order->http = http;
	http_request_on_abort(http, on_order_abort, order);
	submit(engine->model,
	       (int)json_object_get_int_member_with_default(object, "slot", -1),
	       get_text(object, "lora_name"),
	       fence ? g_ascii_strtoll(fence, NULL, 10) : 0, token, order);
	g_object_unref(parser);
}

static void on_load(void *ctx, http_request_t *http)
{
	handle_order(ctx, http, engine_model_load);
}

static void on_unload(void *ctx, http_request_t *http)
{
	handle_order(ctx, http, engine_model_unload);
}

static void on_cancel(void *ctx, http_request_t *http)
{
	engine_t *engine = ctx;
	const char *request = http_request_header(http, "x-request-id");

	if (request)
		engine_model_cancel(engine->model, request);
	http_respond(http, 200, "application/json", NULL, "{}", 2);
}

static void respond_and_free(http_request_t *http, char *body)
{
	http_respond(http, 200, "application/json", NULL, body, strlen(body));
	g_free(body);
}

static void on_report(void *ctx, http_request_t *http)
{
	engine_t *engine = ctx;

	if (consume_one(&engine->garbled_reports))
		respond_and_free(http, g_strdup("{\"slots\":"));
	else
		respond_and_free(http,
				 engine_model_report(((engine_t *)ctx)->model));
}

static void on_ledger(void *ctx, http_request_t *http)
{
	respond_and_free(http, engine_model_ledger(((engine_t *)ctx)->model));
}

static void on_control(void *ctx, http_request_t *http)
{
	engine_t *engine = ctx;
	JsonParser *parser = json_parser_new();
	JsonObject *object = parse_body(http, parser);

	if (!object) {
		respond_error(http, ERROR_INVALID, "give a JSON body");
		g_object_unref(parser);
		return;
	}
	if (json_object_has_member(object, "fail_loads"))
		engine_model_fail_loads(
			engine->model,
			(int)json_object_get_int_member(object, "fail_loads"));
	if (json_object_has_member(object, "freeze"))
		engine_model_freeze(
			engine->model,
			json_object_get_boolean_member(object, "freeze"));
	json_member_int(object, "garbled_tokens", &engine->garbled_tokens);
	json_member_int(object, "large_tokens", &engine->large_tokens);
	json_member_int(object, "garbled_reports", &engine->garbled_reports);
	if (json_object_has_member(object, "restart"))
		engine_model_restart(engine->model);
	http_respond(http, 200, "application/json", NULL, "{}", 2);
	g_object_unref(parser);
}

static void on_tick(uv_timer_t *timer)
{
	engine_t *engine = timer->data;

	engine_model_tick(engine->model, ms_clock_now(engine->clock));
}

typedef struct {
	engine_options_t engine;
	double loads_per_second;
	int64_t load_ms;
	int count;
	int port;
} options_t;

static void engine_start(const options_t *options, int index,
			 store_model_t *store)
{
	static const engine_events_t events = {on_token, on_end, on_order_done};
	http_server_options_t http = {"127.0.0.1", 0, BODY_MAX, NULL, 0, FALSE};
	engine_t *engine = g_new0(engine_t, 1);
	GError *error = NULL;

	http.port = options->port ? options->port + index : 0;
	engine->model = engine_model_create(&options->engine, store, &events);
	engine->clock = ms_clock_create_system();
	engine->server = http_server_create(uv_default_loop(), &http);
	http_server_route(engine->server, "/v1/completions", on_completion,
			  engine);
	http_server_route(engine->server, "/v1/chat/completions", on_completion,
			  engine);
	http_server_route(engine->server, "/v1/load_lora_adapter", on_load,
			  engine);
	http_server_route(engine->server, "/v1/unload_lora_adapter", on_unload,
			  engine);
	http_server_route(engine->server, "/v1/cancel", on_cancel, engine);
	http_server_route(engine->server, "/report", on_report, engine);
	http_server_route(engine->server, "/control/ledger", on_ledger, engine);
	http_server_route(engine->server, "/control", on_control, engine);
	if (!http_server_listen(engine->server, &error)) {
		fprintf(stderr, "standin-engine: %s\n", error->message);
		exit(1);
	}
	uv_timer_init(uv_default_loop(), &engine->timer);
	engine->timer.data = engine;
	uv_timer_start(&engine->timer, on_tick, TICK_MS, TICK_MS);
	printf("listening 127.0.0.1:%d\n", http_server_port(engine->server));
	fflush(stdout);
}

static const char usage[] =
	"usage: standin-engine [options]\n"
	"  --port N         first port (0: any free ones)\n"
	"  --count N        engines that share the weight store (1)\n"
	"  --slots N        adapter slots of each engine (4)\n"
	"  --places N       requests in one step (8)\n"
	"  --step-ms N      time of one step (10)\n"
	"  --checks-fence   refuse orders with an old fencing number\n"
	"  --order-token T  refuse orders without this token\n"
	"  --report-lag N   lag of the load report in ms (0)\n"
	"  --loads N        loads a second that the store allows (2.5)\n"
	"  --load-ms N      time of one load (250)\n"
	"  --linger-ms N    how long a run is kept without a reader (30000)\n"
	"  --help, --version\n";

enum {
	OPT_PORT = 256,
	OPT_COUNT,
	OPT_SLOTS,
	OPT_PLACES,
	OPT_STEP,
	OPT_FENCE,
	OPT_TOKEN,
	OPT_LAG,
	OPT_LOADS,
	OPT_LOAD_MS,
	OPT_LINGER,
	OPT_HELP,
	OPT_VERSION
};

static const struct option long_options[] = {
	{"port", required_argument, NULL, OPT_PORT},
	{"count", required_argument, NULL, OPT_COUNT},
	{"slots", required_argument, NULL, OPT_SLOTS},
	{"places", required_argument, NULL, OPT_PLACES},
	{"step-ms", required_argument, NULL, OPT_STEP},
	{"checks-fence", no_argument, NULL, OPT_FENCE},
	{"order-token", required_argument, NULL, OPT_TOKEN},
	{"report-lag", required_argument, NULL, OPT_LAG},
	{"loads", required_argument, NULL, OPT_LOADS},
	{"load-ms", required_argument, NULL, OPT_LOAD_MS},
	{"linger-ms", required_argument, NULL, OPT_LINGER},
	{"help", no_argument, NULL, OPT_HELP},
	{"version", no_argument, NULL, OPT_VERSION},
	{NULL, 0, NULL, 0}};

static void apply_option(options_t *options, int option, const char *value)
{
	switch (option) {
	case OPT_PORT:
		options->port = atoi(value);
		break;
	case OPT_COUNT:
		options->count = atoi(value);
		break;
	case OPT_SLOTS:
		options->engine.slots = atoi(value);
		break;
	case OPT_PLACES:
		options->engine.places = atoi(value);
		break;
	case OPT_STEP:
		options->engine.step_ms = atoi(value);
		break;
	case OPT_FENCE:
		options->engine.checks_fence = TRUE;
		break;
	case OPT_TOKEN:
		options->engine.order_token = value;
		break;
	case OPT_LAG:
		options->engine.report_lag_ms = atoi(value);
		break;
	case OPT_LOADS:
		options->loads_per_second = g_ascii_strtod(value, NULL);
		break;
	case OPT_LOAD_MS:
		options->load_ms = atoi(value);
		break;
	case OPT_LINGER:
		options->engine.linger_ms = atoi(value);
		break;
	case OPT_HELP:
		fputs(usage, stdout);
		exit(0);
	case OPT_VERSION:
		puts("standin-engine " HC_VERSION);
		exit(0);
	default:
		fputs(usage, stderr);
		exit(2);
	}
}

int main(int argc, char **argv)
{
	options_t options = {{4, 8, 10, FALSE, NULL, 0, 30000}, 2.5, 250, 1, 0};
	store_model_t *store;
	int option;
	int i;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		apply_option(&options, option, optarg);
	log_init("standin-engine", "", LOG_INFO);
	store = store_model_create(options.loads_per_second, 8,
				   options.load_ms);
	for (i = 0; i < options.count; i++)
		engine_start(&options, i, store);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	return 0;
}
