#include "waxwinghollow/window.h"

#include <glib.h>
#include <string.h>

#define MINUTE_MS INT64_C(60000)
#define DAY_MINUTES INT64_C(1440)
#define YEAR_MINUTES (366 * DAY_MINUTES)
#define DAYS_OF_WEEK 7
#define WEEKDAY_OF_EPOCH 3 /* 1970-01-01 was a Thursday; Monday is 0 */

static bool applies_to_pool(const wwh_window_t *window, const char *pool);
static bool is_open_at(const wwh_window_t *window, int64_t minute);
static int64_t next_pool_boundary(const wwh_window_t *windows, int32_t count,
				  const char *pool, int64_t now_ms);
static int64_t next_boundary(const wwh_window_t *window, int64_t minute);

bool wwh_window_is_open(const wwh_window_t *windows, int32_t count,
			const char *pool, int64_t now_ms)
{
	bool has_window = false;

	for (int32_t i = 0; i < count; i++) {
		if (!applies_to_pool(&windows[i], pool))
			continue;
		has_window = true;
		if (is_open_at(&windows[i], now_ms / MINUTE_MS))
			return true;
	}
	return !has_window;
}

int64_t wwh_window_end_of_work(const wwh_window_t *windows, int32_t count,
			       const char *pool, int64_t start_ms,
			       int64_t work_ms)
{
	int64_t last_ms = start_ms + YEAR_MINUTES * MINUTE_MS;
	int64_t now_ms = start_ms;

	while (now_ms < last_ms) {
		int64_t next_ms =
			next_pool_boundary(windows, count, pool, now_ms);

		if (wwh_window_is_open(windows, count, pool, now_ms)) {
			if (next_ms - now_ms >= work_ms)
				return now_ms + work_ms;
			work_ms -= next_ms - now_ms;
		}
		now_ms = next_ms;
	}
	return -1;
}

/*
 * The next time at which a window of the pool may begin or end; days of the
 * week on which the window stays closed are included.
 */
static int64_t next_pool_boundary(const wwh_window_t *windows, int32_t count,
				  const char *pool, int64_t now_ms)
{
	int64_t next = INT64_MAX / MINUTE_MS;

	for (int32_t i = 0; i < count; i++) {
		if (applies_to_pool(&windows[i], pool))
			next = MIN(next, next_boundary(&windows[i],
						       now_ms / MINUTE_MS));
	}
	return next * MINUTE_MS;
}

static int64_t next_boundary(const wwh_window_t *window, int64_t minute)
{
	int64_t next = INT64_MAX / MINUTE_MS;
	int64_t today = minute / DAY_MINUTES;

	for (int64_t day = today - DAYS_OF_WEEK; day <= today + DAYS_OF_WEEK;
	     day++) {
		int64_t begin = day * DAY_MINUTES + window->start_minute;
		int64_t end = begin + window->duration_minutes;

		if (begin > minute)
			next = MIN(next, begin);
		if (end > minute)
			next = MIN(next, end);
	}
	return next;
}

static bool applies_to_pool(const wwh_window_t *window, const char *pool)
{
	return strcmp(window->pool, "*") == 0 ||
	       strcmp(window->pool, pool) == 0;
}

/* Earlier days are checked too, as a window may extend past midnight. */
static bool is_open_at(const wwh_window_t *window, int64_t minute)
{
	int64_t days_back =
		(window->start_minute + window->duration_minutes) / DAY_MINUTES;

	for (int64_t back = 0; back <= days_back; back++) {
		int64_t day = minute / DAY_MINUTES - back;
		int64_t begin = day * DAY_MINUTES + window->start_minute;
		uint64_t weekday;

		if (day < 0)
			break;
		weekday = ((uint64_t)day + WEEKDAY_OF_EPOCH) % DAYS_OF_WEEK;
		if (!(window->days & (1U << weekday)))
			continue;
		if (minute >= begin &&
		    minute < begin + window->duration_minutes)
			return true;
	}
	return false;
}
