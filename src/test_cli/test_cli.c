#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "fake_operator.h"
#include "run_program.h"
#include "test_cli.h"

static void examples_pass_the_check(void **unused)
{
	static const char *const lines[] = {
		"check examples/settings.json examples/inventory.csv "
		"examples/rules.json",
		"check examples/rules.json examples/inventory.json",
		"check examples/bounce-meitheal/inventory.csv "
		"examples/bounce-meitheal/rules.json",
		"check examples/peachtree/inventory.csv "
		"examples/peachtree/rules.json",
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		run_t run = run_program(lines[i]);

		run_expect_exit_code(&run, 0);
		assert_string_equal(run.err, "");
		run_clear(&run);
	}
}

static void csv_and_json_examples_are_equal(void **unused)
{
	static const char *const inventories[] = {
		WWH_SOURCE_DIR "/examples/inventory.csv",
		WWH_SOURCE_DIR "/examples/inventory.json",
	};
	wwh_config_t *configs[2];
	wwh_config_change_t *change;

	(void)unused;
	for (int i = 0; i < 2; i++) {
		configs[i] = wwh_config_new();
		assert_int_equal(wwh_config_load(configs[i], inventories[i],
						 WWH_SOURCE_DIR
						 "/examples/rules.json",
						 NULL, NULL),
				 WWH_STATUS_OK);
	}
	change = wwh_config_diff(configs[0], configs[1]);
	assert_int_equal(wwh_config_change_count(change), 0);
	wwh_config_change_delete(change);
	wwh_config_unref(configs[0]);
	wwh_config_unref(configs[1]);
}

