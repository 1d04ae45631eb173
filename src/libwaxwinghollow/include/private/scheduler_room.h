#ifndef WAXWINGHOLLOW_PRIVATE_SCHEDULER_ROOM_H
#define WAXWINGHOLLOW_PRIVATE_SCHEDULER_ROOM_H

/*
 * State shared by scheduler_room, which answers for new jobs, and
 * scheduler_room_scan, which scans the queue and the running work of a pool.
 */

#include "private/scheduler_state.h"

/* Accepted work of one workspace and priority. */
typedef struct {
	char *workspace; /* NULL: none */
	int32_t priority;
	double millicores;
	int64_t updated_ms;
} sched_rate_t;

struct sched_room {
	/* As of the last scan. */
	bool scanned;
	int64_t scanned_ms;
	wwh_pool_room_t room;
	wwh_load_t host; /* the largest usable upstream */
	wwh_load_t usable;
	GArray *rows; /* wwh_pool_queued_t by order */
	GArray *workspaces; /* wwh_pool_workspace_t */
	GHashTable
		*indices; /* name, owned, to an index in workspaces, plus 1 */
	GArray *rates; /* sched_rate_t */
	double path_ratio; /* of jobs' durations to their critical paths; 0 */
	/* Decays within REJECTED_WINDOW_MS. */
	double rejected_work;
	double rejected_millicores;
	int64_t rejected_ms;
};

/* scheduler_room.c */
double sched_rate_now(const sched_rate_t *rate, int64_t now_ms);

/* scheduler_room_scan.c */
void sched_room_scan(wwh_scheduler_t *scheduler, sched_pool_t *pool);
/* Adds the row of a job that was accepted after the last scan. */
void sched_room_insert(const wwh_scheduler_t *scheduler, sched_room_t *room,
		       const sched_occurrence_t *occurrence);
/* The index of a workspace, which is added if it has none. */
int32_t sched_room_workspace(const wwh_scheduler_t *scheduler,
			     sched_room_t *room, const char *name);
/* The load's largest part of whole, in millicores of whole. */
int64_t sched_room_equivalent(const wwh_load_t *load, const wwh_load_t *whole);
/* The millicore-ms of tasks of a step, on hosts of that size. */
int64_t sched_room_step_work(const wwh_job_step_t *spec, int64_t tasks,
			     const wwh_load_t *host);

#endif
