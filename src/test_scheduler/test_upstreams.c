/*
 * Use of upstreams: cordoned for waves or leaving, with fillers beside serving
 * tasks, admitted by a policy, limited by a quota, and in a large pool.
 */

#include "test_scheduler.h"

#define SERVING_MAX 10

/* The tasks of a serving job by upstream: index 0 is u1, index 1 is u2. */
typedef struct {
	wwh_running_task_t rows[2][SERVING_MAX];
	int32_t counts[2];
} serving_t;

/* Submits a job with lasting tasks and confirms the start of each. */
static serving_t start_serving(sched_fixture_t *fixture, wwh_job_t *job,
			       int32_t max_unavailable)
{
	guint count = (guint)job->steps[0].task_count;
	serving_t serving = { .counts = { 0 } };

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = max_unavailable;
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, count);
	for (guint i = 0; i < count; i++) {
		sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);
		int32_t at = strcmp(order->upstream, "u2") == 0;

		sched_fixture_handle_start_result(fixture, order,
						  WWH_ORDER_DONE);
		serving.rows[at][serving.counts[at]++] =
			sched_fixture_running_row(order, 100);
	}
	return serving;
}

/* Both upstreams report all tasks as available. */
static void answer_all_available(sched_fixture_t *fixture,
				 const serving_t *serving)
{
	sched_fixture_answer_poll(fixture, "u1", serving->rows[0],
				  serving->counts[0], NULL, 0);
	sched_fixture_answer_poll(fixture, "u2", serving->rows[1],
				  serving->counts[1], NULL, 0);
}

/*
 * A new holder continues a wave before all upstreams have answered it. It took
 * an upstream of which it knew no tasks for empty, and ended two tasks of a
 * step that may miss one.
 */
void a_host_that_has_not_answered_is_not_taken_down(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = 1;
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 100);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					  fixture->now_ms));
}

/*
 * The store is unreachable while tasks end. Their host is empty and is moved to
 * another pool, and the holder is killed before the ends are durable. The ends
 * are lost: the next holder runs the tasks again, and callers wait for work
 * that was done. The upstream stores its ends until they are durable, so its
 * host may be taken down only then, however urgent its upkeep is.
 */
void a_host_stays_until_its_ends_are_durable(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", false,
					  fixture->now_ms));
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					  fixture->now_ms));
	sched_fixture_make_durable(fixture);
	assert_true(wwh_scheduler_cordon(fixture->scheduler, "u1", false,
					 fixture->now_ms));
}

/*
 * Two hosts of a wave are taken down at the same time. Each has one task of a
 * step that may miss one. Both were released, as the first one wasn't seen to
 * be down when the second one was checked, and the step missed two.
 */
void hosts_taken_down_together_share_what_a_step_may_miss(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 3, 1000);
	char upstreams[3][32];

	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	job->steps[0].max_unavailable = 1;
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, 3);
	sched_fixture_run(fixture, 500);
	for (guint i = 0; i < 3; i++) {
		sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);
		wwh_running_task_t running =
			sched_fixture_running_row(order, 100);

		g_strlcpy(upstreams[i], order->upstream, sizeof(upstreams[i]));
		sched_fixture_answer_poll(fixture, upstreams[i], &running, 1,
					  NULL, 0);
	}
	assert_true(wwh_scheduler_cordon(fixture->scheduler, upstreams[0], true,
					 fixture->now_ms));
	assert_false(wwh_scheduler_cordon(fixture->scheduler, upstreams[1],
					  true, fixture->now_ms));
	wwh_scheduler_uncordon(fixture->scheduler, upstreams[0]);
	assert_true(wwh_scheduler_cordon(fixture->scheduler, upstreams[1], true,
					 fixture->now_ms));
}

/*
 * A host of a wave has two tasks of a step that may miss one. It could never be
 * taken down, and the wave ended late without it. Its tasks are relocated one
 * after the other, until the step may miss the remaining ones.
 */
