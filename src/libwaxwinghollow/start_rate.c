#include "waxwinghollow/start_rate.h"

#include <glib.h>

/* A turn of an overloaded loop takes up to some 100 ms. */
#define WINDOW_MS 250

/* Each window counts as much as all before it. */
#define NEWEST_PARTS 1
#define ALL_PARTS 2

#define SECOND_MS 1000

struct wwh_start_rate {
	int64_t begun_ms; /* of the window; 0: not behind */
	int64_t starts; /* in the window */
	int64_t per_s; /* of the windows before; 0: none */
};

wwh_start_rate_t *wwh_start_rate_new(void)
{
	return g_new0(wwh_start_rate_t, 1);
}

void wwh_start_rate_delete(wwh_start_rate_t *rate)
{
	g_free(rate);
}

static void end_window(wwh_start_rate_t *rate, int64_t now_ms)
{
	int64_t per_s = rate->starts * SECOND_MS / (now_ms - rate->begun_ms);

	if (rate->per_s > 0)
		per_s = (per_s * NEWEST_PARTS +
			 rate->per_s * (ALL_PARTS - NEWEST_PARTS)) /
			ALL_PARTS;
	rate->per_s = MAX(per_s, 1);
	rate->begun_ms = now_ms;
	rate->starts = 0;
}

void wwh_start_rate_add(wwh_start_rate_t *rate, int64_t now_ms, int64_t starts,
			bool behind)
{
	if (!behind) {
		rate->begun_ms = 0;
		return;
	}
	if (rate->begun_ms == 0) {
		rate->begun_ms = now_ms;
		rate->starts = 0;
		return;
	}
	rate->starts += starts;
	if (now_ms - rate->begun_ms >= WINDOW_MS)
		end_window(rate, now_ms);
}

void wwh_start_rate_pause(wwh_start_rate_t *rate, int64_t now_ms)
{
	if (rate->begun_ms == 0)
		return;
	rate->begun_ms = now_ms;
	rate->starts = 0;
}

int64_t wwh_start_rate_wait_ms(const wwh_start_rate_t *rate, int64_t tasks)
{
	int64_t per_s = wwh_start_rate_per_s(rate);

	return per_s == 0 ? 0 : tasks * SECOND_MS / per_s;
}

int64_t wwh_start_rate_per_s(const wwh_start_rate_t *rate)
{
	return rate->begun_ms == 0 ? 0 : rate->per_s;
}
