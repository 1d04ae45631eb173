#include <assert.h>
#include <string.h>

#include <xxhash.h>

#include "private/intent_internal.h"

static guint hash_name(gconstpointer data)
{
	const wwh_intent_key_t *key = data;
	size_t size = (size_t)key->service_size + 1 + key->key_size;

	return (guint)XXH3_64bits(key->name, size);
}

static gboolean equal_names(gconstpointer a, gconstpointer b)
{
	const wwh_intent_key_t *left = a;
	const wwh_intent_key_t *right = b;

	return left->service_size == right->service_size &&
	       left->key_size == right->key_size &&
	       memcmp(left->name, right->name,
		      (size_t)left->service_size + 1 + left->key_size) == 0;
}

static guint hash_hash(gconstpointer data)
{
	const wwh_tombstone_t *tombstone = data;
	guint hash;

	memcpy(&hash, tombstone->hash, sizeof(hash));
	return hash;
}

static gboolean equal_hashes(gconstpointer a, gconstpointer b)
{
	const wwh_tombstone_t *left = a;
	const wwh_tombstone_t *right = b;

	return memcmp(left->hash, right->hash, WWH_KEY_HASH_BYTES) == 0;
}

static wwh_intent_key_t *new_key(const char *service, const char *key)
{
	size_t service_size = strlen(service);
	size_t key_size = strlen(key);
	wwh_intent_key_t *made =
		g_malloc0(sizeof(*made) + service_size + key_size + 2);

	assert(service_size <= WWH_ID_BYTES_MAX);
	assert(key_size <= WWH_KEY_BYTES_MAX);
	made->service_size = (uint16_t)service_size;
	made->key_size = (uint16_t)key_size;
	memcpy(made->name, service, service_size);
	memcpy(made->name + service_size + 1, key, key_size);
	return made;
}

static void make_hash(const wwh_intent_key_t *key,
		      uint8_t hash[WWH_KEY_HASH_BYTES])
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(
		&canonical, XXH3_128bits(key->name, (size_t)key->service_size +
							    1 + key->key_size));
	memcpy(hash, canonical.digest, WWH_KEY_HASH_BYTES);
}

static bool fits(const char *service, const char *key)
{
	return strlen(service) <= WWH_ID_BYTES_MAX &&
	       strlen(key) <= WWH_KEY_BYTES_MAX;
}

wwh_intents_t *wwh_intents_new(const wwh_intent_limits_t *limits)
{
	wwh_intents_t *intents = g_new0(wwh_intents_t, 1);

	wwh_intent_limits_defaults(&intents->limits);
	if (limits != NULL)
		intents->limits = *limits;
	assert(intents->limits.keys_max > 0);
	assert(intents->limits.tombstones_max > 0);
	intents->last_offset = WWH_NO_OFFSET;
	intents->by_name = g_hash_table_new(hash_name, equal_names);
	intents->by_hash = g_hash_table_new(hash_hash, equal_hashes);
	intents->processes = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&intents->bodies);
	g_queue_init(&intents->abandoned);
	return intents;
}

void wwh_intents_delete(wwh_intents_t *intents)
{
	if (intents == NULL)
		return;
	while (intents->first_key != NULL)
		wwh_intents_remove(intents, intents->first_key);
	while (intents->first_tombstone != NULL)
		wwh_intents_drop_tombstones(intents, INT64_MAX);
	while (!g_queue_is_empty(&intents->abandoned)) {
		wwh_intent_process_t *process =
			g_queue_pop_head(&intents->abandoned);

		process->abandoned = WWH_NO_OFFSET;
		wwh_intents_release_process(intents, process);
	}
	assert(g_hash_table_size(intents->processes) == 0);
	g_hash_table_unref(intents->by_name);
	g_hash_table_unref(intents->by_hash);
	g_hash_table_unref(intents->processes);
	g_free(intents);
}

wwh_intent_key_t *wwh_intents_find(const wwh_intents_t *intents,
				   const char *service, const char *key)
{
	wwh_intent_key_t *wanted;
	wwh_intent_key_t *found;

	if (!fits(service, key))
		return NULL;
	wanted = new_key(service, key);
	found = g_hash_table_lookup(intents->by_name, wanted);
	g_free(wanted);
	return found;
}

bool wwh_intents_has_tombstone(const wwh_intents_t *intents,
			       const char *service, const char *key)
{
	wwh_tombstone_t wanted;
	wwh_intent_key_t *name;

	if (!fits(service, key))
		return false;
	name = new_key(service, key);
	make_hash(name, wanted.hash);
	g_free(name);
	return g_hash_table_contains(intents->by_hash, &wanted);
}

wwh_intent_process_t *wwh_intents_ensure_process(wwh_intents_t *intents,
						 const char *name)
{
	wwh_intent_process_t *process =
		g_hash_table_lookup(intents->processes, name);

	if (process != NULL)
		return process;
	process = g_new0(wwh_intent_process_t, 1);
	process->name = g_strdup(name);
	process->abandoned = WWH_NO_OFFSET;
	g_hash_table_insert(intents->processes, process->name, process);
	return process;
}

void wwh_intents_release_process(wwh_intents_t *intents,
				 wwh_intent_process_t *process)
{
	if (process->keys > 0 || process->abandoned != WWH_NO_OFFSET)
		return;
	g_hash_table_remove(intents->processes, process->name);
	g_free(process->name);
	g_free(process);
}

