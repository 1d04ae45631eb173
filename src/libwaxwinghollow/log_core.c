#include <assert.h>
#include <string.h>

#include "private/log_budget.h"
#include "private/log_core_private.h"

#define MAX_BACKOFF_SHIFT 16

static void submission_free(gpointer data);
static void append_free(gpointer data);
static void settle(wwh_log_core_t *core, wwh_append_t *append, int32_t index,
		   wwh_status_t status, int64_t offset);
static void settle_all(wwh_log_core_t *core, wwh_append_t *append,
		       wwh_status_t status, int64_t offset);
static bool all_settled(const wwh_append_t *append);
static void drop_if_settled(wwh_log_core_t *core, wwh_append_t *append);
static wwh_status_t outcome_so_far(const wwh_append_t *append);
static wwh_append_t *due_retry(wwh_log_core_t *core, int64_t now_ms,
			       int64_t *wait_ms);
static bool batch_ready(wwh_log_core_t *core, int64_t now_ms, int64_t *wait_ms);
static wwh_append_t *open_append(wwh_log_core_t *core);
static GBytes *join(wwh_log_core_t *core, const wwh_append_t *append);
static void make_anew(wwh_log_core_t *core, wwh_append_t *append);
static void send(wwh_log_core_t *core, wwh_append_t *append,
		 wwh_log_attempt_t *attempt);
static void answered(wwh_log_core_t *core, wwh_append_t *append,
		     int64_t offset);
static void attempt_failed(wwh_log_core_t *core, wwh_append_t *append,
			   int64_t now_ms);
static void sooner(int64_t *wait_ms, int64_t candidate_ms);

void wwh_log_core_options_defaults(wwh_log_core_options_t *options)
{
	*options = (wwh_log_core_options_t){
		.max_waiting = 4096,
		.max_waiting_bytes = (int64_t)8 * 1024 * 1024,
		.max_open = 64,
		.batch_bytes = 256 * 1024,
		.batch_items = 1,
		.attempt_timeout_ms = 2000,
		.settle_ms = 50,
		.backoff_base_ms = 20,
		.backoff_cap_ms = 2000,
		.read_wait_ms = 1000,
		.read_timeout_ms = 4000,
		.read_backoff_cap_ms = 1000,
		.start = 1,
		.window = WWH_LOG_WINDOW,
	};
}

wwh_log_core_t *wwh_log_core_new(const wwh_log_core_options_t *options,
				 wwh_log_budget_t *budget, GRand *rand)
{
	wwh_log_core_t *core = g_new0(wwh_log_core_t, 1);

	assert(options->batch_items <= 1 || options->join != NULL);
	assert(options->start >= 1);
	core->options = *options;
	core->budget = budget;
	core->rand = rand;
	core->open = g_ptr_array_new_with_free_func(append_free);
	core->window = wwh_log_window_new(options->window);
	core->state = WWH_LOG_REPLAYING;
	core->deliver_from = options->start;
	core->cursor = MAX(1, options->start - options->window);
	core->read_from = core->cursor;
	return core;
}

void wwh_log_core_delete(wwh_log_core_t *core)
{
	if (core == NULL)
		return;
	g_queue_clear_full(&core->waiting, submission_free);
	g_queue_clear_full(&core->settled, g_free);
	g_ptr_array_unref(core->open);
	wwh_log_window_delete(core->window);
	g_free(core);
}

wwh_status_t wwh_log_core_submit(wwh_log_core_t *core, GBytes *payload,
				 int64_t deadline_ms, int64_t now_ms,
				 uint64_t *ticket)
{
	int64_t bytes = (int64_t)g_bytes_get_size(payload);
	wwh_submission_t *submission;

	if (core->unsettled >= core->options.max_waiting ||
	    core->unsettled_bytes + bytes > core->options.max_waiting_bytes) {
		core->stats.refused++;
		return WWH_STATUS_LIMIT;
	}
	submission = g_new0(wwh_submission_t, 1);
	submission->ticket = ++core->last_ticket;
	submission->payload = g_bytes_ref(payload);
	submission->deadline_ms = deadline_ms;
	submission->added_ms = now_ms;
	g_queue_push_tail(&core->waiting, submission);
	core->queued_bytes += bytes;
	core->unsettled_bytes += bytes;
	core->unsettled++;
	*ticket = submission->ticket;
	return WWH_STATUS_OK;
}

