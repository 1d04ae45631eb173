#include "soak.h"

#include <string.h>

#define SNAPSHOT_INTERVAL_MS 200
#define STALE_MAX_MS 5000
#define SNAPSHOTS (STALE_MAX_MS / SNAPSHOT_INTERVAL_MS)
#define LATE_MAX_MS 4000
#define PAGE_ROWS 7
#define MISSING_SHARE 0.15

const char *const soak_list_names[SOAK_LIST_COUNT] = {
	"late", "stale", "short", "paged", "refused",
};

/* Until when lists are disturbed in each way; the ways overlap. */
static int64_t disturbed_until_ms[SOAK_LIST_COUNT];

/* The rows of some seconds, the newest last. */
static GPtrArray *snapshots; /* GPtrArray of char */

static bool is_disturbed(soak_list_t list)
{
	return soak_now_ms() < disturbed_until_ms[list];
}

void soak_hosts_disturb(soak_list_t list, int64_t ms)
{
	soak_record("hosts: lists are %s for %d ms", soak_list_names[list],
		    (int)ms);
	disturbed_until_ms[list] = soak_now_ms() + ms;
}

static char *format_row(const soak_upstream_t *upstream)
{
	return g_strdup_printf(
		"{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":\"%s\","
		"\"zone\":\"%s\",\"labels\":[\"a\",\"r1-%d\"],"
		"\"capacity\":{\"cpu\":32000,\"memMb\":65536,\"gpu\":0}"
		"%s%s%s}",
		upstream->host, soak_pool_names[upstream->pool],
		upstream->absence != NULL ? upstream->absence
		: upstream->up		  ? "up"
					  : "down",
		soak_zone_names[upstream->index % SOAK_ZONES],
		soak_upstream_rack(upstream), upstream->up ? ",\"id\":\"" : "",
		upstream->up ? upstream->id : "", upstream->up ? "\"" : "");
}

static GPtrArray *take_rows(void)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);

	for (int32_t i = 0; i < soak.options.upstreams; i++)
		g_ptr_array_add(rows, format_row(&soak.upstreams[i]));
	return rows;
}

static void keep_snapshot(void *data)
{
	(void)data;
	if (snapshots->len == SNAPSHOTS)
		g_ptr_array_remove_index(snapshots, 0);
	g_ptr_array_add(snapshots, take_rows());
}

static GPtrArray *rows_to_list(void)
{
	guint index;

	if (!is_disturbed(SOAK_LIST_STALE) || snapshots->len == 0)
		return take_rows();
	index = (guint)g_rand_int_range(soak.rand, 0, (gint32)snapshots->len);
	return g_ptr_array_ref(g_ptr_array_index(snapshots, index));
}

/* Hosts that are cut off are missing, and at times some of the others. */
static bool is_missing(guint index, bool drops_others)
{
	soak_proxy_t *proxy = soak.upstreams[index].proxy;

	return soak_proxy_link(proxy) != SOAK_LINK_SOUND ||
	       (drops_others && g_rand_double(soak.rand) < MISSING_SHARE);
}

/* Each page shows the hosts as they are when it is requested. */
static char *format_list(guint first)
{
	GPtrArray *rows = rows_to_list();
	guint end = is_disturbed(SOAK_LIST_PAGED)
			    ? MIN(rows->len, first + PAGE_ROWS)
			    : rows->len;
	bool is_short = is_disturbed(SOAK_LIST_SHORT);
	bool drops_others = is_short && g_rand_int_range(soak.rand, 0, 4) == 0;
	const char *separator = "";
	GString *text = g_string_new("{\"machines\":[");

	for (guint i = first; i < end; i++) {
		if (is_short && is_missing(i, drops_others))
			continue;
		g_string_append_printf(text, "%s%s", separator,
				       (char *)g_ptr_array_index(rows, i));
		separator = ",";
	}
	soak_odd_append_host(text);
	if (end < rows->len)
		g_string_append_printf(text, "],\"nextToken\":\"%u\"}", end);
	else
		g_string_append(text, "],\"nextToken\":null}");
	g_ptr_array_unref(rows);
	return g_string_free(text, FALSE);
}

static void serve_list(struct evhttp_request *request)
{
	const char *page =
		strstr(evhttp_request_get_uri(request), "pageToken=");
	guint first = page == NULL ? 0
				   : (guint)g_ascii_strtoull(
					     strchr(page, '=') + 1, NULL, 10);
	char *text;

	if (is_disturbed(SOAK_LIST_REFUSED)) {
		soak_answer(request, g_rand_boolean(soak.rand) ? 503 : 429,
			    "{}", 0);
		return;
	}
	text = format_list(first);
	soak_answer(request, 200, text,
		    is_disturbed(SOAK_LIST_LATE)
			    ? g_rand_int_range(soak.rand, 0, LATE_MAX_MS)
			    : 0);
	g_free(text);
}

static void on_hosts(struct evhttp_request *request, void *data)
{
	(void)data;
	if (g_str_has_prefix(evhttp_request_get_uri(request),
			     "/waxwinghollow/machines"))
		serve_list(request);
	else
		soak_duties_serve(request);
}

void soak_configuration_publish(void)
{
	static int32_t version;
	GString *text = g_string_new(NULL);

	version += 1 + version % 3;
	soak_record("configuration version %d", version);
	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);

	for (int32_t i = 0; i < SOAK_POOLS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r-%s\",\"host\":\"" SOAK_HOST
			"\",\"pathPrefix\":\"/%s/\",\"kind\":"
			"\"non_idempotent\",\"timeoutMs\":%d,"
			"\"targetLatencyMs\":600,\"priority\":%d,\"service\":"
			"\"%s\",\"maxAttempts\":%d,\"stretch\":1.6}",
			i > 0 ? "," : "", soak_pool_names[i],
			soak_pool_names[i], 3000 + version % 2 * 500, i % 2,
			soak_pool_names[i], SOAK_ATTEMPTS_MAX);
	g_string_append(text, "],\"services\":[");
	for (int32_t i = 0; i < SOAK_POOLS; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"enforcesCapacity\""
				       ":true,\"healthPath\":\"/healthz\"}",
				       i > 0 ? "," : "", soak_pool_names[i]);
	g_string_append(text, "],\"limits\":{\"maxBodyBytes\":262144}}");
	soak_store_put("keyed.op", "config", text->str);
	g_string_free(text, TRUE);
}

void soak_hosts_start(void)
{
	snapshots = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_ptr_array_unref);
	(void)soak_listen(&soak.hosts_port, on_hosts, NULL);
	soak_every(SNAPSHOT_INTERVAL_MS, keep_snapshot, NULL);
	soak_duties_start();
	soak_configuration_publish();
}
