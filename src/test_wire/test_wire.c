/*
 * Lists of the platform with malformed rows, as another program may write them:
 * the other rows are still read. This file also has main.
 */

#include "test_wire.h"

#include "wire_hosts.h"
#include "wire_operator.h"
#include "wire_store.h"
#include "wire_upstream.h"

/* The visited rows of a list, each followed by a blank. */
typedef struct {
	GString *visited;
} visits_t;

static wwh_http_answer_t answer_with_body(const void *body, size_t size)
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

	g_string_append_printf(visits->visited, "%s%s%s ",
			       record->key == NULL ? "?" : record->key,
			       record->value == NULL ? "-" : "=",
			       record->size == 0 ? "" : "v");
}

static char *read_newest(const char *body, char **continue_after)
{
	visits_t visits = { .visited = g_string_new(NULL) };
	wwh_http_answer_t answer = answer_with_body(body, strlen(body));
	int64_t end = 0;

	if (wire_store_newest_answer(&answer, &end, continue_after, on_record,
				     &visits) != WIRE_STORE_OK)
		g_string_append(visits.visited, "not-ok");
	return g_string_free(visits.visited, FALSE);
}

/*
 * Guards against a list of the newest records that leaves out a record with an
 * unreadable value: its reader takes the key as deleted, and a running upstream
 * as withdrawn. The record is listed with an empty value, the others as usual.
 */
static void an_item_with_a_bad_value_is_listed_as_empty(void **state)
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
		char *continue_after = NULL;
		char *visited = read_newest(body, &continue_after);

		assert_string_equal(visited, "u1=v u2= u3=v ");
		assert_null(continue_after);
		g_free(visited);
		g_free(body);
	}
}

/*
 * Guards against a reader that stops at a page whose last item has no readable
 * key, and takes all keys of the following pages as deleted.
 */
static void a_page_that_ends_in_a_bad_item_has_a_next_page(void **state)
{
	char *continue_after = NULL;
	char *visited = read_newest("{\"items\":[{\"key\":\"u1\","
				    "\"value\":\"YQ==\"},7],"
				    "\"truncated\":true,\"end\":9}",
				    &continue_after);

	(void)state;
	assert_non_null(continue_after);
	assert_string_equal(continue_after, "u1");
	g_free(visited);
	g_free(continue_after);
}

/* Guards against a malformed list that is read as an empty one. */
static void a_malformed_list_is_not_an_empty_list(void **state)
{
	static const char *const bodies[] = {
		"{\"items\":7,\"end\":9}",
		"{\"items\":[],\"truncated\":7,\"end\":9}",
		"{\"items\":[],\"end\":\"9\"}",
		"{\"items\":[7],\"truncated\":true,\"end\":9}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		char *continue_after = NULL;
		char *visited = read_newest(bodies[i], &continue_after);

		if (strstr(visited, "not-ok") == NULL)
			fail_msg("accepted: %s", bodies[i]);
		g_free(visited);
		g_free(continue_after);
	}
}

/*
 * Guards against a key with a zero byte that is truncated there and equals an
 * upstream's key, so that the upstream's record is taken as deleted.
 */
static void a_key_with_a_zero_byte_is_not_truncated(void **state)
{
	static const char body[] = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0"
				   "\0\0\0\x05\x02u1ab"
				   "\0\0\0\x05\x04u1\0x"
				   "\0\0\0\x03\x02u2";
	visits_t visits = { .visited = g_string_new(NULL) };
	wwh_http_answer_t answer = answer_with_body(body, sizeof(body) - 1);
	int64_t next = 0;
	int64_t end = 0;

	(void)state;
	assert_int_equal(wire_store_read_answer(&answer, 6, &next, &end,
						on_record, &visits),
			 WIRE_STORE_OK);
	assert_int_equal(next, 9);
	assert_int_equal(end, 9);
	assert_null(strstr(visits.visited->str, "u1- "));
	assert_non_null(strstr(visits.visited->str, "u1=v "));
	assert_non_null(strstr(visits.visited->str, "u2- "));
	g_string_free(visits.visited, TRUE);
}

/* The same key in a list of all keys, where it is escaped in JSON. */
static void an_escaped_zero_byte_truncates_no_key(void **state)
{
	char *continue_after = NULL;
	char *visited = read_newest("{\"items\":[{\"key\":\"u1\\u0000x\","
				    "\"value\":7},{\"key\":\"u\\\\u0000\","
				    "\"value\":\"YQ==\"}],\"end\":9}",
				    &continue_after);

	(void)state;
	assert_string_equal(visited, "u1\xef\xbf\xbdx= u\\u0000=v ");
	g_free(visited);
}

