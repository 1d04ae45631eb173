/*
 * Damaged entries in the registry of upstreams: present at the first read,
 * damaged by a later change, repaired by their writer, and removed. Also
 * unreadable job records, and the acceptance of jobs under load.
 */

#include "test_job_holder.h"

#include <fcntl.h>
#include <unistd.h>

#include "waxwinghollow/job_holder.h"

#define WAIT_MAX_MS 15000
#define TASKS 3
#define SMALL_TASKS 10
#define FULL_POOL_JOBS 20
#define JOBS_PER_ITERATION 20
#define LARGE_HOLDER_UPSTREAMS 1001

typedef struct {
	standin_t *standin;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	GHashTable *records;
	wwh_host_settings_t settings;
	wwh_event_log_options_t log;
	wwh_job_holder_options_t options;
	wwh_job_holder_t *holder;
	wwh_job_config_t *config;
	char *valid_entries[STANDIN_UPSTREAMS]; /* as first written */
	int32_t jobs;
	int32_t accepted;
	int32_t refused;
	wwh_job_answer_kind_t last_answer;
} fixture_t;

/* One damaged entry of each kind; put_entry replaces "" by a zero byte. */
static const char *const damaged_entries[] = {
	"",   "\xff\xfe\xfd",	       "{\"service\":\"desk\"",
	"[]", "{\"state\":\"ready\"}", "{\"service\":\"desk\",\"address\":7}",
};

static int64_t read_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

static void on_lost(const char *why, void *client_data)
{
	(void)client_data;
	fail_msg("the holder is lost: %s", why);
}

static void on_answered(const wwh_job_answer_t *answer, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->accepted++;
	assert_int_equal(answer->kind, WWH_JOB_ANSWER_OK);
}

int entries_set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_job_pool_t pool = { .name = g_strdup(STANDIN_POOL) };
	standin_part_t *part;

	fixture->standin = standin_new();
	/* tasks run for longer than any test */
	fixture->standin->task_ms = 60000;
	part = standin_part(fixture->standin, "keyed.servers", "0");
	for (guint i = 0; i < STANDIN_UPSTREAMS; i++) {
		standin_record_t *record = g_ptr_array_index(part->records, i);
		gsize size;
		const char *text = g_bytes_get_data(record->value, &size);

		fixture->valid_entries[i] = g_strndup(text, size);
	}
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->records = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	wwh_host_settings_init(&fixture->settings);
	fixture->settings.name = g_strdup("n");
	fixture->settings.store = g_strdup_printf(
		"127.0.0.1:%d", wwh_listener_port(fixture->standin->store));
	fixture->log.node = "n";
	fixture->log.fd = open("/dev/null", O_WRONLY);
	fixture->log.lines_per_s = 1000;
	fixture->log.bytes_per_s = 1000000;
	fixture->log.now_ms = standin_now_ms;
	fixture->log.wall_ms = read_wall_ms;
	fixture->options = (wwh_job_holder_options_t){
		.settings = &fixture->settings,
		.calls = fixture->calls,
		.counters = fixture->counters,
		.log = wwh_event_log_new(&fixture->log, fixture->counters),
		.topic = "keyed.wwh",
		.producer = "p",
		.epoch = 1 << 16,
		.claim_count = 1,
		.next_sequence = 1,
		.records = fixture->records,
		.clock_ms = standin_now_ms,
		.wall_ms = read_wall_ms(),
		.on_lost = on_lost,
	};
	fixture->config = wwh_job_config_new(1);
	wwh_job_config_add_pool(fixture->config, &pool);
	*state = fixture;
	return 0;
}

int entries_tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_job_holder_delete(fixture->holder);
	wwh_http_calls_delete(fixture->calls);
	wwh_event_log_delete(fixture->options.log);
	wwh_host_settings_clear(&fixture->settings);
	wwh_counters_delete(fixture->counters);
	wwh_job_config_unref(fixture->config);
	g_hash_table_destroy(fixture->records);
	close(fixture->log.fd);
	standin_delete(fixture->standin);
	for (guint i = 0; i < STANDIN_UPSTREAMS; i++)
		g_free(fixture->valid_entries[i]);
	g_free(fixture);
	return 0;
}

static void start_holder(fixture_t *fixture)
{
	fixture->holder = wwh_job_holder_new(&fixture->options);
	wwh_job_holder_set_config(fixture->holder, fixture->config);
}

