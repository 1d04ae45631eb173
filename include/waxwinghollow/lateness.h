#ifndef WAXWINGHOLLOW_LATENESS_H
#define WAXWINGHOLLOW_LATENESS_H

/*
 * NAME
 *	lateness - whether a loop can't keep up with its work
 *
 * USE
 *	Pure. A loop says how long each turn took and for how much of that it
 *	wanted to wait; the rest is what events of this turn waited for the ones
 *	before. A loop that keeps up has next to none. It is late once such
 *	waits outweigh the time between them, and in time again when they have
 *	been made up for.
 *
 *	A host that turns slow answers questions about its health and does no
 *	work; its loop shows it at once, whatever the host's size. So does too
 *	much work, which another host would be late with as well: passed on
 *	for that, work moves from host to host and none gets on with it. A loop
 *	that took over from a process that couldn't keep up blames the load for
 *	its lag, until it has kept up for some seconds.
 *
 * ORDER OF CALLS
 *	wwh_lateness_new; wwh_lateness_inherit_load where that holds;
 *	wwh_lateness_turn after each turn; wwh_lateness_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_lateness wwh_lateness_t;

wwh_lateness_t *wwh_lateness_new(void);
void wwh_lateness_delete(wwh_lateness_t *lateness);

/* turn_ms: of the whole turn; overrun_ms: what of it was beyond its wait. */
void wwh_lateness_turn(wwh_lateness_t *lateness, int64_t turn_ms,
		       int64_t overrun_ms);

/* The work comes from a process that couldn't keep up with it. */
void wwh_lateness_inherit_load(wwh_lateness_t *lateness);

bool wwh_lateness_is_late(const wwh_lateness_t *lateness);

/* It is late, and another host would do better. */
bool wwh_lateness_blames_host(const wwh_lateness_t *lateness);

/* What isn't made up for yet. */
int64_t wwh_lateness_behind_ms(const wwh_lateness_t *lateness);

/* The loop begins other work. */
void wwh_lateness_reset(wwh_lateness_t *lateness);

#endif
