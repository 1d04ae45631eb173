#ifndef WAXWINGHOLLOW_PRIVATE_HOST_DUTIES_STATE_H
#define WAXWINGHOLLOW_PRIVATE_HOST_DUTIES_STATE_H

/*
 * State and functions shared by host_duties (lists), host_waves (upkeep),
 * host_moves (moves), host_surplus (which hosts leave their pools), host_reserve
 * (what the fleet keeps powered on) with its record, host_survey (one pass over
 * all hosts) and host_arrivals (hosts on their way to a pool). host_duties calls
 * host_waves and host_moves, which calls the others; none of them calls
 * wwh_host_duties_run.
 */

#include "waxwinghollow/fleet_reserve.h"
#include "waxwinghollow/host_duties.h"
#include "waxwinghollow/pool_sizing.h"

/*
 * Minimum interval between two lists of hosts. After an order the next list is
 * requested this early, because it shows the order's outcome; a move makes a
 * host unavailable for 1.5 s. A list after every move, with many moves a
 * second, would take processor time that the holder needs for jobs.
 */
#define DUTIES_LIST_MIN_INTERVAL_MS 150

/* An upstream that isn't known by this long after a move isn't expected. */
#define DUTIES_ANNOUNCE_LIMIT_MS 2000

typedef struct duty_pool duty_pool_t;

typedef struct {
	char *name;
	char *pool;
	char *upstream;
	int64_t last_list_number; /* of the last list with this host */
	wwh_host_run_state_t state;
	int32_t missed_lists; /* consecutive lists without this host */
	/* upkeep */
	int64_t upkeep_ordered_ms; /* order that may take effect; 0: none */
	int64_t last_order_ms; /* last sending or answer of any order */
	int64_t down_until_ms; /* unavailable at least until then */
	int64_t wave; /* of the upkeep order */
	int64_t draining_since_ms; /* drained for upkeep since; 0: not drained */
	int64_t no_drain_until_ms; /* not drained again before this */
	int64_t upkeep_retry_ms;
	/* moves */
	char *move_target; /* of an order that may take effect; or NULL */
	char *moved_upstream; /* on it when the move was first ordered; or NULL */
	int64_t move_retry_ms;
	int64_t moving_until_ms; /* counts as moving until then */
	int64_t drain_for_move_ms; /* cordoned for a move since; 0: not */
	int64_t no_move_until_ms;
	/* as of the last survey */
	duty_pool_t *home; /* its pool; NULL: unknown */
	wwh_upstream_load_t load; /* of its upstream; all zero without one */
	bool in_transit; /* in the list of such hosts */
	bool in_list; /* in the last complete list */
	bool upkeep_in_flight; /* upkeep order sent, no answer yet */
	bool upkeep_unanswered; /* an order without an answer may take effect */
	bool in_upkeep; /* ordered into upkeep, not listed as up since */
	bool move_in_flight;
	bool is_surplus; /* selected to leave its pool */
} duty_host_t;

typedef struct {
	wwh_wave_order_t *order;
	int64_t started_ms;
	GHashTable *done_hosts; /* names of hosts that need no more orders */
	bool reported;
	bool completed;
	bool completion_reported;
	bool record_dirty; /* done_hosts has names that aren't in the record */
	int64_t record_number; /* number of the last record */
} duty_wave_t;

struct duty_pool {
	char *name;
	GPtrArray *hosts; /* duty_host_t that are in it */
	GPtrArray *leaving; /* of these, may move now: surplus or standby */
	bool standby;
	bool lacks_hosts; /* demand above host_count, other pools aside */
	int32_t desired; /* demand, whatever other pools need */
	int32_t min_hosts; /* of them, for lasting tasks */
	int32_t wanted; /* desired, or its share if hosts don't suffice */
	int32_t host_count; /* up or moving to it, and not leaving it */
	int32_t empty_leaving; /* of the leaving ones, without tasks */
};

/* When the last orders were sent: as many as may be sent in a second. */
typedef struct {
	int64_t *sent_ms;
	int32_t count;
	int32_t oldest; /* index */
} host_order_rate_t;

