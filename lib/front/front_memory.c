#include <malloc.h>
#include <sys/resource.h>

#include "front/front_private.h"

/*
 * Descriptors for files, the store, other instances and the program itself; the
 * rest is for callers and endpoints.
 */
#define DESCRIPTORS_RESERVED 700

/* Connections of callers under a limit of the system that is too low. */
#define CALLERS_MIN 64

/*
 * Parts of the memory: for all that callers make the instance keep, for bodies
 * of ordinary size alone, and for answers on their way to callers.
 */
#define CALLERS_MEMORY_PERCENT 40
#define RESERVE_MEMORY_PERCENT 10
#define ANSWERS_MEMORY_PERCENT 20

/*
 * Larger blocks are given back to the system as soon as they are freed.  By
 * default glibc raises this bound to the largest block that was freed.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

#define BYTES_PER_MB 1e6

/*
 * Of callers, and as many of endpoints: half of the descriptors that are not
 * reserved.
 */
guint front_connections_max(const front_t *front)
{
	int64_t descriptors = front->settings.descriptors;
	struct rlimit limit;

	if (!getrlimit(RLIMIT_NOFILE, &limit) &&
	    limit.rlim_cur < (rlim_t)descriptors)
		descriptors = (int64_t)limit.rlim_cur;
	return (guint)(MAX(descriptors - DESCRIPTORS_RESERVED,
			   CALLERS_MIN * 2) /
		       2);
}

static size_t memory_percent(const front_t *front, int percent)
{
	return (size_t)(front->settings.memory_mb * BYTES_PER_MB * percent /
			100);
}

void front_create_memory(front_t *front)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	front->memory = memory_budget_create(
		memory_percent(front, CALLERS_MEMORY_PERCENT),
		memory_percent(front, RESERVE_MEMORY_PERCENT),
		memory_percent(front, ANSWERS_MEMORY_PERCENT));
}
