#include "credit/credit_client.h"

#include <string.h>
#include <sys/queue.h>

#include "base/hash.h"
#include "credit/credit_uses.h"

/* Homes that are asked for one request. */
#define HOMES_MAX 2

/*
 * An answer that comes later than this is ignored: a frozen home has been cut
 * off by then.
 */
#define LATE_ANSWER_MS ((ms_t)10 * MS_PER_S)

/*
 * A process that has just started waits for its connections before it takes
 * itself for a home.
 */
#define STARTING_MS    ((ms_t)2000)
#define STARTING_SHARE 0.9

/* A tick this late shows that this process was stalled. */
#define OWN_STALL_MS ((ms_t)100)

typedef struct {
	credit_id_t id;
	char *organisation;
	credit_limit_t limit;
	double cost;
	ms_t since;
	guint homes_asked;
	gboolean is_granted;
	char *home;    /* that granted it; NULL: this instance */
	int64_t epoch; /* of this home; 0: the even share */
} ask_t;

/* One message to a home, in order of time. */
typedef struct attempt {
	TAILQ_ENTRY(attempt) link;
	int64_t id;
	char *home; /* NULL: waits for connections */
	char *organisation;
	double cost;
	ms_t sent_at;
	/* Granted elsewhere, as the message says; NULL for nothing. */
	credit_window_t *reported;
	gboolean is_extended;
	ask_t *ask; /* NULL: given up; a grant is returned */
} attempt_t;

TAILQ_HEAD(attempt_list, attempt);

typedef struct {
	credit_uses_t *uses;
	credit_bucket_t even_share;
	gboolean has_even_share;
} account_t;

struct credit_client {
	char *instance;
	credit_home_t *home;
	double slack;
	GRand *rand;
	credit_client_actions_t actions;
	void *ctx;
	ms_t created_at;
	credit_instances_t instances;
	GHashTable *connected; /* names */
	GHashTable *silent;    /* instance to the time when it is asked again */
	GHashTable *accounts;  /* organisation to account_t */
	GHashTable *asks;      /* id to ask_t */
	GHashTable *attempts;  /* id to attempt_t */
	struct attempt_list sent;
	int64_t last_id;
	int64_t returned;
};

static void ask_free(gpointer data)
{
	ask_t *ask = data;

	g_free(ask->organisation);
	g_free(ask->home);
	g_free(ask);
}

static void attempt_free(credit_client_t *client, attempt_t *attempt)
{
	TAILQ_REMOVE(&client->sent, attempt, link);
	g_hash_table_remove(client->attempts, &attempt->id);
	g_free(attempt->home);
	g_free(attempt->organisation);
	g_free(attempt->reported);
	g_free(attempt);
}

static void account_free(gpointer data)
{
	account_t *account = data;

	credit_uses_destroy(account->uses);
	g_free(account);
}

credit_client_t *credit_client_create(const credit_client_options_t *options,
				      const credit_client_actions_t *actions,
				      void *ctx)
{
	credit_client_t *client = g_new0(credit_client_t, 1);

	client->instance = g_strdup(options->instance);
	client->home = options->home;
	client->slack = options->slack;
	client->rand = options->rand;
	client->created_at = options->now;
	client->actions = *actions;
	client->ctx = ctx;
	client->instances.live = 1;
	client->instances.is_registered = TRUE;
	client->connected =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	client->silent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	client->accounts = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, account_free);
	client->asks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     ask_free);
	client->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&client->sent);
	return client;
}

void credit_client_destroy(credit_client_t *client)
{
	while (!TAILQ_EMPTY(&client->sent))
		attempt_free(client, TAILQ_FIRST(&client->sent));
	g_hash_table_destroy(client->asks);
	g_hash_table_destroy(client->attempts);
	g_hash_table_destroy(client->connected);
	g_hash_table_destroy(client->silent);
	g_hash_table_destroy(client->accounts);
	g_free(client->instance);
	g_free(client);
}

static void set_instances(credit_client_t *client)
{
	client->instances.connected = g_hash_table_size(client->connected);
	credit_home_set_instances(client->home, &client->instances);
}

void credit_client_set_live(credit_client_t *client, guint live,
			    gboolean is_registered)
{
	client->instances.live = live;
	client->instances.is_registered = is_registered;
	set_instances(client);
}

static account_t *account_of(credit_client_t *client, const char *organisation)
{
	account_t *account =
		g_hash_table_lookup(client->accounts, organisation);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->uses = credit_uses_create();
	g_hash_table_insert(client->accounts, g_strdup(organisation), account);
	return account;
}

