#ifndef FLEET_SIM_H
#define FLEET_SIM_H

/*
 * A small fake of the platform in memory with the real reducer, the real
 * bridge and the real conductor of each process, on a virtual clock. The
 * checks recount from scratch what the workers really do.
 */

#include <glib.h>
#include <string.h>

#include "fleet_fixture.h"
#include "waxwinghollow/budget.h"
#include "waxwinghollow/conductor.h"
#include "waxwinghollow/fleet_bridge.h"

#define SIM_PROCESSES_MAX 4
#define SIM_TAKEOVER_MS 15000

typedef struct {
	fleet_fixture_t fixture;
	uint32_t seed;
	int32_t processes;
	int64_t tick_ms;
	int32_t rounds; /* of the processes in a tick, a second apart */
	int64_t list_lag_ms;
	int64_t drain_ms;
	int64_t reboot_ms;
	int64_t slow_start_ms;
	int64_t job_ms; /* 0: jobs run until they are stopped */
	bool uneven_jobs; /* a tenth of job_ms to twice as much */
	int32_t lost_answer_percent; /* took effect, the answer was lost */
	int32_t unavailable_percent; /* surely without effect */
	int32_t drain_limit_s;
	int32_t return_limit_s;
	int32_t buffer_weight;
	int32_t move_weight;
	bool check_state;
	const char *windows; /* of the rules, JSON; NULL: none */
} sim_options_t;

typedef struct {
	char id[24];
	wwh_worker_state_t state;
	int64_t until_ms;
	int64_t fence;
	uint32_t done; /* bits of commands under this fence */
	int64_t boots;
	bool never_returns;
	bool fails_tasks;
	int32_t running; /* tasks */
	int32_t requests; /* in progress on its minions */
	wwh_host_state_t host; /* the truth behind the list */
	int64_t host_ms; /* since when */
	int64_t down_until_ms; /* a failure's end; 0: none */
} sim_worker_t;

typedef struct {
	char id[24];
	int32_t worker;
	wwh_task_state_t state;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t started_ms;
	int64_t rest_ms; /* still to run; a checkpoint keeps it */
} sim_task_t;

typedef struct {
	wwh_conductor_t *conductor;
	wwh_observations_t *observations;
	char author[24];
	bool frozen; /* acts on nothing; what it had decided waits */
	bool hold; /* decides and looks, but what it decides waits */
	GQueue held; /* of wwh_action_t * */
} sim_process_t;

typedef struct {
	sim_options_t options;
	GRand *rand;
	int64_t now_ms;
	wwh_state_t *state;
	int64_t offset;
	bool log_down;
	bool platform_down;
	sim_worker_t *workers;
	GPtrArray *tasks; /* of sim_task_t * */
	GHashTable *task_by_id;
	sim_process_t processes[SIM_PROCESSES_MAX];
	/* What was counted. */
	int64_t cut_off; /* tasks or requests that a reboot ended */
	int64_t out_without_grant; /* worker-ticks */
	int64_t over_budget; /* pool-ticks really over the budget */
	int64_t worst_over; /* by how many workers */
	int64_t reboots;
	int64_t fenced_off;
	int64_t refused; /* verdicts other than accepted */
	int64_t checkpoints;
	int64_t runs_started;
	int64_t double_runs; /* of one task id at once */
} sim_t;

static inline sim_options_t sim_options_defaults(fleet_fixture_t fixture)
{
	return (sim_options_t){ .fixture = fixture,
				.seed = 1,
				.processes = 1,
				.tick_ms = 1000,
				.rounds = 1,
				.list_lag_ms = 10000,
				.drain_ms = 5000,
				.reboot_ms = 60000,
				.slow_start_ms = 10000,
				.drain_limit_s = 300,
				.return_limit_s = 300,
				.buffer_weight = 1,
				.move_weight = 1 };
}

