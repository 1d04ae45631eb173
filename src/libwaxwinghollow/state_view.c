#include <assert.h>
#include <string.h>

#include "private/state_internal.h"
#include "waxwinghollow/budget.h"

int64_t wwh_state_last_offset(const wwh_state_t *state)
{
	return state->last_offset;
}

int64_t wwh_state_verdict_count(const wwh_state_t *state, wwh_verdict_t verdict)
{
	return state->verdict_counts[verdict];
}

int64_t wwh_state_author_offset(const wwh_state_t *state, const char *author)
{
	const wwh_state_author_t *found = g_tree_lookup(state->authors, author);

	return found != NULL ? found->offset : WWH_NO_OFFSET;
}

const wwh_config_t *wwh_state_config(const wwh_state_t *state)
{
	return state->config;
}

int64_t wwh_state_config_version(const wwh_state_t *state)
{
	return wwh_config_version(state->config);
}

int64_t wwh_state_config_offset(const wwh_state_t *state)
{
	return state->config_offset;
}

const char *wwh_state_config_author(const wwh_state_t *state)
{
	return state->config_author;
}

wwh_lease_view_t wwh_state_lease(const wwh_state_t *state, int32_t shard)
{
	const wwh_state_lease_t *lease;
	wwh_lease_view_t view = { 0 };

	assert(shard >= 0 && shard < WWH_SHARD_COUNT);
	lease = state->leases[shard];
	view.held = lease->latest != WWH_NO_OFFSET;
	view.holder = lease->holder;
	view.fence = lease->fence;
	view.latest = lease->latest;
	view.duration_ms = lease->duration_ms;
	return view;
}

static wwh_worker_view_t view_worker(const wwh_state_worker_t *worker)
{
	wwh_worker_view_t view = {
		.id = worker->declared->id,
		.declared = worker->declared,
		.pool = worker->pool != NULL ? worker->pool->declared->id : "",
		.wanted_pool = wwh_state_worker_wanted_pool(worker),
		.move_from = "",
		.move_to = "",
		.move = WWH_NO_OFFSET,
		.failed = worker->failed,
		.quarantined = worker->quarantined,
		.grant = WWH_NO_OFFSET,
		.grant_owner = "",
		.grant_author = "",
		.lost = wwh_state_worker_is_lost(worker),
	};

	if (worker->move != NULL) {
		view.move_from = worker->move->from;
		view.move_to = worker->move->to;
		view.move = worker->move->offset;
	}
	if (worker->grant != NULL) {
		view.grant = worker->grant->offset;
		view.grant_reason = worker->grant->reason;
		view.grant_owner = worker->grant->owner;
		view.grant_author = worker->grant->author;
	}
	return view;
}

bool wwh_state_worker(const wwh_state_t *state, const char *id,
		      wwh_worker_view_t *worker)
{
	const wwh_state_worker_t *found = wwh_state_find_worker(state, id);

	if (found == NULL)
		return false;
	*worker = view_worker(found);
	return true;
}

void wwh_state_each_worker(const wwh_state_t *state,
			   wwh_worker_view_visit_t visit, void *client_data)
{
	for (int32_t i = 0; i < state->worker_count; i++) {
		wwh_worker_view_t view = view_worker(&state->workers[i]);

		if (!visit(&view, client_data))
			return;
	}
}

void wwh_state_each_member(const wwh_state_t *state, const char *pool,
			   wwh_worker_view_visit_t visit, void *client_data)
{
	const wwh_state_pool_t *found = wwh_state_find_pool(state, pool);

	for (int32_t i = 0; found != NULL && i < state->worker_count; i++) {
		wwh_worker_view_t view;

		if (state->workers[i].pool != found)
			continue;
		view = view_worker(&state->workers[i]);
		if (!visit(&view, client_data))
			return;
	}
}

void wwh_state_each_grant(const wwh_state_t *state,
			  wwh_worker_view_visit_t visit, void *client_data)
{
	for (int32_t i = 0; i < state->worker_count; i++) {
		wwh_worker_view_t view;

		if (state->workers[i].grant == NULL)
			continue;
		view = view_worker(&state->workers[i]);
		if (!visit(&view, client_data))
			return;
	}
}

bool wwh_state_pool(const wwh_state_t *state, const char *id,
		    wwh_pool_view_t *pool)
{
	const wwh_state_pool_t *found = wwh_state_find_pool(state, id);

	if (found == NULL)
		return false;
	pool->declared = found->declared;
	pool->members = found->members;
	pool->lost = found->lost;
	pool->granted = found->granted;
	pool->failed = found->failed;
	pool->limit = wwh_budget_limit(found->declared, found->members);
	pool->reserve =
		wwh_state_pool_reserve(found, found->declared->reserve, NULL);
	return true;
}

