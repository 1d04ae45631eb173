#include "private/conductor_state.h"

static void report_failed(wwh_conductor_t *conductor, int32_t worker);
static void bring_back(wwh_conductor_t *conductor, int32_t worker);
static wwh_status_query_t *probe_for(wwh_conductor_t *conductor,
				     const char *worker);

void wwh_status_query_free(gpointer data)
{
	wwh_status_query_t *look = data;

	g_free(look->worker);
	g_free(look);
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
			report_failed(conductor, i);
		else if (worker->failed != WWH_NO_OFFSET &&
			 (worker->host_state == WWH_HOST_LIVE ||
			  worker->host_state == WWH_HOST_LEAVING))
			bring_back(conductor, i);
	}
}

static void report_failed(wwh_conductor_t *conductor, int32_t worker)
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
 * The list shows a failed worker again. The platform's own word is asked for
 * first, because the list lags: an old "live" would count a worker as whole
 * that is down.
 */
static void bring_back(wwh_conductor_t *conductor, int32_t worker)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(conductor->view, worker);
	wwh_status_query_t *probe = probe_for(conductor, item->id);
	char *key = g_strdup_printf("returned/%s/%lld", item->id,
				    (long long)item->failed);
	wwh_record_t record;

	if (!probe->is_new) {
		wwh_conductor_query_status(conductor, probe);
		g_free(key);
		return;
	}
	probe->is_new = false; /* one step for each look */
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
		/* It is there, but cordoned: a repair brings it back. */
		wwh_conductor_request_grant(conductor, worker, WWH_GRANT_REPAIR,
					    "");
	}
	g_free(key);
}

static wwh_status_query_t *probe_for(wwh_conductor_t *conductor,
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
