/* Tests of the reserve: what is counted, and when hosts go to standby. */

#include "duties_fixture.h"

#define JOB_B "00000000000000bb"

static void add_upstreams(duties_fixture_t *fixture, int32_t count)
{
	for (int32_t i = 1; i <= count; i++) {
		char id[8];
		char at[16];

		snprintf(id, sizeof(id), "u%d", i);
		snprintf(at, sizeof(at), "10.0.0.%d:1", i);
		sched_fixture_add_upstream(fixture->sched, id, at);
	}
}

/* Lists idle hosts h1 to hN of one pool, beside an empty standby pool. */
static void list_idle_hosts(duties_fixture_t *fixture, int32_t count)
{
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, count, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
}

static void move_to_rack(duties_fixture_t *fixture, const char *id,
			 const char *endpoint, const char *rack)
{
	char *labels[] = { "a", (char *)rack, NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = (char *)endpoint,
		.pool = SCHED_FIXTURE_POOL,
		.zone = "hall-a",
		.rack = (char *)rack,
		.labels = labels,
		.size = { 8000, 16000, 2 },
	};

	wwh_scheduler_upstream_announced(fixture->sched->scheduler, &info,
					 fixture->sched->now_ms);
}

/* Guards against a release by what the holder before observed. */
void a_new_holder_releases_nothing_at_first(void **state)
{
	duties_fixture_t *fixture = *state;

	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS - 100);
	duties_fixture_take_over(fixture);
	list_idle_hosts(fixture, 2);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS - 1);
	assert_int_equal(fixture->moves->len, 0);
	assert_false(wwh_host_duties_reserve(fixture->duties).whole_cycle);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 1);
}

/* Guards against taking an outage of the store for a time without demand. */
void a_paused_time_is_not_observed(void **state)
{
	duties_fixture_t *fixture = *state;

	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	wwh_host_duties_set_paused(fixture->duties, true);
	duties_fixture_run(fixture, 5000);
	wwh_host_duties_set_paused(fixture->duties, false);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS - 1);
	assert_int_equal(fixture->moves->len, 0);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 1);
}

/*
 * Guards against counting a host as gone whose move had no effect, and against
 * orders that aren't repeated.
 */
void a_host_whose_move_failed_is_still_available(void **state)
{
	duties_fixture_t *fixture = *state;
	char *host;

	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS);
	assert_int_equal(fixture->moves->len, 1);
	duties_fixture_run(fixture, 1);
	assert_int_equal(wwh_host_duties_reserve(fixture->duties).available, 1);
	host = g_strndup(duties_fixture_move_at(fixture, 0), 2);
	wwh_host_duties_handle_move_result(fixture->duties, host,
					   WWH_DUTY_NOT_DONE,
					   fixture->sched->now_ms);
	g_free(host);
	/* the other host is ordered while this one waits for its retry */
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 2);
	host = g_strndup(duties_fixture_move_at(fixture, 1), 2);
	wwh_host_duties_handle_move_result(fixture->duties, host,
					   WWH_DUTY_NOT_DONE,
					   fixture->sched->now_ms);
	g_free(host);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 2);
	assert_int_equal(wwh_host_duties_reserve(fixture->duties).available, 2);
	duties_fixture_run(fixture, 1000);
	assert_int_equal(fixture->moves->len, 3);
}

/* Guards against a rack, or hosts of a wave, that are missing at the next peak. */
void the_largest_rack_and_waves_are_reserved(void **state)
{
	duties_fixture_t *fixture = *state;
	wwh_fleet_reserve_state_t gauges;

	add_upstreams(fixture, 6);
	move_to_rack(fixture, "u1", "10.0.0.1:1", "r1-2");
	move_to_rack(fixture, "u2", "10.0.0.2:1", "r1-2");
	move_to_rack(fixture, "u3", "10.0.0.3:1", "r1-3");
	list_idle_hosts(fixture, 6);
	duties_fixture_add_wave(fixture, 6, 2);
	duties_fixture_run(fixture, 1);
	gauges = wwh_host_duties_reserve(fixture->duties);
	assert_int_equal(gauges.available, 6);
	assert_int_equal(gauges.reserve_peak, 1);
	assert_int_equal(gauges.reserve_rack, 3);
	assert_int_equal(gauges.reserve_waves, 2);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 2);
	gauges = wwh_host_duties_reserve(fixture->duties);
	/* the hosts that are down for the wave are reserved as such */
	assert_int_equal(gauges.available, 6);
	assert_int_equal(gauges.reserve_waves, 2);
}

