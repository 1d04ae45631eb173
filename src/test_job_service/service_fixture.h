#ifndef TEST_JOB_SERVICE_SERVICE_FIXTURE_H
#define TEST_JOB_SERVICE_SERVICE_FIXTURE_H

/*
 * Two processes of the job service on a stand-in platform, and helpers that
 * send them requests as callers and other processes do.
 */

#include "../test_standins/include/free_port.h"
#include "../test_standins/include/standin_jobs.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwinghollow/job_service.h"
#include "waxwinghollow/shard_claim.h"
#include "waxwinghollow/upstream.h"

#define PROCESSES 2
#define WAIT_LIMIT_MS 15000
#define GRACE_MS 3000
typedef struct {
	standin_t *standin;
	wwh_job_service_t *services[PROCESSES];
	int32_t ports[PROCESSES]; /* for callers */
	int32_t peer_ports[PROCESSES];
	int64_t cpu_permille[PROCESSES]; /* 0: the default */
	wwh_counters_t *counters;
	wwh_upstream_t *client;
	int log_fd;
	const char *deadline_ms; /* header of callers' requests */
	const char *authorization; /* header of callers' requests; NULL: none */
	bool checks_keys;
	bool relay_orders; /* at any load */
	int64_t keys_fail_after_ms; /* 0: they don't fail */
} fixture_t;

/* With the store's present address. */
static inline wwh_host_settings_t process_settings(const fixture_t *fixture,
						   int32_t index)
{
	wwh_host_settings_t settings;
	int32_t store = wwh_listener_port(fixture->standin->store);

	wwh_host_settings_init(&settings);
	settings.name = g_strdup_printf("p%d", index);
	settings.callers.address = g_strdup("127.0.0.1");
	settings.callers.port = fixture->ports[index];
	settings.readiness.address = g_strdup("127.0.0.1");
	settings.readiness.port = standin_free_port();
	settings.peers.address = g_strdup("127.0.0.1");
	settings.peers.port = fixture->peer_ports[index];
	settings.store = g_strdup_printf("127.0.0.1:%d", store);
	settings.hosts = g_strdup_printf("127.0.0.1:%d", store);
	settings.grace_ms = GRACE_MS;
	settings.checks_keys = fixture->checks_keys;
	settings.revoke_fails_closed = fixture->keys_fail_after_ms != 0;
	settings.revoke_ms = fixture->keys_fail_after_ms;
	settings.relay_orders = fixture->relay_orders;
	settings.relay_on_permille = 0;
	if (fixture->cpu_permille[index] != 0)
		settings.cpu_permille = fixture->cpu_permille[index];
	return settings;
}

static inline void start_process(fixture_t *fixture, int32_t index)
{
	wwh_host_settings_t settings;
	wwh_message_t message = { "" };

	fixture->ports[index] = standin_free_port();
	fixture->peer_ports[index] = standin_free_port();
	settings = process_settings(fixture, index);
	fixture->services[index] =
		wwh_job_service_new(&settings, fixture->log_fd);
	assert_int_equal(
		wwh_job_service_init(fixture->services[index], &message),
		WWH_STATUS_OK);
}

static inline void stop_process(fixture_t *fixture, int32_t index)
{
	(void)wwh_job_service_finish(fixture->services[index]);
	wwh_job_service_delete(fixture->services[index]);
	fixture->services[index] = NULL;
}

static inline gpointer finish_process(gpointer service)
{
	(void)wwh_job_service_finish(service);
	return NULL;
}

/* Stops all processes that run, at the same time. */
static inline void stop_all_processes(fixture_t *fixture)
{
	GThread *threads[PROCESSES] = { NULL };

	for (int32_t i = 0; i < PROCESSES; i++) {
		if (fixture->services[i] != NULL)
			threads[i] = g_thread_new("stop", finish_process,
						  fixture->services[i]);
	}
	for (int32_t i = 0; i < PROCESSES; i++) {
		if (threads[i] != NULL)
			(void)g_thread_join(threads[i]);
		g_clear_pointer(&fixture->services[i], wwh_job_service_delete);
	}
}

/* Doesn't start the processes. */
static inline fixture_t *fixture_new(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_upstream_options_t options = wwh_upstream_options_defaults();

	fixture->standin = standin_new();
	fixture->deadline_ms = "1500";
	fixture->counters = wwh_counters_new();
	fixture->client = wwh_upstream_new(&options, fixture->counters);
	fixture->log_fd = open("/dev/null", O_WRONLY);
	return fixture;
}

