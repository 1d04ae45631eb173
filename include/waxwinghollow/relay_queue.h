#ifndef WAXWINGHOLLOW_RELAY_QUEUE_H
#define WAXWINGHOLLOW_RELAY_QUEUE_H

/*
 * NAME
 *	relay_queue - the holder's orders at one relay
 *
 * USE
 *	Collects orders into batches and keeps those in flight until their
 *	result, their deadline or the loss of the relay. The callback of each
 *	order runs exactly once, unless the order is returned to the owner: it
 *	certainly wasn't and won't be sent by the relay, as it was never part of
 *	a batch, its batch certainly didn't reach the relay, or the relay refused
 *	it. The owner sends it itself; if an order that wasn't sent counted as a
 *	failure of its upstream, a full relay would have all of its upstreams
 *	avoided. An order in flight without a result gets WWH_CALL_NO_ANSWER.
 *
 *	Expiry times are by the relay's clock: its last known reading plus the
 *	time since that was received. As the reading was taken before, this is
 *	at most the relay's time, so a delayed batch expires early, not late.
 *	Without a recent reading no batch is made. Does no input or output.
 *
 * LOAD
 *	Some hundred orders in flight; more than max_orders or max_bytes aren't
 *	accepted, and the owner sends those itself.
 *
 * ORDER OF CALLS
 *	wwh_relay_queue_new; wwh_relay_queue_set_clock before the first batch;
 *	the others in any order, also from callbacks; wwh_relay_queue_delete,
 *	which ends all orders.
 */

#include <glib.h>

#include "waxwinghollow/relay_codec.h"

typedef struct {
	int32_t max_orders; /* waiting and in flight */
	int64_t max_bytes;
	int64_t max_batch_bytes;
	int64_t max_send_ms; /* an order is sent within this time or not at all */
	int64_t answer_margin_ms; /* for the way of a result to the holder */
	int64_t clock_max_age_ms; /* of a reading of the relay's clock */
} wwh_relay_queue_options_t;

typedef struct {
	wwh_http_call_t *call;
	wwh_http_done_t done;
	void *client_data;
} wwh_relay_queue_order_t;

typedef struct wwh_relay_queue wwh_relay_queue_t;

wwh_relay_queue_options_t wwh_relay_queue_options_defaults(void);
wwh_relay_queue_t *
wwh_relay_queue_new(const wwh_relay_queue_options_t *options);
void wwh_relay_queue_delete(wwh_relay_queue_t *queue);

/*
 * A reading of the relay's clock, received at now_ms. If the incarnation has
 * changed, the orders in flight have no answer.
 */
void wwh_relay_queue_set_clock(wwh_relay_queue_t *queue, int64_t incarnation,
			       int64_t clock_ms, int64_t now_ms);

/* Takes ownership of call unless it returns false: the queue is full. */
bool wwh_relay_queue_add(wwh_relay_queue_t *queue, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data,
			 int64_t now_ms);

/* Orders that wait for a batch or were returned. */
int32_t wwh_relay_queue_waiting(const wwh_relay_queue_t *queue);
int32_t wwh_relay_queue_in_flight(const wwh_relay_queue_t *queue);
/* When the oldest waiting order was added; 0: none. */
int64_t wwh_relay_queue_waiting_since_ms(const wwh_relay_queue_t *queue);

/*
 * Returns the next batch and its number, or NULL if no order waits or the
 * relay's clock isn't known.
 */
GByteArray *wwh_relay_queue_take_batch(wwh_relay_queue_t *queue, int64_t epoch,
				       int64_t now_ms, int64_t *number);

/*
 * The relay certainly carries out no order of that batch: they are returned to
 * the owner.
 */
void wwh_relay_queue_batch_refused(wwh_relay_queue_t *queue, int64_t number);

/*
 * Returns false if no order with that id is in flight. An order that the relay
 * didn't try to send is returned to the owner.
 */
bool wwh_relay_queue_handle_result(wwh_relay_queue_t *queue,
				   const wwh_relay_result_t *result);

/* The relay is gone: orders in flight have no answer. */
void wwh_relay_queue_lose(wwh_relay_queue_t *queue);

/* Returns the orders that wait to the owner. */
void wwh_relay_queue_return_waiting(wwh_relay_queue_t *queue);

/*
 * Takes an order that was returned and certainly wasn't sent, for the owner to
 * send it another way; its call's time limits are what is left of them. Returns
 * false if there is none.
 */
bool wwh_relay_queue_take_returned(wwh_relay_queue_t *queue, int64_t now_ms,
				   wwh_relay_queue_order_t *order);

/*
 * Ends orders past their deadline, and returns those to the owner that have
 * waited for too long. Returns the number without an answer.
 */
int32_t wwh_relay_queue_run(wwh_relay_queue_t *queue, int64_t now_ms);

#endif
