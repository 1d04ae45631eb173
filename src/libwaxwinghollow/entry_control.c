#include "private/entry_control.h"

#include <string.h>

#include "private/entry_report.h"
#include "private/request_table.h"
#include "waxwinghollow/limiter.h"

/*
 * Seats divide each minion's 8 slots among 7 to 8 entry processes: with as
 * many seats as slots, no slot is left without an owner.
 */
#define SEAT_COUNT 8
#define SEAT_LEASE_MS 4000
#define ROUND_MS 200
#define MILLISECOND_US 1000

/* A read that is older than this counts as a log that can't be read. */
#define LOG_GAP_MS 3000

/* What the old holder of a seat had started may run as long as this. */
#define ATTEMPT_LIMIT_MS 10000

struct wwh_entry_control {
	wwh_entry_t *entry;
	GMutex lock; /* the keeper and the members */
	wwh_lease_keeper_t *seats;
	uint64_t mask; /* of the seats in the share */
	GPtrArray *members; /* of char *: ids of live entry hosts, sorted */
	bool stopping;
	GThread *lease_thread;
	GThread *list_thread;
	wwh_counter_t *seats_held;
	wwh_counter_t *takes;
	wwh_counter_t *list_failures;
};

static gpointer lease_main(gpointer data);
static gpointer list_main(gpointer data);
static void lease_round(wwh_entry_control_t *control, bool giving);
static void observe(wwh_entry_control_t *control, int64_t now_ms);
static void set_share(wwh_entry_control_t *control, int64_t now_ms);
static void carry_out(wwh_entry_control_t *control,
		      const wwh_lease_action_t *action);
static void read_list(wwh_entry_control_t *control);
static void take_host(const wwh_host_t *host, void *client_data);
static void set_members(wwh_entry_control_t *control, GPtrArray *members);
static bool is_stopping(wwh_entry_control_t *control);
static gint compare_ids(gconstpointer a, gconstpointer b);

wwh_entry_control_t *wwh_entry_control_new(wwh_entry_t *entry)
{
	wwh_entry_control_t *control = g_new0(wwh_entry_control_t, 1);
	wwh_lease_keeper_options_t options =
		wwh_lease_keeper_options_defaults();

	control->entry = entry;
	g_mutex_init(&control->lock);
	options.author = entry->author;
	options.first_shard = WWH_SHARD_SEATS;
	options.shard_count = SEAT_COUNT;
	options.duration_ms = SEAT_LEASE_MS;
	options.grace_ms = ATTEMPT_LIMIT_MS;
	control->seats = wwh_lease_keeper_new(&options);
	control->members = g_ptr_array_new_with_free_func(g_free);
	control->seats_held = wwh_counters_get(entry->counters, "seats.held");
	control->takes = wwh_counters_get(entry->counters, "seats.takes");
	control->list_failures =
		wwh_counters_get(entry->counters, "hosts.list_failures");
	return control;
}

void wwh_entry_control_start(wwh_entry_control_t *control)
{
	control->lease_thread = g_thread_new("leases", lease_main, control);
	control->list_thread = g_thread_new("hosts", list_main, control);
}

void wwh_entry_control_finish(wwh_entry_control_t *control)
{
	g_mutex_lock(&control->lock);
	control->stopping = true;
	g_mutex_unlock(&control->lock);
	if (control->lease_thread != NULL)
		g_thread_join(control->lease_thread);
	if (control->list_thread != NULL)
		g_thread_join(control->list_thread);
	control->lease_thread = NULL;
	control->list_thread = NULL;
}

void wwh_entry_control_delete(wwh_entry_control_t *control)
{
	if (control == NULL)
		return;
	wwh_entry_control_finish(control);
	wwh_lease_keeper_delete(control->seats);
	g_ptr_array_free(control->members, TRUE);
	g_mutex_clear(&control->lock);
	g_free(control);
}

int32_t wwh_entry_control_part(wwh_entry_control_t *control, const char *minion,
			       int32_t total)
{
	int32_t part;

	g_mutex_lock(&control->lock);
	part = wwh_limiter_part(minion, total, SEAT_COUNT, control->mask);
	g_mutex_unlock(&control->lock);
	return MAX(part, 1);
}

