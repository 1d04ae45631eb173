#include "waxwinghollow/intent.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "private/intent_internal.h"

/*
 * With 300 bytes a key, its kept answer aside, and 120 a tombstone (see
 * docs/measurements/state.md) these and the bodies stay under 45 MB of the
 * 64 MB that a node has for control.
 */
#define DEFAULT_KEYS_MAX 65536
#define DEFAULT_TOMBSTONES_MAX 131072
#define DEFAULT_BODIES_MAX_BYTES (8 * 1024 * 1024)
#define DEFAULT_ABANDONED_MAX 4096

const char *const wwh_intent_verdict_names[WWH_INTENT_VERDICT_COUNT] = {
	"accepted", "repeated",	       "in-progress",	 "answered",
	"unknown",  "other-request",   "expired",	 "abandoned",
	"full",	    "result-accepted", "result-already", "result-no-intent",
};

const char *const wwh_key_state_names[WWH_KEY_STATE_COUNT] = {
	"none",	   "in-progress",   "answered", "not-run",
	"unknown", "other-request", "expired",
};

void wwh_intent_limits_defaults(wwh_intent_limits_t *limits)
{
	limits->keys_max = DEFAULT_KEYS_MAX;
	limits->tombstones_max = DEFAULT_TOMBSTONES_MAX;
	limits->bodies_max_bytes = DEFAULT_BODIES_MAX_BYTES;
	limits->abandoned_max = DEFAULT_ABANDONED_MAX;
}

/* Where the message goes; NULL: nowhere. */
static wwh_message_t *detail_at(wwh_verdict_detail_t *detail, int64_t offset)
{
	if (detail == NULL)
		return NULL;
	detail->offset = offset;
	detail->version = 0;
	return &detail->message;
}

/* What a key that is known says to another intent for it. */
static wwh_intent_verdict_t known_verdict(const wwh_intent_key_t *known,
					  const char *author,
					  const wwh_intent_item_t *item)
{
	if (strcmp(known->process->name, author) == 0 &&
	    known->sequence == item->sequence)
		return WWH_INTENT_REPEATED;
	if (known->state == WWH_KEY_NOT_RUN)
		return WWH_INTENT_ACCEPTED;
	if (memcmp(known->fingerprint, item->fingerprint,
		   WWH_FINGERPRINT_BYTES) != 0)
		return WWH_INTENT_OTHER_REQUEST;
	if (known->state == WWH_KEY_ANSWERED)
		return WWH_INTENT_ANSWERED;
	if (known->state == WWH_KEY_UNKNOWN)
		return WWH_INTENT_UNKNOWN;
	return WWH_INTENT_IN_PROGRESS;
}

/*
 * Room for one more key. Dropping a tombstone for it could run a request
 * twice, so a full table of tombstones refuses instead.
 */
static bool make_room(wwh_intents_t *intents)
{
	guint tombstones = g_hash_table_size(intents->by_hash);

	if ((int32_t)tombstones >= intents->limits.tombstones_max)
		return false;
	if ((int32_t)g_hash_table_size(intents->by_name) <
	    intents->limits.keys_max)
		return true;
	intents->expired_early++;
	wwh_intents_expire(intents, intents->first_key);
	return true;
}

static wwh_intent_verdict_t apply_intent(wwh_intents_t *intents, int64_t offset,
					 const wwh_intent_process_t *author,
					 const wwh_intent_item_t *item)
{
	wwh_intent_verdict_t verdict = WWH_INTENT_ACCEPTED;
	wwh_intent_key_t *key;

	if (author->abandoned != WWH_NO_OFFSET)
		return WWH_INTENT_ABANDONED;
	if (wwh_intents_has_tombstone(intents, item->service, item->key))
		return WWH_INTENT_EXPIRED;
	key = wwh_intents_find(intents, item->service, item->key);
	if (key != NULL)
		verdict = known_verdict(key, author->name, item);
	if (verdict != WWH_INTENT_ACCEPTED)
		return verdict;
	if (key != NULL)
		wwh_intents_remove(intents, key);
	if (!make_room(intents))
		return WWH_INTENT_FULL;
	key = wwh_intents_add(intents, item->service, item->key, author->name);
	key->offset = offset;
	key->sequence = item->sequence;
	memcpy(key->fingerprint, item->fingerprint, WWH_FINGERPRINT_BYTES);
	return WWH_INTENT_ACCEPTED;
}

