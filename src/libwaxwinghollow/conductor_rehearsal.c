#include <assert.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "private/conductor_state.h"

#define REPORTS_KEPT 64

static bool is_led_here(const wwh_conductor_t *conductor,
			const wwh_fleet_rehearsal_t *rehearsal);
static bool is_in(const wwh_conductor_t *conductor,
		  const wwh_fleet_rehearsal_t *rehearsal, int32_t worker);
static wwh_rehearsal_run_t *run_for(wwh_conductor_t *conductor,
				    const wwh_fleet_rehearsal_t *rehearsal);
static wwh_rehearsal_run_t *find_run(const wwh_conductor_t *conductor,
				     const char *id);
static void ask_for_workers(wwh_conductor_t *conductor,
			    const wwh_fleet_rehearsal_t *rehearsal);
static bool fits(const wwh_conductor_t *conductor,
		 const wwh_fleet_rehearsal_t *rehearsal, int32_t pool);
static const char *reason_to_stop(const wwh_conductor_t *conductor,
				  const wwh_fleet_rehearsal_t *rehearsal,
				  const wwh_rehearsal_run_t *run);
static bool breaks_budget(const wwh_conductor_t *conductor,
			  const wwh_fleet_rehearsal_t *rehearsal);
static bool saw_failure(const wwh_conductor_t *conductor,
			const wwh_fleet_rehearsal_t *rehearsal);
static bool all_out(const wwh_conductor_t *conductor,
		    const wwh_fleet_rehearsal_t *rehearsal);
static bool all_back(const wwh_conductor_t *conductor,
		     const wwh_rehearsal_run_t *run);
static void end_rehearsal(wwh_conductor_t *conductor, const char *id,
			  wwh_rehearsal_run_t *run, const char *reason);
static bool is_held_here(const wwh_conductor_t *conductor,
			 const wwh_fleet_rehearsal_t *rehearsal);
static void add_int(JsonBuilder *builder, const char *name, int64_t value);

void wwh_rehearsal_run_free(gpointer data)
{
	wwh_rehearsal_run_t *run = data;

	g_free(run->id);
	g_free(run->domain_id);
	g_free(run->end_reason);
	g_free(run);
}

void wwh_rehearsals_step(wwh_conductor_t *conductor)
{
	int32_t count = wwh_fleet_rehearsal_count(conductor->view);

	for (int32_t i = 0; i < count; i++) {
		const wwh_fleet_rehearsal_t *rehearsal =
			wwh_fleet_rehearsal(conductor->view, i);
		wwh_rehearsal_run_t *run;
		const char *reason;

		if (!rehearsal->running || !is_held_here(conductor, rehearsal))
			continue;
		/* Stops wherever the reason is seen, not only at the lead. */
		run = is_led_here(conductor, rehearsal)
			      ? run_for(conductor, rehearsal)
			      : NULL;
		reason = reason_to_stop(conductor, rehearsal, run);
		if (reason) {
			end_rehearsal(conductor, rehearsal->id, run, reason);
			continue;
		}
		ask_for_workers(conductor, rehearsal);
	}
	for (guint i = 0; i < conductor->rehearsals->len; i++) {
		wwh_rehearsal_run_t *run = conductor->rehearsals->pdata[i];
		int32_t found =
			wwh_fleet_find_rehearsal(conductor->view, run->id);
		bool running =
			found != WWH_FLEET_NONE &&
			wwh_fleet_rehearsal(conductor->view, found)->running;

		if (running || run->all_back_ms != 0 ||
		    !all_back(conductor, run))
			continue;
		if (run->ended_ms == 0)
			run->ended_ms = conductor->now_ms;
		run->all_back_ms = conductor->now_ms;
		run->callers_after = conductor->callers;
		wwh_conductor_log(conductor, "rehearsal %s: all back", run->id);
	}
}

