/*
 * bench_path [--seconds N] [--minions N] [--callers N]
 *	[--part latency|batch]
 * What an entry process adds: callers against minions directly and through
 * one real entry process, by turns in one run; and keyed requests against
 * intent_batch_ms. One entry process holds all seats, so that a minion takes
 * 8 requests at once; with 56 minions no caller of 400 waits for a slot.
 * The minions and the callers are threads of this program, the entry process
 * and the platform stand-in are processes of their own beside it.
 */

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "../test_standins/include/minion_server.h"
#include "include/path_callers.h"

#define MINIONS_DEFAULT 56
#define BATCH_CALLERS 64
#define BATCH_BODY_BYTES 1024
#define SEATS_SETTLE_MS 3000
#define START_LIMIT_MS 10000
#define POLL_MS 50
#define PORT_BASE 10000 /* below the ports that connections get */
#define KB 1024

typedef struct {
	char *programs; /* folder of the binaries */
	char *folder; /* for files of this run */
	int32_t minion_count;
	minion_server_t **minions;
	int32_t *minion_ports;
	GPid platform;
	GPid entry;
	int32_t platform_port;
	int32_t caller_port;
	int32_t operator_port;
	int32_t peer_port;
	int64_t run_ms;
	int32_t only_callers; /* 0: each number */
	int64_t resident_kb; /* of the entry process under load */
	int64_t peak_kb;
} bench_t;

static void end_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GPid spawn(const bench_t *bench, const char *program,
		  const char *argument, const char *value)
{
	char *path = g_build_filename(bench->programs, program, NULL);
	char *serve[] = { path, "serve", (char *)argument, (char *)value,
			  NULL };
	char *plain[] = { path, (char *)argument, (char *)value, NULL };
	GError *error = NULL;
	GPid pid = 0;

	if (!g_spawn_async(NULL,
			   strcmp(program, "platform") == 0 ? plain : serve,
			   NULL, G_SPAWN_DO_NOT_REAP_CHILD, end_with_parent,
			   NULL, &pid, &error))
		g_error("%s", error->message);
	g_free(path);
	return pid;
}

static void end(GPid pid)
{
	kill(pid, SIGTERM);
	waitpid(pid, NULL, 0);
	g_spawn_close_pid(pid);
}

static size_t keep_bytes(char *bytes, size_t size, size_t count, void *data)
{
	g_string_append_len(data, bytes, (gssize)(size * count));
	return size * count;
}

/* The status, or 0; text, if wanted, has the body. */
static long get(int32_t port, const char *path, GString *text)
{
	CURL *easy = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, path);
	GString *body = text != NULL ? text : g_string_new(NULL);
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, keep_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (text == NULL)
		g_string_free(body, TRUE);
	curl_easy_cleanup(easy);
	g_free(url);
	return status;
}

static void wait_for(int32_t port, const char *path)
{
	for (int32_t i = 0; i < START_LIMIT_MS / POLL_MS; i++) {
		if (get(port, path, NULL) == 200)
			return;
		g_usleep(POLL_MS * 1000);
	}
	g_error("no answer of 200 to %s", path);
}

static char *write_file(const bench_t *bench, const char *name,
			const char *text)
{
	char *path = g_build_filename(bench->folder, name, NULL);

	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("can't write %s", path);
	return path;
}

static void start_entry(bench_t *bench, int32_t batch_ms)
{
	char *text = g_strdup_printf(
		"{ \"process_id\": \"entry\", \"availability_zone\": \"a\","
		"\"region\": \"r\", \"caller_listen\": \"127.0.0.1:%d\","
		"\"operator_listen\": \"127.0.0.1:%d\","
		"\"peer_listen\": \"127.0.0.1:%d\","
		"\"platform_url\": \"http://127.0.0.1:%d\","
		"\"intent_batch_ms\": %d, \"ready_off_ms\": 0,"
		"\"log_level\": \"warning\" }",
		bench->caller_port, bench->operator_port, bench->peer_port,
		bench->platform_port, batch_ms);
	char *path = write_file(bench, "settings.json", text);

	bench->entry = spawn(bench, "waxwinghollow", "--settings", path);
	wait_for(bench->operator_port, "/v1/ready");
	g_free(path);
	g_free(text);
}

