#ifndef WAXWINGHOLLOW_PRIVATE_JOB_HOLDER_STATE_H
#define WAXWINGHOLLOW_PRIVATE_JOB_HOLDER_STATE_H

/* State and functions that the files of job_holder share. */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/host_duties.h"
#include "waxwinghollow/job_holder.h"
#include "waxwinghollow/outage.h"
#include "waxwinghollow/pool_admission.h"
#include "waxwinghollow/relay_transport.h"
#include "waxwinghollow/shard_journal.h"
#include "waxwinghollow/start_rate.h"
#include "waxwinghollow/store_follower.h"

#define JOB_HOLDER_RESERVE_GAUGES 8

/*
 * A holder whose last successful append is older can't accept jobs. Another
 * process may then take over, which costs callers less than waiting. This is
 * the time of two confirmations and a slow answer.
 */
#define STORE_REACHABLE_FOR_MS 1300

struct wwh_job_holder {
	wwh_job_holder_options_t options;
	int32_t references; /* the owner's, and one per call in flight */
	int32_t host_orders_pending; /* sent and unanswered */
	bool deleted;
	bool lost; /* the claim was lost: no more orders or records */
	bool overloaded; /* see wwh_job_holder_set_overloaded */
	bool starts_held; /* announcements read so far are too old */
	bool duties_paused; /* hosts get no new orders */
	bool handing_over; /* another process has asked for the shard */
	bool urgent; /* a caller waits for the record appended next */
	bool advice_in_flight;
	bool report_in_flight;
	wwh_scheduler_t *scheduler;
	wwh_shard_journal_t *journal;
	wwh_store_follower_t *upstreams;
	wwh_host_duties_t *duties;
	wwh_relay_transport_t *relays; /* NULL: all calls are made here */
	GQueue *waiters; /* waiter_t by ascending record number */
	GQueue *advice; /* advice requests not yet sent, order_t */
	GPtrArray *reports; /* wave states not yet written, GByteArray */
	int64_t report_retry_ms;
	wwh_start_rate_t *start_rate;
	int64_t starts_measured; /* part of `starts` added to start_rate */
	int64_t starts_allowed_until_ms; /* by the age of announcements read */
	int64_t store_unreachable_ms; /* no announcements until then */
	int64_t now_ms;
	int64_t wall_ms;
	int64_t durable_record;
	int64_t unconfirmed_since_ms; /* 0: confirmed, may give orders */
	int64_t held_since_ms;
	int64_t claimed_ms; /* when the claim was last confirmed */
	int64_t started_ms; /* when a start was last ordered; 0: never */
	bool claim_is_stale; /* logged as not confirmed for some time */
	int64_t starts_when_stale; /* ordered until then */
	int64_t duties_after_ms;
	int64_t flush_after_ms;
	char *list_page_token;
	wwh_bad_records_t *bad_upstreams;
	wwh_bad_records_t *bad_polls;
	wwh_bad_records_t *bad_hosts;
	GHashTable *bad_host_rows; /* names of this listing's bad rows */
	wwh_bad_records_t *bad_records; /* of the journal */
	GHashTable *services; /* names of pools; NULL: no configuration yet */
	GHashTable *announcement_digests; /* id to uint64_t, last one applied */
	GHashTable *unconfigured; /* id to wwh_upstream_info_t, pool unknown */
	wwh_counter_t *lost_jobs;
	wwh_counter_t *upstream_crashes;
	wwh_counter_t *slow_upstreams;
	wwh_counter_t *marked_slow;
	wwh_counter_t *healthy_again;
	wwh_counter_t *tasks_held;
	wwh_counter_t *records_rejected;
	wwh_counter_t *isolated_starts;
	wwh_counter_t *repeated_orders;
	wwh_counter_t *tasks_given_up;
	wwh_counter_t *reserve_gauges[JOB_HOLDER_RESERVE_GAUGES];
	wwh_scheduler_counts_t counted; /* by the counters above */
	wwh_outage_t store_outage; /* submissions are refused */
	wwh_pool_admission_t *admission;
	wwh_counter_t *overload_refusals;
	wwh_counter_t *rejected_too_late;
	wwh_counter_t *rejected_late;
	wwh_counter_t *rejected_displaces;
	/* Actual less expected times of accepted jobs, if below or above 0. */
	wwh_histogram_t *start_early_ms;
	wwh_histogram_t *start_late_ms;
	wwh_histogram_t *end_early_ms;
	wwh_histogram_t *end_late_ms;
	wwh_counter_t *starts;
	wwh_counter_t *polls;
	wwh_counter_t *stops;
	wwh_histogram_t *append_ms; /* from sending an append to durable */
	wwh_histogram_t *start_ms; /* from a start order to its answer */
};

