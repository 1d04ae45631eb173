/*
 * Who claims a shard, and when, on a stand-in of the store and of the
 * processes that hold it.
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
	wwh_held_t held; /* epoch 0: not held */
	guint records;
} fixture_t;

static void on_question(const wwh_http_request_t *request,
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

static void set_status(peer_t *peer, int32_t status)
{
	g_mutex_lock(&peer->lock);
	peer->status = status;
	g_cond_broadcast(&peer->changed);
	g_mutex_unlock(&peer->lock);
}

static int32_t times_asked(peer_t *peer)
{
	int32_t asked;

	g_mutex_lock(&peer->lock);
	asked = peer->asked;
	g_mutex_unlock(&peer->lock);
	return asked;
}

static int32_t times_asked_to_hand_over(peer_t *peer)
{
	int32_t asked;

	g_mutex_lock(&peer->lock);
	asked = peer->asked_to_hand_over;
	g_mutex_unlock(&peer->lock);
	return asked;
}

static void on_held(const wwh_held_t *held, void *client_data)
{
	fixture_t *fixture = client_data;

	fixture->held = *held;
	fixture->records = g_hash_table_size(held->records);
}

static void on_holder(const char *address, int64_t epoch, void *client_data)
{
	fixture_t *fixture = client_data;

	g_free(fixture->holder);
	fixture->holder_epoch = epoch;
	fixture->holder = g_strdup(address);
}

static void on_explain(const char *event, const char *detail, void *client_data)
{
	fixture_t *fixture = client_data;
	char *lines =
		g_strconcat(fixture->lines, event, " ", detail, "\n", NULL);

	g_free(fixture->lines);
	fixture->lines = lines;
}

static int set_up(void **state)
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

static int tear_down(void **state)
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

static void start_claim(fixture_t *fixture, bool reluctant)
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
		.reluctant = reluctant,
		.on_held = on_held,
		.on_holder = on_holder,
		.explain = on_explain,
		.client_data = fixture,
	};

	fixture->claim = wwh_shard_claim_new(&options);
	g_free(store);
}

static void put(fixture_t *fixture, const char *part, const char *key,
		const char *value)
{
	g_mutex_lock(&fixture->standin->lock);
	standin_put(fixture->standin, TOPIC, part, key, value, strlen(value));
	g_mutex_unlock(&fixture->standin->lock);
}

static void make_holder(fixture_t *fixture, const char *address, int64_t epoch)
{
	char *notice =
		g_strdup_printf("%" G_GINT64_FORMAT " %s", epoch, address);

	put(fixture, "1", "holder", notice);
	g_free(notice);
}

/* The group's member is another process, which it will drop in a while. */
static void assign_to_another(fixture_t *fixture)
{
	g_mutex_lock(&fixture->standin->lock);
	g_free(fixture->standin->member);
	fixture->standin->member = g_strdup("127.0.0.1:2");
	fixture->standin->member_ms = standin_now_ms();
	fixture->standin->generation++;
	g_mutex_unlock(&fixture->standin->lock);
}

static void set_busy(fixture_t *fixture, bool busy)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->busy = busy;
	g_mutex_unlock(&fixture->standin->lock);
}

static void run_once(fixture_t *fixture)
{
	wwh_shard_claim_run(fixture->claim, standin_now_ms());
	wwh_http_calls_poll(fixture->calls, 10);
}

static void run_for(fixture_t *fixture, int64_t run_ms)
{
	int64_t end_ms = standin_now_ms() + run_ms;

	while (standin_now_ms() < end_ms)
		run_once(fixture);
}

static void run_until_held(fixture_t *fixture)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (fixture->held.epoch == 0 && standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_int_not_equal(fixture->held.epoch, 0);
}

static void run_until_asked(fixture_t *fixture, int32_t peer, int32_t times)
{
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	while (times_asked(&fixture->peers[peer]) < times &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 20);
	assert_true(times_asked(&fixture->peers[peer]) >= times);
}

static void a_shard_that_nobody_holds_is_claimed_with_its_records(void **state)
{
	fixture_t *fixture = *state;

	put(fixture, "0", "Ja", "job a");
	put(fixture, "0", "Jb", "job b");
	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 300);
	assert_int_equal(fixture->held.epoch >> 16, 1);
	assert_int_equal(fixture->records, 3); /* the claim's own too */
	assert_false(fixture->held.others_at_work);
	assert_false(fixture->held.others_ended);
	assert_string_equal(fixture->holder, SELF);
}