static void publish(const bench_t *bench)
{
	GString *inventory = g_string_new(
		"{ \"workers\": [{ \"id\": \"w\", \"address\": \"127.0.1.1\","
		"\"rack\": \"k\", \"zone\": \"a\", \"region\": \"r\","
		"\"pool\": \"p\" }], \"minions\": [");
	char *program =
		g_build_filename(bench->programs, "waxwinghollow", NULL);
	char *server = g_strdup_printf("127.0.0.1:%d", bench->operator_port);
	char *rules_path = write_file(
		bench, "rules.json",
		"{ \"pools\": [{ \"id\": \"p\" }], \"services\": [{ \"id\": "
		"\"s\", \"path_prefix\": \"/s\", \"pool\": \"p\" }] }");
	char *inventory_path;
	gint wait_status = 0;

	for (int32_t i = 0; i < bench->minion_count; i++)
		g_string_append_printf(
			inventory,
			"%s{ \"id\": \"m%d\", \"service\": \"s\", \"worker\": "
			"\"w\", \"address\": \"127.0.0.1\", \"port\": %d }",
			i > 0 ? "," : "", i, bench->minion_ports[i]);
	g_string_append(inventory, "] }");
	inventory_path = write_file(bench, "inventory.json", inventory->str);
	{
		char *argv[] = { program,   "publish",	   "--server",
				 server,    "--inventory", inventory_path,
				 "--rules", rules_path,	   "--json",
				 NULL };

		if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL,
				  NULL, NULL, NULL, NULL, &wait_status, NULL) ||
		    !g_spawn_check_wait_status(wait_status, NULL))
			g_error("the configuration was not published");
	}
	g_string_free(inventory, TRUE);
	g_free(inventory_path);
	g_free(rules_path);
	g_free(server);
	g_free(program);
}

static void start(bench_t *bench)
{
	char *listen_on;

	bench->platform_port = PORT_BASE + (int32_t)getpid() % 1000 * 10;
	bench->caller_port = bench->platform_port + 1;
	bench->operator_port = bench->platform_port + 2;
	bench->peer_port = bench->platform_port + 3;
	bench->minions = g_new0(minion_server_t *, bench->minion_count);
	bench->minion_ports = g_new0(int32_t, bench->minion_count);
	for (int32_t i = 0; i < bench->minion_count; i++) {
		bench->minions[i] = minion_server_start("m", 0, 0);
		bench->minion_ports[i] = bench->minions[i]->port;
	}
	listen_on = g_strdup_printf("127.0.0.1:%d", bench->platform_port);
	bench->platform = spawn(bench, "platform", "--listen", listen_on);
	wait_for(bench->platform_port, "/stats");
	g_free(listen_on);
}

static void stop(bench_t *bench)
{
	end(bench->platform);
	for (int32_t i = 0; i < bench->minion_count; i++)
		minion_server_stop(bench->minions[i]);
	g_free(bench->minions);
	g_free(bench->minion_ports);
}

/* A number of /proc/PID/status, in KB. */
static int64_t proc_kb(GPid pid, const char *name)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *line = NULL;
	int64_t value = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		line = strstr(text, name);
	if (line != NULL)
		value = g_ascii_strtoll(line + strlen(name), NULL, 10);
	g_free(text);
	g_free(path);
	return value;
}

/* Processor time that the process has used. */
static int64_t proc_cpu_us(GPid pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	int64_t ticks = 0;
	gchar **fields;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		/* the name, in brackets, may have blanks; utime is 12th */
		fields = g_strsplit(strrchr(text, ')') + 2, " ", 15);
		ticks = g_ascii_strtoll(fields[11], NULL, 10) +
			g_ascii_strtoll(fields[12], NULL, 10);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(path);
	return ticks * 1000000 / sysconf(_SC_CLK_TCK);
}

