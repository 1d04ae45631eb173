#ifndef WAXWINGHOLLOW_UPSTREAM_H
#define WAXWINGHOLLOW_UPSTREAM_H

/*
 * NAME
 *	upstream - HTTP client that sends requests to minions over pooled
 *	connections
 *
 * USE
 *	wwh_upstream_send blocks the calling thread until the minion's complete
 *	answer was received, the deadline has passed or the caller has
 *	disconnected. It sends the request at most once; for a retry it is
 *	called again.
 *
 *	Idle connections are pooled by minion address. A thread acquires a
 *	connection, has exclusive use of it and releases it, so the number of
 *	connections to a minion is the number of threads that call it at once,
 *	and never exceeds the limit given with the request.
 *
 * OUTCOMES
 *	If "sent" is false, no byte of the request left this process.
 *	Only complete answers are returned: Content-Length bytes or the last
 *	chunk were received, or the status has no body.
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
	WWH_UPSTREAM_REFUSED, /* by the minion, which didn't run the request */
	WWH_UPSTREAM_NO_CONNECTION, /* not sent */
	WWH_UPSTREAM_NO_ROOM, /* connection limit reached; not sent */
	WWH_UPSTREAM_DEADLINE,
	WWH_UPSTREAM_LOST, /* the connection ended before an answer */
	/* The answer was cut short, or its end can't be verified. */
	WWH_UPSTREAM_TRUNCATED,
	WWH_UPSTREAM_TOO_LARGE,
	WWH_UPSTREAM_CALLER_GONE,
	WWH_UPSTREAM_OUTCOME_COUNT
} wwh_upstream_outcome_t;

/* Names of wwh_upstream_outcome_t, in the same order. */
extern const char *const wwh_upstream_outcome_names[WWH_UPSTREAM_OUTCOME_COUNT];

typedef struct {
	int32_t connect_timeout_ms;
	int32_t idle_limit_ms; /* idle connections are closed after this */
	int64_t max_header_bytes; /* of an answer */
	bool allow_resend; /* libcurl's automatic resend; only for tests */
} wwh_upstream_options_t;

typedef struct {
	const char *address; /* IP address */
	int32_t port;
	const wwh_http_request_t *http;
	int64_t timeout_ms;
	int64_t max_answer_bytes;
	int32_t max_connections; /* of this process to this minion */
} wwh_upstream_request_t;

typedef struct {
	wwh_upstream_outcome_t outcome;
	bool sent; /* a byte of the request may have left */
	bool minion_leaving; /* the minion's answer says that it shuts down */
	bool connection_silent; /* reused connection, no byte received */
	int64_t retry_after_ms; /* the minion's Retry-After; -1: none */
	int64_t elapsed_ms;
	wwh_http_response_t response; /* valid for WWH_UPSTREAM_ANSWERED */
} wwh_upstream_answer_t;

typedef struct wwh_upstream wwh_upstream_t;

wwh_upstream_options_t wwh_upstream_options_defaults(void);
wwh_upstream_t *wwh_upstream_new(const wwh_upstream_options_t *options,
				 wwh_counters_t *counters);
void wwh_upstream_delete(wwh_upstream_t *upstream);

/* Always initializes answer; the caller clears answer->response. */
void wwh_upstream_send(wwh_upstream_t *upstream,
		       const wwh_upstream_request_t *request,
		       wwh_upstream_answer_t *answer);

/* Closes connections past their idle limit; call about once a second. */
void wwh_upstream_sweep(wwh_upstream_t *upstream);

/*
 * Closes all idle connections: called when this process's share of the
 * connections shrinks, so that pooled ones don't exceed the new share.
 */
void wwh_upstream_close_idle(wwh_upstream_t *upstream);

/* Number of connections to a minion, in use and idle. */
int32_t wwh_upstream_connections(wwh_upstream_t *upstream, const char *address,
				 int32_t port);

#endif
