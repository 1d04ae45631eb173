#include "waxwinghollow/chart.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "private/chart_model.h"
#include "private/json_text.h"

/*
 * json-glib descends once a bracket; without a bound a file of brackets
 * alone overruns the stack.
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
static const char *const branch_keys[] = { "guard", "action", "target", NULL };

static void fail(reader_t *reader, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
static bool within_limits(const char *text, size_t size);
static void check_keys(reader_t *reader, JsonObject *object,
		       const char *const *known, const char *where);
static const char *string_member(reader_t *reader, JsonObject *object,
				 const char *key, const char *where);
static JsonObject *object_member(reader_t *reader, JsonObject *object,
				 const char *key, const char *where);
static GPtrArray *names_member(reader_t *reader, JsonObject *object,
			       const char *key, const char *where);
static int32_t index_of(const GPtrArray *names, const char *name);
static GPtrArray *ordered_names(reader_t *reader, GPtrArray *found,
				const char *const *given, int32_t given_count,
				const char *what);
static void read_chart(reader_t *reader, JsonObject *root);
static void read_states(reader_t *reader, JsonObject *states);
static void read_state(reader_t *reader, int32_t state, JsonNode *node);
static void read_answers(reader_t *reader, int32_t state, JsonObject *on);
static void read_branches(reader_t *reader, int32_t state,
			  wwh_chart_answer_t *answer, JsonNode *node,
			  const char *where);
static void read_branch(reader_t *reader, int32_t state, GArray *branches,
			JsonNode *node, const char *where);
static void find_guard(reader_t *reader, wwh_chart_branch_t *branch,
		       const char *where);
static void find_action(reader_t *reader, wwh_chart_branch_t *branch,
			const char *where);
static void read_ignored(reader_t *reader, int32_t state, JsonObject *object);
static void read_tags(reader_t *reader, int32_t state, JsonObject *object);
static void check_answers(reader_t *reader);
static void check_reachable(reader_t *reader);
static void mark_targets(const wwh_chart_t *chart, int32_t state, bool *reached,
			 GArray *open);
static void clear_branch(gpointer data);
static wwh_chart_answer_t *answer_of(const wwh_chart_t *chart, int32_t state,
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
		fail(&reader, "more than %d brackets or %d bytes",
		     OPEN_BRACKET_LIMIT, TEXT_LIMIT_BYTES);
	else if (!json_parser_load_from_data(parser, plain, (gssize)size,
					     &error))
		fail(&reader, "%s", error->message);
	else
		root = json_parser_get_root(parser);
	if (reader.errors->len == 0 && (!root || !JSON_NODE_HOLDS_OBJECT(root)))
		fail(&reader, "the file is not a JSON object");
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
	size_t answer_count = 0;

	if (!chart)
		return;
	if (chart->answers)
		answer_count = (size_t)chart->states->len * chart->events->len;
	for (size_t i = 0; i < answer_count; i++) {
		if (chart->answers[i].branches)
			g_array_unref(chart->answers[i].branches);
	}
	g_free(chart->answers);
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

static void fail(reader_t *reader, const char *format, ...)
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
	int32_t open = 0;

	if (size > TEXT_LIMIT_BYTES)
		return false;
	for (size_t i = 0; i < size; i++) {
		if (text[i] == '{' || text[i] == '[')
			open++;
	}
	return open <= OPEN_BRACKET_LIMIT;
}

static void check_keys(reader_t *reader, JsonObject *object,
		       const char *const *known, const char *where)
{
	JsonObjectIter iter;
	const char *key;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &key, NULL)) {
		if (!g_strv_contains(known, key))
			fail(reader, "%s: unknown key \"%s\"", where, key);
	}
}

static const char *string_member(reader_t *reader, JsonObject *object,
				 const char *key, const char *where)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node)
		return NULL;
	if (json_node_get_value_type(node) != G_TYPE_STRING) {
		fail(reader, "%s: \"%s\" is not a string", where, key);
		return NULL;
	}
	return json_node_get_string(node);
}

static JsonObject *object_member(reader_t *reader, JsonObject *object,
				 const char *key, const char *where)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node)
		return NULL;
	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		fail(reader, "%s: \"%s\" is not an object", where, key);
		return NULL;
	}
	return json_node_get_object(node);
}

/* Never NULL; names that stand twice are errors. */
static GPtrArray *names_member(reader_t *reader, JsonObject *object,
			       const char *key, const char *where)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	JsonNode *node = json_object_get_member(object, key);
	JsonArray *array;

	if (!node)
		return names;
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		fail(reader, "%s: \"%s\" is not an array", where, key);
		return names;
	}
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *element = json_array_get_element(array, i);
		const char *name;

		if (json_node_get_value_type(element) != G_TYPE_STRING) {
			fail(reader, "%s: \"%s\" holds no string", where, key);
			continue;
		}
		name = json_node_get_string(element);
		if (index_of(names, name) >= 0)
			fail(reader, "%s: \"%s\" stands twice in \"%s\"", where,
			     name, key);
		else
			g_ptr_array_add(names, g_strdup(name));
	}
	return names;
}

