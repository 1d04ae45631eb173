/*
 * Bodies and records that no platform writes, at every reader of JSON: values
 * nested too deep for the parser's stack, numbers out of range, bodies that end
 * anywhere.
 */

#include "test_wire.h"

#include "wire_caller.h"
#include "wire_hosts.h"
#include "wire_operator.h"
#include "wire_store.h"
#include "wire_upstream.h"

static void on_record(const wire_record_t *record, void *client_data)
{
	(void)client_data;
	assert_true(record->key != NULL || record->why != NULL);
}

static void on_host(const wwh_listed_host_t *host, void *client_data)
{
	(void)client_data;
	assert_true(host->unreadable != NULL || host->name != NULL);
}

static void read_by_store(const wwh_http_answer_t *answer)
{
	int64_t number = 0;
	char *next = NULL;
	bool is_assigned;

	(void)wire_store_newest_answer(answer, &number, &next, on_record, NULL);
	g_clear_pointer(&next, g_free);
	(void)wire_store_join_answer(answer, "t", 0, &number, &is_assigned);
	(void)wire_hosts_list_answer(answer, &next, on_host, NULL);
	g_free(next);
}

static void read_by_upstream(wwh_http_answer_t answer)
{
	wire_advice_t advice;
	wire_poll_t poll;

	if (wire_upstream_poll_answer(&answer, &poll) == WWH_ORDER_DONE)
		wire_upstream_poll_clear(&poll);
	if (wire_upstream_advise_answer(&answer, &advice))
		wire_upstream_advice_clear(&advice);
	answer.status = 409;
	(void)wire_upstream_order_answer(&answer);
	(void)wire_store_append_answer(&answer);
	(void)wire_hosts_duty_answer(&answer);
}

static void read_by_all(const char *text, size_t size)
{
	/* of the very size, so that a sanitizer sees a read beyond it */
	uint8_t *data = g_memdup2(text, size);
	wwh_http_answer_t answer = { .outcome = WWH_CALL_ANSWERED,
				     .status = 200,
				     .body = data,
				     .body_size = size };
	wwh_job_queue_t queue = { .name = "q", .pool = "p" };
	wwh_upstream_info_t info;
	wwh_message_t message;

	read_by_store(&answer);
	read_by_upstream(answer);
	wwh_job_delete(wire_caller_parse_job("00000000000000aa", &queue, data,
					     size, &message));
	if (wire_operator_parse_upstream("u", data, size, &info, &message))
		wwh_upstream_info_clear(&info);
	wwh_wave_order_delete(
		wire_operator_parse_wave("wave/1", data, size, &message));
	wwh_job_config_unref(
		wire_operator_parse_config(data, size, true, &message));
	g_free(data);
}

/*
 * Guards against a process that ends as the parser's stack overflows: one entry
 * whose nested values were hidden from the check of depth, as the parser skips
 * comments and ends a string elsewhere.
 */
void no_reader_ends_the_process_at_deep_values(void **state)
{
	static const char *const beginnings[] = {
		"",
		"{\"running\":",
		"{\"items\":[{\"key\":",
		"{\"machines\":[{\"machine\":",
		"{\"a\":/* \" */ ",
		"{\"running\":[/* \" */ ",
		"{\"machines\":[{\"a\":/* \" */ ",
		"{\"a\":// \"\n ",
		"{\"a\":# \"\n ",
		"{\"a\\u\" \":",
		"{\"a\":\"\\ud800\",\" \":",
		"{\"a\":\"\\\"\",\"b\":",
	};
	static const char *const levels[][2] = { { "[", "]" },
						 { "{\"a\":", "}" } };
	static const int32_t depths[] = { 100, 1000, 100000, 200000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(beginnings) * 2; i++) {
		const char *const *level = levels[i % 2];

		for (size_t k = 0; k < G_N_ELEMENTS(depths); k++) {
			GString *text = g_string_new(beginnings[i / 2]);
			size_t open;

			for (int32_t n = 0; n < depths[k]; n++)
				g_string_append(text, level[0]);
			open = text->len;
			g_string_append(text, "\"}");
			read_by_all(text->str, text->len);
			g_string_truncate(text, open);
			for (int32_t n = 0; n < depths[k]; n++)
				g_string_append(text, level[1]);
			g_string_append(text, "}]}");
			read_by_all(text->str, text->len);
			g_string_free(text, TRUE);
		}
	}
}

