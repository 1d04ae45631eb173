#ifndef WWH_PRIVATE_INTENT_INTERNAL_H
#define WWH_PRIVATE_INTENT_INTERNAL_H

/*
 * NAME
 *	intent_internal - what the files intent*.c and its snapshot share
 *
 * USE
 *	Keys stand in a list in the order of their intents' offsets, so what
 *	expires is always at the head; and in a hash table by service and
 *	key. Tombstones likewise, by a hash of 16 bytes.
 */

#include "waxwinghollow/intent.h"

#define WWH_KEY_HASH_BYTES 16

/* An incarnation of an entry process that has keys or was abandoned. */
typedef struct {
	char *name;
	int64_t abandoned; /* offset, or -1 */
	int32_t keys;
} wwh_intent_process_t;

typedef struct wwh_intent_key {
	struct wwh_intent_key *previous;
	struct wwh_intent_key *next;
	wwh_intent_process_t *process;
	GBytes *body; /* NULL: none */
	char *content_type; /* NULL: none */
	GList *body_link; /* in wwh_intents.bodies; NULL: no body */
	int64_t offset;
	int64_t sequence;
	int64_t body_order; /* grows with each answer that has a body */
	uint8_t fingerprint[WWH_FINGERPRINT_BYTES];
	int16_t http_status;
	uint8_t state; /* wwh_key_state_t */
	bool body_kept;
	uint16_t service_size;
	uint16_t key_size;
	char name[]; /* service, 0, key, 0 */
} wwh_intent_key_t;

typedef struct wwh_tombstone {
	struct wwh_tombstone *next;
	int64_t offset;
	uint8_t hash[WWH_KEY_HASH_BYTES];
} wwh_tombstone_t;

struct wwh_intents {
	wwh_intent_limits_t limits;
	int64_t last_offset;
	int64_t keys_upto;
	int64_t tombstones_upto;
	GHashTable *by_name; /* set of wwh_intent_key_t */
	wwh_intent_key_t *first_key;
	wwh_intent_key_t *last_key;
	GHashTable *by_hash; /* set of wwh_tombstone_t */
	wwh_tombstone_t *first_tombstone;
	wwh_tombstone_t *last_tombstone;
	GQueue bodies; /* of keys with a body, by body_order */
	int64_t body_bytes;
	int64_t next_body_order;
	GHashTable *processes; /* by name */
	GQueue abandoned; /* of processes, in the order of offsets */
	int64_t expired_early;
	/* Counters; not part of the state's bytes. */
	int64_t verdict_counts[WWH_VERDICT_COUNT];
	int64_t item_counts[WWH_INTENT_VERDICT_COUNT];
};

/* intent_key.c: the tables. */
wwh_intent_key_t *wwh_intents_find(const wwh_intents_t *intents,
				   const char *service, const char *key);
bool wwh_intents_has_tombstone(const wwh_intents_t *intents,
			       const char *service, const char *key);
/* Adds a key in progress at the end of the list. */
wwh_intent_key_t *wwh_intents_add(wwh_intents_t *intents, const char *service,
				  const char *key, const char *process);
void wwh_intents_remove(wwh_intents_t *intents, wwh_intent_key_t *key);
/* Removes key; leaves a tombstone unless it surely did not run. */
void wwh_intents_expire(wwh_intents_t *intents, wwh_intent_key_t *key);
void wwh_intents_add_tombstone(wwh_intents_t *intents, const uint8_t *hash,
			       int64_t offset);
void wwh_intents_drop_tombstones(wwh_intents_t *intents, int64_t upto);
/* body NULL: none. order is WWH_NO_OFFSET for a new answer. */
void wwh_intents_set_body(wwh_intents_t *intents, wwh_intent_key_t *key,
			  GBytes *body, const char *content_type,
			  int64_t order);
void wwh_intents_drop_body(wwh_intents_t *intents, wwh_intent_key_t *key);
wwh_intent_process_t *wwh_intents_ensure_process(wwh_intents_t *intents,
						 const char *name);
/* Forgets process when it has no key and was not abandoned. */
void wwh_intents_release_process(wwh_intents_t *intents,
				 wwh_intent_process_t *process);
/* Remembers that process is gone; forgets the oldest beyond the limit. */
void wwh_intents_set_abandoned(wwh_intents_t *intents, const char *name,
			       int64_t offset);

#endif
