#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

/*
 * The types of the small platform of standin_jobs.h, and its store: a log with
 * topics, the newest record of each key, a group of one member, and the list of
 * hosts, which is served beside it.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/listener.h"

#define STANDIN_POOL "desk"
#define STANDIN_UPSTREAMS 3
#define STANDIN_TOPICS 16

typedef struct {
	char *key;
	GBytes *value; /* NULL: dropped */
} standin_record_t;

typedef struct {
	char *name; /* TOPIC/PART */
	GPtrArray *records; /* standin_record_t; those before first are gone */
	int64_t first;
	int64_t epoch;
	int64_t sequence; /* the last one of that epoch; -1: none */
	char *last_answer;
} standin_part_t;

typedef struct {
	char task[64];
	int64_t run;
	int64_t end_us;
} standin_run_t;

typedef struct standin standin_t;

typedef struct {
	standin_t *standin;
	wwh_listener_t *listener;
	char id[16];
	int64_t token;
	GArray *runs; /* standin_run_t */
	GPtrArray *ended; /* rows as JSON */
	int64_t ended_count;
	int32_t crashes;
} standin_upstream_t;

struct standin {
	GMutex lock;
	GCond grown;
	bool ending; /* no reader waits any more */
	wwh_counters_t *counters;
	wwh_listener_t *store;
	GHashTable *parts; /* name to standin_part_t */
	char *member; /* who holds all partitions */
	int64_t member_ms;
	int64_t generation;
	standin_upstream_t upstreams[STANDIN_UPSTREAMS];
	GHashTable *done; /* task names */
	GHashTable *starts; /* task name to count */
	int32_t twice; /* runs that should never have begun */
	int64_t task_ms;
	const char *crashing_task; /* crashes each upstream that starts it */
	/* With the next claim, another process claims. */
	bool has_rival_claim;
	int64_t rival_ahead; /* the rival's epoch less that of the claim */
	bool silent; /* the store takes calls and answers none */
	bool announces_late; /* reads of announcements get no answer in time */
	bool busy; /* it refuses all calls at once */
	bool refuses_records; /* and serves all else */
	int64_t refused_epoch; /* it refuses appends of this one */
	size_t record_max_bytes; /* rejects larger ones with 413; 0: none */
	bool rejects_all; /* with 400 */
	int64_t append_delay_ms; /* answers to all appends */
	int64_t notice_delay_ms; /* answers to appends at partition 1 */
	bool short_history; /* only the newest record of a key is kept */
	const char *hosts; /* rows of its list, as JSON; NULL: none */
	bool lists_upstreams; /* the list shows the host of each upstream */
	int32_t host_orders; /* that have arrived */
	char host_caller[16]; /* who gave the last one */
	int32_t host_orders_out; /* that aren't answered yet */
	int32_t host_overlaps; /* given while another's were out */
	int64_t host_delay_ms; /* until they are answered */
	int64_t heavy_token; /* polls under it are answered at length */
	bool heavy_for_all; /* and under any other */
	const char *odd_row; /* added to running rows; NULL: none */
	char *ballast; /* which takes the reader's time and says nothing */
	bool loses_poll; /* the first one of the next token at u0 */
	int64_t poll_lost_ms; /* when that was; 0: not yet */
	int64_t start_after_ms; /* the first start since; 0: none */
};

static inline int64_t standin_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static inline void standin_answer(wwh_http_response_t *response, int32_t status,
				  const char *text)
{
	response->status = status;
	g_byte_array_append(response->body, (const guint8 *)text,
			    (guint)strlen(text));
}

static inline standin_part_t *standin_part(standin_t *standin,
					   const char *topic, const char *part)
{
	char *name = g_strconcat(topic, "/", part, NULL);
	standin_part_t *found = g_hash_table_lookup(standin->parts, name);

	if (found == NULL) {
		found = g_new0(standin_part_t, 1);
		found->name = name;
		found->records = g_ptr_array_new();
		found->sequence = -1;
		g_hash_table_insert(standin->parts, found->name, found);
	} else {
		g_free(name);
	}
	return found;
}

static inline void standin_put(standin_t *standin, const char *topic,
			       const char *part, const char *key,
			       const void *value, size_t size)
{
	standin_part_t *found = standin_part(standin, topic, part);
	standin_record_t *record = g_new0(standin_record_t, 1);

	record->key = g_strdup(key);
	record->value = size == 0 ? NULL : g_bytes_new(value, size);
	g_ptr_array_add(found->records, record);
	if (standin->short_history)
		found->first = (int64_t)found->records->len;
	g_cond_broadcast(&standin->grown);
}

