#include <assert.h>
#include <string.h>

#include "private/state_internal.h"
#include "waxwinghollow/snapshot.h"

/*
 * A worker that is lost, moving, or not in its inventory's pool, or that a move
 * placed. Other workers are restored from the configuration alone.
 */
typedef struct {
	char *id;
	char *pool; /* "" between pools */
	bool placed_by_move;
	int64_t failed;
	int64_t quarantined;
	int64_t grant; /* WWH_NO_OFFSET if none */
	int32_t reason;
	char *owner;
	char *author;
	int64_t move; /* WWH_NO_OFFSET if none */
	char *from;
	char *to;
} worker_row_t;

typedef struct {
	uint64_t holder; /* 0 if free */
} seat_row_t;

typedef struct {
	uint64_t process;
	uint64_t acked;
	bool evicted;
} member_row_t;

typedef struct {
	int32_t format;
	int32_t stream;
	int64_t last_offset;
	int64_t config_version;
	int64_t config_offset;
	char *config_author;
	GBytes *config; /* encoded as the change from an empty one */
	GPtrArray *leases;
	GPtrArray *seats; /* of seat_row_t */
	GPtrArray *members; /* of member_row_t, in joining order */
	GPtrArray *workers; /* of worker_row_t, in the order of ids */
	GPtrArray *waves;
	GPtrArray *rehearsals;
	GPtrArray *jobs;
	GPtrArray *authors;
} state_snapshot_t;

#define ID(type, member)                                                       \
	{                                                                      \
#member, WWH_CODEC_ID, offsetof(type, member), 0,              \
			WWH_ID_BYTES_MAX                                       \
	}
#define INT32(type, member, min, max)                                          \
	{                                                                      \
#member, WWH_CODEC_INT32, offsetof(type, member), min, max     \
	}
#define OFFSET(type, member)                                                   \
	{                                                                      \
#member, WWH_CODEC_INT64, offsetof(type, member),              \
			WWH_NO_OFFSET, INT64_MAX - 1                           \
	}
#define BOOL(type, member)                                                     \
	{                                                                      \
#member, WWH_CODEC_BOOL, offsetof(type, member), 0, 1          \
	}
#define UINT64(type, member)                                                   \
	{                                                                      \
#member, WWH_CODEC_UINT64, offsetof(type, member), 0, 0        \
	}
#define ITEMS(type, member, max, fields)                                       \
	{                                                                      \
#member, WWH_CODEC_ITEMS, offsetof(type, member), 0, max,      \
			fields                                                 \
	}

static const wwh_codec_field_t worker_row[] = {
	ID(worker_row_t, id),
	ID(worker_row_t, pool),
	BOOL(worker_row_t, placed_by_move),
	OFFSET(worker_row_t, failed),
	OFFSET(worker_row_t, quarantined),
	OFFSET(worker_row_t, grant),
	INT32(worker_row_t, reason, 0, WWH_GRANT_REASON_COUNT - 1),
	ID(worker_row_t, owner),
	ID(worker_row_t, author),
	OFFSET(worker_row_t, move),
	ID(worker_row_t, from),
	ID(worker_row_t, to),
};

static const wwh_codec_fields_t worker_row_fields = { worker_row,
						      G_N_ELEMENTS(worker_row),
						      sizeof(worker_row_t) };

static const wwh_codec_field_t seat_row[] = {
	UINT64(seat_row_t, holder),
};

static const wwh_codec_fields_t seat_row_fields = { seat_row,
						    G_N_ELEMENTS(seat_row),
						    sizeof(seat_row_t) };

static const wwh_codec_field_t member_row[] = {
	UINT64(member_row_t, process),
	UINT64(member_row_t, acked),
	BOOL(member_row_t, evicted),
};

static const wwh_codec_fields_t member_row_fields = { member_row,
						      G_N_ELEMENTS(member_row),
						      sizeof(member_row_t) };

