/*
 * fuzz_scheduler - holders of a shard against a world that knows the truth.
 * The input says what happens next: jobs come and are cancelled, orders are
 * carried out, refused, lost, carried out or answered late, upstreams crash,
 * start again under their id or another, are cut off, hang or leave, appends fail or get no answer, a holder is
 * overtaken and goes on for a moment, or all start anew from the store. Lists
 * of what hosts run are asked for, are true at some moment from then on, and are
 * read later still.
 *
 * Checked where an upstream begins a run:
 *  - no other run of the task goes on at an upstream that is up;
 *  - the task wasn't done by an end that was acknowledged;
 *  - all tasks of the steps before it are done;
 *  - fewer failed ends than the queue allows were acknowledged;
 *  - the job was handed in, with this payload, and its cancel isn't known;
 * and when a holder is asked: a job is shown as completed only when each of
 * its tasks is done, and ever after; as failed only when a task has failed as
 * often as the queue allows, or two upstreams have crashed under it; and an
 * accepted one is never unknown. A task that crashes its upstreams is started
 * five times at most, and twice more for each change of holder and once for each
 * start whose answer was lost.
 */

#include "scheduler_holders.h"

/* Bit n: an order in an event n * 16 + 8 to 15 is answered slowly. */
#define SLOW_EVENTS 0x1d00 /* 8, 10, 11, 12: no kept input has these */

/* A host that comes back does so under its id. */
#define RESTARTS_FROM 124

/* A change of a host from this on makes it slow, or fast again. */
#define SLOW_FROM 240

/* Kinds of jobs that are small; no kept input has these either. */
#define FIRST_SMALL 160
#define LAST_SMALL 254

/* Kinds of jobs whose first task crashes its upstreams; neither. */
#define FIRST_CRASHING 146
#define LAST_CRASHING 153

/* The same, before the upstream has answered the start; neither. */
#ifndef FIRST_CRASHING_UNANSWERED
#define FIRST_CRASHING_UNANSWERED 130
#endif
#define LAST_CRASHING_UNANSWERED 137

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint8_t next(void)
{
	if (world.size == 0)
		return 0;
	world.size--;
	return *world.data++;
}

static void begin_life(host_t *host)
{
	host->life++;
	host->born_ms = world.now_ms;
	host->up = true;
	host->leaving = false;
	host->announced = true;
	host->back_ms = 0;
}

static void begin_incarnation(host_t *host)
{
	begin_life(host);
	snprintf(host->id, sizeof(host->id), "u%d-%d",
		 (int)(host - world.hosts), host->life);
	if (world.holder.number != 0)
		announce(&world.holder, host);
}

/* The upstream starts again under its id; its clock begins anew, too. */
static void restart(host_t *host)
{
	begin_life(host);
	host->clock_offset_ms = -world.now_ms * host->clock_permille / 1000;
	if (world.holder.number != 0)
		announce(&world.holder, host);
}

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

	if (truth->ordered_run != order->run || truth->run_answered)
		return;
	truth->run_answered = true;
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

/*
 * The upstream gets the order; answered: its answer comes back; slowly: that
 * of a poll takes its time, and others overtake it.
 */
static void deliver(const order_t *order, bool answered, bool slowly)
{
	host_t *host = host_of(order->upstream);
	wwh_order_result_t result;

	if (host == NULL && answered) {
		tell(order, WWH_ORDER_OTHER_INCARNATION);
		return;
	}
	if (host == NULL || !host->up || host->cut || is_gone(order, host)) {
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

/* The journal's pending records become durable; answered: the holder knows. */
static void append(bool stored, bool answered)
{
	holder_t *holder = &world.holder;
	int64_t last = 0;

	(void)wwh_scheduler_flush(holder->scheduler, world.now_ms);
	holder->sent_upto = holder->next_record;
	for (GList *at = holder->pending->head; at != NULL && stored;
	     at = at->next) {
		record_t *record = at->data;

		last = record->number;
		if (record->value == NULL)
			g_hash_table_remove(world.store, record->key);
		else
			g_hash_table_replace(world.store, g_strdup(record->key),
					     g_bytes_ref(record->value));
	}
	if (!stored || !answered)
		return; /* the same records are appended again */
	g_queue_clear_full(holder->pending, record_free);
	wwh_scheduler_set_durable(holder->scheduler, last);
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];

		job->accepted |= job->submitted && job->submit_record > 0 &&
				 job->submit_record <= last;
		if (job->cancel_sent && !job->cancelled)
			job->cancelled_ms = world.now_ms;
		job->cancelled |= job->cancel_sent;
	}
}

