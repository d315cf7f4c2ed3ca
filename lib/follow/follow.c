#include "follow/follow.h"

#define TICK_MS 100

struct follow {
	uv_loop_t *loop;
	uv_timer_t timer;
	follower_t *follower;
	follower_actions_t actions;
	void *ctx;
};

typedef struct {
	uv_work_t work;
	follower_parse_t *parse;
} parse_work_t;

static void run_parse(uv_work_t *work)
{
	parse_work_t *item = work->data;

	follower_parse_run(item->parse);
}

static void end_parse(uv_work_t *work, int status)
{
	parse_work_t *item = work->data;

	follower_parse_end(item->parse);
	g_free(item);
}

static void on_parse(void *ctx, follower_parse_t *parse)
{
	follow_t *follow = ctx;
	parse_work_t *item = g_new0(parse_work_t, 1);

	item->parse = parse;
	item->work.data = item;
	uv_queue_work(follow->loop, &item->work, run_parse, end_parse);
}

static void on_document(void *ctx, document_t *document)
{
	follow_t *follow = ctx;

	if (follow->actions.on_document)
		follow->actions.on_document(follow->ctx, document);
}

static void on_ask_peer(void *ctx, const char *peer, const char *name,
			uint64_t ticket)
{
	follow_t *follow = ctx;

	follow->actions.ask_peer(follow->ctx, peer, name, ticket);
}

static void on_tick(uv_timer_t *timer)
{
	follow_t *follow = timer->data;

	follower_tick(follow->follower, (ms_t)uv_now(follow->loop));
}

follow_t *follow_create(uv_loop_t *loop, kv_t *kv,
			const follower_actions_t *actions, void *ctx)
{
	follow_t *follow = g_new0(follow_t, 1);
	follower_actions_t own = {on_document, NULL, on_parse};

	if (actions->ask_peer)
		own.ask_peer = on_ask_peer;
	follow->loop = loop;
	follow->actions = *actions;
	follow->ctx = ctx;
	follow->follower =
		follower_create(kv, &own, follow, (ms_t)uv_now(loop));
	uv_timer_init(loop, &follow->timer);
	follow->timer.data = follow;
	uv_timer_start(&follow->timer, on_tick, 0, TICK_MS);
	return follow;
}

follower_t *follow_get_follower(follow_t *follow)
{
	return follow->follower;
}

void follow_stop(follow_t *follow)
{
	uv_close((uv_handle_t *)&follow->timer, NULL);
}

void follow_destroy(follow_t *follow)
{
	follower_destroy(follow->follower);
	g_free(follow);
}
