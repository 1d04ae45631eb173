#ifndef WAXWINGHOLLOW_INPUT_FILE_H
#define WAXWINGHOLLOW_INPUT_FILE_H

/*
 * NAME
 *	input_file - tells settings, inventory and rules apart
 *
 * USE
 *	"check FILE..." takes files in any order; what a file is follows from
 *	the keys at its top.
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
 * Reports and returns WWH_STATUS_BAD_INPUT when the file can't be read, isn't
 * JSON or CSV, or has no key of any kind.
 */
wwh_status_t wwh_input_file_kind(const char *path, wwh_input_kind_t *kind,
				 wwh_config_error_t error, void *client_data);

#endif
