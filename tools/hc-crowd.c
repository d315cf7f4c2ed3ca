/*
 * hc-crowd: misbehaving HTTP clients, for tests.
 *
 *	hc-crowd IP:PORT COUNT FORM [SIZE]
 *
 * Opens COUNT connections and sends FORM over each as fast as the server reads;
 *SIZE is the limit of a body.  It prints "settled" once nothing was sent for
 *700 ms, or after 8 s, and keeps the connections open until it is killed.
 *Nothing that the server sends is read by the forms "unread" and
 *"unread-heads".
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define BLOCK_BYTES	(64 * 1024)
#define SETTLED_MS	700
#define SENDING_MAX_MS	8000
#define POLL_MS		20
#define DRIP_MS		100
#define LARGE_CHUNK	(32 * 1024)
#define PIPELINED	200
#define FORM_HEADERS	7000
#define TERABYTE	"1099511627776"
#define OPTIONS_WITHOUT 4

/* What one connection sends: a head, then a block, again and again, up to a
 * number of bytes. */
typedef struct {
	GString *head;
	GString *block;
	gint64 repeats; /* of the block; -1 for no end */
	GString *tail;
	gboolean is_dripped; /* a byte at a time */
	gboolean is_unread;
	gboolean is_whole; /* ends with its answer */
	size_t rate;	   /* bytes in a DRIP_MS; 0 for no limit */
} form_t;

typedef struct {
	int fd;
	int stage;
	gint64 repeats;
	size_t sent; /* of the stage */
	ms_t due;
} client_t;

static void append_head(GString *text, const char *framing)
{
	g_string_append_printf(text,
			       "POST /read/x HTTP/1.1\r\n"
			       "Host: front.example\r\n"
			       "X-Hawthorncross-Request-Id: crowd\r\n"
			       "X-Hawthorncross-Deadline-Ms: 5000\r\n%s\r\n",
			       framing);
}

static void append_zeros(GString *text, size_t size)
{
	gsize old = text->len;

	g_string_set_size(text, old + size);
	memset(text->str + old, 'x', size);
}

static void append_chunk(GString *text, size_t size)
{
	g_string_append_printf(text, "%zx\r\n", size);
	append_zeros(text, size);
	g_string_append(text, "\r\n");
}

/* Chunks of one size that make total bytes of a body, the last one a byte
 * short. */
static void make_chunks(form_t *form, size_t size, size_t total)
{
	size_t in_block = MAX(BLOCK_BYTES / size, 1);
	size_t i;

	append_head(form->head, "Transfer-Encoding: chunked\r\n");
	for (i = 0; i < in_block; i++)
		append_chunk(form->block, size);
	form->repeats = (gint64)(total / (size * in_block)) - 1;
	for (i = 0; i + 1 < in_block; i++)
		append_chunk(form->tail, size);
	g_string_append_printf(form->tail, "%zx\r\n", size);
	append_zeros(form->tail, size - 1);
}

/* A body of this size in chunks of one byte. */
static void make_whole_tiny(form_t *form, size_t total)
{
	size_t i;

	append_head(form->head, "Transfer-Encoding: chunked\r\n"
				"Connection: close\r\n");
	for (i = 0; i < BLOCK_BYTES; i++)
		append_chunk(form->block, 1);
	form->repeats = (gint64)(total / BLOCK_BYTES);
	g_string_append(form->tail, "0\r\n\r\n");
	form->is_whole = TRUE;
}

/* An announced body of this size that takes about 8 s. */
static void make_whole_slow(form_t *form, size_t total)
{
	char *framing = g_strdup_printf("Content-Length: %zu\r\n"
					"Connection: close\r\n",
					total);

	append_head(form->head, framing);
	g_free(framing);
	append_zeros(form->tail, total);
	form->is_whole = TRUE;
	form->rate = total / 80;
}

static void make_announced(form_t *form, size_t total)
{
	char *framing = g_strdup_printf("Content-Length: %zu\r\n", total);

	append_head(form->head, framing);
	g_free(framing);
	append_zeros(form->block, BLOCK_BYTES);
	form->repeats = (gint64)(total / BLOCK_BYTES) - 1;
	append_zeros(form->tail, total % BLOCK_BYTES + BLOCK_BYTES - 1);
}

