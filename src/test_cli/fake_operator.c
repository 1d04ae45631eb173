#include "fake_operator.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

struct fake_operator {
	GMutex lock;
	struct MHD_Daemon *daemon;
	char *process;
	char *address;
	GString *members;
	fake_mode_t mode;
	wwh_config_t *config;
	int32_t post_count;
	GString *last_post; /* "PATH BODY" */
};

/* The part of a request's body received so far. */
typedef GByteArray request_body_t;

static enum MHD_Result handle_request(void *context,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **request);
static void free_request(void *context, struct MHD_Connection *connection,
			 void **request, enum MHD_RequestTerminationCode code);
static enum MHD_Result answer_get(fake_operator_t *fake,
				  struct MHD_Connection *connection,
				  const char *url);
static enum MHD_Result answer_config(fake_operator_t *fake,
				     struct MHD_Connection *connection);
static enum MHD_Result answer_post(fake_operator_t *fake,
				   struct MHD_Connection *connection,
				   const char *url, request_body_t *body);
static void apply_change(fake_operator_t *fake, const request_body_t *body);
static enum MHD_Result queue_answer(struct MHD_Connection *connection,
				    unsigned int status, const char *format,
				    ...) __attribute__((format(printf, 3, 4)));
static enum MHD_Result queue_half_answer(struct MHD_Connection *connection);
static ssize_t read_half_body(void *context, uint64_t position, char *buffer,
			      size_t size);

fake_operator_t *fake_operator_new(const char *process)
{
	fake_operator_t *fake = g_new0(fake_operator_t, 1);
	struct sockaddr_in loopback = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	const union MHD_DaemonInfo *info;

	g_mutex_init(&fake->lock);
	fake->process = g_strdup(process);
	fake->members = g_string_new(NULL);
	fake->last_post = g_string_new(NULL);
	fake->config = wwh_config_new();
	fake->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request,
		fake, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&loopback,
		MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL,
		MHD_OPTION_END);
	g_assert_nonnull(fake->daemon);
	info = MHD_get_daemon_info(fake->daemon, MHD_DAEMON_INFO_BIND_PORT);
	fake->address = g_strdup_printf("127.0.0.1:%u", info->port);
	return fake;
}

void fake_operator_delete(fake_operator_t *fake)
{
	MHD_stop_daemon(fake->daemon);
	wwh_config_unref(fake->config);
	g_string_free(fake->members, TRUE);
	g_string_free(fake->last_post, TRUE);
	g_free(fake->process);
	g_free(fake->address);
	g_mutex_clear(&fake->lock);
	g_free(fake);
}

const char *fake_operator_address(const fake_operator_t *fake)
{
	return fake->address;
}

void fake_operator_set_mode(fake_operator_t *fake, fake_mode_t mode)
{
	g_mutex_lock(&fake->lock);
	fake->mode = mode;
	g_mutex_unlock(&fake->lock);
}

void fake_operator_add_member(fake_operator_t *fake, const char *process,
			      const char *address, const char *state)
{
	g_mutex_lock(&fake->lock);
	g_string_append_printf(fake->members,
			       "%s{\"process\": \"%s\", "
			       "\"operator_address\": \"%s\", "
			       "\"state\": \"%s\", \"config_version\": 0}",
			       fake->members->len > 0 ? ", " : "", process,
			       address, state);
	g_mutex_unlock(&fake->lock);
}

void fake_operator_set_config(fake_operator_t *fake, wwh_config_t *config)
{
	g_mutex_lock(&fake->lock);
	wwh_config_unref(fake->config);
	fake->config = config;
	g_mutex_unlock(&fake->lock);
}

int64_t fake_operator_version(fake_operator_t *fake)
{
	int64_t version;

	g_mutex_lock(&fake->lock);
	version = wwh_config_version(fake->config);
	g_mutex_unlock(&fake->lock);
	return version;
}

int32_t fake_operator_post_count(fake_operator_t *fake)
{
	int32_t post_count;

	g_mutex_lock(&fake->lock);
	post_count = fake->post_count;
	g_mutex_unlock(&fake->lock);
	return post_count;
}

char *fake_operator_last_post(fake_operator_t *fake)
{
	char *text;

	g_mutex_lock(&fake->lock);
	text = g_strdup(fake->last_post->str);
	g_mutex_unlock(&fake->lock);
	return text;
}

static enum MHD_Result handle_request(void *context,
				      struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_size, void **request)
{
	fake_operator_t *fake = context;
	enum MHD_Result result;

	(void)version;
	if (*request == NULL) {
		*request = g_byte_array_new();
		return MHD_YES;
	}
	if (*data_size > 0) {
		g_byte_array_append(*request, (const guint8 *)data,
				    (guint)*data_size);
		*data_size = 0;
		return MHD_YES;
	}
	g_mutex_lock(&fake->lock);
	if (strcmp(method, "GET") == 0)
		result = answer_get(fake, connection, url);
	else
		result = answer_post(fake, connection, url, *request);
	g_mutex_unlock(&fake->lock);
	return result;
}

