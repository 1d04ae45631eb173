#ifndef WAXWINGHOLLOW_HISTOGRAM_H
#define WAXWINGHOLLOW_HISTOGRAM_H

/*
 * NAME
 *	histogram - how long something took, in fixed buckets
 *
 * USE
 *	Adding is three atomic instructions; nothing is allocated. A reader
 *	takes the buckets one after the other, so while others add, the count
 *	that it sums up from them is the one to show.
 */

#include <stdatomic.h>
#include <stdint.h>

/*
 * Upper bounds in ms. From an answer of the next host to the longest time that
 * callers wait; each about twice the one before.
 */
#define WWH_HISTOGRAM_BOUNDS                                                   \
	{                                                                      \
		1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000    \
	}
#define WWH_HISTOGRAM_BOUND_COUNT 13

extern const int64_t wwh_histogram_bounds_ms[WWH_HISTOGRAM_BOUND_COUNT];

typedef struct {
	/* Each counts what is above the bound before; the last has none. */
	_Atomic int64_t buckets[WWH_HISTOGRAM_BOUND_COUNT + 1];
	_Atomic int64_t sum_ms;
} wwh_histogram_t;

/* Negative times, of a clock that was set back, count as 0. */
void wwh_histogram_add(wwh_histogram_t *histogram, int64_t took_ms);

#endif
