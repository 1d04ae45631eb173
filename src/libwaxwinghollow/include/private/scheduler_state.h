#ifndef WAXWINGHOLLOW_PRIVATE_SCHEDULER_STATE_H
#define WAXWINGHOLLOW_PRIVATE_SCHEDULER_STATE_H

/*
 * State and functions shared by the scheduler's modules: scheduler,
 * scheduler_advice, scheduler_age, scheduler_authority, scheduler_backlog,
 * scheduler_check, scheduler_choose, scheduler_cordon, scheduler_demand,
 * scheduler_ending,
 * scheduler_incarnation, scheduler_inherited_start, scheduler_isolation,
 * scheduler_job, scheduler_loss, scheduler_lost, scheduler_pace,
 * scheduler_place, scheduler_poll, scheduler_progress, scheduler_quota,
 * scheduler_record, scheduler_repeat,
 * scheduler_room, scheduler_room_scan, scheduler_share, scheduler_speed,
 * scheduler_task, scheduler_upstream, scheduler_watch.
 */

#include "waxwinghollow/answer_time.h"
#include "waxwinghollow/chart.h"
#include "waxwinghollow/failure_streak.h"
#include "waxwinghollow/scheduler.h"
#include "waxwinghollow/upstream_speed.h"
#include "waxwinghollow/workspace_quota.h"
#include "waxwinghollow/workspace_share.h"

/*
 * The clock of an upstream may run slower than ours by this many thousandths,
 * the bound on clock drift that DESIGN states. Its lease then lasts longer by
 * our clock.
 */
#define CLOCK_SLOW_PERMILLE 20
#define PERMILLE 1000

typedef struct sched_job sched_job_t;
typedef struct sched_occurrence sched_occurrence_t;
typedef struct sched_step sched_step_t;
typedef struct sched_upstream sched_upstream_t;
typedef struct sched_pool sched_pool_t;
typedef struct sched_room sched_room_t;

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

/* The runs that failed, each listed once. */
typedef struct {
	int64_t *runs; /* NULL: none */
	int32_t count;
} sched_failures_t;

/* What is known of a run that was lost together with its upstream. */
typedef enum {
	/* Ordered by this or a previous holder; its outcome isn't known yet. */
	SCHED_LOSS_PENDING = 1 << 0,
	/* The upstream certainly crashed after the start had been ordered. */
	SCHED_LOSS_CRASH = 1 << 1,
	/* The run may have caused the crash. */
	SCHED_LOSS_SUSPECT = 1 << 2,
	/* No task of another job may have caused it. */
	SCHED_LOSS_ALONE = 1 << 3,
	/*
	 * The start got no answer and may not have reached the upstream, or the
	 * crash is presumed.
	 */
	SCHED_LOSS_UNANSWERED = 1 << 4,
	/*
	 * A previous holder may have ordered the run on an upstream that ended
	 * before it answered this holder. Alone, the row stands for such a run,
	 * whose number is unknown.
	 */
	SCHED_LOSS_INHERITED = 1 << 5,
} sched_loss_flag_t;

typedef struct {
	int64_t run;
	uint32_t flags; /* of sched_loss_flag_t */
	uint32_t upstream; /* hash of its id; 0: not SCHED_LOSS_PENDING */
	/* As in sched_task_t; 0: unknown, as the row isn't this holder's. */
	int32_t starts_unrefused;
} sched_loss_t;

/* A start that a previous holder has recorded, and may have sent. */
typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	uint32_t upstream; /* as in sched_loss_t */
} sched_inherited_start_t;

/* A run that was lost although its upstream may still be up. */
typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	uint32_t crash_flags; /* of its loss, if the upstream has crashed */
} sched_unclear_loss_t;

typedef struct {
	sched_loss_t *rows; /* NULL: none */
	int32_t count;
} sched_losses_t;

typedef struct {
	sched_step_t *step;
	int32_t index;
	wwh_chart_machine_t machine;
	int64_t run; /* the highest that was ordered or listed */
	sched_upstream_t *upstream; /* set while a run is outstanding */
	/* Where it failed last. It may be deleted by now: compare only. */
	sched_upstream_t *avoided_upstream;
	char *checkpoint; /* NULL: none */
	sched_failures_t failures;
	sched_losses_t losses;
	int64_t pending_run; /* with a pending row in losses; 0: none */
	int64_t pending_since_ms; /* when that row was added */
	bool isolated; /* while true, its upstream gets no other start */
	int64_t changed_ms; /* when its state changed last */
	int64_t retry_ms; /* not placed before this */
	int64_t isolation_failed_ms; /* when no upstream was found; 0: never */
	int64_t stop_sent_ms; /* 0: no stop was ordered */
	int64_t stop_confirmed_ms; /* 0: not confirmed */
	int32_t orders_sent; /* the same start or stop, with repetitions */
	int32_t orders_in_flight; /* those of them without an answer */
	int32_t starts_out; /* of its run, with calls that haven't ended */
	int32_t starts_unrefused; /* of its run; any of them may have begun it */
	/* Its upstream has started again meanwhile: they may arrive there yet. */
	bool awaits_starts;
	bool inherited; /* may run at an upstream that hasn't answered yet */
	/*
	 * Adopted: an upstream that hasn't answered may list failures of earlier
	 * runs, or run it, as the previous holder has taken this run for lost.
	 */
	bool awaits_pool;
	bool percent_is_known; /* of the run's begin, or listed before */
	int32_t percent; /* as listed last */
	int64_t percent_ms; /* when percent changed last */
	int64_t one_percent_ms; /* what one percent of the run took; 0: unknown */
	int64_t ordered_ms; /* when the start of the run was ordered */
	int64_t accepted_ms; /* when its start was confirmed; 0: it isn't */
	int64_t first_listed_remote_ms; /* by the upstream's clock; 0: never */
	/* The run has certainly been running for this long. */
	int64_t min_age_ms;
	int64_t unavailable_since_ms; /* of a lasting task; 0: available */
	int32_t consecutive_failures; /* lasting: 0 again once long available */
	int32_t hangs; /* runs that were stopped for standing still */
	int64_t adopted_ms; /* 0: this holder started it */
	int64_t tail_ms; /* as listed last */
	int32_t pace; /* in percent; confirmed by the upstream */
	int32_t pace_wanted; /* as ordered last */
	int64_t pace_sent_ms;
	/* The listing from which the speed of the run is measured. */
	int64_t speed_remote_ms; /* by the upstream's clock; 0: none */
	int32_t speed_percent;
	bool from_checkpoint; /* the run was started from a checkpoint */
	int64_t held_since_ms; /* kept off a slow upstream; 0: it isn't */
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
	int32_t outstanding;
	int64_t gang_run;
	sched_failures_t gang_failures;
	int32_t losses; /* rows of all its tasks */
	int32_t alone_losses; /* those with SCHED_LOSS_ALONE */
	GHashTable *tickets; /* upstream id to sched_ticket_t; NULL: none yet */
	GHashTable *advice_requested; /* set of upstream ids */
	bool advice_in_flight;
	int64_t next_advice_ms;
};

