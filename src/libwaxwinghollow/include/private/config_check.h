#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CHECK_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CHECK_H

/*
 * NAME
 *	config_check - what the checks of a whole configuration share
 */

#include "private/config_items.h"

/* One pass over a configuration. */
typedef struct {
	const wwh_config_t *config;
	GHashTable *places; /* item to wwh_item_place_t *; may be NULL */
	bool rules_given;
	wwh_report_t *report;
	GHashTable *by_id[WWH_ITEM_COUNT]; /* id to item; NULL: no references */
} wwh_check_t;

/* Budgets, reserves and quotas; expects that all references hold. */
void wwh_check_pools(wwh_check_t *check);

/* Reports an error at the place of item. */
void wwh_check_report_error(wwh_check_t *check, const void *item,
			    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* " (line N)" of an item, "" when it isn't known; to be freed. */
char *wwh_check_line_suffix(wwh_check_t *check, const void *item);

#endif
