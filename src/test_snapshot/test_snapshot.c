#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "../test_intent/intent_fixture.h"
#include "../test_state/fleet_fixture.h"
#include "waxwinghollow/snapshot.h"

#define ENTRY_1 "entry-1.1"
#define INTERVAL_OFFSETS 8

static const fleet_t fleet = {
	.workers = 240,
	.pools = 4,
	.zones = 3,
	.rule = ", \"lose_count\": 8",
	.odd_worker = -1,
};

static void apply(wwh_state_t *state, wwh_record_t *record)
{
	wwh_state_apply(state, wwh_state_last_offset(state) + 1, record, NULL);
	wwh_record_clear(record);
}

/* Returns a state that has an entry in each of its tables. */
static wwh_state_t *new_full_state(void)
{
	wwh_state_t *state = wwh_state_new();
	wwh_record_t record;
	int64_t fence;

	config_record(&record, "operator:aoife", wwh_state_config(state), 0,
		      &fleet);
	apply(state, &record);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, ENTRY_1,
		     wwh_shard_of_pool("p000"), WWH_NO_OFFSET);
	apply(state, &record);
	fence = wwh_state_last_offset(state);
	wave_record(&record, WWH_RECORD_WAVE_START, "operator:aoife", "a",
		    "p000", WWH_NO_OFFSET);
	apply(state, &record);
	grant_record(&record, ENTRY_1, "w0004", WWH_GRANT_WAVE, "a", fence);
	apply(state, &record);
	grant_record(&record, ENTRY_1, "w0008", WWH_GRANT_MOVE, "m", fence);
	apply(state, &record);
	move_record(&record, WWH_RECORD_MOVE_START, ENTRY_1, "w0008", "p001",
		    wwh_state_last_offset(state), fence);
	apply(state, &record);
	worker_record(&record, WWH_RECORD_WORKER_FAILED, ENTRY_1, "w0001",
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	apply(state, &record);
	worker_record(&record, WWH_RECORD_WORKER_QUARANTINE, ENTRY_1, "w0002",
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	apply(state, &record);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_START, "operator:dee",
			 "r", WWH_DOMAIN_ZONE, "z01");
	apply(state, &record);
	job_submit_record(&record, ENTRY_1, "j1", "p000", false);
	apply(state, &record);
	job_record(&record, WWH_RECORD_JOB_PLACE, ENTRY_1, "j1", "w0012",
		   fence);
	apply(state, &record);
	job_submit_record(&record, ENTRY_1, "j2", "p000", true);
	apply(state, &record);
	job_record(&record, WWH_RECORD_JOB_CANCEL, ENTRY_1, "j2", "",
		   WWH_NO_OFFSET);
	apply(state, &record);
	assert_int_equal(wwh_state_verdict_count(state, WWH_VERDICT_ACCEPTED),
			 13);
	return state;
}

static wwh_state_t *restore_state(GBytes *bytes)
{
	wwh_message_t message = { "" };
	wwh_state_t *state;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	if (wwh_snapshot_decode_state(data, size, &state, &message) !=
	    WWH_STATUS_OK)
		fail_msg("%s", message.text);
	wwh_state_check(state);
	return state;
}

/*
 * A process starts after records were trimmed and restores a snapshot. From
 * then on it must reach the same bytes as a process that read all records.
 */
static void a_restored_state_reaches_the_same_bytes(void **unused)
{
	wwh_state_t *state = new_full_state();
	GBytes *bytes = wwh_snapshot_encode_state(state);
	wwh_state_t *restored = restore_state(bytes);
	GBytes *left;
	GBytes *right;

	(void)unused;
	for (int32_t i = 0; i < 2; i++) {
		wwh_state_t *each = i == 0 ? state : restored;
		wwh_record_t record;

		grant_record(&record, ENTRY_1, "w0020", WWH_GRANT_WAVE, "a", 1);
		apply(each, &record);
		move_record(&record, WWH_RECORD_MOVE_FINISH, ENTRY_1, "w0008",
			    "", 4, 1);
		apply(each, &record);
	}
	left = wwh_snapshot_encode_state(state);
	right = wwh_snapshot_encode_state(restored);
	assert_true(g_bytes_equal(left, right));
	assert_false(g_bytes_equal(left, bytes));
	g_bytes_unref(left);
	g_bytes_unref(right);
	g_bytes_unref(bytes);
	wwh_state_delete(state);
	wwh_state_delete(restored);
}

