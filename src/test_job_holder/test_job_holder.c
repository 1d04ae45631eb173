/*
 * Tests of the holder against a stand-in platform. The test that deprives the
 * holder of processor time uses its own clock, all others the real one.
 */

#include "test_job_holder.h"

#include <fcntl.h>
#include <unistd.h>

#include "waxwinghollow/job_holder.h"

#define CLOCK_START_MS 100000
#define STARVED_MS 3000
/* Waits end after this time; the following check then fails. */
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

/* Returns a number from the dump's line of upstream u0; -1: not settled yet. */
static int64_t dumped_number(wwh_job_holder_t *holder, const char *name)
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
 * Guards against answers that are dated by the last run of the loop. A holder
 * that got no processor time for three seconds dated the upstreams' clocks in
 * waiting poll answers too early, took leases as expired three seconds too
 * early, and started their tasks a second time elsewhere.
 */
static void an_answer_is_dated_by_its_processing_time(void **state)
{
	standin_t *standin = standin_new();
	wwh_counters_t *counters = wwh_counters_new();
	wwh_http_calls_t *calls = wwh_http_calls_new(counters);
	GHashTable *records = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	/* MessagePack: endpoint and pool */
	static const char upstream_record[] = "\x92\xab"
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
					     .claim_count = 1,
					     .next_sequence = 1,
					     .records = records,
					     .clock_ms = read_clock,
					     .wall_ms = 1000,
					     .on_lost = on_lost };
	wwh_host_settings_t settings;
	wwh_job_holder_t *holder;
	int64_t start_ms = standin_now_ms();

	(void)state;
	/* a previous holder may have started tasks at u0 */
	g_hash_table_insert(
		records, g_strdup("Uu0"),
		g_bytes_new(upstream_record, sizeof(upstream_record) - 1));
	wwh_host_settings_init(&settings);
	settings.name = g_strdup("n");
	settings.store = g_strdup_printf("127.0.0.1:%d",
					 wwh_listener_port(standin->store));
	options.settings = &settings;
	options.log = wwh_event_log_new(&log, counters);
	test_clock_ms = CLOCK_START_MS;
	holder = wwh_job_holder_new(&options);
	/* at real speed: a faster clock would make the lease of u0 expire */
	while (dumped_number(holder, "lease_left_ms=") < 0 &&
	       standin_now_ms() - start_ms < WAIT_MAX_MS) {
		test_clock_ms = CLOCK_START_MS + standin_now_ms() - start_ms;
		wwh_job_holder_run(holder, test_clock_ms, 1000, false);
		wwh_http_calls_poll(calls, 20);
	}
	assert_true(dumped_number(holder, "lease_left_ms=") > 0);
	/* the next poll requests a lease; its answer waits to be read */
	test_clock_ms += 200;
	wwh_job_holder_run(holder, test_clock_ms, 1000, false);
	test_clock_ms += STARVED_MS;
	assert_true(dumped_number(holder, "answered_ms_ago=") >= 200);
	while (dumped_number(holder, "answered_ms_ago=") > 0 &&
	       standin_now_ms() - start_ms < WAIT_MAX_MS)
		wwh_http_calls_poll(calls, 20);
	wwh_job_holder_run(holder, test_clock_ms, 1000, false);
	assert_int_equal(dumped_number(holder, "answered_ms_ago="), 0);
	wwh_job_holder_delete(holder);
	wwh_http_calls_delete(calls);
	wwh_event_log_delete(options.log);
	wwh_host_settings_clear(&settings);
	wwh_counters_delete(counters);
	g_hash_table_destroy(records);
	close(log.fd);
	standin_delete(standin);
}

#define HOLDER_EPOCH (1 << 16)
#define SLOW_APPEND_MS 1500 /* the store answers within 2 s */
#define HOSTS_LEASE_MS 3000
#define LONG_LEASE_MS 12000 /* a busy machine takes seconds for one order */
/* Earliest takeover of a holder that doesn't reach the store. */
#define TAKEOVER_AFTER_MS 1300
#define STEP_MS 20

