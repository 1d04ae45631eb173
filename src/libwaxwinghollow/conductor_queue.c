#include <assert.h>
#include <string.h>

#include "private/conductor_state.h"

static bool may_repeat(wwh_conductor_t *conductor, wwh_retry_t *pursuit);
static wwh_action_t *add_action(wwh_conductor_t *conductor,
				wwh_action_kind_t kind);
static void set_origin(wwh_conductor_t *conductor, const wwh_action_t *action,
		       const wwh_origin_t *origin);
static void drop_action(gpointer data, gpointer client_data);

void wwh_conductor_begin_queue(wwh_conductor_t *conductor)
{
	g_queue_foreach(&conductor->actions, drop_action, conductor);
	g_queue_clear(&conductor->actions);
	conductor->repeats_left = conductor->options.repeats_per_tick;
}

bool wwh_conductor_append(wwh_conductor_t *conductor, const char *key,
			  wwh_record_t *record)
{
	wwh_retry_t *pursuit = wwh_conductor_append_retry(conductor, key);
	wwh_origin_t origin = { .kind = WWH_ORIGIN_APPEND, .key = (char *)key };
	wwh_action_t *action;

	if (!may_repeat(conductor, pursuit)) {
		wwh_record_clear(record);
		return false;
	}
	action = add_action(conductor, WWH_ACTION_APPEND);
	action->record = *record;
	pursuit->action = action->id;
	set_origin(conductor, action, &origin);
	wwh_conductor_count(conductor, "fleet.appends");
	return true;
}

bool wwh_conductor_is_appending(const wwh_conductor_t *conductor,
				const char *key)
{
	const wwh_retry_t *pursuit =
		g_hash_table_lookup(conductor->appends, key);

	return pursuit && pursuit->action != 0;
}

void wwh_conductor_defer_append(wwh_conductor_t *conductor, const char *key,
				int64_t until_ms)
{
	wwh_conductor_append_retry(conductor, key)->next_ms = until_ms;
}

bool wwh_conductor_send_command(wwh_conductor_t *conductor, wwh_actor_t *actor,
				wwh_command_t command, int64_t fence)
{
	wwh_origin_t origin = { .kind = WWH_ORIGIN_COMMAND,
				.key = actor->worker,
				.grant = actor->grant,
				.command = command };
	wwh_action_t *action;

	if (!may_repeat(conductor, &actor->command))
		return false;
	action = add_action(conductor, WWH_ACTION_COMMAND);
	action->worker = g_strdup(actor->worker);
	action->command = command;
	action->fence = fence;
	actor->command.action = action->id;
	set_origin(conductor, action, &origin);
	wwh_conductor_count(conductor, "fleet.commands");
	return true;
}

bool wwh_conductor_query_status(wwh_conductor_t *conductor,
				wwh_status_query_t *look)
{
	wwh_origin_t origin = { .kind = WWH_ORIGIN_STATUS,
				.key = look->worker };
	wwh_action_t *action;

	if (!may_repeat(conductor, &look->pursuit))
		return false;
	action = add_action(conductor, WWH_ACTION_GET_STATUS);
	action->worker = g_strdup(look->worker);
	look->pursuit.action = action->id;
	set_origin(conductor, action, &origin);
	wwh_conductor_count(conductor, "fleet.looks");
	return true;
}

bool wwh_conductor_order_task(wwh_conductor_t *conductor, wwh_job_run_t *run,
			      wwh_task_verb_t verb)
{
	wwh_origin_t origin = { .kind = WWH_ORIGIN_TASK,
				.key = run->job,
				.grant = run->lease,
				.verb = verb };
	wwh_action_t *action;

	if (!may_repeat(conductor, &run->order))
		return false;
	action = add_action(conductor, WWH_ACTION_TASK);
	action->worker = g_strdup(run->worker);
	action->task = g_strdup(run->job);
	action->verb = verb;
	action->fence = run->lease;
	action->load = run->load;
	if (verb == WWH_TASK_THROTTLE)
		action->load.cpu_millicores = run->throttle_millicores;
	action->lease_ms = conductor->options.placement.lease_ms;
	run->order.action = action->id;
	set_origin(conductor, action, &origin);
	wwh_conductor_count(conductor, "fleet.orders");
	return true;
}

