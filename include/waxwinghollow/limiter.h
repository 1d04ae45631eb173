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
 *	Below the share, the limit follows what the minion bears: a refusal or
 *	a silent attempt takes 30% off, at most once in a run time, each
 *	answer adds 2%. 30% finds a tenth of the declared size in seven steps;
 *	a minion that bears all again has its share back after some dozens of
 *	answers. A limit below one slot means a pause after each answer: with
 *	one slot a process there is no other way to use less.
 *
 *	Run times that grow under load are not used as a sign: with one slot
 *	in eight for each process that measured no difference, and run times
 *	also grow for other reasons.
 *
 * ORDER OF CALLS
 *	wwh_limiter_set_share first; each wwh_limiter_start is followed by one
 *	wwh_limiter_finish. All bytes zero is the start: no share.
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

typedef enum {
	WWH_BEARS_OK = 0,
	WWH_BEARS_LESS, /* refused, or silent */
	WWH_BEARS_NO_SIGN, /* an end that says nothing about its load */
	WWH_BEARS_COUNT
} wwh_bears_t;

/* Names of wwh_bears_t, in the same order. */
extern const char *const wwh_bears_names[WWH_BEARS_COUNT];

typedef struct {
	int32_t share; /* slots this process may use */
	double limit; /* what the minion bears, at most the share */
	int32_t running;
	int64_t next_start_ms; /* the pause of a limit below one */
	int64_t next_cut_ms;
	double run_ms; /* running mean */
} wwh_limiter_t;

/* The limit keeps its proportion to the share. */
void wwh_limiter_set_share(wwh_limiter_t *limiter, int32_t share);

/* factor (0 to 1) is the slow start's part of the limit. */
bool wwh_limiter_has_room(const wwh_limiter_t *limiter, int64_t now_ms,
			  double factor);
void wwh_limiter_start(wwh_limiter_t *limiter);
void wwh_limiter_finish(wwh_limiter_t *limiter, int64_t now_ms, double factor,
			wwh_bears_t bears, int32_t run_ms);

#endif
