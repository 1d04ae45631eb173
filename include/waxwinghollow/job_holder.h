#ifndef WAXWINGHOLLOW_JOB_HOLDER_H
#define WAXWINGHOLLOW_JOB_HOLDER_H

/*
 * NAME
 *	job_holder - runs the jobs of a shard in the process that holds it
 *
 * USE
 *	Connects the scheduler and the host duties, which take the decisions,
 *	to the journal, the upstreams and the platform, which are called over
 *	HTTP. A holder exists from a claim of the shard until the claim is
 *	lost. It is then discarded as a whole, and requests that wait for a
 *	record are answered WWH_JOB_ANSWER_UNKNOWN.
 *
 * ORDER OF CALLS
 *	wwh_job_holder_new; requests and wwh_job_holder_run, in the thread
 *	that polls its http_calls; wwh_job_holder_delete.
 */

#include "waxwinghollow/event_log.h"
#include "waxwinghollow/host_settings.h"
#include "waxwinghollow/http_calls.h"
#include "waxwinghollow/job_config.h"
#include "waxwinghollow/relay_codec.h"
#include "waxwinghollow/scheduler.h"

typedef enum {
	WWH_JOB_ANSWER_OK = 0,
	WWH_JOB_ANSWER_NO_JOB, /* the job certainly doesn't exist */
	WWH_JOB_ANSWER_NOT_DONE, /* certainly without effect */
	WWH_JOB_ANSWER_UNKNOWN, /* may have taken effect, or may do so later */
	WWH_JOB_ANSWER_TOO_LARGE, /* never accepted: a record couldn't be stored */
	WWH_JOB_ANSWER_COUNT
} wwh_job_answer_kind_t;

/* Names of wwh_job_answer_kind_t, in the same order. */
extern const char *const wwh_job_answer_names[WWH_JOB_ANSWER_COUNT];

/* The reason of a refusal while the shard is handed over. */
#define WWH_JOB_WHY_HANDING_OVER "handing-over"

typedef struct {
	wwh_job_answer_kind_t kind;
	const char *why; /* reason, a string constant */
	wwh_job_progress_t state; /* set by wwh_job_holder_query_state */
	int32_t pending; /* set by wwh_job_holder_query_pending */
	int64_t retry_after_s; /* when to retry; 0: unspecified */
} wwh_job_answer_t;

/* Called exactly once for each request. */
typedef void (*wwh_job_answered_t)(const wwh_job_answer_t *answer,
				   void *client_data);

typedef struct {
	const wwh_host_settings_t *settings;
	wwh_http_calls_t *calls;
	wwh_counters_t *counters;
	wwh_event_log_t *log;
	const char *own_address; /* on which peers reach this process */
	const char *topic;
	int32_t journal_part;
	const char *producer;
	int64_t epoch; /* of the claim; the fencing token of all orders */
	int64_t claimed_ms; /* when the claim was sent, by clock_ms */
	int64_t claim_count;
	int64_t next_sequence;
	bool previous_holder_may_act; /* it may still give orders */
	bool previous_holder_ended; /* it ended without releasing the claim */
	GHashTable *records; /* key to GBytes, as read from the journal */
	/*
	 * The monotonic clock. It is read when an answer is processed: a reading
	 * of an upstream's clock that is dated too early makes the upstream's
	 * lease look expired while it still runs tasks.
	 */
	int64_t (*clock_ms)(void);
	int64_t wall_ms;
	/* Called once, when another holder has a higher fencing token. */
	void (*on_lost)(const char *why, void *client_data);
	void *client_data;
} wwh_job_holder_options_t;

typedef struct wwh_job_holder wwh_job_holder_t;

wwh_job_holder_t *wwh_job_holder_new(const wwh_job_holder_options_t *options);
void wwh_job_holder_delete(wwh_job_holder_t *holder);

void wwh_job_holder_set_config(wwh_job_holder_t *holder,
			       const wwh_job_config_t *config);
/* Applies a wave order of the operator; an unreadable order is ignored. */
void wwh_job_holder_apply_wave(wwh_job_holder_t *holder, const char *key,
			       const uint8_t *value, size_t size);

/*
 * Returns whether a job belongs to a workspace other than the given one; false
 * where either is unknown.
 */
