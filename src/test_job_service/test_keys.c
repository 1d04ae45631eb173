/* Callers with and without API keys, and keys that are added and removed. */

#include "service_fixture.h"

#define QUEUES                                                                 \
	"\"routes\":[{\"name\":\"r1\",\"host\":\"h\",\"pathPrefix\":\"/q/\","  \
	"\"service\":\"" STANDIN_POOL "\"},{\"name\":\"r2\",\"host\":\"h\","   \
	"\"pathPrefix\":\"/open/"                                              \
	"\",\"public\":true,\"service\":\"" STANDIN_POOL                       \
	"\"}],\"services\":[{\"name\":\"" STANDIN_POOL "\"}]"
#define WITH_KEYS(version, keys)                                               \
	"{\"version\":" version "," QUEUES                                     \
	",\"tenants\":[{\"name\":\"parks\",\"apiKeys\":[" keys "]},"           \
	"{\"name\":\"schools & co\",\"apiKeys\":[\"theirs\"]}]}"

#define STATUS_UNAUTHORIZED 401
#define KEYS_FAIL_AFTER_MS 3000
#define REJECTION_MAX_MS 400

static int set_up_keys(void **state, bool fails_closed)
{
	static const char config[] = WITH_KEYS("4", "\"old\",\"kept\"");
	fixture_t *fixture = fixture_new();

	fixture->checks_keys = true;
	fixture->keys_fail_after_ms = fails_closed ? KEYS_FAIL_AFTER_MS : 0;
	standin_put(fixture->standin, "keyed.op", "0", "config", config,
		    strlen(config));
	for (int32_t i = 0; i < PROCESSES; i++)
		start_process(fixture, i);
	fixture->authorization = "Token kept";
	for (int32_t i = 0; i < PROCESSES; i++)
		wait_ready(fixture, i);
	*state = fixture;
	return 0;
}

int set_up_keys_fail_open(void **state)
{
	return set_up_keys(state, false);
}

int set_up_keys_fail_closed(void **state)
{
	return set_up_keys(state, true);
}

static void put_config(fixture_t *fixture, const char *text)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, "keyed.op", "0", "config", text,
		    strlen(text));
	g_mutex_unlock(&fixture->standin->lock);
}

static int32_t status_with_key(fixture_t *fixture, int32_t index,
			       const char *authorization)
{
	fixture->authorization = authorization;
	return send_request(fixture, index, "GET", "/q/", NULL, NULL);
}

/* Guards against jobs that unauthorized callers can run and read. */
void only_callers_with_a_valid_key_are_served(void **state)
{
	static const char *const wrong[] = { NULL,	    "",
					     "Token",	    "Token other",
					     "Bearer kept", "kept" };
	static const char *const methods[] = { "POST", "GET", "DELETE" };
	fixture_t *fixture = *state;
	int64_t begun_ms;
	char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(methods); k++) {
			fixture->authorization = wrong[i];
			begun_ms = standin_now_ms();
			assert_int_equal(
				send_request(fixture, (int32_t)i % PROCESSES,
					     methods[k], "/q/00000000000000a0",
					     "no job", &text),
				STATUS_UNAUTHORIZED);
			assert_true(standin_now_ms() - begun_ms <
				    REJECTION_MAX_MS);
			assert_non_null(strstr(text, "unauthorized"));
			g_free(text);
		}
	}
	assert_int_equal(send_request(fixture, 0, "GET", "/open/", NULL, NULL),
			 200);
	fixture->authorization = "Token kept";
	submit_job(fixture, 0, "00000000000000a1");
	wait_job_state(fixture, 1, "00000000000000a1", "completed");
}

static int32_t job_status_with_key(fixture_t *fixture, int32_t index,
				   const char *method, const char *id,
				   const char *key)
{
	char *target = g_strconcat("/q/", id, NULL);
	int32_t status;

	fixture->authorization = key;
	status = send_request(fixture, index, method, target,
			      "{\"spec\":\"text\",\"phases\":[{\"count\":1}]}",
			      NULL);
	g_free(target);
	return status;
}

