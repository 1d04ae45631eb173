#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "../bench/include/gossip_sim.h"
#include "private/membership_private.h"

#define LIMIT_MS 60000
#define HOUR_MS ((int64_t)3600 * 1000)

static int32_t count_dead(const sim_t *sim)
{
	int32_t dead = 0;

	for (int32_t i = 0; i < sim->count; i++)
		if (!sim->nodes[i].down)
			dead += wwh_membership_count_status(
				sim->nodes[i].membership, WWH_MEMBER_DEAD);
	return dead;
}

static sim_t *settled_sim(int32_t count, int32_t regions, int32_t zones)
{
	sim_t *sim = sim_new(count, regions, zones, 3);

	assert_true(sim_until(sim, sim_knows_alive, count - 1, LIMIT_MS) >= 0);
	sim_run(sim, 5000);
	return sim;
}

static void seeds_are_enough_to_find_everybody(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	assert_int_equal(count_dead(sim), 0);
	sim_delete(sim);
}

static void show_list(sim_node_t *node, int32_t gone_from)
{
	wwh_membership_list_begin(node->membership);
	for (int32_t i = 0; i < node->sim->count; i++) {
		const sim_node_t *other = &node->sim->nodes[i];
		wwh_host_t host = {
			.id = other->id,
			.kind = WWH_HOST_ENTRY,
			.state = i >= gone_from ? WWH_HOST_GONE : WWH_HOST_LIVE,
			.address = other->address,
			.zone = other->zone_name,
		};

		wwh_membership_list_host(node->membership, &host,
					 node->sim->now_ms);
	}
	wwh_membership_list_end(node->membership, true, node->sim->now_ms);
}

/* A list that has but the node itself, as far as it can be read. */
static void show_first(sim_node_t *node, bool whole)
{
	wwh_host_t host = { .id = node->id,
			    .kind = WWH_HOST_ENTRY,
			    .address = node->address,
			    .zone = node->zone_name };

	wwh_membership_list_begin(node->membership);
	wwh_membership_list_host(node->membership, &host, node->sim->now_ms);
	wwh_membership_list_end(node->membership, whole, node->sim->now_ms);
}

static void list_is_enough_to_find_everybody(void **unused)
{
	sim_t *sim = sim_new(4, 1, 2, 3);
	const char *const none[] = { NULL };

	(void)unused;
	for (int32_t i = 0; i < sim->count; i++) {
		wwh_membership_delete(sim->nodes[i].membership);
		sim_node_start(&sim->nodes[i], none, SIM_INCARNATION);
		show_list(&sim->nodes[i], sim->count);
	}
	assert_true(sim_until(sim, sim_knows_alive, 3, LIMIT_MS) >= 0);
	sim_delete(sim);
}

static void killed_process_is_dead_and_comes_back(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);
	const char *const seeds[] = { sim->nodes[0].address, NULL };

	(void)unused;
	sim->nodes[7].down = true;
	assert_true(sim_until(sim, sim_holds_dead, 7, LIMIT_MS) >= 0);
	wwh_membership_delete(sim->nodes[7].membership);
	sim_node_start(&sim->nodes[7], seeds, SIM_INCARNATION + 1);
	sim->nodes[7].down = false;
	assert_true(sim_until(sim, sim_holds_alive, 7, LIMIT_MS) >= 0);
	sim_delete(sim);
}

static bool into_2(const sim_node_t *from, const sim_node_t *to)
{
	(void)from;
	return to->index == 2;
}

static bool between_2_and_3(const sim_node_t *from, const sim_node_t *to)
{
	return from->index == 2 && to->index == 3;
}

/* Nobody holds any other process but this one for dead. */
static bool only_it_is_dead(const sim_node_t *node, int64_t it)
{
	for (int32_t i = 0; i < node->sim->count; i++)
		if (i != it && i != node->index &&
		    sim_status(node, i) == WWH_MEMBER_DEAD)
			return false;
	return true;
}

/*
 * Process 2 can send but hears nobody, so none of its probes is answered. It
 * must not take others out: it is one observer, and it notices that it hears
 * from nobody. The others may take it out, since it answers none of them.
 */
static void process_that_hears_nobody_removes_nobody(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	sim->cut = into_2;
	for (int i = 0; i < 120; i++) {
		sim_run(sim, 1000);
		assert_true(sim_all(sim, only_it_is_dead, 2));
	}
	assert_true(wwh_membership_is_isolated(sim->nodes[2].membership,
					       sim->now_ms));
	/* Those whose probes ended before it noticed. */
	assert_in_range(wwh_membership_count_status(sim->nodes[2].membership,
						    WWH_MEMBER_SUSPECT),
			0, 3);
	sim->cut = NULL;
	assert_true(sim_until(sim, sim_knows_alive, 7, LIMIT_MS) >= 0);
	sim_delete(sim);
}

