#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "fake_operator.h"
#include "run_program.h"
#include "test_cli.h"

#define PUBLISH_EXAMPLES                                                       \
	"publish --inventory examples/inventory.csv "                          \
	"--rules examples/rules.json --author ben --server "

static run_t publish_to(const fake_operator_t *fake, const char *options)
{
	char *line = g_strdup_printf(PUBLISH_EXAMPLES "%s%s",
				     fake_operator_address(fake), options);
	run_t run = run_program(line);

	g_free(line);
	return run;
}

static wwh_config_t *example_config(int64_t version)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_t *loaded = wwh_config_new();
	wwh_config_change_t *change;
	wwh_config_t *config;

	assert_int_equal(
		wwh_config_load(
			loaded, WWH_SOURCE_DIR "/examples/inventory.json",
			WWH_SOURCE_DIR "/examples/rules.json", NULL, NULL),
		WWH_STATUS_OK);
	change = wwh_config_diff(empty, loaded);
	assert_int_equal(
		wwh_config_apply(empty, change, version, &config, NULL),
		WWH_STATUS_OK);
	wwh_config_change_delete(change);
	wwh_config_unref(loaded);
	wwh_config_unref(empty);
	return config;
}

void publish_is_accepted_and_in_force_everywhere(void **unused)
{
	fake_operator_t *first = fake_operator_new("e1");
	fake_operator_t *second = fake_operator_new("e2");
	run_t run;

	(void)unused;
	fake_operator_add_member(first, "e1", fake_operator_address(first),
				 "alive");
	fake_operator_add_member(first, "e2", fake_operator_address(second),
				 "alive");
	fake_operator_add_member(first, "e3", "127.0.0.1:1", "gone");
	fake_operator_set_config(second, example_config(1));
	run = publish_to(first, " --json");
	run_expect_exit_code(&run, 0);
	assert_int_equal(fake_operator_post_count(first), 1);
	assert_int_equal(fake_operator_version(first), 1);
	assert_non_null(strstr(run.out, "\"verdict\":\"accepted\","
					"\"version\":1,\"rollout_ms\":"));
	assert_non_null(strstr(run.out, "\"in_force_everywhere\":true"));
	assert_non_null(strstr(run.out, "\"process\":\"e2\""));
	assert_null(strstr(run.out, "\"process\":\"e3\""));
	run_clear(&run);
	fake_operator_delete(first);
	fake_operator_delete(second);
}

void publish_without_a_difference_sends_nothing(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_config(fake, example_config(4));
	run = publish_to(fake, "");
	run_expect_exit_code(&run, 0);
	assert_int_equal(fake_operator_post_count(fake), 0);
	assert_non_null(strstr(run.out, "unchanged"));
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * Two operators publish at the same time. The second must learn that another
 * change was accepted first, by whom, and that the second change was not
 * applied. With a plain "failed" that operator would publish again and revert
 * the other change without having read it.
 */
void publish_reports_a_conflicting_change(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_CONFLICT);
	run = publish_to(fake, "");
	run_expect_exit_code(&run, 4);
	assert_non_null(strstr(run.err, "not published: someone else changed "
					"it: version 9 by ann, the files were "
					"compared with version 0\n"));
	assert_int_equal(fake_operator_post_count(fake), 1);
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * The entry process appends the change, and its host fails before the answer is
 * sent. publish must read the configuration in force and report "accepted". It
 * must not send the change a second time: another operator's change may have
 * been accepted in between, and the repeat would be judged against that one.
 */
void publish_polls_for_the_outcome_when_the_answer_is_lost(void **unused)
{
	static const fake_mode_t modes[] = { FAKE_LOSES_ANSWER, FAKE_UNKNOWN };

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		fake_operator_t *fake = fake_operator_new("e1");
		run_t run;

		fake_operator_set_mode(fake, modes[i]);
		run = publish_to(fake, "");
		run_expect_exit_code(&run, 0);
		assert_int_equal(fake_operator_post_count(fake), 1);
		assert_non_null(strstr(run.out, "accepted"));
		run_clear(&run);
		fake_operator_delete(fake);
	}
}

/*
 * The connection closes without an answer, and the change does not come into
 * force within the wait: it may still do so later. publish must report the
 * outcome as unknown, not as failed.
 */