/* Lists three hosts in one pool, one in the next, and one on standby if so. */
static void list_two_pools(duties_fixture_t *fixture, bool with_standby_host)
{
	wwh_host_duties_list_begin(fixture->duties);
	if (with_standby_host)
		duties_fixture_list_host(fixture, "h5", "standby", NULL,
					 WWH_HOST_UP);
	duties_fixture_list_host(fixture, "h4", "next", "u4", WWH_HOST_UP);
	duties_fixture_list_hosts(fixture, 3, true, WWH_HOST_UP);
}

/* Upstreams that haven't answered for long get no task. */
static void answer_polls(duties_fixture_t *fixture, int32_t count)
{
	sched_fixture_run(fixture->sched, 1);
	for (int32_t i = 1; i <= count; i++) {
		char id[8];

		snprintf(id, sizeof(id), "u%d", i);
		sched_fixture_answer_poll(fixture->sched, id, NULL, 0, NULL, 0);
	}
	sched_fixture_run(fixture->sched, 1);
}

static void submit(duties_fixture_t *fixture, wwh_job_t *job, const char *pool,
		   int64_t estimate_ms)
{
	g_free(job->queue.pool);
	job->queue.pool = g_strdup(pool);
	job->steps[0].estimate_ms = estimate_ms;
	sched_fixture_submit(fixture->sched, job);
}

/*
 * Guards against calling a host from standby for each host that is drained for
 * the same pool: it is surplus once the other one has arrived. A drain that
 * takes too long isn't waited for.
 */
void a_surplus_host_is_awaited_instead_of_a_standby_host(void **state)
{
	duties_fixture_t *fixture = *state;

	add_upstreams(fixture, 4);
	/* the loss of a rack takes two hosts, so all four are reserved */
	move_to_rack(fixture, "u1", "10.0.0.1:1", "r1-2");
	move_to_rack(fixture, "u2", "10.0.0.2:1", "r1-2");
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "next", false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	duties_fixture_run(fixture, 1);
	list_two_pools(fixture, false);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS);
	list_two_pools(fixture, true);
	answer_polls(fixture, 4);
	/* one task on each host; one host would do for such short ones */
	submit(fixture, sched_fixture_job(JOB_A, 3, 5000), SCHED_FIXTURE_POOL,
	       100);
	assert_int_equal(fixture->sched->starts->len, 3);
	submit(fixture, sched_fixture_job(JOB_B, 1, 3000), "next", 1000);
	duties_fixture_run(fixture, 1);
	assert_int_equal(wwh_host_duties_reserve(fixture->duties).reserve_peak,
			 3);
	duties_fixture_run(fixture, 2000);
	assert_int_equal(fixture->moves->len, 0);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 1);
	assert_string_equal(duties_fixture_move_at(fixture, 0), "h5 next");
}

/*
 * Two pools have four and two surplus hosts. Guards against a pool that has none
 * at hand when its next peak begins, while another one has many.
 */
void hosts_leave_the_pool_with_most_surplus(void **state)
{
	duties_fixture_t *fixture = *state;

	add_upstreams(fixture, 8);
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "next", false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	duties_fixture_run(fixture, 1);
	for (int32_t i = 1; i <= 8; i++) {
		char name[8];
		char upstream[8];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(upstream, sizeof(upstream), "u%d", i);
		duties_fixture_list_host(fixture, name,
					 i <= 3 ? "next" : SCHED_FIXTURE_POOL,
					 upstream, WWH_HOST_UP);
	}
	duties_fixture_end_list(fixture);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS);
	assert_int_equal(fixture->moves->len, 4);
	for (guint i = 0; i < 4; i++)
		assert_true(duties_fixture_move_at(fixture, i)[1] > '3');
}

/* Guards against a change of moves where no host can be on standby. */
void a_fleet_without_a_standby_pool_observes_nothing(void **state)
{
	duties_fixture_t *fixture = *state;

	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "next", false);
	add_upstreams(fixture, 3);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 3, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 1);
	duties_fixture_answer_move(fixture, 0);
	duties_fixture_run(fixture, 2 * WWH_STANDBY_DELAY_MS);
	assert_int_equal(fixture->moves->len, 1);
	assert_false(wwh_host_duties_reserve(fixture->duties).whole_cycle);
}

/* The holder knows the reserve, and has recorded it. */
static void observe_window(duties_fixture_t *fixture)
{
	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS);
	assert_int_equal(fixture->moves->len, 1);
}

