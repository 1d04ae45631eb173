#include <string.h>

#include "private/host_duties_state.h"

/* Delay before a move is retried that failed or has no known outcome. */
#define RESEND_DELAY_MS 400

/* A host whose move was refused isn't moved for this long. */
#define REFUSED_MOVE_DELAY_MS 10000

/*
 * Minimum time that a host stays in a pool after a move: the work it was moved
 * for is just beginning, and each move costs as much of the jobs' value as one
 * second of work earns. Hosts of the standby pool may be moved at any time.
 */
#define MIN_STAY_MS 1500

/* What a run may still order. */
typedef struct {
	int32_t orders;
	int32_t releasable; /* to the standby pool */
	int32_t callable; /* from the standby pool */
} move_budget_t;

static void update_pool_sizes(wwh_host_duties_t *duties);
static duty_pool_t *pool_lacking_most_hosts(const wwh_host_duties_t *duties);
static bool is_standby_pool(const wwh_host_duties_t *duties, const char *name);
static const char *standby_pool_name(const wwh_host_duties_t *duties);
static void move_empty_hosts(wwh_host_duties_t *duties);
static void move_hosts_of(wwh_host_duties_t *duties, const duty_pool_t *from,
			  move_budget_t *budget);
static bool may_leave_pool(wwh_host_duties_t *duties, duty_host_t *host,
			   const duty_pool_t *to, int32_t *releasable);
static void cancel_drain(wwh_host_duties_t *duties, duty_host_t *host);
static bool cordon_and_check_empty(wwh_host_duties_t *duties,
				   duty_host_t *host);
static void send_move_order(wwh_host_duties_t *duties, duty_host_t *host,
			    const char *pool);
static void end_moved_upstream(wwh_host_duties_t *duties, duty_host_t *host);
static void resend_unanswered_moves(wwh_host_duties_t *duties);

void wwh_host_duties_set_pool(wwh_host_duties_t *duties, const char *name,
			      bool standby)
{
	duty_pool_t *pool = duties_find_pool(duties, name);

	if (pool == NULL) {
		pool = g_new0(duty_pool_t, 1);
		pool->name = g_strdup(name);
		pool->hosts = g_ptr_array_new();
		pool->leaving = g_ptr_array_new();
		g_hash_table_insert(duties->pools, pool->name, pool);
	}
	pool->standby = standby;
}

void wwh_host_duties_handle_move_result(wwh_host_duties_t *duties,
					const char *name,
					wwh_duty_result_t result,
					int64_t now_ms)
{
	duty_host_t *host = g_hash_table_lookup(duties->hosts, name);

	duties->now_ms = MAX(duties->now_ms, now_ms);
	if (host == NULL || host->move_target == NULL)
		return;
	host->move_in_flight = false;
	duties_recount_hosts(duties);
	host->last_order_ms = duties->now_ms;
	host->move_retry_ms = duties->now_ms + RESEND_DELAY_MS;
	/* others use the rate of the service, too */
	if (result == WWH_DUTY_NOT_DONE)
		duties_count_order(duties);
	if (result != WWH_DUTY_DONE)
		duties_log_event(duties, "move-not-done", name,
				 "from=%s to=%s result=%s", host->pool,
				 host->move_target,
				 wwh_duty_result_names[result]);
	if (result == WWH_DUTY_UNKNOWN)
		return; /* may take effect; resent until the outcome is known */
	if (result == WWH_DUTY_DONE) {
		duties_log_event(duties, "moved", name, "from=%s to=%s",
				 host->pool, host->move_target);
		duties_advance_list(duties);
		end_moved_upstream(duties, host);
		g_free(host->pool);
		host->pool = g_strdup(host->move_target);
		host->state = WWH_HOST_MOVING;
		host->moving_until_ms =
			duties->now_ms + duties->options.move_ms;
		host->no_move_until_ms =
			host->moving_until_ms +
			(is_standby_pool(duties, host->pool) ? 0 : MIN_STAY_MS);
	} else {
		host->no_move_until_ms =
			duties->now_ms + (result == WWH_DUTY_REFUSED
						  ? REFUSED_MOVE_DELAY_MS
						  : RESEND_DELAY_MS);
		if (host->upstream != NULL)
			wwh_scheduler_uncordon(duties->options.scheduler,
					       host->upstream);
	}
	host->is_surplus = false;
	g_clear_pointer(&host->move_target, g_free);
	g_clear_pointer(&host->moved_upstream, g_free);
}

