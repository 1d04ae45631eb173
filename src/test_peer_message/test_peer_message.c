#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include <msgpack.h>
#include <string.h>

#include "private/peer_message.h"
#include "waxwinghollow/frame.h"

#define KINDS 4
#define TOO_MANY_ITEMS 4097
#define LONG_ID_BYTES 129

typedef bool (*accepts_t)(const uint8_t *data, size_t size);

static bool accepts_vote_request(const uint8_t *data, size_t size)
{
	wwh_vote_request_t message;

	return wwh_vote_request_decode(data, size, &message);
}

static bool accepts_vote_answer(const uint8_t *data, size_t size)
{
	wwh_vote_answer_t message;

	return wwh_vote_answer_decode(data, size, &message);
}

static bool accepts_loans(const uint8_t *data, size_t size)
{
	wwh_loan_message_t message;
	bool accepted = wwh_loan_message_decode(data, size, &message);

	wwh_loan_message_clear(&message);
	return accepted;
}

static bool accepts_drains(const uint8_t *data, size_t size)
{
	wwh_drain_message_t message;
	bool accepted = wwh_drain_message_decode(data, size, &message);

	wwh_drain_message_clear(&message);
	return accepted;
}

static const accepts_t accepts[KINDS] = {
	accepts_vote_request,
	accepts_vote_answer,
	accepts_loans,
	accepts_drains,
};

static void add_loan(wwh_loan_message_t *message, const char *minion)
{
	wwh_loan_item_t *item = g_new0(wwh_loan_item_t, 1);

	item->minion = g_strdup(minion);
	item->granted = UINT64_MAX;
	item->returned = 2;
	item->bears_version = 3;
	item->wanted = 4;
	item->bears = 5;
	g_ptr_array_add(message->items, item);
}

static void add_drain(wwh_drain_message_t *message, const char *worker)
{
	wwh_drain_item_t *item = g_new0(wwh_drain_item_t, 1);

	item->worker = g_strdup(worker);
	item->grant = INT64_MAX;
	item->running = 6;
	g_ptr_array_add(message->items, item);
}

/* Encodes one message of each kind. */
static void encode_all(GBytes *bytes[KINDS])
{
	wwh_vote_request_t vote_request = { UINT64_MAX, INT64_MAX };
	wwh_vote_answer_t vote_answer = { 1, 0, UINT64_MAX };
	wwh_loan_message_t loans;
	wwh_drain_message_t drains;

	wwh_loan_message_init(&loans);
	loans.process = 8;
	add_loan(&loans, "m1");
	add_loan(&loans, "m2");
	wwh_drain_message_init(&drains);
	drains.process = 7;
	add_drain(&drains, "w1");
	bytes[0] = wwh_vote_request_encode(&vote_request);
	bytes[1] = wwh_vote_answer_encode(&vote_answer);
	bytes[2] = wwh_loan_message_encode(&loans);
	bytes[3] = wwh_drain_message_encode(&drains);
	for (int i = 0; i < KINDS; i++)
		assert_non_null(bytes[i]);
	wwh_loan_message_clear(&loans);
	wwh_drain_message_clear(&drains);
}

static void free_all(GBytes *bytes[KINDS])
{
	for (int i = 0; i < KINDS; i++)
		g_bytes_unref(bytes[i]);
}

static const uint8_t *bytes_data(GBytes *bytes, size_t *size)
{
	return g_bytes_get_data(bytes, size);
}

static void decoded_votes_equal_the_encoded_ones(void **state)
{
	GBytes *bytes[KINDS];
	wwh_vote_request_t request;
	wwh_vote_answer_t answer;
	size_t size;
	const uint8_t *data;

	(void)state;
	encode_all(bytes);
	data = bytes_data(bytes[0], &size);
	assert_true(wwh_vote_request_decode(data, size, &request));
	assert_true(request.process == UINT64_MAX &&
		    request.sent_ms == INT64_MAX);
	data = bytes_data(bytes[1], &size);
	assert_true(wwh_vote_answer_decode(data, size, &answer));
	assert_true(answer.process == 1 && answer.sent_ms == 0 &&
		    answer.seats == UINT64_MAX);
	free_all(bytes);
}

