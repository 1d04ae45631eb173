#include "waxwinghollow/planner.h"

#include <json-glib/json-glib.h>

#define MINUTE_MS 60000

typedef struct {
	int32_t workers;
	int64_t start_ms;
	int64_t end_ms;
	int32_t moves;
	GString *zones;
} batch_t;

static void collect_batch(const wwh_plan_t *plan, const wwh_fleet_view_t *view,
			  int32_t *at, batch_t *batch);
static void add_pool_json(JsonBuilder *builder, const wwh_plan_pool_t *pool,
			  const wwh_fleet_view_t *view);
static void add_step_json(JsonBuilder *builder, const wwh_plan_step_t *step,
			  const wwh_fleet_view_t *view);
static void add_int(JsonBuilder *builder, const char *name, int64_t value);
static void add_string(JsonBuilder *builder, const char *name,
		       const char *value);

char *wwh_plan_text(const wwh_plan_t *plan, const wwh_fleet_view_t *view)
{
	const wwh_plan_totals_t *totals = wwh_plan_totals(plan);
	GString *text = g_string_new(NULL);
	int32_t at = 0;

	g_string_append_printf(
		text,
		"workers %d, skipped %d, minutes %" G_GINT64_FORMAT
		", held back %d, moves %d (%d again, %d without room), "
		"limit %s\n",
		totals->workers, totals->skipped,
		totals->duration_ms / MINUTE_MS, totals->held_back,
		totals->moves, totals->again, totals->stranded,
		wwh_constraint_names[totals->binding]);
	g_string_append(text, "pool                 workers  at once  of most  "
			      "limit           held back  moves  minutes\n");
	for (int32_t i = 0; i < wwh_plan_pool_count(plan); i++) {
		const wwh_plan_pool_t *pool = wwh_plan_pool(plan, i);

		g_string_append_printf(
			text, "%-20s %7d  %7d  %7d  %-14s %10d  %5d  %7lld%s\n",
			wwh_fleet_pool(view, pool->pool)->id, pool->workers,
			pool->out_at_once, pool->most_at_once,
			wwh_constraint_names[pool->binding], pool->held_back,
			pool->moves, (long long)pool->duration_ms / MINUTE_MS,
			pool->blocked ? "  blocked" : "");
	}
	for (int32_t number = 1; at < wwh_plan_step_count(plan); number++) {
		batch_t batch = { .zones = g_string_new(NULL) };

		collect_batch(plan, view, &at, &batch);
		g_string_append_printf(
			text,
			"batch %d: %d workers in%s, minute %lld to %lld, "
			"moves %d\n",
			number, batch.workers, batch.zones->str,
			(long long)batch.start_ms / MINUTE_MS,
			(long long)batch.end_ms / MINUTE_MS, batch.moves);
		g_string_free(batch.zones, TRUE);
	}
	return g_string_free(text, FALSE);
}

char *wwh_plan_json(const wwh_plan_t *plan, const wwh_fleet_view_t *view)
{
	const wwh_plan_totals_t *totals = wwh_plan_totals(plan);
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	add_int(builder, "workers", totals->workers);
	add_int(builder, "skipped", totals->skipped);
	add_int(builder, "duration_ms", totals->duration_ms);
	add_int(builder, "end_ms", totals->end_ms);
	add_int(builder, "held_back", totals->held_back);
	add_int(builder, "moves", totals->moves);
	add_int(builder, "moves_again", totals->again);
	add_int(builder, "moves_without_room", totals->stranded);
	add_int(builder, "batches", totals->batches);
	add_string(builder, "limit", wwh_constraint_names[totals->binding]);
	json_builder_set_member_name(builder, "pools");
	json_builder_begin_array(builder);
	for (int32_t i = 0; i < wwh_plan_pool_count(plan); i++)
		add_pool_json(builder, wwh_plan_pool(plan, i), view);
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "steps");
	json_builder_begin_array(builder);
	for (int32_t i = 0; i < wwh_plan_step_count(plan); i++)
		add_step_json(builder, wwh_plan_step(plan, i), view);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* Sums the steps of the batch at *at and moves *at behind them. */
static void collect_batch(const wwh_plan_t *plan, const wwh_fleet_view_t *view,
			  int32_t *at, batch_t *batch)
{
	int32_t number = wwh_plan_step(plan, *at)->batch;
	bool *seen = g_new0(bool, wwh_fleet_zone_count(view) + 1);

	batch->start_ms = wwh_plan_step(plan, *at)->start_ms;
	while (*at < wwh_plan_step_count(plan)) {
		const wwh_plan_step_t *step = wwh_plan_step(plan, *at);
		int32_t zone = wwh_fleet_worker(view, step->worker)->zone;

		if (step->batch != number)
			break;
		batch->workers++;
		batch->moves += step->moves;
		batch->end_ms = MAX(batch->end_ms, step->end_ms);
		if (!seen[zone])
			g_string_append_printf(batch->zones, " %s",
					       wwh_fleet_zone(view, zone)->id);
		seen[zone] = true;
		(*at)++;
	}
	g_free(seen);
}

static void add_pool_json(JsonBuilder *builder, const wwh_plan_pool_t *pool,
			  const wwh_fleet_view_t *view)
{
	json_builder_begin_object(builder);
	add_string(builder, "pool", wwh_fleet_pool(view, pool->pool)->id);
	add_int(builder, "workers", pool->workers);
	add_int(builder, "skipped", pool->skipped);
	add_int(builder, "out_at_once", pool->out_at_once);
	add_int(builder, "most_at_once", pool->most_at_once);
	add_string(builder, "limit", wwh_constraint_names[pool->binding]);
	add_int(builder, "held_back", pool->held_back);
	add_int(builder, "moves", pool->moves);
	add_int(builder, "duration_ms", pool->duration_ms);
	add_int(builder, "end_ms", pool->end_ms);
	json_builder_set_member_name(builder, "blocked");
	json_builder_add_boolean_value(builder, pool->blocked);
	json_builder_end_object(builder);
}

static void add_step_json(JsonBuilder *builder, const wwh_plan_step_t *step,
			  const wwh_fleet_view_t *view)
{
	json_builder_begin_object(builder);
	add_string(builder, "worker", wwh_fleet_worker(view, step->worker)->id);
	add_int(builder, "batch", step->batch + 1);
	add_int(builder, "start_ms", step->start_ms);
	add_int(builder, "end_ms", step->end_ms);
	add_int(builder, "wait_ms", step->wait_ms);
	add_int(builder, "moves", step->moves);
	json_builder_end_object(builder);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}
