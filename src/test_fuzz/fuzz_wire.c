/*
 * Bodies and files that come from outside: the first byte chooses the
 * decoder, the rest is its input. No input may make one read or allocate
 * beyond it, and what it hands on keeps the promises of its header.
 */

#include <assert.h>
#include <string.h>

#include "wire_caller.h"
#include "wire_hosts.h"
#include "wire_operator.h"
#include "wire_store.h"
#include "wire_upstream.h"

/* First bytes from here on: the input is a header. */
#define KEY_INPUT 0x80

/* Of runs, ends and times in answers. */
#define NUMBER_MAX INT64_C(1000000000000000)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static wwh_http_answer_t answer_of(const uint8_t *data, size_t size)
{
	wwh_http_answer_t answer = { .outcome = WWH_CALL_ANSWERED,
				     .status = 200,
				     .body = data,
				     .body_size = size };

	return answer;
}

static void on_record(const wire_record_t *record, void *client_data)
{
	int64_t *count = client_data;

	assert((record->key == NULL) == (record->why != NULL));
	assert(record->key != NULL || record->value != NULL);
	assert(record->value != NULL || record->size == 0);
	(*count)++;
}

static void on_host(const wwh_listed_host_t *host, void *client_data)
{
	(void)client_data;
	assert(host->unreadable != NULL ||
	       (host->name != NULL && host->pool != NULL));
	assert(host->state < WWH_HOST_RUN_STATE_COUNT);
}

static void try_job(const uint8_t *data, size_t size)
{
	wwh_job_queue_t queue = { .name = "q", .pool = "p" };
	wwh_message_t message;
	wwh_job_t *job = wire_caller_parse_job("00000000000000aa", &queue, data,
					       size, &message);
	wwh_job_t *again;
	GBytes *bytes;
	gsize length;
	const uint8_t *encoded;

	if (job == NULL)
		return;
	assert(wwh_job_check(job, &message) == WWH_STATUS_OK);
	bytes = wwh_job_encode(job);
	encoded = g_bytes_get_data(bytes, &length);
	again = wwh_job_decode(encoded, length, &message);
	assert(again != NULL && again->step_count == job->step_count);
	wwh_job_delete(again);
	wwh_job_delete(job);
	g_bytes_unref(bytes);
}

/* The input as a header, ended where a header would be. */
static void try_key(const uint8_t *data, size_t size)
{
	wwh_headers_t *headers = wwh_headers_new();
	char *value = g_strndup((const char *)data, size);
	char *key;

	wwh_headers_add(headers, "Authorization", value);
	key = wire_caller_api_key(headers);
	assert(key == NULL || (key[0] != '\0' && strpbrk(key, " \t") == NULL &&
			       g_str_has_suffix(value, key)));
	g_free(key);
	g_free(value);
	wwh_headers_delete(headers);
}

/* Both decoders have to agree on what the first one reads. */
static void try_plain_poll(const uint8_t *data, size_t size)
{
	wire_poll_t plain;
	wire_poll_t any;

	if (!wire_poll_read_plain(data, size, &plain))
		return;
	assert(wire_poll_read_any(data, size, &any));
	assert(plain.rows.remote_ms == any.rows.remote_ms);
	assert(plain.rows.born_ms == any.rows.born_ms);
	assert(plain.rows.ended_complete == any.rows.ended_complete);
	assert(plain.rows.running_count == any.rows.running_count);
	assert(plain.rows.ended_count == any.rows.ended_count);
	for (int32_t i = 0; i < any.rows.running_count; i++) {
		const wwh_running_task_t *a = &plain.rows.running[i];
		const wwh_running_task_t *b = &any.rows.running[i];

		assert(strcmp(a->task, b->task) == 0 && a->run == b->run &&
		       strcmp(a->checkpoint, b->checkpoint) == 0 &&
		       a->percent == b->percent && a->tail_ms == b->tail_ms);
	}
	for (int32_t i = 0; i < any.rows.ended_count; i++) {
		const wwh_ended_task_t *a = &plain.rows.ended[i];
		const wwh_ended_task_t *b = &any.rows.ended[i];

		assert(strcmp(a->task, b->task) == 0 && a->run == b->run &&
		       strcmp(a->checkpoint, b->checkpoint) == 0 &&
		       a->number == b->number && a->kind == b->kind);
	}
	wire_poll_clear(&plain);
	wire_poll_clear(&any);
}

