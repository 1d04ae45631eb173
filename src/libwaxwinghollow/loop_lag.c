#include "waxwinghollow/loop_lag.h"

#include <glib.h>

/* Lag from which on a loop is overloaded. */
#define OVERLOADED_MS 300

/* Below it the lag of an overloaded loop is on its way to zero. */
#define CATCHES_UP_MS 225

/* What one turn adds at most: one long pause is no overload. */
#define TURN_LAG_MAX_MS 200

/* A loop that kept up for so long with inherited work can keep up with it. */
#define KEPT_UP_MS 5000

/* The rate of work is taken over so much time. */
#define WINDOW_MS 500

/* A loop that does less, of the most that it did in time, is on a slow host. */
#define SLOW_PERCENT 60
#define PERCENT 100
#define SECOND_MS 1000

struct wwh_loop_lag {
	int64_t lag_ms;
	int64_t kept_up_ms; /* since it was overloaded last */
	bool overloaded;
	bool inherited_load;
	bool wants_proof; /* that the host is slow */
	int64_t window_ms; /* of the window in progress */
	int64_t window_work;
	int64_t work_per_s; /* in the window before; 0: none */
	int64_t most_per_s; /* in any window without lag */
};

static void end_window(wwh_loop_lag_t *lag);
static bool does_as_much_as_ever(const wwh_loop_lag_t *lag);
static bool catches_up(const wwh_loop_lag_t *lag);

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

bool wwh_loop_lag_blames_host(const wwh_loop_lag_t *lag)
{
	if (!lag->overloaded || lag->inherited_load)
		return false;
	return !lag->wants_proof ||
	       (!does_as_much_as_ever(lag) && !catches_up(lag));
}

void wwh_loop_lag_want_proof(wwh_loop_lag_t *lag, bool wants_proof)
{
	lag->wants_proof = wants_proof;
}

int64_t wwh_loop_lag_work_per_s(const wwh_loop_lag_t *lag)
{
	/* the window before may be from before its host turned slow */
	if (lag->window_ms >= WINDOW_MS / 2)
		return lag->window_work * SECOND_MS / lag->window_ms;
	return lag->work_per_s;
}

int64_t wwh_loop_lag_most_per_s(const wwh_loop_lag_t *lag)
{
	return lag->most_per_s;
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
		lag->most_per_s = MAX(lag->most_per_s, lag->work_per_s);
	lag->window_ms = 0;
	lag->window_work = 0;
}

static bool does_as_much_as_ever(const wwh_loop_lag_t *lag)
{
	return wwh_loop_lag_work_per_s(lag) * PERCENT >=
	       lag->most_per_s * SLOW_PERCENT;
}

/* Little is done after the load is over, too. */
static bool catches_up(const wwh_loop_lag_t *lag)
{
	return lag->lag_ms < CATCHES_UP_MS;
}
