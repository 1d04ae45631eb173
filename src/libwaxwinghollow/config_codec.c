#include "waxwinghollow/config.h"

#include <msgpack.h>
#include <string.h>

#include "private/config_change.h"
#include "private/msgpack_bounds.h"

/*
 * [version of the format, [entry, ...]]; an entry is [kind, id] for an item
 * that is removed and [kind, [member, ...]] for one that is set, the members
 * in the order of the kind's table.
 */
#define FORMAT_VERSION 1
#define ENTRY_PARTS 2
#define MAX_DEPTH 4

static void encode_entry(msgpack_packer *packer,
			 const wwh_change_entry_t *entry);
static void encode_text(msgpack_packer *packer, const char *text);
static bool decode_root(const msgpack_object *root, wwh_config_change_t *change,
			wwh_message_t *message);
static bool decode_entry(const msgpack_object *object,
			 wwh_config_change_t *change, wwh_message_t *message);
static bool decode_removed(const msgpack_object *object, wwh_item_kind_t kind,
			   wwh_config_change_t *change, wwh_message_t *message);
static bool decode_item(const msgpack_object *object, wwh_item_kind_t kind,
			wwh_config_change_t *change, wwh_message_t *message);
static bool decode_field(const msgpack_object *object, const wwh_field_t *field,
			 void *item);
static char *text_of(const msgpack_object *object);
static bool in_order(const wwh_config_change_t *change);

GBytes *wwh_config_change_encode(const wwh_config_change_t *change)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int32(&packer, FORMAT_VERSION);
	msgpack_pack_array(&packer, change->entries->len);
	for (guint i = 0; i < change->entries->len; i++)
		encode_entry(&packer, wwh_change_at(change, i));
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

wwh_status_t wwh_config_change_decode(const uint8_t *data, size_t size,
				      wwh_config_change_t **change,
				      wwh_message_t *message)
{
	wwh_config_change_t *decoded = NULL;
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	*change = NULL;
	if (!wwh_msgpack_bounded(data, size, MAX_DEPTH)) {
		wwh_message_set(message,
				"change is not whole msgpack, expected one "
				"value of %zu bytes",
				size);
		return WWH_STATUS_BAD_INPUT;
	}
	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, (const char *)data, size,
				 &offset) == MSGPACK_UNPACK_SUCCESS;
	if (ok) {
		decoded = wwh_change_new();
		ok = decode_root(&unpacked.data, decoded, message);
	} else {
		wwh_message_set(message, "change can't be unpacked, expected "
					 "msgpack of moderate depth");
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!ok) {
		wwh_config_change_delete(decoded);
		return WWH_STATUS_BAD_INPUT;
	}
	*change = decoded;
	return WWH_STATUS_OK;
}

static void encode_entry(msgpack_packer *packer,
			 const wwh_change_entry_t *entry)
{
	const wwh_item_table_t *table = &wwh_item_tables[entry->kind];

	msgpack_pack_array(packer, ENTRY_PARTS);
	msgpack_pack_int32(packer, (int32_t)entry->kind);
	if (entry->item == NULL) {
		encode_text(packer, entry->id);
		return;
	}
	msgpack_pack_array(packer, (size_t)table->field_count);
	for (int32_t i = 0; i < table->field_count; i++) {
		const wwh_field_t *field = &table->fields[i];

		if (wwh_field_is_text(field))
			encode_text(packer, wwh_field_text(field, entry->item));
		else
			msgpack_pack_int64(
				packer, wwh_field_number(field, entry->item));
	}
}

static void encode_text(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

static bool decode_root(const msgpack_object *root, wwh_config_change_t *change,
			wwh_message_t *message)
{
	const msgpack_object *parts;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 2) {
		wwh_message_set(message,
				"change is not a list of two, expected "
				"[%d, [entry, ...]]",
				FORMAT_VERSION);
		return false;
	}
	parts = root->via.array.ptr;
	if (parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[0].via.u64 != FORMAT_VERSION) {
		wwh_message_set(message,
				"change has another format version, expected "
				"%d",
				FORMAT_VERSION);
		return false;
	}
	if (parts[1].type != MSGPACK_OBJECT_ARRAY) {
		wwh_message_set(message,
				"change has no list of entries, expected "
				"[entry, ...]");
		return false;
	}
	for (uint32_t i = 0; i < parts[1].via.array.size; i++) {
		if (!decode_entry(&parts[1].via.array.ptr[i], change, message))
			return false;
	}
	return true;
}

