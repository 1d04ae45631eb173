#ifndef WAXWINGHOLLOW_SCHEDULER_H
#define WAXWINGHOLLOW_SCHEDULER_H

/*
 * NAME
 *	scheduler - runs the jobs of a shard's pools on their upstreams
 *
 * USE
 *	The scheduler takes events and the current time as input and gives its
 *	orders through callbacks. It reads no clock, opens no connection and
 *	starts no thread. One process holds a shard at a time. It becomes the
 *	holder by a claim on the store (see shard_claim.h), and its token
 *	fences the previous holder at every upstream.
 *
 *	The durable state is the records that are passed to write_record: one
 *	for each accepted job, one for the progress of each job and one for
 *	each upstream that may run a task. A record counts as durable once
 *	wwh_scheduler_set_durable has reached its number. Which task runs where
 *	is not recorded: a new holder polls each upstream for it.
 *
 *	A task never runs twice at the same time, because it is started again
 *	only when its last run is known to have ended: the upstream reported
 *	the end; or, after it answered the start, listed its running tasks
 *	without this one; or confirmed a stop, after which it refuses a start
 *	that arrives late; or has terminated; or its lease has certainly
 *	lapsed.
 *
 * TIMES
 *	now_ms is a monotonic clock that also advances while the host is
 *	suspended. wall_ms is the time of day. remote_ms is the clock of an
 *	upstream.
 *
 * ORDER OF CALLS
 *	wwh_scheduler_new; wwh_scheduler_restore for each stored record and
 *	wwh_scheduler_finish_restore once; then events in any order and
 *	wwh_scheduler_run after each group of events; wwh_scheduler_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/job.h"
#include "waxwinghollow/pool_admission.h"
#include "waxwinghollow/pool_sizing.h"
#include "waxwinghollow/status.h"
#include "waxwinghollow/upstream_evidence.h"

/* The announcement of an upstream. */
typedef struct {
	char *id; /* mostly of one incarnation: see wwh_poll_answer_t */
	char *endpoint; /* IP address and port */
	char *pool;
	char *zone;
	char *rack; /* NULL: unknown */
	char **labels; /* NULL-terminated */
	wwh_load_t size;
	bool leaving; /* receives no new tasks */
	int64_t sequence; /* increases with each announcement */
} wwh_upstream_info_t;

void wwh_upstream_info_clear(wwh_upstream_info_t *info);
void wwh_upstream_info_copy(wwh_upstream_info_t *to,
			    const wwh_upstream_info_t *from);

/* A task's name on the wire and in logs: ID.OCCURRENCE.STEP.INDEX */
#define WWH_TASK_NAME_BYTES 64

typedef enum {
	WWH_END_DONE = 0,
	WWH_END_FAILED,
	WWH_END_STOPPED, /* by a stop order */
	WWH_END_LAPSED, /* its lease was not extended */
	WWH_END_BROKEN, /* another member of its gang ended */
	WWH_END_ALONE, /* the other members of its gang did not start */
	WWH_END_KIND_COUNT
} wwh_end_kind_t;

/* Names of wwh_end_kind_t, in the same order. */
extern const char *const wwh_end_kind_names[WWH_END_KIND_COUNT];

/* A running task, as an upstream lists it in its answer to a poll. */
typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	const char *checkpoint; /* "": none */
	int32_t percent; /* work done; a lasting task: 100 while available */
	int64_t tail_ms; /* tail latency of a serving task; 0: doesn't serve */
} wwh_running_task_t;

/* The end of a run, as an upstream lists it in its answer to a poll. */
typedef struct {
	int64_t number; /* counts the ends of one incarnation */
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	wwh_end_kind_t kind;
	const char *checkpoint;
} wwh_ended_task_t;

typedef struct {
	int64_t remote_ms;
	/*
	 * Unix time at which this incarnation started; 0: unknown. An upstream
	 * may start again under its id, and then knows nothing of before.
	 */
	int64_t born_ms;
	const wwh_running_task_t *running;
	int32_t running_count;
	const wwh_ended_task_t *ended;
	int32_t ended_count;
	bool ended_complete; /* false: the list of ends was truncated */
} wwh_poll_answer_t;

typedef struct {
	const char *upstream; /* id */
	const char *endpoint;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	const char *payload;
	const char *checkpoint;
	const char *ticket; /* NULL: the queue requires none */
	int64_t lease_until_remote_ms;
} wwh_start_order_t;

typedef struct {
	const char *upstream;
	const char *endpoint;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
} wwh_stop_order_t;

