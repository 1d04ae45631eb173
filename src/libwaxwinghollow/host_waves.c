#include <msgpack.h>
#include <string.h>

#include "private/host_duties_state.h"
#include "private/msgpack_bounds.h"

/* A host is drained for this long before its remaining tasks are ended. */
#define DRAIN_WAIT_MS 2000

/* With no more slack than this, a wave doesn't wait for tasks to end. */
#define MIN_SLACK_MS 3000

/*
 * Time limit for relocating lasting tasks that must stay available. They are
 * relocated one by one, and each takes a stop, a start and about a second until
 * it is available again.
 */
#define RELOCATION_LIMIT_MS 7000

/*
 * A host whose tasks couldn't be relocated in time isn't drained again for this
 * long, so that another host gets its slot.
 */
#define NO_DRAIN_DELAY_MS 2500

/*
 * While a wave has more slack than this, it skips hosts of pools that lack
 * hosts: the busy phase of a pool lasts a few seconds, and each host drained
 * during it makes callers wait.
 */
#define BUSY_POOL_MIN_SLACK_MS 10000

/* Time per host in addition to the upkeep itself: draining and listing. */
#define HOST_OVERHEAD_MS 1500

/* Delay before an order is resent that failed or has no known outcome. */
#define RESEND_DELAY_MS 500

/* A host missing from this many consecutive complete lists counts as removed. */
#define REMOVED_AFTER_MISSED_LISTS 3

#define RECORD_DEPTH 2

static bool restore_names(GHashTable *done, const msgpack_object *object);
static bool is_removed(const duty_host_t *host);
static void run_wave(wwh_host_duties_t *duties, duty_wave_t *wave);
static int32_t count_down(wwh_host_duties_t *duties, const duty_wave_t *wave);
static bool is_pending(const duty_wave_t *wave, const duty_host_t *host);
static int64_t slack_ms(const wwh_host_duties_t *duties,
			const duty_wave_t *wave, int32_t pending);
static GPtrArray *pending_hosts_by_cost(wwh_host_duties_t *duties,
					const duty_wave_t *wave);
static gint compare_disruption_cost(gconstpointer a, gconstpointer b);
static int64_t disruption_cost(const duty_host_t *host);
static bool is_needed_by_pool(const wwh_host_duties_t *duties,
			      const duty_host_t *host);
static bool drain_or_order_host(wwh_host_duties_t *duties, duty_wave_t *wave,
				duty_host_t *host, bool urgent);
static void send_upkeep_order(wwh_host_duties_t *duties, duty_wave_t *wave,
			      duty_host_t *host);
static void mark_done(wwh_host_duties_t *duties, duty_wave_t *wave,
		      duty_host_t *host);
static void append_wave_record(wwh_host_duties_t *duties, duty_wave_t *wave);
static void finish_wave(wwh_host_duties_t *duties, duty_wave_t *wave);
static duty_wave_t *find_wave(wwh_host_duties_t *duties, int64_t number);

bool wwh_host_duties_restore(wwh_host_duties_t *duties, const char *key,
			     const uint8_t *value, size_t size,
			     wwh_message_t *message)
{
	GHashTable *done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	msgpack_unpacked unpacked;
	bool ok = false;

	g_hash_table_replace(duties->restored, g_strdup(key), done);
	if (wwh_msgpack_bounded(value, size, RECORD_DEPTH)) {
		msgpack_unpacked_init(&unpacked);
		ok = msgpack_unpack_next(&unpacked, (const char *)value, size,
					 NULL) == MSGPACK_UNPACK_SUCCESS &&
		     restore_names(done, &unpacked.data);
		msgpack_unpacked_destroy(&unpacked);
	}
	if (!ok)
		wwh_message_set(message, "expected a list of host names");
	return ok;
}

/*
 * Restores all names of a list. Returns false if object is no list or any entry
 * isn't a name.
 */
static bool restore_names(GHashTable *done, const msgpack_object *object)
{
	bool ok = true;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *name = &object->via.array.ptr[i];

		if (name->type == MSGPACK_OBJECT_STR)
			g_hash_table_add(done, g_strndup(name->via.str.ptr,
							 name->via.str.size));
		else
			ok = false;
	}
	return ok;
}

