#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SEATS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SEATS_H

/*
 * The seats of one process (see seat.h). The process joins, claims and releases
 * seats and takes part in evictions by records on the log. It renews its lease
 * by reads of the log or by votes, and sets the dispatcher's share from its
 * seats and its lease.
 */

#include "private/entry_internal.h"
#include "waxwinghollow/seat.h"

wwh_seats_t *wwh_seats_new(wwh_entry_t *entry);
void wwh_seats_delete(wwh_seats_t *seats);

/*
 * Does one step of what is due; release_all: releases all seats and leaves.
 * Called by one thread.
 */
void wwh_seats_round(wwh_seats_t *seats, bool release_all);

/* Whether this process is no longer a member of the seat table. */
bool wwh_seats_has_left(wwh_seats_t *seats);

/*
 * Whether this process may answer the vote request of another one. *own is set
 * to the seats to be reported in the answer.
 */
bool wwh_seats_may_vote(wwh_seats_t *seats, uint64_t requester, uint64_t *own);
void wwh_seats_handle_vote(wwh_seats_t *seats, const wwh_seat_vote_t *vote);
bool wwh_seats_is_member(wwh_seats_t *seats, uint64_t process);

/*
 * Whether the incarnation named author has certainly ended. state_lock may be
 * held.
 */
bool wwh_seats_is_author_gone(wwh_seats_t *seats, const char *author);

/* Records whether the platform lists an entry host as gone. */
void wwh_seats_set_host_gone(wwh_seats_t *seats, const char *host, bool gone);

#endif