static char *write_file(const char *directory, const char *name,
			const char *text)
{
	char *path = g_build_filename(directory, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void check_reports_every_error_of_every_file(void **unused)
{
	char *directory = g_dir_make_tmp("wwh-XXXXXX", NULL);
	char *settings =
		write_file(directory, "s", "{\"process_id\": \"e 1\"}");
	char *inventory = write_file(directory, "i", "{\"workers\": [\n7]}");
	char *rules = write_file(directory, "r",
				 "{\"pools\": [],\n\"rule\": 1,"
				 "\n\"teams\": {}}");
	char *other = write_file(directory, "o", "\n{\"colour\": 1}");
	char *line = g_strdup_printf("check %s %s %s %s", settings, inventory,
				     rules, other);
	char *expected = g_strdup_printf(
		"%s:1: no known key, expected settings, an inventory or "
		"rules\n"
		"%s:1: 'process_id' is \"e 1\", expected letters, digits and "
		". _ - : (at most 128)\n"
		"%s:1: 'availability_zone' is missing, expected letters, "
		"digits and . _ - : (at most 128)\n"
		"%s:1: 'region' is missing, expected letters, digits and "
		". _ - : (at most 128)\n"
		"%s:1: 'caller_listen' is missing, expected \"IP:port\"\n"
		"%s:1: 'operator_listen' is missing, expected \"IP:port\"\n"
		"%s:1: 'peer_listen' is missing, expected \"IP:port\"\n"
		"%s:1: 'platform_url' is missing, expected "
		"\"http://IP:port\"\n"
		"%s:2: an item of 'workers' is not an object, expected {...}\n"
		"%s:2: unknown key 'rule', expected 'rules'\n"
		"%s:3: 'teams' is not a list, expected [...]\n",
		other, settings, settings, settings, settings, settings,
		settings, settings, inventory, rules, rules);
	run_t run = run_program(line);

	(void)unused;
	run_expect_exit_code(&run, 3);
	assert_string_equal(run.err, expected);
	run_clear(&run);
	g_assert_cmpint(g_remove(settings), ==, 0);
	g_assert_cmpint(g_remove(inventory), ==, 0);
	g_assert_cmpint(g_remove(rules), ==, 0);
	g_assert_cmpint(g_remove(other), ==, 0);
	g_assert_cmpint(g_remove(directory), ==, 0);
	g_free(settings);
	g_free(inventory);
	g_free(rules);
	g_free(other);
	g_free(line);
	g_free(expected);
	g_free(directory);
}

/*
 * Guards against parsing a platform settings file as an inventory in CSV: the
 * only error reported then was about its first line, taken for a column name.
 */
static void check_validates_platform_settings(void **unused)
{
	char *directory = g_dir_make_tmp("wwh-XXXXXX", NULL);
	char *path = write_file(directory, "n",
				"node=a\nip=1.2.3.4\n"
				"listen.frontend=x:1\n");
	char *line = g_strdup_printf("check --platform %s", path);
	char *bad = g_strdup_printf(
		"%s:3: listen.frontend: expected ADDRESS:PORT\n", path);
	run_t run = run_program(line);

	(void)unused;
	run_expect_exit_code(&run, 3);
	assert_true(g_str_has_prefix(run.err, bad));
	assert_non_null(strstr(run.err, "platform.address: is missing\n"));
	run_clear(&run);
	g_free(write_file(directory, "n",
			  "node=a\nip=1.2.3.4\nlisten.frontend=1.2.3.4:1\n"
			  "listen.readiness=1.2.3.4:2\n"
			  "internalPorts=7060,7075\n"
			  "platform.address=1.2.3.5:3\n"));
	run = run_program(line);
	run_expect_exit_code(&run, 0);
	run_clear(&run);
	g_assert_cmpint(g_remove(path), ==, 0);
	g_assert_cmpint(g_remove(directory), ==, 0);
	g_free(path);
	g_free(line);
	g_free(bad);
	g_free(directory);
}

static void bad_command_lines_are_usage_errors(void **unused)
{
	static const struct {
		const char *line;
		const char *error;
	} rows[] = {
		{ "servee", "waxwinghollow: unknown command 'servee'" },
		{ "check", "check: no file, expected FILE..." },
		{ "check --colour x", "check: Unknown option --colour" },
		{ "check examples/rules.json examples/rules.json",
		  "are both rules, expected one" },
		{ "status", "status: no server" },
		{ "status --server localhost:1",
		  "status: server 'localhost:1', expected IP:PORT" },
		{ "status --server 127.0.0.1:1 now",
		  "status: unexpected argument 'now'" },
		{ "dump --process 127.0.0.1", "dump: server '127.0.0.1'" },
		{ "wave --server 127.0.0.1:1", "wave: no verb" },
		{ "wave stop w --server 127.0.0.1:1",
		  "wave: unknown verb 'stop', expected one of: plan, start" },
		{ "move start w1 --server 127.0.0.1:1",
		  "move: start has 1 arguments, expected 2" },
		{ "rehearse rack r1 --server 127.0.0.1:1 --timeout-ms 0",
		  "rehearse: --timeout-ms is 0, expected 1 to 3600000" },
		{ "publish --server 127.0.0.1:1",
		  "publish: expected --inventory FILE" },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		run_t run = run_program(rows[i].line);

		run_expect_exit_code(&run, 2);
		if (strstr(run.err, rows[i].error) == NULL)
			fail_msg("%s: %s", rows[i].line, run.err);
		run_clear(&run);
	}
}

static void each_command_has_help(void **unused)
{
	static const char *const commands[] = {
		"serve", "check",    "publish", "status", "dump",
		"wave",	 "rehearse", "move",	"job",	  "explain",
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *line = g_strdup_printf("%s --help", commands[i]);
		run_t run = run_program(line);

		run_expect_exit_code(&run, 0);
		assert_non_null(strstr(run.out, "Usage:"));
		run_clear(&run);
		g_free(line);
	}
}

/*
 * The logs of two processes are merged: explain prints only the lines of the
 * request and of its tasks, in order of time, whatever the order of the files.
 */
static void explain_lists_the_log_lines_of_a_request(void **unused)
{
	static const char first[] =
		"{\"t\":2000,\"node\":\"n1\",\"event\":\"job-ended\",\"id\":"
		"\"00000000000000aa\",\"detail\":\"state=failed\"}\n"
		"not a line of the log 00000000000000aa\n"
		"{\"t\":1500,\"node\":\"n1\",\"event\":\"run-ended\",\"id\":"
		"\"00000000000000aa.0.0.1\",\"detail\":\"how=failed\"}\n";
	static const char second[] =
		"{\"t\":1000,\"node\":\"n2\",\"event\":\"not-served\",\"id\":"
		"\"00000000000000aa\",\"detail\":\"why=no-holder\"}\n"
		"{\"t\":1100,\"node\":\"n2\",\"event\":\"not-served\",\"id\":"
		"\"00000000000000aab\",\"detail\":\"why=other\"}\n";
	char *directory = g_dir_make_tmp("wwh-cli-XXXXXX", NULL);
	char *one = g_build_filename(directory, "one", NULL);
	char *two = g_build_filename(directory, "two", NULL);
	char *line =
		g_strdup_printf("explain 00000000000000aa %s %s", one, two);
	run_t run;
	const char *positions[3];

	(void)unused;
	assert_true(g_file_set_contents(one, first, -1, NULL));
	assert_true(g_file_set_contents(two, second, -1, NULL));
	run = run_program(line);
	run_expect_exit_code(&run, 0);
	positions[0] = strstr(run.out, "not-served");
	positions[1] = strstr(run.out, "run-ended");
	positions[2] = strstr(run.out, "job-ended");
	assert_non_null(positions[0]);
	assert_non_null(positions[1]);
	assert_non_null(positions[2]);
	assert_true(positions[0] < positions[1] && positions[1] < positions[2]);
	assert_null(strstr(run.out, "why=other"));
	run_clear(&run);
	g_free(line);
	line = g_strdup_printf("explain --json 00000000000000bb %s", one);
	run = run_program(line);
	run_expect_exit_code(&run, 1);
	run_clear(&run);
	(void)remove(one);
	(void)remove(two);
	(void)remove(directory);
	g_free(line);
	g_free(one);
	g_free(two);
	g_free(directory);
}

static void status_is_a_table_or_json(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	char *line = g_strdup_printf("status --server %s",
				     fake_operator_address(fake));
	char *json_line = g_strdup_printf("%s --json", line);
	run_t run;

	(void)unused;
	fake_operator_add_member(fake, "e2", "127.0.0.1:1", "alive");
	run = run_program(line);
	run_expect_exit_code(&run, 0);
	assert_string_equal(
		run.out, "process         e1\n"
			 "config_version  0\n"
			 "members:\n"
			 "  process  operator_address  state  config_version\n"
			 "  e2       127.0.0.1:1       alive  0\n");
	run_clear(&run);
	run = run_program(json_line);
	run_expect_exit_code(&run, 0);
	assert_true(g_str_has_prefix(run.out, "{\"process\": \"e1\","));
	run_clear(&run);
	g_free(line);
	g_free(json_line);
	fake_operator_delete(fake);
}

static void verbs_post_their_arguments(void **unused)
{
	static const struct {
		const char *line;
		const char *post; /* expected start of "PATH BODY" */
		const char *parts[3]; /* expected in the body */
	} rows[] = {
		{ "wave start p",
		  "/v1/wave/start {\"author\":\"ben\"",
		  { "\"request_id\":\"", "\"pool\":\"p\"" } },
		{ "rehearse rack r1 --hold-s 5",
		  "/v1/rehearse/start {",
		  { "\"domain\":\"rack\"", "\"id\":\"r1\"", "\"hold_s\":5" } },
		{ "move start w1 p",
		  "/v1/move/start {",
		  { "\"worker\":\"w1\"", "\"pool\":\"p\"" } },
		{ "job submit j p --cores 2 --urgent",
		  "/v1/job/submit {",
		  { "\"job\":\"j\"", "\"cores\":2",
		    "\"urgent\":true,\"idempotent\":false" } },
	};
	fake_operator_t *fake = fake_operator_new("e1");

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *line = g_strdup_printf("%s --author ben --server %s",
					     rows[i].line,
					     fake_operator_address(fake));
		run_t run = run_program(line);
		char *post = fake_operator_last_post(fake);

		run_expect_exit_code(&run, 0);
		assert_true(g_str_has_prefix(post, rows[i].post));
		for (int j = 0; j < 3 && rows[i].parts[j] != NULL; j++) {
			if (strstr(post, rows[i].parts[j]) == NULL)
				fail_msg("no %s in %s", rows[i].parts[j], post);
		}
		run_clear(&run);
		g_free(post);
		g_free(line);
	}
	fake_operator_delete(fake);
}

static void verdicts_map_to_exit_codes(void **unused)
{
	static const struct {
		fake_mode_t mode;
		int exit_code;
	} rows[] = {
		{ FAKE_ACCEPTS, 0 },	   { FAKE_CONFLICT, 4 },
		{ FAKE_MALFORMED, 3 },	   { FAKE_UNAVAILABLE, 5 },
		{ FAKE_UNKNOWN, 6 },	   { FAKE_LOSES_ANSWER, 6 },
		{ FAKE_LOSES_REQUEST, 6 }, { FAKE_CLOSES_IN_BODY, 6 },
	};
	fake_operator_t *fake = fake_operator_new("e1");
	char *line = g_strdup_printf("wave pause w --server %s",
				     fake_operator_address(fake));

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		run_t run;

		fake_operator_set_mode(fake, rows[i].mode);
		run = run_program(line);
		run_expect_exit_code(&run, rows[i].exit_code);
		assert_int_equal(fake_operator_post_count(fake), i + 1);
		run_clear(&run);
	}
	g_free(line);
	fake_operator_delete(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(examples_pass_the_check),
		cmocka_unit_test(csv_and_json_examples_are_equal),
		cmocka_unit_test(check_reports_every_error_of_every_file),
		cmocka_unit_test(check_validates_platform_settings),
		cmocka_unit_test(bad_command_lines_are_usage_errors),
		cmocka_unit_test(each_command_has_help),
		cmocka_unit_test(explain_lists_the_log_lines_of_a_request),
		cmocka_unit_test(status_is_a_table_or_json),
		cmocka_unit_test(verbs_post_their_arguments),
		cmocka_unit_test(verdicts_map_to_exit_codes),
		cmocka_unit_test(publish_is_accepted_and_in_force_everywhere),
		cmocka_unit_test(publish_without_a_difference_sends_nothing),
		cmocka_unit_test(publish_reports_a_conflicting_change),
		cmocka_unit_test(
			publish_polls_for_the_outcome_when_the_answer_is_lost),
		cmocka_unit_test(publish_reports_an_unknown_outcome),
		cmocka_unit_test(publish_tries_the_next_server_only_if_not_run),
		cmocka_unit_test(publish_reports_processes_with_an_old_version),
		cmocka_unit_test(publish_queries_every_given_server),
		cmocka_unit_test(
			publish_fails_on_malformed_verdict_or_truncated_answer),
		cmocka_unit_test(a_post_is_not_retried_on_connection_loss),
		cmocka_unit_test(
			a_timeout_is_unknown_and_no_listener_is_unavailable),
		cmocka_unit_test(an_answer_above_the_limit_is_rejected),
	};

	g_unsetenv("WAXWINGHOLLOW_SERVER");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
