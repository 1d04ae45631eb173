/*
 * The holder on a stand-in of the platform, with a clock of the test's.
 */

#include "test_job_holder.h"

#include <fcntl.h>
#include <unistd.h>

#include "waxwinghollow/job_holder.h"

#define STARVED_MS 3000
/* Then a failed check says what is missing. */
#define WAIT_MAX_MS 20000

static int64_t test_clock_ms;

static int64_t read_clock(void)
{
	return test_clock_ms;
}

static void on_lost(const char *why, void *client_data)
{
	(void)client_data;
	fail_msg("the holder is lost: %s", why);
}

/* A number that the dump says of upstream u0; -1: nothing yet. */
static int64_t dumped(wwh_job_holder_t *holder, const char *name)
{
	GString *out = g_string_new(NULL);
	int64_t number = -1;
	char *at;

	wwh_job_holder_dump(holder, out);
	at = strstr(out->str, "upstream u0 ");
	if (at != NULL && strstr(at, "settled=1") != NULL)
		number = g_ascii_strtoll(strstr(at, name) + strlen(name), NULL,
					 10);
	g_string_free(out, TRUE);
	return number;
}

/*
 * A holder gets no processor time for three seconds, while answers to its
 * polls wait to be read. It dated the upstreams' clocks in them by when its
 * loop had run last, took their leases as over three seconds early, and
 * started their tasks a second time elsewhere.
 */
static void an_answer_is_dated_by_when_it_is_taken_in(void **state)
{
	standin_t *standin = standin_new();
	wwh_counters_t *counters = wwh_counters_new();
	wwh_http_calls_t *calls = wwh_http_calls_new(counters);
	GHashTable *records = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	static const uint8_t kept[] = { 0x92, 0xa1, 'e', 0xa4,
					'd',  'e',  's', 'k' };
	wwh_event_log_options_t log = { .node = "n",
					.fd = open("/dev/null", O_WRONLY),
					.now_ms = read_clock,
					.wall_ms = read_clock };
	wwh_job_holder_options_t options = { .calls = calls,
					     .counters = counters,
					     .topic = "keyed.wwh",
					     .producer = "p",
					     .epoch = 1 << 16,
					     .holder_count = 1,
					     .next_sequence = 1,
					     .records = records,
					     .clock_ms = read_clock,
					     .wall_ms = 1000,
					     .on_lost = on_lost };
	wwh_host_settings_t settings;
	wwh_job_holder_t *holder;
	int64_t begun_ms = standin_now_ms();

	(void)state;
	/* a holder before this one may have started tasks at u0 */
	g_hash_table_insert(records, g_strdup("Uu0"),
			    g_bytes_new(kept, sizeof(kept)));
	wwh_host_settings_init(&settings);
	settings.name = g_strdup("n");
	settings.store = g_strdup_printf("127.0.0.1:%d",
					 wwh_listener_port(standin->store));
	options.settings = &settings;
	options.log = wwh_event_log_new(&log, counters);
	test_clock_ms = 100000;
	holder = wwh_job_holder_new(&options);
	while (dumped(holder, "lease_left_ms=") < 0 &&
	       standin_now_ms() - begun_ms < WAIT_MAX_MS) {
		test_clock_ms += 20;
		wwh_job_holder_run(holder, test_clock_ms, 1000, false);
		wwh_http_calls_poll(calls, 20);
	}
	/* the next poll asks for a lease; its answer waits to be read */
	test_clock_ms += 200;
	wwh_job_holder_run(holder, test_clock_ms, 1000, false);
	test_clock_ms += STARVED_MS;
	assert_true(dumped(holder, "answered_ms_ago=") >= 200);
	while (dumped(holder, "answered_ms_ago=") > 0 &&
	       standin_now_ms() - begun_ms < WAIT_MAX_MS)
		wwh_http_calls_poll(calls, 20);
	wwh_job_holder_run(holder, test_clock_ms, 1000, false);
	assert_int_equal(dumped(holder, "answered_ms_ago="), 0);
	wwh_job_holder_delete(holder);
	wwh_http_calls_delete(calls);
	wwh_event_log_delete(options.log);
	wwh_host_settings_clear(&settings);
	wwh_counters_delete(counters);
	g_hash_table_destroy(records);
	close(log.fd);
	standin_delete(standin);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_is_dated_by_when_it_is_taken_in),
		ENTRY_TESTS,
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
