/*
 * Tasks and the crashes of their upstreams.
 */

#include "test_scheduler.h"

/* Longer than a scheduler waits for the last answer of a crashed upstream. */
#define FINAL_REPORT_MS 200

/* Time from a start to the crash that it causes. */
#define CRASH_DELAY_MS 10

/* Upstreams that may crash under one task: three, and two more starts. */
#define MAX_CRASHES 5

/* Guards against a crash that the log doesn't attribute to the runs it ended. */
void a_lost_run_is_logged_with_its_age_and_cause(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t running;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	running = sched_fixture_running_row(&order, 10);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 250);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 10);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u1",
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	assert_non_null(strstr(fixture->events->str,
			       "run-lost " JOB_A ".0.0.0 run=1 upstream=u1 "
			       "why=down termination=crash accepted=1 "
			       "since_start_ms=360 min_age_ms=350"));
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).crashed_upstreams, 1);
}

/* Guards against a host's shutdown that is counted as a crash. */
void an_upstream_that_leaves_does_not_crash(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, true);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u1",
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	assert_non_null(strstr(fixture->events->str, "termination=ordered"));
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).crashed_upstreams, 0);
}

/*
 * The upstream of the newest start answers it with result, crashes, and is back
 * under another id.
 */
static void crash_newest_start_after(sched_fixture_t *fixture,
				     wwh_order_result_t result)
{
	sched_fixture_order_t order =
		*sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	char *next = g_strdup_printf("%s-", order.upstream);
	char *endpoint = g_strdup_printf("10.0.1.%u:1", fixture->starts->len);

	sched_fixture_handle_start_result(fixture, &order, result);
	sched_fixture_run(fixture, CRASH_DELAY_MS);
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	sched_fixture_announce(fixture, next, endpoint, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, next, NULL, 0, NULL, 0);
	sched_fixture_make_durable(fixture);
	g_free(endpoint);
	g_free(next);
}

static void crash_newest_start(sched_fixture_t *fixture)
{
	crash_newest_start_after(fixture, WWH_ORDER_DONE);
}

/* Answers all polls, each upstream listing the runs that were ordered there. */
static void list_all_runs(sched_fixture_t *fixture)
{
	while (fixture->polls->len > 0) {
		char *id = g_strdup(
			g_array_index(fixture->polls, sched_fixture_poll_t, 0)
				.upstream);
		wwh_running_task_t running[8];
		int32_t count = 0;

		for (guint i = 0; i < fixture->starts->len; i++) {
			const sched_fixture_order_t *order =
				sched_fixture_order(fixture->starts, i);

			if (strcmp(order->upstream, id) == 0 && count < 8)
				running[count++] =
					sched_fixture_running_row(order, 10);
		}
		sched_fixture_answer_poll(fixture, id, running, count, NULL, 0);
		g_free(id);
	}
}

static void confirm_starts(sched_fixture_t *fixture, guint first)
{
	for (guint i = first; i < fixture->starts->len; i++)
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
}

static void crash(sched_fixture_t *fixture, const char *id)
{
	wwh_scheduler_upstream_terminated(fixture->scheduler, id,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	sched_fixture_make_durable(fixture);
}

static const char *upstream_of_start(sched_fixture_t *fixture, guint number)
{
	return sched_fixture_order(fixture->starts, number)->upstream;
}

/* Lets time pass until the next start or for 5 s. Returns whether one came. */
static bool await_start(sched_fixture_t *fixture, guint before)
{
	for (int32_t i = 0; i < 100 && fixture->starts->len == before; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, "");
		sched_fixture_make_durable(fixture);
	}
	return fixture->starts->len > before;
}

/* Guards against a task that is started without limit while it crashes hosts. */
void a_task_that_crashes_its_upstreams_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		crash_newest_start(fixture);
		crashes++;
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against crashes that don't count, as the start got no answer before. */
void a_task_that_crashes_its_upstreams_unanswered_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		crash_newest_start_after(fixture, WWH_ORDER_UNKNOWN);
		crashes++;
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Lets the lease of the newest start's upstream lapse. Returns the order. */
static sched_fixture_order_t lapse_newest_start(sched_fixture_t *fixture)
{
	sched_fixture_order_t order =
		*sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	char *lost = g_strdup_printf("run-lost %s run=%" G_GINT64_FORMAT " ",
				     order.task, order.run);

	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_UNKNOWN);
	for (int32_t i = 0;
	     i < 300 && strstr(fixture->events->str, lost) == NULL; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, order.upstream);
		sched_fixture_make_durable(fixture);
	}
	assert_non_null(strstr(fixture->events->str, lost));
	g_free(lost);
	return order;
}

