#include "private/heap.h"

#include <assert.h>

#define FIRST_ROOM 16

static bool before(const wwh_heap_node_t *a, const wwh_heap_node_t *b);
static void put(wwh_heap_t *heap, int32_t index, wwh_heap_node_t *node);
static void sift_up(wwh_heap_t *heap, wwh_heap_node_t *node);
static void sift_down(wwh_heap_t *heap, wwh_heap_node_t *node);

void wwh_heap_finish(wwh_heap_t *heap)
{
	g_free(heap->nodes);
	heap->nodes = NULL;
	heap->count = 0;
	heap->room = 0;
}

void wwh_heap_insert(wwh_heap_t *heap, wwh_heap_node_t *node)
{
	assert(node->position == 0);
	if (heap->count == heap->room) {
		heap->room = heap->room == 0 ? FIRST_ROOM : heap->room * 2;
		heap->nodes =
			g_renew(wwh_heap_node_t *, heap->nodes, heap->room);
	}
	put(heap, heap->count, node);
	heap->count++;
	sift_up(heap, node);
}

void wwh_heap_remove(wwh_heap_t *heap, wwh_heap_node_t *node)
{
	int32_t index = node->position - 1;
	wwh_heap_node_t *last;

	assert(index >= 0 && index < heap->count);
	assert(heap->nodes[index] == node);
	heap->count--;
	last = heap->nodes[heap->count];
	node->position = 0;
	if (last == node)
		return;
	put(heap, index, last);
	wwh_heap_update(heap, last);
}

void wwh_heap_update(wwh_heap_t *heap, wwh_heap_node_t *node)
{
	sift_up(heap, node);
	sift_down(heap, node);
}

wwh_heap_node_t *wwh_heap_first(const wwh_heap_t *heap)
{
	return heap->count == 0 ? NULL : heap->nodes[0];
}

static bool before(const wwh_heap_node_t *a, const wwh_heap_node_t *b)
{
	if (a->key < b->key)
		return true;
	return a->key <= b->key && a->tie_breaker < b->tie_breaker;
}

static void put(wwh_heap_t *heap, int32_t index, wwh_heap_node_t *node)
{
	heap->nodes[index] = node;
	node->position = index + 1;
}

static void sift_up(wwh_heap_t *heap, wwh_heap_node_t *node)
{
	int32_t index = node->position - 1;

	while (index > 0) {
		int32_t parent = (index - 1) / 2;

		if (!before(node, heap->nodes[parent]))
			break;
		put(heap, index, heap->nodes[parent]);
		index = parent;
	}
	put(heap, index, node);
}

static void sift_down(wwh_heap_t *heap, wwh_heap_node_t *node)
{
	int32_t index = node->position - 1;

	for (;;) {
		int32_t child = index * 2 + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    before(heap->nodes[child + 1], heap->nodes[child]))
			child++;
		if (!before(heap->nodes[child], node))
			break;
		put(heap, index, heap->nodes[child]);
		index = child;
	}
	put(heap, index, node);
}
