#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "private/entry_internal.h"
#include "private/entry_log.h"
#include "waxwinghollow/entry.h"
#include "waxwinghollow/platform_http.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/snapshot.h"
#include "waxwinghollow/upstream.h"

#include "../test_standins/include/free_port.h"
#include "../test_standins/include/minion_server.h"

#define ENTRIES 2
#define TRIMMED_LOG_ENTRY ENTRIES /* started by one test */
#define OLD_SNAPSHOT_ENTRY (ENTRIES + 1) /* started by another test */
#define ENTRIES_MAX (ENTRIES + 2)
#define WAIT_LIMIT_MS 15000
#define FILLERS_AT_ONCE 200 /* records by which a process may lag */

static char platform_program[] = WWH_BINARY_DIR "/platform";

/* Entries, the stand-in platform and minion that they use, and a client. */
typedef struct {
	GPid platform_pid;
	char *platform_url;
	int32_t platform_port;
	minion_server_t *minion;
	wwh_settings_t settings[ENTRIES_MAX];
	wwh_entry_t *entries[ENTRIES_MAX];
	wwh_counters_t *counters;
	wwh_upstream_t *client;
} fixture_t;

/* The response that a caller or operator received. */
typedef struct {
	wwh_upstream_outcome_t outcome;
	int32_t status;
	char run[32];
	char *body;
} reply_t;

static void reply_clear(reply_t *reply)
{
	g_free(reply->body);
	reply->body = NULL;
}

static void send_request(fixture_t *fixture, int32_t port, const char *method,
			 const char *target, const char *key,
			 const uint8_t *body, size_t size, reply_t *reply)
{
	wwh_headers_t *headers = wwh_headers_new();
	wwh_http_request_t http = {
		.method = method,
		.target = target,
		.headers = headers,
		.body = body,
		.body_size = size,
		.caller_fd = -1,
	};
	wwh_upstream_request_t request = {
		.address = "127.0.0.1",
		.port = port,
		.http = &http,
		.timeout_ms = WAIT_LIMIT_MS,
		.max_answer_bytes = 1 << 20,
		.max_connections = 64,
	};
	wwh_upstream_answer_t answer;
	const char *run;

	wwh_headers_add(headers, "Host", "h");
	if (g_str_has_prefix(target, "/log/")) {
		static int32_t appends;
		/* the id begins with the lowest offset the record may get */
		char *id = g_strdup_printf("%016x%016x", ++appends, 0);

		wwh_headers_add(headers, "Append-Id", id);
		g_free(id);
	}
	if (key != NULL) {
		wwh_headers_add(headers, "Idempotency-Key", key);
		wwh_headers_add(headers, "X-Request-Id", key);
	}
	wwh_upstream_send(fixture->client, &request, &answer);
	reply->outcome = answer.outcome;
	reply->status = answer.response.status;
	run = wwh_headers_get(answer.response.headers, WWH_HEADER_RUN);
	g_strlcpy(reply->run, run != NULL ? run : "", sizeof(reply->run));
	reply->body = g_strndup((char *)answer.response.body->data,
				answer.response.body->len);
	wwh_http_response_clear(&answer.response);
	wwh_headers_delete(headers);
}

static void call_service(fixture_t *fixture, int entry, const char *method,
			 const char *target, const char *key, reply_t *reply)
{
	send_request(fixture, wwh_entry_caller_port(fixture->entries[entry]),
		     method, target, key, (const uint8_t *)"x", 1, reply);
}

