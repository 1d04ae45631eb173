#include "waxwinghollow/config_relay.h"

#include <assert.h>
#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define MAX_DEPTH 2
#define REQUEST_FIELDS 2
#define PART_FIELDS 7
#define PART_BYTES (128 * 1024)
#define MAX_BACKOFF_SHIFT 3

typedef enum {
	MESSAGE_REQUEST = 0,
	MESSAGE_PART
} message_t;

typedef struct {
	int64_t version;
	int64_t offset;
	GBytes *change;
} retained_change_t;

typedef struct {
	int64_t from;
	int64_t version;
	int64_t offset;
	int64_t part;
	int64_t parts;
	const uint8_t *data;
	size_t size;
} part_t;

struct wwh_config_relay {
	wwh_config_relay_options_t options;
	wwh_config_relay_stats_t stats;
	int64_t version; /* in force here */
	GQueue retained; /* retained_change_t *, consecutive, up to version */
	int64_t retained_bytes;
	int64_t behind_since_ms; /* 0: no newer version is known */
	char *requested_from; /* address; NULL: no request is pending */
	int64_t last_progress_ms; /* request sent or last part received */
	int32_t failures; /* consecutive requests without a change installed */
	int64_t served_full_ms;
	part_t expected; /* header of the next part; its data is NULL */
	GByteArray *received;
};

static void retained_change_free(gpointer data);
static void end_request(wwh_config_relay_t *relay);
static void send_request(wwh_config_relay_t *relay, const char *address,
			 int64_t now_ms);
static bool read_number(const msgpack_object *object, int64_t *number);
static wwh_status_t handle_message(wwh_config_relay_t *relay,
				   const char *from_address,
				   const msgpack_object_array *fields,
				   int64_t now_ms);
static bool read_part(const msgpack_object *field, part_t *part);
static void serve(wwh_config_relay_t *relay, const char *address,
		  int64_t peer_version, int64_t now_ms);
static void serve_full_config(wwh_config_relay_t *relay, const char *address,
			      int64_t peer_version, int64_t now_ms);
static void send_parts(wwh_config_relay_t *relay, const char *address,
		       part_t head, GBytes *change);
static void send_part(wwh_config_relay_t *relay, const char *address,
		      const part_t *part);
static bool accept_part(wwh_config_relay_t *relay, const part_t *part,
			int64_t now_ms);
static bool install(wwh_config_relay_t *relay, const part_t *part);

void wwh_config_relay_options_defaults(wwh_config_relay_options_t *options)
{
	*options = (wwh_config_relay_options_t){
		.max_retained_bytes = 256 * 1024,
		.max_transfer_bytes = (int64_t)16 * 1024 * 1024,
		.request_delay_ms = 1000,
		.answer_timeout_ms = 3000,
		.min_full_interval_ms = 500,
	};
}

wwh_config_relay_t *
wwh_config_relay_new(const wwh_config_relay_options_t *options)
{
	wwh_config_relay_t *relay = g_new0(wwh_config_relay_t, 1);

	relay->options = *options;
	relay->served_full_ms = -options->min_full_interval_ms;
	relay->received = g_byte_array_new();
	return relay;
}

void wwh_config_relay_delete(wwh_config_relay_t *relay)
{
	if (relay == NULL)
		return;
	g_queue_clear_full(&relay->retained, retained_change_free);
	g_byte_array_unref(relay->received);
	g_free(relay->requested_from);
	g_free(relay);
}

void wwh_config_relay_add_change(wwh_config_relay_t *relay, int64_t version,
				 int64_t offset, GBytes *change)
{
	retained_change_t *retained;

	if (version <= relay->version)
		return;
	if (version != relay->version + 1)
		wwh_config_relay_reset(relay, version - 1);
	retained = g_new0(retained_change_t, 1);
	retained->version = version;
	retained->offset = offset;
	retained->change = g_bytes_ref(change);
	g_queue_push_tail(&relay->retained, retained);
	relay->retained_bytes += (int64_t)g_bytes_get_size(change);
	relay->version = version;
	while (relay->retained_bytes > relay->options.max_retained_bytes) {
		retained_change_t *oldest = g_queue_pop_head(&relay->retained);

		relay->retained_bytes -=
			(int64_t)g_bytes_get_size(oldest->change);
		retained_change_free(oldest);
	}
}

void wwh_config_relay_reset(wwh_config_relay_t *relay, int64_t version)
{
	if (version <= relay->version)
		return;
	g_queue_clear_full(&relay->retained, retained_change_free);
	relay->retained_bytes = 0;
	relay->version = version;
}

