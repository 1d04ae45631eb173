#include "test_state.h"

/*
 * Two operators edit version 1 at the same time and both publish. The second in
 * log order must get an error that names who changed it, and its change must
 * have no effect, or the first one's edit would be lost unnoticed.
 */
void the_first_publication_at_a_version_wins(void **unused)
{
	fleet_t first = small_fleet;
	fleet_t second = small_fleet;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	first.workers = 13;
	second.workers = 14;
	assert_int_equal(fixture_publish(&fixture, OPERATOR, 1, &first),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_publish(&fixture, OTHER_OPERATOR, 1, &second),
			 WWH_VERDICT_STALE_BASE);
	assert_string_equal(
		fixture.detail.message.text,
		"someone else changed it: version 2 by operator:aoife");
	assert_int_equal(wwh_state_config_version(fixture.state), 2);
	assert_int_equal(
		wwh_config_worker_count(wwh_state_config(fixture.state)), 13);
	assert_int_equal(fixture.detail.offset,
			 wwh_state_config_offset(fixture.state));
	fixture_clear(&fixture);
}

/*
 * A process that was paused publishes an old version long after newer ones
 * are in force. The fleet must stay as it is: a revert would bring removed
 * workers back into service.
 */
void a_late_publication_never_reverts(void **unused)
{
	fleet_t next = small_fleet;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	for (int32_t version = 1; version < 5; version++) {
		next.workers = 12 + version;
		assert_int_equal(
			fixture_publish(&fixture, OPERATOR, version, &next),
			WWH_VERDICT_ACCEPTED);
	}
	for (int64_t base = 0; base < 5; base++)
		assert_int_equal(
			fixture_publish(&fixture, P2, base, &small_fleet),
			WWH_VERDICT_STALE_BASE);
	assert_int_equal(fixture_publish(&fixture, P2, 99, &small_fleet),
			 WWH_VERDICT_STALE_BASE);
	assert_int_equal(wwh_state_config_version(fixture.state), 5);
	assert_int_equal(
		wwh_config_worker_count(wwh_state_config(fixture.state)), 16);
	fixture_clear(&fixture);
}

void a_malformed_change_has_no_effect(void **unused)
{
	static const uint8_t foreign[] = { 0x93, 1, 0, 0xa1 };
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	wwh_record_init(&record, WWH_RECORD_CONFIG, OPERATOR);
	record.body.config.base_version = 1;
	g_bytes_unref(record.body.config.change);
	record.body.config.change = g_bytes_new("junk", 4);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_MALFORMED);
	assert_int_equal(wwh_state_apply_entry(fixture.state, fixture.next,
					       foreign, sizeof(foreign),
					       &record, NULL),
			 WWH_VERDICT_MALFORMED);
	assert_int_equal(wwh_state_last_offset(fixture.state), fixture.next);
	assert_int_equal(wwh_state_config_version(fixture.state), 1);
	assert_int_equal(
		wwh_state_verdict_count(fixture.state, WWH_VERDICT_MALFORMED),
		2);
	fixture_clear(&fixture);
}

/*
 * An operator removes a worker from the inventory while a wave reboots it.
 * If that took effect, the grant would be lost, and the pool would count a
 * worker as available that nobody returns to service.
 */
void a_granted_worker_can_not_be_removed(void **unused)
{
	fleet_t next = small_fleet;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0011", WWH_GRANT_REPAIR, "fan"),
		WWH_VERDICT_ACCEPTED);
	next.workers = 11;
	assert_int_equal(fixture_publish(&fixture, OPERATOR, 1, &next),
			 WWH_VERDICT_BUSY);
	assert_non_null(strstr(fixture.detail.message.text, "w0011"));
	assert_int_equal(
		fixture_end_grant(&fixture, "w0011", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_publish(&fixture, OPERATOR, 1, &next),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_pool(&fixture, "p000").members, 11);
	fixture_clear(&fixture);
}

/*
 * An operator changes a worker's pool in the inventory while it is granted
 * and later while it moves. It must stay where it is until the log has a
 * move of it, and the pool that the operator set last must stay wanted.
 */
void a_new_pool_in_the_inventory_requests_a_move(void **unused)
{
	fleet_t fleet = small_fleet;
	wwh_record_t record;
	int64_t grant_offset;
	fixture_t fixture;

	(void)unused;
	fleet.pools = 3;
	fleet.workers = 36;
	fixture_init(&fixture, &fleet);
	grant_offset = fixture.next;
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_MOVE, "m"),
		WWH_VERDICT_ACCEPTED);
	fleet.odd_worker = 0;
	fleet.odd_pool = 1;
	assert_int_equal(fixture_publish(&fixture, OPERATOR, 1, &fleet),
			 WWH_VERDICT_ACCEPTED);
	assert_string_equal(fixture_worker(&fixture, "w0000").pool, "p000");
	assert_string_equal(fixture_worker(&fixture, "w0000").wanted_pool,
			    "p001");
	move_record(&record, WWH_RECORD_MOVE_START, P1, "w0000", "p001",
		    grant_offset, fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	fleet.odd_pool = 2;
	assert_int_equal(fixture_publish(&fixture, OPERATOR, 2, &fleet),
			 WWH_VERDICT_ACCEPTED);
	move_record(&record, WWH_RECORD_MOVE_FINISH, P1, "w0000", "",
		    grant_offset, fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_string_equal(fixture_worker(&fixture, "w0000").pool, "p001");
	assert_string_equal(fixture_worker(&fixture, "w0000").wanted_pool,
			    "p002");
	fixture_clear(&fixture);
}
