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

static sim_t *converged_sim(int32_t count, int32_t regions, int32_t zones)
{
	sim_t *sim = sim_new(count, regions, zones, 3);

	assert_true(sim_until(sim, sim_knows_alive, count - 1, LIMIT_MS) >= 0);
	sim_run(sim, 5000);
	return sim;
}

static void members_are_found_by_seeds(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	assert_int_equal(count_dead(sim), 0);
	sim_delete(sim);
}

static void pass_list(sim_node_t *node, int32_t gone_from)
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

/* Passes a list of which only the row of the node itself is readable. */
static void pass_list_of_self(sim_node_t *node, bool is_complete)
{
	wwh_host_t host = { .id = node->id,
			    .kind = WWH_HOST_ENTRY,
			    .address = node->address,
			    .zone = node->zone_name };

	wwh_membership_list_begin(node->membership);
	wwh_membership_list_host(node->membership, &host, node->sim->now_ms);
	wwh_membership_list_end(node->membership, is_complete,
				node->sim->now_ms);
}

static void members_are_found_by_the_list(void **unused)
{
	sim_t *sim = sim_new(4, 1, 2, 3);
	const char *const none[] = { NULL };

	(void)unused;
	for (int32_t i = 0; i < sim->count; i++) {
		wwh_membership_delete(sim->nodes[i].membership);
		sim_node_start(&sim->nodes[i], none, SIM_INCARNATION);
		pass_list(&sim->nodes[i], sim->count);
	}
	assert_true(sim_until(sim, sim_knows_alive, 3, LIMIT_MS) >= 0);
	sim_delete(sim);
}

static void killed_process_is_dead_and_rejoins(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);
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

static bool cuts_links_to_2(const sim_node_t *from, const sim_node_t *to)
{
	(void)from;
	return to->index == 2;
}

static bool cuts_link_2_to_3(const sim_node_t *from, const sim_node_t *to)
{
	return from->index == 2 && to->index == 3;
}

/* Returns true when the node holds no process but except as dead. */
static bool holds_no_other_dead(const sim_node_t *node, int64_t except)
{
	for (int32_t i = 0; i < node->sim->count; i++)
		if (i != except && i != node->index &&
		    sim_status(node, i) == WWH_MEMBER_DEAD)
			return false;
	return true;
}

/*
 * Process 2 can send but receives nothing, so all of its probes fail. It must
 * not make others dead: it is a single observer, and it detects that it is
 * isolated. The others may hold it as dead, since it answers none of them.
 */
static void process_that_receives_nothing_makes_nobody_dead(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	sim->cut = cuts_links_to_2;
	for (int i = 0; i < 120; i++) {
		sim_run(sim, 1000);
		assert_true(sim_all(sim, holds_no_other_dead, 2));
	}
	assert_true(wwh_membership_is_isolated(sim->nodes[2].membership,
					       sim->now_ms));
	/* Members whose probes failed before it detected the isolation. */
	assert_in_range(wwh_membership_count_status(sim->nodes[2].membership,
						    WWH_MEMBER_SUSPECT),
			0, 3);
	sim->cut = NULL;
	assert_true(sim_until(sim, sim_knows_alive, 7, LIMIT_MS) >= 0);
	sim_delete(sim);
}

/*
 * Process 2 can't send to process 3, but its helpers reach process 3, so all
 * members stay alive.
 */
static void one_way_cut_of_a_pair_keeps_all_alive(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	sim->cut = cuts_link_2_to_3;
	for (int i = 0; i < 120; i++) {
		sim_run(sim, 1000);
		assert_true(sim_all(sim, sim_knows_alive, 7));
	}
	sim_delete(sim);
}

/*
 * A process is paused for 30 s, and the others hold it as dead. When it
 * continues, all its probes have timed out, but due to its own pause: it must
 * hold all others as alive, refute its death and become alive again.
 */
static void paused_process_makes_nobody_dead(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);
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

