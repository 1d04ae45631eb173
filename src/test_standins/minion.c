/*
 * minion --listen PORT --id ID [--service-ms N] [--jitter-ms N] [--runs FILE]
 * A minion stand-in as a program; modes are set by GET /minion/mode/NAME.
 */

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>

#include "include/minion_server.h"

int main(int argc, char **argv)
{
	gint port = 0;
	gint service_ms = 5;
	gint jitter_ms = 0;
	gchar *id = NULL;
	gchar *runs = NULL;
	GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_INT, &port, "port", "PORT" },
		{ "id", 0, 0, G_OPTION_ARG_STRING, &id, "name", "ID" },
		{ "service-ms", 0, 0, G_OPTION_ARG_INT, &service_ms,
		  "time a request takes", "N" },
		{ "jitter-ms", 0, 0, G_OPTION_ARG_INT, &jitter_ms,
		  "at most this much more, at random", "N" },
		{ "runs", 0, 0, G_OPTION_ARG_FILENAME, &runs,
		  "a line for each request that ran", "FILE" },
		{ NULL },
	};
	GOptionContext *context = g_option_context_new("- minion stand-in");
	minion_server_t *server;
	sigset_t signals;
	int signal_number;
	int server_log_fd;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	server = minion_server_start(id != NULL ? id : "minion", port,
				     service_ms);
	server->jitter_ms = jitter_ms;
	if (runs != NULL)
		server->run_log_fd = open(
			runs, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	printf("listening on 127.0.0.1:%d\n", server->port);
	fflush(stdout);
	sigwait(&signals, &signal_number);
	server_log_fd = server->run_log_fd;
	minion_server_stop(server);
	if (server_log_fd > 0)
		close(server_log_fd);
	g_free(runs);
	g_free(id);
	return 0;
}
