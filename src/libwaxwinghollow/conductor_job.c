#include <assert.h>
#include <string.h>

#include "private/conductor_state.h"

#define RENEWALS_PER_LEASE 3

typedef enum {
	EVENT_ACCEPTED = 0,
	EVENT_REFUSED,
	EVENT_RUNNING,
	EVENT_DONE,
	EVENT_FAILED,
	EVENT_CHECKPOINTED,
	EVENT_STOPPED,
	EVENT_WORKER_LOST,
	EVENT_LAPSED,
	EVENT_CANCEL,
	EVENT_COUNT
} event_t;

static const char *const event_names[EVENT_COUNT] = {
	"accepted",	"refused", "running",	  "done",   "failed",
	"checkpointed", "stopped", "worker-lost", "lapsed", "cancel",
};

typedef enum {
	STATE_STARTING = 0,
	STATE_RUNNING,
	STATE_LAPSING,
	STATE_STOPPING,
	STATE_DONE,
	STATE_FAILED,
	STATE_NOT_STARTED,
	STATE_CHECKPOINTED,
	STATE_UNKNOWN,
	STATE_STOPPED,
	STATE_COUNT
} state_t;

static const char *const state_names[STATE_COUNT] = {
	"starting", "running",	   "lapsing",	   "stopping", "done",
	"failed",   "not-started", "checkpointed", "unknown",  "stopped",
};

/* By wwh_task_state_t. */
static const event_t report_events[WWH_TASK_STATE_COUNT] = {
	EVENT_RUNNING, EVENT_CHECKPOINTED, EVENT_DONE,
	EVENT_FAILED,  EVENT_STOPPED,
};

static const wwh_chart_table_t job_table = {
	.events = event_names,
	.event_count = EVENT_COUNT,
	.states = state_names,
	.state_count = STATE_COUNT,
};

static void sync_runs(wwh_conductor_t *conductor);
static wwh_job_run_t *run_for(wwh_conductor_t *conductor, int32_t job);
static void drop_unseen(wwh_conductor_t *conductor);
static void step(wwh_conductor_t *conductor, wwh_job_run_t *run, event_t event);
static void watch(wwh_conductor_t *conductor, wwh_job_run_t *run, int32_t job);
static void pursue(wwh_conductor_t *conductor, wwh_job_run_t *run);
static void append_outcome(wwh_conductor_t *conductor, wwh_job_run_t *run);
static void note_outcome(wwh_conductor_t *conductor, wwh_job_run_t *run);
static void quarantine(wwh_conductor_t *conductor, const char *worker);
static bool avoid(const char *job, const char *worker, void *client_data);
static gboolean is_gone(gpointer key, gpointer value, gpointer client_data);
static void place(wwh_conductor_t *conductor);
static void carry_out(wwh_conductor_t *conductor,
		      const wwh_placement_decision_t *decision);
static void append_place(wwh_conductor_t *conductor,
			 const wwh_placement_decision_t *decision);

const wwh_chart_table_t *wwh_job_table(void)
{
	return &job_table;
}

void wwh_job_run_free(gpointer data)
{
	wwh_job_run_t *run = data;

	g_free(run->job);
	g_free(run->worker);
	g_free(run);
}

void wwh_jobs_step(wwh_conductor_t *conductor)
{
	sync_runs(conductor);
	if (conductor->now_ms - conductor->placed_ms >=
	    conductor->options.placement_interval_ms) {
		conductor->placed_ms = conductor->now_ms;
		g_hash_table_foreach_remove(conductor->reasons, is_gone,
					    (gpointer)conductor->view);
		place(conductor);
	}
}

wwh_reason_t wwh_conductor_job_reason(const wwh_conductor_t *conductor,
				      const char *job)
{
	return (wwh_reason_t)GPOINTER_TO_INT(
		g_hash_table_lookup(conductor->reasons, job));
}

