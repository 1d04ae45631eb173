#ifndef WAXWINGHOLLOW_TEST_CLI_H
#define WAXWINGHOLLOW_TEST_CLI_H

/*
 * NAME
 *	test_cli - test cases outside test_cli.c, which lists them in main
 */

void publish_is_accepted_and_in_force_everywhere(void **unused);
void publish_without_a_difference_sends_nothing(void **unused);
void publish_reports_a_conflicting_change(void **unused);
void publish_polls_for_the_outcome_when_the_answer_is_lost(void **unused);
void publish_reports_an_unknown_outcome(void **unused);
void publish_tries_the_next_server_only_if_not_run(void **unused);
void publish_reports_processes_with_an_old_version(void **unused);
void publish_queries_every_given_server(void **unused);
void publish_fails_on_malformed_verdict_or_truncated_answer(void **unused);

void a_post_is_not_retried_on_connection_loss(void **unused);
void a_timeout_is_unknown_and_no_listener_is_unavailable(void **unused);
void an_answer_above_the_limit_is_rejected(void **unused);

#endif
