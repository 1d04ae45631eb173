#ifndef WAXWINGHOLLOW_ESTIMATE_H
#define WAXWINGHOLLOW_ESTIMATE_H

/*
 * NAME
 *	estimate - running estimates of quantiles and rates
 *
 * USE
 *	A quantile is tracked by steps in proportion to its value: large ones
 *	for the first 16 samples, then of 2.5% for a median, so that it stays
 *	within about a sixth of the true value and still follows a change by
 *	a factor of ten within some hundred samples. Debian has HDR histograms
 *	for Go and Java only; this needs two words instead of kilobytes. A rate counts events over the time in which they
 *	could happen, with a half-life, starting from a prior.
 *
 * ORDER OF CALLS
 *	All bytes zero is the start of both.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double value; /* 0: no sample yet */
	bool coarse; /* large steps for ever: quick, within a third or so */
	int32_t samples; /* up to the bound that matters */
} wwh_quantile_t;

void wwh_quantile_add(wwh_quantile_t *quantile, double fraction, double sample);

typedef struct {
	double events;
	double busy_ms;
	int64_t at_ms;
	bool busy; /* from at_ms on */
} wwh_rate_t;

/* Accounts for the time up to now; busy says how it goes on. */
void wwh_rate_advance(wwh_rate_t *rate, int64_t now_ms, bool busy);
void wwh_rate_event(wwh_rate_t *rate);

/* Events a millisecond; prior is believed as much as a few events. */
double wwh_rate_per_ms(const wwh_rate_t *rate, double prior_per_ms);

#endif
