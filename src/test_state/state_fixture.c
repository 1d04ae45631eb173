#include "test_state.h"

const fleet_t small_fleet = {
	.workers = 12,
	.pools = 1,
	.zones = 3,
	.rule = ", \"lose_count\": 3, \"lose_percent\": 50",
	.odd_worker = -1,
};

wwh_verdict_t fixture_append(fixture_t *fixture, wwh_record_t *record)
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
	verdict = wwh_state_apply_entry(fixture->state, fixture->next, data,
					size, &read, &fixture->detail);
	fixture->next++;
	wwh_record_clear(&read);
	g_bytes_unref(bytes);
	return verdict;
}

wwh_verdict_t fixture_publish(fixture_t *fixture, const char *author,
			      int64_t base_version, const fleet_t *fleet)
{
	wwh_record_t record;

	config_record(&record, author, wwh_state_config(fixture->state),
		      base_version, fleet);
	return fixture_append(fixture, &record);
}

int64_t fixture_fence(const fixture_t *fixture, const char *pool)
{
	return fixture->fence[wwh_shard_of_pool(pool)];
}

static const char *home_of(const fixture_t *fixture, const char *worker)
{
	wwh_worker_view_t view;

	if (!wwh_state_worker(fixture->state, worker, &view))
		return "p000";
	return view.pool[0] != '\0' ? view.pool : view.move_from;
}

wwh_verdict_t fixture_grant(fixture_t *fixture, const char *author,
			    const char *worker, wwh_grant_reason_t reason,
			    const char *owner)
{
	wwh_record_t record;

	grant_record(&record, author, worker, reason, owner,
		     fixture_fence(fixture, home_of(fixture, worker)));
	return fixture_append(fixture, &record);
}

wwh_verdict_t fixture_end_grant(fixture_t *fixture, const char *worker,
				wwh_grant_outcome_t outcome)
{
	wwh_record_t record;

	grant_end_record(&record, P1, worker,
			 fixture_worker(fixture, worker).grant, outcome,
			 fixture_fence(fixture, home_of(fixture, worker)));
	return fixture_append(fixture, &record);
}

wwh_verdict_t fixture_fail_worker(fixture_t *fixture, const char *worker)
{
	wwh_record_t record;

	worker_record(&record, WWH_RECORD_WORKER_FAILED, P2, worker,
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	return fixture_append(fixture, &record);
}

wwh_verdict_t fixture_wave(fixture_t *fixture, wwh_record_kind_t kind,
			   const char *id, const char *pool)
{
	wwh_record_t record;

	wave_record(&record, kind, OPERATOR, id, pool, WWH_NO_OFFSET);
	return fixture_append(fixture, &record);
}

wwh_worker_view_t fixture_worker(const fixture_t *fixture, const char *id)
{
	wwh_worker_view_t view;

	assert_true(wwh_state_worker(fixture->state, id, &view));
	return view;
}

wwh_pool_view_t fixture_pool(const fixture_t *fixture, const char *id)
{
	wwh_pool_view_t view;

	assert_true(wwh_state_pool(fixture->state, id, &view));
	return view;
}

void fixture_init(fixture_t *fixture, const fleet_t *fleet)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->state = wwh_state_new();
	wwh_state_set_check(fixture->state, true);
	assert_int_equal(fixture_publish(fixture, OPERATOR, 0, fleet),
			 WWH_VERDICT_ACCEPTED);
	for (int32_t shard = 0; shard < WWH_SHARD_POOLS; shard++) {
		wwh_record_t record;

		fixture->fence[shard] = fixture->next;
		lease_record(&record, WWH_RECORD_LEASE_TAKE, P1, shard,
			     WWH_NO_OFFSET);
		assert_int_equal(fixture_append(fixture, &record),
				 WWH_VERDICT_ACCEPTED);
	}
}

void fixture_clear(fixture_t *fixture)
{
	wwh_state_delete(fixture->state);
}