static void run_for(fixture_t *fixture, int64_t run_ms)
{
	int64_t end_ms = standin_now_ms() + run_ms;

	while (standin_now_ms() < end_ms) {
		wwh_job_holder_run(fixture->holder, standin_now_ms(),
				   read_wall_ms(), false);
		wwh_http_calls_poll(fixture->calls, 10);
	}
}

/* value NULL removes the entry; "" makes it a single zero byte. */
static void put_entry(fixture_t *fixture, const char *id, const char *value)
{
	static const uint8_t one_byte[] = { 0 };

	g_mutex_lock(&fixture->standin->lock);
	if (value != NULL && value[0] == '\0')
		standin_put(fixture->standin, "keyed.servers", "0", id,
			    one_byte, sizeof(one_byte));
	else
		standin_put(fixture->standin, "keyed.servers", "0", id, value,
			    value == NULL ? 0 : strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

static bool dump_contains(fixture_t *fixture, const char *text)
{
	GString *out = g_string_new(NULL);
	bool found;

	wwh_job_holder_dump(fixture->holder, out);
	found = strstr(out->str, text) != NULL;
	g_string_free(out, TRUE);
	return found;
}

static void run_until(fixture_t *fixture, const char *text, bool there)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (dump_contains(fixture, text) != there &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_int_equal(dump_contains(fixture, text), there);
}

static int64_t counter_value(fixture_t *fixture, const char *name)
{
	return wwh_counter_value(wwh_counters_get(fixture->counters, name));
}

/* Runs until all upstreams but u0, whose entries are valid, have answered. */
static void run_until_others_settled(fixture_t *fixture)
{
	run_until(fixture, "upstream u1 pool=desk listed=1 leaving=0 settled=1",
		  true);
	run_until(fixture, "upstream u2 pool=desk listed=1 leaving=0 settled=1",
		  true);
}

/* Returns a job of one step, which the caller may change and submit. */
static wwh_job_t *new_job(fixture_t *fixture, int32_t tasks)
{
	wwh_job_t *job = wwh_job_new(1);

	snprintf(job->id, sizeof(job->id), "%016x", ++fixture->jobs);
	job->queue.name = g_strdup("q");
	job->queue.pool = g_strdup(STANDIN_POOL);
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = read_wall_ms();
	job->steps[0].task_count = tasks;
	job->steps[0].estimate_ms = 1000;
	return job;
}

static void submit_within(fixture_t *fixture, int64_t run_ms)
{
	wwh_job_t *job = new_job(fixture, TASKS);

	job->steps[0].need.cpu_millicores = 800;
	wwh_job_holder_submit(fixture->holder, job, on_answered, fixture);
	run_for(fixture, run_ms);
}

static void submit(fixture_t *fixture)
{
	submit_within(fixture, 800);
}

static guint runs_at(fixture_t *fixture, int32_t upstream)
{
	guint count;

	g_mutex_lock(&fixture->standin->lock);
	count = fixture->standin->upstreams[upstream].runs->len;
	g_mutex_unlock(&fixture->standin->lock);
	return count;
}

static guint all_runs(fixture_t *fixture)
{
	return runs_at(fixture, 0) + runs_at(fixture, 1) + runs_at(fixture, 2);
}

/*
 * One of three entries is unreadable when a holder starts. The other upstreams
 * are used; this one is used once its writer has repaired the entry, until the
 * entry is removed.
 */
void an_upstream_with_an_unreadable_entry_is_not_used(void **state)
{
	fixture_t *fixture = *state;

	put_entry(fixture, "u0", damaged_entries[2]);
	start_holder(fixture);
	run_until_others_settled(fixture);
	submit(fixture);
	assert_int_equal(all_runs(fixture), TASKS);
	assert_int_equal(runs_at(fixture, 0), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(damaged_entries); i++) {
		put_entry(fixture, "u0", damaged_entries[i]);
		run_for(fixture, 200);
		assert_false(dump_contains(fixture, "upstream u0"));
	}
	put_entry(fixture, "u0", fixture->valid_entries[0]);
	run_until(fixture, "upstream u0 pool=desk listed=1 leaving=0 settled=1",
		  true);
	put_entry(fixture, "u0", NULL);
	run_until(fixture, "upstream u0", false);
	assert_int_equal(all_runs(fixture), TASKS);
}

/*
 * Guards against new work for an upstream whose entry has become unreadable.
 * It gets none until its writer has repaired the entry, and its tasks go on
 * meanwhile.
 */
void an_upstream_with_a_damaged_entry_keeps_its_tasks(void **state)
{
	fixture_t *fixture = *state;

	put_entry(fixture, "u1", NULL);
	put_entry(fixture, "u2", NULL);
	start_holder(fixture);
	run_until(fixture, "upstream u0 pool=desk listed=1 leaving=0 settled=1",
		  true);
	submit(fixture);
	assert_int_equal(runs_at(fixture, 0), TASKS);
	for (size_t i = 0; i < G_N_ELEMENTS(damaged_entries); i++) {
		put_entry(fixture, "u0", damaged_entries[i]);
		run_for(fixture, 300);
		assert_true(dump_contains(fixture,
					  "upstream u0 pool=desk listed=1"));
		assert_int_equal(runs_at(fixture, 0), TASKS);
	}
	submit(fixture);
	assert_int_equal(runs_at(fixture, 0), TASKS);
	put_entry(fixture, "u0", fixture->valid_entries[0]);
	run_for(fixture, 800);
	assert_int_equal(runs_at(fixture, 0), TASKS * 2);
	assert_int_equal(fixture->standin->twice, 0);
	put_entry(fixture, "u0", damaged_entries[0]);
	run_for(fixture, 300);
	put_entry(fixture, "u0", NULL);
	run_until(fixture, "upstream u0 pool=desk listed=0", true);
	assert_int_equal(fixture->standin->twice, 0);
}

/*
 * An upstream whose entry names an unconfigured service isn't used until a
 * configuration contains that service.
 */
void an_upstream_of_an_unknown_service_is_not_used(void **state)
{
	fixture_t *fixture = *state;
	wwh_job_config_t *later = wwh_job_config_new(2);
	wwh_job_pool_t pools[] = { { .name = g_strdup(STANDIN_POOL) },
				   { .name = g_strdup("late") } };
	char **halves = g_strsplit(fixture->valid_entries[0], STANDIN_POOL, 2);
	char *entry = g_strjoinv("late", halves);

	put_entry(fixture, "u0", entry);
	start_holder(fixture);
	run_until_others_settled(fixture);
	run_for(fixture, 300);
	assert_false(dump_contains(fixture, "upstream u0"));
	assert_int_equal(counter_value(fixture, "records.unreadable_now"), 1);
	for (size_t i = 0; i < G_N_ELEMENTS(pools); i++)
		wwh_job_config_add_pool(later, &pools[i]);
	wwh_job_holder_set_config(fixture->holder, later);
	assert_int_equal(counter_value(fixture, "records.unreadable_now"), 0);
	run_until(fixture, "upstream u0 pool=late listed=1 leaving=0 settled=1",
		  true);
	wwh_job_config_unref(later);
	g_strfreev(halves);
	g_free(entry);
}

static void on_any_answer(const wwh_job_answer_t *answer, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->last_answer = answer->kind;
}

static void set_odd_row(fixture_t *fixture, const char *row)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->odd_row = row;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 2500);
}

