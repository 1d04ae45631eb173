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
 * Limits of each text before escaping, which can make id and detail six times
 * as long; node and event are names that need no escaping. The limits keep a
 * line below PIPE_BUF (4096 bytes). A nearly full pipe accepts only a part of a
 * longer write, and the next line would continue the truncated one.
 */
#define ID_MAX_BYTES 96
#define DETAIL_MAX_BYTES 480

/* An event is rare if it has fewer lines than this in the current second. */
#define RARE_LINES_PER_S 4

typedef struct {
	int32_t lines;
	int32_t bytes;
} budget_usage_t;

struct wwh_event_log {
	wwh_event_log_options_t options;
	char *node;
	GMutex lock;
	int64_t second; /* of the monotonic clock; the budgets are per second */
	budget_usage_t regular;
	budget_usage_t rare;
	budget_usage_t bulk; /* included in regular */
	GHashTable *bulk_events; /* set of names */
	GHashTable *line_counts; /* event name to lines in this second */
	int64_t dropped; /* lines since the last one written */
	wwh_counter_t *lines_written;
	wwh_counter_t *lines_dropped;
	wwh_counter_t *bulk_dropped; /* included in lines_dropped */
};

static bool admit(wwh_event_log_t *log, const char *event);
static void drop_line(wwh_event_log_t *log, const char *event);
static bool is_bulk(const wwh_event_log_t *log, const char *event);
static bool bulk_share_is_spent(const wwh_event_log_t *log);
static void charge(wwh_event_log_t *log, budget_usage_t *budget,
		   const char *event, const GString *line);
static budget_usage_t *select_budget(wwh_event_log_t *log, const char *event);
static bool has_budget_left(const budget_usage_t *usage, int32_t lines,
			    int32_t bytes);
static bool is_rare(const wwh_event_log_t *log, const char *event);
static void count_event(wwh_event_log_t *log, const char *event);
static void append_text_member(GString *line, const char *name,
			       const char *text, size_t max_bytes);
static bool is_plain(char character);
static void append_escaped(GString *line, const char *text, size_t max_bytes);
static bool write_line(wwh_event_log_t *log, const char *event,
		       const GString *line);

wwh_event_log_t *wwh_event_log_new(const wwh_event_log_options_t *options,
				   wwh_counters_t *counters)
{
	wwh_event_log_t *log = g_new0(wwh_event_log_t, 1);
	int flags = fcntl(options->fd, F_GETFL);

	log->options = *options;
	log->node = g_strdup(options->node);
	g_mutex_init(&log->lock);
	log->lines_written = wwh_counters_get(counters, "log.lines");
	log->lines_dropped = wwh_counters_get(counters, "log.lines_dropped");
	log->bulk_dropped = wwh_counters_get(counters, "log.bulk_dropped");
	log->bulk_events = g_hash_table_new(g_str_hash, g_str_equal);
	for (int32_t i = 0;
	     options->bulk_events != NULL && options->bulk_events[i] != NULL;
	     i++)
		g_hash_table_add(log->bulk_events,
				 (gpointer)options->bulk_events[i]);
	log->line_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	/* If the reader stops, lines are dropped; requests must not block. */
	if (flags < 0 || fcntl(options->fd, F_SETFL, flags | O_NONBLOCK) < 0)
		g_warning("event log: can't make the output non-blocking");
	return log;
}

void wwh_event_log_delete(wwh_event_log_t *log)
{
	if (log == NULL)
		return;
	g_mutex_clear(&log->lock);
	g_hash_table_destroy(log->line_counts);
	g_hash_table_destroy(log->bulk_events);
	g_free(log->node);
	g_free(log);
}

void wwh_event_log_write(wwh_event_log_t *log, const char *event,
			 const char *id, const char *detail)
{
	GString *line;
	budget_usage_t *budget;

	g_mutex_lock(&log->lock);
	budget = select_budget(log, event);
	if (budget == NULL) {
		drop_line(log, event);
		g_mutex_unlock(&log->lock);
		return;
	}
	line = g_string_sized_new(DETAIL_BYTES);
	g_string_append_printf(line, "{\"t\":%" G_GINT64_FORMAT,
			       log->options.wall_ms());
	append_text_member(line, "node", log->node, ID_MAX_BYTES);
	append_text_member(line, "event", event, ID_MAX_BYTES);
	append_text_member(line, "id", id, ID_MAX_BYTES);
	append_text_member(line, "detail", detail, DETAIL_MAX_BYTES);
	if (log->dropped > 0)
		g_string_append_printf(line,
				       ",\"dropped_before\":%" G_GINT64_FORMAT,
				       log->dropped);
	g_string_append(line, "}\n");
	if (write_line(log, event, line))
		charge(log, budget, event, line);
	g_mutex_unlock(&log->lock);
	g_string_free(line, TRUE);
}

