#include <stdarg.h>
#include <stdio.h>

#include "private/host_duties_state.h"

duty_host_t *duties_get_host(wwh_host_duties_t *duties, const char *name)
{
	duty_host_t *host = g_hash_table_lookup(duties->hosts, name);

	if (host != NULL)
		return host;
	host = g_new0(duty_host_t, 1);
	host->name = g_strdup(name);
	g_hash_table_insert(duties->hosts, host->name, host);
	return host;
}

void duties_host_delete(gpointer data)
{
	duty_host_t *host = data;

	g_free(host->name);
	g_free(host->pool);
	g_free(host->upstream);
	g_free(host->move_target);
	g_free(host->moved_upstream);
	g_free(host);
}

/* name, of a host's pool, is NULL as long as no list has shown the host. */
duty_pool_t *duties_find_pool(const wwh_host_duties_t *duties, const char *name)
{
	if (name == NULL)
		return NULL;
	return g_hash_table_lookup(duties->pools, name);
}

void duties_pool_delete(gpointer data)
{
	duty_pool_t *pool = data;

	g_ptr_array_unref(pool->hosts);
	g_ptr_array_unref(pool->leaving);
	g_free(pool->name);
	g_free(pool);
}

void duties_advance_list(wwh_host_duties_t *duties)
{
	int64_t interval_ms = MAX(DUTIES_LIST_MIN_INTERVAL_MS,
				  duties_list_min_interval_ms(duties));

	duties->next_list_ms =
		MIN(duties->next_list_ms,
		    MAX(duties->now_ms, duties->list_sent_ms + interval_ms));
}

void duties_end_drain(wwh_host_duties_t *duties, duty_host_t *host)
{
	host->draining_since_ms = 0;
	if (host->upstream != NULL)
		wwh_scheduler_uncordon(duties->options.scheduler,
				       host->upstream);
}

void duties_cancel_move(duty_host_t *host)
{
	host->is_surplus = false;
}

void duties_log_event(wwh_host_duties_t *duties, const char *event,
		      const char *subject, const char *format, ...)
{
	char detail[256];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	duties->calls.explain(event, subject, detail,
			      duties->calls.client_data);
}
