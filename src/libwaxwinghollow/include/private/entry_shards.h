#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SHARDS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SHARDS_H

/*
 * The leases of pool shards that one process keeps on the log: whoever holds
 * a shard conducts its pools. Called by one thread.
 */

#include "private/entry_internal.h"

typedef struct wwh_entry_shards wwh_entry_shards_t;

wwh_entry_shards_t *wwh_entry_shards_new(wwh_entry_t *entry);
void wwh_entry_shards_delete(wwh_entry_shards_t *shards);

/* Takes, renews and gives back what is due; giving: gives back all. */
void wwh_entry_shards_round(wwh_entry_shards_t *shards, bool giving);

/* How many are held as of the last round. */
int32_t wwh_entry_shards_held(wwh_entry_shards_t *shards);

#endif