void wwh_entry_control_each_member(wwh_entry_control_t *control,
				   JsonBuilder *builder)
{
	g_mutex_lock(&control->lock);
	for (guint i = 0; i < control->members->len; i++) {
		const char *id = g_ptr_array_index(control->members, i);

		json_builder_begin_object(builder);
		wwh_json_string(builder, "process", id);
		wwh_json_string(builder, "state",
				wwh_host_state_names[WWH_HOST_LIVE]);
		json_builder_end_object(builder);
	}
	g_mutex_unlock(&control->lock);
}

static gpointer lease_main(gpointer data)
{
	wwh_entry_control_t *control = data;
	wwh_entry_t *entry = control->entry;

	while (!is_stopping(control)) {
		if (wwh_entry_log_caught_up(entry->log))
			lease_round(control, false);
		wwh_upstream_sweep(entry->upstream);
		g_usleep(ROUND_MS * MILLISECOND_US);
	}
	/* first the share is emptied, then what is at rest is given back */
	lease_round(control, true);
	lease_round(control, true);
	return NULL;
}

static void lease_round(wwh_entry_control_t *control, bool giving)
{
	wwh_entry_t *entry = control->entry;
	int64_t now_ms = wwh_now_ms();
	wwh_lease_action_t action;
	bool settled;
	bool more;

	g_mutex_lock(&control->lock);
	settled = control->mask == 0 ||
		  wwh_request_table_share_settled(entry->requests);
	if (now_ms - wwh_entry_log_read_ms(entry->log) > LOG_GAP_MS)
		wwh_lease_keeper_log_gap(control->seats, now_ms);
	observe(control, now_ms);
	wwh_lease_keeper_begin_round(control->seats, now_ms, giving);
	set_share(control, now_ms);
	more = wwh_lease_keeper_decide(control->seats, now_ms, settled, giving,
				       &action);
	g_mutex_unlock(&control->lock);
	while (more) {
		carry_out(control, &action);
		g_mutex_lock(&control->lock);
		more = wwh_lease_keeper_decide(control->seats, wwh_now_ms(),
					       settled, giving, &action);
		g_mutex_unlock(&control->lock);
	}
	g_mutex_lock(&control->lock);
	set_share(control, wwh_now_ms());
	g_mutex_unlock(&control->lock);
}

static void observe(wwh_entry_control_t *control, int64_t now_ms)
{
	wwh_entry_t *entry = control->entry;

	for (int32_t i = 0; i < SEAT_COUNT; i++) {
		wwh_lease_view_t view;

		g_mutex_lock(&entry->state_lock);
		view = wwh_state_lease(entry->state, WWH_SHARD_SEATS + i);
		wwh_lease_keeper_observe(control->seats, now_ms,
					 WWH_SHARD_SEATS + i, &view);
		g_mutex_unlock(&entry->state_lock);
	}
}

/* The lock is held. */
static void set_share(wwh_entry_control_t *control, int64_t now_ms)
{
	wwh_dispatch_share_t share = {
		.seat_count = SEAT_COUNT,
		.lease_until_ms = INT64_MAX,
	};
	bool shrinks;

	for (int32_t i = 0; i < SEAT_COUNT; i++) {
		int64_t until_ms;

		if (!wwh_lease_keeper_holds(control->seats, now_ms,
					    WWH_SHARD_SEATS + i, &until_ms))
			continue;
		share.seats |= UINT64_C(1) << i;
		share.lease_until_ms = MIN(share.lease_until_ms, until_ms);
	}
	shrinks = (control->mask & ~share.seats) != 0;
	control->mask = share.seats;
	wwh_request_table_set_share(control->entry->requests, &share);
	if (shrinks)
		wwh_upstream_close_idle(control->entry->upstream);
	wwh_counter_set(control->seats_held, __builtin_popcountll(share.seats));
}

