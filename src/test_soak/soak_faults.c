#include "soak.h"

#include <signal.h>
#include <string.h>

/* Mean time between two faults; they overlap, as most last longer. */
#define FAULT_INTERVAL_MS 700
#define FIRST_FAULT_MS 4000

/* After SIGTERM the platform waits this long before SIGKILL. */
#define GRACE_MS 6000

#define RESETS_MS 6500

typedef struct {
	const char *name;
	void (*begin)(void);
	/* The protocol doesn't allow it, or it is known to break a promise. */
	bool by_name_only;
} fault_t;

static bool enabled;

int32_t soak_draw(int32_t from, int32_t to)
{
	return g_rand_int_range(soak.rand, from, to);
}

static int32_t draw(int32_t from, int32_t to)
{
	return soak_draw(from, to);
}

soak_upstream_t *soak_draw_upstream(void)
{
	return &soak.upstreams[draw(0, soak.options.upstreams)];
}

static soak_upstream_t *draw_upstream(void)
{
	return soak_draw_upstream();
}

/* One process in three is that which holds the scheduling. */
static soak_process_t *draw_process(void)
{
	soak_process_t *holder = soak_process_holder();

	if (holder != NULL && draw(0, 3) == 0)
		return holder;
	return &soak.processes[draw(0, soak.options.processes)];
}

static void restart_same_id(void *data)
{
	soak_upstream_restart(data, true);
}

static void restart_new_id(void *data)
{
	soak_upstream_restart(data, false);
}

static void crash_upstreams(soak_step_t restart, int32_t down_max_ms)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 20);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = draw_upstream();

		if (!upstream->up || upstream->draining)
			continue;
		soak_upstream_crash(upstream, draw(0, 2) == 0);
		soak_after(draw(100, down_max_ms), restart, upstream);
	}
}

static void crash_and_keep_id(void)
{
	crash_upstreams(restart_same_id, 2500);
}

static void crash_and_change_id(void)
{
	crash_upstreams(restart_new_id, 4500);
}

static void drain_upstreams(void)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 20);

	for (int32_t i = 0; i < count; i++)
		soak_upstream_drain(draw_upstream());
}

static void delay_orders(void)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 8);

	soak_record("%d upstreams carry orders out late", count);
	for (int32_t i = 0; i < count; i++)
		draw_upstream()->late_until_ms = soak_now_ms() + 5000;
}

static void restart_process(void *data)
{
	const int64_t retry_ms = 200;
	soak_process_t *process = data;

	if (process->pid == 0)
		soak_process_start(process);
	else
		soak_after(retry_ms, restart_process, process);
}

/* A process that was started again since is another one. */
static void kill_after_grace(void *data)
{
	soak_process_t *process = data;

	if (process->terminating)
		soak_process_signal(process, SIGKILL);
}

static void stop_process(void)
{
	soak_process_t *process = draw_process();

	if (process->pid == 0)
		return;
	soak_process_signal(process, SIGTERM);
	soak_after(GRACE_MS, kill_after_grace, process);
	soak_after(draw(300, 2500), restart_process, process);
}

static void kill_process(void)
{
	soak_process_t *process = draw_process();

	if (process->pid == 0)
		return;
	soak_process_signal(process, SIGKILL);
	soak_after(draw(300, 3500), restart_process, process);
}

static void kill_all_processes(void)
{
	for (int32_t i = 0; i < soak.options.processes; i++) {
		soak_process_t *process = &soak.processes[i];

		if (process->pid == 0)
			continue;
		soak_process_signal(process, SIGKILL);
		soak_after(draw(300, 600), restart_process, process);
	}
}

static void resume_process(void *data)
{
	soak_process_t *process = data;

	if (process->pid == 0 || !process->stopped)
		return;
	soak_record("process %s resumes", process->node);
	process->stopped = false;
	kill(process->pid, SIGCONT);
}