static const char *const bodies[] = {
	"{\"clockMs\":5,\"born\":7,\"running\":[[\"a.0.0.0\",1,\"c\",40,9]],"
	"\"ended\":[[3,\"a.0.0.1\",2,\"done\",\"\\u0041\"]]}",
	"{\"items\":[{\"key\":\"k\",\"value\":\"eA==\",\"offset\":4},"
	"{\"key\":\"\\ud83d\\ude00\",\"value\":\"eA==\",\"offset\":5}],"
	"\"truncated\":true,\"end\":6}",
	"{\"machines\":[{\"machine\":\"m\",\"pool\":\"p\",\"state\":\"up\","
	"\"id\":\"u\"}],\"nextToken\":\"t\"}",
	"{\"generation\":4,\"parts\":[[\"t\",0,7]]}",
	"{\"validMs\":900,\"admitted\":[[\"u\",\"ticket\"]]}",
	"{\"spec\":\"s\",\"phases\":[{\"count\":1,\"cpu\":2,\"memMb\":3,"
	"\"estimateMs\":4},{\"count\":1,\"dependsOn\":[0],\"gang\":true}],"
	"\"repeatCount\":2,\"firstMs\":5,\"intervalMs\":6}",
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	"\"version\":\"v\",\"slots\":1,\"state\":\"ready\",\"sequence\":4,"
	"\"capacity\":{\"cpu\":1,\"memMb\":1},\"labels\":[\"a\",\"r\"]}",
	"{\"wave\":1,\"machines\":[\"m\"],\"durationS\":2,\"maxCount\":1}",
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"timeoutMs\":9,\"priority\":1,\"service\":"
	"\"s\",\"maxAttempts\":3,\"stretch\":1.6,\"advice\":{\"validMs\":4}}],"
	"\"services\":[{\"name\":\"s\"}],\"limits\":{\"maxBodyBytes\":2},"
	"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"weight\":1,"
	"\"maxCount\":{\"cpu\":1}}]}",
	"{\"reason\":\"fence\",\"clockMs\":8}",
};

void a_body_that_ends_at_any_byte_is_read_in_bounds(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		for (size_t size = 0; size <= strlen(bodies[i]); size++)
			read_by_all(bodies[i], size);
	}
}

/* Puts each odd value in the place of each value of each body. */
void no_value_of_any_field_ends_the_process(void **state)
{
	static const char *const values[] = {
		"12345678901234567890123456",
		"-12345678901234567890123456",
		"9223372036854775807",
		"-9223372036854775808",
		"999999999999999999",
		"-999999999999999999",
		"1e999",
		"-1e999",
		"1e308",
		"NaN",
		"Infinity",
		"-0",
		"0.5",
		"0",
		"-7",
		"65536",
		"null",
		"true",
		"\"\"",
		"\"x\"",
		"\"a\\u0000b\"",
		"\"\xff\xfe\"",
		"\"\\\"\\n\"",
		"[]",
		"{}",
		"[null]",
		"\"127.0.0.1:0\"",
		"/**/1",
		"",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		for (const char *at = bodies[i]; *at != '\0'; at++) {
			size_t size = strcspn(at + 1, ",]}");

			if (strchr(":[,", *at) == NULL)
				continue;
			for (size_t k = 0; k < G_N_ELEMENTS(values); k++) {
				char *text = g_strdup_printf(
					"%.*s%s%s", (int)(at + 1 - bodies[i]),
					bodies[i], values[k], at + 1 + size);

				read_by_all(text, strlen(text));
				g_free(text);
			}
		}
	}
}

#define DEEP "[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]"
#define DEEP_HIDDEN "[/* \" */[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]\"]"
#define DEEP_OBJECT "{\"a\":[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]}"

