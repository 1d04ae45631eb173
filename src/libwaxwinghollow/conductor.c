#include "waxwinghollow/conductor.h"

#include <assert.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "private/conductor_state.h"

#define MINUTE_MS (60 * INT64_C(1000))
#define PENDING_KEPT_MS (10 * MINUTE_MS) /* longer than any repeat waits */

const char *const wwh_action_kind_names[WWH_ACTION_KIND_COUNT] = {
	"append", "command", "look", "task", "tell",
};

static wwh_chart_t *load_chart(const char *name,
			       const wwh_chart_table_t *table);
static void handle_result(wwh_conductor_t *conductor,
			  const wwh_origin_t *origin,
			  const wwh_action_result_t *result);
static void handle_command(wwh_conductor_t *conductor,
			   const wwh_origin_t *origin, wwh_status_t status);
static void handle_look(wwh_conductor_t *conductor, const wwh_origin_t *origin,
			const wwh_action_result_t *result);
static void note_look(wwh_conductor_t *conductor, wwh_status_query_t *look,
		      const wwh_action_result_t *result);
static void handle_task(wwh_conductor_t *conductor, const wwh_origin_t *origin,
			const wwh_action_result_t *result);
static gboolean is_settled_long_ago(gpointer key, gpointer value,
				    gpointer client_data);

void wwh_conductor_options_defaults(wwh_conductor_options_t *options)
{
	*options = (wwh_conductor_options_t){
		.author = "",
		.seed = 1,
		.cordon_delay_ms = 5 * 1000,
		.status_interval_ms = 2 * 1000,
		.retry_min_ms = 500,
		.retry_max_ms = 30 * 1000,
		.answer_timeout_ms = 30 * 1000,
		.repeats_per_tick = 64,
		.checkpoint_ms = 30 * 1000,
		.reboot_ms = 8 * MINUTE_MS,
		.check_ms = 5 * 1000,
		.slow_start_ms = 30 * 1000,
		.settle_ms = 10 * 1000,
		.settle_failure_ms = 20 * 1000,
		.replan_interval_ms = MINUTE_MS,
		.rehearsal_duration_ms = 5 * MINUTE_MS,
		.rehearsal_timeout_ms = 60 * MINUTE_MS,
		.rehearsal_unknown_max = 10,
		.placement_interval_ms = 1000,
	};
	wwh_placement_options_defaults(&options->placement);
}

wwh_conductor_t *wwh_conductor_new(const wwh_conductor_options_t *options)
{
	wwh_conductor_t *conductor = g_new0(wwh_conductor_t, 1);

	conductor->options = *options;
	conductor->author = g_strdup(options->author);
	conductor->options.author = conductor->author;
	conductor->rand = g_rand_new_with_seed(options->seed);
	conductor->worker_chart =
		load_chart("worker", wwh_actor_worker_table());
	conductor->move_chart = load_chart("move", wwh_actor_move_table());
	conductor->wave_chart = load_chart("wave", wwh_wave_table());
	conductor->job_chart = load_chart("job", wwh_job_table());
	g_queue_init(&conductor->actions);
	conductor->origins = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, wwh_origin_free);
	conductor->appends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	conductor->probes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  wwh_status_query_free);
	conductor->actors = g_ptr_array_new_with_free_func(wwh_actor_free);
	conductor->actor_by_worker = g_hash_table_new(g_str_hash, g_str_equal);
	conductor->waves = g_ptr_array_new_with_free_func(wwh_wave_run_free);
	conductor->wave_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	conductor->drains_given_up =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	conductor->rehearsals =
		g_ptr_array_new_with_free_func(wwh_rehearsal_run_free);
	conductor->jobs = g_ptr_array_new_with_free_func(wwh_job_run_free);
	conductor->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	conductor->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	conductor->outcomes = wwh_outcomes_new();
	return conductor;
}

