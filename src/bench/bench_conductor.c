/*
 * What conducting costs an entry process, by the size of the fleet: making
 * the view, a tick with nothing to do, a tick with a wave in every pool, and
 * the memory of view and conductor. One process holds every lease, so these
 * are the costs of the whole fleet, which the holders share.
 */

#include <malloc.h>
#include <stdio.h>

#include "../test_standins/include/fleet_sim.h"

#define RUNS 30
#define WARM_STEPS 20
#define BULK_PER_WORKER 8
#define URGENT_POOLS 20

typedef struct {
	double view_ms;
	double tick_ms;
	size_t view_bytes;
} cost_t;

static cost_t measure(sim_t *sim)
{
	sim_process_t *process = &sim->processes[0];
	cost_t cost = { 0 };

	for (int32_t i = 0; i < RUNS; i++) {
		int64_t start_us = g_get_monotonic_time();
		size_t before = mallinfo2().uordblks;
		wwh_fleet_view_t *view = wwh_fleet_bridge_create_view(
			sim->state, process->observations, process->author,
			sim->now_ms);
		int64_t made_us = g_get_monotonic_time();
		wwh_action_t action;

		cost.view_bytes = mallinfo2().uordblks - before;
		sim->now_ms += 1000;
		wwh_conductor_tick(process->conductor, sim->now_ms, view);
		cost.view_ms += (double)(made_us - start_us) / 1000.0 / RUNS;
		cost.tick_ms += (double)(g_get_monotonic_time() - made_us) /
				1000.0 / RUNS;
		wwh_fleet_view_delete(view);
		while (wwh_conductor_next_action(process->conductor, &action))
			sim_perform(sim, process, &action);
		sim_advance(sim);
		sim_observe(sim, process);
	}
	return cost;
}

static void run_size(int32_t workers, int32_t jobs_per_worker)
{
	fleet_fixture_t fixture = fleet_fixture_target();
	sim_options_t options;
	size_t before = mallinfo2().uordblks;
	cost_t idle;
	cost_t wave;
	sim_t sim;

	fixture.workers = workers;
	fixture.pools = workers / 22;
	options = sim_options_defaults(fixture);
	options.reboot_ms = 600000;
	sim_init(&sim, &options);
	for (int32_t i = 0; i < workers * jobs_per_worker; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "job%06d", i);
		sim_submit(&sim, id, i % fixture.pools, false, true);
	}
	for (int32_t i = 0; i < WARM_STEPS; i++)
		sim_step(&sim);
	idle = measure(&sim);
	sim_start_waves(&sim);
	wave = measure(&sim);
	printf("%7d %6d %7d %8.2f %8.2f %8.2f %8zu %9zu\n", workers,
	       fixture.pools, workers * jobs_per_worker, idle.view_ms,
	       idle.tick_ms, wave.tick_ms, idle.view_bytes / 1024,
	       (mallinfo2().uordblks - before) / 1024);
	fflush(stdout);
	sim_finish(&sim);
}

/*
 * The target full of bulk by what it declared, then an urgent job in each of
 * some pools: the clock's time until the last of their tasks runs, and the
 * real time of the longest second of work on the way.
 */
static void measure_urgent(void)
{
	fleet_fixture_t fixture = fleet_fixture_target();
	sim_options_t options = sim_options_defaults(fixture);
	int64_t longest_us = 0;
	int32_t running = 0;
	int64_t submitted_ms;
	sim_t sim;

	sim_init(&sim, &options);
	for (int32_t i = 0; i < fixture.workers * BULK_PER_WORKER; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "bulk%06d", i);
		sim_submit(&sim, id, i % fixture.pools, false, true);
	}
	for (int32_t i = 0; i < 6; i++)
		sim_step(&sim);
	submitted_ms = sim.now_ms;
	for (int32_t i = 0; i < URGENT_POOLS; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "urgent%d", i);
		sim_submit(&sim, id, i * 10, true, true);
	}
	while (running < URGENT_POOLS && sim.now_ms - submitted_ms < 60000) {
		int64_t start_us = g_get_monotonic_time();

		sim_step(&sim);
		longest_us = MAX(longest_us, g_get_monotonic_time() - start_us);
		running = 0;
		for (int32_t i = 0; i < URGENT_POOLS; i++) {
			char id[24];

			g_snprintf(id, sizeof(id), "urgent%d", i);
			running += g_hash_table_contains(sim.task_by_id, id);
		}
	}
	printf("urgent: %d of %d run after %lld ms beside %u bulk tasks on "
	       "%d workers; longest step %.0f ms, fake platform included\n",
	       running, URGENT_POOLS, (long long)(sim.now_ms - submitted_ms),
	       sim.tasks->len - (guint)running, fixture.workers,
	       (double)longest_us / 1000.0);
	sim_finish(&sim);
}

int main(void)
{
	static const int32_t sizes[] = { 506, 1012, 2552, 5104 };

	printf("%7s %6s %7s %8s %8s %8s %8s %9s\n", "workers", "pools", "jobs",
	       "view ms", "idle ms", "wave ms", "view KB", "all KB");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		run_size(sizes[i], 0);
		run_size(sizes[i], 2);
	}
	measure_urgent();
	return 0;
}
