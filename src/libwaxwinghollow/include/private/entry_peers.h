#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_H

/*
 * What one entry process exchanges with the others: gossip, votes for leases
 * of seats, lent slots, the newest configuration, and words on minions that
 * leave. Its own lock is the innermost but for that of the request table.
 */

#include <json-glib/json-glib.h>

#include "private/entry_internal.h"
#include "waxwinghollow/membership.h"

wwh_entry_peers_t *wwh_entry_peers_new(wwh_entry_t *entry);
wwh_status_t wwh_entry_peers_init(wwh_entry_peers_t *peers,
				  wwh_message_t *message);

/* Says that this process leaves, and ends. */
void wwh_entry_peers_finish(wwh_entry_peers_t *peers);
void wwh_entry_peers_delete(wwh_entry_peers_t *peers);

/* The lagging list, line by line, of all kinds of hosts. */
void wwh_entry_peers_list_begin(wwh_entry_peers_t *peers);
void wwh_entry_peers_list_host(wwh_entry_peers_t *peers,
			       const wwh_host_t *host);
/* whole false: some rows couldn't be read, and who is missing isn't known. */
void wwh_entry_peers_list_end(wwh_entry_peers_t *peers, bool whole);

/* A minion answered a request sent at sent_ms; leaving: it said so. */
void wwh_entry_peers_minion_answered(wwh_entry_peers_t *peers,
				     const char *minion, int64_t sent_ms,
				     bool leaving);

/* A worker went out of its pool or came back. */
void wwh_entry_peers_workers_changed(wwh_entry_peers_t *peers);

/* Asks all members for votes; answers come to the seats. */
void wwh_entry_peers_request_votes(wwh_entry_peers_t *peers);

/* Whether the process of that number is known and not alive. */
bool wwh_entry_peers_is_dead(wwh_entry_peers_t *peers, uint64_t process);

/* A member of the seats is out: nothing lent to or by it counts any more. */
void wwh_entry_peers_forget_loans(wwh_entry_peers_t *peers, uint64_t process);

/*
 * This process's place, from 0, among the members of its region that are
 * alive, by their ids.
 */
int32_t wwh_entry_peers_rank(wwh_entry_peers_t *peers, int32_t *count);

/* Adds an object for each member to the open array. */
void wwh_entry_peers_report(wwh_entry_peers_t *peers, JsonBuilder *builder);

#endif
