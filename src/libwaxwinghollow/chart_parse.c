#include "waxwinghollow/chart.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "private/chart_model.h"
#include "private/json_text.h"

/*
 * json-glib recurses at each opening bracket, so a file of nothing but
 * brackets would overflow the stack.
 */
#define OPEN_BRACKET_LIMIT 4096
#define TEXT_LIMIT_BYTES (256 * 1024)

typedef struct {
	wwh_chart_t *chart;
	const wwh_chart_table_t *table; /* may be NULL */
	GString *errors;
} reader_t;

static const char *const chart_keys[] = { "name",   "initial", "final",
					  "events", "states",  NULL };
static const char *const state_keys[] = { "on", "ignore", "tags", NULL };
static const char *const transition_keys[] = { "guard", "action", "target",
					       NULL };

static void add_error(reader_t *reader, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
static bool within_limits(const char *text, size_t size);
static void check_keys(reader_t *reader, JsonObject *object,
		       const char *const *known, const char *where);
static const char *get_string_member(reader_t *reader, JsonObject *object,
				     const char *key, const char *where);
static JsonObject *get_object_member(reader_t *reader, JsonObject *object,
				     const char *key, const char *where);
static GPtrArray *get_names_member(reader_t *reader, JsonObject *object,
				   const char *key, const char *where);
static int32_t find_name(const GPtrArray *names, const char *name);
static GPtrArray *order_names(reader_t *reader, GPtrArray *names,
			      const char *const *expected,
			      int32_t expected_count, const char *what);
static void read_chart(reader_t *reader, JsonObject *root);
static void read_states(reader_t *reader, JsonObject *states);
static void read_state(reader_t *reader, int32_t state, JsonNode *node);
static void read_handlers(reader_t *reader, int32_t state, JsonObject *on);
static void read_transitions(reader_t *reader, int32_t state,
			     wwh_chart_handler_t *handler, JsonNode *node,
			     const char *where);
static void read_transition(reader_t *reader, int32_t state,
			    GArray *transitions, JsonNode *node,
			    const char *where);
static void find_guard(reader_t *reader, wwh_chart_transition_t *transition,
		       const char *where);
static void find_action(reader_t *reader, wwh_chart_transition_t *transition,
			const char *where);
static void read_ignored(reader_t *reader, int32_t state, JsonObject *object);
static void read_tags(reader_t *reader, int32_t state, JsonObject *object);
static void check_handlers(reader_t *reader);
static void check_reachable(reader_t *reader);
static void mark_targets(const wwh_chart_t *chart, int32_t state, bool *reached,
			 GArray *queue);
static void clear_transition(gpointer data);
static wwh_chart_handler_t *get_handler(const wwh_chart_t *chart, int32_t state,
					int32_t event);

wwh_status_t wwh_chart_parse(const char *text, size_t size,
			     const wwh_chart_table_t *table,
			     wwh_chart_t **chart, wwh_message_t *message)
{
	reader_t reader = { .table = table, .errors = g_string_new(NULL) };
	JsonParser *parser = json_parser_new();
	GError *error = NULL;
	wwh_status_t status = WWH_STATUS_OK;
	JsonNode *root = NULL;
	char *plain = wwh_json_blank_comments(text, size);

	reader.chart = g_new0(wwh_chart_t, 1);
	*chart = NULL;
	if (!within_limits(text, size))
		add_error(&reader, "more than %d brackets or %d bytes",
			  OPEN_BRACKET_LIMIT, TEXT_LIMIT_BYTES);
	else if (!json_parser_load_from_data(parser, plain, (gssize)size,
					     &error))
		add_error(&reader, "%s", error->message);
	else
		root = json_parser_get_root(parser);
	if (reader.errors->len == 0 && (!root || !JSON_NODE_HOLDS_OBJECT(root)))
		add_error(&reader, "the file is not a JSON object");
	if (reader.errors->len == 0)
		read_chart(&reader, json_node_get_object(root));
	if (reader.errors->len == 0) {
		*chart = reader.chart;
	} else {
		status = WWH_STATUS_BAD_INPUT;
		wwh_message_set(message, "chart %s: %s",
				reader.chart->name ? reader.chart->name : "?",
				reader.errors->str);
		wwh_chart_delete(reader.chart);
	}
	g_free(plain);
	g_clear_error(&error);
	g_string_free(reader.errors, TRUE);
	g_object_unref(parser);
	return status;
}

void wwh_chart_delete(wwh_chart_t *chart)
{
	size_t handler_count = 0;

	if (!chart)
		return;
	if (chart->handlers)
		handler_count = (size_t)chart->states->len * chart->events->len;
	for (size_t i = 0; i < handler_count; i++) {
		if (chart->handlers[i].transitions)
			g_array_unref(chart->handlers[i].transitions);
	}
	g_free(chart->handlers);
	g_free(chart->is_final);
	g_free(chart->tag_masks);
	if (chart->states)
		g_ptr_array_unref(chart->states);
	if (chart->events)
		g_ptr_array_unref(chart->events);
	if (chart->tags)
		g_ptr_array_unref(chart->tags);
	g_free(chart->name);
	g_free(chart);
}

static void add_error(reader_t *reader, const char *format, ...)
{
	va_list arguments;

	if (reader->errors->len > 0)
		g_string_append(reader->errors, "; ");
	va_start(arguments, format);
	g_string_append_vprintf(reader->errors, format, arguments);
	va_end(arguments);
}

static bool within_limits(const char *text, size_t size)
{
	int32_t brackets = 0;

	if (size > TEXT_LIMIT_BYTES)
		return false;
	for (size_t i = 0; i < size; i++) {
		if (text[i] == '{' || text[i] == '[')
			brackets++;
	}
	return brackets <= OPEN_BRACKET_LIMIT;
}

static void check_keys(reader_t *reader, JsonObject *object,
		       const char *const *known, const char *where)
{
	JsonObjectIter iter;
	const char *key;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &key, NULL)) {
		if (!g_strv_contains(known, key))
			add_error(reader, "%s: unknown key \"%s\"", where, key);
	}
}

