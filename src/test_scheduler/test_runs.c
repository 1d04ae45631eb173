/*
 * One run of a task at a time: lost and late answers, silent upstreams, changes
 * of holder, runs that nobody wants or that stand still.
 */

#include "test_scheduler.h"

/*
 * A start gets no answer. The task may have started, or may start seconds
 * later. It isn't started elsewhere before the upstream has confirmed a stop,
 * after which it refuses the late start.
 */
void an_unanswered_start_is_settled_before_the_next(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_run(fixture, 1000);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_UNKNOWN);
	/* a poll that was sent before says nothing */
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->stops->len, 0);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	assert_int_equal(fixture->stops->len, 1);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 1);
	wwh_scheduler_handle_stop_result(fixture->scheduler, order.upstream,
					 order.task, order.run, WWH_ORDER_DONE,
					 fixture->now_ms);
	/* this poll was sent before the stop was confirmed */
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 2);
	assert_true(sched_fixture_order(fixture->starts, 1)->run > order.run);
}

void an_unanswered_start_that_is_listed_goes_on(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t running;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_UNKNOWN);
	sched_fixture_run(fixture, 500);
	running = sched_fixture_running_row(
		sched_fixture_order(fixture->starts, 0), 10);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 5000);
	assert_int_equal(fixture->stops->len, 0);
	assert_int_equal(fixture->starts->len, 1);
}

/*
 * An upstream is cut off and runs on. Its tasks are started elsewhere only
 * when its lease must have lapsed by its own, slower clock; and then they
 * are, though it is asked all the while whether it is back.
 */
void a_silent_upstream_keeps_its_tasks_until_its_lease_is_over(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	int64_t lease_ms;
	int64_t passed_ms = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	lease_ms = order.lease_until_remote_ms - (fixture->now_ms + 5000);
	while (fixture->starts->len < 2) {
		sched_fixture_run(fixture, 50);
		passed_ms += 50;
		answer_all_but(fixture, "u1");
		assert_true(passed_ms < 2 * lease_ms);
	}
	assert_true(passed_ms >= lease_ms * 100 / 98);
	assert_string_equal(sched_fixture_order(fixture->starts, 1)->upstream,
			    "u2");
}

/*
 * A new holder finds a job in the journal whose task may run at an upstream
 * that doesn't answer it. Started at once elsewhere, it would run twice.
 */
void a_new_holder_asks_each_upstream_before_it_starts(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t running;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 1);
	running = sched_fixture_running_row(&order, 40);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(fixture->stops->len, 0);
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).tasks_outstanding, 1);
}

/* The record of upstream id, as a version wrote it that kept no lease. */
static void forget_kept_lease(sched_fixture_t *fixture, const char *id,
			      const char *endpoint)
{
	const uint8_t two_fields = 0x92;
	const uint8_t short_string = 0xa0;
	GByteArray *value = g_byte_array_new();
	const char *texts[] = { endpoint, SCHED_FIXTURE_POOL };

	g_byte_array_append(value, &two_fields, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		uint8_t head = short_string | (uint8_t)strlen(texts[i]);

		g_byte_array_append(value, &head, 1);
		g_byte_array_append(value, (const uint8_t *)texts[i],
				    (guint)strlen(texts[i]));
	}
	g_hash_table_replace(fixture->records, g_strconcat("U", id, NULL),
			     g_byte_array_free_to_bytes(value));
}

/*
 * How long a new holder waits for an upstream that never answers it, and of
 * which it isn't known what was asked for.
 */
static int64_t silence_ms(sched_fixture_t *fixture, int64_t lease_max_ms)
{
	int64_t passed_ms = 0;

	fixture->options.lease_max_ms = lease_max_ms;
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	forget_kept_lease(fixture, "u1", ENDPOINT_1);
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	while (fixture->starts->len < 2 && passed_ms < 4 * lease_max_ms) {
		sched_fixture_run(fixture, 50);
		passed_ms += 50;
		answer_all_but(fixture, "u1");
	}
	return passed_ms;
}

