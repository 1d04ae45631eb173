#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "private/intent_writer.h"

#define ITEMS 300
#define WAITING_MAX 400

/* A writer and a log that returns a set status and records each append. */
typedef struct {
	GMutex lock;
	GCond changed;
	wwh_status_t append_status; /* status that each append returns */
	int32_t appends;
	bool is_blocked; /* appends block while it is set */
	int32_t in_progress; /* appends in progress */
	int32_t largest_batch; /* number of intents in the largest batch */
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

static void record_intents(fixture_t *fixture, const GPtrArray *items)
{
	fixture->largest_batch =
		MAX(fixture->largest_batch, (int32_t)items->len);
	for (guint i = 0; i < items->len; i++) {
		const wwh_intent_item_t *item = items->pdata[i];

		g_array_append_val(fixture->intents, item->sequence);
	}
}

static void record_results(fixture_t *fixture, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const wwh_result_item_t *item = items->pdata[i];

		if (!contains(fixture->intents, item->sequence))
			fixture->result_before_intent = true;
		g_array_append_val(fixture->results, item->sequence);
	}
}

static wwh_status_t on_append(const wwh_record_t *record, void *client_data)
{
	fixture_t *fixture = client_data;
	wwh_status_t append_status;

	g_mutex_lock(&fixture->lock);
	fixture->in_progress++;
	g_cond_broadcast(&fixture->changed);
	while (fixture->is_blocked)
		g_cond_wait(&fixture->changed, &fixture->lock);
	fixture->in_progress--;
	fixture->appends++;
	if (fixture->append_status == WWH_STATUS_OK &&
	    record->kind == WWH_RECORD_INTENTS)
		record_intents(fixture, record->body.intents.items);
	else if (fixture->append_status == WWH_STATUS_OK)
		record_results(fixture, record->body.results.items);
	append_status = fixture->append_status;
	g_cond_broadcast(&fixture->changed);
	g_mutex_unlock(&fixture->lock);
	return append_status;
}

static void on_failed(int64_t sequence, void *client_data)
{
	fixture_t *fixture = client_data;

	g_mutex_lock(&fixture->lock);
	g_array_append_val(fixture->failed, sequence);
	g_cond_broadcast(&fixture->changed);
	g_mutex_unlock(&fixture->lock);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_intent_writer_options_t options = {
		.author = "entry-1/1",
		.batch_ms = 1,
		.waiting_max = WAITING_MAX,
		.append = on_append,
		.failed = on_failed,
		.client_data = fixture,
	};

	g_mutex_init(&fixture->lock);
	g_cond_init(&fixture->changed);
	fixture->intents = g_array_new(FALSE, FALSE, sizeof(int64_t));
	fixture->results = g_array_new(FALSE, FALSE, sizeof(int64_t));
	fixture->failed = g_array_new(FALSE, FALSE, sizeof(int64_t));
	fixture->counters = wwh_counters_new();
	fixture->writer = wwh_intent_writer_new(&options, fixture->counters);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_intent_writer_delete(fixture->writer);
	wwh_counters_delete(fixture->counters);
	g_array_free(fixture->intents, TRUE);
	g_array_free(fixture->results, TRUE);
	g_array_free(fixture->failed, TRUE);
	g_cond_clear(&fixture->changed);
	g_mutex_clear(&fixture->lock);
	g_free(fixture);
	return 0;
}

static bool add_intent(fixture_t *fixture, int64_t sequence)
{
	wwh_intent_item_t *item = wwh_intent_item_new("s", "k");

	item->sequence = sequence;
	return wwh_intent_writer_add_intent(fixture->writer, item);
}

static void add_result(fixture_t *fixture, int64_t sequence)
{
	wwh_result_item_t *item = wwh_result_item_new("s", "k");

	item->sequence = sequence;
	item->result = WWH_RESULT_NOT_RUN;
	wwh_intent_writer_add_result(fixture->writer, item);
}

static void set_blocked(fixture_t *fixture, bool is_blocked)
{
	g_mutex_lock(&fixture->lock);
	fixture->is_blocked = is_blocked;
	g_cond_broadcast(&fixture->changed);
	g_mutex_unlock(&fixture->lock);
}

static void set_append_status(fixture_t *fixture, wwh_status_t status)
{
	g_mutex_lock(&fixture->lock);
	fixture->append_status = status;
	g_mutex_unlock(&fixture->lock);
}

/* Waits until an append is in progress. */
static void wait_append_in_progress(fixture_t *fixture)
{
	g_mutex_lock(&fixture->lock);
	while (fixture->in_progress == 0)
		g_cond_wait(&fixture->changed, &fixture->lock);
	g_mutex_unlock(&fixture->lock);
}

static void wait_length(fixture_t *fixture, const GArray *array, guint length)
{
	g_mutex_lock(&fixture->lock);
	while (array->len < length)
		g_cond_wait(&fixture->changed, &fixture->lock);
	g_mutex_unlock(&fixture->lock);
}

static void wait_appends(fixture_t *fixture, int32_t more)
{
	int32_t until;

	g_mutex_lock(&fixture->lock);
	until = fixture->appends + more;
	while (fixture->appends < until)
		g_cond_wait(&fixture->changed, &fixture->lock);
	g_mutex_unlock(&fixture->lock);
}

static void queued_intents_are_written_in_one_append(void **state)
{
	fixture_t *fixture = *state;

	set_blocked(fixture, true);
	assert_true(add_intent(fixture, 0));
	wait_append_in_progress(fixture);
	for (int i = 1; i < ITEMS; i++)
		assert_true(add_intent(fixture, i));
	set_blocked(fixture, false);
	wait_length(fixture, fixture->intents, ITEMS);
	assert_int_equal(fixture->largest_batch, ITEMS - 1);
	assert_int_equal(fixture->appends, 2);
	for (int i = 0; i < ITEMS; i++)
		assert_int_equal(g_array_index(fixture->intents, int64_t, i),
				 i);
}

