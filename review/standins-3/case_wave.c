/*
 * A wave takes one machine down at a time. The platform leaves an order for an
 * upkeep unanswered and carries it out late; the process that sent it is killed
 * and started again. The next holder goes on with the wave.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>

#define LEAD_MS 5000
#define WAVE_EVERY_MS 25000
#define WAVES 4
#define WAVE_DURATION_S 24
#define MAX_DOWN 1
#define KILL_AFTER_MS 300
#define RESTART_AFTER_MS 500
#define DELAY_MIN_MS 5000
#define DELAY_MAX_MS 12000
#define LATE_MS 5500
#define JOB_EVERY_MS 240
#define RUN_MS 108000

static int64_t wave_begun_ms;
static int64_t waves;
static int32_t orders;
static int32_t upkeeps;
static int32_t completed;

static void restart(void *data)
{
	world_process_start(GPOINTER_TO_INT(data));
}

static void kill_holder(void *data)
{
	int32_t holder = world_holder();

	(void)data;
	if (holder < 0)
		return;
	world_process_signal(holder, SIGKILL);
	world_after(RESTART_AFTER_MS, restart, GINT_TO_POINTER(holder));
}

/* Half of the orders: the first, the third and so on of each wave. */
static int64_t delay_upkeep(world_minion_t *minion)
{
	(void)minion;
	if (!world.trouble || world_now_ms() - wave_begun_ms > LATE_MS ||
	    orders++ % 2 != 0)
		return 0;
	if (orders == 1)
		world_after(KILL_AFTER_MS, kill_holder, NULL);
	return g_rand_int_range(world.rand, DELAY_MIN_MS, DELAY_MAX_MS);
}

static void on_upkeep(world_minion_t *minion, int64_t wave)
{
	int32_t down = world_wave_count_down(wave);

	upkeeps++;
	if (down >= MAX_DOWN)
		world_break("LIMIT: the upkeep of %s begins while %d machines "
			    "of wave %d are down",
			    minion->machine, down, (int)wave);
}

static void on_wave_state(int64_t wave, bool is_completed)
{
	(void)wave;
	completed += is_completed;
}

static void begin_wave(void *data)
{
	(void)data;
	orders = 0;
	wave_begun_ms = world_now_ms();
	world_wave_request(++waves, MAX_DOWN, WAVE_DURATION_S);
}

static void submit(void *data)
{
	(void)data;
	if (world_now_ms() > LEAD_MS)
		world_job_submit(world_job_new(6, 3800, 1700));
}

int main(int argc, char **argv)
{
	const world_hooks_t hooks = {
		.delay_upkeep = delay_upkeep,
		.on_upkeep = on_upkeep,
		.on_wave_state = on_wave_state,
	};

	if (argc != 2)
		return 2;
	world_begin(argv[1], &hooks);
	for (int32_t i = 0; i < WAVES; i++)
		world_after(LEAD_MS + i * WAVE_EVERY_MS, begin_wave, NULL);
	world_every(JOB_EVERY_MS, submit, NULL);
	world_run(RUN_MS);
	world_record("%d waves, %d upkeeps, rule broken %d times", WAVES,
		     upkeeps, world.broken);
	printf("%d waves, %d upkeeps, rule broken %d times\n", WAVES, upkeeps,
	       world.broken);
	world_end();
	if (world.broken > 0)
		return 1;
	return upkeeps >= WAVES * WORLD_MINIONS / 2 && world.unexpected == 0
		       ? 0
		       : 2;
}
