/*
 * rv2: small clients and servers for the cases 6 to 10 of the review.  One
 * program, libc only.
 *
 *	rv2 put ADDR:PORT PATH		sends standard input with PUT
 *	rv2 get ADDR:PORT PATH		prints the status and the body
 *	rv2 ask ADDR:PORT COUNT GAP_MS WAIT_MS METHOD PATH [HEADER...]
 *		sends COUNT requests, one each GAP_MS on a connection of its own,
 *		waits for each at most WAIT_MS; prints a line for each one.  With
 *		KEPT=1 in the environment, each connection has served a request for
 *		/read/w before
 *	rv2 slow ADDR:PORT PATH BYTES_PER_S WAIT_MS
 *		one request whose answer is read slowly
 *	rv2 heads ADDR:PORT CONNECTIONS REQUESTS PLAIN WORDS
 *		requests with PLAIN empty headers and a Connection header of WORDS
 *		options; WORDS of 0 sends headers of the same size without them
 *	rv2 idle ADDR:PORT CONNECTIONS HOLD_MS
 *		connections that each serve one request and are then kept open
 *	rv2 leave ADDR:PORT COUNT METHOD PATH [HEADER...]
 *		requests whose client closes its connection as soon as they are sent
 *	rv2 server ADDR KIND [OPTION=N...]
 *		a server; prints "listening PORT".  KIND is 'plain' or 'engine'.
 *		size: bytes of an answer but one for /big/BYTES; delay: ms before one under /write/; events, event_ms: of a
 *		stream; spoil_call, spoil, cut: each Nth answer to an order or report
 *		has a wrong Content-Length; each Nth stream has a wrong byte in the
 *		name of its signature; each Nth stream breaks off inside an event.  An
 *		engine rejects a request larger than its memory (100,000 tokens)
 *
 * Times in the output are in ms of the monotonic clock.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNS_MAX 1024
#define READ_SIZE 65536

typedef struct {
	char *data;
	size_t size;
	size_t room;
} text_t;

static long now_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static void die(const char *what)
{
	fprintf(stderr, "rv2: %s: %s\n", what, strerror(errno));
	exit(2);
}

static void append(text_t *text, const char *data, size_t size)
{
	if (text->size + size + 1 > text->room) {
		text->room = 2 * (text->size + size + 1);
		text->data = realloc(text->data, text->room);
		if (!text->data)
			die("memory");
	}
	memcpy(text->data + text->size, data, size);
	text->size += size;
	text->data[text->size] = '\0';
}

static void add(text_t *text, const char *data)
{
	append(text, data, strlen(data));
}

static void drop(text_t *text, size_t size)
{
	memmove(text->data, text->data + size, text->size - size);
	text->size -= size;
	text->data[text->size] = '\0';
}

static void clear(text_t *text)
{
	text->size = 0;
	if (text->data)
		*text->data = '\0';
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	char host[64];
	const char *colon = strrchr(text, ':');
	size_t size = colon ? (size_t)(colon - text) : strlen(text);

	if (size >= sizeof(host))
		size = sizeof(host) - 1;
	memcpy(host, text, size);
	host[size] = '\0';
	if (inet_pton(AF_INET, host, &address.sin_addr) != 1)
		die(text);
	address.sin_port = htons(colon ? atoi(colon + 1) : 0);
	return address;
}

static int connect_to(const char *to, int receive_buffer)
{
	struct sockaddr_in address = parse_address(to);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int segment = 1400;

	if (fd < 0)
		die("socket");
	/* Segments and windows as on the platform's links, not as on loopback. */
	if (receive_buffer) {
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment,
			   sizeof(segment));
	}
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns the value of a header in a head that ends at end, or NULL. */
static const char *find_header(const char *head, const char *end,
			       const char *name, char *value, size_t room)
{
	size_t length = strlen(name);
	const char *line = strstr(head, "\r\n");

	for (; line && line < end; line = strstr(line, "\r\n")) {
		const char *stop;
		size_t size;

		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		while (*line == ' ')
			line++;
		stop = strstr(line, "\r\n");
		size = stop ? (size_t)(stop - line) : strlen(line);
		if (size >= room)
			size = room - 1;
		memcpy(value, line, size);
		value[size] = '\0';
		return value;
	}
	return NULL;
}

