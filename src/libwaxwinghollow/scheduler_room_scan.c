#include <string.h>

#include "private/scheduler_policy.h"
#include "private/scheduler_room.h"

/*
 * Progress below this says little about the duration: it includes the time that
 * the start took, and is listed late, in whole percent.
 */
#define MIN_PERCENT 10

/*
 * Estimates are off by up to half. A longer duration is derived from progress
 * that is listed but doesn't advance.
 */
#define MAX_ESTIMATE_PERCENT 150

/* A run that has outlasted its estimate has this part of it left. */
#define OVERDUE_DIVISOR 8

/* Work of one step is capped at this; sums of it must not overflow. */
#define MAX_WORK (INT64_C(1) << 48)

static void scan_upstreams(const wwh_scheduler_t *scheduler,
			   sched_pool_t *pool);
static void scan_tasks(const wwh_scheduler_t *scheduler,
		       const sched_upstream_t *upstream, sched_room_t *room);
static int64_t run_left_ms(const wwh_scheduler_t *scheduler,
			   const sched_task_t *task, int64_t estimate_ms);
static void scan_jobs(wwh_scheduler_t *scheduler, sched_pool_t *pool);
static void add_row(const wwh_scheduler_t *scheduler, sched_room_t *room,
		    const sched_occurrence_t *occurrence);
static void move_last_row(sched_room_t *room);
static void append_row(const wwh_scheduler_t *scheduler, sched_room_t *room,
		       const char *workspace, const wwh_pool_queued_t *row);
static gint compare_rows(gconstpointer a, gconstpointer b);

void sched_room_scan(wwh_scheduler_t *scheduler, sched_pool_t *pool)
{
	sched_room_t *room = pool->room;

	room->scanned = true;
	room->scanned_ms = scheduler->now_ms;
	memset(&room->room, 0, sizeof(room->room));
	room->usable = (wwh_load_t){ 0 };
	room->host = (wwh_load_t){ 0 };
	g_array_set_size(room->rows, 0);
	g_array_set_size(room->workspaces, 0);
	g_hash_table_remove_all(room->indices);
	scan_upstreams(scheduler, pool);
	scan_jobs(scheduler, pool);
	for (guint i = room->rates->len; i-- > 0;) {
		if (sched_rate_now(&g_array_index(room->rates, sched_rate_t, i),
				   scheduler->now_ms) <= 0)
			g_array_remove_index_fast(room->rates, i);
	}
}

static void scan_upstreams(const wwh_scheduler_t *scheduler, sched_pool_t *pool)
{
	sched_room_t *room = pool->room;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);
		const wwh_load_t *size = &upstream->info.size;

		if (!sched_upstream_usable(scheduler, upstream))
			continue;
		wwh_load_add(&room->usable, size);
		room->host.cpu_millicores =
			MAX(room->host.cpu_millicores, size->cpu_millicores);
		room->host.memory_mb =
			MAX(room->host.memory_mb, size->memory_mb);
		room->host.gpus = MAX(room->host.gpus, size->gpus);
		room->room.usable_millicores += size->cpu_millicores;
		scan_tasks(scheduler, upstream, room);
	}
	room->room.usable_millicores = MAX(room->room.usable_millicores, 0);
	room->room.largest_host_millicores = room->host.cpu_millicores;
}

static void scan_tasks(const wwh_scheduler_t *scheduler,
		       const sched_upstream_t *upstream, sched_room_t *room)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		const wwh_job_step_t *spec = task->step->spec;
		wwh_load_t load = sched_step_reserved_load(spec);
		int64_t millicores =
			sched_room_equivalent(&load, &upstream->info.size);
		int64_t estimate_ms = wwh_job_estimate_ms(spec);

		if (spec->lasting) {
			room->room.usable_millicores -= millicores;
			continue;
		}
		room->room.running_work +=
			millicores * run_left_ms(scheduler, task, estimate_ms);
		room->room.running_span_work += millicores * estimate_ms;
	}
}

/* By the progress that the upstream lists, and before that by the estimate. */
static int64_t run_left_ms(const wwh_scheduler_t *scheduler,
			   const sched_task_t *task, int64_t estimate_ms)
{
	int64_t age_ms = scheduler->now_ms - task->ordered_ms;
	int64_t duration_ms = estimate_ms;

	if (task->percent >= MIN_PERCENT && task->percent <= 100 &&
	    task->percent_ms > task->ordered_ms)
		duration_ms = MIN((task->percent_ms - task->ordered_ms) * 100 /
					  task->percent,
				  estimate_ms * MAX_ESTIMATE_PERCENT / 100);
	return MAX(duration_ms - age_ms, estimate_ms / OVERDUE_DIVISOR);
}

