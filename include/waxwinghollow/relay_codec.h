#ifndef WAXWINGHOLLOW_RELAY_CODEC_H
#define WAXWINGHOLLOW_RELAY_CODEC_H

/*
 * NAME
 *	relay_codec - messages between the holder and its relays
 *
 * USE
 *	A batch carries HTTP calls for the relay to make, each with the time
 *	after which it must not be sent and the time at which it ends, both by
 *	the relay's clock. Results carry the outcomes. A hello tells the holder
 *	of a relay. Messages are MessagePack; a decoder accepts a message only if
 *	it is complete, of this version and within the bounds below.
 *
 * LOAD
 *	Some thousand orders per second, in batches of a few to some hundred.
 *
 * ORDER OF CALLS
 *	wwh_relay_batch_begin, wwh_relay_batch_add, wwh_relay_batch_end; the
 *	decoders at any time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/http_calls.h"

#define WWH_RELAY_ORDERS_MAX 512 /* in a batch */
#define WWH_RELAY_RESULTS_MAX 2048 /* in a message */
#define WWH_RELAY_ADDRESS_BYTES 64

/* What a relay says about a batch or a request for results. */
typedef enum {
	WWH_RELAY_ACCEPTED = 0,
	WWH_RELAY_DUPLICATE, /* the batch was received before; ignored */
	WWH_RELAY_OLD_EPOCH, /* it serves a holder with a higher epoch */
	WWH_RELAY_OTHER_INCARNATION, /* the relay was restarted */
	WWH_RELAY_STOPPING, /* it takes no more orders */
	WWH_RELAY_VERDICT_COUNT
} wwh_relay_verdict_t;

/* Names of wwh_relay_verdict_t, in the same order. */
extern const char *const wwh_relay_verdict_names[WWH_RELAY_VERDICT_COUNT];

typedef struct {
	int64_t epoch; /* of the holder's claim */
	int64_t incarnation; /* of the relay for which the orders are */
	int64_t number; /* from 1, ascending for each relay */
} wwh_relay_batch_header_t;

/*
 * An order as received. It owns its call and the texts that the call refers to
 * without owning them.
 */
typedef struct {
	int64_t id;
	int64_t epoch; /* set by the executor */
	int64_t expires_ms; /* not sent after this time */
	int64_t ends_ms; /* without an answer after this time */
	int64_t accepted_ms; /* set by the executor */
	int64_t bytes; /* about its share of memory */
	wwh_http_call_t *call;
	char *texts[WWH_HTTP_CALL_HEADERS + 1];
} wwh_relay_order_t;

typedef struct {
	wwh_relay_batch_header_t header;
	GPtrArray *orders; /* of wwh_relay_order_t, owned */
} wwh_relay_batch_t;

typedef struct {
	wwh_relay_verdict_t verdict;
	int64_t epoch; /* the highest that the relay knows */
	int64_t incarnation;
	int64_t clock_ms; /* of the relay when it wrote the message */
} wwh_relay_results_header_t;

/*
 * Status of a result with WWH_CALL_NOT_SENT if the relay didn't try to send the
 * order: that says nothing of the upstream.
 */
#define WWH_RELAY_STATUS_NOT_TRIED 1

typedef struct {
	int64_t id;
	wwh_call_outcome_t outcome;
	int32_t status;
	int64_t retry_after_s;
	int64_t held_ms; /* from its receipt by the relay to its end */
	const uint8_t *body;
	size_t body_size;
} wwh_relay_result_t;

typedef struct {
	char address
		[WWH_RELAY_ADDRESS_BYTES]; /* of the relay's peer listener */
	int64_t cpu_permille;
	int64_t incarnation;
	int64_t clock_ms;
} wwh_relay_hello_t;

typedef void (*wwh_relay_on_result_t)(const wwh_relay_result_t *result,
				      void *client_data);

/*
 * Appends a batch of count orders to out: the header, then each order by
 * wwh_relay_batch_add.
 */
void wwh_relay_batch_begin(GByteArray *out,
			   const wwh_relay_batch_header_t *header,
			   uint32_t count);
void wwh_relay_batch_add(GByteArray *out, const wwh_http_call_t *call,
			 int64_t id, int64_t expires_ms, int64_t ends_ms);

/* Returns NULL if the message isn't valid as a whole. */
wwh_relay_batch_t *wwh_relay_batch_decode(const uint8_t *data, size_t size);
void wwh_relay_batch_delete(wwh_relay_batch_t *batch);
void wwh_relay_order_delete(wwh_relay_order_t *order);

void wwh_relay_results_begin(GByteArray *out,
			     const wwh_relay_results_header_t *header,
			     uint32_t count);
void wwh_relay_results_add(GByteArray *out, const wwh_relay_result_t *result);

/*
 * Validates the whole message and then calls on_result for each result; the
 * bodies are valid meanwhile. False: not valid, and no call was made.
 */
bool wwh_relay_results_decode(const uint8_t *data, size_t size,
			      wwh_relay_results_header_t *header,
			      wwh_relay_on_result_t on_result,
			      void *client_data);

void wwh_relay_hello_encode(GByteArray *out, const wwh_relay_hello_t *hello);
bool wwh_relay_hello_decode(const uint8_t *data, size_t size,
			    wwh_relay_hello_t *hello);

/* A request for results: the holder's epoch. */
void wwh_relay_request_encode(GByteArray *out, int64_t epoch);
bool wwh_relay_request_decode(const uint8_t *data, size_t size, int64_t *epoch);

#endif
