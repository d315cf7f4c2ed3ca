/*
 * rv-server RECORD ID HOST:PORT WORK_MS
 *
 * A sound plain server: runs each request for WORK_MS and answers it with its
 * id and stamp.  A request for another instance gets 421.  Prints its address;
 * it does not list itself.  Records what arrives and what it has run.
 */
#include "rv.h"

static const char *own_id;
static long long work;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void note(const char *what, const char *id)
{
	pthread_mutex_lock(&lock);
	rv_note(own_id, "%s %s", what, id);
	pthread_mutex_unlock(&lock);
}

static void *serve(void *socket)
{
	int fd = (int)(long)socket;
	message_t *request = calloc(1, sizeof(*request));
	char text[1024];

	while (rv_read(fd, request, 0) == 1) {
		char id[128];
		char expected[128];
		int is_other = rv_header(request,
					 "x-hawthorncross-expect-instance",
					 expected, sizeof(expected)) &&
			       strcmp(expected, own_id) != 0;

		rv_header(request, "x-hawthorncross-request-id", id,
			  sizeof(id));
		note("arrived", id);
		if (is_other) {
			snprintf(text, sizeof(text),
				 "HTTP/1.1 421 Misdirected Request\r\n"
				 "X-Hawthorncross-Request-Id: %s\r\n"
				 "X-Hawthorncross-Not-Run: 1\r\n"
				 "Content-Length: 0\r\n\r\n",
				 id);
		} else {
			note("runs", id);
			rv_sleep(work);
			note("ran", id);
			snprintf(text, sizeof(text),
				 "HTTP/1.1 200 OK\r\n"
				 "X-Hawthorncross-Request-Id: %s\r\n"
				 "X-Hawthorncross-Server-Stamp: %s\r\n"
				 "Keep-Alive: timeout=20\r\n"
				 "Content-Length: 5\r\n\r\ndone\n",
				 id, own_id);
		}
		if (rv_write(fd, text, strlen(text)))
			break;
	}
	close(fd);
	free(request);
	return NULL;
}

int main(int argc, char **argv)
{
	int port;
	int listener;
	char host[64];

	own_id = argv[2];
	work = atoll(argv[4]);
	rv_open_record(argv[1]);
	listener = rv_listen(argv[3], &port);
	snprintf(host, sizeof(host), "%.*s",
		 (int)(strrchr(argv[3], ':') - argv[3]), argv[3]);
	printf("listening %s:%d\n", host, port);
	fflush(stdout);
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int one = 1;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(&thread, NULL, serve, (void *)(long)fd);
		pthread_detach(thread);
	}
}
