#include "base/log.h"

#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"

/* Number of lines of one event in the current second. */
typedef struct {
	int64_t second;
	int written;
	int dropped;
} quota_t;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static const char *log_program = "";
static const char *log_instance = "";
static log_level_t log_threshold = LOG_INFO;
static int log_lines_max;      /* per event and second; 0: unlimited */
static GHashTable *log_quotas; /* event to quota_t */
/* A part of a line was written last; the next one begins on a new line. */
static gboolean is_line_cut;

void log_init(const char *program, const char *instance, log_level_t level)
{
	log_program = program;
	log_instance = instance;
	log_threshold = level;
}

void log_set_level(log_level_t level)
{
	log_threshold = level;
}

void log_set_rate_limit(int lines_per_second)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_lines_max = lines_per_second;
	if (!log_quotas)
		log_quotas = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, g_free);
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

gboolean log_level_parse(const char *name, log_level_t *level)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(level_names[i], name)) {
			*level = (log_level_t)i;
			return TRUE;
		}
	}
	return FALSE;
}

static void count_dropped(void)
{
	counter_add(counter_get("hc_log_dropped_total"), 1);
}

/* With a limit set, drops a line that can't be written without blocking. */
static void output_line(const char *text)
{
	char *line;
	size_t size;
	ssize_t done;

	if (!log_lines_max) {
		fprintf(stdout, "%s\n", text);
		fflush(stdout);
		return;
	}
	line = g_strconcat(is_line_cut ? "\n" : "", text, "\n", NULL);
	size = strlen(line);
	done = write(STDOUT_FILENO, line, size);
	if (done != (ssize_t)size)
		count_dropped();
	if (done > 0)
		is_line_cut = line[done - 1] != '\n';
	g_free(line);
}

static JsonObject *line_create(log_level_t level, const char *event)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "ts", ms_clock_wall());
	json_object_set_string_member(object, "level", level_names[level]);
	json_object_set_string_member(object, "program", log_program);
	json_object_set_string_member(object, "instance", log_instance);
	json_object_set_string_member(object, "event", event);
	return object;
}

static void line_write(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	output_line(text);
	g_free(text);
	json_node_free(node);
}

static void report_dropped(const char *event, int count)
{
	JsonObject *object = line_create(LOG_WARN, "log lines dropped");

	json_object_set_string_member(object, "of", event);
	json_object_set_int_member(object, "count", count);
	line_write(object);
}

/* Returns whether one more line of this event may be written this second. */
static gboolean quota_consume(const char *event)
{
	int64_t second = ms_clock_wall() / MS_PER_S;
	quota_t *quota = g_hash_table_lookup(log_quotas, event);
	int dropped;

	if (!quota) {
		quota = g_new0(quota_t, 1);
		g_hash_table_insert(log_quotas, g_strdup(event), quota);
	}
	if (quota->second != second) {
		dropped = quota->dropped;
		*quota = (quota_t){.second = second};
		if (dropped)
			report_dropped(event, dropped);
	}
	if (quota->written < log_lines_max) {
		quota->written++;
		return TRUE;
	}
	quota->dropped++;
	count_dropped();
	return FALSE;
}

static void write_line(log_level_t level, const char *event, va_list fields)
{
	JsonObject *object;
	const char *key;

	if (log_lines_max && !quota_consume(event))
		return;
	object = line_create(level, event);
	while ((key = va_arg(fields, const char *)) != NULL) {
		const char *value = va_arg(fields, const char *);

		json_object_set_string_member(object, key, value ? value : "");
	}
	line_write(object);
}

#define DEFINE_LOG(name, level)                                                \
	void name(const char *event, ...)                                      \
	{                                                                      \
		va_list fields;                                                \
                                                                               \
		if ((level) < log_threshold)                                   \
			return;                                                \
		va_start(fields, event);                                       \
		write_line((level), event, fields);                            \
		va_end(fields);                                                \
	}

DEFINE_LOG(log_debug, LOG_DEBUG)
DEFINE_LOG(log_info, LOG_INFO)
DEFINE_LOG(log_warn, LOG_WARN)
DEFINE_LOG(log_error, LOG_ERROR)
