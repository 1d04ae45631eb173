#include "waxwinghollow/pool_admission.h"

#include <glib.h>

/*
 * A result is of use up to this many times the objective, as in
 * scheduler_policy.
 */
#define USEFUL_FACTOR 3

#define SECOND_MS 1000
#define PERMILLE 1000

/*
 * Estimates are off by up to half. Jobs that take longer than this relative to
 * their estimates waited between their steps, which the queue shows as well.
 */
#define MAX_PATH_PERMILLE 1500

/* Callers don't retry after a longer wait. */
#define RETRY_AFTER_MAX_S 5

/* Waits are computed up to this; no objective is as long. */
#define HORIZON_MS (INT64_C(1) << 26)

/* Rejected jobs are remembered for this long, and this many of them. */
#define REMEMBERED_MS 10000
#define REMEMBERED_MAX 4096

/* Time that a caller's retry may take to arrive after it was due. */
#define RETRY_TRANSIT_MS 500

/*
 * The part of the capacity that work of lower priority is expected to get at
 * least, however much goes before it: the rate of that work is an average of
 * the last second, and a short peak of it must not reject all other work.
 */
#define MIN_CAPACITY_DIVISOR 8

typedef struct {
	char *id;
	char *workspace; /* NULL: none */
	int64_t work;
	int64_t rejected_ms;
	int64_t retry_ms;
} rejected_t;

struct wwh_pool_admission {
	GHashTable *rejected; /* id to rejected_t, owned by order */
	GQueue *order; /* rejected_t by the time of rejection */
};

static void decide_by_model(const wwh_pool_admission_t *admission,
			    const wwh_pool_room_t *room,
			    const wwh_admission_job_t *job, bool returns,
			    int64_t now_ms, wwh_admission_verdict_t *verdict);
static bool is_modelled(const wwh_pool_room_t *room,
			const wwh_admission_job_t *job);
static bool is_free(const wwh_pool_room_t *room,
		    const wwh_admission_job_t *job);
static int64_t rate_millicores(const wwh_pool_room_t *room);
static int64_t startable_work(const wwh_pool_room_t *room, int64_t at_ms);
static int64_t time_to_start_ms(const wwh_pool_room_t *room, int64_t work);
static int64_t work_ahead(const wwh_pool_room_t *room,
			  const wwh_admission_job_t *job);
static int64_t turns_of(const wwh_pool_room_t *room,
			const wwh_admission_job_t *job, int32_t other,
			int64_t own_work);
static int64_t use_of_others(const wwh_pool_room_t *room,
			     const wwh_admission_job_t *job);
static bool has_queued_in_time(const wwh_pool_room_t *room);
static bool displaces(const wwh_pool_room_t *room,
		      const wwh_admission_job_t *job);
static int64_t observed_ms(const wwh_pool_room_t *room, int64_t estimate_ms);
static int64_t reserved_work(const wwh_pool_admission_t *admission,
			     const wwh_admission_job_t *job, int64_t from_ms,
			     int64_t to_ms);
static bool forget(wwh_pool_admission_t *admission, const char *id);
static void expire(wwh_pool_admission_t *admission, int64_t now_ms);
static void remember(wwh_pool_admission_t *admission,
		     const wwh_admission_job_t *job, int64_t now_ms,
		     int64_t retry_after_s);
static void predict(const wwh_pool_room_t *room, const wwh_admission_job_t *job,
		    int64_t ahead, wwh_admission_verdict_t *verdict);
static wwh_admission_reason_t judge(const wwh_pool_room_t *room,
				    const wwh_admission_job_t *job,
				    const wwh_admission_verdict_t *verdict);
static void rejected_delete(gpointer data);

const char *const wwh_admission_reason_names[WWH_ADMISSION_REASON_COUNT] = {
	"exempt",     "no-model", "free", "in-time",
	"late-alone", "too-late", "late", "displaces",
};

wwh_pool_admission_t *wwh_pool_admission_new(void)
{
	wwh_pool_admission_t *admission = g_new0(wwh_pool_admission_t, 1);

	admission->rejected = g_hash_table_new(g_str_hash, g_str_equal);
	admission->order = g_queue_new();
	return admission;
}

void wwh_pool_admission_delete(wwh_pool_admission_t *admission)
{
	if (admission == NULL)
		return;
	g_hash_table_destroy(admission->rejected);
	g_queue_free_full(admission->order, rejected_delete);
	g_free(admission);
}

