#include "soak.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

/* Data that is held back on one side before the other one isn't read any more. */
#define HELD_MAX_BYTES (1 << 20)

/* Of new connections, on a link that resets some. */
#define RESET_SHARE 0.45

/* One connection through the proxy. */
typedef struct {
	soak_proxy_t *proxy;
	struct bufferevent *caller;
	struct bufferevent *target;
	int64_t token; /* that its caller has sent last; 0: none */
} relay_t;

struct soak_proxy {
	struct evconnlistener *listener; /* NULL: connections are refused */
	int port;
	int target_port;
	soak_link_t link;
	soak_callers_t callers; /* whom the link concerns */
	int64_t token;
	bool is_pinned; /* other links that are set have no effect */
	GPtrArray *relays; /* relay_t */
};

const char *const soak_link_names[SOAK_LINK_COUNT] = {
	"sound", "silent", "answers-held", "reset", "reset-some", "refused",
};

const char *const soak_callers_names[SOAK_CALLERS_COUNT] = {
	"all",
	"holders up to",
	"holders after",
};

/*
 * All processes have one address, so a caller is known by the fencing token in
 * its orders. A connection belongs to one process.
 */
static void note_token(relay_t *relay)
{
	static const char mark[] = "\"fencingToken\":";
	struct evbuffer *input = bufferevent_get_input(relay->caller);
	struct evbuffer_ptr at =
		evbuffer_search(input, mark, sizeof(mark) - 1, NULL);
	char digits[21] = "";

	if (at.pos < 0 || evbuffer_ptr_set(input, &at, sizeof(mark) - 1,
					   EVBUFFER_PTR_ADD) != 0)
		return;
	(void)evbuffer_copyout_from(input, &at, digits, sizeof(digits) - 1);
	relay->token = g_ascii_strtoll(digits, NULL, 10);
}

static soak_link_t link_of(const relay_t *relay)
{
	const soak_proxy_t *proxy = relay->proxy;
	bool is_later = relay->token > proxy->token;

	if (proxy->callers == SOAK_CALLERS_ALL)
		return proxy->link;
	if (relay->token == 0 ||
	    is_later != (proxy->callers == SOAK_CALLERS_LATER))
		return SOAK_LINK_SOUND;
	return proxy->link;
}

static void close_relay(relay_t *relay)
{
	g_ptr_array_remove_fast(relay->proxy->relays, relay);
	bufferevent_free(relay->caller);
	bufferevent_free(relay->target);
	g_free(relay);
}

/* A connection that is closed in this way is reset. */
static void reset_relay(relay_t *relay)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	(void)setsockopt(bufferevent_getfd(relay->caller), SOL_SOCKET,
			 SO_LINGER, &at_once, sizeof(at_once));
	(void)setsockopt(bufferevent_getfd(relay->target), SOL_SOCKET,
			 SO_LINGER, &at_once, sizeof(at_once));
	close_relay(relay);
}

static bool passes(const relay_t *relay, bool from_caller)
{
	soak_link_t link = link_of(relay);

	return link == SOAK_LINK_SOUND || link == SOAK_LINK_RESET_SOME ||
	       (link == SOAK_LINK_ANSWERS_HELD && from_caller);
}

static void forward(relay_t *relay, bool from_caller)
{
	struct bufferevent *from = from_caller ? relay->caller : relay->target;
	struct bufferevent *to = from_caller ? relay->target : relay->caller;

	if (passes(relay, from_caller))
		(void)bufferevent_read_buffer(from, bufferevent_get_output(to));
}

static void on_caller_data(struct bufferevent *from, void *data)
{
	relay_t *relay = data;

	(void)from;
	note_token(relay);
	if (link_of(relay) == SOAK_LINK_RESET)
		reset_relay(relay);
	else
		forward(relay, true);
}

static void on_target_data(struct bufferevent *from, void *data)
{
	(void)from;
	forward(data, false);
}

static void on_event(struct bufferevent *from, short what, void *data)
{
	(void)from;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		close_relay(data);
}

static struct sockaddr_in address_of(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, SOAK_LOOPBACK, &address.sin_addr);
	return address;
}

static void on_connection(struct evconnlistener *listener, evutil_socket_t fd,
			  struct sockaddr *from, int size, void *data)
{
	soak_proxy_t *proxy = data;
	struct sockaddr_in address = address_of(proxy->target_port);
	relay_t *relay = g_new0(relay_t, 1);