char *wwh_conductor_rehearsal_text(const wwh_conductor_t *conductor,
				   const char *rehearsal)
{
	const wwh_rehearsal_run_t *run = find_run(conductor, rehearsal);
	const wwh_caller_counts_t *before;
	const wwh_caller_counts_t *after;

	if (!run)
		return NULL;
	before = &run->callers_before;
	after = run->all_back_ms ? &run->callers_after : &conductor->callers;
	return g_strdup_printf(
		"rehearsal %s of %s %s: %s\n"
		"lost: %d workers of %d pools, %lld cores, %d jobs moved\n"
		"out after %lld s, ended after %lld s, all back %lld s later\n"
		"callers meanwhile: %lld answered, %lld not run, %lld "
		"unknown\n",
		run->id, wwh_domain_names[run->domain], run->domain_id,
		run->end_reason ? run->end_reason : "running", run->workers,
		run->pools, (long long)run->cores_milli / 1000, run->jobs,
		run->all_out_ms
			? (long long)(run->all_out_ms - run->started_ms) / 1000
			: -1LL,
		run->ended_ms
			? (long long)(run->ended_ms - run->started_ms) / 1000
			: -1LL,
		run->all_back_ms
			? (long long)(run->all_back_ms - run->ended_ms) / 1000
			: -1LL,
		(long long)(after->answered - before->answered),
		(long long)(after->not_run - before->not_run),
		(long long)(after->unknown - before->unknown));
}

char *wwh_conductor_rehearsal_json(const wwh_conductor_t *conductor,
				   const char *rehearsal)
{
	const wwh_rehearsal_run_t *run = find_run(conductor, rehearsal);
	const wwh_caller_counts_t *after;
	JsonBuilder *builder;
	JsonNode *root;
	char *text;

	if (!run)
		return NULL;
	after = run->all_back_ms ? &run->callers_after : &conductor->callers;
	builder = json_builder_new();
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "rehearsal");
	json_builder_add_string_value(builder, run->id);
	json_builder_set_member_name(builder, "domain");
	json_builder_add_string_value(builder, wwh_domain_names[run->domain]);
	json_builder_set_member_name(builder, "id");
	json_builder_add_string_value(builder, run->domain_id);
	json_builder_set_member_name(builder, "outcome");
	json_builder_add_string_value(builder, run->end_reason ? run->end_reason
							       : "running");
	add_int(builder, "workers", run->workers);
	add_int(builder, "pools", run->pools);
	add_int(builder, "cores", run->cores_milli / 1000);
	add_int(builder, "jobs_moved", run->jobs);
	add_int(builder, "started_ms", run->started_ms);
	add_int(builder, "all_out_ms", run->all_out_ms);
	add_int(builder, "ended_ms", run->ended_ms);
	add_int(builder, "all_back_ms", run->all_back_ms);
	add_int(builder, "answered",
		after->answered - run->callers_before.answered);
	add_int(builder, "not_run",
		after->not_run - run->callers_before.not_run);
	add_int(builder, "unknown",
		after->unknown - run->callers_before.unknown);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* The holder of the first pool that has a worker in the domain. */
static bool is_led_here(const wwh_conductor_t *conductor,
			const wwh_fleet_rehearsal_t *rehearsal)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);
	int32_t first = WWH_FLEET_NONE;

	for (int32_t i = 0; i < worker_count; i++) {
		int32_t home = wwh_conductor_control_pool(conductor, i);

		if (is_in(conductor, rehearsal, i) && home != WWH_FLEET_NONE &&
		    (first == WWH_FLEET_NONE || home < first))
			first = home;
	}
	return first != WWH_FLEET_NONE &&
	       wwh_fleet_pool(view, first)->fence != WWH_NO_OFFSET;
}

static bool is_in(const wwh_conductor_t *conductor,
		  const wwh_fleet_rehearsal_t *rehearsal, int32_t worker)
{
	return wwh_fleet_is_in_domain(conductor->view, worker,
				      rehearsal->domain, rehearsal->domain_id);
}

