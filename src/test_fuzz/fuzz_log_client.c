/*
 * Stateful fuzzing of log_core: three bytes an operation (what, which client,
 * argument) against a log in memory. Appends lose their answers, take effect
 * late or not at all; reads fail; the log is trimmed; clients crash and start
 * again from each other's snapshots.
 *
 * Oracle: of the whole log, the records that count are those within the
 * window of their base whose id was not there before. Every reader delivers
 * exactly those from its snapshot on. OK is reported only for a payload that
 * counts at that place, UNAVAILABLE only for one that never does, and none
 * counts twice.
 */

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/log_core.h"

#define CLIENTS 3
#define WINDOW 16
#define MAX_WAITING 8
#define MAX_OPEN 3
#define BATCH 3
#define MAX_OPERATIONS 200

typedef struct {
	wwh_append_id_t id;
	GBytes *data; /* numbers of payloads, 4 bytes each */
	bool counts;
} record_t;

typedef struct {
	bool counted;
	bool settled;
	bool never; /* UNAVAILABLE was reported */
} payload_t;

typedef struct {
	wwh_log_core_t *core;
	GRand *rand;
	GHashTable *numbers; /* ticket to payload number */
} client_t;

typedef struct {
	GPtrArray *records; /* record_t *, offset - 1 */
	int64_t first;
	GHashTable *ids; /* of records that count */
	GQueue late; /* record_t * */
	GArray *payloads; /* payload_t by number */
	client_t clients[CLIENTS];
	wwh_log_budget_t *budget;
	int64_t now_ms;
} world_t;

static void record_free(gpointer data)
{
	record_t *record = data;

	g_bytes_unref(record->data);
	g_free(record);
}

static guint id_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, (const uint8_t *)key + 8, sizeof(hash));
	return hash;
}

static gboolean id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, WWH_APPEND_ID_BYTES) == 0;
}

static GBytes *join(GBytes *const *payloads, int32_t count, void *unused)
{
	GByteArray *joined = g_byte_array_new();

	(void)unused;
	for (int32_t i = 0; i < count; i++) {
		gsize size;
		const void *data = g_bytes_get_data(payloads[i], &size);

		g_byte_array_append(joined, data, (guint)size);
	}
	return g_byte_array_free_to_bytes(joined);
}

static uint32_t number_at(const record_t *record, int32_t index)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(record->data, &size);
	uint32_t number;

	assert((size_t)(index + 1) * sizeof(number) <= size);
	memcpy(&number, data + (size_t)index * sizeof(number), sizeof(number));
	return number;
}

static int32_t number_count(const record_t *record)
{
	return (int32_t)(g_bytes_get_size(record->data) / sizeof(uint32_t));
}

/* Takes over record; returns its offset. */
static int64_t log_append(world_t *world, record_t *record)
{
	int64_t offset = (int64_t)world->records->len + 1;
	int64_t base = wwh_append_id_base(&record->id);

	g_ptr_array_add(world->records, record);
	record->counts = base >= 1 && base <= offset &&
			 offset - base < WINDOW &&
			 !g_hash_table_contains(world->ids, &record->id);
	if (!record->counts)
		return offset;
	g_hash_table_add(world->ids, &record->id);
	for (int32_t i = 0; i < number_count(record); i++) {
		payload_t *payload = &g_array_index(world->payloads, payload_t,
						    number_at(record, i));

		assert(!payload->counted);
		assert(!payload->never);
		payload->counted = true;
	}
	return offset;
}

static void client_start(world_t *world, client_t *client, int64_t start,
			 bool batches)
{
	wwh_log_core_options_t options;

	wwh_log_core_options_defaults(&options);
	options.window = WINDOW;
	options.max_waiting = MAX_WAITING;
	options.max_open = MAX_OPEN;
	options.start = start;
	if (batches) {
		options.batch_items = BATCH;
		options.batch_ms = 5;
		options.join = join;
	}
	client->core = wwh_log_core_new(&options, world->budget, client->rand);
	client->numbers = g_hash_table_new(NULL, NULL);
}

