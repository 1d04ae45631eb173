#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "replay.h"

#define STEP_MS 50
#define MOVE_MS 1500
/* In flight is a move that isn't answered; hosts answer within a step. */
#define MAX_MOVES_IN_FLIGHT 12
#define MAX_POOLS 8

typedef struct {
	char name[16];
	int32_t minimum;
	int32_t desired;
	int32_t hosts;
	int32_t arriving; /* moving to it */
} sim_pool_t;

typedef struct {
	int64_t at_ms;
	char what[16];
	char name[16];
	int32_t value;
} sim_event_t;

typedef struct {
	char what[24];
	int64_t minimum;
	int64_t maximum;
} sim_expectation_t;

typedef struct {
	int64_t at_ms; /* arrives */
	int32_t pool; /* index; -1: standby */
} sim_move_t;

typedef struct {
	wwh_fleet_reserve_t *reserve;
	wwh_fleet_reserve_options_t options;
	sim_pool_t pools[MAX_POOLS];
	int32_t pool_count;
	GArray *events; /* sim_event_t */
	GArray *expectations; /* sim_expectation_t */
	GArray *moves; /* sim_move_t */
	int64_t end_ms;
	int32_t rack_size;
	int32_t initial_hosts;
	int32_t standby;
	int32_t wave; /* hosts down */
	bool moves_fail;
	bool unobserved;
	int64_t now_ms;
	/* results */
	int64_t released;
	int64_t called;
	int64_t short_host_ms;
	int64_t paid_host_ms;
	int64_t first_release_ms;
	int64_t lasting;
} sim_t;

wwh_fleet_reserve_t *replay_make_reserve(void)
{
	wwh_fleet_reserve_options_t options = { .window_ms = WINDOW_MS };

	return wwh_fleet_reserve_new(&options);
}

static sim_t *sim_new(void)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->options.window_ms = WINDOW_MS;
	sim->reserve = replay_make_reserve();
	sim->events = g_array_new(FALSE, TRUE, sizeof(sim_event_t));
	sim->expectations = g_array_new(FALSE, TRUE, sizeof(sim_expectation_t));
	sim->moves = g_array_new(FALSE, TRUE, sizeof(sim_move_t));
	sim->first_release_ms = -1;
	return sim;
}

static void sim_delete(sim_t *sim)
{
	wwh_fleet_reserve_delete(sim->reserve);
	g_array_free(sim->events, TRUE);
	g_array_free(sim->expectations, TRUE);
	g_array_free(sim->moves, TRUE);
	g_free(sim);
}

static void add_event(sim_t *sim, int64_t at_ms, const char *what,
		      const char *name, int32_t value)
{
	sim_event_t event = { .at_ms = at_ms, .value = value };

	g_strlcpy(event.what, what, sizeof(event.what));
	g_strlcpy(event.name, name, sizeof(event.name));
	g_array_append_val(sim->events, event);
}

static void add_alternation(sim_t *sim, int64_t from_ms, int64_t phase_ms,
			    int32_t cycles, int32_t peak, int32_t trough)
{
	for (int32_t n = 0; n < cycles * sim->pool_count; n++) {
		for (int32_t i = 0; i < sim->pool_count; i++)
			add_event(sim, from_ms + n * phase_ms, "desire",
				  sim->pools[i].name,
				  i == n % sim->pool_count ? peak : trough);
	}
}

static void renew_reserve(sim_t *sim)
{
	wwh_fleet_reserve_delete(sim->reserve);
	sim->reserve = wwh_fleet_reserve_new(&sim->options);
}

static void parse_line(sim_t *sim, const char *line)
{
	sim_expectation_t expectation = { 0 };
	char what[16];
	char name[16] = "";
	int64_t at_ms;
	int64_t phase_ms;
	int32_t numbers[4];

	if (line[0] == '#' || line[0] == '\0')
		return;
	if (sscanf(line, "fleet %d %d", &sim->initial_hosts, &sim->rack_size) ==
	    2)
		return;
	if (sscanf(line, "pool %15s %d", name, &numbers[0]) == 2) {
		sim_pool_t *pool = &sim->pools[sim->pool_count++];

		assert_true(sim->pool_count <= MAX_POOLS);
		g_strlcpy(pool->name, name, sizeof(pool->name));
		pool->minimum = pool->desired = numbers[0];
	} else if (sscanf(line, "policy %d %d %d %d", &numbers[0], &numbers[1],
			  &numbers[2], &numbers[3]) == 4) {
		sim->options.headroom_percent = numbers[0];
		sim->options.estimate_headroom_percent = numbers[1];
		sim->options.idle_headroom_percent = numbers[2];
		sim->options.releases_per_s = numbers[3];
		renew_reserve(sim);
	} else if (sscanf(line, "alternate %ld %ld %d %d %d", &at_ms, &phase_ms,
			  &numbers[0], &numbers[1], &numbers[2]) == 5) {
		add_alternation(sim, at_ms, phase_ms, numbers[0], numbers[1],
				numbers[2]);
	} else if (sscanf(line, "at %ld desire %15s %d", &at_ms, name,
			  &numbers[0]) == 3) {
		add_event(sim, at_ms, "desire", name, numbers[0]);
	} else if (sscanf(line, "at %ld %15s %d", &at_ms, what, &numbers[0]) ==
		   3) {
		add_event(sim, at_ms, what, "", numbers[0]);
	} else if (sscanf(line, "at %ld %15s", &at_ms, what) == 2) {
		add_event(sim, at_ms, what, "", 0);
	} else if (sscanf(line, "expect %23s %ld %ld", expectation.what,
			  &expectation.minimum, &expectation.maximum) == 3) {
		g_array_append_val(sim->expectations, expectation);
	} else if (sscanf(line, "end %ld", &sim->end_ms) != 1) {
		fail_msg("can't read \"%s\"", line);
	}
}

