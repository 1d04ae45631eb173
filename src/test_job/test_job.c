/*
 * Tests of jobs: invalid jobs are rejected before they are accepted, and a job
 * that is encoded for the store or another process decodes to the same job.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "waxwinghollow/job.h"

static wwh_job_t *full_job(void)
{
	wwh_job_t *job = wwh_job_new(2);

	g_strlcpy(job->id, "5c0e7a21d94b36f8", sizeof(job->id));
	job->workspace = g_strdup("parks");
	job->queue.name = g_strdup("holds");
	job->queue.pool = g_strdup("desk");
	job->queue.priority = 1;
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->queue.latency_ms = 600;
	job->payload = g_strdup("text with \"quotes\"");
	job->repeat_count = 4;
	job->first_wall_ms = INT64_C(1790000000000);
	job->interval_ms = 5000;
	job->accepted_wall_ms = INT64_C(1789999999000);
	job->steps[0].task_count = 4;
	job->steps[0].need.cpu_millicores = 500;
	job->steps[0].label = g_strdup("a");
	job->steps[0].data_rack = g_strdup("r1-3");
	job->steps[1].task_count = 20;
	job->steps[1].need.memory_mb = 1024;
	job->steps[1].need.gpus = 2;
	job->steps[1].estimate_ms = 7000;
	job->steps[1].after = g_new0(int32_t, 1);
	job->steps[1].after_count = 1;
	job->steps[1].checkpointing = true;
	job->steps[1].gang = true;
	job->steps[1].same_rack = true;
	job->steps[1].speculative = true;
	job->steps[1].lasting = true;
	job->steps[1].filler = true;
	job->steps[1].image = g_strdup("img");
	job->steps[1].max_per_upstream = 3;
	job->steps[1].latency_target_ms = 250;
	job->steps[1].max_unavailable = 1;
	return job;
}

static void an_encoded_job_decodes_to_the_same_job(void **state)
{
	wwh_job_t *job = full_job();
	GBytes *bytes = wwh_job_encode(job);
	wwh_message_t message = { "" };
	wwh_job_t *decoded;
	GBytes *again;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	(void)state;
	decoded = wwh_job_decode(data, size, &message);
	assert_string_equal(message.text, "");
	assert_non_null(decoded);
	assert_string_equal(decoded->steps[1].image, "img");
	assert_int_equal(decoded->steps[1].max_unavailable, 1);
	assert_int_equal(decoded->interval_ms, 5000);
	assert_string_equal(decoded->workspace, "parks");
	again = wwh_job_encode(decoded);
	assert_true(g_bytes_equal(bytes, again));
	g_bytes_unref(again);
	g_bytes_unref(bytes);
	wwh_job_delete(decoded);
	wwh_job_delete(job);
}

/* Records of jobs without a workspace, and those of older releases, lack it. */
static void a_job_may_have_no_workspace(void **state)
{
	wwh_job_t *job = full_job();
	wwh_message_t message = { "" };
	const uint8_t *data;
	wwh_job_t *decoded;
	GBytes *bytes;
	gsize size;

	(void)state;
	g_clear_pointer(&job->workspace, g_free);
	bytes = wwh_job_encode(job);
	data = g_bytes_get_data(bytes, &size);
	decoded = wwh_job_decode(data, size, &message);
	assert_non_null(decoded);
	assert_null(decoded->workspace);
	assert_string_equal(decoded->steps[1].image, "img");
	g_bytes_unref(bytes);
	wwh_job_delete(decoded);
	wwh_job_delete(job);
}

/* A truncated record is refused; a changed one is refused or still valid. */
static void malformed_records_are_refused(void **state)
{
	wwh_job_t *job = full_job();
	GBytes *bytes = wwh_job_encode(job);
	wwh_message_t message;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	(void)state;
	for (gsize cut = 0; cut < size; cut++)
		assert_null(wwh_job_decode(data, cut, &message));
	for (gsize at = 0; at < size; at++) {
		uint8_t *copy = g_memdup2(data, size);
		wwh_job_t *decoded;

		copy[at] ^= 0xc1;
		decoded = wwh_job_decode(copy, size, &message);
		if (decoded != NULL)
			assert_int_equal(wwh_job_check(decoded, &message),
					 WWH_STATUS_OK);
		wwh_job_delete(decoded);
		g_free(copy);
	}
	g_bytes_unref(bytes);
	wwh_job_delete(job);
}

static void invalid_jobs_are_refused(void **state)
{
	wwh_job_t *job = full_job();
	wwh_message_t message;

	(void)state;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_OK);
	job->steps[1].after[0] = 1;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	job->steps[1].after[0] = -1;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	job->steps[1].after[0] = 0;
	job->steps[0].task_count = 0;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	job->steps[0].task_count = WWH_JOB_MAX_TASKS;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	job->steps[0].task_count = 1;
	job->steps[0].need.cpu_millicores = -1;
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	job->steps[0].need.cpu_millicores = 1;
	job->id[3] = 'g';
	assert_int_equal(wwh_job_check(job, &message), WWH_STATUS_BAD_INPUT);
	wwh_job_delete(job);
}

static void ids_are_sixteen_hexadecimal_digits(void **state)
{
	(void)state;
	assert_true(wwh_job_id_valid("5c0e7a21d94b36f8"));
	assert_false(wwh_job_id_valid("5c0e7a21d94b36f"));
	assert_false(wwh_job_id_valid("5c0e7a21d94b36f81"));
	assert_false(wwh_job_id_valid("5c0e7a21d94b36g8"));
	assert_false(wwh_job_id_valid(""));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_encoded_job_decodes_to_the_same_job),
		cmocka_unit_test(a_job_may_have_no_workspace),
		cmocka_unit_test(malformed_records_are_refused),
		cmocka_unit_test(invalid_jobs_are_refused),
		cmocka_unit_test(ids_are_sixteen_hexadecimal_digits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
