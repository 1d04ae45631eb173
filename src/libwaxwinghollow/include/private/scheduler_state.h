#ifndef WAXWINGHOLLOW_PRIVATE_SCHEDULER_STATE_H
#define WAXWINGHOLLOW_PRIVATE_SCHEDULER_STATE_H

/*
 * What the scheduler's modules share. Calls go down in this order, never up:
 * scheduler, scheduler_cordon, scheduler_place, scheduler_advice,
 * scheduler_watch, scheduler_pace, scheduler_upstream, scheduler_backlog,
 * scheduler_record, scheduler_job, scheduler_task.
 */

#include "waxwinghollow/chart.h"
#include "waxwinghollow/scheduler.h"
#include "waxwinghollow/workspace_quota.h"

/*
 * Upstreams' clocks may run this much slower than ours, in thousandths; what
 * DESIGN promises of them. A lease of theirs then lasts longer here.
 */
#define CLOCK_SLOW_PERMILLE 20
#define PERMILLE 1000

typedef struct sched_job sched_job_t;
typedef struct sched_occurrence sched_occurrence_t;
typedef struct sched_step sched_step_t;
typedef struct sched_upstream sched_upstream_t;
typedef struct sched_pool sched_pool_t;

/* In the order of charts/task.json. */
typedef enum {
	TASK_WAITING = 0,
	TASK_STARTING,
	TASK_UNSURE,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_OVER,
	TASK_STATE_COUNT
} sched_task_state_t;

typedef enum {
	TASK_ORDER = 0,
	TASK_ACCEPTED,
	TASK_REFUSED,
	TASK_UNANSWERED,
	TASK_LISTED,
	TASK_STOP,
	TASK_DONE,
	TASK_ENDED,
	TASK_LOST,
	TASK_DROP,
	TASK_EVENT_COUNT
} sched_task_event_t;

/* Runs that ended as failed; each counts once. */
typedef struct {
	int64_t *runs; /* NULL: none */
	int32_t count;
} sched_failures_t;

typedef struct {
	sched_step_t *step;
	int32_t index;
	wwh_chart_machine_t machine;
	int64_t run; /* the highest that was ordered or seen */
	sched_upstream_t *upstream; /* while it is out */
	sched_upstream_t
		*avoided_upstream; /* where it failed last; compared only */
	char *checkpoint; /* NULL: none */
	sched_failures_t failures;
	int64_t changed_ms; /* when it got into its state */
	int64_t retry_ms; /* not placed before this */
	int64_t stop_sent_ms; /* 0: no stop was ordered */
	int64_t stop_confirmed_ms; /* 0: not confirmed */
	bool order_in_flight;
	bool inherited; /* may run at an upstream that wasn't asked yet */
	int32_t percent; /* as listed last */
	int64_t percent_ms; /* when percent changed last */
	int64_t unavailable_since_ms; /* lasting: not at work since; 0: at work */
	int32_t consecutive_failures; /* lasting: without being at work for long */
	int64_t adopted_ms; /* 0: this holder started it */
	int64_t tail_ms; /* as listed last */
	int32_t pace; /* percent of its work that is ordered */
	int32_t pace_wanted;
	int64_t pace_sent_ms;
} sched_task_t;

typedef struct {
	char *ticket;
	int64_t until_ms;
} sched_ticket_t;

struct sched_step {
	sched_occurrence_t *occurrence;
	const wwh_job_step_t *spec;
	int32_t number;
	sched_task_t *tasks;
	int32_t done;
	int32_t out;
	int64_t gang_run;
	sched_failures_t gang_failures;
	GHashTable *tickets; /* upstream id to sched_ticket_t; NULL: none yet */
	GHashTable *asked; /* upstream ids that advice was asked on */
	bool advice_in_flight;
	int64_t advice_after_ms;
};

struct sched_occurrence {
	sched_job_t *job;
	int64_t number;
	int64_t due_wall_ms;
	int64_t due_ms; /* the same on the steady clock */
	sched_step_t *steps;
	int32_t steps_done;
};

