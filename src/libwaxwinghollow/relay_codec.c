#include "waxwinghollow/relay_codec.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define VERSION 1
#define DEPTH 4
#define BATCH_FIELDS 5
#define ORDER_FIELDS 8
#define RESULTS_FIELDS 6
#define RESULT_FIELDS 6
#define HELLO_FIELDS 5
#define REQUEST_FIELDS 2

#define ENDPOINT_BYTES_MAX 64
#define PATH_BYTES_MAX 256
#define HEADER_BYTES_MAX 512
#define METHOD "POST"

/* HTTP status codes have three digits. */
#define STATUS_MAX 999

/* Memory of an order besides its texts, with its call and its transfer. */
#define ORDER_OVERHEAD_BYTES 1024

const char *const wwh_relay_verdict_names[WWH_RELAY_VERDICT_COUNT] = {
	"accepted", "duplicate", "old-epoch", "other-incarnation", "stopping",
};

typedef struct {
	const msgpack_object *next;
	uint32_t left;
	bool ok;
} reader_t;

static int append(void *data, const char *bytes, size_t size);
static void pack_text(msgpack_packer *packer, const char *text);
static void pack_body(msgpack_packer *packer, const uint8_t *body, size_t size);
static bool unpack(msgpack_unpacked *unpacked, const uint8_t *data,
		   size_t size);
static reader_t open_message(const msgpack_object *object, uint32_t fields);
static reader_t open_array(const msgpack_object *object, uint32_t least,
			   uint32_t most);
static const msgpack_object *read_any(reader_t *reader);
static int64_t read_number(reader_t *reader, int64_t least, int64_t most);
static char *read_text(reader_t *reader, size_t max_bytes);
static GByteArray *read_body(reader_t *reader);
static void read_headers(reader_t *reader, wwh_relay_order_t *order);
static wwh_relay_order_t *read_order(const msgpack_object *object);
static bool read_result(const msgpack_object *object,
			wwh_relay_result_t *result);
static void order_free(gpointer order);

void wwh_relay_batch_begin(GByteArray *out,
			   const wwh_relay_batch_header_t *header,
			   uint32_t count)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, BATCH_FIELDS);
	msgpack_pack_int(&packer, VERSION);
	msgpack_pack_int64(&packer, header->epoch);
	msgpack_pack_int64(&packer, header->incarnation);
	msgpack_pack_int64(&packer, header->number);
	msgpack_pack_array(&packer, count);
}

void wwh_relay_batch_add(GByteArray *out, const wwh_http_call_t *call,
			 int64_t id, int64_t expires_ms, int64_t ends_ms)
{
	msgpack_packer packer;
	uint32_t headers = 0;

	g_assert(strcmp(call->method, METHOD) == 0);
	while (headers < WWH_HTTP_CALL_HEADERS &&
	       call->header_names[headers] != NULL)
		headers++;
	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, ORDER_FIELDS);
	msgpack_pack_int64(&packer, id);
	msgpack_pack_int64(&packer, expires_ms);
	msgpack_pack_int64(&packer, ends_ms);
	pack_text(&packer, call->endpoint);
	pack_text(&packer, call->path);
	pack_text(&packer,
		  call->content_type == NULL ? "" : call->content_type);
	msgpack_pack_array(&packer, (size_t)headers * 2);
	for (uint32_t i = 0; i < headers; i++) {
		pack_text(&packer, call->header_names[i]);
		pack_text(&packer, call->header_values[i]);
	}
	pack_body(&packer, call->body == NULL ? NULL : call->body->data,
		  call->body == NULL ? 0 : call->body->len);
}

wwh_relay_batch_t *wwh_relay_batch_decode(const uint8_t *data, size_t size)
{
	wwh_relay_batch_t *batch = g_new0(wwh_relay_batch_t, 1);
	msgpack_unpacked unpacked;
	bool ok = unpack(&unpacked, data, size);
	reader_t reader =
		open_message(ok ? &unpacked.data : NULL, BATCH_FIELDS);
	reader_t orders;

	batch->orders = g_ptr_array_new_with_free_func(order_free);
	batch->header.epoch = read_number(&reader, 1, INT64_MAX);
	batch->header.incarnation = read_number(&reader, 1, INT64_MAX);
	batch->header.number = read_number(&reader, 1, INT64_MAX);
	orders = open_array(read_any(&reader), 1, WWH_RELAY_ORDERS_MAX);
	ok = reader.ok && orders.ok;
	while (ok && orders.left > 0) {
		wwh_relay_order_t *order = read_order(read_any(&orders));

		ok = order != NULL;
		if (ok)
			g_ptr_array_add(batch->orders, order);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		g_clear_pointer(&batch, wwh_relay_batch_delete);
	return batch;
}

void wwh_relay_batch_delete(wwh_relay_batch_t *batch)
{
	if (batch == NULL)
		return;
	g_ptr_array_unref(batch->orders);
	g_free(batch);
}

void wwh_relay_order_delete(wwh_relay_order_t *order)
{
	if (order == NULL)
		return;
	wwh_http_call_delete(order->call);
	for (size_t i = 0; i < G_N_ELEMENTS(order->texts); i++)
		g_free(order->texts[i]);
	g_free(order);
}

void wwh_relay_results_begin(GByteArray *out,
			     const wwh_relay_results_header_t *header,
			     uint32_t count)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, RESULTS_FIELDS);
	msgpack_pack_int(&packer, VERSION);
	msgpack_pack_int(&packer, header->verdict);
	msgpack_pack_int64(&packer, header->epoch);
	msgpack_pack_int64(&packer, header->incarnation);
	msgpack_pack_int64(&packer, header->clock_ms);
	msgpack_pack_array(&packer, count);
}