static void scan_jobs(wwh_scheduler_t *scheduler, sched_pool_t *pool)
{
	for (guint i = 0; i < pool->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(pool->live, i);

		if (!sched_job_is_live(job))
			continue;
		for (guint k = 0; k < job->occurrences->len; k++)
			add_row(scheduler, pool->room,
				g_ptr_array_index(job->occurrences, k));
	}
	g_array_sort(pool->room->rows, compare_rows);
}

static void add_row(const wwh_scheduler_t *scheduler, sched_room_t *room,
		    const sched_occurrence_t *occurrence)
{
	const sched_job_t *job = occurrence->job;
	wwh_policy_order_input_t input = {
		.priority = job->spec->queue.priority,
		.waited_ms = scheduler->now_ms - occurrence->due_ms,
		.objective_ms = job->objective_ms,
	};
	wwh_pool_queued_t row = { .priority = input.priority };

	for (int32_t i = 0; i < job->spec->step_count; i++) {
		const sched_step_t *step = &occurrence->steps[i];
		int64_t tasks =
			step->spec->task_count - step->done - step->outstanding;

		if (!step->spec->lasting)
			row.work += sched_room_step_work(step->spec, tasks,
							 &room->host);
	}
	if (row.work == 0)
		return;
	input.remaining_ms = sched_occurrence_remaining_ms(occurrence);
	row.order = wwh_policy_order_key(&input);
	row.objective_left_ms = input.objective_ms - input.waited_ms;
	row.in_time = input.remaining_ms <= row.objective_left_ms;
	append_row(scheduler, room, job->workspace, &row);
}

static void append_row(const wwh_scheduler_t *scheduler, sched_room_t *room,
		       const char *workspace, const wwh_pool_queued_t *row)
{
	wwh_pool_queued_t copy = *row;

	copy.workspace = sched_room_workspace(scheduler, room, workspace);
	g_array_append_val(room->rows, copy);
	if (copy.workspace != WWH_POOL_NO_WORKSPACE)
		g_array_index(room->workspaces, wwh_pool_workspace_t,
			      copy.workspace)
			.queued_work += copy.work;
}

void sched_room_insert(const wwh_scheduler_t *scheduler, sched_room_t *room,
		       const sched_occurrence_t *occurrence)
{
	add_row(scheduler, room, occurrence);
	move_last_row(room);
}

/* Moves the row that was appended to its place in the order. */
static void move_last_row(sched_room_t *room)
{
	wwh_pool_queued_t *rows = (wwh_pool_queued_t *)(void *)room->rows->data;

	for (guint i = room->rows->len; i > 1; i--) {
		wwh_pool_queued_t row = rows[i - 1];

		if (rows[i - 2].order <= row.order)
			return;
		rows[i - 1] = rows[i - 2];
		rows[i - 2] = row;
	}
}

int32_t sched_room_workspace(const wwh_scheduler_t *scheduler,
			     sched_room_t *room, const char *name)
{
	wwh_pool_workspace_t row = { .weight = 1 };
	const int64_t *weight;
	int32_t index;

	if (name == NULL)
		return WWH_POOL_NO_WORKSPACE;
	index = GPOINTER_TO_INT(g_hash_table_lookup(room->indices, name));
	if (index > 0)
		return index - 1;
	weight = g_hash_table_lookup(scheduler->weights, name);
	if (weight != NULL)
		row.weight = MAX(*weight, 1);
	g_array_append_val(room->workspaces, row);
	index = (int32_t)room->workspaces->len;
	g_hash_table_insert(room->indices, g_strdup(name),
			    GINT_TO_POINTER(index));
	return index - 1;
}

static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const wwh_pool_queued_t *left = a;
	const wwh_pool_queued_t *right = b;

	return left->order < right->order ? -1 : left->order > right->order;
}

int64_t sched_room_equivalent(const wwh_load_t *load, const wwh_load_t *whole)
{
	double part = 0;

	if (whole->cpu_millicores <= 0)
		return load->cpu_millicores;
	part = (double)load->cpu_millicores / (double)whole->cpu_millicores;
	if (whole->memory_mb > 0)
		part = MAX(part,
			   (double)load->memory_mb / (double)whole->memory_mb);
	if (whole->gpus > 0)
		part = MAX(part, (double)load->gpus / (double)whole->gpus);
	return (int64_t)(MIN(part, (double)WWH_JOB_MAX_TASKS) *
			 (double)whole->cpu_millicores);
}

int64_t sched_room_step_work(const wwh_job_step_t *spec, int64_t tasks,
			     const wwh_load_t *host)
{
	wwh_load_t load = sched_step_reserved_load(spec);
	double work = (double)sched_room_equivalent(&load, host) *
		      (double)tasks * (double)wwh_job_estimate_ms(spec);

	return (int64_t)CLAMP(work, 0.0, (double)MAX_WORK);
}
