#ifndef WAXWINGHOLLOW_PRIVATE_JSON_SHAPE_H
#define WAXWINGHOLLOW_PRIVATE_JSON_SHAPE_H

/*
 * NAME
 *	json_shape - refuses what json-glib takes and shouldn't
 *
 * USE
 *	json-glib 1.6 parses nested values by recursion without a limit, so
 *	that a file of opening brackets overflows the stack. It reads 010 as
 *	8, $ff as 255, 'x' as a string, and a number beyond 64 bits as
 *	another number. Each would put something else in force than the file
 *	says, or crash the reader; none is JSON that an operator means.
 *
 *	Looks only at text without comments; all else is left to json-glib.
 */

#include <stddef.h>
#include <stdint.h>

#define WWH_JSON_MAX_DEPTH 16

/* What is wrong, with its line; NULL when nothing is. */
const char *wwh_json_shape_fault(const char *text, size_t size, int32_t *line);

#endif
