#include "waxwinghollow/estimate.h"

#include <math.h>

#define QUANTILE_FIRST_STEP 0.2
#define QUANTILE_STEP 0.05
#define QUANTILE_FIRST_SAMPLES 16
#define QUANTILE_MIN_VALUE                                                     \
	0.5 /* smaller samples are below the clock's resolution */
#define HALF_LIFE_MS 2000.0
#define PRIOR_EVENTS 4.0

void wwh_quantile_add(wwh_quantile_t *quantile, double fraction, double sample)
{
	double step = QUANTILE_STEP;

	if (sample < QUANTILE_MIN_VALUE)
		sample = QUANTILE_MIN_VALUE;
	if (quantile->samples < QUANTILE_FIRST_SAMPLES) {
		quantile->samples += !quantile->coarse;
		step = QUANTILE_FIRST_STEP;
	}
	if (quantile->value <= 0)
		quantile->value = sample;
	else if (sample > quantile->value)
		quantile->value *= 1 + step * fraction;
	else
		quantile->value *= 1 - step * (1 - fraction);
}

void wwh_rate_advance(wwh_rate_t *rate, int64_t now_ms, bool busy)
{
	double passed = (double)(now_ms - rate->at_ms);

	if (rate->busy && passed > 0) {
		double decay = exp2(-passed / HALF_LIFE_MS);

		rate->events *= decay;
		rate->busy_ms = rate->busy_ms * decay + passed;
	}
	rate->at_ms = now_ms;
	rate->busy = busy;
}

void wwh_rate_event(wwh_rate_t *rate)
{
	rate->events += 1;
}

double wwh_rate_per_ms(const wwh_rate_t *rate, double prior_per_ms)
{
	double prior_ms = PRIOR_EVENTS / prior_per_ms;

	return (rate->events + PRIOR_EVENTS) / (rate->busy_ms + prior_ms);
}
