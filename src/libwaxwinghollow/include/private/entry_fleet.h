#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_FLEET_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_FLEET_H

/*
 * Control of the fleet in one entry process: it keeps the leases of pool
 * shards, gives the conductor its view, and carries its actions out. Any
 * process may do it; leases spread it.
 */

#include "private/entry_internal.h"
#include "private/peer_message.h"

wwh_entry_fleet_t *wwh_entry_fleet_new(wwh_entry_t *entry);
void wwh_entry_fleet_start(wwh_entry_fleet_t *fleet);

/* Gives the leases back and ends. */
void wwh_entry_fleet_finish(wwh_entry_fleet_t *fleet);
void wwh_entry_fleet_delete(wwh_entry_fleet_t *fleet);

/* Lines of the lagging list. */
void wwh_entry_fleet_observe_host(wwh_entry_fleet_t *fleet,
				  const wwh_host_t *host);

/* Whether a worker is out under a grant or between pools, as replayed. */
bool wwh_entry_fleet_is_worker_out(wwh_entry_fleet_t *fleet,
				   const char *worker);

/* What another process says of its requests in progress. */
void wwh_entry_fleet_handle_drains(wwh_entry_fleet_t *fleet,
				   const wwh_drain_message_t *message);

/* This process's own; empty when no worker is out. */
void wwh_entry_fleet_report_drains(wwh_entry_fleet_t *fleet,
				   wwh_drain_message_t *message);

/* For operators; g_free. NULL: not led by this process. */
char *wwh_entry_fleet_plan(wwh_entry_fleet_t *fleet, const char *pool);
char *wwh_entry_fleet_capacity(wwh_entry_fleet_t *fleet);
char *wwh_entry_fleet_rehearsal(wwh_entry_fleet_t *fleet,
				const char *rehearsal);
char *wwh_entry_fleet_dump(wwh_entry_fleet_t *fleet);

#endif
