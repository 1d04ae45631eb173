#ifndef WAXWINGHOLLOW_PRIVATE_INTENT_WRITER_H
#define WAXWINGHOLLOW_PRIVATE_INTENT_WRITER_H

/*
 * Batches the intents and results of one process into few appends. The log
 * accepts several hundred appends a second from all processes together; one
 * append per request would exhaust that at a few hundred requests a second. An
 * append starts when the previous one has returned and batch_ms have passed
 * since that one began.
 *
 * wwh_intent_writer_add_* never block. The append callback runs on the
 * writer's thread and may block; it returns the outcome of the append. The
 * failed callback is called for each intent that is certainly not in the log.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/status.h"

typedef struct wwh_intent_writer wwh_intent_writer_t;

typedef struct {
	const char *author;
	int32_t batch_ms;
	int32_t waiting_max; /* intents and results in the queues */
	wwh_status_t (*append)(const wwh_record_t *record, void *client_data);
	void (*failed)(int64_t sequence, void *client_data);
	void *client_data;
} wwh_intent_writer_options_t;

wwh_intent_writer_t *
wwh_intent_writer_new(const wwh_intent_writer_options_t *options,
		      wwh_counters_t *counters);

/* Writes the queued items within timeout_ms and ends the thread. */
void wwh_intent_writer_finish(wwh_intent_writer_t *writer, int64_t timeout_ms);
void wwh_intent_writer_delete(wwh_intent_writer_t *writer);

/*
 * Each add function takes ownership of item. Returns false and frees item if
 * waiting_max is reached or the writer is stopping; results are always added.
 */
bool wwh_intent_writer_add_intent(wwh_intent_writer_t *writer,
				  wwh_intent_item_t *item);
void wwh_intent_writer_add_result(wwh_intent_writer_t *writer,
				  wwh_result_item_t *item);

#endif