static void an_empty_state_is_restored(void **unused)
{
	wwh_state_t *state = wwh_state_new();
	GBytes *bytes = wwh_snapshot_encode_state(state);
	wwh_state_t *restored = restore_state(bytes);

	(void)unused;
	assert_int_equal(wwh_state_last_offset(restored), WWH_NO_OFFSET);
	assert_int_equal(wwh_state_config_version(restored), 0);
	g_bytes_unref(bytes);
	wwh_state_delete(state);
	wwh_state_delete(restored);
}

/* A snapshot that is truncated or of another format must be rejected. */
static void a_damaged_snapshot_is_rejected(void **unused)
{
	wwh_state_t *state = new_full_state();
	GBytes *bytes = wwh_snapshot_encode_state(state);
	wwh_state_t *restored;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	uint8_t *copy = g_memdup2(data, size);

	(void)unused;
	for (gsize cut = 0; cut < size; cut += 97)
		assert_int_equal(
			wwh_snapshot_decode_state(data, cut, &restored, NULL),
			WWH_STATUS_BAD_INPUT);
	copy[1] = WWH_SNAPSHOT_FORMAT + 1;
	assert_int_equal(wwh_snapshot_decode_state(copy, size, &restored, NULL),
			 WWH_STATUS_BAD_INPUT);
	assert_null(restored);
	g_free(copy);
	g_bytes_unref(bytes);
	wwh_state_delete(state);
}

static wwh_intents_t *new_full_intents(void)
{
	wwh_intent_limits_t limits = { .keys_max = 64,
				       .tombstones_max = 64,
				       .bodies_max_bytes = 40,
				       .abandoned_max = 3 };
	wwh_intents_t *intents = wwh_intents_new(&limits);
	int64_t offset = 0;
	wwh_record_t record;

	for (int32_t i = 0; i < 20; i++) {
		char *key = g_strdup_printf("key-%d", i);
		char *process = g_strdup_printf("entry-%d.1", i % 5);

		intents_record(&record, process);
		intents_add(&record, key, 1, i);
		wwh_intents_apply(intents, offset++, &record, NULL, NULL, NULL);
		wwh_record_clear(&record);
		results_record(&record, process);
		results_add(&record, key, i, (wwh_result_t)(i % 3),
			    "123456789");
		if (i % 4 != 0)
			wwh_intents_apply(intents, offset++, &record, NULL,
					  NULL, NULL);
		wwh_record_clear(&record);
		g_free(key);
		g_free(process);
	}
	for (int32_t i = 0; i < 5; i++) {
		char *process = g_strdup_printf("entry-%d.1", i);

		abandon_record(&record, ENTRY_1, process);
		wwh_intents_apply(intents, offset++, &record, NULL, NULL, NULL);
		wwh_record_clear(&record);
		g_free(process);
	}
	expire_record(&record, ENTRY_1, 9, 0);
	wwh_intents_apply(intents, offset++, &record, NULL, NULL, NULL);
	wwh_record_clear(&record);
	wwh_intents_check(intents);
	return intents;
}