void wwh_config_relay_tick(wwh_config_relay_t *relay, int64_t newest,
			   const char *address, int64_t now_ms)
{
	int64_t timeout_ms = (int64_t)relay->options.answer_timeout_ms
			     << MIN(relay->failures, MAX_BACKOFF_SHIFT);

	if (newest <= relay->version) {
		relay->behind_since_ms = 0;
		relay->failures = 0;
		end_request(relay);
		return;
	}
	if (relay->behind_since_ms == 0)
		relay->behind_since_ms = now_ms;
	if (relay->requested_from != NULL) {
		if (now_ms - relay->last_progress_ms < timeout_ms)
			return;
		relay->failures++;
		end_request(relay);
	}
	if (address[0] != '\0' &&
	    now_ms - relay->behind_since_ms >= relay->options.request_delay_ms)
		send_request(relay, address, now_ms);
}

wwh_status_t wwh_config_relay_receive(wwh_config_relay_t *relay,
				      const char *from_address,
				      const uint8_t *payload, size_t size,
				      int64_t now_ms)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	msgpack_unpacked unpacked;
	size_t at = 0;

	if (wwh_msgpack_bounded(payload, size, MAX_DEPTH)) {
		msgpack_unpacked_init(&unpacked);
		if (msgpack_unpack_next(&unpacked, (const char *)payload, size,
					&at) == MSGPACK_UNPACK_SUCCESS &&
		    unpacked.data.type == MSGPACK_OBJECT_ARRAY)
			status = handle_message(relay, from_address,
						&unpacked.data.via.array,
						now_ms);
		msgpack_unpacked_destroy(&unpacked);
	}
	if (status != WWH_STATUS_OK)
		relay->stats.rejected++;
	return status;
}

const wwh_config_relay_stats_t *
wwh_config_relay_stats(const wwh_config_relay_t *relay)
{
	return &relay->stats;
}

static void retained_change_free(gpointer data)
{
	retained_change_t *retained = data;

	g_bytes_unref(retained->change);
	g_free(retained);
}

static void end_request(wwh_config_relay_t *relay)
{
	g_clear_pointer(&relay->requested_from, g_free);
	g_byte_array_set_size(relay->received, 0);
	relay->expected = (part_t){ 0 };
}

static void send_request(wwh_config_relay_t *relay, const char *address,
			 int64_t now_ms)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	relay->requested_from = g_strdup(address);
	relay->last_progress_ms = now_ms;
	relay->stats.requests_sent++;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, REQUEST_FIELDS);
	msgpack_pack_int(&packer, MESSAGE_REQUEST);
	msgpack_pack_int64(&packer, relay->version);
	relay->options.send(address, (const uint8_t *)buffer.data, buffer.size,
			    relay->options.client_data);
	msgpack_sbuffer_destroy(&buffer);
}

static bool read_number(const msgpack_object *object, int64_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*number = (int64_t)object->via.u64;
	return true;
}

static wwh_status_t handle_message(wwh_config_relay_t *relay,
				   const char *from_address,
				   const msgpack_object_array *fields,
				   int64_t now_ms)
{
	int64_t kind;
	int64_t peer_version;
	part_t part;

	if (fields->size < REQUEST_FIELDS || !read_number(fields->ptr, &kind))
		return WWH_STATUS_BAD_INPUT;
	if (kind == MESSAGE_REQUEST && fields->size == REQUEST_FIELDS &&
	    read_number(&fields->ptr[1], &peer_version)) {
		serve(relay, from_address, peer_version, now_ms);
		return WWH_STATUS_OK;
	}
	if (kind != MESSAGE_PART || fields->size != PART_FIELDS ||
	    !read_part(fields->ptr, &part) || relay->requested_from == NULL ||
	    strcmp(relay->requested_from, from_address) != 0 ||
	    !accept_part(relay, &part, now_ms))
		return WWH_STATUS_BAD_INPUT;
	return WWH_STATUS_OK;
}

static bool read_part(const msgpack_object *field, part_t *part)
{
	if (!read_number(&field[1], &part->from) ||
	    !read_number(&field[2], &part->version) ||
	    !read_number(&field[3], &part->offset) ||
	    !read_number(&field[4], &part->part) ||
	    !read_number(&field[5], &part->parts) ||
	    field[6].type != MSGPACK_OBJECT_BIN)
		return false;
	part->data = (const uint8_t *)field[6].via.bin.ptr;
	part->size = field[6].via.bin.size;
	return part->part < part->parts && part->from < part->version;
}

