#include "soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX_BYTES (8 << 20)

/*
 * Below the ports of outgoing connections, which might take one while the process
 * that listens there is down.
 */
#define FIRST_PORT 12000
#define LAST_PORT 32000
#define BLOCK_PORTS 1000

typedef struct {
	struct evhttp_request *request;
	struct evbuffer *body;
	int32_t status;
} late_answer_t;

struct evhttp *soak_listen(int *port,
			   void (*serve)(struct evhttp_request *, void *),
			   void *data)
{
	struct evhttp *http = evhttp_new(soak.base);

	if (*port == 0)
		*port = soak_free_port();
	evhttp_set_max_body_size(http, BODY_MAX_BYTES);
	evhttp_set_gencb(http, serve, data);
	if (evhttp_bind_socket(http, SOAK_LOOPBACK, (uint16_t)*port) != 0) {
		fprintf(stderr, "soak: can't listen at port %d: %s\n", *port,
			strerror(errno));
		exit(2);
	}
	return http;
}

static bool is_free(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	inet_pton(AF_INET, SOAK_LOOPBACK, &address.sin_addr);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

bool soak_is_listening(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	inet_pton(AF_INET, SOAK_LOOPBACK, &address.sin_addr);
	ok = connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

/* Runs side by side use blocks of their own, of which each holds one port. */
static int claim_block(void)
{
	for (int first = FIRST_PORT; first < LAST_PORT; first += BLOCK_PORTS) {
		struct sockaddr_in address = {
			.sin_family = AF_INET,
			.sin_port = htons((uint16_t)first),
		};
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

		inet_pton(AF_INET, SOAK_LOOPBACK, &address.sin_addr);
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
			return first; /* held until the run ends */
		close(fd);
	}
	fprintf(stderr, "soak: no free block of ports\n");
	exit(2);
}

int soak_free_port(void)
{
	static int first;
	static int last;

	if (first == 0) {
		first = claim_block();
		last = first;
	}
	while (++last < first + BLOCK_PORTS) {
		if (is_free(last))
			return last;
	}
	fprintf(stderr, "soak: no free port\n");
	exit(2);
}

int soak_port_of(struct evhttp_request *request)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	if (connection == NULL)
		return 0;
	(void)getsockname(bufferevent_getfd(evhttp_connection_get_bufferevent(
				  connection)),
			  (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

static void send_late(void *data)
{
	late_answer_t *late = data;

	evhttp_send_reply(late->request, late->status, "-", late->body);
	evbuffer_free(late->body);
	g_free(late);
}

void soak_answer(struct evhttp_request *request, int32_t status,
		 const char *text, int64_t delay_ms)
{
	late_answer_t *late = g_new0(late_answer_t, 1);

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	late->request = request;
	late->status = status;
	late->body = evbuffer_new();
	evbuffer_add(late->body, text, strlen(text));
	if (delay_ms > 0)
		soak_after(delay_ms, send_late, late);
	else
		send_late(late);
}

void soak_answer_bytes(struct evhttp_request *request, struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/octet-stream");
	evhttp_send_reply(request, 200, "-", body);
	evbuffer_free(body);
}

JsonNode *soak_parse_body(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	gssize size = (gssize)evbuffer_get_length(input);
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (size > 0 &&
	    json_parser_load_from_data(parser,
				       (const char *)evbuffer_pullup(input, -1),
				       size, NULL))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	if (root != NULL && !JSON_NODE_HOLDS_OBJECT(root))
		g_clear_pointer(&root, json_node_unref);
	return root;
}

int64_t soak_number(JsonObject *object, const char *name, int64_t fallback)
{
	return json_object_has_member(object, name)
		       ? json_object_get_int_member(object, name)
		       : fallback;
}