/* Appends the record as a process or operator would; takes it over. */
static inline wwh_verdict_t sim_append(sim_t *sim, wwh_record_t *record)
{
	wwh_message_t message;
	wwh_record_t decoded = { 0 };
	GBytes *bytes = wwh_record_encode(record, &message);
	wwh_verdict_t verdict;
	gsize size;
	const uint8_t *data;

	if (!bytes)
		g_error("%s", message.text);
	data = g_bytes_get_data(bytes, &size);
	verdict = wwh_state_apply_entry(sim->state, sim->offset++, data, size,
					&decoded, NULL);
	wwh_record_clear(&decoded);
	wwh_record_clear(record);
	g_bytes_unref(bytes);
	if (verdict != WWH_VERDICT_ACCEPTED)
		sim->refused++;
	return verdict;
}

static inline void sim_config_error(const char *file, int32_t line,
				    const char *text, void *client_data)
{
	(void)client_data;
	g_error("%s:%d: %s", file, line, text);
}

static inline char *sim_inventory(const fleet_fixture_t *fixture)
{
	GString *text = g_string_new("kind,id,address,rack,zone,region,pool,"
				     "cores,memory_mb\n");
	char texts[4][24];

	for (int32_t i = 0; i < fixture->workers; i++) {
		wwh_worker_t worker = fleet_fixture_worker(fixture, i, texts);

		g_string_append_printf(
			text, "worker,%s,10.%d.%d.%d,%s,%s,r,%s,%d,%d\n",
			worker.id, i / 65536, i / 256 % 256, i % 256,
			worker.rack, worker.zone, worker.pool, worker.cores,
			(int)worker.memory_mb);
	}
	return g_string_free(text, FALSE);
}

static inline char *sim_rules(const sim_options_t *options)
{
	const wwh_pool_t *rule = &options->fixture.rule;
	GString *text = g_string_new("{\"pools\": [");

	for (int32_t i = 0; i < options->fixture.pools; i++)
		g_string_append_printf(
			text,
			"%s{\"id\": \"pool%03d\", \"lose_count\": %d, "
			"\"lose_percent\": %d, \"lose_per_rack\": %d, "
			"\"lose_per_zone\": %d, \"reserve\": \"%s\"}",
			i ? "," : "", i, rule->lose_count, rule->lose_percent,
			rule->lose_per_rack, rule->lose_per_zone,
			wwh_domain_names[rule->reserve]);
	g_string_append_printf(
		text,
		"], \"windows\": [%s], \"rules\": {\"buffer_weight\": %d, "
		"\"move_weight\": %d, "
		"\"drain_limit_s\": %d, \"return_limit_s\": %d}}",
		options->windows ? options->windows : "",
		options->buffer_weight, options->move_weight,
		options->drain_limit_s, options->return_limit_s);
	return g_string_free(text, FALSE);
}

/* The fixture's configuration with some worker's pool as given; or -1. */
static inline void sim_publish(sim_t *sim, int32_t worker, int32_t pool)
{
	char *inventory = sim_inventory(&sim->options.fixture);
	char *rules = sim_rules(&sim->options);
	wwh_config_t *config = wwh_config_new();
	wwh_config_change_t *change;
	wwh_record_t record;

	if (worker >= 0) {
		char id[24];
		char *line;

		g_snprintf(id, sizeof(id), "worker,w%05d,", worker);
		line = strstr(inventory, id);
		line = strstr(line, ",pool") + 5;
		g_snprintf(id, sizeof(id), "%03d", pool);
		memcpy(line, id, 3);
	}
	wwh_config_parse(config,
			 &(wwh_config_text_t){ "inventory.csv", inventory,
					       strlen(inventory) },
			 &(wwh_config_text_t){ "rules", rules, strlen(rules) },
			 sim_config_error, NULL);
	change = wwh_config_diff(wwh_state_config(sim->state), config);
	wwh_record_init(&record, WWH_RECORD_CONFIG, "operator:sim");
	record.body.config.base_version = wwh_state_config_version(sim->state);
	if (record.body.config.change)
		g_bytes_unref(record.body.config.change);
	record.body.config.change = wwh_config_change_encode(change);
	if (sim_append(sim, &record) != WWH_VERDICT_ACCEPTED)
		g_error("the configuration was not accepted");
	wwh_config_change_delete(change);
	wwh_config_unref(config);
	g_free(inventory);
	g_free(rules);
}

