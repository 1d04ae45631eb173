#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SHARDS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SHARDS_H

/*
 * The leases of pool shards that one process holds by records on the log. The
 * holder of a shard conducts its pools. All functions are called by one thread.
 */

#include "private/entry_internal.h"

typedef struct wwh_entry_shards wwh_entry_shards_t;

wwh_entry_shards_t *wwh_entry_shards_new(wwh_entry_t *entry);
void wwh_entry_shards_delete(wwh_entry_shards_t *shards);

/* Acquires, renews and releases leases as due; release_all: releases all. */
void wwh_entry_shards_round(wwh_entry_shards_t *shards, bool release_all);

/* The number of shards held as of the last round. */
int32_t wwh_entry_shards_held(wwh_entry_shards_t *shards);

#endif