static void client_stop(client_t *client)
{
	wwh_log_core_delete(client->core);
	g_hash_table_destroy(client->numbers);
}

static void take_settled(world_t *world, client_t *client)
{
	wwh_log_settled_t settled;

	while (wwh_log_core_pop_settled(client->core, &settled)) {
		uint32_t number = GPOINTER_TO_UINT(g_hash_table_lookup(
			client->numbers,
			GSIZE_TO_POINTER((gsize)settled.ticket)));
		payload_t *payload =
			&g_array_index(world->payloads, payload_t, number);

		assert(!payload->settled);
		payload->settled = true;
		if (settled.status == WWH_STATUS_OK) {
			const record_t *record =
				world->records->pdata[settled.offset - 1];

			assert(record->counts);
			assert(number_at(record, settled.index) == number);
		} else if (settled.status == WWH_STATUS_UNAVAILABLE) {
			assert(!payload->counted);
			payload->never = true;
		} else {
			assert(settled.status == WWH_STATUS_UNKNOWN);
		}
	}
}

static void submit(world_t *world, client_t *client, uint8_t argument)
{
	payload_t payload = { 0 };
	uint32_t number = world->payloads->len;
	GBytes *data = g_bytes_new(&number, sizeof(number));
	uint64_t ticket;

	if (wwh_log_core_submit(client->core, data,
				world->now_ms + argument * 40, world->now_ms,
				&ticket) == WWH_STATUS_OK) {
		g_array_append_val(world->payloads, payload);
		g_hash_table_insert(client->numbers,
				    GSIZE_TO_POINTER((gsize)ticket),
				    GUINT_TO_POINTER(number));
	}
	g_bytes_unref(data);
}

static void attempt(world_t *world, client_t *client, uint8_t argument)
{
	wwh_log_attempt_t attempt;
	wwh_status_t status = WWH_STATUS_UNKNOWN;
	int64_t wait_ms;
	int64_t offset = 0;
	record_t *record;

	if (!wwh_log_core_next_attempt(client->core, world->now_ms, &attempt,
				       &wait_ms)) {
		assert(wait_ms != 0);
		return;
	}
	record = g_new0(record_t, 1);
	record->id = attempt.id;
	record->data = g_bytes_new(attempt.data, attempt.size);
	switch (argument % 5) {
	case 0: /* done */
		status = WWH_STATUS_OK;
		offset = log_append(world, record);
		break;
	case 1: /* the answer is lost */
		log_append(world, record);
		break;
	case 2: /* the effect comes late */
		g_queue_push_tail(&world->late, record);
		break;
	case 3: /* the request is lost */
		record_free(record);
		break;
	default:
		status = WWH_STATUS_UNAVAILABLE;
		record_free(record);
		break;
	}
	if ((argument & 0x80) != 0)
		wwh_log_core_tick(client->core, world->now_ms + 2000);
	wwh_log_core_attempt_done(client->core, status, offset, world->now_ms);
}

static void late_effect(world_t *world, uint8_t argument)
{
	guint length = world->late.length;

	if (length > 0)
		log_append(world,
			   g_queue_pop_nth(&world->late, argument % length));
}

/* Somebody else's appends. */
static void flood(world_t *world, uint8_t argument)
{
	for (int i = 0; i < argument % (WINDOW + 4); i++) {
		record_t *record = g_new0(record_t, 1);
		int64_t base = (int64_t)world->records->len + 1;

		record->data = g_bytes_new(NULL, 0);
		for (int k = 0; k < 8; k++)
			record->id.bytes[k] = (uint8_t)(base >> (56 - 8 * k));
		record->id.bytes[8] = 0xff;
		log_append(world, record);
	}
}

static void check_verdict(const record_t *record, wwh_log_verdict_t verdict)
{
	if (verdict == WWH_LOG_DELIVER)
		assert(record->counts);
	else if (verdict == WWH_LOG_DUPLICATE || verdict == WWH_LOG_VOID)
		assert(!record->counts);
}

