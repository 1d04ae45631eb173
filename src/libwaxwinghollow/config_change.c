#include "waxwinghollow/config.h"

#include <assert.h>
#include <string.h>

#include "private/config_change.h"

static void diff_kind(const wwh_config_t *from, const wwh_config_t *to,
		      wwh_item_kind_t kind, wwh_config_change_t *change);
static int order_at(const GPtrArray *from, guint i, const GPtrArray *to,
		    guint j, wwh_item_kind_t kind);
static wwh_config_t *merge(const wwh_config_t *base,
			   const wwh_config_change_t *change, int64_t version,
			   wwh_message_t *message);
static bool merge_kind(const wwh_config_t *base,
		       const wwh_config_change_t *change, guint *next,
		       wwh_item_kind_t kind, wwh_config_t *result,
		       wwh_message_t *message);
static bool merge_entry(const wwh_change_entry_t *entry, bool present,
			GPtrArray *into, wwh_message_t *message);
static void keep(GPtrArray *into, void *item);
static void note_error(const char *file, int32_t line, const char *text,
		       void *client_data);

wwh_config_change_t *wwh_change_new(void)
{
	wwh_config_change_t *change = g_new0(wwh_config_change_t, 1);

	change->entries = g_array_new(FALSE, FALSE, sizeof(wwh_change_entry_t));
	return change;
}

void wwh_change_add(wwh_config_change_t *change, wwh_item_kind_t kind,
		    const char *id, void *item)
{
	wwh_change_entry_t entry = {
		.kind = kind,
		.id = g_strdup(id),
		.item = item,
	};

	g_array_append_val(change->entries, entry);
}

const wwh_change_entry_t *wwh_change_at(const wwh_config_change_t *change,
					guint index)
{
	return &g_array_index(change->entries, wwh_change_entry_t, index);
}

int wwh_change_entry_compare(const wwh_change_entry_t *a,
			     const wwh_change_entry_t *b)
{
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	return strcmp(a->id, b->id);
}

wwh_config_change_t *wwh_config_diff(const wwh_config_t *from,
				     const wwh_config_t *to)
{
	wwh_config_change_t *change = wwh_change_new();

	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++)
		diff_kind(from, to, (wwh_item_kind_t)kind, change);
	return change;
}

void wwh_config_change_delete(wwh_config_change_t *change)
{
	if (change == NULL)
		return;
	for (guint i = 0; i < change->entries->len; i++) {
		const wwh_change_entry_t *entry = wwh_change_at(change, i);

		g_free(entry->id);
		wwh_item_unref(entry->kind, entry->item);
	}
	g_array_free(change->entries, TRUE);
	g_free(change);
}

int32_t wwh_config_change_count(const wwh_config_change_t *change)
{
	return (int32_t)change->entries->len;
}

wwh_status_t wwh_config_apply(const wwh_config_t *base,
			      const wwh_config_change_t *change,
			      int64_t version, wwh_config_t **result,
			      wwh_message_t *message)
{
	wwh_report_t report = { note_error, message, 0 };

	*result = NULL;
	wwh_message_set(message, "%s", "");
	if (version <= base->version) {
		wwh_message_set(message,
				"version %" G_GINT64_FORMAT
				", expected one above %" G_GINT64_FORMAT,
				version, base->version);
		return WWH_STATUS_BAD_ARGUMENT;
	}
	*result = merge(base, change, version, message);
	if (*result == NULL)
		return WWH_STATUS_BAD_INPUT;
	wwh_config_check(*result, NULL, true, &report);
	if (report.count == 0)
		return WWH_STATUS_OK;
	wwh_config_unref(*result);
	*result = NULL;
	return WWH_STATUS_BAD_INPUT;
}

wwh_status_t wwh_config_restore(const wwh_config_change_t *change,
				int64_t version, wwh_config_t **result,
				wwh_message_t *message)
{
	wwh_config_t *empty = wwh_config_new();

	*result = merge(empty, change, version, message);
	wwh_config_unref(empty);
	return *result == NULL ? WWH_STATUS_BAD_INPUT : WWH_STATUS_OK;
}

/* NULL and a message when change does not fit base. */
static wwh_config_t *merge(const wwh_config_t *base,
			   const wwh_config_change_t *change, int64_t version,
			   wwh_message_t *message)
{
	wwh_config_t *config = wwh_config_new();
	guint next = 0;

	config->version = version;
	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++) {
		if (!merge_kind(base, change, &next, (wwh_item_kind_t)kind,
				config, message)) {
			wwh_config_unref(config);
			return NULL;
		}
	}
	assert(next == change->entries->len);
	return config;
}

