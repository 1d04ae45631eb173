#include <time.h>

#include "private/job_service_state.h"

#define MILLISECOND_NS 1000000
#define SECOND_MS 1000

int64_t job_service_now_ms(void)
{
	struct timespec time;

	/* advances while the host is suspended, because leases expire then */
	clock_gettime(CLOCK_BOOTTIME, &time);
	return (int64_t)time.tv_sec * SECOND_MS + time.tv_nsec / MILLISECOND_NS;
}

int64_t job_service_wall_ms(void)
{
	return g_get_real_time() / G_TIME_SPAN_MILLISECOND;
}
