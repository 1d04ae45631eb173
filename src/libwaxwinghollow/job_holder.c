#include "waxwinghollow/job_holder.h"

#include <string.h>

#include "private/job_holder_state.h"
#include "wire_operator.h"
#include "wire_store.h"

/* Records that no caller waits for are batched for this long. */
#define RECORD_GROUP_MS 40

/*
 * Upstreams announce themselves continually, so announcements are read in
 * batches. With a longer wait, a silent connection would be noticed too late.
 */
#define UPSTREAMS_GAP_MS 150
#define UPSTREAMS_WAIT_MS 700

/*
 * Without other appends, the deletion of a key that doesn't exist confirms the
 * claim this often.
 */
#define CONFIRM_PERIOD_MS 500

/*
 * For this long after the store confirmed the claim, no other holder can have
 * accepted a job and answered its caller: a claim, reading the journal and the
 * first append take longer.
 */
#define CONFIRMED_FOR_MS 2500

/*
 * A holder counts as rejected by the store if its appends fail and the last
 * successful one is older. A store that is slow for all takes some 250 ms for
 * each append.
 */
#define STORE_REJECTS_AFTER_MS 300

/* Number of upstreams that a new holder can poll before leases expire. */
#define UPSTREAMS_RECOVERED_IN_TIME 1000

/* Wait for events while jobs are live or tasks run, and otherwise. */
#define WAIT_BUSY_MS 20
#define WAIT_IDLE_MS 80

/*
 * Lease requested at each poll, about once a second. A change of holder takes
 * up to 3 s, in which nobody extends leases. Each second more delays by a
 * second the restart of tasks of an upstream that has fallen silent.
 */
#define LEASE_MS 4500

/*
 * While the store is away for all, work goes on for this long, as long as most
 * upstreams answer. If most can't be reached after a change of holder, no inherited
 * task is started for as long, which is less than the 12 s after which callers
 * expect to be served again.
 */
#define UNCONFIRMED_MAX_MS 10000

/*
 * Starts without an answer are limited to what the host's link carries in this time,
 * at the usual size of a start on the wire.
 */
#define LINK_WINDOW_MS 250
#define START_BYTES 1200
#define BITS_PER_BYTE 8
#define MIN_UNANSWERED_STARTS 16

const char *const wwh_job_answer_names[WWH_JOB_ANSWER_COUNT] = {
	"ok", "no-job", "not-done", "unknown", "too-large",
};

static int32_t max_unanswered_starts(const wwh_host_settings_t *settings);
static void make_scheduler(wwh_job_holder_t *holder);
static void make_journal(wwh_job_holder_t *holder);
static void restore(wwh_job_holder_t *holder);
static void restore_kind(wwh_job_holder_t *holder,
			 wwh_scheduler_record_kind_t kind);
static void on_durable(int64_t record, void *data);
static void on_record_rejected(int64_t record, const char *key, void *data);
static void on_journal_lost(const char *why, void *data);
static void on_store_reachable(bool reached, const char *why, void *data);
static wwh_bad_records_t *make_bad_records(wwh_job_holder_t *holder,
					   const char *list);
static bool orders_allowed(wwh_job_holder_t *holder, bool suspended);
static bool claim_confirmed_within(const wwh_job_holder_t *holder,
				   int64_t now_ms, int64_t limit_ms);
static void update_confirmation(wwh_job_holder_t *holder);
static void flush(wwh_job_holder_t *holder);
static void update_counters(wwh_job_holder_t *holder);

