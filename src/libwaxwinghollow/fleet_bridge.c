#include "waxwinghollow/fleet_bridge.h"

#include <string.h>

#define RUN_TIMES_KEPT 32 /* of a team's last jobs */
#define SPARE_TASKS 1024 /* reports of tasks that no job in the view has */

/* How long a team's last jobs ran. */
typedef struct {
	int64_t ms[RUN_TIMES_KEPT];
	int32_t count;
	int32_t next;
} run_times_t;

typedef struct {
	int64_t fence;
	wwh_task_state_t state;
	wwh_load_t used;
	int64_t started_ms; /* first report of this fence */
	int64_t queued_ms; /* first seen as waiting */
	bool ended;
} task_t;

struct wwh_observations {
	GHashTable *hosts; /* worker id to state + 1 */
	GHashTable *tasks; /* task id to task_t */
	GHashTable *requests; /* worker id to count + 1 */
	GHashTable *run_times; /* team to run_times_t */
};

typedef struct {
	const wwh_state_t *state;
	wwh_observations_t *observations;
	wwh_fleet_view_t *view;
	const char *author;
	int64_t now_ms;
} bridge_t;

static task_t *task_of(wwh_observations_t *observations, const char *id);
static void add_config(bridge_t *bridge);
static void add_pools(bridge_t *bridge);
static bool add_worker(const wwh_worker_view_t *worker, void *client_data);
static void set_state(bridge_t *bridge, const wwh_worker_view_t *worker,
		      wwh_fleet_worker_t *item);
static int32_t pool_of(const bridge_t *bridge, const char *id);
static bool add_wave(const wwh_wave_view_t *wave, void *client_data);
static void mark_wave(bridge_t *bridge, const wwh_wave_view_t *wave);
static bool add_rehearsal(const wwh_rehearsal_view_t *rehearsal,
			  void *client_data);
static bool add_job(const wwh_job_view_t *job, void *client_data);
static void add_report(bridge_t *bridge, const wwh_job_view_t *job,
		       wwh_fleet_job_t *item);
static int64_t expected_end_ms(const run_times_t *times, int64_t started_ms,
			       int64_t now_ms);
static void note_run_time(bridge_t *bridge, const wwh_job_view_t *job);
static void sum_use(wwh_fleet_view_t *view);
static void drop_old_tasks(const bridge_t *bridge);
static gboolean is_forgotten(gpointer key, gpointer value,
			     gpointer client_data);

wwh_observations_t *wwh_observations_new(void)
{
	wwh_observations_t *observations = g_new0(wwh_observations_t, 1);

	observations->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	observations->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observations->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	observations->run_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return observations;
}

void wwh_observations_delete(wwh_observations_t *observations)
{
	if (!observations)
		return;
	g_hash_table_destroy(observations->hosts);
	g_hash_table_destroy(observations->tasks);
	g_hash_table_destroy(observations->requests);
	g_hash_table_destroy(observations->run_times);
	g_free(observations);
}

void wwh_observations_set_host(wwh_observations_t *observations,
			       const wwh_host_t *host)
{
	if (host->kind != WWH_HOST_WORKER)
		return;
	g_hash_table_insert(observations->hosts, g_strdup(host->id),
			    GINT_TO_POINTER((gint)host->state + 1));
}

void wwh_observations_add_task_report(wwh_observations_t *observations,
				      const wwh_task_report_t *report,
				      int64_t now_ms)
{
	task_t *task = task_of(observations, report->task_id);

	if (report->fence < task->fence)
		return;
	if (report->fence > task->fence) {
		task->fence = report->fence;
		task->started_ms = now_ms;
		task->ended = false;
	}
	task->state = report->state;
	task->used.cpu_millicores = report->used_cores_milli;
	task->used.memory_mb = report->used_memory_mb;
}

void wwh_observations_set_requests(wwh_observations_t *observations,
				   const char *worker, int32_t in_progress)
{
	g_hash_table_insert(observations->requests, g_strdup(worker),
			    GINT_TO_POINTER(in_progress + 1));
}

