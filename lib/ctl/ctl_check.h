#ifndef CTL_CTL_CHECK_H
#define CTL_CTL_CHECK_H

/*
 * hcctl check: the errors of a document, its useless entries and limits, and
 * what differs from another document, the worst for callers first.
 */

#include "ctl/ctl.h"

/* Returns the exit status: 0 if there are neither errors nor findings. */
int ctl_run_check(const ctl_options_t *options);

#endif