static int32_t index_of(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), name) == 0)
			return (int32_t)i;
	}
	return -1;
}

/* found in the order of the module's own array; takes found over. */
static GPtrArray *ordered_names(reader_t *reader, GPtrArray *found,
				const char *const *given, int32_t given_count,
				const char *what)
{
	GPtrArray *ordered;

	if (given_count == 0)
		return found;
	ordered = g_ptr_array_new_with_free_func(g_free);
	for (int32_t i = 0; i < given_count; i++) {
		g_ptr_array_add(ordered, g_strdup(given[i]));
		if (index_of(found, given[i]) < 0)
			fail(reader, "%s \"%s\" of the program is missing",
			     what, given[i]);
	}
	for (guint i = 0; i < found->len; i++) {
		const char *name = g_ptr_array_index(found, i);

		if (index_of(ordered, name) < 0)
			fail(reader, "%s \"%s\" is unknown to the program",
			     what, name);
	}
	g_ptr_array_unref(found);
	return ordered;
}

static void read_chart(reader_t *reader, JsonObject *root)
{
	wwh_chart_t *chart = reader->chart;
	const wwh_chart_table_t none = { 0 };
	const wwh_chart_table_t *table = reader->table ? reader->table : &none;
	JsonObject *states = object_member(reader, root, "states", "chart");
	const char *initial = string_member(reader, root, "initial", "chart");
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *finals = names_member(reader, root, "final", "chart");
	GList *members = states ? json_object_get_members(states) : NULL;

	check_keys(reader, root, chart_keys, "chart");
	chart->name = g_strdup(string_member(reader, root, "name", "chart"));
	chart->runnable = reader->table != NULL;
	if (!chart->name)
		fail(reader, "the chart has no name");
	for (GList *member = members; member; member = member->next)
		g_ptr_array_add(names, g_strdup(member->data));
	g_list_free(members);
	chart->states = ordered_names(reader, names, table->states,
				      table->state_count, "state");
	chart->events = ordered_names(
		reader, names_member(reader, root, "events", "chart"),
		table->events, table->event_count, "event");
	chart->tags = g_ptr_array_new_with_free_func(g_free);
	chart->is_final = g_new0(bool, chart->states->len + 1);
	chart->tag_masks = g_new0(uint32_t, chart->states->len + 1);
	chart->answers = g_new0(wwh_chart_answer_t,
				chart->states->len * chart->events->len + 1);
	chart->initial = initial ? index_of(chart->states, initial) : -1;
	if (chart->initial < 0)
		fail(reader, "unknown initial state \"%s\"",
		     initial ? initial : "");
	for (guint i = 0; i < finals->len; i++) {
		const char *name = g_ptr_array_index(finals, i);
		int32_t state = index_of(chart->states, name);

		if (state < 0)
			fail(reader, "unknown final state \"%s\"", name);
		else
			chart->is_final[state] = true;
	}
	g_ptr_array_unref(finals);
	if (states)
		read_states(reader, states);
	if (reader->errors->len > 0)
		return;
	check_answers(reader);
	check_reachable(reader);
}