static void note_memory(void *client_data)
{
	bench_t *bench = client_data;

	bench->resident_kb = proc_kb(bench->entry, "VmRSS:");
	bench->peak_kb = proc_kb(bench->entry, "VmHWM:");
}

static void compare(bench_t *bench, int32_t callers, int32_t body_bytes,
		    int32_t pause_ms)
{
	char *path = g_strdup_printf("/s/x?bytes=%d", body_bytes);
	load_t load = {
		.ports = bench->minion_ports,
		.port_count = bench->minion_count,
		.path = path,
		.callers = callers,
		.body_bytes = body_bytes,
		.run_ms = bench->run_ms,
		.pause_ms = pause_ms,
	};
	seen_t direct;
	seen_t through;
	int64_t cpu_us;

	run_callers(&load, &direct, NULL, NULL);
	load.ports = &bench->caller_port;
	load.port_count = 1;
	cpu_us = proc_cpu_us(bench->entry);
	run_callers(&load, &through, note_memory, bench);
	cpu_us = proc_cpu_us(bench->entry) - cpu_us;
	printf("%7d %6d %5d %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.0f %8.0f "
	       "%6.2f "
	       "%7.0f %6ld %5" G_GINT64_FORMAT "\n",
	       callers, body_bytes / KB, pause_ms, seen_us(&direct, 50) / 1e3,
	       seen_us(&through, 50) / 1e3,
	       (seen_us(&through, 50) - seen_us(&direct, 50)) / 1e3,
	       seen_us(&direct, 99) / 1e3, seen_us(&through, 99) / 1e3,
	       (seen_us(&through, 99) - seen_us(&direct, 99)) / 1e3,
	       seen_rate(&direct), seen_rate(&through),
	       seen_rate(&through) / seen_rate(&direct),
	       (double)cpu_us / MAX(through.us->len, 1),
	       (long)(bench->resident_kb / KB), through.others);
	fflush(stdout);
	seen_clear(&direct);
	seen_clear(&through);
	g_free(path);
}

static void compare_all(bench_t *bench)
{
	static const struct {
		int32_t callers;
		int32_t body_bytes;
		int32_t pause_ms;
	} loads[] = {
		{ 1, 1 * KB, 0 },    { 64, 1 * KB, 10 },   { 64, 1 * KB, 0 },
		{ 400, 1 * KB, 0 },  { 1, 256 * KB, 0 },   { 64, 256 * KB, 50 },
		{ 64, 256 * KB, 0 }, { 400, 256 * KB, 0 },
	};

	start_entry(bench, 5);
	publish(bench);
	wait_for(bench->caller_port, "/s/probe");
	g_usleep(SEATS_SETTLE_MS * 1000);
	printf("times in ms; pause: of a caller between two requests; added: "
	       "through less direct; cpu: of the entry process a request, in "
	       "us; MB: its resident memory; others: answers that are not 200\n"
	       "callers     KB pause   direct  through    added   direct  "
	       "through    added      rps      rps  ratio     cpu     MB "
	       "others\n"
	       "                          p50      p50      p50      p99      "
	       "p99      p99   direct  through\n");
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		if (bench->only_callers == 0 ||
		    bench->only_callers == loads[i].callers)
			compare(bench, loads[i].callers, loads[i].body_bytes,
				loads[i].pause_ms);
	}
	printf("resident memory of the entry process with that load: "
	       "%" G_GINT64_FORMAT " MB, at its peak %" G_GINT64_FORMAT " MB\n",
	       bench->resident_kb / KB, bench->peak_kb / KB);
	end(bench->entry);
}

