#ifndef CTL_CTL_FILE_H
#define CTL_CTL_FILE_H

/* What the commands of hcctl share: their files and their errors. */

#include <glib.h>

#define CTL_EXIT_DONE	0
#define CTL_EXIT_FAILED 1

/* Prints the error and frees it; returns the exit status. */
int ctl_fail(GError *error);

/* Reads a file, or standard input for "-"; NULL after printing an error. */
char *ctl_read_file(const char *path, size_t *size);

#endif
