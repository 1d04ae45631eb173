#include <assert.h>
#include <string.h>

#include "private/conductor_state.h"

typedef enum {
	EVENT_TICK = 0,
	EVENT_UNTOUCHED,
	EVENT_UP,
	EVENT_CORDONED,
	EVENT_DRAINING,
	EVENT_DRAINED,
	EVENT_REBOOTING,
	EVENT_DOWN,
	EVENT_GIVEN_BACK,
	EVENT_RELEASE,
	EVENT_CANCEL,
	EVENT_COUNT
} event_t;

static const char *const event_names[EVENT_COUNT] = {
	"tick",	      "untouched", "up",	"cordoned",
	"draining",   "drained",   "rebooting", "down",
	"given-back", "release",   "cancel",
};

static const char *const state_names[WWH_ACTOR_STATE_COUNT] = {
	"looking", "cordoning", "leaving", "draining", "rebooting", "checking",
	"holding", "returning", "warming", "down",     "ending",    "lost",
};

typedef enum {
	MOVE_EMPTY = 0,
	MOVE_LEFT,
	MOVE_READY,
	MOVE_CANCEL,
	MOVE_JOINED,
	MOVE_ENDED,
	MOVE_COUNT
} move_event_t;

static const char *const move_event_names[MOVE_COUNT] = {
	"empty", "left", "ready", "cancel", "joined", "ended",
};

/* By wwh_worker_state_t. */
static const event_t status_events[WWH_WORKER_STATE_COUNT] = {
	EVENT_UP,      EVENT_CORDONED,	EVENT_DRAINING,
	EVENT_DRAINED, EVENT_REBOOTING, EVENT_DOWN,
};

static const wwh_fleet_worker_t *worker_of(const wwh_actor_t *actor);
static void step(wwh_actor_t *actor, event_t event);
static void step_move(wwh_actor_t *actor);
static bool is_cancelled(const wwh_actor_t *actor);
static wwh_actor_t *actor_for(wwh_conductor_t *conductor, int32_t index);
static void drop_unseen(wwh_conductor_t *conductor);
static bool is_empty(const wwh_actor_t *actor);
static bool is_heard(const wwh_actor_t *actor);
static bool is_rebooted_for(const wwh_actor_t *actor);

/* Guards and actions of charts/worker.json. */
static bool guard_cancelled(int64_t now_ms, void *client_data);
static bool guard_quiet(int64_t now_ms, void *client_data);
static bool guard_empty_for_reboot(int64_t now_ms, void *client_data);
static bool guard_empty_to_stay_out(int64_t now_ms, void *client_data);
static bool guard_drain_overdue(int64_t now_ms, void *client_data);
static bool guard_rebooted(int64_t now_ms, void *client_data);
static bool guard_return_overdue(int64_t now_ms, void *client_data);
static bool guard_checked(int64_t now_ms, void *client_data);
static bool guard_serves(int64_t now_ms, void *client_data);
static bool guard_warm(int64_t now_ms, void *client_data);
static void action_never_left(int64_t now_ms, void *client_data);
static void action_note_boots(int64_t now_ms, void *client_data);
static void action_note_left(int64_t now_ms, void *client_data);
static void action_note_cancel(int64_t now_ms, void *client_data);
static void action_give_up_drain(int64_t now_ms, void *client_data);
static void action_back(int64_t now_ms, void *client_data);
static void action_report_lost(int64_t now_ms, void *client_data);

static const wwh_chart_guard_entry_t guards[] = {
	{ "cancelled", guard_cancelled },
	{ "quiet", guard_quiet },
	{ "empty-for-reboot", guard_empty_for_reboot },
	{ "empty-to-stay-out", guard_empty_to_stay_out },
	{ "drain-overdue", guard_drain_overdue },
	{ "rebooted", guard_rebooted },
	{ "return-overdue", guard_return_overdue },
	{ "checked", guard_checked },
	{ "serves", guard_serves },
	{ "warm", guard_warm },
};

static const wwh_chart_action_entry_t actions[] = {
	{ "never-left", action_never_left },
	{ "note-boots", action_note_boots },
	{ "note-left", action_note_left },
	{ "note-cancel", action_note_cancel },
	{ "give-up-drain", action_give_up_drain },
	{ "back", action_back },
	{ "report-lost", action_report_lost },
};

static const wwh_chart_table_t worker_table = {
	.guards = guards,
	.guard_count = G_N_ELEMENTS(guards),
	.actions = actions,
	.action_count = G_N_ELEMENTS(actions),
	.events = event_names,
	.event_count = EVENT_COUNT,
	.states = state_names,
	.state_count = WWH_ACTOR_STATE_COUNT,
};

