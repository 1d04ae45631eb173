#ifndef WAXWINGHOLLOW_RELAY_EXECUTOR_H
#define WAXWINGHOLLOW_RELAY_EXECUTOR_H

/*
 * NAME
 *	relay_executor - what a relay does with a holder's orders
 *
 * USE
 *	Accepts batches, hands out the orders to be sent, and collects the
 *	results for the holder. It serves the holder with the highest epoch. An
 *	order is handed out at most once: a batch that was received before is
 *	ignored, and so is one that is much older than the newest. An order that
 *	is handed out too late by this host's clock, which has to count time in
 *	which the host was suspended, is reported as not sent instead.
 *
 *	An order is reported as not sent only if it certainly wasn't sent. Does
 *	no input or output, and isn't safe for use by several threads.
 *
 * LOAD
 *	Some hundred orders per second on a host with a tenth of a core and
 *	160 MB. Orders beyond the bounds are reported as not sent.
 *
 * ORDER OF CALLS
 *	wwh_relay_executor_new; wwh_relay_executor_accept for each batch;
 *	wwh_relay_executor_next until it returns NULL; wwh_relay_executor_end
 *	once for each order handed out; wwh_relay_executor_write_results;
 *	wwh_relay_executor_delete, when no order is handed out.
 */

#include "waxwinghollow/relay_codec.h"

typedef struct {
	int64_t incarnation; /* of this process, random */
	int32_t max_orders; /* waiting, in flight, or with a result to collect */
	int64_t max_bytes;
	int64_t max_message_bytes; /* of results */
	int64_t result_ttl_ms; /* the holder's order has long ended by then */
} wwh_relay_executor_options_t;

typedef struct {
	int64_t accepted;
	int64_t expired;
	int64_t refused; /* beyond a bound */
	int64_t duplicates; /* batches */
	int64_t old_epochs; /* batches */
} wwh_relay_executor_counts_t;

typedef struct wwh_relay_executor wwh_relay_executor_t;

wwh_relay_executor_options_t wwh_relay_executor_options_defaults(void);
wwh_relay_executor_t *
wwh_relay_executor_new(const wwh_relay_executor_options_t *options);
void wwh_relay_executor_delete(wwh_relay_executor_t *executor);

/*
 * Takes ownership of batch. After another verdict than accepted or duplicate,
 * none of its orders is sent.
 */
wwh_relay_verdict_t wwh_relay_executor_accept(wwh_relay_executor_t *executor,
					      wwh_relay_batch_t *batch,
					      int64_t now_ms);

/*
 * A holder with that epoch is known otherwise, as it is in this process: those
 * with lower ones aren't served any more.
 */
void wwh_relay_executor_raise_epoch(wwh_relay_executor_t *executor,
				    int64_t epoch);

/* The verdict on a request for results. */
wwh_relay_verdict_t
wwh_relay_executor_check(const wwh_relay_executor_t *executor, int64_t epoch);

/*
 * Returns an order to be sent now, with the time limits of its call set, or
 * NULL. The caller owns it.
 */
wwh_relay_order_t *wwh_relay_executor_next(wwh_relay_executor_t *executor,
					   int64_t now_ms);

/* Takes ownership of order, which was handed out. */
void wwh_relay_executor_end(wwh_relay_executor_t *executor,
			    wwh_relay_order_t *order,
			    const wwh_http_answer_t *answer, int64_t now_ms);

/*
 * Appends a message to out with results for the holder with that epoch, and
 * removes them.
 */
void wwh_relay_executor_write_results(wwh_relay_executor_t *executor,
				      wwh_relay_verdict_t verdict,
				      int64_t epoch, int64_t now_ms,
				      GByteArray *out);

/* When the oldest result was added; 0: there is none. */
int64_t
wwh_relay_executor_results_since_ms(const wwh_relay_executor_t *executor);

/* From now on no batch is accepted. */
void wwh_relay_executor_stop(wwh_relay_executor_t *executor);

/* Whether no order waits or is in flight and all results were collected. */
bool wwh_relay_executor_is_idle(const wwh_relay_executor_t *executor);
int32_t wwh_relay_executor_in_flight(const wwh_relay_executor_t *executor);
wwh_relay_executor_counts_t
wwh_relay_executor_counts(const wwh_relay_executor_t *executor);

#endif
