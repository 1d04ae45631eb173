#ifndef CLAIM_FIXTURE_H
#define CLAIM_FIXTURE_H

/*
 * A claim on a stand-in of the store, and two other processes that are probed for
 * whether they hold the shard.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/shard_claim.h"

#define TOPIC "keyed.wwh"
#define SELF "127.0.0.1:1"
#define MEMBER_TTL_MS 900
#define WAIT_MAX_MS 10000
#define EPOCH(count) ((int64_t)(count) << 16)

/* Another process, which is probed for whether it holds the shard. */
typedef struct {
	wwh_listener_t *listener;
	char address[32];
	GMutex lock;
	GCond changed;
	int32_t status; /* 0: answers to probes are delayed */
	int32_t probe_count;
	int32_t handover_request_count;
} peer_t;

typedef struct {
	standin_t *standin;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_shard_claim_t *claim;
	peer_t peers[2];
	char *holder; /* as reported by on_holder */
	int64_t holder_epoch;
	char *event_log; /* events of the claim, one a line */
	wwh_shard_holding_t held; /* epoch 0: not held */
	guint held_record_count;
	const char *late_notice; /* of another process; written by on_held */
	int32_t foreign_notices; /* of other processes, reported while held */
} fixture_t;

static inline void on_probe(const wwh_http_request_t *request,
			    wwh_http_response_t *response, void *client_data)
{
	peer_t *peer = client_data;

	g_mutex_lock(&peer->lock);
	peer->probe_count++;
	peer->handover_request_count +=
		g_str_has_suffix(request->target, "?successor");
	while (peer->status == 0)
		g_cond_wait(&peer->changed, &peer->lock);
	response->status = peer->status;
	g_mutex_unlock(&peer->lock);
}

static inline void set_status(peer_t *peer, int32_t status)
{
	g_mutex_lock(&peer->lock);
	peer->status = status;
	g_cond_broadcast(&peer->changed);
	g_mutex_unlock(&peer->lock);
}

static inline int32_t get_probe_count(peer_t *peer)
{
	int32_t probe_count;

	g_mutex_lock(&peer->lock);
	probe_count = peer->probe_count;
	g_mutex_unlock(&peer->lock);
	return probe_count;
}

static inline int32_t get_handover_request_count(peer_t *peer)
{
	int32_t count;

	g_mutex_lock(&peer->lock);
	count = peer->handover_request_count;
	g_mutex_unlock(&peer->lock);
	return count;
}

static inline void put_record(fixture_t *fixture, const char *part,
			      const char *key, const char *value)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, TOPIC, part, key, value, strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

static inline void on_held(const wwh_shard_holding_t *held, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->held = *held;
	fixture->held_record_count = g_hash_table_size(held->records);
	if (fixture->late_notice != NULL)
		put_record(fixture, "1", "holder", fixture->late_notice);
}

static inline void on_holder(const char *address, int64_t epoch,
			     void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->foreign_notices +=
		fixture->held.epoch != 0 && g_strcmp0(address, SELF) != 0;
	g_free(fixture->holder);
	fixture->holder_epoch = epoch;
	fixture->holder = g_strdup(address);
}

static inline void append_event(const char *event, const char *detail,
				void *client_data)
{
	fixture_t *fixture = client_data;
	char *event_log =
		g_strconcat(fixture->event_log, event, " ", detail, "\n", NULL);

	g_free(fixture->event_log);
	fixture->event_log = event_log;
}

static inline int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->standin = standin_new();
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->event_log = g_strdup("");
	for (int32_t i = 0; i < 2; i++) {
		peer_t *peer = &fixture->peers[i];

		g_mutex_init(&peer->lock);
		g_cond_init(&peer->changed);
		peer->status = 200;
		peer->listener =
			standin_listen(fixture->standin, on_probe, peer);
		snprintf(peer->address, sizeof(peer->address), "127.0.0.1:%d",
			 wwh_listener_port(peer->listener));
	}
	*state = fixture;
	return 0;
}

