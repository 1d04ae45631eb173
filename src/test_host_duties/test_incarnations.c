/*
 * After a change of holder: which lives of the holder before are over, by what a
 * list of hosts shows.
 */

#include "duties_fixture.h"

/* Lists come each half second; this is two of them. */
#define SOON_MS 1000

/* What the list shows of u1, which answers nobody, and of its host. */
typedef struct {
	const char *pool; /* NULL: the host is in no list */
	const char *upstream;
	wwh_host_run_state_t state;
	bool cut_short; /* the list doesn't come to its end */
	bool announced; /* u1 is in the registry */
	bool unreadable; /* a row that can't be read, with or without a name */
	bool nameless;
	bool misses_u2; /* a living one isn't in the list */
	bool others_come; /* a new one answers while each list is under way */
	int64_t for_ms; /* how long lists come; 0: SOON_MS */
} silent_host_t;

/* A lasting task was stopped, then the holder ended; u1 and u2 are on record. */
static void stop_task_and_take_over(crew_t *crew)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	job->steps[0].lasting = true;
	sched_fixture_submit(crew->rig, job);
	order = *sched_fixture_order(crew->rig->starts, 0);
	sched_fixture_handle_start_result(crew->rig, &order, WWH_ORDER_DONE);
	sched_fixture_run(crew->rig, 500);
	ended = sched_fixture_ended_row(&order, 1, WWH_END_STOPPED);
	sched_fixture_answer_poll(crew->rig, order.upstream, NULL, 0, &ended,
				  1);
	sched_fixture_make_durable(crew->rig);
	sched_fixture_take_over(crew->rig);
	crew_take_over(crew);
	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
}

static void answer_u2(sched_fixture_t *rig)
{
	for (guint i = rig->polls->len; i-- > 0;) {
		sched_fixture_poll_t poll =
			g_array_index(rig->polls, sched_fixture_poll_t, i);

		if (strcmp(poll.upstream, "u2") == 0)
			sched_fixture_answer_poll(rig, "u2", NULL, 0, NULL, 0);
	}
	wwh_scheduler_handle_poll_failure(rig->scheduler, "u1", false,
					  rig->now_ms);
}

static char *newcomer(const char *kind, int32_t number)
{
	return g_strdup_printf("%s%d", kind, number);
}

static void answer_newcomer(sched_fixture_t *rig, int32_t number)
{
	char *id = newcomer("n", number);
	char *endpoint = newcomer("10.0.1.1:", number + 1);

	sched_fixture_announce(rig, id, endpoint, false);
	sched_fixture_run(rig, 1);
	sched_fixture_answer_poll(rig, id, NULL, 0, NULL, 0);
	g_free(endpoint);
	g_free(id);
}

/* Those that were there when the list was asked for. */
static void list_newcomers(crew_t *crew, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		char *host = newcomer("hn", i);
		char *id = newcomer("n", i);

		crew_host(crew, host, SCHED_FIXTURE_POOL, id, WWH_HOST_UP);
		g_free(id);
		g_free(host);
	}
}

static bool starts_soon(crew_t *crew, const silent_host_t *silent)
{
	int64_t for_ms = silent->for_ms != 0 ? silent->for_ms : SOON_MS;
	guint before;

	stop_task_and_take_over(crew);
	before = crew->rig->starts->len;
	sched_fixture_announce(crew->rig, "u2", "10.0.0.2:1", false);
	if (silent->announced)
		sched_fixture_announce(crew->rig, "u1", "10.0.0.1:1", false);
	for (int32_t i = 0; i < for_ms / 50; i++) {
		sched_fixture_run(crew->rig, 50);
		answer_u2(crew->rig);
		wwh_host_duties_list_begin(crew->duties);
		if (silent->others_come) {
			answer_newcomer(crew->rig, i);
			list_newcomers(crew, i);
		}
		if (!silent->misses_u2)
			crew_host(crew, "h2", SCHED_FIXTURE_POOL, "u2",
				  WWH_HOST_UP);
		if (silent->unreadable) {
			wwh_listed_host_t row = {
				.name = silent->nameless ? NULL : "h1",
				.unreadable = "state has no known name",
			};

			wwh_host_duties_list_host(crew->duties, &row);
		}
		if (silent->pool != NULL)
			crew_host(crew, "h1", silent->pool, silent->upstream,
				  silent->state);
		wwh_host_duties_list_end(crew->duties, !silent->cut_short,
					 crew->rig->now_ms);
		sched_fixture_make_durable(crew->rig);
	}
	return crew->rig->starts->len > before;
}