/* The answer to an order. A lost one is neither accepted nor refused. */
void wwh_job_run_handle_answer(wwh_conductor_t *conductor, wwh_job_run_t *run,
			       wwh_task_verb_t verb, wwh_status_t status)
{
	if (verb == WWH_TASK_CHECKPOINT || verb == WWH_TASK_THROTTLE)
		return;
	if (verb == WWH_TASK_STOP) {
		if (status == WWH_STATUS_NOT_FOUND)
			step(conductor, run, EVENT_STOPPED);
		return;
	}
	if (status == WWH_STATUS_OK) {
		run->renewed_ms = conductor->now_ms;
		step(conductor, run, EVENT_ACCEPTED);
	} else if (status == WWH_STATUS_CONFLICT ||
		   status == WWH_STATUS_NOT_FOUND) {
		step(conductor, run, EVENT_REFUSED);
	}
}

static void sync_runs(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t job_count = wwh_fleet_job_count(view);

	for (guint i = 0; i < conductor->jobs->len; i++)
		((wwh_job_run_t *)conductor->jobs->pdata[i])->seen = false;
	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(view, i);
		bool runs = job->report == WWH_TASK_RUNNING;
		wwh_job_run_t *run;

		if (job->lease == WWH_NO_OFFSET ||
		    wwh_fleet_pool(view, job->pool)->fence == WWH_NO_OFFSET)
			continue;
		/* A cancelled job is followed until its task has stopped. */
		if (job->phase != WWH_JOB_PHASE_PLACED &&
		    !(job->phase == WWH_JOB_PHASE_CANCELLED && runs))
			continue;
		run = run_for(conductor, i);
		run->seen = true;
		watch(conductor, run, i);
		pursue(conductor, run);
	}
	drop_unseen(conductor);
}

static wwh_job_run_t *run_for(wwh_conductor_t *conductor, int32_t job)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(conductor->view, job);
	wwh_job_run_t *run =
		g_hash_table_lookup(conductor->job_by_id, item->id);

	if (run && run->lease == item->lease)
		return run;
	if (run) {
		g_hash_table_remove(conductor->job_by_id, item->id);
		g_ptr_array_remove_fast(conductor->jobs, run);
	}
	run = g_new0(wwh_job_run_t, 1);
	run->job = g_strdup(item->id);
	run->worker = g_strdup(
		item->worker != WWH_FLEET_NONE
			? wwh_fleet_worker(conductor->view, item->worker)->id
			: "");
	run->lease = item->lease;
	run->load = item->declared;
	run->idempotent = item->idempotent;
	run->renewed_ms = conductor->now_ms;
	run->machine = wwh_chart_start(conductor->job_chart);
	g_ptr_array_add(conductor->jobs, run);
	g_hash_table_insert(conductor->job_by_id, run->job, run);
	g_hash_table_remove(conductor->reasons, item->id);
	return run;
}

static void drop_unseen(wwh_conductor_t *conductor)
{
	for (guint i = conductor->jobs->len; i > 0; i--) {
		wwh_job_run_t *run = conductor->jobs->pdata[i - 1];

		if (run->seen)
			continue;
		note_outcome(conductor, run);
		if (run->machine.state == STATE_DONE)
			wwh_outcomes_forget_task(conductor->outcomes, run->job);
		g_hash_table_remove(conductor->job_by_id, run->job);
		g_ptr_array_remove_index_fast(conductor->jobs, i - 1);
	}
}

static void step(wwh_conductor_t *conductor, wwh_job_run_t *run, event_t event)
{
	int32_t before = run->machine.state;

	wwh_chart_step(&run->machine, event, conductor->now_ms, run);
	if (run->machine.state == before)
		return;
	run->order = (wwh_retry_t){ 0 };
	if (run->machine.state == STATE_LAPSING)
		run->lost_ms = conductor->now_ms;
}

static void watch(wwh_conductor_t *conductor, wwh_job_run_t *run, int32_t job)
{
	const wwh_fleet_view_t *view = conductor->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	const wwh_fleet_worker_t *worker =
		item->worker != WWH_FLEET_NONE
			? wwh_fleet_worker(view, item->worker)
			: NULL;
	wwh_fleet_job_t lapse = *item;

	if (item->report != WWH_FLEET_UNKNOWN)
		step(conductor, run, report_events[item->report]);
	if (!worker || worker->failed != WWH_NO_OFFSET ||
	    worker->host_state == WWH_HOST_GONE)
		step(conductor, run, EVENT_WORKER_LOST);
	lapse.renewed_ms = run->renewed_ms;
	lapse.idempotent = false;
	if (run->machine.state == STATE_LAPSING &&
	    conductor->now_ms >= wwh_placement_earliest_rerun_ms(
					 &lapse, &conductor->options.placement))
		step(conductor, run, EVENT_LAPSED);
	if (item->phase == WWH_JOB_PHASE_CANCELLED)
		step(conductor, run, EVENT_CANCEL);
}

