#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwinghollow/peer.h"

#define WAIT_TIMEOUT_US (20 * G_USEC_PER_SEC)

static const uint8_t payload[] = { 0x92, 7, 8 };

typedef struct {
	GMutex lock;
	GCond received;
	int32_t frames;
	char *from_id;
	char *from_address;
} inbox_t;

static void on_frame(const char *from_id, const char *from_address,
		     wwh_frame_kind_t kind, const uint8_t *data, size_t size,
		     void *client_data)
{
	inbox_t *inbox = client_data;

	assert_int_equal(kind, WWH_FRAME_GOSSIP);
	assert_int_equal(size, sizeof(payload));
	assert_memory_equal(data, payload, size);
	g_mutex_lock(&inbox->lock);
	inbox->frames++;
	g_free(inbox->from_id);
	inbox->from_id = g_strdup(from_id);
	g_free(inbox->from_address);
	inbox->from_address = g_strdup(from_address);
	g_cond_broadcast(&inbox->received);
	g_mutex_unlock(&inbox->lock);
}

static void wait_frames(inbox_t *inbox, int32_t frames)
{
	int64_t end = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	g_mutex_lock(&inbox->lock);
	while (inbox->frames < frames)
		assert_true(
			g_cond_wait_until(&inbox->received, &inbox->lock, end));
	g_mutex_unlock(&inbox->lock);
}

static void wait_count(wwh_counters_t *counters, const char *name,
		       int64_t value)
{
	int64_t end = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (wwh_counter_value(wwh_counters_get(counters, name)) < value) {
		assert_true(g_get_monotonic_time() < end);
		g_usleep(1000);
	}
}

static char *free_address(const char *ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size),
			 0);
	close(fd);
	return g_strdup_printf("%s:%d", ip, ntohs(address.sin_port));
}

typedef struct {
	wwh_peer_t *peer;
	wwh_counters_t *counters;
	inbox_t inbox;
} node_t;

static void node_start(node_t *node, const char *cluster, const char *id,
		       int32_t max_connections)
{
	char *address = free_address("127.0.0.1");
	wwh_peer_options_t options;

	*node = (node_t){ .counters = wwh_counters_new() };
	g_mutex_init(&node->inbox.lock);
	g_cond_init(&node->inbox.received);
	wwh_peer_options_defaults(&options);
	options.cluster = cluster;
	options.id = id;
	options.listen = address;
	options.max_connections = max_connections;
	options.max_waiting_bytes = 4096;
	options.counters = node->counters;
	options.on_frame = on_frame;
	options.client_data = &node->inbox;
	node->peer = wwh_peer_new(&options);
	assert_int_equal(wwh_peer_init(node->peer, NULL), WWH_STATUS_OK);
	g_free(address);
}

static void node_stop(node_t *node)
{
	wwh_peer_finish(node->peer);
	wwh_peer_delete(node->peer);
	wwh_counters_delete(node->counters);
	g_cond_clear(&node->inbox.received);
	g_mutex_clear(&node->inbox.lock);
	g_free(node->inbox.from_id);
	g_free(node->inbox.from_address);
}

static wwh_status_t send_to(node_t *node, const char *address)
{
	return wwh_peer_send(node->peer, address, WWH_FRAME_GOSSIP, payload,
			     sizeof(payload));
}

static int connect_raw(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons(
		(uint16_t)g_ascii_strtoull(strchr(address, ':') + 1, NULL, 10));
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static void frames_reach_the_peer_with_their_sender(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "test", "a", 8);
	node_start(&b, "test", "b", 8);
	for (int i = 0; i < 5; i++)
		assert_int_equal(send_to(&a, wwh_peer_address(b.peer)),
				 WWH_STATUS_OK);
	wait_frames(&b.inbox, 5);
	assert_string_equal(b.inbox.from_id, "a");
	assert_string_equal(b.inbox.from_address, wwh_peer_address(a.peer));
	assert_int_equal(send_to(&b, b.inbox.from_address), WWH_STATUS_OK);
	wait_frames(&a.inbox, 1);
	assert_int_equal(send_to(&a, "example.org:1"), WWH_STATUS_BAD_INPUT);
	node_stop(&a);
	node_stop(&b);
}

/*
 * Connections from a test system with a wrong address and from a port scanner
 * are rejected and counted, and the real peers continue to exchange frames.
 */
static void foreign_connections_are_rejected(void **unused)
{
	node_t a;
	node_t b;
	node_t other;
	char byte;
	int fd;

	(void)unused;
	node_start(&a, "test", "a", 8);
	node_start(&b, "test", "b", 8);
	node_start(&other, "trial", "c", 8);
	send_to(&other, wwh_peer_address(b.peer));
	wait_count(b.counters, "peer.refused_frames", 1);
	fd = connect_raw(wwh_peer_address(b.peer));
	assert_true(send(fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL) > 0);
	assert_true(recv(fd, &byte, 1, 0) <= 0);
	close(fd);
	wait_count(b.counters, "peer.refused_frames", 2);
	send_to(&a, wwh_peer_address(b.peer));
	wait_frames(&b.inbox, 1);
	assert_int_equal(b.inbox.frames, 1);
	node_stop(&a);
	node_stop(&b);
	node_stop(&other);
}

/* A peer that accepts connections but never reads must not exhaust memory. */
static void queued_bytes_are_bounded(void **unused)
{
	char *address = free_address("127.0.0.1");
	uint8_t large[2048] = { 0xc5, 0x07, 0xfd };
	wwh_status_t status = WWH_STATUS_OK;
	node_t a;
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to = { .sin_family = AF_INET };

	(void)unused;
	to.sin_port = htons(
		(uint16_t)g_ascii_strtoull(strchr(address, ':') + 1, NULL, 10));
	assert_int_equal(bind(listener, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_int_equal(listen(listener, 1), 0);
	node_start(&a, "test", "a", 1);
	for (int i = 0; status == WWH_STATUS_OK && i < 100000; i++)
		status = wwh_peer_send(a.peer, address, WWH_FRAME_GOSSIP, large,
				       sizeof(large));
	assert_int_equal(status, WWH_STATUS_LIMIT);
	assert_int_equal(send_to(&a, "127.0.0.1:9"), WWH_STATUS_LIMIT);
	node_stop(&a);
	close(listener);
	g_free(address);
}

static void connections_are_bounded(void **unused)
{
	node_t b;
	int fds[3];

	(void)unused;
	node_start(&b, "test", "b", 2);
	for (int i = 0; i < 3; i++)
		fds[i] = connect_raw(wwh_peer_address(b.peer));
	wait_count(b.counters, "peer.refused_connections", 1);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
	node_stop(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(frames_reach_the_peer_with_their_sender),
		cmocka_unit_test(foreign_connections_are_rejected),
		cmocka_unit_test(queued_bytes_are_bounded),
		cmocka_unit_test(connections_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
