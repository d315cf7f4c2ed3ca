/*
 * peer3: small stand-ins for the review cases 11 to 15.  Plain C, no library.
 *
 *	peer3 call METHOD IP:PORT PATH [BODY]
 *		one HTTP call; prints the status, then the body
 *	peer3 serve IP:PORT ID WORK_MS RECORD
 *		a plain server: answers each request after WORK_MS, one at a
 *		time on a connection, and records the ids that it has run
 *	peer3 ordinary RECORD SECONDS PATH TIMEOUT_MS PAUSE_MS COUNT IP:PORT...
 *		COUNT ordinary clients for each front; each keeps its connection
 *		and sends one request after another, of a stream if PATH begins
 *		with /stream/, else an idempotent one; it gives a
 *		request up half a second after TIMEOUT_MS and connects anew
 *	peer3 crowd IP:PORT COUNT FORM [NUMBER [PAUSE_MS]]
 *		clients that nobody controls, PAUSE_MS apart; prints "settled" once all have
 *		sent what they can, and holds the connections until it is killed
 *	peer3 watch PID MEMORY_MIB RECORD
 *		ends PID as the platform does once it uses more memory
 */
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
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 32768

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void sleep_ms(long long ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	while (nanosleep(&t, &t) < 0 && errno == EINTR)
		;
}

static void note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%lld ", now_ms());
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static void open_record(const char *path)
{
	record = fopen(path, "a");
	if (!record)
		exit(2);
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	char host[64];
	int port = 0;

	if (sscanf(text, "%63[^:]:%d", host, &port) != 2 ||
	    inet_pton(AF_INET, host, &to.sin_addr) != 1)
		exit(2);
	to.sin_port = htons((unsigned short)port);
	return to;
}

/* Of clients that don't read: the smallest, so that little is underway. */
static int receive_buffer;

/* Connects within a time; returns -1 if that fails. */
static int connect_within(const char *address, int ms)
{
	struct sockaddr_in to = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct pollfd wait = {.fd = fd, .events = POLLOUT};
	int one = 1;
	int error = 0;
	socklen_t size = sizeof(error);

	if (fd < 0)
		return -1;
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	    (errno != EINPROGRESS || poll(&wait, 1, ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 ||
	     error)) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int send_all(int fd, const char *text, size_t size)
{
	struct pollfd wait = {.fd = fd, .events = POLLOUT};

	while (size) {
		ssize_t sent = send(fd, text, size, MSG_NOSIGNAL);

		if (sent < 0 && errno == EAGAIN) {
			if (poll(&wait, 1, 2000) != 1)
				return -1;
			continue;
		}
		if (sent < 0)
			return -1;
		text += sent;
		size -= (size_t)sent;
	}
	return 0;
}

/*
 * Reads an answer with a Content-Length, in chunks, or up to the end of the
 * connection.
 * Returns its status, 0 if nothing came in time, -1 if the connection ended
 * without a whole answer.
 */
static int read_answer(int fd, long long until, char *body, size_t body_max)
{
	static _Thread_local char text[8 * HEAD_MAX];
	size_t size = 0;
	char *end = NULL;
	char *length;
	size_t wanted = 0;
	int ends_with_connection = 0;
	int is_chunked = 0;
	int status = 0;

	for (;;) {
		struct pollfd wait = {.fd = fd, .events = POLLIN};
		long long left = until - now_ms();
		ssize_t got;

		if (left <= 0 || poll(&wait, 1, (int)left) != 1)
			return 0;
		got = recv(fd, text + size, sizeof(text) - 1 - size, 0);
		if (got < 0 && errno == EAGAIN)
			continue;
		if (got < 0)
			return -1;
		if (!got && end && ends_with_connection)
			wanted = (size_t)(text + size - end);
		else if (!got)
			return -1;
		size += (size_t)got;
		text[size] = '\0';
		if (!end) {
			end = strstr(text, "\r\n\r\n");
			if (!end && size >= sizeof(text) - 1)
				return -1;
			if (!end)
				continue;
			sscanf(text, "HTTP/1.%*d %d", &status);
			length = strcasestr(text, "\r\ncontent-length:");
			is_chunked = strcasestr(text, "\r\nTransfer-Encoding: "
						      "chunked\r\n") != NULL;
			ends_with_connection =
				!is_chunked && (!length || length > end);
			if (length && length < end)
				wanted = strtoul(length + 17, NULL, 10);
			end += 4;
		}
		if (is_chunked && (size < 5 ||
				   memcmp(text + size - 5, "0\r\n\r\n", 5)))
			continue;
		/* The sizes of the chunks stay in the body. */
		if (is_chunked)
			wanted = (size_t)(text + size - end);
		if (got && (ends_with_connection ||
			    (size_t)(text + size - end) < wanted))
			continue;
		if (body)
			snprintf(body, body_max, "%.*s", (int)wanted, end);
		return status;
	}
}

static int do_call(int argc, char **argv)
{
	static char text[HEAD_MAX];
	static char body[8 * HEAD_MAX];
	const char *sent = argc > 5 ? argv[5] : "";
	int fd = connect_within(argv[3], 2000);
	int status;

	if (fd < 0)
		return 1;
	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n"
		 "Connection: close\r\n\r\n%s",
		 argv[2], argv[4], argv[3], strlen(sent), sent);
	if (send_all(fd, text, strlen(text)))
		return 1;
	status = read_answer(fd, now_ms() + 3000, body, sizeof(body));
	printf("%d %s\n", status, body);
	return status != 200;
}

