#include "waxwinghollow/failure_streak.h"

#include <glib.h>

#define FAILURES_BEFORE_BACKOFF 3
#define BACKOFF_FIRST_MS 1500
#define BACKOFF_MAX_DOUBLINGS 3

/* Failures further apart are those of different tasks by their own fault. */
#define STREAK_GAP_MS 30000

/* An upstream that turns sick fails what it runs within this time. */
#define SAME_MOMENT_MS 2000

int64_t wwh_failure_streak_add(wwh_failure_streak_t *streak, bool worked,
			       int64_t now_ms)
{
	int64_t wait_ms;

	if (worked) {
		if (now_ms - streak->worked_ms > SAME_MOMENT_MS)
			streak->worked_count = 0;
		streak->worked_ms = now_ms;
		if (++streak->worked_count < FAILURES_BEFORE_BACKOFF)
			return 0;
	}
	if (streak->count > 0 && now_ms - streak->last_ms > STREAK_GAP_MS)
		wwh_failure_streak_end(streak);
	if (streak->count == 0)
		streak->began_ms = now_ms;
	streak->count = worked ? FAILURES_BEFORE_BACKOFF : streak->count + 1;
	streak->last_ms = now_ms;
	if (streak->count < FAILURES_BEFORE_BACKOFF)
		return 0;
	wait_ms = (int64_t)BACKOFF_FIRST_MS << streak->backoffs;
	streak->backoffs = MIN(streak->backoffs + 1, BACKOFF_MAX_DOUBLINGS);
	streak->count = FAILURES_BEFORE_BACKOFF - 1;
	if (now_ms >= streak->until_ms)
		streak->since_ms = now_ms;
	streak->until_ms = MAX(streak->until_ms, now_ms + wait_ms);
	return wait_ms;
}

void wwh_failure_streak_note_work(wwh_failure_streak_t *streak,
				  int64_t begun_ms)
{
	if (streak->count > 0 && begun_ms >= streak->began_ms)
		wwh_failure_streak_end(streak);
}

void wwh_failure_streak_end(wwh_failure_streak_t *streak)
{
	streak->count = 0;
	streak->backoffs = 0;
}

bool wwh_failure_streak_avoids(const wwh_failure_streak_t *streak,
			       bool most_avoided, int64_t now_ms)
{
	return now_ms < streak->until_ms &&
	       !(most_avoided && now_ms - streak->since_ms >= BACKOFF_FIRST_MS);
}
