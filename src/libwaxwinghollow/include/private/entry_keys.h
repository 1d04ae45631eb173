#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_KEYS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_KEYS_H

/*
 * Housekeeping of idempotency keys by one process: it declares incarnations
 * that are gone for good abandoned, so that their keys become "unknown" in
 * place of "in progress" for ever, and moves the window of keys on by its own
 * clock.
 */

#include "private/entry_internal.h"

typedef struct wwh_entry_keys wwh_entry_keys_t;

wwh_entry_keys_t *wwh_entry_keys_new(wwh_entry_t *entry);
void wwh_entry_keys_delete(wwh_entry_keys_t *keys);

/* Called about once a second by one thread; may append. */
void wwh_entry_keys_round(wwh_entry_keys_t *keys);

#endif
