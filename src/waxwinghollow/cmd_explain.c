#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "commands.h"

/* A log line about the requested id. */
typedef struct {
	int64_t wall_ms;
	char *node;
	char *event;
	char *id;
	char *detail;
	char *line; /* the JSON object as read */
} log_entry_t;

static bool read_file(const char *path, const char *id, GPtrArray *entries);
static log_entry_t *parse_entry(const char *line, const char *id);
static bool is_about(const char *id, const char *line_id, const char *detail);
static const char *string_member(JsonObject *object, const char *name);
static void log_entry_free(gpointer data);
static gint compare_by_time(gconstpointer a, gconstpointer b);
static void print_entries(const GPtrArray *entries, bool as_json);

int wwh_cmd_explain(int argc, char **argv)
{
	gboolean as_json = FALSE;
	const GOptionEntry options[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json,
		  "print the log lines as JSON", NULL },
		{ NULL },
	};
	GPtrArray *entries;
	int code = WWH_EXIT_OK;

	if (!wwh_cli_parse_without_server(
		    &argc, &argv,
		    "ID FILE...\n\nTells what the logs of all "
		    "processes say of a job, a task, a queue or an "
		    "upstream, in order of time.",
		    options))
		return WWH_EXIT_USAGE;
	if (argc < 3) {
		fprintf(stderr, "explain: expected ID FILE...\n");
		return WWH_EXIT_USAGE;
	}
	entries = g_ptr_array_new_with_free_func(log_entry_free);
	for (int i = 2; i < argc; i++) {
		if (!read_file(argv[i], argv[1], entries))
			code = WWH_EXIT_BAD_INPUT;
	}
	g_ptr_array_sort(entries, compare_by_time);
	print_entries(entries, as_json);
	if (code == WWH_EXIT_OK && entries->len == 0) {
		fprintf(stderr, "explain: no line is about %s\n", argv[1]);
		code = WWH_EXIT_FAILED;
	}
	g_ptr_array_unref(entries);
	return code;
}

static bool read_file(const char *path, const char *id, GPtrArray *entries)
{
	GError *error = NULL;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s: %s\n", path, error->message);
		g_error_free(error);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	for (int32_t i = 0; lines[i] != NULL; i++) {
		log_entry_t *entry;

		/* Most lines have other ids, and parsing JSON is expensive. */
		if (strstr(lines[i], id) == NULL)
			continue;
		entry = parse_entry(lines[i], id);
		if (entry != NULL)
			g_ptr_array_add(entries, entry);
	}
	g_strfreev(lines);
	return true;
}

/* Returns NULL if line is not a log line or is not about id. */
static log_entry_t *parse_entry(const char *line, const char *id)
{
	const char *json = strchr(line, '{');
	JsonParser *parser = json_parser_new();
	log_entry_t *found = NULL;
	JsonObject *object;

	if (json != NULL &&
	    json_parser_load_from_data(parser, json, -1, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		object = json_node_get_object(json_parser_get_root(parser));
		if (is_about(id, string_member(object, "id"),
			     string_member(object, "detail"))) {
			found = g_new0(log_entry_t, 1);
			found->wall_ms =
				json_object_get_int_member_with_default(object,
									"t", 0);
			found->node = g_strdup(string_member(object, "node"));
			found->event = g_strdup(string_member(object, "event"));
			found->id = g_strdup(string_member(object, "id"));
			found->detail =
				g_strdup(string_member(object, "detail"));
			found->line = g_strdup(json);
		}
	}
	g_object_unref(parser);
	return found;
}

/*
 * A line is about id if it has that id, the id of one of its tasks ("ID.TASK"),
 * or the id in its detail.
 */
static bool is_about(const char *id, const char *line_id, const char *detail)
{
	size_t size = strlen(id);

	if (strncmp(line_id, id, size) == 0 &&
	    (line_id[size] == '\0' || line_id[size] == '.'))
		return true;
	return strstr(detail, id) != NULL;
}

static const char *string_member(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static void log_entry_free(gpointer data)
{
	log_entry_t *entry = data;

	g_free(entry->node);
	g_free(entry->event);
	g_free(entry->id);
	g_free(entry->detail);
	g_free(entry->line);
	g_free(entry);
}

static gint compare_by_time(gconstpointer a, gconstpointer b)
{
	const log_entry_t *left = *(log_entry_t *const *)a;
	const log_entry_t *right = *(log_entry_t *const *)b;

	return left->wall_ms < right->wall_ms ? -1
					      : left->wall_ms > right->wall_ms;
}

static void print_entries(const GPtrArray *entries, bool as_json)
{
	for (guint i = 0; i < entries->len; i++) {
		const log_entry_t *entry = g_ptr_array_index(entries, i);
		const log_entry_t *first = g_ptr_array_index(entries, 0);

		if (as_json)
			printf("%s\n", entry->line);
		else
			printf("%+8.3f s  %-14s %-16s %s  %s\n",
			       (double)(entry->wall_ms - first->wall_ms) / 1000,
			       entry->node, entry->event, entry->id,
			       entry->detail);
	}
}