static void set_fault(fixture_t *fixture, const char *text)
{
	char *target = g_strconcat("/fault?", text, NULL);
	reply_t reply;

	send_request(fixture, fixture->platform_port, "POST", target, NULL,
		     NULL, 0, &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	g_free(target);
}

/* Ends the stand-in platform also if an assertion of the set-up fails. */
static void kill_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_platform(fixture_t *fixture)
{
	int32_t port = standin_free_port();
	char *listen_on;
	reply_t reply;

	fixture->platform_port = port;
	fixture->platform_url = g_strdup_printf("http://127.0.0.1:%d", port);
	listen_on = g_strdup_printf("127.0.0.1:%d", port);
	{
		char *argv[] = { platform_program, "--listen", listen_on,
				 "--list-lag-ms",  "100",      NULL };

		assert_true(g_spawn_async(
			NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
			kill_with_parent, NULL, &fixture->platform_pid, NULL));
	}
	g_free(listen_on);
	for (int i = 0; i < 200; i++) {
		send_request(fixture, port, "GET", "/stats", NULL, NULL, 0,
			     &reply);
		reply_clear(&reply);
		if (reply.status == 200)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("the platform stand-in did not start");
}

static void report_error(const char *file, int32_t line, const char *text,
			 void *unused)
{
	(void)unused;
	print_message("%s:%d: %s\n", file, line, text);
}

static void write_settings(fixture_t *fixture, int index)
{
	char *text = g_strdup_printf(
		"{ \"process_id\": \"entry-%d\", \"availability_zone\": \"a\","
		"\"region\": \"r\", \"caller_listen\": \"127.0.0.1:%d\","
		"\"operator_listen\": \"127.0.0.1:%d\","
		"\"peer_listen\": \"127.0.0.1:%d\", \"platform_url\": \"%s\","
		"\"peers\": [\"%s\"], \"heartbeat_ms\": 200,"
		"\"suspect_after_ms\": 1000,"
		"\"log_append_timeout_ms\": 1000, \"ready_off_ms\": 0 }",
		index, standin_free_port(), standin_free_port(),
		standin_free_port(), fixture->platform_url,
		index > 0 ? fixture->settings[0].peer_listen : "127.0.0.1:1");
	wwh_config_text_t source = { "settings", text, strlen(text) };

	assert_int_equal(wwh_settings_parse(&source, &fixture->settings[index],
					    report_error, NULL),
			 WWH_STATUS_OK);
	g_free(text);
}

static void wait_ready(fixture_t *fixture, int index)
{
	reply_t reply;

	for (int i = 0; i < 500; i++) {
		send_request(fixture,
			     wwh_entry_operator_port(fixture->entries[index]),
			     "GET", "/v1/ready", NULL, NULL, 0, &reply);
		reply_clear(&reply);
		if (reply.status == 200)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("entry %d did not get ready", index);
}

/* A configuration with that service deadline, as a change from an empty one. */
static GBytes *make_change(fixture_t *fixture, int32_t deadline_ms)
{
	char *inventory = g_strdup_printf(
		"{ \"workers\": [{ \"id\": \"w1\", \"address\": \"127.0.1.1\","
		"\"rack\": \"r1\", \"zone\": \"a\", \"region\": \"r\","
		"\"pool\": \"p\", \"cores\": 4, \"memory_mb\": 100 }],"
		"\"minions\": [{ \"id\": \"m1\", \"service\": \"s\","
		"\"worker\": \"w1\", \"address\": \"127.0.0.1\","
		"\"port\": %d }] }",
		fixture->minion->port);
	char *rules = g_strdup_printf(
		"{ \"pools\": [{ \"id\": \"p\", \"lose_count\": 1 }],"
		"\"services\": [{ \"id\": \"s\", \"path_prefix\": \"/s\","
		"\"pool\": \"p\", \"team\": \"t\", \"deadline_ms\": %d }],"
		"\"teams\": [{ \"id\": \"t\", \"cores\": 4,"
		"\"memory_mb\": 100 }], \"windows\": [], \"rules\": {} }",
		deadline_ms);
	wwh_config_text_t sources[] = {
		{ "inventory", inventory, strlen(inventory) },
		{ "rules", rules, strlen(rules) },
	};
	wwh_config_t *empty = wwh_config_new();
	wwh_config_t *config = wwh_config_new();
	wwh_config_change_t *change;
	GBytes *bytes;

	assert_int_equal(wwh_config_parse(config, &sources[0], &sources[1],
					  report_error, NULL),
			 WWH_STATUS_OK);
	change = wwh_config_diff(empty, config);
	bytes = wwh_config_change_encode(change);
	wwh_config_change_delete(change);
	wwh_config_unref(config);
	wwh_config_unref(empty);
	g_free(inventory);
	g_free(rules);
	return bytes;
}

static void publish(fixture_t *fixture, int entry, int64_t base,
		    int32_t deadline_ms, reply_t *reply)
{
	GBytes *bytes = make_change(fixture, deadline_ms);
	char *target = g_strdup_printf(
		"/v1/publish?base=%" G_GINT64_FORMAT "&author=test", base);
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	send_request(fixture, wwh_entry_operator_port(fixture->entries[entry]),
		     "POST", target, NULL, data, size, reply);
	g_free(target);
	g_bytes_unref(bytes);
}

static int64_t config_version(fixture_t *fixture, int entry)
{
	reply_t reply;
	const char *at;
	int64_t version;

	send_request(fixture, wwh_entry_operator_port(fixture->entries[entry]),
		     "GET", "/v1/status", NULL, NULL, 0, &reply);
	at = strstr(reply.body, "\"config_version\" : ");
	/* the members' versions precede the process's own */
	for (const char *next = at; next != NULL;
	     next = strstr(next + 1, "\"config_version\" : "))
		at = next;
	assert_non_null(at);
	version =
		g_ascii_strtoll(at + strlen("\"config_version\" : "), NULL, 10);
	reply_clear(&reply);
	return version;
}

/* Waits until the entry has a configuration and a share of minion slots. */
static void wait_serving(fixture_t *fixture, int index)
{
	reply_t reply;

	for (int i = 0; i < 500; i++) {
		call_service(fixture, index, "GET", "/s/probe", NULL, &reply);
		reply_clear(&reply);
		if (reply.status == 200)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("entry %d does not serve", index);
}

static void start_entry(fixture_t *fixture, int index)
{
	wwh_message_t message;
	char *host;
	reply_t reply;

	write_settings(fixture, index);
	host = g_strdup_printf("/hosts/entry-%d?kind=entry&state=live&address="
			       "%s&zone=a",
			       index, fixture->settings[index].peer_listen);
	send_request(fixture, fixture->platform_port, "POST", host, NULL, NULL,
		     0, &reply);
	reply_clear(&reply);
	g_free(host);
	fixture->entries[index] = wwh_entry_new(&fixture->settings[index]);
	if (wwh_entry_init(fixture->entries[index], &message) != WWH_STATUS_OK)
		fail_msg("%s", message.text);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_upstream_options_t options = wwh_upstream_options_defaults();
	reply_t reply;

	signal(SIGPIPE, SIG_IGN);
	fixture->counters = wwh_counters_new();
	fixture->client = wwh_upstream_new(&options, fixture->counters);
	fixture->minion = minion_server_start("m1", 0, 0);
	start_platform(fixture);
	for (int i = 0; i < ENTRIES; i++)
		start_entry(fixture, i);
	for (int i = 0; i < ENTRIES; i++)
		wait_ready(fixture, i);
	publish(fixture, 0, 0, 3000, &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	for (int i = 0; i < ENTRIES; i++)
		wait_serving(fixture, i);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	for (int i = 0; i < ENTRIES_MAX; i++) {
		if (fixture->entries[i] == NULL)
			continue;
		wwh_entry_finish(fixture->entries[i]);
		wwh_entry_delete(fixture->entries[i]);
		wwh_settings_clear(&fixture->settings[i]);
	}
	kill(fixture->platform_pid, SIGKILL);
	waitpid(fixture->platform_pid, NULL, 0);
	minion_server_stop(fixture->minion);
	wwh_upstream_delete(fixture->client);
	wwh_counters_delete(fixture->counters);
	g_free(fixture->platform_url);
	g_free(fixture);
	return 0;
}

/*
 * A caller repeats a charge through another entry. The first one ran; the
 * repeat gets the first one's answer, and the charge runs once.
 */
static void a_repeat_through_another_entry_gets_the_first_answer(void **state)
{
	fixture_t *fixture = *state;
	reply_t first;
	reply_t again = { 0 };

	call_service(fixture, 0, "POST", "/s/charge", "key-1", &first);
	assert_int_equal(first.status, 200);
	assert_string_equal(first.run, "ran");
	for (int i = 0; i < 100; i++) {
		reply_clear(&again);
		call_service(fixture, 1, "POST", "/s/charge", "key-1", &again);
		if (again.status != 409)
			break;
		g_usleep(20 * 1000);
	}
	assert_int_equal(again.status, 200);
	assert_string_equal(again.run, "ran");
	assert_string_equal(again.body, first.body);
	assert_int_equal(minion_runs_of(fixture->minion, "key-1"), 1);
	reply_clear(&first);
	reply_clear(&again);
}

/*
 * The minion runs a charge and closes without an answer. The caller and every
 * repeat through either entry get "unknown", and none runs the charge again.
 */
static void a_lost_answer_stays_unknown_and_runs_once(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	minion_set_mode(fixture->minion, MINION_CLOSE);
	call_service(fixture, 0, "POST", "/s/charge", "key-2", &reply);
	assert_string_equal(reply.run, "unknown");
	reply_clear(&reply);
	minion_set_mode(fixture->minion, MINION_OK);
	for (int i = 0; i < 10; i++) {
		call_service(fixture, i % ENTRIES, "POST", "/s/charge", "key-2",
			     &reply);
		assert_string_equal(reply.run, "unknown");
		reply_clear(&reply);
	}
	assert_int_equal(minion_runs_of(fixture->minion, "key-2"), 1);
}

/*
 * The same key arrives with a different request. The second request is refused
 * and not run, since the recorded answer belongs to another charge.
 */
static void a_key_reused_for_another_request_is_refused(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	call_service(fixture, 0, "POST", "/s/charge", "key-3", &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	for (int i = 0; i < 100; i++) {
		call_service(fixture, 1, "POST", "/s/other", "key-3", &reply);
		if (reply.status == 422)
			break;
		reply_clear(&reply);
		g_usleep(20 * 1000);
	}
	assert_int_equal(reply.status, 422);
	assert_string_equal(reply.run, "not-run");
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "key-3"), 1);
}

/* Guards against a command's body that ends the process by its nesting. */
static void a_deeply_nested_command_is_refused(void **state)
{
	fixture_t *fixture = *state;
	char *body = g_strnfill(200000, '[');
	reply_t reply;

	send_request(fixture, wwh_entry_operator_port(fixture->entries[0]),
		     "POST", "/v1/job/submit", NULL, (const uint8_t *)body,
		     strlen(body), &reply);
	assert_int_equal(reply.status, 422);
	reply_clear(&reply);
	g_free(body);
}

/*
 * The platform's log is down. A keyed charge is refused as "not run" and does
 * not run; read requests are still served. When the log is up again, the same
 * key runs once.
 */
static void a_log_outage_refuses_only_keyed_requests(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply = { 0 };

	set_fault(fixture, "log_down=1");
	call_service(fixture, 0, "POST", "/s/charge", "key-4", &reply);
	assert_int_equal(reply.status, 503);
	assert_string_equal(reply.run, "not-run");
	reply_clear(&reply);
	call_service(fixture, 0, "GET", "/s/read", NULL, &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "key-4"), 0);
	set_fault(fixture, "log_down=0");
	for (int i = 0; i < 200; i++) {
		reply_clear(&reply);
		call_service(fixture, 0, "POST", "/s/charge", "key-4", &reply);
		if (reply.status == 200)
			break;
		g_usleep(50 * 1000);
	}
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "key-4"), 1);
}

/* Appends succeed but their answers are lost: no charge runs twice. */
static void lost_append_answers_run_no_charge_twice(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	set_fault(fixture, "lose_append_answers=50");
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("lost-%d", i);

		call_service(fixture, i % ENTRIES, "POST", "/s/charge", key,
			     &reply);
		if (strcmp(reply.run, "ran") == 0)
			assert_int_equal(minion_runs_of(fixture->minion, key),
					 1);
		else if (strcmp(reply.run, "not-run") == 0)
			assert_int_equal(minion_runs_of(fixture->minion, key),
					 0);
		assert_true(minion_runs_of(fixture->minion, key) <= 1);
		reply_clear(&reply);
		g_free(key);
	}
	set_fault(fixture, "lose_append_answers=0");
}

