#ifndef WAXWINGHOLLOW_LIMITER_H
#define WAXWINGHOLLOW_LIMITER_H

/*
 * NAME
 *	limiter - how much one entry process may have running on one minion
 *
 * LOAD PATTERN
 *	Several entry processes share a minion's slots and connections; a
 *	minion bears less than it declares.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Eight processes that each think a slot is free send eight requests for
 *	it. A minion that bears two requests while eight are declared refuses
 *	or delays the rest, and each refusal is an attempt lost.
 *
 * HOW IT DECIDES
 *	Slots are not counted across processes, since every such count is
 *	stale; they are owned. Ownership is by seat: a deployment has
 *	seat_count seats, the log says who holds each (see seat.h), and
 *	wwh_limiter_part divides a minion's slots and connections among seats
 *	by a fixed rule. The parts of all seats sum up to exactly the slots, so
 *	as long as no two processes act on one seat, the sum over any number of
 *	processes can't exceed them, whatever each of them believes.
 *
 *	Slots that are owned but idle can be lent to a peer (see loan.h).
 *
 *	A minion that refuses bears less than it declares. How many slots it
 *	bears is one number for all processes, each told by the others, since
 *	eight processes that each use their slot a quarter of the time collide
 *	as often as not: measured, 23% of the requests were refused at 0.8 of
 *	what the minions bore. The number is divided among the seats by the
 *	same rule, so a process's part can become none; it then borrows.
 *	It is no matter of safety: a part of fewer slots is never larger than
 *	the part of more, so a stale or wrong number only costs use.
 *
 *	Two refusals within four answers take an eighth off (one slot at
 *	least), at most once in three run times and 100 ms: what was started
 *	before the last change has ended by then. A single refusal does not: a
 *	request given up at its deadline still keeps the minion busy for a
 *	moment. One slot is added after a time without a change: after 1 s, up
 *	to the last number that was refused when tried; that one is tried after
 *	a time that doubles up to 16 s each time it is refused again (one
 *	refusal is enough then) and halves each time it is not. The newer of
 *	two numbers wins (a counter goes along with it), of two with the same
 *	counter the smaller one.
 *
 *	Run times that grow under load are not used as a sign: measured, it
 *	made no difference, and run times also grow for other reasons.
 *
 * ORDER OF CALLS
 *	wwh_limiter_set_share first; each wwh_limiter_start is followed by one
 *	wwh_limiter_finish. All bytes zero is the start: no share.
 *	wwh_slot_limit_init first, then any of wwh_bearing_*.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * The part of total that belongs to the seats whose bits are set, for that
 * minion. What does not divide evenly falls to different seats for different
 * minions. seat_count is at least 1.
 */
int32_t wwh_limiter_part(const char *minion, int32_t total, int32_t seat_count,
			 uint64_t seats);

typedef struct {
	int32_t share; /* slots this process may use */
	int32_t running;
	int64_t next_start_ms; /* the pause of a slow start below one slot */
	double run_ms; /* running mean */
} wwh_limiter_t;

void wwh_limiter_set_share(wwh_limiter_t *limiter, int32_t share);

/*
 * factor (0 to 1) is the slow start's part of the share. Below one slot it
 * means a pause after each answer: with one slot a process there is no other
 * way to use less.
 */
bool wwh_limiter_has_room(const wwh_limiter_t *limiter, int64_t now_ms,
			  double factor);
void wwh_limiter_start(wwh_limiter_t *limiter);

/* run_ms: of an answer; 0 when there was none. */
void wwh_limiter_finish(wwh_limiter_t *limiter, int64_t now_ms, double factor,
			int32_t run_ms);

/* How many slots one minion truly bears, as far as is known. */
typedef struct {
	int32_t declared;
	int32_t bears; /* 1 to declared */
	uint32_t version; /* of the number; what peers say is compared by it */
	int64_t changed_ms;
	int32_t ceiling; /* the last number refused when tried; 0: none */
	int64_t wait_ms; /* before the ceiling is tried again */
	bool raised; /* by the last change */
	int32_t score; /* of refusals against answers since then */
} wwh_slot_limit_t;

void wwh_slot_limit_init(wwh_slot_limit_t *bearing, int32_t declared);

void wwh_slot_limit_record_answer(wwh_slot_limit_t *bearing);

/* All three: true when the number changed. */
bool wwh_slot_limit_record_refusal(wwh_slot_limit_t *bearing, int64_t now_ms,
				   double run_ms);
bool wwh_slot_limit_advance(wwh_slot_limit_t *bearing, int64_t now_ms);
bool wwh_slot_limit_handle_update(wwh_slot_limit_t *bearing, int64_t now_ms,
				  uint32_t version, int32_t bears);

#endif
