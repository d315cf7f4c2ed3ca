#include "raw_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>

#define READ_SIZE 4096

int raw_connect(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int rc;

	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rc = connect(fd, (struct sockaddr *)&addr, sizeof(addr));
	g_assert(rc == 0);
	return fd;
}

void raw_send(int fd, const void *data, size_t size)
{
	ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

	g_assert(sent == (ssize_t)size);
}

gboolean raw_is_closed(int fd)
{
	char bytes[READ_SIZE];
	ssize_t size;

	do
		size = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	while (size > 0);
	return size == 0 || errno == ECONNRESET;
}

static gboolean ignore_plain(void *ctx, const char *data, size_t size)
{
	return TRUE;
}

void raw_pump(int fd, channel_t *channel)
{
	GByteArray *output = channel_swap_output(channel, g_byte_array_new());
	char bytes[READ_SIZE];
	gboolean ok = TRUE;
	ssize_t size;

	if (output->len)
		raw_send(fd, output->data, output->len);
	g_byte_array_free(output, TRUE);
	size = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	if (size > 0)
		ok = channel_feed(channel, bytes, (size_t)size, ignore_plain,
				  NULL, NULL);
	g_assert(ok);
}
