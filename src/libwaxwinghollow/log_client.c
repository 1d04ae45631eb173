#include "waxwinghollow/log_client.h"

#include <assert.h>
#include <string.h>

/* An appender that has something to do looks at deadlines this often. */
#define TICK_MS 100
/* Longer waits are cut, so that no time overflows. */
#define FAR_MS ((int64_t)24 * 3600 * 1000)

/* A thread in wwh_log_client_append. */
typedef struct {
	bool done;
	wwh_log_settled_t settled;
} waiter_t;

struct wwh_log_client {
	wwh_log_client_options_t options;
	char *stream;
	GRand *rand;
	GMutex lock; /* core and what is below */
	GCond changed;
	wwh_log_core_t *core;
	GHashTable *waiters; /* ticket to waiter_t * */
	int64_t delivered; /* all below was delivered */
	bool started;
	bool refusing;
	bool appends_ended;
	int64_t finish_ms;
	GThread *reader;
	GThread *appender;
	GRecMutex deliver_lock; /* one callback at a time */
};

/* Client and generation of a read, for its visits. */
typedef struct {
	wwh_log_client_t *client;
	int64_t generation;
} visit_t;

/* Counters and where wwh_log_stats_t has their values. */
static const struct {
	const char *name;
	size_t at;
} stat_rows[] = {
	{ "attempts", offsetof(wwh_log_stats_t, attempts) },
	{ "attempt_bytes", offsetof(wwh_log_stats_t, attempt_bytes) },
	{ "retries", offsetof(wwh_log_stats_t, retries) },
	{ "lost_answers", offsetof(wwh_log_stats_t, lost_answers) },
	{ "settled_by_reading", offsetof(wwh_log_stats_t, settled_by_reading) },
	{ "expired_unseen", offsetof(wwh_log_stats_t, expired_unseen) },
	{ "refused", offsetof(wwh_log_stats_t, refused) },
	{ "duplicates", offsetof(wwh_log_stats_t, duplicates) },
	{ "voids", offsetof(wwh_log_stats_t, voids) },
	{ "delivered", offsetof(wwh_log_stats_t, delivered) },
	{ "read_failures", offsetof(wwh_log_stats_t, read_failures) },
	{ "trims", offsetof(wwh_log_stats_t, trims) },
	{ "ambiguous", offsetof(wwh_log_stats_t, ambiguous) },
	{ "went_back", offsetof(wwh_log_stats_t, went_back) },
};

static gpointer run_reader(gpointer data);
static void read_once(wwh_log_client_t *client, const wwh_log_read_t *read);
static bool visit(const wwh_log_entry_t *entry, void *client_data);
static void deliver(wwh_log_client_t *client, wwh_log_verdict_t verdict,
		    const wwh_log_entry_t *entry);
static gpointer run_appender(gpointer data);
static bool appender_ended(wwh_log_client_t *client);
static void hand_out_settled(wwh_log_client_t *client);
static wwh_status_t submit(wwh_log_client_t *client, const uint8_t *data,
			   size_t size, int64_t deadline_ms, uint64_t *ticket);
static void wait_settled(wwh_log_client_t *client, int64_t deadline_ms);
static void publish(wwh_log_client_t *client);
static void wait_ms(wwh_log_client_t *client, int64_t ms);

void wwh_log_client_options_defaults(wwh_log_client_options_t *options)
{
	*options = (wwh_log_client_options_t){ 0 };
	wwh_log_core_options_defaults(&options->core);
}

int64_t wwh_log_client_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

wwh_log_client_t *wwh_log_client_new(const wwh_log_client_options_t *options)
{
	wwh_log_client_t *client = g_new0(wwh_log_client_t, 1);

	assert(options->callbacks.on_record != NULL);
	client->options = *options;
	client->stream = g_strdup(options->stream);
	client->rand = options->seed == 0 ? g_rand_new()
					  : g_rand_new_with_seed(options->seed);
	g_mutex_init(&client->lock);
	g_cond_init(&client->changed);
	g_rec_mutex_init(&client->deliver_lock);
	client->core =
		wwh_log_core_new(&options->core, options->budget, client->rand);
	client->waiters = g_hash_table_new(NULL, NULL);
	client->delivered = options->core.start;
	client->finish_ms = INT64_MAX;
	return client;
}

