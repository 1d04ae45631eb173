/*
 * Tests after a change of holder: which incarnations of the previous holder
 * have terminated according to a list of hosts.
 */

#include "duties_fixture.h"

/* Two intervals of 500 ms between lists. */
#define SOON_MS 1000

/* What lists show of u1, which answers no poll, and of its host h1. */
typedef struct {
	const char *pool; /* NULL: the host isn't listed */
	const char *upstream;
	wwh_host_run_state_t state;
	bool truncated; /* the list is not received to its end */
	bool announced; /* u1 is in the registry */
	bool unreadable; /* the list has an unreadable row */
	bool unnamed; /* the unreadable row has no name */
	bool lacks_u2; /* the list lacks u2, which answers polls */
	bool hosts_join; /* a new upstream answers during each list */
	bool refused; /* connections to u1 are refused */
	int64_t duration_ms; /* how long lists are received; 0: SOON_MS */
} list_case_t;

/*
 * A lasting task is stopped, then the holder changes; u1 and u2 are recorded.
 */
static void stop_task_and_take_over(duties_fixture_t *fixture)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	sched_fixture_add_upstream(fixture->sched, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(fixture->sched, "u2", "10.0.0.2:1");
	job->steps[0].lasting = true;
	sched_fixture_submit(fixture->sched, job);
	order = *sched_fixture_order(fixture->sched->starts, 0);
	sched_fixture_handle_start_result(fixture->sched, &order,
					  WWH_ORDER_DONE);
	sched_fixture_run(fixture->sched, 500);
	ended = sched_fixture_ended_row(&order, 1, WWH_END_STOPPED);
	sched_fixture_answer_poll(fixture->sched, order.upstream, NULL, 0,
				  &ended, 1);
	sched_fixture_make_durable(fixture->sched);
	sched_fixture_take_over(fixture->sched);
	duties_fixture_take_over(fixture);
	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
}

static void answer_u2(sched_fixture_t *sched, wwh_reach_t u1_reach)
{
	for (guint i = sched->polls->len; i-- > 0;) {
		sched_fixture_poll_t poll =
			g_array_index(sched->polls, sched_fixture_poll_t, i);

		if (strcmp(poll.upstream, "u2") == 0)
			sched_fixture_answer_poll(sched, "u2", NULL, 0, NULL,
						  0);
	}
	wwh_scheduler_handle_poll_failure(sched->scheduler, "u1", u1_reach,
					  sched->now_ms);
}

static char *numbered_name(const char *kind, int32_t number)
{
	return g_strdup_printf("%s%d", kind, number);
}

static void answer_new_upstream(sched_fixture_t *sched, int32_t number)
{
	char *id = numbered_name("n", number);
	char *endpoint = numbered_name("10.0.1.1:", number + 1);

	sched_fixture_announce(sched, id, endpoint, false);
	sched_fixture_run(sched, 1);
	sched_fixture_answer_poll(sched, id, NULL, 0, NULL, 0);
	g_free(endpoint);
	g_free(id);
}

/* Lists the new hosts that existed when the list was requested. */
static void list_new_hosts(duties_fixture_t *fixture, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		char *host = numbered_name("hn", i);
		char *id = numbered_name("n", i);

		duties_fixture_list_host(fixture, host, SCHED_FIXTURE_POOL, id,
					 WWH_HOST_UP);
		g_free(id);
		g_free(host);
	}
}

static bool task_starts_soon(duties_fixture_t *fixture,
			     const list_case_t *list_case)
{
	int64_t duration_ms =
		list_case->duration_ms != 0 ? list_case->duration_ms : SOON_MS;
	guint before;

	stop_task_and_take_over(fixture);
	before = fixture->sched->starts->len;
	sched_fixture_announce(fixture->sched, "u2", "10.0.0.2:1", false);
	if (list_case->announced)
		sched_fixture_announce(fixture->sched, "u1", "10.0.0.1:1",
				       false);
	for (int32_t i = 0; i < duration_ms / 50; i++) {
		sched_fixture_run(fixture->sched, 50);
		answer_u2(fixture->sched, list_case->refused
						  ? WWH_REACH_REFUSED
						  : WWH_REACH_SILENT);
		wwh_host_duties_list_begin(fixture->duties);
		if (list_case->hosts_join) {
			answer_new_upstream(fixture->sched, i);
			list_new_hosts(fixture, i);
		}
		if (!list_case->lacks_u2)
			duties_fixture_list_host(fixture, "h2",
						 SCHED_FIXTURE_POOL, "u2",
						 WWH_HOST_UP);
		if (list_case->unreadable) {
			wwh_listed_host_t row = {
				.name = list_case->unnamed ? NULL : "h1",
				.unreadable = "state has no known name",
			};

			wwh_host_duties_list_host(fixture->duties, &row);
		}
		if (list_case->pool != NULL)
			duties_fixture_list_host(fixture, "h1", list_case->pool,
						 list_case->upstream,
						 list_case->state);
		wwh_host_duties_list_end(fixture->duties, !list_case->truncated,
					 fixture->sched->now_ms);
		sched_fixture_make_durable(fixture->sched);
	}
	return fixture->sched->starts->len > before;
}

