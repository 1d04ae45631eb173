#ifndef WAXWINGHOLLOW_LOAD_H
#define WAXWINGHOLLOW_LOAD_H

/*
 * NAME
 *	load - resources that a task requires, or that a host has or has free
 *
 * USE
 *	Componentwise sums and differences. The free resources of an
 *	overcommitted host are negative.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t cpu_millicores;
	int64_t memory_mb;
	int64_t gpus;
} wwh_load_t;

bool wwh_load_fits(const wwh_load_t *required, const wwh_load_t *available);
void wwh_load_add(wwh_load_t *sum, const wwh_load_t *load);
void wwh_load_subtract(wwh_load_t *sum, const wwh_load_t *load);

#endif
