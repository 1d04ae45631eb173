/*
 * Whole processes of the job service on a stand-in platform: the answers to
 * callers when holders end, the store is silent, or bodies are malformed.
 */

#include "service_fixture.h"

#define UNREADABLE_NOW "waxwinghollow_records_unreadable_now "

typedef struct {
	fixture_t *fixture;
	int32_t index;
	const char *target;
	int32_t status;
} background_request_t;

static void a_job_runs_whichever_process_receives_it(void **state)
{
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	submit_job(fixture, 0, "00000000000000a0");
	submit_job(fixture, 1, "00000000000000a1");
	wait_job_state(fixture, 1, "00000000000000a0", "completed");
	wait_job_state(fixture, 0, "00000000000000a1", "completed");
	assert_int_equal(g_hash_table_size(fixture->standin->done), 10);
}

/*
 * All processes end while jobs run, and the store keeps only the newest record
 * of each key. The processes started after that restore every accepted job and
 * complete each task once.
 */
static void started_processes_restore_all_jobs_from_newest_records(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->short_history = true;
	fixture->standin->task_ms = 1500;
	g_mutex_unlock(&fixture->standin->lock);
	wait_ready(fixture, 0);
	submit_job(fixture, 0, "00000000000000b0");
	submit_job(fixture, 0, "00000000000000b1");
	for (int32_t i = 0; i < PROCESSES; i++)
		stop_process(fixture, i);
	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	wait_ready(fixture, 0);
	wait_job_state(fixture, 0, "00000000000000b0", "completed");
	wait_job_state(fixture, 1, "00000000000000b1", "completed");
	assert_int_equal(g_hash_table_size(fixture->standin->done), 10);
}

static gpointer run_background_request(gpointer data)
{
	background_request_t *request = data;

	request->status = send_request(
		request->fixture, request->index, "POST", request->target,
		"{\"spec\":\"\",\"phases\":[{\"count\":1}]}", NULL);
	return NULL;
}

static void set_store_silent(fixture_t *fixture, bool silent)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->silent = silent;
	g_mutex_unlock(&fixture->standin->lock);
}

static void set_store_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

/*
 * Completes a job. The holder has then written all its records and won't
 * confirm its claim for some hundred milliseconds, so the next record is sent
 * at once.
 */
static void wait_journal_quiescent(fixture_t *fixture)
{
	submit_job(fixture, 0, "00000000000000df");
	wait_job_state(fixture, 0, "00000000000000df", "completed");
}

/*
 * While the store accepts calls and answers none, a caller isn't told that its
 * job was refused, because the job may have been stored.
 */
static void
a_job_is_not_reported_refused_while_the_store_is_silent(void **state)
{
	fixture_t *fixture = *state;
	background_request_t request = { .fixture = fixture,
					 .target = "/q/00000000000000d0" };

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	wait_journal_quiescent(fixture);
	set_store_silent(fixture, true);
	run_background_request(&request);
	assert_int_equal(request.status, 504);
	set_store_silent(fixture, false);
}

/*
 * Guards against callers that wait for a store that refuses all calls at once.
 * Callers of the first 0.7 s waited until their deadlines and couldn't tell
 * whether their jobs were accepted; from 0.15 s on they are told to retry.
 */
static void callers_are_rejected_at_once_while_the_store_is_busy(void **state)
{
	fixture_t *fixture = *state;
	background_request_t first = { .fixture = fixture,
				       .target = "/q/00000000000000d3" };
	background_request_t next = { .fixture = fixture,
				      .target = "/q/00000000000000d4" };
	GThread *thread;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	set_store_busy(fixture, true);
	thread = g_thread_new("caller", run_background_request, &first);
	g_usleep(400 * 1000);
	run_background_request(&next);
	assert_int_equal(next.status, 503);
	set_store_busy(fixture, false);
	g_thread_join(thread);
	assert_int_equal(first.status, 200);
}

/*
 * Guards against a job that runs after its caller has given up. The store stops
 * answering. The first caller's job was sent and may have been stored, so its
 * caller gets no definite answer until the deadline. The second job was never
 * sent, because only one call is in progress at a time; its caller waited until
 * the deadline without an answer, and the job ran later for no caller. Now that
 * caller is told to retry, and the job is discarded and never runs.
 */
