#ifndef WAXWINGHOLLOW_HTTP_CALLS_H
#define WAXWINGHOLLOW_HTTP_CALLS_H

/*
 * NAME
 *	http_calls - many HTTP calls at once from one thread
 *
 * USE
 *	wwh_http_calls_send starts a call and returns. The callback of the call
 *	runs exactly once, in wwh_http_calls_poll, whatever the outcome.
 *	Connections are persistent: a few for each endpoint are pooled and
 *	reused.
 *
 *	The outcome says whether the receiver may have handled the request:
 *	after REFUSED and NOT_SENT it certainly did not; after NO_ANSWER it may
 *	have done so, or may still do so later.
 *
 *	Every call has a timeout that includes connecting. A connection on
 *	which a call timed out is not reused: connections can stop delivering
 *	data for good without an error while new ones work.
 *
 * ORDER OF CALLS
 *	wwh_http_calls_new; wwh_http_calls_send and wwh_http_calls_poll by one
 *	thread; wwh_http_calls_wake by any; wwh_http_calls_delete, which runs
 *	the callbacks of the calls in progress with NO_ANSWER. These callbacks
 *	must not send calls.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"

#define WWH_HTTP_CALL_HEADERS 4

typedef enum {
	WWH_CALL_ANSWERED = 0,
	WWH_CALL_REFUSED, /* connection refused; not sent */
	WWH_CALL_NOT_SENT, /* no connection in time, or a bad endpoint */
	WWH_CALL_NO_ANSWER, /* sent at least in part; then timed out or closed */
	WWH_CALL_OUTCOME_COUNT
} wwh_call_outcome_t;

/* Names of wwh_call_outcome_t, in the same order. */
extern const char *const wwh_call_outcome_names[WWH_CALL_OUTCOME_COUNT];

/*
 * A request to be sent. A call owns its strings and its body, but not its
 * method, content type and header names.
 */
typedef struct {
	const char *method; /* GET, POST or DELETE */
	char *endpoint; /* IPv4 address and port */
	char *path; /* including the query */
	const char *content_type; /* NULL: no Content-Type header */
	GByteArray *body; /* NULL: no body */
	const char *header_names[WWH_HTTP_CALL_HEADERS]; /* NULL: unused */
	char *header_values[WWH_HTTP_CALL_HEADERS];
	int64_t timeout_ms;
	int64_t send_timeout_ms; /* not sent after this time; 0: timeout_ms */
	bool has_priority; /* its answer is read before those of other calls */
} wwh_http_call_t;

typedef struct {
	wwh_call_outcome_t outcome;
	int32_t status;
	const uint8_t *body; /* valid while the callback runs */
	size_t body_size;
	int64_t retry_after_s; /* Retry-After; -1: absent or not a number */
} wwh_http_answer_t;

typedef void (*wwh_http_done_t)(const wwh_http_answer_t *answer,
				void *client_data);

typedef struct wwh_http_calls wwh_http_calls_t;

wwh_http_calls_t *wwh_http_calls_new(wwh_counters_t *counters);
void wwh_http_calls_delete(wwh_http_calls_t *calls);

wwh_http_call_t *wwh_http_call_new(const char *method, const char *endpoint,
				   int64_t timeout_ms);
/*
 * Adds a header, of at most WWH_HTTP_CALL_HEADERS. The call copies value, but
 * not name, which has to outlive it.
 */
void wwh_http_call_add_header(wwh_http_call_t *call, const char *name,
			      const char *value);
void wwh_http_call_delete(wwh_http_call_t *call);

/* Takes ownership of call. client_data is passed to done unchanged. */
void wwh_http_calls_send(wwh_http_calls_t *calls, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data);

/* Waits up to wait_ms for an event, then runs the callbacks of ended calls. */
void wwh_http_calls_poll(wwh_http_calls_t *calls, int32_t wait_ms);

/* Returns the number of calls whose callback hasn't run. */
int32_t wwh_http_calls_in_progress(const wwh_http_calls_t *calls);

/* Makes wwh_http_calls_poll return from its wait. */
void wwh_http_calls_wake(wwh_http_calls_t *calls);

#endif
