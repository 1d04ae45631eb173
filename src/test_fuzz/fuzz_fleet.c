/*
 * Bytes decoded into operations on a small fleet with two or three processes
 * that conduct it: waves, their verbs, failures, moves, rehearsals, jobs,
 * cancellations, freezes, kills, lost answers, outages. Oracle, recounted
 * from scratch after every step: no worker is out without a grant, no reboot
 * cuts off a task or request, no non-idempotent job starts twice. The reducer
 * checks budgets and pools itself. At the end all faults stop; the fleet must
 * then come to rest with every worker serving and no grant left.
 */

#include <assert.h>
#include <stddef.h>
#include <stdint.h>

#include "../test_standins/include/fleet_sim.h"

#define OPERATIONS_MAX 96
#define WORKERS 12
#define SETTLE_STEPS 400

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct {
	sim_t sim;
	int32_t names; /* of waves, rehearsals and jobs */
	char wave[24];
} world_t;

static void step(world_t *world, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		sim_step(&world->sim);
		assert(world->sim.cut_off == 0);
		assert(world->sim.out_without_grant == 0);
		assert(world->sim.double_runs == 0);
	}
}

static void new_name(world_t *world, char *name, const char *prefix)
{
	g_snprintf(name, 24, "%s%d", prefix, world->names++);
}

static void wave_verb(world_t *world, uint8_t value)
{
	static const wwh_record_kind_t verbs[] = { WWH_RECORD_WAVE_PAUSE,
						   WWH_RECORD_WAVE_RESUME,
						   WWH_RECORD_WAVE_ABORT };

	if (world->wave[0] == '\0' || value % 4 == 3) {
		new_name(world, world->wave, "wave");
		sim_start_wave(&world->sim, world->wave, value / 4 % 2);
		return;
	}
	sim_wave_verb(&world->sim, verbs[value % 4], world->wave);
}

static void rehearse(world_t *world, uint8_t value)
{
	char name[24];
	char domain_id[24];
	wwh_record_t record;

	new_name(world, name, "rehearsal");
	wwh_record_init(&record, WWH_RECORD_REHEARSAL_START, "operator:fuzz");
	wwh_record_set(&record.body.rehearsal.rehearsal, name);
	record.body.rehearsal.domain = value % WWH_DOMAIN_COUNT;
	if (value % WWH_DOMAIN_COUNT == WWH_DOMAIN_WORKER)
		g_snprintf(domain_id, 24, "w%05d", value % WORKERS);
	else if (value % WWH_DOMAIN_COUNT == WWH_DOMAIN_RACK)
		g_snprintf(domain_id, 24, "rack%04d", value % 4);
	else
		g_snprintf(domain_id, 24, "zone%02d", value % 3);
	wwh_record_set(&record.body.rehearsal.domain_id, domain_id);
	sim_append(&world->sim, &record);
}

static void submit_or_cancel(world_t *world, uint8_t value)
{
	char name[24];
	wwh_record_t record;

	if (value % 4 != 0 || world->names == 0) {
		new_name(world, name, "job");
		sim_submit(&world->sim, name, value / 4 % 2, value & 8,
			   value & 16);
		return;
	}
	g_snprintf(name, sizeof(name), "job%d", value % world->names);
	wwh_record_init(&record, WWH_RECORD_JOB_CANCEL, "operator:fuzz");
	wwh_record_set(&record.body.job.job, name);
	sim_append(&world->sim, &record);
}

/* Freezes, wakes, kills or replaces a process; its leases pass on. */
static void shake_process(world_t *world, uint8_t value)
{
	sim_t *sim = &world->sim;
	int32_t index = value % 2;
	sim_process_t *process = &sim->processes[index];

	switch (value / 2 % 4) {
	case 0:
		process->hold = true;
		break;
	case 1:
		process->frozen = true;
		sim_take_over(sim, index, 1 - index);
		break;
	case 2:
		sim_release_held(sim, index);
		break;
	default:
		sim_take_over(sim, index, 1 - index);
		sim_drop_process(sim, index);
		sim_new_process(sim, index);
		process->hold = false;
		process->frozen = false;
		break;
	}
}

static void operate(world_t *world, uint8_t operation, uint8_t value)
{
	sim_t *sim = &world->sim;

	switch (operation % 10) {
	case 0:
		wave_verb(world, value);
		break;
	case 1:
		if (sim->workers[value % WORKERS].state != WWH_WORKER_DOWN)
			sim_fail_worker(sim, value % WORKERS,
					(1 + value / WORKERS) * 10000);
		break;
	case 2:
		sim_publish(sim, value % WORKERS, value / WORKERS % 2);
		break;
	case 3:
		rehearse(world, value);
		break;
	case 4:
		submit_or_cancel(world, value);
		break;
	case 5:
		shake_process(world, value);
		break;
	case 6:
		sim->log_down = value & 1;
		sim->platform_down = value & 2;
		break;
	case 7:
		sim->options.lost_answer_percent = value % 50;
		sim->options.unavailable_percent = value / 8;
		break;
	case 8:
		sim->workers[value % WORKERS].requests = value / WORKERS % 2;
		break;
	default:
		step(world, 1 + value % 32);
		break;
	}
}

static bool is_at_rest(const sim_t *sim)
{
	for (int32_t w = 0; w < WORKERS; w++) {
		wwh_worker_view_t worker;
		bool known = wwh_state_worker(sim->state, sim->workers[w].id,
					      &worker);

		assert(known);
		if (sim->workers[w].state != WWH_WORKER_UP ||
		    worker.grant != WWH_NO_OFFSET ||
		    worker.failed != WWH_NO_OFFSET || worker.pool[0] == '\0')
			return false;
	}
	return true;
}

/* Without faults everything that was begun must end. */
static void settle(world_t *world)
{
	sim_t *sim = &world->sim;

	sim->log_down = false;
	sim->platform_down = false;
	sim->options.lost_answer_percent = 0;
	sim->options.unavailable_percent = 0;
	for (int32_t i = 0; i < 2; i++)
		sim_release_held(sim, i);
	for (int32_t w = 0; w < WORKERS; w++)
		sim->workers[w].requests = 0;
	for (int32_t i = 0; i < SETTLE_STEPS && !is_at_rest(sim); i++)
		step(world, 1);
	assert(is_at_rest(sim));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();
	sim_options_t options;
	world_t *world = g_new0(world_t, 1);

	fixture.workers = WORKERS;
	fixture.pools = 2;
	options = sim_options_defaults(fixture);
	options.processes = 2;
	options.tick_ms = 3000;
	options.list_lag_ms = 6000;
	options.reboot_ms = 10000;
	options.slow_start_ms = 3000;
	options.drain_limit_s = 30;
	options.return_limit_s = 60;
	options.job_ms = 120000;
	sim_init(&world->sim, &options);
	for (size_t i = 0; i + 1 < size && i < 2 * OPERATIONS_MAX; i += 2)
		operate(world, data[i], data[i + 1]);
	settle(world);
	sim_finish(&world->sim);
	g_free(world);
	return 0;
}
