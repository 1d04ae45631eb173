/*
 * Lists of the platform as another writer may have left them: what is passed
 * over without loss of the rest. Here too: main.
 */

#include "test_wire.h"

#include "wire_hosts.h"
#include "wire_operator.h"
#include "wire_store.h"
#include "wire_upstream.h"

/* What a visit to a list has seen, a word each. */
typedef struct {
	GString *seen;
} visits_t;

static wwh_http_answer_t answer_of(const void *body, size_t size)
{
	wwh_http_answer_t answer = { .outcome = WWH_CALL_ANSWERED,
				     .status = 200,
				     .body = body,
				     .body_size = size };

	return answer;
}

static void on_record(const wire_record_t *record, void *client_data)
{
	visits_t *visits = client_data;

	g_string_append_printf(visits->seen, "%s%s%s ",
			       record->key == NULL ? "?" : record->key,
			       record->value == NULL ? "-" : "=",
			       record->size == 0 ? "" : "v");
}

static char *newest_of(const char *body, char **last)
{
	visits_t visits = { .seen = g_string_new(NULL) };
	wwh_http_answer_t answer = answer_of(body, strlen(body));
	int64_t end = 0;

	if (wire_store_newest_answer(&answer, &end, last, on_record, &visits) !=
	    WIRE_STORE_OK)
		g_string_append(visits.seen, "not-ok");
	return g_string_free(visits.seen, FALSE);
}

/*
 * Among the newest records of all keys stands one without a value that can be
 * read. It was left out, its reader took the key as dropped, and an upstream
 * at work was taken as gone. It is there, with nothing in it; the others hold.
 */
static void a_bad_value_in_a_list_is_there_and_empty(void **state)
{
	static const char *const values[] = {
		"\"value\":7", "\"value\":null",    "\"value\":\"\"",
		"\"text\":7",  "\"value\":[\"a\"]",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		char *body = g_strdup_printf(
			"{\"items\":[{\"key\":\"u1\",\"value\":\"YQ==\"},"
			"{\"key\":\"u2\",%s},"
			"{\"key\":\"u3\",\"value\":\"YQ==\"}],"
			"\"truncated\":false,\"end\":9}",
			values[i]);
		char *last = NULL;
		char *seen = newest_of(body, &last);

		assert_string_equal(seen, "u1=v u2= u3=v ");
		assert_null(last);
		g_free(seen);
		g_free(body);
	}
}

/*
 * The last item of a page has no key to go on with. The reading ended there,
 * and all keys of the pages behind it were taken as dropped.
 */
static void a_page_that_ends_in_a_bad_item_goes_on(void **state)
{
	char *last = NULL;
	char *seen = newest_of("{\"items\":[{\"key\":\"u1\","
			       "\"value\":\"YQ==\"},7],"
			       "\"truncated\":true,\"end\":9}",
			       &last);

	(void)state;
	assert_non_null(last);
	assert_string_equal(last, "u1");
	g_free(seen);
	g_free(last);
}

/* An answer that isn't a list is none, and not an empty one. */
static void a_list_that_is_none_is_not_taken_as_empty(void **state)
{
	static const char *const bodies[] = {
		"{\"items\":7,\"end\":9}",
		"{\"items\":[],\"truncated\":7,\"end\":9}",
		"{\"items\":[],\"end\":\"9\"}",
		"{\"items\":[7],\"truncated\":true,\"end\":9}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		char *last = NULL;
		char *seen = newest_of(bodies[i], &last);

		if (strstr(seen, "not-ok") == NULL)
			fail_msg("taken: %s", bodies[i]);
		g_free(seen);
		g_free(last);
	}
}

/*
 * A change in the log has a key with a zero byte in it. It was read as the key
 * before that byte, which is an upstream's: that one was taken as dropped.
 */
static void a_key_with_a_zero_byte_is_no_other_key(void **state)
{
	static const char body[] = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0"
				   "\0\0\0\x05\x02u1ab"
				   "\0\0\0\x05\x04u1\0x"
				   "\0\0\0\x03\x02u2";
	visits_t visits = { .seen = g_string_new(NULL) };
	wwh_http_answer_t answer = answer_of(body, sizeof(body) - 1);
	int64_t next = 0;
	int64_t end = 0;

	(void)state;
	assert_int_equal(wire_store_read_answer(&answer, 6, &next, &end,
						on_record, &visits),
			 WIRE_STORE_OK);
	assert_int_equal(next, 9);
	assert_int_equal(end, 9);
	assert_null(strstr(visits.seen->str, "u1- "));
	assert_non_null(strstr(visits.seen->str, "u1=v "));
	assert_non_null(strstr(visits.seen->str, "u2- "));
	g_string_free(visits.seen, TRUE);
}

/* The same key in a list of all keys, where it is written as JSON. */
static void a_zero_byte_in_a_list_cuts_no_key_off(void **state)
{
	char *last = NULL;
	char *seen = newest_of("{\"items\":[{\"key\":\"u1\\u0000x\","
			       "\"value\":7},{\"key\":\"u\\\\u0000\","
			       "\"value\":\"YQ==\"}],\"end\":9}",
			       &last);

	(void)state;
	assert_string_equal(seen, "u1\xef\xbf\xbdx= u\\u0000=v ");
	g_free(seen);
}

