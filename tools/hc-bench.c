/*
 * hc-bench: simulates scheduling policies and compares them with baselines.
 *
 * Runs the code of lib/sched in virtual time, for services described by
 * profiles, and all policies on the same traces.  Prints a table and writes
 * every run, with its seed, to STEM.json and STEM.tsv.
 */

#include <getopt.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/version.h"
#include "base/json_build.h"
#include "bench/bound.h"
#include "bench/cluster.h"

typedef struct {
	GPtrArray *profiles;   /* paths */
	const char *scenarios; /* comma-separated names, or NULL for all */
	const char *policies;  /* comma-separated names, or NULL for all */
	const char *out;
	const char *commit;
	int64_t slots; /* 0 as in the profile */
	int64_t skew;  /* thousandths; -1 as in the profile */
	int64_t rate;  /* percent of the profile's */
	int seeds;
	JsonBuilder *json;
	GString *table; /* the runs as tab-separated lines */
} options_t;

static const struct option long_options[] = {
	{"profile", required_argument, NULL, 'p'},
	{"scenario", required_argument, NULL, 's'},
	{"policy", required_argument, NULL, 'y'},
	{"seeds", required_argument, NULL, 'n'},
	{"slots", required_argument, NULL, 'l'},
	{"skew", required_argument, NULL, 'k'},
	{"rate", required_argument, NULL, 'r'},
	{"out", required_argument, NULL, 'o'},
	{"commit", required_argument, NULL, 'c'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static void usage(FILE *out)
{
	fputs("usage: hc-bench --profile FILE... [--scenario A,B] "
	      "[--policy A,B]\n"
	      "                [--seeds N] [--slots N] [--skew THOUSANDTHS]\n"
	      "                [--rate PERCENT] [--out STEM] [--commit ID]\n",
	      out);
}

static gboolean is_selected(const char *names, const char *name)
{
	char **list;
	gboolean found;

	if (!names)
		return TRUE;
	list = g_strsplit(names, ",", -1);
	found = g_strv_contains((const char *const *)list, name);
	g_strfreev(list);
	return found;
}

static void add_number(JsonBuilder *json, const char *name, double value)
{
	json_builder_set_member_name(json, name);
	json_builder_add_double_value(json, value);
}

static void add_row(options_t *options, const profile_t *profile,
		    scenario_t scenario, const char *policy, int seed,
		    const measures_t *measures)
{
	JsonBuilder *json = options->json;
	const measure_field_t *field;

	g_string_append_printf(options->table, "%s\t%s\t%s\t%d", profile->name,
			       scenario_name(scenario), policy, seed);
	json_builder_begin_object(json);
	json_build_text(json, "service", profile->name);
	json_build_text(json, "scenario", scenario_name(scenario));
	json_build_text(json, "policy", policy);
	add_number(json, "seed", seed);
	add_number(json, "slots", (double)profile->slots);
	add_number(json, "skew_thousandths", (double)profile->skew_thousandths);
	add_number(json, "requests_per_1000s",
		   (double)profile->requests_per_1000s);
	for (field = measure_fields; field->name; field++) {
		double value = measure_get(measures, field);

		add_number(json, field->name, value);
		g_string_append_printf(options->table, "\t%g", value);
	}
	g_string_append_c(options->table, '\n');
	json_builder_end_object(json);
}

static void print_header(const profile_t *profile, scenario_t scenario,
			 int seeds)
{
	printf("\n%s, %s (slots %d, skew %.2f, %.2f requests/s, %d seeds)\n",
	       profile->name, scenario_name(scenario), (int)profile->slots,
	       (double)profile->skew_thousandths / 1000,
	       (double)profile->requests_per_1000s / 1000, seeds);
	printf("%-14s %7s %7s %7s %7s %8s %6s %6s %7s %7s %5s %6s %6s %6s "
	       "%6s %7s %7s %6s\n",
	       "policy", "stalled", "p50 ms", "p95 ms", "p99 ms", "sum s",
	       "batch", "b.wait", "ft50 ms", "ft95 ms", "tok95", "refus",
	       "aband", "loads", "fair", "tail99", "urgent", "useful");
}

static void print_row(const char *policy, const measures_t *m)
{
	printf("%-14s %7.3f %7.0f %7.0f %7.0f %8.1f %6.3f %6.3f %7.0f %7.0f "
	       "%5.0f %6.0f %6.0f %6.0f %6.3f %7.0f %7.0f %6.3f\n",
	       policy, m->stalled_share, m->stall_p50, m->stall_p95,
	       m->stall_p99, m->stall_sum, m->batch, m->batch_waiting,
	       m->first_p50, m->first_p95, m->token_p95, m->refusals,
	       m->abandoned, m->loads, m->fairness, m->tail_p99, m->urgent_p95,
	       m->useful);
}

static void print_causes_header(void)
{
	printf("%-14s %8s %8s %8s | %8s %8s %8s %8s\n", "stall sum (s)",
	       "first", "again", "copy", "pause", "grant", "load", "place");
}

static void print_causes(const char *policy, const measures_t *m)
{
	printf("%-14s %8.1f %8.1f %8.1f | %8.1f %8.1f %8.1f %8.1f\n", policy,
	       m->miss_first, m->miss_again, m->miss_copy, m->wait_pause,
	       m->wait_grant, m->wait_load, m->wait_place);
}

/* Names of the offline bounds, which are selected like policies. */
static const char *const bound_names[] = {
	[BOUND_POOL] = "bound",
	[BOUND_LOCATED] = "located",
};

#define BOUND_COUNT ((int)G_N_ELEMENTS(bound_names))

static result_t *run_seed(const profile_t *profile, const trace_t *trace,
			  scenario_t scenario, const char *name, int seed)
{
	const policy_t *policy = policy_find(name);
	bound_kind_t kind = BOUND_LOCATED;

	if (policy)
		return cluster_run(profile, trace, scenario, policy, seed);
	if (!strcmp(name, bound_names[BOUND_POOL]))
		kind = BOUND_POOL;
	return bound_run(profile, trace, scenario, kind, seed);
}

/* Run all seeds and compute the mean of each measure. */
static void run_policy(options_t *options, const profile_t *profile,
		       scenario_t scenario, const char *name, measures_t *mean)
{
	const measure_field_t *field;
	int seed;

	*mean = (measures_t){0};
	for (seed = 1; seed <= options->seeds; seed++) {
		trace_t *trace = trace_create(profile, scenario, seed);
		result_t *result =
			run_seed(profile, trace, scenario, name, seed);
		measures_t measures;

		result_measures(result, profile, &measures);
		add_row(options, profile, scenario, name, seed, &measures);
		for (field = measure_fields; field->name; field++)
			*(double *)((char *)mean + field->offset) +=
				measure_get(&measures, field) / options->seeds;
		result_destroy(result);
		trace_destroy(trace);
	}
	print_row(name, mean);
	fflush(stdout);
}

typedef struct {
	measures_t least_load;
	measures_t hash;
	measures_t ours;
	measures_t bounds[BOUND_COUNT];
} summary_t;

/* Print the ratios for which targets are set. */
static void print_summary(const summary_t *summary)
{
	double baseline =
		MIN(summary->least_load.stall_sum, summary->hash.stall_sum);
	double batch = MAX(summary->least_load.batch, summary->hash.batch);

	if (baseline > 0)
		printf("stall sum to the better baseline %.2f (target 0.50)",
		       summary->ours.stall_sum / baseline);
	if (summary->bounds[BOUND_POOL].stall_sum > 0)
		printf(", to the bound %.2f (target 1.30)",
		       summary->ours.stall_sum /
			       summary->bounds[BOUND_POOL].stall_sum);
	if (batch > 0 && summary->bounds[BOUND_POOL].batch > 0)
		printf("; batch to the better baseline %.2f (target 1.00), to "
		       "the bound %.2f (target 0.90)",
		       summary->ours.batch / batch,
		       summary->ours.batch / summary->bounds[BOUND_POOL].batch);
	if (summary->bounds[BOUND_LOCATED].batch > 0)
		printf(", to the located bound %.2f",
		       summary->ours.batch /
			       summary->bounds[BOUND_LOCATED].batch);
	printf("\n");
}

static void print_all_causes(const options_t *options, const measures_t *means,
			     const measures_t *bounds)
{
	int i;

	print_causes_header();
	for (i = 0; i < policy_count; i++)
		if (is_selected(options->policies, policies[i].name))
			print_causes(policies[i].name, &means[i]);
	for (i = 0; i < BOUND_COUNT; i++)
		if (is_selected(options->policies, bound_names[i]))
			print_causes(bound_names[i], &bounds[i]);
}

static void run_scenario(options_t *options, const profile_t *profile,
			 scenario_t scenario)
{
	summary_t summary = {0};
	measures_t *means = g_new0(measures_t, policy_count);
	int i;

	print_header(profile, scenario, options->seeds);
	for (i = 0; i < policy_count; i++) {
		const policy_t *policy = &policies[i];

		if (!is_selected(options->policies, policy->name))
			continue;
		run_policy(options, profile, scenario, policy->name, &means[i]);
		if (!strcmp(policy->name, "least-load"))
			summary.least_load = means[i];
		else if (!strcmp(policy->name, "hash"))
			summary.hash = means[i];
		else if (!strcmp(policy->name, "ours"))
			summary.ours = means[i];
	}
	for (i = 0; i < BOUND_COUNT && profile->adapters > 0; i++)
		if (is_selected(options->policies, bound_names[i]))
			run_policy(options, profile, scenario, bound_names[i],
				   &summary.bounds[i]);
	if (profile->adapters > 0)
		print_all_causes(options, means, summary.bounds);
	print_summary(&summary);
	g_free(means);
}

/* Scenarios about adapters do not apply to a plain service. */
static gboolean is_applicable(const profile_t *profile, scenario_t scenario)
{
	if (profile->adapters > 0)
		return TRUE;
	return scenario != SCENARIO_SHIFT && scenario != SCENARIO_RESTART &&
	       scenario != SCENARIO_FAILURES;
}

static gboolean run_profile(options_t *options, const char *path)
{
	GError *error = NULL;
	profile_t *profile = profile_load(path, &error);
	int scenario;

	if (!profile) {
		fprintf(stderr, "hc-bench: %s\n", error->message);
		g_error_free(error);
		return FALSE;
	}
	if (options->slots > 0)
		profile->slots = options->slots;
	if (options->skew >= 0)
		profile->skew_thousandths = options->skew;
	profile->requests_per_1000s =
		profile->requests_per_1000s * options->rate / 100;
	for (scenario = 0; scenario < SCENARIO_COUNT; scenario++) {
		if (is_selected(options->scenarios, scenario_name(scenario)) &&
		    is_applicable(profile, scenario))
			run_scenario(options, profile, scenario);
	}
	profile_destroy(profile);
	return TRUE;
}

static char *out_path(const options_t *options, const char *suffix)
{
	return g_strconcat(options->out, suffix, NULL);
}

static gboolean write_json(options_t *options, GError **error)
{
	JsonGenerator *generator = json_generator_new();
	JsonNode *root = json_builder_get_root(options->json);
	char *path = out_path(options, ".json");
	gboolean ok;

	json_generator_set_root(generator, root);
	json_generator_set_pretty(generator, TRUE);
	ok = json_generator_to_file(generator, path, error);
	json_node_unref(root);
	g_object_unref(generator);
	g_free(path);
	return ok;
}

static gboolean write_table(options_t *options, GError **error)
{
	GString *text = g_string_new("service\tscenario\tpolicy\tseed");
	char *path = out_path(options, ".tsv");
	const measure_field_t *field;
	gboolean ok;

	for (field = measure_fields; field->name; field++)
		g_string_append_printf(text, "\t%s", field->name);
	g_string_append_printf(text, "\n%s", options->table->str);
	ok = g_file_set_contents(path, text->str, -1, error);
	g_string_free(text, TRUE);
	g_free(path);
	return ok;
}

static gboolean write_results(options_t *options)
{
	GError *error = NULL;

	if (!options->out)
		return TRUE;
	if (write_json(options, &error) && write_table(options, &error))
		return TRUE;
	fprintf(stderr, "hc-bench: %s\n", error->message);
	g_error_free(error);
	return FALSE;
}

static gboolean parse_option(options_t *options, int option)
{
	switch (option) {
	case 'p':
		g_ptr_array_add(options->profiles, optarg);
		return TRUE;
	case 's':
		options->scenarios = optarg;
		return TRUE;
	case 'y':
		options->policies = optarg;
		return TRUE;
	case 'n':
		options->seeds = MAX(atoi(optarg), 1);
		return TRUE;
	case 'l':
		options->slots = atoi(optarg);
		return TRUE;
	case 'k':
		options->skew = atoi(optarg);
		return TRUE;
	case 'r':
		options->rate = atoi(optarg);
		return TRUE;
	case 'o':
		options->out = optarg;
		return TRUE;
	case 'c':
		options->commit = optarg;
		return TRUE;
	default:
		return FALSE;
	}
}

static gboolean run_all(options_t *options)
{
	gboolean ok = TRUE;
	unsigned int i;

	options->table = g_string_new(NULL);
	options->json = json_builder_new();
	json_builder_begin_object(options->json);
	json_build_text(options->json, "commit", options->commit);
	json_builder_set_member_name(options->json, "runs");
	json_builder_begin_array(options->json);
	for (i = 0; i < options->profiles->len && ok; i++)
		ok = run_profile(options,
				 g_ptr_array_index(options->profiles, i));
	json_builder_end_array(options->json);
	json_builder_end_object(options->json);
	ok = ok && write_results(options);
	g_string_free(options->table, TRUE);
	g_object_unref(options->json);
	return ok;
}

int main(int argc, char **argv)
{
	options_t options = {.profiles = g_ptr_array_new(),
			     .commit = "unknown",
			     .skew = -1,
			     .rate = 100,
			     .seeds = 1};
	gboolean ok = TRUE;
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) !=
	       -1) {
		if (option == 'h') {
			usage(stdout);
			return 0;
		}
		ok = ok && parse_option(&options, option);
	}
	if (!ok || optind < argc || options.profiles->len == 0) {
		usage(stderr);
		return 2;
	}
	ok = run_all(&options);
	g_ptr_array_free(options.profiles, TRUE);
	return ok ? 0 : 1;
}