/*
 * Most jobs are large, so that tasks compete for room. Only small ones end
 * within an input, and an end is what the checks of callers' answers need.
 */
static void choose_shape(job_t *entry, uint8_t kind)
{
	bool small = kind >= FIRST_SMALL && kind <= LAST_SMALL;

	entry->step_count = small && kind % 2 == 0 ? 1 : STEPS;
	entry->task_count = small ? 1 : TASKS;
	if (kind >= FIRST_CRASHING && kind <= LAST_CRASHING)
		entry->crash_delay_ms = kind % 2 == 0 ? 10 : 250;
	entry->crashes_unanswered = kind >= FIRST_CRASHING_UNANSWERED &&
				    kind <= LAST_CRASHING_UNANSWERED;
}

static void submit(uint8_t kind)
{
	holder_t *holder = &world.holder;
	job_t *entry = &world.jobs[world.job_count];
	wwh_job_t *job;

	if (world.job_count == JOBS_MAX)
		return;
	memset(entry, 0, sizeof(*entry));
	choose_shape(entry, kind);
	job = wwh_job_new(entry->step_count);
	snprintf(entry->id, sizeof(entry->id), "%016x",
		 (unsigned)world.job_count + 1);
	entry->submitted = true;
	entry->first_holder = world.holder_count;
	g_strlcpy(job->id, entry->id, sizeof(job->id));
	job->queue.name = g_strdup("q");
	job->queue.pool = g_strdup(POOL);
	job->queue.max_attempts = MAX_ATTEMPTS;
	job->queue.stretch_permille = 1600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = world.now_ms;
	for (int32_t i = 0; i < entry->step_count; i++) {
		job->steps[i].task_count = entry->task_count;
		job->steps[i].need.cpu_millicores = 1000;
		job->steps[i].estimate_ms = 500;
		job->steps[i].max_per_upstream = kind % 3;
	}
	if (entry->step_count > 1) {
		job->steps[1].after = g_new0(int32_t, 1);
		job->steps[1].after_count = 1;
	}
	world.job_count++;
	(void)wwh_scheduler_submit(holder->scheduler, job, world.now_ms,
				   &entry->submit_record);
}

static void cancel(uint8_t which)
{
	job_t *job;
	int64_t record;

	if (world.job_count == 0)
		return;
	job = &world.jobs[which % world.job_count];
	if (wwh_scheduler_cancel(world.holder.scheduler, job->id, world.now_ms,
				 &record))
		job->cancel_sent = true;
}

static void drop_record(int64_t number)
{
	GQueue *pending = world.holder.pending;

	for (GList *at = pending->head; at != NULL; at = at->next) {
		record_t *record = at->data;

		if (record->number != number)
			continue;
		record_free(record);
		g_queue_delete_link(pending, at);
		return;
	}
	assert(false);
}

/* The caller is told that its job isn't accepted: it must never start. */
static void take_back(uint8_t which)
{
	holder_t *holder = &world.holder;
	job_t *job;

	if (world.job_count == 0)
		return;
	job = &world.jobs[which % world.job_count];
	if (job->submit_record <= holder->sent_upto ||
	    !wwh_scheduler_job_is_discardable(holder->scheduler, job->id))
		return;
	drop_record(job->submit_record);
	wwh_scheduler_discard_job(holder->scheduler, job->id);
	job->submit_record = 0;
	job->submitted = false;
}

static bool all_done(const job_t *job)
{
	for (int32_t i = 0; i < job->step_count; i++) {
		for (int32_t k = 0; k < job->task_count; k++) {
			if (!job->tasks[i][k].done)
				return false;
		}
	}
	return true;
}

static void check_shown(void)
{
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];
		wwh_job_progress_t shown = wwh_scheduler_job_state(
			world.holder.scheduler, job->id);

		assert(!job->accepted || shown != WWH_PROGRESS_UNKNOWN);
		assert(!job->shown_completed ||
		       shown == WWH_PROGRESS_COMPLETED);
		job->shown_completed |= shown == WWH_PROGRESS_COMPLETED;
		assert(shown != WWH_PROGRESS_FAILED ||
		       most_failures(job) >= MAX_ATTEMPTS ||
		       most_crashes(job) >= MIN_CRASHES ||
		       most_possible_crashes(job) >= MIN_POSSIBLE_CRASHES);
		assert(shown != WWH_PROGRESS_COMPLETED || all_done(job));
	}
}

