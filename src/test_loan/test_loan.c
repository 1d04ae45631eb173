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
#define MAIL_MAX 64

typedef struct {
	int32_t from;
	int32_t to;
	char minion[8];
	wwh_dispatch_loan_t loan;
} mail_t;

typedef struct {
	wwh_dispatch_t *dispatch;
	GRand *random;
	GArray *running; /* wwh_decision_t */
} process_t;

typedef struct {
	process_t processes[PEERS];
	GArray *mail;
	GRand *random;
	int32_t from; /* while telling */
	int32_t to;
	uint64_t next_id;
	int32_t held_most;
} rig_t;

static void start_process(rig_t *rig, int32_t index)
{
	static const char *const names[MINIONS] = { "m0", "m1", "m2" };
	process_t *process = &rig->processes[index];
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

static void drain(rig_t *rig, process_t *process)
{
	int32_t held[MINIONS] = { 0 };
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(process->dispatch, &decision)) {
		if (decision.type == WWH_DECISION_START)
			g_array_append_val(process->running, decision);
	}
	for (int32_t i = 0; i < PEERS; i++) {
		GArray *running = rig->processes[i].running;

		for (guint k = 0; running != NULL && k < running->len; k++)
			held[g_array_index(running, wwh_decision_t, k)
				     .minion[1] -
			     '0']++;
	}
	for (int32_t i = 0; i < MINIONS; i++) {
		assert_true(held[i] <= SLOTS);
		rig->held_most = MAX(rig->held_most, held[i]);
	}
}

static void post(const wwh_dispatch_loan_t *loan, void *client_data)
{
	rig_t *rig = client_data;
	mail_t mail = { rig->from, rig->to, "", *loan };

	g_strlcpy(mail.minion, loan->minion, sizeof(mail.minion));
	if (rig->mail->len < MAIL_MAX)
		g_array_append_val(rig->mail, mail);
}

/* Any of the mail, in any order; some is lost and some comes twice. */
static void deliver_one(rig_t *rig, int64_t now_ms)
{
	guint index;
	mail_t mail;

	if (rig->mail->len == 0)
		return;
	index = (guint)g_rand_int_range(rig->random, 0, (gint32)rig->mail->len);
	mail = g_array_index(rig->mail, mail_t, index);
	mail.loan.minion = mail.minion;
	if (g_rand_int_range(rig->random, 0, 4) > 0)
		g_array_remove_index(rig->mail, index);
	if (g_rand_int_range(rig->random, 0, 4) == 0)
		return;
	wwh_dispatch_loans_apply_update(rig->processes[mail.to].dispatch,
					now_ms, (uint64_t)mail.from + 1,
					&mail.loan);
	drain(rig, &rig->processes[mail.to]);
}

static void finish_one(rig_t *rig, process_t *process, int64_t now_ms)
{
	wwh_dispatch_result_t result = { .outcome = WWH_OUTCOME_ANSWERED,
					 .latency_ms = 10 };
	wwh_decision_t decision;
	guint index;

	if (process->running->len == 0)
		return;
	index = (guint)g_rand_int_range(rig->random, 0,
					(gint32)process->running->len);
	decision = g_array_index(process->running, wwh_decision_t, index);
	g_array_remove_index(process->running, index);
	result.request = decision.request;
	result.minion = decision.minion;
	wwh_dispatch_finish_attempt(process->dispatch, now_ms, &result);
	drain(rig, process);
}

static void step(rig_t *rig, int64_t now_ms)
{
	int32_t index = g_rand_int_range(rig->random, 0, PEERS);
	process_t *process;
	wwh_dispatch_request_t request = { .service = "session",
					   .idempotent = true };

	/* One process has half of the load, another one in turn. */
	if (g_rand_boolean(rig->random))
		index = (int32_t)(now_ms / 5000 % PEERS);
	process = &rig->processes[index];
	switch (g_rand_int_range(rig->random, 0, 4)) {
	case 0:
		request.id = ++rig->next_id;
		wwh_dispatch_arrive(process->dispatch, now_ms, &request);
		drain(rig, process);
		break;
	case 1:
		finish_one(rig, process, now_ms);
		break;
	case 2:
		rig->from = index;
		rig->to = (index + g_rand_int_range(rig->random, 1, PEERS)) %
			  PEERS;
		wwh_dispatch_loans_visit_updates(process->dispatch, now_ms,
						 (uint64_t)rig->to + 1, post,
						 rig);
		break;
	default:
		deliver_one(rig, now_ms);
		wwh_dispatch_tick(process->dispatch, now_ms);
		drain(rig, process);
		break;
	}
}

/*
 * Four processes lend each other slots while messages get lost, come late,
 * twice and out of order. Whatever each believes, the sum of what they run on
 * a minion never exceeds its slots.
 */
static void loans_never_exceed_the_slots(void **unused)
{
	rig_t rig = { .held_most = 0 };

	(void)unused;
	rig.random = g_rand_new_with_seed(42);
	rig.mail = g_array_new(FALSE, TRUE, sizeof(mail_t));
	for (int32_t i = 0; i < PEERS; i++)
		start_process(&rig, i);
	for (int64_t i = 0; i < STEPS; i++)
		step(&rig, i / 4);
	assert_int_equal(rig.held_most, SLOTS);
	for (int32_t i = 0; i < PEERS; i++) {
		process_t *process = &rig.processes[i];

		while (process->running->len > 0)
			finish_one(&rig, process, STEPS);
		wwh_dispatch_delete(process->dispatch);
		g_array_free(process->running, TRUE);
		g_rand_free(process->random);
	}
	g_array_free(rig.mail, TRUE);
	g_rand_free(rig.random);
}

/* One process has all the load: it ends up with the idle slots of others. */
static void idle_slots_are_lent_and_come_back(void **unused)
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
	/* The lender's old message comes again: it lends nothing anew. */
	assert_false(wwh_loan_apply_totals(borrower, 1, old));
	assert_int_equal(wwh_loan_borrowed(borrower), 0);
	assert_int_equal(wwh_loan_lent(lender), 3);
	assert_true(
		wwh_loan_apply_totals(lender, 2, wwh_loan_totals(borrower, 1)));
	assert_int_equal(wwh_loan_lent(lender), 0);
	wwh_loan_book_delete(lender);
	wwh_loan_book_delete(borrower);
}

static void a_forgotten_peer_leaves_no_trace(void **unused)
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
		cmocka_unit_test(idle_slots_are_lent_and_come_back),
		cmocka_unit_test(a_forgotten_peer_leaves_no_trace),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
