#include <math.h>
#include <string.h>

#include "base/hash.h"
#include "credit_sim_private.h"

static connection_t *connection(const credit_sim_t *sim, guint from, guint to)
{
	return &sim->connections[from * sim->count + to];
}

static gboolean is_blocked(const credit_sim_t *sim, guint from, guint to)
{
	return sim->is_blocked[from * sim->count + to];
}

static guint index_of(const credit_sim_t *sim, const char *name)
{
	return (guint)g_ascii_strtoull(name + 1, NULL, 10);
}

/* The connection is the one that owner has opened to the other node. */
static void post(credit_sim_t *sim, message_t *message, guint owner)
{
	guint steps = (guint)g_rand_int_range(sim->rand, 1, 4);
	guint other = message->from == owner ? message->to : message->from;

	sim->counts.messages++;
	message->generation = connection(sim, owner, other)->generation;
	if (g_rand_int_range(sim->rand, 0, 1000) == 0)
		steps += (guint)g_rand_int_range(sim->rand, 0, 40);
	steps += (guint)(sim->now / CREDIT_SIM_STEP);
	g_ptr_array_add(sim->ring[steps % RING], message);
}

static gboolean on_limit(void *ctx, const char *organisation,
			 credit_limit_t *limit)
{
	*limit = ((node_t *)ctx)->limit;
	return TRUE;
}

static void post_probe(void *ctx, const char *instance)
{
	node_t *node = ctx;
	message_t *message = g_new0(message_t, 1);

	message->kind = MESSAGE_PROBE;
	message->from = node->index;
	message->to = index_of(node->sim, instance);
	post(node->sim, message, node->index);
}

static void on_probe(void *ctx)
{
	node_t *node = ctx;

	credit_client_foreach_connected(node->client, post_probe, node);
}

static gboolean on_send_ask(void *ctx, const char *home, int64_t id,
			    const credit_ask_t *ask)
{
	node_t *node = ctx;
	message_t *message = g_new0(message_t, 1);

	message->kind = MESSAGE_ASK;
	message->from = node->index;
	message->to = index_of(node->sim, home);
	message->id = id;
	message->ask = *ask;
	message->ask.organisation = ORGANISATION;
	post(node->sim, message, node->index);
	return TRUE;
}

static void on_send_return(void *ctx, const char *home, const char *name,
			   double cost, int64_t epoch)
{
	node_t *node = ctx;
	message_t *message = g_new0(message_t, 1);

	message->kind = MESSAGE_RETURN;
	message->from = node->index;
	message->to = index_of(node->sim, home);
	message->ask.cost = cost;
	message->answer.epoch = epoch;
	node->sim->counts.returned++;
	post(node->sim, message, node->index);
}

/* A request was granted credit or refused. */
static void decide(node_t *node, credit_id_t id, double cost,
		   const credit_result_t *result)
{
	credit_sim_t *sim = node->sim;

	if (result->waited > 100)
		sim->counts.waited++;
	if (result->answer.verdict == CREDIT_REFUSED) {
		sim->counts.refused++;
		sim->counts.retry_max =
			MAX(sim->counts.retry_max, result->answer.retry_after);
		g_assert_cmpint(result->answer.retry_after, >, 0);
		return;
	}
	g_assert_cmpint(result->answer.verdict, ==, CREDIT_GRANTED);
	sim->counts.granted++;
	if (g_rand_int_range(sim->rand, 0, 100) <
	    sim->options.refused_percent) {
		sim->counts.ended_unrun++;
		credit_client_end(node->client, sim->now, id, FALSE);
		return;
	}
	sim->ran[credit_sim_slot(sim)] += cost;
	credit_client_end(node->client, sim->now, id, TRUE);
}

static void on_result(void *ctx, credit_id_t id, const credit_result_t *result)
{
	node_t *node = ctx;
	double *cost = g_hash_table_lookup(node->pending, &id);
	double value;

	g_assert_nonnull(cost);
	value = *cost;
	g_hash_table_remove(node->pending, &id);
	decide(node, id, value, result);
}

static const credit_home_actions_t home_actions = {on_limit, on_probe};
static const credit_client_actions_t client_actions = {
	on_send_ask, on_send_return, on_result};

gboolean credit_sim_is_running(const credit_sim_t *sim, guint node)
{
	return sim->nodes[node].is_running;
}

