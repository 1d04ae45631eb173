#include "waxwinghollow/outage.h"

#include <glib.h>

/* The newest duration counts for one part in this many of the usual one. */
#define AVERAGED_OVER 4

void wwh_outage_update(wwh_outage_t *outage, bool lasts, int64_t now_ms)
{
	int64_t duration_ms = now_ms - outage->since_ms;

	if (lasts == outage->lasts)
		return;
	outage->lasts = lasts;
	if (lasts)
		outage->since_ms = now_ms;
	else if (outage->usual_ms == 0)
		outage->usual_ms = duration_ms;
	else
		outage->usual_ms +=
			(duration_ms - outage->usual_ms) / AVERAGED_OVER;
}

int64_t wwh_outage_wait_ms(const wwh_outage_t *outage, int64_t now_ms)
{
	int64_t lasted_ms = MAX(now_ms - outage->since_ms, 0);

	if (!outage->lasts)
		return 0;
	return lasted_ms < outage->usual_ms ? outage->usual_ms - lasted_ms
					    : lasted_ms;
}
