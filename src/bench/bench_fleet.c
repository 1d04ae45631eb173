/*
 * The conductor's waves against three baselines in one run, on the fake
 * platform of fleet_sim.h with a virtual clock. The baselines steer the same
 * workers with the same commands; all jobs are placed by the same placement.
 *
 *	bench_fleet		both deployments' fleets, and planning time
 *	bench_fleet target	5,100 workers in 232 pools
 *
 * one: one worker at a time in order. random: batches of a tenth of the fleet
 * at random. rack: a full rack at a time. At the target one and rack run in
 * each pool at once; over the whole fleet they would take weeks.
 */

#include <stdio.h>
#include <stdlib.h>

#include "../test_standins/include/fleet_sim.h"
#include "waxwinghollow/planner.h"

#define MINUTE_MS (60 * INT64_C(1000))
#define SLOW_START_MS (30 * INT64_C(1000))
#define STEPS_MAX 20000
#define PLAN_RUNS 5
#define ROUNDS 3 /* of the conductor in a tick */
#define MEDIAN_RUN 2

typedef enum {
	POLICY_BUFFER = 0, /* the conductor, buffer_weight 10 */
	POLICY_MOVES, /* the conductor, move_weight 10 */
	POLICY_ONE,
	POLICY_RANDOM,
	POLICY_RACK,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = {
	"buffer-weight", "move-weight", "one", "random", "rack",
};

typedef struct {
	const char *name;
	fleet_fixture_t fixture;
	int32_t jobs_per_pool;
	int64_t tick_ms;
} fleet_t;

typedef enum {
	TURN_WAITING = 0,
	TURN_DRAINING,
	TURN_REBOOTING,
	TURN_WARMING,
	TURN_DONE
} turn_state_t;

typedef struct {
	turn_state_t state;
	int64_t fence;
	int64_t boots;
	int64_t warm_ms;
} turn_t;

/* Batches that follow each other; lanes run side by side. */
typedef struct {
	GPtrArray *batches; /* of GArray * of int32_t */
	guint at;
} lane_t;

typedef struct {
	sim_t sim;
	const fleet_t *fleet;
	policy_t policy;
	bool failures;
	turn_t *turns;
	GPtrArray *lanes; /* of lane_t * */
	int32_t next_job;
	int32_t *peak_out; /* a pool */
	int64_t out_ticks;
	int32_t failed;
} run_t;

static bool is_baseline(const run_t *run)
{
	return run->policy >= POLICY_ONE;
}

static void mark_worker(run_t *run, int32_t worker, wwh_record_kind_t kind)
{
	wwh_record_t record;

	wwh_record_init(&record, kind, "operator:bench");
	wwh_record_set(&record.body.worker.worker, run->sim.workers[worker].id);
	sim_append(&run->sim, &record);
}

static wwh_status_t send_command(run_t *run, int32_t worker,
				 wwh_command_t command)
{
	wwh_action_t action = { .kind = WWH_ACTION_COMMAND,
				.worker = run->sim.workers[worker].id,
				.command = command,
				.fence = run->turns[worker].fence };

	return sim_command(&run->sim, &action);
}

/* One baseline worker's next step. */
static void step_turn(run_t *run, int32_t index)
{
	turn_t *turn = &run->turns[index];
	const sim_worker_t *worker = &run->sim.workers[index];

	if (worker->state == WWH_WORKER_DOWN && turn->state != TURN_DONE) {
		/* Failed: left to those who repair it. */
		if (turn->state != TURN_WAITING)
			mark_worker(run, index, WWH_RECORD_WORKER_UNQUARANTINE);
		turn->state = TURN_DONE;
		return;
	}
	switch (turn->state) {
	case TURN_WAITING:
		mark_worker(run, index, WWH_RECORD_WORKER_QUARANTINE);
		turn->fence = run->sim.offset;
		turn->boots = worker->boots;
		send_command(run, index, WWH_COMMAND_CORDON);
		send_command(run, index, WWH_COMMAND_DRAIN);
		turn->state = TURN_DRAINING;
		break;
	case TURN_DRAINING:
		if (worker->state != WWH_WORKER_DRAINED)
			break;
		send_command(run, index, WWH_COMMAND_REBOOT);
		turn->state = TURN_REBOOTING;
		break;
	case TURN_REBOOTING:
		if (worker->boots == turn->boots)
			break;
		send_command(run, index, WWH_COMMAND_UNCORDON);
		turn->warm_ms = run->sim.now_ms + SLOW_START_MS;
		turn->state = TURN_WARMING;
		break;
	case TURN_WARMING:
		if (run->sim.now_ms < turn->warm_ms)
			break;
		mark_worker(run, index, WWH_RECORD_WORKER_UNQUARANTINE);
		turn->state = TURN_DONE;
		break;
	default:
		break;
	}
}

static void step_lane(run_t *run, lane_t *lane)
{
	GArray *batch;
	bool done = true;

	if (lane->at >= lane->batches->len)
		return;
	batch = lane->batches->pdata[lane->at];
	for (guint i = 0; i < batch->len; i++) {
		int32_t worker = g_array_index(batch, int32_t, i);

		step_turn(run, worker);
		done = done && run->turns[worker].state == TURN_DONE;
	}
	if (done)
		lane->at++;
}

static void free_batch(gpointer batch)
{
	g_array_free(batch, TRUE);
}

static void free_lane(gpointer data)
{
	lane_t *lane = data;

	g_ptr_array_unref(lane->batches);
	g_free(lane);
}

static lane_t *add_lane(run_t *run)
{
	lane_t *lane = g_new0(lane_t, 1);

	lane->batches = g_ptr_array_new_with_free_func(free_batch);
	g_ptr_array_add(run->lanes, lane);
	return lane;
}

/* Starts another batch of the lane when the key is another than before. */
static void add_to_lane(lane_t *lane, int32_t worker, bool another)
{
	if (another || lane->batches->len == 0)
		g_ptr_array_add(lane->batches,
				g_array_new(FALSE, FALSE, sizeof(int32_t)));
	g_array_append_val(
		(GArray *)lane->batches->pdata[lane->batches->len - 1], worker);
}

static void make_lanes(run_t *run)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	bool by_pool = fixture->workers > 1000 && run->policy != POLICY_RANDOM;
	int32_t lanes = by_pool ? fixture->pools : 1;
	int32_t batch =
		run->policy == POLICY_RANDOM ? fixture->workers / 10 : 1;
	int32_t *order = g_new0(int32_t, fixture->workers);

	for (int32_t i = 0; i < fixture->workers; i++) {
		int32_t other = g_rand_int_range(run->sim.rand, 0, i + 1);

		order[i] = i;
		if (run->policy != POLICY_RANDOM)
			continue;
		order[i] = order[other];
		order[other] = i;
	}
	for (int32_t i = 0; i < lanes; i++) {
		lane_t *lane = add_lane(run);
		int32_t in_batch = 0;
		int32_t last_rack = -1;

		for (int32_t w = 0; w < fixture->workers; w++) {
			int32_t rack = order[w] / fixture->per_rack;
			bool another = in_batch == 0;

			if (by_pool &&
			    fleet_fixture_pool_of(fixture, order[w]) != i)
				continue;
			if (run->policy == POLICY_RACK)
				another = rack != last_rack;
			add_to_lane(lane, order[w], another);
			last_rack = rack;
			in_batch = in_batch + 1 < batch ? in_batch + 1 : 0;
		}
	}
	g_free(order);
}

