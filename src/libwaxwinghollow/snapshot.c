#include "waxwinghollow/snapshot.h"

#include <assert.h>
#include <string.h>

#include <xxhash.h>

#define PART_SETS_MAX 4 /* snapshots whose parts are collected at once */
#define STORED_HASHES_MAX 16 /* latest snapshots whose hashes are stored */

const char
	*const wwh_snapshot_comparison_names[WWH_SNAPSHOT_COMPARISON_COUNT] = {
		"match",
		"mismatch",
		"not-compared",
	};

/* The parts of one snapshot that were received so far. */
typedef struct {
	int64_t upto;
	uint64_t hash;
	int64_t total_bytes;
	int32_t parts;
	int32_t missing;
	GBytes **part; /* an entry is NULL while its part is missing */
} part_set_t;

struct wwh_snapshot_parts {
	GQueue sets; /* of part_set_t, most recently used first */
};

typedef struct {
	int64_t upto;
	uint64_t hash;
} stored_hash_t;

struct wwh_snapshot_generator {
	int64_t interval;
	int64_t upto; /* of the newest snapshot; WWH_NO_OFFSET: none */
	GBytes *snapshot;
	stored_hash_t hashes[STORED_HASHES_MAX];
	int32_t hash_count; /* total; hashes is a ring of STORED_HASHES_MAX */
};

uint64_t wwh_snapshot_hash(GBytes *snapshot)
{
	gsize size;
	const void *data = g_bytes_get_data(snapshot, &size);

	return XXH3_64bits(data, size);
}

GPtrArray *wwh_snapshot_records(GBytes *snapshot, int64_t upto,
				const char *author)
{
	GPtrArray *records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	gsize total = g_bytes_get_size(snapshot);
	gsize parts = (total + WWH_SNAPSHOT_PART_BYTES_MAX - 1) /
		      WWH_SNAPSHOT_PART_BYTES_MAX;

	for (gsize i = 0; i < parts; i++) {
		gsize at = i * WWH_SNAPSHOT_PART_BYTES_MAX;
		wwh_message_t message = { "" };
		wwh_record_t record;
		GBytes *encoded;

		wwh_record_init(&record, WWH_RECORD_SNAPSHOT, author);
		record.body.snapshot.upto = upto;
		record.body.snapshot.hash = wwh_snapshot_hash(snapshot);
		record.body.snapshot.total_bytes = (int64_t)total;
		record.body.snapshot.part = (int32_t)i;
		record.body.snapshot.parts = (int32_t)parts;
		g_bytes_unref(record.body.snapshot.data);
		record.body.snapshot.data = g_bytes_new_from_bytes(
			snapshot, at,
			MIN(total - at, WWH_SNAPSHOT_PART_BYTES_MAX));
		encoded = wwh_record_encode(&record, &message);
		if (encoded == NULL)
			g_error("a part can't be encoded: %s", message.text);
		g_ptr_array_add(records, encoded);
		wwh_record_clear(&record);
	}
	return records;
}

wwh_snapshot_parts_t *wwh_snapshot_parts_new(void)
{
	return g_new0(wwh_snapshot_parts_t, 1);
}

static void free_part_set(void *data)
{
	part_set_t *set = data;

	for (int32_t i = 0; i < set->parts; i++)
		g_clear_pointer(&set->part[i], g_bytes_unref);
	g_free(set->part);
	g_free(set);
}

void wwh_snapshot_parts_delete(wwh_snapshot_parts_t *parts)
{
	g_queue_clear_full(&parts->sets, free_part_set);
	g_free(parts);
}

static bool is_part_of_set(const part_set_t *set,
			   const wwh_record_snapshot_t *body)
{
	return set->upto == body->upto && set->hash == body->hash &&
	       set->total_bytes == body->total_bytes &&
	       set->parts == body->parts;
}

static part_set_t *new_part_set(const wwh_record_snapshot_t *body)
{
	part_set_t *set = g_new0(part_set_t, 1);

	set->upto = body->upto;
	set->hash = body->hash;
	set->total_bytes = body->total_bytes;
	set->parts = body->parts;
	set->missing = body->parts;
	set->part = g_new0(GBytes *, body->parts);
	return set;
}

/*
 * Returns the part set of body and makes it the first; beyond PART_SETS_MAX the
 * least recently used set is freed.
 */
static part_set_t *ensure_part_set(wwh_snapshot_parts_t *parts,
				   const wwh_record_snapshot_t *body)
{
	part_set_t *set = NULL;

	for (GList *link = parts->sets.head; link != NULL; link = link->next) {
		if (!is_part_of_set(link->data, body))
			continue;
		set = link->data;
		g_queue_delete_link(&parts->sets, link);
		break;
	}
	if (set == NULL)
		set = new_part_set(body);
	g_queue_push_head(&parts->sets, set);
	if (g_queue_get_length(&parts->sets) > PART_SETS_MAX)
		free_part_set(g_queue_pop_tail(&parts->sets));
	return set;
}

