/* Loopback proxies that delay, reset, cut and silence connections. */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "libsocket.h"
#include "link_fixture.h"

enum
{
  BACKLOG = 64,
  BUFFER_BYTES = 16384,
  POLL_MS = 10 /* until a new mode is seen */
};

enum side
{
  NEAR, /* the client */
  FAR,  /* the server */
  SIDE_COUNT
};

struct lnk
{
  int listener;
  int port;
  struct sockaddr_in server;
  gint mode;
  gint delay_ms;
};

/* One connection through a link. */
struct pipe
{
  struct lnk *link;
  int fd[SIDE_COUNT];
  int ended[SIDE_COUNT];  /* that side sends no more */
  int silent[SIDE_COUNT]; /* what that side sends is lost */
};

static void *accept_pipes (void *closure);
static void *run_pipe (void *closure);
static int carry (struct pipe *pipe, enum side from);
static void see_mode (struct pipe *pipe, enum lnk_mode mode);
static void reset_pipe (struct pipe *pipe);
static int write_all (int fd, const char *data, size_t length);

/* Starts a link to the server at SERVER_PORT of loopback.  */
struct lnk *
lnk_start (int server_port)
{
  struct lnk *link = g_new0 (struct lnk, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  pthread_t thread;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  link->server = address;
  link->server.sin_port = htons ((uint16_t)server_port);
  link->listener = sock_listen (&address, BACKLOG);
  if (link->listener < 0
      || getsockname (link->listener, (struct sockaddr *)&address, &size) != 0
      || pthread_create (&thread, NULL, accept_pipes, link) != 0)
    abort ();
  pthread_detach (thread);
  link->port = ntohs (address.sin_port);
  return link;
}

/* Returns the port at which LINK takes connections.  */
int
lnk_port (const struct lnk *link)
{
  return link->port;
}

/* Sets what LINK does from now on; bytes come DELAY_MS late if it is slow.  */
void
lnk_set (struct lnk *link, enum lnk_mode mode, int delay_ms)
{
  g_atomic_int_set (&link->delay_ms, delay_ms);
  g_atomic_int_set (&link->mode, (gint)mode);
}

/* Takes connections.  */
static void *
accept_pipes (void *closure)
{
  struct lnk *link = closure;
  struct pollfd waiting = { .fd = link->listener, .events = POLLIN };

  while (poll (&waiting, 1, -1) > 0 || errno == EINTR)
    {
      int fd = sock_accept (link->listener);
      struct pipe *pipe;
      pthread_t thread;

      if (fd < 0)
        continue;
      pipe = g_new0 (struct pipe, 1);
      pipe->link = link;
      pipe->fd[NEAR] = fd;
      pipe->fd[FAR] = -1;
      if (pthread_create (&thread, NULL, run_pipe, pipe) != 0)
        abort ();
      pthread_detach (thread);
    }
  return NULL;
}

/* Carries one connection until it ends.  */
static void *
run_pipe (void *closure)
{
  struct pipe *pipe = closure;
  enum lnk_mode mode = (enum lnk_mode)g_atomic_int_get (&pipe->link->mode);

  if (mode != LNK_RESET)
    pipe->fd[FAR] = sock_connect (&pipe->link->server);
  while (pipe->fd[FAR] >= 0 && !(pipe->ended[NEAR] && pipe->ended[FAR]))
    {
      struct pollfd fds[SIDE_COUNT];
      int is_open = 1;

      for (int i = 0; i < SIDE_COUNT; i++)
        fds[i] = (struct pollfd){ .fd = pipe->ended[i] ? -1 : pipe->fd[i],
                                  .events = POLLIN };
      (void)poll (fds, SIDE_COUNT, POLL_MS);
      mode = (enum lnk_mode)g_atomic_int_get (&pipe->link->mode);
      see_mode (pipe, mode);
      for (int i = 0; is_open && mode != LNK_RESET && i < SIDE_COUNT; i++)
        if (fds[i].revents != 0)
          is_open = carry (pipe, (enum side)i) == 0;
      if (!is_open || mode == LNK_RESET)
        break;
    }
  if (mode == LNK_RESET)
    reset_pipe (pipe);
  close (pipe->fd[NEAR]);
  if (pipe->fd[FAR] >= 0)
    close (pipe->fd[FAR]);
  g_free (pipe);
  return NULL;
}

/* Silences the directions of PIPE that MODE cuts.  */
static void
see_mode (struct pipe *pipe, enum lnk_mode mode)
{
  pipe->silent[NEAR] |= mode == LNK_CUT_TO || mode == LNK_SILENT;
  pipe->silent[FAR] |= mode == LNK_CUT_FROM || mode == LNK_SILENT;
}

/* Carries what side FROM of PIPE sent.  Returns -1 if the connection broke. */
static int
carry (struct pipe *pipe, enum side from)
{
  int to = pipe->fd[from == NEAR ? FAR : NEAR];
  int delay_ms = g_atomic_int_get (&pipe->link->delay_ms);
  char data[BUFFER_BYTES];
  ssize_t length = read (pipe->fd[from], data, sizeof data);

  if (length < 0)
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  pipe->ended[from] = length == 0;
  if (pipe->silent[from])
    return 0;
  if (g_atomic_int_get (&pipe->link->mode) == LNK_SLOW)
    g_usleep ((gulong)delay_ms * 1000);
  if (length == 0)
    return shutdown (to, SHUT_WR);
  return write_all (to, data, (size_t)length);
}

/* Lets the end of PIPE reach both sides as resets.  */
static void
reset_pipe (struct pipe *pipe)
{
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < SIDE_COUNT; i++)
    if (pipe->fd[i] >= 0)
      setsockopt (pipe->fd[i], SOL_SOCKET, SO_LINGER, &at_once,
                  sizeof at_once);
}

/* Writes LENGTH bytes of DATA to FD, which does not block.  Returns -1 if the
   other side has gone.  */
static int
write_all (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, data, length, MSG_NOSIGNAL);
      struct pollfd ready = { .fd = fd, .events = POLLOUT };

      if (sent < 0 && errno != EAGAIN && errno != EINTR)
        return -1;
      if (sent < 0)
        (void)poll (&ready, 1, POLL_MS);
      else
        {
          data += sent;
          length -= (size_t)sent;
        }
    }
  return 0;
}
