#include "waxwinghollow/shift.h"

#define RAMP_FIRST 0.1

double wwh_shift_ramp(int64_t from_ms, int64_t now_ms)
{
	double passed = (double)(now_ms - from_ms);

	if (passed >= WWH_SHIFT_RAMP_MS)
		return 1;
	if (passed <= 0)
		return RAMP_FIRST;
	return RAMP_FIRST + (1 - RAMP_FIRST) * passed / WWH_SHIFT_RAMP_MS;
}

void wwh_shift_bucket_init(wwh_shift_bucket_t *bucket, int64_t now_ms,
			   double burst, double per_s)
{
	bucket->permits = burst;
	bucket->burst = burst;
	bucket->per_ms = per_s / 1000;
	bucket->at_ms = now_ms;
}

void wwh_shift_bucket_resize(wwh_shift_bucket_t *bucket, double burst)
{
	if (burst > bucket->burst)
		bucket->permits += burst - bucket->burst;
	bucket->burst = burst;
}

bool wwh_shift_bucket_try_acquire(wwh_shift_bucket_t *bucket, int64_t now_ms)
{
	bucket->permits += (double)(now_ms - bucket->at_ms) * bucket->per_ms;
	bucket->at_ms = now_ms;
	if (bucket->permits > bucket->burst)
		bucket->permits = bucket->burst;
	if (bucket->permits < 1)
		return false;
	bucket->permits -= 1;
	return true;
}
