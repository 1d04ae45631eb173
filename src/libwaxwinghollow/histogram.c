#include "waxwinghollow/histogram.h"

const int64_t wwh_histogram_bounds_ms[WWH_HISTOGRAM_BOUND_COUNT] =
	WWH_HISTOGRAM_BOUNDS;

void wwh_histogram_add(wwh_histogram_t *histogram, int64_t duration_ms)
{
	int32_t bucket = 0;

	if (duration_ms < 0)
		duration_ms = 0;
	while (bucket < WWH_HISTOGRAM_BOUND_COUNT &&
	       duration_ms > wwh_histogram_bounds_ms[bucket])
		bucket++;
	atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_ms, duration_ms,
				  memory_order_relaxed);
}
