#ifndef CLAIM_FIXTURE_H
#define CLAIM_FIXTURE_H

/*
 * A claim on a stand-in of the store, and two processes that are asked whether
 * they hold the shard.
 */

#include "../test_standins/include/standin_jobs.h"

#include "waxwinghollow/shard_claim.h"

#define TOPIC "keyed.wwh"
#define SELF "127.0.0.1:1"
#define MEMBER_TTL_MS 900
#define WAIT_MAX_MS 10000
#define EPOCH(count) ((int64_t)(count) << 16)

/* A process that is asked whether it holds the shard. */
typedef struct {
	wwh_listener_t *listener;
	char address[32];
	GMutex lock;
	GCond changed;
	int32_t status; /* 0: takes questions and answers none yet */
	int32_t asked;
	int32_t asked_to_hand_over;
} peer_t;

typedef struct {
	standin_t *standin;
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	wwh_shard_claim_t *claim;
	peer_t peers[2];
	char *holder; /* as the claim made it known */
	int64_t holder_epoch;
	char *lines; /* what it explained */
	wwh_shard_holding_t held; /* epoch 0: not held */
	guint records;
	const char *late_notice; /* of another, written once this one holds */
	int32_t others; /* notices of others that it took while it holds */
} fixture_t;

static inline void on_question(const wwh_http_request_t *request,
			       wwh_http_response_t *response, void *client_data)
{
	peer_t *peer = client_data;

	g_mutex_lock(&peer->lock);
	peer->asked++;
	peer->asked_to_hand_over +=
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

static inline int32_t times_asked(peer_t *peer)
{
	int32_t asked;

	g_mutex_lock(&peer->lock);
	asked = peer->asked;
	g_mutex_unlock(&peer->lock);
	return asked;
}

static inline int32_t times_asked_to_hand_over(peer_t *peer)
{
	int32_t asked;

	g_mutex_lock(&peer->lock);
	asked = peer->asked_to_hand_over;
	g_mutex_unlock(&peer->lock);
	return asked;
}

static inline void put(fixture_t *fixture, const char *part, const char *key,
		       const char *value)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, TOPIC, part, key, value, strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

static inline void on_held(const wwh_shard_holding_t *held, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->held = *held;
	fixture->records = g_hash_table_size(held->records);
	if (fixture->late_notice != NULL)
		put(fixture, "1", "holder", fixture->late_notice);
}

static inline void on_holder(const char *address, int64_t epoch,
			     void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->others +=
		fixture->held.epoch != 0 && g_strcmp0(address, SELF) != 0;
	g_free(fixture->holder);
	fixture->holder_epoch = epoch;
	fixture->holder = g_strdup(address);
}

static inline void on_explain(const char *event, const char *detail,
			      void *client_data)
{
	fixture_t *fixture = client_data;
	char *lines =
		g_strconcat(fixture->lines, event, " ", detail, "\n", NULL);

	g_free(fixture->lines);
	fixture->lines = lines;
}

static inline int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->standin = standin_new();
	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->lines = g_strdup("");
	for (int32_t i = 0; i < 2; i++) {
		peer_t *peer = &fixture->peers[i];

		g_mutex_init(&peer->lock);
		g_cond_init(&peer->changed);
		peer->status = 200;
		peer->listener =
			standin_listen(fixture->standin, on_question, peer);
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
	g_free(fixture->lines);
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
		.explain = on_explain,
		.client_data = fixture,
	};

	fixture->claim = wwh_shard_claim_new(&options);
	g_free(store);
}

static inline void make_holder(fixture_t *fixture, const char *address,
			       int64_t epoch)
{
	char *notice =
		g_strdup_printf("%" G_GINT64_FORMAT " %s", epoch, address);

	put(fixture, "1", "holder", notice);
	g_free(notice);
}

/* The group's member is another process, which it will drop in a while. */
static inline void assign_to_another(fixture_t *fixture)
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

static inline void run_until_asked(fixture_t *fixture, int32_t peer,
				   int32_t times)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (times_asked(&fixture->peers[peer]) < times &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_true(times_asked(&fixture->peers[peer]) >= times);
}

/* test_hand_over.c */
#define HAND_OVER_TESTS                                                        \
	cmocka_unit_test_setup_teardown(                                       \
		a_holder_without_the_store_is_asked_to_hand_over, set_up,      \
		tear_down),                                                    \
		cmocka_unit_test_setup_teardown(                               \
			a_group_that_answers_is_no_proof_of_the_store, set_up, \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			without_the_store_itself_it_asks_for_nothing, set_up,  \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_holder_with_orders_out_counts_as_at_work, set_up,    \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_holder_that_leaves_the_shard_stays_out_of_the_group, \
			set_up, tear_down)

void a_holder_without_the_store_is_asked_to_hand_over(void **state);
void a_group_that_answers_is_no_proof_of_the_store(void **state);
void without_the_store_itself_it_asks_for_nothing(void **state);
void a_holder_with_orders_out_counts_as_at_work(void **state);
void a_holder_that_leaves_the_shard_stays_out_of_the_group(void **state);

#endif
