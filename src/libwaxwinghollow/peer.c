#include "waxwinghollow/peer.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/peer_hello.h"
#include "private/peer_socket.h"

#define READ_BYTES (64 * 1024)
#define POLL_MS 250

/* Slots of the poll set before the connections. */
enum {
	POLL_WAKE = 0,
	POLL_LISTENER,
	POLL_FIRST
};

typedef enum {
	COUNT_FRAMES_IN = 0,
	COUNT_FRAMES_OUT,
	COUNT_BYTES_IN,
	COUNT_BYTES_OUT,
	COUNT_REFUSED_FRAMES,
	COUNT_REFUSED_CONNECTIONS,
	COUNT_DROPPED_FRAMES,
	COUNT_BROKEN,
	COUNT_CONNECTIONS,
	COUNT_COUNT
} count_t;

static const char *const count_names[COUNT_COUNT] = {
	"peer.frames_in",	 "peer.frames_out",
	"peer.bytes_in",	 "peer.bytes_out",
	"peer.refused_frames",	 "peer.refused_connections",
	"peer.dropped_frames",	 "peer.broken_connections",
	"peer.open_connections",
};

typedef struct {
	wwh_peer_t *peer;
	int fd;
	bool inbound;
	bool connecting;
	bool closing;
	int64_t progress_ms; /* last byte either way */
	char *address; /* remote; of an inbound one after its hello */
	char *id; /* inbound, after its hello */
	wwh_frame_reader_t *reader; /* inbound */
	GByteArray *out; /* outbound */
	int32_t out_frames;
} connection_t;

struct wwh_peer {
	wwh_peer_options_t options;
	char *cluster;
	char *id;
	char *address;
	int listener;
	int wake[2];
	GThread *thread;
	GMutex lock; /* connections, out buffers, progress, stopping */
	bool stopping;
	GPtrArray *connections; /* connection_t * */
	wwh_counter_t *counts[COUNT_COUNT];
	wwh_counters_t *own_counters; /* when none were given */
};

static wwh_status_t enqueue(connection_t *connection, wwh_frame_kind_t kind,
			    const uint8_t *payload, size_t size);
static gpointer run(gpointer data);
static bool list_polled(wwh_peer_t *peer, GArray *polled, GPtrArray *served);
static void serve(wwh_peer_t *peer, GArray *polled, GPtrArray *served);
static void remove_closing(wwh_peer_t *peer);
static void accept_one(wwh_peer_t *peer);
static void handle(connection_t *connection, short events);
static void receive(connection_t *connection);
static bool on_frame(wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data);
static void transmit(connection_t *connection);
static void check_age(connection_t *connection, int64_t now_ms);
static connection_t *connection_new(wwh_peer_t *peer, int fd, bool inbound);
static void connection_free(gpointer data);
static connection_t *outbound_to(wwh_peer_t *peer, const char *address);
static int32_t count_connections(const wwh_peer_t *peer, bool inbound);
static void wake(wwh_peer_t *peer);
static void count(wwh_peer_t *peer, count_t which, int64_t amount);
static int64_t clock_ms(void);

void wwh_peer_options_defaults(wwh_peer_options_t *options)
{
	*options = (wwh_peer_options_t){
		.max_connections = 256,
		.max_payload = WWH_FRAME_PAYLOAD_MAX,
		.max_waiting_bytes = 2 * WWH_FRAME_PAYLOAD_MAX,
		.stall_ms = 4000,
		.idle_ms = 30000,
	};
}

wwh_peer_t *wwh_peer_new(const wwh_peer_options_t *options)
{
	wwh_peer_t *peer = g_new0(wwh_peer_t, 1);
	wwh_counters_t *counters = options->counters;

	assert(options->on_frame != NULL);
	peer->options = *options;
	peer->cluster = g_strdup(options->cluster);
	peer->id = g_strdup(options->id);
	peer->listener = -1;
	peer->wake[0] = -1;
	peer->wake[1] = -1;
	g_mutex_init(&peer->lock);
	peer->connections = g_ptr_array_new_with_free_func(connection_free);
	if (counters == NULL) {
		peer->own_counters = wwh_counters_new();
		counters = peer->own_counters;
	}
	for (int i = 0; i < COUNT_COUNT; i++)
		peer->counts[i] = wwh_counters_get(counters, count_names[i]);
	return peer;
}