static const wwh_codec_field_t state_snapshot[] = {
	INT32(state_snapshot_t, format, WWH_SNAPSHOT_FORMAT,
	      WWH_SNAPSHOT_FORMAT),
	INT32(state_snapshot_t, stream, WWH_STREAM_CONTROL, WWH_STREAM_CONTROL),
	OFFSET(state_snapshot_t, last_offset),
	OFFSET(state_snapshot_t, config_version),
	OFFSET(state_snapshot_t, config_offset),
	ID(state_snapshot_t, config_author),
	{ "config", WWH_CODEC_BYTES, offsetof(state_snapshot_t, config), 0,
	  INT32_MAX },
	ITEMS(state_snapshot_t, leases, WWH_SHARD_COUNT,
	      &wwh_state_lease_fields),
	ITEMS(state_snapshot_t, seats, WWH_SEAT_MAX, &seat_row_fields),
	ITEMS(state_snapshot_t, members, WWH_SEAT_MEMBERS_MAX,
	      &member_row_fields),
	ITEMS(state_snapshot_t, workers, INT32_MAX, &worker_row_fields),
	ITEMS(state_snapshot_t, waves,
	      WWH_STATE_WAVES_MAX + WWH_STATE_ENDED_MAX,
	      &wwh_state_wave_fields),
	ITEMS(state_snapshot_t, rehearsals,
	      WWH_STATE_WAVES_MAX + WWH_STATE_ENDED_MAX,
	      &wwh_state_rehearsal_fields),
	ITEMS(state_snapshot_t, jobs, WWH_STATE_JOBS_MAX + WWH_STATE_ENDED_MAX,
	      &wwh_state_job_fields),
	ITEMS(state_snapshot_t, authors, WWH_STATE_AUTHORS_MAX,
	      &wwh_state_author_fields),
};

static const wwh_codec_fields_t state_snapshot_fields = {
	state_snapshot, G_N_ELEMENTS(state_snapshot), sizeof(state_snapshot_t)
};

static GBytes *encode_config(const wwh_config_t *config)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *change = wwh_config_diff(empty, config);
	GBytes *bytes = wwh_config_change_encode(change);

	wwh_config_change_delete(change);
	wwh_config_unref(empty);
	return bytes;
}

static bool is_default_worker(const wwh_state_worker_t *worker)
{
	return !wwh_state_worker_is_lost(worker) && worker->move == NULL &&
	       !worker->placed_by_move &&
	       strcmp(worker->pool->declared->id, worker->declared->pool) == 0;
}

static worker_row_t *make_worker_row(const wwh_state_worker_t *worker)
{
	worker_row_t *row = wwh_state_item_new(&worker_row_fields);

	wwh_record_set(&row->id, worker->declared->id);
	if (worker->pool != NULL)
		wwh_record_set(&row->pool, worker->pool->declared->id);
	row->placed_by_move = worker->placed_by_move;
	row->failed = worker->failed;
	row->quarantined = worker->quarantined;
	if (worker->grant != NULL) {
		row->grant = worker->grant->offset;
		row->reason = (int32_t)worker->grant->reason;
		wwh_record_set(&row->owner, worker->grant->owner);
		wwh_record_set(&row->author, worker->grant->author);
	}
	if (worker->move != NULL) {
		row->move = worker->move->offset;
		wwh_record_set(&row->from, worker->move->from);
		wwh_record_set(&row->to, worker->move->to);
	}
	return row;
}

static gboolean add_author(gpointer key, gpointer author, gpointer authors)
{
	(void)key;
	g_ptr_array_add(authors, author);
	return FALSE;
}

static void free_worker_row(void *row)
{
	wwh_state_item_free(&worker_row_fields, row);
}

static void add_seats(const wwh_seat_table_t *table, GPtrArray *seats,
		      GPtrArray *members)
{
	for (int32_t i = 0; i < table->seat_count; i++) {
		seat_row_t *row = g_new0(seat_row_t, 1);

		row->holder = table->holders[i];
		g_ptr_array_add(seats, row);
	}
	for (int32_t i = 0; i < table->member_count; i++) {
		member_row_t *row = g_new0(member_row_t, 1);

		row->process = table->members[i].process;
		row->acked = table->members[i].acked;
		row->evicted = table->members[i].evicted;
		g_ptr_array_add(members, row);
	}
}