/* A holder that gives orders to hosts and has no jobs. */
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
	PREVIOUS_NONE = 0,
	PREVIOUS_ENDED,
	PREVIOUS_SILENT
} previous_holder_t;

static void start_holder(fixture_t *fixture, bool hosts_fence,
			 previous_holder_t previous)
{
	wwh_job_holder_options_t options = {
		.settings = &fixture->settings,
		.calls = fixture->calls,
		.counters = fixture->counters,
		.log = fixture->log,
		.topic = "keyed.wwh",
		.producer = "p",
		.epoch = HOLDER_EPOCH,
		.claim_count = 1,
		.next_sequence = 1,
		.previous_holder_may_act = previous == PREVIOUS_SILENT,
		.previous_holder_ended = previous == PREVIOUS_ENDED,
		.records = fixture->records,
		.clock_ms = standin_now_ms,
		.wall_ms = 1000,
		.on_lost = on_lost
	};

	fixture->settings.hosts_fence = hosts_fence;
	fixture->holder = wwh_job_holder_new(&options);
}

/* Orders an upkeep wave over both hosts, one at a time. */
static void order_upkeep_wave(fixture_t *fixture)
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

static int32_t host_orders_received(fixture_t *fixture)
{
	int32_t count;

	g_mutex_lock(&fixture->standin->lock);
	count = fixture->standin->host_orders;
	g_mutex_unlock(&fixture->standin->lock);
	return count;
}

static void set_store_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

/* Returns how long the holder runs until its first host order arrives. */
static int64_t first_order_ms(fixture_t *fixture)
{
	int64_t start_ms = standin_now_ms();

	while (host_orders_received(fixture) == 0 &&
	       standin_now_ms() - start_ms < WAIT_MAX_MS)
		run_for(fixture, STEP_MS);
	return standin_now_ms() - start_ms;
}

/*
 * A silent holder is taken over while its last orders to hosts may be in
 * flight. Where hosts check fencing tokens, the next holder waits for as long
 * as the previous one may not know that it was replaced; otherwise it waits for
 * the whole lease, in which hosts accept one holder only.
 */
static void the_next_holder_waits_for_the_lease_without_fencing(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, PREVIOUS_SILENT);
	order_upkeep_wave(fixture);
	assert_true(first_order_ms(fixture) >= HOSTS_LEASE_MS);
	assert_int_equal(host_orders_received(fixture), 1);
}

static void the_next_holder_waits_less_with_fencing(void **state)
{
	fixture_t *fixture = *state;
	int64_t waited_ms;

	fixture->settings.duty_lease_ms = LONG_LEASE_MS;
	start_holder(fixture, true, PREVIOUS_SILENT);
	order_upkeep_wave(fixture);
	waited_ms = first_order_ms(fixture);
	assert_true(waited_ms >= WWH_OVERTAKEN_HOLDER_MS);
	assert_true(waited_ms < LONG_LEASE_MS);
}

/*
 * Connections to a holder are refused, as its host is cut off, and another
 * process considers it ended. It goes on until the store reports that it was
 * replaced. Guards against hosts without fencing that carry out its orders
 * after the first ones of the next holder.
 */
static void the_next_holder_waits_for_one_found_ended(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, PREVIOUS_ENDED);
	order_upkeep_wave(fixture);
	assert_true(first_order_ms(fixture) >= WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(host_orders_received(fixture), 1);
}

/* Guards against two holders that take one host too many down for their wave. */
static void no_upkeep_begins_while_one_found_ended_may_go_on(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_ENDED);
	order_upkeep_wave(fixture);
	assert_true(first_order_ms(fixture) >= WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(host_orders_received(fixture), 1);
}

/*
 * Guards against a holder that is rejected by the store, is replaced, and goes
 * on taking hosts down until an upstream refuses its token. Hosts that don't
 * check tokens carry out its orders after the next holder's: one host too many
 * is down, and tasks end beyond what their steps may miss.
 */
