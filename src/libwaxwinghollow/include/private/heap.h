#ifndef WWH_PRIVATE_HEAP_H
#define WWH_PRIVATE_HEAP_H

/*
 * NAME
 *	heap - a binary heap that knows where each item stands
 *
 * USE
 *	An item embeds a wwh_heap_node_t. Smallest key first, equal keys in
 *	the order of their numbers, so that the order never depends on
 *	addresses. GLib has no heap with removal from the middle, which a
 *	cancelled request needs.
 *
 * ORDER OF CALLS
 *	wwh_heap_init (or all bytes zero), any calls, wwh_heap_finish.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double key;
	uint64_t tie_breaker; /* breaks ties */
	int32_t position; /* in the heap plus one; 0: in none */
	void *owner;
} wwh_heap_node_t;

typedef struct {
	wwh_heap_node_t **nodes;
	int32_t count;
	int32_t room;
} wwh_heap_t;

void wwh_heap_finish(wwh_heap_t *heap);
void wwh_heap_insert(wwh_heap_t *heap, wwh_heap_node_t *node);
void wwh_heap_remove(wwh_heap_t *heap, wwh_heap_node_t *node);

/* Call after node->key was changed. */
void wwh_heap_update(wwh_heap_t *heap, wwh_heap_node_t *node);

/* NULL when empty. */
wwh_heap_node_t *wwh_heap_first(const wwh_heap_t *heap);

#endif
