#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/lease_keeper.h"

#define SHARDS 8
#define PROCESSES 3
#define ROUND_MS 200

/* Processes that share one replayed state; their records apply at once. */
typedef struct {
	wwh_state_t *state;
	wwh_lease_keeper_t *keepers[PROCESSES];
	char *authors[PROCESSES];
	bool paused[PROCESSES];
	int64_t offset;
	int64_t now_ms;
} fixture_t;

static int set_up(void **test_state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->state = wwh_state_new();
	fixture->now_ms = 1000;
	for (int i = 0; i < PROCESSES; i++) {
		wwh_lease_keeper_options_t options =
			wwh_lease_keeper_options_defaults();

		fixture->authors[i] = g_strdup_printf("p%d", i);
		options.author = fixture->authors[i];
		options.first_shard = 0;
		options.shard_count = SHARDS;
		fixture->keepers[i] = wwh_lease_keeper_new(&options);
	}
	*test_state = fixture;
	return 0;
}

static int tear_down(void **test_state)
{
	fixture_t *fixture = *test_state;

	for (int i = 0; i < PROCESSES; i++) {
		wwh_lease_keeper_delete(fixture->keepers[i]);
		g_free(fixture->authors[i]);
	}
	wwh_state_delete(fixture->state);
	g_free(fixture);
	return 0;
}

static wwh_verdict_t append(fixture_t *fixture, int process,
			    const wwh_lease_action_t *action)
{
	static const wwh_record_kind_t kinds[WWH_LEASE_ACTION_COUNT] = {
		WWH_RECORD_LEASE_TAKE,
		WWH_RECORD_LEASE_RENEW,
		WWH_RECORD_LEASE_RELEASE,
	};
	wwh_record_t record;
	wwh_verdict_t verdict;

	wwh_record_init(&record, kinds[action->kind],
			fixture->authors[process]);
	record.body.lease.shard = action->shard;
	record.body.lease.offset = action->offset;
	record.body.lease.duration_ms = 5000;
	verdict = wwh_state_apply(fixture->state, ++fixture->offset, &record,
				  NULL);
	wwh_record_clear(&record);
	return verdict;
}

static void observe_all(fixture_t *fixture, int process)
{
	for (int32_t i = 0; i < SHARDS; i++) {
		wwh_lease_view_t view = wwh_state_lease(fixture->state, i);

		wwh_lease_keeper_observe(fixture->keepers[process],
					 fixture->now_ms, i, &view);
	}
}

static void run_round(fixture_t *fixture, int process)
{
	wwh_lease_keeper_t *keeper = fixture->keepers[process];
	wwh_lease_action_t action;

	if (fixture->paused[process])
		return;
	observe_all(fixture, process);
	wwh_lease_keeper_begin_round(keeper, fixture->now_ms, false);
	while (wwh_lease_keeper_decide(keeper, fixture->now_ms, true, false,
				       &action)) {
		if (append(fixture, process, &action) == WWH_VERDICT_ACCEPTED &&
		    action.kind != WWH_LEASE_RELEASE)
			wwh_lease_keeper_confirm(keeper, action.shard,
						 fixture->now_ms);
	}
}

/* No two processes may act on one shard at the same time. */
static void assert_one_holder(fixture_t *fixture)
{
	for (int32_t shard = 0; shard < SHARDS; shard++) {
		int holders = 0;

		for (int i = 0; i < PROCESSES; i++)
			holders += wwh_lease_keeper_holds(fixture->keepers[i],
							  fixture->now_ms,
							  shard, NULL);
		assert_true(holders <= 1);
	}
}

static void run_rounds(fixture_t *fixture, int64_t span_ms)
{
	for (int64_t end = fixture->now_ms + span_ms; fixture->now_ms < end;) {
		fixture->now_ms += ROUND_MS;
		for (int i = 0; i < PROCESSES; i++)
			run_round(fixture, i);
		assert_one_holder(fixture);
	}
}