wwh_admission_verdict_t
wwh_pool_admission_decide(wwh_pool_admission_t *admission,
			  const wwh_pool_room_t *room,
			  const wwh_admission_job_t *job, int64_t now_ms)
{
	wwh_admission_verdict_t verdict = { .start_ms = -1, .end_ms = -1 };
	bool returns;

	expire(admission, now_ms);
	returns = forget(admission, job->id);
	if (job->exempt) {
		verdict.reason = WWH_ADMISSION_EXEMPT;
	} else if (is_free(room, job)) {
		verdict.reason = WWH_ADMISSION_FREE;
		verdict.start_ms = room->start_wait_ms;
		verdict.end_ms = room->start_wait_ms + job->critical_path_ms;
	} else if (!is_modelled(room, job)) {
		verdict.reason = WWH_ADMISSION_NO_MODEL;
	} else {
		decide_by_model(admission, room, job, returns, now_ms,
				&verdict);
	}
	verdict.accepted = verdict.reason < WWH_ADMISSION_TOO_LATE;
	if (verdict.accepted)
		return verdict;
	verdict.capacity_ms = MAX(verdict.end_ms - job->objective_ms, 1);
	verdict.retry_after_s =
		wwh_admission_retry_after_s(verdict.capacity_ms, job->id);
	remember(admission, job, now_ms, verdict.retry_after_s);
	return verdict;
}

static void decide_by_model(const wwh_pool_admission_t *admission,
			    const wwh_pool_room_t *room,
			    const wwh_admission_job_t *job, bool returns,
			    int64_t now_ms, wwh_admission_verdict_t *verdict)
{
	wwh_pool_room_t left = *room;
	int64_t ahead = work_ahead(room, job);

	if (job->workspace != WWH_POOL_NO_WORKSPACE)
		left.overtaking_millicores += use_of_others(room, job);
	predict(&left, job, ahead, verdict);
	if (!returns) {
		ahead +=
			reserved_work(admission, job, now_ms - RETRY_TRANSIT_MS,
				      now_ms + verdict->start_ms);
		predict(&left, job, ahead, verdict);
	}
	verdict->reason = judge(&left, job, verdict);
}

void wwh_pool_room_add_change(wwh_pool_room_t *room, int64_t due_ms,
			      int64_t millicores)
{
	wwh_pool_change_t *last = &room->changes[WWH_POOL_CHANGES_MAX - 1];

	if (room->change_count < WWH_POOL_CHANGES_MAX) {
		room->changes[room->change_count++] =
			(wwh_pool_change_t){ .due_ms = MAX(due_ms, 0),
					     .millicores = millicores };
		return;
	}
	last->due_ms = MAX(last->due_ms, due_ms);
	last->millicores += millicores;
}

int64_t wwh_admission_retry_after_s(int64_t wait_ms, const char *id)
{
	int64_t wait_s = CLAMP((wait_ms + SECOND_MS - 1) / SECOND_MS, 1,
			       RETRY_AFTER_MAX_S - 1);

	return MIN(wait_s + g_str_hash(id) % (1 + (wait_s + 1) / 2),
		   RETRY_AFTER_MAX_S);
}

/*
 * A fluid has no parts that fit nowhere, and flows only if it has a rate. An
 * objective that no pool could meet says nothing about when the job is of use.
 */
static bool is_modelled(const wwh_pool_room_t *room,
			const wwh_admission_job_t *job)
{
	return room->usable_millicores > 0 &&
	       job->critical_path_ms <= USEFUL_FACTOR * job->objective_ms &&
	       job->widest_step_millicores <= room->usable_millicores &&
	       job->largest_task_millicores <= room->largest_host_millicores;
}

static bool is_free(const wwh_pool_room_t *room, const wwh_admission_job_t *job)
{
	return !room->has_queue ||
	       (job->largest_task_millicores <= room->largest_free_millicores &&
		job->widest_step_millicores <= room->free_millicores);
}

static int64_t rate_millicores(const wwh_pool_room_t *room)
{
	return MAX(room->usable_millicores - room->overtaking_millicores,
		   room->usable_millicores / MIN_CAPACITY_DIVISOR);
}

