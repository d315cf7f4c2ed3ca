#ifndef ADMIN_CONSOLE_DATA_H
#define ADMIN_CONSOLE_DATA_H

/* The files of the web console; console/generate writes console_data.c. */

extern const char console_html[];
extern const char console_css[];
extern const char console_js[];

#endif