void wwh_relay_results_add(GByteArray *out, const wwh_relay_result_t *result)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, RESULT_FIELDS);
	msgpack_pack_int64(&packer, result->id);
	msgpack_pack_int(&packer, result->outcome);
	msgpack_pack_int32(&packer, result->status);
	msgpack_pack_int64(&packer, result->retry_after_s);
	msgpack_pack_int64(&packer, result->held_ms);
	pack_body(&packer, result->body, result->body_size);
}

bool wwh_relay_results_decode(const uint8_t *data, size_t size,
			      wwh_relay_results_header_t *header,
			      wwh_relay_on_result_t on_result,
			      void *client_data)
{
	msgpack_unpacked unpacked;
	bool ok = unpack(&unpacked, data, size);
	reader_t reader =
		open_message(ok ? &unpacked.data : NULL, RESULTS_FIELDS);
	wwh_relay_result_t result;
	reader_t results;
	reader_t at;

	header->verdict = (wwh_relay_verdict_t)read_number(
		&reader, 0, WWH_RELAY_VERDICT_COUNT - 1);
	header->epoch = read_number(&reader, 0, INT64_MAX);
	header->incarnation = read_number(&reader, 1, INT64_MAX);
	header->clock_ms = read_number(&reader, 0, INT64_MAX);
	results = open_array(read_any(&reader), 0, WWH_RELAY_RESULTS_MAX);
	ok = reader.ok && results.ok;
	for (at = results; ok && at.left > 0;)
		ok = read_result(read_any(&at), &result);
	for (at = results; ok && at.left > 0;) {
		(void)read_result(read_any(&at), &result);
		on_result(&result, client_data);
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void wwh_relay_hello_encode(GByteArray *out, const wwh_relay_hello_t *hello)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, HELLO_FIELDS);
	msgpack_pack_int(&packer, VERSION);
	pack_text(&packer, hello->address);
	msgpack_pack_int64(&packer, hello->cpu_permille);
	msgpack_pack_int64(&packer, hello->incarnation);
	msgpack_pack_int64(&packer, hello->clock_ms);
}

bool wwh_relay_hello_decode(const uint8_t *data, size_t size,
			    wwh_relay_hello_t *hello)
{
	msgpack_unpacked unpacked;
	bool ok = unpack(&unpacked, data, size);
	reader_t reader =
		open_message(ok ? &unpacked.data : NULL, HELLO_FIELDS);
	char *address = read_text(&reader, WWH_RELAY_ADDRESS_BYTES - 1);

	hello->cpu_permille = read_number(&reader, 1, INT32_MAX);
	hello->incarnation = read_number(&reader, 1, INT64_MAX);
	hello->clock_ms = read_number(&reader, 0, INT64_MAX);
	ok = reader.ok && address[0] != '\0';
	if (ok)
		g_strlcpy(hello->address, address, sizeof(hello->address));
	g_free(address);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void wwh_relay_request_encode(GByteArray *out, int64_t epoch)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, REQUEST_FIELDS);
	msgpack_pack_int(&packer, VERSION);
	msgpack_pack_int64(&packer, epoch);
}

bool wwh_relay_request_decode(const uint8_t *data, size_t size, int64_t *epoch)
{
	msgpack_unpacked unpacked;
	bool ok = unpack(&unpacked, data, size);
	reader_t reader =
		open_message(ok ? &unpacked.data : NULL, REQUEST_FIELDS);

	*epoch = read_number(&reader, 1, INT64_MAX);
	msgpack_unpacked_destroy(&unpacked);
	return reader.ok;
}

static int append(void *data, const char *bytes, size_t size)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)size);
	return 0;
}

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

static void pack_body(msgpack_packer *packer, const uint8_t *body, size_t size)
{
	msgpack_pack_bin(packer, size);
	if (size > 0)
		msgpack_pack_bin_body(packer, body, size);
}

/* Also initializes unpacked when it fails. */
static bool unpack(msgpack_unpacked *unpacked, const uint8_t *data, size_t size)
{
	msgpack_unpacked_init(unpacked);
	return wwh_msgpack_bounded(data, size, DEPTH) &&
	       msgpack_unpack_next(unpacked, (const char *)data, size, NULL) ==
		       MSGPACK_UNPACK_SUCCESS;
}

static reader_t open_message(const msgpack_object *object, uint32_t fields)
{
	reader_t reader = open_array(object, fields, fields);

	(void)read_number(&reader, VERSION, VERSION);
	return reader;
}

