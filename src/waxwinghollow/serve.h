#ifndef WAXWINGHOLLOW_SERVE_H
#define WAXWINGHOLLOW_SERVE_H

/*
 * NAME
 *	serve - runs one entry process until SIGTERM or SIGINT
 *
 * USE
 *	wwh_serve blocks; it returns a wwh_exit_t of commands.h: OK after a
 *	graceful shutdown, FAILED when it could not start or a request was cut
 *	off at the drain limit.
 */

#include "waxwinghollow/settings.h"

/* Runs one process of the job service; path NULL: where the platform says. */
int wwh_serve_platform(const char *path);
int wwh_serve(const wwh_settings_t *settings);

#endif