	(void)listener;
	(void)from;
	(void)size;
	relay->proxy = proxy;
	relay->caller =
		bufferevent_socket_new(soak.base, fd, BEV_OPT_CLOSE_ON_FREE);
	relay->target =
		bufferevent_socket_new(soak.base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(proxy->relays, relay);
	bufferevent_setcb(relay->caller, on_caller_data, NULL, on_event, relay);
	bufferevent_setcb(relay->target, on_target_data, NULL, on_event, relay);
	bufferevent_setwatermark(relay->caller, EV_READ, 0, HELD_MAX_BYTES);
	bufferevent_setwatermark(relay->target, EV_READ, 0, HELD_MAX_BYTES);
	bufferevent_enable(relay->caller, EV_READ | EV_WRITE);
	bufferevent_enable(relay->target, EV_READ | EV_WRITE);
	if (link_of(relay) == SOAK_LINK_RESET ||
	    (link_of(relay) == SOAK_LINK_RESET_SOME &&
	     g_rand_double(soak.rand) < RESET_SHARE) ||
	    bufferevent_socket_connect(relay->target,
				       (struct sockaddr *)&address,
				       sizeof(address)) != 0)
		reset_relay(relay);
}

static void listen_for_callers(soak_proxy_t *proxy)
{
	struct sockaddr_in address = address_of(proxy->port);

	if (proxy->listener != NULL)
		return;
	proxy->listener = evconnlistener_new_bind(
		soak.base, on_connection, proxy,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&address, sizeof(address));
	g_assert(proxy->listener != NULL);
}

soak_proxy_t *soak_proxy_new(int target_port)
{
	soak_proxy_t *proxy = g_new0(soak_proxy_t, 1);

	proxy->target_port = target_port;
	proxy->port = soak_free_port();
	proxy->relays = g_ptr_array_new();
	listen_for_callers(proxy);
	return proxy;
}

int soak_proxy_port(const soak_proxy_t *proxy)
{
	return proxy->port;
}

soak_link_t soak_proxy_link(const soak_proxy_t *proxy)
{
	return proxy->link;
}

static void update_relay(relay_t *relay)
{
	soak_link_t link = link_of(relay);

	if (link == SOAK_LINK_RESET || link == SOAK_LINK_RESET_SOME ||
	    link == SOAK_LINK_REFUSED) {
		reset_relay(relay);
		return;
	}
	/* what was held back arrives late */
	forward(relay, true);
	forward(relay, false);
}

void soak_proxy_set_link(soak_proxy_t *proxy, soak_link_t link)
{
	soak_proxy_set_link_for(proxy, link, SOAK_CALLERS_ALL, 0);
}

void soak_proxy_restore(void *proxy)
{
	soak_proxy_set_link(proxy, SOAK_LINK_SOUND);
}

void soak_proxy_set_link_for(soak_proxy_t *proxy, soak_link_t link,
			     soak_callers_t callers, int64_t token)
{
	/* a listener serves all callers */
	g_assert(link != SOAK_LINK_REFUSED || callers == SOAK_CALLERS_ALL);
	if (proxy->is_pinned)
		return;
	proxy->link = link;
	proxy->callers = callers;
	proxy->token = token;
	if (link == SOAK_LINK_REFUSED)
		g_clear_pointer(&proxy->listener, evconnlistener_free);
	else
		listen_for_callers(proxy);
	for (guint i = proxy->relays->len; i > 0; i--)
		update_relay(g_ptr_array_index(proxy->relays, i - 1));
}

void soak_proxy_pin(soak_proxy_t *proxy, soak_link_t link,
		    soak_callers_t callers, int64_t token)
{
	soak_proxy_set_link_for(proxy, link, callers, token);
	proxy->is_pinned = true;
}

void soak_proxy_unpin(soak_proxy_t *proxy)
{
	proxy->is_pinned = false;
	soak_proxy_restore(proxy);
}

void soak_proxy_set_target(soak_proxy_t *proxy, int target_port, bool resets)
{
	proxy->target_port = target_port;
	for (guint i = proxy->relays->len; resets && i > 0; i--)
		reset_relay(g_ptr_array_index(proxy->relays, i - 1));
}
