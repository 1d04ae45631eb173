#ifndef WAXWINGHOLLOW_INPUT_FILE_H
#define WAXWINGHOLLOW_INPUT_FILE_H

/*
 * NAME
 *	input_file - detects whether a file is settings, inventory or rules
 *
 * USE
 *	"check FILE..." accepts files in any order. The top-level keys of a
 *	JSON file determine its kind; a CSV file is an inventory.
 */

#include "waxwinghollow/config.h"
#include "waxwinghollow/status.h"

typedef enum {
	WWH_INPUT_SETTINGS = 0,
	WWH_INPUT_INVENTORY,
	WWH_INPUT_RULES,
	WWH_INPUT_COUNT
} wwh_input_kind_t;

/* Names of wwh_input_kind_t, in the same order. */
extern const char *const wwh_input_kind_names[WWH_INPUT_COUNT];

/*
 * Sets *kind. Reports an error and returns WWH_STATUS_BAD_INPUT if the file
 * can't be read, or is JSON that is malformed or has no known top-level key.
 */
wwh_status_t wwh_input_file_kind(const char *path, wwh_input_kind_t *kind,
				 wwh_config_error_t error, void *client_data);

#endif