static inline int64_t standin_number(const char *target, const char *name,
				     int64_t fallback)
{
	char *text = wwh_http_query_value(target, name);
	int64_t value =
		text == NULL ? fallback : g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return value;
}

static inline void standin_put_rival_claim(standin_t *standin,
					   const char *topic, const char *part,
					   int64_t epoch)
{
	char *text =
		g_strdup_printf("%" G_GINT64_FORMAT " 0123456789abcdef", epoch);

	standin->has_rival_claim = false;
	standin_put(standin, topic, part, "C", text, strlen(text));
	g_free(text);
}

static inline bool standin_has_large_record(const standin_t *standin,
					    const wwh_http_request_t *http)
{
	uint32_t size;

	for (size_t at = 0; at + 4 < http->body_size; at += 4 + size) {
		memcpy(&size, http->body + at, 4);
		size = GUINT32_FROM_BE(size);
		if (standin->record_max_bytes > 0 &&
		    size > standin->record_max_bytes)
			return true;
	}
	return false;
}

static inline void standin_append(standin_t *standin,
				  const wwh_http_request_t *http,
				  const char *topic, const char *part,
				  wwh_http_response_t *response)
{
	standin_part_t *found = standin_part(standin, topic, part);
	int64_t epoch = standin_number(http->target, "epoch", -1);
	int64_t sequence = standin_number(http->target, "sequence", -1);
	bool has_rival = standin->has_rival_claim && epoch > found->epoch;
	int64_t rival_epoch = epoch + standin->rival_ahead;
	int64_t offset;

	if (standin->refuses_records ||
	    (standin->refused_epoch != 0 && epoch == standin->refused_epoch)) {
		standin_answer(response, 503, "{}");
		return;
	}
	if (standin->rejects_all) {
		standin_answer(response, 400, "{}");
		return;
	}
	if (standin_has_large_record(standin, http)) {
		standin_answer(response, 413, "{}");
		return;
	}
	if (epoch >= 0 && epoch < found->epoch) {
		standin_answer(response, 409, "{\"reason\":\"fenced\"}");
		return;
	}
	if (epoch >= 0 && epoch == found->epoch &&
	    sequence == found->sequence) {
		standin_answer(response, 200, found->last_answer);
		return;
	}
	if (epoch >= 0 && epoch == found->epoch &&
	    sequence != found->sequence + 1) {
		standin_answer(response, 409, "{\"reason\":\"seq\"}");
		return;
	}
	if (has_rival && rival_epoch <= epoch)
		standin_put_rival_claim(standin, topic, part, rival_epoch);
	offset = found->records->len;
	/* a claim of an equal epoch counts as a repetition of the rival's */
	for (size_t at = has_rival && rival_epoch == epoch ? http->body_size
							   : 0;
	     at + 4 < http->body_size;) {
		uint32_t size;
		size_t key_size = http->body[at + 4];
		char *key;

		memcpy(&size, http->body + at, 4);
		size = GUINT32_FROM_BE(size);
		key = g_strndup((const char *)http->body + at + 5, key_size);
		standin_put(standin, topic, part, key,
			    http->body + at + 5 + key_size,
			    size - 1 - key_size);
		g_free(key);
		at += 4 + size;
	}
	if (has_rival && rival_epoch > epoch)
		standin_put_rival_claim(standin, topic, part, rival_epoch);
	if (epoch >= 0) {
		found->epoch = has_rival ? MAX(epoch, rival_epoch) : epoch;
		found->sequence = sequence;
	}
	g_free(found->last_answer);
	found->last_answer =
		g_strdup_printf("{\"offset\":%" G_GINT64_FORMAT ",\"end\":%u}",
				offset, found->records->len);
	standin_answer(response, 200, found->last_answer);
}

