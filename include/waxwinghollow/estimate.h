#ifndef WAXWINGHOLLOW_ESTIMATE_H
#define WAXWINGHOLLOW_ESTIMATE_H

/*
 * NAME
 *	estimate - running estimates of quantiles and rates
 *
 * USE
 *	A quantile estimate moves with each sample by a step in proportion to
 *	its value: large steps for the first 16 samples, then 2.5% for a
 *	median. It stays within about a sixth of the true value and still
 *	follows a change by a factor of ten within some hundred samples. Debian
 *	has HDR histograms for Go and Java only, and this estimate needs two
 *	words instead of kilobytes.
 *
 *	A rate is the number of events divided by the time in which they could
 *	happen. Both decay with a half-life, and the estimate starts from a
 *	prior.
 *
 * ORDER OF CALLS
 *	Both structs are initialized by setting all bytes to zero.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double value; /* 0: no sample yet */
	bool coarse; /* always large steps: faster, within about 1/3 */
	int32_t samples; /* counted only while the steps are large */
} wwh_quantile_t;

void wwh_quantile_add(wwh_quantile_t *quantile, double fraction, double sample);

typedef struct {
	double events;
	double busy_ms;
	int64_t at_ms;
	bool busy; /* whether events can happen from at_ms on */
} wwh_rate_t;

/*
 * Accounts for the time up to now_ms. busy is whether events can happen from
 * now_ms on.
 */
void wwh_rate_advance(wwh_rate_t *rate, int64_t now_ms, bool busy);
void wwh_rate_event(wwh_rate_t *rate);

/* Events per millisecond; the prior has the weight of four events. */
double wwh_rate_per_ms(const wwh_rate_t *rate, double prior_per_ms);

#endif