bool wwh_job_holder_owned_by_other(const wwh_job_holder_t *holder,
				   const char *id, const char *workspace);

/* Takes ownership of job. */
void wwh_job_holder_submit(wwh_job_holder_t *holder, wwh_job_t *job,
			   wwh_job_answered_t done, void *client_data);
/*
 * workspace: of the caller; NULL: none. A job that isn't known is answered
 * WWH_JOB_ANSWER_NO_JOB, once a tombstone of it is stored.
 */
void wwh_job_holder_cancel(wwh_job_holder_t *holder, const char *id,
			   const char *workspace, wwh_job_answered_t done,
			   void *client_data);
void wwh_job_holder_query_state(wwh_job_holder_t *holder, const char *id,
				wwh_job_answered_t done, void *client_data);
void wwh_job_holder_query_pending(wwh_job_holder_t *holder, const char *queue,
				  wwh_job_answered_t done, void *client_data);

/*
 * suspended: the process was not scheduled for a while and may have been
 * replaced. The holder then gives no orders until the store has confirmed its
 * claim again.
 */
void wwh_job_holder_run(wwh_job_holder_t *holder, int64_t now_ms,
			int64_t wall_ms, bool suspended);

/*
 * Logs that the shard is lost, and how long ago the holder last knew that it
 * held the shard, ordered a start and extended a lease.
 */
void wwh_job_holder_log_loss(const wwh_job_holder_t *holder, const char *why,
			     int64_t now_ms);

/*
 * overloaded: the caller's event loop can't keep up. Unanswered calls are then
 * no sign of a failure of the receiver, as the holder may read answers late.
 */
void wwh_job_holder_set_overloaded(wwh_job_holder_t *holder, bool overloaded);

/* Another process reports that it can make calls to upstreams. */
void wwh_job_holder_handle_hello(wwh_job_holder_t *holder,
				 const wwh_relay_hello_t *hello);

/*
 * Processor time that the caller's process has used in a time. While it is
 * much, other processes make calls to upstreams if the settings allow it.
 */
void wwh_job_holder_add_load(wwh_job_holder_t *holder, int64_t elapsed_us,
			     int64_t busy_us);

/*
 * Returns whether the holder knows more upstreams than a new holder can poll
 * before their leases expire. A change of holder then ends lasting tasks and
 * takes seconds.
 */
bool wwh_job_holder_is_large(const wwh_job_holder_t *holder);

/* How long the caller may wait for events between two wwh_job_holder_run. */
int32_t wwh_job_holder_wait_ms(const wwh_job_holder_t *holder);

/*
 * While paused, hosts get no new orders: a holder that keeps giving orders
 * would never become quiescent.
 */
/* The shard is probably handed over soon; refusals say so. */
void wwh_job_holder_set_handing_over(wwh_job_holder_t *holder,
				     bool handing_over);
void wwh_job_holder_pause_duties(wwh_job_holder_t *holder, bool paused);

/* Returns whether at least one order to a host is unanswered. */
bool wwh_job_holder_host_orders_pending(const wwh_job_holder_t *holder);

/*
 * Returns whether the claim may be released: no record is unwritten, no request
 * waits for one, and no order to a host is in flight. The next holder gives its
 * orders at once, so an order that arrives late would take one host too many
 * down. Also true once the claim is lost.
 */
bool wwh_job_holder_is_quiescent(const wwh_job_holder_t *holder);

/*
 * Returns whether the store has confirmed the claim so recently that no other
 * holder can have accepted a job since.
 */
bool wwh_job_holder_claim_confirmed(const wwh_job_holder_t *holder,
				    int64_t now_ms);

/*
 * Returns whether the store has accepted no append of this holder for longer
 * than a call takes. It may serve other processes meanwhile, one of which could
 * accept jobs. An overloaded process reads answers late, so only explicit
 * refusals count there.
 */
bool wwh_job_holder_rejected_by_store(const wwh_job_holder_t *holder,
				      int64_t now_ms, bool overloaded);

/*
 * Returns whether appends have succeeded recently, so that this holder can
 * accept jobs.
 */
bool wwh_job_holder_reaches_store(const wwh_job_holder_t *holder,
				  int64_t now_ms);

void wwh_job_holder_dump(wwh_job_holder_t *holder, GString *out);

#endif