static const wwh_chart_table_t move_table = {
	.events = move_event_names,
	.event_count = MOVE_COUNT,
};

const wwh_chart_table_t *wwh_actor_worker_table(void)
{
	return &worker_table;
}

const wwh_chart_table_t *wwh_actor_move_table(void)
{
	return &move_table;
}

void wwh_actor_free(gpointer data)
{
	wwh_actor_t *actor = data;

	g_free(actor->worker);
	g_free(actor->owner);
	g_free(actor->look.worker);
	g_free(actor);
}

/* One actor for each grant whose lease is held here. */
void wwh_actors_sync(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (guint i = 0; i < conductor->actors->len; i++)
		((wwh_actor_t *)conductor->actors->pdata[i])->seen = false;
	for (int32_t i = 0; i < worker_count; i++) {
		wwh_actor_t *actor;

		if (wwh_fleet_worker(view, i)->grant == WWH_NO_OFFSET ||
		    wwh_conductor_fence(conductor, i) == WWH_NO_OFFSET)
			continue;
		actor = actor_for(conductor, i);
		actor->index = i;
		actor->seen = true;
	}
	drop_unseen(conductor);
}

void wwh_actors_step(wwh_conductor_t *conductor)
{
	for (guint i = 0; i < conductor->actors->len; i++) {
		wwh_actor_t *actor = conductor->actors->pdata[i];

		wwh_actor_apply_status(actor);
		step(actor, EVENT_TICK);
		if (actor->reason == WWH_GRANT_MOVE)
			step_move(actor);
		else if (is_cancelled(actor))
			step(actor, EVENT_CANCEL);
	}
}

/* Hands the last status to the chart. */
void wwh_actor_apply_status(wwh_actor_t *actor)
{
	const wwh_worker_status_t *status = &actor->look.status;

	if (!actor->look.is_new)
		return;
	actor->look.is_new = false;
	/* Limits don't run on while nothing could be done. */
	if (actor->look.silent_ms > actor->conductor->options.answer_timeout_ms)
		actor->entered_ms = actor->conductor->now_ms;
	/* Its reboot under this grant is still to come, or not over. */
	if (actor->boots_before == WWH_FLEET_UNKNOWN &&
	    (status->state == WWH_WORKER_DRAINING ||
	     status->state == WWH_WORKER_DRAINED ||
	     status->state == WWH_WORKER_REBOOTING))
		actor->boots_before = status->boots;
	if (status->state == WWH_WORKER_DOWN)
		step(actor, EVENT_DOWN);
	else if (status->fence < actor->grant)
		step(actor, EVENT_UNTOUCHED);
	else if (status->fence > actor->grant)
		step(actor, EVENT_GIVEN_BACK);
	else
		step(actor, status_events[status->state]);
}

bool wwh_actor_rebooted(const wwh_actor_t *actor)
{
	int64_t now_ms = actor->conductor->now_ms;

	if (actor->boots_before != WWH_FLEET_UNKNOWN)
		return actor->look.status.boots > actor->boots_before;
	/*
	 * A predecessor's grant: the platform took the drain again without
	 * any effect, so drain and reboot were done under this fence before.
	 */
	return actor->drain_ok_ms != 0 &&
	       now_ms - actor->drain_ok_ms >=
		       actor->conductor->options.settle_ms;
}

static const wwh_fleet_worker_t *worker_of(const wwh_actor_t *actor)
{
	return wwh_fleet_worker(actor->conductor->view, actor->index);
}

static void step(wwh_actor_t *actor, event_t event)
{
	wwh_conductor_t *conductor = actor->conductor;
	int32_t before = actor->machine.state;

	wwh_chart_step(&actor->machine, event, conductor->now_ms, actor);
	if (actor->machine.state == before)
		return;
	actor->entered_ms = conductor->now_ms;
	actor->command = (wwh_retry_t){ 0 };
	actor->look.pursuit.next_ms = 0;
	wwh_conductor_log(conductor, "worker %s: %s, was %s (grant %lld, %s)",
			  actor->worker, state_names[actor->machine.state],
			  state_names[before], (long long)actor->grant,
			  wwh_grant_reason_names[actor->reason]);
}

