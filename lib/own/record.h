#ifndef OWN_RECORD_H
#define OWN_RECORD_H

/*
 * The record of an endpoint in the key-value service, `hc/endpoint/ID`: its
 * owner, the epoch, and the recorded state of each adapter slot.
 *
 * A slot in state loading or unloading has an open intent: an order to load or
 * unload may be in flight.  The record is one JSON object.
 */

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

#define RECORD_SLOTS_MAX 256

typedef enum {
	INTENT_EMPTY,
	INTENT_LOADING,
	INTENT_RESIDENT,
	INTENT_UNLOADING,
	INTENT_COUNT
} intent_state_t;

typedef struct {
	intent_state_t state;
	int64_t epoch; /* epoch of the owner that wrote this slot last */
	char *adapter; /* NAME@VERSION; NULL for an empty slot */
} slot_intent_t;

typedef struct {
	char *owner;	     /* instance name; empty if released */
	int64_t incarnation; /* lease of the owner; 0 if released */
	char *place; /* where the owner's process runs; empty: unknown */
	int64_t epoch;
	/*
	 * Number of writes by this owner.  After a write without an answer, the
	 * owner reads the record back and compares this number.
	 */
	int64_t sequence;
	/*
	 * How long after this write requests of an earlier owner may still
	 * arrive at the endpoint.
	 */
	ms_t hold;
	/* Adapters that these requests may use; NULL-terminated. */
	char **held;
	guint slot_count;
	slot_intent_t *slots;
} endpoint_record_t;

/* Creates a record with epoch 0, no owner and empty slots. */
endpoint_record_t *endpoint_record_create(guint slot_count);
endpoint_record_t *endpoint_record_copy(const endpoint_record_t *record);
void endpoint_record_destroy(endpoint_record_t *record);

/* Appends empty slots up to slot_count; never removes any. */
void endpoint_record_grow(endpoint_record_t *record, guint slot_count);

void slot_intent_set(slot_intent_t *slot, intent_state_t state, int64_t epoch,
		     const char *adapter);

/* TRUE if the slot is loading or unloading. */
gboolean intent_is_open(const slot_intent_t *slot);

/* The JSON text; free with g_free(). */
char *endpoint_record_render(const endpoint_record_t *record);

/* Returns NULL with ERROR_PROTOCOL if the text is not a valid record. */
endpoint_record_t *endpoint_record_parse(const char *text, size_t size,
					 GError **error);

/* The key of an endpoint's record; free with g_free(). */
char *endpoint_record_key(const char *endpoint);

#endif
