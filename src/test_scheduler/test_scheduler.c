/*
 * The scheduler, event by event: its orders, its records and the states that it
 * reports to callers, when answers are lost, late or for a previous holder. The
 * tests in this file cover durability: when an acceptance or an end counts.
 */

#include "test_scheduler.h"

/* A fixture with upstreams that have answered and accept tasks. */
static sched_fixture_t *fixture_with(int32_t upstreams)
{
	static const char *const endpoints[] = { ENDPOINT_1, ENDPOINT_2,
						 ENDPOINT_3 };
	sched_fixture_t *fixture = sched_fixture_new();

	for (int32_t i = 0; i < upstreams; i++) {
		char id[8];

		snprintf(id, sizeof(id), "u%d", i + 1);
		sched_fixture_add_upstream(fixture, id, endpoints[i]);
	}
	return fixture;
}

int fixture_with_0(void **state)
{
	*state = fixture_with(0);
	return 0;
}

int fixture_with_1(void **state)
{
	*state = fixture_with(1);
	return 0;
}

int fixture_with_2(void **state)
{
	*state = fixture_with(2);
	return 0;
}

int fixture_with_3(void **state)
{
	*state = fixture_with(3);
	return 0;
}

int fixture_tear_down(void **state)
{
	sched_fixture_delete(*state);
	return 0;
}

void answer_all_but(sched_fixture_t *fixture, const char *silent)
{
	answer_all_but_failing(fixture, silent, WWH_REACH_SILENT);
}

void answer_all_but_failing(sched_fixture_t *fixture, const char *failing,
			    wwh_reach_t reach)
{
	guint count = fixture->polls->len;

	for (guint i = 0; i < count; i++) {
		sched_fixture_poll_t poll =
			g_array_index(fixture->polls, sched_fixture_poll_t, 0);

		if (strcmp(poll.upstream, failing) != 0) {
			sched_fixture_answer_poll(fixture, poll.upstream, NULL,
						  0, NULL, 0);
			continue;
		}
		g_array_remove_index(fixture->polls, 0);
		wwh_scheduler_handle_poll_failure(fixture->scheduler, failing,
						  reach, fixture->now_ms);
	}
}

static void a_job_runs_to_its_end(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_int_equal(fixture->starts->len, 1);
	order = *sched_fixture_order(fixture->starts, 0);
	assert_string_equal(order.task, JOB_A ".0.0.0");
	assert_int_equal(order.run, 1);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

static void nothing_starts_before_the_job_is_durable(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t record;

	(void)wwh_scheduler_submit(fixture->scheduler,
				   sched_fixture_job(JOB_A, 1, 1000),
				   fixture->now_ms, &record);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 0);
	wwh_scheduler_set_durable(fixture->scheduler, record);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
}

static void a_completed_job_is_reported_once_it_is_durable(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	sched_fixture_make_durable(fixture);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/*
 * Guards against a task that runs twice. Its end is listed, an older record
 * becomes durable at that moment, and the end is acknowledged, so the upstream
 * deletes it. The holder then loses the store. The next holder finds the task
 * neither done in the journal nor listed, and starts it again.
 */
static void an_end_is_acknowledged_only_after_its_own_record(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended;
	wwh_running_task_t row;
	sched_fixture_poll_t poll;
	int64_t record;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	(void)wwh_scheduler_submit(fixture->scheduler,
				   sched_fixture_job(JOB_B, 1, 1000),
				   fixture->now_ms, &record);
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	wwh_scheduler_set_durable(fixture->scheduler, record);
	sched_fixture_run(fixture, 500);
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 1),
		WWH_ORDER_DONE);
	row = sched_fixture_running_row(sched_fixture_order(fixture->starts, 1),
					10);
	poll = sched_fixture_answer_poll(fixture, "u1", &row, 1, &ended, 1);
	assert_int_equal(poll.acked_upto, 0);
	/* its record was sent to the store and isn't durable yet */
	(void)wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
	sched_fixture_run(fixture, 500);
	poll = sched_fixture_answer_poll(fixture, "u1", &row, 1, &ended, 1);
	assert_int_equal(poll.acked_upto, 0);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 500);
	poll = sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	assert_int_equal(poll.acked_upto, 1);
}

/*
 * Ends that change no job, such as those of stopped runs, are acknowledged too.
 * Otherwise the upstream's list of ends grows, and each poll is answered at once.
 */