wwh_job_holder_t *wwh_job_holder_new(const wwh_job_holder_options_t *options)
{
	wwh_job_holder_t *holder = g_new0(wwh_job_holder_t, 1);
	wwh_store_follower_options_t upstreams = {
		.calls = options->calls,
		.endpoint = options->settings->store,
		.topic = WIRE_TOPIC_UPSTREAMS,
		.wait_ms = UPSTREAMS_WAIT_MS,
		.read_interval_ms = UPSTREAMS_GAP_MS,
		.link_kbps = options->settings->link_kbps,
		.on_record = job_holder_on_upstream,
		.on_unreadable_key = job_holder_on_keyless_upstream,
		.on_reach = on_store_reachable,
		.client_data = holder,
	};

	holder->options = *options;
	holder->references = 1;
	holder->now_ms = options->clock_ms();
	holder->held_since_ms = holder->now_ms;
	holder->claimed_ms = options->claimed_ms;
	holder->wall_ms = options->wall_ms;
	holder->waiters = g_queue_new();
	holder->advice = g_queue_new();
	holder->reports = g_ptr_array_new();
	holder->starts = wwh_counters_get(options->counters, "holder.starts");
	holder->polls = wwh_counters_get(options->counters, "holder.polls");
	holder->stops = wwh_counters_get(options->counters, "holder.stops");
	holder->append_ms =
		wwh_counters_histogram(options->counters, "holder.append_ms");
	holder->start_ms =
		wwh_counters_histogram(options->counters, "holder.start_ms");
	job_holder_admission_init(holder);
	holder->start_rate = wwh_start_rate_new();
	holder->starts_measured = wwh_counter_value(holder->starts);
	holder->lost_jobs =
		wwh_counters_get(options->counters, "holder.lost_jobs");
	holder->upstream_crashes =
		wwh_counters_get(options->counters, "holder.upstream_crashes");
	holder->isolated_starts =
		wwh_counters_get(options->counters, "holder.isolated_starts");
	holder->repeated_orders =
		wwh_counters_get(options->counters, "holder.repeated_orders");
	holder->tasks_given_up =
		wwh_counters_get(options->counters, "holder.tasks_given_up");
	holder->slow_upstreams =
		wwh_counters_get(options->counters, "holder.slow_upstreams");
	holder->marked_slow =
		wwh_counters_get(options->counters, "holder.marked_slow");
	holder->healthy_again =
		wwh_counters_get(options->counters, "holder.healthy_again");
	holder->tasks_held =
		wwh_counters_get(options->counters, "holder.tasks_held");
	holder->records_rejected =
		wwh_counters_get(options->counters, "holder.records_rejected");
	job_holder_init_reserve_gauges(holder);
	holder->bad_hosts = make_bad_records(holder, "hosts");
	holder->bad_host_rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	holder->bad_records = make_bad_records(holder, "journal");
	job_holder_upstreams_init(holder);
	make_journal(holder);
	make_scheduler(holder);
	job_holder_make_duties(holder);
	job_holder_make_relays(holder);
	restore(holder);
	holder->options.records = NULL;
	holder->upstreams = wwh_store_follower_new(&upstreams);
	return holder;
}

void wwh_job_holder_delete(wwh_job_holder_t *holder)
{
	if (holder == NULL)
		return;
	holder->deleted = true;
	wwh_store_follower_delete(holder->upstreams);
	wwh_shard_journal_delete(holder->journal);
	job_holder_abort_waiters(holder);
	g_clear_pointer(&holder->relays, wwh_relay_transport_delete);
	job_holder_unref(holder);
}

void wwh_job_holder_set_config(wwh_job_holder_t *holder,
			       const wwh_job_config_t *config)
{
	job_holder_set_services(holder, config);
	for (guint i = 0; i < config->pools->len; i++) {
		const wwh_job_pool_t *pool =
			&g_array_index(config->pools, wwh_job_pool_t, i);

		wwh_scheduler_set_standby(holder->scheduler, pool->name,
					  pool->standby);
		wwh_host_duties_set_pool(holder->duties, pool->name,
					 pool->standby);
	}
	wwh_scheduler_clear_limits(holder->scheduler);
	for (guint i = 0; i < config->limits->len; i++) {
		const wwh_workspace_limit_t *limit = &g_array_index(
			config->limits, wwh_workspace_limit_t, i);

		wwh_scheduler_limit_workspace(holder->scheduler, limit->name,
					      &limit->limit, limit->weight);
	}
}

