#ifndef WAXWINGHOLLOW_RELAY_SERVICE_H
#define WAXWINGHOLLOW_RELAY_SERVICE_H

/*
 * NAME
 *	relay_service - carries out a holder's orders on another entry host
 *
 * USE
 *	Connects relay_executor to a process's listener for its peers and to its
 *	event loop. The listener's threads pass batches to the loop, which makes
 *	the calls; the results wait for a request of the holder. A request that
 *	finds none waits for at most wait_ms, and for gather_ms after the first
 *	one, so that a message carries several.
 *
 * LOAD
 *	As relay_executor. Each holder has one request of each kind open.
 *
 * ORDER OF CALLS
 *	wwh_relay_service_new; wwh_relay_service_handle by any thread;
 *	wwh_relay_service_run, wwh_relay_service_take_hello,
 *	wwh_relay_service_raise_epoch and wwh_relay_service_stop by the thread that polls calls;
 *	wwh_relay_service_close; wwh_relay_service_delete after the calls have
 *	been deleted and the listener has been drained.
 */

#include "waxwinghollow/http_calls.h"
#include "waxwinghollow/http_message.h"
#include "waxwinghollow/relay_executor.h"

#define WWH_RELAY_ORDERS_PATH "/v1/relay/orders"
#define WWH_RELAY_RESULTS_PATH "/v1/relay/results"
#define WWH_RELAY_HELLO_PATH "/v1/relay/hello"
#define WWH_RELAY_CONTENT_TYPE "application/msgpack"

typedef struct {
	wwh_http_calls_t *calls;
	wwh_counters_t *counters;
	/* A monotonic clock that includes time in which the host is suspended. */
	int64_t (*clock_ms)(void);
	int64_t gather_ms;
	int64_t wait_ms;
	wwh_relay_executor_options_t executor; /* incarnation is set by new */
} wwh_relay_service_options_t;

typedef struct wwh_relay_service wwh_relay_service_t;

wwh_relay_service_options_t wwh_relay_service_options_defaults(void);
wwh_relay_service_t *
wwh_relay_service_new(const wwh_relay_service_options_t *options);
void wwh_relay_service_delete(wwh_relay_service_t *service);

/* Random, so that no two processes at one address have the same. */
int64_t wwh_relay_service_incarnation(const wwh_relay_service_t *service);

/* Returns false if the request isn't for this module. */
bool wwh_relay_service_handle(wwh_relay_service_t *service,
			      const wwh_http_request_t *request,
			      wwh_http_response_t *response);

/* Sends the orders that have been accepted. */
void wwh_relay_service_run(wwh_relay_service_t *service);

/* Returns false if no hello was received that wasn't taken yet. */
bool wwh_relay_service_take_hello(wwh_relay_service_t *service,
				  wwh_relay_hello_t *hello);

/* See wwh_relay_executor_raise_epoch. */
void wwh_relay_service_raise_epoch(wwh_relay_service_t *service, int64_t epoch);

/* From now on orders are refused; those in flight are completed. */
void wwh_relay_service_stop(wwh_relay_service_t *service);
bool wwh_relay_service_is_idle(wwh_relay_service_t *service);

/* Answers the requests that wait. Further ones don't wait. */
void wwh_relay_service_close(wwh_relay_service_t *service);

#endif