wwh_status_t wwh_peer_init(wwh_peer_t *peer, wwh_message_t *message)
{
	peer->listener =
		wwh_peer_socket_listen(peer->options.listen, &peer->address);
	if (peer->listener < 0) {
		wwh_message_set(message, "peer: can't listen on %s",
				peer->options.listen);
		return WWH_STATUS_IO;
	}
	if (pipe2(peer->wake, O_NONBLOCK | O_CLOEXEC) != 0) {
		wwh_message_set(message, "peer: no pipe");
		return WWH_STATUS_IO;
	}
	peer->thread = g_thread_try_new("peer", run, peer, NULL);
	if (peer->thread == NULL) {
		wwh_message_set(message, "peer: no thread");
		return WWH_STATUS_LIMIT;
	}
	return WWH_STATUS_OK;
}

void wwh_peer_finish(wwh_peer_t *peer)
{
	if (peer->thread == NULL)
		return;
	g_mutex_lock(&peer->lock);
	peer->stopping = true;
	g_mutex_unlock(&peer->lock);
	wake(peer);
	g_thread_join(peer->thread);
	peer->thread = NULL;
}

void wwh_peer_delete(wwh_peer_t *peer)
{
	if (peer == NULL)
		return;
	assert(peer->thread == NULL);
	g_ptr_array_unref(peer->connections);
	if (peer->listener >= 0)
		close(peer->listener);
	for (int i = 0; i < 2; i++)
		if (peer->wake[i] >= 0)
			close(peer->wake[i]);
	wwh_counters_delete(peer->own_counters);
	g_mutex_clear(&peer->lock);
	g_free(peer->address);
	g_free(peer->cluster);
	g_free(peer->id);
	g_free(peer);
}

const char *wwh_peer_address(const wwh_peer_t *peer)
{
	return peer->address;
}

wwh_status_t wwh_peer_send(wwh_peer_t *peer, const char *address,
			   wwh_frame_kind_t kind, const uint8_t *payload,
			   size_t size)
{
	wwh_status_t status = WWH_STATUS_OK;
	connection_t *connection;

	g_mutex_lock(&peer->lock);
	connection = outbound_to(peer, address);
	if (connection == NULL)
		status = count_connections(peer, false) >=
					 peer->options.max_connections
				 ? WWH_STATUS_LIMIT
				 : WWH_STATUS_BAD_INPUT;
	else if (connection->out->len + WWH_FRAME_HEADER_BYTES + size >
		 peer->options.max_waiting_bytes)
		status = WWH_STATUS_LIMIT;
	else
		status = enqueue(connection, kind, payload, size);
	if (status == WWH_STATUS_OK)
		connection->out_frames++;
	else
		count(peer, COUNT_DROPPED_FRAMES, 1);
	g_mutex_unlock(&peer->lock);
	wake(peer);
	return status;
}

/* The lock must be held. */
static wwh_status_t enqueue(connection_t *connection, wwh_frame_kind_t kind,
			    const uint8_t *payload, size_t size)
{
	/* The time that a connection was idle is no stall of this frame. */
	if (connection->out->len == 0)
		connection->progress_ms = clock_ms();
	return wwh_frame_write(connection->out, kind, payload, size);
}

static gpointer run(gpointer data)
{
	wwh_peer_t *peer = data;
	GArray *polled = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	GPtrArray *served = g_ptr_array_new();

	while (list_polled(peer, polled, served))
		if (poll((struct pollfd *)(void *)polled->data, polled->len,
			 POLL_MS) >= 0)
			serve(peer, polled, served);
	g_ptr_array_unref(served);
	g_array_unref(polled);
	return NULL;
}

