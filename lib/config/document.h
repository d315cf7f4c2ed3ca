#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

/*
 * The operators' configuration: one document in JSON with comments.
 *
 * A document_t is immutable.  Its reference count is atomic, so it may be
 * parsed on another thread.  Pointers returned by the getters remain valid
 * while a reference to the document is held.  Documents may share unchanged
 * parts (see parse_incremental.h).  The JSON tree is not retained.
 *
 * docs/operators.md documents the keys.  The id of an adapter version is
 * "name@version" everywhere.
 */

#include <glib.h>
#include <stdint.h>

typedef struct document document_t;

/* Maximum size of a document text in bytes. */
#define DOCUMENT_SIZE_MAX (8 * 1024 * 1024)

/* Maximum number of adapter versions per document, after expanding ranges. */
#define DOCUMENT_ADAPTERS_MAX 250000

/* Highest priority; 0 is the lowest.  Higher priorities are served first. */
#define DOCUMENT_PRIORITY_MAX 9

typedef enum { SERVICE_ENGINE, SERVICE_PLAIN } service_kind_t;

typedef enum {
	ROLE_VIEWER, /* may validate, and read the history and the status */
	ROLE_EDITOR  /* may also read, compare and commit documents */
} operator_role_t;

/* 0 means unlimited. */
typedef struct {
	double requests_per_second;
	int64_t concurrent_requests;
	int64_t queued_requests;
} document_limits_t;

typedef struct document_endpoint document_endpoint_t;

typedef struct {
	const char *name;
	service_kind_t kind;
	const char *base_model; /* engines; NULL for plain services */
	const char *path; /* plain services: "/order-desk/"; NULL for engines */
	document_limits_t limits;
	/* Limits of the engine's weight store; 0 for plain services. */
	double loads_per_second;
	int64_t loads_in_transit;
	/* Endpoints of this service, in document order. */
	const document_endpoint_t *const *endpoints;
	size_t endpoint_count;
} document_service_t;

struct document_endpoint {
	const char *id;
	const document_service_t *service;
	const char *address; /* a numeric IP address */
	int port;
	const char *region;
	const char *failure_domain;
	int64_t adapter_slots; /* 0 for plain services */
	int64_t concurrent_requests;
	gboolean checks_fencing; /* rejects orders with an old epoch */
	gboolean checks_orders;	 /* authenticates the sender of an order */
	const char *order_token; /* expected token; NULL unless checks_orders */
};

typedef struct {
	const char *id; /* "name@version" */
	const char *name;
	const char *version;
	const char *base_model;
} document_adapter_t;

/* Maximum number of distinct adapters that may follow one adapter in rounds. */
#define DOCUMENT_FOLLOWERS_MAX 4

typedef struct {
	const char *adapter; /* "name@version" */
	double likelihood;
} document_follower_t;

typedef struct document_access document_access_t;

typedef struct {
	const char *name;
	int64_t priority;
	document_limits_t limits;
	const document_access_t *access; /* for document_allows() */
} document_caller_t;

typedef struct {
	const char *name;
	operator_role_t role;
} document_operator_t;

typedef struct {
	const char *name;
	const char *const *failure_domains; /* ends with NULL */
} document_region_t;

/*
 * Parse a text, which the document doesn't refer to afterwards.  ERROR_INVALID
 * reports the first fault and the number of faults (validate.h lists them all);
 * ERROR_TOO_LARGE if the text exceeds DOCUMENT_SIZE_MAX.
 */
document_t *document_parse(const char *text, size_t size, int64_t generation,
			   GError **error);

document_t *document_ref(document_t *document);
void document_unref(document_t *document);

/* Returns the accepted generation; 0 for a text that is not committed. */
int64_t document_generation(const document_t *document);

/* From 0 (only load stalls count) to 1 (only batch efficiency counts). */
double document_batch_weight(const document_t *document);

/* Returns the caller with this bearer token, or NULL. */
const document_caller_t *document_find_caller(const document_t *document,
					      const char *token);

const document_caller_t *document_caller_by_name(const document_t *document,
						 const char *name);

const document_operator_t *document_find_operator(const document_t *document,
						  const char *token);

/* NULL if the document declares no such adapter version. */
const document_adapter_t *document_find_adapter(const document_t *document,
						const char *name,
						const char *version);

/* Like document_find_adapter(), by "name@version". */
const document_adapter_t *document_find_adapter_id(const document_t *document,
						   const char *id);

size_t document_adapter_count(const document_t *document);

/* Returns the adapters that follow one in declared rounds; NULL if none. */
const document_follower_t *document_followers(const document_t *document,
					      const char *adapter,
					      size_t *count);

/* Returns the service with the adapter's base model, or NULL. */
const document_service_t *
document_adapter_service(const document_t *document,
			 const document_adapter_t *adapter);

/* Whether the caller may use an adapter. */
gboolean document_allows(const document_caller_t *caller,
			 const document_adapter_t *adapter);

/* Whether the caller may use a plain service. */
gboolean document_allows_service(const document_caller_t *caller,
				 const document_service_t *service);

const document_service_t *document_find_service(const document_t *document,
						const char *name);

/* Returns the plain service whose path is the longest prefix, or NULL. */
const document_service_t *document_service_by_path(const document_t *document,
						   const char *path);

const document_endpoint_t *document_find_endpoint(const document_t *document,
						  const char *id);

/* Each returns all entries of one kind, in document order. */
const document_service_t *document_services(const document_t *document,
					    size_t *count);
const document_endpoint_t *document_endpoints(const document_t *document,
					      size_t *count);
const document_caller_t *document_callers(const document_t *document,
					  size_t *count);
const document_operator_t *document_operators(const document_t *document,
					      size_t *count);
const document_region_t *document_regions(const document_t *document,
					  size_t *count);

#endif
