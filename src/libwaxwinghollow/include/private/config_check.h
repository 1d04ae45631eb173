#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CHECK_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CHECK_H

/*
 * NAME
 *	config_check - shared parts of the checks of a whole configuration
 */

#include "private/config_items.h"

/* The state of one check of a configuration. */
typedef struct {
	const wwh_config_t *config;
	GHashTable *locations; /* item to wwh_item_location_t *; may be NULL */
	bool rules_given; /* else pools, services and teams are unknown */
	wwh_report_t *report;
	GHashTable *by_id[WWH_ITEM_COUNT]; /* id to item; may be NULL */
} wwh_check_t;

/* Checks budgets, reserves and quotas. All references must be valid. */
void wwh_check_pools(wwh_check_t *check);

/* Reports an error at the file and line of item. */
void wwh_check_report_error(wwh_check_t *check, const void *item,
			    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Returns " (line N)" of item, or "" if the line is unknown; to be freed. */
char *wwh_check_line_suffix(wwh_check_t *check, const void *item);

#endif