/* One key holds bytes that are no text: the other rows of the list hold. */
static void bytes_that_are_no_text_spoil_no_list(void **state)
{
	char *last = NULL;
	char *seen = newest_of("{\"items\":[{\"key\":\"u\xff\","
			       "\"value\":\"YQ==\"}, {\"key\":\"u2\","
			       "\"value\":\"YQ==\"}],\"end\":9}",
			       &last);

	(void)state;
	assert_string_equal(seen, "?= u2=v ");
	g_free(seen);
}

/*
 * The group's answer has a row whose number isn't one, and rows of other
 * topics. They were taken for this process's share of the shard.
 */
static void only_a_row_of_the_topic_and_number_assigns(void **state)
{
	static const char *const rows[] = {
		"[\"keyed.wwh\",\"0\",0]",
		"[\"keyed.wwh\",null,0]",
		"[\"keyed.wwh\",{},0]",
		"[\"keyed.wwh\",0.4,0]",
		"[7,0,0]",
		"7",
		"[]",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = g_strdup_printf(
			"{\"generation\":3,\"parts\":[%s]}", rows[i]);
		wwh_http_answer_t answer = answer_of(body, strlen(body));
		int64_t generation = 0;
		bool mine = true;

		assert_int_equal(wire_store_join_answer(&answer, "keyed.wwh", 0,
							&generation, &mine),
				 WIRE_STORE_OK);
		if (mine)
			fail_msg("taken: %s", rows[i]);
		g_free(body);
	}
}

static void on_host(const wwh_listed_host_t *host, void *client_data)
{
	visits_t *visits = client_data;

	g_string_append_printf(visits->seen, "%s ",
			       host->name == NULL ? "?" : host->name);
}

static char *hosts_of(const char *rows, const char *next_token)
{
	visits_t visits = { .seen = g_string_new(NULL) };
	char *body = g_strdup_printf("{\"machines\":%s,\"nextToken\":%s}", rows,
				     next_token);
	wwh_http_answer_t answer = answer_of(body, strlen(body));
	char *next = NULL;

	if (!wire_hosts_list_answer(&answer, &next, on_host, &visits))
		g_string_append(visits.seen, "not-ok");
	g_free(next);
	g_free(body);
	return g_string_free(visits.seen, FALSE);
}

/*
 * A host's row in the list has a field of another type. It was left out of the
 * list, the host was taken as removed after three of them, and its wave was
 * reported as completed without it.
 */
static void a_bad_row_of_a_host_still_says_that_it_is_there(void **state)
{
	static const char *const fields[] = {
		"\"state\":\"up\"",
		"\"pool\":7,\"state\":\"up\"",
		"\"pool\":\"p\",\"state\":7",
		"\"pool\":\"p\",\"state\":\"asleep\"",
		"\"pool\":\"p\",\"state\":\"up\",\"id\":7",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *rows = g_strdup_printf(
			"[{\"machine\":\"m1\",%s},{\"machine\":\"m2\","
			"\"pool\":\"p\",\"state\":\"up\",\"id\":null}]",
			fields[i]);
		char *seen = hosts_of(rows, "null");

		if (strcmp(seen, "m1 m2 ") != 0)
			fail_msg("seen: %s of %s", seen, rows);
		g_free(seen);
		g_free(rows);
	}
}

static void on_whole_host(const wwh_listed_host_t *host, void *client_data)
{
	int32_t *count = client_data;

	assert_null(host->unreadable);
	(*count)++;
}

/* Nothing runs on a host that rests or moves: its row names no upstream. */
static void a_host_without_an_upstream_is_whole(void **state)
{
	static const char body[] =
		"{\"machines\":[{\"machine\":\"m1\",\"pool\":\"p\","
		"\"state\":\"moving\",\"id\":\"\"},{\"machine\":\"m2\","
		"\"pool\":\"p\",\"state\":\"up\"},{\"machine\":\"m3\","
		"\"pool\":\"p\",\"state\":\"up\",\"id\":null}],"
		"\"nextToken\":\"\"}";
	wwh_http_answer_t answer = answer_of(body, strlen(body));
	int32_t count = 0;
	char *next = NULL;

	(void)state;
	assert_true(
		wire_hosts_list_answer(&answer, &next, on_whole_host, &count));
	assert_int_equal(count, 3);
	assert_null(next);
}

/*
 * A row of hosts holds what the parser refuses: a number of 20 digits, or
 * values nested too deep. The whole list was refused with it.
 */
static void a_row_that_the_parser_refuses_spoils_no_list(void **state)
{
	static const char *const rows[] = {
		"{\"machine\":\"m1\",\"pool\":12345678901234567890}",
		"{\"machine\":\"m1\",\"pool\":"
		"[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *all = g_strdup_printf(
			"[%s,{\"machine\":\"m2\",\"pool\":\"p\","
			"\"state\":\"up\",\"id\":\"u2\"}]",
			rows[i]);
		char *seen = hosts_of(all, "null");

		if (strstr(seen, "m2 ") == NULL)
			fail_msg("seen: %s of %s", seen, all);
		g_free(seen);
		g_free(all);
	}
}

