/*
 * How many hosts a pool gets, on a clock of the test's: the load is a pool's
 * turn, some seconds of five times its mean work and then next to none.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/pool_sizing.h"

#define HOST 32000
#define POOL "desk"

static wwh_pool_demand_t figures_of(int64_t remaining_work, int64_t usable)
{
	wwh_pool_demand_t figures = {
		.remaining_work = remaining_work,
		.usable_millicores = usable,
		.host_millicores = HOST,
	};

	return figures;
}

static void a_backlog_draws_hosts_that_can_be_used(void **state)
{
	wwh_pool_sizing_t *sizing = wwh_pool_sizing_new();
	/* 600 cores for two seconds, all of it ready */
	wwh_pool_demand_t figures = figures_of(INT64_C(1200000) * 1000, 600000);
	int32_t wanted =
		wwh_pool_sizing_desired_hosts(sizing, POOL, &figures, 10000);

	(void)state;
	/* 600 cores at 95% of 32 each */
	assert_int_equal(wanted, 20);
	/* of long chains only what can run now draws hosts */
	figures.usable_millicores = 60000;
	wwh_pool_sizing_delete(sizing);
	sizing = wwh_pool_sizing_new();
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &figures, 10000),
		2);
	wwh_pool_sizing_delete(sizing);
}

/*
 * A turn's first half second. Sized by what has arrived alone, the pool asks
 * for a few hosts at a time, each of which comes one and a half seconds late.
 */
static void the_first_jobs_of_a_turn_draw_hosts_for_the_next(void **state)
{
	wwh_pool_sizing_t *sizing = wwh_pool_sizing_new();
	wwh_pool_demand_t figures = figures_of(INT64_C(160000) * 1000, 160000);
	int32_t alone =
		wwh_pool_sizing_desired_hosts(sizing, "a", &figures, 10000);
	int32_t forecast;

	(void)state;
	figures.recent_work = figures.remaining_work;
	figures.recent_millicores = figures.usable_millicores;
	forecast = wwh_pool_sizing_desired_hosts(sizing, "b", &figures, 10000);
	assert_true(forecast >= 2 * alone);
	wwh_pool_sizing_delete(sizing);
}

/* What takes longer is up to how long an idle host stays at hand. */
static void a_short_pause_changes_nothing(void **state)
{
	wwh_pool_sizing_t *sizing = wwh_pool_sizing_new();
	wwh_pool_demand_t busy = figures_of(INT64_C(1200000) * 1000, 600000);
	wwh_pool_demand_t idle = figures_of(0, 0);

	(void)state;
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &busy, 10000), 20);
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &idle, 10400), 20);
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &idle, 10600), 1);
	wwh_pool_sizing_delete(sizing);
}

static void hosts_with_lasting_tasks_are_kept(void **state)
{
	wwh_pool_sizing_t *sizing = wwh_pool_sizing_new();
	wwh_pool_demand_t figures = figures_of(0, 0);

	(void)state;
	figures.lasting = 20000;
	figures.min_hosts = 7;
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &figures, 10000),
		7);
	wwh_pool_sizing_delete(sizing);
}

/*
 * No pool has a lasting task, and all are idle before the day begins. All
 * hosts were sent to rest; then nobody knew how large a host is, so no
 * amount of work drew one back, and not one job ran.
 */
static void a_pool_keeps_one_host_whatever_is_known(void **state)
{
	wwh_pool_sizing_t *sizing = wwh_pool_sizing_new();
	wwh_pool_demand_t figures = figures_of(INT64_C(1200000) * 1000, 600000);

	(void)state;
	figures.host_millicores = 0;
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, POOL, &figures, 10000),
		1);
	figures = figures_of(0, 0);
	assert_int_equal(
		wwh_pool_sizing_desired_hosts(sizing, "b", &figures, 10000), 1);
	wwh_pool_sizing_delete(sizing);
}

/*
 * One pool has a backlog of which most is late already, and wants more hosts
 * than there are. The turn of the next one begins; it got its first host when
 * the backlog was gone, five seconds later.
 */
static void a_backlog_leaves_hosts_for_the_next_turn(void **state)
{
	const int32_t least[] = { 3, 4, 2 };
	int32_t wanted[] = { 71, 28, 4 };
	int32_t enough[] = { 20, 8, 2 };

	(void)state;
	wwh_pool_sizing_share(wanted, least, 3, 48);
	assert_int_equal(wanted[0], 22);
	assert_int_equal(wanted[1], 22);
	assert_int_equal(wanted[2], 4);
	/* with hosts for all nothing is cut */
	wwh_pool_sizing_share(enough, least, 3, 48);
	assert_int_equal(enough[0], 20);
	assert_int_equal(enough[1], 8);
	assert_int_equal(enough[2], 2);
}

/* Lasting tasks keep their hosts, and not one host is handed out twice. */
static void shares_keep_the_least_and_the_sum(void **state)
{
	const int32_t least[] = { 9, 1, 1 };
	int32_t wanted[] = { 9, 30, 30 };

	(void)state;
	wwh_pool_sizing_share(wanted, least, 3, 20);
	assert_int_equal(wanted[0], 9);
	assert_int_equal(wanted[1] + wanted[2], 11);
	assert_in_range(wanted[1] - wanted[2], 0, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_backlog_draws_hosts_that_can_be_used),
		cmocka_unit_test(
			the_first_jobs_of_a_turn_draw_hosts_for_the_next),
		cmocka_unit_test(a_short_pause_changes_nothing),
		cmocka_unit_test(hosts_with_lasting_tasks_are_kept),
		cmocka_unit_test(a_pool_keeps_one_host_whatever_is_known),
		cmocka_unit_test(a_backlog_leaves_hosts_for_the_next_turn),
		cmocka_unit_test(shares_keep_the_least_and_the_sum),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