/*
 * A host went to rest with its upstream just before the holder was killed, and a
 * lasting task of its pool had been stopped. The next holder finds the upstream
 * in the records and gets no answer; the pool's tasks waited for its lease to
 * end. The list shows what each host runs, and it is none of them.
 */
void an_incarnation_that_no_host_runs_is_not_waited_for(void **state)
{
	const silent_host_t rests = { .pool = "rest",
				      .upstream = "",
				      .state = WWH_HOST_UP };

	assert_true(starts_soon(*state, &rests));
}

void an_incarnation_of_a_host_that_is_gone_is_not_waited_for(void **state)
{
	const silent_host_t gone = { .pool = NULL };

	assert_true(starts_soon(*state, &gone));
}

void an_incarnation_of_a_host_that_moves_is_not_waited_for(void **state)
{
	const silent_host_t moves = { .pool = SCHED_FIXTURE_POOL,
				      .upstream = "",
				      .state = WWH_HOST_MOVING };

	assert_true(starts_soon(*state, &moves));
}

/*
 * An upstream is cut off from the store and the holder, and runs on. Its entry
 * has lapsed; its host is listed with it. Started elsewhere before its lease is
 * over, its task would run twice.
 */
void an_incarnation_that_a_host_runs_is_waited_for(void **state)
{
	const silent_host_t cut_off = { .pool = SCHED_FIXTURE_POOL,
					.upstream = "u1",
					.state = WWH_HOST_UP };

	assert_false(starts_soon(*state, &cut_off));
}

/* A host may be at work and not say what it runs: it may be any of them. */
void a_host_that_does_not_say_what_it_runs_may_run_any(void **state)
{
	const silent_host_t down = { .pool = SCHED_FIXTURE_POOL,
				     .upstream = "",
				     .state = WWH_HOST_DOWN };

	assert_false(starts_soon(*state, &down));
}

void a_host_of_a_working_pool_without_an_incarnation_may_run_any(void **state)
{
	const silent_host_t unnamed = { .pool = SCHED_FIXTURE_POOL,
					.upstream = NULL,
					.state = WWH_HOST_UP };

	assert_false(starts_soon(*state, &unnamed));
}

/* A list that ends early doesn't show what the rest of the hosts run. */
void a_list_that_is_cut_short_ends_no_incarnation(void **state)
{
	const silent_host_t unseen = { .pool = NULL, .cut_short = true };

	assert_false(starts_soon(*state, &unseen));
}

/* The registry may know of a life that the list doesn't show yet. */
void an_incarnation_that_is_announced_is_waited_for(void **state)
{
	const silent_host_t announced = { .pool = NULL, .announced = true };

	assert_false(starts_soon(*state, &announced));
}

/*
 * The holder before moved a host away and was cut off. The entry of its upstream
 * stays in the registry for three heartbeats, and all that time the next holder's
 * pool waited for it, 3.9 s on a recorded day, though each list showed what every
 * host ran.
 */
void an_incarnation_that_lists_miss_for_long_is_not_waited_for(void **state)
{
	const silent_host_t moved = { .pool = SCHED_FIXTURE_POOL,
				      .upstream = "",
				      .state = WWH_HOST_MOVING,
				      .announced = true,
				      .for_ms = 2 * SOON_MS };

	assert_true(starts_soon(*state, &moved));
}