/*
 * Two operators publish changes of the same version through different entries.
 * One change comes into force everywhere, the other is rejected as stale; a
 * late repeat of the first one is rejected as well.
 */
static void only_one_of_two_concurrent_publications_is_accepted(void **state)
{
	fixture_t *fixture = *state;
	int64_t base = config_version(fixture, 0);
	reply_t first;
	reply_t second;

	publish(fixture, 0, base, 2500, &first);
	publish(fixture, 1, base, 2600, &second);
	assert_int_equal(first.status, 200);
	assert_int_equal(second.status, 409);
	assert_non_null(strstr(second.body, "stale-base"));
	for (int i = 0; i < ENTRIES; i++) {
		for (int j = 0; config_version(fixture, i) != base + 1; j++) {
			assert_true(j < 200);
			g_usleep(20 * 1000);
		}
	}
	reply_clear(&first);
	reply_clear(&second);
	publish(fixture, 0, base, 2500, &first);
	assert_int_equal(first.status, 409);
	assert_int_equal(config_version(fixture, 1), base + 1);
	reply_clear(&first);
}

/*
 * The log is down for longer than a lease of seats lasts. Both entries still
 * answer read requests: no member can be evicted without the log, so the
 * members renew each other's leases by their votes.
 */
static void a_log_outage_longer_than_a_lease_stops_no_entry(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	set_fault(fixture, "log_down=1");
	g_usleep(6 * G_USEC_PER_SEC);
	for (int i = 0; i < 2 * ENTRIES; i++) {
		call_service(fixture, i % ENTRIES, "GET", "/s/read", NULL,
			     &reply);
		assert_int_equal(reply.status, 200);
		reply_clear(&reply);
	}
	set_fault(fixture, "log_down=0");
}

