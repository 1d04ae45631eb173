#include "waxwinghollow/start_rate.h"

#include <glib.h>

/* An iteration of an overloaded loop takes up to about 100 ms. */
#define WINDOW_MS 250

/* The newest window has as much weight as all earlier ones together. */
#define NEWEST_WEIGHT 1
#define TOTAL_WEIGHT 2

#define SECOND_MS 1000

struct wwh_start_rate {
	int64_t window_start_ms; /* 0: the holder isn't behind */
	int64_t starts; /* in the current window */
	int64_t per_s; /* weighted mean of the closed windows; 0: none */
};

wwh_start_rate_t *wwh_start_rate_new(void)
{
	return g_new0(wwh_start_rate_t, 1);
}

void wwh_start_rate_delete(wwh_start_rate_t *rate)
{
	g_free(rate);
}

static void close_window(wwh_start_rate_t *rate, int64_t now_ms)
{
	int64_t per_s =
		rate->starts * SECOND_MS / (now_ms - rate->window_start_ms);

	if (rate->per_s > 0)
		per_s = (per_s * NEWEST_WEIGHT +
			 rate->per_s * (TOTAL_WEIGHT - NEWEST_WEIGHT)) /
			TOTAL_WEIGHT;
	rate->per_s = MAX(per_s, 1);
	rate->window_start_ms = now_ms;
	rate->starts = 0;
}

void wwh_start_rate_add(wwh_start_rate_t *rate, int64_t now_ms, int64_t starts,
			bool behind)
{
	if (!behind) {
		rate->window_start_ms = 0;
		return;
	}
	if (rate->window_start_ms == 0) {
		rate->window_start_ms = now_ms;
		rate->starts = 0;
		return;
	}
	rate->starts += starts;
	if (now_ms - rate->window_start_ms >= WINDOW_MS)
		close_window(rate, now_ms);
}

void wwh_start_rate_pause(wwh_start_rate_t *rate, int64_t now_ms)
{
	if (rate->window_start_ms == 0)
		return;
	rate->window_start_ms = now_ms;
	rate->starts = 0;
}

int64_t wwh_start_rate_wait_ms(const wwh_start_rate_t *rate, int64_t tasks)
{
	int64_t per_s = wwh_start_rate_per_s(rate);

	return per_s == 0 ? 0 : tasks * SECOND_MS / per_s;
}

int64_t wwh_start_rate_per_s(const wwh_start_rate_t *rate)
{
	return rate->window_start_ms == 0 ? 0 : rate->per_s;
}
