#ifndef WWH_TEST_INTENT_ORACLE_H
#define WWH_TEST_INTENT_ORACLE_H

/*
 * NAME
 *	intent_oracle - what stream intents decides, written plainly
 *
 * USE
 *	Written from the rules in intent.h alone: arrays of a few keys and
 *	processes, every question answered by looking at all of them. Each
 *	oracle_* call decides one item of one record.
 */

#include <assert.h>
#include <string.h>

#include "waxwinghollow/intent.h"

#define ORACLE_KEYS 8
#define ORACLE_PROCESSES 24
#define ORACLE_KEYS_MAX 5
#define ORACLE_TOMBSTONES_MAX 4
#define ORACLE_BODIES_MAX 12
#define ORACLE_ABANDONED_MAX 3

typedef struct {
	wwh_key_state_t state;
	bool buried;
	int64_t offset;
	int64_t place; /* order among the keys */
	int32_t process;
	int64_t sequence;
	uint8_t request;
	int32_t body; /* bytes; 0: none */
	bool body_kept;
	int64_t answered; /* order among the answers */
} oracle_key_t;

typedef struct {
	oracle_key_t key[ORACLE_KEYS];
	int64_t abandoned[ORACLE_PROCESSES]; /* offset; 0: not */
	int64_t keys_upto;
	int64_t tombstones_upto;
	int64_t clock; /* orders keys and answers */
} oracle_t;

static inline bool oracle_alive(const oracle_key_t *key)
{
	return key->state != WWH_KEY_NONE;
}

static inline int32_t oracle_count(const oracle_t *oracle, bool buried)
{
	int32_t count = 0;

	for (int32_t i = 0; i < ORACLE_KEYS; i++)
		count += buried ? oracle->key[i].buried
				: oracle_alive(&oracle->key[i]);
	return count;
}

static inline void oracle_expire(oracle_key_t *key)
{
	bool ran_perhaps = key->state != WWH_KEY_NOT_RUN;
	int64_t offset = key->offset;

	memset(key, 0, sizeof(*key));
	key->buried = ran_perhaps;
	key->offset = offset;
}

static inline void oracle_expire_oldest(oracle_t *oracle)
{
	oracle_key_t *oldest = NULL;

	for (int32_t i = 0; i < ORACLE_KEYS; i++) {
		oracle_key_t *key = &oracle->key[i];

		if (oracle_alive(key) &&
		    (oldest == NULL || key->place < oldest->place))
			oldest = key;
	}
	assert(oldest != NULL);
	oracle_expire(oldest);
}

static inline wwh_intent_verdict_t oracle_known(const oracle_key_t *key,
						int32_t process,
						int64_t sequence,
						uint8_t request)
{
	if (key->process == process && key->sequence == sequence)
		return WWH_INTENT_REPEATED;
	if (key->state == WWH_KEY_NOT_RUN)
		return WWH_INTENT_ACCEPTED;
	if (key->request != request)
		return WWH_INTENT_OTHER_REQUEST;
	if (key->state == WWH_KEY_ANSWERED)
		return WWH_INTENT_ANSWERED;
	if (key->state == WWH_KEY_UNKNOWN)
		return WWH_INTENT_UNKNOWN;
	return WWH_INTENT_IN_PROGRESS;
}

static inline wwh_intent_verdict_t
oracle_intent(oracle_t *oracle, int64_t offset, int32_t index, int32_t process,
	      int64_t sequence, uint8_t request)
{
	oracle_key_t *key = &oracle->key[index];
	wwh_intent_verdict_t verdict;

	if (oracle->abandoned[process] != 0)
		return WWH_INTENT_ABANDONED;
	if (key->buried)
		return WWH_INTENT_EXPIRED;
	if (oracle_alive(key)) {
		verdict = oracle_known(key, process, sequence, request);
		if (verdict != WWH_INTENT_ACCEPTED)
			return verdict;
		key->state = WWH_KEY_NONE;
	}
	if (oracle_count(oracle, true) >= ORACLE_TOMBSTONES_MAX)
		return WWH_INTENT_FULL;
	if (oracle_count(oracle, false) >= ORACLE_KEYS_MAX)
		oracle_expire_oldest(oracle);
	memset(key, 0, sizeof(*key));
	key->state = WWH_KEY_IN_PROGRESS;
	key->offset = offset;
	key->place = ++oracle->clock;
	key->process = process;
	key->sequence = sequence;
	key->request = request;
	return WWH_INTENT_ACCEPTED;
}