static void try_upstream(const uint8_t *data, size_t size)
{
	wwh_http_answer_t answer = answer_of(data, size);
	wire_advice_t advice;
	wire_poll_t poll;

	try_plain_poll(data, size);
	if (wire_upstream_poll_answer(&answer, &poll) == WWH_ORDER_DONE) {
		assert(poll.rows.remote_ms >= 0 &&
		       poll.rows.remote_ms <= NUMBER_MAX);
		for (int32_t i = 0; i < poll.rows.running_count; i++) {
			const wwh_running_task_t *row = &poll.rows.running[i];

			assert(row->checkpoint != NULL);
			assert(row->run > 0 && row->run <= NUMBER_MAX);
			assert(row->percent >= 0 && row->percent <= 100);
		}
		for (int32_t i = 0; i < poll.rows.ended_count; i++) {
			const wwh_ended_task_t *row = &poll.rows.ended[i];

			assert(row->kind < WWH_END_KIND_COUNT);
			assert(row->number > 0 && row->number <= NUMBER_MAX);
		}
		wire_upstream_poll_clear(&poll);
	}
	if (wire_upstream_advise_answer(&answer, &advice))
		wire_upstream_advice_clear(&advice);
	answer.status = 409;
	assert(wire_upstream_order_answer(&answer) < WWH_ORDER_RESULT_COUNT);
	assert(wire_store_append_answer(&answer) < WIRE_STORE_RESULT_COUNT);
	assert(wire_hosts_duty_answer(&answer) < WWH_DUTY_RESULT_COUNT);
}

static void try_store(const uint8_t *data, size_t size)
{
	wwh_http_answer_t answer = answer_of(data, size);
	int64_t count = 0;
	int64_t next = 0;
	int64_t end = 0;
	int64_t generation = 0;
	char *last = NULL;
	bool mine;

	if (wire_store_read_answer(&answer, 7, &next, &end, on_record,
				   &count) == WIRE_STORE_OK)
		assert(next - 7 >= count);
	(void)wire_store_newest_answer(&answer, &next, &last, on_record,
				       &count);
	g_free(last);
	(void)wire_store_join_answer(&answer, "keyed.wwh", 0, &generation,
				     &mine);
	last = NULL;
	(void)wire_hosts_list_answer(&answer, &last, on_host, NULL);
	g_free(last);
}

static void try_operator(const uint8_t *data, size_t size)
{
	wwh_upstream_info_t info;
	wwh_message_t why;
	wwh_job_config_t *config =
		wire_operator_parse_config(data, size, size % 2 == 0, &why);
	wwh_wave_order_t *order =
		wire_operator_parse_wave("wave/1", data, size, &why);
	const char *rest;

	if (config != NULL) {
		assert(config->version > 0);
		(void)wwh_job_config_find_queue(config, "h:1", "/a/b", &rest);
		wwh_job_config_unref(config);
	}
	if (order != NULL) {
		assert(order->number == 1 && order->max_down > 0);
		assert(order->duration_ms >= 0);
		wwh_wave_order_delete(order);
	}
	if (wire_operator_parse_upstream("u", data, size, &info, &why)) {
		assert(info.endpoint != NULL && info.pool != NULL);
		assert(info.zone != NULL && info.labels != NULL);
		assert(info.size.cpu_millicores >= 0 &&
		       info.size.memory_mb >= 0);
		wwh_upstream_info_clear(&info);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	/* a copy of the very size, so that a read beyond it is seen */
	uint8_t *input;

	if (size == 0)
		return 0;
	input = g_memdup2(data + 1, size - 1);
	switch (data[0] >= KEY_INPUT ? KEY_INPUT : data[0] % 4) {
	case 0:
		try_job(input, size - 1);
		break;
	case 1:
		try_upstream(input, size - 1);
		break;
	case 2:
		try_store(input, size - 1);
		break;
	case KEY_INPUT:
		try_key(input, size - 1);
		break;
	default:
		try_operator(input, size - 1);
		break;
	}
	g_free(input);
	return 0;
}