/* Keeps as many jobs in each pool as the fleet says. */
static void feed_jobs(run_t *run)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	int32_t *jobs = g_new0(int32_t, fixture->pools);

	for (guint i = 0; i < run->sim.tasks->len; i++) {
		const sim_task_t *task = run->sim.tasks->pdata[i];

		if (task->state != WWH_TASK_DONE &&
		    task->state != WWH_TASK_FAILED)
			jobs[fleet_fixture_pool_of(fixture, task->worker)]++;
	}
	for (int32_t p = 0; p < fixture->pools; p++) {
		while (jobs[p] < run->fleet->jobs_per_pool) {
			char id[24];

			g_snprintf(id, sizeof(id), "j%d", run->next_job++);
			sim_submit(&run->sim, id, p, false, true);
			jobs[p]++;
		}
	}
	g_free(jobs);
}

/* Ended tasks leave the fake, so that it stays small. */
static void drop_ended(sim_t *sim)
{
	for (guint i = sim->tasks->len; i > 0; i--) {
		sim_task_t *task = sim->tasks->pdata[i - 1];
		wwh_job_view_t job;

		if (task->state != WWH_TASK_DONE)
			continue;
		if (wwh_state_job(sim->state, task->id, &job) &&
		    job.phase < WWH_JOB_PHASE_DONE)
			continue;
		g_hash_table_remove(sim->task_by_id, task->id);
		g_ptr_array_remove_index_fast(sim->tasks, i - 1);
	}
}