/* One pair can't talk, in one direction: helpers reach it, nobody is dead. */
static void one_way_cut_of_a_pair_removes_nobody(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	sim->cut = between_2_and_3;
	for (int i = 0; i < 120; i++) {
		sim_run(sim, 1000);
		assert_true(sim_all(sim, sim_knows_alive, 7));
	}
	sim_delete(sim);
}

/*
 * A process stops for half a minute and goes on. Meanwhile the others may
 * hold it for dead. It finds all its probes unanswered, but it was the one
 * that was away: it takes nobody for dead, objects, and is alive again.
 */
static void paused_process_takes_nobody_for_dead(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);
	wwh_membership_t *membership = sim->nodes[4].membership;

	(void)unused;
	sim->nodes[4].paused = true;
	sim_run(sim, 30000);
	assert_true(sim_status(&sim->nodes[0], 4) == WWH_MEMBER_DEAD);
	sim->nodes[4].paused = false;
	for (int i = 0; i < 20; i++) {
		sim_run(sim, 1000);
		assert_int_equal(wwh_membership_count_status(membership,
							     WWH_MEMBER_ALIVE),
				 7);
	}
	assert_true(sim_all(sim, sim_holds_alive, 4));
	assert_true(wwh_membership_stats(membership)->pauses > 0);
	sim_delete(sim);
}

/* Process 1 says of all others, to everybody, that it can't reach them. */
static void slander(sim_t *sim)
{
	const wwh_membership_t *view = sim->nodes[0].membership;
	GByteArray *bytes;
	wwh_gossip_t message;

	wwh_gossip_init(&message, WWH_GOSSIP_NEWS);
	message.from = sim->nodes[1].id;
	for (guint i = 0; i < view->rows->len; i++) {
		const wwh_row_t *row = view->rows->pdata[i];
		wwh_observation_t observation = { row->id, row->incarnation,
						  row->refutation,
						  message.from };

		g_array_append_val(message.observations, observation);
	}
	bytes = wwh_gossip_encode(&message);
	for (int32_t i = 0; i < sim->count; i++)
		if (i != 1)
			wwh_membership_receive(
				sim->nodes[i].membership, sim->nodes[1].address,
				bytes->data, bytes->len, sim->now_ms);
	g_byte_array_unref(bytes);
	wwh_gossip_clear(&message);
}

/*
 * A broken process says every second that it can't reach anybody. Nobody is
 * even suspected by the others, and those who are there object.
 */
static void one_observer_decides_nothing(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	for (int i = 0; i < 60; i++) {
		slander(sim);
		sim_run(sim, 1000);
		assert_true(sim_all(sim, sim_knows_alive, 7));
	}
	sim_delete(sim);
}

static bool region_0_alone(const sim_node_t *from, const sim_node_t *to)
{
	return (from->region == 0) != (to->region == 0);
}

static bool in_region_0(const sim_node_t *node, int64_t version)
{
	return node->region != 0 || sim_knows_newest(node, version);
}

static bool outside_of_region_0(const sim_node_t *node, int64_t version)
{
	return node->region == 0 || sim_knows_newest(node, version);
}

/*
 * A region is cut off for an hour. Each side goes on by itself: it keeps its
 * own members alive, finds its own dead, and spreads what it learns. Nobody
 * takes the other side for dead. What waits is news of the other side: a
 * version published there comes when the cut ends, within seconds.
 */
static void region_cut_off_for_an_hour(void **unused)
{
	sim_t *sim = settled_sim(12, 3, 6);
	int64_t refutations = 0;

	(void)unused;
	sim->cut = region_0_alone;
	sim_run(sim, 30000);
	sim->nodes[1].summary.config_version = 5;
	assert_true(sim_until(sim, outside_of_region_0, 5, 4000) >= 0);
	sim_run(sim, HOUR_MS);
	assert_false(sim_all(sim, in_region_0, 5));
	assert_int_equal(count_dead(sim), 0);
	assert_int_equal(sim_status(&sim->nodes[0], 3), WWH_MEMBER_ALIVE);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	sim->nodes[9].down = true;
	sim_run(sim, 20000);
	assert_int_equal(sim_status(&sim->nodes[0], 9), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[1], 9), WWH_MEMBER_SUSPECT);
	sim->cut = NULL;
	print_message("newest version after the cut: %d ms\n",
		      (int)sim_until(sim, in_region_0, 5, LIMIT_MS));
	assert_true(sim_all(sim, in_region_0, 5));
	print_message("all alive after the cut: %d ms more\n",
		      (int)sim_until(sim, sim_knows_alive, 10, LIMIT_MS));
	assert_true(sim_all(sim, sim_knows_alive, 10));
	for (int32_t i = 0; i < sim->count; i++)
		refutations += wwh_membership_stats(sim->nodes[i].membership)
				       ->refutations;
	assert_true(refutations > 0);
	sim_delete(sim);
}

