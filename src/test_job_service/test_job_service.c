/*
 * Whole processes of the job service on a stand-in of the platform: what
 * callers are told when holders end, the store is silent, or bodies are
 * malformed.
 */

#include "service_fixture.h"

#define UNREADABLE_NOW "waxwinghollow_records_unreadable_now "

typedef struct {
	fixture_t *fixture;
	int32_t index;
	const char *target;
	int32_t status;
} asker_t;

static void a_job_runs_whichever_process_takes_it(void **state)
{
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	submit(fixture, 0, "00000000000000a0");
	submit(fixture, 1, "00000000000000a1");
	wait_state(fixture, 1, "00000000000000a0", "completed");
	wait_state(fixture, 0, "00000000000000a1", "completed");
	assert_int_equal(g_hash_table_size(fixture->standin->done), 10);
}

/*
 * All processes end while jobs run, and the store keeps no history: only the
 * newest record of each key. Processes that start find every accepted job
 * and end each task once.
 */
static void a_process_that_starts_finds_all_jobs_without_history(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->short_history = true;
	fixture->standin->task_ms = 1500;
	g_mutex_unlock(&fixture->standin->lock);
	wait_ready(fixture, 0);
	submit(fixture, 0, "00000000000000b0");
	submit(fixture, 0, "00000000000000b1");
	for (int32_t i = 0; i < PROCESSES; i++)
		stop_process(fixture, i);
	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	wait_ready(fixture, 0);
	wait_state(fixture, 0, "00000000000000b0", "completed");
	wait_state(fixture, 1, "00000000000000b1", "completed");
	assert_int_equal(g_hash_table_size(fixture->standin->done), 10);
}

static gpointer ask_in_thread(gpointer data)
{
	asker_t *asker = data;

	asker->status = ask(asker->fixture, asker->index, "POST", asker->target,
			    "{\"spec\":\"\",\"phases\":[{\"count\":1}]}", NULL);
	return NULL;
}

static void set_silent(fixture_t *fixture, bool silent)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->silent = silent;
	g_mutex_unlock(&fixture->standin->lock);
}

static void set_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

/*
 * A job has just ended: the holder has written all of it and won't confirm its
 * claim for some hundred milliseconds, so the next record is sent at once.
 */
static void settle_journal(fixture_t *fixture)
{
	submit(fixture, 0, "00000000000000df");
	wait_state(fixture, 0, "00000000000000df", "completed");
}

/*
 * The store takes calls and answers none. A caller isn't told that its job
 * is refused, as it may be stored.
 */
static void a_silent_store_makes_nobody_say_refused(void **state)
{
	fixture_t *fixture = *state;
	asker_t asker = { .fixture = fixture, .target = "/q/00000000000000d0" };

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	settle_journal(fixture);
	set_silent(fixture, true);
	ask_in_thread(&asker);
	assert_int_equal(asker.status, 504);
	set_silent(fixture, false);
}

/*
 * The store refuses all calls at once. Callers of the first 0.7 s waited for it
 * until their deadlines, and could not tell whether their jobs were taken; from
 * 0.15 s on they are told to come back.
 */
static void a_busy_store_turns_callers_away_at_once(void **state)
{
	fixture_t *fixture = *state;
	asker_t first = { .fixture = fixture, .target = "/q/00000000000000d3" };
	asker_t next = { .fixture = fixture, .target = "/q/00000000000000d4" };
	GThread *thread;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	set_busy(fixture, true);
	thread = g_thread_new("asker", ask_in_thread, &first);
	g_usleep(400 * 1000);
	ask_in_thread(&next);
	assert_int_equal(next.status, 503);
	set_busy(fixture, false);
	g_thread_join(thread);
	assert_int_equal(first.status, 200);
}

/*
 * The store falls silent. The first caller's job is on its way there and may
 * be stored, so nothing is said of it until its deadline. The second one's was
 * never sent, as one call is on its way at a time; its caller waited for the
 * deadline all the same, heard nothing, and the job ran for nobody later. It
 * is told to come back, which is true: the job is taken back and never runs.
 */
