#include "private/dispatch_state.h"

typedef struct {
	wwh_counter_visit_t visit;
	void *client_data;
	const char *kind;
	const char *id;
} dump_t;

static void show(const dump_t *dump, const char *name, int64_t value);
static void show_service(const dump_t *dump,
			 const wwh_service_state_t *service);
static void show_minion(const dump_t *dump, const wwh_minion_record_t *minion);

void wwh_dispatch_dump(const wwh_dispatch_t *dispatch,
		       wwh_counter_visit_t visit, void *client_data)
{
	dump_t dump = { visit, client_data, "dispatch", NULL };

	show(&dump, "waiting", dispatch->waiting);
	show(&dump, "waiting_bytes", dispatch->waiting_bytes);
	show(&dump, "running", dispatch->running);
	show(&dump, "seat_count", dispatch->share.seat_count);
	show(&dump, "seats_held", __builtin_popcountll(dispatch->share.seats));
	show(&dump, "seats_settled", wwh_dispatch_is_within_share(dispatch));
	for (guint i = 0; i < dispatch->service_list->len; i++)
		show_service(&dump,
			     g_ptr_array_index(dispatch->service_list, i));
	for (guint i = 0; i < dispatch->minion_list->len; i++)
		show_minion(&dump, g_ptr_array_index(dispatch->minion_list, i));
	for (guint i = 0; i < dispatch->team_list->len; i++) {
		const wwh_team_state_t *team =
			g_ptr_array_index(dispatch->team_list, i);

		dump.kind = "team";
		dump.id = team->id;
		show(&dump, "active", team->active);
	}
}

static void show(const dump_t *dump, const char *name, int64_t value)
{
	char *full;

	if (dump->id == NULL)
		full = g_strdup_printf("%s.%s", dump->kind, name);
	else
		full = g_strdup_printf("%s.%s.%s", dump->kind, dump->id, name);
	dump->visit(full, value, dump->client_data);
	g_free(full);
}

static void show_service(const dump_t *dump, const wwh_service_state_t *service)
{
	const wwh_admission_t *admission = service->admission;
	dump_t own = { dump->visit, dump->client_data, "service", service->id };

	show(&own, "waiting", wwh_admission_waiting(admission));
	show(&own, "waiting_bytes", wwh_admission_waiting_bytes(admission));
	show(&own, "waiting_callers", wwh_admission_waiting_callers(admission));
	show(&own, "running", service->running);
	show(&own, "arrived", service->arrived);
	show(&own, "answered", service->answered);
	show(&own, "attempts", service->attempts);
	show(&own, "retries", service->retries);
	show(&own, "cancelled", service->cancelled);
	show(&own, "retry_tokens_milli",
	     (int64_t)(1000 * service->budget.tokens));
	show(&own, "run_median_ms", wwh_admission_median_ms(admission));
	show(&own, "run_p90_ms", wwh_admission_p90_ms(admission));
	show(&own, "drain_milli_per_s",
	     (int64_t)(1000 * wwh_admission_drain_per_s(admission, true)));
	show(&own, "drain_bulk_milli_per_s",
	     (int64_t)(1000 * wwh_admission_drain_per_s(admission, false)));
	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		char *name;

		if (service->ended[i] == 0)
			continue;
		name = g_strdup_printf("ended.%s", wwh_error_kind_names[i]);
		show(&own, name, service->ended[i]);
		g_free(name);
	}
}

static void show_minion(const dump_t *dump, const wwh_minion_record_t *minion)
{
	dump_t own = { dump->visit, dump->client_data, "minion", minion->id };

	show(&own, "running", minion->limiter.running);
	show(&own, "share", minion->limiter.share);
	show(&own, "bears", minion->bearing.bears);
	show(&own, "lent", wwh_loan_lent(minion->loans));
	show(&own, "borrowed", wwh_loan_borrowed(minion->loans));
	show(&own, "takes_work", wwh_minion_takes_work(minion));
	show(&own, "ejection_state", minion->ejection.state);
	show(&own, "ejected", minion->ejected);
	show(&own, "started", minion->started);
	show(&own, "failed", minion->failed);
	show(&own, "refused", minion->refused);
	show(&own, "run_median_ms", (int64_t)minion->ejection.run_ms.value);
	show(&own, "blocked_until_ms", minion->blocked_until_ms);
}