void wwh_log_core_tick(wwh_log_core_t *core, int64_t now_ms)
{
	GList *link = core->waiting.head;

	while (link != NULL) {
		wwh_submission_t *submission = link->data;
		GList *next = link->next;

		if (submission->deadline_ms <= now_ms) {
			wwh_append_t unsent = { 0 };

			unsent.submissions = g_ptr_array_new();
			g_ptr_array_add(unsent.submissions, submission);
			core->queued_bytes -=
				(int64_t)g_bytes_get_size(submission->payload);
			settle(core, &unsent, 0, WWH_STATUS_UNAVAILABLE, 0);
			g_ptr_array_unref(unsent.submissions);
			submission_free(submission);
			g_queue_delete_link(&core->waiting, link);
		}
		link = next;
	}
	for (guint i = core->open->len; i > 0; i--) {
		wwh_append_t *append = core->open->pdata[i - 1];

		for (guint k = 0; k < append->submissions->len; k++) {
			wwh_submission_t *s = append->submissions->pdata[k];

			if (s->deadline_ms <= now_ms)
				settle(core, append, (int32_t)k,
				       outcome_so_far(append), 0);
		}
		drop_if_settled(core, append);
	}
}

void wwh_log_core_abort_all(wwh_log_core_t *core)
{
	wwh_log_core_tick(core, INT64_MAX);
	assert(core->unsettled == 0);
}

bool wwh_log_core_pop_settled(wwh_log_core_t *core, wwh_log_settled_t *settled)
{
	wwh_log_settled_t *head = g_queue_pop_head(&core->settled);

	if (head == NULL)
		return false;
	*settled = *head;
	g_free(head);
	return true;
}

bool wwh_log_core_next_attempt(wwh_log_core_t *core, int64_t now_ms,
			       wwh_log_attempt_t *attempt, int64_t *wait_ms)
{
	wwh_append_t *append;

	assert(core->current == NULL);
	*wait_ms = -1;
	/* Without a known end of the log an append has no base. */
	if (core->unsettled == 0 || core->known_next == 0)
		return false;
	if (core->pause_until_ms > now_ms) {
		*wait_ms = core->pause_until_ms - now_ms;
		return false;
	}
	append = due_retry(core, now_ms, wait_ms);
	if (append == NULL && batch_ready(core, now_ms, wait_ms))
		append = open_append(core);
	if (append == NULL)
		return false;
	send(core, append, attempt);
	return true;
}

void wwh_log_core_attempt_done(wwh_log_core_t *core, wwh_status_t status,
			       int64_t offset, int64_t now_ms)
{
	wwh_append_t *append = core->current;

	assert(append != NULL);
	core->current = NULL;
	append->in_flight = false;
	switch (status) {
	case WWH_STATUS_OK:
		core->failures = 0;
		answered(core, append, offset);
		break;
	case WWH_STATUS_BAD_INPUT:
		append->retry_ms = INT64_MAX;
		if (!append->outcome_unknown)
			settle_all(core, append, status, 0);
		break;
	case WWH_STATUS_UNAVAILABLE:
		attempt_failed(core, append, now_ms);
		break;
	default:
		core->stats.lost_answers++;
		append->outcome_unknown = true;
		attempt_failed(core, append, now_ms);
		break;
	}
	drop_if_settled(core, append);
}

int32_t wwh_log_core_waiting(const wwh_log_core_t *core)
{
	return core->unsettled;
}

const wwh_log_stats_t *wwh_log_core_stats(const wwh_log_core_t *core)
{
	return &core->stats;
}

void wwh_log_core_seen(wwh_log_core_t *core, const wwh_append_id_t *id,
		       int64_t offset)
{
	for (guint i = 0; i < core->open->len; i++) {
		wwh_append_t *append = core->open->pdata[i];

		if (memcmp(&append->id, id, sizeof(*id)) != 0)
			continue;
		if (!all_settled(append))
			core->stats.settled_by_reading++;
		core->failures = 0;
		core->pause_until_ms = 0;
		settle_all(core, append, WWH_STATUS_OK, offset);
		drop_if_settled(core, append);
		return;
	}
}

/*
 * Everything from an append's base to the end of its window was read, and it
 * was not there: any copy that still comes is void.
 */
