#include "waxwinghollow/host_duties.h"

#include <string.h>

#include "private/host_duties_state.h"

#define LIST_INTERVAL_MS 500

/*
 * Demand varies by chance, so the next peak may exceed the observed one. Without
 * headroom, nine in a thousand jobs that would be in time with all hosts were late
 * while their hosts returned from standby; callers bear five.
 */
#define RESERVE_HEADROOM_PERCENT 20

/*
 * Of the first peak, while the others aren't known: one that needs twice as much is
 * covered. Where a peak needs more than half of the fleet nothing is released.
 */
#define ESTIMATE_HEADROOM_PERCENT 100

/*
 * Of what lasting tasks need, while no peak was seen: a first peak of three times as
 * many hosts is covered. Where lasting tasks need a quarter of the fleet nothing is
 * released.
 */
#define IDLE_HEADROOM_PERCENT 300

const char *const wwh_host_run_state_names[WWH_HOST_RUN_STATE_COUNT] = {
	"up",
	"moving",
	"upkeep",
	"down",
};

const char *const wwh_duty_result_names[WWH_DUTY_RESULT_COUNT] = {
	"done", "not-done", "busy", "refused", "fenced", "unknown",
};

static void add_listed_incarnation(wwh_host_duties_t *duties,
				   const wwh_listed_host_t *listed);
static void add_incarnation_before_order(wwh_host_duties_t *duties,
					 const duty_host_t *host);
static bool is_contradicted(const wwh_host_duties_t *duties,
			    const duty_host_t *host,
			    const wwh_listed_host_t *listed);
static bool is_back_from_upkeep(const wwh_host_duties_t *duties,
				const duty_host_t *host);
static void report_terminated_incarnation(wwh_host_duties_t *duties,
					  const duty_host_t *host,
					  const wwh_listed_host_t *listed);
static bool ends_incarnation(const wwh_host_duties_t *duties,
			     const duty_host_t *host,
			     const wwh_listed_host_t *listed);
static void update_hold(wwh_host_duties_t *duties);
static bool may_begin_upkeeps(const wwh_host_duties_t *duties);
static bool is_at_rest(const wwh_host_duties_t *duties,
		       const wwh_listed_host_t *listed);
static bool is_taken_down(const wwh_listed_host_t *listed);

int64_t wwh_host_duties_takeover_delay_ms(bool hosts_fence, int64_t lease_ms)
{
	return hosts_fence ? MIN(lease_ms, WWH_OVERTAKEN_HOLDER_MS) : lease_ms;
}

wwh_host_duties_t *wwh_host_duties_new(const wwh_host_duties_options_t *options,
				       const wwh_host_duties_calls_t *calls)
{
	wwh_host_duties_t *duties = g_new0(wwh_host_duties_t, 1);
	wwh_fleet_reserve_options_t reserve_options = {
		.window_ms = WWH_STANDBY_DELAY_MS,
		.headroom_percent = RESERVE_HEADROOM_PERCENT,
		.estimate_headroom_percent = ESTIMATE_HEADROOM_PERCENT,
		.idle_headroom_percent = IDLE_HEADROOM_PERCENT,
		.releases_per_s =
			(int32_t)CLAMP(options->orders_per_s, 0, INT32_MAX),
	};

	duties->options = *options;
	duties->calls = *calls;
	duties->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      duties_host_delete);
	duties->incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	duties->waves = g_ptr_array_new_with_free_func(duties_wave_delete);
	duties->sizing = wwh_pool_sizing_new();
	duties->reserve = wwh_fleet_reserve_new(&reserve_options);
	duties->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      duties_pool_delete);
	duties->in_transit = g_ptr_array_new();
	duties_init_orders(duties);
	duties->first_order_ms = options->first_order_ms;
	duties->first_upkeep_ms = options->first_upkeep_ms;
	duties->restored =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_hash_table_destroy);
	return duties;
}

void wwh_host_duties_delete(wwh_host_duties_t *duties)
{
	if (duties == NULL)
		return;
	g_ptr_array_unref(duties->waves);
	g_hash_table_destroy(duties->hosts);
	g_hash_table_destroy(duties->incarnations);
	g_hash_table_destroy(duties->pools);
	g_ptr_array_unref(duties->in_transit);
	g_free(duties->order_rate.sent_ms);
	wwh_pool_sizing_delete(duties->sizing);
	wwh_fleet_reserve_delete(duties->reserve);
	g_hash_table_destroy(duties->restored);
	g_free(duties);
}