void wwh_job_holder_apply_wave(wwh_job_holder_t *holder, const char *key,
			       const uint8_t *value, size_t size)
{
	wwh_wave_order_t *order =
		wire_operator_parse_wave(key, value, size, NULL);

	if (order != NULL)
		wwh_host_duties_add_wave(holder->duties, order, holder->now_ms);
}

void wwh_job_holder_run(wwh_job_holder_t *holder, int64_t now_ms,
			int64_t wall_ms, bool suspended)
{
	bool may_order;

	holder->now_ms = MAX(holder->now_ms, now_ms);
	holder->wall_ms = wall_ms;
	if (holder->lost)
		return;
	wwh_store_follower_run(holder->upstreams, now_ms);
	may_order = orders_allowed(holder, suspended);
	update_confirmation(holder);
	if (may_order) {
		job_holder_hold_starts(holder);
		wwh_scheduler_run(holder->scheduler, now_ms, wall_ms);
		job_holder_measure_starts(holder);
		job_holder_run_duties(holder);
		job_holder_send_wave_reports(holder);
	}
	if (holder->relays != NULL)
		wwh_relay_transport_run(holder->relays, may_order);
	flush(holder);
	wwh_shard_journal_run(holder->journal, now_ms);
	update_counters(holder);
	job_holder_update_outage(holder);
	job_holder_refuse_unsent(holder);
}

/*
 * Others can't have claimed the shard before the newest append that succeeded was
 * sent, which may be the claim.
 */
static void update_confirmation(wwh_job_holder_t *holder)
{
	int64_t starts = wwh_counter_value(holder->starts);
	bool is_stale;

	holder->claimed_ms =
		MAX(holder->claimed_ms,
		    wwh_shard_journal_confirmed_ms(holder->journal));
	wwh_scheduler_set_confirmed(holder->scheduler, holder->claimed_ms);
	is_stale =
		holder->now_ms - holder->claimed_ms > WWH_OVERTAKEN_HOLDER_MS;
	if (is_stale == holder->claim_is_stale)
		return;
	holder->claim_is_stale = is_stale;
	if (is_stale)
		holder->starts_when_stale = starts;
	wwh_event_log_printf(
		holder->options.log,
		is_stale ? "claim-unconfirmed" : "claim-confirmed", "shard",
		"epoch=%" G_GINT64_FORMAT " confirmed_ms_ago=%" G_GINT64_FORMAT
		" starts_meanwhile=%" G_GINT64_FORMAT,
		holder->options.epoch, holder->now_ms - holder->claimed_ms,
		starts - holder->starts_when_stale);
}

static void update_counters(wwh_job_holder_t *holder)
{
	wwh_scheduler_counts_t counts = wwh_scheduler_counts(holder->scheduler);

	wwh_counter_set(holder->lost_jobs, counts.lost_jobs);
	wwh_counter_add(holder->upstream_crashes,
			counts.crashed_upstreams -
				holder->counted.crashed_upstreams);
	wwh_counter_add(holder->isolated_starts,
			counts.isolated_starts -
				holder->counted.isolated_starts);
	wwh_counter_add(holder->repeated_orders,
			counts.repeated_orders -
				holder->counted.repeated_orders);
	wwh_counter_add(holder->tasks_given_up,
			counts.tasks_given_up - holder->counted.tasks_given_up);
	wwh_counter_set(holder->slow_upstreams, counts.slow_upstreams);
	wwh_counter_add(holder->marked_slow,
			counts.marked_slow - holder->counted.marked_slow);
	wwh_counter_add(holder->healthy_again,
			counts.healthy_again - holder->counted.healthy_again);
	wwh_counter_add(holder->tasks_held,
			counts.tasks_held - holder->counted.tasks_held);
	holder->counted = counts;
}