void wwh_conductor_delete(wwh_conductor_t *conductor)
{
	if (!conductor)
		return;
	wwh_conductor_begin_queue(conductor);
	g_hash_table_destroy(conductor->origins);
	g_hash_table_destroy(conductor->appends);
	g_hash_table_destroy(conductor->probes);
	g_hash_table_destroy(conductor->actor_by_worker);
	g_ptr_array_unref(conductor->actors);
	g_hash_table_destroy(conductor->wave_by_id);
	g_ptr_array_unref(conductor->waves);
	g_hash_table_destroy(conductor->drains_given_up);
	g_ptr_array_unref(conductor->rehearsals);
	g_hash_table_destroy(conductor->job_by_id);
	g_ptr_array_unref(conductor->jobs);
	g_hash_table_destroy(conductor->reasons);
	wwh_outcomes_delete(conductor->outcomes);
	wwh_chart_delete(conductor->worker_chart);
	wwh_chart_delete(conductor->move_chart);
	wwh_chart_delete(conductor->wave_chart);
	wwh_chart_delete(conductor->job_chart);
	g_rand_free(conductor->rand);
	g_free(conductor->author);
	g_free(conductor);
}

void wwh_conductor_tick(wwh_conductor_t *conductor, int64_t now_ms,
			const wwh_fleet_view_t *view)
{
	conductor->now_ms = now_ms;
	conductor->view = view;
	wwh_conductor_begin_queue(conductor);
	g_hash_table_foreach_remove(conductor->appends, is_settled_long_ago,
				    conductor);
	wwh_actors_sync(conductor);
	wwh_actors_step(conductor);
	wwh_repairs_step(conductor);
	wwh_actors_queue_actions(conductor);
	wwh_rehearsals_step(conductor);
	wwh_waves_step(conductor);
	wwh_moves_step(conductor);
	wwh_jobs_step(conductor);
	conductor->view = NULL;
}

bool wwh_conductor_next_action(wwh_conductor_t *conductor, wwh_action_t *action)
{
	wwh_action_t *next = g_queue_pop_head(&conductor->actions);

	if (!next)
		return false;
	*action = *next;
	g_free(next);
	return true;
}

void wwh_conductor_handle_result(wwh_conductor_t *conductor,
				 const wwh_action_result_t *result,
				 int64_t now_ms)
{
	wwh_origin_t *origin =
		g_hash_table_lookup(conductor->origins, &result->id);

	conductor->now_ms = MAX(conductor->now_ms, now_ms);
	if (!origin)
		return; /* overdue, and given up meanwhile */
	handle_result(conductor, origin, result);
	g_hash_table_remove(conductor->origins, &result->id);
}

void wwh_conductor_set_utc(wwh_conductor_t *conductor, int64_t utc_offset_ms)
{
	conductor->utc_offset_ms = utc_offset_ms;
}

void wwh_conductor_set_caller_counts(wwh_conductor_t *conductor,
				     const wwh_caller_counts_t *counts)
{
	conductor->callers = *counts;
}

void wwh_conductor_init_record(const wwh_conductor_t *conductor,
			       wwh_record_t *record, wwh_record_kind_t kind)
{
	wwh_record_init(record, kind, conductor->author);
}

int32_t wwh_conductor_control_pool(const wwh_conductor_t *conductor,
				   int32_t worker)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(conductor->view, worker);

	return item->pool != WWH_FLEET_NONE ? item->pool : item->move_from;
}

int64_t wwh_conductor_fence(const wwh_conductor_t *conductor, int32_t worker)
{
	int32_t home = wwh_conductor_control_pool(conductor, worker);

	if (home == WWH_FLEET_NONE)
		return WWH_NO_OFFSET;
	return wwh_fleet_pool(conductor->view, home)->fence;
}

void wwh_action_perform(const wwh_action_t *action,
			const wwh_platform_t *platform, int32_t timeout_ms,
			wwh_action_result_t *result)
{
	wwh_task_order_t order = {
		.task_id = action->task,
		.worker_id = action->worker,
		.verb = action->verb,
		.fence = action->fence,
		.cores = (int32_t)((action->load.cpu_millicores + 999) / 1000),
		.memory_mb = action->load.memory_mb,
		.accelerators = (int32_t)action->load.gpus,
		.lease_ms = action->lease_ms,
	};

	*result = (wwh_action_result_t){ .id = action->id };
	switch (action->kind) {
	case WWH_ACTION_COMMAND:
		result->status = platform->command(
			platform->context, action->worker, action->command,
			action->fence, timeout_ms);
		break;
	case WWH_ACTION_GET_STATUS:
		result->status = platform->worker_status(
			platform->context, action->worker, timeout_ms,
			&result->worker);
		break;
	case WWH_ACTION_TASK:
		result->status =
			platform->task(platform->context, &order, timeout_ms);
		break;
	default:
		result->status = WWH_STATUS_BAD_ARGUMENT;
		break;
	}
}

