#include "private/plan_pool.h"

#define NO_JOB (-1)

/* Where the pool's jobs run while its maintenance is simulated. */
typedef struct {
	const wwh_pool_planner_t *planner;
	wwh_load_t *available; /* by position of the member in the pool */
	/* By position: the member's maintenance; INT64_MAX: none is planned. */
	int64_t *end_ms;
	int64_t *start_ms;
	int32_t *first_job; /* by position: head of the member's list of jobs */
	int32_t *next_job; /* by job of the view */
	int32_t *positions; /* by worker of the view */
} job_moves_t;

static void job_moves_init(job_moves_t *state,
			   const wwh_pool_planner_t *planner,
			   const wwh_plan_step_t *steps, int32_t count);
static void job_moves_finish(job_moves_t *state);
static void assign_job(job_moves_t *state, int32_t position, int32_t job);
static void move_jobs_of(job_moves_t *state, wwh_plan_step_t *step);
static int32_t find_target(const job_moves_t *state,
			   const wwh_plan_step_t *step,
			   const wwh_load_t *required);
static bool is_better(const job_moves_t *state, const wwh_plan_step_t *step,
		      int32_t candidate, int32_t best);
static wwh_load_t required_by(const wwh_fleet_job_t *job);

void wwh_plan_pool_move_jobs(const wwh_pool_planner_t *planner,
			     wwh_plan_step_t *steps, int32_t count)
{
	job_moves_t state;

	job_moves_init(&state, planner, steps, count);
	for (int32_t i = 0; i < count; i++)
		move_jobs_of(&state, &steps[i]);
	job_moves_finish(&state);
}

static void job_moves_init(job_moves_t *state,
			   const wwh_pool_planner_t *planner,
			   const wwh_plan_step_t *steps, int32_t count)
{
	const wwh_fleet_view_t *view = planner->view;
	int32_t size = wwh_fleet_pool(view, planner->pool)->size;

	state->planner = planner;
	state->available = g_new0(wwh_load_t, size + 1);
	state->end_ms = g_new0(int64_t, size + 1);
	state->start_ms = g_new0(int64_t, size + 1);
	state->first_job = g_new0(int32_t, size + 1);
	state->next_job = g_new0(int32_t, wwh_fleet_job_count(view) + 1);
	state->positions = g_new0(int32_t, wwh_fleet_worker_count(view) + 1);
	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, planner->pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);
		bool accepts_jobs = worker->state == WWH_FLEET_SERVING &&
				    !worker->quarantined;

		state->positions[member] = i;
		state->first_job[i] = NO_JOB;
		state->start_ms[i] = INT64_MAX;
		state->end_ms[i] = worker->maintained ? 0 : INT64_MAX;
		if (accepts_jobs)
			state->available[i] = worker->size;
		for (int32_t j = 0; j < worker->job_count; j++) {
			int32_t job = wwh_fleet_worker_job(view, member, j);

			if (wwh_fleet_job(view, job)->phase ==
			    WWH_JOB_PHASE_PLACED)
				assign_job(state, i, job);
		}
	}
	for (int32_t i = 0; i < count; i++) {
		int32_t position = state->positions[steps[i].worker];

		state->start_ms[position] = steps[i].start_ms;
		state->end_ms[position] = steps[i].end_ms;
	}
}

static void job_moves_finish(job_moves_t *state)
{
	g_free(state->available);
	g_free(state->end_ms);
	g_free(state->start_ms);
	g_free(state->first_job);
	g_free(state->next_job);
	g_free(state->positions);
}

static void assign_job(job_moves_t *state, int32_t position, int32_t job)
{
	wwh_load_t required =
		required_by(wwh_fleet_job(state->planner->view, job));

	wwh_load_subtract(&state->available[position], &required);
	state->next_job[job] = state->first_job[position];
	state->first_job[position] = job;
}

static void move_jobs_of(job_moves_t *state, wwh_plan_step_t *step)
{
	const wwh_fleet_view_t *view = state->planner->view;
	int64_t now_ms = state->planner->options->now_ms;
	int32_t position = state->positions[step->worker];
	int32_t job = state->first_job[position];

	state->first_job[position] = NO_JOB;
	state->available[position] = wwh_fleet_worker(view, step->worker)->size;
	while (job != NO_JOB) {
		const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
		int64_t leave_ms = now_ms + step->start_ms + step->wait_ms;
		int32_t next = state->next_job[job];
		wwh_load_t required = required_by(item);

		if (item->expected_end_ms == 0 ||
		    item->expected_end_ms > leave_ms) {
			int32_t target = find_target(state, step, &required);

			step->moves++;
			if (target < 0)
				step->moves_without_room++;
			else if (state->start_ms[target] != INT64_MAX &&
				 state->end_ms[target] > step->start_ms)
				step->moves_again++;
			if (target >= 0)
				assign_job(state, target, job);
		}
		job = next;
	}
}

static int32_t find_target(const job_moves_t *state,
			   const wwh_plan_step_t *step,
			   const wwh_load_t *required)
{
	const wwh_pool_planner_t *planner = state->planner;
	int32_t size = wwh_fleet_pool(planner->view, planner->pool)->size;
	int32_t source = state->positions[step->worker];
	int32_t best = -1;

	for (int32_t i = 0; i < size; i++) {
		bool out = state->start_ms[i] <= step->start_ms &&
			   state->end_ms[i] > step->start_ms;

		if (i == source || out ||
		    !wwh_load_fits(required, &state->available[i]))
			continue;
		if (best < 0 || is_better(state, step, i, best))
			best = i;
	}
	return best;
}

/*
 * Prefers a maintained worker; of two that are not, the one maintained later;
 * then one in the zone of the source; then the fuller one.
 */
static bool is_better(const job_moves_t *state, const wwh_plan_step_t *step,
		      int32_t candidate, int32_t best)
{
	const wwh_fleet_view_t *view = state->planner->view;
	int32_t pool = state->planner->pool;
	int32_t zone = wwh_fleet_worker(view, step->worker)->zone;
	bool candidate_maintained = state->end_ms[candidate] <= step->start_ms;
	bool best_maintained = state->end_ms[best] <= step->start_ms;
	bool candidate_same_zone =
		wwh_fleet_worker(view, wwh_fleet_member(view, pool, candidate))
			->zone == zone;
	bool best_same_zone =
		wwh_fleet_worker(view, wwh_fleet_member(view, pool, best))
			->zone == zone;

	if (candidate_maintained != best_maintained)
		return candidate_maintained;
	if (!candidate_maintained &&
	    state->start_ms[candidate] != state->start_ms[best])
		return state->start_ms[candidate] > state->start_ms[best];
	if (candidate_same_zone != best_same_zone)
		return candidate_same_zone;
	return state->available[candidate].cpu_millicores <
	       state->available[best].cpu_millicores;
}

/* The observed use where it was reported, else the declared size. */
static wwh_load_t required_by(const wwh_fleet_job_t *job)
{
	wwh_load_t required = job->declared;

	if (job->used.cpu_millicores > 0)
		required.cpu_millicores = job->used.cpu_millicores;
	if (job->used.memory_mb > 0)
		required.memory_mb = job->used.memory_mb;
	return required;
}