/*
 * A host was moved to the standby pool, which ended its upstream, just before
 * the holder was killed, and a lasting task of its pool had been stopped. The
 * next holder finds the upstream in the records and gets no answer; the pool's
 * tasks waited for its lease to expire. The list shows that no host runs the
 * upstream.
 */
void an_incarnation_that_no_host_runs_is_not_waited_for(void **state)
{
	const list_case_t standby = { .pool = "standby",
				      .upstream = "",
				      .state = WWH_HOST_UP };

	assert_true(task_starts_soon(*state, &standby));
}

void an_incarnation_of_a_removed_host_is_not_waited_for(void **state)
{
	const list_case_t removed = { .pool = NULL };

	assert_true(task_starts_soon(*state, &removed));
}

void an_incarnation_of_a_moving_host_is_not_waited_for(void **state)
{
	const list_case_t moves = { .pool = SCHED_FIXTURE_POOL,
				    .upstream = "",
				    .state = WWH_HOST_MOVING };

	assert_true(task_starts_soon(*state, &moves));
}

/*
 * An upstream is cut off from the store and the holder, but runs on. Its
 * registry entry has expired; its host is listed with it. If its task were
 * started elsewhere before its lease expires, the task would run twice.
 */
void an_incarnation_that_a_host_runs_is_waited_for(void **state)
{
	const list_case_t cut_off = { .pool = SCHED_FIXTURE_POOL,
				      .upstream = "u1",
				      .state = WWH_HOST_UP };

	assert_false(task_starts_soon(*state, &cut_off));
}

/*
 * A host that may run tasks without naming its incarnation may run any of
 * them.
 */
void a_down_host_without_an_incarnation_may_run_any(void **state)
{
	const list_case_t down = { .pool = SCHED_FIXTURE_POOL,
				   .upstream = "",
				   .state = WWH_HOST_DOWN };

	assert_false(task_starts_soon(*state, &down));
}

void an_up_host_without_an_incarnation_may_run_any(void **state)
{
	const list_case_t unnamed = { .pool = SCHED_FIXTURE_POOL,
				      .upstream = NULL,
				      .state = WWH_HOST_UP };

	assert_false(task_starts_soon(*state, &unnamed));
}

/* A truncated list doesn't show what the remaining hosts run. */
void a_truncated_list_terminates_no_incarnation(void **state)
{
	const list_case_t unlisted = { .pool = NULL, .truncated = true };

	assert_false(task_starts_soon(*state, &unlisted));
}

/* The registry may have an incarnation that the list doesn't show yet. */
void an_announced_incarnation_is_waited_for(void **state)
{
	const list_case_t announced = { .pool = NULL, .announced = true };

	assert_false(task_starts_soon(*state, &announced));
}

/*
 * The previous holder moved a host and was cut off. The entry of the host's
 * upstream stays in the registry for three heartbeats, and the pool waited for
 * it for all that time, 3.9 s on a recorded day, although each list showed
 * what every host ran.
 */
void an_announced_incarnation_that_many_lists_lack_is_not_waited_for(
	void **state)
{
	const list_case_t moved = { .pool = SCHED_FIXTURE_POOL,
				    .upstream = "",
				    .state = WWH_HOST_MOVING,
				    .announced = true,
				    .duration_ms = 2 * SOON_MS };

	assert_true(task_starts_soon(*state, &moved));
}

/* As above, but the list can't be accepted because it lacks u2. */
void an_announced_incarnation_is_waited_for_without_a_complete_list(
	void **state)
{
	const list_case_t unlisted = { .pool = NULL,
				       .announced = true,
				       .lacks_u2 = true,
				       .duration_ms = 2 * SOON_MS };

	assert_false(task_starts_soon(*state, &unlisted));
}

/* An unreadable row may belong to the host that runs the incarnation. */
void an_unreadable_row_may_run_any(void **state)
{
	const list_case_t named = { .unreadable = true };

	assert_false(task_starts_soon(*state, &named));
}

void an_unreadable_row_without_a_name_may_run_any(void **state)
{
	const list_case_t unnamed = { .unreadable = true, .unnamed = true };

	assert_false(task_starts_soon(*state, &unnamed));
}

/*
 * A list that is empty, or older than an incarnation that answers polls,
 * doesn't show all that runs. When such a list was accepted, it terminated an
 * upstream that was running tasks, and the tasks ran twice.
 */
