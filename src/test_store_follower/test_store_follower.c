/*
 * What a follower reports of lists and changes in which another writer has
 * left what can't be read. The store answers with what each test says.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/store_follower.h"

#define WAIT_MAX_MS 10000
#define GAP_MS 20

/* A list's answer and that of a read of its log; each is a whole body. */
typedef struct {
	GMutex lock;
	const char *list;
	bool trimmed; /* the next read is told that its log is */
	const uint8_t *read;
	size_t read_size;
	int32_t lists; /* that were answered */
	bool has_log; /* LOG_RECORDS are served in place of read */
	int64_t end_beyond; /* the log ends so far behind them */
	standin_t *standin; /* for its counters */
	wwh_listener_t *listener;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_store_follower_t *follower;
	GString *seen; /* a word for each report */
} fixture_t;

static const uint8_t empty_read[16];

/* Of a store whose answers take time by their size. */
#define LOG_RECORDS 600
#define RECORD_BYTES 1024
#define RECORD_US 3000
#define FIRST_OFFSET 9
#define DEFAULT_KB 1024

static void put_number(GByteArray *body, uint64_t number, int32_t bytes)
{
	for (int32_t i = bytes - 1; i >= 0; i--) {
		uint8_t byte = (uint8_t)(number >> (8 * i));

		g_byte_array_append(body, &byte, 1);
	}
}

static int64_t number_of(const wwh_http_request_t *http, const char *name,
			 int64_t missing)
{
	char *text = wwh_http_query_value(http->target, name);
	int64_t number =
		text == NULL ? missing : g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return number;
}

/* As many records from the offset asked for as the size asked for allows. */
static void serve_log(fixture_t *fixture, const wwh_http_request_t *http,
		      wwh_http_response_t *response)
{
	int64_t from = number_of(http, "from", FIRST_OFFSET);
	int64_t most = number_of(http, "maxKb", DEFAULT_KB);
	int64_t end = FIRST_OFFSET + LOG_RECORDS;
	int64_t count = MIN(most, end - from);
	uint8_t record[RECORD_BYTES] = { 1, 'k' };

	response->status = 200;
	put_number(response->body, (uint64_t)(end + fixture->end_beyond), 8);
	put_number(response->body, 0, 8);
	for (int64_t i = 0; i < count; i++) {
		put_number(response->body, RECORD_BYTES, 4);
		g_byte_array_append(response->body, record, RECORD_BYTES);
	}
	g_mutex_unlock(&fixture->lock);
	g_usleep((gulong)(count * RECORD_US));
	g_mutex_lock(&fixture->lock);
}

static void on_store(const wwh_http_request_t *http,
		     wwh_http_response_t *response, void *data)
{
	fixture_t *fixture = data;
	char *path = wwh_http_target_path(http->target);

	g_mutex_lock(&fixture->lock);
	if (g_str_has_suffix(path, "/log-newest")) {
		standin_answer(response, 200, fixture->list);
		fixture->lists++;
	} else if (fixture->trimmed) {
		fixture->trimmed = false;
		standin_answer(response, 410, "{\"first\":9}");
	} else if (fixture->has_log) {
		serve_log(fixture, http, response);
	} else {
		response->status = 200;
		g_byte_array_append(response->body, fixture->read,
				    (guint)fixture->read_size);
		fixture->read = empty_read;
		fixture->read_size = sizeof(empty_read);
	}
	g_mutex_unlock(&fixture->lock);
	g_free(path);
}

static void on_record(const char *key, const uint8_t *value, size_t size,
		      void *client_data)
{
	fixture_t *fixture = client_data;

	g_string_append_printf(fixture->seen, "%s%s ", key,
			       value == NULL ? "-"
			       : size == 0   ? "!"
					     : "=");
}

