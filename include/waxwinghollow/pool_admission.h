#ifndef WAXWINGHOLLOW_POOL_ADMISSION_H
#define WAXWINGHOLLOW_POOL_ADMISSION_H

/*
 * NAME
 *	pool_admission - decides whether a pool has capacity for a new job
 *
 * USE
 *	Compares the work of a new job with the capacity that its pool has and
 *	is about to get, before the job is stored. A job that can't end while
 *	its result is of use is rejected immediately, while its caller can
 *	still retry. The pool is modelled as a fluid: work starts at the rate
 *	of the pool's capacity, in the order of scheduler_policy. The module
 *	does no input or output. Its only state is the rejected jobs whose
 *	callers are about to retry, which is lost with the holder.
 *
 * LOAD
 *	A queue sends 2.5 to 10 times its usual work for some seconds, more
 *	than its pool can run. Without admission control all of it is
 *	accepted, waits, takes capacity from the jobs that could be in time,
 *	and ends late or never.
 *
 * ORDER OF CALLS
 *	wwh_pool_admission_new; wwh_pool_admission_decide for each new job;
 *	wwh_pool_admission_delete.
 */

#include <stdbool.h>
#include <stdint.h>

/* Changes of a pool's capacity that a room holds; further ones are merged. */
#define WWH_POOL_CHANGES_MAX 16

/* A row that belongs to no workspace. */
#define WWH_POOL_NO_WORKSPACE (-1)

/* Capacity that the pool will get, or lose if negative. */
typedef struct {
	int64_t due_ms; /* from now */
	int64_t millicores;
} wwh_pool_change_t;

/* An accepted job with tasks that haven't started. */
typedef struct {
	int64_t order; /* of wwh_policy_order_key */
	int64_t work; /* millicore-ms of the tasks that haven't started */
	int64_t objective_left_ms; /* from now until its objective */
	int32_t priority; /* of its queue, 0 goes first */
	int32_t workspace; /* index into workspaces */
	bool in_time; /* it can still meet its objective */
} wwh_pool_queued_t;

typedef struct {
	int64_t weight; /* at least 1 */
	int64_t queued_work; /* millicore-ms, of all its rows */
	int64_t accepted_millicores; /* rate of its recently accepted work */
} wwh_pool_workspace_t;

/*
 * Loads are in millicores of the resource of which they take the largest part
 * of the pool. Rows and work of lasting tasks are left out.
 */
typedef struct {
	int64_t usable_millicores; /* of usable upstreams, without lasting */
	int64_t free_millicores; /* part of it that no task uses */
	int64_t largest_free_millicores; /* on one upstream */
	int64_t largest_host_millicores;
	int64_t running_work; /* millicore-ms left of running tasks */
	int64_t running_span_work; /* of their whole durations */
	/*
	 * Rate of recently accepted work of a higher priority than the new job,
	 * that is of the job's workspace or of none.
	 */
	int64_t overtaking_millicores;
	/*
	 * How long recent jobs took from the first start to the end, in
	 * thousandths of their critical paths; 0: unknown. A step takes as long
	 * as the slowest of its tasks, which estimates don't show.
	 */
	int64_t path_permille;
	bool has_queue; /* ready tasks wait for capacity */
	wwh_pool_change_t changes[WWH_POOL_CHANGES_MAX];
	int32_t change_count;
	const wwh_pool_queued_t *queued; /* by ascending order */
	int32_t queued_count;
	const wwh_pool_workspace_t *workspaces;
	int32_t workspace_count;
	int64_t start_wait_ms; /* of the holder's own backlog of starts */
} wwh_pool_room_t;

typedef struct {
	const char *id;
	const char *workspace_name; /* NULL: none */
	int32_t workspace; /* index into the room's workspaces */
	bool exempt; /* it has lasting tasks or repeats */
	int32_t priority;
	int64_t order; /* of wwh_policy_order_key, if accepted now */
	int64_t objective_ms;
	int64_t critical_path_ms;
	int64_t work; /* millicore-ms of all tasks */
	int64_t widest_step_millicores;
	int64_t largest_task_millicores;
	int64_t last_task_ms; /* estimate of a task of its last step */
} wwh_admission_job_t;

typedef enum {
	WWH_ADMISSION_EXEMPT = 0,
	WWH_ADMISSION_NO_MODEL, /* the model doesn't apply to this job or pool */
	WWH_ADMISSION_FREE, /* the pool has free capacity or no queue */
	WWH_ADMISSION_IN_TIME,
	WWH_ADMISSION_LATE_ALONE, /* late, but delays nothing that isn't */
	/* From here on: rejected. */
	WWH_ADMISSION_TOO_LATE, /* it would end when its result is of no use */
	WWH_ADMISSION_LATE, /* late, and queued jobs can still be in time */
	WWH_ADMISSION_DISPLACES, /* in time, but makes a queued job late */
	WWH_ADMISSION_REASON_COUNT
} wwh_admission_reason_t;

/* Names of wwh_admission_reason_t, in the same order. */
extern const char *const wwh_admission_reason_names[WWH_ADMISSION_REASON_COUNT];

typedef struct {
	bool accepted;
	wwh_admission_reason_t reason;
	int64_t start_ms; /* expected, from now; -1: unknown */
	int64_t end_ms; /* the same */
	int64_t capacity_ms; /* rejected: until capacity is expected */
	int64_t retry_after_s; /* rejected: 1 to 5 */
} wwh_admission_verdict_t;

typedef struct wwh_pool_admission wwh_pool_admission_t;

wwh_pool_admission_t *wwh_pool_admission_new(void);
void wwh_pool_admission_delete(wwh_pool_admission_t *admission);

/*
 * Decides on a job that arrives at now_ms. A rejected job is remembered until
 * its caller has had time to retry, and capacity is kept for it.
 */
wwh_admission_verdict_t
wwh_pool_admission_decide(wwh_pool_admission_t *admission,
			  const wwh_pool_room_t *room,
			  const wwh_admission_job_t *job, int64_t now_ms);

/* Adds a change of capacity to the room. */
void wwh_pool_room_add_change(wwh_pool_room_t *room, int64_t due_ms,
			      int64_t millicores);

/*
 * The Retry-After for a wait: whole seconds from 1 to 5, spread by a hash of
 * the job's id so that callers rejected together don't retry together.
 */
int64_t wwh_admission_retry_after_s(int64_t wait_ms, const char *id);

#endif
