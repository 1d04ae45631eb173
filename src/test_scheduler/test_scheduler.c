/*
 * The scheduler, event by event: what is ordered, what is kept, and what a
 * caller is shown, where answers are lost, late, or of a holder before. Here:
 * when something counts.
 */

#include "test_scheduler.h"

/* With upstreams that have answered and may be given work. */
static sched_fixture_t *rig_of(int32_t upstreams)
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

int rig_with_0(void **state)
{
	*state = rig_of(0);
	return 0;
}

int rig_with_1(void **state)
{
	*state = rig_of(1);
	return 0;
}

int rig_with_2(void **state)
{
	*state = rig_of(2);
	return 0;
}

int rig_with_3(void **state)
{
	*state = rig_of(3);
	return 0;
}

int rig_tear_down(void **state)
{
	sched_fixture_delete(*state);
	return 0;
}

/* Polls at silent get no answer, all others find nothing new. */
void answer_all_but(sched_fixture_t *fixture, const char *silent)
{
	guint count = fixture->polls->len;

	for (guint i = 0; i < count; i++) {
		sched_fixture_poll_t poll =
			g_array_index(fixture->polls, sched_fixture_poll_t, 0);

		if (strcmp(poll.upstream, silent) != 0) {
			sched_fixture_answer_poll(fixture, poll.upstream, NULL,
						  0, NULL, 0);
			continue;
		}
		g_array_remove_index(fixture->polls, 0);
		wwh_scheduler_handle_poll_failure(fixture->scheduler, silent,
						  false, fixture->now_ms);
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

static void a_completed_job_is_shown_once_it_is_durable(void **state)
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
 * A caller's task runs twice: its end is listed, an older record becomes
 * durable at that moment, and the upstream is told that it may forget the
 * end. The holder then loses the store; the next one finds the task neither
 * done in the journal nor listed, and starts it again.
 */
static void an_end_is_covered_only_by_its_own_record(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended;
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
	poll = sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	assert_int_equal(poll.acked_upto, 0);
	/* its record is on its way to the store, and not there yet */
	(void)wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
	sched_fixture_run(fixture, 500);
	poll = sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	assert_int_equal(poll.acked_upto, 0);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 500);
	poll = sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	assert_int_equal(poll.acked_upto, 1);
}

/*
 * Ends that change no job (of runs that were stopped) are forgotten by the
 * upstream too; else its list grows and each poll comes back at once.
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
 * All hosts lose power. Callers who ask for a job that had ended seconds
 * before are told that there is none: the new holder took its age from a
 * clock that it hadn't been given yet, and forgot it at once.
 */
static void ended_jobs_are_answered_for_after_a_change_of_holder(void **state)
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
 * The store is away, and a caller is to be told that its job isn't accepted.
 * That is true only while nothing else hangs on the job: once it is durable, or
 * somebody has cancelled it and waits for that, it stays.
 */
static void a_job_is_taken_back_while_nothing_hangs_on_it(void **state)
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
		DAMAGE_TESTS,
		BACKLOG_TESTS,
		IDLE_TESTS,
		RIG_TEST(a_job_runs_to_its_end, 1),
		RIG_TEST(nothing_starts_before_the_job_is_durable, 1),
		RIG_TEST(a_completed_job_is_shown_once_it_is_durable, 1),
		RIG_TEST(an_end_is_covered_only_by_its_own_record, 1),
		RIG_TEST(ends_without_progress_are_acknowledged_too, 1),
		RIG_TEST(ended_jobs_are_answered_for_after_a_change_of_holder,
			 0),
		RIG_TEST(the_same_id_is_the_same_job, 1),
		RIG_TEST(a_job_is_taken_back_while_nothing_hangs_on_it, 1),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
