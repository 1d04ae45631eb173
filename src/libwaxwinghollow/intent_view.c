#include <assert.h>
#include <string.h>

#include "private/intent_internal.h"

int64_t wwh_intents_last_offset(const wwh_intents_t *intents)
{
	return intents->last_offset;
}

int64_t wwh_intents_verdict_count(const wwh_intents_t *intents,
				  wwh_verdict_t verdict)
{
	return intents->verdict_counts[verdict];
}

int64_t wwh_intents_item_count(const wwh_intents_t *intents,
			       wwh_intent_verdict_t verdict)
{
	return intents->item_counts[verdict];
}

static void view_key(const wwh_intent_key_t *found, wwh_key_view_t *view)
{
	view->offset = found->offset;
	view->sequence = found->sequence;
	view->process = found->process->name;
	view->http_status = found->http_status;
	view->body_kept = found->body_kept;
	view->body = found->body;
	if (found->content_type != NULL)
		view->content_type = found->content_type;
}

wwh_key_state_t wwh_intents_lookup_key(const wwh_intents_t *intents,
				       const char *service, const char *key,
				       const uint8_t *fingerprint,
				       wwh_key_view_t *view)
{
	const wwh_intent_key_t *found = wwh_intents_find(intents, service, key);
	wwh_key_view_t result = { .state = WWH_KEY_NONE,
				  .offset = WWH_NO_OFFSET,
				  .sequence = WWH_NO_OFFSET,
				  .process = "",
				  .content_type = "" };

	if (found != NULL) {
		result.state = (wwh_key_state_t)found->state;
		view_key(found, &result);
		if (fingerprint != NULL && found->state != WWH_KEY_NOT_RUN &&
		    memcmp(found->fingerprint, fingerprint,
			   WWH_FINGERPRINT_BYTES) != 0)
			result.state = WWH_KEY_OTHER_REQUEST;
	} else if (wwh_intents_has_tombstone(intents, service, key)) {
		result.state = WWH_KEY_EXPIRED;
	}
	if (view != NULL)
		*view = result;
	return result.state;
}

bool wwh_intents_may_send(const wwh_intents_t *intents, const char *service,
			  const char *key, const char *process,
			  int64_t sequence)
{
	const wwh_intent_key_t *found = wwh_intents_find(intents, service, key);

	/* An abandoned process has no key in progress: see apply_abandon. */
	return found != NULL && found->state == WWH_KEY_IN_PROGRESS &&
	       found->sequence == sequence &&
	       strcmp(found->process->name, process) == 0;
}

bool wwh_intents_is_abandoned(const wwh_intents_t *intents, const char *process)
{
	const wwh_intent_process_t *found =
		g_hash_table_lookup(intents->processes, process);

	return found != NULL && found->abandoned != WWH_NO_OFFSET;
}

wwh_intents_totals_t wwh_intents_totals(const wwh_intents_t *intents)
{
	wwh_intents_totals_t totals = {
		.keys = g_hash_table_size(intents->by_name),
		.tombstones = g_hash_table_size(intents->by_hash),
		.body_bytes = intents->body_bytes,
		.keys_upto = intents->keys_upto,
		.tombstones_upto = intents->tombstones_upto,
		.expired_early = intents->expired_early,
	};

	for (const wwh_intent_key_t *key = intents->first_key; key != NULL;
	     key = key->next) {
		totals.in_progress += key->state == WWH_KEY_IN_PROGRESS;
		totals.unknown += key->state == WWH_KEY_UNKNOWN;
	}
	return totals;
}

static int64_t check_key(const wwh_intents_t *intents,
			 const wwh_intent_key_t *key)
{
	const char *name = key->name + key->service_size + 1;

	assert(g_hash_table_lookup(intents->by_name, key) == key);
	assert(key->offset >= intents->keys_upto);
	assert(key->offset <= intents->last_offset);
	assert(key->previous == NULL || key->previous->offset <= key->offset);
	assert(key->state >= WWH_KEY_IN_PROGRESS);
	assert(key->state <= WWH_KEY_UNKNOWN);
	/* A key that is remembered and expired would have two answers. */
	assert(!wwh_intents_has_tombstone(intents, key->name, name));
	assert((key->body != NULL) == (key->body_link != NULL));
	assert(!key->body_kept || key->state == WWH_KEY_ANSWERED);
	if (key->process->abandoned != WWH_NO_OFFSET)
		assert(key->state != WWH_KEY_IN_PROGRESS);
	return key->body != NULL ? (int64_t)g_bytes_get_size(key->body) : 0;
}

static void check_tombstones(const wwh_intents_t *intents)
{
	int64_t last = intents->tombstones_upto;
	guint count = 0;

	for (const wwh_tombstone_t *tombstone = intents->first_tombstone;
	     tombstone != NULL; tombstone = tombstone->next) {
		assert(tombstone->offset >= last);
		assert(g_hash_table_contains(intents->by_hash, tombstone));
		last = tombstone->offset;
		count++;
	}
	assert(count >= g_hash_table_size(intents->by_hash));
}

void wwh_intents_check(const wwh_intents_t *intents)
{
	int64_t body_bytes = 0;
	guint keys = 0;

	for (const wwh_intent_key_t *key = intents->first_key; key != NULL;
	     key = key->next) {
		body_bytes += check_key(intents, key);
		keys++;
	}
	assert(keys == g_hash_table_size(intents->by_name));
	assert((int32_t)keys <= intents->limits.keys_max);
	assert(body_bytes == intents->body_bytes);
	assert(body_bytes <= intents->limits.bodies_max_bytes);
	assert(intents->tombstones_upto <= intents->keys_upto);
	check_tombstones(intents);
}
