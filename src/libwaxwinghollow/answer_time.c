#include "waxwinghollow/answer_time.h"

#include <glib.h>
#include <string.h>

#define MILLISECOND_US 1000
#define MILLION 1000000

/* Gains of the smoothed time and of its deviation, as in RFC 6298. */
#define TIME_DIVISOR 8
#define DEVIATION_DIVISOR 4
#define DEVIATIONS 4

/* Gain of the share of overdue answers. */
#define OVERDUE_DIVISOR 128

/* Three overdue answers in a row, or a fiftieth of many. */
#define LOSSY_PPM 20000

/* The least is several times what a process needs to get to an answer. */
#define MIN_LIMIT_MS 60
#define MAX_LIMIT_MS 1000

static void add_outcome(wwh_answer_time_t *time, int64_t overdue_ppm);

void wwh_answer_time_init(wwh_answer_time_t *time)
{
	memset(time, 0, sizeof(*time));
}

void wwh_answer_time_add(wwh_answer_time_t *time, int64_t answer_ms)
{
	int64_t answer_us = MAX(answer_ms, 1) * MILLISECOND_US;
	int64_t error_us = answer_us - time->smoothed_us;

	add_outcome(time, 0);
	if (time->smoothed_us == 0) {
		time->smoothed_us = answer_us;
		time->deviation_us = answer_us / 2;
		return;
	}
	time->deviation_us +=
		(ABS(error_us) - time->deviation_us) / DEVIATION_DIVISOR;
	time->smoothed_us += error_us / TIME_DIVISOR;
}

void wwh_answer_time_add_overdue(wwh_answer_time_t *time)
{
	add_outcome(time, MILLION);
}

int64_t wwh_answer_time_limit_ms(const wwh_answer_time_t *time)
{
	int64_t limit_us = time->smoothed_us + DEVIATIONS * time->deviation_us;

	if (time->smoothed_us == 0)
		return MAX_LIMIT_MS;
	return CLAMP(limit_us / MILLISECOND_US, MIN_LIMIT_MS, MAX_LIMIT_MS);
}

bool wwh_answer_time_is_lossy(const wwh_answer_time_t *time)
{
	return time->overdue_ppm > LOSSY_PPM;
}

static void add_outcome(wwh_answer_time_t *time, int64_t overdue_ppm)
{
	time->overdue_ppm +=
		(overdue_ppm - time->overdue_ppm) / OVERDUE_DIVISOR;
}
