#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H

/*
 * The control work of one entry process: two threads. One keeps seats and
 * leases, one reads the lagging list of hosts. They are apart, so that a list
 * that hangs doesn't cost a lease.
 */

#include "private/entry_internal.h"

wwh_entry_control_t *wwh_entry_control_new(wwh_entry_t *entry);
void wwh_entry_control_start(wwh_entry_control_t *control);

/* Gives all leases back; bounded by the log's time-outs. */
void wwh_entry_control_finish(wwh_entry_control_t *control);
void wwh_entry_control_delete(wwh_entry_control_t *control);

#endif