struct sched_occurrence {
	sched_job_t *job;
	int64_t number;
	int64_t due_wall_ms;
	int64_t due_ms; /* due_wall_ms on the monotonic clock */
	sched_step_t *steps;
	int32_t steps_done;
	bool due; /* its time has come once, also if the clock was set back since */
};

/* What the record of a job's progress says of tasks that aren't done. */
typedef enum {
	SCHED_DETAIL_ALL = 0,
	SCHED_DETAIL_CRASHES, /* no losses of tasks without a crash */
	SCHED_DETAIL_FAILURES, /* no losses */
	SCHED_DETAIL_DONE, /* nothing */
	SCHED_DETAIL_COUNT
} sched_detail_t;

/* Occurrences of a job, from first to before end. */
typedef struct {
	int64_t first;
	int64_t end;
} sched_span_t;

struct sched_job {
	char id[WWH_JOB_ID_CHARS + 1];
	wwh_job_t *spec; /* NULL once ended with no run outstanding */
	char *workspace; /* NULL: none */
	sched_pool_t *pool;
	/* WWH_PROGRESS_QUEUED until the job ends, also after it has started */
	wwh_job_progress_t state;
	bool inherited; /* a previous holder accepted it */
	bool tombstone; /* cancelled before any submission of it was known */
	bool started;
	bool dirty; /* its progress must be written */
	int64_t record_number; /* of the record of its acceptance */
	int64_t end_record_number; /* INT64_MAX: its end isn't written yet */
	int64_t progress_number; /* of the newest record of its progress */
	int64_t ended_ms;
	int64_t accepted_ms;
	int64_t critical_path_ms; /* of its estimates */
	int64_t objective_ms; /* from due to the end, as callers expect */
	int64_t first_start_ms; /* by this holder; 0: none */
	/* As of the job's acceptance, since then; -1: unknown. */
	int64_t expected_start_ms;
	int64_t expected_end_ms;
	/* Those opened by ascending number, owned; NULL with spec. */
	GPtrArray *occurrences;
	int64_t next_occurrence; /* after all that are opened or in unopened */
	GArray *unopened; /* sched_span_t, ascending; NULL with spec */
	int64_t occurrences_done;
	int64_t completed_end; /* after all that are completed */
	int64_t occurrence_tasks; /* of one occurrence */
	int64_t record_max_bytes; /* of its progress */
	sched_detail_t record_detail; /* of its newest record */
	int32_t outstanding;
	int32_t isolated_runs; /* tasks with isolated set */
};

