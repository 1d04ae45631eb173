/*
 * Appends to a store that is unavailable or slow at times, on a stand-in of the
 * store and a simulated clock.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/shard_journal.h"

#define TOPIC "keyed.wwh"
#define STEP_MS 10
#define CALL_BYTES 65536

/* Longer than the first timeout of an append. */
#define SLOW_APPEND_MS 900

/* A wait ends after this time, so that the following check fails. */
#define WAIT_MAX_MS 20000

typedef struct {
	standin_t *standin;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_shard_journal_t *journal;
	int64_t now_ms;
	int64_t durable;
} fixture_t;

static void on_durable(int64_t record, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->durable = record;
}

static void on_lost(const char *why, void *client_data)
{
	(void)client_data;
	fail_msg("the journal was lost: %s", why);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_shard_journal_options_t options = {
		.topic = TOPIC,
		.producer = "p",
		.epoch = 1,
		.next_sequence = 0,
		.max_call_bytes = CALL_BYTES,
		.on_durable = on_durable,
		.on_lost = on_lost,
		.client_data = fixture,
	};
	char *endpoint;

	fixture->standin = standin_new();
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->now_ms = 1000;
	endpoint = g_strdup_printf("127.0.0.1:%d",
				   wwh_listener_port(fixture->standin->store));
	options.calls = fixture->calls;
	options.endpoint = endpoint;
	fixture->journal = wwh_shard_journal_new(&options);
	g_free(endpoint);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_shard_journal_delete(fixture->journal);
	wwh_http_calls_delete(fixture->calls);
	wwh_counters_delete(fixture->counters);
	standin_delete(fixture->standin);
	g_free(fixture);
	return 0;
}

static void set_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

static int64_t calls_sent(fixture_t *fixture)
{
	return wwh_counter_value(
		wwh_counters_get(fixture->counters, "calls.sent"));
}

/* Completes each call before the simulated clock advances. */
static void run_for(fixture_t *fixture, int64_t run_ms)
{
	int64_t end_ms = fixture->now_ms + run_ms;

	while (fixture->now_ms < end_ms) {
		int64_t limit_ms = standin_now_ms() + WAIT_MAX_MS;

		wwh_shard_journal_run(fixture->journal, fixture->now_ms);
		while (wwh_http_calls_in_progress(fixture->calls) > 0 &&
		       standin_now_ms() < limit_ms)
			wwh_http_calls_poll(fixture->calls, STEP_MS);
		fixture->now_ms += STEP_MS;
	}
}

/*
 * The store refuses all calls for some seconds and recovers. Guards against a retry
 * interval of 0.4 s: callers are rejected until the first append succeeds, and most
 * make their last try in that time. With a retry every 0.1 s the recovery is
 * noticed in time.
 */
static void recovered_store_receives_records_at_once(void **state)
{
	fixture_t *fixture = *state;
	int64_t record;

	set_busy(fixture, true);
	record = wwh_shard_journal_append(fixture->journal, "Ja", NULL, true,
					  fixture->now_ms);
	for (int32_t return_ms = 0; return_ms < 400; return_ms += 100) {
		run_for(fixture, 3000 + return_ms);
		assert_true(fixture->durable < record);
		set_busy(fixture, false);
		run_for(fixture, 120);
		assert_int_equal(fixture->durable, record);
		set_busy(fixture, true);
		record = wwh_shard_journal_append(fixture->journal, "Ja", NULL,
						  true, fixture->now_ms);
	}
}

/* Refused calls load the store too. */
static void retries_are_limited_to_ten_per_second(void **state)
{
	fixture_t *fixture = *state;

	set_busy(fixture, true);
	(void)wwh_shard_journal_append(fixture->journal, "Ja", NULL, true,
				       fixture->now_ms);
	run_for(fixture, 5000);
	assert_true(calls_sent(fixture) <= 52);
}

/*
 * Guards against a slow store that counts as silent for as long as it is slow: every
 * append timed out before its answer.
 */
static void slow_store_accepts_records(void **state)
{
	fixture_t *fixture = *state;
	int64_t record = wwh_shard_journal_append(fixture->journal, "Ja", NULL,
						  true, fixture->now_ms);

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->append_delay_ms = SLOW_APPEND_MS;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 200);
	assert_int_equal(fixture->durable, record);
	assert_true(calls_sent(fixture) <= 2);
	/* the next append succeeds at its first try */
	record = wwh_shard_journal_append(fixture->journal, "Jb", NULL, true,
					  fixture->now_ms);
	run_for(fixture, 20);
	assert_int_equal(fixture->durable, record);
	assert_true(calls_sent(fixture) <= 3);
}

/*
 * Guards against a holder that was overtaken between two calls of one append, the
 * first of which was carried out: the answer to the second one is that of the first.
 */
static void a_repeated_append_confirms_from_its_first_call(void **state)
{
	fixture_t *fixture = *state;
	int64_t first_ms = fixture->now_ms;
	int64_t record = wwh_shard_journal_append(fixture->journal, "Ja", NULL,
						  true, fixture->now_ms);

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->append_delay_ms = SLOW_APPEND_MS;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 200);
	assert_int_equal(fixture->durable, record);
	assert_true(calls_sent(fixture) > 1);
	assert_int_equal(wwh_shard_journal_confirmed_ms(fixture->journal),
			 first_ms);
}

/* Guards against a holder that stays unconfirmed after calls that did nothing. */
static void a_refused_append_confirms_from_the_call_after_it(void **state)
{
	fixture_t *fixture = *state;
	int64_t return_ms;

	set_busy(fixture, true);
	(void)wwh_shard_journal_append(fixture->journal, "Ja", NULL, true,
				       fixture->now_ms);
	run_for(fixture, 1000);
	set_busy(fixture, false);
	return_ms = fixture->now_ms;
	run_for(fixture, 200);
	assert_true(wwh_shard_journal_confirmed_ms(fixture->journal) >=
		    return_ms);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			recovered_store_receives_records_at_once, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			retries_are_limited_to_ten_per_second, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(slow_store_accepts_records,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_repeated_append_confirms_from_its_first_call, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_refused_append_confirms_from_the_call_after_it,
			set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