wwh_status_t wwh_log_client_init(wwh_log_client_t *client)
{
	assert(!client->started);
	client->reader =
		g_thread_try_new("log-reader", run_reader, client, NULL);
	if (client->reader == NULL)
		return WWH_STATUS_LIMIT;
	client->started = true;
	client->appender =
		g_thread_try_new("log-appender", run_appender, client, NULL);
	if (client->appender != NULL)
		return WWH_STATUS_OK;
	g_mutex_lock(&client->lock);
	client->appends_ended = true;
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
	return WWH_STATUS_LIMIT;
}

void wwh_log_client_finish(wwh_log_client_t *client, int64_t deadline_ms)
{
	if (!client->started)
		return;
	g_mutex_lock(&client->lock);
	client->refusing = true;
	client->finish_ms = deadline_ms;
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
	if (client->appender != NULL)
		g_thread_join(client->appender);
	g_thread_join(client->reader);
	client->started = false;
}

void wwh_log_client_delete(wwh_log_client_t *client)
{
	if (client == NULL)
		return;
	assert(!client->started);
	wwh_log_core_delete(client->core);
	g_hash_table_destroy(client->waiters);
	g_rec_mutex_clear(&client->deliver_lock);
	g_cond_clear(&client->changed);
	g_mutex_clear(&client->lock);
	g_rand_free(client->rand);
	g_free(client->stream);
	g_free(client);
}

wwh_status_t wwh_log_client_append(wwh_log_client_t *client,
				   const uint8_t *data, size_t size,
				   int64_t deadline_ms, int64_t *offset)
{
	waiter_t waiter = { 0 };
	wwh_status_t status;
	uint64_t ticket;

	g_mutex_lock(&client->lock);
	status = submit(client, data, size, deadline_ms, &ticket);
	if (status == WWH_STATUS_OK) {
		g_hash_table_insert(client->waiters,
				    GSIZE_TO_POINTER((gsize)ticket), &waiter);
		while (!waiter.done)
			wait_settled(client, deadline_ms);
		status = waiter.settled.status;
		*offset = waiter.settled.offset;
	}
	g_mutex_unlock(&client->lock);
	return status;
}

wwh_status_t wwh_log_client_append_async(wwh_log_client_t *client,
					 const uint8_t *data, size_t size,
					 int64_t deadline_ms, uint64_t *ticket)
{
	wwh_status_t status;

	g_mutex_lock(&client->lock);
	status = submit(client, data, size, deadline_ms, ticket);
	g_mutex_unlock(&client->lock);
	return status;
}

bool wwh_log_client_wait(wwh_log_client_t *client, int64_t offset,
			 int64_t deadline_ms)
{
	bool delivered;

	g_mutex_lock(&client->lock);
	deadline_ms = MIN(deadline_ms, wwh_log_client_now_ms() + FAR_MS);
	while (client->delivered <= offset)
		if (!g_cond_wait_until(&client->changed, &client->lock,
				       deadline_ms * 1000))
			break;
	delivered = client->delivered > offset;
	g_mutex_unlock(&client->lock);
	return delivered;
}

wwh_status_t wwh_log_client_restore(wwh_log_client_t *client, int64_t upto,
				    wwh_log_install_t install,
				    void *install_data)
{
	wwh_status_t status;

	g_rec_mutex_lock(&client->deliver_lock);
	g_mutex_lock(&client->lock);
	status = wwh_log_core_restore(client->core, upto);
	if (status == WWH_STATUS_OK)
		client->delivered = upto;
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
	if (status == WWH_STATUS_OK && install != NULL)
		install(install_data);
	g_rec_mutex_unlock(&client->deliver_lock);
	return status;
}

bool wwh_log_client_caught_up(wwh_log_client_t *client)
{
	bool caught_up;

	g_mutex_lock(&client->lock);
	caught_up = wwh_log_core_caught_up(client->core);
	g_mutex_unlock(&client->lock);
	return caught_up;
}

wwh_log_state_t wwh_log_client_state(wwh_log_client_t *client)
{
	wwh_log_state_t state;

	g_mutex_lock(&client->lock);
	state = wwh_log_core_state(client->core);
	g_mutex_unlock(&client->lock);
	return state;
}

int64_t wwh_log_client_cursor(wwh_log_client_t *client)
{
	int64_t cursor;

	g_mutex_lock(&client->lock);
	cursor = client->delivered;
	g_mutex_unlock(&client->lock);
	return cursor;
}

int64_t wwh_log_client_lag(wwh_log_client_t *client)
{
	int64_t next;
	int64_t lag = -1;

	g_mutex_lock(&client->lock);
	next = wwh_log_core_known_next(client->core);
	if (next > 0)
		lag = MAX(0, next - wwh_log_core_cursor(client->core));
	g_mutex_unlock(&client->lock);
	return lag;
}

