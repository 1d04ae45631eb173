#ifndef TEST_FUZZ_SCHEDULER_PARTITION_H
#define TEST_FUZZ_SCHEDULER_PARTITION_H

/*
 * NAME
 *	scheduler_partition - holders that live on beside their successors
 *
 * USE
 *	For fuzz_scheduler alone. Each holder has its own links to upstreams and
 *	to the store. The store refuses an overtaken one's epoch: its appends get
 *	no answer until the input lets it learn of it, or an upstream tells it.
 */

#include "scheduler_orders.h"
#include "scheduler_store.h"

/* An event n * 16 + 13 is the nth of these; no kept input has any. */
#define PARTITION_EVENT 13
typedef enum {
	PARTITION_OVERTAKE, /* how: the links of the successor */
	PARTITION_OVERTAKE_AGAIN,
	PARTITION_LINKS, /* of the newest holder */
	PARTITION_LINKS_OVERTAKEN, /* of the one that it overtook */
	PARTITION_LINKS_OVERTAKEN_AGAIN,
	PARTITION_LINKS_OLDEST, /* of the one before that */
	PARTITION_STORE,
	PARTITION_SLOW_APPEND,
	PARTITION_READ, /* an overtaken holder reads; any holder stands still */
	PARTITION_WORK, /* from here on */
} partition_event_t;

#define WORK_TICK_MS 50
#define FREEZE_STEP_MS 100
#define WORK_TICKS_MAX 2000 /* in an input */

/* Lets time pass for all; defined with the events of the input. */
static void pass(int64_t ms);

/* The overtaken holder with the index-th highest number; NULL: there is none. */
static holder_t *overtaken_holder(int32_t index)
{
	for (int32_t number = world.holder_count; number > 0; number--) {
		holder_t *holder = holder_of(number);

		if (holder == NULL || !holder->overtaken)
			continue;
		if (index-- == 0)
			return holder;
	}
	return NULL;
}

/* Two bits an upstream. */
static void set_links(holder_t *holder, uint8_t how)
{
	static const link_t links[] = { LINK_UP, LINK_CUT, LINK_ONE_WAY,
					LINK_UP };
	static const char *const names[] = { "up", "cut", "one-way" };

	for (int32_t i = 0; i < UPSTREAMS && holder != NULL; i++) {
		link_t link = links[how >> i % 4 * 2 & 3];

		if (link == holder->links[i])
			continue;
		world.hosts[i].link_changes++;
		trace("holder %d: its link to u%d is %s", holder->number, i,
		      names[link]);
		holder->links[i] = link;
	}
}

/* A claim needs the store, and the process that makes it reaches the store. */
static void overtake(uint8_t how)
{
	if (world.store_away)
		return;
	world.holder->overtaken = true;
	world.lived_on++;
	world.holder = make_place();
	take_over();
	set_links(world.holder, how);
}

/* The store answers an overtaken holder: its epoch is too low. */
static void refuse_epoch(holder_t *holder)
{
	if (holder == NULL || world.store_away)
		return;
	trace("holder %d: fenced by the store", holder->number);
	drop_holder(holder);
}

static void change_store(uint8_t how)
{
	holder_t *holder = world.holder;

	switch (how % 4) {
	case 0:
		world.store_away = !world.store_away;
		trace("the store is %s", world.store_away ? "away" : "back");
		break;
	case 1:
		holder->store_cut = !holder->store_cut;
		trace("holder %d: its link to the store is %s", holder->number,
		      holder->store_cut ? "cut" : "up");
		break;
	default:
		refuse_epoch(overtaken_holder(how % 4 - 2));
		return;
	}
	if (reaches_store(holder))
		read_registry(holder);
}

static void change_slow_append(uint8_t how)
{
	if (how % 4 < 2)
		append_slowly();
	else if (how % 4 == 2)
		answer_slow_append(world.holder);
	else if (overtaken_holder(0) != NULL)
		answer_slow_append(overtaken_holder(0));
}

/*
 * Nobody does anything for a while. A process that has stood still for long orders
 * nothing until an append has succeeded.
 */