/* An answer as far as it was received. */
typedef struct {
	int status;
	int is_complete;
	size_t body; /* bytes of the body */
	int is_signed;
	int events;
	text_t content;
} answer_t;

static void parse_answer(const text_t *text, int is_closed, answer_t *answer)
{
	const char *end = text->size ? strstr(text->data, "\r\n\r\n") : NULL;
	char value[256];
	const char *at;
	const char *stop;

	answer->status = 0;
	answer->is_complete = 0;
	answer->body = 0;
	answer->events = 0;
	clear(&answer->content);
	if (!end || sscanf(text->data, "HTTP/1.%*d %d", &answer->status) != 1)
		return;
	end += 4;
	at = end;
	stop = text->data + text->size;
	answer->is_signed = find_header(text->data, end,
					"X-Hawthorncross-Server-Stamp", value,
					sizeof(value)) != NULL;
	if (find_header(text->data, end, "Transfer-Encoding", value,
			sizeof(value))) {
		while (at < stop) {
			char *rest;
			size_t size = strtoul(at, &rest, 16);

			if (rest + 2 > stop || rest[0] != '\r')
				break;
			at = rest + 2;
			if (!size) {
				answer->is_complete =
					stop - at >= 2 && !memcmp(at, "\r\n", 2);
				break;
			}
			if (size + 2 > (size_t)(stop - at)) {
				append(&answer->content, at,
				       (size_t)(stop - at));
				break;
			}
			append(&answer->content, at, size);
			at += size + 2;
		}
	} else if (find_header(text->data, end, "Content-Length", value,
			       sizeof(value))) {
		size_t size = strtoul(value, NULL, 10);

		append(&answer->content, at, (size_t)(stop - at));
		answer->is_complete = answer->content.size >= size;
	} else {
		append(&answer->content, at, (size_t)(stop - at));
		answer->is_complete = is_closed;
	}
	answer->body = answer->content.size;
	for (at = answer->content.data; at && (at = strstr(at, "\n\n"));
	     at += 2)
		answer->events++;
}

static int run_call(const char *to, const char *method, const char *path,
		    const char *body, size_t size)
{
	text_t text = {0};
	answer_t answer = {0};
	char head[512];
	char buffer[READ_SIZE];
	ssize_t got;
	int fd = connect_to(to, 0);
	struct timeval limit = {3, 0};

	if (fd < 0)
		return 1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
		 method, path, size);
	if (write(fd, head, strlen(head)) < 0 ||
	    (size && write(fd, body, size) < 0))
		return 1;
	while (!answer.is_complete &&
	       (got = read(fd, buffer, sizeof(buffer))) > 0) {
		append(&text, buffer, (size_t)got);
		parse_answer(&text, 0, &answer);
	}
	close(fd);
	printf("%d\n%s\n", answer.status,
	       answer.content.data ? answer.content.data : "");
	return answer.status == 200 || answer.status == 204 ? 0 : 1;
}

static int run_put(const char *to, const char *path)
{
	text_t body = {0};
	char buffer[READ_SIZE];
	ssize_t got;

	while ((got = read(0, buffer, sizeof(buffer))) > 0)
		append(&body, buffer, (size_t)got);
	return run_call(to, "PUT", path, body.data, body.size);
}

/* One request of 'ask'. */
typedef struct {
	int fd; /* -1 once it has ended */
	long sent_at;
	text_t text;
	char id[64];
	answer_t answer;
} request_t;

