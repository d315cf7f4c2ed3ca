#ifndef CREDIT_SIM_H
#define CREDIT_SIM_H

/*
 * Instances that enforce the limit of one organisation together, without
 * network: lib/credit with messages that take time, connections that break,
 * records that lapse at the store, and callers.
 *
 * Time passes in steps.  Whatever runs is recorded and checked against the
 * limits that were in force.
 */

#include "credit/credit_client.h"

#define CREDIT_SIM_STEP	    ((ms_t)5)
#define CREDIT_SIM_SLOT	    ((ms_t)50) /* of the record of what ran */
#define CREDIT_SIM_SLOTS    2400       /* 120 s */
#define CREDIT_SIM_NODES    1000
#define CREDIT_SIM_OVERAGE  0.1
#define CREDIT_SIM_LEASE_MS ((ms_t)2000)

typedef struct {
	guint seed;
	guint nodes;
	double rate;
	double burst;
	double slack;
	int cost_min;
	int cost_max;
	/* Percentage of the granted requests that are refused later. */
	int refused_percent;
} credit_sim_options_t;

typedef struct credit_sim credit_sim_t;

credit_sim_t *credit_sim_create(const credit_sim_options_t *options);
void credit_sim_destroy(credit_sim_t *sim);

ms_t credit_sim_now(const credit_sim_t *sim);
/* Cost of the requests that callers send in a second, in total. */
void credit_sim_set_demand(credit_sim_t *sim, double demand);
/* All instances learn it within a second. */
void credit_sim_set_limit(credit_sim_t *sim, double rate, double burst);
void credit_sim_run(credit_sim_t *sim, ms_t time);

/* Faults. */
void credit_sim_kill(credit_sim_t *sim, guint node);
void credit_sim_start(credit_sim_t *sim, guint node);
gboolean credit_sim_is_running(const credit_sim_t *sim, guint node);
void credit_sim_freeze(credit_sim_t *sim, guint node, gboolean is_frozen);
/* Messages from one node to another are lost. */
void credit_sim_block(credit_sim_t *sim, guint from, guint to,
		      gboolean is_blocked);
/* The node doesn't reach the store. */
void credit_sim_cut_store(credit_sim_t *sim, guint node, gboolean is_cut);
/* Cuts the first count nodes off from the others, and from the store. */
void credit_sim_partition(credit_sim_t *sim, guint count, gboolean is_cut,
			  gboolean with_store);
/* The first in order for the organisation among those that run. */
guint credit_sim_home(const credit_sim_t *sim);

/* Results. */
typedef struct {
	int64_t asked; /* requests */
	int64_t granted;
	int64_t refused;
	int64_t ended_unrun; /* granted, but refused later */
	int64_t returned;    /* messages and calls */
	int64_t messages;
	int64_t waited; /* requests whose answer took over 100 ms */
	ms_t retry_max;
} credit_sim_counts_t;

const credit_sim_counts_t *credit_sim_counts(const credit_sim_t *sim);
/*
 * The largest cost that ran in a window of 8 s, as a part of what the bound
 * allows there: at most 1 if the bound is kept.
 */
double credit_sim_bound_use(const credit_sim_t *sim);
/*
 * What ran since then, as a part of what a single bucket would have granted to
 * the same requests, or of the limit if that is less.
 */
double credit_sim_ideal_used(const credit_sim_t *sim, ms_t since);
/* What ran since then, as a part of what the limit allows. */
double credit_sim_used(const credit_sim_t *sim, ms_t since);

#endif
