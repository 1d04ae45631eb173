#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SEATS_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SEATS_H

/*
 * The seats of one process (see seat.h): it joins, claims, gives back, and
 * takes part in evictions, by records on the log; it keeps its lease by the
 * log or by votes, and sets the dispatcher's share from both.
 */

#include "private/entry_internal.h"
#include "waxwinghollow/seat.h"

wwh_seats_t *wwh_seats_new(wwh_entry_t *entry);
void wwh_seats_delete(wwh_seats_t *seats);

/* One round; giving: give back all and leave. Called by one thread. */
void wwh_seats_round(wwh_seats_t *seats, bool giving);

/* Nothing is left to give back. */
bool wwh_seats_has_left(wwh_seats_t *seats);

/*
 * Whether this process may answer the question of another one, and the seats
 * to tell.
 */
bool wwh_seats_may_vote(wwh_seats_t *seats, uint64_t asker, uint64_t *own);
void wwh_seats_handle_vote(wwh_seats_t *seats, const wwh_seat_vote_t *vote);
bool wwh_seats_is_member(wwh_seats_t *seats, uint64_t process);

/*
 * Whether the incarnation of that name surely runs no more. state_lock may be
 * held.
 */
bool wwh_seats_is_author_gone(wwh_seats_t *seats, const char *author);

/* What the platform's list says of an entry host. */
void wwh_seats_set_host_gone(wwh_seats_t *seats, const char *host, bool gone);

#endif
