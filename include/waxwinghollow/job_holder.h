#ifndef WAXWINGHOLLOW_JOB_HOLDER_H
#define WAXWINGHOLLOW_JOB_HOLDER_H

/*
 * NAME
 *	job_holder - the process that holds a shard: runs its jobs
 *
 * USE
 *	Joins the scheduler and the host duties, which decide, with the
 *	journal, the upstreams and the platform, which are called. It lives
 *	from a claim until the claim is lost; then all of it is dropped, and
 *	requests that wait for a record end as unknown.
 *
 * ORDER OF CALLS
 *	wwh_job_holder_new; requests and wwh_job_holder_run by the thread of
 *	its http_calls; wwh_job_holder_delete.
 */

#include "waxwinghollow/event_log.h"
#include "waxwinghollow/host_settings.h"
#include "waxwinghollow/http_calls.h"
#include "waxwinghollow/job_config.h"
#include "waxwinghollow/scheduler.h"

typedef enum {
	WWH_JOB_ANSWER_OK = 0,
	WWH_JOB_ANSWER_NO_JOB, /* surely no such job */
	WWH_JOB_ANSWER_NOT_DONE, /* surely without effect */
	WWH_JOB_ANSWER_UNKNOWN, /* may have taken effect, also later */
	WWH_JOB_ANSWER_COUNT
} wwh_job_answer_kind_t;

/* Names of wwh_job_answer_kind_t, in the same order. */
extern const char *const wwh_job_answer_names[WWH_JOB_ANSWER_COUNT];

typedef struct {
	wwh_job_answer_kind_t kind;
	const char *why; /* constant text */
	wwh_job_progress_t state; /* of a question about a job */
	int32_t pending; /* of a question about a queue */
	int64_t retry_after_s; /* when to come back; 0: not said */
} wwh_job_answer_t;

/* Called once for each request. */
typedef void (*wwh_job_answered_t)(const wwh_job_answer_t *answer,
				   void *client_data);

typedef struct {
	const wwh_host_settings_t *settings;
	wwh_http_calls_t *calls;
	wwh_counters_t *counters;
	wwh_event_log_t *log;
	const char *topic;
	int32_t journal_part;
	const char *producer;
	int64_t epoch; /* of the claim: the fencing token of all orders */
	int64_t holder_count;
	int64_t next_sequence;
	bool others_at_work; /* the holder before may still give orders */
	bool others_ended; /* it was found ended, and hadn't given up */
	GHashTable *records; /* key to GBytes, as the journal has them */
	/*
	 * The steady clock. Answers are taken in by the time of their
	 * arrival: a reading of an upstream's clock that is dated too early
	 * makes its lease look over while it still runs tasks.
	 */
	int64_t (*clock_ms)(void);
	int64_t wall_ms;
	/* Another holder has a higher token. */
	void (*on_lost)(const char *why, void *client_data);
	void *client_data;
} wwh_job_holder_options_t;

typedef struct wwh_job_holder wwh_job_holder_t;

wwh_job_holder_t *wwh_job_holder_new(const wwh_job_holder_options_t *options);
void wwh_job_holder_delete(wwh_job_holder_t *holder);

void wwh_job_holder_set_config(wwh_job_holder_t *holder,
			       const wwh_job_config_t *config);
/* An order that can't be read does nothing. */
void wwh_job_holder_apply_wave(wwh_job_holder_t *holder, const char *key,
			       const uint8_t *value, size_t size);

/*
 * Whether a job belongs to another workspace than this one. False where either is
 * unknown.
 */
bool wwh_job_holder_owned_by_other(const wwh_job_holder_t *holder,
				   const char *id, const char *workspace);

/* Takes job over. */
void wwh_job_holder_submit(wwh_job_holder_t *holder, wwh_job_t *job,
			   wwh_job_answered_t done, void *client_data);
void wwh_job_holder_cancel(wwh_job_holder_t *holder, const char *id,
			   wwh_job_answered_t done, void *client_data);
void wwh_job_holder_query_state(wwh_job_holder_t *holder, const char *id,
				wwh_job_answered_t done, void *client_data);
void wwh_job_holder_query_pending(wwh_job_holder_t *holder, const char *queue,
				  wwh_job_answered_t done, void *client_data);

/*
 * suspended: this process stood still for a while. Nothing is ordered then
 * until the store has confirmed the claim again.
 */
void wwh_job_holder_run(wwh_job_holder_t *holder, int64_t now_ms,
			int64_t wall_ms, bool suspended);

/*
 * The loop of the caller can't keep up. Calls without an answer then say nothing
 * of whom they were sent to.
 */
void wwh_job_holder_set_overloaded(wwh_job_holder_t *holder, bool overloaded);

/*
 * It knows more upstreams than a holder can ask before leases run out: a change of
 * holder ends lasting tasks, and takes seconds.
 */
bool wwh_job_holder_is_large(const wwh_job_holder_t *holder);

/* How long the caller of wwh_job_holder_run may wait for the next event. */
int32_t wwh_job_holder_wait_ms(const wwh_job_holder_t *holder);

/*
 * Hosts get no more orders: with new ones all the time the holder would never
 * be settled. stop false: they do again.
 */
void wwh_job_holder_pause_duties(wwh_job_holder_t *holder, bool stop);

/* Orders to hosts are unanswered. */
bool wwh_job_holder_host_orders_pending(const wwh_job_holder_t *holder);

/*
 * Nothing more is to be written before the claim is given up, and no order to
 * a host is on its way: the next holder gives its own at once, and a late one
 * would take down a host too many.
 */
bool wwh_job_holder_is_quiescent(const wwh_job_holder_t *holder);

/* The store has confirmed the claim within the last moments. */
bool wwh_job_holder_claim_confirmed(const wwh_job_holder_t *holder,
				    int64_t now_ms);

/*
 * The store takes nothing from this holder, for longer than a call takes. It may
 * serve others meanwhile, and one of them could accept jobs. An overloaded
 * process is late to read answers, so only rejections tell it of the store.
 */
bool wwh_job_holder_rejected_by_store(const wwh_job_holder_t *holder,
				      int64_t now_ms, bool overloaded);

/* Appends succeed: this holder can accept jobs. */
bool wwh_job_holder_reaches_store(const wwh_job_holder_t *holder,
				  int64_t now_ms);

void wwh_job_holder_dump(wwh_job_holder_t *holder, GString *out);

#endif
