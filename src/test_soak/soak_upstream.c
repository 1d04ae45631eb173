#include "soak_upstream.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 20
#define ENTRY_EXPIRY_MS (3 * SOAK_HEARTBEAT_MS)
#define UPSTREAMS_PER_RACK 8
/* An incarnation's clock begins here, so that it differs from all others. */
#define CLOCK_START_MS 1000
#define DRAIN_MS 3000
#define PERMILLE 1000

int64_t soak_upstream_clock_ms(const soak_upstream_t *upstream)
{
	int64_t now_ms = soak_now_ms();

	return now_ms - upstream->born_ms + CLOCK_START_MS -
	       upstream->clock_behind_ms -
	       (now_ms - upstream->clock_slow_since_ms) *
		       upstream->clock_slow_permille / PERMILLE;
}

int32_t soak_upstream_rack(const soak_upstream_t *upstream)
{
	return upstream->index / UPSTREAMS_PER_RACK;
}

const char *soak_upstream_born_field(const soak_upstream_t *upstream,
				     char text[SOAK_BORN_CHARS])
{
	text[0] = '\0';
	if (!soak.options.no_born)
		g_snprintf(text, SOAK_BORN_CHARS, ",\"born\":%" G_GINT64_FORMAT,
			   upstream->born_wall_ms);
	return text;
}

static void announce(soak_upstream_t *upstream)
{
	char born[SOAK_BORN_CHARS];
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"" SOAK_LOOPBACK
		":%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"%s\",\"coldLeftMs\":0,%s\"capacity\":{\"cpu\":"
		"32000,\"memMb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-%d\"],"
		"\"clockMs\":%" G_GINT64_FORMAT
		",\"sequence\":%" G_GINT64_FORMAT "%s}",
		soak_pool_names[upstream->pool],
		soak_proxy_port(upstream->proxy),
		soak_zone_names[upstream->index % SOAK_ZONES],
		upstream->draining ? "draining" : "ready",
		upstream->draining ? "\"remainingMs\":3000," : "",
		soak_upstream_rack(upstream), soak_upstream_clock_ms(upstream),
		++upstream->sequence, soak_upstream_born_field(upstream, born));

	if (!soak_store_is_down())
		soak_store_put("keyed.servers", upstream->id, text);
	upstream->next_beat_ms = soak_now_ms() + SOAK_HEARTBEAT_MS;
	upstream->is_listed = true;
	g_free(text);
}

static void end_run(soak_upstream_t *upstream, guint index, const char *how,
		    bool is_listed)
{
	soak_active_t *active = g_ptr_array_index(upstream->active, index);
	soak_run_t *run = active->entry;
	bool is_planted =
		upstream->index < SOAK_POOLS && strcmp(how, "done") == 0;
	bool loses = is_planted && soak.options.plant == SOAK_PLANT_LOST_END;
	bool lies = is_planted && soak.options.plant == SOAK_PLANT_FALSE_END;

	run->ended_ms = soak_now_ms();
	run->how = how;
	run->listed_how = how;
	if (lies)
		run->how = "failed";
	if (soak.options.plant == SOAK_PLANT_HIDDEN_FAILURE &&
	    strcmp(how, "failed") == 0)
		run->listed_how = "lapsed";
	soak_record("upstream %s: run %" G_GINT64_FORMAT " of %s ends: %s",
		    run->incarnation, run->run, run->task, how);
	soak_check_end(run);
	if (is_listed) {
		run->end_number = ++upstream->ends;
		if (loses)
			run->acked_ms = run->ended_ms;
		else
			g_ptr_array_add(upstream->ended, run);
		soak_orders_note_highest(upstream, active->task, active->run);
	}
	g_ptr_array_remove_index(upstream->active, index);
	g_free(active->task);
	g_free(active);
}

static void remove_entry(soak_upstream_t *upstream)
{
	soak_store_put("keyed.servers", upstream->id, NULL);
	soak_record("store: entry of upstream %s is removed", upstream->id);
	upstream->down_since_ms = 0;
	upstream->is_listed = false;
}