static void a_job_that_was_never_sent_to_the_store_is_refused(void **state)
{
	fixture_t *fixture = *state;
	asker_t first = { .fixture = fixture, .target = "/q/00000000000000d5" };
	asker_t next = { .fixture = fixture, .target = "/q/00000000000000d6" };
	GThread *thread;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	settle_journal(fixture);
	set_silent(fixture, true);
	thread = g_thread_new("asker", ask_in_thread, &first);
	g_usleep(200 * 1000);
	ask_in_thread(&next);
	assert_int_equal(next.status, 503);
	g_thread_join(thread);
	assert_int_equal(first.status, 504);
	set_silent(fixture, false);
	wait_state(fixture, 0, "00000000000000d5", "completed");
	assert_int_equal(
		ask(fixture, 0, "GET", "/q/00000000000000d6", NULL, NULL), 410);
	/* the same caller again, with the same id */
	submit(fixture, 0, "00000000000000d6");
	wait_state(fixture, 0, "00000000000000d6", "completed");
}

/*
 * A process is stopped while callers of another one wait for it, and the
 * store is silent. Its threads waited for their requests' own time limits,
 * so that it outlived its grace period and was killed.
 */
static void a_stopped_process_ends_though_others_wait_for_it(void **state)
{
	fixture_t *fixture = *state;
	asker_t askers[PROCESSES] = {
		{ .fixture = fixture, .target = "/q/00000000000000d1" },
		{ .fixture = fixture,
		  .index = 1,
		  .target = "/q/00000000000000d2" },
	};
	GThread *threads[PROCESSES];

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	set_silent(fixture, true);
	fixture->patience_ms = "9000";
	for (int32_t i = 0; i < PROCESSES; i++)
		threads[i] = g_thread_new("asker", ask_in_thread, &askers[i]);
	g_usleep(300 * 1000);
	for (int32_t i = 0; i < PROCESSES; i++) {
		int64_t begun_ms = standin_now_ms();

		stop_process(fixture, i);
		assert_true(standin_now_ms() - begun_ms < GRACE_MS);
	}
	for (int32_t i = 0; i < PROCESSES; i++) {
		g_thread_join(threads[i]);
		assert_int_not_equal(askers[i].status, 200);
	}
	set_silent(fixture, false);
}

static void malformed_requests_are_told_what_is_wrong(void **state)
{
	static const struct {
		const char *method;
		const char *target;
		const char *body;
		int32_t status;
	} cases[] = {
		{ "POST", "/q/00000000000000e0", "", 400 },
		{ "POST", "/q/00000000000000e0", "{", 400 },
		{ "POST", "/q/00000000000000e0", "[]", 400 },
		{ "POST", "/q/00000000000000e0", "{\"phases\":[]}", 400 },
		{ "POST", "/q/00000000000000e0", "{\"phases\":[{}]}", 400 },
		{ "POST", "/q/00000000000000e0",
		  "{\"phases\":[{\"count\":-1}]}", 400 },
		{ "POST", "/q/00000000000000e0",
		  "{\"phases\":[{\"count\":1,\"dependsOn\":[0]}]}", 400 },
		{ "POST", "/q/short", "{\"phases\":[{\"count\":1}]}", 400 },
		{ "PUT", "/q/00000000000000e0", "", 400 },
		{ "GET", "/q/zz", NULL, 400 },
		{ "GET", "/other/", NULL, 404 },
		{ "GET", "/q/00000000000000e0", NULL, 410 },
		{ "DELETE", "/q/00000000000000e0", NULL, 410 },
	};
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int32_t k = 0; k < PROCESSES; k++)
			assert_int_equal(ask(fixture, k, cases[i].method,
					     cases[i].target, cases[i].body,
					     NULL),
					 cases[i].status);
	}
}

static void put(fixture_t *fixture, const char *topic, const char *part,
		const char *key, const char *value)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, topic, part, key, value, strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

