#include "private/state_internal.h"

/*
 * Bounds of a snapshot's items. Values that applying records can't produce are
 * rejected.
 */

#define REASON_BYTES_MAX 256

#define ID(type, member, min)                                                  \
	{                                                                      \
#member, WWH_CODEC_ID, offsetof(type, member), min,            \
			WWH_ID_BYTES_MAX                                       \
	}
#define INT32(type, member, min, max)                                          \
	{                                                                      \
#member, WWH_CODEC_INT32, offsetof(type, member), min, max     \
	}
#define INT64(type, member, min)                                               \
	{                                                                      \
#member, WWH_CODEC_INT64, offsetof(type, member), min,         \
			INT64_MAX                                              \
	}
#define BOOL(type, member)                                                     \
	{                                                                      \
#member, WWH_CODEC_BOOL, offsetof(type, member), 0, 1          \
	}
#define IDS(type, member)                                                      \
	{                                                                      \
#member, WWH_CODEC_IDS, offsetof(type, member), 0, INT32_MAX   \
	}
#define FIELDS(type, array)                                                    \
	{                                                                      \
		array, G_N_ELEMENTS(array), sizeof(type)                       \
	}

static const wwh_codec_field_t lease[] = {
	ID(wwh_state_lease_t, holder, 0),
	INT64(wwh_state_lease_t, fence, WWH_NO_OFFSET),
	INT64(wwh_state_lease_t, latest, WWH_NO_OFFSET),
	INT32(wwh_state_lease_t, duration_ms, 0, INT32_MAX),
};

static const wwh_codec_field_t wave[] = {
	ID(wwh_state_wave_t, id, 1),
	ID(wwh_state_wave_t, pool, 1),
	ID(wwh_state_wave_t, author, 1),
	{ "reason", WWH_CODEC_ID, offsetof(wwh_state_wave_t, reason), 0,
	  REASON_BYTES_MAX },
	INT64(wwh_state_wave_t, offset, 0),
	INT64(wwh_state_wave_t, changed, 0),
	INT32(wwh_state_wave_t, phase, 0, WWH_WAVE_PHASE_COUNT - 1),
	IDS(wwh_state_wave_t, workers),
	IDS(wwh_state_wave_t, done),
};

static const wwh_codec_field_t rehearsal[] = {
	ID(wwh_state_rehearsal_t, id, 1),
	ID(wwh_state_rehearsal_t, author, 1),
	ID(wwh_state_rehearsal_t, domain_id, 0),
	INT64(wwh_state_rehearsal_t, offset, 0),
	INT64(wwh_state_rehearsal_t, changed, 0),
	INT32(wwh_state_rehearsal_t, domain, 0, WWH_DOMAIN_COUNT - 1),
	BOOL(wwh_state_rehearsal_t, running),
};

static const wwh_codec_field_t job[] = {
	ID(wwh_state_job_t, id, 1),
	ID(wwh_state_job_t, pool, 1),
	ID(wwh_state_job_t, team, 0),
	ID(wwh_state_job_t, worker, 0),
	INT64(wwh_state_job_t, memory_mb, 0),
	INT64(wwh_state_job_t, submitted, 0),
	INT64(wwh_state_job_t, changed, 0),
	INT64(wwh_state_job_t, fence, WWH_NO_OFFSET),
	INT64(wwh_state_job_t, checkpoint, WWH_NO_OFFSET),
	INT32(wwh_state_job_t, cores, 0, INT32_MAX),
	INT32(wwh_state_job_t, accelerators, 0, INT32_MAX),
	INT32(wwh_state_job_t, phase, 0, WWH_JOB_PHASE_COUNT - 1),
	INT32(wwh_state_job_t, failures, 0, INT32_MAX),
	BOOL(wwh_state_job_t, urgent),
	BOOL(wwh_state_job_t, idempotent),
};

static const wwh_codec_field_t author[] = {
	ID(wwh_state_author_t, id, 1),
	INT64(wwh_state_author_t, offset, 0),
};

const wwh_codec_fields_t wwh_state_lease_fields =
	FIELDS(wwh_state_lease_t, lease);
const wwh_codec_fields_t wwh_state_wave_fields = FIELDS(wwh_state_wave_t, wave);
const wwh_codec_fields_t wwh_state_rehearsal_fields =
	FIELDS(wwh_state_rehearsal_t, rehearsal);
const wwh_codec_fields_t wwh_state_job_fields = FIELDS(wwh_state_job_t, job);
const wwh_codec_fields_t wwh_state_author_fields =
	FIELDS(wwh_state_author_t, author);
