#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H

/*
 * The control work of one entry process, in two threads. One maintains the
 * seats and their leases, closes idle connections and publishes snapshots; the
 * other reads the platform's lagging list of hosts and maintains idempotency
 * keys. They are separate so that a list call that hangs costs no lease.
 */

#include "private/entry_internal.h"

wwh_entry_control_t *wwh_entry_control_new(wwh_entry_t *entry);
void wwh_entry_control_start(wwh_entry_control_t *control);

/*
 * Releases all leases and joins the threads. Bounded by the time-outs of the
 * log and of the list call.
 */
void wwh_entry_control_finish(wwh_entry_control_t *control);
void wwh_entry_control_delete(wwh_entry_control_t *control);

#endif