static reader_t open_array(const msgpack_object *object, uint32_t least,
			   uint32_t most)
{
	reader_t reader = { 0 };

	if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < least || object->via.array.size > most)
		return reader;
	reader.next = object->via.array.ptr;
	reader.left = object->via.array.size;
	reader.ok = true;
	return reader;
}

static const msgpack_object *read_any(reader_t *reader)
{
	if (!reader->ok || reader->left == 0) {
		reader->ok = false;
		return NULL;
	}
	reader->left--;
	return reader->next++;
}

static int64_t read_number(reader_t *reader, int64_t least, int64_t most)
{
	const msgpack_object *object = read_any(reader);
	int64_t number = 0;

	if (object == NULL)
		return least;
	if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		number = (int64_t)object->via.u64;
	else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		number = object->via.i64;
	else
		reader->ok = false;
	if (number < least || number > most)
		reader->ok = false;
	return reader->ok ? number : least;
}

/*
 * Texts become parts of an HTTP request, so control characters, by which a
 * text could add a header, aren't accepted.
 */
static char *read_text(reader_t *reader, size_t max_bytes)
{
	const msgpack_object *object = read_any(reader);

	if (object == NULL || object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size > max_bytes) {
		reader->ok = false;
		return g_strdup("");
	}
	for (uint32_t i = 0; i < object->via.str.size; i++) {
		if (g_ascii_iscntrl(object->via.str.ptr[i]))
			reader->ok = false;
	}
	/* an empty text may have no address */
	if (object->via.str.size == 0)
		return g_strdup("");
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static GByteArray *read_body(reader_t *reader)
{
	const msgpack_object *object = read_any(reader);

	if (object == NULL || object->type != MSGPACK_OBJECT_BIN) {
		reader->ok = false;
		return NULL;
	}
	return g_byte_array_append(g_byte_array_sized_new(object->via.bin.size),
				   (const guint8 *)object->via.bin.ptr,
				   object->via.bin.size);
}

static void read_headers(reader_t *reader, wwh_relay_order_t *order)
{
	reader_t headers =
		open_array(read_any(reader), 0, 2 * WWH_HTTP_CALL_HEADERS);

	if (!headers.ok || headers.left % 2 != 0) {
		reader->ok = false;
		return;
	}
	for (int32_t i = 0; headers.ok && headers.left > 0; i++) {
		char *value;

		order->texts[i + 1] = read_text(&headers, HEADER_BYTES_MAX);
		if (order->texts[i + 1][0] == '\0' ||
		    strpbrk(order->texts[i + 1], ": ") != NULL)
			reader->ok = false;
		value = read_text(&headers, HEADER_BYTES_MAX);
		wwh_http_call_add_header(order->call, order->texts[i + 1],
					 value);
		g_free(value);
	}
	if (!headers.ok)
		reader->ok = false;
}

static wwh_relay_order_t *read_order(const msgpack_object *object)
{
	reader_t reader = open_array(object, ORDER_FIELDS, ORDER_FIELDS);
	wwh_relay_order_t *order = g_new0(wwh_relay_order_t, 1);
	char *endpoint;

	order->id = read_number(&reader, 1, INT64_MAX);
	order->expires_ms = read_number(&reader, 0, INT64_MAX);
	order->ends_ms = read_number(&reader, 0, INT64_MAX);
	endpoint = read_text(&reader, ENDPOINT_BYTES_MAX);
	order->call = wwh_http_call_new(METHOD, endpoint, 0);
	g_free(endpoint);
	order->call->path = read_text(&reader, PATH_BYTES_MAX);
	if (order->call->path[0] != '/' ||
	    strchr(order->call->path, ' ') != NULL)
		reader.ok = false;
	order->texts[0] = read_text(&reader, HEADER_BYTES_MAX);
	if (order->texts[0][0] != '\0')
		order->call->content_type = order->texts[0];
	read_headers(&reader, order);
	order->call->body = read_body(&reader);
	if (!reader.ok) {
		wwh_relay_order_delete(order);
		return NULL;
	}
	order->bytes = ORDER_OVERHEAD_BYTES + (int64_t)order->call->body->len;
	return order;
}

static bool read_result(const msgpack_object *object,
			wwh_relay_result_t *result)
{
	reader_t reader = open_array(object, RESULT_FIELDS, RESULT_FIELDS);
	const msgpack_object *body;

	result->id = read_number(&reader, 1, INT64_MAX);
	result->outcome = (wwh_call_outcome_t)read_number(
		&reader, 0, WWH_CALL_OUTCOME_COUNT - 1);
	result->status = (int32_t)read_number(&reader, 0, STATUS_MAX);
	result->retry_after_s = read_number(&reader, -1, INT64_MAX);
	result->held_ms = read_number(&reader, 0, INT64_MAX);
	body = read_any(&reader);
	if (body == NULL || body->type != MSGPACK_OBJECT_BIN)
		return false;
	result->body = (const uint8_t *)body->via.bin.ptr;
	result->body_size = body->via.bin.size;
	return reader.ok;
}

static void order_free(gpointer order)
{
	wwh_relay_order_delete(order);
}
