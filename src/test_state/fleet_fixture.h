#ifndef WWH_TEST_FLEET_FIXTURE_H
#define WWH_TEST_FLEET_FIXTURE_H

/*
 * NAME
 *	fleet_fixture - configurations and records for tests of the reducer
 *
 * USE
 *	fleet_config generates workers "w0000"... in pools "p000"..., four
 *	workers to a rack, with racks assigned to zones in turn. Each
 *	*_record function initializes a record; the caller clears it.
 */

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/record.h"

#define FLEET_RACK_SIZE 4

typedef struct {
	int32_t workers;
	int32_t first_worker;
	int32_t pools;
	int32_t zones;
	const char *rule; /* members of each pool's JSON besides its id */
	int32_t odd_worker; /* is in odd_pool; -1 if none */
	int32_t odd_pool;
} fleet_t;

static inline void fleet_error(const char *file, int32_t line, const char *text,
			       void *client_data)
{
	(void)client_data;
	fprintf(stderr, "%s:%d: %s\n", file, line, text);
}

static inline char *fleet_worker(int32_t index)
{
	return g_strdup_printf("w%04d", index);
}

static inline void fleet_add_worker(const fleet_t *fleet, int32_t i,
				    GString *text)
{
	int32_t rack = i / FLEET_RACK_SIZE;
	int32_t pool =
		i == fleet->odd_worker ? fleet->odd_pool : i % fleet->pools;

	g_string_append_printf(
		text,
		"%s{\"id\": \"w%04d\", \"address\": \"10.%d.%d.%d\", "
		"\"rack\": \"r%04d\", \"zone\": \"z%02d\", "
		"\"region\": \"ie\", \"pool\": \"p%03d\"}",
		i > fleet->first_worker ? "," : "", i, i / 62500, i / 250 % 250,
		i % 250 + 1, rack, rack % fleet->zones, pool);
}

static inline wwh_config_t *fleet_config(const fleet_t *fleet)
{
	GString *inventory = g_string_new("{\"workers\": [");
	GString *rules = g_string_new("{\"pools\": [");
	wwh_config_t *config = wwh_config_new();
	wwh_config_text_t inventory_text = { "inventory", NULL, 0 };
	wwh_config_text_t rules_text = { "rules", NULL, 0 };
	wwh_status_t status;

	for (int32_t i = fleet->first_worker; i < fleet->workers; i++)
		fleet_add_worker(fleet, i, inventory);
	for (int32_t i = 0; i < fleet->pools; i++)
		g_string_append_printf(rules, "%s{\"id\": \"p%03d\"%s}",
				       i > 0 ? "," : "", i, fleet->rule);
	g_string_append(inventory, "]}");
	g_string_append(rules, "]}");
	inventory_text.text = inventory->str;
	inventory_text.size = inventory->len;
	rules_text.text = rules->str;
	rules_text.size = rules->len;
	status = wwh_config_parse(config, &inventory_text, &rules_text,
				  fleet_error, NULL);
	assert(status == WWH_STATUS_OK);
	g_string_free(inventory, TRUE);
	g_string_free(rules, TRUE);
	return config;
}

/* A record of the change from base to fleet's configuration. */
static inline void config_record(wwh_record_t *record, const char *author,
				 const wwh_config_t *base, int64_t base_version,
				 const fleet_t *fleet)
{
	wwh_config_t *config = fleet_config(fleet);
	wwh_config_change_t *change = wwh_config_diff(base, config);

	wwh_record_init(record, WWH_RECORD_CONFIG, author);
	record->body.config.base_version = base_version;
	g_bytes_unref(record->body.config.change);
	record->body.config.change = wwh_config_change_encode(change);
	wwh_config_change_delete(change);
	wwh_config_unref(config);
}

static inline void lease_record(wwh_record_t *record, wwh_record_kind_t kind,
				const char *author, int32_t shard,
				int64_t offset)
{
	wwh_record_init(record, kind, author);
	record->body.lease.shard = shard;
	record->body.lease.offset = offset;
	record->body.lease.duration_ms = 15000;
}

static inline void grant_record(wwh_record_t *record, const char *author,
				const char *worker, wwh_grant_reason_t reason,
				const char *owner, int64_t fence)
{
	wwh_record_init(record, WWH_RECORD_GRANT_REQUEST, author);
	wwh_record_set(&record->body.grant_request.worker, worker);
	wwh_record_set(&record->body.grant_request.owner, owner);
	record->body.grant_request.reason = reason;
	record->body.grant_request.fence = fence;
}

static inline void grant_end_record(wwh_record_t *record, const char *author,
				    const char *worker, int64_t grant,
				    wwh_grant_outcome_t outcome, int64_t fence)
{
	wwh_record_init(record, WWH_RECORD_GRANT_END, author);
	wwh_record_set(&record->body.grant_end.worker, worker);
	record->body.grant_end.grant = grant;
	record->body.grant_end.outcome = outcome;
	record->body.grant_end.fence = fence;
}

static inline void worker_record(wwh_record_t *record, wwh_record_kind_t kind,
				 const char *author, const char *worker,
				 int64_t seen, int64_t fence)
{
	wwh_record_init(record, kind, author);
	wwh_record_set(&record->body.worker.worker, worker);
	record->body.worker.seen = seen;
	record->body.worker.fence = fence;
}

static inline void move_record(wwh_record_t *record, wwh_record_kind_t kind,
			       const char *author, const char *worker,
			       const char *to, int64_t grant, int64_t fence)
{
	wwh_record_init(record, kind, author);
	wwh_record_set(&record->body.move.worker, worker);
	wwh_record_set(&record->body.move.to_pool, to);
	record->body.move.grant = grant;
	record->body.move.fence = fence;
}

static inline void wave_record(wwh_record_t *record, wwh_record_kind_t kind,
			       const char *author, const char *wave,
			       const char *pool, int64_t fence)
{
	wwh_record_init(record, kind, author);
	wwh_record_set(&record->body.wave.wave, wave);
	wwh_record_set(&record->body.wave.pool, pool);
	record->body.wave.fence = fence;
}

static inline void rehearsal_record(wwh_record_t *record,
				    wwh_record_kind_t kind, const char *author,
				    const char *id, wwh_domain_t domain,
				    const char *domain_id)
{
	wwh_record_init(record, kind, author);
	wwh_record_set(&record->body.rehearsal.rehearsal, id);
	wwh_record_set(&record->body.rehearsal.domain_id, domain_id);
	record->body.rehearsal.domain = (int32_t)domain;
}

static inline void job_submit_record(wwh_record_t *record, const char *author,
				     const char *job, const char *pool,
				     bool idempotent)
{
	wwh_record_init(record, WWH_RECORD_JOB_SUBMIT, author);
	wwh_record_set(&record->body.job_submit.job, job);
	wwh_record_set(&record->body.job_submit.pool, pool);
	record->body.job_submit.cores = 2;
	record->body.job_submit.idempotent = idempotent;
}

static inline void job_record(wwh_record_t *record, wwh_record_kind_t kind,
			      const char *author, const char *job,
			      const char *worker, int64_t fence)
{
	wwh_record_init(record, kind, author);
	wwh_record_set(&record->body.job.job, job);
	wwh_record_set(&record->body.job.worker, worker);
	record->body.job.fence = fence;
}

#endif