/* The upstreams answer the new holder age_ms after the record was written. */
static void take_over_after(duties_fixture_t *fixture, int64_t age_ms)
{
	fixture->sched->now_ms += age_ms;
	fixture->options.wall_ms = fixture->sched->now_ms;
	sched_fixture_take_over(fixture->sched);
	duties_fixture_take_over(fixture);
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
}

static void settle_and_list(duties_fixture_t *fixture)
{
	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	duties_fixture_run(fixture, 1);
}

/*
 * Guards against a new holder that pays for all hosts for a window of its own
 * after each change of holder.
 */
void a_new_holder_restores_the_reserve(void **state)
{
	duties_fixture_t *fixture = *state;

	observe_window(fixture);
	take_over_after(fixture, 1000);
	assert_true(duties_fixture_restore_reserve(fixture));
	settle_and_list(fixture);
	assert_true(wwh_host_duties_reserve(fixture->duties).whole_cycle);
	assert_int_equal(fixture->moves->len, 2);
}

/* Guards against a release by the load of long ago. */
void an_old_reserve_is_observed_anew(void **state)
{
	duties_fixture_t *fixture = *state;

	observe_window(fixture);
	take_over_after(fixture, WWH_STANDBY_DELAY_MS + 1);
	assert_true(duties_fixture_restore_reserve(fixture));
	settle_and_list(fixture);
	assert_false(wwh_host_duties_reserve(fixture->duties).whole_cycle);
	assert_int_equal(fixture->moves->len, 1);
}

/* Guards against a record that is in force for ever, as its writer's clock is ahead. */
void a_reserve_from_the_future_is_observed_anew(void **state)
{
	duties_fixture_t *fixture = *state;

	observe_window(fixture);
	take_over_after(fixture, 1000);
	fixture->options.wall_ms -= 2 * WWH_STANDBY_DELAY_MS;
	duties_fixture_take_over(fixture);
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	assert_true(duties_fixture_restore_reserve(fixture));
	settle_and_list(fixture);
	assert_false(wwh_host_duties_reserve(fixture->duties).whole_cycle);
}

/* Guards against a holder that acts by a record that another writer damaged. */
void an_unreadable_reserve_is_observed_anew(void **state)
{
	static const uint8_t negative_peak[] = { 0x95, 1, 1, 1, 0, 0xff };
	static const uint8_t too_short[] = { 0x93, 1, 1, 1 };
	/* longer than any cycle that is looked for */
	static const uint8_t long_cycle[] = { 0x95, 1,	  1,	0,    0xce,
					      0xff, 0xff, 0xff, 0xff, 9 };
	static const uint8_t no_list[] = { 0xa1, 'x' };
	duties_fixture_t *fixture = *state;
	wwh_message_t message = { "" };

	assert_false(wwh_host_duties_restore_reserve(
		fixture->duties, negative_peak, sizeof(negative_peak),
		&message));
	assert_false(wwh_host_duties_restore_reserve(
		fixture->duties, too_short, sizeof(too_short), &message));
	assert_false(wwh_host_duties_restore_reserve(
		fixture->duties, no_list, sizeof(no_list), &message));
	assert_false(wwh_host_duties_restore_reserve(
		fixture->duties, long_cycle, sizeof(long_cycle), &message));
	assert_true(strlen(message.text) > 0);
	observe_window(fixture);
}

/*
 * Guards against upstreams whose records a new holder finds, and waits for, as their
 * hosts were moved while the store took no records.
 */
void held_moves_are_not_ordered(void **state)
{
	duties_fixture_t *fixture = *state;

	add_upstreams(fixture, 2);
	list_idle_hosts(fixture, 2);
	wwh_host_duties_hold_moves(fixture->duties, WWH_HELD_RELEASES);
	duties_fixture_run(fixture, WWH_STANDBY_DELAY_MS);
	assert_int_equal(fixture->moves->len, 0);
	wwh_host_duties_hold_moves(fixture->duties, WWH_HELD_MOVES);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 0);
	wwh_host_duties_hold_moves(fixture->duties, WWH_HELD_NONE);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->moves->len, 1);
}

/*
 * Guards against the record of an upstream that stays until a list or failed polls
 * show that its host has moved.
 */
void a_move_ends_the_upstream_of_its_host(void **state)
{
	duties_fixture_t *fixture = *state;
	char upstream[] = "u1";

	observe_window(fixture);
	upstream[1] = duties_fixture_move_at(fixture, 0)[1];
	assert_true(
		wwh_scheduler_upstream_load(fixture->sched->scheduler, upstream)
			.known);
	duties_fixture_answer_move(fixture, 0);
	assert_false(
		wwh_scheduler_upstream_load(fixture->sched->scheduler, upstream)
			.known);
}
