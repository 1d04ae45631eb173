#include "waxwinghollow/frame.h"

#include <assert.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define VERSION_OFFSET 4
#define KIND_OFFSET 5
#define ZERO_OFFSET 6
#define LENGTH_OFFSET 8

static const uint8_t magic[VERSION_OFFSET] = { 'W', 'W', 'H', 'F' };

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
	GByteArray *buffer;
	bool rejected;
	wwh_frame_fault_t fault;
};

static wwh_frame_fault_t check_header(const wwh_frame_reader_t *reader,
				      const uint8_t *data, size_t size);
static size_t payload_length(const uint8_t *header);
static bool visit_frames(wwh_frame_reader_t *reader, wwh_frame_visit_t visit,
			 void *client_data);
static bool reject(wwh_frame_reader_t *reader, wwh_frame_fault_t fault);

wwh_frame_reader_t *wwh_frame_reader_new(size_t max_payload)
{
	wwh_frame_reader_t *reader = g_new0(wwh_frame_reader_t, 1);

	assert(max_payload <= WWH_FRAME_PAYLOAD_MAX);
	reader->max_payload = max_payload;
	reader->buffer = g_byte_array_new();
	return reader;
}

void wwh_frame_reader_delete(wwh_frame_reader_t *reader)
{
	if (reader == NULL)
		return;
	g_byte_array_unref(reader->buffer);
	g_free(reader);
}

wwh_status_t wwh_frame_reader_feed(wwh_frame_reader_t *reader,
				   const uint8_t *data, size_t size,
				   wwh_frame_visit_t visit, void *client_data)
{
	size_t limit = WWH_FRAME_HEADER_BYTES + reader->max_payload;

	while (size > 0 && !reader->rejected) {
		size_t room = limit - reader->buffer->len;
		size_t part = MIN(size, room);

		g_byte_array_append(reader->buffer, data, (guint)part);
		data += part;
		size -= part;
		if (!visit_frames(reader, visit, client_data))
			break;
		assert(reader->buffer->len < limit);
	}
	return reader->rejected ? WWH_STATUS_BAD_INPUT : WWH_STATUS_OK;
}

wwh_frame_fault_t wwh_frame_reader_fault(const wwh_frame_reader_t *reader)
{
	return reader->fault;
}

size_t wwh_frame_reader_buffered_bytes(const wwh_frame_reader_t *reader)
{
	return reader->buffer->len;
}

wwh_status_t wwh_frame_write(GByteArray *out, wwh_frame_kind_t kind,
			     const uint8_t *payload, size_t size)
{
	uint8_t header[WWH_FRAME_HEADER_BYTES] = { 0 };

	if (size > WWH_FRAME_PAYLOAD_MAX)
		return WWH_STATUS_LIMIT;
	assert(wwh_msgpack_bounded(payload, size, WWH_FRAME_DEPTH_MAX));
	memcpy(header, magic, sizeof(magic));
	header[VERSION_OFFSET] = WWH_FRAME_VERSION;
	header[KIND_OFFSET] = (uint8_t)kind;
	for (int i = 0; i < 4; i++)
		header[LENGTH_OFFSET + i] = (uint8_t)(size >> (24 - 8 * i));
	g_byte_array_append(out, header, sizeof(header));
	g_byte_array_append(out, payload, (guint)size);
	return WWH_STATUS_OK;
}

/* Checks the header bytes that have arrived so far. */
static wwh_frame_fault_t check_header(const wwh_frame_reader_t *reader,
				      const uint8_t *data, size_t size)
{
	if (memcmp(data, magic, MIN(size, sizeof(magic))) != 0)
		return WWH_FRAME_FOREIGN;
	if (size > VERSION_OFFSET && data[VERSION_OFFSET] != WWH_FRAME_VERSION)
		return WWH_FRAME_OTHER_VERSION;
	if (size > KIND_OFFSET && data[KIND_OFFSET] >= WWH_FRAME_KIND_COUNT)
		return WWH_FRAME_UNKNOWN_KIND;
	for (size_t i = ZERO_OFFSET; i < MIN(size, LENGTH_OFFSET); i++)
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
		length = (length << 8) | header[LENGTH_OFFSET + i];
	return length;
}

/* Passes each complete frame to visit; returns false after a rejection. */
static bool visit_frames(wwh_frame_reader_t *reader, wwh_frame_visit_t visit,
			 void *client_data)
{
	size_t at = 0;

	while (at < reader->buffer->len) {
		const uint8_t *data = reader->buffer->data + at;
		size_t size = reader->buffer->len - at;
		wwh_frame_fault_t fault = check_header(reader, data, size);
		const uint8_t *payload;
		size_t length;

		if (fault != WWH_FRAME_NO_FAULT)
			return reject(reader, fault);
		if (size < WWH_FRAME_HEADER_BYTES)
			break;
		length = payload_length(data);
		if (size - WWH_FRAME_HEADER_BYTES < length)
			break;
		payload = data + WWH_FRAME_HEADER_BYTES;
		if (!wwh_msgpack_bounded(payload, length, WWH_FRAME_DEPTH_MAX))
			return reject(reader, WWH_FRAME_BAD_PAYLOAD);
		if (!visit((wwh_frame_kind_t)data[KIND_OFFSET], payload, length,
			   client_data))
			return reject(reader, WWH_FRAME_NO_FAULT);
		at += WWH_FRAME_HEADER_BYTES + length;
	}
	g_byte_array_remove_range(reader->buffer, 0, (guint)at);
	return true;
}

static bool reject(wwh_frame_reader_t *reader, wwh_frame_fault_t fault)
{
	reader->rejected = true;
	reader->fault = fault;
	g_byte_array_set_size(reader->buffer, 0);
	return false;
}
