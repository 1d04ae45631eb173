#include <string.h>

#include "private/job_holder_state.h"
#include "wire_hosts.h"
#include "wire_operator.h"
#include "wire_store.h"

#define LIST_TIMEOUT_MS 1500
#define HOST_ORDER_TIMEOUT_MS 1500
#define REPORT_TIMEOUT_MS 1000
#define REPORT_RETRY_MS 250

/* One may have to wait for another one to end. */
#define APPENDS_PER_CONFIRMATION 3

typedef struct {
	wwh_job_holder_t *holder;
	char *host;
	int64_t wave;
} host_order_t;

static int64_t send_limit_ms(const wwh_job_holder_t *holder);
static int64_t confirmed_for_ms(const wwh_job_holder_t *holder);
static void request_page(wwh_job_holder_t *holder);
static void on_page(const wwh_http_answer_t *answer, void *data);
static void on_listed_host(const wwh_listed_host_t *host, void *data);
static void on_upkeep(const wwh_http_answer_t *answer, void *data);
static void on_moved(const wwh_http_answer_t *answer, void *data);
static void on_reported(const wwh_http_answer_t *answer, void *data);

void job_holder_list_hosts(void *client_data)
{
	wwh_job_holder_t *holder = client_data;

	g_clear_pointer(&holder->list_page_token, g_free);
	g_hash_table_remove_all(holder->bad_host_rows);
	wwh_host_duties_list_begin(holder->duties);
	request_page(holder);
}

void job_holder_order_upkeep(const char *host, int64_t wave, void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	host_order_t *order = g_new0(host_order_t, 1);
	wwh_http_call_t *call = wire_hosts_upkeep(
		holder->options.settings->hosts, holder->options.settings->name,
		holder->options.epoch, host, wave, HOST_ORDER_TIMEOUT_MS);

	call->send_timeout_ms = send_limit_ms(holder);
	order->holder = holder;
	order->host = g_strdup(host);
	order->wave = wave;
	holder->host_orders_pending++;
	job_holder_ref(holder);
	wwh_http_calls_send(holder->options.calls, call, on_upkeep, order);
}

void job_holder_order_move(const char *host, const char *pool,
			   void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	host_order_t *order = g_new0(host_order_t, 1);
	wwh_http_call_t *call = wire_hosts_move(
		holder->options.settings->hosts, holder->options.settings->name,
		holder->options.epoch, host, pool, HOST_ORDER_TIMEOUT_MS);

	call->send_timeout_ms = send_limit_ms(holder);
	order->holder = holder;
	order->host = g_strdup(host);
	holder->host_orders_pending++;
	job_holder_ref(holder);
	wwh_http_calls_send(holder->options.calls, call, on_moved, order);
}

/* An order isn't sent after a wait in which another holder may have taken over. */
static int64_t send_limit_ms(const wwh_job_holder_t *holder)
{
	int64_t until_ms = wwh_scheduler_authority_ms(holder->scheduler) +
			   STORE_REACHABLE_FOR_MS;

	return MAX(until_ms - holder->now_ms, 1);
}

void job_holder_report_wave(const wwh_wave_order_t *order, bool completed,
			    void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	GBytes *state = wire_operator_wave_state(order, completed);
	char *key = wire_operator_wave_key(order->number);
	GByteArray *body = g_byte_array_new();
	gsize size;
	const uint8_t *data = g_bytes_get_data(state, &size);

	wire_store_pack_record(body, key, data, size);
	g_ptr_array_add(holder->reports, body);
	g_bytes_unref(state);
	g_free(key);
	job_holder_send_wave_reports(holder);
}

/* A slow store confirms the claim as late as it answers. */
static int64_t confirmed_for_ms(const wwh_job_holder_t *holder)
{
	return MAX(STORE_REACHABLE_FOR_MS,
		   APPENDS_PER_CONFIRMATION *
			   wwh_shard_journal_last_append_duration_ms(
				   holder->journal));
}

/*
 * Sent in order, so that "active" can't overwrite a later "completed". The topic is
 * the operator's and checks no epochs, so a holder that may have been replaced waits
 * until its claim is confirmed.
 */
