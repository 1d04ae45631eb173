#ifndef WAXWINGHOLLOW_UPSTREAM_H
#define WAXWINGHOLLOW_UPSTREAM_H

/*
 * NAME
 *	upstream - one request to one minion, over kept connections
 *
 * USE
 *	wwh_upstream_send blocks the calling thread until the minion's whole
 *	answer is there, the deadline has passed or the caller has gone. It
 *	sends the request at most once: whoever wants a retry calls again.
 *
 *	Connections are kept by minion address. A thread takes one out, uses
 *	it alone and puts it back, so the number of connections to a minion
 *	is the number of threads that talk to it at once, and never above
 *	the bound given with the request.
 *
 * OUTCOMES
 *	Where "sent" is false, no byte of the request left this process.
 *	An answer is whole or it is not given: Content-Length reached, the
 *	last chunk seen, or a status that has no body.
 *
 * ORDER OF CALLS
 *	wwh_upstream_new; wwh_upstream_send and wwh_upstream_sweep from any
 *	thread; wwh_upstream_delete when no call is in progress.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/http_message.h"

/* Headers between minions and entry processes. */
#define WWH_HEADER_RUN "Waxwinghollow-Run"
#define WWH_HEADER_MINION_STATE "Waxwinghollow-Minion-State"

typedef enum {
	WWH_UPSTREAM_ANSWERED = 0,
	WWH_UPSTREAM_REFUSED, /* the minion says that it did not run it */
	WWH_UPSTREAM_NO_CONNECTION, /* nothing was sent */
	WWH_UPSTREAM_NO_ROOM, /* at the bound of connections; not sent */
	WWH_UPSTREAM_DEADLINE,
	WWH_UPSTREAM_LOST, /* the connection ended before an answer */
	WWH_UPSTREAM_TRUNCATED, /* or the answer's end can't be verified */
	WWH_UPSTREAM_TOO_LARGE,
	WWH_UPSTREAM_CALLER_GONE,
	WWH_UPSTREAM_OUTCOME_COUNT
} wwh_upstream_outcome_t;

/* Names of wwh_upstream_outcome_t, in the same order. */
extern const char *const wwh_upstream_outcome_names[WWH_UPSTREAM_OUTCOME_COUNT];

typedef struct {
	int32_t connect_timeout_ms;
	int32_t idle_limit_ms; /* unused connections are closed after this */
	int64_t max_header_bytes; /* of an answer */
	bool allow_resend; /* libcurl's own resend; for tests only */
} wwh_upstream_options_t;

typedef struct {
	const char *address; /* IP number */
	int32_t port;
	const wwh_http_request_t *http;
	int64_t timeout_ms;
	int64_t max_answer_bytes;
	int32_t max_connections; /* to this minion, from this process */
} wwh_upstream_request_t;

typedef struct {
	wwh_upstream_outcome_t outcome;
	bool sent; /* a byte of the request may have left */
	bool minion_leaving; /* the minion said so in its answer */
	bool connection_silent; /* no byte came back on a kept connection */
	int64_t retry_after_ms; /* what the minion asked for; -1: nothing */
	int64_t elapsed_ms;
	wwh_http_response_t response; /* set when ANSWERED */
} wwh_upstream_answer_t;

typedef struct wwh_upstream wwh_upstream_t;

wwh_upstream_options_t wwh_upstream_options_defaults(void);
wwh_upstream_t *wwh_upstream_new(const wwh_upstream_options_t *options,
				 wwh_counters_t *counters);
void wwh_upstream_delete(wwh_upstream_t *upstream);

/* answer is always set up; the caller clears answer->response. */
void wwh_upstream_send(wwh_upstream_t *upstream,
		       const wwh_upstream_request_t *request,
		       wwh_upstream_answer_t *answer);

/* Closes connections that were idle for too long; call about once a second. */
void wwh_upstream_sweep(wwh_upstream_t *upstream);

/*
 * Closes all idle connections: called when this process's part of the
 * connections shrinks, so that what is kept doesn't exceed the new part.
 */
void wwh_upstream_close_idle(wwh_upstream_t *upstream);

/* Connections to a minion, in use and idle. */
int32_t wwh_upstream_connections(wwh_upstream_t *upstream, const char *address,
				 int32_t port);

#endif