wwh_fleet_view_t *wwh_fleet_bridge_create_view(const wwh_state_t *state,
					       wwh_observations_t *observations,
					       const char *author,
					       int64_t now_ms)
{
	bridge_t bridge = { .state = state,
			    .observations = observations,
			    .view = wwh_fleet_view_new(),
			    .author = author,
			    .now_ms = now_ms };

	add_config(&bridge);
	add_pools(&bridge);
	wwh_state_each_worker(state, add_worker, &bridge);
	wwh_state_each_wave(state, add_wave, &bridge);
	wwh_state_each_rehearsal(state, add_rehearsal, &bridge);
	wwh_state_each_job(state, add_job, &bridge);
	wwh_fleet_view_set_offset(bridge.view, wwh_state_last_offset(state));
	wwh_fleet_view_seal(bridge.view);
	sum_use(bridge.view);
	drop_old_tasks(&bridge);
	return bridge.view;
}

static task_t *task_of(wwh_observations_t *observations, const char *id)
{
	task_t *task = g_hash_table_lookup(observations->tasks, id);

	if (task)
		return task;
	task = g_new0(task_t, 1);
	task->fence = WWH_NO_OFFSET;
	g_hash_table_insert(observations->tasks, g_strdup(id), task);
	return task;
}

static void add_config(bridge_t *bridge)
{
	const wwh_config_t *config = wwh_state_config(bridge->state);

	wwh_fleet_view_set_rules(bridge->view, wwh_config_rules(config));
	for (int32_t i = 0; i < wwh_config_window_count(config); i++)
		wwh_fleet_view_add_window(bridge->view,
					  wwh_config_window_at(config, i));
	for (int32_t i = 0; i < wwh_config_team_count(config); i++)
		wwh_fleet_view_add_team(bridge->view,
					wwh_config_team_at(config, i));
}

static void add_pools(bridge_t *bridge)
{
	const wwh_config_t *config = wwh_state_config(bridge->state);

	for (int32_t i = 0; i < wwh_config_pool_count(config); i++) {
		const wwh_pool_t *rule = wwh_config_pool_at(config, i);
		int32_t index = wwh_fleet_view_add_pool(bridge->view, rule);
		wwh_lease_view_t lease = wwh_state_lease(
			bridge->state, wwh_shard_of_pool(rule->id));

		if (lease.held && strcmp(lease.holder, bridge->author) == 0)
			wwh_fleet_pool(bridge->view, index)->fence =
				lease.fence;
	}
}

static bool add_worker(const wwh_worker_view_t *worker, void *client_data)
{
	bridge_t *bridge = client_data;
	wwh_worker_t declared = *worker->declared;
	int32_t index;

	declared.pool = (char *)worker->pool;
	index = wwh_fleet_view_add_worker(bridge->view, &declared);
	set_state(bridge, worker, wwh_fleet_worker(bridge->view, index));
	return true;
}

static void set_state(bridge_t *bridge, const wwh_worker_view_t *worker,
		      wwh_fleet_worker_t *item)
{
	const wwh_observations_t *observations = bridge->observations;
	gpointer host = g_hash_table_lookup(observations->hosts, worker->id);
	gpointer requests =
		g_hash_table_lookup(observations->requests, worker->id);

	item->grant = worker->grant;
	item->failed = worker->failed;
	item->quarantined = worker->quarantined != WWH_NO_OFFSET;
	item->wanted_pool = pool_of(bridge, worker->wanted_pool);
	if (worker->grant != WWH_NO_OFFSET) {
		item->grant_reason = worker->grant_reason;
		item->grant_owner = wwh_fleet_view_copy_string(
			bridge->view, worker->grant_owner);
	}
	if (worker->move != WWH_NO_OFFSET) {
		item->move_from = pool_of(bridge, worker->move_from);
		item->move_to = pool_of(bridge, worker->move_to);
	}
	if (worker->pool[0] == '\0')
		item->state = WWH_FLEET_BETWEEN;
	else if (worker->grant != WWH_NO_OFFSET)
		item->state = WWH_FLEET_OUT;
	else if (worker->failed != WWH_NO_OFFSET)
		item->state = WWH_FLEET_FAILED;
	if (host)
		item->host_state = GPOINTER_TO_INT(host) - 1;
	if (requests)
		item->requests_in_progress = GPOINTER_TO_INT(requests) - 1;
}

