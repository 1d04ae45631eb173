#ifndef TEST_FUZZ_SCHEDULER_WORLD_H
#define TEST_FUZZ_SCHEDULER_WORLD_H

/*
 * NAME
 *	scheduler_world - upstreams as they are, and what truly became of tasks
 *
 * USE
 *	For fuzz_scheduler alone. Written from the rules: what an upstream does
 *	with an order, when its runs end, and what it may forget. Asserts where
 *	a run begins that never should.
 */

#include <assert.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "scheduler_trace.h"
#include "waxwinghollow/scheduler.h"

#ifndef UPSTREAMS
#define UPSTREAMS 4
#endif
#define HOLDERS_MAX 3 /* at once: the newest one and those that it overtook */
#define JOBS_MAX 24
#define TASKS 3 /* at most, of each step of a job */
#define STEPS 2 /* at most */
#define MAX_ATTEMPTS 3
#define INPUT_MAX 600
#define CORES 3000
#define LEASE_MAX_MS 10000
#define ORDER_LIMIT_MS 1700 /* after which a holder waits no longer */
#define STANDSTILL_MS 900 /* after which a holder waits for its next append */
#define UNCONFIRMED_MAX_MS 15000 /* while most upstreams answer a holder */
#define CRASHED_MS 3000 /* how long an upstream is away after a crash */
#define SLOWDOWN 5 /* of runs on a slow upstream */
#define MAX_CRASHING_STARTS 5 /* of one task, by a holder that knows of all */
#define MIN_CRASHES 2 /* before a job is shown as failed */
#define MIN_POSSIBLE_CRASHES 3 /* the same, if starts got no answer */
#define POOL "p"

typedef struct {
	bool running;
	bool done; /* truly */
	bool done_acked;
	int64_t last_begun; /* as end_t has it */
	int32_t failed_acked;
	int32_t failed; /* truly */
	int32_t crashes; /* of upstreams that ran it */
	int32_t answered_crashes; /* of upstreams that had answered the start */
	int32_t starts;
	/* of them: crashed an upstream that its holder couldn't reach then */
	int32_t hidden_starts;
	int32_t last_holder; /* whose start was carried out */
	int32_t last_host; /* and where */
	int32_t last_link_changes; /* at that host by then */
	int32_t unanswered; /* runs whose start got no answer */
	/* of each living holder: its newest run, whose start may be sent again */
	int64_t ordered_run[HOLDERS_MAX];
	bool run_answered[HOLDERS_MAX];
} truth_t;

typedef struct {
	char id[WWH_JOB_ID_CHARS + 1];
	bool submitted;
	bool accepted; /* the caller was told */
	bool cancelled; /* the caller was told */
	int64_t cancelled_ms;
	int32_t cancelled_by; /* the holder that told the caller */
	bool cancel_sent;
	bool shown_completed;
	int64_t submit_record;
	int32_t step_count;
	int32_t task_count; /* of each step */
	int64_t crash_delay_ms; /* task 0.0 crashes its upstream; 0: it doesn't */
	bool crashes_unanswered; /* task 0.0 does so before the start's answer */
	bool lasts; /* its tasks are started again however they end */
	int32_t first_holder;
	truth_t tasks[STEPS][TASKS];
} job_t;

typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int64_t begun_ms;
	int64_t duration_ms;
	int64_t crash_ms; /* when it crashes its upstream; 0: never */
	bool fails;
	bool answered; /* the holder knows that it began */
} run_t;

typedef struct {
	int64_t number;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	wwh_end_kind_t kind;
	int64_t at; /* counts beginnings and ends of runs, anywhere */
	bool lapsed; /* the lease was over since: it never counts as acknowledged */
} end_t;

typedef struct {
	char id[16];
	int32_t life;
	int64_t born_ms; /* another one for each life */
	bool up;
	bool cut;
	bool hangs;
	int32_t link_changes; /* of links to holders, so far */
	bool slow; /* its next runs take several times as long */
	bool leaving;
	bool announced;
	int64_t back_ms; /* after a crash that a task caused; 0: it wasn't */
	int64_t token;
	int64_t clock_offset_ms;
	int64_t clock_permille; /* 980 to 1000 of ours */
	int64_t lease_until_ms; /* on its clock */
	int64_t last_number;
	GArray *runs; /* run_t */
	GArray *ends; /* end_t */
	GHashTable *refused; /* task to the highest run that ended or stopped */
} host_t;

typedef enum {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL
} order_kind_t;

