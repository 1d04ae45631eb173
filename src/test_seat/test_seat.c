#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/seat.h"

#define SEATS 8
#define NODES 32 /* incarnations over the whole run */
#define AT_ONCE 8
#define ROUNDS 100
#define STEP_MS 250
#define ROUND_STEPS 12000

/* A simulated entry process, with its state of seats only. */
typedef struct {
	uint64_t id;
	bool started;
	bool dead;
	bool paused;
	bool cut_from_log;
	int32_t partition; /* only processes of one partition are connected */
	size_t read; /* number of log records that it has applied */
	wwh_seat_table_t table;
	wwh_seat_lease_t lease;
	uint64_t releasing; /* out of use before RELEASE is appended */
	int64_t acked_seen_ms[NODES + 1]; /* by member: all ACKs read */
} node_t;

typedef struct {
	GRand *random;
	GArray *log; /* wwh_seat_record_t */
	node_t nodes[NODES];
	int32_t started;
	bool log_down;
	int64_t now_ms;
	int64_t seat_steps_in_use; /* seats in use, summed over all steps */
} fixture_t;

static bool chance(fixture_t *fixture, int32_t one_in)
{
	return g_rand_int_range(fixture->random, 0, one_in) == 0;
}

static void append(fixture_t *fixture, wwh_seat_record_type_t type,
		   uint64_t process, uint64_t subject, int32_t seat)
{
	wwh_seat_record_t record = { process, subject, type, seat };

	g_array_append_val(fixture->log, record);
}

static void read_log(fixture_t *fixture, node_t *node)
{
	for (; node->read < fixture->log->len; node->read++) {
		wwh_seat_record_t record = g_array_index(
			fixture->log, wwh_seat_record_t, node->read);

		wwh_seat_table_apply(&node->table, &record);
	}
	node->releasing &= wwh_seat_held(&node->table, node->id);
	for (int32_t i = 0; i < node->table.member_count; i++) {
		const wwh_seat_member_t *member = &node->table.members[i];

		if (member->process == node->id && !member->evicted)
			wwh_seat_lease_renew_by_log(&node->lease,
						    fixture->now_ms);
	}
}

static bool is_member(const node_t *node, uint64_t id, bool *evicted)
{
	for (int32_t i = 0; i < node->table.member_count; i++) {
		if (node->table.members[i].process != id)
			continue;
		*evicted = node->table.members[i].evicted;
		return true;
	}
	return false;
}

static uint64_t in_use(const node_t *node)
{
	return wwh_seat_held(&node->table, node->id) & ~node->releasing;
}

/* Requests votes for the lease; reachable processes mostly answer. */
static void heartbeat(fixture_t *fixture, node_t *node)
{
	for (int32_t i = 0; i < fixture->started; i++) {
		node_t *other = &fixture->nodes[i];
		wwh_seat_vote_t vote;
		bool evicted = false;

		if (other == node || other->dead || other->paused ||
		    other->partition != node->partition || chance(fixture, 5))
			continue;
		if (!is_member(other, node->id, &evicted) || evicted ||
		    fixture->now_ms >= other->lease.until_ms)
			continue;
		vote.member = other->id;
		vote.seats = in_use(other);
		vote.sent_ms = fixture->now_ms;
		wwh_seat_lease_renew_by_vote(&node->lease, &node->table,
					     in_use(node), &vote);
	}
}

/* Appends the records that are due, after all of the log was read. */
static void append_records(fixture_t *fixture, node_t *node)
{
	wwh_seat_record_t plan;
	bool evicted = false;

	if (!is_member(node, node->id, &evicted)) {
		if (node->started)
			append(fixture, WWH_SEAT_JOIN, node->id, 0, 0);
		node->started = false;
		return;
	}
	if (evicted)
		return;
	for (int32_t i = 0; i < node->table.member_count; i++) {
		const wwh_seat_member_t *member = &node->table.members[i];
		const node_t *other = &fixture->nodes[member->process - 1];
		int64_t *seen_ms = &node->acked_seen_ms[member->process];

		if (!member->evicted) {
			/* Sometimes EVICT is appended for a healthy process. */
			if (other->dead && chance(fixture, 200))
				append(fixture, WWH_SEAT_GONE, node->id,
				       member->process, 0);
			if ((other->dead && chance(fixture, 20)) ||
			    (other->cut_from_log && chance(fixture, 200)) ||
			    chance(fixture, 4000))
				append(fixture, WWH_SEAT_EVICT, node->id,
				       member->process, 0);
			continue;
		}
		if (chance(fixture, 4))
			append(fixture, WWH_SEAT_ACK, node->id, member->process,
			       0);
		if (!wwh_seat_all_acked(&node->table, member->process))
			continue;
		if (*seen_ms == 0)
			*seen_ms = fixture->now_ms;
		if (fixture->now_ms - *seen_ms >= WWH_SEAT_FREE_AFTER_MS)
			append(fixture, WWH_SEAT_FREE, node->id,
			       member->process, 0);
	}
	if (!wwh_seat_plan(&node->table, node->id, &plan) ||
	    !chance(fixture, 4))
		return;
	if (plan.type == WWH_SEAT_RELEASE)
		node->releasing |= 1ULL << plan.seat;
	append(fixture, plan.type, plan.process, 0, plan.seat);
}

