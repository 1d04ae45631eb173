#include <string.h>

#include "private/scheduler_policy.h"
#include "private/scheduler_room.h"

/*
 * The queue and the running work of a full pool are scanned at most this often.
 * A scan of 350 full upstreams and 1,000 jobs took 0.15 ms (bench_scheduler),
 * too much for each of hundreds of submissions a second. Jobs that are accepted
 * meanwhile are added one by one.
 */
#define SCAN_INTERVAL_MS 50

/* Rates of accepted and rejected work are averages of this time. */
#define RATE_WINDOW_MS 1000
#define REJECTED_WINDOW_MS 500

/* Number of jobs over which their durations are averaged. */
#define PATH_JOBS 64

/* A larger need fits nowhere, and sums of it must not overflow. */
#define MAX_LOAD (INT64_C(1) << 36)

static void rate_clear(gpointer data);
static bool has_queue(const sched_pool_t *pool);
static wwh_load_t first_load(const wwh_job_t *spec);
static wwh_load_t scaled(const wwh_load_t *load, int64_t count);
static int64_t free_millicores(const wwh_load_t *free, const wwh_load_t *whole);
static void set_rates(const wwh_scheduler_t *scheduler, sched_room_t *room,
		      const wwh_job_t *spec, wwh_pool_room_t *result);
static void describe_job(const wwh_scheduler_t *scheduler, sched_room_t *room,
			 const wwh_job_t *spec, wwh_admission_job_t *job);
static int64_t widest_step(const wwh_job_t *spec, const wwh_load_t *host,
			   wwh_admission_job_t *job);
static double rejected_share(const sched_room_t *room, int64_t now_ms);

sched_room_t *sched_room_new(void)
{
	sched_room_t *room = g_new0(sched_room_t, 1);

	room->rows = g_array_new(FALSE, FALSE, sizeof(wwh_pool_queued_t));
	room->workspaces =
		g_array_new(FALSE, FALSE, sizeof(wwh_pool_workspace_t));
	room->indices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	room->rates = g_array_new(FALSE, FALSE, sizeof(sched_rate_t));
	g_array_set_clear_func(room->rates, rate_clear);
	return room;
}

void sched_room_delete(sched_room_t *room)
{
	g_array_unref(room->rows);
	g_array_unref(room->workspaces);
	g_hash_table_destroy(room->indices);
	g_array_unref(room->rates);
	g_free(room);
}

void sched_room_end_pass(sched_pool_t *pool)
{
	/* deferred starts will use what they fit into */
	if (pool->has_deferred_starts)
		wwh_load_subtract(&pool->total_free, &pool->waiting_load);
	wwh_load_subtract(&pool->total_free, &pool->undurable_load);
}

void sched_room_count_start(sched_pool_t *pool, const sched_step_t *step,
			    int32_t count)
{
	wwh_load_t one = sched_step_reserved_load(step->spec);
	wwh_load_t load = scaled(&one, count);

	pool->waiting_tasks -= count;
	wwh_load_subtract(&pool->total_free, &load);
	wwh_load_subtract(&pool->waiting_load, &load);
}

void sched_room_count_ready(sched_pool_t *pool, const sched_step_t *step)
{
	wwh_load_t one = sched_step_reserved_load(step->spec);
	int32_t count = step->spec->task_count - step->done - step->outstanding;
	wwh_load_t load = scaled(&one, count);

	pool->waiting_tasks += count;
	wwh_load_add(&pool->waiting_load, &load);
}

void sched_room_count_undurable(sched_pool_t *pool, const sched_job_t *job)
{
	wwh_load_t load = first_load(job->spec);

	wwh_load_add(&pool->undurable_load, &load);
}

void sched_room_add_job(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	sched_room_t *room = job->pool->room;
	wwh_load_t load = first_load(job->spec);
	wwh_admission_job_t described;
	sched_rate_t *rate = NULL;

	wwh_load_subtract(&job->pool->total_free, &load);
	if (wwh_scheduler_slack_ms(job->spec) < 0 || !room->scanned)
		return;
	for (guint i = 0; i < room->rates->len; i++) {
		sched_rate_t *row =
			&g_array_index(room->rates, sched_rate_t, i);

		if (row->priority == job->spec->queue.priority &&
		    g_strcmp0(row->workspace, job->workspace) == 0)
			rate = row;
	}
	if (rate == NULL) {
		sched_rate_t row = { .workspace = g_strdup(job->workspace),
				     .priority = job->spec->queue.priority };

		g_array_append_val(room->rates, row);
		rate = &g_array_index(room->rates, sched_rate_t,
				      room->rates->len - 1);
	}
	describe_job(scheduler, room, job->spec, &described);
	rate->millicores = sched_rate_now(rate, scheduler->now_ms) +
			   (double)described.work / RATE_WINDOW_MS;
	rate->updated_ms = scheduler->now_ms;
	/* the next decision scans the pool */
	if (scheduler->now_ms - room->scanned_ms >= SCAN_INTERVAL_MS)
		return;
	sched_room_insert(scheduler, room,
			  g_ptr_array_index(job->occurrences, 0));
}