static int64_t ms_ago(int64_t now_ms, int64_t ms)
{
	return ms == 0 ? -1 : now_ms - ms;
}

void wwh_job_holder_log_loss(const wwh_job_holder_t *holder, const char *why,
			     int64_t now_ms)
{
	wwh_event_log_printf(
		holder->options.log, "shard-lost", "shard",
		"why=%s epoch=%" G_GINT64_FORMAT " held_ms=%" G_GINT64_FORMAT
		" confirmed_ms_ago=%" G_GINT64_FORMAT
		" started_ms_ago=%" G_GINT64_FORMAT
		" extended_ms_ago=%" G_GINT64_FORMAT,
		why, holder->options.epoch, now_ms - holder->held_since_ms,
		now_ms - holder->claimed_ms, ms_ago(now_ms, holder->started_ms),
		ms_ago(now_ms, wwh_scheduler_extended_ms(holder->scheduler)));
}

void wwh_job_holder_set_overloaded(wwh_job_holder_t *holder, bool overloaded)
{
	holder->overloaded = overloaded;
}

bool wwh_job_holder_is_large(const wwh_job_holder_t *holder)
{
	return wwh_scheduler_upstream_count(holder->scheduler) >
	       UPSTREAMS_RECOVERED_IN_TIME;
}

int32_t wwh_job_holder_wait_ms(const wwh_job_holder_t *holder)
{
	wwh_scheduler_counts_t counts = wwh_scheduler_counts(holder->scheduler);

	return counts.live_jobs > 0 || counts.tasks_outstanding > 0
		       ? WAIT_BUSY_MS
		       : WAIT_IDLE_MS;
}

void wwh_job_holder_set_handing_over(wwh_job_holder_t *holder,
				     bool handing_over)
{
	holder->handing_over = handing_over;
}

void wwh_job_holder_pause_duties(wwh_job_holder_t *holder, bool paused)
{
	holder->duties_paused = paused;
}

bool wwh_job_holder_host_orders_pending(const wwh_job_holder_t *holder)
{
	return holder->host_orders_pending > 0;
}

bool wwh_job_holder_is_quiescent(const wwh_job_holder_t *holder)
{
	return holder->lost ||
	       (g_queue_is_empty(holder->waiters) &&
		!wwh_job_holder_host_orders_pending(holder) &&
		!wwh_scheduler_has_unflushed(holder->scheduler) &&
		wwh_shard_journal_lag_ms(holder->journal, holder->now_ms) == 0);
}

bool wwh_job_holder_claim_confirmed(const wwh_job_holder_t *holder,
				    int64_t now_ms)
{
	return claim_confirmed_within(holder, now_ms, CONFIRMED_FOR_MS);
}

bool wwh_job_holder_reaches_store(const wwh_job_holder_t *holder,
				  int64_t now_ms)
{
	return claim_confirmed_within(holder, now_ms, STORE_REACHABLE_FOR_MS);
}

bool wwh_job_holder_rejected_by_store(const wwh_job_holder_t *holder,
				      int64_t now_ms, bool overloaded)
{
	bool failing = overloaded ? wwh_shard_journal_refused(holder->journal)
				  : wwh_shard_journal_failing(holder->journal);

	return failing &&
	       !claim_confirmed_within(holder, now_ms, STORE_REJECTS_AFTER_MS);
}

void wwh_job_holder_dump(wwh_job_holder_t *holder, GString *out)
{
	g_string_append_printf(
		out,
		"holder epoch=%" G_GINT64_FORMAT
		" confirmed_ms_ago=%" G_GINT64_FORMAT
		" journal_lag_ms=%" G_GINT64_FORMAT " starts_held=%d\n",
		holder->options.epoch,
		holder->now_ms -
			wwh_shard_journal_confirmed_ms(holder->journal),
		wwh_shard_journal_lag_ms(holder->journal, holder->now_ms),
		holder->starts_held);
	job_holder_dump_reserve(holder, out);
	if (holder->relays != NULL)
		wwh_relay_transport_dump(holder->relays, out);
	wwh_scheduler_dump(holder->scheduler, out, holder->now_ms);
}