/*
 * A minion reports to one entry that it is leaving. Within a few seconds the
 * other entry sends it no requests either, although the platform still lists it
 * as live.
 */
static void a_leaving_minion_gets_no_requests_from_any_entry(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply = { 0 };
	int64_t runs;

	minion_set_mode(fixture->minion, MINION_LEAVING);
	call_service(fixture, 0, "GET", "/s/last", NULL, &reply);
	reply_clear(&reply);
	for (int i = 0; i < 200; i++) {
		char *text;

		send_request(fixture,
			     wwh_entry_operator_port(fixture->entries[1]),
			     "GET", "/v1/counters", NULL, NULL, 0, &reply);
		text = strstr(reply.body, "minions.leaving 1");
		reply_clear(&reply);
		if (text != NULL)
			break;
		g_usleep(50 * 1000);
	}
	runs = fixture->minion->total_runs;
	for (int i = 0; i < ENTRIES; i++) {
		call_service(fixture, i, "GET", "/s/none", NULL, &reply);
		assert_int_equal(reply.status, 503);
		assert_string_equal(reply.run, "not-run");
		reply_clear(&reply);
	}
	assert_int_equal(fixture->minion->total_runs, runs);
	minion_set_mode(fixture->minion, MINION_OK);
}

static void wait_replayed(fixture_t *fixture, int entry, int64_t offset)
{
	wwh_entry_log_t *log = fixture->entries[entry]->log;

	for (int i = 0; i < WAIT_LIMIT_MS / 20; i++) {
		if (wwh_entry_log_offset(log, WWH_STREAM_CONTROL) >= offset)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("entry %d did not replay up to %" G_GINT64_FORMAT, entry,
		 offset);
}

/*
 * The records that a new process would replay are trimmed from the log. It
 * restores a snapshot that another process published, and has the same
 * configuration in force as the others.
 *
 * The id of a record holds a lower bound of its offset. If a process lags
 * behind the fillers by more than the trimmed log holds, the bound of its next
 * record is below the log's first offset. A new process then can't know whether
 * an earlier copy was trimmed, and correctly waits for the next snapshot. So
 * the test waits for the processes to catch up every FILLERS_AT_ONCE records.
 */
static void a_new_process_restores_a_snapshot_of_a_trimmed_log(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply = { 0 };

	for (int i = 0; i < 4200; i++) {
		send_request(fixture, fixture->platform_port, "POST",
			     "/log/control", NULL, (const uint8_t *)"filler", 6,
			     &reply);
		assert_int_equal(reply.status, 200);
		reply_clear(&reply);
		for (int j = 0; i % FILLERS_AT_ONCE == 0 && j < ENTRIES; j++)
			wait_replayed(fixture, j, i);
	}
	for (int i = 0;; i++) {
		bool published = false;

		for (int j = 0; j < ENTRIES; j++) {
			send_request(
				fixture,
				wwh_entry_operator_port(fixture->entries[j]),
				"GET", "/v1/counters", NULL, NULL, 0, &reply);
			published = published ||
				    strstr(reply.body,
					   "snapshots.published 1") != NULL;
			reply_clear(&reply);
		}
		if (published)
			break;
		assert_true(i < 400);
		g_usleep(50 * 1000);
	}
	g_usleep(200 * 1000);
	/*
	 * The offsets in the fillers' ids are lower than their real ones, by as
	 * many records as the processes wrote. With ids from before the log's
	 * first offset a new process correctly restores nothing, so the log is
	 * trimmed well below those ids.
	 */
	set_fault(fixture, "trim_to=control:3000");
	start_entry(fixture, TRIMMED_LOG_ENTRY);
	wait_ready(fixture, TRIMMED_LOG_ENTRY);
	assert_int_equal(config_version(fixture, TRIMMED_LOG_ENTRY),
			 config_version(fixture, 0));
}

/* Makes the minion answer, and waits until both entries use it again. */
static void restore_minion(fixture_t *fixture)
{
	minion_set_mode(fixture->minion, MINION_OK);
	for (int i = 0; i < ENTRIES; i++)
		wait_serving(fixture, i);
}

/* The value of the entry's counter of that name; 0 if there is none. */
static int64_t read_counter(fixture_t *fixture, int entry, const char *name)
{
	char *line = g_strdup_printf("\n%s ", name);
	const char *at;
	int64_t value = 0;
	reply_t reply;

	send_request(fixture, wwh_entry_operator_port(fixture->entries[entry]),
		     "GET", "/v1/counters", NULL, NULL, 0, &reply);
	at = strstr(reply.body, line);
	if (at != NULL)
		value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	reply_clear(&reply);
	g_free(line);
	return value;
}

/* Sends a request on a new connection and returns the open socket. */
static int send_without_reading(fixture_t *fixture, int entry,
				const char *method, const char *key)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)wwh_entry_caller_port(
			fixture->entries[entry])),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	char *text = g_strdup_printf("%s /s/charge HTTP/1.1\r\nHost: h\r\n"
				     "Idempotency-Key: %s\r\n"
				     "X-Request-Id: %s\r\n"
				     "Content-Length: 1\r\n\r\nx",
				     method, key, key);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
	g_free(text);
	return fd;
}

