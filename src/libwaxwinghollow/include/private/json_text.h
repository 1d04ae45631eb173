#ifndef WAXWINGHOLLOW_PRIVATE_JSON_TEXT_H
#define WAXWINGHOLLOW_PRIVATE_JSON_TEXT_H

/*
 * NAME
 *	json_text - JSON with comments made into plain JSON
 *
 * USE
 *	json-glib ends a "//" comment at its second slash and then reads the
 *	comment's words as JSON. wwh_json_blank_comments overwrites comments of
 *	both kinds with spaces, so that lines and columns of later errors stay
 *	right.
 */

#include <stddef.h>

/* A copy of text with blanks for comments and a NUL behind it; g_free. */
char *wwh_json_blank_comments(const char *text, size_t size);

#endif
