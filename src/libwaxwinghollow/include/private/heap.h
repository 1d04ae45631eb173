#ifndef WWH_PRIVATE_HEAP_H
#define WWH_PRIVATE_HEAP_H

/*
 * NAME
 *	heap - binary heap with removal of any item
 *
 * USE
 *	An item embeds a wwh_heap_node_t, which stores its position in the
 *	heap. The smallest key is first; equal keys are ordered by
 *	tie_breaker, so that the order never depends on addresses. GLib has no
 *	heap with removal from the middle, which a cancelled request needs.
 *
 * ORDER OF CALLS
 *	Set all bytes of the heap to zero; any calls; wwh_heap_finish.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double key;
	uint64_t tie_breaker;
	int32_t position; /* index in the heap plus one; 0: not in a heap */
	void *owner; /* the item that embeds the node */
} wwh_heap_node_t;

typedef struct {
	wwh_heap_node_t **nodes;
	int32_t count;
	int32_t capacity;
} wwh_heap_t;

void wwh_heap_finish(wwh_heap_t *heap);
void wwh_heap_insert(wwh_heap_t *heap, wwh_heap_node_t *node);
void wwh_heap_remove(wwh_heap_t *heap, wwh_heap_node_t *node);

/* Restores the order after node->key was changed. */
void wwh_heap_update(wwh_heap_t *heap, wwh_heap_node_t *node);

/* Returns the node with the smallest key, or NULL if the heap is empty. */
wwh_heap_node_t *wwh_heap_first(const wwh_heap_t *heap);

#endif
