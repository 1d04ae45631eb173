/*
 * Use of upstreams: cordoned for waves or leaving, with fillers beside serving
 * tasks, admitted by a policy, limited by a quota, and in a large pool.
 */

#include "test_scheduler.h"

#define SERVING_MAX 10

/* The tasks of a serving job by upstream: index 0 is u1, index 1 is u2. */
typedef struct {
	wwh_running_t rows[2][SERVING_MAX];
	int32_t counts[2];
} serving_t;

/* Submits a job with lasting tasks and confirms the start of each. */
static serving_t start_serving(rig_t *rig, wwh_job_t *job,
			       int32_t max_unavailable)
{
	guint count = (guint)job->steps[0].task_count;
	serving_t serving = { .counts = { 0 } };

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = max_unavailable;
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, count);
	for (guint i = 0; i < count; i++) {
		rig_order_t *order = rig_order(rig->starts, i);
		int32_t at = strcmp(order->upstream, "u2") == 0;

		rig_start_ended(rig, order, WWH_ORDER_DONE);
		serving.rows[at][serving.counts[at]++] =
			rig_running(order, 100);
	}
	return serving;
}

/* Both upstreams report all tasks as available. */
static void answer_all_available(rig_t *rig, const serving_t *serving)
{
	rig_answer_poll(rig, "u1", serving->rows[0], serving->counts[0], NULL,
			0);
	rig_answer_poll(rig, "u2", serving->rows[1], serving->counts[1], NULL,
			0);
}

/*
 * A new holder continues a wave before all upstreams have answered it. It took
 * an upstream of which it knew no tasks for empty, and ended two tasks of a
 * step that may miss one.
 */
void a_host_that_has_not_answered_is_not_taken_down(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 2, 1000);

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = 1;
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 2);
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 100);
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
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
	rig_t *rig = *state;
	wwh_ended_t ended;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", false, rig->now_ms));
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	rig_durable(rig);
	assert_true(
		wwh_scheduler_cordon(rig->scheduler, "u1", false, rig->now_ms));
}

/*
 * Two hosts of a wave are taken down at the same time. Each has one task of a
 * step that may miss one. Both were released, as the first one wasn't seen to
 * be down when the second one was checked, and the step missed two.
 */
void hosts_taken_down_together_share_what_a_step_may_miss(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 3, 1000);
	char upstreams[3][32];

	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	job->steps[0].max_unavailable = 1;
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 3);
	rig_run(rig, 500);
	for (guint i = 0; i < 3; i++) {
		rig_order_t *order = rig_order(rig->starts, i);
		wwh_running_t running = rig_running(order, 100);

		g_strlcpy(upstreams[i], order->upstream, sizeof(upstreams[i]));
		rig_answer_poll(rig, upstreams[i], &running, 1, NULL, 0);
	}
	assert_true(wwh_scheduler_cordon(rig->scheduler, upstreams[0], true,
					 rig->now_ms));
	assert_false(wwh_scheduler_cordon(rig->scheduler, upstreams[1], true,
					  rig->now_ms));
	wwh_scheduler_uncordon(rig->scheduler, upstreams[0]);
	assert_true(wwh_scheduler_cordon(rig->scheduler, upstreams[1], true,
					 rig->now_ms));
}

/*
 * A host of a wave has two tasks of a step that may miss one. It could never be
 * taken down, and the wave ended late without it. Its tasks are relocated one
 * after the other, until the step may miss the remaining ones.
 */
