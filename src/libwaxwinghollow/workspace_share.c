#include "waxwinghollow/workspace_share.h"

#include <glib.h>

/* Shares are in parts per million of the pool. */
#define WHOLE_PPM 1000000

typedef struct {
	wwh_load_t running;
	wwh_load_t waiting;
	int64_t weight; /* 0: nothing waits */
	int64_t demand_ppm; /* running and waiting */
	int64_t waiting_ppm;
} entry_t;

struct wwh_workspace_share {
	GHashTable *workspaces; /* name to entry_t, owned */
	wwh_load_t running; /* of all workspaces */
	wwh_load_t capacity; /* free or run by a workspace, at the last begin */
	int64_t ppm_per_weight; /* G_MAXINT64: there is room for all */
	/* Sums over the workspaces with waiting work. */
	int64_t weights;
	int64_t waiting_ppm;
};

static entry_t *find_or_add_entry(wwh_workspace_share_t *share,
				  const char *workspace);
static bool is_zero(const wwh_load_t *load);
static int64_t dominant_ppm(const wwh_load_t *load, const wwh_load_t *whole);
static int64_t resource_ppm(int64_t part, int64_t whole);
static gint compare_levels(gconstpointer a, gconstpointer b);

wwh_workspace_share_t *wwh_workspace_share_new(void)
{
	wwh_workspace_share_t *share = g_new0(wwh_workspace_share_t, 1);

	share->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	share->ppm_per_weight = G_MAXINT64;
	return share;
}

void wwh_workspace_share_delete(wwh_workspace_share_t *share)
{
	if (share == NULL)
		return;
	g_hash_table_destroy(share->workspaces);
	g_free(share);
}

void wwh_workspace_share_add(wwh_workspace_share_t *share,
			     const char *workspace, const wwh_load_t *load)
{
	if (workspace == NULL)
		return;
	wwh_load_add(&find_or_add_entry(share, workspace)->running, load);
	wwh_load_add(&share->running, load);
}

void wwh_workspace_share_subtract(wwh_workspace_share_t *share,
				  const char *workspace, const wwh_load_t *load)
{
	if (workspace == NULL)
		return;
	wwh_load_subtract(&find_or_add_entry(share, workspace)->running, load);
	wwh_load_subtract(&share->running, load);
}

void wwh_workspace_share_begin(wwh_workspace_share_t *share,
			       const wwh_load_t *free)
{
	GHashTableIter iterator;
	gpointer value;

	share->capacity = *free;
	wwh_load_add(&share->capacity, &share->running);
	share->ppm_per_weight = G_MAXINT64;
	share->weights = 0;
	share->waiting_ppm = 0;
	g_hash_table_iter_init(&iterator, share->workspaces);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry_t *entry = value;

		entry->waiting = (wwh_load_t){ 0 };
		entry->weight = 0;
		if (is_zero(&entry->running))
			g_hash_table_iter_remove(&iterator);
	}
}

void wwh_workspace_share_wait(wwh_workspace_share_t *share,
			      const char *workspace, int64_t weight,
			      const wwh_load_t *load)
{
	entry_t *entry;

	if (workspace == NULL)
		return;
	entry = find_or_add_entry(share, workspace);
	entry->weight = MAX(weight, 1);
	wwh_load_add(&entry->waiting, load);
}

/*
 * Those that ask for the least for their weight get all of it. What is left is
 * divided among the others.
 */
void wwh_workspace_share_divide(wwh_workspace_share_t *share)
{
	GPtrArray *waiting = g_ptr_array_new();
	int64_t left_ppm = WHOLE_PPM;
	int64_t weights = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, share->workspaces);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry_t *entry = value;
		wwh_load_t demand = entry->running;

		wwh_load_add(&demand, &entry->waiting);
		entry->demand_ppm = dominant_ppm(&demand, &share->capacity);
		if (entry->weight == 0) {
			left_ppm -= entry->demand_ppm;
			continue;
		}
		entry->waiting_ppm =
			dominant_ppm(&entry->waiting, &share->capacity);
		share->waiting_ppm += entry->waiting_ppm;
		weights += entry->weight;
		g_ptr_array_add(waiting, entry);
	}
	share->weights = weights;
	left_ppm = MAX(left_ppm, 0);
	g_ptr_array_sort(waiting, compare_levels);
	for (guint i = 0; i < waiting->len && weights > 0; i++) {
		const entry_t *entry = g_ptr_array_index(waiting, i);

		if (entry->demand_ppm > left_ppm / weights * entry->weight) {
			share->ppm_per_weight = left_ppm / weights;
			break;
		}
		left_ppm -= entry->demand_ppm;
		weights -= entry->weight;
	}
	g_ptr_array_free(waiting, TRUE);
}

bool wwh_workspace_share_exceeds(const wwh_workspace_share_t *share,
				 const char *workspace, const wwh_load_t *load)
{
	const entry_t *entry;
	wwh_load_t sum = *load;

	if (workspace == NULL || share->ppm_per_weight == G_MAXINT64)
		return false;
	entry = g_hash_table_lookup(share->workspaces, workspace);
	if (entry == NULL || is_zero(&entry->running))
		return false;
	wwh_load_add(&sum, &entry->running);
	return dominant_ppm(&sum, &share->capacity) >
	       share->ppm_per_weight * entry->weight;
}

int64_t wwh_workspace_share_tasks_ahead(const wwh_workspace_share_t *share,
					const char *workspace, int64_t tasks)
{
	const entry_t *entry;
	double turns;

	if (workspace == NULL)
		return tasks;
	entry = g_hash_table_lookup(share->workspaces, workspace);
	if (entry == NULL || entry->weight == 0 || share->waiting_ppm == 0)
		return 0;
	turns = (double)entry->waiting_ppm / (double)share->waiting_ppm *
		(double)share->weights / (double)entry->weight;
	return (int64_t)((double)tasks * MIN(turns, 1.0));
}

static entry_t *find_or_add_entry(wwh_workspace_share_t *share,
				  const char *workspace)
{
	entry_t *entry = g_hash_table_lookup(share->workspaces, workspace);

	if (entry == NULL) {
		entry = g_new0(entry_t, 1);
		g_hash_table_insert(share->workspaces, g_strdup(workspace),
				    entry);
	}
	return entry;
}

static bool is_zero(const wwh_load_t *load)
{
	return load->cpu_millicores == 0 && load->memory_mb == 0 &&
	       load->gpus == 0;
}

static int64_t dominant_ppm(const wwh_load_t *load, const wwh_load_t *whole)
{
	return MAX(
		MAX(resource_ppm(load->cpu_millicores, whole->cpu_millicores),
		    resource_ppm(load->memory_mb, whole->memory_mb)),
		resource_ppm(load->gpus, whole->gpus));
}

/* A need for something that the pool has none of is more than the whole. */
static int64_t resource_ppm(int64_t part, int64_t whole)
{
	if (part <= 0)
		return 0;
	if (whole <= 0 || part / WHOLE_PPM >= whole)
		return (int64_t)WHOLE_PPM * WHOLE_PPM;
	return (int64_t)((double)part / (double)whole * WHOLE_PPM);
}

/* Those with the smaller demand for their weight come first. */
static gint compare_levels(gconstpointer a, gconstpointer b)
{
	const entry_t *one = *(const entry_t *const *)a;
	const entry_t *other = *(const entry_t *const *)b;
	double left = (double)one->demand_ppm / (double)one->weight;
	double right = (double)other->demand_ppm / (double)other->weight;

	return left < right ? -1 : left > right;
}
