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
#define LATE_ENTRY ENTRIES /* started by one test */
#define LATER_ENTRY (ENTRIES + 1) /* by another */
#define ENTRIES_MAX (ENTRIES + 2)
#define WAIT_LIMIT_MS 15000
#define FILLERS_AT_ONCE 200 /* records that a process may lag behind */

static char platform_program[] = WWH_BINARY_DIR "/platform";

/* Two entry processes' worth of code around one platform and one minion. */
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

/* What a caller or operator was told. */
typedef struct {
	wwh_upstream_outcome_t outcome;
	int32_t status;
	char run[32];
	char *body;
} told_t;

static void told_clear(told_t *told)
{
	g_free(told->body);
	told->body = NULL;
}

static void ask(fixture_t *fixture, int32_t port, const char *method,
		const char *target, const char *key, const uint8_t *body,
		size_t size, told_t *told)
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
		/* an id begins with the lowest offset that it may get */
		char *id = g_strdup_printf("%016x%016x", ++appends, 0);

		wwh_headers_add(headers, "Append-Id", id);
		g_free(id);
	}
	if (key != NULL) {
		wwh_headers_add(headers, "Idempotency-Key", key);
		wwh_headers_add(headers, "X-Request-Id", key);
	}
	wwh_upstream_send(fixture->client, &request, &answer);
	told->outcome = answer.outcome;
	told->status = answer.response.status;
	run = wwh_headers_get(answer.response.headers, WWH_HEADER_RUN);
	g_strlcpy(told->run, run != NULL ? run : "", sizeof(told->run));
	told->body = g_strndup((char *)answer.response.body->data,
			       answer.response.body->len);
	wwh_http_response_clear(&answer.response);
	wwh_headers_delete(headers);
}

static void call(fixture_t *fixture, int entry, const char *method,
		 const char *target, const char *key, told_t *told)
{
	ask(fixture, wwh_entry_caller_port(fixture->entries[entry]), method,
	    target, key, (const uint8_t *)"x", 1, told);
}

static void fault(fixture_t *fixture, const char *text)
{
	char *target = g_strconcat("/fault?", text, NULL);
	told_t told;

	ask(fixture, fixture->platform_port, "POST", target, NULL, NULL, 0,
	    &told);
	assert_int_equal(told.status, 200);
	told_clear(&told);
	g_free(target);
}

