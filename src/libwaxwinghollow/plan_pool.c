#include "private/plan_pool.h"

#include <assert.h>

/*
 * How many of the next workers are tried when the first is held up by its
 * own rack or zone. More than a rack holds of one pool, so that the next
 * rack is always seen.
 */
#define LOOK_AHEAD 64
#define SMALL_COUNT 16 /* up to here every number out at once is tried */

typedef struct {
	int32_t worker;
	int64_t end_ms;
} turn_t;

typedef struct {
	const wwh_plan_pool_work_t *work;
	wwh_pool_budget_t *tally;
	int32_t *waiting; /* places in order */
	int32_t waiting_count;
	GArray *out; /* of turn_t */
	int64_t now_ms;
	wwh_plan_speed_t speed;
} play_t;

static void find_speeds(wwh_plan_pool_work_t *work);
static bool start_next(play_t *play, GArray *steps);
static int32_t find_allowed(play_t *play);
static void end_next(play_t *play);
static void add_step(const play_t *play, int32_t place, GArray *steps);

void wwh_plan_pool_init(wwh_plan_pool_work_t *work,
			const wwh_fleet_view_t *view, int32_t pool,
			const wwh_plan_options_t *options)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;

	work->view = view;
	work->options = options;
	work->pool = pool;
	work->order = g_new0(int32_t, size + 1);
	work->order_count = wwh_plan_order(view, pool, options, work->order);
	work->turn_ms = g_new0(int64_t, size + 1);
	for (int32_t i = 0; i < work->order_count; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, work->order[i]);

		assert(!wwh_fleet_is_lost(worker));
		work->turn_ms[i] =
			options->service_ms +
			wwh_plan_wait_ms(view, work->order[i], options);
		if (worker->job_count > 0)
			work->turn_ms[i] += options->checkpoint_ms;
	}
	work->speeds = g_array_new(FALSE, FALSE, sizeof(wwh_plan_speed_t));
	find_speeds(work);
}

void wwh_plan_pool_finish(wwh_plan_pool_work_t *work)
{
	g_free(work->order);
	g_free(work->turn_ms);
	g_array_free(work->speeds, TRUE);
}

wwh_plan_speed_t wwh_plan_pool_play(const wwh_plan_pool_work_t *work,
				    int32_t asked, GArray *steps)
{
	play_t play = {
		.work = work,
		.tally = wwh_pool_budget_new(work->view, work->pool),
		.waiting = g_new0(int32_t, work->order_count + 1),
		.waiting_count = work->order_count,
		.out = g_array_new(FALSE, FALSE, sizeof(turn_t)),
		.speed = { .asked = asked,
			   .binding = WWH_CONSTRAINT_NO_WORKERS },
	};

	for (int32_t i = 0; i < work->order_count; i++)
		play.waiting[i] = i;
	for (;;) {
		while ((int32_t)play.out->len < asked &&
		       start_next(&play, steps))
			continue;
		if (play.out->len == 0)
			break;
		end_next(&play);
	}
	play.speed.duration_ms = play.now_ms;
	play.speed.left = play.waiting_count;
	wwh_pool_budget_delete(play.tally);
	g_array_free(play.out, TRUE);
	g_free(play.waiting);
	return play.speed;
}

/* Each number out at once that ends sooner than the one before. */
static void find_speeds(wwh_plan_pool_work_t *work)
{
	int32_t asked = 1;

	while (asked <= work->order_count) {
		wwh_plan_speed_t speed = wwh_plan_pool_play(work, asked, NULL);

		if (speed.peak < asked && work->speeds->len > 0) {
			wwh_plan_speed_t *last =
				&g_array_index(work->speeds, wwh_plan_speed_t,
					       work->speeds->len - 1);

			last->binding = speed.binding;
			if (speed.peak <= last->peak)
				break;
		}
		g_array_append_val(work->speeds, speed);
		if (speed.peak < asked)
			break;
		asked += asked < SMALL_COUNT ? 1 : asked / 4;
	}
}

static bool start_next(play_t *play, GArray *steps)
{
	const wwh_plan_pool_work_t *work = play->work;
	int32_t at = find_allowed(play);
	int32_t place;
	turn_t turn;

	if (at < 0)
		return false;
	place = play->waiting[at];
	turn.worker = work->order[place];
	turn.end_ms = play->now_ms + work->turn_ms[place];
	wwh_pool_budget_mark_out(play->tally, turn.worker);
	g_array_append_val(play->out, turn);
	play->speed.peak = MAX(play->speed.peak, (int32_t)play->out->len);
	if (steps)
		add_step(play, place, steps);
	play->waiting_count--;
	for (int32_t i = at; i < play->waiting_count; i++)
		play->waiting[i] = play->waiting[i + 1];
	return true;
}

/* The place in waiting of the first worker that may go; -1: none. */
static int32_t find_allowed(play_t *play)
{
	int32_t tries = MIN(play->waiting_count, LOOK_AHEAD);

	for (int32_t i = 0; i < tries; i++) {
		int32_t worker = play->work->order[play->waiting[i]];
		wwh_constraint_t binding =
			wwh_pool_budget_allows(play->tally, worker);

		if (binding == WWH_CONSTRAINT_NONE)
			return i;
		play->speed.binding = binding;
		if (binding != WWH_CONSTRAINT_LOSE_PER_RACK &&
		    binding != WWH_CONSTRAINT_LOSE_PER_ZONE)
			return -1;
	}
	return -1;
}

static void end_next(play_t *play)
{
	guint first = 0;
	turn_t turn;

	for (guint i = 1; i < play->out->len; i++) {
		if (g_array_index(play->out, turn_t, i).end_ms <
		    g_array_index(play->out, turn_t, first).end_ms)
			first = i;
	}
	turn = g_array_index(play->out, turn_t, first);
	g_array_remove_index(play->out, first);
	wwh_pool_budget_mark_serving(play->tally, turn.worker);
	play->now_ms = turn.end_ms;
}

static void add_step(const play_t *play, int32_t place, GArray *steps)
{
	const wwh_plan_pool_work_t *work = play->work;
	int32_t done = work->order_count - play->waiting_count;
	wwh_plan_step_t step = {
		.worker = work->order[place],
		.batch = done / play->speed.asked,
		.start_ms = play->now_ms,
		.end_ms = play->now_ms + work->turn_ms[place],
		.wait_ms = wwh_plan_wait_ms(work->view, work->order[place],
					    work->options),
	};

	g_array_append_val(steps, step);
}
