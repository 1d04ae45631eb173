/*
 * Whole processes of the job service on a stand-in of the platform: what
 * callers are told when holders end, the store is silent, or bodies are
 * malformed.
 */

#include "../test_standins/include/free_port.h"
#include "../test_standins/include/standin_jobs.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwinghollow/job_service.h"
#include "waxwinghollow/upstream.h"

#define PROCESSES 2
#define WAIT_LIMIT_MS 15000
#define GRACE_MS 3000
/*
 * From the store's first refusal until a job is accepted again: two questions
 * to the holder, a call to the group between them, a claim, and what callers
 * wait between two tries.
 */
#define HAND_OVER_MS 1800
#define UNREADABLE_NOW "waxwinghollow_records_unreadable_now "

typedef struct {
	standin_t *standin;
	wwh_job_service_t *services[PROCESSES];
	int32_t ports[PROCESSES]; /* of callers */
	int32_t peer_ports[PROCESSES];
	int64_t cpu_permille[PROCESSES]; /* 0: as by default */
	wwh_counters_t *counters;
	wwh_upstream_t *client;
	int log_fd;
	const char *patience_ms; /* of callers */
} fixture_t;

typedef struct {
	fixture_t *fixture;
	int32_t index;
	const char *target;
	int32_t status;
} asker_t;

static void start_process(fixture_t *fixture, int32_t index)
{
	wwh_host_settings_t settings;
	wwh_message_t message = { "" };
	int32_t store = wwh_listener_port(fixture->standin->store);

	wwh_host_settings_init(&settings);
	settings.name = g_strdup_printf("p%d", index);
	settings.callers.address = g_strdup("127.0.0.1");
	settings.callers.port = standin_free_port();
	settings.readiness.address = g_strdup("127.0.0.1");
	settings.readiness.port = standin_free_port();
	settings.peers.address = g_strdup("127.0.0.1");
	settings.peers.port = standin_free_port();
	settings.store = g_strdup_printf("127.0.0.1:%d", store);
	settings.hosts = g_strdup_printf("127.0.0.1:%d", store);
	settings.grace_ms = GRACE_MS;
	if (fixture->cpu_permille[index] != 0)
		settings.cpu_permille = fixture->cpu_permille[index];
	fixture->ports[index] = settings.callers.port;
	fixture->peer_ports[index] = settings.peers.port;
	fixture->services[index] =
		wwh_job_service_new(&settings, fixture->log_fd);
	assert_int_equal(
		wwh_job_service_init(fixture->services[index], &message),
		WWH_STATUS_OK);
}

static void stop_process(fixture_t *fixture, int32_t index)
{
	(void)wwh_job_service_finish(fixture->services[index]);
	wwh_job_service_delete(fixture->services[index]);
	fixture->services[index] = NULL;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_upstream_options_t options = wwh_upstream_options_defaults();

	fixture->standin = standin_new();
	fixture->patience_ms = "1500";
	fixture->counters = wwh_counters_new();
	fixture->client = wwh_upstream_new(&options, fixture->counters);
	fixture->log_fd = open("/dev/null", O_WRONLY);
	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < PROCESSES; i++) {
		if (fixture->services[i] != NULL)
			stop_process(fixture, i);
	}
	wwh_upstream_delete(fixture->client);
	wwh_counters_delete(fixture->counters);
	close(fixture->log_fd);
	assert_int_equal(fixture->standin->twice, 0);
	standin_delete(fixture->standin);
	g_free(fixture);
	return 0;
}

/* The status of one request; *text gets the body, to be freed. */
static int32_t ask(fixture_t *fixture, int32_t index, const char *method,
		   const char *target, const char *body, char **text)
{
	wwh_headers_t *headers = wwh_headers_new();
	wwh_http_request_t http = {
		.method = method,
		.target = target,
		.headers = headers,
		.body = (const uint8_t *)body,
		.body_size = body == NULL ? 0 : strlen(body),
		.caller_fd = -1,
	};
	wwh_upstream_request_t request = {
		.address = "127.0.0.1",
		.port = fixture->ports[index],
		.http = &http,
		.timeout_ms = WAIT_LIMIT_MS,
		.max_answer_bytes = 1 << 20,
		.max_connections = 16,
	};
	wwh_upstream_answer_t answer;
	int32_t status = 0;

	wwh_headers_add(headers, "Host", "h");
	wwh_headers_add(headers, "Waxwinghollow-Deadline-Ms",
			fixture->patience_ms);
	wwh_upstream_send(fixture->client, &request, &answer);
	status = answer.outcome == WWH_UPSTREAM_ANSWERED ||
				 answer.outcome == WWH_UPSTREAM_REFUSED
			 ? answer.response.status
			 : 0;
	if (text != NULL)
		*text = g_strndup((char *)answer.response.body->data,
				  answer.response.body->len);
	wwh_http_response_clear(&answer.response);
	wwh_headers_delete(headers);
	return status;
}

