#include <assert.h>

#include "../libwaxwinghollow/include/private/peer_message.h"

/*
 * The first byte chooses which message between entry processes the rest is
 * read as. Whatever is accepted must encode again, to bytes that are accepted
 * as the same thing.
 */

#define MESSAGE_KINDS 4

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static GBytes *read_seat_ask(const uint8_t *data, size_t size)
{
	wwh_vote_request_t message;

	if (!wwh_vote_request_decode(data, size, &message))
		return NULL;
	return wwh_vote_request_encode(&message);
}

static GBytes *read_seat_answer(const uint8_t *data, size_t size)
{
	wwh_vote_answer_t message;

	if (!wwh_vote_answer_decode(data, size, &message))
		return NULL;
	return wwh_vote_answer_encode(&message);
}

static GBytes *read_loans(const uint8_t *data, size_t size)
{
	wwh_loan_message_t message;
	GBytes *bytes = NULL;

	if (wwh_loan_message_decode(data, size, &message))
		bytes = wwh_loan_message_encode(&message);
	wwh_loan_message_clear(&message);
	return bytes;
}

static GBytes *read_drains(const uint8_t *data, size_t size)
{
	wwh_drain_message_t message;
	GBytes *bytes = NULL;

	if (wwh_drain_message_decode(data, size, &message))
		bytes = wwh_drain_message_encode(&message);
	wwh_drain_message_clear(&message);
	return bytes;
}

static bool accepts(int kind, const uint8_t *data, size_t size)
{
	wwh_vote_request_t seat_ask;
	wwh_vote_answer_t seat_answer;
	wwh_loan_message_t loans;
	wwh_drain_message_t drains;
	bool accepted;

	switch (kind) {
	case 0:
		return wwh_vote_request_decode(data, size, &seat_ask);
	case 1:
		return wwh_vote_answer_decode(data, size, &seat_answer);
	case 2:
		accepted = wwh_loan_message_decode(data, size, &loans);
		wwh_loan_message_clear(&loans);
		return accepted;
	default:
		accepted = wwh_drain_message_decode(data, size, &drains);
		wwh_drain_message_clear(&drains);
		return accepted;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static GBytes *(*const readers[MESSAGE_KINDS])(const uint8_t *,
						       size_t) = {
		read_seat_ask,
		read_seat_answer,
		read_loans,
		read_drains,
	};
	int kind;
	GBytes *first;
	GBytes *second;

	if (size == 0)
		return 0;
	kind = data[0] % MESSAGE_KINDS;
	first = readers[kind](data + 1, size - 1);
	if (first == NULL) {
		assert(!accepts(kind, data + 1, size - 1));
		return 0;
	}
	second = readers[kind](g_bytes_get_data(first, NULL),
			       g_bytes_get_size(first));
	assert(second != NULL && g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	return 0;
}