/*
 * Guards against a crash that doesn't count, as the lease of its upstream lapsed
 * before a list showed it.
 */
void a_crash_that_is_known_after_the_lease_lapsed_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		sched_fixture_order_t order = lapse_newest_start(fixture);
		char id[16];
		char endpoint[16];

		crashes++;
		crash(fixture, order.upstream);
		snprintf(id, sizeof(id), "new%u", crashes);
		snprintf(endpoint, sizeof(endpoint), "10.0.2.%u:1", crashes);
		sched_fixture_add_upstream(fixture, id, endpoint);
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against a job that fails for a later crash of hosts it was cut from. */
void a_crash_after_the_upstream_answered_again_does_not_count(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	for (guint i = 0; i < MAX_CRASHES; i++) {
		sched_fixture_order_t order;
		char id[16];
		char endpoint[16];

		assert_true(await_start(fixture, i));
		order = lapse_newest_start(fixture);
		/* until the failed poll is repeated */
		sched_fixture_run(fixture, 1000);
		sched_fixture_answer_poll(fixture, order.upstream, NULL, 0,
					  NULL, 0);
		crash(fixture, order.upstream);
		snprintf(id, sizeof(id), "new%u", i);
		snprintf(endpoint, sizeof(endpoint), "10.0.2.%u:1", i);
		sched_fixture_add_upstream(fixture, id, endpoint);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
}

/* Crashes each upstream that starts JOB_A, and changes the holder each time. */
static guint crash_under_changing_holders(sched_fixture_t *fixture,
					  wwh_order_result_t result)
{
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		crash_newest_start_after(fixture, result);
		crashes++;
		sched_fixture_take_over(fixture);
		sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
		sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	}
	return crashes;
}

/* Guards against crashes that are forgotten when the holder changes. */
void crashes_are_counted_across_changes_of_holder(void **state)
{
	sched_fixture_t *fixture = *state;

	assert_in_range(crash_under_changing_holders(fixture, WWH_ORDER_DONE),
			2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against unanswered starts that are forgotten when the holder changes. */
void unanswered_crashes_are_counted_across_changes_of_holder(void **state)
{
	sched_fixture_t *fixture = *state;

	assert_in_range(
		crash_under_changing_holders(fixture, WWH_ORDER_UNKNOWN), 2,
		MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against a new job that is started beside a suspect and lost with it. */
void a_suspect_is_started_on_an_upstream_of_its_own(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	crash_newest_start(fixture);
	assert_true(await_start(fixture, 1));
	assert_non_null(strstr(fixture->events->str,
			       "task-isolated " JOB_A ".0.0.0 run=2"));
	for (int32_t i = 0; i < 4; i++) {
		char id[WWH_JOB_ID_CHARS + 1];

		snprintf(id, sizeof(id), "%016x", i + 1);
		sched_fixture_submit(fixture, sched_fixture_job(id, 1, 1000));
	}
	assert_int_equal(fixture->starts->len, 6);
	for (guint i = 2; i < 6; i++)
		assert_string_not_equal(upstream_of_start(fixture, i),
					upstream_of_start(fixture, 1));
}

/* Guards against an upstream that stays empty after its suspect did no harm. */
void an_upstream_is_shared_again_once_its_suspect_is_harmless(void **state)
{
	sched_fixture_t *fixture = *state;
	guint before;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	crash_newest_start(fixture);
	assert_true(await_start(fixture, 1));
	confirm_starts(fixture, 1);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	before = fixture->starts->len;
	assert_int_equal(before, 2);
	for (int32_t i = 0; i < 10 && fixture->starts->len == before; i++) {
		sched_fixture_run(fixture, 50);
		list_all_runs(fixture);
	}
	assert_int_equal(fixture->starts->len, 3);
	assert_string_equal(upstream_of_start(fixture, 2),
			    upstream_of_start(fixture, 1));
}

/* Guards against tasks that are held back for the crash of a younger one. */
void a_run_that_has_proven_harmless_is_a_bystander(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	confirm_starts(fixture, 0);
	for (int32_t i = 0; i < 5; i++) {
		sched_fixture_run(fixture, 50);
		list_all_runs(fixture);
	}
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	confirm_starts(fixture, 1);
	assert_string_equal(upstream_of_start(fixture, 0),
			    upstream_of_start(fixture, 1));
	crash(fixture, upstream_of_start(fixture, 0));
	sched_fixture_run(fixture, 50);
	assert_int_equal(fixture->starts->len, 4);
	assert_null(strstr(fixture->events->str, "task-isolated " JOB_A));
	assert_non_null(strstr(fixture->events->str, "task-isolated " JOB_B));
}

/* Guards against a sound job that fails for what its neighbour did. */
void a_neighbour_of_a_task_that_crashes_upstreams_completes(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_progress_t bad = WWH_PROGRESS_ACTIVE;
	guint handled = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	assert_string_equal(upstream_of_start(fixture, 0),
			    upstream_of_start(fixture, 1));
	for (int32_t i = 0; i < 40 && bad != WWH_PROGRESS_FAILED; i++) {
		guint count = fixture->starts->len;

		confirm_starts(fixture, handled);
		list_all_runs(fixture);
		for (guint k = handled; k < count; k++) {
			const sched_fixture_order_t *order =
				sched_fixture_order(fixture->starts, k);

			if (g_str_has_prefix(order->task, JOB_A))
				crash(fixture, order->upstream);
		}
		handled = count;
		sched_fixture_run(fixture, 50);
		sched_fixture_make_durable(fixture);
		bad = wwh_scheduler_job_state(fixture->scheduler, JOB_A);
	}
	assert_int_equal(bad, WWH_PROGRESS_FAILED);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_B),
			 WWH_PROGRESS_ACTIVE);
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).tasks_given_up, 1);
}