static void wait_ready(fixture_t *fixture, int32_t index)
{
	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50; i++) {
		if (ask(fixture, index, "GET", "/q/", NULL, NULL) == 200)
			return;
		g_usleep(50 * 1000);
	}
	fail_msg("process %d doesn't serve", index);
}

static void submit(fixture_t *fixture, int32_t index, const char *id)
{
	static const char job[] =
		"{\"spec\":\"text\",\"phases\":[{\"count\":3,\"cpu\":1000,"
		"\"memMb\":100,\"estimateMs\":300},{\"count\":2,\"cpu\":1000,"
		"\"memMb\":100,\"estimateMs\":300,\"dependsOn\":[0]}]}";
	char *target = g_strconcat("/q/", id, NULL);
	int32_t status = 0;

	/* as callers do: again with the same id while it isn't accepted */
	for (int32_t i = 0; i < 100 && status != 200; i++) {
		status = ask(fixture, index, "POST", target, job, NULL);
		if (status != 200)
			g_usleep(100 * 1000);
	}
	assert_int_equal(status, 200);
	g_free(target);
}

static void wait_state(fixture_t *fixture, int32_t index, const char *id,
		       const char *state)
{
	char *target = g_strconcat("/q/", id, NULL);
	char *wanted = g_strdup_printf("{\"state\":\"%s\"}", state);
	bool found = false;

	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50 && !found; i++) {
		char *text;
		int32_t status =
			ask(fixture, index, "GET", target, NULL, &text);

		/* an accepted job is never unknown */
		assert_int_not_equal(status, 410);
		found = strcmp(text, wanted) == 0;
		g_free(text);
		if (!found)
			g_usleep(50 * 1000);
	}
	if (!found)
		fail_msg("job %s doesn't become %s", id, state);
	g_free(target);
	g_free(wanted);
}

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

/* What a process says of the shard to others. */
static int32_t shard_status(fixture_t *fixture, int32_t index)
{
	int32_t callers = fixture->ports[index];
	int32_t status;

	fixture->ports[index] = fixture->peer_ports[index];
	status = ask(fixture, index, "GET", "/v1/shard", NULL, NULL);
	fixture->ports[index] = callers;
	return status;
}

static int32_t holder_of(fixture_t *fixture)
{
	for (int32_t i = 0; i < PROCESSES; i++) {
		if (shard_status(fixture, i) == 200)
			return i;
	}
	fail_msg("nobody holds the shard");
	return 0;
}

/* The store refuses the holder's records, and the group names the other. */
static void turn_away(fixture_t *fixture, int32_t holder)
{
	standin_t *standin = fixture->standin;

	g_mutex_lock(&standin->lock);
	standin->refused_epoch = standin_part(standin, "keyed.wwh", "0")->epoch;
	g_free(standin->member);
	standin->member = g_strdup_printf("127.0.0.1:%d",
					  fixture->peer_ports[1 - holder]);
	standin->member_ms = standin_now_ms();
	standin->generation++;
	g_mutex_unlock(&standin->lock);
}

/*
 * The store turns the holder away, as it can for seconds, and serves the other
 * process. Callers were turned away for two seconds and more, until that one
 * took the holder for lost; now it asks the holder to give the shard up. What
 * runs goes on, and nothing runs twice.
 */