static const char *get_string_member(reader_t *reader, JsonObject *object,
				     const char *key, const char *where)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node)
		return NULL;
	if (json_node_get_value_type(node) != G_TYPE_STRING) {
		add_error(reader, "%s: \"%s\" is not a string", where, key);
		return NULL;
	}
	return json_node_get_string(node);
}

static JsonObject *get_object_member(reader_t *reader, JsonObject *object,
				     const char *key, const char *where)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node)
		return NULL;
	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		add_error(reader, "%s: \"%s\" is not an object", where, key);
		return NULL;
	}
	return json_node_get_object(node);
}

/* Never returns NULL. Duplicate names are errors. */
static GPtrArray *get_names_member(reader_t *reader, JsonObject *object,
				   const char *key, const char *where)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	JsonNode *node = json_object_get_member(object, key);
	JsonArray *array;

	if (!node)
		return names;
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		add_error(reader, "%s: \"%s\" is not an array", where, key);
		return names;
	}
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *element = json_array_get_element(array, i);
		const char *name;

		if (json_node_get_value_type(element) != G_TYPE_STRING) {
			add_error(reader,
				  "%s: \"%s\" has an element that is not a "
				  "string",
				  where, key);
			continue;
		}
		name = json_node_get_string(element);
		if (find_name(names, name) >= 0)
			add_error(reader, "%s: duplicate \"%s\" in \"%s\"",
				  where, name, key);
		else
			g_ptr_array_add(names, g_strdup(name));
	}
	return names;
}

static int32_t find_name(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), name) == 0)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Returns names in the order of the module's array expected, or unchanged when
 * that is empty. Takes ownership of names.
 */
static GPtrArray *order_names(reader_t *reader, GPtrArray *names,
			      const char *const *expected,
			      int32_t expected_count, const char *what)
{
	GPtrArray *ordered;

	if (expected_count == 0)
		return names;
	ordered = g_ptr_array_new_with_free_func(g_free);
	for (int32_t i = 0; i < expected_count; i++) {
		g_ptr_array_add(ordered, g_strdup(expected[i]));
		if (find_name(names, expected[i]) < 0)
			add_error(reader,
				  "%s \"%s\" of the program is missing in the "
				  "chart",
				  what, expected[i]);
	}
	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);

		if (find_name(ordered, name) < 0)
			add_error(reader, "%s \"%s\" is unknown to the program",
				  what, name);
	}
	g_ptr_array_unref(names);
	return ordered;
}