static inline void sim_take_lease(sim_t *sim, int32_t process, int32_t shard)
{
	wwh_lease_view_t lease = wwh_state_lease(sim->state, shard);
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_LEASE_TAKE,
			sim->processes[process].author);
	record.body.lease.shard = shard;
	record.body.lease.offset = lease.held ? lease.latest : WWH_NO_OFFSET;
	record.body.lease.duration_ms = SIM_TAKEOVER_MS;
	sim_append(sim, &record);
}

static inline void sim_new_process(sim_t *sim, int32_t index)
{
	sim_process_t *process = &sim->processes[index];
	wwh_conductor_options_t options;

	wwh_conductor_options_defaults(&options);
	g_snprintf(process->author, sizeof(process->author), "entry%d-%lld",
		   index, (long long)sim->offset);
	options.author = process->author;
	options.seed = sim->options.seed + (uint32_t)index;
	options.slow_start_ms = sim->options.slow_start_ms;
	options.reboot_ms = sim->options.reboot_ms;
	options.rehearsal_duration_ms = 60000;
	process->conductor = wwh_conductor_new(&options);
	process->observations = wwh_observations_new();
	g_queue_init(&process->held);
}

static inline void sim_drop_process(sim_t *sim, int32_t index)
{
	sim_process_t *process = &sim->processes[index];
	wwh_action_t *action;

	while ((action = g_queue_pop_head(&process->held))) {
		wwh_action_clear(action);
		g_free(action);
	}
	wwh_conductor_delete(process->conductor);
	wwh_observations_delete(process->observations);
	process->conductor = NULL;
	process->observations = NULL;
}

static inline void sim_init(sim_t *sim, const sim_options_t *options)
{
	memset(sim, 0, sizeof(*sim));
	sim->options = *options;
	sim->rand = g_rand_new_with_seed(options->seed);
	sim->now_ms = 1000000;
	sim->state = wwh_state_new();
	wwh_state_set_check(sim->state, options->check_state);
	sim->workers = g_new0(sim_worker_t, options->fixture.workers);
	for (int32_t i = 0; i < options->fixture.workers; i++)
		g_snprintf(sim->workers[i].id, 24, "w%05d", i);
	sim->tasks = g_ptr_array_new_with_free_func(g_free);
	sim->task_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	sim_publish(sim, -1, 0);
	for (int32_t i = 0; i < options->processes; i++)
		sim_new_process(sim, i);
	for (int32_t s = 0; s < WWH_SHARD_POOLS; s++)
		sim_take_lease(sim, s % options->processes, s);
}

static inline void sim_finish(sim_t *sim)
{
	for (int32_t i = 0; i < SIM_PROCESSES_MAX; i++) {
		if (sim->processes[i].conductor)
			sim_drop_process(sim, i);
	}
	g_hash_table_destroy(sim->task_by_id);
	g_ptr_array_unref(sim->tasks);
	g_free(sim->workers);
	wwh_state_delete(sim->state);
	g_rand_free(sim->rand);
}

static inline void sim_set_host(sim_t *sim, int32_t worker,
				wwh_host_state_t state)
{
	sim->workers[worker].host = state;
	sim->workers[worker].host_ms = sim->now_ms;
}

static inline void sim_set_task(sim_t *sim, sim_task_t *task,
				wwh_task_state_t state)
{
	sim->workers[task->worker].running += state == WWH_TASK_RUNNING;
	sim->workers[task->worker].running -= task->state == WWH_TASK_RUNNING;
	task->state = state;
}

/* The worker fails now, for down_ms. */
static inline void sim_fail_worker(sim_t *sim, int32_t index, int64_t down_ms)
{
	sim_worker_t *worker = &sim->workers[index];

	worker->state = WWH_WORKER_DOWN;
	worker->down_until_ms = sim->now_ms + down_ms;
	worker->requests = 0;
	sim_set_host(sim, index, WWH_HOST_GONE);
	for (guint i = 0; i < sim->tasks->len; i++) {
		sim_task_t *task = sim->tasks->pdata[i];

		if (task->worker == index && task->state == WWH_TASK_RUNNING)
			sim_set_task(sim, task, WWH_TASK_STOPPED);
	}
}

