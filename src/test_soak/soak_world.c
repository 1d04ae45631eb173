#include "soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	soak_step_t step;
	void *data;
	struct event *timer;
	bool repeats;
} timed_step_t;

soak_t soak;

const char *const soak_pool_names[SOAK_POOLS] = { "desk-a", "desk-b", "desk-c",
						  "desk-d" };
const char *const soak_zone_names[SOAK_ZONES] = { "zone-a", "zone-b", "zone-c",
						  "zone-d" };

const char *const soak_plant_names[SOAK_PLANT_COUNT] = {
	"none",		  "lost-end",	  "early-end",	"false-end",
	"lost-job",	  "foreign-run",  "rejection",	"abort",
	"two-holders",	  "higher-token", "wave-limit", "no-upkeep",
	"lost-cancel",	  "lasting-lost", "gang-alone", "late-times",
	"hidden-failure",
};

static GString *broken_rules;

int64_t soak_now_ms(void)
{
	return (g_get_monotonic_time() - soak.start_us) / 1000;
}

int64_t soak_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

static void record_line(const char *format, va_list arguments)
{
	int64_t now_ms = soak_now_ms();

	fprintf(soak.record, "%3" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT " ",
		now_ms / 1000, now_ms % 1000);
	vfprintf(soak.record, format, arguments);
	fputc('\n', soak.record);
}

void soak_record(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	record_line(format, arguments);
	va_end(arguments);
}

void soak_break(const char *rule, const char *format, ...)
{
	va_list arguments;
	char *text = g_strconcat("BROKEN ", rule, ": ", format, NULL);

	soak.broken++;
	if (broken_rules == NULL)
		broken_rules = g_string_new(NULL);
	if (strstr(broken_rules->str, rule) == NULL)
		g_string_append_printf(broken_rules, " %s", rule);
	va_start(arguments, format);
	record_line(text, arguments);
	va_end(arguments);
	fflush(soak.record);
	g_free(text);
}

const char *soak_broken_rules(void)
{
	return broken_rules == NULL ? "" : broken_rules->str;
}

static void on_step(evutil_socket_t fd, short what, void *data)
{
	timed_step_t *timed = data;

	(void)fd;
	(void)what;
	timed->step(timed->data);
	if (timed->repeats)
		return;
	event_free(timed->timer);
	g_free(timed);
}

static void add_step(int64_t ms, soak_step_t step, void *data, bool repeats)
{
	timed_step_t *timed = g_new0(timed_step_t, 1);
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

	timed->step = step;
	timed->data = data;
	timed->repeats = repeats;
	timed->timer = event_new(soak.base, -1, repeats ? EV_PERSIST : 0,
				 on_step, timed);
	event_add(timed->timer, &wait);
}

void soak_after(int64_t ms, soak_step_t step, void *data)
{
	add_step(ms, step, data, false);
}

void soak_every(int64_t ms, soak_step_t step, void *data)
{
	add_step(ms, step, data, true);
}

void soak_init(const soak_options_t *options, const char *record_path)
{
	signal(SIGPIPE, SIG_IGN);
	soak.start_us = g_get_monotonic_time();
	soak.options = *options;
	soak.rand = g_rand_new_with_seed((guint32)options->seed);
	soak.record = record_path == NULL ? stdout : fopen(record_path, "w");
	if (options->directory != NULL) {
		soak.directory = g_strdup(options->directory);
		(void)g_mkdir_with_parents(soak.directory, 0755);
	} else {
		soak.directory = g_dir_make_tmp("soak-XXXXXX", NULL);
	}
	if (soak.record == NULL || soak.directory == NULL) {
		fprintf(stderr, "soak: can't write the record\n");
		exit(2);
	}
	soak.base = event_base_new();
	soak.runs = g_hash_table_new(g_str_hash, g_str_equal);
	soak.jobs = g_hash_table_new(g_str_hash, g_str_equal);
}

void soak_loop(void)
{
	event_base_dispatch(soak.base);
}

void soak_stop(void)
{
	event_base_loopbreak(soak.base);
}
