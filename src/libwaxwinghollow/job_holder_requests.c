#include <string.h>

#include "private/job_holder_state.h"

/*
 * If records have waited for longer, the store is unreachable for this process,
 * and a new submission would only wait as well.
 */
#define STALLED_AFTER_MS 700

/*
 * A record waits for the previous append to end before its own starts. Where
 * appends are slow, a wait of less than this many appends is therefore no sign
 * of an unreachable store.
 */
#define SLOW_APPENDS 3

/*
 * Limit where the last append certainly had no effect, because the store
 * refused it or it couldn't be sent: the store isn't slow then, and three
 * successive tries failed within this time.
 */
#define REFUSED_STALLED_AFTER_MS 150

#define STALLED_RETRY_AFTER_S 1

/* Callers don't retry after a longer wait, so no longer Retry-After is sent. */
#define OVERLOADED_RETRY_AFTER_MAX_S 5
#define SECOND_MS 1000

/*
 * A job whose record is unreadable was accepted, and its state is lost. It is
 * neither accepted again, as its tasks would run twice, nor reported unknown.
 */
#define REASON_RECORD_UNREADABLE "record-unreadable"

typedef struct {
	int64_t record;
	char job[WWH_JOB_ID_CHARS + 1]; /* submitted job; empty: none */
	wwh_job_answer_t answer;
	wwh_job_answered_t done;
	void *client_data;
} waiter_t;

static void wait_for_record(wwh_job_holder_t *holder, int64_t record,
			    const char *job, const wwh_job_answer_t *answer,
			    wwh_job_answered_t done, void *client_data);
static bool discard_job(wwh_job_holder_t *holder, const char *job,
			int64_t record);
static void refuse_waiters(wwh_job_holder_t *holder, int64_t record);
static bool is_stalled(const wwh_job_holder_t *holder);
static int64_t expected_lateness_ms(const wwh_job_holder_t *holder,
				    const wwh_job_t *job);
static void refuse_overloaded(wwh_job_holder_t *holder, const wwh_job_t *job,
			      int64_t late_ms, wwh_job_answered_t done,
			      void *client_data);
static void answer_not_done(const char *why, wwh_job_answered_t done,
			    void *client_data);

bool wwh_job_holder_owned_by_other(const wwh_job_holder_t *holder,
				   const char *id, const char *workspace)
{
	const char *owner = wwh_scheduler_job_workspace(holder->scheduler, id);

	return owner != NULL && workspace != NULL &&
	       strcmp(owner, workspace) != 0;
}

void wwh_job_holder_submit(wwh_job_holder_t *holder, wwh_job_t *job,
			   wwh_job_answered_t done, void *client_data)
{
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };
	char id[WWH_JOB_ID_CHARS + 1];
	bool known = wwh_scheduler_job_state(holder->scheduler, job->id) !=
		     WWH_PROGRESS_UNKNOWN;
	int64_t record;
	int64_t late_ms;

	if (wwh_scheduler_job_is_unreadable(holder->scheduler, job->id)) {
		wwh_job_delete(job);
		answer_not_done(REASON_RECORD_UNREADABLE, done, client_data);
		return;
	}
	if (holder->lost || holder->unconfirmed_since_ms != 0 ||
	    (is_stalled(holder) && !known)) {
		wwh_job_delete(job);
		answer_not_done("store-unreachable", done, client_data);
		return;
	}
	late_ms = known ? 0 : expected_lateness_ms(holder, job);
	if (late_ms > 0) {
		refuse_overloaded(holder, job, late_ms, done, client_data);
		wwh_job_delete(job);
		return;
	}
	g_strlcpy(id, job->id, sizeof(id));
	holder->urgent = true;
	(void)wwh_scheduler_submit(holder->scheduler, job, holder->now_ms,
				   &record);
	holder->urgent = false;
	wait_for_record(holder, record, id, &answer, done, client_data);
	wwh_shard_journal_run(holder->journal, holder->now_ms);
}

/*
 * Callers whose jobs wait behind an append that the store doesn't answer would
 * get no answer before their deadlines, and their jobs would run for nobody
 * once the store is reachable again. The records of these jobs were never sent,
 * so that the jobs can be discarded and "not accepted" is true.
 */
