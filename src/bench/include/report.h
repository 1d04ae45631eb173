#ifndef WWH_BENCH_REPORT_H
#define WWH_BENCH_REPORT_H

/* One line for each pattern and policy. Percentiles are exact (sorted). */

#include <stdio.h>

#include "sim.h"

static inline int report_compare(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Sorts values. */
static inline double report_quantile(GArray *values, double fraction)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, report_compare);
	return g_array_index(values, double,
			     (guint)(fraction * (values->len - 1)));
}

/*
 * Jain's index over what each caller got of its max-min fair part of the
 * capacity.
 */
static inline double report_jain(const pattern_t *pattern,
				 const sim_result_t *result)
{
	double left = sim_capacity_per_ms(pattern) *
		      (double)(pattern->duration_ms - pattern->warm_up_ms);
	double part = 0, sum = 0, squares = 0;
	int32_t open = pattern->callers;

	/* Raises the equal part until the capacity is used up. */
	for (int32_t round = 0; round < pattern->callers && open > 0; round++) {
		double used = 0;

		part = left / open;
		open = 0;
		for (int32_t i = 0; i < pattern->callers; i++) {
			if (result->offered_by[i] > part)
				open++;
			else
				used += result->offered_by[i];
		}
		left = sim_capacity_per_ms(pattern) *
			       (double)(pattern->duration_ms -
					pattern->warm_up_ms) -
		       used;
		if (open > 0 && left / open <= part * 1.0001)
			break;
	}
	for (int32_t i = 0; i < pattern->callers; i++) {
		double fair = fmin(result->offered_by[i], part);
		double got;

		if (fair <= 0)
			continue;
		got = fmin(result->answered_by[i] / fair, 1);
		sum += got;
		squares += got * got;
	}
	return squares <= 0 ? 0 : sum * sum / (pattern->callers * squares);
}

/* From the fault to the first sample with at most 1% of the starts; -1. */
static inline int64_t report_bad_gone_ms(const pattern_t *pattern,
					 const sim_result_t *result)
{
	int32_t from = (int32_t)(pattern->fault_from_ms / SIM_SAMPLE_MS);
	int32_t to = (int32_t)(pattern->fault_to_ms / SIM_SAMPLE_MS);

	for (int32_t i = from; i < to; i++) {
		bool clean = true;

		for (int32_t k = i; k < i + 2 && k < to; k++)
			clean = clean &&
				result->to_bad[k] * 100 <= result->to_all[k];
		if (clean)
			return (int64_t)(i - from) * SIM_SAMPLE_MS;
	}
	return -1;
}

/*
 * What no policy can exceed: the arrivals as a fluid, each of which may wait
 * for a deadline, on the minions that work at that time.
 */
static inline double report_possible(const pattern_t *pattern,
				     const sim_result_t *result)
{
	double full = sim_capacity_per_ms(pattern) * SIM_BUCKET_MS;
	double backlog = 0, served = 0;
	int32_t buckets = (int32_t)(pattern->duration_ms / SIM_BUCKET_MS);

	for (int32_t i = 0; i < buckets; i++) {
		int64_t at_ms = (int64_t)i * SIM_BUCKET_MS;
		double capacity = full;
		double now;

		if (pattern->fault != MINION_GOOD &&
		    at_ms >= pattern->fault_from_ms &&
		    at_ms < pattern->fault_to_ms) {
			double part =
				(double)pattern->fault_count / pattern->minions;

			if (pattern->fault == MINION_SLOW)
				part *= 1 - 1 / pattern->slow_factor;
			capacity *= 1 - part;
		}
		backlog += result->offered_at[i];
		now = fmin(backlog, capacity);
		if (at_ms >= pattern->warm_up_ms)
			served += now;
		backlog -= now;
		/* What can't be served within a deadline is lost. */
		backlog = fmin(backlog,
			       capacity * pattern->deadline_ms / SIM_BUCKET_MS);
	}
	return served;
}

static inline void report_header(void)
{
	printf("%-18s %-11s %7s %6s %6s %6s %7s %8s %6s %7s %7s %5s %8s %8s "
	       "%5s\n",
	       "pattern", "policy", "goodput", "p50", "p99", "p99.9", "refused",
	       "at-once", "late", "harmed", "no-R-A", "jain", "attempts",
	       "bad-gone", "slots");
}

/* What happened in each second: for the course of an outage. */
static inline void report_series(const pattern_t *pattern,
				 const sim_result_t *result)
{
	const int32_t step = 1000 / SIM_SAMPLE_MS;

	printf("second arrived starts answered refused harmed\n");
	for (int32_t s = 0; s * 1000 < pattern->duration_ms; s++) {
		int32_t arrived = 0, starts = 0, answered = 0;
		int32_t refused = 0, harmed = 0;

		for (int32_t i = s * step; i < (s + 1) * step; i++) {
			starts += result->to_all[i];
			answered += result->answered[i];
			refused += result->refused_in[i];
			harmed += result->harmed_in[i];
		}
		for (int32_t i = s * 1000 / SIM_BUCKET_MS;
		     i < (s + 1) * 1000 / SIM_BUCKET_MS; i++)
			arrived += result->offered_at[i];
		printf("%6d %7d %6d %8d %7d %6d\n", s, arrived, starts,
		       answered, refused, harmed);
	}
}

static inline void report_line(const pattern_t *pattern, const char *policy,
			       sim_result_t *result)
{
	double possible = report_possible(pattern, result);
	double at_once = result->refused == 0
				 ? 100
				 : 100 * (double)result->refused_at_once /
					   (double)result->refused;
	double offered = (double)result->offered;
	double attempts =
		result->started == 0
			? 0
			: (double)result->attempts / (double)result->started;
	char gone[16] = "-";

	if (pattern->fault != MINION_GOOD &&
	    pattern->fault_count < pattern->minions) {
		int64_t gone_ms = report_bad_gone_ms(pattern, result);

		if (gone_ms < 0)
			g_strlcpy(gone, "never", sizeof(gone));
		else
			g_snprintf(gone, sizeof(gone), "%" G_GINT64_FORMAT,
				   gone_ms);
	}
	if (result->outage_started > 0 &&
	    pattern->fault_count == pattern->minions)
		attempts = (double)result->outage_attempts /
			   (double)result->outage_started;
	printf("%-18s %-11s %6.1f%% %6.0f %6.0f %6.0f %6.1f%% %7.2f%% %5.1f%% "
	       "%6.2f%% %6.1f%% %5.3f %8.3f %8s %5d\n",
	       pattern->name, policy,
	       100 * (double)result->in_time_here / possible,
	       report_quantile(result->latency, 0.5),
	       report_quantile(result->latency, 0.99),
	       report_quantile(result->latency, 0.999),
	       100 * (double)result->refused / offered, at_once,
	       100 * (double)result->late / offered,
	       100 * (double)result->harmed / offered,
	       100 * (double)result->no_retry_after / offered,
	       report_jain(pattern, result), attempts, gone, result->held_most);
}

#endif
