/* Fault-injecting TCP proxies on loopback. */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "libsocket.h"
#include "proxy_fixture.h"

enum
{
  BACKLOG = 64,
  BUFFER_BYTES = 16384,
  FILLERS = 3,           /* connections that fill the queue of a listener */
  POLL_INTERVAL_MS = 10, /* longest delay until a new mode applies */
  LEFT_INTERVAL_MS = 200 /* the same, once the client has left */
};

enum side
{
  CLIENT_SIDE,
  SERVER_SIDE,
  SIDE_COUNT
};

/* State of a listener, set by the thread that accepts. */
enum listening
{
  LISTENING,
  REFUSING, /* closed */
  IGNORING  /* its queue is full and stays so */
};

/* A proxy; MODE and DELAY_MS are accessed atomically. */
struct proxy
{
  struct sockaddr_in address;
  int listener; /* -1: refusing */
  enum listening listening;
  int fillers[FILLERS];
  struct sockaddr_in server;
  gint mode;
  gint delay_ms;
};

/* A connection through a proxy. */
struct connection
{
  struct proxy *proxy;
  int fd[SIDE_COUNT];
  int at_eof[SIDE_COUNT];  /* that side has closed its direction */
  int discard[SIDE_COUNT]; /* data from that side is dropped */
};

static void update_listener (struct proxy *proxy, enum proxy_mode mode);
static void fill_queue (struct proxy *proxy);
static void drain_queue (struct proxy *proxy);
static int must_reset (enum proxy_mode mode);
static void *accept_connections (void *closure);
static void *relay_connection (void *closure);
static int forward (struct connection *connection, enum side from);
static void apply_mode (struct connection *connection, enum proxy_mode mode);
static void darken (struct connection *connection);
static void reset_on_close (struct connection *connection);
static int write_all (int fd, const char *data, size_t length);

/* Starts a proxy, on a free port, to the server at SERVER_PORT on loopback. */
struct proxy *
proxy_start (int server_port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct sockaddr_in server;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server = address;
  server.sin_port = htons ((uint16_t)server_port);
  return proxy_start_at (&address, &server);
}

/* Starts a proxy at ADDRESS, whose port 0 stands for a free one, to SERVER.
 */
struct proxy *
proxy_start_at (const struct sockaddr_in *address,
                const struct sockaddr_in *server)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  socklen_t size = sizeof proxy->address;
  pthread_t thread;

  proxy->server = *server;
  proxy->listener = sock_listen (address, BACKLOG);
  if (proxy->listener < 0
      || getsockname (proxy->listener, (struct sockaddr *)&proxy->address,
                      &size)
             != 0
      || pthread_create (&thread, NULL, accept_connections, proxy) != 0)
    abort ();
  pthread_detach (thread);
  return proxy;
}

/* Returns the port on which PROXY listens.  */
int
proxy_port (const struct proxy *proxy)
{
  return ntohs (proxy->address.sin_port);
}

/* Sets the mode of PROXY.  DELAY_MS applies to PROXY_DELAY.  */
void
proxy_set_mode (struct proxy *proxy, enum proxy_mode mode, int delay_ms)
{
  g_atomic_int_set (&proxy->delay_ms, delay_ms);
  g_atomic_int_set (&proxy->mode, (gint)mode);
}

/* Brings the listener of PROXY into the state that MODE requires.  */
static void
update_listener (struct proxy *proxy, enum proxy_mode mode)
{
  enum listening wanted = mode == PROXY_CUT_SILENT ? IGNORING
                          : mode == PROXY_REFUSE || mode == PROXY_CUT_RESET
                              ? REFUSING
                              : LISTENING;

  if (wanted == proxy->listening)
    return;
  if (proxy->listening == IGNORING)
    drain_queue (proxy);
  if (proxy->listener < 0)
    proxy->listener = sock_listen (&proxy->address, BACKLOG);
  proxy->listening = wanted;
  if (wanted == IGNORING)
    fill_queue (proxy);
  if (wanted != REFUSING)
    return;
  close (proxy->listener);
  proxy->listener = -1;
}

/* Fills the queue of PROXY's listener, so that the system drops what would
   establish another connection.  */
static void
fill_queue (struct proxy *proxy)
{
  listen (proxy->listener, 0);
  for (int i = 0; i < FILLERS; i++)
    proxy->fillers[i] = sock_connect (&proxy->address);
}

/* Ends what fill_queue began.  */
static void
drain_queue (struct proxy *proxy)
{
  for (int i = 0; i < FILLERS; i++)
    close (proxy->fillers[i]);
  listen (proxy->listener, BACKLOG);
}