GBytes *wwh_snapshot_encode_state(const wwh_state_t *state)
{
	state_snapshot_t view = {
		.format = WWH_SNAPSHOT_FORMAT,
		.stream = WWH_STREAM_CONTROL,
		.last_offset = state->last_offset,
		.config_version = wwh_config_version(state->config),
		.config_offset = state->config_offset,
		.config_author = state->config_author,
		.config = encode_config(state->config),
		.leases = g_ptr_array_new(),
		.seats = g_ptr_array_new_with_free_func(g_free),
		.members = g_ptr_array_new_with_free_func(g_free),
		.workers = g_ptr_array_new_with_free_func(free_worker_row),
		.waves = wwh_state_table_items(&state->waves),
		.rehearsals = wwh_state_table_items(&state->rehearsals),
		.jobs = wwh_state_table_items(&state->jobs),
		.authors = g_ptr_array_new(),
	};
	wwh_message_t message = { "" };
	GBytes *bytes;

	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++)
		g_ptr_array_add(view.leases, state->leases[i]);
	add_seats(&state->seats, view.seats, view.members);
	for (int32_t i = 0; i < state->worker_count; i++) {
		if (!is_default_worker(&state->workers[i]))
			g_ptr_array_add(view.workers,
					make_worker_row(&state->workers[i]));
	}
	g_tree_foreach(state->authors, add_author, view.authors);
	bytes = wwh_codec_encode(&state_snapshot_fields, &view, &message);
	if (bytes == NULL)
		g_error("the state can't be encoded: %s", message.text);
	g_bytes_unref(view.config);
	g_ptr_array_unref(view.leases);
	g_ptr_array_unref(view.seats);
	g_ptr_array_unref(view.members);
	g_ptr_array_unref(view.workers);
	g_ptr_array_unref(view.waves);
	g_ptr_array_unref(view.rehearsals);
	g_ptr_array_unref(view.jobs);
	g_ptr_array_unref(view.authors);
	return bytes;
}

static bool restore_config(wwh_state_t *state, const state_snapshot_t *from,
			   wwh_message_t *message)
{
	wwh_config_change_t *change = NULL;
	wwh_config_t *config = NULL;
	gsize size;
	const uint8_t *data = g_bytes_get_data(from->config, &size);

	state->config_offset = from->config_offset;
	wwh_record_set(&state->config_author, from->config_author);
	if (wwh_config_change_decode(data, size, &change, message) !=
	    WWH_STATUS_OK)
		return false;
	if (from->config_version > 0)
		(void)wwh_config_apply(state->config, change,
				       from->config_version, &config, message);
	wwh_config_change_delete(change);
	if (config != NULL)
		wwh_state_replace_config(state, config);
	return config != NULL || from->config_version == 0;
}

static bool is_valid_lease(const wwh_state_lease_t *lease, int64_t last_offset)
{
	bool held = lease->latest != WWH_NO_OFFSET;

	return held == (lease->holder[0] != '\0') &&
	       held == (lease->fence != WWH_NO_OFFSET) &&
	       lease->fence <= lease->latest && lease->latest <= last_offset;
}

static bool restore_leases(wwh_state_t *state, state_snapshot_t *from)
{
	if (from->leases->len != WWH_SHARD_COUNT)
		return false;
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++) {
		wwh_state_lease_t *lease = from->leases->pdata[i];

		if (!is_valid_lease(lease, state->last_offset))
			return false;
		from->leases->pdata[i] = state->leases[i];
		state->leases[i] = lease;
	}
	return true;
}

static bool restore_seats(wwh_state_t *state, const state_snapshot_t *from)
{
	wwh_seat_table_t *table = &state->seats;

	if (from->seats->len != WWH_STATE_SEATS)
		return false;
	for (guint i = 0; i < from->seats->len; i++) {
		const seat_row_t *row = from->seats->pdata[i];

		table->holders[i] = row->holder;
	}
	for (guint i = 0; i < from->members->len; i++) {
		const member_row_t *row = from->members->pdata[i];

		table->members[i].process = row->process;
		table->members[i].acked = row->acked;
		table->members[i].evicted = row->evicted;
	}
	table->member_count = (int32_t)from->members->len;
	return wwh_state_seats_valid(table);
}

static bool is_valid_worker_row(const wwh_state_t *state,
				const worker_row_t *row)
{
	int64_t last = state->last_offset;
	bool moves = row->move != WWH_NO_OFFSET;

	if (row->failed > last || row->quarantined > last ||
	    row->grant > last || row->move > last)
		return false;
	if (moves != (row->pool[0] == '\0'))
		return false;
	if (!moves)
		return wwh_state_find_pool(state, row->pool) != NULL;
	return row->grant != WWH_NO_OFFSET && row->grant < row->move &&
	       row->reason == WWH_GRANT_MOVE &&
	       wwh_state_find_pool(state, row->from) != NULL &&
	       wwh_state_find_pool(state, row->to) != NULL;
}

