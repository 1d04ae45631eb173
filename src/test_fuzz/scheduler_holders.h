#ifndef TEST_FUZZ_SCHEDULER_HOLDERS_H
#define TEST_FUZZ_SCHEDULER_HOLDERS_H

/*
 * NAME
 *	scheduler_holders - holders of the shard, one after the other
 *
 * USE
 *	For fuzz_scheduler alone. Keeps what a holder orders and records until
 *	the input says what becomes of it, and lets the next one take over from
 *	what the store has.
 */

#include "scheduler_world.h"

static host_t *host_of(const char *id)
{
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		if (strcmp(world.hosts[i].id, id) == 0)
			return &world.hosts[i];
	}
	return NULL; /* of a life that is over */
}

/* Returns NULL if the holder of that number lives no longer. */
static holder_t *holder_of(int32_t number)
{
	for (int32_t i = 0; i < HOLDERS_MAX; i++) {
		if (number != 0 && world.holders[i].number == number)
			return &world.holders[i];
	}
	return NULL;
}

static int32_t slot_of(const holder_t *holder)
{
	return (int32_t)(holder - world.holders);
}

static bool reaches_store(const holder_t *holder)
{
	return !world.store_away && !holder->store_cut && !holder->overtaken &&
	       holder->frozen_until_ms == 0;
}

static void add_order(const order_t *order)
{
	g_queue_push_tail(world.orders, g_memdup2(order, sizeof(*order)));
}

static order_t make_order(const holder_t *holder, order_kind_t kind,
			  const char *upstream)
{
	order_t order = { .kind = kind,
			  .holder = holder->number,
			  .token = holder->token,
			  .sent_ms = world.now_ms };

	g_strlcpy(order.upstream, upstream, sizeof(order.upstream));
	if (host_of(upstream) != NULL)
		order.life = host_of(upstream)->life;
	return order;
}

static void on_start(const wwh_start_order_t *start, void *data)
{
	order_t order = make_order(data, ORDER_START, start->upstream);
	truth_t *truth;
	job_t *job;
	int32_t step;

	assert(strcmp(start->payload, "text") == 0);
	g_strlcpy(order.task, start->task, sizeof(order.task));
	order.run = start->run;
	order.until_ms = start->lease_until_remote_ms;
	truth = truth_of(order.task, &step, &job);
	if (truth->ordered_run[slot_of(data)] != order.run) {
		truth->ordered_run[slot_of(data)] = order.run;
		truth->run_answered[slot_of(data)] = false;
		truth->unanswered++;
	}
	add_order(&order);
}

static void on_stop(const wwh_stop_order_t *stop, void *data)
{
	order_t order = make_order(data, ORDER_STOP, stop->upstream);

	g_strlcpy(order.task, stop->task, sizeof(order.task));
	order.run = stop->run;
	add_order(&order);
}

static void on_poll(const wwh_poll_order_t *poll, void *data)
{
	order_t order = make_order(data, ORDER_POLL, poll->upstream);

	order.until_ms = poll->lease_until_remote_ms;
	order.acknowledged = poll->ends_acked_upto;
	add_order(&order);
}

static void on_pace(const wwh_pace_order_t *order, void *data)
{
	(void)order;
	(void)data;
}

static void on_advise(const wwh_advice_order_t *order, void *data)
{
	(void)order;
	(void)data;
}

static int64_t on_keep(wwh_scheduler_record_kind_t kind, const char *key,
		       GBytes *value, void *data)
{
	holder_t *holder = data;
	record_t *record = g_new0(record_t, 1);

	record->key =
		g_strconcat(wwh_scheduler_record_kind_names[kind], key, NULL);
	record->value = value == NULL ? NULL : g_bytes_ref(value);
	record->number = ++holder->next_record;
	g_queue_push_tail(holder->pending, record);
	return record->number;
}

static void on_explain(const char *event, const char *subject,
		       const char *detail, void *data)
{
	trace("holder %d: %s %s %s", ((holder_t *)data)->number, event, subject,
	      detail);
}

static void record_free(gpointer data)
{
	record_t *record = data;

	if (record->value != NULL)
		g_bytes_unref(record->value);
	g_free(record->key);
	g_free(record);
}

static void drop_holder(holder_t *holder)
{
	if (holder->number == 0)
		return;
	trace("holder %d: ends", holder->number);
	wwh_scheduler_delete(holder->scheduler);
	g_queue_free_full(holder->pending, record_free);
	memset(holder, 0, sizeof(*holder));
}

static void announce(holder_t *holder, const host_t *host)
{
	char *labels[] = { "a", "r", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)host->id,
		.pool = POOL,
		.rack = "r",
		.labels = labels,
		.size = { CORES, 1000, 0 },
		.leaving = host->leaving,
	};
	char endpoint[16];

	/* endpoints stay with hosts; lives change */
	snprintf(endpoint, sizeof(endpoint), "h%d", (int)(host - world.hosts));
	info.endpoint = endpoint;
	if (host->announced)
		wwh_scheduler_upstream_announced(holder->scheduler, &info,
						 world.now_ms);
}

