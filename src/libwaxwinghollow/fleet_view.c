#include "waxwinghollow/fleet_view.h"

#include <assert.h>
#include <string.h>

typedef struct {
	GArray *items;
	GHashTable *indexes; /* id to index + 1; looked up, never iterated */
} table_t;

struct wwh_fleet_view {
	GStringChunk *strings;
	table_t workers;
	table_t pools;
	table_t racks;
	table_t zones;
	table_t jobs;
	table_t waves;
	table_t rehearsals;
	GArray *windows; /* of wwh_window_t */
	GArray *teams; /* of wwh_team_t */
	wwh_rules_t rules;
	int64_t offset;
	int32_t *members; /* by pool */
	int32_t *jobs_by_worker;
	bool sealed;
};

const char *const wwh_fleet_state_names[WWH_FLEET_STATE_COUNT] = {
	"serving",
	"out",
	"failed",
	"between",
};

static void table_init(table_t *table, guint item_size);
static void table_clear(table_t *table);
static int32_t table_find(const table_t *table, const char *id);
static void table_add(table_t *table, const char *id, const void *item);
static const char *keep(wwh_fleet_view_t *view, const char *text);
static int32_t zone_index(wwh_fleet_view_t *view, const char *id);
static int32_t rack_index(wwh_fleet_view_t *view, const char *id, int32_t zone);
static void seal_members(wwh_fleet_view_t *view);
static void seal_jobs(wwh_fleet_view_t *view);

wwh_fleet_view_t *wwh_fleet_view_new(void)
{
	wwh_fleet_view_t *view = g_new0(wwh_fleet_view_t, 1);

	view->strings = g_string_chunk_new(4096);
	table_init(&view->workers, sizeof(wwh_fleet_worker_t));
	table_init(&view->pools, sizeof(wwh_fleet_pool_t));
	table_init(&view->racks, sizeof(wwh_fleet_rack_t));
	table_init(&view->zones, sizeof(wwh_fleet_zone_t));
	table_init(&view->jobs, sizeof(wwh_fleet_job_t));
	table_init(&view->waves, sizeof(wwh_fleet_wave_t));
	table_init(&view->rehearsals, sizeof(wwh_fleet_rehearsal_t));
	view->windows = g_array_new(FALSE, TRUE, sizeof(wwh_window_t));
	view->teams = g_array_new(FALSE, TRUE, sizeof(wwh_team_t));
	view->offset = WWH_NO_OFFSET;
	return view;
}

void wwh_fleet_view_delete(wwh_fleet_view_t *view)
{
	if (!view)
		return;
	table_clear(&view->workers);
	table_clear(&view->pools);
	table_clear(&view->racks);
	table_clear(&view->zones);
	table_clear(&view->jobs);
	table_clear(&view->waves);
	table_clear(&view->rehearsals);
	g_array_free(view->windows, TRUE);
	g_array_free(view->teams, TRUE);
	g_free(view->members);
	g_free(view->jobs_by_worker);
	g_string_chunk_free(view->strings);
	g_free(view);
}

int32_t wwh_fleet_view_add_pool(wwh_fleet_view_t *view, const wwh_pool_t *rule)
{
	wwh_fleet_pool_t pool = { .id = keep(view, rule->id),
				  .rule = *rule,
				  .fence = WWH_NO_OFFSET,
				  .wave = WWH_FLEET_NONE };

	assert(!view->sealed);
	pool.rule.id = (char *)pool.id;
	table_add(&view->pools, pool.id, &pool);
	return (int32_t)view->pools.items->len - 1;
}