/*
 * What runs at an upstream that doesn't answer a new holder may run for as
 * long as the platform grants leases. The wait goes by that setting: shorter,
 * tasks run twice; longer, they are missed for nothing.
 */
void a_new_holder_waits_for_the_longest_lease(void **state)
{
	int64_t passed_ms = silence_ms(*state, 6000);

	assert_true(passed_ms >= 6000 * 100 / 98);
	assert_true(passed_ms < 10000);
}

void a_new_holder_waits_longer_where_leases_are(void **state)
{
	assert_true(silence_ms(*state, 10000) >= 10000 * 100 / 98);
}

/* A longer one would be cut short, and the holder would count on it. */
void no_lease_is_asked_for_beyond_the_longest(void **state)
{
	sched_fixture_t *fixture = *state;
	const sched_fixture_order_t *order;

	fixture->options.lease_max_ms = 3000;
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_int_equal(fixture->starts->len, 1);
	order = sched_fixture_order(fixture->starts, 0);
	assert_true(order->lease_until_remote_ms - (fixture->now_ms + 5000) <=
		    3000);
	assert_true(order->lease_until_remote_ms - (fixture->now_ms + 5000) >
		    0);
}

void a_new_holder_goes_on_when_all_upstreams_have_answered(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 2);
	assert_true(sched_fixture_order(fixture->starts, 1)->run >
		    sched_fixture_order(fixture->starts, 0)->run);
}

/* A lasting task is away no longer than this while its pool has room. */
#define AWAY_LIMIT_MS 7000

/* The lease that a holder asks for is this much shorter than the longest. */
#define SHORT_LEASE_MS 4500

/* A job with one lasting task; its only run was stopped where it ran. */
static void stop_lasting_task(sched_fixture_t *fixture)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	job->steps[0].lasting = true;
	sched_fixture_submit(fixture, job);
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(&order, 1, WWH_END_STOPPED);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
}

/* Runs until another start is ordered; returns how long that took. */
static int64_t run_until_next_start(sched_fixture_t *fixture,
				    const char *silent)
{
	guint before = fixture->starts->len;
	int64_t passed_ms = 0;

	while (fixture->starts->len == before) {
		sched_fixture_run(fixture, 1);
		passed_ms++;
		answer_all_but(fixture, silent);
		assert_true(passed_ms < 3 * fixture->options.lease_max_ms);
	}
	return passed_ms;
}

/*
 * The caller's lasting task stays away for 17 s though its pool has room. Its
 * run was stopped and a host of the pool was moved; then the shard changed
 * hands. The new holder found the moved host's upstream in the records, in no
 * list, and without an answer, and started no waiting task of the pool before
 * the longest lease that upstreams grant was over: a holder at 36.61 s, the
 * start at 47.85 s, "wait_ms=11204". No holder asks for such a lease.
 */
void a_lasting_task_waits_for_no_longer_lease_than_was_asked_for(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t passed_ms;

	fixture->options.lease_ms = SHORT_LEASE_MS;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	stop_lasting_task(fixture);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	passed_ms = run_until_next_start(fixture, "u1");
	/*
	 * The lease on a slow clock, dated by a reading that was 3.2 s old, and
	 * asked for until that holder is told.
	 */
	assert_true(passed_ms >= (SHORT_LEASE_MS + 64) * 1000 / 980 +
					 WWH_OVERTAKEN_HOLDER_MS);
	assert_true(passed_ms <= AWAY_LIMIT_MS);
}

/*
 * Two versions of the program hold the shard in turn. The older one kept no
 * lease and may have asked for the longest; the task may run that long on an
 * upstream that the newer one can't reach, and would run twice.
 */
