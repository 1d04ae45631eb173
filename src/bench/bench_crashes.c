#include <stdio.h>

#include "../test_scheduler/sched_fixture.h"

/*
 * A pool in which some tasks crash each upstream that starts them, and in which
 * upstreams also crash by themselves. Simulates the upstreams of one scheduler
 * on a simulated clock and prints, for each row of circumstances, what became of
 * the other jobs, summed over a few fixed seeds. No argument.
 */

#define HOSTS 14
#define HOSTS_A_RACK 4
#define HOST_MILLICORES 32000
#define TASKS_A_JOB 6
#define TASK_MILLICORES 2300
#define TASK_MS 800
#define TRAFFIC_MS 60000
#define DRAIN_MS 14000
#define TICK_MS 5
#define NETWORK_MS 3
#define START_TIMEOUT_MS 1000
#define DOWN_MS 3000
#define HOST_LIST_MS 500
#define FLUSH_MS 40
#define APPEND_MS 15
#define OBJECTIVE_MS 1900
#define LATE_FACTOR 3
#define MAX_JOBS 8192
#define SEEDS 3
#define CRASHES_BEFORE_LIMIT 3

typedef struct {
	int32_t jobs_per_s;
	int32_t marked_percent; /* jobs with a task that crashes its host */
	int32_t crash_delay_ms; /* from the start; 0: before it is answered */
	int32_t crashes_per_min; /* of hosts, by themselves */
	int32_t takeover_ms; /* time between changes of holder; 0: none */
	int32_t rack_ms; /* time between crashes of a whole rack; 0: none */
	int32_t lost_percent; /* starts that get no answer */
	bool dark; /* no connection is reset by a crash */
} circumstances_t;

static const circumstances_t rows[] = {
	{ 8, 0, 10, 0, 0, 0, 0, false },
	{ 25, 0, 10, 0, 0, 0, 0, false },
	{ 8, 10, 10, 0, 0, 0, 0, false },
	{ 16, 5, 10, 0, 0, 0, 0, false },
	{ 25, 5, 10, 0, 0, 0, 0, false },
	{ 25, 10, 10, 0, 0, 0, 0, false },
	{ 25, 10, 300, 0, 0, 0, 0, false },
	{ 25, 0, 10, 60, 0, 0, 0, false },
	{ 16, 5, 10, 20, 0, 0, 0, false },
	{ 25, 5, 10, 60, 0, 0, 0, false },
	{ 25, 10, 10, 0, 5000, 0, 0, false },
	{ 25, 10, 10, 60, 5000, 0, 0, false },
	{ 16, 0, 10, 0, 0, 10000, 0, false },
	{ 25, 0, 10, 0, 0, 10000, 0, false },
	{ 16, 5, 10, 0, 0, 10000, 0, false },
	{ 8, 10, 0, 0, 0, 0, 0, false },
	{ 16, 5, 0, 0, 0, 0, 0, false },
	{ 25, 5, 0, 0, 0, 0, 0, false },
	{ 16, 5, 0, 20, 0, 0, 0, false },
	{ 25, 5, 0, 60, 0, 0, 0, false },
	{ 25, 10, 0, 0, 5000, 0, 0, false },
	{ 16, 5, 0, 0, 0, 10000, 0, false },
	{ 16, 5, 0, 20, 0, 0, 5, true },
	{ 25, 0, 0, 60, 0, 0, 0, true },
	{ 25, 0, 0, 60, 0, 0, 5, true },
	{ 25, 0, 0, 0, 0, 10000, 0, true },
	{ 16, 0, 0, 20, 0, 10000, 5, true },
};

typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int64_t end_ms;
	int64_t crash_ms; /* INT64_MAX: it doesn't crash its host */
} run_t;

typedef struct {
	char id[32];
	char endpoint[32];
	int32_t incarnation;
	bool up;
	bool reported_down;
	int64_t back_ms;
	GArray *runs; /* run_t */
	GArray *ends; /* wwh_ended_task_t */
	int64_t last_end;
	int64_t fails_ms; /* when its open connections fail; 0: they don't */
} host_t;

typedef struct {
	sched_fixture_order_t order;
	int64_t due_ms;
	bool delivered;
	wwh_order_result_t result;
} start_t;

typedef struct {
	int64_t submitted_ms;
	int64_t ended_ms; /* 0: it hasn't */
	wwh_job_progress_t state;
	int32_t marked_task; /* -1: none */
	int32_t crashes;
	int32_t starts_after_limit;
} job_entry_t;