static inline void standin_read(standin_t *standin,
				const wwh_http_request_t *http,
				const char *topic, const char *part,
				wwh_http_response_t *response)
{
	standin_part_t *found = standin_part(standin, topic, part);
	int64_t from = standin_number(http->target, "from", 0);
	int64_t end_us = g_get_monotonic_time() +
			 standin_number(http->target, "waitMs", 0) * 1000;
	uint64_t head[2];

	while (from >= (int64_t)found->records->len && !standin->ending) {
		if (!g_cond_wait_until(&standin->grown, &standin->lock, end_us))
			break;
	}
	if (from < found->first) {
		standin_answer(response, 410, "{\"first\":0}");
		return;
	}
	head[0] = GUINT64_TO_BE(found->records->len);
	head[1] = GUINT64_TO_BE(found->first);
	g_byte_array_append(response->body, (guint8 *)head, sizeof(head));
	for (guint i = (guint)from; i < found->records->len; i++) {
		standin_record_t *record = g_ptr_array_index(found->records, i);
		gsize size = 0;
		const void *value = NULL;
		uint8_t key_size = (uint8_t)strlen(record->key);
		uint32_t total;

		if (record->value != NULL)
			value = g_bytes_get_data(record->value, &size);
		total = GUINT32_TO_BE((uint32_t)(1 + key_size + size));
		g_byte_array_append(response->body, (guint8 *)&total, 4);
		g_byte_array_append(response->body, &key_size, 1);
		g_byte_array_append(response->body, (guint8 *)record->key,
				    key_size);
		if (size > 0)
			g_byte_array_append(response->body, value, (guint)size);
	}
	response->status = 200;
}

/* The newest record of each key, in pages of two so that paging is used. */
static inline void standin_newest(standin_t *standin,
				  const wwh_http_request_t *http,
				  const char *topic, const char *part,
				  wwh_http_response_t *response)
{
	standin_part_t *found = standin_part(standin, topic, part);
	char *after = wwh_http_query_value(http->target, "dependsOn");
	GTree *keys = g_tree_new((GCompareFunc)(void *)strcmp);
	GString *text = g_string_new("{\"items\":[");
	GTreeNode *node;
	int32_t count = 0;

	for (guint i = 0; i < found->records->len; i++) {
		standin_record_t *record = g_ptr_array_index(found->records, i);

		if (record->value == NULL)
			g_tree_remove(keys, record->key);
		else
			g_tree_replace(keys, record->key, record);
	}
	node = after == NULL ? g_tree_node_first(keys)
			     : g_tree_upper_bound(keys, after);
	for (; node != NULL && count < 2; node = g_tree_node_next(node)) {
		standin_record_t *record = g_tree_node_value(node);
		gsize size;
		const void *value = g_bytes_get_data(record->value, &size);
		char *base64 = g_base64_encode(value, size);

		g_string_append_printf(text,
				       "%s{\"key\":\"%s\",\"value\":\"%s\","
				       "\"offset\":0}",
				       count++ > 0 ? "," : "", record->key,
				       base64);
		g_free(base64);
	}
	g_string_append_printf(text, "],\"truncated\":%s,\"end\":%u}",
			       node != NULL ? "true" : "false",
			       found->records->len);
	standin_answer(response, 200, text->str);
	g_string_free(text, TRUE);
	g_tree_destroy(keys);
	g_free(after);
}

/* One member holds all partitions until it has been silent for its time. */
static inline void standin_join(standin_t *standin,
				const wwh_http_request_t *http,
				wwh_http_response_t *response)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	const char *member;
	char *text;

	assert_true(json_parser_load_from_data(parser, (char *)http->body,
					       (gssize)http->body_size, NULL));
	object = json_node_get_object(json_parser_get_root(parser));
	member = json_object_get_string_member(object, "member");
	if (standin->member == NULL ||
	    standin_now_ms() - standin->member_ms >
		    json_object_get_int_member(object, "ttlMs")) {
		g_free(standin->member);
		standin->member = g_strdup(member);
		standin->generation++;
	}
	if (strcmp(standin->member, member) == 0)
		standin->member_ms = standin_now_ms();
	text = g_strdup_printf(
		"{\"generation\":%" G_GINT64_FORMAT ",\"parts\":[%s]}",
		standin->generation,
		strcmp(standin->member, member) == 0
			? "[\"keyed.wwh\",0,0],[\"keyed.wwh\",1,0]"
			: "");
	standin_answer(response, 200, text);
	g_free(text);
	g_object_unref(parser);
}

