#include "waxwinghollow/loop_lag.h"

#include <glib.h>

/* Upper bound of the lag; a loop that reaches it is overloaded. */
#define OVERLOAD_LAG_MS 300

/* An overloaded loop whose lag is below this is catching up. */
#define CATCHING_UP_LAG_MS 225

/* Maximum that one turn adds to the lag: a single long pause is no overload. */
#define TURN_LAG_MAX_MS 200

/* A loop that kept up with inherited work for this long can sustain it. */
#define KEPT_UP_MIN_MS 5000

/* Time over which the rate of work is measured. */
#define WINDOW_MS 500

/*
 * A loop whose rate is below this share of its highest rate without lag is on a
 * slow host.
 */
#define SLOW_PERCENT 60
#define PERCENT 100
#define SECOND_MS 1000

struct wwh_loop_lag {
	int64_t lag_ms;
	int64_t kept_up_ms; /* since the last overload */
	bool overloaded;
	bool inherited_load;
	bool requires_proof; /* that the host is slow */
	int64_t window_ms; /* duration of the current window */
	int64_t window_work;
	int64_t work_per_s; /* in the previous window; 0: none */
	int64_t max_work_per_s; /* in any window without lag */
};

static void end_window(wwh_loop_lag_t *lag);
static bool works_near_max_rate(const wwh_loop_lag_t *lag);
static bool is_catching_up(const wwh_loop_lag_t *lag);

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
	lag->lag_ms = CLAMP(lag_ms, 0, OVERLOAD_LAG_MS);
	if (lag->lag_ms == OVERLOAD_LAG_MS)
		lag->overloaded = true;
	else if (lag->lag_ms == 0)
		lag->overloaded = false;
	lag->kept_up_ms = lag->overloaded ? 0 : lag->kept_up_ms + turn_ms;
	if (lag->kept_up_ms >= KEPT_UP_MIN_MS)
		lag->inherited_load = false;
	lag->window_ms += turn_ms;
	if (lag->window_ms >= WINDOW_MS)
		end_window(lag);
}

void wwh_loop_lag_add_work(wwh_loop_lag_t *lag, int64_t units)
{
	lag->window_work += units;
}

bool wwh_loop_lag_is_overloaded(const wwh_loop_lag_t *lag)
{
	return lag->overloaded;
}

void wwh_loop_lag_inherit_load(wwh_loop_lag_t *lag)
{
	lag->inherited_load = true;
}

bool wwh_loop_lag_is_host_slow(const wwh_loop_lag_t *lag)
{
	if (!lag->overloaded || lag->inherited_load)
		return false;
	return !lag->requires_proof ||
	       (!works_near_max_rate(lag) && !is_catching_up(lag));
}

void wwh_loop_lag_require_proof(wwh_loop_lag_t *lag, bool requires_proof)
{
	lag->requires_proof = requires_proof;
}

int64_t wwh_loop_lag_work_per_s(const wwh_loop_lag_t *lag)
{
	/* the previous window may have ended before the host became slow */
	if (lag->window_ms >= WINDOW_MS / 2)
		return lag->window_work * SECOND_MS / lag->window_ms;
	return lag->work_per_s;
}

int64_t wwh_loop_lag_max_work_per_s(const wwh_loop_lag_t *lag)
{
	return lag->max_work_per_s;
}

int64_t wwh_loop_lag_ms(const wwh_loop_lag_t *lag)
{
	return lag->lag_ms;
}

void wwh_loop_lag_reset(wwh_loop_lag_t *lag)
{
	*lag = (wwh_loop_lag_t){ 0 };
}

static void end_window(wwh_loop_lag_t *lag)
{
	lag->work_per_s = lag->window_work * SECOND_MS / lag->window_ms;
	if (lag->lag_ms == 0)
		lag->max_work_per_s = MAX(lag->max_work_per_s, lag->work_per_s);
	lag->window_ms = 0;
	lag->window_work = 0;
}

static bool works_near_max_rate(const wwh_loop_lag_t *lag)
{
	return wwh_loop_lag_work_per_s(lag) * PERCENT >=
	       lag->max_work_per_s * SLOW_PERCENT;
}

/*
 * While a loop catches up, a low rate is no sign of a slow host, because little
 * work is left after a load.
 */
static bool is_catching_up(const wwh_loop_lag_t *lag)
{
	return lag->lag_ms < CATCHING_UP_LAG_MS;
}