/* No two processes may act on one seat, even if their views differ. */
static void assert_no_seat_used_twice(fixture_t *fixture)
{
	uint64_t used = 0;

	for (int32_t i = 0; i < fixture->started; i++) {
		const node_t *node = &fixture->nodes[i];
		uint64_t held;

		if (node->dead || node->paused ||
		    fixture->now_ms >= node->lease.until_ms)
			continue;
		held = in_use(node);
		assert_int_equal(used & held, 0);
		used |= held;
	}
	fixture->seat_steps_in_use += __builtin_popcountll(used);
}

/* Switches on with a probability of one third, off always. */
static bool toggle(fixture_t *fixture, bool on)
{
	return !on && chance(fixture, 3);
}

static void disturb(fixture_t *fixture)
{
	node_t *node;

	if (chance(fixture, 500))
		fixture->log_down = toggle(fixture, fixture->log_down);
	if (fixture->started == 0)
		return;
	node = &fixture->nodes[g_rand_int_range(fixture->random, 0,
						fixture->started)];
	if (chance(fixture, 50))
		node->paused = toggle(fixture, node->paused);
	if (chance(fixture, 50))
		node->cut_from_log = toggle(fixture, node->cut_from_log);
	if (chance(fixture, 50))
		node->partition = toggle(fixture, node->partition != 0);
	if (chance(fixture, 2000))
		node->dead = true;
}

static int32_t alive(const fixture_t *fixture)
{
	int32_t count = 0;

	for (int32_t i = 0; i < fixture->started; i++)
		count += !fixture->nodes[i].dead;
	return count;
}

static void run(fixture_t *fixture)
{
	for (int32_t step = 0; step < ROUND_STEPS; step++) {
		fixture->now_ms += STEP_MS;
		if (fixture->started < NODES && alive(fixture) < AT_ONCE) {
			node_t *node = &fixture->nodes[fixture->started];

			fixture->started++;
			node->id = (uint64_t)fixture->started;
			node->started = true;
			wwh_seat_table_init(&node->table, SEATS);
		}
		disturb(fixture);
		for (int32_t i = 0; i < fixture->started; i++) {
			node_t *node = &fixture->nodes[i];

			if (node->dead || node->paused)
				continue;
			heartbeat(fixture, node);
			if (fixture->log_down || node->cut_from_log)
				continue;
			read_log(fixture, node);
			append_records(fixture, node);
		}
		assert_no_seat_used_twice(fixture);
	}
}

/*
 * Processes crash, pause, resume, are cut off from the log or from each other,
 * and are evicted while they are healthy. At no time do two of them act on one
 * seat. On average more than three seats are in use, so that the test doesn't
 * pass because all are idle.
 */
static void no_seat_is_ever_used_twice(void **unused)
{
	int64_t seat_steps_in_use = 0;

	(void)unused;
	for (guint32 seed = 1; seed <= ROUNDS; seed++) {
		fixture_t *fixture = g_new0(fixture_t, 1);

		fixture->random = g_rand_new_with_seed(seed);
		fixture->log =
			g_array_new(FALSE, TRUE, sizeof(wwh_seat_record_t));
		run(fixture);
		seat_steps_in_use += fixture->seat_steps_in_use;
		g_array_free(fixture->log, TRUE);
		g_rand_free(fixture->random);
		g_free(fixture);
	}
	assert_true(seat_steps_in_use > (int64_t)3 * ROUNDS * ROUND_STEPS);
}

static bool apply(wwh_seat_table_t *table, wwh_seat_record_type_t type,
		  uint64_t process, uint64_t subject, int32_t seat)
{
	wwh_seat_record_t record = { process, subject, type, seat };

	return wwh_seat_table_apply(table, &record);
}

static void seats_spread_evenly(void **unused)
{
	wwh_seat_table_t table;
	wwh_seat_record_t plan;

	(void)unused;
	wwh_seat_table_init(&table, SEATS);
	for (uint64_t process = 1; process <= 3; process++) {
		bool moved = true;

		apply(&table, WWH_SEAT_JOIN, process, 0, 0);
		while (moved) {
			moved = false;
			for (uint64_t i = 1; i <= process; i++) {
				if (wwh_seat_plan(&table, i, &plan))
					moved = wwh_seat_table_apply(&table,
								     &plan);
			}
		}
	}
	for (uint64_t i = 1; i <= 3; i++)
		assert_in_range(__builtin_popcountll(wwh_seat_held(&table, i)),
				2, 3);
}