static inline void sim_advance_worker(sim_t *sim, int32_t index)
{
	sim_worker_t *worker = &sim->workers[index];

	if (worker->state == WWH_WORKER_DOWN && worker->down_until_ms != 0 &&
	    worker->down_until_ms <= sim->now_ms) {
		worker->down_until_ms = 0;
		worker->boots++;
		worker->state = WWH_WORKER_UP;
		sim_set_host(sim, index, WWH_HOST_LIVE);
	}
	if (worker->until_ms > sim->now_ms)
		return;
	/* The platform drains tasks; of callers' requests it knows nothing. */
	if (worker->state == WWH_WORKER_DRAINING) {
		for (guint i = 0; i < sim->tasks->len; i++) {
			sim_task_t *task = sim->tasks->pdata[i];

			if (task->worker != index ||
			    task->state != WWH_TASK_RUNNING)
				continue;
			task->rest_ms -= sim->now_ms - task->started_ms;
			sim_set_task(sim, task, WWH_TASK_CHECKPOINTED);
			sim->checkpoints++;
		}
		worker->state = WWH_WORKER_DRAINED;
	} else if (worker->state == WWH_WORKER_REBOOTING) {
		if (worker->never_returns) {
			worker->state = WWH_WORKER_DOWN;
			sim_set_host(sim, index, WWH_HOST_GONE);
			return;
		}
		worker->boots++;
		worker->state = WWH_WORKER_CORDONED;
	}
}

static inline void sim_advance(sim_t *sim)
{
	for (int32_t i = 0; i < sim->options.fixture.workers; i++)
		sim_advance_worker(sim, i);
	for (guint i = 0; i < sim->tasks->len; i++) {
		sim_task_t *task = sim->tasks->pdata[i];

		if (task->state != WWH_TASK_RUNNING)
			continue;
		if (sim->options.job_ms > 0 &&
		    sim->now_ms - task->started_ms >= task->rest_ms)
			sim_set_task(sim, task, WWH_TASK_DONE);
		else if (task->lease_until_ms <= sim->now_ms)
			sim_set_task(sim, task, WWH_TASK_STOPPED);
	}
}

static inline wwh_status_t sim_command(sim_t *sim, const wwh_action_t *action)
{
	int32_t index = (int32_t)g_ascii_strtoll(action->worker + 1, NULL, 10);
	sim_worker_t *worker = &sim->workers[index];

	if (action->fence < worker->fence) {
		sim->fenced_off++;
		return WWH_STATUS_CONFLICT;
	}
	if (worker->state == WWH_WORKER_DOWN)
		return WWH_STATUS_UNAVAILABLE;
	if (action->fence > worker->fence) {
		worker->fence = action->fence;
		worker->done = 0;
	}
	if (worker->done & (1U << action->command))
		return WWH_STATUS_OK;
	worker->done |= 1U << action->command;
	switch (action->command) {
	case WWH_COMMAND_CORDON:
		if (worker->state == WWH_WORKER_UP)
			worker->state = WWH_WORKER_CORDONED;
		sim_set_host(sim, index, WWH_HOST_LEAVING);
		break;
	case WWH_COMMAND_DRAIN:
		worker->state = WWH_WORKER_DRAINING;
		worker->until_ms = sim->now_ms + sim->options.drain_ms;
		break;
	case WWH_COMMAND_REBOOT:
		sim->cut_off += worker->running;
		sim->cut_off += worker->requests;
		sim->cut_off += worker->state == WWH_WORKER_UP;
		sim->reboots++;
		worker->requests = 0;
		worker->state = WWH_WORKER_REBOOTING;
		worker->until_ms = sim->now_ms + sim->options.reboot_ms;
		break;
	default:
		if (worker->state != WWH_WORKER_REBOOTING) {
			worker->state = WWH_WORKER_UP;
			sim_set_host(sim, index, WWH_HOST_LIVE);
		}
		break;
	}
	return WWH_STATUS_OK;
}

