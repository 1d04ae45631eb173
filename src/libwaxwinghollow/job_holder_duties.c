#include "private/job_holder_state.h"

/*
 * Hosts come and go in seconds, and each run of the duties examines every host. The
 * interval between two runs grows with the time that they take, so that their share
 * of the holder's time is bounded in a fleet of any size.
 */
#define DUTIES_PERIOD_MS 20
#define DUTIES_MAX_PERIOD_MS 500
#define DUTIES_SHARE_DIVISOR 20

/*
 * No host is moved while appends fail and a record is older than this. The records of
 * upstreams that ended meanwhile would be left to the next holder, which waits for
 * them. A holder that the store rejects is replaced within HANDOVER_LIMIT_MS; if it
 * isn't, the store is away for all, and pools that lack hosts get them. A store that is
 * slow holds nothing.
 */
#define MOVES_MAX_LAG_MS 200
#define HANDOVER_LIMIT_MS 1500

static int64_t host_orders_delay_ms(const wwh_job_holder_t *holder);
static int64_t upkeep_delay_ms(const wwh_job_holder_t *holder);
static wwh_held_moves_t held_moves(const wwh_job_holder_t *holder);
static bool may_order_hosts(const wwh_job_holder_t *holder);

void job_holder_make_duties(wwh_job_holder_t *holder)
{
	const wwh_host_settings_t *settings = holder->options.settings;
	wwh_host_duties_options_t options = {
		.upkeep_ms = settings->upkeep_ms,
		.move_ms = settings->move_ms,
		.wall_ms = holder->wall_ms,
		.wall_offset_ms = holder->wall_ms - holder->now_ms,
		.orders_per_s = settings->host_orders_per_s,
		.lists_per_s = settings->host_lists_per_s,
		.scheduler = holder->scheduler,
	};
	wwh_host_duties_calls_t calls = {
		.list = job_holder_list_hosts,
		.upkeep = job_holder_order_upkeep,
		.move = job_holder_order_move,
		.report = job_holder_report_wave,
		.write_record = job_holder_write_record,
		.explain = job_holder_log_event,
		.client_data = holder,
	};

	options.first_order_ms = holder->now_ms + host_orders_delay_ms(holder);
	options.first_upkeep_ms = holder->now_ms + upkeep_delay_ms(holder);
	holder->duties = wwh_host_duties_new(&options, &calls);
}

/*
 * A previous holder was found ended because connections to it were refused,
 * which also happens while its host is cut off from this one. It learns from
 * the answer to its next append that it was replaced. Until then, hosts that
 * don't check fencing tokens carry out its orders, also after orders of this
 * holder. A holder that released the shard has no orders in flight.
 */
static int64_t host_orders_delay_ms(const wwh_job_holder_t *holder)
{
	const wwh_host_settings_t *settings = holder->options.settings;

	if (holder->options.previous_holder_may_act)
		return wwh_host_duties_takeover_delay_ms(
			settings->hosts_fence, settings->duty_lease_ms);
	if (holder->options.previous_holder_ended && !settings->hosts_fence)
		return MIN(settings->duty_lease_ms, WWH_OVERTAKEN_HOLDER_MS);
	return 0;
}

/* The same, also where hosts check tokens, as each one does so for itself. */
static int64_t upkeep_delay_ms(const wwh_job_holder_t *holder)
{
	return holder->options.previous_holder_ended
		       ? MIN(holder->options.settings->duty_lease_ms,
			     WWH_OVERTAKEN_HOLDER_MS)
		       : 0;
}

static wwh_held_moves_t held_moves(const wwh_job_holder_t *holder)
{
	int64_t lag_ms =
		wwh_shard_journal_lag_ms(holder->journal, holder->now_ms);

	if (lag_ms <= MOVES_MAX_LAG_MS ||
	    !wwh_shard_journal_failing(holder->journal))
		return WWH_HELD_NONE;
	return lag_ms <= HANDOVER_LIMIT_MS ? WWH_HELD_MOVES : WWH_HELD_RELEASES;
}

void job_holder_run_duties(wwh_job_holder_t *holder)
{
	int64_t began_us = g_get_monotonic_time();
	int64_t took_us;

	if (holder->now_ms < holder->duties_after_ms)
		return;
	wwh_host_duties_set_paused(holder->duties, !may_order_hosts(holder));
	wwh_host_duties_hold_moves(holder->duties, held_moves(holder));
	wwh_host_duties_hold_upkeeps(
		holder->duties,
		wwh_scheduler_previous_may_act(holder->scheduler));
	wwh_host_duties_run(holder->duties, holder->now_ms);
	job_holder_update_reserve_gauges(holder);
	took_us = g_get_monotonic_time() - began_us;
	holder->duties_after_ms =
		holder->now_ms +
		CLAMP(took_us * DUTIES_SHARE_DIVISOR / G_TIME_SPAN_MILLISECOND,
		      DUTIES_PERIOD_MS, DUTIES_MAX_PERIOD_MS);
}

/*
 * Hosts that don't check fencing tokens carry out the orders of a replaced
 * holder beside those of the next one, which takes one host too many down. A
 * holder that doesn't reach the store may have been replaced without knowing
 * it, so it gives no orders. It stops before the hosts' lease expires, for
 * which the next holder waits. Hosts that do check tokens know those of their own
 * orders only, so there a replaced holder stops as well, unless most upstreams show
 * that it hasn't been replaced.
 */
static bool may_order_hosts(const wwh_job_holder_t *holder)
{
	if (holder->duties_paused)
		return false;
	if (!holder->options.settings->hosts_fence)
		return wwh_job_holder_reaches_store(holder, holder->now_ms);
	if (holder->options.previous_holder_may_act &&
	    wwh_scheduler_previous_may_act(holder->scheduler))
		return false;
	return holder->now_ms - wwh_scheduler_authority_ms(holder->scheduler) <=
	       STORE_REACHABLE_FOR_MS;
}
