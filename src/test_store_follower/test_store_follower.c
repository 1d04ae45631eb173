/*
 * What a follower reports of lists and changes with unreadable records of another
 * writer. Each test sets the store's answers.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/store_follower.h"

#define WAIT_MAX_MS 10000
#define GAP_MS 20

/* list and read are whole bodies of the store's answers. */
typedef struct {
	GMutex lock;
	const char *list;
	bool trimmed; /* the next read is answered 410, log trimmed */
	const uint8_t *read;
	size_t read_size;
	int32_t lists_served;
	int32_t silent_reads; /* that wait for SILENT_MS, then fail */
	bool serves_log; /* serves LOG_RECORDS records instead of read */
	int64_t end_offset_lead; /* how far the log's end is beyond them */
	standin_t *standin; /* for its counters */
	wwh_listener_t *listener;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_store_follower_t *follower;
	/* KEY= for a value, KEY- if deleted, KEY! if unreadable, ?OFFSET */
	GString *reports;
} fixture_t;

static const uint8_t empty_read[16];

/* A read on a connection that delivers nothing any more. */
#define SILENT_MS 2500
#define LONG_WAIT_MS 6000

/* A log whose answers take a time in proportion to their size. */
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

static int64_t query_number(const wwh_http_request_t *http, const char *name,
			    int64_t default_number)
{
	char *text = wwh_http_query_value(http->target, name);
	int64_t number =
		text == NULL ? default_number : g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return number;
}

/* Serves records from the requested offset, up to the requested size. */
static void serve_log(fixture_t *fixture, const wwh_http_request_t *http,
		      wwh_http_response_t *response)
{
	int64_t from = query_number(http, "from", FIRST_OFFSET);
	int64_t most = query_number(http, "maxKb", DEFAULT_KB);
	int64_t end = FIRST_OFFSET + LOG_RECORDS;
	int64_t count = MIN(most, end - from);
	uint8_t record[RECORD_BYTES] = { 1, 'k' };

	response->status = 200;
	put_number(response->body, (uint64_t)(end + fixture->end_offset_lead),
		   8);
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
		fixture->lists_served++;
	} else if (fixture->trimmed) {
		fixture->trimmed = false;
		standin_answer(response, 410, "{\"first\":9}");
	} else if (fixture->silent_reads > 0) {
		fixture->silent_reads--;
		g_mutex_unlock(&fixture->lock);
		g_usleep(SILENT_MS * 1000);
		g_mutex_lock(&fixture->lock);
		standin_answer(response, 503, "");
	} else if (fixture->serves_log) {
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

	g_string_append_printf(fixture->reports, "%s%s ", key,
			       value == NULL ? "-"
			       : size == 0   ? "!"
					     : "=");
}

static void on_unreadable_key(int64_t offset, const char *why,
			      void *client_data)
{
	fixture_t *fixture = client_data;

	assert_non_null(why);
	g_string_append_printf(fixture->reports, "?%d ", (int)offset);
}

