#include "private/platform_http_decode.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <msgpack.h>
#include <string.h>

#include "private/json_shape.h"
#include "private/msgpack_bounds.h"

#define RECORDS_DEPTH 3

typedef bool (*row_decoder_t)(JsonObject *object, void *result);

static JsonParser *parse_object(const uint8_t *data, size_t size,
				JsonObject **object);
static bool get_number(JsonObject *object, const char *name, int64_t *number);
static bool get_string(JsonObject *object, const char *name, const char **text);
static bool get_enum(JsonObject *object, const char *name,
		     const char *const *names, int32_t count, int32_t *index);
static wwh_status_t decode_list(JsonObject *object, const char *name,
				row_decoder_t decode, GArray *results);
static bool decode_host(JsonObject *object, void *result);
static bool decode_report(JsonObject *object, void *result);
static bool records_valid(const msgpack_object *object);
static bool record_valid(const msgpack_object *object);
static bool is_offset(const msgpack_object *object);

wwh_status_t wwh_decode_offset(const uint8_t *data, size_t size,
			       int64_t *offset)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	JsonObject *object;
	JsonParser *parser = parse_object(data, size, &object);

	if (object != NULL && get_number(object, "offset", offset) &&
	    *offset > 0)
		status = WWH_STATUS_OK;
	g_object_unref(parser);
	return status;
}

wwh_status_t wwh_decode_records(const uint8_t *data, size_t size,
				wwh_log_visit_t visit, void *client_data,
				int64_t *first, int64_t *next)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	msgpack_unpacked unpacked;
	size_t at = 0;

	if (!wwh_msgpack_bounded(data, size, RECORDS_DEPTH))
		return status;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &at) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    records_valid(&unpacked.data)) {
		const msgpack_object *top = unpacked.data.via.array.ptr;
		const msgpack_object_array *list = &top[2].via.array;
		bool more = true;

		*first = top[0].via.i64;
		*next = top[1].via.i64;
		for (uint32_t i = 0; more && i < list->size; i++) {
			const msgpack_object *row = list->ptr[i].via.array.ptr;
			wwh_log_entry_t entry = { .offset = row[0].via.i64 };

			memcpy(entry.append_id.bytes, row[1].via.bin.ptr,
			       WWH_APPEND_ID_BYTES);
			entry.data = (const uint8_t *)row[2].via.bin.ptr;
			entry.size = row[2].via.bin.size;
			more = visit(&entry, client_data);
		}
		status = WWH_STATUS_OK;
	}
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

wwh_status_t wwh_decode_hosts(const uint8_t *data, size_t size,
			      wwh_host_visit_t visit, void *client_data)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(wwh_host_t));
	JsonObject *object;
	JsonParser *parser = parse_object(data, size, &object);

	if (object != NULL)
		status = decode_list(object, "hosts", decode_host, hosts);
	for (guint i = 0; i < hosts->len; i++)
		visit(&g_array_index(hosts, wwh_host_t, i), client_data);
	g_array_unref(hosts);
	g_object_unref(parser);
	return status;
}

wwh_status_t wwh_decode_worker_status(const uint8_t *data, size_t size,
				      wwh_worker_status_t *status)
{
	wwh_status_t result = WWH_STATUS_BAD_INPUT;
	JsonObject *object;
	JsonParser *parser = parse_object(data, size, &object);
	int32_t state;
	int64_t running;

	if (object != NULL &&
	    get_enum(object, "state", wwh_worker_state_names,
		     WWH_WORKER_STATE_COUNT, &state) &&
	    get_number(object, "fence", &status->fence) &&
	    get_number(object, "boots", &status->boots) &&
	    get_number(object, "running_tasks", &running) &&
	    running <= INT32_MAX) {
		status->state = (wwh_worker_state_t)state;
		status->running_tasks = (int32_t)running;
		result = WWH_STATUS_OK;
	}
	g_object_unref(parser);
	return result;
}

wwh_status_t wwh_decode_task_reports(const uint8_t *data, size_t size,
				     wwh_task_visit_t visit, void *client_data)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	GArray *reports = g_array_new(FALSE, TRUE, sizeof(wwh_task_report_t));
	JsonObject *object;
	JsonParser *parser = parse_object(data, size, &object);

	if (object != NULL)
		status = decode_list(object, "tasks", decode_report, reports);
	for (guint i = 0; i < reports->len; i++)
		visit(&g_array_index(reports, wwh_task_report_t, i),
		      client_data);
	g_array_unref(reports);
	g_object_unref(parser);
	return status;
}

