#ifndef WAXWINGHOLLOW_TASK_PROGRESS_H
#define WAXWINGHOLLOW_TASK_PROGRESS_H

/*
 * NAME
 *	task_progress - how long a sound run may show no progress
 *
 * USE
 *	Upstreams report the progress of a run in whole percent. A run that
 *	stands still is stopped, to be started elsewhere. How long a sound run
 *	may stay at one percent follows from the pace of the run itself, else
 *	from that of its class (runs of the same queue, against their
 *	estimates). A class that has reported no progress so far may report
 *	none before a run's end.
 *
 * LOAD
 *	Upstreams on which tasks stand still or are several times slower, and
 *	tasks of a second to a day side by side.
 */

#include <stdint.h>

typedef struct {
	int64_t estimate_ms; /* of the whole task, as submitted */
	int64_t one_percent_ms; /* one percent of this run took; 0: unknown */
	/*
	 * What one percent takes in this class, in thousandths of what the
	 * estimates say; 0: no run has reported progress so far.
	 */
	int32_t class_permille;
	int32_t hangs; /* runs of this task that were stopped for standing still */
} wwh_task_progress_t;

/* How long the run may stay at one percent before it counts as standing still. */
int64_t wwh_task_progress_limit_ms(const wwh_task_progress_t *progress);

/*
 * Adds that one percent of a run took one_percent_ms. Returns the new class_permille;
 * 0 stands for a class without any.
 */
int32_t wwh_task_progress_add(int32_t class_permille, int64_t estimate_ms,
			      int64_t one_percent_ms);

#endif
