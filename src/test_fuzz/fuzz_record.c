#include <assert.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/record.h"
#include "waxwinghollow/snapshot.h"

/*
 * The first byte chooses what the rest is read as: a record of the log or a
 * snapshot of either stream. Whatever is accepted must encode again, to bytes
 * that are read as the same thing.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_record(const uint8_t *data, size_t size)
{
	wwh_record_t record;
	wwh_record_t again;
	wwh_message_t message;
	GBytes *first;
	GBytes *second;

	if (wwh_record_decode(data, size, &record, &message) != WWH_STATUS_OK) {
		assert(record.author == NULL);
		return;
	}
	first = wwh_record_encode(&record, &message);
	assert(first != NULL);
	assert(wwh_record_decode(g_bytes_get_data(first, NULL),
				 g_bytes_get_size(first), &again,
				 &message) == WWH_STATUS_OK);
	second = wwh_record_encode(&again, &message);
	assert(second != NULL && g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	wwh_record_clear(&record);
	wwh_record_clear(&again);
}

static void apply_record(const uint8_t *data, size_t size)
{
	wwh_state_t *state = wwh_state_new();
	wwh_intents_t *intents = wwh_intents_new(NULL);
	wwh_record_t record;

	wwh_state_apply_entry(state, 1, data, size, &record, NULL);
	wwh_record_clear(&record);
	wwh_intents_apply_entry(intents, 1, data, size, &record, NULL, NULL,
				NULL);
	wwh_record_clear(&record);
	wwh_state_check(state);
	wwh_intents_check(intents);
	wwh_state_delete(state);
	wwh_intents_delete(intents);
}

static void read_state(const uint8_t *data, size_t size)
{
	wwh_state_t *state;

	if (wwh_snapshot_decode_state(data, size, &state, NULL) !=
	    WWH_STATUS_OK)
		return;
	wwh_state_check(state);
	wwh_state_delete(state);
}

static void read_intents(const uint8_t *data, size_t size)
{
	wwh_intents_t *intents;

	if (wwh_snapshot_decode_intents(data, size, &intents, NULL) !=
	    WWH_STATUS_OK)
		return;
	wwh_intents_check(intents);
	wwh_intents_delete(intents);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	switch (data[0] % 4) {
	case 0:
		read_record(data + 1, size - 1);
		break;
	case 1:
		apply_record(data + 1, size - 1);
		break;
	case 2:
		read_state(data + 1, size - 1);
		break;
	default:
		read_intents(data + 1, size - 1);
		break;
	}
	return 0;
}
