#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_ITEMS_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_ITEMS_H

/*
 * NAME
 *	config_items - the items of a configuration, with one table per kind
 *
 * USE
 *	An item is the public struct of its kind in an atomic reference-counted
 *	box: a new version of the configuration shares the unchanged items
 *	with the previous one.
 */

#include <glib.h>
#include <stdbool.h>

#include "private/field.h"
#include "private/report.h"
#include "waxwinghollow/config.h"

#define WWH_RULES_ID "rules"
/* A configuration with more items of a kind is rejected. */
#define WWH_MAX_ITEMS_PER_KIND 100000

typedef struct {
	const char *section; /* key of the items in the files */
	size_t size; /* of the struct, in bytes */
	const wwh_field_t *fields; /* id first; the rules have no id */
	int32_t field_count;
} wwh_item_table_t;

extern const wwh_item_table_t wwh_item_tables[WWH_ITEM_COUNT];

struct wwh_config {
	gatomicrefcount references;
	int64_t version;
	GPtrArray *items[WWH_ITEM_COUNT]; /* sorted by id */
};

/* Returns a new item with the default value in each member. */
void *wwh_item_new(wwh_item_kind_t kind);
void *wwh_item_ref(void *item);
void wwh_item_unref(wwh_item_kind_t kind, void *item);
const char *wwh_item_id(wwh_item_kind_t kind, const void *item);
bool wwh_item_equal(wwh_item_kind_t kind, const void *a, const void *b);

/* Returns the item with that id, or NULL. */
void *wwh_config_find(const wwh_config_t *config, wwh_item_kind_t kind,
		      const char *id);

/*
 * Returns true if the text is JSON and false if it is CSV, which the first
 * character that is not white space tells.
 */
bool wwh_config_text_is_json(const wwh_config_text_t *text);

/* The file and line that an item was read from. */
typedef struct {
	const char *file;
	int32_t line;
} wwh_item_location_t;

/*
 * Checks the configuration as a whole. locations maps items to
 * wwh_item_location_t * for the error messages; it may be NULL. If rules_given
 * is false, references to pools, services and teams are not checked. Budgets,
 * reserves and quotas are checked only if the report has no error so far,
 * because these checks need valid items and references.
 */
void wwh_config_check(const wwh_config_t *config, GHashTable *locations,
		      bool rules_given, wwh_report_t *report);

#endif
