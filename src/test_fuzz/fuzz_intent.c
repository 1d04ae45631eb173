#include <assert.h>
#include <stdio.h>

#include "../test_intent/intent_fixture.h"
#include "intent_oracle.h"
#include "waxwinghollow/snapshot.h"

/*
 * Bytes are operations of three entry processes on one log: batches of
 * intents, sends, results, lost answers (a batch appended twice), records
 * that are sent long after they were made, pauses (a process that does not
 * read), crashes, restarts from a snapshot, abandons and expiries by clocks
 * of any speed. At every offset the verdicts must be the oracle's; every
 * replica must reach the same bytes; and a key is sent at most once until
 * both of its windows are over.
 */

#define PROCESSES 3
#define INTENTS_MAX 16 /* a process's own, in this incarnation */
#define ITEMS_MAX 4
#define LOG_MAX 400

typedef struct {
	int32_t key;
	uint8_t request;
	int64_t sequence;
	bool sent;
	bool given_up; /* told "not run": never sent */
	bool reported;
} own_intent_t;

typedef struct {
	int32_t id; /* of the incarnation; names it */
	wwh_intents_t *view;
	int64_t position; /* of the next entry to read */
	own_intent_t own[INTENTS_MAX];
	int32_t own_count;
	GBytes *late; /* made, not yet appended */
} process_t;

typedef struct {
	const uint8_t *data;
	size_t size;
	process_t process[PROCESSES];
	int32_t incarnations;
	GBytes *log[LOG_MAX];
	int64_t next;
	wwh_intents_t *reference;
	oracle_t oracle;
	int32_t items; /* of the record that is being applied */
	/* Who sent a key last, and under which intent. */
	int64_t sent_offset[ORACLE_KEYS]; /* WWH_NO_OFFSET: nobody */
} world_t;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_log(world_t *world, process_t *process, int64_t count);

static uint8_t take(world_t *world)
{
	if (world->size == 0)
		return 0;
	world->size--;
	return *world->data++;
}

static void name_of(int32_t id, char name[16])
{
	(void)snprintf(name, 16, "entry-%d", id);
}

static void key_name(int32_t key, char name[16])
{
	(void)snprintf(name, 16, "key-%d", key);
}

static wwh_intents_t *new_intents(void)
{
	wwh_intent_limits_t limits = {
		.keys_max = ORACLE_KEYS_MAX,
		.tombstones_max = ORACLE_TOMBSTONES_MAX,
		.bodies_max_bytes = ORACLE_BODIES_MAX,
		.abandoned_max = ORACLE_ABANDONED_MAX,
	};

	return wwh_intents_new(&limits);
}

static GBytes *encode(wwh_record_t *record)
{
	GBytes *bytes = wwh_record_encode(record, NULL);

	assert(bytes != NULL);
	wwh_record_clear(record);
	return bytes;
}

/* The oracle decides each item as the reference does, in the same order. */
static void compare_item(const char *author, const char *service,
			 const char *key, int64_t sequence,
			 wwh_intent_verdict_t verdict, void *client_data)
{
	world_t *world = client_data;
	int32_t process = (int32_t)strtol(author + strlen("entry-"), NULL, 10);
	int32_t index = (int32_t)strtol(key + strlen("key-"), NULL, 10);
	int64_t offset = wwh_intents_last_offset(world->reference);
	wwh_record_t record;
	wwh_intent_verdict_t expected;

	(void)service;
	assert(wwh_record_decode(g_bytes_get_data(world->log[offset], NULL),
				 g_bytes_get_size(world->log[offset]), &record,
				 NULL) == WWH_STATUS_OK);
	if (record.kind == WWH_RECORD_INTENTS) {
		const wwh_intent_item_t *item =
			record.body.intents.items->pdata[world->items];

		expected = oracle_intent(&world->oracle, offset, index, process,
					 sequence, item->fingerprint[0]);
	} else {
		const wwh_result_item_t *item =
			record.body.results.items->pdata[world->items];

		expected = oracle_result(&world->oracle, index, process,
					 sequence, item->result,
					 (int32_t)g_bytes_get_size(item->body));
	}
	world->items++;
	wwh_record_clear(&record);
	assert(verdict == expected);
}

