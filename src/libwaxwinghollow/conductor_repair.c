#include "private/conductor_state.h"

static void append_failed(wwh_conductor_t *conductor, int32_t worker);
static void restore_worker(wwh_conductor_t *conductor, int32_t worker);
static wwh_status_query_t *find_or_add_probe(wwh_conductor_t *conductor,
					     const char *worker);

void wwh_status_query_free(gpointer data)
{
	wwh_status_query_t *query = data;

	g_free(query->worker);
	g_free(query);
}

void wwh_repairs_step(wwh_conductor_t *conductor)
{
	const wwh_fleet_view_t *view = conductor->view;
	int32_t worker_count = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < worker_count; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(view, i);

		if (wwh_conductor_fence(conductor, i) == WWH_NO_OFFSET)
			continue;
		if (worker->failed == WWH_NO_OFFSET)
			g_hash_table_remove(conductor->probes, worker->id);
		if (worker->grant != WWH_NO_OFFSET)
			continue;
		if (worker->failed == WWH_NO_OFFSET &&
		    worker->host_state == WWH_HOST_GONE)
			append_failed(conductor, i);
		else if (worker->failed != WWH_NO_OFFSET &&
			 (worker->host_state == WWH_HOST_LIVE ||
			  worker->host_state == WWH_HOST_LEAVING))
			restore_worker(conductor, i);
	}
}

static void append_failed(wwh_conductor_t *conductor, int32_t worker)
{
	const char *id = wwh_fleet_worker(conductor->view, worker)->id;
	char *key = g_strdup_printf("failed/%s", id);
	wwh_record_t record;

	wwh_conductor_init_record(conductor, &record, WWH_RECORD_WORKER_FAILED);
	wwh_record_set(&record.body.worker.worker, id);
	wwh_record_set(&record.body.worker.reason, "gone from the list");
	if (wwh_conductor_append(conductor, key, &record))
		wwh_conductor_log(conductor, "worker %s: failed", id);
	g_free(key);
}

/*
 * Called when the list of hosts contains a failed worker again. The worker's
 * status is queried first, because the list lags: an outdated "live" would
 * count a worker as available that is down.
 */
static void restore_worker(wwh_conductor_t *conductor, int32_t worker)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(conductor->view, worker);
	wwh_status_query_t *probe = find_or_add_probe(conductor, item->id);
	char *key = g_strdup_printf("returned/%s/%lld", item->id,
				    (long long)item->failed);
	wwh_record_t record;

	if (!probe->is_new) {
		wwh_conductor_query_status(conductor, probe);
		g_free(key);
		return;
	}
	probe->is_new = false; /* each status is used once */
	if (probe->status.state == WWH_WORKER_UP) {
		wwh_conductor_init_record(conductor, &record,
					  WWH_RECORD_WORKER_RETURNED);
		wwh_record_set(&record.body.worker.worker, item->id);
		record.body.worker.seen = item->failed;
		record.body.worker.fence =
			wwh_conductor_fence(conductor, worker);
		wwh_conductor_append(conductor, key, &record);
	} else if (probe->status.state != WWH_WORKER_DOWN &&
		   probe->status.state != WWH_WORKER_REBOOTING) {
		/* The worker runs, but is cordoned: a repair restores it. */
		wwh_conductor_request_grant(conductor, worker, WWH_GRANT_REPAIR,
					    "");
	}
	g_free(key);
}

static wwh_status_query_t *find_or_add_probe(wwh_conductor_t *conductor,
					     const char *worker)
{
	wwh_status_query_t *probe =
		g_hash_table_lookup(conductor->probes, worker);

	if (probe)
		return probe;
	probe = g_new0(wwh_status_query_t, 1);
	probe->worker = g_strdup(worker);
	g_hash_table_insert(conductor->probes, probe->worker, probe);
	return probe;
}
