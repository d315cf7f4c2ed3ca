#include "owner/listener_identity.h"

#include <glib.h>

#include "base/hash.h"

#define BOOT_FILE      "/proc/sys/kernel/random/boot_id"
#define NAMESPACE_FILE "/proc/self/ns/net"

char *listener_identity(const char *address, int port)
{
	char *boot = NULL;
	char *net_namespace = g_file_read_link(NAMESPACE_FILE, NULL);
	char *identity = NULL;

	if (net_namespace &&
	    g_file_get_contents(BOOT_FILE, &boot, NULL, NULL)) {
		char *text = g_strdup_printf("%s %s %s:%d", boot, net_namespace,
					     address, port);

		identity = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
					   hash_text(text));
		g_free(text);
	}
	g_free(boot);
	g_free(net_namespace);
	return identity ? identity : g_strdup("");
}
