/*
 * Prints what a document costs: time to parse it and to revise it after a
 * change, resident memory, and what a commit that changes one adapter writes.
 */

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/version.h"
#include "config/chunk.h"
#include "config/document.h"
#include "config/pack.h"
#include "config/parse_incremental.h"

#define DEFAULT_ADAPTERS  82000
#define DEFAULT_ENDPOINTS 3400
#define DEFAULT_SEED	  1
/* Of the token "operator". */
#define OPERATOR_SHA256                                                        \
	"06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
#define PARSES	  10
#define REVISIONS 21
#define CHANGES	  50
#define KIB	  1024.0
#define US_PER_MS 1000.0

static const struct option options[] = {
	{"adapters", required_argument, NULL, 'a'},
	{"endpoints", required_argument, NULL, 'e'},
	{"seed", required_argument, NULL, 's'},
	{"revisions", no_argument, NULL, 'r'},
	{"print", required_argument, NULL, 'p'},
	{"help", no_argument, NULL, 'h'},
	{"version", no_argument, NULL, 'v'},
	{NULL, 0, NULL, 0},
};

static const char usage[] =
	"usage: hc-config-cost [--adapters=N] [--endpoints=N] [--seed=N]\n"
	"       hc-config-cost [--adapters=N] [--endpoints=N] --revisions\n"
	"       hc-config-cost [--adapters=N] [--endpoints=N] --print=CHANGED\n"
	"\n"
	"The second form changes one adapter or endpoint after the other, as "
	"a\n"
	"program follows them.  The third prints the document itself; the "
	"adapter with the\n"
	"number CHANGED has another version (-1: none).\n";

/* A field of /proc/self/status, in KiB. */
static long read_status(const char *field)
{
	char line[256];
	long value = 0;
	FILE *file = fopen("/proc/self/status", "r");

	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file)) {
		if (g_str_has_prefix(line, field))
			value = strtol(line + strlen(field), NULL, 10);
	}
	fclose(file);
	return value;
}

/* changed is the adapter with another version, or -1. */
static GString *make_text(int adapters, int endpoints, int changed)
{
	GString *text = g_string_new(
		"{\n\"format\": 1,\n\"batch_weight\": 0.5,\n"
		"\"regions\": {\"north\": [\"a\", \"b\"]},\n"
		"\"services\": [{\"name\": \"assist\", \"kind\": \"engine\", "
		"\"base_model\": \"base\", \"weight_store\": "
		"{\"loads_per_second\": 4, \"loads_in_transit\": 8}}],\n"
		"\"base_models\": {\"base\": {\"adapters\": [\n");
	int i;

	for (i = 0; i < adapters; i++)
		g_string_append_printf(
			text, "\"team-%03d-adapter-%05d@%d\"%s\n", i % 400, i,
			i == changed ? 2 : 1, i + 1 < adapters ? "," : "");
	g_string_append(text, "]}},\n\"endpoints\": [\n");
	for (i = 0; i < endpoints; i++)
		g_string_append_printf(
			text,
			"{\"id\": \"assist-%d\", \"service\": \"assist\", "
			"\"address\": \"10.%d.%d.%d\", \"port\": 8000, "
			"\"region\": \"north\", \"failure_domain\": \"a\", "
			"\"adapter_slots\": 8, \"concurrent_requests\": 32, "
			"\"checks_fencing\": true}%s\n",
			i, i >> 16, (i >> 8) & 0xff, i & 0xff,
			i + 1 < endpoints ? "," : "");
	g_string_append_printf(
		text,
		"],\n\"callers\": [{\"name\": \"all\", "
		"\"token_sha256\": [\"%064x\"], "
		"\"adapters\": [\"*\"]}],\n"
		"\"operators\": [{\"name\": \"o\", \"role\": "
		"\"editor\", \"token_sha256\": [\"" OPERATOR_SHA256
		"\"]}]\n}\n",
		1);
	return text;
}

