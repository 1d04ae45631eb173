#ifndef WAXWINGHOLLOW_PRIVATE_PLATFORM_HTTP_DECODE_H
#define WAXWINGHOLLOW_PRIVATE_PLATFORM_HTTP_DECODE_H

/*
 * Decoders of the message bodies of docs/PLATFORM.md. Each checks types and
 * bounds and returns WWH_STATUS_BAD_INPUT for an invalid body. A body is
 * checked completely before the first visit. In a list of hosts or tasks the
 * valid rows are visited even if others are invalid, because one invalid row
 * would otherwise hide all others.
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
