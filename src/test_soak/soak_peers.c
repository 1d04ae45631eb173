/*
 * Links between the processes. Each process reaches each other one through a
 * proxy of its own, so that a link is known by both of its ends. A process
 * learns the addresses of others from the holder's notice alone, as orders
 * aren't relayed by default, and the store replaces the address in it.
 */
#include "soak.h"

#include <string.h>

static soak_proxy_t **links; /* by caller and callee; NULL to itself */

static int32_t index_of(const soak_process_t *process)
{
	return (int32_t)(process - soak.processes);
}

soak_proxy_t *soak_peer_link(const soak_process_t *caller,
			     const soak_process_t *callee)
{
	return links[index_of(caller) * soak.options.processes +
		     index_of(callee)];
}

/* Free with g_free. */
static char *address_for(const soak_process_t *caller,
			 const soak_process_t *callee)
{
	if (caller == callee)
		return g_strdup(callee->peer);
	return g_strdup_printf(SOAK_LOOPBACK ":%d",
			       soak_proxy_port(soak_peer_link(caller, callee)));
}

void soak_peers_start(void)
{
	int32_t count = soak.options.processes;

	links = g_new0(soak_proxy_t *, (gsize)count * (gsize)count);
	for (int32_t i = 0; i < count * count; i++) {
		if (i / count != i % count)
			links[i] = soak_proxy_new(
				soak.processes[i % count].ports[3]);
	}
}

/* NULL: it is no process, or its connection is closed */
static const soak_process_t *sender_of(struct evhttp_request *request)
{
	int port = soak_port_of(request);

	for (int32_t i = 0; i < soak.options.processes; i++) {
		if (soak.processes[i].store_port == port)
			return &soak.processes[i];
	}
	return NULL;
}

static const soak_process_t *process_at(const char *address)
{
	for (int32_t i = 0; i < soak.options.processes; i++) {
		if (strcmp(soak.processes[i].peer, address) == 0)
			return &soak.processes[i];
	}
	return NULL;
}

/* A notice is "TOKEN ADDRESS"; NULL: it names no process */
static char *notice_for(const soak_process_t *reader, const char *notice)
{
	const char *space = strchr(notice, ' ');
	const soak_process_t *holder =
		space == NULL ? NULL : process_at(space + 1);
	char *address;
	char *text;

	if (holder == NULL)
		return NULL;
	address = address_for(reader, holder);
	text = g_strdup_printf("%.*s%s", (int)(space + 1 - notice), notice,
			       address);
	g_free(address);
	return text;
}

GBytes *soak_peer_view(struct evhttp_request *request, const char *key,
		       GBytes *value)
{
	const soak_process_t *reader;
	gsize size;
	const char *data;
	char *notice;
	char *text;

	if (value == NULL)
		return NULL;
	reader = strcmp(key, "holder") == 0 ? sender_of(request) : NULL;
	if (reader == NULL)
		return g_bytes_ref(value);
	data = g_bytes_get_data(value, &size);
	notice = g_strndup(data, size);
	text = notice_for(reader, notice);
	g_free(notice);
	return text == NULL ? g_bytes_ref(value)
			    : g_bytes_new_take(text, strlen(text));
}