void wwh_event_log_printf(wwh_event_log_t *log, const char *event,
			  const char *id, const char *format, ...)
{
	char detail[DETAIL_BYTES];
	va_list arguments;

	if (!admit(log, event))
		return;
	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	wwh_event_log_write(log, event, id, detail);
}

/*
 * Drops and counts a line for which no budget is left, before it is formatted.
 * The budget may also be used up by another thread between this and the write,
 * which then drops the line.
 */
static bool admit(wwh_event_log_t *log, const char *event)
{
	bool admitted;

	g_mutex_lock(&log->lock);
	admitted = select_budget(log, event) != NULL;
	if (!admitted)
		drop_line(log, event);
	g_mutex_unlock(&log->lock);
	return admitted;
}

static void drop_line(wwh_event_log_t *log, const char *event)
{
	log->dropped++;
	wwh_counter_add(log->lines_dropped, 1);
	if (is_bulk(log, event))
		wwh_counter_add(log->bulk_dropped, 1);
}

static bool is_bulk(const wwh_event_log_t *log, const char *event)
{
	return g_hash_table_contains(log->bulk_events, event);
}

static bool bulk_share_is_spent(const wwh_event_log_t *log)
{
	const wwh_event_log_options_t *options = &log->options;
	int64_t percent = options->bulk_percent;

	return log->bulk.lines >= options->lines_per_s * percent / 100 ||
	       log->bulk.bytes >= options->bytes_per_s * percent / 100;
}

static void charge(wwh_event_log_t *log, budget_usage_t *budget,
		   const char *event, const GString *line)
{
	budget->lines++;
	budget->bytes += (int32_t)line->len;
	if (is_bulk(log, event)) {
		log->bulk.lines++;
		log->bulk.bytes += (int32_t)line->len;
	}
	count_event(log, event);
}

/* Returns the budget to charge, or NULL if none that applies is left. */
static budget_usage_t *select_budget(wwh_event_log_t *log, const char *event)
{
	const wwh_event_log_options_t *options = &log->options;
	int64_t second = options->now_ms() / SECOND_MS;

	if (second != log->second) {
		log->second = second;
		log->regular = (budget_usage_t){ 0 };
		log->rare = (budget_usage_t){ 0 };
		log->bulk = (budget_usage_t){ 0 };
		g_hash_table_remove_all(log->line_counts);
	}
	if (!(is_bulk(log, event) && bulk_share_is_spent(log)) &&
	    has_budget_left(&log->regular, options->lines_per_s,
			    options->bytes_per_s))
		return &log->regular;
	if (is_rare(log, event) &&
	    has_budget_left(&log->rare, options->rare_lines_per_s,
			    options->rare_bytes_per_s))
		return &log->rare;
	return NULL;
}

static bool has_budget_left(const budget_usage_t *usage, int32_t lines,
			    int32_t bytes)
{
	return usage->lines < lines && usage->bytes < bytes;
}

static bool is_rare(const wwh_event_log_t *log, const char *event)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(log->line_counts, event)) <
	       RARE_LINES_PER_S;
}

static void count_event(wwh_event_log_t *log, const char *event)
{
	int32_t count =
		GPOINTER_TO_INT(g_hash_table_lookup(log->line_counts, event));

	g_hash_table_replace(log->line_counts, g_strdup(event),
			     GINT_TO_POINTER(count + 1));
}

static void append_text_member(GString *line, const char *name,
			       const char *text, size_t max_bytes)
{
	size_t size = 0;

	while (size < max_bytes && is_plain(text[size]))
		size++;
	g_string_append(line, ",\"");
	g_string_append(line, name);
	g_string_append(line, "\":\"");
	if (size == max_bytes || text[size] == '\0')
		g_string_append_len(line, text, (gssize)size);
	else
		append_escaped(line, text, max_bytes);
	g_string_append_c(line, '"');
}

static bool is_plain(char character)
{
	return character >= ' ' && character <= '~' && character != '"' &&
	       character != '\\';
}

/*
 * Keys of the store and paths from callers may contain any bytes. Invalid UTF-8
 * is replaced, since JSON parsers stop at it.
 */
static void append_escaped(GString *line, const char *text, size_t max_bytes)
{
	char *truncated = g_strndup(text, max_bytes);
	char *valid = g_utf8_make_valid(truncated, -1);

	for (const char *at = valid; *at != '\0'; at++) {
		if (*at == '"' || *at == '\\')
			g_string_append_printf(line, "\\%c", *at);
		else if ((unsigned char)*at < ' ')
			g_string_append_printf(line, "\\u%04x", *at);
		else
			g_string_append_c(line, *at);
	}
	g_free(valid);
	g_free(truncated);
}

/* Returns false if the pipe is full and accepted only a part, or nothing. */
static bool write_line(wwh_event_log_t *log, const char *event,
		       const GString *line)
{
	ssize_t written = write(log->options.fd, line->str, line->len);

	if (written != (ssize_t)line->len) {
		drop_line(log, event);
		return false;
	}
	log->dropped = 0;
	wwh_counter_add(log->lines_written, 1);
	return true;
}