static GBytes *join_parts(const part_set_t *set)
{
	GByteArray *bytes = g_byte_array_new();
	GBytes *snapshot;

	for (int32_t i = 0; i < set->parts; i++) {
		gsize size;
		const uint8_t *data = g_bytes_get_data(set->part[i], &size);

		g_byte_array_append(bytes, data, (guint)size);
	}
	snapshot = g_byte_array_free_to_bytes(bytes);
	if ((int64_t)g_bytes_get_size(snapshot) == set->total_bytes &&
	    wwh_snapshot_hash(snapshot) == set->hash)
		return snapshot;
	g_bytes_unref(snapshot);
	return NULL;
}

GBytes *wwh_snapshot_parts_add(wwh_snapshot_parts_t *parts,
			       const wwh_record_t *record)
{
	const wwh_record_snapshot_t *body = &record->body.snapshot;
	GBytes *snapshot;
	part_set_t *set;

	assert(record->kind == WWH_RECORD_SNAPSHOT);
	if (body->part >= body->parts)
		return NULL;
	set = ensure_part_set(parts, body);
	if (set->part[body->part] != NULL)
		return NULL;
	set->part[body->part] = g_bytes_ref(body->data);
	set->missing--;
	if (set->missing > 0)
		return NULL;
	snapshot = join_parts(set);
	g_queue_remove(&parts->sets, set);
	free_part_set(set);
	return snapshot;
}

wwh_snapshot_generator_t *wwh_snapshot_generator_new(int64_t interval)
{
	wwh_snapshot_generator_t *generator =
		g_new0(wwh_snapshot_generator_t, 1);

	assert(interval > 0);
	generator->interval = interval;
	generator->upto = WWH_NO_OFFSET;
	return generator;
}

void wwh_snapshot_generator_delete(wwh_snapshot_generator_t *generator)
{
	g_clear_pointer(&generator->snapshot, g_bytes_unref);
	g_free(generator);
}

/*
 * Returns the offset of the snapshot that is due before the record at offset,
 * or WWH_NO_OFFSET.
 */
static int64_t due_upto(const wwh_snapshot_generator_t *generator,
			int64_t last_offset, int64_t offset)
{
	int64_t upto = offset - offset % generator->interval;

	if (upto <= last_offset || upto == generator->upto || upto == 0)
		return WWH_NO_OFFSET;
	return upto;
}

static void store_snapshot(wwh_snapshot_generator_t *generator,
			   GBytes *snapshot, int64_t upto)
{
	stored_hash_t *stored =
		&generator->hashes[generator->hash_count % STORED_HASHES_MAX];

	g_clear_pointer(&generator->snapshot, g_bytes_unref);
	generator->snapshot = snapshot;
	generator->upto = upto;
	stored->upto = upto;
	stored->hash = wwh_snapshot_hash(snapshot);
	generator->hash_count++;
}

void wwh_snapshot_generator_update_state(wwh_snapshot_generator_t *generator,
					 const wwh_state_t *state,
					 int64_t offset)
{
	int64_t upto =
		due_upto(generator, wwh_state_last_offset(state), offset);

	if (upto != WWH_NO_OFFSET)
		store_snapshot(generator, wwh_snapshot_encode_state(state),
			       upto);
}

void wwh_snapshot_generator_update_intents(wwh_snapshot_generator_t *generator,
					   const wwh_intents_t *intents,
					   int64_t offset)
{
	int64_t upto =
		due_upto(generator, wwh_intents_last_offset(intents), offset);

	if (upto != WWH_NO_OFFSET)
		store_snapshot(generator, wwh_snapshot_encode_intents(intents),
			       upto);
}

GBytes *wwh_snapshot_generator_latest(const wwh_snapshot_generator_t *generator,
				      int64_t *upto)
{
	*upto = generator->upto;
	return generator->snapshot;
}

wwh_snapshot_comparison_t
wwh_snapshot_generator_compare(const wwh_snapshot_generator_t *generator,
			       const wwh_record_t *record)
{
	const wwh_record_snapshot_t *body = &record->body.snapshot;
	int32_t count = MIN(generator->hash_count, STORED_HASHES_MAX);

	assert(record->kind == WWH_RECORD_SNAPSHOT);
	for (int32_t i = 0; i < count; i++) {
		if (generator->hashes[i].upto != body->upto)
			continue;
		return generator->hashes[i].hash == body->hash
			       ? WWH_SNAPSHOT_MATCH
			       : WWH_SNAPSHOT_MISMATCH;
	}
	return WWH_SNAPSHOT_NOT_COMPARED;
}
