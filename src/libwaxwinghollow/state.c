#include "waxwinghollow/state.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <glib/gprintf.h>
#include <string.h>

#include <xxhash.h>

#include "private/state_internal.h"

const char *const wwh_verdict_names[WWH_VERDICT_COUNT] = {
	"accepted",	  "already",	  "stale-base",	  "stale",
	"not-holder",	  "budget",	  "busy",	  "not-active",
	"unknown-worker", "unknown-pool", "unknown-item", "invalid",
	"limit",	  "malformed",	  "old-offset",
};

typedef wwh_verdict_t (*apply_t)(wwh_state_t *state, int64_t offset,
				 const wwh_record_t *record,
				 wwh_verdict_detail_t *detail);

static wwh_verdict_t apply_snapshot(wwh_state_t *state, int64_t offset,
				    const wwh_record_t *record,
				    wwh_verdict_detail_t *detail);

/* Indexed by record kind; NULL for kinds that are not in stream control. */
static const apply_t apply_functions[WWH_RECORD_KIND_COUNT] = {
	[WWH_RECORD_CONFIG] = wwh_apply_config,
	[WWH_RECORD_LEASE_TAKE] = wwh_apply_lease,
	[WWH_RECORD_LEASE_RENEW] = wwh_apply_lease,
	[WWH_RECORD_LEASE_RELEASE] = wwh_apply_lease,
	[WWH_RECORD_GRANT_REQUEST] = wwh_apply_grant,
	[WWH_RECORD_GRANT_END] = wwh_apply_grant,
	[WWH_RECORD_WORKER_FAILED] = wwh_apply_worker,
	[WWH_RECORD_WORKER_RETURNED] = wwh_apply_worker,
	[WWH_RECORD_WORKER_QUARANTINE] = wwh_apply_worker,
	[WWH_RECORD_WORKER_UNQUARANTINE] = wwh_apply_worker,
	[WWH_RECORD_MOVE_START] = wwh_apply_move,
	[WWH_RECORD_MOVE_FINISH] = wwh_apply_move,
	[WWH_RECORD_MOVE_CANCEL] = wwh_apply_move,
	[WWH_RECORD_WAVE_START] = wwh_apply_wave,
	[WWH_RECORD_WAVE_PAUSE] = wwh_apply_wave,
	[WWH_RECORD_WAVE_RESUME] = wwh_apply_wave,
	[WWH_RECORD_WAVE_ABORT] = wwh_apply_wave,
	[WWH_RECORD_WAVE_FINISH] = wwh_apply_wave,
	[WWH_RECORD_REHEARSAL_START] = wwh_apply_rehearsal,
	[WWH_RECORD_REHEARSAL_END] = wwh_apply_rehearsal,
	[WWH_RECORD_JOB_SUBMIT] = wwh_apply_job,
	[WWH_RECORD_JOB_CANCEL] = wwh_apply_job,
	[WWH_RECORD_JOB_PLACE] = wwh_apply_job,
	[WWH_RECORD_JOB_CHECKPOINTED] = wwh_apply_job,
	[WWH_RECORD_JOB_DONE] = wwh_apply_job,
	[WWH_RECORD_JOB_FAILED] = wwh_apply_job,
	[WWH_RECORD_SEAT] = wwh_apply_seat,
	[WWH_RECORD_SNAPSHOT] = apply_snapshot,
};

static int compare_ids(const void *a, const void *b, void *unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void free_author(void *author)
{
	wwh_state_item_free(&wwh_state_author_fields, author);
}

wwh_state_t *wwh_state_new(void)
{
	wwh_state_t *state = g_new0(wwh_state_t, 1);

	state->config = wwh_config_new();
	state->config_offset = WWH_NO_OFFSET;
	state->config_author = g_strdup("");
	state->last_offset = WWH_NO_OFFSET;
	state->worker_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	state->pool_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++)
		state->leases[i] = wwh_state_item_new(&wwh_state_lease_fields);
	wwh_seat_table_init(&state->seats, WWH_STATE_SEATS);
	wwh_state_table_init(&state->waves, &wwh_state_wave_fields);
	wwh_state_table_init(&state->rehearsals, &wwh_state_rehearsal_fields);
	wwh_state_table_init(&state->jobs, &wwh_state_job_fields);
	state->authors = g_tree_new_full(compare_ids, NULL, NULL, free_author);
	state->wave_by_pool = g_hash_table_new(g_str_hash, g_str_equal);
	return state;
}

void wwh_state_delete(wwh_state_t *state)
{
	if (state == NULL)
		return;
	for (int32_t i = 0; i < state->worker_count; i++) {
		wwh_state_end_grant(&state->workers[i]);
		wwh_state_end_move(&state->workers[i]);
	}
	wwh_state_pools_clear(state->pools, state->pool_count);
	g_free(state->workers);
	g_free(state->pools);
	g_hash_table_unref(state->worker_by_id);
	g_hash_table_unref(state->pool_by_id);
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++)
		wwh_state_item_free(&wwh_state_lease_fields, state->leases[i]);
	g_hash_table_unref(state->wave_by_pool);
	wwh_state_table_clear(&state->waves);
	wwh_state_table_clear(&state->rehearsals);
	wwh_state_table_clear(&state->jobs);
	g_tree_destroy(state->authors);
	wwh_config_unref(state->config);
	g_free(state->config_author);
	g_free(state);
}