static void end_request(request_t *request, const char *how)
{
	answer_t *answer = &request->answer;
	char last[64] = "-";
	const char *at = answer->content.data;
	const char *line;

	for (line = at; line && (line = strstr(line, "id: ")); line += 4)
		sscanf(line + 4, "%63s", last);
	printf("request %s sent %ld status %d %s ms %ld body %zu signed %d "
	       "events %d last %s\n",
	       request->id, request->sent_at, answer->status, how,
	       now_ms() - request->sent_at, answer->body, answer->is_signed,
	       answer->events, last);
	fflush(stdout);
	close(request->fd);
	request->fd = -1;
	free(request->text.data);
	free(answer->content.data);
	memset(&request->text, 0, sizeof(request->text));
	memset(answer, 0, sizeof(*answer));
}

/* Sends a short request and reads its answer; returns 0 if there is none. */
static int warm_up(int fd, const char *id)
{
	struct timeval limit = {2, 0};
	text_t text = {0};
	answer_t answer = {0};
	char buffer[READ_SIZE];
	ssize_t got = 0;

	snprintf(buffer, sizeof(buffer),
		 "GET /read/w HTTP/1.1\r\nHost: front.example\r\n"
		 "X-Hawthorncross-Request-Id: w%s\r\n"
		 "X-Hawthorncross-Deadline-Ms: 1000\r\n\r\n",
		 id);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (write(fd, buffer, strlen(buffer)) < 0)
		return 0;
	while (!answer.is_complete &&
	       (got = read(fd, buffer, sizeof(buffer))) > 0) {
		append(&text, buffer, (size_t)got);
		parse_answer(&text, 0, &answer);
	}
	free(text.data);
	free(answer.content.data);
	return answer.is_complete;
}

static void start_request(request_t *request, int number, int argc, char **argv)
{
	text_t text = {0};
	char line[512];
	int i;

	snprintf(request->id, sizeof(request->id), "%d-%d", (int)getpid(),
		 number);
	request->sent_at = now_ms();
	request->fd = connect_to(argv[2], 0);
	if (request->fd >= 0 && getenv("KEPT") &&
	    !warm_up(request->fd, request->id)) {
		close(request->fd);
		request->fd = -1;
	}
	if (request->fd < 0) {
		printf("request %s sent %ld status 0 no-connection ms 0 body 0 "
		       "signed 0 events 0 last -\n",
		       request->id, request->sent_at);
		fflush(stdout);
		return;
	}
	request->sent_at = now_ms();
	snprintf(line, sizeof(line),
		 "%s %s HTTP/1.1\r\nHost: front.example\r\n"
		 "X-Hawthorncross-Request-Id: %s\r\nContent-Length: %d\r\n",
		 argv[6], argv[7], request->id, strcmp(argv[6], "GET") ? 4 : 0);
	add(&text, line);
	for (i = 8; i < argc; i++) {
		add(&text, argv[i]);
		add(&text, "\r\n");
	}
	add(&text, "\r\n");
	if (strcmp(argv[6], "GET"))
		add(&text, "body");
	if (write(request->fd, text.data, text.size) < 0)
		perror("rv2: write");
	free(text.data);
	fcntl(request->fd, F_SETFL, O_NONBLOCK);
}

static void read_request(request_t *request)
{
	char buffer[READ_SIZE];
	ssize_t got = read(request->fd, buffer, sizeof(buffer));

	if (got < 0 && errno == EAGAIN)
		return;
	if (got > 0)
		append(&request->text, buffer, (size_t)got);
	parse_answer(&request->text, !got, &request->answer);
	if (request->answer.is_complete)
		end_request(request, "complete");
	else if (got <= 0)
		end_request(request, request->answer.status ? "broken"
							    : "closed");
}

