#include <string.h>

#include "private/shard_claim_state.h"
#include "wire_fields.h"

/* With more digits the next epoch could overflow. */
#define EPOCH_MAX_DIGITS 18

#define NONCE_CHARS 16

static bool read_epoch(const uint8_t *value, size_t size, int64_t *epoch,
		       char **rest);

/* A notice is "EPOCH ADDRESS"; without an address no process holds the shard. */
bool claim_read_notice(const uint8_t *value, size_t size, int64_t *epoch,
		       char **address)
{
	if (!read_epoch(value, size, epoch, address))
		return false;
	if ((*address)[0] == '\0') {
		g_clear_pointer(address, g_free);
		return true;
	}
	if (wire_fields_is_endpoint(*address))
		return true;
	g_clear_pointer(address, g_free);
	return false;
}

/* A claim record is "EPOCH NONCE". */
bool claim_read_record(const uint8_t *value, size_t size, int64_t *epoch)
{
	char *nonce;
	bool ok;

	if (!read_epoch(value, size, epoch, &nonce))
		return false;
	ok = strlen(nonce) == NONCE_CHARS &&
	     strspn(nonce, "0123456789abcdef") == NONCE_CHARS;
	g_free(nonce);
	return ok;
}

void claim_report_record(wwh_shard_claim_t *claim, const char *key,
			 bool is_valid)
{
	wwh_bad_records_t *bad = claim->options.bad_records;

	if (bad == NULL)
		return;
	if (is_valid)
		wwh_bad_records_mark_readable(bad, key);
	else
		wwh_bad_records_mark_unreadable(bad, key,
						"expected an epoch and a text");
}

void claim_on_unreadable_key(int64_t offset, const char *why, void *data)
{
	wwh_shard_claim_t *claim = data;
	char *key = g_strdup_printf("(offset %" G_GINT64_FORMAT ")", offset);

	if (claim->options.bad_records != NULL)
		wwh_bad_records_mark_unreadable(claim->options.bad_records, key,
						why);
	g_free(key);
}

static bool read_epoch(const uint8_t *value, size_t size, int64_t *epoch,
		       char **rest)
{
	char *text;
	size_t digits;
	bool ok;

	if (size == 0 || memchr(value, '\0', size) != NULL)
		return false;
	text = g_strndup((const char *)value, size);
	digits = strspn(text, "0123456789");
	ok = digits > 0 && digits <= EPOCH_MAX_DIGITS && text[digits] == ' ';
	if (ok) {
		*epoch = g_ascii_strtoll(text, NULL, 10);
		*rest = g_strdup(text + digits + 1);
	}
	g_free(text);
	return ok;
}
