/*
 * Answers to polls are decoded in one pass if they are plain, and from a JSON
 * tree otherwise. Both have to give the same rows. Also the bytes of orders.
 */

#include "test_wire.h"

#include "wire_upstream.h"

/* Replaces each byte of an answer in turn. */
static const char replacements[] = "\"\\,:[]{}019-+.eE tfn/'\n\x01\x7f\xc3";

static const char *const plain_answers[] = {
	"{}",
	" { } \n",
	"{\"clockMs\":0}",
	"{\"clockMs\":1,\"born\":1790000000123,\"running\":[],\"ended\":[]}",
	"{\"clockMs\":482113,\"running\":[],\"ended\":[]}",
	"{\"running\":[[\"a.0.0.1\",1,\"\",0],[\"a.0.0.2\",27,\"c-1\",100,7]],"
	"\"clockMs\":999999999999999999,"
	"\"ended\":[[1,\"a.0.0.3\",1,\"done\",\"\"],"
	"[2,\"a.0.0.4\",9,\"failed\",\"c\"],[3,\"a\",2,\"stopped\",\"\"],"
	"[4,\"a\",2,\"lapsed\",\"\"],[5,\"a\",2,\"broken\",\"\"],"
	"[6,\"a\",2,\"alone\",\"\"]]}",
	"{ \"running\" : [ [ \"a.0.0.1\" , 1 , \"\" , 4000000000 , 5 ] ] }",
	"{\"more\":1,\"a\":2.5,\"b\":null,\"c\":true,\"d\":false,\"e\":\"x\","
	"\"ended\":[[7,\"a task with a name that is longer than any name that "
	"a holder gives\",1,\"done\",\"\"]]}",
};

/* The same bytes mean something else than in a plain answer, or nothing. */
static const char *const other_answers[] = {
	"{\"clockMs\":5,\"clockMs\":6}",
	"{\"running\":[[\"a\",1,\"\",5]],\"running\":[]}",
	"{\"running\":[[\"\",1,\"\",5]]}",
	"{\"running\":[[\"a\",0,\"\",5]]}",
	"{\"running\":[[\"a\",1,\"\",-5]]}",
	"{\"running\":[[\"a\",1.5,\"\",5]]}",
	"{\"running\":[[\"a\",1,\"\",5,6,7]]}",
	"{\"running\":[[\"a\",01,\"\",5]]}",
	"{\"running\":[[\"\\u0061\",1,\"\",5]]}",
	"{\"running\":[[\"a\xc3\xa9\",1,\"\",5]]}",
	"{\"running\":[[\"a\",1,\"\",1234567890123456789]]}",
	"{\"running\":[[\"a\",1,\"\",5],]}",
	"{\"running\":[[\"a\",1,\"\",5]],}",
	"{\"running\":null}",
	"{\"running\":7}",
	"{\"ended\":[[0,\"a\",1,\"done\",\"\"]]}",
	"{\"ended\":[[1,\"a\",1,\"gone\",\"\"]]}",
	"{\"ended\":[[1]]}",
	"{\"ended\":[[1,\"a\",1,\"done\",\"\",2]]}",
	"{\"more\":1e5}",
	"{\"more\":[]}",
	"{\"more\":{\"a\":1}}",
	"{\"more\":-1}",
	"{\"more\":01}",
	"{\"more\":'a'}",
	"{\"more\":[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]}",
	"{\"\":1}",
	"{} {}",
	"{}x",
	"[]",
	"",
	"{",
};

static void assert_same_running(const wwh_poll_answer_t *a,
				const wwh_poll_answer_t *b)
{
	assert_int_equal(a->running_count, b->running_count);
	for (int32_t i = 0; i < a->running_count; i++) {
		assert_string_equal(a->running[i].task, b->running[i].task);
		assert_string_equal(a->running[i].checkpoint,
				    b->running[i].checkpoint);
		assert_int_equal(a->running[i].run, b->running[i].run);
		assert_int_equal(a->running[i].percent, b->running[i].percent);
		assert_int_equal(a->running[i].tail_ms, b->running[i].tail_ms);
	}
}