static void make_endless(form_t *form, const char *framing, const char *block)
{
	append_head(form->head, framing);
	while (form->block->len < BLOCK_BYTES)
		g_string_append(form->block, block);
	form->repeats = -1;
}

static void make_unread(form_t *form)
{
	int i;

	for (i = 0; i < PIPELINED; i++)
		g_string_append(form->block, "GET /read/x HTTP/1.1\r\n"
					     "Host: front.example\r\n"
					     "X-Hawthorncross-Request-Id: "
					     "crowd\r\n\r\n");
	form->repeats = -1;
	form->is_unread = TRUE;
}

/* A head of many short fields, whose empty line is not sent. */
static void make_fields(form_t *form)
{
	int i;

	append_head(form->head, "");
	g_string_truncate(form->head, form->head->len - 2);
	for (i = 0; i < FORM_HEADERS; i++)
		g_string_append(form->head, "a:b\r\n");
}

static gboolean make_form(form_t *form, const char *name, size_t size)
{
	if (!strcmp(name, "large-chunks"))
		make_chunks(form, LARGE_CHUNK, size);
	else if (!strcmp(name, "tiny-chunks"))
		make_chunks(form, 1, size);
	else if (!strcmp(name, "announced"))
		make_announced(form, size);
	else if (!strcmp(name, "terabyte"))
		make_endless(form, "Content-Length: " TERABYTE "\r\n",
			     "xxxxxxxx");
	else if (!strcmp(name, "endless-chunks"))
		make_endless(form, "Transfer-Encoding: chunked\r\n",
			     "10\r\nxxxxxxxxxxxxxxxx\r\n");
	else if (!strcmp(name, "extensions"))
		make_endless(form, "Transfer-Encoding: chunked\r\n",
			     "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n");
	else if (!strcmp(name, "zeros"))
		make_endless(form, "Transfer-Encoding: chunked\r\n",
			     "0000000000000001\r\nx\r\n");
	else if (!strcmp(name, "long-size"))
		make_endless(form, "Transfer-Encoding: chunked\r\n",
			     "00000000");
	else if (!strcmp(name, "long-extension"))
		make_endless(form, "Transfer-Encoding: chunked\r\n\r\n1;",
			     "aaaaaaaa");
	else if (!strcmp(name, "trailers"))
		make_endless(form, "Transfer-Encoding: chunked\r\n\r\n0\r\n",
			     "X-A: b\r\n");
	else if (!strcmp(name, "edge-chunk"))
		make_endless(form,
			     "Transfer-Encoding: chunked\r\n\r\n"
			     "ffffffffffffffff\r\n",
			     "xxxxxxxx");
	else if (!strcmp(name, "over-edge-chunk"))
		make_endless(form,
			     "Transfer-Encoding: chunked\r\n\r\n"
			     "10000000000000001\r\n",
			     "xxxxxxxx");
	else if (!strcmp(name, "edge-length"))
		make_endless(form, "Content-Length: 18446744073709551614\r\n",
			     "xxxxxxxx");
	else if (!strcmp(name, "over-edge-length"))
		make_endless(form, "Content-Length: 18446744073709551617\r\n",
			     "xxxxxxxx");
	else if (!strcmp(name, "whole-tiny-chunks"))
		make_whole_tiny(form, size);
	else if (!strcmp(name, "whole-slow"))
		make_whole_slow(form, size);
	else if (!strcmp(name, "unread"))
		make_unread(form);
	else if (!strcmp(name, "fields"))
		make_fields(form);
	else if (!strcmp(name, "dripped-heads")) {
		append_head(form->head, "X-Long: yyyyyyyyyyyyyyyyyyyyyyyyyyyyy"
					"yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"
					"yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");
		form->is_dripped = TRUE;
	} else if (strcmp(name, "silent") != 0)
		return FALSE;
	return TRUE;
}