/* A rack after a fifth of an hour, and single workers throughout. */
static void fail_some(run_t *run, int32_t step)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	int64_t ran_ms = step * run->fleet->tick_ms;
	int64_t every_ms =
		fixture->workers > 1000 ? 4 * MINUTE_MS : 20 * MINUTE_MS;

	if (!run->failures)
		return;
	if (ran_ms % every_ms == every_ms / 2 && run->failed < 35) {
		int32_t worker =
			g_rand_int_range(run->sim.rand, 0, fixture->workers);

		if (run->sim.workers[worker].state == WWH_WORKER_UP) {
			sim_fail_worker(&run->sim, worker, 15 * MINUTE_MS);
			run->failed++;
		}
	}
	if (ran_ms != 12 * MINUTE_MS)
		return;
	for (int32_t w = 0; w < fixture->per_rack; w++)
		sim_fail_worker(&run->sim, 5 * fixture->per_rack + w,
				15 * MINUTE_MS);
}

static void watch(run_t *run)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	int32_t *out = g_new0(int32_t, fixture->pools);

	for (int32_t i = 0; i < fixture->workers; i++) {
		wwh_worker_view_t worker;

		wwh_state_worker(run->sim.state, run->sim.workers[i].id,
				 &worker);
		if (worker.grant != WWH_NO_OFFSET ||
		    worker.quarantined != WWH_NO_OFFSET) {
			out[fleet_fixture_pool_of(fixture, i)]++;
			run->out_ticks++;
		}
	}
	for (int32_t p = 0; p < fixture->pools; p++)
		run->peak_out[p] = MAX(run->peak_out[p], out[p]);
	g_free(out);
}

static bool is_finished(const run_t *run)
{
	int32_t done;

	if (!is_baseline(run))
		return sim_waves_finished(&run->sim, &done) ==
		       run->fleet->fixture.pools;
	for (guint i = 0; i < run->lanes->len; i++) {
		const lane_t *lane = run->lanes->pdata[i];

		if (lane->at < lane->batches->len)
			return false;
	}
	return true;
}

static void start(run_t *run)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	sim_options_t options = sim_options_defaults(*fixture);

	options.tick_ms = run->fleet->tick_ms;
	options.rounds = is_baseline(run) ? 1 : ROUNDS;
	options.drain_ms = 30 * 1000;
	options.reboot_ms = 8 * MINUTE_MS;
	options.slow_start_ms = SLOW_START_MS;
	options.drain_limit_s = 30 * 60;
	options.return_limit_s = 20 * 60;
	options.job_ms = 40 * MINUTE_MS;
	options.uneven_jobs = true;
	options.buffer_weight = run->policy == POLICY_BUFFER ? 10 : 1;
	options.move_weight = run->policy == POLICY_MOVES ? 10 : 1;
	sim_init(&run->sim, &options);
	run->turns = g_new0(turn_t, fixture->workers);
	run->peak_out = g_new0(int32_t, fixture->pools);
	run->lanes = g_ptr_array_new_with_free_func(free_lane);
	feed_jobs(run);
	for (int32_t i = 0; i < 40 * MINUTE_MS / run->fleet->tick_ms; i++) {
		sim_step(&run->sim);
		drop_ended(&run->sim);
		feed_jobs(run);
	}
	run->sim.checkpoints = 0;
	if (is_baseline(run))
		make_lanes(run);
	else
		sim_start_waves(&run->sim);
}

