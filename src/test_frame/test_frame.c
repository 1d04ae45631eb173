#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>

#include "waxwinghollow/frame.h"

#define MAX_PAYLOAD 64

static const uint8_t payload[] = { 0x93, 1, 2, 3 };

static bool note(wwh_frame_kind_t kind, const uint8_t *data, size_t size,
		 void *client_data)
{
	g_string_append_printf(client_data, "%s:%d:%d;",
			       wwh_frame_kind_names[kind], (int)size,
			       (int)data[size - 1]);
	return kind != WWH_FRAME_LOAN;
}

static GByteArray *frames(wwh_frame_kind_t kind, int32_t count)
{
	GByteArray *out = g_byte_array_new();

	for (int32_t i = 0; i < count; i++)
		assert_int_equal(
			wwh_frame_write(out, kind, payload, sizeof(payload)),
			WWH_STATUS_OK);
	return out;
}

static void frames_come_whole_however_they_are_cut(void **unused)
{
	GByteArray *bytes = frames(WWH_FRAME_GOSSIP, 3);

	(void)unused;
	for (guint cut = 1; cut <= bytes->len; cut++) {
		wwh_frame_reader_t *reader = wwh_frame_reader_new(MAX_PAYLOAD);
		GString *seen = g_string_new(NULL);

		for (guint at = 0; at < bytes->len; at += cut)
			assert_int_equal(
				wwh_frame_reader_feed(reader, bytes->data + at,
						      MIN(cut, bytes->len - at),
						      note, seen),
				WWH_STATUS_OK);
		assert_string_equal(seen->str,
				    "gossip:4:3;gossip:4:3;gossip:4:3;");
		assert_int_equal(wwh_frame_reader_buffered_bytes(reader), 0);
		g_string_free(seen, TRUE);
		wwh_frame_reader_delete(reader);
	}
	g_byte_array_unref(bytes);
}

/*
 * Something else talks to the port, or a peer of another release does. The
 * bytes are refused at the first that can't be a frame's, with the reason,
 * and nothing after them is read, not even a fine frame.
 */
static void what_is_no_frame_is_refused(void **unused)
{
	static const struct {
		size_t at;
		uint8_t value;
		wwh_frame_fault_t fault;
	} rows[] = {
		{ 0, 'G', WWH_FRAME_FOREIGN },
		{ 3, 0, WWH_FRAME_FOREIGN },
		{ 4, 2, WWH_FRAME_OTHER_VERSION },
		{ 5, WWH_FRAME_KIND_COUNT, WWH_FRAME_UNKNOWN_KIND },
		{ 6, 1, WWH_FRAME_FOREIGN },
		{ 8, 0x7f, WWH_FRAME_TOO_LARGE },
		{ 11, MAX_PAYLOAD + 1, WWH_FRAME_TOO_LARGE },
		{ 12, 0xdd, WWH_FRAME_BAD_PAYLOAD },
		{ 12, 0x92, WWH_FRAME_BAD_PAYLOAD },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		wwh_frame_reader_t *reader = wwh_frame_reader_new(MAX_PAYLOAD);
		GByteArray *bytes = frames(WWH_FRAME_GOSSIP, 2);
		GString *seen = g_string_new(NULL);

		bytes->data[rows[i].at] = rows[i].value;
		assert_int_equal(wwh_frame_reader_feed(reader, bytes->data,
						       bytes->len, note, seen),
				 WWH_STATUS_BAD_INPUT);
		assert_int_equal(wwh_frame_reader_fault(reader), rows[i].fault);
		assert_int_equal(wwh_frame_reader_feed(reader, bytes->data, 1,
						       note, seen),
				 WWH_STATUS_BAD_INPUT);
		assert_string_equal(seen->str, "");
		g_string_free(seen, TRUE);
		g_byte_array_unref(bytes);
		wwh_frame_reader_delete(reader);
	}
}

static void visitor_can_refuse(void **unused)
{
	wwh_frame_reader_t *reader = wwh_frame_reader_new(MAX_PAYLOAD);
	GByteArray *bytes = frames(WWH_FRAME_LOAN, 2);
	GString *seen = g_string_new(NULL);

	(void)unused;
	assert_int_equal(wwh_frame_reader_feed(reader, bytes->data, bytes->len,
					       note, seen),
			 WWH_STATUS_BAD_INPUT);
	assert_string_equal(seen->str, "loan:4:3;");
	assert_int_equal(wwh_frame_reader_fault(reader), WWH_FRAME_NO_FAULT);
	g_string_free(seen, TRUE);
	g_byte_array_unref(bytes);
	wwh_frame_reader_delete(reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frames_come_whole_however_they_are_cut),
		cmocka_unit_test(what_is_no_frame_is_refused),
		cmocka_unit_test(visitor_can_refuse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