static void step_move(wwh_actor_t *actor)
{
	wwh_conductor_t *conductor = actor->conductor;
	const wwh_fleet_worker_t *worker = worker_of(actor);
	int32_t home = wwh_conductor_control_pool(conductor, actor->index);
	int32_t target = worker->move_to != WWH_FLEET_NONE
				 ? worker->move_to
				 : worker->wanted_pool;
	int32_t before = actor->move.state;
	uint32_t released =
		wwh_chart_tag_mask(conductor->move_chart, "released");

	if (worker->move_to != WWH_FLEET_NONE)
		wwh_chart_step(&actor->move, MOVE_LEFT, conductor->now_ms,
			       actor);
	/* The inventory wants it where it is, or elsewhere than it goes. */
	if (worker->wanted_pool == home || worker->wanted_pool != target)
		wwh_chart_step(&actor->move, MOVE_CANCEL, conductor->now_ms,
			       actor);
	if (actor->machine.state == WWH_ACTOR_HOLDING)
		wwh_chart_step(&actor->move, MOVE_EMPTY, conductor->now_ms,
			       actor);
	if (actor->machine.state == WWH_ACTOR_ENDING)
		wwh_chart_step(&actor->move, MOVE_READY, conductor->now_ms,
			       actor);
	if (actor->machine.state == WWH_ACTOR_LOST)
		wwh_chart_step(&actor->move, MOVE_CANCEL, conductor->now_ms,
			       actor);
	if (wwh_chart_has_tag(&actor->move, released))
		step(actor, wwh_chart_is_final(&actor->move) ? EVENT_CANCEL
							     : EVENT_RELEASE);
	if (actor->move.state == before)
		return;
	actor->move_entered_ms = conductor->now_ms;
	wwh_conductor_log(
		conductor, "move of %s: %s", actor->worker,
		wwh_chart_state_name(conductor->move_chart, actor->move.state));
}

/* Whether what the grant is for is over. */
static bool is_cancelled(const wwh_actor_t *actor)
{
	const wwh_fleet_view_t *view = actor->conductor->view;
	int32_t found;

	if (actor->reason == WWH_GRANT_WAVE) {
		found = wwh_fleet_find_wave(view, actor->owner);
		return found == WWH_FLEET_NONE ||
		       wwh_fleet_wave(view, found)->phase >=
			       WWH_WAVE_PHASE_ABORTED;
	}
	if (actor->reason == WWH_GRANT_REHEARSAL) {
		found = wwh_fleet_find_rehearsal(view, actor->owner);
		return found == WWH_FLEET_NONE ||
		       !wwh_fleet_rehearsal(view, found)->running;
	}
	return false;
}

static wwh_actor_t *actor_for(wwh_conductor_t *conductor, int32_t index)
{
	const wwh_fleet_worker_t *worker =
		wwh_fleet_worker(conductor->view, index);
	wwh_actor_t *actor =
		g_hash_table_lookup(conductor->actor_by_worker, worker->id);

	if (actor && actor->grant == worker->grant)
		return actor;
	if (actor) {
		g_hash_table_remove(conductor->actor_by_worker, worker->id);
		g_ptr_array_remove(conductor->actors, actor);
	}
	actor = g_new0(wwh_actor_t, 1);
	actor->conductor = conductor;
	actor->worker = g_strdup(worker->id);
	actor->index = index;
	actor->grant = worker->grant;
	actor->reason = worker->grant_reason;
	actor->owner = g_strdup(worker->grant_owner);
	actor->machine = wwh_chart_start(conductor->worker_chart);
	actor->move = wwh_chart_start(conductor->move_chart);
	actor->entered_ms = conductor->now_ms;
	actor->move_entered_ms = conductor->now_ms;
	actor->left_ms = conductor->now_ms;
	actor->boots_before = WWH_FLEET_UNKNOWN;
	actor->outcome = actor->reason == WWH_GRANT_WAVE ? WWH_GRANT_NEVER_LEFT
							 : WWH_GRANT_RETURNED;
	actor->look.worker = g_strdup(worker->id);
	g_ptr_array_add(conductor->actors, actor);
	g_hash_table_insert(conductor->actor_by_worker, actor->worker, actor);
	return actor;
}

static void drop_unseen(wwh_conductor_t *conductor)
{
	for (guint i = conductor->actors->len; i > 0; i--) {
		wwh_actor_t *actor = conductor->actors->pdata[i - 1];

		if (actor->seen)
			continue;
		g_hash_table_remove(conductor->actor_by_worker, actor->worker);
		g_ptr_array_remove_index(conductor->actors, i - 1);
	}
}

/* Drained, and nobody counts a request or a task on it. */
static bool is_empty(const wwh_actor_t *actor)
{
	return actor->look.status.running_tasks == 0 &&
	       worker_of(actor)->requests_in_progress <= 0;
}