static void change_host(uint8_t how)
{
	host_t *host = &world.hosts[how % UPSTREAMS];

	if (how >= SLOW_FROM) {
		host->slow = !host->slow;
		return;
	}
	switch (how / UPSTREAMS % 6) {
	case 0:
		if (host->up)
			crash(host);
		break;
	case 1:
		if (!host->up && how >= RESTARTS_FROM)
			restart(host);
		else if (!host->up)
			begin_incarnation(host);
		break;
	case 2:
		host->cut = !host->cut;
		break;
	case 3:
		host->hangs = !host->hangs;
		break;
	case 4:
		host->leaving = !host->leaving;
		announce(&world.holder, host);
		break;
	default:
		host->announced = !host->announced;
		if (!host->announced)
			wwh_scheduler_upstream_withdrawn(
				world.holder.scheduler, host->id, world.now_ms);
		else if (host->up)
			announce(&world.holder, host);
		break;
	}
}

/* All lives of this moment: a host that is cut off runs on and is listed. */
static void fill_list(void)
{
	g_hash_table_remove_all(world.lives);
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		if (world.hosts[i].up)
			g_hash_table_add(world.lives,
					 g_strdup(world.hosts[i].id));
	}
}

static void ask_for_list(void)
{
	world.list_holder = world.holder.number;
	wwh_scheduler_incarnations_requested(world.holder.scheduler);
	fill_list();
}

/* One that a holder before has asked for is read by nobody. */
static void read_list(void)
{
	if (world.list_holder == world.holder.number)
		wwh_scheduler_incarnations_listed(world.holder.scheduler,
						  world.lives, false,
						  world.now_ms);
	world.list_holder = 0;
}

static void step(void)
{
	uint8_t event = next();
	uint8_t how = next();

	if (world.holder.number == 0)
		take_over();
	switch (event % 16) {
	case 0:
	case 1:
		submit(how);
		break;
	case 2:
		if (how % 4 == 0)
			cancel(how / 4);
		else if (how % 4 == 1 && !g_queue_is_empty(world.answers))
			give_answer(g_queue_pop_head(world.answers));
		else if (how % 4 == 2)
			take_back(how / 4);
		break;
	case 3:
		change_host(how);
		break;
	case 4:
		if (how % 8 == 0)
			take_over();
		else if (how % 8 == 2)
			ask_for_list();
		else if (how % 8 == 3)
			read_list();
		else if (how % 8 == 6)
			fill_list();
		break;
	case 5:
	case 6:
		append(how % 8 != 0, how % 8 != 1);
		break;
	case 7:
		world.now_ms += how * 20;
		break;
	default:
		handle_order(how, SLOW_EVENTS >> event / 16 & 1);
		break;
	}
	world.now_ms += 10;
	expire_answers();
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		host_t *host = &world.hosts[i];

		settle_host(host);
		if (!host->up && host->back_ms != 0 &&
		    world.now_ms >= host->back_ms) {
			host->back_ms = 0;
			begin_incarnation(host);
		}
	}
	if (world.holder.number == 0)
		return;
	wwh_scheduler_run(world.holder.scheduler, world.now_ms, world.now_ms);
	wwh_scheduler_check(world.holder.scheduler);
	check_shown();
}

static void set_up(const uint8_t *data, size_t size)
{
	memset(&world, 0, sizeof(world));
	world.data = data;
	world.size = MIN(size, (size_t)INPUT_MAX);
	world.now_ms = 100000;
	world.store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	world.orders = g_queue_new();
	world.answers = g_queue_new();
	world.lives =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		host_t *host = &world.hosts[i];

		host->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
		host->ends = g_array_new(FALSE, FALSE, sizeof(end_t));
		host->refused = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
		host->clock_offset_ms = 5000 * i;
		host->clock_permille = 980 + next() % 21;
		begin_incarnation(host);
	}
	take_over();
}

static void tear_down(void)
{
	drop_holder(&world.holder);
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		g_array_free(world.hosts[i].runs, TRUE);
		g_array_free(world.hosts[i].ends, TRUE);
		g_hash_table_destroy(world.hosts[i].refused);
	}
	g_hash_table_destroy(world.store);
	g_hash_table_destroy(world.lives);
	g_queue_free_full(world.orders, g_free);
	g_queue_free_full(world.answers, answer_free);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	set_up(data, size);
	while (world.size > 0)
		step();
	tear_down();
	return 0;
}
