#include "waxwinghollow/record.h"

#include <assert.h>
#include <string.h>

#include "private/record_fields.h"

const char *const wwh_stream_names[WWH_STREAM_COUNT] = {
	"control",
	"intents",
};

const char *const wwh_record_kind_names[WWH_RECORD_KIND_COUNT] = {
	"config",
	"lease-take",
	"lease-renew",
	"lease-release",
	"grant-request",
	"grant-end",
	"worker-failed",
	"worker-returned",
	"worker-quarantine",
	"worker-unquarantine",
	"move-start",
	"move-finish",
	"move-cancel",
	"wave-start",
	"wave-pause",
	"wave-resume",
	"wave-abort",
	"wave-finish",
	"rehearsal-start",
	"rehearsal-end",
	"job-submit",
	"job-cancel",
	"job-place",
	"job-checkpointed",
	"job-done",
	"job-failed",
	"seat",
	"snapshot",
	"intents",
	"results",
	"abandon",
	"expire-keys",
};

const char *const wwh_grant_reason_names[WWH_GRANT_REASON_COUNT] = {
	"wave",
	"move",
	"rehearsal",
	"repair",
};

const char *const wwh_grant_outcome_names[WWH_GRANT_OUTCOME_COUNT] = {
	"returned",
	"failed",
	"moved",
	"never-left",
};

const char *const wwh_result_names[WWH_RESULT_COUNT] = {
	"answered",
	"not-run",
	"unknown",
};

bool wwh_record_kind_in_stream(wwh_record_kind_t kind, wwh_stream_t stream)
{
	switch (kind) {
	case WWH_RECORD_SNAPSHOT:
		return true;
	case WWH_RECORD_INTENTS:
	case WWH_RECORD_RESULTS:
	case WWH_RECORD_ABANDON:
	case WWH_RECORD_EXPIRE_KEYS:
		return stream == WWH_STREAM_INTENTS;
	default:
		return stream == WWH_STREAM_CONTROL;
	}
}

void wwh_record_set(char **field, const char *text)
{
	char *copy = g_strdup(text);

	g_free(*field);
	*field = copy;
}

static void init_field(const wwh_codec_field_t *field, void *at)
{
	switch (field->type) {
	case WWH_CODEC_ID:
		*(char **)at = g_strdup("");
		break;
	case WWH_CODEC_INT32:
		*(int32_t *)at = (int32_t)field->min;
		break;
	case WWH_CODEC_INT64:
		*(int64_t *)at = field->min;
		break;
	case WWH_CODEC_BYTES:
		*(GBytes **)at = g_bytes_new(NULL, 0);
		break;
	case WWH_CODEC_IDS:
		*(GPtrArray **)at = g_ptr_array_new_with_free_func(g_free);
		break;
	case WWH_CODEC_ITEMS:
		*(GPtrArray **)at = g_ptr_array_new();
		break;
	default:
		break;
	}
}

void wwh_codec_init(const wwh_codec_fields_t *fields, void *base)
{
	memset(base, 0, fields->size);
	for (int32_t i = 0; i < fields->count; i++) {
		const wwh_codec_field_t *field = &fields->field[i];

		init_field(field, (char *)base + field->at);
	}
}

static void clear_items(const wwh_codec_fields_t *item, GPtrArray *items)
{
	for (guint i = 0; items != NULL && i < items->len; i++) {
		wwh_codec_clear(item, items->pdata[i]);
		g_free(items->pdata[i]);
	}
	if (items != NULL)
		g_ptr_array_unref(items);
}

static void clear_field(const wwh_codec_field_t *field, void *at)
{
	switch (field->type) {
	case WWH_CODEC_ID:
		g_free(*(char **)at);
		break;
	case WWH_CODEC_BYTES:
		g_clear_pointer((GBytes **)at, g_bytes_unref);
		break;
	case WWH_CODEC_IDS:
		g_clear_pointer((GPtrArray **)at, g_ptr_array_unref);
		break;
	case WWH_CODEC_ITEMS:
		clear_items(field->item, *(GPtrArray **)at);
		break;
	default:
		break;
	}
}

void wwh_codec_clear(const wwh_codec_fields_t *fields, void *base)
{
	for (int32_t i = 0; i < fields->count; i++) {
		const wwh_codec_field_t *field = &fields->field[i];

		clear_field(field, (char *)base + field->at);
	}
	memset(base, 0, fields->size);
}

void wwh_record_init(wwh_record_t *record, wwh_record_kind_t kind,
		     const char *author)
{
	assert(kind < WWH_RECORD_KIND_COUNT);
	memset(record, 0, sizeof(*record));
	record->kind = kind;
	record->author = g_strdup(author);
	wwh_codec_init(wwh_record_fields(kind), &record->body);
}

void wwh_record_clear(wwh_record_t *record)
{
	/* A cleared record has no author and an all-zero body. */
	if (record->author != NULL)
		wwh_codec_clear(wwh_record_fields(record->kind), &record->body);
	g_clear_pointer(&record->author, g_free);
}

wwh_intent_item_t *wwh_intent_item_new(const char *service, const char *key)
{
	wwh_intent_item_t *item = g_new0(wwh_intent_item_t, 1);

	wwh_codec_init(&wwh_intent_item_fields, item);
	wwh_record_set(&item->service, service);
	wwh_record_set(&item->key, key);
	return item;
}

wwh_result_item_t *wwh_result_item_new(const char *service, const char *key)
{
	wwh_result_item_t *item = g_new0(wwh_result_item_t, 1);

	wwh_codec_init(&wwh_result_item_fields, item);
	wwh_record_set(&item->service, service);
	wwh_record_set(&item->key, key);
	return item;
}
