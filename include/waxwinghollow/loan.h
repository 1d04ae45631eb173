#ifndef WAXWINGHOLLOW_LOAN_H
#define WAXWINGHOLLOW_LOAN_H

/*
 * NAME
 *	loan - slots of one minion lent between entry processes
 *
 * LOAD PATTERN
 *	The balancer gives one entry process much more load than another, so
 *	that one has requests waiting while the other has slots idle.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	With one slot in eight for each process, a process that gets half of
 *	the load can use an eighth of the capacity.
 *
 * HOW IT DECIDES
 *	For each pair of processes, minion and direction there are two numbers
 *	that only grow: granted, kept by the lender, and returned, kept by the
 *	borrower. Each tells the other its own number and never anything else.
 *	The lender holds back granted minus the returned it has heard of; the
 *	borrower uses the granted it has heard of minus returned. What was
 *	heard is never above what was said, so both together never use more
 *	than the slots lent, whatever messages are lost, late, repeated or out
 *	of order, and with no clock.
 *
 *	A peer is named by its incarnation (an id made new at each start): a
 *	number of an earlier life must not count in the next one. When a peer
 *	is evicted (seat.h), wwh_loan_remove_peer drops both sides: what was
 *	borrowed may not be used from then on, and what was lent comes back,
 *	which is safe since an eviction completes only after all that the
 *	evicted one started has ended.
 *
 * ORDER OF CALLS
 *	wwh_loan_book_new, any, wwh_loan_book_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_loan_book wwh_loan_book_t; /* of one minion */

/* What one process tells a peer about one minion. */
typedef struct {
	uint64_t granted; /* slots ever lent to that peer */
	uint64_t returned; /* slots ever given back to that peer */
} wwh_loan_totals_t;

wwh_loan_book_t *wwh_loan_book_new(void);
void wwh_loan_book_delete(wwh_loan_book_t *book);

/* Slots lent to others, and borrowed from others, as known here. */
int32_t wwh_loan_lent(const wwh_loan_book_t *book);
int32_t wwh_loan_borrowed(const wwh_loan_book_t *book);
int32_t wwh_loan_borrowed_from(const wwh_loan_book_t *book, uint64_t peer);

/* Lends count more slots; the caller has made sure that they are unused. */
void wwh_loan_grant(wwh_loan_book_t *book, uint64_t peer, int32_t count);

/* Gives back up to count unused slots; returns how many. */
int32_t wwh_loan_return(wwh_loan_book_t *book, uint64_t peer, int32_t count);

/* The peer wants so many slots, or wants so many back that it has lent. */
void wwh_loan_set_wanted_by(wwh_loan_book_t *book, uint64_t peer,
			    int32_t wanted);
int32_t wwh_loan_wanted_by(const wwh_loan_book_t *book, uint64_t peer);

/*
 * True when the totals or the version differ from what that peer was told
 * last, or wanted does by much, or they are not all zero and were last told
 * five seconds ago; it then counts as told now.
 */
bool wwh_loan_mark_sent_if_due(wwh_loan_book_t *book, uint64_t peer,
			       int32_t wanted, uint32_t version,
			       int64_t now_ms);

/* The totals to tell that peer; all zero: nothing was ever lent. */
wwh_loan_totals_t wwh_loan_totals(const wwh_loan_book_t *book, uint64_t peer);

/* The peer's totals arrived. True when they changed something. */
bool wwh_loan_apply_totals(wwh_loan_book_t *book, uint64_t peer,
			   wwh_loan_totals_t totals);
void wwh_loan_remove_peer(wwh_loan_book_t *book, uint64_t peer);

/* The peer with which there is an account, by index; false: no more. */
bool wwh_loan_peer_at(const wwh_loan_book_t *book, int32_t index,
		      uint64_t *peer);

#endif
