/*
 * bench_dispatch - what the dispatcher itself costs: time for each event
 * with a full queue, memory for each waiting request, and how much the
 * loans between processes send. Prints one line for each figure.
 */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "waxwinghollow/dispatch_loan.h"

#define SERVICES_MAX 64
#define MINIONS_MAX 1024
#define WAITING 1000
#define EVENTS 300000
#define CALLERS 500
#define BATCH 200

typedef struct {
	wwh_dispatch_t *dispatch;
	GRand *random;
	GArray *running; /* wwh_decision_t */
	int32_t services;
	uint64_t next_id;
	int64_t now_ms;
} rig_t;

typedef struct {
	int64_t messages;
	int64_t bytes; /* as msgpack: id, four numbers, small ints mostly */
} traffic_t;

static void set_up(rig_t *rig, int32_t services, int32_t minions);
static void tear_down(rig_t *rig);
static void arrive(rig_t *rig);
static void finish_one(rig_t *rig);
static void drain(rig_t *rig);
static void measure_events(int32_t services, int32_t minions);
static void measure_cancels(void);
static void measure_memory(void);
static void measure_loans(int32_t peers);

int main(void)
{
	measure_events(5, 50);
	measure_events(20, 200);
	measure_events(50, 1000);
	measure_cancels();
	measure_memory();
	measure_loans(7);
	return EXIT_SUCCESS;
}

static void set_up(rig_t *rig, int32_t services, int32_t minions)
{
	static char names[MINIONS_MAX + SERVICES_MAX][16];
	wwh_dispatch_service_t service[SERVICES_MAX];
	wwh_dispatch_minion_t *minion = g_new0(wwh_dispatch_minion_t, minions);
	wwh_dispatch_setup_t setup = { .services = service,
				       .service_count = services,
				       .minions = minion,
				       .minion_count = minions };
	wwh_dispatch_share_t share = { 8, 1, INT64_MAX };
	wwh_dispatch_options_t options;

	*rig = (rig_t){ .services = services, .now_ms = 1 };
	for (int32_t i = 0; i < services; i++) {
		g_snprintf(names[MINIONS_MAX + i], sizeof(names[0]), "s%d", i);
		service[i] = (wwh_dispatch_service_t){ names[MINIONS_MAX + i],
						       false, 1000000 };
	}
	for (int32_t i = 0; i < minions; i++) {
		g_snprintf(names[i], sizeof(names[0]), "minion-%d", i);
		minion[i].id = names[i];
		minion[i].zone = i % 3 == 0 ? "a" : "b";
		minion[i].service = i % services;
		minion[i].slots = 8;
		minion[i].connections = 64;
	}
	rig->random = g_rand_new_with_seed(1);
	rig->running = g_array_new(FALSE, FALSE, sizeof(wwh_decision_t));
	wwh_dispatch_options_defaults(&options);
	options.zone = "a";
	options.waiting_max = 4 * WAITING;
	options.random = rig->random;
	rig->dispatch = wwh_dispatch_new();
	if (wwh_dispatch_init(rig->dispatch, &options) != WWH_STATUS_OK ||
	    wwh_dispatch_configure(rig->dispatch, 0, &setup) != WWH_STATUS_OK)
		exit(EXIT_FAILURE);
	wwh_dispatch_set_share(rig->dispatch, 0, &share);
	g_free(minion);
}

static void tear_down(rig_t *rig)
{
	wwh_dispatch_delete(rig->dispatch);
	g_array_free(rig->running, TRUE);
	g_rand_free(rig->random);
}

static void drain(rig_t *rig)
{
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(rig->dispatch, &decision)) {
		if (decision.type == WWH_DECISION_START)
			g_array_append_val(rig->running, decision);
	}
}

static void arrive(rig_t *rig)
{
	char service[16];
	wwh_dispatch_request_t request = { .service = service };

	rig->next_id++;
	request.id = rig->next_id;
	g_snprintf(service, sizeof(service), "s%d",
		   (int)(rig->next_id % (uint64_t)rig->services));
	request.caller = rig->next_id % CALLERS;
	request.idempotent = true;
	request.bytes = 1000;
	wwh_dispatch_arrive(rig->dispatch, rig->now_ms, &request);
	drain(rig);
}

