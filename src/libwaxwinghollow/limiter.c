#include "waxwinghollow/limiter.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define RUN_WEIGHT 0.1
#define RUN_MIN_MS 5.0
#define PAUSE_MAX_MS 2000.0
#define CUT_PART 8
#define CUT_GAP_MS 100
#define CUT_GAP_RUNS 3 /* what was started before has ended by then */
#define REFUSAL_SCORE 4
#define CUT_SCORE 8
#define RAISE_FIRST_MS 1000
#define RAISE_MAX_MS 16000

static void note_ceiling(wwh_slot_limit_t *bearing);
static void set_bears(wwh_slot_limit_t *bearing, int64_t now_ms, int32_t bears);

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

void wwh_slot_limit_init(wwh_slot_limit_t *bearing, int32_t declared)
{
	*bearing = (wwh_slot_limit_t){ .declared = declared,
				       .bears = declared,
				       .wait_ms = RAISE_FIRST_MS };
}

void wwh_slot_limit_record_answer(wwh_slot_limit_t *bearing)
{
	if (bearing->score > 0)
		bearing->score--;
}

bool wwh_slot_limit_record_refusal(wwh_slot_limit_t *bearing, int64_t now_ms,
				   double run_ms)
{
	int64_t gap_ms = CUT_GAP_MS + (int64_t)(CUT_GAP_RUNS * run_ms);
	int32_t less = bearing->bears / CUT_PART;

	if (now_ms - bearing->changed_ms < gap_ms || bearing->bears <= 1)
		return false;
	bearing->score += REFUSAL_SCORE;
	if (!bearing->raised && bearing->score < CUT_SCORE)
		return false;
	if (bearing->raised)
		note_ceiling(bearing);
	set_bears(bearing, now_ms, bearing->bears - (less > 1 ? less : 1));
	bearing->version++;
	return true;
}

bool wwh_slot_limit_advance(wwh_slot_limit_t *bearing, int64_t now_ms)
{
	bool at_ceiling = bearing->bears + 1 >= bearing->ceiling;
	int64_t wait_ms = at_ceiling ? bearing->wait_ms : RAISE_FIRST_MS;

	if (bearing->bears >= bearing->declared ||
	    now_ms - bearing->changed_ms < wait_ms)
		return false;
	if (bearing->raised && bearing->bears >= bearing->ceiling &&
	    bearing->wait_ms > RAISE_FIRST_MS)
		bearing->wait_ms /= 2;
	set_bears(bearing, now_ms, bearing->bears + 1);
	bearing->version++;
	return true;
}

bool wwh_slot_limit_handle_update(wwh_slot_limit_t *bearing, int64_t now_ms,
				  uint32_t version, int32_t bears)
{
	if (bears < 1 || bears > bearing->declared)
		return false;
	if (version < bearing->version ||
	    (version == bearing->version && bears >= bearing->bears))
		return false;
	/* Another process has tried one more and was refused. */
	if (bearing->raised && bears < bearing->bears)
		note_ceiling(bearing);
	set_bears(bearing, now_ms, bears);
	bearing->version = version;
	return true;
}

/* One more was tried and refused: the next try is later. */
static void note_ceiling(wwh_slot_limit_t *bearing)
{
	if (bearing->bears <= bearing->ceiling &&
	    bearing->wait_ms < RAISE_MAX_MS)
		bearing->wait_ms *= 2;
	bearing->ceiling = bearing->bears;
}

static void set_bears(wwh_slot_limit_t *bearing, int64_t now_ms, int32_t bears)
{
	bearing->raised = bears > bearing->bears;
	bearing->bears = bears;
	bearing->changed_ms = now_ms;
	bearing->score = 0;
}