/* A list whose next page can't be named isn't whole. */
static void a_list_without_its_rows_or_next_page_is_none(void **state)
{
	static const char *const bodies[][2] = {
		{ "7", "null" },
		{ "{}", "null" },
		{ "[]", "7" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		char *seen = hosts_of(bodies[i][0], bodies[i][1]);

		if (strstr(seen, "not-ok") == NULL)
			fail_msg("taken: %s %s", bodies[i][0], bodies[i][1]);
		g_free(seen);
	}
}

/* Whether what isn't among the rows of a poll's answer may be taken as over. */
static bool tells_all(const char *running, const char *ended, int32_t *rows)
{
	char *body = g_strdup_printf(
		"{\"clockMs\":5,\"running\":%s,\"ended\":%s}", running, ended);
	wwh_http_answer_t answer = answer_of(body, strlen(body));
	wire_poll_t poll;
	bool all;

	assert_int_equal(wire_upstream_poll_answer(&answer, &poll),
			 WWH_ORDER_DONE);
	all = poll.rows.ended_complete;
	*rows = poll.rows.running_count + poll.rows.ended_count;
	wire_upstream_poll_clear(&poll);
	g_free(body);
	return all;
}

/*
 * A row of what runs at an upstream has a field of another type. It was left
 * out or read as another run; its task wasn't listed then, was taken as over
 * and started elsewhere, while it ran. The other rows hold.
 */
static void a_bad_row_of_a_run_ends_no_task(void **state)
{
	static const char *const bad[] = {
		"[\"a.0.0.1\",\"1\",\"\",5]",
		"[7,1,\"\",5]",
		"[\"a.0.0.1\",1,\"\",{}]",
		"[\"a.0.0.1\",1,7,5]",
		"[\"a.0.0.1\",0,\"\",5]",
		"[\"a.0.0.1\",1]",
		"[\"\",1,\"\",5]",
		"7",
	};
	int32_t rows;

	(void)state;
	assert_true(tells_all("[[\"a.0.0.0\",1,\"\",5]]",
			      "[[1,\"a.0.0.2\",1,\"done\",\"\"]]", &rows));
	assert_int_equal(rows, 2);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *running =
			g_strdup_printf("[%s,[\"a.0.0.0\",1,\"\",5]]", bad[i]);

		if (tells_all(running, "[]", &rows))
			fail_msg("taken for all: %s", running);
		assert_int_equal(rows, 1);
		g_free(running);
	}
	assert_false(tells_all("7", "[]", &rows));
	assert_false(
		tells_all("[]", "[[1,\"a.0.0.2\",1,\"melted\",\"\"]]", &rows));
}

#define ANNOUNCED(state, sequence, clock)                                      \
	"{\"service\":\"desk\",\"state\":\"" state "\",\"clockMs\":" clock     \
	",\"sequence\":" sequence "}"

static uint64_t digest_of(const char *text)
{
	return wire_operator_upstream_digest((const uint8_t *)text,
					     strlen(text));
}

/* Guards against a change of an upstream that is passed over as a repetition. */
static void only_number_and_time_of_an_announcement_may_differ(void **state)
{
	uint64_t whole = digest_of(ANNOUNCED("ready", "4", "99"));

	(void)state;
	assert_int_equal(digest_of(ANNOUNCED("ready", "5", "1000")), whole);
	assert_int_not_equal(digest_of(ANNOUNCED("draining", "4", "99")),
			     whole);
	assert_int_not_equal(digest_of(ANNOUNCED("ready", "", "99")), whole);
	assert_int_not_equal(digest_of(ANNOUNCED("ready", "\"x\"", "99")),
			     whole);
	assert_int_not_equal(digest_of("{\"sequence\":"), whole);
	assert_int_not_equal(digest_of(""), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIELD_TESTS,
		cmocka_unit_test(
			only_number_and_time_of_an_announcement_may_differ),
		KEY_TESTS,
		cmocka_unit_test(a_bad_value_in_a_list_is_there_and_empty),
		cmocka_unit_test(a_page_that_ends_in_a_bad_item_goes_on),
		cmocka_unit_test(a_list_that_is_none_is_not_taken_as_empty),
		cmocka_unit_test(a_key_with_a_zero_byte_is_no_other_key),
		cmocka_unit_test(a_zero_byte_in_a_list_cuts_no_key_off),
		cmocka_unit_test(bytes_that_are_no_text_spoil_no_list),
		cmocka_unit_test(only_a_row_of_the_topic_and_number_assigns),
		cmocka_unit_test(
			a_bad_row_of_a_host_still_says_that_it_is_there),
		cmocka_unit_test(a_host_without_an_upstream_is_whole),
		cmocka_unit_test(a_row_that_the_parser_refuses_spoils_no_list),
		cmocka_unit_test(a_bad_row_of_a_run_ends_no_task),
		cmocka_unit_test(a_list_without_its_rows_or_next_page_is_none),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
