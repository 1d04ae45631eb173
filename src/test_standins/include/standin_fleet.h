#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

/*
 * Hosts, workers and tasks of the platform stand-in. Nothing runs by itself:
 * each object is brought up to the present when it is looked at.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/platform.h"

typedef struct {
	char *id;
	char *kind;
	char *state;
	char *address;
	char *zone;
	int64_t at_ms; /* when it was registered */
} standin_host_t;

typedef struct {
	char *id;
	wwh_worker_state_t state;
	int64_t until_ms; /* end of a drain or reboot */
	int64_t fence;
	uint32_t commands_done; /* bits of wwh_command_t under this fence */
	int64_t boots;
	bool never_returns;
	bool fails_tasks;
} standin_worker_t;

typedef struct {
	char *id;
	char *worker_id;
	wwh_task_state_t state;
	wwh_task_state_t earlier; /* before changed_ms */
	bool reported; /* earlier holds a state that was there */
	int64_t changed_ms;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t done_ms; /* 0: runs until it is stopped */
	int64_t cores_milli;
	int64_t memory_mb;
} standin_task_t;

/* How long things take; all can be set. */
typedef enum {
	STANDIN_REBOOT_MS = 0,
	STANDIN_DRAIN_MS,
	STANDIN_TASK_RUN_MS, /* 0: until the task is stopped */
	STANDIN_TASK_LAG_MS,
	STANDIN_LIST_LAG_MS,
	STANDIN_TIME_COUNT
} standin_time_t;

static const char *const standin_time_names[STANDIN_TIME_COUNT] = {
	"reboot_ms", "drain_ms", "task_run_ms", "task_lag_ms", "list_lag_ms",
};

typedef struct {
	GMutex lock;
	GPtrArray *changes; /* standin_host_t *, in order of registration */
	guint shown; /* changes that the list shows */
	GTree *hosts; /* the list as shown: id to standin_host_t * */
	GTree *workers; /* id to standin_worker_t * */
	GTree *tasks; /* id to standin_task_t * */
	int64_t times[STANDIN_TIME_COUNT];
	GRand *rand;
} standin_fleet_t;

static int standin_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void standin_host_free(gpointer data)
{
	standin_host_t *host = data;

	g_free(host->id);
	g_free(host->kind);
	g_free(host->state);
	g_free(host->address);
	g_free(host->zone);
	g_free(host);
}

static void standin_worker_free(gpointer data)
{
	standin_worker_t *worker = data;

	g_free(worker->id);
	g_free(worker);
}

static void standin_task_free(gpointer data)
{
	standin_task_t *task = data;

	g_free(task->id);
	g_free(task->worker_id);
	g_free(task);
}

static void standin_fleet_init(standin_fleet_t *fleet, uint32_t seed)
{
	g_mutex_init(&fleet->lock);
	fleet->changes = g_ptr_array_new_with_free_func(standin_host_free);
	fleet->hosts = g_tree_new_full(standin_compare, NULL, NULL, NULL);
	fleet->workers = g_tree_new_full(standin_compare, NULL, NULL,
					 standin_worker_free);
	fleet->tasks =
		g_tree_new_full(standin_compare, NULL, NULL, standin_task_free);
	fleet->times[STANDIN_REBOOT_MS] = 500;
	fleet->times[STANDIN_DRAIN_MS] = 200;
	fleet->rand = g_rand_new_with_seed(seed);
}

static void standin_fleet_clear(standin_fleet_t *fleet)
{
	g_tree_destroy(fleet->tasks);
	g_tree_destroy(fleet->workers);
	g_tree_destroy(fleet->hosts);
	g_ptr_array_unref(fleet->changes);
	g_rand_free(fleet->rand);
	g_mutex_clear(&fleet->lock);
}

/* Takes over host. */
static void standin_host_register(standin_fleet_t *fleet, standin_host_t *host,
				  int64_t now_ms)
{
	host->at_ms = now_ms;
	g_mutex_lock(&fleet->lock);
	g_ptr_array_add(fleet->changes, host);
	g_mutex_unlock(&fleet->lock);
}