void a_record_without_a_lease_stands_for_the_longest(void **state)
{
	sched_fixture_t *fixture = *state;

	fixture->options.lease_ms = SHORT_LEASE_MS;
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	forget_kept_lease(fixture, "u1", ENDPOINT_1);
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	assert_true(run_until_next_start(fixture, "u1") >=
		    fixture->options.lease_max_ms * 100 / 98 +
			    WWH_OVERTAKEN_HOLDER_MS);
}

/*
 * A holder with a longer lease takes over from one with a shorter lease, asks
 * the same upstream for its own, and ends. The next one goes by the record
 * that the first one wrote: with a longer lease than that, it would start the
 * task a second time while it still runs.
 */
void a_holder_asks_for_no_longer_lease_than_is_on_record(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t longer_ms = fixture->options.lease_ms;
	const sched_fixture_order_t *order;

	fixture->options.lease_ms = SHORT_LEASE_MS;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	fixture->options.lease_ms = longer_ms;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = sched_fixture_order(fixture->starts, 0);
	assert_true(order->lease_until_remote_ms - (fixture->now_ms + 5000) <=
		    SHORT_LEASE_MS);
	sched_fixture_handle_start_result(fixture, order, WWH_ORDER_DONE);
	for (int32_t i = 0; i < 40; i++) {
		wwh_running_task_t running =
			sched_fixture_running_row(order, i);

		sched_fixture_run(fixture, 100);
		assert_true(sched_fixture_newest_poll(fixture, "u1")
					    .lease_until_remote_ms -
				    (fixture->now_ms + 5000) <=
			    SHORT_LEASE_MS);
		sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	}
}

/* What runs without being wanted is stopped, and stopped again. */
void an_orphan_run_is_stopped_until_it_is_gone(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t orphan = {
		.task = JOB_B ".0.0.0", .run = 3, .checkpoint = "", .percent = 5
	};

	for (int32_t i = 0; i < 3; i++) {
		sched_fixture_run(fixture, 1500);
		sched_fixture_answer_poll(fixture, "u1", &orphan, 1, NULL, 0);
		assert_int_equal(fixture->stops->len, i + 1);
	}
	assert_int_equal(sched_fixture_order(fixture->stops, 0)->run, 3);
	/* and nothing new is put where its room isn't known */
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	assert_int_equal(fixture->starts->len, 0);
}

/*
 * An upstream answers its polls and does no work. The task goes elsewhere
 * after it was confirmed to be stopped.
 */
void a_task_that_stands_still_is_started_elsewhere(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t running;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	for (int32_t i = 0; i < 4 && fixture->stops->len == 0; i++) {
		sched_fixture_run(fixture, 700);
		running = sched_fixture_running_row(&order, 12);
		sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(fixture->stops->len, 1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	assert_int_equal(fixture->starts->len, 1);
	{
		wwh_ended_task_t ended =
			sched_fixture_ended_row(&order, 1, WWH_END_STOPPED);

		sched_fixture_run(fixture, 500);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	}
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 2);
	assert_string_equal(sched_fixture_order(fixture->starts, 1)->upstream,
			    "u2");
}

void a_task_that_goes_on_slowly_is_left_alone(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t running;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_DONE);
	for (int32_t i = 1; i < 20; i++) {
		sched_fixture_run(fixture, 1000);
		running = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, 0), i);
		sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(fixture->stops->len, 0);
}

/*
 * The holder before asked for a longer lease than this one does. The upstream
 * lists its task once, falls silent, and runs it until that lease is over. By
 * the shorter lease of its own the holder takes it for lapsed, starts the task
 * elsewhere, and it runs twice.
 */
void a_longer_lease_of_the_holder_before_counts_to_its_end(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t ordered_ms = fixture->now_ms;
	wwh_running_task_t running;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	fixture->options.lease_ms = SHORT_LEASE_MS;
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 1);
	running = sched_fixture_running_row(&order, 10);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	(void)run_until_next_start(fixture, "u1");
	assert_true(fixture->now_ms - ordered_ms >=
		    (order.lease_until_remote_ms - (ordered_ms + 5000)) * 100 /
			    98);
}

