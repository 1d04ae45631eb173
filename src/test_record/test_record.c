#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <msgpack.h>
#include <string.h>

#include "waxwinghollow/record.h"

static GBytes *encode(const wwh_record_t *record)
{
	wwh_message_t message = { "" };
	GBytes *bytes = wwh_record_encode(record, &message);

	if (bytes == NULL)
		fail_msg("%s", message.text);
	return bytes;
}

static wwh_status_t decode(GBytes *bytes, wwh_record_t *record)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	return wwh_record_decode(data, size, record, NULL);
}

/* Initializes a record of kind and sets its required strings. */
static void init_valid_record(wwh_record_t *record, wwh_record_kind_t kind)
{
	wwh_record_init(record, kind, "entry-1.7");
	if (kind == WWH_RECORD_INTENTS)
		g_ptr_array_add(record->body.intents.items,
				wwh_intent_item_new("numbering", "k1"));
	else if (kind == WWH_RECORD_RESULTS)
		g_ptr_array_add(record->body.results.items,
				wwh_result_item_new("numbering", "k1"));
	else if (kind == WWH_RECORD_JOB_SUBMIT)
		wwh_record_set(&record->body.job_submit.pool, "p");
	if (kind == WWH_RECORD_INTENTS)
		((wwh_intent_item_t *)record->body.intents.items->pdata[0])
			->sequence = 4;
	if (kind >= WWH_RECORD_GRANT_REQUEST && kind < WWH_RECORD_SEAT)
		/* The first member of all of these bodies is a required id. */
		wwh_record_set((char **)&record->body, "w1");
	if (kind == WWH_RECORD_ABANDON)
		wwh_record_set(&record->body.abandon.process, "entry-2.1");
}

static void every_kind_round_trips(void **unused)
{
	(void)unused;
	for (int32_t kind = 0; kind < WWH_RECORD_KIND_COUNT; kind++) {
		wwh_record_t record;
		wwh_record_t copy;
		GBytes *first;
		GBytes *second;

		init_valid_record(&record, (wwh_record_kind_t)kind);
		first = encode(&record);
		assert_int_equal(decode(first, &copy), WWH_STATUS_OK);
		assert_int_equal(copy.kind, kind);
		assert_string_equal(copy.author, "entry-1.7");
		second = encode(&copy);
		assert_true(g_bytes_equal(first, second));
		wwh_record_clear(&record);
		wwh_record_clear(&copy);
		g_bytes_unref(first);
		g_bytes_unref(second);
	}
}

static void fields_keep_their_values(void **unused)
{
	wwh_record_t record;
	wwh_record_t copy;
	GBytes *bytes;

	(void)unused;
	wwh_record_init(&record, WWH_RECORD_WAVE_START, "operator:aoife");
	wwh_record_set(&record.body.wave.wave, "kernel-12");
	wwh_record_set(&record.body.wave.pool, "booking");
	g_ptr_array_add(record.body.wave.workers, g_strdup("w7"));
	g_ptr_array_add(record.body.wave.workers, g_strdup("w3"));
	bytes = encode(&record);
	assert_int_equal(decode(bytes, &copy), WWH_STATUS_OK);
	assert_string_equal(copy.body.wave.wave, "kernel-12");
	assert_string_equal(copy.body.wave.pool, "booking");
	assert_int_equal(copy.body.wave.workers->len, 2);
	assert_string_equal(copy.body.wave.workers->pdata[1], "w3");
	assert_int_equal(copy.body.wave.fence, WWH_NO_OFFSET);
	wwh_record_clear(&record);
	wwh_record_clear(&copy);
	g_bytes_unref(bytes);
}

static void field_out_of_bounds_is_not_encoded(void **unused)
{
	wwh_message_t message = { "" };
	wwh_record_t record;
	char *too_long = g_strnfill(WWH_ID_BYTES_MAX + 1, 'x');

	(void)unused;
	wwh_record_init(&record, WWH_RECORD_ABANDON, "e");
	wwh_record_set(&record.body.abandon.process, too_long);
	assert_null(wwh_record_encode(&record, &message));
	assert_non_null(strstr(message.text, "process"));
	wwh_record_set(&record.body.abandon.process, "a\nb");
	assert_null(wwh_record_encode(&record, &message));
	wwh_record_set(&record.body.abandon.process, "\xff");
	assert_null(wwh_record_encode(&record, &message));
	wwh_record_clear(&record);
	g_free(too_long);
}

/*
 * A foreign writer may append bytes that are truncated or too long. Every
 * process must reject them alike: a valid record is truncated at every length.
 */
static void truncated_or_extended_record_is_rejected(void **unused)
{
	wwh_record_t record;
	GBytes *bytes;
	gsize size;
	const uint8_t *data;
	uint8_t *longer;

	(void)unused;
	init_valid_record(&record, WWH_RECORD_INTENTS);
	bytes = encode(&record);
	wwh_record_clear(&record);
	data = g_bytes_get_data(bytes, &size);
	for (gsize cut = 0; cut < size; cut++)
		assert_int_equal(wwh_record_decode(data, cut, &record, NULL),
				 WWH_STATUS_BAD_INPUT);
	longer = g_malloc0(size + 1);
	memcpy(longer, data, size);
	assert_int_equal(wwh_record_decode(longer, size + 1, &record, NULL),
			 WWH_STATUS_BAD_INPUT);
	assert_null(record.author);
	g_free(longer);
	g_bytes_unref(bytes);
}