static wwh_verdict_t expected_verdict(world_t *world, int64_t offset,
				      const wwh_record_t *record)
{
	const wwh_record_expire_keys_t *expire = &record->body.expire_keys;
	int32_t process;

	if (record->author == NULL)
		return WWH_VERDICT_MALFORMED;
	if (record->kind == WWH_RECORD_EXPIRE_KEYS)
		return oracle_expire_keys(&world->oracle, offset,
					  expire->keys_upto,
					  expire->tombstones_upto);
	if (record->kind != WWH_RECORD_ABANDON)
		return WWH_VERDICT_ACCEPTED;
	process = (int32_t)strtol(
		record->body.abandon.process + strlen("entry-"), NULL, 10);
	return oracle_abandon(&world->oracle, offset, process)
		       ? WWH_VERDICT_ACCEPTED
		       : WWH_VERDICT_ALREADY;
}

static void compare_key(const world_t *world, int32_t index)
{
	const oracle_key_t *expected = &world->oracle.key[index];
	char name[16];
	wwh_key_view_t view;

	key_name(index, name);
	wwh_intents_lookup_key(world->reference, FIXTURE_SERVICE, name, NULL,
			       &view);
	if (!oracle_alive(expected)) {
		assert(view.state ==
		       (expected->buried ? WWH_KEY_EXPIRED : WWH_KEY_NONE));
		return;
	}
	assert(view.state == expected->state);
	assert(view.offset == expected->offset);
	assert(view.sequence == expected->sequence);
	assert(view.body_kept == expected->body_kept);
	assert((view.body != NULL ? (int32_t)g_bytes_get_size(view.body) : 0) ==
	       expected->body);
}

/* Takes bytes over. */
static void append(world_t *world, GBytes *bytes)
{
	int64_t offset = world->next;
	wwh_verdict_t verdict;
	wwh_record_t record;

	if (offset == LOG_MAX) {
		g_bytes_unref(bytes);
		return;
	}
	world->log[offset] = bytes;
	world->next++;
	world->items = 0;
	verdict = wwh_intents_apply_entry(
		world->reference, offset, g_bytes_get_data(bytes, NULL),
		g_bytes_get_size(bytes), &record, compare_item, world, NULL);
	assert(verdict == expected_verdict(world, offset, &record));
	wwh_record_clear(&record);
	wwh_intents_check(world->reference);
	for (int32_t i = 0; i < ORACLE_KEYS; i++)
		compare_key(world, i);
}

/* Appends now, twice (its answer was lost), or keeps the record for later. */
static void append_or_delay(world_t *world, process_t *process,
			    wwh_record_t *record)
{
	GBytes *bytes = encode(record);
	uint8_t how = take(world) % 8;

	if (how == 0 && process->late == NULL) {
		process->late = bytes;
		return;
	}
	append(world, g_bytes_ref(bytes));
	if (how == 1)
		append(world, g_bytes_ref(bytes));
	/* Mostly the sender reads on, or runs would not get far. */
	if (how >= 3)
		read_log(world, process, LOG_MAX);
	g_bytes_unref(bytes);
}

static void read_log(world_t *world, process_t *process, int64_t count)
{
	while (count-- > 0 && process->position < world->next) {
		GBytes *bytes = world->log[process->position];
		wwh_record_t record;

		wwh_intents_apply_entry(process->view, process->position,
					g_bytes_get_data(bytes, NULL),
					g_bytes_get_size(bytes), &record, NULL,
					NULL, NULL);
		wwh_record_clear(&record);
		process->position++;
	}
}