void sched_room_job_started(const wwh_scheduler_t *scheduler, sched_job_t *job)
{
	const wwh_scheduler_callbacks_t *calls = &scheduler->callbacks;

	if (job->first_start_ms != 0)
		return;
	job->first_start_ms = scheduler->now_ms;
	if (job->expected_start_ms >= 0 && calls->observe != NULL)
		calls->observe(false, job->expected_start_ms,
			       scheduler->now_ms - job->accepted_ms,
			       calls->client_data);
}

void sched_room_job_done(const wwh_scheduler_t *scheduler,
			 const sched_job_t *job)
{
	const wwh_scheduler_callbacks_t *calls = &scheduler->callbacks;
	sched_room_t *room = job->pool->room;
	double ratio;

	if (job->expected_end_ms >= 0 && calls->observe != NULL)
		calls->observe(true, job->expected_end_ms,
			       scheduler->now_ms - job->accepted_ms,
			       calls->client_data);
	if (job->first_start_ms == 0 || job->critical_path_ms <= 0 ||
	    wwh_scheduler_slack_ms(job->spec) < 0)
		return;
	ratio = (double)(scheduler->now_ms - job->first_start_ms) /
		(double)job->critical_path_ms;
	if (room->path_ratio <= 0)
		room->path_ratio = 1;
	room->path_ratio += (ratio - room->path_ratio) / PATH_JOBS;
}

void wwh_scheduler_admission_input(wwh_scheduler_t *scheduler,
				   const wwh_job_t *spec, int64_t now_ms,
				   wwh_admission_input_t *input)
{
	sched_pool_t *pool =
		g_hash_table_lookup(scheduler->pools, spec->queue.pool);

	memset(input, 0, sizeof(*input));
	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	input->job.id = spec->id;
	input->job.exempt = wwh_scheduler_slack_ms(spec) < 0;
	input->job.critical_path_ms = sched_critical_path_ms(spec);
	input->job.objective_ms = sched_objective_ms(spec);
	/* while a pool recovers, what it runs isn't known yet */
	if (pool == NULL || !has_queue(pool) || pool->unsettled > 0 ||
	    input->job.exempt)
		return;
	if (!pool->room->scanned ||
	    scheduler->now_ms - pool->room->scanned_ms >= SCAN_INTERVAL_MS)
		sched_room_scan(scheduler, pool);
	describe_job(scheduler, pool->room, spec, &input->job);
	input->room = pool->room->room;
	input->room.has_queue = true;
	input->room.free_millicores =
		free_millicores(&pool->total_free, &pool->room->usable);
	input->room.largest_free_millicores =
		MIN(free_millicores(&pool->max_free, &pool->room->host),
		    input->room.free_millicores);
	input->room.path_permille =
		(int64_t)(pool->room->path_ratio * PERMILLE);
	set_rates(scheduler, pool->room, spec, &input->room);
	input->room.queued =
		(const wwh_pool_queued_t *)(const void *)pool->room->rows->data;
	input->room.queued_count = (int32_t)pool->room->rows->len;
	input->room.workspaces = (const wwh_pool_workspace_t *)(const void *)
					 pool->room->workspaces->data;
	input->room.workspace_count = (int32_t)pool->room->workspaces->len;
}

void wwh_scheduler_note_rejected(wwh_scheduler_t *scheduler,
				 const wwh_admission_job_t *job,
				 const char *name, int64_t now_ms)
{
	sched_pool_t *pool = g_hash_table_lookup(scheduler->pools, name);
	double share;

	if (pool == NULL)
		return;
	share = rejected_share(pool->room, now_ms);
	pool->room->rejected_work =
		pool->room->rejected_work * share + (double)job->work;
	pool->room->rejected_millicores =
		pool->room->rejected_millicores * share +
		(double)job->widest_step_millicores;
	pool->room->rejected_ms = now_ms;
}

void sched_room_add_demand(const wwh_scheduler_t *scheduler,
			   const sched_pool_t *pool, wwh_pool_demand_t *demand)
{
	double share = rejected_share(pool->room, scheduler->now_ms);

	demand->recent_work += (int64_t)(pool->room->rejected_work * share);
	demand->recent_millicores +=
		(int64_t)(pool->room->rejected_millicores * share);
}

static void rate_clear(gpointer data)
{
	g_free(((sched_rate_t *)data)->workspace);
}