static void assert_same_ended(const wwh_poll_answer_t *a,
			      const wwh_poll_answer_t *b)
{
	assert_int_equal(a->ended_count, b->ended_count);
	for (int32_t i = 0; i < a->ended_count; i++) {
		assert_int_equal(a->ended[i].number, b->ended[i].number);
		assert_string_equal(a->ended[i].task, b->ended[i].task);
		assert_string_equal(a->ended[i].checkpoint,
				    b->ended[i].checkpoint);
		assert_int_equal(a->ended[i].run, b->ended[i].run);
		assert_int_equal(a->ended[i].kind, b->ended[i].kind);
	}
}

/* Returns whether the answer is plain. */
static bool check_answer(const char *body, size_t size)
{
	const uint8_t *data = (const uint8_t *)body;
	wire_poll_t plain;
	wire_poll_t any;
	bool is_plain = wire_poll_read_plain(data, size, &plain);
	bool is_read = wire_poll_read_any(data, size, &any);

	if (is_plain && !is_read)
		fail_msg("plain, and not JSON: %.*s", (int)size, body);
	if (is_plain) {
		assert_int_equal(plain.rows.remote_ms, any.rows.remote_ms);
		assert_int_equal(plain.rows.born_ms, any.rows.born_ms);
		assert_int_equal(plain.rows.ended_complete,
				 any.rows.ended_complete);
		assert_same_running(&plain.rows, &any.rows);
		assert_same_ended(&plain.rows, &any.rows);
	}
	wire_poll_clear(&plain);
	wire_poll_clear(&any);
	return is_plain;
}

/*
 * Guards against usual answers that are decoded from a JSON tree, which costs
 * a holder most of its processor time, and against other rows in one of them.
 */
void usual_answers_are_decoded_in_one_pass(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(plain_answers); i++) {
		if (!check_answer(plain_answers[i], strlen(plain_answers[i])))
			fail_msg("not plain: %s", plain_answers[i]);
	}
}

/* Guards against malformed answers that are decoded less strictly. */
void other_answers_are_decoded_from_a_tree(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(other_answers); i++) {
		if (check_answer(other_answers[i], strlen(other_answers[i])))
			fail_msg("plain: %s", other_answers[i]);
	}
}

/* The same for each answer cut short, or with one byte replaced or removed. */
void damaged_answers_are_decoded_alike(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(plain_answers); i++) {
		size_t size = strlen(plain_answers[i]);
		char *body = g_strdup(plain_answers[i]);

		for (size_t at = 0; at < size; at++) {
			(void)check_answer(body, at);
			for (const char *c = replacements; *c != '\0'; c++) {
				body[at] = *c;
				(void)check_answer(body, size);
			}
			body[at] = '\0';
			(void)check_answer(body, size);
			body[at] = plain_answers[i][at];
		}
		for (size_t at = 0; at < size; at++) {
			GString *shorter = g_string_new(plain_answers[i]);

			g_string_erase(shorter, (gssize)at, 1);
			(void)check_answer(shorter->str, shorter->len);
			g_string_free(shorter, TRUE);
		}
		g_free(body);
	}
}

/* A long list of ends is truncated: runs that aren't listed may have ended. */
void a_full_list_of_ends_is_incomplete(void **state)
{
	for (int32_t count = 499; count <= 501; count++) {
		GString *body = g_string_new("{\"ended\":[");
		wire_poll_t poll;

		for (int32_t i = 0; i < count; i++)
			g_string_append_printf(
				body, "%s[%d,\"a.0.0.1\",1,\"done\",\"\"]",
				i == 0 ? "" : ",", i + 1);
		g_string_append(body, "]}");
		assert_true(check_answer(body->str, body->len));
		assert_true(wire_poll_read((const uint8_t *)body->str,
					   body->len, &poll));
		assert_int_equal(poll.rows.ended_count, count);
		assert_int_equal(poll.rows.ended_complete, count < 500);
		wire_poll_clear(&poll);
		g_string_free(body, TRUE);
	}
	(void)state;
}

