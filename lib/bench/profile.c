#include "bench/profile.h"

#include "base/settings.h"

#define US_PER_SECOND 1000000.0

#define INT_OPTION(field, low, high)                                           \
	{                                                                      \
		.name = #field, .type = SETTING_INT, .value = &profile->field, \
		.min = (low), .max = (high)                                    \
	}

profile_t *profile_load(const char *path, GError **error)
{
	profile_t *profile = g_new0(profile_t, 1);
	const setting_t table[] = {
		{.name = "name", .type = SETTING_TEXT, .value = &profile->name},
		INT_OPTION(endpoints, 1, 10000),
		INT_OPTION(instances, 1, 1000),
		INT_OPTION(adapters, 0, 1000000),
		INT_OPTION(slots, 1, 10000),
		INT_OPTION(places, 1, 10000),
		INT_OPTION(loads_per_1000s, 1, 1000000),
		INT_OPTION(transit_limit, 1, 10000),
		INT_OPTION(load_ms, 1, 100000),
		INT_OPTION(skew_thousandths, 0, 5000),
		INT_OPTION(requests_per_1000s, 1, 100000000),
		INT_OPTION(round_min, 1, 1000),
		INT_OPTION(round_max, 1, 1000),
		INT_OPTION(think_ms, 0, 1000000),
		INT_OPTION(prompt_tokens, 1, 100000),
		INT_OPTION(answer_tokens, 1, 100000),
		INT_OPTION(step_base_us, 1, 10000000),
		INT_OPTION(step_place_us, 0, 10000000),
		INT_OPTION(prefill_token_us, 0, 1000000),
		INT_OPTION(callers, 1, 100000),
		INT_OPTION(seconds, 10, 100000),
		INT_OPTION(patience_ms, 1, 10000000),
		INT_OPTION(stall_weight_thousandths, 0, 1000),
		{.name = NULL},
	};

	if (!settings_load(path, table, error)) {
		profile_destroy(profile);
		return NULL;
	}
	return profile;
}

void profile_destroy(profile_t *profile)
{
	if (!profile)
		return;
	g_free(profile->name);
	g_free(profile);
}

double profile_capacity(const profile_t *profile)
{
	double places = (double)profile->places;
	double step = (double)profile->step_base_us +
		      (double)profile->step_place_us * places;
	double prefill = (double)profile->prompt_tokens *
			 (double)profile->prefill_token_us;
	/*
	 * A prefill delays the whole batch, so each answer costs its share of
	 * the steps and all of its prefill.
	 */
	double answer =
		(double)profile->answer_tokens * step / places + prefill;

	if (profile->adapters == 0)
		answer = (double)profile->step_base_us / places;
	return (double)profile->endpoints * US_PER_SECOND / answer;
}
