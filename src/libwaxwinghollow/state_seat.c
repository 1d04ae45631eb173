#include <string.h>
#include <xxhash.h>

#include "private/state_internal.h"

static bool is_member(const wwh_seat_table_t *seats, uint64_t process);

const wwh_seat_table_t *wwh_state_seats(const wwh_state_t *state)
{
	return &state->seats;
}

uint64_t wwh_seat_process_id(const char *author)
{
	uint64_t process = XXH3_64bits(author, strlen(author));

	return process != 0 ? process : 1;
}

/* A process may append seat records for itself only: its id is the author's. */
wwh_verdict_t wwh_apply_seat(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail)
{
	const wwh_seat_record_t *body = &record->body.seat;

	(void)offset;
	if (body->process != wwh_seat_process_id(record->author))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID, WWH_NO_OFFSET,
			"seat record of %s names another process",
			record->author);
	if (!wwh_seat_table_apply(&state->seats, body))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_STALE, WWH_NO_OFFSET,
			"%s by %s has no effect on the seats",
			wwh_seat_record_names[body->type], record->author);
	return WWH_VERDICT_ACCEPTED;
}

bool wwh_state_seats_valid(const wwh_seat_table_t *seats)
{
	uint64_t members = seats->member_count < WWH_SEAT_MEMBERS_MAX
				   ? (UINT64_C(1) << seats->member_count) - 1
				   : UINT64_MAX;

	if (seats->seat_count != WWH_STATE_SEATS)
		return false;
	for (int32_t i = 0; i < seats->member_count; i++) {
		const wwh_seat_member_t *member = &seats->members[i];

		if (member->process == 0 || (member->acked & ~members) != 0)
			return false;
		for (int32_t j = 0; j < i; j++) {
			if (seats->members[j].process == member->process)
				return false;
		}
	}
	for (int32_t i = 0; i < seats->seat_count; i++) {
		if (seats->holders[i] != 0 &&
		    !is_member(seats, seats->holders[i]))
			return false;
	}
	return true;
}

static bool is_member(const wwh_seat_table_t *seats, uint64_t process)
{
	for (int32_t i = 0; i < seats->member_count; i++) {
		if (seats->members[i].process == process)
			return true;
	}
	return false;
}
