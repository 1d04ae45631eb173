#include "private/job_holder_state.h"

#include <string.h>

#include "wire_operator.h"

/* A key of the journal is the kind of its record in one byte, and the id. */
#define MAX_ID_CHARS (UINT8_MAX - 1)
#define ID_TOO_LONG "id is longer than a record's key takes"

#define SERVICE_NOT_CONFIGURED "service isn't one of the configuration's"

static bool is_unchanged(const wwh_job_holder_t *holder, const char *key,
			 uint64_t digest);
static void apply_entry(wwh_job_holder_t *holder,
			const wwh_upstream_info_t *info);
static void reject_entry(wwh_job_holder_t *holder, const char *key,
			 const char *why);
static bool service_is_configured(const wwh_job_holder_t *holder,
				  const char *pool);
static void upstream_info_delete(gpointer data);

void job_holder_upstreams_init(wwh_job_holder_t *holder)
{
	wwh_bad_records_options_t bad = {
		.list = "upstreams",
		.log = holder->options.log,
		.counters = holder->options.counters,
	};

	holder->bad_upstreams = wwh_bad_records_new(&bad);
	bad.list = "polls";
	holder->bad_polls = wwh_bad_records_new(&bad);
	holder->announcement_digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	holder->unconfigured = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, upstream_info_delete);
}

void job_holder_upstreams_clear(wwh_job_holder_t *holder)
{
	wwh_bad_records_delete(holder->bad_upstreams);
	wwh_bad_records_delete(holder->bad_polls);
	g_hash_table_destroy(holder->announcement_digests);
	g_hash_table_destroy(holder->unconfigured);
	if (holder->services != NULL)
		g_hash_table_destroy(holder->services);
}

/*
 * An unreadable entry must not be treated as a removed one: a running upstream
 * would seem terminated, and its tasks would be started elsewhere.
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
	job_holder_update_clock(holder);
	digest = value == NULL ? 0 : wire_operator_upstream_digest(value, size);
	if (is_unchanged(holder, key, digest))
		return;
	g_hash_table_remove(holder->announcement_digests, key);
	if (value == NULL) {
		g_hash_table_remove(holder->unconfigured, key);
		wwh_bad_records_mark_removed(holder->bad_upstreams, key);
		wwh_bad_records_mark_removed(holder->bad_polls, key);
		wwh_scheduler_upstream_withdrawn(holder->scheduler, key,
						 holder->now_ms);
		return;
	}
	if (strlen(key) > MAX_ID_CHARS) {
		reject_entry(holder, key, ID_TOO_LONG);
		return;
	}
	if (!wire_operator_parse_upstream(key, value, size, &info, &why)) {
		g_hash_table_remove(holder->unconfigured, key);
		reject_entry(holder, key, why.text);
		return;
	}
	apply_entry(holder, &info);
	wwh_upstream_info_clear(&info);
	if (digest != 0)
		g_hash_table_insert(holder->announcement_digests, g_strdup(key),
				    g_memdup2(&digest, sizeof(digest)));
}

/*
 * Upstreams announce themselves about once a second, nearly always unchanged.
 * Decoding the announcements of some thousand upstreams takes more time than a
 * holder has.
 */
static bool is_unchanged(const wwh_job_holder_t *holder, const char *key,
			 uint64_t digest)
{
	const uint64_t *last =
		g_hash_table_lookup(holder->announcement_digests, key);

	return last != NULL && *last == digest &&
	       wwh_scheduler_upstream_listed(holder->scheduler, key);
}

void job_holder_on_keyless_upstream(int64_t offset, const char *why, void *data)
{
	wwh_job_holder_t *holder = data;
	char *key = g_strdup_printf("(offset %" G_GINT64_FORMAT ")", offset);

	wwh_bad_records_mark_unreadable(holder->bad_upstreams, key, why);
	g_free(key);
}

/* Applies again the entries whose service wasn't configured before. */
void job_holder_set_services(wwh_job_holder_t *holder,
			     const wwh_job_config_t *config)
{
	GHashTable *previous = holder->unconfigured;
	GHashTableIter iterator;
	gpointer value;

	/* the services of all other entries may have been removed */
	g_hash_table_remove_all(holder->announcement_digests);
	if (holder->services != NULL)
		g_hash_table_destroy(holder->services);
	holder->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < config->pools->len; i++)
		g_hash_table_add(
			holder->services,
			g_strdup(g_array_index(config->pools, wwh_job_pool_t, i)
					 .name));
	holder->unconfigured = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, upstream_info_delete);
	g_hash_table_iter_init(&iterator, previous);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		apply_entry(holder, value);
	g_hash_table_destroy(previous);
}

static void apply_entry(wwh_job_holder_t *holder,
			const wwh_upstream_info_t *info)
{
	wwh_upstream_info_t *copy;

	g_hash_table_remove(holder->unconfigured, info->id);
	if (service_is_configured(holder, info->pool)) {
		wwh_bad_records_mark_readable(holder->bad_upstreams, info->id);
		wwh_scheduler_upstream_announced(holder->scheduler, info,
						 holder->now_ms);
		return;
	}
	copy = g_new0(wwh_upstream_info_t, 1);
	wwh_upstream_info_copy(copy, info);
	g_hash_table_replace(holder->unconfigured, copy->id, copy);
	reject_entry(holder, info->id, SERVICE_NOT_CONFIGURED);
}

static void reject_entry(wwh_job_holder_t *holder, const char *key,
			 const char *why)
{
	wwh_bad_records_mark_unreadable(holder->bad_upstreams, key, why);
	wwh_scheduler_upstream_unreadable(holder->scheduler, key,
					  holder->now_ms);
}

/* Before the first configuration is known, every service is accepted. */
static bool service_is_configured(const wwh_job_holder_t *holder,
				  const char *pool)
{
	return holder->services == NULL ||
	       g_hash_table_contains(holder->services, pool);
}

static void upstream_info_delete(gpointer data)
{
	wwh_upstream_info_t *info = data;

	wwh_upstream_info_clear(info);
	g_free(info);
}
