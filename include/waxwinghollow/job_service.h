#ifndef WAXWINGHOLLOW_JOB_SERVICE_H
#define WAXWINGHOLLOW_JOB_SERVICE_H

/*
 * NAME
 *	job_service - one process of the job service on an entry host
 *
 * USE
 *	All processes are equal. Each accepts callers' requests; one of them
 *	holds the shard and runs its jobs, and the others forward requests to
 *	it. The store determines which one holds it (shard_claim.h). The
 *	process stores nothing on the host.
 *
 *	Requests arrive on the listeners' threads, which queue them for the
 *	loop's thread and wait for the answer until the caller's deadline. The
 *	loop's thread does all other work.
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

/*
 * Takes ownership of the strings in settings. Log lines are written to log_fd,
 * which stays the caller's.
 */
wwh_job_service_t *wwh_job_service_new(const wwh_host_settings_t *settings,
				       int log_fd);
wwh_status_t wwh_job_service_init(wwh_job_service_t *service,
				  wwh_message_t *message);

/*
 * Takes ownership of the strings in settings, which the loop then applies:
 * calls go to the new addresses. A process that holds the shard keeps the
 * settings with which it began to hold it. The addresses on which this process
 * listens change only when it is restarted.
 */
void wwh_job_service_reload(wwh_job_service_t *service,
			    const wwh_host_settings_t *settings);

/*
 * Reports that the process isn't ready, completes requests in progress, releases
 * the claim and stops. Returns the number of requests that were cut off.
 */
int32_t wwh_job_service_finish(wwh_job_service_t *service);
void wwh_job_service_delete(wwh_job_service_t *service);

/* Whether a configuration is in force and the process isn't stopping. */
bool wwh_job_service_ready(wwh_job_service_t *service);

#endif
