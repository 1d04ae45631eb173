#include <stdarg.h>
#include <stdio.h>

#include "private/host_duties_state.h"

duty_host_t *duties_host(wwh_host_duties_t *duties, const char *name)
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
	g_free(host->move_to);
	g_free(host);
}

/* A host that a wave names and no list has shown has no pool yet. */
duty_pool_t *duties_pool(const wwh_host_duties_t *duties, const char *name)
{
	if (name == NULL)
		return NULL;
	return g_hash_table_lookup(duties->pools, name);
}

void duties_pool_delete(gpointer data)
{
	duty_pool_t *pool = data;

	g_free(pool->name);
	g_free(pool);
}

void duties_list_soon(wwh_host_duties_t *duties)
{
	duties->next_list_ms =
		MIN(duties->next_list_ms,
		    MAX(duties->now_ms,
			duties->list_sent_ms + DUTIES_LIST_SOON_MS));
}

void duties_take_back(wwh_host_duties_t *duties, duty_host_t *host)
{
	host->cordoned_ms = 0;
	if (host->upstream != NULL)
		wwh_scheduler_uncordon(duties->options.scheduler,
				       host->upstream);
}

void duties_forget_move(duty_host_t *host)
{
	host->leaving_pool = false;
}

void duties_explain(wwh_host_duties_t *duties, const char *event,
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
