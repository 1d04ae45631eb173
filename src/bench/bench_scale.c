#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#include "../test_host_duties/duties_fixture.h"

/*
 * What a holder's work costs as the fleet grows: the real scheduler and host
 * duties on a virtual clock, with upstreams and hosts that answer at once.
 *
 * Prints a row a size, and below the rows the exponent of growth of each column,
 * as a power of the number of upstreams between the first size and the last one.
 * The row of the target has 232 pools. No argument.
 *
 *	pass_us	   a pass of the scheduler, no job
 *	duties_us  a run of the host duties, no surplus host
 *	first_ms   the run in which all hosts but those needed become surplus
 *	release_us a run while surplus hosts are released to the standby pool
 *	list_ms	   a list of all hosts
 *	announce_us an upstream is announced for the first time
 *	poll_us	   an answer to a poll, without tasks
 *	restore_ms a new holder restores the records of all upstreams
 *	settle_ms  the new holder's passes until all upstreams have answered
 *	polls_s	   polls a second at rest
 *	kb	   memory an upstream and its host
 */

#define RUNS 50
#define PASS_MS 20
#define REST_MS 6000
#define MS_PER_S 1000
#define NS_PER_S 1000000000.0
#define NS_PER_US 1000.0
#define NS_PER_MS 1000000.0
#define BYTES_PER_KB 1024.0
#define STANDBY_POOL "standby"
#define HOST_NAME_BYTES 16

typedef enum {
	COLUMN_PASS = 0,
	COLUMN_DUTIES,
	COLUMN_FIRST,
	COLUMN_RELEASE,
	COLUMN_LIST,
	COLUMN_ANNOUNCE,
	COLUMN_POLL,
	COLUMN_RESTORE,
	COLUMN_SETTLE,
	COLUMN_POLLS,
	COLUMN_MEMORY,
	COLUMN_COUNT
} column_t;

/* Names of column_t, in the same order. */
static const char *const column_names[COLUMN_COUNT] = {
	"pass_us",   "duties_us",   "first_ms", "release_us",
	"list_ms",   "announce_us", "poll_us",	"restore_ms",
	"settle_ms", "polls_s",	    "kb",
};

typedef struct {
	int32_t upstreams;
	int32_t pools;
} size_row_t;

static const size_row_t sizes[] = {
	{ 600, 5 }, { 3000, 5 }, { 6000, 5 }, { 12000, 5 }, { 5100, 232 },
};

/* Rows that differ in size alone. */
#define SERIES_ROWS 4

typedef struct {
	duties_fixture_t *duties;
	const size_row_t *size;
	double values[COLUMN_COUNT];
} world_t;

