#include "waxwinghollow/wave_order.h"

wwh_wave_order_t *wwh_wave_order_new(int64_t number)
{
	wwh_wave_order_t *order = g_new0(wwh_wave_order_t, 1);

	order->number = number;
	order->hosts = g_ptr_array_new_with_free_func(g_free);
	return order;
}

void wwh_wave_order_delete(wwh_wave_order_t *order)
{
	if (order == NULL)
		return;
	g_ptr_array_unref(order->hosts);
	g_free(order);
}