static int run_ask(int argc, char **argv)
{
	static request_t requests[CONNS_MAX];
	int count = atoi(argv[3]);
	long gap = atol(argv[4]);
	long wait = atol(argv[5]);
	long next = now_ms();
	int sent = 0;
	int open = 0;
	int i;

	for (i = 0; i < CONNS_MAX; i++)
		requests[i].fd = -1;
	while (sent < count || open) {
		struct pollfd fds[CONNS_MAX];
		int of[CONNS_MAX];
		int polled = 0;
		long now = now_ms();

		while (sent < count && now >= next) {
			for (i = 0; i < CONNS_MAX && requests[i].fd >= 0; i++)
				;
			if (i == CONNS_MAX)
				break;
			start_request(&requests[i], sent++, argc, argv);
			next += gap;
		}
		open = 0;
		for (i = 0; i < CONNS_MAX; i++) {
			if (requests[i].fd < 0)
				continue;
			if (now - requests[i].sent_at > wait) {
				end_request(&requests[i], "unanswered");
				continue;
			}
			fds[polled] = (struct pollfd){requests[i].fd, POLLIN, 0};
			of[polled++] = i;
		}
		open = polled;
		if (poll(fds, (nfds_t)polled, 5) < 0)
			die("poll");
		for (i = 0; i < polled; i++) {
			if (fds[i].revents)
				read_request(&requests[of[i]]);
		}
	}
	return 0;
}

static int run_slow(char **argv)
{
	text_t text = {0};
	answer_t answer = {0};
	long rate = atol(argv[4]);
	long wait = atol(argv[5]);
	char head[512];
	char buffer[READ_SIZE];
	long begun = now_ms();
	long passed = 0;
	const char *how = "unanswered";
	int fd = connect_to(argv[2], 4096);

	if (fd < 0)
		die("connect");
	snprintf(head, sizeof(head),
		 "GET %s HTTP/1.1\r\nHost: front.example\r\n"
		 "X-Hawthorncross-Request-Id: slow-%d\r\n"
		 "X-Hawthorncross-Deadline-Ms: %ld\r\n\r\n",
		 argv[3], (int)getpid(), wait);
	if (write(fd, head, strlen(head)) < 0)
		die("write");
	printf("slow request sent %ld\n", begun);
	fflush(stdout);
	while ((passed = now_ms() - begun) < wait) {
		long allowed = rate * passed / 1000 - (long)text.size;
		ssize_t got;

		if (allowed < 2048) {
			usleep(5000);
			continue;
		}
		got = read(fd, buffer,
			   allowed < READ_SIZE ? (size_t)allowed : READ_SIZE);
		if (got <= 0) {
			how = got ? "reset" : "closed";
			break;
		}
		append(&text, buffer, (size_t)got);
		if (text.size > 7 &&
		    !memcmp(text.data + text.size - 7, "\r\n0\r\n\r\n", 7))
			break;
	}
	parse_answer(&text, 0, &answer);
	printf("slow answer status %d %s ms %ld body %zu signed %d %s\n",
	       answer.status, answer.is_complete ? "complete" : "incomplete",
	       passed, answer.body, answer.is_signed,
	       answer.is_complete ? "-" : how);
	return 0;
}