static inline int tear_down(void **state)
{
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < 2; i++)
		set_status(&fixture->peers[i], 200);
	wwh_shard_claim_delete(fixture->claim);
	wwh_http_calls_delete(fixture->calls);
	for (int32_t i = 0; i < 2; i++) {
		peer_t *peer = &fixture->peers[i];

		(void)wwh_listener_drain(peer->listener, 1000);
		wwh_listener_delete(peer->listener);
		g_mutex_clear(&peer->lock);
		g_cond_clear(&peer->changed);
	}
	wwh_counters_delete(fixture->counters);
	standin_delete(fixture->standin);
	g_free(fixture->holder);
	g_free(fixture->event_log);
	g_free(fixture);
	return 0;
}

static inline void start_claim(fixture_t *fixture, bool is_standby)
{
	char *store = g_strdup_printf(
		"127.0.0.1:%d", wwh_listener_port(fixture->standin->store));
	wwh_shard_claim_options_t options = {
		.calls = fixture->calls,
		.store = store,
		.topic = TOPIC,
		.journal_part = 0,
		.notice_part = 1,
		.group = "g",
		.self = SELF,
		.producer = "p",
		.member_ttl_ms = MEMBER_TTL_MS,
		.is_standby = is_standby,
		.on_held = on_held,
		.on_holder = on_holder,
		.explain = append_event,
		.client_data = fixture,
	};

	fixture->claim = wwh_shard_claim_new(&options);
	g_free(store);
}

static inline void publish_holder(fixture_t *fixture, const char *address,
				  int64_t epoch)
{
	char *notice =
		g_strdup_printf("%" G_GINT64_FORMAT " %s", epoch, address);

	put_record(fixture, "1", "holder", notice);
	g_free(notice);
}

/* Makes another process the group's member until its time limit expires. */
static inline void assign_to_other_process(fixture_t *fixture)
{
	g_mutex_lock(&fixture->standin->lock);
	g_free(fixture->standin->member);
	fixture->standin->member = g_strdup("127.0.0.1:2");
	fixture->standin->member_ms = standin_now_ms();
	fixture->standin->generation++;
	g_mutex_unlock(&fixture->standin->lock);
}

static inline void set_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

static inline void run_once(fixture_t *fixture)
{
	wwh_shard_claim_run(fixture->claim, standin_now_ms());
	wwh_http_calls_poll(fixture->calls, 10);
}

static inline void run_for(fixture_t *fixture, int64_t run_ms)
{
	int64_t end_ms = standin_now_ms() + run_ms;

	while (standin_now_ms() < end_ms)
		run_once(fixture);
}

static inline void run_until_held(fixture_t *fixture)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (fixture->held.epoch == 0 && standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_int_not_equal(fixture->held.epoch, 0);
}

static inline void run_until_probed(fixture_t *fixture, int32_t peer,
				    int32_t times)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (get_probe_count(&fixture->peers[peer]) < times &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_true(get_probe_count(&fixture->peers[peer]) >= times);
}

/* test_hand_over.c */
#define HANDOVER_TESTS                                                         \
	cmocka_unit_test_setup_teardown(                                       \
		holder_rejected_by_store_gets_handover_request, set_up,        \
		tear_down),                                                    \
		cmocka_unit_test_setup_teardown(                               \
			group_answers_do_not_prove_store_is_writable, set_up,  \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			no_handover_request_while_store_is_unreachable,        \
			set_up, tear_down),                                    \
		cmocka_unit_test_setup_teardown(                               \
			holder_with_pending_orders_counts_as_at_work, set_up,  \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			withdrawn_holder_stays_out_of_group, set_up,           \
			tear_down)

void holder_rejected_by_store_gets_handover_request(void **state);
void group_answers_do_not_prove_store_is_writable(void **state);
void no_handover_request_while_store_is_unreachable(void **state);
void holder_with_pending_orders_counts_as_at_work(void **state);
void withdrawn_holder_stays_out_of_group(void **state);

#endif
