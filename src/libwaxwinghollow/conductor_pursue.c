#include <assert.h>
#include <string.h>

#include "private/conductor_state.h"

static void pursue(wwh_actor_t *actor);
static void pursue_drain(wwh_actor_t *actor);
static void pursue_reboot(wwh_actor_t *actor);
static void pursue_return(wwh_actor_t *actor);
static void pursue_move(wwh_actor_t *actor);
static void append_end(wwh_actor_t *actor);
static void append_move(wwh_actor_t *actor, wwh_record_kind_t kind,
			const char *key_kind);
static void append_failed(wwh_actor_t *actor);
static bool is_between(const wwh_actor_t *actor);

void wwh_actors_queue_actions(wwh_conductor_t *conductor)
{
	for (guint i = 0; i < conductor->actors->len; i++) {
		wwh_actor_t *actor = conductor->actors->pdata[i];
		bool ends = wwh_chart_is_final(&actor->machine);

		pursue(actor);
		if (!ends && (!actor->look.is_known ||
			      conductor->now_ms - actor->look.seen_ms >=
				      conductor->options.status_interval_ms))
			wwh_conductor_query_status(conductor, &actor->look);
	}
}

static void pursue(wwh_actor_t *actor)
{
	wwh_conductor_t *conductor = actor->conductor;

	switch ((wwh_actor_state_t)actor->machine.state) {
	case WWH_ACTOR_CORDONING:
		wwh_conductor_send_command(conductor, actor, WWH_COMMAND_CORDON,
					   actor->grant);
		break;
	case WWH_ACTOR_DRAINING:
		pursue_drain(actor);
		break;
	case WWH_ACTOR_REBOOTING:
		pursue_reboot(actor);
		break;
	case WWH_ACTOR_HOLDING:
		if (actor->reason == WWH_GRANT_MOVE)
			pursue_move(actor);
		break;
	case WWH_ACTOR_RETURNING:
		pursue_return(actor);
		break;
	case WWH_ACTOR_ENDING:
	case WWH_ACTOR_LOST:
		append_end(actor);
		break;
	default:
		break;
	}
}

static void pursue_drain(wwh_actor_t *actor)
{
	wwh_worker_state_t state = actor->look.status.state;

	if (state == WWH_WORKER_DRAINING || state == WWH_WORKER_DRAINED)
		return;
	wwh_conductor_send_command(actor->conductor, actor, WWH_COMMAND_DRAIN,
				   actor->grant);
}

static void pursue_reboot(wwh_actor_t *actor)
{
	const wwh_worker_status_t *status = &actor->look.status;
	const wwh_fleet_worker_t *worker =
		wwh_fleet_worker(actor->conductor->view, actor->index);

	if (status->state != WWH_WORKER_DRAINED ||
	    status->fence != actor->grant || status->running_tasks > 0 ||
	    worker->requests_in_progress > 0)
		return;
	if (wwh_conductor_send_command(actor->conductor, actor,
				       WWH_COMMAND_REBOOT, actor->grant)) {
		/* No cut-off: what is rebooted was seen empty under this
		 * grant. */
		assert(worker->grant == actor->grant);
		assert(wwh_fleet_is_lost(worker));
	}
}

/*
 * A process that was frozen after it decided on a command may send it now.
 * Under the grant's own fence the platform would take it from a worker that
 * serves again. The newest offset that was read is above this grant and below
 * every later one: with it as fence the late command is refused, and the next
 * grant's commands aren't.
 */
static void pursue_return(wwh_actor_t *actor)
{
	const wwh_fleet_view_t *view = actor->conductor->view;
	int64_t fence = MAX(wwh_fleet_offset(view), actor->grant + 1);

	if (actor->look.status.state == WWH_WORKER_REBOOTING ||
	    actor->look.status.state == WWH_WORKER_DOWN)
		return;
	wwh_conductor_send_command(actor->conductor, actor,
				   WWH_COMMAND_UNCORDON, fence);
}