/* Guards against upstreams whose restart under their id isn't noticed. */
void the_start_of_an_incarnation_is_read(void **state)
{
	static const struct {
		const char *body;
		int64_t born_ms;
	} cases[] = {
		{ "{\"born\":1790000000123}", 1790000000123 },
		{ "{\"born\":1790000000123,\"m\":[]}", 1790000000123 },
		{ "{\"clockMs\":5}", 0 },
		{ "{\"born\":\"soon\"}", 0 },
		{ "{\"born\":null}", 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *body = cases[i].body;
		wire_poll_t poll;

		(void)check_answer(body, strlen(body));
		assert_true(wire_poll_read((const uint8_t *)body, strlen(body),
					   &poll));
		assert_int_equal(poll.rows.born_ms, cases[i].born_ms);
		wire_poll_clear(&poll);
	}
}

static void assert_body(wwh_http_call_t *call, const char *expected)
{
	char *body = g_strndup((const char *)call->body->data, call->body->len);

	assert_string_equal(body, expected);
	g_free(body);
	wwh_http_call_delete(call);
}

/* Guards against orders that are written differently: upstreams reject them. */
void orders_are_written_byte_for_byte(void **state)
{
	wwh_start_order_t start = { .upstream = "u",
				    .endpoint = "127.0.0.1:1",
				    .task = "a.0.1.2",
				    .run = 1001,
				    .payload = "a \"b\" \\ \n\x01\x7f\xc3\xa9",
				    .checkpoint = "",
				    .lease_until_remote_ms = INT64_MAX };
	wwh_stop_order_t stop = { .upstream = "u",
				  .endpoint = "127.0.0.1:1",
				  .task = "a.0.1.2",
				  .run = 1 };
	wwh_pace_order_t pace = { .upstream = "u",
				  .endpoint = "127.0.0.1:1",
				  .task = "\"",
				  .run = -1,
				  .percent = 40 };
	wwh_poll_order_t poll = { .upstream = "u", .endpoint = "127.0.0.1:1" };

	(void)state;
	assert_body(wire_upstream_start(&start, 7, 100),
		    "{\"task\":\"a.0.1.2\",\"run\":1001,\"fencingToken\":7,"
		    "\"untilMs\":9223372036854775807,\"spec\":"
		    "\"a \\\"b\\\" \\\\ \\u000a\\u0001\x7f\xc3\xa9\"}");
	start.checkpoint = "c";
	start.ticket = "";
	start.payload = "";
	assert_body(wire_upstream_start(&start, 7, 100),
		    "{\"task\":\"a.0.1.2\",\"run\":1001,\"fencingToken\":7,"
		    "\"untilMs\":9223372036854775807,\"spec\":\"\","
		    "\"checkpoint\":\"c\",\"ticket\":\"\"}");
	assert_body(wire_upstream_stop(&stop, 0, 100),
		    "{\"task\":\"a.0.1.2\",\"run\":1,\"fencingToken\":0}");
	assert_body(wire_upstream_pace(&pace, 7, 100),
		    "{\"task\":\"\\\"\",\"run\":-1,\"fencingToken\":7,"
		    "\"percent\":40}");
	assert_body(wire_upstream_poll(&poll, 7),
		    "{\"fencingToken\":7,\"seenUpto\":0}");
	poll.ends_acked_upto = 411;
	poll.lease_until_remote_ms = 5;
	poll.wait_ms = 1000;
	assert_body(wire_upstream_poll(&poll, 7),
		    "{\"fencingToken\":7,\"seenUpto\":411,\"untilMs\":5,"
		    "\"waitMs\":1000}");
}
