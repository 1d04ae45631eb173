#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "private/scheduler_policy.h"

#define SECOND_MS INT64_C(1000)
#define MONTH_MS (30 * 24 * 3600 * SECOND_MS)

/* Work of callers that said how long they are content to wait. */
static wwh_policy_order_input_t work(int64_t waited_ms, int64_t remaining_ms)
{
	return (wwh_policy_order_input_t){
		.waited_ms = waited_ms,
		.objective_ms = 5 * SECOND_MS,
		.remaining_ms = remaining_ms,
	};
}

/* Work that nobody has given an objective. */
static wwh_policy_order_input_t bulk(int64_t waited_ms, int32_t priority)
{
	return (wwh_policy_order_input_t){
		.priority = priority,
		.waited_ms = waited_ms,
		.objective_ms = WWH_POLICY_NO_OBJECTIVE_MS,
	};
}

/* A host of 8 cores that nothing speaks for or against. */
static wwh_policy_fit_input_t host(int64_t free_millicores)
{
	return (wwh_policy_fit_input_t){
		.free_millicores = free_millicores,
		.need_millicores = 1000,
		.capacity_millicores = 8000,
	};
}

static void assert_before(wwh_policy_order_input_t first,
			  wwh_policy_order_input_t second)
{
	assert_true(wwh_policy_order_key(&first) <
		    wwh_policy_order_key(&second));
}

static void assert_better(wwh_policy_fit_input_t first,
			  wwh_policy_fit_input_t second)
{
	assert_true(wwh_policy_fit_cost(&first) < wwh_policy_fit_cost(&second));
}

static void what_must_end_sooner_goes_first(void **unused)
{
	(void)unused;
	assert_before(work(2 * SECOND_MS, SECOND_MS), work(0, SECOND_MS));
	assert_before(work(0, 4 * SECOND_MS), work(2 * SECOND_MS, SECOND_MS));
}

/*
 * More work comes than can be in time. Served by arrival, all of it ends
 * late; what is late anyway lets go first what need not be.
 */
static void what_is_late_anyway_gives_way(void **unused)
{
	(void)unused;
	assert_before(work(0, SECOND_MS), work(5 * SECOND_MS, SECOND_MS));
	assert_before(work(5 * SECOND_MS, SECOND_MS),
		      work(15 * SECOND_MS, SECOND_MS));
}

static void lasting_tasks_go_before_all(void **unused)
{
	wwh_policy_order_input_t lasting = work(0, 0);
	wwh_policy_order_input_t pressing = work(4 * SECOND_MS, SECOND_MS);

	(void)unused;
	lasting.lasting = true;
	lasting.priority = 100;
	assert_before(lasting, pressing);
}

static void a_priority_is_not_made_up_for_by_waiting(void **unused)
{
	(void)unused;
	assert_before(bulk(0, 0), bulk(MONTH_MS, 1));
}

/*
 * Work without an objective waits for a month at a full pool. It must not
 * come to rank as late: everything that arrives would go before it.
 */
static void without_an_objective_the_longest_wait_goes_first(void **unused)
{
	(void)unused;
	assert_before(bulk(2, 1), bulk(1, 1));
	assert_before(bulk(MONTH_MS, 1), bulk(SECOND_MS, 1));
	assert_before(bulk(12 * MONTH_MS, 1), bulk(MONTH_MS, 1));
}

static void the_fullest_host_is_taken(void **unused)
{
	(void)unused;
	assert_better(host(1000), host(8000));
	assert_better(host(1000), host(2000));
}

/* Two of a group in the zone of a full host; the empty host's has one. */
static void a_group_is_spread_before_hosts_are_filled(void **unused)
{
	wwh_policy_fit_input_t full = host(1000);
	wwh_policy_fit_input_t empty = host(8000);

	(void)unused;
	full.group_tasks_in_zone = 2;
	empty.group_tasks_in_zone = 1;
	assert_better(empty, full);
}

/*
 * A job that goes to a host that the wave has still to take is moved again.
 * The host that is done is empty, and its zone is full of the job's group.
 */
static void a_host_that_is_done_goes_before_all(void **unused)
{
	wwh_policy_fit_input_t done = host(8000);
	wwh_policy_fit_input_t to_come = host(1000);

	(void)unused;
	done.group_tasks_in_zone = 100000;
	to_come.wave_pending = true;
	assert_better(done, to_come);
}

static void a_host_where_the_task_failed_is_the_last(void **unused)
{
	wwh_policy_fit_input_t failed = host(1000);
	wwh_policy_fit_input_t other = host(8000);

	(void)unused;
	failed.failed_here = true;
	other.data_elsewhere = true;
	assert_better(other, failed);
}

static void tasks_that_disturb_each_other_are_parted(void **unused)
{
	wwh_policy_fit_input_t disturbed = host(1000);

	(void)unused;
	disturbed.disturbed = 1;
	assert_better(host(8000), disturbed);
}

static void lasting_tasks_of_a_step_are_spread(void **unused)
{
	wwh_policy_fit_input_t shared = host(1000);
	wwh_policy_fit_input_t alone = host(8000);

	(void)unused;
	shared.lasting = true;
	shared.lasting_here = 1;
	shared.same_step = 1;
	alone.lasting = true;
	alone.lasting_here = 1;
	assert_better(alone, shared);
}

/* Those of other steps share hosts: the rest can be moved at any time. */
static void lasting_tasks_of_two_steps_share_a_host(void **unused)
{
	wwh_policy_fit_input_t shared = host(8000);
	wwh_policy_fit_input_t first = host(1000);

	(void)unused;
	shared.lasting = true;
	shared.lasting_here = 1;
	first.lasting = true;
	assert_better(shared, first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_must_end_sooner_goes_first),
		cmocka_unit_test(what_is_late_anyway_gives_way),
		cmocka_unit_test(lasting_tasks_go_before_all),
		cmocka_unit_test(a_priority_is_not_made_up_for_by_waiting),
		cmocka_unit_test(
			without_an_objective_the_longest_wait_goes_first),
		cmocka_unit_test(the_fullest_host_is_taken),
		cmocka_unit_test(a_group_is_spread_before_hosts_are_filled),
		cmocka_unit_test(a_host_that_is_done_goes_before_all),
		cmocka_unit_test(a_host_where_the_task_failed_is_the_last),
		cmocka_unit_test(tasks_that_disturb_each_other_are_parted),
		cmocka_unit_test(lasting_tasks_of_a_step_are_spread),
		cmocka_unit_test(lasting_tasks_of_two_steps_share_a_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
