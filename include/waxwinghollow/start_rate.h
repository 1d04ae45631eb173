#ifndef WAXWINGHOLLOW_START_RATE_H
#define WAXWINGHOLLOW_START_RATE_H

/*
 * NAME
 *	start_rate - measures how fast a holder with a backlog starts tasks
 *
 * USE
 *	Estimates how long a backlog takes, so that no more jobs are accepted
 *	than can be started in time. The rate is measured only while the holder
 *	is behind, because at other times it starts every waiting task. Does no
 *	input or output.
 *
 * ORDER OF CALLS
 *	wwh_start_rate_new; wwh_start_rate_add or wwh_start_rate_pause in each
 *	iteration of the loop; wwh_start_rate_wait_ms at any time;
 *	wwh_start_rate_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_start_rate wwh_start_rate_t;

wwh_start_rate_t *wwh_start_rate_new(void);
void wwh_start_rate_delete(wwh_start_rate_t *rate);

/*
 * starts: tasks started in the loop iteration that ends at now_ms. behind: the
 * iteration has left some tasks to the next one.
 */
void wwh_start_rate_add(wwh_start_rate_t *rate, int64_t now_ms, int64_t starts,
			bool behind);

/* To be called instead of wwh_start_rate_add while starts are suspended. */
void wwh_start_rate_pause(wwh_start_rate_t *rate, int64_t now_ms);

/* Returns how long the holder takes to start tasks; 0: it keeps up. */
int64_t wwh_start_rate_wait_ms(const wwh_start_rate_t *rate, int64_t tasks);

/*
 * Returns starts per second; 0: the holder keeps up, or no rate is known yet.
 */
int64_t wwh_start_rate_per_s(const wwh_start_rate_t *rate);

#endif
