#ifndef STANDIN_FLEET_HTTP_H
#define STANDIN_FLEET_HTTP_H

/* HTTP handlers of the platform stand-in for hosts, workers and tasks. */

#include "standin_http.h"

static int handle_register(const request_t *request, response_t *response,
			   void *client_data)
{
	platform_t *platform = client_data;
	const char *kind = text_of(request, "kind");
	const char *state = text_of(request, "state");
	standin_host_t *host;

	if (index_of(kind, wwh_host_kind_names, WWH_HOST_KIND_COUNT) < 0 ||
	    index_of(state, wwh_host_state_names, WWH_HOST_STATE_COUNT) < 0)
		return answer(response, 400, "kind or state");
	host = g_new0(standin_host_t, 1);
	host->id = g_strdup(text_of(request, "id"));
	host->kind = g_strdup(kind);
	host->state = g_strdup(state);
	host->address = g_strdup(text_of(request, "address"));
	host->zone = g_strdup(text_of(request, "zone"));
	standin_host_register(&platform->fleet, host, wall_ms());
	return answer(response, 200, "");
}

static gboolean add_host(gpointer key, gpointer value, gpointer client_data)
{
	const standin_host_t *host = value;
	JsonBuilder *builder = client_data;

	(void)key;
	json_builder_begin_object(builder);
	add_text(builder, "id", host->id);
	add_text(builder, "kind", host->kind);
	add_text(builder, "state", host->state);
	add_text(builder, "address", host->address);
	add_text(builder, "zone", host->zone);
	json_builder_end_object(builder);
	return FALSE;
}

static int handle_hosts(const request_t *request, response_t *response,
			void *client_data)
{
	platform_t *platform = client_data;
	JsonBuilder *builder = json_builder_new();

	(void)request;
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	g_mutex_lock(&platform->fleet.lock);
	if (fault(platform, FAULT_LIST_FROZEN) == 0)
		standin_list_advance(&platform->fleet, wall_ms());
	g_tree_foreach(platform->fleet.hosts, add_host, builder);
	g_mutex_unlock(&platform->fleet.lock);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return answer_json(response, builder);
}

static int handle_worker_make(const request_t *request, response_t *response,
			      void *client_data)
{
	platform_t *platform = client_data;
	standin_worker_t *worker = g_new0(standin_worker_t, 1);

	worker->id = g_strdup(text_of(request, "id"));
	worker->state = WWH_WORKER_UP;
	g_mutex_lock(&platform->fleet.lock);
	g_tree_replace(platform->fleet.workers, worker->id, worker);
	g_mutex_unlock(&platform->fleet.lock);
	return answer(response, 200, "");
}

static int handle_worker_status(const request_t *request, response_t *response,
				void *client_data)
{
	platform_t *platform = client_data;
	standin_fleet_t *fleet = &platform->fleet;
	JsonBuilder *builder;
	standin_worker_t *worker;

	if (fault(platform, FAULT_WORKERS_DOWN) != 0)
		return answer(response, 503, "workers are down");
	g_mutex_lock(&fleet->lock);
	worker = g_tree_lookup(fleet->workers, text_of(request, "id"));
	if (worker == NULL) {
		g_mutex_unlock(&fleet->lock);
		return answer(response, 404, "no such worker");
	}
	standin_worker_advance(fleet, worker, wall_ms());
	builder = json_builder_new();
	json_builder_begin_object(builder);
	add_text(builder, "state", wwh_worker_state_names[worker->state]);
	add_number(builder, "fence", worker->fence);
	add_number(builder, "boots", worker->boots);
	add_number(builder, "running_tasks",
		   standin_tasks_sweep(fleet, worker->id, WWH_TASK_RUNNING,
				       wall_ms()));
	json_builder_end_object(builder);
	g_mutex_unlock(&fleet->lock);
	return answer_json(response, builder);
}