/* Guards against a sound job that fails because its hosts were cut off. */
void runs_on_upstreams_out_of_reach_end_no_job(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	for (guint i = 0; i < 8; i++) {
		char id[16];
		char endpoint[16];

		assert_true(await_start(fixture, i));
		confirm_starts(fixture, i);
		wwh_scheduler_upstream_terminated(
			fixture->scheduler, upstream_of_start(fixture, i),
			WWH_TERMINATION_UNKNOWN, "no-host", fixture->now_ms);
		sched_fixture_run(fixture, FINAL_REPORT_MS);
		snprintf(id, sizeof(id), "new%u", i);
		snprintf(endpoint, sizeof(endpoint), "10.0.2.%u:1", i);
		sched_fixture_add_upstream(fixture, id, endpoint);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
}

/* Guards against a crash that counts against a start which came after it. */
void a_start_that_a_new_incarnation_refuses_is_no_crash(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order,
					  WWH_ORDER_OTHER_INCARNATION);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	assert_int_equal(fixture->starts->len, 2);
	assert_null(strstr(fixture->events->str, "run-lost"));
	assert_null(strstr(fixture->events->str, "task-isolated"));
}

/*
 * Guards against a sound job that fails for starts which crashed upstreams never got:
 * the crash is known before the next incarnation refuses the start.
 */
