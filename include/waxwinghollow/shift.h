#ifndef WAXWINGHOLLOW_SHIFT_H
#define WAXWINGHOLLOW_SHIFT_H

/*
 * NAME
 *	shift - how fast load moves: slow start, rate limit, hysteresis
 *
 * LOAD PATTERN
 *	A minion comes new or back; minions are taken out one after another.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A cold minion gets a full share at once, is slow, is taken out, comes
 *	back, and so on: it flaps. A wrong judgement takes out half of a
 *	service within one second, before anybody can look.
 *
 * HOW IT DECIDES
 *	- Slow start: a tenth of the limit at first, all of it after 10 s;
 *	  caches and connections of a service are warm after some hundreds of
 *	  requests, which 50 requests a second bring in that time.
 *	- Rate limit: a bucket of permits. A burst covers a rack or a zone
 *	  that is truly gone; beyond it one permit a second.
 *	- Hysteresis: what is listed as leaving is out at once, but back only
 *	  when it has been listed live for 2 s without a break. The list lags
 *	  and its copies differ; an older answer in between would send new
 *	  work to a minion that is about to stop. 2 s is two of its readings.
 *	  (A slow minion is out above four times and back below two times its
 *	  peers' run time, see ejection.h.)
 *
 * ORDER OF CALLS
 *	Each part on its own; the _init function first where there is one.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_SHIFT_RAMP_MS 10000
#define WWH_SHIFT_RETURN_DELAY_MS 2000
#define WWH_SHIFT_NO_RAMP (INT64_MIN / 4) /* a from_ms that is long past */

/* The part of the limit, 0.1 to 1, that is in use since from_ms. */
double wwh_shift_ramp(int64_t from_ms, int64_t now_ms);

typedef struct {
	double permits;
	double burst;
	double per_ms;
	int64_t at_ms;
} wwh_shift_bucket_t;

void wwh_shift_bucket_init(wwh_shift_bucket_t *bucket, int64_t now_ms,
			   double burst, double per_s);

/* A larger bucket gets the difference as permits. */
void wwh_shift_bucket_resize(wwh_shift_bucket_t *bucket, double burst);

/* Takes one permit; false when there is none. */
bool wwh_shift_bucket_try_acquire(wwh_shift_bucket_t *bucket, int64_t now_ms);

#endif
