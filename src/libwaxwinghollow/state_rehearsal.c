#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"

static bool domain_exists(const wwh_state_t *state, int32_t domain,
			  const char *id)
{
	if (domain == WWH_DOMAIN_WORKER)
		return wwh_state_find_worker(state, id) != NULL;
	for (int32_t i = 0; i < state->worker_count; i++) {
		const wwh_worker_t *worker = state->workers[i].declared;

		if (strcmp(domain == WWH_DOMAIN_RACK ? worker->rack
						     : worker->zone,
			   id) == 0)
			return true;
	}
	return false;
}

static wwh_verdict_t start_rehearsal(wwh_state_t *state, int64_t offset,
				     const wwh_record_t *record,
				     wwh_verdict_detail_t *detail)
{
	const wwh_record_rehearsal_t *body = &record->body.rehearsal;
	wwh_state_rehearsal_t *known =
		wwh_state_table_find(&state->rehearsals, body->rehearsal);

	if (known != NULL)
		return wwh_state_verdict(state, detail, WWH_VERDICT_ALREADY,
					 known->offset,
					 "rehearsal %s was started by %s",
					 known->id, known->author);
	if (wwh_state_table_running_count(&state->rehearsals) >=
	    WWH_STATE_WAVES_MAX)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_LIMIT, WWH_NO_OFFSET,
			"limit of %d running rehearsals reached",
			WWH_STATE_WAVES_MAX);
	if (!domain_exists(state, body->domain, body->domain_id))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"no %s %s", wwh_domain_names[body->domain],
			body->domain_id);
	known = wwh_state_item_new(&wwh_state_rehearsal_fields);
	wwh_record_set(&known->id, body->rehearsal);
	wwh_record_set(&known->author, record->author);
	wwh_record_set(&known->domain_id, body->domain_id);
	known->offset = offset;
	known->changed = offset;
	known->domain = body->domain;
	known->running = true;
	wwh_state_table_add(&state->rehearsals, known);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_rehearsal(wwh_state_t *state, int64_t offset,
				  const wwh_record_t *record,
				  wwh_verdict_detail_t *detail)
{
	const wwh_record_rehearsal_t *body = &record->body.rehearsal;
	wwh_state_rehearsal_t *rehearsal;

	if (record->kind == WWH_RECORD_REHEARSAL_START)
		return start_rehearsal(state, offset, record, detail);
	rehearsal = wwh_state_table_find(&state->rehearsals, body->rehearsal);
	if (rehearsal == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"no rehearsal %s", body->rehearsal);
	if (!rehearsal->running)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, rehearsal->changed,
			"rehearsal %s has ended already", body->rehearsal);
	rehearsal->running = false;
	rehearsal->changed = offset;
	wwh_state_table_end(&state->rehearsals, rehearsal);
	return WWH_VERDICT_ACCEPTED;
}