typedef struct {
	const char *upstream;
	const char *endpoint;
	int64_t lease_until_remote_ms; /* 0: its clock isn't known yet */
	int64_t ends_acked_upto;
	int64_t wait_ms; /* the answer comes earlier when a run ends */
	int64_t timeout_ms; /* time after wait_ms until the poll has failed */
} wwh_poll_order_t;

typedef struct {
	const char *upstream;
	const char *endpoint;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int32_t percent;
} wwh_pace_order_t;

typedef struct {
	char step[WWH_TASK_NAME_BYTES]; /* ID.OCCURRENCE.STEP */
	const char **upstreams; /* their ids */
	int32_t upstream_count;
} wwh_advice_order_t;

/* The result of a start, a stop or a pace order. */
typedef enum {
	WWH_ORDER_DONE = 0,
	WWH_ORDER_NOT_DONE, /* certainly not carried out; may be retried */
	WWH_ORDER_NO_ROOM, /* from here to BAD: refused, nothing was started */
	WWH_ORDER_OLD_RUN,
	WWH_ORDER_LATE, /* its lease had expired on arrival */
	WWH_ORDER_NO_TICKET,
	WWH_ORDER_BAD,
	WWH_ORDER_FENCED, /* another holder has a higher token */
	WWH_ORDER_OTHER_INCARNATION, /* another one answers at the address */
	WWH_ORDER_UNKNOWN, /* may take effect, even seconds later */
	WWH_ORDER_RESULT_COUNT
} wwh_order_result_t;

/* Names of wwh_order_result_t, in the same order. */
extern const char *const wwh_order_result_names[WWH_ORDER_RESULT_COUNT];

/*
 * How long an overtaken holder may continue to give orders. A holder stops once
 * neither its claim was confirmed nor most upstreams have answered for this time. An
 * upstream that the new holder has reached refuses its next poll as soon: a poll waits
 * for at most 1 s, the next one to an upstream that runs tasks follows within 0.25 s,
 * and 0.15 s are allowed for transmission.
 */
#define WWH_OVERTAKEN_HOLDER_MS 1400

typedef enum {
	WWH_SCHEDULER_RECORD_JOB = 0, /* an accepted job; key: its id */
	WWH_SCHEDULER_RECORD_PROGRESS, /* key: the job's id */
	WWH_SCHEDULER_RECORD_UPSTREAM, /* may run tasks; key: its id */
	WWH_SCHEDULER_RECORD_WAVE, /* its finished hosts; key: its number */
	/* What is known of the hosts that are kept powered on; one key. */
	WWH_SCHEDULER_RECORD_RESERVE,
	WWH_SCHEDULER_RECORD_KIND_COUNT
} wwh_scheduler_record_kind_t;

/*
 * Names of wwh_scheduler_record_kind_t, in the same order: the letter that begins
 * a record's key on the store.
 */
extern const char
	*const wwh_scheduler_record_kind_names[WWH_SCHEDULER_RECORD_KIND_COUNT];

/* Callbacks for orders, records and decisions. None of them may block. */
typedef struct {
	void (*start)(const wwh_start_order_t *order, void *client_data);
	void (*stop)(const wwh_stop_order_t *order, void *client_data);
	void (*poll)(const wwh_poll_order_t *order, void *client_data);
	void (*pace)(const wwh_pace_order_t *order, void *client_data);
	void (*advise)(const wwh_advice_order_t *order, void *client_data);
	/* A value of NULL deletes the record. Returns the record's number. */
	int64_t (*write_record)(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value,
				void *client_data);
	/* Reports one decision: the event, its subject and the reason. */
	void (*explain)(const char *event, const char *subject,
			const char *detail, void *client_data);
	/*
	 * Reports when an accepted job started, or ended, and when that was
	 * expected, in ms since its acceptance. NULL: isn't called.
	 */
	void (*observe)(bool end, int64_t expected_ms, int64_t actual_ms,
			void *client_data);
	void *client_data;
} wwh_scheduler_callbacks_t;

typedef struct {
	int64_t lease_max_ms; /* upstreams shorten longer leases to this */
	int64_t lease_ms; /* requested of upstreams */
	int64_t stop_limit_ms; /* a stop takes no longer than this */
	int64_t ended_job_retention_ms; /* the state stays available as long */
	/*
	 * From an upstream's last answer until its lasting tasks count as
	 * unavailable.
	 */
	int32_t max_unanswered_starts; /* 0: no limit */
	int64_t unavailable_after_ms;
	int64_t holder_count; /* holders of this shard so far, with this one */
	/*
	 * For how long a holder whose claim isn't confirmed acts while more than
	 * half of its recorded upstreams answer. A successor that doesn't reach
	 * so many waits as long.
	 */
	int64_t unconfirmed_max_ms;
	int64_t record_max_bytes; /* of the value of any record */
	bool ignores_speed; /* no upstream is marked slow; for comparisons */
} wwh_scheduler_options_t;

