/*
 * hc-load: sends requests to entries, checks each answer, reports times.
 *
 * See docs/commands/hc-load.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/version.h"
#include "load/runner.h"

/* Exit statuses besides 0. */
#define EXIT_WRONG 1
#define EXIT_USAGE 2

#define ENTRIES_MAX 64
#define COUNT_MAX   1000000

typedef struct {
	runner_options_t run;
	target_t entries[ENTRIES_MAX];
	target_t direct;
	const char *json; /* file to write, or NULL */
} options_t;

static const char usage[] =
	"usage: hc-load --entry HOST:PORT [--entry ...] [options]\n"
	"  --entry HOST:PORT      an entry; given several, they take turns\n"
	"  --direct HOST:PORT     send every second round to this engine\n"
	"  --tokens A,B,...       bearer tokens of the callers (token)\n"
	"  --callers N            callers (8)\n"
	"  --rate N               requests a second; without it, a closed "
	"loop\n"
	"  --duration S           seconds in which requests begin (10)\n"
	"  --timeout S            seconds allowed for a request (60)\n"
	"  --adapters N           adapters in use (10)\n"
	"  --adapter-prefix TEXT  names are TEXT0, TEXT1, ... (adapter-)\n"
	"  --adapter-version TEXT version of all adapters (1)\n"
	"  --skew X               exponent of Zipf's law (1.0)\n"
	"  --round N              requests in a delivery round (1)\n"
	"  --max-tokens N         tokens in an answer (16)\n"
	"  --whole                ask for answers that are not streamed\n"
	"  --service PATH         send orders to the plain service of this "
	"path\n"
	"  --non-idempotent N     percent of requests sent with a key (0)\n"
	"  --retries N            times that a request is sent again (0)\n"
	"  --seed N               seed of all random choices (1)\n"
	"  --json FILE            also write the result as JSON\n"
	"  --help, --version\n";

enum {
	OPT_ENTRY = 256,
	OPT_DIRECT,
	OPT_TOKENS,
	OPT_CALLERS,
	OPT_RATE,
	OPT_DURATION,
	OPT_TIMEOUT,
	OPT_ADAPTERS,
	OPT_PREFIX,
	OPT_ADAPTER_VERSION,
	OPT_SKEW,
	OPT_ROUND,
	OPT_MAX_TOKENS,
	OPT_WHOLE,
	OPT_SERVICE,
	OPT_NON_IDEMPOTENT,
	OPT_RETRIES,
	OPT_SEED,
	OPT_JSON,
	OPT_HELP,
	OPT_VERSION
};

static const struct option long_options[] = {
	{"entry", required_argument, NULL, OPT_ENTRY},
	{"direct", required_argument, NULL, OPT_DIRECT},
	{"tokens", required_argument, NULL, OPT_TOKENS},
	{"callers", required_argument, NULL, OPT_CALLERS},
	{"rate", required_argument, NULL, OPT_RATE},
	{"duration", required_argument, NULL, OPT_DURATION},
	{"timeout", required_argument, NULL, OPT_TIMEOUT},
	{"adapters", required_argument, NULL, OPT_ADAPTERS},
	{"adapter-prefix", required_argument, NULL, OPT_PREFIX},
	{"adapter-version", required_argument, NULL, OPT_ADAPTER_VERSION},
	{"skew", required_argument, NULL, OPT_SKEW},
	{"round", required_argument, NULL, OPT_ROUND},
	{"max-tokens", required_argument, NULL, OPT_MAX_TOKENS},
	{"whole", no_argument, NULL, OPT_WHOLE},
	{"service", required_argument, NULL, OPT_SERVICE},
	{"non-idempotent", required_argument, NULL, OPT_NON_IDEMPOTENT},
	{"retries", required_argument, NULL, OPT_RETRIES},
	{"seed", required_argument, NULL, OPT_SEED},
	{"json", required_argument, NULL, OPT_JSON},
	{"help", no_argument, NULL, OPT_HELP},
	{"version", no_argument, NULL, OPT_VERSION},
	{NULL, 0, NULL, 0}};

static G_GNUC_NORETURN void usage_error(const char *text, const char *remedy)
{
	fprintf(stderr, "hc-load: '%s': %s\n", text, remedy);
	exit(EXIT_USAGE);
}