static void carry_out(wwh_entry_control_t *control,
		      const wwh_lease_action_t *action)
{
	static const wwh_record_kind_t kinds[WWH_LEASE_ACTION_COUNT] = {
		[WWH_LEASE_TAKE] = WWH_RECORD_LEASE_TAKE,
		[WWH_LEASE_RENEW] = WWH_RECORD_LEASE_RENEW,
		[WWH_LEASE_RELEASE] = WWH_RECORD_LEASE_RELEASE,
	};
	wwh_entry_t *entry = control->entry;
	wwh_submitted_t submitted;
	wwh_record_t record;
	int64_t began_ms = wwh_now_ms();

	wwh_record_init(&record, kinds[action->kind], entry->author);
	record.body.lease.shard = action->shard;
	record.body.lease.offset = action->offset;
	record.body.lease.duration_ms = SEAT_LEASE_MS;
	wwh_entry_log_submit(entry->log, &record,
			     entry->settings->log_append_timeout_ms,
			     &submitted);
	wwh_record_clear(&record);
	if (action->kind == WWH_LEASE_TAKE)
		wwh_counter_add(control->takes, 1);
	if (submitted.status != WWH_STATUS_OK ||
	    submitted.verdict != WWH_VERDICT_ACCEPTED ||
	    action->kind == WWH_LEASE_RELEASE)
		return;
	g_mutex_lock(&control->lock);
	wwh_lease_keeper_confirmed(control->seats, action->shard, began_ms);
	g_mutex_unlock(&control->lock);
}

static gpointer list_main(gpointer data)
{
	wwh_entry_control_t *control = data;
	wwh_entry_t *entry = control->entry;
	int64_t next_ms = 0;

	while (!is_stopping(control)) {
		if (wwh_entry_log_caught_up(entry->log))
			wwh_entry_phase_event(entry, WWH_PHASE_EVENT_CAUGHT_UP);
		if (wwh_now_ms() >= next_ms) {
			read_list(control);
			next_ms = wwh_now_ms() +
				  entry->settings->host_list_period_ms;
		}
		g_usleep(ROUND_MS * MILLISECOND_US);
	}
	return NULL;
}

/* What one reading of the list gathers. */
typedef struct {
	wwh_entry_control_t *control;
	GPtrArray *members;
} reading_t;

static void read_list(wwh_entry_control_t *control)
{
	wwh_platform_t *platform = &control->entry->platform;
	reading_t reading = {
		.control = control,
		.members = g_ptr_array_new_with_free_func(g_free),
	};
	wwh_status_t status =
		platform->hosts(platform->context,
				control->entry->settings->platform_timeout_ms,
				take_host, &reading);

	if (status == WWH_STATUS_OK) {
		set_members(control, reading.members);
	} else {
		wwh_counter_add(control->list_failures, 1);
		g_ptr_array_free(reading.members, TRUE);
	}
}

static void take_host(const wwh_host_t *host, void *client_data)
{
	static const wwh_minion_state_t states[WWH_HOST_STATE_COUNT] = {
		[WWH_HOST_LIVE] = WWH_MINION_LIVE,
		[WWH_HOST_LEAVING] = WWH_MINION_LEAVING,
		[WWH_HOST_GONE] = WWH_MINION_GONE,
	};
	reading_t *reading = client_data;

	if (host->kind == WWH_HOST_MINION)
		wwh_request_table_minion_state(
			reading->control->entry->requests, host->id,
			states[host->state]);
	if (host->kind == WWH_HOST_ENTRY && host->state == WWH_HOST_LIVE)
		g_ptr_array_add(reading->members, g_strdup(host->id));
}

/* Takes members over. A process that the list doesn't have yet adds itself. */
static void set_members(wwh_entry_control_t *control, GPtrArray *members)
{
	const char *own = control->entry->settings->process_id;
	int32_t rank = -1;

	for (guint i = 0; i < members->len; i++) {
		if (strcmp(g_ptr_array_index(members, i), own) == 0)
			rank = 0;
	}
	if (rank < 0)
		g_ptr_array_add(members, g_strdup(own));
	g_ptr_array_sort(members, compare_ids);
	for (guint i = 0; i < members->len; i++) {
		if (strcmp(g_ptr_array_index(members, i), own) == 0)
			rank = (int32_t)i;
	}
	g_mutex_lock(&control->lock);
	g_ptr_array_free(control->members, TRUE);
	control->members = members;
	wwh_lease_keeper_members(control->seats, rank, (int32_t)members->len);
	g_mutex_unlock(&control->lock);
}

static bool is_stopping(wwh_entry_control_t *control)
{
	bool stopping;

	g_mutex_lock(&control->lock);
	stopping = control->stopping;
	g_mutex_unlock(&control->lock);
	return stopping;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}
