#ifndef CREDIT_CREDIT_BUCKET_H
#define CREDIT_CREDIT_BUCKET_H

/*
 * The token bucket of one organisation, and what was used of it lately.
 *
 * This code does no I/O and reads no clock.  Amounts are in the unit of the
 * limit: requests or tokens.
 */

#include <glib.h>
#include <stdint.h>

#include "base/clock.h"

/* The window of the bound on an organisation's use. */
#define CREDIT_WINDOW_MS ((ms_t)8000)

/*
 * The window is recorded in slots, and one for the time it began in.  Use that
 * is reported by slots is off by up to one slot.
 */
#define CREDIT_SLOT_MS ((ms_t)250)
#define CREDIT_SLOTS   33

/* An organisation's limit; a rate of 0 is no limit. */
typedef struct {
	double rate; /* a second */
	double burst;
} credit_limit_t;

/* What was granted in each slot of the window. */
typedef struct {
	double amount[CREDIT_SLOTS];
	int64_t slot[CREDIT_SLOTS];
} credit_window_t;

/* A part of it, for another instance. */
typedef struct {
	ms_t age;
	double amount;
} credit_use_t;

void credit_window_add(credit_window_t *window, ms_t at, double amount);
/* Takes out up to this amount, the newest first. */
void credit_window_take(credit_window_t *window, ms_t now, double amount);
/* Stores the amounts with their ages in uses[CREDIT_SLOTS]; returns how many.
 */
guint credit_window_read(const credit_window_t *window, ms_t now,
			 credit_use_t *uses);

typedef struct {
	double level; /* below 0: debt */
	ms_t filled_at;
	ms_t created_at;
	/* What was granted, also by others as far as they reported it. */
	credit_window_t used;
} credit_bucket_t;

typedef struct {
	credit_limit_t limit;
	double share; /* of the limit, that this bucket has: above 0, up to 1 */
	/* The share that it may have kept credit for; at least share. */
	double share_max;
	double slack; /* amount by which all buckets may exceed the limit */
	GRand *rand;
} credit_terms_t;

/* What was granted before is unknown, so it starts at a part of the slack. */
void credit_bucket_init(credit_bucket_t *bucket, ms_t now,
			const credit_terms_t *terms);
/*
 * Takes the cost if the level is above 0, and leaves a debt if the level is
 * below the cost.  Returns FALSE if nothing is granted.
 */
gboolean credit_bucket_take(credit_bucket_t *bucket, ms_t now,
			    const credit_terms_t *terms, double cost);
/*
 * Others granted this; the level is then at most what a single bucket of the
 * whole limit would have left.
 */
void credit_bucket_deduct(credit_bucket_t *bucket, ms_t now,
			  const credit_terms_t *terms, const credit_use_t *uses,
			  guint count);
/* Others granted what is not known: the level is at most that of a new one. */
void credit_bucket_distrust(credit_bucket_t *bucket, ms_t now,
			    const credit_terms_t *terms);
/* Returns credit that was not used. */
void credit_bucket_return(credit_bucket_t *bucket, ms_t now,
			  const credit_terms_t *terms, double cost);
/* The part of the burst for a bucket whose past is unknown. */
double credit_burst_unknown(const credit_terms_t *terms);
/* The burst in force: that of a limit without one is short. */
double credit_burst(const credit_limit_t *limit);

#endif