static double now_ns(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void pool_name(const world_t *world, int32_t index, char *name)
{
	snprintf(name, HOST_NAME_BYTES, "pool%d", index % world->size->pools);
}

static void announce(world_t *world, int32_t index)
{
	char *labels[] = { "a", "r1-1", NULL };
	char id[HOST_NAME_BYTES];
	char endpoint[32];
	char pool[HOST_NAME_BYTES];
	char rack[HOST_NAME_BYTES];
	wwh_upstream_info_t info = {
		.id = id,
		.endpoint = endpoint,
		.pool = pool,
		.zone = "zone-a",
		.rack = rack,
		.labels = labels,
		.size = { 32000, 131072, 0 },
	};

	snprintf(id, sizeof(id), "u%d", index);
	snprintf(endpoint, sizeof(endpoint), "10.%d.%d.1:1", index / 200,
		 index % 200);
	snprintf(rack, sizeof(rack), "rack%d", index / 20);
	pool_name(world, index, pool);
	wwh_scheduler_upstream_announced(world->duties->sched->scheduler, &info,
					 world->duties->sched->now_ms);
}

static void run_scheduler(world_t *world, int64_t forward_ms)
{
	sched_fixture_t *sched = world->duties->sched;

	sched->now_ms += forward_ms;
	wwh_scheduler_run(sched->scheduler, sched->now_ms,
			  SCHED_FIXTURE_WALL_MS);
}

/* Answers the polls that have waited as long as asked; returns their number. */
static int32_t answer_polls(world_t *world)
{
	sched_fixture_t *sched = world->duties->sched;
	wwh_poll_answer_t answer = { .remote_ms = sched->now_ms + 5000,
				     .ended_complete = true };
	int32_t answered = 0;

	for (guint i = sched->polls->len; i > 0; i--) {
		sched_fixture_poll_t poll = g_array_index(
			sched->polls, sched_fixture_poll_t, i - 1);

		if (sched->now_ms < poll.sent_ms + poll.wait_ms)
			continue;
		wwh_scheduler_handle_poll_answer(sched->scheduler,
						 poll.upstream, &answer,
						 poll.sent_ms, sched->now_ms);
		g_array_remove_index_fast(sched->polls, i - 1);
		answered++;
	}
	return answered;
}

static void settle(world_t *world)
{
	while (wwh_scheduler_counts(world->duties->sched->scheduler).unsettled >
	       0) {
		run_scheduler(world, 1);
		(void)answer_polls(world);
	}
	run_scheduler(world, 1);
	(void)answer_polls(world);
	sched_fixture_make_durable(world->duties->sched);
}

static void list_hosts(world_t *world)
{
	wwh_host_duties_list_begin(world->duties->duties);
	for (int32_t i = 0; i < world->size->upstreams; i++) {
		char name[HOST_NAME_BYTES];
		char upstream[HOST_NAME_BYTES];
		char pool[HOST_NAME_BYTES];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(upstream, sizeof(upstream), "u%d", i);
		pool_name(world, i, pool);
		duties_fixture_list_host(world->duties, name, pool, upstream,
					 WWH_HOST_UP);
	}
	duties_fixture_end_list(world->duties);
}

static void set_pools(world_t *world)
{
	for (int32_t i = 0; i < world->size->pools; i++) {
		char pool[HOST_NAME_BYTES];

		pool_name(world, i, pool);
		wwh_host_duties_set_pool(world->duties->duties, pool, false);
		wwh_scheduler_set_standby(world->duties->sched->scheduler, pool,
					  false);
	}
	wwh_host_duties_set_pool(world->duties->duties, STANDBY_POOL, true);
	wwh_scheduler_set_standby(world->duties->sched->scheduler, STANDBY_POOL,
				  true);
}

static double duties_run_us(world_t *world)
{
	double began_ns = now_ns();

	duties_fixture_run(world->duties, PASS_MS);
	return (now_ns() - began_ns) / NS_PER_US;
}

static void measure_scheduler(world_t *world)
{
	double pass_ns = 0;
	double poll_ns = 0;
	int32_t polls = 0;

	for (int32_t i = 0; i < 2 * REST_MS / PASS_MS; i++) {
		bool settled = i >= REST_MS / PASS_MS;
		double began_ns = now_ns();
		double passed_ns;
		int32_t answered;

		run_scheduler(world, PASS_MS);
		passed_ns = now_ns();
		answered = answer_polls(world);
		pass_ns += settled ? passed_ns - began_ns : 0;
		poll_ns += settled ? now_ns() - passed_ns : 0;
		polls += settled ? answered : 0;
	}
	world->values[COLUMN_PASS] = pass_ns * PASS_MS / REST_MS / NS_PER_US;
	world->values[COLUMN_POLL] = poll_ns / polls / NS_PER_US;
	world->values[COLUMN_POLLS] = (double)polls * MS_PER_S / REST_MS;
}

/* All hosts are idle, so the first run selects nearly all of them to leave. */
static void measure_duties(world_t *world)
{
	double began_ns = now_ns();
	double sum_us = 0;

	list_hosts(world);
	world->values[COLUMN_LIST] = (now_ns() - began_ns) / NS_PER_MS;
	world->values[COLUMN_FIRST] =
		duties_run_us(world) * NS_PER_US / NS_PER_MS;
	for (int32_t i = 0; i < RUNS; i++)
		sum_us += duties_run_us(world);
	world->values[COLUMN_DUTIES] = sum_us / RUNS;
	world->duties->sched->now_ms += WWH_STANDBY_DELAY_MS;
	sum_us = 0;
	for (int32_t i = 0; i < RUNS; i++) {
		guint first = world->duties->moves->len;

		list_hosts(world);
		sum_us += duties_run_us(world);
		for (guint k = first; k < world->duties->moves->len; k++)
			duties_fixture_answer_move(world->duties, k);
	}
	world->values[COLUMN_RELEASE] = sum_us / RUNS;
}

static void measure_takeover(world_t *world)
{
	double began_ns = now_ns();

	sched_fixture_take_over(world->duties->sched);
	world->values[COLUMN_RESTORE] = (now_ns() - began_ns) / NS_PER_MS;
	began_ns = now_ns();
	settle(world);
	world->values[COLUMN_SETTLE] = (now_ns() - began_ns) / NS_PER_MS;
	duties_fixture_take_over(world->duties);
}

static void run_size(world_t *world)
{
	double heap = heap_bytes();
	double began_ns;

	world->duties = duties_fixture_new(0);
	set_pools(world);
	began_ns = now_ns();
	for (int32_t i = 0; i < world->size->upstreams; i++)
		announce(world, i);
	world->values[COLUMN_ANNOUNCE] =
		(now_ns() - began_ns) / world->size->upstreams / NS_PER_US;
	settle(world);
	list_hosts(world);
	world->values[COLUMN_MEMORY] =
		(heap_bytes() - heap) / BYTES_PER_KB / world->size->upstreams;
	measure_scheduler(world);
	measure_duties(world);
	measure_takeover(world);
	duties_fixture_delete(world->duties);
}

static void print_exponents(const world_t *first, const world_t *last)
{
	double growth = log((double)last->size->upstreams /
			    (double)first->size->upstreams);

	printf("%9s %5s", "exponent", "");
	for (int32_t i = 0; i < COLUMN_COUNT; i++)
		printf(" %11.2f",
		       log(last->values[i] / first->values[i]) / growth);
	printf("\n");
}

int main(void)
{
	world_t worlds[G_N_ELEMENTS(sizes)] = { 0 };

	printf("%9s %5s", "upstreams", "pools");
	for (int32_t i = 0; i < COLUMN_COUNT; i++)
		printf(" %11s", column_names[i]);
	printf("\n");
	for (size_t row = 0; row < G_N_ELEMENTS(sizes); row++) {
		world_t *world = &worlds[row];

		world->size = &sizes[row];
		run_size(world);
		printf("%9d %5d", world->size->upstreams, world->size->pools);
		for (int32_t i = 0; i < COLUMN_COUNT; i++)
			printf(" %11.1f", world->values[i]);
		printf("\n");
		fflush(stdout);
	}
	print_exponents(&worlds[0], &worlds[SERIES_ROWS - 1]);
	return 0;
}
