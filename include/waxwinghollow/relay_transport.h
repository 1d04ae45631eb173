#ifndef WAXWINGHOLLOW_RELAY_TRANSPORT_H
#define WAXWINGHOLLOW_RELAY_TRANSPORT_H

/*
 * NAME
 *	relay_transport - sends the holder's calls to upstreams, directly or by
 *	relays
 *
 * USE
 *	Takes calls as wwh_http_calls_send does, and runs their callbacks with
 *	the same outcomes. While relay_switch is off, each call is sent
 *	directly. While it is on, a call goes to the relay that relay_assign
 *	names; if that is full or unusable, the call is sent directly.
 *
 *	A relay has at most one batch and one request for results open. Orders
 *	wait for gather_ms, and for the answer to the previous batch, so that a
 *	slow relay gets larger batches instead of more. A relay that doesn't
 *	answer in time counts as lost: its orders in flight have no answer,
 *	and it gets no others for some seconds. Orders that a relay certainly
 *	didn't send are sent directly.
 *
 * LOAD
 *	As relay_assign and relay_switch.
 *
 * ORDER OF CALLS
 *	wwh_relay_transport_new; the others in the thread that polls calls;
 *	wwh_relay_transport_delete, which runs the callbacks of relayed calls.
 */

#include "waxwinghollow/event_log.h"
#include "waxwinghollow/http_calls.h"
#include "waxwinghollow/relay_assign.h"
#include "waxwinghollow/relay_codec.h"
#include "waxwinghollow/relay_queue.h"
#include "waxwinghollow/relay_switch.h"

typedef struct {
	wwh_http_calls_t *calls;
	wwh_counters_t *counters;
	wwh_event_log_t *log; /* NULL: none */
	const char *self; /* own address, which is no relay; copied */
	int64_t epoch;
	/* A monotonic clock that includes time in which the host is suspended. */
	int64_t (*clock_ms)(void);
	int64_t gather_ms;
	int64_t batch_timeout_ms;
	int64_t results_wait_ms; /* for which a relay may hold a request */
	int64_t block_ms; /* for which a lost relay gets no orders */
	wwh_relay_assign_options_t assign;
	wwh_relay_switch_options_t load;
	wwh_relay_queue_options_t queue;
	/* Called when a relay serves a holder with a higher epoch. */
	void (*on_fenced)(void *client_data);
	void *client_data;
} wwh_relay_transport_options_t;

typedef struct wwh_relay_transport wwh_relay_transport_t;

wwh_relay_transport_options_t wwh_relay_transport_options_defaults(void);
wwh_relay_transport_t *
wwh_relay_transport_new(const wwh_relay_transport_options_t *options);
void wwh_relay_transport_delete(wwh_relay_transport_t *transport);

/* A relay has reported itself. */
void wwh_relay_transport_hello(wwh_relay_transport_t *transport,
			       const wwh_relay_hello_t *hello);

/* See wwh_relay_switch_add; the transport counts the relayed orders itself. */
void wwh_relay_transport_add_load(wwh_relay_transport_t *transport,
				  int64_t elapsed_us, int64_t busy_us);

/* Takes ownership of call. */
void wwh_relay_transport_send(wwh_relay_transport_t *transport,
			      wwh_http_call_t *call, wwh_http_done_t done,
			      void *client_data);

/*
 * To be called in each turn of the loop. may_send: the holder may give orders;
 * otherwise the orders that wait are kept until they expire.
 */
void wwh_relay_transport_run(wwh_relay_transport_t *transport, bool may_send);

void wwh_relay_transport_dump(const wwh_relay_transport_t *transport,
			      GString *out);

#endif