/* false: the thread is to end. */
static bool list_polled(wwh_peer_t *peer, GArray *polled, GPtrArray *served)
{
	struct pollfd wake_fd = { peer->wake[0], POLLIN, 0 };
	struct pollfd listen_fd = { peer->listener, POLLIN, 0 };
	bool stopping;

	g_array_set_size(polled, 0);
	g_ptr_array_set_size(served, 0);
	g_array_append_val(polled, wake_fd);
	g_array_append_val(polled, listen_fd);
	g_mutex_lock(&peer->lock);
	for (guint i = 0; i < peer->connections->len; i++) {
		connection_t *c = peer->connections->pdata[i];
		struct pollfd fd = { c->fd, POLLIN, 0 };

		if (c->connecting || (!c->inbound && c->out->len > 0))
			fd.events |= POLLOUT;
		g_array_append_val(polled, fd);
		g_ptr_array_add(served, c);
	}
	stopping = peer->stopping;
	g_mutex_unlock(&peer->lock);
	return !stopping;
}

/* Only this thread removes connections, so those in served are alive. */
static void serve(wwh_peer_t *peer, GArray *polled, GPtrArray *served)
{
	const struct pollfd *fds = (struct pollfd *)(void *)polled->data;
	int64_t now_ms = clock_ms();
	char bytes[64];

	if (fds[POLL_WAKE].revents != 0)
		while (read(peer->wake[0], bytes, sizeof(bytes)) > 0)
			;
	for (guint i = 0; i < served->len; i++) {
		connection_t *connection = served->pdata[i];

		if (fds[POLL_FIRST + i].revents != 0)
			handle(connection, fds[POLL_FIRST + i].revents);
		check_age(connection, now_ms);
	}
	if (fds[POLL_LISTENER].revents != 0)
		accept_one(peer);
	remove_closing(peer);
}

static void remove_closing(wwh_peer_t *peer)
{
	g_mutex_lock(&peer->lock);
	for (guint i = peer->connections->len; i > 0; i--) {
		connection_t *c = peer->connections->pdata[i - 1];

		if (!c->closing)
			continue;
		count(peer, COUNT_DROPPED_FRAMES, c->out_frames);
		g_ptr_array_remove_index(peer->connections, i - 1);
	}
	wwh_counter_set(peer->counts[COUNT_CONNECTIONS],
			peer->connections->len);
	g_mutex_unlock(&peer->lock);
}

static void accept_one(wwh_peer_t *peer)
{
	int fd = wwh_peer_socket_accept(peer->listener);

	if (fd < 0)
		return;
	g_mutex_lock(&peer->lock);
	if (count_connections(peer, true) >= peer->options.max_connections) {
		count(peer, COUNT_REFUSED_CONNECTIONS, 1);
		close(fd);
	} else {
		connection_new(peer, fd, true);
	}
	g_mutex_unlock(&peer->lock);
}

static void handle(connection_t *connection, short events)
{
	if (connection->connecting) {
		if (wwh_peer_socket_connected(connection->fd) != 0) {
			count(connection->peer, COUNT_BROKEN, 1);
			connection->closing = true;
			return;
		}
		connection->connecting = false;
	}
	if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
		receive(connection);
	if (!connection->closing && (events & POLLOUT) != 0)
		transmit(connection);
}

static void receive(connection_t *connection)
{
	wwh_peer_t *peer = connection->peer;
	uint8_t buffer[READ_BYTES];
	ssize_t got = recv(connection->fd, buffer, sizeof(buffer), 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		if (got < 0)
			count(peer, COUNT_BROKEN, 1);
		connection->closing = true;
		return;
	}
	count(peer, COUNT_BYTES_IN, got);
	g_mutex_lock(&peer->lock);
	connection->progress_ms = clock_ms();
	g_mutex_unlock(&peer->lock);
	if (!connection->inbound ||
	    wwh_frame_reader_feed(connection->reader, buffer, (size_t)got,
				  on_frame, connection) != WWH_STATUS_OK) {
		count(peer, COUNT_REFUSED_FRAMES, 1);
		connection->closing = true;
	}
}

static bool on_frame(wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data)
{
	connection_t *connection = client_data;
	wwh_peer_t *peer = connection->peer;

	if (connection->id == NULL)
		return kind == WWH_FRAME_HELLO &&
		       wwh_peer_hello_read(payload, size, peer->cluster,
					   &connection->id,
					   &connection->address);
	if (kind == WWH_FRAME_HELLO)
		return false;
	count(peer, COUNT_FRAMES_IN, 1);
	peer->options.on_frame(connection->id, connection->address, kind,
			       payload, size, peer->options.client_data);
	return true;
}

