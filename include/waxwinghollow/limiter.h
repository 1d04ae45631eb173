#ifndef WAXWINGHOLLOW_LIMITER_H
#define WAXWINGHOLLOW_LIMITER_H

/*
 * NAME
 *	limiter - how many requests one entry process may run on one minion
 *
 * LOAD PATTERN
 *	Several entry processes share a minion's slots and connections; a
 *	minion can serve fewer requests at once than it declares.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Eight processes that each assume a slot is free send eight requests for
 *	it. A minion that can serve two requests at once but declares eight
 *	slots refuses or delays the rest, and each refusal is a lost attempt.
 *
 * HOW IT DECIDES
 *	Used slots are not counted across processes, since every such count is
 *	stale; slots are owned. Ownership is by seat: a deployment has
 *	seat_count seats, the log records who holds each (see seat.h), and
 *	wwh_limiter_part divides a minion's slots and connections among seats
 *	by a fixed rule. The parts of all seats sum up to exactly the slots, so
 *	as long as no two processes act on one seat, the sum over any number of
 *	processes can't exceed them, even if their views differ.
 *
 *	Slots that are owned but idle can be lent to a peer (see loan.h).
 *
 *	A minion that refuses requests has fewer usable slots than it declares.
 *	The slot limit, the number of usable slots, is one number that all
 *	processes exchange, since eight processes that each use their slot a
 *	quarter of the time collide as often as not: 23% of the requests were
 *	refused at 0.8 of what the minions could serve. The limit is divided
 *	among the seats by the same rule, so a process's part can become zero;
 *	it then borrows. Safety does not depend on the limit: the part of fewer
 *	slots is never larger than the part of more, so a stale or wrong limit
 *	only lowers utilization.
 *
 *	Two refusals within four answers reduce the limit by an eighth (at
 *	least one slot), at most once in three run times and 100 ms: requests
 *	started before the last change have ended by then. A single refusal
 *	does not reduce it: a request abandoned at its deadline still occupies
 *	the minion for a moment. The limit rises by one slot after a time
 *	without a change. That time is 1 s up to the ceiling, the last limit
 *	that was refused when tried. The ceiling itself is tried after a time
 *	that doubles up to 16 s each time it is refused again (one refusal is
 *	enough then) and halves each time it is not. Of two limits the one with
 *	the higher version wins, of two with the same version the smaller one.
 *
 *	Run times that grow under load are not used as a sign of overload: in
 *	measurements this made no difference, and run times also grow for other
 *	reasons.
 *
 * ORDER OF CALLS
 *	wwh_limiter_set_share first; each wwh_limiter_start is followed by one
 *	wwh_limiter_finish. A zeroed wwh_limiter_t is valid and has no share.
 *	wwh_slot_limit_init first, then any of wwh_slot_limit_*.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * The part of the minion's total that belongs to the seats whose bits are set.
 * The remainder of an uneven division goes to different seats for different
 * minions. seat_count is 1 to 64.
 */
int32_t wwh_limiter_part(const char *minion, int32_t total, int32_t seat_count,
			 uint64_t seats);

typedef struct {
	int32_t share; /* slots this process may use */
	int32_t running;
	int64_t next_start_ms; /* end of a slow start's pause */
	double run_ms; /* moving average of run times */
} wwh_limiter_t;

void wwh_limiter_set_share(wwh_limiter_t *limiter, int32_t share);

/*
 * factor (0 to 1) is the part of the share that the slow start allows. If that
 * is less than one slot, a pause follows each finished request: a process that
 * has one slot can't use less of it in any other way.
 */
bool wwh_limiter_has_room(const wwh_limiter_t *limiter, int64_t now_ms,
			  double factor);
void wwh_limiter_start(wwh_limiter_t *limiter);

/* run_ms is the run time of an answered request, 0 if there was no answer. */
void wwh_limiter_finish(wwh_limiter_t *limiter, int64_t now_ms, double factor,
			int32_t run_ms);

/* The slot limit of one minion: the estimated number of usable slots. */
typedef struct {
	int32_t declared;
	int32_t bears; /* usable slots, 1 to declared */
	uint32_t version; /* of bears, compared with that of peers */
	int64_t changed_ms;
	int32_t ceiling; /* last limit refused when tried; 0: none */
	int64_t wait_ms; /* until the ceiling is tried again */
	bool raised; /* the last change was an increase */
	int32_t score; /* refusals weighed against answers since then */
} wwh_slot_limit_t;

void wwh_slot_limit_init(wwh_slot_limit_t *limit, int32_t declared);

void wwh_slot_limit_record_answer(wwh_slot_limit_t *limit);

/* These three return true when the limit has changed. */
bool wwh_slot_limit_record_refusal(wwh_slot_limit_t *limit, int64_t now_ms,
				   double run_ms);
bool wwh_slot_limit_advance(wwh_slot_limit_t *limit, int64_t now_ms);
bool wwh_slot_limit_handle_update(wwh_slot_limit_t *limit, int64_t now_ms,
				  uint32_t version, int32_t bears);

#endif