static void restore_grant(wwh_state_worker_t *worker, const worker_row_t *row)
{
	if (row->grant == WWH_NO_OFFSET)
		return;
	worker->grant = g_new0(wwh_state_grant_t, 1);
	worker->grant->offset = row->grant;
	worker->grant->reason = (wwh_grant_reason_t)row->reason;
	worker->grant->owner = g_strdup(row->owner);
	worker->grant->author = g_strdup(row->author);
}

static void restore_move(wwh_state_worker_t *worker, const worker_row_t *row)
{
	if (row->move == WWH_NO_OFFSET)
		return;
	worker->move = g_new0(wwh_state_move_t, 1);
	worker->move->offset = row->move;
	worker->move->from = g_strdup(row->from);
	worker->move->to = g_strdup(row->to);
}

static bool restore_worker(wwh_state_t *state, const worker_row_t *row)
{
	wwh_state_worker_t *worker = wwh_state_find_worker(state, row->id);

	/* A second row for a worker would overwrite the first one's grant. */
	if (worker == NULL || !is_valid_worker_row(state, row) ||
	    !is_default_worker(worker))
		return false;
	wwh_state_uncount_worker(worker);
	worker->pool = wwh_state_find_pool(state, row->pool);
	worker->placed_by_move = row->placed_by_move;
	worker->failed = row->failed;
	worker->quarantined = row->quarantined;
	restore_grant(worker, row);
	restore_move(worker, row);
	wwh_state_count_worker(worker);
	return true;
}

static bool is_ascending(const GPtrArray *ids)
{
	for (guint i = 1; i < ids->len; i++) {
		if (strcmp(ids->pdata[i - 1], ids->pdata[i]) >= 0)
			return false;
	}
	return true;
}

static bool restore_waves(wwh_state_t *state)
{
	GPtrArray *waves = wwh_state_table_items(&state->waves);
	bool valid = true;

	for (guint i = 0; i < waves->len && valid; i++) {
		wwh_state_wave_t *wave = waves->pdata[i];

		valid = is_ascending(wave->workers) &&
			is_ascending(wave->done) &&
			wave->changed <= state->last_offset;
		if (!valid || wave->phase >= WWH_WAVE_PHASE_ABORTED)
			continue;
		valid = wwh_state_find_pool(state, wave->pool) != NULL &&
			g_hash_table_insert(state->wave_by_pool, wave->pool,
					    wave);
	}
	g_ptr_array_unref(waves);
	return valid;
}

static bool are_jobs_valid(const wwh_state_t *state)
{
	GPtrArray *jobs = wwh_state_table_items(&state->jobs);
	bool valid = true;

	for (guint i = 0; i < jobs->len && valid; i++) {
		const wwh_state_job_t *job = jobs->pdata[i];

		valid = job->changed <= state->last_offset &&
			job->submitted <= job->changed &&
			job->fence <= job->changed;
		if (job->phase == WWH_JOB_PHASE_PLACED)
			valid = valid && job->worker[0] != '\0' &&
				job->fence > job->submitted;
	}
	g_ptr_array_unref(jobs);
	return valid;
}

typedef struct {
	bool (*has_ended)(const void *item);
	int64_t (*changed)(const void *item);
} table_kind_t;

static bool wave_has_ended(const void *item)
{
	return ((const wwh_state_wave_t *)item)->phase >=
	       WWH_WAVE_PHASE_ABORTED;
}

static int64_t wave_changed(const void *item)
{
	return ((const wwh_state_wave_t *)item)->changed;
}

static bool rehearsal_has_ended(const void *item)
{
	return !((const wwh_state_rehearsal_t *)item)->running;
}

static int64_t rehearsal_changed(const void *item)
{
	return ((const wwh_state_rehearsal_t *)item)->changed;
}

static bool job_has_ended(const void *item)
{
	return ((const wwh_state_job_t *)item)->phase >= WWH_JOB_PHASE_DONE;
}

static int64_t job_changed(const void *item)
{
	return ((const wwh_state_job_t *)item)->changed;
}

