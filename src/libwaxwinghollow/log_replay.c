#include <assert.h>

#include "private/log_core_private.h"

const char *const wwh_log_verdict_names[WWH_LOG_VERDICT_COUNT] = {
	"deliver", "warm_up", "duplicate", "void", "scan", "ambiguous", "stale",
};

const char *const wwh_log_state_names[WWH_LOG_STATE_COUNT] = {
	"replaying",
	"trimmed",
};

static wwh_log_verdict_t judge(wwh_log_core_t *core,
			       const wwh_log_entry_t *entry);
static void read_failed(wwh_log_core_t *core, int64_t now_ms);
static void on_trimmed(wwh_log_core_t *core, int64_t first);
static void enter_trimmed(wwh_log_core_t *core, int64_t scan_from);

bool wwh_log_core_read_begin(wwh_log_core_t *core, int64_t now_ms,
			     wwh_log_read_t *read, int64_t *wait_ms)
{
	if (core->read_after_ms > now_ms) {
		*wait_ms = core->read_after_ms - now_ms;
		return false;
	}
	*read = (wwh_log_read_t){
		.generation = core->generation,
		.from = core->cursor,
		.wait_ms = core->options.read_wait_ms,
		.timeout_ms = core->options.read_timeout_ms,
	};
	return true;
}

wwh_log_verdict_t wwh_log_core_handle_record(wwh_log_core_t *core,
					     int64_t generation,
					     const wwh_log_entry_t *entry)
{
	wwh_log_verdict_t verdict;

	if (generation != core->generation || entry->offset < core->cursor)
		return WWH_LOG_STALE;
	verdict = judge(core, entry);
	switch (verdict) {
	case WWH_LOG_AMBIGUOUS:
		core->stats.ambiguous++;
		core->newest_ambiguous = entry->offset;
		enter_trimmed(core, entry->offset);
		return verdict;
	case WWH_LOG_DUPLICATE:
		core->stats.duplicates++;
		break;
	case WWH_LOG_VOID:
		core->stats.voids++;
		break;
	case WWH_LOG_DELIVER:
		core->stats.delivered++;
		break;
	default:
		break;
	}
	core->cursor = entry->offset + 1;
	if (core->known_next < core->cursor)
		core->known_next = core->cursor;
	if (verdict == WWH_LOG_DELIVER || verdict == WWH_LOG_WARM_UP) {
		wwh_log_window_note(core->window, &entry->append_id,
				    entry->offset);
		/* An earlier copy may be where nothing was read. */
		if (wwh_append_id_base(&entry->append_id) >= core->read_from)
			wwh_log_core_seen(core, &entry->append_id,
					  entry->offset);
	}
	return verdict;
}

wwh_log_state_t wwh_log_core_read_done(wwh_log_core_t *core, int64_t generation,
				       wwh_status_t status, int64_t first,
				       int64_t next, int64_t now_ms)
{
	if (generation != core->generation)
		return core->state;
	if (status != WWH_STATUS_OK && status != WWH_STATUS_NOT_FOUND) {
		read_failed(core, now_ms);
		return core->state;
	}
	core->read_failures = 0;
	if (next < core->cursor && status == WWH_STATUS_OK) {
		/*
		 * Offsets never fall on a log that keeps its promise. Going
		 * on would replay other records at offsets already applied.
		 */
		core->stats.went_back++;
		read_failed(core, now_ms);
		return core->state;
	}
	if (core->known_next < next)
		core->known_next = next;
	if (status == WWH_STATUS_NOT_FOUND)
		on_trimmed(core, first);
	core->at_end = core->state == WWH_LOG_REPLAYING &&
		       core->cursor >= core->deliver_from &&
		       core->cursor >= next;
	wwh_log_core_expire(core);
	return core->state;
}

wwh_status_t wwh_log_core_restore(wwh_log_core_t *core, int64_t upto)
{
	assert(upto >= 1);
	if (upto < core->deliver_from || upto <= core->newest_ambiguous ||
	    (core->state == WWH_LOG_REPLAYING && upto < core->cursor))
		return WWH_STATUS_CONFLICT;
	core->generation++;
	core->state = WWH_LOG_REPLAYING;
	core->deliver_from = upto;
	core->cursor = MAX(1, upto - core->options.window);
	core->read_from = core->cursor;
	core->at_end = false;
	core->read_after_ms = 0;
	wwh_log_window_clear(core->window);
	return WWH_STATUS_OK;
}

wwh_log_state_t wwh_log_core_state(const wwh_log_core_t *core)
{
	return core->state;
}

int64_t wwh_log_core_cursor(const wwh_log_core_t *core)
{
	return core->cursor;
}

int64_t wwh_log_core_known_next(const wwh_log_core_t *core)
{
	return core->known_next;
}

bool wwh_log_core_caught_up(const wwh_log_core_t *core)
{
	return core->at_end;
}

int64_t wwh_append_id_base(const wwh_append_id_t *id)
{
	uint64_t base = 0;

	for (int i = 0; i < 8; i++)
		base = (base << 8) | id->bytes[i];
	return base > INT64_MAX ? INT64_MAX : (int64_t)base;
}

static wwh_log_verdict_t judge(wwh_log_core_t *core,
			       const wwh_log_entry_t *entry)
{
	int64_t base = wwh_append_id_base(&entry->append_id);

	if (core->state == WWH_LOG_TRIMMED)
		return WWH_LOG_SCAN;
	if (base < 1 || base > entry->offset ||
	    entry->offset - base >= core->options.window)
		return WWH_LOG_VOID;
	if (wwh_log_window_find(core->window, &entry->append_id) != 0)
		return WWH_LOG_DUPLICATE;
	if (entry->offset < core->deliver_from)
		return WWH_LOG_WARM_UP;
	if (base < core->read_from)
		return WWH_LOG_AMBIGUOUS;
	return WWH_LOG_DELIVER;
}

static void read_failed(wwh_log_core_t *core, int64_t now_ms)
{
	core->stats.read_failures++;
	core->read_failures++;
	core->at_end = false;
	core->read_after_ms =
		now_ms + wwh_log_core_jitter(core,
					     core->options.read_backoff_cap_ms,
					     core->read_failures);
}

static void on_trimmed(wwh_log_core_t *core, int64_t first)
{
	if (first <= core->cursor)
		return;
	if (core->state == WWH_LOG_REPLAYING && first <= core->deliver_from) {
		/* Only a part of the window before the snapshot is gone. */
		core->cursor = first;
		core->read_from = first;
		wwh_log_window_clear(core->window);
		return;
	}
	core->stats.trims++;
	enter_trimmed(core, first);
}

/* What was delivered stays delivered: a restore below it is refused. */
static void enter_trimmed(wwh_log_core_t *core, int64_t scan_from)
{
	if (core->state == WWH_LOG_REPLAYING)
		core->deliver_from = MAX(core->deliver_from, core->cursor);
	core->state = WWH_LOG_TRIMMED;
	core->generation++;
	core->cursor = scan_from;
	core->read_from = INT64_MAX;
	core->at_end = false;
}