/*
 * Guards against ends that are lost or runs taken for ended: one odd row made
 * the whole answer unreadable, or its number acknowledged all ends to come.
 */
void an_odd_row_of_a_poll_affects_only_itself(void **state)
{
	static const char *const running[] = {
		"[\"b\",12345678901234567890123456,\"\",1,0]",
		"[\"b\",999999999999999999,\"\",1,0]",
		"[\"b\",1e999,\"\",1,0]",
		"[\"b\",2.5,\"\",1,0]",
		"[\"b\",-7,\"\",1,0]",
		"[\"b\",1,\"\",NaN,0]",
		"[\"\xff\",1,\"\",1,0]",
		DEEP,
		DEEP_HIDDEN,
		"null",
	};
	static const char *const ended[] = {
		"[12345678901234567890123456,\"b\",1,\"done\",\"\"]",
		"[999999999999999999,\"b\",1,\"done\",\"\"]",
		"[1e999,\"b\",1,\"done\",\"\"]",
		"[58.5,\"b\",1,\"done\",\"\"]",
		"[-7,\"b\",1,\"done\",\"\"]",
		"[0,\"b\",1,\"done\",\"\"]",
		DEEP,
		DEEP_OBJECT,
		"null",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(running) * G_N_ELEMENTS(ended);
	     i++) {
		char *body = g_strdup_printf(
			"{\"clockMs\":5,\"running\":[%s,[\"a\",4,\"c\",9]],"
			"\"ended\":[[3,\"d\",1,\"done\",\"\"],%s]}",
			running[i / G_N_ELEMENTS(ended)],
			ended[i % G_N_ELEMENTS(ended)]);
		wire_poll_t poll;

		if (!wire_poll_read((const uint8_t *)body, strlen(body), &poll))
			fail_msg("not read: %s", body);
		assert_int_equal(poll.rows.remote_ms, 5);
		assert_false(poll.rows.ended_complete);
		assert_int_equal(poll.rows.running_count, 1);
		assert_int_equal(poll.rows.running[0].run, 4);
		assert_int_equal(poll.rows.ended_count, 1);
		assert_int_equal(poll.rows.ended[0].number, 3);
		wire_poll_clear(&poll);
		g_free(body);
	}
}

/* Guards against leases and loads that are computed from absurd numbers. */
void numbers_of_a_poll_out_of_range_are_bounded(void **state)
{
	static const struct {
		const char *number;
		int32_t percent;
		int64_t tail_ms;
		int64_t time_ms;
	} cases[] = {
		{ "7", 7, 7, 7 },
		{ "-7", 0, 0, 0 },
		{ "1e999", 0, 0, 0 },
		{ "-1e999", 0, 0, 0 },
		{ "1e308", 0, 0, 0 },
		{ "1000000000000000", 100, INT32_MAX, 1000000000000000 },
		{ "1000000000000001", 100, INT32_MAX, 0 },
		{ "999999999999999999", 100, INT32_MAX, 0 },
		{ "-999999999999999999", 0, 0, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *number = cases[i].number;
		char *body =
			g_strdup_printf("{\"clockMs\":%s,\"born\":%s,"
					"\"running\":[[\"a\",1,\"\",%s,%s]]}",
					number, number, number, number);
		wire_poll_t poll;

		assert_true(wire_poll_read((const uint8_t *)body, strlen(body),
					   &poll));
		assert_int_equal(poll.rows.remote_ms, cases[i].time_ms);
		assert_int_equal(poll.rows.born_ms, cases[i].time_ms);
		assert_int_equal(poll.rows.running[0].percent,
				 cases[i].percent);
		assert_int_equal(poll.rows.running[0].tail_ms,
				 cases[i].tail_ms);
		wire_poll_clear(&poll);
		g_free(body);
	}
}

static bool reads_announcement(const char *key, const char *address)
{
	char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"v\",\"slots\":1,\"state\":\"ready\","
		"\"sequence\":4,\"capacity\":{\"cpu\":1,\"memMb\":1},"
		"\"labels\":[\"a\",\"r\"]}",
		address);
	wwh_upstream_info_t info;
	wwh_message_t message;
	bool ok = wire_operator_parse_upstream(key, (const uint8_t *)text,
					       strlen(text), &info, &message);

	wwh_upstream_info_clear(&info);
	g_free(text);
	return ok;
}