/* Replay ignores a result that precedes its intent. */
static void an_intent_is_written_before_its_result(void **state)
{
	fixture_t *fixture = *state;

	set_blocked(fixture, true);
	assert_true(add_intent(fixture, 0));
	wait_append_in_progress(fixture);
	for (int i = 1; i < 100; i++) {
		assert_true(add_intent(fixture, i));
		add_result(fixture, i);
	}
	set_blocked(fixture, false);
	wait_length(fixture, fixture->results, 99);
	assert_false(fixture->result_before_intent);
}

/*
 * The log is unavailable. Each intent that is certainly not in the log fails at
 * once, and exactly once.
 */
static void a_failed_append_fails_each_of_its_intents(void **state)
{
	fixture_t *fixture = *state;

	set_append_status(fixture, WWH_STATUS_UNAVAILABLE);
	for (int i = 0; i < 50; i++)
		assert_true(add_intent(fixture, i));
	wait_length(fixture, fixture->failed, 50);
	wwh_intent_writer_finish(fixture->writer, 1000);
	assert_int_equal(fixture->failed->len, 50);
	for (int i = 0; i < 50; i++)
		assert_true(contains(fixture->failed, i));
	assert_int_equal(fixture->intents->len, 0);
}

/*
 * The batch may still be read back, so failing its intents could run a key
 * twice.
 */
static void an_unknown_append_fails_no_intent(void **state)
{
	fixture_t *fixture = *state;

	set_append_status(fixture, WWH_STATUS_UNKNOWN);
	assert_true(add_intent(fixture, 1));
	wwh_intent_writer_finish(fixture->writer, 1000);
	assert_int_equal(fixture->appends, 1);
	assert_int_equal(fixture->failed->len, 0);
}

/*
 * A charge ran while the log was unavailable or left the outcome of an append
 * unknown. The result is written again until an append succeeds; otherwise its
 * key would stay in progress for as long as this process runs.
 */
static void a_result_is_written_until_an_append_succeeds(void **state)
{
	static const wwh_status_t bad[] = { WWH_STATUS_UNAVAILABLE,
					    WWH_STATUS_UNKNOWN };
	fixture_t *fixture = *state;

	assert_true(add_intent(fixture, 7));
	wait_length(fixture, fixture->intents, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		set_append_status(fixture, bad[i]);
		add_result(fixture, 7);
		wait_appends(fixture, 2);
		set_append_status(fixture, WWH_STATUS_OK);
		wait_length(fixture, fixture->results, (guint)i + 1);
	}
}

/* A result that can't be encoded does not block later ones. */
static void a_result_that_can_not_be_encoded_is_counted(void **state)
{
	fixture_t *fixture = *state;

	set_append_status(fixture, WWH_STATUS_BAD_INPUT);
	add_result(fixture, 1);
	wait_appends(fixture, 1);
	set_append_status(fixture, WWH_STATUS_OK);
	wwh_intent_writer_finish(fixture->writer, 1000);
	assert_int_equal(fixture->results->len, 0);
	assert_int_equal(wwh_counter_value(wwh_counters_get(fixture->counters,
							    "intents.dropped")),
			 1);
}

/* A full writer rejects intents; results are never rejected. */
static void queued_intents_are_bounded(void **state)
{
	fixture_t *fixture = *state;
	int32_t accepted = 0;

	set_blocked(fixture, true);
	assert_true(add_intent(fixture, 0));
	wait_append_in_progress(fixture);
	for (int i = 1; i <= 2 * WAITING_MAX; i++)
		accepted += add_intent(fixture, i);
	assert_int_equal(accepted, WAITING_MAX);
	add_result(fixture, 1);
	set_blocked(fixture, false);
	wait_length(fixture, fixture->results, 1);
	assert_int_equal(wwh_counter_value(wwh_counters_get(fixture->counters,
							    "intents.refused")),
			 WAITING_MAX);
}

static void finish_writes_the_queued_items(void **state)
{
	fixture_t *fixture = *state;

	set_blocked(fixture, true);
	assert_true(add_intent(fixture, 0));
	wait_append_in_progress(fixture);
	for (int i = 1; i < 10; i++)
		assert_true(add_intent(fixture, i));
	add_result(fixture, 5);
	set_blocked(fixture, false);
	wwh_intent_writer_finish(fixture->writer, 60 * 1000);
	assert_int_equal(fixture->intents->len, 10);
	assert_int_equal(fixture->results->len, 1);
	assert_false(add_intent(fixture, 11));
}

/* A host must stop even if the log stays unavailable. */
static void finish_returns_while_the_log_is_unavailable(void **state)
{
	fixture_t *fixture = *state;

	set_append_status(fixture, WWH_STATUS_UNAVAILABLE);
	add_result(fixture, 1);
	wait_appends(fixture, 1);
	wwh_intent_writer_finish(fixture->writer, 20);
	assert_int_equal(fixture->results->len, 0);
}

#define WRITER_TEST(name)                                                      \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WRITER_TEST(queued_intents_are_written_in_one_append),
		WRITER_TEST(an_intent_is_written_before_its_result),
		WRITER_TEST(a_failed_append_fails_each_of_its_intents),
		WRITER_TEST(an_unknown_append_fails_no_intent),
		WRITER_TEST(a_result_is_written_until_an_append_succeeds),
		WRITER_TEST(a_result_that_can_not_be_encoded_is_counted),
		WRITER_TEST(queued_intents_are_bounded),
		WRITER_TEST(finish_writes_the_queued_items),
		WRITER_TEST(finish_returns_while_the_log_is_unavailable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