static void pursue(wwh_conductor_t *conductor, wwh_job_run_t *run)
{
	const wwh_chart_t *chart = conductor->job_chart;
	int64_t lease_ms = conductor->options.placement.lease_ms;
	bool starts = wwh_chart_has_tag(
		&run->machine, wwh_chart_tag_mask(chart, "orders-start"));
	bool due = run->machine.state == STATE_STARTING ||
		   conductor->now_ms - run->renewed_ms >=
			   lease_ms / RENEWALS_PER_LEASE;

	if (wwh_chart_has_tag(&run->machine,
			      wwh_chart_tag_mask(chart, "orders-stop")))
		wwh_conductor_order_task(conductor, run, WWH_TASK_STOP);
	else if (starts && due)
		wwh_conductor_order_task(conductor, run, WWH_TASK_START);
	else if (wwh_chart_is_final(&run->machine))
		append_outcome(conductor, run);
}

static void append_outcome(wwh_conductor_t *conductor, wwh_job_run_t *run)
{
	static const wwh_record_kind_t kinds[STATE_COUNT] = {
		[STATE_DONE] = WWH_RECORD_JOB_DONE,
		[STATE_FAILED] = WWH_RECORD_JOB_FAILED,
		[STATE_NOT_STARTED] = WWH_RECORD_JOB_FAILED,
		[STATE_CHECKPOINTED] = WWH_RECORD_JOB_CHECKPOINTED,
		[STATE_UNKNOWN] = WWH_RECORD_JOB_FAILED,
	};
	char *key;
	wwh_record_t record;

	if (run->machine.state == STATE_STOPPED)
		return;
	key = g_strdup_printf("job/%s/%lld", run->job, (long long)run->lease);
	wwh_conductor_init_record(conductor, &record,
				  kinds[run->machine.state]);
	wwh_record_set(&record.body.job.job, run->job);
	record.body.job.fence = run->lease;
	if (run->machine.state == STATE_FAILED)
		record.body.job.run = WWH_RUN_RAN;
	else if (run->machine.state == STATE_UNKNOWN)
		record.body.job.run = WWH_RUN_UNKNOWN;
	wwh_conductor_append(conductor, key, &record);
	g_free(key);
	note_outcome(conductor, run);
}

static void note_outcome(wwh_conductor_t *conductor, wwh_job_run_t *run)
{
	bool failed = run->machine.state == STATE_FAILED;

	if (run->outcome_noted || (!failed && run->machine.state != STATE_DONE))
		return;
	run->outcome_noted = true;
	wwh_outcomes_record(conductor->outcomes, run->job, run->worker,
			    !failed);
	if (failed && conductor->view)
		quarantine(conductor, run->worker);
}

/*
 * A quarantined worker counts as lost. Where the pool can't spare it, it stays
 * and is looked at again with the next failure.
 */
static void quarantine(wwh_conductor_t *conductor, const char *worker)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t index = wwh_fleet_find_worker(view, worker);
	char *key = g_strdup_printf("quarantine/%s", worker);
	wwh_pool_budget_t *tally = NULL;
	wwh_record_t record;

	if (index != WWH_FLEET_NONE &&
	    wwh_fleet_worker(view, index)->pool != WWH_FLEET_NONE &&
	    !wwh_fleet_is_lost(wwh_fleet_worker(view, index)) &&
	    wwh_outcomes_worker_is_bad(conductor->outcomes, worker))
		tally = wwh_pool_budget_new(
			view, wwh_fleet_worker(view, index)->pool);
	if (tally &&
	    wwh_pool_budget_allows(tally, index) == WWH_CONSTRAINT_NONE) {
		wwh_conductor_init_record(conductor, &record,
					  WWH_RECORD_WORKER_QUARANTINE);
		wwh_record_set(&record.body.worker.worker, worker);
		wwh_record_set(&record.body.worker.reason,
			       "fails tasks that end well elsewhere");
		if (wwh_conductor_append(conductor, key, &record))
			wwh_conductor_log(conductor, "worker %s: quarantined",
					  worker);
	}
	wwh_pool_budget_delete(tally);
	g_free(key);
}

