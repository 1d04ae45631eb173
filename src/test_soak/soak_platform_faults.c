/*
 * Faults of the platform: of the list of hosts, the orders for them, and the
 * store.
 */
#include "soak.h"

static int32_t draw(int32_t from, int32_t to)
{
	return g_rand_int_range(soak.rand, from, to);
}

void soak_delay_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_LATE, draw(1000, 6000));
}

void soak_age_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_STALE, draw(1000, 6000));
}

void soak_shorten_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_SHORT, draw(1000, 6000));
}

void soak_page_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_PAGED, draw(2000, 8000));
}

void soak_refuse_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_REFUSED, draw(500, 5000));
}

void soak_lose_answers_to_duties(void)
{
	soak_duties_lose_answers(draw(1000, 5000));
}
