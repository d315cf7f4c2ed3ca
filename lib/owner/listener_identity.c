#include "owner/listener_identity.h"

#include <glib.h>

#include "base/hash.h"

#define BOOT_FILE      "/proc/sys/kernel/random/boot_id"
#define NAMESPACE_FILE "/proc/self/ns/net"

char *place_identity(const char *address, int port)
{
	char *boot = NULL;
	char *space = g_file_read_link(NAMESPACE_FILE, NULL);
	char *place = NULL;

	if (space && g_file_get_contents(BOOT_FILE, &boot, NULL, NULL)) {
		char *text = g_strdup_printf("%s %s %s:%d", boot, space,
					     address, port);

		place = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
					hash_text(text));
		g_free(text);
	}
	g_free(boot);
	g_free(space);
	return place ? place : g_strdup("");
}