int32_t wwh_fleet_view_add_worker(wwh_fleet_view_t *view,
				  const wwh_worker_t *worker)
{
	wwh_fleet_worker_t item = {
		.id = g_string_chunk_insert(view->strings, worker->id),
		.size = { worker->cores * 1000, worker->memory_mb,
			  worker->accelerators },
		.grant = WWH_NO_OFFSET,
		.grant_owner = "",
		.failed = WWH_NO_OFFSET,
		.move_from = WWH_FLEET_NONE,
		.move_to = WWH_FLEET_NONE,
		.host_state = WWH_FLEET_UNKNOWN,
		.requests_in_progress = WWH_FLEET_UNKNOWN,
	};

	assert(!view->sealed);
	item.pool = worker->pool ? table_find(&view->pools, worker->pool)
				 : WWH_FLEET_NONE;
	item.state = item.pool == WWH_FLEET_NONE ? WWH_FLEET_BETWEEN
						 : WWH_FLEET_SERVING;
	item.wanted_pool = item.pool;
	item.zone = zone_index(view, worker->zone);
	item.rack = rack_index(view, worker->rack, item.zone);
	table_add(&view->workers, item.id, &item);
	return (int32_t)view->workers.items->len - 1;
}

int32_t wwh_fleet_view_add_job(wwh_fleet_view_t *view,
			       const wwh_fleet_job_t *job)
{
	wwh_fleet_job_t item = *job;

	assert(!view->sealed);
	assert(job->worker < (int32_t)view->workers.items->len);
	assert(job->pool < (int32_t)view->pools.items->len);
	item.id = g_string_chunk_insert(view->strings, job->id);
	item.team = keep(view, job->team);
	item.group = keep(view, job->group);
	table_add(&view->jobs, item.id, &item);
	return (int32_t)view->jobs.items->len - 1;
}

int32_t wwh_fleet_view_add_wave(wwh_fleet_view_t *view,
				const wwh_fleet_wave_t *wave)
{
	wwh_fleet_wave_t item = *wave;
	int32_t index = (int32_t)view->waves.items->len;

	item.id = keep(view, wave->id);
	table_add(&view->waves, item.id, &item);
	if (wave->phase == WWH_WAVE_PHASE_RUNNING ||
	    wave->phase == WWH_WAVE_PHASE_PAUSED)
		wwh_fleet_pool(view, wave->pool)->wave = index;
	return index;
}

int32_t wwh_fleet_view_add_rehearsal(wwh_fleet_view_t *view,
				     const wwh_fleet_rehearsal_t *rehearsal)
{
	wwh_fleet_rehearsal_t item = *rehearsal;

	item.id = keep(view, rehearsal->id);
	item.domain_id = keep(view, rehearsal->domain_id);
	table_add(&view->rehearsals, item.id, &item);
	return (int32_t)view->rehearsals.items->len - 1;
}

void wwh_fleet_view_add_window(wwh_fleet_view_t *view,
			       const wwh_window_t *window)
{
	wwh_window_t item = *window;

	item.id = (char *)keep(view, window->id);
	item.pool = (char *)keep(view, window->pool);
	g_array_append_val(view->windows, item);
}

void wwh_fleet_view_add_team(wwh_fleet_view_t *view, const wwh_team_t *team)
{
	wwh_team_t item = *team;

	item.id = (char *)keep(view, team->id);
	g_array_append_val(view->teams, item);
}

void wwh_fleet_view_set_rules(wwh_fleet_view_t *view, const wwh_rules_t *rules)
{
	view->rules = *rules;
}

void wwh_fleet_view_set_offset(wwh_fleet_view_t *view, int64_t offset)
{
	view->offset = offset;
}

const char *wwh_fleet_view_copy_string(wwh_fleet_view_t *view, const char *text)
{
	return keep(view, text);
}

void wwh_fleet_view_seal(wwh_fleet_view_t *view)
{
	assert(!view->sealed);
	seal_members(view);
	seal_jobs(view);
	view->sealed = true;
}

int32_t wwh_fleet_worker_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->workers.items->len;
}

int32_t wwh_fleet_pool_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->pools.items->len;
}

int32_t wwh_fleet_rack_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->racks.items->len;
}

int32_t wwh_fleet_zone_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->zones.items->len;
}

int32_t wwh_fleet_job_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->jobs.items->len;
}

int32_t wwh_fleet_wave_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->waves.items->len;
}

int32_t wwh_fleet_rehearsal_count(const wwh_fleet_view_t *view)
{
	return (int32_t)view->rehearsals.items->len;
}

wwh_fleet_worker_t *wwh_fleet_worker(const wwh_fleet_view_t *view,
				     int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->workers.items->len);
	return &g_array_index(view->workers.items, wwh_fleet_worker_t, index);
}