/*
 * Guards against orders for an upstream whose id can't be sent: without that
 * header they are carried out by another one at its address. And against an
 * address that can't be connected to, of which every poll writes a warning.
 */
void an_upstream_that_cannot_be_called_is_rejected(void **state)
{
	static const char *const keys[] = { "",	     " u",	  "u ",
					    "u\n",   "u\r\nA: b", "u v",
					    "u\x7f", "\xc3\xa9",  "\xff" };
	static const char *const addresses[] = {
		"",
		":",
		":80",
		"10.0.0.1",
		"10.0.0.1:",
		"10.0.0.1:0",
		"10.0.0.1:-7",
		"10.0.0.1:65536",
		"10.0.0.1:99999",
		"10.0.0.1:x",
		"10.0.0.1:080000",
		"10.0.0.1:1.5",
		"10.0.0.1: 80",
		" 10.0.0.1:80",
		"10.0.0:80",
		"10.0.0.256:80",
		"localhost:80",
		"h.example:80",
		"[::1]:80",
		"::1:80",
		"fe80::1",
		"10.0.0.1:80:80",
		"http://10.0.0.1:80",
		"10.0.0.1:80\\u000a",
		"10.0.0.1:\xff",
	};
	char *long_key = g_strnfill(255, 'u');
	char *long_host = g_strnfill(10000, '1');
	char *long_address = g_strconcat(long_host, ":80", NULL);

	(void)state;
	assert_true(reads_announcement("i-1\"'{}", "10.0.0.1:65535"));
	assert_true(reads_announcement(long_key, "127.0.0.1:1"));
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (reads_announcement(keys[i], "10.0.0.1:80"))
			fail_msg("accepted: \"%s\"", keys[i]);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		if (reads_announcement("u", addresses[i]))
			fail_msg("accepted: \"%s\"", addresses[i]);
	}
	assert_false(reads_announcement("u", long_address));
	g_free(long_key);
	g_free(long_host);
	g_free(long_address);
}

static void ignore_record(const wire_record_t *record, void *client_data)
{
	(void)record;
	(void)client_data;
}

/*
 * Guards against upstreams that are taken for removed: the next page was
 * requested after a key that isn't in the store, behind the keys in between.
 */
void a_page_continues_after_a_key_of_the_store(void **state)
{
	static const char body[] =
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\"},"
		"{\"key\":\"a\\u0000b\",\"value\":\"eA==\"}],"
		"\"truncated\":true,\"end\":9}";
	wwh_http_answer_t answer = { .outcome = WWH_CALL_ANSWERED,
				     .status = 200,
				     .body = (const uint8_t *)body,
				     .body_size = sizeof(body) - 1 };
	int64_t end;
	char *after;

	(void)state;
	assert_int_equal(wire_store_newest_answer(&answer, &end, &after,
						  ignore_record, NULL),
			 WIRE_STORE_OK);
	assert_string_equal(after, "a");
	g_free(after);
}

/* Guards against deadlines that overflow and pass at once. */
void the_time_that_a_caller_waits_is_bounded(void **state)
{
	static const struct {
		const char *text;
		int64_t least_ms;
		int64_t most_ms;
	} cases[] = {
		{ "250", 250, 250 },
		{ "9223372036854775807", 3600000, 100000000 },
		{ "12345678901234567890123456", 3600000, 100000000 },
		{ "-9223372036854775808", 7, 7 },
		{ "0", 7, 7 },
		{ "-0", 7, 7 },
		{ "NaN", 7, 7 },
		{ "", 7, 7 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		wwh_headers_t *headers = wwh_headers_new();

		wwh_headers_add(headers, "Waxwinghollow-Deadline-Ms",
				cases[i].text);
		assert_in_range(wire_caller_timeout_ms(headers, 7),
				cases[i].least_ms, cases[i].most_ms);
		wwh_headers_delete(headers);
	}
}