void job_holder_refuse_unsent(wwh_job_holder_t *holder)
{
	GList *at = holder->waiters->tail;

	if (!is_stalled(holder))
		return;
	while (at != NULL) {
		waiter_t *waiter = at->data;
		char job[WWH_JOB_ID_CHARS + 1];
		int64_t record = waiter->record;

		g_strlcpy(job, waiter->job, sizeof(job));
		while (at != NULL && ((waiter_t *)at->data)->record == record)
			at = at->prev;
		if (job[0] != '\0' && discard_job(holder, job, record))
			refuse_waiters(holder, record);
	}
}

static bool discard_job(wwh_job_holder_t *holder, const char *job,
			int64_t record)
{
	if (!wwh_scheduler_job_is_discardable(holder->scheduler, job) ||
	    !wwh_shard_journal_discard(holder->journal, record))
		return false;
	wwh_scheduler_discard_job(holder->scheduler, job);
	return true;
}

static void refuse_waiters(wwh_job_holder_t *holder, int64_t record)
{
	GList *at = holder->waiters->head;

	while (at != NULL) {
		waiter_t *waiter = at->data;
		GList *next = at->next;

		if (waiter->record == record) {
			g_queue_delete_link(holder->waiters, at);
			answer_not_done("store-unreachable", waiter->done,
					waiter->client_data);
			g_free(waiter);
		}
		at = next;
	}
}

static bool is_stalled(const wwh_job_holder_t *holder)
{
	int64_t limit_ms =
		MAX(STALLED_AFTER_MS,
		    SLOW_APPENDS * wwh_shard_journal_last_append_duration_ms(
					   holder->journal));

	if (wwh_shard_journal_refused(holder->journal))
		limit_ms = REFUSED_STALLED_AFTER_MS;
	return wwh_shard_journal_lag_ms(holder->journal, holder->now_ms) >
	       limit_ms;
}

void wwh_job_holder_cancel(wwh_job_holder_t *holder, const char *id,
			   wwh_job_answered_t done, void *client_data)
{
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };
	int64_t record;

	if (holder->lost || holder->unconfirmed_since_ms != 0) {
		answer_not_done("store-unreachable", done, client_data);
		return;
	}
	holder->urgent = true;
	if (wwh_scheduler_cancel(holder->scheduler, id, holder->now_ms,
				 &record)) {
		wait_for_record(holder, record, "", &answer, done, client_data);
		wwh_shard_journal_run(holder->journal, holder->now_ms);
	} else if (wwh_job_holder_claim_confirmed(holder, holder->now_ms)) {
		answer.kind = WWH_JOB_ANSWER_NO_JOB;
		answer.why = "no-such-job";
		done(&answer, client_data);
	} else {
		answer_not_done("not-confirmed", done, client_data);
	}
	holder->urgent = false;
}

/*
 * "No such job" is answered only while the claim is confirmed: a replaced
 * holder doesn't know the jobs that its successor has accepted.
 */
void wwh_job_holder_query_state(wwh_job_holder_t *holder, const char *id,
				wwh_job_answered_t done, void *client_data)
{
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };

	if (wwh_scheduler_job_is_unreadable(holder->scheduler, id)) {
		answer_not_done(REASON_RECORD_UNREADABLE, done, client_data);
		return;
	}
	answer.state = wwh_scheduler_job_state(holder->scheduler, id);
	if (answer.state == WWH_PROGRESS_UNKNOWN) {
		if (!wwh_job_holder_claim_confirmed(holder, holder->now_ms)) {
			answer_not_done("not-confirmed", done, client_data);
			return;
		}
		answer.kind = WWH_JOB_ANSWER_NO_JOB;
		answer.why = "no-such-job";
	}
	done(&answer, client_data);
}

void wwh_job_holder_query_pending(wwh_job_holder_t *holder, const char *queue,
				  wwh_job_answered_t done, void *client_data)
{
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };

	if (!wwh_job_holder_claim_confirmed(holder, holder->now_ms)) {
		answer_not_done("not-confirmed", done, client_data);
		return;
	}
	answer.pending = wwh_scheduler_pending(holder->scheduler, queue);
	done(&answer, client_data);
}