static void a_holder_that_the_store_turns_away_hands_over(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms;
	int32_t holder;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->task_ms = 1500;
	g_mutex_unlock(&fixture->standin->lock);
	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	holder = holder_of(fixture);
	submit(fixture, 0, "00000000000000d0");
	turn_away(fixture, holder);
	begun_ms = standin_now_ms();
	submit(fixture, 0, "00000000000000d1");
	assert_true(standin_now_ms() - begun_ms < HAND_OVER_MS);
	assert_int_equal(holder_of(fixture), 1 - holder);
	assert_int_equal(shard_status(fixture, holder), 410);
	wait_state(fixture, 1, "00000000000000d0", "completed");
	wait_state(fixture, 0, "00000000000000d1", "completed");
}

/* The holder is stopped; the other goes on with what runs. */
static void another_process_takes_over_from_one_that_stops(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->task_ms = 1000;
	g_mutex_unlock(&fixture->standin->lock);
	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	submit(fixture, 0, "00000000000000c0");
	stop_process(fixture, 0);
	wait_state(fixture, 1, "00000000000000c0", "completed");
	submit(fixture, 1, "00000000000000c1");
	wait_state(fixture, 1, "00000000000000c1", "completed");
}

/* Who gave the last order to a host, and how many there were. */
static int32_t host_orders(fixture_t *fixture, char caller[16])
{
	int32_t count;

	g_mutex_lock(&fixture->standin->lock);
	count = fixture->standin->host_orders;
	g_strlcpy(caller, fixture->standin->host_caller, 16);
	g_mutex_unlock(&fixture->standin->lock);
	return count;
}

/* The caller of the first order to a host that name didn't give. */
static void wait_host_order(fixture_t *fixture, const char *name,
			    char caller[16])
{
	for (int32_t i = 0; i < WAIT_LIMIT_MS / 10; i++) {
		if (host_orders(fixture, caller) > 0 &&
		    strcmp(caller, name) != 0)
			return;
		g_usleep(10 * 1000);
	}
	fail_msg("no order to a host but by %s", name);
}

/*
 * The holder is stopped while a wave runs and its orders to hosts are slow.
 * The next holder gave its first ones beside them, as the shard had been given
 * up: together they take more hosts down than the wave allows.
 */
static void a_stopped_holder_waits_for_its_orders_to_hosts(void **state)
{
	static const char hosts[] =
		"{\"machine\":\"h1\",\"pool\":\"desk\",\"state\":\"up\"},"
		"{\"machine\":\"h2\",\"pool\":\"desk\",\"state\":\"up\"}";
	static const char wave[] = "{\"wave\":1,\"machines\":[\"h1\",\"h2\"],"
				   "\"durationS\":20,\"maxCount\":1}";
	fixture_t *fixture = *state;
	char first[16];
	char next[16];
	int32_t overlaps;

	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->hosts = hosts;
	fixture->standin->host_delay_ms = 1200;
	standin_put(fixture->standin, "keyed.op", "0", "wave/1", wave,
		    strlen(wave));
	g_mutex_unlock(&fixture->standin->lock);
	wait_host_order(fixture, "", first);
	stop_process(fixture, strcmp(first, "p0") == 0 ? 0 : 1);
	wait_host_order(fixture, first, next);
	g_mutex_lock(&fixture->standin->lock);
	overlaps = fixture->standin->host_overlaps;
	g_mutex_unlock(&fixture->standin->lock);
	assert_int_equal(overlaps, 0);
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

/*
 * A process with a tenth of a core takes requests and leaves the shard to
 * the other one, until that one is gone.
 */
static void
a_slow_process_holds_the_shard_only_if_nobody_else_does(void **state)
{
	fixture_t *fixture = *state;
	char *slow;

	for (int32_t i = 0; i < PROCESSES; i++)
		stop_process(fixture, i);
	fixture->cpu_permille[0] = 100;
	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	slow = g_strdup_printf("127.0.0.1:%d", fixture->peer_ports[0]);
	g_mutex_lock(&fixture->standin->lock);
	assert_string_not_equal(fixture->standin->member, slow);
	g_mutex_unlock(&fixture->standin->lock);
	submit(fixture, 0, "00000000000000f0");
	stop_process(fixture, 1);
	wait_state(fixture, 0, "00000000000000f0", "completed");
	g_mutex_lock(&fixture->standin->lock);
	assert_string_equal(fixture->standin->member, slow);
	g_mutex_unlock(&fixture->standin->lock);
	g_free(slow);
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