void wwh_host_duties_add_wave(wwh_host_duties_t *duties,
			      wwh_wave_order_t *order, int64_t now_ms)
{
	char *key = g_strdup_printf("%" G_GINT64_FORMAT, order->number);
	GHashTable *done = g_hash_table_lookup(duties->restored, key);
	duty_wave_t *wave;

	g_free(key);
	duties->now_ms = MAX(duties->now_ms, now_ms);
	if (find_wave(duties, order->number) != NULL) {
		wwh_wave_order_delete(order);
		return;
	}
	wave = g_new0(duty_wave_t, 1);
	wave->order = order;
	wave->started_ms = duties->now_ms;
	wave->done_hosts =
		done != NULL ? g_hash_table_ref(done)
			     : g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
	g_ptr_array_add(duties->waves, wave);
	duties_log_event(
		duties, "wave-begun", "wave",
		"number=%" G_GINT64_FORMAT " hosts=%u max_down=%d done=%u "
		"duration_ms=%" G_GINT64_FORMAT,
		order->number, order->hosts->len, order->max_down,
		g_hash_table_size(wave->done_hosts), order->duration_ms);
}

void wwh_host_duties_handle_upkeep_result(wwh_host_duties_t *duties,
					  const char *name, int64_t number,
					  wwh_duty_result_t result,
					  int64_t now_ms)
{
	duty_host_t *host = g_hash_table_lookup(duties->hosts, name);
	duty_wave_t *wave = find_wave(duties, number);

	duties->now_ms = MAX(duties->now_ms, now_ms);
	if (host == NULL || wave == NULL)
		return;
	host->upkeep_in_flight = false;
	host->last_order_ms = duties->now_ms;
	host->upkeep_retry_ms = duties->now_ms + RESEND_DELAY_MS;
	duties_log_event(duties, "upkeep-ordered", name,
			 "wave=%" G_GINT64_FORMAT " result=%s upstream=%s",
			 number, wwh_duty_result_names[result],
			 host->upstream == NULL ? "-" : host->upstream);
	switch (result) {
	case WWH_DUTY_DONE:
		mark_done(duties, wave, host);
		break;
	case WWH_DUTY_REFUSED:
		/* the host isn't part of this wave or doesn't exist */
		g_hash_table_add(wave->done_hosts, g_strdup(name));
		host->upkeep_unanswered = false;
		host->upkeep_ordered_ms = 0;
		host->in_upkeep = false;
		duties_end_drain(duties, host);
		break;
	case WWH_DUTY_NOT_DONE:
		duties_count_order(duties);
		/* fallthrough */
	case WWH_DUTY_BUSY:
	case WWH_DUTY_FENCED:
		/* an earlier order may still take effect */
		if (host->upkeep_unanswered)
			break;
		host->in_upkeep = host->state == WWH_HOST_UPKEEP;
		/* the next try checks again for tasks */
		host->upkeep_ordered_ms = 0;
		break;
	default:
		/* the slot stays taken; resent until the outcome is known */
		host->upkeep_unanswered = true;
		break;
	}
}

void duties_wave_delete(gpointer data)
{
	duty_wave_t *wave = data;

	wwh_wave_order_delete(wave->order);
	g_hash_table_unref(wave->done_hosts);
	g_free(wave);
}

void duties_run_waves(wwh_host_duties_t *duties)
{
	for (guint i = 0; i < duties->waves->len; i++)
		run_wave(duties, g_ptr_array_index(duties->waves, i));
}

static void run_wave(wwh_host_duties_t *duties, duty_wave_t *wave)
{
	GPtrArray *hosts;
	int32_t free_slots;
	int64_t slack;

	if (wave->completed) {
		finish_wave(duties, wave);
		return;
	}
	if (!wave->reported) {
		wave->reported = true;
		duties->calls.report(wave->order, false,
				     duties->calls.client_data);
	}
	hosts = pending_hosts_by_cost(duties, wave);
	slack = slack_ms(duties, wave, (int32_t)hosts->len);
	free_slots = MAX(1, wave->order->max_down) - count_down(duties, wave);
	for (guint i = 0; i < hosts->len; i++) {
		duty_host_t *host = g_ptr_array_index(hosts, i);

		if (host->upkeep_unanswered) {
			send_upkeep_order(duties, wave, host);
			continue;
		}
		if (free_slots <= 0)
			break;
		if (slack > BUSY_POOL_MIN_SLACK_MS &&
		    is_needed_by_pool(duties, host))
			continue;
		free_slots -= drain_or_order_host(duties, wave, host,
						  slack <= MIN_SLACK_MS);
	}
	g_ptr_array_unref(hosts);
	if (wave->record_dirty)
		append_wave_record(duties, wave);
	for (guint i = 0; i < wave->order->hosts->len; i++) {
		const char *name = g_ptr_array_index(wave->order->hosts, i);
		duty_host_t *host = duties_get_host(duties, name);

		if (!g_hash_table_contains(wave->done_hosts, name) &&
		    !is_removed(host))
			return;
	}
	wave->completed = true;
	finish_wave(duties, wave);
}

