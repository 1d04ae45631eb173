/*
 * The holder on a stand-in of the platform: with a clock of the test's where
 * it gets no processor time, else by the real one.
 */

#include "test_job_holder.h"

#include <fcntl.h>
#include <unistd.h>

#include "waxwinghollow/job_holder.h"

#define CLOCK_BEGIN_MS 100000
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
	/* MessagePack: where it was, and its pool */
	static const char kept[] = "\x92\xab"
				   "127.0.0.1:1"
				   "\xa4"
				   "desk";
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
			    g_bytes_new(kept, sizeof(kept) - 1));
	wwh_host_settings_init(&settings);
	settings.name = g_strdup("n");
	settings.store = g_strdup_printf("127.0.0.1:%d",
					 wwh_listener_port(standin->store));
	options.settings = &settings;
	options.log = wwh_event_log_new(&log, counters);
	test_clock_ms = CLOCK_BEGIN_MS;
	holder = wwh_job_holder_new(&options);
	/* as fast as the real one: ahead of it, what u0 may run is over */
	while (dumped(holder, "lease_left_ms=") < 0 &&
	       standin_now_ms() - begun_ms < WAIT_MAX_MS) {
		test_clock_ms = CLOCK_BEGIN_MS + standin_now_ms() - begun_ms;
		wwh_job_holder_run(holder, test_clock_ms, 1000, false);
		wwh_http_calls_poll(calls, 20);
	}
	assert_true(dumped(holder, "lease_left_ms=") > 0);
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

#define HOSTS_LEASE_MS 3000
#define LONG_LEASE_MS 12000 /* a busy machine takes seconds for one order */
/* A holder without the store is taken over after this, at the earliest. */
#define STORE_GONE_MS 1300
#define STEP_MS 20

/* A holder of a shard without jobs, which gives orders to hosts. */
typedef struct {
	standin_t *standin;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_event_log_t *log;
	int log_fd;
	GHashTable *records;
	wwh_host_settings_t settings;
	wwh_job_holder_t *holder;
} fixture_t;

static int set_up(void **state)
{
	static const char hosts[] =
		"{\"machine\":\"h1\",\"pool\":\"desk\",\"state\":\"up\"},"
		"{\"machine\":\"h2\",\"pool\":\"desk\",\"state\":\"up\"}";
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_event_log_options_t log = { .node = "n",
					.now_ms = standin_now_ms,
					.wall_ms = standin_now_ms };

	fixture->standin = standin_new();
	fixture->standin->hosts = hosts;
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->log_fd = open("/dev/null", O_WRONLY);
	log.fd = fixture->log_fd;
	fixture->log = wwh_event_log_new(&log, fixture->counters);
	fixture->records = g_hash_table_new(g_str_hash, g_str_equal);
	wwh_host_settings_init(&fixture->settings);
	fixture->settings.name = g_strdup("n");
	fixture->settings.store = g_strdup_printf(
		"127.0.0.1:%d", wwh_listener_port(fixture->standin->store));
	fixture->settings.hosts = g_strdup(fixture->settings.store);
	fixture->settings.duty_lease_ms = HOSTS_LEASE_MS;
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_job_holder_delete(fixture->holder);
	wwh_http_calls_delete(fixture->calls);
	wwh_event_log_delete(fixture->log);
	close(fixture->log_fd);
	wwh_host_settings_clear(&fixture->settings);
	wwh_counters_delete(fixture->counters);
	g_hash_table_destroy(fixture->records);
	standin_delete(fixture->standin);
	g_free(fixture);
	return 0;
}

typedef enum {
	BEFORE_NOBODY = 0,
	BEFORE_ENDED,
	BEFORE_SILENT
} before_t;

static void start_holder(fixture_t *fixture, bool hosts_fence, before_t before)
{
	wwh_job_holder_options_t options = { .settings = &fixture->settings,
					     .calls = fixture->calls,
					     .counters = fixture->counters,
					     .log = fixture->log,
					     .topic = "keyed.wwh",
					     .producer = "p",
					     .epoch = 1 << 16,
					     .holder_count = 1,
					     .next_sequence = 1,
					     .others_at_work =
						     before == BEFORE_SILENT,
					     .others_ended =
						     before == BEFORE_ENDED,
					     .records = fixture->records,
					     .clock_ms = standin_now_ms,
					     .wall_ms = 1000,
					     .on_lost = on_lost };

	fixture->settings.hosts_fence = hosts_fence;
	fixture->holder = wwh_job_holder_new(&options);
}

