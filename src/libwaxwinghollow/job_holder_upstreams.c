#include "private/job_holder_state.h"
#include "wire_operator.h"

#define NOT_NAMED "service isn't one of the configuration's"

static bool is_unchanged(const wwh_job_holder_t *holder, const char *key,
			 uint64_t digest);
static void take(wwh_job_holder_t *holder, const wwh_upstream_info_t *info);
static void refuse(wwh_job_holder_t *holder, const char *key, const char *why);
static bool is_named(const wwh_job_holder_t *holder, const char *pool);
static void info_delete(gpointer data);

void job_holder_upstreams_init(wwh_job_holder_t *holder)
{
	wwh_bad_records_options_t bad = {
		.list = "upstreams",
		.log = holder->options.log,
		.counters = holder->options.counters,
	};

	holder->bad_upstreams = wwh_bad_records_new(&bad);
	holder->announced =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	holder->unnamed = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						info_delete);
}

void job_holder_upstreams_finish(wwh_job_holder_t *holder)
{
	wwh_bad_records_delete(holder->bad_upstreams);
	g_hash_table_destroy(holder->announced);
	g_hash_table_destroy(holder->unnamed);
	if (holder->services != NULL)
		g_hash_table_destroy(holder->services);
}

/*
 * An entry that can't be read isn't one that was removed: taken for it, a host
 * at work would look gone, and its tasks would be started elsewhere.
 */
void job_holder_on_upstream(const char *key, const uint8_t *value, size_t size,
			    void *data)
{
	wwh_job_holder_t *holder = data;
	wwh_upstream_info_t info;
	wwh_message_t why;
	uint64_t digest;

	if (holder->lost)
		return;
	job_holder_tick(holder);
	digest = value == NULL ? 0 : wire_operator_upstream_digest(value, size);
	if (is_unchanged(holder, key, digest))
		return;
	g_hash_table_remove(holder->announced, key);
	if (value == NULL) {
		g_hash_table_remove(holder->unnamed, key);
		wwh_bad_records_mark_removed(holder->bad_upstreams, key);
		wwh_scheduler_upstream_withdrawn(holder->scheduler, key,
						 holder->now_ms);
		return;
	}
	if (!wire_operator_parse_upstream(key, value, size, &info, &why)) {
		g_hash_table_remove(holder->unnamed, key);
		refuse(holder, key, why.text);
		return;
	}
	take(holder, &info);
	wwh_upstream_info_clear(&info);
	if (digest != 0)
		g_hash_table_insert(holder->announced, g_strdup(key),
				    g_memdup2(&digest, sizeof(digest)));
}

/*
 * Upstreams announce themselves every second or so, nearly always as before. Read
 * in full, the announcements of some thousand take more time than a holder has.
 */
static bool is_unchanged(const wwh_job_holder_t *holder, const char *key,
			 uint64_t digest)
{
	const uint64_t *last = g_hash_table_lookup(holder->announced, key);

	return last != NULL && *last == digest &&
	       wwh_scheduler_upstream_listed(holder->scheduler, key);
}

void job_holder_on_nameless_upstream(int64_t offset, const char *why,
				     void *data)
{
	wwh_job_holder_t *holder = data;
	char *key = g_strdup_printf("(offset %" G_GINT64_FORMAT ")", offset);

	wwh_bad_records_mark_unreadable(holder->bad_upstreams, key, why);
	g_free(key);
}

/* Entries of services that weren't named so far are judged anew. */
void job_holder_name_services(wwh_job_holder_t *holder,
			      const wwh_job_config_t *config)
{
	GHashTable *unnamed = holder->unnamed;
	GHashTableIter iterator;
	gpointer value;

	/* the services of all others may have gone */
	g_hash_table_remove_all(holder->announced);
	if (holder->services != NULL)
		g_hash_table_destroy(holder->services);
	holder->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < config->pools->len; i++)
		g_hash_table_add(
			holder->services,
			g_strdup(g_array_index(config->pools, wwh_job_pool_t, i)
					 .name));
	holder->unnamed = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						info_delete);
	g_hash_table_iter_init(&iterator, unnamed);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		take(holder, value);
	g_hash_table_destroy(unnamed);
}

static void take(wwh_job_holder_t *holder, const wwh_upstream_info_t *info)
{
	wwh_upstream_info_t *copy;

	g_hash_table_remove(holder->unnamed, info->id);
	if (is_named(holder, info->pool)) {
		wwh_bad_records_mark_readable(holder->bad_upstreams, info->id);
		wwh_scheduler_upstream_announced(holder->scheduler, info,
						 holder->now_ms);
		return;
	}
	copy = g_new0(wwh_upstream_info_t, 1);
	wwh_upstream_info_copy(copy, info);
	g_hash_table_replace(holder->unnamed, copy->id, copy);
	refuse(holder, info->id, NOT_NAMED);
}

static void refuse(wwh_job_holder_t *holder, const char *key, const char *why)
{
	wwh_bad_records_mark_unreadable(holder->bad_upstreams, key, why);
	wwh_scheduler_upstream_unreadable(holder->scheduler, key,
					  holder->now_ms);
}

/* Before the first configuration no service is named, and none is wrong. */
static bool is_named(const wwh_job_holder_t *holder, const char *pool)
{
	return holder->services == NULL ||
	       g_hash_table_contains(holder->services, pool);
}

static void info_delete(gpointer data)
{
	wwh_upstream_info_t *info = data;

	wwh_upstream_info_clear(info);
	g_free(info);
}
