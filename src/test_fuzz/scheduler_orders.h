#ifndef TEST_FUZZ_SCHEDULER_ORDERS_H
#define TEST_FUZZ_SCHEDULER_ORDERS_H

/*
 * NAME
 *	scheduler_orders - what becomes of an order on its way, and of its answer
 *
 * USE
 *	For fuzz_scheduler alone.
 */

#include "scheduler_holders.h"

/*
 * An order that an upstream keeps for later is gone when it crashes. One that is on
 * its way may reach the next incarnation under the id, if its holder lives.
 */
static bool is_gone(const order_t *order, const host_t *host)
{
	return host->life != order->life &&
	       (order->carried_out_late || holder_of(order->holder) == NULL);
}

static answer_t *make_answer(const order_t *order, const host_t *host)
{
	answer_t *answer = g_new0(answer_t, 1);

	answer->order = *order;
	answer->remote_ms = clock_of(host);
	answer->born_ms = host->born_ms;
	answer->running = g_array_new(FALSE, FALSE, sizeof(wwh_running_task_t));
	answer->ended = g_array_new(FALSE, FALSE, sizeof(wwh_ended_task_t));
	for (guint i = 0; i < host->runs->len; i++) {
		const run_t *run = &g_array_index(host->runs, run_t, i);
		wwh_running_task_t row = { .run = run->run, .checkpoint = "" };

		g_strlcpy(row.task, run->task, sizeof(row.task));
		if (!host->hangs)
			row.percent = (int32_t)((world.now_ms - run->begun_ms) *
						100 / run->duration_ms);
		g_array_append_val(answer->running, row);
	}
	for (guint i = 0; i < host->ends->len; i++) {
		const end_t *end = &g_array_index(host->ends, end_t, i);
		wwh_ended_task_t row = { .number = end->number,
					 .run = end->run,
					 .kind = end->kind,
					 .checkpoint = "" };

		g_strlcpy(row.task, end->task, sizeof(row.task));
		g_array_append_val(answer->ended, row);
	}
	return answer;
}

static void answer_free(gpointer data)
{
	answer_t *answer = data;

	g_array_free(answer->running, TRUE);
	g_array_free(answer->ended, TRUE);
	g_free(answer);
}

/* The answer comes in, unless nobody waits for it any more. */
static void give_answer(answer_t *answer)
{
	holder_t *holder = holder_of(answer->order.holder);
	wwh_poll_answer_t rows = {
		.remote_ms = answer->remote_ms,
		.born_ms = answer->born_ms,
		.running = (wwh_running_task_t *)(void *)answer->running->data,
		.running_count = (int32_t)answer->running->len,
		.ended = (wwh_ended_task_t *)(void *)answer->ended->data,
		.ended_count = (int32_t)answer->ended->len,
		.ended_complete = true,
	};

	if (holder != NULL)
		wwh_scheduler_handle_poll_answer(
			holder->scheduler, answer->order.upstream, &rows,
			answer->order.sent_ms, world.now_ms);
	answer_free(answer);
}

static void note_answered(const order_t *order)
{
	host_t *host = host_of(order->upstream);
	job_t *job;
	int32_t step;
	truth_t *truth = truth_of(order->task, &step, &job);
	int32_t slot = slot_of(holder_of(order->holder));

	if (truth->ordered_run[slot] != order->run || truth->run_answered[slot])
		return;
	truth->run_answered[slot] = true;
	truth->unanswered--;
	for (guint i = 0; host != NULL && i < host->runs->len; i++) {
		run_t *run = &g_array_index(host->runs, run_t, i);

		if (strcmp(run->task, order->task) == 0 &&
		    run->run == order->run)
			run->answered = true;
	}
}

static wwh_reach_t reach_of(wwh_order_result_t result)
{
	if (result == WWH_ORDER_OTHER_INCARNATION)
		return WWH_REACH_OTHER_ANSWERS;
	return result == WWH_ORDER_NOT_DONE ? WWH_REACH_REFUSED
					    : WWH_REACH_SILENT;
}

