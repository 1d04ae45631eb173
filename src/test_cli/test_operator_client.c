#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <gio/gio.h>

#include "fake_operator.h"
#include "test_cli.h"
#include "waxwinghollow/operator_client.h"

static wwh_status_t post(const char *server, int32_t timeout_ms,
			 size_t max_answer_bytes)
{
	wwh_operator_options_t options = wwh_operator_options_defaults();
	const wwh_operator_request_t request = {
		.path = "/v1/wave/start",
		.content_type = "application/json",
		.body = "{}",
		.body_size = 2,
	};
	wwh_operator_answer_t answer;
	wwh_message_t message;
	wwh_status_t status;

	options.server = server;
	options.timeout_ms = timeout_ms;
	options.max_answer_bytes = max_answer_bytes;
	status = wwh_operator_call(&options, &request, &answer, &message);
	wwh_operator_answer_clear(&answer);
	return status;
}

/*
 * The entry process answers one POST, reads the next and closes without an
 * answer. On a reused connection libcurl would send the second POST again: the
 * server would receive three, and a wave or job would be started twice. The
 * client must return UNKNOWN instead, and the server must receive two.
 */
void a_post_is_not_retried_on_connection_loss(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");

	(void)unused;
	assert_int_equal(post(fake_operator_address(fake), 5000, 1000),
			 WWH_STATUS_OK);
	fake_operator_set_mode(fake, FAKE_LOSES_REQUEST);
	assert_int_equal(post(fake_operator_address(fake), 5000, 1000),
			 WWH_STATUS_UNKNOWN);
	assert_int_equal(fake_operator_post_count(fake), 2);
	fake_operator_delete(fake);
}

/*
 * A server accepts the connection and sends no answer: the call times out, and
 * whether the request ran is unknown. If no process listens on the port, the
 * request surely did not run.
 */
void a_timeout_is_unknown_and_no_listener_is_unavailable(void **unused)
{
	GSocketListener *listener = g_socket_listener_new();
	guint16 port =
		g_socket_listener_add_any_inet_port(listener, NULL, NULL);
	char *server = g_strdup_printf("127.0.0.1:%u", port);

	(void)unused;
	assert_int_equal(post(server, 50, 1000), WWH_STATUS_UNKNOWN);
	g_socket_listener_close(listener);
	g_object_unref(listener);
	assert_int_equal(post(server, 5000, 1000), WWH_STATUS_UNAVAILABLE);
	g_free(server);
}

void an_answer_above_the_limit_is_rejected(void **unused)
{
	fake_operator_t *fake = fake_operator_new("e1");

	(void)unused;
	assert_int_equal(post(fake_operator_address(fake), 5000, 10),
			 WWH_STATUS_LIMIT);
	fake_operator_delete(fake);
}
