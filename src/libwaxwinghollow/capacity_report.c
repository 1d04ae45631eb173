#include <json-glib/json-glib.h>

#include "waxwinghollow/capacity.h"

static void append_option(GString *text, const wwh_capacity_option_t *option,
			  int32_t held_back);
static void add_pool(JsonBuilder *builder, const wwh_fleet_view_t *view,
		     int32_t pool);
static void add_option(JsonBuilder *builder,
		       const wwh_capacity_option_t *option);
static void add_int(JsonBuilder *builder, const char *name, int64_t value);
static void add_string(JsonBuilder *builder, const char *name,
		       const char *value);

char *wwh_capacity_text(const wwh_fleet_view_t *view)
{
	GString *text = g_string_new(
		"pool                 workers serving  out failed  may lose  "
		"held back for  room  limit\n");
	int32_t pool_count = wwh_fleet_pool_count(view);

	for (int32_t i = 0; i < pool_count; i++) {
		wwh_capacity_t capacity = wwh_capacity_of(view, i);
		wwh_capacity_option_t options[WWH_DOMAIN_COUNT];

		g_string_append_printf(
			text,
			"%-20s %7d %7d %4d %6d  %8d  %4d %-8s  %4d  %s%s\n",
			wwh_fleet_pool(view, i)->id, capacity.size,
			capacity.serving, capacity.out, capacity.failed,
			capacity.limit, capacity.held_back,
			wwh_domain_names[capacity.reserve], capacity.room,
			wwh_constraint_names[capacity.binding],
			capacity.survives ? ""
			: capacity.holds  ? "  next failure breaks the budget"
					  : "  over the budget");
		wwh_capacity_options(view, i, options);
		for (int32_t d = 0; d < (int32_t)capacity.reserve; d++)
			append_option(text, &options[d],
				      options[capacity.reserve].held_back);
	}
	return g_string_free(text, FALSE);
}

char *wwh_capacity_json(const wwh_fleet_view_t *view)
{
	JsonBuilder *builder = json_builder_new();
	int32_t pool_count = wwh_fleet_pool_count(view);
	JsonNode *root;
	char *text;

	json_builder_begin_array(builder);
	for (int32_t i = 0; i < pool_count; i++)
		add_pool(builder, view, i);
	json_builder_end_array(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

static void append_option(GString *text, const wwh_capacity_option_t *option,
			  int32_t held_back)
{
	g_string_append_printf(
		text,
		"    reserve %s: %d fewer held back; then a rack's failure in "
		"a full wave breaks the budget by %d, a zone's by %d\n",
		wwh_domain_names[option->reserve],
		held_back - option->held_back,
		option->breach_workers[WWH_DOMAIN_RACK],
		option->breach_workers[WWH_DOMAIN_ZONE]);
}

static void add_pool(JsonBuilder *builder, const wwh_fleet_view_t *view,
		     int32_t pool)
{
	wwh_capacity_t capacity = wwh_capacity_of(view, pool);
	wwh_capacity_option_t options[WWH_DOMAIN_COUNT];

	wwh_capacity_options(view, pool, options);
	json_builder_begin_object(builder);
	add_string(builder, "pool", wwh_fleet_pool(view, pool)->id);
	add_int(builder, "workers", capacity.size);
	add_int(builder, "serving", capacity.serving);
	add_int(builder, "out", capacity.out);
	add_int(builder, "failed", capacity.failed);
	add_int(builder, "may_lose", capacity.limit);
	add_int(builder, "held_back", capacity.held_back);
	add_string(builder, "held_back_for",
		   wwh_domain_names[capacity.reserve]);
	add_int(builder, "room", capacity.room);
	add_string(builder, "limit", wwh_constraint_names[capacity.binding]);
	json_builder_set_member_name(builder, "holds");
	json_builder_add_boolean_value(builder, capacity.holds);
	json_builder_set_member_name(builder, "survives");
	json_builder_add_boolean_value(builder, capacity.survives);
	json_builder_set_member_name(builder, "options");
	json_builder_begin_array(builder);
	for (int32_t d = 0; d < WWH_DOMAIN_COUNT; d++)
		add_option(builder, &options[d]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
}

static void add_option(JsonBuilder *builder,
		       const wwh_capacity_option_t *option)
{
	json_builder_begin_object(builder);
	add_string(builder, "reserve", wwh_domain_names[option->reserve]);
	add_int(builder, "held_back", option->held_back);
	add_int(builder, "out_at_once", option->out_at_once);
	add_int(builder, "rack_breaks_by",
		option->breach_workers[WWH_DOMAIN_RACK]);
	add_int(builder, "zone_breaks_by",
		option->breach_workers[WWH_DOMAIN_ZONE]);
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
