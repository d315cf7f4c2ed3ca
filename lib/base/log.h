#ifndef BASE_LOG_H
#define BASE_LOG_H

/*
 * Structured log lines: one JSON object a line on standard output.
 *
 * Each line holds the wall-clock time in milliseconds, the level, the program,
 * the instance, a short event name and string fields given as pairs:
 *
 *	log_info("load granted", "adapter", name, "endpoint", id, NULL);
 *
 * The list of fields ends with NULL; a NULL value is written as an empty
 * string.  Lines below the level set by log_init() are dropped.
 *
 * Once log_set_rate_limit() was called, at most so many lines of one event are
 *written each second, and a line that the reader of a pipe is not ready to take
 *is dropped, so that a log never blocks.  What was dropped is counted by
 * hc_log_dropped_total and told by a line "log lines dropped" in the next
 * second.
 */

#include <glib.h>

typedef enum { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR } log_level_t;

/* Name the process once at its start.  The strings must outlive it. */
void log_init(const char *program, const char *instance, log_level_t level);

void log_set_level(log_level_t level);

/* Bound the lines of each event in a second, and never block. */
void log_set_rate_limit(int lines_per_second);

/* Parse "debug", "info", "warn" or "error"; FALSE for anything else. */
gboolean log_level_parse(const char *name, log_level_t *level);

void log_debug(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_info(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_warn(const char *event, ...) G_GNUC_NULL_TERMINATED;
void log_error(const char *event, ...) G_GNUC_NULL_TERMINATED;

#endif
