#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

/*
 * The claims of this entry's exchanges: claim/claim.h joined with the lease of
 * the entry and with exchanges that may end before their claim is answered.
 */

#include "entry/exchange.h"
#include "kv/kv.h"
#include "serve/process.h"

typedef struct claiming claiming_t;

/* Destroy it after the kv_t. */
claiming_t *claiming_create(process_t *process, kv_t *kv);
void claiming_destroy(claiming_t *claiming);

/*
 * Begin the claim of an exchange; exchange_claimed() answers.  It may be begun
 * again after TRACK_CLAIM_RUNNING, then with is_known.
 */
void claiming_begin(claiming_t *claiming, exchange_t *exchange,
		    gboolean is_known);

/* Record the outcome; the answer may be NULL. */
void claiming_settle(claiming_t *claiming, exchange_t *exchange,
		     outcome_t outcome, const char *answer, size_t size);

/* The exchange is gone: its claim is given up if it is still open. */
void claiming_forget(claiming_t *claiming, exchange_t *exchange);

/*
 * How many instances share the key-value service: the more there are, the more
 * claims go into one transaction of each.
 */
void claiming_set_members(claiming_t *claiming, unsigned int members);

void claiming_tick(claiming_t *claiming);
ms_t claiming_due(const claiming_t *claiming);

/* Whether ends are still to be written. */
gboolean claiming_is_idle(const claiming_t *claiming);

/* Planned stop: give the lease up. */
void claiming_release(claiming_t *claiming);
gboolean claiming_is_released(const claiming_t *claiming);

#endif
