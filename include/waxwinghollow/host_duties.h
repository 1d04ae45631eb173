#ifndef WAXWINGHOLLOW_HOST_DUTIES_H
#define WAXWINGHOLLOW_HOST_DUTIES_H

/*
 * NAME
 *	host_duties - upkeep waves and moves between pools, host by host
 *
 * USE
 *	Decides which host is taken down or moved next, and when. The module
 *	performs no input or output: its inputs are the list of hosts, the
 *	results of orders and the time, and it gives orders through callbacks.
 *	It queries the scheduler for what runs on a host.
 *
 *	Only one process at a time does this for all pools, so that no wave
 *	exceeds its limit of hosts that are down and no host gets orders from
 *	two processes.
 *
 * ORDER OF CALLS
 *	wwh_host_duties_new; wwh_host_duties_restore and
 *	wwh_host_duties_restore_reserve for each stored record; then events in
 *	any order, followed by wwh_host_duties_run; wwh_host_duties_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/fleet_reserve.h"
#include "waxwinghollow/scheduler.h"
#include "waxwinghollow/wave_order.h"

typedef enum {
	WWH_HOST_UP = 0,
	WWH_HOST_MOVING,
	WWH_HOST_UPKEEP,
	WWH_HOST_DOWN,
	WWH_HOST_RUN_STATE_COUNT
} wwh_host_run_state_t;

/* Names of wwh_host_run_state_t, in the same order. */
extern const char *const wwh_host_run_state_names[WWH_HOST_RUN_STATE_COUNT];

/*
 * An unreadable row shows only that a host exists, and its name if that could
 * be read. No order is given and no task is taken as ended because of it.
 */
typedef struct {
	const char *name; /* NULL only in an unreadable row */
	const char *pool;
	const char *upstream; /* incarnation on it; NULL or "": none listed */
	wwh_host_run_state_t state;
	const char *unreadable; /* reason; NULL if the row was read */
} wwh_listed_host_t;

typedef enum {
	WWH_DUTY_DONE = 0, /* now, or by an earlier order */
	WWH_DUTY_NOT_DONE, /* certainly without effect; can be retried */
	WWH_DUTY_BUSY, /* the host isn't up */
	WWH_DUTY_REFUSED, /* this order will never be carried out */
	WWH_DUTY_FENCED,
	WWH_DUTY_UNKNOWN, /* may have taken effect, or may do so later */
	WWH_DUTY_RESULT_COUNT
} wwh_duty_result_t;

/* Names of wwh_duty_result_t, in the same order. */
extern const char *const wwh_duty_result_names[WWH_DUTY_RESULT_COUNT];

typedef struct {
	void (*list)(void *client_data);
	void (*upkeep)(const char *host, int64_t wave, void *client_data);
	void (*move)(const char *host, const char *pool, void *client_data);
	/* Reports that a wave is active, or completed. */
	void (*report)(const wwh_wave_order_t *order, bool completed,
		       void *client_data);
	int64_t (*write_record)(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value,
				void *client_data);
	void (*explain)(const char *event, const char *subject,
			const char *detail, void *client_data);
	void *client_data;
} wwh_host_duties_calls_t;

/*
 * How long the demand is observed before surplus hosts are moved to the standby
 * pool, unless a whole cycle of alternating peaks is seen sooner (see
 * fleet_reserve.h). Pools are busy one after the other: the next one often
 * becomes busy when this one ends, and this one again about 12 s later. A host
 * that goes to standby in between needs two moves and is missing for 1.5 s at
 * each. 30 s cover two such cycles.
 */
#define WWH_STANDBY_DELAY_MS 30000

typedef struct {
	int64_t upkeep_ms; /* time that a host is unavailable for an upkeep */
	int64_t move_ms; /* the same for a move */
	/*
	 * No order is given before this time: the previous holder of the shard
	 * may have given orders a moment ago, and hosts accept orders of only
	 * one holder at a time.
	 */
	int64_t first_order_ms;
	/*
	 * No upkeep begins before this time. Tokens are checked by each host for
	 * itself, so a previous holder may take down hosts that this one hasn't
	 * ordered anything.
	 */
	int64_t first_upkeep_ms;
	/* Time of day at the start, and its difference to the clock of now_ms. */
	int64_t wall_ms;
	int64_t wall_offset_ms;
	int64_t orders_per_s; /* that the hosts' service takes; 0: 64 */
	int64_t lists_per_s; /* pages of lists; 0: 64 */
	wwh_scheduler_t *scheduler;
} wwh_host_duties_options_t;