static int32_t pool_of(const bridge_t *bridge, const char *id)
{
	return wwh_fleet_find_pool(bridge->view, id);
}

/* Ended waves are needed while workers are out under them. */
static bool add_wave(const wwh_wave_view_t *wave, void *client_data)
{
	bridge_t *bridge = client_data;
	wwh_fleet_wave_t item = { .id = wave->id,
				  .pool = pool_of(bridge, wave->pool),
				  .phase = wave->phase };

	if (item.pool == WWH_FLEET_NONE ||
	    wave->phase == WWH_WAVE_PHASE_FINISHED)
		return true;
	wwh_fleet_view_add_wave(bridge->view, &item);
	if (wave->phase != WWH_WAVE_PHASE_ABORTED)
		mark_wave(bridge, wave);
	return true;
}

/* Sets in_wave and maintained of the wave's workers. */
static void mark_wave(bridge_t *bridge, const wwh_wave_view_t *wave)
{
	wwh_fleet_view_t *view = bridge->view;
	int32_t pool = pool_of(bridge, wave->pool);
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < worker_count && wave->worker_count == 0; i++) {
		wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);

		worker->in_wave = worker->in_wave || worker->pool == pool;
	}
	for (int32_t i = 0; i < wave->worker_count; i++) {
		int32_t index = wwh_fleet_find_worker(view, wave->workers[i]);

		if (index != WWH_FLEET_NONE &&
		    wwh_fleet_worker(view, index)->pool == pool)
			wwh_fleet_worker(view, index)->in_wave = true;
	}
	for (int32_t i = 0; i < wave->done_count; i++) {
		int32_t index = wwh_fleet_find_worker(view, wave->done[i]);

		if (index != WWH_FLEET_NONE)
			wwh_fleet_worker(view, index)->maintained = true;
	}
}

static bool add_rehearsal(const wwh_rehearsal_view_t *rehearsal,
			  void *client_data)
{
	bridge_t *bridge = client_data;
	wwh_fleet_rehearsal_t item = { .id = rehearsal->id,
				       .domain = rehearsal->domain,
				       .domain_id = rehearsal->domain_id,
				       .offset = rehearsal->offset,
				       .running = rehearsal->running };

	if (rehearsal->running)
		wwh_fleet_view_add_rehearsal(bridge->view, &item);
	return true;
}

static bool add_job(const wwh_job_view_t *job, void *client_data)
{
	bridge_t *bridge = client_data;
	wwh_fleet_job_t item = {
		.id = job->id,
		.team = job->team,
		.group = job->team, /* its jobs are spread over zones */
		.pool = pool_of(bridge, job->pool),
		.worker = WWH_FLEET_NONE,
		.phase = job->phase,
		.declared = { job->cores * 1000, job->memory_mb,
			      job->accelerators },
		.urgent = job->urgent,
		.idempotent = job->idempotent,
		.lease = job->fence,
		.report = WWH_FLEET_UNKNOWN,
	};

	if (job->phase == WWH_JOB_PHASE_DONE ||
	    job->phase == WWH_JOB_PHASE_FAILED) {
		note_run_time(bridge, job);
		return true;
	}
	if (item.pool == WWH_FLEET_NONE)
		return true;
	if (job->phase == WWH_JOB_PHASE_PENDING)
		item.checkpointed = job->checkpoint != WWH_NO_OFFSET;
	else
		item.worker = wwh_fleet_find_worker(bridge->view, job->worker);
	add_report(bridge, job, &item);
	if (job->phase == WWH_JOB_PHASE_CANCELLED &&
	    item.report != WWH_TASK_RUNNING)
		return true;
	wwh_fleet_view_add_job(bridge->view, &item);
	return true;
}

