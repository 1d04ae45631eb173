/*
 * Rows that no platform writes: another writer leaves them in the store, and
 * the list of hosts and the answers of some upstreams contain them.
 */
#include "soak.h"

#include <string.h>

#define ODD_MS 4000
#define DEEP_LEVELS 200000
#define HUGE_NUMBER "12345678901234567890123456"
#define DEEP "[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]"
#define VALID_REST                                                             \
	"\"service\":\"desk-a\",\"zone\":\"a\",\"version\":\"v\","             \
	"\"slots\":1,\"state\":\"ready\",\"labels\":[\"a\",\"r1-0\"],"         \
	"\"sequence\":1,\"capacity\":{\"cpu\":1,\"memMb\":1}"

/* A % stands for DEEP_LEVELS opening brackets. */
static const char *const odd_values[] = {
	"%",
	"{\"service\":%",
	"{\"a\":/* \" */%\"}",
	"{" VALID_REST ",\"address\":\"127.0.0.1:0\"}",
	"{" VALID_REST ",\"address\":\"127.0.0.1:65536\"}",
	"{" VALID_REST ",\"address\":\"127.0.0.1:-7\"}",
	"{" VALID_REST ",\"address\":\"\"}",
	"{" VALID_REST ",\"address\":\"nowhere.example:80\"}",
	"{" VALID_REST ",\"address\":\"127.0.0.1:1\",\"coldLeftMs\":1e999}",
	"{" VALID_REST ",\"address\":\"127.0.0.1:1\",\"x\":" HUGE_NUMBER "}",
	"{}",
	"\xff\xfe",
};

static const char *const odd_hosts[] = {
	"{\"machine\":\"odd\",\"n\":/* \" */%\"}",
	"{\"machine\":" DEEP "}",
	"{\"machine\":\"odd\",\"n\":" HUGE_NUMBER "}",
	"{\"machine\":\"odd\",\"pool\":7,\"state\":\"up\"}",
	"null",
};

static const char *const odd_running[] = {
	"[\"0000000000000001.0.0.0\",12345678901234567890123456,\"\",1,0]",
	"[\"0000000000000001.0.0.0\",1e999,\"\",1,0]",
	"[\"0000000000000001.0.0.0\",0.5,\"\",1,0]",
	DEEP,
	"{}",
	"null",
};

static const char *const odd_ends[] = {
	"[12345678901234567890123456,\"t\",1,\"done\",\"\"]",
	"[999999999999999999,\"0000000000000001.0.0.0\",1,\"done\",\"\"]",
	"[-7,\"0000000000000001.0.0.0\",1,\"done\",\"\"]",
	"[0.5,\"0000000000000001.0.0.0\",1,\"done\",\"\"]",
	DEEP,
	"\"x\"",
};

static const char *const odd_clocks[] = {
	"0", "-5", "0.5", "1e999", "\"x\"", "999999999999999", HUGE_NUMBER,
};

static int64_t hosts_until_ms;

#define DRAW(list) draw_from(list, G_N_ELEMENTS(list))

static const char *draw_from(const char *const *list, size_t count)
{
	return list[g_rand_int_range(soak.rand, 0, (gint32)count)];
}

static char *expand(const char *text)
{
	const char *deep = strchr(text, '%');
	char *brackets;
	char *value;

	if (deep == NULL)
		return g_strdup(text);
	brackets = g_strnfill(DEEP_LEVELS, '[');
	value = g_strdup_printf("%.*s%s%s", (int)(deep - text), text, brackets,
				deep + 1);
	g_free(brackets);
	return value;
}

static void put(const char *topic, const char *key)
{
	char *value = expand(DRAW(odd_values));

	soak_store_put(topic, key, value);
	g_free(value);
}

static void remove_entries(void *data)
{
	(void)data;
	soak_store_put("keyed.servers", "odd", NULL);
	soak_store_put("keyed.servers", "i-0", NULL);
	soak_store_put("keyed.op", "wave/7", NULL);
}

void soak_odd_begin(void)
{
	int32_t count = 1 + soak.options.upstreams / 8;

	put("keyed.servers", "odd");
	put("keyed.servers", "i-0");
	put("keyed.op", "wave/7");
	soak_after(ODD_MS, remove_entries, NULL);
	hosts_until_ms = soak_now_ms() + ODD_MS;
	for (int32_t i = 0; i < count; i++)
		soak.upstreams[g_rand_int_range(soak.rand, 0,
						soak.options.upstreams)]
			.odd_until_ms = soak_now_ms() + ODD_MS / 2;
}

static void append_row(GString *rows, const char *text)
{
	char *row = expand(text);

	if (rows->str[rows->len - 1] != '[')
		g_string_append_c(rows, ',');
	g_string_append(rows, row);
	g_free(row);
}

static bool is_odd(const soak_upstream_t *upstream)
{
	return soak_now_ms() < upstream->odd_until_ms &&
	       g_rand_int_range(soak.rand, 0, 3) == 0;
}

void soak_odd_append_host(GString *rows)
{
	if (soak_now_ms() < hosts_until_ms)
		append_row(rows, DRAW(odd_hosts));
}

void soak_odd_append_running(const soak_upstream_t *upstream, GString *rows)
{
	if (is_odd(upstream))
		append_row(rows, DRAW(odd_running));
}

void soak_odd_append_end(const soak_upstream_t *upstream, GString *rows)
{
	if (is_odd(upstream))
		append_row(rows, DRAW(odd_ends));
}

void soak_odd_append_clock(const soak_upstream_t *upstream, GString *text,
			   int64_t clock_ms)
{
	if (is_odd(upstream))
		g_string_append(text, DRAW(odd_clocks));
	else
		g_string_append_printf(text, "%" G_GINT64_FORMAT, clock_ms);
}