/* Repeats the call until its key is not in progress; reply is the last one. */
static void call_until_settled(fixture_t *fixture, int entry, const char *key,
			       reply_t *reply)
{
	for (int i = 0; i < 200; i++) {
		call_service(fixture, entry, "POST", "/s/charge", key, reply);
		if (strstr(reply->body, "key-in-progress") == NULL)
			return;
		reply_clear(reply);
		g_usleep(20 * 1000);
	}
	fail_msg("key %s stays in progress", key);
}

/*
 * The minion runs a charge and answers with an error. That is an answer: the
 * caller and a repeat get it, with "ran", and the charge runs once.
 */
static void an_error_answer_of_a_minion_is_recorded_and_replayed(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	minion_set_mode(fixture->minion, MINION_FAIL);
	call_service(fixture, 0, "POST", "/s/charge", "fail-1", &reply);
	restore_minion(fixture);
	assert_int_equal(reply.status, 500);
	assert_string_equal(reply.run, "ran");
	reply_clear(&reply);
	call_until_settled(fixture, 1, "fail-1", &reply);
	assert_int_equal(reply.status, 500);
	assert_string_equal(reply.run, "ran");
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "fail-1"), 1);
}

/*
 * The minion's answer exceeds the service's limit. The charge ran: the caller
 * and a repeat get "ran", without the answer.
 */