void job_holder_update_clock(wwh_job_holder_t *holder)
{
	holder->now_ms = MAX(holder->now_ms, holder->options.clock_ms());
}

void job_holder_ref(wwh_job_holder_t *holder)
{
	holder->references++;
}

void job_holder_unref(wwh_job_holder_t *holder)
{
	if (--holder->references > 0)
		return;
	wwh_start_rate_delete(holder->start_rate);
	wwh_pool_admission_delete(holder->admission);
	wwh_host_duties_delete(holder->duties);
	wwh_scheduler_delete(holder->scheduler);
	job_holder_clear_advice(holder);
	g_queue_free(holder->advice);
	g_queue_free_full(holder->waiters, g_free);
	for (guint i = 0; i < holder->reports->len; i++)
		g_byte_array_unref(g_ptr_array_index(holder->reports, i));
	g_ptr_array_unref(holder->reports);
	job_holder_upstreams_clear(holder);
	wwh_bad_records_delete(holder->bad_hosts);
	g_hash_table_destroy(holder->bad_host_rows);
	wwh_bad_records_delete(holder->bad_records);
	wwh_counter_set(holder->lost_jobs, 0);
	wwh_counter_set(holder->slow_upstreams, 0);
	job_holder_clear_reserve_gauges(holder);
	g_free(holder->list_page_token);
	g_free(holder);
}

void job_holder_mark_lost(wwh_job_holder_t *holder, const char *why)
{
	if (holder->lost || holder->deleted)
		return;
	holder->lost = true;
	job_holder_abort_waiters(holder);
	holder->options.on_lost(why, holder->options.client_data);
}

int64_t job_holder_write_record(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value,
				void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	char *journal_key =
		g_strconcat(wwh_scheduler_record_kind_names[kind], key, NULL);
	/* the first start at an upstream waits for this record */
	bool urgent = holder->urgent ||
		      (kind == WWH_SCHEDULER_RECORD_UPSTREAM && value != NULL);
	int64_t number = wwh_shard_journal_append(
		holder->journal, journal_key, value, urgent, holder->now_ms);

	/* an unreadable record of this key is replaced now */
	if (value == NULL)
		wwh_bad_records_mark_removed(holder->bad_records, journal_key);
	else
		wwh_bad_records_mark_readable(holder->bad_records, journal_key);
	g_free(journal_key);
	return number;
}

void job_holder_log_event(const char *event, const char *subject,
			  const char *detail, void *client_data)
{
	wwh_job_holder_t *holder = client_data;

	wwh_event_log_write(holder->options.log, event, subject, detail);
}

static void make_journal(wwh_job_holder_t *holder)
{
	wwh_shard_journal_options_t options = {
		.calls = holder->options.calls,
		.endpoint = holder->options.settings->store,
		.topic = holder->options.topic,
		.part = holder->options.journal_part,
		.producer = holder->options.producer,
		.epoch = holder->options.epoch,
		.next_sequence = holder->options.next_sequence,
		.max_call_bytes =
			holder->options.settings->store_call_max_bytes,
		.batch_delay_ms = RECORD_GROUP_MS,
		.on_durable = on_durable,
		.on_rejected = on_record_rejected,
		.on_lost = on_journal_lost,
		.client_data = holder,
	};

	holder->journal = wwh_shard_journal_new(&options);
}

static int32_t max_unanswered_starts(const wwh_host_settings_t *settings)
{
	int64_t bytes = settings->link_kbps * LINK_WINDOW_MS / BITS_PER_BYTE;

	return (int32_t)CLAMP(bytes / START_BYTES, MIN_UNANSWERED_STARTS,
			      INT32_MAX);
}

