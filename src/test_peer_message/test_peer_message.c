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
#define TOO_MANY 4097
#define LONG_NAME 129

typedef bool (*accepts_t)(const uint8_t *data, size_t size);

static bool accepts_seat_ask(const uint8_t *data, size_t size)
{
	wwh_vote_request_t message;

	return wwh_vote_request_decode(data, size, &message);
}

static bool accepts_seat_answer(const uint8_t *data, size_t size)
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
	accepts_seat_ask,
	accepts_seat_answer,
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

/* One message of each kind. */
static void make_all(GBytes *bytes[KINDS])
{
	wwh_vote_request_t seat_ask = { UINT64_MAX, INT64_MAX };
	wwh_vote_answer_t seat_answer = { 1, 0, UINT64_MAX };
	wwh_loan_message_t loans;
	wwh_drain_message_t drains;

	wwh_loan_message_init(&loans);
	loans.process = 8;
	add_loan(&loans, "m1");
	add_loan(&loans, "m2");
	wwh_drain_message_init(&drains);
	drains.process = 7;
	add_drain(&drains, "w1");
	bytes[0] = wwh_vote_request_encode(&seat_ask);
	bytes[1] = wwh_vote_answer_encode(&seat_answer);
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

static const uint8_t *data_of(GBytes *bytes, size_t *size)
{
	return g_bytes_get_data(bytes, size);
}

static void plain_messages_come_back_as_sent(void **state)
{
	GBytes *bytes[KINDS];
	wwh_vote_request_t ask;
	wwh_vote_answer_t answer;
	size_t size;
	const uint8_t *data;

	(void)state;
	make_all(bytes);
	data = data_of(bytes[0], &size);
	assert_true(wwh_vote_request_decode(data, size, &ask));
	assert_true(ask.process == UINT64_MAX && ask.sent_ms == INT64_MAX);
	data = data_of(bytes[1], &size);
	assert_true(wwh_vote_answer_decode(data, size, &answer));
	assert_true(answer.process == 1 && answer.sent_ms == 0 &&
		    answer.seats == UINT64_MAX);
	free_all(bytes);
}

static void lists_come_back_as_sent(void **state)
{
	GBytes *bytes[KINDS];
	wwh_loan_message_t loans;
	wwh_drain_message_t drains;
	const wwh_loan_item_t *loan;
	const wwh_drain_item_t *drain;
	size_t size;
	const uint8_t *data;

	(void)state;
	make_all(bytes);
	data = data_of(bytes[2], &size);
	assert_true(wwh_loan_message_decode(data, size, &loans));
	assert_int_equal(loans.process, 8);
	assert_int_equal(loans.items->len, 2);
	loan = loans.items->pdata[1];
	assert_string_equal(loan->minion, "m2");
	assert_true(loan->granted == UINT64_MAX && loan->returned == 2);
	assert_true(loan->bears_version == 3 && loan->wanted == 4 &&
		    loan->bears == 5);
	wwh_loan_message_clear(&loans);
	data = data_of(bytes[3], &size);
	assert_true(wwh_drain_message_decode(data, size, &drains));
	drain = drains.items->pdata[0];
	assert_string_equal(drain->worker, "w1");
	assert_true(drain->grant == INT64_MAX && drain->running == 6);
	wwh_drain_message_clear(&drains);
	free_all(bytes);
}

/* Frames say how long they are; a sender may still say too little in one. */
static void every_shortened_or_lengthened_message_is_refused(void **state)
{
	GBytes *bytes[KINDS];

	(void)state;
	make_all(bytes);
	for (int i = 0; i < KINDS; i++) {
		size_t size;
		const uint8_t *data = data_of(bytes[i], &size);
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

/* A process of another version may send another message in that place. */
static void a_message_of_another_kind_is_refused(void **state)
{
	GBytes *bytes[KINDS];

	(void)state;
	make_all(bytes);
	for (int i = 0; i < KINDS; i++) {
		for (int j = 0; j < KINDS; j++) {
			size_t size;
			const uint8_t *data = data_of(bytes[j], &size);

			assert_int_equal(accepts[i](data, size), i == j);
		}
	}
	free_all(bytes);
}

static void values_outside_their_bounds_are_refused(void **state)
{
	wwh_vote_request_t ask = { 1, -1 };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	assert_null(wwh_vote_request_encode(&ask));
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_int64(&packer, -1);
	assert_false(accepts_seat_ask((uint8_t *)buffer.data, buffer.size));
	msgpack_sbuffer_clear(&buffer);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_str(&packer, 1);
	msgpack_pack_str_body(&packer, "1", 1);
	assert_false(accepts_seat_ask((uint8_t *)buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
}

static void oversized_messages_are_refused(void **state)
{
	wwh_loan_message_t loans;
	char name[LONG_NAME + 1];
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	wwh_loan_message_init(&loans);
	for (int i = 0; i < TOO_MANY; i++)
		add_loan(&loans, "m");
	assert_null(wwh_loan_message_encode(&loans));
	wwh_loan_message_clear(&loans);
	memset(name, 'm', LONG_NAME);
	name[LONG_NAME] = '\0';
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
		cmocka_unit_test(plain_messages_come_back_as_sent),
		cmocka_unit_test(lists_come_back_as_sent),
		cmocka_unit_test(
			every_shortened_or_lengthened_message_is_refused),
		cmocka_unit_test(a_message_of_another_kind_is_refused),
		cmocka_unit_test(values_outside_their_bounds_are_refused),
		cmocka_unit_test(oversized_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
