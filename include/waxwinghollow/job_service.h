#ifndef WAXWINGHOLLOW_JOB_SERVICE_H
#define WAXWINGHOLLOW_JOB_SERVICE_H

/*
 * NAME
 *	job_service - one process of the job service on an entry host
 *
 * USE
 *	All processes are alike. Each takes callers' requests; one of them
 *	holds the shard and runs its jobs, and the others pass requests on to
 *	it. Which one it is comes from the store (shard_claim.h). Nothing is
 *	kept on the host.
 *
 *	Requests arrive on the listeners' threads, which hand them to one
 *	thread that does all else, and wait for the answer up to the caller's
 *	deadline.
 *
 * ORDER OF CALLS
 *	wwh_job_service_new, wwh_job_service_init (listens from then on),
 *	wwh_job_service_reload any number of times, wwh_job_service_finish,
 *	wwh_job_service_delete.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/host_settings.h"
#include "waxwinghollow/status.h"

typedef struct wwh_job_service wwh_job_service_t;

/* Takes over what settings points to. log_fd gets the log's lines. */
wwh_job_service_t *wwh_job_service_new(const wwh_host_settings_t *settings,
				       int log_fd);
wwh_status_t wwh_job_service_init(wwh_job_service_t *service,
				  wwh_message_t *message);

/*
 * Takes settings over. Calls go to the new addresses from then on; where
 * this process listens stays as it is until its next start.
 */
void wwh_job_service_reload(wwh_job_service_t *service,
			    const wwh_host_settings_t *settings);

/*
 * Says that it isn't ready, ends what was begun, gives its claim up and
 * stops. Returns the number of requests that were cut off.
 */
int32_t wwh_job_service_finish(wwh_job_service_t *service);
void wwh_job_service_delete(wwh_job_service_t *service);

/* A configuration is in force here. */
bool wwh_job_service_ready(wwh_job_service_t *service);

#endif
