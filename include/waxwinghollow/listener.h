#ifndef WAXWINGHOLLOW_LISTENER_H
#define WAXWINGHOLLOW_LISTENER_H

/*
 * NAME
 *	listener - an HTTP listener on ulfius that keeps requests whole
 *
 * USE
 *	The handler runs on the connection's own thread and may block. It sees
 *	the request as it was sent: raw target, all headers in order, the whole
 *	body. What ulfius would change without a word is closed here:
 *	 - its parsed maps decode, fold and drop; the headers are taken from
 *	   the connection itself;
 *	 - it cuts a body at its limit; here a longer one is answered 413;
 *	 - its stop resets requests in progress; see wwh_listener_drain;
 *	 - it starts a thread a connection without bound; here connections are
 *	   bounded, and above max_requests a request is answered 503 at once.
 *
 * ORDER OF CALLS
 *	wwh_listener_new, wwh_listener_init (listens from then on),
 *	wwh_listener_drain once, wwh_listener_delete.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/error_kind.h"
#include "waxwinghollow/http_message.h"
#include "waxwinghollow/status.h"

typedef void (*wwh_listener_handler_t)(const wwh_http_request_t *request,
				       wwh_http_response_t *response,
				       void *client_data);

typedef struct {
	const char *name; /* prefix of its counters */
	const char *address; /* IP number */
	int32_t port; /* 0: any free one */
	int32_t max_requests; /* at once; above: 503 */
	int32_t max_connections; /* at once; above: not accepted */
	int32_t thread_stack_kb;
	int32_t idle_timeout_s; /* a silent caller's connection is closed */
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	wwh_listener_handler_t handler;
	void *client_data;
} wwh_listener_options_t;

typedef struct wwh_listener wwh_listener_t;

wwh_listener_options_t wwh_listener_options_defaults(void);
wwh_listener_t *wwh_listener_new(const wwh_listener_options_t *options,
				 wwh_counters_t *counters);
wwh_status_t wwh_listener_init(wwh_listener_t *listener,
			       wwh_message_t *message);
int32_t wwh_listener_port(const wwh_listener_t *listener);

/* Requests whose handler is running or whose answer is being written. */
int32_t wwh_listener_busy(wwh_listener_t *listener);

/*
 * Stops accepting, then waits until the last answer of a request in progress
 * has been written or limit_ms has passed; then closes what is left. Returns
 * the number of requests that were cut off.
 */
int32_t wwh_listener_drain(wwh_listener_t *listener, int64_t limit_ms);
void wwh_listener_delete(wwh_listener_t *listener);

/* Fills in response for an error kind: status, headers and JSON body. */
void wwh_listener_set_error(wwh_http_response_t *response,
			    wwh_error_kind_t kind, int64_t retry_after_ms);

#endif