static void stand_still(int64_t ms)
{
	world.now_ms += ms;
	for (int32_t i = 0; i < HOLDERS_MAX && ms >= STANDSTILL_MS; i++)
		world.holders[i].stood_still_ms = world.now_ms;
}

static void freeze(holder_t *holder, int64_t ms)
{
	if (holder == NULL || holder->number == 0)
		return;
	trace("holder %d: stands still for %" G_GINT64_FORMAT " ms",
	      holder->number, ms);
	holder->frozen_until_ms = world.now_ms + ms;
	if (ms >= STANDSTILL_MS)
		holder->stood_still_ms = holder->frozen_until_ms;
}

static bool is_frozen(holder_t *holder)
{
	if (holder->frozen_until_ms > world.now_ms)
		return true;
	if (holder->frozen_until_ms == 0)
		return false;
	holder->frozen_until_ms = 0;
	if (reaches_store(holder))
		read_registry(holder);
	return false;
}

static bool may_order(const holder_t *holder)
{
	return !world.tracks_claims ||
	       holder->confirmed_ms >= holder->stood_still_ms;
}

/*
 * The store may reject a machine's appends and serve its reads. Lists of hosts come
 * from another service.
 */
static void read_overtaken(uint8_t how)
{
	holder_t *holder = overtaken_holder(how / 4 % 2);

	if (holder == NULL)
		return;
	if (how % 4 == 0 && !world.store_away)
		read_registry(holder);
	else if (how % 4 >= 2)
		ask_for_list(holder);
}

static void freeze_one(uint8_t how)
{
	int32_t which = how / 4 % HOLDERS_MAX;
	int64_t ms = (how / 4 / HOLDERS_MAX + 1) * FREEZE_STEP_MS;

	freeze(which == 0 ? world.holder : overtaken_holder(which - 1), ms);
}

/* All orders on their way arrive, but for those that are kept for later. */
static void deliver_all(void)
{
	for (guint i = g_queue_get_length(world.orders); i > 0; i--) {
		order_t *order = g_queue_pop_head(world.orders);

		if (!order->carried_out_late &&
		    world.now_ms - order->sent_ms > ORDER_LIMIT_MS) {
			tell(order, WWH_ORDER_UNKNOWN);
			order->carried_out_late = true;
		}
		if (order->carried_out_late) {
			g_queue_push_tail(world.orders, order);
			continue;
		}
		deliver(order, true, false);
		g_free(order);
	}
}

/* Everybody does its work for a while, along the links as they are. */
static void work(uint8_t how)
{
	for (int32_t i = 0; i <= how && world.work_ticks < WORK_TICKS_MAX;
	     i++) {
		world.work_ticks++;
		for (int32_t k = 0; k < HOLDERS_MAX; k++) {
			if (world.holders[k].overtaken)
				(void)wwh_scheduler_flush(
					world.holders[k].scheduler,
					world.now_ms);
		}
		append(true, true);
		deliver_all();
		pass(WORK_TICK_MS);
	}
}

/*
 * Where one holder lives at a time and the store is there for it, no other one can
 * act, so it counts as confirmed at any time.
 */
static bool has_partition_event(void)
{
	for (size_t i = UPSTREAMS; i < world.size; i += 2) {
		if (world.data[i] % 16 == PARTITION_EVENT)
			return true;
	}
	return false;
}

static void change_partition(uint8_t which, uint8_t how)
{
	switch (which) {
	case PARTITION_OVERTAKE:
	case PARTITION_OVERTAKE_AGAIN:
		overtake(how);
		break;
	case PARTITION_LINKS:
		set_links(world.holder, how);
		break;
	case PARTITION_LINKS_OVERTAKEN:
	case PARTITION_LINKS_OVERTAKEN_AGAIN:
		set_links(overtaken_holder(0), how);
		break;
	case PARTITION_LINKS_OLDEST:
		set_links(overtaken_holder(1), how);
		break;
	case PARTITION_STORE:
		change_store(how);
		break;
	case PARTITION_SLOW_APPEND:
		change_slow_append(how);
		break;
	case PARTITION_READ:
		if (how % 4 == 1)
			freeze_one(how);
		else
			read_overtaken(how);
		break;
	default:
		work(how);
		break;
	}
}

#endif