/*
 * Each lost process would stay in memory for good. Forgetting the oldest
 * loses no safety: its keys are unknown already, so nothing of it may be
 * sent, see wwh_intents_may_send.
 */
void wwh_intents_set_abandoned(wwh_intents_t *intents, const char *name,
			       int64_t offset)
{
	wwh_intent_process_t *process =
		wwh_intents_ensure_process(intents, name);

	assert(process->abandoned == WWH_NO_OFFSET);
	process->abandoned = offset;
	g_queue_push_tail(&intents->abandoned, process);
	if ((int32_t)g_queue_get_length(&intents->abandoned) <=
	    intents->limits.abandoned_max)
		return;
	process = g_queue_pop_head(&intents->abandoned);
	process->abandoned = WWH_NO_OFFSET;
	wwh_intents_release_process(intents, process);
}

wwh_intent_key_t *wwh_intents_add(wwh_intents_t *intents, const char *service,
				  const char *key, const char *process)
{
	wwh_intent_key_t *made = new_key(service, key);

	assert(!g_hash_table_contains(intents->by_name, made));
	g_hash_table_add(intents->by_name, made);
	made->process = wwh_intents_ensure_process(intents, process);
	made->process->keys++;
	made->state = WWH_KEY_IN_PROGRESS;
	made->previous = intents->last_key;
	if (intents->last_key != NULL)
		intents->last_key->next = made;
	else
		intents->first_key = made;
	intents->last_key = made;
	return made;
}

void wwh_intents_drop_body(wwh_intents_t *intents, wwh_intent_key_t *key)
{
	g_clear_pointer(&key->content_type, g_free);
	key->body_kept = false;
	if (key->body_link == NULL)
		return;
	intents->body_bytes -= (int64_t)g_bytes_get_size(key->body);
	g_queue_delete_link(&intents->bodies, key->body_link);
	key->body_link = NULL;
	g_clear_pointer(&key->body, g_bytes_unref);
}

void wwh_intents_set_body(wwh_intents_t *intents, wwh_intent_key_t *key,
			  GBytes *body, const char *content_type, int64_t order)
{
	assert(key->body_link == NULL);
	key->body_kept = true;
	if (content_type[0] != '\0')
		key->content_type = g_strdup(content_type);
	if (g_bytes_get_size(body) == 0)
		return;
	if (order == WWH_NO_OFFSET)
		order = intents->next_body_order++;
	key->body_order = order;
	/* A copy: body may be a slice of a whole batch's bytes. */
	key->body = g_bytes_new(g_bytes_get_data(body, NULL),
				g_bytes_get_size(body));
	g_queue_push_tail(&intents->bodies, key);
	key->body_link = g_queue_peek_tail_link(&intents->bodies);
	intents->body_bytes += (int64_t)g_bytes_get_size(body);
	while (intents->body_bytes > intents->limits.bodies_max_bytes)
		wwh_intents_drop_body(intents,
				      g_queue_peek_head(&intents->bodies));
}

void wwh_intents_remove(wwh_intents_t *intents, wwh_intent_key_t *key)
{
	wwh_intent_process_t *process = key->process;

	assert((key->previous == NULL) == (key == intents->first_key));
	assert((key->next == NULL) == (key == intents->last_key));
	wwh_intents_drop_body(intents, key);
	g_hash_table_remove(intents->by_name, key);
	if (key->previous != NULL)
		key->previous->next = key->next;
	else
		intents->first_key = key->next;
	if (key->next != NULL)
		key->next->previous = key->previous;
	else
		intents->last_key = key->previous;
	g_free(key);
	process->keys--;
	wwh_intents_release_process(intents, process);
}

void wwh_intents_add_tombstone(wwh_intents_t *intents, const uint8_t *hash,
			       int64_t offset)
{
	wwh_tombstone_t *tombstone = g_new0(wwh_tombstone_t, 1);

	memcpy(tombstone->hash, hash, WWH_KEY_HASH_BYTES);
	tombstone->offset = offset;
	/* Two keys of one hash share a tombstone: the younger one counts. */
	if (g_hash_table_contains(intents->by_hash, tombstone)) {
		g_hash_table_replace(intents->by_hash, tombstone, tombstone);
	} else {
		g_hash_table_add(intents->by_hash, tombstone);
	}
	if (intents->last_tombstone != NULL)
		intents->last_tombstone->next = tombstone;
	else
		intents->first_tombstone = tombstone;
	intents->last_tombstone = tombstone;
}

void wwh_intents_expire(wwh_intents_t *intents, wwh_intent_key_t *key)
{
	uint8_t hash[WWH_KEY_HASH_BYTES];

	if (key->state != WWH_KEY_NOT_RUN) {
		make_hash(key, hash);
		wwh_intents_add_tombstone(intents, hash, key->offset);
	}
	wwh_intents_remove(intents, key);
}

void wwh_intents_drop_tombstones(wwh_intents_t *intents, int64_t upto)
{
	while (intents->first_tombstone != NULL &&
	       intents->first_tombstone->offset < upto) {
		wwh_tombstone_t *oldest = intents->first_tombstone;

		intents->first_tombstone = oldest->next;
		if (oldest->next == NULL)
			intents->last_tombstone = NULL;
		if (g_hash_table_lookup(intents->by_hash, oldest) == oldest)
			g_hash_table_remove(intents->by_hash, oldest);
		g_free(oldest);
	}
}
