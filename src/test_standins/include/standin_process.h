#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

/* Starts, tells and stops the platform stand-in from tests and benches. */

#include <assert.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "free_port.h"

typedef struct {
	GPid pid;
	int32_t port;
} standin_process_t;

/* POSTs to the stand-in, which must answer 200. */
static inline void standin_call(int32_t port, const char *target)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	char *request = g_strdup_printf("POST %s HTTP/1.1\r\nHost: a\r\n"
					"Content-Length: 0\r\n"
					"Connection: close\r\n\r\n",
					target);
	char answer[64] = { 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert(connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	assert(send(fd, request, strlen(request), MSG_NOSIGNAL) > 0);
	assert(recv(fd, answer, sizeof(answer) - 1, MSG_WAITALL) > 0);
	assert(strstr(answer, " 200 ") != NULL);
	close(fd);
	g_free(request);
}

/* A test that fails on an assertion must not leave its stand-in behind. */
static inline void standin_end_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static inline void standin_process_start(standin_process_t *process,
					 const char *program)
{
	char *listen;
	char line[64];
	int output;

	process->port = standin_free_port();
	listen = g_strdup_printf("127.0.0.1:%d", (int)process->port);
	{
		char *argv[] = { (char *)program, "--listen", listen, NULL };

		assert(g_spawn_async_with_pipes(
			NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
			standin_end_with_parent, NULL, &process->pid, NULL,
			&output, NULL, NULL));
	}
	/* It says that it listens. */
	assert(read(output, line, sizeof(line)) > 0);
	close(output);
	g_free(listen);
}

/* Whether it ended by itself with 0. */
static inline bool standin_process_stop(standin_process_t *process)
{
	int status;

	assert(kill(process->pid, SIGTERM) == 0);
	assert(waitpid(process->pid, &status, 0) == process->pid);
	return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

#endif