void wwh_conductor_log(wwh_conductor_t *conductor, const char *format, ...)
{
	wwh_action_t *action = g_new0(wwh_action_t, 1);
	va_list arguments;

	va_start(arguments, format);
	action->kind = WWH_ACTION_LOG;
	action->text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_queue_push_tail(&conductor->actions, action);
}

void wwh_conductor_count(wwh_conductor_t *conductor, const char *name)
{
	wwh_counters_t *counters = conductor->options.counters;

	if (counters)
		wwh_counter_add(wwh_counters_get(counters, name), 1);
}

/*
 * After a failure each repeat waits twice as long as the one before, up to
 * the limit, and up to half as long again by chance, so that processes that
 * were refused together don't come back together.
 */
void wwh_conductor_end_attempt(wwh_conductor_t *conductor, wwh_retry_t *pursuit,
			       bool went_well)
{
	const wwh_conductor_options_t *options = &conductor->options;
	int64_t wait_ms = options->retry_min_ms;

	pursuit->action = 0;
	pursuit->tries = went_well ? 0 : pursuit->tries + 1;
	for (int32_t i = 1; i < pursuit->tries; i++)
		wait_ms = MIN(2 * wait_ms, options->retry_max_ms);
	if (!went_well)
		wait_ms += (int64_t)(g_rand_double(conductor->rand) * 0.5 *
				     (double)wait_ms);
	pursuit->next_ms = conductor->now_ms + wait_ms;
}

wwh_retry_t *wwh_conductor_append_retry(wwh_conductor_t *conductor,
					const char *key)
{
	wwh_retry_t *pursuit = g_hash_table_lookup(conductor->appends, key);

	if (pursuit)
		return pursuit;
	pursuit = g_new0(wwh_retry_t, 1);
	g_hash_table_insert(conductor->appends, g_strdup(key), pursuit);
	return pursuit;
}

void wwh_origin_free(gpointer data)
{
	wwh_origin_t *origin = data;

	g_free(origin->key);
	g_free(origin);
}

/* Whether an action for pursuit may go out now; its result may be overdue. */
static bool may_repeat(wwh_conductor_t *conductor, wwh_retry_t *pursuit)
{
	int64_t now_ms = conductor->now_ms;

	if (pursuit->action != 0 &&
	    now_ms - pursuit->sent_ms >= conductor->options.answer_timeout_ms) {
		g_hash_table_remove(conductor->origins, &pursuit->action);
		wwh_conductor_end_attempt(conductor, pursuit, false);
		wwh_conductor_count(conductor, "fleet.answers_overdue");
	}
	if (pursuit->action != 0 || now_ms < pursuit->next_ms)
		return false;
	if (pursuit->tries > 0 && conductor->repeats_left <= 0)
		return false;
	if (pursuit->tries > 0)
		conductor->repeats_left--;
	pursuit->sent_ms = now_ms;
	return true;
}

static wwh_action_t *add_action(wwh_conductor_t *conductor,
				wwh_action_kind_t kind)
{
	wwh_action_t *action = g_new0(wwh_action_t, 1);

	action->kind = kind;
	action->id = ++conductor->last_action;
	g_queue_push_tail(&conductor->actions, action);
	return action;
}

static void set_origin(wwh_conductor_t *conductor, const wwh_action_t *action,
		       const wwh_origin_t *origin)
{
	wwh_origin_t *copy = g_new0(wwh_origin_t, 1);
	int64_t *id = g_new0(int64_t, 1);

	*copy = *origin;
	copy->key = g_strdup(origin->key);
	*id = action->id;
	g_hash_table_insert(conductor->origins, id, copy);
}

/* An action that was never taken is surely without effect. */
static void drop_action(gpointer data, gpointer client_data)
{
	wwh_action_t *action = data;
	wwh_action_result_t result = { .id = action->id,
				       .status = WWH_STATUS_UNAVAILABLE };

	if (action->kind != WWH_ACTION_LOG)
		wwh_conductor_handle_result(
			client_data, &result,
			((wwh_conductor_t *)client_data)->now_ms);
	wwh_action_clear(action);
	g_free(action);
}
