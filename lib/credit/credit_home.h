#ifndef CREDIT_CREDIT_HOME_H
#define CREDIT_CREDIT_HOME_H

/*
 * The home of organisations: grants credit for single requests, so that all
 * instances together keep an organisation's limit.  docs/design/
 * organisation-limits.md describes the whole.
 *
 * It keeps soft state only.  This code does no I/O and reads no clock.
 */

#include <glib.h>
#include <stdint.h>

#include "credit/credit_bucket.h"

/* The longest time that a refusal names. */
#define CREDIT_RETRY_MAX_MS ((ms_t)5000)

typedef struct credit_home credit_home_t;

typedef enum {
	CREDIT_GRANTED,
	CREDIT_REFUSED,
	CREDIT_UNKNOWN, /* the home does not know of a limit */
	CREDIT_PENDING, /* of credit_client.h: the answer comes later */
	CREDIT_VERDICT_COUNT
} credit_verdict_t;

typedef struct {
	const char *organisation;
	double cost;
	/* Granted to the asking instance by others and not reported before. */
	guint elsewhere_count;
	credit_use_t elsewhere[CREDIT_SLOTS];
	/* A home before this one in order is connected but silent. */
	gboolean is_takeover;
} credit_ask_t;

typedef struct {
	credit_verdict_t verdict;
	int64_t epoch;
	ms_t retry_after; /* of a refusal */
	double level;	  /* of the bucket, after the ask */
} credit_answer_t;

/* The instances, as one of them knows them. */
typedef struct {
	guint live;	 /* with a record, itself included */
	guint connected; /* others */
	/*
	 * Whether its own record is certainly in force; the others may take it
	 * for gone otherwise.
	 */
	gboolean is_registered;
} credit_instances_t;

typedef struct {
	/* Stores the limit in force; FALSE if the organisation is unknown. */
	gboolean (*limit)(void *ctx, const char *organisation,
			  credit_limit_t *limit);
	/* Ask all connected instances for a sign of life. */
	void (*probe)(void *ctx);
} credit_home_actions_t;

/* The actions and rand must outlive the object. */
credit_home_t *credit_home_create(double slack, GRand *rand,
				  const credit_home_actions_t *actions,
				  void *ctx);
void credit_home_destroy(credit_home_t *home);

int64_t credit_home_epoch(const credit_home_t *home);
void credit_home_set_instances(credit_home_t *home,
			       const credit_instances_t *instances);

/* A message of another instance arrived. */
void credit_home_note_alive(credit_home_t *home, ms_t now,
			    const char *instance);

/* instance: the asking one; NULL for that of the home. */
void credit_home_ask(credit_home_t *home, ms_t now, const char *instance,
		     const credit_ask_t *ask, credit_answer_t *answer);

/* Returns FALSE if it was granted in another epoch. */
gboolean credit_home_return(credit_home_t *home, ms_t now,
			    const char *organisation, double cost,
			    int64_t epoch);

/* Forgets what has not been used for long; to be called now and then. */
void credit_home_tick(credit_home_t *home, ms_t now);

/* The part of each limit that an instance may grant if it is a home. */
double credit_instances_share(const credit_instances_t *instances);
/* The part of each limit that an instance may use by itself. */
double credit_instances_even_share(const credit_instances_t *instances);

#endif
