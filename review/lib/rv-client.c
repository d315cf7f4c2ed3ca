/*
 * rv-client RECORD NAME ADDRESS THREADS SECONDS GAP_MS METHOD PATH [HEADER...]
 *
 * Sound clients: each keeps a connection, sends a request, waits for its
 * answer, and sends the next one GAP_MS after the former was sent or as soon as
 * it was answered.  After a closed connection it opens another one.  No request
 * is retried: each has an id of its own.  Records each request and its end.
 * "@" in a header stands for the request's id.
 */
#include "rv.h"

static char **arguments;
static int argument_count;
static long long end_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *run(void *number)
{
	const char *name = arguments[2];
	const char *address = arguments[3];
	long long gap = atoll(arguments[6]);
	const char *method = arguments[7];
	message_t *answer = calloc(1, sizeof(*answer));
	int fd = -1;
	int used = 0;
	int count = 0;

	rv_sleep(gap * (long)number / atoi(arguments[4]));
	while (rv_now() < end_at) {
		long long sent_at = rv_now();
		char id[64];
		char text[HEAD_MAX];
		int size;
		int result;
		int i;

		if (fd < 0) {
			fd = rv_connect(address);
			answer->rest_size = 0;
			used = 0;
		}
		if (fd < 0) {
			rv_sleep(50);
			continue;
		}
		snprintf(id, sizeof(id), "%s-%ld-%d", name, (long)number,
			 count++);
		size = snprintf(text, sizeof(text),
				"%s %s HTTP/1.1\r\nHost: front.example\r\n"
				"X-Hawthorncross-Request-Id: %s\r\n"
				"X-Hawthorncross-Deadline-Ms: 1000\r\n",
				method, arguments[8], id);
		for (i = 9; i < argument_count; i++)
			size += snprintf(text + size, sizeof(text) - size,
					 "%.*s%s%s\r\n",
					 (int)strcspn(arguments[i], "@"),
					 arguments[i],
					 strchr(arguments[i], '@') ? id : "",
					 strchr(arguments[i], '@')
						 ? strchr(arguments[i], '@') + 1
						 : "");
		size += snprintf(text + size, sizeof(text) - size, "%s",
				 strcmp(method, "GET")
					 ? "Content-Length: 2\r\n\r\nhi"
					 : "\r\n");
		pthread_mutex_lock(&lock);
		rv_note(name, "sent %s %s", id, used ? "kept" : "new");
		pthread_mutex_unlock(&lock);
		result = rv_write(fd, text, (size_t)size)
				 ? -1
				 : rv_read(fd, answer, 3000);
		pthread_mutex_lock(&lock);
		if (result == 1)
			rv_note(name, "answered %s %.3s %zu %.*s", id,
				answer->head + 9, answer->body_size,
				(int)strcspn(answer->body, "\n"),
				answer->body);
		else
			rv_note(name, "%s %s",
				result == -2 ? "unanswered" : "closed", id);
		pthread_mutex_unlock(&lock);
		used = 1;
		if (result != 1 ||
		    strcasestr(answer->head, "\r\nconnection: close")) {
			close(fd);
			fd = -1;
		}
		rv_sleep(sent_at + gap - rv_now());
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[64];
	int count = atoi(argv[4]);
	long i;

	arguments = argv;
	argument_count = argc;
	rv_open_record(argv[1]);
	end_at = rv_now() + atoll(argv[5]) * 1000;
	for (i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, run, (void *)i);
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	return 0;
}
