#include <msgpack.h>
#include <string.h>

#include "private/host_duties_state.h"
#include "private/msgpack_bounds.h"

/* A host is emptied for this long before its tasks are ended. */
#define EMPTYING_MS 2000

/* With less than this beyond what the rest of a wave takes, none is waited for.
 */
#define SPARE_TIME_MS 3000

/*
 * Lasting tasks of a host that can't be missed are given away one by one in
 * this time: each takes a stop, a start and about a second until it works.
 */
#define GIVING_AWAY_MS 7000

/* One that may not be ended gives its turn to another for this long. */
#define BLOCKED_MS 2500

/*
 * A wave with more than this beyond what it still takes leaves alone the hosts
 * of pools that have too few: a turn lasts a few seconds, and each host that
 * is emptied in it makes callers wait.
 */
#define TROUGH_WAIT_MS 10000

/* What one host takes besides its time away: emptying, listing. */
#define HOST_EXTRA_MS 1500

/* An order that got no answer, or "busy", is repeated after this. */
#define REPEAT_MS 500

/* Complete lists without a host after which it is taken as removed. */
#define LISTS_OF_A_LEFT_HOST 3

#define RECORD_DEPTH 2

static bool restore_names(GHashTable *done, const msgpack_object *object);
static bool has_left(const duty_host_t *host);
static void run_wave(wwh_host_duties_t *duties, duty_wave_t *wave);
static int32_t count_down(wwh_host_duties_t *duties, const duty_wave_t *wave);
static bool is_open(const duty_wave_t *wave, const duty_host_t *host);
static int64_t spare_ms(const wwh_host_duties_t *duties,
			const duty_wave_t *wave, int32_t open);
static GPtrArray *in_order(wwh_host_duties_t *duties, const duty_wave_t *wave);
static gint compare(gconstpointer a, gconstpointer b, gpointer data);
static int64_t cost_of(wwh_host_duties_t *duties, const duty_host_t *host);
static bool is_needed(const wwh_host_duties_t *duties, const duty_host_t *host);
static bool try_host(wwh_host_duties_t *duties, duty_wave_t *wave,
		     duty_host_t *host, bool urgent);
static void send_upkeep(wwh_host_duties_t *duties, duty_wave_t *wave,
			duty_host_t *host);
static void mark_done(wwh_host_duties_t *duties, duty_wave_t *wave,
		      duty_host_t *host);
static void keep_wave(wwh_host_duties_t *duties, duty_wave_t *wave);
static void finish_wave(wwh_host_duties_t *duties, duty_wave_t *wave);
static duty_wave_t *wave_of(wwh_host_duties_t *duties, int64_t number);

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
		wwh_message_set(message, "not a list of names");
	return ok;
}

/* Those that can be read count, whatever stands beside them. */
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
	if (wave_of(duties, order->number) != NULL) {
		wwh_wave_order_delete(order);
		return;
	}
	wave = g_new0(duty_wave_t, 1);
	wave->order = order;
	wave->begun_ms = duties->now_ms;
	wave->done = done != NULL
			     ? g_hash_table_ref(done)
			     : g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
	g_ptr_array_add(duties->waves, wave);
	duties_explain(duties, "wave-begun", "wave",
		       "number=%" G_GINT64_FORMAT
		       " hosts=%u max_down=%d done=%u "
		       "duration_ms=%" G_GINT64_FORMAT,
		       order->number, order->hosts->len, order->max_down,
		       g_hash_table_size(wave->done), order->duration_ms);
}

void wwh_host_duties_handle_upkeep_result(wwh_host_duties_t *duties,
					  const char *name, int64_t number,
					  wwh_duty_result_t result,
					  int64_t now_ms)
{
	duty_host_t *host = g_hash_table_lookup(duties->hosts, name);
	duty_wave_t *wave = wave_of(duties, number);

	duties->now_ms = MAX(duties->now_ms, now_ms);
	if (host == NULL || wave == NULL)
		return;
	host->in_flight = false;
	host->ordered_last_ms = duties->now_ms;
	host->retry_ms = duties->now_ms + REPEAT_MS;
	duties_explain(duties, "upkeep-ordered", name,
		       "wave=%" G_GINT64_FORMAT " result=%s upstream=%s",
		       number, wwh_duty_result_names[result],
		       host->upstream == NULL ? "-" : host->upstream);
	switch (result) {
	case WWH_DUTY_DONE:
		mark_done(duties, wave, host);
		break;
	case WWH_DUTY_REFUSED:
		/* not a host of this wave, or none at all */
		g_hash_table_add(wave->done, g_strdup(name));
		host->away = false;
		duties_take_back(duties, host);
		break;
	case WWH_DUTY_NOT_DONE:
	case WWH_DUTY_BUSY:
	case WWH_DUTY_FENCED:
		host->away = host->state == WWH_HOST_UPKEEP;
		host->ordered_ms = 0; /* asked again before the next try */
		break;
	default:
		/* may be carried out: it stays counted as away */
		break;
	}
}

