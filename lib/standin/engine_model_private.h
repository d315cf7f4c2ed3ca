#ifndef STANDIN_ENGINE_MODEL_PRIVATE_H
#define STANDIN_ENGINE_MODEL_PRIVATE_H

/* Shared by engine_model.c (runs and orders) and engine_model_report.c. */

#include <sys/queue.h>

#include "standin/engine_model.h"

typedef enum { SLOT_EMPTY, SLOT_LOADING, SLOT_RESIDENT } slot_state_t;

typedef struct {
	slot_state_t state;
	char *adapter;
	ms_t load_end;
	void *order;
} slot_t;

typedef struct {
	char *adapter;
	int count;    /* number of starts of the request */
	int finished; /* number of runs that completed */
	int tokens;
} ledger_entry_t;

struct engine_run {
	TAILQ_ENTRY(engine_run) link;
	char *request;
	char *adapter;
	char *prompt;
	int priority;
	int max_tokens;
	int produced;
	int from;	     /* index of the first token for the reader */
	gboolean is_running; /* occupies a place of the batch */
	gboolean is_finished;
	void *reader;
	ms_t detached_at;
};

TAILQ_HEAD(run_list, engine_run);

typedef struct {
	ms_t at;
	char *text;
} report_t;

struct engine_model {
	engine_options_t options;
	engine_events_t events;
	store_model_t *store;
	char *order_token;
	slot_t *slots;
	struct run_list runs;
	int running;
	ms_t now;
	ms_t next_step_at;
	int64_t fence;
	int failing_loads;
	gboolean is_frozen;
	GHashTable *ledger; /* request to ledger_entry_t */
	GPtrArray *violations;
	GQueue reports; /* oldest first; pruned by the report lag */
	uint64_t steps;
	uint64_t step_places; /* places used, summed over the steps */
};

/* Records the state, which is reported after the report lag. */
void engine_record_report(engine_model_t *engine);
void engine_clear_reports(engine_model_t *engine);

#endif
