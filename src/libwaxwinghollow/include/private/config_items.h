#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_ITEMS_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_ITEMS_H

/*
 * NAME
 *	config_items - the items of a configuration, one table a kind
 *
 * USE
 *	An item is the public struct of its kind in an atomic reference-counted
 *	box: a new version shares all items that it did not change with the
 *	one before.
 */

#include <glib.h>
#include <stdbool.h>

#include "private/field.h"
#include "private/report.h"
#include "waxwinghollow/config.h"

#define WWH_RULES_ID "rules"
/* A configuration that is larger than this is refused. */
#define WWH_MAX_ITEMS_PER_KIND 100000

typedef struct {
	const char *section; /* its key in the files */
	size_t size; /* of the struct */
	const wwh_field_t *fields; /* the id is the first, but for the rules */
	int32_t field_count;
} wwh_item_table_t;

extern const wwh_item_table_t wwh_item_tables[WWH_ITEM_COUNT];

struct wwh_config {
	gatomicrefcount references;
	int64_t version;
	GPtrArray *items[WWH_ITEM_COUNT]; /* in the order of their ids */
};

void *wwh_item_new(wwh_item_kind_t kind); /* all members at their defaults */
void *wwh_item_ref(void *item);
void wwh_item_unref(wwh_item_kind_t kind, void *item);
const char *wwh_item_id(wwh_item_kind_t kind, const void *item);
bool wwh_item_equal(wwh_item_kind_t kind, const void *a, const void *b);

/* The item of that id; NULL: none. */
void *wwh_config_find(const wwh_config_t *config, wwh_item_kind_t kind,
		      const char *id);

/* Whether a file is JSON; otherwise it is taken for CSV. */
bool wwh_config_text_is_json(const wwh_config_text_t *text);

/* Where an item was read; NULL for file when that isn't known. */
typedef struct {
	const char *file;
	int32_t line;
} wwh_item_location_t;

/*
 * Checks the configuration as a whole. places maps items to
 * wwh_item_location_t *; it may be NULL. Without rules_given, ids of pools,
 * services and teams are not looked up. Budgets, reserves and quotas are checked
 * only while the report has no error, because they build on all items.
 */
void wwh_config_check(const wwh_config_t *config, GHashTable *places,
		      bool rules_given, wwh_report_t *report);

#endif
