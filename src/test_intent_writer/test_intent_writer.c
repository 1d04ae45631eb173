#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "private/intent_writer.h"

#define ITEMS 300
#define WAITING_MAX 400

/* A log that answers as told and notes what it was given. */
typedef struct {
	GMutex lock;
	GCond changed;
	wwh_status_t answer; /* to each append, from now on */
	int32_t appends;
	bool held; /* appends wait */
	int32_t waiting; /* appends that do */
	int32_t largest;
	GArray *intents; /* of int64_t: sequences in the order of appends */
	GArray *results;
	GArray *failed;
	bool result_before_intent;
	wwh_counters_t *counters;
	wwh_intent_writer_t *writer;
} fixture_t;

static bool contains(const GArray *array, int64_t sequence)
{
	for (guint i = 0; i < array->len; i++) {
		if (g_array_index(array, int64_t, i) == sequence)
			return true;
	}
	return false;
}

static void note_intents(fixture_t *log, const GPtrArray *items)
{
	log->largest = MAX(log->largest, (int32_t)items->len);
	for (guint i = 0; i < items->len; i++) {
		const wwh_intent_item_t *item = items->pdata[i];

		g_array_append_val(log->intents, item->sequence);
	}
}

static void note_results(fixture_t *log, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const wwh_result_item_t *item = items->pdata[i];

		if (!contains(log->intents, item->sequence))
			log->result_before_intent = true;
		g_array_append_val(log->results, item->sequence);
	}
}

static wwh_status_t append(const wwh_record_t *record, void *client_data)
{
	fixture_t *log = client_data;
	wwh_status_t answer;

	g_mutex_lock(&log->lock);
	log->waiting++;
	g_cond_broadcast(&log->changed);
	while (log->held)
		g_cond_wait(&log->changed, &log->lock);
	log->waiting--;
	log->appends++;
	if (log->answer == WWH_STATUS_OK && record->kind == WWH_RECORD_INTENTS)
		note_intents(log, record->body.intents.items);
	else if (log->answer == WWH_STATUS_OK)
		note_results(log, record->body.results.items);
	answer = log->answer;
	g_cond_broadcast(&log->changed);
	g_mutex_unlock(&log->lock);
	return answer;
}

static void failed(int64_t sequence, void *client_data)
{
	fixture_t *log = client_data;

	g_mutex_lock(&log->lock);
	g_array_append_val(log->failed, sequence);
	g_cond_broadcast(&log->changed);
	g_mutex_unlock(&log->lock);
}

static int set_up(void **state)
{
	fixture_t *log = g_new0(fixture_t, 1);
	wwh_intent_writer_options_t options = {
		.author = "entry-1/1",
		.batch_ms = 1,
		.waiting_max = WAITING_MAX,
		.append = append,
		.failed = failed,
		.client_data = log,
	};

	g_mutex_init(&log->lock);
	g_cond_init(&log->changed);
	log->intents = g_array_new(FALSE, FALSE, sizeof(int64_t));
	log->results = g_array_new(FALSE, FALSE, sizeof(int64_t));
	log->failed = g_array_new(FALSE, FALSE, sizeof(int64_t));
	log->counters = wwh_counters_new();
	log->writer = wwh_intent_writer_new(&options, log->counters);
	*state = log;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *log = *state;

	wwh_intent_writer_delete(log->writer);
	wwh_counters_delete(log->counters);
	g_array_free(log->intents, TRUE);
	g_array_free(log->results, TRUE);
	g_array_free(log->failed, TRUE);
	g_cond_clear(&log->changed);
	g_mutex_clear(&log->lock);
	g_free(log);
	return 0;
}

static bool add_intent(fixture_t *log, int64_t sequence)
{
	wwh_intent_item_t *item = wwh_intent_item_new("s", "k");

	item->sequence = sequence;
	return wwh_intent_writer_add_intent(log->writer, item);
}

static void add_result(fixture_t *log, int64_t sequence)
{
	wwh_result_item_t *item = wwh_result_item_new("s", "k");

	item->sequence = sequence;
	item->result = WWH_RESULT_NOT_RUN;
	wwh_intent_writer_add_result(log->writer, item);
}

static void hold(fixture_t *log, bool held)
{
	g_mutex_lock(&log->lock);
	log->held = held;
	g_cond_broadcast(&log->changed);
	g_mutex_unlock(&log->lock);
}

static void answer(fixture_t *log, wwh_status_t status)
{
	g_mutex_lock(&log->lock);
	log->answer = status;
	g_mutex_unlock(&log->lock);
}

/* Until an append waits in the log. */
static void wait_held(fixture_t *log)
{
	g_mutex_lock(&log->lock);
	while (log->waiting == 0)
		g_cond_wait(&log->changed, &log->lock);
	g_mutex_unlock(&log->lock);
}

static void wait_length(fixture_t *log, const GArray *array, guint length)
{
	g_mutex_lock(&log->lock);
	while (array->len < length)
		g_cond_wait(&log->changed, &log->lock);
	g_mutex_unlock(&log->lock);
}

static void wait_appends(fixture_t *log, int32_t more)
{
	int32_t until;

	g_mutex_lock(&log->lock);
	until = log->appends + more;
	while (log->appends < until)
		g_cond_wait(&log->changed, &log->lock);
	g_mutex_unlock(&log->lock);
}