/*
 * job_holder_starts.c: whether the announcements are recent enough to start
 * tasks, and the rate of starts
 */
void job_holder_hold_starts(wwh_job_holder_t *holder);
void job_holder_measure_starts(wwh_job_holder_t *holder);

/* Called first in each callback; now_ms is otherwise that of the last run. */
void job_holder_update_clock(wwh_job_holder_t *holder);
void job_holder_ref(wwh_job_holder_t *holder);
void job_holder_unref(wwh_job_holder_t *holder);
/* Notifies the owner once; the owner deletes the holder later. */
void job_holder_mark_lost(wwh_job_holder_t *holder, const char *why);
int64_t job_holder_write_record(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value,
				void *client_data);
void job_holder_log_event(const char *event, const char *subject,
			  const char *detail, void *client_data);

/* job_holder_upstreams.c: entries of the registry of upstreams */
void job_holder_upstreams_init(wwh_job_holder_t *holder);
void job_holder_upstreams_clear(wwh_job_holder_t *holder);
void job_holder_on_upstream(const char *key, const uint8_t *value, size_t size,
			    void *data);
void job_holder_on_keyless_upstream(int64_t offset, const char *why,
				    void *data);
void job_holder_set_services(wwh_job_holder_t *holder,
			     const wwh_job_config_t *config);

/* job_holder_admission.c: whether a job is accepted */
void job_holder_admission_init(wwh_job_holder_t *holder);
/* Returns false, with the answer for the caller, if the job is refused. */
bool job_holder_admit(wwh_job_holder_t *holder, const wwh_job_t *job,
		      wwh_admission_verdict_t *verdict,
		      wwh_job_answer_t *answer);
/* The scheduler's callback of the same name. */
void job_holder_observe(bool end, int64_t expected_ms, int64_t actual_ms,
			void *client_data);

/* job_holder_requests.c: requests, and those that wait for a record */
void job_holder_answer_durable(wwh_job_holder_t *holder, int64_t record);
/* The store has rejected the record for good. */
void job_holder_reject_waiters(wwh_job_holder_t *holder, int64_t record);
void job_holder_abort_waiters(wwh_job_holder_t *holder);
void job_holder_update_outage(wwh_job_holder_t *holder);
/* While the store is stalled, refuses jobs whose records were never sent. */
void job_holder_refuse_unsent(wwh_job_holder_t *holder);

/* job_holder_relays.c: calls to upstreams, by other processes under load */
void job_holder_make_relays(wwh_job_holder_t *holder);
/* As wwh_http_calls_send. */
void job_holder_send(wwh_job_holder_t *holder, wwh_http_call_t *call,
		     wwh_http_done_t done, void *client_data);

/* job_holder_orders.c: the scheduler's orders to upstreams */
void job_holder_start_task(const wwh_start_order_t *order, void *client_data);
void job_holder_stop_task(const wwh_stop_order_t *order, void *client_data);
void job_holder_poll_upstream(const wwh_poll_order_t *order, void *client_data);
void job_holder_pace_task(const wwh_pace_order_t *order, void *client_data);
void job_holder_request_advice(const wwh_advice_order_t *order,
			       void *client_data);
void job_holder_clear_advice(wwh_job_holder_t *holder);

/* job_holder_reserve.c: what the fleet keeps powered on, as gauges and text */
void job_holder_init_reserve_gauges(wwh_job_holder_t *holder);
void job_holder_update_reserve_gauges(wwh_job_holder_t *holder);
void job_holder_clear_reserve_gauges(wwh_job_holder_t *holder);
void job_holder_dump_reserve(const wwh_job_holder_t *holder, GString *out);

/*
 * job_holder_duties.c: how often the host duties run, and whether they may move hosts
 *
 * LOAD
 *	A fleet whose duties take as long as the interval between two runs; a
 *	store that fails while many hosts move.
 */
void job_holder_make_duties(wwh_job_holder_t *holder);
void job_holder_run_duties(wwh_job_holder_t *holder);

/* job_holder_hosts.c: the host duties' calls to the platform */
void job_holder_list_hosts(void *client_data);
void job_holder_order_upkeep(const char *host, int64_t wave, void *client_data);
void job_holder_order_move(const char *host, const char *pool,
			   void *client_data);
void job_holder_report_wave(const wwh_wave_order_t *order, bool completed,
			    void *client_data);
void job_holder_send_wave_reports(wwh_job_holder_t *holder);

#endif
