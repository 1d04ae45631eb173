#ifndef WAXWINGHOLLOW_SERVE_H
#define WAXWINGHOLLOW_SERVE_H

/*
 * NAME
 *	serve - runs one entry process until SIGTERM or SIGINT
 *
 * USE
 *	Both functions block until the process has shut down and return a
 *	wwh_exit_t of commands.h: OK after a graceful shutdown, FAILED when the
 *	process could not start or a request was cut off at the drain limit.
 */

#include "waxwinghollow/settings.h"

/*
 * Runs one process of the job service with the platform settings file at path,
 * by default that of node_file_path. Returns BAD_INPUT when the file is invalid.
 */
int wwh_serve_platform(const char *path);
int wwh_serve(const wwh_settings_t *settings);

#endif