static void apply_intents(wwh_intents_t *intents, int64_t offset,
			  const wwh_record_t *record, wwh_intent_visit_t visit,
			  void *client_data)
{
	const GPtrArray *items = record->body.intents.items;
	wwh_intent_process_t *author =
		wwh_intents_ensure_process(intents, record->author);

	author->keys++; /* keeps it while its own keys come and go */
	for (guint i = 0; i < items->len; i++) {
		const wwh_intent_item_t *item = items->pdata[i];
		wwh_intent_verdict_t verdict =
			apply_intent(intents, offset, author, item);

		intents->item_counts[verdict]++;
		if (visit != NULL)
			visit(record->author, item->service, item->key,
			      item->sequence, verdict, client_data);
	}
	author->keys--;
	wwh_intents_release_process(intents, author);
}

static wwh_intent_verdict_t apply_result(wwh_intents_t *intents,
					 const char *author,
					 const wwh_result_item_t *item)
{
	wwh_intent_key_t *key =
		wwh_intents_find(intents, item->service, item->key);

	if (key == NULL || key->sequence != item->sequence ||
	    strcmp(key->process->name, author) != 0)
		return WWH_INTENT_RESULT_NO_INTENT;
	if (key->state != WWH_KEY_IN_PROGRESS && key->state != WWH_KEY_UNKNOWN)
		return WWH_INTENT_RESULT_ALREADY;
	switch (item->result) {
	case WWH_RESULT_ANSWERED:
		key->state = WWH_KEY_ANSWERED;
		key->http_status = (int16_t)item->http_status;
		if (item->body_kept)
			wwh_intents_set_body(intents, key, item->body,
					     item->content_type, WWH_NO_OFFSET);
		break;
	case WWH_RESULT_NOT_RUN:
		key->state = WWH_KEY_NOT_RUN;
		break;
	default:
		key->state = WWH_KEY_UNKNOWN;
		break;
	}
	return WWH_INTENT_RESULT_ACCEPTED;
}

static void apply_results(wwh_intents_t *intents, const wwh_record_t *record,
			  wwh_intent_visit_t visit, void *client_data)
{
	const GPtrArray *items = record->body.results.items;

	for (guint i = 0; i < items->len; i++) {
		const wwh_result_item_t *item = items->pdata[i];
		wwh_intent_verdict_t verdict =
			apply_result(intents, record->author, item);

		intents->item_counts[verdict]++;
		if (visit != NULL)
			visit(record->author, item->service, item->key,
			      item->sequence, verdict, client_data);
	}
}