/* A counter on a process's page; -1: it isn't there. */
static int64_t metric(fixture_t *fixture, int32_t index, const char *name)
{
	int32_t callers = fixture->ports[index];
	int64_t value = -1;
	char *text;
	char *line;
	char *at;

	fixture->ports[index] = fixture->peer_ports[index];
	assert_int_equal(ask(fixture, index, "GET", "/metrics", NULL, &text),
			 200);
	fixture->ports[index] = callers;
	/* at the beginning of a line: type lines name it too */
	line = g_strconcat("\n", name, NULL);
	at = strstr(text, line);
	if (at != NULL)
		value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	g_free(line);
	g_free(text);
	return value;
}

/* The sum of all processes. */
static void wait_metrics(fixture_t *fixture, const char *name, int64_t wanted)
{
	int64_t sum = -1;

	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50 && sum != wanted; i++) {
		g_usleep(50 * 1000);
		sum = 0;
		for (int32_t k = 0; k < PROCESSES; k++)
			sum += metric(fixture, k, name);
	}
	assert_int_equal(sum, wanted);
}

/*
 * Another writer leaves what can't be read in every list that processes follow:
 * a configuration that has lost a queue's service, a wave without hosts, a
 * notice and a claim that are none, an upstream's entry. Callers' queues stay
 * as they are, their jobs are done, and each page counts what is bad; mended,
 * the configuration is in force.
 */
static void bad_records_stop_no_process(void **state)
{
	static const char bad[] =
		"{\"version\":8,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\"}],\"services\":[]}";
	static const char mended[] =
		"{\"version\":9,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\",\"service\":\"" STANDIN_POOL "\"},"
		"{\"name\":\"r2\",\"host\":\"h\",\"pathPrefix\":\"/r/\","
		"\"service\":\"" STANDIN_POOL "\"}],\"services\":["
		"{\"name\":\"" STANDIN_POOL "\"}]}";
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	put(fixture, "keyed.op", "0", "config", bad);
	put(fixture, "keyed.op", "0", "wave/1", "{\"wave\":1}");
	put(fixture, "keyed.wwh", "1", "holder", "9223372036854775807 x");
	put(fixture, "keyed.servers", "0", "u0", "\xff\xfe");
	/* both follow three of the lists, the holder a fourth */
	wait_metrics(fixture, UNREADABLE_NOW, 3 * PROCESSES + 1);
	submit(fixture, 0, "00000000000000e0");
	submit(fixture, 1, "00000000000000e1");
	wait_state(fixture, 1, "00000000000000e0", "completed");
	wait_state(fixture, 0, "00000000000000e1", "completed");
	put(fixture, "keyed.op", "0", "config", mended);
	put(fixture, "keyed.op", "0", "wave/1", "");
	wait_metrics(fixture, UNREADABLE_NOW, PROCESSES + 1);
	for (int32_t i = 0; i < PROCESSES; i++) {
		assert_int_equal(ask(fixture, i, "GET", "/r/", NULL, NULL),
				 200);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		KEY_TESTS,
		cmocka_unit_test_setup_teardown(
			a_job_runs_whichever_process_takes_it, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_process_that_starts_finds_all_jobs_without_history,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_the_store_turns_away_hands_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_cannot_keep_up_hands_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_keeps_a_load_that_was_handed_over_to_it,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_keeps_the_shard_while_nobody_else_is_served,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_lost_answer_keeps_no_pool_waiting, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			another_process_takes_over_from_one_that_stops, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_stopped_holder_waits_for_its_orders_to_hosts, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_silent_store_makes_nobody_say_refused, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_busy_store_turns_callers_away_at_once, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_job_that_was_never_sent_to_the_store_is_refused,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_stopped_process_ends_though_others_wait_for_it,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_slow_process_holds_the_shard_only_if_nobody_else_does,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(bad_records_stop_no_process,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			malformed_requests_are_told_what_is_wrong, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
