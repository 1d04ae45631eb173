#ifndef WAXWINGHOLLOW_SCHEDULER_H
#define WAXWINGHOLLOW_SCHEDULER_H

/*
 * NAME
 *	scheduler - runs the jobs of a shard's pools on their upstreams
 *
 * USE
 *	Events and a clock go in, orders come out of callbacks; nothing here
 *	reads a clock, opens a connection or starts a thread. One process
 *	holds a shard at a time. It gets there by a claim on the store (see
 *	shard_claim.h), and its token fences the holder before it at every
 *	upstream.
 *
 *	What must last are the records that go out through write_record: one for each
 *	accepted job, one for what came of it, one for each upstream that may
 *	run something. A record counts once wwh_scheduler_set_durable has
 *	reached its number. Where tasks run is not kept: the upstreams know,
 *	and a new holder asks each of them.
 *
 *	A task runs once at a time because it is started again only when its
 *	last run is known to be over: the upstream listed its end, listed what
 *	runs without it after answering the start, confirmed a stop (which
 *	also refuses a start that arrives later), is gone, or its lease has
 *	surely lapsed.
 *
 * TIMES
 *	now_ms is a steady clock that goes on while the host is suspended.
 *	wall_ms is the time of day. remote_ms is an upstream's own clock.
 *
 * ORDER OF CALLS
 *	wwh_scheduler_new; wwh_scheduler_restore for each kept record and
 *	wwh_scheduler_finish_restore once; then events in any order and
 *	wwh_scheduler_run after each group of events; wwh_scheduler_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/job.h"
#include "waxwinghollow/pool_sizing.h"
#include "waxwinghollow/status.h"

/* An upstream as it announces itself. */
typedef struct {
	char *id; /* of one incarnation; a restart has another */
	char *endpoint; /* IP number and port */
	char *pool;
	char *zone;
	char *rack; /* NULL: unknown */
	char **labels; /* NULL-ended */
	wwh_load_t size;
	bool leaving; /* gets no new work */
	int64_t sequence; /* rises with each announcement */
} wwh_upstream_info_t;

void wwh_upstream_info_clear(wwh_upstream_info_t *info);
void wwh_upstream_info_copy(wwh_upstream_info_t *to,
			    const wwh_upstream_info_t *from);

/* ID.OCCURRENCE.STEP.INDEX; a name on the wire and in logs. */
#define WWH_TASK_NAME_BYTES 64

typedef enum {
	WWH_END_DONE = 0,
	WWH_END_FAILED,
	WWH_END_STOPPED, /* as ordered */
	WWH_END_LAPSED, /* its lease was not extended */
	WWH_END_BROKEN, /* another member of its gang ended */
	WWH_END_ALONE, /* the rest of its gang did not come */
	WWH_END_KIND_COUNT
} wwh_end_kind_t;

/* Names of wwh_end_kind_t, in the same order. */
extern const char *const wwh_end_kind_names[WWH_END_KIND_COUNT];

/* A row of what an upstream says is running. */
typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	const char *checkpoint; /* "": none */
	int32_t percent; /* of its work; of a lasting task: 100 at work */
	int64_t tail_ms; /* of a task that serves, else 0 */
} wwh_running_task_t;

/* A row of what ended; numbers rise by one in each incarnation of an upstream. */
typedef struct {
	int64_t number;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	wwh_end_kind_t kind;
	const char *checkpoint;
} wwh_ended_task_t;

typedef struct {
	int64_t remote_ms;
	const wwh_running_task_t *running;
	int32_t running_count;
	const wwh_ended_task_t *ended;
	int32_t ended_count;
	bool ended_complete; /* false: more ends are waiting to be listed */
} wwh_poll_answer_t;

typedef struct {
	const char *upstream; /* id */
	const char *endpoint;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	const char *payload;
	const char *checkpoint;
	const char *ticket; /* NULL: the queue asks for none */
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
	int64_t wait_ms; /* it answers earlier when something ends */
	int64_t limit_ms; /* beyond that; then it counts as unanswered */
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
	const char **upstreams; /* ids */
	int32_t upstream_count;
} wwh_advice_order_t;

