#ifndef BASE_LOG_H
#define BASE_LOG_H

/*
 * Structured logging: one JSON object per line on standard output.
 *
 * Each line contains the wall-clock time in milliseconds, the level, the
 * program, the instance, a short event name and string fields, which are passed
 * as pairs of name and value:
 *
 *	log_info("load granted", "adapter", name, "endpoint", id, NULL);
 *
 * The list of fields ends with NULL; a NULL value is written as an empty
 * string.  Lines below the level set by log_init() are dropped.
 *
 * log_set_rate_limit() limits the number of lines per event and second, and
 * makes standard output non-blocking: a line that can't be written at once,
 * such as to a full pipe, is dropped or cut.  hc_log_dropped_total counts all
 * dropped and cut lines.
 * Lines above the limit are also reported by a line "log lines dropped" before
 * the first line of the same event in a later second.
 */

#include <glib.h>

typedef enum { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR } log_level_t;

/* Call once at startup.  The strings are not copied. */
void log_init(const char *program, const char *instance, log_level_t level);

void log_set_level(log_level_t level);

/* Limits the lines per event and second, and makes logging non-blocking. */
void log_set_rate_limit(int lines_per_second);

/* Parses "debug", "info", "warn" or "error"; FALSE for anything else. */
gboolean log_level_parse(const char *name, log_level_t *level);

void log_debug(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_info(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_warn(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_error(const char *event, ...) G_GNUC_NULL_TERMINATED;

#endif