void a_cordoned_host_relocates_lasting_tasks_one_by_one(void **state)
{
	sched_fixture_t *fixture = *state;
	serving_t serving =
		start_serving(fixture, sched_fixture_job(JOB_A, 4, 1000), 1);
	sched_fixture_order_t *stopped;
	wwh_ended_task_t ended;

	assert_int_equal(serving.counts[0], 2);
	sched_fixture_run(fixture, 500);
	answer_all_available(fixture, &serving);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					  fixture->now_ms));
	sched_fixture_run(fixture, 100);
	/* one stop only, as the step may miss one task */
	assert_int_equal(fixture->stops->len, 1);
	stopped = sched_fixture_order(fixture->stops, 0);
	assert_string_equal(stopped->upstream, "u1");
	ended = sched_fixture_ended_row(stopped, 1, WWH_END_STOPPED);
	if (strcmp(serving.rows[0][0].task, stopped->task) == 0)
		serving.rows[0][0] = serving.rows[0][1];
	sched_fixture_answer_poll(fixture, "u1", serving.rows[0], 1, &ended, 1);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 5);
	assert_string_equal(sched_fixture_order(fixture->starts, 4)->upstream,
			    "u2");
	/* the new run isn't available yet: the step can't miss u1's task */
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					  fixture->now_ms));
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 4),
		WWH_ORDER_DONE);
	serving.rows[1][2] = sched_fixture_running_row(
		sched_fixture_order(fixture->starts, 4), 100);
	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(fixture, "u2", serving.rows[1], 3, NULL, 0);
	assert_true(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					 fixture->now_ms));
	assert_int_equal(fixture->stops->len, 1);
}

/*
 * A holder orders the stop of one task of a step for a wave, hands over and
 * terminates. The next holder continues the wave. As the stop takes a while,
 * all tasks were still listed as available, and the holder stopped a second
 * one: the step missed two.
 */
void a_stop_by_the_previous_holder_counts_until_its_limit(void **state)
{
	sched_fixture_t *fixture = *state;
	serving_t serving =
		start_serving(fixture, sched_fixture_job(JOB_A, 4, 1000), 1);

	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_run(fixture, 1);
	answer_all_available(fixture, &serving);
	sched_fixture_run(fixture, 1);
	sched_fixture_make_durable(fixture);
	(void)wwh_scheduler_cordon(fixture->scheduler, "u1", true,
				   fixture->now_ms);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->stops->len, 0);
	/* the tasks are listed again after the time limit of a stop */
	sched_fixture_run(fixture, fixture->options.stop_limit_ms);
	answer_all_available(fixture, &serving);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->stops->len, 1);
}

/*
 * Some members of a serving gang run on a host of a wave. Their step may miss
 * as many tasks, but all members end with any of them, so none is stopped.
 */
void a_serving_gang_is_not_split(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, SERVING_MAX, 1000);
	serving_t serving;
	const char *smaller_upstream;

	job->steps[0].gang = true;
	serving = start_serving(fixture, job, SERVING_MAX / 2);
	sched_fixture_run(fixture, 500);
	answer_all_available(fixture, &serving);
	smaller_upstream = serving.counts[0] < serving.counts[1] ? "u1" : "u2";
	assert_true(MIN(serving.counts[0], serving.counts[1]) <=
		    SERVING_MAX / 2);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, smaller_upstream,
					  true, fixture->now_ms));
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->stops->len, 0);
}

/* A stopped task would only be unavailable, as it can't start elsewhere. */
void a_cordoned_host_keeps_tasks_that_fit_nowhere_else(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);
	wwh_running_task_t rows[2];

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = 1;
	sched_fixture_submit(fixture, job);
	for (guint i = 0; i < 2; i++) {
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
		rows[i] = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, i), 100);
	}
	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u1", true,
					  fixture->now_ms));
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->stops->len, 0);
}

/*
 * Users of a serving task wait too long because a filler runs beside it. The
 * filler is paused at once, and its pace is raised step by step afterwards.
 */
