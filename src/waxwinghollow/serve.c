#include "serve.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "commands.h"
#include "waxwinghollow/entry.h"

static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields,
				  gsize field_count, gpointer client_data);
static void block_signals(sigset_t *signals);

int wwh_serve(const wwh_settings_t *settings)
{
	static const GLogLevelFlags levels[WWH_LOG_LEVEL_COUNT] = {
		[WWH_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
		[WWH_LOG_WARNING] = G_LOG_LEVEL_WARNING,
		[WWH_LOG_INFO] = G_LOG_LEVEL_INFO,
		[WWH_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
	};
	wwh_entry_t *entry;
	wwh_message_t message;
	sigset_t signals;
	int signal_number;
	int32_t cut_off;

	g_log_set_writer_func(
		write_log, GINT_TO_POINTER(levels[settings->log_level]), NULL);
	block_signals(&signals);
	entry = wwh_entry_new(settings);
	if (wwh_entry_init(entry, &message) != WWH_STATUS_OK) {
		fprintf(stderr, "serve: %s\n", message.text);
		wwh_entry_delete(entry);
		return WWH_EXIT_FAILED;
	}
	g_message("callers on port %d, operators on port %d",
		  wwh_entry_caller_port(entry), wwh_entry_operator_port(entry));
	sigwait(&signals, &signal_number);
	g_message("stopping after signal %d", signal_number);
	cut_off = wwh_entry_finish(entry);
	wwh_entry_delete(entry);
	if (cut_off > 0) {
		fprintf(stderr, "serve: %d requests were cut off\n", cut_off);
		return WWH_EXIT_FAILED;
	}
	return WWH_EXIT_OK;
}

/*
 * Drops messages less severe than the configured level and passes the others
 * to GLib's standard writer.
 */
static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields,
				  gsize field_count, gpointer client_data)
{
	int32_t max_level = GPOINTER_TO_INT(client_data);

	if ((int32_t)(level & G_LOG_LEVEL_MASK) > max_level)
		return G_LOG_WRITER_HANDLED;
	return g_log_writer_standard_streams(level, fields, field_count, NULL);
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
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}
