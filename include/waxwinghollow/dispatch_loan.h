#ifndef WAXWINGHOLLOW_DISPATCH_LOAN_H
#define WAXWINGHOLLOW_DISPATCH_LOAN_H

/*
 * NAME
 *	dispatch_loan - messages between dispatchers that lend idle slots
 *
 * USE
 *	Each entry process calls wwh_dispatch_loans_visit_updates for each peer every
 *	10 to 50 ms and sends the visited updates; the receiver passes each to
 *	wwh_dispatch_loans_apply_update. Messages may be lost, repeated and reordered;
 *	loan.h explains why that is safe. An unchanged update is repeated only
 *	after five seconds.
 *
 *	An update also carries the number of slots that the minion bears
 *	(limiter.h).
 *
 *	wanted is the number of additional slots that the sender can use on
 *	the minion. It recalls slots from a peer that borrowed them from the
 *	sender. A process lends only while none of its own requests waits for
 *	the service, and reserves an eighth of its slots of the service for
 *	its own next requests.
 *
 * ORDER OF CALLS
 *	Call these functions after wwh_dispatch_configure. peer is the
 *	incarnation of a process, see loan.h. Call wwh_dispatch_loans_remove_peer
 *	when a peer's eviction is complete; don't pass updates from that peer
 *	afterwards.
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
