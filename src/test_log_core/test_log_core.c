#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/log_core.h"

#define HOUR_MS ((int64_t)3600 * 1000)
#define WINDOW 32

/* A log in memory, one core, and what the core delivered. */
typedef struct {
	GArray *ids; /* wwh_append_id_t by offset - 1 */
	int64_t first;
	wwh_log_budget_t *budget;
	GRand *rand;
	wwh_log_core_t *core;
	GString *seen;
	int64_t now_ms;
	wwh_log_attempt_t attempt; /* the last one */
} fixture_t;

static void setup(fixture_t *f, const wwh_log_core_options_t *options)
{
	*f = (fixture_t){ .first = 1, .now_ms = 1000 };
	f->ids = g_array_new(FALSE, TRUE, sizeof(wwh_append_id_t));
	f->budget = wwh_log_budget_new(f->now_ms);
	f->rand = g_rand_new_with_seed(5);
	f->seen = g_string_new(NULL);
	f->core = wwh_log_core_new(options, f->budget, f->rand);
}

static void setup_default(fixture_t *f)
{
	wwh_log_core_options_t options;

	wwh_log_core_options_defaults(&options);
	options.window = WINDOW;
	setup(f, &options);
}

static void teardown(fixture_t *f)
{
	wwh_log_core_delete(f->core);
	g_string_free(f->seen, TRUE);
	g_rand_free(f->rand);
	wwh_log_budget_delete(f->budget);
	g_array_unref(f->ids);
}

static int64_t log_next(const fixture_t *f)
{
	return (int64_t)f->ids->len + 1;
}

static int64_t log_append(fixture_t *f, wwh_append_id_t id)
{
	g_array_append_val(f->ids, id);
	return f->ids->len;
}

static void log_append_others(fixture_t *f, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		wwh_append_id_t id = { { 0 } };

		for (int k = 0; k < 8; k++)
			id.bytes[k] = (uint8_t)(log_next(f) >> (56 - 8 * k));
		id.bytes[8] = 0xee;
		log_append(f, id);
	}
}

/* Reads all there is; writes verdicts that aren't "deliver" by name. */
static wwh_log_state_t read_all(fixture_t *f)
{
	wwh_log_read_t read;
	int64_t wait_ms;
	wwh_status_t status = WWH_STATUS_OK;

	assert_true(
		wwh_log_core_read_begin(f->core, f->now_ms, &read, &wait_ms));
	if (read.from < f->first)
		status = WWH_STATUS_NOT_FOUND;
	for (int64_t o = read.from; status == WWH_STATUS_OK && o < log_next(f);
	     o++) {
		wwh_log_entry_t entry = { .offset = o };
		wwh_log_verdict_t verdict;

		entry.append_id = g_array_index(f->ids, wwh_append_id_t, o - 1);
		verdict = wwh_log_core_handle_record(f->core, read.generation,
						     &entry);
		if (verdict == WWH_LOG_DELIVER)
			g_string_append_printf(f->seen, "%d;", (int)o);
		else
			g_string_append_printf(f->seen, "%d:%s;", (int)o,
					       wwh_log_verdict_names[verdict]);
	}
	return wwh_log_core_read_done(f->core, read.generation, status,
				      f->first, log_next(f), f->now_ms);
}

static uint64_t submit_until(fixture_t *f, int64_t deadline_ms)
{
	GBytes *payload = g_bytes_new("x", 1);
	uint64_t ticket = 0;

	assert_int_equal(wwh_log_core_submit(f->core, payload, deadline_ms,
					     f->now_ms, &ticket),
			 WWH_STATUS_OK);
	g_bytes_unref(payload);
	return ticket;
}

static uint64_t submit(fixture_t *f)
{
	return submit_until(f, f->now_ms + 60000);
}

/* Goes on in time until an attempt is due. */
static void begin_attempt(fixture_t *f)
{
	int64_t wait_ms;

	while (!wwh_log_core_next_attempt(f->core, f->now_ms, &f->attempt,
					  &wait_ms)) {
		assert_true(wait_ms > 0);
		f->now_ms += wait_ms;
	}
}

static void end_attempt(fixture_t *f, wwh_status_t status, int64_t offset)
{
	wwh_log_core_attempt_done(f->core, status, offset, f->now_ms);
}

