/*
 * fuzz_dispatch - event sequences against simple invariants. Three entry
 * processes share 4 minions and lend each other slots; the input says what
 * happens next. Checked after each event:
 *
 * - no minion has more than its slots running, summed over the processes,
 *   and no process has more than its share says;
 * - each request gets exactly one END, and START only before it;
 * - END says "not run" only if no attempt may have run;
 * - a request that is not idempotent is not sent again once it may have run;
 * - no request waits past its deadline (ticks are made when they are due);
 * - a leaving minion gets no new work;
 * - work-conserving: in a process without failures, slow answers, loans and
 *   changes so far,
 *   nothing waits while a slot of its share is free;
 * - a refusal for want of room tells when to come back.
 */

#include <assert.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/dispatch_loan.h"

#define PROCESSES 3
#define MINIONS 4
#define SLOTS 6
#define SHARE (MINIONS * SLOTS / PROCESSES)
#define REQUESTS_MAX 200
#define INPUT_MAX 320
#define MAIL_MAX 32
#define EVEN_MS 16 /* no difference below counts as slow */

typedef struct {
	bool arrived;
	bool ended;
	bool running;
	bool idempotent;
	bool may_have_run;
	int32_t minion;
	int32_t process;
	int64_t deadline_ms;
} request_t;

typedef struct {
	int32_t from;
	int32_t to;
	int32_t minion;
	wwh_dispatch_loan_t loan;
} mail_t;

typedef struct {
	const uint8_t *data;
	size_t size;
	int64_t now_ms;
	wwh_dispatch_t *processes[PROCESSES];
	GRand *randoms[PROCESSES];
	request_t requests[REQUESTS_MAX];
	int32_t request_count;
	wwh_minion_state_t states[PROCESSES][MINIONS];
	bool touched[PROCESSES]; /* by a failure, a change or a loan */
	mail_t mail[MAIL_MAX];
	int32_t mail_count;
	int32_t from; /* while telling */
	int32_t to;
} world_t;

static const char *const names[MINIONS] = { "m0", "m1", "m2", "m3" };

static uint8_t next_byte(world_t *world);
static void set_up(world_t *world, int32_t process, int32_t minions);
static void started(world_t *world, int32_t process,
		    const wwh_decision_t *decision);
static void ended(request_t *request, const wwh_decision_t *decision);
static void drain(world_t *world, int32_t process);
static void check(const world_t *world);
static void run_ticks(world_t *world);
static void arrive(world_t *world, int32_t process);
static void finish(world_t *world);
static void cancel(world_t *world);
static void tell(world_t *world, int32_t process);
static void post(const wwh_dispatch_loan_t *loan, void *client_data);
static void hear(world_t *world);
static void change_minion(world_t *world, int32_t process);
static void change_seats(world_t *world, int32_t process);
static void pass(world_t *world, int32_t left_ms);
static void event(world_t *world);
static void finish_all(world_t *world);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *world = g_new0(world_t, 1);

	world->data = data;
	world->size = MIN(size, INPUT_MAX);
	for (int32_t i = 0; i < PROCESSES; i++) {
		wwh_dispatch_options_t options;

		world->randoms[i] = g_rand_new_with_seed((guint32)i);
		wwh_dispatch_options_defaults(&options);
		options.zone = "a";
		options.waiting_max = 32;
		options.random = world->randoms[i];
		world->processes[i] = wwh_dispatch_new();
		assert(wwh_dispatch_init(world->processes[i], &options) ==
		       WWH_STATUS_OK);
		set_up(world, i, MINIONS);
	}
	while (world->size > 0) {
		event(world);
		check(world);
	}
	finish_all(world);
	for (int32_t i = 0; i < PROCESSES; i++) {
		wwh_dispatch_delete(world->processes[i]);
		g_rand_free(world->randoms[i]);
	}
	g_free(world);
	return 0;
}

static uint8_t next_byte(world_t *world)
{
	uint8_t byte;

	if (world->size == 0)
		return 0;
	byte = *world->data;
	world->data++;
	world->size--;
	return byte;
}

static void set_up(world_t *world, int32_t process, int32_t minions)
{
	wwh_dispatch_service_t service = { "session", false, 1000 };
	wwh_dispatch_minion_t all[MINIONS];
	wwh_dispatch_team_t team = { "team", 12 };
	wwh_dispatch_setup_t setup = { &service, 1, all, minions, &team, 1 };
	wwh_dispatch_share_t share = { PROCESSES, 1ULL << process, INT64_MAX };

	for (int32_t i = 0; i < minions; i++)
		all[i] = (wwh_dispatch_minion_t){ names[i], i < 2 ? "a" : "b",
						  0,	    SLOTS,
						  64,	    false };
	assert(wwh_dispatch_configure(world->processes[process], world->now_ms,
				      &setup) == WWH_STATUS_OK);
	wwh_dispatch_set_share(world->processes[process], world->now_ms,
			       &share);
	drain(world, process);
}

