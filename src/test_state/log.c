#include "test_state.h"

const fleet_t small_fleet = {
	.workers = 12,
	.pools = 1,
	.zones = 3,
	.rule = ", \"lose_count\": 3, \"lose_percent\": 50",
	.odd_worker = -1,
};

wwh_verdict_t append(log_t *log, wwh_record_t *record)
{
	wwh_message_t message = { "" };
	GBytes *bytes = wwh_record_encode(record, &message);
	wwh_record_t read;
	wwh_verdict_t verdict;
	gsize size;
	const uint8_t *data;

	if (bytes == NULL)
		fail_msg("%s", message.text);
	wwh_record_clear(record);
	data = g_bytes_get_data(bytes, &size);
	verdict = wwh_state_apply_entry(log->state, log->next, data, size,
					&read, &log->detail);
	log->next++;
	wwh_record_clear(&read);
	g_bytes_unref(bytes);
	return verdict;
}

wwh_verdict_t publish(log_t *log, const char *author, int64_t base_version,
		      const fleet_t *fleet)
{
	wwh_record_t record;

	config_record(&record, author, wwh_state_config(log->state),
		      base_version, fleet);
	return append(log, &record);
}

int64_t fence_of(const log_t *log, const char *pool)
{
	return log->fence[wwh_shard_of_pool(pool)];
}

static const char *home_of(const log_t *log, const char *worker)
{
	wwh_worker_view_t view;

	if (!wwh_state_worker(log->state, worker, &view))
		return "p000";
	return view.pool[0] != '\0' ? view.pool : view.move_from;
}

wwh_verdict_t grant(log_t *log, const char *author, const char *worker,
		    wwh_grant_reason_t reason, const char *owner)
{
	wwh_record_t record;

	grant_record(&record, author, worker, reason, owner,
		     fence_of(log, home_of(log, worker)));
	return append(log, &record);
}

wwh_verdict_t end_grant(log_t *log, const char *worker,
			wwh_grant_outcome_t outcome)
{
	wwh_record_t record;

	end_record(&record, P1, worker, worker_of(log, worker).grant, outcome,
		   fence_of(log, home_of(log, worker)));
	return append(log, &record);
}

wwh_verdict_t fail_worker(log_t *log, const char *worker)
{
	wwh_record_t record;

	worker_record(&record, WWH_RECORD_WORKER_FAILED, P2, worker,
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	return append(log, &record);
}

wwh_verdict_t wave(log_t *log, wwh_record_kind_t kind, const char *id,
		   const char *pool)
{
	wwh_record_t record;

	wave_record(&record, kind, OPERATOR, id, pool, WWH_NO_OFFSET);
	return append(log, &record);
}

wwh_worker_view_t worker_of(const log_t *log, const char *id)
{
	wwh_worker_view_t view;

	assert_true(wwh_state_worker(log->state, id, &view));
	return view;
}

wwh_pool_view_t pool_of(const log_t *log, const char *id)
{
	wwh_pool_view_t view;

	assert_true(wwh_state_pool(log->state, id, &view));
	return view;
}

void start_log(log_t *log, const fleet_t *fleet)
{
	memset(log, 0, sizeof(*log));
	log->state = wwh_state_new();
	wwh_state_set_check(log->state, true);
	assert_int_equal(publish(log, OPERATOR, 0, fleet),
			 WWH_VERDICT_ACCEPTED);
	for (int32_t shard = 0; shard < WWH_SHARD_POOLS; shard++) {
		wwh_record_t record;

		log->fence[shard] = log->next;
		lease_record(&record, WWH_RECORD_LEASE_TAKE, P1, shard,
			     WWH_NO_OFFSET);
		assert_int_equal(append(log, &record), WWH_VERDICT_ACCEPTED);
	}
}

void end_log(log_t *log)
{
	wwh_state_delete(log->state);
}
