#ifndef WAXWINGHOLLOW_PRIVATE_JOB_HOLDER_STATE_H
#define WAXWINGHOLLOW_PRIVATE_JOB_HOLDER_STATE_H

/* What the modules of job_holder share. */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/host_duties.h"
#include "waxwinghollow/job_holder.h"
#include "waxwinghollow/shard_journal.h"
#include "waxwinghollow/start_rate.h"
#include "waxwinghollow/store_follower.h"

struct wwh_job_holder {
	wwh_job_holder_options_t options;
	int32_t references; /* the owner's and one for each call out */
	int32_t host_orders_out; /* that aren't answered yet */
	bool deleted;
	bool lost;
	bool overloaded; /* as the owner of its loop says */
	bool starts_held; /* announcements are known too late */
	bool stopping; /* hosts get no more orders */
	bool urgent; /* a caller waits for what is kept next */
	bool advice_in_flight;
	bool report_in_flight;
	wwh_scheduler_t *scheduler;
	wwh_shard_journal_t *journal;
	wwh_store_follower_t *upstreams;
	wwh_host_duties_t *duties;
	GQueue *waiters; /* waiter_t in the order of their records */
	GQueue *advice; /* wwh_http_call_t with its step, one out at a time */
	GPtrArray *reports; /* wave states that aren't written yet */
	int64_t report_retry_ms;
	wwh_start_rate_t *start_rate;
	int64_t starts_counted; /* of the counter below, in start_rate */
	int64_t start_until_ms; /* by what is known of announcements */
	int64_t store_away_ms; /* nobody could announce anything then */
	int64_t now_ms;
	int64_t wall_ms;
	int64_t durable_record;
	int64_t unconfirmed_since_ms; /* 0: orders may go out */
	int64_t duties_after_ms;
	int64_t flush_after_ms;
	char *list_page;
	wwh_bad_records_t *bad_upstreams;
	wwh_bad_records_t *bad_hosts;
	GHashTable *bad_listed; /* names of this list's bad rows */
	wwh_bad_records_t *bad_records; /* of the journal */
	GHashTable *services; /* names of pools; NULL: no configuration yet */
	GHashTable *announced; /* id to the digest of what was taken last */
	GHashTable *unnamed; /* id to wwh_upstream_info_t of other pools */
	wwh_counter_t *lost_jobs;
	wwh_counter_t *overload_refusals;
	wwh_counter_t *starts;
	wwh_counter_t *polls;
	wwh_counter_t *stops;
	wwh_histogram_t *append_ms; /* from sending to durable */
	wwh_histogram_t *start_ms; /* from an order to its answer */
};

/*
 * job_holder_starts.c: whether tasks may be started by what is known of the
 * upstreams, and how many are
 */
void job_holder_hold_starts(wwh_job_holder_t *holder);
void job_holder_measure_starts(wwh_job_holder_t *holder);

/* Of each call back: what time it is now, not when the loop ran last. */
void job_holder_tick(wwh_job_holder_t *holder);
void job_holder_ref(wwh_job_holder_t *holder);
void job_holder_unref(wwh_job_holder_t *holder);
void job_holder_lose(wwh_job_holder_t *holder, const char *why);
int64_t job_holder_keep(wwh_scheduler_record_kind_t kind, const char *key,
			GBytes *value, void *client_data);
void job_holder_explain(const char *event, const char *subject,
			const char *detail, void *client_data);

/* job_holder_upstreams.c: entries of the registry of upstreams */
void job_holder_upstreams_init(wwh_job_holder_t *holder);
void job_holder_upstreams_finish(wwh_job_holder_t *holder);
void job_holder_on_upstream(const char *key, const uint8_t *value, size_t size,
			    void *data);
void job_holder_on_nameless_upstream(int64_t offset, const char *why,
				     void *data);
void job_holder_name_services(wwh_job_holder_t *holder,
			      const wwh_job_config_t *config);

/* job_holder_requests.c: who waits for a record, and is told */
void job_holder_answer_durable(wwh_job_holder_t *holder, int64_t record);
void job_holder_end_waiters(wwh_job_holder_t *holder);
/* Jobs whose records were never sent, once the store is away. */
void job_holder_refuse_unsent(wwh_job_holder_t *holder);

/* job_holder_orders.c: the scheduler's orders to upstreams */
void job_holder_start(const wwh_start_order_t *order, void *client_data);
void job_holder_stop(const wwh_stop_order_t *order, void *client_data);
void job_holder_poll(const wwh_poll_order_t *order, void *client_data);
void job_holder_pace(const wwh_pace_order_t *order, void *client_data);
void job_holder_advise(const wwh_advice_order_t *order, void *client_data);
void job_holder_advice_clear(wwh_job_holder_t *holder);

/* job_holder_hosts.c: what the host duties ask for */
void job_holder_list_hosts(void *client_data);
void job_holder_upkeep(const char *host, int64_t wave, void *client_data);
void job_holder_move(const char *host, const char *pool, void *client_data);
void job_holder_report(const wwh_wave_order_t *order, bool completed,
		       void *client_data);
void job_holder_send_reports(wwh_job_holder_t *holder);

#endif
