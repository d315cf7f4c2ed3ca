#ifndef ROUTE_ROUTE_TABLE_H
#define ROUTE_ROUTE_TABLE_H

/*
 * One version of the operators' configuration: routes, services and limits.
 *
 * A table is filled once, sealed, and never changes after that.  Requests keep
 * a reference to the table that they were admitted under, so that it outlives
 * its replacement by a newer version.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

typedef enum {
	ROUTE_IDEMPOTENT,     /* may run more than once */
	ROUTE_NON_IDEMPOTENT, /* runs at most once */
	ROUTE_STREAMING	      /* events; at most once unless resumable */
} route_kind_t;

typedef struct {
	char *service;
	int64_t weight;
} route_target_t;

typedef struct {
	char *name;
	char *host;   /* in lower case */
	char *prefix; /* of the path as it was sent */
	route_kind_t kind;
	ms_t timeout; /* the longest that a caller is kept waiting */
	ms_t goal;    /* an answer within it is on time */
	ms_t pause;   /* events further apart are late; 0 if none is stated */
	int attempts; /* endpoints that one request may be sent to */
	int priority; /* 0 goes first */
	gboolean is_resumable;
	GArray *targets; /* of route_target_t */
} route_t;

typedef struct {
	char *name;
	int connections_max; /* that one endpoint takes from all callers */
	gboolean is_engine;
	int adapter_slots; /* of an engine; 0 if it holds no adapters */
	char *model;	   /* the first base model of an engine; may be NULL */
} service_t;

typedef struct {
	size_t head_max; /* bytes of the head of a request */
	size_t body_max; /* bytes of its body */
	ms_t head_timeout;
	ms_t idle_timeout; /* of a kept connection */
} route_limits_t;

typedef struct route_table route_table_t;

route_table_t *route_table_create(int64_t version);
route_table_t *route_table_ref(route_table_t *table);
void route_table_unref(route_table_t *table);

int64_t route_table_version(const route_table_t *table);
guint route_table_count(const route_table_t *table);

/* Filling it; what is added belongs to the table. */
route_t *route_table_add(route_table_t *table);
void route_add_target(route_t *route, const char *service, int64_t weight);
service_t *route_table_add_service(route_table_t *table);
route_limits_t *route_table_limits(route_table_t *table);

/* After the last route. */
void route_table_seal(route_table_t *table);

/*
 * The route of the host with the longest prefix of the path, or NULL.  A port
 * after the host is passed over, and the host's case doesn't count.
 */
const route_t *route_table_find(const route_table_t *table, const char *host,
				const char *path);

const service_t *route_table_service(const route_table_t *table,
				     const char *name);

/* One of the services of a route, by weight. */
const char *route_choose_service(const route_t *route, GRand *rand);

#endif