static void ends_without_progress_are_acknowledged_too(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended = { .number = 1,
				   .task = JOB_B ".0.0.0",
				   .run = 1,
				   .kind = WWH_END_STOPPED,
				   .checkpoint = "" };
	sched_fixture_poll_t poll;

	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	assert_true(wwh_scheduler_has_unflushed(fixture->scheduler));
	sched_fixture_make_durable(fixture);
	assert_false(wwh_scheduler_has_unflushed(fixture->scheduler));
	sched_fixture_run(fixture, 500);
	poll = sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	assert_int_equal(poll.acked_upto, 1);
}

/*
 * Guards against a new holder that reports jobs as unknown which ended seconds
 * before all hosts lost power. It computed their age from a clock that wasn't set
 * yet, so they expired at once.
 */
static void ended_jobs_stay_known_after_a_change_of_holder(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended;

	fixture->now_ms += 10 * fixture->options.ended_job_retention_ms;
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1500);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	sched_fixture_run(fixture,
			  fixture->options.ended_job_retention_ms + 1500);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_UNKNOWN);
}

static void the_same_id_is_the_same_job(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t first;
	int64_t second;

	assert_int_equal(wwh_scheduler_submit(fixture->scheduler,
					      sched_fixture_job(JOB_A, 1, 1000),
					      fixture->now_ms, &first),
			 WWH_SUBMIT_ACCEPTED);
	assert_int_equal(wwh_scheduler_submit(fixture->scheduler,
					      sched_fixture_job(JOB_A, 7, 1000),
					      fixture->now_ms, &second),
			 WWH_SUBMIT_KNOWN);
	assert_int_equal(first, second);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
}

/*
 * While the store is unavailable, a caller is told that its job isn't accepted.
 * The job may be discarded for this only while nothing else depends on it: not
 * once it is durable, or cancelled by a caller who waits for the result.
 */
static void a_job_is_discardable_only_while_nothing_depends_on_it(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t record;

	(void)wwh_scheduler_submit(fixture->scheduler,
				   sched_fixture_job(JOB_A, 1, 1000),
				   fixture->now_ms, &record);
	assert_true(
		wwh_scheduler_job_is_discardable(fixture->scheduler, JOB_A));
	wwh_scheduler_discard_job(fixture->scheduler, JOB_A);
	wwh_scheduler_check(fixture->scheduler);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_UNKNOWN);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_false(
		wwh_scheduler_job_is_discardable(fixture->scheduler, JOB_A));
	(void)wwh_scheduler_submit(fixture->scheduler,
				   sched_fixture_job(JOB_B, 1, 1000),
				   fixture->now_ms, &record);
	assert_true(wwh_scheduler_cancel(fixture->scheduler, JOB_B,
					 fixture->now_ms, &record));
	assert_false(
		wwh_scheduler_job_is_discardable(fixture->scheduler, JOB_B));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		JOB_TESTS,
		RUN_TESTS,
		UPSTREAM_TESTS,
		UNREACHABLE_TESTS,
		AUTHORITY_TESTS,
		UNCONFIRMED_TESTS,
		FIRST_ANSWER_TESTS,
		DAMAGE_TESTS,
		BACKLOG_TESTS,
		IDLE_TESTS,
		INCARNATION_TESTS,
		CLOCK_TESTS,
		NUMBER_TESTS,
		OCCURRENCE_TESTS,
		SCHEDULE_TESTS,
		TOMBSTONE_TESTS,
		ISOLATION_TESTS,
		FAILURE_TESTS,
		NAME_TESTS,
		REPEAT_TESTS,
		SHARE_TESTS,
		ROOM_TESTS,
		OVERLOAD_TESTS,
		CRASH_TESTS,
		CAPACITY_TESTS,
		PROGRESS_TESTS,
		SPEED_TESTS,
		FIXTURE_TEST(a_job_runs_to_its_end, 1),
		FIXTURE_TEST(nothing_starts_before_the_job_is_durable, 1),
		FIXTURE_TEST(a_completed_job_is_reported_once_it_is_durable, 1),
		FIXTURE_TEST(an_end_is_acknowledged_only_after_its_own_record,
			     1),
		FIXTURE_TEST(ends_without_progress_are_acknowledged_too, 1),
		FIXTURE_TEST(ended_jobs_stay_known_after_a_change_of_holder, 0),
		FIXTURE_TEST(the_same_id_is_the_same_job, 1),
		FIXTURE_TEST(
			a_job_is_discardable_only_while_nothing_depends_on_it,
			1),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
