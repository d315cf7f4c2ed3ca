#include "front/reach_check.h"

typedef struct {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	int handles; /* not yet closed */
	reach_t reach;
	void (*done)(void *ctx, reach_t reach);
	void *ctx;
} check_t;

static void on_closed(uv_handle_t *handle)
{
	check_t *check = handle->data;

	if (--check->handles)
		return;
	check->done(check->ctx, check->reach);
	g_free(check);
}

static void finish(check_t *check, reach_t reach)
{
	if (uv_is_closing((uv_handle_t *)&check->tcp))
		return;
	check->reach = reach;
	uv_close((uv_handle_t *)&check->tcp, on_closed);
	uv_close((uv_handle_t *)&check->timer, on_closed);
}

static void on_connected(uv_connect_t *connect, int status)
{
	check_t *check = connect->data;

	if (status == 0)
		finish(check, REACH_LISTENS);
	else if (status == UV_ECONNREFUSED || status == UV_ECONNRESET)
		finish(check, REACH_REFUSED);
	else
		finish(check, REACH_UNKNOWN);
}

static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, REACH_UNKNOWN);
}

void reach_check(uv_loop_t *loop, const char *address, int port,
		 void (*done)(void *ctx, reach_t reach), void *ctx)
{
	check_t *check = g_new0(check_t, 1);
	struct sockaddr_in to;
	int status;

	check->handles = 2;
	check->done = done;
	check->ctx = ctx;
	uv_tcp_init(loop, &check->tcp);
	uv_timer_init(loop, &check->timer);
	check->tcp.data = check;
	check->timer.data = check;
	check->connect.data = check;
	uv_timer_start(&check->timer, on_timeout, REACH_TIMEOUT_MS, 0);
	status = uv_ip4_addr(address, port, &to);
	if (!status)
		status = uv_tcp_connect(&check->connect, &check->tcp,
					(const struct sockaddr *)&to,
					on_connected);
	if (status)
		finish(check, status == UV_ECONNREFUSED ? REACH_REFUSED
							: REACH_UNKNOWN);
}
