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

#define FILES                                                                  \
	"publish --inventory examples/inventory.csv "                          \
	"--rules examples/rules.json --author ben --server "

static run_t publish_to(const fake_operator_t *fake, const char *options)
{
	char *line = g_strdup_printf(FILES "%s%s", fake_operator_address(fake),
				     options);
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
	run_expect(&run, 0);
	assert_int_equal(fake_operator_posts(first), 1);
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
	run_expect(&run, 0);
	assert_int_equal(fake_operator_posts(fake), 0);
	assert_non_null(strstr(run.out, "unchanged"));
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * Two operators publish at once. The second sees that the first got there
 * before, who it was, and that nothing of his own was done; if he were told
 * "failed" he would publish again and undo the other's change unread.
 */
void publish_tells_of_another_operators_change(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_CONFLICT);
	run = publish_to(fake, "");
	run_expect(&run, 4);
	assert_non_null(strstr(run.err, "not published: someone else changed "
					"it: version 9 by ann, the files were "
					"compared with version 0\n"));
	assert_int_equal(fake_operator_posts(fake), 1);
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * The entry process appends the change and its host goes before the answer is
 * out. The operator sees "accepted" after a look at what is in force. The
 * change must not be sent a second time: another operator's change may have
 * come in between, and the repeat would be judged against it.
 */
void publish_looks_when_the_answer_was_lost(void **unused)
{
	static const fake_mode_t modes[] = { FAKE_LOSES_ANSWER, FAKE_UNKNOWN };

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		fake_operator_t *fake = fake_operator_new("e1");
		run_t run;

		fake_operator_set_mode(fake, modes[i]);
		run = publish_to(fake, "");
		run_expect(&run, 0);
		assert_int_equal(fake_operator_posts(fake), 1);
		assert_non_null(strstr(run.out, "accepted"));
		run_clear(&run);
		fake_operator_delete(fake);
	}
}

/*
 * The connection closes without an answer and nothing shows up: the change
 * may still be on its way. The operator is told that it is unknown, not that
 * it failed.
 */
void publish_says_unknown_when_nobody_can_tell(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_LOSES_REQUEST);
	run = publish_to(fake, " --wait-ms 50");
	run_expect(&run, 6);
	assert_int_equal(fake_operator_posts(fake), 1);
	assert_non_null(strstr(run.err, "outcome unknown"));
	run_clear(&run);
	fake_operator_delete(fake);
}

/*
 * The first server refuses every connection, the second answers 503: neither
 * ran it, so the third is asked. Where one may have run it, no other is.
 */
void publish_asks_the_next_server_only_if_not_run(void **unused)
{
	fake_operator_t *second = fake_operator_new("e2");
	fake_operator_t *third = fake_operator_new("e3");
	char *more = g_strdup_printf(" --server 127.0.0.1:1 --server %s "
				     "--wait-ms 50",
				     fake_operator_address(third));
	run_t run;

	(void)unused;
	fake_operator_set_mode(second, FAKE_UNAVAILABLE);
	run = publish_to(second, more);
	run_expect(&run, 0);
	assert_int_equal(fake_operator_posts(third), 1);
	run_clear(&run);
	fake_operator_set_config(third, wwh_config_new());
	fake_operator_set_mode(second, FAKE_LOSES_REQUEST);
	run = publish_to(second, more);
	run_expect(&run, 6);
	assert_int_equal(fake_operator_posts(third), 1);
	run_clear(&run);
	run = run_program(FILES "127.0.0.1:1");
	run_expect(&run, 5);
	run_clear(&run);
	g_free(more);
	fake_operator_delete(second);
	fake_operator_delete(third);
}

/*
 * One entry process still has the old version at the time limit, another does
 * not answer. The operator sees which, and an exit code that is neither
 * success nor failure: the change is on the log and stays there.
 */
void publish_names_the_process_that_lags(void **unused)
{
	fake_operator_t *first = fake_operator_new("e1");
	fake_operator_t *second = fake_operator_new("e2");
	run_t run;

	(void)unused;
	fake_operator_add_member(first, "e2", fake_operator_address(second),
				 "alive");
	fake_operator_add_member(first, "e3", "127.0.0.1:1", "suspect");
	/* Its host was replaced and e1 has got its address. */
	fake_operator_add_member(first, "e4", fake_operator_address(first),
				 "alive");
	run = publish_to(first, " --json --wait-ms 50");
	run_expect(&run, 7);
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
 * Right after a start the process that accepts the change knows no peers yet.
 * If it alone were asked, the operator would read "in force everywhere" while
 * another process, which he named himself, still has the old version.
 */
void publish_asks_every_server_it_was_given(void **unused)
{
	fake_operator_t *first = fake_operator_new("e1");
	fake_operator_t *second = fake_operator_new("e2");
	char *more = g_strdup_printf(" --server %s --json --wait-ms 50",
				     fake_operator_address(second));
	run_t run;

	(void)unused;
	fake_operator_add_member(first, "e3", "", "alive");
	run = publish_to(first, more);
	run_expect(&run, 7);
	assert_non_null(strstr(run.out, "\"process\":\"e2\""));
	assert_non_null(strstr(run.out, "listed without an operator address"));
	run_clear(&run);
	g_free(more);
	fake_operator_delete(first);
	fake_operator_delete(second);
}

void publish_refuses_what_a_server_finds_malformed(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");
	run_t run;

	(void)unused;
	fake_operator_set_mode(fake, FAKE_MALFORMED);
	run = publish_to(fake, "");
	run_expect(&run, 3);
	assert_non_null(strstr(run.out, "no such pool"));
	run_clear(&run);
	fake_operator_set_mode(fake, FAKE_CLOSES_IN_BODY);
	run = publish_to(fake, "");
	run_expect(&run, 5);
	run_clear(&run);
	fake_operator_delete(fake);
}
