#ifndef OWN_ASSIGN_H
#define OWN_ASSIGN_H

/*
 * Assignment of endpoints to instances.
 *
 * The result depends only on the arguments, so instances with the same member
 * and endpoint lists compute the same assignment.  The endpoint counts of two
 * members differ by at most one.  Within that limit, an endpoint goes to a
 * member of its own failure domain if possible; ties are broken by rendezvous
 * hash.
 */

#include <glib.h>

typedef struct {
	const char *name;
	const char *failure_domain;
} assign_member_t;

typedef struct {
	const char *id;
	const char *failure_domain;
} assign_endpoint_t;

/*
 * Sets owners[i] to the index of the member that should own endpoints[i], or to
 * -1 if there are no members.  Neither list needs to be sorted.  Runs in
 * O(endpoint_count * member_count).
 */
void assign_endpoints(const assign_endpoint_t *endpoints, size_t endpoint_count,
		      const assign_member_t *members, size_t member_count,
		      int *owners);

#endif