/* Guards against a log that an odd row of each answer to a poll fills. */
void a_bad_row_of_a_poll_is_reported_once(void **state)
{
	fixture_t *fixture = *state;

	put_entry(fixture, "u1", NULL);
	put_entry(fixture, "u2", NULL);
	start_holder(fixture);
	run_until(fixture, "upstream u0 pool=desk listed=1 leaving=0 settled=1",
		  true);
	submit(fixture);
	set_odd_row(fixture, "[\"x\",12345678901234567890123456,\"\",1]");
	assert_int_equal(counter_value(fixture, "records.unreadable"), 1);
	assert_int_equal(counter_value(fixture, "records.unreadable_now"), 1);
	assert_int_equal(runs_at(fixture, 0), TASKS);
	set_odd_row(fixture, NULL);
	assert_int_equal(counter_value(fixture, "records.unreadable_now"), 0);
	assert_int_equal(counter_value(fixture, "records.unreadable"), 1);
	assert_int_equal(runs_at(fixture, 0), TASKS);
}

/*
 * Guards against "no such job" for an accepted job whose record is unreadable
 * when a holder starts: the caller's next submission created a second job. The
 * caller is asked to retry until it cancels the job, which ends it.
 */
void a_job_with_an_unreadable_record_is_not_unknown(void **state)
{
	static const char id[] = "00000000000000aa";
	fixture_t *fixture = *state;
	wwh_job_t *job = wwh_job_new(1);

	g_hash_table_insert(fixture->records, g_strconcat("J", id, NULL),
			    g_bytes_new("\xc1", 1));
	start_holder(fixture);
	run_until_others_settled(fixture);
	assert_int_equal(counter_value(fixture, "holder.lost_jobs"), 1);
	assert_int_equal(counter_value(fixture, "records.unreadable"), 1);
	wwh_job_holder_query_state(fixture->holder, id, on_any_answer, fixture);
	assert_int_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
	g_strlcpy(job->id, id, sizeof(job->id));
	wwh_job_holder_submit(fixture->holder, job, on_any_answer, fixture);
	assert_int_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
	wwh_job_holder_cancel(fixture->holder, id, NULL, on_any_answer,
			      fixture);
	run_for(fixture, 500);
	assert_int_equal(fixture->last_answer, WWH_JOB_ANSWER_OK);
	wwh_job_holder_query_state(fixture->holder, id, on_any_answer, fixture);
	assert_int_equal(fixture->last_answer, WWH_JOB_ANSWER_OK);
	assert_int_equal(counter_value(fixture, "holder.lost_jobs"), 0);
	assert_int_equal(counter_value(fixture, "records.unreadable_now"), 0);
}

