#include "private/scheduler_state.h"

#include <string.h>
#include <xxhash.h>

#include "private/scheduler_policy.h"

/* The time between two decisions which upstreams are slow. */
#define REVIEW_GAP_MS 100

/*
 * The speed between two listings is taken if this much was done in at least this
 * time: percentages are whole numbers, and may be set in steps. A run that does
 * less is observed after the longer time, and one that does nothing after that in
 * which a usual task ends.
 */
#define INTERVAL_MIN_MS 150
#define INTERVAL_PERCENT 5
#define INTERVAL_LONG_MS 400
#define INTERVAL_NOTHING_MS 1000
/* More is an error of the upstream's clock, or of no use any more. */
#define INTERVAL_MAX_MS 600000

/* A start takes some time, which is a small share of this. */
#define AGE_MIN_MS 300

/*
 * An end is used if at least half of the run was observed, for so long, and if
 * its time is known to a quarter of that.
 */
#define END_PERCENT_MAX 50
#define END_MIN_MS 200
#define END_SPREADS 4

/* A poll that waited for less may have found an earlier end. */
#define WAITED_MIN_MS 50

/* Far more processor than a fleet has, so that sums don't overflow. */
#define MAX_MILLICORES (INT64_C(1) << 40)

/* A run that is nearly done may be listed like that for a while. */
#define PERCENT_MAX 98

static void on_changed(void *data, void *client_data);
static bool has_fillers(const sched_upstream_t *upstream);
static bool is_comparable(const sched_task_t *task);
static void begin_interval(sched_task_t *task, int32_t percent);
static int64_t age_ms(const sched_task_t *task);
static void observe(wwh_scheduler_t *scheduler, sched_task_t *task,
		    int64_t elapsed_ms, int32_t percent);
static void observe_overdue(wwh_scheduler_t *scheduler, sched_task_t *task);
static void pass_on(wwh_scheduler_t *scheduler, sched_task_t *task,
		    wwh_speed_observation_t *seen);
static uint64_t hash_work(const sched_task_t *task);
static int64_t needed_millicores(const sched_step_t *step);
static int64_t expected_wait_ms(const wwh_scheduler_t *scheduler,
				const sched_task_t *task);
static bool fits_normal_upstream(const wwh_scheduler_t *scheduler,
				 const sched_step_t *step);
static int64_t normal_busy_millicores(const wwh_scheduler_t *scheduler,
				      const sched_pool_t *pool);
static bool is_normal(const wwh_scheduler_t *scheduler,
		      const sched_upstream_t *upstream);
static bool takes_probe(wwh_scheduler_t *scheduler, sched_upstream_t *slow);

void sched_speed_init(wwh_scheduler_t *scheduler)
{
	wwh_upstream_speed_options_t options =
		wwh_upstream_speed_options_defaults();

	scheduler->speed =
		wwh_upstream_speed_new(&options, on_changed, scheduler);
}

static void on_changed(void *data, void *client_data)
{
	wwh_scheduler_t *scheduler = client_data;
	sched_upstream_t *upstream = data;
	bool slow = wwh_upstream_speed_is_slow(upstream->speed);

	scheduler->slow_upstreams += slow ? 1 : -1;
	scheduler->marked_slow += slow;
	scheduler->healthy_again += !slow;
	upstream->pool->dirty = true;
	sched_explain(scheduler, slow ? "upstream-slow" : "upstream-not-slow",
		      upstream->info.id,
		      "slowdown_permille=%" G_GINT64_FORMAT " tasks=%u pool=%s",
		      sched_upstream_slowdown_permille(upstream),
		      upstream->tasks->len, upstream->pool->name);
}

/*
 * Of two readings of the clock, the one that was processed with less delay
 * counts. After a failed poll, ends are reported late, and the upstream may have
 * been suspended. A run that ended while a poll waited was reported at once, any
 * other one after the poll arrived.
 */