/* One key isn't valid UTF-8; the other rows of the list are still read. */
static void a_key_that_is_not_utf8_affects_only_its_row(void **state)
{
	char *continue_after = NULL;
	char *visited = read_newest("{\"items\":[{\"key\":\"u\xff\","
				    "\"value\":\"YQ==\"}, {\"key\":\"u2\","
				    "\"value\":\"YQ==\"}],\"end\":9}",
				    &continue_after);

	(void)state;
	assert_string_equal(visited, "?= u2=v ");
	g_free(visited);
}

/*
 * Guards against a row of the group's answer with a malformed partition, or of
 * another topic, that is read as an assignment of this process's shard.
 */
static void only_a_row_of_the_topic_and_partition_assigns(void **state)
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
		wwh_http_answer_t answer = answer_with_body(body, strlen(body));
		int64_t generation = 0;
		bool is_assigned = true;

		assert_int_equal(wire_store_join_answer(&answer, "keyed.wwh", 0,
							&generation,
							&is_assigned),
				 WIRE_STORE_OK);
		if (is_assigned)
			fail_msg("accepted: %s", rows[i]);
		g_free(body);
	}
}

static void on_host(const wwh_listed_host_t *host, void *client_data)
{
	visits_t *visits = client_data;

	g_string_append_printf(visits->visited, "%s ",
			       host->name == NULL ? "?" : host->name);
}

static char *read_hosts(const char *rows, const char *next_token)
{
	visits_t visits = { .visited = g_string_new(NULL) };
	char *body = g_strdup_printf("{\"machines\":%s,\"nextToken\":%s}", rows,
				     next_token);
	wwh_http_answer_t answer = answer_with_body(body, strlen(body));
	char *next = NULL;

	if (!wire_hosts_list_answer(&answer, &next, on_host, &visits))
		g_string_append(visits.visited, "not-ok");
	g_free(next);
	g_free(body);
	return g_string_free(visits.visited, FALSE);
}

/*
 * Guards against a host whose row has a field of another type and is left out
 * of the list: after three such lists the host is taken as removed, and its
 * wave is reported as completed without it.
 */
static void a_host_with_a_bad_row_is_still_listed(void **state)
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
		char *visited = read_hosts(rows, "null");

		if (strcmp(visited, "m1 m2 ") != 0)
			fail_msg("visited: %s of %s", visited, rows);
		g_free(visited);
		g_free(rows);
	}
}

static void on_readable_host(const wwh_listed_host_t *host, void *client_data)
{
	int32_t *count = client_data;

	assert_null(host->unreadable);
	(*count)++;
}

/* A host that is on standby or moves runs no upstream; its row names none. */
static void a_host_without_an_upstream_is_readable(void **state)
{
	static const char body[] =
		"{\"machines\":[{\"machine\":\"m1\",\"pool\":\"p\","
		"\"state\":\"moving\",\"id\":\"\"},{\"machine\":\"m2\","
		"\"pool\":\"p\",\"state\":\"up\"},{\"machine\":\"m3\","
		"\"pool\":\"p\",\"state\":\"up\",\"id\":null}],"
		"\"nextToken\":\"\"}";
	wwh_http_answer_t answer = answer_with_body(body, strlen(body));
	int32_t count = 0;
	char *next = NULL;

	(void)state;
	assert_true(wire_hosts_list_answer(&answer, &next, on_readable_host,
					   &count));
	assert_int_equal(count, 3);
	assert_null(next);
}

/*
 * Guards against a list of hosts that is rejected completely because one row
 * has a number of 20 digits or values nested too deep, which the parser
 * rejects.
 */
static void a_row_that_the_parser_rejects_affects_only_itself(void **state)
{
	static const char *const rows[] = {
		"{\"machine\":\"m1\",\"pool\":12345678901234567890}",
		"{\"machine\":\"m1\",\"pool\":"
		"[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *list = g_strdup_printf(
			"[%s,{\"machine\":\"m2\",\"pool\":\"p\","
			"\"state\":\"up\",\"id\":\"u2\"}]",
			rows[i]);
		char *visited = read_hosts(list, "null");

		if (strstr(visited, "m2 ") == NULL)
			fail_msg("visited: %s of %s", visited, list);
		g_free(visited);
		g_free(list);
	}
}

