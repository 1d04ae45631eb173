#include "private/entry_fleet.h"

#include <string.h>

#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/entry_shards.h"
#include "private/request_table.h"
#include "waxwinghollow/capacity.h"
#include "waxwinghollow/conductor.h"
#include "waxwinghollow/fleet_bridge.h"
#include "waxwinghollow/planner.h"

#define ROUND_MS 200
#define MILLISECOND_US 1000

#define ACTION_THREADS 8

/*
 * The duration of a conductor tick grows with the fleet; it is 16 ms at the
 * target size. A pause of this many times the tick keeps the conductor below
 * 0.5% of a core at every size, and urgent work still starts within its 7.2 s.
 */
#define TICK_PAUSE_RATIO 200
#define TASK_PERIOD_MS 1000

/* A process whose last report on a worker is older counts as unknown. */
#define DRAIN_STALE_MS 3000

/* The last report of one process on a worker that is out. */
typedef struct {
	int64_t grant;
	int32_t running;
	int64_t received_ms;
} drain_report_t;

/* A worker that is out, and the offset of its grant or move. */
typedef struct {
	char *worker;
	int64_t grant;
} out_worker_t;

struct wwh_entry_fleet {
	wwh_entry_t *entry;
	GMutex lock; /* protects all below but results */
	wwh_observations_t *observations;
	wwh_conductor_t *conductor;
	wwh_entry_shards_t *shards;
	GHashTable *out_workers; /* worker to out_worker_t */
	GHashTable *drain_reports; /* "process worker" to drain_report_t */
	bool stopping;
	int64_t next_tasks_ms;
	int64_t next_tick_ms;
	GAsyncQueue *results; /* of wwh_action_result_t */
	GThreadPool *action_pool;
	GThread *thread;
	wwh_counter_t *actions[WWH_ACTION_KIND_COUNT];
	wwh_counter_t *tick_us;
};

static gpointer fleet_main(gpointer data);
static void read_tasks(wwh_entry_fleet_t *fleet);
static void observe_task(const wwh_task_report_t *report, void *client_data);
static void update_out_workers(wwh_entry_fleet_t *fleet);
static bool add_out_worker(const wwh_worker_view_t *worker, void *client_data);
static void observe_requests(wwh_entry_fleet_t *fleet, int64_t now_ms);
static int32_t count_requests(wwh_entry_fleet_t *fleet, const out_worker_t *out,
			      int64_t now_ms);
static int32_t count_own_requests(wwh_entry_fleet_t *fleet,
				  const wwh_config_t *config,
				  const char *worker);
static void run_conductor(wwh_entry_fleet_t *fleet);
static void perform_action(gpointer data, gpointer user_data);
static void report_caller_counts(wwh_entry_fleet_t *fleet);
static void out_worker_free(gpointer data);

wwh_entry_fleet_t *wwh_entry_fleet_new(wwh_entry_t *entry)
{
	wwh_entry_fleet_t *fleet = g_new0(wwh_entry_fleet_t, 1);
	wwh_conductor_options_t conductor;

	fleet->entry = entry;
	g_mutex_init(&fleet->lock);
	fleet->observations = wwh_observations_new();
	wwh_conductor_options_defaults(&conductor);
	conductor.author = entry->author;
	conductor.seed = g_random_int();
	conductor.counters = entry->counters;
	conductor.cordon_delay_ms = entry->settings->worker_leave_ms;
	conductor.status_interval_ms = entry->settings->worker_look_ms;
	conductor.check_ms = entry->settings->worker_check_ms;
	conductor.slow_start_ms = entry->settings->worker_slow_start_ms;
	conductor.rehearsal_duration_ms = entry->settings->rehearsal_hold_ms;
	fleet->conductor = wwh_conductor_new(&conductor);
	fleet->shards = wwh_entry_shards_new(entry);
	fleet->out_workers = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, out_worker_free);
	fleet->drain_reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->results = g_async_queue_new_full(g_free);
	fleet->action_pool = g_thread_pool_new(perform_action, fleet,
					       ACTION_THREADS, FALSE, NULL);
	for (int32_t i = 0; i < WWH_ACTION_KIND_COUNT; i++) {
		char *name =
			g_strdup_printf("fleet.%s", wwh_action_kind_names[i]);

		fleet->actions[i] = wwh_counters_get(entry->counters, name);
		g_free(name);
	}
	fleet->tick_us = wwh_counters_get(entry->counters, "fleet.tick_us");
	return fleet;
}

void wwh_entry_fleet_start(wwh_entry_fleet_t *fleet)
{
	fleet->thread = g_thread_new("fleet", fleet_main, fleet);
}

