#ifndef WAXWINGHOLLOW_PRIVATE_PEER_MESSAGE_H
#define WAXWINGHOLLOW_PRIVATE_PEER_MESSAGE_H

/*
 * Payloads of the frames between entry processes, but for gossip. Decoding
 * checks every type and bound, as for records of the log.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

/* Asks a member to renew the asker's lease of its seats, see seat.h. */
typedef struct {
	uint64_t process;
	int64_t sent_ms; /* on the asker's clock; comes back in the answer */
} wwh_vote_request_t;

typedef struct {
	uint64_t process; /* who answers */
	int64_t sent_ms;
	uint64_t seats; /* that it holds now */
} wwh_vote_answer_t;

/* What dispatch_loan.h tells a peer about one minion. */
typedef struct {
	char *minion;
	uint64_t granted;
	uint64_t returned;
	uint64_t bears_version;
	int32_t wanted;
	int32_t bears;
} wwh_loan_item_t;

typedef struct {
	uint64_t process;
	GPtrArray *items; /* of wwh_loan_item_t * */
} wwh_loan_message_t;

/* Requests that one process has with the minions of workers that are out. */
typedef struct {
	char *worker;
	int64_t grant; /* that the process has read on the log */
	int32_t running;
} wwh_drain_item_t;

typedef struct {
	uint64_t process;
	GPtrArray *items; /* of wwh_drain_item_t * */
} wwh_drain_message_t;

GBytes *wwh_vote_request_encode(const wwh_vote_request_t *message);
bool wwh_vote_request_decode(const uint8_t *data, size_t size,
			     wwh_vote_request_t *message);
GBytes *wwh_vote_answer_encode(const wwh_vote_answer_t *message);
bool wwh_vote_answer_decode(const uint8_t *data, size_t size,
			    wwh_vote_answer_t *message);

void wwh_loan_message_init(wwh_loan_message_t *message);
void wwh_loan_message_clear(wwh_loan_message_t *message);
GBytes *wwh_loan_message_encode(const wwh_loan_message_t *message);
/* message is to be cleared, also when data is refused. */
bool wwh_loan_message_decode(const uint8_t *data, size_t size,
			     wwh_loan_message_t *message);

void wwh_drain_message_init(wwh_drain_message_t *message);
void wwh_drain_message_clear(wwh_drain_message_t *message);
GBytes *wwh_drain_message_encode(const wwh_drain_message_t *message);
/* message is to be cleared, also when data is refused. */
bool wwh_drain_message_decode(const uint8_t *data, size_t size,
			      wwh_drain_message_t *message);

#endif
