#include "soak.h"

static void on_hosts(struct evhttp_request *request, void *data)
{
	const char *separator = "";
	GString *text;

	(void)data;
	if (!g_str_has_prefix(evhttp_request_get_uri(request),
			      "/waxwinghollow/machines")) {
		soak_answer(request, 409, "{\"reason\":\"busy\"}", 0);
		return;
	}
	text = g_string_new("{\"machines\":[");
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		const soak_upstream_t *upstream = &soak.upstreams[i];

		g_string_append_printf(
			text,
			"%s{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":"
			"\"%s\",\"zone\":\"%s\",\"labels\":[\"a\",\"r1-%d\"],"
			"\"capacity\":{\"cpu\":32000,\"memMb\":65536,\"gpu\":"
			"0}%s%s%s}",
			separator, upstream->host,
			soak_pool_names[upstream->pool],
			upstream->up ? "up" : "down",
			soak_zone_names[upstream->index % SOAK_ZONES],
			soak_upstream_rack(upstream),
			upstream->up ? ",\"id\":\"" : "",
			upstream->up ? upstream->id : "",
			upstream->up ? "\"" : "");
		separator = ",";
	}
	g_string_append(text, "],\"nextToken\":null}");
	soak_answer(request, 200, text->str, 0);
	g_string_free(text, TRUE);
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
	(void)soak_listen(&soak.hosts_port, on_hosts, NULL);
	soak_configuration_publish();
}