/* Answered after a while, during which others may arrive. */
static inline void standin_on_host_order(standin_t *standin,
					 const wwh_http_request_t *http,
					 wwh_http_response_t *response)
{
	const char *caller =
		wwh_headers_get(http->headers, "Waxwinghollow-Duty-Holder");
	int64_t delay_us = standin->host_delay_ms * 1000;

	assert_non_null(caller);
	if (standin->host_orders_out > 0 &&
	    strcmp(standin->host_caller, caller) != 0)
		standin->host_overlaps++;
	g_strlcpy(standin->host_caller, caller, sizeof(standin->host_caller));
	standin->host_orders++;
	standin->host_orders_out++;
	g_mutex_unlock(&standin->lock);
	g_usleep((gulong)delay_us);
	g_mutex_lock(&standin->lock);
	standin->host_orders_out--;
	standin_answer(response, 200, "{}");
}

static inline char *standin_host_rows(const standin_t *standin)
{
	GString *rows = g_string_new(standin->hosts);

	for (int32_t i = 0; standin->lists_upstreams && i < STANDIN_UPSTREAMS;
	     i++)
		g_string_append_printf(
			rows,
			"%s{\"machine\":\"h%d\",\"pool\":\"" STANDIN_POOL
			"\",\"state\":\"up\",\"id\":\"%s\"}",
			rows->len > 0 ? "," : "", (int)i,
			standin->upstreams[i].id);
	return g_string_free(rows, FALSE);
}

/* Hosts are served beside the store, also while that one isn't. */
static inline bool standin_on_hosts(standin_t *standin, const char *path,
				    const wwh_http_request_t *http,
				    wwh_http_response_t *response)
{
	char *rows;
	char *list;

	if (g_str_has_suffix(path, "/machine-move") ||
	    g_str_has_suffix(path, "/machine-upkeep")) {
		standin_on_host_order(standin, http, response);
		return true;
	}
	if (!g_str_has_suffix(path, "/machines"))
		return false;
	rows = standin_host_rows(standin);
	list = g_strdup_printf("{\"machines\":[%s],\"nextToken\":null}", rows);
	g_free(rows);
	standin_answer(response, 200, list);
	g_free(list);
	return true;
}

static inline void standin_on_store(const wwh_http_request_t *http,
				    wwh_http_response_t *response, void *data)
{
	standin_t *standin = data;
	char *path = wwh_http_target_path(http->target);
	char *topic = wwh_http_query_value(http->target, "topic");
	char *part = wwh_http_query_value(http->target, "part");

	g_mutex_lock(&standin->lock);
	if (standin_on_hosts(standin, path, http, response)) {
		/* answered */
	} else if (standin->silent) {
		g_mutex_unlock(&standin->lock);
		g_usleep(3000 * 1000);
		g_mutex_lock(&standin->lock);
		standin_answer(response, 503, "{}");
	} else if (standin->busy) {
		standin_answer(response, 503, "{}");
	} else if (g_str_has_suffix(path, "/log-append")) {
		int64_t slow_us = standin->append_delay_ms * 1000;

		standin_append(standin, http, topic, part, response);
		g_mutex_unlock(&standin->lock);
		g_usleep((gulong)slow_us);
		g_mutex_lock(&standin->lock);
		if (strcmp(part, "1") == 0 && standin->notice_delay_ms > 0) {
			int64_t delay_us = standin->notice_delay_ms * 1000;

			g_mutex_unlock(&standin->lock);
			g_usleep((gulong)delay_us);
			g_mutex_lock(&standin->lock);
		}
	} else if (g_str_has_suffix(path, "/log-read") &&
		   standin->announces_late &&
		   strcmp(topic, "keyed.servers") == 0) {
		g_mutex_unlock(&standin->lock);
		g_usleep(3000 * 1000);
		g_mutex_lock(&standin->lock);
		standin_answer(response, 503, "{}");
	} else if (g_str_has_suffix(path, "/log-read")) {
		standin_read(standin, http, topic, part, response);
	} else if (g_str_has_suffix(path, "/log-newest")) {
		standin_newest(standin, http, topic, part, response);
	} else if (g_str_has_suffix(path, "/log-join")) {
		standin_join(standin, http, response);
	} else if (g_str_has_suffix(path, "/log-leave")) {
		g_clear_pointer(&standin->member, g_free);
		standin_answer(response, 200, "{}");
	} else {
		standin_answer(response, 400, "{}");
	}
	g_mutex_unlock(&standin->lock);
	g_free(path);
	g_free(topic);
	g_free(part);
}

#endif