static void expect_settled(fixture_t *f, uint64_t ticket, wwh_status_t status,
			   int64_t offset)
{
	wwh_log_settled_t settled;

	assert_true(wwh_log_core_pop_settled(f->core, &settled));
	assert_int_equal(settled.ticket, ticket);
	assert_int_equal(settled.status, status);
	if (status == WWH_STATUS_OK)
		assert_int_equal(settled.offset, offset);
}

static void expect_nothing_settled(fixture_t *f)
{
	wwh_log_settled_t settled;

	assert_false(wwh_log_core_pop_settled(f->core, &settled));
}

/*
 * The caller of an append must learn that it is in the log although the
 * platform's answer was lost: the record comes by reading, with its id.
 */
static void lost_answer_is_found_by_reading(void **unused)
{
	fixture_t f;
	uint64_t ticket;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	ticket = submit(&f);
	begin_attempt(&f);
	log_append(&f, f.attempt.id);
	end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
	expect_nothing_settled(&f);
	read_all(&f);
	expect_settled(&f, ticket, WWH_STATUS_OK, 1);
	assert_string_equal(f.seen->str, "1;");
	teardown(&f);
}

/*
 * One publication must not take effect twice: the first copy was sent, its
 * answer was lost and its effect is late; the retry is answered; then the
 * first copy arrives. Both have one id, so every reader drops the second.
 */
static void late_copy_is_dropped(void **unused)
{
	fixture_t f;
	uint64_t ticket;
	wwh_append_id_t late;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	ticket = submit(&f);
	begin_attempt(&f);
	late = f.attempt.id;
	end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
	begin_attempt(&f);
	assert_memory_equal(&late, &f.attempt.id, sizeof(late));
	end_attempt(&f, WWH_STATUS_OK, log_append(&f, f.attempt.id));
	/* Which copy counts is known when it is read. */
	expect_nothing_settled(&f);
	log_append(&f, late);
	read_all(&f);
	expect_settled(&f, ticket, WWH_STATUS_OK, 1);
	assert_string_equal(f.seen->str, "1;2:duplicate;");
	teardown(&f);
}

/*
 * A caller that was told "without effect" must never see the effect: the
 * append vanishes, others fill the window after its base, the reader has seen
 * all of it. A copy that still comes is void.
 */
static void unseen_append_expires_with_its_window(void **unused)
{
	fixture_t f;
	uint64_t ticket;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	ticket = submit(&f);
	begin_attempt(&f);
	end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
	log_append_others(&f, WINDOW - 1);
	read_all(&f);
	expect_nothing_settled(&f);
	log_append_others(&f, 1);
	read_all(&f);
	expect_settled(&f, ticket, WWH_STATUS_UNAVAILABLE, 0);
	g_string_truncate(f.seen, 0);
	log_append(&f, f.attempt.id);
	read_all(&f);
	assert_string_equal(f.seen->str, "33:void;");
	teardown(&f);
}

static void deadline_tells_what_is_known(void **unused)
{
	fixture_t f;
	uint64_t sent;
	uint64_t waiting;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	sent = submit_until(&f, f.now_ms + 100);
	begin_attempt(&f);
	waiting = submit_until(&f, f.now_ms + 100);
	end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
	wwh_log_core_tick(f.core, f.now_ms + 100);
	expect_settled(&f, waiting, WWH_STATUS_UNAVAILABLE, 0);
	expect_settled(&f, sent, WWH_STATUS_UNKNOWN, 0);
	teardown(&f);
}

/*
 * The log is down for an hour while a caller a second wants to append, each
 * for ten seconds. Every one gets UNAVAILABLE, memory stays bounded, and the
 * log sees at most a few attempts a second when it is coming back.
 */
static void hour_of_outage_is_bounded(void **unused)
{
	fixture_t f;
	wwh_log_settled_t settled;
	int64_t end_ms;
	int64_t next_submit_ms;
	int64_t unavailable = 0;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	end_ms = f.now_ms + HOUR_MS;
	next_submit_ms = f.now_ms;
	while (f.now_ms < end_ms) {
		int64_t wait_ms;

		if (f.now_ms >= next_submit_ms) {
			submit_until(&f, f.now_ms + 10000);
			next_submit_ms += 1000;
		}
		wwh_log_core_tick(f.core, f.now_ms);
		if (wwh_log_core_next_attempt(f.core, f.now_ms, &f.attempt,
					      &wait_ms))
			end_attempt(&f, WWH_STATUS_UNAVAILABLE, 0);
		while (wwh_log_core_pop_settled(f.core, &settled)) {
			assert_int_equal(settled.status,
					 WWH_STATUS_UNAVAILABLE);
			unavailable++;
		}
		assert_true(wwh_log_core_waiting(f.core) <= 11);
		f.now_ms += 10;
	}
	assert_true(unavailable >= 3590);
	print_message("attempts in an hour: %d\n",
		      (int)wwh_log_core_stats(f.core)->attempts);
	assert_true(wwh_log_core_stats(f.core)->attempts <= 2 * 3600);
	teardown(&f);
}