void wwh_action_clear(wwh_action_t *action)
{
	if (action->kind == WWH_ACTION_APPEND)
		wwh_record_clear(&action->record);
	g_free(action->worker);
	g_free(action->task);
	g_free(action->text);
	action->worker = NULL;
	action->task = NULL;
	action->text = NULL;
}

static wwh_chart_t *load_chart(const char *name, const wwh_chart_table_t *table)
{
	wwh_message_t message;
	wwh_chart_t *chart;

	if (wwh_chart_load(name, table, &chart, &message) != WWH_STATUS_OK)
		g_error("%s", message.text);
	return chart;
}

static void handle_result(wwh_conductor_t *conductor,
			  const wwh_origin_t *origin,
			  const wwh_action_result_t *result)
{
	wwh_retry_t *pursuit;

	switch (origin->kind) {
	case WWH_ORIGIN_COMMAND:
		handle_command(conductor, origin, result->status);
		break;
	case WWH_ORIGIN_STATUS:
		handle_look(conductor, origin, result);
		break;
	case WWH_ORIGIN_TASK:
		handle_task(conductor, origin, result);
		break;
	case WWH_ORIGIN_APPEND:
		pursuit = wwh_conductor_append_retry(conductor, origin->key);
		if (pursuit->action != result->id)
			break;
		wwh_conductor_end_attempt(conductor, pursuit,
					  result->status == WWH_STATUS_OK &&
						  result->verdict ==
							  WWH_VERDICT_ACCEPTED);
		if (result->status == WWH_STATUS_OK &&
		    result->verdict != WWH_VERDICT_ACCEPTED)
			wwh_conductor_count(conductor, "fleet.appends_refused");
		break;
	}
}

/* Only the next look decides what comes next. */
static void handle_command(wwh_conductor_t *conductor,
			   const wwh_origin_t *origin, wwh_status_t status)
{
	wwh_actor_t *actor =
		g_hash_table_lookup(conductor->actor_by_worker, origin->key);

	if (status == WWH_STATUS_CONFLICT)
		wwh_conductor_count(conductor, "fleet.commands_fenced_off");
	if (!actor || actor->grant != origin->grant)
		return;
	wwh_conductor_end_attempt(conductor, &actor->command,
				  status == WWH_STATUS_OK);
	if (status == WWH_STATUS_OK && origin->command == WWH_COMMAND_DRAIN &&
	    actor->drain_ok_ms == 0)
		actor->drain_ok_ms = conductor->now_ms;
	actor->look.seen_ms = 0;
}

static void handle_look(wwh_conductor_t *conductor, const wwh_origin_t *origin,
			const wwh_action_result_t *result)
{
	wwh_actor_t *actor =
		g_hash_table_lookup(conductor->actor_by_worker, origin->key);
	wwh_status_query_t *probe =
		g_hash_table_lookup(conductor->probes, origin->key);

	if (actor && actor->look.pursuit.action == result->id)
		note_look(conductor, &actor->look, result);
	if (probe && probe->pursuit.action == result->id)
		note_look(conductor, probe, result);
}

static void note_look(wwh_conductor_t *conductor, wwh_status_query_t *look,
		      const wwh_action_result_t *result)
{
	bool is_ok = result->status == WWH_STATUS_OK;

	wwh_conductor_end_attempt(conductor, &look->pursuit, is_ok);
	if (!is_ok)
		return;
	look->status = result->worker;
	look->is_known = true;
	look->is_new = true;
	look->seen_ms = conductor->now_ms;
	if (look->heard_ms != 0)
		look->silent_ms = conductor->now_ms - look->heard_ms;
	look->heard_ms = conductor->now_ms;
}

static void handle_task(wwh_conductor_t *conductor, const wwh_origin_t *origin,
			const wwh_action_result_t *result)
{
	wwh_job_run_t *run =
		g_hash_table_lookup(conductor->job_by_id, origin->key);

	if (!run || run->lease != origin->grant)
		return;
	wwh_conductor_end_attempt(conductor, &run->order,
				  result->status == WWH_STATUS_OK);
	wwh_job_run_handle_answer(conductor, run, origin->verb, result->status);
}

static gboolean is_settled_long_ago(gpointer key, gpointer value,
				    gpointer client_data)
{
	const wwh_conductor_t *conductor = client_data;
	const wwh_retry_t *pursuit = value;

	(void)key;
	return pursuit->action == 0 &&
	       conductor->now_ms - pursuit->next_ms > PENDING_KEPT_MS;
}
