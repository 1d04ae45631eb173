#ifndef WAXWINGHOLLOW_API_KEYS_H
#define WAXWINGHOLLOW_API_KEYS_H

/*
 * NAME
 *	api_keys - which workspace an API key belongs to
 *
 * USE
 *	Pure. Keys are kept as keyed hashes, under a secret of this process: a
 *	look-up takes as long for a key that is almost right as for any other,
 *	and a dump of memory shows none.
 *
 * ORDER OF CALLS
 *	wwh_api_keys_new; wwh_api_keys_add for each key; look-ups, from any
 *	thread; wwh_api_keys_delete.
 */

#include <glib.h>
#include <stdbool.h>

typedef struct wwh_api_keys wwh_api_keys_t;

/* Whether a request has a key in force. */
typedef enum {
	WWH_ACCESS_GRANTED = 0,
	WWH_ACCESS_NO_KEY, /* none, or not one that can be read */
	WWH_ACCESS_UNKNOWN_KEY,
	WWH_ACCESS_COUNT
} wwh_access_t;

/* Names of wwh_access_t, in the same order. */
extern const char *const wwh_access_names[WWH_ACCESS_COUNT];

wwh_api_keys_t *wwh_api_keys_new(void);
void wwh_api_keys_delete(wwh_api_keys_t *keys);

/* False: another workspace has this key. */
bool wwh_api_keys_add(wwh_api_keys_t *keys, const char *workspace,
		      const char *key);

/* key NULL: there is none. *workspace is its owner, where access is granted. */
wwh_access_t wwh_api_keys_check(const wwh_api_keys_t *keys, const char *key,
				const char **workspace);

#endif
