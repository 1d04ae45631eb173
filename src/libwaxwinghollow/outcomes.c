#include "waxwinghollow/outcomes.h"

#include <glib.h>
#include <string.h>

typedef struct {
	char *task_id;
	bool ended_well;
} run_t;

typedef struct {
	char *id;
	run_t runs[WWH_OUTCOMES_KEPT];
	int32_t count;
	int32_t next; /* index that the next run overwrites */
} worker_t;

typedef struct {
	char *id;
	bool ended_well_once;
	int32_t failed_on_count;
	char *failed_on[WWH_TASK_BAD_WORKERS];
} task_t;

struct wwh_outcomes {
	GHashTable *workers; /* id to worker_t */
	GHashTable *tasks; /* id to task_t */
	GPtrArray *order; /* of worker_t, in the order of first runs */
};

typedef struct {
	int32_t runs;
	int32_t failed;
} failure_rate_t;

static void task_free(gpointer data);
static void worker_free(gpointer data);
static worker_t *get_worker(wwh_outcomes_t *outcomes, const char *id);
static task_t *get_task(wwh_outcomes_t *outcomes, const char *id);
static void record_failure(task_t *task, const char *worker_id);
static failure_rate_t failure_rate_of(const wwh_outcomes_t *outcomes,
				      const worker_t *worker);
static bool has_newer_run(const worker_t *worker, int32_t at);

wwh_outcomes_t *wwh_outcomes_new(void)
{
	wwh_outcomes_t *outcomes = g_new0(wwh_outcomes_t, 1);

	outcomes->workers = g_hash_table_new(g_str_hash, g_str_equal);
	outcomes->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	outcomes->order = g_ptr_array_new_with_free_func(worker_free);
	return outcomes;
}

void wwh_outcomes_delete(wwh_outcomes_t *outcomes)
{
	if (!outcomes)
		return;
	g_hash_table_destroy(outcomes->workers);
	g_hash_table_destroy(outcomes->tasks);
	g_ptr_array_unref(outcomes->order);
	g_free(outcomes);
}

void wwh_outcomes_record(wwh_outcomes_t *outcomes, const char *task_id,
			 const char *worker_id, bool ended_well)
{
	worker_t *worker = get_worker(outcomes, worker_id);
	task_t *task = get_task(outcomes, task_id);
	run_t *run = &worker->runs[worker->next];

	g_free(run->task_id);
	run->task_id = g_strdup(task_id);
	run->ended_well = ended_well;
	worker->next = (worker->next + 1) % WWH_OUTCOMES_KEPT;
	worker->count = MIN(worker->count + 1, WWH_OUTCOMES_KEPT);
	if (ended_well)
		task->ended_well_once = true;
	else
		record_failure(task, worker_id);
}

void wwh_outcomes_forget_worker(wwh_outcomes_t *outcomes, const char *worker_id)
{
	worker_t *worker = g_hash_table_lookup(outcomes->workers, worker_id);

	if (!worker)
		return;
	g_hash_table_remove(outcomes->workers, worker_id);
	g_ptr_array_remove(outcomes->order, worker);
}

void wwh_outcomes_forget_task(wwh_outcomes_t *outcomes, const char *task_id)
{
	g_hash_table_remove(outcomes->tasks, task_id);
}

bool wwh_outcomes_task_is_bad(const wwh_outcomes_t *outcomes,
			      const char *task_id)
{
	const task_t *task = g_hash_table_lookup(outcomes->tasks, task_id);

	return task && !task->ended_well_once &&
	       task->failed_on_count >= WWH_TASK_BAD_WORKERS;
}

bool wwh_outcomes_failed_on(const wwh_outcomes_t *outcomes, const char *task_id,
			    const char *worker_id)
{
	const task_t *task = g_hash_table_lookup(outcomes->tasks, task_id);

	if (!task || task->ended_well_once)
		return false;
	for (int32_t i = 0; i < task->failed_on_count; i++) {
		if (strcmp(task->failed_on[i], worker_id) == 0)
			return true;
	}
	return false;
}