/* Lets the list show what is older than its lag. */
static void standin_list_advance(standin_fleet_t *fleet, int64_t now_ms)
{
	int64_t seen_ms = now_ms - fleet->times[STANDIN_LIST_LAG_MS];

	while (fleet->shown < fleet->changes->len) {
		standin_host_t *host = fleet->changes->pdata[fleet->shown];

		if (host->at_ms > seen_ms)
			break;
		g_tree_replace(fleet->hosts, host->id, host);
		fleet->shown++;
	}
}

static void standin_task_set(standin_task_t *task, wwh_task_state_t state,
			     int64_t now_ms)
{
	if (task->state == state)
		return;
	task->earlier = task->state;
	task->reported = true;
	task->state = state;
	task->changed_ms = now_ms;
}

static void standin_task_advance(standin_task_t *task, int64_t now_ms)
{
	if (task->state != WWH_TASK_RUNNING)
		return;
	if (task->done_ms != 0 && task->done_ms <= now_ms &&
	    task->done_ms <= task->lease_until_ms)
		standin_task_set(task, WWH_TASK_DONE, task->done_ms);
	else if (task->lease_until_ms <= now_ms)
		standin_task_set(task, WWH_TASK_STOPPED, task->lease_until_ms);
}

typedef struct {
	const char *worker_id;
	wwh_task_state_t to; /* WWH_TASK_RUNNING: only count */
	int64_t now_ms;
	int32_t running;
} standin_sweep_t;

static gboolean standin_sweep_one(gpointer key, gpointer value, gpointer data)
{
	standin_task_t *task = value;
	standin_sweep_t *sweep = data;

	(void)key;
	if (strcmp(task->worker_id, sweep->worker_id) != 0)
		return FALSE;
	standin_task_advance(task, sweep->now_ms);
	if (task->state == WWH_TASK_RUNNING && sweep->to != WWH_TASK_RUNNING)
		standin_task_set(task, sweep->to, sweep->now_ms);
	if (task->state == WWH_TASK_RUNNING)
		sweep->running++;
	return FALSE;
}

/* Sets the worker's running tasks to a state; returns how many still run. */
static int32_t standin_tasks_sweep(standin_fleet_t *fleet,
				   const char *worker_id, wwh_task_state_t to,
				   int64_t now_ms)
{
	standin_sweep_t sweep = { worker_id, to, now_ms, 0 };

	g_tree_foreach(fleet->tasks, standin_sweep_one, &sweep);
	return sweep.running;
}

static void standin_worker_advance(standin_fleet_t *fleet,
				   standin_worker_t *worker, int64_t now_ms)
{
	if (worker->until_ms > now_ms)
		return;
	if (worker->state == WWH_WORKER_DRAINING) {
		standin_tasks_sweep(fleet, worker->id, WWH_TASK_CHECKPOINTED,
				    now_ms);
		worker->state = WWH_WORKER_DRAINED;
	} else if (worker->state == WWH_WORKER_REBOOTING) {
		if (worker->never_returns) {
			worker->state = WWH_WORKER_DOWN;
			return;
		}
		worker->boots++;
		worker->state = WWH_WORKER_CORDONED;
	}
}

static void standin_worker_obey(standin_fleet_t *fleet,
				standin_worker_t *worker, wwh_command_t command,
				int64_t now_ms)
{
	switch (command) {
	case WWH_COMMAND_CORDON:
		if (worker->state == WWH_WORKER_UP)
			worker->state = WWH_WORKER_CORDONED;
		break;
	case WWH_COMMAND_DRAIN:
		worker->state = WWH_WORKER_DRAINING;
		worker->until_ms = now_ms + fleet->times[STANDIN_DRAIN_MS];
		break;
	case WWH_COMMAND_REBOOT:
		standin_tasks_sweep(fleet, worker->id, WWH_TASK_FAILED, now_ms);
		worker->state = WWH_WORKER_REBOOTING;
		worker->until_ms = now_ms + fleet->times[STANDIN_REBOOT_MS];
		break;
	case WWH_COMMAND_UNCORDON:
		if (worker->state != WWH_WORKER_REBOOTING)
			worker->state = WWH_WORKER_UP;
		break;
	default:
		break;
	}
}