wwh_verdict_t wwh_state_verdict(const wwh_state_t *state,
				wwh_verdict_detail_t *detail,
				wwh_verdict_t verdict, int64_t offset,
				const char *format, ...)
{
	va_list arguments;

	if (detail == NULL)
		return verdict;
	detail->offset = offset;
	detail->version = wwh_config_version(state->config);
	va_start(arguments, format);
	(void)g_vsnprintf(detail->message.text, sizeof(detail->message.text),
			  format, arguments);
	va_end(arguments);
	return verdict;
}

wwh_verdict_t wwh_state_unknown_worker(const wwh_state_t *state, const char *id,
				       wwh_verdict_detail_t *detail)
{
	return wwh_state_verdict(state, detail, WWH_VERDICT_UNKNOWN_WORKER,
				 WWH_NO_OFFSET,
				 "no worker %s in configuration %" PRId64, id,
				 wwh_config_version(state->config));
}

static gboolean find_older_author(gpointer key, gpointer item, gpointer oldest)
{
	wwh_state_author_t **found = oldest;
	wwh_state_author_t *author = item;

	(void)key;
	if (*found == NULL || author->offset < (*found)->offset)
		*found = author;
	return FALSE;
}

/*
 * Each restart adds a new author. Without a bound the table would grow with
 * every restart.
 */
static void evict_oldest_author(wwh_state_t *state)
{
	wwh_state_author_t *oldest = NULL;

	if (g_tree_nnodes(state->authors) < WWH_STATE_AUTHORS_MAX)
		return;
	g_tree_foreach(state->authors, find_older_author, &oldest);
	g_tree_remove(state->authors, oldest->id);
}

static void record_author(wwh_state_t *state, const char *id, int64_t offset)
{
	wwh_state_author_t *author = g_tree_lookup(state->authors, id);

	if (author == NULL) {
		evict_oldest_author(state);
		author = wwh_state_item_new(&wwh_state_author_fields);
		wwh_record_set(&author->id, id);
		g_tree_insert(state->authors, author->id, author);
	}
	author->offset = offset;
}

/*
 * Changes nothing: only a process without state restores a snapshot, see
 * snapshot.h.
 */
static wwh_verdict_t apply_snapshot(wwh_state_t *state, int64_t offset,
				    const wwh_record_t *record,
				    wwh_verdict_detail_t *detail)
{
	if (record->body.snapshot.upto <= offset)
		return WWH_VERDICT_ACCEPTED;
	return wwh_state_verdict(
		state, detail, WWH_VERDICT_INVALID, WWH_NO_OFFSET,
		"the snapshot covers records that are not in the log");
}

static wwh_verdict_t finish_apply(wwh_state_t *state, wwh_verdict_t verdict)
{
	state->verdict_counts[verdict]++;
	if (state->check)
		wwh_state_check(state);
	return verdict;
}

static wwh_verdict_t reject_old_offset(wwh_state_t *state, int64_t offset,
				       wwh_verdict_detail_t *detail)
{
	wwh_state_verdict(state, detail, WWH_VERDICT_OLD_OFFSET,
			  state->last_offset,
			  "offset %" PRId64 " was applied before", offset);
	return finish_apply(state, WWH_VERDICT_OLD_OFFSET);
}

wwh_verdict_t wwh_state_apply(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail)
{
	wwh_verdict_t verdict;

	assert(offset >= 0);
	if (offset <= state->last_offset)
		return reject_old_offset(state, offset, detail);
	state->last_offset = offset;
	wwh_state_verdict(state, detail, WWH_VERDICT_ACCEPTED, WWH_NO_OFFSET,
			  "%s", "");
	if (!wwh_record_kind_in_stream(record->kind, WWH_STREAM_CONTROL)) {
		wwh_state_verdict(state, detail, WWH_VERDICT_MALFORMED,
				  WWH_NO_OFFSET,
				  "%s is not a record of stream control",
				  wwh_record_kind_names[record->kind]);
		return finish_apply(state, WWH_VERDICT_MALFORMED);
	}
	record_author(state, record->author, offset);
	verdict = apply_functions[record->kind](state, offset, record, detail);
	if (detail != NULL)
		detail->version = wwh_config_version(state->config);
	return finish_apply(state, verdict);
}

wwh_verdict_t wwh_state_apply_entry(wwh_state_t *state, int64_t offset,
				    const uint8_t *data, size_t size,
				    wwh_record_t *record,
				    wwh_verdict_detail_t *detail)
{
	wwh_message_t message = { "" };

	if (wwh_record_decode(data, size, record, &message) == WWH_STATUS_OK)
		return wwh_state_apply(state, offset, record, detail);
	if (offset <= state->last_offset)
		return reject_old_offset(state, offset, detail);
	state->last_offset = offset;
	wwh_state_verdict(state, detail, WWH_VERDICT_MALFORMED, WWH_NO_OFFSET,
			  "%s", message.text);
	return finish_apply(state, WWH_VERDICT_MALFORMED);
}

void wwh_state_set_check(wwh_state_t *state, bool on)
{
	state->check = on;
}

int32_t wwh_shard_of_pool(const char *pool)
{
	return (int32_t)(XXH3_64bits(pool, strlen(pool)) % WWH_SHARD_POOLS);
}
