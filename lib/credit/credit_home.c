#include "credit/credit_home.h"

#include <math.h>

/*
 * Part of the live instances that a home has to reach to be sure that no other
 * home grants beside it.
 */
#define MAJORITY_SHARE 0.9

/*
 * Factor for an instance that is cut off and whose record may have lapsed: the
 * others divide the whole limit among themselves then.  All that are cut off
 * stay within the tolerated 0.1.
 */
#define LAPSED_FACTOR 0.05

/*
 * Largest share while a home before this one is silent and it is not known
 * whether that one still grants to others.  Connections of a partition are
 * closed after 2 s; 0.3 of the limit for that long, and the even shares of the
 * requests that reach no home, are within the tolerated 0.1
 * of 9 s.
 */
#define TAKEOVER_SHARE 0.3
/*
 * How long a silent connection stays open, in seconds.  What two homes grant in
 * this time is within the slack for a small limit, which needs no such care.
 */
#define TAKEOVER_S 2.2
/* The silence is taken to be over this long after an ask reported it. */
#define TAKEOVER_MS 300
/*
 * One instance may see a single late answer.  Silence counts if another one
 * reports it, too, or the same one does so for longer than that takes.
 */
#define TAKEOVER_REPORTS_MS 1000
#define LATE_ANSWER_MS	    100
/*
 * A home that is cut off notices that those who asked are silent before the
 * connections are closed: fewer than a third of them within ASKERS_MS.  With
 * fewer than ASKERS_MIN or a quarter of all instances, the number varies too
 * much by itself.
 */
#define ASKERS_MS      400
#define ASKERS_DIVISOR 3
#define ASKERS_MIN     2
#define ASKERS_SHARE   0.25
/* Interval of probes, and how long a sign of life counts. */
#define PROBE_MS 500
#define ALIVE_MS 1000

/*
 * A home that was not asked as the only one for so long, while others granted,
 * becomes the home anew: it knows only in part what they granted until all have
 * asked, for which as long is allowed.
 */
#define ACTING_MS 1000

/* Buckets are kept for this long without an ask. */
#define BUCKET_IDLE_MS ((ms_t)600 * MS_PER_S)

typedef struct {
	credit_bucket_t bucket;
	ms_t asked_at;
	/* It was asked as the only home, without a pause of ACTING_MS. */
	ms_t acted_at;
	ms_t acting_since;
	/* What two homes grant until one notices is within the slack. */
	gboolean is_small;
	ms_t takeover_until;
	guint reporter; /* hash of the instance that first reported silence */
	ms_t first_reported_at;
	ms_t reported_at;
	/* Up to when credit was promised to those refused. */
	ms_t promised_until;
} account_t;

struct credit_home {
	double slack;
	GRand *rand;
	credit_home_actions_t actions;
	void *ctx;
	int64_t epoch;
	credit_instances_t instances;
	GHashTable *accounts; /* organisation to account_t */
	GHashTable *alive;    /* instance to the time of its last message */
	ms_t probed_at;
	guint askers;	    /* most instances heard lately within ASKERS_MS */
	ms_t askers_at;	    /* when they were counted */
	ms_t suspect_until; /* until then, it may be cut off from others */
};

double credit_instances_share(const credit_instances_t *instances)
{
	double reached = instances->connected + 1;
	double share = reached / MAX(instances->live, reached);

	if (!instances->is_registered && share < MAJORITY_SHARE)
		share *= LAPSED_FACTOR;
	return share;
}

double credit_instances_even_share(const credit_instances_t *instances)
{
	double reached = instances->connected + 1;

	return credit_instances_share(instances) / reached;
}

credit_home_t *credit_home_create(double slack, GRand *rand,
				  const credit_home_actions_t *actions,
				  void *ctx)
{
	credit_home_t *home = g_new0(credit_home_t, 1);

	home->slack = slack;
	home->rand = rand;
	home->actions = *actions;
	home->ctx = ctx;
	/* 0 stands for no epoch. */
	home->epoch = ((int64_t)(g_rand_int(rand) >> 1) << 32) |
		      MAX(g_rand_int(rand), 1);
	home->instances.live = 1;
	home->instances.is_registered = TRUE;
	home->probed_at = -PROBE_MS;
	home->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	home->alive =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return home;
}