bool wwh_outcomes_worker_is_bad(const wwh_outcomes_t *outcomes,
				const char *worker_id)
{
	const worker_t *worker =
		g_hash_table_lookup(outcomes->workers, worker_id);
	failure_rate_t others = { 0 };
	failure_rate_t own;

	if (!worker)
		return false;
	own = failure_rate_of(outcomes, worker);
	if (own.runs < WWH_WORKER_BAD_RUNS || own.failed * 2 < own.runs)
		return false;
	for (guint i = 0; i < outcomes->order->len; i++) {
		const worker_t *other = g_ptr_array_index(outcomes->order, i);
		failure_rate_t rate;

		if (other == worker)
			continue;
		rate = failure_rate_of(outcomes, other);
		others.runs += rate.runs;
		others.failed += rate.failed;
	}
	/* Without runs on other workers there is no comparison. */
	if (others.runs < WWH_WORKER_BAD_RUNS)
		return false;
	return (int64_t)own.failed * others.runs >=
	       (int64_t)WWH_WORKER_BAD_RATIO * others.failed * own.runs;
}

static void task_free(gpointer data)
{
	task_t *task = data;

	for (int32_t i = 0; i < task->failed_on_count; i++)
		g_free(task->failed_on[i]);
	g_free(task->id);
	g_free(task);
}

static void worker_free(gpointer data)
{
	worker_t *worker = data;

	for (int32_t i = 0; i < WWH_OUTCOMES_KEPT; i++)
		g_free(worker->runs[i].task_id);
	g_free(worker->id);
	g_free(worker);
}

static worker_t *get_worker(wwh_outcomes_t *outcomes, const char *id)
{
	worker_t *worker = g_hash_table_lookup(outcomes->workers, id);

	if (worker)
		return worker;
	worker = g_new0(worker_t, 1);
	worker->id = g_strdup(id);
	g_hash_table_insert(outcomes->workers, worker->id, worker);
	g_ptr_array_add(outcomes->order, worker);
	return worker;
}

static task_t *get_task(wwh_outcomes_t *outcomes, const char *id)
{
	task_t *task = g_hash_table_lookup(outcomes->tasks, id);

	if (task)
		return task;
	task = g_new0(task_t, 1);
	task->id = g_strdup(id);
	g_hash_table_insert(outcomes->tasks, task->id, task);
	return task;
}

static void record_failure(task_t *task, const char *worker_id)
{
	for (int32_t i = 0; i < task->failed_on_count; i++) {
		if (strcmp(task->failed_on[i], worker_id) == 0)
			return;
	}
	if (task->failed_on_count < WWH_TASK_BAD_WORKERS)
		task->failed_on[task->failed_on_count++] = g_strdup(worker_id);
}

/* Counts each task once, by its last run on worker, and no bad tasks. */
static failure_rate_t failure_rate_of(const wwh_outcomes_t *outcomes,
				      const worker_t *worker)
{
	failure_rate_t rate = { 0 };

	for (int32_t i = 0; i < worker->count; i++) {
		const run_t *run = &worker->runs[i];

		if (has_newer_run(worker, i) ||
		    wwh_outcomes_task_is_bad(outcomes, run->task_id))
			continue;
		rate.runs++;
		if (!run->ended_well)
			rate.failed++;
	}
	return rate;
}

/* Whether a newer run of the same task is stored. */
static bool has_newer_run(const worker_t *worker, int32_t at)
{
	int32_t age = (worker->next - 1 - at + 2 * WWH_OUTCOMES_KEPT) %
		      WWH_OUTCOMES_KEPT;

	for (int32_t newer = 0; newer < age; newer++) {
		int32_t index =
			(worker->next - 1 - newer + 2 * WWH_OUTCOMES_KEPT) %
			WWH_OUTCOMES_KEPT;

		if (strcmp(worker->runs[index].task_id,
			   worker->runs[at].task_id) == 0)
			return true;
	}
	return false;
}
