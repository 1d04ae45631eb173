#include "waxwinghollow/snapshot.h"

#include <assert.h>
#include <string.h>

#include <xxhash.h>

#define SETS_MAX 4 /* snapshots whose parts are kept at once */
#define HASHES_MAX 16 /* boundaries whose hashes are kept */

const char
	*const wwh_snapshot_comparison_names[WWH_SNAPSHOT_COMPARISON_COUNT] = {
		"match",
		"mismatch",
		"not-compared",
	};

/* Parts of one snapshot. */
typedef struct {
	int64_t upto;
	uint64_t hash;
	int64_t total_bytes;
	int32_t parts;
	int32_t missing;
	GBytes **part; /* NULL: missing */
} set_t;

struct wwh_snapshot_parts {
	GQueue sets; /* of set_t, newest use first */
};

typedef struct {
	int64_t upto;
	uint64_t hash;
} kept_hash_t;

struct wwh_snapshot_generator {
	int64_t every;
	int64_t upto; /* of whole; WWH_NO_OFFSET: none */
	GBytes *whole;
	kept_hash_t hashes[HASHES_MAX];
	int32_t hash_count; /* ever; the place is modulo HASHES_MAX */
};

uint64_t wwh_snapshot_hash(GBytes *whole)
{
	gsize size;
	const void *data = g_bytes_get_data(whole, &size);

	return XXH3_64bits(data, size);
}

