#ifndef REVIEW_RV_H
#define REVIEW_RV_H

/* Shared by the stand-ins of the review: time, records, HTTP/1.1 over sockets. */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 8192

static FILE *rv_record;

static inline long long rv_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static inline void rv_sleep(long long ms)
{
	struct timespec time = {ms / 1000, ms % 1000 * 1000000L};

	if (ms > 0)
		nanosleep(&time, NULL);
}

/* One line: the time in ms since 1970, who, and what. */
__attribute__((format(printf, 2, 3))) static inline void
rv_note(const char *who, const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (!rv_record)
		return;
	fprintf(rv_record, "%lld %s %s\n", rv_now(), who, text);
	fflush(rv_record);
}

static inline void rv_open_record(const char *path)
{
	rv_record = fopen(path, "a");
	if (!rv_record) {
		perror(path);
		exit(2);
	}
	setvbuf(rv_record, NULL, _IOLBF, 0);
}

static inline struct sockaddr_in rv_address(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	char host[64];
	const char *colon = strrchr(text, ':');

	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	inet_pton(AF_INET, host, &address.sin_addr);
	address.sin_port = htons((unsigned short)atoi(colon + 1));
	return address;
}

/* Returns a connected socket, or -1. */
static inline int rv_connect(const char *text)
{
	struct sockaddr_in address = rv_address(text);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* Returns a listening socket at host:port (0: any), and its port. */
static inline int rv_listen(const char *text, int *port)
{
	struct sockaddr_in address = rv_address(text);
	socklen_t size = sizeof(address);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, size) < 0 ||
	    listen(fd, 512) < 0) {
		perror("listen");
		exit(2);
	}
	getsockname(fd, (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return fd;
}

static inline int rv_write(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t done = send(fd, data, size, MSG_NOSIGNAL);

		if (done <= 0)
			return -1;
		data += done;
		size -= (size_t)done;
	}
	return 0;
}

/* A message: its head with a zero at the end, and the bytes of its body. */
typedef struct {
	char head[HEAD_MAX];
	char body[HEAD_MAX];
	size_t body_size;
	char rest[2 * HEAD_MAX]; /* received after it */
	size_t rest_size;
} message_t;

/* Copies a header's value; returns 0 if there is none. */
static inline int rv_header(const message_t *message, const char *name,
			    char *value, size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t length = strlen(name);

	*value = '\0';
	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " ");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r\n"), line);
		return 1;
	}
	return 0;
}


/*
 * Reads a message with a length, or without a body, within the time (ms; 0: no
 * limit).  An answer in chunks is read to its last one, and its body is not
 * kept.  Returns 1, 0 at the end of the connection, -1 at a reset, and -2 if
 * the time is over.
 */
static inline int rv_read(int fd, message_t *message, long long time)
{
	long long end = rv_now() + time;
	char *buffer = message->rest;
	size_t have = message->rest_size;
	char value[64];
	size_t length = 0;
	char *stop;

	message->body_size = 0;
	for (;;) {
		struct pollfd wait = {fd, POLLIN, 0};
		ssize_t size;

		buffer[have] = '\0';
		stop = strstr(buffer, "\r\n\r\n");
		if (stop) {
			size_t head = (size_t)(stop + 4 - buffer);

			memcpy(message->head, buffer, head);
			message->head[head] = '\0';
			if (rv_header(message, "transfer-encoding", value,
				      sizeof(value))) {
				char *last = strstr(stop, "\r\n0\r\n\r\n");

				if (last) {
					head = (size_t)(last + 7 - buffer);
					length = 0;
				} else {
					length = sizeof(message->rest);
				}
			} else {
				rv_header(message, "content-length", value,
					  sizeof(value));
				length = (size_t)atol(value);
			}
			if (have >= head + length) {
				message->body_size =
					length < HEAD_MAX - 1 ? length
							      : HEAD_MAX - 1;
				memcpy(message->body, buffer + head,
				       message->body_size);
				message->body[message->body_size] = '\0';
				message->rest_size = have - head - length;
				memmove(buffer, buffer + head + length,
					message->rest_size);
				return 1;
			}
		}
		if (have >= sizeof(message->rest) - 1)
			return -1;
		if (time) {
			long long left = end - rv_now();

			if (left <= 0 || poll(&wait, 1, (int)left) <= 0)
				return -2;
		}
		size = recv(fd, buffer + have, sizeof(message->rest) - 1 - have,
			    0);
		if (size <= 0)
			return size < 0 ? -1 : 0;
		have += (size_t)size;
		message->rest_size = have;
	}
}

#endif