typedef struct {
	const circumstances_t *row;
	sched_fixture_t *fixture;
	GRand *random;
	host_t hosts[HOSTS];
	job_entry_t jobs[MAX_JOBS];
	int32_t job_count;
	GArray *starts; /* start_t */
	int64_t began_ms;
	int32_t crashes;
	int64_t durable_due_ms;
	int64_t durable_record;
} sim_t;

/* What became of the jobs of a row, over all seeds. */
typedef struct {
	int32_t crashes;
	int32_t others; /* jobs without a marked task */
	int32_t in_time;
	int32_t late;
	int32_t failed; /* of the others */
	int32_t marked;
	int32_t given_up; /* of the marked */
	/* The most starts of one task after its third crash. */
	int32_t starts_after_limit;
} totals_t;

static int32_t job_number(const char *task)
{
	return (int32_t)g_ascii_strtoll(task, NULL, 16) - 1;
}

static bool is_marked(const sim_t *sim, const char *task)
{
	const job_entry_t *job = &sim->jobs[job_number(task)];
	const char *index = strrchr(task, '.') + 1;

	return job->marked_task == (int32_t)g_ascii_strtoll(index, NULL, 10);
}

static host_t *find_host(sim_t *sim, const char *id)
{
	for (int32_t i = 0; i < HOSTS; i++) {
		if (strcmp(sim->hosts[i].id, id) == 0)
			return &sim->hosts[i];
	}
	return NULL;
}

static void announce(sim_t *sim, const host_t *host)
{
	char *labels[] = { NULL };
	wwh_upstream_info_t info = {
		.id = (char *)host->id,
		.endpoint = (char *)host->endpoint,
		.pool = SCHED_FIXTURE_POOL,
		.zone = "zone",
		.rack = "rack",
		.labels = labels,
		.size = { HOST_MILLICORES, 64000, 0 },
	};

	if (host->up)
		wwh_scheduler_upstream_announced(sim->fixture->scheduler, &info,
						 sim->fixture->now_ms);
}

static void boot(sim_t *sim, host_t *host)
{
	host->incarnation++;
	snprintf(host->id, sizeof(host->id), "u%d-%d", (int)(host - sim->hosts),
		 host->incarnation);
	host->up = true;
	host->reported_down = false;
	host->last_end = 0;
	announce(sim, host);
}

static void crash(sim_t *sim, host_t *host)
{
	for (guint i = 0; i < host->runs->len; i++) {
		const run_t *run = &g_array_index(host->runs, run_t, i);

		if (is_marked(sim, run->task))
			sim->jobs[job_number(run->task)].crashes++;
	}
	g_array_set_size(host->runs, 0);
	g_array_set_size(host->ends, 0);
	host->up = false;
	host->back_ms = sim->fixture->now_ms + DOWN_MS;
	host->fails_ms = sim->row->dark ? 0 : sim->fixture->now_ms + NETWORK_MS;
	sim->crashes++;
}

static void begin_run(sim_t *sim, host_t *host, start_t *start)
{
	run_t run = { .run = start->order.run,
		      .end_ms = sim->fixture->now_ms + TASK_MS,
		      .crash_ms = INT64_MAX };
	job_entry_t *job = &sim->jobs[job_number(start->order.task)];

	g_strlcpy(run.task, start->order.task, sizeof(run.task));
	if (is_marked(sim, run.task)) {
		run.crash_ms = sim->fixture->now_ms + sim->row->crash_delay_ms;
		job->starts_after_limit += job->crashes >= CRASHES_BEFORE_LIMIT;
	}
	g_array_append_val(host->runs, run);
}

static void carry_out(sim_t *sim, host_t *host, start_t *start)
{
	int64_t now_ms = sim->fixture->now_ms;

	begin_run(sim, host, start);
	if (is_marked(sim, start->order.task) &&
	    sim->row->crash_delay_ms == 0) {
		crash(sim, host);
		if (!sim->row->dark)
			start->due_ms = now_ms + NETWORK_MS;
		return;
	}
	if (g_rand_int_range(sim->random, 0, 100) < sim->row->lost_percent)
		return;
	start->result = WWH_ORDER_DONE;
	start->due_ms = now_ms + NETWORK_MS;
}

