/*
 * hc-capacity: microbenchmarks of the parts of an instance, at several sizes.
 * See docs/commands/hc-capacity.md.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/version.h"
#include "capacity/capacity.h"
#include "fake_net.h"

#define EXIT_USAGE	2
#define REPEATS_DEFAULT 5
#define REPEATS_MAX	100

/* Virtual time for a fleet to settle, and for which it is then measured. */
#define SETTLE_MS     ((ms_t)300000)
#define MEASURED_MS   ((ms_t)120000)
#define MS_PER_SECOND 1000.0

/* Placement changes of one owner per hour. */
#define CHANGES_PER_HOUR_CURRENT 260.0 /* 3,000 adapters, 9 owners */
#define CHANGES_PER_HOUR_TARGET	 183.0 /* 82,000 adapters, 350 owners */

static const int member_sizes[] = {8, 16, 32, 64, 128, 350};
static const int adapter_sizes[] = {1000, 3000, 10000, 30000, 82000};
static const int conn_sizes[] = {16, 64, 256, 350};
static const int batch_sizes[] = {1, 2, 4, 8, 16, 32, 64};

static const char usage[] =
	"usage: hc-capacity [--repeats N] [--json FILE] [PART...]\n"
	"\n"
	"  -r, --repeats N  rounds of each measurement (default 5)\n"
	"  -j, --json FILE  write the figures as JSON as well\n"
	"  -h, --help       print this text\n"
	"  -V, --version    print the version\n"
	"\n"
	"Parts: member, news, wire, conn, http, table (default: all).\n";

typedef struct {
	int repeats;
	const char *json;
	char **parts; /* NULL-terminated; empty for all parts */
} options_t;

static void clear_bytes(fake_net_t *net)
{
	int i;

	for (i = 0; i < net->count; i++) {
		net->nodes[i].bytes_sent = 0;
		net->nodes[i].bytes_received = 0;
	}
}

static void report_bytes(report_t *report, const fake_net_t *net)
{
	double seconds = MEASURED_MS / MS_PER_SECOND;
	double most = 0;
	double sum = 0;
	int i;

	for (i = 0; i < net->count; i++) {
		const fake_node_t *node = &net->nodes[i];
		double bytes =
			(double)(node->bytes_sent + node->bytes_received) /
			seconds;

		sum += bytes;
		most = MAX(most, bytes);
	}
	report_add(report, "member.bytes_both_ways_mean", "bytes/s", net->count,
		   sum / net->count);
	report_add(report, "member.bytes_both_ways_most", "bytes/s", net->count,
		   most);
}

static void measure_member(report_t *report, int count, uint32_t seed)
{
	double before = allocated_bytes();
	fake_net_t *net = fake_net_create(count, 2, 4, seed);
	double start;
	int i;

	fake_net_start_all(net);
	fake_net_run(net, SETTLE_MS);
	report_add(report, "member.memory", "bytes", count,
		   (allocated_bytes() - before) / count);
	clear_bytes(net);
	start = process_cpu_us();
	fake_net_run(net, MEASURED_MS);
	report_add(report, "member.cpu", "us a second", count,
		   (process_cpu_us() - start) / count /
			   (MEASURED_MS / MS_PER_SECOND));
	report_bytes(report, net);
	for (i = 0; i < count; i++)
		g_assert(net->nodes[i].member);
	fake_net_destroy(net);
}

static void run_member(report_t *report, int round)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(member_sizes); i++)
		measure_member(report, member_sizes[i], (uint32_t)round);
}

static void run_news(report_t *report, int round)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(batch_sizes); i++)
		capacity_news_size(report, batch_sizes[i]);
	capacity_news(report, 8, CHANGES_PER_HOUR_CURRENT, (uint32_t)round);
	capacity_news(report, 87, CHANGES_PER_HOUR_TARGET, (uint32_t)round);
	capacity_news(report, 174, CHANGES_PER_HOUR_TARGET, (uint32_t)round);
	capacity_news(report, 349, CHANGES_PER_HOUR_TARGET, (uint32_t)round);
}

static void run_wire(report_t *report, int round)
{
	capacity_wire(report);
	capacity_counters(report);
}

static void run_conn(report_t *report, int round)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(conn_sizes); i++)
		capacity_connections(report, conn_sizes[i]);
}

static void run_http(report_t *report, int round)
{
	capacity_http(report);
}

static void run_table(report_t *report, int round)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(adapter_sizes); i++)
		capacity_placement(report, adapter_sizes[i]);
	capacity_assign(report, 9, 24);
	capacity_assign(report, 64, 620);
	capacity_assign(report, 350, 3400);
}

typedef struct {
	const char *name;
	void (*run)(report_t *report, int round);
} part_t;

static const part_t parts[] = {
	{"wire", run_wire},   {"conn", run_conn}, {"http", run_http},
	{"table", run_table}, {"news", run_news}, {"member", run_member},
};

static gboolean is_selected(const options_t *options, const char *name)
{
	return !options->parts[0] ||
	       g_strv_contains((const char *const *)options->parts, name);
}

static gboolean is_part(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (!strcmp(parts[i].name, name))
			return TRUE;
	}
	return FALSE;
}

static gboolean parse_repeats(const char *text, int *repeats)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 1, REPEATS_MAX, &number,
					NULL))
		return FALSE;
	*repeats = (int)number;
	return TRUE;
}

/* Returns -1 to continue, or an exit status. */
static int parse_options(int argc, char **argv, options_t *parsed)
{
	static const struct option options[] = {
		{"repeats", required_argument, NULL, 'r'},
		{"json", required_argument, NULL, 'j'},
		{"help", no_argument, NULL, 'h'},
		{"version", no_argument, NULL, 'V'},
		{NULL, 0, NULL, 0},
	};
	int option;
	int i;

	while ((option = getopt_long(argc, argv, "r:j:hV", options, NULL)) >=
	       0) {
		if (option == 'r' && parse_repeats(optarg, &parsed->repeats))
			continue;
		if (option == 'h') {
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		}
		if (option == 'V') {
			printf("hc-capacity %s\n", HC_VERSION);
			return EXIT_SUCCESS;
		}
		if (option != 'j') {
			fputs(usage, stderr);
			return EXIT_USAGE;
		}
		parsed->json = optarg;
	}
	parsed->parts = argv + optind;
	for (i = optind; i < argc; i++) {
		if (is_part(argv[i]))
			continue;
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	return -1;
}

static gboolean write_json(const report_t *report, const char *path)
{
	char *text = report_json(report);
	GError *error = NULL;
	gboolean is_written = g_file_set_contents(path, text, -1, &error);

	if (!is_written)
		fprintf(stderr, "hc-capacity: %s\n", error->message);
	g_clear_error(&error);
	g_free(text);
	return is_written;
}

int main(int argc, char **argv)
{
	options_t options = {.repeats = REPEATS_DEFAULT};
	int status = parse_options(argc, argv, &options);
	report_t *report;
	char *table;
	int round;
	size_t i;

	if (status >= 0)
		return status;
	log_init("hc-capacity", "", LOG_ERROR);
	report = report_create();
	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (!is_selected(&options, parts[i].name))
			continue;
		for (round = 1; round <= options.repeats; round++)
			parts[i].run(report, round);
	}
	table = report_table(report);
	fputs(table, stdout);
	g_free(table);
	status = EXIT_SUCCESS;
	if (options.json && !write_json(report, options.json))
		status = EXIT_FAILURE;
	report_destroy(report);
	return status;
}