/* Returns the first home in order that is not left out. */
static const char *choose_home(const credit_client_t *client, ms_t now,
			       const char *organisation, gboolean *is_takeover)
{
	const char *best = client->instance;
	uint64_t best_weight = hash_rendezvous(organisation, best);
	uint64_t silent_weight = 0;
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, client->connected);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		uint64_t weight = hash_rendezvous(organisation, name);
		const ms_t *until = g_hash_table_lookup(client->silent, name);

		if (until && now < *until) {
			silent_weight = MAX(silent_weight, weight);
		} else if (weight > best_weight) {
			best = name;
			best_weight = weight;
		}
	}
	*is_takeover = silent_weight > best_weight;
	return best;
}

/*
 * Leaves a home that was silent out until it has had time to answer, so that
 * only one request waits for it.
 */
static void ask_silent_again(credit_client_t *client, ms_t now,
			     const char *home)
{
	ms_t *until = g_hash_table_lookup(client->silent, home);

	if (until)
		*until = now + CREDIT_ANSWER_TIMEOUT_MS + OWN_STALL_MS;
}

/*
 * The burst is that of a bucket whose past is unknown: many of these buckets
 * are full when a partition begins.
 */
static credit_terms_t even_terms(const credit_client_t *client,
				 const ask_t *ask)
{
	credit_terms_t terms = {
		.limit = ask->limit,
		.share = credit_instances_even_share(&client->instances),
		.slack = client->slack,
		.rand = client->rand,
	};

	terms.share_max = terms.share;
	terms.limit.burst = credit_burst_unknown(&terms);
	return terms;
}

static void use_even_share(credit_client_t *client, ms_t now, ask_t *ask,
			   credit_answer_t *answer)
{
	account_t *account = account_of(client, ask->organisation);
	credit_bucket_t *bucket = &account->even_share;
	credit_terms_t terms = even_terms(client, ask);
	ms_t retry = CREDIT_RETRY_MAX_MS;

	if (!account->has_even_share)
		credit_bucket_init(bucket, now, &terms);
	account->has_even_share = TRUE;
	*answer = (credit_answer_t){.verdict = CREDIT_GRANTED};
	if (!credit_bucket_take(bucket, now, &terms, ask->cost)) {
		answer->verdict = CREDIT_REFUSED;
		answer->retry_after = g_rand_int_range(
			client->rand, (gint32)retry / 5, (gint32)retry + 1);
	}
	answer->level = bucket->level;
}

static void send_attempt(credit_client_t *client, ms_t now, ask_t *ask,
			 const char *home, gboolean is_takeover)
{
	account_t *account = account_of(client, ask->organisation);
	attempt_t *attempt = g_new0(attempt_t, 1);
	credit_ask_t message = {
		.organisation = ask->organisation,
		.cost = ask->cost,
		.is_takeover = is_takeover,
	};

	attempt->id = ++client->last_id;
	attempt->home = g_strdup(home);
	attempt->organisation = g_strdup(ask->organisation);
	attempt->cost = ask->cost;
	attempt->sent_at = now;
	attempt->ask = ask;
	if (home)
		attempt->reported =
			credit_uses_tell(account->uses, now, home, &message);
	TAILQ_INSERT_TAIL(&client->sent, attempt, link);
	g_hash_table_insert(client->attempts, &attempt->id, attempt);
	/* Without a connection the attempt ends at once, in the next tick. */
	if (home &&
	    !client->actions.send_ask(client->ctx, home, attempt->id, &message))
		attempt->sent_at = now - CREDIT_ANSWER_TIMEOUT_MS;
}

static void ask_own_home(credit_client_t *client, ms_t now, ask_t *ask,
			 gboolean is_takeover, credit_answer_t *answer)
{
	account_t *account = account_of(client, ask->organisation);
	credit_ask_t message = {
		.organisation = ask->organisation,
		.cost = ask->cost,
		.is_takeover = is_takeover,
	};

	g_free(credit_uses_tell(account->uses, now, client->instance,
				&message));
	credit_home_ask(client->home, now, NULL, &message, answer);
}

static gboolean is_starting(const credit_client_t *client, ms_t now)
{
	return now - client->created_at < STARTING_MS &&
	       client->instances.connected + 1 <
		       STARTING_SHARE * client->instances.live;
}

/*
 * Asks the next home, unless none is left; *home is who has answered.  Returns
 * with PENDING if an answer has to come.
 */