static void an_evicted_member_has_no_effect_and_no_seat(void **unused)
{
	wwh_seat_table_t table;

	(void)unused;
	wwh_seat_table_init(&table, SEATS);
	for (uint64_t i = 1; i <= 3; i++)
		assert_true(apply(&table, WWH_SEAT_JOIN, i, 0, 0));
	assert_true(apply(&table, WWH_SEAT_CLAIM, 1, 0, 4));
	assert_false(apply(&table, WWH_SEAT_CLAIM, 2, 0, 4));
	assert_true(apply(&table, WWH_SEAT_EVICT, 2, 1, 0));
	assert_int_equal(wwh_seat_held(&table, 1), 0);
	assert_false(apply(&table, WWH_SEAT_CLAIM, 1, 0, 5));
	assert_false(apply(&table, WWH_SEAT_EVICT, 1, 2, 0));
	assert_false(apply(&table, WWH_SEAT_CLAIM, 2, 0, 4));
	assert_true(apply(&table, WWH_SEAT_ACK, 2, 1, 0));
	assert_false(apply(&table, WWH_SEAT_FREE, 2, 1, 0));
	assert_true(apply(&table, WWH_SEAT_ACK, 3, 1, 0));
	assert_true(apply(&table, WWH_SEAT_FREE, 2, 1, 0));
	assert_true(apply(&table, WWH_SEAT_CLAIM, 3, 0, 4));
}

/*
 * Guards against a minion that gets more requests at once than it has slots.
 * Process 1 has lent slots to 2 and is killed; its successor 3 appends GONE and
 * claims its seats. 2 must be informed that 1 has departed, or it would use the
 * borrowed slots while 3 uses them too.
 */
static void a_gone_member_is_reported_as_departed(void **unused)
{
	const wwh_seat_record_t records[] = {
		{ 1, 0, WWH_SEAT_JOIN, 0 },  { 1, 0, WWH_SEAT_CLAIM, 0 },
		{ 2, 0, WWH_SEAT_JOIN, 0 },  { 3, 0, WWH_SEAT_JOIN, 0 },
		{ 3, 1, WWH_SEAT_GONE, 0 },  { 3, 0, WWH_SEAT_CLAIM, 0 },
		{ 3, 2, WWH_SEAT_EVICT, 0 },
	};
	uint64_t departed[WWH_SEAT_MEMBERS_MAX];
	wwh_seat_table_t before;
	wwh_seat_table_t after;

	(void)unused;
	wwh_seat_table_init(&after, SEATS);
	for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
		int32_t count;

		before = after;
		assert_true(wwh_seat_table_apply(&after, &records[i]));
		count = wwh_seat_departed(&before, &after, departed);
		assert_int_equal(count, records[i].type == WWH_SEAT_GONE);
		if (count > 0)
			assert_int_equal(departed[0], 1);
	}
	assert_int_equal(wwh_seat_held(&after, 3), 1);
}

/* While the log is down, a majority renews its leases; a minority can't. */
static void a_majority_keeps_the_lease_without_the_log(void **unused)
{
	wwh_seat_table_t table;
	wwh_seat_lease_t lease = { 0 };
	wwh_seat_vote_t votes[] = { { 2, 0x02, 3000 },
				    { 3, 0x04, 2500 },
				    { 4, 0x18, 2000 },
				    { 4, 0x18, 3500 } };

	(void)unused;
	wwh_seat_table_init(&table, SEATS);
	for (uint64_t i = 1; i <= 4; i++)
		apply(&table, WWH_SEAT_JOIN, i, 0, 0);
	wwh_seat_lease_renew_by_log(&lease, 0);
	assert_int_equal(lease.until_ms, WWH_SEAT_LEASE_MS);
	/* Seats 0 to 2 are three of eight: no majority. */
	wwh_seat_lease_renew_by_vote(&lease, &table, 0x01, &votes[0]);
	wwh_seat_lease_renew_by_vote(&lease, &table, 0x01, &votes[1]);
	assert_int_equal(lease.until_ms, WWH_SEAT_LEASE_MS);
	wwh_seat_lease_renew_by_vote(&lease, &table, 0x01, &votes[2]);
	assert_int_equal(lease.until_ms, 2000 + WWH_SEAT_LEASE_MS);
	wwh_seat_lease_renew_by_vote(&lease, &table, 0x01, &votes[3]);
	assert_int_equal(lease.until_ms, 2500 + WWH_SEAT_LEASE_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_seat_is_ever_used_twice),
		cmocka_unit_test(seats_spread_evenly),
		cmocka_unit_test(an_evicted_member_has_no_effect_and_no_seat),
		cmocka_unit_test(a_gone_member_is_reported_as_departed),
		cmocka_unit_test(a_majority_keeps_the_lease_without_the_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