/*
 * A holder that lost the store is overtaken. One upstream answers it and not the
 * next holder; the other is idle, so its polls there wait for 2 s, and only the
 * next of them is refused. It extends the lease of its task until then. The next
 * holder waits a second less, starts the task, and it runs twice.
 */
void a_lease_that_an_overtaken_holder_extends_is_waited_for(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t taken_over_ms;
	int64_t lease_until_ms = 0;
	wwh_running_task_t running;
	sched_fixture_order_t order;
	const char *idle;

	fixture->options.lease_ms = SHORT_LEASE_MS;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	running = sched_fixture_running_row(&order, 10);
	idle = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, idle, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	/* its poll at the idle one has just gone out */
	taken_over_ms = fixture->now_ms;
	while (fixture->now_ms <
	       taken_over_ms +
		       sched_fixture_newest_poll(fixture, idle).wait_ms) {
		running.percent++;
		sched_fixture_answer_poll(fixture, order.upstream, &running, 1,
					  NULL, 0);
		sched_fixture_run(fixture, 100);
		lease_until_ms =
			sched_fixture_newest_poll(fixture, order.upstream)
				.lease_until_remote_ms -
			5000;
	}
	fixture->now_ms = taken_over_ms;
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, idle,
			       idle[1] == '1' ? ENDPOINT_1 : ENDPOINT_2, false);
	(void)run_until_next_start(fixture, order.upstream);
	assert_true(fixture->now_ms >= lease_until_ms);
}

/*
 * An upstream crashed and came back at the same endpoint; both of its lives are
 * still announced. The next holder reads the announcements in any order, and
 * the older one last. It takes the living one, whose task it has just found in
 * the records, for ended, and the task runs twice.
 */
void an_old_announcement_ends_no_newer_incarnation(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_DONE);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u0", ENDPOINT_1, false);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 1);
}

/*
 * A lasting task fails wherever it is started, by its own fault. Each of its
 * ends counts against the upstream that it ran on, and as nothing there ends
 * well in between, all of them come to be avoided for 12 s. Another caller's
 * lasting task stays away as long, though the pool is next to empty.
 */
void a_failing_lasting_task_keeps_no_other_away(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *failing = sched_fixture_job(JOB_A, 1, 1000);
	wwh_job_t *sound = sched_fixture_job(JOB_B, 1, 1000);
	int32_t failures = 0;
	guint started = 0;

	failing->steps[0].lasting = true;
	sound->steps[0].lasting = true;
	sched_fixture_submit(fixture, failing);
	for (int32_t i = 0; i < 600 && failures < 12; i++) {
		const sched_fixture_order_t *order = sched_fixture_order(
			fixture->starts, fixture->starts->len - 1);
		wwh_ended_task_t ended = sched_fixture_ended_row(
			order, fixture->starts->len, WWH_END_FAILED);

		if (failures < (int32_t)fixture->starts->len) {
			sched_fixture_handle_start_result(fixture, order,
							  WWH_ORDER_DONE);
			sched_fixture_run(fixture, 300);
			sched_fixture_answer_poll(fixture, order->upstream,
						  NULL, 0, &ended, 1);
			failures++;
		}
		sched_fixture_run(fixture, 50);
		sched_fixture_make_durable(fixture);
		answer_all_but(fixture, "");
	}
	assert_int_equal(failures, 12);
	sched_fixture_submit(fixture, sound);
	for (int32_t i = 0; i < AWAY_LIMIT_MS / 50; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, "");
	}
	for (guint i = 0; i < fixture->starts->len; i++)
		started += g_str_has_prefix(
			sched_fixture_order(fixture->starts, i)->task, JOB_B);
	assert_int_equal(started, 1);
}
