/*
 * rv-storelink RECORD HOST:PORT STORE COMMANDS
 *
 * A link to the store.  Reads commands, one a line, from the FIFO COMMANDS:
 *
 *	cut KEY		wait until a watch has been waiting at the store for
 *			100 ms, end the connections of all waiting watches, and
 *			then remove the key, as a server does that leaves
 *	remove KEY	the same, but end no connection
 *
 * Prints its address.  Everything else passes unchanged.
 */
#include "rv.h"

#define LINKS_MAX 256

typedef struct {
	int client;
	int store;
	long long waiting_since; /* 0: no watch waits */
	int is_used;
} link_t;

static link_t links[LINKS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static const char *store_address;

static void *relay(void *data)
{
	link_t *link = data;
	char bytes[16384];

	for (;;) {
		struct pollfd ready[2] = {{link->client, POLLIN, 0},
					  {link->store, POLLIN, 0}};
		ssize_t size;

		if (poll(ready, 2, -1) < 0)
			break;
		if (ready[0].revents) {
			size = recv(link->client, bytes, sizeof(bytes), 0);
			if (size <= 0)
				break;
			pthread_mutex_lock(&lock);
			link->waiting_since =
				strncmp(bytes, "GET /kv-watch", 13) ? 0
								    : rv_now();
			pthread_mutex_unlock(&lock);
			if (rv_write(link->store, bytes, (size_t)size))
				break;
		}
		if (ready[1].revents) {
			size = recv(link->store, bytes, sizeof(bytes), 0);
			if (size <= 0)
				break;
			pthread_mutex_lock(&lock);
			link->waiting_since = 0;
			pthread_mutex_unlock(&lock);
			if (rv_write(link->client, bytes, (size_t)size))
				break;
		}
	}
	pthread_mutex_lock(&lock);
	close(link->client);
	close(link->store);
	link->is_used = 0;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void *accept_links(void *data)
{
	int listener = (int)(long)data;

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int one = 1;
		pthread_t thread;
		int i;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&lock);
		for (i = 0; i < LINKS_MAX && links[i].is_used; i++)
			;
		if (i < LINKS_MAX) {
			links[i] = (link_t){fd, rv_connect(store_address), 0,
					    1};
			pthread_create(&thread, NULL, relay, &links[i]);
			pthread_detach(thread);
		} else {
			close(fd);
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

static void remove_key(const char *key)
{
	static message_t answer;
	char text[512];
	int fd = rv_connect(store_address);

	snprintf(text, sizeof(text),
		 "DELETE /control?key=%s HTTP/1.1\r\nHost: store\r\n"
		 "Connection: close\r\n\r\n",
		 key);
	answer.rest_size = 0;
	if (fd < 0 || rv_write(fd, text, strlen(text)) ||
	    rv_read(fd, &answer, 1000) != 1)
		rv_note("store", "failed to remove %s", key);
	else
		rv_note("store", "acknowledged the removal of %s", key);
	close(fd);
}

static void carry_out(const char *key, int must_cut)
{
	int found = 0;
	int i;

	while (!found) {
		rv_sleep(1);
		pthread_mutex_lock(&lock);
		for (i = 0; i < LINKS_MAX; i++)
			found |= links[i].is_used && links[i].waiting_since &&
				 rv_now() - links[i].waiting_since >= 100;
		for (i = 0; i < LINKS_MAX && found && must_cut; i++) {
			if (!links[i].is_used || !links[i].waiting_since)
				continue;
			rv_note("store", "cuts a watch that was waiting");
			shutdown(links[i].client, SHUT_RDWR);
		}
		pthread_mutex_unlock(&lock);
	}
	remove_key(key);
}

int main(int argc, char **argv)
{
	pthread_t thread;
	char line[256];
	int port;
	long listener;
	char host[64];
	FILE *commands;

	rv_open_record(argv[1]);
	store_address = argv[3];
	listener = rv_listen(argv[2], &port);
	snprintf(host, sizeof(host), "%.*s",
		 (int)(strrchr(argv[2], ':') - argv[2]), argv[2]);
	printf("listening %s:%d\n", host, port);
	fflush(stdout);
	pthread_create(&thread, NULL, accept_links, (void *)listener);
	commands = fopen(argv[4], "r+");
	while (commands && fgets(line, sizeof(line), commands)) {
		line[strcspn(line, "\n")] = '\0';
		if (!strncmp(line, "cut ", 4))
			carry_out(line + 4, 1);
		else if (!strncmp(line, "remove ", 7))
			carry_out(line + 7, 0);
	}
	pause();
	return 0;
}
