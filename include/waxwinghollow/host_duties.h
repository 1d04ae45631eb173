#ifndef WAXWINGHOLLOW_HOST_DUTIES_H
#define WAXWINGHOLLOW_HOST_DUTIES_H

/*
 * NAME
 *	host_duties - upkeep waves and moves between pools, host by host
 *
 * USE
 *	Decides which host is taken down or moved next, and when. Pure: the list of
 *	hosts, the results of orders and a clock go in, orders come out of
 *	callbacks. What runs on a host is asked of the scheduler.
 *
 *	One process does this for all pools at a time, so that no wave has
 *	more hosts down than its bound and no host gets orders of two.
 *
 * ORDER OF CALLS
 *	wwh_host_duties_new; wwh_host_duties_restore for each kept record;
 *	then events in any order, wwh_host_duties_run after them;
 *	wwh_host_duties_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

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
 * A row that can't be read says only that there is a host, and its name where
 * that can be read: nothing is ordered or taken as over on its word.
 */
typedef struct {
	const char *name; /* NULL only in a row that can't be read */
	const char *pool;
	const char *upstream; /* id of what runs on it; NULL, "": nothing */
	wwh_host_run_state_t state;
	const char *unreadable; /* why the row can't be read; NULL: it can */
} wwh_listed_host_t;

typedef enum {
	WWH_DUTY_DONE = 0, /* also: was done before */
	WWH_DUTY_NOT_DONE, /* surely without effect; may be tried again */
	WWH_DUTY_BUSY, /* the host isn't up */
	WWH_DUTY_REFUSED, /* this will never be done */
	WWH_DUTY_FENCED,
	WWH_DUTY_UNKNOWN, /* may be carried out, also later */
	WWH_DUTY_RESULT_COUNT
} wwh_duty_result_t;

/* Names of wwh_duty_result_t, in the same order. */
extern const char *const wwh_duty_result_names[WWH_DUTY_RESULT_COUNT];

typedef struct {
	void (*list)(void *client_data);
	void (*upkeep)(const char *host, int64_t wave, void *client_data);
	void (*move)(const char *host, const char *pool, void *client_data);
	/* Says what became of a wave. */
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
 * A host that its pool has no use for is there for others this long before it
 * goes to rest. Pools have their turns one after the other: the next one's often
 * begins as this one's ends, and its own comes again some 12 s later. A host that
 * rests meanwhile takes two moves, and is missing for 1.5 s at each. With 30 s in
 * place of 1.5 s quiet days of three fleets of 50 hosts took 138 to 157 moves in
 * place of 245 to 282, for 1.3, 3.5 and 4.4% more host-seconds and the same
 * credit (two days each). Where hosts idle for longer, it costs half a minute of
 * each.
 */
#define WWH_STANDBY_DELAY_MS 30000

typedef struct {
	int64_t upkeep_ms; /* a host is away for upkeep */
	int64_t move_ms; /* the same for a move */
	/*
	 * No orders before this: another process that held the shard may
	 * have given some a moment ago, and hosts take one holder at a time.
	 */
	int64_t first_order_ms;
	wwh_scheduler_t *scheduler;
} wwh_host_duties_options_t;

typedef struct wwh_host_duties wwh_host_duties_t;

/*
 * How long a holder that took over from a silent one gives hosts no orders.
 * Hosts that fence refuse what the one before still sends once this one has
 * given an order, so only the time until it has heard of its end counts;
 * others take one holder at a time for lease_ms, and a holder without the
 * store gives them no orders.
 */
int64_t wwh_host_duties_takeover_delay_ms(bool hosts_fence, int64_t lease_ms);

wwh_host_duties_t *wwh_host_duties_new(const wwh_host_duties_options_t *options,
				       const wwh_host_duties_calls_t *calls);
void wwh_host_duties_delete(wwh_host_duties_t *duties);

/*
 * False: the record can't be read. Hosts that were done are then asked again,
 * which ends nothing where the upkeep was done before.
 */
bool wwh_host_duties_restore(wwh_host_duties_t *duties, const char *key,
			     const uint8_t *value, size_t size,
			     wwh_message_t *message);

/* Takes order over. */
void wwh_host_duties_add_wave(wwh_host_duties_t *duties,
			      wwh_wave_order_t *order, int64_t now_ms);

/* A whole list: begin, each host, end. ok false: the list broke off. */
void wwh_host_duties_list_begin(wwh_host_duties_t *duties);
void wwh_host_duties_list_host(wwh_host_duties_t *duties,
			       const wwh_listed_host_t *host);
void wwh_host_duties_list_end(wwh_host_duties_t *duties, bool ok,
			      int64_t now_ms);

void wwh_host_duties_handle_upkeep_result(wwh_host_duties_t *duties,
					  const char *host, int64_t wave,
					  wwh_duty_result_t result,
					  int64_t now_ms);

void wwh_host_duties_handle_move_result(wwh_host_duties_t *duties,
					const char *host,
					wwh_duty_result_t result,
					int64_t now_ms);

/* A pool of the configuration. */
void wwh_host_duties_set_pool(wwh_host_duties_t *duties, const char *pool,
			      bool standby);

/* Paused: lists are taken in, and no host is ordered or emptied. */
void wwh_host_duties_set_paused(wwh_host_duties_t *duties, bool paused);
void wwh_host_duties_set_durable(wwh_host_duties_t *duties, int64_t record);
void wwh_host_duties_run(wwh_host_duties_t *duties, int64_t now_ms);

#endif
