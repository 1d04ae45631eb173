#ifndef WAXWINGHOLLOW_TEST_CLI_H
#define WAXWINGHOLLOW_TEST_CLI_H

/*
 * NAME
 *	test_cli - the test cases of this program's files
 */

void publish_is_accepted_and_in_force_everywhere(void **unused);
void publish_without_a_difference_sends_nothing(void **unused);
void publish_tells_of_another_operators_change(void **unused);
void publish_looks_when_the_answer_was_lost(void **unused);
void publish_says_unknown_when_nobody_can_tell(void **unused);
void publish_asks_the_next_server_only_if_not_run(void **unused);
void publish_names_the_process_that_lags(void **unused);
void publish_asks_every_server_it_was_given(void **unused);
void publish_refuses_what_a_server_finds_malformed(void **unused);

void a_post_is_never_sent_twice(void **unused);
void a_silent_server_is_unknown_and_none_is_unavailable(void **unused);
void an_answer_above_the_limit_is_refused(void **unused);

#endif
