#include <string.h>
#include <time.h>

#include "private/job_service_state.h"

/*
 * Interval of the hellos by which the holder knows this process. Two may be
 * lost before the holder stops using it.
 */
#define HELLO_INTERVAL_MS 2000
#define HELLO_TIMEOUT_MS 1000

#define NANOSECONDS_PER_US 1000

static void send_hello(wwh_job_service_t *service, int64_t now_ms);
static bool has_other_holder(const wwh_job_service_t *service);
static void on_hello_answered(const wwh_http_answer_t *answer, void *data);

void job_service_make_relay(wwh_job_service_t *service)
{
	wwh_relay_service_options_t options =
		wwh_relay_service_options_defaults();

	if (!service->settings.relay_orders)
		return;
	options.calls = service->calls;
	options.counters = service->counters;
	options.clock_ms = job_service_now_ms;
	service->relay = wwh_relay_service_new(&options);
}

void job_service_run_relay(wwh_job_service_t *service, int64_t now_ms,
			   bool stopping)
{
	wwh_relay_hello_t hello;

	if (service->relay == NULL)
		return;
	if (stopping)
		wwh_relay_service_stop(service->relay);
	wwh_relay_service_run(service->relay);
	while (wwh_relay_service_take_hello(service->relay, &hello)) {
		if (service->holder != NULL)
			wwh_job_holder_handle_hello(service->holder, &hello);
	}
	if (!stopping && has_other_holder(service) &&
	    !service->hello_in_flight &&
	    (now_ms - service->hello_sent_ms >= HELLO_INTERVAL_MS ||
	     g_strcmp0(service->hello_sent_to, service->holder_address) != 0))
		send_hello(service, now_ms);
}

bool job_service_relay_is_idle(const wwh_job_service_t *service)
{
	return service->relay == NULL ||
	       wwh_relay_service_is_idle(service->relay);
}

int64_t job_service_cpu_us(void)
{
	struct timespec time;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * G_USEC_PER_SEC +
	       time.tv_nsec / NANOSECONDS_PER_US;
}

static void send_hello(wwh_job_service_t *service, int64_t now_ms)
{
	wwh_relay_hello_t hello = {
		.cpu_permille = MAX(service->settings.cpu_permille, 1),
		.incarnation = wwh_relay_service_incarnation(service->relay),
		.clock_ms = job_service_now_ms(),
	};
	wwh_http_call_t *call = wwh_http_call_new(
		"POST", service->holder_address, HELLO_TIMEOUT_MS);

	g_strlcpy(hello.address, service->own_address, sizeof(hello.address));
	call->path = g_strdup(WWH_RELAY_HELLO_PATH);
	call->content_type = WWH_RELAY_CONTENT_TYPE;
	call->body = g_byte_array_new();
	wwh_relay_hello_encode(call->body, &hello);
	g_free(service->hello_sent_to);
	service->hello_sent_to = g_strdup(service->holder_address);
	service->hello_sent_ms = now_ms;
	service->hello_in_flight = true;
	wwh_http_calls_send(service->calls, call, on_hello_answered, service);
}

static bool has_other_holder(const wwh_job_service_t *service)
{
	return service->holder == NULL && service->holder_address != NULL &&
	       strcmp(service->holder_address, service->own_address) != 0;
}

/* A hello without effect is repeated with the next one. */
static void on_hello_answered(const wwh_http_answer_t *answer, void *data)
{
	wwh_job_service_t *service = data;

	(void)answer;
	service->hello_in_flight = false;
}