static inline sim_task_t *sim_start_task(sim_t *sim, const wwh_action_t *action,
					 int32_t worker, sim_task_t *task)
{
	if (!task) {
		task = g_new0(sim_task_t, 1);
		g_strlcpy(task->id, action->task, sizeof(task->id));
		task->state = WWH_TASK_STOPPED;
		task->worker = worker;
		task->rest_ms = sim->options.job_ms;
		if (sim->options.uneven_jobs)
			task->rest_ms = (int64_t)((double)task->rest_ms *
						  g_rand_double_range(
							  sim->rand, 0.1, 2.0));
		g_ptr_array_add(sim->tasks, task);
		g_hash_table_insert(sim->task_by_id, task->id, task);
	}
	sim->double_runs += task->state == WWH_TASK_RUNNING;
	sim_set_task(sim, task, WWH_TASK_STOPPED);
	task->worker = worker;
	task->fence = action->fence;
	task->started_ms = sim->now_ms;
	sim_set_task(sim, task, WWH_TASK_RUNNING);
	if (sim->workers[worker].fails_tasks ||
	    g_str_has_prefix(task->id, "poison"))
		sim_set_task(sim, task, WWH_TASK_FAILED);
	sim->runs_started++;
	return task;
}

static inline wwh_status_t sim_order(sim_t *sim, const wwh_action_t *action)
{
	int32_t index = (int32_t)g_ascii_strtoll(action->worker + 1, NULL, 10);
	sim_task_t *task = g_hash_table_lookup(sim->task_by_id, action->task);

	if (task && action->fence < task->fence)
		return WWH_STATUS_CONFLICT;
	if (sim->workers[index].state == WWH_WORKER_DOWN ||
	    sim->workers[index].state == WWH_WORKER_REBOOTING)
		return WWH_STATUS_UNAVAILABLE;
	if (action->verb == WWH_TASK_START &&
	    (!task || action->fence > task->fence)) {
		if (sim->workers[index].state != WWH_WORKER_UP)
			return WWH_STATUS_UNAVAILABLE;
		task = sim_start_task(sim, action, index, task);
	}
	if (!task || task->worker != index)
		return WWH_STATUS_NOT_FOUND;
	if (action->verb == WWH_TASK_START)
		task->lease_until_ms = sim->now_ms + action->lease_ms;
	else if (action->verb == WWH_TASK_STOP &&
		 task->state == WWH_TASK_RUNNING)
		sim_set_task(sim, task, WWH_TASK_STOPPED);
	return WWH_STATUS_OK;
}

static inline void sim_look(sim_t *sim, const wwh_action_t *action,
			    wwh_action_result_t *result)
{
	int32_t index = (int32_t)g_ascii_strtoll(action->worker + 1, NULL, 10);
	const sim_worker_t *worker = &sim->workers[index];

	result->worker = (wwh_worker_status_t){
		.state = worker->state,
		.fence = worker->fence,
		.boots = worker->boots,
		.running_tasks = worker->running,
	};
}

static inline bool sim_chance(sim_t *sim, int32_t percent)
{
	return percent > 0 && g_rand_int_range(sim->rand, 0, 100) < percent;
}

/* Carries the action out and feeds the result back. */
static inline void sim_perform(sim_t *sim, sim_process_t *process,
			       wwh_action_t *action)
{
	wwh_action_result_t result = { .id = action->id };
	bool lost = sim_chance(sim, sim->options.lost_answer_percent);
	bool down = action->kind == WWH_ACTION_APPEND ? sim->log_down
						      : sim->platform_down;

	if (down || sim_chance(sim, sim->options.unavailable_percent)) {
		result.status = WWH_STATUS_UNAVAILABLE;
	} else if (action->kind == WWH_ACTION_APPEND) {
		/* The log client finds a lost answer by reading. */
		result.verdict = sim_append(sim, &action->record);
	} else if (action->kind == WWH_ACTION_COMMAND) {
		result.status = sim_command(sim, action);
	} else if (action->kind == WWH_ACTION_GET_STATUS) {
		sim_look(sim, action, &result);
	} else if (action->kind == WWH_ACTION_TASK) {
		result.status = sim_order(sim, action);
	}
	if (lost && action->kind != WWH_ACTION_APPEND)
		result.status = WWH_STATUS_UNKNOWN;
	if (action->kind != WWH_ACTION_LOG)
		wwh_conductor_handle_result(process->conductor, &result,
					    sim->now_ms);
	else if (g_getenv("SIM_TELL"))
		g_print("%lld %s: %s\n", (long long)sim->now_ms / 1000,
			process->author, action->text);
	wwh_action_clear(action);
}