static void read_states(reader_t *reader, JsonObject *states)
{
	JsonObjectIter iter;
	JsonNode *node;
	const char *name;

	json_object_iter_init(&iter, states);
	while (json_object_iter_next(&iter, &name, &node)) {
		int32_t state = index_of(reader->chart->states, name);

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
		fail(reader, "state \"%s\" is not an object", name);
		return;
	}
	object = json_node_get_object(node);
	check_keys(reader, object, state_keys, name);
	read_tags(reader, state, object);
	on = object_member(reader, object, "on", name);
	if (on)
		read_answers(reader, state, on);
	read_ignored(reader, state, object);
}

static void read_answers(reader_t *reader, int32_t state, JsonObject *on)
{
	const char *state_name =
		g_ptr_array_index(reader->chart->states, state);
	JsonObjectIter iter;
	JsonNode *node;
	const char *name;

	json_object_iter_init(&iter, on);
	while (json_object_iter_next(&iter, &name, &node)) {
		int32_t event = index_of(reader->chart->events, name);
		char *where = g_strdup_printf("%s.%s", state_name, name);

		if (event < 0)
			fail(reader, "%s: unknown event", where);
		else
			read_branches(reader, state,
				      answer_of(reader->chart, state, event),
				      node, where);
		g_free(where);
	}
}

static void read_branches(reader_t *reader, int32_t state,
			  wwh_chart_answer_t *answer, JsonNode *node,
			  const char *where)
{
	JsonArray *array;

	if (answer->branches)
		return;
	answer->branches = g_array_new(FALSE, TRUE, sizeof(wwh_chart_branch_t));
	g_array_set_clear_func(answer->branches, clear_branch);
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		read_branch(reader, state, answer->branches, node, where);
		return;
	}
	array = json_node_get_array(node);
	if (json_array_get_length(array) == 0)
		fail(reader, "%s: empty", where);
	for (guint i = 0; i < json_array_get_length(array); i++)
		read_branch(reader, state, answer->branches,
			    json_array_get_element(array, i), where);
}

static void read_branch(reader_t *reader, int32_t state, GArray *branches,
			JsonNode *node, const char *where)
{
	wwh_chart_branch_t branch = { .target = state };
	JsonObject *object;
	const char *target;

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		fail(reader, "%s: not an object", where);
		return;
	}
	object = json_node_get_object(node);
	check_keys(reader, object, branch_keys, where);
	target = string_member(reader, object, "target", where);
	if (target) {
		branch.target = index_of(reader->chart->states, target);
		if (branch.target < 0)
			fail(reader, "%s: unknown state \"%s\"", where, target);
	}
	branch.guard_name =
		g_strdup(string_member(reader, object, "guard", where));
	branch.action_name =
		g_strdup(string_member(reader, object, "action", where));
	find_guard(reader, &branch, where);
	find_action(reader, &branch, where);
	g_array_append_val(branches, branch);
}

static void find_guard(reader_t *reader, wwh_chart_branch_t *branch,
		       const char *where)
{
	const wwh_chart_table_t *table = reader->table;

	if (!branch->guard_name || !table)
		return;
	for (int32_t i = 0; i < table->guard_count; i++) {
		if (strcmp(table->guards[i].name, branch->guard_name) == 0)
			branch->guard = table->guards[i].call;
	}
	if (!branch->guard)
		fail(reader, "%s: unknown guard \"%s\"", where,
		     branch->guard_name);
}

static void find_action(reader_t *reader, wwh_chart_branch_t *branch,
			const char *where)
{
	const wwh_chart_table_t *table = reader->table;

	if (!branch->action_name || !table)
		return;
	for (int32_t i = 0; i < table->action_count; i++) {
		if (strcmp(table->actions[i].name, branch->action_name) == 0)
			branch->action = table->actions[i].call;
	}
	if (!branch->action)
		fail(reader, "%s: unknown action \"%s\"", where,
		     branch->action_name);
}