static wwh_rehearsal_run_t *run_for(wwh_conductor_t *conductor,
				    const wwh_fleet_rehearsal_t *rehearsal)
{
	const wwh_fleet_view_t *view = conductor->view;
	wwh_rehearsal_run_t *run = find_run(conductor, rehearsal->id);
	int32_t worker_count = wwh_fleet_worker_count(view);
	bool *pools;

	if (run)
		return run;
	run = g_new0(wwh_rehearsal_run_t, 1);
	run->id = g_strdup(rehearsal->id);
	run->domain = rehearsal->domain;
	run->domain_id = g_strdup(rehearsal->domain_id);
	run->started_ms = conductor->now_ms;
	run->callers_before = conductor->callers;
	pools = g_new0(bool, wwh_fleet_pool_count(view) + 1);
	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);

		if (!is_in(conductor, rehearsal, i) ||
		    worker->pool == WWH_FLEET_NONE)
			continue;
		run->workers++;
		run->jobs += worker->job_count;
		run->cores_milli += worker->size.cpu_millicores;
		run->pools += !pools[worker->pool];
		pools[worker->pool] = true;
	}
	g_free(pools);
	if (conductor->rehearsals->len >= REPORTS_KEPT)
		g_ptr_array_remove_index(conductor->rehearsals, 0);
	g_ptr_array_add(conductor->rehearsals, run);
	wwh_conductor_log(conductor, "rehearsal %s: led here", run->id);
	return run;
}

static wwh_rehearsal_run_t *find_run(const wwh_conductor_t *conductor,
				     const char *id)
{
	for (guint i = 0; i < conductor->rehearsals->len; i++) {
		wwh_rehearsal_run_t *run = conductor->rehearsals->pdata[i];

		if (strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

static void ask_for_workers(wwh_conductor_t *conductor,
			    const wwh_fleet_rehearsal_t *rehearsal)
{
	int32_t worker_count = wwh_fleet_worker_count(conductor->view);

	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(conductor->view, i);

		if (!is_in(conductor, rehearsal, i) ||
		    wwh_fleet_is_lost(worker) ||
		    worker->grant != WWH_NO_OFFSET ||
		    wwh_conductor_fence(conductor, i) == WWH_NO_OFFSET)
			continue;
		wwh_conductor_request_grant(conductor, i, WWH_GRANT_REHEARSAL,
					    rehearsal->id);
	}
}

/* Whether all of the domain's workers of the pool may be out together. */
static bool fits(const wwh_conductor_t *conductor,
		 const wwh_fleet_rehearsal_t *rehearsal, int32_t pool)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t size = wwh_fleet_pool(view, pool)->size;
	wwh_pool_budget_t *tally = wwh_pool_budget_new(view, pool);
	bool result = wwh_pool_budget_is_met(tally);

	for (int32_t i = 0; i < size && result; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);

		if (!is_in(conductor, rehearsal, member) ||
		    wwh_fleet_is_lost(wwh_fleet_worker(view, member)))
			continue;
		result = wwh_pool_budget_allows_with_reserve(
				 tally, member, WWH_DOMAIN_WORKER) ==
			 WWH_CONSTRAINT_NONE;
		wwh_pool_budget_mark_out(tally, member);
	}
	wwh_pool_budget_delete(tally);
	return result;
}

/* NULL while it may go on. run is NULL where another process leads. */
static const char *reason_to_stop(const wwh_conductor_t *conductor,
				  const wwh_fleet_rehearsal_t *rehearsal,
				  const wwh_rehearsal_run_t *run)
{
	const wwh_conductor_options_t *options = &conductor->options;
	int64_t ran_ms = run ? conductor->now_ms - run->started_ms : 0;

	if (breaks_budget(conductor, rehearsal))
		return "stopped: a pool's budget does not allow it";
	if (saw_failure(conductor, rehearsal))
		return "stopped: a worker failed meanwhile";
	if (!run)
		return NULL;
	if (conductor->callers.unknown - run->callers_before.unknown >
	    options->rehearsal_unknown_max)
		return "stopped: callers got unknown answers";
	if (run->all_out_ms != 0 && conductor->now_ms - run->all_out_ms >=
					    options->rehearsal_duration_ms)
		return "passed";
	if (ran_ms >= options->rehearsal_timeout_ms)
		return "stopped: the domain was not out in time";
	if (run->all_out_ms == 0 && all_out(conductor, rehearsal))
		((wwh_rehearsal_run_t *)run)->all_out_ms = conductor->now_ms;
	return NULL;
}