wwh_scheduler_options_t wwh_scheduler_options_defaults(void);

typedef struct wwh_scheduler wwh_scheduler_t;

wwh_scheduler_t *wwh_scheduler_new(const wwh_scheduler_options_t *options,
				   const wwh_scheduler_callbacks_t *callbacks);
void wwh_scheduler_delete(wwh_scheduler_t *scheduler);

/*
 * Restores one record. Records of jobs come before those of progress. Returns
 * false if the record can't be read. Nothing is then started or ended on the
 * strength of it: for a job or its progress, until the caller cancels the job
 * (see wwh_scheduler_job_is_unreadable); for an upstream, until it has been
 * announced and has answered a poll, or its lease has certainly lapsed.
 */
bool wwh_scheduler_restore(wwh_scheduler_t *scheduler,
			   wwh_scheduler_record_kind_t kind, const char *key,
			   const uint8_t *value, size_t size, int64_t now_ms,
			   int64_t wall_ms, wwh_message_t *message);
void wwh_scheduler_finish_restore(wwh_scheduler_t *scheduler, int64_t now_ms,
				  int64_t wall_ms);

/* Marks a pool as standby: its hosts are off and no task is started there. */
void wwh_scheduler_set_standby(wwh_scheduler_t *scheduler, const char *pool,
			       bool standby);

/*
 * Limits the load of a workspace's running tasks, over all pools. A field of 0
 * sets no limit. Tasks that exceed a lowered limit are not stopped. weight is its
 * share of a pool that is full, relative to the others'; 0: the smallest.
 */
void wwh_scheduler_clear_limits(wwh_scheduler_t *scheduler);
void wwh_scheduler_limit_workspace(wwh_scheduler_t *scheduler,
				   const char *workspace,
				   const wwh_load_t *limit, int64_t weight);

/*
 * The claim of this holder was confirmed by an append that was sent at
 * confirmed_ms: no other one had claimed the shard by then. A holder that never
 * calls this counts as confirmed at any time.
 */
void wwh_scheduler_set_confirmed(wwh_scheduler_t *scheduler,
				 int64_t confirmed_ms);

/*
 * Returns until when no other holder can have acted: the claim was confirmed then,
 * or more than half of the recorded upstreams have answered polls sent since.
 */
int64_t wwh_scheduler_authority_ms(wwh_scheduler_t *scheduler);

/*
 * Whether a holder before this one may still act, until WWH_OVERTAKEN_HOLDER_MS after
 * more than half of the inherited upstreams have answered this one.
 */
bool wwh_scheduler_previous_may_act(const wwh_scheduler_t *scheduler);

/* Whether tasks wait until the claim is confirmed once more. */
bool wwh_scheduler_awaits_confirmation(const wwh_scheduler_t *scheduler);

/* When a lease was last extended; 0: never. */
int64_t wwh_scheduler_extended_ms(const wwh_scheduler_t *scheduler);

/*
 * While starts are held, no task is started, because the state of the upstreams
 * is too old. All other work continues.
 */
void wwh_scheduler_hold_starts(wwh_scheduler_t *scheduler, bool held);

/*
 * Estimates how many tasks are started before those of a new job of pool, which
 * belongs to workspace, or to none if that is NULL. They
 * wait because the last pass deferred starts to the next one, or starts are
 * held. Returns 0 if neither applies in this pool: its tasks, if any, wait for
 * free resources.
 */
int32_t wwh_scheduler_backlog(const wwh_scheduler_t *scheduler,
			      const char *pool, const char *workspace);

/* Whether no task is started now, by that or as another holder may have taken over. */
bool wwh_scheduler_starts_are_held(const wwh_scheduler_t *scheduler);

int32_t wwh_scheduler_upstream_count(const wwh_scheduler_t *scheduler);

/*
 * Estimates, after a change of holder, how long the inherited upstreams that
 * haven't answered yet will take, from the rate of those that have. Returns 0
 * if all have answered or none was inherited.
 */
int64_t wwh_scheduler_recovery_ms(const wwh_scheduler_t *scheduler,
				  int64_t now_ms);