/* A failed assertion of a set-up leaves no stand-in behind. */
static void end_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void start_platform(fixture_t *fixture)
{
	int32_t port = standin_free_port();
	char *listen_on;
	told_t told;

	fixture->platform_port = port;
	fixture->platform_url = g_strdup_printf("http://127.0.0.1:%d", port);
	listen_on = g_strdup_printf("127.0.0.1:%d", port);
	{
		char *argv[] = { platform_program, "--listen", listen_on,
				 "--list-lag-ms",  "100",      NULL };

		assert_true(g_spawn_async(
			NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
			end_with_parent, NULL, &fixture->platform_pid, NULL));
	}
	g_free(listen_on);
	for (int i = 0; i < 200; i++) {
		ask(fixture, port, "GET", "/stats", NULL, NULL, 0, &told);
		told_clear(&told);
		if (told.status == 200)
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
	told_t told;

	for (int i = 0; i < 500; i++) {
		ask(fixture, wwh_entry_operator_port(fixture->entries[index]),
		    "GET", "/v1/ready", NULL, NULL, 0, &told);
		told_clear(&told);
		if (told.status == 200)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("entry %d did not get ready", index);
}

/* A configuration whose service has that deadline, as a change from empty. */
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
		    int32_t deadline_ms, told_t *told)
{
	GBytes *bytes = make_change(fixture, deadline_ms);
	char *target = g_strdup_printf(
		"/v1/publish?base=%" G_GINT64_FORMAT "&author=test", base);
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	ask(fixture, wwh_entry_operator_port(fixture->entries[entry]), "POST",
	    target, NULL, data, size, told);
	g_free(target);
	g_bytes_unref(bytes);
}

static int64_t config_version(fixture_t *fixture, int entry)
{
	told_t told;
	const char *at;
	int64_t version;

	ask(fixture, wwh_entry_operator_port(fixture->entries[entry]), "GET",
	    "/v1/status", NULL, NULL, 0, &told);
	at = strstr(told.body, "\"config_version\" : ");
	/* the members' come first, the process's own is the last */
	for (const char *next = at; next != NULL;
	     next = strstr(next + 1, "\"config_version\" : "))
		at = next;
	assert_non_null(at);
	version =
		g_ascii_strtoll(at + strlen("\"config_version\" : "), NULL, 10);
	told_clear(&told);
	return version;
}

/* Until both have the configuration and a share of the minion's slots. */
static void wait_serving(fixture_t *fixture, int index)
{
	told_t told;

	for (int i = 0; i < 500; i++) {
		call(fixture, index, "GET", "/s/probe", NULL, &told);
		told_clear(&told);
		if (told.status == 200)
			return;
		g_usleep(20 * 1000);
	}
	fail_msg("entry %d does not serve", index);
}

static void start_entry(fixture_t *fixture, int index)
{
	wwh_message_t message;
	char *host;
	told_t told;

	write_settings(fixture, index);
	host = g_strdup_printf("/hosts/entry-%d?kind=entry&state=live&address="
			       "%s&zone=a",
			       index, fixture->settings[index].peer_listen);
	ask(fixture, fixture->platform_port, "POST", host, NULL, NULL, 0,
	    &told);
	told_clear(&told);
	g_free(host);
	fixture->entries[index] = wwh_entry_new(&fixture->settings[index]);
	if (wwh_entry_init(fixture->entries[index], &message) != WWH_STATUS_OK)
		fail_msg("%s", message.text);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_upstream_options_t options = wwh_upstream_options_defaults();
	told_t told;

	signal(SIGPIPE, SIG_IGN);
	fixture->counters = wwh_counters_new();
	fixture->client = wwh_upstream_new(&options, fixture->counters);
	fixture->minion = minion_server_start("m1", 0, 0);
	start_platform(fixture);
	for (int i = 0; i < ENTRIES; i++)
		start_entry(fixture, i);
	for (int i = 0; i < ENTRIES; i++)
		wait_ready(fixture, i);
	publish(fixture, 0, 0, 3000, &told);
	assert_int_equal(told.status, 200);
	told_clear(&told);
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
 * A parent's phone repeats a charge through another entry host. The first one
 * ran; the repeat gets the first one's answer and the card is charged once.
 */
static void a_repeat_elsewhere_gets_the_first_answer(void **state)
{
	fixture_t *fixture = *state;
	told_t first;
	told_t again = { 0 };

	call(fixture, 0, "POST", "/s/charge", "key-1", &first);
	assert_int_equal(first.status, 200);
	assert_string_equal(first.run, "ran");
	for (int i = 0; i < 100; i++) {
		told_clear(&again);
		call(fixture, 1, "POST", "/s/charge", "key-1", &again);
		if (again.status != 409)
			break;
		g_usleep(20 * 1000);
	}
	assert_int_equal(again.status, 200);
	assert_string_equal(again.run, "ran");
	assert_string_equal(again.body, first.body);
	assert_int_equal(minion_runs_of(fixture->minion, "key-1"), 1);
	told_clear(&first);
	told_clear(&again);
}

/*
 * The minion runs a charge and closes without an answer. The caller is told
 * "unknown", and so is every repeat, through either host: none runs it again.
 */
static void a_lost_answer_stays_unknown_and_runs_once(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	minion_set_mode(fixture->minion, MINION_CLOSE);
	call(fixture, 0, "POST", "/s/charge", "key-2", &told);
	assert_string_equal(told.run, "unknown");
	told_clear(&told);
	minion_set_mode(fixture->minion, MINION_OK);
	for (int i = 0; i < 10; i++) {
		call(fixture, i % ENTRIES, "POST", "/s/charge", "key-2", &told);
		assert_string_equal(told.run, "unknown");
		told_clear(&told);
	}
	assert_int_equal(minion_runs_of(fixture->minion, "key-2"), 1);
}

/*
 * The same key comes with another request: the second is refused and not run,
 * since its answer would be that of a different charge.
 */
static void a_key_of_another_request_is_refused(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	call(fixture, 0, "POST", "/s/charge", "key-3", &told);
	assert_int_equal(told.status, 200);
	told_clear(&told);
	for (int i = 0; i < 100; i++) {
		call(fixture, 1, "POST", "/s/other", "key-3", &told);
		if (told.status == 422)
			break;
		told_clear(&told);
		g_usleep(20 * 1000);
	}
	assert_int_equal(told.status, 422);
	assert_string_equal(told.run, "not-run");
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "key-3"), 1);
}