void soak_freeze_process(soak_process_t *process, int64_t duration_ms)
{
	if (process->pid == 0 || process->stopped)
		return;
	soak_process_signal(process, SIGSTOP);
	soak_after(duration_ms, resume_process, process);
}

static void freeze_process(void)
{
	soak_freeze_process(draw_process(), draw(500, 4000));
}

static void end_slow_store(void *data)
{
	(void)data;
	soak.store_delay_ms = 0;
	soak_record("store: fast again");
}

static void slow_store(void)
{
	soak.store_delay_ms = draw(40, 250);
	soak_record("store: answers take %d ms longer",
		    (int)soak.store_delay_ms);
	soak_after(draw(1000, 4500), end_slow_store, NULL);
}

static void end_store_outage(void *data)
{
	(void)data;
	soak.store_refuses = false;
	soak_record("store: serves again");
}

static void refuse_at_store(void)
{
	soak.store_refuses = true;
	soak_record("store: refuses all calls");
	soak_after(draw(500, 4500), end_store_outage, NULL);
}

static void end_lost_answers(void *data)
{
	(void)data;
	soak.store_loses = 0;
	soak_record("store: loses no answers any more");
}

static void lose_answers(void)
{
	soak.store_loses = 0.35;
	soak_record("store: loses answers to appends");
	soak_after(draw(1000, 4500), end_lost_answers, NULL);
}

static void disturb(soak_proxy_t *proxy, const char *who, const char *where)
{
	soak_link_t link = (soak_link_t)draw(SOAK_LINK_SILENT, SOAK_LINK_COUNT);

	soak_record("link of %s to %s: %s", who, where, soak_link_names[link]);
	soak_proxy_set_link(proxy, link);
	soak_after(draw(500, 5500), soak_proxy_restore, proxy);
}

static void disturb_store_link(void)
{
	soak_process_t *process = draw_process();

	disturb(process->store_proxy, process->node, "the store");
}

static void disturb_upstream_links(void)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = draw_upstream();

		disturb(upstream->proxy, upstream->id, "processes");
	}
}

static void silence_upstream_links(void)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = draw_upstream();

		soak_record("link of %s to processes: %s", upstream->id,
			    soak_link_names[SOAK_LINK_SILENT]);
		soak_proxy_set_link(upstream->proxy, SOAK_LINK_SILENT);
		soak_after(draw(500, 5500), soak_proxy_restore,
			   upstream->proxy);
	}
}

/* A seventh of the upstreams, for some seconds. */
static void reset_upstream_connections(void)
{
	for (int32_t i = 0; i < 1 + soak.options.upstreams / 7; i++) {
		soak_upstream_t *upstream = draw_upstream();

		soak_proxy_set_link(upstream->proxy, SOAK_LINK_RESET_SOME);
		soak_after(RESETS_MS, soak_proxy_restore, upstream->proxy);
	}
}

/* The upstreams run on, and nobody listens at their addresses meanwhile. */
static void refuse_upstream_connections(void)
{
	int32_t count = draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = draw_upstream();

		soak_record("link of %s to processes: %s", upstream->id,
			    soak_link_names[SOAK_LINK_REFUSED]);
		soak_proxy_set_link(upstream->proxy, SOAK_LINK_REFUSED);
		soak_after(draw(500, 5500), soak_proxy_restore,
			   upstream->proxy);
	}
}

static void reload_settings(void)
{
	soak_process_reload(draw_process());
}

