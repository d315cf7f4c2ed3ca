#ifndef SERVE_MEMBERSHIP_KEYS_H
#define SERVE_MEMBERSHIP_KEYS_H

/*
 * Reads the membership keys from the files that the settings name.
 *
 * Trailing white space is not part of a key.  ERROR_INVALID is set for a file
 * that can't be read, a key that is too short, and a previous key that equals
 * the current one; the message names the file and what to change.
 */

#include <glib.h>

#include "wire/channel.h"

/* current and previous are paths; previous may be empty. */
channel_keys_t *membership_keys_load(const char *current, const char *previous,
				     GError **error);

#endif