/* Returns the HTTP status. The lock must be held. */
static unsigned int standin_worker_command(standin_fleet_t *fleet,
					   const char *id,
					   wwh_command_t command, int64_t fence,
					   int64_t now_ms)
{
	standin_worker_t *worker = g_tree_lookup(fleet->workers, id);

	if (worker == NULL)
		return 404;
	standin_worker_advance(fleet, worker, now_ms);
	if (fence < worker->fence)
		return 409;
	if (worker->state == WWH_WORKER_DOWN)
		return 503;
	if (fence > worker->fence) {
		worker->fence = fence;
		worker->commands_done = 0;
	}
	if ((worker->commands_done & (1U << command)) == 0) {
		worker->commands_done |= 1U << command;
		standin_worker_obey(fleet, worker, command, now_ms);
	}
	return 200;
}

static standin_task_t *standin_task_start(standin_fleet_t *fleet,
					  const wwh_task_order_t *order,
					  standin_worker_t *worker,
					  int64_t now_ms)
{
	standin_task_t *task = g_new0(standin_task_t, 1);
	/* What a task uses is far from what was declared for it. */
	double share = g_rand_double_range(fleet->rand, 0.1, 1.4);

	task->id = g_strdup(order->task_id);
	task->worker_id = g_strdup(order->worker_id);
	task->state = worker->fails_tasks ? WWH_TASK_FAILED : WWH_TASK_RUNNING;
	task->changed_ms = now_ms;
	task->cores_milli = (int64_t)(order->cores * 1000 * share);
	task->memory_mb = (int64_t)((double)order->memory_mb * share);
	if (fleet->times[STANDIN_TASK_RUN_MS] > 0)
		task->done_ms = now_ms + fleet->times[STANDIN_TASK_RUN_MS];
	g_tree_replace(fleet->tasks, task->id, task);
	return task;
}

static void standin_task_obey(standin_task_t *task,
			      const wwh_task_order_t *order, int64_t now_ms)
{
	if (task->state != WWH_TASK_RUNNING)
		return;
	if (order->verb == WWH_TASK_CHECKPOINT)
		standin_task_set(task, WWH_TASK_CHECKPOINTED, now_ms);
	else if (order->verb == WWH_TASK_STOP)
		standin_task_set(task, WWH_TASK_STOPPED, now_ms);
	else if (order->verb == WWH_TASK_THROTTLE)
		task->cores_milli = MIN(task->cores_milli, order->cores * 1000);
	else
		task->lease_until_ms = now_ms + order->lease_ms;
}

/* Returns the HTTP status. The lock must be held. */
static unsigned int standin_task_order(standin_fleet_t *fleet,
				       const wwh_task_order_t *order,
				       int64_t now_ms)
{
	standin_worker_t *worker =
		g_tree_lookup(fleet->workers, order->worker_id);
	standin_task_t *task = g_tree_lookup(fleet->tasks, order->task_id);

	if (worker == NULL)
		return 404;
	standin_worker_advance(fleet, worker, now_ms);
	if (task != NULL && order->fence < task->fence)
		return 409;
	if (worker->state == WWH_WORKER_DOWN ||
	    worker->state == WWH_WORKER_REBOOTING)
		return 503;
	if (task != NULL)
		standin_task_advance(task, now_ms);
	if (order->verb == WWH_TASK_START &&
	    (task == NULL || order->fence > task->fence)) {
		if (worker->state != WWH_WORKER_UP)
			return 503;
		task = standin_task_start(fleet, order, worker, now_ms);
	}
	if (task == NULL || strcmp(task->worker_id, order->worker_id) != 0)
		return 404;
	task->fence = order->fence;
	standin_task_obey(task, order, now_ms);
	return 200;
}

/* Whether the lagging report has the task, and its state there. */
static bool standin_task_reported(const standin_fleet_t *fleet,
				  const standin_task_t *task, int64_t now_ms,
				  wwh_task_state_t *state)
{
	bool old =
		task->changed_ms + fleet->times[STANDIN_TASK_LAG_MS] <= now_ms;

	*state = old ? task->state : task->earlier;
	return old || task->reported;
}

#endif