static int run_heads(char **argv)
{
	int conns = atoi(argv[3]);
	int requests = atoi(argv[4]);
	int plain = atoi(argv[5]);
	int words = atoi(argv[6]);
	int fds[CONNS_MAX];
	text_t text = {0};
	char line[256];
	char buffer[READ_SIZE];
	int i;
	int n;
	long begun = now_ms();
	size_t largest = 0;

	for (i = 0; i < conns; i++) {
		fds[i] = connect_to(argv[2], 0);
		if (fds[i] < 0)
			die("connect");
	}
	for (i = 0; i < conns; i++) {
		clear(&text);
		for (n = 0; n < requests; n++) {
			size_t before = text.size;
			int k;

			snprintf(line, sizeof(line),
				 "GET /read/h HTTP/1.1\r\nHost: front.example\r\n"
				 "X-Hawthorncross-Request-Id: h%d-%d-%d\r\n"
				 "X-Hawthorncross-Deadline-Ms: 1000\r\n"
				 "%s: keep-alive",
				 (int)getpid(), i, n, words ? "Connection" : "X-List");
			add(&text, line);
			for (k = 0; k < (words ? words : 3900); k++)
				add(&text, ",a");
			add(&text, "\r\n");
			for (k = 0; k < plain; k++)
				add(&text, "b:\r\n");
			add(&text, "\r\n");
			if (text.size - before > largest)
				largest = text.size - before;
		}
		if (write(fds[i], text.data, text.size) < 0)
			perror("rv2: write");
	}
	printf("heads sent %d at %ld largest %zu bytes\n", conns * requests,
	       begun, largest);
	fflush(stdout);
	for (i = 0; i < conns; i++) {
		struct timeval limit = {60, 0};
		ssize_t got;

		clear(&text);
		setsockopt(fds[i], SOL_SOCKET, SO_RCVTIMEO, &limit,
			   sizeof(limit));
		got = read(fds[i], buffer, sizeof(buffer) - 1);
		buffer[got > 0 ? got : 0] = '\0';
		printf("heads connection %d first answer after %ld ms: %.12s\n",
		       i, now_ms() - begun, buffer);
		fflush(stdout);
	}
	return 0;
}

static int run_leave(int argc, char **argv)
{
	int count = atoi(argv[3]);
	char line[512];
	int n;
	int i;

	for (n = 0; n < count; n++) {
		text_t text = {0};
		int fd = connect_to(argv[2], 0);

		if (fd < 0)
			die("connect");
		snprintf(line, sizeof(line),
			 "%s %s HTTP/1.1\r\nHost: front.example\r\n"
			 "X-Hawthorncross-Request-Id: l%d-%d\r\n"
			 "Content-Length: 4\r\n",
			 argv[4], argv[5], (int)getpid(), n);
		add(&text, line);
		for (i = 6; i < argc; i++) {
			add(&text, argv[i]);
			add(&text, "\r\n");
		}
		add(&text, "\r\nbody");
		if (write(fd, text.data, text.size) < 0)
			perror("rv2: write");
		close(fd);
		free(text.data);
		printf("leave request l%d-%d sent and closed at %ld\n",
		       (int)getpid(), n, now_ms());
		usleep(200000);
	}
	return 0;
}

static int run_idle(char **argv)
{
	int conns = atoi(argv[3]);
	int fds[CONNS_MAX];
	char id[64];
	int served = 0;
	int open = 0;
	int i;

	for (i = 0; i < conns && i < CONNS_MAX; i++) {
		snprintf(id, sizeof(id), "i%d-%d", (int)getpid(), i);
		fds[i] = connect_to(argv[2], 0);
		if (fds[i] < 0)
			continue;
		open++;
		if (!warm_up(fds[i], id))
			break;
		served++;
	}
	printf("idle connections %d served %d at %ld\n", open, served,
	       now_ms());
	fflush(stdout);
	usleep((useconds_t)atol(argv[4]) * 1000);
	printf("idle end at %ld\n", now_ms());
	return 0;
}

typedef struct {
	int fd;
	text_t in;
	text_t out;
	long due; /* next step of the answer; 0 for none */
	long size; /* of the answer; 0 for the server's */
	int event;
	int events;
	int cut_at;    /* event in which it breaks off, or -1 */
	int is_closed; /* once out is written */
	char id[96];
} server_conn_t;

typedef struct {
	int is_engine;
	long size;
	long delay;
	int events;
	long event_ms;
	int spoil_call;
	int spoil;
	int cut;
	int calls;
	int streams;
	int answered;
	int sequence;
	int running;
	char adapters[4096];
} server_t;

static int number_of(const char *text, const char *name, int otherwise)
{
	const char *at = strstr(text, name);

	return at ? atoi(at + strlen(name)) : otherwise;
}