static void a_charge_whose_answer_is_too_large_did_run(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	call_service(fixture, 0, "POST", "/s/charge?bytes=20000000", "large-1",
		     &reply);
	assert_int_equal(reply.status, 502);
	assert_string_equal(reply.run, "ran");
	reply_clear(&reply);
	for (int i = 0; i < 200; i++) {
		call_service(fixture, 1, "POST", "/s/charge?bytes=20000000",
			     "large-1", &reply);
		if (strstr(reply.body, "key-in-progress") == NULL)
			break;
		reply_clear(&reply);
		g_usleep(20 * 1000);
	}
	assert_int_equal(reply.status, 409);
	assert_string_equal(reply.run, "ran");
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "large-1"), 1);
}

/*
 * The minion refuses a charge before running it. The caller gets "not run", and
 * the same key runs when the minion accepts requests again.
 */
static void a_refused_charge_may_be_repeated(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	minion_set_mode(fixture->minion, MINION_REFUSE);
	call_service(fixture, 0, "POST", "/s/charge", "refuse-1", &reply);
	restore_minion(fixture);
	assert_int_equal(reply.status, 503);
	assert_string_equal(reply.run, "not-run");
	reply_clear(&reply);
	for (int i = 0; i < 100; i++) {
		call_until_settled(fixture, i % ENTRIES, "refuse-1", &reply);
		if (reply.status == 200)
			break;
		assert_string_equal(reply.run, "not-run");
		reply_clear(&reply);
		g_usleep(50 * 1000);
	}
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "refuse-1"), 1);
}