static void finish_one(rig_t *rig)
{
	wwh_dispatch_result_t result = { .outcome = WWH_OUTCOME_ANSWERED,
					 .latency_ms = 40 };
	wwh_decision_t decision;

	if (rig->running->len == 0)
		return;
	decision = g_array_index(rig->running, wwh_decision_t, 0);
	g_array_remove_index_fast(rig->running, 0);
	result.request = decision.request;
	result.minion = decision.minion;
	wwh_dispatch_finish_attempt(rig->dispatch, rig->now_ms, &result);
	drain(rig);
}

static void measure_events(int32_t services, int32_t minions)
{
	rig_t rig;
	gint64 from, passed;

	set_up(&rig, services, minions);
	while (wwh_dispatch_waiting(rig.dispatch) < WAITING)
		arrive(&rig);
	from = g_get_monotonic_time();
	for (int32_t i = 0; i < EVENTS; i++) {
		rig.now_ms += i % 4 == 0;
		arrive(&rig);
		finish_one(&rig);
	}
	passed = g_get_monotonic_time() - from;
	printf("%d services, %d minions, %d waiting: %.2f us for an arrival "
	       "and its end\n",
	       services, minions, wwh_dispatch_waiting(rig.dispatch),
	       (double)passed / EVENTS);
	tear_down(&rig);
}

static void measure_cancels(void)
{
	rig_t rig;
	gint64 from, passed;
	uint64_t last;

	set_up(&rig, 1, 10);
	while (wwh_dispatch_waiting(rig.dispatch) < WAITING)
		arrive(&rig);
	last = rig.next_id;
	from = g_get_monotonic_time();
	for (uint64_t id = 1; id <= last; id++)
		wwh_dispatch_cancel(rig.dispatch, rig.now_ms, id);
	passed = g_get_monotonic_time() - from;
	printf("%" G_GUINT64_FORMAT " cancellations at once: %.2f us each\n",
	       last, (double)passed / (double)last);
	tear_down(&rig);
}

static void measure_memory(void)
{
	rig_t rig;
	size_t before, after;

	set_up(&rig, 5, 50);
	before = mallinfo2().uordblks;
	while (wwh_dispatch_waiting(rig.dispatch) < WAITING)
		arrive(&rig);
	after = mallinfo2().uordblks;
	printf("memory: %zu bytes empty process share, %zu bytes for each "
	       "waiting request of %d callers\n",
	       before, (after - before) / WAITING, CALLERS);
	tear_down(&rig);
}

static void count(const wwh_dispatch_loan_t *loan, void *client_data)
{
	traffic_t *traffic = client_data;

	traffic->messages++;
	traffic->bytes += (int64_t)strlen(loan->minion) + 16;
}

/* All requests wait all the time: the most that is ever told. */
static void measure_loans(int32_t peers)
{
	traffic_t traffic = { 0 };
	gint64 from, passed;
	rig_t rig;

	set_up(&rig, 5, 50);
	from = g_get_monotonic_time();
	for (int32_t i = 0; i < BATCH; i++) {
		rig.now_ms += 50;
		for (int32_t k = 0; k < 5; k++) {
			arrive(&rig);
			if (i % 3 != 0)
				finish_one(&rig);
		}
		for (int32_t peer = 1; peer <= peers; peer++)
			wwh_dispatch_loans_visit_updates(
				rig.dispatch, rig.now_ms, (uint64_t)peer, count,
				&traffic);
	}
	passed = g_get_monotonic_time() - from;
	printf("loans: %d peers, told every 50 ms: %.0f messages and %.1f KB "
	       "a second, %.2f%% of a core\n",
	       peers, (double)traffic.messages / (BATCH * 0.05),
	       (double)traffic.bytes / (BATCH * 0.05) / 1024,
	       100 * (double)passed / (BATCH * 50000.0));
	tear_down(&rig);
}
