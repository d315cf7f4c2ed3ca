/*
 * rv-server RECORD ID HOST:PORT WORK_MS [EVERY [DEADLY]]
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
 *
 * With DEADLY it is a model server of the model "base" with 29 places for adapters, which
 * crashes (exits) when it begins to write an answer on a prompt with that part.
 */
#include "rv.h"

static const char *own_id;
static long long work;
static int every;
static int answers;
static const char *deadly;
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

/* Whether the prompt has the part that crashes this server. */
static int is_deadly(const message_t *request)
{
	char parts[4096];
	char *part;
	char *rest = parts;

	if (!deadly)
		return 0;
	rv_header(request, "x-hawthorncross-prompt-prefix", parts,
		  sizeof(parts));
	while ((part = strsep(&rest, ","))) {
		part[strcspn(part, ":")] = '\0';
		/* Never the last one, which is the request's own. */
		if (rest && !strcmp(part, deadly))
			return 1;
	}
	return 0;
}

/* What a model server holds. */
#define ADAPTERS_MAX 29
#define LOAD_MS	     250
static struct {
	char name[64];
	long long ready_at; /* 0: the place is free */
} adapters[ADAPTERS_MAX];
static int sequence;

static int find_adapter(const char *name)
{
	int i;

	for (i = 0; i < ADAPTERS_MAX; i++) {
		if (adapters[i].ready_at && !strcmp(adapters[i].name, name))
			return i;
	}
	return -1;
}

/* Whether it holds what the request names: "base", or "base/ADAPTER". */
static int holds_adapter(const message_t *request)
{
	char model[128];
	char *slash;
	int found;

	rv_header(request, "x-hawthorncross-model", model, sizeof(model));
	slash = strchr(model, '/');
	if (!deadly || !slash)
		return 1;
	pthread_mutex_lock(&lock);
	found = find_adapter(slash + 1);
	found = found >= 0 && rv_now() >= adapters[found].ready_at;
	pthread_mutex_unlock(&lock);
	return found;
}

static void field(const char *body, const char *name, char *value, size_t size)
{
	char quoted[64];
	const char *at;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(body, quoted);
	*value = '\0';
	if (!at)
		return;
	at += strlen(quoted);
	at += strspn(at, " \"");
	snprintf(value, size, "%.*s", (int)strcspn(at, "\",} "), at);
}

/* Returns the status. */
static int take_order(const char *body)
{
	char op[32];
	char name[64];
	char expected[32];
	int status = 202;
	int place;
	int i;

	field(body, "op", op, sizeof(op));
	field(body, "adapter", name, sizeof(name));
	field(body, "expected", expected, sizeof(expected));
	pthread_mutex_lock(&lock);
	place = find_adapter(name);
	if (*expected && atoi(expected) != sequence) {
		status = 409;
	} else if (!*name || (!strcmp(op, "load") && place >= 0)) {
		status = 200;
	} else if (!strcmp(op, "load")) {
		for (i = 0; i < ADAPTERS_MAX && adapters[i].ready_at; i++)
			;
		if (i == ADAPTERS_MAX)
			_exit(8); /* more than its places hold */
		snprintf(adapters[i].name, sizeof(adapters[i].name), "%s",
			 name);
		adapters[i].ready_at = rv_now() + LOAD_MS;
		sequence++;
	} else {
		if (place >= 0)
			adapters[place].ready_at = 0;
		sequence++;
		status = 200;
	}
	pthread_mutex_unlock(&lock);
	return status;
}

static void list_adapters(char *loaded, char *coming, size_t size)
{
	long long now = rv_now();
	size_t used[2] = {0, 0};
	int i;

	*loaded = *coming = '\0';
	pthread_mutex_lock(&lock);
	for (i = 0; i < ADAPTERS_MAX; i++) {
		int comes = now < adapters[i].ready_at;
		char *list = comes ? coming : loaded;

		if (!adapters[i].ready_at)
			continue;
		used[comes] += (size_t)snprintf(
			list + used[comes], size - used[comes], "%s\"%s%s@1\"",
			used[comes] ? "," : "", comes ? "base/" : "",
			adapters[i].name);
	}
	pthread_mutex_unlock(&lock);
}

/* Answers what a model server is asked besides requests; 0 if it isn't that. */
static int answer_call(int fd, const message_t *request)
{
	char loaded[1024];
	char coming[1024];
	char body[4096];
	char text[6144];
	int status = 200;

	if (!strncmp(request->head, "GET /report ", 12)) {
		list_adapters(loaded, coming, sizeof(loaded));
		snprintf(body, sizeof(body),
			 "{\"stage\":\"colocated\",\"models\":[{\"name\":"
			 "\"base\",\"version\":1,\"adapters\":[%s]}],\"busy\":"
			 "false,\"seq\":%d,\"queued\":0,\"running\":0,"
			 "\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,"
			 "\"coming\":[%s]}",
			 loaded, sequence, coming);
	} else if (!strncmp(request->head, "POST /order ", 12)) {
		status = take_order(request->body);
		strcpy(body, "{}");
	} else {
		return 0;
	}
	snprintf(text, sizeof(text),
		 "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, strlen(body), body);
	return rv_write(fd, text, strlen(text)) ? -1 : 1;
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
	char text[2048];

	while (rv_read(fd, request, 0) == 1) {
		char id[128];
		char expected[128];
		int called = answer_call(fd, request);
		int is_other = rv_header(request,
					 "x-hawthorncross-expect-instance",
					 expected, sizeof(expected)) &&
			       strcmp(expected, own_id) != 0;
		int kills = is_deadly(request);
		int is_stream = strstr(request->head, "/stream/") != NULL;

		if (called < 0)
			break;
		if (called)
			continue;
		rv_header(request, "x-hawthorncross-request-id", id,
			  sizeof(id));
		note(kills ? "arrived-deadly" : "arrived", id);
		if (is_other || !holds_adapter(request)) {
			snprintf(text, sizeof(text),
				 "HTTP/1.1 421 Misdirected Request\r\n"
				 "X-Hawthorncross-Request-Id: %s\r\n"
				 "X-Hawthorncross-Not-Run: 1\r\n"
				 "Content-Length: 0\r\n\r\n",
				 id);
		} else {
			note("runs", id);
			if (kills) {
				rv_sleep(50);
				note("crashes-at", id);
				_exit(9);
			}
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
		if (is_stream && !strncmp(text, "HTTP/1.1 200", 12) &&
		    send_events(fd, id))
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
	deadly = argc > 6 ? argv[6] : NULL;
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