static void started(world_t *world, int32_t process,
		    const wwh_decision_t *decision)
{
	request_t *request = &world->requests[decision->request];

	assert(request->arrived && !request->ended && !request->running);
	assert(request->idempotent || !request->may_have_run);
	assert(decision->timeout_ms >= 1);
	request->running = true;
	request->minion = decision->minion[1] - '0';
	assert(world->states[process][request->minion] == WWH_MINION_LIVE);
}

static void ended(request_t *request, const wwh_decision_t *decision)
{
	const wwh_answer_t *answer = wwh_answer_for(decision->kind);

	assert(request->arrived && !request->ended);
	request->ended = true;
	assert(answer->run != WWH_RUN_NOT_RUN ||
	       (!request->may_have_run && !request->running));
	assert((answer->retry_rule == WWH_RETRY_NEVER) ==
	       (decision->retry_after_ms == 0));
}

static void drain(world_t *world, int32_t process)
{
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(world->processes[process],
					  &decision)) {
		if (decision.type == WWH_DECISION_START)
			started(world, process, &decision);
		else
			ended(&world->requests[decision.request], &decision);
	}
}

static void check(const world_t *world)
{
	int32_t running[MINIONS] = { 0 };

	for (int32_t i = 0; i < world->request_count; i++) {
		const request_t *request = &world->requests[i];

		if (request->running)
			running[request->minion]++;
		else if (!request->ended)
			assert(world->now_ms <= request->deadline_ms);
	}
	for (int32_t i = 0; i < MINIONS; i++)
		assert(running[i] <= SLOTS);
	for (int32_t i = 0; i < PROCESSES; i++) {
		const wwh_dispatch_t *dispatch = world->processes[i];

		assert(world->touched[i] ||
		       wwh_dispatch_waiting(dispatch) == 0 ||
		       wwh_dispatch_running(dispatch) == SHARE);
	}
}

static void run_ticks(world_t *world)
{
	for (int32_t i = 0; i < PROCESSES; i++) {
		while (wwh_dispatch_next_deadline_ms(world->processes[i]) <=
		       world->now_ms) {
			wwh_dispatch_tick(world->processes[i], world->now_ms);
			drain(world, i);
		}
	}
}

static void arrive(world_t *world, int32_t process)
{
	uint8_t bits = next_byte(world);
	wwh_dispatch_request_t event = { .service = "session" };
	request_t *request;

	if (world->request_count == REQUESTS_MAX)
		return;
	request = &world->requests[world->request_count];
	event.id = (uint64_t)world->request_count;
	world->request_count++;
	event.caller = bits & 7;
	event.team = bits & 8 ? "team" : NULL;
	event.urgent = bits & 16;
	event.idempotent = bits & 32;
	event.bytes = bits;
	event.deadline_ms = world->now_ms + 20 + 4 * next_byte(world);
	request->arrived = true;
	request->idempotent = event.idempotent;
	request->process = process;
	request->deadline_ms = event.deadline_ms;
	wwh_dispatch_arrive(world->processes[process], world->now_ms, &event);
	drain(world, process);
}

static void finish(world_t *world)
{
	uint8_t which = next_byte(world);
	uint8_t how = next_byte(world);
	wwh_dispatch_result_t result = { 0 };

	for (int32_t i = 0; i < world->request_count; i++) {
		int32_t index = (which * 2 + i) % world->request_count;
		request_t *request = &world->requests[index];

		if (!request->running)
			continue;
		result.request = (uint64_t)index;
		result.minion = names[request->minion];
		result.outcome =
			how % 4 == 0
				? (wwh_outcome_t)(how / 4 % WWH_OUTCOME_COUNT)
				: WWH_OUTCOME_ANSWERED;
		result.answer_begun =
			how & 64 && result.outcome == WWH_OUTCOME_TRUNCATED;
		result.latency_ms = how / 4;
		if (result.outcome == WWH_OUTCOME_REFUSED)
			result.retry_after_ms = how;
		/* Slow answers may eject a minion. */
		if (result.outcome != WWH_OUTCOME_ANSWERED ||
		    result.latency_ms > EVEN_MS)
			world->touched[request->process] = true;
		request->running = false;
		if (result.outcome != WWH_OUTCOME_REFUSED &&
		    result.outcome != WWH_OUTCOME_CONNECT_FAILED)
			request->may_have_run = true;
		wwh_dispatch_finish_attempt(world->processes[request->process],
					    world->now_ms, &result);
		drain(world, request->process);
		return;
	}
}