static int connect_to(const char *address)
{
	char **parts = g_strsplit(address, ":", 2);
	struct sockaddr_in to = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_port = htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
	inet_pton(AF_INET, parts[0], &to.sin_addr);
	g_strfreev(parts);
	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Returns the text to send now, or NULL at the end. */
static const GString *text_of(const form_t *form, client_t *client)
{
	if (client->stage == 0 && client->sent >= form->head->len) {
		client->stage = 1;
		client->sent = 0;
	}
	if (client->stage == 1 && client->sent >= form->block->len) {
		client->sent = 0;
		client->repeats++;
	}
	if (client->stage == 1 &&
	    (!form->block->len ||
	     (form->repeats >= 0 && client->repeats >= form->repeats))) {
		client->stage = 2;
		client->sent = 0;
	}
	switch (client->stage) {
	case 0:
		return form->head;
	case 1:
		return form->block;
	default:
		return client->sent < form->tail->len ? form->tail : NULL;
	}
}

/* Sends once; returns whether anything was sent. */
static gboolean client_send(const form_t *form, client_t *client, ms_t now)
{
	const GString *text = text_of(form, client);
	size_t size;
	ssize_t sent;

	if (!text || now < client->due)
		return FALSE;
	size = text->len - client->sent;
	if (form->is_dripped) {
		size = 1;
		client->due = now + DRIP_MS;
	} else if (form->rate) {
		size = MIN(size, form->rate);
		client->due = now + DRIP_MS;
	}
	sent = send(client->fd, text->str + client->sent, size, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		close(client->fd);
		client->fd = -1;
	}
	if (sent > 0)
		client->sent += (size_t)sent;
	return sent > 0 && !form->is_dripped;
}

static void client_read(const form_t *form, client_t *client)
{
	static char bytes[BLOCK_BYTES];
	ssize_t size = recv(client->fd, bytes, sizeof(bytes), 0);

	if (size > 0 && form->is_whole) {
		printf("%.*s\n", (int)strcspn(bytes, "\r"), bytes);
		close(client->fd);
		client->fd = -1;
		return;
	}

	if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
		close(client->fd);
		client->fd = -1;
	}
}

/* One round over all clients; returns whether anything was sent. */
static gboolean serve_clients(const form_t *form, client_t *clients,
			      struct pollfd *polls, guint count, ms_t now)
{
	gboolean any = FALSE;
	guint i;

	for (i = 0; i < count; i++) {
		polls[i].fd = clients[i].fd;
		polls[i].events = form->is_unread ? 0 : POLLIN;
		if (clients[i].fd >= 0 && text_of(form, &clients[i]) &&
		    now >= clients[i].due)
			polls[i].events |= POLLOUT;
	}
	poll(polls, count, POLL_MS);
	for (i = 0; i < count; i++) {
		if (clients[i].fd >= 0 && (polls[i].revents & POLLOUT))
			any |= client_send(form, &clients[i], now);
		if (clients[i].fd >= 0 && !form->is_unread &&
		    (polls[i].revents & (POLLIN | POLLHUP | POLLERR)))
			client_read(form, &clients[i]);
	}
	return any;
}

static gboolean has_open(const client_t *clients, guint count)
{
	guint i;

	for (i = 0; i < count; i++) {
		if (clients[i].fd >= 0)
			return TRUE;
	}
	return FALSE;
}

static void run(const form_t *form, client_t *clients, guint count)
{
	struct pollfd *polls = g_new0(struct pollfd, count);
	ms_t began = g_get_monotonic_time() / 1000;
	ms_t last = began;
	gboolean is_settled = FALSE;

	for (;;) {
		ms_t now = g_get_monotonic_time() / 1000;

		if (serve_clients(form, clients, polls, count, now))
			last = now;
		if (form->is_whole && !has_open(clients, count))
			return;
		if (!form->is_whole && !is_settled &&
		    (now - last > SETTLED_MS || now - began > SENDING_MAX_MS)) {
			is_settled = TRUE;
			printf("settled\n");
			fflush(stdout);
		}
	}
}

int main(int argc, char **argv)
{
	form_t form = {0};
	client_t *clients;
	guint count;
	guint i;

	form.head = g_string_new(NULL);
	form.block = g_string_new(NULL);
	form.tail = g_string_new(NULL);
	if (argc < OPTIONS_WITHOUT ||
	    !make_form(&form, argv[3],
		       argc > OPTIONS_WITHOUT
			       ? g_ascii_strtoull(argv[4], NULL, 10)
			       : 0)) {
		fprintf(stderr, "usage: hc-crowd IP:PORT COUNT FORM [SIZE]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	count = (guint)g_ascii_strtoull(argv[2], NULL, 10);
	clients = g_new0(client_t, count);
	for (i = 0; i < count; i++)
		clients[i].fd = connect_to(argv[1]);
	run(&form, clients, count);
	return 0;
}