/* A wave doesn't wait for removed hosts, and they begin no upkeep. */
static bool is_removed(const duty_host_t *host)
{
	return !host->in_list &&
	       host->missed_lists >= REMOVED_AFTER_MISSED_LISTS;
}

/*
 * Hosts that are listed as in upkeep count whoever ordered it: the previous
 * holder may have done so just before it ended.
 */
static int32_t count_down(wwh_host_duties_t *duties, const duty_wave_t *wave)
{
	int32_t down = 0;

	for (guint i = 0; i < wave->order->hosts->len; i++) {
		const duty_host_t *host = duties_get_host(
			duties, g_ptr_array_index(wave->order->hosts, i));

		down += !is_removed(host) &&
			(host->upkeep_in_flight || host->in_upkeep ||
			 host->state == WWH_HOST_UPKEEP);
	}
	return down;
}

/*
 * A host may be due in two waves. While it is down for one of them, an order for
 * the other would be answered with "busy", which doesn't tell whether it is down.
 * Until a list shows its upkeep, that answer would free its slot too early.
 */
static bool is_down_for_another(const duty_wave_t *wave,
				const duty_host_t *host)
{
	return host->in_upkeep && (host->upkeep_ordered_ms == 0 ||
				   host->wave != wave->order->number);
}

static bool is_pending(const duty_wave_t *wave, const duty_host_t *host)
{
	return !g_hash_table_contains(wave->done_hosts, host->name) &&
	       !host->upkeep_in_flight && !is_down_for_another(wave, host) &&
	       host->in_list && host->move_target == NULL &&
	       (host->state == WWH_HOST_UP || host->upkeep_ordered_ms != 0);
}

/* The wave's remaining time beyond what its pending hosts need. */
static int64_t slack_ms(const wwh_host_duties_t *duties,
			const duty_wave_t *wave, int32_t pending)
{
	int32_t at_once = MAX(1, wave->order->max_down);
	int32_t rounds = (pending + at_once - 1) / at_once;
	int64_t needed_ms =
		rounds * (duties->options.upkeep_ms + HOST_OVERHEAD_MS);

	return wave->started_ms + wave->order->duration_ms - duties->now_ms -
	       needed_ms;
}

static GPtrArray *pending_hosts_by_cost(wwh_host_duties_t *duties,
					const duty_wave_t *wave)
{
	GPtrArray *hosts = g_ptr_array_new();

	for (guint i = 0; i < wave->order->hosts->len; i++) {
		duty_host_t *host = duties_get_host(
			duties, g_ptr_array_index(wave->order->hosts, i));

		if (is_pending(wave, host) &&
		    duties->now_ms >= host->no_drain_until_ms &&
		    duties->now_ms >= host->upkeep_retry_ms)
			g_ptr_array_add(hosts, host);
	}
	g_ptr_array_sort(hosts, compare_disruption_cost);
	return hosts;
}

static gint compare_disruption_cost(gconstpointer a, gconstpointer b)
{
	int64_t left = disruption_cost(*(duty_host_t *const *)a);
	int64_t right = disruption_cost(*(duty_host_t *const *)b);

	return left < right ? -1 : left > right;
}

/*
 * Hosts that were ordered come first, then those being drained, then those on
 * which the least is running, because an upkeep ends all tasks of the host.
 */
static int64_t disruption_cost(const duty_host_t *host)
{
	if (host->upkeep_ordered_ms != 0)
		return -2;
	if (host->draining_since_ms != 0)
		return -1;
	return host->load.lasting * INT64_C(1000000) +
	       host->load.busy_millicores;
}

/* True if the host's pool lacks hosts and its upkeep hasn't begun. */
static bool is_needed_by_pool(const wwh_host_duties_t *duties,
			      const duty_host_t *host)
{
	const duty_pool_t *pool = duties_find_pool(duties, host->pool);

	return pool != NULL && pool->lacks_hosts && host->upstream != NULL &&
	       host->upkeep_ordered_ms == 0 && host->draining_since_ms == 0;
}

