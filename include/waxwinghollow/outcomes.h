#ifndef WAXWINGHOLLOW_OUTCOMES_H
#define WAXWINGHOLLOW_OUTCOMES_H

/*
 * NAME
 *	outcomes - whether failed runs are caused by the worker or by the task
 *
 * USE
 *	Each end of a task's run is recorded with the worker it ran on.
 *	wwh_outcomes_task_is_bad and wwh_outcomes_worker_is_bad then compare.
 *
 *	Two load patterns look alike when single failures are counted:
 *
 *	- A worker that fails every task it starts. It is always idle, so
 *	  without a quarantine it gets task after task and fails them all.
 *	- A task that fails wherever it runs. If its failures counted against
 *	  workers, a few such tasks would empty the pool.
 *
 *	A task is bad when it has failed on WWH_TASK_BAD_WORKERS different
 *	workers and succeeded on none: two may both be bad workers, three
 *	rarely are. The failures of bad tasks are not counted against workers.
 *	Of the other tasks, a worker is bad when at least WWH_WORKER_BAD_RUNS
 *	different ones ended on it, at least half of them failed, and that
 *	failure rate is at least WWH_WORKER_BAD_RATIO times the rate on all
 *	other workers together. The comparison prevents a fault that affects
 *	all workers, such as a library service that is down, from emptying the
 *	pool.
 *
 *	Only the last WWH_OUTCOMES_KEPT ended runs of a worker are stored.
 *
 * ORDER OF CALLS
 *	wwh_outcomes_new, any of the others, wwh_outcomes_delete.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_TASK_BAD_WORKERS 3
#define WWH_WORKER_BAD_RUNS 3
#define WWH_WORKER_BAD_RATIO 3
#define WWH_OUTCOMES_KEPT 16

typedef struct wwh_outcomes wwh_outcomes_t;

wwh_outcomes_t *wwh_outcomes_new(void);
void wwh_outcomes_delete(wwh_outcomes_t *outcomes);

void wwh_outcomes_record(wwh_outcomes_t *outcomes, const char *task_id,
			 const char *worker_id, bool ended_well);

/* Deletes the runs of a worker, for example after its maintenance. */
void wwh_outcomes_forget_worker(wwh_outcomes_t *outcomes,
				const char *worker_id);
/* Deletes the record of a task that is not queried any more. */
void wwh_outcomes_forget_task(wwh_outcomes_t *outcomes, const char *task_id);

bool wwh_outcomes_task_is_bad(const wwh_outcomes_t *outcomes,
			      const char *task_id);
/* Whether the task failed on that worker and has succeeded on none. */
bool wwh_outcomes_failed_on(const wwh_outcomes_t *outcomes, const char *task_id,
			    const char *worker_id);
bool wwh_outcomes_worker_is_bad(const wwh_outcomes_t *outcomes,
				const char *worker_id);

#endif