struct wwh_host_duties {
	wwh_host_duties_options_t options;
	wwh_host_duties_calls_t calls;
	GHashTable *hosts; /* name to duty_host_t, owned */
	GPtrArray *waves; /* duty_wave_t, owned */
	GHashTable *restored; /* wave number to a set of names of done hosts */
	GHashTable *incarnations; /* upstreams in the list being received */
	wwh_pool_sizing_t *sizing;
	wwh_fleet_reserve_t *reserve;
	bool reserve_known; /* a whole cycle was observed */
	bool reserve_estimated; /* by its first peak */
	wwh_fleet_reserve_knowledge_t written_reserve;
	int64_t reserve_written_ms; /* 0: not by this holder */
	wwh_fleet_hosts_t counted; /* as of counted_ms */
	int64_t counted_ms; /* 0: to be counted again */
	GHashTable *pools; /* name to duty_pool_t, owned */
	/* as of the last survey */
	GPtrArray *in_transit; /* duty_host_t that may be on their way */
	int32_t available_hosts; /* up, or up soon */
	int32_t moves_in_flight; /* orders that may take effect */
	int64_t list_number;
	int64_t list_sent_ms;
	int64_t next_list_ms;
	int64_t first_order_ms; /* no orders before this time */
	int64_t first_upkeep_ms; /* no upkeep before this time */
	int64_t durable_record; /* records up to this number are durable */
	int64_t now_ms;
	bool list_in_flight;
	bool list_has_unnamed_row; /* such a row may be any host's */
	bool list_received; /* a complete list was received */
	/* each listed host that may run tasks has named its incarnation */
	bool incarnations_complete;
	bool hosts_down; /* listed without incarnations */
	bool paused;
	bool upkeeps_held;
	bool upkeeps_were_held; /* in the run before */
	int64_t upkeeps_held_ms; /* when they were last held; 0: never */
	int64_t received_list_sent_ms; /* when the newest whole list was requested */
	wwh_held_moves_t held_moves;
	int32_t list_pages; /* of the list being received, or the last one */
	host_order_rate_t order_rate;
};

/* host_table.c: helpers of the other files; it calls none of them. */
duty_host_t *duties_get_host(wwh_host_duties_t *duties, const char *name);
void duties_host_delete(gpointer host);
/*
 * Returns NULL if there is no such pool. Its hosts are those of the last
 * survey.
 */
duty_pool_t *duties_find_pool(const wwh_host_duties_t *duties,
			      const char *name);
void duties_pool_delete(gpointer pool);
/* Brings the next list forward, after an order that was carried out. */
void duties_advance_list(wwh_host_duties_t *duties);
/* Ends the draining of the host for upkeep; its upstream gets tasks again. */
void duties_end_drain(wwh_host_duties_t *duties, duty_host_t *host);
/* Deselects a host for a move that wasn't ordered yet, as it gets an upkeep. */
void duties_cancel_move(duty_host_t *host);
void duties_log_event(wwh_host_duties_t *duties, const char *event,
		      const char *subject, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* host_moves.c */
void duties_run_moves(wwh_host_duties_t *duties);
bool duties_may_move(const wwh_host_duties_t *duties, const duty_host_t *host);

/*
 * host_survey.c: looks at each host once. All other decisions of a run use what
 * was found, so that a run costs one pass over the hosts however many decisions
 * there are.
 *
 * LOAD
 *	Thousands of hosts, and hundreds of pools that each ask for their share
 *	of them.
 */
void duties_survey(wwh_host_duties_t *duties);

/* Returns the pool that the host is in or moves to, or NULL. */
duty_pool_t *duties_destination(const wwh_host_duties_t *duties,
				const duty_host_t *host);

/*
 * True if the host is up, or moving and up soon. A leaving host may be listed as
 * up for many seconds, but accepts no new tasks: while it counted for its pool,
 * no other host was requested, and its lasting tasks stayed unavailable.
 */
bool duties_is_available_soon(const wwh_host_duties_t *duties,
			      const duty_host_t *host);

/*
 * host_surplus.c: selects the hosts of each pool that it doesn't want, or
 * retains them if it wants them again.
 *
 * LOAD
 *	A peak that ends leaves thousands of surplus hosts in one run.
 */
void duties_select_surplus(wwh_host_duties_t *duties);

/*
 * Returns the pools with hosts that may move, those with most surplus hosts
 * first, and then the standby pool. Idle hosts thus stay spread over the pools:
 * the pool that becomes busy next has some at once, and the others 1.5 s later.
 */
GPtrArray *duties_pools_by_surplus(wwh_host_duties_t *duties);

/* host_reserve.c; called when the surplus hosts have been selected. */
void duties_update_reserve(wwh_host_duties_t *duties);
/*
 * host_reserve_record.c: writes what the next holder should know.
 *
 * LOAD
 *	Holders that change more often than a whole cycle of the demand is
 *	observed.
 */
void duties_write_reserve(wwh_host_duties_t *duties);
/* A list, or an order to move, changed what the reserve counts. */
void duties_recount_hosts(wwh_host_duties_t *duties);

/*
 * host_order_rate.c: orders to hosts at the rate that their service takes. In no
 * second are more sent than that.
 *
 * LOAD
 *	Thousands of moves that are due at once, to a service that takes tens
 *	or hundreds of orders a second.
 */
void duties_init_orders(wwh_host_duties_t *duties);
/* Returns how many orders may be sent now. */
int32_t duties_orders_left(const wwh_host_duties_t *duties);
/* Returns how many orders may wait for their answers. */
int32_t duties_max_orders_in_flight(const wwh_host_duties_t *duties);
void duties_count_order(wwh_host_duties_t *duties);
/* The interval between lists at which their pages take half of the rate. */
int64_t duties_list_min_interval_ms(const wwh_host_duties_t *duties);

/* host_waves.c; called after duties_run_moves, whose host counts it uses. */
void duties_run_waves(wwh_host_duties_t *duties);
void duties_wave_delete(gpointer wave);

#endif
