#ifndef WAXWINGHOLLOW_HTTP_CALLS_H
#define WAXWINGHOLLOW_HTTP_CALLS_H

/*
 * NAME
 *	http_calls - many HTTP calls at once from one thread
 *
 * USE
 *	wwh_http_calls_send starts a call and returns; its callback runs in
 *	wwh_http_calls_poll, once, whatever becomes of the call. Connections
 *	are kept and used again, a few for each endpoint.
 *
 *	An outcome says what may be concluded: after NOT_SENT the receiver
 *	surely did nothing, after NO_ANSWER it may have, also later.
 *
 *	Every call has a time limit that covers connecting. A connection on
 *	which a call ran into its limit isn't used again: connections can go
 *	silent for good without an error while new ones work.
 *
 * ORDER OF CALLS
 *	wwh_http_calls_new; wwh_http_calls_send and wwh_http_calls_poll by one
 *	thread; wwh_http_calls_wake by any; wwh_http_calls_delete, which calls
 *	back with NO_ANSWER for what is in progress. Nothing may be sent then.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"

#define WWH_HTTP_CALL_HEADERS 4

typedef enum {
	WWH_CALL_ANSWERED = 0,
	WWH_CALL_REFUSED, /* nobody listens at the endpoint; not sent */
	WWH_CALL_NOT_SENT, /* no connection within the limit */
	WWH_CALL_NO_ANSWER, /* sent, perhaps in part; then silence or an end */
	WWH_CALL_OUTCOME_COUNT
} wwh_call_outcome_t;

/* Names of wwh_call_outcome_t, in the same order. */
extern const char *const wwh_call_outcome_names[WWH_CALL_OUTCOME_COUNT];

/* What is to be sent. A call owns its strings and its body. */
typedef struct {
	const char *method; /* GET, POST or DELETE */
	char *endpoint; /* IP number and port */
	char *path; /* with the query */
	const char *content_type; /* NULL: none */
	GByteArray *body; /* NULL: none */
	const char *header_names[WWH_HTTP_CALL_HEADERS]; /* NULL: no more */
	char *header_values[WWH_HTTP_CALL_HEADERS];
	int64_t limit_ms;
	int64_t send_timeout_ms; /* it is sent by then or not at all; 0: limit_ms */
	bool has_priority; /* its answer is read before those of other calls */
} wwh_http_call_t;

typedef struct {
	wwh_call_outcome_t outcome;
	int32_t status;
	const uint8_t *body; /* lives while the callback runs */
	size_t body_size;
	int64_t retry_after_s; /* what the answer asks for; -1: nothing */
} wwh_http_answer_t;

typedef void (*wwh_http_done_t)(const wwh_http_answer_t *answer,
				void *client_data);

typedef struct wwh_http_calls wwh_http_calls_t;

wwh_http_calls_t *wwh_http_calls_new(wwh_counters_t *counters);
void wwh_http_calls_delete(wwh_http_calls_t *calls);

wwh_http_call_t *wwh_http_call_new(const char *method, const char *endpoint,
				   int64_t limit_ms);
/* name has to outlive the call. */
void wwh_http_call_add_header(wwh_http_call_t *call, const char *name,
			      const char *value);
void wwh_http_call_delete(wwh_http_call_t *call);

/* Takes call over. client_data goes to done as it is. */
void wwh_http_calls_send(wwh_http_calls_t *calls, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data);

/* Waits up to wait_ms for something to happen, then runs callbacks. */
void wwh_http_calls_poll(wwh_http_calls_t *calls, int32_t wait_ms);

/* Calls that have begun and whose callback hasn't run. */
int32_t wwh_http_calls_in_progress(const wwh_http_calls_t *calls);

/* Ends a wait in wwh_http_calls_poll. */
void wwh_http_calls_wake(wwh_http_calls_t *calls);

#endif