static void decoded_lists_equal_the_encoded_ones(void **state)
{
	GBytes *bytes[KINDS];
	wwh_loan_message_t loans;
	wwh_drain_message_t drains;
	const wwh_loan_item_t *loan;
	const wwh_drain_item_t *drain;
	size_t size;
	const uint8_t *data;

	(void)state;
	encode_all(bytes);
	data = bytes_data(bytes[2], &size);
	assert_true(wwh_loan_message_decode(data, size, &loans));
	assert_int_equal(loans.process, 8);
	assert_int_equal(loans.items->len, 2);
	loan = loans.items->pdata[1];
	assert_string_equal(loan->minion, "m2");
	assert_true(loan->granted == UINT64_MAX && loan->returned == 2);
	assert_true(loan->bears_version == 3 && loan->wanted == 4 &&
		    loan->bears == 5);
	wwh_loan_message_clear(&loans);
	data = bytes_data(bytes[3], &size);
	assert_true(wwh_drain_message_decode(data, size, &drains));
	drain = drains.items->pdata[0];
	assert_string_equal(drain->worker, "w1");
	assert_true(drain->grant == INT64_MAX && drain->running == 6);
	wwh_drain_message_clear(&drains);
	free_all(bytes);
}

/* The payload may be truncated or too long even if the frame's length fits. */
static void truncated_and_extended_messages_are_rejected(void **state)
{
	GBytes *bytes[KINDS];

	(void)state;
	encode_all(bytes);
	for (int i = 0; i < KINDS; i++) {
		size_t size;
		const uint8_t *data = bytes_data(bytes[i], &size);
		uint8_t *longer = g_malloc0(size + 1);

		assert_true(accepts[i](data, size));
		for (size_t length = 0; length < size; length++)
			assert_false(accepts[i](data, length));
		memcpy(longer, data, size);
		assert_false(accepts[i](longer, size + 1));
		g_free(longer);
	}
	free_all(bytes);
}

/* A process of another version may send another kind of message in a frame. */
static void a_message_of_another_kind_is_rejected(void **state)
{
	GBytes *bytes[KINDS];

	(void)state;
	encode_all(bytes);
	for (int i = 0; i < KINDS; i++) {
		for (int j = 0; j < KINDS; j++) {
			size_t size;
			const uint8_t *data = bytes_data(bytes[j], &size);

			assert_int_equal(accepts[i](data, size), i == j);
		}
	}
	free_all(bytes);
}

static void values_outside_their_bounds_are_rejected(void **state)
{
	wwh_vote_request_t request = { 1, -1 };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	assert_null(wwh_vote_request_encode(&request));
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_int64(&packer, -1);
	assert_false(accepts_vote_request((uint8_t *)buffer.data, buffer.size));
	msgpack_sbuffer_clear(&buffer);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_str(&packer, 1);
	msgpack_pack_str_body(&packer, "1", 1);
	assert_false(accepts_vote_request((uint8_t *)buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

static void oversized_messages_are_rejected(void **state)
{
	wwh_loan_message_t loans;
	char name[LONG_ID_BYTES + 1];
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	wwh_loan_message_init(&loans);
	for (int i = 0; i < TOO_MANY_ITEMS; i++)
		add_loan(&loans, "m");
	assert_null(wwh_loan_message_encode(&loans));
	wwh_loan_message_clear(&loans);
	memset(name, 'm', LONG_ID_BYTES);
	name[LONG_ID_BYTES] = '\0';
	wwh_loan_message_init(&loans);
	add_loan(&loans, name);
	assert_null(wwh_loan_message_encode(&loans));
	wwh_loan_message_clear(&loans);
	/* an array that claims more items than there are bytes */
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_array(&packer, UINT32_MAX);
	for (int i = 2; i < 4; i++)
		assert_false(accepts[i]((uint8_t *)buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decoded_votes_equal_the_encoded_ones),
		cmocka_unit_test(decoded_lists_equal_the_encoded_ones),
		cmocka_unit_test(truncated_and_extended_messages_are_rejected),
		cmocka_unit_test(a_message_of_another_kind_is_rejected),
		cmocka_unit_test(values_outside_their_bounds_are_rejected),
		cmocka_unit_test(oversized_messages_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
