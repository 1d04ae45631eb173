#include "private/host_duties_state.h"

#define DEFAULT_RATE_PER_S 64
#define MILLI 1000
#define SECOND_MS 1000

/*
 * The bucket holds a fifth of a second's orders and is refilled by the other four
 * fifths, so that no second has more than the rate.
 */
#define BURST_PERCENT 20

/* Share of the rate of pages that lists take; another process may read some. */
#define LISTS_PERCENT 50

static int64_t rate_per_s(const wwh_host_duties_t *duties);
static int64_t burst_milli(const wwh_host_duties_t *duties);

void duties_refill_orders(wwh_host_duties_t *duties)
{
	host_order_rate_t *rate = &duties->order_rate;
	int64_t elapsed_ms = MIN(duties->now_ms - rate->refilled_ms, SECOND_MS);
	int64_t refill_milli =
		elapsed_ms * rate_per_s(duties) * (100 - BURST_PERCENT) / 100;

	if (!rate->started)
		refill_milli = burst_milli(duties);
	rate->started = true;
	rate->refilled_ms = duties->now_ms;
	rate->tokens_milli =
		MIN(rate->tokens_milli + refill_milli, burst_milli(duties));
}

int32_t duties_orders_left(const wwh_host_duties_t *duties)
{
	return (int32_t)MAX(0, duties->order_rate.tokens_milli / MILLI);
}

int32_t duties_max_orders_in_flight(const wwh_host_duties_t *duties)
{
	return (int32_t)(burst_milli(duties) / MILLI);
}

void duties_count_order(wwh_host_duties_t *duties)
{
	duties->order_rate.tokens_milli -= MILLI;
}

void duties_order_rejected(wwh_host_duties_t *duties)
{
	duties->order_rate.tokens_milli =
		MIN(duties->order_rate.tokens_milli,
		    duties->order_rate.tokens_milli / 2);
}

int64_t duties_list_min_interval_ms(const wwh_host_duties_t *duties)
{
	int64_t per_s = duties->options.lists_per_s > 0
				? duties->options.lists_per_s
				: DEFAULT_RATE_PER_S;

	return duties->list_pages * SECOND_MS * 100 / LISTS_PERCENT / per_s;
}

static int64_t rate_per_s(const wwh_host_duties_t *duties)
{
	return duties->options.orders_per_s > 0 ? duties->options.orders_per_s
						: DEFAULT_RATE_PER_S;
}

static int64_t burst_milli(const wwh_host_duties_t *duties)
{
	return MAX(MILLI, rate_per_s(duties) * BURST_PERCENT * MILLI / 100);
}