/* The plain server. */

static const char *server_id;
static int work_ms;

static int read_request(int fd, char *text, size_t max, size_t *kept)
{
	size_t size = *kept;

	for (;;) {
		char *end;
		ssize_t got;

		text[size] = '\0';
		end = strstr(text, "\r\n\r\n");
		if (end) {
			char *length = strcasestr(text, "\r\ncontent-length:");
			size_t wanted = length && length < end
						? strtoul(length + 17, NULL, 10)
						: 0;
			size_t whole = (size_t)(end + 4 - text) + wanted;

			if (size >= whole) {
				*kept = size;
				return (int)whole;
			}
		}
		if (size >= max - 1)
			return -1;
		got = recv(fd, text + size, max - 1 - size, 0);
		if (got <= 0)
			return -1;
		size += (size_t)got;
	}
}

static void copy_header(const char *text, const char *name, char *value,
			size_t max)
{
	char pattern[80];
	const char *at;

	snprintf(pattern, sizeof(pattern), "\r\n%s:", name);
	at = strcasestr(text, pattern);
	*value = '\0';
	if (!at)
		return;
	at += strlen(pattern);
	at += strspn(at, " ");
	snprintf(value, max, "%.*s", (int)strcspn(at, "\r"), at);
}

static void *serve_connection(void *arg)
{
	int fd = (int)(long)arg;
	size_t max = 256 * 1024;
	char *text = malloc(max);
	char answer[1024];
	size_t kept = 0;
	int whole;

	while ((whole = read_request(fd, text, max, &kept)) > 0) {
		char id[128];
		char expected[128];

		copy_header(text, "X-Hawthorncross-Request-Id", id, sizeof(id));
		copy_header(text, "X-Hawthorncross-Expect-Instance", expected,
			    sizeof(expected));
		if (!*id || (*expected && strcmp(expected, server_id))) {
			snprintf(answer, sizeof(answer),
				 "HTTP/1.1 %s\r\nX-Hawthorncross-Not-Run: 1\r\n"
				 "%s%s%sContent-Length: 0\r\n\r\n",
				 *id ? "421 Misdirected Request"
				     : "400 Bad Request",
				 *id ? "X-Hawthorncross-Request-Id: " : "", id,
				 *id ? "\r\n" : "");
		} else {
			note("run %s", id);
			sleep_ms(work_ms);
			snprintf(answer, sizeof(answer),
				 "HTTP/1.1 200 OK\r\n"
				 "X-Hawthorncross-Request-Id: %s\r\n"
				 "X-Hawthorncross-Server-Stamp: signed\r\n"
				 "Content-Type: text/plain\r\n"
				 "Content-Length: 5\r\n\r\ndone\n",
				 id);
		}
		if (send_all(fd, answer, strlen(answer)))
			break;
		memmove(text, text + whole, kept - (size_t)whole);
		kept -= (size_t)whole;
	}
	close(fd);
	free(text);
	return NULL;
}

