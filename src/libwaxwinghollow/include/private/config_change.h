#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CHANGE_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CHANGE_H

/*
 * NAME
 *	config_change - entries of a difference between configurations
 *
 * USE
 *	Entries stand in the order of kind and id, each pair once; decoding
 *	refuses any other order, so that a change has one encoding only.
 */

#include "private/config_items.h"

typedef struct {
	wwh_item_kind_t kind;
	char *id;
	void *item; /* NULL: removed */
} wwh_change_entry_t;

struct wwh_config_change {
	GArray *entries; /* wwh_change_entry_t */
};

wwh_config_change_t *wwh_change_new(void);
/* Copies id, takes over item. */
void wwh_change_add(wwh_config_change_t *change, wwh_item_kind_t kind,
		    const char *id, void *item);
const wwh_change_entry_t *wwh_change_at(const wwh_config_change_t *change,
					guint index);
int wwh_change_entry_compare(const wwh_change_entry_t *a,
			     const wwh_change_entry_t *b);

#endif
