#include "private/dispatch_state.h"

typedef struct {
	wwh_counter_visit_t visit;
	void *client_data;
	const char *kind;
	const char *id;
} dump_t;

static void visit_value(const dump_t *dump, const char *name, int64_t value);
static void visit_service(const dump_t *dump,
			  const wwh_service_state_t *service);
static void visit_minion(const dump_t *dump, const wwh_minion_record_t *minion);

void wwh_dispatch_dump(const wwh_dispatch_t *dispatch,
		       wwh_counter_visit_t visit, void *client_data)
{
	dump_t dump = { visit, client_data, "dispatch", NULL };

	visit_value(&dump, "waiting", dispatch->waiting);
	visit_value(&dump, "waiting_bytes", dispatch->waiting_bytes);
	visit_value(&dump, "running", dispatch->running);
	visit_value(&dump, "seat_count", dispatch->share.seat_count);
	visit_value(&dump, "seats_held",
		    __builtin_popcountll(dispatch->share.seats));
	visit_value(&dump, "seats_settled",
		    wwh_dispatch_is_within_share(dispatch));
	for (guint i = 0; i < dispatch->service_list->len; i++)
		visit_service(&dump,
			      g_ptr_array_index(dispatch->service_list, i));
	for (guint i = 0; i < dispatch->minion_list->len; i++)
		visit_minion(&dump,
			     g_ptr_array_index(dispatch->minion_list, i));
	for (guint i = 0; i < dispatch->team_list->len; i++) {
		const wwh_team_state_t *team =
			g_ptr_array_index(dispatch->team_list, i);

		dump.kind = "team";
		dump.id = team->id;
		visit_value(&dump, "active", team->active);
	}
}

static void visit_value(const dump_t *dump, const char *name, int64_t value)
{
	char *full;

	if (dump->id == NULL)
		full = g_strdup_printf("%s.%s", dump->kind, name);
	else
		full = g_strdup_printf("%s.%s.%s", dump->kind, dump->id, name);
	dump->visit(full, value, dump->client_data);
	g_free(full);
}

static void visit_service(const dump_t *dump,
			  const wwh_service_state_t *service)
{
	const wwh_admission_t *admission = service->admission;
	dump_t own = { dump->visit, dump->client_data, "service", service->id };

	visit_value(&own, "waiting", wwh_admission_waiting(admission));
	visit_value(&own, "waiting_bytes",
		    wwh_admission_waiting_bytes(admission));
	visit_value(&own, "waiting_callers",
		    wwh_admission_waiting_callers(admission));
	visit_value(&own, "running", service->running);
	visit_value(&own, "arrived", service->arrived);
	visit_value(&own, "answered", service->answered);
	visit_value(&own, "attempts", service->attempts);
	visit_value(&own, "retries", service->retries);
	visit_value(&own, "cancelled", service->cancelled);
	visit_value(&own, "retry_tokens_milli",
		    (int64_t)(1000 * service->budget.tokens));
	visit_value(&own, "run_median_ms", wwh_admission_median_ms(admission));
	visit_value(&own, "run_p90_ms", wwh_admission_p90_ms(admission));
	visit_value(
		&own, "drain_milli_per_s",
		(int64_t)(1000 * wwh_admission_drain_per_s(admission, true)));
	visit_value(
		&own, "drain_bulk_milli_per_s",
		(int64_t)(1000 * wwh_admission_drain_per_s(admission, false)));
	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		char *name;

		if (service->ended[i] == 0)
			continue;
		name = g_strdup_printf("ended.%s", wwh_error_kind_names[i]);
		visit_value(&own, name, service->ended[i]);
		g_free(name);
	}
}

static void visit_minion(const dump_t *dump, const wwh_minion_record_t *minion)
{
	dump_t own = { dump->visit, dump->client_data, "minion", minion->id };

	visit_value(&own, "running", minion->limiter.running);
	visit_value(&own, "share", minion->limiter.share);
	visit_value(&own, "bears", minion->bearing.bears);
	visit_value(&own, "lent", wwh_loan_lent(minion->loans));
	visit_value(&own, "borrowed", wwh_loan_borrowed(minion->loans));
	visit_value(&own, "takes_work", wwh_minion_takes_work(minion));
	visit_value(&own, "ejection_state", minion->ejection.state);
	visit_value(&own, "ejected", minion->ejected);
	visit_value(&own, "started", minion->started);
	visit_value(&own, "failed", minion->failed);
	visit_value(&own, "refused", minion->refused);
	visit_value(&own, "run_median_ms",
		    (int64_t)minion->ejection.run_ms.value);
	visit_value(&own, "blocked_until_ms", minion->blocked_until_ms);
}