/* Takes bodies from the oldest answers until the rest fits. */
static inline void oracle_trim_bodies(oracle_t *oracle)
{
	for (;;) {
		oracle_key_t *oldest = NULL;
		int32_t sum = 0;

		for (int32_t i = 0; i < ORACLE_KEYS; i++) {
			oracle_key_t *key = &oracle->key[i];

			sum += key->body;
			if (key->body > 0 && (oldest == NULL ||
					      key->answered < oldest->answered))
				oldest = key;
		}
		if (sum <= ORACLE_BODIES_MAX)
			return;
		oldest->body = 0;
		oldest->body_kept = false;
	}
}

static inline wwh_intent_verdict_t
oracle_result(oracle_t *oracle, int32_t index, int32_t process,
	      int64_t sequence, wwh_result_t result, int32_t body)
{
	oracle_key_t *key = &oracle->key[index];

	if (!oracle_alive(key) || key->process != process ||
	    key->sequence != sequence)
		return WWH_INTENT_RESULT_NO_INTENT;
	if (key->state == WWH_KEY_ANSWERED || key->state == WWH_KEY_NOT_RUN)
		return WWH_INTENT_RESULT_ALREADY;
	if (result == WWH_RESULT_NOT_RUN) {
		key->state = WWH_KEY_NOT_RUN;
	} else if (result == WWH_RESULT_UNKNOWN) {
		key->state = WWH_KEY_UNKNOWN;
	} else {
		key->state = WWH_KEY_ANSWERED;
		key->body = body;
		key->body_kept = true;
		key->answered = ++oracle->clock;
		oracle_trim_bodies(oracle);
	}
	return WWH_INTENT_RESULT_ACCEPTED;
}

static inline bool oracle_abandon(oracle_t *oracle, int64_t offset,
				  int32_t process)
{
	int32_t oldest = -1;
	int32_t count = 0;

	if (oracle->abandoned[process] != 0)
		return false;
	oracle->abandoned[process] = offset;
	for (int32_t i = 0; i < ORACLE_KEYS; i++) {
		if (oracle->key[i].state == WWH_KEY_IN_PROGRESS &&
		    oracle->key[i].process == process)
			oracle->key[i].state = WWH_KEY_UNKNOWN;
	}
	for (int32_t i = 0; i < ORACLE_PROCESSES; i++) {
		if (oracle->abandoned[i] == 0)
			continue;
		count++;
		if (oldest < 0 ||
		    oracle->abandoned[i] < oracle->abandoned[oldest])
			oldest = i;
	}
	if (count > ORACLE_ABANDONED_MAX)
		oracle->abandoned[oldest] = 0;
	return true;
}

static inline wwh_verdict_t oracle_expire_keys(oracle_t *oracle, int64_t offset,
					       int64_t keys, int64_t tombstones)
{
	if (keys > offset || tombstones > oracle->keys_upto)
		return WWH_VERDICT_INVALID;
	if (keys <= oracle->keys_upto && tombstones <= oracle->tombstones_upto)
		return WWH_VERDICT_ALREADY;
	oracle->keys_upto = MAX(oracle->keys_upto, keys);
	oracle->tombstones_upto = MAX(oracle->tombstones_upto, tombstones);
	for (int32_t i = 0; i < ORACLE_KEYS; i++) {
		oracle_key_t *key = &oracle->key[i];

		if (oracle_alive(key) && key->offset < oracle->keys_upto)
			oracle_expire(key);
		if (key->buried && key->offset < oracle->tombstones_upto)
			key->buried = false;
	}
	return WWH_VERDICT_ACCEPTED;
}

#endif