void credit_home_destroy(credit_home_t *home)
{
	g_hash_table_destroy(home->accounts);
	g_hash_table_destroy(home->alive);
	g_free(home);
}

int64_t credit_home_epoch(const credit_home_t *home)
{
	return home->epoch;
}

void credit_home_set_instances(credit_home_t *home,
			       const credit_instances_t *instances)
{
	home->instances = *instances;
}

void credit_home_note_alive(credit_home_t *home, ms_t now, const char *instance)
{
	ms_t *at = g_hash_table_lookup(home->alive, instance);

	if (at)
		*at = now;
	else
		g_hash_table_insert(home->alive, g_strdup(instance),
				    g_memdup2(&now, sizeof(now)));
}

static guint count_alive(const credit_home_t *home, ms_t now, ms_t within)
{
	GHashTableIter iter;
	gpointer at;
	guint count = 0;

	g_hash_table_iter_init(&iter, home->alive);
	while (g_hash_table_iter_next(&iter, NULL, &at))
		count += now - *(ms_t *)at < within;
	return count;
}

static void probe(credit_home_t *home, ms_t now)
{
	if (now - home->probed_at < PROBE_MS)
		return;
	home->probed_at = now;
	home->actions.probe(home->ctx);
}

static double share_of(const credit_home_t *home, const account_t *account,
		       ms_t now)
{
	double share = credit_instances_share(&home->instances);
	double alive;

	if (account->is_small ||
	    (now >= account->takeover_until && now >= home->suspect_until))
		return share;
	alive = (count_alive(home, now, ALIVE_MS) + 1) /
		(double)home->instances.live;
	if (alive >= MAJORITY_SHARE)
		return share;
	share = MIN(share, alive);
	return now < account->takeover_until ? MIN(share, TAKEOVER_SHARE)
					     : share;
}

static account_t *account_of(credit_home_t *home, ms_t now, const char *name,
			     const credit_terms_t *terms)
{
	account_t *account = g_hash_table_lookup(home->accounts, name);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->acted_at = now;
	account->acting_since = now;
	credit_bucket_init(&account->bucket, now, terms);
	g_hash_table_insert(home->accounts, g_strdup(name), account);
	return account;
}

/*
 * Returns when the debt and what was promised to earlier refused requests are
 * paid.  The promises end at CREDIT_RETRY_MAX_MS; later refusals are spread
 * over its second half.
 */
static ms_t promise(credit_home_t *home, account_t *account, ms_t now,
		    const credit_terms_t *terms, double cost)
{
	double rate = terms->limit.rate * terms->share / MS_PER_S;
	ms_t paid = now +
		    (ms_t)ceil(MIN(-account->bucket.level / rate,
				   CREDIT_RETRY_MAX_MS)) +
		    1;
	ms_t at = MAX(paid, account->promised_until);

	if (at - now >= CREDIT_RETRY_MAX_MS)
		return g_rand_int_range(home->rand,
					(gint32)CREDIT_RETRY_MAX_MS / 2,
					(gint32)CREDIT_RETRY_MAX_MS + 1);
	account->promised_until =
		at + (ms_t)ceil(MIN(cost / rate, CREDIT_RETRY_MAX_MS));
	return at - now;
}

static void note_silence(credit_home_t *home, account_t *account, ms_t now,
			 const char *instance)
{
	guint reporter = instance ? g_str_hash(instance) : 0;
	gboolean is_new = !account->reported_at ||
			  now - account->reported_at > TAKEOVER_REPORTS_MS;

	account->reported_at = now;
	if (is_new) {
		account->reporter = reporter;
		account->first_reported_at = now;
	} else if (account->reporter != reporter ||
		   now - account->first_reported_at > LATE_ANSWER_MS) {
		account->takeover_until = now + TAKEOVER_MS;
		probe(home, now);
	}
}

