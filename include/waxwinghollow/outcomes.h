#ifndef WAXWINGHOLLOW_OUTCOMES_H
#define WAXWINGHOLLOW_OUTCOMES_H

/*
 * NAME
 *	outcomes - whether failed runs are the worker's fault or the task's
 *
 * USE
 *	Each end of a task's run is recorded with the worker it ran on.
 *	wwh_outcomes_task_is_bad and wwh_outcomes_worker_is_bad then compare.
 *
 *	Answers two loads that look alike when single failures are counted:
 *
 *	- A worker that fails every task it starts. It is always idle, so
 *	  without a quarantine it takes task after task and fails them all.
 *	- A task that fails wherever it runs. If its failures counted against
 *	  workers, a few such tasks would empty the pool.
 *
 *	A task is bad when it has failed on WWH_TASK_BAD_WORKERS different
 *	workers and ended well on none: two may both be bad workers, three
 *	rarely are. Its failures are then taken off the workers' accounts. Of
 *	what remains, a worker is bad when at least WWH_WORKER_BAD_RUNS
 *	different tasks ended on it, at least half of them failed, and that
 *	share is at least WWH_WORKER_BAD_RATIO times the share on all other
 *	workers together. The comparison keeps a fault that is everywhere, such
 *	as a library service that is down, from emptying the pool.
 *
 *	Only the last WWH_OUTCOMES_KEPT ends of runs of a worker are kept.
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

/* Forgets a worker's past, for example after its maintenance. */
void wwh_outcomes_forget_worker(wwh_outcomes_t *outcomes,
				const char *worker_id);
/* Forgets a task that no one asks about any more. */
void wwh_outcomes_forget_task(wwh_outcomes_t *outcomes, const char *task_id);

bool wwh_outcomes_task_is_bad(const wwh_outcomes_t *outcomes,
			      const char *task_id);
/* Whether the task failed on that worker before and ended well on none. */
bool wwh_outcomes_failed_on(const wwh_outcomes_t *outcomes, const char *task_id,
			    const char *worker_id);
bool wwh_outcomes_worker_is_bad(const wwh_outcomes_t *outcomes,
				const char *worker_id);

#endif
