#ifndef WAXWINGHOLLOW_PRIVATE_JSON_TEXT_H
#define WAXWINGHOLLOW_PRIVATE_JSON_TEXT_H

/*
 * NAME
 *	json_text - removal of comments from JSON
 *
 * USE
 *	json-glib ends a "//" comment at its second slash and then reads the
 *	words of the comment as JSON. wwh_json_blank_comments overwrites both
 *	kinds of comments with spaces, so that the lines and columns of later
 *	errors remain correct.
 */

#include <stddef.h>

/* Returns a NUL-terminated copy with spaces for comments; free with g_free. */
char *wwh_json_blank_comments(const char *text, size_t size);

#endif
