#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "commands.h"

/* A line of a log that is about what was asked for. */
typedef struct {
	int64_t wall_ms;
	char *node;
	char *event;
	char *id;
	char *detail;
	char *line; /* as it was read */
} story_line_t;

static bool read_file(const char *path, const char *id, GPtrArray *story);
static story_line_t *read_line(const char *line, const char *id);
static bool is_about(const char *id, const char *line_id, const char *detail);
static const char *text_of(JsonObject *object, const char *name);
static void story_line_free(gpointer data);
static gint by_time(gconstpointer a, gconstpointer b);
static void print_story(const GPtrArray *story, bool as_json);

int wwh_cmd_explain(int argc, char **argv)
{
	gboolean as_json = FALSE;
	const GOptionEntry options[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json,
		  "the lines as they stand in the logs", NULL },
		{ NULL },
	};
	GPtrArray *story;
	int code = WWH_EXIT_OK;

	if (!wwh_cli_parse_plain(
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
	story = g_ptr_array_new_with_free_func(story_line_free);
	for (int i = 2; i < argc; i++) {
		if (!read_file(argv[i], argv[1], story))
			code = WWH_EXIT_BAD_INPUT;
	}
	g_ptr_array_sort(story, by_time);
	print_story(story, as_json);
	if (code == WWH_EXIT_OK && story->len == 0) {
		fprintf(stderr, "explain: no line is about %s\n", argv[1]);
		code = WWH_EXIT_FAILED;
	}
	g_ptr_array_unref(story);
	return code;
}

static bool read_file(const char *path, const char *id, GPtrArray *story)
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
		story_line_t *line;

		/* most lines are about others; parsing is dear */
		if (strstr(lines[i], id) == NULL)
			continue;
		line = read_line(lines[i], id);
		if (line != NULL)
			g_ptr_array_add(story, line);
	}
	g_strfreev(lines);
	return true;
}

/* NULL: isn't a line of the log, or is about something else. */
static story_line_t *read_line(const char *line, const char *id)
{
	const char *json = strchr(line, '{');
	JsonParser *parser = json_parser_new();
	story_line_t *found = NULL;
	JsonObject *object;

	if (json != NULL &&
	    json_parser_load_from_data(parser, json, -1, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		object = json_node_get_object(json_parser_get_root(parser));
		if (is_about(id, text_of(object, "id"),
			     text_of(object, "detail"))) {
			found = g_new0(story_line_t, 1);
			found->wall_ms =
				json_object_get_int_member_with_default(object,
									"t", 0);
			found->node = g_strdup(text_of(object, "node"));
			found->event = g_strdup(text_of(object, "event"));
			found->id = g_strdup(text_of(object, "id"));
			found->detail = g_strdup(text_of(object, "detail"));
			found->line = g_strdup(json);
		}
	}
	g_object_unref(parser);
	return found;
}

/* A job's lines are those of its tasks too. */
static bool is_about(const char *id, const char *line_id, const char *detail)
{
	size_t size = strlen(id);

	if (strncmp(line_id, id, size) == 0 &&
	    (line_id[size] == '\0' || line_id[size] == '.'))
		return true;
	return strstr(detail, id) != NULL;
}

static const char *text_of(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static void story_line_free(gpointer data)
{
	story_line_t *line = data;

	g_free(line->node);
	g_free(line->event);
	g_free(line->id);
	g_free(line->detail);
	g_free(line->line);
	g_free(line);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const story_line_t *left = *(story_line_t *const *)a;
	const story_line_t *right = *(story_line_t *const *)b;

	return left->wall_ms < right->wall_ms ? -1
					      : left->wall_ms > right->wall_ms;
}

static void print_story(const GPtrArray *story, bool as_json)
{
	for (guint i = 0; i < story->len; i++) {
		const story_line_t *line = g_ptr_array_index(story, i);
		const story_line_t *first = g_ptr_array_index(story, 0);

		if (as_json)
			printf("%s\n", line->line);
		else
			printf("%+8.3f s  %-14s %-16s %s  %s\n",
			       (double)(line->wall_ms - first->wall_ms) / 1000,
			       line->node, line->event, line->id, line->detail);
	}
}