static void deliver_starts(sim_t *sim)
{
	int64_t now_ms = sim->fixture->now_ms;

	for (guint i = 0; i < sim->starts->len;) {
		start_t *start = &g_array_index(sim->starts, start_t, i);
		host_t *host = find_host(sim, start->order.upstream);

		if (start->due_ms > now_ms) {
			i++;
			continue;
		}
		if (start->delivered) {
			sched_fixture_handle_start_result(
				sim->fixture, &start->order, start->result);
			g_array_remove_index(sim->starts, i);
			continue;
		}
		start->delivered = true;
		start->result = WWH_ORDER_UNKNOWN;
		start->due_ms = now_ms + START_TIMEOUT_MS;
		if (host != NULL && host->up)
			carry_out(sim, host, start);
		i++;
	}
}

static void end_runs(sim_t *sim, host_t *host)
{
	int64_t now_ms = sim->fixture->now_ms;

	for (guint i = 0; i < host->runs->len; i++) {
		if (g_array_index(host->runs, run_t, i).crash_ms <= now_ms) {
			crash(sim, host);
			return;
		}
	}
	for (guint i = 0; i < host->runs->len;) {
		run_t *run = &g_array_index(host->runs, run_t, i);
		wwh_ended_task_t end = { .number = host->last_end + 1,
					 .run = run->run,
					 .kind = WWH_END_DONE,
					 .checkpoint = "" };

		if (run->end_ms > now_ms) {
			i++;
			continue;
		}
		host->last_end++;
		g_strlcpy(end.task, run->task, sizeof(end.task));
		g_array_append_val(host->ends, end);
		g_array_remove_index(host->runs, i);
	}
}

static void answer_poll(sim_t *sim, host_t *host,
			const sched_fixture_poll_t *poll)
{
	GArray *running = g_array_new(FALSE, TRUE, sizeof(wwh_running_task_t));
	wwh_poll_answer_t answer = { .remote_ms = sim->fixture->now_ms,
				     .ended_complete = true };

	while (host->ends->len > 0 &&
	       g_array_index(host->ends, wwh_ended_task_t, 0).number <=
		       poll->acked_upto)
		g_array_remove_index(host->ends, 0);
	for (guint i = 0; i < host->runs->len; i++) {
		const run_t *run = &g_array_index(host->runs, run_t, i);
		wwh_running_task_t row = { .run = run->run, .checkpoint = "" };

		row.percent =
			100 - (int32_t)((run->end_ms - sim->fixture->now_ms) *
					100 / TASK_MS);
		g_strlcpy(row.task, run->task, sizeof(row.task));
		g_array_append_val(running, row);
	}
	answer.running = (wwh_running_task_t *)(void *)running->data;
	answer.running_count = (int32_t)running->len;
	answer.ended = (wwh_ended_task_t *)(void *)host->ends->data;
	answer.ended_count = (int32_t)host->ends->len;
	wwh_scheduler_handle_poll_answer(sim->fixture->scheduler, host->id,
					 &answer, poll->sent_ms,
					 sim->fixture->now_ms);
	g_array_free(running, TRUE);
}

/* Returns whether the poll is over. */
static bool handle_poll(sim_t *sim, const sched_fixture_poll_t *poll)
{
	int64_t age_ms = sim->fixture->now_ms - poll->sent_ms;
	host_t *host = find_host(sim, poll->upstream);
	bool reset = host != NULL && host->fails_ms > poll->sent_ms &&
		     host->fails_ms <= sim->fixture->now_ms;

	if (host == NULL || (!host->up && reset) ||
	    age_ms >= poll->wait_ms + poll->timeout_ms) {
		wwh_scheduler_handle_poll_failure(
			sim->fixture->scheduler, poll->upstream,
			WWH_REACH_SILENT, sim->fixture->now_ms);
		return true;
	}
	if (!host->up || age_ms < NETWORK_MS ||
	    (age_ms < poll->wait_ms && host->last_end <= poll->acked_upto))
		return false;
	answer_poll(sim, host, poll);
	return true;
}

static void handle_polls(sim_t *sim)
{
	GArray *polls = sim->fixture->polls;

	for (guint i = 0; i < polls->len;) {
		sched_fixture_poll_t poll =
			g_array_index(polls, sched_fixture_poll_t, i);

		g_array_remove_index(polls, i);
		if (!handle_poll(sim, &poll)) {
			g_array_insert_val(polls, i, poll);
			i++;
		}
	}
}

static void list_hosts(sim_t *sim)
{
	if (sim->fixture->now_ms % HOST_LIST_MS != 0)
		return;
	for (int32_t i = 0; i < HOSTS; i++) {
		host_t *host = &sim->hosts[i];

		if (host->up || host->reported_down)
			continue;
		host->reported_down = true;
		wwh_scheduler_upstream_terminated(
			sim->fixture->scheduler, host->id,
			WWH_TERMINATION_CRASH, "down", sim->fixture->now_ms);
		wwh_scheduler_upstream_withdrawn(sim->fixture->scheduler,
						 host->id,
						 sim->fixture->now_ms);
	}
}

