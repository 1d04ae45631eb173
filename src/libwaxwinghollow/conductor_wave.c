#include <assert.h>
#include <string.h>

#include "private/conductor_state.h"
#include "waxwinghollow/planner.h"
#include "waxwinghollow/window.h"

typedef enum {
	EVENT_WINDOW_CLOSED = 0,
	EVENT_WINDOW_OPEN,
	EVENT_FAILURE,
	EVENT_SETTLED,
	EVENT_PAUSED,
	EVENT_RESUMED,
	EVENT_ABORTED,
	EVENT_ALL_DONE,
	EVENT_COUNT
} event_t;

static const char *const event_names[EVENT_COUNT] = {
	"window-closed", "window-open", "failure", "settled",
	"paused",	 "resumed",	"aborted", "all-done",
};

static const wwh_chart_table_t wave_table = {
	.events = event_names,
	.event_count = EVENT_COUNT,
};

/* What a pool's wave has to do and has out. */
typedef struct {
	int32_t *order;
	int32_t order_count;
	int32_t out;
	int32_t requested;
	int32_t lost; /* to be maintained, but failed or given up */
} wave_work_t;

static wwh_plan_options_t plan_options(const wwh_conductor_t *conductor);
static void plan_again(wwh_conductor_t *conductor);
static wwh_wave_run_t *run_for(wwh_conductor_t *conductor, int32_t pool);
static gboolean is_of_wave(gpointer key, gpointer value, gpointer client_data);
static void drop_unseen(wwh_conductor_t *conductor);
static void step(wwh_conductor_t *conductor, wwh_wave_run_t *run,
		 event_t event);
static void watch(wwh_conductor_t *conductor, wwh_wave_run_t *run,
		  int32_t pool);
static void find_work(const wwh_conductor_t *conductor,
		      const wwh_wave_run_t *run, int32_t pool,
		      wave_work_t *work);
static bool is_given_up(const wwh_conductor_t *conductor, const char *wave,
			const char *worker);
static void take_out(wwh_conductor_t *conductor, wwh_wave_run_t *run,
		     int32_t pool, wave_work_t *work);
static void finish_wave(wwh_conductor_t *conductor, wwh_wave_run_t *run,
			int32_t pool, const wave_work_t *work);
static wwh_pool_budget_t *tally_with_requests(const wwh_conductor_t *conductor,
					      int32_t pool);

const wwh_chart_table_t *wwh_wave_table(void)
{
	return &wave_table;
}

void wwh_wave_run_free(gpointer data)
{
	wwh_wave_run_t *run = data;

	g_free(run->id);
	g_free(run->pool);
	g_free(run);
}

void wwh_waves_step(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t pool_count = wwh_fleet_pool_count(view);

	for (guint i = 0; i < conductor->waves->len; i++)
		((wwh_wave_run_t *)conductor->waves->pdata[i])->seen = false;
	plan_again(conductor);
	for (int32_t i = 0; i < pool_count; i++) {
		const wwh_fleet_pool_t *pool = wwh_fleet_pool(view, i);
		wave_work_t work = { 0 };
		wwh_wave_run_t *run;

		if (pool->wave == WWH_FLEET_NONE ||
		    pool->fence == WWH_NO_OFFSET)
			continue;
		run = run_for(conductor, i);
		run->seen = true;
		watch(conductor, run, i);
		find_work(conductor, run, i, &work);
		take_out(conductor, run, i, &work);
		finish_wave(conductor, run, i, &work);
		g_free(work.order);
	}
	drop_unseen(conductor);
}

/* Workers that the inventory wants in another pool, as the budget allows. */
void wwh_moves_step(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);
		wwh_pool_budget_t *tally;

		if (worker->wanted_pool == worker->pool ||
		    worker->wanted_pool == WWH_FLEET_NONE ||
		    worker->pool == WWH_FLEET_NONE ||
		    worker->grant != WWH_NO_OFFSET ||
		    wwh_fleet_is_lost(worker) ||
		    wwh_conductor_fence(conductor, i) == WWH_NO_OFFSET ||
		    wwh_conductor_is_requested(conductor, i))
			continue;
		tally = tally_with_requests(conductor, worker->pool);
		if (wwh_pool_budget_allows(tally, i) == WWH_CONSTRAINT_NONE)
			wwh_conductor_request_grant(conductor, i,
						    WWH_GRANT_MOVE, "");
		wwh_pool_budget_delete(tally);
	}
}