/*
 * The minion doesn't answer before the deadline. The caller and a repeat get
 * "unknown", and the charge is sent once.
 */
static void a_deadline_after_sending_is_unknown(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	minion_set_mode(fixture->minion, MINION_SILENT);
	call_service(fixture, 0, "POST", "/s/charge", "silent-1", &reply);
	restore_minion(fixture);
	assert_int_equal(reply.status, 504);
	assert_string_equal(reply.run, "unknown");
	reply_clear(&reply);
	call_until_settled(fixture, 1, "silent-1", &reply);
	assert_int_equal(reply.status, 409);
	assert_string_equal(reply.run, "unknown");
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "silent-1"), 1);
}

/*
 * A caller closes its connection after its charge was sent. The entry records
 * "unknown": a repeat gets that and does not run the charge again.
 */
static void a_caller_gone_after_sending_leaves_the_key_unknown(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;
	int fd;

	minion_set_mode(fixture->minion, MINION_SILENT);
	fd = send_without_reading(fixture, 0, "POST", "gone-1");
	while (minion_runs_of(fixture->minion, "gone-1") == 0)
		g_usleep(10 * 1000);
	close(fd);
	call_until_settled(fixture, 0, "gone-1", &reply);
	restore_minion(fixture);
	assert_int_equal(reply.status, 409);
	assert_string_equal(reply.run, "unknown");
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "gone-1"), 1);
	assert_true(read_counter(fixture, 0, "answers.caller-gone-unknown") >
		    0);
}

/*
 * A caller closes its connection while the append of its intent is delayed.
 * Nothing was sent: once the intent is read back, a repeat of the key may run.
 */
static void a_caller_gone_before_its_intent_leaves_the_key_not_run(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;
	int fd;

	set_fault(fixture, "log_late_ms=500");
	fd = send_without_reading(fixture, 0, "POST", "early-1");
	g_usleep(100 * 1000);
	close(fd);
	g_usleep(900 * 1000);
	set_fault(fixture, "log_late_ms=0");
	assert_int_equal(minion_runs_of(fixture->minion, "early-1"), 0);
	call_until_settled(fixture, 1, "early-1", &reply);
	assert_int_equal(reply.status, 200);
	reply_clear(&reply);
	assert_int_equal(minion_runs_of(fixture->minion, "early-1"), 1);
}

/*
 * The minion refuses a read request; on a retry the connection is lost. The
 * caller gets "unknown", never "not run": once a byte was sent, an earlier
 * refusal proves nothing.
 */
static void a_lost_connection_after_a_refusal_is_unknown(void **state)
{
	fixture_t *fixture = *state;
	char answer[4096] = "";
	int fd;

	minion_set_mode(fixture->minion, MINION_REFUSE);
	fd = send_without_reading(fixture, 0, "GET", "mixed-1");
	g_usleep(300 * 1000);
	minion_set_mode(fixture->minion, MINION_CLOSE);
	assert_true(recv(fd, answer, sizeof(answer) - 1, 0) > 0);
	close(fd);
	assert_true(minion_runs_of(fixture->minion, "mixed-1") > 0);
	assert_non_null(strstr(answer, "Waxwinghollow-Run: unknown"));
	restore_minion(fixture);
}

/*
 * A minion answers a charge and adds, by mistake, a header that reports "not
 * run". The caller gets only the entry's own header, "ran".
 */
static void a_minion_cannot_override_the_run_header(void **state)
{
	fixture_t *fixture = *state;
	reply_t reply;

	minion_set_mode(fixture->minion, MINION_DENIES);
	call_service(fixture, 0, "POST", "/s/charge", "denies-1", &reply);
	restore_minion(fixture);
	assert_int_equal(reply.status, 200);
	assert_string_equal(reply.run, "ran");
	reply_clear(&reply);
}

/*
 * An entry receives a configuration from a peer that lags behind it. Versions
 * only rise: neither the older configuration nor the current one is put in
 * force.
 */
