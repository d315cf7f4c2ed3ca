/* What a difference between two documents does to callers. */

#include <string.h>

#include "config/check.h"

const char *impact_name(impact_t impact)
{
	static const char *const names[] = {
		[IMPACT_REFUSES] = "may refuse callers",
		[IMPACT_ALTERS] = "alters service",
		[IMPACT_ADDS] = "serves more",
		[IMPACT_NONE] = "no effect on callers",
	};

	return names[impact];
}

/* A limit of 0 or none is no limit. */
static double limit_value(const char *json)
{
	double value = json ? g_ascii_strtod(json, NULL) : 0;

	return value > 0 ? value : G_MAXDOUBLE;
}

static impact_t limit_impact(const difference_t *difference)
{
	double before = limit_value(difference->before);
	double after = limit_value(difference->after);

	if (g_str_has_suffix(difference->path, ".limits"))
		return difference->kind == DIFF_ADDED ? IMPACT_REFUSES
						      : IMPACT_ADDS;
	if (before == after)
		return IMPACT_NONE;
	return after < before ? IMPACT_REFUSES : IMPACT_ADDS;
}

/* What a caller may use, who it is, and what serves it. */
static impact_t list_impact(const difference_t *difference)
{
	if (difference->kind == DIFF_REMOVED)
		return IMPACT_REFUSES;
	return difference->kind == DIFF_ADDED ? IMPACT_ADDS : IMPACT_ALTERS;
}

/* Whether the path is a list of objects or an item of it, not a member. */
static gboolean is_whole_item(const char *path)
{
	return g_str_has_suffix(path, "]") || !strchr(path, '[');
}

static impact_t service_impact(const difference_t *difference)
{
	static const char *const identities[] = {".path", ".base_model",
						 ".kind", ".service", NULL};
	int i;

	if (is_whole_item(difference->path))
		return list_impact(difference);
	for (i = 0; identities[i]; i++) {
		if (g_str_has_suffix(difference->path, identities[i]))
			return IMPACT_REFUSES;
	}
	return IMPACT_ALTERS;
}

static impact_t caller_impact(const difference_t *difference)
{
	const char *path = difference->path;

	if (is_whole_item(path) || g_str_has_suffix(path, ".token_sha256") ||
	    g_str_has_suffix(path, ".adapters") ||
	    g_str_has_suffix(path, ".services"))
		return list_impact(difference);
	return IMPACT_ALTERS;
}

impact_t difference_impact(const difference_t *difference)
{
	const char *path = difference->path;

	if (g_str_has_prefix(path, "operators") ||
	    g_str_has_prefix(path, "format"))
		return IMPACT_NONE;
	if (strstr(path, "].limits"))
		return limit_impact(difference);
	if (g_str_has_prefix(path, "callers"))
		return caller_impact(difference);
	if (g_str_has_prefix(path, "services") ||
	    g_str_has_prefix(path, "endpoints"))
		return service_impact(difference);
	if (g_str_has_prefix(path, "base_models"))
		return list_impact(difference);
	return IMPACT_ALTERS;
}

static gint compare_impact(gconstpointer a, gconstpointer b)
{
	const difference_t *first = *(difference_t *const *)a;
	const difference_t *second = *(difference_t *const *)b;
	impact_t worse = difference_impact(first);
	impact_t other = difference_impact(second);

	if (worse != other)
		return worse < other ? -1 : 1;
	return strcmp(first->path, second->path);
}

void check_sort_differences(GPtrArray *differences)
{
	g_ptr_array_sort(differences, compare_impact);
}