void sched_speed_begin_answer(sched_upstream_t *upstream, int64_t remote_ms,
			      int64_t sent_ms)
{
	int64_t offset_ms = remote_ms - upstream->answered_ms;
	int64_t waited_ms;

	upstream->measures_speed =
		upstream->failed_polls == 0 && !has_fillers(upstream);
	upstream->clock_offset_ms =
		upstream->last_offset_ms == 0
			? offset_ms
			: MAX(offset_ms, upstream->last_offset_ms);
	upstream->last_offset_ms = offset_ms;
	waited_ms = remote_ms - (sent_ms + upstream->clock_offset_ms);
	upstream->end_spread_ms =
		waited_ms >= WAITED_MIN_MS
			? 0
			: remote_ms - upstream->clock_base_remote_ms;
}

static bool has_fillers(const sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (task->step->spec->filler)
			return true;
	}
	return false;
}

void sched_speed_run_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int32_t percent)
{
	int64_t elapsed_ms;
	int32_t done;

	if (!is_comparable(task) || percent >= PERCENT_MAX)
		return;
	if (percent == 0) {
		if (task->upstream->measures_speed)
			observe_overdue(scheduler, task);
		return;
	}
	if (!task->upstream->measures_speed || percent < task->speed_percent) {
		begin_interval(task, percent);
		return;
	}
	if (task->speed_remote_ms == 0) {
		elapsed_ms = age_ms(task);
		if (elapsed_ms >= AGE_MIN_MS)
			observe(scheduler, task, elapsed_ms, percent);
		begin_interval(task, percent);
		return;
	}
	elapsed_ms =
		task->upstream->clock_base_remote_ms - task->speed_remote_ms;
	done = percent - task->speed_percent;
	if (elapsed_ms < 0 || elapsed_ms > INTERVAL_MAX_MS) {
		begin_interval(task, percent);
		return;
	}
	if (elapsed_ms < INTERVAL_MIN_MS ||
	    (done < INTERVAL_PERCENT && elapsed_ms < INTERVAL_LONG_MS) ||
	    (done == 0 && elapsed_ms < INTERVAL_NOTHING_MS))
		return;
	observe(scheduler, task, elapsed_ms, done);
	begin_interval(task, percent);
}

/* Called before the task is detached from its upstream. */
void sched_speed_run_done(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	const sched_upstream_t *upstream = task->upstream;
	int32_t from_percent = task->speed_percent;
	int64_t elapsed_ms;

	if (!is_comparable(task) || !upstream->measures_speed ||
	    from_percent > END_PERCENT_MAX)
		return;
	elapsed_ms = task->speed_remote_ms == 0
			     ? age_ms(task)
			     : upstream->clock_base_remote_ms -
				       task->speed_remote_ms;
	elapsed_ms -= upstream->end_spread_ms / 2;
	if (elapsed_ms >= END_MIN_MS &&
	    upstream->end_spread_ms * END_SPREADS <= elapsed_ms)
		observe(scheduler, task, elapsed_ms, 100 - from_percent);
}

/*
 * Excludes what has a speed of its own: members of a gang wait for the slowest,
 * data on another rack takes longer, and a checkpoint has to be restored.
 */
static bool is_comparable(const sched_task_t *task)
{
	const wwh_job_step_t *spec = task->step->spec;

	return !spec->lasting && !spec->gang && !spec->filler &&
	       !spec->same_rack && spec->latency_target_ms == 0 &&
	       !task->from_checkpoint &&
	       (spec->data_rack == NULL ||
		g_strcmp0(spec->data_rack, task->upstream->info.rack) == 0);
}

static void begin_interval(sched_task_t *task, int32_t percent)
{
	task->speed_remote_ms = task->upstream->clock_base_remote_ms;
	task->speed_percent = percent;
}

/* Returns 0 if it isn't known when the run began. */
static int64_t age_ms(const sched_task_t *task)
{
	const sched_upstream_t *upstream = task->upstream;

	if (task->adopted_ms != 0 || task->accepted_ms == 0)
		return 0;
	return upstream->clock_base_remote_ms -
	       (task->accepted_ms + upstream->clock_offset_ms);
}