static void a_job_that_was_never_sent_to_the_store_is_refused(void **state)
{
	fixture_t *fixture = *state;
	background_request_t first = { .fixture = fixture,
				       .target = "/q/00000000000000d5" };
	background_request_t next = { .fixture = fixture,
				      .target = "/q/00000000000000d6" };
	GThread *thread;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	wait_journal_quiescent(fixture);
	set_store_silent(fixture, true);
	thread = g_thread_new("caller", run_background_request, &first);
	g_usleep(200 * 1000);
	run_background_request(&next);
	assert_int_equal(next.status, 503);
	g_thread_join(thread);
	assert_int_equal(first.status, 504);
	set_store_silent(fixture, false);
	wait_job_state(fixture, 0, "00000000000000d5", "completed");
	assert_int_equal(send_request(fixture, 0, "GET", "/q/00000000000000d6",
				      NULL, NULL),
			 410);
	/* the same caller retries with the same id */
	submit_job(fixture, 0, "00000000000000d6");
	wait_job_state(fixture, 0, "00000000000000d6", "completed");
}

/*
 * Guards against a stopped process that exceeds its grace period and is killed.
 * While the store is silent and callers of another process wait for it, its
 * threads waited until the deadlines of their requests.
 */
static void a_stopped_process_ends_in_time_while_callers_wait(void **state)
{
	fixture_t *fixture = *state;
	background_request_t background[PROCESSES] = {
		{ .fixture = fixture, .target = "/q/00000000000000d1" },
		{ .fixture = fixture,
		  .index = 1,
		  .target = "/q/00000000000000d2" },
	};
	GThread *threads[PROCESSES];

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	set_store_silent(fixture, true);
	fixture->deadline_ms = "9000";
	for (int32_t i = 0; i < PROCESSES; i++)
		threads[i] = g_thread_new("caller", run_background_request,
					  &background[i]);
	g_usleep(300 * 1000);
	for (int32_t i = 0; i < PROCESSES; i++) {
		int64_t begun_ms = standin_now_ms();

		stop_process(fixture, i);
		assert_true(standin_now_ms() - begun_ms < GRACE_MS);
	}
	for (int32_t i = 0; i < PROCESSES; i++) {
		g_thread_join(threads[i]);
		assert_int_not_equal(background[i].status, 200);
	}
	set_store_silent(fixture, false);
}

/*
 * Guards against a last try, with some milliseconds left, that is answered as unknown
 * and may be accepted for a caller that has left.
 */
static void a_submission_without_time_is_refused_at_once(void **state)
{
	fixture_t *fixture = *state;
	const char *usual = fixture->deadline_ms;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	for (int32_t i = 0; i < PROCESSES; i++) {
		fixture->deadline_ms = "70";
		assert_int_equal(send_request(fixture, i, "POST",
					      "/q/00000000000000e1",
					      "{\"spec\":\"text\",\"phases\":[{"
					      "\"count\":1}]}",
					      NULL),
				 503);
		fixture->deadline_ms = usual;
		assert_int_equal(send_request(fixture, i, "GET",
					      "/q/00000000000000e1", NULL,
					      NULL),
				 410);
	}
}

/* A job of one task, with a text of this size for it. */
static char *job_with_text(gsize size)
{
	char *text = g_strnfill(size, 'x');
	char *job = g_strdup_printf("{\"spec\":\"%s\",\"phases\":[{"
				    "\"count\":1,\"cpu\":1000,\"memMb\":100,"
				    "\"estimateMs\":100}]}",
				    text);

	g_free(text);
	return job;
}

/*
 * Guards against a job whose record is larger than the store takes: it was accepted,
 * or held up all others. Its caller is told that it never runs, whether the settings
 * or only the store know the bound.
 */
