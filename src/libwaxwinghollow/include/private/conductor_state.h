#ifndef WAXWINGHOLLOW_PRIVATE_CONDUCTOR_STATE_H
#define WAXWINGHOLLOW_PRIVATE_CONDUCTOR_STATE_H

/*
 * NAME
 *	conductor_state - what the conductor's parts share
 *
 *	conductor.c		life, tick, results
 *	conductor_queue.c	actions, what is in flight, repeats
 *	conductor_worker.c	the charts of granted workers and moves
 *	conductor_pursue.c	what a granted worker's state asks for
 *	conductor_wave.c	waves, and moves that begin
 *	conductor_repair.c	failures, and workers that come back
 *	conductor_rehearsal.c	rehearsals and their reports
 *	conductor_job.c		placements and their tasks
 */

#include "waxwinghollow/budget.h"
#include "waxwinghollow/chart.h"
#include "waxwinghollow/conductor.h"
#include "waxwinghollow/outcomes.h"
#include "waxwinghollow/planner.h"

/* One thing that is asked for until it is so. */
typedef struct {
	int64_t action; /* in flight; 0: none */
	int64_t sent_ms;
	int64_t next_ms; /* no repeat before */
	int32_t tries;
} wwh_retry_t;

/* A worker's status as last seen. */
typedef struct {
	char *worker;
	wwh_retry_t pursuit;
	bool is_known;
	bool is_new; /* not yet handed to the chart */
	int64_t seen_ms; /* 0: look again at once */
	int64_t heard_ms; /* last answer of the platform */
	int64_t silent_ms; /* before that answer */
	wwh_worker_status_t status;
} wwh_status_query_t;

typedef enum {
	WWH_ACTOR_LOOKING = 0,
	WWH_ACTOR_CORDONING,
	WWH_ACTOR_LEAVING,
	WWH_ACTOR_DRAINING,
	WWH_ACTOR_REBOOTING,
	WWH_ACTOR_CHECKING,
	WWH_ACTOR_HOLDING,
	WWH_ACTOR_RETURNING,
	WWH_ACTOR_WARMING,
	WWH_ACTOR_DOWN,
	WWH_ACTOR_ENDING,
	WWH_ACTOR_LOST,
	WWH_ACTOR_STATE_COUNT
} wwh_actor_state_t;

/* A worker under a grant. */
typedef struct {
	wwh_conductor_t *conductor;
	char *worker;
	int32_t index; /* in the view of this tick */
	int64_t grant;
	wwh_grant_reason_t reason;
	char *owner;
	wwh_chart_machine_t machine;
	wwh_chart_machine_t move; /* reason move only */
	int64_t entered_ms;
	int64_t move_entered_ms;
	int64_t boots_before; /* WWH_FLEET_UNKNOWN */
	int64_t left_ms; /* since when it is known to be cordoned */
	int64_t drain_ok_ms; /* the platform took the drain; 0: not yet */
	bool cancelled;
	bool seen; /* in this tick's view */
	wwh_grant_outcome_t outcome;
	wwh_retry_t command;
	wwh_status_query_t look;
} wwh_actor_t;

typedef struct {
	char *id;
	char *pool;
	wwh_chart_machine_t machine;
	int32_t out_at_once;
	int32_t failed; /* as of the last tick */
	int64_t settled_ms;
	bool seen;
} wwh_wave_run_t;

typedef struct {
	char *id;
	wwh_domain_t domain;
	char *domain_id;
	int64_t started_ms;
	int64_t all_out_ms; /* 0: not yet */
	int64_t ended_ms;
	int64_t all_back_ms;
	int32_t workers;
	int32_t pools;
	int32_t jobs;
	int64_t cores_milli;
	char *end_reason;
	wwh_caller_counts_t callers_before;
	wwh_caller_counts_t callers_after;
} wwh_rehearsal_run_t;

/* A placement of a job that is in force. */
typedef struct {
	char *job;
	char *worker;
	int64_t lease;
	wwh_chart_machine_t machine;
	wwh_retry_t order;
	int64_t renewed_ms;
	int64_t lost_ms; /* when its worker was seen lost */
	wwh_load_t load;
	bool idempotent;
	bool outcome_noted;
	bool seen;
	int64_t throttle_millicores; /* 0: not throttled */
} wwh_job_run_t;

typedef enum {
	WWH_ORIGIN_COMMAND = 0,
	WWH_ORIGIN_STATUS,
	WWH_ORIGIN_APPEND,
	WWH_ORIGIN_TASK
} wwh_origin_kind_t;

/* Whom the result of an action is for. */
typedef struct {
	wwh_origin_kind_t kind;
	char *key; /* worker, job or key of the append */
	int64_t grant; /* or lease */
	wwh_command_t command;
	wwh_task_verb_t verb;
} wwh_origin_t;