static wwh_wave_view_t view_wave(const wwh_state_wave_t *wave)
{
	wwh_wave_view_t view = {
		.id = wave->id,
		.pool = wave->pool,
		.author = wave->author,
		.offset = wave->offset,
		.phase = (wwh_wave_phase_t)wave->phase,
		.changed = wave->changed,
		.reason = wave->reason,
		.workers = (const char *const *)wave->workers->pdata,
		.worker_count = (int32_t)wave->workers->len,
		.done = (const char *const *)wave->done->pdata,
		.done_count = (int32_t)wave->done->len,
	};

	return view;
}

bool wwh_state_wave(const wwh_state_t *state, const char *id,
		    wwh_wave_view_t *wave)
{
	const wwh_state_wave_t *found = wwh_state_table_find(&state->waves, id);

	if (found == NULL)
		return false;
	*wave = view_wave(found);
	return true;
}

void wwh_state_each_wave(const wwh_state_t *state, wwh_wave_view_visit_t visit,
			 void *client_data)
{
	GPtrArray *items = wwh_state_table_items(&state->waves);

	for (guint i = 0; i < items->len; i++) {
		wwh_wave_view_t view = view_wave(items->pdata[i]);

		if (!visit(&view, client_data))
			break;
	}
	g_ptr_array_unref(items);
}

static wwh_rehearsal_view_t
view_rehearsal(const wwh_state_rehearsal_t *rehearsal)
{
	wwh_rehearsal_view_t view = {
		.id = rehearsal->id,
		.author = rehearsal->author,
		.offset = rehearsal->offset,
		.domain = (wwh_domain_t)rehearsal->domain,
		.domain_id = rehearsal->domain_id,
		.running = rehearsal->running,
	};

	return view;
}

bool wwh_state_rehearsal(const wwh_state_t *state, const char *id,
			 wwh_rehearsal_view_t *rehearsal)
{
	const wwh_state_rehearsal_t *found =
		wwh_state_table_find(&state->rehearsals, id);

	if (found == NULL)
		return false;
	*rehearsal = view_rehearsal(found);
	return true;
}

void wwh_state_each_rehearsal(const wwh_state_t *state,
			      wwh_rehearsal_view_visit_t visit,
			      void *client_data)
{
	GPtrArray *items = wwh_state_table_items(&state->rehearsals);

	for (guint i = 0; i < items->len; i++) {
		wwh_rehearsal_view_t view = view_rehearsal(items->pdata[i]);

		if (!visit(&view, client_data))
			break;
	}
	g_ptr_array_unref(items);
}

static wwh_job_view_t view_job(const wwh_state_job_t *job)
{
	wwh_job_view_t view = {
		.id = job->id,
		.pool = job->pool,
		.team = job->team,
		.cores = job->cores,
		.memory_mb = job->memory_mb,
		.accelerators = job->accelerators,
		.urgent = job->urgent,
		.idempotent = job->idempotent,
		.submitted = job->submitted,
		.phase = (wwh_job_phase_t)job->phase,
		.worker = job->worker,
		.fence = job->fence,
		.checkpoint = job->checkpoint,
		.failures = job->failures,
	};

	return view;
}

bool wwh_state_job(const wwh_state_t *state, const char *id,
		   wwh_job_view_t *job)
{
	const wwh_state_job_t *found = wwh_state_table_find(&state->jobs, id);

	if (found == NULL)
		return false;
	*job = view_job(found);
	return true;
}

void wwh_state_each_job(const wwh_state_t *state, wwh_job_view_visit_t visit,
			void *client_data)
{
	GPtrArray *items = wwh_state_table_items(&state->jobs);

	for (guint i = 0; i < items->len; i++) {
		wwh_job_view_t view = view_job(items->pdata[i]);

		if (!visit(&view, client_data))
			break;
	}
	g_ptr_array_unref(items);
}

typedef struct {
	wwh_author_visit_t visit;
	void *client_data;
} author_visit_t;

static gboolean visit_author(gpointer key, gpointer item, gpointer data)
{
	const author_visit_t *context = data;
	const wwh_state_author_t *author = item;

	(void)key;
	return !context->visit(author->id, author->offset,
			       context->client_data);
}

void wwh_state_each_author(const wwh_state_t *state, wwh_author_visit_t visit,
			   void *client_data)
{
	author_visit_t context = { visit, client_data };

	g_tree_foreach(state->authors, visit_author, &context);
}

bool wwh_state_has_jobs(const wwh_state_t *state)
{
	return g_tree_nnodes(state->jobs.by_id) > 0;
}
