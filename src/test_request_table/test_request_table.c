#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/entry_internal.h"
#include "private/request_table.h"

#define SLOTS 2
#define LONG_MS 60000
#define THREADS 8
#define REQUESTS 200

static const char inventory[] =
	"{ \"workers\": [{ \"id\": \"w1\", \"address\": \"127.0.1.1\","
	"\"rack\": \"r1\", \"zone\": \"a\", \"region\": \"r\","
	"\"pool\": \"p\", \"cores\": 4, \"memory_mb\": 100 }],"
	"\"minions\": [{ \"id\": \"m1\", \"service\": \"s\","
	"\"worker\": \"w1\", \"address\": \"127.0.0.1\","
	"\"port\": 1, \"slots\": 2 }] }";

static const char rules[] =
	"{ \"pools\": [{ \"id\": \"p\", \"lose_count\": 1 }],"
	"\"services\": [{ \"id\": \"s\", \"path_prefix\": \"/s\","
	"\"pool\": \"p\", \"team\": \"t\", \"deadline_ms\": 60000 }],"
	"\"teams\": [{ \"id\": \"t\", \"cores\": 4,"
	"\"memory_mb\": 100 }], \"windows\": [], \"rules\": {} }";

static void report_error(const char *file, int32_t line, const char *text,
			 void *client_data)
{
	(void)client_data;
	print_error("%s:%d: %s\n", file, line, text);
}

/* A table with one minion, all of whose slots are this process's. */
static int set_up(void **state)
{
	wwh_request_table_t *table = wwh_request_table_new("a");
	wwh_config_t *config = wwh_config_new();
	wwh_config_text_t sources[] = {
		{ "inventory", inventory, strlen(inventory) },
		{ "rules", rules, strlen(rules) },
	};
	wwh_dispatch_share_t share = {
		.seat_count = 1,
		.seats = 1,
		.lease_until_ms = wwh_now_ms() + 10 * LONG_MS,
	};

	if (wwh_config_parse(config, &sources[0], &sources[1], report_error,
			     NULL) != WWH_STATUS_OK)
		return 1;
	wwh_request_table_configure(table, config);
	wwh_request_table_set_share(table, &share);
	wwh_config_unref(config);
	*state = table;
	return 0;
}

static int tear_down(void **state)
{
	wwh_request_table_delete(*state);
	return 0;
}

static wwh_request_t *begin(wwh_request_table_t *table, int64_t limit_ms)
{
	wwh_dispatch_request_t arrival = {
		.service = "s",
		.team = "t",
		.caller = 1,
		.deadline_ms = wwh_now_ms() + limit_ms,
	};

	return wwh_request_begin(table, &arrival);
}

static void finish(wwh_request_t *request, const wwh_decision_t *start)
{
	wwh_dispatch_result_t result = {
		.request = wwh_request_id(request),
		.minion = start->minion,
		.outcome = WWH_OUTCOME_ANSWERED,
		.latency_ms = 1,
	};

	wwh_request_finished(request, &result);
}

/* Fills all slots; those that hold them are written to held. */
static void fill(wwh_request_table_t *table, wwh_request_t *held[SLOTS],
		 wwh_decision_t starts[SLOTS])
{
	for (int i = 0; i < SLOTS; i++) {
		held[i] = begin(table, LONG_MS);
		assert_true(wwh_request_wait_decision(held[i], -1, &starts[i]));
		assert_int_equal(starts[i].type, WWH_DECISION_START);
	}
}

static void empty(wwh_request_t *held[SLOTS], wwh_decision_t starts[SLOTS])
{
	wwh_decision_t end;

	for (int i = 0; i < SLOTS; i++) {
		finish(held[i], &starts[i]);
		assert_true(wwh_request_wait_decision(held[i], -1, &end));
		assert_int_equal(end.type, WWH_DECISION_END);
		assert_false(wwh_request_wait_decision(held[i], -1, &end));
		(void)wwh_request_end(held[i]);
	}
}

static void assert_idle(wwh_request_table_t *table)
{
	assert_int_equal(wwh_request_table_waiting(table), 0);
	assert_int_equal(wwh_request_table_running(table), 0);
	assert_int_equal(wwh_request_table_minion_running(table, "m1"), 0);
}

static void a_request_starts_and_ends_exactly_once(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *request = begin(table, LONG_MS);
	wwh_decision_t decision;

	assert_true(wwh_request_wait_decision(request, -1, &decision));
	assert_int_equal(decision.type, WWH_DECISION_START);
	assert_string_equal(decision.minion, "m1");
	assert_int_equal(wwh_request_table_minion_running(table, "m1"), 1);
	finish(request, &decision);
	assert_int_equal(wwh_request_table_minion_running(table, "m1"), 0);
	assert_true(wwh_request_wait_decision(request, -1, &decision));
	assert_int_equal(decision.type, WWH_DECISION_END);
	assert_int_equal(decision.kind, WWH_ERROR_NONE);
	assert_false(wwh_request_wait_decision(request, -1, &decision));
	assert_false(wwh_request_end(request));
	assert_idle(table);
}

/*
 * A caller hangs up while its request waits behind others. It is taken out of
 * the queue, so no slot is ever spent on it.
 */
static void a_caller_that_goes_while_waiting_takes_no_slot(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *held[SLOTS];
	wwh_decision_t starts[SLOTS];
	wwh_decision_t decision;
	wwh_request_t *request;
	int ends[2];

	fill(table, held, starts);
	assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
	request = begin(table, LONG_MS);
	assert_int_equal(wwh_request_table_waiting(table), 1);
	close(ends[1]);
	assert_false(wwh_request_wait_decision(request, ends[0], &decision));
	assert_int_equal(wwh_request_table_waiting(table), 0);
	assert_false(wwh_request_end(request));
	close(ends[0]);
	empty(held, starts);
	assert_idle(table);
}

