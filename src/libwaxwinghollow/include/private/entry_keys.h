#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_KEYS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_KEYS_H

/*
 * Maintenance of idempotency keys by one entry process. It marks incarnations
 * that are gone for good as abandoned, so that their keys become "unknown"
 * instead of staying "in progress" for ever, and it expires old keys by its
 * own clock.
 */

#include "private/entry_internal.h"

typedef struct wwh_entry_keys wwh_entry_keys_t;

wwh_entry_keys_t *wwh_entry_keys_new(wwh_entry_t *entry);
void wwh_entry_keys_delete(wwh_entry_keys_t *keys);

/* Called about once a second by one thread; may append to the log. */
void wwh_entry_keys_round(wwh_entry_keys_t *keys);

#endif