/* *object is owned by the parser, and NULL if data isn't a JSON object. */
static JsonParser *parse_object(const uint8_t *data, size_t size,
				JsonObject **object)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonNode *root = NULL;

	*object = NULL;
	/* The parser would take bytes outside UTF-8 for the end. */
	if (size > 0 &&
	    g_utf8_validate((const char *)data, (gssize)size, NULL) &&
	    wwh_json_load(parser, (const char *)data, size))
		root = json_parser_get_root(parser);
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
		*object = json_node_get_object(root);
	return parser;
}

/* No number of the protocol is negative. */
static bool get_number(JsonObject *object, const char *name, int64_t *number)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*number = json_node_get_int(node);
	return *number >= 0;
}

static bool get_string(JsonObject *object, const char *name, const char **text)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	*text = json_node_get_string(node);
	return true;
}

static bool get_enum(JsonObject *object, const char *name,
		     const char *const *names, int32_t count, int32_t *index)
{
	const char *text;

	if (!get_string(object, name, &text))
		return false;
	for (*index = 0; *index < count; (*index)++)
		if (strcmp(text, names[*index]) == 0)
			return true;
	return false;
}

/* Decodes the valid rows. Returns BAD_INPUT if there are invalid ones. */
static wwh_status_t decode_list(JsonObject *object, const char *name,
				row_decoder_t decode, GArray *results)
{
	JsonNode *node = json_object_get_member(object, name);
	wwh_status_t status = WWH_STATUS_OK;
	JsonArray *list;
	guint count = 0;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return WWH_STATUS_BAD_INPUT;
	list = json_node_get_array(node);
	g_array_set_size(results, json_array_get_length(list));
	for (guint i = 0; i < json_array_get_length(list); i++) {
		JsonNode *item = json_array_get_element(list, i);
		char *result = results->data +
			       count * g_array_get_element_size(results);

		if (JSON_NODE_HOLDS_OBJECT(item) &&
		    decode(json_node_get_object(item), result))
			count++;
		else
			status = WWH_STATUS_BAD_INPUT;
	}
	g_array_set_size(results, count);
	return status;
}

static bool decode_host(JsonObject *object, void *result)
{
	wwh_host_t *host = result;
	int32_t kind;
	int32_t state;

	if (!get_enum(object, "kind", wwh_host_kind_names, WWH_HOST_KIND_COUNT,
		      &kind) ||
	    !get_enum(object, "state", wwh_host_state_names,
		      WWH_HOST_STATE_COUNT, &state))
		return false;
	host->kind = (wwh_host_kind_t)kind;
	host->state = (wwh_host_state_t)state;
	return get_string(object, "id", &host->id) &&
	       get_string(object, "address", &host->address) &&
	       get_string(object, "zone", &host->zone);
}

static bool decode_report(JsonObject *object, void *result)
{
	wwh_task_report_t *report = result;
	int32_t state;
	int64_t cores;

	if (!get_enum(object, "state", wwh_task_state_names,
		      WWH_TASK_STATE_COUNT, &state) ||
	    !get_number(object, "used_cores_milli", &cores) ||
	    !get_number(object, "used_memory_mb", &report->used_memory_mb) ||
	    cores > INT32_MAX || report->used_memory_mb > INT32_MAX)
		return false;
	report->state = (wwh_task_state_t)state;
	report->used_cores_milli = (int32_t)cores;
	return get_string(object, "task_id", &report->task_id) &&
	       get_string(object, "worker_id", &report->worker_id) &&
	       get_number(object, "fence", &report->fence);
}

/* Expects [first, next, [record, ...]] with ascending offsets below next. */
static bool records_valid(const msgpack_object *object)
{
	const msgpack_object *top = object->via.array.ptr;
	int64_t last = 0;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != 3 || !is_offset(&top[0]) ||
	    !is_offset(&top[1]) || top[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < top[2].via.array.size; i++) {
		const msgpack_object *row = &top[2].via.array.ptr[i];

		if (!record_valid(row) || row->via.array.ptr[0].via.i64 <= last)
			return false;
		last = row->via.array.ptr[0].via.i64;
	}
	return last < top[1].via.i64;
}

static bool record_valid(const msgpack_object *object)
{
	const msgpack_object *row = object->via.array.ptr;

	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size == 3 && is_offset(&row[0]) &&
	       row[1].type == MSGPACK_OBJECT_BIN &&
	       row[1].via.bin.size == WWH_APPEND_ID_BYTES &&
	       row[2].type == MSGPACK_OBJECT_BIN;
}

static bool is_offset(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       object->via.u64 > 0 && object->via.u64 <= INT64_MAX;
}