/*
 * Guards against a holder that ends itself as an entry's id is as long as a key of the
 * store may be, and the key of its own record of it would be longer.
 */
void an_upstream_with_the_longest_id_is_not_used(void **state)
{
	fixture_t *fixture = *state;
	char *id = g_strnfill(255, 'u');

	put_entry(fixture, id, fixture->valid_entries[0]);
	start_holder(fixture);
	run_until_others_settled(fixture);
	run_for(fixture, 500);
	assert_int_equal(counter_value(fixture, "records.unreadable"), 1);
	assert_false(dump_contains(fixture, id));
	submit(fixture);
	assert_int_equal(all_runs(fixture), TASKS);
	g_free(id);
}

/* Guards against rejected callers while the store is slow, but reachable. */
void a_slow_store_causes_no_rejections(void **state)
{
	fixture_t *fixture = *state;

	start_holder(fixture);
	run_until_others_settled(fixture);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->append_delay_ms = 600;
	g_mutex_unlock(&fixture->standin->lock);
	for (int32_t i = 0; i < 12; i++)
		submit_within(fixture, 250);
	run_for(fixture, 1500);
	assert_int_equal(fixture->accepted, fixture->jobs);
}

static void on_overload_answer(const wwh_job_answer_t *answer,
			       void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->last_answer = answer->kind;
	if (answer->kind != WWH_JOB_ANSWER_NOT_DONE)
		return;
	assert_string_equal(answer->why, "overloaded");
	assert_in_range(answer->retry_after_s, 1, 5);
	fixture->refused++;
}

static void submit_small(fixture_t *fixture, bool lasting)
{
	wwh_job_t *job = new_job(fixture, SMALL_TASKS);

	job->steps[0].lasting = lasting;
	fixture->last_answer = WWH_JOB_ANSWER_COUNT;
	wwh_job_holder_submit(fixture->holder, job, on_overload_answer,
			      fixture);
}

/*
 * Guards against an overloaded holder that accepts more jobs than it can start:
 * goodput collapses, and accepted jobs are not run.
 */
void an_overloaded_holder_rejects_excess_jobs(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms;

	start_holder(fixture);
	run_until_others_settled(fixture);
	end_ms = standin_now_ms() + WAIT_MAX_MS;
	while (fixture->refused == 0 && standin_now_ms() < end_ms) {
		for (int32_t i = 0; i < JOBS_PER_ITERATION; i++)
			submit_small(fixture, false);
		run_for(fixture, 1);
	}
	assert_true(fixture->refused > 0);
	assert_int_equal(counter_value(fixture, "holder.overload_refusals"),
			 fixture->refused);
	/* a lasting job is accepted, as its tasks are started first */
	submit_small(fixture, true);
	assert_int_not_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
	/* jobs are accepted again once the backlog has been started */
	do {
		run_for(fixture, 100);
		submit_small(fixture, false);
	} while (fixture->last_answer == WWH_JOB_ANSWER_NOT_DONE &&
		 standin_now_ms() < end_ms);
	assert_int_not_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
}

static void on_capacity_answer(const wwh_job_answer_t *answer,
			       void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->last_answer = answer->kind;
	if (answer->kind != WWH_JOB_ANSWER_NOT_DONE)
		return;
	assert_string_equal(answer->why, "no-capacity");
	assert_in_range(answer->retry_after_s, 1, 5);
	fixture->refused++;
}

