/*
 * rv-server RECORD ID HOST:PORT WORK_MS [EVERY]
 *
 * A sound plain server: runs each request for WORK_MS and answers it with its
 * id and stamp.  A request for another instance gets 421.  Prints its address;
 * it does not list itself.  Records what arrives and what it has run.
 *
 * A path with /stream/ is answered with four events in WORK_MS.
 *
 * From SIGUSR1 to SIGUSR2 it is faulty: it spoils each EVERY-th answer.  Before
 * the answer it sends bytes that are no response then: an interim status, which
 * has no body, and a body.
 */
#include "rv.h"

static const char *own_id;
static long long work;
static int every;
static int answers;
static volatile sig_atomic_t is_faulty;

static const char spoilt[] = "HTTP/1.1 103 Early Hints\r\n"
			     "Content-Length: 8\r\n\r\nspoilt: ";
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void note(const char *what, const char *id)
{
	pthread_mutex_lock(&lock);
	rv_note(own_id, "%s %s", what, id);
	pthread_mutex_unlock(&lock);
}

static void on_signal(int number)
{
	is_faulty = number == SIGUSR1;
}

static int must_spoil(const char *id)
{
	int spoils;

	pthread_mutex_lock(&lock);
	spoils = is_faulty && every && ++answers % every == 0;
	if (spoils)
		rv_note(own_id, "spoils %s", id);
	pthread_mutex_unlock(&lock);
	return spoils;
}

static int send_events(int fd, const char *id)
{
	char text[64];
	int event;

	for (event = 1; event <= 4; event++) {
		char chunk[32];

		rv_sleep(work / 4);
		snprintf(chunk, sizeof(chunk), "id: %d\ndata: piece\n\n", event);
		snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(chunk),
			 chunk);
		if (rv_write(fd, text, strlen(text)))
			return -1;
	}
	note("ran", id);
	return rv_write(fd, "0\r\n\r\n", 5);
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
		int is_stream = strstr(request->head, "/stream/") != NULL;

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
			if (!is_stream) {
				rv_sleep(work);
				note("ran", id);
			}
			if (must_spoil(id) &&
			    rv_write(fd, spoilt, strlen(spoilt)))
				break;
			snprintf(text, sizeof(text),
				 "HTTP/1.1 200 OK\r\n"
				 "X-Hawthorncross-Request-Id: %s\r\n"
				 "X-Hawthorncross-Server-Stamp: %s\r\n"
				 "Keep-Alive: timeout=20\r\n%s",
				 id, own_id,
				 is_stream ? "Content-Type: text/event-stream"
					     "\r\nTransfer-Encoding: chunked"
					     "\r\n\r\n"
					   : "Content-Length: 5\r\n\r\ndone\n");
		}
		if (rv_write(fd, text, strlen(text)))
			break;
		if (is_stream && !is_other && send_events(fd, id))
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
	every = argc > 5 ? atoi(argv[5]) : 0;
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
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