/*
 * The work that can be started within at_ms. A full pool in a steady state
 * starts as much as it ends: its capacity, and its running tasks have half of
 * their durations left. If they have more left, because all of them started
 * recently, the start of other work is delayed by the difference.
 */
static int64_t startable_work(const wwh_pool_room_t *room, int64_t at_ms)
{
	int64_t excess =
		MAX(room->running_work - room->running_span_work / 2, 0);
	int64_t work = rate_millicores(room) * at_ms - excess;

	work = MAX(work, room->free_millicores * at_ms);
	for (int32_t i = 0; i < room->change_count; i++) {
		const wwh_pool_change_t *change = &room->changes[i];

		if (at_ms > change->due_ms)
			work += change->millicores * (at_ms - change->due_ms);
	}
	return MAX(work, 0);
}

/* startable_work never decreases much, so a binary search finds the time. */
static int64_t time_to_start_ms(const wwh_pool_room_t *room, int64_t work)
{
	int64_t low = 0;
	int64_t high = HORIZON_MS;

	if (work <= 0)
		return 0;
	while (low < high) {
		int64_t middle = low + (high - low) / 2;

		if (startable_work(room, middle) >= work)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

/*
 * Without workspaces, the work before the job is what is ordered before it.
 * Workspaces of a full pool take turns according to their weights, so that of
 * another one only as much starts earlier as its turns allow.
 */
static int64_t work_ahead(const wwh_pool_room_t *room,
			  const wwh_admission_job_t *job)
{
	int64_t own = 0;
	int64_t unshared = 0;
	int64_t turns = 0;
	int64_t all = 0;

	for (int32_t i = 0; i < room->queued_count; i++) {
		const wwh_pool_queued_t *row = &room->queued[i];

		if (row->order > job->order)
			break;
		all += row->work;
		if (row->workspace == job->workspace)
			own += row->work;
		else if (row->workspace == WWH_POOL_NO_WORKSPACE)
			unshared += row->work;
	}
	if (job->workspace == WWH_POOL_NO_WORKSPACE)
		return all;
	for (int32_t i = 0; i < room->workspace_count; i++) {
		if (i != job->workspace)
			turns += turns_of(room, job, i, own + job->work);
	}
	return unshared + own + turns;
}

/* The work of another workspace that starts before own_work of the job's. */
static int64_t turns_of(const wwh_pool_room_t *room,
			const wwh_admission_job_t *job, int32_t other,
			int64_t own_work)
{
	const wwh_pool_workspace_t *row = &room->workspaces[other];
	int64_t own_weight = room->workspaces[job->workspace].weight;
	double turns = (double)own_work * (double)MAX(row->weight, 1) /
		       (double)MAX(own_weight, 1);

	return (int64_t)MIN(turns, (double)row->queued_work);
}

/*
 * The capacity that workspaces with little queued work are expected to go on
 * using, at most their shares: their jobs are started before those of a
 * workspace that exceeds its share. Those with more queued work take turns.
 */
static int64_t use_of_others(const wwh_pool_room_t *room,
			     const wwh_admission_job_t *job)
{
	int64_t weights = 0;
	int64_t use = 0;

	for (int32_t i = 0; i < room->workspace_count; i++) {
		if (i == job->workspace ||
		    room->workspaces[i].accepted_millicores > 0)
			weights += MAX(room->workspaces[i].weight, 1);
	}
	for (int32_t i = 0; i < room->workspace_count; i++) {
		const wwh_pool_workspace_t *other = &room->workspaces[i];
		int64_t share;

		if (i == job->workspace || other->accepted_millicores <= 0 ||
		    turns_of(room, job, i, job->work) < other->queued_work)
			continue;
		share = room->usable_millicores * MAX(other->weight, 1) /
			weights;
		use += MIN(other->accepted_millicores, share);
	}
	return use;
}

/* How long work of this estimate takes, judging by recent jobs. */
static int64_t observed_ms(const wwh_pool_room_t *room, int64_t estimate_ms)
{
	return estimate_ms *
	       CLAMP(room->path_permille, PERMILLE, MAX_PATH_PERMILLE) /
	       PERMILLE;
}

static void predict(const wwh_pool_room_t *room, const wwh_admission_job_t *job,
		    int64_t ahead, wwh_admission_verdict_t *verdict)
{
	int64_t all_started_ms = time_to_start_ms(room, ahead + job->work);

	verdict->start_ms =
		MAX(time_to_start_ms(room, ahead), room->start_wait_ms);
	verdict->end_ms = MAX(
		verdict->start_ms + observed_ms(room, job->critical_path_ms),
		all_started_ms + observed_ms(room, job->last_task_ms));
}

static wwh_admission_reason_t judge(const wwh_pool_room_t *room,
				    const wwh_admission_job_t *job,
				    const wwh_admission_verdict_t *verdict)
{
	if (verdict->end_ms > USEFUL_FACTOR * job->objective_ms)
		return WWH_ADMISSION_TOO_LATE;
	if (verdict->end_ms > job->objective_ms)
		return has_queued_in_time(room) ? WWH_ADMISSION_LATE
						: WWH_ADMISSION_LATE_ALONE;
	return displaces(room, job) ? WWH_ADMISSION_DISPLACES
				    : WWH_ADMISSION_IN_TIME;
}

static bool has_queued_in_time(const wwh_pool_room_t *room)
{
	for (int32_t i = 0; i < room->queued_count; i++) {
		if (room->queued[i].in_time)
			return true;
	}
	return false;
}

/*
 * Whether the job, if started in its order, makes a queued job late that would
 * be in time without it. Only jobs of the same priority and workspace count:
 * work of a lower priority doesn't keep out work of a higher one, and a
 * workspace that exceeds its share doesn't keep out the others.
 */
static bool displaces(const wwh_pool_room_t *room,
		      const wwh_admission_job_t *job)
{
	int64_t before = 0;

	for (int32_t i = 0; i < room->queued_count; i++) {
		const wwh_pool_queued_t *row = &room->queued[i];
		int64_t startable;

		before += row->work;
		if (row->order <= job->order || !row->in_time ||
		    row->priority != job->priority ||
		    row->workspace != job->workspace)
			continue;
		startable = startable_work(
			room, MAX(row->objective_left_ms -
					  observed_ms(room, job->last_task_ms),
				  0));
		if (startable >= before && startable < before + job->work)
			return true;
	}
	return false;
}

/*
 * Work of rejected jobs of the same workspace whose callers retry between
 * from_ms and to_ms. They asked earlier than the callers of new jobs.
 */
static int64_t reserved_work(const wwh_pool_admission_t *admission,
			     const wwh_admission_job_t *job, int64_t from_ms,
			     int64_t to_ms)
{
	int64_t work = 0;

	for (const GList *at = admission->order->tail; at != NULL;
	     at = at->prev) {
		const rejected_t *row = at->data;

		if (row->rejected_ms < from_ms - RETRY_AFTER_MAX_S * SECOND_MS)
			break;
		if (row->retry_ms >= from_ms && row->retry_ms <= to_ms &&
		    g_strcmp0(row->workspace, job->workspace_name) == 0)
			work += row->work;
	}
	return work;
}

/* Returns whether the job was rejected before and is now forgotten. */
static bool forget(wwh_pool_admission_t *admission, const char *id)
{
	GList *at = g_hash_table_lookup(admission->rejected, id);

	if (at == NULL)
		return false;
	g_hash_table_remove(admission->rejected, id);
	rejected_delete(at->data);
	g_queue_delete_link(admission->order, at);
	return true;
}

static void expire(wwh_pool_admission_t *admission, int64_t now_ms)
{
	const rejected_t *oldest;

	while ((oldest = g_queue_peek_head(admission->order)) != NULL &&
	       (now_ms - oldest->rejected_ms > REMEMBERED_MS ||
		admission->order->length > REMEMBERED_MAX))
		(void)forget(admission, oldest->id);
}

static void remember(wwh_pool_admission_t *admission,
		     const wwh_admission_job_t *job, int64_t now_ms,
		     int64_t retry_after_s)
{
	rejected_t *row = g_new0(rejected_t, 1);

	row->id = g_strdup(job->id);
	row->workspace = g_strdup(job->workspace_name);
	row->work = job->work;
	row->rejected_ms = now_ms;
	row->retry_ms = now_ms + retry_after_s * SECOND_MS;
	g_queue_push_tail(admission->order, row);
	g_hash_table_insert(admission->rejected, row->id,
			    admission->order->tail);
	expire(admission, now_ms);
}

static void rejected_delete(gpointer data)
{
	rejected_t *row = data;

	g_free(row->id);
	g_free(row->workspace);
	g_free(row);
}
