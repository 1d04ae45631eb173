#ifndef WAXWINGHOLLOW_START_RATE_H
#define WAXWINGHOLLOW_START_RATE_H

/*
 * NAME
 *	start_rate - how fast a holder with a backlog starts tasks
 *
 * USE
 *	Without input or output. Answers how long a backlog takes, so that no
 *	more is accepted than can be started in time. What a holder can do is
 *	seen only while it is behind: at other times it starts all there is.
 *
 * ORDER OF CALLS
 *	wwh_start_rate_new; wwh_start_rate_add of each turn of the loop;
 *	wwh_start_rate_wait_ms at any time; wwh_start_rate_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_start_rate wwh_start_rate_t;

wwh_start_rate_t *wwh_start_rate_new(void);
void wwh_start_rate_delete(wwh_start_rate_t *rate);

/*
 * starts: tasks started in the turn that ends at now_ms. behind: it has left some to
 * the next turn.
 */
void wwh_start_rate_add(wwh_start_rate_t *rate, int64_t now_ms, int64_t starts,
			bool behind);

/* In place of wwh_start_rate_add while nothing may be started. */
void wwh_start_rate_pause(wwh_start_rate_t *rate, int64_t now_ms);

/* How long the holder takes for so many starts, in ms; 0: it keeps up. */
int64_t wwh_start_rate_wait_ms(const wwh_start_rate_t *rate, int64_t tasks);

/* Starts in a second; 0: the holder keeps up, or it isn't known yet. */
int64_t wwh_start_rate_per_s(const wwh_start_rate_t *rate);

#endif