/* While it doesn't reach the store, its entry expires. */
static void beat(soak_upstream_t *upstream)
{
	int64_t now_ms = soak_now_ms();

	if (now_ms >= upstream->isolated_until_ms) {
		if (now_ms >= upstream->next_beat_ms)
			announce(upstream);
	} else if (upstream->is_listed && !soak_store_is_down() &&
		   now_ms - upstream->next_beat_ms + SOAK_HEARTBEAT_MS >=
			   ENTRY_EXPIRY_MS) {
		remove_entry(upstream);
	}
}

void soak_upstream_isolate(soak_upstream_t *upstream, int64_t duration_ms)
{
	upstream->isolated_until_ms = soak_now_ms() + duration_ms;
}

void soak_upstream_slow_clock(soak_upstream_t *upstream, int32_t permille)
{
	int64_t now_ms = soak_now_ms();

	upstream->clock_behind_ms += (now_ms - upstream->clock_slow_since_ms) *
				     upstream->clock_slow_permille / PERMILLE;
	upstream->clock_slow_since_ms = now_ms;
	upstream->clock_slow_permille = permille;
}

/* The work that is left is done later. */
static void delay_run(soak_active_t *active, int64_t ms)
{
	if (active->entry->due_ms < INT64_MAX - ms)
		active->entry->due_ms += ms;
	if (active->stop_ms != 0)
		active->stop_ms += ms;
}

void soak_upstream_halt(soak_upstream_t *upstream, int64_t duration_ms)
{
	if (!upstream->up || upstream->halted_until_ms > soak_now_ms())
		return;
	soak_record("upstream %s stands still for %" G_GINT64_FORMAT " ms",
		    upstream->id, duration_ms);
	upstream->halted_until_ms = soak_now_ms() + duration_ms;
	soak_upstream_isolate(upstream, duration_ms);
	for (guint i = 0; i < upstream->active->len; i++)
		delay_run(g_ptr_array_index(upstream->active, i), duration_ms);
}

/*
 * What a halted upstream runs does no work either, so a run whose lease lapses
 * meanwhile, to be ended once the process goes on, counts as ended then.
 */
static const char *end_of(const soak_upstream_t *upstream,
			  const soak_active_t *active, bool lapsed)
{
	int64_t now_ms = soak_now_ms();
	bool halted = now_ms < upstream->halted_until_ms;

	if (!halted && active->stop_ms != 0 && now_ms >= active->stop_ms)
		return "stopped";
	if (!halted && now_ms >= active->entry->due_ms)
		return active->entry->due_how;
	return lapsed ? "lapsed" : NULL;
}

static void run_upstream(soak_upstream_t *upstream)
{
	int64_t now_ms = soak_now_ms();
	bool lapsed;

	if (!upstream->up) {
		if (upstream->down_since_ms != 0 && !soak_store_is_down() &&
		    now_ms - upstream->down_since_ms >= ENTRY_EXPIRY_MS)
			remove_entry(upstream);
		return;
	}
	beat(upstream);
	lapsed = upstream->lease_ms != 0 &&
		 soak_upstream_clock_ms(upstream) >= upstream->lease_ms;
	for (guint i = 0; i < upstream->active->len;) {
		const char *how =
			end_of(upstream, g_ptr_array_index(upstream->active, i),
			       lapsed);

		if (how != NULL)
			end_run(upstream, i, how, true);
		else
			i++;
	}
	for (guint i = 0; lapsed && i < upstream->ended->len; i++) {
		soak_run_t *run = g_ptr_array_index(upstream->ended, i);

		run->lapsed_unacked = true;
	}
	if (now_ms >= upstream->halted_until_ms)
		soak_orders_answer_polls(upstream);
}

static void run_all(void *data)
{
	(void)data;
	for (int32_t i = 0; i < soak.options.upstreams; i++)
		run_upstream(&soak.upstreams[i]);
}

/* Without a listener connections are refused, else calls get no answer. */
static void terminate(soak_upstream_t *upstream, const char *how, bool silent)
{
	while (upstream->active->len > 0)
		end_run(upstream, 0, how, false);
	for (guint i = 0; i < upstream->polls->len; i++)
		g_free(g_ptr_array_index(upstream->polls, i));
	g_ptr_array_set_size(upstream->polls, 0);
	while (upstream->ended->len > 0)
		soak_orders_forget_end(upstream, 0);
	if (!silent)
		g_clear_pointer(&upstream->http, evhttp_free);
	upstream->up = false;
	upstream->draining = false;
	upstream->down_since_ms = soak_now_ms();
}

