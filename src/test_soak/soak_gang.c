#include "soak.h"

#include <string.h>

#define TICK_MS 10
#define PLANTED_WAIT_MS 1000

/* One run of the tasks of a step. */
typedef struct {
	char *name; /* of the step, and the number of the run */
	int32_t size;
	GPtrArray *members; /* soak_run_t */
	bool works;
} gang_t;

static GHashTable *gangs; /* name to gang_t */

/* ID.K.STEP of ID.K.STEP.INDEX, and the number of the run */
static char *gang_name(const soak_run_t *run)
{
	int length = (int)(strrchr(run->task, '.') - run->task);

	return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, length, run->task,
			       run->run);
}

static void gang_delete(gpointer data)
{
	gang_t *gang = data;

	g_free(gang->name);
	g_ptr_array_free(gang->members, TRUE);
	g_free(gang);
}

void soak_gang_join(soak_run_t *run)
{
	char *name = gang_name(run);
	gang_t *gang = g_hash_table_lookup(gangs, name);
	/* planted: it ends before the holder takes it for hung */
	int64_t wait_ms = soak.options.plant == SOAK_PLANT_GANG_ALONE
				  ? PLANTED_WAIT_MS
				  : SOAK_GANG_MS;

	if (gang == NULL) {
		gang = g_new0(gang_t, 1);
		gang->name = g_strdup(name);
		gang->size = soak_job_of_task(run->task)->tasks;
		gang->members = g_ptr_array_new();
		g_hash_table_insert(gangs, gang->name, gang);
	}
	g_ptr_array_add(gang->members, run);
	run->works_ms = INT64_MAX;
	run->due_ms = run->begun_ms + wait_ms;
	run->due_how = "alone";
	g_free(name);
}

static const soak_run_t *find_ended(const gang_t *gang)
{
	for (guint i = 0; i < gang->members->len; i++) {
		const soak_run_t *run = g_ptr_array_index(gang->members, i);

		if (run->how != NULL)
			return run;
	}
	return NULL;
}

static void set_end(const gang_t *gang, int64_t due_ms, const char *how)
{
	for (guint i = 0; i < gang->members->len; i++) {
		soak_run_t *run = g_ptr_array_index(gang->members, i);

		run->works_ms = MIN(run->works_ms, soak_now_ms());
		run->due_ms = due_ms;
		run->due_how = how;
	}
}

/* Returns whether it is over. */
static gboolean run_gang(gpointer key, gpointer value, gpointer data)
{
	gang_t *gang = value;
	const soak_run_t *ended = find_ended(gang);
	bool complete = (int32_t)gang->members->len == gang->size &&
			soak.options.plant != SOAK_PLANT_GANG_ALONE;

	(void)key;
	(void)data;
	if (ended != NULL) {
		if (strcmp(ended->how, "done") != 0)
			set_end(gang, soak_now_ms(), "broken");
		return true;
	}
	if (complete && !gang->works) {
		gang->works = true;
		set_end(gang,
			soak_now_ms() + g_rand_int_range(soak.rand,
							 SOAK_TASK_MIN_MS,
							 SOAK_TASK_MAX_MS),
			"done");
	}
	return false;
}

static void run_gangs(void *data)
{
	(void)data;
	g_hash_table_foreach_remove(gangs, run_gang, NULL);
}

void soak_gangs_start(void)
{
	gangs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      gang_delete);
	soak_every(TICK_MS, run_gangs, NULL);
}