/* Tells the holder what came of an order, if it still is there. */
static void tell(const order_t *order, wwh_order_result_t result)
{
	holder_t *holder = holder_of(order->holder);

	if (holder == NULL || order->carried_out_late)
		return;
	if (result == WWH_ORDER_FENCED) {
		trace("holder %d: fenced at %s", holder->number,
		      order->upstream);
		drop_holder(holder);
		return;
	}
	if (order->kind == ORDER_START && result != WWH_ORDER_UNKNOWN)
		note_answered(order);
	if (order->kind == ORDER_START)
		wwh_scheduler_handle_start_result(
			holder->scheduler, order->upstream, order->task,
			order->run, result, world.now_ms);
	else if (order->kind == ORDER_STOP)
		wwh_scheduler_handle_stop_result(
			holder->scheduler, order->upstream, order->task,
			order->run, result, world.now_ms);
	else
		wwh_scheduler_handle_poll_failure(
			holder->scheduler, order->upstream, reach_of(result),
			world.now_ms);
}

/* The link to the address of the upstream, whatever has its place now. */
static link_t link_of(const order_t *order)
{
	const holder_t *holder = holder_of(order->holder);
	int index;
	int life;

	assert(sscanf(order->upstream, "u%d-%d", &index, &life) == 2);
	if (holder == NULL)
		return LINK_UP;
	return holder->frozen_until_ms != 0 && holder->links[index] == LINK_UP
		       ? LINK_ONE_WAY
		       : holder->links[index];
}

/*
 * The upstream gets the order; answered: its answer comes back; slowly: that
 * of a poll takes its time, and others overtake it.
 */
static void deliver(const order_t *order, bool answered, bool slowly)
{
	host_t *host = host_of(order->upstream);
	link_t link = link_of(order);
	wwh_order_result_t result;

	answered = answered && link == LINK_UP;
	if (host == NULL && answered) {
		tell(order, WWH_ORDER_OTHER_INCARNATION);
		return;
	}
	if (host == NULL || !host->up || host->cut || link == LINK_CUT ||
	    is_gone(order, host)) {
		tell(order, WWH_ORDER_UNKNOWN);
		return;
	}
	settle_host(host);
	if (order->token < host->token) {
		tell(order, answered ? WWH_ORDER_FENCED : WWH_ORDER_UNKNOWN);
		return;
	}
	host->token = order->token;
	if (order->kind == ORDER_POLL) {
		carry_out_poll(host, order);
		if (!answered || order->carried_out_late)
			tell(order, WWH_ORDER_UNKNOWN);
		else if (slowly)
			g_queue_push_tail(world.answers,
					  make_answer(order, host));
		else
			give_answer(make_answer(order, host));
		return;
	}
	result = order->kind == ORDER_START ? carry_out_start(host, order)
					    : carry_out_stop(host, order);
	tell(order, answered ? result : WWH_ORDER_UNKNOWN);
}

/* A holder waits only so long; the answer may still be on its way then. */
static void expire_answers(void)
{
	for (guint i = g_queue_get_length(world.answers); i > 0; i--) {
		answer_t *answer = g_queue_pop_head(world.answers);

		if (world.now_ms - answer->order.sent_ms <= ORDER_LIMIT_MS) {
			g_queue_push_tail(world.answers, answer);
			continue;
		}
		tell(&answer->order, WWH_ORDER_UNKNOWN);
		answer_free(answer);
	}
}

static void handle_order(uint8_t how, bool slowly)
{
	guint length = g_queue_get_length(world.orders);
	order_t *order;

	if (length == 0)
		return;
	order = g_queue_pop_nth(world.orders, how / 8 % MIN(length, 6));
	if (!order->carried_out_late &&
	    world.now_ms - order->sent_ms > ORDER_LIMIT_MS) {
		tell(order, WWH_ORDER_UNKNOWN);
		order->carried_out_late = true;
	}
	switch (how % 8) {
	case 0: /* no answer; carried out later, or never */
		if (!order->carried_out_late) {
			order_t late = *order;

			tell(order, WWH_ORDER_UNKNOWN);
			late.carried_out_late = true;
			add_order(&late);
		}
		break;
	case 1: /* carried out, the answer is lost */
		deliver(order, false, false);
		break;
	case 2: /* surely not sent */
		if (order->kind != ORDER_POLL)
			tell(order, WWH_ORDER_NOT_DONE);
		else
			tell(order, WWH_ORDER_UNKNOWN);
		break;
	default:
		deliver(order, true, slowly);
		break;
	}
	g_free(order);
}

#endif