static void cancel(world_t *world)
{
	uint64_t index = next_byte(world);

	if (index >= (uint64_t)world->request_count)
		return;
	wwh_dispatch_cancel(world->processes[world->requests[index].process],
			    world->now_ms, index);
	drain(world, world->requests[index].process);
	assert(world->requests[index].ended);
}

static void tell(world_t *world, int32_t process)
{
	world->from = process;
	world->to =
		(process + 1 + next_byte(world) % (PROCESSES - 1)) % PROCESSES;
	wwh_dispatch_loans_visit_updates(world->processes[process],
					 world->now_ms, (uint64_t)world->to + 1,
					 post, world);
	drain(world, process);
}

static void post(const wwh_dispatch_loan_t *loan, void *client_data)
{
	world_t *world = client_data;
	mail_t mail = { world->from, world->to, loan->minion[1] - '0', *loan };

	if (world->mail_count < MAIL_MAX)
		world->mail[world->mail_count++] = mail;
}

/* Any of the mail; it may be lost, or kept to come again. */
static void hear(world_t *world)
{
	uint8_t bits = next_byte(world);
	int32_t index;
	mail_t mail;

	if (world->mail_count == 0)
		return;
	index = bits / 4 % world->mail_count;
	mail = world->mail[index];
	if ((bits & 1) == 0)
		world->mail[index] = world->mail[--world->mail_count];
	if ((bits & 3) == 2)
		return;
	mail.loan.minion = names[mail.minion];
	world->touched[mail.to] = true;
	wwh_dispatch_loans_apply_update(world->processes[mail.to],
					world->now_ms, (uint64_t)mail.from + 1,
					&mail.loan);
	drain(world, mail.to);
}

static void change_minion(world_t *world, int32_t process)
{
	uint8_t bits = next_byte(world);
	int32_t minion = bits % MINIONS;
	wwh_minion_state_t state =
		(wwh_minion_state_t)(bits / MINIONS % WWH_MINION_STATE_COUNT);

	world->touched[process] = true;
	world->states[process][minion] = state;
	wwh_dispatch_set_minion_state(world->processes[process], world->now_ms,
				      names[minion], state);
	drain(world, process);
}

/* The process's own seat is taken out of use and, once settled, back. */
static void change_seats(world_t *world, int32_t process)
{
	wwh_dispatch_t *dispatch = world->processes[process];
	wwh_dispatch_share_t share = { PROCESSES, 0, INT64_MAX };

	world->touched[process] = true;
	if (next_byte(world) & 1)
		share.seats = 1ULL << process;
	wwh_dispatch_set_share(dispatch, world->now_ms, &share);
	drain(world, process);
}

/* Time passes; each tick is made when it is due. */
static void pass(world_t *world, int32_t left_ms)
{
	int64_t until_ms = world->now_ms + left_ms;

	run_ticks(world);
	while (world->now_ms < until_ms) {
		int64_t next_ms = until_ms;

		for (int32_t i = 0; i < PROCESSES; i++)
			next_ms = MIN(next_ms, wwh_dispatch_next_deadline_ms(
						       world->processes[i]));
		world->now_ms = next_ms;
		run_ticks(world);
	}
}

static void event(world_t *world)
{
	uint8_t what = next_byte(world);
	int32_t process = what / 16 % PROCESSES;

	switch (what % 16) {
	case 0:
	case 1:
	case 2:
	case 3:
	case 4:
	case 5:
		arrive(world, process);
		break;
	case 6:
	case 7:
	case 8:
		finish(world);
		break;
	case 9:
		cancel(world);
		break;
	case 10:
		tell(world, process);
		break;
	case 11:
		hear(world);
		break;
	case 12:
		change_minion(world, process);
		break;
	case 13:
		change_seats(world, process);
		break;
	case 14:
		pass(world, next_byte(world) % 8);
		break;
	default:
		pass(world, next_byte(world));
		break;
	}
}

/* In the end every request has its answer. */
static void finish_all(world_t *world)
{
	for (int32_t i = 0; i < PROCESSES; i++) {
		wwh_dispatch_close(world->processes[i], world->now_ms);
		drain(world, i);
	}
	for (int32_t i = 0; i < world->request_count; i++) {
		request_t *request = &world->requests[i];
		wwh_dispatch_result_t result = { .request = (uint64_t)i };

		if (!request->running)
			continue;
		request->running = false;
		request->may_have_run = true;
		result.minion = names[request->minion];
		wwh_dispatch_finish_attempt(world->processes[request->process],
					    world->now_ms, &result);
		drain(world, request->process);
	}
	for (int32_t i = 0; i < world->request_count; i++)
		assert(world->requests[i].ended);
	for (int32_t i = 0; i < PROCESSES; i++) {
		assert(wwh_dispatch_waiting(world->processes[i]) == 0);
		assert(wwh_dispatch_running(world->processes[i]) == 0);
	}
}