static void read_chart(reader_t *reader, JsonObject *root)
{
	wwh_chart_t *chart = reader->chart;
	const wwh_chart_table_t none = { 0 };
	const wwh_chart_table_t *table = reader->table ? reader->table : &none;
	JsonObject *states = get_object_member(reader, root, "states", "chart");
	const char *initial =
		get_string_member(reader, root, "initial", "chart");
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *finals = get_names_member(reader, root, "final", "chart");
	GList *members = states ? json_object_get_members(states) : NULL;

	check_keys(reader, root, chart_keys, "chart");
	chart->name =
		g_strdup(get_string_member(reader, root, "name", "chart"));
	chart->runnable = reader->table != NULL;
	if (!chart->name)
		add_error(reader, "the chart has no name");
	for (GList *member = members; member; member = member->next)
		g_ptr_array_add(names, g_strdup(member->data));
	g_list_free(members);
	chart->states = order_names(reader, names, table->states,
				    table->state_count, "state");
	chart->events = order_names(
		reader, get_names_member(reader, root, "events", "chart"),
		table->events, table->event_count, "event");
	chart->tags = g_ptr_array_new_with_free_func(g_free);
	chart->is_final = g_new0(bool, chart->states->len + 1);
	chart->tag_masks = g_new0(uint32_t, chart->states->len + 1);
	chart->handlers = g_new0(wwh_chart_handler_t,
				 chart->states->len * chart->events->len + 1);
	chart->initial = initial ? find_name(chart->states, initial) : -1;
	if (chart->initial < 0)
		add_error(reader, "unknown initial state \"%s\"",
			  initial ? initial : "");
	for (guint i = 0; i < finals->len; i++) {
		const char *name = g_ptr_array_index(finals, i);
		int32_t state = find_name(chart->states, name);

		if (state < 0)
			add_error(reader, "unknown final state \"%s\"", name);
		else
			chart->is_final[state] = true;
	}
	g_ptr_array_unref(finals);
	if (states)
		read_states(reader, states);
	if (reader->errors->len > 0)
		return;
	check_handlers(reader);
	check_reachable(reader);
}

static void read_states(reader_t *reader, JsonObject *states)
{
	JsonObjectIter iter;
	JsonNode *node;
	const char *name;

	json_object_iter_init(&iter, states);
	while (json_object_iter_next(&iter, &name, &node)) {
		int32_t state = find_name(reader->chart->states, name);

		if (state >= 0)
			read_state(reader, state, node);
	}
}

static void read_state(reader_t *reader, int32_t state, JsonNode *node)
{
	const char *name = g_ptr_array_index(reader->chart->states, state);
	JsonObject *object;
	JsonObject *on;

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		add_error(reader, "state \"%s\" is not an object", name);
		return;
	}
	object = json_node_get_object(node);
	check_keys(reader, object, state_keys, name);
	read_tags(reader, state, object);
	on = get_object_member(reader, object, "on", name);
	if (on)
		read_handlers(reader, state, on);
	read_ignored(reader, state, object);
}

static void read_handlers(reader_t *reader, int32_t state, JsonObject *on)
{
	const char *state_name =
		g_ptr_array_index(reader->chart->states, state);
	JsonObjectIter iter;
	JsonNode *node;
	const char *name;

	json_object_iter_init(&iter, on);
	while (json_object_iter_next(&iter, &name, &node)) {
		int32_t event = find_name(reader->chart->events, name);
		char *where = g_strdup_printf("%s.%s", state_name, name);

		if (event < 0)
			add_error(reader, "%s: unknown event", where);
		else
			read_transitions(
				reader, state,
				get_handler(reader->chart, state, event), node,
				where);
		g_free(where);
	}
}

static void read_transitions(reader_t *reader, int32_t state,
			     wwh_chart_handler_t *handler, JsonNode *node,
			     const char *where)
{
	JsonArray *array;

	if (handler->transitions)
		return;
	handler->transitions =
		g_array_new(FALSE, TRUE, sizeof(wwh_chart_transition_t));
	g_array_set_clear_func(handler->transitions, clear_transition);
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		read_transition(reader, state, handler->transitions, node,
				where);
		return;
	}
	array = json_node_get_array(node);
	if (json_array_get_length(array) == 0)
		add_error(reader, "%s: empty array of transitions", where);
	for (guint i = 0; i < json_array_get_length(array); i++)
		read_transition(reader, state, handler->transitions,
				json_array_get_element(array, i), where);
}

static void read_transition(reader_t *reader, int32_t state,
			    GArray *transitions, JsonNode *node,
			    const char *where)
{
	wwh_chart_transition_t transition = { .target = state };
	JsonObject *object;
	const char *target;

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		add_error(reader, "%s: not an object", where);
		return;
	}
	object = json_node_get_object(node);
	check_keys(reader, object, transition_keys, where);
	target = get_string_member(reader, object, "target", where);
	if (target) {
		transition.target = find_name(reader->chart->states, target);
		if (transition.target < 0)
			add_error(reader, "%s: unknown state \"%s\"", where,
				  target);
	}
	transition.guard_name =
		g_strdup(get_string_member(reader, object, "guard", where));
	transition.action_name =
		g_strdup(get_string_member(reader, object, "action", where));
	find_guard(reader, &transition, where);
	find_action(reader, &transition, where);
	g_array_append_val(transitions, transition);
}

static void find_guard(reader_t *reader, wwh_chart_transition_t *transition,
		       const char *where)
{
	const wwh_chart_table_t *table = reader->table;

	if (!transition->guard_name || !table)
		return;
	for (int32_t i = 0; i < table->guard_count; i++) {
		if (strcmp(table->guards[i].name, transition->guard_name) == 0)
			transition->guard = table->guards[i].call;
	}
	if (!transition->guard)
		add_error(reader, "%s: unknown guard \"%s\"", where,
			  transition->guard_name);
}