/* A list with an unreadable token of the next page can't be read to its end. */
static void a_list_without_rows_or_next_page_is_rejected(void **state)
{
	static const char *const bodies[][2] = {
		{ "7", "null" },
		{ "{}", "null" },
		{ "[]", "7" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		char *visited = read_hosts(bodies[i][0], bodies[i][1]);

		if (strstr(visited, "not-ok") == NULL)
			fail_msg("accepted: %s %s", bodies[i][0], bodies[i][1]);
		g_free(visited);
	}
}

/* Whether a run that isn't listed in a poll's answer may be taken as ended. */
static bool is_poll_complete(const char *running, const char *ended,
			     int32_t *rows)
{
	char *body = g_strdup_printf(
		"{\"clockMs\":5,\"running\":%s,\"ended\":%s}", running, ended);
	wwh_http_answer_t answer = answer_with_body(body, strlen(body));
	wire_poll_t poll;
	bool complete;

	assert_int_equal(wire_upstream_poll_answer(&answer, &poll),
			 WWH_ORDER_DONE);
	complete = poll.rows.ended_complete;
	*rows = poll.rows.running_count + poll.rows.ended_count;
	wire_upstream_poll_clear(&poll);
	g_free(body);
	return complete;
}

/*
 * Guards against a running task whose row has a field of another type and is
 * left out or read as another run: the task isn't listed then, is taken as
 * ended and is started elsewhere while it still runs. The other rows are read.
 */
static void a_bad_row_of_a_run_makes_the_poll_incomplete(void **state)
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
	assert_true(is_poll_complete("[[\"a.0.0.0\",1,\"\",5]]",
				     "[[1,\"a.0.0.2\",1,\"done\",\"\"]]",
				     &rows));
	assert_int_equal(rows, 2);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *running =
			g_strdup_printf("[%s,[\"a.0.0.0\",1,\"\",5]]", bad[i]);

		if (is_poll_complete(running, "[]", &rows))
			fail_msg("taken as complete: %s", running);
		assert_int_equal(rows, 1);
		g_free(running);
	}
	assert_false(is_poll_complete("7", "[]", &rows));
	assert_false(is_poll_complete(
		"[]", "[[1,\"a.0.0.2\",1,\"melted\",\"\"]]", &rows));
}

#define ANNOUNCEMENT(state, sequence, clock)                                   \
	"{\"service\":\"desk\",\"state\":\"" state "\",\"clockMs\":" clock     \
	",\"sequence\":" sequence "}"

static uint64_t digest_of(const char *text)
{
	return wire_operator_upstream_digest((const uint8_t *)text,
					     strlen(text));
}

/* Guards against a change of an upstream that is skipped as a repetition. */
static void a_digest_ignores_only_sequence_and_clock(void **state)
{
	uint64_t digest = digest_of(ANNOUNCEMENT("ready", "4", "99"));

	(void)state;
	assert_int_equal(digest_of(ANNOUNCEMENT("ready", "5", "1000")), digest);
	assert_int_not_equal(digest_of(ANNOUNCEMENT("draining", "4", "99")),
			     digest);
	assert_int_not_equal(digest_of(ANNOUNCEMENT("ready", "", "99")),
			     digest);
	assert_int_not_equal(digest_of(ANNOUNCEMENT("ready", "\"x\"", "99")),
			     digest);
	assert_int_not_equal(digest_of("{\"sequence\":"), digest);
	assert_int_not_equal(digest_of(""), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FIELD_TESTS,
		cmocka_unit_test(a_digest_ignores_only_sequence_and_clock),
		KEY_TESTS,
		POLL_TESTS,
		ODD_TESTS,
		cmocka_unit_test(an_item_with_a_bad_value_is_listed_as_empty),
		cmocka_unit_test(
			a_page_that_ends_in_a_bad_item_has_a_next_page),
		cmocka_unit_test(a_malformed_list_is_not_an_empty_list),
		cmocka_unit_test(a_key_with_a_zero_byte_is_not_truncated),
		cmocka_unit_test(an_escaped_zero_byte_truncates_no_key),
		cmocka_unit_test(a_key_that_is_not_utf8_affects_only_its_row),
		cmocka_unit_test(only_a_row_of_the_topic_and_partition_assigns),
		cmocka_unit_test(a_host_with_a_bad_row_is_still_listed),
		cmocka_unit_test(a_host_without_an_upstream_is_readable),
		cmocka_unit_test(
			a_row_that_the_parser_rejects_affects_only_itself),
		cmocka_unit_test(a_bad_row_of_a_run_makes_the_poll_incomplete),
		cmocka_unit_test(a_list_without_rows_or_next_page_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