static int32_t held_count(fixture_t *fixture, int process)
{
	return wwh_lease_keeper_held_count(fixture->keepers[process],
					   fixture->now_ms);
}

static void set_all_members(fixture_t *fixture, int32_t count)
{
	for (int i = 0; i < count; i++)
		wwh_lease_keeper_set_members(fixture->keepers[i], i, count);
}

static void new_member_acquires_its_share(void **test_state)
{
	fixture_t *fixture = *test_state;

	fixture->paused[1] = true;
	fixture->paused[2] = true;
	set_all_members(fixture, 1);
	run_rounds(fixture, 1000);
	assert_int_equal(held_count(fixture, 0), SHARDS);
	fixture->paused[1] = false;
	fixture->paused[2] = false;
	set_all_members(fixture, 3);
	run_rounds(fixture, 5000);
	assert_int_equal(held_count(fixture, 0), 3);
	assert_int_equal(held_count(fixture, 1), 3);
	assert_int_equal(held_count(fixture, 2), 2);
}

/*
 * A process is paused without notice and resumes late. Others acquire its leases in
 * bounded time; no two processes ever act on one shard, and the renewal of the
 * resumed process is rejected, as it names a take that was replaced.
 */
static void
paused_holder_is_replaced_and_its_renewal_rejected(void **test_state)
{
	fixture_t *fixture = *test_state;

	set_all_members(fixture, 3);
	run_rounds(fixture, 5000);
	fixture->paused[0] = true;
	wwh_lease_keeper_set_members(fixture->keepers[1], 0, 2);
	wwh_lease_keeper_set_members(fixture->keepers[2], 1, 2);
	run_rounds(fixture, 8000);
	assert_int_equal(held_count(fixture, 1), 4);
	assert_int_equal(held_count(fixture, 2), 4);
	assert_int_equal(held_count(fixture, 0), 0);
	fixture->paused[0] = false;
	run_rounds(fixture, 1000);
	assert_int_equal(held_count(fixture, 0), 0);
}

/*
 * The log can't be read for a while, so renewals written meanwhile are not
 * observed. No lease may be taken because of that.
 */
static void log_gap_does_not_count_as_missed_renewal(void **test_state)
{
	fixture_t *fixture = *test_state;
	wwh_lease_action_t action;

	set_all_members(fixture, 2);
	fixture->paused[2] = true;
	run_rounds(fixture, 5000);
	fixture->paused[0] = true;
	wwh_lease_keeper_set_members(fixture->keepers[1], 0, 1);
	fixture->now_ms += 60 * 1000;
	wwh_lease_keeper_log_gap(fixture->keepers[1], fixture->now_ms);
	observe_all(fixture, 1);
	wwh_lease_keeper_begin_round(fixture->keepers[1], fixture->now_ms,
				     false);
	while (wwh_lease_keeper_decide(fixture->keepers[1], fixture->now_ms,
				       true, false, &action))
		assert_int_not_equal(action.kind, WWH_LEASE_TAKE);
}

/*
 * The member whose target includes the lease comes back every few seconds and
 * disappears before it has waited long enough to acquire it. Another member
 * acquires the lease in bounded time, although it then exceeds its target, so
 * that the lease's work goes on.
 */
static void orphaned_lease_is_acquired_by_any_member(void **test_state)
{
	fixture_t *fixture = *test_state;
	int32_t taken = 0;

	for (int i = 0; i < PROCESSES; i++)
		wwh_lease_keeper_set_wanted(fixture->keepers[i], 1);
	set_all_members(fixture, 3);
	run_rounds(fixture, 1000);
	assert_int_equal(held_count(fixture, 0), 1);
	fixture->paused[0] = true;
	run_rounds(fixture, 20 * 1000);
	for (int i = 1; i < PROCESSES; i++)
		taken += held_count(fixture, i);
	assert_int_equal(taken, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(new_member_acquires_its_share,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			paused_holder_is_replaced_and_its_renewal_rejected,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			log_gap_does_not_count_as_missed_renewal, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			orphaned_lease_is_acquired_by_any_member, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