struct sched_upstream {
	wwh_upstream_info_t info;
	sched_pool_t *pool;
	bool listed; /* it is announced */
	bool unreadable; /* its latest announcement can't be read */
	bool settled; /* it has answered this holder */
	/* Announced and settled when the last list of hosts was requested. */
	bool expected_in_host_list;
	bool inherited; /* a previous holder may have started tasks on it */
	/* Inherited: it refuses orders of the previous holder, or has ended. */
	bool is_fenced;
	bool cordoned; /* it is being drained */
	bool ending; /* its host may be taken down at any moment */
	const char *termination_reason; /* NULL: it hasn't terminated */
	wwh_termination_t termination; /* valid with termination_reason */
	int32_t isolated_runs; /* tasks on it with isolated set */
	GArray *unclear_losses; /* sched_unclear_loss_t */
	int64_t terminated_ms;
	bool record_written;
	int64_t record_number; /* of its record; valid with record_written */
	int64_t without_host_ms; /* missing from host lists since; 0: it isn't */
	/* Inherited, without an answer: its lease has certainly lapsed then. */
	int64_t inherited_lease_end_ms;
	/* From its record. No holder requests a longer lease. */
	int64_t recorded_lease_ms;
	/* The longest that previous holders may have requested; 0: none. */
	int64_t inherited_lease_until_remote_ms;
	bool poll_in_flight;
	bool measures_speed; /* by the last answer */
	int64_t next_poll_ms;
	int64_t idle_gap_ms; /* from an answer to the next poll; 0: usual */
	int64_t answered_ms; /* its last answer to a poll */
	/* When that poll was sent: it had obeyed no later holder by then. */
	int64_t witnessed_ms;
	int32_t failed_polls; /* since its last answer */
	wwh_reach_t reach; /* at the last poll, or by a later order */
	/* Its last answer by our clock, and its own clock then; 0: unknown. */
	int64_t clock_base_ms;
	int64_t clock_base_remote_ms;
	int64_t clock_base_sent_ms; /* when the poll of that answer was sent */
	int64_t born_ms; /* of its incarnation, as last reported; 0: unknown */
	int64_t born_learned_ms; /* when an answer first reported born_ms */
	int64_t lease_until_remote_ms; /* the latest that was ever sent */
	int64_t extended_ms; /* when this was last extended; 0: never */
	int64_t lease_end_ms; /* it has certainly lapsed then; 0: no lease */
	bool lease_end_handled;
	int64_t ends_received; /* highest end number received */
	int64_t last_progress_end; /* the last that changes a job's progress */
	int64_t ends_acked; /* highest whose effect is durable in the store */
	int64_t ends_flushed; /* covered by ends_flushed_record */
	int64_t ends_flushed_record;
	GPtrArray *tasks; /* sched_task_t whose runs there are outstanding */
	int32_t orphans; /* listed runs that match no outstanding task */
	GHashTable *orphan_stops; /* task name to the time of the last stop */
	wwh_load_t used;
	int64_t reserved_until_ms; /* for an isolated start */
	/* The reservation is for a recorded start of it. Compare only. */
	const sched_job_t *reserved_job; /* NULL: for any job */
	int64_t next_pace_ms;
	wwh_failure_streak_t failures;
	int64_t backoff_until_ms; /* for other reasons than failures */
	wwh_speed_peer_t *speed; /* NULL: not observed yet */
	/* Its clock minus ours, of the last answer and as estimated; 0: none. */
	int64_t last_offset_ms;
	int64_t clock_offset_ms;
	int64_t end_spread_ms; /* ends in the answer may be earlier by this */
	guint run_index; /* its row in the scheduler's run_order and wake_ms */
	bool record_rejected; /* for good: it gets no starts */
	bool awaits_ack; /* it is in the scheduler's awaiting_ack */
};

/* A job with a record that can't be read. */
typedef struct {
	bool accepted; /* the record of its acceptance exists: not ended */
	int64_t since_ms;
} sched_unreadable_job_t;

struct sched_pool {
	char *name;
	GPtrArray *upstreams; /* not owned */
	GPtrArray *live; /* those of the scheduler's live jobs that are in it */
	int64_t taken_over_ms;
	/* From taken_over_ms until the last inherited lease has lapsed. */
	int64_t max_inherited_wait_ms;
	/* Upper bounds of the free load, each field over all upstreams. */
	wwh_load_t max_free;
	/*
	 * Of the usable upstreams, less what has been placed or accepted since
	 * it was measured; may be negative.
	 */
	wwh_load_t total_free;
	wwh_load_t usable_size; /* of the same upstreams */
	wwh_load_t waiting_load; /* of waiting_tasks */
	wwh_load_t undurable_load; /* of jobs that it couldn't start yet */
	sched_room_t *room;
	wwh_workspace_share_t *shares;
	int64_t next_try_ms;
	/* For how long a suspect task that found no upstream isn't tried again. */
	int64_t isolation_gap_ms;
	/* Since when suspect tasks wait for others to find room; 0: they don't. */
	int64_t suspects_held_ms;
	/* When an upstream last crashed without a young run; 0: never. */
	int64_t unprovoked_crash_ms;
	/* Of the current pass: processor that tasks before this one wait for. */
	int64_t waiting_millicores;
	/* Of the current pass: that of runs on upstreams not slow; -1: unknown. */
	int64_t normal_busy_millicores;
	int32_t unsettled; /* inherited upstreams that haven't answered */
	/* Ready tasks that the last pass hasn't started. */
	int32_t waiting_tasks;
	int32_t unstarted_tasks; /* of its jobs, also of steps not ready yet */
	bool standby;
	bool most_avoided; /* of its upstreams, as they fail tasks */
	bool dirty; /* a task may have become placeable */
	/* The last pass deferred starts, or a job came while they were held. */
	bool has_deferred_starts;
	/* An inherited upstream ended before it answered this holder. */
	bool has_lost_inherited;
};