/* Accepts connections, each served by a thread.  */
static void *
accept_connections (void *closure)
{
  struct proxy *proxy = closure;

  for (;;)
    {
      struct pollfd waiting = { .fd = proxy->listener, .events = POLLIN };
      struct connection *connection;
      pthread_t thread;
      int fd;

      update_listener (proxy,
                       (enum proxy_mode)g_atomic_int_get (&proxy->mode));
      if (proxy->listening != LISTENING)
        waiting.fd = -1;
      if (poll (&waiting, 1, POLL_INTERVAL_MS) <= 0)
        continue;
      fd = sock_accept (proxy->listener);
      if (fd < 0)
        continue;
      connection = g_new0 (struct connection, 1);
      connection->proxy = proxy;
      connection->fd[CLIENT_SIDE] = fd;
      connection->fd[SERVER_SIDE] = -1;
      if (pthread_create (&thread, NULL, relay_connection, connection) != 0)
        abort ();
      pthread_detach (thread);
    }
  return NULL;
}

/* Returns whether MODE resets open connections.  */
static int
must_reset (enum proxy_mode mode)
{
  return mode == PROXY_RESET || mode == PROXY_CUT_RESET;
}

/* Relays one connection until both directions have ended or it fails.  */
static void *
relay_connection (void *closure)
{
  struct connection *connection = closure;
  enum proxy_mode mode
      = (enum proxy_mode)g_atomic_int_get (&connection->proxy->mode);

  if (!must_reset (mode))
    connection->fd[SERVER_SIDE] = sock_connect (&connection->proxy->server);
  while (
      connection->fd[SERVER_SIDE] >= 0
      && !(connection->at_eof[CLIENT_SIDE] && connection->at_eof[SERVER_SIDE]))
    {
      struct pollfd fds[SIDE_COUNT];
      int is_open = 1;

      for (int i = 0; i < SIDE_COUNT; i++)
        fds[i]
            = (struct pollfd){ .fd = connection->at_eof[i] ? -1
                                                           : connection->fd[i],
                               .events = POLLIN };
      (void)poll (fds, SIDE_COUNT,
                  connection->at_eof[CLIENT_SIDE] ? LEFT_INTERVAL_MS
                                                  : POLL_INTERVAL_MS);
      mode = (enum proxy_mode)g_atomic_int_get (&connection->proxy->mode);
      apply_mode (connection, mode);
      for (int i = 0; is_open && !must_reset (mode) && i < SIDE_COUNT; i++)
        if (fds[i].revents != 0)
          is_open = forward (connection, (enum side)i) == 0;
      if (!is_open || must_reset (mode))
        break;
    }
  if (must_reset (mode))
    reset_on_close (connection);
  close (connection->fd[CLIENT_SIDE]);
  if (connection->fd[SERVER_SIDE] >= 0)
    close (connection->fd[SERVER_SIDE]);
  g_free (connection);
  return NULL;
}

/* Marks the directions of CONNECTION that MODE drops.  Directions that were
   marked before stay so.  */
static void
apply_mode (struct connection *connection, enum proxy_mode mode)
{
  connection->discard[CLIENT_SIDE] |= mode == PROXY_DROP_TO_SERVER
                                      || mode == PROXY_DROP_ALL
                                      || mode == PROXY_CUT_SILENT;
  connection->discard[SERVER_SIDE] |= mode == PROXY_DROP_TO_CLIENT
                                      || mode == PROXY_DROP_ALL
                                      || mode == PROXY_CUT_SILENT;
  if (mode == PROXY_DARK)
    darken (connection);
}

/* Makes the system drop all packets that arrive for the socket FD, so that
   they are not acknowledged.  */
void
proxy_go_dark (int fd)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog filter = { .len = 1, .filter = &drop };

  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter)
      != 0)
    abort ();
}

/* Lets both sides of CONNECTION go dark.  */
static void
darken (struct connection *connection)
{
  if (connection->discard[CLIENT_SIDE] && connection->discard[SERVER_SIDE])
    return;
  for (int i = 0; i < SIDE_COUNT; i++)
    {
      connection->discard[i] = 1;
      proxy_go_dark (connection->fd[i]);
    }
}

/* Forwards data or end of file from side FROM of CONNECTION to the other side.
   Returns -1 if the connection failed.  */
static int
forward (struct connection *connection, enum side from)
{
  int to = connection->fd[from == CLIENT_SIDE ? SERVER_SIDE : CLIENT_SIDE];
  int delay_ms = g_atomic_int_get (&connection->proxy->delay_ms);
  char data[BUFFER_BYTES];
  ssize_t length = read (connection->fd[from], data, sizeof data);

  if (length < 0)
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  connection->at_eof[from] = length == 0;
  if (connection->discard[from])
    return 0;
  if (g_atomic_int_get (&connection->proxy->mode) == PROXY_DELAY)
    g_usleep ((gulong)delay_ms * 1000);
  if (length == 0)
    return shutdown (to, SHUT_WR);
  return write_all (to, data, (size_t)length);
}

/* Makes the close of CONNECTION send a reset to both sides.  */
static void
reset_on_close (struct connection *connection)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < SIDE_COUNT; i++)
    if (connection->fd[i] >= 0)
      setsockopt (connection->fd[i], SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
}

/* Writes LENGTH bytes of DATA to the non-blocking socket FD.  Returns -1 if
   the other side has closed the connection.  */
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
        (void)poll (&ready, 1, POLL_INTERVAL_MS);
      else
        {
          data += sent;
          length -= (size_t)sent;
        }
    }
  return 0;
}