/*
 * Returns whether in any pool the last pass deferred starts to the next one, or
 * a job was added while starts were held.
 */
bool wwh_scheduler_is_behind(const wwh_scheduler_t *scheduler);

/*
 * How long a job may wait for its first start and still meet its objective, by
 * its estimates. Returns -1 for jobs without such a time: those with lasting
 * tasks and those that repeat on a schedule.
 */
int64_t wwh_scheduler_slack_ms(const wwh_job_t *job);

typedef enum {
	WWH_SUBMIT_ACCEPTED = 0,
	WWH_SUBMIT_KNOWN, /* a job of the same id was accepted before */
	WWH_SUBMIT_RESULT_COUNT
} wwh_submit_result_t;

/*
 * Accepts job and takes ownership of it. The caller may be answered once the
 * record of number *record is durable.
 */
wwh_submit_result_t wwh_scheduler_submit(wwh_scheduler_t *scheduler,
					 wwh_job_t *job, int64_t now_ms,
					 int64_t *record);

/*
 * The same, for a job that pool_admission has accepted: the expected start and
 * end are logged, and reported to observe when they are known.
 */
wwh_submit_result_t
wwh_scheduler_submit_expected(wwh_scheduler_t *scheduler, wwh_job_t *job,
			      const wwh_admission_verdict_t *verdict,
			      int64_t now_ms, int64_t *record);

/* The input of wwh_pool_admission_decide. */
typedef struct {
	wwh_pool_room_t room;
	wwh_admission_job_t job;
} wwh_admission_input_t;

/*
 * Fills in the input for a new job. It is valid until the next call of any
 * function of the scheduler. Hosts on their way and the holder's backlog of
 * starts aren't in it. The queue is left out where it isn't needed: if the pool
 * has none, or for a job that is exempt.
 */
void wwh_scheduler_admission_input(wwh_scheduler_t *scheduler,
				   const wwh_job_t *job, int64_t now_ms,
				   wwh_admission_input_t *input);

/*
 * A job of the pool was rejected. Its work is part of the pool's demand for a
 * moment, or the pool would never get the hosts that it lacks.
 */
void wwh_scheduler_note_rejected(wwh_scheduler_t *scheduler,
				 const wwh_admission_job_t *job,
				 const char *pool, int64_t now_ms);

/*
 * Whether the records of a job never exceed record_max_bytes, however often its
 * tasks fail. A job of which that isn't sure is to be rejected.
 */
bool wwh_scheduler_job_fits(const wwh_scheduler_t *scheduler,
			    const wwh_job_t *spec);

/*
 * Called when the store has rejected a record for good. A job whose progress can't
 * be stored ends as failed, as its ends would never be durable; an upstream that
 * can't be stored gets no starts.
 */
void wwh_scheduler_record_rejected(wwh_scheduler_t *scheduler,
				   wwh_scheduler_record_kind_t kind,
				   const char *key, int64_t now_ms);

/*
 * Whether an accepted job can still be discarded: its acceptance isn't durable,
 * it hasn't started and nobody has cancelled it. wwh_scheduler_discard_job
 * removes such a job. The caller makes sure that its record never becomes
 * durable.
 */
bool wwh_scheduler_job_is_discardable(const wwh_scheduler_t *scheduler,
				      const char *id);
void wwh_scheduler_discard_job(wwh_scheduler_t *scheduler, const char *id);

/*
 * Leaves a tombstone of a job that isn't known, so that a submission of its id that
 * arrives later is never run, by this holder or by a next one. Its state stays
 * unknown until such a submission; from then on it is that of a cancelled job.
 * Tombstones are kept as long as ended jobs. Returns false if there are too many.
 */
bool wwh_scheduler_add_tombstone(wwh_scheduler_t *scheduler, const char *id,
				 const char *workspace, int64_t now_ms,
				 int64_t *record);
bool wwh_scheduler_has_tombstone(const wwh_scheduler_t *scheduler,
				 const char *id);

/* Returns false if there is no such job, or a tombstone of it only. */
bool wwh_scheduler_cancel(wwh_scheduler_t *scheduler, const char *id,
			  int64_t now_ms, int64_t *record);

typedef enum {
	WWH_PROGRESS_QUEUED = 0,
	WWH_PROGRESS_ACTIVE,
	WWH_PROGRESS_COMPLETED,
	WWH_PROGRESS_FAILED,
	WWH_PROGRESS_CANCELLED,
	WWH_PROGRESS_UNKNOWN,
	WWH_PROGRESS_COUNT
} wwh_job_progress_t;