/*
 * The host is in its new pool, whichever order moved it there, so the upstream that
 * it ran in the old one has ended. Its record is deleted at once: a new holder polls
 * each upstream with a record, and waits for those that don't answer.
 */
static void end_moved_upstream(wwh_host_duties_t *duties, duty_host_t *host)
{
	wwh_scheduler_t *scheduler = duties->options.scheduler;

	if (host->moved_upstream != NULL &&
	    wwh_scheduler_upstream_load(scheduler, host->moved_upstream)
			    .tasks == 0)
		wwh_scheduler_upstream_terminated(
			scheduler, host->moved_upstream,
			WWH_TERMINATION_ORDERED, "moved", duties->now_ms);
}

void duties_run_moves(wwh_host_duties_t *duties)
{
	if (standby_pool_name(duties) == NULL &&
	    g_hash_table_size(duties->pools) < 2)
		return;
	resend_unanswered_moves(duties);
	update_pool_sizes(duties);
	duties_select_surplus(duties);
	if (standby_pool_name(duties) != NULL)
		duties_update_reserve(duties);
	move_empty_hosts(duties);
}

static void update_pool_sizes(wwh_host_duties_t *duties)
{
	GArray *wanted = g_array_new(FALSE, FALSE, sizeof(int32_t));
	GArray *least = g_array_new(FALSE, FALSE, sizeof(int32_t));
	guint next = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;
		wwh_pool_demand_t demand;
		int32_t hosts_wanted;

		if (pool->standby)
			continue;
		demand = wwh_scheduler_pool_demand(duties->options.scheduler,
						   pool->name);
		hosts_wanted = wwh_pool_sizing_desired_hosts(
			duties->sizing, pool->name, &demand, duties->now_ms);
		pool->lacks_hosts = hosts_wanted > pool->host_count;
		pool->desired = hosts_wanted;
		pool->min_hosts = demand.min_hosts;
		g_array_append_val(wanted, hosts_wanted);
		g_array_append_val(least, demand.min_hosts);
	}
	wwh_pool_sizing_share((int32_t *)(void *)wanted->data,
			      (const int32_t *)(const void *)least->data,
			      (int32_t)wanted->len, duties->available_hosts);
	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		pool->wanted = pool->standby
				       ? 0
				       : g_array_index(wanted, int32_t, next++);
	}
	g_array_free(wanted, TRUE);
	g_array_free(least, TRUE);
}

bool duties_may_move(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	return host->in_list && host->pool != NULL &&
	       host->state == WWH_HOST_UP && !host->upkeep_in_flight &&
	       !host->in_upkeep && host->draining_since_ms == 0 &&
	       host->upkeep_ordered_ms == 0 && host->move_target == NULL &&
	       duties->now_ms >= host->no_move_until_ms;
}

static duty_pool_t *pool_lacking_most_hosts(const wwh_host_duties_t *duties)
{
	duty_pool_t *found = NULL;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		if (pool->standby || pool->wanted <= pool->host_count)
			continue;
		if (found == NULL || pool->wanted - pool->host_count >
					     found->wanted - found->host_count)
			found = pool;
	}
	return found;
}

static bool is_standby_pool(const wwh_host_duties_t *duties, const char *name)
{
	const duty_pool_t *pool = duties_find_pool(duties, name);

	return pool != NULL && pool->standby;
}

static const char *standby_pool_name(const wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (((duty_pool_t *)value)->standby)
			return ((duty_pool_t *)value)->name;
	}
	return NULL;
}

/*
 * Moves empty surplus hosts to the pool that lacks most hosts, or to the
 * standby pool if none lacks any and the fleet has more hosts than its reserve.
 * Hosts of the standby pool only move to a pool that lacks hosts for which no
 * surplus host is on its way.
 */