GPtrArray *wwh_snapshot_records(GBytes *whole, int64_t upto, const char *author)
{
	GPtrArray *records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	gsize total = g_bytes_get_size(whole);
	gsize parts = (total + WWH_SNAPSHOT_PART_BYTES_MAX - 1) /
		      WWH_SNAPSHOT_PART_BYTES_MAX;

	for (gsize i = 0; i < parts; i++) {
		gsize at = i * WWH_SNAPSHOT_PART_BYTES_MAX;
		wwh_message_t message = { "" };
		wwh_record_t record;
		GBytes *encoded;

		wwh_record_init(&record, WWH_RECORD_SNAPSHOT, author);
		record.body.snapshot.upto = upto;
		record.body.snapshot.hash = wwh_snapshot_hash(whole);
		record.body.snapshot.total_bytes = (int64_t)total;
		record.body.snapshot.part = (int32_t)i;
		record.body.snapshot.parts = (int32_t)parts;
		g_bytes_unref(record.body.snapshot.data);
		record.body.snapshot.data = g_bytes_new_from_bytes(
			whole, at,
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

static void free_set(void *data)
{
	set_t *set = data;

	for (int32_t i = 0; i < set->parts; i++)
		g_clear_pointer(&set->part[i], g_bytes_unref);
	g_free(set->part);
	g_free(set);
}

void wwh_snapshot_parts_delete(wwh_snapshot_parts_t *parts)
{
	g_queue_clear_full(&parts->sets, free_set);
	g_free(parts);
}

static bool belongs(const set_t *set, const wwh_record_snapshot_t *body)
{
	return set->upto == body->upto && set->hash == body->hash &&
	       set->total_bytes == body->total_bytes &&
	       set->parts == body->parts;
}

static set_t *new_set(const wwh_record_snapshot_t *body)
{
	set_t *set = g_new0(set_t, 1);

	set->upto = body->upto;
	set->hash = body->hash;
	set->total_bytes = body->total_bytes;
	set->parts = body->parts;
	set->missing = body->parts;
	set->part = g_new0(GBytes *, body->parts);
	return set;
}

/* The set of body, now first; the one unused for longest makes room. */
static set_t *use_set(wwh_snapshot_parts_t *parts,
		      const wwh_record_snapshot_t *body)
{
	set_t *set = NULL;

	for (GList *link = parts->sets.head; link != NULL; link = link->next) {
		if (!belongs(link->data, body))
			continue;
		set = link->data;
		g_queue_delete_link(&parts->sets, link);
		break;
	}
	if (set == NULL)
		set = new_set(body);
	g_queue_push_head(&parts->sets, set);
	if (g_queue_get_length(&parts->sets) > SETS_MAX)
		free_set(g_queue_pop_tail(&parts->sets));
	return set;
}

static GBytes *join(const set_t *set)
{
	GByteArray *bytes = g_byte_array_new();
	GBytes *whole;

	for (int32_t i = 0; i < set->parts; i++) {
		gsize size;
		const uint8_t *data = g_bytes_get_data(set->part[i], &size);

		g_byte_array_append(bytes, data, (guint)size);
	}
	whole = g_byte_array_free_to_bytes(bytes);
	if ((int64_t)g_bytes_get_size(whole) == set->total_bytes &&
	    wwh_snapshot_hash(whole) == set->hash)
		return whole;
	g_bytes_unref(whole);
	return NULL;
}

GBytes *wwh_snapshot_parts_add(wwh_snapshot_parts_t *parts,
			       const wwh_record_t *record)
{
	const wwh_record_snapshot_t *body = &record->body.snapshot;
	GBytes *whole;
	set_t *set;

	assert(record->kind == WWH_RECORD_SNAPSHOT);
	if (body->part >= body->parts)
		return NULL;
	set = use_set(parts, body);
	if (set->part[body->part] != NULL)
		return NULL;
	set->part[body->part] = g_bytes_ref(body->data);
	set->missing--;
	if (set->missing > 0)
		return NULL;
	whole = join(set);
	g_queue_remove(&parts->sets, set);
	free_set(set);
	return whole;
}

wwh_snapshot_generator_t *wwh_snapshot_generator_new(int64_t every)
{
	wwh_snapshot_generator_t *keeper = g_new0(wwh_snapshot_generator_t, 1);

	assert(every > 0);
	keeper->every = every;
	keeper->upto = WWH_NO_OFFSET;
	return keeper;
}

void wwh_snapshot_generator_delete(wwh_snapshot_generator_t *keeper)
{
	g_clear_pointer(&keeper->whole, g_bytes_unref);
	g_free(keeper);
}

/* The boundary between the last record and the one at offset, or -1. */
static int64_t boundary(const wwh_snapshot_generator_t *keeper,
			int64_t last_offset, int64_t offset)
{
	int64_t upto = offset - offset % keeper->every;

	if (upto <= last_offset || upto == keeper->upto || upto == 0)
		return WWH_NO_OFFSET;
	return upto;
}

static void keep(wwh_snapshot_generator_t *keeper, GBytes *whole, int64_t upto)
{
	kept_hash_t *place = &keeper->hashes[keeper->hash_count % HASHES_MAX];

	g_clear_pointer(&keeper->whole, g_bytes_unref);
	keeper->whole = whole;
	keeper->upto = upto;
	place->upto = upto;
	place->hash = wwh_snapshot_hash(whole);
	keeper->hash_count++;
}

void wwh_snapshot_generator_update_state(wwh_snapshot_generator_t *keeper,
					 const wwh_state_t *state,
					 int64_t offset)
{
	int64_t upto = boundary(keeper, wwh_state_last_offset(state), offset);

	if (upto != WWH_NO_OFFSET)
		keep(keeper, wwh_snapshot_encode_state(state), upto);
}

void wwh_snapshot_generator_update_intents(wwh_snapshot_generator_t *keeper,
					   const wwh_intents_t *intents,
					   int64_t offset)
{
	int64_t upto =
		boundary(keeper, wwh_intents_last_offset(intents), offset);

	if (upto != WWH_NO_OFFSET)
		keep(keeper, wwh_snapshot_encode_intents(intents), upto);
}

GBytes *wwh_snapshot_generator_latest(const wwh_snapshot_generator_t *keeper,
				      int64_t *upto)
{
	*upto = keeper->upto;
	return keeper->whole;
}

wwh_snapshot_comparison_t
wwh_snapshot_generator_compare(const wwh_snapshot_generator_t *keeper,
			       const wwh_record_t *record)
{
	const wwh_record_snapshot_t *body = &record->body.snapshot;
	int32_t count = MIN(keeper->hash_count, HASHES_MAX);

	assert(record->kind == WWH_RECORD_SNAPSHOT);
	for (int32_t i = 0; i < count; i++) {
		if (keeper->hashes[i].upto != body->upto)
			continue;
		return keeper->hashes[i].hash == body->hash
			       ? WWH_SNAPSHOT_MATCH
			       : WWH_SNAPSHOT_MISMATCH;
	}
	return WWH_SNAPSHOT_NOT_COMPARED;
}
