#include "waxwinghollow/event_log.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <unistd.h>

#define SECOND_MS 1000
#define DETAIL_BYTES 512

/*
 * Of each text, before it is escaped, which may take six times as much: so a
 * line stays below PIPE_BUF (4096; node and event are names of ours). A pipe
 * that is nearly full takes longer ones in parts, and what follows would go on
 * in the middle of a torn line.
 */
#define ID_BYTES 96
#define DETAIL_MAX_BYTES 480

struct wwh_event_log {
	wwh_event_log_options_t options;
	char *node;
	GMutex lock;
	int64_t second; /* of the steady clock that the budget is for */
	int32_t lines;
	int32_t bytes;
	int64_t dropped; /* since the last line that got out */
	wwh_counter_t *written;
	wwh_counter_t *lost;
};

static bool within_budget(wwh_event_log_t *log);
static void put_text(GString *line, const char *name, const char *text,
		     size_t most);
static void emit(wwh_event_log_t *log, const GString *line);

wwh_event_log_t *wwh_event_log_new(const wwh_event_log_options_t *options,
				   wwh_counters_t *counters)
{
	wwh_event_log_t *log = g_new0(wwh_event_log_t, 1);
	int flags = fcntl(options->fd, F_GETFL);

	log->options = *options;
	log->node = g_strdup(options->node);
	g_mutex_init(&log->lock);
	log->written = wwh_counters_get(counters, "log.lines");
	log->lost = wwh_counters_get(counters, "log.lines_dropped");
	/* a reader that stops reading costs lines, not requests */
	if (flags < 0 || fcntl(options->fd, F_SETFL, flags | O_NONBLOCK) < 0)
		g_warning("the log's file can't be made non-blocking");
	return log;
}

void wwh_event_log_delete(wwh_event_log_t *log)
{
	if (log == NULL)
		return;
	g_mutex_clear(&log->lock);
	g_free(log->node);
	g_free(log);
}

void wwh_event_log_write(wwh_event_log_t *log, const char *event,
			 const char *id, const char *detail)
{
	GString *line;

	g_mutex_lock(&log->lock);
	if (!within_budget(log)) {
		log->dropped++;
		wwh_counter_add(log->lost, 1);
		g_mutex_unlock(&log->lock);
		return;
	}
	line = g_string_sized_new(DETAIL_BYTES);
	g_string_append_printf(line, "{\"t\":%" G_GINT64_FORMAT,
			       log->options.wall_ms());
	put_text(line, "node", log->node, ID_BYTES);
	put_text(line, "event", event, ID_BYTES);
	put_text(line, "id", id, ID_BYTES);
	put_text(line, "detail", detail, DETAIL_MAX_BYTES);
	if (log->dropped > 0)
		g_string_append_printf(line,
				       ",\"dropped_before\":%" G_GINT64_FORMAT,
				       log->dropped);
	g_string_append(line, "}\n");
	emit(log, line);
	g_mutex_unlock(&log->lock);
	g_string_free(line, TRUE);
}

void wwh_event_log_printf(wwh_event_log_t *log, const char *event,
			  const char *id, const char *format, ...)
{
	char detail[DETAIL_BYTES];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	wwh_event_log_write(log, event, id, detail);
}

static bool within_budget(wwh_event_log_t *log)
{
	int64_t second = log->options.now_ms() / SECOND_MS;

	if (second != log->second) {
		log->second = second;
		log->lines = 0;
		log->bytes = 0;
	}
	return log->lines < log->options.lines_per_s &&
	       log->bytes < log->options.bytes_per_s;
}

/*
 * Keys of the store and paths of callers may hold any bytes. Those that are no
 * UTF-8 are replaced: a reader of JSON stops at the first of them.
 */
static void put_text(GString *line, const char *name, const char *text,
		     size_t most)
{
	char *cut = g_strndup(text, most);
	char *valid = g_utf8_make_valid(cut, -1);

	g_string_append_printf(line, ",\"%s\":\"", name);
	for (const char *at = valid; *at != '\0'; at++) {
		if (*at == '"' || *at == '\\')
			g_string_append_printf(line, "\\%c", *at);
		else if ((unsigned char)*at < ' ')
			g_string_append_printf(line, "\\u%04x", *at);
		else
			g_string_append_c(line, *at);
	}
	g_string_append_c(line, '"');
	g_free(valid);
	g_free(cut);
}

static void emit(wwh_event_log_t *log, const GString *line)
{
	ssize_t written = write(log->options.fd, line->str, line->len);

	if (written != (ssize_t)line->len) {
		log->dropped++;
		wwh_counter_add(log->lost, 1);
		return;
	}
	log->lines++;
	log->bytes += (int32_t)line->len;
	log->dropped = 0;
	wwh_counter_add(log->written, 1);
}