/* Returns whether the host takes a slot: it is being drained or was ordered. */
static bool drain_or_order_host(wwh_host_duties_t *duties, duty_wave_t *wave,
				duty_host_t *host, bool urgent)
{
	bool drain_wait_over;
	bool is_drained;

	if (host->upstream == NULL || host->upkeep_ordered_ms != 0) {
		send_upkeep_order(duties, wave, host);
		return true;
	}
	duties_cancel_move(host);
	if (host->draining_since_ms == 0)
		host->draining_since_ms = duties->now_ms;
	drain_wait_over =
		duties->now_ms - host->draining_since_ms >= DRAIN_WAIT_MS;
	is_drained =
		wwh_scheduler_cordon(duties->options.scheduler, host->upstream,
				     urgent || drain_wait_over, duties->now_ms);
	if (is_drained) {
		send_upkeep_order(duties, wave, host);
		return true;
	}
	if (duties->now_ms - host->draining_since_ms >= RELOCATION_LIMIT_MS) {
		/* its lasting tasks can't be relocated now */
		duties_end_drain(duties, host);
		host->no_drain_until_ms = duties->now_ms + NO_DRAIN_DELAY_MS;
		return false;
	}
	return true;
}

static void send_upkeep_order(wwh_host_duties_t *duties, duty_wave_t *wave,
			      duty_host_t *host)
{
	host->upkeep_in_flight = true;
	host->in_upkeep = true;
	host->upkeep_ordered_ms = duties->now_ms;
	host->last_order_ms = duties->now_ms;
	host->down_until_ms = duties->now_ms + duties->options.upkeep_ms;
	host->wave = wave->order->number;
	duties_count_order(duties);
	duties->calls.upkeep(host->name, wave->order->number,
			     duties->calls.client_data);
}

/*
 * The answer doesn't tell whether the upkeep was done now or earlier, by an
 * order of another holder. If it were taken as the end of all tasks there, tasks
 * that still run would be started a second time. The next list shows what
 * happened.
 */
static void mark_done(wwh_host_duties_t *duties, duty_wave_t *wave,
		      duty_host_t *host)
{
	host->down_until_ms = duties->now_ms + duties->options.upkeep_ms;
	host->upkeep_ordered_ms = 0;
	host->upkeep_unanswered = false;
	host->draining_since_ms = 0;
	host->in_upkeep = true;
	g_hash_table_add(wave->done_hosts, g_strdup(host->name));
	wave->record_dirty = true;
	duties_advance_list(duties);
}

static void append_wave_record(wwh_host_duties_t *duties, duty_wave_t *wave)
{
	char *key = g_strdup_printf("%" G_GINT64_FORMAT, wave->order->number);
	GHashTableIter iterator;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	gpointer name;
	GBytes *value;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, g_hash_table_size(wave->done_hosts));
	g_hash_table_iter_init(&iterator, wave->done_hosts);
	while (g_hash_table_iter_next(&iterator, &name, NULL))
		msgpack_pack_str_with_body(&packer, name, strlen(name));
	value = g_bytes_new(buffer.data, buffer.size);
	wave->record_number =
		duties->calls.write_record(WWH_SCHEDULER_RECORD_WAVE, key,
					   value, duties->calls.client_data);
	wave->record_dirty = false;
	g_bytes_unref(value);
	msgpack_sbuffer_destroy(&buffer);
	g_free(key);
}

/*
 * Reports the completion once, after the record of the done hosts is durable, so
 * that a later holder can't find the wave incomplete.
 */
static void finish_wave(wwh_host_duties_t *duties, duty_wave_t *wave)
{
	if (wave->completion_reported ||
	    wave->record_number > duties->durable_record)
		return;
	wave->completion_reported = true;
	duties_log_event(
		duties, "wave-completed", "wave",
		"number=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
		wave->order->number, duties->now_ms - wave->started_ms);
	duties->calls.report(wave->order, true, duties->calls.client_data);
}

static duty_wave_t *find_wave(wwh_host_duties_t *duties, int64_t number)
{
	for (guint i = 0; i < duties->waves->len; i++) {
		duty_wave_t *wave = g_ptr_array_index(duties->waves, i);

		if (wave->order->number == number)
			return wave;
	}
	return NULL;
}