/* Carries out an order for an adapter at once. */
static void carry_out(server_t *server, const char *body)
{
	const char *at = strstr(body, "\"adapter\":\"");
	char name[200];
	char entry[256];

	server->sequence++;
	if (!at || sscanf(at + 11, "%199[^\"]", name) != 1)
		return;
	snprintf(entry, sizeof(entry), "\"%s@1\"", name);
	if (strstr(body, "\"unload\"")) {
		char *found = strstr(server->adapters, entry);
		size_t size = strlen(entry);

		if (!found)
			return;
		if (found[size] == ',')
			size++;
		else if (found > server->adapters)
			found--, size++;
		memmove(found, found + size, strlen(found + size) + 1);
	} else if (!strstr(server->adapters, entry) &&
		   strlen(server->adapters) + strlen(entry) + 2 <
			   sizeof(server->adapters)) {
		if (*server->adapters)
			strcat(server->adapters, ",");
		strcat(server->adapters, entry);
	}
}

static void answer_call(server_t *server, server_conn_t *conn,
			const char *body, int is_report)
{
	char report[5000];
	char head[256];
	int status = 200;
	int is_spoiled = server->spoil_call &&
			 ++server->calls % server->spoil_call == 0;

	if (is_report) {
		snprintf(report, sizeof(report),
			 "{\"stage\":\"colocated\",\"models\":[{\"name\":"
			 "\"base\",\"version\":1,\"adapters\":[%s]}],\"busy\":"
			 "false,\"seq\":%d,\"queued\":0,\"running\":%d,"
			 "\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}",
			 server->adapters, server->sequence, server->running);
	} else {
		snprintf(report, sizeof(report), "{}");
		if (number_of(body, "\"expected\":", server->sequence) !=
		    server->sequence) {
			status = 409;
		} else {
			status = 202;
			carry_out(server, body);
		}
	}
	/* One wrong byte in the value. */
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %s%zu\r\n\r\n",
		 status, is_spoiled ? "~" : "", strlen(report));
	add(&conn->out, head);
	add(&conn->out, report);
	printf("%ld call %s %d%s\n", now_ms(), is_report ? "report" : "order",
	       status, is_spoiled ? " spoiled" : "");
}

static void begin_stream(server_t *server, server_conn_t *conn,
			 const char *last_event)
{
	char head[512];
	int is_spoiled;

	server->streams++;
	is_spoiled = server->spoil && server->streams % server->spoil == 0;
	conn->cut_at = -1;
	conn->event = last_event ? atoi(last_event) + 1 : 0;
	conn->events = server->events;
	if (server->cut && server->streams % server->cut == 0 && !last_event)
		conn->cut_at = server->events / 2;
	server->running++;
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		 "X-Hawthorncross-Request-Id: %s\r\n"
		 "X-Hawthorncross-Server-Stam%c: s.%d\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 conn->id, is_spoiled ? '~' : 'p', server->streams);
	add(&conn->out, head);
	conn->due = now_ms() + server->event_ms;
	printf("%ld run %s from %d%s%s\n", now_ms(), conn->id, conn->event,
	       is_spoiled ? " spoiled" : "",
	       conn->cut_at >= 0 ? " cut" : "");
}

static void answer_plain(server_t *server, server_conn_t *conn)
{
	char line[512];
	text_t body = {0};
	long size = conn->size ? conn->size : server->size;
	long i;

	snprintf(line, sizeof(line),
		 "HTTP/1.1 200 OK\r\nX-Hawthorncross-Request-Id: %s\r\n"
		 "X-Hawthorncross-Server-Stamp: s.1\r\n"
		 "Content-Length: %ld\r\n\r\n",
		 conn->id, size);
	add(&conn->out, line);
	for (i = 0; i < size; i++)
		append(&body, "x", 1);
	if (body.size)
		append(&conn->out, body.data, body.size);
	free(body.data);
	server->answered++;
}