static int64_t appends_so_far(const bench_t *bench)
{
	GString *text = g_string_new(NULL);
	const char *number;
	int64_t count = 0;

	get(bench->platform_port, "/stats", text);
	number = strstr(text->str, "\"appends\":");
	if (number != NULL)
		count = g_ascii_strtoll(number + strlen("\"appends\":"), NULL,
					10);
	g_string_free(text, TRUE);
	return count;
}

static void measure_batch(bench_t *bench, int32_t batch_ms)
{
	load_t load = {
		.ports = &bench->caller_port,
		.port_count = 1,
		.path = "/s/x",
		.callers = BATCH_CALLERS,
		.body_bytes = BATCH_BODY_BYTES,
		.run_ms = bench->run_ms,
	};
	seen_t plain;
	seen_t keyed;
	int64_t appends;

	start_entry(bench, batch_ms);
	wait_for(bench->caller_port, "/s/probe");
	g_usleep(SEATS_SETTLE_MS * 1000);
	run_callers(&load, &plain, NULL, NULL);
	load.keyed = true;
	appends = appends_so_far(bench);
	run_callers(&load, &keyed, NULL, NULL);
	appends = appends_so_far(bench) - appends;
	printf("%8d %10.3f %10.3f %10.3f %10.3f %9.0f %9.0f %11.1f "
	       "%6" G_GINT64_FORMAT "\n",
	       batch_ms, seen_us(&plain, 50) / 1e3, seen_us(&keyed, 50) / 1e3,
	       (seen_us(&keyed, 50) - seen_us(&plain, 50)) / 1e3,
	       (seen_us(&keyed, 99) - seen_us(&plain, 99)) / 1e3,
	       seen_rate(&keyed), appends * 1e6 / (double)keyed.elapsed_us,
	       (double)keyed.us->len / (double)MAX(appends, 1), keyed.others);
	fflush(stdout);
	seen_clear(&plain);
	seen_clear(&keyed);
	end(bench->entry);
}

static void measure_batches(bench_t *bench)
{
	static const int32_t batches_ms[] = { 0, 5, 20, 50 };

	printf("keyed POSTs of %d callers, 1 KB; times in ms\n"
	       "batch_ms  no-key p50  keyed p50  added p50  added p99 "
	       "requests/s appends/s requests/append others\n",
	       BATCH_CALLERS);
	for (size_t i = 0; i < G_N_ELEMENTS(batches_ms); i++)
		measure_batch(bench, batches_ms[i]);
}

static void remove_folder(const char *folder)
{
	static const char *const names[] = { "settings.json", "inventory.json",
					     "rules.json" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(folder, names[i], NULL);

		g_unlink(path);
		g_free(path);
	}
	g_rmdir(folder);
}

int main(int argc, char **argv)
{
	gint seconds = 3;
	gint minions = MINIONS_DEFAULT;
	gint callers = 0;
	gchar *part = NULL;
	const GOptionEntry options[] = {
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "of each load",
		  "N" },
		{ "minions", 0, 0, G_OPTION_ARG_INT, &minions, "that serve",
		  "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &callers,
		  "only the loads of as many", "N" },
		{ "part", 0, 0, G_OPTION_ARG_STRING, &part,
		  "only this part of it", "latency|batch" },
		{ NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	bench_t bench = { 0 };

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return EXIT_FAILURE;
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	bench.programs = g_path_get_dirname(argv[0]);
	bench.folder = g_dir_make_tmp("bench-path-XXXXXX", NULL);
	bench.minion_count = minions;
	bench.only_callers = callers;
	bench.run_ms = (int64_t)seconds * 1000;
	start(&bench);
	printf("%d minions, %d s a load\n", minions, seconds);
	if (g_strcmp0(part, "batch") != 0) {
		compare_all(&bench);
	} else {
		start_entry(&bench, 0);
		publish(&bench);
		end(bench.entry);
	}
	if (g_strcmp0(part, "latency") != 0)
		measure_batches(&bench);
	stop(&bench);
	remove_folder(bench.folder);
	g_free(bench.folder);
	g_free(bench.programs);
	g_free(part);
	return EXIT_SUCCESS;
}
