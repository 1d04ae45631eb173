#ifndef WAXWINGHOLLOW_SHIFT_H
#define WAXWINGHOLLOW_SHIFT_H

/*
 * NAME
 *	shift - limits how fast load shifts between minions: slow start, rate
 *	limit, hysteresis
 *
 * LOAD PATTERN
 *	A minion is added or returns; minions are ejected one after another.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A cold minion gets a full share of the load at once, is slow, is
 *	ejected, returns, and so on: it flaps. A wrong decision ejects half of
 *	a service within one second, before an operator can intervene.
 *
 * HOW IT DECIDES
 *	- Slow start: a minion's limit rises from a tenth to its full value
 *	  within 10 s. Caches and connections of a service are warm after some
 *	  hundreds of requests, which arrive in that time at 50 requests a
 *	  second.
 *	- Rate limit: a token bucket of permits. The burst covers a rack or a
 *	  zone that has really failed; beyond it there is one permit a second.
 *	- Hysteresis: a minion listed as leaving is removed at once, but
 *	  returns only after it was listed live for 2 s without a break. The
 *	  list lags and its copies differ; an older answer in between would
 *	  send new work to a minion that is about to stop. 2 s is two reads of
 *	  the list. (A slow minion is ejected above four times the run time of
 *	  its peers and returns below two times, see ejection.h.)
 *
 * ORDER OF CALLS
 *	Slow start and the bucket are independent. wwh_shift_bucket_init comes
 *	before the other functions of the bucket.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_SHIFT_RAMP_MS 10000
#define WWH_SHIFT_RETURN_DELAY_MS 2000
#define WWH_SHIFT_NO_RAMP (INT64_MIN / 4) /* as from_ms: the ramp is over */

/* Share of the limit, 0.1 to 1, at now_ms in a ramp that began at from_ms. */
double wwh_shift_ramp(int64_t from_ms, int64_t now_ms);

typedef struct {
	double permits;
	double burst;
	double permits_per_ms;
	int64_t refilled_ms;
} wwh_shift_bucket_t;

void wwh_shift_bucket_init(wwh_shift_bucket_t *bucket, int64_t now_ms,
			   double burst, double per_s);

/* If the burst grows, the difference is added to the permits. */
void wwh_shift_bucket_resize(wwh_shift_bucket_t *bucket, double burst);

/* Acquires one permit. Returns false if there is none. */
bool wwh_shift_bucket_try_acquire(wwh_shift_bucket_t *bucket, int64_t now_ms);

#endif
