#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_CONTROL_H

/*
 * The control work of one entry process: two threads. One keeps the leases of
 * seats and shards, one reads the lagging list of hosts and sweeps. They are
 * apart, so that a list that hangs doesn't cost a lease.
 */

#include <json-glib/json-glib.h>

#include "private/entry_internal.h"
#include "waxwinghollow/lease_keeper.h"

wwh_entry_control_t *wwh_entry_control_new(wwh_entry_t *entry);
void wwh_entry_control_start(wwh_entry_control_t *control);

/* Gives all leases back; bounded by the log's time-outs. */
void wwh_entry_control_finish(wwh_entry_control_t *control);
void wwh_entry_control_delete(wwh_entry_control_t *control);

/* This process's part of a minion's connections; at least 1. */
int32_t wwh_entry_control_part(wwh_entry_control_t *control, const char *minion,
			       int32_t total);

/* Adds an object for each live entry host on the list to the open array. */
void wwh_entry_control_each_member(wwh_entry_control_t *control,
				   JsonBuilder *builder);

#endif