void job_holder_send_wave_reports(wwh_job_holder_t *holder)
{
	wire_writer_t writer = { 0 };
	wwh_http_call_t *call;

	if (holder->report_in_flight || holder->reports->len == 0 ||
	    holder->now_ms < holder->report_retry_ms ||
	    holder->now_ms - holder->claimed_ms > confirmed_for_ms(holder))
		return;
	call = wire_store_append(
		holder->options.settings->store, WIRE_TOPIC_STATUS, 0, &writer,
		g_byte_array_ref(g_ptr_array_index(holder->reports, 0)),
		REPORT_TIMEOUT_MS);
	holder->report_in_flight = true;
	job_holder_ref(holder);
	wwh_http_calls_send(holder->options.calls, call, on_reported, holder);
}

static void request_page(wwh_job_holder_t *holder)
{
	wwh_http_call_t *call;

	if (holder->options.settings->hosts == NULL) {
		wwh_host_duties_list_end(holder->duties, false, holder->now_ms);
		return;
	}
	wwh_host_duties_count_page(holder->duties);
	call = wire_hosts_list(holder->options.settings->hosts,
			       holder->list_page_token, LIST_TIMEOUT_MS);
	job_holder_ref(holder);
	wwh_http_calls_send(holder->options.calls, call, on_page, holder);
}

static void on_page(const wwh_http_answer_t *answer, void *data)
{
	wwh_job_holder_t *holder = data;
	char *next = NULL;
	bool ok;

	if (holder->deleted || holder->lost) {
		job_holder_unref(holder);
		return;
	}
	job_holder_update_clock(holder);
	ok = wire_hosts_list_answer(answer, &next, on_listed_host, holder);
	g_free(holder->list_page_token);
	holder->list_page_token = next;
	if (ok && next != NULL) {
		request_page(holder);
	} else {
		if (ok)
			wwh_bad_records_retain(holder->bad_hosts,
					       holder->bad_host_rows);
		wwh_host_duties_list_end(holder->duties, ok, holder->now_ms);
	}
	job_holder_unref(holder);
}

static void on_listed_host(const wwh_listed_host_t *host, void *data)
{
	wwh_job_holder_t *holder = data;
	const char *name = host->name == NULL ? "(nameless)" : host->name;

	if (host->unreadable != NULL) {
		g_hash_table_add(holder->bad_host_rows, g_strdup(name));
		wwh_bad_records_mark_unreadable(holder->bad_hosts, name,
						host->unreadable);
	} else {
		wwh_bad_records_mark_readable(holder->bad_hosts, name);
	}
	wwh_host_duties_list_host(holder->duties, host);
}

static void on_upkeep(const wwh_http_answer_t *answer, void *data)
{
	host_order_t *order = data;
	wwh_job_holder_t *holder = order->holder;
	wwh_duty_result_t result = wire_hosts_duty_answer(answer);

	holder->host_orders_pending--;
	job_holder_update_clock(holder);
	if (!holder->deleted && !holder->lost) {
		wwh_host_duties_handle_upkeep_result(holder->duties,
						     order->host, order->wave,
						     result, holder->now_ms);
		if (result == WWH_DUTY_FENCED)
			job_holder_mark_lost(holder, "fenced-at-upkeep");
	}
	g_free(order->host);
	g_free(order);
	job_holder_unref(holder);
}

static void on_moved(const wwh_http_answer_t *answer, void *data)
{
	host_order_t *order = data;
	wwh_job_holder_t *holder = order->holder;
	wwh_duty_result_t result = wire_hosts_duty_answer(answer);

	holder->host_orders_pending--;
	job_holder_update_clock(holder);
	if (!holder->deleted && !holder->lost) {
		wwh_host_duties_handle_move_result(holder->duties, order->host,
						   result, holder->now_ms);
		if (result == WWH_DUTY_FENCED)
			job_holder_mark_lost(holder, "fenced-at-move");
	}
	g_free(order->host);
	g_free(order);
	job_holder_unref(holder);
}

static void on_reported(const wwh_http_answer_t *answer, void *data)
{
	wwh_job_holder_t *holder = data;
	wire_store_result_t result = wire_store_append_answer(answer);
	bool rejected =
		result == WIRE_STORE_BAD || result == WIRE_STORE_REJECTED;

	job_holder_update_clock(holder);
	holder->report_in_flight = false;
	if (result == WIRE_STORE_OK || rejected) {
		if (rejected)
			g_warning("store rejected a wave state record: HTTP "
				  "status %d",
				  answer->status);
		g_byte_array_unref(g_ptr_array_index(holder->reports, 0));
		g_ptr_array_remove_index(holder->reports, 0);
	} else {
		holder->report_retry_ms = holder->now_ms + REPORT_RETRY_MS;
	}
	job_holder_unref(holder);
}