/* Guards against a workspace that reads or cancels the jobs of another. */
void a_job_is_hidden_from_other_workspaces(void **state)
{
	static const char *const methods[] = { "GET", "DELETE", "POST" };
	static const char id[] = "00000000000000a2";
	fixture_t *fixture = *state;

	fixture->authorization = "Token kept";
	submit_job(fixture, 0, id);
	for (int32_t i = 0; i < PROCESSES; i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(methods); k++)
			assert_int_equal(job_status_with_key(fixture, i,
							     methods[k], id,
							     "Token theirs"),
					 410);
	}
	/* every key of the job's workspace is valid */
	assert_int_equal(
		job_status_with_key(fixture, 0, "GET", id, "Token old"), 200);
	wait_job_state(fixture, 1, id, "completed");
	/* the same after the job has ended and with another holder */
	stop_process(fixture, find_holder(fixture));
	for (int32_t i = 0; i < PROCESSES; i++) {
		if (fixture->services[i] == NULL)
			start_process(fixture, i);
		wait_ready(fixture, i);
	}
	for (int32_t i = 0; i < PROCESSES; i++) {
		assert_int_equal(job_status_with_key(fixture, i, "GET", id,
						     "Token theirs"),
				 410);
		assert_int_equal(job_status_with_key(fixture, i, "GET", id,
						     "Token kept"),
				 200);
	}
}

/*
 * Guards against removed keys that stay valid or become valid again, and added
 * keys that aren't valid.
 */
void keys_are_replaced_on_all_processes_and_never_restored(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(status_with_key(fixture, 0, "Token old"), 200);
	put_config(fixture, WITH_KEYS("5", "\"kept\",\"new\""));
	for (int32_t i = 0; i < PROCESSES; i++) {
		for (int32_t tries = 0;
		     tries < 20 &&
		     status_with_key(fixture, i, "Token new") != 200;
		     tries++)
			g_usleep(100 * 1000);
	}
	for (int32_t round = 0; round < 10; round++) {
		for (int32_t i = 0; i < PROCESSES; i++) {
			assert_int_equal(
				status_with_key(fixture, i, "Token new"), 200);
			assert_int_equal(
				status_with_key(fixture, i, "Token old"),
				STATUS_UNAUTHORIZED);
		}
		put_config(fixture, WITH_KEYS("4", "\"old\",\"kept\""));
		g_usleep(100 * 1000);
	}
}

/* Guards against a configuration without keys that authorizes all callers. */
void a_configuration_without_keys_authorizes_nobody(void **state)
{
	fixture_t *fixture = *state;

	put_config(fixture, "{\"version\":9," QUEUES "}");
	g_usleep(700 * 1000);
	for (int32_t i = 0; i < PROCESSES; i++) {
		assert_int_equal(status_with_key(fixture, i, NULL),
				 STATUS_UNAUTHORIZED);
		assert_int_equal(status_with_key(fixture, i, "Token kept"),
				 200);
	}
}

static bool is_rejected_without_configuration(fixture_t *fixture)
{
	char *text;
	bool rejected;

	(void)send_request(fixture, 0, "GET", "/q/", NULL, &text);
	rejected = strstr(text, "no-configuration") != NULL;
	g_free(text);
	return rejected;
}

static void set_store_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

/*
 * Guards against removed keys that stay valid while no configuration is read.
 */
void keys_are_rejected_once_the_configuration_is_stale(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms = standin_now_ms();

	assert_false(is_rejected_without_configuration(fixture));
	set_store_busy(fixture, true);
	while (!is_rejected_without_configuration(fixture)) {
		assert_true(standin_now_ms() - begun_ms <
			    2 * KEYS_FAIL_AFTER_MS);
		g_usleep(50 * 1000);
	}
	set_store_busy(fixture, false);
	wait_ready(fixture, 0);
}

/*
 * Guards against rejecting callers with valid keys in an outage of the store.
 */
void keys_stay_valid_during_an_outage_if_not_fail_closed(void **state)
{
	fixture_t *fixture = *state;
	int64_t begun_ms = standin_now_ms();

	set_store_busy(fixture, true);
	while (standin_now_ms() - begun_ms < KEYS_FAIL_AFTER_MS) {
		assert_false(is_rejected_without_configuration(fixture));
		assert_int_equal(status_with_key(fixture, 0, "Token other"),
				 STATUS_UNAUTHORIZED);
		fixture->authorization = "Token kept";
		g_usleep(200 * 1000);
	}
	set_store_busy(fixture, false);
}