static void a_holder_that_answers_is_left_alone(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 4);
	assert_int_equal(fixture->held.epoch, 0);
	assert_string_equal(fixture->lines,
			    "shard-assigned assigned=1 generation=1\n");
}

/* Its upstreams may still get its orders: the next one has to wait for them. */
static void a_silent_holder_is_replaced_as_one_that_may_be_at_work(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 0);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_true(fixture->held.others_at_work);
	assert_true(times_asked(&fixture->peers[0]) >= 2);
}

/*
 * The store turns the holder away and serves this process. The holder went on
 * for two seconds without being able to accept a job, was then taken for one
 * that may be at work, and hosts got no orders for three more seconds. It gives
 * up when it is asked, and says so: nothing of it is on its way.
 */
static void a_holder_without_the_store_is_asked_to_hand_over(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 2);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	set_status(&fixture->peers[0], 409);
	while (times_asked_to_hand_over(&fixture->peers[0]) == 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 410);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.others_at_work);
	assert_false(fixture->held.others_ended);
}

/* The store takes no record of anybody, and answers the group all the while. */
static void a_group_that_answers_is_no_proof_of_the_store(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 3);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = true;
	g_mutex_unlock(&fixture->standin->lock);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 3500);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	assert_null(strstr(fixture->lines, "shard-claim-begun"));
	/* back for this process, and a moment later for the holder */
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = false;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 500);
	set_status(&fixture->peers[0], 200);
	run_for(fixture, 1000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
}

/*
 * The store is away for all. A holder that gave up now would leave what runs
 * without anyone to go on with it, as nobody can claim.
 */
static void without_the_store_itself_it_asks_for_nothing(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 3);
	set_busy(fixture, true);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 2000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 200);
	set_busy(fixture, false);
	run_for(fixture, 1000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
}

static void a_holder_that_says_it_holds_no_more_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 404);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.others_at_work);
	assert_true(fixture->held.others_ended);
}

/*
 * A holder is asked and doesn't answer at once; another process becomes the
 * holder; then the first one says that it holds no more. That was taken for
 * an answer of the new holder, which was replaced while it was at work, and
 * its orders weren't waited for.
 */
static void an_answer_says_nothing_of_the_next_holder(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	set_status(&fixture->peers[0], 0);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	make_holder(fixture, fixture->peers[1].address, EPOCH(5));
	while (g_strcmp0(fixture->holder, fixture->peers[1].address) != 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	set_status(&fixture->peers[0], 404);
	run_for(fixture, 1500);
	assert_null(strstr(fixture->lines, "shard-claim-begun"));
	assert_int_equal(fixture->held.epoch, 0);
	assert_true(times_asked(&fixture->peers[1]) >= 2);
}

/*
 * The answer to a notice is slow; meanwhile the claim is lost and made again.
 * The old notice's answer was taken for the new one's, which was never sent:
 * all other processes turned callers away, though the shard was held.
 */
static void each_claim_is_made_known_by_a_notice_of_its_own(void **state)
{
	fixture_t *fixture = *state;
	int64_t first;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->notice_delay_ms = 700;
	g_mutex_unlock(&fixture->standin->lock);
	start_claim(fixture, false);
	run_until_held(fixture);
	first = fixture->held.epoch;
	fixture->held.epoch = 0;
	wwh_shard_claim_lost(fixture->claim, standin_now_ms());
	run_until_held(fixture);
	assert_true(fixture->held.epoch > first);
	run_for(fixture, 1500);
	assert_int_equal(fixture->holder_epoch, fixture->held.epoch);
}

/* Another process claims between this one's reading and its claim. */
static void a_claim_that_the_store_refuses_is_begun_anew(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	standin_part(fixture->standin, TOPIC, "0")->epoch = EPOCH(2);
	g_mutex_unlock(&fixture->standin->lock);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_non_null(strstr(fixture->lines, "shard-claim-refused"));
	assert_true(fixture->held.epoch >= EPOCH(2));
}

/*
 * Another writer has put something else in the notice's place. It was read as
 * a notice of a far later holder: the real one's were passed over from then
 * on, and a process that held the shard gave it up.
 */
static void a_notice_that_cant_be_read_is_passed_over(void **state)
{
	static const char *const texts[] = {
		"9223372036854775807 10.0.0.9:1",
		"99999999999999999999 10.0.0.9:1",
		"no holder",
		"524288",
		"524288 nobody",
		"524288 10.0.0.9:1 10.0.0.8:1",
		"-524288 10.0.0.9:1",
		"\xff\xfe",
	};
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		put(fixture, "1", "holder", texts[i]);
		run_for(fixture, 150);
		assert_string_equal(fixture->holder, fixture->peers[0].address);
		assert_int_equal(fixture->holder_epoch, EPOCH(4));
	}
	make_holder(fixture, fixture->peers[1].address, EPOCH(5));
	run_for(fixture, 300);
	assert_string_equal(fixture->holder, fixture->peers[1].address);
}