static void diff_kind(const wwh_config_t *from, const wwh_config_t *to,
		      wwh_item_kind_t kind, wwh_config_change_t *change)
{
	const GPtrArray *old_items = from->items[kind];
	const GPtrArray *new_items = to->items[kind];
	guint i = 0;
	guint j = 0;

	while (i < old_items->len || j < new_items->len) {
		int order = order_at(old_items, i, new_items, j, kind);
		void *item;

		if (order < 0) {
			item = g_ptr_array_index(old_items, i++);
			wwh_change_add(change, kind, wwh_item_id(kind, item),
				       NULL);
			continue;
		}
		item = g_ptr_array_index(new_items, j++);
		if (order > 0 ||
		    !wwh_item_equal(kind, g_ptr_array_index(old_items, i),
				    item))
			wwh_change_add(change, kind, wwh_item_id(kind, item),
				       wwh_item_ref(item));
		if (order == 0)
			i++;
	}
}

/* The order of two ids; an array that has ended comes last. */
static int order_at(const GPtrArray *from, guint i, const GPtrArray *to,
		    guint j, wwh_item_kind_t kind)
{
	if (i == from->len)
		return 1;
	if (j == to->len)
		return -1;
	return strcmp(wwh_item_id(kind, g_ptr_array_index(from, i)),
		      wwh_item_id(kind, g_ptr_array_index(to, j)));
}

/* Merges the entries from *next on that are of kind. */
static bool merge_kind(const wwh_config_t *base,
		       const wwh_config_change_t *change, guint *next,
		       wwh_item_kind_t kind, wwh_config_t *result,
		       wwh_message_t *message)
{
	const GPtrArray *items = base->items[kind];
	GPtrArray *into = result->items[kind];
	guint i = 0;

	while (*next < change->entries->len) {
		const wwh_change_entry_t *entry = wwh_change_at(change, *next);
		int order = 1;

		if (entry->kind != kind)
			break;
		for (; i < items->len; i++) {
			void *item = g_ptr_array_index(items, i);

			order = strcmp(wwh_item_id(kind, item), entry->id);
			if (order >= 0)
				break;
			keep(into, item);
		}
		if (!merge_entry(entry, i < items->len && order == 0, into,
				 message))
			return false;
		if (i < items->len && order == 0)
			i++;
		++*next;
	}
	for (; i < items->len; i++)
		keep(into, g_ptr_array_index(items, i));
	if (into->len > WWH_MAX_ITEMS_PER_KIND) {
		wwh_message_set(message, "%u %s, expected at most %d",
				into->len, wwh_item_tables[kind].section,
				WWH_MAX_ITEMS_PER_KIND);
		return false;
	}
	return true;
}

static bool merge_entry(const wwh_change_entry_t *entry, bool present,
			GPtrArray *into, wwh_message_t *message)
{
	if (entry->item != NULL) {
		keep(into, entry->item);
		return true;
	}
	if (present)
		return true;
	wwh_message_set(message,
			"removes %s '%s', which is not there, expected an id "
			"of the base version",
			wwh_item_kind_names[entry->kind], entry->id);
	return false;
}

static void keep(GPtrArray *into, void *item)
{
	g_ptr_array_add(into, wwh_item_ref(item));
}

/* Keeps the first error; client_data is a wwh_message_t, maybe NULL. */
static void note_error(const char *file, int32_t line, const char *text,
		       void *client_data)
{
	wwh_message_t *message = client_data;

	(void)file;
	(void)line;
	if (message != NULL && message->text[0] == '\0')
		wwh_message_set(message, "%s", text);
}

wwh_config_change_t *wwh_config_change_new_for_pool(const wwh_config_t *config,
						    const char *worker,
						    const char *pool)
{
	const wwh_worker_t *from = wwh_config_worker(config, worker);
	wwh_config_change_t *change;
	wwh_worker_t *to;

	if (from == NULL)
		return NULL;
	to = wwh_item_new(WWH_ITEM_WORKER);
	g_free(to->id);
	g_free(to->address);
	g_free(to->rack);
	g_free(to->zone);
	g_free(to->region);
	g_free(to->pool);
	*to = *from;
	to->id = g_strdup(from->id);
	to->address = g_strdup(from->address);
	to->rack = g_strdup(from->rack);
	to->zone = g_strdup(from->zone);
	to->region = g_strdup(from->region);
	to->pool = g_strdup(pool);
	change = wwh_change_new();
	wwh_change_add(change, WWH_ITEM_WORKER, worker, to);
	return change;
}