/* What came of a start, a stop or a pace order. */
typedef enum {
	WWH_ORDER_DONE = 0,
	WWH_ORDER_NOT_DONE, /* surely without effect, may be tried again */
	WWH_ORDER_NO_ROOM, /* as the next ones: refused, nothing runs */
	WWH_ORDER_OLD_RUN,
	WWH_ORDER_LATE, /* the lease in it was over on arrival */
	WWH_ORDER_NO_TICKET,
	WWH_ORDER_BAD,
	WWH_ORDER_FENCED, /* another holder has a higher token */
	WWH_ORDER_OTHER_INCARNATION, /* the upstream has restarted */
	WWH_ORDER_UNKNOWN, /* may be carried out, also seconds later */
	WWH_ORDER_RESULT_COUNT
} wwh_order_result_t;

/* Names of wwh_order_result_t, in the same order. */
extern const char *const wwh_order_result_names[WWH_ORDER_RESULT_COUNT];

/*
 * How long a holder that was overtaken may go on giving orders: until its next
 * poll at an upstream that the new holder has reached is refused. A poll waits
 * for at most 1 s, the next one follows within 0.25 s, and 0.15 s are for the
 * way.
 */
#define WWH_OVERTAKEN_HOLDER_MS 1400

typedef enum {
	WWH_SCHEDULER_RECORD_JOB = 0, /* an accepted job, by its id */
	WWH_SCHEDULER_RECORD_PROGRESS, /* what came of a job, by its id */
	WWH_SCHEDULER_RECORD_UPSTREAM, /* may run something, by its id */
	WWH_SCHEDULER_RECORD_WAVE, /* hosts of a wave that are done, by its number */
	WWH_SCHEDULER_RECORD_KIND_COUNT
} wwh_scheduler_record_kind_t;

/* Names of wwh_scheduler_record_kind_t, in the same order; single letters on the store. */
extern const char
	*const wwh_scheduler_record_kind_names[WWH_SCHEDULER_RECORD_KIND_COUNT];

/* Where orders and records go. All return at once. */
typedef struct {
	void (*start)(const wwh_start_order_t *order, void *client_data);
	void (*stop)(const wwh_stop_order_t *order, void *client_data);
	void (*poll)(const wwh_poll_order_t *order, void *client_data);
	void (*pace)(const wwh_pace_order_t *order, void *client_data);
	void (*advise)(const wwh_advice_order_t *order, void *client_data);
	/* value NULL drops the record. Returns the record's number. */
	int64_t (*write_record)(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value,
				void *client_data);
	/* One decision: what, about whom, and why. */
	void (*explain)(const char *event, const char *subject,
			const char *detail, void *client_data);
	void *client_data;
} wwh_scheduler_callbacks_t;

typedef struct {
	int64_t lease_max_ms; /* upstreams shorten longer leases to this */
	int64_t lease_ms; /* what is asked for */
	int64_t stop_limit_ms; /* a stop takes at most this */
	int64_t ended_job_retention_ms; /* ended jobs are answered for at least this long */
	int64_t unavailable_after_ms; /* a lasting task away for this long */
	int64_t holder_count; /* holders of this shard so far, this one too */
} wwh_scheduler_options_t;

wwh_scheduler_options_t wwh_scheduler_options_defaults(void);

typedef struct wwh_scheduler wwh_scheduler_t;

wwh_scheduler_t *wwh_scheduler_new(const wwh_scheduler_options_t *options,
				   const wwh_scheduler_callbacks_t *calls);
void wwh_scheduler_delete(wwh_scheduler_t *scheduler);

/*
 * Jobs before progress. False: the record can't be read. What it said is lost,
 * and nothing is started or ended for it: of a job, or its progress, until its
 * caller cancels it (see wwh_scheduler_job_lost); of an upstream, until it has
 * announced itself and answered, or its lease is surely over.
 */
bool wwh_scheduler_restore(wwh_scheduler_t *scheduler,
			   wwh_scheduler_record_kind_t kind, const char *key,
			   const uint8_t *value, size_t size, int64_t now_ms,
			   int64_t wall_ms, wwh_message_t *message);
void wwh_scheduler_finish_restore(wwh_scheduler_t *scheduler, int64_t now_ms,
				  int64_t wall_ms);