static const table_kind_t wave_kind = { wave_has_ended, wave_changed };
static const table_kind_t rehearsal_kind = { rehearsal_has_ended,
					     rehearsal_changed };
static const table_kind_t job_kind = { job_has_ended, job_changed };

static gint compare_changed(gconstpointer a, gconstpointer b, gpointer kind)
{
	int64_t left = ((const table_kind_t *)kind)->changed(*(void *const *)a);
	int64_t right =
		((const table_kind_t *)kind)->changed(*(void *const *)b);

	return left < right ? -1 : left > right;
}

/*
 * Moves items into table. One record ends at most one item, so two ended items
 * with the same offset are invalid.
 */
static bool restore_table(wwh_state_table_t *table, GPtrArray *items,
			  const table_kind_t *kind)
{
	GPtrArray *ended = g_ptr_array_new();
	int64_t last = WWH_NO_OFFSET;
	bool valid = true;

	while (items->len > 0) {
		void *item = g_ptr_array_remove_index_fast(items, 0);

		if (wwh_state_table_find(table, *(char **)item) != NULL) {
			wwh_state_item_free(table->fields, item);
			valid = false;
			continue;
		}
		wwh_state_table_add(table, item);
		if (kind->has_ended(item))
			g_ptr_array_add(ended, item);
	}
	g_ptr_array_sort_with_data(ended, compare_changed, (gpointer)kind);
	for (guint i = 0; i < ended->len; i++) {
		valid = valid && kind->changed(ended->pdata[i]) > last;
		last = kind->changed(ended->pdata[i]);
		g_queue_push_tail(&table->ended, ended->pdata[i]);
	}
	valid = valid && ended->len <= WWH_STATE_ENDED_MAX;
	g_ptr_array_unref(ended);
	return valid;
}

static bool restore_authors(wwh_state_t *state, GPtrArray *authors)
{
	while (authors->len > 0) {
		wwh_state_author_t *author =
			g_ptr_array_remove_index_fast(authors, 0);

		if (author->offset > state->last_offset ||
		    g_tree_lookup(state->authors, author->id) != NULL) {
			wwh_state_item_free(&wwh_state_author_fields, author);
			return false;
		}
		g_tree_insert(state->authors, author->id, author);
	}
	return true;
}

static bool restore(wwh_state_t *state, state_snapshot_t *from,
		    wwh_message_t *message)
{
	bool valid;

	state->last_offset = from->last_offset;
	if (from->config_offset > state->last_offset ||
	    !restore_config(state, from, message) ||
	    !restore_leases(state, from) || !restore_seats(state, from))
		return false;
	for (guint i = 0; i < from->workers->len; i++) {
		if (!restore_worker(state, from->workers->pdata[i]))
			return false;
	}
	valid = restore_table(&state->waves, from->waves, &wave_kind);
	valid = restore_table(&state->rehearsals, from->rehearsals,
			      &rehearsal_kind) &&
		valid;
	valid = restore_table(&state->jobs, from->jobs, &job_kind) && valid;
	return valid && restore_waves(state) && are_jobs_valid(state) &&
	       restore_authors(state, from->authors);
}

static bool encodes_to_same_bytes(const wwh_state_t *state, const uint8_t *data,
				  size_t size)
{
	GBytes *reencoded = wwh_snapshot_encode_state(state);
	bool same = g_bytes_get_size(reencoded) == size &&
		    memcmp(g_bytes_get_data(reencoded, NULL), data, size) == 0;

	g_bytes_unref(reencoded);
	return same;
}

wwh_status_t wwh_snapshot_decode_state(const uint8_t *data, size_t size,
				       wwh_state_t **state,
				       wwh_message_t *message)
{
	wwh_state_t *decoded = wwh_state_new();
	state_snapshot_t from;
	bool valid;

	*state = NULL;
	wwh_message_set(message, "the snapshot contradicts itself");
	valid = wwh_codec_decode(&state_snapshot_fields, data, size, &from,
				 message) &&
		restore(decoded, &from, message);
	wwh_codec_clear(&state_snapshot_fields, &from);
	if (!valid || !encodes_to_same_bytes(decoded, data, size)) {
		wwh_state_delete(decoded);
		return WWH_STATUS_BAD_INPUT;
	}
	*state = decoded;
	return WWH_STATUS_OK;
}