static int set_up_with_wait(void **state, int64_t wait_ms)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_store_follower_options_t options = { .topic = "t",
						 .wait_ms = wait_ms,
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
	fixture->reports = g_string_new(NULL);
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

static int set_up(void **state)
{
	return set_up_with_wait(state, 100);
}

static int set_up_with_a_long_wait(void **state)
{
	return set_up_with_wait(state, LONG_WAIT_MS);
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
	g_string_free(fixture->reports, TRUE);
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

/* Serves list as the answer to a full read: the first, or one after a trim. */
static void serve_list_and_run(fixture_t *fixture, const char *list, bool again)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;
	bool done = false;

	g_string_truncate(fixture->reports, 0);
	g_mutex_lock(&fixture->lock);
	fixture->list = list;
	fixture->trimmed = again;
	fixture->lists_served = 0;
	g_mutex_unlock(&fixture->lock);
	while (!done && standin_now_ms() < end_ms) {
		run_for(fixture, 10);
		g_mutex_lock(&fixture->lock);
		done = fixture->lists_served > 0;
		g_mutex_unlock(&fixture->lock);
	}
	assert_true(done);
	run_for(fixture, 200);
}

static void read_first_list(fixture_t *fixture)
{
	serve_list_and_run(fixture,
			   "{\"items\":[{\"key\":\"a\",\"value\":\"YQ==\"},"
			   "{\"key\":\"b\",\"value\":\"YQ==\"}],\"end\":9}",
			   false);
	assert_string_equal(fixture->reports->str, "a= b= ");
}

static void read_list_again(fixture_t *fixture, const char *text)
{
	serve_list_and_run(fixture, text, true);
}

#define VALID_ITEM(key) "{\"key\":\"" key "\",\"value\":\"YQ==\"}"

/*
 * A follower knows two keys, the log is trimmed, and in the next full read one key's
 * value is unreadable. Guards against reporting the key as deleted, by which its
 * upstream counted as removed. The key is reported as unreadable, with its value
 * when that is readable again, and as deleted only when it is gone.
 */
static void unreadable_value_does_not_delete_key(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	read_list_again(fixture, "{\"items\":[" VALID_ITEM(
					 "a") ",{\"key\":\"b\","
					      "\"value\":7}],\"end\":9}");
	assert_string_equal(fixture->reports->str, "a= b! ");
	read_list_again(fixture, "{\"items\":[" VALID_ITEM("a") "," VALID_ITEM(
					 "b") "],\"end\":9}");
	assert_string_equal(fixture->reports->str, "a= b= ");
	read_list_again(fixture, "{\"items\":[" VALID_ITEM("a") "],\"end\":9}");
	assert_string_equal(fixture->reports->str, "a= b- ");
}

/*
 * An unreadable key in a full read: any missing key may be that one, so none is
 * reported as deleted until all keys of a full read are readable.
 */
static void unreadable_key_deletes_no_key(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	read_list_again(
		fixture,
		"{\"items\":[" VALID_ITEM(
			"a") ",{\"key\":7,"
			     "\"value\":\"YQ==\",\"offset\":5}],\"end\":9}");
	assert_string_equal(fixture->reports->str, "a= ?5 ");
	read_list_again(fixture, "{\"items\":[" VALID_ITEM("a") "],\"end\":9}");
	assert_string_equal(fixture->reports->str, "a= b- ");
}

/* A malformed list is requested again, and deletes no key. */
static void malformed_list_deletes_no_key(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	read_list_again(fixture, "{\"items\":7,\"end\":9}");
	assert_string_equal(fixture->reports->str, "");
	assert_true(wwh_store_follower_in_full_read(fixture->follower));
	read_first_list(fixture);
}

/* Unreadable changes in the log don't hide the readable ones around them. */
static void unreadable_change_does_not_stop_follower(void **state)
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

	read_first_list(fixture);
	g_string_truncate(fixture->reports, 0);
	g_mutex_lock(&fixture->lock);
	fixture->read = (const uint8_t *)body;
	fixture->read_size = sizeof(body) - 1;
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 500);
	assert_string_equal(fixture->reports->str, "a= ?10 ?11 ?12 ?13 b- ");
}

/*
 * Guards against refreshes that occupy all connections to the store, one a second, so
 * that no other call to it is made.
 */
static void refreshes_leave_connections_to_the_store(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	g_mutex_lock(&fixture->lock);
	fixture->silent_reads = 10;
	g_mutex_unlock(&fixture->lock);
	for (int32_t i = 0; i < 22; i++) {
		run_for(fixture, 100);
		wwh_store_follower_refresh(fixture->follower, standin_now_ms());
		assert_true(wwh_http_calls_in_progress(fixture->calls) <= 2);
	}
}

/*
 * Guards against a follower that misses changes for the whole of a long wait, as its
 * connection is silent and its owner knows that something changed.
 */
