#include "waxwinghollow/api_keys.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define SECRET_BYTES 32
#define DIGEST_BYTES 32

struct wwh_api_keys {
	guint8 secret[SECRET_BYTES];
	GHashTable *workspaces; /* digest to name, both owned */
};

const char *const wwh_access_names[WWH_ACCESS_COUNT] = {
	"granted",
	"no-key",
	"unknown-key",
};

static GBytes *digest_of(const wwh_api_keys_t *keys, const char *key);

wwh_api_keys_t *wwh_api_keys_new(void)
{
	wwh_api_keys_t *keys = g_new0(wwh_api_keys_t, 1);

	if (getentropy(keys->secret, SECRET_BYTES) != 0)
		g_error("getentropy failed: %s", g_strerror(errno));
	keys->workspaces =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, g_free);
	return keys;
}

void wwh_api_keys_delete(wwh_api_keys_t *keys)
{
	if (keys == NULL)
		return;
	g_hash_table_destroy(keys->workspaces);
	explicit_bzero(keys->secret, sizeof(keys->secret));
	g_free(keys);
}

bool wwh_api_keys_add(wwh_api_keys_t *keys, const char *workspace,
		      const char *key)
{
	GBytes *digest = digest_of(keys, key);
	const char *other = g_hash_table_lookup(keys->workspaces, digest);

	if (other != NULL) {
		g_bytes_unref(digest);
		return strcmp(other, workspace) == 0;
	}
	g_hash_table_insert(keys->workspaces, digest, g_strdup(workspace));
	return true;
}

wwh_access_t wwh_api_keys_check(const wwh_api_keys_t *keys, const char *key,
				const char **workspace)
{
	GBytes *digest;

	*workspace = NULL;
	if (key == NULL || key[0] == '\0')
		return WWH_ACCESS_NO_KEY;
	digest = digest_of(keys, key);
	*workspace = g_hash_table_lookup(keys->workspaces, digest);
	g_bytes_unref(digest);
	return *workspace != NULL ? WWH_ACCESS_GRANTED : WWH_ACCESS_UNKNOWN_KEY;
}

static GBytes *digest_of(const wwh_api_keys_t *keys, const char *key)
{
	guint8 digest[DIGEST_BYTES];
	gsize size = sizeof(digest);
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, keys->secret, SECRET_BYTES);

	g_hmac_update(hmac, (const guchar *)key, -1);
	g_hmac_get_digest(hmac, digest, &size);
	g_hmac_unref(hmac);
	return g_bytes_new(digest, size);
}