static void a_job_that_the_store_can_not_keep_is_rejected(void **state)
{
	static const gsize sizes[] = { 300000, 4000 };
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	fixture->standin->record_max_bytes = 2000;
	for (int32_t i = 0; i < PROCESSES; i++) {
		for (gsize k = 0; k < G_N_ELEMENTS(sizes); k++) {
			char *job = job_with_text(sizes[k]);

			assert_int_equal(send_request(fixture, i, "POST",
						      "/q/00000000000000e2",
						      job, NULL),
					 413);
			assert_int_equal(send_request(fixture, i, "GET",
						      "/q/00000000000000e2",
						      NULL, NULL),
					 410);
			g_free(job);
		}
	}
	submit_job(fixture, 0, "00000000000000e3");
	wait_job_state(fixture, 0, "00000000000000e3", "completed");
}

/*
 * Guards against a job that runs although its cancelling was acknowledged with 410:
 * its submission arrives later, at any process and after a change of holder.
 */
static void a_job_that_is_cancelled_before_it_comes_never_runs(void **state)
{
	static const char job[] = "{\"spec\":\"text\",\"phases\":[{\"count\":1,"
				  "\"cpu\":1000,\"memMb\":100}]}";
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	for (int32_t i = 0; i < PROCESSES; i++) {
		char *target = g_strdup_printf("/q/00000000000000f%d", i);

		assert_int_equal(
			send_request(fixture, i, "DELETE", target, NULL, NULL),
			410);
		g_free(target);
	}
	stop_process(fixture, 0);
	wait_ready(fixture, 1);
	for (int32_t i = 0; i < PROCESSES; i++) {
		char *target = g_strdup_printf("/q/00000000000000f%d", i);
		char *text;

		assert_int_equal(
			send_request(fixture, 1, "GET", target, NULL, NULL),
			410);
		assert_int_equal(
			send_request(fixture, 1, "POST", target, job, NULL),
			200);
		assert_int_equal(
			send_request(fixture, 1, "GET", target, NULL, &text),
			200);
		assert_string_equal(text, "{\"state\":\"canceled\"}");
		g_free(text);
		g_free(target);
	}
	g_usleep(500 * 1000);
	assert_int_equal(g_hash_table_size(fixture->standin->starts), 0);
}

static void malformed_requests_get_the_matching_error_status(void **state)
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
			assert_int_equal(send_request(fixture, k,
						      cases[i].method,
						      cases[i].target,
						      cases[i].body, NULL),
					 cases[i].status);
	}
}

static void put_record(fixture_t *fixture, const char *topic, const char *part,
		       const char *key, const char *value)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, topic, part, key, value, strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

/* Returns a counter of a process's metrics page; -1: not on the page. */
static int64_t read_metric(fixture_t *fixture, int32_t index, const char *name)
{
	int32_t callers = fixture->ports[index];
	int64_t value = -1;
	char *text;
	char *line;
	char *at;

	fixture->ports[index] = fixture->peer_ports[index];
	assert_int_equal(
		send_request(fixture, index, "GET", "/metrics", NULL, &text),
		200);
	fixture->ports[index] = callers;
	/* only at the beginning of a line, because type lines name it too */
	line = g_strconcat("\n", name, NULL);
	at = strstr(text, line);
	if (at != NULL)
		value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	g_free(line);
	g_free(text);
	return value;
}

/* Waits until the sum over all processes is wanted. */
static void wait_metric_sum(fixture_t *fixture, const char *name,
			    int64_t wanted)
{
	int64_t sum = -1;

	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50 && sum != wanted; i++) {
		g_usleep(50 * 1000);
		sum = 0;
		for (int32_t k = 0; k < PROCESSES; k++)
			sum += read_metric(fixture, k, name);
	}
	assert_int_equal(sum, wanted);
}

/*
 * Guards against processes that stop because another writer left unreadable
 * records in the lists that they follow: a configuration in which a queue has
 * lost its service, a wave without hosts, an invalid notice of the holder, an
 * invalid entry of an upstream. Callers' queues stay as they are, their jobs
 * are completed, and the metrics count the unreadable records. A repaired
 * configuration is put in force.
 */