bool wwh_conductor_request_grant(wwh_conductor_t *conductor, int32_t worker,
				 wwh_grant_reason_t reason, const char *owner)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(conductor->view, worker);
	char *key = g_strdup_printf("grant/%s", item->id);
	wwh_record_t record;
	bool asked;

	assert(item->grant == WWH_NO_OFFSET);
	wwh_conductor_init_record(conductor, &record, WWH_RECORD_GRANT_REQUEST);
	wwh_record_set(&record.body.grant_request.worker, item->id);
	wwh_record_set(&record.body.grant_request.owner, owner);
	record.body.grant_request.reason = reason;
	record.body.grant_request.fence =
		wwh_conductor_fence(conductor, worker);
	asked = wwh_conductor_append(conductor, key, &record);
	g_free(key);
	return asked;
}

bool wwh_conductor_is_requested(const wwh_conductor_t *conductor,
				int32_t worker)
{
	char *key = g_strdup_printf(
		"grant/%s", wwh_fleet_worker(conductor->view, worker)->id);
	bool requested = wwh_conductor_is_appending(conductor, key);

	g_free(key);
	return requested;
}

static wwh_plan_options_t plan_options(const wwh_conductor_t *conductor)
{
	const wwh_rules_t *rules = wwh_fleet_rules(conductor->view);
	wwh_plan_options_t options;

	wwh_plan_options_defaults(&options);
	options.buffer_weight = rules->buffer_weight;
	options.move_weight = rules->move_weight;
	options.drain_limit_ms = rules->drain_limit_s * INT64_C(1000);
	options.checkpoint_ms = conductor->options.checkpoint_ms;
	options.service_ms = conductor->options.reboot_ms +
			     conductor->options.check_ms +
			     conductor->options.slow_start_ms;
	options.only_in_wave = true;
	options.now_ms = conductor->now_ms;
	return options;
}

/* How many of each pool are to be out at once; see planner.h. */
static void plan_again(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t pool_count = wwh_fleet_pool_count(view);
	wwh_plan_options_t options = plan_options(conductor);
	int32_t waves = 0;
	wwh_plan_t *plan;

	for (int32_t i = 0; i < pool_count; i++)
		waves += wwh_fleet_pool(view, i)->wave != WWH_FLEET_NONE;
	if (waves == 0 || (waves == conductor->planned_waves &&
			   conductor->now_ms - conductor->planned_ms <
				   conductor->options.replan_interval_ms))
		return;
	conductor->planned_waves = waves;
	conductor->planned_ms = conductor->now_ms;
	plan = wwh_plan_new(view, &options);
	for (int32_t i = 0; i < wwh_plan_pool_count(plan); i++) {
		const wwh_plan_pool_t *planned = wwh_plan_pool(plan, i);
		const wwh_fleet_pool_t *pool =
			wwh_fleet_pool(view, planned->pool);
		wwh_wave_run_t *run;

		if (pool->wave == WWH_FLEET_NONE ||
		    pool->fence == WWH_NO_OFFSET)
			continue;
		run = run_for(conductor, planned->pool);
		/* Those out now aren't in the plan: it may ask for less. */
		run->out_at_once = MAX(run->out_at_once, planned->out_at_once);
	}
	wwh_plan_delete(plan);
}

