/*
 * A process that doesn't hold the shard stands still, with a client's POST in its
 * socket. The client gives up at its deadline and cancels the job at another
 * process, which answers. UNASKED: the job's tasks are started later.
 */
#include "deployment.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 4
#define BEGIN_MS 8000
#define FREEZE_MS 4000
#define DEADLINE_MS 3000
#define WATCH_MS 14000
#define CANCEL_RETRY_MS 200
#define JOB_ID "2abc1b6274e4cd41"
#define JOB_PATH DEP_PREFIX JOB_ID

static const char *const job_body =
	"{\"spec\":\"number the plat\",\"phases\":["
	"{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":1300},"
	"{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":1300,"
	"\"dependsOn\":[0]},"
	"{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":1300,"
	"\"dependsOn\":[1]},"
	"{\"count\":2,\"cpu\":2000,\"memMb\":256,\"estimateMs\":1300,"
	"\"dependsOn\":[2]}]}";

static int32_t holder;
static int32_t entry;
static int32_t other;
static int64_t cancelled_ms;

static void cancel(void *data);

static void on_cancelled(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	dep_record("DELETE %s is answered %d", JOB_ID, status);
	if (status == 200 || status == 410)
		cancelled_ms = dep_now_ms();
	else
		dep_after(CANCEL_RETRY_MS, cancel, NULL);
}

static void cancel(void *data)
{
	(void)data;
	dep_record("the client cancels %s at process %d", JOB_ID, other + 1);
	dep_call(other, "DELETE", JOB_PATH, NULL, DEADLINE_MS, on_cancelled,
		 NULL);
}

static void on_submitted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	if (status == 0)
		dep_record("POST %s got no answer within %d ms; the client has "
			   "closed its connection",
			   JOB_ID, DEADLINE_MS);
	else
		dep_record("POST %s is answered %d", JOB_ID, status);
	/* it leaves, and doesn't want the job any more */
	cancel(NULL);
}

static void submit(void *data)
{
	(void)data;
	dep_record("a client sends POST %s to process %d", JOB_ID, entry + 1);
	dep_call(entry, "POST", JOB_PATH, job_body, DEADLINE_MS, on_submitted,
		 NULL);
}

static void wake(void *data)
{
	(void)data;
	dep_signal(entry, SIGCONT);
}

static void on_state(int32_t status, const char *body, void *data)
{
	(void)data;
	dep_record("GET %s is answered %d %s", JOB_ID, status, body);
}

static void ask(void *data)
{
	(void)data;
	dep_call(other, "GET", JOB_PATH, NULL, DEADLINE_MS, on_state, NULL);
}

static void report(void *data)
{
	int32_t late = 0;

	(void)data;
	if (cancelled_ms == 0) {
		dep_finish(2);
		return;
	}
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		if (strcmp(run->job, JOB_ID) != 0 ||
		    run->begun_ms <= cancelled_ms + DEP_CANCEL_MS)
			continue;
		late++;
		dep_record("%s run %" PRId64 " was started %" PRId64
			   " ms after the cancelling was acknowledged",
			   run->task, run->run, run->begun_ms - cancelled_ms);
	}
	dep_record("UNASKED: %s", late > 0 ? "broken" : "kept");
	dep_finish(late > 0);
}

static void begin(void *data)
{
	(void)data;
	holder = dep_holder();
	if (holder < 0) {
		dep_finish(2);
		return;
	}
	entry = (holder + 1) % PROCS;
	other = (holder + 2) % PROCS;
	dep_record("process %d holds the shard", holder + 1);
	if (dep_has_trouble()) {
		dep_signal(entry, SIGSTOP);
		dep_after(FREEZE_MS, wake, NULL);
	}
	dep_after(100, submit, NULL);
	dep_after(FREEZE_MS + 2000, ask, NULL);
	dep_after(WATCH_MS, report, NULL);
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
	dep_after(BEGIN_MS, begin, NULL);
	dep_loop();
	return dep_exit_code();
}
