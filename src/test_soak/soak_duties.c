/*
 * Orders for hosts, moves and upkeeps, as the platform carries them out, and
 * the waves that the operator requests. The rules ONE, LIMIT and MIXED of waves
 * are checked here.
 */
#include "soak.h"

#include <string.h>

#define MOVE_MS 1500
#define UPKEEP_MS 2000
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
/* A wave has one host in that many at most. */
#define WAVE_SHARE 5
#define WAVE_S 20

/* What happens to orders for hosts. */
typedef enum {
	ORDER_ANSWERED = 0,
	ORDER_LOST, /* carried out, its answer is lost */
	ORDER_LATE, /* the same, after some seconds */
	ORDER_COUNT
} order_mode_t;

typedef struct {
	int64_t number;
	int32_t max_down;
	bool completed;
	GPtrArray *hosts; /* soak_upstream_t */
	GHashTable *begun; /* soak_upstream_t that have begun their upkeep */
} wave_t;

/* One order that arrived. */
typedef struct {
	struct evhttp_request *request; /* NULL: answered by nobody */
	char *host;
	char *pool; /* NULL: an upkeep */
	int64_t wave;
	char *holder;
	int64_t token;
} order_t;

static GPtrArray *waves; /* wave_t */
static int64_t lost_until_ms;
static int64_t late_until_ms;
static int64_t newest_wave;

static wave_t *find_wave(int64_t number)
{
	for (guint i = 0; i < waves->len; i++) {
		wave_t *wave = g_ptr_array_index(waves, i);

		if (wave->number == number)
			return wave;
	}
	return NULL;
}

static void answer(const order_t *order, int32_t status, const char *reason)
{
	char *text;

	soak_record("hosts: %s of %s for wave %" G_GINT64_FORMAT
		    " by %s (token %" G_GINT64_FORMAT ") -> %d %s%s",
		    order->pool != NULL ? "move" : "upkeep", order->host,
		    order->wave, order->holder, order->token, status, reason,
		    order->request == NULL ? ", unanswered" : "");
	if (order->request == NULL)
		return;
	text = g_strdup_printf("{\"reason\":\"%s\"}", reason);
	soak_answer(order->request, status, status == 200 ? "{}" : text, 0);
	g_free(text);
}

/* Fences count for each host by itself. */
static bool is_fenced(soak_upstream_t *host, const order_t *order)
{
	if (order->token < host->duty_token && !soak.options.unfenced)
		return true;
	if (order->token < host->duty_token)
		soak_break("ONE",
			   "%s is ordered by %s with token %" G_GINT64_FORMAT
			   " after %" G_GINT64_FORMAT " of %s",
			   host->host, order->holder, order->token,
			   host->duty_token, host->duty_holder);
	if (order->token == host->duty_token &&
	    g_strcmp0(order->holder, host->duty_holder) != 0)
		soak_break("ONE",
			   "%s is ordered by %s and %s with token "
			   "%" G_GINT64_FORMAT,
			   host->host, host->duty_holder, order->holder,
			   order->token);
	host->duty_token = MAX(host->duty_token, order->token);
	g_free(host->duty_holder);
	host->duty_holder = g_strdup(order->holder);
	/* planted: as if a later holder had sent one since */
	if (soak.options.plant == SOAK_PLANT_HIGHER_TOKEN)
		host->duty_token++;
	/* planted: as if another holder had sent it */
	if (soak.options.plant == SOAK_PLANT_TWO_HOLDERS) {
		g_free(host->duty_holder);
		host->duty_holder = g_strdup("planted");
	}
	return false;
}

static void end_absence(void *data)
{
	soak_upstream_t *host = data;

	host->pool = host->next_pool;
	host->absence = NULL;
	host->wave = 0;
	soak_upstream_restart(host, false);
}

/* All that runs on the host ends at once. */
static void begin_absence(soak_upstream_t *host, const char *state,
			  int32_t pool, int64_t ms)
{
	soak_upstream_leave(host);
	host->absence = state;
	host->next_pool = pool;
	soak_after(ms, end_absence, host);
}

static int32_t count_down(const wave_t *wave)
{
	int32_t count = 0;

	for (guint i = 0; i < wave->hosts->len; i++) {
		const soak_upstream_t *host = g_ptr_array_index(wave->hosts, i);

		count += host->wave == wave->number;
	}
	return count;
}

static void begin_upkeep(soak_upstream_t *host, wave_t *wave)
{
	if (count_down(wave) >= wave->max_down)
		soak_break("LIMIT",
			   "%s begins its upkeep while %d of wave "
			   "%" G_GINT64_FORMAT " are down",
			   host->host, wave->max_down, wave->number);
	host->wave = wave->number;
	g_hash_table_add(wave->begun, host);
	begin_absence(host, "upkeep", host->pool, UPKEEP_MS);
}

static int32_t find_pool(const char *name)
{
	for (int32_t i = 0; i < SOAK_POOLS; i++) {
		if (strcmp(soak_pool_names[i], name) == 0)
			return i;
	}
	return -1;
}

static soak_upstream_t *find_host(const char *name)
{
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		if (g_strcmp0(soak.upstreams[i].host, name) == 0)
			return &soak.upstreams[i];
	}
	return NULL;
}

