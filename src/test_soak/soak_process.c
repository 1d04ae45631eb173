#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define REAP_INTERVAL_MS 20
#define PLANTED_ABORT_MS 5000

/* Settings that are the same for all processes. */
static const char *const common_settings =
	"role=entry\nmachineClass=edge\nserves=edge\nip=" SOAK_LOOPBACK "\n"
	"region=east\nzones.zone-a=east\nzones.zone-b=east\n"
	"zones.zone-c=east\nzones.zone-d=east\nseeds=\nbootstrap=true\n"
	"limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=512\n"
	"limits.maxFds=8192\nlimits.linkMbps=200.0\n"
	"discovery=platform\nentry=vip\n"
	"contracts=base,drain,config,cost,recover,sched,platform,advice,"
	"upkeep,sharing\n"
	"bounds.contactMs=4000\nbounds.ackMs=6000\nbounds.drainMs=3000\n"
	"bounds.graceS=6\nbounds.configApplyMs=3000\nbounds.recoverS=15\n"
	"bounds.gangMs=4000\nbounds.cancel_ms=4000\nbounds.visible_ms=3000\n"
	"bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
	"bounds.saveS=0.5\nbounds.restoreMs=100\nbounds.noticeMs=5500\n"
	"bounds.moveS=1.5\nbounds.upkeepS=2\n"
	"bounds.leaseMs=3000\nbounds.thawMs=300\norders=invocation\n"
	"platform.form=log\nplatform.writesPerS=1200\n"
	"platform.readsPerS=6000\nplatform.parts=16\nplatform.appendMs=3.0\n"
	"platform.recordBytes=262144\nplatform.callBytes=2097152\n"
	"platform.keep_s=300\nplatform.ttlMinMs=1000\n"
	"cloud.ratePerS=64.0\ncloud.dutyPerS=64.0\n";

static char *write_settings(const soak_process_t *process)
{
	char *path =
		g_strdup_printf("%s/%s.conf", soak.directory, process->node);
	FILE *file = fopen(path, "w");

	if (file == NULL) {
		fprintf(stderr, "soak: %s: %s\n", path, strerror(errno));
		exit(2);
	}
	fprintf(file, "node=%s\nzone=%s\n%s", process->node,
		soak_zone_names[process->zone], common_settings);
	fprintf(file, "listen.frontend=" SOAK_LOOPBACK ":%d\n",
		process->ports[0]);
	fprintf(file, "listen.readiness=" SOAK_LOOPBACK ":%d\n",
		process->ports[1]);
	fprintf(file, "listen.control=" SOAK_LOOPBACK ":%d\n",
		process->ports[2]);
	fprintf(file, "internalPorts=%d,%d\n", process->ports[3],
		process->ports[3] + 1);
	fprintf(file, "heartbeatMs=%d\nbounds.holdMaxMs=%d\n",
		SOAK_HEARTBEAT_MS, SOAK_LEASE_MAX_MS);
	fprintf(file, "bounds.stopMs=%d\n", SOAK_STOP_MS);
	fprintf(file, "bounds.fencingRequired=%s\n",
		soak.options.unfenced ? "false" : "true");
	fprintf(file, "platform.address=" SOAK_LOOPBACK ":%d\n",
		soak_proxy_port(process->store_proxy));
	fprintf(file, "cloud.address=" SOAK_LOOPBACK ":%d\n", soak.hosts_port);
	fclose(file);
	return path;
}

/*
 * It returns once the program has begun. A child that lives on as a copy of this
 * process for a while would hold the ports of all stand-ins, and one that is
 * closed and opened anew meanwhile couldn't have its port.
 */
static GPid spawn(const char *log)
{
	const int first_inherited_fd = 3;
	char *const arguments[] = { (char *)soak.options.program,
				    (char *)"serve", (char *)"--platform",
				    NULL };
	posix_spawn_file_actions_t files;
	pid_t pid = 0;
	int error;

	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
	posix_spawn_file_actions_addclosefrom_np(&files, first_inherited_fd);
	error = posix_spawn(&pid, soak.options.program, &files, NULL, arguments,
			    environ);
	posix_spawn_file_actions_destroy(&files);
	if (error != 0) {
		fprintf(stderr, "soak: %s: %s\n", soak.options.program,
			strerror(error));
		exit(2);
	}
	return pid;
}

void soak_process_start(soak_process_t *process)
{
	char *settings = write_settings(process);
	char *log = g_strdup_printf("%s/%s.log", soak.directory, process->node);
	process->starts++;
	process->stopped = false;
	process->terminating = false;
	process->terminated_at_start = false;
	process->frozen_terminating = false;
	setenv("WAXWINGHOLLOW_NODE_FILE", settings, 1);
	process->pid = spawn(log);
	soak_record("process %s starts (pid %d)", process->node,
		    (int)process->pid);
	g_free(settings);
	g_free(log);
}

