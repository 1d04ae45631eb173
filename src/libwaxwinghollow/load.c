#include "waxwinghollow/load.h"

bool wwh_load_fits(const wwh_load_t *need, const wwh_load_t *room)
{
	return need->cpu_millicores <= room->cpu_millicores &&
	       need->memory_mb <= room->memory_mb && need->gpus <= room->gpus;
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
