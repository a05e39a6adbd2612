/* Non-blocking TCP sockets. */
#define _GNU_SOURCE /* accept4 */
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libsocket.h"

enum
{
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES = 2 /* counts only where there is no user timeout */
};

static void set_option (int fd, int level, int name, int value);

/* Returns a socket listening at ADDRESS, or -1 with errno set.  */
int
sock_listen (const struct sockaddr_in *address, int backlog)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  set_option (fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0
      && listen (fd, backlog) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Accepts a connection at LISTENER.  Returns its socket, or -1 with errno
   set.  */
int
sock_accept (int listener)
{
  int fd;

  do
    fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
  return fd;
}

/* Starts connecting to ADDRESS; the socket becomes writable when the attempt
   has succeeded or failed.  Returns the socket, or -1 with errno set.  */
int
sock_connect (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

/* Disables Nagle's algorithm on FD and bounds the time until a dead peer is
   noticed.  The connection is dropped if sent data, or keep-alive probes,
   which start after KEEPALIVE_IDLE_S without traffic, are not acknowledged for
   USER_TIMEOUT_MS, which must be longer than KEEPALIVE_IDLE_S.  */
void
sock_set_options (int fd, int64_t user_timeout_ms, int keepalive_idle_s)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)user_timeout_ms);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

/* Returns and clears the pending error of FD, 0 if there is none.  */
int
sock_error (int fd)
{
  int error = 0;
  socklen_t length = sizeof error;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
    return errno;
  return error;
}

/* Returns whether FD is connected and has no input to read.  */
int
sock_is_idle (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Returns whether FD has input, an end of input or an error to be read.  The
   error stays pending, unlike with a look by recv, after which the next recv
   finds what seems an orderly end.  */
int
sock_has_event (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Returns whether FD has bytes to read, other than an end of input or an
   error.  */
int
sock_has_bytes (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Sets a socket option.  Errors are ignored, since the socket works without
   the option.  */
static void
set_option (int fd, int level, int name, int value)
{
  (void)setsockopt (fd, level, name, &value, sizeof value);
}