static void op_intents(world_t *world, process_t *process)
{
	int32_t count = 1 + take(world) % ITEMS_MAX;
	wwh_record_t record;
	char author[16];

	name_of(process->id, author);
	intents_record(&record, author);
	for (int32_t i = 0; i < count; i++) {
		uint8_t choice = take(world);
		own_intent_t intent = { .key = choice % ORACLE_KEYS,
					.request = choice >> 7,
					.sequence = process->own_count };
		char key[16];

		if (process->own_count == INTENTS_MAX)
			break;
		key_name(intent.key, key);
		intents_add(&record, key, intent.request, intent.sequence);
		process->own[process->own_count++] = intent;
	}
	if (record.body.intents.items->len == 0) {
		wwh_record_clear(&record);
		return;
	}
	append_or_delay(world, process, &record);
}

static bool may_send(const process_t *process, const own_intent_t *intent)
{
	char author[16];
	char key[16];

	name_of(process->id, author);
	key_name(intent->key, key);
	return !intent->sent && !intent->given_up &&
	       wwh_intents_may_send(process->view, FIXTURE_SERVICE, key, author,
				    intent->sequence);
}

/*
 * The rule of the header: sends only what may_send allows in its own view,
 * which may lag by any number of records. The first from a chosen one on.
 */
static void op_send(world_t *world, process_t *process)
{
	int32_t first = take(world);

	for (int32_t i = 0; i < process->own_count; i++) {
		own_intent_t *intent =
			&process->own[(first + i) % process->own_count];
		int64_t *last = &world->sent_offset[intent->key];
		wwh_key_view_t view;
		char key[16];

		if (!may_send(process, intent))
			continue;
		key_name(intent->key, key);
		wwh_intents_lookup_key(process->view, FIXTURE_SERVICE, key,
				       NULL, &view);
		/* Its deadline is long over by then: the rule of intent.h. */
		if (view.offset < world->oracle.tombstones_upto)
			continue;
		/* A run whose windows are both over is forgotten by design. */
		assert(*last < world->oracle.tombstones_upto);
		*last = view.offset;
		intent->sent = true;
		return;
	}
}

/* An intent without a result, one that was sent first; NULL: none. */
static own_intent_t *some_open(process_t *process, int32_t first)
{
	own_intent_t *open = NULL;

	for (int32_t i = 0; i < process->own_count; i++) {
		own_intent_t *intent =
			&process->own[(first + i) % process->own_count];

		if (intent->sent && !intent->reported)
			return intent;
		if (open == NULL && !intent->reported)
			open = intent;
	}
	return open;
}

static void op_result(world_t *world, process_t *process)
{
	static const char *const bodies[] = { "", "1234", "123456",
					      "12345678" };
	uint8_t choice = take(world);
	own_intent_t *intent = some_open(process, choice);
	wwh_result_t result = WWH_RESULT_NOT_RUN;
	wwh_record_t record;
	char author[16];
	char key[16];

	if (process->own_count == 0)
		return;
	if (intent == NULL)
		intent = &process->own[choice % process->own_count];
	if (intent->sent)
		result = choice % 8 == 0 ? WWH_RESULT_UNKNOWN
					 : WWH_RESULT_ANSWERED;
	intent->given_up = !intent->sent;
	intent->reported = choice % 4 != 0;
	name_of(process->id, author);
	key_name(intent->key, key);
	results_record(&record, author);
	results_add(&record, key, intent->sequence, result,
		    bodies[choice / 8 % G_N_ELEMENTS(bodies)]);
	append_or_delay(world, process, &record);
}

static void op_abandon(world_t *world, process_t *process)
{
	int32_t gone = take(world) % (world->incarnations + 1);
	wwh_record_t record;
	char author[16];
	char name[16];

	if (gone >= ORACLE_PROCESSES || take(world) % 4 != 0)
		return;
	name_of(process->id, author);
	name_of(gone, name);
	abandon_record(&record, author, name);
	append_or_delay(world, process, &record);
}