/* Names of wwh_job_progress_t, in the same order. */
extern const char *const wwh_job_progress_names[WWH_PROGRESS_COUNT];

/* The end of a job is reported only once it is durable. */
wwh_job_progress_t wwh_scheduler_job_state(wwh_scheduler_t *scheduler,
					   const char *id);

/*
 * The workspace whose API key submitted the job. Returns NULL if the job has
 * none or doesn't exist.
 */
const char *wwh_scheduler_job_workspace(const wwh_scheduler_t *scheduler,
					const char *id);

/*
 * Whether a record of the job can't be read. It isn't known then whether the job
 * has ended or which of its tasks are left. Cancelling the job ends it.
 */
bool wwh_scheduler_job_is_unreadable(const wwh_scheduler_t *scheduler,
				     const char *id);

/* Counts the queue's accepted jobs of which no task has started. */
int32_t wwh_scheduler_pending(wwh_scheduler_t *scheduler, const char *queue);

void wwh_scheduler_upstream_announced(wwh_scheduler_t *scheduler,
				      const wwh_upstream_info_t *info,
				      int64_t now_ms);
/*
 * The announcement of the upstream can't be read. It receives no new tasks until
 * a readable announcement arrives. The tasks that it runs continue.
 */
void wwh_scheduler_upstream_unreadable(wwh_scheduler_t *scheduler,
				       const char *id, int64_t now_ms);
void wwh_scheduler_upstream_withdrawn(wwh_scheduler_t *scheduler,
				      const char *id, int64_t now_ms);
/* Whether the upstream is announced and its latest announcement is readable. */
bool wwh_scheduler_upstream_listed(const wwh_scheduler_t *scheduler,
				   const char *id);
/* How an incarnation of an upstream ended, as far as the holder knows. */
typedef enum {
	WWH_TERMINATION_CRASH = 0, /* it has ended, and no order ended it */
	WWH_TERMINATION_ORDERED, /* by upkeep, a move or its own shutdown */
	WWH_TERMINATION_UNKNOWN, /* it may only be out of reach */
	WWH_TERMINATION_COUNT
} wwh_termination_t;

/* Names of wwh_termination_t, in the same order. */
extern const char *const wwh_termination_names[WWH_TERMINATION_COUNT];

/*
 * The incarnation of the upstream has certainly terminated, and none of its tasks
 * runs any more. termination says whether its tasks may have crashed it. why must
 * stay valid as long as the scheduler. An answer to a poll that is still in flight
 * counts if it arrives soon.
 */
void wwh_scheduler_upstream_terminated(wwh_scheduler_t *scheduler,
				       const char *id,
				       wwh_termination_t termination,
				       const char *why, int64_t now_ms);

/*
 * Reports that a list of hosts is about to be requested. The list is accepted
 * only if it contains each upstream that is announced and has answered by now,
 * and that still is announced and answers when the list arrives.
 */
void wwh_scheduler_incarnations_requested(wwh_scheduler_t *scheduler);
/*
 * A complete list of the incarnations that hosts run, requested after the
 * takeover, as a set of ids; hosts_down: but for hosts that are down, which may be
 * listed without theirs. upstream_evidence decides which inherited upstreams that
 * haven't answered have terminated by it.
 */
void wwh_scheduler_incarnations_listed(wwh_scheduler_t *scheduler,
				       GHashTable *incarnations,
				       bool hosts_down, int64_t now_ms);
/*
 * Whether a list of hosts may show that the runs on an upstream are over, of which
 * the last list, requested at listed_ms, could say nothing yet.
 */
bool wwh_scheduler_awaits_host_list(const wwh_scheduler_t *scheduler,
				    int64_t listed_ms);
/* Whether its address refuses connections or answers for another one. */
bool wwh_scheduler_upstream_is_doubted(const wwh_scheduler_t *scheduler,
				       const char *id);
/* Whether an answer of the upstream to a poll has arrived after since_ms. */
bool wwh_scheduler_upstream_answered_since(const wwh_scheduler_t *scheduler,
					   const char *id, int64_t since_ms);

void wwh_scheduler_handle_poll_answer(wwh_scheduler_t *scheduler,
				      const char *upstream,
				      const wwh_poll_answer_t *answer,
				      int64_t sent_ms, int64_t now_ms);
/* reach: what the poll met; not WWH_REACH_ANSWERS */
void wwh_scheduler_handle_poll_failure(wwh_scheduler_t *scheduler,
				       const char *upstream, wwh_reach_t reach,
				       int64_t now_ms);

