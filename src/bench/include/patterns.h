#ifndef WWH_BENCH_PATTERNS_H
#define WWH_BENCH_PATTERNS_H

/* The patterns of load. Sizes are those of one service of today. */

#include "sim.h"

static const pattern_t patterns[] = {
	{ .name = "calm 0.7x", .load = 0.7 },
	{ .name = "burst",
	  .load = 0.5,
	  .burst_load = 4,
	  .burst_from_ms = 8000,
	  .burst_to_ms = 10000 },
	{ .name = "hot callers", .load = 1.5, .hot_share = 0.8 },
	{ .name = "uneven", .load = 0.7, .uneven = 0.5 },
	{ .name = "long among short",
	  .load = 0.8,
	  .run_ms = 20,
	  .long_share = 0.02,
	  .long_factor = 25,
	  .deadline_ms = 4000 },
	{ .name = "saturation 1.5x", .load = 1.5 },
	{ .name = "saturation 3x", .load = 3 },
	{ .name = "saturation 10x", .load = 10, .duration_ms = 10000 },
	{ .name = "3x, run 400 ms",
	  .load = 3,
	  .run_ms = 400,
	  .deadline_ms = 5000 },
	{ .name = "bears 2 of 8", .load = 0.8, .bears = 2 },
	{ .name = "refuses above 2", .load = 0.8, .bears = 2, .refuses = true },
	{ .name = "refuses, 3x", .load = 3, .bears = 2, .refuses = true },
	{ .name = "slow minion",
	  .load = 0.6,
	  .fault = MINION_SLOW,
	  .fault_count = 1,
	  .slow_factor = 10 },
	{ .name = "fail-fast minion",
	  .load = 0.7,
	  .fault = MINION_FAST_FAIL,
	  .fault_count = 1 },
	{ .name = "silent minion",
	  .load = 0.7,
	  .fault = MINION_SILENT,
	  .fault_count = 1 },
	{ .name = "zone lost",
	  .load = 0.6,
	  .fault = MINION_DOWN,
	  .fault_count = 4 },
	{ .name = "cancel waves",
	  .load = 1.5,
	  .cancel_every_ms = 1000,
	  .cancel_share = 0.7 },
	{ .name = "outage and return",
	  .load = 0.7,
	  .fault = MINION_DOWN,
	  .fault_count = 10,
	  .client_tries = 3 },
};

/*
 * Fills in what a pattern leaves open: 10 minions of 8 slots and a mean of
 * 40 ms bear 2000 requests a second; a fault lasts from 5 s to 15 s.
 */
static inline pattern_t pattern_whole(const pattern_t *pattern)
{
	pattern_t whole = *pattern;

	whole.warm_up_ms = 2000;
	whole.processes = 8;
	whole.minions = 10;
	whole.slots = 8;
	whole.callers = 64;
	whole.idempotent_share = 0.8;
	whole.urgent_share = 0.2;
	if (whole.bears == 0)
		whole.bears = whole.slots;
	if (whole.run_ms <= 0)
		whole.run_ms = 40;
	if (whole.long_factor <= 0)
		whole.long_factor = 1;
	if (whole.deadline_ms == 0)
		whole.deadline_ms = 1000;
	if (whole.fault != MINION_GOOD) {
		whole.fault_from_ms = 5000;
		whole.fault_to_ms = 15000;
	}
	if (whole.duration_ms == 0)
		whole.duration_ms = whole.fault == MINION_GOOD ? 20000 : 25000;
	return whole;
}

#endif
