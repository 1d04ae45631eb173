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

/* Processes around one replayed state; records apply at once unless lost. */
typedef struct {
	wwh_state_t *state;
	wwh_lease_keeper_t *keepers[PROCESSES];
	char *authors[PROCESSES];
	bool paused[PROCESSES];
	int64_t offset;
	int64_t now_ms;
} fleet_t;

static int set_up(void **test_state)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->state = wwh_state_new();
	fleet->now_ms = 1000;
	for (int i = 0; i < PROCESSES; i++) {
		wwh_lease_keeper_options_t options =
			wwh_lease_keeper_options_defaults();

		fleet->authors[i] = g_strdup_printf("p%d", i);
		options.author = fleet->authors[i];
		options.first_shard = 0;
		options.shard_count = SHARDS;
		fleet->keepers[i] = wwh_lease_keeper_new(&options);
	}
	*test_state = fleet;
	return 0;
}

static int tear_down(void **test_state)
{
	fleet_t *fleet = *test_state;

	for (int i = 0; i < PROCESSES; i++) {
		wwh_lease_keeper_delete(fleet->keepers[i]);
		g_free(fleet->authors[i]);
	}
	wwh_state_delete(fleet->state);
	g_free(fleet);
	return 0;
}

static wwh_verdict_t append(fleet_t *fleet, int process,
			    const wwh_lease_action_t *action)
{
	static const wwh_record_kind_t kinds[WWH_LEASE_ACTION_COUNT] = {
		WWH_RECORD_LEASE_TAKE,
		WWH_RECORD_LEASE_RENEW,
		WWH_RECORD_LEASE_RELEASE,
	};
	wwh_record_t record;
	wwh_verdict_t verdict;

	wwh_record_init(&record, kinds[action->kind], fleet->authors[process]);
	record.body.lease.shard = action->shard;
	record.body.lease.offset = action->offset;
	record.body.lease.duration_ms = 5000;
	verdict = wwh_state_apply(fleet->state, ++fleet->offset, &record, NULL);
	wwh_record_clear(&record);
	return verdict;
}

static void observe_all(fleet_t *fleet, int process)
{
	for (int32_t i = 0; i < SHARDS; i++) {
		wwh_lease_view_t view = wwh_state_lease(fleet->state, i);

		wwh_lease_keeper_observe(fleet->keepers[process], fleet->now_ms,
					 i, &view);
	}
}

static void run_round(fleet_t *fleet, int process)
{
	wwh_lease_keeper_t *keeper = fleet->keepers[process];
	wwh_lease_action_t action;

	if (fleet->paused[process])
		return;
	observe_all(fleet, process);
	wwh_lease_keeper_begin_round(keeper, fleet->now_ms, false);
	while (wwh_lease_keeper_decide(keeper, fleet->now_ms, true, false,
				       &action)) {
		if (append(fleet, process, &action) == WWH_VERDICT_ACCEPTED &&
		    action.kind != WWH_LEASE_RELEASE)
			wwh_lease_keeper_confirm(keeper, action.shard,
						 fleet->now_ms);
	}
}

/* The promise: no two processes may act on one shard at the same moment. */
static void check_one_holder(fleet_t *fleet)
{
	for (int32_t shard = 0; shard < SHARDS; shard++) {
		int holders = 0;

		for (int i = 0; i < PROCESSES; i++)
			holders += wwh_lease_keeper_holds(
				fleet->keepers[i], fleet->now_ms, shard, NULL);
		assert_true(holders <= 1);
	}
}

static void run_rounds(fleet_t *fleet, int64_t span_ms)
{
	for (int64_t end = fleet->now_ms + span_ms; fleet->now_ms < end;) {
		fleet->now_ms += ROUND_MS;
		for (int i = 0; i < PROCESSES; i++)
			run_round(fleet, i);
		check_one_holder(fleet);
	}
}

