#include "waxwinghollow/record.h"

#include <inttypes.h>
#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"
#include "private/record_fields.h"

#define HEADER_FIELDS 3 /* format, kind, author */
#define DEPTH_MAX 8

static const wwh_codec_field_t author_field = {
	"author", WWH_CODEC_ID, 0, 1, WWH_ID_BYTES_MAX, NULL
};

static bool encode_fields(msgpack_packer *packer,
			  const wwh_codec_fields_t *fields, const void *base,
			  wwh_message_t *message);
static bool decode_fields(const msgpack_object *objects, uint32_t count,
			  const wwh_codec_fields_t *fields, void *base,
			  wwh_message_t *message);

static bool in_bounds(const wwh_codec_field_t *field, int64_t value,
		      wwh_message_t *message)
{
	if (value >= field->min && value <= field->max)
		return true;
	wwh_message_set(message,
			"%s is %" PRId64 ", allowed are %" PRId64
			" to %" PRId64,
			field->name, value, field->min, field->max);
	return false;
}

/* Ids appear in logs and paths, so control characters are not allowed. */
static bool is_valid_text(const wwh_codec_field_t *field, const char *text,
			  size_t size, wwh_message_t *message)
{
	if (!in_bounds(field, (int64_t)size, message))
		return false;
	for (size_t i = 0; i < size; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c < ' ' || c == 0x7f) {
			wwh_message_set(message, "%s has a control character",
					field->name);
			return false;
		}
	}
	if (!g_utf8_validate(text, (gssize)size, NULL)) {
		wwh_message_set(message, "%s is not UTF-8", field->name);
		return false;
	}
	return true;
}

static bool encode_text(msgpack_packer *packer, const wwh_codec_field_t *field,
			const char *text, wwh_message_t *message)
{
	size_t size = strlen(text);

	if (!is_valid_text(field, text, size, message))
		return false;
	msgpack_pack_str_with_body(packer, text, size);
	return true;
}

static bool encode_bytes(msgpack_packer *packer, const wwh_codec_field_t *field,
			 GBytes *bytes, wwh_message_t *message)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	if (!in_bounds(field, (int64_t)size, message))
		return false;
	msgpack_pack_bin_with_body(packer, data, size);
	return true;
}

static bool encode_ids(msgpack_packer *packer, const wwh_codec_field_t *field,
		       const GPtrArray *ids, wwh_message_t *message)
{
	if (!in_bounds(field, ids->len, message))
		return false;
	msgpack_pack_array(packer, ids->len);
	for (guint i = 0; i < ids->len; i++) {
		if (!encode_text(packer, &author_field, ids->pdata[i], message))
			return false;
	}
	return true;
}

static bool encode_items(msgpack_packer *packer, const wwh_codec_field_t *field,
			 const GPtrArray *items, wwh_message_t *message)
{
	if (!in_bounds(field, items->len, message))
		return false;
	msgpack_pack_array(packer, items->len);
	for (guint i = 0; i < items->len; i++) {
		msgpack_pack_array(packer, (size_t)field->item->count);
		if (!encode_fields(packer, field->item, items->pdata[i],
				   message))
			return false;
	}
	return true;
}

static bool encode_int(msgpack_packer *packer, const wwh_codec_field_t *field,
		       int64_t value, wwh_message_t *message)
{
	if (!in_bounds(field, value, message))
		return false;
	msgpack_pack_int64(packer, value);
	return true;
}

static bool encode_field(msgpack_packer *packer, const wwh_codec_field_t *field,
			 const void *at, wwh_message_t *message)
{
	switch (field->type) {
	case WWH_CODEC_ID:
		return encode_text(packer, field, *(char *const *)at, message);
	case WWH_CODEC_INT32:
		return encode_int(packer, field, *(const int32_t *)at, message);
	case WWH_CODEC_INT64:
		return encode_int(packer, field, *(const int64_t *)at, message);
	case WWH_CODEC_UINT64:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		return true;
	case WWH_CODEC_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		return true;
	case WWH_CODEC_BYTES:
		return encode_bytes(packer, field, *(GBytes *const *)at,
				    message);
	case WWH_CODEC_FIXED:
		msgpack_pack_bin_with_body(packer, at, (size_t)field->max);
		return true;
	case WWH_CODEC_IDS:
		return encode_ids(packer, field, *(GPtrArray *const *)at,
				  message);
	case WWH_CODEC_ITEMS:
		return encode_items(packer, field, *(GPtrArray *const *)at,
				    message);
	}
	return false;
}

static bool encode_fields(msgpack_packer *packer,
			  const wwh_codec_fields_t *fields, const void *base,
			  wwh_message_t *message)
{
	for (int32_t i = 0; i < fields->count; i++) {
		const wwh_codec_field_t *field = &fields->field[i];

		if (!encode_field(packer, field, (const char *)base + field->at,
				  message))
			return false;
	}
	return true;
}

