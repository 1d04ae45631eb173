#ifndef WAXWINGHOLLOW_ENTRY_H
#define WAXWINGHOLLOW_ENTRY_H

/*
 * NAME
 *	entry - one entry process: its listeners, log replay and control work
 *
 * USE
 *	All entry processes are alike. Each serves callers and operators,
 *	replays the platform's log, and does control work for the shards it
 *	holds the lease of. It keeps no state over a restart: the restarted
 *	process is a new incarnation with a new author name on the log.
 *
 * ORDER OF CALLS
 *	wwh_entry_new, wwh_entry_init (listens and starts its threads),
 *	wwh_entry_finish (graceful shutdown, blocks until it is done),
 *	wwh_entry_delete.
 */

#include <stdint.h>

#include "waxwinghollow/settings.h"
#include "waxwinghollow/status.h"

typedef struct wwh_entry wwh_entry_t;

/* settings must outlive the entry. */
wwh_entry_t *wwh_entry_new(const wwh_settings_t *settings);
wwh_status_t wwh_entry_init(wwh_entry_t *entry, wwh_message_t *message);

/*
 * Switches readiness off, waits until the requests in progress have ended, and
 * then releases the leases. Returns the number of requests that were cut off:
 * 0 unless the drain limit of the settings expired.
 */
int32_t wwh_entry_finish(wwh_entry_t *entry);
void wwh_entry_delete(wwh_entry_t *entry);

/* The bound ports, for settings that let the system choose them. */
int32_t wwh_entry_caller_port(const wwh_entry_t *entry);
int32_t wwh_entry_operator_port(const wwh_entry_t *entry);

#endif