static void free_request(void *context, struct MHD_Connection *connection,
			 void **request, enum MHD_RequestTerminationCode code)
{
	(void)context;
	(void)connection;
	(void)code;
	if (*request != NULL)
		g_byte_array_unref(*request);
}

static enum MHD_Result answer_get(fake_operator_t *fake,
				  struct MHD_Connection *connection,
				  const char *url)
{
	if (fake->mode == FAKE_CLOSES_IN_BODY)
		return queue_half_answer(connection);
	if (fake->mode == FAKE_UNAVAILABLE)
		return queue_answer(connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "{\"verdict\": \"not run\"}");
	if (strcmp(url, "/v1/config") == 0)
		return answer_config(fake, connection);
	return queue_answer(connection, MHD_HTTP_OK,
			    "{\"process\": \"%s\", \"config_version\": "
			    "%" G_GINT64_FORMAT ", \"members\": [%s]}",
			    fake->process, wwh_config_version(fake->config),
			    fake->members->str);
}

static enum MHD_Result answer_config(fake_operator_t *fake,
				     struct MHD_Connection *connection)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *change = wwh_config_diff(empty, fake->config);
	GBytes *bytes = wwh_config_change_encode(change);
	char *version = g_strdup_printf("%" G_GINT64_FORMAT,
					wwh_config_version(fake->config));
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		size, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Config-Version", version);
	result = MHD_queue_response(connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	g_free(version);
	g_bytes_unref(bytes);
	wwh_config_change_delete(change);
	wwh_config_unref(empty);
	return result;
}

static enum MHD_Result answer_post(fake_operator_t *fake,
				   struct MHD_Connection *connection,
				   const char *url, request_body_t *body)
{
	fake->post_count++;
	g_string_printf(fake->last_post, "%s %.*s", url, (int)body->len,
			(const char *)body->data);
	switch (fake->mode) {
	case FAKE_LOSES_REQUEST:
		return MHD_NO;
	case FAKE_CONFLICT:
		return queue_answer(
			connection, MHD_HTTP_CONFLICT,
			"{\"verdict\": \"stale-base\", \"version\": 9, "
			"\"author\": \"ann\"}");
	case FAKE_MALFORMED:
		return queue_answer(connection, 422,
				    "{\"verdict\": \"malformed\", \"message\": "
				    "\"no such pool\"}");
	case FAKE_UNAVAILABLE:
		return queue_answer(connection, MHD_HTTP_SERVICE_UNAVAILABLE,
				    "{\"verdict\": \"not run\"}");
	case FAKE_CLOSES_IN_BODY:
		return queue_half_answer(connection);
	default:
		break;
	}
	if (strcmp(url, "/v1/publish") == 0)
		apply_change(fake, body);
	if (fake->mode == FAKE_LOSES_ANSWER)
		return MHD_NO;
	return queue_answer(connection,
			    fake->mode == FAKE_UNKNOWN ? MHD_HTTP_ACCEPTED
						       : MHD_HTTP_OK,
			    "{\"verdict\": \"accepted\", \"version\": "
			    "%" G_GINT64_FORMAT ", \"offset\": 77}",
			    wwh_config_version(fake->config));
}

static void apply_change(fake_operator_t *fake, const request_body_t *body)
{
	wwh_config_change_t *change;
	wwh_config_t *next;

	g_assert_cmpint(
		wwh_config_change_decode(body->data, body->len, &change, NULL),
		==, WWH_STATUS_OK);
	g_assert_cmpint(wwh_config_apply(fake->config, change,
					 wwh_config_version(fake->config) + 1,
					 &next, NULL),
			==, WWH_STATUS_OK);
	wwh_config_change_delete(change);
	wwh_config_unref(fake->config);
	fake->config = next;
}

static enum MHD_Result queue_answer(struct MHD_Connection *connection,
				    unsigned int status, const char *format,
				    ...)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_COPY);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	g_free(text);
	return result;
}

/* Announces a body of 100 bytes and closes after 50 of them. */
static enum MHD_Result queue_half_answer(struct MHD_Connection *connection)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		100, 50, read_half_body, NULL, NULL);
	enum MHD_Result result =
		MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

static ssize_t read_half_body(void *context, uint64_t position, char *buffer,
			      size_t size)
{
	size_t part = MIN(size, (size_t)50);

	(void)context;
	if (position > 0)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	memset(buffer, ' ', part);
	return (ssize_t)part;
}