static void submit(sim_t *sim)
{
	job_entry_t *entry = &sim->jobs[sim->job_count];
	char id[WWH_JOB_ID_CHARS + 1];
	wwh_job_t *job;
	int64_t record;

	if (sim->job_count == MAX_JOBS ||
	    g_rand_int_range(sim->random, 0, 1000) >=
		    sim->row->jobs_per_s * TICK_MS)
		return;
	sim->job_count++;
	snprintf(id, sizeof(id), "%016x", (unsigned)sim->job_count);
	job = sched_fixture_job(id, TASKS_A_JOB, TASK_MILLICORES);
	job->steps[0].estimate_ms = TASK_MS;
	entry->submitted_ms = sim->fixture->now_ms;
	entry->marked_task = -1;
	if (g_rand_int_range(sim->random, 0, 100) < sim->row->marked_percent)
		entry->marked_task =
			g_rand_int_range(sim->random, 0, TASKS_A_JOB);
	(void)wwh_scheduler_submit(sim->fixture->scheduler, job,
				   sim->fixture->now_ms, &record);
}

static void note_ends(sim_t *sim)
{
	for (int32_t i = 0; i < sim->job_count; i++) {
		job_entry_t *entry = &sim->jobs[i];
		char id[WWH_JOB_ID_CHARS + 1];

		if (entry->ended_ms != 0)
			continue;
		snprintf(id, sizeof(id), "%016x", (unsigned)i + 1);
		entry->state =
			wwh_scheduler_job_state(sim->fixture->scheduler, id);
		if (entry->state == WWH_PROGRESS_COMPLETED ||
		    entry->state == WWH_PROGRESS_FAILED)
			entry->ended_ms = sim->fixture->now_ms;
	}
}

static void store(sim_t *sim)
{
	sched_fixture_t *fixture = sim->fixture;

	if (sim->durable_due_ms != 0 &&
	    fixture->now_ms >= sim->durable_due_ms) {
		wwh_scheduler_set_durable(fixture->scheduler,
					  sim->durable_record);
		sim->durable_due_ms = 0;
	}
	if (sim->durable_due_ms != 0 || fixture->now_ms % FLUSH_MS != 0)
		return;
	(void)wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
	sim->durable_record = fixture->record;
	sim->durable_due_ms = fixture->now_ms + APPEND_MS;
}

/* The fixture keeps no record apart that isn't durable yet. */
static void change_holder(sim_t *sim)
{
	int64_t age_ms = sim->fixture->now_ms - sim->began_ms;

	if (sim->row->takeover_ms == 0 || age_ms == 0 ||
	    age_ms % sim->row->takeover_ms != 0)
		return;
	sched_fixture_make_durable(sim->fixture);
	sched_fixture_take_over(sim->fixture);
	sim->durable_due_ms = 0;
	for (int32_t i = 0; i < HOSTS; i++) {
		sim->hosts[i].reported_down = false;
		announce(sim, &sim->hosts[i]);
	}
}

static void crash_rack(sim_t *sim)
{
	int64_t age_ms = sim->fixture->now_ms - sim->began_ms;

	if (sim->row->rack_ms == 0 || age_ms % sim->row->rack_ms != 0)
		return;
	for (int32_t i = 0; i < HOSTS_A_RACK; i++) {
		if (sim->hosts[i].up)
			crash(sim, &sim->hosts[i]);
	}
}

static void queue_starts(sim_t *sim)
{
	GArray *orders = sim->fixture->starts;

	for (guint i = 0; i < orders->len; i++) {
		start_t start = {
			.order =
				g_array_index(orders, sched_fixture_order_t, i),
			.due_ms = sim->fixture->now_ms + NETWORK_MS,
		};

		g_array_append_val(sim->starts, start);
	}
	g_array_set_size(orders, 0);
	/* this simulation confirms each stop at once */
	for (guint i = 0; i < sim->fixture->stops->len; i++) {
		const sched_fixture_order_t *stop = &g_array_index(
			sim->fixture->stops, sched_fixture_order_t, i);
		host_t *host = find_host(sim, stop->upstream);

		for (guint k = 0; host != NULL && k < host->runs->len; k++) {
			const run_t *run = &g_array_index(host->runs, run_t, k);

			if (strcmp(run->task, stop->task) != 0)
				continue;
			g_array_remove_index(host->runs, k);
			break;
		}
		wwh_scheduler_handle_stop_result(
			sim->fixture->scheduler, stop->upstream, stop->task,
			stop->run,
			host == NULL ? WWH_ORDER_UNKNOWN : WWH_ORDER_DONE,
			sim->fixture->now_ms);
	}
	g_array_set_size(sim->fixture->stops, 0);
}

