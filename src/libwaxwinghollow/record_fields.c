#include "private/record_fields.h"

#include "waxwinghollow/config.h"

#define REASON_BYTES_MAX 256
#define CORES_MAX 100000
#define MEMORY_MB_MAX INT64_C(1000000000)
#define LEASE_MS_MAX (24 * 3600 * 1000)
#define SHARD_MAX 1023
#define HTTP_STATUS_MAX 599

#define AT(type, member) offsetof(type, member)
#define ID(type, member, min)                                                  \
	{                                                                      \
#member, WWH_CODEC_ID, AT(type, member), min, WWH_ID_BYTES_MAX \
	}
#define TEXT(type, member, min, max)                                           \
	{                                                                      \
#member, WWH_CODEC_ID, AT(type, member), min, max              \
	}
#define INT32(type, member, min, max)                                          \
	{                                                                      \
#member, WWH_CODEC_INT32, AT(type, member), min, max           \
	}
#define INT64(type, member, min, max)                                          \
	{                                                                      \
#member, WWH_CODEC_INT64, AT(type, member), min, max           \
	}
#define OFFSET(type, member) INT64(type, member, WWH_NO_OFFSET, INT64_MAX)
#define BOOL(type, member)                                                     \
	{                                                                      \
#member, WWH_CODEC_BOOL, AT(type, member), 0, 1                \
	}
#define BYTES(type, member, max)                                               \
	{                                                                      \
#member, WWH_CODEC_BYTES, AT(type, member), 0, max             \
	}
#define FIELDS(type, array)                                                    \
	{                                                                      \
		array, G_N_ELEMENTS(array), sizeof(type)                       \
	}

static const wwh_codec_field_t config[] = {
	INT64(wwh_record_config_t, base_version, 0, INT64_MAX - 1),
	BYTES(wwh_record_config_t, change, WWH_RECORD_BYTES_MAX),
};

static const wwh_codec_field_t lease[] = {
	INT32(wwh_record_lease_t, shard, 0, SHARD_MAX),
	OFFSET(wwh_record_lease_t, offset),
	INT32(wwh_record_lease_t, duration_ms, 0, LEASE_MS_MAX),
};

static const wwh_codec_field_t grant_request[] = {
	ID(wwh_record_grant_request_t, worker, 1),
	INT32(wwh_record_grant_request_t, reason, 0,
	      WWH_GRANT_REASON_COUNT - 1),
	ID(wwh_record_grant_request_t, owner, 0),
	OFFSET(wwh_record_grant_request_t, fence),
};

static const wwh_codec_field_t grant_end[] = {
	ID(wwh_record_grant_end_t, worker, 1),
	OFFSET(wwh_record_grant_end_t, grant),
	INT32(wwh_record_grant_end_t, outcome, 0, WWH_GRANT_OUTCOME_COUNT - 1),
	OFFSET(wwh_record_grant_end_t, fence),
};

static const wwh_codec_field_t worker[] = {
	ID(wwh_record_worker_t, worker, 1),
	OFFSET(wwh_record_worker_t, seen),
	OFFSET(wwh_record_worker_t, fence),
	TEXT(wwh_record_worker_t, reason, 0, REASON_BYTES_MAX),
};

static const wwh_codec_field_t move[] = {
	ID(wwh_record_move_t, worker, 1),
	ID(wwh_record_move_t, to_pool, 0),
	OFFSET(wwh_record_move_t, grant),
	OFFSET(wwh_record_move_t, fence),
};

static const wwh_codec_field_t wave[] = {
	ID(wwh_record_wave_t, wave, 1),
	ID(wwh_record_wave_t, pool, 0),
	{ "workers", WWH_CODEC_IDS, AT(wwh_record_wave_t, workers), 0,
	  WWH_WAVE_WORKERS_MAX },
	OFFSET(wwh_record_wave_t, fence),
	TEXT(wwh_record_wave_t, reason, 0, REASON_BYTES_MAX),
};

static const wwh_codec_field_t rehearsal[] = {
	ID(wwh_record_rehearsal_t, rehearsal, 1),
	INT32(wwh_record_rehearsal_t, domain, 0, WWH_DOMAIN_COUNT - 1),
	ID(wwh_record_rehearsal_t, domain_id, 0),
};

static const wwh_codec_field_t job_submit[] = {
	ID(wwh_record_job_submit_t, job, 1),
	ID(wwh_record_job_submit_t, pool, 1),
	ID(wwh_record_job_submit_t, team, 0),
	INT32(wwh_record_job_submit_t, cores, 0, CORES_MAX),
	INT64(wwh_record_job_submit_t, memory_mb, 0, MEMORY_MB_MAX),
	INT32(wwh_record_job_submit_t, accelerators, 0, CORES_MAX),
	BOOL(wwh_record_job_submit_t, urgent),
	BOOL(wwh_record_job_submit_t, idempotent),
};

static const wwh_codec_field_t job[] = {
	ID(wwh_record_job_t, job, 1),
	ID(wwh_record_job_t, worker, 0),
	OFFSET(wwh_record_job_t, fence),
	INT32(wwh_record_job_t, run, 0, WWH_RUN_COUNT - 1),
};

static const wwh_codec_field_t seat[] = {
	INT32(wwh_seat_record_t, type, 0, WWH_SEAT_RECORD_COUNT - 1),
	{ "process", WWH_CODEC_UINT64, AT(wwh_seat_record_t, process), 0, 0 },
	{ "subject", WWH_CODEC_UINT64, AT(wwh_seat_record_t, subject), 0, 0 },
	INT32(wwh_seat_record_t, seat, 0, WWH_SEAT_MAX - 1),
};