static void pursue_move(wwh_actor_t *actor)
{
	wwh_conductor_t *conductor = actor->conductor;

	if (wwh_chart_has_tag(
		    &actor->move,
		    wwh_chart_tag_mask(conductor->move_chart, "wants-start")))
		append_move(actor, WWH_RECORD_MOVE_START, "move-start");
}

static void append_end(wwh_actor_t *actor)
{
	wwh_conductor_t *conductor = actor->conductor;
	char *key = g_strdup_printf("end/%s/%lld", actor->worker,
				    (long long)actor->grant);
	wwh_record_t record;

	if (is_between(actor) && actor->machine.state == WWH_ACTOR_LOST) {
		append_failed(actor);
		append_move(actor, WWH_RECORD_MOVE_CANCEL, "move-cancel");
	} else if (is_between(actor)) {
		bool joins = wwh_chart_has_tag(
			&actor->move, wwh_chart_tag_mask(conductor->move_chart,
							 "wants-finish"));
		bool returns = wwh_chart_has_tag(
			&actor->move, wwh_chart_tag_mask(conductor->move_chart,
							 "wants-cancel"));

		if (joins)
			append_move(actor, WWH_RECORD_MOVE_FINISH,
				    "move-finish");
		else if (returns)
			append_move(actor, WWH_RECORD_MOVE_CANCEL,
				    "move-cancel");
	} else {
		wwh_conductor_init_record(conductor, &record,
					  WWH_RECORD_GRANT_END);
		wwh_record_set(&record.body.grant_end.worker, actor->worker);
		record.body.grant_end.grant = actor->grant;
		record.body.grant_end.outcome = actor->outcome;
		record.body.grant_end.fence =
			wwh_conductor_fence(conductor, actor->index);
		wwh_conductor_append(conductor, key, &record);
	}
	g_free(key);
}

static void append_move(wwh_actor_t *actor, wwh_record_kind_t kind,
			const char *key_kind)
{
	wwh_conductor_t *conductor = actor->conductor;
	const wwh_fleet_worker_t *worker =
		wwh_fleet_worker(conductor->view, actor->index);
	char *key = g_strdup_printf("%s/%s/%lld", key_kind, actor->worker,
				    (long long)actor->grant);
	wwh_record_t record;

	wwh_conductor_init_record(conductor, &record, kind);
	wwh_record_set(&record.body.move.worker, actor->worker);
	record.body.move.grant = actor->grant;
	record.body.move.fence = wwh_conductor_fence(conductor, actor->index);
	if (kind == WWH_RECORD_MOVE_START) {
		/* One pool: it is out of the pool that it is about to leave. */
		assert(worker->pool != WWH_FLEET_NONE);
		assert(worker->wanted_pool != WWH_FLEET_NONE);
		wwh_record_set(
			&record.body.move.to_pool,
			wwh_fleet_pool(conductor->view, worker->wanted_pool)
				->id);
	}
	wwh_conductor_append(conductor, key, &record);
	g_free(key);
}

static void append_failed(wwh_actor_t *actor)
{
	wwh_conductor_t *conductor = actor->conductor;
	const wwh_fleet_worker_t *worker =
		wwh_fleet_worker(conductor->view, actor->index);
	char *key = g_strdup_printf("failed/%s", actor->worker);
	wwh_record_t record;

	if (worker->failed == WWH_NO_OFFSET) {
		wwh_conductor_init_record(conductor, &record,
					  WWH_RECORD_WORKER_FAILED);
		wwh_record_set(&record.body.worker.worker, actor->worker);
		wwh_record_set(&record.body.worker.reason,
			       "did not come back during its move");
		wwh_conductor_append(conductor, key, &record);
	}
	g_free(key);
}

static bool is_between(const wwh_actor_t *actor)
{
	return wwh_fleet_worker(actor->conductor->view, actor->index)
		       ->move_to != WWH_FLEET_NONE;
}
