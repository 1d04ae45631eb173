/*
 * Bodies of the platform's answers: the first byte chooses the decoder, the
 * rest is the body. No input may make a decoder read or allocate beyond it,
 * and what it hands on keeps the promises of platform.h.
 */

#include <assert.h>
#include <string.h>

#include "../libwaxwinghollow/include/private/platform_http_decode.h"

static bool on_record(const wwh_log_entry_t *entry, void *client_data)
{
	int64_t *last = client_data;

	assert(entry->offset > *last);
	*last = entry->offset;
	return true;
}

static void on_host(const wwh_host_t *host, void *client_data)
{
	(void)client_data;
	assert(host->id != NULL && host->address != NULL);
	assert(host->kind < WWH_HOST_KIND_COUNT);
}

static void on_task(const wwh_task_report_t *report, void *client_data)
{
	(void)client_data;
	assert(report->task_id != NULL && report->worker_id != NULL);
	assert(report->state < WWH_TASK_STATE_COUNT);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wwh_worker_status_t status;
	int64_t last = 0;
	int64_t first = 0;
	int64_t next = 0;

	if (size == 0)
		return 0;
	switch (data[0] % 5) {
	case 0:
		wwh_decode_records(data + 1, size - 1, on_record, &last, &first,
				   &next);
		break;
	case 1:
		wwh_decode_hosts(data + 1, size - 1, on_host, NULL);
		break;
	case 2:
		wwh_decode_task_reports(data + 1, size - 1, on_task, NULL);
		break;
	case 3:
		wwh_decode_worker_status(data + 1, size - 1, &status);
		break;
	default:
		wwh_decode_offset(data + 1, size - 1, &first);
		break;
	}
	return 0;
}
