#ifndef CONFIG_RANGE_H
#define CONFIG_RANGE_H

/*
 * Expansion of name ranges: "fibre-{0001..3000}" stands for 3000 names.
 *
 * A text contains at most one inclusive range of integers in braces.  Numbers
 * are zero-padded to the number of digits of the first one.
 */

#include <glib.h>

/* Maximum number of names in one range. */
#define RANGE_COUNT_MAX 200000

/* Called for each expanded name, which is valid during the call only. */
typedef void (*range_name_t)(void *ctx, const char *name);

/*
 * Call each for every name; a text without a range is a name itself.  Returns
 * NULL, or the reason why the range is invalid, in which case each was not
 * called.
 */
const char *range_expand(const char *text, range_name_t each, void *ctx);

#endif
