#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/log_client.h"

#define THREADS 6
#define APPENDS 40
#define TIMEOUT_MS 30000

typedef struct {
	wwh_append_id_t id;
	GBytes *data;
} record_t;

/* A platform in memory with one stream. */
typedef struct {
	GMutex lock;
	GCond grown;
	GPtrArray *records; /* record_t *, offset - 1 */
	int64_t first;
	int32_t lose_answer_every; /* loses each Nth answer; 0: none */
	int32_t appends;
	bool down;
} fake_t;

static void record_free(gpointer data)
{
	record_t *record = data;

	g_bytes_unref(record->data);
	g_free(record);
}

static wwh_status_t fake_append(void *context, const char *stream,
				const wwh_append_id_t *append_id,
				const uint8_t *data, size_t size,
				int32_t timeout_ms, int64_t *offset)
{
	fake_t *fake = context;
	wwh_status_t status = WWH_STATUS_OK;
	record_t *record;

	(void)stream;
	(void)timeout_ms;
	g_mutex_lock(&fake->lock);
	fake->appends++;
	if (fake->down) {
		status = WWH_STATUS_UNAVAILABLE;
	} else {
		record = g_new0(record_t, 1);
		record->id = *append_id;
		record->data = g_bytes_new(data, size);
		g_ptr_array_add(fake->records, record);
		*offset = fake->records->len;
		g_cond_broadcast(&fake->grown);
		if (fake->lose_answer_every > 0 &&
		    fake->appends % fake->lose_answer_every == 0)
			status = WWH_STATUS_UNKNOWN;
	}
	g_mutex_unlock(&fake->lock);
	return status;
}

/* platform.h defines the number of parameters. */
/* NOLINTNEXTLINE(readability-function-size) */
static wwh_status_t fake_read(void *context, const char *stream, int64_t from,
			      int32_t wait_ms, int32_t timeout_ms,
			      wwh_log_visit_t visit, void *client_data,
			      int64_t *first, int64_t *next)
{
	fake_t *fake = context;
	int64_t end = g_get_monotonic_time() + (int64_t)wait_ms * 1000;
	bool more = true;

	(void)stream;
	(void)timeout_ms;
	g_mutex_lock(&fake->lock);
	while (from > (int64_t)fake->records->len)
		if (!g_cond_wait_until(&fake->grown, &fake->lock, end))
			break;
	*first = fake->first;
	*next = (int64_t)fake->records->len + 1;
	g_mutex_unlock(&fake->lock);
	if (from < *first)
		return WWH_STATUS_NOT_FOUND;
	for (int64_t o = from; more && o < *next; o++) {
		wwh_log_entry_t entry = { .offset = o };
		gsize size;
		record_t *record;

		g_mutex_lock(&fake->lock);
		record = fake->records->pdata[o - 1];
		g_mutex_unlock(&fake->lock);
		entry.append_id = record->id;
		entry.data = g_bytes_get_data(record->data, &size);
		entry.size = size;
		more = visit(&entry, client_data);
	}
	return WWH_STATUS_OK;
}

static void fake_init(fake_t *fake)
{
	*fake = (fake_t){ .first = 1 };
	g_mutex_init(&fake->lock);
	g_cond_init(&fake->grown);
	fake->records = g_ptr_array_new_with_free_func(record_free);
}

static void fake_clear(fake_t *fake)
{
	g_ptr_array_unref(fake->records);
	g_cond_clear(&fake->grown);
	g_mutex_clear(&fake->lock);
}

/* What one client delivered: the texts in order. */
typedef struct {
	GMutex lock;
	GString *texts;
	GString *scanned;
	int32_t trims;
	int32_t settled[WWH_STATUS_COUNT];
	wwh_log_client_t *client;
} view_t;

static void on_record(const char *stream, const wwh_log_entry_t *entry,
		      void *client_data)
{
	view_t *view = client_data;

	assert_string_equal(stream, "control");
	g_mutex_lock(&view->lock);
	g_string_append_len(view->texts, (const char *)entry->data,
			    (gssize)entry->size);
	g_string_append_c(view->texts, ';');
	g_mutex_unlock(&view->lock);
}

static void install(void *install_data)
{
	view_t *view = install_data;

	g_string_assign(view->texts, "snapshot;");
}

/* Treats the first scanned record as a snapshot up to its offset. */
static void on_scan(const char *stream, const wwh_log_entry_t *entry,
		    void *client_data)
{
	view_t *view = client_data;

	(void)stream;
	assert_int_equal(wwh_log_client_restore(view->client, entry->offset,
						install, view),
			 WWH_STATUS_OK);
}

static void on_trimmed(const char *stream, int64_t first, void *client_data)
{
	view_t *view = client_data;

	(void)stream;
	assert_true(first > 1);
	view->trims++;
}

static void on_settled(const char *stream, const wwh_log_settled_t *settled,
		       void *client_data)
{
	view_t *view = client_data;

	(void)stream;
	g_mutex_lock(&view->lock);
	view->settled[settled->status]++;
	g_mutex_unlock(&view->lock);
}

static void view_start(view_t *view, fake_t *fake, wwh_log_budget_t *budget,
		       wwh_counters_t *counters)
{
	wwh_log_client_options_t options;

	*view = (view_t){ .texts = g_string_new(NULL) };
	g_mutex_init(&view->lock);
	wwh_log_client_options_defaults(&options);
	options.stream = "control";
	options.platform.context = fake;
	options.platform.append = fake_append;
	options.platform.read = fake_read;
	options.budget = budget;
	options.counters = counters;
	options.core.read_wait_ms = 20;
	options.core.settle_ms = 1;
	options.callbacks.on_record = on_record;
	options.callbacks.on_scan = on_scan;
	options.callbacks.on_trimmed = on_trimmed;
	options.callbacks.on_settled = on_settled;
	options.callbacks.client_data = view;
	view->client = wwh_log_client_new(&options);
	assert_int_equal(wwh_log_client_init(view->client), WWH_STATUS_OK);
}

