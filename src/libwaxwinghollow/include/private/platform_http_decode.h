#ifndef WAXWINGHOLLOW_PRIVATE_PLATFORM_HTTP_DECODE_H
#define WAXWINGHOLLOW_PRIVATE_PLATFORM_HTTP_DECODE_H

/*
 * Decoders of the bodies of docs/PLATFORM.md. Each checks types and bounds
 * and returns WWH_STATUS_BAD_INPUT for anything else; a body is checked as a
 * whole before the first visit. Of a list of hosts or tasks the rows that can
 * be read are visited all the same: one bad row would hide all others.
 */

#include "waxwinghollow/platform.h"

wwh_status_t wwh_decode_offset(const uint8_t *data, size_t size,
			       int64_t *offset);
wwh_status_t wwh_decode_records(const uint8_t *data, size_t size,
				wwh_log_visit_t visit, void *client_data,
				int64_t *first, int64_t *next);
wwh_status_t wwh_decode_hosts(const uint8_t *data, size_t size,
			      wwh_host_visit_t visit, void *client_data);
wwh_status_t wwh_decode_worker_status(const uint8_t *data, size_t size,
				      wwh_worker_status_t *status);
wwh_status_t wwh_decode_task_reports(const uint8_t *data, size_t size,
				     wwh_task_visit_t visit, void *client_data);

#endif