void wwh_host_duties_list_begin(wwh_host_duties_t *duties)
{
	duties->list_number++;
	duties->list_pages = 0;
	duties->incarnations_complete = true;
	duties->hosts_down = false;
	g_hash_table_remove_all(duties->incarnations);
	duties->list_has_unnamed_row = false;
	wwh_scheduler_incarnations_requested(duties->options.scheduler);
}

void wwh_host_duties_list_host(wwh_host_duties_t *duties,
			       const wwh_listed_host_t *listed)
{
	duty_host_t *host;

	if (listed->name == NULL) {
		duties->list_has_unnamed_row = true;
		duties->incarnations_complete = false;
		return;
	}
	host = duties_get_host(duties, listed->name);
	if (listed->unreadable != NULL) {
		/* the host exists and its last known state is kept */
		host->missed_lists = 0;
		duties->incarnations_complete = false;
		return;
	}
	add_listed_incarnation(duties, listed);
	host->in_list = true;
	host->last_list_number = duties->list_number;
	host->missed_lists = 0;
	/* the list may show the host from before or after the last order */
	if (duties->list_sent_ms < host->last_order_ms ||
	    is_contradicted(duties, host, listed)) {
		add_incarnation_before_order(duties, host);
		return;
	}
	report_terminated_incarnation(duties, host, listed);
	host->state = listed->state;
	if (g_strcmp0(host->pool, listed->pool) != 0) {
		g_free(host->pool);
		host->pool = g_strdup(listed->pool);
	}
	if (g_strcmp0(host->upstream, listed->upstream) != 0) {
		g_free(host->upstream);
		host->upstream = g_strdup(listed->upstream);
	}
	if (is_back_from_upkeep(duties, host)) {
		host->in_upkeep = false;
		host->upkeep_ordered_ms = 0;
		/* no upkeep took place now; the same incarnation runs on */
		duties_end_drain(duties, host);
	}
}

void wwh_host_duties_list_end(wwh_host_duties_t *duties, bool ok,
			      int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;

	duties->now_ms = MAX(duties->now_ms, now_ms);
	duties->list_in_flight = false;
	duties->next_list_ms =
		duties->now_ms +
		MAX(LIST_INTERVAL_MS, duties_list_min_interval_ms(duties));
	if (!ok)
		return;
	duties->list_received = true;
	duties->received_list_sent_ms = duties->list_sent_ms;
	duties_recount_hosts(duties);
	if (duties->incarnations_complete)
		wwh_scheduler_incarnations_listed(
			duties->options.scheduler, duties->incarnations,
			duties->hosts_down, duties->now_ms);
	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_host_t *host = value;

		host->in_list = host->last_list_number == duties->list_number;
		if (!host->in_list && !duties->list_has_unnamed_row)
			host->missed_lists++;
	}
}

void wwh_host_duties_count_page(wwh_host_duties_t *duties)
{
	duties->list_pages++;
}

void wwh_host_duties_set_paused(wwh_host_duties_t *duties, bool paused)
{
	duties->paused = paused;
	if (paused)
		wwh_fleet_reserve_interrupt(duties->reserve);
}

void wwh_host_duties_hold_moves(wwh_host_duties_t *duties,
				wwh_held_moves_t held)
{
	duties->held_moves = held;
}

void wwh_host_duties_hold_upkeeps(wwh_host_duties_t *duties, bool held)
{
	duties->upkeeps_held = held;
}

void wwh_host_duties_set_durable(wwh_host_duties_t *duties, int64_t record)
{
	duties->durable_record = MAX(duties->durable_record, record);
}

void wwh_host_duties_run(wwh_host_duties_t *duties, int64_t now_ms)
{
	duties->now_ms = MAX(duties->now_ms, now_ms);
	update_hold(duties);
	/* tasks may wait to be started elsewhere until a list has shown that */
	if (wwh_scheduler_awaits_host_list(duties->options.scheduler,
					   duties->list_sent_ms))
		duties_advance_list(duties);
	if (!duties->list_in_flight && duties->now_ms >= duties->next_list_ms) {
		duties->list_in_flight = true;
		duties->list_sent_ms = duties->now_ms;
		duties->calls.list(duties->calls.client_data);
	}
	if (!duties->list_received || duties->paused ||
	    duties->now_ms < duties->first_order_ms)
		return;
	duties_survey(duties);
	/* first, because waves use the host counts of pools */
	duties_run_moves(duties);
	if (may_begin_upkeeps(duties))
		duties_run_waves(duties);
}

