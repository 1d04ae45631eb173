#include "waxwinghollow/histogram.h"

const int64_t wwh_histogram_bounds_ms[WWH_HISTOGRAM_BOUND_COUNT] =
	WWH_HISTOGRAM_BOUNDS;

void wwh_histogram_add(wwh_histogram_t *histogram, int64_t took_ms)
{
	int32_t at = 0;

	if (took_ms < 0)
		took_ms = 0;
	while (at < WWH_HISTOGRAM_BOUND_COUNT &&
	       took_ms > wwh_histogram_bounds_ms[at])
		at++;
	atomic_fetch_add_explicit(&histogram->buckets[at], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_ms, took_ms,
				  memory_order_relaxed);
}
