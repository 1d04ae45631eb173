#ifndef WAXWINGHOLLOW_PRIVATE_CONFIG_CHANGE_H
#define WAXWINGHOLLOW_PRIVATE_CONFIG_CHANGE_H

/*
 * NAME
 *	config_change - entries of a difference between configurations
 *
 * USE
 *	Entries are sorted by kind and id, and each pair occurs once. Decoding
 *	rejects any other order, so that a change has only one encoding.
 */

#include "private/config_items.h"

typedef struct {
	wwh_item_kind_t kind;
	char *id;
	void *item; /* NULL if the change removes the item */
} wwh_change_entry_t;

struct wwh_config_change {
	GArray *entries; /* wwh_change_entry_t */
};

wwh_config_change_t *wwh_change_new(void);
/* Appends an entry. Copies id and takes ownership of item. */
void wwh_change_add(wwh_config_change_t *change, wwh_item_kind_t kind,
		    const char *id, void *item);
const wwh_change_entry_t *wwh_change_at(const wwh_config_change_t *change,
					guint index);
/* Compares kind and id, as strcmp does. */
int wwh_change_entry_compare(const wwh_change_entry_t *a,
			     const wwh_change_entry_t *b);

#endif