void publish_reports_an_unknown_outcome(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_LOSES_REQUEST);
	run = publish_to(fake, " --wait-ms 50");
	run_expect_exit_code(&run, 6);
	assert_int_equal(fake_operator_post_count(fake), 1);
	assert_non_null(strstr(run.err, "outcome unknown"));
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * One server answers 503, the next refuses the connection: neither ran the
 * request, so publish must send it to the third. After a server that may have
 * run it, publish must try no other.
 */
void publish_tries_the_next_server_only_if_not_run(void **unused)
{
	fake_operator_t *second = fake_operator_new("e2");
	fake_operator_t *third = fake_operator_new("e3");
	char *more_options =
		g_strdup_printf(" --server 127.0.0.1:1 --server %s "
				"--wait-ms 50",
				fake_operator_address(third));
	run_t run;

	(void)unused;
	fake_operator_set_mode(second, FAKE_UNAVAILABLE);
	run = publish_to(second, more_options);
	run_expect_exit_code(&run, 0);
	assert_int_equal(fake_operator_post_count(third), 1);
	run_clear(&run);
	fake_operator_set_config(third, wwh_config_new());
	fake_operator_set_mode(second, FAKE_LOSES_REQUEST);
	run = publish_to(second, more_options);
	run_expect_exit_code(&run, 6);
	assert_int_equal(fake_operator_post_count(third), 1);
	run_clear(&run);
	run = run_program(PUBLISH_EXAMPLES "127.0.0.1:1");
	run_expect_exit_code(&run, 5);
	run_clear(&run);
	g_free(more_options);
	fake_operator_delete(second);
	fake_operator_delete(third);
}

/*
 * When the wait ends, one entry process still has the old version and another
 * does not answer. publish must list both and exit with a code that is neither
 * success nor failure: the change is in the log and stays there.
 */
void publish_reports_processes_with_an_old_version(void **unused)
{
	fake_operator_t *first = fake_operator_new("e1");
	fake_operator_t *second = fake_operator_new("e2");
	run_t run;

	(void)unused;
	fake_operator_add_member(first, "e2", fake_operator_address(second),
				 "alive");
	fake_operator_add_member(first, "e3", "127.0.0.1:1", "suspect");
	/* The host of e4 was replaced, and e1 now has the address of e4. */
	fake_operator_add_member(first, "e4", fake_operator_address(first),
				 "alive");
	run = publish_to(first, " --json --wait-ms 50");
	run_expect_exit_code(&run, 7);
	assert_non_null(strstr(run.out, "\"in_force_everywhere\":false"));
	assert_non_null(strstr(run.out, "\"in_force\":false,"
					"\"config_version\":0,\"note\":\"\""));
	assert_non_null(strstr(run.out, "\"in_force\":false,"
					"\"config_version\":-1,"
					"\"note\":\"127.0.0.1:1: "));
	assert_non_null(strstr(run.out, "\"in_force\":false,"
					"\"config_version\":-1,\"note\":"
					"\"another process answers there\""));
	run_clear(&run);
	fake_operator_delete(first);
	fake_operator_delete(second);
}

/*
 * Just after its start the process that accepts the change knows no peers yet.
 * If publish queried only that process, it would report "in force everywhere"
 * while another server of the command line still has the old version.
 */
void publish_queries_every_given_server(void **unused)
{
	fake_operator_t *first = fake_operator_new("e1");
	fake_operator_t *second = fake_operator_new("e2");
	char *more_options = g_strdup_printf(" --server %s --json --wait-ms 50",
					     fake_operator_address(second));
	run_t run;

	(void)unused;
	fake_operator_add_member(first, "e3", "", "alive");
	run = publish_to(first, more_options);
	run_expect_exit_code(&run, 7);
	assert_non_null(strstr(run.out, "\"process\":\"e2\""));
	assert_non_null(strstr(run.out, "listed without an operator address"));
	run_clear(&run);
	g_free(more_options);
	fake_operator_delete(first);
	fake_operator_delete(second);
}

void publish_fails_on_malformed_verdict_or_truncated_answer(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_MALFORMED);
	run = publish_to(fake, "");
	run_expect_exit_code(&run, 3);
	assert_non_null(strstr(run.out, "no such pool"));
	run_clear(&run);
	fake_operator_set_mode(fake, FAKE_CLOSES_IN_BODY);
	run = publish_to(fake, "");
	run_expect_exit_code(&run, 5);
	run_clear(&run);
	fake_operator_delete(fake);
}
