#include "waxwinghollow/limiter.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define RUN_WEIGHT 0.1
#define RUN_MIN_MS 5.0
#define PAUSE_MAX_MS 2000.0
#define CUT_DIVISOR 8
#define CUT_GAP_MS 100
#define CUT_GAP_RUNS 3 /* requests started before have ended by then */
#define REFUSAL_SCORE 4
#define CUT_SCORE 8
#define RAISE_FIRST_MS 1000
#define RAISE_MAX_MS 16000

static void update_ceiling(wwh_slot_limit_t *limit);
static void set_bears(wwh_slot_limit_t *limit, int64_t now_ms, int32_t bears);

int32_t wwh_limiter_part(const char *minion, int32_t total, int32_t seat_count,
			 uint64_t seats)
{
	uint64_t hash = XXH3_64bits(minion, strlen(minion));
	int32_t first = (int32_t)(hash % (uint64_t)seat_count);
	int32_t part = 0;

	assert(seat_count >= 1 && seat_count <= 64);
	for (int32_t seat = 0; seat < seat_count; seat++) {
		int32_t rank = (seat + seat_count - first) % seat_count;

		if ((seats >> seat & 1) == 0)
			continue;
		part += total / seat_count;
		if (rank < total % seat_count)
			part++;
	}
	return part;
}

void wwh_limiter_set_share(wwh_limiter_t *limiter, int32_t share)
{
	assert(share >= 0);
	limiter->share = share;
}

bool wwh_limiter_has_room(const wwh_limiter_t *limiter, int64_t now_ms,
			  double factor)
{
	if (limiter->running >= limiter->share)
		return false;
	if (limiter->running == 0)
		return now_ms >= limiter->next_start_ms;
	return limiter->running + 1 <= (int32_t)(limiter->share * factor);
}

void wwh_limiter_start(wwh_limiter_t *limiter)
{
	assert(limiter->running < limiter->share);
	limiter->running++;
}

void wwh_limiter_finish(wwh_limiter_t *limiter, int64_t now_ms, double factor,
			int32_t run_ms)
{
	double limit = limiter->share * factor;
	double run, pause;

	assert(limiter->running > 0);
	limiter->running--;
	if (run_ms > 0 && limiter->run_ms <= 0)
		limiter->run_ms = run_ms;
	if (run_ms > 0)
		limiter->run_ms += RUN_WEIGHT * (run_ms - limiter->run_ms);
	if (limit >= 1 || limit <= 0)
		return;
	run = limiter->run_ms < RUN_MIN_MS ? RUN_MIN_MS : limiter->run_ms;
	pause = run * (1 / limit - 1);
	if (pause > PAUSE_MAX_MS)
		pause = PAUSE_MAX_MS;
	limiter->next_start_ms = now_ms + (int64_t)pause;
}

void wwh_slot_limit_init(wwh_slot_limit_t *limit, int32_t declared)
{
	*limit = (wwh_slot_limit_t){ .declared = declared,
				     .bears = declared,
				     .wait_ms = RAISE_FIRST_MS };
}

void wwh_slot_limit_record_answer(wwh_slot_limit_t *limit)
{
	if (limit->score > 0)
		limit->score--;
}

bool wwh_slot_limit_record_refusal(wwh_slot_limit_t *limit, int64_t now_ms,
				   double run_ms)
{
	int64_t gap_ms = CUT_GAP_MS + (int64_t)(CUT_GAP_RUNS * run_ms);
	int32_t less = limit->bears / CUT_DIVISOR;

	if (now_ms - limit->changed_ms < gap_ms || limit->bears <= 1)
		return false;
	limit->score += REFUSAL_SCORE;
	if (!limit->raised && limit->score < CUT_SCORE)
		return false;
	if (limit->raised)
		update_ceiling(limit);
	set_bears(limit, now_ms, limit->bears - (less > 1 ? less : 1));
	limit->version++;
	return true;
}

bool wwh_slot_limit_advance(wwh_slot_limit_t *limit, int64_t now_ms)
{
	bool at_ceiling = limit->bears + 1 >= limit->ceiling;
	int64_t wait_ms = at_ceiling ? limit->wait_ms : RAISE_FIRST_MS;

	if (limit->bears >= limit->declared ||
	    now_ms - limit->changed_ms < wait_ms)
		return false;
	if (limit->raised && limit->bears >= limit->ceiling &&
	    limit->wait_ms > RAISE_FIRST_MS)
		limit->wait_ms /= 2;
	set_bears(limit, now_ms, limit->bears + 1);
	limit->version++;
	return true;
}

bool wwh_slot_limit_handle_update(wwh_slot_limit_t *limit, int64_t now_ms,
				  uint32_t version, int32_t bears)
{
	if (bears < 1 || bears > limit->declared)
		return false;
	if (version < limit->version ||
	    (version == limit->version && bears >= limit->bears))
		return false;
	/* Another process was refused at the raised limit. */
	if (limit->raised && bears < limit->bears)
		update_ceiling(limit);
	set_bears(limit, now_ms, bears);
	limit->version = version;
	return true;
}

/*
 * Sets the ceiling to the limit that was refused. The wait doubles, unless the
 * limit was above the previous ceiling.
 */
static void update_ceiling(wwh_slot_limit_t *limit)
{
	if (limit->bears <= limit->ceiling && limit->wait_ms < RAISE_MAX_MS)
		limit->wait_ms *= 2;
	limit->ceiling = limit->bears;
}

static void set_bears(wwh_slot_limit_t *limit, int64_t now_ms, int32_t bears)
{
	limit->raised = bears > limit->bears;
	limit->bears = bears;
	limit->changed_ms = now_ms;
	limit->score = 0;
}
