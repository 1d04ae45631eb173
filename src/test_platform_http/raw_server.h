#ifndef RAW_SERVER_H
#define RAW_SERVER_H

/*
 * A server on a raw socket that answers the Nth request with the Nth string
 * of a script, whole or cut, and counts the requests that reached it. A
 * string that ends in RAW_CLOSE ends the connection after it; RAW_SILENT
 * leaves the request without an answer until the client goes.
 */

#include <stdint.h>

#define RAW_CLOSE "\x01"
#define RAW_SILENT "\x02"

typedef struct raw_server raw_server_t;

raw_server_t *raw_server_new(const char *const *script, int32_t length);
int32_t raw_server_port(const raw_server_t *server);
/* Stops the server; returns the count of requests. */
int32_t raw_server_delete(raw_server_t *server);

#endif
