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

/*
 * A job whose record is unreadable was accepted, and its state is lost. It is
 * neither accepted again, as its tasks would run twice, nor reported unknown.
 */
#define REASON_RECORD_UNREADABLE "record-unreadable"

static const wwh_job_answer_t too_large = {
	.kind = WWH_JOB_ANSWER_TOO_LARGE,
	.why = "record-too-large",
};

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
static void answer_not_done(const wwh_job_holder_t *holder, const char *id,
			    const char *why, wwh_job_answered_t done,
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
	wwh_admission_verdict_t verdict = { .start_ms = -1, .end_ms = -1 };
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };
	char id[WWH_JOB_ID_CHARS + 1];
	bool known = wwh_scheduler_job_state(holder->scheduler, job->id) !=
			     WWH_PROGRESS_UNKNOWN ||
		     wwh_scheduler_has_tombstone(holder->scheduler, job->id);
	int64_t record;

	if (wwh_scheduler_job_is_unreadable(holder->scheduler, job->id)) {
		answer_not_done(holder, job->id, REASON_RECORD_UNREADABLE, done,
				client_data);
		wwh_job_delete(job);
		return;
	}
	if (holder->lost || holder->unconfirmed_since_ms != 0 ||
	    (is_stalled(holder) && !known)) {
		job_holder_update_outage(holder);
		answer_not_done(holder, job->id, "store-unreachable", done,
				client_data);
		wwh_job_delete(job);
		return;
	}
	if (!known && !wwh_scheduler_job_fits(holder->scheduler, job)) {
		wwh_job_delete(job);
		done(&too_large, client_data);
		return;
	}
	if (!known && !job_holder_admit(holder, job, &verdict, &answer)) {
		wwh_job_delete(job);
		done(&answer, client_data);
		return;
	}
	g_strlcpy(id, job->id, sizeof(id));
	holder->urgent = true;
	(void)wwh_scheduler_submit_expected(holder->scheduler, job, &verdict,
					    holder->now_ms, &record);
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
			answer_not_done(holder, waiter->job,
					"store-unreachable", waiter->done,
					waiter->client_data);
			g_free(waiter);
		}
		at = next;
	}
}

void job_holder_update_outage(wwh_job_holder_t *holder)
{
	wwh_outage_update(&holder->store_outage,
			  holder->unconfirmed_since_ms != 0 ||
				  is_stalled(holder),
			  holder->now_ms);
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

/*
 * A submission of the job may be on its way yet, in a process that stands still or
 * in a connection. To whom "no such job" is answered, it is cancelled for good: the
 * tombstone keeps that submission from running, also after a change of holder.
 */
void wwh_job_holder_cancel(wwh_job_holder_t *holder, const char *id,
			   const char *workspace, wwh_job_answered_t done,
			   void *client_data)
{
	wwh_job_answer_t answer = { .kind = WWH_JOB_ANSWER_OK };
	int64_t record;

	if (holder->lost || holder->unconfirmed_since_ms != 0) {
		answer_not_done(holder, id, "store-unreachable", done,
				client_data);
		return;
	}
	holder->urgent = true;
	if (wwh_scheduler_cancel(holder->scheduler, id, holder->now_ms,
				 &record)) {
		wait_for_record(holder, record, "", &answer, done, client_data);
	} else if (is_stalled(holder)) {
		answer_not_done(holder, id, "store-unreachable", done,
				client_data);
	} else if (wwh_scheduler_add_tombstone(holder->scheduler, id, workspace,
					       holder->now_ms, &record)) {
		answer.kind = WWH_JOB_ANSWER_NO_JOB;
		answer.why = "no-such-job";
		wait_for_record(holder, record, "", &answer, done, client_data);
	} else {
		answer_not_done(holder, id, "too-many-tombstones", done,
				client_data);
	}
	holder->urgent = false;
	wwh_shard_journal_run(holder->journal, holder->now_ms);
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
		answer_not_done(holder, id, REASON_RECORD_UNREADABLE, done,
				client_data);
		return;
	}
	answer.state = wwh_scheduler_job_state(holder->scheduler, id);
	if (answer.state == WWH_PROGRESS_UNKNOWN) {
		if (!wwh_job_holder_claim_confirmed(holder, holder->now_ms)) {
			answer_not_done(holder, id, "not-confirmed", done,
					client_data);
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
		answer_not_done(holder, queue, "not-confirmed", done,
				client_data);
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

/* A submission that waits for it was not accepted; a cancellation isn't stored. */
void job_holder_reject_waiters(wwh_job_holder_t *holder, int64_t record)
{
	static const wwh_job_answer_t unknown = {
		.kind = WWH_JOB_ANSWER_UNKNOWN,
		.why = "record-rejected",
	};
	GList *at = holder->waiters->head;

	while (at != NULL) {
		waiter_t *waiter = at->data;
		GList *next = at->next;

		if (waiter->record == record) {
			g_queue_delete_link(holder->waiters, at);
			waiter->done(waiter->job[0] != '\0' ? &too_large
							    : &unknown,
				     waiter->client_data);
			g_free(waiter);
		}
		at = next;
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
 * The Retry-After is how long the store has not responded, or usually doesn't.
 * Where it does respond, callers may retry as soon as they like.
 */
static void answer_not_done(const wwh_job_holder_t *holder, const char *id,
			    const char *why, wwh_job_answered_t done,
			    void *client_data)
{
	int64_t wait_ms =
		wwh_outage_wait_ms(&holder->store_outage, holder->now_ms);

	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = holder->handing_over ? WWH_JOB_WHY_HANDING_OVER : why,
		.retry_after_s = wwh_admission_retry_after_s(wait_ms, id),
	};

	done(&answer, client_data);
}