void a_cordoned_host_relocates_lasting_tasks_one_by_one(void **state)
{
	rig_t *rig = *state;
	serving_t serving = start_serving(rig, rig_job(JOB_A, 4, 1000), 1);
	rig_order_t *stopped;
	wwh_ended_t ended;

	assert_int_equal(serving.counts[0], 2);
	rig_run(rig, 500);
	answer_all_available(rig, &serving);
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	rig_run(rig, 100);
	/* one stop only, as the step may miss one task */
	assert_int_equal(rig->stops->len, 1);
	stopped = rig_order(rig->stops, 0);
	assert_string_equal(stopped->upstream, "u1");
	ended = rig_ended(stopped, 1, WWH_END_STOPPED);
	if (strcmp(serving.rows[0][0].task, stopped->task) == 0)
		serving.rows[0][0] = serving.rows[0][1];
	rig_answer_poll(rig, "u1", serving.rows[0], 1, &ended, 1);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 5);
	assert_string_equal(rig_order(rig->starts, 4)->upstream, "u2");
	/* the new run isn't available yet: the step can't miss u1's task */
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	rig_start_ended(rig, rig_order(rig->starts, 4), WWH_ORDER_DONE);
	serving.rows[1][2] = rig_running(rig_order(rig->starts, 4), 100);
	rig_run(rig, 500);
	rig_answer_poll(rig, "u2", serving.rows[1], 3, NULL, 0);
	assert_true(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	assert_int_equal(rig->stops->len, 1);
}

/*
 * A holder orders the stop of one task of a step for a wave, hands over and
 * terminates. The next holder continues the wave. As the stop takes a while,
 * all tasks were still listed as available, and the holder stopped a second
 * one: the step missed two.
 */
void a_stop_by_the_previous_holder_counts_until_its_limit(void **state)
{
	rig_t *rig = *state;
	serving_t serving = start_serving(rig, rig_job(JOB_A, 4, 1000), 1);

	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_announce(rig, "u2", AT_2, false);
	rig_run(rig, 1);
	answer_all_available(rig, &serving);
	rig_run(rig, 1);
	rig_durable(rig);
	(void)wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms);
	rig_run(rig, 100);
	assert_int_equal(rig->stops->len, 0);
	/* the tasks are listed again after the time limit of a stop */
	rig_run(rig, rig->options.stop_limit_ms);
	answer_all_available(rig, &serving);
	rig_run(rig, 1);
	assert_int_equal(rig->stops->len, 1);
}

/*
 * Some members of a serving gang run on a host of a wave. Their step may miss
 * as many tasks, but all members end with any of them, so none is stopped.
 */
void a_serving_gang_is_not_split(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, SERVING_MAX, 1000);
	serving_t serving;
	const char *smaller_upstream;

	job->steps[0].gang = true;
	serving = start_serving(rig, job, SERVING_MAX / 2);
	rig_run(rig, 500);
	answer_all_available(rig, &serving);
	smaller_upstream = serving.counts[0] < serving.counts[1] ? "u1" : "u2";
	assert_true(MIN(serving.counts[0], serving.counts[1]) <=
		    SERVING_MAX / 2);
	assert_false(wwh_scheduler_cordon(rig->scheduler, smaller_upstream,
					  true, rig->now_ms));
	rig_run(rig, 100);
	assert_int_equal(rig->stops->len, 0);
}

/* A stopped task would only be unavailable, as it can't start elsewhere. */
void a_cordoned_host_keeps_tasks_that_fit_nowhere_else(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 2, 1000);
	wwh_running_t rows[2];

	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = 1;
	rig_submit(rig, job);
	for (guint i = 0; i < 2; i++) {
		rig_start_ended(rig, rig_order(rig->starts, i), WWH_ORDER_DONE);
		rows[i] = rig_running(rig_order(rig->starts, i), 100);
	}
	rig_run(rig, 500);
	rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	rig_run(rig, 100);
	assert_int_equal(rig->stops->len, 0);
}

/*
 * Users of a serving task wait too long because a filler runs beside it. The
 * filler is paused at once, and its pace is raised step by step afterwards.
 */
