#include "waxwinghollow/frame.h"

#include <assert.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define AT_VERSION 4
#define AT_KIND 5
#define AT_ZERO 6
#define AT_LENGTH 8

static const uint8_t magic[AT_VERSION] = { 'W', 'W', 'H', 'F' };

const char *const wwh_frame_kind_names[WWH_FRAME_KIND_COUNT] = {
	"hello",      "gossip",	  "config",	 "loan",  "state_request",
	"state_part", "seat_ask", "seat_answer", "drain",
};

const char *const wwh_frame_fault_names[WWH_FRAME_FAULT_COUNT] = {
	"fine",		"foreign",   "other_version",
	"unknown_kind", "too_large", "bad_payload",
};

struct wwh_frame_reader {
	size_t max_payload;
	GByteArray *held;
	bool refused;
	wwh_frame_fault_t fault;
};

static wwh_frame_fault_t check_header(const wwh_frame_reader_t *reader,
				      const uint8_t *data, size_t size);
static size_t payload_length(const uint8_t *header);
static bool take_frames(wwh_frame_reader_t *reader, wwh_frame_visit_t visit,
			void *client_data);
static bool refuse(wwh_frame_reader_t *reader, wwh_frame_fault_t fault);

wwh_frame_reader_t *wwh_frame_reader_new(size_t max_payload)
{
	wwh_frame_reader_t *reader = g_new0(wwh_frame_reader_t, 1);

	assert(max_payload <= WWH_FRAME_PAYLOAD_MAX);
	reader->max_payload = max_payload;
	reader->held = g_byte_array_new();
	return reader;
}

void wwh_frame_reader_delete(wwh_frame_reader_t *reader)
{
	if (reader == NULL)
		return;
	g_byte_array_unref(reader->held);
	g_free(reader);
}

wwh_status_t wwh_frame_reader_feed(wwh_frame_reader_t *reader,
				   const uint8_t *data, size_t size,
				   wwh_frame_visit_t visit, void *client_data)
{
	size_t limit = WWH_FRAME_HEADER_BYTES + reader->max_payload;

	while (size > 0 && !reader->refused) {
		size_t room = limit - reader->held->len;
		size_t part = MIN(size, room);

		g_byte_array_append(reader->held, data, (guint)part);
		data += part;
		size -= part;
		if (!take_frames(reader, visit, client_data))
			break;
		assert(reader->held->len < limit);
	}
	return reader->refused ? WWH_STATUS_BAD_INPUT : WWH_STATUS_OK;
}

wwh_frame_fault_t wwh_frame_reader_fault(const wwh_frame_reader_t *reader)
{
	return reader->fault;
}

size_t wwh_frame_reader_buffered_bytes(const wwh_frame_reader_t *reader)
{
	return reader->held->len;
}

wwh_status_t wwh_frame_write(GByteArray *out, wwh_frame_kind_t kind,
			     const uint8_t *payload, size_t size)
{
	uint8_t header[WWH_FRAME_HEADER_BYTES] = { 0 };

	if (size > WWH_FRAME_PAYLOAD_MAX)
		return WWH_STATUS_LIMIT;
	assert(wwh_msgpack_bounded(payload, size, WWH_FRAME_DEPTH_MAX));
	memcpy(header, magic, sizeof(magic));
	header[AT_VERSION] = WWH_FRAME_VERSION;
	header[AT_KIND] = (uint8_t)kind;
	for (int i = 0; i < 4; i++)
		header[AT_LENGTH + i] = (uint8_t)(size >> (24 - 8 * i));
	g_byte_array_append(out, header, sizeof(header));
	g_byte_array_append(out, payload, (guint)size);
	return WWH_STATUS_OK;
}

/* Checks as many bytes of a header as are there. */
static wwh_frame_fault_t check_header(const wwh_frame_reader_t *reader,
				      const uint8_t *data, size_t size)
{
	if (memcmp(data, magic, MIN(size, sizeof(magic))) != 0)
		return WWH_FRAME_FOREIGN;
	if (size > AT_VERSION && data[AT_VERSION] != WWH_FRAME_VERSION)
		return WWH_FRAME_OTHER_VERSION;
	if (size > AT_KIND && data[AT_KIND] >= WWH_FRAME_KIND_COUNT)
		return WWH_FRAME_UNKNOWN_KIND;
	for (size_t i = AT_ZERO; i < MIN(size, AT_LENGTH); i++)
		if (data[i] != 0)
			return WWH_FRAME_FOREIGN;
	if (size >= WWH_FRAME_HEADER_BYTES &&
	    payload_length(data) > reader->max_payload)
		return WWH_FRAME_TOO_LARGE;
	return WWH_FRAME_NO_FAULT;
}

static size_t payload_length(const uint8_t *header)
{
	size_t length = 0;

	for (int i = 0; i < 4; i++)
		length = (length << 8) | header[AT_LENGTH + i];
	return length;
}

/* Returns false after a refusal. */
static bool take_frames(wwh_frame_reader_t *reader, wwh_frame_visit_t visit,
			void *client_data)
{
	size_t at = 0;

	while (at < reader->held->len) {
		const uint8_t *data = reader->held->data + at;
		size_t size = reader->held->len - at;
		wwh_frame_fault_t fault = check_header(reader, data, size);
		const uint8_t *payload;
		size_t length;

		if (fault != WWH_FRAME_NO_FAULT)
			return refuse(reader, fault);
		if (size < WWH_FRAME_HEADER_BYTES)
			break;
		length = payload_length(data);
		if (size - WWH_FRAME_HEADER_BYTES < length)
			break;
		payload = data + WWH_FRAME_HEADER_BYTES;
		if (!wwh_msgpack_bounded(payload, length, WWH_FRAME_DEPTH_MAX))
			return refuse(reader, WWH_FRAME_BAD_PAYLOAD);
		if (!visit((wwh_frame_kind_t)data[AT_KIND], payload, length,
			   client_data))
			return refuse(reader, WWH_FRAME_NO_FAULT);
		at += WWH_FRAME_HEADER_BYTES + length;
	}
	g_byte_array_remove_range(reader->held, 0, (guint)at);
	return true;
}

static bool refuse(wwh_frame_reader_t *reader, wwh_frame_fault_t fault)
{
	reader->refused = true;
	reader->fault = fault;
	g_byte_array_set_size(reader->held, 0);
	return false;
}