/* A whole region fails: nobody of its own is left to say so, the list does. */
static void list_says_that_a_region_is_gone(void **unused)
{
	sim_t *sim = settled_sim(6, 2, 2);

	(void)unused;
	for (int32_t i = 1; i < 6; i += 2)
		sim->nodes[i].down = true;
	sim_run(sim, 60000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	show_list(&sim->nodes[0], 1);
	/* Those that answer are there, whatever a wrong list says. */
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim_delete(sim);
}

/*
 * A region is out of reach, and a list comes of which only the first row can be
 * read. Who is missing may be in the other rows, so nobody is taken as gone; by
 * a whole list of the same row they are.
 */
static void a_list_with_a_bad_row_removes_nobody(void **unused)
{
	sim_t *sim = settled_sim(6, 2, 2);

	(void)unused;
	show_list(&sim->nodes[0], sim->count);
	for (int32_t i = 1; i < 6; i += 2)
		sim->nodes[i].down = true;
	sim_run(sim, 60000);
	show_first(&sim->nodes[0], false);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	show_first(&sim->nodes[0], true);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	sim_delete(sim);
}

/*
 * Two regions are cut off from each other, and the list says to each that the
 * other is gone. Both hold the other for dead and go on. When the cut ends,
 * they must find each other though the list is still wrong.
 */
static void dead_ones_are_found_again(void **unused)
{
	sim_t *sim = sim_new(6, 2, 2, 3);
	const char *const none[] = { NULL };

	(void)unused;
	for (int32_t i = 0; i < sim->count; i++) {
		wwh_membership_delete(sim->nodes[i].membership);
		sim_node_start(&sim->nodes[i], none, SIM_INCARNATION);
		show_list(&sim->nodes[i], sim->count);
	}
	assert_true(sim_until(sim, sim_knows_alive, 5, LIMIT_MS) >= 0);
	sim->cut = region_0_alone;
	for (int32_t i = 0; i < sim->count; i++)
		show_list(&sim->nodes[i], 0);
	sim_run(sim, 60000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[1], 0), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim->cut = NULL;
	assert_true(sim_until(sim, sim_knows_alive, 5, LIMIT_MS) >= 0);
	sim_delete(sim);
}

static void leaving_process_is_known_at_once(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	wwh_membership_leave(sim->nodes[6].membership, sim->now_ms);
	sim_run(sim, 100);
	sim->nodes[6].down = true;
	assert_true(sim_until(sim, sim_holds_left, 6, 10000) >= 0);
	sim_delete(sim);
}

static bool knows_minion_leaves(const sim_node_t *node, int64_t unused)
{
	(void)unused;
	return wwh_leaving_contains(node->leaving, "minion-1",
				    node->sim->now_ms);
}

/* The first process that is refused tells the others before the list does. */
static void word_of_a_leaving_minion_reaches_all(void **unused)
{
	sim_t *sim = settled_sim(8, 1, 4);

	(void)unused;
	wwh_leaving_record_answer(sim->nodes[3].leaving, "minion-1",
				  sim->now_ms);
	assert_true(sim_until(sim, knows_minion_leaves, 0, 5000) >= 0);
	sim_delete(sim);
}

static void malformed_messages_are_refused(void **unused)
{
	static const uint8_t bytes[] = { 0x93, 1, 2, 3 };
	sim_t *sim = sim_new(1, 1, 1, 3);

	(void)unused;
	assert_int_equal(wwh_membership_receive(sim->nodes[0].membership, "x",
						bytes, sizeof(bytes),
						sim->now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(
		wwh_membership_stats(sim->nodes[0].membership)->refused, 1);
	sim_delete(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(seeds_are_enough_to_find_everybody),
		cmocka_unit_test(list_is_enough_to_find_everybody),
		cmocka_unit_test(killed_process_is_dead_and_comes_back),
		cmocka_unit_test(process_that_hears_nobody_removes_nobody),
		cmocka_unit_test(one_way_cut_of_a_pair_removes_nobody),
		cmocka_unit_test(paused_process_takes_nobody_for_dead),
		cmocka_unit_test(one_observer_decides_nothing),
		cmocka_unit_test(region_cut_off_for_an_hour),
		cmocka_unit_test(list_says_that_a_region_is_gone),
		cmocka_unit_test(a_list_with_a_bad_row_removes_nobody),
		cmocka_unit_test(dead_ones_are_found_again),
		cmocka_unit_test(leaving_process_is_known_at_once),
		cmocka_unit_test(word_of_a_leaving_minion_reaches_all),
		cmocka_unit_test(malformed_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
