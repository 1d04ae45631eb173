#include "waxwinghollow/input_file.h"

#include <string.h>

#include "private/config_items.h"
#include "private/json_source.h"
#include "private/settings_fields.h"

const char *const wwh_input_kind_names[WWH_INPUT_COUNT] = {
	"settings",
	"inventory",
	"rules",
};

static bool kind_of_json(const wwh_config_text_t *text, wwh_input_kind_t *kind,
			 wwh_report_t *report);
static bool kind_of_key(const char *key, wwh_input_kind_t *kind);

wwh_status_t wwh_input_file_kind(const char *path, wwh_input_kind_t *kind,
				 wwh_config_error_t error, void *client_data)
{
	wwh_report_t report = { error, client_data, 0 };
	wwh_config_text_t text = { .name = path };
	GError *failure = NULL;
	char *content;

	*kind = WWH_INPUT_INVENTORY;
	if (!g_file_get_contents(path, &content, &text.size, &failure)) {
		wwh_report_error(&report, path, 0,
				 "cannot be read: %s, expected a readable file",
				 failure->message);
		g_error_free(failure);
		return WWH_STATUS_BAD_INPUT;
	}
	text.text = content;
	if (wwh_config_text_is_json(&text) &&
	    !kind_of_json(&text, kind, &report) && report.count == 0)
		wwh_report_error(&report, path, 1,
				 "no known key, expected settings, an "
				 "inventory or rules");
	g_free(content);
	return wwh_report_status(&report);
}

/* The first key that belongs to one kind decides. */
static bool kind_of_json(const wwh_config_text_t *text, wwh_input_kind_t *kind,
			 wwh_report_t *report)
{
	wwh_json_source_t *source = wwh_json_source_parse(
		text->name, text->text, text->size, report);
	GList *members;
	bool known = false;

	if (source == NULL)
		return false;
	members = json_object_get_members(wwh_json_source_root(source));
	for (GList *at = members; at != NULL && !known; at = at->next)
		known = kind_of_key(at->data, kind);
	g_list_free(members);
	wwh_json_source_delete(source);
	return known;
}

static bool kind_of_key(const char *key, wwh_input_kind_t *kind)
{
	for (int32_t i = 0; i < WWH_ITEM_COUNT; i++) {
		if (strcmp(wwh_item_tables[i].section, key) != 0)
			continue;
		*kind = i == WWH_ITEM_WORKER || i == WWH_ITEM_MINION
				? WWH_INPUT_INVENTORY
				: WWH_INPUT_RULES;
		return true;
	}
	for (int32_t i = 0; i < wwh_settings_field_count; i++) {
		if (strcmp(wwh_settings_fields[i].name, key) == 0) {
			*kind = WWH_INPUT_SETTINGS;
			return true;
		}
	}
	return false;
}
