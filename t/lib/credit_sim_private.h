#ifndef CREDIT_SIM_PRIVATE_H
#define CREDIT_SIM_PRIVATE_H

#include "credit_sim.h"

#define ORGANISATION "organisation"
#define RING	     256 /* steps that a message may take */
/* Silence after which a connection is closed; see front/adapters_peers.c. */
#define CLOSE_MS ((ms_t)2000)
/* Interval of lease renewals, and the reserve before a lease lapses. */
#define RENEW_MS  ((ms_t)667)
#define MARGIN_MS ((ms_t)200)
/* Time between two ticks of a home; see serve/ticker.h. */
#define HOME_TICK_MS ((ms_t)100)
/* How late an instance sees changes of records and limits. */
#define VIEW_MS ((ms_t)900)

typedef enum {
	MESSAGE_ASK,
	MESSAGE_ANSWER,
	MESSAGE_RETURN,
	MESSAGE_PROBE,
	MESSAGE_ALIVE
} kind_t;

typedef struct {
	kind_t kind;
	guint from;
	guint to;
	guint generation; /* of the connection */
	int64_t id;
	credit_ask_t ask;
	credit_answer_t answer;
} message_t;

typedef struct {
	gboolean is_up;
	guint generation;
	ms_t silent_since; /* 0: not silent */
	ms_t retry_at;
} connection_t;

typedef struct {
	credit_sim_t *sim;
	guint index;
	char name[16];
	credit_home_t *home;
	credit_client_t *client;
	gboolean is_running;
	gboolean is_frozen;
	gboolean is_ready;
	gboolean is_cut; /* from the store */
	ms_t renewed_at;
	ms_t view_at; /* when it reads the store next */
	guint live;
	credit_limit_t limit;
	GPtrArray *inbox;    /* while it is frozen */
	GHashTable *pending; /* credit_id_t to the cost */
} node_t;

struct credit_sim {
	credit_sim_options_t options;
	GRand *rand;
	ms_t now;
	double demand;
	double arrivals; /* cost that is due */
	credit_limit_t limit;
	guint count;
	node_t *nodes;
	connection_t *connections; /* from * count + to */
	gboolean *is_blocked;	   /* likewise */
	GPtrArray *ring[RING];
	double ran[CREDIT_SIM_SLOTS];
	/* What a single bucket would grant to the same requests. */
	credit_bucket_t reference;
	double ideal[CREDIT_SIM_SLOTS];
	double rates[CREDIT_SIM_SLOTS]; /* in force in a slot */
	double bursts[CREDIT_SIM_SLOTS];
	credit_sim_counts_t counts;
};

/* The slot of the record for the present time. */
guint credit_sim_slot(const credit_sim_t *sim);

#endif