static int answer_command(platform_t *platform, response_t *response,
			  unsigned int status)
{
	if (status == 200 &&
	    by_chance(platform, fault(platform, FAULT_LOSE_COMMAND_ANSWERS)))
		return lose_answer(response);
	return answer(response, status, status == 200 ? "" : "refused");
}

static int handle_command(const request_t *request, response_t *response,
			  void *client_data)
{
	platform_t *platform = client_data;
	int command = index_of(text_of(request, "command"), wwh_command_names,
			       WWH_COMMAND_COUNT);
	unsigned int status;

	if (fault(platform, FAULT_WORKERS_DOWN) != 0)
		return answer(response, 503, "workers are down");
	if (command < 0)
		return answer(response, 400, "no such command");
	g_mutex_lock(&platform->fleet.lock);
	status = standin_worker_command(
		&platform->fleet, text_of(request, "id"),
		(wwh_command_t)command, number_of(request, "fence", 0),
		wall_ms());
	g_mutex_unlock(&platform->fleet.lock);
	return answer_command(platform, response, status);
}

static int handle_task(const request_t *request, response_t *response,
		       void *client_data)
{
	platform_t *platform = client_data;
	int verb = index_of(text_of(request, "verb"), wwh_task_verb_names,
			    WWH_TASK_VERB_COUNT);
	wwh_task_order_t order = {
		.task_id = text_of(request, "task"),
		.worker_id = text_of(request, "id"),
		.fence = number_of(request, "fence", 0),
		.cores = (int32_t)number_of(request, "cores", 0),
		.memory_mb = number_of(request, "memory_mb", 0),
		.accelerators = (int32_t)number_of(request, "accelerators", 0),
		.lease_ms = (int32_t)number_of(request, "lease_ms", 0),
	};
	unsigned int status;

	if (fault(platform, FAULT_WORKERS_DOWN) != 0)
		return answer(response, 503, "workers are down");
	if (verb < 0)
		return answer(response, 400, "no such verb");
	order.verb = (wwh_task_verb_t)verb;
	g_mutex_lock(&platform->fleet.lock);
	status = standin_task_order(&platform->fleet, &order, wall_ms());
	g_mutex_unlock(&platform->fleet.lock);
	return answer_command(platform, response, status);
}

typedef struct {
	platform_t *platform;
	JsonBuilder *builder;
} report_t;

static gboolean add_task(gpointer key, gpointer value, gpointer client_data)
{
	standin_task_t *task = value;
	report_t *report = client_data;
	JsonBuilder *builder = report->builder;
	wwh_task_state_t state;
	bool runs;

	(void)key;
	standin_task_advance(task, wall_ms());
	if (!standin_task_reported(&report->platform->fleet, task, wall_ms(),
				   &state))
		return FALSE;
	runs = state == WWH_TASK_RUNNING;
	json_builder_begin_object(builder);
	add_text(builder, "task_id", task->id);
	add_text(builder, "worker_id", task->worker_id);
	add_text(builder, "state", wwh_task_state_names[state]);
	add_number(builder, "fence", task->fence);
	add_number(builder, "used_cores_milli", runs ? task->cores_milli : 0);
	add_number(builder, "used_memory_mb", runs ? task->memory_mb : 0);
	json_builder_end_object(builder);
	return FALSE;
}

static int handle_tasks(const request_t *request, response_t *response,
			void *client_data)
{
	platform_t *platform = client_data;
	report_t report = { platform, json_builder_new() };

	(void)request;
	json_builder_begin_object(report.builder);
	json_builder_set_member_name(report.builder, "tasks");
	json_builder_begin_array(report.builder);
	g_mutex_lock(&platform->fleet.lock);
	g_tree_foreach(platform->fleet.tasks, add_task, &report);
	g_mutex_unlock(&platform->fleet.lock);
	json_builder_end_array(report.builder);
	json_builder_end_object(report.builder);
	return answer_json(response, report.builder);
}

#endif