/* Process 1 reports to all others that it failed to reach each of them. */
static void send_false_observations(sim_t *sim)
{
	const wwh_membership_t *view = sim->nodes[0].membership;
	GByteArray *bytes;
	wwh_gossip_t message;

	wwh_gossip_init(&message, WWH_GOSSIP_UPDATE);
	message.from = sim->nodes[1].id;
	for (guint i = 0; i < view->rows->len; i++) {
		const wwh_member_row_t *row = view->rows->pdata[i];
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
 * A faulty process reports every second that it can't reach anybody. The
 * others must not even become suspect: one observer isn't enough, and each
 * member refutes.
 */
static void one_observer_makes_nobody_suspect(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	for (int i = 0; i < 60; i++) {
		send_false_observations(sim);
		sim_run(sim, 1000);
		assert_true(sim_all(sim, sim_knows_alive, 7));
	}
	sim_delete(sim);
}

static bool cuts_off_region_0(const sim_node_t *from, const sim_node_t *to)
{
	return (from->region == 0) != (to->region == 0);
}

static bool region_0_knows_newest(const sim_node_t *node, int64_t version)
{
	return node->region != 0 || sim_knows_newest(node, version);
}

static bool other_regions_know_newest(const sim_node_t *node, int64_t version)
{
	return node->region == 0 || sim_knows_newest(node, version);
}

/*
 * A region is cut off for an hour. Each side keeps its own members alive,
 * detects its own dead ones and spreads its updates. Neither side holds the
 * other as dead. Only updates from the other side are delayed: a configuration
 * version that was published there arrives within seconds after the cut.
 */
static void region_cut_off_for_an_hour_is_not_dead(void **unused)
{
	sim_t *sim = converged_sim(12, 3, 6);
	int64_t refutations = 0;

	(void)unused;
	sim->cut = cuts_off_region_0;
	sim_run(sim, 30000);
	sim->nodes[1].summary.config_version = 5;
	assert_true(sim_until(sim, other_regions_know_newest, 5, 4000) >= 0);
	sim_run(sim, HOUR_MS);
	assert_false(sim_all(sim, region_0_knows_newest, 5));
	assert_int_equal(count_dead(sim), 0);
	assert_int_equal(sim_status(&sim->nodes[0], 3), WWH_MEMBER_ALIVE);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	sim->nodes[9].down = true;
	sim_run(sim, 20000);
	assert_int_equal(sim_status(&sim->nodes[0], 9), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[1], 9), WWH_MEMBER_SUSPECT);
	sim->cut = NULL;
	print_message("newest version after the cut: %d ms\n",
		      (int)sim_until(sim, region_0_knows_newest, 5, LIMIT_MS));
	assert_true(sim_all(sim, region_0_knows_newest, 5));
	print_message("all alive after the cut: %d ms more\n",
		      (int)sim_until(sim, sim_knows_alive, 10, LIMIT_MS));
	assert_true(sim_all(sim, sim_knows_alive, 10));
	for (int32_t i = 0; i < sim->count; i++)
		refutations += wwh_membership_stats(sim->nodes[i].membership)
				       ->refutations;
	assert_true(refutations > 0);
	sim_delete(sim);
}

/*
 * All processes of a region fail. None is left there to report the others, so
 * the members become dead by the platform's list.
 */
static void failed_region_is_dead_by_the_list(void **unused)
{
	sim_t *sim = converged_sim(6, 2, 2);

	(void)unused;
	for (int32_t i = 1; i < 6; i += 2)
		sim->nodes[i].down = true;
	sim_run(sim, 60000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	pass_list(&sim->nodes[0], 1);
	/* A member that answers stays alive, though the list names it as gone. */
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim_delete(sim);
}

/*
 * A region is unreachable, and only the first row of a list is readable. The
 * absent members may be in the unreadable rows, so they must not count as
 * gone. With a complete list of the same row they do.
 */
static void incomplete_list_makes_nobody_dead(void **unused)
{
	sim_t *sim = converged_sim(6, 2, 2);

	(void)unused;
	pass_list(&sim->nodes[0], sim->count);
	for (int32_t i = 1; i < 6; i += 2)
		sim->nodes[i].down = true;
	sim_run(sim, 60000);
	pass_list_of_self(&sim->nodes[0], false);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_SUSPECT);
	pass_list_of_self(&sim->nodes[0], true);
	sim_run(sim, 10000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	sim_delete(sim);
}

/*
 * Two regions are cut off from each other, and each gets a list that names the
 * other as gone, so each holds the other as dead. When the cut ends, they must
 * find each other although the list is still wrong.
 */
static void dead_members_rejoin_after_a_cut(void **unused)
{
	sim_t *sim = sim_new(6, 2, 2, 3);
	const char *const none[] = { NULL };

	(void)unused;
	for (int32_t i = 0; i < sim->count; i++) {
		wwh_membership_delete(sim->nodes[i].membership);
		sim_node_start(&sim->nodes[i], none, SIM_INCARNATION);
		pass_list(&sim->nodes[i], sim->count);
	}
	assert_true(sim_until(sim, sim_knows_alive, 5, LIMIT_MS) >= 0);
	sim->cut = cuts_off_region_0;
	for (int32_t i = 0; i < sim->count; i++)
		pass_list(&sim->nodes[i], 0);
	sim_run(sim, 60000);
	assert_int_equal(sim_status(&sim->nodes[0], 1), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[1], 0), WWH_MEMBER_DEAD);
	assert_int_equal(sim_status(&sim->nodes[0], 2), WWH_MEMBER_ALIVE);
	sim->cut = NULL;
	assert_true(sim_until(sim, sim_knows_alive, 5, LIMIT_MS) >= 0);
	sim_delete(sim);
}

static void announced_leave_reaches_all(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	wwh_membership_leave(sim->nodes[6].membership, sim->now_ms);
	sim_run(sim, 100);
	sim->nodes[6].down = true;
	assert_true(sim_until(sim, sim_holds_left, 6, 10000) >= 0);
	sim_delete(sim);
}

static bool knows_minion_is_leaving(const sim_node_t *node, int64_t unused)
{
	(void)unused;
	return wwh_leaving_contains(node->leaving, "minion-1",
				    node->sim->now_ms);
}

/*
 * The first process that is refused by a leaving minion reports it, so the
 * others know before the list is updated.
 */
static void report_of_a_leaving_minion_reaches_all(void **unused)
{
	sim_t *sim = converged_sim(8, 1, 4);

	(void)unused;
	wwh_leaving_record_answer(sim->nodes[3].leaving, "minion-1",
				  sim->now_ms);
	assert_true(sim_until(sim, knows_minion_is_leaving, 0, 5000) >= 0);
	sim_delete(sim);
}

static void malformed_messages_are_rejected(void **unused)
{
	static const uint8_t bytes[] = { 0x93, 1, 2, 3 };
	sim_t *sim = sim_new(1, 1, 1, 3);

	(void)unused;
	assert_int_equal(wwh_membership_receive(sim->nodes[0].membership, "x",
						bytes, sizeof(bytes),
						sim->now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(
		wwh_membership_stats(sim->nodes[0].membership)->rejected, 1);
	sim_delete(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(members_are_found_by_seeds),
		cmocka_unit_test(members_are_found_by_the_list),
		cmocka_unit_test(killed_process_is_dead_and_rejoins),
		cmocka_unit_test(
			process_that_receives_nothing_makes_nobody_dead),
		cmocka_unit_test(one_way_cut_of_a_pair_keeps_all_alive),
		cmocka_unit_test(paused_process_makes_nobody_dead),
		cmocka_unit_test(one_observer_makes_nobody_suspect),
		cmocka_unit_test(region_cut_off_for_an_hour_is_not_dead),
		cmocka_unit_test(failed_region_is_dead_by_the_list),
		cmocka_unit_test(incomplete_list_makes_nobody_dead),
		cmocka_unit_test(dead_members_rejoin_after_a_cut),
		cmocka_unit_test(announced_leave_reaches_all),
		cmocka_unit_test(report_of_a_leaving_minion_reaches_all),
		cmocka_unit_test(malformed_messages_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