static void restore(holder_t *holder)
{
	for (int32_t kind = 0; kind < WWH_SCHEDULER_RECORD_KIND_COUNT; kind++) {
		GHashTableIter iterator;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iterator, world.store);
		while (g_hash_table_iter_next(&iterator, &key, &value)) {
			wwh_message_t message;
			gsize size;
			const uint8_t *data = g_bytes_get_data(value, &size);

			if (((char *)key)[0] ==
			    wwh_scheduler_record_kind_names[kind][0])
				assert(wwh_scheduler_restore(
					holder->scheduler,
					(wwh_scheduler_record_kind_t)kind,
					(char *)key + 1, data, size,
					world.now_ms, world.now_ms, &message));
		}
	}
	wwh_scheduler_finish_restore(holder->scheduler, world.now_ms,
				     world.now_ms);
}

/* An empty place, which the oldest of the overtaken holders may have to make. */
static holder_t *make_place(void)
{
	holder_t *oldest = NULL;

	for (int32_t i = 0; i < HOLDERS_MAX; i++) {
		holder_t *holder = &world.holders[i];

		if (holder->number == 0)
			return holder;
		if (holder->overtaken &&
		    (oldest == NULL || holder->number < oldest->number))
			oldest = holder;
	}
	drop_holder(oldest);
	return oldest;
}

/* The orders of the holder before stay on their way. */
static void take_over(void)
{
	holder_t *holder = world.holder;
	wwh_scheduler_options_t options = wwh_scheduler_options_defaults();
	wwh_scheduler_callbacks_t calls = {
		.start = on_start,
		.stop = on_stop,
		.poll = on_poll,
		.pace = on_pace,
		.advise = on_advise,
		.write_record = on_keep,
		.explain = on_explain,
		.client_data = holder,
	};

	drop_holder(holder);
	/* what wasn't durable by then was answered as unknown */
	for (int32_t i = 0; i < world.job_count; i++) {
		world.jobs[i].submit_record = 0;
		world.jobs[i].cancel_sent = false;
	}
	holder->number = ++world.holder_count;
	holder->token = world.holder_count;
	holder->pending = g_queue_new();
	holder->confirmed_ms = world.now_ms;
	trace("holder %d: claims the shard", holder->number);
	options.lease_max_ms = LEASE_MAX_MS;
	/* versions of the program ask for leases of their own */
	options.lease_ms = world.holder_count % 2 == 0 ? 9000 : 4500;
	options.ended_job_retention_ms =
		INT64_MAX / 4; /* no job is forgotten here */
	options.holder_count = world.holder_count;
	if (world.tracks_claims)
		options.unconfirmed_max_ms = UNCONFIRMED_MAX_MS;
	holder->scheduler = wwh_scheduler_new(&options, &calls);
	restore(holder);
	for (int32_t i = 0; i < UPSTREAMS; i++)
		announce(holder, &world.hosts[i]);
}

/* All lives of this moment: a host that is cut off runs on and is listed. */
static void fill_list(void)
{
	g_hash_table_remove_all(world.lives);
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		if (world.hosts[i].up)
			g_hash_table_add(world.lives,
					 g_strdup(world.hosts[i].id));
	}
}

static void ask_for_list(const holder_t *holder)
{
	world.list_holder = holder->number;
	wwh_scheduler_incarnations_requested(holder->scheduler);
	fill_list();
}

/*
 * A host that is listed with another id runs the upstream no longer. Inputs without
 * events of partitions learn of that by the whole list only.
 */
static void end_former_lives(const holder_t *holder)
{
	for (int32_t i = 0; i < UPSTREAMS && world.tracks_claims; i++) {
		const host_t *host = &world.hosts[i];
		char id[16];

		if (!g_hash_table_contains(world.lives, host->id))
			continue;
		for (int32_t life = 1; life < host->life; life++) {
			snprintf(id, sizeof(id), "u%d-%d", i, life);
			if (strcmp(id, host->id) != 0)
				wwh_scheduler_upstream_terminated(
					holder->scheduler, id,
					WWH_TERMINATION_CRASH, "host",
					world.now_ms);
		}
	}
}

/* One that was asked for by a holder that has ended is read by nobody. */
static void read_list(void)
{
	const holder_t *holder = holder_of(world.list_holder);

	if (holder != NULL)
		wwh_scheduler_incarnations_listed(
			holder->scheduler, world.lives, false, world.now_ms);
	if (holder != NULL)
		end_former_lives(holder);
	world.list_holder = 0;
}

#endif
