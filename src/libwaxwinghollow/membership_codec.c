#include <msgpack.h>
#include <string.h>

#include "private/membership_private.h"
#include "private/msgpack_bounds.h"

#define DEPTH 3
#define FIELDS 14
#define FACT_FIELDS 7
#define SUMMARY_FIELDS 7
#define OBSERVATION_FIELDS 4
#define LEAVING_REPORT_FIELDS 2
#define SUMMARY_REQUEST_FIELDS 1

/* Reads the fields of an array in order. After an error all reads fail. */
typedef struct {
	const msgpack_object *next;
	const msgpack_object *end;
	bool failed;
	GPtrArray *texts; /* owns the strings that were read */
} cursor_t;

typedef void (*read_item_t)(cursor_t *cursor, void *item);

static void pack_text(msgpack_packer *packer, const char *text);
static void pack_lists(msgpack_packer *packer, const wwh_gossip_t *message);
static void pack_summary(msgpack_packer *packer,
			 const wwh_member_summary_t *summary);
static bool read_message(cursor_t *cursor, wwh_gossip_t *message);
static const msgpack_object *next_object(cursor_t *cursor,
					 msgpack_object_type type);
static uint64_t read_number(cursor_t *cursor, uint64_t max);
static const char *read_text(cursor_t *cursor, bool may_be_empty);
static bool read_flag(cursor_t *cursor);
static void read_list(cursor_t *cursor, uint32_t fields, read_item_t read,
		      GArray *items);
static void read_fact(cursor_t *cursor, void *item);
static void read_summary_update(cursor_t *cursor, void *item);
static void read_observation(cursor_t *cursor, void *item);
static void read_leaving_report(cursor_t *cursor, void *item);
static void read_summary_request(cursor_t *cursor, void *item);

void wwh_gossip_init(wwh_gossip_t *message, wwh_gossip_type_t type)
{
	*message = (wwh_gossip_t){
		.type = type,
		.from = "",
		.target = "",
		.target_address = "",
		.newest_address = "",
		.facts = g_array_new(FALSE, TRUE, sizeof(wwh_fact_t)),
		.summaries =
			g_array_new(FALSE, TRUE, sizeof(wwh_summary_update_t)),
		.observations =
			g_array_new(FALSE, TRUE, sizeof(wwh_observation_t)),
		.leaving_reports =
			g_array_new(FALSE, TRUE, sizeof(wwh_leaving_report_t)),
		.summary_requests =
			g_array_new(FALSE, TRUE, sizeof(wwh_summary_request_t)),
	};
}

void wwh_gossip_clear(wwh_gossip_t *message)
{
	g_array_unref(message->facts);
	g_array_unref(message->summaries);
	g_array_unref(message->observations);
	g_array_unref(message->leaving_reports);
	g_array_unref(message->summary_requests);
}