void a_start_that_is_refused_after_the_crash_is_no_crash(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	for (guint i = 0; i < MAX_CRASHES; i++) {
		sched_fixture_order_t order;
		char id[16];
		char endpoint[16];

		assert_true(await_start(fixture, i));
		order = *sched_fixture_order(fixture->starts, i);
		crash(fixture, order.upstream);
		sched_fixture_handle_start_result(fixture, &order,
						  WWH_ORDER_OTHER_INCARNATION);
		snprintf(id, sizeof(id), "new%u", i);
		snprintf(endpoint, sizeof(endpoint), "10.0.2.%u:1", i);
		sched_fixture_add_upstream(fixture, id, endpoint);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	assert_null(strstr(fixture->events->str, "task-given-up"));
}

/*
 * Guards against a sound job that fails after one crash: two of its starts went to
 * upstreams that had crashed in silence.
 */
void two_unanswered_starts_and_a_crash_end_no_job(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	for (guint i = 0; i < 3; i++) {
		assert_true(await_start(fixture, i));
		crash_newest_start_after(fixture, i < 2 ? WWH_ORDER_UNKNOWN
							: WWH_ORDER_DONE);
	}
	assert_true(await_start(fixture, 3));
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
}

/* Guards against upkeep that counts as a crash. */
void a_run_that_upkeep_ended_is_no_suspect(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	confirm_starts(fixture, 0);
	wwh_scheduler_upstream_terminated(
		fixture->scheduler, upstream_of_start(fixture, 0),
		WWH_TERMINATION_ORDERED, "upkeep", fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	assert_int_equal(fixture->starts->len, 2);
	assert_non_null(
		strstr(fixture->events->str, "termination=ordered accepted=1"));
	assert_null(strstr(fixture->events->str, "losses=1"));
}

/* Changes the holder. All upstreams but the one with id crashed are up. */
static void take_over_without(sched_fixture_t *fixture, const char *crashed,
			      guint round)
{
	char id[16];

	sched_fixture_take_over(fixture);
	wwh_scheduler_upstream_terminated(fixture->scheduler, crashed,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	for (int32_t i = 1; i <= 3; i++) {
		snprintf(id, sizeof(id), "u%d", i);
		if (strcmp(id, crashed) != 0)
			sched_fixture_announce(fixture, id, ENDPOINT_1, false);
	}
	snprintf(id, sizeof(id), "new%u", round);
	sched_fixture_announce(fixture, id, ENDPOINT_3, false);
	sched_fixture_run(fixture, 1);
	answer_all_but(fixture, crashed);
	sched_fixture_make_durable(fixture);
}

/*
 * Counts the starts of JOB_A if each holder is killed before it learns of the
 * crash that the start causes, and after it as many holders as are idle, before
 * they start the task. crashes of the starts are known before.
 */
static guint start_under_killed_holders(sched_fixture_t *fixture, guint crashes,
					int32_t idle_holders)
{
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		char *id = g_strdup(upstream_of_start(fixture, crashes));

		crashes++;
		for (int32_t i = 0; i <= idle_holders; i++)
			take_over_without(fixture, id, crashes);
		g_free(id);
	}
	return crashes;
}

/*
 * Guards against a holder that is killed between a suspect start and its crash,
 * and leaves no trace of it.
 */
void a_suspect_start_is_recorded_before_it_is_sent(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	crash_newest_start(fixture);
	assert_in_range(start_under_killed_holders(fixture, 1, 0), 2,
			MAX_CRASHES);
}

/*
 * Guards against a task that each holder takes for a new one, as all holders
 * before were killed before they learned of the crash that it had caused.
 */
void a_task_that_no_holder_saw_crash_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_in_range(start_under_killed_holders(fixture, 0, 0), 2,
			MAX_CRASHES);
}

/*
 * The same, if the holder that finds the upstream gone is killed before it starts
 * the task again: the next one has no record of that upstream.
 */
void a_task_that_crashed_under_idle_holders_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_in_range(start_under_killed_holders(fixture, 0, 1), 2,
			MAX_CRASHES);
}

/* The same, if the start before it got no answer. */
void a_start_after_an_unanswered_crash_is_recorded(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	crash_newest_start_after(fixture, WWH_ORDER_UNKNOWN);
	assert_in_range(start_under_killed_holders(fixture, 1, 0), 2,
			MAX_CRASHES);
}

/*
 * Guards against a sound job that fails for starts which killed holders recorded
 * and never sent.
 */
void a_recorded_start_that_was_never_sent_is_no_loss(void **state)
{
	sched_fixture_t *fixture = *state;
	guint starts;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	crash_newest_start(fixture);
	starts = fixture->starts->len;
	for (int32_t i = 0; i < 2 * MAX_CRASHES; i++) {
		sched_fixture_take_over(fixture);
		sched_fixture_announce(fixture, "u1-", "10.0.1.1:1", false);
		sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
		sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
		sched_fixture_run(fixture, 1);
		answer_all_but(fixture, "");
		sched_fixture_make_durable(fixture);
		/* records the next start, which isn't durable yet */
		sched_fixture_run(fixture, 10);
		(void)wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
		assert_int_equal(fixture->starts->len, starts);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	assert_true(await_start(fixture, starts));
}

/* Guards against a step whose tasks crash one upstream each, all over the pool. */
void tasks_of_a_step_that_crashed_an_upstream_are_isolated(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_ended_task_t ended[8];
	guint count = 0;

	/* three upstreams are full, and four tasks wait */
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 28, 1000));
	assert_int_equal(fixture->starts->len, 24);
	confirm_starts(fixture, 0);
	crash(fixture, "u1");
	assert_int_equal(fixture->starts->len, 24);
	for (guint i = 0; i < 24; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);

		if (strcmp(order->upstream, "u2") == 0) {
			ended[count] = sched_fixture_ended_row(order, count + 1,
							       WWH_END_DONE);
			count++;
		}
	}
	sched_fixture_answer_poll(fixture, "u2", NULL, 0, ended, 8);
	sched_fixture_add_upstream(fixture, "u4", ENDPOINT_1);
	for (int32_t i = 0; i < 4; i++) {
		sched_fixture_run(fixture, 10);
		sched_fixture_make_durable(fixture);
	}
	assert_int_equal(fixture->starts->len, 32);
	for (guint i = 24; i < 32; i++)
		assert_string_equal(upstream_of_start(fixture, i),
				    upstream_of_start(fixture, 24));
}