void duties_wave_delete(gpointer data)
{
	duty_wave_t *wave = data;

	wwh_wave_order_delete(wave->order);
	g_hash_table_unref(wave->done);
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
	int64_t spare;

	if (wave->completed) {
		finish_wave(duties, wave);
		return;
	}
	if (!wave->reported) {
		wave->reported = true;
		duties->calls.report(wave->order, false,
				     duties->calls.client_data);
	}
	hosts = in_order(duties, wave);
	spare = spare_ms(duties, wave, (int32_t)hosts->len);
	free_slots = MAX(1, wave->order->max_down) - count_down(duties, wave);
	for (guint i = 0; i < hosts->len && free_slots > 0; i++) {
		duty_host_t *host = g_ptr_array_index(hosts, i);

		if (spare > TROUGH_WAIT_MS && is_needed(duties, host))
			continue;
		free_slots -=
			try_host(duties, wave, host, spare <= SPARE_TIME_MS);
	}
	g_ptr_array_unref(hosts);
	if (wave->kept_dirty)
		keep_wave(duties, wave);
	for (guint i = 0; i < wave->order->hosts->len; i++) {
		const char *name = g_ptr_array_index(wave->order->hosts, i);
		duty_host_t *host = duties_host(duties, name);

		if (!g_hash_table_contains(wave->done, name) && !has_left(host))
			return;
	}
	wave->completed = true;
	finish_wave(duties, wave);
}

/* Removed hosts aren't waited for. */
static bool has_left(const duty_host_t *host)
{
	return !host->in_list && host->lists_without >= LISTS_OF_A_LEFT_HOST;
}

/*
 * Hosts that a list shows as away count whoever sent them: a holder before
 * this one may have, just before it ended.
 */
static int32_t count_down(wwh_host_duties_t *duties, const duty_wave_t *wave)
{
	int32_t down = 0;

	for (guint i = 0; i < wave->order->hosts->len; i++) {
		const duty_host_t *host = duties_host(
			duties, g_ptr_array_index(wave->order->hosts, i));

		down += host->in_flight || host->away ||
			host->state == WWH_HOST_UPKEEP;
	}
	return down;
}

static bool is_open(const duty_wave_t *wave, const duty_host_t *host)
{
	return !g_hash_table_contains(wave->done, host->name) &&
	       !host->in_flight && host->in_list && host->move_to == NULL &&
	       (host->state == WWH_HOST_UP || host->ordered_ms != 0);
}

/* What is left of the wave's time beyond what its open hosts take. */
static int64_t spare_ms(const wwh_host_duties_t *duties,
			const duty_wave_t *wave, int32_t open)
{
	int32_t at_once = MAX(1, wave->order->max_down);
	int32_t rounds = (open + at_once - 1) / at_once;
	int64_t need_ms = rounds * (duties->options.upkeep_ms + HOST_EXTRA_MS);

	return wave->begun_ms + wave->order->duration_ms - duties->now_ms -
	       need_ms;
}

static GPtrArray *in_order(wwh_host_duties_t *duties, const duty_wave_t *wave)
{
	GPtrArray *hosts = g_ptr_array_new();

	for (guint i = 0; i < wave->order->hosts->len; i++) {
		duty_host_t *host = duties_host(
			duties, g_ptr_array_index(wave->order->hosts, i));

		if (is_open(wave, host) &&
		    duties->now_ms >= host->blocked_until_ms &&
		    duties->now_ms >= host->retry_ms)
			g_ptr_array_add(hosts, host);
	}
	g_ptr_array_sort_with_data(hosts, compare, duties);
	return hosts;
}

static gint compare(gconstpointer a, gconstpointer b, gpointer data)
{
	int64_t left = cost_of(data, *(duty_host_t *const *)a);
	int64_t right = cost_of(data, *(duty_host_t *const *)b);

	return left < right ? -1 : left > right;
}

/*
 * Those that are being emptied already, then empty ones, then those with the
 * least to lose: an upkeep ends all that runs on the host.
 */