static void read_some(world_t *world, client_t *client, uint8_t argument)
{
	int64_t next = (int64_t)world->records->len + 1;
	wwh_status_t status = WWH_STATUS_OK;
	wwh_log_read_t read;
	int64_t wait_ms;

	if (!wwh_log_core_read_begin(client->core, world->now_ms, &read,
				     &wait_ms))
		return;
	assert(read.from <= next);
	if (read.from < world->first)
		status = WWH_STATUS_NOT_FOUND;
	else if (argument % 8 == 0)
		status = WWH_STATUS_UNAVAILABLE;
	for (int i = 0; status == WWH_STATUS_OK && i < argument % 40; i++) {
		wwh_log_entry_t entry = { .offset = read.from + i };
		record_t *record;

		if (entry.offset >= next)
			break;
		record = world->records->pdata[entry.offset - 1];
		entry.append_id = record->id;
		check_verdict(record,
			      wwh_log_core_handle_record(
				      client->core, read.generation, &entry));
	}
	wwh_log_core_read_done(client->core, read.generation, status,
			       world->first, next, world->now_ms);
}

/* Offset up to which the client's state is whole, or 0. */
static int64_t snapshot_of(const client_t *client)
{
	if (!wwh_log_core_caught_up(client->core))
		return 0;
	return wwh_log_core_cursor(client->core);
}

static void restore(world_t *world, client_t *client, uint8_t argument)
{
	int64_t upto = snapshot_of(&world->clients[argument % CLIENTS]);

	if (upto > 0)
		wwh_log_core_restore(client->core, upto);
}

static void restart(world_t *world, client_t *client, uint8_t argument)
{
	int64_t upto = snapshot_of(&world->clients[argument % CLIENTS]);

	client_stop(client);
	client_start(world, client, MAX(1, upto), argument >= 128);
}

static void operate(world_t *world, const uint8_t *bytes)
{
	client_t *client = &world->clients[bytes[1] % CLIENTS];
	int64_t next = (int64_t)world->records->len + 1;

	switch (bytes[0] % 10) {
	case 0:
	case 1:
		submit(world, client, bytes[2]);
		break;
	case 2:
	case 3:
		attempt(world, client, bytes[2]);
		break;
	case 4:
		read_some(world, client, bytes[2]);
		break;
	case 5:
		late_effect(world, bytes[2]);
		break;
	case 6:
		world->now_ms += bytes[2] * 10;
		wwh_log_core_tick(client->core, world->now_ms);
		break;
	case 7:
		if (bytes[2] % 4 == 0)
			world->first = MAX(world->first, next - bytes[2] / 4);
		else
			flood(world, bytes[2]);
		break;
	case 8:
		restore(world, client, bytes[2]);
		break;
	default:
		restart(world, client, bytes[2]);
		break;
	}
	assert(wwh_log_core_waiting(client->core) <= MAX_WAITING);
	take_settled(world, client);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t world = { .first = 1, .now_ms = 1000 };

	world.records = g_ptr_array_new_with_free_func(record_free);
	world.ids = g_hash_table_new(id_hash, id_equal);
	world.payloads = g_array_new(FALSE, TRUE, sizeof(payload_t));
	world.budget = wwh_log_budget_new(world.now_ms);
	for (int i = 0; i < CLIENTS; i++) {
		world.clients[i].rand = g_rand_new_with_seed((guint32)i + 1);
		client_start(&world, &world.clients[i], 1, i == 0);
	}
	size = MIN(size, 3 * MAX_OPERATIONS);
	for (size_t i = 0; i + 3 <= size; i += 3)
		operate(&world, data + i);
	while (world.late.length > 0)
		late_effect(&world, 0);
	for (int i = 0; i < CLIENTS; i++) {
		wwh_log_core_abort_all(world.clients[i].core);
		take_settled(&world, &world.clients[i]);
		client_stop(&world.clients[i]);
		g_rand_free(world.clients[i].rand);
	}
	wwh_log_budget_delete(world.budget);
	g_array_unref(world.payloads);
	g_hash_table_destroy(world.ids);
	g_ptr_array_unref(world.records);
	return 0;
}
