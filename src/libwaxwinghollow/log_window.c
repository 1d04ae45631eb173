#include "private/log_window.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

typedef struct {
	wwh_append_id_t id; /* first, so that a slot is its own key */
	int64_t offset; /* 0: empty */
} slot_t;

struct wwh_log_window {
	slot_t *slots; /* by offset modulo size */
	int64_t size;
	GHashTable *by_id; /* slot_t * as key and value */
	int64_t last;
};

static guint hash_id(gconstpointer key);
static gboolean equal_ids(gconstpointer a, gconstpointer b);

wwh_log_window_t *wwh_log_window_new(int64_t size)
{
	wwh_log_window_t *window = g_new0(wwh_log_window_t, 1);

	window->size = size;
	window->slots = g_new0(slot_t, (gsize)size);
	window->by_id = g_hash_table_new(hash_id, equal_ids);
	return window;
}

void wwh_log_window_delete(wwh_log_window_t *window)
{
	if (window == NULL)
		return;
	g_hash_table_destroy(window->by_id);
	g_free(window->slots);
	g_free(window);
}

void wwh_log_window_clear(wwh_log_window_t *window)
{
	g_hash_table_remove_all(window->by_id);
	memset(window->slots, 0, sizeof(slot_t) * (size_t)window->size);
	window->last = 0;
}

int64_t wwh_log_window_find(const wwh_log_window_t *window,
			    const wwh_append_id_t *id)
{
	const slot_t *slot = g_hash_table_lookup(window->by_id, id);

	return slot == NULL ? 0 : slot->offset;
}

void wwh_log_window_add(wwh_log_window_t *window, const wwh_append_id_t *id,
			int64_t offset)
{
	slot_t *slot = &window->slots[offset % window->size];

	assert(offset > window->last);
	assert(!g_hash_table_contains(window->by_id, id));
	if (slot->offset != 0)
		g_hash_table_remove(window->by_id, slot);
	slot->id = *id;
	slot->offset = offset;
	g_hash_table_add(window->by_id, slot);
	window->last = offset;
}

/* Bytes 8 and up of an id are random, so they serve as the hash. */
static guint hash_id(gconstpointer key)
{
	guint hash;

	memcpy(&hash, (const uint8_t *)key + 8, sizeof(hash));
	return hash;
}

static gboolean equal_ids(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, WWH_APPEND_ID_BYTES) == 0;
}
