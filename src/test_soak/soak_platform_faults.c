/*
 * Faults of the platform: of the list of hosts, the orders for them, and the
 * store.
 */
#include "soak.h"

#include <signal.h>

static int32_t draw(int32_t from, int32_t to)
{
	return g_rand_int_range(soak.rand, from, to);
}

void soak_delay_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_LATE, draw(1000, 6000));
}

void soak_age_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_STALE, draw(1000, 6000));
}

void soak_shorten_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_SHORT, draw(1000, 6000));
}

void soak_page_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_PAGED, draw(2000, 8000));
}

void soak_refuse_host_lists(void)
{
	soak_hosts_disturb(SOAK_LIST_REFUSED, draw(500, 5000));
}

void soak_delay_duties(void)
{
	soak_duties_delay(draw(1000, 5000));
}

void soak_lose_answers_to_duties(void)
{
	soak_duties_lose_answers(draw(1000, 5000));
}

static void serve_process(void *data)
{
	soak_process_t *process = data;

	process->store_status = 0;
	soak_record("store: serves %s again", process->node);
}

/* The holder is one of them in half of the cases. */
void soak_reject_some_at_store(void)
{
	int32_t count = draw(1, 1 + (soak.options.processes + 1) / 2);
	soak_process_t *holder = soak_process_holder();

	for (int32_t i = 0; i < count; i++) {
		soak_process_t *process =
			&soak.processes[draw(0, soak.options.processes)];

		if (i == 0 && holder != NULL && draw(0, 2) == 0)
			process = holder;
		process->store_status = draw(0, 2) == 0 ? 503 : 429;
		soak_record("store: answers %s with %d", process->node,
			    process->store_status);
		soak_after(draw(300, 6000), serve_process, process);
	}
}

static void end_partition_outage(void *data)
{
	(void)data;
	soak.store_parts_down = 0;
	soak_record("store: all partitions serve");
}

void soak_refuse_some_partitions(void)
{
	soak.store_parts_down = g_rand_int(soak.rand);
	soak_record("store: partitions %04x refuse",
		    soak.store_parts_down & ((1U << SOAK_PARTS) - 1));
	soak_after(draw(500, 5000), end_partition_outage, NULL);
}

static void compact(void *data)
{
	(void)data;
	soak_store_compact();
}

void soak_compact_often(void)
{
	int32_t count = draw(5, 40);
	int64_t at_ms = 0;

	for (int32_t i = 0; i < count; i++) {
		at_ms += draw(5, 100);
		soak_after(at_ms, compact, NULL);
	}
}

static void end_small_pages(void *data)
{
	(void)data;
	soak.store_page = SOAK_NEWEST_MAX;
}

void soak_page_newest_records(void)
{
	soak.store_page = draw(1, 10);
	soak_record("store: pages of %d records", (int)soak.store_page);
	soak_after(draw(1000, 5000), end_small_pages, NULL);
}

static void end_late_appends(void *data)
{
	(void)data;
	soak.store_defers = 0;
	soak_record("store: appends are done at once again");
}

void soak_defer_appends(void)
{
	soak.store_defers = 0.2;
	soak_record("store: some appends are done late");
	soak_after(draw(1000, 4500), end_late_appends, NULL);
}

static void end_outage(void *data)
{
	(void)data;
	soak.store_refuses = false;
	soak_record(
		"store: serves again; entries return with their heartbeats");
}

/* Entries expire while the store is down, and return with the heartbeats. */
void soak_expire_entries(void)
{
	if (soak.store_refuses)
		return;
	soak.store_refuses = true;
	soak_record("store: down; entries expire");
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		if (draw(0, 2) == 0)
			soak_store_put("keyed.servers", soak.upstreams[i].id,
				       NULL);
	}
	soak_after(draw(500, 6000), end_outage, NULL);
}

static void restore_upstream(void *data)
{
	soak_upstream_restart(data, false);
}

static void restore_process(void *data)
{
	soak_process_t *process = data;

	if (process->pid == 0)
		soak_process_start(process);
}

/* All upstreams and processes stop at once; the store keeps its records. */
void soak_cut_power(void)
{
	soak_record("all hosts lose power");
	for (int32_t i = 0; i < soak.options.processes; i++) {
		soak_process_signal(&soak.processes[i], SIGKILL);
		soak_after(draw(300, 3000), restore_process,
			   &soak.processes[i]);
	}
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		soak_upstream_crash(&soak.upstreams[i], draw(0, 2) == 0);
		soak_after(draw(300, 6000), restore_upstream,
			   &soak.upstreams[i]);
	}
}
