#ifndef CONFIG_ADAPTERS_H
#define CONFIG_ADAPTERS_H

/*
 * A copy-on-write hash set of adapter versions.
 *
 * Adapters are immutable and reference-counted.  The set is an array of buckets
 * indexed by the hash of the id; a copy shares all buckets and duplicates one
 * when it first changes it.  Reference counts are atomic, so a set may be
 * copied on one thread while others read it.  Only the creator of a set may
 * modify it, and only before it is published to other threads.
 */

#include "config/document.h"

typedef struct adapter_set adapter_set_t;

/* Returns one reference; base_model must be a GRefString. */
const document_adapter_t *adapter_create(const char *name, const char *version,
					 char *base_model);
void adapter_unref(const document_adapter_t *adapter);

adapter_set_t *adapter_set_create(void);
adapter_set_t *adapter_set_copy(const adapter_set_t *set);
adapter_set_t *adapter_set_ref(adapter_set_t *set);
void adapter_set_unref(adapter_set_t *set);

/* Takes its own reference; FALSE if the set already contains the id. */
gboolean adapter_set_add(adapter_set_t *set, const document_adapter_t *adapter);

/* FALSE if the set doesn't contain the id. */
gboolean adapter_set_remove(adapter_set_t *set, const char *id);

const document_adapter_t *adapter_set_find(const adapter_set_t *set,
					   const char *id);

size_t adapter_set_size(const adapter_set_t *set);

typedef void (*adapter_each_t)(void *ctx, const document_adapter_t *adapter);

/* The order is unspecified. */
void adapter_set_each(const adapter_set_t *set, adapter_each_t each, void *ctx);

#endif