static bool decode_entry(const msgpack_object *object,
			 wwh_config_change_t *change, wwh_message_t *message)
{
	const msgpack_object *parts;
	wwh_item_kind_t kind;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != ENTRY_PARTS ||
	    object->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.array.ptr[0].via.u64 >= WWH_ITEM_COUNT) {
		wwh_message_set(message,
				"entry %u is malformed, expected [kind, item] "
				"with kind below %d",
				change->entries->len, WWH_ITEM_COUNT);
		return false;
	}
	parts = object->via.array.ptr;
	kind = (wwh_item_kind_t)parts[0].via.u64;
	if (parts[1].type == MSGPACK_OBJECT_STR) {
		if (!decode_removed(&parts[1], kind, change, message))
			return false;
	} else if (!decode_item(&parts[1], kind, change, message)) {
		return false;
	}
	if (in_order(change))
		return true;
	wwh_message_set(message,
			"entry %u is out of order, expected the order of kind "
			"and id, each once",
			change->entries->len - 1);
	return false;
}

static bool decode_removed(const msgpack_object *object, wwh_item_kind_t kind,
			   wwh_config_change_t *change, wwh_message_t *message)
{
	char *id = text_of(object);
	bool ok = id != NULL;

	if (ok && kind == WWH_ITEM_RULES)
		ok = strcmp(id, WWH_RULES_ID) == 0;
	else if (ok)
		ok = wwh_field_allows_text(&wwh_item_tables[kind].fields[0],
					   id);
	if (ok)
		wwh_change_add(change, kind, id, NULL);
	else
		wwh_message_set(message,
				"entry %u removes a %s of a bad id, expected "
				"letters, digits and . _ - :",
				change->entries->len,
				wwh_item_kind_names[kind]);
	g_free(id);
	return ok;
}

static bool decode_item(const msgpack_object *object, wwh_item_kind_t kind,
			wwh_config_change_t *change, wwh_message_t *message)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];
	void *item;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != (uint32_t)table->field_count) {
		wwh_message_set(message,
				"entry %u is not a %s, expected a list of %d "
				"members",
				change->entries->len, wwh_item_kind_names[kind],
				table->field_count);
		return false;
	}
	item = wwh_item_new(kind);
	for (int32_t i = 0; i < table->field_count; i++) {
		const wwh_field_t *field = &table->fields[i];
		char *expected;

		if (decode_field(&object->via.array.ptr[i], field, item))
			continue;
		expected = wwh_field_expected(field);
		wwh_message_set(message, "entry %u, %s: bad '%s', expected %s",
				change->entries->len, wwh_item_kind_names[kind],
				field->name, expected);
		g_free(expected);
		wwh_item_unref(kind, item);
		return false;
	}
	wwh_change_add(change, kind, wwh_item_id(kind, item), item);
	return true;
}

static bool decode_field(const msgpack_object *object, const wwh_field_t *field,
			 void *item)
{
	int64_t number;
	char *text;
	bool ok;

	if (wwh_field_is_text(field)) {
		text = text_of(object);
		ok = text != NULL && wwh_field_allows_text(field, text);
		if (ok)
			wwh_field_set_text(field, item, text);
		g_free(text);
		return ok;
	}
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		number = object->via.i64;
	else if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		 object->via.u64 <= INT64_MAX)
		number = (int64_t)object->via.u64;
	else
		return false;
	if (!wwh_field_allows_number(field, number))
		return false;
	wwh_field_set_number(field, item, number);
	return true;
}

/* NULL when it is not a string or holds a zero byte; to be freed. */
static char *text_of(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return NULL;
	if (object->via.str.size > 0 &&
	    memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static bool in_order(const wwh_config_change_t *change)
{
	guint count = change->entries->len;

	return count < 2 ||
	       wwh_change_entry_compare(wwh_change_at(change, count - 2),
					wwh_change_at(change, count - 1)) < 0;
}