/* Jobs that came after the last pass wait as well if they don't fit. */
static bool has_queue(const sched_pool_t *pool)
{
	return pool->waiting_tasks > 0 || pool->total_free.cpu_millicores < 0 ||
	       pool->total_free.memory_mb < 0 || pool->total_free.gpus < 0;
}

/* The load of the steps that can start when the job is accepted. */
static wwh_load_t first_load(const wwh_job_t *spec)
{
	wwh_load_t sum = { 0 };

	for (int32_t i = 0; i < spec->step_count; i++) {
		wwh_load_t one = sched_step_reserved_load(&spec->steps[i]);
		wwh_load_t load = scaled(&one, spec->steps[i].task_count);

		if (spec->steps[i].after_count == 0)
			wwh_load_add(&sum, &load);
	}
	return sum;
}

static wwh_load_t scaled(const wwh_load_t *load, int64_t count)
{
	return (wwh_load_t){
		.cpu_millicores = MIN(load->cpu_millicores, MAX_LOAD) * count,
		.memory_mb = MIN(load->memory_mb, MAX_LOAD) * count,
		.gpus = MIN(load->gpus, MAX_LOAD) * count,
	};
}

static void set_rates(const wwh_scheduler_t *scheduler, sched_room_t *room,
		      const wwh_job_t *spec, wwh_pool_room_t *result)
{
	for (guint i = 0; i < room->workspaces->len; i++)
		g_array_index(room->workspaces, wwh_pool_workspace_t, i)
			.accepted_millicores = 0;
	for (guint i = 0; i < room->rates->len; i++) {
		const sched_rate_t *rate =
			&g_array_index(room->rates, sched_rate_t, i);
		int64_t millicores =
			(int64_t)sched_rate_now(rate, scheduler->now_ms);
		int32_t index =
			sched_room_workspace(scheduler, room, rate->workspace);

		if (index != WWH_POOL_NO_WORKSPACE)
			g_array_index(room->workspaces, wwh_pool_workspace_t,
				      index)
				.accepted_millicores += millicores;
		if (rate->priority < spec->queue.priority &&
		    (rate->workspace == NULL ||
		     g_strcmp0(rate->workspace, spec->workspace) == 0))
			result->overtaking_millicores += millicores;
	}
}

double sched_rate_now(const sched_rate_t *rate, int64_t now_ms)
{
	double left = 1.0 - (double)(now_ms - rate->updated_ms) /
				    (double)RATE_WINDOW_MS;

	return rate->millicores * MAX(left, 0.0);
}

static void describe_job(const wwh_scheduler_t *scheduler, sched_room_t *room,
			 const wwh_job_t *spec, wwh_admission_job_t *job)
{
	wwh_policy_order_input_t order = {
		.priority = spec->queue.priority,
		.objective_ms = sched_objective_ms(spec),
		.remaining_ms = sched_critical_path_ms(spec),
	};

	*job = (wwh_admission_job_t){
		.id = spec->id,
		.workspace_name = spec->workspace,
		.workspace =
			sched_room_workspace(scheduler, room, spec->workspace),
		.priority = spec->queue.priority,
		.order = wwh_policy_order_key(&order),
		.objective_ms = order.objective_ms,
		.critical_path_ms = order.remaining_ms,
	};
	job->widest_step_millicores = widest_step(spec, &room->host, job);
}

/* Also sums up the work of job, and sets what concerns its single tasks. */
static int64_t widest_step(const wwh_job_t *spec, const wwh_load_t *host,
			   wwh_admission_job_t *job)
{
	int64_t widest = 0;

	for (int32_t i = 0; i < spec->step_count; i++) {
		const wwh_job_step_t *step = &spec->steps[i];
		wwh_load_t load = sched_step_reserved_load(step);
		int64_t millicores = sched_room_equivalent(&load, host);

		job->work += sched_room_step_work(step, step->task_count, host);
		job->largest_task_millicores =
			MAX(job->largest_task_millicores, millicores);
		job->last_task_ms = wwh_job_estimate_ms(step);
		widest = MAX(widest, millicores * step->task_count);
	}
	return widest;
}

static double rejected_share(const sched_room_t *room, int64_t now_ms)
{
	double left = 1.0 - (double)(now_ms - room->rejected_ms) /
				    (double)REJECTED_WINDOW_MS;

	return CLAMP(left, 0.0, 1.0);
}

/* The free part of the resource of which the least is free. */
static int64_t free_millicores(const wwh_load_t *free, const wwh_load_t *whole)
{
	double part;

	if (whole->cpu_millicores <= 0)
		return 0;
	part = (double)free->cpu_millicores / (double)whole->cpu_millicores;
	if (whole->memory_mb > 0)
		part = MIN(part,
			   (double)free->memory_mb / (double)whole->memory_mb);
	return (int64_t)(CLAMP(part, 0.0, 1.0) * (double)whole->cpu_millicores);
}
