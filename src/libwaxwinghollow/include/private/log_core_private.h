#ifndef WAXWINGHOLLOW_PRIVATE_LOG_CORE_PRIVATE_H
#define WAXWINGHOLLOW_PRIVATE_LOG_CORE_PRIVATE_H

/* Declarations shared by log_core.c (appends) and log_replay.c (reads). */

#include "private/log_window.h"
#include "waxwinghollow/log_core.h"

/* A submitted payload. */
typedef struct {
	uint64_t ticket;
	GBytes *payload;
	int64_t deadline_ms;
	int64_t added_ms;
	bool settled;
} wwh_submission_t;

/* An append that was sent at least once and isn't settled. */
typedef struct {
	wwh_append_id_t id;
	int64_t base;
	GPtrArray *submissions; /* wwh_submission_t *, by index */
	GBytes *data;
	int32_t attempts;
	bool in_flight;
	bool outcome_unknown; /* an attempt may have taken effect */
	bool answered; /* an attempt was answered with a valid offset */
	int64_t retry_ms;
} wwh_append_t;

struct wwh_log_core {
	wwh_log_core_options_t options;
	wwh_log_budget_t *budget;
	GRand *rand;
	wwh_log_stats_t stats;

	uint64_t last_ticket;
	GQueue waiting; /* wwh_submission_t * in order of submission */
	int64_t queued_bytes; /* of waiting */
	int64_t unsettled_bytes;
	int32_t unsettled;
	GPtrArray *open; /* wwh_append_t * in order of their first send */
	wwh_append_t *current; /* the append of the attempt in progress */
	GQueue settled; /* wwh_log_settled_t * */
	int32_t failures; /* consecutive failed attempts */
	int64_t pause_until_ms;

	wwh_log_state_t state;
	int64_t generation;
	int64_t cursor; /* next offset to be read */
	int64_t deliver_from; /* records below it aren't delivered */
	int64_t read_from; /* everything from here to cursor was read */
	int64_t known_next;
	bool at_end; /* cursor reached the end in the last read */
	int64_t newest_ambiguous; /* 0: none */
	wwh_log_window_t *window;
	int32_t read_failures;
	int64_t read_after_ms;
};

/* Settles the append with this id as OK: its effective record is at offset. */
void wwh_log_core_settle_by_reading(wwh_log_core_t *core,
				    const wwh_append_id_t *id, int64_t offset);
/* Settles as UNAVAILABLE the appends that can no longer take effect. */
void wwh_log_core_expire(wwh_log_core_t *core);
int64_t wwh_log_core_jitter(wwh_log_core_t *core, int32_t cap_ms,
			    int32_t failures);

#endif