static const wwh_codec_field_t snapshot[] = {
	INT64(wwh_record_snapshot_t, upto, 0, INT64_MAX),
	{ "hash", WWH_CODEC_UINT64, AT(wwh_record_snapshot_t, hash), 0, 0 },
	INT64(wwh_record_snapshot_t, total_bytes, 0,
	      (int64_t)WWH_SNAPSHOT_PARTS_MAX *WWH_SNAPSHOT_PART_BYTES_MAX),
	INT32(wwh_record_snapshot_t, part, 0, WWH_SNAPSHOT_PARTS_MAX - 1),
	INT32(wwh_record_snapshot_t, parts, 1, WWH_SNAPSHOT_PARTS_MAX),
	BYTES(wwh_record_snapshot_t, data, WWH_SNAPSHOT_PART_BYTES_MAX),
};

static const wwh_codec_field_t intent_item[] = {
	ID(wwh_intent_item_t, service, 1),
	TEXT(wwh_intent_item_t, key, 1, WWH_KEY_BYTES_MAX),
	{ "fingerprint", WWH_CODEC_FIXED, AT(wwh_intent_item_t, fingerprint),
	  WWH_FINGERPRINT_BYTES, WWH_FINGERPRINT_BYTES },
	INT64(wwh_intent_item_t, sequence, 0, INT64_MAX),
};

static const wwh_codec_field_t result_item[] = {
	ID(wwh_result_item_t, service, 1),
	TEXT(wwh_result_item_t, key, 1, WWH_KEY_BYTES_MAX),
	INT64(wwh_result_item_t, sequence, 0, INT64_MAX),
	INT32(wwh_result_item_t, result, 0, WWH_RESULT_COUNT - 1),
	INT32(wwh_result_item_t, http_status, 0, HTTP_STATUS_MAX),
	BOOL(wwh_result_item_t, body_kept),
	TEXT(wwh_result_item_t, content_type, 0, WWH_CONTENT_TYPE_BYTES_MAX),
	BYTES(wwh_result_item_t, body, WWH_KEPT_BODY_BYTES_MAX),
};

const wwh_codec_fields_t wwh_intent_item_fields =
	FIELDS(wwh_intent_item_t, intent_item);
const wwh_codec_fields_t wwh_result_item_fields =
	FIELDS(wwh_result_item_t, result_item);

static const wwh_codec_field_t intents[] = {
	{ "items", WWH_CODEC_ITEMS, AT(wwh_record_intents_t, items), 1,
	  WWH_BATCH_ITEMS_MAX, &wwh_intent_item_fields },
};

static const wwh_codec_field_t results[] = {
	{ "items", WWH_CODEC_ITEMS, AT(wwh_record_results_t, items), 1,
	  WWH_BATCH_ITEMS_MAX, &wwh_result_item_fields },
};

static const wwh_codec_field_t abandon[] = {
	ID(wwh_record_abandon_t, process, 1),
};

static const wwh_codec_field_t expire_keys[] = {
	INT64(wwh_record_expire_keys_t, keys_upto, 0, INT64_MAX),
	INT64(wwh_record_expire_keys_t, tombstones_upto, 0, INT64_MAX),
};

static const wwh_codec_fields_t tables[WWH_RECORD_KIND_COUNT] = {
	FIELDS(wwh_record_config_t, config),
	FIELDS(wwh_record_lease_t, lease),
	FIELDS(wwh_record_lease_t, lease),
	FIELDS(wwh_record_lease_t, lease),
	FIELDS(wwh_record_grant_request_t, grant_request),
	FIELDS(wwh_record_grant_end_t, grant_end),
	FIELDS(wwh_record_worker_t, worker),
	FIELDS(wwh_record_worker_t, worker),
	FIELDS(wwh_record_worker_t, worker),
	FIELDS(wwh_record_worker_t, worker),
	FIELDS(wwh_record_move_t, move),
	FIELDS(wwh_record_move_t, move),
	FIELDS(wwh_record_move_t, move),
	FIELDS(wwh_record_wave_t, wave),
	FIELDS(wwh_record_wave_t, wave),
	FIELDS(wwh_record_wave_t, wave),
	FIELDS(wwh_record_wave_t, wave),
	FIELDS(wwh_record_wave_t, wave),
	FIELDS(wwh_record_rehearsal_t, rehearsal),
	FIELDS(wwh_record_rehearsal_t, rehearsal),
	FIELDS(wwh_record_job_submit_t, job_submit),
	FIELDS(wwh_record_job_t, job),
	FIELDS(wwh_record_job_t, job),
	FIELDS(wwh_record_job_t, job),
	FIELDS(wwh_record_job_t, job),
	FIELDS(wwh_record_job_t, job),
	FIELDS(wwh_seat_record_t, seat),
	FIELDS(wwh_record_snapshot_t, snapshot),
	FIELDS(wwh_record_intents_t, intents),
	FIELDS(wwh_record_results_t, results),
	FIELDS(wwh_record_abandon_t, abandon),
	FIELDS(wwh_record_expire_keys_t, expire_keys),
};

const wwh_codec_fields_t *wwh_record_fields(wwh_record_kind_t kind)
{
	return &tables[kind];
}
