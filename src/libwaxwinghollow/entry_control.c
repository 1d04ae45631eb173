#include "private/entry_control.h"

#include "private/entry_fleet.h"
#include "private/entry_keys.h"
#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/entry_seats.h"
#include "private/request_table.h"

#define ROUND_MS 100
#define MILLISECOND_US 1000
#define KEYS_PERIOD_MS 1000

/* Seats not released within this limit are left to the other members. */
#define SEATS_RELEASE_LIMIT_MS 3000

struct wwh_entry_control {
	wwh_entry_t *entry;
	GMutex lock;
	bool stopping; /* under lock */
	GThread *seat_thread;
	GThread *list_thread;
	wwh_entry_keys_t *keys;
	wwh_counter_t *list_failures;
};

static gpointer seat_main(gpointer data);
static gpointer list_main(gpointer data);
static void release_seats(wwh_entry_control_t *control);
static void read_host_list(wwh_entry_control_t *control);
static void on_host(const wwh_host_t *host, void *client_data);
static bool is_stopping(wwh_entry_control_t *control);

wwh_entry_control_t *wwh_entry_control_new(wwh_entry_t *entry)
{
	wwh_entry_control_t *control = g_new0(wwh_entry_control_t, 1);

	control->entry = entry;
	g_mutex_init(&control->lock);
	control->keys = wwh_entry_keys_new(entry);
	control->list_failures =
		wwh_counters_get(entry->counters, "hosts.list_failures");
	return control;
}

void wwh_entry_control_start(wwh_entry_control_t *control)
{
	control->seat_thread = g_thread_new("seats", seat_main, control);
	control->list_thread = g_thread_new("hosts", list_main, control);
}

void wwh_entry_control_finish(wwh_entry_control_t *control)
{
	g_mutex_lock(&control->lock);
	control->stopping = true;
	g_mutex_unlock(&control->lock);
	if (control->seat_thread != NULL)
		g_thread_join(control->seat_thread);
	if (control->list_thread != NULL)
		g_thread_join(control->list_thread);
	control->seat_thread = NULL;
	control->list_thread = NULL;
}

void wwh_entry_control_delete(wwh_entry_control_t *control)
{
	if (control == NULL)
		return;
	wwh_entry_control_finish(control);
	wwh_entry_keys_delete(control->keys);
	g_mutex_clear(&control->lock);
	g_free(control);
}

static gpointer seat_main(gpointer data)
{
	wwh_entry_control_t *control = data;
	wwh_entry_t *entry = control->entry;

	while (!is_stopping(control)) {
		if (wwh_entry_log_caught_up(entry->log)) {
			wwh_entry_phase_event(entry, WWH_PHASE_EVENT_CAUGHT_UP);
			wwh_seats_round(entry->seats, false);
		}
		wwh_upstream_sweep(entry->upstream);
		wwh_entry_log_publish_snapshots(entry->log);
		g_usleep(ROUND_MS * MILLISECOND_US);
	}
	release_seats(control);
	return NULL;
}

static void release_seats(wwh_entry_control_t *control)
{
	int64_t end_ms = wwh_now_ms() + SEATS_RELEASE_LIMIT_MS;

	while (!wwh_seats_has_left(control->entry->seats) &&
	       wwh_now_ms() < end_ms) {
		wwh_seats_round(control->entry->seats, true);
		g_usleep(MILLISECOND_US);
	}
}

static gpointer list_main(gpointer data)
{
	wwh_entry_control_t *control = data;
	int64_t next_ms = 0;
	int64_t next_keys_ms = 0;

	while (!is_stopping(control)) {
		if (wwh_now_ms() >= next_ms) {
			read_host_list(control);
			next_ms = wwh_now_ms() +
				  control->entry->settings->host_list_period_ms;
		}
		if (wwh_entry_log_caught_up(control->entry->log) &&
		    wwh_now_ms() >= next_keys_ms) {
			wwh_entry_keys_round(control->keys);
			next_keys_ms = wwh_now_ms() + KEYS_PERIOD_MS;
		}
		g_usleep(ROUND_MS * MILLISECOND_US);
	}
	return NULL;
}

static void read_host_list(wwh_entry_control_t *control)
{
	wwh_entry_t *entry = control->entry;
	wwh_platform_t *platform = &entry->platform;
	wwh_status_t status;

	wwh_entry_peers_list_begin(entry->peers);
	status = platform->hosts(platform->context,
				 entry->settings->platform_timeout_ms, on_host,
				 entry);
	/* readable rows are used even if other rows are malformed */
	if (status == WWH_STATUS_OK || status == WWH_STATUS_BAD_INPUT)
		wwh_entry_peers_list_end(entry->peers, status == WWH_STATUS_OK);
	if (status != WWH_STATUS_OK)
		wwh_counter_add(control->list_failures, 1);
}

static void on_host(const wwh_host_t *host, void *client_data)
{
	wwh_entry_t *entry = client_data;

	wwh_entry_peers_list_host(entry->peers, host);
	wwh_entry_fleet_observe_host(entry->fleet, host);
	if (host->kind == WWH_HOST_ENTRY)
		wwh_seats_set_host_gone(entry->seats, host->id,
					host->state == WWH_HOST_GONE);
}

static bool is_stopping(wwh_entry_control_t *control)
{
	bool stopping;

	g_mutex_lock(&control->lock);
	stopping = control->stopping;
	g_mutex_unlock(&control->lock);
	return stopping;
}
