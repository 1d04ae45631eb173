#include "private/job_holder_state.h"

#define PERMILLE 1000

static void on_fenced(void *data);

void job_holder_make_relays(wwh_job_holder_t *holder)
{
	const wwh_host_settings_t *settings = holder->options.settings;
	wwh_relay_transport_options_t options =
		wwh_relay_transport_options_defaults();

	if (!settings->relay_orders)
		return;
	options.calls = holder->options.calls;
	options.counters = holder->options.counters;
	options.log = holder->options.log;
	options.self = holder->options.own_address;
	options.epoch = holder->options.epoch;
	options.clock_ms = holder->options.clock_ms;
	/* the loop is one thread; on larger hosts relays come early */
	options.load.cpu_permille = MIN(settings->cpu_permille, PERMILLE);
	options.load.on_permille = settings->relay_on_permille;
	options.load.off_permille = settings->relay_on_permille / 2;
	options.on_fenced = on_fenced;
	options.client_data = holder;
	holder->relays = wwh_relay_transport_new(&options);
}

void job_holder_send(wwh_job_holder_t *holder, wwh_http_call_t *call,
		     wwh_http_done_t done, void *client_data)
{
	if (holder->relays == NULL)
		wwh_http_calls_send(holder->options.calls, call, done,
				    client_data);
	else
		wwh_relay_transport_send(holder->relays, call, done,
					 client_data);
}

void wwh_job_holder_handle_hello(wwh_job_holder_t *holder,
				 const wwh_relay_hello_t *hello)
{
	if (holder->relays != NULL)
		wwh_relay_transport_hello(holder->relays, hello);
}

void wwh_job_holder_add_load(wwh_job_holder_t *holder, int64_t elapsed_us,
			     int64_t busy_us)
{
	if (holder->relays != NULL)
		wwh_relay_transport_add_load(holder->relays, elapsed_us,
					     busy_us);
}

static void on_fenced(void *data)
{
	job_holder_mark_lost(data, "fenced-at-relay");
}