static inline int set_up(void **state)
{
	fixture_t *fixture = fixture_new();

	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	*state = fixture;
	return 0;
}

static inline int tear_down(void **state)
{
	fixture_t *fixture = *state;

	stop_all_processes(fixture);
	wwh_upstream_delete(fixture->client);
	wwh_counters_delete(fixture->counters);
	close(fixture->log_fd);
	assert_int_equal(fixture->standin->twice, 0);
	standin_delete(fixture->standin);
	g_free(fixture);
	return 0;
}

/*
 * Returns the status of one request, 0 without an answer. If text isn't NULL,
 * *text gets the body, to be freed with g_free.
 */
static inline int32_t send_request(fixture_t *fixture, int32_t index,
				   const char *method, const char *target,
				   const char *body, char **text)
{
	wwh_headers_t *headers = wwh_headers_new();
	wwh_http_request_t http = {
		.method = method,
		.target = target,
		.headers = headers,
		.body = (const uint8_t *)body,
		.body_size = body == NULL ? 0 : strlen(body),
		.caller_fd = -1,
	};
	wwh_upstream_request_t request = {
		.address = "127.0.0.1",
		.port = fixture->ports[index],
		.http = &http,
		.timeout_ms = WAIT_LIMIT_MS,
		.max_answer_bytes = 1 << 20,
		.max_connections = 16,
	};
	wwh_upstream_answer_t answer;
	int32_t status = 0;

	wwh_headers_add(headers, "Host", "h");
	wwh_headers_add(headers, "Waxwinghollow-Deadline-Ms",
			fixture->deadline_ms);
	if (fixture->authorization != NULL)
		wwh_headers_add(headers, "Authorization",
				fixture->authorization);
	wwh_upstream_send(fixture->client, &request, &answer);
	status = answer.outcome == WWH_UPSTREAM_ANSWERED ||
				 answer.outcome == WWH_UPSTREAM_REFUSED
			 ? answer.response.status
			 : 0;
	if (text != NULL)
		*text = g_strndup((char *)answer.response.body->data,
				  answer.response.body->len);
	wwh_http_response_clear(&answer.response);
	wwh_headers_delete(headers);
	return status;
}

static inline void wait_ready(fixture_t *fixture, int32_t index)
{
	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50; i++) {
		if (send_request(fixture, index, "GET", "/q/", NULL, NULL) ==
		    200)
			return;
		g_usleep(50 * 1000);
	}
	fail_msg("process %d doesn't serve", index);
}

static inline void submit_job(fixture_t *fixture, int32_t index, const char *id)
{
	static const char job[] =
		"{\"spec\":\"text\",\"phases\":[{\"count\":3,\"cpu\":1000,"
		"\"memMb\":100,\"estimateMs\":300},{\"count\":2,\"cpu\":1000,"
		"\"memMb\":100,\"estimateMs\":300,\"dependsOn\":[0]}]}";
	char *target = g_strconcat("/q/", id, NULL);
	int32_t status = 0;

	/* as callers do, retries with the same id until it is accepted */
	for (int32_t i = 0; i < 100 && status != 200; i++) {
		status =
			send_request(fixture, index, "POST", target, job, NULL);
		if (status != 200)
			g_usleep(100 * 1000);
	}
	assert_int_equal(status, 200);
	g_free(target);
}

static inline void wait_job_state(fixture_t *fixture, int32_t index,
				  const char *id, const char *state)
{
	char *target = g_strconcat("/q/", id, NULL);
	char *wanted = g_strdup_printf("{\"state\":\"%s\"}", state);
	bool found = false;

	for (int32_t i = 0; i < WAIT_LIMIT_MS / 50 && !found; i++) {
		char *text;
		int32_t status = send_request(fixture, index, "GET", target,
					      NULL, &text);

		/* an accepted job is never unknown */
		assert_int_not_equal(status, 410);
		found = strcmp(text, wanted) == 0;
		g_free(text);
		if (!found)
			g_usleep(50 * 1000);
	}
	if (!found)
		fail_msg("job %s doesn't become %s", id, state);
	g_free(target);
	g_free(wanted);
}

/* The state of the shard that a process reports to others. */
static inline int32_t shard_status(fixture_t *fixture, int32_t index)
{
	int32_t callers = fixture->ports[index];
	int32_t status;

	fixture->ports[index] = fixture->peer_ports[index];
	status = send_request(fixture, index, "GET", "/v1/shard", NULL, NULL);
	fixture->ports[index] = callers;
	return status;
}

