/*
 * A wave takes one machine at a time. The holder's first order for an upkeep gets
 * no answer and is carried out seconds later; the holder's process is killed
 * before that. LIMIT: the next holder takes another machine down, and the late
 * order takes down its own beside it.
 */
#include "deployment.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 8
#define IN_WAVE 6
#define WAVE_MS 8000
#define LATE_MS 8000
#define KILL_AFTER_MS 300
#define RESTART_AFTER_MS 1000
#define END_MS 45000
#define MAX_COUNT 1

/* Of the kinds of jobs of the small deployments, as the wave comes. */
static const char *const job_body =
	"{\"spec\":\"quote\",\"phases\":[{\"count\":1,\"cpu\":3800,"
	"\"memMb\":256,\"estimateMs\":1700,\"requires\":\"%s\"}]}";

static int32_t killed = -1;
static int32_t orders;
static int32_t upkeeps;
static int32_t over;

static void on_submitted(int32_t status, const char *body, void *data)
{
	(void)body;
	dep_record("the job for rack %s is answered %d", (char *)data, status);
}

/* The machines of the wave but the last one have work as it begins. */
static void submit_all(void *data)
{
	(void)data;
	for (int32_t i = 0; i < IN_WAVE - 1; i++) {
		char *path = g_strdup_printf(DEP_PREFIX "%016x", 0x2000 + i);
		char *body = g_strdup_printf(job_body, dep_rack(i));

		dep_call(i % PROCS, "POST", path, body, 3000, on_submitted,
			 (void *)dep_rack(i));
		g_free(path);
		g_free(body);
	}
}

static void request_wave(void *data)
{
	GString *text = g_string_new("{\"wave\":1,\"machines\":[");

	(void)data;
	for (int32_t i = 0; i < IN_WAVE; i++)
		g_string_append_printf(text, "%s\"%s\"", i == 0 ? "" : ",",
				       dep_machine(i));
	g_string_append_printf(text, "],\"durationS\":26,\"maxCount\":%d}",
			       MAX_COUNT);
	dep_operator_put("wave/1", text->str);
	g_string_free(text, TRUE);
}

static void restart(void *data)
{
	(void)data;
	dep_restart(killed);
}

static void kill_holder(void *data)
{
	(void)data;
	killed = dep_holder();
	dep_signal(killed, SIGKILL);
	dep_after(RESTART_AFTER_MS, restart, NULL);
}

static int64_t delay_order(int32_t minion, int64_t token)
{
	(void)minion;
	(void)token;
	if (orders++ > 0 || !dep_has_trouble())
		return 0;
	dep_after(KILL_AFTER_MS, kill_holder, NULL);
	return LATE_MS;
}

static void on_upkeep(int32_t minion, int64_t token, int32_t others)
{
	upkeeps++;
	if (others < MAX_COUNT)
		return;
	over++;
	dep_record("LIMIT: %s goes down by token %" PRId64 " while %d of its "
		   "wave are down, at most %d may be",
		   dep_machine(minion), token, others, MAX_COUNT);
}

static void report(void *data)
{
	(void)data;
	dep_record("%d orders came, %d upkeeps began", orders, upkeeps);
	dep_record("LIMIT: %s", over > 0 ? "broken" : "kept");
	if (upkeeps == 0)
		dep_finish(2);
	else
		dep_finish(over > 0);
}

int main(int argc, char **argv)
{
	dep_options_t options = {
		.record = argv[argc - 1],
		.procs = PROCS,
		.minions = MINIONS,
	};

	if (argc != 2)
		return 2;
	dep_init(&options);
	dep_on_upkeep_order(delay_order);
	dep_on_upkeep_begin(on_upkeep);
	dep_after(WAVE_MS - 500, submit_all, NULL);
	dep_after(WAVE_MS, request_wave, NULL);
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
