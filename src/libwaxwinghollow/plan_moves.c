#include "private/plan_pool.h"

#define NO_JOB (-1)

/* Where the pool's jobs are while its turns are played. */
typedef struct {
	const wwh_plan_pool_work_t *work;
	wwh_load_t *room; /* a member, by position */
	int64_t *done_ms; /* end of the member's turn; INT64_MAX: none yet */
	int64_t *start_ms; /* start of the member's turn; INT64_MAX: none */
	int32_t *first_job; /* a member: head of its list */
	int32_t *next_job; /* a job of the view */
	int32_t *positions; /* a worker of the view: its position */
} board_t;

static void board_init(board_t *board, const wwh_plan_pool_work_t *work,
		       const wwh_plan_step_t *steps, int32_t count);
static void board_finish(board_t *board);
static void board_place(board_t *board, int32_t position, int32_t job);
static void move_jobs_of(board_t *board, wwh_plan_step_t *step);
static int32_t find_target(const board_t *board, const wwh_plan_step_t *step,
			   const wwh_load_t *need);
static bool is_better(const board_t *board, const wwh_plan_step_t *step,
		      int32_t candidate, int32_t best);
static wwh_load_t need_of(const wwh_fleet_job_t *job);

void wwh_plan_pool_move_jobs(const wwh_plan_pool_work_t *work,
			     wwh_plan_step_t *steps, int32_t count)
{
	board_t board;

	board_init(&board, work, steps, count);
	for (int32_t i = 0; i < count; i++)
		move_jobs_of(&board, &steps[i]);
	board_finish(&board);
}

static void board_init(board_t *board, const wwh_plan_pool_work_t *work,
		       const wwh_plan_step_t *steps, int32_t count)
{
	const wwh_fleet_view_t *view = work->view;
	int32_t size = wwh_fleet_pool(view, work->pool)->size;

	board->work = work;
	board->room = g_new0(wwh_load_t, size + 1);
	board->done_ms = g_new0(int64_t, size + 1);
	board->start_ms = g_new0(int64_t, size + 1);
	board->first_job = g_new0(int32_t, size + 1);
	board->next_job = g_new0(int32_t, wwh_fleet_job_count(view) + 1);
	board->positions = g_new0(int32_t, wwh_fleet_worker_count(view) + 1);
	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, work->pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);
		bool serves = worker->state == WWH_FLEET_SERVING &&
			      !worker->quarantined;

		board->positions[member] = i;
		board->first_job[i] = NO_JOB;
		board->start_ms[i] = INT64_MAX;
		board->done_ms[i] = worker->maintained ? 0 : INT64_MAX;
		if (serves)
			board->room[i] = worker->size;
		for (int32_t j = 0; j < worker->job_count; j++) {
			int32_t job = wwh_fleet_worker_job(view, member, j);

			if (wwh_fleet_job(view, job)->phase ==
			    WWH_JOB_PHASE_PLACED)
				board_place(board, i, job);
		}
	}
	for (int32_t i = 0; i < count; i++) {
		int32_t position = board->positions[steps[i].worker];

		board->start_ms[position] = steps[i].start_ms;
		board->done_ms[position] = steps[i].end_ms;
	}
}

static void board_finish(board_t *board)
{
	g_free(board->room);
	g_free(board->done_ms);
	g_free(board->start_ms);
	g_free(board->first_job);
	g_free(board->next_job);
	g_free(board->positions);
}

static void board_place(board_t *board, int32_t position, int32_t job)
{
	wwh_load_t need = need_of(wwh_fleet_job(board->work->view, job));

	wwh_load_subtract(&board->room[position], &need);
	board->next_job[job] = board->first_job[position];
	board->first_job[position] = job;
}

static void move_jobs_of(board_t *board, wwh_plan_step_t *step)
{
	const wwh_fleet_view_t *view = board->work->view;
	int64_t now_ms = board->work->options->now_ms;
	int32_t position = board->positions[step->worker];
	int32_t job = board->first_job[position];

	board->first_job[position] = NO_JOB;
	board->room[position] = wwh_fleet_worker(view, step->worker)->size;
	while (job != NO_JOB) {
		const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
		int64_t leave_ms = now_ms + step->start_ms + step->wait_ms;
		int32_t next = board->next_job[job];
		wwh_load_t need = need_of(item);

		if (item->expected_end_ms == 0 ||
		    item->expected_end_ms > leave_ms) {
			int32_t target = find_target(board, step, &need);

			step->moves++;
			if (target < 0)
				step->stranded++;
			else if (board->start_ms[target] != INT64_MAX &&
				 board->done_ms[target] > step->start_ms)
				step->again++;
			if (target >= 0)
				board_place(board, target, job);
		}
		job = next;
	}
}

static int32_t find_target(const board_t *board, const wwh_plan_step_t *step,
			   const wwh_load_t *need)
{
	const wwh_plan_pool_work_t *work = board->work;
	int32_t size = wwh_fleet_pool(work->view, work->pool)->size;
	int32_t own = board->positions[step->worker];
	int32_t best = -1;

	for (int32_t i = 0; i < size; i++) {
		bool out = board->start_ms[i] <= step->start_ms &&
			   board->done_ms[i] > step->start_ms;

		if (i == own || out || !wwh_load_fits(need, &board->room[i]))
			continue;
		if (best < 0 || is_better(board, step, i, best))
			best = i;
	}
	return best;
}

/* Maintained first; then the same zone; then the one whose turn is later. */
static bool is_better(const board_t *board, const wwh_plan_step_t *step,
		      int32_t candidate, int32_t best)
{
	const wwh_fleet_view_t *view = board->work->view;
	int32_t pool = board->work->pool;
	int32_t zone = wwh_fleet_worker(view, step->worker)->zone;
	bool candidate_done = board->done_ms[candidate] <= step->start_ms;
	bool best_done = board->done_ms[best] <= step->start_ms;
	bool candidate_near =
		wwh_fleet_worker(view, wwh_fleet_member(view, pool, candidate))
			->zone == zone;
	bool best_near =
		wwh_fleet_worker(view, wwh_fleet_member(view, pool, best))
			->zone == zone;

	if (candidate_done != best_done)
		return candidate_done;
	if (!candidate_done &&
	    board->start_ms[candidate] != board->start_ms[best])
		return board->start_ms[candidate] > board->start_ms[best];
	if (candidate_near != best_near)
		return candidate_near;
	return board->room[candidate].cpu_millicores <
	       board->room[best].cpu_millicores;
}

/* Observed use where there is a report, else what was declared. */
static wwh_load_t need_of(const wwh_fleet_job_t *job)
{
	wwh_load_t need = job->declared;

	if (job->used.cpu_millicores > 0)
		need.cpu_millicores = job->used.cpu_millicores;
	if (job->used.memory_mb > 0)
		need.memory_mb = job->used.memory_mb;
	return need;
}