/* Whether the store has a record of the node. */
static gboolean is_recorded(const node_t *node)
{
	return node->renewed_at >= 0 &&
	       node->sim->now - node->renewed_at < CREDIT_SIM_LEASE_MS;
}

static void read_store(node_t *node)
{
	credit_sim_t *sim = node->sim;
	guint i;

	node->limit = sim->limit;
	node->live = 0;
	for (i = 0; i < sim->count; i++)
		node->live += i == node->index || is_recorded(&sim->nodes[i]);
	node->view_at =
		sim->now + g_rand_int_range(sim->rand, 100, VIEW_MS - 100);
}

static void tell_instances(node_t *node)
{
	ms_t lapses = node->renewed_at + CREDIT_SIM_LEASE_MS - MARGIN_MS;

	credit_client_set_live(node->client, node->live,
			       node->sim->now < lapses);
}

void credit_sim_start(credit_sim_t *sim, guint index)
{
	node_t *node = &sim->nodes[index];
	credit_client_options_t options = {node->name, NULL, sim->options.slack,
					   sim->rand, sim->now};

	if (node->is_running)
		return;
	node->is_running = TRUE;
	node->is_frozen = FALSE;
	node->home = credit_home_create(sim->options.slack, sim->rand,
					&home_actions, node);
	options.home = node->home;
	node->client = credit_client_create(&options, &client_actions, node);
	/* It serves no callers before it has read the store. */
	node->is_ready = !node->is_cut;
	if (!node->is_cut)
		node->renewed_at = sim->now;
	read_store(node);
	tell_instances(node);
}

static void drop_inbox(node_t *node)
{
	g_ptr_array_set_size(node->inbox, 0);
}

static void disconnect(credit_sim_t *sim, guint from, guint to)
{
	connection_t *link = connection(sim, from, to);

	if (!link->is_up)
		return;
	link->is_up = FALSE;
	link->generation++;
	link->retry_at = sim->now + g_rand_int_range(sim->rand, 50, 400);
	if (sim->nodes[from].is_running)
		credit_client_set_connected(sim->nodes[from].client, sim->now,
					    sim->nodes[to].name, FALSE);
}

void credit_sim_kill(credit_sim_t *sim, guint index)
{
	node_t *node = &sim->nodes[index];
	guint i;

	if (!node->is_running)
		return;
	node->is_running = FALSE;
	for (i = 0; i < sim->count; i++) {
		disconnect(sim, index, i);
		/* A frozen one notices it when it runs again. */
		if (!is_blocked(sim, index, i) && !sim->nodes[i].is_frozen)
			disconnect(sim, i, index);
	}
	credit_client_destroy(node->client);
	credit_home_destroy(node->home);
	g_hash_table_remove_all(node->pending);
	drop_inbox(node);
}

void credit_sim_freeze(credit_sim_t *sim, guint index, gboolean is_frozen)
{
	sim->nodes[index].is_frozen = is_frozen;
}

void credit_sim_block(credit_sim_t *sim, guint from, guint to, gboolean value)
{
	sim->is_blocked[from * sim->count + to] = value;
}

void credit_sim_cut_store(credit_sim_t *sim, guint node, gboolean is_cut)
{
	sim->nodes[node].is_cut = is_cut;
}

void credit_sim_partition(credit_sim_t *sim, guint count, gboolean is_cut,
			  gboolean with_store)
{
	guint i;
	guint j;

	for (i = 0; i < count; i++) {
		for (j = count; j < sim->count; j++) {
			credit_sim_block(sim, i, j, is_cut);
			credit_sim_block(sim, j, i, is_cut);
		}
		credit_sim_cut_store(sim, i, is_cut && with_store);
	}
}

guint credit_sim_home(const credit_sim_t *sim)
{
	guint best = 0;
	uint64_t best_weight = 0;
	guint i;

	for (i = 0; i < sim->count; i++) {
		uint64_t weight =
			hash_rendezvous(ORGANISATION, sim->nodes[i].name);

		if (!sim->nodes[i].is_running || weight < best_weight)
			continue;
		best = i;
		best_weight = weight;
	}
	return best;
}