static void full_queue_refuses_at_once(void **unused)
{
	wwh_log_core_options_t options;
	GBytes *payload = g_bytes_new("12345", 5);
	uint64_t ticket;
	fixture_t f;

	(void)unused;
	wwh_log_core_options_defaults(&options);
	options.max_waiting_bytes = 12;
	setup(&f, &options);
	for (int i = 0; i < 3; i++)
		assert_int_equal(wwh_log_core_submit(f.core, payload, 5000,
						     f.now_ms, &ticket),
				 i < 2 ? WWH_STATUS_OK : WWH_STATUS_LIMIT);
	assert_int_equal(wwh_log_core_stats(f.core)->refused, 1);
	g_bytes_unref(payload);
	teardown(&f);
}

/*
 * A log that loses every second request must not get a multiple of the load
 * while the others succeed, which keeps the pause between attempts short.
 */
static void retries_keep_to_the_budget(void **unused)
{
	fixture_t f;
	int64_t start_ms;
	int64_t first_sends = 1000;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	start_ms = f.now_ms;
	for (int i = 0; i < first_sends * 10; i++) {
		wwh_log_settled_t settled;
		int64_t wait_ms;

		if (i % 10 == 0)
			submit_until(&f, f.now_ms + 5000);
		if (wwh_log_core_next_attempt(f.core, f.now_ms, &f.attempt,
					      &wait_ms)) {
			if (i % 20 < 10)
				end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
			else
				end_attempt(&f, WWH_STATUS_OK,
					    log_append(&f, f.attempt.id));
		}
		f.now_ms += 5;
		wwh_log_core_tick(f.core, f.now_ms);
		while (wwh_log_core_pop_settled(f.core, &settled))
			;
	}
	print_message("retries for 1000 first sends: %d\n",
		      (int)wwh_log_core_stats(f.core)->retries);
	assert_true(wwh_log_core_stats(f.core)->retries > 0);
	assert_true(wwh_log_core_stats(f.core)->retries <=
		    20 + first_sends / 10 + (f.now_ms - start_ms) * 2 / 1000);
	teardown(&f);
}

/*
 * A process that fell behind must not skip records: those it needs are
 * trimmed. It says so, looks on for a snapshot, and goes on from one; a
 * snapshot older than what it has applied is refused.
 */
static void trimmed_reader_waits_for_a_snapshot(void **unused)
{
	fixture_t f;

	(void)unused;
	setup_default(&f);
	log_append_others(&f, 3);
	read_all(&f);
	log_append_others(&f, 7);
	f.first = 8;
	assert_int_equal(read_all(&f), WWH_LOG_TRIMMED);
	read_all(&f);
	assert_string_equal(f.seen->str, "1;2;3;8:scan;9:scan;10:scan;");
	assert_false(wwh_log_core_caught_up(f.core));
	assert_int_equal(wwh_log_core_restore(f.core, 3), WWH_STATUS_CONFLICT);
	assert_int_equal(wwh_log_core_restore(f.core, 10), WWH_STATUS_OK);
	g_string_truncate(f.seen, 0);
	/* Offsets 1 to 7 of the window before the snapshot are gone. */
	assert_int_equal(read_all(&f), WWH_LOG_REPLAYING);
	read_all(&f);
	assert_string_equal(f.seen->str, "8:warm_up;9:warm_up;10;");
	assert_true(wwh_log_core_caught_up(f.core));
	teardown(&f);
}

/*
 * A new process starts from a snapshot whose window is partly trimmed. A
 * record whose base is in the trimmed part may be a copy that the others
 * dropped: it waits for a newer snapshot instead of guessing.
 */
