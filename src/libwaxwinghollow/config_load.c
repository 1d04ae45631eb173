#include "waxwinghollow/config.h"

#include <assert.h>
#include <string.h>

#include "private/config_csv.h"
#include "private/config_items.h"
#include "private/json_source.h"

/* What one load collects. */
typedef struct {
	wwh_config_t *config;
	GHashTable *places; /* item to wwh_item_location_t * */
	const char *inventory_file;
	bool rules_given;
	wwh_report_t report;
} loader_t;

static const wwh_item_kind_t inventory_kinds[] = {
	WWH_ITEM_WORKER,
	WWH_ITEM_MINION,
};
static const wwh_item_kind_t rules_kinds[] = {
	WWH_ITEM_POOL,	 WWH_ITEM_SERVICE, WWH_ITEM_TEAM,
	WWH_ITEM_WINDOW, WWH_ITEM_RULES,
};

static bool read_file(const char *path, wwh_config_text_t *text, char **content,
		      wwh_report_t *report);
static void load_json(loader_t *loader, const wwh_config_text_t *text,
		      const wwh_item_kind_t *kinds, int32_t kind_count);
static void load_section(loader_t *loader, const wwh_json_source_t *source,
			 wwh_item_kind_t kind);
static void load_item(loader_t *loader, const wwh_json_source_t *source,
		      wwh_item_kind_t kind, JsonNode *node, int32_t line);
static void check_sections(loader_t *loader, const wwh_json_source_t *source,
			   const wwh_item_kind_t *kinds, int32_t kind_count);
static void add_csv_item(wwh_item_kind_t kind, void *item, int32_t line,
			 void *client_data);
static void finish(loader_t *loader);
static void add_item(loader_t *loader, wwh_item_kind_t kind, void *item,
		     const char *file, int32_t line);
static gint compare_ids(gconstpointer a, gconstpointer b, gpointer client_data);
static void fill_minion_zones(wwh_config_t *config);

wwh_status_t wwh_config_load(wwh_config_t *config, const char *inventory_path,
			     const char *rules_path, wwh_config_error_t error,
			     void *client_data)
{
	wwh_report_t report = { error, client_data, 0 };
	wwh_config_text_t inventory = { 0 };
	wwh_config_text_t rules = { 0 };
	char *inventory_content = NULL;
	char *rules_content = NULL;
	wwh_status_t status = WWH_STATUS_BAD_INPUT;
	bool ok = read_file(inventory_path, &inventory, &inventory_content,
			    &report);

	ok = read_file(rules_path, &rules, &rules_content, &report) && ok;
	if (ok)
		status = wwh_config_parse(config, &inventory, &rules, error,
					  client_data);
	g_free(inventory_content);
	g_free(rules_content);
	return status;
}

wwh_status_t wwh_config_parse(wwh_config_t *config,
			      const wwh_config_text_t *inventory,
			      const wwh_config_text_t *rules,
			      wwh_config_error_t error, void *client_data)
{
	loader_t loader = {
		.config = config,
		.inventory_file = inventory->name,
		.rules_given = rules->text != NULL,
		.report = { error, client_data, 0 },
	};

	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++) {
		if (config->items[kind]->len > 0)
			return WWH_STATUS_BAD_ARGUMENT;
	}
	loader.places = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	if (inventory->text != NULL && wwh_config_text_is_json(inventory))
		load_json(&loader, inventory, inventory_kinds,
			  G_N_ELEMENTS(inventory_kinds));
	else if (inventory->text != NULL)
		wwh_config_csv_read(inventory, &loader.report, add_csv_item,
				    &loader);
	if (rules->text != NULL)
		load_json(&loader, rules, rules_kinds,
			  G_N_ELEMENTS(rules_kinds));
	finish(&loader);
	g_hash_table_destroy(loader.places);
	return wwh_report_status(&loader.report);
}

static bool read_file(const char *path, wwh_config_text_t *text, char **content,
		      wwh_report_t *report)
{
	GError *error = NULL;

	if (path == NULL)
		return true;
	text->name = path;
	if (!g_file_get_contents(path, content, &text->size, &error)) {
		wwh_report_error(report, path, 0,
				 "cannot be read: %s, expected a readable file",
				 error->message);
		g_error_free(error);
		return false;
	}
	text->text = *content;
	return true;
}

/* JSON begins with a brace or a comment; no header of a CSV file does. */
bool wwh_config_text_is_json(const wwh_config_text_t *text)
{
	for (size_t i = 0; i < text->size; i++) {
		if (!g_ascii_isspace(text->text[i]))
			return text->text[i] == '{' || text->text[i] == '/';
	}
	return true;
}

static void load_json(loader_t *loader, const wwh_config_text_t *text,
		      const wwh_item_kind_t *kinds, int32_t kind_count)
{
	wwh_json_source_t *source = wwh_json_source_parse(
		text->name, text->text, text->size, &loader->report);

	if (source == NULL)
		return;
	check_sections(loader, source, kinds, kind_count);
	for (int32_t i = 0; i < kind_count; i++)
		load_section(loader, source, kinds[i]);
	wwh_json_source_delete(source);
}