static void an_older_configuration_is_not_put_in_force(void **state)
{
	fixture_t *fixture = *state;
	wwh_entry_t *entry = fixture->entries[0];
	wwh_config_t *current = wwh_entry_config(entry);
	int64_t version = wwh_config_version(current);
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *change = wwh_config_diff(empty, current);
	wwh_config_t *older = NULL;
	wwh_message_t message;

	assert_true(version > 1);
	assert_int_equal(
		wwh_config_apply(empty, change, version - 1, &older, &message),
		WWH_STATUS_OK);
	assert_false(wwh_entry_apply_peer_config(entry, older, "a neighbour"));
	assert_false(
		wwh_entry_apply_peer_config(entry, current, "a neighbour"));
	assert_int_equal(wwh_entry_config_version(entry), version);
	wwh_config_unref(older);
	wwh_config_change_delete(change);
	wwh_config_unref(empty);
	wwh_config_unref(current);
}

/*
 * The log is trimmed beyond the newest snapshot's end, so records between the
 * two are missing. A new process that restored the snapshot would continue from
 * a state without them; it stays not ready and waits for a newer snapshot.
 */
static void a_snapshot_that_ends_before_the_log_is_not_restored(void **state)
{
	fixture_t *fixture = *state;
	char *trim = g_strdup_printf("trim_to=control:%d",
				     2 * WWH_SNAPSHOT_INTERVAL_OFFSETS + 1);
	reply_t reply;

	for (int i = 0; i < WWH_SNAPSHOT_INTERVAL_OFFSETS + 100; i++) {
		send_request(fixture, fixture->platform_port, "POST",
			     "/log/control", NULL, (const uint8_t *)"filler", 6,
			     &reply);
		assert_int_equal(reply.status, 200);
		reply_clear(&reply);
	}
	/* the running entries have replayed all and need no snapshot */
	for (int i = 0; i < OLD_SNAPSHOT_ENTRY; i++)
		wait_replayed(fixture, i,
			      2 * WWH_SNAPSHOT_INTERVAL_OFFSETS + 1);
	set_fault(fixture, trim);
	g_free(trim);
	start_entry(fixture, OLD_SNAPSHOT_ENTRY);
	for (int i = 0; i < WAIT_LIMIT_MS / 20; i++) {
		if (read_counter(fixture, OLD_SNAPSHOT_ENTRY,
				 "snapshots.too_old") > 0)
			break;
		g_usleep(20 * 1000);
	}
	send_request(
		fixture,
		wwh_entry_operator_port(fixture->entries[OLD_SNAPSHOT_ENTRY]),
		"GET", "/v1/ready", NULL, NULL, 0, &reply);
	assert_int_not_equal(reply.status, 200);
	reply_clear(&reply);
	assert_true(read_counter(fixture, OLD_SNAPSHOT_ENTRY,
				 "snapshots.too_old") > 0);
	assert_int_equal(
		read_counter(fixture, OLD_SNAPSHOT_ENTRY, "snapshots.restored"),
		0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			a_repeat_through_another_entry_gets_the_first_answer),
		cmocka_unit_test(a_lost_answer_stays_unknown_and_runs_once),
		cmocka_unit_test(a_key_reused_for_another_request_is_refused),
		cmocka_unit_test(a_deeply_nested_command_is_refused),
		cmocka_unit_test(a_log_outage_refuses_only_keyed_requests),
		cmocka_unit_test(
			an_error_answer_of_a_minion_is_recorded_and_replayed),
		cmocka_unit_test(a_charge_whose_answer_is_too_large_did_run),
		cmocka_unit_test(a_refused_charge_may_be_repeated),
		cmocka_unit_test(a_deadline_after_sending_is_unknown),
		cmocka_unit_test(
			a_caller_gone_after_sending_leaves_the_key_unknown),
		cmocka_unit_test(
			a_caller_gone_before_its_intent_leaves_the_key_not_run),
		cmocka_unit_test(a_lost_connection_after_a_refusal_is_unknown),
		cmocka_unit_test(a_minion_cannot_override_the_run_header),
		cmocka_unit_test(lost_append_answers_run_no_charge_twice),
		cmocka_unit_test(
			only_one_of_two_concurrent_publications_is_accepted),
		cmocka_unit_test(an_older_configuration_is_not_put_in_force),
		cmocka_unit_test(
			a_log_outage_longer_than_a_lease_stops_no_entry),
		cmocka_unit_test(
			a_new_process_restores_a_snapshot_of_a_trimmed_log),
		cmocka_unit_test(
			a_snapshot_that_ends_before_the_log_is_not_restored),
		cmocka_unit_test(
			a_leaving_minion_gets_no_requests_from_any_entry),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