void fillers_are_slowed_for_serving_tasks(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *serving = rig_job(JOB_A, 1, 1000);
	wwh_job_t *filler = rig_job(JOB_B, 1, 1000);
	wwh_running_t rows[2];

	serving->steps[0].lasting = true;
	serving->steps[0].latency_target_ms = 200;
	filler->steps[0].filler = true;
	rig_submit(rig, serving);
	rig_submit(rig, filler);
	assert_int_equal(rig->starts->len, 2);
	for (guint i = 0; i < 2; i++) {
		rows[i] = rig_running(rig_order(rig->starts, i), 100);
		rig_start_ended(rig, rig_order(rig->starts, i), WWH_ORDER_DONE);
	}
	rows[0].tail_ms = 300;
	rig_run(rig, 1000);
	rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
	assert_int_equal(rig->paces, 1);
	assert_int_equal(rig->last_pace, 0);
	wwh_scheduler_pace_ended(rig->scheduler, "u1", rows[1].task, 1,
				 WWH_ORDER_DONE, rig->now_ms);
	rows[0].tail_ms = 50;
	for (int32_t pace = 25; pace <= 100; pace += 25) {
		rig_run(rig, 1000);
		rows[1].percent = pace;
		rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
		assert_int_equal(rig->last_pace, pace);
		wwh_scheduler_pace_ended(rig->scheduler, "u1", rows[1].task, 1,
					 WWH_ORDER_DONE, rig->now_ms);
	}
	rig_run(rig, 1000);
	rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
	assert_int_equal(rig->paces, 5);
}

/* A queue's policy admits only some upstreams, with tickets that expire. */
void advice_is_requested_before_a_start_and_renewed(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 12, 1000);
	wwh_advice_ticket_t admitted = { .upstream = "u2", .ticket = "t" };

	job->queue.advice_valid_ms = 3000;
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 0);
	assert_int_equal(rig->advices, 1);
	assert_int_equal(rig->advised_upstreams, 2);
	assert_string_equal(rig->advised_step, JOB_A ".0.0");
	wwh_scheduler_advised(rig->scheduler, JOB_A ".0.0", &admitted, 1, 3000,
			      rig->now_ms);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 8);
	for (guint i = 0; i < 8; i++)
		assert_string_equal(rig_order(rig->starts, i)->upstream, "u2");
	/* the admitted upstreams stay the same: only the ticket is renewed */
	rig_run(rig, 3500);
	answer_all_but(rig, "");
	rig_run(rig, 1000);
	assert_int_equal(rig->advices, 2);
	assert_int_equal(rig->advised_upstreams, 1);
}

void a_leaving_upstream_gets_no_new_tasks(void **state)
{
	rig_t *rig = *state;

	rig_announce(rig, "u1", AT_1, true);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
}

/* Guards against starts that are based on outdated announcements. */
void nothing_starts_while_starts_are_held(void **state)
{
	rig_t *rig = *state;

	wwh_scheduler_hold_starts(rig->scheduler, true);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
	wwh_scheduler_hold_starts(rig->scheduler, false);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
}

static void limit_cpu(rig_t *rig, int64_t millicores)
{
	wwh_load_t limit = { .cpu_millicores = millicores };

	wwh_scheduler_clear_limits(rig->scheduler);
	wwh_scheduler_limit_workspace(rig->scheduler, "w", &limit);
}

/* Guards against a workspace whose running tasks exceed its limit. */
void a_workspace_starts_no_more_than_its_limit(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 5, 1000);
	wwh_running_t running[2];
	wwh_ended_t ended;

	job->workspace = g_strdup("w");
	limit_cpu(rig, 2000);
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 2);
	/* a job of another workspace isn't delayed by it */
	rig_submit(rig, rig_job(JOB_B, 1, 1000));
	assert_int_equal(rig->starts->len, 3);
	/* an ended task makes room for another; a lower limit makes none */
	for (guint i = 0; i < 3; i++)
		rig_start_ended(rig, rig_order(rig->starts, i), WWH_ORDER_DONE);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	running[0] = rig_running(rig_order(rig->starts, 1), 50);
	running[1] = rig_running(rig_order(rig->starts, 2), 50);
	rig_run(rig, 300);
	rig_answer_poll(rig, "u1", running, 2, &ended, 1);
	rig_run(rig, 300);
	assert_int_equal(rig->starts->len, 4);
	limit_cpu(rig, 1000);
	rig_run(rig, 300);
	assert_int_equal(rig->starts->len, 4);
}