struct sched_job {
	char id[WWH_JOB_ID_CHARS + 1];
	wwh_job_t *spec; /* NULL once it has ended and nothing is out */
	char *workspace; /* NULL: none */
	sched_pool_t *pool;
	wwh_job_progress_t state; /* QUEUED stands for all that is live */
	bool started;
	bool dirty;
	int64_t record_number; /* record of its acceptance */
	int64_t end_kept; /* record of its end */
	int64_t ended_ms;
	int64_t accepted_ms;
	int64_t chain_ms; /* the longest chain of estimates */
	int64_t objective_ms; /* how long callers are content to wait */
	GPtrArray *occurrences; /* that are due, owned; NULL once over */
	int64_t next_occurrence; /* the first that isn't in occurrences */
	int64_t occurrences_done;
	int32_t out;
};

struct sched_upstream {
	wwh_upstream_info_t info;
	sched_pool_t *pool;
	bool listed; /* it is announced */
	bool unreadable; /* and what the announcement says can't be read */
	bool settled; /* it answered this holder */
	bool expected_in_host_list; /* both, when the last list of hosts was asked for */
	bool inherited; /* a holder before may have started tasks on it */
	bool cordoned; /* empties itself */
	bool ending; /* may be taken down at any moment */
	const char *
		termination_reason; /* it has terminated, by this sign; NULL: not */
	int64_t terminated_ms;
	bool record_written;
	int64_t record_number; /* record that names it; valid with record_written */
	int64_t without_host_ms; /* lists show no host of it since; 0: one */
	int64_t inherited_lease_end_ms; /* inherited: surely lapsed then */
	/* As its record says; no holder that finds it asks for more. */
	int64_t recorded_lease_ms;
	/* What holders before this one may have asked for; 0: none. */
	int64_t inherited_until_remote_ms;
	bool poll_in_flight;
	int64_t next_poll_ms;
	int64_t idle_gap_ms; /* from the last answer to the next poll; 0: usual */
	int64_t answered_ms; /* the last answer to a poll */
	int32_t failed_polls; /* since then */
	int32_t refused_polls; /* in a row */
	int64_t clock_base_ms; /* answered at, on the own clock ... */
	int64_t clock_base_remote_ms; /* ... and on its clock; 0: unknown */
	int64_t lease_until_remote_ms; /* the longest that was ever sent */
	int64_t lease_end_ms; /* its lease is surely over then */
	bool lease_end_handled;
	int64_t ends_seen;
	int64_t last_progress_end; /* the last one that a job's progress hangs on */
	int64_t ends_acked; /* durable */
	int64_t ends_flushed;
	int64_t ends_flushed_record;
	GPtrArray *tasks; /* sched_task_t that are out on it */
	int32_t orphans; /* rows that no task here explains */
	GHashTable *orphan_stops; /* task name to when a stop was sent */
	wwh_load_t used;
	int64_t next_pace_ms;
	int32_t fail_streak;
	int32_t backoffs;
	int64_t backoff_until_ms;
};

/* A job of which a record can't be read. */
typedef struct {
	bool accepted; /* its own record is there, so it hasn't ended */
	int64_t since_ms;
} sched_lost_job_t;

struct sched_pool {
	char *name;
	bool standby;
	GPtrArray *upstreams; /* not owned */
	int32_t unsettled; /* inherited upstreams that weren't asked yet */
	int64_t taken_over_ms; /* with the inherited upstreams above */
	int64_t longest_wait_ms; /* from then on, for the last of them */
	bool dirty; /* something may be placed */
	wwh_load_t
		most_free; /* at least what the one with the most of it has */
	int64_t next_try_ms;
	bool cut_short; /* the last pass left something to the next one */
	int32_t unstarted; /* tasks of its jobs, also of later steps */
};

struct wwh_scheduler {
	wwh_scheduler_options_t options;
	wwh_scheduler_callbacks_t callbacks;
	wwh_chart_t *task_chart;
	uint32_t out_tag;
	GHashTable *jobs; /* id to sched_job_t, owned */
	GHashTable *lost_jobs; /* id to sched_lost_job_t, owned */
	GPtrArray *live; /* sched_job_t that haven't ended or are out */
	GPtrArray
		*dirty; /* sched_job_t whose progress is to be record_number */
	GHashTable *pools; /* name to sched_pool_t, owned */
	GHashTable *upstreams; /* id to sched_upstream_t, owned */
	int64_t taken_over_ms; /* with the upstreams of the holder before */
	int32_t inherited_upstreams; /* as many as there were then */
	int32_t idle_upstreams; /* as counted last; polls at them are spaced by it */
	bool restored;
	bool starts_held;
	int32_t starts_left; /* of a pool's share in the pass in progress */
	wwh_workspace_quota_t *quota;
	int64_t now_ms;
	int64_t wall_ms;
	bool has_unflushed_ends; /* some end isn't covered by a flush yet */
	int64_t newest_record;
	int64_t durable_record;
	int64_t durable_ms; /* when it rose last */
	int64_t next_forget_ms;
};

