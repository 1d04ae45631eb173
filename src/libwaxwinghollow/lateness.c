#include "waxwinghollow/lateness.h"

#include <glib.h>

/*
 * Behind by so much, a loop is late. A new one is behind for a while with what it
 * inherits, and makes up for it before it comes to this.
 */
#define LATE_MS 300

/* Of one turn: a process that stood still once is awake now, and isn't slow. */
#define TURN_MOST_MS 200

/* A loop that kept up for so long with inherited work can keep up with it. */
#define KEPT_UP_MS 5000

struct wwh_lateness {
	int64_t behind_ms;
	int64_t in_time_ms; /* since it was late last */
	bool late;
	bool inherited_load;
};

wwh_lateness_t *wwh_lateness_new(void)
{
	return g_new0(wwh_lateness_t, 1);
}

void wwh_lateness_delete(wwh_lateness_t *lateness)
{
	g_free(lateness);
}

void wwh_lateness_turn(wwh_lateness_t *lateness, int64_t turn_ms,
		       int64_t overrun_ms)
{
	int64_t in_time_ms = MAX(turn_ms - overrun_ms, 0);
	int64_t behind_ms = lateness->behind_ms - in_time_ms;

	behind_ms += CLAMP(overrun_ms, 0, TURN_MOST_MS);
	lateness->behind_ms = CLAMP(behind_ms, 0, LATE_MS);
	if (lateness->behind_ms == LATE_MS)
		lateness->late = true;
	else if (lateness->behind_ms == 0)
		lateness->late = false;
	lateness->in_time_ms =
		lateness->late ? 0 : lateness->in_time_ms + turn_ms;
	if (lateness->in_time_ms >= KEPT_UP_MS)
		lateness->inherited_load = false;
}

bool wwh_lateness_is_late(const wwh_lateness_t *lateness)
{
	return lateness->late;
}

void wwh_lateness_inherit_load(wwh_lateness_t *lateness)
{
	lateness->inherited_load = true;
}

bool wwh_lateness_blames_host(const wwh_lateness_t *lateness)
{
	return lateness->late && !lateness->inherited_load;
}

int64_t wwh_lateness_behind_ms(const wwh_lateness_t *lateness)
{
	return lateness->behind_ms;
}

void wwh_lateness_reset(wwh_lateness_t *lateness)
{
	*lateness = (wwh_lateness_t){ 0 };
}
