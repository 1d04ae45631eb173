#ifndef WAXWINGHOLLOW_API_KEYS_H
#define WAXWINGHOLLOW_API_KEYS_H

/*
 * NAME
 *	api_keys - maps API keys to workspaces
 *
 * USE
 *	Pure. Keys are stored as keyed hashes under a secret of this process.
 *	A lookup therefore takes as long for a nearly correct key as for any
 *	other, and a memory dump shows no keys.
 *
 * ORDER OF CALLS
 *	wwh_api_keys_new; wwh_api_keys_add for each key; lookups, from any
 *	thread; wwh_api_keys_delete.
 */

#include <glib.h>
#include <stdbool.h>

typedef struct wwh_api_keys wwh_api_keys_t;

/* Result of checking the key of a request. */
typedef enum {
	WWH_ACCESS_GRANTED = 0,
	WWH_ACCESS_NO_KEY, /* no key, or not a readable one */
	WWH_ACCESS_UNKNOWN_KEY,
	WWH_ACCESS_COUNT
} wwh_access_t;

/* Names of wwh_access_t, in the same order. */
extern const char *const wwh_access_names[WWH_ACCESS_COUNT];

wwh_api_keys_t *wwh_api_keys_new(void);
void wwh_api_keys_delete(wwh_api_keys_t *keys);

/* Returns false if key belongs to another workspace. */
bool wwh_api_keys_add(wwh_api_keys_t *keys, const char *workspace,
		      const char *key);

/*
 * key is NULL if the request has none. *workspace is set to the owner of the
 * key if access is granted, otherwise to NULL.
 */
wwh_access_t wwh_api_keys_check(const wwh_api_keys_t *keys, const char *key,
				const char **workspace);

#endif