GBytes *wwh_record_encode(const wwh_record_t *record, wwh_message_t *message)
{
	const wwh_codec_fields_t *fields = wwh_record_fields(record->kind);
	GBytes *bytes = NULL;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	bool valid;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, (size_t)(HEADER_FIELDS + fields->count));
	msgpack_pack_int32(&packer, WWH_RECORD_FORMAT);
	msgpack_pack_int32(&packer, (int32_t)record->kind);
	valid = encode_text(&packer, &author_field, record->author, message) &&
		encode_fields(&packer, fields, &record->body, message);
	if (valid && buffer.size > WWH_RECORD_BYTES_MAX) {
		wwh_message_set(message,
				"the record has %zu bytes, allowed "
				"are %d",
				buffer.size, WWH_RECORD_BYTES_MAX);
		valid = false;
	}
	if (valid)
		bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

static bool wrong_type(const wwh_codec_field_t *field, wwh_message_t *message)
{
	wwh_message_set(message, "%s has the wrong type", field->name);
	return false;
}

static bool decode_text(const msgpack_object *object,
			const wwh_codec_field_t *field, char **text,
			wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return wrong_type(field, message);
	if (!is_valid_text(field, object->via.str.ptr, object->via.str.size,
			   message))
		return false;
	g_free(*text);
	/* msgpack-c may set the pointer of an empty string to NULL. */
	*text = object->via.str.size == 0
			? g_strdup("")
			: g_strndup(object->via.str.ptr, object->via.str.size);
	return true;
}

static bool decode_int(const msgpack_object *object,
		       const wwh_codec_field_t *field, int64_t *value,
		       wwh_message_t *message)
{
	if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		if (object->via.u64 > INT64_MAX)
			return wrong_type(field, message);
		*value = (int64_t)object->via.u64;
	} else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = object->via.i64;
	} else {
		return wrong_type(field, message);
	}
	return in_bounds(field, *value, message);
}

static bool decode_bytes(const msgpack_object *object,
			 const wwh_codec_field_t *field, GBytes **bytes,
			 wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return wrong_type(field, message);
	if (!in_bounds(field, object->via.bin.size, message))
		return false;
	g_bytes_unref(*bytes);
	*bytes = g_bytes_new(object->via.bin.ptr, object->via.bin.size);
	return true;
}

static bool decode_fixed(const msgpack_object *object,
			 const wwh_codec_field_t *field, void *at,
			 wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return wrong_type(field, message);
	if (!in_bounds(field, object->via.bin.size, message))
		return false;
	memcpy(at, object->via.bin.ptr, object->via.bin.size);
	return true;
}

static bool decode_ids(const msgpack_object *object,
		       const wwh_codec_field_t *field, GPtrArray *ids,
		       wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return wrong_type(field, message);
	if (!in_bounds(field, object->via.array.size, message))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		char *id = NULL;

		if (!decode_text(&object->via.array.ptr[i], &author_field, &id,
				 message))
			return false;
		g_ptr_array_add(ids, id);
	}
	return true;
}

static bool decode_items(const msgpack_object *object,
			 const wwh_codec_field_t *field, GPtrArray *items,
			 wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return wrong_type(field, message);
	if (!in_bounds(field, object->via.array.size, message))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *row = &object->via.array.ptr[i];
		void *item;

		if (row->type != MSGPACK_OBJECT_ARRAY)
			return wrong_type(field, message);
		item = g_malloc0(field->item->size);
		wwh_codec_init(field->item, item);
		g_ptr_array_add(items, item);
		if (!decode_fields(row->via.array.ptr, row->via.array.size,
				   field->item, item, message))
			return false;
	}
	return true;
}

static bool decode_int32(const msgpack_object *object,
			 const wwh_codec_field_t *field, int32_t *value,
			 wwh_message_t *message)
{
	int64_t wide;

	if (!decode_int(object, field, &wide, message))
		return false;
	*value = (int32_t)wide;
	return true;
}

static bool decode_bool(const msgpack_object *object,
			const wwh_codec_field_t *field, bool *value,
			wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_BOOLEAN)
		return wrong_type(field, message);
	*value = object->via.boolean;
	return true;
}

static bool decode_uint64(const msgpack_object *object,
			  const wwh_codec_field_t *field, uint64_t *value,
			  wwh_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return wrong_type(field, message);
	*value = object->via.u64;
	return true;
}

