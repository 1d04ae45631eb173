#ifndef WAXWINGHOLLOW_PRIVATE_INTENT_WRITER_H
#define WAXWINGHOLLOW_PRIVATE_INTENT_WRITER_H

/*
 * Gathers the intents and results of one process into few appends. The log
 * takes several hundred appends a second for everybody; one append a request
 * would use that up at a few hundred requests a second. An append goes out
 * when the one before it has settled and batch_ms have passed since it began.
 *
 * wwh_intent_writer_add_* never block. The append callback runs on the
 * writer's thread and may block; it returns what became of the append. The
 * failed callback is told each intent that is surely not on the log.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/status.h"

typedef struct wwh_intent_writer wwh_intent_writer_t;

typedef struct {
	const char *author;
	int32_t batch_ms;
	int32_t waiting_max; /* intents and results that wait */
	wwh_status_t (*append)(const wwh_record_t *record, void *client_data);
	void (*failed)(int64_t sequence, void *client_data);
	void *client_data;
} wwh_intent_writer_options_t;

wwh_intent_writer_t *
wwh_intent_writer_new(const wwh_intent_writer_options_t *options,
		      wwh_counters_t *counters);

/* Writes what is left, within limit_ms, and ends the thread. */
void wwh_intent_writer_finish(wwh_intent_writer_t *writer, int64_t limit_ms);
void wwh_intent_writer_delete(wwh_intent_writer_t *writer);

/* Takes item over. False when the bound is reached; item is freed then. */
bool wwh_intent_writer_add_intent(wwh_intent_writer_t *writer,
				  wwh_intent_item_t *item);
void wwh_intent_writer_add_result(wwh_intent_writer_t *writer,
				  wwh_result_item_t *item);

#endif