static sim_t *read_replay(const char *file)
{
	char *path = g_strconcat(
		WWH_SOURCE_DIR "/src/test_fleet_reserve/replay/", file, NULL);
	sim_t *sim = sim_new();
	char *text = NULL;
	char **lines;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (int32_t i = 0; lines[i] != NULL; i++)
		parse_line(sim, lines[i]);
	assert_true(sim->end_ms > 0 && sim->expectations->len > 0);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return sim;
}

/* All hosts are powered on at the start, spread over the pools. */
static void spread_hosts(sim_t *sim)
{
	for (int32_t i = 0; i < sim->initial_hosts; i++)
		sim->pools[i % sim->pool_count].hosts++;
}

static void change_hosts(sim_t *sim, int32_t change)
{
	while (change != 0) {
		sim_pool_t *chosen = &sim->pools[0];

		for (int32_t i = 1; i < sim->pool_count; i++) {
			if (sim->pools[i].hosts > chosen->hosts)
				chosen = &sim->pools[i];
		}
		chosen->hosts += change < 0 ? -1 : 1;
		change += change < 0 ? 1 : -1;
	}
}

static void apply_event(sim_t *sim, const sim_event_t *event)
{
	if (strcmp(event->what, "desire") == 0) {
		for (int32_t i = 0; i < sim->pool_count; i++) {
			sim_pool_t *pool = &sim->pools[i];

			if (strcmp(pool->name, event->name) == 0)
				pool->desired =
					MAX(event->value, pool->minimum);
		}
	} else if (strcmp(event->what, "lose") == 0) {
		change_hosts(sim, -event->value);
	} else if (strcmp(event->what, "regain") == 0) {
		change_hosts(sim, event->value);
	} else if (strcmp(event->what, "wave") == 0) {
		change_hosts(sim, sim->wave - event->value);
		sim->wave = event->value;
	} else if (strcmp(event->what, "new-holder") == 0) {
		renew_reserve(sim);
		sim->first_release_ms = -1;
	} else if (strcmp(event->what, "hand-over") == 0) {
		wwh_fleet_reserve_knowledge_t knowledge =
			wwh_fleet_reserve_knowledge(sim->reserve);

		renew_reserve(sim);
		wwh_fleet_reserve_restore(sim->reserve, &knowledge);
		sim->first_release_ms = -1;
	} else if (strcmp(event->what, "moves-fail") == 0) {
		sim->moves_fail = event->value;
	} else if (strcmp(event->what, "unobserved") == 0) {
		sim->unobserved = event->value;
	} else {
		fail_msg("no event \"%s\"", event->what);
	}
}

static void complete_moves(sim_t *sim)
{
	for (guint i = sim->moves->len; i-- > 0;) {
		const sim_move_t *move =
			&g_array_index(sim->moves, sim_move_t, i);

		if (move->at_ms > sim->now_ms)
			continue;
		if (move->pool < 0) {
			sim->standby++;
		} else {
			sim->pools[move->pool].arriving--;
			sim->pools[move->pool].hosts++;
		}
		g_array_remove_index(sim->moves, i);
	}
}

static sim_pool_t *find_pool(sim_t *sim, bool lacking)
{
	for (int32_t i = 0; i < sim->pool_count; i++) {
		sim_pool_t *pool = &sim->pools[i];
		int32_t surplus = pool->hosts + pool->arriving - pool->desired;

		if (lacking ? surplus < 0 : surplus > 0 && pool->hosts > 0)
			return pool;
	}
	return NULL;
}

static void start_move(sim_t *sim, sim_pool_t *from, sim_pool_t *to)
{
	sim_move_t move = { .at_ms = sim->now_ms + MOVE_MS, .pool = -1 };

	if (sim->moves_fail)
		return;
	if (from != NULL)
		from->hosts--;
	else
		sim->standby--;
	if (to != NULL) {
		to->arriving++;
		move.pool = (int32_t)(to - sim->pools);
	}
	g_array_append_val(sim->moves, move);
}

