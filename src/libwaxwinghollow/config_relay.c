#include "waxwinghollow/config_relay.h"

#include <assert.h>
#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define DEPTH 2
#define REQUEST_FIELDS 2
#define PART_FIELDS 7
#define PART_BYTES (128 * 1024)
#define MAX_BACKOFF 3

typedef enum {
	MESSAGE_REQUEST = 0,
	MESSAGE_PART
} message_t;

typedef struct {
	int64_t version;
	int64_t offset;
	GBytes *change;
} kept_t;

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
	GQueue kept; /* kept_t *, versions without a gap up to version */
	int64_t max_retained_bytes;
	int64_t behind_ms; /* since when a newer version is known; 0: none */
	char *asked; /* address; NULL: no request is open */
	int64_t asked_ms;
	int32_t failures; /* requests in a row that brought nothing */
	int64_t served_whole_ms;
	part_t transfer; /* without data: what the next part must fit to */
	GByteArray *received;
};

static void kept_free(gpointer data);
static void end_request(wwh_config_relay_t *relay);
static void ask(wwh_config_relay_t *relay, const char *address, int64_t now_ms);
static bool read_number(const msgpack_object *object, int64_t *number);
static wwh_status_t take_fields(wwh_config_relay_t *relay,
				const char *from_address,
				const msgpack_object_array *fields,
				int64_t now_ms);
static bool read_part(const msgpack_object *field, part_t *part);
static void serve(wwh_config_relay_t *relay, const char *address, int64_t have,
		  int64_t now_ms);
static void serve_whole(wwh_config_relay_t *relay, const char *address,
			int64_t have, int64_t now_ms);
static void send_parts(wwh_config_relay_t *relay, const char *address,
		       part_t head, GBytes *change);
static void send_part(wwh_config_relay_t *relay, const char *address,
		      const part_t *part);
static bool take_part(wwh_config_relay_t *relay, const part_t *part,
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
	relay->served_whole_ms = -options->min_full_interval_ms;
	relay->received = g_byte_array_new();
	return relay;
}

void wwh_config_relay_delete(wwh_config_relay_t *relay)
{
	if (relay == NULL)
		return;
	g_queue_clear_full(&relay->kept, kept_free);
	g_byte_array_unref(relay->received);
	g_free(relay->asked);
	g_free(relay);
}

void wwh_config_relay_add_change(wwh_config_relay_t *relay, int64_t version,
				 int64_t offset, GBytes *change)
{
	kept_t *kept;

	if (version <= relay->version)
		return;
	if (version != relay->version + 1)
		wwh_config_relay_reset(relay, version - 1);
	kept = g_new0(kept_t, 1);
	kept->version = version;
	kept->offset = offset;
	kept->change = g_bytes_ref(change);
	g_queue_push_tail(&relay->kept, kept);
	relay->max_retained_bytes += (int64_t)g_bytes_get_size(change);
	relay->version = version;
	while (relay->max_retained_bytes > relay->options.max_retained_bytes) {
		kept_t *oldest = g_queue_pop_head(&relay->kept);

		relay->max_retained_bytes -=
			(int64_t)g_bytes_get_size(oldest->change);
		kept_free(oldest);
	}
}

void wwh_config_relay_reset(wwh_config_relay_t *relay, int64_t version)
{
	if (version <= relay->version)
		return;
	g_queue_clear_full(&relay->kept, kept_free);
	relay->max_retained_bytes = 0;
	relay->version = version;
}

void wwh_config_relay_tick(wwh_config_relay_t *relay, int64_t newest,
			   const char *address, int64_t now_ms)
{
	int64_t patience_ms = (int64_t)relay->options.answer_timeout_ms
			      << MIN(relay->failures, MAX_BACKOFF);

	if (newest <= relay->version) {
		relay->behind_ms = 0;
		relay->failures = 0;
		end_request(relay);
		return;
	}
	if (relay->behind_ms == 0)
		relay->behind_ms = now_ms;
	if (relay->asked != NULL) {
		if (now_ms - relay->asked_ms < patience_ms)
			return;
		relay->failures++;
		end_request(relay);
	}
	if (address[0] != '\0' &&
	    now_ms - relay->behind_ms >= relay->options.request_delay_ms)
		ask(relay, address, now_ms);
}

wwh_status_t wwh_config_relay_receive(wwh_config_relay_t *relay,
				      const char *from_address,
				      const uint8_t *payload, size_t size,
				      int64_t now_ms)
{
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	msgpack_unpacked unpacked;
	size_t at = 0;

	if (wwh_msgpack_bounded(payload, size, DEPTH)) {
		msgpack_unpacked_init(&unpacked);
		if (msgpack_unpack_next(&unpacked, (const char *)payload, size,
					&at) == MSGPACK_UNPACK_SUCCESS &&
		    unpacked.data.type == MSGPACK_OBJECT_ARRAY)
			status = take_fields(relay, from_address,
					     &unpacked.data.via.array, now_ms);
		msgpack_unpacked_destroy(&unpacked);
	}
	if (status != WWH_STATUS_OK)
		relay->stats.refused++;
	return status;
}