wwh_fleet_pool_t *wwh_fleet_pool(const wwh_fleet_view_t *view, int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->pools.items->len);
	return &g_array_index(view->pools.items, wwh_fleet_pool_t, index);
}

const wwh_fleet_rack_t *wwh_fleet_rack(const wwh_fleet_view_t *view,
				       int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->racks.items->len);
	return &g_array_index(view->racks.items, wwh_fleet_rack_t, index);
}

const wwh_fleet_zone_t *wwh_fleet_zone(const wwh_fleet_view_t *view,
				       int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->zones.items->len);
	return &g_array_index(view->zones.items, wwh_fleet_zone_t, index);
}

wwh_fleet_job_t *wwh_fleet_job(const wwh_fleet_view_t *view, int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->jobs.items->len);
	return &g_array_index(view->jobs.items, wwh_fleet_job_t, index);
}

wwh_fleet_wave_t *wwh_fleet_wave(const wwh_fleet_view_t *view, int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->waves.items->len);
	return &g_array_index(view->waves.items, wwh_fleet_wave_t, index);
}

wwh_fleet_rehearsal_t *wwh_fleet_rehearsal(const wwh_fleet_view_t *view,
					   int32_t index)
{
	assert(index >= 0 && index < (int32_t)view->rehearsals.items->len);
	return &g_array_index(view->rehearsals.items, wwh_fleet_rehearsal_t,
			      index);
}

const wwh_window_t *wwh_fleet_windows(const wwh_fleet_view_t *view,
				      int32_t *count)
{
	*count = (int32_t)view->windows->len;
	return (const wwh_window_t *)(const void *)view->windows->data;
}

const wwh_team_t *wwh_fleet_teams(const wwh_fleet_view_t *view, int32_t *count)
{
	*count = (int32_t)view->teams->len;
	return (const wwh_team_t *)(const void *)view->teams->data;
}

const wwh_rules_t *wwh_fleet_rules(const wwh_fleet_view_t *view)
{
	return &view->rules;
}

int64_t wwh_fleet_offset(const wwh_fleet_view_t *view)
{
	return view->offset;
}

int32_t wwh_fleet_member(const wwh_fleet_view_t *view, int32_t pool,
			 int32_t position)
{
	const wwh_fleet_pool_t *item = wwh_fleet_pool(view, pool);

	assert(view->sealed);
	assert(position >= 0 && position < item->size);
	return view->members[item->first_member + position];
}

int32_t wwh_fleet_worker_job(const wwh_fleet_view_t *view, int32_t worker,
			     int32_t position)
{
	const wwh_fleet_worker_t *item = wwh_fleet_worker(view, worker);

	assert(view->sealed);
	assert(position >= 0 && position < item->job_count);
	return view->jobs_by_worker[item->first_job + position];
}

int32_t wwh_fleet_find_worker(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->workers, id);
}

int32_t wwh_fleet_find_pool(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->pools, id);
}

int32_t wwh_fleet_find_rack(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->racks, id);
}

int32_t wwh_fleet_find_zone(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->zones, id);
}

int32_t wwh_fleet_find_job(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->jobs, id);
}

int32_t wwh_fleet_find_wave(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->waves, id);
}

int32_t wwh_fleet_find_rehearsal(const wwh_fleet_view_t *view, const char *id)
{
	return table_find(&view->rehearsals, id);
}

bool wwh_fleet_is_in_domain(const wwh_fleet_view_t *view, int32_t worker,
			    wwh_domain_t domain, const char *domain_id)
{
	const wwh_fleet_worker_t *item = wwh_fleet_worker(view, worker);
	const char *id = item->id;

	if (domain == WWH_DOMAIN_RACK)
		id = wwh_fleet_rack(view, item->rack)->id;
	else if (domain == WWH_DOMAIN_ZONE)
		id = wwh_fleet_zone(view, item->zone)->id;
	return strcmp(id, domain_id) == 0;
}

bool wwh_fleet_is_lost(const wwh_fleet_worker_t *worker)
{
	return worker->state != WWH_FLEET_SERVING || worker->quarantined;
}

