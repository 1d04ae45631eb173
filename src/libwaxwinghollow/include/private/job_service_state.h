#ifndef WAXWINGHOLLOW_PRIVATE_JOB_SERVICE_STATE_H
#define WAXWINGHOLLOW_PRIVATE_JOB_SERVICE_STATE_H

/*
 * What the modules of job_service share. Listeners call job_service_http,
 * which hands requests to job_service_queue; job_service_loop takes them from
 * there and answers them by the holder or a peer. job_service_events is called
 * back from within the loop by what it watches: the operator's records and who
 * holds the shard.
 */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/event_log.h"
#include "waxwinghollow/job_holder.h"
#include "waxwinghollow/job_service.h"
#include "waxwinghollow/listener.h"
#include "waxwinghollow/loop_lag.h"
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

/* Shared by the listener's thread and the loop; the last one frees it. */
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
	wwh_job_t *job; /* of a submission; the holder takes it over */
	bool from_peer; /* isn't passed on again */
	int64_t limit_ms; /* how long the caller waits */
} job_request_t;

struct wwh_job_service {
	GMutex lock; /* of config, settings_next, the flags below */
	wwh_host_settings_t settings; /* of the loop's thread */
	wwh_host_settings_t *settings_next; /* to be taken up by the loop */
	wwh_job_config_t *config;
	int64_t config_unread_ms; /* the store doesn't answer since; 0: it does */
	GHashTable *waves; /* key to GBytes; of the loop's thread */
	int64_t keys_fail_after_ms; /* that long; 0: they don't */
	bool stopping;
	bool holds;
	bool claims; /* the shard; it may hold it soon */
	bool reaches_store; /* while it holds the shard */
	bool yields; /* the same; hands it over when asked for */
	bool turned_away; /* the same; only to one that the store serves */
	bool asked_for; /* by its successor, since it yields */
	bool handed_over; /* since it held the shard last */
	bool handed_over_early; /* the same, with orders to hosts out */
	bool orders_hosts; /* has orders to hosts on their way */
	wwh_counters_t *counters;
	/* How long callers waited for their answers, by what they asked. */
	wwh_histogram_t *answer_ms[JOB_REQUEST_KIND_COUNT];
	wwh_counter_t *unauthorized; /* requests without a key in force */
	wwh_event_log_t *log;
	wwh_bad_records_t *bad_orders; /* of the operator */
	wwh_bad_records_t *bad_claims; /* of the shard's holders */
	wwh_listener_t *callers;
	wwh_listener_t *readiness;
	wwh_listener_t *peers;
	GThread *thread;
	GAsyncQueue *requests; /* job_request_t for the loop */
	wwh_http_calls_t *calls;
	wwh_shard_claim_t *claim;
	wwh_store_follower_t *operator_records;
	wwh_job_holder_t *holder;
	wwh_job_holder_t *lost_holder; /* to be deleted by the loop */
	char *self; /* address for peers */
	char *holder_address; /* NULL: nobody holds the shard */
	bool ending; /* the loop ends once all is settled */
	int64_t last_run_ms;
	int64_t asked_for_ms; /* handing over since; 0: it isn't */
	wwh_loop_lag_t *lag; /* of its loop, while it holds the shard */
	wwh_histogram_t *overrun_ms; /* of its turns */
	wwh_counter_t *calls_sent;
	wwh_counter_t *starts; /* among them */
	int64_t requests_taken; /* by the loop */
	int64_t work_counted; /* of all three, in lag */
	int64_t turn_begun_ms; /* 0: it doesn't hold it */
	int64_t turn_wait_ms; /* what that turn wanted to wait */
	int64_t slept_ms; /* of suspensions so far */
	GHashTable *forwards; /* job_forward_t on their way; of the loop */
	bool ended; /* nobody answers requests any more */
	int64_t give_up_ms; /* stopping: all is answered by then */
};

/* A caller's call, and the queue that it names. */
typedef struct {
	wwh_job_service_t *service;
	const wwh_http_request_t *http;
	const wwh_job_config_t *config;
	const wwh_queue_t *queue;
	const char *path;
	const char *rest; /* of the path, behind the queue's prefix */
	const char *workspace; /* of its API key; NULL: it needs none */
} job_call_t;

/* A request on its way to the holder. */
typedef struct {
	wwh_job_service_t *service;
	job_request_t *request; /* NULL: was answered without the holder */
} job_forward_t;

/* job_service_clock.c: a steady clock that goes on while suspended, and the time */
int64_t job_service_now_ms(void);
int64_t job_service_wall_ms(void);

/* job_service_loop.c: of a thread of its own */
gpointer job_service_run_loop(gpointer service);

/* job_service.c: of the settings, for the listeners' threads */
void job_service_set_key_limit(wwh_job_service_t *service);

/* job_service_events.c: begins to watch; also when the store is another one */
void job_service_make_calls(wwh_job_service_t *service);
/* The holder is to be deleted by the loop. False: there is none. */
bool job_service_drop_holder(wwh_job_service_t *service, const char *why);

/* job_service_queue.c */
job_request_t *job_request_new(job_request_kind_t kind);
void job_request_unref(job_request_t *request);
/* Of a listener's thread: waits for the answer or the caller's deadline. */
wwh_job_answer_t job_service_ask(wwh_job_service_t *service,
				 job_request_t *request);
/* Of the loop. */
void job_service_take_requests(wwh_job_service_t *service);
/*
 * Of the loop, or after its end: answers all that is left, and all that comes
 * from now on. May be called again.
 */
void job_service_end_requests(wwh_job_service_t *service);
void job_request_answer(const wwh_job_answer_t *answer, void *request);

/* job_service_access.c: false: the response says why not */
bool job_service_authenticate(job_call_t *call, wwh_http_response_t *response);

/* job_service_http.c */
void job_service_on_caller(const wwh_http_request_t *request,
			   wwh_http_response_t *response, void *client_data);
void job_service_on_readiness(const wwh_http_request_t *request,
			      wwh_http_response_t *response, void *client_data);
void job_service_on_peer(const wwh_http_request_t *request,
			 wwh_http_response_t *response, void *client_data);

/* job_service_peer.c: requests between processes */
void job_service_forward(wwh_job_service_t *service, job_request_t *request);
bool job_service_peer_request(const wwh_http_request_t *http,
			      job_request_t **request);
void job_service_peer_answer(const wwh_job_answer_t *answer,
			     wwh_http_response_t *response);

#endif