static void hosts_without_fencing_get_no_orders_without_the_store(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, false, PREVIOUS_NONE);
	run_for(fixture, 1000);
	set_store_busy(fixture, true);
	run_for(fixture, TAKEOVER_AFTER_MS + 100);
	order_upkeep_wave(fixture);
	run_for(fixture, 2000);
	assert_int_equal(host_orders_received(fixture), 0);
	set_store_busy(fixture, false);
	(void)first_order_ms(fixture);
	assert_int_equal(host_orders_received(fixture), 1);
}

/* Such hosts refuse a holder's orders once the next one has given any. */
static void hosts_with_fencing_get_orders_without_the_store(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
	run_for(fixture, 1000);
	set_store_busy(fixture, true);
	run_for(fixture, TAKEOVER_AFTER_MS + 100);
	order_upkeep_wave(fixture);
	(void)first_order_ms(fixture);
	assert_int_equal(host_orders_received(fixture), 1);
}

/* Starts a holder with two recorded upstreams, at addresses where nobody listens. */
static void start_holder_cut_off(fixture_t *fixture, previous_holder_t previous)
{
	static const char record[] = "\x92\xab"
				     "127.0.0.1:9\xa4"
				     "desk";
	GBytes *value = g_bytes_new_static(record, sizeof(record) - 1);

	g_hash_table_insert(fixture->records, (gpointer) "Ugone-1", value);
	g_hash_table_insert(fixture->records, (gpointer) "Ugone-2", value);
	start_holder(fixture, true, previous);
	g_hash_table_remove_all(fixture->records);
	g_bytes_unref(value);
}

/*
 * Guards against an overtaken holder that goes on ordering hosts beside its
 * successor: each host checks its own orders only, so more hosts than a wave's limit
 * are down, and hosts are moved under the successor's tasks.
 */
static void
a_holder_without_most_upstreams_and_the_store_orders_no_hosts(void **state)
{
	fixture_t *fixture = *state;

	start_holder_cut_off(fixture, PREVIOUS_NONE);
	run_for(fixture, 1000);
	set_store_busy(fixture, true);
	run_for(fixture, TAKEOVER_AFTER_MS + 100);
	order_upkeep_wave(fixture);
	run_for(fixture, 2000);
	assert_int_equal(host_orders_received(fixture), 0);
	set_store_busy(fixture, false);
	(void)first_order_ms(fixture);
	assert_int_equal(host_orders_received(fixture), 1);
}

/* Guards against the same by a successor that has reached too few upstreams. */
static void no_upkeep_begins_before_most_upstreams_have_answered(void **state)
{
	fixture_t *fixture = *state;

	start_holder_cut_off(fixture, PREVIOUS_ENDED);
	order_upkeep_wave(fixture);
	run_for(fixture, 2 * WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(host_orders_received(fixture), 0);
}

static void set_refused_epoch(fixture_t *fixture, int64_t epoch)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refused_epoch = epoch;
	g_mutex_unlock(&fixture->standin->lock);
}

static guint wave_reports(fixture_t *fixture)
{
	guint count;

	g_mutex_lock(&fixture->standin->lock);
	count = standin_part(fixture->standin, "keyed.status", "0")
			->records->len;
	g_mutex_unlock(&fixture->standin->lock);
	return count;
}

/*
 * Guards against an overtaken holder that publishes the state of a wave over that of
 * its successor, for instance "active" after "completed".
 */
static void a_holder_without_a_confirmed_claim_reports_no_wave(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
	run_for(fixture, 500);
	set_refused_epoch(fixture, HOLDER_EPOCH);
	run_for(fixture, TAKEOVER_AFTER_MS + 500);
	order_upkeep_wave(fixture);
	run_for(fixture, 1500);
	assert_int_equal(wave_reports(fixture), 0);
	set_refused_epoch(fixture, 0);
	run_for(fixture, 1500);
	assert_true(wave_reports(fixture) > 0);
}

