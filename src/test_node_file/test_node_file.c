/*
 * The platform's settings file: optional and unknown names, and an error for
 * each malformed line.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "node_file.h"

#define REQUIRED_SETTINGS                                                      \
	"node=edge-1\nip=10.1.0.9\nlisten.frontend=10.1.0.9:8624\n"            \
	"listen.readiness=10.1.0.9:8622\ninternalPorts=7060,7075\n"            \
	"platform.address=10.200.1.7:8621\n"

typedef struct {
	GString *text;
	int32_t count;
} errors_t;

static void on_error(const char *path, int32_t line, const char *text,
		     void *client_data)
{
	errors_t *errors = client_data;

	assert_non_null(path);
	g_string_append_printf(errors->text, "%d %s;", line, text);
	errors->count++;
}

static wwh_status_t load(const char *text, wwh_host_settings_t *settings,
			 errors_t *errors)
{
	char *path = NULL;
	int fd = g_file_open_tmp("wwh-node-XXXXXX", &path, NULL);
	wwh_status_t status;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	errors->text = g_string_new(NULL);
	errors->count = 0;
	status = node_file_load(path, settings, on_error, errors);
	(void)remove(path);
	g_free(path);
	return status;
}

static void a_full_file_is_read(void **state)
{
	wwh_host_settings_t settings;
	errors_t errors;

	(void)state;
	assert_int_equal(
		load(REQUIRED_SETTINGS
		     "zone=hall-a\ncloud.address=10.2.0.1:86\n"
		     "advice=10.2.0.2:87\nbounds.noticeMs=4600\n"
		     "bounds.holdMaxMs=9000\nbounds.moveS=1.5\n"
		     "bounds.graceS=6\n"
		     "bounds.revokeFailClosed=true\nbounds.revokeMs=4000\n"
		     "contracts=base,tenants,quota\n"
		     "bounds.fencingRequired=true\nnew.field=x,y\n# note\n\n",
		     &settings, &errors),
		WWH_STATUS_OK);
	assert_int_equal(errors.count, 0);
	assert_string_equal(settings.callers.address, "10.1.0.9");
	assert_int_equal(settings.callers.port, 8624);
	assert_int_equal(settings.peers.port, 7060);
	assert_string_equal(settings.store, "10.200.1.7:8621");
	assert_string_equal(settings.advice, "10.2.0.2:87");
	assert_int_equal(settings.lease_max_ms, 9000);
	assert_int_equal(settings.move_ms, 1500);
	assert_int_equal(settings.grace_ms, 6000);
	assert_int_equal(settings.unavailable_after_ms, 4600);
	assert_true(settings.hosts_fence);
	assert_true(settings.checks_keys);
	assert_true(settings.revoke_fails_closed);
	assert_int_equal(settings.revoke_ms, 4000);
	wwh_host_settings_clear(&settings);
	g_string_free(errors.text, TRUE);
}

/* Optional settings may be missing, or empty if the deployment has none. */
static void optional_names_have_defaults(void **state)
{
	wwh_host_settings_t settings;
	wwh_host_settings_t defaults;
	errors_t errors;

	(void)state;
	wwh_host_settings_init(&defaults);
	assert_int_equal(load(REQUIRED_SETTINGS "advice=\nbounds.stopMs=\n",
			      &settings, &errors),
			 WWH_STATUS_OK);
	assert_null(settings.advice);
	assert_null(settings.hosts);
	assert_int_equal(settings.stop_limit_ms, defaults.stop_limit_ms);
	assert_int_equal(settings.grace_ms, defaults.grace_ms);
	assert_false(settings.hosts_fence);
	assert_false(settings.checks_keys);
	assert_false(settings.revoke_fails_closed);
	wwh_host_settings_clear(&settings);
	g_string_free(errors.text, TRUE);
}

static void each_error_names_its_line(void **state)
{
	static const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{ REQUIRED_SETTINGS "no equals sign\n",
		  "7 no equals sign: expected" },
		{ REQUIRED_SETTINGS "bounds.graceS=six\n",
		  "7 bounds.graceS: expected" },
		{ REQUIRED_SETTINGS "bounds.graceS=-1\n",
		  "7 bounds.graceS: expected" },
		{ REQUIRED_SETTINGS "bounds.graceS=nan\n",
		  "7 bounds.graceS: expected" },
		{ REQUIRED_SETTINGS "bounds.fencingRequired=1\n",
		  "7 bounds.fencingRequired: expected" },
		{ REQUIRED_SETTINGS "cloud.address=10.2.0.1\n",
		  "7 cloud.address: " },
		{ REQUIRED_SETTINGS "cloud.address=10.2.0.1:0\n",
		  "7 cloud.address: " },
		{ REQUIRED_SETTINGS "cloud.address=host:80\n",
		  "7 cloud.address: " },
		{ REQUIRED_SETTINGS "listen.frontend=:8624\n",
		  "7 listen.frontend: " },
		{ REQUIRED_SETTINGS "internalPorts=70600\n",
		  "7 internalPorts: " },
		{ "node=edge-1\n", "0 platform.address: is missing" },
		{ "", "0 node: is missing" },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		wwh_host_settings_t settings;
		errors_t errors;

		assert_int_equal(load(cases[i].text, &settings, &errors),
				 WWH_STATUS_BAD_INPUT);
		if (strstr(errors.text->str, cases[i].error) == NULL)
			fail_msg("%s: %s", cases[i].text, errors.text->str);
		g_string_free(errors.text, TRUE);
	}
}

static void a_missing_file_is_an_error(void **state)
{
	wwh_host_settings_t settings;
	errors_t errors = { .text = g_string_new(NULL) };

	(void)state;
	assert_int_equal(
		node_file_load("/no/such/file", &settings, on_error, &errors),
		WWH_STATUS_IO);
	assert_int_equal(errors.count, 1);
	g_string_free(errors.text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_full_file_is_read),
		cmocka_unit_test(optional_names_have_defaults),
		cmocka_unit_test(each_error_names_its_line),
		cmocka_unit_test(a_missing_file_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