/* Hosts are due for upkeep, one at a time. */
static void ask_upkeep(fixture_t *fixture)
{
	static const char wave[] = "{\"wave\":1,\"machines\":[\"h1\",\"h2\"],"
				   "\"durationS\":20,\"maxCount\":1}";

	wwh_job_holder_apply_wave(fixture->holder, "wave/1",
				  (const uint8_t *)wave, strlen(wave));
}

static void run_for(fixture_t *fixture, int64_t span_ms)
{
	int64_t end_ms = standin_now_ms() + span_ms;

	while (standin_now_ms() < end_ms) {
		wwh_job_holder_run(fixture->holder, standin_now_ms(), 1000,
				   false);
		wwh_http_calls_poll(fixture->calls, STEP_MS);
	}
}

static int32_t orders(fixture_t *fixture)
{
	int32_t count;

	g_mutex_lock(&fixture->standin->lock);
	count = fixture->standin->host_orders;
	g_mutex_unlock(&fixture->standin->lock);
	return count;
}

static void set_store(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

/* How long the holder runs until its first order has arrived. */
static int64_t first_order_ms(fixture_t *fixture)
{
	int64_t begun_ms = standin_now_ms();

	while (orders(fixture) == 0 &&
	       standin_now_ms() - begun_ms < WAIT_MAX_MS)
		run_for(fixture, STEP_MS);
	return standin_now_ms() - begun_ms;
}

/*
 * A silent holder is taken over while its last orders to hosts may be on
 * their way. Where hosts check tokens, the next holder waits for as long as
 * that one may not know of its end; where they don't, for the whole time in
 * which hosts take one holder.
 */
static void the_next_holder_waits_for_the_lease_without_tokens(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, BEFORE_SILENT);
	ask_upkeep(fixture);
	assert_true(first_order_ms(fixture) >= HOSTS_LEASE_MS);
	assert_int_equal(orders(fixture), 1);
}

static void the_next_holder_waits_less_where_tokens_are_checked(void **state)
{
	fixture_t *fixture = *state;
	int64_t waited_ms;

	fixture->settings.duty_lease_ms = LONG_LEASE_MS;
	start_holder(fixture, true, BEFORE_SILENT);
	ask_upkeep(fixture);
	waited_ms = first_order_ms(fixture);
	assert_true(waited_ms >= WWH_OVERTAKEN_HOLDER_MS);
	assert_true(waited_ms < LONG_LEASE_MS);
}

/*
 * Connections to the holder are refused, as its host is cut off, and another
 * process takes it for ended; it goes on until the store tells it of its end.
 * Hosts that don't check tokens carried out its orders after the first ones of
 * the next holder.
 */
static void a_holder_found_ended_is_waited_for_without_tokens(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, BEFORE_ENDED);
	ask_upkeep(fixture);
	assert_true(first_order_ms(fixture) >= WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(orders(fixture), 1);
}

/*
 * The store turns the holder away, another process takes over, and the first
 * holder goes on taking hosts down until an upstream tells it of its end.
 * Hosts that don't check tokens carry out its orders after the next holder's:
 * one host too many is down, and tasks end that may not be missed.
 */
static void without_the_store_such_hosts_get_no_orders(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, BEFORE_NOBODY);
	run_for(fixture, 1000);
	set_store(fixture, true);
	run_for(fixture, STORE_GONE_MS + 100);
	ask_upkeep(fixture);
	run_for(fixture, 2000);
	assert_int_equal(orders(fixture), 0);
	set_store(fixture, false);
	(void)first_order_ms(fixture);
	assert_int_equal(orders(fixture), 1);
}

/* Hosts refuse its orders once the next one has given any. */
static void without_the_store_hosts_that_check_tokens_get_orders(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, BEFORE_NOBODY);
	run_for(fixture, 1000);
	set_store(fixture, true);
	run_for(fixture, STORE_GONE_MS + 100);
	ask_upkeep(fixture);
	(void)first_order_ms(fixture);
	assert_int_equal(orders(fixture), 1);
}