static void table_init(table_t *table, guint item_size)
{
	table->items = g_array_new(FALSE, TRUE, item_size);
	table->indexes = g_hash_table_new(g_str_hash, g_str_equal);
}

static void table_clear(table_t *table)
{
	g_array_free(table->items, TRUE);
	g_hash_table_destroy(table->indexes);
}

static int32_t table_find(const table_t *table, const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(table->indexes, id)) - 1;
}

static void table_add(table_t *table, const char *id, const void *item)
{
	bool is_new;

	g_array_append_vals(table->items, item, 1);
	is_new = g_hash_table_insert(table->indexes, (gpointer)id,
				     GINT_TO_POINTER((gint)table->items->len));
	assert(is_new);
}

static const char *keep(wwh_fleet_view_t *view, const char *text)
{
	return g_string_chunk_insert_const(view->strings, text ? text : "");
}

static int32_t zone_index(wwh_fleet_view_t *view, const char *id)
{
	const char *kept = keep(view, id);
	int32_t index = table_find(&view->zones, kept);
	wwh_fleet_zone_t zone = { .id = kept };

	if (index == WWH_FLEET_NONE) {
		index = (int32_t)view->zones.items->len;
		table_add(&view->zones, kept, &zone);
	}
	g_array_index(view->zones.items, wwh_fleet_zone_t, index).size++;
	return index;
}

static int32_t rack_index(wwh_fleet_view_t *view, const char *id, int32_t zone)
{
	const char *kept = keep(view, id);
	int32_t index = table_find(&view->racks, kept);
	wwh_fleet_rack_t rack = { .id = kept, .zone = zone };

	if (index == WWH_FLEET_NONE) {
		index = (int32_t)view->racks.items->len;
		table_add(&view->racks, kept, &rack);
	}
	g_array_index(view->racks.items, wwh_fleet_rack_t, index).size++;
	return index;
}

static void seal_members(wwh_fleet_view_t *view)
{
	int32_t worker_count = wwh_fleet_worker_count(view);
	int32_t pool_count = wwh_fleet_pool_count(view);
	int32_t *filled = g_new0(int32_t, pool_count + 1);
	int32_t first = 0;

	view->members = g_new0(int32_t, worker_count + 1);
	for (int32_t i = 0; i < worker_count; i++) {
		int32_t pool = wwh_fleet_worker(view, i)->pool;

		if (pool != WWH_FLEET_NONE)
			wwh_fleet_pool(view, pool)->size++;
	}
	for (int32_t i = 0; i < pool_count; i++) {
		wwh_fleet_pool(view, i)->first_member = first;
		first += wwh_fleet_pool(view, i)->size;
	}
	for (int32_t i = 0; i < worker_count; i++) {
		int32_t pool = wwh_fleet_worker(view, i)->pool;

		if (pool == WWH_FLEET_NONE)
			continue;
		view->members[wwh_fleet_pool(view, pool)->first_member +
			      filled[pool]++] = i;
	}
	g_free(filled);
}

static void seal_jobs(wwh_fleet_view_t *view)
{
	int32_t worker_count = wwh_fleet_worker_count(view);
	int32_t job_count = wwh_fleet_job_count(view);
	int32_t *filled = g_new0(int32_t, worker_count + 1);
	int32_t first = 0;

	view->jobs_by_worker = g_new0(int32_t, job_count + 1);
	for (int32_t i = 0; i < job_count; i++) {
		int32_t worker = wwh_fleet_job(view, i)->worker;

		if (worker != WWH_FLEET_NONE)
			wwh_fleet_worker(view, worker)->job_count++;
	}
	for (int32_t i = 0; i < worker_count; i++) {
		wwh_fleet_worker(view, i)->first_job = first;
		first += wwh_fleet_worker(view, i)->job_count;
	}
	for (int32_t i = 0; i < job_count; i++) {
		int32_t worker = wwh_fleet_job(view, i)->worker;

		if (worker == WWH_FLEET_NONE)
			continue;
		view->jobs_by_worker[wwh_fleet_worker(view, worker)->first_job +
				     filled[worker]++] = i;
	}
	g_free(filled);
}