static wwh_wave_run_t *run_for(wwh_conductor_t *conductor, int32_t pool)
{
	const wwh_fleet_pool_t *item = wwh_fleet_pool(conductor->view, pool);
	const char *id = wwh_fleet_wave(conductor->view, item->wave)->id;
	wwh_wave_run_t *run = g_hash_table_lookup(conductor->wave_by_id, id);

	if (run)
		return run;
	run = g_new0(wwh_wave_run_t, 1);
	run->id = g_strdup(id);
	run->pool = g_strdup(item->id);
	run->machine = wwh_chart_start(conductor->wave_chart);
	run->out_at_once = 1;
	for (int32_t i = 0; i < item->size; i++)
		run->failed +=
			wwh_fleet_worker(
				conductor->view,
				wwh_fleet_member(conductor->view, pool, i))
				->failed != WWH_NO_OFFSET;
	g_ptr_array_add(conductor->waves, run);
	g_hash_table_insert(conductor->wave_by_id, run->id, run);
	wwh_conductor_log(conductor, "wave %s: conducted here", run->id);
	return run;
}

static gboolean is_of_wave(gpointer key, gpointer value, gpointer client_data)
{
	const wwh_wave_run_t *run = client_data;
	size_t length = strlen(run->id);

	(void)value;
	return strncmp(key, run->id, length) == 0 &&
	       ((const char *)key)[length] == '/';
}

static void drop_unseen(wwh_conductor_t *conductor)
{
	for (guint i = conductor->waves->len; i > 0; i--) {
		wwh_wave_run_t *run = conductor->waves->pdata[i - 1];

		if (run->seen)
			continue;
		g_hash_table_foreach_remove(conductor->drains_given_up,
					    is_of_wave, run);
		g_hash_table_remove(conductor->wave_by_id, run->id);
		g_ptr_array_remove_index(conductor->waves, i - 1);
	}
}

static void step(wwh_conductor_t *conductor, wwh_wave_run_t *run, event_t event)
{
	int32_t before = run->machine.state;

	wwh_chart_step(&run->machine, event, conductor->now_ms, run);
	if (run->machine.state != before)
		wwh_conductor_log(
			conductor, "wave %s: %s, was %s", run->id,
			wwh_chart_state_name(conductor->wave_chart,
					     run->machine.state),
			wwh_chart_state_name(conductor->wave_chart, before));
}

/* Turns what the view shows into the wave's events. */
static void watch(wwh_conductor_t *conductor, wwh_wave_run_t *run, int32_t pool)
{
	const wwh_fleet_view_t *view = conductor->view;
	const wwh_fleet_pool_t *item = wwh_fleet_pool(view, pool);
	int32_t window_count;
	const wwh_window_t *windows = wwh_fleet_windows(view, &window_count);
	int64_t utc_ms = conductor->now_ms + conductor->utc_offset_ms;
	int32_t failed = 0;

	for (int32_t i = 0; i < item->size; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, wwh_fleet_member(view, pool, i));

		failed += worker->failed != WWH_NO_OFFSET ||
			  worker->host_state == WWH_HOST_GONE;
	}
	if (failed > run->failed) {
		run->settled_ms = conductor->now_ms +
				  conductor->options.settle_failure_ms;
		step(conductor, run, EVENT_FAILURE);
	}
	run->failed = failed;
	if (conductor->now_ms >= run->settled_ms)
		step(conductor, run, EVENT_SETTLED);
	if (wwh_window_is_open(windows, window_count, item->id, utc_ms))
		step(conductor, run, EVENT_WINDOW_OPEN);
	else
		step(conductor, run, EVENT_WINDOW_CLOSED);
	if (wwh_fleet_wave(view, item->wave)->phase == WWH_WAVE_PHASE_PAUSED)
		step(conductor, run, EVENT_PAUSED);
	else
		step(conductor, run, EVENT_RESUMED);
}