void wwh_entry_fleet_finish(wwh_entry_fleet_t *fleet)
{
	if (fleet->thread == NULL)
		return;
	g_mutex_lock(&fleet->lock);
	fleet->stopping = true;
	g_mutex_unlock(&fleet->lock);
	g_thread_join(fleet->thread);
	fleet->thread = NULL;
	g_thread_pool_free(fleet->action_pool, FALSE, TRUE);
	fleet->action_pool = NULL;
	wwh_entry_shards_round(fleet->shards, true);
}

void wwh_entry_fleet_delete(wwh_entry_fleet_t *fleet)
{
	if (fleet == NULL)
		return;
	wwh_entry_fleet_finish(fleet);
	if (fleet->action_pool != NULL)
		g_thread_pool_free(fleet->action_pool, FALSE, TRUE);
	g_async_queue_unref(fleet->results);
	wwh_conductor_delete(fleet->conductor);
	wwh_observations_delete(fleet->observations);
	wwh_entry_shards_delete(fleet->shards);
	g_hash_table_destroy(fleet->out_workers);
	g_hash_table_destroy(fleet->drain_reports);
	g_mutex_clear(&fleet->lock);
	g_free(fleet);
}

void wwh_entry_fleet_observe_host(wwh_entry_fleet_t *fleet,
				  const wwh_host_t *host)
{
	g_mutex_lock(&fleet->lock);
	wwh_observations_set_host(fleet->observations, host);
	g_mutex_unlock(&fleet->lock);
}

bool wwh_entry_fleet_is_worker_out(wwh_entry_fleet_t *fleet, const char *worker)
{
	bool out;

	g_mutex_lock(&fleet->lock);
	out = g_hash_table_contains(fleet->out_workers, worker);
	g_mutex_unlock(&fleet->lock);
	return out;
}

void wwh_entry_fleet_handle_drains(wwh_entry_fleet_t *fleet,
				   const wwh_drain_message_t *message)
{
	g_mutex_lock(&fleet->lock);
	for (guint i = 0; i < message->items->len; i++) {
		const wwh_drain_item_t *item = message->items->pdata[i];
		drain_report_t *drain = g_new0(drain_report_t, 1);

		drain->grant = item->grant;
		drain->running = item->running;
		drain->received_ms = wwh_now_ms();
		g_hash_table_insert(fleet->drain_reports,
				    g_strdup_printf("%" G_GUINT64_FORMAT " %s",
						    message->process,
						    item->worker),
				    drain);
	}
	g_mutex_unlock(&fleet->lock);
}

void wwh_entry_fleet_report_drains(wwh_entry_fleet_t *fleet,
				   wwh_drain_message_t *message)
{
	wwh_config_t *config = wwh_entry_config(fleet->entry);
	GHashTableIter iter;
	gpointer value;

	if (config == NULL)
		return;
	message->process = wwh_seat_process_id(fleet->entry->author);
	g_mutex_lock(&fleet->lock);
	g_hash_table_iter_init(&iter, fleet->out_workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const out_worker_t *out = value;
		wwh_drain_item_t *item = g_new0(wwh_drain_item_t, 1);

		item->worker = g_strdup(out->worker);
		item->grant = out->grant;
		item->running = count_own_requests(fleet, config, out->worker);
		g_ptr_array_add(message->items, item);
	}
	g_mutex_unlock(&fleet->lock);
	wwh_config_unref(config);
}

char *wwh_entry_fleet_plan(wwh_entry_fleet_t *fleet, const char *pool)
{
	wwh_entry_t *entry = fleet->entry;
	wwh_fleet_view_t *view;
	wwh_plan_options_t options;
	wwh_plan_t *plan;
	const wwh_rules_t *rules;
	char *text = NULL;
	bool found = strcmp(pool, "*") == 0;

	wwh_plan_options_defaults(&options);
	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&fleet->lock);
	view = wwh_fleet_bridge_create_view(entry->state, fleet->observations,
					    entry->author, wwh_now_ms());
	rules = wwh_config_rules(wwh_state_config(entry->state));
	options.buffer_weight = rules->buffer_weight;
	options.move_weight = rules->move_weight;
	g_mutex_unlock(&fleet->lock);
	g_mutex_unlock(&entry->state_lock);
	options.pool = WWH_FLEET_NONE;
	for (int32_t i = 0; i < wwh_fleet_pool_count(view); i++) {
		if (strcmp(wwh_fleet_pool(view, i)->id, pool) != 0)
			continue;
		options.pool = i;
		found = true;
	}
	options.now_ms = wwh_now_ms();
	options.utc_ms = g_get_real_time() / MILLISECOND_US;
	options.drain_limit_ms =
		wwh_fleet_rules(view)->drain_limit_s * INT64_C(1000);
	options.windows = wwh_fleet_windows(view, &options.window_count);
	if (found) {
		plan = wwh_plan_new(view, &options);
		text = wwh_plan_json(plan, view);
		wwh_plan_delete(plan);
	}
	wwh_fleet_view_delete(view);
	return text;
}

