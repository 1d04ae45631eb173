#include "private/msgpack_bounds.h"

#define MAX_NESTING 32

/* What the first byte of an object says of the rest. */
typedef struct {
	size_t length_bytes; /* big-endian length that follows */
	size_t payload_bytes; /* fixed, besides that length */
	bool counts_items; /* the length is of items, not of bytes */
	uint32_t items_each; /* 2 for maps */
	uint64_t fixed_length; /* when length_bytes is 0 */
	bool valid;
} shape_t;

static shape_t shape_of(uint8_t byte);
static shape_t shape_of_wide(uint8_t byte);
static bool read_length(const uint8_t *data, size_t size, size_t *at,
			const shape_t *shape, uint64_t *length);

bool wwh_msgpack_bounded(const uint8_t *data, size_t size, int32_t max_depth)
{
	uint64_t open[MAX_NESTING + 1] = { 1 }; /* objects still to come */
	int32_t depth = 0;
	size_t at = 0;

	if (max_depth > MAX_NESTING)
		max_depth = MAX_NESTING;
	while (depth > 0 || open[0] > 0) {
		uint64_t length = 0;
		shape_t shape;

		if (at >= size)
			return false;
		open[depth]--;
		shape = shape_of(data[at++]);
		if (!shape.valid ||
		    !read_length(data, size, &at, &shape, &length))
			return false;
		if (shape.counts_items && length > 0) {
			if (depth == max_depth || length > size - at)
				return false;
			open[++depth] = length * shape.items_each;
		} else if (!shape.counts_items) {
			if (length + shape.payload_bytes > size - at)
				return false;
			at += length + shape.payload_bytes;
		}
		while (depth > 0 && open[depth] == 0)
			depth--;
	}
	return at == size;
}

static shape_t shape_of(uint8_t byte)
{
	shape_t shape = { .items_each = 1, .valid = true };

	if (byte <= 0x7f || byte >= 0xe0)
		return shape; /* small integers */
	if (byte <= 0x9f) {
		shape.counts_items = true;
		shape.items_each = byte <= 0x8f ? 2 : 1;
		shape.fixed_length = byte & 0x0f;
		return shape;
	}
	if (byte <= 0xbf) {
		shape.fixed_length = byte & 0x1f;
		return shape;
	}
	return shape_of_wide(byte);
}

static shape_t shape_of_wide(uint8_t byte)
{
	shape_t shape = { .items_each = 1, .valid = byte != 0xc1 };

	if (byte >= 0xc4 && byte <= 0xc9) { /* bin and ext */
		shape.length_bytes = (size_t)1 << ((byte - 0xc4) % 3);
		shape.payload_bytes = byte >= 0xc7 ? 1 : 0;
	} else if (byte == 0xca || byte == 0xcb) {
		shape.payload_bytes = byte == 0xca ? 4 : 8;
	} else if (byte >= 0xcc && byte <= 0xd3) {
		shape.payload_bytes = (size_t)1 << (byte & 3);
	} else if (byte >= 0xd4 && byte <= 0xd8) { /* fixed ext */
		shape.payload_bytes = 1 + ((size_t)1 << (byte - 0xd4));
	} else if (byte >= 0xd9 && byte <= 0xdb) { /* str */
		shape.length_bytes = (size_t)1 << (byte - 0xd9);
	} else if (byte >= 0xdc) {
		shape.counts_items = true;
		shape.items_each = byte >= 0xde ? 2 : 1;
		shape.length_bytes = (byte & 1) != 0 ? 4 : 2;
	}
	return shape;
}

static bool read_length(const uint8_t *data, size_t size, size_t *at,
			const shape_t *shape, uint64_t *length)
{
	*length = shape->fixed_length;
	if (shape->length_bytes > size - *at)
		return false;
	for (size_t i = 0; i < shape->length_bytes; i++)
		*length = (*length << 8) | data[(*at)++];
	return true;
}