static gpointer run_reader(gpointer data)
{
	wwh_log_client_t *client = data;

	for (;;) {
		wwh_log_read_t read;
		int64_t pause_ms;
		bool now;

		g_mutex_lock(&client->lock);
		if (client->appends_ended) {
			g_mutex_unlock(&client->lock);
			return NULL;
		}
		now = wwh_log_core_read_begin(client->core,
					      wwh_log_client_now_ms(), &read,
					      &pause_ms);
		if (!now)
			wait_ms(client, pause_ms);
		g_mutex_unlock(&client->lock);
		if (now)
			read_once(client, &read);
		hand_out_settled(client);
	}
}

static void read_once(wwh_log_client_t *client, const wwh_log_read_t *read)
{
	const wwh_platform_t *platform = &client->options.platform;
	const wwh_log_callbacks_t *callbacks = &client->options.callbacks;
	visit_t context = { client, read->generation };
	wwh_log_state_t before;
	wwh_log_state_t after;
	int64_t first = 1;
	int64_t next = 1;
	int64_t trims;
	int64_t cursor;
	bool caught_up;
	wwh_status_t status = platform->read(
		platform->context, client->stream, read->from, read->wait_ms,
		read->timeout_ms, visit, &context, &first, &next);

	g_rec_mutex_lock(&client->deliver_lock);
	g_mutex_lock(&client->lock);
	before = wwh_log_core_state(client->core);
	trims = wwh_log_core_stats(client->core)->trims;
	after = wwh_log_core_read_done(client->core, read->generation, status,
				       first, next, wwh_log_client_now_ms());
	trims = wwh_log_core_stats(client->core)->trims - trims;
	caught_up = wwh_log_core_caught_up(client->core);
	cursor = client->delivered;
	publish(client);
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
	if (after == WWH_LOG_TRIMMED && callbacks->on_trimmed != NULL &&
	    (trims > 0 || before != after))
		callbacks->on_trimmed(client->stream, first,
				      callbacks->client_data);
	if (callbacks->on_read != NULL)
		callbacks->on_read(client->stream, cursor, caught_up,
				   callbacks->client_data);
	g_rec_mutex_unlock(&client->deliver_lock);
}

static bool visit(const wwh_log_entry_t *entry, void *client_data)
{
	const visit_t *context = client_data;
	wwh_log_client_t *client = context->client;
	const wwh_log_callbacks_t *callbacks = &client->options.callbacks;
	wwh_log_verdict_t verdict;

	g_rec_mutex_lock(&client->deliver_lock);
	g_mutex_lock(&client->lock);
	verdict = wwh_log_core_handle_record(client->core, context->generation,
					     entry);
	g_mutex_unlock(&client->lock);
	deliver(client, verdict, entry);
	if (verdict == WWH_LOG_AMBIGUOUS && callbacks->on_trimmed != NULL)
		callbacks->on_trimmed(client->stream, entry->offset,
				      callbacks->client_data);
	g_rec_mutex_unlock(&client->deliver_lock);
	hand_out_settled(client);
	return verdict != WWH_LOG_STALE && verdict != WWH_LOG_AMBIGUOUS;
}

/* The delivery comes first, so that a settled append has been applied. */
static void deliver(wwh_log_client_t *client, wwh_log_verdict_t verdict,
		    const wwh_log_entry_t *entry)
{
	const wwh_log_callbacks_t *callbacks = &client->options.callbacks;

	if (verdict == WWH_LOG_DELIVER)
		callbacks->on_record(client->stream, entry,
				     callbacks->client_data);
	else if (verdict == WWH_LOG_SCAN && callbacks->on_scan != NULL)
		callbacks->on_scan(client->stream, entry,
				   callbacks->client_data);
	if (verdict != WWH_LOG_DELIVER && verdict != WWH_LOG_DUPLICATE &&
	    verdict != WWH_LOG_VOID)
		return;
	g_mutex_lock(&client->lock);
	client->delivered = MAX(client->delivered, entry->offset + 1);
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
}