/*
 * The platform's log is down. A keyed charge is refused as "not run", with a
 * time to come back, and really did not run; reading requests go on. When the
 * log is back the same key runs once.
 */
static void an_outage_of_the_log_refuses_only_what_needs_it(void **state)
{
	fixture_t *fixture = *state;
	told_t told = { 0 };

	fault(fixture, "log_down=1");
	call(fixture, 0, "POST", "/s/charge", "key-4", &told);
	assert_int_equal(told.status, 503);
	assert_string_equal(told.run, "not-run");
	told_clear(&told);
	call(fixture, 0, "GET", "/s/read", NULL, &told);
	assert_int_equal(told.status, 200);
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "key-4"), 0);
	fault(fixture, "log_down=0");
	for (int i = 0; i < 200; i++) {
		told_clear(&told);
		call(fixture, 0, "POST", "/s/charge", "key-4", &told);
		if (told.status == 200)
			break;
		g_usleep(50 * 1000);
	}
	assert_int_equal(told.status, 200);
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "key-4"), 1);
}

/* Appends take effect but their answers are lost: charges still run once. */
static void lost_append_answers_run_nothing_twice(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	fault(fixture, "lose_append_answers=50");
	for (int i = 0; i < 20; i++) {
		char *key = g_strdup_printf("lost-%d", i);

		call(fixture, i % ENTRIES, "POST", "/s/charge", key, &told);
		if (strcmp(told.run, "ran") == 0)
			assert_int_equal(minion_runs_of(fixture->minion, key),
					 1);
		else if (strcmp(told.run, "not-run") == 0)
			assert_int_equal(minion_runs_of(fixture->minion, key),
					 0);
		assert_true(minion_runs_of(fixture->minion, key) <= 1);
		told_clear(&told);
		g_free(key);
	}
	fault(fixture, "lose_append_answers=0");
}

/*
 * Two operators publish at the same time through different hosts, both from
 * the same version. One change is in force everywhere, the other operator is
 * told that someone else came first; a late repeat of the old one is refused.
 */
static void of_two_publications_one_wins(void **state)
{
	fixture_t *fixture = *state;
	int64_t base = config_version(fixture, 0);
	told_t first;
	told_t second;

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
	told_clear(&first);
	told_clear(&second);
	publish(fixture, 0, base, 2500, &first);
	assert_int_equal(first.status, 409);
	assert_int_equal(config_version(fixture, 1), base + 1);
	told_clear(&first);
}

/*
 * The log is down for longer than a lease of seats lasts. Both hosts go on
 * answering reading requests: nobody can be evicted without the log, so the
 * members keep each other's leases by their votes.
 */
static void an_outage_longer_than_a_lease_stops_nobody(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	fault(fixture, "log_down=1");
	g_usleep(6 * G_USEC_PER_SEC);
	for (int i = 0; i < 2 * ENTRIES; i++) {
		call(fixture, i % ENTRIES, "GET", "/s/read", NULL, &told);
		assert_int_equal(told.status, 200);
		told_clear(&told);
	}
	fault(fixture, "log_down=0");
}

/*
 * A minion tells one host that it is leaving. Within a few seconds the other
 * host sends it no more either, though the platform's list still calls it
 * live. When it answers as before, work comes back.
 */
