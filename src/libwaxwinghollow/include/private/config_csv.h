#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CSV_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CSV_H

/*
 * NAME
 *	config_csv - reads the asset register's CSV export into items
 *
 * USE
 *	The first row names the columns, in any order: the members of workers
 *	and of minions, and "kind". A cell of "kind" contains "worker" or
 *	"minion"; an empty cell or a missing column means "worker". Columns
 *	whose name begins with "x-" are private to the register and ignored.
 */

#include "private/config_items.h"
#include "waxwinghollow/config.h"

/* Called for each item, of which it takes ownership. */
typedef void (*wwh_csv_add_item_t)(wwh_item_kind_t kind, void *item,
				   int32_t line, void *client_data);

/*
 * Reads all rows. It reports each error; a syntax error ends the reading, and a
 * row with invalid cells is still passed to add.
 */
void wwh_config_csv_read(const wwh_config_text_t *text, wwh_report_t *report,
			 wwh_csv_add_item_t add, void *client_data);

#endif