static void serve(wwh_config_relay_t *relay, const char *address,
		  int64_t peer_version, int64_t now_ms)
{
	const retained_change_t *oldest = g_queue_peek_head(&relay->retained);

	if (peer_version >= relay->version)
		return;
	if (oldest == NULL || oldest->version > peer_version + 1) {
		serve_full_config(relay, address, peer_version, now_ms);
		return;
	}
	for (GList *link = relay->retained.head; link != NULL;
	     link = link->next) {
		const retained_change_t *retained = link->data;
		part_t head = { .from = retained->version - 1,
				.version = retained->version,
				.offset = retained->offset };

		if (retained->version <= peer_version)
			continue;
		relay->stats.served_changes++;
		send_parts(relay, address, head, retained->change);
	}
}

static void serve_full_config(wwh_config_relay_t *relay, const char *address,
			      int64_t peer_version, int64_t now_ms)
{
	part_t head = { 0 };
	GBytes *config;

	if (now_ms - relay->served_full_ms <
	    relay->options.min_full_interval_ms) {
		relay->stats.deferred_full++;
		return;
	}
	config = relay->options.get_full_config(&head.version, &head.offset,
						relay->options.client_data);
	if (config != NULL && head.version > peer_version) {
		relay->served_full_ms = now_ms;
		relay->stats.served_full++;
		send_parts(relay, address, head, config);
	}
	if (config != NULL)
		g_bytes_unref(config);
}

static void send_parts(wwh_config_relay_t *relay, const char *address,
		       part_t head, GBytes *change)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(change, &size);

	if (size == 0)
		data = (const uint8_t *)"";
	head.parts = MAX(1, (int64_t)((size + PART_BYTES - 1) / PART_BYTES));
	for (head.part = 0; head.part < head.parts; head.part++) {
		size_t at = (size_t)head.part * PART_BYTES;

		head.data = data + at;
		head.size = MIN(PART_BYTES, size - at);
		send_part(relay, address, &head);
	}
}

static void send_part(wwh_config_relay_t *relay, const char *address,
		      const part_t *part)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, PART_FIELDS);
	msgpack_pack_int(&packer, MESSAGE_PART);
	msgpack_pack_int64(&packer, part->from);
	msgpack_pack_int64(&packer, part->version);
	msgpack_pack_int64(&packer, part->offset);
	msgpack_pack_int64(&packer, part->part);
	msgpack_pack_int64(&packer, part->parts);
	msgpack_pack_bin(&packer, part->size);
	msgpack_pack_bin_body(&packer, part->data, part->size);
	relay->options.send(address, (const uint8_t *)buffer.data, buffer.size,
			    relay->options.client_data);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Returns false if the part doesn't match the request or the parts received so
 * far, or if the change that it completes is rejected.
 */
static bool accept_part(wwh_config_relay_t *relay, const part_t *part,
			int64_t now_ms)
{
	part_t *expected = &relay->expected;
	bool is_first = part->part == 0 && expected->part == 0;
	bool continues = part->part == expected->part &&
			 part->from == expected->from &&
			 part->version == expected->version &&
			 part->offset == expected->offset &&
			 part->parts == expected->parts;
	bool matches = is_first ? part->version > relay->version &&
					  (part->from == 0 ||
					   part->from == relay->version)
				: continues;

	if (!matches || (int64_t)(relay->received->len + part->size) >
				relay->options.max_transfer_bytes) {
		end_request(relay);
		relay->failures++;
		return false;
	}
	relay->last_progress_ms = now_ms;
	g_byte_array_append(relay->received, part->data, (guint)part->size);
	*expected = *part;
	expected->data = NULL;
	expected->part++;
	if (expected->part < expected->parts)
		return true;
	if (install(relay, part))
		return true;
	/* The change was rejected: wait for the longest backoff. */
	relay->failures = MAX_BACKOFF_SHIFT;
	return false;
}

static bool install(wwh_config_relay_t *relay, const part_t *part)
{
	GBytes *change =
		g_bytes_new(relay->received->data, relay->received->len);
	bool ok =
		relay->options.install(part->from, part->version, part->offset,
				       change, relay->options.client_data);

	g_byte_array_set_size(relay->received, 0);
	relay->expected = (part_t){ 0 };
	if (ok) {
		relay->stats.installed++;
		relay->failures = 0;
		if (part->from == 0 && part->version != 1)
			wwh_config_relay_reset(relay, part->version);
		else
			wwh_config_relay_add_change(relay, part->version,
						    part->offset, change);
		assert(relay->version == part->version);
	}
	g_bytes_unref(change);
	return ok;
}