/* The pool of inherited upstreams whose pool isn't known. */
#define SCHED_POOL_UNKNOWN ""

/* scheduler_lost.c: records that can't be read */
void sched_job_mark_lost(wwh_scheduler_t *scheduler, const char *id,
			 bool accepted);
void sched_job_clear_lost(wwh_scheduler_t *scheduler, const char *id);
bool sched_task_is_lost(const wwh_scheduler_t *scheduler, const char *name);
void sched_lost_jobs_expire(wwh_scheduler_t *scheduler);
void sched_upstream_add_unlocated(wwh_scheduler_t *scheduler, const char *id);
bool sched_upstream_is_located(const sched_upstream_t *upstream);
void sched_upstream_locate(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream, const char *pool);
bool sched_pool_is_settled(const wwh_scheduler_t *scheduler,
			   const sched_pool_t *pool);

/* scheduler_task.c */
sched_task_state_t sched_task_state(const sched_task_t *task);
bool sched_task_is_outstanding(const wwh_scheduler_t *scheduler,
			       const sched_task_t *task);
void sched_task_name(const sched_task_t *task, char *name);
bool sched_task_parse(const char *name, char *id, int64_t *occurrence,
		      int32_t *step, int32_t *index);
/* Puts a task that is to be started on upstream; the order goes out. */
void sched_task_start(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run,
		      const char *ticket);
/* Takes up a task that runs at upstream though this holder didn't start it. */
void sched_task_adopt(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run);
/* A step of charts/task.json; leaving "out" frees its room. */
void sched_task_event(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_task_event_t event);
void sched_task_order_stop(wwh_scheduler_t *scheduler, sched_task_t *task);
void sched_task_set_checkpoint(sched_task_t *task, const char *checkpoint);
/* The lease that is written into the records of upstreams. */
int64_t sched_lease_requested_ms(const wwh_scheduler_t *scheduler);
/* How long after a takeover the lease of a holder before may go on. */
int64_t sched_lease_left_ms(int64_t lease_ms);
/* Of the first answer of an inherited upstream. */
void sched_lease_inherit(sched_upstream_t *upstream, int64_t remote_ms);
/* Until when upstream's lease may be asked for now, on its clock; 0: unknown */
int64_t sched_lease_extend(const wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream);
/* To be called when a newer reading of its clock has come. */
void sched_lease_recompute(sched_upstream_t *upstream);
void sched_explain(const wwh_scheduler_t *scheduler, const char *event,
		   const char *subject, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* scheduler_quota.c: whether the step's workspace may have count more tasks */
bool sched_quota_allows(wwh_scheduler_t *scheduler, const sched_step_t *step,
			int32_t count);

/* scheduler_job.c */
sched_job_t *sched_job_find(const wwh_scheduler_t *scheduler, const char *id);
sched_job_t *sched_job_add(wwh_scheduler_t *scheduler, wwh_job_t *spec,
			   int64_t accepted_ms);
sched_job_t *sched_job_add_ended(wwh_scheduler_t *scheduler, const char *id);
void sched_job_delete(gpointer job);
bool sched_job_is_live(const sched_job_t *job);
sched_task_t *sched_job_task(const wwh_scheduler_t *scheduler,
			     const char *name);
sched_occurrence_t *sched_job_open_occurrence(wwh_scheduler_t *scheduler,
					      sched_job_t *job);
void sched_job_open_due(wwh_scheduler_t *scheduler, sched_job_t *job);
void sched_job_touch(wwh_scheduler_t *scheduler, sched_job_t *job);
void sched_job_end(wwh_scheduler_t *scheduler, sched_job_t *job,
		   wwh_job_progress_t state);
bool sched_step_is_ready(const sched_step_t *step);
/* What a task of it takes away from others; fillers take no processor. */
wwh_load_t sched_step_reserved_load(const wwh_job_step_t *spec);
void sched_step_task_done(wwh_scheduler_t *scheduler, sched_task_t *task);
/* False: that run was counted before. */
bool sched_failures_add(sched_failures_t *failures, int64_t run);
void sched_step_task_failed(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int64_t run);
void sched_jobs_forget(wwh_scheduler_t *scheduler);

/* scheduler_backlog.c: what waits for the holder alone */
/* Inherited upstreams that haven't answered yet, of all pools. */
int32_t sched_count_unsettled(const wwh_scheduler_t *scheduler);
/* It counts as waiting until the next pass counts all of them. */
void sched_job_join_backlog(const wwh_scheduler_t *scheduler, sched_job_t *job);

/* scheduler_record.c */
/* Writes the progress of all jobs that have got on since the last time. */
void sched_progress_write(wwh_scheduler_t *scheduler);
GBytes *sched_progress_encode(const sched_job_t *job, int64_t wall_ms);
bool sched_progress_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message);
GBytes *sched_upstream_encode(const sched_upstream_t *upstream);
bool sched_upstream_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message);

