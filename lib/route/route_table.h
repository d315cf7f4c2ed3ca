#ifndef ROUTE_ROUTE_TABLE_H
#define ROUTE_ROUTE_TABLE_H

/*
 * One version of the operators' configuration: routes, services, limits and
 * organisations.
 *
 * A table is immutable once it is sealed.  Each request holds a reference to
 * the table under which it was admitted, so that the table outlives its
 * replacement by a newer version.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "route/organisations.h"

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
	char *prefix; /* of the path as sent, not decoded */
	route_kind_t kind;
	ms_t timeout; /* the longest time that a caller waits */
	ms_t goal;    /* target time of an answer */
	ms_t pause;   /* longest pause between events in time; 0 for no limit */
	int attempts; /* limit of endpoints to which a request is sent */
	int priority; /* 0 is the highest */
	gboolean is_resumable;
	gboolean is_public; /* needs no key of an organisation */
	GArray *targets;    /* of route_target_t */
} route_t;

typedef struct {
	char *name;
	int connections_max; /* of one endpoint, by all callers */
	gboolean is_engine;
	int adapter_slots;  /* of an engine; 0 if it holds no adapters */
	int64_t tokens_max; /* that an engine can hold; 0 if not known */
	char *model;	    /* the first base model of an engine; may be NULL */
} service_t;

typedef struct {
	size_t head_max; /* bytes of a request's header section */
	size_t body_max; /* bytes of a request's body */
	ms_t head_timeout;
	ms_t idle_timeout; /* of a keep-alive connection */
} route_limits_t;

typedef struct route_table route_table_t;

route_table_t *route_table_create(int64_t version);
route_table_t *route_table_ref(route_table_t *table);
void route_table_unref(route_table_t *table);

int64_t route_table_version(const route_table_t *table);
guint route_table_count(const route_table_t *table);

/* Add items to a table that is not yet sealed; the table owns them. */
route_t *route_table_add(route_table_t *table);
void route_add_target(route_t *route, const char *service, int64_t weight);
service_t *route_table_add_service(route_table_t *table);
route_limits_t *route_table_limits(route_table_t *table);
/* Gives the table its organisations; it owns them. */
void route_table_set_organisations(route_table_t *table,
				   organisations_t *organisations);

/* Builds the indices after the last item was added. */
void route_table_seal(route_table_t *table);

/*
 * Returns the route of the host with the longest matching prefix of the path,
 * or NULL.  The host is compared without its port and regardless of case.
 */
const route_t *route_table_find(const route_table_t *table, const char *host,
				const char *path);

const service_t *route_table_service(const route_table_t *table,
				     const char *name);

/* Returns NULL if the configuration has no list of organisations. */
const organisations_t *route_table_organisations(const route_table_t *table);

/* Returns one of the services of a route, at random by weight. */
const char *route_choose_service(const route_t *route, GRand *rand);

#endif