typedef struct wwh_host_duties wwh_host_duties_t;

/*
 * How long a holder that took over from a silent one gives hosts no orders.
 * Hosts that check fencing tokens reject orders of the previous holder once
 * this one has given an order, so the delay only covers the time until the
 * previous holder learns that it was replaced. Other hosts accept orders of
 * one holder at a time for lease_ms, and a holder that can't reach the store
 * gives them none.
 */
int64_t wwh_host_duties_takeover_delay_ms(bool hosts_fence, int64_t lease_ms);

wwh_host_duties_t *wwh_host_duties_new(const wwh_host_duties_options_t *options,
				       const wwh_host_duties_calls_t *calls);
void wwh_host_duties_delete(wwh_host_duties_t *duties);

/*
 * Returns false if the record can't be read completely. Hosts of the wave that
 * were done may then be ordered again; a repeated upkeep order ends no task.
 */
bool wwh_host_duties_restore(wwh_host_duties_t *duties, const char *key,
			     const uint8_t *value, size_t size,
			     wwh_message_t *message);

/*
 * Restores what the previous holder knew of the hosts that are kept powered on.
 * Returns false if the record can't be read; they are then observed anew.
 */
bool wwh_host_duties_restore_reserve(wwh_host_duties_t *duties,
				     const uint8_t *value, size_t size,
				     wwh_message_t *message);

/* Takes ownership of order. */
void wwh_host_duties_add_wave(wwh_host_duties_t *duties,
			      wwh_wave_order_t *order, int64_t now_ms);

/*
 * One list of hosts: wwh_host_duties_list_begin, _list_host for each host, then
 * _list_end. ok is false if the list was not received to its end.
 */
void wwh_host_duties_list_begin(wwh_host_duties_t *duties);
void wwh_host_duties_list_host(wwh_host_duties_t *duties,
			       const wwh_listed_host_t *host);
void wwh_host_duties_list_end(wwh_host_duties_t *duties, bool ok,
			      int64_t now_ms);
/* One more page of the list was requested. */
void wwh_host_duties_count_page(wwh_host_duties_t *duties);

void wwh_host_duties_handle_upkeep_result(wwh_host_duties_t *duties,
					  const char *host, int64_t wave,
					  wwh_duty_result_t result,
					  int64_t now_ms);

void wwh_host_duties_handle_move_result(wwh_host_duties_t *duties,
					const char *host,
					wwh_duty_result_t result,
					int64_t now_ms);

/* Adds a pool of the configuration, or updates it. */
void wwh_host_duties_set_pool(wwh_host_duties_t *duties, const char *pool,
			      bool standby);

/* What the fleet keeps powered on; all zero where there is no standby pool. */
wwh_fleet_reserve_state_t
wwh_host_duties_reserve(const wwh_host_duties_t *duties);

/* Hosts that a pool is about to get. */
typedef struct {
	int64_t due_ms; /* from now, until their upstreams get tasks */
	int32_t hosts;
} wwh_host_arrival_t;

/*
 * Fills in the hosts on their way to the pool: being moved to it, in upkeep, or
 * lacking, so that a move to it is ordered as soon as a host is empty. Returns
 * the number of rows, at most max.
 */
int32_t wwh_host_duties_arrivals(const wwh_host_duties_t *duties,
				 const char *pool, int64_t now_ms,
				 wwh_host_arrival_t *arrivals, int32_t max);

/*
 * While held, no upkeep is ordered, nor after that until a list of hosts was received
 * that was requested since. Moves go on.
 */
void wwh_host_duties_hold_upkeeps(wwh_host_duties_t *duties, bool held);

/* While paused, lists are still processed, but no host is drained or ordered. */
void wwh_host_duties_set_paused(wwh_host_duties_t *duties, bool paused);
/* Which moves aren't ordered. */
typedef enum {
	WWH_HELD_NONE = 0,
	WWH_HELD_RELEASES, /* to the standby pool */
	WWH_HELD_MOVES, /* all */
} wwh_held_moves_t;

void wwh_host_duties_hold_moves(wwh_host_duties_t *duties,
				wwh_held_moves_t held);
void wwh_host_duties_set_durable(wwh_host_duties_t *duties, int64_t record);
void wwh_host_duties_run(wwh_host_duties_t *duties, int64_t now_ms);

#endif