static wwh_fleet_hosts_t count_hosts(const sim_t *sim)
{
	wwh_fleet_hosts_t hosts = {
		.largest_rack = sim->rack_size,
		.wave_held = sim->wave,
		.wave_limit = sim->wave,
	};

	for (int32_t i = 0; i < sim->pool_count; i++) {
		const sim_pool_t *pool = &sim->pools[i];
		int32_t count = pool->hosts + pool->arriving;

		hosts.usable += count;
		hosts.lacking += MAX(0, pool->desired - count);
		hosts.coming += MAX(0, MIN(pool->hosts, count - pool->desired));
	}
	return hosts;
}

static void order_moves(sim_t *sim)
{
	int32_t callable = wwh_fleet_reserve_callable(sim->reserve);
	int32_t releasable = wwh_fleet_reserve_releasable(sim->reserve);

	int32_t orders = MAX(MAX_MOVES_IN_FLIGHT,
			     sim->options.releases_per_s * STEP_MS / 1000);

	for (int32_t n = 0; n < orders; n++) {
		sim_pool_t *from = find_pool(sim, false);
		sim_pool_t *to = find_pool(sim, true);

		if (to != NULL && from != NULL) {
			start_move(sim, from, to);
		} else if (to != NULL && sim->standby > 0 && callable-- > 0) {
			wwh_fleet_reserve_handle_call(sim->reserve);
			sim->called++;
			start_move(sim, NULL, to);
		} else if (to == NULL && from != NULL && releasable-- > 0) {
			wwh_fleet_reserve_handle_release(sim->reserve);
			sim->released++;
			if (sim->first_release_ms < 0)
				sim->first_release_ms = sim->now_ms;
			start_move(sim, from, NULL);
		}
	}
}

static void account(sim_t *sim)
{
	int32_t desired = 0;
	int32_t hosts = 0;

	for (int32_t i = 0; i < sim->pool_count; i++) {
		const sim_pool_t *pool = &sim->pools[i];

		desired += pool->desired;
		hosts += pool->hosts + pool->arriving;
		sim->lasting += pool->hosts + pool->arriving < pool->minimum;
	}
	sim->paid_host_ms += (int64_t)hosts * STEP_MS;
	sim->short_host_ms += (int64_t)MAX(0, desired - hosts) * STEP_MS;
}

static void run_step(sim_t *sim)
{
	wwh_fleet_hosts_t hosts;

	for (guint i = 0; i < sim->events->len; i++) {
		const sim_event_t *event =
			&g_array_index(sim->events, sim_event_t, i);

		if (event->at_ms == sim->now_ms)
			apply_event(sim, event);
	}
	complete_moves(sim);
	account(sim);
	if (sim->unobserved) {
		wwh_fleet_reserve_interrupt(sim->reserve);
		return;
	}
	for (int32_t i = 0; i < sim->pool_count; i++)
		wwh_fleet_reserve_add_pool(sim->reserve, sim->pools[i].name,
					   sim->pools[i].desired,
					   sim->pools[i].minimum);
	hosts = count_hosts(sim);
	wwh_fleet_reserve_update(sim->reserve, &hosts, sim->now_ms);
	order_moves(sim);
}

static int64_t result_of(const sim_t *sim, const char *what)
{
	if (strcmp(what, "released") == 0)
		return sim->released;
	if (strcmp(what, "called") == 0)
		return sim->called;
	if (strcmp(what, "short_host_s") == 0)
		return sim->short_host_ms / 1000;
	if (strcmp(what, "first_release_ms") == 0)
		return sim->first_release_ms;
	if (strcmp(what, "available") == 0)
		return wwh_fleet_reserve_state(sim->reserve).available;
	if (strcmp(what, "paid_host_s") == 0)
		return sim->paid_host_ms / 1000;
	if (strcmp(what, "lasting") == 0)
		return sim->lasting;
	fail_msg("no result \"%s\"", what);
	return 0;
}

void replay_run(const char *file)
{
	sim_t *sim = read_replay(file);

	spread_hosts(sim);
	for (; sim->now_ms < sim->end_ms; sim->now_ms += STEP_MS)
		run_step(sim);
	for (guint i = 0; i < sim->expectations->len; i++) {
		const sim_expectation_t *expectation =
			&g_array_index(sim->expectations, sim_expectation_t, i);
		int64_t result = result_of(sim, expectation->what);

		print_message("%s: %s %ld\n", file, expectation->what, result);
		if (result < expectation->minimum ||
		    result > expectation->maximum)
			fail_msg("%s: %s is %ld, expected %ld to %ld", file,
				 expectation->what, result,
				 expectation->minimum, expectation->maximum);
	}
	sim_delete(sim);
}
