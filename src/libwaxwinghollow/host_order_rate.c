#include "private/host_duties_state.h"

#define DEFAULT_RATE_PER_S 64
#define SECOND_MS 1000

/*
 * Orders without an answer: what the service takes in a fifth of a second. More would
 * wait for a connection to it.
 */
#define IN_FLIGHT_DIVISOR 5

/* Share of the rate of pages that lists take; another process may read some. */
#define LISTS_PERCENT 50

static int64_t rate_per_s(const wwh_host_duties_t *duties);

void duties_init_orders(wwh_host_duties_t *duties)
{
	host_order_rate_t *rate = &duties->order_rate;

	rate->count = (int32_t)CLAMP(rate_per_s(duties), 1, INT32_MAX / 2);
	rate->sent_ms = g_new(int64_t, rate->count);
	for (int32_t i = 0; i < rate->count; i++)
		rate->sent_ms[i] = G_MININT64 / 2;
}

int32_t duties_orders_left(const wwh_host_duties_t *duties)
{
	const host_order_rate_t *rate = &duties->order_rate;
	int32_t left = 0;

	while (left < rate->count &&
	       duties->now_ms - rate->sent_ms[(rate->oldest + left) %
					      rate->count] >=
		       SECOND_MS)
		left++;
	return left;
}

int32_t duties_max_orders_in_flight(const wwh_host_duties_t *duties)
{
	return MAX(1, duties->order_rate.count / IN_FLIGHT_DIVISOR);
}

void duties_count_order(wwh_host_duties_t *duties)
{
	host_order_rate_t *rate = &duties->order_rate;

	rate->sent_ms[rate->oldest] = duties->now_ms;
	rate->oldest = (rate->oldest + 1) % rate->count;
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
