#ifndef WAXWINGHOLLOW_HISTOGRAM_H
#define WAXWINGHOLLOW_HISTOGRAM_H

/*
 * NAME
 *	histogram - distribution of durations in fixed buckets
 *
 * USE
 *	Adding takes two atomic instructions and allocates nothing. A reader
 *	loads the buckets one by one while other threads add, so it should
 *	report the sum of the loaded buckets as the count.
 */

#include <stdatomic.h>
#include <stdint.h>

/*
 * Upper bounds in ms, each about twice the previous one. They range from an
 * answer of a neighbouring host to the longest time that callers wait.
 */
#define WWH_HISTOGRAM_BOUNDS                                                   \
	{                                                                      \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000    \
	}
#define WWH_HISTOGRAM_BOUND_COUNT 13

extern const int64_t wwh_histogram_bounds_ms[WWH_HISTOGRAM_BOUND_COUNT];

typedef struct {
	/*
	 * Each counts the durations above the previous bound, up to and
	 * including its own. The last bucket has no upper bound.
	 */
	_Atomic int64_t buckets[WWH_HISTOGRAM_BOUND_COUNT + 1];
	_Atomic int64_t sum_ms;
} wwh_histogram_t;

/* Negative durations, caused by a clock that was set back, count as 0. */
void wwh_histogram_add(wwh_histogram_t *histogram, int64_t duration_ms);

#endif