static inline void sim_observe(sim_t *sim, sim_process_t *process)
{
	for (int32_t i = 0; i < sim->options.fixture.workers; i++) {
		const sim_worker_t *worker = &sim->workers[i];
		wwh_host_t host = { .id = worker->id,
				    .kind = WWH_HOST_WORKER,
				    .state = worker->host };

		wwh_observations_set_requests(process->observations, worker->id,
					      worker->requests);
		if (worker->host_ms + sim->options.list_lag_ms <= sim->now_ms)
			wwh_observations_set_host(process->observations, &host);
	}
	for (guint i = 0; i < sim->tasks->len; i++) {
		const sim_task_t *task = sim->tasks->pdata[i];
		wwh_task_report_t report = {
			.task_id = task->id,
			.worker_id = sim->workers[task->worker].id,
			.state = task->state,
			.fence = task->fence,
			.used_cores_milli = 2000,
			.used_memory_mb = 1024
		};

		wwh_observations_add_task_report(process->observations, &report,
						 sim->now_ms);
	}
}

static inline void sim_run_process(sim_t *sim, sim_process_t *process)
{
	wwh_fleet_view_t *view;
	wwh_action_t action;

	sim_observe(sim, process);
	view = wwh_fleet_bridge_create_view(sim->state, process->observations,
					    process->author, sim->now_ms);
	wwh_conductor_tick(process->conductor, sim->now_ms, view);
	wwh_fleet_view_delete(view);
	while (wwh_conductor_next_action(process->conductor, &action)) {
		if (process->hold && (action.kind == WWH_ACTION_COMMAND ||
				      action.kind == WWH_ACTION_APPEND)) {
			wwh_action_t *kept = g_new0(wwh_action_t, 1);

			*kept = action;
			g_queue_push_tail(&process->held, kept);
			continue;
		}
		sim_perform(sim, process, &action);
	}
}

/* What a process had decided before it froze happens now. */
static inline void sim_release_held(sim_t *sim, int32_t index)
{
	sim_process_t *process = &sim->processes[index];
	wwh_action_t *action;

	process->hold = false;
	process->frozen = false;
	while ((action = g_queue_pop_head(&process->held))) {
		sim_perform(sim, process, action);
		g_free(action);
	}
}

/* Recounts what the workers really do against grants and budgets. */
static inline void sim_check(sim_t *sim)
{
	const fleet_fixture_t *fixture = &sim->options.fixture;
	int32_t *lost = g_new0(int32_t, fixture->pools);
	int32_t *size = g_new0(int32_t, fixture->pools);

	for (int32_t i = 0; i < fixture->workers; i++) {
		const sim_worker_t *worker = &sim->workers[i];
		wwh_worker_view_t known;
		int32_t pool;

		wwh_state_worker(sim->state, worker->id, &known);
		if (worker->state != WWH_WORKER_UP &&
		    worker->state != WWH_WORKER_DOWN &&
		    known.grant == WWH_NO_OFFSET &&
		    known.failed == WWH_NO_OFFSET)
			sim->out_without_grant++;
		if (known.pool[0] == '\0')
			continue;
		pool = (int32_t)g_ascii_strtoll(known.pool + 4, NULL, 10);
		size[pool]++;
		lost[pool] += worker->state != WWH_WORKER_UP || known.lost;
	}
	for (int32_t i = 0; i < fixture->pools; i++) {
		int32_t limit = wwh_budget_limit(&fixture->rule, size[i]);

		sim->over_budget += lost[i] > limit;
		sim->worst_over = MAX(sim->worst_over, lost[i] - limit);
	}
	g_free(lost);
	g_free(size);
}

