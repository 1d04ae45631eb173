#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "cli.h"
#include "commands.h"
#include "node_file.h"
#include "serve.h"
#include "waxwinghollow/job_service.h"

static void block_signals(sigset_t *signals);
static void reload_settings(wwh_job_service_t *service, const char *path);

int wwh_serve_platform(const char *path)
{
	wwh_host_settings_t settings;
	wwh_job_service_t *service;
	wwh_message_t message = { "" };
	sigset_t signals;
	int signal_number = 0;
	int32_t cut_off;

	if (path == NULL)
		path = node_file_path();
	if (node_file_load(path, &settings, wwh_cli_print_error, NULL) !=
	    WWH_STATUS_OK)
		return WWH_EXIT_BAD_INPUT;
	block_signals(&signals);
	service = wwh_job_service_new(&settings, STDOUT_FILENO);
	if (wwh_job_service_init(service, &message) != WWH_STATUS_OK) {
		fprintf(stderr, "serve: %s\n", message.text);
		return WWH_EXIT_FAILED;
	}
	while (signal_number != SIGTERM && signal_number != SIGINT) {
		sigwait(&signals, &signal_number);
		if (signal_number == SIGHUP)
			reload_settings(service, path);
	}
	cut_off = wwh_job_service_finish(service);
	wwh_job_service_delete(service);
	return cut_off == 0 ? WWH_EXIT_OK : WWH_EXIT_FAILED;
}

/*
 * Called before any thread is started: threads inherit the mask, so that the
 * signals are delivered to sigwait only.
 */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Prints the errors of an invalid file and keeps the current settings. */
static void reload_settings(wwh_job_service_t *service, const char *path)
{
	wwh_host_settings_t settings;

	if (node_file_load(path, &settings, wwh_cli_print_error, NULL) ==
	    WWH_STATUS_OK)
		wwh_job_service_reload(service, &settings);
}