static gboolean is_home_anew(account_t *account, ms_t now,
			     const credit_ask_t *ask)
{
	gboolean is_acting = now - account->acted_at <= ACTING_MS;

	if (ask->elsewhere_count)
		return !is_acting || now - account->acting_since < ACTING_MS;
	if (!is_acting)
		account->acting_since = now;
	if (!ask->is_takeover)
		account->acted_at = now;
	return FALSE;
}

void credit_home_ask(credit_home_t *home, ms_t now, const char *instance,
		     const credit_ask_t *ask, credit_answer_t *answer)
{
	credit_terms_t terms = {
		.share = credit_instances_share(&home->instances),
		.share_max = credit_instances_share(&home->instances),
		.slack = home->slack,
		.rand = home->rand,
	};
	account_t *account;

	*answer = (credit_answer_t){.verdict = CREDIT_UNKNOWN,
				    .epoch = home->epoch};
	if (instance)
		credit_home_note_alive(home, now, instance);
	if (!home->actions.limit(home->ctx, ask->organisation, &terms.limit) ||
	    terms.limit.rate <= 0)
		return;
	account = account_of(home, now, ask->organisation, &terms);
	account->is_small = terms.limit.rate * TAKEOVER_S <= home->slack / 2;
	if (ask->is_takeover && !account->is_small)
		note_silence(home, account, now, instance);
	terms.share = share_of(home, account, now);
	if (ask->elsewhere_count)
		credit_bucket_deduct(&account->bucket, now, &terms,
				     ask->elsewhere, ask->elsewhere_count);
	if (is_home_anew(account, now, ask))
		credit_bucket_distrust(&account->bucket, now, &terms);
	account->asked_at = now;
	if (credit_bucket_take(&account->bucket, now, &terms, ask->cost)) {
		answer->verdict = CREDIT_GRANTED;
	} else {
		answer->verdict = CREDIT_REFUSED;
		answer->retry_after =
			promise(home, account, now, &terms, ask->cost);
	}
	answer->level = account->bucket.level;
}

gboolean credit_home_return(credit_home_t *home, ms_t now,
			    const char *organisation, double cost,
			    int64_t epoch)
{
	credit_terms_t terms = {.slack = home->slack, .rand = home->rand};
	account_t *account = g_hash_table_lookup(home->accounts, organisation);

	if (epoch != home->epoch || !account || !(cost > 0) ||
	    !home->actions.limit(home->ctx, organisation, &terms.limit) ||
	    terms.limit.rate <= 0)
		return FALSE;
	terms.share = share_of(home, account, now);
	terms.share_max = credit_instances_share(&home->instances);
	credit_bucket_return(&account->bucket, now, &terms, cost);
	return TRUE;
}

static gboolean is_idle(gpointer key, gpointer value, gpointer now)
{
	return *(ms_t *)now - ((account_t *)value)->asked_at > BUCKET_IDLE_MS;
}

static gboolean is_silent(gpointer key, gpointer value, gpointer now)
{
	return *(ms_t *)now - *(ms_t *)value >= ALIVE_MS;
}

/* Suspects that this home is cut off when most of those who asked are silent.
 */
static void watch_askers(credit_home_t *home, ms_t now)
{
	guint count = count_alive(home, now, ASKERS_MS);
	guint least = (guint)(home->instances.live * ASKERS_SHARE);

	if (home->askers >= MAX(ASKERS_MIN, least) &&
	    count * ASKERS_DIVISOR < home->askers)
		home->suspect_until = now + (ms_t)(TAKEOVER_S * MS_PER_S);
	if (now < home->suspect_until)
		probe(home, now);
	if (count >= home->askers || now - home->askers_at > ALIVE_MS) {
		home->askers = count;
		home->askers_at = now;
	}
}

void credit_home_tick(credit_home_t *home, ms_t now)
{
	watch_askers(home, now);
	g_hash_table_foreach_remove(home->accounts, is_idle, &now);
	g_hash_table_foreach_remove(home->alive, is_silent, &now);
}
