#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "private/host_duties_state.h"
#include "private/msgpack_bounds.h"

/* Key of the record, and its fields: times of day and durations in ms. */
#define RECORD_KEY "fleet"
#define RECORD_FIELDS 5
#define RECORD_DEPTH 2

/* A record that is as good as new for the next holder isn't written again. */
#define REWRITE_MS 10000
#define PEAK_CHANGE_DIVISOR 16

static bool differs(const wwh_fleet_reserve_knowledge_t *old,
		    const wwh_fleet_reserve_knowledge_t *new);
static GBytes *encode(const wwh_fleet_reserve_knowledge_t *knowledge,
		      int64_t wall_ms);
static bool decode(const msgpack_object *object,
		   wwh_fleet_reserve_knowledge_t *knowledge, int64_t *wall_ms);
static int64_t number_at(const msgpack_object *array, uint32_t index);

void duties_write_reserve(wwh_host_duties_t *duties)
{
	wwh_fleet_reserve_knowledge_t knowledge =
		wwh_fleet_reserve_knowledge(duties->reserve);
	GBytes *value;

	if (!knowledge.whole_cycle && !knowledge.estimated)
		return;
	if (duties->reserve_written_ms != 0 &&
	    duties->now_ms - duties->reserve_written_ms < REWRITE_MS &&
	    !differs(&duties->written_reserve, &knowledge))
		return;
	value = encode(&knowledge,
		       duties->now_ms + duties->options.wall_offset_ms);
	(void)duties->calls.write_record(WWH_SCHEDULER_RECORD_RESERVE,
					 RECORD_KEY, value,
					 duties->calls.client_data);
	g_bytes_unref(value);
	duties->written_reserve = knowledge;
	duties->reserve_written_ms = duties->now_ms;
}

static bool differs(const wwh_fleet_reserve_knowledge_t *old,
		    const wwh_fleet_reserve_knowledge_t *new)
{
	return old->whole_cycle != new->whole_cycle ||
	       old->estimated != new->estimated ||
	       old->cycle_ms != new->cycle_ms ||
	       abs(old->peak - new->peak) > old->peak / PEAK_CHANGE_DIVISOR;
}

static GBytes *encode(const wwh_fleet_reserve_knowledge_t *knowledge,
		      int64_t wall_ms)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *value;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	msgpack_pack_int64(&packer, wall_ms);
	msgpack_pack_int64(&packer, knowledge->whole_cycle);
	msgpack_pack_int64(&packer, knowledge->estimated);
	msgpack_pack_int64(&packer, knowledge->cycle_ms);
	msgpack_pack_int64(&packer, knowledge->peak);
	value = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return value;
}

/*
 * A record that is older than the window tells of a load that may have changed,
 * so this holder observes a window of its own. The same holds for one from the
 * future, whose age isn't known.
 */
bool wwh_host_duties_restore_reserve(wwh_host_duties_t *duties,
				     const uint8_t *value, size_t size,
				     wwh_message_t *message)
{
	wwh_fleet_reserve_knowledge_t knowledge;
	msgpack_unpacked unpacked;
	int64_t wall_ms = 0;
	bool ok = false;

	if (wwh_msgpack_bounded(value, size, RECORD_DEPTH)) {
		msgpack_unpacked_init(&unpacked);
		ok = msgpack_unpack_next(&unpacked, (const char *)value, size,
					 NULL) == MSGPACK_UNPACK_SUCCESS &&
		     decode(&unpacked.data, &knowledge, &wall_ms);
		msgpack_unpacked_destroy(&unpacked);
	}
	if (!ok) {
		wwh_message_set(
			message,
			"expected %d numbers, none below 0, and a cycle "
			"of at most %d ms",
			RECORD_FIELDS, WWH_STANDBY_DELAY_MS);
		return false;
	}
	if (ABS(duties->options.wall_ms - wall_ms) <= WWH_STANDBY_DELAY_MS) {
		wwh_fleet_reserve_restore(duties->reserve, &knowledge);
		duties->written_reserve = knowledge;
		duties_log_event(
			duties, "reserve-restored", "hosts",
			"whole_cycle=%d peak=%d age_ms=%" G_GINT64_FORMAT,
			knowledge.whole_cycle, knowledge.peak,
			duties->options.wall_ms - wall_ms);
	}
	return true;
}

static bool decode(const msgpack_object *object,
		   wwh_fleet_reserve_knowledge_t *knowledge, int64_t *wall_ms)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < RECORD_FIELDS)
		return false;
	for (uint32_t i = 0; i < RECORD_FIELDS; i++) {
		if (number_at(object, i) < 0)
			return false;
	}
	if (number_at(object, 3) > WWH_STANDBY_DELAY_MS)
		return false;
	*wall_ms = number_at(object, 0);
	knowledge->whole_cycle = number_at(object, 1) != 0;
	knowledge->estimated = number_at(object, 2) != 0;
	knowledge->cycle_ms = number_at(object, 3);
	knowledge->peak = (int32_t)MIN(number_at(object, 4), INT32_MAX / 4);
	return true;
}

/* Returns -1 if it is no number, or one that is too large. */
static int64_t number_at(const msgpack_object *array, uint32_t index)
{
	const msgpack_object *item = &array->via.array.ptr[index];

	if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    item->via.u64 > G_MAXINT64)
		return -1;
	return (int64_t)item->via.u64;
}
