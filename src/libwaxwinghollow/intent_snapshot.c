#include <string.h>

#include "private/intent_internal.h"
#include "private/record_fields.h"
#include "private/state_internal.h"
#include "waxwinghollow/snapshot.h"

#define OFFSET_BYTES 8
#define TOMBSTONE_BYTES (WWH_KEY_HASH_BYTES + OFFSET_BYTES)

typedef struct {
	char *service;
	char *key;
	char *process;
	uint8_t fingerprint[WWH_FINGERPRINT_BYTES];
	int64_t offset;
	int64_t sequence;
	int32_t state;
	int32_t http_status;
	bool body_kept;
	char *content_type;
	GBytes *body;
	int64_t body_order; /* WWH_NO_OFFSET: no body */
} key_row_t;

typedef struct {
	char *name;
	int64_t offset;
} abandoned_row_t;

typedef struct {
	int32_t format;
	int32_t stream;
	int64_t last_offset;
	int64_t keys_upto;
	int64_t tombstones_upto;
	int64_t next_body_order;
	int64_t expired_early;
	int32_t keys_max;
	int32_t tombstones_max;
	int32_t abandoned_max;
	int64_t bodies_max_bytes;
	GPtrArray *keys; /* of key_row_t, in the order of the list */
	GPtrArray *abandoned; /* of abandoned_row_t, in the order of offsets */
	GBytes *tombstones; /* hash and offset of each, in their order */
} whole_t;

#define TEXT(type, member, max)                                                \
	{                                                                      \
#member, WWH_CODEC_ID, offsetof(type, member), 0, max          \
	}
#define INT32(type, member, min, max)                                          \
	{                                                                      \
#member, WWH_CODEC_INT32, offsetof(type, member), min, max     \
	}
#define INT64(type, member, min)                                               \
	{                                                                      \
#member, WWH_CODEC_INT64, offsetof(type, member), min,         \
			INT64_MAX - 1                                          \
	}
#define BYTES(type, member, max)                                               \
	{                                                                      \
#member, WWH_CODEC_BYTES, offsetof(type, member), 0, max       \
	}
#define ITEMS(type, member, fields)                                            \
	{                                                                      \
#member, WWH_CODEC_ITEMS, offsetof(type, member), 0,           \
			INT32_MAX, fields                                      \
	}

static const wwh_codec_field_t key_row[] = {
	TEXT(key_row_t, service, WWH_ID_BYTES_MAX),
	TEXT(key_row_t, key, WWH_KEY_BYTES_MAX),
	TEXT(key_row_t, process, WWH_ID_BYTES_MAX),
	{ "fingerprint", WWH_CODEC_FIXED, offsetof(key_row_t, fingerprint),
	  WWH_FINGERPRINT_BYTES, WWH_FINGERPRINT_BYTES },
	INT64(key_row_t, offset, 0),
	INT64(key_row_t, sequence, 0),
	INT32(key_row_t, state, WWH_KEY_IN_PROGRESS, WWH_KEY_UNKNOWN),
	INT32(key_row_t, http_status, 0, INT16_MAX),
	{ "body_kept", WWH_CODEC_BOOL, offsetof(key_row_t, body_kept), 0, 1 },
	TEXT(key_row_t, content_type, WWH_CONTENT_TYPE_BYTES_MAX),
	BYTES(key_row_t, body, WWH_KEPT_BODY_BYTES_MAX),
	INT64(key_row_t, body_order, WWH_NO_OFFSET),
};

static const wwh_codec_fields_t key_row_fields = { key_row,
						   G_N_ELEMENTS(key_row),
						   sizeof(key_row_t) };

static const wwh_codec_field_t abandoned_row[] = {
	TEXT(abandoned_row_t, name, WWH_ID_BYTES_MAX),
	INT64(abandoned_row_t, offset, 0),
};

static const wwh_codec_fields_t abandoned_row_fields = {
	abandoned_row, G_N_ELEMENTS(abandoned_row), sizeof(abandoned_row_t)
};

static const wwh_codec_field_t whole[] = {
	INT32(whole_t, format, WWH_SNAPSHOT_FORMAT, WWH_SNAPSHOT_FORMAT),
	INT32(whole_t, stream, WWH_STREAM_INTENTS, WWH_STREAM_INTENTS),
	INT64(whole_t, last_offset, WWH_NO_OFFSET),
	INT64(whole_t, keys_upto, 0),
	INT64(whole_t, tombstones_upto, 0),
	INT64(whole_t, next_body_order, 0),
	INT64(whole_t, expired_early, 0),
	INT32(whole_t, keys_max, 1, INT32_MAX),
	INT32(whole_t, tombstones_max, 1, INT32_MAX),
	INT32(whole_t, abandoned_max, 0, INT32_MAX),
	INT64(whole_t, bodies_max_bytes, 0),
	ITEMS(whole_t, keys, &key_row_fields),
	ITEMS(whole_t, abandoned, &abandoned_row_fields),
	BYTES(whole_t, tombstones, INT32_MAX),
};

