#ifndef WAXWINGHOLLOW_LOOP_LAG_H
#define WAXWINGHOLLOW_LOOP_LAG_H

/*
 * NAME
 *	loop_lag - detects whether an event loop keeps up with its work
 *
 * USE
 *	Pure: makes no system calls. A turn is one iteration of the loop. The
 *	owner reports how long each turn took and by how much it exceeded its
 *	planned wait; the excess is time by which events were delayed. Delays
 *	add up to the lag, and idle time reduces it. A loop becomes overloaded
 *	when its lag reaches an upper bound, and stays so until the lag is
 *	zero.
 *
 *	A host that becomes slow may pass health checks while it does hardly
 *	any work. The lag reveals it, regardless of the host's size. Too much
 *	work causes lag too, but would overload another host as well: if that
 *	moved the work, it would go from host to host without progress. So a
 *	loop that took over from a process that couldn't keep up attributes
 *	its lag to the load until it has kept up for some seconds.
 *
 *	Where a change of host is expensive, the owner may require proof. The
 *	lag is then attributed to the load also if the loop works at about the
 *	highest rate that it reached while it kept up, or is catching up. This
 *	misses a slow host that never had much work.
 *
 * ORDER OF CALLS
 *	wwh_loop_lag_new; wwh_loop_lag_inherit_load if the work is inherited;
 *	wwh_loop_lag_add_work and wwh_loop_lag_add_turn after each turn;
 *	wwh_loop_lag_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_loop_lag wwh_loop_lag_t;

wwh_loop_lag_t *wwh_loop_lag_new(void);
void wwh_loop_lag_delete(wwh_loop_lag_t *lag);

/*
 * turn_ms: duration of the turn; overrun_ms: the part of it that exceeded the
 * planned wait.
 */
void wwh_loop_lag_add_turn(wwh_loop_lag_t *lag, int64_t turn_ms,
			   int64_t overrun_ms);

/* See USE. May be changed at any time. */
void wwh_loop_lag_require_proof(wwh_loop_lag_t *lag, bool requires_proof);

/*
 * Adds work done in the turn that is added next, in units of about the same
 * cost.
 */
void wwh_loop_lag_add_work(wwh_loop_lag_t *lag, int64_t units);

/* Units per second over the most recent time. */
int64_t wwh_loop_lag_work_per_s(const wwh_loop_lag_t *lag);

/* Highest rate so far in a window without lag; 0: not known yet. */
int64_t wwh_loop_lag_max_work_per_s(const wwh_loop_lag_t *lag);

/* Reports that the work comes from a process that couldn't keep up with it. */
void wwh_loop_lag_inherit_load(wwh_loop_lag_t *lag);

bool wwh_loop_lag_is_overloaded(const wwh_loop_lag_t *lag);

/*
 * Whether the loop is overloaded and its lag is attributed to the host, so that
 * another host may keep up.
 */
bool wwh_loop_lag_is_host_slow(const wwh_loop_lag_t *lag);

/* The current lag, limited to the bound at which the loop is overloaded. */
int64_t wwh_loop_lag_ms(const wwh_loop_lag_t *lag);

/* Resets all state; to be called when the loop begins other work. */
void wwh_loop_lag_reset(wwh_loop_lag_t *lag);

#endif
