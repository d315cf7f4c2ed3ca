#ifndef CREDIT_CREDIT_CLIENT_H
#define CREDIT_CREDIT_CLIENT_H

/*
 * Asks the home of an organisation for the credit of each request; see
 * credit_home.h.
 *
 * The home is the first in a rendezvous hash among this instance and the
 * connected ones.  If it does not answer in time, the next in order is asked,
 * once; if that fails too, or if a home does not know the organisation, this
 * instance uses its even share of the limit.
 *
 * This code does no I/O and reads no clock.
 */

#include <glib.h>
#include <stdint.h>

#include "credit/credit_home.h"

/* A home replies at once; as long as a reply between regions takes. */
#define CREDIT_ANSWER_TIMEOUT_MS ((ms_t)150)
/* How long a silent home is left out. */
#define CREDIT_SILENT_MS ((ms_t)1500)

typedef struct credit_client credit_client_t;

/* Identifies an ask in later calls; never 0. */
typedef int64_t credit_id_t;

/* A request that needs credit. */
typedef struct {
	const char *organisation;
	credit_limit_t limit; /* as this instance knows it; the rate isn't 0 */
	double cost;
} credit_request_t;

/* The answer to a request, and who gave it. */
typedef struct {
	credit_answer_t answer; /* GRANTED, REFUSED or PENDING */
	const char *home;	/* NULL: the even share of this instance */
	ms_t waited;
} credit_result_t;

typedef struct {
	/* Send an ask to a connected home; FALSE if it can't be sent. */
	gboolean (*send_ask)(void *ctx, const char *home, int64_t id,
			     const credit_ask_t *ask);
	void (*send_return)(void *ctx, const char *home,
			    const char *organisation, double cost,
			    int64_t epoch);
	/*
	 * The answer to an ask that was pending.  The id of a refused one is
	 * not valid any more.
	 */
	void (*on_result)(void *ctx, credit_id_t id,
			  const credit_result_t *result);
} credit_client_actions_t;

typedef struct {
	const char *instance; /* this one; copied */
	credit_home_t *home;  /* of this instance; outlives the client */
	double slack;
	GRand *rand; /* outlives the client */
	ms_t now;
} credit_client_options_t;

credit_client_t *credit_client_create(const credit_client_options_t *options,
				      const credit_client_actions_t *actions,
				      void *ctx);
void credit_client_destroy(credit_client_t *client);

/* Sets the instances for this client and the home of this instance. */
void credit_client_set_live(credit_client_t *client, guint live,
			    gboolean is_registered);
/* A connection to another instance was made or lost. */
void credit_client_set_connected(credit_client_t *client, ms_t now,
				 const char *instance, gboolean is_connected);
/* The record of an instance is gone: forgets what is known about it. */
void credit_client_forget(credit_client_t *client, ms_t now,
			  const char *instance);

/*
 * Asks for the credit of a request, and stores the result.  Unless it is
 * refused, credit_client_end() must be called once for the id.  Never calls
 * on_result() before it returns.
 */
credit_id_t credit_client_ask(credit_client_t *client, ms_t now,
			      const credit_request_t *request,
			      credit_result_t *result);
/* The request has ended; has_run: or may have. */
void credit_client_end(credit_client_t *client, ms_t now, credit_id_t id,
		       gboolean has_run);

/* How often credit was returned so far. */
int64_t credit_client_returned(const credit_client_t *client);

/* The answer of a home to an ask that was sent to it. */
void credit_client_on_answer(credit_client_t *client, ms_t now,
			     const char *home, int64_t id,
			     const credit_answer_t *answer);

/* Handles homes that did not answer; returns the time of the next call. */
ms_t credit_client_tick(credit_client_t *client, ms_t now);

/* Calls visit for each connected instance. */
void credit_client_foreach_connected(credit_client_t *client,
				     void (*visit)(void *ctx,
						   const char *instance),
				     void *ctx);

#endif
