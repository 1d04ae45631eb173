#ifndef WAXWINGHOLLOW_PRIVATE_HOST_DUTIES_STATE_H
#define WAXWINGHOLLOW_PRIVATE_HOST_DUTIES_STATE_H

/*
 * What host_duties (lists), host_waves (upkeep) and host_moves (moves) share.
 * host_duties calls the other two; neither of them calls back into a run.
 */

#include "waxwinghollow/host_duties.h"
#include "waxwinghollow/pool_sizing.h"

/*
 * Between two lists of hosts after an order, whose outcome a list shows: a host
 * is away for 1.5 s. Asked for after each of many moves a second, lists take
 * processor time that a holder needs for jobs.
 */
#define DUTIES_LIST_SOON_MS 150

typedef struct {
	char *name;
	char *pool;
	char *upstream;
	wwh_host_run_state_t state;
	bool in_list; /* of the last whole list */
	int64_t list_number; /* of the last list that had it */
	int32_t lists_without; /* in a row */
	bool in_flight;
	int64_t ordered_ms; /* 0: no order that may have been carried out */
	int64_t ordered_last_ms; /* an order was sent, or answered */
	int64_t down_until_ms; /* counts as away at least until then */
	bool away; /* ordered and not listed as up since */
	int64_t wave; /* of the order */
	int64_t cordoned_ms; /* 0: isn't emptied */
	int64_t blocked_until_ms;
	int64_t retry_ms;
	/* moves */
	char *move_to; /* ordered, and not known to be refused; NULL: none */
	bool move_in_flight;
	int64_t move_retry_ms;
	int64_t moving_until_ms; /* counts as on its way until then */
	bool leaving_pool; /* empties itself for a move */
	int64_t leaving_ms; /* since then; valid with leaving_pool */
	int64_t no_move_until_ms;
} duty_host_t;

typedef struct {
	wwh_wave_order_t *order;
	int64_t begun_ms;
	GHashTable *done; /* names of hosts */
	bool reported;
	bool completed;
	bool completion_reported;
	bool kept_dirty;
	int64_t kept;
} duty_wave_t;

typedef struct {
	char *name;
	bool standby;
	bool is_short; /* wants more hosts than it has, whatever others want */
	int32_t wanted; /* its share, where all want more than there are */
	int32_t have; /* up or on their way to it, and not leaving it */
} duty_pool_t;

struct wwh_host_duties {
	wwh_host_duties_options_t options;
	wwh_host_duties_calls_t calls;
	GHashTable *hosts; /* name to duty_host_t, owned */
	GPtrArray *waves; /* duty_wave_t, owned */
	GHashTable *restored; /* wave number to a set of hosts that are done */
	GHashTable *incarnations; /* upstreams of the list that is being read */
	wwh_pool_sizing_t *sizing;
	GHashTable *pools; /* name to duty_pool_t, owned */
	int64_t list_number;
	int64_t list_sent_ms;
	int64_t next_list_ms;
	int64_t first_order_ms; /* no orders before: a holder was before */
	int64_t durable;
	int64_t now_ms;
	bool list_in_flight;
	bool list_has_nameless; /* it may show any host */
	bool listed; /* a whole list has come */
	bool incarnations_complete; /* each host that may be at work names its one */
	bool paused;
};

/* host_table.c: what the others share; it calls none of them */
duty_host_t *duties_host(wwh_host_duties_t *duties, const char *name);
void duties_host_delete(gpointer host);
/* With the figures of the last call of duties_run_moves; NULL: no such pool. */
duty_pool_t *duties_pool(const wwh_host_duties_t *duties, const char *name);
void duties_pool_delete(gpointer pool);
/* An order was carried out: a list shows it. */
void duties_list_soon(wwh_host_duties_t *duties);
/* It isn't emptied any more and gets work again. */
void duties_take_back(wwh_host_duties_t *duties, duty_host_t *host);
/* It is wanted for upkeep, or was listed elsewhere: no longer for a move. */
void duties_forget_move(duty_host_t *host);
void duties_explain(wwh_host_duties_t *duties, const char *event,
		    const char *subject, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* host_moves.c */
void duties_run_moves(wwh_host_duties_t *duties);

/* host_waves.c: after duties_run_moves, by whose figures it goes */
void duties_run_waves(wwh_host_duties_t *duties);
void duties_wave_delete(gpointer wave);

#endif