static int is_too_large(const char *head, const char *end)
{
	char value[128];

	return find_header(head, end, "X-Hawthorncross-Token-Count", value,
			   sizeof(value)) &&
	       strtod(value, NULL) > 100000;
}

/* Handles the first request in conn->in; returns 0 if it is not complete. */
static int handle_request(server_t *server, server_conn_t *conn)
{
	char value[256];
	char line[64];
	char *end = conn->in.size ? strstr(conn->in.data, "\r\n\r\n") : NULL;
	size_t size = 0;
	const char *last;

	if (!end || conn->due)
		return 0;
	end += 4;
	if (find_header(conn->in.data, end, "Content-Length", value,
			sizeof(value)))
		size = strtoul(value, NULL, 10);
	if (conn->in.size < (size_t)(end - conn->in.data) + size)
		return 0;
	snprintf(line, sizeof(line), "%.60s", conn->in.data);
	*conn->id = '\0';
	find_header(conn->in.data, end, "X-Hawthorncross-Request-Id", conn->id,
		    sizeof(conn->id));
	last = find_header(conn->in.data, end, "Last-Event-Id", value,
			   sizeof(value));
	if (!strncmp(line, "GET /report", 11) || !strncmp(line, "POST /order", 11)) {
		answer_call(server, conn, end, line[0] == 'G');
	} else if (server->is_engine && is_too_large(conn->in.data, end)) {
		char head[256];

		snprintf(head, sizeof(head),
			 "HTTP/1.1 503 Full\r\nX-Hawthorncross-Request-Id: %s\r\n"
			 "X-Hawthorncross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
			 conn->id);
		add(&conn->out, head);
		printf("%ld not run %s\n", now_ms(), conn->id);
	} else if (server->is_engine) {
		begin_stream(server, conn, last);
	} else {
		const char *big = strstr(line, "/big/");

		conn->size = big ? atol(big + 5) : 0;
		printf("%ld run %s\n", now_ms(), conn->id);
		if (server->delay && strstr(line, "/write/"))
			conn->due = now_ms() + server->delay;
		else
			answer_plain(server, conn);
	}
	drop(&conn->in, (size_t)(end - conn->in.data) + size);
	fflush(stdout);
	return 1;
}

static void add_chunk(text_t *out, const char *data)
{
	char size[32];

	snprintf(size, sizeof(size), "%zx\r\n", strlen(data));
	add(out, size);
	add(out, data);
	add(out, "\r\n");
}

/* The next event of a stream, or its end. */
static void step(server_t *server, server_conn_t *conn)
{
	char event[128];

	conn->due = 0;
	if (!server->is_engine) {
		answer_plain(server, conn);
		return;
	}
	if (conn->event == conn->cut_at) {
		add_chunk(&conn->out, "id: ");
		conn->is_closed = 1;
		server->running--;
		return;
	}
	if (conn->event >= conn->events) {
		add(&conn->out, "0\r\n\r\n");
		server->running--;
		return;
	}
	snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n",
		 conn->event, conn->event);
	add_chunk(&conn->out, event);
	conn->event++;
	conn->due = now_ms() + server->event_ms;
}

static void close_conn(server_t *server, server_conn_t *conn)
{
	if (conn->due && server->is_engine)
		server->running--;
	close(conn->fd);
	free(conn->in.data);
	free(conn->out.data);
	memset(conn, 0, sizeof(*conn));
	conn->fd = -1;
}

static void serve_conn(server_t *server, server_conn_t *conn, int events)
{
	char buffer[READ_SIZE];
	ssize_t got;

	if (events & (POLLIN | POLLHUP | POLLERR)) {
		got = read(conn->fd, buffer, sizeof(buffer));
		if (got > 0)
			append(&conn->in, buffer, (size_t)got);
		else if (!got || errno != EAGAIN) {
			close_conn(server, conn);
			return;
		}
	}
	if (conn->due && now_ms() >= conn->due)
		step(server, conn);
	while (handle_request(server, conn))
		;
	if (conn->out.size) {
		got = write(conn->fd, conn->out.data, conn->out.size);
		if (got > 0)
			drop(&conn->out, (size_t)got);
		else if (errno != EAGAIN) {
			close_conn(server, conn);
			return;
		}
	}
	if (conn->is_closed && !conn->out.size)
		close_conn(server, conn);
}