static void check_sections(loader_t *loader, const wwh_json_source_t *source,
			   const wwh_item_kind_t *kinds, int32_t kind_count)
{
	JsonObject *root = wwh_json_source_root(source);
	GList *members = json_object_get_members(root);
	const char *names[WWH_ITEM_COUNT];

	for (int32_t i = 0; i < kind_count; i++)
		names[i] = wwh_item_tables[kinds[i]].section;
	for (GList *at = members; at != NULL; at = at->next) {
		bool known = false;
		char *suggestion;

		for (int32_t i = 0; i < kind_count; i++)
			known = known || strcmp(names[i], at->data) == 0;
		if (known)
			continue;
		suggestion = wwh_names_suggest(names, kind_count, at->data);
		wwh_report_error(
			&loader->report, wwh_json_source_file(source),
			wwh_json_source_member_line(source, root, at->data),
			"unknown key '%s', %s", (char *)at->data, suggestion);
		g_free(suggestion);
	}
	g_list_free(members);
}

static void load_section(loader_t *loader, const wwh_json_source_t *source,
			 wwh_item_kind_t kind)
{
	JsonObject *root = wwh_json_source_root(source);
	const char *section = wwh_item_tables[kind].section;
	JsonNode *node = json_object_get_member(root, section);
	int32_t line = wwh_json_source_member_line(source, root, section);
	JsonArray *array;

	if (kind == WWH_ITEM_RULES && node == NULL) {
		add_item(loader, kind, wwh_item_new(kind),
			 wwh_json_source_file(source), 0);
		return;
	}
	if (node == NULL)
		return;
	if (kind == WWH_ITEM_RULES) {
		load_item(loader, source, kind, node, line);
		return;
	}
	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		wwh_report_error(&loader->report, wwh_json_source_file(source),
				 line, "'%s' is not a list, expected [...]",
				 section);
		return;
	}
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++)
		load_item(loader, source, kind,
			  json_array_get_element(array, i), line);
}

static void load_item(loader_t *loader, const wwh_json_source_t *source,
		      wwh_item_kind_t kind, JsonNode *node, int32_t line)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];
	JsonObject *json;
	void *item;

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		wwh_report_error(&loader->report, wwh_json_source_file(source),
				 line,
				 "an item of '%s' is not an object, "
				 "expected {...}",
				 table->section);
		return;
	}
	json = json_node_get_object(node);
	item = wwh_item_new(kind);
	wwh_json_source_read(source, json, table->fields, table->field_count,
			     item, &loader->report);
	add_item(loader, kind, item, wwh_json_source_file(source),
		 wwh_json_source_object_line(source, json));
}

static void add_item(loader_t *loader, wwh_item_kind_t kind, void *item,
		     const char *file, int32_t line)
{
	wwh_item_location_t *place;

	/* An item without a usable id can't be named in further errors. */
	if (*wwh_item_id(kind, item) == '\0') {
		wwh_item_unref(kind, item);
		return;
	}
	place = g_new0(wwh_item_location_t, 1);
	place->file = g_intern_string(file);
	place->line = line;
	g_ptr_array_add(loader->config->items[kind], item);
	g_hash_table_insert(loader->places, item, place);
}

static void add_csv_item(wwh_item_kind_t kind, void *item, int32_t line,
			 void *client_data)
{
	loader_t *loader = client_data;

	add_item(loader, kind, item, loader->inventory_file, line);
}

static void finish(loader_t *loader)
{
	wwh_config_t *config = loader->config;

	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++) {
		GPtrArray *items = config->items[kind];

		g_qsort_with_data(items->pdata, (gint)items->len,
				  sizeof(gpointer), compare_ids,
				  GINT_TO_POINTER(kind));
		if (items->len > WWH_MAX_ITEMS_PER_KIND)
			wwh_report_error(&loader->report, "", 0,
					 "%u %s, expected at most %d",
					 items->len,
					 wwh_item_tables[kind].section,
					 WWH_MAX_ITEMS_PER_KIND);
	}
	fill_minion_zones(config);
	wwh_config_check(config, loader->places, loader->rules_given,
			 &loader->report);
}

/* Stable, so that of two items with one id the first in the file is first. */
static gint compare_ids(gconstpointer a, gconstpointer b, gpointer client_data)
{
	wwh_item_kind_t kind = (wwh_item_kind_t)GPOINTER_TO_INT(client_data);

	return strcmp(wwh_item_id(kind, *(void *const *)a),
		      wwh_item_id(kind, *(void *const *)b));
}

/* A minion that names no zone is in the zone of its worker. */
static void fill_minion_zones(wwh_config_t *config)
{
	for (int32_t i = 0; i < wwh_config_minion_count(config); i++) {
		wwh_minion_t *minion = g_ptr_array_index(
			config->items[WWH_ITEM_MINION], (guint)i);
		const wwh_worker_t *worker =
			wwh_config_worker(config, minion->worker);

		if (*minion->zone != '\0' || worker == NULL)
			continue;
		g_free(minion->zone);
		minion->zone = g_strdup(worker->zone);
	}
}