/*
 * Another writer has put something else in the claim's place. Its number was
 * taken for the highest epoch so far, the next one wasn't a number any more,
 * and the store refused it for good: nobody could hold the shard.
 */
static void a_claim_that_cant_be_read_is_passed_over(void **state)
{
	static const char *const texts[] = {
		"9223372036854775807 0011223344556677",
		"-5 0011223344556677",
		"what",
		"",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		put(fixture, "0", i % 2 == 0 ? "C" : "Cx", texts[i]);
	put(fixture, "0", "C", texts[0]);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_true(fixture->held.epoch > 0);
	assert_true(fixture->held.epoch < EPOCH(100));
}

/*
 * All processes are killed and start again within a second. Callers are told
 * that nobody holds the shard until the group drops the member that it had
 * assigned the shard to, up to its whole time limit. The process that the
 * notice names is back and surely holds nothing any more, and no claim hangs
 * on the group: it claims as soon as it has read its own name.
 */
static void a_holder_that_starts_again_waits_for_no_group(void **state)
{
	fixture_t *fixture = *state;

	assign_to_another(fixture);
	make_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, false);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_null(strstr(fixture->lines, "shard-assigned"));
}

/*
 * A holder loses the shard to a claim whose notice isn't out yet. It still
 * reads its own name, and must not claim the shard back: the two would take
 * it from each other on and on.
 */
static void a_holder_that_lost_the_shard_waits_for_the_group(void **state)
{
	fixture_t *fixture = *state;

	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 100);
	assert_string_equal(fixture->holder, SELF);
	fixture->held.epoch = 0;
	assign_to_another(fixture);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_non_null(strstr(fixture->lines, "shard-assigned assigned=0"));
	assign_to_another(fixture);
	wwh_shard_claim_lost(fixture->claim, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/* A process with little processor time leaves the shard to others also then. */
static void a_reluctant_holder_that_starts_again_waits(void **state)
{
	fixture_t *fixture = *state;

	assign_to_another(fixture);
	make_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, true);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/*
 * A holder starts again and claims; the process that the group names asks it
 * in that moment, hears that it doesn't hold the shard, and claims too. The
 * first one serves for a tenth of a second, and all upstreams are asked twice.
 */
static void a_claim_on_its_way_can_be_told(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, false);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
	while (!wwh_shard_claim_in_progress(fixture->claim))
		run_once(fixture);
	set_busy(fixture, true);
	run_for(fixture, 500);
	assert_int_equal(fixture->held.epoch, 0);
	assert_true(wwh_shard_claim_in_progress(fixture->claim));
	set_busy(fixture, false);
	run_until_held(fixture);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_shard_that_nobody_holds_is_claimed_with_its_records,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_answers_is_left_alone, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_silent_holder_is_replaced_as_one_that_may_be_at_work,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_without_the_store_is_asked_to_hand_over,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_group_that_answers_is_no_proof_of_the_store, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			without_the_store_itself_it_asks_for_nothing, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_says_it_holds_no_more_is_replaced, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_answer_says_nothing_of_the_next_holder, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			each_claim_is_made_known_by_a_notice_of_its_own, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_claim_that_the_store_refuses_is_begun_anew, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_notice_that_cant_be_read_is_passed_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_claim_that_cant_be_read_is_passed_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_starts_again_waits_for_no_group, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_lost_the_shard_waits_for_the_group,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_reluctant_holder_that_starts_again_waits, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_claim_on_its_way_can_be_told,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