static int run_server(int argc, char **argv)
{
	static server_conn_t conns[CONNS_MAX];
	server_t server = {.size = 100, .events = 6, .event_ms = 5};
	struct sockaddr_in address = parse_address(argv[2]);
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	int i;

	server.is_engine = !strcmp(argv[3], "engine");
	for (i = 4; i < argc; i++) {
		long number = strchr(argv[i], '=') ? atol(strchr(argv[i], '=') + 1)
						   : 0;

		if (!strncmp(argv[i], "size=", 5))
			server.size = number;
		else if (!strncmp(argv[i], "delay=", 6))
			server.delay = number;
		else if (!strncmp(argv[i], "events=", 7))
			server.events = (int)number;
		else if (!strncmp(argv[i], "event_ms=", 9))
			server.event_ms = number;
		else if (!strncmp(argv[i], "spoil_call=", 11))
			server.spoil_call = (int)number;
		else if (!strncmp(argv[i], "spoil=", 6))
			server.spoil = (int)number;
		else if (!strncmp(argv[i], "cut=", 4))
			server.cut = (int)number;
	}
	for (i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(listener, 128) < 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &length) < 0)
		die("listen");
	printf("listening %d\n", ntohs(address.sin_port));
	fflush(stdout);
	for (;;) {
		struct pollfd fds[CONNS_MAX + 1];
		int of[CONNS_MAX + 1];
		int polled = 1;

		fds[0] = (struct pollfd){listener, POLLIN, 0};
		for (i = 0; i < CONNS_MAX; i++) {
			if (conns[i].fd < 0)
				continue;
			fds[polled] = (struct pollfd){
				conns[i].fd,
				(short)(POLLIN |
					(conns[i].out.size ? POLLOUT : 0)),
				0};
			of[polled++] = i;
		}
		if (poll(fds, (nfds_t)polled, 2) < 0)
			die("poll");
		for (i = 1; i < polled; i++) {
			server_conn_t *conn = &conns[of[i]];

			if (fds[i].revents ||
			    (conn->due && now_ms() >= conn->due))
				serve_conn(&server, conn, fds[i].revents);
		}
		if (!fds[0].revents)
			continue;
		for (i = 0; i < CONNS_MAX && conns[i].fd >= 0; i++)
			;
		if (i < CONNS_MAX) {
			conns[i].fd = accept(listener, NULL, NULL);
			if (conns[i].fd >= 0) {
				fcntl(conns[i].fd, F_SETFL, O_NONBLOCK);
				setsockopt(conns[i].fd, IPPROTO_TCP,
					   TCP_NODELAY, &on, sizeof(on));
			}
		}
	}
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc >= 4 && !strcmp(argv[1], "put"))
		return run_put(argv[2], argv[3]);
	if (argc >= 4 && !strcmp(argv[1], "get"))
		return run_call(argv[2], "GET", argv[3], NULL, 0);
	if (argc >= 8 && !strcmp(argv[1], "ask"))
		return run_ask(argc, argv);
	if (argc >= 6 && !strcmp(argv[1], "slow"))
		return run_slow(argv);
	if (argc >= 7 && !strcmp(argv[1], "heads"))
		return run_heads(argv);
	if (argc >= 6 && !strcmp(argv[1], "leave"))
		return run_leave(argc, argv);
	if (argc >= 5 && !strcmp(argv[1], "idle"))
		return run_idle(argv);
	if (argc >= 4 && !strcmp(argv[1], "server"))
		return run_server(argc, argv);
	fprintf(stderr, "usage: see review/lib-2/rv2.c\n");
	return 2;
}
