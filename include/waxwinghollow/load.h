#ifndef WAXWINGHOLLOW_LOAD_H
#define WAXWINGHOLLOW_LOAD_H

/*
 * NAME
 *	load - what a task needs, and what a host has or has left
 *
 * USE
 *	Plain sums; what is left of a host is negative where it is overfilled.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t cpu_millicores;
	int64_t memory_mb;
	int64_t gpus;
} wwh_load_t;

bool wwh_load_fits(const wwh_load_t *need, const wwh_load_t *room);
void wwh_load_add(wwh_load_t *sum, const wwh_load_t *load);
void wwh_load_subtract(wwh_load_t *sum, const wwh_load_t *load);

#endif
