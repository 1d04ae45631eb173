#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_H

/*
 * Messages between one entry process and the others: gossip, votes for leases
 * of seats, loans of slots, the newest configuration, and reports of minions
 * that leave. While its lock is held, only those of the fleet, of the request
 * table and of the peer connections are acquired.
 */

#include <json-glib/json-glib.h>

#include "private/entry_internal.h"
#include "waxwinghollow/membership.h"

wwh_entry_peers_t *wwh_entry_peers_new(wwh_entry_t *entry);
wwh_status_t wwh_entry_peers_init(wwh_entry_peers_t *peers,
				  wwh_message_t *message);

/* Announces to the other members that this process leaves, and stops. */
void wwh_entry_peers_finish(wwh_entry_peers_t *peers);
void wwh_entry_peers_delete(wwh_entry_peers_t *peers);

/* The platform's list of hosts of all kinds, host by host; it may lag. */
void wwh_entry_peers_list_begin(wwh_entry_peers_t *peers);
void wwh_entry_peers_list_host(wwh_entry_peers_t *peers,
			       const wwh_host_t *host);
/* complete is false if some rows were unreadable; unlisted hosts may exist. */
void wwh_entry_peers_list_end(wwh_entry_peers_t *peers, bool complete);

/*
 * A minion answered a request that was sent at sent_ms; leaving: the answer
 * reports that the minion leaves.
 */
void wwh_entry_peers_minion_answered(wwh_entry_peers_t *peers,
				     const char *minion, int64_t sent_ms,
				     bool leaving);

/* Called when a worker was taken out of its pool or came back. */
void wwh_entry_peers_workers_changed(wwh_entry_peers_t *peers);

/* Requests votes of all alive members; answers are passed to the seats. */
void wwh_entry_peers_request_votes(wwh_entry_peers_t *peers);

/* Whether the membership knows the process and calls it dead. */
bool wwh_entry_peers_is_dead(wwh_entry_peers_t *peers, uint64_t process);

/* Forgets all loans to and by a process that is no longer a seat member. */
void wwh_entry_peers_forget_loans(wwh_entry_peers_t *peers, uint64_t process);

/*
 * The rank of this process, from 0, by id among the alive and suspect members
 * of its region. *count is set to their number, this process included.
 */
int32_t wwh_entry_peers_rank(wwh_entry_peers_t *peers, int32_t *count);

/* Adds an object for each member to the JSON array that is open. */
void wwh_entry_peers_report(wwh_entry_peers_t *peers, JsonBuilder *builder);

#endif