typedef struct {
	order_kind_t kind;
	int32_t holder; /* number; orders outlive their holders */
	char upstream[16];
	int32_t life; /* of the upstream when it was sent */
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int64_t token;
	int64_t until_ms;
	int64_t acknowledged;
	int64_t sent_ms;
	bool carried_out_late; /* nobody waits for its result */
} order_t;

/* What an upstream answered to a poll, on its way to the holder. */
typedef struct {
	order_t order;
	int64_t remote_ms;
	int64_t born_ms;
	GArray *running; /* wwh_running_task_t */
	GArray *ended; /* wwh_ended_task_t */
} answer_t;

typedef struct {
	char *key;
	GBytes *value;
	int64_t number;
} record_t;

typedef enum {
	LINK_UP,
	LINK_CUT,
	LINK_ONE_WAY, /* orders arrive, answers don't */
} link_t;

typedef struct {
	wwh_scheduler_t *scheduler;
	int32_t number; /* 0: none */
	int64_t token;
	int64_t next_record;
	int64_t sent_upto; /* records that were in a call, stored or not */
	GQueue *pending; /* record_t */
	int64_t confirmed_ms; /* when the newest append that succeeded was sent */
	bool overtaken; /* the store refuses its epoch, and it doesn't know yet */
	int64_t frozen_until_ms; /* 0: it works */
	int64_t stood_still_ms; /* until then; 0: never */
	bool store_cut; /* its appends get no answer, and it reads nothing */
	link_t links[UPSTREAMS];
	/* of an append that the store has carried out; its answer is on its way */
	int64_t slow_append_upto;
	int64_t slow_append_sent_ms; /* 0: there is none */
} holder_t;

typedef struct {
	const uint8_t *data;
	size_t size;
	int64_t now_ms;
	holder_t holders[HOLDERS_MAX]; /* in any order */
	holder_t *holder; /* the newest one */
	int32_t holder_count;
	int32_t lived_on; /* holders that went on beside their successor */
	bool store_away; /* from everybody */
	bool tracks_claims; /* holders are told when their claim was confirmed */
	int32_t work_ticks;
	GHashTable *store; /* key to GBytes */
	host_t hosts[UPSTREAMS];
	job_t jobs[JOBS_MAX];
	int32_t job_count;
	int64_t run_changes; /* beginnings and ends of runs so far */
	GQueue *orders; /* order_t */
	GQueue *answers; /* answer_t that take their time */
	int32_t list_holder; /* who asked for a list of hosts; 0: nobody */
	GHashTable *lives; /* what that list shows; owned ids */
} world_t;

static world_t world;

static inline int64_t clock_of(const host_t *host)
{
	return host->clock_offset_ms +
	       world.now_ms * host->clock_permille / 1000;
}

static inline void extend_lease(host_t *host, int64_t until_ms)
{
	until_ms = MIN(until_ms, clock_of(host) + LEASE_MAX_MS);
	host->lease_until_ms = MAX(host->lease_until_ms, until_ms);
}

static inline truth_t *truth_of(const char *task, int32_t *step, job_t **job)
{
	char id[WWH_JOB_ID_CHARS + 1] = "";
	int occurrence;
	int index;
	int number;

	assert(sscanf(task, "%16[0-9a-f].%d.%d.%d", id, &occurrence, &number,
		      &index) == 4);
	for (int32_t i = 0; i < world.job_count; i++) {
		if (strcmp(world.jobs[i].id, id) != 0)
			continue;
		*job = &world.jobs[i];
		*step = number;
		return &world.jobs[i].tasks[number][index];
	}
	return NULL;
}

static inline int64_t refused_run(const host_t *host, const char *task)
{
	gpointer run = g_hash_table_lookup(host->refused, task);

	return run == NULL ? 0 : (int64_t)GPOINTER_TO_SIZE(run);
}

static inline void end_run(host_t *host, guint index, wwh_end_kind_t kind)
{
	run_t run = g_array_index(host->runs, run_t, index);
	end_t end = { .number = ++host->last_number,
		      .run = run.run,
		      .kind = kind,
		      .at = ++world.run_changes };
	job_t *job;
	int32_t step;
	truth_t *truth = truth_of(run.task, &step, &job);

	trace("%s: run %" G_GINT64_FORMAT " of %s ends as %s", host->id,
	      run.run, run.task, wwh_end_kind_names[kind]);
	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_append_val(host->ends, end);
	g_array_remove_index(host->runs, index);
	if (refused_run(host, run.task) < run.run)
		g_hash_table_replace(host->refused, g_strdup(run.task),
				     GSIZE_TO_POINTER((gsize)run.run));
	truth->running = false;
	if (kind == WWH_END_DONE)
		truth->done = true;
	truth->failed += kind == WWH_END_FAILED;
}