static void a_leaving_minion_gets_no_new_work_from_anybody(void **state)
{
	fixture_t *fixture = *state;
	told_t told = { 0 };
	int64_t runs;

	minion_set_mode(fixture->minion, MINION_LEAVING);
	call(fixture, 0, "GET", "/s/last", NULL, &told);
	told_clear(&told);
	for (int i = 0; i < 200; i++) {
		char *text;

		ask(fixture, wwh_entry_operator_port(fixture->entries[1]),
		    "GET", "/v1/counters", NULL, NULL, 0, &told);
		text = strstr(told.body, "minions.leaving 1");
		told_clear(&told);
		if (text != NULL)
			break;
		g_usleep(50 * 1000);
	}
	runs = fixture->minion->total_runs;
	for (int i = 0; i < ENTRIES; i++) {
		call(fixture, i, "GET", "/s/none", NULL, &told);
		assert_int_equal(told.status, 503);
		assert_string_equal(told.run, "not-run");
		told_clear(&told);
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
 * The records that a new process would replay are gone from the log. It takes
 * up a snapshot that another process put there, and has the configuration in
 * force as the others have it.
 *
 * A process that lags behind the fillers by more than the log has left tells
 * a lower offset for its own next record than the log begins at. A new
 * process can't know then whether an earlier copy is gone, and rightly waits
 * for the next snapshot; so the processes are kept up.
 */
static void a_new_process_starts_from_a_trimmed_log(void **state)
{
	fixture_t *fixture = *state;
	told_t told = { 0 };

	for (int i = 0; i < 4200; i++) {
		ask(fixture, fixture->platform_port, "POST", "/log/control",
		    NULL, (const uint8_t *)"filler", 6, &told);
		assert_int_equal(told.status, 200);
		told_clear(&told);
		for (int j = 0; i % FILLERS_AT_ONCE == 0 && j < ENTRIES; j++)
			wait_replayed(fixture, j, i);
	}
	for (int i = 0;; i++) {
		bool published = false;

		for (int j = 0; j < ENTRIES; j++) {
			ask(fixture,
			    wwh_entry_operator_port(fixture->entries[j]), "GET",
			    "/v1/counters", NULL, NULL, 0, &told);
			published = published ||
				    strstr(told.body,
					   "snapshots.published 1") != NULL;
			told_clear(&told);
		}
		if (published)
			break;
		assert_true(i < 400);
		g_usleep(50 * 1000);
	}
	g_usleep(200 * 1000);
	/*
	 * The fillers' ids tell lower offsets than they got, by as many records
	 * as the processes wrote. With ids from before the log's first offset
	 * a new process rightly takes nothing, so that is kept well below.
	 */
	fault(fixture, "trim_to=control:3000");
	start_entry(fixture, LATE_ENTRY);
	wait_ready(fixture, LATE_ENTRY);
	assert_int_equal(config_version(fixture, LATE_ENTRY),
			 config_version(fixture, 0));
}

/* The minion answers again, and both entries trust it with work. */
static void serve_again(fixture_t *fixture)
{
	minion_set_mode(fixture->minion, MINION_OK);
	for (int i = 0; i < ENTRIES; i++)
		wait_serving(fixture, i);
}

/* What entry's counter of that name says. */
static int64_t counter_of(fixture_t *fixture, int entry, const char *name)
{
	char *line = g_strdup_printf("\n%s ", name);
	const char *at;
	int64_t value = 0;
	told_t told;

	ask(fixture, wwh_entry_operator_port(fixture->entries[entry]), "GET",
	    "/v1/counters", NULL, NULL, 0, &told);
	at = strstr(told.body, line);
	if (at != NULL)
		value = g_ascii_strtoll(at + strlen(line), NULL, 10);
	told_clear(&told);
	g_free(line);
	return value;
}

/* Sends a request on a connection of its own and leaves it open. */
static int send_only(fixture_t *fixture, int entry, const char *method,
		     const char *key)
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

/* Calls until the key is no longer in progress; the last answer is told. */
static void call_until_settled(fixture_t *fixture, int entry, const char *key,
			       told_t *told)
{
	for (int i = 0; i < 200; i++) {
		call(fixture, entry, "POST", "/s/charge", key, told);
		if (strstr(told->body, "key-in-progress") == NULL)
			return;
		told_clear(told);
		g_usleep(20 * 1000);
	}
	fail_msg("key %s stays in progress", key);
}

/*
 * The minion runs a charge and says that it failed. That is an answer: the
 * caller and every repeat get it, with "ran", and it runs once.
 */
static void a_failure_that_was_answered_is_kept_as_it_is(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	minion_set_mode(fixture->minion, MINION_FAIL);
	call(fixture, 0, "POST", "/s/charge", "fail-1", &told);
	serve_again(fixture);
	assert_int_equal(told.status, 500);
	assert_string_equal(told.run, "ran");
	told_clear(&told);
	call_until_settled(fixture, 1, "fail-1", &told);
	assert_int_equal(told.status, 500);
	assert_string_equal(told.run, "ran");
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "fail-1"), 1);
}

/*
 * The minion's answer is larger than the service passes on. The charge ran:
 * the caller and every repeat are told so, without the answer.
 */