void wwh_log_core_expire(wwh_log_core_t *core)
{
	if (core->state != WWH_LOG_REPLAYING)
		return;
	for (guint i = core->open->len; i > 0; i--) {
		wwh_append_t *append = core->open->pdata[i - 1];

		if (!append->outcome_unknown ||
		    append->base < core->read_from ||
		    core->cursor - append->base < core->options.window)
			continue;
		core->stats.expired_unseen++;
		settle_all(core, append, WWH_STATUS_UNAVAILABLE, 0);
		drop_if_settled(core, append);
	}
}

int64_t wwh_log_core_jitter(wwh_log_core_t *core, int32_t cap_ms,
			    int32_t failures)
{
	int64_t span_ms = (int64_t)core->options.backoff_base_ms
			  << MIN(failures, MAX_BACKOFF_SHIFT);

	span_ms = MIN(span_ms, cap_ms);
	return 1 + g_rand_int_range(core->rand, 0, (gint32)span_ms);
}

static void submission_free(gpointer data)
{
	wwh_submission_t *submission = data;

	g_bytes_unref(submission->payload);
	g_free(submission);
}

static void append_free(gpointer data)
{
	wwh_append_t *append = data;

	g_ptr_array_unref(append->submissions);
	g_clear_pointer(&append->data, g_bytes_unref);
	g_free(append);
}

static void settle(wwh_log_core_t *core, wwh_append_t *append, int32_t index,
		   wwh_status_t status, int64_t offset)
{
	wwh_submission_t *submission = append->submissions->pdata[index];
	wwh_log_settled_t *settled;

	if (submission->settled)
		return;
	submission->settled = true;
	core->unsettled--;
	core->unsettled_bytes -= (int64_t)g_bytes_get_size(submission->payload);
	settled = g_new0(wwh_log_settled_t, 1);
	settled->ticket = submission->ticket;
	settled->status = status;
	settled->offset = offset;
	settled->index = index;
	g_queue_push_tail(&core->settled, settled);
}

static void settle_all(wwh_log_core_t *core, wwh_append_t *append,
		       wwh_status_t status, int64_t offset)
{
	for (guint i = 0; i < append->submissions->len; i++)
		settle(core, append, (int32_t)i, status, offset);
}

static bool all_settled(const wwh_append_t *append)
{
	for (guint i = 0; i < append->submissions->len; i++) {
		const wwh_submission_t *s = append->submissions->pdata[i];

		if (!s->settled)
			return false;
	}
	return true;
}

/* An attempt that is being made holds its append until it ends. */
static void drop_if_settled(wwh_log_core_t *core, wwh_append_t *append)
{
	if (!append->in_flight && all_settled(append))
		g_ptr_array_remove(core->open, append);
}

static wwh_status_t outcome_so_far(const wwh_append_t *append)
{
	if (append->outcome_unknown || append->in_flight)
		return WWH_STATUS_UNKNOWN;
	return WWH_STATUS_UNAVAILABLE;
}

static wwh_append_t *due_retry(wwh_log_core_t *core, int64_t now_ms,
			       int64_t *wait_ms)
{
	for (guint i = 0; i < core->open->len; i++) {
		wwh_append_t *append = core->open->pdata[i];
		int64_t budget_ms;

		if (append->answered || append->retry_ms == INT64_MAX)
			continue;
		/* Its next copy would be void. */
		if (append->outcome_unknown &&
		    core->known_next - append->base >= core->options.window)
			continue;
		if (append->retry_ms > now_ms) {
			sooner(wait_ms, append->retry_ms - now_ms);
			continue;
		}
		budget_ms = wwh_log_budget_try_acquire(core->budget, now_ms);
		if (budget_ms == 0)
			return append;
		sooner(wait_ms, budget_ms);
		break;
	}
	return NULL;
}

static bool batch_ready(wwh_log_core_t *core, int64_t now_ms, int64_t *wait_ms)
{
	const wwh_submission_t *oldest = g_queue_peek_head(&core->waiting);
	int64_t due_ms;

	if (oldest == NULL ||
	    (int32_t)core->open->len >= core->options.max_open)
		return false;
	due_ms = oldest->added_ms + core->options.batch_ms;
	if (core->options.batch_items <= 1 || due_ms <= now_ms ||
	    core->queued_bytes >= core->options.batch_bytes ||
	    (int32_t)core->waiting.length >= core->options.batch_items)
		return true;
	sooner(wait_ms, due_ms - now_ms);
	return false;
}

