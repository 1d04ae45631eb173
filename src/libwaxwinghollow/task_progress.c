#include "waxwinghollow/task_progress.h"

#include <glib.h>

#define PERMILLE 1000
#define PERCENT 100

/*
 * Tasks of a few seconds are listed once a second, and restoring a checkpoint
 * takes well under a second.
 */
#define LIMIT_MIN_MS 1600

/* A sound upstream may be this much slower than others, and become so at any time. */
#define SLOWEST_FACTOR 5

/* Of the time that one percent takes at most, as it is seen at polls only. */
#define MARGIN_FACTOR 2

/* Beyond the estimate of a run that reports no progress, on a slow upstream. */
#define UNREPORTED_FACTOR (SLOWEST_FACTOR + 1)

/* Estimates are rough: a class may differ from them by this much. */
#define CLASS_PERMILLE_MAX (100000 * PERMILLE)
#define CLASS_WEIGHT 8

/*
 * If a task stands still wherever it runs, what is known of its pace is wrong. From
 * the second time on, the limit doubles.
 */
#define HANGS_BEFORE_DOUBLING 1
#define DOUBLINGS_MAX 20

static int64_t expected_percent_ms(const wwh_task_progress_t *progress);

int64_t wwh_task_progress_limit_ms(const wwh_task_progress_t *progress)
{
	int32_t doublings = CLAMP(progress->hangs - HANGS_BEFORE_DOUBLING, 0,
				  DOUBLINGS_MAX);
	int64_t limit_ms;

	if (progress->one_percent_ms == 0 && progress->class_permille == 0)
		limit_ms = progress->estimate_ms * UNREPORTED_FACTOR;
	else
		limit_ms = expected_percent_ms(progress) * SLOWEST_FACTOR *
			   MARGIN_FACTOR;
	return MAX(limit_ms, LIMIT_MIN_MS) << doublings;
}

/*
 * The run's own pace, up to that on the slowest upstream: a run that stood still
 * for a while has shown a pace that is too slow.
 */
static int64_t expected_percent_ms(const wwh_task_progress_t *progress)
{
	int64_t by_class_ms = progress->estimate_ms * progress->class_permille /
			      (PERMILLE * PERCENT);

	if (progress->one_percent_ms == 0)
		return by_class_ms;
	return MIN(progress->one_percent_ms, by_class_ms * SLOWEST_FACTOR);
}

/* One run changes the class by a fraction only, however slow it was. */
int32_t wwh_task_progress_add(int32_t class_permille, int64_t estimate_ms,
			      int64_t one_percent_ms)
{
	int64_t permille =
		one_percent_ms * PERCENT * PERMILLE / MAX(estimate_ms, 1);
	int64_t change_max = MAX(class_permille / CLASS_WEIGHT, 1);

	permille = CLAMP(permille, 1, CLASS_PERMILLE_MAX);
	if (class_permille == 0)
		return (int32_t)permille;
	return (int32_t)(class_permille + CLAMP(permille - class_permille,
						-change_max, change_max));
}