static void refresh_reads_on_another_connection(void **state)
{
	static const char body[] = "\0\0\0\0\0\0\0\x0a\0\0\0\0\0\0\0\0"
				   "\0\0\0\x03\x01"
				   "ax";
	fixture_t *fixture = *state;

	fixture->silent_reads = 1;
	read_first_list(fixture);
	g_string_truncate(fixture->reports, 0);
	run_for(fixture, 300);
	g_mutex_lock(&fixture->lock);
	fixture->read = (const uint8_t *)body;
	fixture->read_size = sizeof(body) - 1;
	g_mutex_unlock(&fixture->lock);
	/* a read that was just sent isn't repeated */
	wwh_store_follower_refresh(fixture->follower, standin_now_ms());
	run_for(fixture, 800);
	assert_string_equal(fixture->reports->str, "");
	wwh_store_follower_refresh(fixture->follower, standin_now_ms());
	run_for(fixture, 200);
	assert_string_equal(fixture->reports->str, "a= ");
	/* the failure of the first read isn't one of the follower */
	run_for(fixture, SILENT_MS);
	assert_string_equal(fixture->reports->str, "a= ");
	assert_false(wwh_store_follower_failing(fixture->follower));
}

/* Counts the changes that were reported; each is one record of the log. */
static int32_t changes_reported(const fixture_t *fixture)
{
	int32_t count = 0;

	for (const char *at = fixture->reports->str; (at = strstr(at, "k="));
	     at++)
		count++;
	return count;
}

/*
 * Guards against a follower that makes no progress once its backlog takes longer to
 * transfer than the timeout of one read.
 */
static void backlog_larger_than_one_read_is_read_in_parts(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	g_string_truncate(fixture->reports, 0);
	g_mutex_lock(&fixture->lock);
	fixture->serves_log = true;
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 5000);
	assert_int_equal(changes_reported(fixture), LOG_RECORDS);
}

/*
 * Guards against a follower that counts as up to date while a part of its backlog
 * hasn't been read.
 */
static void follower_with_backlog_is_not_up_to_date(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms;

	assert_int_equal(wwh_store_follower_complete_ms(fixture->follower), 0);
	read_first_list(fixture);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) > 0);
	g_string_truncate(fixture->reports, 0);
	g_mutex_lock(&fixture->lock);
	fixture->serves_log = true;
	g_mutex_unlock(&fixture->lock);
	begun_ms = standin_now_ms();
	run_for(fixture, 600);
	assert_in_range(changes_reported(fixture), 1, LOG_RECORDS - 1);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) <
		    begun_ms + 100);
	run_for(fixture, 4400);
	assert_true(wwh_store_follower_complete_ms(fixture->follower) >
		    begun_ms + 600);
}

/* Guards against reading every change of a log that is far ahead. */
static void follower_far_behind_reads_newest_of_each_key(void **state)
{
	fixture_t *fixture = *state;

	read_first_list(fixture);
	g_mutex_lock(&fixture->lock);
	fixture->serves_log = true;
	fixture->end_offset_lead = 10000;
	fixture->list = "{\"items\":[" VALID_ITEM("z") "],\"end\":609}";
	g_mutex_unlock(&fixture->lock);
	run_for(fixture, 1000);
	assert_non_null(strstr(fixture->reports->str, "z= "));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			unreadable_value_does_not_delete_key, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(unreadable_key_deletes_no_key,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(malformed_list_deletes_no_key,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			unreadable_change_does_not_stop_follower, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			refreshes_leave_connections_to_the_store,
			set_up_with_a_long_wait, tear_down),
		cmocka_unit_test_setup_teardown(
			refresh_reads_on_another_connection,
			set_up_with_a_long_wait, tear_down),
		cmocka_unit_test_setup_teardown(
			backlog_larger_than_one_read_is_read_in_parts, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			follower_with_backlog_is_not_up_to_date, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			follower_far_behind_reads_newest_of_each_key, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