static void a_charge_whose_answer_is_too_large_did_run(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	call(fixture, 0, "POST", "/s/charge?bytes=20000000", "large-1", &told);
	assert_int_equal(told.status, 502);
	assert_string_equal(told.run, "ran");
	told_clear(&told);
	for (int i = 0; i < 200; i++) {
		call(fixture, 1, "POST", "/s/charge?bytes=20000000", "large-1",
		     &told);
		if (strstr(told.body, "key-in-progress") == NULL)
			break;
		told_clear(&told);
		g_usleep(20 * 1000);
	}
	assert_int_equal(told.status, 409);
	assert_string_equal(told.run, "ran");
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "large-1"), 1);
}

/*
 * The minion refuses a charge before running it. The caller is told "not run"
 * and the same key runs when the minion takes work again.
 */
static void a_refused_charge_may_be_repeated(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	minion_set_mode(fixture->minion, MINION_REFUSE);
	call(fixture, 0, "POST", "/s/charge", "refuse-1", &told);
	serve_again(fixture);
	assert_int_equal(told.status, 503);
	assert_string_equal(told.run, "not-run");
	told_clear(&told);
	for (int i = 0; i < 100; i++) {
		call_until_settled(fixture, i % ENTRIES, "refuse-1", &told);
		if (told.status == 200)
			break;
		assert_string_equal(told.run, "not-run");
		told_clear(&told);
		g_usleep(50 * 1000);
	}
	assert_int_equal(told.status, 200);
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "refuse-1"), 1);
}

/*
 * The minion is silent and the deadline passes. Whether the charge ran is
 * unknown, to the caller and to every repeat; it is sent once.
 */
static void a_deadline_after_sending_is_unknown(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	minion_set_mode(fixture->minion, MINION_SILENT);
	call(fixture, 0, "POST", "/s/charge", "silent-1", &told);
	serve_again(fixture);
	assert_int_equal(told.status, 504);
	assert_string_equal(told.run, "unknown");
	told_clear(&told);
	call_until_settled(fixture, 1, "silent-1", &told);
	assert_int_equal(told.status, 409);
	assert_string_equal(told.run, "unknown");
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "silent-1"), 1);
}

/*
 * A caller hangs up after its charge was sent. The host notes "unknown": a
 * repeat through any host is told so and does not run a second time.
 */
static void a_caller_gone_after_sending_leaves_unknown(void **state)
{
	fixture_t *fixture = *state;
	told_t told;
	int fd;

	minion_set_mode(fixture->minion, MINION_SILENT);
	fd = send_only(fixture, 0, "POST", "gone-1");
	while (minion_runs_of(fixture->minion, "gone-1") == 0)
		g_usleep(10 * 1000);
	close(fd);
	call_until_settled(fixture, 0, "gone-1", &told);
	serve_again(fixture);
	assert_int_equal(told.status, 409);
	assert_string_equal(told.run, "unknown");
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "gone-1"), 1);
	assert_true(counter_of(fixture, 0, "answers.caller-gone-unknown") > 0);
}

/*
 * A caller hangs up while the log is late to take its intent. Nothing was
 * sent: once the intent is read back the key is free, and a repeat runs it.
 */
static void a_caller_gone_before_its_intent_leaves_not_run(void **state)
{
	fixture_t *fixture = *state;
	told_t told;
	int fd;

	fault(fixture, "log_late_ms=500");
	fd = send_only(fixture, 0, "POST", "early-1");
	g_usleep(100 * 1000);
	close(fd);
	g_usleep(900 * 1000);
	fault(fixture, "log_late_ms=0");
	assert_int_equal(minion_runs_of(fixture->minion, "early-1"), 0);
	call_until_settled(fixture, 1, "early-1", &told);
	assert_int_equal(told.status, 200);
	told_clear(&told);
	assert_int_equal(minion_runs_of(fixture->minion, "early-1"), 1);
}

/*
 * A read is refused by the minion, tried again, and then its connection is
 * lost. The caller is told "unknown", never "not run": after a byte has left,
 * a refusal before it says nothing.
 */
static void a_loss_after_a_refusal_is_not_called_not_run(void **state)
{
	fixture_t *fixture = *state;
	char answer[4096] = "";
	int fd;

	minion_set_mode(fixture->minion, MINION_REFUSE);
	fd = send_only(fixture, 0, "GET", "mixed-1");
	g_usleep(300 * 1000);
	minion_set_mode(fixture->minion, MINION_CLOSE);
	assert_true(recv(fd, answer, sizeof(answer) - 1, 0) > 0);
	close(fd);
	assert_true(minion_runs_of(fixture->minion, "mixed-1") > 0);
	assert_non_null(strstr(answer, "Waxwinghollow-Run: unknown"));
	serve_again(fixture);
}

