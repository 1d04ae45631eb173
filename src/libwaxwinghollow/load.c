#include "waxwinghollow/load.h"

bool wwh_load_fits(const wwh_load_t *required, const wwh_load_t *available)
{
	return required->cpu_millicores <= available->cpu_millicores &&
	       required->memory_mb <= available->memory_mb &&
	       required->gpus <= available->gpus;
}

void wwh_load_add(wwh_load_t *sum, const wwh_load_t *load)
{
	sum->cpu_millicores += load->cpu_millicores;
	sum->memory_mb += load->memory_mb;
	sum->gpus += load->gpus;
}

void wwh_load_subtract(wwh_load_t *sum, const wwh_load_t *load)
{
	sum->cpu_millicores -= load->cpu_millicores;
	sum->memory_mb -= load->memory_mb;
	sum->gpus -= load->gpus;
}
