#include "private/scheduler_state.h"

void sched_run_order_add(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	int64_t at_once = 0;

	upstream->run_index = scheduler->run_order->len;
	g_ptr_array_add(scheduler->run_order, upstream);
	g_array_append_val(scheduler->wake_ms, at_once);
}

/* The last upstream takes the place of the removed one. */
void sched_run_order_remove(wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	guint index = upstream->run_index;

	g_ptr_array_remove_index_fast(scheduler->run_order, index);
	g_array_remove_index_fast(scheduler->wake_ms, index);
	if (index < scheduler->run_order->len)
		((sched_upstream_t *)g_ptr_array_index(scheduler->run_order,
						       index))
			->run_index = index;
}

void sched_endpoint_add(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	const char *endpoint = upstream->info.endpoint;
	GPtrArray *there;

	if (endpoint == NULL)
		return;
	there = g_hash_table_lookup(scheduler->endpoints, endpoint);
	if (there == NULL) {
		there = g_ptr_array_new();
		g_hash_table_insert(scheduler->endpoints, g_strdup(endpoint),
				    there);
	}
	g_ptr_array_add(there, upstream);
}

void sched_endpoint_remove(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream)
{
	const char *endpoint = upstream->info.endpoint;
	GPtrArray *there =
		endpoint == NULL
			? NULL
			: g_hash_table_lookup(scheduler->endpoints, endpoint);

	if (there == NULL)
		return;
	g_ptr_array_remove_fast(there, upstream);
	if (there->len == 0)
		g_hash_table_remove(scheduler->endpoints, endpoint);
}

void sched_upstream_wake(wwh_scheduler_t *scheduler,
			 const sched_upstream_t *upstream)
{
	g_array_index(scheduler->wake_ms, int64_t, upstream->run_index) = 0;
}

sched_upstream_t *sched_upstream_find_and_wake(wwh_scheduler_t *scheduler,
					       const char *id)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	if (upstream != NULL)
		sched_upstream_wake(scheduler, upstream);
	return upstream;
}