/* Guards against a wave without a state where a slow store takes all records. */
static void a_holder_reports_waves_to_a_slow_store(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
	run_for(fixture, 500);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->append_delay_ms = SLOW_APPEND_MS;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 6000);
	order_upkeep_wave(fixture);
	run_for(fixture, 10000);
	assert_true(wave_reports(fixture) > 0);
}

/*
 * Guards against two holders that order upkeeps of one wave: the previous holder has
 * handed over, and the one before it, which it never fenced, is still obeyed by most
 * upstreams.
 */
static void
no_upkeep_begins_after_a_handover_before_most_upstreams_have_answered(
	void **state)
{
	fixture_t *fixture = *state;

	start_holder_cut_off(fixture, PREVIOUS_NONE);
	order_upkeep_wave(fixture);
	run_for(fixture, 2 * WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(host_orders_received(fixture), 0);
}

/*
 * Guards against a stopping process that releases the shard while an order to a
 * host is unanswered. The next holder then gives its first orders at once, and
 * the late order takes one host too many down.
 */
static void
a_holder_is_not_quiescent_with_an_unanswered_host_order(void **state)
{
	fixture_t *fixture = *state;
	int64_t start_ms = standin_now_ms();

	fixture->standin->host_delay_ms = 1000;
	start_holder(fixture, false, PREVIOUS_NONE);
	order_upkeep_wave(fixture);
	(void)first_order_ms(fixture);
	assert_int_equal(host_orders_received(fixture), 1);
	assert_false(wwh_job_holder_is_quiescent(fixture->holder));
	while (!wwh_job_holder_is_quiescent(fixture->holder) &&
	       standin_now_ms() - start_ms < WAIT_MAX_MS)
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
 * Guards against starts on leaving upstreams by a holder that reads their
 * announcements too late.
 */
static void starts_are_held_while_announcements_are_old(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
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
 * Guards against a full journal partition that counts as a store unreachable
 * for all: starts went on while upstreams announced that they leave.
 */
static void a_full_partition_is_not_an_unreachable_store(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
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
 * Guards against a holder that takes the store as unreachable because its own
 * overloaded loop reads every answer too late.
 */
static void overload_does_not_make_the_store_unreachable(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
	run_for(fixture, 1000);
	wwh_job_holder_set_overloaded(fixture->holder, true);
	set_store_busy(fixture, true);
	run_for(fixture, 2500);
	assert_true(starts_held(fixture));
	wwh_job_holder_set_overloaded(fixture->holder, false);
	run_for(fixture, 300);
	assert_false(starts_held(fixture));
}

/* Guards against held starts while the store is unreachable for all. */
static void starts_go_on_while_the_store_is_unreachable(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture, true, PREVIOUS_NONE);
	run_for(fixture, 500);
	set_store_busy(fixture, true);
	for (int32_t i = 0; i < 20; i++) {
		run_for(fixture, 200);
		assert_false(starts_held(fixture));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_answer_is_dated_by_its_processing_time),
		ENTRY_TESTS,
		cmocka_unit_test_setup_teardown(
			the_next_holder_waits_for_the_lease_without_fencing,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			the_next_holder_waits_less_with_fencing, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			the_next_holder_waits_for_one_found_ended, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			no_upkeep_begins_while_one_found_ended_may_go_on,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			hosts_without_fencing_get_no_orders_without_the_store,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			hosts_with_fencing_get_orders_without_the_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_without_most_upstreams_and_the_store_orders_no_hosts,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			no_upkeep_begins_before_most_upstreams_have_answered,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_without_a_confirmed_claim_reports_no_wave,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_reports_waves_to_a_slow_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			no_upkeep_begins_after_a_handover_before_most_upstreams_have_answered,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			starts_are_held_while_announcements_are_old, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			starts_go_on_while_the_store_is_unreachable, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_full_partition_is_not_an_unreachable_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			overload_does_not_make_the_store_unreachable, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_is_not_quiescent_with_an_unanswered_host_order,
			set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