GByteArray *wwh_gossip_encode(const wwh_gossip_t *message)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_int(&packer, message->type);
	msgpack_pack_uint32(&packer, message->number);
	pack_text(&packer, message->from);
	pack_text(&packer, message->target);
	pack_text(&packer, message->target_address);
	msgpack_pack_int64(&packer, message->newest_version);
	pack_text(&packer, message->newest_address);
	msgpack_pack_int(&packer, message->wants_full_state ? 1 : 0);
	msgpack_pack_uint32(&packer, message->known_count);
	pack_lists(&packer, message);
	g_byte_array_append(bytes, (const guint8 *)buffer.data,
			    (guint)buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

wwh_status_t wwh_gossip_decode(const uint8_t *data, size_t size,
			       wwh_gossip_handler_t handle, void *client_data)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	msgpack_unpacked unpacked;
	wwh_gossip_t message;
	cursor_t cursor = { 0 };
	size_t offset = 0;

	if (!wwh_msgpack_bounded(data, size, DEPTH))
		return status;
	wwh_gossip_init(&message, WWH_GOSSIP_PING);
	cursor.texts = g_ptr_array_new_with_free_func(g_free);
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size == FIELDS) {
		cursor.next = unpacked.data.via.array.ptr;
		cursor.end = cursor.next + FIELDS;
		if (read_message(&cursor, &message)) {
			status = WWH_STATUS_OK;
			handle(&message, client_data);
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	g_ptr_array_unref(cursor.texts);
	wwh_gossip_clear(&message);
	return status;
}

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

static void pack_lists(msgpack_packer *packer, const wwh_gossip_t *message)
{
	msgpack_pack_array(packer, message->facts->len);
	for (guint i = 0; i < message->facts->len; i++) {
		const wwh_fact_t *fact =
			&g_array_index(message->facts, wwh_fact_t, i);

		msgpack_pack_array(packer, FACT_FIELDS);
		pack_text(packer, fact->id);
		msgpack_pack_uint64(packer, fact->incarnation);
		msgpack_pack_uint32(packer, fact->refutation);
		pack_text(packer, fact->address);
		pack_text(packer, fact->zone);
		pack_text(packer, fact->region);
		msgpack_pack_int(packer, fact->left ? 1 : 0);
	}
	msgpack_pack_array(packer, message->summaries->len);
	for (guint i = 0; i < message->summaries->len; i++) {
		const wwh_summary_update_t *update = &g_array_index(
			message->summaries, wwh_summary_update_t, i);

		msgpack_pack_array(packer, SUMMARY_FIELDS);
		pack_text(packer, update->id);
		msgpack_pack_uint32(packer, update->incarnation_tag);
		msgpack_pack_uint32(packer, update->sequence);
		pack_summary(packer, &update->summary);
	}
	msgpack_pack_array(packer, message->observations->len);
	for (guint i = 0; i < message->observations->len; i++) {
		const wwh_observation_t *observation = &g_array_index(
			message->observations, wwh_observation_t, i);

		msgpack_pack_array(packer, OBSERVATION_FIELDS);
		pack_text(packer, observation->target);
		msgpack_pack_uint64(packer, observation->incarnation);
		msgpack_pack_uint32(packer, observation->refutation);
		pack_text(packer, observation->observer);
	}
	msgpack_pack_array(packer, message->leaving_reports->len);
	for (guint i = 0; i < message->leaving_reports->len; i++) {
		const wwh_leaving_report_t *report = &g_array_index(
			message->leaving_reports, wwh_leaving_report_t, i);

		msgpack_pack_array(packer, LEAVING_REPORT_FIELDS);
		pack_text(packer, report->minion);
		msgpack_pack_int64(packer, report->age_ms);
	}
	msgpack_pack_array(packer, message->summary_requests->len);
	for (guint i = 0; i < message->summary_requests->len; i++) {
		msgpack_pack_array(packer, SUMMARY_REQUEST_FIELDS);
		pack_text(packer, g_array_index(message->summary_requests,
						wwh_summary_request_t, i)
					  .id);
	}
}

static void pack_summary(msgpack_packer *packer,
			 const wwh_member_summary_t *summary)
{
	msgpack_pack_int64(packer, summary->config_version);
	msgpack_pack_int64(packer, summary->config_offset);
	msgpack_pack_int64(packer, summary->log_offset);
	msgpack_pack_int32(packer, summary->load_permille);
}

static bool read_message(cursor_t *cursor, wwh_gossip_t *message)
{
	message->type = (wwh_gossip_type_t)read_number(
		cursor, WWH_GOSSIP_TYPE_COUNT - 1);
	message->number = (uint32_t)read_number(cursor, UINT32_MAX);
	message->from = read_text(cursor, false);
	message->target = read_text(cursor, true);
	message->target_address = read_text(cursor, true);
	message->newest_version = (int64_t)read_number(cursor, INT64_MAX);
	message->newest_address = read_text(cursor, true);
	message->wants_full_state = read_flag(cursor);
	message->known_count = (uint32_t)read_number(cursor, UINT32_MAX);
	read_list(cursor, FACT_FIELDS, read_fact, message->facts);
	read_list(cursor, SUMMARY_FIELDS, read_summary_update,
		  message->summaries);
	read_list(cursor, OBSERVATION_FIELDS, read_observation,
		  message->observations);
	read_list(cursor, LEAVING_REPORT_FIELDS, read_leaving_report,
		  message->leaving_reports);
	read_list(cursor, SUMMARY_REQUEST_FIELDS, read_summary_request,
		  message->summary_requests);
	return !cursor->failed;
}

static const msgpack_object *next_object(cursor_t *cursor,
					 msgpack_object_type type)
{
	const msgpack_object *object = cursor->next;

	if (cursor->failed || object == cursor->end || object->type != type) {
		cursor->failed = true;
		return NULL;
	}
	cursor->next++;
	return object;
}

static uint64_t read_number(cursor_t *cursor, uint64_t max)
{
	const msgpack_object *object =
		next_object(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (object == NULL)
		return 0;
	if (object->via.u64 > max)
		cursor->failed = true;
	return cursor->failed ? 0 : object->via.u64;
}

/* Never returns NULL, but "" after an error. */
static const char *read_text(cursor_t *cursor, bool may_be_empty)
{
	const msgpack_object *object = next_object(cursor, MSGPACK_OBJECT_STR);
	char *text;

	if (object == NULL)
		return "";
	if (object->via.str.size > WWH_MEMBER_TEXT_MAX ||
	    (object->via.str.size == 0 && !may_be_empty) ||
	    !g_utf8_validate(object->via.str.ptr, object->via.str.size, NULL)) {
		cursor->failed = true;
		return "";
	}
	text = g_strndup(object->via.str.ptr, object->via.str.size);
	g_ptr_array_add(cursor->texts, text);
	return text;
}

static bool read_flag(cursor_t *cursor)
{
	return read_number(cursor, 1) == 1;
}

static void read_list(cursor_t *cursor, uint32_t fields, read_item_t read,
		      GArray *items)
{
	const msgpack_object *list = next_object(cursor, MSGPACK_OBJECT_ARRAY);

	if (list == NULL)
		return;
	if (list->via.array.size > WWH_MESSAGE_ITEMS_MAX) {
		cursor->failed = true;
		return;
	}
	g_array_set_size(items, list->via.array.size);
	for (uint32_t i = 0; !cursor->failed && i < items->len; i++) {
		const msgpack_object *row = &list->via.array.ptr[i];
		cursor_t inner = { .texts = cursor->texts };

		if (row->type != MSGPACK_OBJECT_ARRAY ||
		    row->via.array.size != fields) {
			cursor->failed = true;
			return;
		}
		inner.next = row->via.array.ptr;
		inner.end = inner.next + fields;
		read(&inner, items->data + i * g_array_get_element_size(items));
		cursor->failed = inner.failed;
	}
}

static void read_fact(cursor_t *cursor, void *item)
{
	wwh_fact_t *fact = item;

	fact->id = read_text(cursor, false);
	fact->incarnation = read_number(cursor, UINT64_MAX);
	fact->refutation = (uint32_t)read_number(cursor, UINT32_MAX);
	fact->address = read_text(cursor, false);
	fact->zone = read_text(cursor, true);
	fact->region = read_text(cursor, true);
	fact->left = read_flag(cursor);
}

static void read_summary_update(cursor_t *cursor, void *item)
{
	wwh_summary_update_t *update = item;

	update->id = read_text(cursor, false);
	update->incarnation_tag =
		(uint32_t)read_number(cursor, WWH_INCARNATION_TAG_MASK);
	update->sequence = (uint32_t)read_number(cursor, UINT32_MAX);
	update->summary.config_version =
		(int64_t)read_number(cursor, INT64_MAX);
	update->summary.config_offset = (int64_t)read_number(cursor, INT64_MAX);
	update->summary.log_offset = (int64_t)read_number(cursor, INT64_MAX);
	update->summary.load_permille = (int32_t)read_number(cursor, INT32_MAX);
}

static void read_observation(cursor_t *cursor, void *item)
{
	wwh_observation_t *observation = item;

	observation->target = read_text(cursor, false);
	observation->incarnation = read_number(cursor, UINT64_MAX);
	observation->refutation = (uint32_t)read_number(cursor, UINT32_MAX);
	observation->observer = read_text(cursor, false);
}

static void read_leaving_report(cursor_t *cursor, void *item)
{
	wwh_leaving_report_t *report = item;

	report->minion = read_text(cursor, false);
	report->age_ms = (int64_t)read_number(cursor, INT64_MAX);
}

static void read_summary_request(cursor_t *cursor, void *item)
{
	wwh_summary_request_t *request = item;

	request->id = read_text(cursor, false);
}