/*
 * Guards against a holder that accepts more jobs than its pool can run: they
 * wait, and callers learn too late that their results are of no use.
 */
void a_full_pool_rejects_jobs_at_once(void **state)
{
	fixture_t *fixture = *state;
	wwh_job_t *job;

	start_holder(fixture);
	run_until_others_settled(fixture);
	for (int32_t i = 0; i < FULL_POOL_JOBS; i++) {
		int32_t refused = fixture->refused;

		job = new_job(fixture, SMALL_TASKS);
		job->steps[0].need.cpu_millicores = 800;
		wwh_job_holder_submit(fixture->holder, job, on_capacity_answer,
				      fixture);
		/* the pool has room for three of them */
		assert_true(i >= 3 || fixture->refused == refused);
		run_for(fixture, 20);
	}
	assert_true(fixture->refused > 0);
	assert_int_equal(
		counter_value(fixture, "holder.admission_rejected_too_late") +
			counter_value(fixture,
				      "holder.admission_rejected_late") +
			counter_value(fixture,
				      "holder.admission_rejected_displaces"),
		fixture->refused);
	job = new_job(fixture, SMALL_TASKS);
	job->steps[0].need.cpu_millicores = 800;
	job->steps[0].lasting = true;
	fixture->last_answer = WWH_JOB_ANSWER_COUNT;
	wwh_job_holder_submit(fixture->holder, job, on_capacity_answer,
			      fixture);
	assert_int_not_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
}

/* Adds upstreams of a previous holder that don't answer. */
static void inherit_silent_upstreams(fixture_t *fixture, int32_t count)
{
	/* MessagePack: endpoint and pool */
	static const char upstream_record[] = "\x92\xab"
					      "127.0.0.1:1"
					      "\xa4"
					      "desk";

	for (int32_t i = 0; i < count; i++)
		g_hash_table_insert(fixture->records,
				    g_strdup_printf("Us%d", (int)i),
				    g_bytes_new(upstream_record,
						sizeof(upstream_record) - 1));
}

/*
 * Guards against a new holder of many upstreams that accepts jobs while it
 * can't start any: some of them never ran.
 */
void a_large_holder_rejects_jobs_until_recovered(void **state)
{
	fixture_t *fixture = *state;

	inherit_silent_upstreams(fixture, LARGE_HOLDER_UPSTREAMS);
	start_holder(fixture);
	run_for(fixture, 100);
	assert_true(wwh_job_holder_is_large(fixture->holder));
	submit_small(fixture, false);
	assert_int_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
	submit_small(fixture, true);
	assert_int_not_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
}

/* Guards against refusals during a recovery that takes only moments. */
void a_small_holder_accepts_jobs_while_it_recovers(void **state)
{
	fixture_t *fixture = *state;

	inherit_silent_upstreams(fixture, 5);
	start_holder(fixture);
	run_for(fixture, 100);
	assert_false(wwh_job_holder_is_large(fixture->holder));
	submit_small(fixture, false);
	assert_int_not_equal(fixture->last_answer, WWH_JOB_ANSWER_NOT_DONE);
}

/*
 * Guards against an accepted job that takes its pool down: a task of it crashes
 * each upstream that starts it.
 */
void a_task_that_crashes_its_upstreams_ends_its_job(void **state)
{
	fixture_t *fixture = *state;
	standin_t *standin = fixture->standin;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;
	int32_t starts;

	standin->crashing_task = "0000000000000002.0.0.1";
	standin->lists_upstreams = true;
	fixture->settings.hosts = g_strdup(fixture->settings.store);
	start_holder(fixture);
	run_until_others_settled(fixture);
	submit(fixture);
	submit(fixture);
	while (counter_value(fixture, "holder.tasks_given_up") == 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 50);
	run_for(fixture, 1000);
	assert_int_equal(counter_value(fixture, "holder.tasks_given_up"), 1);
	g_mutex_lock(&standin->lock);
	starts = GPOINTER_TO_INT(
		g_hash_table_lookup(standin->starts, standin->crashing_task));
	g_mutex_unlock(&standin->lock);
	assert_in_range(starts, 2, 3);
	assert_int_equal(counter_value(fixture, "holder.upstream_crashes"),
			 starts);
	assert_int_equal(all_runs(fixture), TASKS);
	assert_int_equal(standin->twice, 0);
}