struct wwh_scheduler {
	wwh_scheduler_options_t options;
	wwh_scheduler_callbacks_t callbacks;
	wwh_chart_t *task_chart;
	uint32_t outstanding_tag;
	GHashTable *jobs; /* id to sched_job_t, owned */
	GHashTable *lost_jobs; /* id to sched_unreadable_job_t, owned */
	GPtrArray *live; /* sched_job_t not ended or with runs outstanding */
	GPtrArray *dirty; /* sched_job_t whose progress must be written */
	GHashTable *pools; /* name to sched_pool_t, owned */
	GHashTable *upstreams; /* id to sched_upstream_t, owned */
	GHashTable *endpoints; /* to GPtrArray of sched_upstream_t there */
	int64_t taken_over_ms;
	GArray *inherited_starts; /* sched_inherited_start_t, not resolved */
	int32_t inherited_upstreams; /* their number at taken_over_ms */
	int32_t fenced_upstreams; /* inherited ones with is_fenced set */
	int32_t tombstones; /* jobs with tombstone set */
	int32_t idle_upstreams; /* as counted last; spaces the polls at them */
	/* When an upstream with tasks was last found without its address. */
	int64_t doubted_ms;
	GPtrArray *run_order; /* of all sched_upstream_t */
	/* When each of them needs a pass again, in the same order. */
	GArray *wake_ms;
	GPtrArray *draining; /* this pass's cordoned and leaving upstreams */
	/* sched_upstream_t with ends that aren't acknowledged */
	GPtrArray *awaiting_ack;
	int32_t unanswered_starts; /* tasks in TASK_STARTING */
	int32_t orphans; /* sum over all upstreams */
	int64_t largest_host; /* of all upstreams, in millicores */
	bool largest_host_known; /* false: an upstream has changed since */
	bool restored;
	bool starts_held;
	bool has_authority; /* this holder may start tasks and extend leases */
	bool awaits_confirmation; /* a lapse counts once the claim is confirmed */
	/* The claim wasn't confirmed for some time, so polls show who may act. */
	bool polls_tell;
	bool announcements_held; /* what is known of the upstreams is too old */
	bool has_unflushed_ends; /* a received end isn't flushed yet */
	/* Of one pool, in the current pass. */
	bool isolations_counted;
	bool has_room_shortage; /* a step before this one waits for room */
	bool suspects_held; /* a suspect task waits for it */
	bool keeps_shares; /* starts stay within the shares of workspaces */
	bool has_skipped_shares; /* and some were left out for that */
	int32_t starts_left;
	int32_t isolations_left; /* valid with isolations_counted */
	int32_t failed_isolations_left;
	wwh_workspace_quota_t *quota;
	GHashTable *weights; /* workspace to int64_t, owned */
	/* Name of a queue to its class_permille, as in wwh_task_progress_t. */
	GHashTable *progress_classes;
	int64_t now_ms;
	int64_t wall_ms;
	int64_t newest_record;
	int64_t durable_record;
	int64_t durable_ms; /* when durable_record last increased */
	int64_t confirmed_ms; /* no other holder had claimed the shard by then */
	int64_t extended_ms; /* when a lease was last extended; 0: never */
	/* scheduler_authority.c */
	int64_t authority_ms; /* no other holder could act by then */
	int64_t majority_ms; /* the same, as most upstreams have shown; 0: never */
	int64_t next_authority_review_ms;
	int64_t previous_until_ms; /* the previous holder may act until then */
	GArray *removals; /* numbers of removed upstream records, not durable */
	int64_t next_expiry_ms;
	int64_t crashed_upstreams; /* that had tasks */
	int64_t isolated_starts;
	int64_t tasks_given_up;
	int64_t repeated_orders;
	wwh_upstream_speed_t *speed;
	int64_t next_speed_review_ms;
	int32_t slow_upstreams; /* now */
	int64_t marked_slow;
	int64_t healthy_again;
	int64_t tasks_held; /* kept off slow upstreams */
	wwh_answer_time_t order_time; /* of starts and stops */
	int32_t repeat_credit; /* an order adds one, a repetition takes some */
};

/* The name of the pool that holds inherited upstreams of unknown pools. */
#define SCHED_POOL_UNKNOWN ""

/*
 * scheduler_authority.c: whether this holder may still act, and the previous one
 *
 * LOAD
 *	A partition that leaves an overtaken holder a part of the upstreams, while
 *	neither the store nor another process can tell it; a store that is away for
 *	all while thousands of upstreams run tasks.
 */
void sched_authority_begin(wwh_scheduler_t *scheduler);
/* Called at the beginning of each pass. */
void sched_authority_update(wwh_scheduler_t *scheduler);
/* Whether a lease that ended at lease_end_ms was surely not extended by others. */
bool sched_lapse_counts(wwh_scheduler_t *scheduler, int64_t lease_end_ms);
/* Called when an inherited upstream has answered this holder or has ended. */
void sched_authority_note_fenced(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream);
/*
 * Whether upstream has started, for the first time or again, before the claim was
 * last confirmed. Otherwise another holder may have claimed since, and upstream has
 * forgotten it.
 */
bool sched_start_is_confirmed(const wwh_scheduler_t *scheduler,
			      const sched_upstream_t *upstream);
/* Whether no other holder can have started tasks on upstream. */
bool sched_authority_covers(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);
/* Whether most inherited upstreams refuse the previous holder's orders by now. */
bool sched_previous_is_fenced(const wwh_scheduler_t *scheduler);
/* The removal of an upstream's record was written as record. */
void sched_authority_note_removal(wwh_scheduler_t *scheduler, int64_t record);

/* scheduler_lost.c: handles records that can't be read */
void sched_job_mark_unreadable(wwh_scheduler_t *scheduler, const char *id,
			       bool accepted);
void sched_job_clear_unreadable(wwh_scheduler_t *scheduler, const char *id);
bool sched_task_has_unreadable_job(const wwh_scheduler_t *scheduler,
				   const char *name);
void sched_unreadable_jobs_expire(wwh_scheduler_t *scheduler);
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
/* Assigns a waiting task to upstream and sends the start order. */
void sched_task_start(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run,
		      const char *ticket);
/* Adopts a task that a previous holder started at upstream. */
void sched_task_adopt(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run);
/*
 * Applies an event of charts/task.json. The task's load at the upstream is
 * released when its state loses the tag "out".
 */