static double parse_once(const GString *text, document_t **document)
{
	gint64 start = g_get_monotonic_time();
	GError *error = NULL;

	*document = document_parse(text->str, text->len, 1, &error);
	if (!*document) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	return (double)(g_get_monotonic_time() - start) / US_PER_MS;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void print_parse(const GString *text)
{
	long before = read_status("VmRSS:");
	double times[PARSES];
	document_t *document = NULL;
	int i;

	for (i = 0; i < PARSES; i++) {
		document_t *previous = document;

		/* As in a program: the old one is in force until the new is. */
		times[i] = parse_once(text, &document);
		document_unref(previous);
	}
	qsort(times, PARSES, sizeof(times[0]), compare_doubles);
	printf("parse_ms_median %.1f\nparse_ms_max %.1f\n", times[PARSES / 2],
	       times[PARSES - 1]);
	printf("resident_kib_before %ld\nresident_kib_after %ld\n"
	       "resident_kib_peak %ld\n",
	       before, read_status("VmRSS:"), read_status("VmHWM:"));
	document_unref(document);
}

/* Let VmHWM begin anew. */
static void reset_peak(void)
{
	FILE *file = fopen("/proc/self/clear_refs", "w");

	if (!file)
		return;
	fputs("5", file);
	fclose(file);
}

static document_t *revise_once(const document_t *before, const GString *old,
			       const GString *text, double *ms)
{
	gint64 start = g_get_monotonic_time();
	document_t *document = document_parse_incremental(
		before, old->str, old->len, text->str, text->len, 1);

	if (!document) {
		fputs("a revision gave up\n", stderr);
		exit(1);
	}
	*ms = (double)(g_get_monotonic_time() - start) / US_PER_MS;
	return document;
}

/* Change after change, as in a program that follows them. */
static void print_revisions(const char *what, const GString *first,
			    int adapters, int endpoints, gboolean is_rest)
{
	GRand *rand = g_rand_new_with_seed(DEFAULT_SEED);
	GString *old = g_string_new_len(first->str, (gssize)first->len);
	double times[REVISIONS];
	document_t *document;
	int i;

	parse_once(old, &document);
	reset_peak();
	for (i = 0; i < REVISIONS; i++) {
		int place = g_rand_int_range(rand, 0, adapters);
		GString *text =
			is_rest ? make_text(adapters, endpoints + i % 2, -1)
				: make_text(adapters, endpoints, place);
		document_t *previous = document;

		document = revise_once(previous, old, text, &times[i]);
		document_unref(previous);
		g_string_free(old, TRUE);
		old = text;
	}
	qsort(times, REVISIONS, sizeof(times[0]), compare_doubles);
	printf("revise_%s_ms_median %.1f\nrevise_%s_ms_max %.1f\n"
	       "revise_%s_resident_kib_peak %ld\n",
	       what, times[REVISIONS / 2], what, times[REVISIONS - 1], what,
	       read_status("VmHWM:"));
	document_unref(document);
	g_string_free(old, TRUE);
	g_rand_free(rand);
}

/* Of a part on its way to a peer. */
static size_t packed_size(GBytes *part)
{
	GBytes *packed = pack(part);
	size_t size = g_bytes_get_size(packed ? packed : part);

	g_bytes_unref(packed);
	return size;
}

static void print_commits(const GString *text, int adapters, int endpoints,
			  guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	GHashTable *old = chunk_split(text->str, text->len);
	manifest_t *manifest = manifest_create(text->str, text->len);
	char *rendered = manifest_render(manifest);
	size_t rewritten = 0;
	size_t bytes = 0;
	size_t packed = 0;
	GBytes *part;
	int i;

	for (i = 0; i < CHANGES; i++) {
		GString *after = make_text(adapters, endpoints,
					   g_rand_int_range(rand, 0, adapters));
		GHashTable *chunks = chunk_split(after->str, after->len);
		GHashTableIter iter;
		gpointer name;
		gpointer chunk;

		g_hash_table_iter_init(&iter, chunks);
		while (g_hash_table_iter_next(&iter, &name, &chunk)) {
			if (g_hash_table_contains(old, name))
				continue;
			rewritten++;
			bytes += g_bytes_get_size(chunk);
			packed += packed_size(chunk);
		}
		g_hash_table_destroy(chunks);
		g_string_free(after, TRUE);
	}
	printf("chunks %u\nmanifest_bytes %zu\n", manifest->chunks->len,
	       strlen(rendered));
	printf("chunks_rewritten_mean %.2f\nchunk_kib_written_mean %.1f\n",
	       (double)rewritten / CHANGES, (double)bytes / CHANGES / KIB);
	printf("commit_kib_written_mean %.1f\n",
	       ((double)bytes / CHANGES + (double)strlen(rendered)) / KIB);
	part = g_bytes_new_take(rendered, strlen(rendered));
	printf("commit_kib_passed_mean %.1f\n",
	       ((double)packed / CHANGES + (double)packed_size(part)) / KIB);
	g_bytes_unref(part);
	manifest_destroy(manifest);
	g_hash_table_destroy(old);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	int adapters = DEFAULT_ADAPTERS;
	int endpoints = DEFAULT_ENDPOINTS;
	guint32 seed = DEFAULT_SEED;
	gboolean is_revisions = FALSE;
	gboolean is_print = FALSE;
	int changed = -1;
	GString *text;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (option) {
		case 'a':
			adapters = (int)strtol(optarg, NULL, 10);
			break;
		case 'e':
			endpoints = (int)strtol(optarg, NULL, 10);
			break;
		case 's':
			seed = (guint32)strtoul(optarg, NULL, 10);
			break;
		case 'p':
			is_print = TRUE;
			changed = (int)strtol(optarg, NULL, 10);
			break;
		case 'r':
			is_revisions = TRUE;
			break;
		case 'v':
			puts("hc-config-cost " HC_VERSION);
			return 0;
		default:
			fputs(usage, option == 'h' ? stdout : stderr);
			return option == 'h' ? 0 : 2;
		}
	}
	text = make_text(adapters, endpoints, changed);
	if (is_print) {
		fwrite(text->str, 1, text->len, stdout);
		g_string_free(text, TRUE);
		return 0;
	}
	printf("adapters %d\nendpoints %d\ntext_kib %.1f\n", adapters,
	       endpoints, (double)text->len / KIB);
	if (is_revisions) {
		print_revisions("adapter", text, adapters, endpoints, FALSE);
		print_revisions("rest", text, adapters, endpoints, TRUE);
		g_string_free(text, TRUE);
		return 0;
	}
	print_parse(text);
	print_commits(text, adapters, endpoints, seed);
	g_string_free(text, TRUE);
	return 0;
}