void job_holder_answer_durable(wwh_job_holder_t *holder, int64_t record)
{
	while (!g_queue_is_empty(holder->waiters)) {
		waiter_t *waiter = g_queue_peek_head(holder->waiters);

		if (waiter->record > record)
			return;
		g_queue_pop_head(holder->waiters);
		waiter->done(&waiter->answer, waiter->client_data);
		g_free(waiter);
	}
}

/* The waiters' records may be stored or not, so the answer is "unknown". */
void job_holder_abort_waiters(wwh_job_holder_t *holder)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_UNKNOWN,
		.why = "holder-changed",
	};

	while (!g_queue_is_empty(holder->waiters)) {
		waiter_t *waiter = g_queue_pop_head(holder->waiters);

		waiter->done(&answer, waiter->client_data);
		g_free(waiter);
	}
}

/* Waiters are sorted by record number; most new ones belong at the tail. */
static void wait_for_record(wwh_job_holder_t *holder, int64_t record,
			    const char *job, const wwh_job_answer_t *answer,
			    wwh_job_answered_t done, void *client_data)
{
	GList *at = holder->waiters->tail;
	waiter_t *waiter;

	if (record <= holder->durable_record) {
		done(answer, client_data);
		return;
	}
	waiter = g_new0(waiter_t, 1);
	waiter->record = record;
	g_strlcpy(waiter->job, job, sizeof(waiter->job));
	waiter->answer = *answer;
	waiter->done = done;
	waiter->client_data = client_data;
	while (at != NULL && ((waiter_t *)at->data)->record > record)
		at = at->prev;
	if (at == NULL)
		g_queue_push_head(holder->waiters, waiter);
	else
		g_queue_insert_after(holder->waiters, at, waiter);
}

/*
 * Returns by how much the first start of job is expected to miss its latest
 * time; 0 or less: it isn't late. A holder that accepts more than it can start
 * makes all jobs late, so a job that is bound to be late is refused while its
 * caller can still retry. Jobs with lasting tasks and timed jobs are exempt:
 * they are few, and their tasks are started first.
 */
static int64_t expected_lateness_ms(const wwh_job_holder_t *holder,
				    const wwh_job_t *job)
{
	int64_t slack_ms = wwh_scheduler_slack_ms(job);
	int32_t tasks = wwh_scheduler_backlog(holder->scheduler,
					      job->queue.pool, job->workspace);
	int64_t wait_ms = wwh_start_rate_wait_ms(holder->start_rate, tasks);

	if (slack_ms < 0)
		return 0;
	/* almost nothing is started before the holder has recovered */
	if (holder->overloaded || wwh_job_holder_is_large(holder))
		wait_ms = MAX(wait_ms,
			      wwh_scheduler_recovery_ms(holder->scheduler,
							holder->now_ms));
	return wait_ms - slack_ms;
}

static void refuse_overloaded(wwh_job_holder_t *holder, const wwh_job_t *job,
			      int64_t late_ms, wwh_job_answered_t done,
			      void *client_data)
{
	int64_t wait_s = (late_ms + SECOND_MS - 1) / SECOND_MS;
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "overloaded",
		.retry_after_s = MIN(wait_s, OVERLOADED_RETRY_AFTER_MAX_S),
	};

	wwh_counter_add(holder->overload_refusals, 1);
	wwh_event_log_printf(
		holder->options.log, "job-refused", job->id,
		"why=overloaded queue=%s late_by_ms=%" G_GINT64_FORMAT
		" starts_per_s=%" G_GINT64_FORMAT,
		job->queue.name, late_ms,
		wwh_start_rate_per_s(holder->start_rate));
	done(&answer, client_data);
}

static void answer_not_done(const char *why, wwh_job_answered_t done,
			    void *client_data)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = why,
		.retry_after_s = STALLED_RETRY_AFTER_S,
	};

	done(&answer, client_data);
}