/*
 * Guards against starts beyond the limit while tasks of the previous holder run
 * on upstreams that haven't answered yet.
 */
void tasks_of_the_previous_holder_count_for_the_limit(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *first = rig_job(JOB_A, 2, 1000);
	wwh_job_t *next = rig_job(JOB_B, 2, 1000);

	first->workspace = g_strdup("w");
	next->workspace = g_strdup("w");
	limit_cpu(rig, 2000);
	rig_submit(rig, first);
	assert_int_equal(rig->starts->len, 2);
	rig_take_over(rig);
	limit_cpu(rig, 2000);
	rig_add_upstream(rig, "u2", AT_2);
	rig_submit(rig, next);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 2);
	/* no task runs on u1: tasks start again up to the limit */
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_run(rig, 300);
	assert_int_equal(rig->starts->len, 4);
}

/*
 * The advice or the start order is delayed, so the start arrives after its
 * ticket has expired and is refused. The policy still admits the upstream, but
 * it counted as queried and not admitted: the lasting task was never started
 * there again, although the pool has room.
 */
void a_refused_ticket_is_requested_again(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);
	wwh_advice_ticket_t admitted = { .upstream = "u1", .ticket = "t" };

	job->steps[0].lasting = true;
	job->queue.advice_valid_ms = 3000;
	rig_submit(rig, job);
	assert_int_equal(rig->advices, 1);
	wwh_scheduler_advised(rig->scheduler, JOB_A ".0.0", &admitted, 1, 3000,
			      rig->now_ms);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_NO_TICKET);
	for (int32_t i = 0; i < 20; i++) {
		rig_run(rig, 500);
		answer_all_but(rig, "");
	}
	assert_int_equal(rig->advices, 2);
	assert_int_equal(rig->advised_upstreams, 1);
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
static void take_over_many_upstreams(rig_t *rig)
{
	for (int32_t i = 1; i <= MANY_UPSTREAMS; i++) {
		char endpoint[32];

		snprintf(endpoint, sizeof(endpoint), "10.1.0.1:%d", i);
		rig_add_upstream(rig, upstream_name(i), endpoint);
	}
	rig_take_over(rig);
	rig_run(rig, 1);
}

/*
 * Guards against a new holder of a large pool that sends all first polls at
 * once, can't read the answers in time and resends the polls.
 */
void first_polls_are_sent_as_answers_come(void **state)
{
	rig_t *rig = *state;
	int32_t polled = 0;

	take_over_many_upstreams(rig);
	while (rig->polls->len > 0) {
		rig_poll_t poll = g_array_index(rig->polls, rig_poll_t, 0);

		assert_in_range(rig->polls->len, 1, MANY_UPSTREAMS / 2);
		rig_answer_poll(rig, poll.upstream, NULL, 0, NULL, 0);
		polled++;
		rig_run(rig, 0);
	}
	assert_int_equal(polled, MANY_UPSTREAMS);
}

/*
 * Guards against permanently silent upstreams that prevent a new holder from
 * polling the others of a large pool.
 */
void silent_upstreams_hold_back_no_first_poll(void **state)
{
	rig_t *rig = *state;
	GHashTable *polled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	take_over_many_upstreams(rig);
	for (int32_t round = 0;
	     round < 4 && g_hash_table_size(polled) < MANY_UPSTREAMS; round++) {
		while (rig->polls->len > 0) {
			rig_poll_t poll =
				g_array_index(rig->polls, rig_poll_t, 0);

			assert_true(g_hash_table_add(polled,
						     g_strdup(poll.upstream)));
			(void)rig_take_poll(rig, poll.upstream);
			wwh_scheduler_handle_poll_failure(rig->scheduler,
							  poll.upstream, false,
							  rig->now_ms);
			if (g_hash_table_size(polled) == MANY_UPSTREAMS)
				break;
		}
		rig_run(rig, 150);
	}
	assert_int_equal(g_hash_table_size(polled), MANY_UPSTREAMS);
	g_hash_table_destroy(polled);
}
