#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/dispatch_loan.h"

#define PEERS 4
#define MINIONS 3
#define SLOTS 4 /* one for each process */
#define STEPS 200000
#define MESSAGES_MAX 64

typedef struct {
	int32_t from;
	int32_t to;
	char minion[8];
	wwh_dispatch_loan_t loan;
} message_t;

typedef struct {
	wwh_dispatch_t *dispatch;
	GRand *random;
	GArray *running; /* wwh_decision_t */
} process_t;

typedef struct {
	process_t processes[PEERS];
	GArray *messages;
	GRand *random;
	int32_t from; /* of the updates that are being queued */
	int32_t to;
	uint64_t next_id;
	int32_t max_running;
} fixture_t;

static void start_process(fixture_t *fixture, int32_t index)
{
	static const char *const names[MINIONS] = { "m0", "m1", "m2" };
	process_t *process = &fixture->processes[index];
	wwh_dispatch_service_t service = { "session", false, 1000 };
	wwh_dispatch_minion_t minions[MINIONS];
	wwh_dispatch_setup_t setup = { &service, 1, minions, MINIONS, NULL, 0 };
	wwh_dispatch_share_t share = { PEERS, 1ULL << index, INT64_MAX };
	wwh_dispatch_options_t options;

	for (int32_t i = 0; i < MINIONS; i++)
		minions[i] = (wwh_dispatch_minion_t){ names[i], "a", 0,
						      SLOTS,	64,  false };
	process->random = g_rand_new_with_seed((guint32)index);
	process->running = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	wwh_dispatch_options_defaults(&options);
	options.random = process->random;
	process->dispatch = wwh_dispatch_new();
	assert_int_equal(wwh_dispatch_init(process->dispatch, &options),
			 WWH_STATUS_OK);
	wwh_dispatch_configure(process->dispatch, 0, &setup);
	wwh_dispatch_set_share(process->dispatch, 0, &share);
}

static void drain(fixture_t *fixture, process_t *process)
{
	int32_t running_counts[MINIONS] = { 0 };
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(process->dispatch, &decision)) {
		if (decision.type == WWH_DECISION_START)
			g_array_append_val(process->running, decision);
	}
	for (int32_t i = 0; i < PEERS; i++) {
		GArray *running = fixture->processes[i].running;

		for (guint k = 0; running != NULL && k < running->len; k++)
			running_counts[g_array_index(running, wwh_decision_t, k)
					       .minion[1] -
				       '0']++;
	}
	for (int32_t i = 0; i < MINIONS; i++) {
		assert_true(running_counts[i] <= SLOTS);
		fixture->max_running =
			MAX(fixture->max_running, running_counts[i]);
	}
}

static void queue_message(const wwh_dispatch_loan_t *loan, void *client_data)
{
	fixture_t *fixture = client_data;
	message_t message = { fixture->from, fixture->to, "", *loan };

	g_strlcpy(message.minion, loan->minion, sizeof(message.minion));
	if (fixture->messages->len < MESSAGES_MAX)
		g_array_append_val(fixture->messages, message);
}

/* Delivers a random message; some are lost and some are delivered twice. */
static void deliver_one(fixture_t *fixture, int64_t now_ms)
{
	guint index;
	message_t message;

	if (fixture->messages->len == 0)
		return;
	index = (guint)g_rand_int_range(fixture->random, 0,
					(gint32)fixture->messages->len);
	message = g_array_index(fixture->messages, message_t, index);
	message.loan.minion = message.minion;
	if (g_rand_int_range(fixture->random, 0, 4) > 0)
		g_array_remove_index(fixture->messages, index);
	if (g_rand_int_range(fixture->random, 0, 4) == 0)
		return;
	wwh_dispatch_loans_apply_update(fixture->processes[message.to].dispatch,
					now_ms, (uint64_t)message.from + 1,
					&message.loan);
	drain(fixture, &fixture->processes[message.to]);
}

static void finish_one(fixture_t *fixture, process_t *process, int64_t now_ms)
{
	wwh_dispatch_result_t result = { .outcome = WWH_OUTCOME_ANSWERED,
					 .latency_ms = 10 };
	wwh_decision_t decision;
	guint index;

	if (process->running->len == 0)
		return;
	index = (guint)g_rand_int_range(fixture->random, 0,
					(gint32)process->running->len);
	decision = g_array_index(process->running, wwh_decision_t, index);
	g_array_remove_index(process->running, index);
	result.request = decision.request;
	result.minion = decision.minion;
	wwh_dispatch_finish_attempt(process->dispatch, now_ms, &result);
	drain(fixture, process);
}