static const fault_t faults[] = {
	{ "upstream-restart", crash_and_keep_id },
	{ "upstream-crash", crash_and_change_id },
	{ "upstream-drain", drain_upstreams },
	{ "late-orders", delay_orders },
	{ "process-stop", stop_process },
	{ "process-kill", kill_process },
	{ "process-kill-all", kill_all_processes },
	{ "process-freeze", freeze_process },
	{ "store-slow", slow_store },
	{ "store-refuses", refuse_at_store },
	{ "store-loses-answers", lose_answers },
	{ "store-compacts", soak_store_compact },
	{ "store-link", disturb_store_link },
	{ "upstream-links", disturb_upstream_links },
	{ "upstream-silence", silence_upstream_links },
	{ "upstream-resets", reset_upstream_connections },
	{ "upstream-refuses", refuse_upstream_connections },
	{ "odd-entries", soak_odd_begin },
	{ "store-rejects-some", soak_reject_some_at_store },
	{ "store-some-partitions", soak_refuse_some_partitions },
	{ "store-compacts-often", soak_compact_often },
	{ "store-pages", soak_page_newest_records },
	{ "store-late-appends", soak_defer_appends },
	{ "store-deals-anew", soak_group_deal_anew },
	{ "entries-expire", soak_expire_entries },
	{ "power", soak_cut_power, .by_name_only = true },
	{ "hosts-late", soak_delay_host_lists },
	{ "hosts-stale", soak_age_host_lists, .by_name_only = true },
	{ "hosts-short", soak_shorten_host_lists, .by_name_only = true },
	{ "hosts-paged", soak_page_host_lists },
	{ "hosts-refused", soak_refuse_host_lists },
	{ "waves", soak_duties_request_wave },
	{ "duties-lost", soak_lose_answers_to_duties },
	{ "links-of-some", soak_cut_some_callers },
	{ "holder-overtaken", soak_overtake_holder },
	{ "partition", soak_partition_begin },
	{ "partition-store-away", soak_partition_begin_without_store,
	  .by_name_only = true },
	{ "upstream-moves", soak_move_addresses },
	{ "upstream-hangs", soak_hang_upstreams },
	{ "upstream-rejects", soak_reject_at_upstreams },
	{ "upstream-slow", soak_slow_upstreams },
	{ "upstream-clocks", soak_slow_clocks },
	{ "upstream-halts", soak_halt_upstreams, .by_name_only = true },
	{ "rack-cut", soak_cut_rack },
	{ "upstreams-cut", soak_cut_all_upstreams },
	{ "duties-late", soak_delay_duties, .by_name_only = true },
	{ "configuration", soak_configuration_publish },
	{ "settings-reload", reload_settings },
};

static const fault_t *enabled_faults[G_N_ELEMENTS(faults)];
static int32_t enabled_count;

static const fault_t *find_fault(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(faults[i].name, name) == 0)
			return &faults[i];
	}
	return NULL;
}

static bool enable_named(const char *names)
{
	char **words = g_strsplit(names, ",", -1);
	bool ok = true;

	for (char **word = words; *word != NULL && ok; word++) {
		const fault_t *fault = find_fault(*word);

		ok = fault != NULL &&
		     enabled_count < (int32_t)G_N_ELEMENTS(enabled_faults);
		if (ok)
			enabled_faults[enabled_count++] = fault;
		else
			fprintf(stderr, "soak: no fault \"%s\"\n", *word);
	}
	g_strfreev(words);
	return ok;
}

static void begin_one(void *data)
{
	const fault_t *fault;

	(void)data;
	if (!enabled)
		return;
	fault = enabled_faults[draw(0, enabled_count)];
	soak_record("fault %s", fault->name);
	soak_calm_note_fault(fault->name);
	fault->begin();
	soak_after(draw(1, 2 * FAULT_INTERVAL_MS), begin_one, NULL);
}

bool soak_faults_start(void)
{
	const char *names = soak.options.faults;

	if (names != NULL && strcmp(names, "none") == 0)
		return true;
	if (names != NULL && !enable_named(names))
		return false;
	for (size_t i = 0; names == NULL && i < G_N_ELEMENTS(faults); i++) {
		/* without the time of its start, a new one has a new id */
		if (!faults[i].by_name_only &&
		    (faults[i].begin != crash_and_keep_id ||
		     !soak.options.no_born))
			enabled_faults[enabled_count++] = &faults[i];
	}
	enabled = true;
	soak_after(FIRST_FAULT_MS, begin_one, NULL);
	return true;
}

void soak_faults_stop(void)
{
	enabled = false;
	soak_partition_end();
}