static void carry_out(const order_t *order)
{
	soak_upstream_t *host = find_host(order->host);
	wave_t *wave = order->pool == NULL ? find_wave(order->wave) : NULL;
	int32_t pool = order->pool == NULL ? -1 : find_pool(order->pool);
	bool is_done = host != NULL &&
		       (order->pool != NULL
				? host->up && host->pool == pool
				: wave != NULL && g_hash_table_contains(
							  wave->begun, host));

	if (host == NULL || (order->pool != NULL && pool < 0)) {
		answer(order, 400, "unknown");
	} else if (is_fenced(host, order)) {
		answer(order, 409, "fence");
	} else if (is_done) {
		answer(order, 200, "done before");
	} else if (!host->up || host->draining) {
		answer(order, 409, "busy");
	} else if (order->pool != NULL) {
		begin_absence(host, "moving", pool, MOVE_MS);
		answer(order, 200, "begun");
	} else if (wave == NULL || !g_ptr_array_find(wave->hosts, host, NULL)) {
		answer(order, 409, "wave");
	} else {
		/* planted: the answer is untrue */
		if (soak.options.plant != SOAK_PLANT_NO_UPKEEP)
			begin_upkeep(host, wave);
		answer(order, 200, "begun");
	}
}

static void free_order(order_t *order)
{
	g_free(order->host);
	g_free(order->pool);
	g_free(order->holder);
	g_free(order);
}

static void carry_out_late(void *data)
{
	carry_out(data);
	free_order(data);
}

static order_t *read_order(struct evhttp_request *request, JsonObject *object)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	const char *token =
		evhttp_find_header(headers, "Waxwinghollow-Fencing-Token");
	order_t *order = g_new0(order_t, 1);

	order->request = request;
	order->host =
		g_strdup(json_object_get_string_member(object, "machine"));
	if (json_object_has_member(object, "pool"))
		order->pool =
			g_strdup(json_object_get_string_member(object, "pool"));
	order->wave = soak_number(object, "wave", 0);
	order->holder = g_strdup(
		evhttp_find_header(headers, "Waxwinghollow-Duty-Holder"));
	order->token = token == NULL ? 0 : g_ascii_strtoll(token, NULL, 10);
	return order;
}

/* Orders may be carried out late only where fences are checked. */
static order_mode_t mode_of_order(void)
{
	if (soak_now_ms() < late_until_ms && !soak.options.unfenced)
		return ORDER_LATE;
	return soak_now_ms() < lost_until_ms ? ORDER_LOST : ORDER_ANSWERED;
}

void soak_duties_serve(struct evhttp_request *request)
{
	JsonNode *root = soak_parse_body(request);
	order_mode_t mode = ORDER_ANSWERED;
	order_t *order;

	if (root == NULL) {
		soak_answer(request, 400, "{}", 0);
		return;
	}
	order = read_order(request, json_node_get_object(root));
	json_node_unref(root);
	if (g_rand_boolean(soak.rand))
		mode = mode_of_order();
	if (mode != ORDER_ANSWERED)
		order->request = NULL;
	if (mode == ORDER_LATE) {
		soak_after(
			g_rand_int_range(soak.rand, LATE_MIN_MS, LATE_MAX_MS),
			carry_out_late, order);
		return;
	}
	carry_out(order);
	free_order(order);
}

void soak_duties_lose_answers(int64_t ms)
{
	soak_record("hosts: answers to orders are lost for %d ms", (int)ms);
	lost_until_ms = soak_now_ms() + ms;
}

void soak_duties_delay(int64_t ms)
{
	soak_record("hosts: orders are carried out late for %d ms", (int)ms);
	late_until_ms = soak_now_ms() + ms;
}

static void publish_wave(const wave_t *wave)
{
	int32_t max_down = wave->max_down;
	GString *text = g_string_new(NULL);
	char *key = g_strdup_printf("wave/%" G_GINT64_FORMAT, wave->number);

	/* planted: more may be down than are allowed */
	if (soak.options.plant == SOAK_PLANT_WAVE_LIMIT)
		max_down += 2;
	g_string_printf(text, "{\"wave\":%" G_GINT64_FORMAT ",\"machines\":[",
			wave->number);
	for (guint i = 0; i < wave->hosts->len; i++) {
		const soak_upstream_t *host = g_ptr_array_index(wave->hosts, i);

		g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
				       host->host);
	}
	g_string_append_printf(text, "],\"durationS\":%d,\"maxCount\":%d}",
			       WAVE_S, max_down);
	soak_record("%s: %s", key, text->str);
	soak_store_put("keyed.op", key, text->str);
	g_free(key);
	g_string_free(text, TRUE);
}

void soak_duties_request_wave(void)
{
	wave_t *wave = g_new0(wave_t, 1);
	int32_t first = g_rand_int_range(soak.rand, 0, soak.options.upstreams);
	int32_t count = g_rand_int_range(
		soak.rand, 1, 2 + soak.options.upstreams / WAVE_SHARE);

	newest_wave += 1 + newest_wave % 2;
	wave->number = newest_wave;
	wave->max_down = g_rand_int_range(soak.rand, 1, 4);
	wave->hosts = g_ptr_array_new();
	wave->begun = g_hash_table_new(NULL, NULL);
	for (int32_t i = 0; i < count; i++)
		g_ptr_array_add(
			wave->hosts,
			&soak.upstreams[(first + i) % soak.options.upstreams]);
	g_ptr_array_add(waves, wave);
	publish_wave(wave);
}

void soak_duties_check_status(const char *key, const char *value, size_t size)
{
	wave_t *wave;

	if (!g_str_has_prefix(key, "wave/") ||
	    g_strstr_len(value, (gssize)size, "\"completed\"") == NULL)
		return;
	wave = find_wave(g_ascii_strtoll(strchr(key, '/') + 1, NULL, 10));
	if (wave == NULL || wave->completed)
		return;
	wave->completed = true;
	soak_record("%s is completed", key);
	if (g_hash_table_size(wave->begun) < wave->hosts->len)
		soak_break("MIXED",
			   "%s is shown as completed, %u of %u hosts "
			   "have begun their upkeep",
			   key, g_hash_table_size(wave->begun),
			   wave->hosts->len);
}

void soak_duties_start(void)
{
	waves = g_ptr_array_new();
}
