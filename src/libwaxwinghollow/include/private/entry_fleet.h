#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_FLEET_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_FLEET_H

/*
 * Control of the fleet in one entry process: holds the leases of pool shards,
 * passes the fleet view to the conductor, and performs its actions. Every
 * process can do this; the leases distribute the pools among them.
 */

#include "private/entry_internal.h"
#include "private/peer_message.h"

wwh_entry_fleet_t *wwh_entry_fleet_new(wwh_entry_t *entry);
void wwh_entry_fleet_start(wwh_entry_fleet_t *fleet);

/* Stops the threads and releases the leases. */
void wwh_entry_fleet_finish(wwh_entry_fleet_t *fleet);
void wwh_entry_fleet_delete(wwh_entry_fleet_t *fleet);

/* Records one host of the platform's list, which may lag. */
void wwh_entry_fleet_observe_host(wwh_entry_fleet_t *fleet,
				  const wwh_host_t *host);

/* Whether the replayed log has the worker out: under a grant or in a move. */
bool wwh_entry_fleet_is_worker_out(wwh_entry_fleet_t *fleet,
				   const char *worker);

/* Records another process's report of its requests on workers that are out. */
void wwh_entry_fleet_handle_drains(wwh_entry_fleet_t *fleet,
				   const wwh_drain_message_t *message);

/* Fills in this process's own report; it is empty if no worker is out. */
void wwh_entry_fleet_report_drains(wwh_entry_fleet_t *fleet,
				   wwh_drain_message_t *message);

/*
 * Reports for operators; the caller frees them with g_free. _plan returns NULL
 * if there is no such pool, _rehearsal if this process leads no such rehearsal.
 */
char *wwh_entry_fleet_plan(wwh_entry_fleet_t *fleet, const char *pool);
char *wwh_entry_fleet_capacity(wwh_entry_fleet_t *fleet);
char *wwh_entry_fleet_rehearsal(wwh_entry_fleet_t *fleet,
				const char *rehearsal);
char *wwh_entry_fleet_dump(wwh_entry_fleet_t *fleet);

#endif
