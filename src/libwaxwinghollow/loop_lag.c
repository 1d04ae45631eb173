#include "waxwinghollow/loop_lag.h"

#include <glib.h>

/* Lag from which on a loop is overloaded. */
#define OVERLOADED_MS 300

/* What one turn adds at most: one long pause is no overload. */
#define TURN_LAG_MAX_MS 200

/* A loop that kept up for so long with inherited work can keep up with it. */
#define KEPT_UP_MS 5000

struct wwh_loop_lag {
	int64_t lag_ms;
	int64_t kept_up_ms; /* since it was overloaded last */
	bool overloaded;
	bool inherited_load;
};

wwh_loop_lag_t *wwh_loop_lag_new(void)
{
	return g_new0(wwh_loop_lag_t, 1);
}

void wwh_loop_lag_delete(wwh_loop_lag_t *lag)
{
	g_free(lag);
}

void wwh_loop_lag_add_turn(wwh_loop_lag_t *lag, int64_t turn_ms,
			   int64_t overrun_ms)
{
	int64_t idle_ms = MAX(turn_ms - overrun_ms, 0);
	int64_t lag_ms = lag->lag_ms - idle_ms;

	lag_ms += CLAMP(overrun_ms, 0, TURN_LAG_MAX_MS);
	lag->lag_ms = CLAMP(lag_ms, 0, OVERLOADED_MS);
	if (lag->lag_ms == OVERLOADED_MS)
		lag->overloaded = true;
	else if (lag->lag_ms == 0)
		lag->overloaded = false;
	lag->kept_up_ms = lag->overloaded ? 0 : lag->kept_up_ms + turn_ms;
	if (lag->kept_up_ms >= KEPT_UP_MS)
		lag->inherited_load = false;
}

bool wwh_loop_lag_is_overloaded(const wwh_loop_lag_t *lag)
{
	return lag->overloaded;
}

void wwh_loop_lag_inherit_load(wwh_loop_lag_t *lag)
{
	lag->inherited_load = true;
}

bool wwh_loop_lag_blames_host(const wwh_loop_lag_t *lag)
{
	return lag->overloaded && !lag->inherited_load;
}

int64_t wwh_loop_lag_ms(const wwh_loop_lag_t *lag)
{
	return lag->lag_ms;
}

void wwh_loop_lag_reset(wwh_loop_lag_t *lag)
{
	*lag = (wwh_loop_lag_t){ 0 };
}