static void run_random_step(fixture_t *fixture, int64_t now_ms)
{
	int32_t index = g_rand_int_range(fixture->random, 0, PEERS);
	process_t *process;
	wwh_dispatch_request_t request = { .service = "session",
					   .idempotent = true };

	/* One process at a time has more than half of the load, in rotation. */
	if (g_rand_boolean(fixture->random))
		index = (int32_t)(now_ms / 5000 % PEERS);
	process = &fixture->processes[index];
	switch (g_rand_int_range(fixture->random, 0, 4)) {
	case 0:
		request.id = ++fixture->next_id;
		wwh_dispatch_arrive(process->dispatch, now_ms, &request);
		drain(fixture, process);
		break;
	case 1:
		finish_one(fixture, process, now_ms);
		break;
	case 2:
		fixture->from = index;
		fixture->to =
			(index + g_rand_int_range(fixture->random, 1, PEERS)) %
			PEERS;
		wwh_dispatch_loans_visit_updates(process->dispatch, now_ms,
						 (uint64_t)fixture->to + 1,
						 queue_message, fixture);
		break;
	default:
		deliver_one(fixture, now_ms);
		wwh_dispatch_tick(process->dispatch, now_ms);
		drain(fixture, process);
		break;
	}
}

/*
 * Four processes lend each other slots while messages are lost, late, repeated
 * and reordered. The requests that they run on a minion together must never
 * exceed its slots.
 */
static void loans_never_exceed_the_slots(void **unused)
{
	fixture_t fixture = { .max_running = 0 };

	(void)unused;
	fixture.random = g_rand_new_with_seed(42);
	fixture.messages = g_array_new(FALSE, TRUE, sizeof(message_t));
	for (int32_t i = 0; i < PEERS; i++)
		start_process(&fixture, i);
	for (int64_t i = 0; i < STEPS; i++)
		run_random_step(&fixture, i / 4);
	assert_int_equal(fixture.max_running, SLOTS);
	for (int32_t i = 0; i < PEERS; i++) {
		process_t *process = &fixture.processes[i];

		while (process->running->len > 0)
			finish_one(&fixture, process, STEPS);
		wwh_dispatch_delete(process->dispatch);
		g_array_free(process->running, TRUE);
		g_rand_free(process->random);
	}
	g_array_free(fixture.messages, TRUE);
	g_rand_free(fixture.random);
}

/* Repeated messages neither lend nor return a slot twice. */
static void repeated_messages_change_nothing(void **unused)
{
	wwh_loan_book_t *lender = wwh_loan_book_new();
	wwh_loan_book_t *borrower = wwh_loan_book_new();
	wwh_loan_totals_t old;

	(void)unused;
	wwh_loan_grant(lender, 2, 3);
	old = wwh_loan_totals(lender, 2);
	assert_true(wwh_loan_apply_totals(borrower, 1, old));
	assert_false(wwh_loan_apply_totals(borrower, 1, old));
	assert_int_equal(wwh_loan_borrowed(borrower), 3);
	assert_int_equal(wwh_loan_return(borrower, 1, 5), 3);
	assert_int_equal(wwh_loan_borrowed(borrower), 0);
	/* A repeated old message of the lender lends nothing. */
	assert_false(wwh_loan_apply_totals(borrower, 1, old));
	assert_int_equal(wwh_loan_borrowed(borrower), 0);
	assert_int_equal(wwh_loan_lent(lender), 3);
	assert_true(
		wwh_loan_apply_totals(lender, 2, wwh_loan_totals(borrower, 1)));
	assert_int_equal(wwh_loan_lent(lender), 0);
	wwh_loan_book_delete(lender);
	wwh_loan_book_delete(borrower);
}

static void removing_a_peer_removes_its_account(void **unused)
{
	wwh_loan_book_t *book = wwh_loan_book_new();
	wwh_loan_totals_t totals = { .granted = 2 };

	(void)unused;
	wwh_loan_grant(book, 5, 1);
	wwh_loan_apply_totals(book, 5, totals);
	wwh_loan_apply_totals(book, 6, totals);
	wwh_loan_remove_peer(book, 5);
	assert_int_equal(wwh_loan_lent(book), 0);
	assert_int_equal(wwh_loan_borrowed(book), 2);
	assert_int_equal(wwh_loan_borrowed_from(book, 5), 0);
	wwh_loan_book_delete(book);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(loans_never_exceed_the_slots),
		cmocka_unit_test(repeated_messages_change_nothing),
		cmocka_unit_test(removing_a_peer_removes_its_account),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