static bool decode_field(const msgpack_object *object,
			 const wwh_codec_field_t *field, void *at,
			 wwh_message_t *message)
{
	switch (field->type) {
	case WWH_CODEC_ID:
		return decode_text(object, field, at, message);
	case WWH_CODEC_INT32:
		return decode_int32(object, field, at, message);
	case WWH_CODEC_INT64:
		return decode_int(object, field, at, message);
	case WWH_CODEC_UINT64:
		return decode_uint64(object, field, at, message);
	case WWH_CODEC_BOOL:
		return decode_bool(object, field, at, message);
	case WWH_CODEC_BYTES:
		return decode_bytes(object, field, at, message);
	case WWH_CODEC_FIXED:
		return decode_fixed(object, field, at, message);
	case WWH_CODEC_IDS:
		return decode_ids(object, field, *(GPtrArray **)at, message);
	case WWH_CODEC_ITEMS:
		return decode_items(object, field, *(GPtrArray **)at, message);
	}
	return false;
}

static bool decode_fields(const msgpack_object *objects, uint32_t count,
			  const wwh_codec_fields_t *fields, void *base,
			  wwh_message_t *message)
{
	if (count != (uint32_t)fields->count) {
		wwh_message_set(message, "%u fields, expected %d", count,
				fields->count);
		return false;
	}
	for (int32_t i = 0; i < fields->count; i++) {
		const wwh_codec_field_t *field = &fields->field[i];

		if (!decode_field(&objects[i], field, (char *)base + field->at,
				  message))
			return false;
	}
	return true;
}

/* Checks format and kind, on which the rest of the array depends. */
static bool decode_kind(const msgpack_object *object, wwh_record_kind_t *kind,
			wwh_message_t *message)
{
	static const wwh_codec_field_t format_field = {
		"format",	   WWH_CODEC_INT32,   0,
		WWH_RECORD_FORMAT, WWH_RECORD_FORMAT, NULL
	};
	static const wwh_codec_field_t kind_field = {
		"kind", WWH_CODEC_INT32, 0, 0, WWH_RECORD_KIND_COUNT - 1, NULL
	};
	int64_t value;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < HEADER_FIELDS) {
		wwh_message_set(message, "expected an array of record fields");
		return false;
	}
	if (!decode_int(&object->via.array.ptr[0], &format_field, &value,
			message) ||
	    !decode_int(&object->via.array.ptr[1], &kind_field, &value,
			message))
		return false;
	*kind = (wwh_record_kind_t)value;
	return true;
}

static bool decode_record(const msgpack_object *object, wwh_record_t *record,
			  wwh_message_t *message)
{
	const msgpack_object *fields;
	wwh_record_kind_t kind;
	char *author = NULL;

	if (!decode_kind(object, &kind, message))
		return false;
	fields = object->via.array.ptr;
	if (!decode_text(&fields[2], &author_field, &author, message))
		return false;
	wwh_record_init(record, kind, author);
	g_free(author);
	return decode_fields(fields + HEADER_FIELDS,
			     object->via.array.size - HEADER_FIELDS,
			     wwh_record_fields(kind), &record->body, message);
}

wwh_status_t wwh_record_decode(const uint8_t *data, size_t size,
			       wwh_record_t *record, wwh_message_t *message)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid = false;

	memset(record, 0, sizeof(*record));
	if (size > WWH_RECORD_BYTES_MAX ||
	    !wwh_msgpack_bounded(data, size, DEPTH_MAX)) {
		wwh_message_set(message, "not one bounded msgpack object");
		return WWH_STATUS_BAD_INPUT;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) ==
	    MSGPACK_UNPACK_SUCCESS)
		valid = decode_record(&unpacked.data, record, message);
	else
		wwh_message_set(message, "invalid MessagePack");
	msgpack_unpacked_destroy(&unpacked);
	if (valid)
		return WWH_STATUS_OK;
	wwh_record_clear(record);
	return WWH_STATUS_BAD_INPUT;
}

GBytes *wwh_codec_encode(const wwh_codec_fields_t *fields, const void *base,
			 wwh_message_t *message)
{
	GBytes *bytes = NULL;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, (size_t)fields->count);
	if (encode_fields(&packer, fields, base, message))
		bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

bool wwh_codec_decode(const wwh_codec_fields_t *fields, const uint8_t *data,
		      size_t size, void *base, wwh_message_t *message)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid = false;

	wwh_codec_init(fields, base);
	if (!wwh_msgpack_bounded(data, size, DEPTH_MAX)) {
		wwh_message_set(message, "not one bounded msgpack object");
		return false;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    unpacked.data.type != MSGPACK_OBJECT_ARRAY)
		wwh_message_set(message, "expected a MessagePack array");
	else
		valid = decode_fields(unpacked.data.via.array.ptr,
				      unpacked.data.via.array.size, fields,
				      base, message);
	msgpack_unpacked_destroy(&unpacked);
	return valid;
}