static void view_stop(view_t *view)
{
	wwh_log_client_finish(view->client,
			      wwh_log_client_now_ms() + TIMEOUT_MS);
	wwh_log_client_delete(view->client);
	g_string_free(view->texts, TRUE);
	g_mutex_clear(&view->lock);
}

typedef struct {
	wwh_log_client_t *client;
	int32_t number;
} appender_t;

static gpointer run_appender(gpointer data)
{
	appender_t *appender = data;

	for (int32_t i = 0; i < APPENDS; i++) {
		char *text = g_strdup_printf("<%d.%d>", (int)appender->number,
					     (int)i);
		int64_t offset = 0;

		assert_int_equal(wwh_log_client_append(
					 appender->client,
					 (const uint8_t *)text, strlen(text),
					 wwh_log_client_now_ms() + TIMEOUT_MS,
					 &offset),
				 WWH_STATUS_OK);
		assert_true(offset > 0);
		g_free(text);
	}
	return NULL;
}

/*
 * Several callers append through two processes while every third answer is
 * lost. Every caller gets OK, and both processes deliver each text once,
 * in one order, though the log holds copies.
 */
static void every_append_is_delivered_once_everywhere(void **unused)
{
	appender_t appenders[THREADS];
	GThread *threads[THREADS];
	wwh_log_budget_t *budget = wwh_log_budget_new(wwh_log_client_now_ms());
	view_t views[2];
	fake_t fake;
	int64_t last;

	(void)unused;
	fake_init(&fake);
	fake.lose_answer_every = 3;
	for (int i = 0; i < 2; i++)
		view_start(&views[i], &fake, budget, NULL);
	for (int i = 0; i < THREADS; i++) {
		appenders[i] = (appender_t){ views[i % 2].client, i };
		threads[i] = g_thread_new("test", run_appender, &appenders[i]);
	}
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	last = fake.records->len;
	for (int i = 0; i < 2; i++)
		assert_true(wwh_log_client_wait(views[i].client, last,
						wwh_log_client_now_ms() +
							TIMEOUT_MS));
	assert_string_equal(views[0].texts->str, views[1].texts->str);
	for (int i = 0; i < THREADS * APPENDS; i++) {
		char *text =
			g_strdup_printf("<%d.%d>", i / APPENDS, i % APPENDS);
		char *found = strstr(views[0].texts->str, text);

		assert_non_null(found);
		assert_null(strstr(found + 1, text));
		g_free(text);
	}
	for (int i = 0; i < 2; i++)
		view_stop(&views[i]);
	wwh_log_budget_delete(budget);
	fake_clear(&fake);
}

static void trimmed_client_continues_from_a_snapshot(void **unused)
{
	wwh_log_budget_t *budget = wwh_log_budget_new(wwh_log_client_now_ms());
	wwh_counters_t *counters = wwh_counters_new();
	wwh_append_id_t id = { { 0, 0, 0, 0, 0, 0, 0, 5 } };
	view_t view;
	fake_t fake;
	int64_t offset;

	(void)unused;
	fake_init(&fake);
	for (int i = 1; i <= 6; i++) {
		id.bytes[7] = (uint8_t)i;
		fake_append(&fake, "control", &id, (const uint8_t *)"a", 1, 0,
			    &offset);
	}
	fake.first = 5;
	view_start(&view, &fake, budget, counters);
	assert_true(wwh_log_client_wait(view.client, 6,
					wwh_log_client_now_ms() + TIMEOUT_MS));
	assert_string_equal(view.texts->str, "snapshot;a;a;");
	assert_int_equal(view.trims, 1);
	assert_int_equal(wwh_counter_value(wwh_counters_get(
				 counters, "log.control.trims")),
			 1);
	view_stop(&view);
	wwh_counters_delete(counters);
	wwh_log_budget_delete(budget);
	fake_clear(&fake);
}

/* Shutting down while the log is unavailable must settle all appends. */
static void finish_settles_pending_appends(void **unused)
{
	wwh_log_budget_t *budget = wwh_log_budget_new(wwh_log_client_now_ms());
	view_t view;
	fake_t fake;
	uint64_t ticket;

	(void)unused;
	fake_init(&fake);
	fake.down = true;
	view_start(&view, &fake, budget, NULL);
	for (int i = 0; i < 5; i++)
		assert_int_equal(wwh_log_client_append_async(
					 view.client, (const uint8_t *)"a", 1,
					 INT64_MAX, &ticket),
				 WWH_STATUS_OK);
	wwh_log_client_finish(view.client, wwh_log_client_now_ms() + 50);
	assert_int_equal(view.settled[WWH_STATUS_UNAVAILABLE], 5);
	assert_int_equal(wwh_log_client_append_async(view.client,
						     (const uint8_t *)"a", 1,
						     INT64_MAX, &ticket),
			 WWH_STATUS_UNAVAILABLE);
	view_stop(&view);
	wwh_log_budget_delete(budget);
	fake_clear(&fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_append_is_delivered_once_everywhere),
		cmocka_unit_test(trimmed_client_continues_from_a_snapshot),
		cmocka_unit_test(finish_settles_pending_appends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
