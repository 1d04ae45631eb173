#ifndef WWH_TEST_INTENT_FIXTURE_H
#define WWH_TEST_INTENT_FIXTURE_H

/*
 * NAME
 *	intent_fixture - builds records of stream intents for tests
 *
 * USE
 *	Each *_record function initializes a record; the caller clears it.
 *	Each *_add function adds an item to such a record.
 */

#include <glib.h>
#include <string.h>

#include "waxwinghollow/intent.h"

#define FIXTURE_SERVICE "numbering"

static inline void intents_record(wwh_record_t *record, const char *process)
{
	wwh_record_init(record, WWH_RECORD_INTENTS, process);
}

static inline void intents_add(wwh_record_t *record, const char *key,
			       uint8_t request, int64_t sequence)
{
	wwh_intent_item_t *item = wwh_intent_item_new(FIXTURE_SERVICE, key);

	item->fingerprint[0] = request;
	item->sequence = sequence;
	g_ptr_array_add(record->body.intents.items, item);
}

static inline void results_record(wwh_record_t *record, const char *process)
{
	wwh_record_init(record, WWH_RECORD_RESULTS, process);
}

static inline void results_add(wwh_record_t *record, const char *key,
			       int64_t sequence, wwh_result_t result,
			       const char *body)
{
	wwh_result_item_t *item = wwh_result_item_new(FIXTURE_SERVICE, key);

	item->sequence = sequence;
	item->result = result;
	if (result == WWH_RESULT_ANSWERED) {
		item->http_status = 200;
		item->body_kept = true;
		wwh_record_set(&item->content_type, "text/plain");
		g_bytes_unref(item->body);
		item->body = g_bytes_new(body, strlen(body));
	}
	g_ptr_array_add(record->body.results.items, item);
}

static inline void abandon_record(wwh_record_t *record, const char *author,
				  const char *process)
{
	wwh_record_init(record, WWH_RECORD_ABANDON, author);
	wwh_record_set(&record->body.abandon.process, process);
}

static inline void expire_record(wwh_record_t *record, const char *author,
				 int64_t keys, int64_t tombstones)
{
	wwh_record_init(record, WWH_RECORD_EXPIRE_KEYS, author);
	record->body.expire_keys.keys_upto = keys;
	record->body.expire_keys.tombstones_upto = tombstones;
}

#endif