static void add_report(bridge_t *bridge, const wwh_job_view_t *job,
		       wwh_fleet_job_t *item)
{
	task_t *task = task_of(bridge->observations, job->id);
	const run_times_t *times =
		g_hash_table_lookup(bridge->observations->run_times, job->team);

	if (task->queued_ms == 0)
		task->queued_ms = bridge->now_ms;
	item->queued_ms = task->queued_ms;
	if (job->phase == WWH_JOB_PHASE_PENDING)
		return;
	/* Without a report yet it is a moment old. */
	item->started_ms = bridge->now_ms;
	if (task->fence != job->fence)
		return;
	item->report = (int32_t)task->state;
	item->used = task->used;
	item->started_ms = task->started_ms;
	if (times)
		item->expected_end_ms = expected_end_ms(times, task->started_ms,
							bridge->now_ms);
}

/*
 * Half of those of the team's jobs that ran longer than this one has so far
 * had ended by then; 0 when none ran as long.
 */
static int64_t expected_end_ms(const run_times_t *times, int64_t started_ms,
			       int64_t now_ms)
{
	int64_t longer[RUN_TIMES_KEPT];
	int32_t count = 0;

	for (int32_t i = 0; i < times->count; i++) {
		int32_t at = count;

		if (times->ms[i] <= now_ms - started_ms)
			continue;
		for (; at > 0 && longer[at - 1] > times->ms[i]; at--)
			longer[at] = longer[at - 1];
		longer[at] = times->ms[i];
		count++;
	}
	return count == 0 ? 0 : started_ms + longer[count / 2];
}

/* Run times are learnt per team: declared ones are far from the truth. */
static void note_run_time(bridge_t *bridge, const wwh_job_view_t *job)
{
	wwh_observations_t *observations = bridge->observations;
	task_t *task = g_hash_table_lookup(observations->tasks, job->id);
	run_times_t *times =
		g_hash_table_lookup(observations->run_times, job->team);

	if (!task)
		return;
	if (!times) {
		times = g_new0(run_times_t, 1);
		g_hash_table_insert(observations->run_times,
				    g_strdup(job->team), times);
	}
	if (task->fence == job->fence && job->phase == WWH_JOB_PHASE_DONE) {
		times->ms[times->next] = bridge->now_ms - task->started_ms;
		times->next = (times->next + 1) % RUN_TIMES_KEPT;
		times->count = MIN(times->count + 1, RUN_TIMES_KEPT);
	}
	g_hash_table_remove(observations->tasks, job->id);
}

/* Observed use of each worker, from its jobs. */
static void sum_use(wwh_fleet_view_t *view)
{
	int32_t job_count = wwh_fleet_job_count(view);

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(view, i);
		wwh_fleet_worker_t *worker;

		if (job->worker == WWH_FLEET_NONE)
			continue;
		worker = wwh_fleet_worker(view, job->worker);
		worker->used.cpu_millicores += job->used.cpu_millicores;
		worker->used.memory_mb += job->used.memory_mb;
	}
}

/* The platform may report tasks for long after their jobs are forgotten. */
static void drop_old_tasks(const bridge_t *bridge)
{
	GHashTable *tasks = bridge->observations->tasks;
	guint jobs = (guint)wwh_fleet_job_count(bridge->view);

	if (g_hash_table_size(tasks) > jobs + SPARE_TASKS)
		g_hash_table_foreach_remove(tasks, is_forgotten, bridge->view);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer client_data)
{
	(void)value;
	return wwh_fleet_find_job(client_data, key) == WWH_FLEET_NONE;
}
