/*
 * rv-http ADDRESS METHOD TARGET [BODY]: sends one request and prints the status
 * and the body.  Used for the controls of the project's stand-ins.
 */
#include "rv.h"

int main(int argc, char **argv)
{
	static message_t answer;
	char text[HEAD_MAX];
	const char *body = argc > 4 ? argv[4] : "";
	int fd = rv_connect(argv[1]);

	if (fd < 0)
		return 1;
	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n"
		 "Connection: close\r\n\r\n%s",
		 argv[2], argv[3], argv[1], strlen(body), body);
	if (rv_write(fd, text, strlen(text)) || rv_read(fd, &answer, 3000) != 1)
		return 1;
	printf("%.3s %s\n", answer.head + 9, answer.body);
	return 0;
}