/*
 * A request is given up after its START was decided and before its thread took
 * it, as when its intent can't be recorded. The slot comes free again; were it
 * kept, the minion would lose one slot for each such request until restart.
 */
static void a_start_that_nobody_took_frees_its_slot(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *held[SLOTS];
	wwh_decision_t starts[SLOTS];

	for (int i = 0; i < 10 * SLOTS; i++) {
		wwh_request_t *request = begin(table, LONG_MS);

		assert_int_equal(wwh_request_table_minion_running(table, "m1"),
				 1);
		assert_false(wwh_request_refused(request));
		assert_false(wwh_request_end(request));
		assert_idle(table);
	}
	fill(table, held, starts);
	empty(held, starts);
	assert_idle(table);
}

/* The thread of ticks ends what nobody else would wake. */
static void a_deadline_passes_while_nothing_else_happens(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *held[SLOTS];
	wwh_decision_t starts[SLOTS];
	wwh_decision_t decision;
	wwh_request_t *request;

	fill(table, held, starts);
	request = begin(table, 30);
	assert_true(wwh_request_wait_decision(request, -1, &decision));
	assert_int_equal(decision.type, WWH_DECISION_END);
	assert_int_equal(wwh_answer_for(decision.kind)->run, WWH_RUN_NOT_RUN);
	assert_false(wwh_request_end(request));
	empty(held, starts);
	assert_idle(table);
}

/*
 * The log holds a batch of intents twice, as after an answer that was lost,
 * and the second reading says "repeated". The request stays the owner of its
 * key: its result is recorded, and the key doesn't stay in progress.
 */
static void an_intent_read_back_twice_keeps_its_first_verdict(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *request = begin(table, LONG_MS);
	uint64_t id = wwh_request_id(request);
	wwh_intent_verdict_t verdict;

	assert_true(wwh_request_table_intent_settled(table, id,
						     WWH_INTENT_ACCEPTED));
	assert_true(wwh_request_table_intent_settled(table, id,
						     WWH_INTENT_REPEATED));
	assert_true(wwh_request_wait_intent(request, -1, INT64_MAX, &verdict));
	assert_int_equal(verdict, WWH_INTENT_ACCEPTED);
	assert_true(wwh_request_end(request));
	assert_false(wwh_request_table_intent_settled(table, id,
						      WWH_INTENT_ACCEPTED));
	assert_idle(table);
}

static void an_intent_that_failed_is_not_waited_for(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *request = begin(table, LONG_MS);
	wwh_intent_verdict_t verdict;

	wwh_request_table_intent_failed(table, wwh_request_id(request));
	assert_false(wwh_request_wait_intent(request, -1, INT64_MAX, &verdict));
	assert_false(wwh_request_end(request));
	assert_idle(table);
}

/* What waits is refused; what runs goes on to its end. */
static void a_closed_table_ends_what_waits(void **state)
{
	wwh_request_table_t *table = *state;
	wwh_request_t *held[SLOTS];
	wwh_decision_t starts[SLOTS];
	wwh_decision_t decision;
	wwh_request_t *request;

	fill(table, held, starts);
	request = begin(table, LONG_MS);
	wwh_request_table_close(table);
	assert_true(wwh_request_wait_decision(request, -1, &decision));
	assert_int_equal(decision.type, WWH_DECISION_END);
	assert_int_equal(decision.kind, WWH_ERROR_SHUTTING_DOWN);
	assert_false(wwh_request_end(request));
	request = begin(table, LONG_MS);
	assert_true(wwh_request_refused(request));
	assert_false(wwh_request_end(request));
	empty(held, starts);
	assert_idle(table);
}

/* Some run, some are given up with their START in hand or not taken. */
static gpointer run_some(gpointer data)
{
	wwh_request_table_t *table = data;
	wwh_decision_t decision;
	intptr_t ends = 0;

	for (int i = 0; i < REQUESTS; i++) {
		wwh_request_t *request = begin(table, LONG_MS);

		if (i % 5 == 0) {
			(void)wwh_request_end(request);
			continue;
		}
		while (wwh_request_wait_decision(request, -1, &decision)) {
			if (decision.type == WWH_DECISION_START)
				finish(request, &decision);
			else
				ends++;
		}
		(void)wwh_request_end(request);
	}
	return (gpointer)ends;
}

static void many_threads_leave_no_slot_taken(void **state)
{
	wwh_request_table_t *table = *state;
	GThread *threads[THREADS];

	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("caller", run_some, table);
	for (int i = 0; i < THREADS; i++)
		assert_int_equal((intptr_t)g_thread_join(threads[i]),
				 REQUESTS / 5 * 4);
	assert_idle(table);
}

#define TABLE_TEST(name)                                                       \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TABLE_TEST(a_request_starts_and_ends_exactly_once),
		TABLE_TEST(a_caller_that_goes_while_waiting_takes_no_slot),
		TABLE_TEST(a_start_that_nobody_took_frees_its_slot),
		TABLE_TEST(a_deadline_passes_while_nothing_else_happens),
		TABLE_TEST(an_intent_read_back_twice_keeps_its_first_verdict),
		TABLE_TEST(an_intent_that_failed_is_not_waited_for),
		TABLE_TEST(a_closed_table_ends_what_waits),
		TABLE_TEST(many_threads_leave_no_slot_taken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