char *wwh_entry_fleet_capacity(wwh_entry_fleet_t *fleet)
{
	wwh_entry_t *entry = fleet->entry;
	wwh_fleet_view_t *view;
	char *text;

	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&fleet->lock);
	view = wwh_fleet_bridge_create_view(entry->state, fleet->observations,
					    entry->author, wwh_now_ms());
	g_mutex_unlock(&fleet->lock);
	g_mutex_unlock(&entry->state_lock);
	text = wwh_capacity_json(view);
	wwh_fleet_view_delete(view);
	return text;
}

char *wwh_entry_fleet_rehearsal(wwh_entry_fleet_t *fleet, const char *rehearsal)
{
	char *text;

	g_mutex_lock(&fleet->lock);
	text = wwh_conductor_rehearsal_json(fleet->conductor, rehearsal);
	g_mutex_unlock(&fleet->lock);
	return text;
}

char *wwh_entry_fleet_dump(wwh_entry_fleet_t *fleet)
{
	char *text;

	g_mutex_lock(&fleet->lock);
	text = wwh_conductor_dump(fleet->conductor);
	g_mutex_unlock(&fleet->lock);
	return text;
}

static gpointer fleet_main(gpointer data)
{
	wwh_entry_fleet_t *fleet = data;
	bool stopping = false;

	while (!stopping) {
		if (wwh_entry_log_caught_up(fleet->entry->log)) {
			wwh_entry_shards_round(fleet->shards, false);
			update_out_workers(fleet);
			if (wwh_entry_shards_held(fleet->shards) > 0 &&
			    wwh_now_ms() >= fleet->next_tick_ms) {
				read_tasks(fleet);
				run_conductor(fleet);
			}
		}
		g_usleep(ROUND_MS * MILLISECOND_US);
		g_mutex_lock(&fleet->lock);
		stopping = fleet->stopping;
		g_mutex_unlock(&fleet->lock);
	}
	return NULL;
}

static void read_tasks(wwh_entry_fleet_t *fleet)
{
	wwh_entry_t *entry = fleet->entry;
	int64_t now_ms = wwh_now_ms();
	bool any;

	g_mutex_lock(&entry->state_lock);
	any = wwh_state_has_jobs(entry->state);
	g_mutex_unlock(&entry->state_lock);
	if (!any || now_ms < fleet->next_tasks_ms)
		return;
	fleet->next_tasks_ms = now_ms + TASK_PERIOD_MS;
	(void)entry->platform.task_reports(entry->platform.context,
					   entry->settings->platform_timeout_ms,
					   observe_task, fleet);
}

static void observe_task(const wwh_task_report_t *report, void *client_data)
{
	wwh_entry_fleet_t *fleet = client_data;

	g_mutex_lock(&fleet->lock);
	wwh_observations_add_task_report(fleet->observations, report,
					 wwh_now_ms());
	g_mutex_unlock(&fleet->lock);
}

static void update_out_workers(wwh_entry_fleet_t *fleet)
{
	wwh_entry_t *entry = fleet->entry;
	guint before;
	guint after;

	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&fleet->lock);
	before = g_hash_table_size(fleet->out_workers);
	g_hash_table_remove_all(fleet->out_workers);
	wwh_state_each_grant(entry->state, add_out_worker, fleet);
	after = g_hash_table_size(fleet->out_workers);
	if (after == 0)
		g_hash_table_remove_all(fleet->drain_reports);
	g_mutex_unlock(&fleet->lock);
	g_mutex_unlock(&entry->state_lock);
	if (before > 0 || after > 0)
		wwh_entry_peers_workers_changed(entry->peers);
}

static bool add_out_worker(const wwh_worker_view_t *worker, void *client_data)
{
	wwh_entry_fleet_t *fleet = client_data;
	out_worker_t *out = g_new0(out_worker_t, 1);

	out->worker = g_strdup(worker->id);
	out->grant = worker->grant >= 0 ? worker->grant : worker->move;
	g_hash_table_insert(fleet->out_workers, out->worker, out);
	return true;
}

static void observe_requests(wwh_entry_fleet_t *fleet, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->out_workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const out_worker_t *out = value;

		wwh_observations_set_requests(
			fleet->observations, out->worker,
			count_requests(fleet, out, now_ms));
	}
}

/*
 * The requests in progress on a worker, summed over all members that may send.
 * Only reports that were made after the member read this grant count. A member
 * without a recent one counts as one request: a paused process may resume with
 * a request on the worker, and a reboot would abort it.
 */
