/* Private to connection/: non-blocking sockets. */
#ifndef LIBSOCKET_H
#define LIBSOCKET_H

#include <netinet/in.h>
#include <stdint.h>

int sock_listen (const struct sockaddr_in *address, int backlog);
int sock_accept (int listener);
int sock_connect (const struct sockaddr_in *address);
void sock_set_options (int fd, int64_t user_timeout_ms, int keepalive_idle_s);
int sock_error (int fd);
int sock_is_idle (int fd);
int sock_has_bytes (int fd);
int sock_has_event (int fd);

#endif