static int64_t whole_number(const char *text, int64_t min)
{
	gint64 number;

	if (!g_ascii_string_to_signed(text, 10, min, COUNT_MAX, &number, NULL))
		usage_error(text, "give a whole number in range, see --help");
	return number;
}

static double positive_number(const char *text, gboolean may_be_zero)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (end == text || *end || !(number >= 0) || number > COUNT_MAX ||
	    (number <= 0 && !may_be_zero))
		usage_error(text, "give a positive number, see --help");
	return number;
}

static target_t target_parse(const char *text)
{
	const char *colon = strrchr(text, ':');
	gint64 port;

	if (!colon ||
	    !g_ascii_string_to_signed(colon + 1, 10, 1, 65535, &port, NULL))
		usage_error(text,
			    "give an address as HOST:PORT, with an IP number");
	return (target_t){g_strndup(text, (gsize)(colon - text)), (int)port};
}

static void add_entry(options_t *options, const char *text)
{
	if (options->run.entry_count == ENTRIES_MAX)
		usage_error(text, "too many entries; leave out some");
	options->entries[options->run.entry_count++] = target_parse(text);
}

static void parse_tokens(options_t *options, const char *text)
{
	g_strfreev(options->run.tokens);
	options->run.tokens = g_strsplit(text, ",", -1);
	if (!g_strv_length(options->run.tokens))
		usage_error(text, "give at least one token");
}

/* Parse an option of the plan; return FALSE if it is not one. */
static gboolean parse_plan_option(plan_options_t *plan, int option,
				  const char *value)
{
	switch (option) {
	case OPT_CALLERS:
		plan->callers = whole_number(value, 1);
		return TRUE;
	case OPT_ADAPTERS:
		plan->adapters = whole_number(value, 1);
		return TRUE;
	case OPT_PREFIX:
		plan->adapter_prefix = value;
		return TRUE;
	case OPT_ADAPTER_VERSION:
		plan->version = value;
		return TRUE;
	case OPT_SKEW:
		plan->skew = positive_number(value, TRUE);
		return TRUE;
	case OPT_ROUND:
		plan->round = whole_number(value, 1);
		return TRUE;
	case OPT_MAX_TOKENS:
		plan->tokens = whole_number(value, 1);
		return TRUE;
	case OPT_NON_IDEMPOTENT:
		plan->non_idempotent_percent = MIN(whole_number(value, 0), 100);
		return TRUE;
	case OPT_SEED:
		plan->seed = (guint32)whole_number(value, 0);
		return TRUE;
	default:
		return FALSE;
	}
}

static void parse_run_option(options_t *options, int option, const char *value)
{
	switch (option) {
	case OPT_ENTRY:
		add_entry(options, value);
		break;
	case OPT_DIRECT:
		options->direct = target_parse(value);
		options->run.direct = &options->direct;
		break;
	case OPT_TOKENS:
		parse_tokens(options, value);
		break;
	case OPT_RATE:
		options->run.rate = positive_number(value, FALSE);
		break;
	case OPT_DURATION:
		options->run.duration =
			(ms_t)(positive_number(value, FALSE) * MS_PER_S);
		break;
	case OPT_TIMEOUT:
		options->run.timeout =
			(ms_t)(positive_number(value, FALSE) * MS_PER_S);
		break;
	case OPT_WHOLE:
		options->run.is_streamed = FALSE;
		break;
	case OPT_SERVICE:
		options->run.service = value;
		options->run.is_streamed = FALSE;
		options->run.plan.non_idempotent_percent = 100;
		break;
	case OPT_RETRIES:
		options->run.retries = whole_number(value, 0);
		break;
	case OPT_JSON:
		options->json = value;
		break;
	case OPT_HELP:
		fputs(usage, stdout);
		exit(0);
	case OPT_VERSION:
		puts("hc-load " HC_VERSION);
		exit(0);
	default:
		fputs(usage, stderr);
		exit(EXIT_USAGE);
	}
}

/* The latency that the entries add, from percentiles of the same run. */
static double added_latency(tally_t *entries, tally_t *direct, series_t series,
			    double percent)
{
	return tally_percentile(entries, series, percent) -
	       tally_percentile(direct, series, percent);
}