static void tick(sim_t *sim, bool traffic)
{
	sim->fixture->now_ms += TICK_MS;
	change_holder(sim);
	deliver_starts(sim);
	for (int32_t i = 0; i < HOSTS; i++) {
		host_t *host = &sim->hosts[i];

		if (!host->up && sim->fixture->now_ms >= host->back_ms)
			boot(sim, host);
		end_runs(sim, host);
		if (host->up &&
		    g_rand_int_range(sim->random, 0, 60000 * HOSTS) <
			    sim->row->crashes_per_min * TICK_MS)
			crash(sim, host);
	}
	crash_rack(sim);
	handle_polls(sim);
	list_hosts(sim);
	if (traffic)
		submit(sim);
	store(sim);
	wwh_scheduler_run(sim->fixture->scheduler, sim->fixture->now_ms,
			  SCHED_FIXTURE_WALL_MS + sim->fixture->now_ms -
				  100000);
	queue_starts(sim);
	note_ends(sim);
}

static void add_jobs(const sim_t *sim, totals_t *totals)
{
	totals->crashes += sim->crashes;
	for (int32_t i = 0; i < sim->job_count; i++) {
		const job_entry_t *job = &sim->jobs[i];
		int64_t took_ms = job->ended_ms - job->submitted_ms;
		bool done = job->state == WWH_PROGRESS_COMPLETED;
		bool failed = job->state == WWH_PROGRESS_FAILED;

		if (job->marked_task >= 0) {
			totals->marked++;
			totals->given_up += failed;
			totals->starts_after_limit =
				MAX(totals->starts_after_limit,
				    job->starts_after_limit);
			continue;
		}
		totals->others++;
		totals->failed += failed;
		totals->in_time += done && took_ms <= OBJECTIVE_MS;
		totals->late += done && took_ms > OBJECTIVE_MS &&
				took_ms <= OBJECTIVE_MS * LATE_FACTOR;
	}
}

static void print_row(const circumstances_t *row, const totals_t *totals)
{
	printf("%6d %8d %8d %7d %8d %8d %6d %4d %8d %7.3f %6.3f %7d %9d/%-5d "
	       "%6d\n",
	       row->jobs_per_s, row->marked_percent, row->crash_delay_ms,
	       row->crashes_per_min, row->takeover_ms, row->rack_ms,
	       row->lost_percent, row->dark, totals->crashes,
	       (double)totals->in_time / MAX(totals->others, 1),
	       (double)totals->late / MAX(totals->others, 1), totals->failed,
	       totals->given_up, totals->marked, totals->starts_after_limit);
}

static void run_once(const circumstances_t *row, uint32_t seed,
		     totals_t *totals)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->row = row;
	sim->fixture = sched_fixture_new();
	sim->random = g_rand_new_with_seed(seed);
	sim->starts = g_array_new(FALSE, FALSE, sizeof(start_t));
	sim->began_ms = sim->fixture->now_ms;
	for (int32_t i = 0; i < HOSTS; i++) {
		host_t *host = &sim->hosts[i];

		host->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
		host->ends =
			g_array_new(FALSE, FALSE, sizeof(wwh_ended_task_t));
		snprintf(host->endpoint, sizeof(host->endpoint), "10.0.0.%d:1",
			 i + 1);
		boot(sim, host);
	}
	for (int64_t at = 0; at < TRAFFIC_MS + DRAIN_MS; at += TICK_MS)
		tick(sim, at < TRAFFIC_MS);
	add_jobs(sim, totals);
	for (int32_t i = 0; i < HOSTS; i++) {
		g_array_free(sim->hosts[i].runs, TRUE);
		g_array_free(sim->hosts[i].ends, TRUE);
	}
	g_array_free(sim->starts, TRUE);
	g_rand_free(sim->random);
	sched_fixture_delete(sim->fixture);
	g_free(sim);
}

static void run_row(const circumstances_t *row)
{
	totals_t totals = { 0 };

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		run_once(row, seed, &totals);
	print_row(row, &totals);
}

int main(void)
{
	printf("jobs_s marked_%% delay_ms own_min takeover  rack_ms "
	       "lost_%% dark  crashes in_time   late  failed  given_up/of    "
	       "beyond\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		run_row(&rows[i]);
	return 0;
}
