#include <assert.h>
#include <string.h>

#include "private/state_internal.h"

static int compare_ids(const void *a, const void *b, void *unused)
{
	(void)unused;
	return strcmp(a, b);
}

static char *item_id(void *item)
{
	return *(char **)item;
}

void *wwh_state_item_new(const wwh_codec_fields_t *fields)
{
	void *item = g_malloc0(fields->size);

	wwh_codec_init(fields, item);
	return item;
}

void wwh_state_item_free(const wwh_codec_fields_t *fields, void *item)
{
	wwh_codec_clear(fields, item);
	g_free(item);
}

void wwh_state_table_init(wwh_state_table_t *table,
			  const wwh_codec_fields_t *fields)
{
	table->by_id = g_tree_new_full(compare_ids, NULL, NULL, NULL);
	g_queue_init(&table->ended);
	table->fields = fields;
}

static gboolean add_item(gpointer key, gpointer item, gpointer items)
{
	(void)key;
	g_ptr_array_add(items, item);
	return FALSE;
}

GPtrArray *wwh_state_table_items(const wwh_state_table_t *table)
{
	GPtrArray *items = g_ptr_array_new();

	g_tree_foreach(table->by_id, add_item, items);
	return items;
}

void wwh_state_table_clear(wwh_state_table_t *table)
{
	GPtrArray *items = wwh_state_table_items(table);

	for (guint i = 0; i < items->len; i++)
		wwh_state_item_free(table->fields, items->pdata[i]);
	g_ptr_array_unref(items);
	g_tree_destroy(table->by_id);
	g_queue_clear(&table->ended);
}

void *wwh_state_table_find(const wwh_state_table_t *table, const char *id)
{
	return g_tree_lookup(table->by_id, id);
}

void wwh_state_table_add(wwh_state_table_t *table, void *item)
{
	assert(g_tree_lookup(table->by_id, item_id(item)) == NULL);
	g_tree_insert(table->by_id, item_id(item), item);
}

/*
 * Retains a bounded number of ended items, so that the memory of every process
 * stays bounded. Items are evicted in log order, so all processes evict the
 * same ones.
 */
void wwh_state_table_end(wwh_state_table_t *table, void *item)
{
	void *oldest;

	g_queue_push_tail(&table->ended, item);
	if (g_queue_get_length(&table->ended) <= WWH_STATE_ENDED_MAX)
		return;
	oldest = g_queue_pop_head(&table->ended);
	g_tree_remove(table->by_id, item_id(oldest));
	wwh_state_item_free(table->fields, oldest);
}

int32_t wwh_state_table_running_count(const wwh_state_table_t *table)
{
	return g_tree_nnodes(table->by_id) -
	       (int32_t)g_queue_get_length((GQueue *)&table->ended);
}

/* The position of id, or the position at which it would be inserted. */
static guint lower_bound(const GPtrArray *ids, const char *id)
{
	guint low = 0;
	guint high = ids->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (strcmp(ids->pdata[middle], id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

bool wwh_ids_contain(const GPtrArray *ids, const char *id)
{
	guint position = lower_bound(ids, id);

	return position < ids->len && strcmp(ids->pdata[position], id) == 0;
}

void wwh_ids_insert(GPtrArray *ids, const char *id)
{
	if (!wwh_ids_contain(ids, id))
		g_ptr_array_insert(ids, (gint)lower_bound(ids, id),
				   g_strdup(id));
}