static void transmit(connection_t *connection)
{
	wwh_peer_t *peer = connection->peer;
	ssize_t sent = 0;

	g_mutex_lock(&peer->lock);
	if (connection->out->len > 0)
		sent = send(connection->fd, connection->out->data,
			    connection->out->len, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		count(peer, COUNT_BROKEN, 1);
		connection->closing = true;
	}
	if (sent > 0) {
		g_byte_array_remove_range(connection->out, 0, (guint)sent);
		connection->progress_ms = clock_ms();
		count(peer, COUNT_BYTES_OUT, sent);
	}
	if (connection->out->len == 0) {
		count(peer, COUNT_FRAMES_OUT, connection->out_frames);
		connection->out_frames = 0;
	}
	g_mutex_unlock(&peer->lock);
}

static void check_age(connection_t *connection, int64_t now_ms)
{
	wwh_peer_t *peer = connection->peer;
	bool waits = connection->connecting;
	int64_t age_ms;

	g_mutex_lock(&peer->lock);
	age_ms = now_ms - connection->progress_ms;
	if (connection->inbound)
		waits = connection->id == NULL ||
			wwh_frame_reader_buffered_bytes(connection->reader) > 0;
	else
		waits = waits || connection->out->len > 0;
	g_mutex_unlock(&peer->lock);
	if (waits && age_ms > peer->options.stall_ms) {
		count(peer, COUNT_BROKEN, 1);
		connection->closing = true;
	} else if (age_ms > peer->options.idle_ms) {
		connection->closing = true;
	}
}

/* The lock must be held. */
static connection_t *connection_new(wwh_peer_t *peer, int fd, bool inbound)
{
	connection_t *connection = g_new0(connection_t, 1);

	connection->peer = peer;
	connection->fd = fd;
	connection->inbound = inbound;
	connection->progress_ms = clock_ms();
	connection->out = g_byte_array_new();
	if (inbound)
		connection->reader =
			wwh_frame_reader_new(peer->options.max_payload);
	g_ptr_array_add(peer->connections, connection);
	return connection;
}

static void connection_free(gpointer data)
{
	connection_t *connection = data;

	close(connection->fd);
	wwh_frame_reader_delete(connection->reader);
	g_byte_array_unref(connection->out);
	g_free(connection->address);
	g_free(connection->id);
	g_free(connection);
}

/* The lock must be held. NULL: none can be opened. */
static connection_t *outbound_to(wwh_peer_t *peer, const char *address)
{
	connection_t *connection;
	int fd;

	for (guint i = 0; i < peer->connections->len; i++) {
		connection = peer->connections->pdata[i];
		if (!connection->inbound && !connection->closing &&
		    strcmp(connection->address, address) == 0)
			return connection;
	}
	if (count_connections(peer, false) >= peer->options.max_connections)
		return NULL;
	fd = wwh_peer_socket_connect(address, peer->options.stall_ms);
	if (fd < 0)
		return NULL;
	connection = connection_new(peer, fd, false);
	connection->address = g_strdup(address);
	connection->connecting = true;
	wwh_peer_hello_write(connection->out, peer->cluster, peer->id,
			     peer->address);
	return connection;
}

static int32_t count_connections(const wwh_peer_t *peer, bool inbound)
{
	int32_t found = 0;

	for (guint i = 0; i < peer->connections->len; i++) {
		const connection_t *c = peer->connections->pdata[i];

		if (c->inbound == inbound)
			found++;
	}
	return found;
}

/* A full pipe wakes the thread as well. */
static void wake(wwh_peer_t *peer)
{
	ssize_t written = write(peer->wake[1], "", 1);

	(void)written;
}

static void count(wwh_peer_t *peer, count_t which, int64_t amount)
{
	wwh_counter_add(peer->counts[which], amount);
}

static int64_t clock_ms(void)
{
	return g_get_monotonic_time() / 1000;
}