/* Guards against a lasting task that stays away after its upstream crashed. */
void a_lasting_task_is_no_suspect_once_it_has_run_for_long(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);

	job->steps[0].lasting = true;
	sched_fixture_submit(fixture, job);
	for (guint i = 0; i < 2 * MAX_CRASHES; i++) {
		char id[16];
		char endpoint[16];

		confirm_starts(fixture, i);
		for (int32_t k = 0; k < 30; k++) {
			sched_fixture_run(fixture, 50);
			list_all_runs(fixture);
		}
		crash(fixture, upstream_of_start(fixture, i));
		snprintf(id, sizeof(id), "new%u", i);
		snprintf(endpoint, sizeof(endpoint), "10.0.2.%u:1", i);
		sched_fixture_add_upstream(fixture, id, endpoint);
		sched_fixture_run(fixture, 1);
		assert_int_equal(fixture->starts->len, i + 2);
	}
	assert_null(strstr(fixture->events->str, "losses=1"));
}

/* Submits JOB_A, whose task lasts, and crashes its upstreams. */
static void crash_lasting_task(sched_fixture_t *fixture, guint times,
			       bool changes_holder)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);

	job->steps[0].lasting = true;
	sched_fixture_submit(fixture, job);
	for (guint i = 0; i < times; i++) {
		assert_true(await_start(fixture, i));
		crash_newest_start(fixture);
		if (!changes_holder)
			continue;
		sched_fixture_take_over(fixture);
		sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
		sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	}
	assert_true(await_start(fixture, times));
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	assert_null(strstr(fixture->events->str, "losses=6"));
}

/* Guards against a lasting job that ends as failed though none of its runs did. */
void a_lasting_task_is_not_given_up(void **state)
{
	crash_lasting_task(*state, 2 * MAX_CRASHES, false);
}

/* Guards against a next holder that ends such a job. */
void a_lasting_task_is_not_given_up_by_the_next_holder(void **state)
{
	crash_lasting_task(*state, 2 * MAX_CRASHES, true);
}

/* Guards against a lasting task that takes down a pool, one upstream a moment. */
void a_lasting_task_that_crashes_its_upstreams_is_slowed_down(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t before_ms;

	crash_lasting_task(fixture, 2, false);
	before_ms = fixture->now_ms;
	crash_newest_start(fixture);
	assert_true(await_start(fixture, 3));
	assert_true(fixture->now_ms - before_ms > 4500);
}

/* Guards against a gang that is restarted without limit. */
void a_gang_that_crashes_its_upstreams_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 5000);
	guint crashes = 0;

	job->steps[0].gang = true;
	sched_fixture_submit(fixture, job);
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, 2 * crashes)) {
		sched_fixture_order_t other = *sched_fixture_order(
			fixture->starts, fixture->starts->len - 2);
		wwh_ended_task_t broken =
			sched_fixture_ended_row(&other, 1, WWH_END_BROKEN);

		confirm_starts(fixture, 2 * crashes);
		crash_newest_start(fixture);
		crashes++;
		sched_fixture_run(fixture, 50);
		sched_fixture_answer_poll(fixture, other.upstream, NULL, 0,
					  &broken, 1);
		crash(fixture, other.upstream);
		sched_fixture_add_upstream(fixture, other.task + 1, ENDPOINT_3);
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against a lasting task that waits behind one that finds no room. */
void a_lasting_suspect_is_not_held_back_by_a_lack_of_room(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *wide = sched_fixture_job(JOB_B, 4, 8000);
	wwh_job_t *small = sched_fixture_job(JOB_A, 1, 1000);

	small->steps[0].lasting = true;
	wide->steps[0].lasting = true;
	wide->queue.priority = 0;
	small->queue.priority = 1;
	sched_fixture_submit(fixture, small);
	crash_newest_start(fixture);
	sched_fixture_submit(fixture, wide);
	assert_true(await_start(fixture, fixture->starts->len));
	for (guint i = 1; i < fixture->starts->len; i++) {
		if (g_str_has_prefix(
			    sched_fixture_order(fixture->starts, i)->task,
			    JOB_A))
			return;
	}
	fail_msg("the suspect isn't started");
}

/* Guards against suspects that aren't started for as long as the store is down. */
void a_suspect_is_started_though_the_store_is_down(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	confirm_starts(fixture, 0);
	wwh_scheduler_upstream_terminated(
		fixture->scheduler, upstream_of_start(fixture, 0),
		WWH_TERMINATION_CRASH, "down", fixture->now_ms);
	for (int32_t i = 0; i < 10; i++)
		sched_fixture_run(fixture, 10);
	assert_int_equal(fixture->starts->len, 1);
	for (int32_t i = 0; i < 10; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, "");
	}
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_A), 2);
}