static bool breaks_budget(const wwh_conductor_t *conductor,
			  const wwh_fleet_rehearsal_t *rehearsal)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t pool_count = wwh_fleet_pool_count(view);

	for (int32_t i = 0; i < pool_count; i++) {
		const wwh_fleet_pool_t *pool = wwh_fleet_pool(view, i);
		bool touched = false;

		for (int32_t m = 0; m < pool->size && !touched; m++)
			touched = is_in(conductor, rehearsal,
					wwh_fleet_member(view, i, m));
		if (touched && !fits(conductor, rehearsal, i))
			return true;
	}
	return false;
}

/* A worker of a pool that the rehearsal touches failed since it began. */
static bool saw_failure(const wwh_conductor_t *conductor,
			const wwh_fleet_rehearsal_t *rehearsal)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);
	bool *touched = g_new0(bool, wwh_fleet_pool_count(view) + 1);
	bool result = false;

	for (int32_t i = 0; i < worker_count; i++) {
		int32_t pool = wwh_fleet_worker(view, i)->pool;

		if (pool != WWH_FLEET_NONE && is_in(conductor, rehearsal, i))
			touched[pool] = true;
	}
	for (int32_t i = 0; i < worker_count && !result; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);
		bool gone = worker->host_state == WWH_HOST_GONE &&
			    worker->grant == WWH_NO_OFFSET &&
			    worker->failed == WWH_NO_OFFSET;

		result = worker->pool != WWH_FLEET_NONE &&
			 touched[worker->pool] &&
			 (gone || worker->failed > rehearsal->offset);
	}
	g_free(touched);
	return result;
}

/* Granted to the rehearsal, or lost before; those led here also empty. */
static bool all_out(const wwh_conductor_t *conductor,
		    const wwh_fleet_rehearsal_t *rehearsal)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);
		const wwh_actor_t *actor = g_hash_table_lookup(
			conductor->actor_by_worker, worker->id);

		if (!is_in(conductor, rehearsal, i))
			continue;
		if (!wwh_fleet_is_lost(worker))
			return false;
		if (actor && actor->reason == WWH_GRANT_REHEARSAL &&
		    actor->machine.state != WWH_ACTOR_HOLDING)
			return false;
	}
	return true;
}

static bool all_back(const wwh_conductor_t *conductor,
		     const wwh_rehearsal_run_t *run)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);

		if (worker->grant != WWH_NO_OFFSET &&
		    worker->grant_reason == WWH_GRANT_REHEARSAL &&
		    strcmp(worker->grant_owner, run->id) == 0)
			return false;
	}
	return true;
}

/* Any holder of a pool that the domain touches may end it. */
static bool is_held_here(const wwh_conductor_t *conductor,
			 const wwh_fleet_rehearsal_t *rehearsal)
{
	int32_t worker_count = wwh_fleet_worker_count(conductor->view);

	for (int32_t i = 0; i < worker_count; i++) {
		if (is_in(conductor, rehearsal, i) &&
		    wwh_conductor_fence(conductor, i) != WWH_NO_OFFSET)
			return true;
	}
	return false;
}

static void end_rehearsal(wwh_conductor_t *conductor, const char *id,
			  wwh_rehearsal_run_t *run, const char *reason)
{
	char *key = g_strdup_printf("rehearsal-end/%s", id);
	wwh_record_t record;

	if (run && !run->end_reason) {
		run->end_reason = g_strdup(reason);
		run->ended_ms = conductor->now_ms;
		wwh_conductor_log(conductor, "rehearsal %s: %s", id, reason);
	}
	wwh_conductor_init_record(conductor, &record, WWH_RECORD_REHEARSAL_END);
	wwh_record_set(&record.body.rehearsal.rehearsal, id);
	wwh_conductor_append(conductor, key, &record);
	g_free(key);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}