static void on_unreadable_key(int64_t offset, const char *why,
			      void *client_data)
{
	fixture_t *fixture = client_data;

	assert_non_null(why);
	g_string_append_printf(fixture->seen, "?%d ", (int)offset);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_store_follower_options_t options = { .topic = "t",
						 .wait_ms = 100,
						 .read_interval_ms = GAP_MS,
						 .on_record = on_record,
						 .on_unreadable_key =
							 on_unreadable_key };
	char *endpoint;

	fixture->standin = standin_new();
	fixture->list = "{\"end\":9}";
	fixture->read = empty_read;
	fixture->read_size = sizeof(empty_read);
	fixture->listener = standin_listen(fixture->standin, on_store, fixture);
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->seen = g_string_new(NULL);
	endpoint = g_strdup_printf("127.0.0.1:%d",
				   wwh_listener_port(fixture->listener));
	options.calls = fixture->calls;
	options.endpoint = endpoint;
	options.client_data = fixture;
	fixture->follower = wwh_store_follower_new(&options);
	g_free(endpoint);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_store_follower_delete(fixture->follower);
	wwh_http_calls_delete(fixture->calls);
	(void)wwh_listener_drain(fixture->listener, 0);
	wwh_listener_delete(fixture->listener);
	wwh_counters_delete(fixture->counters);
	standin_delete(fixture->standin);
	g_string_free(fixture->seen, TRUE);
	g_free(fixture);
	return 0;
}

static void run_for(fixture_t *fixture, int64_t run_ms)
{
	int64_t end_ms = standin_now_ms() + run_ms;

	while (standin_now_ms() < end_ms) {
		wwh_store_follower_run(fixture->follower, standin_now_ms());
		wwh_http_calls_poll(fixture->calls, 5);
	}
}

/* All keys are read, at first or again, as this list. */
static void list(fixture_t *fixture, const char *list, bool again)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;
	bool done = false;

	g_string_truncate(fixture->seen, 0);
	g_mutex_lock(&fixture->lock);
	fixture->list = list;
	fixture->trimmed = again;
	fixture->lists = 0;
	g_mutex_unlock(&fixture->lock);
	while (!done && standin_now_ms() < end_ms) {
		run_for(fixture, 10);
		g_mutex_lock(&fixture->lock);
		done = fixture->lists > 0;
		g_mutex_unlock(&fixture->lock);
	}
	assert_true(done);
	run_for(fixture, 200);
}

static void list_first(fixture_t *fixture)
{
	list(fixture,
	     "{\"items\":[{\"key\":\"a\",\"value\":\"YQ==\"},"
	     "{\"key\":\"b\",\"value\":\"YQ==\"}],\"end\":9}",
	     false);
	assert_string_equal(fixture->seen->str, "a= b= ");
}

static void list_again(fixture_t *fixture, const char *text)
{
	list(fixture, text, true);
}

#define WHOLE(key) "{\"key\":\"" key "\",\"value\":\"YQ==\"}"

/*
 * A follower knows two keys, the history is dropped, and in the list that it
 * reads then one key's value can't be read. The key was taken as dropped, and
 * its upstream as removed. It is there; mended it is whole, and gone dropped.
 */
static void a_bad_value_is_not_a_dropped_key(void **state)
{
	fixture_t *fixture = *state;

	list_first(fixture);
	list_again(fixture,
		   "{\"items\":[" WHOLE("a") ",{\"key\":\"b\","
					     "\"value\":7}],\"end\":9}");
	assert_string_equal(fixture->seen->str, "a= b! ");
	list_again(fixture,
		   "{\"items\":[" WHOLE("a") "," WHOLE("b") "],\"end\":9}");
	assert_string_equal(fixture->seen->str, "a= b= ");
	list_again(fixture, "{\"items\":[" WHOLE("a") "],\"end\":9}");
	assert_string_equal(fixture->seen->str, "a= b- ");
}

/*
 * The same, and the key itself can't be read: any key that is missing may be
 * that one, and none is dropped until a list comes that can be read.
 */
static void a_bad_key_drops_no_other(void **state)
{
	fixture_t *fixture = *state;

	list_first(fixture);
	list_again(fixture,
		   "{\"items\":[" WHOLE(
			   "a") ",{\"key\":7,"
				"\"value\":\"YQ==\",\"offset\":5}],\"end\":9}");
	assert_string_equal(fixture->seen->str, "a= ?5 ");
	list_again(fixture, "{\"items\":[" WHOLE("a") "],\"end\":9}");
	assert_string_equal(fixture->seen->str, "a= b- ");
}