static int32_t count_requests(wwh_entry_fleet_t *fleet, const out_worker_t *out,
			      int64_t now_ms)
{
	const wwh_seat_table_t *seats = wwh_state_seats(fleet->entry->state);
	uint64_t own = wwh_seat_process_id(fleet->entry->author);
	int32_t sum =
		count_own_requests(fleet, fleet->entry->config, out->worker);

	for (int32_t i = 0; i < seats->member_count; i++) {
		uint64_t process = seats->members[i].process;
		const drain_report_t *drain;
		char *key;

		if (process == own)
			continue;
		key = g_strdup_printf("%" G_GUINT64_FORMAT " %s", process,
				      out->worker);
		drain = g_hash_table_lookup(fleet->drain_reports, key);
		g_free(key);
		if (drain == NULL || drain->grant != out->grant ||
		    now_ms - drain->received_ms > DRAIN_STALE_MS)
			sum++;
		else
			sum += drain->running;
	}
	return sum;
}

static int32_t count_own_requests(wwh_entry_fleet_t *fleet,
				  const wwh_config_t *config,
				  const char *worker)
{
	int32_t sum = 0;

	for (int32_t i = 0; i < wwh_config_minion_count(config); i++) {
		const wwh_minion_t *minion = wwh_config_minion_at(config, i);

		if (strcmp(minion->worker, worker) == 0)
			sum += wwh_request_table_minion_running(
				fleet->entry->requests, minion->id);
	}
	return sum;
}

static void run_conductor(wwh_entry_fleet_t *fleet)
{
	wwh_entry_t *entry = fleet->entry;
	int64_t began_us = g_get_monotonic_time();
	int64_t now_ms = wwh_now_ms();
	int64_t spent_us;
	wwh_fleet_view_t *view;
	wwh_action_result_t *result;
	wwh_action_t action;

	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&fleet->lock);
	observe_requests(fleet, now_ms);
	view = wwh_fleet_bridge_create_view(entry->state, fleet->observations,
					    entry->author, now_ms);
	g_mutex_unlock(&entry->state_lock);
	while ((result = g_async_queue_try_pop(fleet->results)) != NULL) {
		wwh_conductor_handle_result(fleet->conductor, result, now_ms);
		g_free(result);
	}
	report_caller_counts(fleet);
	wwh_conductor_set_utc(fleet->conductor,
			      g_get_real_time() / MILLISECOND_US - now_ms);
	wwh_conductor_tick(fleet->conductor, now_ms, view);
	while (wwh_conductor_next_action(fleet->conductor, &action)) {
		wwh_counter_add(fleet->actions[action.kind], 1);
		if (action.kind == WWH_ACTION_LOG) {
			g_message("fleet: %s", action.text);
			wwh_action_clear(&action);
			continue;
		}
		g_thread_pool_push(fleet->action_pool,
				   g_memdup2(&action, sizeof(action)), NULL);
	}
	g_mutex_unlock(&fleet->lock);
	wwh_fleet_view_delete(view);
	spent_us = g_get_monotonic_time() - began_us;
	wwh_counter_add(fleet->tick_us, spent_us);
	fleet->next_tick_ms =
		now_ms + spent_us * TICK_PAUSE_RATIO / MILLISECOND_US;
}

/* Runs on a thread of action_pool; may block. */
static void perform_action(gpointer data, gpointer user_data)
{
	wwh_entry_fleet_t *fleet = user_data;
	wwh_entry_t *entry = fleet->entry;
	wwh_action_t *action = data;
	wwh_action_result_t *result = g_new0(wwh_action_result_t, 1);
	wwh_submit_result_t submitted;

	if (action->kind == WWH_ACTION_APPEND) {
		wwh_entry_log_submit(entry->log, &action->record,
				     entry->settings->log_append_timeout_ms,
				     &submitted);
		result->status = submitted.status;
		result->verdict = submitted.verdict;
	} else {
		wwh_action_perform(action, &entry->platform,
				   entry->settings->platform_timeout_ms,
				   result);
	}
	result->id = action->id;
	wwh_action_clear(action);
	g_free(action);
	g_async_queue_push(fleet->results, result);
}

/*
 * Passes the outcomes of this process's callers to the conductor. Other
 * processes count their own callers.
 */
static void report_caller_counts(wwh_entry_fleet_t *fleet)
{
	wwh_entry_t *entry = fleet->entry;
	wwh_caller_counts_t counts = { 0 };

	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		int64_t value = wwh_counter_value(entry->answers[i]);

		switch (wwh_answer_for((wwh_error_kind_t)i)->run) {
		case WWH_RUN_RAN:
			counts.answered += value;
			break;
		case WWH_RUN_NOT_RUN:
			counts.not_run += value;
			break;
		default:
			counts.unknown += value;
			break;
		}
	}
	wwh_conductor_set_caller_counts(fleet->conductor, &counts);
}

static void out_worker_free(gpointer data)
{
	out_worker_t *out = data;

	g_free(out->worker);
	g_free(out);
}