void fillers_are_slowed_for_serving_tasks(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *serving = sched_fixture_job(JOB_A, 1, 1000);
	wwh_job_t *filler = sched_fixture_job(JOB_B, 1, 1000);
	wwh_running_task_t rows[2];

	serving->steps[0].lasting = true;
	serving->steps[0].latency_target_ms = 200;
	filler->steps[0].filler = true;
	sched_fixture_submit(fixture, serving);
	sched_fixture_submit(fixture, filler);
	assert_int_equal(fixture->starts->len, 2);
	for (guint i = 0; i < 2; i++) {
		rows[i] = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, i), 100);
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
	}
	rows[0].tail_ms = 300;
	sched_fixture_run(fixture, 1000);
	sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
	assert_int_equal(fixture->pace_count, 1);
	assert_int_equal(fixture->last_pace, 0);
	wwh_scheduler_handle_pace_result(fixture->scheduler, "u1", rows[1].task,
					 1, WWH_ORDER_DONE, fixture->now_ms);
	rows[0].tail_ms = 50;
	for (int32_t pace = 25; pace <= 100; pace += 25) {
		sched_fixture_run(fixture, 1000);
		rows[1].percent = pace;
		sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
		assert_int_equal(fixture->last_pace, pace);
		wwh_scheduler_handle_pace_result(
			fixture->scheduler, "u1", rows[1].task, 1,
			WWH_ORDER_DONE, fixture->now_ms);
	}
	sched_fixture_run(fixture, 1000);
	sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
	assert_int_equal(fixture->pace_count, 5);
}

/* A queue's policy admits only some upstreams, with tickets that expire. */
void advice_is_requested_before_a_start_and_renewed(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 12, 1000);
	wwh_advice_ticket_t admitted = { .upstream = "u2", .ticket = "t" };

	job->queue.advice_valid_ms = 3000;
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, 0);
	assert_int_equal(fixture->advice_count, 1);
	assert_int_equal(fixture->advised_upstreams, 2);
	assert_string_equal(fixture->advised_step, JOB_A ".0.0");
	wwh_scheduler_handle_advice(fixture->scheduler, JOB_A ".0.0", &admitted,
				    1, 3000, fixture->now_ms);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 8);
	for (guint i = 0; i < 8; i++)
		assert_string_equal(
			sched_fixture_order(fixture->starts, i)->upstream,
			"u2");
	/* the admitted upstreams stay the same: only the ticket is renewed */
	sched_fixture_run(fixture, 3500);
	answer_all_but(fixture, "");
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->advice_count, 2);
	assert_int_equal(fixture->advised_upstreams, 1);
}

void a_leaving_upstream_gets_no_new_tasks(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_announce(fixture, "u1", ENDPOINT_1, true);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 0);
}

/* Guards against starts that are based on outdated announcements. */
void nothing_starts_while_starts_are_held(void **state)
{
	sched_fixture_t *fixture = *state;

	wwh_scheduler_hold_starts(fixture->scheduler, true);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 0);
	wwh_scheduler_hold_starts(fixture->scheduler, false);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
}

static void limit_cpu(sched_fixture_t *fixture, int64_t millicores)
{
	wwh_load_t limit = { .cpu_millicores = millicores };

	wwh_scheduler_clear_limits(fixture->scheduler);
	wwh_scheduler_limit_workspace(fixture->scheduler, "w", &limit, 0);
}

/* Guards against a workspace whose running tasks exceed its limit. */
void a_workspace_starts_no_more_than_its_limit(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 5, 1000);
	wwh_running_task_t running[2];
	wwh_ended_task_t ended;

	job->workspace = g_strdup("w");
	limit_cpu(fixture, 2000);
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, 2);
	/* a job of another workspace isn't delayed by it */
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	assert_int_equal(fixture->starts->len, 3);
	/* an ended task makes room for another; a lower limit makes none */
	for (guint i = 0; i < 3; i++)
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	running[0] = sched_fixture_running_row(
		sched_fixture_order(fixture->starts, 1), 50);
	running[1] = sched_fixture_running_row(
		sched_fixture_order(fixture->starts, 2), 50);
	sched_fixture_run(fixture, 300);
	sched_fixture_answer_poll(fixture, "u1", running, 2, &ended, 1);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 4);
	limit_cpu(fixture, 1000);
	sched_fixture_run(fixture, 300);
	assert_int_equal(sched_fixture_count_runs(fixture, ""), 4);
}

/*
 * Guards against starts beyond the limit while tasks of the previous holder run
 * on upstreams that haven't answered yet.
 */