/* A pool whose hosts are off and run nothing. */
void wwh_scheduler_set_standby(wwh_scheduler_t *scheduler, const char *pool,
			       bool standby);

/*
 * What a workspace may have at work over all pools; 0 in a part: no limit. Tasks
 * that run beyond a lowered limit run on.
 */
void wwh_scheduler_clear_limits(wwh_scheduler_t *scheduler);
void wwh_scheduler_limit_workspace(wwh_scheduler_t *scheduler,
				   const char *workspace,
				   const wwh_load_t *limit);

/*
 * While held, no task is started: what is known of the upstreams is too old. All
 * else goes on.
 */
void wwh_scheduler_hold_starts(wwh_scheduler_t *scheduler, bool held);

/*
 * Tasks that a new job of pool comes after, while the last pass left some to the
 * next one: they wait for the holder. 0: they wait for room, if at all.
 */
int32_t wwh_scheduler_backlog(const wwh_scheduler_t *scheduler,
			      const char *pool);

int32_t wwh_scheduler_upstream_count(const wwh_scheduler_t *scheduler);

/*
 * After a change of holder: how long the upstreams that haven't answered yet will
 * take, by those that have; 0: all have, or nothing was inherited.
 */
int64_t wwh_scheduler_recovery_ms(const wwh_scheduler_t *scheduler,
				  int64_t now_ms);

/* The last pass left something to the next one, in any pool. */
bool wwh_scheduler_is_behind(const wwh_scheduler_t *scheduler);

/*
 * How long a job may wait for its first start and still end as soon as its callers
 * are content with, by its estimates; -1: it has no such time, as its tasks last or
 * it comes at set times.
 */
int64_t wwh_scheduler_slack_ms(const wwh_job_t *job);

typedef enum {
	WWH_SUBMIT_ACCEPTED = 0, /* answer once record is durable */
	WWH_SUBMIT_KNOWN, /* the same id was accepted before; as above */
	WWH_SUBMIT_RESULT_COUNT
} wwh_submit_result_t;

/* Takes job over. *record is what has to be durable before the answer. */
wwh_submit_result_t wwh_scheduler_submit(wwh_scheduler_t *scheduler,
					 wwh_job_t *job, int64_t now_ms,
					 int64_t *record);

/*
 * Whether nothing hangs on a job but its acceptance, which isn't durable: it
 * hasn't started and nobody has cancelled it. wwh_scheduler_discard_job forgets
 * such a job, whose record must not become durable then.
 */
bool wwh_scheduler_job_is_discardable(const wwh_scheduler_t *scheduler,
				      const char *id);
void wwh_scheduler_discard_job(wwh_scheduler_t *scheduler, const char *id);

/* False: there is no such job. */
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

/* Ends are shown once they are durable, never before. */
wwh_job_progress_t wwh_scheduler_job_state(wwh_scheduler_t *scheduler,
					   const char *id);

/* Whose key handed the job in; NULL: nobody's, or there is no such job. */
const char *wwh_scheduler_job_workspace(const wwh_scheduler_t *scheduler,
					const char *id);

/*
 * A record of the job can't be read: whether it has ended, or what is left of
 * it, isn't known. Cancelling it makes an end of it.
 */
bool wwh_scheduler_job_lost(const wwh_scheduler_t *scheduler, const char *id);

/* Accepted jobs of a queue of which no task has started. */
int32_t wwh_scheduler_pending(wwh_scheduler_t *scheduler, const char *queue);

void wwh_scheduler_upstream_announced(wwh_scheduler_t *scheduler,
				      const wwh_upstream_info_t *info,
				      int64_t now_ms);
/*
 * It is announced, and what the announcement says can't be read: it gets no new
 * work until it is seen again, and what it runs goes on.
 */
void wwh_scheduler_upstream_unreadable(wwh_scheduler_t *scheduler,
				       const char *id, int64_t now_ms);
void wwh_scheduler_upstream_withdrawn(wwh_scheduler_t *scheduler,
				      const char *id, int64_t now_ms);
/* It was seen, and what was read of it last could be read. */
bool wwh_scheduler_upstream_listed(const wwh_scheduler_t *scheduler,
				   const char *id);
