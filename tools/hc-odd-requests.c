/*
 * hc-odd-requests: requests from a seeded grammar, for tests.
 *
 *	hc-odd-requests IP:PORT SEED COUNT
 *
 * Opens COUNT connections one after the other and sends a few requests over
 *each, most of them malformed, cut off or oversized, in pieces of random size;
 *it reads what is there and closes the connection, by a reset at times.  Equal
 *seeds send equal bytes.  It prints the number of connections.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_WAIT_MS 10
#define PIECE_MAX    2000
#define LARGE_MAX    40000
#define ARGUMENTS    4

#define PICK(rand, list)                                                       \
	((list)[g_rand_int_range(rand, 0, (gint)G_N_ELEMENTS(list))])

static const char *const methods[] = {"GET",  "POST", "HEAD",	 "PUT",
				      "POST", "POST", "OPTIONS", "CONNECT",
				      "get",  "",     "PRI"};
static const char *const targets[] = {
	"/read/x",	"/stream/x", "/write/x", "*",
	"//",		"/read/%00", "",	 "http://front.example/read/x",
	"/read/../../x"};
static const char *const versions[] = {"HTTP/1.1", "HTTP/1.1",	"HTTP/1.0",
				       "HTTP/2.0", "HTTP/1.10", "HTP/1.1",
				       ""};
static const char *const ends[] = {"\r\n", "\r\n", "\r\n", "\n", "\r", ""};
static const char *const lengths[] = {"0",
				      "5",
				      "65536",
				      "65537",
				      "4294967296",
				      "9223372036854775807",
				      "9223372036854775808",
				      "18446744073709551615",
				      "18446744073709551616",
				      "-1",
				      "+5",
				      "0x5",
				      "5 5",
				      " 5",
				      ""};
static const char *const sizes[] = {"0",
				    "1",
				    "5",
				    "00000000000000005",
				    "ffff",
				    "10000",
				    "ffffffff",
				    "7fffffffffffffff",
				    "ffffffffffffffff",
				    "10000000000000000",
				    "-1",
				    "5;a=b",
				    "5;a=\"b\r\n\"",
				    " 5",
				    "5 ",
				    "g",
				    ""};
static const char *const encodings[] = {
	"chunked", "chunked, chunked", "gzip",	   "identity",
	"Chunked", "chunked ,",	       "\tchunked"};
static const char *const fields[] = {
	"Host: front.example",
	"Host:",
	"Host: a\r\nHost: b",
	"Connection: close",
	"Connection: host, content-length",
	"Connection: keep-alive",
	"Upgrade: h2c",
	"Expect: 100-continue",
	"X-Hawthorncross-Request-Id: a b",
	"X-Hawthorncross-Deadline-Ms: -1",
	"X-Hawthorncross-Deadline-Ms: 99999999999999999999",
	"X-Hawthorncross-Model: /",
	"X-Hawthorncross-Model: base/x@y/z",
	"X-Hawthorncross-Token-Count: ,,",
	" folded",
	": empty",
	"no colon",
	"A b: c",
	"X\x01: \x02",
	"X: \xff\xfe"};

static void append_filler(GString *text, GRand *rand, gint max)
{
	gint size = g_rand_int_range(rand, 0, max);

	while (size-- > 0)
		g_string_append_c(text, (char)g_rand_int_range(rand, 1, 256));
}

static void append_chunks(GString *text, GRand *rand)
{
	gint count = g_rand_int_range(rand, 0, 6);

	while (count-- > 0) {
		g_string_append(text, PICK(rand, sizes));
		g_string_append(text, PICK(rand, ends));
		append_filler(text, rand, 8);
		g_string_append(text, PICK(rand, ends));
	}
	if (g_rand_boolean(rand))
		g_string_append(text, "0\r\nX-Trailer: a\r\n\r\n");
}

static void append_fields(GString *text, GRand *rand)
{
	gint count = g_rand_int_range(rand, 0, 6);

	g_string_append(text, "Host: front.example\r\n");
	while (count-- > 0) {
		g_string_append(text, PICK(rand, fields));
		g_string_append(text, PICK(rand, ends));
	}
	if (!g_rand_int_range(rand, 0, 10)) {
		g_string_append(text, "X-Long: ");
		append_filler(text, rand, LARGE_MAX);
		g_string_append(text, "\r\n");
	}
}

static void append_odd_request(GString *text, GRand *rand)
{
	gboolean is_chunked = g_rand_boolean(rand);

	g_string_append_printf(text, "%s %s %s%s", PICK(rand, methods),
			       PICK(rand, targets), PICK(rand, versions),
			       PICK(rand, ends));
	append_fields(text, rand);
	if (is_chunked)
		g_string_append_printf(text, "Transfer-Encoding: %s\r\n",
				       PICK(rand, encodings));
	if (!is_chunked || !g_rand_int_range(rand, 0, 5))
		g_string_append_printf(text, "Content-Length: %s\r\n",
				       PICK(rand, lengths));
	g_string_append(text, "\r\n");
	if (is_chunked)
		append_chunks(text, rand);
	else
		append_filler(text, rand,
			      g_rand_boolean(rand) ? 10 : LARGE_MAX * 2);
}

/* Requests that get through to the endpoints, pipelined. */
static void append_sound_requests(GString *text, GRand *rand)
{
	gint count = g_rand_int_range(rand, 1, 5);

	while (count-- > 0)
		g_string_append(text, "POST /read/x HTTP/1.1\r\n"
				      "Host: front.example\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "5;a=b\r\nhello\r\n0\r\n\r\n");
}

static GString *make_text(GRand *rand)
{
	GString *text = g_string_new(NULL);

	if (!g_rand_int_range(rand, 0, 3))
		append_sound_requests(text, rand);
	append_odd_request(text, rand);
	if (!g_rand_int_range(rand, 0, 4))
		append_odd_request(text, rand);
	if (!g_rand_int_range(rand, 0, 4) && text->len)
		g_string_truncate(text, (gsize)g_rand_int_range(
						rand, 0, (gint)text->len));
	return text;
}

static void send_in_pieces(int fd, const GString *text, GRand *rand)
{
	gsize sent = 0;

	while (sent < text->len) {
		gsize size = (gsize)g_rand_int_range(rand, 1, PIECE_MAX);
		ssize_t done;

		size = MIN(size, text->len - sent);
		done = send(fd, text->str + sent, size, MSG_NOSIGNAL);
		if (done < 0)
			return;
		sent += (gsize)done;
	}
}

static void read_answers(int fd)
{
	static char bytes[PIECE_MAX];
	struct pollfd wait = {.fd = fd, .events = POLLIN};

	while (poll(&wait, 1, READ_WAIT_MS) > 0 &&
	       recv(fd, bytes, sizeof(bytes), 0) > 0)
		;
}

static void run_connection(const struct sockaddr_in *to, GRand *rand)
{
	GString *text = make_text(rand);
	gboolean is_read = g_rand_boolean(rand);
	struct linger reset = {1, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd >= 0 && !connect(fd, (const struct sockaddr *)to, sizeof(*to))) {
		send_in_pieces(fd, text, rand);
		if (g_rand_boolean(rand))
			shutdown(fd, SHUT_WR);
		if (is_read)
			read_answers(fd);
		if (g_rand_boolean(rand))
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
	}
	if (fd >= 0)
		close(fd);
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	char **parts;
	guint32 seed;
	guint count;
	guint i;

	if (argc < ARGUMENTS || !strchr(argv[1], ':')) {
		fprintf(stderr, "usage: hc-odd-requests IP:PORT SEED COUNT\n");
		return 2;
	}
	parts = g_strsplit(argv[1], ":", 2);
	to.sin_port = htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
	inet_pton(AF_INET, parts[0], &to.sin_addr);
	g_strfreev(parts);
	seed = (guint32)g_ascii_strtoull(argv[2], NULL, 10);
	count = (guint)g_ascii_strtoull(argv[3], NULL, 10);
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < count; i++) {
		/* Each connection can be sent again without those before. */
		guint32 seeds[] = {seed, i};
		GRand *rand =
			g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));

		run_connection(&to, rand);
		g_rand_free(rand);
	}
	printf("%u connections\n", count);
	return 0;
}