static void read_ignored(reader_t *reader, int32_t state, JsonObject *object)
{
	const char *state_name =
		g_ptr_array_index(reader->chart->states, state);
	GPtrArray *names = names_member(reader, object, "ignore", state_name);

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		int32_t event = index_of(reader->chart->events, name);
		wwh_chart_answer_t *answer;

		if (event < 0) {
			fail(reader, "%s: ignores unknown event \"%s\"",
			     state_name, name);
			continue;
		}
		answer = answer_of(reader->chart, state, event);
		if (answer->branches)
			fail(reader, "%s: both answers and ignores \"%s\"",
			     state_name, name);
		answer->ignored = true;
	}
	g_ptr_array_unref(names);
}

static void read_tags(reader_t *reader, int32_t state, JsonObject *object)
{
	wwh_chart_t *chart = reader->chart;
	const char *state_name = g_ptr_array_index(chart->states, state);
	GPtrArray *names = names_member(reader, object, "tags", state_name);

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		int32_t tag = index_of(chart->tags, name);

		if (tag < 0) {
			tag = (int32_t)chart->tags->len;
			g_ptr_array_add(chart->tags, g_strdup(name));
		}
		if (tag >= WWH_CHART_TAG_LIMIT)
			fail(reader, "more than %d tags", WWH_CHART_TAG_LIMIT);
		else
			chart->tag_masks[state] |= UINT32_C(1) << tag;
	}
	g_ptr_array_unref(names);
}

static void check_answers(reader_t *reader)
{
	wwh_chart_t *chart = reader->chart;

	for (guint s = 0; s < chart->states->len; s++) {
		for (guint e = 0; e < chart->events->len; e++) {
			wwh_chart_answer_t *answer =
				answer_of(chart, (int32_t)s, (int32_t)e);
			const char *state = g_ptr_array_index(chart->states, s);
			const char *event = g_ptr_array_index(chart->events, e);

			if (chart->is_final[s] && answer->branches)
				fail(reader, "%s: final, but answers \"%s\"",
				     state, event);
			if (chart->is_final[s])
				answer->ignored = true;
			else if (!answer->ignored && !answer->branches)
				fail(reader, "%s: no answer to \"%s\"", state,
				     event);
		}
	}
}

static void check_reachable(reader_t *reader)
{
	const wwh_chart_t *chart = reader->chart;
	bool *reached = g_new0(bool, chart->states->len + 1);
	GArray *open = g_array_new(FALSE, FALSE, sizeof(int32_t));

	reached[chart->initial] = true;
	g_array_append_val(open, chart->initial);
	for (guint i = 0; i < open->len; i++)
		mark_targets(chart, g_array_index(open, int32_t, i), reached,
			     open);
	for (guint s = 0; s < chart->states->len; s++) {
		if (!reached[s])
			fail(reader, "state \"%s\" can't be reached",
			     (const char *)g_ptr_array_index(chart->states, s));
	}
	g_array_free(open, TRUE);
	g_free(reached);
}

static void mark_targets(const wwh_chart_t *chart, int32_t state, bool *reached,
			 GArray *open)
{
	for (guint e = 0; e < chart->events->len; e++) {
		GArray *branches =
			answer_of(chart, state, (int32_t)e)->branches;

		for (guint b = 0; branches && b < branches->len; b++) {
			int32_t target =
				g_array_index(branches, wwh_chart_branch_t, b)
					.target;

			if (reached[target])
				continue;
			reached[target] = true;
			g_array_append_val(open, target);
		}
	}
}

static void clear_branch(gpointer data)
{
	wwh_chart_branch_t *branch = data;

	g_free(branch->guard_name);
	g_free(branch->action_name);
}

static wwh_chart_answer_t *answer_of(const wwh_chart_t *chart, int32_t state,
				     int32_t event)
{
	return &chart->answers[state * (int32_t)chart->events->len + event];
}