/*
 * A minion answers a charge and adds, by mistake, a header that says it did
 * not run. The caller gets one word on that, and the true one.
 */
static void a_minion_can_not_say_that_what_it_answered_did_not_run(void **state)
{
	fixture_t *fixture = *state;
	told_t told;

	minion_set_mode(fixture->minion, MINION_DENIES);
	call(fixture, 0, "POST", "/s/charge", "denies-1", &told);
	serve_again(fixture);
	assert_int_equal(told.status, 200);
	assert_string_equal(told.run, "ran");
	told_clear(&told);
}

/*
 * A host that can't read the log learns of a configuration from a neighbour
 * that lags behind it. Versions only grow: the older one is not put in force,
 * nor is its own a second time.
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
 * The log was trimmed beyond the newest snapshot's end, so records between the
 * two are gone. A new process that took the snapshot up would go on from a
 * state that misses them; it stays unready and waits for a newer one.
 */
static void a_snapshot_that_ends_before_the_log_is_not_taken_up(void **state)
{
	fixture_t *fixture = *state;
	char *trim = g_strdup_printf("trim_to=control:%d",
				     2 * WWH_SNAPSHOT_EVERY + 1);
	told_t told;

	for (int i = 0; i < WWH_SNAPSHOT_EVERY + 100; i++) {
		ask(fixture, fixture->platform_port, "POST", "/log/control",
		    NULL, (const uint8_t *)"filler", 6, &told);
		assert_int_equal(told.status, 200);
		told_clear(&told);
	}
	/* the others hold the snapshot and need none themselves */
	for (int i = 0; i < LATER_ENTRY; i++)
		wait_replayed(fixture, i, 2 * WWH_SNAPSHOT_EVERY + 1);
	fault(fixture, trim);
	g_free(trim);
	start_entry(fixture, LATER_ENTRY);
	for (int i = 0; i < WAIT_LIMIT_MS / 20; i++) {
		if (counter_of(fixture, LATER_ENTRY, "snapshots.too_old") > 0)
			break;
		g_usleep(20 * 1000);
	}
	ask(fixture, wwh_entry_operator_port(fixture->entries[LATER_ENTRY]),
	    "GET", "/v1/ready", NULL, NULL, 0, &told);
	assert_int_not_equal(told.status, 200);
	told_clear(&told);
	assert_true(counter_of(fixture, LATER_ENTRY, "snapshots.too_old") > 0);
	assert_int_equal(counter_of(fixture, LATER_ENTRY, "snapshots.restored"),
			 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_repeat_elsewhere_gets_the_first_answer),
		cmocka_unit_test(a_lost_answer_stays_unknown_and_runs_once),
		cmocka_unit_test(a_key_of_another_request_is_refused),
		cmocka_unit_test(
			an_outage_of_the_log_refuses_only_what_needs_it),
		cmocka_unit_test(a_failure_that_was_answered_is_kept_as_it_is),
		cmocka_unit_test(a_charge_whose_answer_is_too_large_did_run),
		cmocka_unit_test(a_refused_charge_may_be_repeated),
		cmocka_unit_test(a_deadline_after_sending_is_unknown),
		cmocka_unit_test(a_caller_gone_after_sending_leaves_unknown),
		cmocka_unit_test(
			a_caller_gone_before_its_intent_leaves_not_run),
		cmocka_unit_test(a_loss_after_a_refusal_is_not_called_not_run),
		cmocka_unit_test(
			a_minion_can_not_say_that_what_it_answered_did_not_run),
		cmocka_unit_test(lost_append_answers_run_nothing_twice),
		cmocka_unit_test(of_two_publications_one_wins),
		cmocka_unit_test(an_older_configuration_is_not_put_in_force),
		cmocka_unit_test(an_outage_longer_than_a_lease_stops_nobody),
		cmocka_unit_test(a_new_process_starts_from_a_trimmed_log),
		cmocka_unit_test(
			a_snapshot_that_ends_before_the_log_is_not_taken_up),
		cmocka_unit_test(
			a_leaving_minion_gets_no_new_work_from_anybody),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