static void restored_intents_reach_the_same_bytes(void **unused)
{
	wwh_intents_t *intents = new_full_intents();
	GBytes *bytes = wwh_snapshot_encode_intents(intents);
	wwh_intents_t *restored;
	GBytes *left;
	GBytes *right;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	(void)unused;
	assert_int_equal(
		wwh_snapshot_decode_intents(data, size, &restored, NULL),
		WWH_STATUS_OK);
	wwh_intents_check(restored);
	for (int32_t i = 0; i < 2; i++) {
		wwh_intents_t *each = i == 0 ? intents : restored;
		wwh_record_t record;

		intents_record(&record, "entry-9.1");
		intents_add(&record, "key-0", 1, 1);
		intents_add(&record, "key-19", 1, 2);
		intents_add(&record, "fresh", 1, 3);
		wwh_intents_apply(each, 100, &record, NULL, NULL, NULL);
		wwh_record_clear(&record);
		results_record(&record, "entry-9.1");
		results_add(&record, "fresh", 3, WWH_RESULT_ANSWERED,
			    "a longer answer than others");
		wwh_intents_apply(each, 101, &record, NULL, NULL, NULL);
		wwh_record_clear(&record);
		wwh_intents_check(each);
	}
	left = wwh_snapshot_encode_intents(intents);
	right = wwh_snapshot_encode_intents(restored);
	assert_true(g_bytes_equal(left, right));
	assert_int_equal(wwh_intents_lookup_key(restored, FIXTURE_SERVICE,
						"key-0", NULL, NULL),
			 WWH_KEY_EXPIRED);
	for (gsize cut = 0; cut < size; cut += 31) {
		wwh_intents_t *none;

		assert_int_equal(
			wwh_snapshot_decode_intents(data, cut, &none, NULL),
			WWH_STATUS_BAD_INPUT);
	}
	g_bytes_unref(left);
	g_bytes_unref(right);
	g_bytes_unref(bytes);
	wwh_intents_delete(intents);
	wwh_intents_delete(restored);
}

/*
 * Answers are recorded in another order than their intents. After a restore the
 * oldest answer must still be the first to lose its body; otherwise one process
 * would answer a repeat and another would not.
 */
static void bodies_are_dropped_in_order_after_a_restore(void **unused)
{
	wwh_intent_limits_t limits = { .keys_max = 8,
				       .tombstones_max = 8,
				       .bodies_max_bytes = 12,
				       .abandoned_max = 2 };
	static const char *const keys[] = { "a", "b", "c" };
	static const int32_t order[] = { 1, 0, 2 };
	wwh_intents_t *intents = wwh_intents_new(&limits);
	wwh_intents_t *restored = NULL;
	wwh_key_view_t view;
	wwh_record_t record;
	GBytes *bytes = NULL;

	(void)unused;
	intents_record(&record, ENTRY_1);
	for (int32_t i = 0; i < 3; i++)
		intents_add(&record, keys[i], 1, i);
	wwh_intents_apply(intents, 0, &record, NULL, NULL, NULL);
	wwh_record_clear(&record);
	for (int32_t i = 0; i < 3; i++) {
		if (i == 2) {
			bytes = wwh_snapshot_encode_intents(intents);
			assert_int_equal(wwh_snapshot_decode_intents(
						 g_bytes_get_data(bytes, NULL),
						 g_bytes_get_size(bytes),
						 &restored, NULL),
					 WWH_STATUS_OK);
		}
		results_record(&record, ENTRY_1);
		results_add(&record, keys[order[i]], order[i],
			    WWH_RESULT_ANSWERED, "12345");
		wwh_intents_apply(i == 2 ? restored : intents, 1 + i, &record,
				  NULL, NULL, NULL);
		wwh_record_clear(&record);
	}
	wwh_intents_lookup_key(restored, FIXTURE_SERVICE, "b", NULL, &view);
	assert_false(view.body_kept);
	wwh_intents_lookup_key(restored, FIXTURE_SERVICE, "a", NULL, &view);
	assert_true(view.body_kept);
	g_bytes_unref(bytes);
	wwh_intents_delete(intents);
	wwh_intents_delete(restored);
}

/* Adds the records from..upto-1 to parts; returns the snapshot or NULL. */
static GBytes *add_parts(wwh_snapshot_parts_t *parts, GPtrArray *records,
			 guint from, guint upto)
{
	GBytes *snapshot_bytes = NULL;

	for (guint i = from; i < upto; i++) {
		wwh_record_t record;
		gsize size;
		const uint8_t *data =
			g_bytes_get_data(records->pdata[i], &size);

		assert_int_equal(wwh_record_decode(data, size, &record, NULL),
				 WWH_STATUS_OK);
		assert_null(snapshot_bytes);
		snapshot_bytes = wwh_snapshot_parts_add(parts, &record);
		wwh_record_clear(&record);
	}
	return snapshot_bytes;
}

/*
 * Two processes publish the same snapshot concurrently and one ends before its
 * last part. The parts of both are combined; repeated parts have no effect.
 */