static inline void crash(host_t *host)
{
	trace("%s: crashes with %u runs", host->id, host->runs->len);
	for (guint i = 0; i < host->runs->len; i++) {
		job_t *job;
		int32_t step;
		truth_t *truth = truth_of(
			g_array_index(host->runs, run_t, i).task, &step, &job);

		truth->running = false;
		truth->crashes++;
		truth->answered_crashes +=
			g_array_index(host->runs, run_t, i).answered;
	}
	g_array_set_size(host->runs, 0);
	g_array_set_size(host->ends, 0);
	g_hash_table_remove_all(host->refused);
	host->up = false;
	host->last_number = 0;
	host->token = 0;
	host->lease_until_ms = 0;
	host->hangs = false;
	host->slow = false;
}

static inline void crash_for_a_while(host_t *host)
{
	crash(host);
	host->back_ms = world.now_ms + CRASHED_MS;
}

static inline bool crashes_upstreams(const job_t *job)
{
	return job->crash_delay_ms > 0 || job->crashes_unanswered;
}

/* What time does: runs end, leases lapse. */
static inline void settle_host(host_t *host)
{
	if (!host->up)
		return;
	while (host->runs->len > 0 && clock_of(host) > host->lease_until_ms)
		end_run(host, 0, WWH_END_LAPSED);
	for (guint i = 0; i < host->ends->len; i++)
		g_array_index(host->ends, end_t, i).lapsed |=
			clock_of(host) > host->lease_until_ms;
	for (guint i = 0; i < host->runs->len; i++) {
		const run_t *run = &g_array_index(host->runs, run_t, i);

		if (run->crash_ms == 0 || world.now_ms < run->crash_ms)
			continue;
		crash_for_a_while(host);
		return;
	}
	for (guint i = 0; i < host->runs->len && !host->hangs;) {
		run_t *run = &g_array_index(host->runs, run_t, i);

		if (world.now_ms - run->begun_ms < run->duration_ms)
			i++;
		else
			end_run(host, i,
				run->fails ? WWH_END_FAILED : WWH_END_DONE);
	}
}

/*
 * A holder that can't reach an upstream can't tell whether it has crashed, and mostly
 * it hasn't.
 */
static inline void note_crashing_start(truth_t *truth, const host_t *host,
				       int32_t number)
{
	const host_t *last = &world.hosts[truth->last_host];

	for (int32_t i = 0; i < HOLDERS_MAX && truth->last_holder != 0; i++) {
		const holder_t *holder = &world.holders[i];

		truth->hidden_starts +=
			holder->number == truth->last_holder &&
			(holder->links[truth->last_host] != LINK_UP ||
			 last->link_changes != truth->last_link_changes);
	}
	truth->last_holder = number;
	truth->last_host = (int32_t)(host - world.hosts);
	truth->last_link_changes = host->link_changes;
}