static void reply(credit_sim_t *sim, const message_t *to, kind_t kind,
		  const credit_answer_t *answer)
{
	message_t *message = g_new0(message_t, 1);

	message->kind = kind;
	message->from = to->to;
	message->to = to->from;
	message->id = to->id;
	if (answer)
		message->answer = *answer;
	post(sim, message, to->from);
}

static void handle(credit_sim_t *sim, message_t *message)
{
	node_t *node = &sim->nodes[message->to];
	const char *from = sim->nodes[message->from].name;
	credit_answer_t answer;

	if (message->kind == MESSAGE_ASK) {
		credit_home_ask(node->home, sim->now, from, &message->ask,
				&answer);
		reply(sim, message, MESSAGE_ANSWER, &answer);
	} else if (message->kind == MESSAGE_PROBE) {
		reply(sim, message, MESSAGE_ALIVE, NULL);
	} else if (message->kind == MESSAGE_RETURN) {
		credit_home_return(node->home, sim->now, ORGANISATION,
				   message->ask.cost, message->answer.epoch);
	} else if (message->kind == MESSAGE_ALIVE) {
		credit_home_note_alive(node->home, sim->now, from);
	} else {
		credit_client_on_answer(node->client, sim->now, from,
					message->id, &message->answer);
	}
}

static void deliver(credit_sim_t *sim, message_t *message)
{
	gboolean is_reply = message->kind == MESSAGE_ANSWER ||
			    message->kind == MESSAGE_ALIVE;
	guint owner = is_reply ? message->to : message->from;
	guint other = is_reply ? message->from : message->to;
	node_t *node = &sim->nodes[message->to];

	if (is_blocked(sim, message->from, message->to) || !node->is_running ||
	    connection(sim, owner, other)->generation != message->generation) {
		g_free(message);
		return;
	}
	if (node->is_frozen) {
		g_ptr_array_add(node->inbox, message);
		return;
	}
	handle(sim, message);
	g_free(message);
}

static gboolean can_talk(const credit_sim_t *sim, guint from, guint to)
{
	const node_t *a = &sim->nodes[from];
	const node_t *b = &sim->nodes[to];

	return a->is_running && b->is_running && !a->is_frozen &&
	       !b->is_frozen && !is_blocked(sim, from, to) &&
	       !is_blocked(sim, to, from);
}

static void update_connection(credit_sim_t *sim, guint from, guint to)
{
	connection_t *link = connection(sim, from, to);
	gboolean ok = can_talk(sim, from, to);

	if (sim->nodes[from].is_frozen || !sim->nodes[from].is_running)
		return;
	if (link->is_up && !ok) {
		if (!link->silent_since)
			link->silent_since = sim->now;
		else if (sim->now - link->silent_since >= CLOSE_MS)
			disconnect(sim, from, to);
	} else if (link->is_up) {
		link->silent_since = 0;
	} else if (ok && sim->now >= link->retry_at) {
		link->is_up = TRUE;
		link->silent_since = 0;
		link->generation++;
		credit_client_set_connected(sim->nodes[from].client, sim->now,
					    sim->nodes[to].name, TRUE);
	}
}

static void step_node(node_t *node)
{
	credit_sim_t *sim = node->sim;
	GPtrArray *inbox = node->inbox;
	guint i;

	if (!node->is_running || node->is_frozen)
		return;
	if (!node->is_cut && sim->now - node->renewed_at >= RENEW_MS)
		node->renewed_at = sim->now;
	if (!node->is_cut && sim->now >= node->view_at) {
		read_store(node);
		node->is_ready = TRUE;
	}
	tell_instances(node);
	credit_client_tick(node->client, sim->now);
	if (sim->now % HOME_TICK_MS == 0)
		credit_home_tick(node->home, sim->now);
	node->inbox = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < inbox->len; i++)
		deliver(sim, g_memdup2(inbox->pdata[i], sizeof(message_t)));
	g_ptr_array_free(inbox, TRUE);
}

static void step_connections(credit_sim_t *sim)
{
	guint i;
	guint j;

	for (i = 0; i < sim->count; i++)
		for (j = 0; j < sim->count; j++)
			if (i != j)
				update_connection(sim, i, j);
}

