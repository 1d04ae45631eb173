#include "waxwinghollow/shift.h"

#define RAMP_START 0.1

double wwh_shift_ramp(int64_t from_ms, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - from_ms);

	if (elapsed_ms >= WWH_SHIFT_RAMP_MS)
		return 1;
	if (elapsed_ms <= 0)
		return RAMP_START;
	return RAMP_START + (1 - RAMP_START) * elapsed_ms / WWH_SHIFT_RAMP_MS;
}

void wwh_shift_bucket_init(wwh_shift_bucket_t *bucket, int64_t now_ms,
			   double burst, double per_s)
{
	bucket->permits = burst;
	bucket->burst = burst;
	bucket->permits_per_ms = per_s / 1000;
	bucket->refilled_ms = now_ms;
}

void wwh_shift_bucket_resize(wwh_shift_bucket_t *bucket, double burst)
{
	if (burst > bucket->burst)
		bucket->permits += burst - bucket->burst;
	bucket->burst = burst;
}

bool wwh_shift_bucket_try_acquire(wwh_shift_bucket_t *bucket, int64_t now_ms)
{
	bucket->permits +=
		(double)(now_ms - bucket->refilled_ms) * bucket->permits_per_ms;
	bucket->refilled_ms = now_ms;
	if (bucket->permits > bucket->burst)
		bucket->permits = bucket->burst;
	if (bucket->permits < 1)
		return false;
	bucket->permits -= 1;
	return true;
}
