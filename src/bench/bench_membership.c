/*
 * Traffic and times of gossip at 3, 8, 64 and 136 processes, on a virtual
 * clock. Bytes are those in and out of one process with 116 bytes a message
 * for the frame's header and two TCP/IP packets.
 */

#include <stdio.h>

#include "include/gossip_sim.h"

#define LIMIT_MS 120000
#define TRIALS 10
#define CHANGE_EVERY_MS 26000 /* 3,300 a day */

typedef struct {
	int32_t count;
	int32_t regions;
	int32_t zones;
} size_row_t;

static void clear_bytes(sim_t *sim)
{
	for (int32_t i = 0; i < sim->count; i++)
		sim->nodes[i].bytes = 0;
}

static void print_bytes(const sim_t *sim, const char *what, int64_t ms)
{
	int64_t sum = 0;
	int64_t most = 0;

	for (int32_t i = 0; i < sim->count; i++) {
		sum += sim->nodes[i].bytes;
		most = MAX(most, sim->nodes[i].bytes);
	}
	printf("  %s: mean %" G_GINT64_FORMAT " B/s, most %" G_GINT64_FORMAT
	       " B/s a process\n",
	       what, sum / sim->count * 1000 / ms, most * 1000 / ms);
}

/* One process learns of the version; the others have it a second later. */
static int64_t publish(sim_t *sim, int64_t version, int64_t *all_reported_ms)
{
	int64_t known_ms;

	sim->nodes[version % sim->count].summary.config_version = version;
	known_ms = sim_until(sim, sim_knows_newest, version, LIMIT_MS);
	for (int32_t i = 0; i < sim->count; i++)
		sim->nodes[i].summary.config_version = version;
	*all_reported_ms =
		sim_until(sim, sim_knows_all_versions, version, LIMIT_MS);
	return known_ms;
}

static void measure(const size_row_t *row)
{
	sim_t *sim = sim_new(row->count, row->regions, row->zones, 11);
	int64_t known_most = 0;
	int64_t reported_most = 0;

	printf("%d processes, %d regions, %d zones\n", (int)row->count,
	       (int)row->regions, (int)row->zones);
	printf("  all know all after %" G_GINT64_FORMAT " ms\n",
	       sim_until(sim, sim_knows_alive, row->count - 1, LIMIT_MS));
	sim_run(sim, 60000);
	clear_bytes(sim);
	sim_run(sim, 60000);
	print_bytes(sim, "idle", 60000);
	clear_bytes(sim);
	for (int64_t v = 1; v <= TRIALS; v++) {
		int64_t start_ms = sim->now_ms;
		int64_t reported_ms;
		int64_t known_ms = publish(sim, v, &reported_ms);

		known_most = MAX(known_most, known_ms);
		reported_most = MAX(reported_most, reported_ms);
		sim_run(sim, CHANGE_EVERY_MS - (sim->now_ms - start_ms));
	}
	print_bytes(sim, "a change every 26 s", TRIALS * CHANGE_EVERY_MS);
	printf("  newest version known everywhere: at most %" G_GINT64_FORMAT
	       " ms; every version of every process: at most "
	       "%" G_GINT64_FORMAT " ms (%d changes)\n",
	       known_most, reported_most, TRIALS);
	sim->nodes[row->count - 1].down = true;
	printf("  a killed process is dead everywhere after %" G_GINT64_FORMAT
	       " ms\n",
	       sim_until(sim, sim_holds_dead, row->count - 1, LIMIT_MS));
	sim_delete(sim);
}

int main(void)
{
	static const size_row_t rows[] = {
		{ 3, 1, 3 }, { 8, 1, 4 }, { 64, 8, 16 }, { 136, 8, 17 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		measure(&rows[i]);
	return 0;
}