static const wwh_codec_fields_t whole_fields = { whole, G_N_ELEMENTS(whole),
						 sizeof(whole_t) };

static void free_key_row(void *row)
{
	wwh_state_item_free(&key_row_fields, row);
}

static void free_abandoned_row(void *row)
{
	wwh_state_item_free(&abandoned_row_fields, row);
}

static key_row_t *make_key_row(const wwh_intent_key_t *key)
{
	key_row_t *row = wwh_state_item_new(&key_row_fields);

	wwh_record_set(&row->service, key->name);
	wwh_record_set(&row->key, key->name + key->service_size + 1);
	wwh_record_set(&row->process, key->process->name);
	memcpy(row->fingerprint, key->fingerprint, WWH_FINGERPRINT_BYTES);
	row->offset = key->offset;
	row->sequence = key->sequence;
	row->state = key->state;
	row->http_status = key->http_status;
	row->body_kept = key->body_kept;
	if (key->content_type != NULL)
		wwh_record_set(&row->content_type, key->content_type);
	if (key->body == NULL)
		return row;
	g_bytes_unref(row->body);
	row->body = g_bytes_ref(key->body);
	row->body_order = key->body_order;
	return row;
}

static GPtrArray *key_rows(const wwh_intents_t *intents)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(free_key_row);

	for (const wwh_intent_key_t *key = intents->first_key; key != NULL;
	     key = key->next)
		g_ptr_array_add(rows, make_key_row(key));
	return rows;
}

static GPtrArray *abandoned_rows(const wwh_intents_t *intents)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(free_abandoned_row);

	for (const GList *link = intents->abandoned.head; link != NULL;
	     link = link->next) {
		const wwh_intent_process_t *process = link->data;
		abandoned_row_t *row =
			wwh_state_item_new(&abandoned_row_fields);

		wwh_record_set(&row->name, process->name);
		row->offset = process->abandoned;
		g_ptr_array_add(rows, row);
	}
	return rows;
}

static GBytes *tombstone_bytes(const wwh_intents_t *intents)
{
	GByteArray *bytes = g_byte_array_new();

	for (const wwh_tombstone_t *tombstone = intents->first_tombstone;
	     tombstone != NULL; tombstone = tombstone->next) {
		uint64_t offset = GUINT64_TO_BE((uint64_t)tombstone->offset);

		g_byte_array_append(bytes, tombstone->hash, WWH_KEY_HASH_BYTES);
		g_byte_array_append(bytes, (const uint8_t *)&offset,
				    OFFSET_BYTES);
	}
	return g_byte_array_free_to_bytes(bytes);
}

GBytes *wwh_snapshot_encode_intents(const wwh_intents_t *intents)
{
	whole_t view = {
		.format = WWH_SNAPSHOT_FORMAT,
		.stream = WWH_STREAM_INTENTS,
		.last_offset = intents->last_offset,
		.keys_upto = intents->keys_upto,
		.tombstones_upto = intents->tombstones_upto,
		.next_body_order = intents->next_body_order,
		.expired_early = intents->expired_early,
		.keys_max = intents->limits.keys_max,
		.tombstones_max = intents->limits.tombstones_max,
		.abandoned_max = intents->limits.abandoned_max,
		.bodies_max_bytes = intents->limits.bodies_max_bytes,
		.keys = key_rows(intents),
		.abandoned = abandoned_rows(intents),
		.tombstones = tombstone_bytes(intents),
	};
	wwh_message_t message = { "" };
	GBytes *bytes = wwh_codec_encode(&whole_fields, &view, &message);

	if (bytes == NULL)
		g_error("the intents can't be encoded: %s", message.text);
	g_ptr_array_unref(view.keys);
	g_ptr_array_unref(view.abandoned);
	g_bytes_unref(view.tombstones);
	return bytes;
}

static void restore_totals(wwh_intents_t *intents, const whole_t *from)
{
	intents->last_offset = from->last_offset;
	intents->keys_upto = from->keys_upto;
	intents->tombstones_upto = from->tombstones_upto;
	intents->next_body_order = from->next_body_order;
	intents->expired_early = from->expired_early;
}

static bool restore_abandoned(wwh_intents_t *intents, const GPtrArray *rows)
{
	int64_t last = WWH_NO_OFFSET;

	if ((int64_t)rows->len > intents->limits.abandoned_max)
		return false;
	for (guint i = 0; i < rows->len; i++) {
		const abandoned_row_t *row = rows->pdata[i];

		if (row->name[0] == '\0' || row->offset <= last ||
		    row->offset > intents->last_offset ||
		    wwh_intents_is_abandoned(intents, row->name))
			return false;
		wwh_intents_set_abandoned(intents, row->name, row->offset);
		last = row->offset;
	}
	return true;
}

