#include "private/job_service_state.h"
#include "wire_caller.h"

static bool keys_are_stale(wwh_job_service_t *service);
static void refuse(const job_call_t *call, wwh_access_t access,
		   wwh_http_response_t *response);

bool job_service_authenticate(job_call_t *call, wwh_http_response_t *response)
{
	wwh_job_service_t *service = call->service;
	wwh_access_t access;
	char *key;

	if (call->config->api_keys == NULL || call->queue->is_public)
		return true;
	if (keys_are_stale(service)) {
		wwh_event_log_write(service->log, "not-authenticated",
				    call->path, "access=configuration-unread");
		wwh_listener_set_observed_error(
			response, WWH_ERROR_NO_CONFIGURATION,
			job_service_config_wait_ms(call->service));
		return false;
	}
	key = wire_caller_api_key(call->http->headers);
	access = wwh_api_keys_check(call->config->api_keys, key,
				    &call->workspace);
	g_free(key);
	if (access != WWH_ACCESS_GRANTED)
		refuse(call, access, response);
	return access == WWH_ACCESS_GRANTED;
}

/*
 * Whether the configuration has been unreadable for the time limit of API keys.
 * Without the limit, a removed key would stay valid until the configuration can
 * be read again.
 */
static bool keys_are_stale(wwh_job_service_t *service)
{
	int64_t unread_since_ms;
	int64_t limit_ms;

	g_mutex_lock(&service->lock);
	unread_since_ms = service->config_unread_since_ms;
	limit_ms = service->keys_fail_after_ms;
	g_mutex_unlock(&service->lock);
	return limit_ms > 0 && unread_since_ms != 0 &&
	       job_service_now_ms() - unread_since_ms >= limit_ms;
}

static void refuse(const job_call_t *call, wwh_access_t access,
		   wwh_http_response_t *response)
{
	wwh_counter_add(call->service->unauthorized, 1);
	wwh_event_log_printf(call->service->log, "not-authenticated",
			     call->path, "access=%s config=%" G_GINT64_FORMAT,
			     wwh_access_names[access], call->config->version);
	wwh_listener_set_error(response, WWH_ERROR_UNAUTHORIZED, 0);
	wwh_headers_add(response->headers, "WWW-Authenticate",
			wire_caller_challenge());
}