void soak_process_signal(soak_process_t *process, int signal)
{
	if (process->pid == 0)
		return;
	soak_record("process %s gets %s", process->node, strsignal(signal));
	if (signal == SIGTERM && !process->terminating)
		process->terminated_at_start =
			!soak_is_listening(process->ports[0]);
	if (process->stopped && signal != SIGSTOP)
		kill(process->pid, SIGCONT);
	process->stopped = signal == SIGSTOP;
	process->terminating = process->terminating || signal == SIGTERM;
	process->frozen_terminating =
		process->frozen_terminating ||
		(process->terminating && process->stopped);
	kill(process->pid, signal);
	if (signal == SIGKILL) {
		waitpid(process->pid, NULL, 0);
		process->pid = 0;
	}
}

void soak_process_reload(soak_process_t *process)
{
	if (process->pid == 0 || process->stopped)
		return;
	g_free(write_settings(process));
	soak_process_signal(process, SIGHUP);
}

static void abort_one(void *data)
{
	soak_process_t *process = data;

	if (process->pid != 0)
		kill(process->pid, SIGABRT);
}

soak_process_t *soak_process_holder(void)
{
	char *address = soak_store_holder();
	soak_process_t *found = NULL;

	for (int32_t i = 0; address != NULL && i < soak.options.processes;
	     i++) {
		if (strcmp(soak.processes[i].peer, address) == 0)
			found = &soak.processes[i];
	}
	g_free(address);
	return found;
}

static void reap(void *data)
{
	(void)data;
	for (int32_t i = 0; i < soak.options.processes; i++) {
		soak_process_t *process = &soak.processes[i];
		int status;

		if (process->pid == 0 ||
		    waitpid(process->pid, &status, WNOHANG) <= 0)
			continue;
		process->pid = 0;
		/* a process that is frozen beyond its grace cuts requests off */
		if (process->frozen_terminating && WIFEXITED(status))
			soak_record(
				"process %s ends with %d after it was frozen",
				process->node, WEXITSTATUS(status));
		/* no handler is set before the program has begun */
		else if (process->terminated_at_start && WIFSIGNALED(status) &&
			 WTERMSIG(status) == SIGTERM)
			soak_record("process %s ends by SIGTERM as it starts",
				    process->node);
		else if (WIFSIGNALED(status))
			soak_break("FAULT", "process %s ends by signal %d",
				   process->node, WTERMSIG(status));
		else if (WEXITSTATUS(status) != 0)
			soak_break("FAULT", "process %s ends with %d",
				   process->node, WEXITSTATUS(status));
		else
			soak_record("process %s ends", process->node);
	}
}

void soak_processes_start(void)
{
	soak.processes = g_new0(soak_process_t, (gsize)soak.options.processes);
	for (int32_t i = 0; i < soak.options.processes; i++) {
		soak_process_t *process = &soak.processes[i];

		for (int32_t k = 0; k < SOAK_PROCESS_PORTS; k++)
			process->ports[k] = soak_free_port();
		process->zone = i % SOAK_ZONES;
		g_snprintf(process->node, sizeof(process->node), "edge-%d", i);
		g_snprintf(process->peer, sizeof(process->peer),
			   SOAK_LOOPBACK ":%d", process->ports[3]);
		process->connections = g_ptr_array_new();
		soak_store_listen_for(process);
		process->store_proxy = soak_proxy_new(process->store_port);
	}
	soak_peers_start();
	for (int32_t i = 0; i < soak.options.processes; i++)
		soak_process_start(&soak.processes[i]);
	soak_every(REAP_INTERVAL_MS, reap, NULL);
	if (soak.options.plant == SOAK_PLANT_ABORT)
		soak_after(PLANTED_ABORT_MS, abort_one, &soak.processes[0]);
}

static void remove_file(const char *node, const char *suffix)
{
	char *path = g_strconcat(soak.directory, "/", node, suffix, NULL);

	(void)unlink(path);
	g_free(path);
}

void soak_processes_end(void)
{
	for (int32_t i = 0; i < soak.options.processes; i++)
		soak_process_signal(&soak.processes[i], SIGKILL);
	if (soak.options.directory != NULL)
		return;
	for (int32_t i = 0; i < soak.options.processes; i++) {
		remove_file(soak.processes[i].node, ".conf");
		remove_file(soak.processes[i].node, ".log");
	}
	(void)rmdir(soak.directory);
}
