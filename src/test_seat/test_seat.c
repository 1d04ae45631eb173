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

/* One entry process, as far as seats go. */
typedef struct {
	uint64_t id;
	bool started;
	bool dead;
	bool paused;
	bool cut_from_log;
	int32_t group; /* processes of one group reach each other */
	size_t read; /* records of the log that it has applied */
	wwh_seat_table_t table;
	wwh_seat_lease_t lease;
	uint64_t given_up; /* taken out of use before RELEASE was said */
	int64_t acked_seen_ms[NODES + 1]; /* when it saw all acks about it */
} node_t;

typedef struct {
	GRand *random;
	GArray *log; /* wwh_seat_record_t */
	node_t nodes[NODES];
	int32_t started;
	bool log_down;
	int64_t now_ms;
	int64_t worked_steps; /* seats in use, summed */
} rig_t;

static bool chance(rig_t *rig, int32_t one_in)
{
	return g_rand_int_range(rig->random, 0, one_in) == 0;
}

static void append(rig_t *rig, wwh_seat_record_type_t type, uint64_t process,
		   uint64_t subject, int32_t seat)
{
	wwh_seat_record_t record = { process, subject, type, seat };

	g_array_append_val(rig->log, record);
}

static void read_log(rig_t *rig, node_t *node)
{
	for (; node->read < rig->log->len; node->read++) {
		wwh_seat_record_t record =
			g_array_index(rig->log, wwh_seat_record_t, node->read);

		wwh_seat_table_apply(&node->table, &record);
	}
	node->given_up &= wwh_seat_held(&node->table, node->id);
	for (int32_t i = 0; i < node->table.member_count; i++) {
		const wwh_seat_member_t *member = &node->table.members[i];

		if (member->process == node->id && !member->evicted)
			wwh_seat_lease_renew_by_log(&node->lease, rig->now_ms);
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
	return wwh_seat_held(&node->table, node->id) & ~node->given_up;
}

/* Asks the others to renew the lease; those it can reach answer. */
static void heartbeat(rig_t *rig, node_t *node)
{
	for (int32_t i = 0; i < rig->started; i++) {
		node_t *other = &rig->nodes[i];
		wwh_seat_vote_t vote;
		bool evicted = false;

		if (other == node || other->dead || other->paused ||
		    other->group != node->group || chance(rig, 5))
			continue;
		if (!is_member(other, node->id, &evicted) || evicted ||
		    rig->now_ms >= other->lease.until_ms)
			continue;
		vote.member = other->id;
		vote.seats = in_use(other);
		vote.sent_ms = rig->now_ms;
		wwh_seat_lease_renew_by_vote(&node->lease, &node->table,
					     in_use(node), &vote);
	}
}

/* Says on the log what it has to say, after reading all of it. */
static void speak(rig_t *rig, node_t *node)
{
	wwh_seat_record_t plan;
	bool evicted = false;

	if (!is_member(node, node->id, &evicted)) {
		if (node->started)
			append(rig, WWH_SEAT_JOIN, node->id, 0, 0);
		node->started = false;
		return;
	}
	if (evicted)
		return;
	for (int32_t i = 0; i < node->table.member_count; i++) {
		const wwh_seat_member_t *member = &node->table.members[i];
		const node_t *other = &rig->nodes[member->process - 1];
		int64_t *seen_ms = &node->acked_seen_ms[member->process];

		if (!member->evicted) {
			/* Sometimes one that is well is taken for gone. */
			if (other->dead && chance(rig, 200))
				append(rig, WWH_SEAT_GONE, node->id,
				       member->process, 0);
			if ((other->dead && chance(rig, 20)) ||
			    (other->cut_from_log && chance(rig, 200)) ||
			    chance(rig, 4000))
				append(rig, WWH_SEAT_EVICT, node->id,
				       member->process, 0);
			continue;
		}
		if (chance(rig, 4))
			append(rig, WWH_SEAT_ACK, node->id, member->process, 0);
		if (!wwh_seat_all_acked(&node->table, member->process))
			continue;
		if (*seen_ms == 0)
			*seen_ms = rig->now_ms;
		if (rig->now_ms - *seen_ms >= WWH_SEAT_FREE_AFTER_MS)
			append(rig, WWH_SEAT_FREE, node->id, member->process,
			       0);
	}
	if (!wwh_seat_plan(&node->table, node->id, &plan) || !chance(rig, 4))
		return;
	if (plan.type == WWH_SEAT_RELEASE)
		node->given_up |= 1ULL << plan.seat;
	append(rig, plan.type, plan.process, 0, plan.seat);
}

/* No two processes may act on one seat, whatever each of them believes. */
static void check(rig_t *rig)
{
	uint64_t used = 0;

	for (int32_t i = 0; i < rig->started; i++) {
		const node_t *node = &rig->nodes[i];
		uint64_t held;

		if (node->dead || node->paused ||
		    rig->now_ms >= node->lease.until_ms)
			continue;
		held = in_use(node);
		assert_int_equal(used & held, 0);
		used |= held;
	}
	rig->worked_steps += __builtin_popcountll(used);
}

/* Switches on sometimes, off three times as often. */
static bool toggle(rig_t *rig, bool on)
{
	return !on && chance(rig, 3);
}

static void disturb(rig_t *rig)
{
	node_t *node;

	if (chance(rig, 500))
		rig->log_down = toggle(rig, rig->log_down);
	if (rig->started == 0)
		return;
	node = &rig->nodes[g_rand_int_range(rig->random, 0, rig->started)];
	if (chance(rig, 50))
		node->paused = toggle(rig, node->paused);
	if (chance(rig, 50))
		node->cut_from_log = toggle(rig, node->cut_from_log);
	if (chance(rig, 50))
		node->group = toggle(rig, node->group != 0);
	if (chance(rig, 2000))
		node->dead = true;
}

static int32_t alive(const rig_t *rig)
{
	int32_t count = 0;

	for (int32_t i = 0; i < rig->started; i++)
		count += !rig->nodes[i].dead;
	return count;
}

static void run(rig_t *rig)
{
	for (int32_t step = 0; step < ROUND_STEPS; step++) {
		rig->now_ms += STEP_MS;
		if (rig->started < NODES && alive(rig) < AT_ONCE) {
			node_t *node = &rig->nodes[rig->started];

			rig->started++;
			node->id = (uint64_t)rig->started;
			node->started = true;
			wwh_seat_table_init(&node->table, SEATS);
		}
		disturb(rig);
		for (int32_t i = 0; i < rig->started; i++) {
			node_t *node = &rig->nodes[i];

			if (node->dead || node->paused)
				continue;
			heartbeat(rig, node);
			if (rig->log_down || node->cut_from_log)
				continue;
			read_log(rig, node);
			speak(rig, node);
		}
		check(rig);
	}
}

/*
 * Processes die, pause, wake, are cut off from the log or from each other,
 * and are evicted while they are well. At no time do two of them act on one
 * seat. In the mean most seats are in use, so it is not safe by idleness.
 */
static void no_seat_is_ever_used_twice(void **unused)
{
	int64_t worked_steps = 0;

	(void)unused;
	for (guint32 seed = 1; seed <= ROUNDS; seed++) {
		rig_t *rig = g_new0(rig_t, 1);

		rig->random = g_rand_new_with_seed(seed);
		rig->log = g_array_new(FALSE, TRUE, sizeof(wwh_seat_record_t));
		run(rig);
		worked_steps += rig->worked_steps;
		g_array_free(rig->log, TRUE);
		g_rand_free(rig->random);
		g_free(rig);
	}
	assert_true(worked_steps > (int64_t)3 * ROUNDS * ROUND_STEPS);
}

static bool say(wwh_seat_table_t *table, wwh_seat_record_type_t type,
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

		say(&table, WWH_SEAT_JOIN, process, 0, 0);
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

static void an_evicted_one_has_no_say_and_no_seat(void **unused)
{
	wwh_seat_table_t table;

	(void)unused;
	wwh_seat_table_init(&table, SEATS);
	for (uint64_t i = 1; i <= 3; i++)
		assert_true(say(&table, WWH_SEAT_JOIN, i, 0, 0));
	assert_true(say(&table, WWH_SEAT_CLAIM, 1, 0, 4));
	assert_false(say(&table, WWH_SEAT_CLAIM, 2, 0, 4));
	assert_true(say(&table, WWH_SEAT_EVICT, 2, 1, 0));
	assert_int_equal(wwh_seat_held(&table, 1), 0);
	assert_false(say(&table, WWH_SEAT_CLAIM, 1, 0, 5));
	assert_false(say(&table, WWH_SEAT_EVICT, 1, 2, 0));
	assert_false(say(&table, WWH_SEAT_CLAIM, 2, 0, 4));
	assert_true(say(&table, WWH_SEAT_ACK, 2, 1, 0));
	assert_false(say(&table, WWH_SEAT_FREE, 2, 1, 0));
	assert_true(say(&table, WWH_SEAT_ACK, 3, 1, 0));
	assert_true(say(&table, WWH_SEAT_FREE, 2, 1, 0));
	assert_true(say(&table, WWH_SEAT_CLAIM, 3, 0, 4));
}

/* With the log down, a majority keeps its leases; a minority stops. */
/*
 * A caller sees a minion that is slow because it serves ten requests at once.
 * Process 1 has lent slots to 2 and is killed; its successor 3 says that it is
 * gone and claims its seats. 2 has to learn that 1 has departed, or it would
 * use what it borrowed beside 3.
 */
static void who_is_gone_has_departed(void **unused)
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
		say(&table, WWH_SEAT_JOIN, i, 0, 0);
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
		cmocka_unit_test(an_evicted_one_has_no_say_and_no_seat),
		cmocka_unit_test(who_is_gone_has_departed),
		cmocka_unit_test(a_majority_keeps_the_lease_without_the_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
