#ifndef WAXWINGHOLLOW_PRIVATE_JOB_SERVICE_STATE_H
#define WAXWINGHOLLOW_PRIVATE_JOB_SERVICE_STATE_H

/*
 * State shared by the modules of job_service. Listeners call job_service_http,
 * which passes requests to job_service_queue. job_service_loop removes them
 * from the queue and has them answered by the holder or a peer.
 * job_service_retry tries submissions again while the holder changes.
 * job_service_relay makes calls to upstreams for a holder in another process.
 * job_service_events handles callbacks that the loop makes for changes of the
 * operator's records and of the shard's holder.
 */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/event_log.h"
#include "waxwinghollow/job_holder.h"
#include "waxwinghollow/job_service.h"
#include "waxwinghollow/listener.h"
#include "waxwinghollow/loop_lag.h"
#include "waxwinghollow/outage.h"
#include "waxwinghollow/relay_service.h"
#include "waxwinghollow/shard_claim.h"
#include "waxwinghollow/store_follower.h"

typedef enum {
	JOB_REQUEST_SUBMIT = 0,
	JOB_REQUEST_STATE,
	JOB_REQUEST_CANCEL,
	JOB_REQUEST_PENDING,
	JOB_REQUEST_KIND_COUNT
} job_request_kind_t;

/* Names of job_request_kind_t, in the same order. */
extern const char *const job_request_kind_names[JOB_REQUEST_KIND_COUNT];

/*
 * Shared by the listener's thread and the loop; freed with the last reference.
 */
typedef struct {
	gint references;
	GMutex lock;
	GCond changed;
	bool answered;
	wwh_job_answer_t answer;
	job_request_kind_t kind;
	char id[WWH_JOB_ID_CHARS + 1]; /* of the job; "" for a queue */
	char *queue;
	char *workspace; /* of the caller; NULL: none */
	wwh_job_t *job; /* of a submission; moves to the holder */
	bool from_peer; /* not forwarded again */
	int64_t timeout_ms; /* how long the caller waits */
} job_request_t;

struct wwh_job_service {
	/*
	 * Protects config, pending_settings, and the flags and times below
	 * that listeners' threads use.
	 */
	GMutex lock;
	wwh_host_settings_t settings; /* owned by the loop's thread */
	wwh_host_settings_t *pending_settings; /* for the loop to apply */
	wwh_job_config_t *config;
	/* Since when the configuration can't be read; 0: it can. */
	int64_t config_unread_since_ms;
	wwh_outage_t config_outage; /* none is in force, or keys are stale */
	GHashTable *waves; /* key to GBytes; used by the loop's thread */
	/*
	 * API keys are rejected once the configuration has been unreadable for
	 * this long; 0: never.
	 */
	int64_t keys_fail_after_ms;
	bool stopping;
	bool holds_shard;
	bool claims_shard; /* a claim is in progress */
	bool reaches_store; /* the store accepts this holder's records */
	bool yields_shard; /* the holder hands the shard over on request */
	bool rejected_by_store; /* the store rejects this holder's records */
	bool handover_requested; /* by the successor of a holder that yields */
	bool handed_over; /* the shard, and no claim by this process since */
	bool handed_over_early; /* host orders were pending at that time */
	bool host_orders_pending; /* the holder's orders to hosts */
	wwh_counters_t *counters;
	/* Time until callers were answered, by kind of request. */
	wwh_histogram_t *answer_ms[JOB_REQUEST_KIND_COUNT];
	wwh_counter_t *unauthorized; /* requests without a valid API key */
	wwh_event_log_t *log;
	wwh_bad_records_t *bad_operator_records;
	wwh_bad_records_t *bad_claims; /* by holders of the shard */
	wwh_listener_t *caller_listener;
	wwh_listener_t *readiness_listener;
	wwh_listener_t *peer_listener;
	GThread *thread;
	GAsyncQueue *requests; /* of job_request_t, for the loop */
	wwh_http_calls_t *calls;
	wwh_shard_claim_t *claim;
	wwh_store_follower_t *operator_records;
	wwh_job_holder_t *holder;
	wwh_job_holder_t *detached_holder; /* to be deleted by the loop */
	char *own_address; /* on which peers reach this process */
	char *holder_address; /* NULL: no known holder */
	wwh_outage_t holder_outage; /* no holder, or it can't be reached */
	bool loop_ending; /* the loop ends once it is quiescent */
	int64_t last_run_ms;
	int64_t handover_requested_ms; /* 0: no hand-over in progress */
	wwh_loop_lag_t *lag; /* of the loop while it holds the shard */
	wwh_histogram_t *overrun_ms; /* turns' excess over their wait */
	wwh_counter_t *calls_sent;
	wwh_counter_t *relayed; /* orders; not counted in calls_sent */
	wwh_counter_t *starts; /* of tasks; counted in calls_sent too */
	int64_t requests_handled;
	int64_t work_reported; /* total work that was added to lag */
	int64_t turn_started_ms; /* 0: not holding the shard */
	int64_t turn_planned_wait_ms; /* how long that turn was to wait */
	int64_t turn_cpu_us; /* of the process until that turn */
	int64_t suspended_ms; /* total time that the host was suspended */
	GHashTable *forwards; /* set of job_forward_t; used by the loop */
	GQueue delayed; /* submissions that are tried again; used by the loop */
	wwh_relay_service_t *relay; /* NULL: relays are off */
	bool hello_in_flight;
	int64_t hello_sent_ms;
	char *hello_sent_to; /* NULL: none was sent */
	bool requests_closed; /* new requests are refused */
	int64_t takeover_ms; /* usual time without a holder; valid then */
	int64_t stop_deadline_ms; /* when a stop aborts requests */
};