static int do_serve(char **argv)
{
	struct sockaddr_in at = parse_address(argv[2]);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	server_id = argv[3];
	work_ms = atoi(argv[4]);
	open_record(argv[5]);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&at, sizeof(at)) < 0 ||
	    listen(listener, 512) < 0)
		return 2;
	printf("listening %s\n", argv[2]);
	fflush(stdout);
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (pthread_create(&thread, NULL, serve_connection,
				   (void *)(long)fd))
			close(fd);
		else
			pthread_detach(thread);
	}
}

/* Ordinary clients. */

static long long ordinary_end;
static const char *ordinary_path;
static int ordinary_timeout;
static int ordinary_pause;

typedef struct {
	const char *address;
	int number;
} ordinary_t;

static void *run_ordinary(void *arg)
{
	const ordinary_t *client = arg;
	int is_stream = !strncmp(ordinary_path, "/stream/", 8);
	int fd = -1;
	int used = 0;
	int count = 0;

	while (now_ms() < ordinary_end) {
		char text[512];
		long long sent_at = now_ms();
		long long until = sent_at + ordinary_timeout + 500;
		const char *kind = used ? "kept" : "new";
		int status;

		if (fd < 0) {
			fd = connect_within(client->address, 1000);
			used = 0;
			kind = "new";
		}
		if (fd < 0) {
			note("connect %s client %d failed", client->address,
			     client->number);
			sleep_ms(100);
			continue;
		}
		snprintf(text, sizeof(text),
			 "%s %s HTTP/1.1\r\nHost: front.example\r\n"
			 "X-Hawthorncross-Request-Id: o%d-%d-%d\r\n"
			 "X-Hawthorncross-Deadline-Ms: %d\r\n%s\r\n%s",
			 is_stream ? "POST" : "GET", ordinary_path,
			 (int)getpid(), client->number, ++count,
			 ordinary_timeout,
			 is_stream ? "X-Hawthorncross-Model: base\r\n"
				     "X-Hawthorncross-Token-Count: 100,20\r\n"
				     "Content-Length: 6\r\n"
				   : "",
			 is_stream ? "prompt" : "");
		sent_at = now_ms();
		until = sent_at + ordinary_timeout + 500;
		status = send_all(fd, text, strlen(text))
				 ? -1
				 : read_answer(fd, until, NULL, 0);
		note("request o%d-%d-%d at %s %s %s %d after %lld",
		     (int)getpid(), client->number, count, client->address,
		     kind,
		     status > 0	 ? "answered"
		     : status < 0 ? "closed"
				  : "unanswered",
		     status, now_ms() - sent_at);
		used = 1;
		if (status <= 0) {
			close(fd);
			fd = -1;
		}
		sleep_ms(ordinary_pause);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static int do_ordinary(int argc, char **argv)
{
	int count = atoi(argv[7]);
	int fronts = argc - 8;
	pthread_t *threads = calloc((size_t)(count * fronts), sizeof(*threads));
	ordinary_t *clients = calloc((size_t)(count * fronts), sizeof(*clients));
	int i;

	open_record(argv[2]);
	ordinary_end = now_ms() + atoi(argv[3]) * 1000LL;
	ordinary_path = argv[4];
	ordinary_timeout = atoi(argv[5]);
	ordinary_pause = atoi(argv[6]);
	for (i = 0; i < count * fronts; i++) {
		clients[i].address = argv[8 + i % fronts];
		clients[i].number = i;
		if (pthread_create(&threads[i], NULL, run_ordinary, &clients[i]))
			return 2;
	}
	for (i = 0; i < count * fronts; i++)
		pthread_join(threads[i], NULL);
	return 0;
}

/* Clients that nobody controls. */

typedef struct {
	int fd;
	char *text;
	size_t size;
	size_t sent;
} member_t;

static char *stream_request(int number, int parts, int first, int digits)
{
	char *text = malloc(HEAD_MAX);
	size_t size;
	int i;

	size = (size_t)snprintf(text, HEAD_MAX,
				"POST /stream/x HTTP/1.1\r\n"
				"Host: front.example\r\n"
				"X-Hawthorncross-Request-Id: c%d-%d\r\n"
				"X-Hawthorncross-Deadline-Ms: 15000\r\n"
				"X-Hawthorncross-Model: base\r\n"
				"X-Hawthorncross-Token-Count: %d,120\r\n"
				"X-Hawthorncross-Prompt-Prefix: ",
				(int)getpid(), number, parts);
	for (i = 0; i < parts; i++)
		size += (size_t)snprintf(text + size, HEAD_MAX - size,
					 "%s%0*x:1", i ? "," : "", digits,
					 digits > 1 ? first + i : i % 16);
	snprintf(text + size, HEAD_MAX - size,
		 "\r\nContent-Length: 6\r\n\r\nprompt");
	return text;
}

static void make_member(member_t *member, int number, const char *form,
			int amount)
{
	static const char unknown[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	static const char read[] = "GET /read/x HTTP/1.1\r\n"
				   "Host: front.example\r\n"
				   "X-Hawthorncross-Request-Id: crowd\r\n"
				   "X-Hawthorncross-Deadline-Ms: 5000\r\n\r\n";
	static char *pipelined;
	size_t i;

	if (!strcmp(form, "distinct-parts")) {
		member->text = stream_request(number, amount, number * amount, 5);
	} else if (!strcmp(form, "short-parts")) {
		member->text = stream_request(number, amount, 0, 1);
	} else if (!strcmp(form, "unread") || !strcmp(form, "unknown")) {
		const char *one = *form == 'u' && form[2] == 'k' ? unknown : read;
		size_t size = strlen(one);

		/* All send the same. */
		if (!pipelined) {
			pipelined = malloc(size * (size_t)amount + 1);
			for (i = 0; i < (size_t)amount; i++)
				memcpy(pipelined + i * size, one, size + 1);
		}
		member->text = pipelined;
	} else if (!strcmp(form, "unfinished")) {
		member->text = malloc((size_t)amount + 512);
		i = (size_t)sprintf(member->text,
				    "POST /read/x HTTP/1.1\r\n"
				    "Host: front.example\r\n"
				    "X-Hawthorncross-Request-Id: c%d-%d\r\n"
				    "X-Hawthorncross-Deadline-Ms: 5000\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n%x\r\n",
				    (int)getpid(), number, amount + 1);
		memset(member->text + i, 'x', (size_t)amount);
		member->text[i + (size_t)amount] = '\0';
	} else {
		exit(2);
	}
	member->size = strlen(member->text);
}

/* Streams are started this far apart, so that they are admitted. */
#define STREAM_PAUSE_MS 60

/* Sent at once by a crowd that is paced: 600 whole requests of the form "unknown". */
#define PACED_BYTES (600 * 27)

static _Noreturn void do_crowd(int argc, char **argv)
{
	int count = atoi(argv[3]);
	const char *form = argv[4];
	int amount = argc > 5 ? atoi(argv[5]) : 0;
	int is_stream = strstr(form, "parts") != NULL;
	int is_unread = form[0] == 'u' && form[1] == 'n' && form[2] != 'f';
	int pause = argc > 6 ? atoi(argv[6]) : is_stream ? STREAM_PAUSE_MS : 0;
	member_t *members = calloc((size_t)count, sizeof(*members));
	long long moved_at;
	int settled = 0;
	int i;

	receive_buffer = is_unread ? 2048 : 0;
	for (i = 0; i < count; i++) {
		members[i].fd = connect_within(argv[2], 1000);
		/* It takes no more connections. */
		if (members[i].fd < 0 && !is_stream && !is_unread)
			break;
		if (members[i].fd < 0)
			continue;
		make_member(&members[i], i, form, amount);
		if (is_stream) {
			send_all(members[i].fd, members[i].text,
				 members[i].size);
			members[i].sent = members[i].size;
			sleep_ms(pause);
		}
	}
	count = i;
	printf("opened %d\n", count);
	moved_at = now_ms();
	for (;;) {
		for (i = 0; i < count; i++) {
			member_t *member = &members[i];
			char bytes[4096];
			size_t most;
			ssize_t sent;

			if (member->fd < 0)
				continue;
			if (!is_unread &&
			    recv(member->fd, bytes, sizeof(bytes), 0) == 0) {
				close(member->fd);
				member->fd = -1;
				continue;
			}
			if (member->sent == member->size)
				continue;
			most = member->size - member->sent;
			if (!is_stream && pause && most > PACED_BYTES)
				most = PACED_BYTES;
			sent = send(member->fd, member->text + member->sent,
				    most, MSG_NOSIGNAL);
			if (sent > 0 && !is_stream && pause)
				sleep_ms(pause);
			if (sent < 0 && errno != EAGAIN) {
				close(member->fd);
				member->fd = -1;
			}
			if (sent > 0) {
				member->sent += (size_t)sent;
				moved_at = now_ms();
			}
		}
		if (!settled && now_ms() - moved_at > 700) {
			settled = 1;
			printf("settled\n");
			fflush(stdout);
		}
		sleep_ms(5);
	}
}

static int do_watch(char **argv)
{
	int pid = atoi(argv[2]);
	long long max = atoll(argv[3]) * 1024 * 1024;
	long page = sysconf(_SC_PAGESIZE);
	long long most = 0;
	char path[64];

	open_record(argv[4]);
	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	for (;;) {
		FILE *file = fopen(path, "r");
		long size;
		long resident = 0;
		int read = file ? fscanf(file, "%ld %ld", &size, &resident) : 0;

		if (file)
			fclose(file);
		if (read != 2)
			return 0;
		if ((long long)resident * page > most + 8 * 1024 * 1024) {
			most = (long long)resident * page;
			note("memory %lld bytes", most);
		}
		if ((long long)resident * page > max) {
			note("memory %lld bytes is over the limit of %lld; "
			     "process %d is ended",
			     (long long)resident * page, max, pid);
			kill(pid, SIGKILL);
			return 1;
		}
		sleep_ms(5);
	}
}

int main(int argc, char **argv)
{
	struct rlimit limit;

	signal(SIGPIPE, SIG_IGN);
	if (!getrlimit(RLIMIT_NOFILE, &limit)) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	if (argc >= 5 && !strcmp(argv[1], "call"))
		return do_call(argc, argv);
	if (argc == 6 && !strcmp(argv[1], "serve"))
		return do_serve(argv);
	if (argc >= 9 && !strcmp(argv[1], "ordinary"))
		return do_ordinary(argc, argv);
	if (argc >= 5 && !strcmp(argv[1], "crowd"))
		do_crowd(argc, argv);
	if (argc == 5 && !strcmp(argv[1], "watch"))
		return do_watch(argv);
	fprintf(stderr, "peer3: wrong arguments\n");
	return 2;
}