static bool restore_tombstones(wwh_intents_t *intents, GBytes *bytes)
{
	int64_t last = intents->tombstones_upto;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	if (size % TOMBSTONE_BYTES != 0)
		return false;
	for (gsize at = 0; at < size; at += TOMBSTONE_BYTES) {
		uint64_t offset;

		memcpy(&offset, data + at + WWH_KEY_HASH_BYTES, OFFSET_BYTES);
		offset = GUINT64_FROM_BE(offset);
		if (offset > (uint64_t)intents->last_offset ||
		    intents->last_offset < 0 || (int64_t)offset < last)
			return false;
		wwh_intents_add_tombstone(intents, data + at, (int64_t)offset);
		last = (int64_t)offset;
	}
	return true;
}

static bool valid_key_row(const wwh_intents_t *intents, const key_row_t *row)
{
	bool has_body = g_bytes_get_size(row->body) > 0;

	if (row->service[0] == '\0' || row->key[0] == '\0' ||
	    row->process[0] == '\0')
		return false;
	if (row->offset < intents->keys_upto ||
	    row->offset > intents->last_offset)
		return false;
	if (intents->last_key != NULL &&
	    intents->last_key->offset > row->offset)
		return false;
	if (has_body != (row->body_order != WWH_NO_OFFSET) ||
	    row->body_order >= intents->next_body_order)
		return false;
	if (!row->body_kept && (has_body || row->content_type[0] != '\0'))
		return false;
	if (row->body_kept && row->state != WWH_KEY_ANSWERED)
		return false;
	if (row->state == WWH_KEY_IN_PROGRESS &&
	    wwh_intents_is_abandoned(intents, row->process))
		return false;
	return !wwh_intents_has_tombstone(intents, row->service, row->key) &&
	       wwh_intents_find(intents, row->service, row->key) == NULL;
}

static bool restore_key(wwh_intents_t *intents, const key_row_t *row)
{
	wwh_intent_key_t *key;

	if (!valid_key_row(intents, row))
		return false;
	key = wwh_intents_add(intents, row->service, row->key, row->process);
	memcpy(key->fingerprint, row->fingerprint, WWH_FINGERPRINT_BYTES);
	key->offset = row->offset;
	key->sequence = row->sequence;
	key->state = (uint8_t)row->state;
	key->http_status = (int16_t)row->http_status;
	return true;
}

static gint by_body_order(gconstpointer a, gconstpointer b)
{
	const key_row_t *left = *(key_row_t *const *)a;
	const key_row_t *right = *(key_row_t *const *)b;

	return left->body_order < right->body_order
		       ? -1
		       : left->body_order > right->body_order;
}

/* The oldest answer loses its body first, so their order is state too. */
static bool restore_bodies(wwh_intents_t *intents, GPtrArray *rows)
{
	int64_t last = WWH_NO_OFFSET;

	g_ptr_array_sort(rows, by_body_order);
	for (guint i = 0; i < rows->len; i++) {
		const key_row_t *row = rows->pdata[i];

		if (row->body_order != WWH_NO_OFFSET) {
			if (row->body_order == last)
				return false;
			last = row->body_order;
		}
		if (row->body_kept)
			wwh_intents_set_body(
				intents,
				wwh_intents_find(intents, row->service,
						 row->key),
				row->body, row->content_type, row->body_order);
	}
	return true;
}

static bool restore(wwh_intents_t *intents, const whole_t *from)
{
	restore_totals(intents, from);
	if (intents->tombstones_upto > intents->keys_upto ||
	    (int64_t)from->keys->len > intents->limits.keys_max ||
	    !restore_abandoned(intents, from->abandoned) ||
	    !restore_tombstones(intents, from->tombstones))
		return false;
	for (guint i = 0; i < from->keys->len; i++) {
		if (!restore_key(intents, from->keys->pdata[i]))
			return false;
	}
	return restore_bodies(intents, from->keys);
}

static bool same_again(const wwh_intents_t *intents, const uint8_t *data,
		       size_t size)
{
	GBytes *again = wwh_snapshot_encode_intents(intents);
	bool same = g_bytes_get_size(again) == size &&
		    memcmp(g_bytes_get_data(again, NULL), data, size) == 0;

	g_bytes_unref(again);
	return same;
}

wwh_status_t wwh_snapshot_decode_intents(const uint8_t *data, size_t size,
					 wwh_intents_t **intents,
					 wwh_message_t *message)
{
	wwh_intents_t *made = NULL;
	whole_t from;

	*intents = NULL;
	wwh_message_set(message, "the snapshot contradicts itself");
	if (wwh_codec_decode(&whole_fields, data, size, &from, message)) {
		wwh_intent_limits_t limits = {
			.keys_max = from.keys_max,
			.tombstones_max = from.tombstones_max,
			.bodies_max_bytes = from.bodies_max_bytes,
			.abandoned_max = from.abandoned_max,
		};

		made = wwh_intents_new(&limits);
		if (!restore(made, &from) || !same_again(made, data, size))
			g_clear_pointer(&made, wwh_intents_delete);
	}
	wwh_codec_clear(&whole_fields, &from);
	*intents = made;
	return made != NULL ? WWH_STATUS_OK : WWH_STATUS_BAD_INPUT;
}
