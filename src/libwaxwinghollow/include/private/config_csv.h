#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CSV_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CSV_H

/*
 * NAME
 *	config_csv - the asset register's CSV export as items
 *
 * USE
 *	The first row names the columns, in any order: the members of workers
 *	and of minions, and "kind" with "worker" (also when empty) or "minion".
 *	Columns whose name begins with "x-" are the register's own and are
 *	left out.
 */

#include "private/config_items.h"
#include "waxwinghollow/config.h"

/* Takes over item. */
typedef void (*wwh_csv_add_item_t)(wwh_item_kind_t kind, void *item,
				   int32_t line, void *client_data);

void wwh_config_csv_read(const wwh_config_text_t *text, wwh_report_t *report,
			 wwh_csv_add_item_t add, void *client_data);

#endif
