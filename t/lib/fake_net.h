#ifndef FAKE_NET_H
#define FAKE_NET_H

/*
 * Memberships connected by an in-memory network, in virtual time.
 *
 * Messages are encoded and decoded as on a real connection.  They are delayed
 * by a random time, lost with the probability loss, and always lost if is_cut
 * returns TRUE.
 */

#include "member/member.h"

#define FAKE_STEP 10 /* milliseconds; resolution of virtual time */

typedef struct fake_net fake_net_t;

typedef struct {
	fake_net_t *net;
	int index;
	char *name;
	member_place_t place;
	member_t *member; /* NULL while it is down */
	int64_t generation_offered;
	int leave_requests;
	int64_t bytes_sent;
	int64_t bytes_received;
	int64_t messages_sent;
} fake_node_t;

struct fake_net {
	fake_node_t *nodes;
	int count;
	ms_t now;
	ms_t period;
	GRand *rand;
	double loss;
	ms_t delay_max;	       /* one way, within a region */
	ms_t region_delay_max; /* one way, between regions */
	gboolean (*is_cut)(const fake_net_t *net, const fake_node_t *from,
			   const fake_node_t *to);
	/* May be NULL. */
	void (*on_change)(fake_node_t *node, const member_info_t *info);
	void (*on_generation)(fake_node_t *node, int64_t generation);
	int64_t starts;
	void *wheel;
	void *ctx;
};

/* Create instances in regions "r0".. and evenly spread domains, all down. */
fake_net_t *fake_net_create(int count, int regions, int domains, uint32_t seed);
void fake_net_destroy(fake_net_t *net);

/* Start an instance with a list of all running instances. */
void fake_net_start(fake_net_t *net, int index);
void fake_net_start_all(fake_net_t *net);
/* Give every running instance a list of all running instances. */
void fake_net_list(fake_net_t *net);
/* Crash an instance: it stops without leaving. */
void fake_net_kill(fake_net_t *net, int index);

/* Advance virtual time. */
void fake_net_run(fake_net_t *net, ms_t duration);

/* Whether every other running instance has the named one in this state. */
gboolean fake_net_all_see(const fake_net_t *net, const char *name,
			  member_state_t state);
/*
 * Whether every running instance knows exactly the running ones, with their
 * places, as neither failed nor left.
 */
gboolean fake_net_is_converged(const fake_net_t *net);
/* Run until converged; returns the time taken, or MS_NEVER past the limit. */
ms_t fake_net_settle(fake_net_t *net, ms_t limit);

#endif
