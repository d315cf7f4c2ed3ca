#include "http/tcp.h"

#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Returns the result of recv() for one byte, or -1 without a socket. */
static ssize_t peek(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) < 0) {
		errno = EBADF;
		return -1;
	}
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

gboolean tcp_was_reset(const uv_tcp_t *tcp)
{
	return peek(tcp) != 0;
}

size_t tcp_unacknowledged(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	int size = 0;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) < 0 ||
	    ioctl(fd, SIOCOUTQ, &size) < 0)
		return 0;
	return (size_t)MAX(size, 0);
}

gboolean tcp_is_silent(const uv_tcp_t *tcp)
{
	return peek(tcp) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
