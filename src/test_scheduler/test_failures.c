#include "test_scheduler.h"

#define LASTING_JOBS 8
#define TASKS_EACH 5
#define UPSTREAMS 4
#define STEP_MS 50
#define FAILURE_EACH_MS 1500

/* Lasting tasks on simulated upstreams, which fail by their own fault at times. */
typedef struct {
	sched_fixture_t *fixture;
	GHashTable
		*runs; /* name of a task to its run's sched_fixture_order_t */
	GHashTable *begun; /* name of a task to when it began, or ended */
	int64_t ends[UPSTREAMS]; /* number of the last one */
	guint next; /* the first start that isn't carried out */
	int64_t longest_away_ms;
} lasting_t;

static int64_t since_ms(const lasting_t *lasting, const char *task)
{
	return lasting->fixture->now_ms -
	       (int64_t)GPOINTER_TO_SIZE(
		       g_hash_table_lookup(lasting->begun, task));
}

static void note_time(lasting_t *lasting, const char *task)
{
	g_hash_table_replace(lasting->begun, g_strdup(task),
			     GSIZE_TO_POINTER((gsize)lasting->fixture->now_ms));
}

static void carry_out_starts(lasting_t *lasting)
{
	sched_fixture_t *fixture = lasting->fixture;

	for (; lasting->next < fixture->starts->len; lasting->next++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, lasting->next);

		if (g_hash_table_contains(lasting->begun, order->task))
			lasting->longest_away_ms =
				MAX(lasting->longest_away_ms,
				    since_ms(lasting, order->task));
		note_time(lasting, order->task);
		g_hash_table_replace(lasting->runs, g_strdup(order->task),
				     g_memdup2(order, sizeof(*order)));
		sched_fixture_handle_start_result(fixture, order,
						  WWH_ORDER_DONE);
	}
}

/* Lists what runs at an upstream, and the end of task if it isn't NULL. */
static void answer(lasting_t *lasting, int32_t number, const char *task)
{
	sched_fixture_t *fixture = lasting->fixture;
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(wwh_running_task_t));
	wwh_ended_task_t ended = { 0 };
	char id[8];
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_snprintf(id, sizeof(id), "u%d", number + 1);
	if (task != NULL) {
		ended = sched_fixture_ended_row(
			g_hash_table_lookup(lasting->runs, task),
			++lasting->ends[number], WWH_END_FAILED);
		note_time(lasting, ended.task);
		g_hash_table_remove(lasting->runs, ended.task);
	}
	g_hash_table_iter_init(&iterator, lasting->runs);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		const sched_fixture_order_t *order = value;
		wwh_running_task_t row = sched_fixture_running_row(order, 100);

		if (strcmp(order->upstream, id) == 0)
			g_array_append_val(rows, row);
	}
	sched_fixture_answer_poll(
		fixture, id,
		(const wwh_running_task_t *)(const void *)rows->data,
		(int32_t)rows->len, &ended, task != NULL);
	g_array_free(rows, TRUE);
}

static bool polls(const sched_fixture_t *fixture, const char *id)
{
	for (guint i = 0; i < fixture->polls->len; i++) {
		if (strcmp(g_array_index(fixture->polls, sched_fixture_poll_t,
					 i)
				   .upstream,
			   id) == 0)
			return true;
	}
	return false;
}

/* Returns the task at an upstream that has run for longest and for least_ms. */
static const char *oldest_task(const lasting_t *lasting, int64_t least_ms)
{
	const char *oldest = NULL;
	GHashTableIter iterator;
	gpointer key;

	g_hash_table_iter_init(&iterator, lasting->runs);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		int64_t age_ms = since_ms(lasting, key);

		if (age_ms >= least_ms &&
		    (oldest == NULL || age_ms > since_ms(lasting, oldest)))
			oldest = key;
	}
	return oldest;
}

/* One task fails each FAILURE_EACH_MS, after least_ms of work. */
static void run_lasting(lasting_t *lasting, int64_t run_ms, int64_t least_ms)
{
	sched_fixture_t *fixture = lasting->fixture;
	int64_t next_failure_ms = fixture->now_ms + FAILURE_EACH_MS;

	for (int64_t end_ms = fixture->now_ms + run_ms;
	     fixture->now_ms < end_ms;) {
		const char *oldest = oldest_task(lasting, least_ms);
		char *fails = fixture->now_ms >= next_failure_ms
				      ? g_strdup(oldest)
				      : NULL;

		for (int32_t i = 0; i < UPSTREAMS; i++) {
			char id[8];
			const sched_fixture_order_t *run =
				fails == NULL ? NULL
					      : g_hash_table_lookup(
							lasting->runs, fails);
			bool here;

			g_snprintf(id, sizeof(id), "u%d", i + 1);
			here = run != NULL && strcmp(run->upstream, id) == 0;
			if (!polls(fixture, id))
				continue;
			answer(lasting, i, here ? fails : NULL);
			if (here)
				next_failure_ms =
					fixture->now_ms + FAILURE_EACH_MS;
		}
		g_free(fails);
		sched_fixture_make_durable(fixture);
		sched_fixture_run(fixture, STEP_MS);
		carry_out_starts(lasting);
		g_string_truncate(fixture->events, 0);
	}
}

static void set_up_lasting(lasting_t *lasting, sched_fixture_t *fixture)
{
	*lasting = (lasting_t){
		.fixture = fixture,
		.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free),
		.begun = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL),
	};
	sched_fixture_add_upstream(fixture, "u4", "10.0.0.4:1");
	for (int32_t i = 0; i < LASTING_JOBS; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		wwh_job_t *job;

		g_snprintf(id, sizeof(id), "%016x", i);
		job = sched_fixture_job(id, TASKS_EACH, 200);
		job->steps[0].lasting = true;
		sched_fixture_submit(fixture, job);
	}
}

static void tear_down_lasting(lasting_t *lasting)
{
	g_hash_table_destroy(lasting->runs);
	g_hash_table_destroy(lasting->begun);
}

/*
 * Guards against tasks that wait for up to 36 s with nearly all upstreams free, as
 * tasks that last fail once a minute each and none of them ever ends as done. Also
 * where they fail within 2 s of their start.
 */
void lasting_tasks_that_fail_are_back_soon(void **state)
{
	static const int64_t least_ms[] = { 5000, 2000, 0 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(least_ms); i++) {
		void *fixture = NULL;
		lasting_t lasting;

		fixture_with_3(&fixture);
		set_up_lasting(&lasting, fixture);
		run_lasting(&lasting, 120000, least_ms[i]);
		assert_true(lasting.next > LASTING_JOBS * TASKS_EACH + 60);
		assert_true(lasting.longest_away_ms < 3000);
		tear_down_lasting(&lasting);
		fixture_tear_down(&fixture);
	}
}