static inline int32_t find_holder(fixture_t *fixture)
{
	for (int32_t i = 0; i < PROCESSES; i++) {
		if (shard_status(fixture, i) == 200)
			return i;
	}
	fail_msg("nobody holds the shard");
	return 0;
}

#define SERVICE_TEST(test)                                                     \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

/* test_changes.c: changes of the shard's holder */
#define CHANGE_TESTS                                                                 \
	SERVICE_TEST(a_holder_that_the_store_rejects_hands_over),                    \
		SERVICE_TEST(                                                        \
			a_submission_is_not_refused_while_the_shard_is_handed_over), \
		SERVICE_TEST(a_holder_that_cannot_keep_up_hands_over),               \
		SERVICE_TEST(                                                        \
			a_holder_keeps_a_load_that_was_handed_over_to_it),           \
		SERVICE_TEST(                                                        \
			a_holder_keeps_the_shard_while_nobody_else_is_served),       \
		SERVICE_TEST(a_holder_takes_a_new_address_of_the_store),             \
		SERVICE_TEST(a_lost_answer_does_not_delay_its_pool)

void a_holder_that_the_store_rejects_hands_over(void **state);
void a_submission_is_not_refused_while_the_shard_is_handed_over(void **state);
void a_holder_that_cannot_keep_up_hands_over(void **state);
void a_holder_keeps_a_load_that_was_handed_over_to_it(void **state);
void a_holder_keeps_the_shard_while_nobody_else_is_served(void **state);
void a_holder_takes_a_new_address_of_the_store(void **state);
void a_lost_answer_does_not_delay_its_pool(void **state);
void another_process_takes_over_from_one_that_stops(void **state);
void a_stopped_holder_waits_for_its_orders_to_hosts(void **state);
void a_slow_process_holds_the_shard_only_if_no_other_does(void **state);

/* test_relays.c */
#define RELAY_TESTS                                                            \
	SERVICE_TEST(without_the_setting_there_are_no_relays),                 \
		cmocka_unit_test_setup_teardown(jobs_run_by_orders_of_a_relay, \
						set_up_relays, tear_down),     \
		cmocka_unit_test_setup_teardown(                               \
			jobs_run_on_while_a_relay_stops, set_up_relays,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			jobs_run_on_when_a_relay_becomes_the_holder,           \
			set_up_relays, tear_down)

int set_up_relays(void **state);
void without_the_setting_there_are_no_relays(void **state);
void jobs_run_by_orders_of_a_relay(void **state);
void jobs_run_on_while_a_relay_stops(void **state);
void jobs_run_on_when_a_relay_becomes_the_holder(void **state);

/* test_keys.c */
#define KEY_TESTS                                                              \
	cmocka_unit_test_setup_teardown(                                       \
		only_callers_with_a_valid_key_are_served,                      \
		set_up_keys_fail_open, tear_down),                             \
		cmocka_unit_test_setup_teardown(                               \
			a_job_is_hidden_from_other_workspaces,                 \
			set_up_keys_fail_open, tear_down),                     \
		cmocka_unit_test_setup_teardown(                               \
			keys_are_replaced_on_all_processes_and_never_restored, \
			set_up_keys_fail_open, tear_down),                     \
		cmocka_unit_test_setup_teardown(                               \
			a_configuration_without_keys_authorizes_nobody,        \
			set_up_keys_fail_open, tear_down),                     \
		cmocka_unit_test_setup_teardown(                               \
			keys_are_rejected_once_the_configuration_is_stale,     \
			set_up_keys_fail_closed, tear_down),                   \
		cmocka_unit_test_setup_teardown(                               \
			keys_stay_valid_during_an_outage_if_not_fail_closed,   \
			set_up_keys_fail_open, tear_down)

int set_up_keys_fail_open(void **state);
int set_up_keys_fail_closed(void **state);
void only_callers_with_a_valid_key_are_served(void **state);
void a_job_is_hidden_from_other_workspaces(void **state);
void keys_are_replaced_on_all_processes_and_never_restored(void **state);
void a_configuration_without_keys_authorizes_nobody(void **state);
void keys_are_rejected_once_the_configuration_is_stale(void **state);
void keys_stay_valid_during_an_outage_if_not_fail_closed(void **state);

#endif