void sched_task_event(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_task_event_t event);
void sched_task_order_stop(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Sends the order for the task's current run, for the first time or again. */
void sched_task_send_start(wwh_scheduler_t *scheduler, sched_task_t *task,
			   const char *ticket);
void sched_task_send_stop(wwh_scheduler_t *scheduler, sched_task_t *task);
void sched_task_set_checkpoint(sched_task_t *task, const char *checkpoint);
/* The lease that this holder requests and writes into records of upstreams. */
int64_t sched_lease_requested_ms(const wwh_scheduler_t *scheduler);
/* How long after a takeover a lease from a previous holder may still last. */
int64_t sched_lease_max_remaining_ms(int64_t lease_ms);
/* Called at the first answer of an inherited upstream. */
void sched_lease_inherit(sched_upstream_t *upstream, int64_t remote_ms);
/*
 * Extends upstream's lease and returns its end by the upstream's clock; 0: that
 * clock isn't known yet.
 */
int64_t sched_lease_extend(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream);
/* Assumes the longest lease that the upstream may have granted by remote_ms. */
void sched_lease_assume_longest(const wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream, int64_t remote_ms);
/* Called when a newer reading of upstream's clock has arrived. */
void sched_lease_recompute(sched_upstream_t *upstream);
/* Logs what is known as upstream's lease counts as lapsed. */
void sched_lease_explain_lapse(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream);
/* Until what runs there has surely ended without further polls; 0: it has. */
int64_t sched_lease_left_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);
/* When it surely has ended; 0: it has none. */
int64_t sched_lease_end_ms(const sched_upstream_t *upstream);
void sched_explain(const wwh_scheduler_t *scheduler, const char *event,
		   const char *subject, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* scheduler_incarnation.c: an upstream that starts again under its id */
/*
 * Compares the incarnation that answered a poll sent at sent_ms with the one that
 * is known, and begins a new one if the upstream has started again. Returns false
 * if the answer may be of an earlier one and must not be applied.
 */
bool sched_incarnation_check(wwh_scheduler_t *scheduler,
			     sched_upstream_t *upstream,
			     const wwh_poll_answer_t *answer, int64_t sent_ms);
/*
 * Takes over the clock of an answer. A clock that has jumped by more than half
 * a lease moves no lease: the longest one is assumed.
 */
void sched_clock_read(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      int64_t remote_ms, int64_t sent_ms);

/* scheduler_progress.c: runs that stand still */
/* Called when a run begins; adopted: at a percent that isn't known. */
void sched_progress_begin(const wwh_scheduler_t *scheduler, sched_task_t *task,
			  bool adopted);
/* Called when an answer lists the run at percent. */
void sched_progress_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
			   int32_t percent);
/* Whether the run, which reported no other percent since since_ms, hangs. */
bool sched_progress_hangs(const wwh_scheduler_t *scheduler,
			  const sched_task_t *task, int64_t since_ms);

