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

/* An event that has been written less often in its second is a rare one. */
#define RARE_LINES 4

typedef struct {
	int32_t lines;
	int32_t bytes;
} spent_t;

struct wwh_event_log {
	wwh_event_log_options_t options;
	char *node;
	GMutex lock;
	int64_t second; /* of the steady clock that the budget is for */
	spent_t usual;
	spent_t rare;
	GHashTable *events; /* name to count of lines in that second */
	int64_t dropped; /* since the last line that got out */
	wwh_counter_t *written;
	wwh_counter_t *lost;
};

static spent_t *budget_of(wwh_event_log_t *log, const char *event);
static bool is_left(const spent_t *spent, int32_t lines, int32_t bytes);
static bool is_rare(const wwh_event_log_t *log, const char *event);
static void note_event(wwh_event_log_t *log, const char *event);
static void put_text(GString *line, const char *name, const char *text,
		     size_t most);
static bool emit(wwh_event_log_t *log, const GString *line);

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
	log->events =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
	g_hash_table_destroy(log->events);
	g_free(log->node);
	g_free(log);
}

void wwh_event_log_write(wwh_event_log_t *log, const char *event,
			 const char *id, const char *detail)
{
	GString *line;
	spent_t *budget;

	g_mutex_lock(&log->lock);
	budget = budget_of(log, event);
	if (budget == NULL) {
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
	if (emit(log, line)) {
		budget->lines++;
		budget->bytes += (int32_t)line->len;
		note_event(log, event);
	}
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

/* NULL: both are spent. */
static spent_t *budget_of(wwh_event_log_t *log, const char *event)
{
	const wwh_event_log_options_t *options = &log->options;
	int64_t second = options->now_ms() / SECOND_MS;

	if (second != log->second) {
		log->second = second;
		log->usual = (spent_t){ 0 };
		log->rare = (spent_t){ 0 };
		g_hash_table_remove_all(log->events);
	}
	if (is_left(&log->usual, options->lines_per_s, options->bytes_per_s))
		return &log->usual;
	if (is_rare(log, event) &&
	    is_left(&log->rare, options->rare_lines_per_s,
		    options->rare_bytes_per_s))
		return &log->rare;
	return NULL;
}

static bool is_left(const spent_t *spent, int32_t lines, int32_t bytes)
{
	return spent->lines < lines && spent->bytes < bytes;
}

static bool is_rare(const wwh_event_log_t *log, const char *event)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(log->events, event)) <
	       RARE_LINES;
}

static void note_event(wwh_event_log_t *log, const char *event)
{
	int32_t count =
		GPOINTER_TO_INT(g_hash_table_lookup(log->events, event));

	g_hash_table_replace(log->events, g_strdup(event),
			     GINT_TO_POINTER(count + 1));
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

/* False: a full pipe took it not, or in part. */
static bool emit(wwh_event_log_t *log, const GString *line)
{
	ssize_t written = write(log->options.fd, line->str, line->len);

	if (written != (ssize_t)line->len) {
		log->dropped++;
		wwh_counter_add(log->lost, 1);
		return false;
	}
	log->dropped = 0;
	wwh_counter_add(log->written, 1);
	return true;
}
