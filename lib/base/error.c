#include "base/error.h"

#include <string.h>

typedef struct {
	const char *name;
	int http_status;
} kind_info_t;

static const kind_info_t kinds[ERROR_KIND_COUNT] = {
	[ERROR_INVALID] = {"invalid", 400},
	[ERROR_TOO_LARGE] = {"too_large", 413},
	[ERROR_UNAUTHENTICATED] = {"unauthenticated", 401},
	[ERROR_FORBIDDEN] = {"forbidden", 403},
	[ERROR_NOT_FOUND] = {"not_found", 404},
	[ERROR_CONFLICT] = {"conflict", 409},
	[ERROR_OVERLOADED] = {"overloaded", 429},
	[ERROR_UNAVAILABLE] = {"unavailable", 503},
	[ERROR_TIMEOUT] = {"timeout", 504},
	[ERROR_PROTOCOL] = {"protocol", 502},
	[ERROR_FENCED] = {"fenced", 503},
	[ERROR_LOAD_FAILED] = {"load_failed", 503},
	[ERROR_CANCELLED] = {"cancelled", 499},
	[ERROR_INTERRUPTED] = {"interrupted", 502},
	[ERROR_INTERNAL] = {"internal", 500},
};

static const char *const outcomes[OUTCOME_COUNT] = {
	[OUTCOME_ANSWERED] = "answered",
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown",
};

GQuark error_quark(void)
{
	return g_quark_from_static_string("hawthorncross");
}

const char *error_kind_name(error_kind_t kind)
{
	g_assert(kind < ERROR_KIND_COUNT);
	return kinds[kind].name;
}

error_kind_t error_kind_parse(const char *name)
{
	int kind;

	for (kind = 0; kind < ERROR_KIND_COUNT; kind++) {
		if (!strcmp(kinds[kind].name, name))
			return (error_kind_t)kind;
	}
	return ERROR_INTERNAL;
}

error_kind_t error_kind(const GError *error)
{
	if (error->domain != HC_ERROR)
		return ERROR_INTERNAL;
	return (error_kind_t)error->code;
}

int error_http_status(error_kind_t kind)
{
	g_assert(kind < ERROR_KIND_COUNT);
	return kinds[kind].http_status;
}

const char *outcome_name(outcome_t outcome)
{
	g_assert(outcome < OUTCOME_COUNT);
	return outcomes[outcome];
}

void error_set(GError **error, error_kind_t kind, const char *format, ...)
{
	va_list args;

	if (!error)
		return;
	va_start(args, format);
	*error = g_error_new_valist(HC_ERROR, (gint)kind, format, args);
	va_end(args);
}