static void print_row(const run_t *run, int32_t steps)
{
	const fleet_fixture_t *fixture = &run->fleet->fixture;
	double hours = steps * (double)run->fleet->tick_ms / 3600000.0;
	int32_t maintained = (int32_t)run->sim.reboots;
	int32_t peak = 0;

	for (int32_t p = 0; p < fixture->pools; p++)
		peak += run->peak_out[p];
	printf("%-10s %-4s %-14s %6d %8.2f %6d %8.1f %7.2f %8lld %6lld %6lld\n",
	       run->fleet->name, run->failures ? "yes" : "no",
	       policy_names[run->policy], maintained, hours, peak,
	       (double)run->out_ticks * (double)run->fleet->tick_ms / 3600000.0,
	       (double)run->sim.checkpoints / (maintained ? maintained : 1),
	       (long long)run->sim.over_budget, (long long)run->sim.worst_over,
	       (long long)run->sim.cut_off);
	fflush(stdout);
}

static void run_policy(const fleet_t *fleet, policy_t policy, bool failures)
{
	run_t run = { .fleet = fleet, .policy = policy, .failures = failures };
	int32_t step;

	start(&run);
	for (step = 1; step < STEPS_MAX && !is_finished(&run); step++) {
		fail_some(&run, step);
		for (guint i = 0; i < run.lanes->len; i++)
			step_lane(&run, run.lanes->pdata[i]);
		sim_step(&run.sim);
		drop_ended(&run.sim);
		feed_jobs(&run);
		watch(&run);
	}
	print_row(&run, step);
	g_ptr_array_unref(run.lanes);
	g_free(run.turns);
	g_free(run.peak_out);
	sim_finish(&run.sim);
}

static int compare(const void *a, const void *b)
{
	const int64_t *left = a;
	const int64_t *right = b;

	return (*left > *right) - (*left < *right);
}

static void measure_plan(int32_t workers)
{
	fleet_fixture_t fixture = fleet_fixture_target();
	wwh_fleet_view_t *view;
	wwh_plan_options_t options;
	int64_t spent_us[PLAN_RUNS];

	fixture.workers = workers;
	fixture.pools = MAX(workers / 22, 1);
	view = fleet_fixture_view(&fixture);
	fleet_fixture_jobs(view, 4, 0);
	wwh_fleet_view_seal(view);
	wwh_plan_options_defaults(&options);
	for (int32_t i = 0; i < PLAN_RUNS; i++) {
		int64_t start_us = g_get_monotonic_time();
		wwh_plan_t *plan = wwh_plan_new(view, &options);

		spent_us[i] = g_get_monotonic_time() - start_us;
		wwh_plan_delete(plan);
	}
	qsort(spent_us, PLAN_RUNS, sizeof(spent_us[0]), compare);
	printf("plan: %d workers, %d pools, %d jobs: %.1f ms (median of %d)\n",
	       workers, fixture.pools, wwh_fleet_job_count(view),
	       (double)spent_us[MEDIAN_RUN] / 1000.0, PLAN_RUNS);
	wwh_fleet_view_delete(view);
}

int main(int argc, char **argv)
{
	static const int32_t sizes[] = { 500, 1000, 2500, 5100, 10200, 20400 };
	bool target = argc > 1 && strcmp(argv[1], "target") == 0;
	fleet_t small[] = {
		{ "bounce", fleet_fixture_bounce(), 60, 5000 },
		{ "peachtree", fleet_fixture_peachtree(), 60, 5000 },
	};
	fleet_t large[] = { { "target", fleet_fixture_target(), 30, 20000 } };
	fleet_t *fleets = target ? large : small;
	size_t fleet_count = target ? 1 : G_N_ELEMENTS(small);

	for (size_t i = 0; !target && i < G_N_ELEMENTS(sizes); i++)
		measure_plan(sizes[i]);
	printf("%-10s %-4s %-14s %6s %8s %6s %8s %7s %8s %6s %6s\n", "fleet",
	       "fail", "policy", "worker", "hours", "peak", "out-h", "moves",
	       "breaches", "worst", "cut");
	for (size_t i = 0; i < fleet_count; i++) {
		for (int32_t f = 0; f < 2; f++) {
			for (int32_t p = 0; p < POLICY_COUNT; p++)
				run_policy(&fleets[i], (policy_t)p, f == 1);
		}
	}
	return 0;
}