static void possible_copy_of_a_trimmed_record_stops_the_replay(void **unused)
{
	fixture_t f;
	wwh_append_id_t id = { { 0, 0, 0, 0, 0, 0, 0, 2, 9 } };

	(void)unused;
	setup_default(&f);
	log_append_others(&f, 9);
	log_append(&f, id);
	log_append_others(&f, 2);
	f.first = 5;
	assert_int_equal(wwh_log_core_restore(f.core, 9), WWH_STATUS_OK);
	read_all(&f);
	read_all(&f);
	assert_string_equal(f.seen->str,
			    "5:warm_up;6:warm_up;7:warm_up;8:warm_up;9;"
			    "10:ambiguous;11:stale;12:stale;");
	assert_int_equal(wwh_log_core_state(f.core), WWH_LOG_TRIMMED);
	assert_int_equal(wwh_log_core_restore(f.core, 10), WWH_STATUS_CONFLICT);
	assert_int_equal(wwh_log_core_restore(f.core, 11), WWH_STATUS_OK);
	teardown(&f);
}

/*
 * A caller must not be given the offset of a copy that has no effect: its
 * append is seen in the window before a snapshot, but an earlier copy may be
 * in the part that is trimmed. The outcome is unknown here.
 */
static void possible_copy_settles_nothing(void **unused)
{
	fixture_t f;
	uint64_t ticket;

	(void)unused;
	setup_default(&f);
	read_all(&f);
	ticket = submit(&f);
	begin_attempt(&f);
	end_attempt(&f, WWH_STATUS_UNKNOWN, 0);
	log_append_others(&f, 4);
	log_append(&f, f.attempt.id);
	log_append_others(&f, 3);
	f.first = 4;
	assert_int_equal(read_all(&f), WWH_LOG_TRIMMED);
	assert_int_equal(wwh_log_core_restore(f.core, 7), WWH_STATUS_OK);
	read_all(&f);
	read_all(&f);
	assert_string_equal(f.seen->str, "4:warm_up;5:warm_up;6:warm_up;7;8;");
	expect_nothing_settled(&f);
	wwh_log_core_abort_all(f.core);
	expect_settled(&f, ticket, WWH_STATUS_UNKNOWN, 0);
	teardown(&f);
}

static GBytes *join(GBytes *const *payloads, int32_t count, void *unused)
{
	(void)payloads;
	(void)unused;
	return g_bytes_new("yyyyyyyyyyyy", (gsize)count);
}

static void batch_closes_by_time_or_size(void **unused)
{
	wwh_log_core_options_t options;
	uint64_t ticket;
	int64_t wait_ms;
	fixture_t f;

	(void)unused;
	wwh_log_core_options_defaults(&options);
	options.batch_items = 3;
	options.batch_ms = 20;
	options.join = join;
	setup(&f, &options);
	read_all(&f);
	ticket = submit(&f);
	submit(&f);
	assert_false(wwh_log_core_next_attempt(f.core, f.now_ms, &f.attempt,
					       &wait_ms));
	assert_int_equal(wait_ms, 20);
	f.now_ms += 20;
	assert_true(wwh_log_core_next_attempt(f.core, f.now_ms, &f.attempt,
					      &wait_ms));
	assert_int_equal(f.attempt.size, 2);
	end_attempt(&f, WWH_STATUS_OK, 1);
	expect_settled(&f, ticket, WWH_STATUS_OK, 1);
	expect_settled(&f, ticket + 1, WWH_STATUS_OK, 1);
	for (int i = 0; i < 4; i++)
		submit(&f);
	assert_true(wwh_log_core_next_attempt(f.core, f.now_ms, &f.attempt,
					      &wait_ms));
	assert_int_equal(f.attempt.size, 3);
	end_attempt(&f, WWH_STATUS_UNAVAILABLE, 0);
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_answer_is_found_by_reading),
		cmocka_unit_test(late_copy_is_dropped),
		cmocka_unit_test(unseen_append_expires_with_its_window),
		cmocka_unit_test(deadline_tells_what_is_known),
		cmocka_unit_test(hour_of_outage_is_bounded),
		cmocka_unit_test(full_queue_refuses_at_once),
		cmocka_unit_test(retries_keep_to_the_budget),
		cmocka_unit_test(trimmed_reader_waits_for_a_snapshot),
		cmocka_unit_test(
			possible_copy_of_a_trimmed_record_stops_the_replay),
		cmocka_unit_test(possible_copy_settles_nothing),
		cmocka_unit_test(batch_closes_by_time_or_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