static wwh_verdict_t apply_abandon(wwh_intents_t *intents, int64_t offset,
				   const char *process,
				   wwh_verdict_detail_t *detail)
{
	if (wwh_intents_is_abandoned(intents, process)) {
		wwh_message_set(detail_at(detail, WWH_NO_OFFSET),
				"%s was abandoned before", process);
		return WWH_VERDICT_ALREADY;
	}
	wwh_intents_set_abandoned(intents, process, offset);
	for (wwh_intent_key_t *key = intents->first_key; key != NULL;
	     key = key->next) {
		if (key->state == WWH_KEY_IN_PROGRESS &&
		    strcmp(key->process->name, process) == 0)
			key->state = WWH_KEY_UNKNOWN;
	}
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t apply_expire(wwh_intents_t *intents, int64_t offset,
				  const wwh_record_expire_keys_t *body,
				  wwh_verdict_detail_t *detail)
{
	if (body->keys_upto > offset ||
	    body->tombstones_upto > intents->keys_upto) {
		wwh_message_set(detail_at(detail, WWH_NO_OFFSET),
				"keys up to %" PRId64 " of %" PRId64
				", tombstones up to %" PRId64 " of %" PRId64,
				body->keys_upto, offset, body->tombstones_upto,
				intents->keys_upto);
		return WWH_VERDICT_INVALID;
	}
	if (body->keys_upto <= intents->keys_upto &&
	    body->tombstones_upto <= intents->tombstones_upto) {
		wwh_message_set(detail_at(detail, WWH_NO_OFFSET),
				"the windows end later");
		return WWH_VERDICT_ALREADY;
	}
	intents->keys_upto = MAX(intents->keys_upto, body->keys_upto);
	intents->tombstones_upto =
		MAX(intents->tombstones_upto, body->tombstones_upto);
	while (intents->first_key != NULL &&
	       intents->first_key->offset < intents->keys_upto)
		wwh_intents_expire(intents, intents->first_key);
	wwh_intents_drop_tombstones(intents, intents->tombstones_upto);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t dispatch(wwh_intents_t *intents, int64_t offset,
			      const wwh_record_t *record,
			      wwh_intent_visit_t visit, void *client_data,
			      wwh_verdict_detail_t *detail)
{
	switch (record->kind) {
	case WWH_RECORD_INTENTS:
		apply_intents(intents, offset, record, visit, client_data);
		return WWH_VERDICT_ACCEPTED;
	case WWH_RECORD_RESULTS:
		apply_results(intents, record, visit, client_data);
		return WWH_VERDICT_ACCEPTED;
	case WWH_RECORD_ABANDON:
		return apply_abandon(intents, offset,
				     record->body.abandon.process, detail);
	case WWH_RECORD_EXPIRE_KEYS:
		return apply_expire(intents, offset, &record->body.expire_keys,
				    detail);
	case WWH_RECORD_SNAPSHOT:
		if (record->body.snapshot.upto <= offset)
			return WWH_VERDICT_ACCEPTED;
		wwh_message_set(detail_at(detail, WWH_NO_OFFSET),
				"a snapshot of records that are not written");
		return WWH_VERDICT_INVALID;
	default:
		wwh_message_set(detail_at(detail, WWH_NO_OFFSET),
				"%s is no record of intents",
				wwh_record_kind_names[record->kind]);
		return WWH_VERDICT_MALFORMED;
	}
}

static wwh_verdict_t count(wwh_intents_t *intents, wwh_verdict_t verdict)
{
	intents->verdict_counts[verdict]++;
	return verdict;
}

static bool advance(wwh_intents_t *intents, int64_t offset,
		    wwh_verdict_detail_t *detail)
{
	assert(offset >= 0);
	if (offset <= intents->last_offset) {
		wwh_message_set(detail_at(detail, intents->last_offset),
				"offset %" PRId64 " was applied before",
				offset);
		return false;
	}
	intents->last_offset = offset;
	wwh_message_set(detail_at(detail, WWH_NO_OFFSET), "%s", "");
	return true;
}

wwh_verdict_t wwh_intents_apply(wwh_intents_t *intents, int64_t offset,
				const wwh_record_t *record,
				wwh_intent_visit_t visit, void *client_data,
				wwh_verdict_detail_t *detail)
{
	if (!advance(intents, offset, detail))
		return count(intents, WWH_VERDICT_OLD_OFFSET);
	return count(intents, dispatch(intents, offset, record, visit,
				       client_data, detail));
}

wwh_verdict_t wwh_intents_apply_entry(wwh_intents_t *intents, int64_t offset,
				      const uint8_t *data, size_t size,
				      wwh_record_t *record,
				      wwh_intent_visit_t visit,
				      void *client_data,
				      wwh_verdict_detail_t *detail)
{
	wwh_message_t message = { "" };

	if (wwh_record_decode(data, size, record, &message) == WWH_STATUS_OK)
		return wwh_intents_apply(intents, offset, record, visit,
					 client_data, detail);
	if (!advance(intents, offset, detail))
		return count(intents, WWH_VERDICT_OLD_OFFSET);
	wwh_message_set(detail_at(detail, WWH_NO_OFFSET), "%s", message.text);
	return count(intents, WWH_VERDICT_MALFORMED);
}

void wwh_intent_fingerprint(const char *method, const char *path,
			    const uint8_t *body, size_t size,
			    uint8_t fingerprint[WWH_FINGERPRINT_BYTES])
{
	XXH3_state_t *hash = XXH3_createState();
	XXH128_canonical_t canonical;

	XXH3_128bits_reset(hash);
	XXH3_128bits_update(hash, method, strlen(method) + 1);
	XXH3_128bits_update(hash, path, strlen(path) + 1);
	XXH3_128bits_update(hash, body, size);
	XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(hash));
	memcpy(fingerprint, canonical.digest, WWH_FINGERPRINT_BYTES);
	XXH3_freeState(hash);
}
