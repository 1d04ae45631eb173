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
	GString *rejected; /* keys, each with a space after it */
} fixture_t;

static void on_durable(int64_t record, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->durable = record;
}

static void on_rejected(int64_t record, const char *key, void *client_data)
{
	fixture_t *fixture = client_data;

	assert_true(record > fixture->durable);
	g_string_append_printf(fixture->rejected, "%s ", key);
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
		.on_rejected = on_rejected,
		.on_lost = on_lost,
		.client_data = fixture,
	};
	char *endpoint;

	fixture->rejected = g_string_new(NULL);
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
	g_string_free(fixture->rejected, TRUE);
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

#define RECORD_BYTES 1000

/* Appends count records without values, and one of size bytes in their middle. */
static int64_t append_with_large(fixture_t *fixture, int32_t count, size_t size)
{
	uint8_t *bytes = g_malloc0(size);
	GBytes *value = g_bytes_new_take(bytes, size);
	int64_t last = 0;

	for (int32_t i = 0; i < count; i++) {
		char key[16];

		g_snprintf(key, sizeof(key), "J%d", i);
		last = wwh_shard_journal_append(fixture->journal, key, NULL,
						true, fixture->now_ms);
		if (i == count / 2)
			last = wwh_shard_journal_append(fixture->journal,
							"Plarge", value, true,
							fixture->now_ms);
	}
	g_bytes_unref(value);
	return last;
}

/*
 * Guards against a record that the store never takes and that is sent again for
 * ever, with all records behind it waiting.
 */
static void a_record_that_is_too_large_holds_up_no_other(void **state)
{
	fixture_t *fixture = *state;
	int64_t last;

	fixture->standin->record_max_bytes = RECORD_BYTES;
	last = append_with_large(fixture, 37, RECORD_BYTES + 1);
	run_for(fixture, 500);
	assert_int_equal(fixture->durable, last);
	assert_string_equal(fixture->rejected->str, "Plarge ");
	/* all others, each once and in their order, and the proof that it answers */
	assert_int_equal(
		standin_part(fixture->standin, TOPIC, "0")->records->len,
		37 + 1);
	/* also one that comes alone */
	(void)append_with_large(fixture, 1, RECORD_BYTES + 1);
	run_for(fixture, 500);
	assert_string_equal(fixture->rejected->str, "Plarge Plarge ");
	last = wwh_shard_journal_append(fixture->journal, "Ja", NULL, true,
					fixture->now_ms);
	run_for(fixture, 100);
	assert_int_equal(fixture->durable, last);
}

/*
 * Guards against records that are dropped one by one while the store rejects all
 * that it is sent, whatever its answers say.
 */
static void a_store_that_rejects_everything_drops_no_record(void **state)
{
	fixture_t *fixture = *state;
	int64_t last;

	fixture->standin->rejects_all = true;
	last = append_with_large(fixture, 9, RECORD_BYTES);
	run_for(fixture, 5000);
	assert_string_equal(fixture->rejected->str, "");
	assert_true(calls_sent(fixture) < 60);
	fixture->standin->rejects_all = false;
	run_for(fixture, 1500);
	assert_int_equal(fixture->durable, last);
	assert_string_equal(fixture->rejected->str, "");
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
		cmocka_unit_test_setup_teardown(
			a_record_that_is_too_large_holds_up_no_other, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_store_that_rejects_everything_drops_no_record, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
