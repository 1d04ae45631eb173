#include "waxwinghollow/limiter.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

#define CUT_FACTOR 0.7
#define RAISE_STEP 0.02
#define LIMIT_FLOOR 0.0625 /* with 8 processes: half a request in all */
#define RUN_WEIGHT 0.1
#define RUN_MIN_MS 5.0
#define PAUSE_MAX_MS 2000.0

const char *const wwh_bears_names[WWH_BEARS_COUNT] = {
	"ok",
	"less",
	"no-sign",
};

static void cut(wwh_limiter_t *limiter, int64_t now_ms);
static void raise_limit(wwh_limiter_t *limiter);

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
	double proportion = 1;

	assert(share >= 0);
	if (limiter->share > 0)
		proportion = limiter->limit / limiter->share;
	limiter->share = share;
	limiter->limit = proportion * share;
}

bool wwh_limiter_has_room(const wwh_limiter_t *limiter, int64_t now_ms,
			  double factor)
{
	double limit = limiter->limit * factor;

	if (limiter->running >= limiter->share)
		return false;
	if (limiter->running == 0)
		return now_ms >= limiter->next_start_ms;
	return limiter->running + 1 <= (int32_t)(limit + 0.001);
}

void wwh_limiter_start(wwh_limiter_t *limiter)
{
	assert(limiter->running < limiter->share);
	limiter->running++;
}

void wwh_limiter_finish(wwh_limiter_t *limiter, int64_t now_ms, double factor,
			wwh_bears_t bears, int32_t run_ms)
{
	double limit;

	assert(limiter->running > 0);
	limiter->running--;
	if (bears == WWH_BEARS_OK) {
		if (limiter->run_ms <= 0)
			limiter->run_ms = run_ms;
		limiter->run_ms += RUN_WEIGHT * (run_ms - limiter->run_ms);
		raise_limit(limiter);
	} else if (bears == WWH_BEARS_LESS) {
		cut(limiter, now_ms);
	}
	limit = limiter->limit * factor;
	if (limit < 1 && limiter->share > 0) {
		double run = limiter->run_ms < RUN_MIN_MS ? RUN_MIN_MS
							  : limiter->run_ms;
		double pause = run * (1 / limit - 1);

		if (pause > PAUSE_MAX_MS)
			pause = PAUSE_MAX_MS;
		limiter->next_start_ms = now_ms + (int64_t)pause;
	}
}

static void cut(wwh_limiter_t *limiter, int64_t now_ms)
{
	if (now_ms < limiter->next_cut_ms)
		return;
	limiter->limit *= CUT_FACTOR;
	if (limiter->limit < LIMIT_FLOOR)
		limiter->limit = LIMIT_FLOOR;
	limiter->next_cut_ms = now_ms + (int64_t)limiter->run_ms;
}

static void raise_limit(wwh_limiter_t *limiter)
{
	limiter->limit *= 1 + RAISE_STEP;
	if (limiter->limit > limiter->share)
		limiter->limit = limiter->share;
}