static void update_hold(wwh_host_duties_t *duties)
{
	if (duties->upkeeps_were_held)
		duties->upkeeps_held_ms = duties->now_ms;
	if (duties->upkeeps_were_held && !duties->upkeeps_held)
		duties_advance_list(duties);
	duties->upkeeps_were_held = duties->upkeeps_held;
}

/* Hosts that the previous holder has taken down are counted by a newer list. */
static bool may_begin_upkeeps(const wwh_host_duties_t *duties)
{
	return duties->now_ms >= duties->first_upkeep_ms &&
	       !duties->upkeeps_held &&
	       duties->received_list_sent_ms >= duties->upkeeps_held_ms;
}

/*
 * An upstream whose host was moved just before a change of holder is still in
 * the records, but answers no poll. All tasks of its pool that the new holder
 * had inherited waited for its lease to expire, 6.2 s; a list shows within 0.5 s
 * that no host runs it. A host that may run tasks without naming its incarnation
 * may run any of them; the list is then incomplete.
 */
static void add_listed_incarnation(wwh_host_duties_t *duties,
				   const wwh_listed_host_t *listed)
{
	if (listed->upstream != NULL && listed->upstream[0] != '\0')
		g_hash_table_add(duties->incarnations,
				 g_strdup(listed->upstream));
	else if (listed->state == WWH_HOST_DOWN)
		duties->hosts_down = true;
	else if (!is_taken_down(listed) && !is_at_rest(duties, listed))
		duties->incarnations_complete = false;
}

/*
 * A host that was ordered into upkeep or moved while the list was being received
 * may be listed without its incarnation, which still counts as answering. The
 * incarnation is added, as the list would otherwise appear to lack it.
 */
static void add_incarnation_before_order(wwh_host_duties_t *duties,
					 const duty_host_t *host)
{
	if (host->upstream != NULL)
		g_hash_table_add(duties->incarnations,
				 g_strdup(host->upstream));
}

/*
 * Returns whether the host's incarnation, which the row lacks, has answered since
 * the list was requested. The next list shows whether it has terminated meanwhile.
 */
static bool is_contradicted(const wwh_host_duties_t *duties,
			    const duty_host_t *host,
			    const wwh_listed_host_t *listed)
{
	return ends_incarnation(duties, host, listed) &&
	       wwh_scheduler_upstream_answered_since(duties->options.scheduler,
						     host->upstream,
						     duties->list_sent_ms);
}

/*
 * Returns whether the list was requested after the earliest end of the upkeep. A
 * host that is up may still begin one for which an order has no answer.
 */
static bool is_back_from_upkeep(const wwh_host_duties_t *duties,
				const duty_host_t *host)
{
	return host->in_upkeep && host->state == WWH_HOST_UP &&
	       !host->upkeep_in_flight && !host->upkeep_unanswered &&
	       duties->list_sent_ms >= host->down_until_ms;
}

static void report_terminated_incarnation(wwh_host_duties_t *duties,
					  const duty_host_t *host,
					  const wwh_listed_host_t *listed)
{
	if (ends_incarnation(duties, host, listed))
		wwh_scheduler_upstream_terminated(
			duties->options.scheduler, host->upstream,
			is_taken_down(listed) ? WWH_TERMINATION_ORDERED
					      : WWH_TERMINATION_CRASH,
			wwh_host_run_state_names[listed->state],
			duties->now_ms);
}

static bool ends_incarnation(const wwh_host_duties_t *duties,
			     const duty_host_t *host,
			     const wwh_listed_host_t *listed)
{
	wwh_host_row_t row = {
		.taken_down = is_taken_down(listed),
		.is_off = listed->state == WWH_HOST_DOWN ||
			  is_at_rest(duties, listed),
		.unreachable =
			host->upstream != NULL &&
			wwh_scheduler_upstream_is_doubted(
				duties->options.scheduler, host->upstream),
		.incarnation = listed->upstream,
	};

	return host->upstream != NULL &&
	       wwh_host_row_ends_upstream(&row, host->upstream);
}

static bool is_at_rest(const wwh_host_duties_t *duties,
		       const wwh_listed_host_t *listed)
{
	const duty_pool_t *pool = duties_find_pool(duties, listed->pool);

	return listed->state == WWH_HOST_UP && pool != NULL && pool->standby;
}

static bool is_taken_down(const wwh_listed_host_t *listed)
{
	return listed->state == WWH_HOST_MOVING ||
	       listed->state == WWH_HOST_UPKEEP;
}