static void find_action(reader_t *reader, wwh_chart_transition_t *transition,
			const char *where)
{
	const wwh_chart_table_t *table = reader->table;

	if (!transition->action_name || !table)
		return;
	for (int32_t i = 0; i < table->action_count; i++) {
		if (strcmp(table->actions[i].name, transition->action_name) ==
		    0)
			transition->action = table->actions[i].call;
	}
	if (!transition->action)
		add_error(reader, "%s: unknown action \"%s\"", where,
			  transition->action_name);
}

static void read_ignored(reader_t *reader, int32_t state, JsonObject *object)
{
	const char *state_name =
		g_ptr_array_index(reader->chart->states, state);
	GPtrArray *names =
		get_names_member(reader, object, "ignore", state_name);

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		int32_t event = find_name(reader->chart->events, name);
		wwh_chart_handler_t *handler;

		if (event < 0) {
			add_error(reader, "%s: ignores unknown event \"%s\"",
				  state_name, name);
			continue;
		}
		handler = get_handler(reader->chart, state, event);
		if (handler->transitions)
			add_error(reader, "%s: both handles and ignores \"%s\"",
				  state_name, name);
		handler->ignored = true;
	}
	g_ptr_array_unref(names);
}

static void read_tags(reader_t *reader, int32_t state, JsonObject *object)
{
	wwh_chart_t *chart = reader->chart;
	const char *state_name = g_ptr_array_index(chart->states, state);
	GPtrArray *names = get_names_member(reader, object, "tags", state_name);

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		int32_t tag = find_name(chart->tags, name);

		if (tag < 0) {
			tag = (int32_t)chart->tags->len;
			g_ptr_array_add(chart->tags, g_strdup(name));
		}
		if (tag >= WWH_CHART_TAG_LIMIT)
			add_error(reader, "more than %d tags",
				  WWH_CHART_TAG_LIMIT);
		else
			chart->tag_masks[state] |= UINT32_C(1) << tag;
	}
	g_ptr_array_unref(names);
}

static void check_handlers(reader_t *reader)
{
	wwh_chart_t *chart = reader->chart;

	for (guint s = 0; s < chart->states->len; s++) {
		for (guint e = 0; e < chart->events->len; e++) {
			wwh_chart_handler_t *handler =
				get_handler(chart, (int32_t)s, (int32_t)e);
			const char *state = g_ptr_array_index(chart->states, s);
			const char *event = g_ptr_array_index(chart->events, e);

			if (chart->is_final[s] && handler->transitions)
				add_error(reader,
					  "%s: final, but handles \"%s\"",
					  state, event);
			if (chart->is_final[s])
				handler->ignored = true;
			else if (!handler->ignored && !handler->transitions)
				add_error(reader,
					  "%s: neither handles nor ignores "
					  "\"%s\"",
					  state, event);
		}
	}
}

static void check_reachable(reader_t *reader)
{
	const wwh_chart_t *chart = reader->chart;
	bool *reached = g_new0(bool, chart->states->len + 1);
	GArray *queue = g_array_new(FALSE, FALSE, sizeof(int32_t));

	reached[chart->initial] = true;
	g_array_append_val(queue, chart->initial);
	for (guint i = 0; i < queue->len; i++)
		mark_targets(chart, g_array_index(queue, int32_t, i), reached,
			     queue);
	for (guint s = 0; s < chart->states->len; s++) {
		if (!reached[s])
			add_error(reader, "state \"%s\" can't be reached",
				  (const char *)g_ptr_array_index(chart->states,
								  s));
	}
	g_array_free(queue, TRUE);
	g_free(reached);
}

static void mark_targets(const wwh_chart_t *chart, int32_t state, bool *reached,
			 GArray *queue)
{
	for (guint e = 0; e < chart->events->len; e++) {
		GArray *transitions =
			get_handler(chart, state, (int32_t)e)->transitions;

		for (guint b = 0; transitions && b < transitions->len; b++) {
			int32_t target =
				g_array_index(transitions,
					      wwh_chart_transition_t, b)
					.target;

			if (reached[target])
				continue;
			reached[target] = true;
			g_array_append_val(queue, target);
		}
	}
}

static void clear_transition(gpointer data)
{
	wwh_chart_transition_t *transition = data;

	g_free(transition->guard_name);
	g_free(transition->action_name);
}

static wwh_chart_handler_t *get_handler(const wwh_chart_t *chart, int32_t state,
					int32_t event)
{
	return &chart->handlers[state * (int32_t)chart->events->len + event];
}
