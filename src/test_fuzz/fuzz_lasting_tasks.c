/*
 * fuzz_lasting_tasks - fuzz_scheduler with 12 upstreams and jobs of which 40% last; a
 * third of these have a task that crashes its upstreams.
 */

#define UPSTREAMS 12
#define FIRST_CRASHING_UNANSWERED 100
#define FIRST_LASTING 100
#define LAST_LASTING 200

#include "fuzz_scheduler.c"
