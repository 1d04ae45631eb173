#ifndef WAXWINGHOLLOW_PRIVATE_SPEED_REFERENCE_H
#define WAXWINGHOLLOW_PRIVATE_SPEED_REFERENCE_H

/*
 * NAME
 *	speed_reference - how long tasks usually take, for upstream_speed
 *
 * USE
 *	Keeps the durations of one step on several upstreams, and the median
 *	ratio of duration to estimate of like work. Both are bounded: old steps
 *	are replaced, and with too many kinds of work all are learned anew.
 *
 * ORDER OF CALLS
 *	speed_reference_new; speed_reference_step_permille and
 *	speed_reference_work_permille for each observation;
 *	speed_reference_delete.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/upstream_speed.h"

typedef struct speed_reference speed_reference_t;

speed_reference_t *speed_reference_new(void);
void speed_reference_delete(speed_reference_t *reference);

/*
 * Stores the observation of peer and returns its ratio to the shortest duration
 * on another one at about the same time, in thousandths; 0: there is none. Not to
 * their median: of few upstreams most may be slow, and none is faster than normal.
 * An overdue run isn't stored.
 */
int64_t
speed_reference_step_permille(speed_reference_t *reference, uint32_t peer,
			      const wwh_speed_observation_t *observation);

/*
 * Returns the ratio of the observation to the median of other steps, in
 * thousandths; 0: too few are known. With learn, the step counts from then on.
 */
int64_t
speed_reference_work_permille(speed_reference_t *reference,
			      const wwh_speed_observation_t *observation,
			      bool learn);

/* Sorts the values and returns the lower median, 0 if there is none. */
int64_t speed_reference_median(int64_t *values, int32_t count);

#endif