/* Of a record's value; the key and its length come in addition. */
static int64_t record_max_bytes(const wwh_host_settings_t *settings)
{
	int64_t record = MIN(settings->store_record_max_bytes,
			     settings->store_call_max_bytes);

	return MAX(record - UINT8_MAX - 1, 0);
}

static void make_scheduler(wwh_job_holder_t *holder)
{
	const wwh_host_settings_t *settings = holder->options.settings;
	wwh_scheduler_options_t options = wwh_scheduler_options_defaults();
	wwh_scheduler_callbacks_t calls = {
		.start = job_holder_start_task,
		.stop = job_holder_stop_task,
		.poll = job_holder_poll_upstream,
		.pace = job_holder_pace_task,
		.advise = job_holder_request_advice,
		.write_record = job_holder_write_record,
		.explain = job_holder_log_event,
		.observe = job_holder_observe,
		.client_data = holder,
	};

	options.lease_max_ms = settings->lease_max_ms;
	options.lease_ms = LEASE_MS;
	options.stop_limit_ms = settings->stop_limit_ms;
	options.ended_job_retention_ms = settings->job_retention_ms;
	options.unavailable_after_ms = settings->unavailable_after_ms;
	options.holder_count = holder->options.claim_count;
	options.unconfirmed_max_ms = UNCONFIRMED_MAX_MS;
	options.record_max_bytes = record_max_bytes(settings);
	options.max_unanswered_starts = max_unanswered_starts(settings);
	holder->scheduler = wwh_scheduler_new(&options, &calls);
}

static void restore(wwh_job_holder_t *holder)
{
	wwh_scheduler_counts_t counts;

	for (int32_t kind = 0; kind < WWH_SCHEDULER_RECORD_KIND_COUNT; kind++)
		restore_kind(holder, (wwh_scheduler_record_kind_t)kind);
	wwh_scheduler_finish_restore(holder->scheduler, holder->now_ms,
				     holder->wall_ms);
	counts = wwh_scheduler_counts(holder->scheduler);
	wwh_event_log_printf(holder->options.log, "shard-restored", "shard",
			     "jobs=%d live=%d upstreams=%d lost_jobs=%d",
			     counts.jobs, counts.live_jobs, counts.upstreams,
			     counts.lost_jobs);
}

/* The order of wwh_scheduler_record_kind_t restores jobs before their progress. */
static void restore_kind(wwh_job_holder_t *holder,
			 wwh_scheduler_record_kind_t kind)
{
	GHashTableIter iterator;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iterator, holder->options.records);
	while (g_hash_table_iter_next(&iterator, &name, &value)) {
		const char *key = name;
		wwh_message_t message = { "" };
		const uint8_t *data;
		gsize size;
		bool ok;

		if (key[0] != wwh_scheduler_record_kind_names[kind][0])
			continue;
		data = g_bytes_get_data(value, &size);
		if (kind == WWH_SCHEDULER_RECORD_WAVE)
			ok = wwh_host_duties_restore(holder->duties, key + 1,
						     data, size, &message);
		else if (kind == WWH_SCHEDULER_RECORD_RESERVE)
			ok = wwh_host_duties_restore_reserve(
				holder->duties, data, size, &message);
		else
			ok = wwh_scheduler_restore(
				holder->scheduler, kind, key + 1, data, size,
				holder->now_ms, holder->wall_ms, &message);
		if (!ok)
			wwh_bad_records_mark_unreadable(holder->bad_records,
							key, message.text);
	}
}

static void on_durable(int64_t record, void *data)
{
	wwh_job_holder_t *holder = data;

	job_holder_update_clock(holder);
	holder->durable_record = record;
	wwh_histogram_add(holder->append_ms,
			  holder->now_ms - wwh_shard_journal_confirmed_ms(
						   holder->journal));
	if (wwh_shard_journal_confirmed_ms(holder->journal) >=
	    holder->unconfirmed_since_ms)
		holder->unconfirmed_since_ms = 0;
	wwh_scheduler_set_durable(holder->scheduler, record);
	wwh_host_duties_set_durable(holder->duties, record);
	job_holder_answer_durable(holder, record);
}

