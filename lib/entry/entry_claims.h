#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

/*
 * The claims of this entry's exchanges.
 *
 * Connects the claim protocol (claim/claim.h) to the lease of the entry and to
 * the exchanges, which may end before the result of their claim is known.
 */

#include "entry/exchange.h"
#include "kv/kv.h"
#include "serve/process.h"

typedef struct entry_claims entry_claims_t;

/* Must be destroyed after the kv_t. */
entry_claims_t *entry_claims_create(process_t *process, kv_t *kv);
void entry_claims_destroy(entry_claims_t *claims);

/*
 * Begin the claim of an exchange; exchange_handle_claim_result() receives the
 * result.  After TRACK_CLAIM_RUNNING it may be begun again, with is_known set.
 */
void entry_claims_begin(entry_claims_t *claims, exchange_t *exchange,
			gboolean is_known);

/* Record the outcome in the claim; the answer may be NULL. */
void entry_claims_settle(entry_claims_t *claims, exchange_t *exchange,
			 outcome_t outcome, const char *answer, size_t size);

/*
 * Detach an exchange that is about to be destroyed.  If its claim is granted
 * later, it is finished as not run.
 */
void entry_claims_detach(entry_claims_t *claims, exchange_t *exchange);

/*
 * Set the number of instances that share the key-value service.  With more
 * instances each commits less often, so that the total rate of transactions
 * stays bounded.
 */
void entry_claims_set_instance_count(entry_claims_t *claims,
				     unsigned int count);

void entry_claims_tick(entry_claims_t *claims);
/* When entry_claims_tick() is to be called next. */
ms_t entry_claims_due(const entry_claims_t *claims);

/* Whether no claim is waiting, running or yet to be written. */
gboolean entry_claims_is_idle(const entry_claims_t *claims);

/* Release the lease of the entry, for a planned stop. */
void entry_claims_release(entry_claims_t *claims);
gboolean entry_claims_is_released(const entry_claims_t *claims);

#endif