static int32_t held(fleet_t *fleet, int process)
{
	return wwh_lease_keeper_held_count(fleet->keepers[process],
					   fleet->now_ms);
}

static void all_know(fleet_t *fleet, int32_t count)
{
	for (int i = 0; i < count; i++)
		wwh_lease_keeper_set_members(fleet->keepers[i], i, count);
}

static void a_newcomer_gets_its_part(void **test_state)
{
	fleet_t *fleet = *test_state;

	fleet->paused[1] = true;
	fleet->paused[2] = true;
	all_know(fleet, 1);
	run_rounds(fleet, 1000);
	assert_int_equal(held(fleet, 0), SHARDS);
	fleet->paused[1] = false;
	fleet->paused[2] = false;
	all_know(fleet, 3);
	run_rounds(fleet, 5000);
	assert_int_equal(held(fleet, 0), 3);
	assert_int_equal(held(fleet, 1), 3);
	assert_int_equal(held(fleet, 2), 2);
}

/*
 * A process is frozen without a word and wakes late. Others take its shards
 * in bounded time; at no moment do two act on one shard, and what it does on
 * waking is void: its renewal names a take that was replaced.
 */
static void a_frozen_holder_is_replaced_and_wakes_harmless(void **test_state)
{
	fleet_t *fleet = *test_state;

	all_know(fleet, 3);
	run_rounds(fleet, 5000);
	fleet->paused[0] = true;
	wwh_lease_keeper_set_members(fleet->keepers[1], 0, 2);
	wwh_lease_keeper_set_members(fleet->keepers[2], 1, 2);
	run_rounds(fleet, 8000);
	assert_int_equal(held(fleet, 1), 4);
	assert_int_equal(held(fleet, 2), 4);
	assert_int_equal(held(fleet, 0), 0);
	fleet->paused[0] = false;
	run_rounds(fleet, 1000);
	assert_int_equal(held(fleet, 0), 0);
}

/*
 * The log can't be read for a while; renewals that were written meanwhile are
 * not seen. Nobody's lease may be taken on that ground.
 */
static void a_gap_of_the_log_is_no_missing_renewal(void **test_state)
{
	fleet_t *fleet = *test_state;
	wwh_lease_action_t action;

	all_know(fleet, 2);
	fleet->paused[2] = true;
	run_rounds(fleet, 5000);
	fleet->paused[0] = true;
	wwh_lease_keeper_set_members(fleet->keepers[1], 0, 1);
	fleet->now_ms += 60 * 1000;
	wwh_lease_keeper_log_gap(fleet->keepers[1], fleet->now_ms);
	observe_all(fleet, 1);
	wwh_lease_keeper_begin_round(fleet->keepers[1], fleet->now_ms, false);
	while (wwh_lease_keeper_decide(fleet->keepers[1], fleet->now_ms, true,
				       false, &action))
		assert_int_not_equal(action.kind, WWH_LEASE_TAKE);
}

/*
 * The member whose turn it would be comes back every few seconds and is gone
 * again before it has waited long enough to take the lease. Another member,
 * which is above its target, takes it in bounded time, so its work goes on.
 */
static void a_lease_that_nobody_takes_is_taken_by_anybody(void **test_state)
{
	fleet_t *fleet = *test_state;
	int32_t taken = 0;

	for (int i = 0; i < PROCESSES; i++)
		wwh_lease_keeper_set_wanted(fleet->keepers[i], 1);
	all_know(fleet, 3);
	run_rounds(fleet, 1000);
	assert_int_equal(held(fleet, 0), 1);
	fleet->paused[0] = true;
	run_rounds(fleet, 20 * 1000);
	for (int i = 1; i < PROCESSES; i++)
		taken += held(fleet, i);
	assert_int_equal(taken, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_newcomer_gets_its_part,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_frozen_holder_is_replaced_and_wakes_harmless, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_gap_of_the_log_is_no_missing_renewal, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_lease_that_nobody_takes_is_taken_by_anybody, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