static void find_work(const wwh_conductor_t *conductor,
		      const wwh_wave_run_t *run, int32_t pool,
		      wave_work_t *work)
{
	const wwh_fleet_view_t *view = conductor->view;
	const wwh_fleet_pool_t *item = wwh_fleet_pool(view, pool);
	wwh_plan_options_t options = plan_options(conductor);
	int32_t kept = 0;

	work->order = g_new0(int32_t, item->size + 1);
	work->order_count = wwh_plan_order(view, pool, &options, work->order);
	for (int32_t i = 0; i < work->order_count; i++) {
		if (is_given_up(conductor, run->id,
				wwh_fleet_worker(view, work->order[i])->id))
			work->lost++;
		else
			work->order[kept++] = work->order[i];
	}
	work->order_count = kept;
	for (int32_t i = 0; i < item->size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);

		if (worker->grant != WWH_NO_OFFSET) {
			work->out += worker->grant_reason == WWH_GRANT_WAVE;
			continue;
		}
		work->requested +=
			wwh_conductor_is_requested(conductor, member);
		work->lost += worker->in_wave && !worker->maintained &&
			      wwh_fleet_is_lost(worker);
	}
}

static bool is_given_up(const wwh_conductor_t *conductor, const char *wave,
			const char *worker)
{
	char *key = g_strdup_printf("%s/%s", wave, worker);
	bool found = g_hash_table_contains(conductor->drains_given_up, key);

	g_free(key);
	return found;
}

static void take_out(wwh_conductor_t *conductor, wwh_wave_run_t *run,
		     int32_t pool, wave_work_t *work)
{
	uint32_t takes_out =
		wwh_chart_tag_mask(conductor->wave_chart, "takes-out");
	wwh_pool_budget_t *tally;

	if (!wwh_chart_has_tag(&run->machine, takes_out))
		return;
	tally = tally_with_requests(conductor, pool);
	for (int32_t i = 0; i < work->order_count; i++) {
		int32_t worker = work->order[i];

		if (work->out + work->requested >= run->out_at_once)
			break;
		if (wwh_conductor_is_requested(conductor, worker) ||
		    wwh_pool_budget_allows(tally, worker) !=
			    WWH_CONSTRAINT_NONE)
			continue;
		if (!wwh_conductor_request_grant(conductor, worker,
						 WWH_GRANT_WAVE, run->id))
			continue;
		wwh_pool_budget_mark_out(tally, worker);
		/* Budget: what was asked for fits beside all that is out. */
		assert(wwh_pool_budget_lost(tally) <=
		       wwh_pool_budget_limit(tally));
		work->requested++;
	}
	wwh_pool_budget_delete(tally);
}

static void finish_wave(wwh_conductor_t *conductor, wwh_wave_run_t *run,
			int32_t pool, const wave_work_t *work)
{
	const wwh_fleet_view_t *view = conductor->view;
	char *key = g_strdup_printf("wave-finish/%s", run->id);
	wwh_record_t record;

	if (work->order_count == 0 && work->out == 0 && work->requested == 0)
		step(conductor, run, EVENT_ALL_DONE);
	if (strcmp(wwh_chart_state_name(conductor->wave_chart,
					run->machine.state),
		   "finishing") == 0 &&
	    !wwh_conductor_is_appending(conductor, key)) {
		wwh_conductor_init_record(conductor, &record,
					  WWH_RECORD_WAVE_FINISH);
		wwh_record_set(&record.body.wave.wave, run->id);
		record.body.wave.fence = wwh_fleet_pool(view, pool)->fence;
		if (work->lost > 0) {
			g_free(record.body.wave.reason);
			record.body.wave.reason = g_strdup_printf(
				"%d workers were not maintained", work->lost);
			wwh_conductor_log(conductor, "wave %s: %s", run->id,
					  record.body.wave.reason);
		}
		wwh_conductor_append(conductor, key, &record);
	}
	g_free(key);
}

/* Grants that were asked for count as out until the log says otherwise. */
static wwh_pool_budget_t *tally_with_requests(const wwh_conductor_t *conductor,
					      int32_t pool)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t size = wwh_fleet_pool(view, pool)->size;
	wwh_pool_budget_t *tally = wwh_pool_budget_new(view, pool);

	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);

		if (wwh_fleet_is_lost(worker))
			continue;
		if (wwh_conductor_is_requested(conductor, member) ||
		    worker->host_state == WWH_HOST_GONE)
			wwh_pool_budget_mark_out(tally, member);
	}
	return tally;
}