static inline void sim_run_processes(sim_t *sim)
{
	sim_advance(sim);
	for (int32_t i = 0; i < SIM_PROCESSES_MAX; i++) {
		if (sim->processes[i].conductor && !sim->processes[i].frozen)
			sim_run_process(sim, &sim->processes[i]);
	}
}

/*
 * Processes tick each second. Where a long wave is played in longer ticks,
 * some rounds in each keep the steps of a worker's way a second apart.
 */
static inline void sim_step(sim_t *sim)
{
	int64_t end_ms = sim->now_ms + sim->options.tick_ms;

	sim->now_ms = end_ms - (sim->options.rounds - 1) * INT64_C(1000);
	for (int32_t i = 0; i < sim->options.rounds; i++) {
		sim_run_processes(sim);
		sim->now_ms += 1000;
	}
	sim->now_ms = end_ms;
	sim_check(sim);
}

static inline wwh_verdict_t sim_start_wave(sim_t *sim, const char *wave,
					   int32_t pool)
{
	char pool_id[24];
	wwh_record_t record;

	g_snprintf(pool_id, sizeof(pool_id), "pool%03d", pool);
	wwh_record_init(&record, WWH_RECORD_WAVE_START, "operator:sim");
	wwh_record_set(&record.body.wave.wave, wave);
	wwh_record_set(&record.body.wave.pool, pool_id);
	return sim_append(sim, &record);
}

static inline void sim_start_waves(sim_t *sim)
{
	for (int32_t i = 0; i < sim->options.fixture.pools; i++) {
		char wave[24];

		g_snprintf(wave, sizeof(wave), "wave-%03d", i);
		sim_start_wave(sim, wave, i);
	}
}

static inline void sim_wave_verb(sim_t *sim, wwh_record_kind_t kind,
				 const char *wave)
{
	wwh_record_t record;

	wwh_record_init(&record, kind, "operator:sim");
	wwh_record_set(&record.body.wave.wave, wave);
	sim_append(sim, &record);
}

/* How many of the waves wave-NNN have finished. */
static inline int32_t sim_waves_finished(const sim_t *sim, int32_t *done)
{
	int32_t finished = 0;

	*done = 0;
	for (int32_t i = 0; i < sim->options.fixture.pools; i++) {
		wwh_wave_view_t wave;
		char id[24];

		g_snprintf(id, sizeof(id), "wave-%03d", i);
		if (!wwh_state_wave(sim->state, id, &wave))
			continue;
		finished += wave.phase == WWH_WAVE_PHASE_FINISHED;
		*done += wave.done_count;
	}
	return finished;
}

static inline void sim_submit(sim_t *sim, const char *id, int32_t pool,
			      bool urgent, bool idempotent)
{
	char pool_id[24];
	wwh_record_t record;

	g_snprintf(pool_id, sizeof(pool_id), "pool%03d", pool);
	wwh_record_init(&record, WWH_RECORD_JOB_SUBMIT, "operator:sim");
	wwh_record_set(&record.body.job_submit.job, id);
	wwh_record_set(&record.body.job_submit.pool, pool_id);
	wwh_record_set(&record.body.job_submit.team, "team");
	record.body.job_submit.cores = 4;
	record.body.job_submit.memory_mb = 4096;
	record.body.job_submit.urgent = urgent;
	record.body.job_submit.idempotent = idempotent;
	sim_append(sim, &record);
}

/* Leases of a process that no longer renews pass to another. */
static inline void sim_take_over(sim_t *sim, int32_t from, int32_t to)
{
	for (int32_t s = 0; s < WWH_SHARD_POOLS; s++) {
		wwh_lease_view_t lease = wwh_state_lease(sim->state, s);

		if (strcmp(lease.holder, sim->processes[from].author) == 0)
			sim_take_lease(sim, to, s);
	}
}

#endif
