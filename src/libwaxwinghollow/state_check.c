#include <assert.h>
#include <string.h>

#include "private/state_internal.h"

static int32_t sum_members(const wwh_domain_counts_t *counts, bool lost)
{
	int32_t sum = 0;

	for (guint i = 0; i < counts->counts->len; i++) {
		const wwh_domain_count_t *count =
			&g_array_index(counts->counts, wwh_domain_count_t, i);

		sum += lost ? count->lost : count->members;
	}
	return sum;
}

static void check_domains(const wwh_domain_counts_t *maintained,
			  const wwh_domain_counts_t *counted)
{
	for (guint i = 0; i < counted->counts->len; i++) {
		const wwh_domain_count_t *count =
			&g_array_index(counted->counts, wwh_domain_count_t, i);
		guint position = GPOINTER_TO_UINT(
			g_hash_table_lookup(maintained->index, count->name));
		const wwh_domain_count_t *other;

		assert(position > 0);
		other = &g_array_index(maintained->counts, wwh_domain_count_t,
				       position - 1);
		assert(other->members == count->members);
		assert(other->lost == count->lost);
	}
	/* Domains without workers must have zero counts. */
	assert(sum_members(maintained, false) == sum_members(counted, false));
	assert(sum_members(maintained, true) == sum_members(counted, true));
}

static void check_worker(const wwh_state_t *state,
			 const wwh_state_worker_t *worker)
{
	assert(wwh_state_find_worker(state, worker->declared->id) == worker);
	/* A worker is either in one pool or moving, never both or neither. */
	assert((worker->pool == NULL) == (worker->move != NULL));
	assert(wwh_state_find_pool(state, wwh_state_worker_home_pool(worker)) !=
	       NULL);
	assert(worker->failed <= state->last_offset);
	assert(worker->quarantined <= state->last_offset);
	if (worker->move != NULL) {
		assert(worker->grant != NULL);
		assert(worker->grant->reason == WWH_GRANT_MOVE);
		assert(worker->grant->offset < worker->move->offset);
		assert(wwh_state_find_pool(state, worker->move->to) != NULL);
	}
	if (worker->grant != NULL)
		assert(worker->grant->offset <= state->last_offset);
}

static void check_pools(const wwh_state_t *state)
{
	wwh_state_pool_t *counted = g_new0(wwh_state_pool_t, state->pool_count);

	wwh_state_pools_init(counted, state->pool_count, state->config);
	for (int32_t i = 0; i < state->worker_count; i++) {
		wwh_state_worker_t copy = state->workers[i];

		check_worker(state, &state->workers[i]);
		if (copy.pool == NULL)
			continue;
		copy.pool = &counted[copy.pool - state->pools];
		wwh_state_count_worker(&copy);
	}
	for (int32_t i = 0; i < state->pool_count; i++) {
		assert(state->pools[i].members == counted[i].members);
		assert(state->pools[i].lost == counted[i].lost);
		assert(state->pools[i].granted == counted[i].granted);
		assert(state->pools[i].failed == counted[i].failed);
		check_domains(&state->pools[i].racks, &counted[i].racks);
		check_domains(&state->pools[i].zones, &counted[i].zones);
	}
	wwh_state_pools_clear(counted, state->pool_count);
	g_free(counted);
}

static void check_leases(const wwh_state_t *state)
{
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++) {
		const wwh_state_lease_t *lease = state->leases[i];
		bool held = lease->latest != WWH_NO_OFFSET;

		assert(held == (lease->holder[0] != '\0'));
		assert(held == (lease->fence != WWH_NO_OFFSET));
		assert(lease->fence <= lease->latest);
		assert(lease->latest <= state->last_offset);
	}
}

static void check_seats(const wwh_state_t *state)
{
	assert(wwh_state_seats_valid(&state->seats));
}

static void check_waves(const wwh_state_t *state)
{
	GPtrArray *waves = wwh_state_table_items(&state->waves);
	guint running = 0;

	for (guint i = 0; i < waves->len; i++) {
		const wwh_state_wave_t *wave = waves->pdata[i];

		if (wave->phase != WWH_WAVE_PHASE_RUNNING &&
		    wave->phase != WWH_WAVE_PHASE_PAUSED)
			continue;
		running++;
		assert(wwh_state_find_pool(state, wave->pool) != NULL);
		assert(g_hash_table_lookup(state->wave_by_pool, wave->pool) ==
		       wave);
	}
	assert(running == g_hash_table_size(state->wave_by_pool));
	assert((int32_t)running ==
	       wwh_state_table_running_count(&state->waves));
	g_ptr_array_unref(waves);
}

static void check_jobs(const wwh_state_t *state)
{
	GPtrArray *jobs = wwh_state_table_items(&state->jobs);
	int32_t open = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const wwh_state_job_t *job = jobs->pdata[i];

		open += job->phase < WWH_JOB_PHASE_DONE ? 1 : 0;
		if (job->phase == WWH_JOB_PHASE_PLACED)
			assert(job->worker[0] != '\0' &&
			       job->fence > job->submitted);
	}
	assert(open == wwh_state_table_running_count(&state->jobs));
	g_ptr_array_unref(jobs);
}

void wwh_state_check(const wwh_state_t *state)
{
	assert(state->worker_count == wwh_config_worker_count(state->config));
	assert(state->pool_count == wwh_config_pool_count(state->config));
	assert(state->config_offset <= state->last_offset);
	assert(g_tree_nnodes(state->authors) <= WWH_STATE_AUTHORS_MAX);
	check_pools(state);
	check_leases(state);
	check_seats(state);
	check_waves(state);
	check_jobs(state);
}