static void pack_header(msgpack_packer *packer, int32_t format, int32_t kind,
			size_t fields)
{
	msgpack_pack_array(packer, 3 + fields);
	msgpack_pack_int32(packer, format);
	msgpack_pack_int32(packer, kind);
	msgpack_pack_str_with_body(packer, "e", 1);
}

static void malformed_records_are_rejected(void **unused)
{
	static const struct {
		int32_t format;
		int32_t kind;
		bool wrong_type;
	} shapes[] = {
		{ WWH_RECORD_FORMAT + 1, WWH_RECORD_ABANDON, false },
		{ WWH_RECORD_FORMAT, WWH_RECORD_KIND_COUNT, false },
		{ WWH_RECORD_FORMAT, -1, false },
		{ WWH_RECORD_FORMAT, WWH_RECORD_ABANDON, true },
		{ WWH_RECORD_FORMAT, WWH_RECORD_EXPIRE_KEYS, false },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		wwh_message_t message = { "" };
		msgpack_sbuffer buffer;
		msgpack_packer packer;
		wwh_record_t record;

		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		pack_header(&packer, shapes[i].format, shapes[i].kind, 1);
		if (shapes[i].wrong_type)
			msgpack_pack_int32(&packer, 1);
		else
			msgpack_pack_str_with_body(&packer, "p", 1);
		assert_int_equal(wwh_record_decode((uint8_t *)buffer.data,
						   buffer.size, &record,
						   &message),
				 WWH_STATUS_BAD_INPUT);
		assert_string_not_equal(message.text, "");
		msgpack_sbuffer_destroy(&buffer);
	}
}

/*
 * Five bytes that declare 4294967295 elements must be rejected before memory is
 * allocated for the elements.
 */
static void huge_declared_length_is_rejected(void **unused)
{
	static const uint8_t declared[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
	wwh_record_t record;

	(void)unused;
	assert_int_equal(
		wwh_record_decode(declared, sizeof(declared), &record, NULL),
		WWH_STATUS_BAD_INPUT);
}

static void a_kind_belongs_to_its_stream(void **unused)
{
	(void)unused;
	assert_true(wwh_record_kind_in_stream(WWH_RECORD_CONFIG,
					      WWH_STREAM_CONTROL));
	assert_false(wwh_record_kind_in_stream(WWH_RECORD_CONFIG,
					       WWH_STREAM_INTENTS));
	assert_false(wwh_record_kind_in_stream(WWH_RECORD_RESULTS,
					       WWH_STREAM_CONTROL));
	assert_true(wwh_record_kind_in_stream(WWH_RECORD_SNAPSHOT,
					      WWH_STREAM_INTENTS));
}

/*
 * A release that reads another number for a kind, or its fields in another
 * order, would decide otherwise than the running processes, so the encoding of
 * records in the log must not change.
 */
static void encoding_is_stable(void **unused)
{
	static const char grant[] = "\x97\x01\x04\xa3"
				    "e.1"
				    "\xa2w1\x00\xa1k\x0c";
	static const char expire[] = "\x95\x01\x1f\xa3"
				     "e.1"
				     "\x07\x05";
	wwh_record_t record;
	GBytes *bytes;

	(void)unused;
	wwh_record_init(&record, WWH_RECORD_GRANT_REQUEST, "e.1");
	wwh_record_set(&record.body.grant_request.worker, "w1");
	wwh_record_set(&record.body.grant_request.owner, "k");
	record.body.grant_request.fence = 12;
	bytes = encode(&record);
	assert_int_equal(g_bytes_get_size(bytes), sizeof(grant) - 1);
	assert_memory_equal(g_bytes_get_data(bytes, NULL), grant,
			    sizeof(grant) - 1);
	g_bytes_unref(bytes);
	wwh_record_clear(&record);
	wwh_record_init(&record, WWH_RECORD_EXPIRE_KEYS, "e.1");
	record.body.expire_keys.keys_upto = 7;
	record.body.expire_keys.tombstones_upto = 5;
	bytes = encode(&record);
	assert_int_equal(g_bytes_get_size(bytes), sizeof(expire) - 1);
	assert_memory_equal(g_bytes_get_data(bytes, NULL), expire,
			    sizeof(expire) - 1);
	g_bytes_unref(bytes);
	wwh_record_clear(&record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_kind_round_trips),
		cmocka_unit_test(fields_keep_their_values),
		cmocka_unit_test(field_out_of_bounds_is_not_encoded),
		cmocka_unit_test(truncated_or_extended_record_is_rejected),
		cmocka_unit_test(malformed_records_are_rejected),
		cmocka_unit_test(huge_declared_length_is_rejected),
		cmocka_unit_test(a_kind_belongs_to_its_stream),
		cmocka_unit_test(encoding_is_stable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