static void move_empty_hosts(wwh_host_duties_t *duties)
{
	GPtrArray *pools = duties_pools_by_surplus(duties);
	move_budget_t budget = {
		.orders = MIN(duties_orders_left(duties),
			      duties_max_orders_in_flight(duties) -
				      duties->moves_in_flight),
		.releasable =
			duties->held_moves == WWH_HELD_NONE
				? wwh_fleet_reserve_releasable(duties->reserve)
				: 0,
		.callable = wwh_fleet_reserve_callable(duties->reserve),
	};

	if (duties->held_moves == WWH_HELD_MOVES)
		budget.orders = 0;
	for (guint i = 0; i < pools->len && budget.orders > 0; i++)
		move_hosts_of(duties, g_ptr_array_index(pools, i), &budget);
	g_ptr_array_unref(pools);
}

static void move_hosts_of(wwh_host_duties_t *duties, const duty_pool_t *from,
			  move_budget_t *budget)
{
	const char *standby = standby_pool_name(duties);
	duty_pool_t *to = pool_lacking_most_hosts(duties);

	for (guint i = 0; i < from->leaving->len && budget->orders > 0; i++) {
		duty_host_t *host = g_ptr_array_index(from->leaving, i);

		if (to == NULL && (standby == NULL || from->standby))
			return;
		if (from->standby ? budget->callable <= 0
				  : !may_leave_pool(duties, host, to,
						    &budget->releasable))
			continue;
		if (from->standby) {
			wwh_fleet_reserve_handle_call(duties->reserve);
			budget->callable--;
		} else if (to == NULL) {
			wwh_fleet_reserve_handle_release(duties->reserve);
		}
		send_move_order(duties, host, to != NULL ? to->name : standby);
		budget->orders--;
		if (to != NULL) {
			to->host_count++;
			to = pool_lacking_most_hosts(duties);
		}
	}
}

/*
 * Returns whether a surplus host can be moved now. While it belongs to the
 * reserve and no other pool needs it, it isn't drained: it is paid for anyway,
 * and late jobs of its own pool, for which no host is requested, would wait
 * although it is idle. A host that got a lasting task meanwhile stays in its
 * pool. releasable is reduced by one for a host that leaves for standby, also
 * while it is drained for that.
 */
static bool may_leave_pool(wwh_host_duties_t *duties, duty_host_t *host,
			   const duty_pool_t *to, int32_t *releasable)
{
	if (host->upstream == NULL)
		return false;
	if (host->load.lasting > 0) {
		host->is_surplus = false;
		host->home->host_count++;
		cancel_drain(duties, host);
		return false;
	}
	if (to == NULL && *releasable <= 0) {
		cancel_drain(duties, host);
		return false;
	}
	*releasable -= to == NULL;
	return cordon_and_check_empty(duties, host);
}

static void cancel_drain(wwh_host_duties_t *duties, duty_host_t *host)
{
	if (host->drain_for_move_ms == 0)
		return;
	host->drain_for_move_ms = 0;
	wwh_scheduler_uncordon(duties->options.scheduler, host->upstream);
}

static bool cordon_and_check_empty(wwh_host_duties_t *duties, duty_host_t *host)
{
	if (host->drain_for_move_ms == 0)
		host->drain_for_move_ms = duties->now_ms;
	return wwh_scheduler_cordon(duties->options.scheduler, host->upstream,
				    false, duties->now_ms) &&
	       host->load.known && host->load.tasks == 0;
}

static void send_move_order(wwh_host_duties_t *duties, duty_host_t *host,
			    const char *pool)
{
	if (host->move_target == NULL) {
		host->move_target = g_strdup(pool);
		host->moved_upstream = g_strdup(host->upstream);
		host->home->empty_leaving--;
	}
	if (!host->in_transit)
		g_ptr_array_add(duties->in_transit, host);
	host->in_transit = true;
	host->move_in_flight = true;
	duties_recount_hosts(duties);
	host->last_order_ms = duties->now_ms;
	duties_count_order(duties);
	duties->calls.move(host->name, host->move_target,
			   duties->calls.client_data);
}

static void resend_unanswered_moves(wwh_host_duties_t *duties)
{
	for (guint i = 0; i < duties->in_transit->len; i++) {
		duty_host_t *host = g_ptr_array_index(duties->in_transit, i);

		if (host->move_target != NULL && !host->move_in_flight &&
		    duties->now_ms >= host->move_retry_ms &&
		    duties_orders_left(duties) > 0)
			send_move_order(duties, host, host->move_target);
	}
}