/*
 * A process is told to stop while an order to a host is unanswered. It gave
 * the shard up at once, and the next holder gave its first orders, as none
 * were said to be on their way: the late one took a host too many down.
 */
static void orders_on_their_way_are_waited_for_before_giving_up(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms = standin_now_ms();

	fixture->standin->host_delay_ms = 1000;
	start_holder(fixture, false, BEFORE_NOBODY);
	ask_upkeep(fixture);
	(void)first_order_ms(fixture);
	assert_int_equal(orders(fixture), 1);
	assert_false(wwh_job_holder_is_quiescent(fixture->holder));
	while (!wwh_job_holder_is_quiescent(fixture->holder) &&
	       standin_now_ms() - begun_ms < WAIT_MAX_MS)
		run_for(fixture, STEP_MS);
	assert_true(wwh_job_holder_is_quiescent(fixture->holder));
}

static bool starts_held(fixture_t *fixture)
{
	GString *out = g_string_new(NULL);
	bool held;

	wwh_job_holder_dump(fixture->holder, out);
	held = strstr(out->str, "starts_held=1") != NULL;
	g_string_free(out, TRUE);
	return held;
}

static void set_announces_late(fixture_t *fixture, bool late)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->announces_late = late;
	g_mutex_unlock(&fixture->standin->lock);
}

static void set_refuses_records(fixture_t *fixture, bool refuses)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = refuses;
	g_mutex_unlock(&fixture->standin->lock);
}

/*
 * Guards against starts on upstreams that leave, by a holder that gets their
 * announcements too late.
 */
static void no_task_is_started_by_old_announcements(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, BEFORE_NOBODY);
	run_for(fixture, 2500);
	assert_false(starts_held(fixture));
	set_announces_late(fixture, true);
	run_for(fixture, 4500);
	assert_true(starts_held(fixture));
	set_announces_late(fixture, false);
	run_for(fixture, 3000);
	assert_false(starts_held(fixture));
}

/*
 * Guards against a full partition of the journal that counts as a store which is
 * away for everybody: starts went on while upstreams announced that they leave.
 */
static void a_full_partition_is_no_store_that_is_away(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, BEFORE_NOBODY);
	run_for(fixture, 1500);
	set_announces_late(fixture, true);
	run_for(fixture, 200);
	set_refuses_records(fixture, true);
	run_for(fixture, 1000);
	set_refuses_records(fixture, false);
	run_for(fixture, 1500);
	assert_true(starts_held(fixture));
}

/*
 * Guards against a holder whose own loop is too late for any answer, and that
 * takes the store for away.
 */
static void an_overloaded_holder_takes_no_store_for_away(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, BEFORE_NOBODY);
	run_for(fixture, 1000);
	wwh_job_holder_set_overloaded(fixture->holder, true);
	set_store(fixture, true);
	run_for(fixture, 2500);
	assert_true(starts_held(fixture));
	wwh_job_holder_set_overloaded(fixture->holder, false);
	run_for(fixture, 300);
	assert_false(starts_held(fixture));
}

/* Guards against a pause in starts while the store is away for everybody. */
static void tasks_are_started_while_the_store_is_away(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, BEFORE_NOBODY);
	run_for(fixture, 500);
	set_store(fixture, true);
	for (int32_t i = 0; i < 20; i++) {
		run_for(fixture, 200);
		assert_false(starts_held(fixture));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_is_dated_by_when_it_is_taken_in),
		ENTRY_TESTS,
		cmocka_unit_test_setup_teardown(
			the_next_holder_waits_for_the_lease_without_tokens,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			the_next_holder_waits_less_where_tokens_are_checked,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_found_ended_is_waited_for_without_tokens,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			without_the_store_such_hosts_get_no_orders, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			without_the_store_hosts_that_check_tokens_get_orders,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			no_task_is_started_by_old_announcements, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			tasks_are_started_while_the_store_is_away, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_full_partition_is_no_store_that_is_away, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_overloaded_holder_takes_no_store_for_away, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			orders_on_their_way_are_waited_for_before_giving_up,
			set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