/* A caller's HTTP request and the queue that it addresses. */
typedef struct {
	wwh_job_service_t *service;
	const wwh_http_request_t *http;
	const wwh_job_config_t *config;
	const wwh_queue_t *queue;
	const char *path;
	const char *subpath; /* rest of path after the queue's prefix */
	const char *workspace; /* of the API key; NULL: no key was needed */
} job_call_t;

/* A request that was forwarded to the holder. */
typedef struct {
	wwh_job_service_t *service;
	job_request_t *request; /* NULL: answered before the holder did */
} job_forward_t;

/*
 * job_service_clock.c: a monotonic clock that includes time in which the host
 * was suspended, and the time of day.
 */
int64_t job_service_now_ms(void);
int64_t job_service_wall_ms(void);

/* job_service_loop.c: main function of the loop's thread. */
gpointer job_service_run_loop(gpointer service);

/*
 * job_service.c: copies the time limit for API keys from the settings, under
 * the lock, for the listeners' threads.
 */
void job_service_set_key_limit(wwh_job_service_t *service);

/*
 * job_service_events.c: creates the shard claim and the follower of the
 * operator's records, also after the store's address changed.
 */
void job_service_create_store_clients(wwh_job_service_t *service);
/* Detaches the holder, which the loop then deletes. False: no holder. */
bool job_service_detach_holder(wwh_job_service_t *service, const char *why);

/*
 * job_service_relay.c: calls for a holder in another process, and the hellos by
 * which it knows this one
 */
void job_service_make_relay(wwh_job_service_t *service);
void job_service_run_relay(wwh_job_service_t *service, int64_t now_ms,
			   bool stopping);
bool job_service_relay_is_idle(const wwh_job_service_t *service);
/* Processor time of the process. */
int64_t job_service_cpu_us(void);

/* job_service_queue.c */
job_request_t *job_request_new(job_request_kind_t kind);
void job_request_unref(job_request_t *request);
/*
 * For a listener's thread: queues request and waits for its answer until the
 * caller's deadline.
 */
wwh_job_answer_t job_service_execute(wwh_job_service_t *service,
				     job_request_t *request);
/* For the loop: answers or forwards all queued requests, or one. */
void job_service_handle_requests(wwh_job_service_t *service);
void job_service_handle_request(wwh_job_service_t *service,
				job_request_t *request);
/*
 * For the loop, or after its end: answers the requests that are left and makes
 * job_service_execute refuse later ones. May be called repeatedly.
 */
void job_service_abort_requests(wwh_job_service_t *service);
void job_request_answer(const wwh_job_answer_t *answer, void *request);

/*
 * job_service_http.c: the wait of a caller that is refused because of the
 * configuration.
 */
int64_t job_service_config_wait_ms(wwh_job_service_t *service);

/*
 * job_service_access.c: checks the caller's API key and sets call->workspace.
 * Returns false with an error in response if the caller isn't authorized.
 */
bool job_service_authenticate(job_call_t *call, wwh_http_response_t *response);

/* job_service_http.c */
void job_service_on_caller(const wwh_http_request_t *request,
			   wwh_http_response_t *response, void *client_data);
void job_service_on_readiness(const wwh_http_request_t *request,
			      wwh_http_response_t *response, void *client_data);
void job_service_on_peer(const wwh_http_request_t *request,
			 wwh_http_response_t *response, void *client_data);

/*
 * job_service_retry.c: tries submissions again that certainly weren't accepted while
 * the holder changes. job_service_retry_soon returns false if the request is to be
 * refused now.
 *
 * LOAD
 *	All submissions of the second in which a holder hands over.
 */
bool job_service_retry_soon(wwh_job_service_t *service, job_request_t *request);
void job_service_run_retries(wwh_job_service_t *service, int64_t now_ms);
void job_service_abort_retries(wwh_job_service_t *service);

/* job_service_peer.c: requests between processes */
void job_service_forward(wwh_job_service_t *service, job_request_t *request);
bool job_service_parse_peer_request(const wwh_http_request_t *http,
				    job_request_t **request);
void job_service_write_peer_answer(const wwh_job_answer_t *answer,
				   wwh_http_response_t *response);

#endif
