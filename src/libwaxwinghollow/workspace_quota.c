#include "waxwinghollow/workspace_quota.h"

#include <glib.h>

typedef struct {
	wwh_load_t limit; /* a member that is 0 sets none */
	wwh_load_t used;
} entry_t;

struct wwh_workspace_quota {
	GHashTable *workspaces; /* name to entry_t, owned */
};

static entry_t *find_or_add_entry(wwh_workspace_quota_t *quota,
				  const char *workspace);
static bool is_zero(const wwh_load_t *load);
static bool fits(int64_t limit, int64_t sum);

wwh_workspace_quota_t *wwh_workspace_quota_new(void)
{
	wwh_workspace_quota_t *quota = g_new0(wwh_workspace_quota_t, 1);

	quota->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

void wwh_workspace_quota_delete(wwh_workspace_quota_t *quota)
{
	if (quota == NULL)
		return;
	g_hash_table_destroy(quota->workspaces);
	g_free(quota);
}

void wwh_workspace_quota_clear_limits(wwh_workspace_quota_t *quota)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, quota->workspaces);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry_t *entry = value;

		entry->limit = (wwh_load_t){ 0 };
		if (is_zero(&entry->used))
			g_hash_table_iter_remove(&iterator);
	}
}

void wwh_workspace_quota_set_limit(wwh_workspace_quota_t *quota,
				   const char *workspace,
				   const wwh_load_t *limit)
{
	find_or_add_entry(quota, workspace)->limit = *limit;
}

void wwh_workspace_quota_add(wwh_workspace_quota_t *quota,
			     const char *workspace, const wwh_load_t *load)
{
	if (workspace != NULL)
		wwh_load_add(&find_or_add_entry(quota, workspace)->used, load);
}

void wwh_workspace_quota_subtract(wwh_workspace_quota_t *quota,
				  const char *workspace, const wwh_load_t *load)
{
	entry_t *entry;

	if (workspace == NULL)
		return;
	entry = find_or_add_entry(quota, workspace);
	wwh_load_subtract(&entry->used, load);
	g_assert(entry->used.cpu_millicores >= 0);
	g_assert(entry->used.memory_mb >= 0);
	g_assert(entry->used.gpus >= 0);
}

bool wwh_workspace_quota_is_limited(const wwh_workspace_quota_t *quota,
				    const char *workspace)
{
	const entry_t *entry;

	if (workspace == NULL)
		return false;
	entry = g_hash_table_lookup(quota->workspaces, workspace);
	return entry != NULL && !is_zero(&entry->limit);
}

bool wwh_workspace_quota_allows(const wwh_workspace_quota_t *quota,
				const char *workspace, const wwh_load_t *load,
				const wwh_load_t *reserved)
{
	const entry_t *entry;
	wwh_load_t sum = *reserved;

	if (!wwh_workspace_quota_is_limited(quota, workspace))
		return true;
	entry = g_hash_table_lookup(quota->workspaces, workspace);
	wwh_load_add(&sum, &entry->used);
	if (is_zero(&sum))
		return true;
	wwh_load_add(&sum, load);
	return fits(entry->limit.cpu_millicores, sum.cpu_millicores) &&
	       fits(entry->limit.memory_mb, sum.memory_mb) &&
	       fits(entry->limit.gpus, sum.gpus);
}

static entry_t *find_or_add_entry(wwh_workspace_quota_t *quota,
				  const char *workspace)
{
	entry_t *entry = g_hash_table_lookup(quota->workspaces, workspace);

	if (entry == NULL) {
		entry = g_new0(entry_t, 1);
		g_hash_table_insert(quota->workspaces, g_strdup(workspace),
				    entry);
	}
	return entry;
}

static bool is_zero(const wwh_load_t *load)
{
	return load->cpu_millicores == 0 && load->memory_mb == 0 &&
	       load->gpus == 0;
}

static bool fits(int64_t limit, int64_t sum)
{
	return limit == 0 || sum <= limit;
}