void tasks_of_the_previous_holder_count_for_the_limit(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *first = sched_fixture_job(JOB_A, 2, 1000);
	wwh_job_t *next = sched_fixture_job(JOB_B, 2, 1000);

	first->workspace = g_strdup("w");
	next->workspace = g_strdup("w");
	limit_cpu(fixture, 2000);
	sched_fixture_submit(fixture, first);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_take_over(fixture);
	limit_cpu(fixture, 2000);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_submit(fixture, next);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 2);
	/* no task runs on u1: tasks start again up to the limit */
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 4);
}

/*
 * The advice or the start order is delayed, so the start arrives after its
 * ticket has expired and is refused. The policy still admits the upstream, but
 * it counted as queried and not admitted: the lasting task was never started
 * there again, although the pool has room.
 */
void a_refused_ticket_is_requested_again(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	wwh_advice_ticket_t admitted = { .upstream = "u1", .ticket = "t" };

	job->steps[0].lasting = true;
	job->queue.advice_valid_ms = 3000;
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->advice_count, 1);
	wwh_scheduler_handle_advice(fixture->scheduler, JOB_A ".0.0", &admitted,
				    1, 3000, fixture->now_ms);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_NO_TICKET);
	for (int32_t i = 0; i < 20; i++) {
		sched_fixture_run(fixture, 500);
		answer_all_but(fixture, "");
	}
	assert_int_equal(fixture->advice_count, 2);
	assert_int_equal(fixture->advised_upstreams, 1);
}

/* Number of upstreams of a large pool, named "u1" to "u300". */
#define MANY_UPSTREAMS 300

static const char *upstream_name(int32_t number)
{
	static char name[16];

	snprintf(name, sizeof(name), "u%d", number);
	return name;
}

/* Adds MANY_UPSTREAMS upstreams, and then a new holder takes over. */
static void take_over_many_upstreams(sched_fixture_t *fixture)
{
	for (int32_t i = 1; i <= MANY_UPSTREAMS; i++) {
		char endpoint[32];

		snprintf(endpoint, sizeof(endpoint), "10.1.0.1:%d", i);
		sched_fixture_add_upstream(fixture, upstream_name(i), endpoint);
	}
	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1);
}

/*
 * Guards against a new holder of a large pool that sends all first polls at
 * once, can't read the answers in time and resends the polls.
 */
void first_polls_are_sent_as_answers_come(void **state)
{
	sched_fixture_t *fixture = *state;
	int32_t polled = 0;

	take_over_many_upstreams(fixture);
	while (fixture->polls->len > 0) {
		sched_fixture_poll_t poll =
			g_array_index(fixture->polls, sched_fixture_poll_t, 0);

		assert_in_range(fixture->polls->len, 1, MANY_UPSTREAMS / 2);
		sched_fixture_answer_poll(fixture, poll.upstream, NULL, 0, NULL,
					  0);
		polled++;
		sched_fixture_run(fixture, 0);
	}
	assert_int_equal(polled, MANY_UPSTREAMS);
}

/*
 * Guards against permanently silent upstreams that prevent a new holder from
 * polling the others of a large pool.
 */
void silent_upstreams_hold_back_no_first_poll(void **state)
{
	sched_fixture_t *fixture = *state;
	GHashTable *polled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	take_over_many_upstreams(fixture);
	for (int32_t round = 0;
	     round < 4 && g_hash_table_size(polled) < MANY_UPSTREAMS; round++) {
		while (fixture->polls->len > 0) {
			sched_fixture_poll_t poll = g_array_index(
				fixture->polls, sched_fixture_poll_t, 0);

			assert_true(g_hash_table_add(polled,
						     g_strdup(poll.upstream)));
			(void)sched_fixture_pop_poll(fixture, poll.upstream);
			wwh_scheduler_handle_poll_failure(
				fixture->scheduler, poll.upstream,
				WWH_REACH_SILENT, fixture->now_ms);
			if (g_hash_table_size(polled) == MANY_UPSTREAMS)
				break;
		}
		sched_fixture_run(fixture, 150);
	}
	assert_int_equal(g_hash_table_size(polled), MANY_UPSTREAMS);
	g_hash_table_destroy(polled);
}
