#ifndef WAXWINGHOLLOW_LOOP_LAG_H
#define WAXWINGHOLLOW_LOOP_LAG_H

/*
 * NAME
 *	loop_lag - whether an event loop keeps up with its work
 *
 * USE
 *	Pure. The owner reports how long each turn took and how long it wanted
 *	to wait in it; the rest is time that events were delayed by earlier
 *	ones. Delays add up to the lag, and idle time reduces it. A loop is
 *	overloaded from an upper bound of the lag on until the lag is zero.
 *
 *	A host that turns slow passes health checks and does no work; its lag
 *	shows it, whatever the host's size. So does too much work, which would
 *	overload another host as well: passed on for that, work moves from
 *	host to host and none gets on with it. A loop that took over from a
 *	process that couldn't keep up blames the load for its lag, until it
 *	has kept up for some seconds.
 *
 *	Where a change of host is expensive, the owner may want proof: then a
 *	loop that gets about as much done as it ever did while it kept up, or
 *	that is catching up, doesn't blame its host either. That misses a slow
 *	host that never had much to do.
 *
 * ORDER OF CALLS
 *	wwh_loop_lag_new; wwh_loop_lag_inherit_load where that holds;
 *	wwh_loop_lag_add_work and wwh_loop_lag_add_turn after each turn;
 *	wwh_loop_lag_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_loop_lag wwh_loop_lag_t;

wwh_loop_lag_t *wwh_loop_lag_new(void);
void wwh_loop_lag_delete(wwh_loop_lag_t *lag);

/* turn_ms: of the whole turn; overrun_ms: what of it was beyond its wait. */
void wwh_loop_lag_add_turn(wwh_loop_lag_t *lag, int64_t turn_ms,
			   int64_t overrun_ms);

/* See above; it may be changed at any time. */
void wwh_loop_lag_want_proof(wwh_loop_lag_t *lag, bool wants_proof);

/* Work done in the turn that is added next, in units of about the same cost. */
void wwh_loop_lag_add_work(wwh_loop_lag_t *lag, int64_t units);

/* Units a second, lately. */
int64_t wwh_loop_lag_work_per_s(const wwh_loop_lag_t *lag);

/* The most of them in a time without lag; 0: not known yet. */
int64_t wwh_loop_lag_most_per_s(const wwh_loop_lag_t *lag);

/* The work comes from a process that couldn't keep up with it. */
void wwh_loop_lag_inherit_load(wwh_loop_lag_t *lag);

bool wwh_loop_lag_is_overloaded(const wwh_loop_lag_t *lag);

/* It is overloaded, and another host may do better. */
bool wwh_loop_lag_blames_host(const wwh_loop_lag_t *lag);

/* The lag, at most the bound from which on the loop is overloaded. */
int64_t wwh_loop_lag_ms(const wwh_loop_lag_t *lag);

/* The loop begins other work. */
void wwh_loop_lag_reset(wwh_loop_lag_t *lag);

#endif
