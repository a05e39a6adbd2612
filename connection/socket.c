/* Sockets that do not block. */
#define _GNU_SOURCE /* accept4 */
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libsocket.h"

enum
{
  /* Probes of an idle connection: two unanswered ones end it. */
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES = 2
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

/* Returns the next connection at LISTENER, or -1 with errno set.  */
int
sock_accept (int listener)
{
  int fd;

  do
    fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
  return fd;
}

/* Starts a connection to ADDRESS; it is made when the socket can be
   written.  Returns the socket, or -1 with errno set.  */
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

/* Sends small pieces at once, and lets a peer that acknowledges nothing for
   USER_TIMEOUT_MS, or no probe of a connection idle for KEEPALIVE_IDLE_S,
   count as gone.  */
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

/* Returns the pending error of FD, 0 if there is none.  */
int
sock_error (int fd)
{
  int error = 0;
  socklen_t length = sizeof error;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
    return errno;
  return error;
}

/* Returns whether FD is open and has nothing to read.  */
int
sock_is_idle (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Sets one option; a kernel that lacks it works without.  */
static void
set_option (int fd, int level, int name, int value)
{
  (void)setsockopt (fd, level, name, &value, sizeof value);
}