static void unreadable_records_stop_no_process(void **state)
{
	static const char bad[] =
		"{\"version\":8,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\"}],\"services\":[]}";
	static const char repaired[] =
		"{\"version\":9,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\",\"service\":\"" STANDIN_POOL "\"},"
		"{\"name\":\"r2\",\"host\":\"h\",\"pathPrefix\":\"/r/\","
		"\"service\":\"" STANDIN_POOL "\"}],\"services\":["
		"{\"name\":\"" STANDIN_POOL "\"}]}";
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	put_record(fixture, "keyed.op", "0", "config", bad);
	put_record(fixture, "keyed.op", "0", "wave/1", "{\"wave\":1}");
	put_record(fixture, "keyed.wwh", "1", "holder",
		   "9223372036854775807 x");
	put_record(fixture, "keyed.servers", "0", "u0", "\xff\xfe");
	/* both processes follow three of the lists, the holder a fourth */
	wait_metric_sum(fixture, UNREADABLE_NOW, 3 * PROCESSES + 1);
	submit_job(fixture, 0, "00000000000000e0");
	submit_job(fixture, 1, "00000000000000e1");
	wait_job_state(fixture, 1, "00000000000000e0", "completed");
	wait_job_state(fixture, 0, "00000000000000e1", "completed");
	put_record(fixture, "keyed.op", "0", "config", repaired);
	put_record(fixture, "keyed.op", "0", "wave/1", "");
	wait_metric_sum(fixture, UNREADABLE_NOW, PROCESSES + 1);
	for (int32_t i = 0; i < PROCESSES; i++) {
		assert_int_equal(
			send_request(fixture, i, "GET", "/r/", NULL, NULL),
			200);
	}
}

static int run_key_tests(void)
{
	const struct CMUnitTest tests[] = { KEY_TESTS };

	return cmocka_run_group_tests_name("keys", tests, NULL, NULL);
}

static int run_relay_tests(void)
{
	const struct CMUnitTest tests[] = { RELAY_TESTS };

	return cmocka_run_group_tests_name("relays", tests, NULL, NULL);
}

static int run_change_tests(void)
{
	const struct CMUnitTest tests[] = { CHANGE_TESTS };

	return cmocka_run_group_tests_name("changes", tests, NULL, NULL);
}

static int run_stop_tests(void)
{
	const struct CMUnitTest tests[] = {
		SERVICE_TEST(another_process_takes_over_from_one_that_stops),
		SERVICE_TEST(a_stopped_holder_waits_for_its_orders_to_hosts),
		SERVICE_TEST(
			a_slow_process_holds_the_shard_only_if_no_other_does),
		SERVICE_TEST(a_stopped_process_ends_in_time_while_callers_wait),
		SERVICE_TEST(
			started_processes_restore_all_jobs_from_newest_records),
	};

	return cmocka_run_group_tests_name("stops", tests, NULL, NULL);
}

static int run_caller_tests(void)
{
	const struct CMUnitTest tests[] = {
		SERVICE_TEST(a_job_runs_whichever_process_receives_it),
		SERVICE_TEST(
			a_job_is_not_reported_refused_while_the_store_is_silent),
		SERVICE_TEST(
			callers_are_rejected_at_once_while_the_store_is_busy),
		SERVICE_TEST(a_job_that_was_never_sent_to_the_store_is_refused),
		SERVICE_TEST(unreadable_records_stop_no_process),
		SERVICE_TEST(a_submission_without_time_is_refused_at_once),
		SERVICE_TEST(
			a_job_that_is_cancelled_before_it_comes_never_runs),
		SERVICE_TEST(a_job_that_the_store_can_not_keep_is_rejected),
		SERVICE_TEST(malformed_requests_get_the_matching_error_status),
	};

	return cmocka_run_group_tests_name("callers", tests, NULL, NULL);
}

/* Runs one group of tests, or all without an argument. */
int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(void);
	} groups[] = {
		{ "keys", run_key_tests },     { "changes", run_change_tests },
		{ "stops", run_stop_tests },   { "callers", run_caller_tests },
		{ "relays", run_relay_tests },
	};
	int failed = 0;
	bool found = false;

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		if (argc > 1 && strcmp(argv[1], groups[i].name) != 0)
			continue;
		found = true;
		failed += groups[i].run();
	}
	if (!found)
		fprintf(stderr, "%s: no group of tests is called %s\n", argv[0],
			argv[1]);
	return found ? failed : EXIT_FAILURE;
}