/* Half a percent stands for less than one. */
static void observe(wwh_scheduler_t *scheduler, sched_task_t *task,
		    int64_t elapsed_ms, int32_t percent)
{
	int64_t bounded_ms = MIN(elapsed_ms, INTERVAL_MAX_MS);
	wwh_speed_observation_t seen = {
		.duration_ms = bounded_ms * 200 / MAX(2 * percent, 1),
		.from_ms = scheduler->now_ms - bounded_ms,
		.to_ms = scheduler->now_ms,
	};

	pass_on(scheduler, task, &seen);
}

/* The task may not report progress. Then it shows only that it takes long. */
static void observe_overdue(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	wwh_speed_observation_t seen = {
		.duration_ms = MIN(age_ms(task), INTERVAL_MAX_MS),
		.overdue = true,
		.from_ms = scheduler->now_ms,
		.to_ms = scheduler->now_ms,
	};

	if (seen.duration_ms >= INTERVAL_NOTHING_MS)
		pass_on(scheduler, task, &seen);
}

static void pass_on(wwh_scheduler_t *scheduler, sched_task_t *task,
		    wwh_speed_observation_t *seen)
{
	const sched_step_t *step = task->step;
	const sched_occurrence_t *occurrence = step->occurrence;
	sched_upstream_t *upstream = task->upstream;

	if (scheduler->options.ignores_speed)
		return;
	seen->work = hash_work(task);
	seen->estimate_ms = wwh_job_estimate_ms(step->spec);
	seen->step = XXH3_64bits_withSeed(
		occurrence->job->id, strlen(occurrence->job->id),
		(uint64_t)occurrence->number * WWH_JOB_MAX_STEPS +
			(uint64_t)step->number);
	seen->task = seen->step + (uint64_t)task->index;
	if (upstream->speed == NULL)
		upstream->speed = wwh_upstream_speed_add(
			scheduler->speed, upstream->pool->name, upstream);
	wwh_upstream_speed_observe(upstream->speed, seen);
}

static uint64_t hash_work(const sched_task_t *task)
{
	const char *queue = task->step->occurrence->job->spec->queue.name;
	const char *image = task->step->spec->image;
	uint64_t hash = 0;

	if (queue != NULL)
		hash = XXH3_64bits(queue, strlen(queue));
	if (image != NULL)
		hash = XXH3_64bits_withSeed(image, strlen(image), hash);
	return hash;
}

void sched_speed_review(wwh_scheduler_t *scheduler)
{
	if (scheduler->now_ms < scheduler->next_speed_review_ms)
		return;
	scheduler->next_speed_review_ms = scheduler->now_ms + REVIEW_GAP_MS;
	wwh_upstream_speed_review(scheduler->speed, scheduler->now_ms);
}

void sched_speed_forget(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	scheduler->slow_upstreams -= sched_upstream_is_slow(upstream);
	if (upstream->speed != NULL)
		wwh_upstream_speed_remove(upstream->speed);
	upstream->speed = NULL;
}

bool sched_upstream_is_slow(const sched_upstream_t *upstream)
{
	return upstream->speed != NULL &&
	       wwh_upstream_speed_is_slow(upstream->speed);
}

int64_t sched_upstream_slowdown_permille(const sched_upstream_t *upstream)
{
	return upstream->speed == NULL
		       ? WWH_UPSTREAM_SPEED_NORMAL_PERMILLE
		       : wwh_upstream_speed_slowdown_permille(upstream->speed);
}

void sched_speed_begin_pass(sched_pool_t *pool)
{
	pool->waiting_millicores = 0;
	pool->normal_busy_millicores = -1;
}

void sched_speed_left_waiting(sched_step_t *step)
{
	sched_pool_t *pool = step->occurrence->job->pool;
	int64_t tasks = step->spec->task_count - step->done - step->outstanding;

	pool->waiting_millicores =
		MIN(pool->waiting_millicores + tasks * needed_millicores(step),
		    MAX_MILLICORES);
}

/*
 * Tasks that need advice or isolation have few upstreams to choose from, and
 * lasting tasks don't end sooner elsewhere, so none of them waits.
 */