static void ask_next(credit_client_t *client, ms_t now, ask_t *ask,
		     credit_answer_t *answer, const char **home)
{
	gboolean is_takeover = FALSE;

	*answer = (credit_answer_t){.verdict = CREDIT_PENDING};
	*home = NULL;
	if (ask->homes_asked < HOMES_MAX) {
		*home = choose_home(client, now, ask->organisation,
				    &is_takeover);
		ask->homes_asked++;
		if (strcmp(*home, client->instance)) {
			ask_silent_again(client, now, *home);
			send_attempt(client, now, ask, *home, is_takeover);
			return;
		}
		ask_own_home(client, now, ask, is_takeover, answer);
	}
	if (!*home || answer->verdict == CREDIT_UNKNOWN) {
		*home = NULL;
		use_even_share(client, now, ask, answer);
	}
}

/* Notes the answer for the ask; one that is refused is released. */
static void settle(credit_client_t *client, ms_t now, ask_t *ask,
		   const credit_answer_t *answer, const char *home)
{
	if (answer->verdict == CREDIT_REFUSED) {
		g_hash_table_remove(client->asks, &ask->id);
		return;
	}
	credit_uses_note_granted(account_of(client, ask->organisation)->uses,
				 now, home, ask->cost);
	ask->is_granted = TRUE;
	ask->epoch = answer->epoch;
	ask->home =
		home && strcmp(home, client->instance) ? g_strdup(home) : NULL;
}

credit_id_t credit_client_ask(credit_client_t *client, ms_t now,
			      const credit_request_t *request,
			      credit_result_t *result)
{
	ask_t *ask = g_new0(ask_t, 1);
	credit_id_t id = ++client->last_id;

	ask->id = id;
	ask->organisation = g_strdup(request->organisation);
	ask->limit = request->limit;
	ask->cost = request->cost;
	ask->since = now;
	g_hash_table_insert(client->asks, &ask->id, ask);
	*result = (credit_result_t){.answer.verdict = CREDIT_PENDING};
	if (is_starting(client, now))
		send_attempt(client, now, ask, NULL, FALSE);
	else
		ask_next(client, now, ask, &result->answer, &result->home);
	if (result->answer.verdict != CREDIT_PENDING)
		settle(client, now, ask, &result->answer, result->home);
	return id;
}

/* Reports the answer to an ask that was pending. */
static void finish(credit_client_t *client, ms_t now, ask_t *ask,
		   const credit_answer_t *answer, const char *home)
{
	credit_result_t result = {*answer, home, now - ask->since};
	credit_id_t id = ask->id;

	settle(client, now, ask, answer, home);
	client->actions.on_result(client->ctx, id, &result);
}

/* The attempt got no answer: asks the next home. */
static void fail_attempt(credit_client_t *client, ms_t now, attempt_t *attempt)
{
	ask_t *ask = attempt->ask;
	credit_answer_t answer;
	const char *home;

	credit_uses_tell_again(account_of(client, attempt->organisation)->uses,
			       now, attempt->home, attempt->reported);
	g_clear_pointer(&attempt->reported, g_free);
	attempt->ask = NULL;
	if (!attempt->home)
		attempt_free(client, attempt);
	if (!ask)
		return;
	ask_next(client, now, ask, &answer, &home);
	if (answer.verdict != CREDIT_PENDING)
		finish(client, now, ask, &answer, home);
}

/* Gives up all attempts at a home. */
static void fail_home(credit_client_t *client, ms_t now, const char *home)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(int64_t));
	attempt_t *attempt;
	guint i;

	TAILQ_FOREACH (attempt, &client->sent, link) {
		if (attempt->ask && !g_strcmp0(attempt->home, home))
			g_array_append_val(ids, attempt->id);
	}
	for (i = 0; i < ids->len; i++) {
		attempt = g_hash_table_lookup(client->attempts,
					      &g_array_index(ids, int64_t, i));
		/* The callback for an earlier one may have ended it. */
		if (attempt && attempt->ask)
			fail_attempt(client, now, attempt);
	}
	g_array_free(ids, TRUE);
}

void credit_client_set_connected(credit_client_t *client, ms_t now,
				 const char *instance, gboolean is_connected)
{
	if (is_connected) {
		g_hash_table_add(client->connected, g_strdup(instance));
		set_instances(client);
		return;
	}
	g_hash_table_remove(client->silent, instance);
	g_hash_table_remove(client->connected, instance);
	set_instances(client);
	fail_home(client, now, instance);
}

static void forget_home(gpointer key, gpointer account, gpointer instance)
{
	credit_uses_forget(((account_t *)account)->uses, instance);
}

void credit_client_forget(credit_client_t *client, ms_t now,
			  const char *instance)
{
	credit_client_set_connected(client, now, instance, FALSE);
	g_hash_table_foreach(client->accounts, forget_home, (gpointer)instance);
}

