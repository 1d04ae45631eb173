/*
 * Records on their way to a store that goes away and comes back, on a
 * stand-in of the store and a clock of the test's.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/shard_journal.h"

#define TOPIC "keyed.wwh"
#define STEP_MS 10
#define CALL_BYTES 65536

/* More than an append is waited for at first. */
#define SLOW_APPEND_MS 900

/* Then a failed check says what is missing. */
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
	fail_msg("the journal is lost: %s", why);
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

/* Each call is over before the test's clock goes on. */
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
 * The store refuses all calls for some seconds and comes back. Callers are
 * turned away until the first append goes through, and most come for the last
 * time then: the journal asked again only 0.4 s after its last refusal. Asked
 * every tenth of a second, the store's return is noticed in time.
 */
static void a_store_that_is_back_gets_its_records_at_once(void **state)
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

/* Each call has its price, refused ones too. */
static void a_store_that_refuses_is_asked_ten_times_a_second(void **state)
{
	fixture_t *fixture = *state;

	set_busy(fixture, true);
	(void)wwh_shard_journal_append(fixture->journal, "Ja", NULL, true,
				       fixture->now_ms);
	run_for(fixture, 5000);
	assert_true(calls_sent(fixture) <= 52);
}

/*
 * Guards against a store that is slow for all and counts as silent for as long as
 * it is: no append was waited for until its answer.
 */
static void a_slow_store_takes_records(void **state)
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
	/* and the next one is waited for at its first try */
	record = wwh_shard_journal_append(fixture->journal, "Jb", NULL, true,
					  fixture->now_ms);
	run_for(fixture, 20);
	assert_int_equal(fixture->durable, record);
	assert_true(calls_sent(fixture) <= 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_store_that_is_back_gets_its_records_at_once, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_store_that_refuses_is_asked_ten_times_a_second,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_slow_store_takes_records,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
