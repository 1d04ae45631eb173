#ifndef WAXWINGHOLLOW_DISPATCH_LOAN_H
#define WAXWINGHOLLOW_DISPATCH_LOAN_H

/*
 * NAME
 *	dispatch_loan - what dispatchers tell each other about idle slots
 *
 * USE
 *	Each entry process calls wwh_dispatch_loans_visit_updates for each peer, every
 *	10 to 50 ms, and sends what is visited; the receiver hands each to
 *	wwh_dispatch_loans_apply_update. Messages may be lost, repeated and come out of
 *	order: loan.h says why that is safe. Nothing that is unchanged is told
 *	again before five seconds have passed.
 *
 *	The number of slots that a minion bears goes along (limiter.h).
 *
 *	wanted is how many slots more the sender has a use for on that minion.
 *	To a peer that has borrowed from the sender it is a recall. A lender
 *	lends only while none of its own requests waits for that service, and
 *	keeps an eighth of its slots of the service for its own next requests.
 *
 * ORDER OF CALLS
 *	After wwh_dispatch_configure. A peer is its incarnation, see loan.h.
 *	wwh_dispatch_loans_remove_peer once a peer's eviction is complete; nothing
 *	heard from it later may be handed in.
 */

#include "waxwinghollow/dispatch.h"
#include "waxwinghollow/loan.h"

typedef struct {
	const char *minion;
	wwh_loan_totals_t totals;
	int32_t wanted;
	int32_t bears; /* slots, see limiter.h */
	uint32_t bears_version;
} wwh_dispatch_loan_t;

typedef void (*wwh_dispatch_loan_visit_t)(const wwh_dispatch_loan_t *loan,
					  void *client_data);

void wwh_dispatch_loans_visit_updates(wwh_dispatch_t *dispatch, int64_t now_ms,
				      uint64_t peer,
				      wwh_dispatch_loan_visit_t visit,
				      void *client_data);
void wwh_dispatch_loans_apply_update(wwh_dispatch_t *dispatch, int64_t now_ms,
				     uint64_t peer,
				     const wwh_dispatch_loan_t *loan);
void wwh_dispatch_loans_remove_peer(wwh_dispatch_t *dispatch, int64_t now_ms,
				    uint64_t peer);

#endif