void credit_client_on_answer(credit_client_t *client, ms_t now,
			     const char *home, int64_t id,
			     const credit_answer_t *answer)
{
	attempt_t *attempt = g_hash_table_lookup(client->attempts, &id);
	credit_answer_t result = *answer;
	ask_t *ask;

	g_hash_table_remove(client->silent, home);
	if (!attempt || g_strcmp0(attempt->home, home))
		return;
	ask = attempt->ask;
	if (!ask && answer->verdict == CREDIT_GRANTED) {
		client->returned++;
		client->actions.send_return(client->ctx, home,
					    attempt->organisation,
					    attempt->cost, answer->epoch);
	}
	attempt_free(client, attempt);
	if (!ask)
		return;
	if (answer->verdict == CREDIT_UNKNOWN) {
		use_even_share(client, now, ask, &result);
		finish(client, now, ask, &result, NULL);
	} else {
		finish(client, now, ask, &result, home);
	}
}

static void return_granted(credit_client_t *client, ms_t now, const ask_t *ask)
{
	account_t *account = account_of(client, ask->organisation);
	const char *by = ask->home ? ask->home : client->instance;

	client->returned++;
	credit_uses_note_returned(account->uses, now, ask->epoch ? by : NULL,
				  ask->cost);
	if (!ask->epoch) {
		credit_terms_t terms = even_terms(client, ask);

		credit_bucket_return(&account->even_share, now, &terms,
				     ask->cost);
	} else if (ask->home) {
		client->actions.send_return(client->ctx, ask->home,
					    ask->organisation, ask->cost,
					    ask->epoch);
	} else {
		credit_home_return(client->home, now, ask->organisation,
				   ask->cost, ask->epoch);
	}
}

int64_t credit_client_returned(const credit_client_t *client)
{
	return client->returned;
}

static void abandon(credit_client_t *client, const ask_t *ask)
{
	attempt_t *attempt;

	TAILQ_FOREACH (attempt, &client->sent, link) {
		if (attempt->ask == ask)
			attempt->ask = NULL;
	}
}

void credit_client_end(credit_client_t *client, ms_t now, credit_id_t id,
		       gboolean has_run)
{
	ask_t *ask = g_hash_table_lookup(client->asks, &id);

	if (!ask)
		return;
	if (!ask->is_granted)
		abandon(client, ask);
	else if (!has_run)
		return_granted(client, now, ask);
	g_hash_table_remove(client->asks, &id);
}

/* Leaves a home out that did not answer in time. */
static void note_silent(credit_client_t *client, ms_t now, const char *home)
{
	ms_t until = now + CREDIT_SILENT_MS;
	char *name = g_strdup(home);

	if (g_hash_table_contains(client->connected, name))
		g_hash_table_insert(client->silent, g_strdup(name),
				    g_memdup2(&until, sizeof(until)));
	fail_home(client, now, name);
	g_free(name);
}

/*
 * After a stall of this process, answers that have arrived are not read yet:
 * allows for that.
 */
static void extend_after_stall(credit_client_t *client, ms_t now)
{
	attempt_t *attempt;

	TAILQ_FOREACH (attempt, &client->sent, link) {
		if (!attempt->ask || attempt->is_extended ||
		    now - attempt->sent_at <
			    CREDIT_ANSWER_TIMEOUT_MS + OWN_STALL_MS)
			continue;
		attempt->is_extended = TRUE;
		attempt->sent_at = now;
	}
}

ms_t credit_client_tick(credit_client_t *client, ms_t now)
{
	attempt_t *attempt;
	attempt_t *next;

	extend_after_stall(client, now);
	while ((attempt = TAILQ_FIRST(&client->sent)) && !attempt->ask &&
	       now - attempt->sent_at >= LATE_ANSWER_MS)
		attempt_free(client, attempt);
	for (attempt = TAILQ_FIRST(&client->sent); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, link);
		if (!attempt->ask)
			continue;
		if (now - attempt->sent_at < CREDIT_ANSWER_TIMEOUT_MS)
			return attempt->sent_at + CREDIT_ANSWER_TIMEOUT_MS;
		if (attempt->home)
			note_silent(client, now, attempt->home);
		else
			fail_attempt(client, now, attempt);
		/* Callbacks may have ended any attempt. */
		next = TAILQ_FIRST(&client->sent);
	}
	return MS_NEVER;
}

void credit_client_foreach_connected(credit_client_t *client,
				     void (*visit)(void *ctx,
						   const char *instance),
				     void *ctx)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, client->connected);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		visit(ctx, name);
}