struct wwh_conductor {
	wwh_conductor_options_t options;
	char *author;
	GRand *rand;
	int64_t now_ms;
	int64_t utc_offset_ms;
	const wwh_fleet_view_t *view; /* during a tick only */
	wwh_chart_t *worker_chart;
	wwh_chart_t *move_chart;
	wwh_chart_t *wave_chart;
	wwh_chart_t *job_chart;
	GQueue actions; /* of wwh_action_t * */
	int64_t last_action;
	int32_t repeats_left; /* of this tick */
	GHashTable *origins; /* action id to wwh_origin_t * */
	GHashTable *appends; /* key to wwh_retry_t * */
	GHashTable *probes; /* failed worker's id to wwh_status_query_t * */
	GPtrArray *actors; /* of wwh_actor_t *, in order of creation */
	GHashTable *actor_by_worker;
	GPtrArray *waves; /* of wwh_wave_run_t * */
	GHashTable *wave_by_id;
	GHashTable *drains_given_up; /* "wave/worker" */
	GPtrArray *rehearsals; /* of wwh_rehearsal_run_t * */
	GPtrArray *jobs; /* of wwh_job_run_t * */
	GHashTable *job_by_id;
	GHashTable *reasons; /* job id to wwh_reason_t */
	wwh_outcomes_t *outcomes;
	wwh_caller_counts_t callers;
	int64_t planned_ms; /* 0: not yet */
	int32_t planned_waves;
	int64_t placed_ms;
};

/* Queue. Each returns whether the action was put into the queue. */
bool wwh_conductor_append(wwh_conductor_t *conductor, const char *key,
			  wwh_record_t *record); /* takes record over */
bool wwh_conductor_is_appending(const wwh_conductor_t *conductor,
				const char *key);
/* No append under key before until_ms. */
void wwh_conductor_defer_append(wwh_conductor_t *conductor, const char *key,
				int64_t until_ms);
bool wwh_conductor_send_command(wwh_conductor_t *conductor, wwh_actor_t *actor,
				wwh_command_t command, int64_t fence);
bool wwh_conductor_query_status(wwh_conductor_t *conductor,
				wwh_status_query_t *look);
bool wwh_conductor_order_task(wwh_conductor_t *conductor, wwh_job_run_t *run,
			      wwh_task_verb_t verb);
void wwh_conductor_log(wwh_conductor_t *conductor, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void wwh_conductor_count(wwh_conductor_t *conductor, const char *name);
void wwh_conductor_begin_queue(wwh_conductor_t *conductor);
/* The result came, or its limit passed: the next repeat waits longer. */
void wwh_conductor_end_attempt(wwh_conductor_t *conductor, wwh_retry_t *pursuit,
			       bool went_well);
wwh_retry_t *wwh_conductor_append_retry(wwh_conductor_t *conductor,
					const char *key);
void wwh_origin_free(gpointer data);

/* A new record by this conductor. */
void wwh_conductor_init_record(const wwh_conductor_t *conductor,
			       wwh_record_t *record, wwh_record_kind_t kind);
bool wwh_conductor_request_grant(wwh_conductor_t *conductor, int32_t worker,
				 wwh_grant_reason_t reason, const char *owner);
bool wwh_conductor_is_requested(const wwh_conductor_t *conductor,
				int32_t worker);

/* The pool of the worker's control work; WWH_FLEET_NONE. */
int32_t wwh_conductor_control_pool(const wwh_conductor_t *conductor,
				   int32_t worker);
/* The lease's fence for that pool, or WWH_NO_OFFSET. */
int64_t wwh_conductor_fence(const wwh_conductor_t *conductor, int32_t worker);

/* Workers. */
const wwh_chart_table_t *wwh_actor_worker_table(void);
const wwh_chart_table_t *wwh_actor_move_table(void);
void wwh_actors_sync(wwh_conductor_t *conductor);
void wwh_actors_step(wwh_conductor_t *conductor);
void wwh_actors_queue_actions(wwh_conductor_t *conductor);
void wwh_actor_apply_status(wwh_actor_t *actor);
void wwh_actor_free(gpointer data);
bool wwh_actor_rebooted(const wwh_actor_t *actor);

/* Waves, moves, repairs. */
const wwh_chart_table_t *wwh_wave_table(void);
void wwh_waves_step(wwh_conductor_t *conductor);
void wwh_moves_step(wwh_conductor_t *conductor);
void wwh_repairs_step(wwh_conductor_t *conductor);
void wwh_wave_run_free(gpointer data);
void wwh_status_query_free(gpointer data);

/* Rehearsals. */
void wwh_rehearsals_step(wwh_conductor_t *conductor);
void wwh_rehearsal_run_free(gpointer data);

/* Jobs. */
const wwh_chart_table_t *wwh_job_table(void);
void wwh_jobs_step(wwh_conductor_t *conductor);
void wwh_job_run_free(gpointer data);
void wwh_job_run_handle_answer(wwh_conductor_t *conductor, wwh_job_run_t *run,
			       wwh_task_verb_t verb, wwh_status_t status);

#endif
