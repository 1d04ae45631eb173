/*
 * Minions leave half of the orders unanswered and carry them out late. Callers
 * ask how many accepted jobs of the queue haven't begun.
 */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEAD_MS 4000
#define JOB_EVERY_MS 80
#define LOOK_EVERY_MS 250
#define WORK_MS 800
#define CPU 1800
#define TRAFFIC_MS 44000
#define RUN_MS 56000

/* As in the site file: for 5.5 s; half of the orders, 2 to 12 s late. */
#define LATE_MS 5500
#define LATE_EVERY_MS 11000
#define DELAY_MIN_MS 2000
#define DELAY_MAX_MS 12000

/* visible_ms and 2 s: a job that was accepted longer ago counts. */
#define OLD_MS 5000

typedef struct {
	int32_t process;
	int32_t waiting;
} look_t;

static int32_t looks;
static int32_t answers;
static int32_t most_waiting;

static void update_late_time(void *data)
{
	int64_t since_ms = world_now_ms() - LEAD_MS;

	(void)data;
	world.is_late_time = world.trouble && since_ms >= 0 &&
			     since_ms < TRAFFIC_MS &&
			     since_ms % LATE_EVERY_MS < LATE_MS;
}

static int64_t delay_order(world_minion_t *minion, const char *task,
			   bool starts)
{
	(void)minion;
	(void)task;
	(void)starts;
	if (!world.is_late_time || g_rand_boolean(world.rand))
		return 0;
	return g_rand_int_range(world.rand, DELAY_MIN_MS, DELAY_MAX_MS);
}

static int32_t count_waiting(void)
{
	int64_t now_ms = world_now_ms();
	int32_t count = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world.jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const world_job_t *job = value;

		count += job->accepted_ms != 0 && job->begun_ms == 0 &&
			 now_ms - job->accepted_ms > OLD_MS;
	}
	return count;
}

static void on_looked(int32_t status, const char *body, void *data)
{
	look_t *look = data;
	const char *field = strstr(body, "\"pending\":");
	/* jobs that have begun since the question count for the system */
	int32_t waiting = MIN(look->waiting, count_waiting());

	if (status == 200 && field != NULL) {
		int32_t said = atoi(field + strlen("\"pending\":"));

		answers++;
		most_waiting = MAX(most_waiting, waiting);
		if (waiting > 0)
			world_record("client: edge-%d says that %d jobs wait; "
				     "%d wait for over %d ms",
				     look->process, said, waiting, OLD_MS);
		if (2 * said < waiting)
			world_break("MIXED: edge-%d says that %d jobs wait; "
				    "%d were accepted over %d ms ago and "
				    "haven't begun",
				    look->process, said, waiting, OLD_MS);
	}
	g_free(look);
}

static void ask(void *data)
{
	look_t *look = g_new0(look_t, 1);

	(void)data;
	look->process = looks++ % WORLD_PROCESSES;
	look->waiting = count_waiting();
	world_call(look->process, EVHTTP_REQ_GET, WORLD_PREFIX, NULL, on_looked,
		   look);
}

static void submit(void *data)
{
	int64_t since_ms = world_now_ms() - LEAD_MS;

	(void)data;
	if (since_ms >= 0 && since_ms < TRAFFIC_MS)
		world_job_submit(world_job_new(1, CPU, WORK_MS));
}

int main(int argc, char **argv)
{
	const world_hooks_t hooks = { .delay_order = delay_order };

	if (argc != 2)
		return 2;
	world_begin(argv[1], &hooks);
	world_every(10, update_late_time, NULL);
	world_every(JOB_EVERY_MS, submit, NULL);
	world_every(LOOK_EVERY_MS, ask, NULL);
	world_run(RUN_MS);
	world_record("%d of %d orders were carried out late", world.late_orders,
		     world.orders);
	world_record("%u jobs, %d answers, at most %d jobs waited for over "
		     "%d ms, rule broken %d times",
		     g_hash_table_size(world.jobs), answers, most_waiting,
		     OLD_MS, world.broken);
	printf("%u jobs, %d answers, at most %d waited, rule broken %d times\n",
	       g_hash_table_size(world.jobs), answers, most_waiting,
	       world.broken);
	world_end();
	if (world.broken > 0)
		return 1;
	return answers > 100 && world.unexpected == 0 ? 0 : 2;
}