static void parts_of_racing_snapshots_are_combined(void **unused)
{
	gsize size = 2 * WWH_SNAPSHOT_PART_BYTES_MAX + 5;
	GBytes *bytes = g_bytes_new_take(g_malloc0(size), size);
	GPtrArray *first = wwh_snapshot_records(bytes, 8, ENTRY_1);
	GPtrArray *second = wwh_snapshot_records(bytes, 8, "entry-2.1");
	wwh_snapshot_parts_t *parts = wwh_snapshot_parts_new();
	GBytes *snapshot_bytes;

	(void)unused;
	assert_int_equal(first->len, 3);
	assert_null(add_parts(parts, first, 0, 2));
	assert_null(add_parts(parts, second, 0, 2));
	snapshot_bytes = add_parts(parts, second, 2, 3);
	assert_non_null(snapshot_bytes);
	assert_true(g_bytes_equal(snapshot_bytes, bytes));
	g_bytes_unref(snapshot_bytes);
	wwh_snapshot_parts_delete(parts);
	g_ptr_array_unref(first);
	g_ptr_array_unref(second);
	g_bytes_unref(bytes);
}

static void a_snapshot_with_a_wrong_hash_is_rejected(void **unused)
{
	wwh_snapshot_parts_t *parts = wwh_snapshot_parts_new();
	wwh_record_t record;

	(void)unused;
	wwh_record_init(&record, WWH_RECORD_SNAPSHOT, ENTRY_1);
	record.body.snapshot.upto = 8;
	record.body.snapshot.hash = 1;
	assert_null(wwh_snapshot_parts_add(parts, &record));
	record.body.snapshot.part = 7;
	assert_null(wwh_snapshot_parts_add(parts, &record));
	wwh_record_clear(&record);
	wwh_snapshot_parts_delete(parts);
}

/*
 * Replicas must make snapshots at the same offsets whenever they read their
 * records, also when offsets are not dense. Another state at such an offset is
 * reported as a mismatch.
 */
static void generators_use_the_same_offsets(void **unused)
{
	wwh_snapshot_generator_t *generator =
		wwh_snapshot_generator_new(INTERVAL_OFFSETS);
	wwh_state_t *state = wwh_state_new();
	wwh_record_t record;
	int64_t upto;

	(void)unused;
	for (int64_t offset = 0; offset < 30; offset += 3) {
		job_submit_record(&record, ENTRY_1, "j", "p", true);
		wwh_snapshot_generator_update_state(generator, state, offset);
		wwh_state_apply(state, offset, &record, NULL);
		wwh_record_clear(&record);
	}
	assert_non_null(wwh_snapshot_generator_latest(generator, &upto));
	assert_int_equal(upto, 24);
	wwh_record_init(&record, WWH_RECORD_SNAPSHOT, ENTRY_1);
	record.body.snapshot.upto = upto;
	record.body.snapshot.hash = wwh_snapshot_hash(
		wwh_snapshot_generator_latest(generator, &upto));
	assert_int_equal(wwh_snapshot_generator_compare(generator, &record),
			 WWH_SNAPSHOT_MATCH);
	record.body.snapshot.hash++;
	assert_int_equal(wwh_snapshot_generator_compare(generator, &record),
			 WWH_SNAPSHOT_MISMATCH);
	record.body.snapshot.upto = 1;
	assert_int_equal(wwh_snapshot_generator_compare(generator, &record),
			 WWH_SNAPSHOT_NOT_COMPARED);
	wwh_record_clear(&record);
	wwh_state_delete(state);
	wwh_snapshot_generator_delete(generator);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_restored_state_reaches_the_same_bytes),
		cmocka_unit_test(an_empty_state_is_restored),
		cmocka_unit_test(a_damaged_snapshot_is_rejected),
		cmocka_unit_test(restored_intents_reach_the_same_bytes),
		cmocka_unit_test(bodies_are_dropped_in_order_after_a_restore),
		cmocka_unit_test(parts_of_racing_snapshots_are_combined),
		cmocka_unit_test(a_snapshot_with_a_wrong_hash_is_rejected),
		cmocka_unit_test(generators_use_the_same_offsets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