/* scheduler_age.c: for how long runs have certainly been running */
/* Called when the start of task's current run is ordered. */
void sched_run_begin(const wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when upstream has confirmed the start. */
void sched_run_accepted(const wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when an answer to a poll sent at sent_ms lists the run. */
void sched_run_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
		      int64_t sent_ms);
/* Whether the run may still be about to crash its upstream. */
bool sched_run_is_young(const sched_task_t *task);
bool sched_run_is_mature(const sched_task_t *task);

/* scheduler_loss.c: attributes crashes of upstreams to tasks */
/*
 * Attributes the end of upstream to the runs on it, before they are lost. A task
 * that has crashed too many upstreams is to be given up afterwards.
 */
void sched_losses_attribute(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream,
			    wwh_termination_t termination, const char *why);
/*
 * Counts the runs that were lost on upstream before it was known to have crashed
 * as lost in that crash.
 */
void sched_losses_confirm_crash(wwh_scheduler_t *scheduler,
				const sched_upstream_t *upstream);
/* Ends task's job if task has crashed too many upstreams and doesn't last. */
void sched_losses_give_up(wwh_scheduler_t *scheduler, const sched_task_t *task);
/* Whether a lasting task waits, as it may have crashed too many upstreams. */
bool sched_losses_delay_start(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task);
/* Appends a row, or replaces that of the same run. */
void sched_losses_add(sched_task_t *task, int64_t run, uint32_t flags);
/*
 * Appends the row of a start that is about to be ordered on upstream, or on any
 * one if that is NULL.
 */
void sched_losses_add_pending(sched_task_t *task, int64_t run,
			      const sched_upstream_t *upstream);
void sched_losses_remove(sched_task_t *task, int64_t run);
/*
 * Removes the row of a run that hasn't crashed its upstream, unless it stands for the
 * recorded start of task's current run.
 */
void sched_losses_absolve(wwh_scheduler_t *scheduler, sched_task_t *task,
			  int64_t run);
/*
 * A start of run was refused after the run was counted as lost. If all its starts
 * were, it has never begun and caused no loss.
 */
void sched_losses_start_refused(wwh_scheduler_t *scheduler, const char *name,
				int64_t run);
const sched_loss_t *sched_losses_find(const sched_losses_t *losses,
				      int64_t run);
void sched_losses_clear(sched_task_t *task);
/*
 * Whether task has certainly crashed an upstream, or may have under a previous
 * holder. Each further start of it is recorded in advance.
 */
bool sched_task_needs_recorded_starts(const sched_task_t *task);
/* Whether task may be one that crashes its upstreams. */
bool sched_task_is_suspect(const sched_task_t *task);
/* Whether task has so many losses that it stays isolated for longer. */
bool sched_task_is_repeat_suspect(const sched_task_t *task);

/*
 * scheduler_inherited_start.c: learns what became of starts of a previous holder
 */
uint32_t sched_upstream_hash(const sched_upstream_t *upstream);
/* Called when all records are restored. */
void sched_inherited_starts_collect(wwh_scheduler_t *scheduler);
/*
 * Resolves the inherited starts on upstream. If it crashed, they may have caused
 * that. Otherwise those that it doesn't run never began, or are over.
 */
void sched_inherited_starts_resolve(wwh_scheduler_t *scheduler,
				    const sched_upstream_t *upstream,
				    bool crashed);

/*
 * Called before the record of inherited, which ended before it answered this
 * holder, is deleted.
 */
void sched_inherited_runs_lost(wwh_scheduler_t *scheduler,
			       const sched_upstream_t *inherited);
/* Called when a run of a previous holder was found, which wasn't lost then. */
void sched_inherited_run_found(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when all inherited upstreams of task's pool have answered or ended. */
void sched_inherited_task_settled(wwh_scheduler_t *scheduler,
				  sched_task_t *task);

/* scheduler_isolation.c: starts suspect tasks, each alone on its upstream */
/*
 * Records the start of a task on upstream in advance, so that a new holder counts
 * it. An upstream of NULL stands for any one. Returns whether the start may be
 * sent: the record is durable, or the store seems to be down.
 */
bool sched_isolation_record(wwh_scheduler_t *scheduler, sched_task_t *task,
			    sched_upstream_t *upstream, int64_t run);
/* Withdraws such a record of a start that wasn't sent. */
void sched_isolation_withdraw(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when a run of task was ordered, or was found by a new holder. */
void sched_isolation_begin(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when the outstanding run of task is over. */
void sched_isolation_end(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Ends the isolation of runs on upstream that have proven harmless. */
void sched_isolation_update(sched_upstream_t *upstream);
/* Whether upstream takes a start of task now, as far as isolation goes. */
bool sched_isolation_allows(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream,
			    const sched_task_t *task);
/* Called before each pass over a pool. */
void sched_isolation_begin_pass(wwh_scheduler_t *scheduler);
void sched_isolation_end_pass(const wwh_scheduler_t *scheduler,
			      sched_pool_t *pool);
/* Whether an upstream may be isolated for task in this pass. */
bool sched_isolation_is_due(wwh_scheduler_t *scheduler,
			    const sched_task_t *task);
/*
 * The cost of isolating upstream for a suspect task, above all other costs.
 * Returns 0 if it is isolated already.
 */
int64_t sched_isolation_cost(const sched_upstream_t *upstream);
/* Keeps an upstream of the pool free of new starts, for a start of task. */
void sched_isolation_reserve(wwh_scheduler_t *scheduler, sched_task_t *task);

/* scheduler_quota.c: whether the step's workspace may start count more tasks */
bool sched_quota_allows(wwh_scheduler_t *scheduler, const sched_step_t *step,
			int32_t count);

/* scheduler_share.c: divides a full pool among workspaces by weight */
/* Adds the tasks of step that could start to what waits in its pool. */
void sched_shares_add_waiting(const wwh_scheduler_t *scheduler,
			      const sched_step_t *step);
/* Whether count more tasks of step stay within the share of its workspace. */
bool sched_shares_allow(wwh_scheduler_t *scheduler, const sched_step_t *step,
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
/*
 * Like sched_job_task, for a task that an upstream lists: opens its occurrence, if
 * a previous holder may have done so.
 */
sched_task_t *sched_job_listed_task(wwh_scheduler_t *scheduler,
				    const char *name);
void sched_job_mark_dirty(wwh_scheduler_t *scheduler, sched_job_t *job);
void sched_job_end(wwh_scheduler_t *scheduler, sched_job_t *job,
		   wwh_job_progress_t state);
bool sched_step_is_ready(const sched_step_t *step);
/* The load that a task reserves on its host. Fillers reserve no processor. */
wwh_load_t sched_step_reserved_load(const wwh_job_step_t *spec);
void sched_step_task_done(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Returns false if that run was counted before. */
bool sched_failures_add(sched_failures_t *failures, int64_t run);
void sched_step_task_failed(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int64_t run);
void sched_jobs_expire(wwh_scheduler_t *scheduler);
/*
 * scheduler_tombstone.c: jobs that were cancelled before they were known
 *
 * LOAD
 *	Callers that give up, and whose submissions lie in processes that stand still.
 */
/* Called when it is submitted. Returns the record after which that is durable. */
int64_t sched_tombstone_show(wwh_scheduler_t *scheduler, sched_job_t *job);
/* Called when a job is forgotten, or restored. */
void sched_tombstone_count(wwh_scheduler_t *scheduler, const sched_job_t *job,
			   int32_t amount);

/* Removes the job from the live jobs, and keeps it otherwise. */
void sched_job_remove_live(wwh_scheduler_t *scheduler, sched_job_t *job);
int64_t sched_objective_ms(const wwh_job_t *spec);
/* The sum of estimates along the critical path of the steps. */
int64_t sched_critical_path_ms(const wwh_job_t *spec);

int64_t sched_job_occurrence_total(const sched_job_t *job);

/*
 * scheduler_occurrence.c: which occurrences of a job are open
 *
 * LOAD
 *	Jobs of which thousands of times are due. The number that is open, in memory
 *	and in the job's record, is bounded.
 */
sched_occurrence_t *sched_occurrence_open(wwh_scheduler_t *scheduler,
					  sched_job_t *job, int64_t number);
void sched_occurrences_open_due(wwh_scheduler_t *scheduler, sched_job_t *job);
/* Opens the occurrence of a listed task, if a previous holder may have done so. */
void sched_occurrence_open_listed(wwh_scheduler_t *scheduler, sched_job_t *job,
				  int64_t number);
/* Returns NULL if it isn't open. */
sched_occurrence_t *sched_occurrence_find(const sched_job_t *job,
					  int64_t number);
bool sched_occurrence_is_completed(const sched_occurrence_t *occurrence);
/* Sets due once the occurrence is due by this holder's clock. */
void sched_occurrence_update_due(const wwh_scheduler_t *scheduler,
				 sched_occurrence_t *occurrence);
/* The critical path of the remaining estimates. */
int64_t sched_occurrence_remaining_ms(const sched_occurrence_t *occurrence);
void sched_occurrence_delete(gpointer occurrence);

/* scheduler_unopened.c: occurrences that were passed over, to be opened later */
/* From after those that are in it already. Returns false if there is no room. */
bool sched_unopened_append(sched_job_t *job, int64_t first, int64_t end);
/* Returns false if number isn't one of them, or can't be taken out now. */
bool sched_unopened_remove(sched_job_t *job, int64_t number);
bool sched_unopened_contains(const sched_job_t *job, int64_t number);
/* Returns -1 if there is none. */
int64_t sched_unopened_first(const sched_job_t *job);
int64_t sched_unopened_count(const sched_job_t *job);

/* scheduler_progress_size.c: bytes of an occurrence in the record of its job */
/* Without failures and losses. */
int64_t sched_occurrence_least_bytes(const wwh_job_t *spec);
/* As often as its tasks may fail, without losses. */
int64_t sched_occurrence_most_bytes(const wwh_job_t *spec);

/* scheduler_backlog.c: work that waits for the holder, not for resources */
/* Counts the inherited upstreams of all pools that haven't answered yet. */
int32_t sched_count_unsettled(const wwh_scheduler_t *scheduler);
/* Counts the tasks of a new job as unstarted until the next pass recounts. */
void sched_backlog_add_job(const wwh_scheduler_t *scheduler, sched_job_t *job);

/* scheduler_room.c: the room that a pool has for new jobs */
sched_room_t *sched_room_new(void);
void sched_room_delete(sched_room_t *room);
/* Count what a pass finds ready, starts, and can't start yet. */
void sched_room_count_ready(sched_pool_t *pool, const sched_step_t *step);
void sched_room_count_start(sched_pool_t *pool, const sched_step_t *step,
			    int32_t count);
void sched_room_count_undurable(sched_pool_t *pool, const sched_job_t *job);
void sched_room_end_pass(sched_pool_t *pool);
void sched_room_add_job(wwh_scheduler_t *scheduler, sched_job_t *job);
/* Called at each start of a task of the job. */
void sched_room_job_started(const wwh_scheduler_t *scheduler, sched_job_t *job);
/* Called when a job has been completed. */
void sched_room_job_done(const wwh_scheduler_t *scheduler,
			 const sched_job_t *job);
/* Adds the demand of jobs that were rejected a moment ago. */
void sched_room_add_demand(const wwh_scheduler_t *scheduler,
			   const sched_pool_t *pool, wwh_pool_demand_t *demand);

/* scheduler_record.c */
/* Writes the progress of one job that isn't dirty. */
void sched_progress_write_job(wwh_scheduler_t *scheduler, sched_job_t *job);
/* Writes the progress of all jobs whose progress changed since the last call. */
void sched_progress_write(wwh_scheduler_t *scheduler);
/* At most job->record_max_bytes, unless the least that is needed has more. */
GBytes *sched_progress_encode(sched_job_t *job, int64_t wall_ms);
bool sched_progress_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message);
GBytes *sched_upstream_encode(const sched_upstream_t *upstream);
bool sched_upstream_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message);

/*
 * scheduler_index.c: which upstreams a pass examines, and the upstreams at an endpoint
 *
 * LOAD
 *	Thousands of upstreams, of which a pass concerns a few.
 */
void sched_run_order_add(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);
void sched_run_order_remove(wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);
/* The next pass runs it, whatever it waits for. */
void sched_upstream_wake(wwh_scheduler_t *scheduler,
			 const sched_upstream_t *upstream);
/* Like sched_upstream_find, for a caller that changes it. */
sched_upstream_t *sched_upstream_find_and_wake(wwh_scheduler_t *scheduler,
					       const char *id);
/* To be called before and after a change of its endpoint. */
void sched_endpoint_remove(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream);
void sched_endpoint_add(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);

/* scheduler_upstream.c */
sched_pool_t *sched_pool_get(wwh_scheduler_t *scheduler, const char *name);
void sched_pool_delete(gpointer pool);
/* Called when one inherited upstream of the pool has answered or terminated. */
void sched_pool_settle_one(wwh_scheduler_t *scheduler, sched_pool_t *pool);
sched_upstream_t *sched_upstream_find(const wwh_scheduler_t *scheduler,
				      const char *id);
sched_upstream_t *sched_upstream_add(wwh_scheduler_t *scheduler,
				     const wwh_upstream_info_t *info);
/* Called when nothing that upstream listed runs there any more. */
void sched_upstream_forget_orphans(wwh_scheduler_t *scheduler,
				   sched_upstream_t *upstream);
/* Whether an upstream may still run task, by an order that isn't wanted any more. */
bool sched_task_is_orphaned(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task);
/* It has reported an end that isn't acknowledged yet. */
void sched_upstream_await_ack(wwh_scheduler_t *scheduler,
			      sched_upstream_t *upstream);
void sched_upstream_delete(gpointer upstream);
void sched_upstream_note_reach(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream, wwh_reach_t reach);
/* -1: it has never answered this holder. */
int64_t sched_upstream_last_answer_ms_ago(const wwh_scheduler_t *scheduler,
					  const sched_upstream_t *upstream);
void sched_upstream_remove(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream,
			   wwh_termination_t termination, const char *why);
/* Its ends count anew; those of before can't be acknowledged any more. */
void sched_upstream_reset_ends(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream);
/* Is called before the first start, so that a new holder polls the upstream. */
void sched_upstream_write_record(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream);
void sched_upstreams_flushed(wwh_scheduler_t *scheduler);
void sched_upstreams_durable(wwh_scheduler_t *scheduler);
/* Ends that aren't acknowledged yet wait for the newest record. */
void sched_upstreams_defer_acks(wwh_scheduler_t *scheduler);
/* Marks the outstanding runs at upstream as lost: they have certainly ended. */
void sched_upstream_lose_tasks(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream,
			       wwh_termination_t termination, const char *why);
bool sched_upstream_usable(const wwh_scheduler_t *scheduler,
			   const sched_upstream_t *upstream);
/* worked: the failed run had been at work for long. */
void sched_upstream_failed(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream, bool worked);
/* Called before each pass over a pool. */
void sched_pool_count_avoided(const wwh_scheduler_t *scheduler,
			      sched_pool_t *pool);
void sched_upstream_back_off(wwh_scheduler_t *scheduler,
			     sched_upstream_t *upstream, int64_t wait_ms);

/*
 * Removes the upstream if its end is known, and loses its tasks if its lease has
 * lapsed. Returns whether it was removed, or is about to be.
 */
bool sched_upstream_end_if_over(wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream);
bool sched_upstream_awaits_final_report(const wwh_scheduler_t *scheduler,
					const sched_upstream_t *upstream);

/* scheduler_poll.c: times of polls and their limits */
int64_t sched_poll_gap_ms(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream);
/* Whether upstream answers polls and runs no task. */
bool sched_upstream_is_idle(const sched_upstream_t *upstream);
/* The gap between polls at one of many idle upstreams; 0: the usual gap. */
int64_t sched_poll_idle_gap_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream);
int64_t sched_poll_retry_ms(const sched_upstream_t *upstream);
/* Polls an upstream that has answered this holder before. */
void sched_poll_if_due(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
/* Polls the upstreams that haven't answered this holder yet. */
void sched_poll_unsettled(wwh_scheduler_t *scheduler);

/* scheduler_repeat.c: repeats orders whose answers are overdue */
void sched_orders_init(wwh_scheduler_t *scheduler);
void sched_orders_repeat(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);
/* Called when a start or stop of task is sent for the first time. */
void sched_order_sent(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Called when the first answer to an order of sent_ms has come. */
void sched_order_answered(wwh_scheduler_t *scheduler, const sched_task_t *task,
			  int64_t sent_ms);

/* scheduler_watch.c: processes answers to polls and lapsed leases */
void sched_upstreams_run(wwh_scheduler_t *scheduler);

/* scheduler_pace.c: called after each processed answer to a poll */
void sched_pace_fillers(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);

/* scheduler_advice.c: tickets of queues whose policy names upstreams */
bool sched_step_needs_advice(const sched_step_t *step);
/* Returns NULL if the step has no ticket for upstream that is valid now. */
const char *sched_ticket_find(const wwh_scheduler_t *scheduler,
			      const sched_step_t *step, const char *upstream);
void sched_ticket_discard(sched_step_t *step, const char *upstream);
void sched_advice_request(wwh_scheduler_t *scheduler, sched_step_t *step);

/* scheduler_speed.c: finds upstreams that work slower than their peers */
void sched_speed_init(wwh_scheduler_t *scheduler);
/* Called with the clock of an answer, before its lists are processed. */
void sched_speed_begin_answer(sched_upstream_t *upstream, int64_t remote_ms,
			      int64_t sent_ms);
/* Called for each run that an answer to a poll lists, and for a completed one. */
void sched_speed_run_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int32_t percent);
void sched_speed_run_done(wwh_scheduler_t *scheduler, sched_task_t *task);
void sched_speed_review(wwh_scheduler_t *scheduler);
/* Called when upstream is gone. */
void sched_speed_forget(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
bool sched_upstream_is_slow(const sched_upstream_t *upstream);
/* How many times as long tasks take there, in thousandths. */
int64_t sched_upstream_slowdown_permille(const sched_upstream_t *upstream);
/* Called before each pass over a pool. */
void sched_speed_begin_pass(sched_pool_t *pool);
/* Called when a pass leaves tasks of step waiting for room. */
void sched_speed_left_waiting(sched_step_t *step);
/* Whether task should wait for another upstream although slow has room. */
bool sched_speed_holds_back(wwh_scheduler_t *scheduler, sched_task_t *task,
			    sched_upstream_t *slow);

/* scheduler_place.c: starts the waiting tasks of pools that are due */
void sched_place(wwh_scheduler_t *scheduler);
/* The number of the next run of a task whose highest run so far is run. */
int64_t sched_next_run(const wwh_scheduler_t *scheduler, int64_t run);

/* scheduler_choose.c: chooses the upstream of a task */
/*
 * Returns the upstream with the lowest cost, NULL if the task fits on none. Where
 * the queue needs advice, *ticket is that for the upstream.
 */
sched_upstream_t *sched_choose_upstream(wwh_scheduler_t *scheduler,
					sched_task_t *task,
					const char **ticket);
/* Whether task fits on an upstream that takes new tasks. */
bool sched_task_fits_elsewhere(wwh_scheduler_t *scheduler, sched_task_t *task);
/* Whether upstream may run one more task of step, if it has room. */
bool sched_upstream_accepts_step(const sched_upstream_t *upstream,
				 const sched_step_t *step);
wwh_load_t sched_upstream_free_load(const sched_upstream_t *upstream);

/* scheduler_cordon.c */
bool sched_upstream_may_terminate(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream);
void sched_cordon_run(wwh_scheduler_t *scheduler);

#endif
