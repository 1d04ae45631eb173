#ifndef WWH_TEST_STATE_H
#define WWH_TEST_STATE_H

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "fleet_fixture.h"
#include "waxwinghollow/state.h"

#define P1 "entry-1.1"
#define P2 "entry-2.1"
#define OPERATOR "operator:aoife"
#define OTHER_OPERATOR "operator:dee"

/* A state, the next offset of its log, and P1's leases on all pools' shards. */
typedef struct {
	wwh_state_t *state;
	int64_t next; /* offset of the next record */
	int64_t fence[WWH_SHARD_POOLS];
	wwh_verdict_detail_t detail;
} fixture_t;

/* Applies record at the next offset and clears it. */
wwh_verdict_t fixture_append(fixture_t *fixture, wwh_record_t *record);

wwh_verdict_t fixture_publish(fixture_t *fixture, const char *author,
			      int64_t base_version, const fleet_t *fleet);
wwh_verdict_t fixture_grant(fixture_t *fixture, const char *author,
			    const char *worker, wwh_grant_reason_t reason,
			    const char *owner);
wwh_verdict_t fixture_end_grant(fixture_t *fixture, const char *worker,
				wwh_grant_outcome_t outcome);
wwh_verdict_t fixture_fail_worker(fixture_t *fixture, const char *worker);
wwh_verdict_t fixture_wave(fixture_t *fixture, wwh_record_kind_t kind,
			   const char *id, const char *pool);

wwh_worker_view_t fixture_worker(const fixture_t *fixture, const char *id);
wwh_pool_view_t fixture_pool(const fixture_t *fixture, const char *id);
int64_t fixture_fence(const fixture_t *fixture, const char *pool);

/* Publishes fleet and has P1 take the leases of all pools' shards. */
void fixture_init(fixture_t *fixture, const fleet_t *fleet);
void fixture_clear(fixture_t *fixture);

/* One pool of 12 workers in three zones. */
extern const fleet_t small_fleet;

#define CONFIG_TESTS                                                           \
	cmocka_unit_test(the_first_publication_at_a_version_wins),             \
		cmocka_unit_test(a_late_publication_never_reverts),            \
		cmocka_unit_test(a_malformed_change_has_no_effect),            \
		cmocka_unit_test(a_granted_worker_can_not_be_removed),         \
		cmocka_unit_test(a_new_pool_in_the_inventory_requests_a_move)

void the_first_publication_at_a_version_wins(void **unused);
void a_late_publication_never_reverts(void **unused);
void a_malformed_change_has_no_effect(void **unused);
void a_granted_worker_can_not_be_removed(void **unused);
void a_new_pool_in_the_inventory_requests_a_move(void **unused);

#define JOB_TESTS                                                              \
	cmocka_unit_test(a_job_that_may_have_run_is_not_placed_again),         \
		cmocka_unit_test(a_report_of_an_old_placement_is_stale),       \
		cmocka_unit_test(a_late_submission_is_not_repeated),           \
		cmocka_unit_test(a_lost_worker_gets_no_job)

void a_job_that_may_have_run_is_not_placed_again(void **unused);
void a_report_of_an_old_placement_is_stale(void **unused);
void a_late_submission_is_not_repeated(void **unused);
void a_lost_worker_gets_no_job(void **unused);

#endif
