#ifndef WAXWINGHOLLOW_OUTAGE_H
#define WAXWINGHOLLOW_OUTAGE_H

/*
 * NAME
 *	outage - predicts how long a state lasts in which callers are refused
 *
 * USE
 *	Derives the Retry-After of refusals that no capacity decides: no
 *	process holds the shard, the store doesn't respond, or there is no
 *	configuration yet. Inputs are when the state began and ended. Does no
 *	input or output; not thread-safe.
 *
 * LOAD
 *	All callers are refused for seconds. If they retried after a constant
 *	time, all of them would come back together, again and again, and their
 *	retries would be used up before the state has ended.
 *
 * ORDER OF CALLS
 *	A zeroed wwh_outage_t is valid. wwh_outage_update whenever the state
 *	may have changed; wwh_outage_wait_ms at any time.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool lasts;
	int64_t since_ms; /* valid with lasts */
	int64_t usual_ms; /* how long such states lasted; 0: unknown */
} wwh_outage_t;

void wwh_outage_update(wwh_outage_t *outage, bool lasts, int64_t now_ms);

/*
 * How long the state is expected to last from now. Until the usual time has
 * passed, the rest of it; after that, or if it is unknown, as long again.
 */
int64_t wwh_outage_wait_ms(const wwh_outage_t *outage, int64_t now_ms);

#endif