static series_t added_series(const options_t *options)
{
	return options->run.is_streamed ? SERIES_FIRST_TOKEN : SERIES_WHOLE;
}

static void print_added(const options_t *options, tally_t *entries,
			tally_t *direct)
{
	series_t series = added_series(options);

	printf("added latency of %s, ms: p50 %.3f p99 %.3f\n",
	       options->run.is_streamed ? "the first token"
					: "the whole answer",
	       added_latency(entries, direct, series, 50),
	       added_latency(entries, direct, series, 99));
}

static JsonObject *options_json(const options_t *options)
{
	const plan_options_t *plan = &options->run.plan;
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "seed", plan->seed);
	json_object_set_int_member(object, "callers", plan->callers);
	json_object_set_double_member(object, "rate", options->run.rate);
	json_object_set_int_member(object, "duration_ms",
				   options->run.duration);
	json_object_set_int_member(object, "adapters", plan->adapters);
	json_object_set_double_member(object, "skew", plan->skew);
	json_object_set_int_member(object, "round", plan->round);
	json_object_set_int_member(object, "max_tokens", plan->tokens);
	json_object_set_int_member(object, "non_idempotent_percent",
				   plan->non_idempotent_percent);
	json_object_set_int_member(object, "retries", options->run.retries);
	json_object_set_boolean_member(object, "stream",
				       options->run.is_streamed);
	return object;
}

static void write_json(const options_t *options, tally_t *entries,
		       tally_t *direct)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *object = json_object_new();
	GError *error = NULL;
	char *text;

	json_object_set_object_member(object, "options", options_json(options));
	json_object_set_object_member(object, "entries", tally_json(entries));
	if (options->run.direct) {
		series_t series = added_series(options);

		json_object_set_object_member(object, "direct",
					      tally_json(direct));
		json_object_set_double_member(
			object, "added_p50_ms",
			added_latency(entries, direct, series, 50));
		json_object_set_double_member(
			object, "added_p99_ms",
			added_latency(entries, direct, series, 99));
	}
	json_node_take_object(root, object);
	text = json_to_string(root, TRUE);
	if (!g_file_set_contents(options->json, text, -1, &error)) {
		fprintf(stderr, "hc-load: %s\n", error->message);
		exit(EXIT_USAGE);
	}
	g_free(text);
	json_node_unref(root);
}

static void options_release(options_t *options)
{
	for (size_t i = 0; i < options->run.entry_count; i++)
		g_free((char *)options->entries[i].host);
	g_free((char *)options->direct.host);
	g_strfreev(options->run.tokens);
}

static gboolean is_all_right(tally_t *tally)
{
	return tally_verdicts(tally, VERDICT_RIGHT) > 0 &&
	       tally_verdicts(tally, VERDICT_WRONG) == 0;
}

int main(int argc, char **argv)
{
	options_t options = {.run = {.plan = {.adapter_prefix = "adapter-",
					      .version = "1",
					      .adapters = 10,
					      .skew = 1.0,
					      .callers = 8,
					      .round = 1,
					      .tokens = 16,
					      .seed = 1},
				     .duration = 10 * MS_PER_S,
				     .timeout = 60 * MS_PER_S,
				     .is_streamed = TRUE}};
	tally_t *entries = tally_create();
	tally_t *direct = tally_create();
	int status;
	int option;

	options.run.entries = options.entries;
	options.run.plan.run = ms_clock_wall();
	parse_tokens(&options, "token");
	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		if (!parse_plan_option(&options.run.plan, option, optarg))
			parse_run_option(&options, option, optarg);
	if (!options.run.entry_count || optind < argc) {
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	log_init("hc-load", "", LOG_WARN);
	runner_run(uv_default_loop(), &options.run, entries, direct);
	tally_print(entries, "entries");
	if (options.run.direct) {
		tally_print(direct, "direct");
		print_added(&options, entries, direct);
	}
	if (options.json)
		write_json(&options, entries, direct);
	status = is_all_right(entries) ? 0 : EXIT_WRONG;
	tally_destroy(entries);
	tally_destroy(direct);
	options_release(&options);
	return status;
}