/*
 * Its incarnation has terminated for sure: nothing runs there any more. why lives as long as
 * the scheduler. What it has said before still counts if it is heard soon.
 */
void wwh_scheduler_upstream_terminated(wwh_scheduler_t *scheduler,
				       const char *id, const char *why,
				       int64_t now_ms);

/* A list of hosts is asked for: it has to show each upstream that answers now. */
void wwh_scheduler_incarnations_requested(wwh_scheduler_t *scheduler);
/*
 * A whole list of what hosts run, asked for after the takeover: incarnations is a set
 * of ids. An upstream of the holder before that is in neither list is over, and
 * one that is announced when lists have shown no host of it for a while.
 */
void wwh_scheduler_incarnations_listed(wwh_scheduler_t *scheduler,
				       GHashTable *incarnations,
				       int64_t now_ms);

void wwh_scheduler_handle_poll_answer(wwh_scheduler_t *scheduler,
				      const char *upstream,
				      const wwh_poll_answer_t *answer,
				      int64_t sent_ms, int64_t now_ms);
/* refused: nobody listens there, as against silence */
void wwh_scheduler_handle_poll_failure(wwh_scheduler_t *scheduler,
				       const char *upstream, bool refused,
				       int64_t now_ms);
/* Another incarnation answered the poll: that of this id has terminated. */
void wwh_scheduler_handle_poll_other_incarnation(wwh_scheduler_t *scheduler,
						 const char *id,
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

/* count -1: no answer. */
void wwh_scheduler_handle_advice(wwh_scheduler_t *scheduler, const char *step,
				 const wwh_advice_ticket_t *admitted,
				 int32_t count, int64_t valid_ms,
				 int64_t now_ms);

void wwh_scheduler_set_durable(wwh_scheduler_t *scheduler, int64_t record);

/* Writes what changed; returns the number of the newest record. */
int64_t wwh_scheduler_flush(wwh_scheduler_t *scheduler, int64_t now_ms);
bool wwh_scheduler_has_unflushed(const wwh_scheduler_t *scheduler);

/* Places tasks, repeats orders, lets leases lapse; gives orders. */
void wwh_scheduler_run(wwh_scheduler_t *scheduler, int64_t now_ms,
		       int64_t wall_ms);

/*
 * Upkeep and moves end everything on a host. wwh_scheduler_cordon asks to
 * empty an upstream and says whether it may be taken down now: nothing runs
 * there that must not be ended, and all ends heard of are durable.
 * wwh_scheduler_uncordon takes it back.
 */
bool wwh_scheduler_cordon(wwh_scheduler_t *scheduler, const char *upstream,
			  bool urgent, int64_t now_ms);
void wwh_scheduler_uncordon(wwh_scheduler_t *scheduler, const char *upstream);

/* What a choice of hosts for upkeep or a move needs to know of one. */
typedef struct {
	bool known;
	bool cordoned; /* empties itself for upkeep or a move */
	bool leaving; /* by its own word */
	int32_t tasks;
	int32_t lasting;
	int64_t busy_millicores;
	int64_t cpu_millicores;
} wwh_upstream_load_t;

wwh_upstream_load_t wwh_scheduler_upstream_load(wwh_scheduler_t *scheduler,
						const char *upstream);

/* For wwh_pool_sizing_wanted. */
wwh_pool_demand_t wwh_scheduler_pool_demand(wwh_scheduler_t *scheduler,
					    const char *pool);

typedef struct {
	int32_t jobs;
	int32_t live_jobs;
	int32_t upstreams;
	int32_t unsettled; /* upstreams of holders before this one, not asked */
	int32_t tasks_outstanding; /* started and not known to be over */
	int32_t lost_jobs; /* see wwh_scheduler_job_lost */
} wwh_scheduler_counts_t;

wwh_scheduler_counts_t wwh_scheduler_counts(const wwh_scheduler_t *scheduler);

/* One line for each pool, upstream and live job. */
void wwh_scheduler_dump(wwh_scheduler_t *scheduler, GString *out,
			int64_t now_ms);

/* Aborts when an invariant is broken: one run of a task, room, order. */
void wwh_scheduler_check(const wwh_scheduler_t *scheduler);

#endif
