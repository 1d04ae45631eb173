#ifndef WAXWINGHOLLOW_LOAN_H
#define WAXWINGHOLLOW_LOAN_H

/*
 * NAME
 *	loan - accounts of a minion's slots lent between entry processes
 *
 * LOAD PATTERN
 *	The balancer gives one entry process much more load than another:
 *	requests wait in the first while slots are idle in the second.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	With one slot in eight for each process, a process that gets half of
 *	the load can use an eighth of the capacity.
 *
 * HOW IT DECIDES
 *	For each pair of processes, minion and direction there are two
 *	counters that only grow: granted, owned by the lender, and returned,
 *	owned by the borrower. Each process sends only its own counter. The
 *	lender leaves unused granted minus the last received returned; the
 *	borrower uses the last received granted minus returned. A received
 *	counter is never above the sender's, so both together never use more
 *	than the slots lent, even if messages are lost, late, repeated or
 *	reordered, and no clock is needed.
 *
 *	A peer is identified by its incarnation, an id that is new at each
 *	start, since a counter of an earlier incarnation must not count in the
 *	next one. When a peer is evicted (seat.h), wwh_loan_remove_peer removes the
 *	account in both directions: borrowed slots may no longer be used, and
 *	lent slots return to the lender. That is safe since an eviction
 *	completes only after all requests that the evicted peer started have
 *	ended.
 *
 * ORDER OF CALLS
 *	wwh_loan_book_new; the other functions in any order;
 *	wwh_loan_book_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_loan_book wwh_loan_book_t; /* accounts of one minion */

/* The counters that one process sends to a peer for one minion. */
typedef struct {
	uint64_t granted; /* slots ever lent to that peer */
	uint64_t returned; /* slots ever returned to that peer */
} wwh_loan_totals_t;

wwh_loan_book_t *wwh_loan_book_new(void);
void wwh_loan_book_delete(wwh_loan_book_t *book);

/* Slots lent to and borrowed from all peers, by the counters known here. */
int32_t wwh_loan_lent(const wwh_loan_book_t *book);
int32_t wwh_loan_borrowed(const wwh_loan_book_t *book);
int32_t wwh_loan_borrowed_from(const wwh_loan_book_t *book, uint64_t peer);

/* Lends count more slots. The caller ensures that they are unused. */
void wwh_loan_grant(wwh_loan_book_t *book, uint64_t peer, int32_t count);

/*
 * Returns up to count slots to the peer. The caller ensures that they are
 * unused. The result is the number of slots returned.
 */
int32_t wwh_loan_return(wwh_loan_book_t *book, uint64_t peer, int32_t count);

/* Sets how many slots the peer wants to borrow or, having lent, recalls. */
void wwh_loan_set_wanted_by(wwh_loan_book_t *book, uint64_t peer,
			    int32_t wanted);
int32_t wwh_loan_wanted_by(const wwh_loan_book_t *book, uint64_t peer);

/*
 * Returns true and records an update as sent now if one is due: if the totals
 * or the version differ from those last sent to the peer, if wanted has changed
 * from or to zero or by more than a factor of two, or if they are not all zero
 * and were last sent five seconds ago.
 */
bool wwh_loan_mark_sent_if_due(wwh_loan_book_t *book, uint64_t peer,
			       int32_t wanted, uint32_t version,
			       int64_t now_ms);

/* The totals to send to the peer; all zero if no slot was ever lent. */
wwh_loan_totals_t wwh_loan_totals(const wwh_loan_book_t *book, uint64_t peer);

/* Applies totals received from the peer. Returns true if any changed. */
bool wwh_loan_apply_totals(wwh_loan_book_t *book, uint64_t peer,
			   wwh_loan_totals_t totals);
void wwh_loan_remove_peer(wwh_loan_book_t *book, uint64_t peer);

/* Reads the peer of the account at index. Returns false past the last. */
bool wwh_loan_peer_at(const wwh_loan_book_t *book, int32_t index,
		      uint64_t *peer);

#endif