/* An answer that is no list is asked for again, and drops nothing. */
static void an_answer_that_is_no_list_drops_nothing(void **state)
{
	fixture_t *fixture = *state;

	list_first(fixture);
	list_again(fixture, "{\"items\":7,\"end\":9}");
	assert_string_equal(fixture->seen->str, "");
	assert_true(wwh_store_follower_in_full_read(fixture->follower));
	list_first(fixture);
}

/* Among changes of the log some can't be read: those around them are told. */
static void a_bad_change_stops_no_watch(void **state)
{
	static const char body[] = "\0\0\0\0\0\0\0\x0d\0\0\0\0\0\0\0\0"
				   "\0\0\0\x03\x01"
				   "ax"
				   "\0\0\0\0"
				   "\0\0\0\x02\x09"
				   "a"
				   "\0\0\0\x04\x02"
				   "a\0x"
				   "\0\0\0\x03\x01"
				   "\xff"
				   "x"
				   "\0\0\0\x02\x01"
				   "b";
	fixture_t *fixture = *state;

	list_first(fixture);
	g_string_truncate(fixture->seen, 0);
	g_mutex_lock(&fixture->lock);
	fixture->read = (const uint8_t *)body;
	fixture->read_size = sizeof(body) - 1;
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 500);
	assert_string_equal(fixture->seen->str, "a= ?10 ?11 ?12 ?13 b- ");
}

/* Counts the changes that were reported; each is one record of the log. */
static int32_t changes_seen(const fixture_t *fixture)
{
	int32_t count = 0;

	for (const char *at = fixture->seen->str; (at = strstr(at, "k=")); at++)
		count++;
	return count;
}

/*
 * Guards against a follower that stops for good once its backlog takes longer
 * to transfer than one read may last.
 */
static void a_backlog_larger_than_one_read_is_read_in_parts(void **state)
{
	fixture_t *fixture = *state;

	list_first(fixture);
	g_string_truncate(fixture->seen, 0);
	g_mutex_lock(&fixture->lock);
	fixture->has_log = true;
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 5000);
	assert_int_equal(changes_seen(fixture), LOG_RECORDS);
}

/*
 * Guards against a follower that counts as up to date while a part of its backlog
 * hasn't been read.
 */
static void a_follower_with_a_backlog_is_not_up_to_date(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms;

	assert_int_equal(wwh_store_follower_complete_ms(fixture->follower), 0);
	list_first(fixture);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) > 0);
	g_string_truncate(fixture->seen, 0);
	g_mutex_lock(&fixture->lock);
	fixture->has_log = true;
	g_mutex_unlock(&fixture->lock);
	begun_ms = standin_now_ms();
	run_for(fixture, 600);
	assert_in_range(changes_seen(fixture), 1, LOG_RECORDS - 1);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) <
		    begun_ms + 100);
	run_for(fixture, 4400);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) >
		    begun_ms + 600);
}

/* Guards against reading every change of a log that has run far ahead. */
static void a_follower_far_behind_reads_the_newest_of_each_key(void **state)
{
	fixture_t *fixture = *state;

	list_first(fixture);
	g_mutex_lock(&fixture->lock);
	fixture->has_log = true;
	fixture->end_beyond = 10000;
	fixture->list = "{\"items\":[" WHOLE("z") "],\"end\":609}";
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 1000);
	assert_non_null(strstr(fixture->seen->str, "z= "));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_bad_value_is_not_a_dropped_key, set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_bad_key_drops_no_other,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			an_answer_that_is_no_list_drops_nothing, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_bad_change_stops_no_watch,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_backlog_larger_than_one_read_is_read_in_parts, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_follower_with_a_backlog_is_not_up_to_date, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_follower_far_behind_reads_the_newest_of_each_key,
			set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
