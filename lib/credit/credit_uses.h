#ifndef CREDIT_CREDIT_USES_H
#define CREDIT_CREDIT_USES_H

/*
 * What an instance was granted for one organisation within the window, and
 * which part of it each home has not been told yet.
 */

#include "credit/credit_home.h"

typedef struct credit_uses credit_uses_t;

credit_uses_t *credit_uses_create(void);
void credit_uses_destroy(credit_uses_t *uses);

/* home: that granted or had granted it; NULL for none. */
void credit_uses_note_granted(credit_uses_t *uses, ms_t now, const char *home,
			      double cost);
void credit_uses_note_returned(credit_uses_t *uses, ms_t now, const char *home,
			       double cost);

/*
 * Puts what the home was not told yet into the ask.  Returns a copy of it for
 * credit_uses_tell_again(), or NULL if it is nothing; free with g_free().
 */
credit_window_t *credit_uses_tell(credit_uses_t *uses, ms_t now,
				  const char *home, credit_ask_t *ask);
/* The ask got no answer: the next one tells the home again. */
void credit_uses_tell_again(credit_uses_t *uses, ms_t now, const char *home,
			    const credit_window_t *told);

void credit_uses_forget(credit_uses_t *uses, const char *home);

#endif
