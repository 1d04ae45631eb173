#ifndef WAXWINGHOLLOW_LISTENER_H
#define WAXWINGHOLLOW_LISTENER_H

/*
 * NAME
 *	listener - HTTP listener on ulfius that passes requests on unmodified
 *
 * USE
 *	The handler runs on the connection's own thread and may block. It
 *	receives the request as it was sent: raw target, all headers in order,
 *	complete body. The listener works around these properties of ulfius:
 *	 - its parsed maps decode, fold and drop values; the headers are read
 *	   from the connection itself;
 *	 - it silently truncates a body at its limit; here a longer one is
 *	   answered 413;
 *	 - its stop resets requests in progress; see wwh_listener_drain;
 *	 - it starts a thread for each connection, without a limit; here the
 *	   number of connections is limited, and above max_requests a request
 *	   is answered 503 at once.
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
	const char *name; /* prefix of the listener's counters */
	const char *address; /* IPv4 address */
	int32_t port; /* 0: any free port */
	int32_t max_requests; /* in progress; further ones are answered 503 */
	int32_t max_connections; /* open; further ones are not accepted */
	int32_t thread_stack_kb;
	int32_t idle_timeout_s; /* an inactive connection is then closed */
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

/* Requests being read or handled, or whose response is being written. */
int32_t wwh_listener_requests_in_progress(wwh_listener_t *listener);

/*
 * Stops accepting connections and waits for at most timeout_ms until the
 * responses to all requests in progress have been written; then closes the
 * remaining connections. Returns the number of requests that were cut off.
 */
int32_t wwh_listener_drain(wwh_listener_t *listener, int64_t timeout_ms);
void wwh_listener_delete(wwh_listener_t *listener);

/* Sets the status, headers and JSON body of response for an error kind. */
void wwh_listener_set_error(wwh_http_response_t *response,
			    wwh_error_kind_t kind, int64_t retry_after_ms);
/*
 * The same, with a wait that was observed also for kinds whose Retry-After is
 * otherwise fixed, which is then the least.
 */
void wwh_listener_set_observed_error(wwh_http_response_t *response,
				     wwh_error_kind_t kind,
				     int64_t retry_after_ms);

#endif