/* scheduler_upstream.c */
sched_pool_t *sched_pool_get(wwh_scheduler_t *scheduler, const char *name);
void sched_pool_delete(gpointer pool);
/* One inherited upstream less to wait for. */
void sched_pool_settle_one(wwh_scheduler_t *scheduler, sched_pool_t *pool);
sched_upstream_t *sched_upstream_find(const wwh_scheduler_t *scheduler,
				      const char *id);
sched_upstream_t *sched_upstream_add(wwh_scheduler_t *scheduler,
				     const wwh_upstream_info_t *info);
void sched_upstream_delete(gpointer upstream);
void sched_upstream_remove(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream, const char *why);
void sched_upstreams_flushed(wwh_scheduler_t *scheduler);
void sched_upstreams_durable(wwh_scheduler_t *scheduler);
/* What is out on it is known to be over. */
void sched_upstream_lose_tasks(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream, const char *why);
bool sched_upstream_usable(const wwh_scheduler_t *scheduler,
			   const sched_upstream_t *upstream);
void sched_upstream_failed(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream);
void sched_upstream_back_off(wwh_scheduler_t *scheduler,
			     sched_upstream_t *upstream, int64_t wait_ms);

bool sched_upstream_awaits_final_report(const wwh_scheduler_t *scheduler,
					const sched_upstream_t *upstream);

/* scheduler_poll.c: when upstreams are polled, and for how long */
int64_t sched_poll_gap_ms(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream);
/* It answers and runs nothing. */
bool sched_upstream_is_idle(const sched_upstream_t *upstream);
/* Between polls at one of many that run nothing; 0: the gap above. */
int64_t sched_poll_idle_gap_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream);
int64_t sched_poll_retry_ms(const sched_upstream_t *upstream);
/* Of an upstream that has answered this holder before. */
void sched_poll_if_due(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
/* Of all that haven't. */
void sched_poll_unsettled(wwh_scheduler_t *scheduler);

/* scheduler_watch.c: answers to polls are taken in, leases run out */
void sched_upstreams_run(wwh_scheduler_t *scheduler);

/* scheduler_pace.c: after a poll has been taken in */
void sched_pace_fillers(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);

/* scheduler_advice.c: tickets of queues whose policy names upstreams */
bool sched_step_needs_advice(const sched_step_t *step);
/* NULL: it has none that is good for an order now. */
const char *sched_ticket_of(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, const char *upstream);
void sched_ticket_refused(sched_step_t *step, const char *upstream);
void sched_ask_advice(wwh_scheduler_t *scheduler, sched_step_t *step);

/* scheduler_place.c */
void sched_place(wwh_scheduler_t *scheduler);
/* Whether an upstream that takes new work has room for another such task. */
bool sched_task_fits_elsewhere(wwh_scheduler_t *scheduler, sched_task_t *task);

/* scheduler_cordon.c */
bool sched_upstream_may_terminate(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream);
void sched_cordon_run(wwh_scheduler_t *scheduler);

#endif