/* The same where the list can't be believed. */
void an_incarnation_that_is_announced_is_waited_for_without_a_whole_list(
	void **state)
{
	const silent_host_t unseen = { .pool = NULL,
				       .announced = true,
				       .misses_u2 = true,
				       .for_ms = 2 * SOON_MS };

	assert_false(starts_soon(*state, &unseen));
}

/* A row that another writer wrote may be that of the host which runs it. */
void a_row_that_cannot_be_read_may_run_any(void **state)
{
	const silent_host_t named = { .unreadable = true };

	assert_false(starts_soon(*state, &named));
}

void a_row_without_a_name_may_run_any(void **state)
{
	const silent_host_t nameless = { .unreadable = true, .nameless = true };

	assert_false(starts_soon(*state, &nameless));
}

/*
 * The list of hosts is empty, or older than a life that answers: it doesn't show
 * all that runs. Believed, it ended an upstream that was at work, and its tasks
 * ran twice.
 */
void a_list_that_misses_a_living_one_ends_no_incarnation(void **state)
{
	const silent_host_t empty = { .misses_u2 = true };

	assert_false(starts_soon(*state, &empty));
}

/*
 * Hosts come all the time in a peak, and each list was older than the newest of
 * their upstreams: none was believed, and pools waited up to 4.1 s for lives that
 * no host ran. What such a list leaves out hadn't begun when it was asked for,
 * and a life of the holder before had.
 */
void a_list_is_believed_though_others_come_meanwhile(void **state)
{
	const silent_host_t gone = { .pool = NULL, .others_come = true };

	assert_true(starts_soon(*state, &gone));
}

/* The same, and the list misses one that was there before it. */
void a_list_that_misses_one_is_not_believed_as_others_come(void **state)
{
	const silent_host_t gone = { .pool = NULL,
				     .others_come = true,
				     .misses_u2 = true };

	assert_false(starts_soon(*state, &gone));
}

/*
 * While a list is under way its holder orders a host away. The list shows the
 * host without its life, which still counts as one that answers: such a list was
 * not believed either, and in a peak there is an order beside most of them.
 */
void a_list_is_believed_though_a_host_is_ordered_away(void **state)
{
	crew_t *crew = *state;
	const char *ordered;

	stop_task_and_take_over(crew);
	wwh_host_duties_list_begin(crew->duties);
	crew_host(crew, "h2", SCHED_FIXTURE_POOL, "u2", WWH_HOST_UP);
	crew_host(crew, "h3", SCHED_FIXTURE_POOL, "u3", WWH_HOST_UP);
	crew_listed(crew);
	sched_fixture_announce(crew->rig, "u2", "10.0.0.2:1", false);
	sched_fixture_announce(crew->rig, "u3", "10.0.0.3:1", false);
	sched_fixture_run(crew->rig, 1);
	sched_fixture_answer_poll(crew->rig, "u2", NULL, 0, NULL, 0);
	sched_fixture_answer_poll(crew->rig, "u3", NULL, 0, NULL, 0);
	wwh_scheduler_handle_poll_failure(crew->rig->scheduler, "u1", false,
					  crew->rig->now_ms);
	sched_fixture_make_durable(crew->rig);
	crew_wave(crew, 3, 1);
	wwh_host_duties_list_begin(crew->duties);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
	ordered = g_ptr_array_index(crew->upkeeps, 0);
	for (int32_t i = 2; i <= 3; i++) {
		char *host = newcomer("h", i);
		char *id = newcomer("u", i);
		bool away = strcmp(host, ordered) == 0;

		crew_host(crew, host, SCHED_FIXTURE_POOL, away ? "" : id,
			  away ? WWH_HOST_UPKEEP : WWH_HOST_UP);
		g_free(id);
		g_free(host);
	}
	assert_int_equal(wwh_scheduler_counts(crew->rig->scheduler).unsettled,
			 1);
	crew_listed(crew);
	assert_int_equal(wwh_scheduler_counts(crew->rig->scheduler).unsettled,
			 0);
}
