#ifndef WAXWINGHOLLOW_PRIVATE_LOG_WINDOW_H
#define WAXWINGHOLLOW_PRIVATE_LOG_WINDOW_H

/*
 * The append ids of the last size offsets of a stream. Its content depends
 * only on the records added, so all readers drop the same copies.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/platform.h"

typedef struct wwh_log_window wwh_log_window_t;

wwh_log_window_t *wwh_log_window_new(int64_t size);
void wwh_log_window_delete(wwh_log_window_t *window);
void wwh_log_window_clear(wwh_log_window_t *window);

/* Returns the offset of the record with this id, or 0. */
int64_t wwh_log_window_find(const wwh_log_window_t *window,
			    const wwh_append_id_t *id);
/* Each offset must be greater than the one before. */
void wwh_log_window_add(wwh_log_window_t *window, const wwh_append_id_t *id,
			int64_t offset);

#endif