const wwh_config_relay_stats_t *
wwh_config_relay_stats(const wwh_config_relay_t *relay)
{
	return &relay->stats;
}

static void kept_free(gpointer data)
{
	kept_t *kept = data;

	g_bytes_unref(kept->change);
	g_free(kept);
}

static void end_request(wwh_config_relay_t *relay)
{
	g_clear_pointer(&relay->asked, g_free);
	g_byte_array_set_size(relay->received, 0);
	relay->transfer = (part_t){ 0 };
}

static void ask(wwh_config_relay_t *relay, const char *address, int64_t now_ms)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	relay->asked = g_strdup(address);
	relay->asked_ms = now_ms;
	relay->stats.asked++;
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

static wwh_status_t take_fields(wwh_config_relay_t *relay,
				const char *from_address,
				const msgpack_object_array *fields,
				int64_t now_ms)
{
	int64_t kind;
	int64_t have;
	part_t part;

	if (fields->size < REQUEST_FIELDS || !read_number(fields->ptr, &kind))
		return WWH_STATUS_BAD_INPUT;
	if (kind == MESSAGE_REQUEST && fields->size == REQUEST_FIELDS &&
	    read_number(&fields->ptr[1], &have)) {
		serve(relay, from_address, have, now_ms);
		return WWH_STATUS_OK;
	}
	if (kind != MESSAGE_PART || fields->size != PART_FIELDS ||
	    !read_part(fields->ptr, &part) || relay->asked == NULL ||
	    strcmp(relay->asked, from_address) != 0 ||
	    !take_part(relay, &part, now_ms))
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

static void serve(wwh_config_relay_t *relay, const char *address, int64_t have,
		  int64_t now_ms)
{
	const kept_t *oldest = g_queue_peek_head(&relay->kept);

	if (have >= relay->version)
		return;
	if (oldest == NULL || oldest->version > have + 1) {
		serve_whole(relay, address, have, now_ms);
		return;
	}
	for (GList *link = relay->kept.head; link != NULL; link = link->next) {
		const kept_t *kept = link->data;
		part_t head = { .from = kept->version - 1,
				.version = kept->version,
				.offset = kept->offset };

		if (kept->version <= have)
			continue;
		relay->stats.served_changes++;
		send_parts(relay, address, head, kept->change);
	}
}

static void serve_whole(wwh_config_relay_t *relay, const char *address,
			int64_t have, int64_t now_ms)
{
	part_t head = { 0 };
	GBytes *get_full_config;

	if (now_ms - relay->served_whole_ms <
	    relay->options.min_full_interval_ms) {
		relay->stats.put_off++;
		return;
	}
	get_full_config = relay->options.get_full_config(
		&head.version, &head.offset, relay->options.client_data);
	if (get_full_config != NULL && head.version > have) {
		relay->served_whole_ms = now_ms;
		relay->stats.served_wholes++;
		send_parts(relay, address, head, get_full_config);
	}
	if (get_full_config != NULL)
		g_bytes_unref(get_full_config);
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

/* false: it does not fit to what was asked for or came so far. */
static bool take_part(wwh_config_relay_t *relay, const part_t *part,
		      int64_t now_ms)
{
	part_t *transfer = &relay->transfer;
	bool starts = part->part == 0 && transfer->part == 0;
	bool goes_on = part->part == transfer->part &&
		       part->from == transfer->from &&
		       part->version == transfer->version &&
		       part->offset == transfer->offset &&
		       part->parts == transfer->parts;
	bool fits = starts ? part->version > relay->version &&
				     (part->from == 0 ||
				      part->from == relay->version)
			   : goes_on;

	if (!fits || (int64_t)(relay->received->len + part->size) >
			     relay->options.max_transfer_bytes) {
		end_request(relay);
		relay->failures++;
		return false;
	}
	relay->asked_ms = now_ms;
	g_byte_array_append(relay->received, part->data, (guint)part->size);
	*transfer = *part;
	transfer->data = NULL;
	transfer->part++;
	if (transfer->part < transfer->parts)
		return true;
	if (install(relay, part))
		return true;
	/* Refused: ask no sooner than after a backoff. */
	relay->failures = MAX_BACKOFF;
	return false;
}

static bool install(wwh_config_relay_t *relay, const part_t *part)
{
	GBytes *change =
		g_bytes_new(relay->received->data, relay->received->len);
	bool taken =
		relay->options.install(part->from, part->version, part->offset,
				       change, relay->options.client_data);

	g_byte_array_set_size(relay->received, 0);
	relay->transfer = (part_t){ 0 };
	if (taken) {
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
	return taken;
}