static inline wwh_order_result_t carry_out_start(host_t *host,
						 const order_t *order)
{
	run_t run = { .run = order->run, .begun_ms = world.now_ms };
	uint8_t luck = (uint8_t)(g_str_hash(order->task) + order->run * 7);
	job_t *job = NULL;
	int32_t step = 0;
	truth_t *truth = truth_of(order->task, &step, &job);

	for (guint i = 0; i < host->runs->len; i++) {
		run_t *there = &g_array_index(host->runs, run_t, i);

		if (strcmp(there->task, order->task) == 0 &&
		    there->run == order->run)
			return WWH_ORDER_DONE;
	}
	extend_lease(host, order->until_ms);
	if (order->run <= refused_run(host, order->task))
		return WWH_ORDER_OLD_RUN;
	if (clock_of(host) > order->until_ms)
		return WWH_ORDER_LATE;
	if ((int32_t)host->runs->len >= CORES / 1000)
		return WWH_ORDER_NO_ROOM;
	trace("%s: holder %d begins run %" G_GINT64_FORMAT " of %s%s%s",
	      host->id, order->holder, order->run, order->task,
	      truth->running ? " WHILE ANOTHER GOES ON" : "",
	      truth->done_acked ? " AFTER AN ACKNOWLEDGED END AS DONE" : "");
	assert(truth != NULL && job->submitted);
	assert(!truth->running);
	assert(job->lasts || !truth->done_acked);
	assert(job->lasts || truth->failed_acked < MAX_ATTEMPTS);
	/*
	 * What was on its way when the caller was told may still arrive. A holder
	 * that was overtaken before is out of touch and can't know.
	 */
	assert(!job->cancelled || order->sent_ms <= job->cancelled_ms ||
	       order->holder < job->cancelled_by);
	for (int32_t i = 0; i < job->task_count && step > 0; i++)
		assert(job->tasks[0][i].done);
	truth->running = true;
	truth->last_begun = ++world.run_changes;
	truth->starts++;
	if (crashes_upstreams(job) && truth == &job->tasks[0][0]) {
		/*
		 * Each holder may have missed a crash, and the one before it. One
		 * that lives on beside its successor counts for itself.
		 */
		note_crashing_start(truth, host, order->holder);
		assert(job->lasts ||
		       truth->starts <=
			       MAX_CRASHING_STARTS * (1 + world.lived_on) +
				       truth->hidden_starts +
				       2 * (world.holder_count -
					    job->first_holder));
		run.crash_ms = world.now_ms + job->crash_delay_ms;
	}
	g_strlcpy(run.task, order->task, sizeof(run.task));
	run.duration_ms = (200 + luck * 8) * (host->slow ? SLOWDOWN : 1);
	run.fails = luck % 5 == 0;
	g_array_append_val(host->runs, run);
	if (job->crashes_unanswered && truth == &job->tasks[0][0]) {
		crash_for_a_while(host);
		return WWH_ORDER_UNKNOWN;
	}
	return WWH_ORDER_DONE;
}

static inline wwh_order_result_t carry_out_stop(host_t *host,
						const order_t *order)
{
	for (guint i = 0; i < host->runs->len; i++) {
		run_t *run = &g_array_index(host->runs, run_t, i);

		if (strcmp(run->task, order->task) == 0 &&
		    run->run <= order->run) {
			end_run(host, i, WWH_END_STOPPED);
			break;
		}
	}
	if (refused_run(host, order->task) < order->run)
		g_hash_table_replace(host->refused, g_strdup(order->task),
				     GSIZE_TO_POINTER((gsize)order->run));
	return WWH_ORDER_DONE;
}

static inline void carry_out_poll(host_t *host, const order_t *order)
{
	extend_lease(host, order->until_ms);
	while (host->ends->len > 0 &&
	       g_array_index(host->ends, end_t, 0).number <=
		       order->acknowledged) {
		end_t *end = &g_array_index(host->ends, end_t, 0);
		job_t *job;
		int32_t step;
		truth_t *truth = truth_of(end->task, &step, &job);

		trace("%s: holder %d acknowledges the end of run "
		      "%" G_GINT64_FORMAT " of %s as %s%s",
		      host->id, order->holder, end->run, end->task,
		      wwh_end_kind_names[end->kind],
		      end->lapsed ? ", lapsed since" : "");
		/*
		 * A run that began since is a second one, whoever ordered it. Tasks
		 * that last are started again however they end.
		 */
		assert(end->kind != WWH_END_DONE || end->lapsed || job->lasts ||
		       truth->last_begun < end->at);
		truth->done_acked |= end->kind == WWH_END_DONE && !end->lapsed;
		truth->failed_acked +=
			end->kind == WWH_END_FAILED && !end->lapsed;
		g_array_remove_index(host->ends, 0);
	}
}

static inline int32_t most_crashes(const job_t *job)
{
	int32_t most = 0;

	for (int32_t k = 0; k < STEPS * TASKS; k++)
		most = MAX(most, job->tasks[k / TASKS][k % TASKS].crashes);
	return most;
}

/* A holder can't tell whether a start without an answer crashed its upstream. */
static inline int32_t most_possible_crashes(const job_t *job)
{
	int32_t most = 0;

	for (int32_t k = 0; k < STEPS * TASKS; k++) {
		const truth_t *truth = &job->tasks[k / TASKS][k % TASKS];

		most = MAX(most, truth->answered_crashes + truth->unanswered);
	}
	return most;
}

static inline int32_t most_failures(const job_t *job)
{
	int32_t most = 0;

	for (int32_t k = 0; k < STEPS * TASKS; k++)
		most = MAX(most, job->tasks[k / TASKS][k % TASKS].failed);
	return most;
}

#endif