static bool avoid(const char *job, const char *worker, void *client_data)
{
	return wwh_outcomes_failed_on(client_data, job, worker);
}

static gboolean is_gone(gpointer key, gpointer value, gpointer client_data)
{
	(void)value;
	return wwh_fleet_find_job(client_data, key) == WWH_FLEET_NONE;
}

static void place(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	wwh_placement_options_t options = conductor->options.placement;
	GArray *decisions =
		g_array_new(FALSE, FALSE, sizeof(wwh_placement_decision_t));
	int32_t pool_count = wwh_fleet_pool_count(view);
	wwh_placement_t *placement;

	options.avoid = avoid;
	options.client_data = conductor->outcomes;
	options.teams = wwh_fleet_teams(view, &options.team_count);
	placement = wwh_placement_new(view, &options, conductor->now_ms);
	for (int32_t i = 0; i < pool_count; i++) {
		if (wwh_fleet_pool(view, i)->fence != WWH_NO_OFFSET)
			wwh_placement_pass(placement, i, decisions);
	}
	for (guint i = 0; i < decisions->len; i++)
		carry_out(
			conductor,
			&g_array_index(decisions, wwh_placement_decision_t, i));
	wwh_placement_delete(placement);
	g_array_free(decisions, TRUE);
}

static void carry_out(wwh_conductor_t *conductor,
		      const wwh_placement_decision_t *decision)
{
	const wwh_fleet_job_t *job =
		wwh_fleet_job(conductor->view, decision->job);
	wwh_job_run_t *run = g_hash_table_lookup(conductor->job_by_id, job->id);

	switch (decision->kind) {
	case WWH_PLACEMENT_START:
		append_place(conductor, decision);
		break;
	case WWH_PLACEMENT_THROTTLE:
		if (!run)
			break;
		run->throttle_millicores = decision->cpu_millicores;
		wwh_conductor_order_task(conductor, run, WWH_TASK_THROTTLE);
		break;
	case WWH_PLACEMENT_CHECKPOINT:
		if (run)
			wwh_conductor_order_task(conductor, run,
						 WWH_TASK_CHECKPOINT);
		break;
	default:
		if (decision->kind == WWH_PLACEMENT_IMPOSSIBLE &&
		    wwh_conductor_job_reason(conductor, job->id) !=
			    decision->reason)
			wwh_conductor_log(conductor, "job %s can never run: %s",
					  job->id,
					  wwh_reason_names[decision->reason]);
		g_hash_table_insert(conductor->reasons, g_strdup(job->id),
				    GINT_TO_POINTER((gint)decision->reason));
		break;
	}
}

static void append_place(wwh_conductor_t *conductor,
			 const wwh_placement_decision_t *decision)
{
	const wwh_fleet_view_t *view = conductor->view;
	const wwh_fleet_job_t *job = wwh_fleet_job(view, decision->job);
	const wwh_fleet_worker_t *worker =
		wwh_fleet_worker(view, decision->worker);
	char *key = g_strdup_printf("place/%s", job->id);
	wwh_record_t record;

	if (wwh_outcomes_task_is_bad(conductor->outcomes, job->id)) {
		g_hash_table_insert(conductor->reasons, g_strdup(job->id),
				    GINT_TO_POINTER(WWH_REASON_FAILS));
		g_free(key);
		return;
	}
	/* No new work to a leaving worker; one pool. */
	assert(!wwh_fleet_is_lost(worker));
	assert(worker->pool == job->pool);
	wwh_conductor_init_record(conductor, &record, WWH_RECORD_JOB_PLACE);
	wwh_record_set(&record.body.job.job, job->id);
	wwh_record_set(&record.body.job.worker, worker->id);
	record.body.job.fence = wwh_fleet_pool(view, job->pool)->fence;
	wwh_conductor_append(conductor, key, &record);
	g_free(key);
}