static void what_waits_goes_into_one_append(void **state)
{
	fixture_t *log = *state;

	hold(log, true);
	assert_true(add_intent(log, 0));
	wait_held(log);
	for (int i = 1; i < ITEMS; i++)
		assert_true(add_intent(log, i));
	hold(log, false);
	wait_length(log, log->intents, ITEMS);
	assert_int_equal(log->largest, ITEMS - 1);
	assert_int_equal(log->appends, 2);
	for (int i = 0; i < ITEMS; i++)
		assert_int_equal(g_array_index(log->intents, int64_t, i), i);
}

/* Replay drops a result that it meets before its intent. */
static void an_intent_is_written_before_its_result(void **state)
{
	fixture_t *log = *state;

	hold(log, true);
	assert_true(add_intent(log, 0));
	wait_held(log);
	for (int i = 1; i < 100; i++) {
		assert_true(add_intent(log, i));
		add_result(log, i);
	}
	hold(log, false);
	wait_length(log, log->results, 99);
	assert_false(log->result_before_intent);
}

/*
 * The log is down. Each caller whose intent is surely not on it is told at
 * once, and each of them exactly once.
 */
static void a_refused_append_fails_each_of_its_intents(void **state)
{
	fixture_t *log = *state;

	answer(log, WWH_STATUS_UNAVAILABLE);
	for (int i = 0; i < 50; i++)
		assert_true(add_intent(log, i));
	wait_length(log, log->failed, 50);
	wwh_intent_writer_finish(log->writer, 1000);
	assert_int_equal(log->failed->len, 50);
	for (int i = 0; i < 50; i++)
		assert_true(contains(log->failed, i));
	assert_int_equal(log->intents->len, 0);
}

/* The batch may yet be read back: to fail it could run its key twice. */
static void an_unknown_append_fails_no_intent(void **state)
{
	fixture_t *log = *state;

	answer(log, WWH_STATUS_UNKNOWN);
	assert_true(add_intent(log, 1));
	wwh_intent_writer_finish(log->writer, 1000);
	assert_int_equal(log->appends, 1);
	assert_int_equal(log->failed->len, 0);
}

/*
 * A charge ran while the log was down or did not say whether it took the
 * result. The result is written again until the log says so; else its key
 * would stay in progress for as long as this process runs.
 */
static void a_result_is_written_until_the_log_has_it(void **state)
{
	static const wwh_status_t bad[] = { WWH_STATUS_UNAVAILABLE,
					    WWH_STATUS_UNKNOWN };
	fixture_t *log = *state;

	assert_true(add_intent(log, 7));
	wait_length(log, log->intents, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		answer(log, bad[i]);
		add_result(log, 7);
		wait_appends(log, 2);
		answer(log, WWH_STATUS_OK);
		wait_length(log, log->results, (guint)i + 1);
	}
}

/* One result that can't be encoded does not stop those that come later. */
static void a_result_that_can_not_be_written_is_counted(void **state)
{
	fixture_t *log = *state;

	answer(log, WWH_STATUS_BAD_INPUT);
	add_result(log, 1);
	wait_appends(log, 1);
	answer(log, WWH_STATUS_OK);
	wwh_intent_writer_finish(log->writer, 1000);
	assert_int_equal(log->results->len, 0);
	assert_int_equal(wwh_counter_value(wwh_counters_get(log->counters,
							    "intents.dropped")),
			 1);
}

/* A full writer refuses intents; results are never refused. */
static void intents_that_wait_are_bounded(void **state)
{
	fixture_t *log = *state;
	int32_t taken = 0;

	hold(log, true);
	assert_true(add_intent(log, 0));
	wait_held(log);
	for (int i = 1; i <= 2 * WAITING_MAX; i++)
		taken += add_intent(log, i);
	assert_int_equal(taken, WAITING_MAX);
	add_result(log, 1);
	hold(log, false);
	wait_length(log, log->results, 1);
	assert_int_equal(wwh_counter_value(wwh_counters_get(log->counters,
							    "intents.refused")),
			 WAITING_MAX);
}

static void finish_writes_what_is_left(void **state)
{
	fixture_t *log = *state;

	hold(log, true);
	assert_true(add_intent(log, 0));
	wait_held(log);
	for (int i = 1; i < 10; i++)
		assert_true(add_intent(log, i));
	add_result(log, 5);
	hold(log, false);
	wwh_intent_writer_finish(log->writer, 60 * 1000);
	assert_int_equal(log->intents->len, 10);
	assert_int_equal(log->results->len, 1);
	assert_false(add_intent(log, 11));
}

/* With a log that never comes back a host still stops. */
static void finish_ends_though_the_log_is_down(void **state)
{
	fixture_t *log = *state;

	answer(log, WWH_STATUS_UNAVAILABLE);
	add_result(log, 1);
	wait_appends(log, 1);
	wwh_intent_writer_finish(log->writer, 20);
	assert_int_equal(log->results->len, 0);
}

#define WRITER_TEST(name)                                                      \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WRITER_TEST(what_waits_goes_into_one_append),
		WRITER_TEST(an_intent_is_written_before_its_result),
		WRITER_TEST(a_refused_append_fails_each_of_its_intents),
		WRITER_TEST(an_unknown_append_fails_no_intent),
		WRITER_TEST(a_result_is_written_until_the_log_has_it),
		WRITER_TEST(a_result_that_can_not_be_written_is_counted),
		WRITER_TEST(intents_that_wait_are_bounded),
		WRITER_TEST(finish_writes_what_is_left),
		WRITER_TEST(finish_ends_though_the_log_is_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