static void op_expire(world_t *world, process_t *process)
{
	wwh_record_t record;
	char author[16];
	int64_t keys = world->next + 1 - take(world) % 64;
	int64_t tombstones =
		wwh_intents_totals(process->view).keys_upto - take(world) % 8;

	name_of(process->id, author);
	expire_record(&record, author, MAX(keys, 0), MAX(tombstones, 0));
	append_or_delay(world, process, &record);
}

/* A crash, and a restart from a snapshot of any process that is running. */
static void op_restart(world_t *world, process_t *process)
{
	const process_t *from = &world->process[take(world) % PROCESSES];
	GBytes *bytes = wwh_snapshot_encode_intents(from->view);
	int64_t position = from->position;
	wwh_intents_t *view;
	wwh_status_t status;

	if (world->incarnations == ORACLE_PROCESSES) {
		g_bytes_unref(bytes);
		return;
	}
	status = wwh_snapshot_decode_intents(g_bytes_get_data(bytes, NULL),
					     g_bytes_get_size(bytes), &view,
					     NULL);
	assert(status == WWH_STATUS_OK);
	g_bytes_unref(bytes);
	wwh_intents_delete(process->view);
	g_clear_pointer(&process->late, g_bytes_unref);
	memset(process, 0, sizeof(*process));
	process->id = world->incarnations++;
	process->view = view;
	process->position = position;
}

static void op_foreign(world_t *world)
{
	uint8_t bytes[4];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = take(world) | 0xc0;
	append(world, g_bytes_new(bytes, sizeof(bytes)));
}

static void step(world_t *world)
{
	process_t *process = &world->process[take(world) % PROCESSES];

	switch (take(world) % 14) {
	case 0:
	case 1:
	case 2:
		op_intents(world, process);
		break;
	case 3:
	case 4:
		read_log(world, process, 1 + take(world) % 8);
		break;
	case 5:
	case 6:
		op_send(world, process);
		break;
	case 7:
	case 11:
	case 12:
		op_result(world, process);
		break;
	case 8:
		op_abandon(world, process);
		break;
	case 9:
		op_expire(world, process);
		break;
	case 10:
		op_restart(world, process);
		break;
	default:
		if (process->late != NULL)
			append(world, g_steal_pointer(&process->late));
		else
			op_foreign(world);
		break;
	}
}

static void compare_replicas(world_t *world)
{
	GBytes *expected = wwh_snapshot_encode_intents(world->reference);

	for (int32_t i = 0; i < PROCESSES; i++) {
		GBytes *bytes;

		read_log(world, &world->process[i], LOG_MAX);
		bytes = wwh_snapshot_encode_intents(world->process[i].view);
		assert(g_bytes_equal(bytes, expected));
		g_bytes_unref(bytes);
	}
	g_bytes_unref(expected);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *world = g_new0(world_t, 1);

	world->data = data;
	world->size = size;
	world->reference = new_intents();
	for (int32_t i = 0; i < ORACLE_KEYS; i++)
		world->sent_offset[i] = WWH_NO_OFFSET;
	for (int32_t i = 0; i < PROCESSES; i++) {
		world->process[i].id = world->incarnations++;
		world->process[i].view = new_intents();
	}
	/* Offset 0 would read as "not abandoned" in the oracle. */
	append(world, g_bytes_new("", 0));
	while (world->size > 0)
		step(world);
	compare_replicas(world);
	for (int32_t i = 0; i < PROCESSES; i++) {
		wwh_intents_delete(world->process[i].view);
		g_clear_pointer(&world->process[i].late, g_bytes_unref);
	}
	for (int64_t i = 0; i < world->next; i++)
		g_bytes_unref(world->log[i]);
	wwh_intents_delete(world->reference);
	g_free(world);
	return 0;
}
