/*
 * fuzz_scheduler - holders of a shard against a world that knows the truth.
 * The input says what happens next: jobs come and are cancelled, orders are
 * carried out, refused, lost, carried out or answered late, upstreams crash,
 * start again under their id or another, are cut off, hang or leave, appends fail
 * or get no answer, or all start anew from the store. A holder is overtaken, and its
 * orders go on for a moment, or it goes on for many seconds beside its successor,
 * each with links of its own to upstreams and to the store. Lists of what hosts
 * run are asked for, are true at some moment from then on, and are read later
 * still.
 *
 * Checked where an upstream begins a run:
 *  - no other run of the task goes on at an upstream that is up;
 *  - the task wasn't done by an end that was acknowledged;
 *  - all tasks of the steps before it are done;
 *  - fewer failed ends than the queue allows were acknowledged;
 *  - the job was handed in, with this payload, and its cancel isn't known;
 * where an end as done is acknowledged, and the lease hasn't lapsed since: no run of
 * the task has begun since;
 * and when a holder is asked: a job is shown as completed only when each of
 * its tasks is done, and ever after; as failed only when a task has failed as
 * often as the queue allows, or two upstreams have crashed under it; and an
 * accepted one is never unknown. One whose tasks last is never shown as either. A
 * task that ends and crashes its upstreams is started five times at most, as often again for each holder that lives on beside its
 * successor, twice more for each change of holder and once for each start whose
 * answer was lost or whose crash a cut link hid.
 */

#include "scheduler_partition.h"

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

/* Kinds of jobs whose tasks last, beside what else they are; none here. */
#ifndef FIRST_LASTING
#define FIRST_LASTING 256
#define LAST_LASTING 256
#endif

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint8_t next(void)
{
	if (world.size == 0)
		return 0;
	world.size--;
	return *world.data++;
}

/* Overtaken holders hear of nothing new by themselves. */
static void tell_registered(const host_t *host)
{
	if (world.holder->number != 0 && reaches_store(world.holder))
		announce(world.holder, host);
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
	tell_registered(host);
}

/* The upstream starts again under its id; its clock begins anew, too. */
static void restart(host_t *host)
{
	begin_life(host);
	host->clock_offset_ms = -world.now_ms * host->clock_permille / 1000;
	tell_registered(host);
}

static bool lasts(int32_t kind)
{
	return kind >= FIRST_LASTING && kind <= LAST_LASTING;
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
	entry->lasts = lasts(kind);
	if (entry->lasts)
		entry->step_count = 1;
}

static void submit(uint8_t kind)
{
	holder_t *holder = world.holder;
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
		job->steps[i].lasting = entry->lasts;
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
	if (wwh_scheduler_cancel(world.holder->scheduler, job->id, world.now_ms,
				 &record))
		job->cancel_sent = true;
}

static void drop_record(int64_t number)
{
	GQueue *pending = world.holder->pending;

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
	holder_t *holder = world.holder;
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

/* What was accepted and has ended since is unknown to an overtaken holder. */
static void check_shown(const holder_t *holder)
{
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];
		wwh_job_progress_t shown =
			wwh_scheduler_job_state(holder->scheduler, job->id);

		assert(!job->accepted || shown != WWH_PROGRESS_UNKNOWN ||
		       holder->overtaken);
		assert(!job->shown_completed ||
		       shown == WWH_PROGRESS_COMPLETED || holder->overtaken);
		job->shown_completed |= shown == WWH_PROGRESS_COMPLETED;
		assert(!job->lasts || (shown != WWH_PROGRESS_FAILED &&
				       shown != WWH_PROGRESS_COMPLETED));
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
		tell_registered(host);
		break;
	default:
		host->announced = !host->announced;
		if (!host->announced && reaches_store(world.holder))
			wwh_scheduler_upstream_withdrawn(
				world.holder->scheduler, host->id,
				world.now_ms);
		else if (host->announced && host->up)
			tell_registered(host);
		break;
	}
}

static void run_holder(holder_t *holder)
{
	if (is_frozen(holder))
		return;
	if (world.tracks_claims)
		wwh_scheduler_set_confirmed(holder->scheduler,
					    holder->confirmed_ms);
	if (may_order(holder))
		wwh_scheduler_run(holder->scheduler, world.now_ms,
				  world.now_ms);
	wwh_scheduler_check(holder->scheduler);
	check_shown(holder);
}

static void pass(int64_t ms)
{
	world.now_ms += ms;
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
	for (int32_t i = 0; i < HOLDERS_MAX; i++) {
		if (world.holders[i].number != 0)
			run_holder(&world.holders[i]);
	}
}

static void step(void)
{
	uint8_t event = next();
	uint8_t how = next();

	if (world.holder->number == 0)
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
		if (how % 8 == 0 && !world.store_away)
			take_over();
		else if (how % 8 == 2)
			ask_for_list(world.holder);
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
		stand_still(how * 20);
		break;
	case PARTITION_EVENT:
		change_partition(event / 16, how);
		break;
	default:
		handle_order(how, SLOW_EVENTS >> event / 16 & 1);
		break;
	}
	pass(10);
}

static void set_up(const uint8_t *data, size_t size)
{
	memset(&world, 0, sizeof(world));
	world.data = data;
	world.size = MIN(size, (size_t)INPUT_MAX);
	world.now_ms = 100000;
	world.holder = &world.holders[0];
	world.tracks_claims = has_partition_event();
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
	for (int32_t i = 0; i < HOLDERS_MAX; i++)
		drop_holder(&world.holders[i]);
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