static void send_request(credit_sim_t *sim, double cost)
{
	node_t *node =
		&sim->nodes[g_rand_int_range(sim->rand, 0, (gint32)sim->count)];
	credit_request_t request = {ORGANISATION, node->limit, cost};
	credit_result_t result;
	credit_terms_t terms;
	credit_id_t id;

	if (!node->is_running || node->is_frozen || !node->is_ready)
		return;
	sim->counts.asked++;
	terms = (credit_terms_t){sim->limit, 1, 1, sim->options.slack,
				 sim->rand};
	if (credit_bucket_take(&sim->reference, sim->now, &terms, cost))
		sim->ideal[credit_sim_slot(sim)] += cost;
	id = credit_client_ask(node->client, sim->now, &request, &result);
	if (result.answer.verdict == CREDIT_PENDING)
		g_hash_table_insert(node->pending, g_memdup2(&id, sizeof(id)),
				    g_memdup2(&cost, sizeof(cost)));
	else
		decide(node, id, cost, &result);
}

/* The time between requests is random. */
static void step_callers(credit_sim_t *sim)
{
	double mean = (sim->options.cost_min + sim->options.cost_max) / 2.0;

	sim->arrivals += sim->demand * CREDIT_SIM_STEP / MS_PER_S / mean;
	while (sim->arrivals > 0) {
		send_request(sim,
			     g_rand_int_range(sim->rand, sim->options.cost_min,
					      sim->options.cost_max + 1));
		sim->arrivals += log(1 - g_rand_double(sim->rand));
	}
}

static void step(credit_sim_t *sim)
{
	guint slot;
	GPtrArray *due;
	guint i;

	sim->now += CREDIT_SIM_STEP;
	slot = credit_sim_slot(sim);
	sim->rates[slot] = MAX(sim->rates[slot], sim->limit.rate);
	sim->bursts[slot] = MAX(sim->bursts[slot], credit_burst(&sim->limit));
	if (sim->now % (4 * CREDIT_SIM_STEP) == 0)
		step_connections(sim);
	for (i = 0; i < sim->count; i++)
		step_node(&sim->nodes[i]);
	due = sim->ring[sim->now / CREDIT_SIM_STEP % RING];
	sim->ring[sim->now / CREDIT_SIM_STEP % RING] = g_ptr_array_new();
	for (i = 0; i < due->len; i++)
		deliver(sim, due->pdata[i]);
	g_ptr_array_free(due, TRUE);
	step_callers(sim);
}

void credit_sim_run(credit_sim_t *sim, ms_t time)
{
	ms_t end = sim->now + time;

	while (sim->now < end)
		step(sim);
}

credit_sim_t *credit_sim_create(const credit_sim_options_t *options)
{
	credit_sim_t *sim = g_new0(credit_sim_t, 1);
	guint i;

	sim->options = *options;
	sim->rand = g_rand_new_with_seed(options->seed);
	sim->count = options->nodes;
	sim->limit = (credit_limit_t){options->rate, options->burst};
	sim->nodes = g_new0(node_t, sim->count);
	sim->connections = g_new0(connection_t, sim->count * sim->count);
	sim->is_blocked = g_new0(gboolean, sim->count * sim->count);
	for (i = 0; i < RING; i++)
		sim->ring[i] = g_ptr_array_new();
	for (i = 0; i < sim->count; i++) {
		node_t *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		g_snprintf(node->name, sizeof(node->name), "i%u", i);
		node->inbox = g_ptr_array_new_with_free_func(g_free);
		node->pending = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, g_free);
	}
	/* Every instance knows of all the others. */
	for (i = 0; i < sim->count; i++)
		credit_sim_start(sim, i);
	for (i = 0; i < sim->count; i++)
		read_store(&sim->nodes[i]);
	return sim;
}

void credit_sim_destroy(credit_sim_t *sim)
{
	guint i;
	guint j;

	for (i = 0; i < sim->count; i++)
		credit_sim_kill(sim, i);
	for (i = 0; i < sim->count; i++) {
		g_ptr_array_free(sim->nodes[i].inbox, TRUE);
		g_hash_table_destroy(sim->nodes[i].pending);
	}
	for (i = 0; i < RING; i++) {
		for (j = 0; j < sim->ring[i]->len; j++)
			g_free(sim->ring[i]->pdata[j]);
		g_ptr_array_free(sim->ring[i], TRUE);
	}
	g_free(sim->nodes);
	g_free(sim->connections);
	g_free(sim->is_blocked);
	g_rand_free(sim->rand);
	g_free(sim);
}