static int64_t cost_of(wwh_host_duties_t *duties, const duty_host_t *host)
{
	wwh_upstream_load_t load = { 0 };

	if (host->upstream != NULL)
		load = wwh_scheduler_upstream_load(duties->options.scheduler,
						   host->upstream);
	if (host->ordered_ms != 0)
		return -2;
	if (host->cordoned_ms != 0)
		return -1;
	return load.lasting * INT64_C(1000000) + load.busy_millicores;
}

/* Its pool has fewer hosts than it wants, and nothing has been ordered yet. */
static bool is_needed(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	const duty_pool_t *pool = duties_pool(duties, host->pool);

	return pool != NULL && pool->is_short && host->upstream != NULL &&
	       host->ordered_ms == 0 && host->cordoned_ms == 0;
}

/* Whether the host takes a slot: it is emptied, or the order went out. */
static bool try_host(wwh_host_duties_t *duties, duty_wave_t *wave,
		     duty_host_t *host, bool urgent)
{
	bool waited;
	bool free;

	if (host->upstream == NULL || host->ordered_ms != 0) {
		send_upkeep(duties, wave, host);
		return true;
	}
	duties_forget_move(host);
	if (host->cordoned_ms == 0)
		host->cordoned_ms = duties->now_ms;
	waited = duties->now_ms - host->cordoned_ms >= EMPTYING_MS;
	free = wwh_scheduler_cordon(duties->options.scheduler, host->upstream,
				    urgent || waited, duties->now_ms);
	if (free) {
		send_upkeep(duties, wave, host);
		return true;
	}
	if (duties->now_ms - host->cordoned_ms >= GIVING_AWAY_MS) {
		/* its lasting tasks can't be missed now */
		duties_take_back(duties, host);
		host->blocked_until_ms = duties->now_ms + BLOCKED_MS;
		return false;
	}
	return true;
}

static void send_upkeep(wwh_host_duties_t *duties, duty_wave_t *wave,
			duty_host_t *host)
{
	host->in_flight = true;
	host->away = true;
	host->ordered_ms = duties->now_ms;
	host->ordered_last_ms = duties->now_ms;
	host->down_until_ms = duties->now_ms + duties->options.upkeep_ms;
	host->wave = wave->order->number;
	duties->calls.upkeep(host->name, wave->order->number,
			     duties->calls.client_data);
}

/*
 * The answer doesn't say whether the upkeep was done now or before, by an
 * order of another holder: taken for an end of all that runs there, tasks
 * would be started again beside themselves. The next list tells.
 */
static void mark_done(wwh_host_duties_t *duties, duty_wave_t *wave,
		      duty_host_t *host)
{
	host->down_until_ms = duties->now_ms + duties->options.upkeep_ms;
	host->ordered_ms = 0;
	host->cordoned_ms = 0;
	host->away = true;
	g_hash_table_add(wave->done, g_strdup(host->name));
	wave->kept_dirty = true;
	duties_list_soon(duties);
}

static void keep_wave(wwh_host_duties_t *duties, duty_wave_t *wave)
{
	char *key = g_strdup_printf("%" G_GINT64_FORMAT, wave->order->number);
	GHashTableIter iterator;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	gpointer name;
	GBytes *value;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, g_hash_table_size(wave->done));
	g_hash_table_iter_init(&iterator, wave->done);
	while (g_hash_table_iter_next(&iterator, &name, NULL))
		msgpack_pack_str_with_body(&packer, name, strlen(name));
	value = g_bytes_new(buffer.data, buffer.size);
	wave->kept =
		duties->calls.write_record(WWH_SCHEDULER_RECORD_WAVE, key,
					   value, duties->calls.client_data);
	wave->kept_dirty = false;
	g_bytes_unref(value);
	msgpack_sbuffer_destroy(&buffer);
	g_free(key);
}

/* Said once what was done is durable: nobody may take it back later. */
static void finish_wave(wwh_host_duties_t *duties, duty_wave_t *wave)
{
	if (wave->completion_reported || wave->kept > duties->durable)
		return;
	wave->completion_reported = true;
	duties_explain(duties, "wave-completed", "wave",
		       "number=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
		       wave->order->number, duties->now_ms - wave->begun_ms);
	duties->calls.report(wave->order, true, duties->calls.client_data);
}

static duty_wave_t *wave_of(wwh_host_duties_t *duties, int64_t number)
{
	for (guint i = 0; i < duties->waves->len; i++) {
		duty_wave_t *wave = g_ptr_array_index(duties->waves, i);

		if (wave->order->number == number)
			return wave;
	}
	return NULL;
}
