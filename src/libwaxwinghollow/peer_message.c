#include "private/peer_message.h"

#include "private/record_fields.h"
#include "waxwinghollow/frame.h"

/* Loans of one message; the rest goes with the next. */
#define LOANS_MAX 4096
#define MINION_BYTES_MAX 128
#define NUMBER_MAX 1000000
#define DRAINS_MAX 4096

static const wwh_codec_field_t seat_ask[] = {
	{ "process", WWH_CODEC_UINT64, offsetof(wwh_vote_request_t, process) },
	{ "sent_ms", WWH_CODEC_INT64, offsetof(wwh_vote_request_t, sent_ms), 0,
	  INT64_MAX },
};

static const wwh_codec_field_t seat_answer[] = {
	{ "process", WWH_CODEC_UINT64, offsetof(wwh_vote_answer_t, process) },
	{ "sent_ms", WWH_CODEC_INT64, offsetof(wwh_vote_answer_t, sent_ms), 0,
	  INT64_MAX },
	{ "seats", WWH_CODEC_UINT64, offsetof(wwh_vote_answer_t, seats) },
};

static const wwh_codec_field_t loan_item[] = {
	{ "minion", WWH_CODEC_ID, offsetof(wwh_loan_item_t, minion), 1,
	  MINION_BYTES_MAX },
	{ "granted", WWH_CODEC_UINT64, offsetof(wwh_loan_item_t, granted) },
	{ "returned", WWH_CODEC_UINT64, offsetof(wwh_loan_item_t, returned) },
	{ "bears_version", WWH_CODEC_UINT64,
	  offsetof(wwh_loan_item_t, bears_version) },
	{ "wanted", WWH_CODEC_INT32, offsetof(wwh_loan_item_t, wanted), 0,
	  NUMBER_MAX },
	{ "bears", WWH_CODEC_INT32, offsetof(wwh_loan_item_t, bears), 0,
	  NUMBER_MAX },
};

static const wwh_codec_fields_t loan_item_fields = { loan_item,
						     G_N_ELEMENTS(loan_item),
						     sizeof(wwh_loan_item_t) };

static const wwh_codec_field_t loans[] = {
	{ "process", WWH_CODEC_UINT64, offsetof(wwh_loan_message_t, process) },
	{ "items", WWH_CODEC_ITEMS, offsetof(wwh_loan_message_t, items), 0,
	  LOANS_MAX, &loan_item_fields },
};

static const wwh_codec_field_t drain_item[] = {
	{ "worker", WWH_CODEC_ID, offsetof(wwh_drain_item_t, worker), 1,
	  WWH_ID_BYTES_MAX },
	{ "grant", WWH_CODEC_INT64, offsetof(wwh_drain_item_t, grant), 0,
	  INT64_MAX },
	{ "running", WWH_CODEC_INT32, offsetof(wwh_drain_item_t, running), 0,
	  NUMBER_MAX },
};

static const wwh_codec_fields_t drain_item_fields = {
	drain_item, G_N_ELEMENTS(drain_item), sizeof(wwh_drain_item_t)
};

static const wwh_codec_field_t drain[] = {
	{ "process", WWH_CODEC_UINT64, offsetof(wwh_drain_message_t, process) },
	{ "items", WWH_CODEC_ITEMS, offsetof(wwh_drain_message_t, items), 0,
	  DRAINS_MAX, &drain_item_fields },
};

#define FIELDS(type, array)                                                    \
	{                                                                      \
		array, G_N_ELEMENTS(array), sizeof(type)                       \
	}

static const wwh_codec_fields_t seat_ask_fields =
	FIELDS(wwh_vote_request_t, seat_ask);
static const wwh_codec_fields_t seat_answer_fields =
	FIELDS(wwh_vote_answer_t, seat_answer);
static const wwh_codec_fields_t loan_fields = FIELDS(wwh_loan_message_t, loans);
static const wwh_codec_fields_t drain_fields =
	FIELDS(wwh_drain_message_t, drain);
GBytes *wwh_vote_request_encode(const wwh_vote_request_t *message)
{
	return wwh_codec_encode(&seat_ask_fields, message, NULL);
}

bool wwh_vote_request_decode(const uint8_t *data, size_t size,
			     wwh_vote_request_t *message)
{
	return wwh_codec_decode(&seat_ask_fields, data, size, message, NULL);
}

GBytes *wwh_vote_answer_encode(const wwh_vote_answer_t *message)
{
	return wwh_codec_encode(&seat_answer_fields, message, NULL);
}

bool wwh_vote_answer_decode(const uint8_t *data, size_t size,
			    wwh_vote_answer_t *message)
{
	return wwh_codec_decode(&seat_answer_fields, data, size, message, NULL);
}

void wwh_loan_message_init(wwh_loan_message_t *message)
{
	wwh_codec_init(&loan_fields, message);
}

void wwh_loan_message_clear(wwh_loan_message_t *message)
{
	wwh_codec_clear(&loan_fields, message);
}

GBytes *wwh_loan_message_encode(const wwh_loan_message_t *message)
{
	return wwh_codec_encode(&loan_fields, message, NULL);
}

bool wwh_loan_message_decode(const uint8_t *data, size_t size,
			     wwh_loan_message_t *message)
{
	return wwh_codec_decode(&loan_fields, data, size, message, NULL);
}

void wwh_drain_message_init(wwh_drain_message_t *message)
{
	wwh_codec_init(&drain_fields, message);
}

void wwh_drain_message_clear(wwh_drain_message_t *message)
{
	wwh_codec_clear(&drain_fields, message);
}

GBytes *wwh_drain_message_encode(const wwh_drain_message_t *message)
{
	return wwh_codec_encode(&drain_fields, message, NULL);
}

bool wwh_drain_message_decode(const uint8_t *data, size_t size,
			      wwh_drain_message_t *message)
{
	return wwh_codec_decode(&drain_fields, data, size, message, NULL);
}