void wwh_scheduler_handle_start_result(wwh_scheduler_t *scheduler,
				       const char *upstream, const char *task,
				       int64_t run, wwh_order_result_t result,
				       int64_t now_ms);
void wwh_scheduler_handle_stop_result(wwh_scheduler_t *scheduler,
				      const char *upstream, const char *task,
				      int64_t run, wwh_order_result_t result,
				      int64_t now_ms);
void wwh_scheduler_handle_pace_result(wwh_scheduler_t *scheduler,
				      const char *upstream, const char *task,
				      int64_t run, wwh_order_result_t result,
				      int64_t now_ms);

typedef struct {
	const char *upstream;
	const char *ticket;
} wwh_advice_ticket_t;

/* A count of -1 means that the request for advice got no answer. */
void wwh_scheduler_handle_advice(wwh_scheduler_t *scheduler, const char *step,
				 const wwh_advice_ticket_t *admitted,
				 int32_t count, int64_t valid_ms,
				 int64_t now_ms);

void wwh_scheduler_set_durable(wwh_scheduler_t *scheduler, int64_t record);

/* Writes the records that changed. Returns the number of the newest record. */
int64_t wwh_scheduler_flush(wwh_scheduler_t *scheduler, int64_t now_ms);
bool wwh_scheduler_has_unflushed(const wwh_scheduler_t *scheduler);

/* Processes lapsed leases, resends stops, polls upstreams and starts tasks. */
void wwh_scheduler_run(wwh_scheduler_t *scheduler, int64_t now_ms,
		       int64_t wall_ms);

/*
 * Upkeep and moves end all tasks on a host. wwh_scheduler_cordon begins to
 * drain an upstream and returns whether its host may be taken down now. For
 * this, the upstream must have answered this holder, and the ends received from
 * it that change a job's progress must be durable. Unless urgent, no task but
 * lasting ones may run there; each step must be able to miss its lasting tasks
 * there. Returns true for an unknown upstream. wwh_scheduler_uncordon undoes
 * the cordon.
 */
bool wwh_scheduler_cordon(wwh_scheduler_t *scheduler, const char *upstream,
			  bool urgent, int64_t now_ms);
void wwh_scheduler_uncordon(wwh_scheduler_t *scheduler, const char *upstream);

/* The state of an upstream by which hosts are chosen for upkeep and moves. */
typedef struct {
	bool known;
	bool cordoned; /* it is being drained for upkeep or a move */
	bool leaving; /* by its announcement */
	bool slow; /* compared with its peers */
	int32_t tasks;
	int32_t lasting;
	int64_t busy_millicores;
	int64_t cpu_millicores;
	const char *rack; /* NULL: unknown; valid until the next event */
} wwh_upstream_load_t;

wwh_upstream_load_t wwh_scheduler_upstream_load(wwh_scheduler_t *scheduler,
						const char *upstream);

/* The input of wwh_pool_sizing_desired_hosts. */
wwh_pool_demand_t wwh_scheduler_pool_demand(wwh_scheduler_t *scheduler,
					    const char *pool);

typedef struct {
	int32_t jobs;
	int32_t live_jobs;
	int32_t upstreams;
	int32_t unsettled; /* inherited upstreams that haven't answered */
	int32_t tasks_outstanding; /* started and not known to have ended */
	int32_t lost_jobs; /* see wwh_scheduler_job_is_unreadable */
	/* So far, as seen by this holder. */
	int64_t crashed_upstreams; /* that had tasks */
	int64_t isolated_starts; /* of tasks that may crash their upstreams */
	int64_t tasks_given_up; /* as they crashed their upstreams */
	int64_t repeated_orders; /* their answers were overdue */
	int32_t slow_upstreams; /* now */
	int64_t marked_slow; /* upstreams */
	int64_t healthy_again; /* upstreams that were marked slow before */
	int64_t tasks_held; /* kept off a slow upstream with room */
} wwh_scheduler_counts_t;

wwh_scheduler_counts_t wwh_scheduler_counts(const wwh_scheduler_t *scheduler);

/* Writes one line for each upstream and each live job. */
void wwh_scheduler_dump(wwh_scheduler_t *scheduler, GString *out,
			int64_t now_ms);

/*
 * Aborts when an invariant is violated: task and step counts, the load and the
 * tasks of each upstream, attempts, acknowledged ends.
 */
void wwh_scheduler_check(const wwh_scheduler_t *scheduler);

#endif
