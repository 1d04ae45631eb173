#include "private/job_holder_state.h"

/* In the order of the values in job_holder_update_reserve_gauges. */
static const char *const gauge_names[JOB_HOLDER_RESERVE_GAUGES] = {
	"holder.hosts_desired",	     "holder.hosts_available",
	"holder.hosts_reserve",	     "holder.hosts_reserve_peak",
	"holder.hosts_reserve_rack", "holder.hosts_reserve_waves",
	"holder.hosts_cycle_ms",     "holder.hosts_paid_over_needed_permille",
};

void job_holder_init_reserve_gauges(wwh_job_holder_t *holder)
{
	for (int32_t i = 0; i < JOB_HOLDER_RESERVE_GAUGES; i++)
		holder->reserve_gauges[i] = wwh_counters_get(
			holder->options.counters, gauge_names[i]);
}

void job_holder_update_reserve_gauges(wwh_job_holder_t *holder)
{
	wwh_fleet_reserve_state_t state =
		wwh_host_duties_reserve(holder->duties);
	const int64_t values[JOB_HOLDER_RESERVE_GAUGES] = {
		state.desired,	    state.available,
		state.reserve,	    state.reserve_peak,
		state.reserve_rack, state.reserve_waves,
		state.cycle_ms,	    state.paid_over_needed_permille,
	};

	for (int32_t i = 0; i < JOB_HOLDER_RESERVE_GAUGES; i++)
		wwh_counter_set(holder->reserve_gauges[i], values[i]);
}

/* Another process holds the shard from now on. */
void job_holder_clear_reserve_gauges(wwh_job_holder_t *holder)
{
	for (int32_t i = 0; i < JOB_HOLDER_RESERVE_GAUGES; i++)
		wwh_counter_set(holder->reserve_gauges[i], 0);
}

void job_holder_dump_reserve(const wwh_job_holder_t *holder, GString *out)
{
	wwh_fleet_reserve_state_t state =
		wwh_host_duties_reserve(holder->duties);

	g_string_append_printf(
		out,
		"reserve whole_cycle=%d cycle_ms=%" G_GINT64_FORMAT
		" desired=%d available=%d reserve=%d peak=%d rack=%d waves=%d "
		"paid_over_needed_permille=%" G_GINT64_FORMAT "\n",
		state.whole_cycle, state.cycle_ms, state.desired,
		state.available, state.reserve, state.reserve_peak,
		state.reserve_rack, state.reserve_waves,
		state.paid_over_needed_permille);
}