/*
 * While the platform doesn't answer nothing is known of the worker: it would
 * be given up or counted as failed because the platform is down.
 */
static bool is_heard(const wwh_actor_t *actor)
{
	const wwh_conductor_t *conductor = actor->conductor;

	return conductor->now_ms - actor->look.heard_ms <
	       conductor->options.answer_timeout_ms;
}

static bool is_rebooted_for(const wwh_actor_t *actor)
{
	return actor->reason == WWH_GRANT_WAVE ||
	       actor->reason == WWH_GRANT_REPAIR;
}

static bool guard_cancelled(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	(void)now_ms;
	return actor->cancelled;
}

/*
 * Every entry process has had time to stop sending, and jobs that end soon
 * have ended or the plan's patience is over.
 */
static bool guard_quiet(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;
	const wwh_fleet_view_t *view = actor->conductor->view;
	const wwh_rules_t *rules = wwh_fleet_rules(view);
	wwh_plan_options_t options;
	int64_t waited_ms = now_ms - actor->left_ms;

	if (waited_ms < actor->conductor->options.cordon_delay_ms)
		return false;
	wwh_plan_options_defaults(&options);
	options.buffer_weight = rules->buffer_weight;
	options.move_weight = rules->move_weight;
	options.drain_limit_ms =
		MAX(rules->drain_limit_s * INT64_C(1000) - waited_ms, 0);
	options.now_ms = now_ms;
	return wwh_plan_wait_ms(view, actor->index, &options) == 0;
}

static bool guard_empty_for_reboot(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	(void)now_ms;
	return is_rebooted_for(actor) && is_empty(actor);
}

static bool guard_empty_to_stay_out(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	(void)now_ms;
	return !is_rebooted_for(actor) && is_empty(actor);
}

static bool guard_drain_overdue(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;
	const wwh_rules_t *rules = wwh_fleet_rules(actor->conductor->view);

	return is_heard(actor) && now_ms - actor->entered_ms >=
					  rules->drain_limit_s * INT64_C(1000);
}

static bool guard_rebooted(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	(void)now_ms;
	return is_rebooted_for(actor) && wwh_actor_rebooted(actor);
}

static bool guard_return_overdue(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;
	const wwh_rules_t *rules = wwh_fleet_rules(actor->conductor->view);

	return is_heard(actor) && now_ms - actor->entered_ms >=
					  rules->return_limit_s * INT64_C(1000);
}

static bool guard_checked(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	return now_ms - actor->entered_ms >= actor->conductor->options.check_ms;
}

static bool guard_serves(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	(void)now_ms;
	return actor->look.status.state == WWH_WORKER_UP;
}

static bool guard_warm(int64_t now_ms, void *client_data)
{
	const wwh_actor_t *actor = client_data;

	return now_ms - actor->entered_ms >=
	       actor->conductor->options.slow_start_ms;
}

static void action_never_left(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	(void)now_ms;
	actor->outcome = WWH_GRANT_NEVER_LEFT;
}

static void action_note_boots(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	(void)now_ms;
	if (actor->boots_before == WWH_FLEET_UNKNOWN)
		actor->boots_before = actor->look.status.boots;
}

static void action_note_left(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	actor->left_ms = now_ms;
}

static void action_note_cancel(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	(void)now_ms;
	actor->cancelled = true;
}

static void action_give_up_drain(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;
	wwh_conductor_t *conductor = actor->conductor;

	(void)now_ms;
	actor->outcome = WWH_GRANT_NEVER_LEFT;
	g_hash_table_add(conductor->drains_given_up,
			 g_strdup_printf("%s/%s", actor->owner, actor->worker));
	wwh_conductor_count(conductor, "fleet.drains_given_up");
	wwh_conductor_log(conductor,
			  "worker %s did not drain in time (%d tasks, %d "
			  "requests); it is given back untouched",
			  actor->worker, actor->look.status.running_tasks,
			  worker_of(actor)->requests_in_progress);
}

static void action_back(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	(void)now_ms;
	actor->outcome = WWH_GRANT_RETURNED;
	wwh_conductor_count(actor->conductor, "fleet.reboots_seen");
}

static void action_report_lost(int64_t now_ms, void *client_data)
{
	wwh_actor_t *actor = client_data;

	(void)now_ms;
	actor->outcome = WWH_GRANT_FAILED;
	wwh_conductor_count(actor->conductor, "fleet.workers_lost");
	wwh_conductor_log(actor->conductor,
			  "worker %s did not come back in time; it counts as "
			  "failed",
			  actor->worker);
}