static gpointer run_appender(gpointer data)
{
	wwh_log_client_t *client = data;
	const wwh_platform_t *platform = &client->options.platform;

	while (!appender_ended(client)) {
		wwh_log_attempt_t attempt;
		wwh_status_t status;
		int64_t pause_ms;
		int64_t offset = 0;
		bool now;

		g_mutex_lock(&client->lock);
		wwh_log_core_tick(client->core, wwh_log_client_now_ms());
		now = wwh_log_core_next_attempt(client->core,
						wwh_log_client_now_ms(),
						&attempt, &pause_ms);
		if (!now && wwh_log_core_waiting(client->core) > 0)
			wait_ms(client, pause_ms < 0 ? TICK_MS
						     : MIN(pause_ms, TICK_MS));
		else if (!now && !client->refusing)
			g_cond_wait(&client->changed, &client->lock);
		g_mutex_unlock(&client->lock);
		if (now) {
			status = platform->append(platform->context,
						  client->stream, &attempt.id,
						  attempt.data, attempt.size,
						  attempt.timeout_ms, &offset);
			g_mutex_lock(&client->lock);
			wwh_log_core_attempt_done(client->core, status, offset,
						  wwh_log_client_now_ms());
			g_mutex_unlock(&client->lock);
		}
		hand_out_settled(client);
	}
	return NULL;
}

/* When it is to end, settles what is left and lets the reader end too. */
static bool appender_ended(wwh_log_client_t *client)
{
	bool ended;

	g_mutex_lock(&client->lock);
	if (client->refusing && client->finish_ms <= wwh_log_client_now_ms())
		wwh_log_core_abort_all(client->core);
	ended = client->refusing && wwh_log_core_waiting(client->core) == 0;
	g_mutex_unlock(&client->lock);
	if (!ended)
		return false;
	hand_out_settled(client);
	g_mutex_lock(&client->lock);
	client->appends_ended = true;
	publish(client);
	g_cond_broadcast(&client->changed);
	g_mutex_unlock(&client->lock);
	return true;
}

static void hand_out_settled(wwh_log_client_t *client)
{
	const wwh_log_callbacks_t *callbacks = &client->options.callbacks;
	wwh_log_settled_t settled;

	g_mutex_lock(&client->lock);
	while (wwh_log_core_pop_settled(client->core, &settled)) {
		gpointer key = GSIZE_TO_POINTER((gsize)settled.ticket);
		waiter_t *waiter = g_hash_table_lookup(client->waiters, key);

		if (waiter != NULL) {
			waiter->settled = settled;
			waiter->done = true;
			g_hash_table_remove(client->waiters, key);
			g_cond_broadcast(&client->changed);
		} else if (callbacks->on_settled != NULL) {
			g_mutex_unlock(&client->lock);
			callbacks->on_settled(client->stream, &settled,
					      callbacks->client_data);
			g_mutex_lock(&client->lock);
		}
	}
	g_mutex_unlock(&client->lock);
}

static wwh_status_t submit(wwh_log_client_t *client, const uint8_t *data,
			   size_t size, int64_t deadline_ms, uint64_t *ticket)
{
	GBytes *payload;
	wwh_status_t status;

	if (client->refusing)
		return WWH_STATUS_UNAVAILABLE;
	payload = g_bytes_new(data, size);
	status = wwh_log_core_submit(client->core, payload, deadline_ms,
				     wwh_log_client_now_ms(), ticket);
	g_bytes_unref(payload);
	g_cond_broadcast(&client->changed);
	return status;
}

/* The appender may be in an attempt when the deadline comes. */
static void wait_settled(wwh_log_client_t *client, int64_t deadline_ms)
{
	int64_t end_ms = MIN(deadline_ms, wwh_log_client_now_ms() + FAR_MS);

	if (g_cond_wait_until(&client->changed, &client->lock, end_ms * 1000))
		return;
	wwh_log_core_tick(client->core, wwh_log_client_now_ms());
	g_mutex_unlock(&client->lock);
	hand_out_settled(client);
	g_mutex_lock(&client->lock);
}

static void publish(wwh_log_client_t *client)
{
	const wwh_log_stats_t *stats = wwh_log_core_stats(client->core);

	if (client->options.counters == NULL)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(stat_rows); i++) {
		char name[128];
		int64_t value;

		memcpy(&value, (const char *)stats + stat_rows[i].at,
		       sizeof(value));
		g_snprintf(name, sizeof(name), "log.%s.%s", client->stream,
			   stat_rows[i].name);
		wwh_counter_set(
			wwh_counters_get(client->options.counters, name),
			value);
	}
}

/* The lock must be held. */
static void wait_ms(wwh_log_client_t *client, int64_t ms)
{
	g_cond_wait_until(&client->changed, &client->lock,
			  g_get_monotonic_time() + ms * 1000);
}