void soak_upstream_crash(soak_upstream_t *upstream, bool silent)
{
	if (!upstream->up)
		return;
	soak_record("upstream %s/%d crashes%s", upstream->id,
		    upstream->incarnations, silent ? " silently" : "");
	terminate(upstream, "crashed", silent);
}

void soak_upstream_leave(soak_upstream_t *upstream)
{
	soak_record("upstream %s/%d leaves", upstream->id,
		    upstream->incarnations);
	terminate(upstream, "left", g_rand_boolean(soak.rand));
}

void soak_upstream_restart(soak_upstream_t *upstream, bool same_id)
{
	if (upstream->up || upstream->absence != NULL)
		return;
	g_clear_pointer(&upstream->http, evhttp_free);
	upstream->incarnations++;
	if (!same_id) {
		if (upstream->down_since_ms != 0)
			remove_entry(upstream);
		g_snprintf(upstream->id, sizeof(upstream->id), "i-%03x%04x",
			   (unsigned)upstream->index & 0xfff,
			   g_rand_int(soak.rand) & 0xffff);
	}
	upstream->down_since_ms = 0;
	upstream->born_wall_ms = soak_wall_ms();
	upstream->born_ms = soak_now_ms();
	upstream->token = 0;
	upstream->lease_ms = 0;
	upstream->sequence = 0;
	upstream->ends = 0;
	upstream->late_until_ms = 0;
	upstream->isolated_until_ms = 0;
	upstream->halted_until_ms = 0;
	upstream->clock_slow_permille = 0;
	upstream->clock_behind_ms = 0;
	upstream->disorder = SOAK_UPSTREAM_SOUND;
	g_hash_table_remove_all(upstream->highest);
	upstream->http =
		soak_listen(&upstream->port, soak_orders_serve, upstream);
	if (upstream->proxy == NULL)
		upstream->proxy = soak_proxy_new(upstream->port);
	upstream->up = true;
	soak_record("upstream %s/%d starts at port %d", upstream->id,
		    upstream->incarnations, upstream->port);
	announce(upstream);
}

void soak_upstream_take_address(soak_upstream_t *upstream,
				soak_upstream_t *former, bool resets)
{
	soak_proxy_t *proxy = former->proxy;

	if (upstream == former || !upstream->up || upstream->draining)
		return;
	soak_record("upstream %s takes the address of %s, which runs on",
		    upstream->id, former->id);
	soak_upstream_crash(upstream, false);
	former->proxy = upstream->proxy;
	upstream->proxy = proxy;
	soak_proxy_set_target(former->proxy, former->port, true);
	soak_proxy_set_target(upstream->proxy, upstream->port, resets);
	soak_upstream_restart(upstream, false);
}

static void end_drained(void *data)
{
	soak_upstream_t *upstream = data;

	if (!upstream->draining)
		return;
	soak_upstream_crash(upstream, false);
	remove_entry(upstream);
	soak_upstream_restart(upstream, false);
}

void soak_upstream_drain(soak_upstream_t *upstream)
{
	if (!upstream->up || upstream->draining)
		return;
	soak_record("upstream %s/%d drains", upstream->id,
		    upstream->incarnations);
	upstream->draining = true;
	announce(upstream);
	soak_after(DRAIN_MS + SOAK_TASK_MAX_MS, end_drained, upstream);
}

void soak_upstreams_start(void)
{
	soak.upstreams = g_new0(soak_upstream_t, (gsize)soak.options.upstreams);
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		soak_upstream_t *upstream = &soak.upstreams[i];

		upstream->index = i;
		upstream->pool = i % SOAK_POOLS;
		g_snprintf(upstream->host, sizeof(upstream->host), "m-%04d", i);
		upstream->active = g_ptr_array_new();
		upstream->ended = g_ptr_array_new();
		upstream->polls = g_ptr_array_new();
		upstream->highest = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		soak_upstream_restart(upstream, false);
	}
	soak_every(TICK_MS, run_all, NULL);
}
