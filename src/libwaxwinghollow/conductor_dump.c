#include <json-glib/json-glib.h>

#include "private/conductor_state.h"

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value);
static void add_int(JsonBuilder *builder, const char *name, int64_t value);
static void add_actor(JsonBuilder *builder, const wwh_actor_t *actor);

char *wwh_conductor_dump(const wwh_conductor_t *conductor)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	add_int(builder, "in_flight", g_hash_table_size(conductor->origins));
	add_int(builder, "jobs", conductor->jobs->len);
	json_builder_set_member_name(builder, "waves");
	json_builder_begin_array(builder);
	for (guint i = 0; i < conductor->waves->len; i++) {
		const wwh_wave_run_t *run = conductor->waves->pdata[i];

		json_builder_begin_object(builder);
		add_string(builder, "wave", run->id);
		add_string(builder, "pool", run->pool);
		add_string(builder, "state",
			   wwh_chart_state_name(run->machine.chart,
						run->machine.state));
		add_int(builder, "out_at_once", run->out_at_once);
		add_int(builder, "failed", run->failed);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "workers");
	json_builder_begin_array(builder);
	for (guint i = 0; i < conductor->actors->len; i++)
		add_actor(builder, conductor->actors->pdata[i]);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

static void add_actor(JsonBuilder *builder, const wwh_actor_t *actor)
{
	json_builder_begin_object(builder);
	add_string(builder, "worker", actor->worker);
	add_string(builder, "for", wwh_grant_reason_names[actor->reason]);
	add_string(builder, "owner", actor->owner);
	add_int(builder, "grant", actor->grant);
	add_string(builder, "state",
		   wwh_chart_state_name(actor->machine.chart,
					actor->machine.state));
	if (actor->reason == WWH_GRANT_MOVE)
		add_string(builder, "move",
			   wwh_chart_state_name(actor->move.chart,
						actor->move.state));
	if (actor->query.is_known)
		add_string(builder, "platform",
			   wwh_worker_state_names[actor->query.status.state]);
	add_int(builder, "since_ms", actor->entered_ms);
	json_builder_end_object(builder);
}

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}