bool sched_speed_holds_back(wwh_scheduler_t *scheduler, sched_task_t *task,
			    sched_upstream_t *slow)
{
	const sched_step_t *step = task->step;
	const sched_occurrence_t *occurrence = step->occurrence;
	wwh_policy_hold_input_t input = {
		.waited_ms = scheduler->now_ms - occurrence->due_ms,
		.objective_ms = occurrence->job->objective_ms,
		.remaining_ms = sched_occurrence_remaining_ms(occurrence),
	};

	if (step->spec->lasting || sched_step_needs_advice(step) ||
	    sched_task_is_suspect(task))
		return false;
	input.extra_ms = wwh_job_estimate_ms(step->spec) *
			 (sched_upstream_slowdown_permille(slow) -
			  WWH_UPSTREAM_SPEED_NORMAL_PERMILLE) /
			 WWH_UPSTREAM_SPEED_NORMAL_PERMILLE;
	if (task->held_since_ms != 0)
		input.held_ms = scheduler->now_ms - task->held_since_ms;
	input.wait_ms = expected_wait_ms(scheduler, task);
	if (!wwh_policy_holds_back(&input) || takes_probe(scheduler, slow))
		return false;
	if (task->held_since_ms == 0) {
		task->held_since_ms = scheduler->now_ms;
		scheduler->tasks_held++;
	}
	return true;
}

/*
 * The processor that runs use on the other upstreams becomes free about once in
 * the time that a task takes. Tasks that are ordered before this one get it first.
 */
static int64_t expected_wait_ms(const wwh_scheduler_t *scheduler,
				const sched_task_t *task)
{
	const sched_step_t *step = task->step;
	sched_pool_t *pool = step->occurrence->job->pool;
	int64_t need = needed_millicores(step);

	if (pool->normal_busy_millicores < 0)
		pool->normal_busy_millicores =
			normal_busy_millicores(scheduler, pool);
	if (pool->normal_busy_millicores == 0 ||
	    !fits_normal_upstream(scheduler, step))
		return INT64_MAX;
	if (pool->waiting_millicores + need >= MAX_MILLICORES)
		return INT64_MAX;
	return (int64_t)((double)wwh_job_estimate_ms(step->spec) *
			 (double)(pool->waiting_millicores + need) /
			 (double)pool->normal_busy_millicores);
}

/* A task may be larger than any host. */
static int64_t needed_millicores(const sched_step_t *step)
{
	return MIN(sched_step_reserved_load(step->spec).cpu_millicores,
		   MAX_MILLICORES);
}

static bool fits_normal_upstream(const wwh_scheduler_t *scheduler,
				 const sched_step_t *step)
{
	const GPtrArray *upstreams = step->occurrence->job->pool->upstreams;
	wwh_load_t need = sched_step_reserved_load(step->spec);

	for (guint i = 0; i < upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(upstreams, i);

		if (is_normal(scheduler, upstream) &&
		    wwh_load_fits(&need, &upstream->info.size) &&
		    sched_upstream_accepts_step(upstream, step))
			return true;
	}
	return false;
}

/* The processor that runs use which end, on usable upstreams that aren't slow. */
static int64_t normal_busy_millicores(const wwh_scheduler_t *scheduler,
				      const sched_pool_t *pool)
{
	int64_t busy = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		if (!is_normal(scheduler, upstream))
			continue;
		for (guint k = 0; k < upstream->tasks->len; k++) {
			const sched_task_t *task =
				g_ptr_array_index(upstream->tasks, k);

			if (!task->step->spec->lasting)
				busy += sched_step_reserved_load(
						task->step->spec)
						.cpu_millicores;
		}
	}
	return busy;
}

static bool is_normal(const wwh_scheduler_t *scheduler,
		      const sched_upstream_t *upstream)
{
	return sched_upstream_usable(scheduler, upstream) &&
	       !sched_upstream_is_slow(upstream);
}

static bool takes_probe(wwh_scheduler_t *scheduler, sched_upstream_t *slow)
{
	if (slow->tasks->len > 0 ||
	    !wwh_upstream_speed_probe_is_due(slow->speed, scheduler->now_ms))
		return false;
	wwh_upstream_speed_probed(slow->speed, scheduler->now_ms);
	return true;
}