/* Waiters of the record learn that it isn't stored, and never will be. */
static void on_record_rejected(int64_t record, const char *key, void *data)
{
	wwh_job_holder_t *holder = data;

	job_holder_update_clock(holder);
	wwh_event_log_printf(holder->options.log, "record-rejected", key,
			     "record=%" G_GINT64_FORMAT, record);
	wwh_counter_add(holder->records_rejected, 1);
	if (key[0] == wwh_scheduler_record_kind_names[WWH_SCHEDULER_RECORD_JOB]
						     [0] &&
	    wwh_scheduler_job_is_discardable(holder->scheduler, key + 1))
		wwh_scheduler_discard_job(holder->scheduler, key + 1);
	job_holder_reject_waiters(holder, record);
	for (int32_t kind = 0; kind < WWH_SCHEDULER_RECORD_KIND_COUNT; kind++) {
		if (key[0] == wwh_scheduler_record_kind_names[kind][0])
			wwh_scheduler_record_rejected(
				holder->scheduler,
				(wwh_scheduler_record_kind_t)kind, key + 1,
				holder->now_ms);
	}
}

static void on_journal_lost(const char *why, void *data)
{
	job_holder_mark_lost(data, why);
}

static void on_store_reachable(bool reached, const char *why, void *data)
{
	wwh_job_holder_t *holder = data;

	wwh_event_log_printf(holder->options.log,
			     reached ? "store-regained" : "store-lost",
			     "upstreams", "result=%s", why);
}

static wwh_bad_records_t *make_bad_records(wwh_job_holder_t *holder,
					   const char *list)
{
	wwh_bad_records_options_t options = {
		.list = list,
		.log = holder->options.log,
		.counters = holder->options.counters,
	};

	return wwh_bad_records_new(&options);
}

/*
 * A process that was suspended may have been replaced meanwhile, and its
 * decisions are outdated. Orders wait until one append has succeeded.
 */
static bool orders_allowed(wwh_job_holder_t *holder, bool suspended)
{
	if (suspended && holder->unconfirmed_since_ms == 0) {
		holder->unconfirmed_since_ms = holder->now_ms;
		(void)wwh_shard_journal_append(holder->journal,
					       WWH_JOURNAL_CONFIRM_KEY, NULL,
					       true, holder->now_ms);
	}
	return holder->unconfirmed_since_ms == 0;
}

static bool claim_confirmed_within(const wwh_job_holder_t *holder,
				   int64_t now_ms, int64_t limit_ms)
{
	int64_t confirmed_ms = wwh_shard_journal_confirmed_ms(holder->journal);

	return !holder->lost && confirmed_ms != 0 &&
	       now_ms - confirmed_ms <= limit_ms;
}

static void flush(wwh_job_holder_t *holder)
{
	int64_t confirmed_ms = wwh_shard_journal_confirmed_ms(holder->journal);

	if (wwh_scheduler_has_unflushed(holder->scheduler) &&
	    holder->now_ms >= holder->flush_after_ms) {
		(void)wwh_scheduler_flush(holder->scheduler, holder->now_ms);
		holder->flush_after_ms = holder->now_ms + RECORD_GROUP_MS;
	}
	if ((holder->now_ms - confirmed_ms >= CONFIRM_PERIOD_MS ||
	     wwh_scheduler_awaits_confirmation(holder->scheduler)) &&
	    wwh_shard_journal_lag_ms(holder->journal, holder->now_ms) == 0)
		(void)wwh_shard_journal_append(holder->journal,
					       WWH_JOURNAL_CONFIRM_KEY, NULL,
					       true, holder->now_ms);
}