void a_list_without_a_live_incarnation_terminates_none(void **state)
{
	const list_case_t empty = { .lacks_u2 = true };

	assert_false(task_starts_soon(*state, &empty));
}

/*
 * At peak load hosts join all the time, and each list was older than the
 * newest upstream: no list was accepted, and pools waited up to 4.1 s for
 * incarnations that no host ran. An upstream that began after the list was
 * requested may be missing from it; incarnations of the previous holder began
 * before.
 */
void a_list_is_accepted_although_hosts_join_meanwhile(void **state)
{
	const list_case_t removed = { .pool = NULL, .hosts_join = true };

	assert_true(task_starts_soon(*state, &removed));
}

/* As above, but the list lacks an upstream that existed before the request. */
void a_list_without_a_live_incarnation_is_rejected_while_hosts_join(
	void **state)
{
	const list_case_t removed = { .pool = NULL,
				      .hosts_join = true,
				      .lacks_u2 = true };

	assert_false(task_starts_soon(*state, &removed));
}

/*
 * The holder orders a host into upkeep while it receives a list. The list
 * shows the host without its incarnation, which still counts as answering;
 * such a list was rejected, and at peak load an order is given during most
 * lists.
 */
void a_list_is_accepted_although_a_host_is_ordered_into_upkeep(void **state)
{
	duties_fixture_t *fixture = *state;
	const char *ordered;

	stop_task_and_take_over(fixture);
	wwh_host_duties_list_begin(fixture->duties);
	duties_fixture_list_host(fixture, "h2", SCHED_FIXTURE_POOL, "u2",
				 WWH_HOST_UP);
	duties_fixture_list_host(fixture, "h3", SCHED_FIXTURE_POOL, "u3",
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	sched_fixture_announce(fixture->sched, "u2", "10.0.0.2:1", false);
	sched_fixture_announce(fixture->sched, "u3", "10.0.0.3:1", false);
	sched_fixture_run(fixture->sched, 1);
	sched_fixture_answer_poll(fixture->sched, "u2", NULL, 0, NULL, 0);
	sched_fixture_answer_poll(fixture->sched, "u3", NULL, 0, NULL, 0);
	wwh_scheduler_handle_poll_failure(fixture->sched->scheduler, "u1",
					  WWH_REACH_SILENT,
					  fixture->sched->now_ms);
	sched_fixture_make_durable(fixture->sched);
	duties_fixture_add_wave(fixture, 3, 1);
	wwh_host_duties_list_begin(fixture->duties);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 1);
	ordered = g_ptr_array_index(fixture->upkeeps, 0);
	for (int32_t i = 2; i <= 3; i++) {
		char *host = numbered_name("h", i);
		char *id = numbered_name("u", i);
		bool in_upkeep = strcmp(host, ordered) == 0;

		duties_fixture_list_host(
			fixture, host, SCHED_FIXTURE_POOL, in_upkeep ? "" : id,
			in_upkeep ? WWH_HOST_UPKEEP : WWH_HOST_UP);
		g_free(id);
		g_free(host);
	}
	assert_int_equal(
		wwh_scheduler_counts(fixture->sched->scheduler).unsettled, 1);
	duties_fixture_end_list(fixture);
	assert_int_equal(
		wwh_scheduler_counts(fixture->sched->scheduler).unsettled, 0);
}

/*
 * Guards against a pool that waits for the lease of an upstream that crashed just
 * before a change of holder, while its host is down and its entry remains.
 */
void a_refused_incarnation_that_no_host_runs_is_not_waited_for(void **state)
{
	const list_case_t crashed = { .pool = SCHED_FIXTURE_POOL,
				      .upstream = "",
				      .state = WWH_HOST_DOWN,
				      .announced = true,
				      .refused = true };

	assert_true(task_starts_soon(*state, &crashed));
}

/* Guards against a late list that ends the runs of an upstream that answers. */
void a_list_older_than_the_last_answer_ends_nothing(void **state)
{
	duties_fixture_t *fixture = *state;
	sched_fixture_t *sched = fixture->sched;

	sched_fixture_add_upstream(sched, "u1", "10.0.0.1:1");
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 1, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1000);
	sched_fixture_run(sched, 50);
	sched_fixture_answer_poll(sched, "u1", NULL, 0, NULL, 0);
	duties_fixture_list_host(fixture, "h1", SCHED_FIXTURE_POOL, "u0",
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	assert_true(wwh_scheduler_upstream_listed(sched->scheduler, "u1"));
	duties_fixture_run(fixture, 1000);
	duties_fixture_list_host(fixture, "h1", SCHED_FIXTURE_POOL, "u2",
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	sched_fixture_run(sched, 200);
	assert_false(wwh_scheduler_upstream_listed(sched->scheduler, "u1"));
}