static wwh_append_t *open_append(wwh_log_core_t *core)
{
	wwh_append_t *append = g_new0(wwh_append_t, 1);
	int32_t items = MAX(1, core->options.batch_items);
	int64_t bytes = 0;

	append->submissions = g_ptr_array_new_with_free_func(submission_free);
	while ((int32_t)append->submissions->len < items &&
	       core->waiting.length > 0) {
		const wwh_submission_t *head =
			g_queue_peek_head(&core->waiting);

		bytes += (int64_t)g_bytes_get_size(head->payload);
		if (append->submissions->len > 0 &&
		    bytes > core->options.batch_bytes)
			break;
		core->queued_bytes -= (int64_t)g_bytes_get_size(head->payload);
		g_ptr_array_add(append->submissions,
				g_queue_pop_head(&core->waiting));
	}
	g_ptr_array_add(core->open, append);
	wwh_log_budget_credit_first_send(core->budget);
	return append;
}

static GBytes *join(wwh_log_core_t *core, const wwh_append_t *append)
{
	guint count = append->submissions->len;
	GBytes **payloads;
	GBytes *joined;

	if (core->options.batch_items <= 1) {
		const wwh_submission_t *only = append->submissions->pdata[0];

		return g_bytes_ref(only->payload);
	}
	payloads = g_new(GBytes *, count);
	for (guint i = 0; i < count; i++) {
		const wwh_submission_t *s = append->submissions->pdata[i];

		payloads[i] = s->payload;
	}
	joined = core->options.join(payloads, (int32_t)count,
				    core->options.join_data);
	g_free(payloads);
	return joined;
}

/*
 * While no copy can be in the log, each attempt is a new append: a fresh base
 * lasts longer, and a payload that was given up as without effect must not
 * go along with the others of its batch.
 */
static void make_anew(wwh_log_core_t *core, wwh_append_t *append)
{
	for (guint i = append->submissions->len; i > 0; i--) {
		const wwh_submission_t *s = append->submissions->pdata[i - 1];

		if (s->settled)
			g_ptr_array_remove_index(append->submissions, i - 1);
	}
	g_clear_pointer(&append->data, g_bytes_unref);
	append->data = join(core, append);
	append->base = core->known_next;
	for (int i = 0; i < 8; i++)
		append->id.bytes[i] = (uint8_t)(append->base >> (56 - 8 * i));
	for (int i = 8; i < WWH_APPEND_ID_BYTES; i++)
		append->id.bytes[i] =
			(uint8_t)g_rand_int_range(core->rand, 0, 256);
}

static void send(wwh_log_core_t *core, wwh_append_t *append,
		 wwh_log_attempt_t *attempt)
{
	gsize size;

	if (!append->outcome_unknown)
		make_anew(core, append);
	core->current = append;
	append->in_flight = true;
	append->attempts++;
	attempt->id = append->id;
	attempt->data = g_bytes_get_data(append->data, &size);
	attempt->size = size;
	attempt->timeout_ms = core->options.attempt_timeout_ms;
	core->stats.attempts++;
	core->stats.attempt_bytes += (int64_t)size;
	if (append->attempts > 1)
		core->stats.retries++;
}

/*
 * One copy is at offset. It is the one that counts only if there can be no
 * other; else the replay tells which one came first.
 */
static void answered(wwh_log_core_t *core, wwh_append_t *append, int64_t offset)
{
	bool is_void = offset - append->base >= core->options.window;

	if (core->known_next < offset + 1)
		core->known_next = offset + 1;
	append->retry_ms = INT64_MAX;
	if (!append->outcome_unknown) {
		settle_all(core, append,
			   is_void ? WWH_STATUS_UNAVAILABLE : WWH_STATUS_OK,
			   offset);
		return;
	}
	append->answered = !is_void;
}

static void attempt_failed(wwh_log_core_t *core, wwh_append_t *append,
			   int64_t now_ms)
{
	int32_t cap_ms = core->options.backoff_cap_ms;

	core->failures++;
	core->pause_until_ms =
		now_ms + wwh_log_core_jitter(core, cap_ms, core->failures);
	append->retry_ms = now_ms + core->options.settle_ms +
			   wwh_log_core_jitter(core, cap_ms, append->attempts);
}

static void sooner(int64_t *wait_ms, int64_t candidate_ms)
{
	if (*wait_ms < 0 || candidate_ms < *wait_ms)
		*wait_ms = candidate_ms;
}
